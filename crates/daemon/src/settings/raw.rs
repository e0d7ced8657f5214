use std::env;

use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long};

use super::SettingsError;

/// A setting's unparsed text, with its flag and environment variable.
#[derive(Clone, Debug)]
pub(super) struct Setting<T> {
    pub flag: &'static str,
    pub env: &'static str,
    pub text: T,
}

pub(super) type SingleSetting = Setting<Option<String>>;
pub(super) type ListSetting = Setting<Vec<String>>;

/// The settings' unparsed texts, so that all errors can be reported together.
#[derive(Clone, Debug)]
pub(super) struct Raw {
    pub identity: RawIdentity,
    pub addresses: RawAddresses,
    pub state: RawState,
    pub keys: RawKeys,
    pub limits: RawLimits,
    pub timeouts: RawTimeouts,
    pub telemetry: RawTelemetry,
    pub check_only: bool,
}

#[derive(Clone, Debug)]
pub(super) struct RawIdentity {
    pub host: SingleSetting,
    pub data_centre: SingleSetting,
}

#[derive(Clone, Debug)]
pub(super) struct RawAddresses {
    pub listen: SingleSetting,
    pub peer_listen: SingleSetting,
    pub peer_advertise: SingleSetting,
    pub admin_listen: SingleSetting,
    pub seeds: ListSetting,
    pub hosts_by_address: SingleSetting,
}

#[derive(Clone, Debug)]
pub(super) struct RawState {
    pub data_dir: SingleSetting,
    pub voter: SingleSetting,
    pub founders: ListSetting,
    pub lost_disks: SingleSetting,
}

#[derive(Clone, Debug)]
pub(super) struct RawKeys {
    pub fleet_key: SingleSetting,
    pub operator_keys: ListSetting,
    pub organisation_keys: ListSetting,
}

#[derive(Clone, Debug)]
pub(super) struct RawLimits {
    pub header_bytes: SingleSetting,
    pub body_bytes: SingleSetting,
    pub connections: SingleSetting,
    pub organisation_requests: SingleSetting,
    pub memory_bytes: SingleSetting,
}

#[derive(Clone, Debug)]
pub(super) struct RawTimeouts {
    pub header: SingleSetting,
    pub body: SingleSetting,
    pub connect: SingleSetting,
    pub idle: SingleSetting,
    pub request: SingleSetting,
    pub drain_notice: SingleSetting,
}

#[derive(Clone, Debug)]
pub(super) struct RawTelemetry {
    pub log_format: SingleSetting,
    pub log_level: SingleSetting,
    pub trace_endpoint: SingleSetting,
    pub trace_sample: SingleSetting,
}

pub(super) fn parse(args: &[&str]) -> Result<Raw, SettingsError> {
    options().run_inner(Args::from(args)).map_err(|failure| match failure {
        ParseFailure::Stdout(doc, full) => SettingsError::Print(doc.monochrome(full)),
        ParseFailure::Completion(text) => SettingsError::Print(text),
        ParseFailure::Stderr(doc) => SettingsError::Usage(doc.monochrome(true)),
    })
}

fn options() -> OptionParser<Raw> {
    let identity = identity();
    let addresses = addresses();
    let state = state();
    let keys = keys();
    let limits = limits();
    let timeouts = timeouts();
    let telemetry = telemetry();
    let check_only = long("check").help("Check the settings, print all errors, and exit").switch();
    construct!(Raw { identity, addresses, state, keys, limits, timeouts, telemetry, check_only })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Routes language-model traffic with long shared prompts to warm endpoints")
        .footer(
            "Exit codes: 0 shut down as requested, 1 failed while running, 2 invalid settings, \
             3 shut down with requests aborted, by a second signal or a drain timeout.\n\
             Lists in environment variables are separated by commas.",
        )
}

macro_rules! single {
    ($flag:literal, $env:literal, $value:literal, $help:literal) => {
        long($flag)
            .env($env)
            .help($help)
            .argument::<String>($value)
            .optional()
            .map(|text| Setting { flag: concat!("--", $flag), env: $env, text })
    };
}

macro_rules! list {
    ($flag:literal, $env:literal, $value:literal, $help:literal) => {
        long($flag).env($env).help($help).argument::<String>($value).many().map(|texts| Setting {
            flag: concat!("--", $flag),
            env: $env,
            text: split_list(&texts),
        })
    };
}

/// Like `single!`, but the help doesn't show its value.
macro_rules! single_secret {
    ($flag:literal, $env:literal, $value:literal, $help:literal) => {
        long($flag)
            .help(concat!($help, " (environment: ", $env, ")"))
            .argument::<String>($value)
            .optional()
            .map(|text| Setting {
                flag: concat!("--", $flag),
                env: $env,
                text: text.or_else(|| env::var($env).ok()),
            })
    };
}

