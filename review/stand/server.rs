//! Stand-ins of servers: engines that stream and plain servers, with status reports.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Head},
    record::Record,
};

/// `heartbeatMs` of the settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Events of a stream, and the time between them.
const EVENTS: u32 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// Work of a plain request.
const WORK_TIME: Duration = Duration::from_millis(15);

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub server: String,
    pub request: String,
}

/// The use of a part of an engine's KV cache by a request.
#[derive(Clone, Debug)]
pub struct CacheUse {
    pub request: String,
    pub tenant: String,
    /// The tenant whose request made the part.
    pub maker: String,
}

/// What all servers share.
pub struct World {
    pub record: Arc<Record>,
    pub control: Vec<SocketAddr>,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// The tenant whose request made a cached part, by engine, salt and the parts up to it.
    cache: Mutex<BTreeMap<(String, String, String), String>>,
    cache_uses: Mutex<Vec<CacheUse>>,
    next_id: AtomicU64,
}

impl World {
    pub fn new(record: Arc<Record>, control: Vec<SocketAddr>) -> Arc<Self> {
        Arc::new(Self {
            record,
            control,
            arrivals: Mutex::default(),
            cache: Mutex::default(),
            cache_uses: Mutex::default(),
            next_id: AtomicU64::new(1),
        })
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no handler panics").clone()
    }

    pub fn cache_uses(&self) -> Vec<CacheUse> {
        self.cache_uses.lock().expect("no handler panics").clone()
    }

    /// Runs a prompt on an engine's cache: parts that it holds under the salt are used as far as all
    /// parts before them are held too, and the others are made.
    fn run_prompt(&self, engine: &str, head: &Head, request: &str) {
        let prompt = head.field("x-prompt-prefix").unwrap_or_default();
        let salt = head.field("x-cache-salt").unwrap_or_default();
        let tenant = head.field("x-tenant").unwrap_or_default();
        let mut cache = self.cache.lock().expect("no handler panics");
        let (mut chain, mut is_held) = (String::new(), true);
        for part in prompt.split(',') {
            chain += part;
            let key = (engine.to_owned(), salt.to_owned(), chain.clone());
            match cache.get(&key).filter(|_| is_held) {
                Some(maker) => {
                    if maker != tenant {
                        self.record.line(format!(
                            "engine {engine} runs {request} of {tenant} on part {part} that a request of \
                             {maker} made, salt {salt}"
                        ));
                    }
                    let (request, tenant) = (request.to_owned(), tenant.to_owned());
                    let cache_use = CacheUse { request, tenant, maker: maker.clone() };
                    self.cache_uses.lock().expect("no handler panics").push(cache_use);
                }
                None => {
                    is_held = false;
                    cache.insert(key, tenant.to_owned());
                }
            }
        }
    }
}

struct State {
    id: String,
    born: u64,
    sequence: u64,
    is_up: bool,
    reports: bool,
    has_left: bool,
    open: BTreeMap<u64, TcpStream>,
    acknowledged: u32,
}

pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    service: &'static str,
    model: Option<&'static str>,
    zone: &'static str,
    world: Arc<World>,
    state: Mutex<State>,
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}

