//! Membership under faults of members and of the network, in a simulated network.

mod member_net;

use member_net::Net;
use std::net;
use tarragondoor::member::machine::{Event, Input};
use tarragondoor::member::message::{Kind, Message};
use tarragondoor::member::{Record, SettingsStatus, State};

const CONVERGE_MAX_MS: u64 = 60_000;
const NODES: usize = 8;

/// A fault of one node or of the network, which begins and ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
enum Fault {
    Kill,
    Pause,
    DropOutgoing,
    DropIncoming,
    CutPair,
    Loss,
    Partition,
    RestartSameAddress,
    RestartOtherAddress,
    Leave,
    Join,
}

impl Fault {
    fn begin(self, net: &mut Net) {
        match self {
            Fault::Kill => net.kill(2),
            Fault::Pause => net.pause(3),
            Fault::DropOutgoing => net.nodes[4].drops_outgoing = true,
            Fault::DropIncoming => net.nodes[5].drops_incoming = true,
            Fault::CutPair => net.cut = vec![(6, 7)],
            Fault::Loss => net.loss = 0.3,
            Fault::Partition => net.partitioned = true,
            Fault::RestartSameAddress => net.restart(6, member_net::address(6)),
            Fault::RestartOtherAddress => net.restart(7, member_net::address(99)),
            Fault::Leave => net.step(1, Input::Leave),
            Fault::Join => {
                net.add();
            }
        }
    }

    fn end(self, net: &mut Net) {
        match self {
            Fault::Pause => net.resume(3),
            Fault::DropOutgoing => net.nodes[4].drops_outgoing = false,
            Fault::DropIncoming => net.nodes[5].drops_incoming = false,
            Fault::CutPair => net.cut.clear(),
            Fault::Loss => net.loss = 0.0,
            Fault::Partition => net.partitioned = false,
            Fault::Leave => {
                net.step(1, Input::Depart);
                net.kill(1);
            }
            Fault::Kill | Fault::RestartSameAddress | Fault::RestartOtherAddress | Fault::Join => {}
        }
    }

    /// The node that all others should have as Unreachable while the fault lasts.
    fn expected_unreachable(self) -> Option<usize> {
        match self {
            Fault::Kill => Some(2),
            Fault::Pause => Some(3),
            Fault::DropOutgoing => Some(4),
            Fault::DropIncoming => Some(5),
            _ => None,
        }
    }
}

fn faults() -> impl Iterator<Item = Fault> {
    <Fault as strum::IntoEnumIterator>::iter()
}

fn assert_converges(net: &mut Net, what: &str) {
    let took = net.run_until(CONVERGE_MAX_MS, Net::agrees);
    assert!(took.is_some(), "{what}: views did not converge");
}

#[test]
fn nodes_find_each_other() {
    for count in [1, 2, 3, 7, 50, 100] {
        let mut net = Net::new(count, 1);
        assert_converges(&mut net, &format!("{count} nodes"));
    }
}

#[test]
fn each_fault_is_detected_and_recovers() {
    for fault in faults() {
        let mut net = Net::settled(NODES, 2);
        let start_ms = net.now_ms;
        fault.begin(&mut net);
        net.run(30_000);
        if let Some(unreachable) = fault.expected_unreachable() {
            assert!(net.all_hold(unreachable, State::Unreachable), "{fault:?}");
        }
        let others = (0..NODES).filter(|index| Some(*index) != fault.expected_unreachable());
        for index in others {
            let tolerated = matches!(fault, Fault::Partition | Fault::Loss);
            let declared_by_healthy = (0..NODES)
                .filter(|at| net.is_up(*at) && Some(*at) != fault.expected_unreachable())
                .any(|at| net.state(at, index) == Some(State::Unreachable));
            assert!(
                tolerated || !declared_by_healthy,
                "{fault:?}: {index} was declared unreachable; the fault began at {start_ms} ms"
            );
        }
        fault.end(&mut net);
        assert_converges(&mut net, &format!("{fault:?}"));
    }
}

#[test]
fn two_faults_at_once_recover() {
    for first in faults() {
        for second in faults().filter(|second| *second != first) {
            let mut net = Net::settled(NODES, 3);
            first.begin(&mut net);
            net.run(7_000);
            second.begin(&mut net);
            net.run(20_000);
            first.end(&mut net);
            net.run(3_000);
            second.end(&mut net);
            assert_converges(&mut net, &format!("{first:?}, {second:?}"));
        }
    }
}

