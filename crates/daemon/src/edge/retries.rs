use std::{cell::RefCell, time::Duration};

use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use route::{Backoff, BudgetSettings, RetryBudget};

use crate::clock::Clock;

/// Limits this router's retries, so that faults don't multiply the load.
pub(super) struct Retries {
    clock: Clock,
    backoff: Backoff,
    inner: RefCell<Inner>,
}

struct Inner {
    budget: RetryBudget,
    rng: Pcg64Mcg,
}

impl Retries {
    pub(super) fn new(clock: Clock, seed: u64) -> Self {
        let budget = RetryBudget::new(clock.now(), BudgetSettings::default());
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self { clock, backoff: Backoff::default(), inner: RefCell::new(Inner { budget, rng }) }
    }

    /// Adds the fraction of a retry that one request earns by its settings to the budget.
    pub(super) fn earn(&self, settings: &fleet::Settings) {
        let budget = &mut self.inner.borrow_mut().budget;
        budget.set_ratio(settings.retry_budget.as_f64());
        budget.earn(self.clock.now());
    }

    /// Takes a retry from the budget; returns `false` if it is exhausted.
    pub(super) fn try_spend(&self) -> bool {
        self.inner.borrow_mut().budget.try_spend(self.clock.now())
    }

    /// Takes retry number `attempt`, from 0, and waits for its backoff; returns `false` at once if
    /// the budget is exhausted.
    pub(super) async fn try_spend_and_wait(&self, attempt: u32) -> bool {
        if !self.try_spend() {
            return false;
        }
        let delay: Duration = self.backoff.delay(attempt, &mut self.inner.borrow_mut().rng);
        tokio::time::sleep(delay).await;
        true
    }
}
