//! The edge towards the platform's store: what a reader asks of it.

use crate::discovery::config;
use crate::discovery::registry;
use std::time;

/// Why a call to the store brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store no longer has the changes asked for; everything has to be read anew.
    #[error("the store has dropped the history asked for")]
    HistoryLost,
    /// The store refused the call.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The store could not be reached or did not answer in time.
    #[error("no answer from the store: {0}")]
    Unreachable(String),
    /// The answer can't be understood.
    #[error("the store's answer is malformed: {0}")]
    Malformed(String),
}

/// The configuration as it was read.
#[derive(Clone, Debug)]
pub struct ConfigRead {
    /// The store's revision at the time of the answer.
    pub as_of: registry::StoreRevision,
    /// The newest configuration, if there is one that can be read.
    pub config: Option<config::Config>,
}

/// Searchers as they were read.
#[derive(Clone, Debug)]
pub struct SearchersRead {
    /// The store's revision from which changes continue.
    pub as_of: registry::StoreRevision,
    /// The searchers, or what changed of them.
    pub changes: Vec<registry::SearcherChange>,
}

/// The platform's store.
pub trait StoreClient: Send + Sync + 'static {
    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// When the store did not answer with it.
    fn read_config(&self) -> impl Future<Output = Result<ConfigRead, StoreError>> + Send;

    /// Waits up to `wait` for a configuration newer than `after`.
    ///
    /// # Errors
    ///
    /// When the store did not answer, or no longer knows what came after `after`.
    fn watch_config(
        &self,
        after: registry::StoreRevision,
        wait: time::Duration,
    ) -> impl Future<Output = Result<ConfigRead, StoreError>> + Send;

    /// Reads all searchers. Ids that are missing from the answer are gone as of its revision.
    ///
    /// # Errors
    ///
    /// When the store did not answer with all of them.
    fn read_searchers(&self) -> impl Future<Output = Result<SearchersRead, StoreError>> + Send;

    /// Waits up to `wait` for changes of searchers after `after`.
    ///
    /// # Errors
    ///
    /// When the store did not answer, or no longer knows what came after `after`.
    fn watch_searchers(
        &self,
        after: registry::StoreRevision,
        wait: time::Duration,
    ) -> impl Future<Output = Result<SearchersRead, StoreError>> + Send;
}
