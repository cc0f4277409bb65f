//! The `Retry-After` time of refused requests, and that in searchers' answers.

use std::time;

/// The shortest time of an instance that does not know the configuration and the searchers yet: the usual
/// duration of a start.
const UNREADY_MIN_MS: u64 = 300;
/// The longest time: clients with a longer timeout can still retry in time.
const UNREADY_MAX_MS: u64 = 3_000;
/// The random variation of a time in either direction, so that clients don't retry all at once.
const JITTER: f64 = 0.25;

/// The `Retry-After` time of a request that no searcher has run, if the searchers have named no longer one.
const UNAVAILABLE_MIN_MS: u64 = 400;
/// By how much a named time is extended for each step of priority, as a share of it, so that urgent requests return
/// first.
const PRIORITY_SPREAD: f64 = 0.1;
/// The most steps of priority that count.
const PRIORITY_STEPS_MAX: u8 = 3;

/// The longest time that is accepted from a searcher, and that a client is told; a longer one is taken for this.
const PAUSE_MAX_S: f64 = 600.0;

/// Parses the `Retry-After` header of a searcher's answer: seconds, with or without a fraction. `None` if it is not
/// a number of seconds.
pub fn parse(text: &str) -> Option<time::Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    if !seconds.is_finite() || seconds < 0.0 {
        return None;
    }
    Some(time::Duration::from_secs_f64(seconds.min(PAUSE_MAX_S)))
}

/// Returns the `Retry-After` time, in milliseconds, of an instance that has waited `waiting_us` for the
/// configuration and the searchers. It grows with the wait: an outage is likely to last as long again as it
/// has lasted so far, and clients have few attempts.
pub fn unready_ms(waiting_us: u64) -> u64 {
    jitter((waiting_us / 1_000).clamp(UNREADY_MIN_MS, UNREADY_MAX_MS))
}

/// Returns the `Retry-After` time, in milliseconds, of a request that can't be served before the operator sends another
/// configuration.
pub fn unusable_ms() -> u64 {
    jitter(UNREADY_MAX_MS)
}

/// Returns the `Retry-After` time, in milliseconds, of a request that no searcher has run and that searchers accept
/// again in `wait_ms`. It is shorter only if `wait_ms` is longer than [`PAUSE_MAX_S`], and clients are spread over the
/// time after it, urgent ones first.
pub fn unavailable_ms(wait_ms: u64, priority: u8) -> u64 {
    if wait_ms <= UNAVAILABLE_MIN_MS {
        return UNAVAILABLE_MIN_MS;
    }
    let steps = f64::from(priority.min(PRIORITY_STEPS_MAX)) + rand::random::<f64>();
    let spread_ms = wait_ms as f64 * (1.0 + PRIORITY_SPREAD * steps);
    spread_ms.min(PAUSE_MAX_S * 1e3) as u64
}

fn jitter(wait_ms: u64) -> u64 {
    let factor = 1.0 + JITTER * (2.0 * rand::random::<f64>() - 1.0);
    (wait_ms as f64 * factor) as u64
}
