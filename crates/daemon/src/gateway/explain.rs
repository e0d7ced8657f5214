//! Tells operators how a caller's request would be routed now, without sending or charging it.

use std::{rc::Rc, sync::Arc, time::Duration};

use base::{RequestId, TokenCount};
use bytes::Bytes;
use hyper::{HeaderMap, Request, header::HOST, http::request};
use prefix::Part;
use quota::{Admission, Decision, Quota};
use routes::{Organisation, Route, Table};
use tokio::time::Instant;
use wire::operator::{
    ExplainedQuota, ExplainedRefusal, ExplainedRoute, QueriedCaller, QueriedPart, QuotaState,
    RouteExplanation, RouteQuery,
};

use crate::{
    edge::{AdminQuery, RouteQueryError},
    failure::Failure,
};

use super::{
    CallerRequest, Dialect, Gateway, Prompt, draw_share,
    exchange::{Exchange, ExplainedChoice, Progress},
    follow::ActiveConfiguration,
    forward, quotas,
};

/// Id of a request that is explained without one.
const DEFAULT_REQUEST_ID: &str = "explain";

/// Answers operators' queries until the channel is closed.
pub(super) async fn run<D: Dialect>(gateway: Rc<Gateway<D>>, queries: flume::Receiver<AdminQuery>) {
    while let Ok(query) = queries.recv_async().await {
        match query {
            AdminQuery::ExplainRoute { request, reply } => {
                let _ = reply.try_send(explain(&gateway, &request));
            }
            // Only an edge thread answers these; the dropped reply ends the wait for it.
            AdminQuery::Explain { .. } | AdminQuery::Load { .. } => {}
        }
    }
}

/// A request as the dialect would decode it.
struct DecodedRequest {
    head: request::Parts,
    caller_request: CallerRequest,
    body: Bytes,
}

impl DecodedRequest {
    fn new(query: &RouteQuery) -> Result<Self, RouteQueryError> {
        let builder = Request::builder().method(&*query.method).uri(&*query.path);
        let req = builder.header(HOST, &*query.host).body(());
        let (head, ()) =
            req.map_err(|e| RouteQueryError::Malformed(format!("the request: {e}")))?.into_parts();
        let body = Bytes::copy_from_slice(query.body.as_bytes());
        Ok(Self { head, caller_request: caller_request(query)?, body })
    }
}

fn caller_request(query: &RouteQuery) -> Result<CallerRequest, RouteQueryError> {
    let id: RequestId = match &query.request {
        Some(id) => id.clone(),
        None => DEFAULT_REQUEST_ID.parse().expect("a valid id"),
    };
    let key = match &query.caller {
        QueriedCaller::Key(key) => Some(key.to_string()),
        QueriedCaller::Anonymous | QueriedCaller::Organisation(_) => None,
    };
    let output = query.tokens.map_or(0, |tokens| tokens.output);
    let prompt = match &query.model {
        None => None,
        Some(model) => Some(Prompt {
            model: model.clone(),
            parts: query.parts.iter().map(part).collect::<Result<_, _>>()?,
            output_tokens: TokenCount::new(output.into()),
        }),
    };
    let tokens =
        query.tokens.map(|tokens| TokenCount::new(u64::from(tokens.prompt) + u64::from(output)));
    Ok(CallerRequest { id, key, deadline: None, prompt, tokens })
}

fn part(part: &QueriedPart) -> Result<Part, RouteQueryError> {
    let id = part.id.parse().map_err(|e| RouteQueryError::Malformed(format!("parts: {e}")))?;
    Ok(Part { id, tokens: TokenCount::new(part.tokens.into()) })
}

fn explain<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    query: &RouteQuery,
) -> Result<RouteExplanation, RouteQueryError> {
    let request = DecodedRequest::new(query)?;
    check_organisation(gateway, &query.caller)?;
    let now = gateway.clock.now();
    let mut explanation = RouteExplanation {
        host: gateway.host.clone(),
        configuration: gateway.configuration_number().as_u64(),
        route: None,
        organisation: None,
        quota: None,
        refusal: None,
        chosen: None,
        report_age_ms: millis(gateway.targets.borrow().loads_age(now)),
        endpoints: Vec::new(),
    };
    if let Err(failure) = explain_steps(gateway, query, request, &mut explanation) {
        explanation.refusal = Some(refusal(&failure));
    }
    if explanation.refusal.is_some() {
        explanation.chosen = None;
    }
    Ok(explanation)
}

/// Returns an error if the query names an organisation that the configuration doesn't have.
///
/// A caller can't send such a request, so there is no refusal to explain.
fn check_organisation<D: Dialect>(
    gateway: &Gateway<D>,
    caller: &QueriedCaller,
) -> Result<(), RouteQueryError> {
    let (QueriedCaller::Organisation(name), Some(active)) =
        (caller, gateway.active_configuration())
    else {
        return Ok(());
    };
    if holder(&active.table, caller).is_some() {
        return Ok(());
    }
    Err(RouteQueryError::Malformed(format!("no organisation is named {name}")))
}

