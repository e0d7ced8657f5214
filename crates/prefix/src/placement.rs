use base::EndpointId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::BlockHash;

/// Returns the rendezvous rank of `endpoint` for `prefix`; the highest rank is the prefix's home.
///
/// The rank needs no state, so every router, also one just started, agrees on it.
pub fn rank(prefix: BlockHash, endpoint: &EndpointId) -> u64 {
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), prefix.as_u64())
}
