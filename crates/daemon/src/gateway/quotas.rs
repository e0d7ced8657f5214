//! Charges callers' requests to the quotas of their organisations.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use base::TokenCount;
use quota::{Admission, Bounds, Decision, Demand, Gate, OrganisationKey, Quota, QuotaReport};
use routes::Organisation;
use tokio::sync::oneshot;
use wire::leader::{LeaderRequest, LeaderResponse};

use crate::failure::Failure;

use super::{Dialect, Gateway};

/// Longest wait for the leader's answer before the local share of the limit is used.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest number of demands in one request to the leader.
const MAX_DEMANDS: usize = 1_024;

/// Share of a `Retry-After` that is added at random, so that callers don't return together.
const RETRY_JITTER: f64 = 0.1;

/// This host's gate, and the requests that wait for the leader's answers.
pub(super) struct Quotas {
    gate: RefCell<Gate>,
    waiting: RefCell<Vec<Waiting>>,
    /// Whether a task asks the leader.
    is_asking: Cell<bool>,
}

/// A request that waits for the leader's answer.
struct Waiting {
    demand: Demand,
    outcome: oneshot::Sender<Outcome>,
}

/// What came of an ask.
enum Outcome {
    /// The request may run.
    Charged(Charge),
    /// The request is over the limit.
    Denied(Duration),
    /// There was no answer in time.
    Unanswered,
}

/// The cost of an admitted request; dropped before it is spent, it is returned.
pub(super) struct Charge {
    quotas: Rc<Quotas>,
    demand: Demand,
    admission: Admission,
    is_spent: bool,
}

impl Charge {
    /// Records that the request is sent to an endpoint.
    pub(super) fn spend(&mut self) {
        self.is_spent = true;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.is_spent {
            self.quotas.gate.borrow_mut().refund(&self.demand, self.admission);
        }
    }
}

impl Quotas {
    /// Creates the state of a starting process.
    pub(super) fn new(bounds: Bounds) -> Self {
        Self {
            gate: RefCell::new(Gate::with_bounds(rand::random(), bounds)),
            waiting: RefCell::default(),
            is_asking: Cell::new(false),
        }
    }

    /// Returns this host's gate.
    pub(super) fn gate(&self) -> &RefCell<Gate> {
        &self.gate
    }

    fn outcome(self: &Rc<Self>, demand: Demand, decision: Decision) -> Option<Outcome> {
        match decision {
            Decision::Admitted(admission) => {
                let quotas = Rc::clone(self);
                Some(Outcome::Charged(Charge { quotas, demand, admission, is_spent: false }))
            }
            Decision::Denied { wait } => Some(Outcome::Denied(wait)),
            Decision::Ask => None,
        }
    }
}

impl<D: Dialect> Gateway<D> {
    /// Charges a request to its organisation's quota; asks the leader if it must.
    ///
    /// # Errors
    ///
    /// Returns a failure if the organisation is over its limit.
    pub(super) async fn charge(
        self: &Rc<Self>,
        organisation: Option<&Organisation>,
        tokens: Option<TokenCount>,
    ) -> Result<Option<Charge>, Failure> {
        let Some(organisation) = organisation else { return Ok(None) };
        let Some(quota) = &organisation.quota else { return Ok(None) };
        let key = OrganisationKey::of(&organisation.name);
        let demand = Demand { organisation: key, cost: quota.cost(tokens) };
        loop {
            let outcome = match self.decide(demand, quota) {
                Some(outcome) => outcome,
                None => self.ask(demand).await,
            };
            match outcome {
                Outcome::Charged(charge) => return Ok(Some(charge)),
                Outcome::Denied(wait) => {
                    let draw = self.random_share();
                    return Err(over_quota(organisation, demand, wait, draw));
                }
                Outcome::Unanswered => {}
            }
        }
    }

    /// Returns the report of the admitted costs for the next poll, if this host serves callers and
    /// the configuration has quotas.
    pub(super) fn quota_report(&self) -> Option<QuotaReport> {
        let has_quotas =
            self.active_configuration().is_some_and(|active| !active.quotas.is_empty());
        let is_reporting = has_quotas && self.cfg.callers.is_some();
        is_reporting.then(|| {
            // A starting host doesn't know the other hosts yet.
            let routers = self.known_routers().unwrap_or_default();
            self.quotas.gate.borrow_mut().report(routers)
        })
    }

