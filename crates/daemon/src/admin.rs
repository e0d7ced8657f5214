use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use base::Incarnation;
use member::EndpointState;
use rouille::{Request, Response};

use crate::{
    Settings, configurations::Configurations, leader_client::LeaderClient, replica::ReplicaState,
    roster::Latest,
};

/// Threads that serve the pages.
const POOL_THREADS: usize = 4;

/// Time between looks at whether the process ends.
const POLL: Duration = Duration::from_millis(100);

/// Whether the router takes new requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness(Arc<AtomicBool>);

impl Readiness {
    pub(crate) fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }

    fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// What the pages show and change.
#[derive(Clone)]
pub(crate) struct Pages {
    pub cfg: Arc<Settings>,
    pub incarnation: Incarnation,
    pub readiness: Readiness,
    pub roster: Latest,
    pub replica: ReplicaState,
    pub configurations: Configurations,
    pub leader: LeaderClient,
}

/// Starts the thread that serves the operator, health and metrics pages.
///
/// # Errors
///
/// Returns an error if the address can't be bound or the thread can't be made.
pub(crate) fn spawn(address: std::net::SocketAddr, pages: Pages) -> io::Result<()> {
    let server = rouille::Server::new(address, move |req| answer(&pages, req))
        .map_err(|e| io::Error::other(format!("{address}: {e}")))?
        .pool_size(POOL_THREADS);
    std::thread::Builder::new().name("admin".into()).spawn(move || {
        loop {
            server.poll_timeout(POLL);
        }
    })?;
    Ok(())
}

fn answer(pages: &Pages, req: &Request) -> Response {
    match (req.method(), req.url().as_str()) {
        ("GET", "/healthz") => Response::text("alive\n"),
        ("GET", "/readyz") if pages.readiness.is_ready() => Response::text("ready\n"),
        ("GET", "/readyz") => Response::text("draining\n").with_status_code(503),
        ("GET", "/operator/endpoints") => endpoints(pages),
        _ => Response::empty_404(),
    }
}

fn endpoints(pages: &Pages) -> Response {
    let Some(roster) = pages.roster.load() else { return Response::json(&()) };
    let ready = roster.endpoints.iter().filter(|known| known.state == EndpointState::Ready);
    let ids: Vec<_> = ready.map(|known| known.announcement.endpoint.clone()).collect();
    Response::json(&ids)
}
