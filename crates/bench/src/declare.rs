//! Changes of the declaration, as an operator makes them.

use std::{net::SocketAddr, time::Duration};

use base::Revision;
use eyre::ensure;
use wire::operator::{ChangeRequest, ChangeResult, CurrentDeclaration, DECLARATION_PATH};

use crate::{
    process::wait_until,
    site::{OPERATOR_KEY, Site},
};

/// Time for one request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Time for a change to be in force on every daemon.
const IN_FORCE: Duration = Duration::from_secs(15);

/// Replaces the declaration and waits until it is in force on every daemon.
///
/// # Errors
///
/// Returns an error if the change is refused or isn't in force in time.
pub fn declare(site: &Site, toml: &str) -> eyre::Result<Revision> {
    let admin = site.daemons[0].spec().admin_listen;
    let mut revision = None;
    wait_until("the declaration is accepted", IN_FORCE, || {
        let before = in_force(admin).unwrap_or_default();
        let answer = post(admin, toml, before);
        if let Err(e) = &answer {
            log::info!("the declaration was not accepted: {e}");
        }
        revision = answer.ok();
        revision.is_some()
    })?;
    let revision = revision.unwrap_or_default();
    for daemon in &site.daemons {
        let admin = daemon.spec().admin_listen;
        let newer = || in_force(admin).is_some_and(|known| revision <= known);
        wait_until("the declaration is in force", IN_FORCE, newer)?;
    }
    Ok(revision)
}

fn post(admin: SocketAddr, toml: &str, expected: Revision) -> eyre::Result<Revision> {
    let change = ChangeRequest {
        id: format!("bench-{expected}").parse()?,
        expected,
        author: "bench".parse()?,
        reason: "a measurement".into(),
        toml: toml.into(),
    };
    let response = attohttpc::post(format!("http://{admin}{DECLARATION_PATH}"))
        .bearer_auth(OPERATOR_KEY)
        .timeout(TIMEOUT)
        .bytes(serde_json::to_vec(&change)?)
        .send()?;
    let status = response.status();
    let text = response.text()?;
    ensure!(status.is_success(), "{status}: {text}");
    match serde_json::from_str(&text)? {
        ChangeResult::Applied { revision } => Ok(revision),
        other => Err(eyre::eyre!("{other:?}")),
    }
}

fn in_force(admin: SocketAddr) -> Option<Revision> {
    let url = format!("http://{admin}{DECLARATION_PATH}");
    let response = attohttpc::get(url).bearer_auth(OPERATOR_KEY).timeout(TIMEOUT).send().ok()?;
    let current: CurrentDeclaration = serde_json::from_str(&response.text().ok()?).ok()?;
    Some(current.revision)
}
