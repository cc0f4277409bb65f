//! tarragondoor: a query tier over many shards.
//!
//! The library holds everything; the daemon and the command-line client are thin shells.

pub mod caller_api;
pub mod check;
pub mod document;
pub mod events;
pub mod ids;
pub mod operator_api;
pub mod plan;
pub mod platform_api;
pub mod rank;
pub mod searcher_api;
pub mod settings;
pub mod snapshot;
