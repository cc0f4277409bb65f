//! The HTTP servers for client requests, the directory of addresses, readiness checks and metrics.

use crate::clock;
use crate::discovery::config;
use crate::discovery::members;
use crate::discovery::view;
use crate::event;
use crate::events::Event;
use crate::fair_order::turns;
use crate::forward::admission;
use crate::forward::admission::connections;
use crate::forward::attempt;
use crate::forward::dialect;
use crate::forward::header;
use crate::forward::query;
use crate::forward::response;
use crate::forward::retry_after;
use crate::forward::run;
use crate::forward::send_limit;
use crate::forward::shutdown;
use crate::placement::homes;
use crate::rate_limit;
use crate::tenants::access;
use crate::tenants::authentication;
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::body::Body as _;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use std::convert;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// How long clients may use a directory answer. Some use it for three times as long, so an instance that
/// stops has to serve for longer than that.
const ADDRESS_TTL_S: f64 = 1.0;
/// The idle timeout of a client connection while no configuration is known.
const IDLE_TIMEOUT_DEFAULT_MS: u64 = 15_000;
/// Request bodies up to this size are accepted even if the configured limit is lower.
const BODY_LIMIT_MIN_BYTES: u64 = 256 << 10;
/// The smallest buffer that hyper accepts for a request's head.
const HEAD_BUFFER_MIN_BYTES: usize = 8 << 10;
/// The size of the largest head while no configuration is known, and on ports that take no requests for searchers.
const HEAD_DEFAULT_BYTES: usize = 16 << 10;
/// The room in that buffer besides the largest head that is allowed.
const HEAD_BUFFER_MARGIN_BYTES: usize = 4 << 10;

/// The most log lines per second for requests that were answered completely and in time: a sample.
const SERVED_LOG_LINES_PER_S: u32 = 5;
/// The most log lines per second for all other requests: several times the number of requests that fail on the
/// smallest instance in its worst seconds.
const TROUBLED_LOG_LINES_PER_S: u32 = 300;
/// The path on which metrics are served.
pub const METRICS_PATH: &str = "/metrics";

/// The state that the HTTP servers share.
pub struct Server {
    view: sync::Arc<view::View>,
    forwarder: sync::Arc<run::Forwarder>,
    phase: watch::Sender<shutdown::Phase>,
    /// The time within which a configuration has to take effect.
    config_apply: time::Duration,
    admission: admission::Admission,
    access: access::Access,
    started_us: u64,
    connection_count: atomic::AtomicUsize,
    served_log_limit: rate_limit::RateLimit,
    troubled_log_limit: rate_limit::RateLimit,
}

/// A request that was answered, for the log and the metrics.
struct RequestRecord {
    id: CompactString,
    route: CompactString,
    /// Empty if the request belongs to none.
    tenant: CompactString,
    /// Whether the configuration has tenants.
    has_tenants: bool,
    priority: u8,
    target_ms: u64,
    /// The number of parts of the query.
    parts: usize,
    config: config::ConfigVersion,
    latency_us: u64,
    /// How long the client had been waiting when the request arrived.
    waited_us: u64,
    status: http::StatusCode,
    report: run::Report,
}

/// Makes hyper close the client's connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("the connection is closed without a response")]
struct AbortConnection;

impl Server {
    /// Creates the servers' state, without any connections.
    pub fn new(
        view: sync::Arc<view::View>,
        forwarder: sync::Arc<run::Forwarder>,
        config_apply: time::Duration,
        admission: admission::Admission,
    ) -> Self {
        Self {
            access: access::Access::new(view.clone(), forwarder.clone(), config_apply),
            config_apply,
            admission,
            view,
            forwarder,
            phase: watch::Sender::new(shutdown::Phase::Serving),
            started_us: clock::now_us(),
            connection_count: atomic::AtomicUsize::new(0),
            served_log_limit: rate_limit::RateLimit::new(SERVED_LOG_LINES_PER_S),
            troubled_log_limit: rate_limit::RateLimit::new(TROUBLED_LOG_LINES_PER_S),
        }
    }

