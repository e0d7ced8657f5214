//! Parsing of declarations, error messages, precedence of settings.

mod fixture;

use base::{Digest, UnixMillis};
use fleet::{Declaration, Scope, diff};

fn scope(text: &str) -> Scope {
    let declaration = format!(
        "[[exceptions]]\nid = 'e'\nreason = 'for a test'\nset = {{ request-timeout = '1s' }}\nscope = {text}"
    );
    let declaration = Declaration::from_toml(&declaration).expect("scope");
    declaration.contents().exceptions[0].scope.clone()
}

macro_rules! error_cases {
    ($($name:ident: $text:expr => $message:expr,)*) => {$(
        #[test]
        fn $name() {
            let error = Declaration::from_toml($text).expect_err("declaration is wrong");
            assert_eq!(error.to_string(), $message);
        }
    )*};
}

error_cases! {
    number_out_of_range: "[defaults]\nshare = 0" =>
        "line 2 column 9: key `share`, value `0`: invalid value: integer `0`, \
         expected a whole number from 1 to 10000",
    too_many_weight_loads: "[defaults]\nmax-weight-loads = 4" =>
        "line 2 column 20: key `max-weight-loads`, value `4`: invalid value: integer `4`, \
         expected a whole number from 1 to 3",
    duration_without_unit: "[defaults]\n\nconnect-timeout = '5'" =>
        "line 3 column 19: key `connect-timeout`, value `'5'`: \"5\" is not a valid timeout; \
         expected a duration from 1ms to 1h, such as 800ms or 5s",
    duration_as_number: "[defaults]\nhedge-delay = 5" =>
        "line 2 column 15: key `hedge-delay`, value `5`: invalid type: integer `5`, \
         expected \"off\" or a duration such as 800ms",
    ratio_out_of_range: "[defaults]\nretry-budget = 1.5" =>
        "line 2 column 16: key `retry-budget`, value `1.5`: invalid value: floating point `1.5`, \
         expected a number from 0 to 1",
    ratio_not_a_number: "[defaults]\nretry-budget = nan" =>
        "line 2 column 16: key `retry-budget`, value `nan`: invalid value: floating point `NaN`, \
         expected a number from 0 to 1",
    unknown_policy: "[defaults]\nrouting-policy = 'random'" =>
        "line 2 column 18: key `routing-policy`, value `'random'`: unknown variant `random`, \
         expected one of `warm`, `warm-v1`, `round-robin`, `least-in-flight`, `hash`",
    unknown_table: "[default]\nshare = 1" =>
        "line 1 column 2: key `default`: unknown field `default`, \
         expected one of `defaults`, `models`, `organisations`, `exceptions`",
    drain_as_default: "[defaults]\ndrain = true" =>
        "line 2 column 1: key `drain`, value `true`: \
         expected an exception for this setting; it can't be a default",
    empty_reason: "[[exceptions]]\nid = 'e'\nreason = '...'\nscope = { model = 'm' }\nset = { priority = 1 }" =>
        "line 3 column 10: key `reason`, value `'...'`: \"...\" is not a valid reason; \
         expected a sentence with at least 3 letters and at most 1000 bytes",
    missing_reason: "[[exceptions]]\nid = 'e'\nscope = { model = 'm' }\nset = { priority = 1 }" =>
        "line 1 column 1: key `[[exceptions]]`: missing field `reason`",
    empty_scope: "[[exceptions]]\nid = 'e'\nreason = 'for a test'\nscope = {}\nset = { priority = 1 }" =>
        "line 4 column 9: key `scope`, value `{}`: \
         expected one or more of organisation, model, service, data-centre and endpoint",
    empty_set: "[[exceptions]]\nid = 'e'\nreason = 'for a test'\nscope = { model = 'm' }\nset = {}" =>
        "line 5 column 7: key `set`, value `{}`: expected at least one setting",
    share_of_a_model: "[[exceptions]]\nid = 'e'\nreason = 'for a test'\nscope = { model = 'm' }\nset = { priority = 1, share = 2 }" =>
        "line 5 column 23: key `share`, value `2`: \
         expected this setting in a scope of organisation only",
    drain_of_a_model: "[[exceptions]]\nid = 'e'\nreason = 'for a test'\n[exceptions.scope]\nmodel = 'm'\n[exceptions.set]\ndrain = true" =>
        "line 7 column 1: key `drain`, value `true`: \
         expected this setting in a scope of data-centre, endpoint only",
    loads_of_an_endpoint: "[[exceptions]]\nid = 'e'\nreason = 'for a test'\nscope = { endpoint = 'x' }\nset = { max-weight-loads = 1 }" =>
        "line 5 column 9: key `max-weight-loads`, value `1`: \
         expected this setting in [defaults] only",
    end_without_zone: "[[exceptions]]\nid = 'e'\nuntil = 'friday'" =>
        "line 3 column 9: key `until`, value `'friday'`: \"friday\" is not a valid end time; \
         expected a UTC time such as 2026-12-04T18:00:00Z or seconds since 1970",
    duplicate_organisation: "[[organisations]]\nid = 'a'\n[[organisations]]\nid = 'a'" =>
        "line 3 column 1: key `id`, value `[[organisations]]`: \
         expected one entry for each organisation",
    short_key_digest: "[[organisations]]\nid = 'a'\nkeys = ['ab']" =>
        "line 3 column 8: key `keys`, value `['ab']`: \"ab\" is not a valid digest; \
         expected 64 hexadecimal digits",
    prefill_servers_only: "[[models]]\nmodel = 'm'\nweights = 'v1'\nminimum-servers = 2\nprefill-servers = 2" =>
        "line 1 column 1: key `prefill-servers`, value `[[models]]`: \
         expected fewer prefill-servers than minimum-servers",
    too_long: &"#".repeat(2_097_153) =>
        "line 1 column 1: the text has 2097153 bytes; expected at most 2097152",
    broken_toml: "[defaults\n" =>
        "line 1 column 10: unclosed table, expected `]`",
}

