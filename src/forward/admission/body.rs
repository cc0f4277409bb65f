//! Reads the bodies of requests into the memory that [`memory`] grants.

use crate::clock;
use crate::forward::admission::connections;
use crate::forward::admission::memory;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use std::sync;
use std::time;

/// A body that makes no progress for this long is given up.
pub const STALL_TIMEOUT_US: u64 = 5_000_000;
/// A body that is not complete after this time is given up: the largest legal one takes 42 s at 50 kbit/s.
pub const BODY_TIMEOUT_US: u64 = 60_000_000;
/// The first buffer of a body whose length is not stated.
const FIRST_BUFFER_BYTES: usize = 4 << 10;

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// There is no memory for it.
    #[error("there is no memory for the body")]
    NoRoom,
    /// It had stalled, and its memory was needed for other requests.
    #[error("the body stalled and gave way to others")]
    GaveWay,
    /// It stopped arriving.
    #[error("the body stopped arriving")]
    Stalled,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(Box<dyn std::error::Error + Send + Sync>),
}

/// A complete body and its memory.
struct Complete {
    bytes: Vec<u8>,
    _held: memory::Held,
}

impl AsRef<[u8]> for Complete {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body of up to `max_bytes`. `open` is its connection, if that may have to give way to others. The memory is
/// released when the last copy of the returned bytes is dropped.
///
/// # Errors
///
/// If the body is too long, there is no memory for it, or it does not arrive.
pub async fn read<'a, B>(
    mut body: B,
    max_bytes: usize,
    pool: &sync::Arc<memory::Pool>,
    open: impl Into<Option<&'a connections::Open>>,
) -> Result<Bytes, Failure>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let open = open.into();
    let hint = body.size_hint();
    if hint.lower() > max_bytes as u64 {
        return Err(Failure::TooLong);
    }
    let started_us = clock::now_us();
    let mut held = pool.start_body(started_us);
    let mut bytes = Vec::new();
    if let Some(stated_bytes) = hint.exact() {
        if !held.grow(started_us, stated_bytes as usize) {
            return Err(Failure::NoRoom);
        }
        bytes.reserve_exact(stated_bytes as usize);
    }
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            failure = give_up(&mut held, started_us, open) => return Err(failure),
        };
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(|error| Failure::Connection(error.into()))?;
        let Ok(data) = frame.into_data() else {
            // Trailers are not used.
            continue;
        };
        if bytes.capacity() > 0 && held.byte_count() == 0 {
            // It gave way just before these bytes arrived.
            return Err(Failure::GaveWay);
        }
        let now_us = clock::now_us();
        held.record_arrival(now_us, data.len());
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(Failure::TooLong);
        }
        if length > bytes.capacity() {
            let old_capacity = bytes.capacity();
            let capacity = length.max((old_capacity * 2).clamp(FIRST_BUFFER_BYTES, max_bytes));
            // Both buffers exist while the bytes are copied.
            if !held.grow(now_us, capacity) {
                return Err(Failure::NoRoom);
            }
            bytes.reserve_exact(capacity - bytes.len());
            held.shrink(old_capacity);
        }
        // The data shares a read buffer that may be many times larger.
        bytes.extend_from_slice(&data);
    }
    held.stop_waiting();
    if let Some(open) = open {
        open.finish_body();
    }
    Ok(Bytes::from_owner(Complete { bytes, _held: held }))
}

/// Waits until the body has to be given up. Polled only while no bytes are there.
async fn give_up(
    held: &mut memory::Held,
    started_us: u64,
    open: Option<&connections::Open>,
) -> Failure {
    held.start_waiting();
    let progress_us = held.progress_us();
    if let Some(open) = open {
        open.set_waiting_for_body(progress_us);
    }
    let end_us = (progress_us + STALL_TIMEOUT_US).min(started_us + BODY_TIMEOUT_US);
    let left = time::Duration::from_micros(end_us.saturating_sub(clock::now_us()));
    tokio::select! {
        () = held.wait_to_give_way() => Failure::GaveWay,
        () = tokio::time::sleep(left) => Failure::Stalled,
    }
}
