//! Discovery of the configuration in force, the searchers and the other instances.
//!
//! A few instances (the *readers*, at least one in each region) read the platform's store, so that the number of calls
//! does not grow with the number of instances. A few (the *hubs*) stream changes to all others over long-lived
//! connections. Hubs and readers are the same instances unless the store turns some of them away.

pub mod builder;
pub mod client_wait;
pub mod config;
pub mod feed;
pub mod members;
pub mod pacer;
pub mod publisher;
pub mod reader;
pub mod registry;
pub mod stand_in;
pub mod store_client;
pub mod subscriber;
pub mod table;
pub mod view;
