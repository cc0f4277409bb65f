//! The HTTP server for callers and operators.

use crate::caller_api;
use crate::entry;
use crate::forward::admission::body;
use crate::forward::admission::memory;
use crate::ids;
use crate::metrics;
use crate::operators;
use crate::trace;
use bytes::Bytes;
use std::net;
use std::sync;
use std::time;
use tracing::Instrument as _;
use volo_http::body::Body;
use volo_http::request;
use volo_http::response;
use volo_http::server::route;
use volo_http::utils;

const JSON: &str = "application/json";

/// The state shared by the handlers, as they extract it.
pub type Shared = utils::Extension<sync::Arc<App>>;

/// The server's state.
pub struct App {
    /// The instance.
    pub node: sync::Arc<entry::Node>,
    /// The operators' token.
    pub token: compact_str::CompactString,
    /// How long callers may cache an address reply.
    pub address_ttl_ms: u32,
    /// The memory for request bodies.
    pub bodies: sync::Arc<memory::Pool>,
    /// Limits the number of recorded traces.
    pub sample_limiter: trace::SampleLimiter,
}

/// Creates the router with the routes for callers and operators.
pub fn router(app: sync::Arc<App>) -> route::Router {
    let router = route::Router::new()
        .route("/v1/addresses", route::get(addresses))
        .route("/v1/search", route::post(search))
        .route("/v1/run", route::post(run))
        .route("/v1/health", route::get(health))
        .route("/metrics", route::get(show_metrics));
    operators::routes(router).layer(utils::Extension(app))
}

/// Answers 200 with the revision in force if the instance is ready and not stopping, or an error.
async fn health(utils::Extension(app): Shared) -> response::Response {
    let readiness = match app.node.lifecycle.is_stopping() {
        true => {
            Err(entry::error_reply(caller_api::ErrorCode::Stopping, "the instance is stopping"))
        }
        false => app.node.ensure_ready(),
    };
    match readiness {
        Ok(()) => json_response(http::StatusCode::OK, &app.node.settings_worker.status().in_force),
        Err(error) => error_response(&error),
    }
}

async fn search(utils::Extension(app): Shared, request: request::Request) -> response::Response {
    let context = trace_context(&app, &request);
    let span = trace::span(trace::Hop::Entry, &context);
    answer_search(&app, request, context).instrument(span).await
}

async fn answer_search(
    app: &App,
    request: request::Request,
    context: trace::TraceContext,
) -> response::Response {
    let _open = app.node.lifecycle.begin_request();
    let call: caller_api::SearchCall = match read_call(app, request).await {
        Ok(call) => call,
        Err(error) => return error_response(&error),
    };
    let started = time::Instant::now();
    let rank = call.rank;
    match app.node.search(call, context.to_string().into()).await {
        Ok(answer) => {
            let latency = started.elapsed();
            app.node.metrics.record_search(rank, latency, &answer.coverage, &answer.effort);
            json_response(http::StatusCode::OK, &answer)
        }
        Err(error) => {
            app.node.metrics.record_refusal(rank, error.code);
            error_response(&error)
        }
    }
}

/// Reads a caller's request if the instance is ready.
async fn read_call<T: serde::de::DeserializeOwned>(
    app: &App,
    request: request::Request,
) -> Result<T, caller_api::ErrorReply> {
    app.node.ensure_ready()?;
    read_body(app, request, caller_api::BODY_MAX_BYTES).await
}

async fn run(utils::Extension(app): Shared, request: request::Request) -> response::Response {
    let context = trace_context(&app, &request);
    let span = trace::span(trace::Hop::Entry, &context);
    answer_run(&app, request, context).instrument(span).await
}

async fn answer_run(
    app: &App,
    request: request::Request,
    context: trace::TraceContext,
) -> response::Response {
    let _open = app.node.lifecycle.begin_request();
    let call: caller_api::RunCall = match read_call(app, request).await {
        Ok(call) => call,
        Err(error) => return error_response(&error),
    };
    let rank = call.rank;
    match app.node.run(call, context.to_string().into()).await {
        Ok(answer) => {
            app.node.metrics.record_run(answer.outcome);
            json_response(http::StatusCode::OK, &answer)
        }
        Err(error) => {
            app.node.metrics.record_refusal(rank, error.code);
            error_response(&error)
        }
    }
}

