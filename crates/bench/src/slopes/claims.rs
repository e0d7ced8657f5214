//! Calls that may not be repeated: two commits each, the claim and the outcome.

use std::{
    hint::black_box,
    ops::RangeInclusive,
    time::{Duration, Instant},
};

use base::{Digest, Incarnation, LogIndex, UnixMillis};
use fleet::{
    CallKey, Claim, ClaimId, ClaimReply, Command, Finish, FinishReply, Fleet, Outcome, Owner,
    Reply, StoredResponse,
};
use wire::leader::{LeaderRequest, LeaderResponse};

use crate::usage::thread_cpu;

use super::{Slope, voters::Voters};

const BATCHES: [usize; 5] = [1, 8, 32, 64, 128];
const KEPT: [usize; 5] = [1_024, 8_192, 16_384, 32_768, 65_536];
const VOTERS: [usize; 4] = [3, 5, 7, 9];

/// Voters of the measurements by batch.
const QUORUM: usize = 5;

/// Calls of each measurement, about.
const CALLS: usize = 4_096;

/// Batches of each measurement.
const ROUNDS: RangeInclusive<usize> = 32..=256;

/// Organisations that the calls belong to.
const ORGANISATIONS: u64 = 3_100;

/// Bytes of an answer kept.
const ANSWER_BYTES: usize = 200;

/// Virtual time of the measurement of heartbeats.
const HEARTBEATS: Duration = Duration::from_secs(10);

const KIB: f64 = 1_024.0;

/// What one size of batch showed, a batch.
struct Batch {
    wire_bytes: f64,
    disk_bytes: f64,
    cpu_millis: f64,
    leader_millis: f64,
    wall_millis: f64,
}

/// Measures batches, snapshots and heartbeats.
pub(super) fn slopes() -> eyre::Result<Vec<Slope>> {
    let batches = BATCHES.map(|calls| measure(calls).map(|batch| (calls, batch)));
    let batches = batches.into_iter().collect::<eyre::Result<Vec<_>>>()?;
    let fit = |name, unit_y, y: fn(&Batch) -> f64| {
        let points = batches.iter().map(|(calls, batch)| [*calls as f64, y(batch)]).collect();
        Slope::fit(name, "calls a batch", unit_y, points)
    };
    let mut slopes = vec![
        fit("claims/messages of 5 voters", "bytes a batch", |batch| batch.wire_bytes),
        fit("claims/disk of one voter", "bytes a batch", |batch| batch.disk_bytes),
        fit("claims/processor time of 5 voters", "ms a batch", |batch| batch.cpu_millis),
        fit("claims/time of the leader without syncs", "ms a batch", |batch| batch.leader_millis),
        fit("claims/time of two commits with 5 syncs each in turn", "ms a batch", |batch| {
            batch.wall_millis
        }),
        submitted(),
    ];
    slopes.extend(snapshots());
    slopes.push(heartbeats()?);
    Ok(slopes)
}

fn measure(calls: usize) -> eyre::Result<Batch> {
    let mut voters = Voters::led(QUORUM)?;
    let rounds = (CALLS / calls).clamp(*ROUNDS.start(), *ROUNDS.end());
    voters.sent_bytes = 0;
    voters.leader_busy = Duration::ZERO;
    let disk = voters.leader_disk_bytes()?;
    let cpu = thread_cpu()?;
    let begun = Instant::now();
    for round in 0..rounds {
        let numbers = (round * calls) as u64..((round + 1) * calls) as u64;
        voters.commit(numbers.clone().map(claim).collect())?;
        voters.commit(numbers.map(finish).collect())?;
    }
    let wall = begun.elapsed();
    let rounds = rounds as f64;
    Ok(Batch {
        wire_bytes: voters.sent_bytes as f64 / rounds,
        disk_bytes: (voters.leader_disk_bytes()? - disk) as f64 / rounds,
        cpu_millis: millis(thread_cpu()? - cpu) / rounds,
        leader_millis: millis(voters.leader_busy) / rounds,
        wall_millis: millis(wall) / rounds,
    })
}

