//! Checks whether an endpoint that ended a connection still runs.

use std::{io, rc::Rc, time::Duration};

use crate::net;

use super::{Dialect, Gateway, crash_evidence::LivenessCheck, target::Target};

/// Times from the loss of a connection to the attempts to open a new one. A process closes its
/// sockets one after the other as it ends, and one at its limit of connections may refuse some.
const CHECK_DELAYS: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(500)];

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts to check whether an endpoint still accepts connections; no request is sent.
pub(super) fn spawn_check<D: Dialect>(gateway: Rc<Gateway<D>>, target: Rc<Target>) {
    tokio::task::spawn_local(async move {
        let check = check(&gateway, &target).await;
        let lost = gateway.crash_evidence.borrow_mut().record_check(&target, check);
        log::info!(endpoint:% = target.endpoint, incarnation:% = target.incarnation, lost, check:%;
            "endpoint checked after lost connections");
    });
}

async fn check<D: Dialect>(gateway: &Gateway<D>, target: &Target) -> LivenessCheck {
    let begun = tokio::time::Instant::now();
    let mut outcomes = [LivenessCheck::Inconclusive; CHECK_DELAYS.len()];
    for (outcome, delay) in outcomes.iter_mut().zip(CHECK_DELAYS) {
        tokio::time::sleep_until(begun + delay).await;
        *outcome = attempt(gateway, target).await;
    }
    let [first, last] = outcomes;
    if first == last { first } else { LivenessCheck::Inconclusive }
}

async fn attempt<D: Dialect>(gateway: &Gateway<D>, target: &Target) -> LivenessCheck {
    let connecting = net::connect(gateway.source, target.address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(_)) => LivenessCheck::Running,
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => LivenessCheck::Ended,
        Ok(Err(_)) | Err(_) => LivenessCheck::Inconclusive,
    }
}
