use std::time::Duration;

use base::{HostId, MonotonicTime};

use crate::{
    Checksums, EndpointState, EndpointUpdate, Endpoints, Gossip, IncarnationKey, Membership,
    Outgoing, Renewal, RenewedLife, Want,
    budget::{LOAD_BYTES, RENEWAL_COPIES},
    catch_up::CatchUp,
    checksum::Sums,
    message::{endpoint_bytes, head_bytes, peer_bytes, renewal_bytes},
};

/// Number of routers that this one probes on behalf of others at a time.
const MAX_VOUCHING: usize = 16;

/// Number of subjects in a queue beyond which the reserve may be spent on it.
const BACKLOG: usize = 16;

impl Membership {
    /// Answers a message from another router.
    pub fn handle_request(&mut self, now: MonotonicTime, message: Gossip) -> Gossip {
        self.hear_doubt(now, &message);
        let answer = self.answer(now, &message);
        self.absorb(now, message, Duration::ZERO);
        answer
    }

    /// Applies the answer to a message that was sent at `sent`, and returns what follows from it.
    ///
    /// An answer that never comes needs no call.
    pub fn handle_response(
        &mut self,
        now: MonotonicTime,
        sent: MonotonicTime,
        message: Gossip,
    ) -> Vec<Outgoing> {
        self.hear_doubt(now, &message);
        self.peers.answered(now, sent, &message.from);
        let host = message.from.host.clone();
        let next = message.pull_next;
        self.absorb(now, message, now.saturating_since(sent));
        let mut out: Vec<_> = self.vouch(now, &host);
        out.extend(next.and_then(|next| self.pull_on(now, &host, next)));
        out
    }

    /// Composes a message to `host` and notes that it awaits an answer.
    pub(crate) fn send(
        &mut self,
        now: MonotonicTime,
        host: &HostId,
        fill: impl FnOnce(&mut Gossip),
    ) -> Option<Outgoing> {
        let to = self.peers.find(host)?.update.address;
        let timeout = self.peers.probed(now, host);
        let message = self.compose(now, Some(host), fill);
        Some(Outgoing { to, timeout, message })
    }

    /// Composes a message with the news that fits beside what `fill` puts into it.
    pub(crate) fn compose(
        &mut self,
        now: MonotonicTime,
        host: Option<&HostId>,
        fill: impl FnOnce(&mut Gossip),
    ) -> Gossip {
        let mut message = self.head(host, None);
        fill(&mut message);
        self.complete(now, message)
    }

    /// Returns whether a round of news may be sent now.
    pub(crate) fn may_spread(&mut self, now: MonotonicTime) -> bool {
        let head = head_bytes(self.peers.me(), &self.newest);
        head * 2 <= self.steady.left(now)
            || (self.has_backlog() && head * 2 <= self.backlog_room(now))
    }

    /// Returns the checksums that are next in turn.
    pub(crate) fn next_checksums(&mut self) -> Checksums {
        let first = self.next_sums;
        let sums = self.current_sums().range(first);
        self.next_sums = first.wrapping_add(sums.sums.len() as u16);
        sums
    }

    fn hear_doubt(&mut self, now: MonotonicTime, message: &Gossip) {
        if self.peers.refute(&message.peers) {
            self.sums = None;
            self.catch_up.get_or_insert_with(|| CatchUp::new(now));
        }
    }

    fn answer(&mut self, now: MonotonicTime, asked: &Gossip) -> Gossip {
        let mut answer = self.head(Some(&asked.from.host), Some(asked));
        let mut room = self.message_room(now);
        for want in &asked.wanted {
            self.answer_want(now, want, &mut answer, &mut room);
        }
        if let Some(theirs) = &asked.checksums {
            let differing = self.current_sums().differing(theirs);
            if !differing.is_empty() {
                let records = self.records(now, &differing, room);
                records.move_into(&mut answer);
            }
        }
        if let Some(pull) = asked.pull {
            let room = self.reserve.left(now).min(self.budget.catch_up_message.as_u64() as usize);
            let (records, next) = self.pulled(now, pull, room);
            self.reserve.spend(records.bytes());
            self.steady.give_back(records.bytes());
            records.move_into(&mut answer);
            answer.pull_next = Some(next);
        }
        self.complete(now, answer)
    }

