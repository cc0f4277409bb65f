//! The messages between members and their `postcard` encoding, at most [`MESSAGE_MAX_BYTES`] long.

use crate::ids;
use crate::member;
use crate::seal;
use serde::{Deserialize, Serialize};
use std::net;

/// The maximum length of a datagram, in bytes.
pub const DATAGRAM_MAX_BYTES: usize = 1_200;
/// The maximum length of an encoded message, in bytes.
pub const MESSAGE_MAX_BYTES: usize = DATAGRAM_MAX_BYTES - seal::OVERHEAD_BYTES;
/// The maximum payload of [`Kind::Direct`], in bytes.
pub const DIRECT_MAX_BYTES: usize = 1_000;
/// The number of hash buckets into which members are divided to compare digests.
pub const BUCKETS: usize = 32;

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ids::InstanceName,
    /// The sender's boot.
    pub boot: ids::BootId,
    /// The sender's settings status.
    pub settings_status: member::SettingsStatus,
    /// The purpose of the message, with its parameters.
    pub kind: Kind,
    /// Piggybacked records of members.
    pub updates: Vec<member::Record>,
}

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Requests an ack from `target`.
    Ping {
        /// Identifies the probe.
        sequence: u32,
        /// The member to answer; another member at the same address sends no ack.
        target: ids::InstanceName,
    },
    /// Reports that `target` has answered.
    Ack {
        /// The sequence of the ping or ping request.
        sequence: u32,
        /// The member that answered: the sender, or the target of a ping request.
        target: ids::InstanceName,
    },
    /// Asks the receiver to probe `target` on the sender's behalf.
    PingRequest {
        /// Identifies the probe.
        sequence: u32,
        /// The member to probe.
        target: ids::InstanceName,
        /// The address of the member to probe.
        address: net::SocketAddr,
    },
    /// Reports that the target of a ping request did not answer in time.
    Nack {
        /// The sequence of the ping request.
        sequence: u32,
    },
    /// Requests all records.
    Join,
    /// Carries only updates.
    Gossip,
    /// Starts a comparison of all records.
    Digest {
        /// The hash of all records.
        root: u64,
    },
    /// Answers a digest whose hash differs.
    Buckets {
        /// The hash of each of the [`BUCKETS`] buckets.
        hashes: Vec<u64>,
    },
    /// Carries the records of some buckets.
    Page {
        /// The buckets whose records the sender requests in return, as a bit set.
        want: u32,
    },
    /// Carries bytes between other tasks of the two instances.
    Direct(Vec<u8>),
}

/// The bytes could not be decoded as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the bytes are not a membership message")]
pub struct DecodeError;

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message. Fails if the bytes are more than [`MESSAGE_MAX_BYTES`], malformed, or continue after
    /// the message.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.len() > MESSAGE_MAX_BYTES {
            return Err(DecodeError);
        }
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Ok(message),
            Ok(_) | Err(_) => Err(DecodeError),
        }
    }

    /// How many bytes of updates still fit into the message.
    pub(super) fn remaining_bytes(&self) -> usize {
        MESSAGE_MAX_BYTES.saturating_sub(self.encode().len() + 1)
    }
}

/// The encoded length of a record, in bytes.
pub(super) fn record_bytes(record: &member::Record) -> usize {
    postcard::to_stdvec(record).map_or(MESSAGE_MAX_BYTES, |bytes| bytes.len())
}
