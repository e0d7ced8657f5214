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
use prefix::Part;
use routes::Table;

/// How a deployment's callers, endpoints and operators speak.
///
/// A dialect translates and decides nothing: each method turns bytes or header fields into typed
/// messages, or back.
pub trait Dialect: Clone + Send + 'static {
    /// Reads the content of a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error that says what can't be read or contradicts itself.
    fn table(&self, content: &[u8]) -> Result<Table, Unreadable>;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a field that the dialect needs is missing or malformed.
    fn arrival(&self, head: &request::Parts) -> Result<Arrival, Unreadable>;

    /// Writes the header fields of a request to an endpoint.
    ///
    /// `from` holds the caller's fields, without those that concern its connection.
    fn outgoing(&self, from: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn answer(&self, head: &response::Parts) -> AnswerHead;

    /// Writes how long a refused caller should wait.
    fn retry_after(&self, wait: Duration) -> HeaderValue;

    /// Reads a call of an operator or an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such call or its body is malformed.
    fn control(&self, head: &request::Parts, body: &Bytes) -> Result<ControlCall, BadCall>;

    /// Writes the answer to a call of an operator or an endpoint.
    fn control_answer(&self, answer: &ControlAnswer) -> Response<Bytes>;

    /// Writes the question for an engine's state.
    fn report_call(&self) -> Request<Bytes>;

    /// Reads an engine's state.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer can't be read.
    fn report(&self, status: StatusCode, body: &[u8]) -> Result<EngineReport, Unreadable>;

    /// Writes an order to load weights.
    fn load_call(&self, call: &LoadCall<'_>) -> Request<Bytes>;

    /// Reads an engine's answer to an order to load weights.
    fn load_answer(&self, head: &response::Parts) -> OrderOutcome;

    /// Reads again where other routers can be found.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't be read.
    fn seeds(&self) -> eyre::Result<Vec<SocketAddr>>;
}

/// What a dialect can't read, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable(String);

impl Unreadable {
    /// Creates an error from a reason.
    pub fn new(reason: impl Into<String>) -> Self {
        Self(reason.into())
    }
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl error::Error for Unreadable {}

/// A caller's request, beside its method, path, host and body.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The request's name, its own for each attempt of the caller.
    pub id: RequestId,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// What a model is to read and write.
    pub prompt: Option<Prompt>,
}

/// What a model is to read and write.
#[derive(Clone, Debug, PartialEq)]
pub struct Prompt {
    /// The model.
    pub model: ModelId,
    /// The prompt in parts, the last of which belongs to the request itself.
    pub parts: Vec<Part>,
    /// Most tokens that it writes.
    pub output_tokens: TokenCount,
}

/// What an endpoint is told of a request, beside what the caller said.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptHead<'a> {
    /// The endpoint that is meant; any other refuses.
    pub endpoint: &'a EndpointId,
    /// The organisation that holds the caller's key.
    pub organisation: Option<&'a str>,
    /// How long the endpoint may work.
    pub deadline: Duration,
    /// Urgency; 0 comes first.
    pub urgency: u8,
    /// What an engine is told besides.
    pub engine: Option<EngineHead<'a>>,
    /// The id of the last event delivered, if a stream goes on after it.
    pub resume_after: Option<&'a str>,
}

/// What an engine is told of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineHead<'a> {
    /// The version of the weights that is meant; an engine with any other refuses.
    pub weights: u32,
    /// The text under which cached parts are kept apart from others.
    pub salt: &'a str,
    /// Where the engine may fetch cached parts.
    pub fetch_from: Option<SocketAddr>,
    /// Where the engine is to save the parts that it reads.
    pub save_to: Option<SocketAddr>,
}

/// What the head of an endpoint's answer says, beside its status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that it answers.
    pub request: Option<String>,
    /// The endpoint that answers, if it says.
    pub endpoint: Option<String>,
    /// Whether it bears an endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint says that it has not run the request.
    pub not_run: bool,
    /// The version of the weights that it was made with.
    pub weights: Option<u32>,
}

/// A call of an operator or an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// An endpoint announces itself.
    Announce(Box<Announcement>),
    /// An endpoint takes no more requests and ends.
    Leave {
        /// The endpoint.
        endpoint: EndpointId,
        /// The life that ends, if the call names it.
        incarnation: Option<Incarnation>,
    },
    /// A numbered configuration, whose content has been read without fault.
    Publish(Publication),
    /// Reads the configuration in force.
    ReadConfiguration,
    /// Names weights.
    SetDesiredWeights(DesiredWeights),
}

/// Why there is no [`ControlCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadCall {
    /// There is no such call.
    Unknown,
    /// The call's body can't be used.
    Malformed(Unreadable),
}

/// The answer to a [`ControlCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlAnswer {
    /// It is done, or was before.
    Done,
    /// The configuration in force, as it came.
    Configuration(Arc<[u8]>),
    /// Nothing is in force yet.
    NoConfiguration,
    /// The call is wrong, and always will be.
    Malformed(String),
    /// There is no such call.
    Unknown,
    /// The call can't be carried out now, or its outcome is unknown.
    Unavailable(&'static str),
    /// The body is too large.
    TooLarge,
}

/// An engine's state, in its own words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// The version of each model's weights.
    pub weights: Vec<DesiredWeights>,
    /// Whether it carries out an order.
    pub busy: bool,
    /// The number of orders that it has accepted.
    pub orders: u64,
}

/// An order to load weights, with who gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadCall<'a> {
    /// What is to be loaded, and where.
    pub order: &'a LoadOrder,
    /// Who gives the order.
    pub holder: &'a HostId,
    /// The fencing number.
    pub fencing: Term,
    /// The number of orders that the engine must have accepted so far.
    pub expected_orders: u64,
}
