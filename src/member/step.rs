//! The inputs and outputs of the membership state machine.

use crate::ids;
use crate::member;
use crate::member::message;
use std::net;

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed. Required several times in each gossip period.
    Tick,
    /// A message was received.
    Datagram {
        /// The sender's address.
        from: net::SocketAddr,
        /// The decoded message.
        message: message::Message,
    },
    /// The platform's list of instances was read.
    Listed(Vec<(ids::InstanceName, net::SocketAddr)>),
    /// Another task sends bytes to a member, at most [`message::DIRECT_MAX_BYTES`]; longer ones are dropped.
    Direct {
        /// The receiver.
        to: ids::InstanceName,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// This instance starts to shut down: announces Leaving.
    Leave,
    /// The process ends: announces Left.
    Depart,
}

/// An action for the caller of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to an address.
    Send(net::SocketAddr, message::Message),
    /// Notify the subscribers.
    Event(Event),
}

/// A notification for other tasks of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is new, or its record changed.
    Changed(member::Record),
    /// A member was removed from the table.
    Forgotten(ids::InstanceName),
    /// A member's settings status; emitted for each of its messages.
    SettingsStatus {
        /// The name of the member.
        from: ids::InstanceName,
        /// Its boot.
        boot: ids::BootId,
        /// Its settings status.
        status: member::SettingsStatus,
    },
    /// Bytes from a member for another task.
    Direct {
        /// The name of the member.
        from: ids::InstanceName,
        /// Its boot.
        boot: ids::BootId,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// Another process with a newer boot has this instance's name.
    Superseded(ids::BootId),
    /// This process was paused.
    Paused {
        /// The time between two steps, in milliseconds.
        gap_ms: u64,
    },
}
