//! Spans of requests through a real daemon, exported to a fake collector.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use bench::{
    caller::{self, CompletionSpec, Outcome, block_on},
    process::{Program, wait_until},
    site::{Site, SiteSpec, organisation_key},
};
use hyper::{Method, Request};
use telemetry::RequestStage;

/// The caller's `traceparent` header, and its trace id as spans contain it.
const TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const TRACE_ID: [u8; 16] = [
    0x0a, 0xf7, 0x65, 0x19, 0x16, 0xcd, 0x43, 0xdd, 0x84, 0x48, 0xeb, 0x21, 0x1c, 0x80, 0x31, 0x9c,
];

/// Request bodies that the collector has received.
type Bodies = Arc<Mutex<Vec<Vec<u8>>>>;

fn start_collector() -> (String, Bodies) {
    let bodies = Bodies::default();
    let server = {
        let bodies = Arc::clone(&bodies);
        rouille::Server::new("127.0.0.1:0", move |req| {
            let mut body = Vec::new();
            std::io::copy(&mut req.data().unwrap(), &mut body).unwrap();
            bodies.lock().unwrap().push(body);
            rouille::Response::empty_204().with_status_code(200)
        })
        .unwrap()
    };
    let url = format!("http://{}/v1/traces", server.server_addr());
    std::thread::spawn(move || server.run());
    (url, bodies)
}

fn contains(bodies: &Bodies, needle: &[u8]) -> bool {
    let bodies = bodies.lock().unwrap();
    bodies.iter().any(|body| body.windows(needle.len()).any(|window| window == needle))
}

/// Returns a span's name as encoded in protobuf: the tag of field 5, its length and its text.
fn name_field(stage: RequestStage) -> Vec<u8> {
    let name = stage.as_str().as_bytes();
    let mut field = vec![0x2a, u8::try_from(name.len()).unwrap()];
    field.extend_from_slice(name);
    field
}

async fn send_traced_order(site: &Site) {
    let router = site.routers()[0];
    let key = organisation_key(&site.spec.organisations[0]);
    let req = Request::builder()
        .method(Method::POST)
        .uri("/services/orders/orders")
        .header("host", router.to_string())
        .header("authorization", format!("Bearer {key}"))
        .header("idempotency-key", "order-1")
        .header("traceparent", TRACEPARENT)
        .body(http_body_util::Full::default())
        .unwrap();
    let response = caller::send(router, req).await.unwrap();
    assert!(response.status().is_success());
    assert!(response.headers().contains_key("x-request-id"));
}

#[test]
fn every_stage_of_a_completion_and_an_order_has_a_span() {
    let (url, bodies) = start_collector();
    let program = Program { path: env!("CARGO_BIN_EXE_bench").into(), args: vec!["daemon".into()] };
    let spec = SiteSpec { flags: vec![("--trace-endpoint", url)], ..SiteSpec::small() };
    let site = Site::start(&program, spec).unwrap();
    let request = CompletionSpec {
        key: organisation_key(&site.spec.organisations[0]),
        model: site.spec.model.to_string(),
        prompt: "organisation school-1\nDear diary".to_owned(),
        tokens: 4,
        chat: false,
    };
    block_on(async {
        let outcome = caller::complete(site.routers()[0], &request).await;
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
        send_traced_order(&site).await;
    });
    let missing = || -> BTreeSet<&str> {
        let absent =
            RequestStage::ALL.into_iter().filter(|stage| !contains(&bodies, &name_field(*stage)));
        absent.map(RequestStage::as_str).collect()
    };
    let all = || missing().is_empty() && contains(&bodies, &TRACE_ID);
    wait_until("a span of each stage, with the caller's trace id", Duration::from_secs(20), all)
        .unwrap_or_else(|e| panic!("{e}; missing: {:?}", missing()));
}
