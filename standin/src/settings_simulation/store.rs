//! A key-value store with compare-and-swap and watches, in memory.

use tarragondoor::ids;
use tarragondoor::settings_distribution::api;
use tarragondoor::settings_distribution::root;

/// A waiting watch.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    pub(super) node: usize,
    pub(super) boot: ids::BootId,
    pub(super) request: u64,
    after: u64,
    pub(super) until_ms: u64,
}

/// The store.
#[derive(Debug, Default)]
pub(super) struct Store {
    revision: u64,
    /// The key, the value and the revision of each entry.
    entries: Vec<(String, String, u64)>,
    pub(super) watches: Vec<Watch>,
    pub(super) committed: Vec<root::Committed>,
}

impl Store {
    /// Executes a call; `None` if it is a watch that has to wait.
    pub(super) fn call(
        &mut self,
        call: &api::PlatformCall,
        node: usize,
        boot: ids::BootId,
        request: u64,
        now_ms: u64,
    ) -> Option<api::PlatformReply> {
        match call {
            api::PlatformCall::Get(key) => Some(self.get(key)),
            api::PlatformCall::Put { key, expected, value } => {
                Some(self.put(key, *expected, value))
            }
            api::PlatformCall::Watch { after, wait_ms } => {
                if let reply @ api::PlatformReply::Found { store_revision, .. } =
                    self.get(&api::Key::Root)
                    && store_revision > *after
                {
                    return Some(reply);
                }
                let until_ms = now_ms + wait_ms;
                self.watches.push(Watch { node, boot, request, after: *after, until_ms });
                None
            }
        }
    }

    /// Removes the watches that a change or their timeout ends; returns each with its answer.
    pub(super) fn take_finished_watches(
        &mut self,
        now_ms: u64,
    ) -> Vec<(Watch, api::PlatformReply)> {
        let root = self.get(&api::Key::Root);
        let mut finished = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            match &root {
                api::PlatformReply::Found { store_revision, .. }
                    if *store_revision > watch.after =>
                {
                    finished.push((watch, root.clone()));
                }
                _ if watch.until_ms <= now_ms => {
                    finished.push((watch, api::PlatformReply::Unchanged));
                }
                _ => self.watches.push(watch),
            }
        }
        finished
    }

    fn get(&self, key: &api::Key) -> api::PlatformReply {
        let key = key.to_string();
        for (name, value, store_revision) in &self.entries {
            if *name == key {
                let store_revision = *store_revision;
                return api::PlatformReply::Found { value: value.clone(), store_revision };
            }
        }
        api::PlatformReply::Absent
    }

    fn put(&mut self, key: &api::Key, expected: u64, value: &str) -> api::PlatformReply {
        let name = key.to_string();
        let index = self.entries.iter().position(|(existing, _, _)| *existing == name);
        let current_revision = index.map_or(0, |index| self.entries[index].2);
        if current_revision != expected {
            return api::PlatformReply::Mismatch;
        }
        self.revision += 1;
        let store_revision = self.revision;
        match index {
            Some(index) => self.entries[index] = (name, value.to_string(), store_revision),
            None => self.entries.push((name, value.to_string(), store_revision)),
        }
        if *key == api::Key::Root {
            let root: root::Root = serde_json::from_str(value).expect("the root is valid JSON");
            self.committed.extend(root.history.last());
        }
        api::PlatformReply::Written { store_revision }
    }
}
