//! Merges the parts of a gather into one answer.

use bytes::Bytes;
use bytes::BytesMut;

/// The length of a record. A shorter rest at the end of a part is ignored.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top_count` greatest records of all parts in descending byte order. Duplicates are kept.
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
