use std::time::Duration;

use base::{HostId, MonotonicTime};

use crate::{
    AnnouncementRequest, Checksums, EndpointState, EndpointUpdate, Endpoints, Gossip,
    IncarnationKey, Membership, Outgoing, RelayedRenewal, Renewal,
    budget::{LOAD_BYTES, RENEWAL_COPIES},
    catch_up::CatchUp,
    checksum::BucketChecksums,
    message::{endpoint_bytes, header_bytes, peer_bytes, renewal_bytes},
};

/// Largest number of routers probed on behalf of others at a time.
const MAX_PROXY_PROBES: usize = 16;

/// Number of queued updates above which the reserve may be spent on them.
const BACKLOG_THRESHOLD: usize = 16;

impl Membership {
    /// Applies a message from another router and returns the response.
    pub fn handle_request(&mut self, now: MonotonicTime, message: Gossip) -> Gossip {
        self.refute_suspicions(now, &message);
        let response = self.respond(now, &message);
        self.apply_message(now, message, Duration::ZERO);
        response
    }

    /// Applies the response to a message sent at `sent`, and returns follow-up messages.
    ///
    /// A response that never arrives needs no call.
    pub fn handle_response(
        &mut self,
        now: MonotonicTime,
        sent: MonotonicTime,
        message: Gossip,
    ) -> Vec<Outgoing> {
        self.refute_suspicions(now, &message);
        self.peers.record_response(now, sent, &message.from);
        let host = message.from.host.clone();
        let next = message.pull_next;
        self.apply_message(now, message, now.saturating_since(sent));
        let mut out: Vec<_> = self.confirm_to_requesters(now, &host);
        out.extend(next.and_then(|next| self.continue_pull(now, &host, next)));
        out
    }

    /// Composes a message to `host` and starts a probe that ends with the response.
    pub(crate) fn send(
        &mut self,
        now: MonotonicTime,
        host: &HostId,
        fill: impl FnOnce(&mut Gossip),
    ) -> Option<Outgoing> {
        let to = self.peers.find(host)?.update.address;
        let timeout = self.peers.start_probe(now, host);
        let message = self.compose(now, Some(host), fill);
        Some(Outgoing { to, timeout, message })
    }

    /// Composes a message from what `fill` adds and the queued updates that fit beside it.
    pub(crate) fn compose(
        &mut self,
        now: MonotonicTime,
        host: Option<&HostId>,
        fill: impl FnOnce(&mut Gossip),
    ) -> Gossip {
        let mut message = self.new_message(host, None);
        fill(&mut message);
        self.fill(now, message)
    }

    /// Returns whether the steady rate or the reserve allows another gossip message now.
    pub(crate) fn may_gossip(&mut self, now: MonotonicTime) -> bool {
        let header = header_bytes(self.peers.me(), &self.newest);
        header * 2 <= self.steady_limiter.available(now)
            || (self.has_backlog() && header * 2 <= self.backlog_limit(now))
    }

    /// Returns the checksums of the next range of buckets, in rotation.
    pub(crate) fn next_checksums(&mut self) -> Checksums {
        let first = self.next_checksum_range;
        let sums = self.current_checksums().range(first);
        self.next_checksum_range = first.wrapping_add(sums.sums.len() as u16);
        sums
    }

    fn refute_suspicions(&mut self, now: MonotonicTime, message: &Gossip) {
        if self.peers.refute(&message.peers) {
            self.checksums = None;
            self.catch_up.get_or_insert_with(|| CatchUp::new(now));
        }
    }

    fn respond(&mut self, now: MonotonicTime, request: &Gossip) -> Gossip {
        let mut response = self.new_message(Some(&request.from.host), Some(request));
        let mut remaining = self.message_limit(now);
        for requested in &request.announcement_requests {
            self.add_requested(now, requested, &mut response, &mut remaining);
        }
        if let Some(remote) = &request.checksums {
            let differing = self.current_checksums().differing(remote);
            if !differing.is_empty() {
                let records = self.records(now, &differing, remaining);
                records.move_into(&mut response);
            }
        }
        if let Some(pull) = request.pull {
            let max_bytes = self
                .reserve_limiter
                .available(now)
                .min(self.budget.max_catch_up_message.as_u64() as usize);
            let (records, next) = self.serve_pull(now, pull, max_bytes);
            self.reserve_limiter.spend(records.bytes());
            self.steady_limiter.refund(records.bytes());
            records.move_into(&mut response);
            response.pull_next = Some(next);
        }
        self.fill(now, response)
    }

    /// Adds the requested announcement to the response, if it is newer and fits.
    fn add_requested(
        &self,
        now: MonotonicTime,
        requested: &AnnouncementRequest,
        response: &mut Gossip,
        remaining: &mut usize,
    ) {
        let Some(record) = self.endpoints.find_incarnation(&requested.key) else { return };
        let is_newer = requested.sequence < record.announcement.sequence;
        if record.state == EndpointState::Expired || !is_newer {
            return;
        }
        let bytes = endpoint_bytes(&record.announcement);
        if *remaining < bytes {
            return;
        }
        *remaining -= bytes;
        let announcement = record.announcement.clone();
        response.endpoints.push(EndpointUpdate { announcement, age: record.age(now) });
    }

