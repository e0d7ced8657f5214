use std::{
    fmt::Display,
    net::{Ipv4Addr, SocketAddr},
    ops::RangeInclusive,
    str::FromStr,
    time::Duration,
};

use base::ByteCount;
use log::LevelFilter;
use quorum::HealingSettings;
use telemetry::{LogFormat, SampleRatio};

use super::{
    InvalidSettings, Limits, Settings, TelemetrySettings, Timeouts,
    raw::{Many, One, Raw, RawLimits, RawTelemetry, RawTimeouts, Setting},
};

const DEFAULT_HOST: &str = "host-1";
const DEFAULT_DATA_CENTRE: &str = "local";
const DEFAULT_LISTEN_PORT: u16 = 8080;
const DEFAULT_PEER_PORT: u16 = 8081;
const DEFAULT_ADMIN_PORT: u16 = 7400;

/// Shortest and longest time that a timeout may be set to.
const TIMEOUT_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(3600);

/// Shortest fleet key, in bytes.
const MIN_FLEET_KEY_BYTES: usize = 16;

/// Most disks that voters may be told to outlive; each takes two voters more.
const MAX_LOST_DISKS: u64 = 4;

const OPERATOR_KEY_RULE: &str = "a BLAKE3 digest of 64 hexadecimal digits";
const ORGANISATION_KEY_RULE: &str = "ORGANISATION=DIGEST, with 64 hexadecimal digits";

/// Start of a collector's address; spans travel without encryption.
const TRACE_SCHEME: &str = "http://";

pub(super) fn check(raw: Raw) -> Result<Settings, InvalidSettings> {
    let mut faults = InvalidSettings::default();
    let peer_listen = address(&raw.addresses.peer_listen, DEFAULT_PEER_PORT, &mut faults);
    let settings = Settings {
        host: parsed(&raw.identity.host, &mut faults)
            .unwrap_or_else(|| DEFAULT_HOST.parse().expect("the default is valid")),
        data_centre: parsed(&raw.identity.data_centre, &mut faults)
            .unwrap_or_else(|| DEFAULT_DATA_CENTRE.parse().expect("the default is valid")),
        listen: address(&raw.addresses.listen, DEFAULT_LISTEN_PORT, &mut faults),
        peer_listen,
        peer_advertise: parsed(&raw.addresses.peer_advertise, &mut faults).unwrap_or(peer_listen),
        admin_listen: address(&raw.addresses.admin_listen, DEFAULT_ADMIN_PORT, &mut faults),
        seeds: all_parsed(&raw.addresses.seeds, &mut faults),
        hosts_by_address: switch(&raw.addresses.hosts_by_address, &mut faults),
        data_dir: raw.state.data_dir.text.clone().map(Into::into),
        voter: switch(&raw.state.voter, &mut faults),
        founders: all_parsed(&raw.state.founders, &mut faults),
        healing: healing(&raw.state.lost_disks, &mut faults),
        fleet_key: fleet_key(&raw.keys.fleet_key, &mut faults),
        operator_keys: all_hidden(&raw.keys.operator_keys, OPERATOR_KEY_RULE, &mut faults),
        organisation_keys: all_hidden(
            &raw.keys.organisation_keys,
            ORGANISATION_KEY_RULE,
            &mut faults,
        ),
        limits: limits(&raw.limits, &mut faults),
        timeouts: timeouts(&raw.timeouts, &mut faults),
        telemetry: telemetry(&raw.telemetry, &mut faults),
        check_only: raw.check_only,
    };
    check_together(&settings, &mut faults);
    if !faults.lines().is_empty() {
        return Err(faults);
    }
    Ok(settings)
}