const LAYERED: &str = "
[defaults]
request-timeout = '20s'
idempotent-methods = ['GET']

[[organisations]]
id = 'large'
keys = ['ca002330e69d3e6b84a46a56a6533fd79d51d97a3bb7cad6c2ff43b354185d6d']
share = 4

[[exceptions]]
id = 'model'
reason = 'long proofs'
scope = { model = 'm' }
set = { request-timeout = '30s' }

[[exceptions]]
id = 'organisation'
reason = 'press runs'
scope = { organisation = 'large' }
set = { request-timeout = '40s', share = 9 }

[[exceptions]]
id = 'both'
reason = 'press runs with long proofs'
until = 100
scope = { organisation = 'large', model = 'm' }
set = { request-timeout = '50s' }

[[exceptions]]
id = 'model-again'
reason = 'longer proofs'
scope = { model = 'n' }
set = { request-timeout = '31s' }

[[exceptions]]
id = 'model-later'
reason = 'longest proofs'
scope = { model = 'n' }
set = { request-timeout = '32s', kv-transfer = 'both' }

[[exceptions]]
id = 'desk'
reason = 'the desk ignores doubled status posts'
scope = { service = 'desk' }
set = { idempotent-methods = ['GET', 'POST'] }

[[exceptions]]
id = 'repair'
reason = 'fan repair'
until = '1970-01-01T00:01:40Z'
scope = { endpoint = 'engine-3' }
set = { drain = true, connect-timeout = '1s', request-timeout = '60s' }

[[exceptions]]
id = 'move'
reason = 'the rack moves'
scope = { data-centre = 'hobart' }
set = { drain = true, request-timeout = '70s' }
";

macro_rules! effective_cases {
    ($($name:ident: $scope:literal at $millis:literal, $field:ident => $value:literal,)*) => {$(
        #[test]
        fn $name() {
            let declaration = Declaration::from_toml(LAYERED).expect("declaration");
            let again = Declaration::from_toml(&declaration.to_toml()).expect("own TOML");
            assert_eq!(again, declaration);
            let settings = declaration.effective(&scope($scope), UnixMillis::new($millis));
            assert_eq!(settings.$field.to_string(), $value);
        }
    )*};
}