    fn new_message(&mut self, host: Option<&HostId>, sent: Option<&Gossip>) -> Gossip {
        self.peers.increment_heartbeat();
        let sent = sent.map(|message| &message.from);
        let suspicion = host.and_then(|host| self.peers.refutable_update(host, sent));
        Gossip {
            from: self.peers.me().clone(),
            newest: self.newest.clone(),
            endpoint_count: u32::try_from(self.endpoints.live_count()).unwrap_or(u32::MAX),
            peers: suspicion.cloned().into_iter().collect(),
            endpoints: Vec::new(),
            renewals: Vec::new(),
            checksums: None,
            announcement_requests: Vec::new(),
            probe_requests: Vec::new(),
            pull: None,
            pull_next: None,
        }
    }

    /// Fills the rest of a message with queued updates and charges its length to the rate limiters.
    fn fill(&mut self, now: MonotonicTime, mut message: Gossip) -> Gossip {
        let fixed = fixed_bytes(&message);
        let has_backlog = self.has_backlog();
        let steady_limit = self.message_limit(now).saturating_sub(fixed);
        let mut remaining = steady_limit;
        if has_backlog && message.pull_next.is_none() {
            let max_bytes = self.budget.max_message.as_u64() as usize * 4;
            remaining = remaining.max(self.backlog_limit(now).min(max_bytes).saturating_sub(fixed));
        }
        let from_reserve = steady_limit < remaining;
        let before = remaining;
        self.add_updates(now, &mut message, &mut remaining);
        let update_bytes = before - remaining;
        if from_reserve {
            self.reserve_limiter.spend(update_bytes);
            self.steady_limiter.spend(fixed);
        } else {
            self.steady_limiter.spend(fixed + update_bytes);
        }
        message
    }

    fn add_updates(&mut self, now: MonotonicTime, message: &mut Gossip, remaining: &mut usize) {
        const BACKLOG_COPIES: u32 = 4;
        let copies = self.transmit_limit();
        let max_bytes = self.budget.max_message.as_u64() as usize;
        let max_bytes = max_bytes.saturating_sub(header_bytes(self.peers.me(), &self.newest));
        let joined_copies = if self.has_backlog() { BACKLOG_COPIES } else { copies };
        let endpoints = &self.endpoints;
        let update = |endpoint: &_| {
            let record = endpoints.find(endpoint)?;
            if record.state == EndpointState::Expired {
                return None;
            }
            let announcement = record.announcement.clone();
            let bytes = endpoint_bytes(&announcement);
            Some((EndpointUpdate { announcement, age: record.age(now) }, bytes))
        };
        message.endpoints.extend(self.queues.leaving.take(remaining, max_bytes, copies, update));
        let mut peer_queue = std::mem::take(&mut self.peers.queue);
        message.peers.extend(peer_queue.take(remaining, max_bytes, copies, |host| {
            let peer_update = self.peers.update_of(host)?.clone();
            let bytes = peer_bytes(&peer_update);
            Some((peer_update, bytes))
        }));
        self.peers.queue = peer_queue;
        message.endpoints.extend(self.queues.joined.take(
            remaining,
            max_bytes,
            joined_copies,
            update,
        ));
        let with_load = self.budget.relays_load(self.endpoint_count());
        message.renewals.extend(self.queues.renewed.take(
            remaining,
            max_bytes,
            RENEWAL_COPIES,
            |key| {
                let renewal = renewal(endpoints, now, key, with_load)?;
                let bytes = renewal_bytes(&renewal);
                Some((renewal, bytes))
            },
        ));
    }

    fn apply_message(&mut self, now: MonotonicTime, message: Gossip, transit: Duration) {
        let from = message.from.host.clone();
        if from == self.peers.me().host {
            return;
        }
        let mut peers_changed = self.peers.apply_sender(now, message.from);
        self.record_revision(&message.newest);
        self.record_endpoint_count(now, message.endpoint_count);
        let is_pulled = message.pull_next.is_some();
        for update in message.peers {
            let host = update.host.clone();
            let is_changed = self.peers.merge(now, update, &from);
            if is_changed && is_pulled {
                self.peers.queue.remove(&host);
            }
            peers_changed |= is_changed;
        }
        if peers_changed {
            self.checksums = None;
        }
        for update in message.endpoints {
            let endpoint = update.announcement.endpoint.clone();
            self.apply_endpoint(now, update, transit, &from);
            if is_pulled {
                self.queues.joined.remove(&endpoint);
            }
        }
        for renewal in message.renewals {
            self.apply_renewal(now, &renewal, transit, &from);
        }
        for subject in message.probe_requests {
            self.queue_proxy_probe(subject, &from);
        }
    }

