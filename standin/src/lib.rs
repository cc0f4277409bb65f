//! Small stand-ins for the platform and the backend servers, for tests and the demo.
//!
//! Both run as processes (the `standin` binary) or embedded, several in one process. Faults can be
//! switched at run time, through the handles or with `POST /standin/faults`.

pub mod client;
pub mod corpus;
pub mod demo;
pub mod fleet;
pub mod http;
pub mod layout;
pub mod platform;
pub mod searcher;
pub mod settings_change_cost;
pub mod settings_idle_cost;
pub mod settings_simulation;
