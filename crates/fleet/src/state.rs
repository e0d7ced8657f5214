//! The whole replicated state and its snapshots.

use std::sync::Arc;

use base::{LogIndex, OrganisationId, Revision, UnixMillis};
use serde::{Deserialize, Serialize};

use crate::{
    CallKey, Claim, Command, Departures, Published, Reply, Scope, Settings,
    codec::{self, CodecError},
    configuration::{Configuration, ConfigurationRecord},
    ledger::{Ledger, SettingsSource},
};

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    applied: LogIndex,
    configuration: Configuration,
    ledger: Ledger,
    published: Arc<Published>,
    departures: Arc<Departures>,
}

impl Fleet {
    /// Applies the command at `index`.
    ///
    /// An index at or below the last applied one is ignored.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> Reply {
        if index <= self.applied {
            return Reply::AlreadyApplied;
        }
        self.applied = index;
        match command {
            Command::Change(change) => Reply::Change(self.configuration.apply(change)),
            Command::Claim(claim) => Reply::Claim(self.claim(claim)),
            Command::Finish(finish) => {
                let settings = self.advance(finish.at, &finish.call);
                Reply::Finish(self.ledger.finish(finish, &settings))
            }
            Command::Release(release) => {
                self.advance(release.at, &release.call);
                Reply::Release(self.ledger.release(release))
            }
            Command::Resolve(resolve) => {
                self.advance(resolve.at, &resolve.call);
                Reply::Resolve(self.ledger.resolve(resolve))
            }
            Command::OwnerGone(gone) => {
                self.ledger.advance(gone.at, None, &self.configuration);
                Reply::OwnerGone(self.ledger.owner_gone(gone))
            }
            Command::Publish(publication) => {
                Reply::Publish(Arc::make_mut(&mut self.published).publish(publication))
            }
            Command::SetDesiredWeights(desired) => {
                Reply::Weights(Arc::make_mut(&mut self.published).set_desired_weights(desired))
            }
            Command::Depart(departure) => {
                Arc::make_mut(&mut self.departures).record(departure);
                Reply::Departed
            }
        }
    }

    /// Skips a log entry without a command, such as the first entry of a new leader.
    pub fn skip(&mut self, index: LogIndex) {
        self.applied = self.applied.max(index);
    }

    /// Returns the last applied index.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the revision of the current configuration.
    pub fn revision(&self) -> Revision {
        self.configuration.revision()
    }

    /// Returns the current configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the ledger of non-idempotent calls.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the current numbered configuration and the desired weights.
    pub fn published(&self) -> &Arc<Published> {
        &self.published
    }

    /// Returns the endpoints that leave.
    pub fn departures(&self) -> &Arc<Departures> {
        &self.departures
    }

    /// Returns whether no command has changed the state yet.
    pub fn is_pristine(&self) -> bool {
        *self == Self { applied: self.applied, ..Self::default() }
    }

    /// Encodes the whole state as a snapshot.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let mut bytes = codec::encode(&SnapshotRef {
            applied: self.applied,
            configuration: self.configuration.record(),
            ledger: &self.ledger,
        });
        bytes.extend(codec::encode(&*self.published));
        // Earlier versions can't read a snapshot that has more than this.
        if !self.departures.is_empty() {
            bytes.extend(codec::encode(&*self.departures));
        }
        bytes
    }

    /// Decodes the whole state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes have an unknown format version or are damaged.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, CodecError> {
        let (snapshot, left): (Snapshot, _) = codec::decode_first(bytes)?;
        // Snapshots of earlier versions end here, or after the next part.
        let (published, left) = match left {
            [] => (Published::default(), left),
            left => codec::decode_first(left)?,
        };
        let departures = if left.is_empty() { Departures::default() } else { codec::decode(left)? };
        if !snapshot.ledger.is_consistent() {
            return Err(CodecError::inconsistent());
        }
        Ok(Self {
            applied: snapshot.applied,
            configuration: snapshot.configuration.try_into()?,
            ledger: snapshot.ledger,
            published: Arc::new(published),
            departures: Arc::new(departures),
        })
    }

    fn claim(&mut self, claim: &Claim) -> crate::ClaimReply {
        let settings = self.advance(claim.at, &claim.call);
        self.ledger.claim(claim, &settings)
    }

    fn advance(&mut self, at: UnixMillis, call: &CallKey) -> Settings {
        self.ledger.advance(at, Some(&call.organisation), &self.configuration);
        self.configuration.settings_for(&call.organisation, self.ledger.clock())
    }
}

impl SettingsSource for Configuration {
    fn settings_for(&self, organisation: &OrganisationId, now: UnixMillis) -> Settings {
        self.declaration().effective(&Scope::organisation(organisation.clone()), now)
    }
}

#[derive(Serialize)]
struct SnapshotRef<'a> {
    applied: LogIndex,
    configuration: &'a ConfigurationRecord,
    ledger: &'a Ledger,
}

#[derive(Deserialize)]
struct Snapshot {
    applied: LogIndex,
    configuration: ConfigurationRecord,
    ledger: Ledger,
}
