//! Finds the tenant that holds a key.

use crate::tenants::tenant;
use xxhash_rust::xxh3;

/// The position of a tenant in the configuration's list of tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantIndex(pub usize);

/// The keys of all tenants of one configuration.
#[derive(Clone, Debug, Default)]
pub struct Index {
    /// Sorted by hash.
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    key_hash: u64,
    credential: tenant::Credential,
    tenant: TenantIndex,
}

impl Index {
    /// Builds the index of the tenants of a configuration.
    pub fn new(tenants: &[tenant::Tenant]) -> Self {
        let mut entries = Vec::new();
        for (index, tenant) in tenants.iter().enumerate() {
            for credential in &tenant.credentials {
                let key_hash = xxh3::xxh3_64(credential.0.as_bytes());
                let tenant = TenantIndex(index);
                entries.push(Entry { key_hash, credential: credential.clone(), tenant });
            }
        }
        entries.sort_by_key(|entry| entry.key_hash);
        Self { entries }
    }

    /// Returns the tenant that holds `key`. The number of steps grows with the logarithm of the number of keys.
    pub fn tenant(&self, key: &[u8]) -> Option<TenantIndex> {
        let key_hash = xxh3::xxh3_64(key);
        let start = self.entries.partition_point(|entry| entry.key_hash < key_hash);
        for entry in &self.entries[start..] {
            if entry.key_hash != key_hash {
                break;
            }
            if entry.credential.0.as_bytes() == key {
                return Some(entry.tenant);
            }
        }
        None
    }
}
