use std::cmp::Reverse;

use base::EndpointId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::BlockHash;

/// Returns the rendezvous rank of `endpoint` for `prefix`; the endpoint with the highest rank is
/// the prefix's home.
///
/// The rank needs no state, so all routers agree on it, including those that have just started.
pub fn rank(prefix: BlockHash, endpoint: &EndpointId) -> u64 {
    rank_by_name(prefix, endpoint.as_str())
}

/// Returns the rendezvous rank for `prefix` of a target that has a name but sends no
/// announcements.
pub fn rank_by_name(prefix: BlockHash, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), prefix.as_u64())
}

/// Returns the `count` endpoints with the highest [`rank`] for `prefix`, the home first.
pub fn homes<'a>(
    prefix: BlockHash,
    endpoints: impl IntoIterator<Item = &'a EndpointId>,
    count: usize,
) -> Vec<&'a EndpointId> {
    let mut ranked: Vec<_> = endpoints.into_iter().map(|e| (Reverse(rank(prefix, e)), e)).collect();
    if count < ranked.len() {
        ranked.select_nth_unstable(count);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, endpoint)| endpoint).collect()
}

/// How the number of a prefix's homes grows with its request rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Replication {
    /// Requests per second that one home serves.
    pub rate_per_home: f64,
    /// Maximum number of homes of one prefix.
    pub max_homes: u32,
}

impl Default for Replication {
    fn default() -> Self {
        Self { rate_per_home: 8.0, max_homes: 8 }
    }
}

impl Replication {
    /// Returns the number of homes, at least one, for a prefix with a request rate of `rate` per
    /// second over all routers.
    pub fn homes(&self, rate: f64) -> u32 {
        let wanted = (rate / self.rate_per_home).ceil();
        (wanted as u32).clamp(1, self.max_homes.max(1))
    }
}
