//! What is published, as far as this host knows.

use std::{collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use base::{ModelId, MonotonicTime};
use fleet::{ConfigurationNumber, WeightsHistory};
use member::{EndpointState, LifeKey};
use routes::Table;
use wire::leader::{Follow, LeaderAnswer, LeaderRequest, PublishedView, Seen, ViewVersion};

use crate::replica::ReplicaInput;

use super::{Dialect, Gateway};

/// Longest wait for the leader's answer before the loss of the leader is noted.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a question may be held where the answer's loads place callers' requests.
const CALLERS_HOLD: Duration = Duration::from_millis(150);

/// How long a question may be held elsewhere.
const IDLE_HOLD: Duration = Duration::from_millis(300);

/// Time from which an answer is late: longer than questions are held, and a way there and back.
const LATE: Duration = Duration::from_millis(700);

/// Pause after a question without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// The configuration in force here, with the proof of its age.
pub(super) struct InForce {
    pub number: ConfigurationNumber,
    pub table: Arc<Table>,
    pub weights: BTreeMap<ModelId, WeightsHistory>,
    /// When the question was sent whose answer said that nothing newer was in force.
    pub confirmed: MonotonicTime,
}

/// What is known of a model of which no version was named.
pub(super) static NONE_NAMED: WeightsHistory = WeightsHistory::new();

impl InForce {
    /// Returns how old the proof is that nothing newer is in force.
    pub(super) fn age(&self, now: MonotonicTime) -> Duration {
        now.saturating_since(self.confirmed)
    }
}

/// Follows what the leader says is published until the thread ends.
pub(super) async fn run<D: Dialect>(gateway: Rc<Gateway<D>>) {
    let (mut version, mut next_sent) = (ViewVersion::default(), 0);
    let mut lost = false;
    loop {
        let sent = gateway.clock.now();
        let number = gateway.in_force().map_or(ConfigurationNumber::default(), |held| held.number);
        let loads = gateway.targets.borrow().sent_loads();
        let told = gateway.untold.borrow_mut().take();
        let request = LeaderRequest::FollowPublished(Follow {
            from: gateway.host.clone(),
            seen: Seen { number, version, next_sent },
            hold: if gateway.cfg.callers.is_some() { CALLERS_HOLD } else { IDLE_HOLD },
            loads: loads.clone(),
            sent: told.clone(),
            leaving: gateway.leaving_endpoints(),
        });
        match gateway.leader.submit(&request, ASK_TIMEOUT).await {
            Ok(LeaderAnswer::Published(view)) => {
                if std::mem::take(&mut lost) {
                    log::info!(term:% = view.version.term; "the leader answers again");
                }
                let now = gateway.clock.now();
                note_late(now.saturating_since(sent));
                (version, next_sent) = (view.version, view.next_sent);
                gateway.targets.borrow_mut().hear(now, &loads, &view);
                gateway.take_view(sent, &view);
            }
            Ok(other) => {
                log::warn!(answer:? = other; "the leader's answer is of another kind");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(why) => {
                gateway.untold.borrow_mut().restore(told);
                if !std::mem::replace(&mut lost, true) {
                    log::warn!(why:? = why; "no leader answers");
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Logs an answer that took longer than questions are held.
fn note_late(took: Duration) {
    if LATE <= took {
        log::info!(took_ms = took.as_millis() as u64; "the leader's answer was late");
    }
}

impl<D: Dialect> Gateway<D> {
    /// Takes the answer to a question sent at `sent`; what is in force never goes back.
    fn take_view(&self, sent: MonotonicTime, view: &PublishedView) {
        let held = self.in_force();
        let held_number = held.as_ref().map(|held| held.number);
        if held_number.is_some_and(|held| view.number < held) {
            let (held, told) = (held_number.unwrap_or_default(), view.number);
            log::error!(held:%, told:%; "the leader knows an older configuration");
            return;
        }
        let table = match (&view.content, held) {
            (Some(content), _) if view.number != ConfigurationNumber::default() => {
                match self.read_table(view.number, content) {
                    Some(table) => table,
                    None => return,
                }
            }
            (_, Some(held)) => Arc::clone(&held.table),
            (_, None) => return,
        };
        let weights = self.named_weights(view);
        let in_force = InForce { number: view.number, table, weights, confirmed: sent };
        self.published.replace(Some(Rc::new(in_force)));
    }

    /// Returns the lives of endpoints that this host has heard to leave.
    fn leaving_endpoints(&self) -> Vec<LifeKey> {
        let Some(roster) = self.latest.load() else { return Vec::new() };
        let leaving = roster.endpoints.iter().filter(|known| known.state == EndpointState::Leaving);
        leaving.map(|known| LifeKey::of(&known.announcement)).collect()
    }

    fn read_table(&self, number: ConfigurationNumber, content: &[u8]) -> Option<Arc<Table>> {
        let table = match self.dialect.table(content) {
            Ok(table) => table,
            Err(e) => {
                log::error!(number:%, error:% = e; "a published configuration can't be read");
                return None;
            }
        };
        let mut targets = self.targets.borrow_mut();
        targets.set_stores(table.stores());
        for service in table.services() {
            if let Some(engine) = &service.engine {
                targets.set_kv_tokens(&service.name, engine.kv_tokens);
            }
        }
        self.label_organisations(&table);
        log::info!(number:%, routes = table.routes().count(); "configuration in force");
        Some(Arc::new(table))
    }

    /// Returns the weights named so far, and tells the replica how old they are.
    ///
    /// Ages count from now rather than from the question: a leader that hears its own ages again
    /// must not raise them.
    fn named_weights(&self, view: &PublishedView) -> BTreeMap<ModelId, WeightsHistory> {
        let now = self.clock.now();
        let mut weights = self.in_force().map(|held| held.weights.clone()).unwrap_or_default();
        for told in &view.weights {
            let known = weights.entry(told.model.clone()).or_default();
            if known.version() < told.version {
                log::info!(model:% = told.model, version = told.version,
                    age_ms = told.age.as_millis() as u64; "weights named");
            }
            known.note(now, told.version, told.age);
        }
        if let Some(replica) = &self.replica {
            // A full ring loses ages that the next view brings again.
            let ages = weights.iter().flat_map(|(model, history)| history.ages(model, now));
            let _ = replica.try_send(ReplicaInput::WeightAges { at: now, ages: ages.collect() });
        }
        weights
    }

    /// Returns what is in force, if anything is.
    pub(super) fn in_force(&self) -> Option<Rc<InForce>> {
        self.published.borrow().clone()
    }
}
