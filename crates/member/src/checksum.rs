use crate::{Checksums, EndpointRecord, EndpointState, PeerState, PeerUpdate};

/// Number of buckets over which records are spread by their identifier.
pub(crate) const BUCKETS: u16 = 256;

/// Number of checksums in a message.
const SUMS_PER_MESSAGE: u16 = 16;

/// Checksums of all buckets; equal at two routers that know the same lives.
#[derive(Debug)]
pub(crate) struct Sums(Vec<u32>);

impl Sums {
    /// Sums up the peers that are not dead and the endpoints whose lease runs.
    pub(crate) fn new<'a>(
        peers: impl Iterator<Item = &'a PeerUpdate>,
        endpoints: impl Iterator<Item = &'a EndpointRecord>,
    ) -> Self {
        let mut sums = Self(vec![0; usize::from(BUCKETS)]);
        for peer in peers.filter(|peer| peer.state != PeerState::Dead) {
            sums.add(peer.host.as_str(), peer.incarnation.as_u64(), false);
        }
        for known in endpoints {
            let a = &known.announcement;
            let leaving = match known.state {
                EndpointState::Ready => false,
                EndpointState::Leaving => true,
                EndpointState::Left | EndpointState::Expired => continue,
            };
            sums.add(a.endpoint.as_str(), a.incarnation.as_u64(), leaving);
        }
        sums
    }

    /// Returns the checksums of the range that starts at `first`.
    pub(crate) fn range(&self, first: u16) -> Checksums {
        let first = first % BUCKETS / SUMS_PER_MESSAGE * SUMS_PER_MESSAGE;
        let sums = self.0[usize::from(first)..usize::from(first + SUMS_PER_MESSAGE)].to_vec();
        Checksums { first, sums }
    }

    /// Returns the buckets whose checksum differs from `theirs`.
    pub(crate) fn differing(&self, theirs: &Checksums) -> Vec<u16> {
        let numbered = (theirs.first..BUCKETS).zip(&theirs.sums);
        numbered.filter(|&(n, sum)| self.0[usize::from(n)] != *sum).map(|(n, _)| n).collect()
    }

    fn add(&mut self, id: &str, incarnation: u64, leaving: bool) {
        let mut hash = fnv(FNV_OFFSET, id.as_bytes());
        hash = fnv(hash, &incarnation.to_le_bytes());
        hash = fnv(hash, &[u8::from(leaving)]);
        self.0[usize::from(bucket(id))] ^= (hash >> 32) as u32;
    }
}

/// Returns the bucket of the record that `id` names.
pub(crate) fn bucket(id: &str) -> u16 {
    let hash = fnv(FNV_OFFSET, id.as_bytes());
    ((hash ^ (hash >> 32)) as u16) % BUCKETS
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

fn fnv(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, &byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
