//! Measurements of detection, healing and joining in virtual time, deterministic for each seed.

mod member_net;

use member_net::Net;
use tarragondoor::member::State;
use tarragondoor::member::machine::Event;

#[derive(Debug, Default)]
struct FalsePositives {
    suspected: usize,
    unreachable: usize,
}

/// Counts how often `count` healthy members suspect each other or declare each other Unreachable.
fn false_positives(count: usize, loss: f64, minutes: u64, seed: u64) -> FalsePositives {
    let mut net = Net::settled(count, seed);
    net.loss = loss;
    let start_ms = net.now_ms;
    net.run(minutes * 60_000);
    FalsePositives {
        suspected: net.declared(State::Suspect, start_ms),
        unreachable: net.declared(State::Unreachable, start_ms),
    }
}

#[derive(Debug)]
struct Detection {
    /// The time from the kill until the first member declared it Unreachable.
    first_ms: u64,
    /// The time from the kill until all members had it as Unreachable.
    all_ms: u64,
}

fn detect(count: usize, loss: f64, seed: u64) -> Detection {
    let mut net = Net::settled(count, seed);
    net.loss = loss;
    net.run(seed % 10 * 100);
    let killed_ms = net.now_ms;
    net.kill(count / 2);
    let all_ms = net.run_until(120_000, |net| net.all_hold(count / 2, State::Unreachable));
    let mut first_ms = u64::MAX;
    for node in &net.nodes {
        for (at_ms, event) in &node.events {
            if matches!(event, Event::Changed(record) if record.state == State::Unreachable) {
                first_ms = first_ms.min(at_ms.saturating_sub(killed_ms));
            }
        }
    }
    Detection { first_ms, all_ms: all_ms.unwrap_or(u64::MAX) }
}

fn quantiles(mut values: Vec<u64>) -> String {
    values.sort();
    let at = |share: f64| values[((values.len() - 1) as f64 * share).round() as usize];
    format!("p50 {} p99 {} max {}", at(0.5), at(0.99), at(1.0))
}

fn report(count: usize, loss: f64, seeds: u64) {
    let mut first = Vec::new();
    let mut all = Vec::new();
    for seed in 1..=seeds {
        let detection = detect(count, loss, seed);
        first.push(detection.first_ms);
        all.push(detection.all_ms);
    }
    let (first, all) = (quantiles(first), quantiles(all));
    println!("{count} members, loss {loss}: first ms {first}; all ms {all}");
}

#[test]
#[ignore = "a measurement of minutes; run with --release --ignored --nocapture"]
fn detection_time() {
    for (count, loss, seeds) in [(7, 0.0, 200), (7, 0.02, 200), (100, 0.02, 50), (400, 0.02, 20)] {
        report(count, loss, seeds);
    }
}

#[test]
#[ignore = "a measurement of minutes; run with --release --ignored --nocapture"]
fn false_positive_counts() {
    for (count, loss) in [(7, 0.02), (7, 0.3), (100, 0.02), (400, 0.02), (100, 0.1), (100, 0.3)] {
        let FalsePositives { suspected, unreachable } = false_positives(count, loss, 10, 1);
        println!(
            "{count} members, loss {loss}, 10 min: {suspected} Suspect, {unreachable} Unreachable"
        );
    }
}

/// Partitions the regions for ten minutes. Returns how long the views then take to converge, in milliseconds,
/// and the messages that each member sends per second in this time.
fn heal(count: usize, seed: u64) -> (u64, f64) {
    let mut net = Net::settled(count, seed);
    net.partitioned = true;
    net.run(600_000);
    net.partitioned = false;
    let before = net.sent;
    let took_ms = net.run_until(600_000, Net::agrees).unwrap_or(u64::MAX);
    (took_ms, (net.sent - before) as f64 * 1_000.0 / took_ms as f64 / count as f64)
}

#[test]
#[ignore = "a measurement of minutes; run with --release --ignored --nocapture"]
fn healing_time() {
    for count in [7, 60, 100, 200] {
        let mut took = Vec::new();
        let mut rate = 0_f64;
        for seed in 1..=5 {
            let (took_ms, messages_per_s) = heal(count, seed);
            took.push(took_ms);
            rate = rate.max(messages_per_s);
        }
        println!("{count} members, 5 seeds: {} ms, {rate:.1} messages/s", quantiles(took));
    }
}

#[test]
#[ignore = "a measurement of minutes; run with --release --ignored --nocapture"]
fn joining_time() {
    for count in [7, 50, 100, 200, 400] {
        let took = (1..=5)
            .map(|seed| Net::new(count, seed).run_until(600_000, Net::agrees).unwrap_or(u64::MAX));
        println!("{count} at once, 5 seeds: {} ms", quantiles(took.collect()));
    }
}

#[test]
fn no_false_positives_with_little_loss() {
    for seed in 1..=3 {
        assert_eq!(false_positives(50, 0.02, 5, seed).unreachable, 0, "seed {seed}");
    }
}
