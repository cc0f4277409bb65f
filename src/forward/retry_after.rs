//! When a client may come back whose request was refused.

/// The least time at an instance that does not know the configuration and the searchers yet: a usual start.
const UNREADY_MIN_MS: u64 = 300;
/// The longest: clients with more patience than that still come back in time.
const UNREADY_MAX_MS: u64 = 3_000;
/// How much times are spread either way, so that clients don't come back together.
const JITTER: f64 = 0.25;

/// At an instance that has been waiting for the configuration and the searchers for `waiting_us`. An outage
/// that has lasted for a while is likely to last as long again, and a client has few attempts.
pub fn unready_ms(waiting_us: u64) -> u64 {
    jitter((waiting_us / 1_000).clamp(UNREADY_MIN_MS, UNREADY_MAX_MS))
}

fn jitter(wait_ms: u64) -> u64 {
    let factor = 1.0 + JITTER * (2.0 * rand::random::<f64>() - 1.0);
    (wait_ms as f64 * factor) as u64
}
