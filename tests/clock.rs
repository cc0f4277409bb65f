//! The time since the start of a process.

use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;
use tarragondoor::clock;

/// Guards against a start that is later than the time it is subtracted from, if two threads ask for the first time.
#[test]
fn a_thread_that_is_overtaken_by_another_gets_the_time_since_the_start() {
    let start_us = sync::OnceLock::new();
    let time_us = atomic::AtomicU64::new(0);
    let now_us = &|| time_us.fetch_add(1, atomic::Ordering::SeqCst);
    let start_us = &start_us;
    let (overtook, overtaken) = mpsc::channel();
    let (read, has_read) = mpsc::channel();
    let overtaken_now_us = move || {
        let now_us = now_us();
        read.send(()).unwrap();
        // Ends without the other thread if that waits for this one.
        let _ = overtaken.recv_timeout(time::Duration::from_millis(200));
        now_us
    };
    thread::scope(|scope| {
        let first = scope.spawn(move || clock::elapsed_us(start_us, overtaken_now_us));
        has_read.recv().unwrap();
        clock::elapsed_us(start_us, now_us);
        // Fails if the first thread did not wait.
        let _ = overtook.send(());
        assert!(first.join().unwrap() < 10);
    });
}
