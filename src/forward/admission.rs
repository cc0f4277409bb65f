//! Bounds what untrusted clients can make the process hold: memory for request bodies, and connections.

pub mod body;
pub mod connections;
pub mod memory;

use crate::clock;
use crate::event;
use crate::events::Event;
use crate::forward::metrics;
use crate::forward::response;
use crate::forward::send_limit;
use crate::rate_limit;
use std::sync;
use std::time;

/// The most log lines per second about bodies and connections that were turned away.
const LOG_LINES_PER_S: u32 = 5;
/// The `Retry-After` of a request that there was no memory for: about the time after which a stalled body gives way.
const RETRY_AFTER_MS: u64 = 200;
/// How often connections whose request head has stopped arriving are looked for.
const SWEEP_PERIOD: time::Duration = time::Duration::from_millis(500);

/// The limits of one process.
pub struct Admission {
    /// The memory for request bodies.
    pub bodies: sync::Arc<memory::Pool>,
    /// The connections of clients that send requests.
    pub clients: sync::Arc<connections::Limit>,
    /// The connections of clients that ask for addresses.
    pub directory: sync::Arc<connections::Limit>,
    metrics: sync::Arc<metrics::Metrics>,
    log_limit: rate_limit::RateLimit,
}

impl Admission {
    /// Creates the limits of a process on `machine`, whose memory counts in `account`.
    pub fn new(
        machine: memory::Machine,
        account: &sync::Arc<memory::Account>,
        metrics: sync::Arc<metrics::Metrics>,
    ) -> Self {
        let budget = memory::Budget::new(machine.memory_bytes);
        let clients_max =
            connections::clients_max(machine.descriptors_max, budget.connections_bytes);
        let directory_max =
            connections::directory_max(machine.descriptors_max, budget.directory_bytes);
        Self {
            bodies: sync::Arc::new(memory::Pool::within(account.clone(), budget.bodies_bytes)),
            clients: sync::Arc::new(connections::Limit::within(account.clone(), clients_max)),
            directory: sync::Arc::new(connections::Limit::within(account.clone(), directory_max)),
            metrics,
            log_limit: rate_limit::RateLimit::new(LOG_LINES_PER_S),
        }
    }

    /// Admits a new connection. At the limit the one that gives way is closed before this returns.
    pub async fn admit(&self, limit: &sync::Arc<connections::Limit>) -> Option<connections::Open> {
        let admitted = limit.admit(clock::now_us());
        let has_closed_one = match &admitted {
            connections::Admitted::Free(_) => false,
            connections::Admitted::InPlaceOfAnother(_) | connections::Admitted::Refused => true,
        };
        if has_closed_one {
            self.metrics.record_admission("connection_closed");
            if let Some(left_out) = self.log_limit.allow(clock::now_us()) {
                event!(info, Event::ConnectionLimit, open_connections = limit.count(), left_out);
            }
        }
        match admitted {
            connections::Admitted::Free(open) => Some(open),
            connections::Admitted::InPlaceOfAnother(open) => {
                // Lets the closed connection's task release its descriptor before the next one is accepted.
                tokio::task::yield_now().await;
                Some(open)
            }
            connections::Admitted::Refused => None,
        }
    }

    /// Closes connections whose request head began to arrive more than `head_timeout_ms` ago, without end.
    pub async fn close_stalled_heads(&self, head_timeout_ms: impl Fn() -> Option<u64>) {
        loop {
            tokio::time::sleep(SWEEP_PERIOD).await;
            let Some(timeout_ms) = head_timeout_ms() else {
                continue;
            };
            let count = self.clients.close_stalled_heads(clock::now_us(), timeout_ms * 1_000);
            for _ in 0..count {
                self.metrics.record_admission("head_stalled");
            }
        }
    }

    /// The response to a request whose sends have no room, and the record of it.
    pub fn refuse_send(
        &self,
        request: &str,
        need: send_limit::Need,
        retry_after_ms: u64,
    ) -> response::Response {
        self.metrics.record_admission("send_refused");
        if let Some(left_out) = self.log_limit.allow(clock::now_us()) {
            let send_limit::Need { count, head_bytes, .. } = need;
            event!(info, Event::SendRefused, %request, count, head_bytes, retry_after_ms, left_out);
        }
        response::refuse(retry_after_ms)
    }

    /// The response to a request whose body was not read, and the record of it; `None` if the client is gone. The
    /// request was not sent anywhere, and the connection can't be used again.
    pub fn refuse(&self, request: &str, failure: &body::Failure) -> Option<response::Response> {
        let (outcome, response) = match failure {
            body::Failure::Connection(error) => {
                tracing::debug!(%request, %error, "failed to read the request body");
                return None;
            }
            body::Failure::TooLong => {
                return Some(response::status(http::StatusCode::PAYLOAD_TOO_LARGE));
            }
            body::Failure::NoRoom => ("body_refused", response::refuse(RETRY_AFTER_MS)),
            body::Failure::GaveWay => ("body_gave_way", response::refuse(RETRY_AFTER_MS)),
            body::Failure::Stalled => {
                ("body_stalled", response::status(http::StatusCode::REQUEST_TIMEOUT))
            }
        };
        self.metrics.record_admission(outcome);
        if let Some(left_out) = self.log_limit.allow(clock::now_us()) {
            let used_bytes = self.bodies.used_bytes();
            event!(info, Event::BodyRefused, %request, outcome, used_bytes, left_out);
        }
        Some(closing(response))
    }
}

/// Makes the response the last one of its connection: the rest of the request is not read.
pub fn closing(mut response: response::Response) -> response::Response {
    let close = http::HeaderValue::from_static("close");
    response.headers_mut().insert(http::header::CONNECTION, close);
    response
}