#[test]
fn resumed_member_declares_nobody_unreachable() {
    for paused_ms in [2_000, 5_000, 60_000, 3_600_000] {
        let mut net = Net::settled(7, 2);
        let suspect = with_state(&net, 5, State::Suspect);
        net.inject(member_net::address(0), 3, gossip(&net, 0, suspect));
        net.run(2);
        assert_eq!(net.state(3, 5), Some(State::Suspect));
        net.pause(3);
        net.run(paused_ms);
        let resumed_ms = net.now_ms;
        net.resume(3);
        assert_converges(&mut net, "resumed");
        net.run(30_000);
        assert_eq!(net.declared(State::Unreachable, resumed_ms), 0, "paused for {paused_ms} ms");
    }
}

#[test]
fn partitioned_regions_merge_again_without_false_positives() {
    for count in [2, 7, 60] {
        let mut net = Net::settled(count, 4);
        net.partitioned = true;
        net.run(3_600_000);
        for at in 0..count {
            for of in 0..count {
                let expected = if at % 2 == of % 2 { State::Alive } else { State::Unreachable };
                assert_eq!(net.state(at, of), Some(expected), "{count} nodes: {of} at {at}");
            }
        }
        net.partitioned = false;
        let healed_ms = net.now_ms;
        assert_converges(&mut net, &format!("{count} nodes"));
        net.run(30_000);
        assert_eq!(net.declared(State::Unreachable, healed_ms), 0, "{count} nodes");
    }
}

#[test]
fn node_that_joins_one_partition_is_found_by_the_other() {
    let mut net = Net::settled(6, 4);
    net.partitioned = true;
    net.run(60_000);
    net.add();
    net.run(3_600_000);
    assert_eq!(net.state(0, 6), Some(State::Alive));
    assert_eq!(net.state(6, 1), Some(State::Unreachable), "learnt from its own partition");
    assert_eq!(net.state(1, 6), None);
    net.partitioned = false;
    assert_converges(&mut net, "joined while partitioned");
}

#[test]
fn graceful_leave_is_announced_and_not_reported_as_a_failure() {
    let mut net = Net::settled(7, 2);
    net.step(3, Input::Leave);
    net.run(10_000);
    assert!(net.all_hold(3, State::Leaving));
    net.step(3, Input::Depart);
    net.kill(3);
    net.run(5_000);
    assert!(net.all_hold(3, State::Left));
    assert_eq!(net.declared(State::Unreachable, 0), 0);

    net.step(4, Input::Leave);
    net.run(5_000);
    net.kill(4);
    net.run(30_000);
    assert!(net.all_hold(4, State::Unreachable), "killed while leaving: it may still run");
}

#[test]
fn leaving_member_is_not_declared_unreachable_under_loss() {
    let mut net = Net::settled(7, 2);
    net.step(3, Input::Leave);
    net.loss = 0.1;
    net.run(1_200_000);
    assert!(net.all_hold(3, State::Leaving));
    assert_eq!(net.declared(State::Unreachable, 0), 0);
}

