//! Streams of events from endpoints to callers.

use std::time::Duration;

use base::{ByteCount, MonotonicTime, Verdict};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{Response, StatusCode};
use telemetry::Recorder;
use tokio::time::Instant;
use wire::sse::Cutter;

use crate::net::AbortOnDrop;

use super::{
    ActiveRequest, Dialect,
    body::{Body, Cut},
    exchange::{self, EVENT_TIMEOUT, Exchange, Opened},
    headers,
};

/// Pieces that wait for a slow caller.
const RING: usize = 16;

/// Longest wait for another engine to begin while the one before still works.
const MOVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest event that is held to be passed on whole.
const MAX_EVENT: ByteCount = ByteCount::new(1 << 20);

/// How an endpoint's part of a stream ended.
enum PartEnd {
    /// The endpoint ended it.
    Complete,
    /// The caller has left.
    CallerGone,
    /// It broke off, or no event came in time.
    Broken(String),
    /// It had better go on elsewhere, as its engine is about to load weights; the retry is paid for.
    MayMove,
    /// The request's time is over.
    TimedOut,
}

/// When a stream's events came.
struct Pace {
    arrived: MonotonicTime,
    /// From the request's arrival to the first event.
    first: Option<Duration>,
    /// From one event to the next, at most.
    longest_gap: Duration,
    last: MonotonicTime,
}

impl Pace {
    fn new(arrived: MonotonicTime) -> Self {
        Self { arrived, first: None, longest_gap: Duration::ZERO, last: arrived }
    }

    fn event(&mut self, now: MonotonicTime, recorder: &Recorder) {
        match self.first {
            None => {
                let first = now.saturating_since(self.arrived);
                recorder.first_token(first);
                self.first = Some(first);
            }
            Some(_) => {
                let gap = now.saturating_since(self.last);
                recorder.between_tokens(gap);
                self.longest_gap = gap.max(self.longest_gap);
            }
        }
        self.last = now;
    }
}

fn log_complete<D: Dialect>(exchange: &Exchange<D>, opened: &Opened, pace: &Pace) {
    let took = exchange.finish();
    log::info!(request:% = exchange.arrival.id, route = &*exchange.route.name,
        endpoint:% = opened.in_flight.target().endpoint, attempts = exchange.attempts(),
        weights = opened.sent.weights, outdated_ms = millis(opened.sent.outdated),
        first_ms = millis(pace.first.unwrap_or_default()), gap_ms = millis(pace.longest_gap),
        took_ms = millis(took); "stream answered");
}

