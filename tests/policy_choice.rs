//! The policy on the entry instance: the choice of searchers, hedges, and their estimators.

use quickcheck::quickcheck;
use std::time;
use tarragondoor::choose::{Availability, Chooser, Distance, Layout, LoadReport, Plan};
use tarragondoor::policy::Policy;
use tarragondoor::rank::Rank;
use tarragondoor::{estimate, hedge};

const SECOND_US: u64 = 1_000_000;

/// Three replicas of one shard: in the same failure domain, in the same region, and in another
/// region.
fn three_replicas(policy: Policy) -> (Chooser, Layout) {
    let distances = [Distance::SameDomain, Distance::SameRegion, Distance::OtherRegion];
    (Chooser::new(policy, distances, SECOND_US), Layout::new(3, vec![vec![0, 1, 2]]))
}

/// How often each of the three replicas is chosen in 100 queries.
fn counts(chooser: &mut Chooser, layout: &Layout, now_us: u64) -> [usize; 3] {
    let mut counts = [0; 3];
    for seed in 0..100 {
        for call in chooser.choose(now_us, layout, seed).calls {
            counts[usize::from(call.searcher)] += 1;
        }
    }
    counts
}

fn report(queued: u16, service_us: u32) -> LoadReport {
    LoadReport { slots: 5, in_use: 5, queued, service_us }
}

#[test]
fn the_choice_depends_on_distance_load_and_availability() {
    type Change = fn(&mut Chooser);
    let table: [(&str, Change, [bool; 3]); 8] = [
        ("nothing known", |_| {}, [true, true, false]),
        (
            "near one draining",
            |c| c.set_availability(0, Availability::Draining),
            [false, true, false],
        ),
        (
            "near one suspect",
            |c| c.set_availability(0, Availability::Suspect),
            [false, true, false],
        ),
        ("near one queues", |c| c.record_report(0, 0, report(50, 10_000)), [false, true, false]),
        ("near one slow", |c| c.record_answer(0, 0, 200_000), [false, true, false]),
        (
            "both near ones slow",
            |c| {
                c.record_answer(0, 0, 200_000);
                c.record_answer(0, 1, 200_000);
            },
            [false, false, true],
        ),
        (
            "only suspects",
            |c| {
                c.set_availability(0, Availability::Suspect);
                c.set_availability(1, Availability::Draining);
                c.set_availability(2, Availability::Draining);
            },
            [true, false, false],
        ),
        (
            "all draining",
            |c| (0..3).for_each(|s| c.set_availability(s, Availability::Draining)),
            [false; 3],
        ),
    ];
    for (name, change, expected) in table {
        let (mut chooser, layout) = three_replicas(Policy::Full);
        change(&mut chooser);
        let counts = counts(&mut chooser, &layout, 0);
        assert_eq!(counts.map(|count| count > 0), expected, "{name}: {counts:?}");
        let missing = chooser.choose(0, &layout, 0).missing;
        assert_eq!(missing.is_empty(), expected != [false; 3], "{name}");
    }
}

#[test]
fn an_unknown_holder_is_left_out() {
    let layout = Layout::new(1, vec![vec![0, 7], vec![7]]);
    let mut chooser = Chooser::new(Policy::Full, [Distance::SameDomain], SECOND_US);
    let plan = chooser.choose(0, &layout, 1);
    assert_eq!((plan.calls.len(), plan.missing), (1, vec![1]));
}

#[test]
fn the_plain_policy_chooses_round_robin() {
    let (mut chooser, layout) = three_replicas(Policy::Plain);
    assert_eq!(counts(&mut chooser, &layout, 0), [33, 34, 33]);
    chooser.set_availability(1, Availability::Draining);
    let counts = counts(&mut chooser, &layout, 0);
    assert_eq!(counts[1], 0);
    assert_eq!(counts[0] + counts[2], 100);
}

#[test]
fn a_recovered_searcher_is_used_again_after_probes() {
    let (mut chooser, layout) = three_replicas(Policy::Full);
    chooser.record_answer(0, 0, 200_000);
    chooser.record_answer(0, 1, 5_000);
    let mut probes = 0;
    for step in 1..100 {
        let now_us = step * SECOND_US / 10;
        let plan = chooser.choose(now_us, &layout, step);
        chooser.record_answer(now_us, plan.calls[0].searcher, 5_000);
        let Some(slow) = chooser.probe(now_us, &layout, &plan.calls[0]) else {
            continue;
        };
        assert_eq!(slow, 0);
        probes += 1;
        chooser.record_answer(now_us, slow, 5_000);
    }
    assert!((2..=9).contains(&probes), "{probes} probes in 10 s");
    assert!(counts(&mut chooser, &layout, 10 * SECOND_US)[0] > 0);
}

#[test]
fn an_unresponsive_searcher_is_suspect_until_its_next_report() {
    let (mut chooser, layout) = three_replicas(Policy::Full);
    for _ in 0..3 {
        chooser.record_overdue(SECOND_US, 0, 400);
    }
    assert_eq!(counts(&mut chooser, &layout, SECOND_US)[0], 0);
    chooser.record_report(SECOND_US, 0, LoadReport::default());
    assert!(counts(&mut chooser, &layout, SECOND_US)[0] > 0);
}

