//! Builds the responses that clients get.

use crate::discovery::config;
use crate::forward::dialect;
use crate::forward::header;
use crate::forward::merge;
use crate::forward::query;
use bytes::Bytes;
use http_body_util::Full;

/// A response to a client.
pub type Response = http::Response<Full<Bytes>>;

/// The response to a gather: the greatest records of all parts that were answered, the searchers'
/// signatures of these parts, and the number of missing parts.
pub fn gathered(
    parts: &[Option<query::Answer>],
    route: &config::Route,
    names: &dialect::Headers,
) -> Response {
    let config::Target::Gather(gather) = &route.target else {
        return status(http::StatusCode::BAD_GATEWAY);
    };
    let answers: Vec<&query::Answer> = parts.iter().flatten().collect();
    let bodies = answers.iter().map(|answer| &answer.body);
    let body = merge::top_records(bodies, gather.top_count as usize);
    let mut response = Response::new(Full::new(body));
    let stamps: Vec<&[u8]> = answers
        .iter()
        .filter_map(|answer| answer.stamp.as_ref())
        .map(http::HeaderValue::as_bytes)
        .collect();
    let Ok(stamps) = http::HeaderValue::from_bytes(&stamps.join(&b", "[..])) else {
        return status(http::StatusCode::BAD_GATEWAY);
    };
    let headers = response.headers_mut();
    headers.insert(names.part_stamps.clone(), stamps);
    headers.insert(names.missing_parts.clone(), (parts.len() - answers.len()).into());
    response
}

/// A searcher's answer, forwarded without its hop-by-hop headers.
pub fn single(answer: &query::Answer) -> Response {
    // Clients take these statuses to mean that the request did not run, but the searcher has not said so.
    let implies_not_run = matches!(answer.status.as_u16(), 408 | 421 | 429 | 503);
    if implies_not_run {
        return status(http::StatusCode::BAD_GATEWAY);
    }
    let mut response = Response::new(Full::new(answer.body.clone()));
    *response.status_mut() = answer.status;
    let options = header::connection_options(&answer.headers);
    for (name, value) in &answer.headers {
        if header::is_hop_by_hop(name, &options) || name == http::header::CONTENT_LENGTH {
            continue;
        }
        response.headers_mut().append(name.clone(), value.clone());
    }
    response
}

/// Status 503 with `Retry-After`: the request has not run and will not.
pub fn refuse(retry_after_ms: u64) -> Response {
    refuse_with(http::StatusCode::SERVICE_UNAVAILABLE, retry_after_ms)
}

/// Status 429 with `Retry-After`: the request is over its tenant's quota, has not run and will not.
pub fn refuse_over_quota(retry_after_ms: u64) -> Response {
    refuse_with(http::StatusCode::TOO_MANY_REQUESTS, retry_after_ms)
}

fn refuse_with(code: http::StatusCode, retry_after_ms: u64) -> Response {
    let mut response = status(code);
    let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
    if let Ok(value) = http::HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(http::header::RETRY_AFTER, value);
    }
    response
}

/// A response with a status and an empty body.
pub fn status(status: http::StatusCode) -> Response {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
