//! tarragondoor: a query tier over many shards.
//!
//! The library holds everything; the daemon and the command-line client are thin shells.

pub mod admit;
pub mod attempts;
pub mod caller_api;
pub mod check;
pub mod choose;
pub mod config;
pub mod connection;
pub mod daemon;
pub mod document;
pub mod entry;
pub mod estimate;
pub mod events;
pub mod frame;
pub mod gossip;
pub mod hedge;
pub mod holdings;
pub mod home;
pub mod http;
pub mod ids;
pub mod instance;
pub mod key;
pub mod ledger;
pub mod link;
pub mod member;
pub mod operator_api;
pub mod owner;
pub mod peer_api;
pub mod peers;
pub mod plan;
pub mod platform;
pub mod platform_api;
pub mod policy;
pub mod query;
pub mod rank;
pub mod route;
pub mod seal;
pub mod searcher;
pub mod searcher_api;
pub mod serve;
pub mod settings;
pub mod slots;
pub mod snapshot;
pub mod spread;
