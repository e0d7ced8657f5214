//! Changes the declaration through the operator API.

use std::{net::SocketAddr, time::Duration};

use base::Revision;
use eyre::ensure;
use wire::operator::{ChangeRequest, ChangeResult, CurrentDeclaration, DECLARATION_PATH};

use crate::{
    process::wait_until,
    site::{OPERATOR_KEY, Site},
};

/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for a change to be in force on every daemon.
const APPLY_TIMEOUT: Duration = Duration::from_secs(15);

/// Replaces the declaration and waits until it is in force on every daemon.
///
/// # Errors
///
/// Returns an error if the change isn't accepted and in force in time.
pub fn apply_declaration(site: &Site, toml: &str) -> eyre::Result<Revision> {
    let admin = site.daemons[0].spec().admin_listen;
    let mut revision = None;
    wait_until("the declaration is accepted", APPLY_TIMEOUT, || {
        let before = revision_in_force(admin).unwrap_or_default();
        let response = post_change(admin, toml, before);
        if let Err(e) = &response {
            log::info!("declaration change failed, retrying: {e}");
        }
        revision = response.ok();
        revision.is_some()
    })?;
    let revision = revision.unwrap_or_default();
    for daemon in &site.daemons {
        let admin = daemon.spec().admin_listen;
        let in_force = || revision_in_force(admin).is_some_and(|current| revision <= current);
        wait_until("the declaration is in force", APPLY_TIMEOUT, in_force)?;
    }
    Ok(revision)
}

fn post_change(admin: SocketAddr, toml: &str, expected: Revision) -> eyre::Result<Revision> {
    let change = ChangeRequest {
        id: format!("bench-{expected}").parse()?,
        expected,
        author: "bench".parse()?,
        reason: "a measurement".into(),
        toml: toml.into(),
    };
    let response = attohttpc::post(format!("http://{admin}{DECLARATION_PATH}"))
        .bearer_auth(OPERATOR_KEY)
        .timeout(REQUEST_TIMEOUT)
        .bytes(serde_json::to_vec(&change)?)
        .send()?;
    let status = response.status();
    let text = response.text()?;
    ensure!(status.is_success(), "{status}: {text}");
    match serde_json::from_str(&text)? {
        ChangeResult::Applied { revision } => Ok(revision),
        other => Err(eyre::eyre!("declaration change not applied: {other:?}")),
    }
}

fn revision_in_force(admin: SocketAddr) -> Option<Revision> {
    let url = format!("http://{admin}{DECLARATION_PATH}");
    let response =
        attohttpc::get(url).bearer_auth(OPERATOR_KEY).timeout(REQUEST_TIMEOUT).send().ok()?;
    let current: CurrentDeclaration = serde_json::from_str(&response.text().ok()?).ok()?;
    Some(current.revision)
}
