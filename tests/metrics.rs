//! Compares the text of all metrics with a snapshot.

use std::time;
use tarragondoor::caller_api;
use tarragondoor::ids;
use tarragondoor::member;
use tarragondoor::metrics;
use tarragondoor::rank;

#[test]
fn rendered_metrics_match_the_snapshot() {
    let metrics = metrics::Metrics::new();
    let missing = vec![ids::ShardId(3)];
    let coverage = caller_api::Coverage { shards_answered: 3, shards_total: 4, missing };
    let effort =
        caller_api::Effort { calls_needed: 4, calls_sent: 6, hedges: 1, retries: 1, restarts: 1 };
    let latency = time::Duration::from_millis(7);
    metrics.record_search(rank::Rank::Urgent, latency, &coverage, &effort);
    let whole = caller_api::Coverage { shards_answered: 4, shards_total: 4, missing: Vec::new() };
    metrics.record_search(rank::Rank::Urgent, latency, &whole, &effort);
    metrics.record_refusal(rank::Rank::Background, caller_api::ErrorCode::Overloaded);
    metrics.record_refusal(rank::Rank::Background, caller_api::ErrorCode::Overloaded);
    metrics.record_run(caller_api::Outcome::NotRun);
    metrics.set_ledger(12, 3);
    metrics.set_connections(metrics::Peer::Searcher, 40);
    metrics.set_members([member::State::Alive, member::State::Alive, member::State::Suspect]);
    metrics.set_members([member::State::Alive, member::State::Left]);
    metrics.set_revisions(ids::Revision(2), ids::Revision(3));
    metrics.set_traffic(metrics::Channel::Gossip, metrics::Direction::Sent, 1_200);
    let text = metrics.render().unwrap();
    let mut lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.last(), Some(&"# EOF"));
    // The order of label sets is not fixed.
    lines.sort_unstable();
    insta::assert_snapshot!(lines.join("\n"));
}
