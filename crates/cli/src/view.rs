use std::time::{Duration, SystemTime};

use base::UnixMillis;
use comfy_table::{Table, presets::NOTHING};
use serde::Serialize;
use toml::Value;
use wire::operator::{
    Call, EndpointStatus, Endpoints, Explanation, History, QuorumStatus, Status, UnsettledCalls,
    Voter, Voters,
};

use crate::{command::display_value, output::printable};

pub(crate) fn status(status: &Status) -> String {
    let counts = &status.counts;
    let mut rows = table(&["HOST", &status.host.to_string()]);
    rows.add_row(["state", &wire_name(&status.state)])
        .add_row(["data centre", status.data_centre.as_str()])
        .add_row(["incarnation", &status.incarnation.to_string()])
        .add_row(["version", &status.version])
        .add_row(["revision", &status.revision.to_string()])
        .add_row(["newest heard", &status.newest.to_string()])
        .add_row(["in flight", &counts.in_flight.to_string()])
        .add_row(["queued", &counts.queued.to_string()])
        .add_row(["ready endpoints", &counts.ready_endpoints.to_string()])
        .add_row(["open calls", &or_dash(counts.open_calls)]);
    format!("{rows}\n\n{}\n\n{}", quorum(&status.quorum), peers(status))
}

fn quorum(quorum: &QuorumStatus) -> String {
    let leader = quorum.leader.as_ref().map_or_else(|| "none known".into(), ToString::to_string);
    let mut rows = table(&["QUORUM", &wire_name(&quorum.role)]);
    rows.add_row(["term", &quorum.term.to_string()])
        .add_row(["leader", &leader])
        .add_row(["committed", &quorum.commit.to_string()])
        .add_row(["applied", &quorum.applied.to_string()]);
    for (label, text) in [
        ("own folder", &quorum.folder),
        ("own vote", &quorum.registration),
        ("failure", &quorum.failure),
    ] {
        if let Some(text) = text {
            rows.add_row([label, &printable(text)]);
        }
    }
    format!("{rows}\n\n{}", voter_table(&quorum.voters))
}

fn peers(status: &Status) -> Table {
    let mut peers = table(&["PEER", "DATA CENTRE", "STATE", "REVISION", "HEARD"]);
    for peer in &status.peers {
        let laggard = if peer.laggard { " (laggard)" } else { "" };
        peers.add_row([
            peer.host.to_string(),
            peer.data_centre.to_string(),
            wire_name(&peer.state),
            format!("{}{laggard}", peer.revision),
            format!("{} ago", format_millis(peer.heard_ms)),
        ]);
    }
    peers
}

pub(crate) fn voters(voters: &Voters) -> String {
    voter_table(&voters.voters).to_string()
}

fn voter_table(voters: &[Voter]) -> Table {
    let mut rows = table(&["VOTER", "FOLDER", "HOLDS", "HEARD"]);
    for voter in voters {
        let holds = or_dash(voter.matched);
        let heard = or_dash(voter.heard_ms.map(|millis| format!("{} ago", format_millis(millis))));
        let absent = if voter.absent { " (absent)" } else { "" };
        rows.add_row([voter.host.as_str(), &voter.folder, &holds, &format!("{heard}{absent}")]);
    }
    rows
}

pub(crate) fn endpoints(endpoints: &Endpoints) -> String {
    let mut rows = table(&[
        "ENDPOINT",
        "DATA CENTRE",
        "ADDRESS",
        "STATE",
        "SERVES",
        "LEASE",
        "IN FLIGHT",
        "WAITING",
    ]);
    for endpoint in &endpoints.endpoints {
        rows.add_row([
            endpoint.endpoint.to_string(),
            endpoint.data_centre.to_string(),
            endpoint.address.to_string(),
            wire_name(&endpoint.state),
            serves(endpoint),
            format_millis(endpoint.lease_ms),
            endpoint.in_flight.to_string(),
            endpoint.waiting.to_string(),
        ]);
    }
    rows.to_string()
}

fn serves(endpoint: &EndpointStatus) -> String {
    let models = endpoint.models.iter().map(|served| {
        let adapters = served.adapters.iter().map(|adapter| format!("+{adapter}"));
        format!("{}@{}{}", served.model, served.weights, adapters.collect::<String>())
    });
    let service = endpoint.service.iter().map(|service| format!("service {service}"));
    models.chain(service).collect::<Vec<_>>().join(" ")
}

