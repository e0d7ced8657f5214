//! A small deployment after `sites/ddpc-reach.toml`: machines, servers, the operator and callers.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, ZONES, wait_for},
    http::{self, Response},
    record::Record,
    server::{Server, World},
};

pub const KEY: &str = "ctnfzs989anu6wsjnban";
pub const OTHER_KEY: &str = "fqasnmgkcuyj8pjbvk9m";
/// The tenants that hold these keys.
pub const TENANT: &str = "sese880";
pub const OTHER_TENANT: &str = "vovi114";
pub const HOST: &str = "jepu9.example";
const MODEL: &str = "daka510000";

/// Seconds after the start at which callers come ("Traffic starts 10 s after the machines do").
const TRAFFIC_START: Duration = Duration::from_secs(10);

pub struct Site {
    pub fleet: Fleet,
    pub world: Arc<World>,
    pub engines: Vec<Arc<Server>>,
    pub desks: Vec<Arc<Server>>,
    pub record: Arc<Record>,
}

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub path: String,
    pub at: Instant,
    /// The status and whether the answer is whole; nothing if the connection failed.
    pub answer: Option<(u16, bool)>,
}

impl Sent {
    pub fn is_served(&self) -> bool {
        self.answer == Some((200, true))
    }
}

/// A request without its id.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub body: String,
    pub deadline_ms: u64,
    pub prompt: Option<String>,
    pub key: &'static str,
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

impl Request {
    pub fn order_status(n: u64) -> Self {
        Self {
            method: "GET",
            path: format!("/status/{}", n % 40),
            body: String::new(),
            deadline_ms: 1_500,
            prompt: None,
            key: KEY,
        }
    }

    /// A lookup on the route that version 2 adds.
    pub fn history(n: u64) -> Self {
        Self { path: format!("/history/{}", n % 40), ..Self::order_status(n) }
    }

    pub fn proof_check(n: u64, body: &str) -> Self {
        let own = n.wrapping_mul(0x9e37_79b9) as u32;
        Self {
            method: "POST",
            path: "/proofs/2f".to_owned(),
            body: body.to_owned(),
            deadline_ms: 6_000,
            prompt: Some(format!("5c1e07a2:4000,91bd3f06:2300,{own:08x}:2890")),
            key: KEY,
        }
    }