/// Checks what no setting shows alone.
fn check_together(settings: &Settings, faults: &mut InvalidSettings) {
    if settings.voter && settings.data_dir.is_none() {
        faults.add("--voter", "DOTTERELREACH_VOTER", "a voter needs --data-dir");
    }
    if !settings.founders.is_empty() && !settings.voter {
        faults.add("--founder", "DOTTERELREACH_FOUNDERS", "only a voter can be given founders");
    }
    if settings.peer_advertise.ip().is_unspecified() || settings.peer_advertise.port() == 0 {
        let shown = settings.peer_advertise;
        let message = format!("\"{shown}\" can't be connected to; write this host's own IP:PORT");
        faults.add("--peer-advertise", "DOTTERELREACH_PEER_ADVERTISE", &message);
    }
    let listeners = [
        ("--peer-listen", "DOTTERELREACH_PEER_LISTEN", settings.peer_listen, settings.listen),
        ("--admin-listen", "DOTTERELREACH_ADMIN_LISTEN", settings.admin_listen, settings.listen),
        (
            "--admin-listen",
            "DOTTERELREACH_ADMIN_LISTEN",
            settings.admin_listen,
            settings.peer_listen,
        ),
    ];
    for (flag, env, address, other) in listeners {
        if address == other && address.port() != 0 {
            faults.add(flag, env, &format!("\"{address}\" is taken by another listener"));
        }
    }
}

fn parsed<T: FromStr<Err: Display>>(setting: &One, faults: &mut InvalidSettings) -> Option<T> {
    parse_text(setting, setting.text.as_deref()?, faults)
}

fn all_parsed<T: FromStr<Err: Display>>(setting: &Many, faults: &mut InvalidSettings) -> Vec<T> {
    setting.text.iter().filter_map(|text| parse_text(setting, text, faults)).collect()
}

/// Parses values that must not reach a terminal or a log: a plain key may stand for its digest.
fn all_hidden<T: FromStr>(setting: &Many, allowed: &str, faults: &mut InvalidSettings) -> Vec<T> {
    let mut parsed = Vec::with_capacity(setting.text.len());
    for (i, text) in setting.text.iter().enumerate() {
        match text.parse() {
            Ok(value) => parsed.push(value),
            Err(_) => {
                let message = format!("value {} (not shown) is not {allowed}", i + 1);
                faults.add(setting.flag, setting.env, &message);
            }
        }
    }
    parsed
}

fn switch(setting: &One, faults: &mut InvalidSettings) -> bool {
    let Some(text) = &setting.text else { return false };
    text.parse().unwrap_or_else(|_| {
        let message = format!("{text:?} is neither true nor false");
        faults.add(setting.flag, setting.env, &message);
        false
    })
}

fn parse_text<S, T>(setting: &Setting<S>, text: &str, faults: &mut InvalidSettings) -> Option<T>
where
    T: FromStr<Err: Display>,
{
    match text.parse() {
        Ok(value) => Some(value),
        Err(e) => {
            let e: T::Err = e;
            let message = e.to_string();
            let shown = format!("{text:?}");
            if message.starts_with(&shown) {
                faults.add(setting.flag, setting.env, &message);
            } else {
                faults.add(setting.flag, setting.env, &format!("{shown}: {message}"));
            }
            None
        }
    }
}

fn address(setting: &One, default_port: u16, faults: &mut InvalidSettings) -> SocketAddr {
    let default = SocketAddr::from((Ipv4Addr::LOCALHOST, default_port));
    let Some(text) = &setting.text else { return default };
    text.parse().unwrap_or_else(|_| {
        let message = format!("{text:?} is no address; write IP:PORT such as 10.1.0.4:8080");
        faults.add(setting.flag, setting.env, &message);
        default
    })
}

fn fleet_key(setting: &One, faults: &mut InvalidSettings) -> std::sync::Arc<str> {
    let text = setting.text.as_deref().unwrap_or_default();
    if text.len() < MIN_FLEET_KEY_BYTES {
        let message = format!("needed, with at least {MIN_FLEET_KEY_BYTES} bytes");
        faults.add(setting.flag, setting.env, &message);
    }
    text.into()
}

fn healing(setting: &One, faults: &mut InvalidSettings) -> Option<HealingSettings> {
    setting.text.as_ref()?;
    let lost_disks = number(setting, 0, 0..=MAX_LOST_DISKS, faults);
    let lost_disks = usize::try_from(lost_disks).unwrap_or_default();
    Some(HealingSettings { lost_disks, ..HealingSettings::default() })
}

