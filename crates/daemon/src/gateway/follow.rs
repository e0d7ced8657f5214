//! Long polls of the leader for the published configuration, weights and loads.

use std::{collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use base::{ModelId, MonotonicTime};
use fleet::{ConfigurationNumber, WeightsHistory};
use member::IncarnationKey;
use routes::Table;
use wire::leader::{
    FollowCursor, FollowRequest, LeaderRequest, LeaderResponse, PublishedView, ViewVersion,
};

use crate::replica::{QuotaList, ReplicaInput};

use super::{Dialect, Gateway, targets};

/// Longest wait for the leader's response to a poll before the leader counts as lost.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait of the leader before it responds to a host that serves callers; such a host needs
/// recent loads to place their requests.
const CALLERS_MAX_POLL_WAIT: Duration = Duration::from_millis(150);

/// Longest wait of the leader before it responds to any other host.
const IDLE_MAX_POLL_WAIT: Duration = Duration::from_millis(300);

/// Time from which a response counts as late: the longest poll wait plus a round trip.
const LATE_RESPONSE_THRESHOLD: Duration = Duration::from_millis(700);

/// Pause after a failed poll.
const RETRY_BACKOFF: Duration = Duration::from_millis(30);

/// The configuration that this host applies, and when the leader last confirmed it.
pub(super) struct ActiveConfiguration {
    pub number: ConfigurationNumber,
    pub table: Arc<Table>,
    pub weights: BTreeMap<ModelId, WeightsHistory>,
    /// The quotas of limited organisations.
    pub quotas: QuotaList,
    /// When the poll was sent whose response confirmed that nothing newer was published.
    pub confirmed: MonotonicTime,
}

/// History of a model without desired weights.
pub(super) static NO_DESIRED_WEIGHTS: WeightsHistory = WeightsHistory::new();

impl ActiveConfiguration {
    /// Returns the time since the leader last reported that this configuration is the newest.
    pub(super) fn age(&self, now: MonotonicTime) -> Duration {
        now.saturating_since(self.confirmed)
    }
}

/// Polls the leader for published changes until the thread ends.
pub(super) async fn run<D: Dialect>(gateway: Rc<Gateway<D>>) {
    let (mut version, mut next_sent) = (ViewVersion::default(), 0);
    let mut slowness = ViewVersion::default();
    let mut is_leader_lost = false;
    loop {
        let sent = gateway.clock.now();
        let number = gateway.configuration_number();
        let loads = gateway.targets.borrow().sent_loads();
        let reported = gateway.unreported_prompts.borrow_mut().take();
        let crashes = gateway
            .crash_evidence
            .borrow_mut()
            .take_report(sent, |target| gateway.targets.borrow().has_left(target));
        let response_times = gateway.response_times.borrow_mut().take();
        let (quota, next_quota) =
            (gateway.quota_report(), gateway.quotas.gate().borrow().position());
        let request = LeaderRequest::FollowPublished(FollowRequest {
            from: gateway.host.clone(),
            seen: FollowCursor { number, version, next_sent, slowness, next_quota },
            max_wait: if gateway.cfg.callers.is_some() {
                CALLERS_MAX_POLL_WAIT
            } else {
                IDLE_MAX_POLL_WAIT
            },
            loads: loads.clone(),
            sent: reported.clone(),
            leaving: gateway.leaving_endpoints(),
            crashes: crashes.clone(),
            response_times: response_times.clone(),
            quota,
        });
        match gateway.leader.submit(&request, FOLLOW_TIMEOUT).await {
            Ok(LeaderResponse::Published(view)) => {
                if std::mem::take(&mut is_leader_lost) {
                    log::info!(term:% = view.version.term,
                        unconfirmed_ms = gateway.unconfirmed_for(sent).as_millis() as u64;
                        "leader reachable again");
                }
                let now = gateway.clock.now();
                log_late_response(now.saturating_since(sent));
                (version, next_sent) = (view.version, view.next_sent);
                gateway.targets.borrow_mut().apply_view(now, &loads, &view);
                gateway.crash_evidence.borrow_mut().apply_view(now, sent, crashes, &view);
                if let Some(list) = &view.slowness {
                    slowness = list.version;
                    gateway.apply_slowness(list);
                }
                gateway.quotas.gate().borrow_mut().apply_view(sent, view.quota.as_ref());
                gateway.apply_view(sent, &view);
            }
            Ok(other) => {
                log::warn!(response:? = other; "unexpected response from leader");
                tokio::time::sleep(RETRY_BACKOFF).await;
            }
            Err(why) => {
                gateway.unreported_prompts.borrow_mut().restore(reported);
                gateway.response_times.borrow_mut().restore(response_times);
                gateway.crash_evidence.borrow_mut().restore(sent, crashes);
                gateway.quotas.gate().borrow_mut().record_failed_poll(gateway.clock.now());
                if !std::mem::replace(&mut is_leader_lost, true) {
                    log::warn!(why:? = why; "leader poll failed");
                }
                tokio::time::sleep(RETRY_BACKOFF).await;
            }
        }
    }
}

/// Returns the limited organisations with their quotas.
fn quota_list(table: &Table) -> QuotaList {
    let organisations = table.organisations();
    let limited = organisations.filter_map(|organisation| {
        organisation.quota.map(|quota| (Arc::clone(&organisation.name), quota))
    });
    limited.collect()
}

/// Logs a response that took longer than a poll may wait.
fn log_late_response(took: Duration) {
    if LATE_RESPONSE_THRESHOLD <= took {
        log::info!(took_ms = took.as_millis() as u64; "leader poll response late");
    }
}

impl<D: Dialect> Gateway<D> {
    /// Applies the response to a poll sent at `sent`; an older configuration is rejected.
    fn apply_view(&self, sent: MonotonicTime, view: &PublishedView) {
        let current = self.active_configuration();
        let current_number = current.as_ref().map(|current| current.number);
        if current_number.is_some_and(|current| view.number < current) {
            let (current, received) = (current_number.unwrap_or_default(), view.number);
            log::error!(current:%, received:%; "leader published an older configuration");
            return;
        }
        let (table, quotas) = match (&view.content, current) {
            (Some(content), _) if view.number != ConfigurationNumber::default() => {
                match self.read_table(view.number, content) {
                    Some(table) => {
                        let quotas = quota_list(&table);
                        (table, quotas)
                    }
                    None => return,
                }
            }
            (_, Some(current)) => (Arc::clone(&current.table), Arc::clone(&current.quotas)),
            (_, None) => return,
        };
        let may_be_news = !quotas.is_empty() || current_number != Some(view.number);
        if let Some(replica) = self.replica.as_ref().filter(|_| may_be_news) {
            // A list that a full channel drops is sent again with the next view.
            let _ =
                replica.try_send(ReplicaInput::Quotas(Arc::clone(&quotas), self.cfg.quota_bounds));
        }
        let weights = self.merge_desired_weights(view);
        let active_configuration =
            ActiveConfiguration { number: view.number, table, weights, quotas, confirmed: sent };
        self.active_configuration.replace(Some(Rc::new(active_configuration)));
        if current_number != Some(view.number) {
            self.release_announcements();
        }
    }

    /// Returns the incarnations of endpoints that announced or stated to this host that they leave.
    fn leaving_endpoints(&self) -> Vec<IncarnationKey> {
        let roster = self.latest_roster.load();
        let mut leaving = roster.map_or_else(Vec::new, |roster| targets::leaving(&roster));
        leaving.extend(self.targets.borrow().stated_leaving());
        leaving
    }

    fn read_table(&self, number: ConfigurationNumber, content: &[u8]) -> Option<Arc<Table>> {
        let table = match self.dialect.table(content) {
            Ok(table) => table,
            Err(e) => {
                log::error!(number:%, error:% = e; "invalid published configuration");
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
        let unconfirmed = self.unconfirmed_for(self.clock.now());
        log::info!(number:%, routes = table.routes().count(), isolated = table.isolated().count(),
            unconfirmed_ms = unconfirmed.as_millis() as u64; "configuration applied");
        Some(Arc::new(table))
    }

    /// Returns the models' desired weights, and reports their ages to the replica.
    ///
    /// Ages count from now rather than from the poll: a leader that receives its own ages back must
    /// not raise them.
    fn merge_desired_weights(&self, view: &PublishedView) -> BTreeMap<ModelId, WeightsHistory> {
        let now = self.clock.now();
        let mut weights =
            self.active_configuration().map(|current| current.weights.clone()).unwrap_or_default();
        for received in &view.weights {
            let history = weights.entry(received.model.clone()).or_default();
            if history.version() < received.version {
                log::info!(model:% = received.model, version = received.version,
                    age_ms = received.age.as_millis() as u64; "desired weights changed");
            }
            history.record(now, received.version, received.age);
        }
        if let Some(replica) = &self.replica {
            // Ages that a full channel drops are sent again with the next view.
            let ages = weights.iter().flat_map(|(model, history)| history.ages(model, now));
            let _ = replica.try_send(ReplicaInput::WeightAges { at: now, ages: ages.collect() });
        }
        weights
    }

    /// Returns the number of the configuration that this host applies; 0 if it has none.
    pub(super) fn configuration_number(&self) -> ConfigurationNumber {
        self.active_configuration().map_or(ConfigurationNumber::default(), |active| active.number)
    }

    /// Returns the time since the leader last confirmed the configuration that this host applies.
    fn unconfirmed_for(&self, now: MonotonicTime) -> Duration {
        self.active_configuration().map_or(Duration::ZERO, |active| active.age(now))
    }

    /// Returns the configuration that this host applies, if it has one.
    pub(super) fn active_configuration(&self) -> Option<Rc<ActiveConfiguration>> {
        self.active_configuration.borrow().clone()
    }
}
