//! How a request gets from a client to the searchers and its answer back.
//!
//! [`server`] takes the request, [`query`] decides which searchers get it and when it is answered, [`balancer`]
//! holds what is observed of the searchers, [`budget`] limits second sends, and [`attempt`] makes one send.

pub mod address;
pub mod attempt;
pub mod balancer;
pub mod budget;
pub mod client_wait;
pub mod dialect;
pub mod endpoint;
pub mod header;
pub mod latency;
pub mod merge;
pub mod metrics;
pub mod query;
pub mod response;
pub mod retry_after;
pub mod run;
pub mod server;
