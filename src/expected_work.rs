//! Routing by expected work: what a request is likely to cost, and what each searcher still has to do.
//!
//! [`cost`] learns the work of requests, [`backlog`] tracks the outstanding work and the speed of one searcher, and
//! [`load`] reads what a searcher says of its load. They are state machines without I/O or a clock.
//! [`crate::forward::balancer`] uses them if [`routing::Routing`] says so.

pub mod backlog;
pub mod cost;
pub mod load;
pub mod metrics;
pub mod routing;
