//! The messages between instances: what a reader has learnt, told to those that are connected to it.
//!
//! A connection is opened by the *subscriber*; the instance that accepts it is its *source*.

use crate::discovery::config;
use crate::discovery::members;
use crate::discovery::registry;
use crate::frame;
use serde::{Deserialize, Serialize};

/// The largest frame: a configuration of a megabyte, and some.
pub const FRAME_MAX_BYTES: usize = 4 << 20;

/// The key of the frames' checksums. The platform gives instances no common secret, so they guard against
/// damage and strangers by accident, not against forgery.
pub const FRAME_KEY: [u8; 32] = *b"tarragondoor feed frames, v1\0\0\0\0";

/// From a subscriber to its source.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// The first message, and again when anything in it changes.
    Hello {
        /// The subscriber.
        member: members::Member,
        /// The configuration it has.
        config: config::ConfigVersion,
    },
    /// Send the configuration, whole.
    SendConfig,
    /// Send all searchers.
    SendSearchers,
}

/// From a source to its subscriber.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// Searchers: all when asked for, and those that change to subscribers of the own region.
    Searchers(Vec<registry::SearcherChange>),
    /// The source's members, all of them.
    Members(Vec<members::Member>),
    /// The configuration, whole.
    Config(Box<config::Config>),
    /// What changed in the configuration.
    ConfigDelta(Box<config::ConfigDelta>),
    /// Sent at a steady pace: how fresh the source's knowledge is.
    Heartbeat {
        /// The newest configuration that the source has.
        config: config::ConfigVersion,
        /// The digest of the searchers that the source knows.
        searchers: registry::Digest,
        /// How long ago the source's view of the searchers was complete; `None` if it never was.
        searchers_age_us: Option<u64>,
        /// How long ago the source's configuration was the newest; `None` if it has none.
        config_age_us: Option<u64>,
    },
}

/// A codec for frames that the subscriber sends.
pub fn subscriber_codec() -> frame::Codec {
    frame::Codec::new(FRAME_KEY, frame::Side::Dialer)
}

/// A codec for frames that the source sends.
pub fn source_codec() -> frame::Codec {
    frame::Codec::new(FRAME_KEY, frame::Side::Acceptor)
}
