//! The content hash of a document, and hexadecimal encoding.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

const HASH_BYTES: usize = 32;

/// The error for a malformed hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a document hash has 64 hexadecimal digits in lower case")]
pub struct ParseHashError;

/// The BLAKE3 hash of a document's canonical bytes. It is serialized as text in JSON and as bytes in
/// `postcard`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DocumentHash([u8; HASH_BYTES]);

impl DocumentHash {
    /// Hashes `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// The hash with these bytes.
    pub fn from_bytes(bytes: [u8; HASH_BYTES]) -> Self {
        Self(bytes)
    }

    /// The bytes of the hash.
    pub fn as_bytes(&self) -> &[u8; HASH_BYTES] {
        &self.0
    }
}

impl fmt::Display for DocumentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&to_hex(&self.0))
    }
}

impl fmt::Debug for DocumentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for DocumentHash {
    type Err = ParseHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bytes = from_hex(text).ok_or(ParseHashError)?;
        bytes.try_into().map(Self).map_err(|_| ParseHashError)
    }
}

impl Serialize for DocumentHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for DocumentHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            return text.parse().map_err(D::Error::custom);
        }
        <[u8; HASH_BYTES]>::deserialize(deserializer).map(Self)
    }
}

/// Encodes bytes as two lower-case hexadecimal digits each.
pub(super) fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 0xf)]));
    }
    text
}

/// Decodes the output of [`to_hex`]. Returns `None` for anything else.
pub(super) fn from_hex(text: &str) -> Option<Vec<u8>> {
    let (pairs, rest) = text.as_bytes().as_chunks::<2>();
    if !rest.is_empty() {
        return None;
    }
    let mut bytes = Vec::with_capacity(pairs.len());
    for [high, low] in pairs {
        bytes.push(digit(*high)? << 4 | digit(*low)?);
    }
    Some(bytes)
}

fn digit(c: u8) -> Option<u8> {
    match c {
        b'0'..=b'9' => Some(c - b'0'),
        b'a'..=b'f' => Some(c - b'a' + 10),
        _ => None,
    }
}
