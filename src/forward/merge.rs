//! Merges the parts of a gather into one answer.

use bytes::Bytes;
use bytes::BytesMut;

/// The length of a record. What is left over at a part's end is none.
pub const RECORD_BYTES: usize = 16;

/// The greatest `top_count` records of all parts, greatest first. Equal records all count.
pub fn top_records<'a>(parts: impl Iterator<Item = &'a Bytes>, top_count: usize) -> Bytes {
    let mut records: Vec<&[u8]> = Vec::new();
    for part in parts {
        records.extend(part.chunks_exact(RECORD_BYTES));
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top_count);
    let mut body = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        body.extend_from_slice(record);
    }
    body.freeze()
}
