//! The instances of the deployment: who is alive, who reads the store, who takes clients.

use crate::ids;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net;
use xxhash_rust::xxh3;

/// Whether an instance takes requests.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// It does not know enough yet.
    Starting,
    /// It takes requests.
    Ready,
    /// It is about to stop.
    Draining,
}

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name, the same after a restart.
    pub name: ids::InstanceName,
    /// Unix time of the start of this process; a restart has a later one.
    pub boot_ms: u64,
    /// Where other instances reach it.
    pub control: net::SocketAddr,
    /// Where clients reach it, if it takes any.
    pub front: Option<net::SocketAddr>,
    /// Its failure domain.
    pub domain: CompactString,
    /// Its region.
    pub region: CompactString,
    /// Its share of a processor core, in thousandths.
    pub cpu_millicores: u32,
    /// Whether it takes requests.
    pub state: MemberState,
    /// Whether the store answered its last calls; `true` while it makes none.
    pub reaches_store: bool,
}

/// The members, as this instance and those it is connected to see them.
#[derive(Clone, Debug)]
pub struct Members {
    me: Member,
    /// Instances with an open connection to this one.
    subscribers: Vec<Member>,
    /// What each source (by its control address) has told, and until when it counts if the connection to
    /// the source is lost.
    sources: Vec<SourceMembers>,
    /// Instances (by their control address) that went silent, and until when they are passed over as
    /// readers.
    unresponsive: Vec<(net::SocketAddr, u64)>,
}

#[derive(Clone, Debug)]
struct SourceMembers {
    source: net::SocketAddr,
    members: Vec<Member>,
    expires_us: Option<u64>,
}

/// How long the members that a lost source has told still count; they connect to another one meanwhile.
const LOST_SOURCE_KEEP_US: u64 = 2_000_000;
/// How long an instance that went silent is passed over as a reader: the time a frozen machine takes.
const UNRESPONSIVE_KEEP_US: u64 = 4_000_000;
/// How many instances read the store at least, if there are as many: one may be lost, one frozen.
const READERS_MIN: usize = 3;

impl Members {
    /// Knows of nobody but `me`.
    pub fn new(me: Member) -> Self {
        Self { me, subscribers: Vec::new(), sources: Vec::new(), unresponsive: Vec::new() }
    }

    /// This instance.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Changes what this instance says of itself. Returns whether that is news.
    pub fn set_me(&mut self, state: MemberState, reaches_store: bool) -> bool {
        let changed = self.me.state != state || self.me.reaches_store != reaches_store;
        self.me.state = state;
        self.me.reaches_store = reaches_store;
        changed
    }

    /// An instance is connected to this one, or has said something new of itself.
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

    /// The connection of this life of an instance to this one is gone.
    pub fn remove_subscriber(&mut self, name: &ids::InstanceName, boot_ms: u64) -> bool {
        let before = self.subscribers.len();
        self.subscribers.retain(|known| known.name != *name || known.boot_ms != boot_ms);
        self.subscribers.len() != before
    }

    /// The instances connected to this one, and itself: what it tells others.
    pub fn connected_members(&self) -> Vec<Member> {
        let mut members = self.subscribers.clone();
        members.push(self.me.clone());
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    /// What a source says are its members. Returns whether that is news.
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

    /// The connection to a source is lost. `silent` tells that it broke by silence, not by a close.
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

    /// Drops what has expired.
    pub fn expire(&mut self, now_us: u64) {
        self.sources.retain(|known| known.expires_us.is_none_or(|at_us| now_us < at_us));
        self.unresponsive.retain(|(_, until_us)| now_us < *until_us);
    }

    /// All members believed to be alive, sorted by name; this instance is among them.
    pub fn live(&self) -> Vec<&Member> {
        let mut members: Vec<&Member> = vec![&self.me];
        members.extend(&self.subscribers);
        for known in &self.sources {
            members.extend(&known.members);
        }
        // Of one name, the newest life goes first, and of that, the word of the instance itself.
        members.sort_by(|a, b| a.name.cmp(&b.name).then(b.boot_ms.cmp(&a.boot_ms)));
        members.dedup_by(|a, b| a.name == b.name);
        members
    }

    /// The instances that read the store: the first of each region in an order that all agree on, and
    /// more up to a least number. Those that the store does not answer, that leave or that went silent come
    /// last.
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
