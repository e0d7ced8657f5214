//! Validation of routing tables and lookups in them.

use std::time::Duration;

use routes::{
    ApiKey, Limits, Organisation, RetryPolicy, Route, Service, Table, TableError, WeightedService,
};
use yare::parameterized;

fn service(name: &str) -> Service {
    Service { name: name.parse().unwrap(), max_connections: 10, engine: None }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        services: vec![WeightedService { service: "desk".parse().unwrap(), weight: 1 }],
        retry_policy: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 0,
        max_attempts: 2,
        public: false,
    }
}

fn organisation(name: &str, keys: &[&str]) -> Organisation {
    let keys = keys.iter().map(|key| ApiKey::new(key)).collect();
    Organisation { name: name.into(), keys, priority: None, isolated: false, quota: None }
}

fn table(routes: Vec<Route>, organisations: Vec<Organisation>) -> Result<Table, TableError> {
    Table::new(routes, vec![service("desk")], Vec::new(), organisations, Limits::default())
}

#[parameterized(
    longest_prefix = { "a.example", "/x/y/z", Some("long") },
    shorter_prefix = { "a.example", "/x/other", Some("short") },
    port_is_ignored = { "A.example:8080", "/x/y/", Some("long") },
    other_host = { "b.example", "/x/y/", None },
    prefix_without_trailing_slash = { "a.example", "/x", None },
)]
fn finds_longest_prefix_of_host(host: &str, path: &str, expected: Option<&str>) {
    let routes = vec![route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/")];
    let table = table(routes, Vec::new()).unwrap();
    assert_eq!(table.find(host, path).map(|route| &*route.name), expected);
}

#[test]
fn rejects_inconsistent_routes() {
    let unknown_service = Route {
        services: vec![WeightedService { service: "none".parse().unwrap(), weight: 1 }],
        ..route("r", "a", "/x/")
    };
    let zero_weight = Route {
        services: vec![WeightedService { service: "desk".parse().unwrap(), weight: 0 }],
        ..route("r", "a", "/x/")
    };
    let zero_timeout = Route { timeout: Duration::ZERO, ..route("r", "a", "/x/") };
    let duplicate = vec![route("r", "a", "/x/"), route("s", "A", "/x/")];
    let name = || "r".into();
    let cases = [
        (
            vec![unknown_service],
            TableError::UnknownService { route: name(), service: "none".parse().unwrap() },
        ),
        (vec![zero_weight], TableError::ZeroWeight { route: name() }),
        (vec![zero_timeout], TableError::ZeroTimeout { route: name() }),
        (duplicate, TableError::DuplicateRoute { host: "a".into(), prefix: "/x/".into() }),
        (vec![route("r", "a", "/x")], TableError::InvalidPrefix { route: name() }),
    ];
    for (routes, expected) in cases {
        assert_eq!(table(routes, Vec::new()).unwrap_err(), expected);
    }
}

#[test]
fn rejects_a_key_of_two_organisations() {
    let organisations = vec![organisation("a", &["k1", "k2"]), organisation("b", &["k2"])];
    assert_eq!(table(Vec::new(), organisations).unwrap_err(), TableError::DuplicateKey);
}

#[test]
fn finds_organisation_by_key() {
    let organisations = vec![organisation("a", &["k1", "k1"]), organisation("b", &["k2"])];
    let table = table(Vec::new(), organisations).unwrap();
    assert_eq!(table.organisation("k2").map(|o| &*o.name), Some("b"));
    assert_eq!(table.organisation("k3"), None);
}

#[parameterized(
    first = { 0.0, "a" },
    below_the_boundary = { 0.89, "a" },
    above_the_boundary = { 0.91, "c" },
    end = { 0.999, "c" },
)]
fn picks_service_by_weight(draw: f64, expected: &str) {
    let weighted = |name: &str, weight| WeightedService { service: name.parse().unwrap(), weight };
    let services = vec![weighted("a", 90), weighted("b", 0), weighted("c", 10)];
    let route = Route { services, ..route("r", "a", "/x/") };
    assert_eq!(route.pick_service(draw).map(|s| s.as_str()), Some(expected));
}

#[test]
fn debug_output_omits_keys() {
    assert!(!format!("{:?}", organisation("a", &["secret"])).contains("secret"));
}

/// Guards against treating a service as mixed because of another service's routes, or of a route
/// that sends it nothing.
#[parameterized(
    equal = { &[(0, 1), (0, 1)], false },
    different = { &[(0, 1), (2, 1)], true },
    different_without_weight = { &[(0, 1), (2, 0)], false },
)]
fn mixed_priorities_of_a_service(routes: &[(u8, u32)], expected: bool) {
    let routes = routes.iter().enumerate().map(|(i, &(priority, weight))| {
        let weighted =
            |name: &str, weight| WeightedService { service: name.parse().unwrap(), weight };
        let services = vec![weighted("desk", weight), weighted("other", 1)];
        Route { services, priority, ..route("r", "a", &format!("/{i}/")) }
    });
    let services = vec![service("desk"), service("other")];
    let table =
        Table::new(routes.collect(), services, Vec::new(), Vec::new(), Limits::default()).unwrap();
    let desk = "desk".parse().unwrap();
    assert_eq!(table.has_mixed_priorities(&desk), expected);
    assert!(!table.distinguishes_urgency(&desk), "no organisation has a quota");
}
