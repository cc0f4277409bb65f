//! The inputs and outputs of the state machine.

use crate::ids;
use crate::member;
use crate::member::message;
use std::net;

/// What happened to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time passed. Needed a few times for each gossip period.
    Tick,
    /// A message came.
    Datagram {
        /// From where.
        from: net::SocketAddr,
        /// What.
        message: message::Message,
    },
    /// The platform's list of instances came.
    Listed(Vec<(ids::InstanceName, net::SocketAddr)>),
    /// Another duty has bytes for a member, at most [`message::DIRECT_MAX_BYTES`].
    Direct {
        /// For whom.
        to: ids::InstanceName,
        /// What.
        bytes: Vec<u8>,
    },
    /// This instance begins to leave.
    Leave,
    /// This instance has left; the process ends.
    Depart,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send(net::SocketAddr, message::Message),
    /// Tell the other duties.
    Event(Event),
}

/// News for the other duties of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is new, or its record changed.
    Changed(member::Record),
    /// A member is no longer known.
    Forgotten(ids::InstanceName),
    /// A member's settings revision, with each of its messages.
    SettingsStatus {
        /// The member.
        from: ids::InstanceName,
        /// Its boot.
        boot: ids::BootId,
        /// Its note.
        status: member::SettingsStatus,
    },
    /// Bytes for another duty.
    Direct {
        /// The member.
        from: ids::InstanceName,
        /// Its boot.
        boot: ids::BootId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A process with a newer boot has this instance's name.
    Superseded(ids::BootId),
    /// This process was paused.
    Paused {
        /// For how long.
        gap_ms: u64,
    },
}
