//! Membership of routers and leases of endpoints.
//!
//! [`Membership`] is one router's state in a gossip protocol between all routers: [`Peers`] holds
//! which routers are alive, [`Endpoints`] which endpoints may get new requests, and
//! [`NewestRevision`] the newest revision of the configuration. It is a state machine without
//! sockets or clocks. The driver calls [`Membership::tick`] every [`TICK_INTERVAL`] and sends the
//! returned messages; it passes each request that arrives to [`Membership::handle_request`] and
//! sends the response back, and passes each response to [`Membership::handle_response`]. Messages
//! may be lost, delayed, duplicated and reordered.
//!
//! # Example
//!
//! ```
//! use base::{Incarnation, MonotonicTime, Revision, Sequence};
//! use member::{Budget, Membership, PeerState, PeerUpdate};
//! use rand_pcg::{Pcg64, rand_core::SeedableRng};
//!
//! let router = |host: &str, port: u16, seeds: &[u16]| {
//!     let me = PeerUpdate {
//!         host: host.parse().expect("a valid host id"),
//!         data_centre: "north".parse().expect("a valid data centre id"),
//!         address: ([127, 0, 0, 1], port).into(),
//!         incarnation: Incarnation::new(1),
//!         sequence: Sequence::ZERO,
//!         heartbeat: Sequence::ZERO,
//!         revision: Revision::ZERO,
//!         leader: None,
//!         votes: false,
//!         draining: false,
//!         state: PeerState::Alive,
//!     };
//!     let seeds = seeds.iter().map(|&port| ([127, 0, 0, 1], port).into()).collect();
//!     Membership::new(MonotonicTime::ZERO, me, seeds, Budget::default())
//! };
//! let mut first = router("first", 7001, &[]);
//! let mut second = router("second", 7002, &[7001]);
//!
//! let now = MonotonicTime::from_millis(200);
//! for outgoing in second.tick(now, &mut Pcg64::seed_from_u64(1)) {
//!     let response = first.handle_request(now, outgoing.message);
//!     second.handle_response(now, now, response);
//! }
//! assert_eq!(first.peers().live().count(), 1);
//! assert_eq!(second.peers().live().count(), 1);
//! ```

mod announcement;
mod budget;
mod catch_up;
mod checksum;
mod detector;
mod endpoints;
mod exchange;
mod held;
mod leaving_set;
mod link;
mod membership;
mod message;
mod peers;
mod transmit_queue;

pub use crate::{
    announcement::{Announcement, EndpointKind, Engine, Load, ServedModel, is_endpoint_address},
    budget::Budget,
    endpoints::{
        EndpointChange, EndpointRecord, EndpointState, Endpoints, MAX_ENDPOINTS, MAX_TOMBSTONES,
        RelayedRenewal, StaleAnnouncement, TOMBSTONE_RETENTION,
    },
    held::{HeldAnnouncements, MAX_HELD_ANNOUNCEMENTS},
    leaving_set::LeavingSet,
    membership::{Membership, Outgoing, Roster, TICK_INTERVAL},
    message::{
        AnnouncementRequest, Checksums, EndpointUpdate, Gossip, IncarnationKey, NewestRevision,
        PeerState, PeerUpdate, Pull, Renewal,
    },
    peers::{DEAD_PEER_RETENTION, MAX_PEERS, PROBE_INTERVAL, Peer, Peers},
};
