use std::{net::SocketAddr, time::Duration};

use base::{DataCentreId, EndpointId, Incarnation, Sequence, ServiceId};
use wire::announcement::{AnnouncementBody, EngineBody};

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Lease of an announcement, in milliseconds.
const LEASE_MS: u64 = 2_000;

/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Handle of a thread that announces an endpoint until the handle is dropped.
///
/// It posts to one router, and fails over to the next one.
pub struct Announcer {
    tx: flume::Sender<Message>,
}

enum Message {
    Leave,
    Stop,
}

/// The constant fields of an endpoint's announcements.
pub struct AnnouncedEndpoint {
    /// The endpoint's id.
    pub id: EndpointId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The data centre that it is in.
    pub data_centre: DataCentreId,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
}

impl Announcer {
    /// Announces an engine.
    pub fn engine(
        endpoint: AnnouncedEndpoint,
        describe: impl Fn() -> EngineBody + Send + 'static,
        routers: Vec<SocketAddr>,
        fleet_key: &str,
    ) -> Self {
        Self::start(endpoint, move || (Some(describe()), None), routers, fleet_key)
    }

    /// Announces an endpoint of a plain service.
    pub fn service(
        endpoint: AnnouncedEndpoint,
        service: ServiceId,
        routers: Vec<SocketAddr>,
        fleet_key: &str,
    ) -> Self {
        Self::start(endpoint, move || (None, Some(service.clone())), routers, fleet_key)
    }

    /// Announces that the endpoint is leaving, and keeps renewing that announcement.
    pub fn leave(&self) {
        let _ = self.tx.send(Message::Leave);
    }

    fn start(
        endpoint: AnnouncedEndpoint,
        describe: impl Fn() -> (Option<EngineBody>, Option<ServiceId>) + Send + 'static,
        routers: Vec<SocketAddr>,
        fleet_key: &str,
    ) -> Self {
        let (tx, rx) = flume::bounded(4);
        let fleet_key = fleet_key.to_owned();
        std::thread::spawn(move || {
            let mut sequence = Sequence::ZERO;
            let mut leaving = false;
            let mut router = first_router(&endpoint, routers.len());
            loop {
                sequence = sequence.next();
                let (engine, service) = describe();
                let body = AnnouncementBody {
                    id: endpoint.id.clone(),
                    incarnation: endpoint.incarnation,
                    sequence,
                    data_centre: endpoint.data_centre.clone(),
                    address: endpoint.address,
                    lease_ms: LEASE_MS,
                    leaving,
                    engine,
                    service,
                };
                for _ in 0..routers.len() {
                    if post(routers[router], &fleet_key, &body).is_ok() {
                        break;
                    }
                    router = (router + 1) % routers.len();
                }
                match rx.recv_timeout(ANNOUNCE_INTERVAL) {
                    Ok(Message::Leave) => leaving = true,
                    Ok(Message::Stop) | Err(flume::RecvTimeoutError::Disconnected) => return,
                    Err(flume::RecvTimeoutError::Timeout) => {}
                }
            }
        });
        Self { tx }
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        let _ = self.tx.send(Message::Stop);
    }
}

/// Returns the router to try first; it differs by endpoint to spread the load.
fn first_router(endpoint: &AnnouncedEndpoint, routers: usize) -> usize {
    let bytes = endpoint.id.as_str().bytes();
    bytes.map(usize::from).sum::<usize>() % routers.max(1)
}

fn post(router: SocketAddr, fleet_key: &str, body: &AnnouncementBody) -> eyre::Result<()> {
    let response = attohttpc::post(format!("http://{router}/announce"))
        .timeout(ANNOUNCE_TIMEOUT)
        .connect_timeout(ANNOUNCE_TIMEOUT)
        .bearer_auth(fleet_key)
        .text(serde_json::to_string(body)?)
        .send()?;
    eyre::ensure!(
        response.is_success(),
        "announcement refused: router {router}, status {}",
        response.status()
    );
    Ok(())
}