/// Whether each shard with a holder that is not draining is in exactly one call, and all others are
/// listed as missing.
fn covers(layout: &[Vec<u16>], plan: &Plan, draining: u16) -> bool {
    let mut times = vec![0; layout.len()];
    for call in &plan.calls {
        for shard in &call.shards {
            times[*shard as usize] += 1;
            if call.searcher == draining || !layout[*shard as usize].contains(&call.searcher) {
                return false;
            }
        }
    }
    for (shard, holders) in layout.iter().enumerate() {
        let usable = holders.iter().any(|holder| *holder != draining);
        let missing = plan.missing.contains(&(shard as u32));
        if times[shard] != usize::from(usable) || missing == usable {
            return false;
        }
    }
    true
}

quickcheck! {
    fn each_shard_is_asked_for_once(holders: Vec<Vec<u8>>, draining: u8, seed: u64) -> bool {
        let holders: Vec<Vec<u16>> =
            holders.iter().map(|list| list.iter().map(|id| u16::from(*id)).collect()).collect();
        let layout = Layout::new(256, holders.clone());
        let mut valid = true;
        for policy in [Policy::Plain, Policy::Full] {
            let mut chooser = Chooser::new(policy, vec![Distance::SameDomain; 256], SECOND_US);
            chooser.set_availability(u16::from(draining), Availability::Draining);
            let plan = chooser.choose(0, &layout, seed);
            valid &= covers(&holders, &plan, u16::from(draining));
            valid &= plan == chooser.clone().choose(0, &layout, seed) || policy == Policy::Plain;
        }
        valid
    }

    fn extra_calls_stay_within_their_budget(queries: Vec<(u8, bool)>) -> bool {
        let mut hedger = hedge::Hedger::new(5);
        let (mut needed, mut hedges, mut retries) = (0_u32, 0_u32, 0_u32);
        for (calls, saturated) in queries {
            needed += u32::from(calls);
            hedger.record_needed(u32::from(calls));
            for rank in Rank::ALL {
                hedges += u32::from(hedger.try_hedge(rank, saturated));
                retries += u32::from(hedger.try_retry(rank, saturated));
                if saturated && (hedger.try_hedge(rank, true) || hedger.try_retry(rank, true)) {
                    return false;
                }
            }
        }
        f64::from(hedges) <= f64::from(needed) * 0.05 && f64::from(retries) <= f64::from(needed) * 0.1
    }

    fn quantiles_are_within_a_bucket(samples: Vec<u32>) -> bool {
        let mut sorted: Vec<u64> = samples.iter().map(|s| u64::from(s % 1_000_000) + 50).collect();
        let mut quantiles = estimate::Quantiles::default();
        for sample in &sorted {
            quantiles.record(*sample);
        }
        sorted.sort_unstable();
        for share in [0.1, 0.5, 0.95] {
            let index = (share * sorted.len() as f64).ceil() as usize;
            let exact = index.checked_sub(1).map(|index| sorted[index] as f64);
            let Some(found) = quantiles.quantile_us(share) else {
                return sorted.is_empty();
            };
            if !exact.is_some_and(|e| found as f64 >= e - 1.0 && found as f64 <= e * 1.1) {
                return false;
            }
        }
        true
    }
}

#[test]
fn a_rate_follows_jumps_and_is_stable_otherwise() {
    let mut rate = estimate::Rate::new(0);
    let mut now_us = 0;
    for (interval_us, steps) in [(2_000, 2_000), (200, 1_000), (10_000, 300)] {
        for _ in 0..steps {
            now_us += interval_us;
            rate.record(now_us, 1.0);
            rate.per_us(now_us);
        }
        let found = rate.per_us(now_us) * interval_us as f64;
        assert!(
            (0.85..1.15).contains(&found),
            "the estimate is {found} of the rate of one event per {interval_us} us"
        );
    }
}

/// Prints the planning time per query; the time is not checked.
#[test]
fn a_query_over_71_searchers_is_planned() {
    let (shards, replicas, rounds) = (71, 3, 1_000);
    let holders: Vec<Vec<u16>> =
        (0..shards).map(|s| (0..replicas).map(|r| s * replicas + r).collect()).collect();
    let layout = Layout::new(usize::from(shards * replicas), holders.clone());
    let distances = vec![Distance::SameRegion; usize::from(shards * replicas)];
    let mut chooser = Chooser::new(Policy::Full, distances, SECOND_US);
    for searcher in 0..shards * replicas {
        chooser.record_answer(0, searcher, 10_000 + u64::from(searcher));
    }
    let start = time::Instant::now();
    let mut calls = 0;
    for seed in 0..rounds {
        calls += chooser.choose(SECOND_US, &layout, seed).calls.len();
    }
    println!("{:.1} us for each query", start.elapsed().as_secs_f64() * 1e6 / rounds as f64);
    assert_eq!(calls, 71 * rounds as usize);
    assert!(covers(&holders, &chooser.choose(SECOND_US, &layout, 1), u16::MAX));
}