impl Server {
    pub fn start(
        world: &Arc<World>,
        name: &str,
        ip: IpAddr,
        service: &'static str,
        model: Option<&'static str>,
        zone: &'static str,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).expect("a free port");
        let server = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr().expect("it is bound"),
            service,
            model,
            zone,
            world: Arc::clone(world),
            state: Mutex::new(State {
                id: new_id(world),
                born: unix_millis(),
                sequence: 0,
                is_up: true,
                reports: true,
                has_left: false,
                open: BTreeMap::new(),
                acknowledged: 0,
            }),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || accepting.accept(listener));
        let reporting = Arc::clone(&server);
        thread::spawn(move || reporting.report());
        server
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no handler panics")
    }

    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    pub fn acknowledged(&self) -> u32 {
        self.lock().acknowledged
    }

    /// Sends no more status reports, and returns the body of a deregistration.
    pub fn stop_reports(&self) -> (String, String) {
        let mut state = self.lock();
        state.reports = false;
        let path = format!("/instances/{}/deregister", state.id);
        (path, format!("{{\"born\":{}}}", state.born))
    }

    /// Ends the process for good.
    pub fn exit(&self) {
        let mut state = self.lock();
        state.has_left = true;
        state.reports = false;
        self.end(&mut state);
    }

    fn end(&self, state: &mut State) {
        state.is_up = false;
        for (_, stream) in std::mem::take(&mut state.open) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let is_up = {
                let state = self.lock();
                if state.has_left {
                    return;
                }
                state.is_up
            };
            if !is_up {
                listener = None;
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(bound) = &listener else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let _ = bound.set_nonblocking(true);
            match bound.accept() {
                Ok((stream, _)) => {
                    let server = Arc::clone(&self);
                    thread::spawn(move || server.serve(stream));
                }
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        {
            let mut state = self.lock();
            if !state.is_up {
                return;
            }
            let Ok(clone) = stream.try_clone() else { return };
            state.open.insert(number, clone);
        }
        // Errors are ignored: the other side may have closed the connection.
        let _ = self.respond(&stream);
        self.lock().open.remove(&number);
    }

    fn respond(self: &Arc<Self>, stream: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let head = http::read_head(&mut reader)?;
        let (_, complete) = http::read_body(&head, &mut reader);
        if !complete {
            return Ok(());
        }
        let from = stream.peer_addr()?.ip();
        let id = self.id();
        let (method, path) = head.target();
        let mut to = stream;
        if (method, path) == ("GET", "/report") {
            let models = match self.model {
                Some(model) => format!("[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}]"),
                None => "[]".to_owned(),
            };
            let report = format!(
                "{{\"stage\":\"both\",\"models\":{models},\"busy\":false,\"seqNo\":0,\"queued\":0,\
                 \"running\":0,\"kvUsed\":0,\"kvTotal\":70946,\"handles\":0}}"
            );
            return write_whole(&mut to, "200 OK", &[], &report);
        }
        if head.field("x-expect-instance").is_some_and(|expected| expected != id) {
            let fields = [("X-Instance-Id", id.as_str()), ("X-Not-Executed", "1")];
            return write_whole(&mut to, "421 Misdirected Request", &fields, "");
        }
        let request = head.field("x-request-id").unwrap_or_default().to_owned();
        let arrival =
            Arrival { at: Instant::now(), server: self.name.clone(), request: request.clone() };
        self.world.record.line_at(
            arrival.at,
            format!("server {} gets {method} {path} {request} from {from}", self.name),
        );
        self.world.arrivals.lock().expect("no handler panics").push(arrival);
        let mut fields = vec![("X-Request-Id", request.as_str())];
        fields.push(("X-Response-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"));
        fields.push(("X-Instance-Id", id.as_str()));
        if self.model.is_some() {
            fields.push(("X-Weight-Versions", "1"));
        }
        match self.model {
            Some(_) => {
                self.world.run_prompt(&self.name, &head, &request);
                write_stream(to, &head, &fields)
            }
            None => {
                thread::sleep(WORK_TIME);
                write_whole(&mut to, "200 OK", &fields, &format!("done {request}"))
            }
        }
    }

    /// Reports to the machines that serve control in turn; each has a second to acknowledge, and the
    /// pause after a failure grows.
    fn report(self: Arc<Self>) {
        let mut node = self.address.port() as usize;
        let mut backoff = Duration::ZERO;
        loop {
            let (body, path) = {
                let mut state = self.lock();
                if state.has_left || !state.reports {
                    return;
                }
                if !state.is_up {
                    drop(state);
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
                state.sequence += 1;
                let path = format!("POST /instances/{}/heartbeat", state.id);
                (self.status_report(&state), path)
            };
            let to = self.world.control[node % self.world.control.len()];
            let sent = http::send(to, &path, &[], &body, Duration::from_secs(1));
            let is_acknowledged = sent.is_ok_and(|response| response.status == 200);
            if is_acknowledged {
                let mut state = self.lock();
                state.acknowledged += 1;
                drop(state);
                backoff = Duration::ZERO;
                thread::sleep(HEARTBEAT_INTERVAL);
            } else {
                node += 1;
                backoff = (backoff * 2).clamp(Duration::from_millis(100), Duration::from_secs(1));
                thread::sleep(backoff);
            }
        }
    }

    fn status_report(&self, state: &State) -> String {
        let engine = match self.model {
            Some(model) => format!(
                "\"stage\":\"both\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}],"
            ),
            None => String::new(),
        };
        let slots = if self.model.is_some() { 48 } else { 6 };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,{engine}\"seqNo\":{},\"born\":{}}}",
            self.service, self.address, self.zone, state.sequence, state.born
        )
    }
}

fn new_id(world: &World) -> String {
    let number = world.next_id.fetch_add(1, Ordering::Relaxed);
    format!("i-{:08x}", 0x7f3a_0000_u64 + number * 0x1f3)
}

fn write_whole(
    to: &mut &TcpStream,
    status: &str,
    fields: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    to.write_all(text.as_bytes())
}

fn stream_head(fields: &[(&str, &str)]) -> String {
    let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n".to_owned();
    text += "Content-Type: text/event-stream\r\n";
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text + "\r\n"
}

fn write_stream(mut to: &TcpStream, head: &Head, fields: &[(&str, &str)]) -> io::Result<()> {
    let last: u32 = head.field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    to.write_all(stream_head(fields).as_bytes())?;
    for id in last + 1..=EVENTS {
        thread::sleep(EVENT_INTERVAL);
        let event = format!("id: {id}\ndata: token {id}\n\n");
        to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    to.write_all(b"0\r\n\r\n")
}
