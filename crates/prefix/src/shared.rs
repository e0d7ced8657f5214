use std::collections::VecDeque;

use base::HostId;
use serde::{Deserialize, Serialize};

use crate::PartChain;

/// A prompt that a router has sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentPrompt {
    /// The engine, by the short name under which routers report on it.
    pub engine: u32,
    /// The version of the weights that read it.
    pub weights: u32,
    /// The prompt.
    pub chain: PartChain,
    /// Whether the engine was told to save what it reads to the store.
    pub saved: bool,
}

/// The latest prompts that the routers of a site have sent, to be told to all of them.
///
/// So each router knows where a prompt is warm although it sees only its own part of the requests.
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
    /// Creates a log that keeps `capacity` entries; the oldest go first.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, next: 0, entries: VecDeque::new() }
    }

    /// Adds what a router has sent.
    pub fn extend(&mut self, from: &HostId, sent: Vec<SentPrompt>) {
        for sent in sent {
            self.entries.push_back(Entry { number: self.next, from: from.clone(), sent });
            self.next += 1;
        }
        let excess = self.entries.len().saturating_sub(self.capacity);
        self.entries.drain(..excess);
    }

    /// Returns what others than `host` have sent from number `first` on.
    pub fn since<'a>(
        &'a self,
        first: u64,
        host: &'a HostId,
    ) -> impl Iterator<Item = &'a SentPrompt> {
        let news = self.entries.iter().filter(move |entry| first <= entry.number);
        news.filter(move |entry| entry.from != *host).map(|entry| &entry.sent)
    }

    /// Returns the number of the next entry.
    pub fn next(&self) -> u64 {
        self.next
    }
}

/// Prompts that this router has sent and not told yet.
#[derive(Clone, Debug, Default)]
pub struct UnreportedPrompts {
    sent: Vec<SentPrompt>,
}

/// Most prompts that are kept to be told; a router that can't tell them drops the oldest.
const MAX_UNTOLD: usize = 512;

impl UnreportedPrompts {
    /// Notes a prompt.
    pub fn push(&mut self, sent: SentPrompt) {
        if MAX_UNTOLD <= self.sent.len() {
            self.sent.remove(0);
        }
        self.sent.push(sent);
    }

    /// Takes all that is to be told.
    pub fn take(&mut self) -> Vec<SentPrompt> {
        std::mem::take(&mut self.sent)
    }

    /// Takes back what could not be told.
    pub fn restore(&mut self, mut sent: Vec<SentPrompt>) {
        sent.append(&mut self.sent);
        let excess = sent.len().saturating_sub(MAX_UNTOLD);
        self.sent = sent.split_off(excess);
    }
}
