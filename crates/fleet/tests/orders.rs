//! Planning of orders that reconcile the reported state with the desired one.

use std::{collections::BTreeSet, time::Duration};

use base::{Incarnation, MonotonicTime, Term};
use fleet::{
    Declaration, DesiredModel,
    orders::{
        Action, InProgress, LeaseProof, Limits, LoadedModel, Order, ReportedEngine, Role,
        StateAwareness, is_settled, plan,
    },
    setting::WeightLoads,
};

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);

fn limits() -> Limits {
    Limits {
        weight_loads: WeightLoads::MAX,
        fencing_token: Term::new(7),
        lease: None,
        max_delivery_time: Duration::from_secs(1),
        effect_timeout: Duration::from_secs(30),
        awareness: StateAwareness::On,
    }
}

fn lease(term: u64, millis: u64) -> Limits {
    let expires = MonotonicTime::from_millis(millis);
    Limits { lease: Some(LeaseProof { term: Term::new(term), expires }), ..limits() }
}

/// Parses `model:weights+adapter*servers/prefill`, with spaces between models.
fn desired(text: &str) -> Vec<DesiredModel> {
    let mut declaration = String::new();
    for entry in text.split_whitespace() {
        let (loaded, counts) = entry.split_once('*').expect("servers");
        let (servers, prefill) = counts.split_once('/').unwrap_or((counts, ""));
        let LoadedModel { model, weights, adapters } = model(loaded);
        let adapters: Vec<_> = adapters.iter().map(|id| id.as_str()).collect();
        declaration += &format!(
            "[[models]]\nmodel = '{model}'\nweights = '{weights}'\nadapters = {adapters:?}\n\
             minimum-servers = {servers}\n"
        );
        if !prefill.is_empty() {
            declaration += &format!("prefill-servers = {prefill}\n");
        }
    }
    Declaration::from_toml(&declaration).expect("declaration").contents().models.clone()
}

fn model(text: &str) -> LoadedModel {
    let mut parts = text.split('+');
    let (name, weights) = parts.next().and_then(|part| part.split_once(':')).expect("weights");
    LoadedModel {
        model: name.parse().expect("model"),
        weights: weights.parse().expect("weights"),
        adapters: parts.map(|adapter| adapter.parse().expect("adapter")).collect(),
    }
}

/// Parses `engine=model:weights,…` with `!` for no fencing, `-` for leaving, `^` for busy and
/// `>` for prefill after the engine's name.
fn reported(text: &str) -> Vec<ReportedEngine> {
    text.split_whitespace().map(engine).collect()
}

fn engine(text: &str) -> ReportedEngine {
    let (name, models) = text.split_once('=').expect("models");
    ReportedEngine {
        endpoint: name.trim_end_matches(['!', '-', '^', '>']).parse().expect("endpoint"),
        incarnation: Incarnation::new(1),
        checks_fencing: !name.contains('!'),
        is_ready: !name.contains('-'),
        is_busy: name.contains('^'),
        role: if name.contains('>') { Role::Prefill } else { Role::Mixed },
        models: models.split(',').filter(|text| !text.is_empty()).map(model).collect(),
    }
}

fn order(endpoint: &str, action: Action) -> Order {
    let endpoint = endpoint.parse().expect("endpoint");
    Order { endpoint, incarnation: Incarnation::new(1), fencing_token: Term::new(7), action }
}

fn loading(text: &str) -> Vec<InProgress> {
    let orders = text.split_whitespace().map(|entry| {
        let (endpoint, loaded) = entry.split_once('=').expect("model");
        order(endpoint, Action::LoadModel(model(loaded)))
    });
    orders.map(|order| InProgress { order, sent: NOW }).collect()
}

fn show(orders: &[Order]) -> String {
    let texts = orders.iter().map(|order| match &order.action {
        Action::LoadModel(model) => format!("{}={}:{}", order.endpoint, model.model, model.weights),
        Action::LoadAdapter { model, adapter } => {
            format!("{}={model}+{adapter}", order.endpoint)
        }
        Action::ChangeRole(role) => format!("{}={role}", order.endpoint),
    });
    texts.collect::<Vec<_>>().join(" ")
}

