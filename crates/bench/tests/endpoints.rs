//! Endpoints that leave, crash, restart empty or become unreachable, and routers that miss it.

use std::time::{Duration, Instant};

use base::{Incarnation, Sequence, Verdict};
use bench::{
    Fault, Proxy,
    caller::{self, CompletionSpec, Outcome, block_on},
    declare::apply_declaration,
    partition,
    process::{Daemon, Program, wait_until},
    site::{FLEET_KEY, Site, SiteSpec, organisation_key},
    stream::{CompletionStream, StreamEnd, check_complete},
};
use wire::announcement::AnnouncementBody;

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a leaving endpoint gets no new requests.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Time for which a router is frozen.
const FREEZE_TIME: Duration = Duration::from_secs(10);

const TOKENS: u64 = 60;

/// A lease longer than any test.
const LONG_LEASE_MS: u64 = 60_000;

fn site() -> Site {
    let spec = SiteSpec {
        services: Vec::new(),
        flags: vec![("--idle-timeout", "500ms".to_owned())],
        ..SiteSpec::small()
    };
    Site::start(&Program::bench(env!("CARGO_BIN_EXE_bench")), spec).unwrap()
}

fn completion(site: &Site, number: usize) -> CompletionSpec {
    let organisation = &site.spec.organisations[number % site.spec.organisations.len()];
    CompletionSpec {
        key: organisation_key(organisation),
        model: site.spec.model.to_string(),
        prompt: format!("organisation {organisation}\nquestion {number}"),
        tokens: TOKENS,
        chat: number % 2 == 1,
    }
}

/// Sends requests to these routers and checks that all get a complete response.
async fn check_all_answered(site: &Site, routers: &[usize]) {
    let completions: Vec<_> = (0..24).map(|number| completion(site, number)).collect();
    let listen = site.routers();
    let sent = completions
        .iter()
        .enumerate()
        .map(|(i, request)| caller::complete(listen[routers[i % routers.len()]], request));
    for outcome in futures_util::future::join_all(sent).await {
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }
}

async fn open(site: &Site, router: usize, request: &CompletionSpec) -> CompletionStream {
    CompletionStream::open(site.routers()[router], request, None).await.unwrap().stream().unwrap()
}

/// Returns the index of the engine that generates the stream.
fn engine_of(stream: &CompletionStream) -> usize {
    let endpoint = &stream.last_id.as_ref().unwrap().endpoint;
    let number: usize = endpoint.as_str().rsplit('-').next().unwrap().parse().unwrap();
    number - 1
}

fn requests(site: &Site, engine: usize) -> u64 {
    site.engines[engine].engine.counts().requests
}

/// Returns an announcement that an engine could have sent earlier.
fn old_announcement(site: &Site, engine: usize, sequence: u64) -> AnnouncementBody {
    AnnouncementBody {
        id: format!("engine-{}", engine + 1).parse().unwrap(),
        incarnation: Incarnation::new(1),
        sequence: Sequence::new(sequence),
        data_centre: site.spec.engines[engine].parse().unwrap(),
        address: site.engines[engine].proxy.address(),
        lease_ms: LONG_LEASE_MS,
        leaving: false,
        engine: Some(site.engines[engine].engine.describe()),
        service: None,
    }
}

fn announce(daemon: &Daemon, body: &AnnouncementBody) {
    let response = attohttpc::post(format!("http://{}/announce", daemon.spec().listen))
        .bearer_auth(FLEET_KEY)
        .text(serde_json::to_string(body).unwrap())
        .send()
        .unwrap();
    assert!(response.is_success(), "{}", response.status());
}

fn is_not_run(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Failed(problem) if problem.verdict == Some(Verdict::NotRun))
}

