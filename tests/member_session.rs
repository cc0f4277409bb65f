//! Snapshots of all messages in a small cluster and of one node's events.

mod member_net;

use member_net::Net;
use tarragondoor::member::machine::{Event, Input};

fn events_of(net: &Net, index: usize) -> Vec<String> {
    let mut lines = Vec::new();
    for (at_ms, event) in &net.nodes[index].events {
        if let Event::Changed(record) = event {
            let (name, boot, incarnation) = (&record.name, record.boot, record.incarnation);
            lines.push(format!("{at_ms:>6} {name} {boot}.{incarnation} {}", record.state));
        }
    }
    lines
}

#[test]
fn three_nodes_join() {
    let mut net = Net::new(3, 1);
    net.trace = Some(Vec::new());
    net.run(2_500);
    insta::assert_snapshot!(net.trace.unwrap_or_default().join("\n"));
}

#[test]
fn membership_changes_seen_by_one_node() {
    let mut net = Net::settled(4, 2);
    net.step(1, Input::Leave);
    net.run(5_000);
    net.step(1, Input::Depart);
    net.run(1_000);
    net.restart(1, member_net::address(1));
    net.run(10_000);
    net.kill(3);
    net.run(20_000);
    net.restart(3, member_net::address(77));
    net.run(10_000);
    net.pause(2);
    net.run(20_000);
    net.resume(2);
    net.run(10_000);
    insta::assert_snapshot!(events_of(&net, 0).join("\n"));
}
