//! Endpoints that leave, die, come back empty or can't be reached, and routers that miss it.

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

const SOON: Duration = Duration::from_secs(10);

/// Time after which a leaving endpoint gets no new work.
const LEFT_WITHIN: Duration = Duration::from_secs(3);

/// Time that a router stands still.
const FROZEN: Duration = Duration::from_secs(10);

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

fn ask(site: &Site, number: usize) -> CompletionSpec {
    let organisation = &site.spec.organisations[number % site.spec.organisations.len()];
    CompletionSpec {
        key: organisation_key(organisation),
        model: site.spec.model.to_string(),
        prompt: format!("organisation {organisation}\nquestion {number}"),
        tokens: TOKENS,
        chat: number % 2 == 1,
    }
}

/// Sends requests to each router and checks that all are answered whole.
async fn ask_all(site: &Site, routers: &[usize]) {
    let asks: Vec<_> = (0..24).map(|number| ask(site, number)).collect();
    let listen = site.routers();
    let sent = asks
        .iter()
        .enumerate()
        .map(|(i, ask)| caller::complete(listen[routers[i % routers.len()]], ask));
    for outcome in futures_util::future::join_all(sent).await {
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }
}

async fn open(site: &Site, router: usize, ask: &CompletionSpec) -> CompletionStream {
    CompletionStream::open(site.routers()[router], ask, None).await.unwrap().stream().unwrap()
}

/// Returns the engine that generates, by its place in the site.
fn engine_of(stream: &CompletionStream) -> usize {
    let endpoint = &stream.last_id.as_ref().unwrap().endpoint;
    let number: usize = endpoint.as_str().rsplit('-').next().unwrap().parse().unwrap();
    number - 1
}

fn requests(site: &Site, engine: usize) -> u64 {
    site.engines[engine].engine.counts().requests
}

/// Returns an announcement that an engine sent before, or may have sent.
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

/// The router that is cut off while engine 0 leaves.
macro_rules! left_everywhere {
    ($($name:ident: $router:literal;)*) => {$(
        #[test]
        fn $name() {
            let site = site();
            block_on(ask_all(&site, &[0, 1, 2]));
            partition::isolate_router(&site, $router);
            let left = Instant::now();
            site.engines[0].announcer.leave();
            // Late copies of what it said before arrive in between.
            while left.elapsed() < LEFT_WITHIN {
                for (i, daemon) in site.daemons.iter().enumerate() {
                    announce(daemon, &old_announcement(&site, 0, i as u64 % 2));
                }
                std::thread::sleep(LEFT_WITHIN / 30);
            }
            let before = requests(&site, 0);
            let asks: Vec<_> = (0..24).map(|number| ask(&site, number)).collect();
            for router in 0..site.daemons.len() {
                let listen = site.routers()[router];
                let sent = asks.iter().map(|ask| caller::complete(listen, ask));
                for outcome in block_on(futures_util::future::join_all(sent)) {
                    // The router that is cut off may know no other engine.
                    let is_served = matches!(outcome, Outcome::Answered(_));
                    assert!(is_served || router == $router && is_not_run(&outcome), "{outcome:?}");
                }
                assert_eq!(requests(&site, 0), before, "router {router}");
            }
            partition::heal(&site);
            for daemon in &site.daemons {
                site.wait_endpoint_count(daemon, 2).unwrap();
            }
            block_on(ask_all(&site, &[0, 1, 2]));
            assert_eq!(requests(&site, 0), before, "after the partition");
        }
    )*};
}

left_everywhere! {
    left_endpoint_gets_no_work_while_router_1_is_cut_off: 0;
    left_endpoint_gets_no_work_while_router_2_is_cut_off: 1;
    left_endpoint_gets_no_work_while_router_3_is_cut_off: 2;
}

