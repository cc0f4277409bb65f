//! Authentication of the traffic between instances, with one cluster key from the environment.
//!
//! A datagram is `version, boot, nonce, sequence, sent_ms, mac, body`; numbers are little-endian. The MAC is a
//! keyed BLAKE3 hash, cut to [`MAC_BYTES`], of a constant context and all the rest. The body is not encrypted.

mod window;

use crate::ids;
use std::fmt;
use std::str::FromStr;

/// The length of a [`ClusterKey`], in bytes.
pub const KEY_BYTES: usize = 32;
/// The length of a MAC, in bytes.
pub const MAC_BYTES: usize = 16;
/// The overhead that [`Sealer::seal`] adds to a body, in bytes.
pub const OVERHEAD_BYTES: usize = 1 + 8 + 8 + 8 + 8 + MAC_BYTES;
/// The maximum difference between a datagram's send time and the receiver's clock, in milliseconds.
pub const CLOCK_SKEW_MAX_MS: u64 = 30_000;

const FORMAT_VERSION: u8 = 1;
const HEADER_BYTES: usize = OVERHEAD_BYTES - MAC_BYTES;
const DATAGRAM_CONTEXT: &[u8] = b"datagram";

/// The key that all instances of a deployment share.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey([u8; KEY_BYTES]);

/// Why a text could not be parsed as a [`ClusterKey`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseKeyError {
    /// The text has the wrong length, given in bytes.
    #[error("a cluster key must have 64 hexadecimal digits, not {0}")]
    Length(usize),
    /// The text has a character that is not a hexadecimal digit, at this byte index.
    #[error("a cluster key must be hexadecimal; the character at index {0} is not a digit")]
    Digit(usize),
}

impl ClusterKey {
    /// Creates a key from the given bytes.
    pub fn from_bytes(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Derives a key for another purpose, identified by `context`.
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

/// The MAC of `bytes` under `key`. A MAC for one context is not valid in another.
pub fn mac(key: &ClusterKey, context: &[u8], bytes: &[u8]) -> [u8; MAC_BYTES] {
    mac_of_parts(key, context, &[bytes])
}

/// Compares two MACs in constant time.
pub fn mac_eq(left: &[u8; MAC_BYTES], right: &[u8; MAC_BYTES]) -> bool {
    let mut difference = 0;
    for (a, b) in left.iter().zip(right) {
        difference = std::hint::black_box(difference | (a ^ b));
    }
    difference == 0
}

/// Why a datagram was rejected.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::EnumCount, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum SealError {
    /// It is shorter than the header and the MAC together.
    #[error("the datagram is too short")]
    Short,
    /// It has an unknown format version.
    #[error("the datagram has an unknown format version")]
    Version,
    /// It was not created with this key, or was modified in transit.
    #[error("the datagram's MAC is wrong")]
    Mac,
    /// Its send time differs from the receiver's clock by more than [`CLOCK_SKEW_MAX_MS`].
    #[error(
        "the datagram's send time differs from this instance's clock by more than {CLOCK_SKEW_MAX_MS} ms"
    )]
    Stale,
    /// It was received before, or is too old for the replay window to tell.
    #[error("the datagram was received before or is older than the replay window")]
    Replayed,
}

/// Creates authenticated datagrams for one boot of an instance.
#[derive(Debug)]
pub struct Sealer {
    key: ClusterKey,
    boot: ids::BootId,
    nonce: u64,
    sequence: u64,
}

impl Sealer {
    /// Creates a sealer for `boot`. `nonce` is a random number chosen at process start.
    pub fn new(key: ClusterKey, boot: ids::BootId, nonce: u64) -> Self {
        Self { key, boot, nonce, sequence: 0 }
    }

    /// Creates the datagram that carries `body`. `now_ms` is the send time in milliseconds since the Unix epoch.
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

/// The authenticated content of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    /// The sender's boot.
    pub boot: ids::BootId,
    /// The body of the datagram.
    pub body: &'a [u8],
}

/// Verifies datagrams and accepts each at most once. The replay windows exist only in this opener: after a
/// restart of the receiver, a datagram that was accepted before is accepted again while its send time is
/// within [`CLOCK_SKEW_MAX_MS`] of the receiver's clock.
#[derive(Debug)]
pub struct Opener {
    key: ClusterKey,
    windows: window::Windows,
}

impl Opener {
    /// Creates an opener with no replay windows.
    pub fn new(key: ClusterKey) -> Self {
        Self { key, windows: window::Windows::default() }
    }

    /// Verifies a datagram. `now_ms` is the time of receipt in milliseconds since the Unix epoch.
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

    /// The memory used by the replay windows, in bytes.
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
