//! Sends a request to one searcher.

use crate::clock;
use crate::forward::answer_buffer;
use crate::forward::balancer;
use crate::forward::dialect;
use crate::forward::endpoint;
use crate::forward::header;
use crate::forward::query;
use crate::forward::read_limit;
use crate::forward::retry_after;
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::sync;
use std::time;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// The timeout for opening a connection: two round trips between regions, the time that a busy searcher takes
/// to accept, and a margin.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// A searcher that accepts no more connections resets a new one within this time, besides the round trip.
const RESET_TIME: time::Duration = time::Duration::from_millis(8);
/// For this long after its start an instance takes any searcher for one that may reset new connections: it may still
/// count those of the instance's predecessor.
const RESTART_US: u64 = 8_000_000;
/// How long to wait after an answer for the connection to be ready for the next request.
const REUSE_TIMEOUT: time::Duration = time::Duration::from_millis(50);
/// The size limit of an answer's head, and of the bytes of its body that are read at once.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// How much is read from a connection before the head of an answer is complete: informational responses, the head, and the
/// bytes of the body that are read with it.
const HEAD_READ_BYTES: usize = 4 * READ_BUFFER_BYTES;
/// The size limit of an answer's body.
const ANSWER_MAX_BYTES: usize = 8 << 20;
/// The largest request body after which a connection is reused. A searcher may answer before it has read all
/// of a larger body, and would take the rest for the next request.
const REUSE_BODY_MAX_BYTES: usize = 8 << 10;
/// The largest request head after which a connection is reused. The buffer for a larger one would be kept with it.
const REUSE_HEAD_MAX_BYTES: usize = 6 << 10;
/// A request is not sent if less time than this is left until its deadline.
const REMAINING_MIN_US: u64 = 2_000;

/// A client's request as it is forwarded to searchers.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// The HTTP method.
    pub method: http::Method,
    /// The path and query string.
    pub uri: http::Uri,
    /// The client's headers that are forwarded.
    pub headers: http::HeaderMap,
    /// The length of the head that the client sent.
    pub head_bytes: usize,
    /// The body.
    pub body: Bytes,
    /// The request id assigned by the client.
    pub id: CompactString,
    /// The time after which the client no longer needs an answer.
    pub deadline_us: u64,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
}

/// The result of a send, as reported to the query and to the balancer.
pub struct SendResult {
    /// The outcome for the query.
    pub outcome: query::Outcome,
    /// The observation for the balancer.
    pub report: balancer::Report,
    /// The status, or why there is no answer, for the log.
    pub detail: CompactString,
}

impl SendResult {
    fn new(
        outcome: query::Outcome,
        report: balancer::Report,
        detail: impl Into<CompactString>,
    ) -> Self {
        Self { outcome, report, detail: detail.into() }
    }

    fn not_sent(detail: impl Into<CompactString>) -> Self {
        Self::new(query::Outcome::NotSent, balancer::Report::Unreachable, detail)
    }

    fn lost(detail: impl Into<CompactString>) -> Self {
        Self::new(query::Outcome::Lost, balancer::Report::Failed, detail)
    }
}

/// A connection to a searcher.
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// How much may still be read from it.
    allowance: read_limit::Allowance,
    /// Whether it carried an earlier request.
    is_reused: bool,
    /// Whether all answers on it so far had the ids of their requests.
    is_identified: bool,
    /// Until when a reset may mean that the searcher accepts no more connections.
    may_be_reset_until_us: u64,
}

/// Sends a request and waits for the complete answer. The connection is kept if it can be reused.
pub async fn send(
    endpoint: &sync::Arc<endpoint::Endpoint>,
    outgoing: &OutgoingRequest,
    headers: &dialect::Headers,
    buffer: &sync::Arc<answer_buffer::AnswerBuffer>,
) -> SendResult {
    let sent_us = clock::now_us();
    let remaining_us = outgoing.deadline_us.saturating_sub(sent_us);
    if remaining_us < REMAINING_MIN_US {
        return SendResult::new(
            query::Outcome::NotSent,
            balancer::Report::Cancelled,
            "too little time left before the deadline",
        );
    }
    let timeout = time::Duration::from_micros(remaining_us);
    match tokio::time::timeout(timeout, exchange(endpoint, outgoing, headers, buffer, sent_us))
        .await
    {
        Ok(result) => result,
        Err(_) => {
            let waited_us = clock::now_us().saturating_sub(sent_us);
            let report = balancer::Report::Silent { waited_us };
            SendResult::new(query::Outcome::Lost, report, "no complete answer before the deadline")
        }
    }
}

