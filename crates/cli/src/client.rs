use std::{
    io::{self, Read as _},
    net::TcpStream,
    time::Duration,
};

use attohttpc::{Method, ProxySettings, RequestBuilder, Response};
use serde::{Serialize, de::DeserializeOwned};
use wire::problem::Problem;

use crate::{Error, RouterAddress, settings::Settings};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;
/// Timeout of connecting to one router.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends requests to the routers in order until one responds.
pub(crate) struct Client<'a> {
    settings: &'a Settings,
}

/// A complete response of a router.
pub(crate) struct RouterResponse {
    status: u16,
    body: Vec<u8>,
}

/// Whether a request changes state.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    /// Reads state; may be repeated.
    Query,
    /// Changes state; the change has an id that makes it idempotent.
    Change,
}

/// A request that any router can serve.
struct Request<'a> {
    kind: RequestKind,
    method: Method,
    path: &'a str,
    body: Vec<u8>,
}

impl<'a> Request<'a> {
    fn query_request(method: Method, path: &'a str, body: Vec<u8>) -> Self {
        Self { kind: RequestKind::Query, method, path, body }
    }

    fn change(path: &'a str, body: Vec<u8>) -> Self {
        Self { kind: RequestKind::Change, method: Method::POST, path, body }
    }
}

/// A request without a final response from any router.
struct NoResponse {
    errors: String,
    /// Whether a router may have executed the request.
    may_have_run: bool,
}

impl NoResponse {
    fn into_change_error(self) -> Error {
        if self.may_have_run {
            Error::unknown(self.errors)
        } else {
            Error::unreachable(self.errors)
        }
    }
}

/// Reason why a router sent no response.
enum AttemptError {
    /// The router cannot have received the request.
    NotSent(String),
    /// The router may have executed the request.
    ResponseLost(String),
}

impl<'a> Client<'a> {
    pub(crate) fn new(settings: &'a Settings) -> Self {
        Self { settings }
    }

    /// Gets `path` from the first router that responds.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let response = self.send_to_any(&Request::query_request(Method::GET, path, Vec::new()));
        response.map_err(|e| Error::unreachable(e.errors))?.decode()
    }

    /// Posts a query to `path` at the first router that responds.
    pub(crate) fn query<Q: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        query: &Q,
    ) -> Result<T, Error> {
        let response =
            self.send_to_any(&Request::query_request(Method::POST, path, encode(query)?));
        response.map_err(|e| Error::unreachable(e.errors))?.decode()
    }

    /// Sends the same idempotent change to each router in order until one responds.
    pub(crate) fn change<Q: Serialize>(
        &self,
        path: &str,
        change: &Q,
    ) -> Result<RouterResponse, Error> {
        let response = self.send_to_any(&Request::change(path, encode(change)?));
        response.map_err(NoResponse::into_change_error)
    }

    /// Tries each router in order.
    fn send_to_any(&self, req: &Request<'_>) -> Result<RouterResponse, NoResponse> {
        let mut errors = Vec::new();
        let mut may_have_run = false;
        for router in self.settings.routers.iter() {
            match self.send_to_router(router, req) {
                Ok(response) if response.is_final(req.kind, may_have_run) => return Ok(response),
                Ok(response) => {
                    may_have_run |= response.may_have_run();
                    errors.push(format!("{router}: {}", response.error_text()));
                }
                Err(AttemptError::NotSent(e)) => errors.push(format!("{router}: not sent: {e}")),
                Err(AttemptError::ResponseLost(e)) => {
                    may_have_run = true;
                    errors.push(format!("{router}: answer lost: {e}"));
                }
            }
        }
        Err(NoResponse { errors: errors.join("\n"), may_have_run })
    }

    fn send_to_router(
        &self,
        router: RouterAddress,
        req: &Request<'_>,
    ) -> Result<RouterResponse, AttemptError> {
        // The HTTP client does not report whether it sent anything, so a separate connection checks
        // first that the router is reachable.
        TcpStream::connect_timeout(&router.socket(), CONNECT_TIMEOUT.min(self.settings.timeout))
            .map_err(|e| AttemptError::NotSent(e.to_string()))?;
        let response_lost = |e: attohttpc::Error| AttemptError::ResponseLost(e.to_string());
        let url = format!("http://{router}{}", req.path);
        let mut builder = RequestBuilder::try_new(req.method.clone(), url)
            .map_err(|e| AttemptError::NotSent(e.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(self.settings.timeout)
            .timeout(self.settings.timeout)
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
            .header("content-type", "application/json");
        if let Some(key) = &self.settings.key {
            builder = builder.bearer_auth(key);
        }
        let response = builder.bytes(&req.body).send().map_err(response_lost)?;
        read_response(response).map_err(|e| AttemptError::ResponseLost(e.to_string()))
    }
}

/// Reads a response; fails if the body is shorter than its content length.
fn read_response(response: Response) -> io::Result<RouterResponse> {
    let (status, headers, reader) = response.split();
    let length = headers.get("content-length").map(|length| length.to_str());
    let content_length = length.and_then(Result::ok).and_then(|length| length.parse::<u64>().ok());
    let mut body = Vec::new();
    reader.take(MAX_RESPONSE_BYTES + 1).read_to_end(&mut body)?;
    let read = body.len() as u64;
    if MAX_RESPONSE_BYTES < read {
        return Err(io::Error::other("the response is too long"));
    }
    let chunked = headers.contains_key("transfer-encoding");
    match content_length {
        Some(content_length) if content_length != read => {
            let message = format!("{read} of {content_length} bytes arrived");
            Err(io::Error::new(io::ErrorKind::UnexpectedEof, message))
        }
        None if !chunked => Err(io::Error::other("the response has no content length")),
        _ => Ok(RouterResponse { status: status.as_u16(), body }),
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|e| Error::usage(e.to_string()))
}

impl RouterResponse {
    /// Decodes the outcome of a change, successful or not.
    pub(crate) fn outcome<T: DeserializeOwned>(&self) -> Result<T, Error> {
        self.parse().ok_or_else(|| {
            if self.is_success() {
                return Error::unknown(
                    "the router's response cannot be read; the change may be in force",
                );
            }
            self.to_error()
        })
    }

    /// Decodes the body of a successful response to a query.
    fn decode<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if !self.is_success() {
            return Err(self.to_error());
        }
        self.parse().ok_or_else(|| Error::unreachable("the router's response cannot be read"))
    }

    fn parse<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }

    fn to_error(&self) -> Error {
        self.parse::<Problem>().map_or_else(
            || Error::refused(format!("status {}", self.status)),
            |problem| Error::problem(&problem),
        )
    }

    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether no other router needs to be tried.
    ///
    /// After a lost response, only a response about the change itself shows the outcome.
    fn is_final(&self, kind: RequestKind, may_have_run: bool) -> bool {
        let about_change = self.is_success() || matches!(self.status, 409 | 422);
        self.status < 500 && (kind == RequestKind::Query || !may_have_run || about_change)
    }

    fn may_have_run(&self) -> bool {
        if self.status < 500 {
            return false;
        }
        let verdict = self.parse::<Problem>().and_then(|problem| problem.verdict);
        verdict != Some(base::Verdict::NotRun)
    }

    fn error_text(&self) -> String {
        self.to_error().to_string()
    }
}
