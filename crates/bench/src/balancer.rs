//! The platform's balancer: it sends to hosts that are ready, and to another when one refuses.

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

/// Time between two looks at a host's readiness.
const PERIOD: Duration = Duration::from_millis(20);

/// Time for a look.
const TIMEOUT: Duration = Duration::from_millis(200);

/// Time to wait for any host to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Most hosts tried for one request.
const MAX_TRIES: usize = 200;

/// Chooses among the hosts that are ready.
#[derive(Clone)]
pub struct Balancer {
    hosts: Arc<Vec<Host>>,
    next: Arc<AtomicUsize>,
    _watch: Arc<Watch>,
}

struct Host {
    listen: SocketAddr,
    admin: SocketAddr,
    ready: AtomicBool,
}

/// Ends the threads that look at readiness on drop.
struct Watch {
    stop: Arc<AtomicBool>,
}

/// How a request went.
#[derive(Clone, Debug, PartialEq)]
pub struct Balanced {
    /// From the caller's request to the first token, waiting for a ready host included.
    pub first_token: Option<Duration>,
    /// Connections that were refused and tried at another host.
    pub refused: u64,
    /// Streams that were cut and resumed, or asked again, at another host.
    pub cut: u64,
    /// Why there is no whole answer.
    pub failed: Option<String>,
}

impl Balancer {
    /// Starts to look at the daemons' readiness.
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
            std::thread::spawn(move || watch(&hosts[i], &stop));
        }
        Self { hosts, next: Arc::default(), _watch: Arc::new(Watch { stop }) }
    }

    /// Returns whether the host with number `i` is ready.
    pub fn is_ready(&self, i: usize) -> bool {
        self.hosts[i].ready.load(Ordering::Acquire)
    }

    /// Asks for a completion and checks that it is whole; a cut stream goes on at another host.
    pub async fn ask(&self, ask: &CompletionSpec) -> Balanced {
        let begun = Instant::now();
        let mut balanced = Balanced { first_token: None, refused: 0, cut: 0, failed: None };
        let mut parts: Vec<CompletionStream> = Vec::new();
        for _ in 0..MAX_TRIES {
            let Some(host) = self.pick(begun).await else { break };
            let last = parts.iter().rev().find_map(|part| part.last_id.as_ref());
            let mut stream = match CompletionStream::open(host.listen, ask, last).await {
                Ok(OpenResult::Stream(stream)) => *stream,
                Ok(OpenResult::Failed(problem)) => {
                    balanced.failed = Some(format!("{problem:?}"));
                    return balanced;
                }
                Err(_) => {
                    host.ready.store(false, Ordering::Release);
                    balanced.refused += 1;
                    continue;
                }
            };
            if stream.read_tokens(1).await.is_ok() {
                balanced.first_token.get_or_insert_with(|| begun.elapsed());
            }
            let end = stream.finish().await;
            parts.push(stream);
            match end {
                Ok(StreamEnd::Done) => {
                    let parts: Vec<_> = parts.iter().collect();
                    balanced.failed = check_complete(ask, &parts).err().map(|e| e.to_string());
                    return balanced;
                }
                Ok(StreamEnd::Failed(problem)) => {
                    balanced.failed = Some(format!("{problem:?}"));
                    return balanced;
                }
                Err(_) => balanced.cut += 1,
            }
        }
        balanced.failed = Some("no host took the request".into());
        balanced
    }

    async fn pick(&self, begun: Instant) -> Option<&Host> {
        while begun.elapsed() < READY_TIMEOUT {
            let first = self.next.fetch_add(1, Ordering::Relaxed);
            let ready = (0..self.hosts.len()).map(|i| (first + i) % self.hosts.len());
            if let Some(i) = ready.into_iter().find(|&i| self.is_ready(i)) {
                return Some(&self.hosts[i]);
            }
            tokio::time::sleep(PERIOD / 4).await;
        }
        None
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
    }
}

fn watch(host: &Host, stop: &AtomicBool) {
    let url = format!("http://{}/readyz", host.admin);
    while !stop.load(Ordering::Acquire) {
        let answer = attohttpc::get(&url).timeout(TIMEOUT).connect_timeout(TIMEOUT).send();
        let ready = answer.is_ok_and(|answer| answer.is_success());
        host.ready.store(ready, Ordering::Release);
        std::thread::sleep(PERIOD);
    }
}
