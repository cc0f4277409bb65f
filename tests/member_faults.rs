//! Faults of members and of the network, driven without sockets.

mod member_net;

use member_net::Net;
use tarragondoor::member::State;
use tarragondoor::member::machine::Input;

#[test]
fn nodes_find_each_other() {
    for count in [1, 2, 3, 7, 50, 100] {
        let mut net = Net::new(count, 1);
        let took = net.run_until(30_000, Net::agrees);
        println!("{count} nodes: {took:?}");
        assert!(took.is_some(), "{count} nodes");
    }
}

#[test]
fn killed_member_becomes_unreachable() {
    let mut net = Net::settled(7, 2);
    net.kill(3);
    let took = net.run_until(30_000, |net| net.all_hold(3, State::Unreachable));
    println!("{took:?}");
    assert!(took.is_some());
    assert!(net.agrees());
}

#[test]
fn frozen_member_comes_back_and_blames_nobody() {
    let mut net = Net::settled(7, 2);
    net.freeze(3);
    net.run(60_000);
    assert!(net.all_hold(3, State::Unreachable));
    let woken_ms = net.now_ms;
    net.wake(3);
    let took = net.run_until(30_000, Net::agrees);
    println!("{took:?}");
    assert!(took.is_some());
    net.run(30_000);
    assert_eq!(net.declared(State::Unreachable, woken_ms), 0);
}

#[test]
fn parted_regions_find_each_other_again() {
    for count in [7, 60] {
        let mut net = Net::settled(count, 4);
        net.parted = true;
        net.run(3_600_000);
        assert!(net.all_hold(0, State::Unreachable) || net.state(1, 0) == Some(State::Unreachable));
        assert_eq!(net.state(2, 0), Some(State::Alive));
        net.parted = false;
        let healed_ms = net.now_ms;
        let took = net.run_until(120_000, Net::agrees);
        println!("{count}: {took:?} unreachable {}", net.declared(State::Unreachable, healed_ms));
        assert!(took.is_some());
        net.run(30_000);
        assert_eq!(net.declared(State::Unreachable, healed_ms), 0);
    }
}

#[test]
fn graceful_leave() {
    let mut net = Net::settled(7, 2);
    net.step(3, Input::Leave);
    assert!(net.run_until(30_000, |net| net.all_hold(3, State::Leaving)).is_some());
    net.run(30_000);
    assert!(net.all_hold(3, State::Leaving));
    net.step(3, Input::Depart);
    net.kill(3);
    assert!(net.run_until(30_000, |net| net.all_hold(3, State::Left)).is_some());
    assert_eq!(net.declared(State::Unreachable, 0), 0);
}