async fn exchange(
    endpoint: &sync::Arc<endpoint::Endpoint>,
    outgoing: &OutgoingRequest,
    headers: &dialect::Headers,
    buffer: &sync::Arc<answer_buffer::AnswerBuffer>,
    sent_us: u64,
) -> SendResult {
    // A late copy of an earlier rejection that has no id would be taken for the rejection of this request. For an
    // idempotent request that costs a retry, another one would be reported as not run.
    let mut connection = match connect(endpoint, !outgoing.is_idempotent).await {
        Ok(connection) => connection,
        Err(result) => return result,
    };
    let request = match build_request(endpoint, outgoing, headers) {
        Ok(request) => request,
        Err(error) => {
            let report = balancer::Report::Cancelled;
            return SendResult::new(query::Outcome::NotSent, report, error.to_string());
        }
    };
    connection.allowance.set(HEAD_READ_BYTES);
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            if connection.is_reused {
                // The other idle connections are likely to be closed as well.
                endpoint.close_idle();
            }
            if error.take_message().is_none() {
                let detail = error.into_error().to_string();
                if clock::now_us() < connection.may_be_reset_until_us {
                    endpoint.suspect_limit(clock::now_us());
                }
                return SendResult::lost(detail);
            }
            if !connection.is_reused {
                return SendResult::not_sent(error.into_error().to_string());
            }
            // The reused connection was closed before anything was written to it: send the request again.
            return Box::pin(exchange(endpoint, outgoing, headers, buffer, sent_us)).await;
        }
    };
    connection.allowance.set(ANSWER_MAX_BYTES + HEAD_READ_BYTES);
    let result = read_answer(response, endpoint, outgoing, headers, buffer, sent_us).await;
    match result {
        Ok((result, terms)) => {
            if outgoing.body.len() <= REUSE_BODY_MAX_BYTES
                && outgoing.head_bytes <= REUSE_HEAD_MAX_BYTES
            {
                // A late copy of an answer may still arrive after any number of others.
                let terms = ReuseTerms {
                    is_identified: terms.is_identified && connection.is_identified,
                    ..terms
                };
                tokio::spawn(reuse(endpoint.clone(), connection, terms));
            }
            result
        }
        Err(result) => result,
    }
}

/// Takes an idle connection, or opens a new one.
async fn connect(
    endpoint: &sync::Arc<endpoint::Endpoint>,
    needs_identified: bool,
) -> Result<Connection, SendResult> {
    if let Some(idle) = endpoint.take_idle(needs_identified) {
        return Ok(Connection {
            sender: idle.sender,
            allowance: idle.allowance,
            is_reused: true,
            is_identified: idle.is_identified,
            may_be_reset_until_us: 0,
        });
    }
    let guard = endpoint.track_connection();
    let started_us = clock::now_us();
    let connecting =
        tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.searcher.address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(SendResult::not_sent(error.to_string())),
        Err(_) => return Err(SendResult::not_sent("connecting timed out")),
    };
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "could not set TCP_NODELAY");
    }
    let allowance = read_limit::Allowance::new(HEAD_READ_BYTES);
    let stream = read_limit::Limited::new(stream, allowance.clone());
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let (sender, connection) = match builder.handshake(TokioIo::new(stream)).await {
        Ok(parts) => parts,
        Err(error) => return Err(SendResult::not_sent(error.to_string())),
    };
    let connected_us = clock::now_us();
    let round_trip = time::Duration::from_micros(connected_us - started_us);
    let reset_time = round_trip + RESET_TIME;
    let (ended_sender, ended) = oneshot::channel::<()>();
    tokio::spawn(async move {
        let _open = guard;
        // Dropped when the connection ends.
        let _ended = ended_sender;
        if let Err(error) = connection.await {
            tracing::debug!(%error, "connection to a searcher failed");
        }
    });
    if endpoint.may_reset(connected_us) || clock::uptime_us() < RESTART_US {
        // A request that is sent at once would be lost with the connection.
        if tokio::time::timeout(reset_time, ended).await.is_ok() {
            endpoint.record_reset(clock::now_us());
            let report = balancer::Report::ConnectionReset;
            let detail = "the searcher reset the new connection";
            return Err(SendResult::new(query::Outcome::ConnectionReset, report, detail));
        }
    }
    let may_be_reset_until_us = connected_us + reset_time.as_micros() as u64;
    Ok(Connection {
        sender,
        allowance,
        is_reused: false,
        is_identified: true,
        may_be_reset_until_us,
    })
}

