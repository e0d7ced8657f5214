use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::model::Generation;

use super::cache::Lookup;

/// Time that a stream is held after its reader has gone or it has ended.
const HOLD: Duration = Duration::from_secs(10);

/// What names a stream: only who shows the same salt may resume it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct StreamKey {
    pub request: String,
    pub salt: String,
}

/// The streams that an engine generates, or holds for a reader that comes back.
///
/// A stream without a reader generates nothing.
#[derive(Default)]
pub(super) struct Streams(Mutex<Held>);

#[derive(Default)]
struct Held {
    last_reader: u64,
    streams: HashMap<StreamKey, Stream>,
}

struct Stream {
    reader: u64,
    prompt: Vec<u8>,
    lookup: Lookup,
    limit: usize,
    tokens: Vec<String>,
    /// The text of each answer asked for.
    generations: Vec<Generation>,
    held_until: Option<Instant>,
}

/// The right to read a stream, until another reader takes it over.
#[derive(Clone, Debug)]
pub(super) struct Reader {
    key: StreamKey,
    number: u64,
    /// What the prompt found in the cache.
    pub lookup: Lookup,
    /// Tokens to generate.
    pub limit: usize,
    /// Answers to generate.
    pub choices: usize,
}

/// Why a stream can't be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotHeld {
    /// It was never here, or was dropped.
    Gone,
    /// It follows another prompt.
    OtherPrompt,
}

impl Streams {
    /// Begins a stream of `choices` answers to `prompt`, of `limit` tokens together.
    pub(super) fn begin(
        &self,
        key: StreamKey,
        prompt: &[u8],
        choices: u32,
        limit: usize,
        lookup: Lookup,
    ) -> Reader {
        let mut held = self.lock();
        held.last_reader += 1;
        let number = held.last_reader;
        let stream = Stream {
            reader: number,
            prompt: prompt.to_vec(),
            lookup,
            limit,
            tokens: Vec::new(),
            generations: (0..choices).map(|choice| generation(prompt, choice)).collect(),
            held_until: None,
        };
        held.streams.insert(key.clone(), stream);
        Reader { key, number, lookup, limit, choices: choices as usize }
    }

    /// Takes over a stream whose prompt begins with `prompt`.
    pub(super) fn resume(&self, key: StreamKey, prompt: &[u8]) -> Result<Reader, NotHeld> {
        let mut held = self.lock();
        let now = Instant::now();
        held.streams.retain(|_, stream| stream.held_until.is_none_or(|until| now < until));
        held.last_reader += 1;
        let number = held.last_reader;
        let stream = held.streams.get_mut(&key).ok_or(NotHeld::Gone)?;
        if !stream.prompt.starts_with(prompt) {
            return Err(NotHeld::OtherPrompt);
        }
        stream.reader = number;
        stream.held_until = None;
        let Stream { lookup, limit, .. } = *stream;
        let choices = stream.generations.len();
        Ok(Reader { key, number, lookup, limit, choices })
    }

    /// Returns whether no other reader has taken the stream over.
    pub(super) fn is_current(&self, reader: &Reader) -> bool {
        self.lock().streams.get(&reader.key).is_some_and(|stream| stream.reader == reader.number)
    }

    /// Returns token `i` if it has been generated.
    pub(super) fn generated(&self, reader: &Reader, i: usize) -> Option<String> {
        self.lock().streams.get(&reader.key)?.tokens.get(i).cloned()
    }

    /// Generates tokens up to token `i` and returns how many that took, unless another reader has
    /// the stream.
    pub(super) fn generate(&self, reader: &Reader, i: usize) -> u64 {
        let mut held = self.lock();
        let Some(stream) = held.streams.get_mut(&reader.key) else { return 0 };
        if stream.reader != reader.number {
            return 0;
        }
        let before = stream.tokens.len();
        while stream.tokens.len() <= i {
            let choice = stream.tokens.len() % stream.generations.len();
            let token = stream.generations[choice].next().unwrap_or_default();
            stream.tokens.push(token);
        }
        (stream.tokens.len() - before) as u64
    }

    /// Holds the stream for a while, unless another reader has it.
    pub(super) fn end(&self, reader: &Reader) {
        let mut held = self.lock();
        if let Some(stream) = held.streams.get_mut(&reader.key)
            && stream.reader == reader.number
        {
            stream.held_until = Some(Instant::now() + HOLD);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the text of an answer; each but the first is made different by its number.
fn generation(prompt: &[u8], choice: u32) -> Generation {
    if choice == 0 {
        return Generation::after(prompt);
    }
    Generation::after(&[prompt, &choice.to_le_bytes()].concat())
}
