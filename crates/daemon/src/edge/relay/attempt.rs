use std::time::Duration;

use base::Verdict;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Request, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use telemetry::Hop;
use wire::completion::{CompletionKind, Delivered};

use crate::edge::router::{Chosen, cache_salt};

use crate::{failure::Failure, net};

use super::{End, Relay};

/// Asks an engine for the rest of a stream after some of its tokens.
const RESUME_AFTER: &str = "x-resume-after";

/// Longest part of an engine's refusal that callers are shown.
const SHOWN_BYTES: usize = 512;

/// Why an attempt gave no whole answer.
pub(super) struct Broken {
    pub failure: Failure,
    /// Whether the engine may hold the stream.
    pub held: bool,
    /// Whether no other engine is to be asked.
    pub final_answer: bool,
}

impl Broken {
    /// A stream that no engine holds.
    pub(super) fn not_held() -> Self {
        let detail = "the engine no longer holds the stream; ask again without Last-Event-ID";
        Self { failure: Failure::gone(detail), held: false, final_answer: true }
    }

    /// A stream that was cut on its way.
    pub(super) fn cut(detail: impl Into<String>) -> Self {
        let failure = Failure::bad_gateway(detail, Verdict::MayHaveRun);
        Self { failure, held: true, final_answer: false }
    }

    /// An engine that sends nothing any more.
    pub(super) fn silent() -> Self {
        Failure::timed_out("the engine sent nothing in time", Verdict::MayHaveRun).into()
    }

    /// A stream that goes on at another router.
    pub(super) fn taken_over() -> Self {
        let failure = Failure::new(
            StatusCode::CONFLICT,
            "resumed elsewhere",
            "the caller has resumed the stream on another connection",
            Verdict::MayHaveRun,
        );
        Self { failure, held: false, final_answer: true }
    }
}

impl From<Failure> for Broken {
    fn from(failure: Failure) -> Self {
        Self { failure, held: false, final_answer: false }
    }
}

impl Relay<'_> {
    /// Asks an engine for the answer, or for its rest if it `resumes`.
    pub(super) async fn attempt(&mut self, chosen: &Chosen, resumes: bool) -> End {
        let pool = chosen.in_flight.target().pool();
        let mut span = self.job.span.child(Hop::Connect);
        span.set("endpoint", chosen.endpoint.to_string());
        let req = self.request(chosen, resumes);
        let connect_timeout = self.job.settings.connect_timeout.as_duration();
        let wait = self.first_wait(resumes);
        let first_token_by = self.edge.clock.now() + wait;
        let sent = tokio::time::timeout(wait, pool.send(req, connect_timeout)).await;
        let (response, connection) = match sent {
            Ok(Ok(sent)) => sent,
            Ok(Err(failure)) => {
                let held = failure.verdict != Verdict::NotRun;
                return End::Broken(Broken { held, ..failure.into() });
            }
            Err(_) => return End::Broken(Broken::silent()),
        };
        drop(span);
        let status = response.status();
        if status != StatusCode::OK {
            return End::Broken(self.refusal(status, response.into_body(), resumes).await);
        }
        if !resumes {
            self.edge.router.borrow_mut().head_arrived(self.edge.clock.now(), chosen);
        }
        if self.progress.weights.is_none() {
            self.progress.weights = Some(chosen.weights.clone());
        }
        let end = self.pump(chosen, response.into_body(), first_token_by, resumes).await;
        if matches!(end, End::Done) {
            pool.put_back(connection);
        }
        end
    }

    fn first_wait(&self, resumes: bool) -> Duration {
        if resumes {
            return self.edge.cfg.timeouts.idle;
        }
        self.job.settings.first_token_timeout.as_duration()
    }

    fn request(&self, chosen: &Chosen, resumes: bool) -> Request<Full<Bytes>> {
        let salt = cache_salt(chosen.salt);
        let priority = self.job.settings.priority.as_u32().cast_signed();
        let begun = Delivered::default();
        let taken = if resumes { &begun } else { self.progress.taken() };
        let body = self.job.completion.to_engine(&salt, priority, taken, chosen.transfer.as_ref());
        let path = match self.job.completion.kind() {
            CompletionKind::Text => "/v1/completions",
            CompletionKind::Chat => "/v1/chat/completions",
        };
        let address = chosen.in_flight.target().announcement().address;
        let mut req = Request::post(path)
            .header(HOST, net::host_value(address))
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.edge.cfg.fleet_key))
            .header("x-request-id", self.engine_request().as_str());
        if resumes {
            req = req.header(RESUME_AFTER, self.progress.engine_tokens());
        }
        if let Some(context) = self.job.span.context() {
            req = req.header("traceparent", context.to_string());
        }
        req.body(Full::new(body.into())).expect("the request's parts are valid")
    }

    async fn refusal(&self, status: StatusCode, body: Incoming, resumes: bool) -> Broken {
        let body = Limited::new(body, SHOWN_BYTES).collect().await;
        let text = body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
        let detail = format!("the engine answered {status}: {}", text.unwrap_or_default());
        if resumes {
            return self.resume_refusal(status, detail);
        }
        let busy = matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT);
        if status.is_client_error() && !busy {
            let failure = Failure::new(status, "refused by the engine", detail, Verdict::NotRun);
            return Broken { failure, held: false, final_answer: true };
        }
        Failure::bad_gateway(detail, Verdict::MayHaveRun).into()
    }

    fn resume_refusal(&self, status: StatusCode, detail: String) -> Broken {
        let caller_resumes = self.job.resume.is_some();
        if caller_resumes && status == StatusCode::CONFLICT {
            let failure = Failure::conflict("Last-Event-ID belongs to another request");
            return Broken { failure, held: false, final_answer: true };
        }
        if caller_resumes && !self.progress.knows_text() {
            return Broken::not_held();
        }
        Failure::bad_gateway(detail, Verdict::MayHaveRun).into()
    }
}
