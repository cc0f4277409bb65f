//! The instances of the deployment: which are alive, which distribute updates, which read the store and which accept
//! clients.

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
    /// Whether it reads the store although it is no reader, because what the readers know became old.
    pub stands_in: bool,
}

/// The differences between two lists of members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersDelta {
    /// Members that were added or changed.
    pub changed: Vec<Member>,
    /// Names of members that are gone.
    pub gone: Vec<ids::InstanceName>,
}

impl MembersDelta {
    /// The delta from `old` to `new`, both sorted by name.
    pub fn between(old: &[Member], new: &[Member]) -> Self {
        let position = |members: &[Member], name: &ids::InstanceName| {
            members.binary_search_by(|member| member.name.cmp(name)).ok()
        };
        let mut delta = Self::default();
        for member in new {
            if position(old, &member.name).is_none_or(|at| old[at] != *member) {
                delta.changed.push(member.clone());
            }
        }
        for member in old {
            if position(new, &member.name).is_none() {
                delta.gone.push(member.name.clone());
            }
        }
        delta
    }
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

impl SourceMembers {
    /// What the source reported about itself.
    fn own_report(&self) -> Option<&Member> {
        self.members.iter().find(|member| member.control == self.source)
    }
}

/// How long the members reported by a lost source stay live; they connect to another source meanwhile.
const LOST_SOURCE_KEEP_US: u64 = 2_000_000;
/// How long an instance that stopped responding ranks last as a reader: as long as a machine usually freezes.
const UNRESPONSIVE_KEEP_US: u64 = 4_000_000;
/// The minimum number of readers and of hubs, if there are as many instances: one may fail while another is frozen.
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

    /// Updates whether this instance accepts requests. Returns whether that changed.
    pub fn set_my_state(&mut self, state: MemberState) -> bool {
        let changed = self.me.state != state;
        self.me.state = state;
        changed
    }

