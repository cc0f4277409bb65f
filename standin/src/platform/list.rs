//! The list of instances, whose changes become visible with a lag, as a state machine.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections;
use tarragondoor::platform_api;

/// The maximum number of instances in the list; further ones are ignored.
pub const INSTANCES_MAX: usize = 10_000;

/// A change of the list: the body of `POST /standin/instances`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListChange {
    /// Instances to add, or to replace by name.
    pub upsert: Vec<platform_api::ListedInstance>,
    /// The names of the instances to remove.
    pub remove: Vec<CompactString>,
}

/// The visible list and the changes that are not visible yet.
#[derive(Clone, Debug, Default)]
pub struct LaggingList {
    visible: platform_api::InstanceList,
    pending: collections::VecDeque<(u64, ListChange)>,
}

impl LaggingList {
    /// Queues a change that happens at `now_ms`.
    pub fn change(&mut self, now_ms: u64, change: ListChange) {
        self.pending.push_back((now_ms, change));
    }

    /// Applies the changes that are at least `lag_ms` old and returns the visible list.
    pub fn read(&mut self, now_ms: u64, lag_ms: u64) -> &platform_api::InstanceList {
        while let Some((changed_ms, _)) = self.pending.front() {
            if changed_ms.saturating_add(lag_ms) > now_ms {
                break;
            }
            let Some((_, change)) = self.pending.pop_front() else { break };
            self.apply(change);
        }
        &self.visible
    }

    fn apply(&mut self, change: ListChange) {
        let instances = &mut self.visible.instances;
        for name in &change.remove {
            instances.retain(|listed| name_of(&listed.workload) != name.as_str());
        }
        for listed in change.upsert {
            let name = name_of(&listed.workload);
            match instances.binary_search_by(|old| name_of(&old.workload).cmp(name)) {
                Ok(index) => instances[index] = listed,
                Err(_) if instances.len() >= INSTANCES_MAX => continue,
                Err(index) => instances.insert(index, listed),
            }
        }
        self.visible.version += 1;
    }
}

fn name_of(workload: &platform_api::Workload) -> &str {
    match workload {
        platform_api::Workload::Entry { instance, .. } => instance.as_str(),
        platform_api::Workload::Searcher { searcher, .. } => searcher.as_str(),
    }
}
