//! Settings of the built program: defaults, variables, errors, help and exit codes.

use std::{
    net::SocketAddr,
    path::Path,
    process::{Command, Stdio},
    time::Duration,
};

use daemon::Settings;
use log::LevelFilter;
use telemetry::LogFormat;

const KEY: &str = "fleet-key-for-tests-only";
const DIGEST: &str = "2f7d8c4a66fb8eea7f73331c17a5af824e8f26278b31701969eea211defd15e9";

/// Exit code and output of the program.
#[derive(Debug)]
struct Run {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

fn run(args: &[&str], variables: &[(&str, &str)]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_dotterelreachd"))
        .env_clear()
        .envs(variables.iter().copied())
        .args(args)
        .stdin(Stdio::null())
        .output()
        .unwrap();
    Run {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Checks settings that are valid except for `args` and `variables`, and returns the error lines.
fn errors(args: &[&str], variables: &[(&str, &str)]) -> Vec<String> {
    let args = [&["--check", "--fleet-key", KEY][..], args].concat();
    let run = run(&args, variables);
    assert_eq!((run.code, run.stdout.as_str()), (Some(2), ""), "{run:?}");
    run.stderr.lines().map(str::to_owned).collect()
}

macro_rules! errors {
    ($($name:ident: $args:expr, $variables:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(errors(&$args, &$variables), $expected);
        }
    )*};
}

errors! {
    address_without_a_port: ["--listen", "10.0.0.1"], [] => [
        "--listen: \"10.0.0.1\" is not an address; write IP:PORT such as 10.1.0.4:8080 \
         (environment: DOTTERELREACH_LISTEN)"
    ];
    address_by_variable: [], [("DOTTERELREACH_ADMIN_LISTEN", "x")] => [
        "--admin-listen: \"x\" is not an address; write IP:PORT such as 10.1.0.4:8080 \
         (environment: DOTTERELREACH_ADMIN_LISTEN)"
    ];
    duration_without_a_unit: ["--idle-timeout", "5"], [] => [
        "--idle-timeout: \"5\" has no unit; write a duration such as 800ms or 5s \
         (environment: DOTTERELREACH_IDLE_TIMEOUT)"
    ];
    number_out_of_range: ["--max-header-bytes", "1"], [] => [
        "--max-header-bytes: \"1\" is not a whole number from 8192 to 1048576 \
         (environment: DOTTERELREACH_MAX_HEADER_BYTES)"
    ];
    memory_below_the_least: ["--memory-bytes", "1000000"], [] => [
        "--memory-bytes: \"1000000\" is not a whole number from 33554432 to 1099511627776 \
         (environment: DOTTERELREACH_MEMORY_BYTES)"
    ];
    voter_without_a_folder: ["--voter"], [] => [
        "--voter: a voter needs --data-dir (environment: DOTTERELREACH_VOTER)"
    ];
    founder_without_a_vote: ["--founder", "host-1", "--data-dir", "d"], [] => [
        "--founder: only a voter can be given founders (environment: DOTTERELREACH_FOUNDERS)"
    ];
    voter_variable_that_is_not_a_boolean: [], [("DOTTERELREACH_VOTER", "yes")] => [
        "--voter: \"yes\" is neither true nor false (environment: DOTTERELREACH_VOTER)"
    ];
    plain_operator_key_is_not_shown: ["--operator-key", "secret"], [] => [
        "--operator-key: value 1 (not shown) is not a BLAKE3 digest of 64 hexadecimal digits \
         (environment: DOTTERELREACH_OPERATOR_KEYS)"
    ];
    plain_organisation_key_is_not_shown:
        [], [("DOTTERELREACH_ORGANISATION_KEYS", "press=secret")] => [
        "--organisation-key: value 1 (not shown) is not ORGANISATION=DIGEST, with 64 hexadecimal \
         digits (environment: DOTTERELREACH_ORGANISATION_KEYS)"
    ];
    unknown_log_level: ["--log-level", "loud"], [] => [
        "--log-level: \"loud\" is not a log level; write off, error, warn, info, debug or trace \
         (environment: DOTTERELREACH_LOG_LEVEL)"
    ];
    collector_by_https: ["--trace-endpoint", "https://collector/v1/traces"], [] => [
        "--trace-endpoint: \"https://collector/v1/traces\" is not a URL; write one such as \
         http://127.0.0.1:4318/v1/traces (environment: DOTTERELREACH_TRACE_ENDPOINT)"
    ];
    wildcard_peer_address_is_not_advertised: ["--peer-listen", "0.0.0.0:8081"], [] => [
        "--peer-advertise: \"0.0.0.0:8081\" can't be connected to; write this host's own IP:PORT \
         (environment: DOTTERELREACH_PEER_ADVERTISE)"
    ];
    two_listeners_on_one_address: ["--admin-listen", "127.0.0.1:8080"], [] => [
        "--admin-listen: \"127.0.0.1:8080\" is used by another listener \
         (environment: DOTTERELREACH_ADMIN_LISTEN)"
    ];
}

#[test]
fn all_errors_are_reported_together() {
    let args = ["--host", "a b", "--listen", "x", "--body-timeout", "0s", "--trace-sample", "2"];
    let variables = [("DOTTERELREACH_SEEDS", "127.0.0.1:1, y"), ("DOTTERELREACH_LOG_FORMAT", "z")];
    let errors = errors(&args, &variables);
    let flags: Vec<_> = errors.iter().map(|line| line.split(':').next().unwrap()).collect();
    let expected =
        ["--host", "--listen", "--seed", "--body-timeout", "--log-format", "--trace-sample"];
    assert_eq!(flags, expected, "{errors:?}");
}

#[test]
fn fleet_key_is_required_and_not_shown() {
    let run = run(&["--check"], &[("DOTTERELREACH_FLEET_KEY", "too-short")]);
    assert_eq!(run.code, Some(2));
    assert!(run.stderr.starts_with("--fleet-key: required, with at least 16 bytes"), "{run:?}");
    assert!(!run.stderr.contains("too-short"), "{run:?}");
}

#[test]
fn check_of_valid_settings_exits_with_code_0() {
    let run = run(
        &["--check", "--data-dir", "folder"],
        &[
            ("DOTTERELREACH_FLEET_KEY", KEY),
            ("DOTTERELREACH_OPERATOR_KEYS", DIGEST),
            ("DOTTERELREACH_ORGANISATION_KEYS", &format!("press={DIGEST},school={DIGEST}")),
            ("DOTTERELREACH_VOTER", "false"),
        ],
    );
    assert_eq!((run.code, run.stdout.as_str()), (Some(0), "settings are valid\n"), "{run:?}");
}

#[test]
fn unknown_flag_exits_with_code_2() {
    let run = run(&["--no-such-flag"], &[]);
    assert_eq!(run.code, Some(2), "{run:?}");
    assert!(run.stderr.contains("--no-such-flag"), "{run:?}");
}

#[test]
fn address_in_use_exits_with_code_1() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let run = run(&["--fleet-key", KEY, "--listen", &address], &[]);
    assert_eq!(run.code, Some(1), "{run:?}");
    assert!(run.stdout.contains("could not bind"), "{run:?}");
    assert_eq!(run.stderr, "", "{run:?}");
}

#[test]
fn log_lines_follow_the_format_and_level_settings() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let failing = |args: &[&str]| {
        let args = [&["--fleet-key", KEY, "--listen", &address][..], args].concat();
        let run = run(&args, &[]);
        assert_eq!(run.stderr, "", "{run:?}");
        run.stdout
    };
    assert!(failing(&[]).starts_with("time="), "{}", failing(&[]));
    assert!(failing(&["--log-format", "json"]).starts_with("{\"time\":"));
    assert_eq!(failing(&["--log-level", "off"]), "");
}