effective_cases! {
    default_without_an_exception: "{ model = 'other' }" at 0, request_timeout => "20s",
    built_in_value_without_a_default: "{ model = 'other' }" at 0, connect_timeout => "500ms",
    model_over_default: "{ model = 'm' }" at 0, request_timeout => "30s",
    organisation_over_default: "{ organisation = 'large' }" at 0, request_timeout => "40s",
    more_dimensions_take_precedence: "{ organisation = 'large', model = 'm' }" at 0, request_timeout => "50s",
    narrower_dimension_takes_precedence_after_the_end:
        "{ organisation = 'large', model = 'm' }" at 100000, request_timeout => "40s",
    two_dimensions_over_a_narrower_one:
        "{ organisation = 'large', model = 'm', endpoint = 'engine-3' }" at 0, request_timeout => "50s",
    narrower_dimension_over_a_later_entry:
        "{ organisation = 'large', data-centre = 'hobart' }" at 0, request_timeout => "40s",
    later_entry_wins_a_tie: "{ model = 'n' }" at 0, request_timeout => "32s",
    transfers_of_a_model: "{ model = 'n' }" at 0, kv_transfer => "both",
    no_transfers_elsewhere: "{ model = 'm' }" at 0, kv_transfer => "off",
    exception_over_entry: "{ organisation = 'large' }" at 0, share => "9",
    methods_of_a_service: "{ service = 'desk' }" at 0, idempotent_methods => "GET POST",
    methods_elsewhere: "{ service = 'rota' }" at 0, idempotent_methods => "GET",
    endpoint_drains: "{ endpoint = 'engine-3' }" at 99999, drain => "true",
    drain_ends: "{ endpoint = 'engine-3' }" at 100000, drain => "false",
    data_centre_drains: "{ endpoint = 'x', data-centre = 'hobart' }" at 0, drain => "true",
    endpoint_exception_does_not_apply_to_others: "{ endpoint = 'engine-4' }" at 0, connect_timeout => "500ms",
}

#[test]
fn explain_shows_the_exception_and_its_reason() {
    let declaration = Declaration::from_toml(LAYERED).expect("declaration");
    let explained = declaration.explain(&scope("{ organisation = 'large' }"), UnixMillis::new(0));
    let lines: Vec<_> = explained.iter().map(ToString::to_string).collect();
    for line in [
        "request-timeout = 40s (exception organisation: press runs)",
        "idempotent-methods = GET (defaults)",
        "connect-timeout = 500ms (built-in)",
    ] {
        assert!(lines.iter().any(|found| found == line), "{line} in {lines:#?}");
    }
}

macro_rules! repeat_cases {
    ($($name:ident: $scope:literal, $method:literal => $may:literal,)*) => {$(
        #[test]
        fn $name() {
            let declaration = Declaration::from_toml(LAYERED).expect("declaration");
            let settings = declaration.effective(&scope($scope), UnixMillis::new(0));
            assert_eq!(settings.may_repeat($method), $may);
        }
    )*};
}

repeat_cases! {
    get_is_idempotent: "{ service = 'rota' }", "GET" => true,
    head_by_the_default: "{ service = 'rota' }", "HEAD" => false,
    post_by_exception: "{ service = 'desk' }", "POST" => true,
    post_elsewhere: "{ service = 'rota' }", "POST" => false,
    unknown_method: "{ service = 'desk' }", "BREW" => false,
    methods_are_in_upper_case: "{ service = 'desk' }", "get" => false,
}

#[test]
fn bearer_key_identifies_its_organisation() {
    let declaration = Declaration::from_toml(LAYERED).expect("declaration");
    let key = declaration.contents().organisations[0].keys[0];
    assert_eq!(declaration.organisation_of_key(&key).map(|o| o.id.as_str()), Some("large"));
    assert_eq!(declaration.organisation_of_key(&Digest::of(b"other")), None);
}

#[test]
fn diff_shows_added_changed_and_removed() {
    let before = "[defaults]\nshare = 2\npriority = 1\n[[organisations]]\nid = 'a'\n";
    let after = "[defaults]\nshare = 3\n[[organisations]]\nid = 'b'\nshare = 2\n";
    let read = |text| Declaration::from_toml(text).expect("declaration");
    let lines: Vec<_> = diff(&read(before), &read(after)).iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "~ default share: 2 -> 3",
            "+ organisation b: share 2, keys []",
            "- default priority: 1",
            "- organisation a: share default, keys []",
        ]
    );
}
