use std::{collections::BTreeMap, time::Duration};

use base::{DataCentreId, HostId, Incarnation, MonotonicTime, Sequence};

use crate::{PROBE_INTERVAL, PeerUpdate, TICK_INTERVAL, link::Link};

/// Probes in flight, with adaptive timeouts for each data centre.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    probes: BTreeMap<HostId, Probe>,
    links: BTreeMap<DataCentreId, Link>,
}

#[derive(Debug)]
struct Probe {
    data_centre: DataCentreId,
    known_heartbeat: (Incarnation, Sequence),
    deadline: MonotonicTime,
    overdue: Option<Overdue>,
}

/// The stage of a probe without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Overdue {
    /// No response to the direct probe; indirect probes should follow.
    Direct,
    /// No response to the indirect probes either.
    Indirect,
}

impl FailureDetector {
    /// Starts a probe unless one is in flight, and returns the response timeout.
    pub(crate) fn start_probe(&mut self, now: MonotonicTime, subject: &PeerUpdate) -> Duration {
        let timeout = self.timeout(&subject.data_centre);
        self.probes.entry(subject.host.clone()).or_insert_with(|| Probe {
            data_centre: subject.data_centre.clone(),
            known_heartbeat: heartbeat(subject),
            deadline: now + timeout,
            overdue: None,
        });
        timeout
    }

    /// Ends the probe of a router that responded after `round_trip`.
    pub(crate) fn record_response(&mut self, round_trip: Duration, from: &PeerUpdate) {
        self.links.entry(from.data_centre.clone()).or_default().record_round_trip(round_trip);
        self.probes.remove(&from.host);
    }

    /// Ends the probe of a router if `update` shows that it ran after the probe started.
    pub(crate) fn record_update(&mut self, update: &PeerUpdate) {
        let probe = self.probes.get(&update.host);
        if probe.is_some_and(|probe| probe.known_heartbeat < heartbeat(update)) {
            self.probes.remove(&update.host);
        }
    }

    /// Cancels all probes.
    pub(crate) fn clear(&mut self) {
        self.probes.clear();
    }

    /// Advances the probes whose deadline passed and returns their stage; the last stage ends a
    /// probe.
    pub(crate) fn take_overdue(&mut self, now: MonotonicTime) -> Vec<(HostId, Overdue)> {
        let overdue: Vec<_> =
            self.probes.iter().filter(|(_, probe)| probe.deadline <= now).collect();
        let overdue: Vec<HostId> = overdue.into_iter().map(|(host, _)| host.clone()).collect();
        overdue.into_iter().map(|host| self.advance(now, host)).collect()
    }

    /// Returns the time after which a suspect among `routers` routers is declared dead.
    pub(crate) fn suspicion_timeout(&self, data_centre: &DataCentreId, routers: usize) -> Duration {
        const BASE_INTERVALS: u32 = 3;
        let factor = self.links.get(data_centre).map_or(1.0, Link::suspicion_factor);
        let intervals = BASE_INTERVALS + (routers + 1).ilog2();
        (PROBE_INTERVAL * intervals).mul_f64(factor)
    }

    /// Returns the response timeout of each data centre.
    pub(crate) fn timeouts(&self) -> impl Iterator<Item = (&DataCentreId, Duration)> {
        self.links.iter().map(|(data_centre, link)| (data_centre, link.timeout()))
    }

    fn advance(&mut self, now: MonotonicTime, host: HostId) -> (HostId, Overdue) {
        if let Some(mut probe) = self.probes.remove(&host) {
            if probe.overdue.is_some() {
                return (host, Overdue::Indirect);
            }
            self.links.entry(probe.data_centre.clone()).or_default().record_loss();
            probe.deadline = now + self.timeout(&probe.data_centre) * 2 + TICK_INTERVAL * 2;
            probe.overdue = Some(Overdue::Direct);
            self.probes.insert(host.clone(), probe);
        }
        (host, Overdue::Direct)
    }

    fn timeout(&self, data_centre: &DataCentreId) -> Duration {
        self.links.get(data_centre).map_or_else(|| Link::default().timeout(), Link::timeout)
    }
}

fn heartbeat(update: &PeerUpdate) -> (Incarnation, Sequence) {
    (update.incarnation, update.heartbeat)
}