/// Tests that engine 0 gets no requests after it left while the given router is isolated.
macro_rules! left_while_isolated {
    ($($name:ident: $router:literal;)*) => {$(
        #[test]
        fn $name() {
            let site = site();
            block_on(check_all_answered(&site, &[0, 1, 2]));
            partition::isolate_router(&site, $router);
            let left = Instant::now();
            site.engines[0].announcer.leave();
            // Delayed copies of its earlier announcements arrive in between.
            while left.elapsed() < LEAVE_PROPAGATION_TIME {
                for (i, daemon) in site.daemons.iter().enumerate() {
                    announce(daemon, &old_announcement(&site, 0, i as u64 % 2));
                }
                std::thread::sleep(LEAVE_PROPAGATION_TIME / 30);
            }
            let before = requests(&site, 0);
            let completions: Vec<_> = (0..24).map(|number| completion(&site, number)).collect();
            for router in 0..site.daemons.len() {
                let listen = site.routers()[router];
                let sent = completions.iter().map(|request| caller::complete(listen, request));
                for outcome in block_on(futures_util::future::join_all(sent)) {
                    // The isolated router may know no other engine.
                    let is_served = matches!(outcome, Outcome::Answered(_));
                    assert!(is_served || router == $router && is_not_run(&outcome), "{outcome:?}");
                }
                assert_eq!(requests(&site, 0), before, "router {router}");
            }
            partition::heal(&site);
            for daemon in &site.daemons {
                site.wait_endpoint_count(daemon, 2).unwrap();
            }
            block_on(check_all_answered(&site, &[0, 1, 2]));
            assert_eq!(requests(&site, 0), before, "after the partition");
        }
    )*};
}

left_while_isolated! {
    left_endpoint_gets_no_requests_while_router_1_is_isolated: 0;
    left_endpoint_gets_no_requests_while_router_2_is_isolated: 1;
    left_endpoint_gets_no_requests_while_router_3_is_isolated: 2;
}

#[test]
fn restarted_engine_is_treated_as_another_engine() {
    let mut site = site();
    let request = completion(&site, 0);
    block_on(async {
        let mut stream = open(&site, 0, &request).await;
        stream.read_tokens(5).await.unwrap();
        let engine = engine_of(&stream);
        let id = stream.last_id.clone().unwrap();
        let delayed = AnnouncementBody {
            sequence: Sequence::new(1 << 40),
            ..old_announcement(&site, engine, 0)
        };
        site.restart_engine(engine, Incarnation::new(2));
        let end = stream.finish().await.unwrap();
        assert_eq!(end, StreamEnd::Done, "{}", site.daemons[0].log().unwrap());
        check_complete(&request, &[&stream]).unwrap();
        wait_until("the new incarnation is known", WAIT_TIMEOUT, || {
            let router = site.routers()[1];
            let resumed = block_on_thread(
                move |request, id| async move {
                    CompletionStream::open(router, &request, Some(&id))
                        .await
                        .unwrap()
                        .problem()
                        .ok()
                },
                request.clone(),
                id.clone(),
            );
            resumed.is_some_and(|problem| problem.status == 410)
        })
        .unwrap();
        // A delayed announcement of the old incarnation arrives at every router.
        site.daemons.iter().for_each(|daemon| announce(daemon, &delayed));
        let before = requests(&site, engine);
        check_all_answered(&site, &[0, 1, 2]).await;
        assert!(before < requests(&site, engine), "the new incarnation gets no requests");
        let old = CompletionStream::open(site.routers()[2], &request, Some(&id)).await.unwrap();
        assert_eq!(old.problem().unwrap().verdict, Some(Verdict::MayHaveRun));
    });
    assert_eq!(site.tally.lock().wrong_salts, 0);
}