    /// Starts the shutdown: a connection is closed after its next response, and all requests are answered before
    /// `last_answer_us`.
    pub fn start_draining(&self, last_answer_us: u64) {
        self.phase.send_replace(shutdown::Phase::Draining { last_answer_us });
        self.forwarder.limit_deadlines(last_answer_us);
    }

    /// Closes idle connections and accepts no new ones.
    pub fn start_closing(&self) {
        let last_answer_us = self.phase.borrow().last_answer_us().unwrap_or_else(clock::now_us);
        self.phase.send_replace(shutdown::Phase::Closing { last_answer_us });
    }

    /// The number of open client connections.
    pub fn connection_count(&self) -> usize {
        self.connection_count.load(atomic::Ordering::Relaxed)
    }

    /// Serves client requests until [`shutdown::Phase::Closing`].
    pub async fn serve_clients(self: sync::Arc<Self>, listener: TcpListener) {
        let mut phase = self.phase.subscribe();
        let server = self.clone();
        let head_timeout_ms =
            move || server.view.table().map(|table| table.config.limits.header_timeout_ms);
        let server = self.clone();
        tokio::spawn(async move { server.admission.close_stalled_heads(head_timeout_ms).await });
        loop {
            // Biased, so that connections that clients have already opened are accepted before the listener closes.
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = wait_for_closing(&mut phase) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    if let Some(open) = self.admission.admit(&self.admission.clients).await {
                        tokio::spawn(self.clone().serve_client(stream, open));
                    }
                }
                Err(error) => {
                    event!(warn, Event::AcceptFailed, %error, port = "front");
                    tokio::time::sleep(time::Duration::from_millis(20)).await;
                }
            }
        }
    }

    async fn serve_client(self: sync::Arc<Self>, stream: TcpStream, open: connections::Open) {
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "could not set TCP_NODELAY");
        }
        self.connection_count.fetch_add(1, atomic::Ordering::Relaxed);
        let limits = self.view.table().map(|table| table.config.limits);
        let idle_ms = limits.map_or(IDLE_TIMEOUT_DEFAULT_MS, |limits| limits.idle_timeout_ms);
        let server = self.clone();
        let handled = open.clone();
        let service = service::service_fn(move |request: http::Request<hyper::body::Incoming>| {
            let server = server.clone();
            let open = handled.clone();
            async move {
                let _request = open.start_request(!request.body().is_end_stream());
                server.handle_request(request, &open).await
            }
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new());
        builder.header_read_timeout(time::Duration::from_millis(idle_ms));
        builder.max_buf_size(head_buffer_bytes(limits));
        let stream = connections::Watched::new(stream, open.clone());
        let mut connection = Box::pin(builder.serve_connection(TokioIo::new(stream), service));
        let mut phase = self.phase.subscribe();
        // Biased, so that a request that has arrived is read before an idle connection is closed.
        let served = tokio::select! {
            biased;
            served = connection.as_mut() => served,
            () = open.wait_for_closing() => Ok(()),
            () = wait_for_closing(&mut phase) => {
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        if let Err(error) = served {
            tracing::debug!(%error, "client connection ended with an error");
        }
        self.connection_count.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    async fn handle_request(
        self: &sync::Arc<Self>,
        request: http::Request<hyper::body::Incoming>,
        open: &connections::Open,
    ) -> Result<response::Response, AbortConnection> {
        let arrived_us = clock::now_us();
        let Some(table) = self.view.table().filter(|_| self.view.is_complete()) else {
            return Ok(self.close_if_stopping(self.refuse_not_ready()));
        };
        let names = &self.forwarder.dialect().headers;
        let (head, body) = request.into_parts();
        let host = head.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
        let route = host.and_then(|host| table.find(host, head.uri.path()));
        let id = header::text(&head.headers, &names.request_id);
        let Some(route) = route else {
            let is_overdue = self.view.is_config_overdue(self.config_apply);
            event!(
                info,
                Event::NoRoute,
                request = %id,
                host = host.unwrap_or_default(),
                path = head.uri.path(),
                config = table.config.version.0,
                is_overdue
            );
            if is_overdue {
                // A configuration that is not known here may have the route.
                let age_us = self.view.ages().config_us.unwrap_or(0);
                return Ok(
                    self.close_if_stopping(response::refuse(retry_after::unready_ms(age_us)))
                );
            }
            return Ok(self.close_if_stopping(response::status(http::StatusCode::NOT_FOUND)));
        };
        if id.is_empty() {
            return Ok(self.close_if_stopping(response::status(http::StatusCode::BAD_REQUEST)));
        }
        let request = access::Request { id: &id, route, headers: &head.headers, arrived_us };
        if route.target == config::Target::Unusable {
            let response = self.access.refuse_unusable(request, table.config.version);
            return Ok(self.close_if_stopping(response));
        }
        let access::Granted { caller, mut charge } = match self.access.check(&table, request) {
            Ok(granted) => granted,
            Err(refusal) => return Ok(self.close_if_stopping(*refusal)),
        };
        let head_bytes = header::head_bytes(&head);
        let priority = caller.priority(route);
        let need = send_limit::Need { count: route.target.parts(), head_bytes, priority };
        if let Some(response) = self.refuse_without_room(&id, route, need) {
            let response = match body.is_end_stream() {
                true => response,
                false => admission::closing(response),
            };
            return Ok(self.close_if_stopping(response));
        }
        let limits = &table.config.limits;
        let max_bytes = limits.body_max_bytes.max(BODY_LIMIT_MIN_BYTES) as usize;
        let body = admission::body::read(body, max_bytes, &self.admission.bodies, open).await;
        let body = match body {
            Ok(body) => body,
            Err(failure) => {
                let response = self.admission.refuse(&id, &failure).ok_or(AbortConnection)?;
                return Ok(self.close_if_stopping(response));
            }
        };
        let deadline_ms: Option<u64> = header::text(&head.headers, &names.deadline_ms).parse().ok();
        let timeout_us = deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms) * 1_000;
        let waited_us = deadline_ms.map_or(0, |deadline_ms| {
            self.forwarder.waited_us(route, deadline_ms.saturating_mul(1_000))
        });
        let margin_us = self.forwarder.answer_margin_us();
        let homes = homes::Homes::of(route, caller.tenant());
        let tenant = CompactString::from(caller.tenant_name().unwrap_or_default());
        let spec = query::Spec {
            waited_us,
            margin_us,
            priority,
            homes,
            tenant: tenant.clone(),
            ..spec(route, arrived_us, timeout_us)
        };
        if self.is_refused_by_shutdown(&id, &spec) {
            return Ok(self.close_if_stopping(response::refuse(shutdown::RETRY_AFTER_MS)));
        }
        let outgoing = attempt::OutgoingRequest {
            method: head.method,
            uri: header::origin_form(&head.uri),
            headers: header::forwarded(&head.headers, names, caller),
            head_bytes,
            body,
            id: id.clone(),
            deadline_us: arrived_us + timeout_us,
            is_idempotent: spec.is_idempotent,
        };
        let outgoing = sync::Arc::new(outgoing);
        if let Some(charge) = &mut charge {
            charge.keep();
        }
        let report = if spec.is_idempotent {
            self.forwarder.run(spec, outgoing).await
        } else {
            // Runs in a task of its own, so that a client that disconnects can't cancel a non-idempotent
            // request that is in progress.
            let forwarder = self.forwarder.clone();
            let running = tokio::spawn(async move { forwarder.run(spec, outgoing).await });
            running.await.map_err(|_| AbortConnection)?
        };
        if let Some(charge) = charge.filter(|_| !report.was_sent()) {
            charge.release();
        }
        let completed_us = clock::now_us();
        let response = self.respond(&report, route);
        let built_us = clock::now_us();
        self.forwarder.record_build(built_us.saturating_sub(completed_us));
        let record = RequestRecord {
            id,
            route: route.name.clone(),
            tenant,
            has_tenants: caller != authentication::Caller::Open,
            priority,
            target_ms: route.target_latency_ms,
            parts: route.target.parts(),
            config: table.config.version,
            latency_us: built_us.saturating_sub(arrived_us),
            waited_us,
            status: response.status(),
            report,
        };
        let server = self.clone();
        // In a task of its own, so that the response is written first.
        tokio::spawn(async move { server.record_request(&record) });
        Ok(self.close_if_stopping(response))
    }

    /// The response to a client while the configuration and the searchers are not known yet.
    fn refuse_not_ready(&self) -> response::Response {
        let waiting_us = clock::now_us().saturating_sub(self.started_us);
        response::refuse(retry_after::unready_ms(waiting_us))
    }

    /// The response to a request that could not be sent in time, since the sends of others use up what all sends together
    /// may hold; `None` if it may be.
    fn refuse_without_room(
        &self,
        id: &str,
        route: &config::Route,
        need: send_limit::Need,
    ) -> Option<response::Response> {
        let wait_us = self.forwarder.expected_wait_us(route, need);
        if wait_us <= turns::wait_max_us(route.target_latency_ms * 1_000) {
            return None;
        }
        let retry_after_ms = retry_after::unavailable_ms(wait_us / 1_000, need.priority);
        Some(self.admission.refuse_send(id, need, retry_after_ms))
    }

    /// Whether the instance stops before it expects to answer the request.
    fn is_refused_by_shutdown(&self, id: &str, spec: &query::Spec) -> bool {
        let Some(last_answer_us) = self.phase.borrow().last_answer_us() else {
            return false;
        };
        let now_us = clock::now_us();
        let expected_us = self.forwarder.expected_duration_us(spec);
        if shutdown::accepts(now_us, last_answer_us, expected_us) {
            return false;
        }
        let latency_s = now_us.saturating_sub(spec.arrived_us) as f64 / 1e6;
        self.forwarder.metrics().record_answer(spec.priority, "refused", latency_s, 0);
        if let Some(left_out) = self.troubled_log_limit.allow(now_us) {
            event!(
                info,
                Event::RefusedByShutdown,
                request = %id,
                route = %spec.route,
                expected_ms = expected_us / 1_000,
                left_ms = last_answer_us.saturating_sub(now_us) / 1_000,
                left_out
            );
        }
        true
    }

    /// Adds `Connection: close` during a shutdown, so that this response is the connection's last.
    fn close_if_stopping(&self, mut response: response::Response) -> response::Response {
        if *self.phase.borrow() != shutdown::Phase::Serving {
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert(http::header::CONNECTION, close);
        }
        response
    }

    fn respond(&self, report: &run::Report, route: &config::Route) -> response::Response {
        let names = &self.forwarder.dialect().headers;
        match &report.completion {
            query::Completion::Gathered(parts) => response::gathered(parts, route, names),
            query::Completion::Single(answer) => response::single(answer),
            query::Completion::NotRun { retry_after_ms } => response::refuse(*retry_after_ms),
            query::Completion::Failed => response::status(http::StatusCode::BAD_GATEWAY),
            query::Completion::TimedOut => response::status(http::StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Records how a request ended in the metrics and, within the rate limits, in the log.
    fn record_request(&self, record: &RequestRecord) {
        let report = &record.report;
        let latency_ms = record.latency_us as f64 / 1_000.0;
        let waited_ms = record.waited_us as f64 / 1_000.0;
        let is_late = latency_ms + waited_ms > record.target_ms as f64;
        let is_success = record.status.is_success();
        let outcome = outcome(&report.completion, record.status, is_late);
        let is_complete_and_in_time =
            is_success && !is_late && report.answered_count == record.parts;
        let missing = if is_success { record.parts - report.answered_count } else { 0 };
        let latency_s = latency_ms / 1_000.0;
        self.forwarder.metrics().record_answer(record.priority, outcome, latency_s, missing);
        if record.has_tenants {
            self.forwarder.metrics().tenants().record(&record.tenant, outcome);
        }
        let ages = self.view.ages();
        let now_us = clock::now_us();
        if is_complete_and_in_time {
            let Some(left_out) = self.served_log_limit.allow(now_us) else {
                return;
            };
            event!(
                info,
                Event::RequestServed,
                request = %record.id,
                route = %record.route,
                tenant = %record.tenant,
                latency_ms,
                config = record.config.0,
                left_out
            );
            return;
        }
        let Some(left_out) = self.troubled_log_limit.allow(now_us) else {
            return;
        };
        event!(
            info,
            Event::RequestTroubled,
            request = %record.id,
            route = %record.route,
            tenant = %record.tenant,
            priority = record.priority,
            outcome,
            status = record.status.as_u16(),
            latency_ms,
            waited_ms,
            target_ms = record.target_ms,
            parts = report.answered_count,
            parts_wanted = record.parts,
            extra_sends = report.extra_count(),
            config = record.config.0,
            config_age_ms = ages.config_us.map(|us| us / 1_000),
            searchers_age_ms = ages.searchers_us.map(|us| us / 1_000),
            troubles = %report.troubles(),
            left_out
        );
    }

    /// Answers clients' requests for the addresses to connect to, until the process ends.
    pub async fn serve_directory(self: sync::Arc<Self>, listener: TcpListener) {
        let server = self.clone();
        serve_by_uri(listener, "directory", Some(self), move |uri| server.directory(uri)).await;
    }

    fn directory(&self, uri: &http::Uri) -> response::Response {
        let dialect = self.forwarder.dialect();
        let Some(call) = (dialect.parse_directory)(uri) else {
            return response::status(http::StatusCode::NOT_FOUND);
        };
        let table = self.view.table();
        let homes =
            table.map_or_else(Vec::new, |table| homes::regions_of_host(&table.config, &call.host));
        let addresses = self.forwarder.active().addresses(&call.region, &homes);
        if addresses.is_empty() {
            return self.refuse_not_ready();
        }
        let reply = dialect::DirectoryReply { addresses, ttl_s: ADDRESS_TTL_S };
        let mut response = http::Response::new(Full::new((dialect.write_directory)(&reply)));
        let json = http::HeaderValue::from_static("application/json");
        response.headers_mut().insert(http::header::CONTENT_TYPE, json);
        response
    }

    /// Serves the metrics until the process ends.
    pub async fn serve_metrics(self: sync::Arc<Self>, listener: TcpListener) {
        let server = self.clone();
        serve_by_uri(listener, "metrics", None, move |uri| match uri.path() {
            METRICS_PATH => server.metrics(),
            _ => response::status(http::StatusCode::NOT_FOUND),
        })
        .await;
    }

    fn metrics(&self) -> response::Response {
        let metrics = self.forwarder.metrics();
        self.forwarder.update_placement_metrics();
        let searcher_connections = self.forwarder.connection_count();
        metrics.set_body_bytes(self.admission.bodies.used_bytes());
        match metrics.render(&self.view, self.connection_count(), searcher_connections) {
            Ok(text) => {
                let mut response = http::Response::new(Full::new(Bytes::from(text)));
                let kind = http::HeaderValue::from_static(crate::metrics::CONTENT_TYPE);
                response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
                response
            }
            Err(error) => {
                tracing::error!(%error, "failed to encode the metrics");
                response::status(http::StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// Answers readiness checks until the process ends.
    pub async fn serve_readiness(self: sync::Arc<Self>, listener: TcpListener) {
        let server = self.clone();
        serve_by_uri(listener, "ready", None, move |uri| {
            if uri.path() != server.forwarder.dialect().readiness_path {
                return response::status(http::StatusCode::NOT_FOUND);
            }
            let state = server.view.with_members(|members| members.me().state);
            match state {
                members::MemberState::Ready => response::status(http::StatusCode::OK),
                _ => response::status(http::StatusCode::SERVICE_UNAVAILABLE),
            }
        })
        .await;
    }
}

/// The size of the buffer for a request's head.
fn head_buffer_bytes(limits: Option<config::Limits>) -> usize {
    let head_bytes = limits.map_or(HEAD_DEFAULT_BYTES, |limits| limits.header_max_bytes as usize);
    (head_bytes + HEAD_BUFFER_MARGIN_BYTES).max(HEAD_BUFFER_MIN_BYTES)
}

/// Waits for [`shutdown::Phase::Closing`].
async fn wait_for_closing(phase: &mut watch::Receiver<shutdown::Phase>) {
    // Fails only if the `Server` was dropped, which happens at the end of the process.
    let _ = phase.wait_for(|phase| matches!(phase, shutdown::Phase::Closing { .. })).await;
}

/// Serves requests that are answered at once from their URI alone. `directory` is the server whose limit of directory
/// connections applies.
async fn serve_by_uri(
    listener: TcpListener,
    port: &'static str,
    directory: Option<sync::Arc<Server>>,
    answer: impl Fn(&http::Uri) -> response::Response + Send + Sync + 'static,
) {
    let answer = sync::Arc::new(answer);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                event!(warn, Event::AcceptFailed, %error, port);
                tokio::time::sleep(time::Duration::from_millis(20)).await;
                continue;
            }
        };
        let open = match &directory {
            None => None,
            Some(server) => match server.admission.admit(&server.admission.directory).await {
                Some(open) => Some(open),
                None => continue,
            },
        };
        let answer = answer.clone();
        let service = service::service_fn(move |request: http::Request<hyper::body::Incoming>| {
            let response = answer(request.uri());
            async move { Ok::<_, convert::Infallible>(response) }
        });
        tokio::spawn(async move {
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new());
            builder.header_read_timeout(time::Duration::from_millis(IDLE_TIMEOUT_DEFAULT_MS));
            builder.max_buf_size(head_buffer_bytes(None));
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            let closing = async {
                match &open {
                    Some(open) => open.wait_for_closing().await,
                    None => std::future::pending().await,
                }
            };
            let served = tokio::select! {
                biased;
                served = connection => served,
                () = closing => Ok(()),
            };
            if let Err(error) = served {
                tracing::debug!(%error, port, "connection ended with an error");
            }
        });
    }
}

/// The outcome of a request, as a field of the log and a label of the metrics.
fn outcome(
    completion: &query::Completion,
    status: http::StatusCode,
    is_late: bool,
) -> &'static str {
    match completion {
        query::Completion::Gathered(_) | query::Completion::Single(_) if status.is_success() => {
            if is_late {
                "late"
            } else {
                "in_time"
            }
        }
        query::Completion::Gathered(_) | query::Completion::Single(_) => "searcher_error",
        query::Completion::NotRun { .. } => "refused",
        query::Completion::Failed => "failed",
        query::Completion::TimedOut => "timed_out",
    }
}

/// Builds the spec of a query for a request on `route`, as if its client had not waited before and answers arrived
/// at once.
fn spec(route: &config::Route, arrived_us: u64, timeout_us: u64) -> query::Spec {
    let (services, parts_min, is_gather) = match &route.target {
        config::Target::Service(service) => (vec![service.clone()], 1, false),
        config::Target::Split(parts) => (pick_weighted(parts).into_iter().collect(), 1, false),
        config::Target::Gather(gather) => (gather.shards.clone(), gather.shards_min(), true),
        config::Target::Unusable => (Vec::new(), 1, false),
    };
    query::Spec {
        route: route.name.clone(),
        tenant: CompactString::default(),
        priority: route.priority,
        is_idempotent: route.repeatability == config::Repeatability::Idempotent,
        attempts: route.attempts.max(1),
        services,
        parts_min,
        is_gather,
        arrived_us,
        waited_us: 0,
        target_us: route.target_latency_ms * 1_000,
        margin_us: 0,
        timeout_us,
        homes: homes::Homes::Any,
    }
}

/// Picks a service at random, in proportion to the weights.
fn pick_weighted(parts: &[config::WeightedService]) -> Option<config::ServiceName> {
    let total: f64 = parts.iter().map(|part| part.weight).sum();
    let mut remaining = rand::random::<f64>() * total;
    for part in parts {
        if remaining < part.weight {
            return Some(part.service.clone());
        }
        remaining -= part.weight;
    }
    parts.iter().rev().find(|part| part.weight > 0.0).map(|part| part.service.clone())
}
