//! The order of requests for searchers that can't take all of them at once.
//!
//! A part of a request that finds no room at the searchers of its service waits in that service's [`queue`]. [`gate`]
//! decides whose turn it is; [`shares`] tells who is served much less often than all, and [`window`] limits what is sent
//! to searchers that are known to be full. Active only where the configuration has tenants.

pub mod gate;
pub mod metrics;
pub mod queue;
pub mod shares;
pub mod turns;
pub mod window;
