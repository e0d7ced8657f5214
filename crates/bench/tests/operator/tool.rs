//! Helpers that run the operator's tool as a process and request pages over HTTP.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output, Stdio},
    time::{Duration, Instant},
};

use bench::{
    process::Program,
    site::{OPERATOR_KEY, Site, SiteSpec},
};
use serde::{Serialize, de::DeserializeOwned};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for which the outcome of a request may stay unknown.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(20);

/// Exit code and output of the tool.
#[derive(Debug)]
pub struct ToolOutput {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl ToolOutput {
    pub fn json<T: DeserializeOwned>(&self) -> T {
        assert_eq!(self.code, Some(0), "{self:?}");
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }
}

pub fn program() -> Program {
    Program { path: PathBuf::from(env!("CARGO_BIN_EXE_bench")), args: vec!["daemon".into()] }
}

pub fn site() -> Site {
    Site::start(&program(), SiteSpec::small()).unwrap()
}

pub fn admin(site: &Site, host: usize) -> SocketAddr {
    site.daemons[host].spec().admin_listen
}

/// Runs the tool against the first host.
pub fn run(site: &Site, args: &[&str]) -> ToolOutput {
    run_at(&[admin(site, 0)], args)
}

/// Runs the tool against these routers, in this order.
pub fn run_at(routers: &[SocketAddr], args: &[&str]) -> ToolOutput {
    let routers: Vec<_> = routers.iter().map(ToString::to_string).collect();
    let output = Command::new(env!("CARGO_BIN_EXE_bench"))
        .arg("operator")
        .args(args)
        .env_clear()
        .env("DOTTERELREACH_ROUTERS", routers.join(","))
        .env("DOTTERELREACH_OPERATOR_KEY", OPERATOR_KEY)
        .stdin(Stdio::null())
        .output()
        .unwrap();
    tool_output(output)
}

fn tool_output(output: Output) -> ToolOutput {
    ToolOutput {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Requests a page and parses its JSON.
pub fn get<T: DeserializeOwned>(router: SocketAddr, path: &str) -> T {
    let url = format!("http://{router}{path}");
    let response = attohttpc::get(url).bearer_auth(OPERATOR_KEY).timeout(TIMEOUT).send().unwrap();
    serde_json::from_str(&response.text().unwrap()).unwrap()
}

/// Posts a JSON body and returns the response's status and parsed body.
pub fn post<T: DeserializeOwned>(
    router: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> (u16, T) {
    parse(post_text(router, path, body))
}

/// Posts an idempotent request until its outcome is known.
///
/// While a disk that several voters share stands still, a response may say that the request may
/// have run.
pub fn post_until_known<T: DeserializeOwned>(
    router: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> (u16, T) {
    const UNKNOWN_OUTCOME: u16 = 504;
    let deadline = Instant::now() + OUTCOME_TIMEOUT;
    loop {
        let response = post_text(router, path, body);
        if response.0 != UNKNOWN_OUTCOME {
            return parse(response);
        }
        assert!(Instant::now() < deadline, "the outcome stays unknown: {}", response.1);
    }
}

fn post_text(router: SocketAddr, path: &str, body: &impl Serialize) -> (u16, String) {
    let url = format!("http://{router}{path}");
    let body = serde_json::to_vec(body).unwrap();
    let req = attohttpc::post(url).bearer_auth(OPERATOR_KEY).timeout(TIMEOUT);
    let response = req.bytes(body).send().unwrap();
    (response.status().as_u16(), response.text().unwrap())
}

fn parse<T: DeserializeOwned>((status, text): (u16, String)) -> (u16, T) {
    let parsed = serde_json::from_str(&text);
    (status, parsed.unwrap_or_else(|e| panic!("{e} in the response {status}: {text}")))
}
