//! Reads the headers and URIs of requests, and adapts them for forwarding.

use crate::forward::dialect;
use crate::tenants::authentication;
use crate::tenants::tenant;
use compact_str::CompactString;

/// A header's value; empty if the header is missing or is not visible ASCII.
pub fn text(headers: &http::HeaderMap, name: &http::HeaderName) -> CompactString {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().into()
}

/// The client's headers that are forwarded to the searcher: all but the hop-by-hop headers, those that the instance
/// sets itself, and the key. The searcher is told the caller's tenant, if there is one.
pub fn forwarded(
    headers: &http::HeaderMap,
    names: &dialect::Headers,
    caller: authentication::Caller<'_>,
) -> http::HeaderMap {
    let options = connection_options(headers);
    let mut forwarded = http::HeaderMap::with_capacity(headers.len() + 1);
    for (name, value) in headers {
        let is_own = [&names.deadline_ms, &names.expected_searcher, &names.tenant].contains(&name);
        if is_own || name == names.credential {
            continue;
        }
        if is_hop_by_hop(name, &options) || name == http::header::CONTENT_LENGTH {
            continue;
        }
        forwarded.append(name.clone(), value.clone());
    }
    if let Some(value) = caller.tenant_name().and_then(tenant::header_value) {
        forwarded.insert(names.tenant.clone(), value);
    }
    forwarded
}

/// About how long a request's head is on the wire.
pub fn head_bytes(head: &http::request::Parts) -> usize {
    /// The separators around a header's name and value.
    const SEPARATORS_BYTES: usize = 4;
    let target_bytes = head.uri.path_and_query().map_or(0, |target| target.as_str().len());
    let headers = head.headers.iter();
    let header_bytes =
        headers.map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS_BYTES);
    target_bytes + header_bytes.sum::<usize>()
}

/// The names in the `Connection` header, in lower case: the headers with these names are hop-by-hop.
pub fn connection_options(headers: &http::HeaderMap) -> Vec<CompactString> {
    let mut options = Vec::new();
    for value in headers.get_all(http::header::CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            options.push(CompactString::from(name.trim().to_ascii_lowercase()));
        }
    }
    options
}

/// Whether a header applies to a single connection and must not be forwarded. `options` are the names from
/// [`connection_options`].
pub fn is_hop_by_hop(name: &http::HeaderName, options: &[CompactString]) -> bool {
    const HOP_BY_HOP: [&str; 9] = [
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
    HOP_BY_HOP.contains(&name.as_str()) || options.iter().any(|known| known == name.as_str())
}

/// A request target in origin form: path and query, without scheme and host.
pub fn origin_form(uri: &http::Uri) -> http::Uri {
    let Some(path) = uri.path_and_query() else {
        return http::Uri::from_static("/");
    };
    http::Uri::from(path.clone())
}
