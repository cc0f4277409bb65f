//! Idempotency keys: `<instance>:<boot>:<nonce>`.
//!
//! The nonce is `<issued>-<random>`: the `issued_s` of the address reply that contained the instance,
//! then characters drawn at random by the caller. The issue time lets the ledger distinguish a key
//! whose record was dropped from a new one.

use crate::caller_api;
use crate::ids;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3;

/// The minimum length of a nonce, in bytes.
pub const NONCE_MIN_BYTES: usize = 16;

/// The maximum length of a nonce, in bytes.
pub const NONCE_MAX_BYTES: usize = 64;

/// Why a key is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseKeyError {
    /// The key does not have three parts.
    #[error("a key is <instance>:<boot>:<nonce>")]
    Parts,
    /// The instance is not a valid name.
    #[error("the key's instance: {0}")]
    Instance(ids::ParseIdError),
    /// The boot is not a number without a sign or leading zeros.
    #[error("the key's boot is not a number in its shortest form")]
    Boot,
    /// The nonce is too short or too long.
    #[error("a nonce has {NONCE_MIN_BYTES} to {NONCE_MAX_BYTES} characters")]
    NonceLength,
    /// The nonce has a character outside `A-Z a-z 0-9 - _`.
    #[error("a nonce has only letters, digits, '-' and '_', not {0:?}")]
    NonceCharacter(char),
    /// The nonce does not start with the issue time.
    #[error("a nonce starts with issued_s of the address answer and '-'")]
    Issued,
}

/// An idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Key {
    home: ids::InstanceName,
    boot: ids::BootId,
    nonce: CompactString,
    issued_s: u64,
}

impl Key {
    /// Creates the key of a new request from `home`, `boot` and `issued_s` of the address reply and
    /// a `random` number drawn for this request only.
    pub fn new(home: ids::InstanceName, boot: ids::BootId, issued_s: u64, random: u64) -> Self {
        let nonce = CompactString::from(format!("{issued_s}-{random:016x}"));
        Self { home, boot, nonce, issued_s }
    }

    /// The home: the only instance that may run the request.
    pub fn home(&self) -> &ids::InstanceName {
        &self.home
    }

    /// The only boot of the home that may run the request.
    pub fn boot(&self) -> ids::BootId {
        self.boot
    }

    /// When the address reply was issued, in seconds since the Unix epoch.
    pub fn issued_s(&self) -> u64 {
        self.issued_s
    }

    /// A hash of the whole key.
    pub fn hash(&self) -> u128 {
        xxh3::xxh3_128(self.to_string().as_bytes())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.home, self.boot, self.nonce)
    }
}

impl FromStr for Key {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split(':');
        let (Some(home), Some(boot), Some(nonce), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(ParseKeyError::Parts);
        };
        let home = ids::InstanceName::from_str(home).map_err(ParseKeyError::Instance)?;
        let boot = parse_canonical(boot).ok_or(ParseKeyError::Boot)?;
        let issued_s = check_nonce(nonce)?;
        Ok(Self { home, boot: ids::BootId(boot), nonce: CompactString::from(nonce), issued_s })
    }
}

impl TryFrom<CompactString> for Key {
    type Error = ParseKeyError;

    fn try_from(text: CompactString) -> Result<Self, Self::Error> {
        Self::from_str(&text)
    }
}

impl From<Key> for CompactString {
    fn from(key: Key) -> CompactString {
        CompactString::from(key.to_string())
    }
}

/// Parses a number without a sign or leading zeros, so that each key has a single representation.
fn parse_canonical(text: &str) -> Option<u64> {
    let number: u64 = text.parse().ok()?;
    (number.to_string() == text).then_some(number)
}

/// Validates a nonce and returns its issue time, in seconds since the Unix epoch.
fn check_nonce(nonce: &str) -> Result<u64, ParseKeyError> {
    if !(NONCE_MIN_BYTES..=NONCE_MAX_BYTES).contains(&nonce.len()) {
        return Err(ParseKeyError::NonceLength);
    }
    for c in nonce.chars() {
        if c.is_ascii_alphanumeric() || matches!(c, '-' | '_') {
            continue;
        }
        return Err(ParseKeyError::NonceCharacter(c));
    }
    let (issued, _) = nonce.split_once('-').ok_or(ParseKeyError::Issued)?;
    parse_canonical(issued).ok_or(ParseKeyError::Issued)
}

/// A hash of what a request asks for. A key is valid for a single body only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BodyHash(pub u64);

impl BodyHash {
    /// Hashes the service, operation and subject of the call.
    pub fn of(call: &caller_api::RunCall) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        for part in [call.service.as_str(), call.operation.as_str(), call.subject.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self(hasher.digest())
    }
}
