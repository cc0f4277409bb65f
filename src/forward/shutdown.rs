//! What an instance that stops still does for its clients.
//!
//! The platform kills an instance some time after the request to stop. Until then the instance answers all requests
//! that it has accepted, and it accepts only those that it expects to answer in that time. The others are refused at
//! once: they have not run, and another instance can serve them.

use crate::forward::query;

/// The quantile of a route's processing times that a request is expected to take.
pub const QUANTILE: f64 = 0.99;
/// By how much a request may exceed that quantile.
const QUANTILE_FACTOR: u64 = 3;
/// The `Retry-After` time, in milliseconds, of a request refused because the instance stops: other instances can serve
/// it at once.
pub const RETRY_AFTER_MS: u64 = 0;

/// How far the shutdown has gone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Not shutting down.
    #[default]
    Serving,
    /// No longer listed in the directory; a connection is closed after its next response.
    Draining {
        /// The time by which all requests are answered.
        last_answer_us: u64,
    },
    /// Idle connections are closed and no new ones are accepted.
    Closing {
        /// The time by which all requests are answered.
        last_answer_us: u64,
    },
}

impl Phase {
    /// The time by which all requests are answered; `None` if the instance does not stop.
    pub fn last_answer_us(self) -> Option<u64> {
        match self {
            Self::Serving => None,
            Self::Draining { last_answer_us } | Self::Closing { last_answer_us } => {
                Some(last_answer_us)
            }
        }
    }
}

/// Returns how long a request is expected to take at the most. `processing_us` is the quantile [`QUANTILE`] of its
/// route, `None` if that is not known: then a request that may run only once is expected to take its whole timeout,
/// since its outcome would be unknown if it were cut short.
pub fn expected_duration_us(spec: &query::Spec, processing_us: Option<u64>) -> u64 {
    let expected_us = match processing_us {
        Some(processing_us) => spec.target_us.max(processing_us.saturating_mul(QUANTILE_FACTOR)),
        None if spec.is_idempotent => spec.target_us,
        None => spec.timeout_us,
    };
    expected_us.min(spec.timeout_us)
}

/// Returns whether an instance that answers all requests by `last_answer_us` accepts one that may take `expected_us`.
pub fn accepts(now_us: u64, last_answer_us: u64, expected_us: u64) -> bool {
    now_us.saturating_add(expected_us) <= last_answer_us
}