/// Runs a future on a new thread and waits for it.
fn block_on_thread<T, F, A, B>(run: impl FnOnce(A, B) -> F + Send + 'static, a: A, b: B) -> T
where
    T: Send + 'static,
    F: Future<Output = T>,
    A: Send + 'static,
    B: Send + 'static,
{
    std::thread::spawn(move || block_on(run(a, b))).join().unwrap()
}

macro_rules! completes_despite {
    ($($name:ident: $inject:expr;)*) => {$(
        #[test]
        fn $name() {
            let site = site();
            let request = completion(&site, 0);
            block_on(async {
                let mut stream = open(&site, 0, &request).await;
                stream.read_tokens(5).await.unwrap();
                let inject: fn(&Proxy) = $inject;
                inject(&site.engines[engine_of(&stream)].proxy);
                assert_eq!(stream.finish().await.unwrap(), StreamEnd::Done);
                check_complete(&request, &[&stream]).unwrap();
            });
        }
    )*};
}

completes_despite! {
    connection_cut_mid_stream: |proxy| {
        proxy.set(Fault { refuse: true, ..Fault::default() });
    };
    connection_cut_and_back_mid_stream: |proxy| {
        proxy.set(Fault { refuse: true, ..Fault::default() });
        std::thread::sleep(Duration::from_millis(20));
        proxy.heal();
    };
    connection_delayed_mid_stream: |proxy| proxy.set(Fault::delay(Duration::from_millis(100)));
    connection_losing_packets_mid_stream: |proxy| proxy.set(Fault { loss: 0.2, ..Fault::default() });
    connection_half_open_mid_stream: |proxy| {
        proxy.set(Fault { hold_responses: true, ..Fault::default() });
    };
}

#[test]
fn stream_survives_a_killed_engine_and_cut_connections_to_the_others() {
    let mut site = site();
    let request = completion(&site, 0);
    block_on(async {
        let mut stream = open(&site, 0, &request).await;
        stream.read_tokens(5).await.unwrap();
        let killed = engine_of(&stream);
        for (i, node) in site.engines.iter().enumerate().filter(|(i, _)| *i != killed) {
            node.proxy.set(Fault { cut_after: Some(1_500 + 100 * i as u64), ..Fault::default() });
        }
        drop(site.engines.remove(killed));
        assert_eq!(stream.finish().await.unwrap(), StreamEnd::Done);
        check_complete(&request, &[&stream]).unwrap();
    });
}

#[test]
fn frozen_router_affects_no_other_and_sends_nothing_to_an_engine_that_left() {
    let mut site = site();
    block_on(check_all_answered(&site, &[0, 1, 2]));
    site.daemons[2].freeze().unwrap();
    let frozen = Instant::now();
    site.engines[0].announcer.leave();
    block_on(check_all_answered(&site, &[0, 1]));
    std::thread::sleep(FREEZE_TIME.saturating_sub(frozen.elapsed()));
    let before = requests(&site, 0);
    let router = site.routers()[2];
    let completions: Vec<_> = (0..16).map(|number| completion(&site, number)).collect();
    // These wait in the frozen router's sockets and are read first when it is thawed.
    let waiting = std::thread::spawn(move || {
        block_on(futures_util::future::join_all(
            completions.iter().map(|request| caller::complete(router, request)),
        ))
    });
    std::thread::sleep(Duration::from_millis(200));
    site.daemons[2].thaw().unwrap();
    for outcome in waiting.join().unwrap() {
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }
    block_on(check_all_answered(&site, &[0, 1, 2]));
    assert_eq!(requests(&site, 0), before);
    for daemon in &site.daemons {
        site.wait_endpoint_count(daemon, 2).unwrap();
    }
}

#[test]
fn isolated_data_centre_is_served_by_its_own_engines_and_recovers() {
    let site = site();
    apply_declaration(&site, "[defaults]\nfirst-token-timeout = '700ms'\n").unwrap();
    block_on(check_all_answered(&site, &[0, 1, 2]));
    partition::isolate_data_centre(&site, "c");
    block_on(check_all_answered(&site, &[0, 1, 2]));
    partition::heal(&site);
    site.wait_endpoints().unwrap();
    block_on(check_all_answered(&site, &[0, 1, 2]));
}
