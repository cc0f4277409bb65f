//! The headers, paths and formats of a platform's HTTP protocol, as supplied by the platform's adapter.

use bytes::Bytes;
use compact_str::CompactString;
use http::header::HeaderName;
use std::net;

/// The names of the protocol's headers.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The id of one attempt of a client; the searcher's answer repeats it.
    pub request_id: HeaderName,
    /// How long the sender of the request will wait for the answer, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The id of the searcher that the request is meant for.
    pub expected_searcher: HeaderName,
    /// In a searcher's answer: its signature.
    pub stamp: HeaderName,
    /// In a searcher's answer: present if it did not run the request.
    pub not_executed: HeaderName,
    /// In a searcher's answer: `1` if the searcher is about to stop and wants no more requests.
    pub leaving: HeaderName,
    /// In a searcher's answer: how many requests per second it takes from all instances together.
    pub limit: HeaderName,
    /// The client's key.
    pub credential: HeaderName,
    /// The name of the tenant that holds the client's key, for the searcher.
    pub tenant: HeaderName,
    /// In a searcher's answer: its load.
    pub load: HeaderName,
    /// In a searcher's answer: how much longer it is cold, in milliseconds.
    pub cold_remaining_ms: HeaderName,
    /// In the answer to a gather: the searchers' signatures of its parts.
    pub part_stamps: HeaderName,
    /// In the answer to a gather: the number of missing shards.
    pub missing_parts: HeaderName,
}

/// A client's request for the addresses of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryCall {
    /// The host that the client wants to reach; empty if it names none.
    pub host: CompactString,
    /// The client's region.
    pub region: CompactString,
    /// The client's failure domain.
    pub domain: CompactString,
}

/// The answer to a [`DirectoryCall`].
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryReply {
    /// The addresses to connect to.
    pub addresses: Vec<net::SocketAddr>,
    /// How long the answer may be used, in seconds.
    pub ttl_s: f64,
}

/// The variant of the HTTP protocol that a platform's clients and searchers use.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// The names of the headers.
    pub headers: Headers,
    /// The path of the readiness check.
    pub readiness_path: &'static str,
    /// Parses a directory request; `None` if the URI is not one.
    pub parse_directory: fn(&http::Uri) -> Option<DirectoryCall>,
    /// Encodes the answer as JSON.
    pub write_directory: fn(&DirectoryReply) -> Bytes,
}
