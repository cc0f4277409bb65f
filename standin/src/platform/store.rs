//! The key-value store and its leases, as a state machine.

use tarragondoor::platform_api;

/// The maximum number of keys.
pub const KEYS_MAX: usize = 10_000;

/// The maximum number of leases.
pub const LEASES_MAX: usize = 10_000;

/// Why the store rejected a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The key has this revision instead of the expected one; 0 if it does not exist.
    #[error("the key has revision {0}")]
    Conflict(u64),
    /// The lease has expired or never existed.
    #[error("the lease has lapsed")]
    LeaseExpired,
    /// The value exceeds [`platform_api::VALUE_MAX_BYTES`].
    #[error("the value is too large")]
    TooLarge,
    /// There are too many keys or leases.
    #[error("the store is full")]
    Full,
}

#[derive(Clone, Debug)]
struct Record {
    key: String,
    entry: platform_api::Entry,
    lease: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    ttl_ms: u64,
    expires_ms: u64,
}

/// The store. Times are milliseconds of any monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct Store {
    records: Vec<Record>,
    leases: Vec<Lease>,
    revision: u64,
    last_lease: u64,
}

impl Store {
    /// Returns the value of `key` with its revision; `None` if it does not exist or its lease has
    /// expired.
    pub fn get(&mut self, now_ms: u64, key: &str) -> Option<platform_api::Entry> {
        self.remove_expired(now_ms);
        let index = self.find(key).ok()?;
        Some(self.records[index].entry.clone())
    }

    /// Writes `key` if it has the expected revision (0: it does not exist); returns its new
    /// revision.
    ///
    /// # Errors
    ///
    /// `TooLarge`, `LeaseExpired`, `Conflict` if the key has another revision, or `Full`.
    pub fn put(
        &mut self,
        now_ms: u64,
        key: &str,
        request: platform_api::PutRequest,
    ) -> Result<u64, StoreError> {
        self.remove_expired(now_ms);
        if request.value.len() > platform_api::VALUE_MAX_BYTES {
            return Err(StoreError::TooLarge);
        }
        if let Some(lease) = request.lease {
            self.find_lease(lease)?;
        }
        let position = self.find(key);
        let current_revision = position.map_or(0, |index| self.records[index].entry.revision);
        if current_revision != request.expected_revision {
            return Err(StoreError::Conflict(current_revision));
        }
        if position.is_err() && self.records.len() >= KEYS_MAX {
            return Err(StoreError::Full);
        }
        self.revision += 1;
        let entry = platform_api::Entry { value: request.value, revision: self.revision };
        let record = Record { key: key.to_owned(), entry, lease: request.lease };
        match position {
            Ok(index) => self.records[index] = record,
            Err(index) => self.records.insert(index, record),
        }
        Ok(self.revision)
    }

    /// Grants a lease and returns its id.
    ///
    /// # Errors
    ///
    /// [`StoreError::Full`] if there are [`LEASES_MAX`] leases.
    pub fn grant(&mut self, now_ms: u64, ttl_ms: u64) -> Result<u64, StoreError> {
        self.remove_expired(now_ms);
        if self.leases.len() >= LEASES_MAX {
            return Err(StoreError::Full);
        }
        self.last_lease += 1;
        let expires_ms = now_ms.saturating_add(ttl_ms);
        self.leases.push(Lease { id: self.last_lease, ttl_ms, expires_ms });
        Ok(self.last_lease)
    }

    /// Renews a lease that has not expired.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseExpired`] if it has expired or never existed.
    pub fn renew(&mut self, now_ms: u64, lease: u64) -> Result<(), StoreError> {
        self.remove_expired(now_ms);
        let index = self.find_lease(lease)?;
        let lease = &mut self.leases[index];
        lease.expires_ms = now_ms.saturating_add(lease.ttl_ms);
        Ok(())
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.records.binary_search_by(|record| record.key.as_str().cmp(key))
    }

    fn find_lease(&self, id: u64) -> Result<usize, StoreError> {
        self.leases
            .binary_search_by_key(&id, |lease| lease.id)
            .map_err(|_| StoreError::LeaseExpired)
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.leases.retain(|lease| lease.expires_ms > now_ms);
        let leases = &self.leases;
        self.records.retain(|record| match record.lease {
            None => true,
            Some(id) => leases.binary_search_by_key(&id, |lease| lease.id).is_ok(),
        });
    }
}
