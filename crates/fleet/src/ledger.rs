//! The ledger of non-idempotent calls.
//!
//! A call may be sent only under a claim granted by this ledger, by the claim's owner and before
//! the claim's send deadline, which the owner checks on its own monotonic clock right before the
//! first byte. A claim ends with the owner's report of the outcome, the owner's release (it sent
//! nothing), or an operator's settlement, which is final for the key: the caller must use a new
//! one. An operator can settle a call as not run only after the send deadline plus
//! [`RESOLVE_MARGIN`]. If an owner was frozen between its check and the first byte and still gets a
//! response later, that response is recorded as a conflict.
//!
//! A key is open while an owner holds its claim, then settled. Open keys are never evicted. Settled
//! keys are evicted after the organisation's retention time, or when too many later ones are
//! settled; keys in doubt are counted separately, so that a flood of finished calls can't evict
//! them. A further limit applies across all organisations.
//!
//! The ledger's clock is the highest timestamp of any command, so it never goes backwards. Each
//! command evicts for its own organisation and for one other, round-robin.

use std::{collections::BTreeMap, ops::Bound, time::Duration};

use base::{HostId, Incarnation, OrganisationId, UnixMillis};
use serde::{Deserialize, Serialize};

use crate::{
    call::{Call, CallState, Conflict, GrantedClaim, Resolved},
    calls::{Calls, Entry, Evicted},
    command::{
        CallKey, Claim, Finish, Outcome, Owner, OwnerGone, Release, Resolution, Resolve,
        StoredResponse,
    },
    contents::Reason,
    reply::{ClaimReply, FinishReply, MayHaveRunReason, ReleaseReply, ResolveReply},
    settings::Settings,
};

/// Time after a claim's send deadline before an operator may settle the call as not run.
pub const RESOLVE_MARGIN: Duration = Duration::from_secs(5);

/// Maximum size of all stored response bodies; beyond it responses are stored without their bodies.
pub const MAX_STORED_BODY_BYTES: usize = 32 << 20;

/// Maximum number of stored calls, open or settled, of all organisations; beyond it the oldest one
/// of the organisation with the most settled calls is evicted.
pub const MAX_STORED_CALLS: usize = 1 << 16;

/// A settlement number that no ledger reaches; a snapshot with a higher one is damaged.
const MAX_SETTLEMENTS: u64 = u64::MAX / 2;

/// The calls of every organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    organisations: BTreeMap<OrganisationId, Calls>,
    clock: UnixMillis,
    next_settlement: u64,
    stored_calls: usize,
    stored_body_bytes: usize,
    /// The organisation that the last command swept round-robin.
    last_swept: Option<OrganisationId>,
    /// The last incarnation of each host that is known to have ended.
    ended_incarnations: BTreeMap<HostId, Incarnation>,
}

/// A source of the effective settings of each organisation.
pub(crate) trait SettingsSource {
    /// Returns the settings of `organisation` at `now`.
    fn settings_for(&self, organisation: &OrganisationId, now: UnixMillis) -> Settings;
}

impl Ledger {
    /// Returns a stored call.
    pub fn call(&self, key: &CallKey) -> Option<&Call> {
        self.organisations.get(&key.organisation)?.call(&key.key)
    }

    /// Returns the number of an organisation's open claims.
    pub fn open_claims(&self, organisation: &OrganisationId) -> usize {
        self.organisations.get(organisation).map_or(0, Calls::open_count)
    }

    /// Returns the calls that are open or whose outcome is unknown.
    pub fn unsettled(&self) -> impl Iterator<Item = (CallKey, &Call)> {
        self.organisations.iter().flat_map(|(organisation, calls)| {
            let in_doubt = calls.iter().filter(|(_, call)| call.state.is_in_doubt());
            in_doubt.map(|(key, call)| {
                let key = CallKey { organisation: organisation.clone(), key: key.clone() };
                (key, call)
            })
        })
    }

    /// Returns the number of stored calls.
    pub fn len(&self) -> usize {
        self.stored_calls
    }

