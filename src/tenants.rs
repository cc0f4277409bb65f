//! Tenants: the customers' accounts that requests are attributed to, with their keys, quotas and home regions.

pub mod access;
pub mod authentication;
pub mod credentials;
pub mod enforcement;
pub mod metrics;
pub mod quota;
pub mod tenant;
pub mod usage;
