//! The monotonic clock for timeouts and ages; it keeps running while the machine is suspended.

use std::sync;

/// Microseconds since the machine started.
pub fn now_us() -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is valid for writes.
    let failed = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
    debug_assert_eq!(failed, 0, "CLOCK_BOOTTIME is available on every supported system");
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// Microseconds since this process first asked for them.
pub fn uptime_us() -> u64 {
    static START_US: sync::OnceLock<u64> = sync::OnceLock::new();
    elapsed_us(&START_US, now_us)
}

/// Microseconds since `start_us`, which is set to the present time if nobody has set it.
pub fn elapsed_us(start_us: &sync::OnceLock<u64>, now_us: impl Fn() -> u64) -> u64 {
    // The start is settled first: another thread may set it to a later time than one that was read before.
    let start_us = *start_us.get_or_init(&now_us);
    now_us() - start_us
}
