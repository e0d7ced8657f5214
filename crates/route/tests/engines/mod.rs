//! A queue model of engines that prefill urgent prompts first.

use std::time::Duration;

use base::{TokenCount, TokenRate};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use route::{EngineSpeed, Headroom, InFlightLoad, LoadByUrgency, Urgency};

const ENGINES: usize = 8;
const SLOTS: u32 = 12;
const CHUNK: f64 = 4_096.0;
const PREFILL_TOKENS_PER_MS: f64 = 81.9;
const CACHED_TTFT: Duration = Duration::from_millis(20);

/// Length of the modelled time, in ms.
const LENGTH: u64 = 64_000;

/// A burst begins each period and takes a quarter of it, in ms.
const BURST_PERIOD: u64 = 16_000;

/// Requests that arrive at all engines together.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Chats per second and engine.
    pub chats: f64,
    /// Long prompts per second and engine, outside bursts.
    pub long: f64,
    /// Factor of long prompts in a burst.
    pub burst: f64,
    pub chat_urgency: Urgency,
    /// Time for which a long prompt keeps its slot after its first token, in ms.
    pub long_decode: f64,
}

impl Load {
    /// Bursts that exceed the engines' prefill rate.
    pub fn long_bursts() -> Self {
        Self {
            chats: 3.0,
            long: 4.5,
            burst: 2.4,
            chat_urgency: Urgency::Urgent,
            long_decode: 300.0,
        }
    }
}

/// How requests are admitted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Admission {
    /// Whether the wait of urgent requests counts urgent work only.
    pub by_urgency: bool,
    /// Slots that only urgent requests may take.
    pub reserved: u32,
}

/// Requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub arrived: u32,
    pub in_time: u32,
}

impl Counts {
    /// Returns the share of requests whose first token came in time.
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    pub chats: Counts,
    pub long: Counts,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    is_chat: bool,
    urgency: Urgency,
    /// Prompt tokens.
    tokens: f64,
    /// Prompt tokens left to prefill.
    left: f64,
    arrived: f64,
    objective: Duration,
    decode: f64,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    /// Jobs that wait for prefill or are in it, in order of arrival.
    waiting: Vec<Job>,
    /// When each decoding job ends, in ms.
    decoding: Vec<f64>,
    /// When the present chunk ends, with the position of its job.
    chunk: Option<(f64, usize)>,
}

impl Engine {
    fn load(&self) -> LoadByUrgency {
        // Routers count a prompt in full until its first token.
        let urgent = |job: &&Job| job.urgency == Urgency::Urgent;
        let requests = (self.waiting.len() + self.decoding.len()) as u32;
        let prefill_tokens = prompt_tokens(self.waiting.iter());
        let urgent_prefill_tokens = prompt_tokens(self.waiting.iter().filter(urgent));
        let total = InFlightLoad { requests, prefill_tokens };
        LoadByUrgency { total, urgent_prefill_tokens }
    }

    /// Advances to `now` and counts the first tokens that came in time.
    fn advance(&mut self, now: f64, served: &mut Served) {
        self.decoding.retain(|end| now < *end);
        loop {
            let (end, job) = match self.chunk {
                None => {
                    let Some(next) = self.next_job() else { return };
                    let chunk = self.waiting[next].left.min(CHUNK);
                    self.chunk = Some((now + chunk / PREFILL_TOKENS_PER_MS, next));
                    return;
                }
                Some(chunk) => chunk,
            };
            if now < end {
                return;
            }
            self.chunk = None;
            self.waiting[job].left -= self.waiting[job].left.min(CHUNK);
            if self.waiting[job].left == 0.0 {
                let done = self.waiting.remove(job);
                self.decoding.push(end + done.decode);
                let ttft = end - done.arrived + CACHED_TTFT.as_millis() as f64;
                let counts = if done.is_chat { &mut served.chats } else { &mut served.long };
                counts.in_time += u32::from(ttft <= done.objective.as_millis() as f64);
            }
        }
    }

    fn next_job(&self) -> Option<usize> {
        (0..self.waiting.len()).min_by_key(|&i| self.waiting[i].urgency == Urgency::Normal)
    }
}

/// Serves a load, in steps of 1 ms; each request goes to the least loaded engine with headroom.
pub fn serve(load: Load, admission: Admission) -> Served {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut engines = vec![Engine::default(); ENGINES];
    let mut served = Served::default();
    for now in 0..LENGTH {
        for engine in &mut engines {
            engine.advance(now as f64, &mut served);
        }
        let is_burst = now % BURST_PERIOD < BURST_PERIOD / 4;
        let long = if is_burst { load.long * load.burst } else { load.long };
        for (is_chat, rate) in [(true, load.chats), (false, long)] {
            if rng.random_range(0.0..1.0) < rate * ENGINES as f64 / 1_000.0 {
                let job = job(is_chat, now as f64, load);
                let counts = if is_chat { &mut served.chats } else { &mut served.long };
                counts.arrived += 1;
                admit(&mut engines, admission, job);
            }
        }
    }
    served
}

fn job(is_chat: bool, now: f64, load: Load) -> Job {
    let (urgency, tokens, objective, decode) = match is_chat {
        true => (load.chat_urgency, 830.0, 400, 400.0),
        false => (Urgency::Normal, 9_200.0, 1_000, load.long_decode),
    };
    let objective = Duration::from_millis(objective);
    Job { is_chat, urgency, tokens, left: tokens, arrived: now, objective, decode }
}

/// Adds a job to the least loaded engine with headroom, if any has some.
fn admit(engines: &mut [Engine], admission: Admission, job: Job) {
    let speed = EngineSpeed {
        prefill_rate: TokenRate::new((PREFILL_TOKENS_PER_MS * 1_000.0) as u64),
        cached_ttft: CACHED_TTFT,
        max_streams: match job.urgency {
            Urgency::Urgent => SLOTS,
            Urgency::Normal => SLOTS - admission.reserved,
        },
    };
    let urgency = if admission.by_urgency { job.urgency } else { Urgency::Normal };
    let ahead = |engine: &Engine| engine.load().ahead_of(urgency);
    let tokens = TokenCount::new(job.tokens as u64);
    let chosen = engines
        .iter_mut()
        .filter(|engine| speed.headroom(ahead(engine), tokens, job.objective) == Headroom::Enough)
        .min_by_key(|engine| (ahead(engine).prefill_tokens, ahead(engine).requests));
    if let Some(engine) = chosen {
        engine.waiting.push(job);
    }
}

fn prompt_tokens<'a>(jobs: impl Iterator<Item = &'a Job>) -> TokenCount {
    TokenCount::new(jobs.map(|job| job.tokens as u64).sum())
}
