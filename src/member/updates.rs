//! The queue of members whose records are to be gossiped, each a limited number of times.

use crate::ids;

#[derive(Debug)]
struct Update {
    name: ids::InstanceName,
    sent: u32,
}

/// The queued updates, sorted by member name.
#[derive(Debug, Default)]
pub(super) struct Updates {
    updates: Vec<Update>,
}

impl Updates {
    /// Queues the record of `name`, or resets its transmission count.
    pub(super) fn push(&mut self, name: &ids::InstanceName) {
        match self.updates.binary_search_by(|update| update.name.cmp(name)) {
            Ok(index) => self.updates[index].sent = 0,
            Err(index) => self.updates.insert(index, Update { name: name.clone(), sent: 0 }),
        }
    }

    pub(super) fn memory_bytes(&self) -> usize {
        self.updates.capacity() * size_of::<Update>()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// The names, ordered from fewest to most transmissions.
    pub(super) fn least_sent(&self) -> Vec<ids::InstanceName> {
        let mut order: Vec<&Update> = self.updates.iter().collect();
        order.sort_by_key(|update| update.sent);
        order.into_iter().map(|update| update.name.clone()).collect()
    }

    /// Counts one transmission of each of `names` and removes updates that reached `limit`.
    pub(super) fn record_sent(&mut self, names: &[ids::InstanceName], limit: u32) {
        for name in names {
            if let Ok(index) = self.updates.binary_search_by(|update| update.name.cmp(name)) {
                self.updates[index].sent += 1;
            }
        }
        self.updates.retain(|update| update.sent < limit);
    }

    /// Removes `name`.
    pub(super) fn remove(&mut self, name: &ids::InstanceName) {
        self.updates.retain(|update| update.name != *name);
    }
}
