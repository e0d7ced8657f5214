use std::collections::{BTreeSet, HashMap};

use base::{OrganisationId, TokenCount};

use crate::{Priority, Ticket};

/// Virtual time that a token costs an organisation of weight 1.
const TOKEN_COST: u64 = 1 << 16;

/// Orders organisations by what they were charged for their weight.
#[derive(Clone, Debug)]
pub(crate) struct Shares {
    default_weight: u32,
    weights: HashMap<OrganisationId, u32>,
    active: HashMap<OrganisationId, Share>,
    /// Organisations with a queue, by virtual time.
    queued: BTreeSet<(u64, OrganisationId)>,
    /// Sum of the weights of the organisations with a queue.
    queued_weight: u64,
    /// Virtual time of the request started last.
    clock: u64,
}

#[derive(Clone, Debug, Default)]
struct Share {
    virtual_time: u64,
    queue: BTreeSet<(Priority, Ticket)>,
    /// Weight counted into the sum while there is a queue.
    counted_weight: u32,
}

impl Shares {
    pub(crate) fn new(default_weight: u32) -> Self {
        Self {
            default_weight: default_weight.max(1),
            weights: HashMap::new(),
            active: HashMap::new(),
            queued: BTreeSet::new(),
            queued_weight: 0,
            clock: 0,
        }
    }

    pub(crate) fn set_weight(&mut self, organisation: OrganisationId, weight: u32) {
        self.weights.insert(organisation, weight.max(1));
    }

    /// Charges `organisation` for a request that starts.
    pub(crate) fn charge(&mut self, organisation: &OrganisationId, cost: TokenCount) {
        let weight = u64::from(self.weight(organisation));
        let share = self.active.entry(organisation.clone()).or_default();
        let start = share.virtual_time.max(self.clock);
        let cost = cost.as_u64().max(1).saturating_mul(TOKEN_COST) / weight;
        let end = start.saturating_add(cost.max(1));
        if !share.queue.is_empty() {
            self.queued.remove(&(share.virtual_time, organisation.clone()));
            self.queued.insert((end, organisation.clone()));
        }
        share.virtual_time = end;
        self.clock = start;
    }

    /// Returns the ticket that goes next.
    pub(crate) fn first(&self) -> Option<Ticket> {
        let (_, organisation) = self.queued.first()?;
        let (_, ticket) = self.active.get(organisation)?.queue.first()?;
        Some(*ticket)
    }

    /// Returns the ticket that goes last among the organisation's.
    pub(crate) fn last_of(&self, organisation: &OrganisationId) -> Option<Ticket> {
        let (_, ticket) = self.active.get(organisation)?.queue.last()?;
        Some(*ticket)
    }

    /// Returns the organisations with a queue.
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
        let share = self.active.entry(organisation.clone()).or_default();
        if share.queue.is_empty() {
            share.virtual_time = share.virtual_time.max(self.clock);
            share.counted_weight = weight;
            self.queued_weight += u64::from(weight);
            self.queued.insert((share.virtual_time, organisation.clone()));
        }
        share.queue.insert((priority, ticket));
    }

    pub(crate) fn remove(
        &mut self,
        organisation: &OrganisationId,
        priority: Priority,
        ticket: Ticket,
    ) {
        let Some(share) = self.active.get_mut(organisation) else { return };
        if share.queue.remove(&(priority, ticket)) && share.queue.is_empty() {
            self.queued_weight -= u64::from(share.counted_weight);
            self.queued.remove(&(share.virtual_time, organisation.clone()));
        }
    }

    /// Returns the number of the organisation's requests that wait.
    pub(crate) fn queued(&self, organisation: &OrganisationId) -> usize {
        self.active.get(organisation).map_or(0, |share| share.queue.len())
    }

    /// Returns the number of the organisation's requests that go before a new one.
    pub(crate) fn ahead(&self, organisation: &OrganisationId, priority: Priority) -> usize {
        let Some(share) = self.active.get(organisation) else { return 0 };
        share.queue.range(..=(priority, Ticket(u64::MAX))).count()
    }

    /// Returns the number of other organisations with a queue whose first request goes before the
    /// organisation's.
    pub(crate) fn before(&self, organisation: &OrganisationId) -> usize {
        let own = self.active.get(organisation).map_or(self.clock, |share| share.virtual_time);
        let start = (own.max(self.clock), organisation.clone());
        self.queued.range(..start).filter(|(_, other)| other != organisation).count()
    }

    /// Returns the part of the capacity that the organisation gets while all others with a queue
    /// keep theirs.
    pub(crate) fn share_of(&self, organisation: &OrganisationId) -> f64 {
        let own = u64::from(self.weight(organisation));
        let is_counted = 0 < self.queued(organisation);
        let all = self.queued_weight + if is_counted { 0 } else { own };
        own as f64 / all.max(1) as f64
    }

    /// Forgets organisations without a queue that are owed nothing.
    pub(crate) fn forget_idle(&mut self) {
        let clock = self.clock;
        self.active.retain(|_, share| !share.queue.is_empty() || clock < share.virtual_time);
    }

    /// Starts afresh when nothing runs or waits.
    pub(crate) fn reset(&mut self) {
        self.active.clear();
        self.queued.clear();
        self.queued_weight = 0;
        self.clock = 0;
    }

    fn weight(&self, organisation: &OrganisationId) -> u32 {
        self.weights.get(organisation).copied().unwrap_or(self.default_weight)
    }
}
