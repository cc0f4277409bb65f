//! The messages with which instances share the configuration, the searchers and the members.
//!
//! The *subscriber* opens a connection; the instance that accepts it is its *source*.

use crate::discovery::client_wait;
use crate::discovery::config;
use crate::discovery::members;
use crate::discovery::registry;
use crate::frame;
use crate::placement::evacuation;
use crate::tenants::usage;
use flate2::read;
use flate2::write;
use serde::{Deserialize, Serialize};
use std::io;
use std::io::Read as _;
use std::io::Write as _;

/// The largest frame: a configuration of one megabyte plus a margin.
pub const FRAME_MAX_BYTES: usize = 4 << 20;

/// The largest frame from a subscriber: an entry with its name for each route or tenant of such a configuration.
pub const REQUEST_MAX_BYTES: usize = 2 << 20;

/// Updates that are at least this large are compressed.
const COMPRESS_MIN_BYTES: usize = 2 << 10;

/// The key of the frames' checksums. The platform gives instances no shared secret, so the checksums detect
/// corruption and accidental connections from other software, but not forgery.
pub const FRAME_KEY: [u8; 32] = *b"tarragondoor feed frames, v7\0\0\0\0";

/// A message from a subscriber to its source.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// The first message; sent again when its content changes and as a keep-alive.
    Hello {
        /// The subscriber.
        member: members::Member,
        /// The version of its configuration; 0 if it has none.
        config: config::ConfigVersion,
        /// The digest of its searchers.
        searchers: registry::Digest,
    },
    /// Requests the complete configuration.
    SendConfig,
    /// Requests all searchers.
    SendSearchers,
    /// Requests the evacuated zones.
    SendEvacuations,
    /// The longest timeouts that clients have stated to the subscriber.
    ClientTimeouts(Vec<client_wait::LongestTimeout>),
    /// What the subscriber has admitted of the tenants' quotas.
    Usage(usage::Report),
}

/// A message from a source to its subscriber.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Update {
    /// All searchers, in reply to [`Request::SendSearchers`]. Subscribers in the source's region also get all
    /// of them after their first hello if theirs differ.
    AllSearchers {
        /// The store revision up to which they are complete.
        as_of: registry::StoreRevision,
        /// All records, sorted by id.
        searchers: Vec<registry::SearcherChange>,
    },
    /// The changed searchers, for subscribers in the source's region.
    Searchers(Vec<registry::SearcherChange>),
    /// The source and all instances connected to it, sorted by name.
    Members(Vec<members::Member>),
    /// What has changed in them since they were last sent on the connection.
    MembersDelta(members::MembersDelta),
    /// The complete configuration.
    Config(Box<config::Config>),
    /// The changes from the previous configuration.
    ConfigDelta(Box<config::ConfigDelta>),
    /// The longest timeouts that clients have stated to instances of the source's region.
    ClientTimeouts(Vec<client_wait::LongestTimeout>),
    /// The evacuated zones. They go to subscribers in all regions at once, since they are few and rarely change.
    Evacuations(evacuation::Snapshot),
    /// What the instances have used of the tenants' quotas, for this subscriber.
    Usage(usage::Levels),
    /// Another update, encoded and compressed.
    Compressed(Vec<u8>),
    /// Sent periodically: how recent the source's state is.
    Heartbeat {
        /// The version of the source's configuration; 0 if it has none.
        config: config::ConfigVersion,
        /// The digest of the source's searchers.
        searchers: registry::Digest,
        /// How long ago the source last knew all searchers; `None` if it never did.
        searchers_age_us: Option<u64>,
        /// The store revision up to which the source knows all searchers, and how long ago it was the store's; `None`
        /// if it does not know.
        searchers_as_of: Option<(registry::StoreRevision, u64)>,
        /// How long ago the source's configuration was known to be the newest; `None` if it never was.
        config_age_us: Option<u64>,
        /// How long ago the source last knew both, also while updates about them wait to be sent; `None` if it never
        /// did.
        read_age_us: Option<u64>,
        /// The evacuated zones that the source knows; `None` if it knows of none or they are not used.
        evacuations: Option<evacuation::Summary>,
    },
}

impl Update {
    /// Encodes the update, and compresses it if it is large.
    ///
    /// # Errors
    ///
    /// When it can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, frame::FrameError> {
        let body = postcard::to_stdvec(self)?;
        if body.len() < COMPRESS_MIN_BYTES {
            return Ok(body);
        }
        let mut encoder = write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
        encoder.write_all(&body)?;
        Ok(postcard::to_stdvec(&Self::Compressed(encoder.finish()?))?)
    }

    /// Returns the update that a received one stands for.
    ///
    /// # Errors
    ///
    /// When a compressed update is malformed or larger than [`FRAME_MAX_BYTES`].
    pub fn decompress(self) -> Result<Self, frame::FrameError> {
        let Self::Compressed(bytes) = self else {
            return Ok(self);
        };
        let mut body = Vec::new();
        let decoder = read::DeflateDecoder::new(bytes.as_slice());
        decoder.take(FRAME_MAX_BYTES as u64 + 1).read_to_end(&mut body)?;
        if body.len() > FRAME_MAX_BYTES {
            return Err(frame::FrameError::Length(body.len()));
        }
        match postcard::from_bytes(&body)? {
            Self::Compressed(_) => Err(io::Error::from(io::ErrorKind::InvalidData).into()),
            update => Ok(update),
        }
    }
}

/// A codec for frames sent by the subscriber.
pub fn subscriber_codec() -> frame::Codec {
    frame::Codec::new(FRAME_KEY, frame::Side::Dialer)
}

/// A codec for frames sent by the source.
pub fn source_codec() -> frame::Codec {
    frame::Codec::new(FRAME_KEY, frame::Side::Acceptor)
}