/// Like `list!`, but the help doesn't show its values.
macro_rules! list_secret {
    ($flag:literal, $env:literal, $value:literal, $help:literal) => {
        long($flag)
            .help(concat!($help, " (environment: ", $env, ")"))
            .argument::<String>($value)
            .many()
            .map(|texts| Setting {
                flag: concat!("--", $flag),
                env: $env,
                text: split_list(&or_env(texts, $env)),
            })
    };
}

fn or_env(texts: Vec<String>, variable: &str) -> Vec<String> {
    if texts.is_empty() { env::var(variable).into_iter().collect() } else { texts }
}

fn split_list(texts: &[String]) -> Vec<String> {
    texts
        .iter()
        .flat_map(|text| text.split(','))
        .map(str::trim)
        .filter(|text| !text.is_empty())
        .map(str::to_owned)
        .collect()
}

fn identity() -> impl Parser<RawIdentity> {
    let host = single!("host", "DOTTERELREACH_HOST", "ID", "This host's id (default: host-1)");
    let data_centre = single!(
        "data-centre",
        "DOTTERELREACH_DATA_CENTRE",
        "ID",
        "This host's data centre (default: local)"
    );
    construct!(RawIdentity { host, data_centre }).group_help("Identity")
}

fn addresses() -> impl Parser<RawAddresses> {
    let listen = single!(
        "listen",
        "DOTTERELREACH_LISTEN",
        "ADDRESS",
        "Listen address for callers and endpoints (default: 127.0.0.1:8080)"
    );
    let peer_listen = single!(
        "peer-listen",
        "DOTTERELREACH_PEER_LISTEN",
        "ADDRESS",
        "Listen address for other routers (default: 127.0.0.1:8081)"
    );
    let peer_advertise = single!(
        "peer-advertise",
        "DOTTERELREACH_PEER_ADVERTISE",
        "ADDRESS",
        "The peer address advertised to other routers (default: that of --peer-listen)"
    );
    let admin_listen = single!(
        "admin-listen",
        "DOTTERELREACH_ADMIN_LISTEN",
        "ADDRESS",
        "Listen address for operators and monitoring (default: 127.0.0.1:7400)"
    );
    let seeds = list!(
        "seed",
        "DOTTERELREACH_SEEDS",
        "ADDRESS",
        "Peer address of another router; may be given several times"
    );
    let hosts_by_address = long("hosts-by-address")
        .help(
            "The ids of hosts are their IP addresses, and all have this host's peer port \
             (environment: DOTTERELREACH_HOSTS_BY_ADDRESS, true or false)",
        )
        .switch()
        .map(|set| Setting {
            flag: "--hosts-by-address",
            env: "DOTTERELREACH_HOSTS_BY_ADDRESS",
            text: if set {
                Some("true".into())
            } else {
                env::var("DOTTERELREACH_HOSTS_BY_ADDRESS").ok()
            },
        });
    construct!(RawAddresses {
        listen,
        peer_listen,
        peer_advertise,
        admin_listen,
        seeds,
        hosts_by_address
    })
    .group_help("Addresses")
}

fn state() -> impl Parser<RawState> {
    let data_dir = single!(
        "data-dir",
        "DOTTERELREACH_DATA_DIR",
        "FOLDER",
        "Folder of the durable state, on hosts with a disk; needed by a voter"
    );
    let voter = long("voter")
        .help("Vote in the quorum; needs --data-dir (environment: DOTTERELREACH_VOTER, true or false)")
        .switch()
        .map(|set| Setting {
            flag: "--voter",
            env: "DOTTERELREACH_VOTER",
            text: if set { Some("true".into()) } else { env::var("DOTTERELREACH_VOTER").ok() },
        });
    let founders = list!(
        "founder",
        "DOTTERELREACH_FOUNDERS",
        "HOST",
        "One of the first voters of the quorum's log; the same list in the same order on every \
         voter; may be given several times"
    );
    let lost_disks = single!(
        "heal-lost-disks",
        "DOTTERELREACH_HEAL_LOST_DISKS",
        "COUNT",
        "Let the leader replace lost and silent voters without an operator, and keep enough voters \
         to tolerate the loss of COUNT disks at once"
    );
    construct!(RawState { data_dir, voter, founders, lost_disks }).group_help("State")
}

