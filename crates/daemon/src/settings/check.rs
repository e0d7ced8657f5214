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
    InvalidSettings, Limits, Settings, TelemetrySettings, Timeouts, memory,
    raw::{ListSetting, Raw, RawLimits, RawTelemetry, RawTimeouts, Setting, SingleSetting},
};

const DEFAULT_HOST: &str = "host-1";
const DEFAULT_DATA_CENTRE: &str = "local";
const DEFAULT_LISTEN_PORT: u16 = 8080;
const DEFAULT_PEER_PORT: u16 = 8081;
const DEFAULT_ADMIN_PORT: u16 = 7400;

/// Shortest and longest value of a timeout setting.
const TIMEOUT_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(3600);

/// Shortest fleet key, in bytes.
const MIN_FLEET_KEY_BYTES: usize = 16;

/// Largest number of lost disks that healing can be set to tolerate; each needs two more voters.
const MAX_LOST_DISKS: u64 = 4;

const OPERATOR_KEY_RULE: &str = "a BLAKE3 digest of 64 hexadecimal digits";
const ORGANISATION_KEY_RULE: &str = "ORGANISATION=DIGEST, with 64 hexadecimal digits";

/// Scheme of a collector's URL; spans are sent without encryption.
const TRACE_SCHEME: &str = "http://";

pub(super) fn check(raw: Raw) -> Result<Settings, InvalidSettings> {
    let mut errors = InvalidSettings::default();
    let peer_listen = address(&raw.addresses.peer_listen, DEFAULT_PEER_PORT, &mut errors);
    let settings = Settings {
        host: parse_optional(&raw.identity.host, &mut errors)
            .unwrap_or_else(|| DEFAULT_HOST.parse().expect("the default is valid")),
        data_centre: parse_optional(&raw.identity.data_centre, &mut errors)
            .unwrap_or_else(|| DEFAULT_DATA_CENTRE.parse().expect("the default is valid")),
        listen: address(&raw.addresses.listen, DEFAULT_LISTEN_PORT, &mut errors),
        peer_listen,
        peer_advertise: parse_optional(&raw.addresses.peer_advertise, &mut errors)
            .unwrap_or(peer_listen),
        admin_listen: address(&raw.addresses.admin_listen, DEFAULT_ADMIN_PORT, &mut errors),
        seeds: parse_all(&raw.addresses.seeds, &mut errors),
        hosts_by_address: parse_bool(&raw.addresses.hosts_by_address, &mut errors),
        data_dir: raw.state.data_dir.text.clone().map(Into::into),
        voter: parse_bool(&raw.state.voter, &mut errors),
        founders: parse_all(&raw.state.founders, &mut errors),
        healing: healing(&raw.state.lost_disks, &mut errors),
        fleet_key: fleet_key(&raw.keys.fleet_key, &mut errors),
        operator_keys: parse_all_secret(&raw.keys.operator_keys, OPERATOR_KEY_RULE, &mut errors),
        organisation_keys: parse_all_secret(
            &raw.keys.organisation_keys,
            ORGANISATION_KEY_RULE,
            &mut errors,
        ),
        limits: limits(&raw.limits, &mut errors),
        timeouts: timeouts(&raw.timeouts, &mut errors),
        telemetry: telemetry(&raw.telemetry, &mut errors),
        check_only: raw.check_only,
    };
    check_combinations(&settings, &mut errors);
    if !errors.lines().is_empty() {
        return Err(errors);
    }
    Ok(settings)
}

/// Checks combinations of settings.
fn check_combinations(settings: &Settings, errors: &mut InvalidSettings) {
    if settings.voter && settings.data_dir.is_none() {
        errors.add("--voter", "DOTTERELREACH_VOTER", "a voter needs --data-dir");
    }
    if !settings.founders.is_empty() && !settings.voter {
        errors.add("--founder", "DOTTERELREACH_FOUNDERS", "only a voter can be given founders");
    }
    if settings.peer_advertise.ip().is_unspecified() || settings.peer_advertise.port() == 0 {
        let shown = settings.peer_advertise;
        let message = format!("\"{shown}\" can't be connected to; write this host's own IP:PORT");
        errors.add("--peer-advertise", "DOTTERELREACH_PEER_ADVERTISE", &message);
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
            errors.add(flag, env, &format!("\"{address}\" is used by another listener"));
        }
    }
}

fn parse_optional<T: FromStr<Err: Display>>(
    setting: &SingleSetting,
    errors: &mut InvalidSettings,
) -> Option<T> {
    parse_text(setting, setting.text.as_deref()?, errors)
}

fn parse_all<T: FromStr<Err: Display>>(
    setting: &ListSetting,
    errors: &mut InvalidSettings,
) -> Vec<T> {
    setting.text.iter().filter_map(|text| parse_text(setting, text, errors)).collect()
}

/// Parses values without showing them: a key may have been given in place of its digest, and must
/// not reach a terminal or a log.
fn parse_all_secret<T: FromStr>(
    setting: &ListSetting,
    allowed: &str,
    errors: &mut InvalidSettings,
) -> Vec<T> {
    let mut parsed = Vec::with_capacity(setting.text.len());
    for (i, text) in setting.text.iter().enumerate() {
        match text.parse() {
            Ok(value) => parsed.push(value),
            Err(_) => {
                let message = format!("value {} (not shown) is not {allowed}", i + 1);
                errors.add(setting.flag, setting.env, &message);
            }
        }
    }
    parsed
}