    /// Sends it to a front machine, and records what was sent and answered.
    pub fn send(&self, record: &Record, front: SocketAddr) -> Sent {
        let id = format!("{:016x}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed) * 0x1_0001);
        let mut fields = vec![
            ("Host", HOST.to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Ms", self.deadline_ms.to_string()),
            ("Authorization", format!("Token {}", self.key)),
        ];
        if let Some(prompt) = &self.prompt {
            fields.push(("X-Model", MODEL.to_owned()));
            fields.push(("X-Token-Count", "9190,13".to_owned()));
            fields.push(("X-Prompt-Prefix", prompt.clone()));
        }
        let start = format!("{} {}", self.method, self.path);
        let at = Instant::now();
        record.line_at(at, format!("caller sends {start} {id} to {front}"));
        let timeout = Duration::from_millis(self.deadline_ms + 500);
        let response = http::send(front, &start, &fields, &self.body, timeout);
        let answer =
            response.as_ref().ok().map(|Response { status, complete, .. }| (*status, *complete));
        record.line(format!("caller gets {answer:?} for {id}"));
        Sent { id, path: self.path.clone(), at, answer }
    }
}

/// Callers that send requests at a steady rate, each to the next front machine.
pub struct Load {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    thread: JoinHandle<()>,
}

impl Load {
    pub fn start(
        site: &Site,
        interval: Duration,
        make: impl Fn(u64) -> Request + Send + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let fronts: Vec<_> = (0..site.fleet.fronts.len()).map(|i| site.fleet.front(i)).collect();
        let record = Arc::clone(&site.record);
        let (stopped, all) = (Arc::clone(&stop), Arc::clone(&sent));
        let thread = thread::spawn(move || {
            let mut running = Vec::new();
            let mut due = Instant::now();
            for n in 0.. {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let (request, front) = (make(n), fronts[n as usize % fronts.len()]);
                let (record, all) = (Arc::clone(&record), Arc::clone(&all));
                running.push(thread::spawn(move || {
                    let sent = request.send(&record, front);
                    all.lock().expect("no caller panics").push(sent);
                }));
                running.retain(|caller: &JoinHandle<()>| !caller.is_finished());
                due += interval;
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
            running.into_iter().for_each(|caller| drop(caller.join()));
        });
        Self { stop, sent, thread }
    }

    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        let sent = self.sent.lock().expect("no caller panics");
        sent.clone()
    }
}

impl Site {
    /// Starts the machines and servers, and waits until callers may come.
    ///
    /// # Errors
    ///
    /// Returns why the case can't run.
    pub fn start(
        folder: &Path,
        record: &Arc<Record>,
        fronts: usize,
        engines: usize,
        desks: usize,
    ) -> Result<Self, String> {
        let fleet = Fleet::start(folder, 5, fronts);
        let world = World::new(Arc::clone(record), fleet.control());
        let mut site = Self {
            fleet,
            world,
            engines: Vec::new(),
            desks: Vec::new(),
            record: Arc::clone(record),
        };
        site.publish(1, &Content::default())?;
        for i in 0..engines {
            let ip = site.fleet.ip(100 + i as u8);
            let name = format!("engine-{}", i + 1);
            let engine =
                Server::start(&site.world, &name, ip, "huvo11a", Some(MODEL), ZONES[i % 3]);
            site.engines.push(engine);
        }
        for i in 0..desks {
            let ip = site.fleet.ip(150 + i as u8);
            let name = format!("desk-{}", i + 1);
            site.desks.push(Server::start(&site.world, &name, ip, "kafi81c", None, ZONES[i % 3]));
        }
        let is_ready = wait_for(Duration::from_secs(15), || {
            (0..fronts).all(|front| site.fleet.is_ready(front))
                && site.engines.iter().chain(&site.desks).all(|server| 2 <= server.acknowledged())
        });
        if !is_ready {
            return Err("the front machines are not ready".to_owned());
        }
        thread::sleep(TRAFFIC_START.saturating_sub(record.elapsed()));
        record.say("the machines and servers are ready");
        Ok(site)
    }

    /// Sends a configuration until a machine acknowledges it.
    ///
    /// # Errors
    ///
    /// Returns an error if none does in time.
    pub fn publish(&self, version: u64, content: &Content) -> Result<(), String> {
        let body = configuration_with(version, content);
        let is_acknowledged = wait_for(Duration::from_secs(15), || {
            self.fleet.control().into_iter().any(|to| {
                let sent = http::send(to, "POST /config/put", &[], &body, Duration::from_secs(1));
                let status = sent.map(|response| response.status);
                self.record
                    .line(format!("POST /config/put, version {version}, to {to}: {status:?}"));
                matches!(status, Ok(200))
            })
        });
        if is_acknowledged {
            Ok(())
        } else {
            Err(format!("version {version} was not acknowledged"))
        }
    }

    /// Names the machine of each address, for readers of the record.
    pub fn record_names(&self) {
        for machine in self.fleet.cores.iter().chain(&self.fleet.fronts) {
            self.record.line(format!("machine {} has {}", machine.name, machine.ip));
        }
        for server in self.engines.iter().chain(&self.desks) {
            self.record.line(format!("server {} has {}", server.name, server.address));
        }
    }
}

/// The routes, services and bounds of the site, in the form of `PROTOCOL.md`.
pub fn configuration(version: u64) -> String {
    configuration_with(version, &Content::default())
}

/// What configurations differ in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Content {
    /// Whether [`TENANT`] is isolated.
    pub is_isolated: bool,
    /// Whether there is a route for `/history/`, to the service of `/status/`.
    pub has_history: bool,
}

pub fn configuration_with(version: u64, content: &Content) -> String {
    let is_isolated = content.is_isolated;
    let route = |name: &str, prefix: &str, kind: &str, timeout: u64, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"public\":false,{more}}}"
        )
    };
    let mut routes = vec![
        route(
            "r-proofs",
            "/proofs/",
            "stream",
            6000,
            "\"sloMs\":1000,\"priority\":1,\
            \"service\":\"huvo11a\",\"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"gapAimMs\":400",
        ),
        route(
            "r-notes",
            "/notes/",
            "stream",
            15000,
            "\"sloMs\":600,\"priority\":0,\
            \"service\":\"huvo11a\",\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapAimMs\":400",
        ),
        route(
            "r-orders",
            "/orders/",
            "non_idempotent",
            1500,
            "\"sloMs\":120,\"priority\":1,\
            \"service\":\"kafi81c\",\"maxAttempts\":1,\"sticky\":false,\"resumable\":false",
        ),
        route(
            "r-status",
            "/status/",
            "idempotent",
            1500,
            "\"sloMs\":120,\"priority\":1,\
            \"service\":\"kafi81c\",\"maxAttempts\":2,\"sticky\":false,\"resumable\":false",
        ),
    ];
    if content.has_history {
        routes.push(route(
            "r-history",
            "/history/",
            "idempotent",
            1500,
            "\"sloMs\":120,\"priority\":1,\
            \"service\":\"kafi81c\",\"maxAttempts\":2,\"sticky\":false,\"resumable\":false",
        ));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"huvo11a\",\
         \"healthPath\":\"/health\",\"maxConns\":300,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":48,\"kvTokens\":70946,\"kvTokenBytes\":131072,\"linkMbps\":280000.0,\
         \"moves\":true,\"backups\":true,\"stride\":4,\"maxInflight\":12,\"pinMs\":4000.0,\
         \"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}},\
         {{\"name\":\"kafi81c\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"{TENANT}\",\
         \"apiKeys\":[\"{KEY}\"],\"priority\":1,\"isolated\":{is_isolated}}},{{\"name\":\
         \"{OTHER_TENANT}\",\"apiKeys\":[\"{OTHER_KEY}\"],\"priority\":1,\"isolated\":false}}]}}",
        routes.join(",")
    )
}

/// A folder of this run, removed at its end unless `KEEP` is set.
pub struct RunFolder(pub PathBuf);

impl Drop for RunFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
