use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use base::MonotonicTime;

use crate::{
    Answer, Bounds, Demand, OrganisationKey, Quota, QuotaReport, QuotaView, ReportedCost,
    bucket::Bucket,
};

/// Age of the last view from which the leader counts as lost, if polls fail.
const MAX_VIEW_AGE: Duration = Duration::from_secs(1);

/// Age of an answer from which its grants are returned, as after a freeze of this host.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(500);

/// Longest wait of a denial from the local share.
const MAX_LOCAL_WAIT: Duration = Duration::from_secs(60);

/// Wait of a denial while the number of routers isn't known.
const UNKNOWN_SHARE_WAIT: Duration = Duration::from_secs(1);

/// Number of expired denials after which they are removed.
const MAX_DENIALS: usize = 4_096;

/// How a request was admitted, which determines how its cost is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The organisation is open; the leader learns of the cost with the next report.
    Reported,
    /// The leader has charged the cost.
    Granted,
    /// The cost was taken from this router's local share.
    Local,
}

/// What a router does with a request of a limited organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is charged and may run.
    Admitted(Admission),
    /// The leader must be asked.
    Ask,
    /// The request is over the limit.
    Denied {
        /// Time until a request may be admitted.
        wait: Duration,
    },
}

/// What the local share of a router depends on.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// Since when there is no leader.
    since: MonotonicTime,
    /// Number of routers, if known.
    routers: Option<u32>,
    /// Random number from 0 to 1.
    draw: f64,
}

/// A router's admission of requests of limited organisations.
#[derive(Clone, Debug)]
pub struct Gate {
    bounds: Bounds,
    open: HashSet<OrganisationKey>,
    position: u64,
    /// When the poll was sent whose response is the latest view.
    confirmed: Option<MonotonicTime>,
    /// Since when there is no leader, as far as this router knows.
    lost_since: Option<MonotonicTime>,
    /// Number of routers in the latest view.
    routers: u32,
    denied_until: HashMap<OrganisationKey, MonotonicTime>,
    /// Local shares, while there is no leader.
    local: HashMap<OrganisationKey, Bucket>,
    unreported: HashMap<OrganisationKey, i64>,
    /// The report that was sent and not acknowledged.
    sent_report: Option<QuotaReport>,
    process: u64,
    last_report: u64,
}

impl Gate {
    /// Creates a gate for a process with a random id and the default bounds; it has no view.
    pub fn new(process: u64) -> Self {
        Self::with_bounds(process, Bounds::default())
    }

    /// Creates a gate for a process with a random id; it has no view.
    pub fn with_bounds(process: u64, bounds: Bounds) -> Self {
        Self {
            bounds,
            open: HashSet::new(),
            position: 0,
            confirmed: None,
            lost_since: None,
            routers: 0,
            denied_until: HashMap::new(),
            local: HashMap::new(),
            unreported: HashMap::new(),
            sent_report: None,
            process,
            last_report: 0,
        }
    }

