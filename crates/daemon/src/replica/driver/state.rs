//! The replicated state: commands that are applied, snapshots, and what other threads get of it.

use std::sync::Arc;

use base::LogIndex;
use fleet::{Command, Departure, Fleet};
use member::IncarnationKey;
use quorum::{Entry, Input, Payload, Snapshot};
use wire::leader::LeaderResponse;

use crate::{configurations::Configuration, roster::RosterInput};

use super::Driver;

/// Applied entries after which a snapshot replaces the log.
const SNAPSHOT_AFTER_ENTRIES: u64 = 4096;

/// Bytes of applied commands after which a snapshot replaces the log.
const SNAPSHOT_AFTER_BYTES: usize = 4 << 20;

impl Driver {
    pub(super) fn restore(&mut self, snapshot: &Snapshot) {
        match Fleet::from_snapshot(&snapshot.data) {
            Ok(fleet) => {
                self.fleet = fleet;
                self.snapshot_at = snapshot.last_index;
                self.pending.replaced_through(snapshot.last_index);
                self.publish_fleet();
            }
            Err(e) => {
                log::error!("invalid snapshot from leader: error={e}");
                self.failure = Some(e.to_string());
            }
        }
    }

    pub(super) fn apply(&mut self, entry: Entry) {
        let pending = self.pending.committed(entry.index, entry.term);
        let response = match &entry.payload {
            Payload::Empty => {
                self.fleet.skip(entry.index);
                return;
            }
            Payload::Voters(voters) => {
                self.fleet.skip(entry.index);
                LeaderResponse::Voters(voters.clone())
            }
            Payload::Command(command) => self.apply_command(entry.index, command),
        };
        if let Some(reply) = pending {
            reply.respond(&response);
        }
    }

    fn apply_command(&mut self, index: LogIndex, command: &[u8]) -> LeaderResponse {
        self.applied_bytes += command.len();
        match Command::from_bytes(command) {
            Ok(command) => {
                let reply = self.fleet.apply(index, &command);
                if matches!(command, Command::Change(_)) {
                    self.publish_configuration();
                }
                if let Command::Depart(departure) = &command {
                    log::info!(endpoint:% = departure.endpoint,
                        incarnation:% = departure.incarnation, index:%;
                        "departure of an endpoint committed");
                    self.record_departure(departure);
                }
                if matches!(command, Command::Publish(_) | Command::SetDesiredWeights(_)) {
                    self.followers.record_change();
                    self.record_desired_weights();
                }
                LeaderResponse::Reply(reply)
            }
            Err(e) => {
                self.fleet.skip(index);
                LeaderResponse::Refused(e.to_string())
            }
        }
    }

    /// Passes on all that this host's other threads need of the replicated state.
    pub(super) fn publish_fleet(&mut self) {
        self.publish_configuration();
        self.record_desired_weights();
        let departures = Arc::clone(self.fleet.departures());
        let recent = departures.recent(self.clock.wall());
        recent.for_each(|departure| self.record_departure(&departure));
    }

    /// Tells the followers and this host's roster that an endpoint leaves.
    fn record_departure(&mut self, departure: &Departure) {
        let Departure { endpoint, incarnation, .. } = departure;
        let key = IncarnationKey::new(endpoint, *incarnation);
        self.followers.record_leaving(self.clock.now(), &[key]);
        let departed =
            RosterInput::Departed { endpoint: endpoint.clone(), incarnation: *incarnation };
        if self.channels.roster.try_send(departed).is_err() {
            log::warn!(endpoint:%; "departure not passed on to the roster, its channel is full");
        }
    }

    fn record_desired_weights(&mut self) {
        self.followers.record_desired_weights(self.clock.now(), self.fleet.published());
    }

    fn publish_configuration(&self) {
        let configuration = self.fleet.configuration();
        let Some(last) = configuration.history().next_back() else { return };
        self.channels.configurations.apply_if_newer(Configuration {
            revision: configuration.revision(),
            declaration: configuration.text().clone(),
            author: last.author.clone(),
            reason: last.reason.clone(),
            change: last.id.clone(),
            at: last.at,
        });
    }

    pub(super) fn compact(&mut self) {
        let applied = self.fleet.applied();
        let since = applied.as_u64().saturating_sub(self.snapshot_at.as_u64());
        let is_below_limits =
            since < SNAPSHOT_AFTER_ENTRIES && self.applied_bytes < SNAPSHOT_AFTER_BYTES;
        if is_below_limits || self.failure.is_some() {
            return;
        }
        self.snapshot_at = applied;
        self.applied_bytes = 0;
        let data = self.fleet.to_snapshot().into();
        self.step(Input::Snapshot { through: applied, data });
        self.execute_actions();
    }
}
