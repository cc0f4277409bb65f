//! tarragondoor: a query tier over many shards.
//!
//! The library holds everything; the daemon and the command-line client are thin shells.

pub mod admit;
pub mod caller_api;
pub mod choose;
pub mod estimate;
pub mod events;
pub mod hedge;
pub mod ids;
pub mod operator_api;
pub mod platform_api;
pub mod policy;
pub mod rank;
pub mod searcher_api;
pub mod settings;
pub mod slots;
pub mod snapshot;
