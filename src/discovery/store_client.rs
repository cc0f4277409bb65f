//! The interface through which a reader accesses the platform's store.

use crate::discovery::builder;
use crate::discovery::registry;
use crate::placement::evacuation;
use std::time;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store no longer has the requested changes; the complete state has to be read again.
    #[error("the store no longer has the requested changes")]
    HistoryLost,
    /// The store refused the call with this HTTP status.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The answer is too large to be read.
    #[error("the answer has more than {0} bytes")]
    TooLong(usize),
    /// The store could not be reached or did not answer in time.
    #[error("no answer from the store: {0}")]
    Unreachable(String),
    /// The answer can't be decoded.
    #[error("the store's answer is malformed: {0}")]
    Malformed(String),
}

/// The result of reading or watching the configuration.
#[derive(Clone, Debug)]
pub struct ConfigRead {
    /// The store revision at the time of the answer.
    pub as_of: registry::StoreRevision,
    /// The newest configuration that can be read; `None` if the answer has none.
    pub config: Option<builder::Built>,
    /// Whether a newer one can't be read.
    pub is_newest_unreadable: bool,
    /// The evacuated zones, or their changes after a watch.
    pub evacuations: evacuation::Read,
}

/// The result of reading or watching the searchers.
#[derive(Clone, Debug)]
pub struct SearchersRead {
    /// The store revision from which to watch for further changes.
    pub as_of: registry::StoreRevision,
    /// All searchers after a read, or the changed ones after a watch.
    pub changes: Vec<registry::SearcherChange>,
}

/// A client of the platform's store.
pub trait StoreClient: Send + Sync + 'static {
    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// If the store did not answer with it.
    fn read_config(&self) -> impl Future<Output = Result<ConfigRead, StoreError>> + Send;

    /// Waits up to `wait` for a configuration later than `after`.
    ///
    /// # Errors
    ///
    /// If the store did not answer, or no longer has the changes after `after`.
    fn watch_config(
        &self,
        after: registry::StoreRevision,
        wait: time::Duration,
    ) -> impl Future<Output = Result<ConfigRead, StoreError>> + Send;

    /// Reads all searchers. Ids that are missing from the answer were removed as of its revision.
    ///
    /// # Errors
    ///
    /// If the store did not answer with all of them.
    fn read_searchers(&self) -> impl Future<Output = Result<SearchersRead, StoreError>> + Send;

    /// Waits up to `wait` for changes of searchers later than `after`.
    ///
    /// # Errors
    ///
    /// If the store did not answer, or no longer has the changes after `after`.
    fn watch_searchers(
        &self,
        after: registry::StoreRevision,
        wait: time::Duration,
    ) -> impl Future<Output = Result<SearchersRead, StoreError>> + Send;
}
