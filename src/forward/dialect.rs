//! The names that clients and searchers use on the wire. The platform's adapter fills them in.

use bytes::Bytes;
use compact_str::CompactString;
use http::header::HeaderName;
use std::net;

/// Names of headers.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The id of a client's attempt; a searcher's answer repeats it.
    pub request_id: HeaderName,
    /// How many milliseconds the sender will wait.
    pub deadline_ms: HeaderName,
    /// The id of the searcher that the request is meant for.
    pub expected_searcher: HeaderName,
    /// In a searcher's answer: its signature.
    pub stamp: HeaderName,
    /// In a searcher's answer: it did not run the request.
    pub not_executed: HeaderName,
    /// In an answer to a gather: the signatures of the parts.
    pub part_stamps: HeaderName,
    /// In an answer to a gather: how many shards are missing.
    pub missing_parts: HeaderName,
}

/// A client's question where to connect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryCall {
    /// The client's region.
    pub region: CompactString,
    /// The client's failure domain.
    pub domain: CompactString,
}

/// The answer to it.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryReply {
    /// The addresses to use.
    pub addresses: Vec<net::SocketAddr>,
    /// How long the answer may be used.
    pub ttl_s: f64,
}

/// What is spoken on the wire.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Names of headers.
    pub headers: Headers,
    /// The path of the readiness check.
    pub readiness_path: &'static str,
    /// Reads a client's question, `None` if the call is another one.
    pub parse_directory: fn(&http::Uri) -> Option<DirectoryCall>,
    /// Writes the answer to it, as JSON.
    pub write_directory: fn(&DirectoryReply) -> Bytes,
}