macro_rules! plan_cases {
    ($($name:ident: $desired:literal, $reported:literal, $loading:literal, $limits:expr => $orders:literal,)*) => {$(
        #[test]
        fn $name() {
            let orders =
                plan(&desired($desired), &reported($reported), &loading($loading), NOW, &$limits);
            assert_eq!(show(&orders), $orders);
            assert!(orders.iter().all(|order| order.fencing_token == Term::new(7)));
        }
    )*};
}

plan_cases! {
    no_orders_when_all_serve: "m:1*2", "a=m:1 b=m:1 c=", "", limits() => "",
    empty_engine_is_preferred: "m:1*1", "a=x:1 b=", "", limits() => "b=m:1",
    three_loads_at_once: "m:1*5", "a= b= c= d= e=", "", limits() => "a=m:1 b=m:1 c=m:1",
    loads_in_progress_count: "m:1*5", "a= b= c= d= e=", "a=m:1 b=m:1", limits() => "c=m:1",
    loads_of_other_models_count: "m:1*1 n:1*3", "a= b= c= d=", "a=n:1 b=n:1 c=n:1", limits() => "",
    fewer_loads_by_setting: "m:1*5", "a= b= c=", "",
        Limits { weight_loads: WeightLoads::MIN, ..limits() } => "a=m:1",
    awaited_load_is_not_ordered_again: "m:1*1", "a= b=", "a=m:1", limits() => "",
    leaving_engine_gets_no_order: "m:1*1", "a-=", "", limits() => "",
    leaving_engine_does_not_count: "m:1*1", "a-=m:1 b=", "", limits() => "b=m:1",
    adapter_instead_of_weights: "m:1+x*1", "a= b=m:1", "", limits() => "b=m+x",
    adapters_one_by_one: "m:1+x+y*1", "a=m:1+x", "", limits() => "a=m+y",
    newer_version_over_an_older: "m:2*1", "a=n:1 b=m:1 c=m:1", "", limits() => "b=m:2",
    last_server_keeps_the_older_version: "m:2*1", "a=m:1", "", limits() => "",
    last_two_servers_are_not_replaced_together: "m:2*2", "a=m:1 b=m:1", "", limits() => "a=m:2",
    last_server_stays_while_the_other_loads: "m:2*2", "a=m:1 b=m:1", "a=m:2", limits() => "",
    leaving_server_is_no_other_server: "m:2*1", "a=m:1 b-=m:1", "", limits() => "",
    needed_server_is_not_replaced: "m:1*2 n:1*1", "a=m:1 b=m:1", "", limits() => "",
    surplus_server_is_replaced: "m:1*2 n:1*1", "a=m:1 b=m:1 c=m:1", "", limits() => "a=n:1",
    surplus_is_replaced_once: "m:1*2 n:1*3", "a=m:1 b=m:1 c=m:1", "", limits() => "a=n:1",
    surplus_being_replaced_counts: "m:1*2 n:1*3", "a=m:1 b=m:1 c=m:1", "a=n:1", limits() => "",
    busy_model_keeps_its_last_server: "n:1*1", "a^=m:1", "", limits() => "",
    idle_undesired_model_is_replaced: "n:1*1", "a=m:1", "", limits() => "a=n:1",
    unfenced_without_lease: "m:1*1", "a!=", "", limits() => "",
    unfenced_under_lease: "m:1*1", "a!=", "", lease(7, 11_000) => "a=m:1",
    unfenced_with_lease_too_short: "m:1*1", "a!=", "", lease(7, 10_999) => "",
    unfenced_with_lease_of_another_term: "m:1*1", "a!=", "", lease(6, 20_000) => "",
    unfenced_one_at_a_time: "m:1*3", "a!= b!= c=", "", lease(7, 20_000) => "a=m:1 c=m:1",
    unfenced_waits_for_the_last: "m:1*2", "a!= b!=", "a=m:1", lease(7, 20_000) => "",
    unfenced_that_disappeared_still_counts: "m:1*2", "b!=", "a=m:1", lease(7, 20_000) => "",
    prefill_role: "m:1*3/1", "a=m:1 b=m:1 c=m:1", "", limits() => "a=prefill",
    surplus_prefill_role_is_reverted: "m:1*2", "a>=m:1 b=m:1", "", limits() => "a=mixed",
    last_mixed_server_stays: "m:1*3/2", "a>=m:1 b=m:1", "", limits() => "",
}

