//! Properties of record merging, message encoding and convergence after random faults.

mod member_net;

use member_net::Net;
use quickcheck::{Arbitrary, Gen};
use rand::rngs;
use rand::{RngExt, SeedableRng};
use strum::IntoEnumIterator as _;
use tarragondoor::member::message::{self, Kind, Message};
use tarragondoor::member::{Record, SettingsStatus, State};
use tarragondoor::{ids, seal};

#[derive(Clone, Debug)]
struct AnyRecord(Record);

impl Arbitrary for AnyRecord {
    fn arbitrary(g: &mut Gen) -> Self {
        let states: Vec<State> = State::iter().collect();
        let number = usize::arbitrary(g) % 3;
        let mut record = member_net::record(number, member_net::address(number + 10), 0);
        record.name = member_net::name(usize::arbitrary(g) % 4);
        record.boot = ids::BootId(u64::arbitrary(g) % 3);
        record.incarnation = ids::Incarnation(u32::arbitrary(g) % 3);
        record.state = *g.choose(&states).unwrap();
        Self(record)
    }
}

#[derive(Clone, Debug)]
struct AnyMessage(Message);

impl Arbitrary for AnyMessage {
    fn arbitrary(g: &mut Gen) -> Self {
        let sequence = u32::arbitrary(g) % 50;
        let target = member_net::name(usize::arbitrary(g) % 4);
        let kinds = [
            Kind::Ping { sequence, target: target.clone() },
            Kind::Ack { sequence, target: target.clone() },
            Kind::PingRequest { sequence, target, address: member_net::address(1) },
            Kind::Nack { sequence },
            Kind::Join,
            Kind::Gossip,
            Kind::Digest { root: u64::arbitrary(g) },
            Kind::Buckets { hashes: vec![u64::arbitrary(g); usize::arbitrary(g) % 40] },
            Kind::Page { want: u32::arbitrary(g) },
            Kind::Direct(Vec::arbitrary(g)),
        ];
        let records: Vec<AnyRecord> = Vec::arbitrary(g);
        Self(Message {
            from: member_net::name(usize::arbitrary(g) % 4),
            boot: ids::BootId(u64::arbitrary(g) % 3),
            settings_status: SettingsStatus {
                fresh: bool::arbitrary(g),
                ..SettingsStatus::default()
            },
            kind: g.choose(&kinds).unwrap().clone(),
            updates: records.into_iter().take(5).map(|record| record.0).collect(),
        })
    }
}

/// Gives all records the same name, as `merge` requires.
fn one_name<const N: usize>(records: [AnyRecord; N]) -> [Record; N] {
    records.map(|AnyRecord(record)| Record { name: member_net::name(0), ..record })
}

quickcheck::quickcheck! {
    fn merge_is_commutative(a: AnyRecord, b: AnyRecord) -> bool {
        let [a, b] = one_name([a, b]);
        a.clone().merge(b.clone()) == b.merge(a)
    }

    fn merge_is_associative(a: AnyRecord, b: AnyRecord, c: AnyRecord) -> bool {
        let [a, b, c] = one_name([a, b, c]);
        let left = a.clone().merge(b.clone()).merge(c.clone());
        left == a.merge(b.merge(c))
    }

    fn merge_is_idempotent(a: AnyRecord) -> bool {
        let [a] = one_name([a]);
        a.clone().merge(a.clone()) == a
    }

    fn newest_boot_incarnation_and_state_prevails(a: AnyRecord, b: AnyRecord) -> bool {
        let [a, b] = one_name([a, b]);
        let newest = (a.boot, a.incarnation, a.state).max((b.boot, b.incarnation, b.state));
        let merged = a.merge(b);
        (merged.boot, merged.incarnation, merged.state) == newest
    }

    fn messages_are_decoded_as_encoded(message: AnyMessage) -> bool {
        let bytes = message.0.encode();
        bytes.len() > message::MESSAGE_MAX_BYTES || Message::decode(&bytes) == Ok(message.0)
    }

    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>, message: AnyMessage, cut: usize, flip: usize) -> bool {
        let _ = Message::decode(&bytes);
        let mut encoded = message.0.encode();
        let index = flip % encoded.len();
        encoded[index] ^= 1 << (flip % 8);
        let _ = Message::decode(&encoded);
        encoded[index] ^= 1 << (flip % 8);
        let cut = cut % encoded.len();
        Message::decode(&encoded[..cut]).is_err()
    }

    /// Arbitrary messages from a sender with the key cause neither a panic nor unbounded traffic, and no datagram
    /// exceeds its maximum length.
    fn exchanges_terminate(messages: Vec<AnyMessage>) -> bool {
        let mut net = Net::settled(2, 1);
        let before = net.sent;
        net.recorded = Some(Vec::new());
        let count = messages.len() as u64;
        for (index, message) in messages.into_iter().enumerate() {
            net.inject(member_net::address(index % 4), index % 2, message.0);
            net.run(10);
        }
        net.run(2_000);
        let fits = net.recorded.iter().flatten().all(|(_, _, message)| {
            message.encode().len() + seal::OVERHEAD_BYTES <= message::DATAGRAM_MAX_BYTES
        });
        fits && net.sent - before < 200 + 20 * count
    }
}

/// Starts a random fault, which lasts until [`heal`].
fn inject_random_fault(net: &mut Net, rng: &mut rngs::SmallRng) {
    let index = rng.random_range(0..net.nodes.len());
    match rng.random_range(0..8) {
        0 => net.loss = rng.random_range(0.0..0.6),
        1 => net.partitioned = true,
        2 => net.nodes[index].drops_outgoing = true,
        3 => net.nodes[index].drops_incoming = true,
        4 => net.pause(index),
        5 => net.kill(index),
        6 => net.restart(index, member_net::address(index)),
        _ => net.cut.push((index, (index + 1) % net.nodes.len())),
    }
}

fn heal(net: &mut Net) {
    net.loss = 0.0;
    net.partitioned = false;
    net.cut.clear();
    for index in 0..net.nodes.len() {
        net.nodes[index].drops_outgoing = false;
        net.nodes[index].drops_incoming = false;
        if net.nodes[index].paused {
            net.resume(index);
        }
        if !net.nodes[index].running {
            net.restart(index, member_net::address(index));
        }
    }
}

fn converges(seed: u64) -> bool {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut net = Net::settled(6, seed);
    for _ in 0..rng.random_range(1..6) {
        inject_random_fault(&mut net, &mut rng);
        net.run(rng.random_range(0..30_000));
    }
    heal(&mut net);
    net.run_until(120_000, Net::agrees).is_some()
}

/// Seeds that are tested on each run, in addition to random ones.
const FIXED_SEEDS: [u64; 4] = [0, 1, 2, 3];

#[test]
fn random_faults_converge_after_healing() {
    for seed in FIXED_SEEDS {
        assert!(converges(seed), "seed {seed}");
    }
    quickcheck::QuickCheck::new().quickcheck(converges as fn(u64) -> bool);
}