#[test]
fn new_member_is_probed_in_the_current_round() {
    for seed in 1..=5 {
        let mut net = Net::settled(60, seed);
        let new_member = net.add();
        assert_converges(&mut net, "new member");
        net.kill(new_member);
        let took = net.run_until(12_000, |net| net.all_hold(new_member, State::Unreachable));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn replayed_old_messages_change_nothing() {
    let mut net = Net::settled(7, 5);
    net.recorded = Some(Vec::new());
    net.step(3, Input::Leave);
    net.run(20_000);
    let mut old = net.recorded.take().unwrap();
    old.extend(old.clone());
    net.step(3, Input::Depart);
    net.restart(3, member_net::address(3));
    assert_converges(&mut net, "restarted");
    let start_ms = net.now_ms;
    for (from, to, message) in old {
        net.inject(from, to, message);
        net.run(5);
    }
    assert_converges(&mut net, "after the old messages");
    assert_eq!(net.declared(State::Unreachable, start_ms), 0);
    assert_eq!(net.declared(State::Leaving, start_ms), 0);
    assert_eq!(net.nodes[0].machine.find(&member_net::name(3)).unwrap().boot.0, 2);
}

#[test]
fn process_with_an_older_boot_learns_that_it_was_superseded() {
    let mut net = Net::settled(4, 6);
    net.pause(3);
    net.run(20_000);
    let address = member_net::address(50);
    let newer = member_net::record(3, address, 9);
    net.inject(address, 0, gossip(&net, 1, newer.clone()));
    net.run(5_000);
    net.resume(3);
    net.run(20_000);
    let superseded =
        |event: &(u64, Event)| matches!(event.1, Event::Superseded(boot) if boot == newer.boot);
    assert_eq!(net.nodes[3].events.iter().filter(|event| superseded(event)).count(), 1);
    assert_eq!(net.nodes[0].machine.find(&newer.name).unwrap().boot, newer.boot);
}

/// The current record of node `of` with another state.
fn with_state(net: &Net, of: usize, state: State) -> Record {
    Record { state, ..net.nodes[of].machine.own_record().clone() }
}

/// A gossip message from node `from` that carries `record`.
fn gossip(net: &Net, from: usize, record: Record) -> Message {
    let sender = net.nodes[from].machine.own_record();
    Message {
        from: sender.name.clone(),
        boot: sender.boot,
        settings_status: SettingsStatus::default(),
        kind: Kind::Gossip,
        updates: vec![record],
    }
}

#[test]
fn unreachable_claim_is_verified_with_the_member() {
    let mut net = Net::settled(7, 11);
    let start_ms = net.now_ms;
    let claim = with_state(&net, 3, State::Unreachable);
    net.inject(member_net::address(1), 0, gossip(&net, 1, claim.clone()));
    net.run(5_000);
    assert_eq!(net.declared(State::Unreachable, start_ms), 0);
    assert!(net.nodes[3].machine.own_record().incarnation > claim.incarnation, "refuted");
    assert!(net.agrees());

    net.kill(3);
    let claim = with_state(&net, 3, State::Unreachable);
    net.inject(member_net::address(1), 0, gossip(&net, 1, claim));
    net.run(30_000);
    assert!(net.all_hold(3, State::Unreachable));
}

#[test]
fn members_with_a_cut_link_are_probed_indirectly() {
    let mut net = Net::settled(NODES, 2);
    let start_ms = net.now_ms;
    net.cut = vec![(6, 7)];
    net.run(120_000);
    assert_eq!(net.declared(State::Suspect, start_ms), 0);
}

fn list(indexes: impl IntoIterator<Item = usize>) -> Input {
    let listed = |index| (member_net::name(index), member_net::address(index));
    Input::Listed(indexes.into_iter().map(listed).collect())
}

fn list_all(net: &mut Net, indexes: &[usize]) {
    for at in 0..net.nodes.len() {
        if net.is_up(at) {
            net.step(at, list(indexes.iter().copied()));
        }
    }
}

#[test]
fn empty_or_stale_lists_declare_nobody_unreachable() {
    let mut net = Net::settled(7, 7);
    let start_ms = net.now_ms;
    for indexes in [&[][..], &[0][..], &[0, 1, 2, 90, 91][..]] {
        for _ in 0..20 {
            list_all(&mut net, indexes);
            net.run(60_000);
        }
        assert!(net.agrees(), "{indexes:?}");
    }
    assert_eq!(net.declared(State::Unreachable, start_ms), 0);
}

#[test]
fn member_is_forgotten_only_when_unreachable_and_unlisted_for_long() {
    let mut net = Net::settled(5, 8);
    net.kill(3);
    for _ in 0..30 {
        list_all(&mut net, &[0, 1, 2, 3, 4]);
        net.run(60_000);
    }
    assert!(net.all_hold(3, State::Unreachable), "listed");
    for _ in 0..30 {
        list_all(&mut net, &[]);
        net.run(60_000);
    }
    assert!(net.all_hold(3, State::Unreachable), "the list is empty: the platform is unavailable");
    for _ in 0..9 {
        list_all(&mut net, &[0, 1, 2, 4]);
        net.run(60_000);
    }
    assert!(net.all_hold(3, State::Unreachable), "unlisted for 9 minutes");
    for _ in 0..3 {
        list_all(&mut net, &[0, 1, 2, 4]);
        net.run(60_000);
    }
    for at in [0, 1, 2, 4] {
        assert_eq!(net.state(at, 3), None, "forgotten at {at}");
    }
    net.restart(3, member_net::address(3));
    assert_converges(&mut net, "back with a newer boot");
}

#[test]
fn forgotten_member_that_kept_running_returns() {
    let mut net = Net::settled(4, 9);
    net.nodes[3].drops_outgoing = true;
    for _ in 0..15 {
        list_all(&mut net, &[0, 1, 2]);
        net.run(60_000);
    }
    assert_eq!(net.state(0, 3), None);
    net.nodes[3].drops_outgoing = false;
    assert_converges(&mut net, "messages of the same boot arrive again");
}

#[test]
fn listed_instances_are_joined_when_no_seed_answers() {
    let mut net = Net::new(0, 10);
    for _ in 0..4 {
        net.add();
    }
    net.kill(0);
    net.kill(1);
    net.run(10_000);
    assert_eq!(net.state(2, 3), None);
    list_all(&mut net, &[2, 3]);
    assert_converges(&mut net, "found through the list");
    let elsewhere: net::SocketAddr = member_net::address(70);
    net.restart(3, elsewhere);
    net.run(30_000);
    net.step(2, Input::Listed(vec![(member_net::name(3), elsewhere)]));
    assert_converges(&mut net, "found at the listed address");
}
