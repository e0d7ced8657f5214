use std::{net::SocketAddr, time::Duration};

use base::{DataCentreId, EndpointId, Incarnation, Sequence, ServiceId};
use wire::announcement::{AnnouncementBody, EngineBody};

/// Time between two announcements.
const PERIOD: Duration = Duration::from_millis(500);

/// How long an announcement counts, in milliseconds.
const LEASE_MS: u64 = 2_000;

/// Time for one announcement.
const TIMEOUT: Duration = Duration::from_millis(500);

/// A thread that announces an endpoint until it is dropped.
///
/// It posts to one router, and to the next one when that fails.
pub struct Announcer {
    tx: flume::Sender<Message>,
}

enum Message {
    Leave,
    Stop,
}

/// What an announcer says.
pub struct AnnouncedEndpoint {
    /// The endpoint.
    pub id: EndpointId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// Where it takes requests.
    pub address: SocketAddr,
}

impl Announcer {
    /// Announces an engine.
    pub fn engine(
        announced: AnnouncedEndpoint,
        describe: impl Fn() -> EngineBody + Send + 'static,
        routers: Vec<SocketAddr>,
        fleet_key: &str,
    ) -> Self {
        Self::start(announced, move || (Some(describe()), None), routers, fleet_key)
    }

    /// Announces an endpoint of a plain service.
    pub fn service(
        announced: AnnouncedEndpoint,
        service: ServiceId,
        routers: Vec<SocketAddr>,
        fleet_key: &str,
    ) -> Self {
        Self::start(announced, move || (None, Some(service.clone())), routers, fleet_key)
    }

    /// Announces that the endpoint is leaving, and goes on to renew that.
    pub fn leave(&self) {
        let _ = self.tx.send(Message::Leave);
    }

    fn start(
        announced: AnnouncedEndpoint,
        describe: impl Fn() -> (Option<EngineBody>, Option<ServiceId>) + Send + 'static,
        routers: Vec<SocketAddr>,
        fleet_key: &str,
    ) -> Self {
        let (tx, rx) = flume::bounded(4);
        let fleet_key = fleet_key.to_owned();
        std::thread::spawn(move || {
            let mut sequence = Sequence::ZERO;
            let mut leaving = false;
            let mut router = first_router(&announced, routers.len());
            loop {
                sequence = sequence.next();
                let (engine, service) = describe();
                let body = AnnouncementBody {
                    id: announced.id.clone(),
                    incarnation: announced.incarnation,
                    sequence,
                    data_centre: announced.data_centre.clone(),
                    address: announced.address,
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
                match rx.recv_timeout(PERIOD) {
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

/// Spreads the endpoints over the routers.
fn first_router(announced: &AnnouncedEndpoint, routers: usize) -> usize {
    let bytes = announced.id.as_str().bytes();
    bytes.map(usize::from).sum::<usize>() % routers.max(1)
}

fn post(router: SocketAddr, fleet_key: &str, body: &AnnouncementBody) -> eyre::Result<()> {
    let response = attohttpc::post(format!("http://{router}/announce"))
        .timeout(TIMEOUT)
        .connect_timeout(TIMEOUT)
        .bearer_auth(fleet_key)
        .text(serde_json::to_string(body)?)
        .send()?;
    eyre::ensure!(response.is_success(), "the router answered {}", response.status());
    Ok(())
}
