use std::{collections::BTreeMap, time::Duration};

use base::{DataCentreId, HostId, Incarnation, MonotonicTime, Sequence};

use crate::{PROBE_PERIOD, PeerUpdate, TICK_INTERVAL, link::Link};

/// Probes under way, with timeouts learnt a data centre.
#[derive(Debug, Default)]
pub(crate) struct Detector {
    probes: BTreeMap<HostId, Probe>,
    links: BTreeMap<DataCentreId, Link>,
}

#[derive(Debug)]
struct Probe {
    data_centre: DataCentreId,
    known_life: (Incarnation, Sequence),
    deadline: MonotonicTime,
    overdue: Option<Overdue>,
}

/// The stage of a probe without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Overdue {
    /// No answer came; others should try.
    Direct,
    /// Nobody got an answer.
    Indirect,
}

impl Detector {
    /// Starts a probe unless one is under way, and returns how long the answer may take.
    pub(crate) fn probed(&mut self, now: MonotonicTime, subject: &PeerUpdate) -> Duration {
        let timeout = self.timeout(&subject.data_centre);
        self.probes.entry(subject.host.clone()).or_insert_with(|| Probe {
            data_centre: subject.data_centre.clone(),
            known_life: life(subject),
            deadline: now + timeout,
            overdue: None,
        });
        timeout
    }

    /// Ends the probe of a router that answered after `round_trip`.
    pub(crate) fn answered(&mut self, round_trip: Duration, from: &PeerUpdate) {
        self.links.entry(from.data_centre.clone()).or_default().answered(round_trip);
        self.probes.remove(&from.host);
    }

    /// Ends the probe of a router that others have heard from since.
    pub(crate) fn alive(&mut self, news: &PeerUpdate) {
        let probe = self.probes.get(&news.host);
        if probe.is_some_and(|probe| probe.known_life < life(news)) {
            self.probes.remove(&news.host);
        }
    }

    /// Drops all probes.
    pub(crate) fn clear(&mut self) {
        self.probes.clear();
    }

    /// Returns the probes that passed a deadline; the last stage ends the probe.
    pub(crate) fn overdue(&mut self, now: MonotonicTime) -> Vec<(HostId, Overdue)> {
        let late: Vec<_> = self.probes.iter().filter(|(_, probe)| probe.deadline <= now).collect();
        let late: Vec<HostId> = late.into_iter().map(|(host, _)| host.clone()).collect();
        late.into_iter().map(|host| self.advance(now, host)).collect()
    }

    /// Returns how long suspicion lasts among `fleet` routers before it becomes death.
    pub(crate) fn suspicion_time(&self, data_centre: &DataCentreId, fleet: usize) -> Duration {
        const BASE_PERIODS: u32 = 3;
        let patience = self.links.get(data_centre).map_or(1.0, Link::patience);
        let periods = BASE_PERIODS + (fleet + 1).ilog2();
        (PROBE_PERIOD * periods).mul_f64(patience)
    }

    /// Returns the timeout towards each data centre.
    pub(crate) fn timeouts(&self) -> impl Iterator<Item = (&DataCentreId, Duration)> {
        self.links.iter().map(|(data_centre, link)| (data_centre, link.timeout()))
    }

    fn advance(&mut self, now: MonotonicTime, host: HostId) -> (HostId, Overdue) {
        if let Some(mut probe) = self.probes.remove(&host) {
            if probe.overdue.is_some() {
                return (host, Overdue::Indirect);
            }
            self.links.entry(probe.data_centre.clone()).or_default().lost();
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

fn life(update: &PeerUpdate) -> (Incarnation, Sequence) {
    (update.incarnation, update.heartbeat)
}
