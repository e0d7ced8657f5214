//! Relays event streams from endpoints to callers.

use std::{rc::Rc, sync::Arc, time::Duration};

use base::{MonotonicTime, Verdict};
use bytes::Bytes;
use hyper::{Response, StatusCode};
use telemetry::Recorder;
use tokio::time::Instant;

use crate::{failure::Failure, net::AbortOnDrop};

use super::{
    ActiveRequest, Dialect,
    body::Body,
    caller_stream::{CallerStream, SendError},
    exchange::{self, EVENT_TIMEOUT, Exchange, StartedResponse},
    segment::{self, Received, Segment},
};

/// Longest wait for another engine to start while the current one still serves the stream.
const MIGRATION_TIMEOUT: Duration = Duration::from_millis(300);

/// Time from a stream's first event in which its prompt may still be what crashes the engine.
const CRASH_WINDOW: Duration = Duration::from_millis(300);

/// How an endpoint's segment of a stream ended.
enum SegmentEnd {
    /// The endpoint ended the stream.
    Complete,
    /// The caller has disconnected.
    CallerDisconnected,
    /// The endpoint closed the connection before the end.
    BrokenOff(String),
    /// The endpoint must not go on: its events are malformed, or it may no longer start.
    Cancelled(String),
    /// No event arrived in time, or the endpoint seems unreachable; it may still go on.
    Stalled(String),
    /// The engine is about to load weights; the stream migrates, and its retry was spent from the
    /// budget.
    Migrate,
    /// No memory is left for events that the caller hasn't read.
    MemoryFull,
    /// The request's deadline has passed.
    TimedOut,
}

/// Latency of a stream's events.
struct StreamTiming {
    arrived: MonotonicTime,
    /// Time from the request's arrival to the first event.
    first: Option<Duration>,
    /// Longest time between two events.
    longest_gap: Duration,
    last: MonotonicTime,
}

impl StreamTiming {
    fn new(arrived: MonotonicTime) -> Self {
        Self { arrived, first: None, longest_gap: Duration::ZERO, last: arrived }
    }

