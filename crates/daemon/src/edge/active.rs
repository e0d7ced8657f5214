use std::{collections::BTreeMap, rc::Rc, time::Duration};

use base::MonotonicTime;

use super::Edge;

/// The requests to this router, and its reports to the ledger, that have not ended.
#[derive(Default)]
pub(super) struct ActiveRequests {
    last_number: u64,
    requests: BTreeMap<u64, RequestInfo>,
}

struct RequestInfo {
    path: String,
    request: Option<String>,
    started_at: MonotonicTime,
}

/// Guard that counts a request as active until it is dropped.
pub(super) struct ActiveRequest {
    edge: Rc<Edge>,
    number: u64,
}

impl ActiveRequests {
    pub(super) fn len(&self) -> u64 {
        self.requests.len() as u64
    }

    /// Logs each request that is aborted at `now`.
    pub(super) fn log_aborted(&self, now: MonotonicTime) {
        for RequestInfo { path, request, started_at } in self.requests.values() {
            let request = request.as_deref().unwrap_or("-");
            let age = Duration::as_millis(&now.saturating_since(*started_at));
            log::error!(request, path, age_ms = age as u64; "request cut");
        }
    }
}

impl ActiveRequest {
    pub(super) fn begin(edge: &Rc<Edge>, path: &str) -> Self {
        let mut active = edge.active.borrow_mut();
        active.last_number += 1;
        let number = active.last_number;
        let info =
            RequestInfo { path: path.to_owned(), request: None, started_at: edge.clock.now() };
        active.requests.insert(number, info);
        Self { edge: Rc::clone(edge), number }
    }

    /// Sets the id under which the request is logged.
    pub(super) fn set_request_id(&self, request: &str) {
        if let Some(info) = self.edge.active.borrow_mut().requests.get_mut(&self.number) {
            info.request = Some(request.to_owned());
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.edge.active.borrow_mut().requests.remove(&self.number);
    }
}
