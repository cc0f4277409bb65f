//! Measures the memory and time that the ledger takes for each key.

use std::alloc;
use std::hint;
use std::sync::atomic;
use std::time;
use tarragondoor::ids;
use tarragondoor::key;
use tarragondoor::ledger;
use tarragondoor::rank;

const START_MS: u64 = 1_700_000_000_000;

/// An allocator that counts the allocated bytes.
struct Counting;

static USED_BYTES: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

// SAFETY: all calls are forwarded unchanged to the system allocator.
unsafe impl alloc::GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: alloc::Layout) -> *mut u8 {
        USED_BYTES.fetch_add(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { alloc::System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: alloc::Layout) {
        USED_BYTES.fetch_sub(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { alloc::System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

struct Row {
    keys: usize,
    bytes: usize,
    elapsed: time::Duration,
}

/// Runs `keys` requests to completion, each with a result of 32 bytes.
fn measure(keys: usize) -> Row {
    let home: ids::InstanceName = "i1".parse().unwrap();
    let issued_s = START_MS / 1_000;
    let before_bytes = USED_BYTES.load(atomic::Ordering::Relaxed);
    let mut ledger = ledger::Ledger::new(home.clone(), ids::BootId(7));
    let started = time::Instant::now();
    for number in 0..keys as u64 {
        let key = key::Key::new(home.clone(), ids::BootId(7), issued_s, number);
        let (body, rank) = (key::BodyHash(number), rank::Rank::Urgent);
        let request = ledger::Request { body, rank, deadline_ms: START_MS + 1_000 };
        assert_eq!(ledger.request(START_MS, &key, request), ledger::Decision::Start);
        let ledger::Permit::Send(attempt) = ledger.permit_send(START_MS, &key) else {
            panic!("the attempt was denied");
        };
        let outcome = ledger::AttemptOutcome::Ran("0123456789abcdef0123456789abcdef".into());
        hint::black_box(ledger.attempt_ended(START_MS, &key, attempt, outcome));
    }
    let elapsed = started.elapsed();
    let bytes = USED_BYTES.load(atomic::Ordering::Relaxed) - before_bytes;
    assert_eq!(ledger.record_count(), keys);
    Row { keys, bytes, elapsed }
}

#[test]
fn a_full_ledger_stays_within_its_memory() {
    const BYTES_MAX: usize = 64 << 20;
    let row = measure(ledger::RECORDS_MAX);
    assert!(row.bytes <= BYTES_MAX, "the ledger uses {} bytes", row.bytes);
}

#[test]
#[ignore = "a measurement; run with --release --ignored --nocapture --test-threads=1"]
fn all_sizes() {
    for keys in [32_768, 65_536, 131_072, 262_144] {
        let row = measure(keys);
        println!(
            "{:>7} keys: {:>9} bytes, {:>4} per key; {:.0} ns per request",
            row.keys,
            row.bytes,
            row.bytes / row.keys,
            row.elapsed.as_nanos() as f64 / row.keys as f64
        );
    }
}