#[test]
fn help_is_grouped_and_shows_no_key() {
    let variables = [
        ("DOTTERELREACH_FLEET_KEY", KEY),
        ("DOTTERELREACH_OPERATOR_KEYS", DIGEST),
        ("DOTTERELREACH_ORGANISATION_KEYS", "press=abcdef"),
    ];
    let run = run(&["--help"], &variables);
    assert_eq!(run.code, Some(0));
    for group in ["Identity", "Addresses", "State", "Keys", "Limits", "Timeouts", "Logs and traces"]
    {
        assert!(run.stdout.contains(group), "{group}: {}", run.stdout);
    }
    for (name, value) in variables {
        assert!(run.stdout.contains(name), "{name}: {}", run.stdout);
        assert!(!run.stdout.contains(value), "{}", run.stdout);
    }
    assert!(run.stdout.contains("Exit codes: 0"), "{}", run.stdout);
}

#[test]
fn version_is_shown() {
    let run = run(&["--version"], &[]);
    assert_eq!(run.code, Some(0));
    assert!(run.stdout.contains(env!("CARGO_PKG_VERSION")), "{run:?}");
}

#[test]
fn defaults_apply_to_unset_settings() {
    let settings = Settings::from_args(&["--fleet-key", KEY]).unwrap();
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let addresses = (settings.listen, settings.peer_listen, settings.admin_listen);
    assert_eq!(addresses, (address(8080), address(8081), address(7400)));
    assert_eq!(settings.peer_advertise, address(8081));
    assert_eq!((settings.host.as_str(), settings.data_centre.as_str()), ("host-1", "local"));
    assert!(!settings.voter && settings.data_dir.is_none() && settings.seeds.is_empty());
    assert_eq!(settings.timeouts.header, Duration::from_secs(10));
    assert_eq!(settings.timeouts.drain_notice, Duration::from_secs(2));
    assert_eq!(settings.limits.body_bytes.as_u64(), 4 << 20);
    assert_eq!(settings.telemetry.log_level, LevelFilter::Info);
    assert_eq!(settings.telemetry.log_format, LogFormat::Text);
    assert!(settings.telemetry.trace_endpoint.is_none() && settings.operator_keys.is_empty());
}

#[test]
fn founders_come_from_lists_and_repeated_flags() {
    let args = ["--fleet-key", KEY, "--voter", "--data-dir", "d", "--founder", "a,b"];
    let settings = Settings::from_args(&[&args[..], &["--founder", "c"]].concat()).unwrap();
    let founders: Vec<_> = settings.founders.iter().map(|host| host.as_str()).collect();
    assert_eq!((settings.voter, settings.data_dir.as_deref()), (true, Some(Path::new("d"))));
    assert_eq!(founders, ["a", "b", "c"]);
}
