//! The gossip thread over UDP sockets on the loopback interface.

use std::net;
use std::sync::atomic;
use std::thread;
use std::time;
use tarragondoor::member::machine;
use tarragondoor::{gossip, ids, member, seal};

const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
const WAIT_MAX: time::Duration = time::Duration::from_secs(30);

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = time::Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_MAX, "timed out: {what}");
        thread::sleep(time::Duration::from_millis(10));
    }
}

fn start(index: u64, boot: u64, seeds: Vec<net::SocketAddr>) -> gossip::Handle {
    let socket = net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let own_record = member::Record {
        name: format!("entry-{index}").parse().unwrap(),
        boot: ids::BootId(boot),
        incarnation: ids::Incarnation(0),
        state: member::State::Alive,
        peer_address: address,
        caller_address: address,
        region: "north".parse().unwrap(),
        failure_domain: "north-a".parse().unwrap(),
    };
    let protocol = member::Config::default();
    let config = gossip::Config { own_record, protocol, seeds, rng_seed: index, nonce: boot };
    gossip::start(config, socket, KEY.parse().unwrap()).unwrap()
}

fn name(index: u64) -> ids::InstanceName {
    format!("entry-{index}").parse().unwrap()
}

fn state_of(handle: &gossip::Handle, index: u64) -> Option<member::State> {
    handle.view().find(&name(index)).map(|record| record.state)
}

#[test]
fn three_instances_over_udp() {
    let first = start(1, 1, Vec::new());
    let seeds = vec![first.local_address()];
    let second = start(2, 2, seeds.clone());
    let third = start(3, 3, seeds.clone());
    for handle in [&first, &second, &third] {
        wait_until("all three see each other", || handle.view().live().count() == 3);
    }

    let mut events = third.subscribe(1_000).unwrap();
    let status = member::SettingsStatus { revision: ids::Revision(7), hash: [7; 32], fresh: true };
    second.set_settings_status(status).unwrap();
    second.send_direct(name(3), b"query".to_vec()).unwrap();
    let (mut status_received, mut bytes_received) = (false, false);
    wait_until("the settings status and the bytes arrive", || {
        while let Ok(event) = events.try_recv() {
            status_received |= matches!(&event, machine::Event::SettingsStatus { from, status: s, .. } if *from == name(2) && *s == status);
            bytes_received |= matches!(&event, machine::Event::Direct { from, bytes, .. } if *from == name(2) && bytes == b"query");
        }
        status_received && bytes_received
    });

    second.leave().unwrap();
    wait_until("leaving", || state_of(&first, 2) == Some(member::State::Leaving));
    second.stop();
    wait_until("left", || state_of(&first, 2) == Some(member::State::Left));
    let second = start(2, 20, seeds);
    wait_until("back with a newer boot", || {
        let view = first.view();
        view.find(&name(2)).is_some_and(|record| {
            record.boot == ids::BootId(20) && record.state == member::State::Alive
        })
    });
    wait_until("the restarted instance sees all", || second.view().live().count() == 3);
}

#[test]
fn invalid_datagrams_change_nothing() {
    let first = start(1, 1, Vec::new());
    let before = first.view();
    let sender = net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let other_key = seal::ClusterKey::from_bytes([9; seal::KEY_BYTES]);
    let now_ms = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap().as_millis();
    let forged = seal::Sealer::new(other_key, ids::BootId(5), 5).seal(b"body", now_ms as u64);
    let malformed =
        seal::Sealer::new(KEY.parse().unwrap(), ids::BootId(5), 5).seal(b"body", now_ms as u64);
    let datagrams = [Vec::new(), vec![0; 10], vec![7; 1_500], forged, malformed.clone(), malformed];
    for datagram in &datagrams {
        sender.send_to(datagram, first.local_address()).unwrap();
    }
    let stats = first.stats();
    wait_until("all datagrams are counted", || stats.received.load(atomic::Ordering::Relaxed) == 6);
    wait_until("each datagram is counted under its reason", || {
        stats.rejected(seal::SealError::Short) == 2
            && stats.rejected(seal::SealError::Version) == 1
            && stats.rejected(seal::SealError::Mac) == 1
            && stats.malformed.load(atomic::Ordering::Relaxed) == 1
            && stats.rejected(seal::SealError::Replayed) == 1
    });
    assert_eq!(before.members, first.view().members);
    assert_eq!(stats.sent.load(atomic::Ordering::Relaxed), 0);
}

/// The CPU time of all threads of this process, in nanoseconds.
fn process_cpu_ns() -> u64 {
    let mut total_ns = 0;
    for task in std::fs::read_dir("/proc/self/task").unwrap() {
        let path = task.unwrap().path().join("schedstat");
        let text = std::fs::read_to_string(path).unwrap_or_default();
        total_ns += text.split(' ').next().and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    }
    total_ns
}

#[test]
#[ignore = "a measurement of a minute; run alone with --ignored --nocapture"]
fn cost_with_system_calls() {
    const MEASURE: time::Duration = time::Duration::from_secs(20);
    for count in [7, 50] {
        let mut handles = vec![start(0, 1, Vec::new())];
        let seeds = vec![handles[0].local_address()];
        for index in 1..count {
            handles.push(start(index, 1, seeds.clone()));
        }
        for handle in &handles {
            wait_until("all see each other", || handle.view().live().count() as u64 == count);
        }
        thread::sleep(time::Duration::from_secs(5));
        let sent = || {
            handles
                .iter()
                .map(|handle| handle.stats().sent.load(atomic::Ordering::Relaxed))
                .sum::<u64>()
        };
        let (sent_before, before_ns) = (sent(), process_cpu_ns());
        thread::sleep(MEASURE);
        let spent_ns = process_cpu_ns() - before_ns;
        let seconds = MEASURE.as_secs_f64() * count as f64;
        let percent = spent_ns as f64 / 1e9 / seconds * 100.0;
        let rate = (sent() - sent_before) as f64 / seconds;
        println!("{count} instances: {percent:.3} % of a core and {rate:.1} datagrams/s each");
    }
}
