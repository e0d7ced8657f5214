use std::collections::VecDeque;

use base::HostId;
use serde::{Deserialize, Serialize};

use crate::PartChain;

/// A prompt that a router sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentPrompt {
    /// The engine, by the short key that load reports use.
    pub engine: u32,
    /// The version of the weights that processed it.
    pub weights: u32,
    /// The prompt.
    pub chain: PartChain,
    /// Whether the engine was asked to save the prompt's blocks to the KV store.
    pub saved: bool,
}

/// The latest prompts that the routers of a site have sent, for distribution to all of them.
///
/// It lets each router find the engines where a prompt is warm although it handles only a part of
/// the requests.
#[derive(Clone, Debug)]
pub struct SentPromptLog {
    capacity: usize,
    next: u64,
    entries: VecDeque<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    number: u64,
    from: HostId,
    sent: SentPrompt,
}

impl SentPromptLog {
    /// Creates a log that keeps the latest `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, next: 0, entries: VecDeque::new() }
    }

    /// Appends prompts that the router `from` sent.
    pub fn extend(&mut self, from: &HostId, sent: Vec<SentPrompt>) {
        for sent in sent {
            self.entries.push_back(Entry { number: self.next, from: from.clone(), sent });
            self.next += 1;
        }
        let excess = self.entries.len().saturating_sub(self.capacity);
        self.entries.drain(..excess);
    }

    /// Returns the prompts that routers other than `host` sent, from entry number `first` on.
    pub fn since<'a>(
        &'a self,
        first: u64,
        host: &'a HostId,
    ) -> impl Iterator<Item = &'a SentPrompt> {
        let unread = self.entries.iter().filter(move |entry| first <= entry.number);
        unread.filter(move |entry| entry.from != *host).map(|entry| &entry.sent)
    }

    /// Returns the number of the next entry.
    pub fn next(&self) -> u64 {
        self.next
    }
}

/// Prompts that this router has sent and not reported yet.
#[derive(Clone, Debug, Default)]
pub struct UnreportedPrompts {
    sent: Vec<SentPrompt>,
}

/// Maximum number of prompts kept for the next report; if none can be sent, the oldest are
/// dropped.
const MAX_UNREPORTED_PROMPTS: usize = 512;

impl UnreportedPrompts {
    /// Adds a prompt to the next report.
    pub fn push(&mut self, sent: SentPrompt) {
        if MAX_UNREPORTED_PROMPTS <= self.sent.len() {
            self.sent.remove(0);
        }
        self.sent.push(sent);
    }

    /// Removes and returns all unreported prompts.
    pub fn take(&mut self) -> Vec<SentPrompt> {
        std::mem::take(&mut self.sent)
    }

    /// Puts back prompts whose report could not be sent, before those added since.
    pub fn restore(&mut self, mut sent: Vec<SentPrompt>) {
        sent.append(&mut self.sent);
        let excess = sent.len().saturating_sub(MAX_UNREPORTED_PROMPTS);
        self.sent = sent.split_off(excess);
    }
}
