//! A survey: queries all instances that may serve for their version in force until each has replied.

use super::api;
use super::peers;
use crate::ids;

/// The least time between two queries to the same instance.
const QUERY_INTERVAL_MS: u64 = 500;

/// The most queries sent in one tick.
const QUERIES_PER_TICK_MAX: usize = 200;

/// The latest reply of an instance.
#[derive(Clone, Debug)]
struct Reply {
    instance: ids::InstanceName,
    boot: ids::BootId,
    revision: ids::Revision,
    standing: api::Standing,
    complete: bool,
}

/// One survey. Only replies with its nonce count, so each was sent after the survey began.
#[derive(Clone, Debug)]
pub(super) struct Survey {
    pub(super) nonce: u64,
    replies: Vec<Reply>,
    /// How many instances the current round has passed; 0 between rounds.
    cursor: usize,
    next_round_ms: u64,
}

impl Survey {
    pub(super) fn new(nonce: u64) -> Self {
        Self { nonce, replies: Vec::new(), cursor: 0, next_round_ms: 0 }
    }

    /// Sends no query before `at_ms`.
    pub(super) fn delay_until(&mut self, at_ms: u64) {
        self.next_round_ms = at_ms;
    }

    /// Records a reply. `complete` is false if the list of starters in it was truncated.
    pub(super) fn record_reply(
        &mut self,
        instance: &ids::InstanceName,
        boot: ids::BootId,
        revision: ids::Revision,
        standing: api::Standing,
        complete: bool,
    ) {
        let reply = Reply { instance: instance.clone(), boot, revision, standing, complete };
        match self.replies.binary_search_by(|known| known.instance.cmp(instance)) {
            Ok(index) if self.replies[index].boot > boot => {}
            Ok(index) => self.replies[index] = reply,
            Err(index) => self.replies.insert(index, reply),
        }
    }

    /// Whether the newest boot of `peer` has confirmed that `revision` or a later one is in force. A reply with
    /// a truncated list of starters does not count: it may omit an instance that has to be waited for.
    pub(super) fn confirms(&self, peer: &peers::Peer, revision: ids::Revision) -> bool {
        let Some(reply) = self.find(peer) else { return false };
        reply.complete && reply.revision >= revision
    }

    /// How many instances have replied.
    pub(super) fn reply_count(&self) -> usize {
        self.replies.len()
    }

    /// How many of these instances have replied, with any revision.
    pub(super) fn count_replied<'a>(&self, among: impl Iterator<Item = &'a peers::Peer>) -> usize {
        among.filter(|peer| self.find(peer).is_some()).count()
    }

    /// How many of these instances have replied and have been ready in their present boot.
    pub(super) fn count_previously_ready<'a>(
        &self,
        among: impl Iterator<Item = &'a peers::Peer>,
    ) -> usize {
        let replies = among.filter_map(|peer| self.find(peer));
        replies.filter(|reply| reply.standing != api::Standing::Starting).count()
    }

    /// The next instances to query in this round, without those for which `done` is true;
    /// none before the round is due.
    pub(super) fn next_queries(
        &mut self,
        now_ms: u64,
        peers: &peers::Peers,
        done: impl Fn(&Survey, &peers::Peer) -> bool,
    ) -> Vec<ids::InstanceName> {
        if self.cursor == 0 && now_ms < self.next_round_ms {
            return Vec::new();
        }
        if self.cursor == 0 {
            self.next_round_ms = now_ms + QUERY_INTERVAL_MS;
        }
        let mut due = Vec::new();
        let mut next = 0;
        for (index, peer) in peers.may_serve(now_ms).enumerate() {
            if index < self.cursor || done(self, peer) {
                continue;
            }
            if due.len() == QUERIES_PER_TICK_MAX {
                next = index;
                break;
            }
            due.push(peer.instance.clone());
        }
        self.cursor = next;
        due
    }

    fn find(&self, peer: &peers::Peer) -> Option<&Reply> {
        let index =
            self.replies.binary_search_by(|reply| reply.instance.cmp(&peer.instance)).ok()?;
        let reply = self.replies.get(index)?;
        (Some(reply.boot) >= peer.boot).then_some(reply)
    }
}
