//! Authentication of datagrams and protection against replay.

use tarragondoor::ids;
use tarragondoor::seal::{self, ClusterKey, ParseKeyError, SealError};

const NOW_MS: u64 = 1_700_000_000_000;

fn key(byte: u8) -> ClusterKey {
    ClusterKey::from_bytes([byte; seal::KEY_BYTES])
}

fn sealer(key: ClusterKey) -> seal::Sealer {
    seal::Sealer::new(key, ids::BootId(3), 4)
}

#[test]
fn keys_from_text() {
    let text = "00FF".repeat(16);
    let bytes = [[0, 0xff]; 16].concat().try_into().unwrap();
    assert_eq!(text.parse(), Ok(ClusterKey::from_bytes(bytes)));
    assert_eq!("00".parse::<ClusterKey>(), Err(ParseKeyError::Length(2)));
    let bad = format!("{}x", &text[1..]);
    assert_eq!(bad.parse::<ClusterKey>(), Err(ParseKeyError::Digit(63)));
    assert_eq!("é".repeat(32).parse::<ClusterKey>(), Err(ParseKeyError::Digit(0)));
    assert_eq!(format!("{:?}", key(7)), "ClusterKey(..)");
}

#[test]
fn macs_depend_on_key_context_and_bytes() {
    let mac = seal::mac(&key(1), b"link", b"hello");
    assert!(seal::mac_eq(&mac, &seal::mac(&key(1), b"link", b"hello")));
    for other in [
        seal::mac(&key(2), b"link", b"hello"),
        seal::mac(&key(1), b"linkh", b"ello"),
        seal::mac(&key(1), b"link", b"hellp"),
    ] {
        assert!(!seal::mac_eq(&mac, &other));
    }
    for index in 0..seal::MAC_BYTES {
        let mut other = mac;
        other[index] ^= 0x80;
        assert!(!seal::mac_eq(&mac, &other), "byte {index}");
    }
}

#[test]
fn datagrams_are_accepted_or_rejected_by_cause() {
    let good = sealer(key(1)).seal(b"body", NOW_MS);
    let mut version = good.clone();
    version[0] = 2;
    let other_key = sealer(key(2)).seal(b"body", NOW_MS);
    let skew_ms = seal::CLOCK_SKEW_MAX_MS;
    type Case<'a> = (&'a str, &'a [u8], u64, Result<&'a [u8], SealError>);
    let table: [Case; 8] = [
        ("good", &good, NOW_MS, Ok(b"body")),
        ("late", &good, NOW_MS + skew_ms, Ok(b"body")),
        ("too late", &good, NOW_MS + skew_ms + 1, Err(SealError::Stale)),
        ("too early", &good, NOW_MS - skew_ms - 1, Err(SealError::Stale)),
        ("cut in the header", &good[..seal::OVERHEAD_BYTES - 1], NOW_MS, Err(SealError::Short)),
        ("cut in the body", &good[..good.len() - 1], NOW_MS, Err(SealError::Mac)),
        ("version", &version, NOW_MS, Err(SealError::Version)),
        ("key", &other_key, NOW_MS, Err(SealError::Mac)),
    ];
    for (what, datagram, now_ms, expected) in table {
        let opened = seal::Opener::new(key(1)).open(datagram, now_ms).map(|opened| opened.body);
        assert_eq!(opened.map(<[u8]>::to_vec), expected.map(<[u8]>::to_vec), "{what}");
    }
}

#[test]
fn any_changed_bit_is_rejected() {
    let good = sealer(key(1)).seal(b"body", NOW_MS);
    for index in 0..good.len() * 8 {
        let mut changed = good.clone();
        changed[index / 8] ^= 1 << (index % 8);
        let error = seal::Opener::new(key(1)).open(&changed, NOW_MS).unwrap_err();
        let expected = if index < 8 { SealError::Version } else { SealError::Mac };
        assert_eq!(error, expected, "bit {index}");
    }
}

#[test]
fn each_datagram_is_accepted_once_in_any_order() {
    let mut sealer = sealer(key(1));
    let datagrams: Vec<Vec<u8>> = (0..200).map(|_| sealer.seal(b"body", NOW_MS)).collect();
    let mut opener = seal::Opener::new(key(1));
    for index in (100..200).rev().chain(0..72) {
        let opened = opener.open(&datagrams[index], NOW_MS);
        let expected = if index >= 72 { None } else { Some(SealError::Replayed) };
        assert_eq!(opened.err(), expected, "first time, {index}");
    }
    for datagram in &datagrams[72..100] {
        assert!(opener.open(datagram, NOW_MS).is_ok(), "late but in the window");
    }
    for datagram in &datagrams {
        assert_eq!(opener.open(datagram, NOW_MS), Err(SealError::Replayed));
    }
    let other = seal::Sealer::new(key(1), ids::BootId(3), 5).seal(b"body", NOW_MS);
    assert!(opener.open(&other, NOW_MS).is_ok(), "another process has its own sequence");
}

#[test]
fn replay_windows_of_idle_senders_are_dropped_without_accepting_replays() {
    let mut opener = seal::Opener::new(key(1));
    let old = sealer(key(1)).seal(b"body", NOW_MS);
    assert!(opener.open(&old, NOW_MS).is_ok());
    for boot in 10..1_000 {
        let datagram = seal::Sealer::new(key(1), ids::BootId(boot), 1).seal(b"", NOW_MS);
        assert!(opener.open(&datagram, NOW_MS).is_ok());
    }
    let before = opener.memory_bytes();
    let later_ms = NOW_MS + 10 * seal::CLOCK_SKEW_MAX_MS;
    let mut fresh = seal::Sealer::new(key(1), ids::BootId(5), 1);
    for _ in 0..1_000 {
        assert!(opener.open(&fresh.seal(b"", later_ms), later_ms).is_ok());
    }
    assert!(opener.memory_bytes() < before / 10);
    assert_eq!(opener.open(&old, later_ms), Err(SealError::Stale));
}

quickcheck::quickcheck! {
    fn arbitrary_bytes_are_rejected(bytes: Vec<u8>, version: bool) -> bool {
        let mut bytes = bytes;
        if let Some(first) = bytes.first_mut().filter(|_| version) {
            *first = 1;
        }
        seal::Opener::new(key(1)).open(&bytes, NOW_MS).is_err()
    }

    fn sealed_bytes_are_opened(body: Vec<u8>, now_ms: u64) -> bool {
        let datagram = sealer(key(1)).seal(&body, now_ms);
        let mut opener = seal::Opener::new(key(1));
        let opened = opener.open(&datagram, now_ms);
        datagram.len() == seal::OVERHEAD_BYTES + body.len()
            && opened == Ok(seal::Opened { boot: ids::BootId(3), body: &body })
    }
}
