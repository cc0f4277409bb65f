//! The messages between members and their encoding: `postcard`, at most [`MESSAGE_MAX_BYTES`].

use crate::ids;
use crate::member;
use crate::seal;
use serde::{Deserialize, Serialize};
use std::net;

/// The longest datagram, in bytes.
pub const DATAGRAM_MAX_BYTES: usize = 1_200;
/// The longest encoded message, in bytes.
pub const MESSAGE_MAX_BYTES: usize = DATAGRAM_MAX_BYTES - seal::OVERHEAD_BYTES;
/// The longest body of [`Kind::Direct`], in bytes.
pub const DIRECT_MAX_BYTES: usize = 1_000;
/// How many buckets the members are spread over to compare digests.
pub const BUCKETS: usize = 32;

/// What one member sends another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ids::InstanceName,
    /// The sender's boot.
    pub boot: ids::BootId,
    /// The sender's settings revision.
    pub settings_status: member::SettingsStatus,
    /// What it is for.
    pub kind: Kind,
    /// News of members.
    pub updates: Vec<member::Record>,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Asks `target` to acknowledge.
    Ping {
        /// Tells probes apart.
        sequence: u32,
        /// Who is meant; another member at the address stays silent.
        target: ids::InstanceName,
    },
    /// Says that `target` acknowledged.
    Ack {
        /// The sequence of the ping or ping request.
        sequence: u32,
        /// Who acknowledged: the sender, or the one it was asked to probe.
        target: ids::InstanceName,
    },
    /// Asks the receiver to probe `target`.
    PingRequest {
        /// Tells probes apart.
        sequence: u32,
        /// Who is meant.
        target: ids::InstanceName,
        /// Where it is.
        address: net::SocketAddr,
    },
    /// Says that the target of a ping request did not acknowledge to the sender.
    Nack {
        /// The sequence of the ping request.
        sequence: u32,
    },
    /// Asks for all records.
    Join,
    /// Carries updates only.
    Gossip,
    /// Compares all records.
    Digest {
        /// The hash of all records.
        root: u64,
    },
    /// Answers a digest that differs.
    Buckets {
        /// The hash of each of the [`BUCKETS`] buckets.
        hashes: Vec<u64>,
    },
    /// Carries the records of some buckets.
    Page {
        /// A bit for each bucket whose records the sender wants in return.
        want: u32,
    },
    /// Carries bytes of another duty.
    Direct(Vec<u8>),
}

/// Why bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the bytes are not a message between members")]
pub struct DecodeError;

impl Message {
    /// The encoded message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The message of encoded bytes, all of which it must use.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.len() > MESSAGE_MAX_BYTES {
            return Err(DecodeError);
        }
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Ok(message),
            Ok(_) | Err(_) => Err(DecodeError),
        }
    }

    /// How many bytes of updates still fit.
    pub(super) fn remaining_bytes(&self) -> usize {
        MESSAGE_MAX_BYTES.saturating_sub(self.encode().len() + 1)
    }
}

/// The length of a record in a message, in bytes.
pub(super) fn record_bytes(record: &member::Record) -> usize {
    postcard::to_stdvec(record).map_or(MESSAGE_MAX_BYTES, |bytes| bytes.len())
}