#[test]
fn engine_back_empty_is_another_engine() {
    let mut site = site();
    let ask = ask(&site, 0);
    block_on(async {
        let mut stream = open(&site, 0, &ask).await;
        stream.read_tokens(5).await.unwrap();
        let engine = engine_of(&stream);
        let id = stream.last_id.clone().unwrap();
        let late = AnnouncementBody {
            sequence: Sequence::new(1 << 40),
            ..old_announcement(&site, engine, 0)
        };
        site.restart_engine(engine, Incarnation::new(2));
        let end = stream.finish().await.unwrap();
        assert_eq!(end, StreamEnd::Done, "{}", site.daemons[0].log().unwrap());
        check_complete(&ask, &[&stream]).unwrap();
        wait_until("the new life is known", SOON, || {
            let router = site.routers()[1];
            let resumed = block_on_new(
                move |ask, id| async move {
                    CompletionStream::open(router, &ask, Some(&id)).await.unwrap().problem().ok()
                },
                ask.clone(),
                id.clone(),
            );
            resumed.is_some_and(|problem| problem.status == 410)
        })
        .unwrap();
        // What the old life said last arrives late, at every router.
        site.daemons.iter().for_each(|daemon| announce(daemon, &late));
        let before = requests(&site, engine);
        ask_all(&site, &[0, 1, 2]).await;
        assert!(before < requests(&site, engine), "the new life gets no work");
        let old = CompletionStream::open(site.routers()[2], &ask, Some(&id)).await.unwrap();
        assert_eq!(old.problem().unwrap().verdict, Some(Verdict::MayHaveRun));
    });
    assert_eq!(site.tally.lock().wrong_salts, 0);
}

/// Runs a caller on a thread of its own and waits for it.
fn block_on_new<T, F, A, B>(run: impl FnOnce(A, B) -> F + Send + 'static, a: A, b: B) -> T
where
    T: Send + 'static,
    F: Future<Output = T>,
    A: Send + 'static,
    B: Send + 'static,
{
    std::thread::spawn(move || block_on(run(a, b))).join().unwrap()
}

macro_rules! whole_despite {
    ($($name:ident: $hurt:expr;)*) => {$(
        #[test]
        fn $name() {
            let site = site();
            let ask = ask(&site, 0);
            block_on(async {
                let mut stream = open(&site, 0, &ask).await;
                stream.read_tokens(5).await.unwrap();
                let hurt: fn(&Proxy) = $hurt;
                hurt(&site.engines[engine_of(&stream)].proxy);
                assert_eq!(stream.finish().await.unwrap(), StreamEnd::Done);
                check_complete(&ask, &[&stream]).unwrap();
            });
        }
    )*};
}

whole_despite! {
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
fn engine_killed_while_the_next_ones_connections_are_cut() {
    let mut site = site();
    let ask = ask(&site, 0);
    block_on(async {
        let mut stream = open(&site, 0, &ask).await;
        stream.read_tokens(5).await.unwrap();
        let killed = engine_of(&stream);
        for (i, node) in site.engines.iter().enumerate().filter(|(i, _)| *i != killed) {
            node.proxy.set(Fault { cut_after: Some(1_500 + 100 * i as u64), ..Fault::default() });
        }
        drop(site.engines.remove(killed));
        assert_eq!(stream.finish().await.unwrap(), StreamEnd::Done);
        check_complete(&ask, &[&stream]).unwrap();
    });
}

#[test]
fn frozen_router_disturbs_nobody_and_sends_nothing_to_an_engine_that_left_meanwhile() {
    let mut site = site();
    block_on(ask_all(&site, &[0, 1, 2]));
    site.daemons[2].freeze().unwrap();
    let frozen = Instant::now();
    site.engines[0].announcer.leave();
    block_on(ask_all(&site, &[0, 1]));
    std::thread::sleep(FROZEN.saturating_sub(frozen.elapsed()));
    let before = requests(&site, 0);
    let router = site.routers()[2];
    let asks: Vec<_> = (0..16).map(|number| ask(&site, number)).collect();
    // These wait in the frozen router's sockets and are read first when it wakes.
    let waiting = std::thread::spawn(move || {
        block_on(futures_util::future::join_all(
            asks.iter().map(|ask| caller::complete(router, ask)),
        ))
    });
    std::thread::sleep(Duration::from_millis(200));
    site.daemons[2].thaw().unwrap();
    for outcome in waiting.join().unwrap() {
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }
    block_on(ask_all(&site, &[0, 1, 2]));
    assert_eq!(requests(&site, 0), before);
    for daemon in &site.daemons {
        site.wait_endpoint_count(daemon, 2).unwrap();
    }
}

#[test]
fn data_centre_cut_off_is_served_by_its_own_engines_and_comes_back() {
    let site = site();
    apply_declaration(&site, "[defaults]\nfirst-token-timeout = '700ms'\n").unwrap();
    block_on(ask_all(&site, &[0, 1, 2]));
    partition::isolate_data_centre(&site, "c");
    block_on(ask_all(&site, &[0, 1, 2]));
    partition::heal(&site);
    site.wait_endpoints().unwrap();
    block_on(ask_all(&site, &[0, 1, 2]));
}
