//! Plans: what a confirmation would change, and the limits and shares that result.

use crate::document;
use crate::ids;
use crate::operator_api;
use crate::settings;
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The error for a malformed plan id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a plan's id is '<base revision>-<content hash>'")]
pub struct ParsePlanIdError;

/// The id of a plan: its base revision and the hash of the declared document. A plan is committed at
/// most once, as the revision after its base.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct PlanId {
    /// The revision that the plan was made from.
    pub base: ids::Revision,
    /// The hash of the declared document.
    pub document: document::DocumentHash,
}

impl PlanId {
    /// The revision that the plan becomes if it is committed.
    pub fn revision(&self) -> ids::Revision {
        ids::Revision(self.base.0.saturating_add(1))
    }
}

impl fmt::Display for PlanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.base, self.document)
    }
}

impl FromStr for PlanId {
    type Err = ParsePlanIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (base, hash) = text.split_once('-').ok_or(ParsePlanIdError)?;
        let base: ids::Revision = base.parse().map_err(|_| ParsePlanIdError)?;
        let document = hash.parse().map_err(|_| ParsePlanIdError)?;
        let plan = Self { base, document };
        if plan.to_string() != text {
            return Err(ParsePlanIdError);
        }
        Ok(plan)
    }
}

impl TryFrom<CompactString> for PlanId {
    type Error = ParsePlanIdError;

    fn try_from(text: CompactString) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<PlanId> for CompactString {
    fn from(plan: PlanId) -> CompactString {
        format_compact!("{plan}")
    }
}

/// Makes the plan that changes `base` to `declared`; `None` as the base stands for no settings. Every
/// instance makes the same plan from the same input.
pub fn make(
    base: Option<(ids::Revision, &settings::Settings)>,
    declared: &document::Document,
    warnings: Vec<operator_api::Finding>,
) -> operator_api::Plan {
    let empty = settings::Settings::default();
    let (base_revision, old) = base.unwrap_or((ids::Revision(0), &empty));
    let id = PlanId { base: base_revision, document: declared.hash() };
    let new = declared.settings();
    let mut changes = rank_changes(old, new);
    changes.extend(service_changes(old, new));
    operator_api::Plan { plan: id.into(), base_revision, changes, results: results(new), warnings }
}

fn rank_changes(old: &settings::Settings, new: &settings::Settings) -> Vec<CompactString> {
    let mut lines = Vec::new();
    for policy in &new.ranks {
        let name = format_compact!("rank {}", policy.rank);
        let Some(before) = old.rank(policy.rank) else {
            lines.push(format_compact!("{name}: added"));
            continue;
        };
        push_change(&mut lines, &name, "target_ms", &before.target_ms, &policy.target_ms);
        push_change(
            &mut lines,
            &name,
            "floor_percent",
            &before.floor_percent,
            &policy.floor_percent,
        );
    }
    lines
}

fn service_changes(old: &settings::Settings, new: &settings::Settings) -> Vec<CompactString> {
    let mut names: Vec<&ids::ServiceName> = Vec::new();
    names.extend(old.services.iter().map(|policy| &policy.service));
    names.extend(new.services.iter().map(|policy| &policy.service));
    names.sort();
    names.dedup();
    let mut lines = Vec::new();
    for name in names {
        match (old.service(name), new.service(name)) {
            (None, _) => lines.push(format_compact!("service {name}: added")),
            (_, None) => lines.push(format_compact!("service {name}: removed")),
            (Some(before), Some(after)) => service_field_changes(&mut lines, before, after),
        }
    }
    lines
}

fn service_field_changes(
    lines: &mut Vec<CompactString>,
    before: &settings::ServicePolicy,
    after: &settings::ServicePolicy,
) {
    let name = format_compact!("service {}", after.service);
    let numbers = [
        ("searchers", before.searchers, after.searchers),
        ("slots_per_searcher", before.slots_per_searcher, after.slots_per_searcher),
        (
            "connections_per_searcher",
            before.connections_per_searcher,
            after.connections_per_searcher,
        ),
        ("hedge_percent", before.hedge_percent.into(), after.hedge_percent.into()),
        ("limit_max", before.limit_max, after.limit_max),
    ];
    for (field, from, to) in numbers {
        push_change(lines, &name, field, &from, &to);
    }
    let (from, to) = (operations(before), operations(after));
    push_change(lines, &name, "operations", &from, &to);
}

fn push_change<T: PartialEq + fmt::Display>(
    lines: &mut Vec<CompactString>,
    name: &str,
    field: &str,
    from: &T,
    to: &T,
) {
    if from != to {
        lines.push(format_compact!("{name}: {field} {from} -> {to}"));
    }
}

fn operations(policy: &settings::ServicePolicy) -> String {
    if policy.operations.is_empty() {
        return "none".to_string();
    }
    let names: Vec<&str> = policy.operations.iter().map(ids::OperationName::as_str).collect();
    names.join(", ")
}

fn results(new: &settings::Settings) -> Vec<CompactString> {
    let mut lines = Vec::new();
    for policy in &new.ranks {
        lines.push(format_compact!(
            "rank {}: target {} ms, floor {} % of each searcher's slots",
            policy.rank,
            policy.target_ms,
            policy.floor_percent
        ));
    }
    let mut searchers = 0;
    let mut slots = 0;
    for policy in &new.services {
        let service_slots = u32::from(policy.searchers) * u32::from(policy.slots_per_searcher);
        searchers += u32::from(policy.searchers);
        slots += service_slots;
        lines.push(service_result(new, policy, service_slots));
    }
    lines.push(format_compact!(
        "in all: {} services, {searchers} searchers, {slots} slots",
        new.services.len()
    ));
    lines
}

fn service_result(
    new: &settings::Settings,
    policy: &settings::ServicePolicy,
    slots: u32,
) -> CompactString {
    let mut floors = Vec::with_capacity(new.ranks.len());
    for rank in &new.ranks {
        let hundredths = slots * u32::from(rank.floor_percent);
        floors.push(format!("{} {}.{:02}", rank.rank, hundredths / 100, hundredths % 100));
    }
    format_compact!(
        "service {}: {} searchers with {} slots, {slots} in all (floors: {}), {} connections each, \
         hedges up to {} %, {} hits, operations {}",
        policy.service,
        policy.searchers,
        policy.slots_per_searcher,
        floors.join(", "),
        policy.connections_per_searcher,
        policy.hedge_percent,
        policy.limit_max,
        operations(policy)
    )
}
