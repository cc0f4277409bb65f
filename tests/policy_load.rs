//! The full policy under load and faults, with the plain policy in the same setups as a baseline.
//!
//! The bounds are the policy's targets. Each figure is a mean over the seeds.

mod simulator;

use simulator::{Run, SECOND_US, Setup};
use tarragondoor::policy::Policy;
use tarragondoor::rank::Rank;

const SEEDS: [u64; 3] = [1, 2, 3];
/// The end of the first phase.
const CHANGE_US: u64 = 2 * SECOND_US;
/// The time from which the effects of a load change count as settled.
const SETTLED_US: u64 = 3 * SECOND_US;
const END_US: u64 = 7 * SECOND_US;
const SLOTS: usize = 5;

/// The results of one rank, as means over the seeds.
#[derive(Clone, Copy, Default)]
struct RankResult {
    /// The fraction of arrived queries served in time.
    served: f64,
    /// The queries served in time as a fraction of the capacity.
    goodput: f64,
    /// The fraction of unserved queries that the entry refused.
    refused_at_entry: f64,
    p99_ms: f64,
}

fn runs(setup: &Setup) -> Vec<Run> {
    let mut runs = Vec::new();
    for seed in SEEDS {
        let run = simulator::run(Setup { seed, ..setup.clone() });
        if setup.two_owners.is_none() {
            assert!(run.max_in_use <= SLOTS, "{} slots in use", run.max_in_use);
        }
        runs.push(run);
    }
    runs
}

/// Computes the results of each rank for the queries that arrived in the time span, and prints them
/// under `name`.
fn summarize(name: &str, setup: &Setup, runs: &[Run], from_us: u64, to_us: u64) -> [RankResult; 3] {
    let capacity = setup.capacity() * (to_us - from_us) as f64 / SECOND_US as f64;
    let count = runs.len() as f64;
    let mut results = [RankResult::default(); 3];
    for run in runs {
        for rank in Rank::ALL {
            let tally = run.tally(rank, from_us, to_us);
            let served = tally.latencies_us.len();
            let unserved = tally.arrived - served;
            let result = &mut results[rank.index()];
            result.served += served as f64 / tally.arrived.max(1) as f64 / count;
            result.goodput += served as f64 / capacity / count;
            let refused_at_entry =
                if unserved == 0 { 1.0 } else { tally.refused_at_entry as f64 / unserved as f64 };
            result.refused_at_entry += refused_at_entry / count;
            result.p99_ms += tally.quantile_ms(0.99) / count;
        }
    }
    println!("{name}, {}: extra {:.2} %", setup.policy, extra_percent(runs));
    for rank in Rank::ALL {
        let RankResult { served, goodput, refused_at_entry, p99_ms } = results[rank.index()];
        println!(
            "  {rank}: served {served:.4}, of capacity {goodput:.3}, refused at entry {refused_at_entry:.3}, p99 {p99_ms:.0} ms"
        );
    }
    results
}

fn settled(name: &str, setup: &Setup) -> [RankResult; 3] {
    summarize(name, setup, &runs(setup), SETTLED_US, END_US)
}

fn extra_percent(runs: &[Run]) -> f64 {
    runs.iter().map(Run::extra_percent).sum::<f64>() / runs.len() as f64
}

fn low_load(policy: Policy) -> Setup {
    Setup::new(policy).phase(7.0, [0.1, 0.2, 0.2])
}

fn load_change(policy: Policy, load: [f64; 3]) -> Setup {
    Setup::new(policy).phase(2.0, [0.1, 0.3, 0.2]).phase(5.0, load)
}

#[test]
fn one_slow_searcher_in_twenty_at_most_doubles_p99() {
    let factor = |policy| {
        let without = settled("low load", &low_load(policy));
        let slow = vec![(3, 20.0, 0), (27, 20.0, 0), (49, 20.0, 0)];
        let setup = Setup { slow, ..low_load(policy) };
        let runs = runs(&setup);
        let with = summarize("slow searchers", &setup, &runs, SETTLED_US, END_US);
        let mut worst: f64 = 0.0;
        for rank in Rank::ALL {
            let result = with[rank.index()];
            // The p99 covers only served queries, so too few of them count as an unbounded latency.
            let served_factor = if result.served < 0.99 { f64::INFINITY } else { 1.0 };
            worst = worst.max(served_factor * result.p99_ms / without[rank.index()].p99_ms);
        }
        (worst, extra_percent(&runs))
    };
    let (full, extra) = factor(Policy::Full);
    let (plain, _) = factor(Policy::Plain);
    assert!(full <= 2.0, "p99 grew by a factor of {full:.2}");
    assert!(extra <= 5.0, "{extra:.2} % extra calls");
    assert!(plain > 2.0, "p99 of the plain policy grew only by a factor of {plain:.2}");
}

