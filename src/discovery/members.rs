//! The instances of the deployment: which are alive, which read the store and which accept clients.

use crate::ids;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net;
use xxhash_rust::xxh3;

/// Whether an instance accepts requests.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// It does not know enough to serve yet.
    Starting,
    /// It accepts requests.
    Ready,
    /// It is about to stop.
    Draining,
}

/// What an instance reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name, which a restart does not change.
    pub name: ids::InstanceName,
    /// Unix time of the start of this process in milliseconds; later after each restart.
    pub boot_ms: u64,
    /// Its address for other instances.
    pub control: net::SocketAddr,
    /// Its address for clients; `None` if it accepts none.
    pub front: Option<net::SocketAddr>,
    /// Its failure domain.
    pub domain: CompactString,
    /// Its region.
    pub region: CompactString,
    /// Its CPU share, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Whether it accepts requests.
    pub state: MemberState,
    /// `false` if its calls to the store kept failing, until some seconds after the last failed one; `true` if it
    /// makes none.
    pub reaches_store: bool,
}

/// The instances known to this one, directly or through its sources.
#[derive(Clone, Debug)]
pub struct Members {
    me: Member,
    /// Instances that are connected to this one.
    subscribers: Vec<Member>,
    /// The members reported by each source.
    sources: Vec<SourceMembers>,
    /// Control addresses of instances that stopped responding, and until when they rank last as readers.
    unresponsive: Vec<(net::SocketAddr, u64)>,
}

#[derive(Clone, Debug)]
struct SourceMembers {
    /// The control address of the source.
    source: net::SocketAddr,
    members: Vec<Member>,
    /// When the members expire; `None` while the source is connected.
    expires_us: Option<u64>,
}

/// How long the members reported by a lost source stay live; they connect to another source meanwhile.
const LOST_SOURCE_KEEP_US: u64 = 2_000_000;
/// How long an instance that stopped responding ranks last as a reader: as long as a machine usually freezes.
const UNRESPONSIVE_KEEP_US: u64 = 4_000_000;
/// The minimum number of readers, if there are as many instances: one may fail while another is frozen.
const READERS_MIN: usize = 3;

impl Members {
    /// Creates a list that contains only this instance.
    pub fn new(me: Member) -> Self {
        Self { me, subscribers: Vec::new(), sources: Vec::new(), unresponsive: Vec::new() }
    }

    /// This instance.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Updates what this instance reports about itself. Returns whether anything changed.
    pub fn set_me(&mut self, state: MemberState, reaches_store: bool) -> bool {
        let changed = self.me.state != state || self.me.reaches_store != reaches_store;
        self.me.state = state;
        self.me.reaches_store = reaches_store;
        changed
    }

    /// Adds an instance that connected to this one, or updates it with a newer report. Returns whether
    /// anything changed; a report from an earlier boot is ignored.
    pub fn upsert_subscriber(&mut self, member: Member) -> bool {
        if let Some(known) = self.subscribers.iter_mut().find(|known| known.name == member.name) {
            if known.boot_ms > member.boot_ms || *known == member {
                return false;
            }
            *known = member;
            return true;
        }
        self.subscribers.push(member);
        true
    }

    /// Removes an instance whose connection to this one ended, unless a different boot of it is connected.
    /// Returns whether anything changed.
    pub fn remove_subscriber(&mut self, name: &ids::InstanceName, boot_ms: u64) -> bool {
        let before = self.subscribers.len();
        self.subscribers.retain(|known| known.name != *name || known.boot_ms != boot_ms);
        self.subscribers.len() != before
    }

    /// This instance and those connected to it, sorted by name: the list it publishes to subscribers.
    pub fn connected_members(&self) -> Vec<Member> {
        let mut members = self.subscribers.clone();
        members.push(self.me.clone());
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    /// Replaces the members reported by a source, which counts as connected and responsive again. Returns
    /// whether anything changed.
    pub fn set_source_members(&mut self, source: net::SocketAddr, members: Vec<Member>) -> bool {
        self.unresponsive.retain(|(address, _)| *address != source);
        match self.sources.iter_mut().find(|known| known.source == source) {
            Some(known) => {
                let changed = known.members != members || known.expires_us.is_some();
                known.members = members;
                known.expires_us = None;
                changed
            }
            None => {
                self.sources.push(SourceMembers { source, members, expires_us: None });
                true
            }
        }
    }

    /// Records that a source is no longer needed. What it reported, about itself too, stays until it expires.
    pub fn release_source(&mut self, now_us: u64, source: net::SocketAddr) {
        for known in &mut self.sources {
            if known.source == source {
                known.expires_us.get_or_insert(now_us + LOST_SOURCE_KEEP_US);
            }
        }
    }

    /// Records that the connection to a source is lost. `timed_out` is true if the source stopped responding or
    /// did not accept a connection in time, false if the connection was closed or failed.
    pub fn mark_source_lost(&mut self, now_us: u64, source: net::SocketAddr, timed_out: bool) {
        for known in &mut self.sources {
            if known.source != source {
                continue;
            }
            known.expires_us.get_or_insert(now_us + LOST_SOURCE_KEEP_US);
            known.members.retain(|member| member.control != source);
        }
        if timed_out {
            self.unresponsive.retain(|(address, _)| *address != source);
            self.unresponsive.push((source, now_us + UNRESPONSIVE_KEEP_US));
        }
    }

    /// Drops reports of lost sources and unresponsive instances that have expired. Returns whether there were any.
    pub fn expire(&mut self, now_us: u64) -> bool {
        let before = (self.sources.len(), self.unresponsive.len());
        self.sources.retain(|known| known.expires_us.is_none_or(|at_us| now_us < at_us));
        self.unresponsive.retain(|(_, until_us)| now_us < *until_us);
        (self.sources.len(), self.unresponsive.len()) != before
    }

    /// All members believed to be alive, sorted by name; this instance is among them.
    pub fn live(&self) -> Vec<&Member> {
        let mut members: Vec<&Member> = vec![&self.me];
        members.extend(&self.subscribers);
        for known in &self.sources {
            members.extend(&known.members);
        }
        // For each name the latest boot comes first, and within it what this instance or a subscriber reported about
        // itself: the sort is stable, and these were added first. Among the members reported by sources, those of
        // the source that was added first come first.
        members.sort_by(|a, b| a.name.cmp(&b.name).then(b.boot_ms.cmp(&a.boot_ms)));
        members.dedup_by(|a, b| a.name == b.name);
        members
    }

    /// The instances that read the store: the first of each region in an order that is the same on all
    /// instances, and more up to a minimum number. Instances that can't reach the store, are draining or
    /// have stopped responding rank last.
    pub fn readers(&self) -> Vec<&Member> {
        let mut ranked = self.live();
        ranked.sort_by_key(|member| {
            let unresponsive =
                self.unresponsive.iter().any(|(address, _)| *address == member.control);
            let unfit =
                !member.reaches_store || member.state == MemberState::Draining || unresponsive;
            (unfit, xxh3::xxh3_64(member.name.as_str().as_bytes()))
        });
        let mut readers: Vec<&Member> = Vec::new();
        for member in &ranked {
            if readers.iter().all(|reader| reader.region != member.region) {
                readers.push(member);
            }
        }
        for member in &ranked {
            if readers.len() >= READERS_MIN {
                break;
            }
            if readers.iter().all(|reader| reader.name != member.name) {
                readers.push(member);
            }
        }
        readers
    }

    /// Whether this instance is one of [`Members::readers`].
    pub fn is_reader(&self) -> bool {
        self.readers().iter().any(|reader| reader.name == self.me.name)
    }
}
