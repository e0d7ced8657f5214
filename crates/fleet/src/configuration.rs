//! The current declaration, its history, and the stored replies to past changes.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use base::{ChangeId, Digest, Hasher, Revision, UnixMillis};
use serde::{Deserialize, Serialize};

use crate::{
    codec::CodecError,
    command::ConfigChange,
    contents::Reason,
    declaration::Declaration,
    declaration_error::DeclarationError,
    reply::{ChangeRecord, ChangeReply},
};

/// Maximum number of changes in the history.
pub const MAX_HISTORY_ENTRIES: usize = 1_000;

/// Maximum number of change ids whose reply is stored.
pub const MAX_STORED_REPLIES: usize = 20_000;

/// How long the reply to a change id is stored, by the commands' timestamps.
pub const REPLY_RETENTION: Duration = Duration::from_secs(48 * 3600);

/// The current configuration and its history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    record: ConfigurationRecord,
    declaration: Arc<Declaration>,
}

/// The part of the configuration that is stored in snapshots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ConfigurationRecord {
    revision: Revision,
    text: Arc<str>,
    history: VecDeque<ChangeRecord>,
    replies: BTreeMap<ChangeId, StoredReply>,
    reply_order: VecDeque<ChangeId>,
    clock: UnixMillis,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredReply {
    content: Digest,
    reply: ChangeReply,
    at: UnixMillis,
}

impl Configuration {
    /// Returns the current revision.
    pub fn revision(&self) -> Revision {
        self.record.revision
    }

    /// Returns the current declaration.
    pub fn declaration(&self) -> &Arc<Declaration> {
        &self.declaration
    }

    /// Returns the text of the current declaration, as its author wrote it.
    pub fn text(&self) -> &Arc<str> {
        &self.record.text
    }

    /// Returns the latest changes, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &ChangeRecord> {
        self.record.history.iter()
    }

    /// Applies a change if it is based on the current revision; a resent one gets its first reply.
    pub(crate) fn apply(&mut self, change: &ConfigChange) -> ChangeReply {
        self.record.advance(change.at);
        let content = digest_content(change);
        if let Some(stored) = self.record.replies.get(&change.id) {
            if stored.content != content {
                return ChangeReply::IdReused;
            }
            return stored.reply.clone();
        }
        let reply = self.decide(change);
        self.record.store_reply(change.id.clone(), content, reply.clone());
        reply
    }

    pub(crate) fn record(&self) -> &ConfigurationRecord {
        &self.record
    }

    fn decide(&mut self, change: &ConfigChange) -> ChangeReply {
        if change.reason.parse::<Reason>().is_err() {
            return ChangeReply::InvalidReason;
        }
        if change.expected != self.record.revision {
            return self.record.conflict(change.expected);
        }
        match Declaration::from_toml(&change.declaration) {
            Err(e) => ChangeReply::Invalid(e),
            Ok(declaration) => {
                self.declaration = Arc::new(declaration);
                ChangeReply::Changed(self.record.accept(change))
            }
        }
    }
}

impl TryFrom<ConfigurationRecord> for Configuration {
    type Error = CodecError;

    fn try_from(record: ConfigurationRecord) -> Result<Self, CodecError> {
        let declaration: Result<_, DeclarationError> = Declaration::from_toml(&record.text);
        Ok(Self { declaration: Arc::new(declaration?), record })
    }
}

impl ConfigurationRecord {
    fn accept(&mut self, change: &ConfigChange) -> Revision {
        self.revision = self.revision.next();
        self.text = change.declaration.clone();
        self.history.push_back(ChangeRecord {
            revision: self.revision,
            id: change.id.clone(),
            author: change.author.clone(),
            reason: change.reason.clone(),
            at: change.at,
        });
        if MAX_HISTORY_ENTRIES < self.history.len() {
            self.history.pop_front();
        }
        self.revision
    }

    fn conflict(&self, expected: Revision) -> ChangeReply {
        let taken = expected.next();
        let winner = self.history.iter().find(|change| change.revision == taken);
        let winner = winner.or(self.history.back()).cloned();
        ChangeReply::Conflict { winner, current: self.revision }
    }

    fn store_reply(&mut self, id: ChangeId, content: Digest, reply: ChangeReply) {
        let stored = StoredReply { content, reply, at: self.clock };
        self.replies.insert(id.clone(), stored);
        self.reply_order.push_back(id);
        if MAX_STORED_REPLIES < self.reply_order.len() {
            self.remove_oldest();
        }
    }

    /// Advances the clock, never backwards, and removes expired replies.
    fn advance(&mut self, at: UnixMillis) {
        self.clock = self.clock.max(at);
        while self.oldest_has_expired() {
            self.remove_oldest();
        }
    }

    fn oldest_has_expired(&self) -> bool {
        let oldest = self.reply_order.front().and_then(|id| self.replies.get(id));
        oldest.is_some_and(|reply| REPLY_RETENTION <= self.clock.saturating_since(reply.at))
    }

    fn remove_oldest(&mut self) {
        if let Some(id) = self.reply_order.pop_front() {
            self.replies.remove(&id);
        }
    }
}

/// Returns a digest of everything that is the same in a resent change: all but its time.
fn digest_content(change: &ConfigChange) -> Digest {
    Hasher::default()
        .field(&change.expected.as_u64().to_le_bytes())
        .field(change.author.as_str().as_bytes())
        .field(change.reason.as_bytes())
        .field(change.declaration.as_bytes())
        .finish()
}