    /// Updates how this instance accesses the store. Returns whether anything changed.
    pub fn set_my_store_access(&mut self, reaches_store: bool, stands_in: bool) -> bool {
        let changed = self.me.reaches_store != reaches_store || self.me.stands_in != stands_in;
        self.me.reaches_store = reaches_store;
        self.me.stands_in = stands_in;
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

    /// This instance and those connected to it, sorted by name: the list it publishes to subscribers. An instance that is
    /// no hub adds the hubs that it is connected to, since an instance that starts may have no other seed. Hubs that it
    /// knows by hearsay are left out: two instances could keep telling each other of one that is gone.
    pub fn connected_members(&self) -> Vec<Member> {
        let mut members = self.subscribers.clone();
        members.push(self.me.clone());
        let hubs = self.hubs();
        if hubs.iter().all(|hub| hub.name != self.me.name) {
            let connected = self.sources.iter().filter(|known| known.expires_us.is_none());
            let reports = connected.filter_map(SourceMembers::own_report);
            members.extend(reports.filter(|report| hubs.contains(report)).cloned());
        }
        members.sort_by(|a, b| a.name.cmp(&b.name).then(b.boot_ms.cmp(&a.boot_ms)));
        members.dedup_by(|a, b| a.name == b.name);
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

    /// Applies changes of the members reported by a source. Returns whether anything changed.
    pub fn apply_source_delta(&mut self, source: net::SocketAddr, delta: MembersDelta) -> bool {
        // The complete list comes first on each connection.
        let Some(known) = self.sources.iter_mut().find(|known| known.source == source) else {
            return false;
        };
        let mut members = known.members.clone();
        members.retain(|member| !delta.gone.contains(&member.name));
        for changed in delta.changed {
            match members.iter_mut().find(|member| member.name == changed.name) {
                Some(member) => *member = changed,
                None => members.push(changed),
            }
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        self.set_source_members(source, members)
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
        members.extend(self.sources.iter().filter_map(SourceMembers::own_report));
        for known in &self.sources {
            members.extend(&known.members);
        }
        // For each name the latest boot comes first, and within it what the instance reported about itself on its own
        // connection: the sort is stable, and these were added first. Among the other members reported by sources, those
        // of the source that was added first come first.
        members.sort_by(|a, b| a.name.cmp(&b.name).then(b.boot_ms.cmp(&a.boot_ms)));
        members.dedup_by(|a, b| a.name == b.name);
        members
    }

    /// The instances that all others get their updates from: the first of each region in an order that is the same on
    /// all instances, and more up to a minimum number. Instances that are draining or have stopped responding rank
    /// last. Whether they reach the store does not matter: they also get updates from those that read it, and a move
    /// of all connections would delay what is new at the worst time.
    pub fn hubs(&self) -> Vec<&Member> {
        first_of_each_region(&self.ranked(|_| false))
    }

    /// The instances that read the store: chosen like [`Members::hubs`], but those that can't reach the store rank last
    /// too.
    pub fn readers(&self) -> Vec<&Member> {
        first_of_each_region(&self.ranked(|member| !member.reaches_store))
    }

    /// Whether this instance is one of [`Members::hubs`].
    pub fn is_hub(&self) -> bool {
        self.hubs().iter().any(|hub| hub.name == self.me.name)
    }

    /// Whether this instance is one of [`Members::readers`].
    pub fn is_reader(&self) -> bool {
        self.readers().iter().any(|reader| reader.name == self.me.name)
    }

    /// The addresses of the instances that this one gets updates from: the hubs and, if it is one itself, those that read
    /// the store.
    pub fn selected_sources(&self) -> Vec<net::SocketAddr> {
        let hubs = self.hubs();
        let mut selected: Vec<net::SocketAddr> = hubs.iter().map(|hub| hub.control).collect();
        if hubs.iter().any(|hub| hub.name == self.me.name) {
            selected.extend(self.readers().iter().map(|reader| reader.control));
            let standing_in = self.live().into_iter().filter(|member| member.stands_in);
            selected.extend(standing_in.map(|member| member.control));
        }
        selected.retain(|address| *address != self.me.control);
        selected.sort();
        selected.dedup();
        selected
    }

    /// The position of this instance among those of its region that read the store if the readers can't, in the order in
    /// which they do so; `None` if it is a reader or not fit to be one.
    pub fn stand_in_rank(&self) -> Option<usize> {
        let readers = self.readers();
        let mut rank = 0;
        for (is_unfit, member) in self.ranked(|member| !member.reaches_store) {
            if is_unfit || member.region != self.me.region {
                continue;
            }
            if readers.iter().any(|reader| reader.name == member.name) {
                continue;
            }
            if member.name == self.me.name {
                return Some(rank);
            }
            rank += 1;
        }
        None
    }

    /// All live members and whether they are unfit to serve others, in an order that is the same on all instances: those
    /// that are draining, have stopped responding or that `is_unfit` returns true for come last.
    fn ranked(&self, is_unfit: impl Fn(&Member) -> bool) -> Vec<(bool, &Member)> {
        let mut ranked = Vec::new();
        for member in self.live() {
            let is_unresponsive =
                self.unresponsive.iter().any(|(address, _)| *address == member.control);
            let is_draining = member.state == MemberState::Draining;
            ranked.push((is_draining || is_unresponsive || is_unfit(member), member));
        }
        ranked.sort_by_cached_key(|(is_unfit, member)| {
            (*is_unfit, xxh3::xxh3_64(member.name.as_str().as_bytes()))
        });
        ranked
    }
}

/// The first member of each region, and the next ones up to [`READERS_MIN`].
fn first_of_each_region<'a>(ranked: &[(bool, &'a Member)]) -> Vec<&'a Member> {
    let mut first: Vec<&Member> = Vec::new();
    for (_, member) in ranked {
        if first.iter().all(|known| known.region != member.region) {
            first.push(member);
        }
    }
    for (_, member) in ranked {
        if first.len() >= READERS_MIN {
            break;
        }
        if first.iter().all(|known| known.name != member.name) {
            first.push(member);
        }
    }
    first
}
