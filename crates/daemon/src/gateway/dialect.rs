//! Translation between a deployment's wire formats and the gateway's types.

use std::{error, fmt, net::SocketAddr, sync::Arc, time::Duration};

use base::{EndpointId, HostId, Incarnation, ModelId, RequestId, Term, TokenCount};
use bytes::Bytes;
use fleet::{DesiredWeights, LoadOrder, OrderOutcome, Publication};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    header::HeaderValue,
    http::{request, response},
};
use member::Announcement;
use prefix::{CacheScope, Part, PartChain, PartId};
use route::EndpointNotice;
use routes::Table;

/// Wire formats of a deployment's callers, endpoints and operators.
///
/// A dialect only translates: each method decodes bytes or header fields into typed messages, or
/// encodes them.
pub trait Dialect: Clone + Send + 'static {
    /// Decodes the content of a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the content is malformed or contradicts itself.
    fn table(&self, content: &[u8]) -> Result<Table, DecodeError>;

    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a field that the dialect needs is missing or malformed.
    fn caller_request(&self, head: &request::Parts) -> Result<CallerRequest, DecodeError>;

    /// Encodes the header fields of a request to an endpoint.
    ///
    /// `from` holds the end-to-end fields of the caller's request.
    fn endpoint_headers(&self, from: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Decodes the head of an endpoint's response.
    fn response_head(&self, head: &response::Parts) -> ResponseHead;

    /// Encodes the `Retry-After` of a rejected request.
    fn retry_after(&self, wait: Duration) -> HeaderValue;

    /// Decodes a control request of an operator or an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is unknown or its body is malformed.
    fn control_request(
        &self,
        head: &request::Parts,
        body: &Bytes,
    ) -> Result<ControlRequest, ControlRequestError>;

    /// Encodes the response to a control request.
    fn control_response(&self, response: &ControlResponse) -> Response<Bytes>;

    /// Encodes a request for an engine's state.
    fn report_request(&self) -> Request<Bytes>;

    /// Decodes an engine's state.
    ///
    /// # Errors
    ///
    /// Returns an error if the response can't be decoded.
    fn report(&self, status: StatusCode, body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Encodes an order to load weights.
    fn load_weights_request(&self, request: &LoadWeightsRequest<'_>) -> Request<Bytes>;

    /// Decodes an engine's response to an order to load weights.
    fn load_weights_outcome(&self, head: &response::Parts) -> OrderOutcome;

    /// Reloads the addresses of the seed routers.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't be read.
    fn seeds(&self) -> eyre::Result<Vec<SocketAddr>>;
}

/// The error of input that a dialect can't decode.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(String);

impl DecodeError {
    /// Creates an error from a reason.
    pub fn new(reason: impl Into<String>) -> Self {
        Self(reason.into())
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl error::Error for DecodeError {}

/// The metadata of a caller's request, apart from its method, path, host and body.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// The request id, unique for each attempt of the caller.
    pub id: RequestId,
    /// The caller's API key.
    pub key: Option<String>,
    /// The time until the caller's deadline.
    pub deadline: Option<Duration>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// Prompt tokens and maximum output tokens together, if the request states them.
    pub tokens: Option<TokenCount>,
}

/// A prompt for a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Prompt {
    /// The model.
    pub model: ModelId,
    /// The prompt's parts, the last of which is specific to the request.
    pub parts: Vec<Part>,
    /// Maximum number of tokens that the model generates.
    pub output_tokens: TokenCount,
}

impl Prompt {
    /// Hashes the parts; no other scope has hashes in common with it.
    pub(super) fn chain(&self, scope: &CacheScope) -> PartChain {
        scope.chain(&self.model, &self.parts)
    }

    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> impl Iterator<Item = PartId> + '_ {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id)
    }
}

/// The metadata that an attempt adds to the caller's fields.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptHead<'a> {
    /// The intended endpoint; any other refuses the request.
    pub endpoint: &'a EndpointId,
    /// The organisation that owns the caller's key.
    pub organisation: Option<&'a str>,
    /// The time until the request's deadline.
    pub deadline: Duration,
    /// Urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Additional metadata for an engine.
    pub engine: Option<EngineHead<'a>>,
    /// The id of the last delivered event, if the attempt resumes a stream.
    pub resume_after: Option<&'a str>,
}

/// The metadata of an attempt at an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineHead<'a> {
    /// The expected version of the weights; an engine with any other refuses the request.
    pub weights: u32,
    /// The salt that isolates cached parts.
    pub salt: &'a str,
    /// Address from which the engine may fetch cached parts.
    pub fetch_from: Option<SocketAddr>,
    /// Address at which the engine saves the parts that it prefills.
    pub save_to: Option<SocketAddr>,
}

/// The metadata in the head of an endpoint's response, apart from its status.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// The id of the request that the response belongs to.
    pub request: Option<String>,
    /// The endpoint that sent the response, if named.
    pub endpoint: Option<String>,
    /// Whether the response carries an endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint reports that it has not run the request.
    pub not_run: bool,
    /// The version of the weights that produced the response.
    pub weights: Option<u32>,
    /// What the endpoint states about itself.
    pub notice: EndpointNotice,
}

/// A control request of an operator or an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlRequest {
    /// An endpoint announces itself.
    Announce(Box<Announcement>),
    /// An endpoint stops accepting requests and shuts down.
    Leave {
        /// The endpoint.
        endpoint: EndpointId,
        /// The incarnation that leaves, if the request names it.
        incarnation: Option<Incarnation>,
    },
    /// Publishes a numbered configuration whose content is valid.
    Publish(Publication),
    /// Reads the active configuration.
    ReadConfiguration,
    /// Sets the weights that a model should serve.
    SetDesiredWeights(DesiredWeights),
}

/// The error of a control request that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlRequestError {
    /// There is no such request.
    Unknown,
    /// The request's body is malformed.
    Malformed(DecodeError),
}

/// The response to a [`ControlRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlResponse {
    /// The request was carried out, now or earlier.
    Done,
    /// The active configuration, as it was published.
    Configuration(Arc<[u8]>),
    /// No configuration was published yet.
    NoConfiguration,
    /// The request is malformed; a retry can't succeed.
    Malformed(String),
    /// There is no such request.
    Unknown,
    /// The request can't be carried out now, or its outcome is unknown.
    Unavailable(&'static str),
    /// The body is too large.
    TooLarge,
}

/// An engine's reported state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// The version of each model's weights.
    pub weights: Vec<DesiredWeights>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// The number of orders that it has accepted.
    pub orders: u64,
}

/// An order to load weights, with its issuer and fencing token.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadWeightsRequest<'a> {
    /// The weights to load, and the engine.
    pub order: &'a LoadOrder,
    /// The host that holds the order lease.
    pub holder: &'a HostId,
    /// The fencing token.
    pub fencing_token: Term,
    /// The number of orders that the engine must have accepted so far.
    pub expected_orders: u64,
}