    fn record_event(&mut self, now: MonotonicTime, recorder: &Recorder) {
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

fn log_complete<D: Dialect>(
    exchange: &Exchange<D>,
    started: &StartedResponse,
    timing: &StreamTiming,
) {
    let took = exchange.finish();
    log::info!(request:% = exchange.caller_request.id, route = &*exchange.route.name,
        endpoint:% = started.in_flight.target().endpoint, attempts = exchange.attempts(),
        configuration:% = exchange.active_configuration.number,
        unconfirmed_ms = millis(exchange.unconfirmed_at_arrival()),
        weights = started.sent.weights, outdated_ms = millis(started.sent.outdated),
        first_ms = millis(timing.first.unwrap_or_default()), gap_ms = millis(timing.longest_gap),
        took_ms = millis(took); "stream completed");
}

/// Logs that a stream broke off, with its prompt's shared parts; one of them may be the cause.
fn log_interrupted<D: Dialect>(exchange: &Exchange<D>, segment: &Segment, why: &str) {
    let now = exchange.gateway.clock.now();
    let written = segment.first_event.map_or(Duration::ZERO, |first| now.saturating_since(first));
    let parts: Vec<_> = exchange.shared_parts().map(|part| part.to_string()).collect();
    log::info!(request:% = exchange.caller_request.id,
        endpoint:% = segment.started.in_flight.target().endpoint, why,
        has_events = segment.first_event.is_some(), written_ms = millis(written),
        parts = parts.join(","), fingerprint:% = exchange.fingerprints.with_prompt;
        "stream interrupted");
}

/// Logs that an engine started a request after the staleness bound of its weights.
fn log_outdated_start<D: Dialect>(
    exchange: &Exchange<D>,
    started: &StartedResponse,
    now: MonotonicTime,
) {
    let outdated = exchange.outdated_for(started.sent.weights, now);
    if outdated < exchange.gateway.cfg.max_weights_staleness {
        return;
    }
    log::warn!(request:% = exchange.caller_request.id,
        endpoint:% = started.in_flight.target().endpoint, weights = started.sent.weights,
        sent_outdated_ms = millis(started.sent.outdated),
        waited_ms = millis(now.saturating_since(started.sent.at)), outdated_ms = millis(outdated);
        "stream started on outdated weights");
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Starts to relay a stream to the caller, with the header fields of the endpoint whose events come
/// first.
///
/// # Errors
///
/// Returns the failure of a stream that ended before its first event.
pub(super) async fn start<D: Dialect>(
    exchange: Exchange<D>,
    started: StartedResponse,
    active: ActiveRequest,
) -> Result<Response<Body>, Failure> {
    let (caller, receivers) = CallerStream::new(Arc::clone(&exchange.gateway.buffer_budget));
    let task = AbortOnDrop(tokio::task::spawn_local(relay_events(exchange, started, caller)));
    let headers = receivers.head.await.unwrap_or_else(|_| {
        Err(Failure::bad_gateway("the stream ended unexpectedly", Verdict::MayHaveRun))
    })?;
    let mut response = Response::new(Body::relayed(receivers.body, task, active));
    *response.headers_mut() = headers;
    Ok(response)
}

/// Relays events until the stream's end; a resumable stream that breaks off resumes elsewhere.
async fn relay_events<D: Dialect>(
    mut exchange: Exchange<D>,
    started: StartedResponse,
    mut caller: CallerStream,
) {
    let mut last_id: Option<String> = None;
    let mut timing = StreamTiming::new(exchange.arrived);
    let mut segment = segment_of(&exchange, started);
    loop {
        let end =
            relay_segment(&exchange, &mut segment, &mut caller, &mut last_id, &mut timing).await;
        let failure = match end {
            SegmentEnd::Complete => {
                record_end(&exchange, &segment);
                if let Some(slot) = segment.started.slot.take() {
                    slot.complete();
                }
                log_complete(&exchange, &segment.started, &timing);
                return caller.complete().await;
            }
            SegmentEnd::CallerDisconnected => {
                log::info!(request:% = exchange.caller_request.id; "caller disconnected");
                return;
            }
            SegmentEnd::Migrate => {
                migrate(&mut exchange, &mut segment, last_id.as_deref()).await;
                continue;
            }
            SegmentEnd::Stalled(why) => {
                replace_stalled(&mut exchange, &mut segment, last_id.as_deref(), &why).await;
                continue;
            }
            SegmentEnd::MemoryFull => {
                let detail = "no memory is left for events that the caller hasn't read";
                Failure::bad_gateway(detail, Verdict::MayHaveRun)
            }
            SegmentEnd::TimedOut => {
                Failure::timed_out("the request's deadline passed", Verdict::MayHaveRun)
            }
            SegmentEnd::BrokenOff(ref why) | SegmentEnd::Cancelled(ref why) => {
                log_interrupted(&exchange, &segment, why);
                if matches!(end, SegmentEnd::BrokenOff(_)) {
                    record_crash(&exchange, &segment);
                }
                // Closes the endpoint's connection before the stream resumes elsewhere.
                drop(segment);
                match resume(&mut exchange, last_id.as_deref()).await {
                    Ok(next) => {
                        segment = segment_of(&exchange, next);
                        continue;
                    }
                    Err(why) => Failure::bad_gateway(why, Verdict::MayHaveRun),
                }
            }
        };
        if caller.has_begun() {
            log_truncated(&exchange, last_id.as_deref(), &failure);
        }
        return caller.fail(failure);
    }
}

fn log_truncated<D: Dialect>(exchange: &Exchange<D>, last_id: Option<&str>, failure: &Failure) {
    log::warn!(request:% = exchange.caller_request.id, last_event = last_id.unwrap_or_default(),
        why = failure.detail; "stream truncated");
    failure.record(&exchange.recorder);
}

fn segment_of<D: Dialect>(exchange: &Exchange<D>, started: StartedResponse) -> Segment {
    let buffered = exchange.gateway.buffer_budget.begin();
    Segment::new(started, buffered, exchange.route.retry_policy.may_repeat())
}

/// Records that an engine ended as it began to answer, which the request may have caused.
fn record_crash<D: Dialect>(exchange: &Exchange<D>, segment: &Segment) {
    if segment.has_survived {
        return;
    }
    exchange.record_crash(segment.started.in_flight.target());
}

/// Records what a complete stream shows of its request.
fn record_end<D: Dialect>(exchange: &Exchange<D>, segment: &Segment) {
    let started = &segment.started;
    exchange.record_hold_time(started.in_flight.target(), &started.sent);
    if segment.has_survived || !segment.started.is_unframed {
        exchange.record_survival();
    } else {
        // Engines that run on end short streams so too.
        exchange.record_lost_connection(segment.started.in_flight.target());
    }
}

/// Migrates a stream to another engine; if that fails, it stays at the current one.
async fn migrate<D: Dialect>(
    exchange: &mut Exchange<D>,
    segment: &mut Segment,
    last_id: Option<&str>,
) {
    segment.may_migrate = false;
    let from = segment.started.in_flight.target().endpoint.clone();
    let resuming =
        tokio::time::timeout(MIGRATION_TIMEOUT, open_continuation(exchange, last_id)).await;
    let outcome = match resuming {
        Ok(Ok(next)) => {
            // The previous engine stops when its connection closes.
            *segment = segment_of(exchange, next);
            "moved".to_owned()
        }
        Ok(Err(why)) => why,
        Err(_) => "no other engine started in time".to_owned(),
    };
    let to = &segment.started.in_flight.target().endpoint;
    log::info!(request:% = exchange.caller_request.id, from:%, to:%, outcome;
        "stream migration from loading engine");
}

/// Resumes a stalled stream at another endpoint; its current one keeps it until then, and goes on if
/// it sends first or no other endpoint takes over.
async fn replace_stalled<D: Dialect>(
    exchange: &mut Exchange<D>,
    segment: &mut Segment,
    last_id: Option<&str>,
    why: &str,
) {
    if !exchange.try_replace() {
        return;
    }
    log_interrupted(exchange, segment, why);
    let outcome = match resume_unless_revived(exchange, segment, last_id).await {
        Some(Ok(next)) => {
            if segment.first_event.is_none() {
                let started = &segment.started;
                exchange.record_response_time(started.in_flight.target(), &started.sent);
            }
            *segment = segment_of(exchange, next);
            "moved".to_owned()
        }
        Some(Err(why)) => why,
        None => "its endpoint goes on".to_owned(),
    };
    let to = &segment.started.in_flight.target().endpoint;
    log::info!(request:% = exchange.caller_request.id, to:%, outcome; "stalled stream resumed");
}

/// Returns the continuation at another endpoint, or `None` if the current one goes on first.
async fn resume_unless_revived<D: Dialect>(
    exchange: &mut Exchange<D>,
    segment: &mut Segment,
    last_id: Option<&str>,
) -> Option<Result<StartedResponse, String>> {
    tokio::select! {
        biased;
        () = segment.wait_until_revived() => None,
        next = open_continuation(exchange, last_id) => Some(next),
    }
}

async fn resume<D: Dialect>(
    exchange: &mut Exchange<D>,
    last_id: Option<&str>,
) -> Result<StartedResponse, String> {
    if !exchange.try_repeat() {
        return Err("the request may not be retried".to_owned());
    }
    open_continuation(exchange, last_id).await
}

/// Resumes a stream at another endpoint, after the last delivered event.
async fn open_continuation<D: Dialect>(
    exchange: &mut Exchange<D>,
    last_id: Option<&str>,
) -> Result<StartedResponse, String> {
    let (gateway, deadline) = (Rc::clone(&exchange.gateway), exchange.deadline);
    let opening = gateway.stop_time.run_until(deadline, exchange.open(last_id)).await;
    let started = opening.map_err(|_| "no endpoint resumed in time".to_owned())?;
    let started = started.map_err(|failure| failure.detail)?;
    match started.response.status() {
        StatusCode::OK => {
            exchange.recorder.resume();
            Ok(started)
        }
        status => Err(format!("the next endpoint responded with {status}")),
    }
}

async fn relay_segment<D: Dialect>(
    exchange: &Exchange<D>,
    segment: &mut Segment,
    caller: &mut CallerStream,
    last_id: &mut Option<String>,
    timing: &mut StreamTiming,
) -> SegmentEnd {
    let resumable = exchange.route.retry_policy.may_repeat();
    let target = Rc::clone(segment.started.in_flight.target());
    let weights = segment.started.sent.weights;
    loop {
        let event_deadline =
            if resumable { Instant::now() + EVENT_TIMEOUT } else { exchange.deadline };
        let until = event_deadline.min(exchange.deadline);
        let may_migrate = segment.may_migrate && last_id.is_some();
        let has_started = segment.first_event.is_some();
        let unreachable = exchange::wait_until_unreachable(&exchange.gateway, &target, resumable);
        let received = tokio::select! {
            biased;
            received = tokio::time::timeout_at(until, segment.receive()) => received,
            () = exchange::wait_until_paused(&target), if may_migrate => {
                if exchange.try_migrate() {
                    return SegmentEnd::Migrate;
                }
                segment.may_migrate = false;
                continue;
            }
            () = exchange.wait_until_start_overdue(weights), if !has_started => {
                return SegmentEnd::Cancelled(exchange::NOT_STARTED_IN_TIME.to_owned());
            }
            () = exchange.gateway.stop_time.passed(), if !caller.has_begun() => {
                return SegmentEnd::TimedOut;
            }
            () = unreachable => {
                return SegmentEnd::Stalled(exchange::UNREACHABLE.to_owned());
            }
        };
        let events = match received {
            Err(_) if exchange.deadline <= Instant::now() => return SegmentEnd::TimedOut,
            Err(_) => return SegmentEnd::Stalled("no event in time".to_owned()),
            Ok(Received::End) if timing.first.is_none() => {
                return SegmentEnd::BrokenOff(segment::NO_EVENT.to_owned());
            }
            Ok(Received::End) => return SegmentEnd::Complete,
            Ok(Received::BrokenOff(why)) => return SegmentEnd::BrokenOff(why),
            Ok(Received::Malformed(why)) => return SegmentEnd::Cancelled(why),
            Ok(Received::Events(events)) => events,
        };
        record_events(exchange, segment, timing);
        if let Some(id) = events.last_id {
            *last_id = Some(id);
        }
        let bytes = Bytes::from(events.bytes);
        match caller.send(segment.started.response.headers(), bytes).await {
            Ok(()) => {}
            Err(SendError::Disconnected) => return SegmentEnd::CallerDisconnected,
            Err(SendError::MemoryFull) => return SegmentEnd::MemoryFull,
        }
    }
}

fn record_events<D: Dialect>(
    exchange: &Exchange<D>,
    segment: &mut Segment,
    timing: &mut StreamTiming,
) {
    let now = exchange.gateway.clock.now();
    segment.started.in_flight.mark_prefilled();
    if segment.first_event.is_none() {
        log_outdated_start(exchange, &segment.started, now);
        let started = &segment.started;
        exchange.gateway.record_prefill(now, started.in_flight.target(), &started.sent);
        exchange.record_response_time(started.in_flight.target(), &started.sent);
    }
    let first = *segment.first_event.get_or_insert(now);
    if !segment.has_survived && CRASH_WINDOW <= now.saturating_since(first) {
        segment.has_survived = true;
        exchange.record_survival();
    }
    timing.record_event(now, &exchange.recorder);
}