    fn apply_endpoint(
        &mut self,
        now: MonotonicTime,
        update: EndpointUpdate,
        transit: Duration,
        from: &HostId,
    ) {
        let old = self.endpoints.find(&update.announcement.endpoint).cloned();
        let age = update.age.saturating_add(transit);
        let applied = self.endpoints.announce_relayed(now, update.announcement, age, from.clone());
        let Ok(change) = applied else { return };
        self.enqueue_change(old.as_ref(), &change);
        self.changes.push(change);
    }

    fn apply_renewal(
        &mut self,
        now: MonotonicTime,
        renewal: &Renewal,
        transit: Duration,
        from: &HostId,
    ) {
        let Some(old) = self.endpoints.find_incarnation(&renewal.key).cloned() else {
            self.pending_requests.insert(renewal.key);
            while MAX_PENDING_REQUESTS < self.pending_requests.len() {
                self.pending_requests.pop_first();
            }
            return;
        };
        let renewed = RelayedRenewal {
            key: renewal.key,
            sequence: renewal.sequence,
            age: Duration::from_millis(renewal.age_millis.into()).saturating_add(transit),
            load: renewal.load,
            relayed_by: from.clone(),
        };
        let Some(Ok(change)) = self.endpoints.renew(now, &renewed) else { return };
        if old.state == EndpointState::Expired {
            self.checksums = None;
        }
        self.enqueue_change(Some(&old), &change);
        self.changes.push(change);
    }

    fn queue_proxy_probe(&mut self, subject: HostId, requester: &HostId) {
        if subject == self.peers.me().host || self.peers.find(&subject).is_none() {
            return;
        }
        if MAX_PROXY_PROBES <= self.proxy_probes.len() && !self.proxy_probes.contains_key(&subject)
        {
            return;
        }
        let requesters = &mut self.proxy_probes.entry(subject).or_default().requesters;
        if requesters.len() < MAX_PROXY_PROBES && !requesters.contains(requester) {
            requesters.push(requester.clone());
        }
    }

    /// Sends the update of `host`, which responded, to the routers that requested the probe.
    fn confirm_to_requesters(&mut self, now: MonotonicTime, host: &HostId) -> Vec<Outgoing> {
        let Some(proxy_probe) = self.proxy_probes.remove(host) else { return Vec::new() };
        let Some(update) = self.peers.update_of(host).cloned() else { return Vec::new() };
        let requesters = proxy_probe.requesters.iter();
        requesters
            .filter_map(|requester| {
                self.send(now, requester, |message| message.peers.push(update.clone()))
            })
            .collect()
    }

    fn message_limit(&mut self, now: MonotonicTime) -> usize {
        self.steady_limiter.available(now).min(self.budget.max_message.as_u64() as usize)
    }

    /// Returns the part of the reserve that a backlog may use; half of its capacity is kept for
    /// pulls.
    fn backlog_limit(&mut self, now: MonotonicTime) -> usize {
        let pull_share = self.budget.reserve.as_u64() as usize / 2;
        self.reserve_limiter.available(now).saturating_sub(pull_share)
    }

    fn has_backlog(&self) -> bool {
        BACKLOG_THRESHOLD
            < self.queues.joined.len() + self.queues.leaving.len() + self.peers.queue.len()
    }

    fn current_checksums(&mut self) -> &BucketChecksums {
        let peers = self.peers.iter().map(|peer| &peer.update).chain([self.peers.me()]);
        let endpoints = &self.endpoints;
        self.checksums.get_or_insert_with(|| BucketChecksums::new(peers, endpoints.iter()))
    }
}

/// Largest number of incarnations queued for announcement requests.
const MAX_PENDING_REQUESTS: usize = 256;

/// Returns an upper bound on the encoded length of a message without queued updates, in bytes.
fn fixed_bytes(message: &Gossip) -> usize {
    const CHECKSUM_BYTES: usize = 5;
    const REQUEST_BYTES: usize = IncarnationKey::BYTES + 10;
    let peers: usize = message.peers.iter().map(peer_bytes).sum();
    let endpoints: usize = message.endpoints.iter().map(|e| endpoint_bytes(&e.announcement)).sum();
    let sums = message
        .checksums
        .as_ref()
        .map_or(0, |sums| sums.sums.len() * CHECKSUM_BYTES + CHECKSUM_BYTES);
    let probe_requests: usize =
        message.probe_requests.iter().map(|host| host.as_str().len() + 1).sum();
    header_bytes(&message.from, &message.newest)
        + peers
        + endpoints
        + sums
        + probe_requests
        + message.announcement_requests.len() * REQUEST_BYTES
        + message.renewals.len() * LOAD_BYTES
}

fn renewal(
    endpoints: &Endpoints,
    now: MonotonicTime,
    key: &IncarnationKey,
    with_load: bool,
) -> Option<Renewal> {
    let record =
        endpoints.find_incarnation(key).filter(|record| record.state == EndpointState::Ready)?;
    let age = record.age(now);
    let age_millis = u32::try_from(age.as_micros().div_ceil(1000)).ok()?;
    let load = record.load(now).map(|(load, _)| load).filter(|_| with_load);
    Some(Renewal { key: *key, sequence: record.announcement.sequence, age_millis, load })
}
