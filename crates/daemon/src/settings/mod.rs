mod check;
mod raw;

use std::{error, fmt, net::SocketAddr, path::PathBuf, str::FromStr, sync::Arc, time::Duration};

use base::{ByteCount, DataCentreId, Digest, HostId, OrganisationId, ParseError};
use log::LevelFilter;
use quorum::HealingSettings;
use telemetry::{LogFormat, SampleRatio};

/// The daemon's settings, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This host.
    pub host: HostId,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// Where callers and endpoints connect.
    pub listen: SocketAddr,
    /// Where other routers connect.
    pub peer_listen: SocketAddr,
    /// The peer address that other routers are told.
    pub peer_advertise: SocketAddr,
    /// Where operators and monitoring connect.
    pub admin_listen: SocketAddr,
    /// Peer addresses of some other routers.
    pub seeds: Vec<SocketAddr>,
    /// Whether hosts are named by their IP addresses, and listen for peers at this host's port.
    ///
    /// They can then be reached before any other host has told where they are.
    pub hosts_by_address: bool,
    /// Folder for the state that must survive; only on hosts with a disk.
    pub data_dir: Option<PathBuf>,
    /// Whether this host votes in the quorum.
    pub voter: bool,
    /// The voters that found the quorum's log, in the same order on each.
    pub founders: Vec<HostId>,
    /// How voters heal without an operator; none leaves changes of voters to operators.
    pub healing: Option<HealingSettings>,
    /// Secret that routers and endpoints of the fleet share.
    pub fleet_key: Arc<str>,
    /// Digests of the operators' keys.
    pub operator_keys: Vec<Digest>,
    /// Digests of the organisations' keys, besides those in the declaration.
    pub organisation_keys: Vec<OrganisationKey>,
    /// Bounds on what comes from callers.
    pub limits: Limits,
    /// How long steps may take.
    pub timeouts: Timeouts,
    /// Logs and traces.
    pub telemetry: TelemetrySettings,
    /// Whether to check the settings and exit.
    pub check_only: bool,
}

/// The digest of an organisation's bearer key, written `ORGANISATION=DIGEST`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationKey {
    /// The organisation.
    pub organisation: OrganisationId,
    /// BLAKE3 digest of its key.
    pub digest: Digest,
}

/// Bounds on what comes from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request.
    pub header_bytes: ByteCount,
    /// Largest body of a request.
    pub body_bytes: ByteCount,
    /// Most connections at once.
    pub connections: u64,
    /// Most requests of one organisation at once.
    pub organisation_requests: u64,
}

/// Logs and traces.
#[derive(Clone, Debug, PartialEq)]
pub struct TelemetrySettings {
    /// How log lines are written.
    pub log_format: LogFormat,
    /// The least severe lines that are written.
    pub log_level: LevelFilter,
    /// The OTLP collector's URL for traces; none exports nothing.
    pub trace_endpoint: Option<Arc<str>>,
    /// The share of new traces that are recorded.
    pub trace_sample: SampleRatio,
}

/// How long steps may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// From a connection, or the request before, to the end of a request's head.
    pub header: Duration,
    /// From the end of a request's head to the end of its body.
    pub body: Duration,
    /// For a connection to an endpoint.
    pub connect: Duration,
    /// From one event of an endpoint's stream to the next.
    pub idle: Duration,
    /// For a whole request.
    pub request: Duration,
    /// From a termination signal to the end of accepting connections.
    pub drain_notice: Duration,
}

impl Settings {
    /// Reads settings from command-line arguments and the environment.
    ///
    /// # Errors
    ///
    /// Returns every fault found, or what the command line asks to be printed.
    pub fn from_args(args: &[&str]) -> Result<Self, SettingsError> {
        let raw = raw::parse(args)?;
        check::check(raw).map_err(SettingsError::Invalid)
    }

    /// Reads settings from this process's arguments and environment.
    ///
    /// # Errors
    ///
    /// As [`Settings::from_args`].
    pub fn from_process() -> Result<Self, SettingsError> {
        let args: Vec<String> = std::env::args().skip(1).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        Self::from_args(&args)
    }
}

/// Why there are no settings.
#[derive(Debug)]
pub enum SettingsError {
    /// The command line asks for a text to be printed, such as the help.
    Print(String),
    /// The command line can't be understood.
    Usage(String),
    /// Some settings are not valid.
    Invalid(InvalidSettings),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Print(text) | Self::Usage(text) => f.write_str(text),
            Self::Invalid(errors) => errors.fmt(f),
        }
    }
}

impl error::Error for SettingsError {}

/// All faults found in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InvalidSettings {
    lines: Vec<String>,
}

impl InvalidSettings {
    fn add(&mut self, flag: &str, env: &str, message: &str) {
        self.lines.push(format!("{flag}: {message} (environment: {env})"));
    }

    /// Returns a line for each fault.
    pub fn lines(&self) -> &[String] {
        &self.lines
    }
}

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines.join("\n"))
    }
}

impl error::Error for InvalidSettings {}

impl FromStr for OrganisationKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("organisation key", text, "ORGANISATION=DIGEST");
        let (organisation, digest) = text.rsplit_once('=').ok_or_else(error)?;
        Ok(Self { organisation: organisation.parse()?, digest: digest.parse()? })
    }
}

impl fmt::Display for OrganisationKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}", self.organisation, self.digest)
    }
}
