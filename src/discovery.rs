//! What an instance knows of the deployment: the configuration in force, the searchers and the other
//! instances, and how it learns of changes.
//!
//! A few instances (the *readers*, one in each region) read the platform's store. They feed all others over
//! long-lived connections, so that calls to the store do not grow with the number of instances.

pub mod config;
pub mod feed;
pub mod members;
pub mod publisher;
pub mod reader;
pub mod registry;
pub mod store_client;
pub mod subscriber;
pub mod table;
pub mod view;
