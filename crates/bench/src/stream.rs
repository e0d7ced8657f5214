//! A streamed response that a caller reads in steps.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use base::ByteCount;
use bytes::Bytes;
use eyre::{WrapErr as _, ensure, eyre};
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, body::Incoming};
use wire::{
    EventId,
    chunk::{Chunk, DONE_MARKER},
    problem::Problem,
    sse::{Event, Parser},
};

use crate::caller::{self, CompletionSpec};

/// Longest accepted event of a stream.
const MAX_EVENT_BYTES: ByteCount = ByteCount::new(1 << 20);

/// Time limit for the next event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A streamed response that is being read.
pub struct CompletionStream {
    body: Incoming,
    parser: Parser,
    events: VecDeque<Event>,
    /// The tokens read so far.
    pub tokens: Vec<String>,
    /// The event id of the last token.
    pub last_id: Option<EventId>,
}

/// Result of a request for a stream.
pub enum OpenResult {
    /// A stream.
    Stream(Box<CompletionStream>),
    /// A refusal or failure.
    Failed(Problem),
}

/// How a stream ended.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEnd {
    /// With the end marker.
    Done,
    /// With an explicit failure.
    Failed(Problem),
}

impl CompletionStream {
    /// Requests a stream, or resumes one after the event `resume`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response.
    pub async fn open(
        router: SocketAddr,
        spec: &CompletionSpec,
        resume: Option<&EventId>,
    ) -> eyre::Result<OpenResult> {
        let mut req = Request::post(spec.path())
            .header("host", router.to_string())
            .header("authorization", format!("Bearer {}", spec.key));
        if let Some(id) = resume {
            req = req.header("last-event-id", id.to_string());
        }
        let req = req.body(Full::new(Bytes::from(spec.body(true).to_string())))?;
        let response = caller::send(router, req).await?;
        if !response.status().is_success() {
            return Ok(OpenResult::Failed(caller::read_problem(response).await?));
        }
        Ok(OpenResult::Stream(Box::new(Self {
            body: response.into_body(),
            parser: Parser::new(MAX_EVENT_BYTES),
            events: VecDeque::new(),
            tokens: Vec::new(),
            last_id: None,
        })))
    }

    /// Reads until `count` tokens have arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends earlier.
    pub async fn read_tokens(&mut self, count: usize) -> eyre::Result<()> {
        while self.tokens.len() < count {
            if let Some(end) = self.process_event().await? {
                eyre::bail!("the stream ended after {} tokens: {end:?}", self.tokens.len());
            }
        }
        Ok(())
    }

    /// Reads to the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends without an end marker or a failure, or is malformed.
    pub async fn finish(&mut self) -> eyre::Result<StreamEnd> {
        loop {
            if let Some(end) = self.process_event().await? {
                return Ok(end);
            }
        }
    }

    async fn process_event(&mut self) -> eyre::Result<Option<StreamEnd>> {
        let event = tokio::time::timeout(EVENT_TIMEOUT, self.next_event()).await??;
        if event.kind.as_deref() == Some("error") {
            return Ok(Some(StreamEnd::Failed(serde_json::from_str(&event.data)?)));
        }
        if event.data == DONE_MARKER {
            return Ok(Some(StreamEnd::Done));
        }
        let chunk = Chunk::parse(&event.data)?;
        if let Some(text) = chunk.text().filter(|text| !text.is_empty()) {
            self.tokens.push(text.to_owned());
            let id = event.id.ok_or_else(|| eyre!("an event with a token has no id"))?;
            self.last_id = Some(id.parse()?);
        }
        Ok(None)
    }

    async fn next_event(&mut self) -> eyre::Result<Event> {
        let mut events = Vec::new();
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            let frame = self.body.frame().await;
            let frame = frame
                .ok_or_else(|| eyre!("the stream ended without an end marker or a failure"))?;
            let frame = frame.wrap_err("the stream was cut")?;
            let Ok(data) = frame.into_data() else { continue };
            self.parser.push(&data, &mut events)?;
            self.events.extend(events.drain(..));
        }
    }
}

impl OpenResult {
    /// Returns the stream.
    ///
    /// # Errors
    ///
    /// Returns an error with the problem if there is no stream.
    pub fn stream(self) -> eyre::Result<CompletionStream> {
        match self {
            Self::Stream(stream) => Ok(*stream),
            Self::Failed(problem) => Err(eyre!("the request for a stream failed: {problem:?}")),
        }
    }

    /// Returns the problem.
    ///
    /// # Errors
    ///
    /// Returns an error if there is a stream.
    pub fn problem(self) -> eyre::Result<Problem> {
        match self {
            Self::Stream(_) => Err(eyre!("expected a problem, received a stream")),
            Self::Failed(problem) => Ok(problem),
        }
    }
}

/// Checks that the parts of a stream together are the complete response, without missing or
/// duplicate tokens.
///
/// # Errors
///
/// Returns an error that names the first difference.
pub fn check_complete(spec: &CompletionSpec, parts: &[&CompletionStream]) -> eyre::Result<()> {
    let tokens: Vec<_> = parts.iter().flat_map(|part| &part.tokens).collect();
    let expected = spec.expected();
    let differs = expected.iter().zip(&tokens).position(|(expected, token)| expected != *token);
    ensure!(differs.is_none(), "the token at index {differs:?} differs from the expected one");
    ensure!(
        expected.len() == tokens.len(),
        "received {} of {} tokens",
        tokens.len(),
        expected.len()
    );
    Ok(())
}