fn build_request(
    endpoint: &endpoint::Endpoint,
    outgoing: &OutgoingRequest,
    headers: &dialect::Headers,
) -> Result<http::Request<Full<Bytes>>, http::Error> {
    let remaining_ms = outgoing.deadline_us.saturating_sub(clock::now_us()) / 1_000;
    let mut request = http::Request::builder()
        .method(outgoing.method.clone())
        .uri(outgoing.uri.clone())
        .header(headers.deadline_ms.clone(), remaining_ms.max(1))
        .header(headers.expected_searcher.clone(), endpoint.id.as_str())
        .body(Full::new(outgoing.body.clone()))?;
    let request_headers = request.headers_mut();
    for (name, value) in &outgoing.headers {
        request_headers.append(name.clone(), value.clone());
    }
    Ok(request)
}

/// What an answer says about the reuse of its connection.
#[derive(Clone, Copy, Debug)]
struct ReuseTerms {
    /// The idle timeout that the searcher states; `None` if it states none.
    keep_alive_us: Option<u64>,
    /// Whether the answers had the ids of their requests.
    is_identified: bool,
}

/// Reads the answer. Returns `Ok` if the connection may be reused.
async fn read_answer(
    response: http::Response<hyper::body::Incoming>,
    endpoint: &endpoint::Endpoint,
    outgoing: &OutgoingRequest,
    headers: &dialect::Headers,
    buffer: &sync::Arc<answer_buffer::AnswerBuffer>,
    sent_us: u64,
) -> Result<(SendResult, ReuseTerms), SendResult> {
    let (head, body) = response.into_parts();
    if !is_final_status(head.status) {
        // The rest of such an answer is not believed either, not even that the request did not run.
        return Err(SendResult::lost(format!("invalid status {}", head.status.as_u16())));
    }
    let echoed = head.headers.get(&headers.request_id);
    if echoed.is_some_and(|id| id.as_bytes() != outgoing.id.as_bytes()) {
        endpoint.close_idle();
        return Err(SendResult::lost("the answer has another request id"));
    }
    if head.status != http::StatusCode::MISDIRECTED_REQUEST {
        read_notices(&head, endpoint, headers);
    }
    let body = match read_body(body, buffer).await {
        Ok(body) => body,
        Err(error) => {
            return Err(SendResult::lost(format!("reading the answer's body failed: {error}")));
        }
    };
    let terms =
        ReuseTerms { keep_alive_us: keep_alive_us(&head.headers), is_identified: echoed.is_some() };
    if head.status == http::StatusCode::MISDIRECTED_REQUEST {
        endpoint.set_misdirected();
        let report = balancer::Report::Unreachable;
        return Err(SendResult::new(
            query::Outcome::NotRun,
            report,
            "another searcher listens at the address",
        ));
    }
    if head.headers.contains_key(&headers.not_executed) {
        let result = SendResult::new(
            query::Outcome::NotRun,
            balancer::Report::Full,
            "rejected without running",
        );
        return Ok((result, terms));
    }
    let stamp = head.headers.get(&headers.stamp).cloned();
    let is_encoded = head.headers.contains_key(http::header::CONTENT_ENCODING);
    if echoed.is_none() {
        // All searchers state it: another server listens at the address.
        return Err(SendResult::lost("the answer has no request id"));
    }
    if head.status.is_success() && (stamp.is_none() || is_encoded) {
        return Err(SendResult::lost("the answer has no stamp, or is encoded"));
    }
    let latency_us = clock::now_us().saturating_sub(sent_us);
    let report = match head.status.is_server_error() {
        true => balancer::Report::Failed,
        false => balancer::Report::Answered { latency_us },
    };
    let detail = head.status.as_str().to_owned();
    let answer = query::Answer { status: head.status, headers: head.headers, stamp, body };
    Ok((SendResult::new(query::Outcome::Answered(answer), report, detail), terms))
}