/// Fills in an explanation in the order in which a request is handled.
///
/// # Errors
///
/// Returns the first failure; the endpoints are filled in even if the quota refuses the request.
fn explain_steps<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    query: &RouteQuery,
    request: DecodedRequest,
    explanation: &mut RouteExplanation,
) -> Result<(), Failure> {
    let active =
        gateway.active_configuration().ok_or_else(|| forward::no_configuration(gateway))?;
    forward::check_lease(gateway, &active)?;
    let route = forward::route(&active.table, &request.head)?;
    explanation.route = Some(explained_route(&route));
    let holder = holder(&active.table, &query.caller);
    let organisation = forward::organisation(gateway, &active, &route, holder)?;
    explanation.organisation = organisation.as_ref().map(|known| Arc::clone(&known.name));
    // A copy, so that the next request gets the numbers that it would have got without the query.
    let mut rng = gateway.rng.borrow().clone();
    let (organisation_ref, tokens) = (organisation.as_deref(), request.caller_request.tokens);
    let charged = explain_quota(gateway, organisation_ref, tokens, &mut rng, explanation);
    let exchange = exchange(gateway, route, organisation, active, request)?;
    let ExplainedChoice { service, chosen, endpoints } = exchange.explain(&mut rng);
    if let Some(route) = &mut explanation.route {
        route.service = service;
    }
    explanation.endpoints = endpoints;
    charged?;
    explanation.chosen = Some(chosen?);
    Ok(())
}

fn explained_route(route: &Route) -> ExplainedRoute {
    let (name, prefix) = (Arc::clone(&route.name), Arc::clone(&route.prefix));
    ExplainedRoute { name, prefix, service: None }
}

fn holder(table: &Table, caller: &QueriedCaller) -> Option<Arc<Organisation>> {
    match caller {
        QueriedCaller::Anonymous => None,
        QueriedCaller::Organisation(name) => {
            table.organisations().find(|organisation| organisation.name == *name).cloned()
        }
        QueriedCaller::Key(key) => table.organisation(key).cloned(),
    }
}

/// Fills in the state of the organisation's quota, if it has one.
fn explain_quota<D: Dialect>(
    gateway: &Gateway<D>,
    organisation: Option<&Organisation>,
    tokens: Option<TokenCount>,
    rng: &mut rand_pcg::Pcg64Mcg,
    explanation: &mut RouteExplanation,
) -> Result<(), Failure> {
    let Some(organisation) = organisation else { return Ok(()) };
    let Some(quota) = &organisation.quota else { return Ok(()) };
    let (demand, decision) =
        gateway.explain_quota(&organisation.name, quota, tokens, draw_share(rng));
    explanation.quota = Some(explained_quota(quota, demand.cost.as_u32(), decision));
    match decision {
        Decision::Admitted(_) | Decision::Ask => Ok(()),
        Decision::Denied { wait } => {
            Err(quotas::over_quota(organisation, demand, wait, draw_share(rng)))
        }
    }
}

fn explained_quota(quota: &Quota, cost: u32, decision: Decision) -> ExplainedQuota {
    let state = match decision {
        Decision::Admitted(Admission::Local) => QuotaState::LocalShare,
        Decision::Admitted(Admission::Reported | Admission::Granted) => QuotaState::Open,
        Decision::Ask => QuotaState::AskLeader,
        Decision::Denied { .. } => QuotaState::Denied,
    };
    ExplainedQuota { rate: quota.rate(), burst: quota.burst(), cost, state }
}

/// Returns the request as it would be before its first attempt; it is never sent.
fn exchange<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
    active_configuration: Rc<ActiveConfiguration>,
    request: DecodedRequest,
) -> Result<Exchange<D>, Failure> {
    let DecodedRequest { head, caller_request, body } = request;
    let scope = active_configuration.table.cache_scope(organisation.as_deref());
    let fingerprints =
        forward::fingerprints(&head, &caller_request, organisation.as_deref(), &body);
    let caller_deadline = Instant::now() + forward::DEFAULT_DEADLINE;
    Ok(Exchange {
        chain: caller_request.prompt.as_ref().map(|prompt| prompt.chain(&scope)),
        scope,
        gateway: Rc::clone(gateway),
        deadline: caller_deadline.min(Instant::now() + route.timeout),
        caller_deadline,
        route,
        organisation,
        caller_request,
        active_configuration,
        method: head.method,
        uri: forward::path_and_query(&head.uri)?,
        headers: HeaderMap::new(),
        body,
        _buffered: gateway.buffer_budget.begin(),
        arrived: gateway.clock.now(),
        fingerprints,
        charge: None,
        recorder: gateway.recorder(None),
        progress: Progress::default(),
    })
}

fn refusal(failure: &Failure) -> ExplainedRefusal {
    ExplainedRefusal {
        status: failure.status.as_u16(),
        detail: failure.detail.as_str().into(),
        retry_after_ms: failure.retry_after.map(millis),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
