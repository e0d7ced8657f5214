use crate::{Checksums, EndpointRecord, EndpointState, PeerState, PeerUpdate};

/// Number of buckets into which records are hashed by their identifier.
pub(crate) const BUCKET_COUNT: u16 = 256;

/// Number of checksums in a message.
const CHECKSUMS_PER_MESSAGE: u16 = 16;

/// Checksums of all buckets; equal at two routers whose records hold the same incarnations.
#[derive(Debug)]
pub(crate) struct BucketChecksums(Vec<u32>);

impl BucketChecksums {
    /// Computes the checksums of the peers that are not dead and the endpoints with a valid lease.
    pub(crate) fn new<'a>(
        peers: impl Iterator<Item = &'a PeerUpdate>,
        endpoints: impl Iterator<Item = &'a EndpointRecord>,
    ) -> Self {
        let mut sums = Self(vec![0; usize::from(BUCKET_COUNT)]);
        for peer in peers.filter(|peer| peer.state != PeerState::Dead) {
            sums.add(peer.host.as_str(), peer.incarnation.as_u64(), false);
        }
        for record in endpoints {
            let announcement = &record.announcement;
            let leaving = match record.state {
                EndpointState::Ready => false,
                EndpointState::Leaving => true,
                EndpointState::Left | EndpointState::Expired => continue,
            };
            sums.add(announcement.endpoint.as_str(), announcement.incarnation.as_u64(), leaving);
        }
        sums
    }

    /// Returns the checksums of the message range that contains bucket `first`.
    pub(crate) fn range(&self, first: u16) -> Checksums {
        let first = first % BUCKET_COUNT / CHECKSUMS_PER_MESSAGE * CHECKSUMS_PER_MESSAGE;
        let sums = self.0[usize::from(first)..usize::from(first + CHECKSUMS_PER_MESSAGE)].to_vec();
        Checksums { first, sums }
    }

    /// Returns the buckets whose checksum differs from the one in `remote`.
    pub(crate) fn differing(&self, remote: &Checksums) -> Vec<u16> {
        let numbered = (remote.first..BUCKET_COUNT).zip(&remote.sums);
        numbered.filter(|&(n, sum)| self.0[usize::from(n)] != *sum).map(|(n, _)| n).collect()
    }

    fn add(&mut self, id: &str, incarnation: u64, leaving: bool) {
        let mut hash = fnv(FNV_OFFSET, id.as_bytes());
        hash = fnv(hash, &incarnation.to_le_bytes());
        hash = fnv(hash, &[u8::from(leaving)]);
        self.0[usize::from(bucket(id))] ^= (hash >> 32) as u32;
    }
}

/// Returns the bucket of the record with identifier `id`.
pub(crate) fn bucket(id: &str) -> u16 {
    let hash = fnv(FNV_OFFSET, id.as_bytes());
    ((hash ^ (hash >> 32)) as u16) % BUCKET_COUNT
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

fn fnv(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, &byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
