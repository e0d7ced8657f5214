use std::collections::{BTreeSet, HashMap};

use base::{OrganisationId, TokenCount};

use crate::{Priority, Ticket};

/// Virtual time charged per token to an organisation of weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 16;

/// Start-time fair queue: orders organisations by virtual time, the work they were charged divided
/// by their weight.
#[derive(Clone, Debug)]
pub(crate) struct FairQueue {
    default_weight: u32,
    weights: HashMap<OrganisationId, u32>,
    active: HashMap<OrganisationId, OrganisationQueue>,
    /// Organisations with waiting requests, by virtual time.
    queued: BTreeSet<(u64, OrganisationId)>,
    /// Sum of the weights of the organisations with waiting requests.
    queued_weight: u64,
    /// Virtual start time of the request that started last.
    virtual_clock: u64,
}

#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    virtual_time: u64,
    tickets: BTreeSet<(Priority, Ticket)>,
    /// Weight included in `queued_weight` while requests wait.
    counted_weight: u32,
}

impl FairQueue {
    pub(crate) fn new(default_weight: u32) -> Self {
        Self {
            default_weight: default_weight.max(1),
            weights: HashMap::new(),
            active: HashMap::new(),
            queued: BTreeSet::new(),
            queued_weight: 0,
            virtual_clock: 0,
        }
    }

    pub(crate) fn set_weight(&mut self, organisation: OrganisationId, weight: u32) {
        self.weights.insert(organisation, weight.max(1));
    }

    /// Charges `organisation` for a request that starts now.
    pub(crate) fn charge(&mut self, organisation: &OrganisationId, cost: TokenCount) {
        let weight = u64::from(self.weight(organisation));
        let queue = self.active.entry(organisation.clone()).or_default();
        let start_time = queue.virtual_time.max(self.virtual_clock);
        let cost = cost.as_u64().max(1).saturating_mul(VIRTUAL_TIME_PER_TOKEN) / weight;
        let end_time = start_time.saturating_add(cost.max(1));
        if !queue.tickets.is_empty() {
            self.queued.remove(&(queue.virtual_time, organisation.clone()));
            self.queued.insert((end_time, organisation.clone()));
        }
        queue.virtual_time = end_time;
        self.virtual_clock = start_time;
    }

    /// Returns the ticket that starts next.
    pub(crate) fn first(&self) -> Option<Ticket> {
        let (_, organisation) = self.queued.first()?;
        let (_, ticket) = self.active.get(organisation)?.tickets.first()?;
        Some(*ticket)
    }

    /// Returns the organisation's ticket that would start last.
    pub(crate) fn last_of(&self, organisation: &OrganisationId) -> Option<Ticket> {
        let (_, ticket) = self.active.get(organisation)?.tickets.last()?;
        Some(*ticket)
    }

    /// Returns the organisations with waiting requests.
    pub(crate) fn queued_organisations(&self) -> Vec<OrganisationId> {
        self.queued.iter().map(|(_, organisation)| organisation.clone()).collect()
    }

    pub(crate) fn push(
        &mut self,
        organisation: &OrganisationId,
        priority: Priority,
        ticket: Ticket,
    ) {
        let weight = self.weight(organisation);
        let queue = self.active.entry(organisation.clone()).or_default();
        if queue.tickets.is_empty() {
            queue.virtual_time = queue.virtual_time.max(self.virtual_clock);
            queue.counted_weight = weight;
            self.queued_weight += u64::from(weight);
            self.queued.insert((queue.virtual_time, organisation.clone()));
        }
        queue.tickets.insert((priority, ticket));
    }

    pub(crate) fn remove(
        &mut self,
        organisation: &OrganisationId,
        priority: Priority,
        ticket: Ticket,
    ) {
        let Some(queue) = self.active.get_mut(organisation) else { return };
        if queue.tickets.remove(&(priority, ticket)) && queue.tickets.is_empty() {
            self.queued_weight -= u64::from(queue.counted_weight);
            self.queued.remove(&(queue.virtual_time, organisation.clone()));
        }
    }

    /// Returns the number of the organisation's waiting requests.
    pub(crate) fn queued(&self, organisation: &OrganisationId) -> usize {
        self.active.get(organisation).map_or(0, |queue| queue.tickets.len())
    }

    /// Returns the number of the organisation's requests that start before a new one.
    pub(crate) fn requests_ahead(
        &self,
        organisation: &OrganisationId,
        priority: Priority,
    ) -> usize {
        let Some(queue) = self.active.get(organisation) else { return 0 };
        queue.tickets.range(..=(priority, Ticket(u64::MAX))).count()
    }

    /// Returns the number of other organisations whose first waiting request starts before the
    /// organisation's.
    pub(crate) fn organisations_ahead(&self, organisation: &OrganisationId) -> usize {
        let own =
            self.active.get(organisation).map_or(self.virtual_clock, |queue| queue.virtual_time);
        let start_time = (own.max(self.virtual_clock), organisation.clone());
        self.queued.range(..start_time).filter(|(_, other)| other != organisation).count()
    }

    /// Returns the organisation's share of the capacity, by weight, among all organisations with
    /// waiting requests.
    pub(crate) fn capacity_share(&self, organisation: &OrganisationId) -> f64 {
        let own = u64::from(self.weight(organisation));
        let is_counted = 0 < self.queued(organisation);
        let all = self.queued_weight + if is_counted { 0 } else { own };
        own as f64 / all.max(1) as f64
    }

    /// Removes organisations without waiting requests whose virtual time is not ahead of the clock.
    pub(crate) fn remove_idle(&mut self) {
        let virtual_clock = self.virtual_clock;
        self.active
            .retain(|_, queue| !queue.tickets.is_empty() || virtual_clock < queue.virtual_time);
    }

    /// Resets the queue when nothing runs or waits.
    pub(crate) fn reset(&mut self) {
        self.active.clear();
        self.queued.clear();
        self.queued_weight = 0;
        self.virtual_clock = 0;
    }

    fn weight(&self, organisation: &OrganisationId) -> u32 {
        self.weights.get(organisation).copied().unwrap_or(self.default_weight)
    }
}