pub(crate) fn history(history: &History) -> String {
    let mut rows = table(&["REVISION", "TIME", "AUTHOR", "REASON"]);
    for change in &history.changes {
        rows.add_row([
            change.revision.to_string(),
            format_time(change.at),
            change.author.to_string(),
            printable(&change.reason),
        ]);
    }
    rows.to_string()
}

pub(crate) fn explanation(explanation: &Explanation) -> String {
    let mut rows = table(&["ENDPOINT", "DATA CENTRE", "HOME", "WARM TOKENS", "COST", "PARTS"]);
    for candidate in &explanation.candidates {
        let parts = candidate.parts.iter().map(|part| format!("{}={:.3}", part.name, part.cost));
        rows.add_row([
            candidate.endpoint.to_string(),
            candidate.data_centre.to_string(),
            if candidate.home { "yes" } else { "" }.into(),
            candidate.warm_tokens.to_string(),
            format!("{:.3}", candidate.cost),
            parts.collect::<Vec<_>>().join(" "),
        ]);
    }
    format!("{} prompt tokens\n{rows}", explanation.prompt_tokens)
}

pub(crate) fn call(call: &Call) -> String {
    let owner = match (&call.owner, call.owner_incarnation) {
        (Some(owner), Some(incarnation)) => format!("{owner} (incarnation {incarnation})"),
        (owner, _) => or_dash(owner.as_ref()),
    };
    let mut rows = table(&["CALL", call.key.as_str()]);
    rows.add_row(["organisation", call.organisation.as_str()])
        .add_row(["state", &wire_name(&call.state)])
        .add_row(["verdict", call.verdict.as_str()])
        .add_row(["owner", &owner])
        .add_row(["claimed", &or_dash(call.claimed_at.map(format_time))])
        .add_row(["status", &or_dash(call.status)]);
    if let Some(status) = call.late_status {
        rows.add_row(["answered later", &status.to_string()]);
    }
    if let Some(resolution) = &call.resolution {
        let reason = printable(&resolution.reason);
        let by = format!("by {} at {}: {reason}", resolution.author, format_time(resolution.at));
        rows.add_row(["resolved", &by]);
    }
    rows.to_string()
}

pub(crate) fn unsettled(unsettled: &UnsettledCalls) -> String {
    let mut rows = table(&["ORGANISATION", "KEY", "STATE", "OWNER", "CLAIMED"]);
    for call in &unsettled.calls {
        rows.add_row([
            call.organisation.to_string(),
            call.key.to_string(),
            wire_name(&call.state),
            or_dash(call.owner.as_ref()),
            or_dash(call.claimed_at.map(format_time)),
        ]);
    }
    rows.to_string()
}

pub(crate) fn settings(settings: &toml::Table) -> String {
    let mut rows = table(&["SETTING", "VALUE"]);
    for (key, value) in settings {
        rows.add_row([key.clone(), display_value(value)]);
    }
    rows.to_string()
}

pub(crate) fn exceptions(exceptions: &[&toml::Table]) -> String {
    let mut rows = table(&["ID", "SCOPE", "SETS", "UNTIL", "REASON"]);
    for exception in exceptions {
        let field = |key| exception.get(key).map(format_value).unwrap_or_default();
        rows.add_row(["id", "scope", "set", "until", "reason"].map(field));
    }
    rows.to_string()
}

pub(crate) fn difference(differs: bool, diff: &str) -> String {
    if differs { diff.to_owned() } else { "no difference".to_owned() }
}

fn format_value(value: &Value) -> String {
    let Some(table) = value.as_table() else { return printable(&display_value(value)) };
    let pairs = table.iter().map(|(key, value)| format!("{key}={}", display_value(value)));
    pairs.collect::<Vec<_>>().join(" ")
}

pub(crate) fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(header);
    table
}

/// Returns a unit variant's name on the wire.
pub(crate) fn wire_name<T: Serialize>(state: &T) -> String {
    let value = serde_json::to_value(state).ok();
    value.as_ref().and_then(serde_json::Value::as_str).unwrap_or("unknown").to_owned()
}

pub(crate) fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".into(), |value| value.to_string())
}

fn format_millis(millis: u64) -> String {
    humantime::format_duration(Duration::from_millis(millis)).to_string()
}

fn format_time(at: UnixMillis) -> String {
    // Last second of the year 9999, the latest that RFC 3339 can express.
    const MAX_FORMAT_MILLIS: u64 = 253_402_300_799_000;
    let millis = at.as_u64().min(MAX_FORMAT_MILLIS);
    humantime::format_rfc3339_seconds(SystemTime::UNIX_EPOCH + Duration::from_millis(millis))
        .to_string()
}
