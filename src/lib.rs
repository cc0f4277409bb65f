//! tarragondoor: a query tier over many shards.
//!
//! The library holds everything; the daemon and the command-line client are thin shells.

pub mod caller_api;
pub mod check;
pub mod cli;
pub mod client;
pub mod cmd;
pub mod events;
pub mod ids;
pub mod key;
pub mod ledger;
pub mod load;
pub mod operator_api;
pub mod platform_api;
pub mod rank;
pub mod searcher_api;
pub mod settings;
pub mod snapshot;
pub mod trace;
