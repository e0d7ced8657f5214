use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http_body_util::BodyExt as _;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;

use super::server::{FakeBody, Server, full_response};

/// A plain HTTP service that runs orders and returns their status.
pub struct Service {
    server: Server,
    counts: ServiceCounts,
}

/// Number of runs of each order, over all endpoints of a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceCounts(Arc<Mutex<HashMap<String, u64>>>);

impl ServiceCounts {
    /// Returns how often the order with this idempotency key ran.
    pub fn runs(&self, key: &str) -> u64 {
        self.lock().get(key).copied().unwrap_or(0)
    }

    /// Returns how many orders ran more than once.
    pub fn repeated_orders(&self) -> u64 {
        self.lock().values().filter(|&&runs| 1 < runs).count() as u64
    }

    /// Returns how many orders ran at least once.
    pub fn orders(&self) -> u64 {
        self.lock().len() as u64
    }

    fn record_run(&self, key: &str) -> u64 {
        let mut orders = self.lock();
        let runs = orders.entry(key.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service {
    /// Starts a service that delays each response by `delay` and counts runs in `counts`.
    pub fn start(delay: Duration, counts: ServiceCounts) -> Self {
        let handler = {
            let counts = counts.clone();
            move |req| handle_request(counts.clone(), delay, req)
        };
        Self { server: Server::start(handler), counts }
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns its counters.
    pub fn counts(&self) -> &ServiceCounts {
        &self.counts
    }
}

/// Runs an order as soon as its body has arrived, and responds after `delay`.
async fn handle_request(
    counts: ServiceCounts,
    delay: Duration,
    req: Request<Incoming>,
) -> Response<FakeBody> {
    let (parts, body) = req.into_parts();
    if body.collect().await.is_err() {
        return full_response(StatusCode::BAD_REQUEST, "{}");
    }
    if parts.method == Method::GET {
        tokio::time::sleep(delay).await;
        let path = parts.uri.path();
        return full_response(StatusCode::OK, json!({"path": path, "status": "known"}).to_string());
    }
    let key = parts.headers.get("idempotency-key").and_then(|key| key.to_str().ok());
    let key = key.unwrap_or_default().to_owned();
    let run = counts.record_run(&key);
    tokio::time::sleep(delay).await;
    full_response(StatusCode::CREATED, json!({"order": key, "run": run}).to_string())
}
