//! Settings as immutable documents: canonical bytes, the content hash, and deltas between documents.

mod delta;
mod hash;

pub use delta::Delta;
pub use hash::{DocumentHash, ParseHashError};

use crate::platform_api;
use crate::settings;
use std::sync;

/// The maximum size of a document, in canonical bytes. The platform stores the document as hexadecimal
/// text, which is twice as long.
pub const BYTES_MAX: usize = platform_api::VALUE_MAX_BYTES / 2;

/// Why a document or a delta was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The document is larger than the platform can store.
    #[error("the settings take {0} bytes, above {BYTES_MAX}")]
    TooLarge(usize),
    /// The bytes are not a settings document.
    #[error("not a settings document")]
    Malformed,
    /// The content does not have the expected hash.
    #[error("the content has hash {found}, not {expected}")]
    WrongHash {
        /// The expected hash.
        expected: DocumentHash,
        /// The hash of the content.
        found: DocumentHash,
    },
    /// The delta is based on another document.
    #[error("the delta starts from {expected}, not {found}")]
    WrongBase {
        /// The hash of the delta's base.
        expected: DocumentHash,
        /// The hash of the document that the delta was applied to.
        found: DocumentHash,
    },
}

/// Settings with their canonical bytes and the hash of these bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    settings: sync::Arc<settings::Settings>,
    bytes: Vec<u8>,
    hash: DocumentHash,
}

impl Document {
    /// Sorts `settings` and encodes them. Fails if they take more than [`BYTES_MAX`] bytes.
    pub fn new(mut settings: settings::Settings) -> Result<Self, DocumentError> {
        settings.ranks.sort_by_key(|policy| policy.rank);
        settings.services.sort_by(|a, b| a.service.cmp(&b.service));
        for policy in &mut settings.services {
            policy.operations.sort();
        }
        let bytes = postcard::to_stdvec(&settings).map_err(|_| DocumentError::Malformed)?;
        if bytes.len() > BYTES_MAX {
            return Err(DocumentError::TooLarge(bytes.len()));
        }
        let hash = DocumentHash::of(&bytes);
        Ok(Self { settings: sync::Arc::new(settings), bytes, hash })
    }

    /// Decodes settings, encodes them again in canonical form, and verifies that the hash of the result is
    /// `expected`.
    pub fn from_bytes(bytes: &[u8], expected: DocumentHash) -> Result<Self, DocumentError> {
        let settings = postcard::from_bytes(bytes).map_err(|_| DocumentError::Malformed)?;
        Self::new(settings)?.verify_hash(expected)
    }

    /// Decodes the text that the platform stores and verifies that the hash is `expected`.
    pub fn from_value(value: &str, expected: DocumentHash) -> Result<Self, DocumentError> {
        let bytes = hash::from_hex(value).ok_or(DocumentError::Malformed)?;
        Self::from_bytes(&bytes, expected)
    }

    /// The settings, sorted.
    pub fn settings(&self) -> &sync::Arc<settings::Settings> {
        &self.settings
    }

    /// The canonical bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The hash of the canonical bytes.
    pub fn hash(&self) -> DocumentHash {
        self.hash
    }

    /// The text that the platform stores: the canonical bytes in hexadecimal.
    pub fn to_value(&self) -> String {
        hash::to_hex(&self.bytes)
    }

    fn verify_hash(self, expected: DocumentHash) -> Result<Self, DocumentError> {
        if self.hash != expected {
            return Err(DocumentError::WrongHash { expected, found: self.hash });
        }
        Ok(self)
    }
}

/// Computes the delta that changes `base` to `new`.
pub fn delta(base: &Document, new: &Document) -> Delta {
    Delta::between(base, new)
}

/// Applies `delta` to `base` and verifies that the result has the hash given in the delta.
pub fn apply(base: &Document, delta: &Delta) -> Result<Document, DocumentError> {
    delta.apply(base)
}
