use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http_body_util::BodyExt as _;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;

use super::server::{FakeBody, Server, whole};

/// A plain service that runs orders and tells their status.
pub struct Service {
    server: Server,
    counts: ServiceCounts,
}

/// How often each order ran, over all endpoints of a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceCounts(Arc<Mutex<HashMap<String, u64>>>);

impl ServiceCounts {
    /// Returns how often the order with `key` ran.
    pub fn runs(&self, key: &str) -> u64 {
        self.lock().get(key).copied().unwrap_or(0)
    }

    /// Returns how many orders ran more than once.
    pub fn repeated_orders(&self) -> u64 {
        self.lock().values().filter(|&&runs| 1 < runs).count() as u64
    }

    /// Returns how many orders ran.
    pub fn orders(&self) -> u64 {
        self.lock().len() as u64
    }

    fn run(&self, key: &str) -> u64 {
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
    /// Starts a service that takes `span` for a call and counts into `counts`.
    pub fn start(span: Duration, counts: ServiceCounts) -> Self {
        let handler = {
            let counts = counts.clone();
            move |req| answer(counts.clone(), span, req)
        };
        Self { server: Server::start(handler), counts }
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what it counted.
    pub fn counts(&self) -> &ServiceCounts {
        &self.counts
    }
}

/// Runs an order as soon as its body has arrived, then takes its time to answer.
async fn answer(
    counts: ServiceCounts,
    span: Duration,
    req: Request<Incoming>,
) -> Response<FakeBody> {
    let (parts, body) = req.into_parts();
    if body.collect().await.is_err() {
        return whole(StatusCode::BAD_REQUEST, "{}");
    }
    if parts.method == Method::GET {
        tokio::time::sleep(span).await;
        let path = parts.uri.path();
        return whole(StatusCode::OK, json!({"path": path, "status": "known"}).to_string());
    }
    let key = parts.headers.get("idempotency-key").and_then(|key| key.to_str().ok());
    let key = key.unwrap_or_default().to_owned();
    let run = counts.run(&key);
    tokio::time::sleep(span).await;
    whole(StatusCode::CREATED, json!({"order": key, "run": run}).to_string())
}
