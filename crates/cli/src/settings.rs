use std::{env, fmt, net::SocketAddr, str::FromStr, time::Duration};

use base::{Author, ParseError};

use crate::{Error, options::CommonOptions};

const KEY_VARIABLE: &str = "DOTTERELREACH_OPERATOR_KEY";

/// Address of a router's operator API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterAddress(SocketAddr);

impl RouterAddress {
    pub(crate) fn socket(self) -> SocketAddr {
        self.0
    }
}

impl fmt::Display for RouterAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RouterAddress {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        const EXPECTED: &str = "an IP address and port such as 10.0.0.1:7400 or [fd00::1]:7400";
        text.parse().map(Self).map_err(|_| ParseError::new("router address", text, EXPECTED))
    }
}

/// Addresses of routers, tried in order until one responds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routers(Vec<RouterAddress>);

impl Routers {
    pub(crate) fn iter(&self) -> impl Iterator<Item = RouterAddress> + '_ {
        self.0.iter().copied()
    }
}

impl fmt::Display for Routers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, router) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "," };
            write!(f, "{separator}{router}")?;
        }
        Ok(())
    }
}

impl FromStr for Routers {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.split(',').map(|part| part.trim().parse()).collect::<Result<_, _>>().map(Self)
    }
}

/// The validated settings of a command.
#[derive(Debug)]
pub(crate) struct Settings {
    pub(crate) routers: Routers,
    pub(crate) key: Option<String>,
    pub(crate) timeout: Duration,
    pub(crate) author: Author,
    pub(crate) json: bool,
}

impl Settings {
    /// Validates all settings and reports all errors at once.
    pub(crate) fn check(common: CommonOptions) -> Result<Self, Error> {
        let routers =
            parse_setting("--routers", "DOTTERELREACH_ROUTERS", || common.routers.parse());
        let timeout =
            parse_setting("--timeout", "DOTTERELREACH_TIMEOUT", || timeout(&common.timeout));
        let author = parse_setting("--author", "DOTTERELREACH_AUTHOR", || common.author.parse());
        let key = common.operator_key.or_else(|| env::var(KEY_VARIABLE).ok());
        let key =
            parse_setting("--operator-key", KEY_VARIABLE, || key.map(operator_key).transpose());
        match (routers, timeout, author, key) {
            (Ok(routers), Ok(timeout), Ok(author), Ok(key)) => {
                Ok(Self { routers, key, timeout, author, json: common.json })
            }
            (routers, timeout, author, key) => {
                let errors = [routers.err(), timeout.err(), author.err(), key.err()];
                Err(Error::usage(errors.into_iter().flatten().collect::<Vec<_>>().join("\n")))
            }
        }
    }
}

fn parse_setting<T>(
    flag: &str,
    variable: &str,
    parse: impl FnOnce() -> Result<T, ParseError>,
) -> Result<T, String> {
    parse().map_err(|e| format!("{flag}: {e} (environment: {variable})"))
}

fn timeout(text: &str) -> Result<Duration, ParseError> {
    const EXPECTED: &str = "a duration of 1ms to 10min, with its unit, such as 800ms or 5s";
    const ALLOWED: std::ops::RangeInclusive<Duration> =
        Duration::from_millis(1)..=Duration::from_secs(600);
    let parsed = humantime::parse_duration(text).ok();
    parsed
        .filter(|timeout| ALLOWED.contains(timeout))
        .ok_or_else(|| ParseError::new("timeout", text, EXPECTED))
}

fn operator_key(key: String) -> Result<String, ParseError> {
    let is_valid = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    // The key itself must not be printed or logged.
    let invalid = || ParseError::new("operator key", "***", "printable ASCII without spaces");
    is_valid.then_some(key).ok_or_else(invalid)
}
