use std::time::Duration;

use bench::process::wait_until;
use wire::operator::{
    Endpoints, Explanation, History, PeerState, QuorumRole, ServingState, Status,
};

use crate::tool::{admin, get, run, run_at, site};

#[test]
fn status_shows_peers_quorum_and_counts() {
    let site = site();
    let status = |i| get::<Status>(admin(&site, i), "/operator/status");
    let elected = || (0..3).all(|i| status(i).quorum.leader.is_some());
    wait_until("every voter knows the leader", Duration::from_secs(10), elected).unwrap();
    let leaders = (0..3).filter(|i| status(*i).quorum.role == QuorumRole::Leader);
    assert_eq!(leaders.count(), 1);
    let status: Status = run(&site, &["status", "--json"]).json();
    assert_eq!(status.state, ServingState::Ready);
    assert_eq!(status.peers.len(), 2);
    assert!(status.peers.iter().all(|peer| peer.state == PeerState::Alive), "{status:?}");
    assert_eq!(status.quorum.voters.len(), 3);
    assert!(status.quorum.folder.is_some() && status.quorum.failure.is_none(), "{status:?}");
    assert_eq!((status.counts.ready_endpoints, status.counts.open_calls), (5, Some(0)));
}

#[test]
fn status_table_lists_each_peer() {
    let site = site();
    let status = run(&site, &["status"]);
    assert_eq!(status.code, Some(0), "{status:?}");
    assert!(status.stdout.contains("host-2") && status.stdout.contains("host-3"), "{status:?}");
}

#[test]
fn endpoints_page_lists_models_and_services() {
    let site = site();
    let endpoints: Endpoints = run(&site, &["endpoints", "--json"]).json();
    let engines = endpoints.endpoints.iter().filter(|endpoint| !endpoint.models.is_empty());
    let services = endpoints.endpoints.iter().filter(|endpoint| endpoint.service.is_some());
    assert_eq!((engines.count(), services.count()), (3, 2), "{endpoints:?}");
    assert!(endpoints.endpoints.iter().all(|endpoint| 0 < endpoint.lease_ms), "{endpoints:?}");
}

#[test]
fn explain_ranks_the_engines_the_same_at_every_router() {
    let site = site();
    let prompt = "the house style of the school diary ".repeat(40);
    let args = ["explain", "--json", "-o", "school-1", "--model", "diary-8b", "--prompt", &prompt];
    let explained = |i| run_at(&[admin(&site, i)], &args).json::<Explanation>();
    // The pages list an endpoint slightly before the edge thread knows it.
    let all_known = || (0..3).all(|i| explained(i).candidates.len() == 3);
    wait_until("every engine is a candidate", Duration::from_secs(5), all_known).unwrap();
    let first = explained(0);
    assert!(first.candidates[0].home, "{first:?}");
    assert!(first.candidates.is_sorted_by(|a, b| a.cost <= b.cost), "{first:?}");
    assert_eq!(explained(1), first);
    assert_eq!(explained(2), first);
}

#[test]
fn explain_of_an_unknown_model_is_refused() {
    let site = site();
    let run = run(&site, &["explain", "-o", "school-1", "--model", "none", "--prompt", "p"]);
    assert_eq!(run.code, Some(1), "{run:?}");
    assert!(run.stderr.contains("no endpoint serves model none"), "{run:?}");
}

/// Guards against a wait for an answer that no thread gives.
#[test]
fn explain_route_of_a_router_without_routes_is_refused() {
    let site = site();
    let run = run(&site, &["explain-route", "--host", "desk.example", "--path", "/notes/7"]);
    assert_eq!(run.code, Some(1), "{run:?}");
    assert!(run.stderr.contains("this router has no routes"), "{run:?}");
}

#[test]
fn history_of_a_new_fleet_is_empty() {
    let site = site();
    assert_eq!(run(&site, &["history", "--json"]).json::<History>(), History::default());
}

#[test]
fn metrics_count_sent_and_received_gossip() {
    let site = site();
    let url = format!("http://{}/metrics", admin(&site, 0));
    let page = attohttpc::get(url).send().unwrap().text().unwrap();
    for direction in ["sent", "received"] {
        let series = format!("dotterelreach_gossip_bytes_total{{direction=\"{direction}\"}}");
        assert!(page.contains(&series), "{series}: {page}");
    }
}