    /// Decides about a request; returns `None` if the leader must be asked.
    fn decide(&self, demand: Demand, quota: &Quota) -> Option<Outcome> {
        let (now, draw) = (self.clock.now(), self.random_share());
        let decision =
            self.quotas.gate.borrow_mut().admit(now, &demand, quota, self.known_routers(), draw);
        self.quotas.outcome(demand, decision)
    }

    fn known_routers(&self) -> Option<u32> {
        (!self.is_starting()).then(|| self.router_count.get())
    }

    /// Waits for the leader's answer to a demand, which is sent together with others.
    async fn ask(self: &Rc<Self>, demand: Demand) -> Outcome {
        let (outcome, answered) = oneshot::channel();
        self.quotas.waiting.borrow_mut().push(Waiting { demand, outcome });
        if !self.quotas.is_asking.replace(true) {
            tokio::task::spawn_local(ask_leader(Rc::clone(self)));
        }
        answered.await.unwrap_or(Outcome::Unanswered)
    }

    /// Takes the demands to send next; those that the last answers have denied are denied.
    fn take_demands(&self) -> Vec<Waiting> {
        let now = self.clock.now();
        let mut waiting = self.quotas.waiting.borrow_mut();
        let count = waiting.len().min(MAX_DEMANDS);
        let mut demands = Vec::with_capacity(count);
        for next in waiting.drain(..count) {
            if next.outcome.is_closed() {
                continue;
            }
            match self.quotas.gate.borrow().denial(now, next.demand.organisation) {
                Some(wait) => drop(next.outcome.send(Outcome::Denied(wait))),
                None => demands.push(next),
            }
        }
        demands
    }

    /// Returns how a request would be decided now, and the demand; charges nothing and asks nobody.
    ///
    /// `draw` is a random number from 0 to 1.
    pub(super) fn explain_quota(
        &self,
        organisation: &str,
        quota: &Quota,
        tokens: Option<TokenCount>,
        draw: f64,
    ) -> (Demand, Decision) {
        let key = OrganisationKey::of(organisation);
        let demand = Demand { organisation: key, cost: quota.cost(tokens) };
        let mut gate = self.quotas.gate.borrow().clone();
        let decision = gate.admit(self.clock.now(), &demand, quota, self.known_routers(), draw);
        (demand, decision)
    }
}

/// Returns the failure of a request over its organisation's quota.
///
/// `draw` is a random number from 0 to 1.
pub(super) fn over_quota(
    organisation: &Organisation,
    demand: Demand,
    wait: Duration,
    draw: f64,
) -> Failure {
    let after = wait.max(Duration::from_millis(1)).mul_f64(1.0 + RETRY_JITTER * draw);
    let detail = format!(
        "organisation {} is over its quota: the request costs {}, the next may run in {} ms",
        organisation.name,
        demand.cost.as_u32(),
        wait.as_millis()
    );
    Failure::too_many(detail, after)
}

/// Asks the leader about the requests that wait, one batch after the other.
async fn ask_leader<D: Dialect>(gateway: Rc<Gateway<D>>) {
    while !gateway.quotas.waiting.borrow().is_empty() {
        let waiting = gateway.take_demands();
        if waiting.is_empty() {
            continue;
        }
        let demands: Vec<_> = waiting.iter().map(|waiting| waiting.demand).collect();
        let asked = gateway.clock.now();
        let request = LeaderRequest::AskQuota(demands.clone());
        let response = gateway.leader.submit(&request, ASK_TIMEOUT).await;
        let now = gateway.clock.now();
        let decisions = match response {
            Ok(LeaderResponse::Quota(answers)) if answers.len() == demands.len() => {
                gateway.quotas.gate.borrow_mut().apply_answers(now, asked, &demands, &answers)
            }
            response => {
                log::info!(demands = demands.len(), error:? = response.err();
                    "leader didn't answer about quotas, local shares are used");
                gateway.quotas.gate.borrow_mut().record_unanswered(now);
                vec![Decision::Ask; demands.len()]
            }
        };
        for (waiting, decision) in waiting.into_iter().zip(decisions) {
            let outcome = gateway.quotas.outcome(waiting.demand, decision);
            // A request that has ended meanwhile returns its charge.
            drop(waiting.outcome.send(outcome.unwrap_or(Outcome::Unanswered)));
        }
    }
    gateway.quotas.is_asking.set(false);
}