    fn answer_want(&self, now: MonotonicTime, want: &Want, answer: &mut Gossip, room: &mut usize) {
        let Some(known) = self.endpoints.find_life(&want.life) else { return };
        let has_newer = want.sequence < known.announcement.sequence;
        if known.state == EndpointState::Expired || !has_newer {
            return;
        }
        let bytes = endpoint_bytes(&known.announcement);
        if *room < bytes {
            return;
        }
        *room -= bytes;
        let announcement = known.announcement.clone();
        answer.endpoints.push(EndpointUpdate { announcement, age: known.age(now) });
    }

    fn head(&mut self, host: Option<&HostId>, spoken: Option<&Gossip>) -> Gossip {
        self.peers.beat();
        let spoken = spoken.map(|message| &message.from);
        let doubt = host.and_then(|host| self.peers.doubt(host, spoken));
        Gossip {
            from: self.peers.me().clone(),
            newest: self.newest.clone(),
            endpoint_count: u32::try_from(self.endpoints.live_count()).unwrap_or(u32::MAX),
            peers: doubt.cloned().into_iter().collect(),
            endpoints: Vec::new(),
            renewals: Vec::new(),
            checksums: None,
            wanted: Vec::new(),
            probe: Vec::new(),
            pull: None,
            pull_next: None,
        }
    }

    /// Fills the rest of a message with news, and pays for all of it.
    fn complete(&mut self, now: MonotonicTime, mut message: Gossip) -> Gossip {
        let fixed = fixed_bytes(&message);
        let backlog = self.has_backlog();
        let steady_room = self.message_room(now).saturating_sub(fixed);
        let mut room = steady_room;
        if backlog && message.pull_next.is_none() {
            let most = self.budget.message.as_u64() as usize * 4;
            room = room.max(self.backlog_room(now).min(most).saturating_sub(fixed));
        }
        let from_reserve = steady_room < room;
        let before = room;
        self.add_news(now, &mut message, &mut room);
        let news = before - room;
        if from_reserve {
            self.reserve.spend(news);
            self.steady.spend(fixed);
        } else {
            self.steady.spend(fixed + news);
        }
        message
    }

    fn add_news(&mut self, now: MonotonicTime, message: &mut Gossip, room: &mut usize) {
        const COPIES_IN_BACKLOG: u32 = 4;
        let copies = self.copies_to_all();
        let join_copies = if self.has_backlog() { COPIES_IN_BACKLOG } else { copies };
        let endpoints = &self.endpoints;
        let update = |endpoint: &_| {
            let known = endpoints.find(endpoint)?;
            if known.state == EndpointState::Expired {
                return None;
            }
            let announcement = known.announcement.clone();
            let bytes = endpoint_bytes(&announcement);
            Some((EndpointUpdate { announcement, age: known.age(now) }, bytes))
        };
        message.endpoints.extend(self.queues.leaving.take(room, copies, update));
        let mut peer_news = std::mem::take(&mut self.peers.spread);
        message.peers.extend(peer_news.take(room, copies, |host| {
            let news = self.peers.news_of(host)?.clone();
            let bytes = peer_bytes(&news);
            Some((news, bytes))
        }));
        self.peers.spread = peer_news;
        message.endpoints.extend(self.queues.joined.take(room, join_copies, update));
        let with_load = self.budget.relays_load(self.endpoint_count());
        message.renewals.extend(self.queues.renewed.take(room, RENEWAL_COPIES, |life| {
            let renewal = renewal(endpoints, now, life, with_load)?;
            let bytes = renewal_bytes(&renewal);
            Some((renewal, bytes))
        }));
    }

    fn absorb(&mut self, now: MonotonicTime, message: Gossip, transit: Duration) {
        let from = message.from.host.clone();
        if from == self.peers.me().host {
            return;
        }
        let mut news = self.peers.heard(now, message.from);
        self.hear_rumour(&message.newest);
        self.hear_count(now, message.endpoint_count);
        let is_pulled = message.pull_next.is_some();
        for update in message.peers {
            let host = update.host.clone();
            let is_news = self.peers.merge(now, update, &from);
            if is_news && is_pulled {
                self.peers.spread.remove(&host);
            }
            news |= is_news;
        }
        if news {
            self.sums = None;
        }
        for update in message.endpoints {
            let endpoint = update.announcement.endpoint.clone();
            self.absorb_endpoint(now, update, transit, &from);
            if is_pulled {
                self.queues.joined.remove(&endpoint);
            }
        }
        for renewal in message.renewals {
            self.absorb_renewal(now, &renewal, transit, &from);
        }
        for subject in message.probe {
            self.vouch_later(subject, &from);
        }
    }

