use std::{collections::BTreeMap, rc::Rc, time::Duration};

use base::MonotonicTime;

use super::Edge;

/// The requests under way.
#[derive(Default)]
pub(super) struct ActiveRequests {
    last: u64,
    requests: BTreeMap<u64, Described>,
}

struct Described {
    path: String,
    request: Option<String>,
    since: MonotonicTime,
}

/// Counts a request as active; ends on drop.
pub(super) struct ActiveRequest {
    edge: Rc<Edge>,
    number: u64,
}

impl ActiveRequests {
    pub(super) fn len(&self) -> u64 {
        self.requests.len() as u64
    }

    /// Logs each request under way as cut at `now`.
    pub(super) fn log_cut(&self, now: MonotonicTime) {
        for Described { path, request, since } in self.requests.values() {
            let request = request.as_deref().unwrap_or("-");
            let age = Duration::as_millis(&now.saturating_since(*since));
            log::error!(request, path, age_ms = age as u64; "request cut");
        }
    }
}

impl ActiveRequest {
    pub(super) fn begin(edge: &Rc<Edge>, path: &str) -> Self {
        let mut active = edge.active.borrow_mut();
        active.last += 1;
        let number = active.last;
        let described = Described { path: path.to_owned(), request: None, since: edge.clock.now() };
        active.requests.insert(number, described);
        Self { edge: Rc::clone(edge), number }
    }

    /// Names the request in logs.
    pub(super) fn name(&self, request: &str) {
        if let Some(described) = self.edge.active.borrow_mut().requests.get_mut(&self.number) {
            described.request = Some(request.to_owned());
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.edge.active.borrow_mut().requests.remove(&self.number);
    }
}