    /// Decides about a request.
    ///
    /// `routers` is the number of routers that this one knows, or `None` while it doesn't know them;
    /// `draw` is a random number from 0 to 1.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        demand: &Demand,
        quota: &Quota,
        routers: Option<u32>,
        draw: f64,
    ) -> Decision {
        if let Some(since) = self.lost_since {
            let share = Share { since, routers, draw };
            return self.admit_locally(now, demand, quota, share);
        }
        let is_open = self.open.contains(&demand.organisation);
        if is_open && self.is_view_within(now, self.bounds.max_report_delay(quota)) {
            self.add_unreported(demand, 1);
            return Decision::Admitted(Admission::Reported);
        }
        match self.denial(now, demand.organisation) {
            Some(wait) => Decision::Denied { wait },
            None => Decision::Ask,
        }
    }

    /// Returns how long the leader's last denial still holds for an organisation.
    pub fn denial(&self, now: MonotonicTime, organisation: OrganisationKey) -> Option<Duration> {
        let until = self.denied_until.get(&organisation)?;
        (now < *until).then(|| until.saturating_since(now))
    }

    /// Returns whether there is no leader, as far as this router knows.
    pub fn is_leader_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Applies the leader's answers to demands that were sent at `asked`; returns the decisions.
    ///
    /// Late grants are returned to the leader, and their demands are to be asked again.
    pub fn apply_answers(
        &mut self,
        now: MonotonicTime,
        asked: MonotonicTime,
        demands: &[Demand],
        answers: &[Answer],
    ) -> Vec<Decision> {
        self.remove_expired_denials(now);
        let is_late = MAX_ANSWER_AGE <= now.saturating_since(asked);
        let decide = |(demand, answer): (&Demand, &Answer)| match *answer {
            Answer::Granted if is_late => {
                self.add_unreported(demand, -1);
                Decision::Ask
            }
            Answer::Granted => Decision::Admitted(Admission::Granted),
            Answer::Denied { wait } => {
                self.denied_until.insert(demand.organisation, now + wait);
                Decision::Denied { wait }
            }
            Answer::TooLarge { wait } => Decision::Denied { wait },
        };
        demands.iter().zip(answers).map(decide).collect()
    }

    /// Records that an ask got no answer; local shares apply until the next view.
    pub fn record_unanswered(&mut self, now: MonotonicTime) {
        self.lost_since.get_or_insert(now);
    }

    /// Records that a poll got no response.
    pub fn record_failed_poll(&mut self, now: MonotonicTime) {
        if self.confirmed.is_some() && !self.is_view_within(now, MAX_VIEW_AGE) {
            self.lost_since.get_or_insert(now);
        }
    }

    /// Applies the response to a poll that was sent at `sent` with this gate's report; `view` is
    /// absent if the leader knows of no quotas.
    pub fn apply_view(&mut self, sent: MonotonicTime, view: Option<&QuotaView>) {
        self.sent_report = None;
        self.confirmed = Some(sent);
        self.lost_since = None;
        self.local.clear();
        let Some(view) = view else {
            self.open.clear();
            self.position = 0;
            return;
        };
        if view.is_complete {
            self.open.clear();
        }
        self.open.extend(&view.opened);
        for organisation in &view.metered {
            self.open.remove(organisation);
        }
        self.position = view.next;
        self.routers = view.routers;
    }

    /// Returns the position in the changes of open organisations, for the next poll.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the report for the next poll; one without a response is returned again.
    pub fn report(&mut self, routers: u32) -> QuotaReport {
        if let Some(sent) = &mut self.sent_report {
            sent.routers = routers;
            return sent.clone();
        }
        let costs = self
            .unreported
            .drain()
            .map(|(organisation, units)| ReportedCost { organisation, units });
        let costs: Vec<_> = costs.filter(|reported| reported.units != 0).collect();
        if !costs.is_empty() {
            self.last_report += 1;
        }
        let (process, number) = (self.process, self.last_report);
        let report = QuotaReport { routers, process, number, costs };
        self.sent_report = Some(report.clone());
        report
    }

    /// Returns the cost of a request that was admitted and never sent to an endpoint.
    pub fn refund(&mut self, demand: &Demand, admission: Admission) {
        match admission {
            Admission::Reported | Admission::Granted => self.add_unreported(demand, -1),
            Admission::Local => {
                if let Some(bucket) = self.local.get_mut(&demand.organisation) {
                    bucket.put_back(demand.cost);
                }
            }
        }
    }

    fn is_view_within(&self, now: MonotonicTime, max_age: Duration) -> bool {
        self.confirmed.is_some_and(|sent| now.saturating_since(sent) < max_age)
    }

    /// Admits a request from the local share, the limit divided by the number of routers.
    ///
    /// The share starts with a debt of a random part of the first request's cost: from an empty
    /// bucket all routers would admit a request at once, together more than a small limit allows.
    fn admit_locally(
        &mut self,
        now: MonotonicTime,
        demand: &Demand,
        quota: &Quota,
        Share { since, routers, draw }: Share,
    ) -> Decision {
        let Some(routers) = routers else {
            return Decision::Denied { wait: UNKNOWN_SHARE_WAIT };
        };
        // The roster of a partitioned router may shrink.
        let routers = routers.max(self.routers).max(1);
        let share = self.bounds.local_share(quota, routers, demand.cost);
        let max_debt = self.bounds.allowance(quota);
        // It never runs from this share, and must not start a bucket with a debt of its cost.
        if share.burst() + max_debt < demand.cost.units() {
            return Decision::Denied { wait: MAX_LOCAL_WAIT };
        }
        let at = now.since_origin().as_secs_f64();
        let bucket = self.local.entry(demand.organisation).or_insert_with(|| {
            let since = since.since_origin().as_secs_f64();
            let mut bucket = Bucket::new(share, since);
            bucket.take(since, draw * demand.cost.units());
            bucket
        });
        bucket.set_quota(at, share);
        if bucket.try_take(at, demand.cost, max_debt) {
            return Decision::Admitted(Admission::Local);
        }
        let wait = Duration::try_from_secs_f64(bucket.seconds_until(demand.cost, max_debt));
        Decision::Denied { wait: wait.unwrap_or(MAX_LOCAL_WAIT).min(MAX_LOCAL_WAIT) }
    }

    fn add_unreported(&mut self, demand: &Demand, sign: i64) {
        let units = self.unreported.entry(demand.organisation).or_default();
        *units += sign * i64::from(demand.cost.as_u32());
    }

    fn remove_expired_denials(&mut self, now: MonotonicTime) {
        if MAX_DENIALS < self.denied_until.len() {
            self.denied_until.retain(|_, until| now < *until);
        }
    }
}