fn parse_bool(setting: &SingleSetting, errors: &mut InvalidSettings) -> bool {
    let Some(text) = &setting.text else { return false };
    text.parse().unwrap_or_else(|_| {
        let message = format!("{text:?} is neither true nor false");
        errors.add(setting.flag, setting.env, &message);
        false
    })
}

fn parse_text<S, T>(setting: &Setting<S>, text: &str, errors: &mut InvalidSettings) -> Option<T>
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
                errors.add(setting.flag, setting.env, &message);
            } else {
                errors.add(setting.flag, setting.env, &format!("{shown}: {message}"));
            }
            None
        }
    }
}

fn address(setting: &SingleSetting, default_port: u16, errors: &mut InvalidSettings) -> SocketAddr {
    let default = SocketAddr::from((Ipv4Addr::LOCALHOST, default_port));
    let Some(text) = &setting.text else { return default };
    text.parse().unwrap_or_else(|_| {
        let message = format!("{text:?} is not an address; write IP:PORT such as 10.1.0.4:8080");
        errors.add(setting.flag, setting.env, &message);
        default
    })
}

fn fleet_key(setting: &SingleSetting, errors: &mut InvalidSettings) -> std::sync::Arc<str> {
    let text = setting.text.as_deref().unwrap_or_default();
    if text.len() < MIN_FLEET_KEY_BYTES {
        let message = format!("required, with at least {MIN_FLEET_KEY_BYTES} bytes");
        errors.add(setting.flag, setting.env, &message);
    }
    text.into()
}

fn healing(setting: &SingleSetting, errors: &mut InvalidSettings) -> Option<HealingSettings> {
    setting.text.as_ref()?;
    let lost_disks = number(setting, 0, 0..=MAX_LOST_DISKS, errors);
    let lost_disks = usize::try_from(lost_disks).unwrap_or_default();
    Some(HealingSettings { lost_disks, ..HealingSettings::default() })
}

fn limits(raw: &RawLimits, errors: &mut InvalidSettings) -> Limits {
    Limits {
        header_bytes: ByteCount::new(number(
            &raw.header_bytes,
            32 << 10,
            8 << 10..=1 << 20,
            errors,
        )),
        body_bytes: ByteCount::new(number(&raw.body_bytes, 4 << 20, 1 << 10..=256 << 20, errors)),
        connections: number(&raw.connections, 10_000, 1..=1_000_000, errors),
        organisation_requests: number(&raw.organisation_requests, 1_000, 1..=1_000_000, errors),
        memory_bytes: ByteCount::new(number(
            &raw.memory_bytes,
            memory::of_machine(),
            32 << 20..=1 << 40,
            errors,
        )),
    }
}

fn number(
    setting: &SingleSetting,
    default: u64,
    allowed: RangeInclusive<u64>,
    errors: &mut InvalidSettings,
) -> u64 {
    let Some(text) = &setting.text else { return default };
    match text.parse() {
        Ok(number) if allowed.contains(&number) => number,
        _ => {
            let (from, to) = (allowed.start(), allowed.end());
            let message = format!("{text:?} is not a whole number from {from} to {to}");
            errors.add(setting.flag, setting.env, &message);
            default
        }
    }
}

fn timeouts(raw: &RawTimeouts, errors: &mut InvalidSettings) -> Timeouts {
    Timeouts {
        header: duration(&raw.header, Duration::from_secs(10), errors),
        body: duration(&raw.body, Duration::from_secs(30), errors),
        connect: duration(&raw.connect, Duration::from_secs(1), errors),
        idle: duration(&raw.idle, Duration::from_secs(10), errors),
        request: duration(&raw.request, Duration::from_secs(600), errors),
        drain_notice: duration(&raw.drain_notice, Duration::from_secs(2), errors),
    }
}

fn duration(setting: &SingleSetting, default: Duration, errors: &mut InvalidSettings) -> Duration {
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
        Err(_) => format!("{text:?} is not a duration; write one such as 800ms or 5s"),
    };
    errors.add(setting.flag, setting.env, &message);
    default
}

fn telemetry(raw: &RawTelemetry, errors: &mut InvalidSettings) -> TelemetrySettings {
    TelemetrySettings {
        log_format: parse_optional(&raw.log_format, errors).unwrap_or(LogFormat::Text),
        log_level: log_level(&raw.log_level, errors),
        trace_endpoint: trace_endpoint(&raw.trace_endpoint, errors),
        trace_sample: parse_optional(&raw.trace_sample, errors).unwrap_or(SampleRatio::ALL),
    }
}

fn log_level(setting: &SingleSetting, errors: &mut InvalidSettings) -> LevelFilter {
    let Some(text) = &setting.text else { return LevelFilter::Info };
    text.parse().unwrap_or_else(|_| {
        let message =
            format!("{text:?} is not a log level; write off, error, warn, info, debug or trace");
        errors.add(setting.flag, setting.env, &message);
        LevelFilter::Info
    })
}

fn trace_endpoint(
    setting: &SingleSetting,
    errors: &mut InvalidSettings,
) -> Option<std::sync::Arc<str>> {
    let text = setting.text.as_deref()?;
    let host = text.strip_prefix(TRACE_SCHEME).filter(|host| !host.is_empty());
    if host.is_none() || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        let message =
            format!("{text:?} is not a URL; write one such as http://127.0.0.1:4318/v1/traces");
        errors.add(setting.flag, setting.env, &message);
        return None;
    }
    Some(text.into())
}