fn keys() -> impl Parser<RawKeys> {
    let fleet_key = single_secret!(
        "fleet-key",
        "DOTTERELREACH_FLEET_KEY",
        "SECRET",
        "Shared secret of routers and endpoints; better set by the environment"
    );
    let operator_keys = list_secret!(
        "operator-key",
        "DOTTERELREACH_OPERATOR_KEYS",
        "DIGEST",
        "BLAKE3 digest of an operator's key; may be given several times; without one the \
         operator pages are closed"
    );
    let organisation_keys = list_secret!(
        "organisation-key",
        "DOTTERELREACH_ORGANISATION_KEYS",
        "ORGANISATION=DIGEST",
        "BLAKE3 digest of an organisation's key; may be given several times"
    );
    construct!(RawKeys { fleet_key, operator_keys, organisation_keys }).group_help("Keys")
}

fn limits() -> impl Parser<RawLimits> {
    let header_bytes = single!(
        "max-header-bytes",
        "DOTTERELREACH_MAX_HEADER_BYTES",
        "BYTES",
        "Largest head of a request (default: 32768; 8192 to 1048576)"
    );
    let body_bytes = single!(
        "max-body-bytes",
        "DOTTERELREACH_MAX_BODY_BYTES",
        "BYTES",
        "Largest body of a request (default: 4194304; 1024 to 268435456)"
    );
    let connections = single!(
        "max-connections",
        "DOTTERELREACH_MAX_CONNECTIONS",
        "COUNT",
        "Most concurrent connections of callers (default: 10000; 1 to 1000000)"
    );
    let organisation_requests = single!(
        "max-organisation-requests",
        "DOTTERELREACH_MAX_ORGANISATION_REQUESTS",
        "COUNT",
        "Most concurrent requests of one organisation (default: 1000; 1 to 1000000)"
    );
    let memory_bytes = single!(
        "memory-bytes",
        "DOTTERELREACH_MEMORY_BYTES",
        "BYTES",
        "Memory that the process may use, half of it for bodies (default: that of the machine; \
         33554432 to 1099511627776)"
    );
    construct!(RawLimits {
        header_bytes,
        body_bytes,
        connections,
        organisation_requests,
        memory_bytes
    })
    .group_help("Limits")
}

fn timeouts() -> impl Parser<RawTimeouts> {
    let header = single!(
        "header-timeout",
        "DOTTERELREACH_HEADER_TIMEOUT",
        "DURATION",
        "Timeout for the head of a request (default: 10s)"
    );
    let body = single!(
        "body-timeout",
        "DOTTERELREACH_BODY_TIMEOUT",
        "DURATION",
        "Timeout for the body of a request (default: 30s)"
    );
    let connect = single!(
        "connect-timeout",
        "DOTTERELREACH_CONNECT_TIMEOUT",
        "DURATION",
        "Timeout for a connection to an endpoint (default: 1s)"
    );
    let idle = single!(
        "idle-timeout",
        "DOTTERELREACH_IDLE_TIMEOUT",
        "DURATION",
        "Longest time between two events of an endpoint's stream (default: 10s)"
    );
    let request = single!(
        "request-timeout",
        "DOTTERELREACH_REQUEST_TIMEOUT",
        "DURATION",
        "Timeout for a whole request (default: 10m)"
    );
    let drain_notice = single!(
        "drain-notice",
        "DOTTERELREACH_DRAIN_NOTICE",
        "DURATION",
        "Time from a termination signal, when readiness fails, to the end of accepting \
         (default: 2s)"
    );
    construct!(RawTimeouts { header, body, connect, idle, request, drain_notice })
        .group_help("Timeouts")
}

fn telemetry() -> impl Parser<RawTelemetry> {
    let log_format = single!(
        "log-format",
        "DOTTERELREACH_LOG_FORMAT",
        "FORMAT",
        "Format of log lines: text or json (default: text)"
    );
    let log_level = single!(
        "log-level",
        "DOTTERELREACH_LOG_LEVEL",
        "LEVEL",
        "Least severe lines written: off, error, warn, info, debug or trace (default: info)"
    );
    let trace_endpoint = single!(
        "trace-endpoint",
        "DOTTERELREACH_TRACE_ENDPOINT",
        "URL",
        "OTLP collector such as http://127.0.0.1:4318/v1/traces; without it no spans are exported"
    );
    let trace_sample = single!(
        "trace-sample",
        "DOTTERELREACH_TRACE_SAMPLE",
        "RATIO",
        "Share of new traces recorded, from 0 to 1 (default: 1)"
    );
    construct!(RawTelemetry { log_format, log_level, trace_endpoint, trace_sample })
        .group_help("Logs and traces")
}