#[test]
fn a_background_flood_does_not_affect_other_ranks() {
    let load = [0.1, 0.3, 5.0];
    let plain = settled("background flood", &load_change(Policy::Plain, load));
    assert!(plain[0].served < 0.99 && plain[1].served < 0.9);
    let setup = load_change(Policy::Full, load);
    let runs = runs(&setup);
    for (name, from_us) in [("its start", CHANGE_US), ("settled", SETTLED_US)] {
        let name = format!("background flood, {name}");
        let results = summarize(&name, &setup, &runs, from_us, from_us + SECOND_US);
        assert!(results[0].served >= 0.99, "urgent {:.4}", results[0].served);
        assert!(results[1].served >= 0.9, "standard {:.4}", results[1].served);
        assert!(
            results[2].refused_at_entry >= 0.99,
            "background refused at entry {:.4}",
            results[2].refused_at_entry
        );
    }
}

#[test]
fn an_urgent_flood_leaves_the_other_ranks_their_floors() {
    let load = [3.0, 0.3, 0.3];
    settled("urgent flood", &load_change(Policy::Plain, load));
    let setup = load_change(Policy::Full, load);
    let runs = runs(&setup);
    summarize("urgent flood, its start", &setup, &runs, CHANGE_US, CHANGE_US + SECOND_US / 2);
    let results = summarize("urgent flood", &setup, &runs, SETTLED_US, END_US);
    for rank in [Rank::Standard, Rank::Background] {
        let floor = f64::from(setup.floors_percent[rank.index()]) / 100.0;
        let goodput = results[rank.index()].goodput;
        assert!(goodput >= floor, "{rank}: goodput {goodput:.3} is below the floor {floor:.3}");
    }
}

#[test]
fn overload_does_not_reduce_goodput() {
    for load in [[0.5, 1.0, 1.5], [0.2, 0.3, 2.5], [2.0, 0.5, 0.5]] {
        settled("overload", &load_change(Policy::Plain, load));
        let results = settled("overload", &load_change(Policy::Full, load));
        let goodput: f64 = results.iter().map(|result| result.goodput).sum();
        assert!(goodput >= 0.9, "goodput {goodput:.3} at {load:?}");
    }
}

#[test]
fn a_silent_searcher_is_avoided() {
    for policy in [Policy::Plain, Policy::Full] {
        let setup = Setup { silent: Some((5, CHANGE_US)), ..low_load(policy) };
        let setup = setup.phase(8.0, [0.1, 0.2, 0.2]);
        let runs = runs(&setup);
        summarize("silent, first second", &setup, &runs, CHANGE_US, CHANGE_US + SECOND_US);
        let after_us = CHANGE_US + 5 * SECOND_US;
        let results = summarize("silent, after 5 s", &setup, &runs, after_us, setup.end_us);
        let served = results.map(|result| result.served);
        let all_served = served == [1.0; 3];
        assert_eq!(all_served, policy == Policy::Full, "served {served:?}");
    }
}

#[test]
fn the_targets_hold_in_harder_setups() {
    let flood = load_change(Policy::Full, [0.1, 0.3, 5.0]);
    let table = [
        ("one entry has half the load", Setup { first_entry_share: 0.5, ..flood.clone() }),
        ("one call in twenty is long", Setup { long_share: 0.05, ..flood.clone() }),
        ("one replica slow", Setup { slow: vec![(4, 20.0, CHANGE_US)], ..flood.clone() }),
        ("two owners", Setup { two_owners: Some((SETTLED_US, 5 * SECOND_US)), ..flood }),
    ];
    for (name, setup) in table {
        let runs = runs(&setup);
        let results = summarize(name, &setup, &runs, CHANGE_US, END_US);
        let max_in_use = runs.iter().map(|run| run.max_in_use).max().unwrap_or(0);
        let excess = runs.iter().map(|run| run.excess_slots).sum::<usize>() as f64;
        let starts = runs.iter().map(|run| run.starts_with_two_owners).sum::<usize>();
        let mean = excess / starts.max(1) as f64;
        println!(
            "  most slots in use: {max_in_use}; with two owners {mean:.2} too many on average"
        );
        assert!(max_in_use <= 2 * SLOTS);
        assert!(mean <= 1.0, "{mean:.2} slots too many on average");
        assert!(results[0].served >= 0.99, "{name}: urgent {:.4}", results[0].served);
        assert!(results[1].served >= 0.9, "{name}: standard {:.4}", results[1].served);
    }
}
