//! Deterministic generated documents, so that a test can compute the expected answer of a search.

use compact_str::{CompactString, format_compact};
use tarragondoor::ids;
use tarragondoor::searcher_api;
use xxhash_rust::xxh3;

/// The number of documents that each service has; all of them match any query.
pub const MATCHING_DOCUMENTS: u32 = 128;

/// The hits of one shard, best first, at most `limit`.
///
/// A document's score depends on the query and the index version, but not on its shard, so the best
/// hits of all shards together are the same for any shard count and differ between versions.
pub fn hits(
    service: &ids::ServiceName,
    index_version: ids::IndexVersion,
    shard: ids::ShardId,
    shard_count: u32,
    query: &str,
    limit: u16,
) -> Vec<searcher_api::Hit> {
    let service_seed = xxh3::xxh3_64(service.as_str().as_bytes());
    let query_seed = xxh3::xxh3_64_with_seed(query.as_bytes(), service_seed ^ index_version.0);
    let mut found = Vec::new();
    for number in 0..MATCHING_DOCUMENTS {
        let document = xxh3::xxh3_64_with_seed(&number.to_le_bytes(), service_seed);
        if document % u64::from(shard_count.max(1)) != u64::from(shard.0) {
            continue;
        }
        let score = xxh3::xxh3_64_with_seed(&document.to_le_bytes(), query_seed);
        found.push(searcher_api::Hit {
            document: format_compact!("{document:016x}"),
            score: unit_interval(score),
        });
    }
    sort(&mut found);
    found.truncate(usize::from(limit));
    found
}

/// The best hits over all shards of an index version, best first: the complete answer to a query.
pub fn all_hits(
    service: &ids::ServiceName,
    index_version: ids::IndexVersion,
    query: &str,
    limit: u16,
) -> Vec<searcher_api::Hit> {
    hits(service, index_version, ids::ShardId(0), 1, query, limit)
}

/// Sorts hits by descending score, those of equal score by document.
pub fn sort(hits: &mut [searcher_api::Hit]) {
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.document.cmp(&b.document)));
}

/// The result of a non-idempotent operation.
pub fn run_result(operation: &ids::OperationName, subject: &str) -> CompactString {
    format_compact!("{operation} {subject} done")
}

/// Maps 64 random bits to `[0, 1)`.
pub fn unit_interval(bits: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (bits >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}