/// Logs that an engine began a request after the bound on its weights.
fn note_outdated_start<D: Dialect>(exchange: &Exchange<D>, opened: &Opened, now: MonotonicTime) {
    let outdated = exchange.outdated_for(opened.sent.weights, now);
    if outdated < exchange.gateway.cfg.weights_bound {
        return;
    }
    log::warn!(request:% = exchange.arrival.id, endpoint:% = opened.in_flight.target().endpoint,
        weights = opened.sent.weights, sent_outdated_ms = millis(opened.sent.outdated),
        waited_ms = millis(now.saturating_since(opened.sent.at)), outdated_ms = millis(outdated);
        "a stream began on outdated weights");
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Passes a stream on to the caller, under the head of its first endpoint.
pub(super) fn begin<D: Dialect>(
    exchange: Exchange<D>,
    opened: Opened,
    active: ActiveRequest,
) -> Response<Body> {
    let (tx, rx) = flume::bounded(RING);
    let headers = headers::end_to_end(opened.response.headers());
    let task = AbortOnDrop(tokio::task::spawn_local(pump(exchange, opened, tx)));
    let mut response = Response::new(Body::relayed(rx, task, active));
    *response.headers_mut() = headers;
    response
}

/// Moves events until the stream's end; a resumable one goes on at another endpoint.
async fn pump<D: Dialect>(
    mut exchange: Exchange<D>,
    opened: Opened,
    tx: flume::Sender<Result<Bytes, Cut>>,
) {
    let mut last_id: Option<String> = None;
    let mut pace = Pace::new(exchange.arrived);
    let mut part = Part::new(&exchange, opened);
    loop {
        let end = pass_events(&exchange, &mut part, &tx, &mut last_id, &mut pace).await;
        let why = match end {
            PartEnd::Complete => return log_complete(&exchange, &part.opened, &pace),
            PartEnd::CallerGone => {
                log::info!(request:% = exchange.arrival.id; "the caller left");
                return;
            }
            PartEnd::MayMove => {
                move_on(&mut exchange, &mut part, last_id.as_deref()).await;
                continue;
            }
            PartEnd::TimedOut => "the request's time is over".to_owned(),
            PartEnd::Broken(why) => {
                let endpoint = part.opened.in_flight.target().endpoint.clone();
                log::info!(request:% = exchange.arrival.id, endpoint:%, why; "a stream broke off");
                // The endpoint's connection closes before the stream goes on elsewhere.
                drop(part);
                match resume(&mut exchange, last_id.as_deref()).await {
                    Ok(next) => {
                        part = Part::new(&exchange, next);
                        continue;
                    }
                    Err(why) => why,
                }
            }
        };
        let last_id = last_id.unwrap_or_default();
        log::warn!(request:% = exchange.arrival.id, last_event = last_id, why; "stream cut");
        exchange.recorder.verdict(Verdict::MayHaveRun);
        let _ = tx.send_async(Err(Cut)).await;
        return;
    }
}

/// An endpoint's part of a stream.
struct Part {
    opened: Opened,
    cutter: Cutter,
    /// Whether its first event has come.
    begun: bool,
    /// Whether it may go on elsewhere before it has ended.
    may_move: bool,
}

impl Part {
    fn new<D: Dialect>(exchange: &Exchange<D>, opened: Opened) -> Self {
        let may_move = exchange.route.repetition.may_repeat();
        Self { opened, cutter: Cutter::new(MAX_EVENT), begun: false, may_move }
    }
}

/// Opens the rest of a stream elsewhere and leaves its engine; where that fails, it stays.
async fn move_on<D: Dialect>(exchange: &mut Exchange<D>, part: &mut Part, last_id: Option<&str>) {
    part.may_move = false;
    let from = part.opened.in_flight.target().endpoint.clone();
    let moving = tokio::time::timeout(MOVE_TIMEOUT, go_on(exchange, last_id)).await;
    let outcome = match moving {
        Ok(Ok(next)) => {
            // The engine before stops as its connection closes.
            *part = Part::new(exchange, next);
            "moved".to_owned()
        }
        Ok(Err(why)) => why,
        Err(_) => "no other engine began in time".to_owned(),
    };
    let to = &part.opened.in_flight.target().endpoint;
    log::info!(request:% = exchange.arrival.id, from:%, to:%, outcome;
        "a stream leaves an engine that loads weights");
}

async fn resume<D: Dialect>(
    exchange: &mut Exchange<D>,
    last_id: Option<&str>,
) -> Result<Opened, String> {
    if !exchange.may_repeat() {
        return Err("it may not be sent again".to_owned());
    }
    go_on(exchange, last_id).await
}

/// Opens the rest of a stream at another endpoint.
async fn go_on<D: Dialect>(
    exchange: &mut Exchange<D>,
    last_id: Option<&str>,
) -> Result<Opened, String> {
    let opening = tokio::time::timeout_at(exchange.deadline, exchange.open(last_id)).await;
    let opened = opening.map_err(|_| "no endpoint went on in time".to_owned())?;
    let opened = opened.map_err(|failure| failure.detail)?;
    match opened.response.status() {
        StatusCode::OK => {
            exchange.recorder.resume();
            Ok(opened)
        }
        status => Err(format!("the next endpoint answered {status}")),
    }
}

async fn pass_events<D: Dialect>(
    exchange: &Exchange<D>,
    part: &mut Part,
    tx: &flume::Sender<Result<Bytes, Cut>>,
    last_id: &mut Option<String>,
    pace: &mut Pace,
) -> PartEnd {
    let resumable = exchange.route.repetition.may_repeat();
    let Part { opened, cutter, begun, may_move } = part;
    loop {
        let silence = if resumable { Instant::now() + EVENT_TIMEOUT } else { exchange.deadline };
        let until = silence.min(exchange.deadline);
        let body = opened.response.body_mut();
        let lost = exchange::lost(&exchange.gateway, opened.in_flight.target(), resumable);
        let framed = tokio::select! {
            biased;
            framed = tokio::time::timeout_at(until, body.frame()) => framed,
            () = exchange::paused(opened.in_flight.target()), if *may_move && last_id.is_some() => {
                if exchange.may_move() {
                    return PartEnd::MayMove;
                }
                *may_move = false;
                continue;
            }
            () = exchange.too_late_to_begin(opened.sent.weights), if !*begun => {
                return PartEnd::Broken(exchange::TOO_LATE.to_owned());
            }
            () = lost => {
                return PartEnd::Broken("the endpoint can't be reached any more".to_owned());
            }
        };
        let frame = match framed {
            Err(_) if exchange.deadline <= Instant::now() => return PartEnd::TimedOut,
            Err(_) => return PartEnd::Broken("no event in time".to_owned()),
            Ok(None) if cutter.is_within_event() => {
                return PartEnd::Broken("it ended within an event".to_owned());
            }
            Ok(None) => return PartEnd::Complete,
            Ok(Some(Err(e))) => return PartEnd::Broken(e.to_string()),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        let cut = match cutter.push(&data) {
            Ok(cut) => cut,
            Err(e) => return PartEnd::Broken(e.to_string()),
        };
        if cut.events == 0 {
            continue;
        }
        let now = exchange.gateway.clock.now();
        opened.in_flight.mark_prefilled();
        if !std::mem::replace(begun, true) {
            note_outdated_start(exchange, opened, now);
        }
        pace.event(now, &exchange.recorder);
        if let Some(id) = cut.last_id {
            *last_id = Some(id);
        }
        if tx.send_async(Ok(Bytes::from(cut.bytes))).await.is_err() {
            return PartEnd::CallerGone;
        }
    }
}