macro_rules! settled_cases {
    ($($name:ident: $reported:literal, $incarnation:literal, $after_millis:literal => $settled:literal,)*) => {$(
        #[test]
        fn $name() {
            let mut engines = reported($reported);
            for engine in &mut engines {
                engine.incarnation = Incarnation::new($incarnation);
            }
            let now = NOW + Duration::from_millis($after_millis);
            let entry = &loading("a=m:1")[0];
            assert_eq!(is_settled(entry, &engines, now, limits().effect_timeout), $settled);
        }
    )*};
}

settled_cases! {
    effect_not_visible: "a=", 1, 29_999 => false,
    effect_visible: "a=m:1", 1, 0 => true,
    other_version_is_not_the_effect: "a=m:2", 1, 0 => false,
    process_ended: "a=", 2, 0 => true,
    older_report: "a=", 0, 0 => false,
    order_lost: "a=", 1, 30_000 => true,
    endpoint_gone: "b=", 1, 0 => false,
    endpoint_gone_past_the_timeout: "b=", 1, 30_000 => true,
}

/// A simulated site whose loads become visible only after [`ROUNDS_UNTIL_VISIBLE`].
struct Site {
    engines: Vec<ReportedEngine>,
    in_progress: Vec<InProgress>,
    orders: Vec<Order>,
    max_loads: usize,
    replaced: usize,
}

const ROUNDS_UNTIL_VISIBLE: u64 = 8;

impl Site {
    /// Plans once a second while the desired state alternates every 30 seconds.
    fn run(awareness: StateAwareness) -> Self {
        let engines = reported("a=m:1 b=m:1 c=m:1 d=m:1 e=n:1 f=n:1 g= h=");
        let (in_progress, orders) = (Vec::new(), Vec::new());
        let mut site = Self { engines, in_progress, orders, max_loads: 0, replaced: 0 };
        let desired_states = [desired("m:1*4 n:1*4"), desired("m:1*6 n:1*2")];
        let limits = Limits { awareness, ..limits() };
        for round in 0..240 {
            site.show_effects(round);
            let now = MonotonicTime::from_millis(round * 1000);
            let desired = &desired_states[(round / 30 % 2) as usize];
            let orders = plan(desired, &site.engines, &site.in_progress, now, &limits);
            let sent = orders.iter().map(|order| InProgress { order: order.clone(), sent: now });
            site.in_progress.extend(sent);
            site.orders.extend(orders);
            let loading: BTreeSet<_> =
                site.in_progress.iter().map(|entry| &entry.order.endpoint).collect();
            site.max_loads = site.max_loads.max(loading.len());
        }
        site
    }

    fn show_effects(&mut self, round: u64) {
        for InProgress { order, sent } in &self.in_progress {
            let Action::LoadModel(model) = &order.action else { continue };
            let is_visible = sent.since_origin().as_secs() + ROUNDS_UNTIL_VISIBLE <= round;
            let engine = self.engines.iter_mut().find(|e| e.endpoint == order.endpoint);
            if let Some(engine) = engine.filter(|_| is_visible) {
                self.replaced += usize::from(engine.models != [model.clone()]);
                engine.models = vec![model.clone()];
            }
        }
        self.in_progress
            .retain(|entry| round < entry.sent.since_origin().as_secs() + ROUNDS_UNTIL_VISIBLE);
    }
}

#[test]
fn awareness_of_earlier_orders_reduces_orders() {
    let aware = Site::run(StateAwareness::On);
    let unaware = Site::run(StateAwareness::Off);
    let count = |site: &Site| (site.orders.len(), site.replaced);
    println!(
        "orders and replaced models: {:?} aware, {:?} unaware",
        count(&aware),
        count(&unaware)
    );
    assert!(aware.orders.len() < unaware.orders.len());
    assert!(aware.replaced <= unaware.replaced);
    assert!(aware.max_loads <= 3 && unaware.max_loads <= 3);
    assert!(aware.engines.iter().all(|engine| !engine.models.is_empty()));
}
