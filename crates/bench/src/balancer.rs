//! A load balancer in front of the hosts, as the platform has one: it sends requests to ready hosts
//! and retries at another host when a connection is refused.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    caller::CompletionSpec,
    process::Daemon,
    stream::{CompletionStream, OpenResult, StreamEnd, check_complete},
};

/// Time between two readiness probes of a host.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit of one readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest wait for a ready host.
const MAX_READY_WAIT: Duration = Duration::from_secs(10);

/// Most attempts for one request.
const MAX_ATTEMPTS: usize = 200;

/// Balances requests round-robin among the ready hosts.
#[derive(Clone)]
pub struct Balancer {
    hosts: Arc<Vec<Host>>,
    next: Arc<AtomicUsize>,
    _probes: Arc<ProbeGuard>,
}

struct Host {
    listen: SocketAddr,
    admin: SocketAddr,
    ready: AtomicBool,
}

/// Stops the probe threads on drop.
struct ProbeGuard {
    stop: Arc<AtomicBool>,
}

/// Result of a request sent through the balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct BalancedOutcome {
    /// Time to first token, including the wait for a ready host.
    pub first_token: Option<Duration>,
    /// Connections that were refused and retried at another host.
    pub refused: u64,
    /// Streams that were cut, then resumed or restarted at another host.
    pub cut: u64,
    /// Why there is no complete response.
    pub failed: Option<String>,
}

impl Balancer {
    /// Starts to probe the daemons' readiness.
    pub fn start(daemons: &[Daemon]) -> Self {
        let hosts = daemons.iter().map(|daemon| Host {
            listen: daemon.spec().listen,
            admin: daemon.spec().admin_listen,
            ready: AtomicBool::new(true),
        });
        let hosts = Arc::new(hosts.collect::<Vec<_>>());
        let stop = Arc::new(AtomicBool::new(false));
        for i in 0..hosts.len() {
            let hosts = Arc::clone(&hosts);
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || probe_readiness(&hosts[i], &stop));
        }
        Self { hosts, next: Arc::default(), _probes: Arc::new(ProbeGuard { stop }) }
    }

    /// Returns whether the host at index `i` is ready.
    pub fn is_ready(&self, i: usize) -> bool {
        self.hosts[i].ready.load(Ordering::Acquire)
    }

    /// Requests a completion and checks that it is complete; a cut stream is resumed at another host.
    pub async fn complete(&self, spec: &CompletionSpec) -> BalancedOutcome {
        let started = Instant::now();
        let mut outcome = BalancedOutcome { first_token: None, refused: 0, cut: 0, failed: None };
        let mut parts: Vec<CompletionStream> = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let Some(host) = self.pick_host(started).await else { break };
            let last = parts.iter().rev().find_map(|part| part.last_id.as_ref());
            let mut stream = match CompletionStream::open(host.listen, spec, last).await {
                Ok(OpenResult::Stream(stream)) => *stream,
                Ok(OpenResult::Failed(problem)) => {
                    outcome.failed = Some(format!("{problem:?}"));
                    return outcome;
                }
                Err(_) => {
                    host.ready.store(false, Ordering::Release);
                    outcome.refused += 1;
                    continue;
                }
            };
            if stream.read_tokens(1).await.is_ok() {
                outcome.first_token.get_or_insert_with(|| started.elapsed());
            }
            let end = stream.finish().await;
            parts.push(stream);
            match end {
                Ok(StreamEnd::Done) => {
                    let parts: Vec<_> = parts.iter().collect();
                    outcome.failed = check_complete(spec, &parts).err().map(|e| e.to_string());
                    return outcome;
                }
                Ok(StreamEnd::Failed(problem)) => {
                    outcome.failed = Some(format!("{problem:?}"));
                    return outcome;
                }
                Err(_) => outcome.cut += 1,
            }
        }
        outcome.failed = Some("no ready host accepted the request".into());
        outcome
    }

    async fn pick_host(&self, started: Instant) -> Option<&Host> {
        while started.elapsed() < MAX_READY_WAIT {
            let first = self.next.fetch_add(1, Ordering::Relaxed);
            let ready = (0..self.hosts.len()).map(|i| (first + i) % self.hosts.len());
            if let Some(i) = ready.into_iter().find(|&i| self.is_ready(i)) {
                return Some(&self.hosts[i]);
            }
            tokio::time::sleep(PROBE_INTERVAL / 4).await;
        }
        None
    }
}

impl Drop for ProbeGuard {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
    }
}

fn probe_readiness(host: &Host, stop: &AtomicBool) {
    let url = format!("http://{}/readyz", host.admin);
    while !stop.load(Ordering::Acquire) {
        let response =
            attohttpc::get(&url).timeout(PROBE_TIMEOUT).connect_timeout(PROBE_TIMEOUT).send();
        let ready = response.is_ok_and(|response| response.is_success());
        host.ready.store(ready, Ordering::Release);
        std::thread::sleep(PROBE_INTERVAL);
    }
}