    /// Returns whether no call is stored.
    pub fn is_empty(&self) -> bool {
        self.organisations.is_empty()
    }

    /// Returns the ledger's clock: the highest timestamp of any command.
    pub fn clock(&self) -> UnixMillis {
        self.clock
    }

    /// Advances the clock, never backwards, and evicts settled calls of `organisation` and of the
    /// next one round-robin.
    pub(crate) fn advance<S: SettingsSource>(
        &mut self,
        at: UnixMillis,
        organisation: Option<&OrganisationId>,
        settings: &S,
    ) {
        self.clock = self.clock.max(at);
        if let Some(organisation) = organisation {
            self.sweep(organisation, settings);
        }
        if let Some(next) = self.next_to_sweep() {
            self.sweep(&next, settings);
            self.last_swept = Some(next);
        }
    }

    pub(crate) fn claim(&mut self, claim: &Claim, settings: &Settings) -> ClaimReply {
        if let Some(granted) = self.claim_of_ended_process(claim) {
            self.settle(&claim.call, CallState::MayHaveRun(granted, MayHaveRunReason::OwnerGone));
        }
        let send_within = settings.claim_send_deadline.as_duration();
        let reply = self.entry_mut(&claim.call).and_then(|entry| entry.reply_to(claim));
        if let Some(reply) = reply {
            return reply;
        }
        if self.has_ended(&claim.owner) {
            return ClaimReply::AttemptReleased;
        }
        let max_open = settings.max_open_claims.as_u32() as usize;
        if max_open <= self.open_claims(&claim.call.organisation) {
            return ClaimReply::TooMany;
        }
        if self.call(&claim.call).is_none() && !self.ensure_capacity() {
            return ClaimReply::TooMany;
        }
        self.open(claim, send_within);
        ClaimReply::Claimed { send_within }
    }

    pub(crate) fn finish(&mut self, finish: &Finish, settings: &Settings) -> FinishReply {
        let Some(entry) = self.entry_mut(&finish.call) else {
            return FinishReply::Unknown;
        };
        let granted = match &entry.call.state {
            CallState::Released => return FinishReply::NotOwner,
            CallState::Claimed(granted)
            | CallState::MayHaveRun(granted, _)
            | CallState::Finished(granted, _)
            | CallState::Resolved(granted, _)
                if !granted.matches(finish.id, &finish.owner) =>
            {
                return FinishReply::NotOwner;
            }
            CallState::Finished(..) => return FinishReply::AlreadySettled,
            CallState::Resolved(_, resolved) => {
                let Outcome::Answered(response) = &finish.outcome else {
                    return FinishReply::AlreadySettled;
                };
                if resolved.resolution == Resolution::Ran {
                    return FinishReply::AlreadySettled;
                }
                entry.call.conflict = Some(Conflict { status: response.status, at: finish.at });
                return FinishReply::Conflict;
            }
            CallState::Claimed(granted) | CallState::MayHaveRun(granted, _) => granted.clone(),
        };
        match &finish.outcome {
            Outcome::Answered(response) => {
                let response = self.limit_body(response, settings);
                self.settle(&finish.call, CallState::Finished(granted, response));
                FinishReply::Recorded
            }
            Outcome::Unknown => {
                self.settle(
                    &finish.call,
                    CallState::MayHaveRun(granted, MayHaveRunReason::OutcomeLost),
                );
                FinishReply::Recorded
            }
        }
    }

