//! The clock of decisions: it never goes back, and it goes on while the machine is suspended.

/// Microseconds since some moment before the process started.
pub fn now_us() -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is a valid place for the answer.
    let failed = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
    debug_assert_eq!(failed, 0, "this clock is there on every supported system");
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
