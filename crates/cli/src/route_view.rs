//! The explanation of a request's route as text.

use std::time::Duration;

use wire::operator::{ExplainedEndpoint, ExplainedRefusal, RouteExplanation};

use crate::{
    output::printable,
    view::{or_dash, table, wire_name},
};

pub(crate) fn explanation(explanation: &RouteExplanation) -> String {
    let mut rows = table(&["HOST", explanation.host.as_str()]);
    rows.add_row(["configuration", &explanation.configuration.to_string()])
        .add_row(["route", &route(explanation)])
        .add_row(["organisation", &or_dash(explanation.organisation.as_deref().map(printable))])
        .add_row(["quota", &quota(explanation)])
        .add_row(["outcome", &outcome(explanation)])
        .add_row(["age of reports", &millis(explanation.report_age_ms)]);
    format!("{rows}\n\n{}", endpoints(&explanation.endpoints))
}

fn route(explanation: &RouteExplanation) -> String {
    let Some(route) = &explanation.route else { return "-".into() };
    let service = or_dash(route.service.as_ref());
    printable(&format!("{} (prefix {}, service {service})", route.name, route.prefix))
}

fn quota(explanation: &RouteExplanation) -> String {
    let Some(quota) = &explanation.quota else { return "none".into() };
    let state = wire_name(&quota.state);
    format!("{state}: costs {} of {} per s and {} at once", quota.cost, quota.rate, quota.burst)
}

fn outcome(explanation: &RouteExplanation) -> String {
    match (&explanation.refusal, &explanation.chosen) {
        (Some(refusal), _) => refused(refusal),
        (None, Some(endpoint)) => format!("sent to {endpoint}"),
        (None, None) => "-".into(),
    }
}

fn refused(refusal: &ExplainedRefusal) -> String {
    let detail = printable(&refusal.detail);
    match refusal.retry_after_ms {
        Some(wait) => {
            format!("refused with {}: {detail}; retry after {}", refusal.status, millis(wait))
        }
        None => format!("refused with {}: {detail}", refusal.status),
    }
}

fn endpoints(endpoints: &[ExplainedEndpoint]) -> String {
    let mut rows = table(&[
        "ENDPOINT",
        "DATA CENTRE",
        "SCORE",
        "REQUESTS",
        "PREFILL",
        "HELD",
        "WARM",
        "HEADROOM",
        "MEMORY",
        "SLOWNESS",
        "WAIT",
        "LIMIT",
        "HEARD",
        "NOTES",
    ]);
    for endpoint in endpoints {
        rows.add_row([
            endpoint.endpoint.to_string(),
            endpoint.data_centre.to_string(),
            or_dash(endpoint.score.map(|score| format!("{score:.3}"))),
            endpoint.requests.to_string(),
            endpoint.prefill_tokens.to_string(),
            endpoint.held_tokens.to_string(),
            endpoint.warm_tokens.to_string(),
            or_dash(endpoint.headroom_wait_ms.map(headroom)),
            or_dash(endpoint.has_memory.map(|has_room| if has_room { "room" } else { "full" })),
            format!("{:.2}", endpoint.slowness),
            millis(endpoint.stated_wait_ms),
            or_dash(
                endpoint
                    .stated_limit
                    .map(|limit| format!("{limit}/s, next in {}", millis(endpoint.limit_wait_ms))),
            ),
            millis(endpoint.announced_age_ms),
            notes(endpoint),
        ]);
    }
    rows.to_string()
}

fn headroom(wait_ms: u64) -> String {
    if wait_ms == 0 { "yes".into() } else { format!("in {}", millis(wait_ms)) }
}

/// Returns why the endpoint is excluded, or the components of its score.
fn notes(endpoint: &ExplainedEndpoint) -> String {
    match &endpoint.excluded {
        Some(reason) => printable(&format!("excluded: {reason}")),
        None => {
            let parts = endpoint.parts.iter();
            let parts = parts.map(|part| format!("{}={:.3}", part.name, part.cost));
            printable(&parts.collect::<Vec<_>>().join(" "))
        }
    }
}

fn millis(millis: u64) -> String {
    humantime::format_duration(Duration::from_millis(millis)).to_string()
}
