//! Cluster membership: the SWIM protocol as a deterministic state machine without sockets or a clock.
//!
//! Members probe each other in random order. Updates are piggybacked on probes and sent in small gossip
//! datagrams; an anti-entropy exchange of digests repairs what gossip missed. [`machine::Membership`] makes the
//! decisions, [`crate::gossip`] runs it on a UDP socket.

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

/// The state of a member, in ascending precedence within one boot and incarnation.
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
    /// It answers probes.
    Alive,
    /// It did not answer a probe and may still refute the suspicion.
    Suspect,
    /// It announced that it is shutting down; it still answers callers that hold its address.
    Leaving,
    /// It did not refute a suspicion in time. It may still run where this instance can't reach it.
    Unreachable,
    /// It announced that it has left.
    Left,
}

impl State {
    /// Whether members in this state take part and may own backend servers.
    pub fn is_live(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    /// Whether members in this state are expected to answer probes.
    pub fn is_probed(self) -> bool {
        matches!(self, State::Alive | State::Suspect | State::Leaving)
    }
}

/// The known state of one member. Of two records with the same name, the greater one wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Record {
    /// The name of the instance; the key of the record.
    pub name: ids::InstanceName,
    /// The boot of the process; a restart has a greater one.
    pub boot: ids::BootId,
    /// A counter that the member raises, within one boot, when it refutes a record or changes its own state.
    pub incarnation: ids::Incarnation,
    /// The state of the member, as reported by itself or by others.
    pub state: State,
    /// The UDP and TCP address for other instances.
    pub peer_address: net::SocketAddr,
    /// The HTTP address for callers.
    pub caller_address: net::SocketAddr,
    /// The region in which the instance runs.
    pub region: ids::RegionName,
    /// The failure domain in which the instance runs.
    pub failure_domain: ids::DomainName,
}

impl Record {
    /// The greater of two records with the same name. Commutative, associative and idempotent.
    pub fn merge(self, other: Record) -> Record {
        self.max(other)
    }
}

/// The settings revision that is in force at an instance, piggybacked on each message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsStatus {
    /// The revision in force at the sender.
    pub revision: ids::Revision,
    /// The hash of the revision's settings document.
    pub hash: [u8; 32],
    /// Whether the sender has recently confirmed the revision with the platform.
    pub fresh: bool,
}

/// All members that one instance knows, including itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Increases with each change.
    pub version: u64,
    /// The members, sorted by name.
    pub members: Vec<Record>,
}

impl View {
    /// The member with the given name; `None` if it is unknown.
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
    /// The time between two probes that an instance starts.
    pub probe_period_ms: u64,
    /// The shortest time to wait for an ack before other members are asked to probe the target.
    pub probe_timeout_min_ms: u64,
    /// How many members are asked to probe a target that did not answer.
    pub indirect_probes: usize,
    /// How long a suspicion lasts with up to 10 live members; it grows with the log10 of their number.
    pub suspicion_ms: u64,
    /// The time between two rounds of gossip while there are updates to spread.
    pub gossip_period_ms: u64,
    /// How many members receive a gossip datagram in each round.
    pub gossip_fanout: usize,
    /// The factor of an update's transmission limit, which grows with the log10 of the number of members.
    pub retransmit_factor: u32,
    /// The time between two digest exchanges with a random member while they find no difference, and between
    /// two join requests while another member is live.
    pub sync_period_ms: u64,
    /// The time until the next digest exchange after one found a difference.
    pub sync_interval_min_ms: u64,
    /// The time between two probes of Unreachable members; each probes one of them, chosen at random.
    pub reprobe_period_ms: u64,
    /// The time between two join requests while no other member is live.
    pub join_period_ms: u64,
    /// How long a member that has Left, or is Unreachable and missing from the platform's list, is kept.
    pub forget_ms: u64,
    /// How long an Unreachable, unlisted member is kept if it was never Alive, Suspect or Leaving here.
    pub forget_unseen_ms: u64,
    /// The shortest gap between two steps that counts as a pause of the process.
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
