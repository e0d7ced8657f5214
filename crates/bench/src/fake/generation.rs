//! Generation and sending of a fake engine's token streams.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::{Value, json};
use wire::{chunk::DONE_MARKER, sse::Event};

use super::{engine::State, job::Job, streams::Reader};

/// Type of the event sent to a reader when another reader has taken over its stream.
const TAKEN_OVER_EVENT: &str = "taken-over";

/// Generates a stream once a slot is free and the prompt is prefilled.
pub(super) async fn generate(state: Arc<State>, job: Job, tx: flume::Sender<Bytes>) {
    state.lock().waiting += 1;
    let slot = state.slots.acquire().await;
    state.lock().waiting -= 1;
    state.import(&job).await;
    let (lookup, prefill_end) = state.begin_prefill(&job);
    tokio::time::sleep_until(prefill_end.into()).await;
    {
        let mut inner = state.lock();
        inner.prefill_tokens -= lookup.prompt_tokens - lookup.cached_tokens;
        inner.running += 1;
    }
    let limit = usize::try_from(job.max_tokens).unwrap_or(usize::MAX);
    let limit = limit.saturating_mul(job.choices as usize);
    let reader = state.streams.begin(job.key(), &job.prompt, job.choices, limit, lookup);
    run_stream(&state, &job, &reader, 0, &tx).await;
    drop(slot);
}

/// Sends the tokens after the first `after` ones of a stream that is still retained.
pub(super) async fn resume(
    state: Arc<State>,
    job: Job,
    reader: Reader,
    after: usize,
    tx: flume::Sender<Bytes>,
) {
    {
        let mut inner = state.lock();
        inner.counts.resumed += 1;
        inner.running += 1;
    }
    run_stream(&state, &job, &reader, after, &tx).await;
}

async fn run_stream(
    state: &State,
    job: &Job,
    reader: &Reader,
    after: usize,
    tx: &flume::Sender<Bytes>,
) {
    let completed = stream_tokens(state, job, reader, after, tx).await;
    state.streams.end(reader);
    let mut inner = state.lock();
    inner.running -= 1;
    if completed.is_none() {
        inner.counts.cancelled += 1;
    }
}

/// Sends the tokens; returns `None` if the reader disconnected or was replaced.
async fn stream_tokens(
    state: &State,
    job: &Job,
    reader: &Reader,
    after: usize,
    tx: &flume::Sender<Bytes>,
) -> Option<()> {
    for i in after..reader.limit {
        if tx.is_disconnected() {
            return None;
        }
        if state.streams.generated(reader, i).is_none() {
            decode(state, reader, i).await;
        }
        if !state.streams.is_current(reader) {
            let taken_over = Event { kind: Some(TAKEN_OVER_EVENT.into()), ..Event::data("{}") };
            let _ = tx.try_send(taken_over.to_text().into());
            return None;
        }
        let token = state.streams.generated(reader, i)?;
        if i == 0 {
            record_first_token(state, job);
        }
        if state.cfg.sends_mismatched_chunks {
            let mismatched = chunk("another-request", job.chat, 0, "stray");
            tx.send_async(Event::data(mismatched.to_string()).to_text().into()).await.ok()?;
        }
        let choice = i % reader.choices;
        let mut event = Event::data(chunk(&job.request, job.chat, choice, &token).to_string());
        event.id = Some((i + 1).to_string());
        tx.send_async(event.to_text().into()).await.ok()?;
    }
    let last = last_chunk(job, reader);
    tx.send_async(Event::data(last.to_string()).to_text().into()).await.ok()?;
    tx.send_async(Event::data(DONE_MARKER).to_text().into()).await.ok()
}

/// Generates the token at `i` after the decode delay.
async fn decode(state: &State, reader: &Reader, i: usize) {
    let delay = state.decode_delay();
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let generated = state.streams.generate(reader, i);
    state.lock().counts.generated += generated;
}

fn record_first_token(state: &State, job: &Job) {
    let time_to_first_token = job.arrived_at.elapsed();
    state.tally.lock().first_tokens.entry(job.request.clone()).or_insert(time_to_first_token);
}

fn chunk(request: &str, chat: bool, index: usize, token: &str) -> Value {
    if chat {
        let choice = json!({"index": index, "delta": {"content": token}, "finish_reason": null});
        return json!({"id": format!("chatcmpl-{request}"), "choices": [choice]});
    }
    let choice = json!({"index": index, "text": token, "finish_reason": null});
    json!({"id": format!("cmpl-{request}"), "choices": [choice]})
}

/// Returns the chunk that ends all choices and reports the usage.
fn last_chunk(job: &Job, reader: &Reader) -> Value {
    let lookup = reader.lookup;
    let usage = json!({
        "prompt_tokens": lookup.prompt_tokens,
        "completion_tokens": reader.limit,
        "prompt_tokens_details": {"cached_tokens": lookup.cached_tokens},
    });
    let choices: Vec<_> =
        (0..job.choices).map(|index| json!({"index": index, "finish_reason": "length"})).collect();
    json!({"id": job.request, "choices": choices, "usage": usage})
}
