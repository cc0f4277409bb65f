//! Authenticated frames on a TCP stream between instances.
//!
//! Layout: length of the payload (u32, big endian), then the payload: message authentication code (MAC,
//! 16 bytes) and `postcard` body. The MAC is a keyed hash of the direction, the position of the frame in
//! the stream and the body. The key is derived from the cluster key and the nonces of both sides, so
//! frames can't be forged, replayed or reordered.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// The maximum size of the body of a frame, in bytes.
pub const FRAME_MAX_BYTES: usize = 8 << 20;

/// How much of a payload has to arrive within the timeout of [`read_parts`].
pub const PART_BYTES: usize = 16 << 10;

const MAC_BYTES: usize = 16;
const LENGTH_BYTES: usize = 4;

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// Reading from or writing to the stream failed.
    #[error("stream failed: {0}")]
    Stream(#[from] std::io::Error),
    /// The length is out of bounds.
    #[error("frame length out of bounds: {0} bytes")]
    Length(usize),
    /// The MAC does not match (another key, or not the expected frame), or the instance that
    /// answered a dial is not the expected one.
    #[error("frame not authentic or not from the expected instance")]
    NotAuthentic,
    /// The body can't be encoded or decoded.
    #[error("malformed frame: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Which side of a link a frame comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Dialer,
    /// The side that accepted the connection.
    Acceptor,
}

/// Encodes or decodes the frames of one direction of a link, in order.
#[derive(Clone)]
pub struct Codec {
    key: [u8; 32],
    side: Side,
    position: u64,
}

impl Codec {
    /// Creates a codec for the frames that `side` sends, authenticated with `key`.
    pub fn new(key: [u8; 32], side: Side) -> Self {
        Self { key, side, position: 0 }
    }

    /// Appends `value` to `buffer` as the next frame of the stream.
    ///
    /// # Errors
    ///
    /// When the value can't be encoded or is too large. The buffer is unchanged then.
    pub fn encode(
        &mut self,
        value: &impl Serialize,
        buffer: &mut Vec<u8>,
    ) -> Result<(), FrameError> {
        self.encode_body(&postcard::to_stdvec(value)?, buffer)
    }

    /// Appends `body`, a value encoded with `postcard`, to `buffer` as the next frame of the stream.
    ///
    /// # Errors
    ///
    /// When the body is too large. The buffer is unchanged then.
    pub fn encode_body(&mut self, body: &[u8], buffer: &mut Vec<u8>) -> Result<(), FrameError> {
        if body.len() > FRAME_MAX_BYTES {
            return Err(FrameError::Length(body.len()));
        }
        let mac = self.next_mac(body);
        let length = (MAC_BYTES + body.len()) as u32;
        buffer.extend_from_slice(&length.to_be_bytes());
        buffer.extend_from_slice(&mac);
        buffer.extend_from_slice(body);
        Ok(())
    }

    /// Decodes `payload`, the bytes after the length, as the next frame of the stream.
    ///
    /// # Errors
    ///
    /// When the frame is not authentic or malformed. The stream can't be used any more then.
    pub fn decode<T: DeserializeOwned>(&mut self, payload: &[u8]) -> Result<T, FrameError> {
        let Some((mac, body)) = payload.split_at_checked(MAC_BYTES) else {
            return Err(FrameError::Length(payload.len()));
        };
        let expected = self.next_mac(body);
        if !constant_time_eq(mac, &expected) {
            return Err(FrameError::NotAuthentic);
        }
        Ok(postcard::from_bytes(body)?)
    }

    fn next_mac(&mut self, body: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        let side = match self.side {
            Side::Dialer => 0_u8,
            Side::Acceptor => 1_u8,
        };
        hasher.update(&[side]);
        hasher.update(&self.position.to_be_bytes());
        hasher.update(body);
        self.position += 1;
        let mut mac = [0; MAC_BYTES];
        hasher.finalize_xof().fill(&mut mac);
        mac
    }
}

/// Compares without an early exit, so that the time does not reveal where a forged MAC differs.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    if left.len() != right.len() {
        return false;
    }
    let mut difference = 0;
    for (l, r) in left.iter().zip(right) {
        difference |= l ^ r;
    }
    difference == 0
}

/// Reads the payload of one frame, whose body has at most `max_bytes`.
///
/// # Errors
///
/// When the stream fails or the length is out of bounds.
pub async fn read(
    stream: &mut (impl tokio::io::AsyncRead + Unpin),
    max_bytes: usize,
) -> Result<Vec<u8>, FrameError> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    if !(MAC_BYTES..=MAC_BYTES + max_bytes).contains(&length) {
        return Err(FrameError::Length(length));
    }
    let mut payload = Vec::new();
    while payload.len() < length {
        let part = extend_by_part(&mut payload, length);
        stream.read_exact(part).await?;
    }
    Ok(payload)
}

/// Makes room for the next part of a payload of `length` bytes and returns it. Memory is allocated for what has arrived,
/// whatever the length claims.
fn extend_by_part(payload: &mut Vec<u8>, length: usize) -> &mut [u8] {
    let start = payload.len();
    payload.resize((start + PART_BYTES).min(length), 0);
    &mut payload[start..]
}

/// Reads the payload of one frame as [`read`] does, and allows `timeout` for its length and for each further
/// [`PART_BYTES`], so that a large frame over a slow link is not taken for silence.
///
/// # Errors
///
/// When the stream fails, a part does not arrive in time ([`std::io::ErrorKind::TimedOut`]), or the length is out of
/// bounds.
pub async fn read_parts(
    stream: &mut (impl tokio::io::AsyncRead + Unpin),
    max_bytes: usize,
    timeout: time::Duration,
) -> Result<Vec<u8>, FrameError> {
    let mut length = [0; LENGTH_BYTES];
    read_part(stream, &mut length, timeout).await?;
    let length = u32::from_be_bytes(length) as usize;
    if !(MAC_BYTES..=MAC_BYTES + max_bytes).contains(&length) {
        return Err(FrameError::Length(length));
    }
    let mut payload = Vec::new();
    while payload.len() < length {
        read_part(stream, extend_by_part(&mut payload, length), timeout).await?;
    }
    Ok(payload)
}

async fn read_part(
    stream: &mut (impl tokio::io::AsyncRead + Unpin),
    part: &mut [u8],
    timeout: time::Duration,
) -> Result<(), FrameError> {
    match tokio::time::timeout(timeout, stream.read_exact(part)).await {
        Ok(read) => {
            read?;
            Ok(())
        }
        Err(_) => Err(FrameError::Stream(std::io::ErrorKind::TimedOut.into())),
    }
}

/// Writes encoded frames.
///
/// # Errors
///
/// When the stream fails.
pub async fn write(
    stream: &mut (impl tokio::io::AsyncWrite + Unpin),
    buffer: &[u8],
) -> Result<(), FrameError> {
    stream.write_all(buffer).await?;
    Ok(())
}
