//! Headers and addresses of requests, as they are read and passed on.

use crate::forward::dialect;
use compact_str::CompactString;

/// A header's value; empty if the header is missing or is no text.
pub fn text(headers: &http::HeaderMap, name: &http::HeaderName) -> CompactString {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().into()
}

/// The client's headers that go to the searcher.
pub fn passed_on(headers: &http::HeaderMap, names: &dialect::Headers) -> http::HeaderMap {
    let listed = listed_by_connection(headers);
    let mut passed = http::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_own = name == names.deadline_ms || name == names.expected_searcher;
        if is_own || is_per_connection(name, &listed) || name == http::header::CONTENT_LENGTH {
            continue;
        }
        passed.append(name.clone(), value.clone());
    }
    passed
}

/// The headers that `Connection` names: they concern one connection only.
pub fn listed_by_connection(headers: &http::HeaderMap) -> Vec<CompactString> {
    let mut listed = Vec::new();
    for value in headers.get_all(http::header::CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            listed.push(CompactString::from(name.trim().to_ascii_lowercase()));
        }
    }
    listed
}

/// Whether a header concerns one connection only. `listed` are those that `Connection` names.
pub fn is_per_connection(name: &http::HeaderName, listed: &[CompactString]) -> bool {
    const PER_CONNECTION: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    PER_CONNECTION.contains(&name.as_str()) || listed.iter().any(|known| known == name.as_str())
}

/// Path and query, as they are sent to a searcher.
pub fn origin_form(uri: &http::Uri) -> http::Uri {
    let Some(path) = uri.path_and_query() else {
        return http::Uri::from_static("/");
    };
    http::Uri::from(path.clone())
}