async fn show_metrics(utils::Extension(app): Shared) -> response::Response {
    app.node.update_metrics();
    match app.node.metrics.render() {
        Ok(text) => new_response(http::StatusCode::OK, metrics::CONTENT_TYPE, Bytes::from(text)),
        Err(error) => {
            error_response(&entry::error_reply(caller_api::ErrorCode::Internal, error.to_string()))
        }
    }
}

async fn addresses(utils::Extension(app): Shared, request: request::Request) -> response::Response {
    let query = request.uri().query().unwrap_or_default();
    let location = match caller_location(query) {
        Ok(location) => location,
        Err(error) => return error_response(&error),
    };
    let reply = app.node.addresses(location, app.address_ttl_ms);
    json_response(http::StatusCode::OK, &reply)
}

/// Parses the caller's region and failure domain from a query string.
fn caller_location(query: &str) -> Result<entry::CallerLocation, caller_api::ErrorReply> {
    let mut location = entry::CallerLocation::default();
    for pair in query.split('&') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        match name {
            "region" => location.region = Some(parse(value)?),
            "failure_domain" => location.failure_domain = Some(parse(value)?),
            _ => continue,
        }
    }
    Ok(location)
}

fn parse<T: std::str::FromStr<Err = ids::ParseIdError>>(
    text: &str,
) -> Result<T, caller_api::ErrorReply> {
    text.parse().map_err(|error: ids::ParseIdError| {
        entry::error_reply(caller_api::ErrorCode::BadRequest, error.to_string())
    })
}

/// The trace context of a request, subject to the limit on recorded traces.
pub(crate) fn trace_context(app: &App, request: &request::Request) -> trace::TraceContext {
    let header = request.headers().get(trace::TRACEPARENT);
    let requested = trace::request_context(header.and_then(|value| value.to_str().ok()));
    app.sample_limiter.limit(app.node.now_ms(), requested)
}

/// Reads a request's body of at most `max_bytes` and parses it.
pub(crate) async fn read_body<T: serde::de::DeserializeOwned>(
    app: &App,
    request: request::Request,
    max_bytes: usize,
) -> Result<T, caller_api::ErrorReply> {
    let bytes = body::read(request.into_body(), max_bytes, &app.bodies, None).await;
    let bytes = bytes.map_err(|failure| {
        let code = match failure {
            body::Failure::TooLong => caller_api::ErrorCode::TooLarge,
            body::Failure::NoRoom | body::Failure::GaveWay => caller_api::ErrorCode::Overloaded,
            body::Failure::Stalled | body::Failure::Connection(_) => {
                caller_api::ErrorCode::BadRequest
            }
        };
        entry::error_reply(code, failure.to_string())
    })?;
    serde_json::from_slice(&bytes)
        .map_err(|error| entry::error_reply(caller_api::ErrorCode::BadRequest, error.to_string()))
}

/// Converts an error to a response.
pub(crate) fn error_response(error: &caller_api::ErrorReply) -> response::Response {
    let status = http::StatusCode::from_u16(error.code.http_status())
        .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    json_response(status, error)
}

/// Serializes a value to a JSON response.
pub(crate) fn json_response(
    status: http::StatusCode,
    value: &impl serde::Serialize,
) -> response::Response {
    let bytes = match serde_json::to_vec(value) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => {
            tracing::error!(%error, "could not serialize the response");
            return new_response(http::StatusCode::INTERNAL_SERVER_ERROR, JSON, Bytes::new());
        }
    };
    new_response(status, JSON, bytes)
}

fn new_response(
    status: http::StatusCode,
    content_type: &'static str,
    bytes: Bytes,
) -> response::Response {
    let mut response = response::Response::new(Body::from(bytes));
    *response.status_mut() = status;
    let header = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(http::header::CONTENT_TYPE, header);
    response
}

/// Binds the server's socket.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn bind(address: net::SocketAddr) -> std::io::Result<tokio::net::TcpListener> {
    tokio::net::TcpListener::bind(address).await
}