fn limits(raw: &RawLimits, faults: &mut InvalidSettings) -> Limits {
    Limits {
        header_bytes: ByteCount::new(number(
            &raw.header_bytes,
            32 << 10,
            8 << 10..=1 << 20,
            faults,
        )),
        body_bytes: ByteCount::new(number(&raw.body_bytes, 4 << 20, 1 << 10..=256 << 20, faults)),
        connections: number(&raw.connections, 10_000, 1..=1_000_000, faults),
        organisation_requests: number(&raw.organisation_requests, 1_000, 1..=1_000_000, faults),
    }
}

fn number(
    setting: &One,
    default: u64,
    allowed: RangeInclusive<u64>,
    faults: &mut InvalidSettings,
) -> u64 {
    let Some(text) = &setting.text else { return default };
    match text.parse() {
        Ok(number) if allowed.contains(&number) => number,
        _ => {
            let (from, to) = (allowed.start(), allowed.end());
            let message = format!("{text:?} is no whole number from {from} to {to}");
            faults.add(setting.flag, setting.env, &message);
            default
        }
    }
}

fn timeouts(raw: &RawTimeouts, faults: &mut InvalidSettings) -> Timeouts {
    Timeouts {
        header: duration(&raw.header, Duration::from_secs(10), faults),
        body: duration(&raw.body, Duration::from_secs(30), faults),
        connect: duration(&raw.connect, Duration::from_secs(1), faults),
        idle: duration(&raw.idle, Duration::from_secs(10), faults),
        request: duration(&raw.request, Duration::from_secs(600), faults),
        drain_notice: duration(&raw.drain_notice, Duration::from_secs(2), faults),
    }
}

fn duration(setting: &One, default: Duration, faults: &mut InvalidSettings) -> Duration {
    let Some(text) = &setting.text else { return default };
    let message = match humantime::parse_duration(text) {
        Ok(duration) if TIMEOUT_RANGE.contains(&duration) => return duration,
        Ok(_) => format!(
            "{text:?} is out of range; write a duration from {} to {}",
            humantime::format_duration(*TIMEOUT_RANGE.start()),
            humantime::format_duration(*TIMEOUT_RANGE.end()),
        ),
        Err(_) if text.parse::<f64>().is_ok() => {
            format!("{text:?} has no unit; write a duration such as 800ms or 5s")
        }
        Err(_) => format!("{text:?} is no duration; write one such as 800ms or 5s"),
    };
    faults.add(setting.flag, setting.env, &message);
    default
}

fn telemetry(raw: &RawTelemetry, faults: &mut InvalidSettings) -> TelemetrySettings {
    TelemetrySettings {
        log_format: parsed(&raw.log_format, faults).unwrap_or(LogFormat::Text),
        log_level: log_level(&raw.log_level, faults),
        trace_endpoint: trace_endpoint(&raw.trace_endpoint, faults),
        trace_sample: parsed(&raw.trace_sample, faults).unwrap_or(SampleRatio::ALL),
    }
}

fn log_level(setting: &One, faults: &mut InvalidSettings) -> LevelFilter {
    let Some(text) = &setting.text else { return LevelFilter::Info };
    text.parse().unwrap_or_else(|_| {
        let message =
            format!("{text:?} is no log level; write off, error, warn, info, debug or trace");
        faults.add(setting.flag, setting.env, &message);
        LevelFilter::Info
    })
}

fn trace_endpoint(setting: &One, faults: &mut InvalidSettings) -> Option<std::sync::Arc<str>> {
    let text = setting.text.as_deref()?;
    let host = text.strip_prefix(TRACE_SCHEME).filter(|host| !host.is_empty());
    if host.is_none() || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        let message =
            format!("{text:?} is no URL; write one such as http://127.0.0.1:4318/v1/traces");
        faults.add(setting.flag, setting.env, &message);
        return None;
    }
    Some(text.into())
}
