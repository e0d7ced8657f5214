use std::{
    io::{self, Read as _},
    net::TcpStream,
    time::Duration,
};

use attohttpc::{Method, ProxySettings, RequestBuilder, Response};
use serde::{Serialize, de::DeserializeOwned};
use wire::problem::Problem;

use crate::{Error, RouterAddress, settings::Settings};

/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;
/// Longest time to connect to one router.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks routers in turn until one answers.
pub(crate) struct Client<'a> {
    settings: &'a Settings,
}

/// An answer that arrived whole.
pub(crate) struct Answer {
    status: u16,
    body: Vec<u8>,
}

/// What a request is for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// To learn something; asking twice does no harm.
    Question,
    /// To change something, under an identity that makes the change idempotent.
    Change,
}

/// A request to any router.
struct Request<'a> {
    purpose: Purpose,
    method: Method,
    path: &'a str,
    body: Vec<u8>,
}

impl<'a> Request<'a> {
    fn question(method: Method, path: &'a str, body: Vec<u8>) -> Self {
        Self { purpose: Purpose::Question, method, path, body }
    }

    fn change(path: &'a str, body: Vec<u8>) -> Self {
        Self { purpose: Purpose::Change, method: Method::POST, path, body }
    }
}

/// A request that no router settled.
struct Unanswered {
    faults: String,
    /// Whether a router may have taken the request.
    lost: bool,
}

impl Unanswered {
    fn of_change(self) -> Error {
        if self.lost { Error::unknown(self.faults) } else { Error::unreachable(self.faults) }
    }
}

/// Why a router gave no answer.
enum Failure {
    /// It cannot have taken the request.
    NotSent(String),
    /// It may have taken the request.
    Lost(String),
}

impl<'a> Client<'a> {
    pub(crate) fn new(settings: &'a Settings) -> Self {
        Self { settings }
    }

    /// Reads from the first router that answers.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let answer = self.ask(&Request::question(Method::GET, path, Vec::new()));
        answer.map_err(|e| Error::unreachable(e.faults))?.decode()
    }

    /// Reads from the first router that answers a body.
    pub(crate) fn query<Q: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        query: &Q,
    ) -> Result<T, Error> {
        let answer = self.ask(&Request::question(Method::POST, path, encode(query)?));
        answer.map_err(|e| Error::unreachable(e.faults))?.decode()
    }

    /// Sends an idempotent change, the same to each router until one answers.
    pub(crate) fn change<Q: Serialize>(&self, path: &str, change: &Q) -> Result<Answer, Error> {
        let answer = self.ask(&Request::change(path, encode(change)?));
        answer.map_err(Unanswered::of_change)
    }

    /// Asks each router in turn.
    fn ask(&self, req: &Request<'_>) -> Result<Answer, Unanswered> {
        let mut faults = Vec::new();
        let mut lost = false;
        for router in self.settings.routers.iter() {
            match self.ask_one(router, req) {
                Ok(answer) if answer.settles(req.purpose, lost) => return Ok(answer),
                Ok(answer) => {
                    lost |= answer.may_have_run();
                    faults.push(format!("{router}: {}", answer.problem_text()));
                }
                Err(Failure::NotSent(e)) => faults.push(format!("{router}: not sent: {e}")),
                Err(Failure::Lost(e)) => {
                    lost = true;
                    faults.push(format!("{router}: answer lost: {e}"));
                }
            }
        }
        Err(Unanswered { faults: faults.join("\n"), lost })
    }

    fn ask_one(&self, router: RouterAddress, req: &Request<'_>) -> Result<Answer, Failure> {
        // The HTTP client does not say whether it sent anything; a connection of its own does.
        TcpStream::connect_timeout(&router.socket(), CONNECT_TIMEOUT.min(self.settings.timeout))
            .map_err(|e| Failure::NotSent(e.to_string()))?;
        let lost = |e: attohttpc::Error| Failure::Lost(e.to_string());
        let url = format!("http://{router}{}", req.path);
        let mut call = RequestBuilder::try_new(req.method.clone(), url)
            .map_err(|e| Failure::NotSent(e.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(self.settings.timeout)
            .timeout(self.settings.timeout)
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
            .header("content-type", "application/json");
        if let Some(key) = &self.settings.key {
            call = call.bearer_auth(key);
        }
        let response = call.bytes(&req.body).send().map_err(lost)?;
        read_whole(response).map_err(|e| Failure::Lost(e.to_string()))
    }
}

/// Reads an answer and refuses one that is shorter than announced.
fn read_whole(response: Response) -> io::Result<Answer> {
    let (status, headers, reader) = response.split();
    let length = headers.get("content-length").map(|length| length.to_str());
    let announced = length.and_then(Result::ok).and_then(|length| length.parse::<u64>().ok());
    let mut body = Vec::new();
    reader.take(MAX_ANSWER_BYTES + 1).read_to_end(&mut body)?;
    let read = body.len() as u64;
    if MAX_ANSWER_BYTES < read {
        return Err(io::Error::other("the answer is too long"));
    }
    let chunked = headers.contains_key("transfer-encoding");
    match announced {
        Some(announced) if announced != read => {
            let message = format!("{read} of {announced} bytes arrived");
            Err(io::Error::new(io::ErrorKind::UnexpectedEof, message))
        }
        None if !chunked => Err(io::Error::other("the answer does not say how long it is")),
        _ => Ok(Answer { status: status.as_u16(), body }),
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|e| Error::usage(e.to_string()))
}

impl Answer {
    /// Reads the outcome of a change, successful or not.
    pub(crate) fn outcome<T: DeserializeOwned>(&self) -> Result<T, Error> {
        self.parse().ok_or_else(|| {
            if self.is_success() {
                return Error::unknown(
                    "the router's answer cannot be read; the change may be in force",
                );
            }
            self.refusal()
        })
    }

    /// Reads the body of a successful answer to a question.
    fn decode<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if !self.is_success() {
            return Err(self.refusal());
        }
        self.parse().ok_or_else(|| Error::unreachable("the router's answer cannot be read"))
    }

    fn parse<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }

    fn refusal(&self) -> Error {
        self.parse::<Problem>().map_or_else(
            || Error::refused(format!("status {}", self.status)),
            |problem| Error::problem(&problem),
        )
    }

    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether no other router needs to be asked.
    ///
    /// After a lost answer only one that concerns the change itself tells what became of it.
    fn settles(&self, purpose: Purpose, lost: bool) -> bool {
        let of_change = self.is_success() || matches!(self.status, 409 | 422);
        self.status < 500 && (purpose == Purpose::Question || !lost || of_change)
    }

    fn may_have_run(&self) -> bool {
        if self.status < 500 {
            return false;
        }
        let verdict = self.parse::<Problem>().and_then(|problem| problem.verdict);
        verdict != Some(base::Verdict::NotRun)
    }

    fn problem_text(&self) -> String {
        self.refusal().to_string()
    }
}