    pub(crate) fn release(&mut self, release: &Release) -> ReleaseReply {
        let Some(entry) = self.entry_mut(&release.call) else {
            return self.release_before_claim(release);
        };
        if entry.released.contains(&release.id) {
            return ReleaseReply::Released;
        }
        match &entry.call.state {
            CallState::Released => {
                entry.record_released(release.id);
                ReleaseReply::Released
            }
            CallState::Claimed(granted)
            | CallState::MayHaveRun(granted, _)
            | CallState::Finished(granted, _)
            | CallState::Resolved(granted, _)
                if !granted.matches(release.id, &release.owner) =>
            {
                if granted.id != release.id {
                    entry.record_released(release.id);
                }
                ReleaseReply::NotOwner
            }
            CallState::Finished(..)
            | CallState::Resolved(..)
            | CallState::MayHaveRun(_, MayHaveRunReason::OutcomeLost) => {
                ReleaseReply::AlreadySettled
            }
            CallState::Claimed(_) | CallState::MayHaveRun(_, MayHaveRunReason::OwnerGone) => {
                entry.record_released(release.id);
                self.settle(&release.call, CallState::Released);
                ReleaseReply::Released
            }
        }
    }

    pub(crate) fn resolve(&mut self, resolve: &Resolve) -> ResolveReply {
        if resolve.reason.parse::<Reason>().is_err() {
            return ResolveReply::InvalidReason;
        }
        let clock = self.clock;
        let Some(entry) = self.entry_mut(&resolve.call) else {
            return ResolveReply::Unknown;
        };
        let granted = match &entry.call.state {
            CallState::Claimed(granted) | CallState::MayHaveRun(granted, _) => granted.clone(),
            CallState::Finished(..) | CallState::Resolved(..) | CallState::Released => {
                return ResolveReply::AlreadySettled;
            }
        };
        let wait = granted.time_until_resolvable(clock);
        if resolve.resolution == Resolution::NotRun && !wait.is_zero() {
            return ResolveReply::TooEarly { wait };
        }
        let resolved = Resolved {
            resolution: resolve.resolution,
            author: resolve.author.clone(),
            reason: resolve.reason.clone(),
            at: resolve.at,
        };
        self.settle(&resolve.call, CallState::Resolved(granted, resolved));
        ResolveReply::Resolved
    }

    /// Marks the outcome of the ended processes' open claims as unknown; returns their number.
    pub(crate) fn owner_gone(&mut self, gone: &OwnerGone) -> u32 {
        let ended = self.ended_incarnations.entry(gone.owner.host.clone()).or_default();
        *ended = gone.owner.incarnation.max(*ended);
        let claims_of_ended: Vec<_> = self
            .organisations
            .iter()
            .flat_map(|(organisation, calls)| {
                calls.open_claims().map(move |(key, granted)| (organisation, key, granted))
            })
            .filter(|(_, _, granted)| granted.has_ended_with(&gone.owner))
            .map(|(organisation, key, granted)| {
                let call = CallKey { organisation: organisation.clone(), key: key.clone() };
                (call, granted.clone())
            })
            .collect();
        let count = claims_of_ended.len() as u32;
        for (call, granted) in claims_of_ended {
            self.settle(&call, CallState::MayHaveRun(granted, MayHaveRunReason::OwnerGone));
        }
        count
    }

    /// Returns whether the invariants hold between a snapshot's maps and counters, so that later
    /// commands can't panic.
    pub(crate) fn is_consistent(&self) -> bool {
        let bytes: usize = self.organisations.values().map(Calls::body_bytes).sum();
        let calls: usize = self.organisations.values().map(|calls| calls.iter().len()).sum();
        let numbers = self.organisations.values().filter_map(Calls::last_settlement);
        let next = numbers.max().map_or(0, |last| last.saturating_add(1));
        self.organisations.values().all(Calls::is_consistent)
            && calls == self.stored_calls
            && bytes == self.stored_body_bytes
            && next <= self.next_settlement
            && self.next_settlement < MAX_SETTLEMENTS
    }

    /// Records a release that arrived before its claim, so that the late claim is not granted.
    fn release_before_claim(&mut self, release: &Release) -> ReleaseReply {
        if !self.ensure_capacity() {
            return ReleaseReply::Unknown;
        }
        let calls = self.organisations.entry(release.call.organisation.clone()).or_default();
        let call = Call::new(release.request, CallState::Released, self.clock);
        calls.open(&release.call.key, call);
        self.stored_calls += 1;
        if let Some(entry) = self.entry_mut(&release.call) {
            entry.record_released(release.id);
        }
        self.settle(&release.call, CallState::Released);
        ReleaseReply::Released
    }