/// Whether a status is one that ends an exchange. The HTTP client passes on any number from 100 to 999, and 101 as if it were
/// final.
fn is_final_status(status: http::StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Why the body of an answer can't be read.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    #[error("{0}")]
    Connection(#[from] hyper::Error),
    #[error("it is longer than {ANSWER_MAX_BYTES} bytes")]
    TooLong,
    #[error("there is no memory for the answer")]
    BufferFull,
}

async fn read_body(
    mut body: hyper::body::Incoming,
    buffer: &sync::Arc<answer_buffer::AnswerBuffer>,
) -> Result<Bytes, BodyError> {
    let mut reservation = buffer.start_answer();
    let mut bytes: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            // Trailers are not used.
            continue;
        };
        let length = bytes.len() + data.len();
        if length > ANSWER_MAX_BYTES {
            return Err(BodyError::TooLong);
        }
        if length > bytes.capacity() {
            let old_capacity = bytes.capacity();
            let capacity = length.max((old_capacity * 2).min(ANSWER_MAX_BYTES));
            // Both allocations exist while the bytes are copied.
            if !reservation.grow_or_make_room(capacity).await {
                return Err(BodyError::BufferFull);
            }
            bytes.reserve_exact(capacity - bytes.len());
            reservation.shrink(old_capacity);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(reservation.complete(bytes))
}

/// Reads what the searcher says of itself besides the answer.
fn read_notices(
    head: &http::response::Parts,
    endpoint: &endpoint::Endpoint,
    names: &dialect::Headers,
) {
    if header::text(&head.headers, &names.leaving) == "1" {
        endpoint.set_leaving();
    }
    match head.headers.get(&names.limit) {
        None => endpoint.set_limit(None),
        Some(value) => {
            let limit = value.to_str().ok().and_then(|text| text.parse().ok());
            match limit {
                Some(limit) => endpoint.set_limit(Some(limit)),
                // The last limit that could be read stays.
                None => tracing::debug!(searcher = %endpoint.id, ?value, "unreadable limit"),
            }
        }
    }
    let cold_ms: Option<u64> = header::text(&head.headers, &names.cold_remaining_ms).parse().ok();
    if let Some(cold_ms) = cold_ms {
        endpoint.set_cold_until_us(clock::now_us().saturating_add(cold_ms.saturating_mul(1_000)));
    }
    if let Some(value) = head.headers.get(&names.load) {
        match value.to_str().ok().and_then(|text| text.parse().ok()) {
            Some(load) => endpoint.set_load(load),
            None => tracing::debug!(searcher = %endpoint.id, ?value, "unreadable load"),
        }
    }
    if head.status != http::StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let retry_after = header::text(&head.headers, &http::header::RETRY_AFTER);
    if let Some(pause) = retry_after::parse(&retry_after) {
        endpoint.pause(clock::now_us() + pause.as_micros() as u64);
    }
}

/// Returns the idle timeout in the `Keep-Alive` header, `None` if there is none.
fn keep_alive_us(headers: &http::HeaderMap) -> Option<u64> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    for item in text.split(',') {
        let Some((name, value)) = item.trim().split_once('=') else {
            continue;
        };
        if name.trim().eq_ignore_ascii_case("timeout") {
            let seconds: u64 = value.trim().parse().ok()?;
            return Some(seconds * 1_000_000);
        }
    }
    None
}

/// Returns the connection to the idle ones as soon as it is ready for another request.
async fn reuse(
    endpoint: sync::Arc<endpoint::Endpoint>,
    mut connection: Connection,
    terms: ReuseTerms,
) {
    // A connection that is closed or not ready in time is dropped.
    if let Ok(Ok(())) = tokio::time::timeout(REUSE_TIMEOUT, connection.sender.ready()).await {
        let Connection { sender, allowance, .. } = connection;
        endpoint.put_idle(sender, allowance, terms.keep_alive_us, terms.is_identified);
    }
}
