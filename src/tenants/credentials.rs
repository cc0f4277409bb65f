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
    /// The position of the first entry of each bucket, and that of the end. Buckets are numbered by the upper bits of
    /// the hash; there are about as many as entries.
    starts: Vec<u32>,
    /// By how many bits a hash is shifted to the right for its bucket.
    shift: u32,
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
        let bits = entries.len().next_power_of_two().ilog2().max(1);
        let shift = u64::BITS - bits;
        let mut starts = Vec::with_capacity((1 << bits) + 1);
        for bucket in 0..1_u64 << bits {
            let start = entries.partition_point(|entry| entry.key_hash >> shift < bucket);
            starts.push(start as u32);
        }
        starts.push(entries.len() as u32);
        Self { entries, starts, shift }
    }

    /// Returns the tenant that holds `key`. The number of steps does not grow with the number of keys: a bucket has one
    /// entry on average.
    pub fn tenant(&self, key: &[u8]) -> Option<TenantIndex> {
        let key_hash = xxh3::xxh3_64(key);
        let bucket = (key_hash >> self.shift) as usize;
        let (start, end) = (*self.starts.get(bucket)?, *self.starts.get(bucket + 1)?);
        for entry in &self.entries[start as usize..end as usize] {
            if entry.key_hash == key_hash && entry.credential.0.as_bytes() == key {
                return Some(entry.tenant);
            }
        }
        None
    }
}
