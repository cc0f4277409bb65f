//! Authentication of what instances send each other, with one key from the settings' environment.
//!
//! A datagram is `version, boot, nonce, sequence, sent_ms, mac, body`; numbers are little-endian. The MAC is a
//! keyed BLAKE3 hash of all the rest. The body is not encrypted.

mod window;

use crate::ids;
use std::fmt;
use std::str::FromStr;

/// The length of a [`ClusterKey`], in bytes.
pub const KEY_BYTES: usize = 32;
/// The length of a MAC, in bytes.
pub const MAC_BYTES: usize = 16;
/// What [`Sealer::seal`] adds to a body, in bytes.
pub const OVERHEAD_BYTES: usize = 1 + 8 + 8 + 8 + 8 + MAC_BYTES;
/// How far a datagram's send time may be off the receiver's clock, in milliseconds.
pub const CLOCK_SKEW_MAX_MS: u64 = 30_000;

const FORMAT_VERSION: u8 = 1;
const HEADER_BYTES: usize = OVERHEAD_BYTES - MAC_BYTES;
const DATAGRAM_CONTEXT: &[u8] = b"datagram";

/// The key that all instances of a deployment share.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey([u8; KEY_BYTES]);

/// Why a text is not a [`ClusterKey`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseKeyError {
    /// The text has another length.
    #[error("a cluster key has 64 hexadecimal digits, not {0}")]
    Length(usize),
    /// The text has a character that is no hexadecimal digit; its index in bytes.
    #[error("a cluster key has only hexadecimal digits; the one at index {0} is not")]
    Digit(usize),
}

impl ClusterKey {
    /// A key of the given bytes.
    pub fn from_bytes(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// A key for another use, drawn from this one.
    pub fn derive(&self, context: &[u8]) -> [u8; KEY_BYTES] {
        *blake3::keyed_hash(&self.0, context).as_bytes()
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

impl FromStr for ClusterKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != KEY_BYTES * 2 {
            return Err(ParseKeyError::Length(text.len()));
        }
        let mut key = [0; KEY_BYTES];
        for (index, digit) in text.bytes().enumerate() {
            let Some(value) = char::from(digit).to_digit(16) else {
                return Err(ParseKeyError::Digit(index));
            };
            key[index / 2] = key[index / 2] << 4 | value as u8;
        }
        Ok(Self(key))
    }
}

/// The MAC of `bytes` under `key`. MACs of different contexts never stand for each other.
pub fn mac(key: &ClusterKey, context: &[u8], bytes: &[u8]) -> [u8; MAC_BYTES] {
    mac_of_parts(key, context, &[bytes])
}

/// Compares two MACs in a time that does not depend on where they differ.
pub fn mac_eq(left: &[u8; MAC_BYTES], right: &[u8; MAC_BYTES]) -> bool {
    let mut difference = 0;
    for (a, b) in left.iter().zip(right) {
        difference = std::hint::black_box(difference | (a ^ b));
    }
    difference == 0
}

/// Why a datagram was dropped.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::EnumCount, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum SealError {
    /// It is shorter than a header.
    #[error("the datagram is too short")]
    Short,
    /// It has another format version.
    #[error("the datagram has an unknown format version")]
    Version,
    /// It was not made with this key, or was changed on its way.
    #[error("the datagram's MAC is wrong")]
    Mac,
    /// Its send time is more than [`CLOCK_SKEW_MAX_MS`] off.
    #[error("the datagram is too old or from the future")]
    Stale,
    /// It was received before.
    #[error("the datagram was received before")]
    Replayed,
}

/// Makes datagrams for one boot of an instance.
#[derive(Debug)]
pub struct Sealer {
    key: ClusterKey,
    boot: ids::BootId,
    nonce: u64,
    sequence: u64,
}

impl Sealer {
    /// A sealer for `boot`. `nonce` is drawn at random at the process's start.
    pub fn new(key: ClusterKey, boot: ids::BootId, nonce: u64) -> Self {
        Self { key, boot, nonce, sequence: 0 }
    }

    /// The datagram that carries `body`, sent at `now_ms` since the Unix epoch.
    pub fn seal(&mut self, body: &[u8], now_ms: u64) -> Vec<u8> {
        self.sequence += 1;
        let mut datagram = Vec::with_capacity(OVERHEAD_BYTES + body.len());
        datagram.push(FORMAT_VERSION);
        datagram.extend_from_slice(&self.boot.0.to_le_bytes());
        datagram.extend_from_slice(&self.nonce.to_le_bytes());
        datagram.extend_from_slice(&self.sequence.to_le_bytes());
        datagram.extend_from_slice(&now_ms.to_le_bytes());
        let mac = mac_of_parts(&self.key, DATAGRAM_CONTEXT, &[&datagram, body]);
        datagram.extend_from_slice(&mac);
        datagram.extend_from_slice(body);
        datagram
    }
}

/// An accepted datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    /// The sender's boot.
    pub boot: ids::BootId,
    /// What it carries.
    pub body: &'a [u8],
}

/// Checks datagrams, each of which it accepts at most once.
#[derive(Debug)]
pub struct Opener {
    key: ClusterKey,
    windows: window::Windows,
}

impl Opener {
    /// An opener that has seen no datagram.
    pub fn new(key: ClusterKey) -> Self {
        Self { key, windows: window::Windows::default() }
    }

    /// Checks a datagram that was received at `now_ms` since the Unix epoch.
    pub fn open<'a>(&mut self, datagram: &'a [u8], now_ms: u64) -> Result<Opened<'a>, SealError> {
        let (header, rest) = datagram.split_at_checked(HEADER_BYTES).ok_or(SealError::Short)?;
        let (mac, body) = rest.split_first_chunk::<MAC_BYTES>().ok_or(SealError::Short)?;
        if header[0] != FORMAT_VERSION {
            return Err(SealError::Version);
        }
        if !mac_eq(mac, &mac_of_parts(&self.key, DATAGRAM_CONTEXT, &[header, body])) {
            return Err(SealError::Mac);
        }
        let boot = ids::BootId(u64_at(header, 1));
        let sender = window::Sender { boot, nonce: u64_at(header, 9) };
        if u64_at(header, 25).abs_diff(now_ms) > CLOCK_SKEW_MAX_MS {
            return Err(SealError::Stale);
        }
        if !self.windows.accept(sender, u64_at(header, 17), now_ms) {
            return Err(SealError::Replayed);
        }
        Ok(Opened { boot, body })
    }

    /// The memory that the senders' windows take, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.windows.memory_bytes()
    }
}

fn mac_of_parts(key: &ClusterKey, context: &[u8], parts: &[&[u8]]) -> [u8; MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(&(context.len() as u64).to_le_bytes());
    hasher.update(context);
    for part in parts {
        hasher.update(part);
    }
    let mut mac = [0; MAC_BYTES];
    mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
    mac
}

fn u64_at(header: &[u8], index: usize) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&header[index..index + 8]);
    u64::from_le_bytes(bytes)
}
