//! Membership of instances: SWIM as a state machine without sockets, clock or randomness of its own.
//!
//! Every member is probed by random others; updates travel with the probes and in small gossip datagrams, and
//! digests find what was missed. [`machine::Membership`] holds the decisions, [`crate::gossip`] the socket.

pub mod machine;
pub mod message;
mod probe;
mod probing;
mod receive;
pub mod scaling;
mod step;
mod suspicion;
mod sync;
mod table;
mod updates;

use crate::ids;
use serde::{Deserialize, Serialize};
use std::net;

/// What is known of a member, in ascending precedence within one boot and incarnation.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer a probe and may still refute that.
    Suspect,
    /// It said that it is leaving; it still answers callers that hold its address.
    Leaving,
    /// It did not refute a suspicion in time. It may run on where this instance can't reach it.
    Unreachable,
    /// It said that it has left.
    Left,
}

impl State {
    /// Whether members of this state take part and may own backend servers.
    pub fn is_live(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    /// Whether members of this state are expected to answer.
    pub fn is_probed(self) -> bool {
        matches!(self, State::Alive | State::Suspect | State::Leaving)
    }
}

/// What is known of one member. Of two records of a name, the greater one replaces the other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Record {
    /// Its name.
    pub name: ids::InstanceName,
    /// Its boot.
    pub boot: ids::BootId,
    /// How often it refuted what was said of it, in this boot.
    pub incarnation: ids::Incarnation,
    /// Its state.
    pub state: State,
    /// Where other instances reach it, by UDP and TCP.
    pub peer_address: net::SocketAddr,
    /// Where callers reach it, by HTTP.
    pub caller_address: net::SocketAddr,
    /// Its region.
    pub region: ids::RegionName,
    /// Its failure domain.
    pub failure_domain: ids::DomainName,
}

impl Record {
    /// The record that prevails of two of the same name. Commutative, associative and idempotent.
    pub fn merge(self, other: Record) -> Record {
        self.max(other)
    }
}

/// The settings revision that an instance has, sent along with each message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsStatus {
    /// The revision in force at the sender.
    pub revision: ids::Revision,
    /// The hash of its document.
    pub hash: [u8; 32],
    /// Whether the sender has lately confirmed it with the platform.
    pub fresh: bool,
}

/// What one instance knows of all members, itself among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Grows with each change.
    pub version: u64,
    /// The members, sorted by name.
    pub members: Vec<Record>,
}

impl View {
    /// The member of the given name.
    pub fn find(&self, name: &ids::InstanceName) -> Option<&Record> {
        let index = self.members.binary_search_by(|record| record.name.cmp(name)).ok()?;
        self.members.get(index)
    }

    /// The members that are Alive or Suspect, sorted by name.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.members.iter().filter(|record| record.state.is_live())
    }
}

/// The periods and limits of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Between two probes of a node.
    pub probe_period_ms: u64,
    /// The shortest time that a probed member is given before others are asked to probe it.
    pub probe_timeout_min_ms: u64,
    /// How many members are asked to probe one that did not answer.
    pub indirect_probes: usize,
    /// How long a suspicion lasts among up to 10 live members; it grows with the log10 of their number.
    pub suspicion_ms: u64,
    /// Between two gossip datagrams, while there are updates to spread.
    pub gossip_period_ms: u64,
    /// How many members get each of them.
    pub gossip_fanout: usize,
    /// An update is sent this many times log10 of the members' number.
    pub retransmit_factor: u32,
    /// Between two comparisons of digests with a random member, when they find nothing.
    pub sync_period_ms: u64,
    /// The same just after one found something.
    pub sync_interval_min_ms: u64,
    /// Between two attempts to reach an Unreachable member.
    pub reprobe_period_ms: u64,
    /// Between two attempts to join while no other member is live.
    pub join_period_ms: u64,
    /// A member that has Left, or is Unreachable and not listed, is forgotten after this time.
    pub forget_ms: u64,
    /// The same for a member that was never seen to live and is not listed.
    pub forget_unseen_ms: u64,
    /// A longer time between two steps means that the process was paused.
    pub pause_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_period_ms: 500,
            probe_timeout_min_ms: 150,
            indirect_probes: 3,
            suspicion_ms: 3_000,
            gossip_period_ms: 200,
            gossip_fanout: 2,
            retransmit_factor: 4,
            sync_period_ms: 10_000,
            sync_interval_min_ms: 1_000,
            reprobe_period_ms: 2_000,
            join_period_ms: 1_000,
            forget_ms: 600_000,
            forget_unseen_ms: 60_000,
            pause_ms: 1_500,
        }
    }
}
