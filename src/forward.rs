//! Forwards client requests to searchers and returns their answers.
//!
//! [`server`] accepts the request, [`query`] decides which searchers it is sent to and when it is answered,
//! [`balancer`] keeps statistics on the searchers, [`budget`] limits hedges and retries, and [`attempt`]
//! makes one send.

pub mod address;
pub mod admission;
pub mod answer_buffer;
pub mod answer_delay;
pub mod attempt;
pub mod balancer;
pub mod budget;
pub mod connection_limit;
pub mod dialect;
pub mod endpoint;
pub mod header;
pub mod latency;
pub mod limit;
pub mod merge;
pub mod metrics;
pub mod query;
pub mod read_limit;
pub mod response;
pub mod retry_after;
pub mod run;
pub mod send_limit;
pub mod server;
pub mod shutdown;
