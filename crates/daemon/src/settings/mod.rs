mod check;
mod memory;
mod raw;

use std::{error, fmt, net::SocketAddr, path::PathBuf, str::FromStr, sync::Arc, time::Duration};

use base::{ByteCount, DataCentreId, Digest, HostId, OrganisationId, ParseError};
use log::LevelFilter;
use quorum::HealingSettings;
use telemetry::{LogFormat, SampleRatio};

/// The daemon's validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This host.
    pub host: HostId,
    /// The data centre of this host.
    pub data_centre: DataCentreId,
    /// Listen address for callers and endpoints.
    pub listen: SocketAddr,
    /// Listen address for other routers.
    pub peer_listen: SocketAddr,
    /// The peer address advertised to other routers.
    pub peer_advertise: SocketAddr,
    /// Listen address for operators and monitoring.
    pub admin_listen: SocketAddr,
    /// Peer addresses of some other routers.
    pub seeds: Vec<SocketAddr>,
    /// Whether the ids of hosts are their IP addresses, and all have this host's peer port.
    ///
    /// They can then be reached before gossip has delivered their addresses.
    pub hosts_by_address: bool,
    /// Folder of the durable state; only on hosts with a disk.
    pub data_dir: Option<PathBuf>,
    /// Whether this host votes in the quorum.
    pub voter: bool,
    /// The first voters of the quorum's log, in the same order on each.
    pub founders: Vec<HostId>,
    /// How voters are replaced automatically; `None` leaves changes of voters to operators.
    pub healing: Option<HealingSettings>,
    /// Shared secret of the fleet's routers and endpoints.
    pub fleet_key: Arc<str>,
    /// Digests of the operators' keys.
    pub operator_keys: Vec<Digest>,
    /// Digests of the organisations' keys, besides those in the declaration.
    pub organisation_keys: Vec<OrganisationKey>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Timeouts of a request's steps and of the drain.
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

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request.
    pub header_bytes: ByteCount,
    /// Largest body of a request.
    pub body_bytes: ByteCount,
    /// Most concurrent connections.
    pub connections: u64,
    /// Most concurrent requests of one organisation.
    pub organisation_requests: u64,
    /// Memory that the process may use, half of it for bodies of requests and responses.
    pub memory_bytes: ByteCount,
}

/// Logs and traces.
#[derive(Clone, Debug, PartialEq)]
pub struct TelemetrySettings {
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The least severe lines that are written.
    pub log_level: LevelFilter,
    /// The OTLP collector's URL for traces; `None` disables the export.
    pub trace_endpoint: Option<Arc<str>>,
    /// The share of new traces that are recorded.
    pub trace_sample: SampleRatio,
}

/// Timeouts of a request's steps and of the drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// From a connection, or the previous request, to the end of a request's head.
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
    /// Returns all invalid settings, or the text that the command line requests, such as the help.
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

/// Why no settings were returned.
#[derive(Debug)]
pub enum SettingsError {
    /// The command line requests a text, such as the help.
    Print(String),
    /// The command line can't be parsed.
    Usage(String),
    /// Some settings are invalid.
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

/// All errors found in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InvalidSettings {
    lines: Vec<String>,
}

impl InvalidSettings {
    fn add(&mut self, flag: &str, env: &str, message: &str) {
        self.lines.push(format!("{flag}: {message} (environment: {env})"));
    }

    /// Returns one line for each error.
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
