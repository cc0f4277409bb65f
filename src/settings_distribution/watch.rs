//! Watches the root for changes, from a few instances of each region.

use super::api;
use super::root;
use super::{Distributor, Purpose};
use crate::peers;

/// How many instances of each region watch the root.
const WATCHERS_PER_REGION: usize = 2;

/// How long one watch waits for a change.
const WATCH_WAIT_MS: u64 = 10_000;

/// Delay before the next watch after one has failed.
const WATCH_RETRY_MS: u64 = 1_000;

/// The key of the rendezvous hash that selects the watchers.
const WATCH_KEY: &str = "root-watch";

impl Distributor {
    /// Whether this instance is one of those that watch the root.
    pub fn is_watcher(&self) -> bool {
        let own_weight = peers::rendezvous_weight(self.config.instance.as_str(), WATCH_KEY);
        let mut heavier_count = 0;
        for peer in self.peers.all() {
            if !peer.is_live() || peer.region.as_ref() != Some(&self.config.region) {
                continue;
            }
            if peers::rendezvous_weight(peer.instance.as_str(), WATCH_KEY) > own_weight {
                heavier_count += 1;
            }
        }
        heavier_count < WATCHERS_PER_REGION
    }

    pub(super) fn start_watch(&mut self) {
        let watching = self.calls.iter().any(|call| call.purpose == Purpose::Watch);
        if watching || self.now_ms < self.watch_at_ms || !self.is_watcher() {
            return;
        }
        let call = api::PlatformCall::Watch { after: self.store_revision, wait_ms: WATCH_WAIT_MS };
        self.call_platform(call, Purpose::Watch);
    }

    pub(super) fn handle_watch_reply(&mut self, reply: &api::PlatformReply) {
        if *reply == api::PlatformReply::Unchanged {
            return;
        }
        if self.handle_root_reply(reply).is_none() {
            self.watch_at_ms = self.now_ms + WATCH_RETRY_MS;
        }
    }

    /// Processes the platform's reply to a read of the root. Returns the root, `None` if it does not exist,
    /// and its store revision; returns `None` if the reply is unusable.
    pub(super) fn handle_root_reply(
        &mut self,
        reply: &api::PlatformReply,
    ) -> Option<(Option<root::Root>, u64)> {
        match reply {
            api::PlatformReply::Found { value, store_revision } => {
                let root = root::Root::parse(value)?;
                self.store_revision = self.store_revision.max(*store_revision);
                self.learn(root.version(), None);
                Some((Some(root), *store_revision))
            }
            api::PlatformReply::Absent => Some((None, 0)),
            api::PlatformReply::Unchanged
            | api::PlatformReply::Written { .. }
            | api::PlatformReply::Mismatch
            | api::PlatformReply::Failed => None,
        }
    }
}