    /// Returns whether a process is known to have ended, so that its late claims are not granted.
    fn has_ended(&self, owner: &Owner) -> bool {
        self.ended_incarnations.get(&owner.host).is_some_and(|ended| owner.incarnation <= *ended)
    }

    /// Returns the open claim on the same key of an earlier incarnation on the claimant's host.
    fn claim_of_ended_process(&self, claim: &Claim) -> Option<GrantedClaim> {
        let CallState::Claimed(granted) = &self.call(&claim.call)?.state else {
            return None;
        };
        granted.is_superseded_by(&claim.owner).then(|| granted.clone())
    }

    fn entry_mut(&mut self, call: &CallKey) -> Option<&mut Entry> {
        self.organisations.get_mut(&call.organisation)?.entry_mut(&call.key)
    }

    fn open(&mut self, claim: &Claim, send_within: Duration) {
        let calls = self.organisations.entry(claim.call.organisation.clone()).or_default();
        let granted = GrantedClaim {
            id: claim.id,
            owner: claim.owner.clone(),
            claimed_at: self.clock,
            send_within,
        };
        let call = Call::new(claim.request, CallState::Claimed(granted), self.clock);
        self.stored_calls += usize::from(calls.call(&claim.call.key).is_none());
        calls.open(&claim.call.key, call);
    }

    fn settle(&mut self, call: &CallKey, state: CallState) {
        let Some(calls) = self.organisations.get_mut(&call.organisation) else {
            return;
        };
        self.stored_body_bytes += state.body_bytes();
        self.stored_body_bytes -= calls.settle(&call.key, state, self.clock, self.next_settlement);
        self.next_settlement += 1;
    }

    /// Drops the body of a response if it is too large to store.
    fn limit_body(&self, response: &StoredResponse, settings: &Settings) -> StoredResponse {
        let mut response = response.clone();
        let remaining = MAX_STORED_BODY_BYTES.saturating_sub(self.stored_body_bytes);
        let limit = remaining.min(settings.max_response_bytes.as_u32() as usize);
        response.body = response.body.filter(|body| body.len() <= limit);
        response
    }

    fn next_to_sweep(&self) -> Option<OrganisationId> {
        let after = self.last_swept.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
        let mut later = self.organisations.range::<OrganisationId, _>((after, Bound::Unbounded));
        later.next().or_else(|| self.organisations.first_key_value()).map(|(id, _)| id.clone())
    }

    fn sweep<S: SettingsSource>(&mut self, organisation: &OrganisationId, settings: &S) {
        let Some(calls) = self.organisations.get_mut(organisation) else {
            return;
        };
        let settings = settings.settings_for(organisation, self.clock);
        let evicted = calls.evict_due(self.clock, &settings);
        self.subtract_evicted(organisation, evicted);
    }

    /// Evicts a call if [`MAX_STORED_CALLS`] are stored; returns whether another one can be stored.
    fn ensure_capacity(&mut self) -> bool {
        if self.stored_calls < MAX_STORED_CALLS {
            return true;
        }
        let largest = self.organisations.iter_mut().max_by_key(|(_, calls)| calls.settled_count());
        let Some((organisation, calls)) = largest else {
            return false;
        };
        let (organisation, evicted) = (organisation.clone(), calls.evict_oldest());
        self.subtract_evicted(&organisation, evicted);
        evicted != Evicted::default()
    }

    fn subtract_evicted(&mut self, organisation: &OrganisationId, evicted: Evicted) {
        self.stored_calls -= evicted.calls;
        self.stored_body_bytes -= evicted.body_bytes;
        self.remove_if_empty(organisation);
    }

    fn remove_if_empty(&mut self, organisation: &OrganisationId) {
        if self.organisations.get(organisation).is_some_and(|calls| calls.iter().len() == 0) {
            self.organisations.remove(organisation);
        }
    }
}
