use std::{sync::Arc, time::Duration};

use base::{LogIndex, MonotonicTime, Term};
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

use super::AdminApi;

/// Longest wait for the edge thread's response.
const EDGE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the status of the router, its peers and the quorum.
pub(super) fn status(api: &AdminApi) -> Status {
    let context = &api.context;
    let roster = context.roster.load();
    let view = context.replica.load();
    let revision = context.configurations.revision();
    let newest = roster.as_ref().map_or(revision, |roster| roster.newest.revision).max(revision);
    let ready_endpoints = roster.iter().flat_map(|roster| &roster.endpoints);
    let ready_endpoints =
        ready_endpoints.filter(|record| record.state == member::EndpointState::Ready).count();
    Status {
        host: context.cfg.host.clone(),
        incarnation: context.incarnation,
        data_centre: context.cfg.data_centre.clone(),
        version: env!("CARGO_PKG_VERSION").into(),
        state: context.readiness.state(),
        revision,
        newest,
        peers: roster.iter().flat_map(|roster| peers(api, roster)).collect(),
        counts: Counts {
            in_flight: load(api).requests,
            queued: 0,
            ready_endpoints: ready_endpoints as u64,
            open_calls: view.as_ref().map(|view| view.unsettled as u64),
        },
        quorum: match &view {
            Some(view) => quorum_status(api, view),
            None => observer_status(roster.as_deref()),
        },
    }
}

/// Lists the endpoints whose lease has not expired.
pub(super) fn endpoints(api: &AdminApi) -> Endpoints {
    let Some(roster) = api.context.roster.load() else { return Endpoints::default() };
    let load = load(api);
    let statuses = roster.endpoints.iter().filter_map(|record| endpoint(api, record, &load));
    Endpoints { endpoints: statuses.collect() }
}

/// Lists the voters according to this host's replica.
pub(super) fn voters(now: MonotonicTime, view: &ReplicaView) -> Vec<Voter> {
    let folders = view.node.voters.folders.iter();
    folders
        .map(|(host, folder)| {
            let progress = view.node.progress.get(host);
            let heard_at = progress.and_then(|progress| progress.last_contact);
            Voter {
                host: host.clone(),
                folder: folder.to_string().into(),
                matched: progress.map(|progress| progress.matched),
                heard_ms: heard_at.map(|at| millis(now.saturating_since(at))),
                absent: view.absent_voters.contains(host),
            }
        })
        .collect()
}

fn load(api: &AdminApi) -> Load {
    let (reply, response) = flume::bounded(1);
    let sent = api.context.admin_queries.try_send(AdminQuery::Load { reply });
    sent.ok().and_then(|()| response.recv_timeout(EDGE_RESPONSE_TIMEOUT).ok()).unwrap_or_default()
}

fn peers(api: &AdminApi, roster: &Roster) -> Vec<Peer> {
    let now = api.context.clock.now();
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

fn quorum_status(api: &AdminApi, view: &ReplicaView) -> QuorumStatus {
    let node = &view.node;
    QuorumStatus {
        role: match role(view, &api.context.cfg.host) {
            Role::Observer => QuorumRole::Observer,
            Role::Follower => QuorumRole::Follower,
            Role::Candidate => QuorumRole::Candidate,
            Role::Leader => QuorumRole::Leader,
        },
        term: node.term,
        leader: node.leader.clone(),
        commit: node.commit,
        applied: node.applied,
        voters: voters(api.context.clock.now(), view),
        folder: Some(view.folder.to_string().into()),
        registration: Some(node.registration.to_string().into()),
        failure: view.failure.as_deref().map(Arc::from),
    }
}

/// Returns the quorum's status on a non-voter, with the leader as received by gossip.
fn observer_status(roster: Option<&Roster>) -> QuorumStatus {
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

fn endpoint(api: &AdminApi, record: &EndpointRecord, load: &Load) -> Option<EndpointStatus> {
    let now = api.context.clock.now();
    let announcement = &record.announcement;
    let state = match record.state {
        member::EndpointState::Ready => EndpointState::Ready,
        member::EndpointState::Leaving => EndpointState::Leaving,
        member::EndpointState::Left | member::EndpointState::Expired => return None,
    };
    let reported = record.load(now).map(|(load, _)| load).unwrap_or_default();
    let (models, service, checks_fencing) = match &announcement.kind {
        EndpointKind::Engine(engine) => {
            (engine.models.iter().map(served_model).collect(), None, engine.checks_fencing)
        }
        EndpointKind::Service(service) => (Vec::new(), Some(service.clone()), false),
    };
    Some(EndpointStatus {
        endpoint: announcement.endpoint.clone(),
        incarnation: announcement.incarnation,
        data_centre: announcement.data_centre.clone(),
        address: announcement.address,
        state,
        lease_ms: millis(record.lease_left(now)),
        models,
        service,
        checks_fencing,
        in_flight: load.endpoints.get(&announcement.endpoint).copied().unwrap_or_default().into(),
        waiting: reported.waiting.into(),
        prefill_tokens: reported.prefill_tokens,
    })
}

fn served_model(served: &member::ServedModel) -> ServedModel {
    ServedModel {
        model: served.model.clone(),
        weights: served.weights.clone(),
        adapters: served.adapters.clone(),
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