/// Returns the bytes between an owner and the leader.
fn submitted() -> Slope {
    let send_within = Duration::from_secs(2);
    let claimed = Reply::Claim(ClaimReply::Claimed { send_within });
    let finished = Reply::Finish(FinishReply::Recorded);
    let exchange = |command, reply| {
        let request = LeaderRequest::Command(command).to_bytes().len();
        request + LeaderResponse::Reply(reply).to_bytes().len()
    };
    let bytes = |calls: usize| -> usize {
        let calls = 0..calls as u64;
        calls
            .map(|n| exchange(claim(n), claimed.clone()) + exchange(finish(n), finished.clone()))
            .sum()
    };
    let points = BATCHES.iter().map(|&calls| [calls as f64, bytes(calls) as f64]).collect();
    Slope::fit("claims/requests to the leader and answers", "calls", "bytes", points)
}

fn snapshots() -> Vec<Slope> {
    let mut sizes = Vec::new();
    let mut writes = Vec::new();
    let mut reads = Vec::new();
    let mut fleet = Fleet::default();
    let mut next = 0;
    for kept in KEPT {
        for call in next..kept as u64 {
            fleet.apply(LogIndex::new(2 * call + 1), &claim(call));
            fleet.apply(LogIndex::new(2 * call + 2), &finish(call));
        }
        next = kept as u64;
        let calls = fleet.ledger().len() as f64;
        let begun = Instant::now();
        let snapshot = fleet.to_snapshot();
        writes.push([calls, millis(begun.elapsed())]);
        let begun = Instant::now();
        black_box(Fleet::from_snapshot(&snapshot).expect("own bytes can be read"));
        reads.push([calls, millis(begun.elapsed())]);
        sizes.push([calls, snapshot.len() as f64 / KIB]);
    }
    vec![
        Slope::fit("calls/snapshot", "calls kept", "KiB", sizes),
        Slope::fit("calls/time to write a snapshot", "calls kept", "ms", writes),
        Slope::fit("calls/time to read a snapshot", "calls kept", "ms", reads),
    ]
}

/// Returns the bytes that an idle quorum exchanges.
fn heartbeats() -> eyre::Result<Slope> {
    let mut points = Vec::new();
    for count in VOTERS {
        let mut voters = Voters::led(count)?;
        voters.sent_bytes = 0;
        voters.pass(HEARTBEATS)?;
        points.push([
            (count * (count - 1)) as f64,
            voters.sent_bytes as f64 / HEARTBEATS.as_secs_f64(),
        ]);
    }
    Ok(Slope::fit("voters/heartbeats at the leader", "voters × followers", "bytes/s", points))
}

/// Returns a claim of one of many organisations.
pub(super) fn claim(n: u64) -> Command {
    Command::Claim(Claim {
        call: call(n),
        request: Digest::of(b"POST /services/orders 100 diaries"),
        id: ClaimId::new(u128::from(n) << 64),
        owner: owner(n),
        at: UnixMillis::new(1_764_800_000_000 + n),
    })
}

/// Returns the outcome of a claimed call.
pub(super) fn finish(n: u64) -> Command {
    let answer = StoredResponse {
        status: 201,
        content_type: Some("application/json".into()),
        body: Some(vec![b'a'; ANSWER_BYTES].into()),
    };
    Command::Finish(Finish {
        call: call(n),
        id: ClaimId::new(u128::from(n) << 64),
        owner: owner(n),
        outcome: Outcome::Answered(answer),
        at: UnixMillis::new(1_764_800_000_000 + n),
    })
}

fn call(n: u64) -> CallKey {
    CallKey {
        organisation: format!("organisation-{:04}", n % ORGANISATIONS).parse().expect("valid"),
        key: format!("order-2026-12-04-{n:08}").parse().expect("a valid key"),
    }
}

fn owner(n: u64) -> Owner {
    let host = format!("entry-host-{}", n % 350).parse().expect("a valid id");
    Owner { host, incarnation: Incarnation::new(1_764_800_000) }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
