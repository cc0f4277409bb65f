//! The HTTP handlers for operators: declare, confirm, status.

use crate::caller_api;
use crate::check;
use crate::document;
use crate::entry;
use crate::http;
use crate::ids;
use crate::operator_api;
use crate::plan;
use crate::settings_distribution::api;
use crate::settings_worker;
use crate::trace;
use std::sync;
use tracing::Instrument as _;
use volo_http::request;
use volo_http::response;
use volo_http::server::route;
use volo_http::utils;

/// The maximum time that a confirmation waits for its acceptance, whatever the operator requests.
pub const WAIT_MAX_MS: u32 = 60_000;

/// The maximum size of a declaration's request body, in bytes.
pub const DECLARATION_MAX_BYTES: usize = 2 << 20;

/// Adds the operators' routes to `router`.
pub fn routes(router: route::Router) -> route::Router {
    router
        .route("/v1/operator/plans", route::post(declare))
        .route("/v1/operator/confirm", route::post(confirm))
        .route("/v1/operator/status", route::get(status))
}

async fn declare(
    utils::Extension(app): http::Shared,
    request: request::Request,
) -> response::Response {
    let context = http::trace_context(&app, &request);
    let span = trace::span(trace::Hop::Operator, &context);
    answer_declare(&app, request).instrument(span).await
}

async fn answer_declare(app: &http::App, request: request::Request) -> response::Response {
    if let Err(error) = authorize(app, &request) {
        return http::error_response(&error);
    }
    let call: operator_api::DeclareCall =
        match http::read_body(app, request, DECLARATION_MAX_BYTES).await {
            Ok(call) => call,
            Err(error) => return http::error_response(&error),
        };
    let (settings, warnings) = match check::parse(&call.document) {
        Ok(checked) => checked,
        Err(findings) => {
            let reply = operator_api::FindingsReply { findings };
            return http::json_response(::http::StatusCode::UNPROCESSABLE_ENTITY, &reply);
        }
    };
    let document = match document::Document::new(settings) {
        Ok(document) => sync::Arc::new(document),
        Err(error) => {
            let code = caller_api::ErrorCode::TooLarge;
            return http::error_response(&entry::error_reply(code, error.to_string()));
        }
    };
    let declaration = settings_worker::Declaration { document, warnings };
    match app.node.settings_worker.declare(declaration).await {
        Ok(Ok(plan)) => http::json_response(::http::StatusCode::OK, &plan),
        Ok(Err(error)) => {
            let code = caller_api::ErrorCode::PlatformUnreachable;
            http::error_response(&entry::error_reply(code, error.to_string()))
        }
        Err(error) => http::error_response(&entry::error_reply(
            caller_api::ErrorCode::NotReady,
            error.to_string(),
        )),
    }
}

async fn confirm(
    utils::Extension(app): http::Shared,
    request: request::Request,
) -> response::Response {
    let context = http::trace_context(&app, &request);
    let span = trace::span(trace::Hop::Operator, &context);
    answer_confirm(&app, request).instrument(span).await
}

async fn answer_confirm(app: &http::App, request: request::Request) -> response::Response {
    if let Err(error) = authorize(app, &request) {
        return http::error_response(&error);
    }
    let limit = caller_api::BODY_MAX_BYTES;
    let call: operator_api::ConfirmCall = match http::read_body(app, request, limit).await {
        Ok(call) => call,
        Err(error) => return http::error_response(&error),
    };
    let Ok(plan) = call.plan.parse::<plan::PlanId>() else {
        return http::json_response(
            ::http::StatusCode::OK,
            &operator_api::ConfirmReply::UnknownPlan,
        );
    };
    match app.node.settings_worker.confirm(plan, call.wait_ms.min(WAIT_MAX_MS)).await {
        Ok(reply) => http::json_response(::http::StatusCode::OK, &reply),
        Err(error) => http::error_response(&entry::error_reply(
            caller_api::ErrorCode::NotReady,
            error.to_string(),
        )),
    }
}

async fn status(
    utils::Extension(app): http::Shared,
    request: request::Request,
) -> response::Response {
    if let Err(error) = authorize(&app, &request) {
        return http::error_response(&error);
    }
    http::json_response(::http::StatusCode::OK, &app.node.status())
}

/// Checks the operators' token. The time of the comparison does not depend on the token.
fn authorize(app: &http::App, request: &request::Request) -> Result<(), caller_api::ErrorReply> {
    let unauthorized = || {
        let code = caller_api::ErrorCode::Unauthorized;
        entry::error_reply(code, "the operators' token is missing or wrong")
    };
    let header = request.headers().get(::http::header::AUTHORIZATION).ok_or_else(unauthorized)?;
    let token = header.to_str().ok().and_then(|text| text.strip_prefix("Bearer "));
    let token = token.ok_or_else(unauthorized)?;
    // `blake3::Hash` compares in constant time.
    if blake3::hash(token.as_bytes()) == blake3::hash(app.token.as_bytes()) {
        return Ok(());
    }
    Err(unauthorized())
}

impl entry::Node {
    /// All instances, each with the revision that it last reported as in force.
    pub fn status(&self) -> operator_api::StatusReply {
        let status = self.settings_worker.status();
        let mut instances = Vec::new();
        for record in &self.gossip.view().members {
            let revision = match record.name == self.instance {
                true => status.in_force,
                false => reported_revision(&status, record),
            };
            instances.push(operator_api::InstanceStatus {
                instance: record.name.clone(),
                boot: record.boot,
                region: record.region.clone(),
                failure_domain: record.failure_domain.clone(),
                address: record.caller_address,
                state: compact_str::format_compact!("{}", record.state),
                revision,
                behind: revision < status.newest,
            });
        }
        operator_api::StatusReply {
            answered_by: self.instance.clone(),
            newest: status.newest,
            instances,
        }
    }
}

/// The revision that the member's current boot reported as in force, or 0 if it has reported none.
fn reported_revision(
    status: &settings_worker::Status,
    record: &crate::member::Record,
) -> ids::Revision {
    let found = status.reported.binary_search_by(|report| report.instance.cmp(&record.name));
    match found.ok().and_then(|index| status.reported.get(index)) {
        Some(report) if report.boot == record.boot => report.revision,
        _ => ids::Revision(0),
    }
}

/// Answers another instance that requests a document.
pub async fn fetch(node: &entry::Node, call: api::FetchCall) -> api::FetchReply {
    node.settings_worker.fetch_document(call).await.unwrap_or(api::FetchReply::Missing)
}
