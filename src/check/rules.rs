//! Rules that involve several fields.

use super::findings;
use super::reader::Spanned;
use crate::ids;
use crate::rank;
use crate::settings;
use jsonc_parser::common;

/// Checks that every rank is declared once, that the floors sum to at most 100 percent, and that no
/// rank has a lower target than a more urgent one. A floor of 0 is a warning. Missing ranks are
/// reported only if the list is `complete`, since an element that could not be read may be the missing
/// rank.
pub(super) fn ranks(
    range: common::Range,
    list: &[Spanned<settings::RankPolicy>],
    complete: bool,
    findings: &mut findings::Findings,
) {
    for (index, policy) in list.iter().enumerate() {
        let rank = policy.value.rank;
        if list[..index].iter().any(|earlier| earlier.value.rank == rank) {
            findings.error(policy.range, format!("rank '{rank}' is declared twice"));
        }
    }
    for rank in rank::Rank::ALL {
        if complete && !list.iter().any(|policy| policy.value.rank == rank) {
            findings.error(range, format!("rank '{rank}' is not declared"));
        }
    }
    floors(range, list, findings);
    targets(list, findings);
}

fn floors(
    range: common::Range,
    list: &[Spanned<settings::RankPolicy>],
    findings: &mut findings::Findings,
) {
    let sum: u32 = list.iter().map(|policy| u32::from(policy.value.floor_percent)).sum();
    if sum > 100 {
        findings.error(range, format!("the floors of the ranks sum to {sum} percent, above 100"));
    }
    for policy in list {
        if policy.value.floor_percent == 0 {
            let rank = policy.value.rank;
            findings
                .warning(policy.range, format!("rank '{rank}' has no floor and can be starved"));
        }
    }
}

fn targets(list: &[Spanned<settings::RankPolicy>], findings: &mut findings::Findings) {
    for later in list {
        for earlier in list {
            let (first, second) = (&earlier.value, &later.value);
            if first.rank >= second.rank || first.target_ms <= second.target_ms {
                continue;
            }
            findings.error(
                later.range,
                format!(
                    "the target of rank '{}' ({} ms) is below that of rank '{}' ({} ms)",
                    second.rank, second.target_ms, first.rank, first.target_ms
                ),
            );
        }
    }
}

/// Checks that there are at most [`settings::SERVICES_MAX`] services, and that every service is declared
/// once and has enough connections for its slots.
pub(super) fn services(
    range: common::Range,
    list: &[Spanned<settings::ServicePolicy>],
    findings: &mut findings::Findings,
) {
    if list.len() > settings::SERVICES_MAX {
        let max = settings::SERVICES_MAX;
        findings.error(range, format!("{} services are declared, above {max}", list.len()));
    }
    let mut seen = Vec::with_capacity(list.len());
    for policy in list {
        connections(policy, findings);
        let service = &policy.value.service;
        match seen.binary_search(&service) {
            Ok(_) => {
                findings.error(policy.range, format!("service '{service}' is declared twice"));
            }
            Err(index) => seen.insert(index, service),
        }
    }
}

fn connections(policy: &Spanned<settings::ServicePolicy>, findings: &mut findings::Findings) {
    let service = &policy.value;
    let slots = service.slots_per_searcher;
    let connections = service.connections_per_searcher;
    if connections < slots {
        findings.error(
            policy.range,
            format!("{connections} connections for each searcher can't fill {slots} slots"),
        );
        return;
    }
    let recommended = settings::recommended_connections(slots);
    if connections < recommended {
        findings.warning(
            policy.range,
            format!(
                "{connections} connections for each searcher are few: while its owner changes, two \
                 owners may use {recommended}"
            ),
        );
    }
}

/// Checks that there are at most [`settings::OPERATIONS_MAX`] operations, each declared once.
pub(super) fn operations(
    range: common::Range,
    list: &[Spanned<ids::OperationName>],
    findings: &mut findings::Findings,
) {
    if list.len() > settings::OPERATIONS_MAX {
        let max = settings::OPERATIONS_MAX;
        findings.error(range, format!("{} operations are declared, above {max}", list.len()));
    }
    for (index, operation) in list.iter().enumerate() {
        if list[..index].iter().any(|earlier| earlier.value == operation.value) {
            let name = &operation.value;
            findings.error(operation.range, format!("operation '{name}' is declared twice"));
        }
    }
}
