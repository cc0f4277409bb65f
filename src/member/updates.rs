//! The names whose records are still to be spread, each a bounded number of times.

use crate::ids;

#[derive(Debug)]
struct Update {
    name: ids::InstanceName,
    sent: u32,
}

/// The updates, sorted by name.
#[derive(Debug, Default)]
pub(super) struct Updates {
    updates: Vec<Update>,
}

impl Updates {
    /// Has the record of `name` spread from the start again.
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

    /// The names, those that were sent least first.
    pub(super) fn least_sent(&self) -> Vec<ids::InstanceName> {
        let mut order: Vec<&Update> = self.updates.iter().collect();
        order.sort_by_key(|update| update.sent);
        order.into_iter().map(|update| update.name.clone()).collect()
    }

    /// Counts one transmission of each of `names` and drops those that had `limit`.
    pub(super) fn record_sent(&mut self, names: &[ids::InstanceName], limit: u32) {
        for name in names {
            if let Ok(index) = self.updates.binary_search_by(|update| update.name.cmp(name)) {
                self.updates[index].sent += 1;
            }
        }
        self.updates.retain(|update| update.sent < limit);
    }

    /// Drops `name`.
    pub(super) fn remove(&mut self, name: &ids::InstanceName) {
        self.updates.retain(|update| update.name != *name);
    }
}
