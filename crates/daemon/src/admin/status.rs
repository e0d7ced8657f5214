use std::{sync::Arc, time::Duration};

use base::{LogIndex, Term};
use member::{EndpointKind, EndpointRecord, PeerState as MemberState, Roster};
use telemetry::QuorumRole as Role;
use wire::operator::{
    Counts, EndpointState, EndpointStatus, Endpoints, Peer, PeerState, QuorumRole, QuorumStatus,
    ServedModel, Status, Voter,
};

use crate::{
    edge::{AdminQuery, Load},
    replica::ReplicaView,
    roster::{is_laggard, role},
};

use super::Pages;

/// Longest wait for the edge thread.
const EDGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Describes the router, its peers and the quorum.
pub(super) fn status(pages: &Pages) -> Status {
    let sources = &pages.sources;
    let roster = sources.roster.load();
    let view = sources.replica.load();
    let revision = sources.configurations.revision();
    let newest = roster.as_ref().map_or(revision, |roster| roster.newest.revision).max(revision);
    let ready_endpoints = roster.iter().flat_map(|roster| &roster.endpoints);
    let ready_endpoints =
        ready_endpoints.filter(|known| known.state == member::EndpointState::Ready).count();
    Status {
        host: sources.cfg.host.clone(),
        incarnation: sources.incarnation,
        data_centre: sources.cfg.data_centre.clone(),
        version: env!("CARGO_PKG_VERSION").into(),
        state: sources.readiness.state(),
        revision,
        newest,
        peers: roster.iter().flat_map(|roster| peers(pages, roster)).collect(),
        counts: Counts {
            in_flight: load(pages).requests,
            queued: 0,
            ready_endpoints: ready_endpoints as u64,
            open_calls: view.as_ref().map(|view| view.unsettled as u64),
        },
        quorum: match &view {
            Some(view) => quorum_of(pages, view),
            None => observer(roster.as_deref()),
        },
    }
}

/// Lists the endpoints whose lease runs.
pub(super) fn endpoints(pages: &Pages) -> Endpoints {
    let Some(roster) = pages.sources.roster.load() else { return Endpoints::default() };
    let load = load(pages);
    let shown = roster.endpoints.iter().filter_map(|known| endpoint(pages, known, &load));
    Endpoints { endpoints: shown.collect() }
}

/// Lists the voters that a host with a vote knows.
pub(super) fn voters(view: &ReplicaView) -> Vec<Voter> {
    let folders = view.node.voters.folders.iter();
    folders
        .map(|(host, folder)| Voter {
            host: host.clone(),
            folder: folder.to_string().into(),
            matched: view.node.progress.get(host).map(|progress| progress.matched),
        })
        .collect()
}

fn load(pages: &Pages) -> Load {
    let (reply, answer) = flume::bounded(1);
    let asked = pages.sources.admin_queries.try_send(AdminQuery::Load { reply });
    asked.ok().and_then(|()| answer.recv_timeout(EDGE_TIMEOUT).ok()).unwrap_or_default()
}

fn peers(pages: &Pages, roster: &Roster) -> Vec<Peer> {
    let now = pages.sources.clock.now();
    let newest = roster.newest.revision;
    let peer = |peer: &member::Peer| Peer {
        host: peer.update.host.clone(),
        incarnation: peer.update.incarnation,
        data_centre: peer.update.data_centre.clone(),
        state: match peer.update.state {
            MemberState::Alive if peer.update.draining => PeerState::Leaving,
            MemberState::Alive => PeerState::Alive,
            MemberState::Suspect => PeerState::Suspect,
            MemberState::Dead => PeerState::Dead,
        },
        revision: peer.update.revision,
        laggard: is_laggard(peer, newest),
        heard_ms: millis(now.saturating_since(peer.last_contact.unwrap_or(peer.state_changed_at))),
    };
    roster.peers.iter().map(peer).collect()
}

fn quorum_of(pages: &Pages, view: &ReplicaView) -> QuorumStatus {
    let node = &view.node;
    QuorumStatus {
        role: match role(view, &pages.sources.cfg.host) {
            Role::Observer => QuorumRole::Observer,
            Role::Follower => QuorumRole::Follower,
            Role::Candidate => QuorumRole::Candidate,
            Role::Leader => QuorumRole::Leader,
        },
        term: node.term,
        leader: node.leader.clone(),
        commit: node.commit,
        applied: node.applied,
        voters: voters(view),
        folder: Some(view.folder.to_string().into()),
        registration: Some(node.registration.to_string().into()),
        failure: view.failure.as_deref().map(Arc::from),
    }
}

/// Describes the quorum as gossip shows it to a host without a vote.
fn observer(roster: Option<&Roster>) -> QuorumStatus {
    let mut peers = roster.iter().flat_map(|roster| &roster.peers);
    let leader = peers.find_map(|peer| peer.update.leader.clone());
    QuorumStatus {
        role: QuorumRole::Observer,
        term: Term::ZERO,
        leader,
        commit: LogIndex::ZERO,
        applied: LogIndex::ZERO,
        voters: Vec::new(),
        folder: None,
        registration: None,
        failure: None,
    }
}

fn endpoint(pages: &Pages, known: &EndpointRecord, load: &Load) -> Option<EndpointStatus> {
    let now = pages.sources.clock.now();
    let announcement = &known.announcement;
    let state = match known.state {
        member::EndpointState::Ready => EndpointState::Ready,
        member::EndpointState::Leaving => EndpointState::Leaving,
        member::EndpointState::Left | member::EndpointState::Expired => return None,
    };
    let reported = known.load(now).map(|(load, _)| load).unwrap_or_default();
    let (models, service, checks_fencing) = match &announcement.kind {
        EndpointKind::Engine(engine) => {
            (engine.models.iter().map(served).collect(), None, engine.checks_fencing)
        }
        EndpointKind::Service(service) => (Vec::new(), Some(service.clone()), false),
    };
    Some(EndpointStatus {
        endpoint: announcement.endpoint.clone(),
        incarnation: announcement.incarnation,
        data_centre: announcement.data_centre.clone(),
        address: announcement.address,
        state,
        lease_ms: millis(known.lease_left(now)),
        models,
        service,
        checks_fencing,
        in_flight: load.endpoints.get(&announcement.endpoint).copied().unwrap_or_default().into(),
        waiting: reported.waiting.into(),
        prefill_tokens: reported.prefill_tokens,
    })
}

fn served(served: &member::ServedModel) -> ServedModel {
    ServedModel {
        model: served.model.clone(),
        weights: served.weights.clone(),
        adapters: served.adapters.clone(),
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