    fn absorb_endpoint(
        &mut self,
        now: MonotonicTime,
        update: EndpointUpdate,
        transit: Duration,
        from: &HostId,
    ) {
        let old = self.endpoints.find(&update.announcement.endpoint).cloned();
        let age = update.age.saturating_add(transit);
        let applied = self.endpoints.relayed(now, update.announcement, age, from.clone());
        let Ok(change) = applied else { return };
        self.relay(old.as_ref(), &change);
        self.changes.push(change);
    }

    fn absorb_renewal(
        &mut self,
        now: MonotonicTime,
        renewal: &Renewal,
        transit: Duration,
        from: &HostId,
    ) {
        let Some(old) = self.endpoints.find_life(&renewal.life).cloned() else {
            self.wanted.insert(renewal.life);
            while MAX_WANTED_KEPT < self.wanted.len() {
                self.wanted.pop_first();
            }
            return;
        };
        let renewed = RenewedLife {
            life: renewal.life,
            sequence: renewal.sequence,
            age: Duration::from_millis(renewal.age_millis.into()).saturating_add(transit),
            load: renewal.load,
            relayed_by: from.clone(),
        };
        let Some(Ok(change)) = self.endpoints.renew(now, &renewed) else { return };
        if old.state == EndpointState::Expired {
            self.sums = None;
        }
        self.relay(Some(&old), &change);
        self.changes.push(change);
    }

    fn vouch_later(&mut self, subject: HostId, asker: &HostId) {
        if subject == self.peers.me().host || self.peers.find(&subject).is_none() {
            return;
        }
        if MAX_VOUCHING <= self.vouching.len() && !self.vouching.contains_key(&subject) {
            return;
        }
        let askers = &mut self.vouching.entry(subject).or_default().askers;
        if askers.len() < MAX_VOUCHING && !askers.contains(asker) {
            askers.push(asker.clone());
        }
    }

    /// Tells those who asked that `host` answered.
    fn vouch(&mut self, now: MonotonicTime, host: &HostId) -> Vec<Outgoing> {
        let Some(vouching) = self.vouching.remove(host) else { return Vec::new() };
        let Some(news) = self.peers.news_of(host).cloned() else { return Vec::new() };
        let askers = vouching.askers.iter();
        askers
            .filter_map(|asker| self.send(now, asker, |message| message.peers.push(news.clone())))
            .collect()
    }

    fn message_room(&mut self, now: MonotonicTime) -> usize {
        self.steady.left(now).min(self.budget.message.as_u64() as usize)
    }

    /// Returns the part of the reserve that a backlog may use; the rest is kept for pulls.
    fn backlog_room(&mut self, now: MonotonicTime) -> usize {
        let kept = self.budget.reserve.as_u64() as usize / 2;
        self.reserve.left(now).saturating_sub(kept)
    }

    fn has_backlog(&self) -> bool {
        BACKLOG < self.queues.joined.len() + self.queues.leaving.len() + self.peers.spread.len()
    }

    fn current_sums(&mut self) -> &Sums {
        let peers = self.peers.iter().map(|peer| &peer.update).chain([self.peers.me()]);
        let endpoints = &self.endpoints;
        self.sums.get_or_insert_with(|| Sums::new(peers, endpoints.iter()))
    }
}

/// Number of unknown lives that are remembered to be asked for.
const MAX_WANTED_KEPT: usize = 256;

/// Bounds the encoded length of a message before news is added, in bytes.
fn fixed_bytes(message: &Gossip) -> usize {
    const SUM: usize = 5;
    const WANT: usize = IncarnationKey::BYTES + 10;
    let peers: usize = message.peers.iter().map(peer_bytes).sum();
    let endpoints: usize = message.endpoints.iter().map(|e| endpoint_bytes(&e.announcement)).sum();
    let sums = message.checksums.as_ref().map_or(0, |sums| sums.sums.len() * SUM + SUM);
    let probe: usize = message.probe.iter().map(|host| host.as_str().len() + 1).sum();
    head_bytes(&message.from, &message.newest)
        + peers
        + endpoints
        + sums
        + probe
        + message.wanted.len() * WANT
        + message.renewals.len() * LOAD_BYTES
}

fn renewal(
    endpoints: &Endpoints,
    now: MonotonicTime,
    life: &IncarnationKey,
    with_load: bool,
) -> Option<Renewal> {
    let known = endpoints.find_life(life).filter(|known| known.state == EndpointState::Ready)?;
    let age = known.age(now);
    let age_millis = u32::try_from(age.as_micros().div_ceil(1000)).ok()?;
    let load = known.load(now).map(|(load, _)| load).filter(|_| with_load);
    Some(Renewal { life: *life, sequence: known.announcement.sequence, age_millis, load })
}
