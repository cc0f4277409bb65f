//! Inputs and outputs of [`super::Distributor`], and the messages between instances.

use crate::document;
use crate::ids;
use crate::operator_api;
use crate::plan;
use serde::{Deserialize, Serialize};
use std::sync;

/// A confirmed revision and its document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// The revision.
    pub revision: ids::Revision,
    /// The document's hash.
    pub document: document::DocumentHash,
}

/// Whether an instance knows that its settings in force are current.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// It has never been ready in this boot.
    Starting,
    /// It was ready, may have missed a revision since, and is checking for one.
    #[serde(rename = "doubting")]
    #[strum(serialize = "doubting")]
    Revalidating,
    /// Its settings are current; it serves.
    Fresh,
}

/// An instance that is not ready, as listed by an instance that it has queried.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Starter {
    /// The instance.
    pub instance: ids::InstanceName,
    /// Its boot.
    pub boot: ids::BootId,
}

/// A datagram between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announces the version that has come into force at the sender.
    Push {
        /// The version in force.
        version: Version,
    },
    /// Asks which version the receiver has in force.
    Query {
        /// Returned in the reply.
        nonce: u64,
        /// What the sender has in force.
        version: Option<Version>,
        /// The sender's standing.
        standing: Standing,
    },
    /// Reply to a query.
    Reply {
        /// The query's nonce.
        nonce: u64,
        /// What the sender has in force.
        version: Option<Version>,
        /// The sender's standing.
        standing: Standing,
        /// Instances that recently queried the sender while they were not ready.
        starters: Vec<Starter>,
        /// Whether there are more of them than fit into the datagram.
        more_starters: bool,
    },
}

/// Request for a document, sent to another instance over a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchCall {
    /// A document that the sender has, usable as the base of a delta; `None` if it has none.
    pub base: Option<document::DocumentHash>,
    /// The requested document.
    pub document: document::DocumentHash,
}

/// Reply to a [`FetchCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchReply {
    /// The difference from the base.
    Delta(document::Delta),
    /// The canonical bytes of the whole document.
    Whole(Vec<u8>),
    /// The replying instance does not have the document.
    Missing,
}

/// State of a member according to the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not respond to a probe.
    Suspect,
    /// It is leaving and still serves.
    Leaving,
    /// It does not respond; it may still be running.
    Unreachable,
    /// It announced that its graceful shutdown is complete.
    Left,
}

/// A member known by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub instance: ids::InstanceName,
    /// Its boot.
    pub boot: ids::BootId,
    /// Its region.
    pub region: ids::RegionName,
    /// Its state.
    pub state: MemberState,
}

/// A key in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// The root: the revision in force.
    Root,
    /// An immutable document.
    Document(document::DocumentHash),
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Key::Root => f.write_str("tarragondoor/root"),
            Key::Document(hash) => write!(f, "tarragondoor/doc/{hash}"),
        }
    }
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformCall {
    /// Reads a key.
    Get(Key),
    /// Writes a key if it has the store revision `expected`; 0 means that it must not exist.
    Put {
        /// The key.
        key: Key,
        /// The expected store revision.
        expected: u64,
        /// The new value.
        value: String,
    },
    /// Waits until the root has a store revision above `after`.
    Watch {
        /// The last known store revision.
        after: u64,
        /// The longest time to wait.
        wait_ms: u64,
    },
}

/// The outcome of a [`PlatformCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformReply {
    /// The key's value.
    Found {
        /// The value.
        value: String,
        /// Its store revision.
        store_revision: u64,
    },
    /// There is no such key.
    Absent,
    /// The watch ended without a change.
    Unchanged,
    /// The value was written.
    Written {
        /// The new store revision.
        store_revision: u64,
    },
    /// Nothing was written: the key has another store revision.
    Mismatch,
    /// There was no usable reply; a write may have taken effect.
    Failed,
}

/// Why no plan was made of a declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeclareError {
    /// The platform did not reply in time; nothing changed.
    #[error("the platform does not answer; nothing changed")]
    PlatformUnreachable,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A member is new or has changed.
    Member(Member),
    /// The membership protocol has forgotten a member.
    Forgotten(ids::InstanceName),
    /// All instances on the platform's list.
    Listed(Vec<ids::InstanceName>),
    /// The version that the sender of a membership datagram has in force.
    SettingsStatus {
        /// The sender.
        from: ids::InstanceName,
        /// Its boot.
        boot: ids::BootId,
        /// The version in force; `None` if there is none.
        version: Option<Version>,
    },
    /// A datagram from another instance.
    Datagram {
        /// The sender.
        from: ids::InstanceName,
        /// Its boot.
        boot: ids::BootId,
        /// The message.
        message: Message,
    },
    /// The outcome of [`Output::Fetch`].
    Fetched {
        /// The request id.
        request: u64,
        /// The reply; `None` if there was none.
        reply: Option<FetchReply>,
    },
    /// Another instance requests a document.
    FetchRequested {
        /// Returned in [`Output::FetchReplied`].
        request: u64,
        /// The requested document.
        call: FetchCall,
    },
    /// The outcome of [`Output::Platform`].
    Platform {
        /// The request id.
        request: u64,
        /// The outcome.
        reply: PlatformReply,
    },
    /// An operator declares settings.
    Declare {
        /// Returned in [`Output::Declared`].
        operation_id: u64,
        /// The settings.
        document: sync::Arc<document::Document>,
        /// Warnings of the settings check.
        warnings: Vec<operator_api::Finding>,
    },
    /// An operator confirms a plan.
    Confirm {
        /// Returned in [`Output::Confirmed`].
        operation_id: u64,
        /// The plan.
        plan: plan::PlanId,
        /// The longest time to wait for the change to be accepted.
        wait_ms: u64,
    },
}

/// An action that the state machine requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram; it may be lost.
    Send {
        /// The receiver.
        to: ids::InstanceName,
        /// The message.
        message: Message,
    },
    /// Request a document from another instance.
    Fetch {
        /// Returned in [`Input::Fetched`].
        request: u64,
        /// The instance.
        to: ids::InstanceName,
        /// The requested document.
        call: FetchCall,
    },
    /// Reply to [`Input::FetchRequested`].
    FetchReplied {
        /// The request id.
        request: u64,
        /// The reply.
        reply: FetchReply,
    },
    /// Call the platform.
    Platform {
        /// Returned in [`Input::Platform`].
        request: u64,
        /// The call.
        call: PlatformCall,
    },
    /// Put settings in force.
    Apply {
        /// The revision.
        revision: ids::Revision,
        /// The settings.
        document: sync::Arc<document::Document>,
    },
    /// The instance has become ready, or is no longer ready.
    Readiness {
        /// Whether it may serve.
        ready: bool,
    },
    /// Result of [`Input::Declare`].
    Declared {
        /// The operation's id.
        operation_id: u64,
        /// The plan, or why there is none.
        result: Result<operator_api::Plan, DeclareError>,
    },
    /// Result of [`Input::Confirm`].
    Confirmed {
        /// The operation's id.
        operation_id: u64,
        /// The reply to the operator.
        reply: operator_api::ConfirmReply,
    },
    /// Another document was reported for a known revision; the report was ignored.
    Contradiction {
        /// The version known here.
        known: Version,
        /// The conflicting version.
        reported: Version,
    },
}
