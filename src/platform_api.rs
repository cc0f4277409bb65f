//! The platform's API: HTTP/1.1 with JSON bodies.
//!
//! | call | body | reply |
//! |---|---|---|
//! | `GET /v1/kv?key=K` | none | 200 [`Entry`], 404 if the key does not exist |
//! | `PUT /v1/kv?key=K` | [`PutRequest`] | 200 [`PutReply`], 409 [`PutReply`] with the key's current revision |
//! | `GET /v1/watch?key=K&after_revision=N&wait_ms=M` | none | 200 [`Entry`] once its revision is above N, 204 if it is not within M |
//! | `POST /v1/leases` | [`LeaseRequest`] | 200 [`LeaseReply`] |
//! | `POST /v1/leases/renew` | [`LeaseReply`] | 200, 404 if it has expired |
//! | `GET /v1/instances` | none | 200 [`InstanceList`], which may be stale |
//!
//! The reply to any call may also be a status of 400 or more and a [`PlatformError`]: 404 for an expired
//! lease, 413 for a value above [`VALUE_MAX_BYTES`], 503 in an outage, 507 when the store is full. Nothing
//! was written then. The removal of a key by the expiry of its lease completes no watch.
//!
//! A lost reply leaves the outcome of a `PUT` unknown: it may have taken effect.

use crate::ids;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net;

/// The largest value, in bytes.
pub const VALUE_MAX_BYTES: usize = 1 << 20;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The value.
    pub value: String,
    /// The store's revision at which the value was written, counted from 1.
    pub revision: u64,
}

/// A conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The revision that the key must have; 0 means that it must not exist.
    pub expected_revision: u64,
    /// The new value.
    pub value: String,
    /// The lease on whose expiry the key is removed, if any.
    pub lease: Option<u64>,
}

/// The outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutReply {
    /// The key's current revision; 0 if it does not exist.
    pub revision: u64,
}

/// A request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// How long the lease lasts without a renewal.
    pub ttl_ms: u64,
}

/// A granted lease; also the body of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The lease's id.
    pub lease: u64,
}

/// What runs on a platform instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Workload {
    /// An instance of the query tier.
    Entry {
        /// Its name.
        instance: ids::InstanceName,
        /// Its address for other instances, UDP and TCP.
        peer_address: net::SocketAddr,
    },
    /// A backend server.
    Searcher {
        /// Its name.
        searcher: ids::SearcherName,
        /// The service it belongs to.
        service: ids::ServiceName,
        /// Its HTTP address.
        address: net::SocketAddr,
    },
}

/// Whether the platform is about to stop an instance.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ListState {
    /// It is running.
    Live,
    /// It will be stopped soon.
    Leaving,
}

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// What runs there.
    pub workload: Workload,
    /// The region.
    pub region: ids::RegionName,
    /// The failure domain.
    pub failure_domain: ids::DomainName,
    /// Whether it is about to be stopped.
    pub state: ListState,
}

/// The platform's list of live and leaving instances; it may be stale.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Increases with each change of the list.
    pub version: u64,
    /// The instances.
    pub instances: Vec<ListedInstance>,
}

/// The body of a reply with a status of 400 or more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformError {
    /// The error message.
    pub error: CompactString,
}
