use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::model::Generation;

use super::cache::Lookup;

/// Time for which a stream is retained after its reader disconnected or it ended.
const STREAM_RETENTION: Duration = Duration::from_secs(10);

/// Key of a stream; it includes the salt, so that only the same organisation can resume it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct StreamKey {
    pub request: String,
    pub salt: String,
}

/// The streams that an engine generates, or retains for a reader that reconnects.
///
/// A stream without a reader generates nothing.
#[derive(Default)]
pub(super) struct Streams(Mutex<StreamTable>);

#[derive(Default)]
struct StreamTable {
    last_reader: u64,
    streams: HashMap<StreamKey, Stream>,
}

struct Stream {
    reader: u64,
    prompt: Vec<u8>,
    lookup: Lookup,
    limit: usize,
    tokens: Vec<String>,
    /// The text of each requested choice.
    generations: Vec<Generation>,
    retained_until: Option<Instant>,
}

/// A reader of a stream; valid until another reader takes the stream over.
#[derive(Clone, Debug)]
pub(super) struct Reader {
    key: StreamKey,
    number: u64,
    /// The prompt's cache lookup.
    pub lookup: Lookup,
    /// Number of tokens to generate.
    pub limit: usize,
    /// Number of choices to generate.
    pub choices: usize,
}

/// Why a stream can't be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResumeError {
    /// It never existed here or is no longer retained.
    Gone,
    /// It continues another prompt.
    OtherPrompt,
}

impl Streams {
    /// Starts a stream of `choices` completions of `prompt`, of `limit` tokens in total.
    pub(super) fn begin(
        &self,
        key: StreamKey,
        prompt: &[u8],
        choices: u32,
        limit: usize,
        lookup: Lookup,
    ) -> Reader {
        let mut table = self.lock();
        table.last_reader += 1;
        let number = table.last_reader;
        let stream = Stream {
            reader: number,
            prompt: prompt.to_vec(),
            lookup,
            limit,
            tokens: Vec::new(),
            generations: (0..choices).map(|choice| generation(prompt, choice)).collect(),
            retained_until: None,
        };
        table.streams.insert(key.clone(), stream);
        Reader { key, number, lookup, limit, choices: choices as usize }
    }

    /// Takes over a stream whose prompt begins with `prompt`.
    pub(super) fn resume(&self, key: StreamKey, prompt: &[u8]) -> Result<Reader, ResumeError> {
        let mut table = self.lock();
        let now = Instant::now();
        table.streams.retain(|_, stream| stream.retained_until.is_none_or(|until| now < until));
        table.last_reader += 1;
        let number = table.last_reader;
        let stream = table.streams.get_mut(&key).ok_or(ResumeError::Gone)?;
        if !stream.prompt.starts_with(prompt) {
            return Err(ResumeError::OtherPrompt);
        }
        stream.reader = number;
        stream.retained_until = None;
        let Stream { lookup, limit, .. } = *stream;
        let choices = stream.generations.len();
        Ok(Reader { key, number, lookup, limit, choices })
    }

    /// Returns whether the stream still belongs to this reader.
    pub(super) fn is_current(&self, reader: &Reader) -> bool {
        self.lock().streams.get(&reader.key).is_some_and(|stream| stream.reader == reader.number)
    }

    /// Returns token `i` if it has been generated.
    pub(super) fn generated(&self, reader: &Reader, i: usize) -> Option<String> {
        self.lock().streams.get(&reader.key)?.tokens.get(i).cloned()
    }

    /// Generates tokens up to token `i` and returns how many were new, unless another reader has
    /// taken over the stream.
    pub(super) fn generate(&self, reader: &Reader, i: usize) -> u64 {
        let mut table = self.lock();
        let Some(stream) = table.streams.get_mut(&reader.key) else { return 0 };
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

    /// Starts the stream's retention time, unless another reader has taken it over.
    pub(super) fn end(&self, reader: &Reader) {
        let mut table = self.lock();
        if let Some(stream) = table.streams.get_mut(&reader.key)
            && stream.reader == reader.number
        {
            stream.retained_until = Some(Instant::now() + STREAM_RETENTION);
        }
    }

    fn lock(&self) -> MutexGuard<'_, StreamTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the text of a choice; its number makes each but the first different.
fn generation(prompt: &[u8], choice: u32) -> Generation {
    if choice == 0 {
        return Generation::after(prompt);
    }
    Generation::after(&[prompt, &choice.to_le_bytes()].concat())
}
