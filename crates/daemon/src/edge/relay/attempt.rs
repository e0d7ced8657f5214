use std::time::Duration;

use base::Verdict;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Request, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use telemetry::RequestStage;
use wire::completion::{CompletionKind, Delivered};

use crate::edge::{
    router::{ChosenEngine, cache_salt},
    tracked::REQUEST_ID_HEADER,
};

use crate::{failure::Failure, net};

use super::{Relay, RelayEnd};

/// Header that asks an engine for the rest of a stream after so many of its tokens.
const RESUME_AFTER_HEADER: &str = "x-resume-after";

/// Longest part of an engine's refusal that is passed on to callers.
const MAX_REFUSAL_BYTES: usize = 512;

/// Why an attempt did not complete the response.
pub(super) struct AttemptError {
    pub failure: Failure,
    /// Whether the engine may still hold the stream.
    pub resumable: bool,
    /// Whether no other engine may be tried.
    pub is_final: bool,
}

impl AttemptError {
    /// No engine holds the stream.
    pub(super) fn stream_gone() -> Self {
        let detail = "the engine no longer holds the stream; retry without Last-Event-ID";
        Self { failure: Failure::gone(detail), resumable: false, is_final: true }
    }

    /// The stream was interrupted or malformed.
    pub(super) fn interrupted(detail: impl Into<String>) -> Self {
        let failure = Failure::bad_gateway(detail, Verdict::MayHaveRun);
        Self { failure, resumable: true, is_final: false }
    }

    /// The engine sent no data within the timeout.
    pub(super) fn timed_out() -> Self {
        Failure::timed_out("the engine sent no data in time", Verdict::MayHaveRun).into()
    }

    /// The caller has resumed the stream on another connection.
    pub(super) fn taken_over() -> Self {
        let failure = Failure::new(
            StatusCode::CONFLICT,
            "resumed elsewhere",
            "the caller has resumed the stream on another connection",
            Verdict::MayHaveRun,
        );
        Self { failure, resumable: false, is_final: true }
    }
}

impl From<Failure> for AttemptError {
    fn from(failure: Failure) -> Self {
        Self { failure, resumable: false, is_final: false }
    }
}

impl Relay<'_> {
    /// Requests the response from an engine, or the rest of it if the attempt `resumes`.
    pub(super) async fn attempt(&mut self, chosen: &ChosenEngine, resumes: bool) -> RelayEnd {
        let pool = chosen.in_flight.target().pool();
        let mut span = self.job.span.child(RequestStage::Connect);
        span.set("endpoint", chosen.endpoint.to_string());
        let req = self.request(chosen, resumes);
        let id = req.headers().get(REQUEST_ID_HEADER).cloned();
        let connect_timeout = self.job.settings.connect_timeout.as_duration();
        let wait = self.response_timeout(resumes);
        let first_token_deadline = self.edge.clock.now() + wait;
        let sent = tokio::time::timeout(wait, pool.send(req, connect_timeout)).await;
        let (response, connection) = match sent {
            Ok(Ok(sent)) => sent,
            Ok(Err(failure)) => {
                let resumable = failure.verdict != Verdict::NotRun;
                return RelayEnd::Failed(AttemptError { resumable, ..failure.into() });
            }
            Err(_) => return RelayEnd::Failed(AttemptError::timed_out()),
        };
        drop(span);
        let status = response.status();
        if status != StatusCode::OK {
            return RelayEnd::Failed(
                self.refusal_error(status, response.into_body(), resumes).await,
            );
        }
        if !resumes {
            self.edge.router.borrow_mut().record_response_head(self.edge.clock.now(), chosen);
        }
        if self.progress.weights.is_none() {
            self.progress.weights = Some(chosen.weights.clone());
        }
        let end =
            self.forward_events(chosen, response.into_body(), first_token_deadline, resumes).await;
        if matches!(end, RelayEnd::Done) {
            pool.return_idle(connection, id);
        }
        end
    }

    fn response_timeout(&self, resumes: bool) -> Duration {
        if resumes {
            return self.edge.cfg.timeouts.idle;
        }
        self.job.settings.first_token_timeout.as_duration()
    }

    fn request(&self, chosen: &ChosenEngine, resumes: bool) -> Request<Full<Bytes>> {
        let salt = cache_salt(chosen.salt);
        let priority = self.job.settings.priority.as_u32().cast_signed();
        let nothing = Delivered::default();
        let received = if resumes { &nothing } else { self.progress.received() };
        let body =
            self.job.completion.to_engine_body(&salt, priority, received, chosen.transfer.as_ref());
        let path = match self.job.completion.kind() {
            CompletionKind::Text => "/v1/completions",
            CompletionKind::Chat => "/v1/chat/completions",
        };
        let address = chosen.in_flight.target().announcement().address;
        let mut req = Request::post(path)
            .header(HOST, net::host_value(address))
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.edge.cfg.fleet_key))
            .header(REQUEST_ID_HEADER, self.engine_request_id().as_str());
        if resumes {
            req = req.header(RESUME_AFTER_HEADER, self.progress.engine_tokens());
        }
        if let Some(context) = self.job.span.context() {
            req = req.header("traceparent", context.to_string());
        }
        req.body(Full::new(body.into())).expect("the request's parts are valid")
    }

    async fn refusal_error(
        &self,
        status: StatusCode,
        body: Incoming,
        resumes: bool,
    ) -> AttemptError {
        let body = Limited::new(body, MAX_REFUSAL_BYTES).collect().await;
        let text = body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
        let detail = format!("the engine responded with {status}: {}", text.unwrap_or_default());
        if resumes {
            return self.resume_error(status, detail);
        }
        let busy = matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT);
        if status.is_client_error() && !busy {
            let failure = Failure::new(status, "refused by the engine", detail, Verdict::NotRun);
            return AttemptError { failure, resumable: false, is_final: true };
        }
        Failure::bad_gateway(detail, Verdict::MayHaveRun).into()
    }

    fn resume_error(&self, status: StatusCode, detail: String) -> AttemptError {
        let caller_resumes = self.job.resume.is_some();
        if caller_resumes && status == StatusCode::CONFLICT {
            let failure = Failure::conflict("Last-Event-ID belongs to another request");
            return AttemptError { failure, resumable: false, is_final: true };
        }
        if caller_resumes && !self.progress.has_full_text() {
            return AttemptError::stream_gone();
        }
        Failure::bad_gateway(detail, Verdict::MayHaveRun).into()
    }
}
