//! Calls that run at most once: two commits each, one for the claim and one for the outcome.

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

const BATCH_SIZES: [usize; 5] = [1, 8, 32, 64, 128];
const STORED_CALLS: [usize; 5] = [1_024, 8_192, 16_384, 32_768, 65_536];
const QUORUM_SIZES: [usize; 4] = [3, 5, 7, 9];

/// Voters in the measurements by batch size.
const BATCH_VOTERS: usize = 5;

/// Approximate number of calls of each measurement.
const CALLS: usize = 4_096;

/// Bounds of the number of batches of each measurement.
const BATCHES_PER_MEASUREMENT: RangeInclusive<usize> = 32..=256;

/// Number of organisations that the calls belong to.
const ORGANISATIONS: u64 = 3_100;

/// Body size of a stored response.
const RESPONSE_BYTES: usize = 200;

/// Virtual time over which heartbeats are measured.
const HEARTBEAT_MEASUREMENT_TIME: Duration = Duration::from_secs(10);

const KIB: f64 = 1_024.0;

/// Cost of a batch of one size.
struct BatchCost {
    wire_bytes: f64,
    disk_bytes: f64,
    cpu_millis: f64,
    leader_millis: f64,
    wall_millis: f64,
}

/// Measures batches, snapshots and heartbeats.
pub(super) fn slopes() -> eyre::Result<Vec<Slope>> {
    let batches = BATCH_SIZES.map(|calls| measure(calls).map(|batch| (calls, batch)));
    let batches = batches.into_iter().collect::<eyre::Result<Vec<_>>>()?;
    let fit = |name, unit_y, y: fn(&BatchCost) -> f64| {
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
        leader_requests(),
    ];
    slopes.extend(snapshots());
    slopes.push(heartbeats()?);
    Ok(slopes)
}

fn measure(calls: usize) -> eyre::Result<BatchCost> {
    let mut voters = Voters::with_leader(BATCH_VOTERS)?;
    let rounds =
        (CALLS / calls).clamp(*BATCHES_PER_MEASUREMENT.start(), *BATCHES_PER_MEASUREMENT.end());
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
    Ok(BatchCost {
        wire_bytes: voters.sent_bytes as f64 / rounds,
        disk_bytes: (voters.leader_disk_bytes()? - disk) as f64 / rounds,
        cpu_millis: millis(thread_cpu()? - cpu) / rounds,
        leader_millis: millis(voters.leader_busy) / rounds,
        wall_millis: millis(wall) / rounds,
    })
}

/// Measures the bytes exchanged between an owner and the leader.
fn leader_requests() -> Slope {
    let send_within = Duration::from_secs(2);
    let claimed = Reply::Claim(ClaimReply::Claimed { send_within });
    let finished = Reply::Finish(FinishReply::Recorded);
    let exchange_bytes = |command, reply| {
        let request = LeaderRequest::Command(command).to_bytes().len();
        request + LeaderResponse::Reply(reply).to_bytes().len()
    };
    let bytes = |calls: usize| -> usize {
        let calls = 0..calls as u64;
        calls
            .map(|n| {
                exchange_bytes(claim(n), claimed.clone())
                    + exchange_bytes(finish(n), finished.clone())
            })
            .sum()
    };
    let points = BATCH_SIZES.iter().map(|&calls| [calls as f64, bytes(calls) as f64]).collect();
    Slope::fit("claims/requests to the leader and answers", "calls", "bytes", points)
}

fn snapshots() -> Vec<Slope> {
    let mut sizes = Vec::new();
    let mut writes = Vec::new();
    let mut reads = Vec::new();
    let mut fleet = Fleet::default();
    let mut next = 0;
    for stored in STORED_CALLS {
        for call in next..stored as u64 {
            fleet.apply(LogIndex::new(2 * call + 1), &claim(call));
            fleet.apply(LogIndex::new(2 * call + 2), &finish(call));
        }
        next = stored as u64;
        let calls = fleet.ledger().len() as f64;
        let begun = Instant::now();
        let snapshot = fleet.to_snapshot();
        writes.push([calls, millis(begun.elapsed())]);
        let begun = Instant::now();
        black_box(Fleet::from_snapshot(&snapshot).expect("decodes what was encoded"));
        reads.push([calls, millis(begun.elapsed())]);
        sizes.push([calls, snapshot.len() as f64 / KIB]);
    }
    vec![
        Slope::fit("calls/snapshot", "calls kept", "KiB", sizes),
        Slope::fit("calls/time to write a snapshot", "calls kept", "ms", writes),
        Slope::fit("calls/time to read a snapshot", "calls kept", "ms", reads),
    ]
}

/// Measures the bytes that an idle quorum exchanges.
fn heartbeats() -> eyre::Result<Slope> {
    let mut points = Vec::new();
    for count in QUORUM_SIZES {
        let mut voters = Voters::with_leader(count)?;
        voters.sent_bytes = 0;
        voters.advance(HEARTBEAT_MEASUREMENT_TIME)?;
        points.push([
            (count * (count - 1)) as f64,
            voters.sent_bytes as f64 / HEARTBEAT_MEASUREMENT_TIME.as_secs_f64(),
        ]);
    }
    Ok(Slope::fit("voters/heartbeats at the leader", "voters × followers", "bytes/s", points))
}

/// Returns the command that claims call `n`.
pub(super) fn claim(n: u64) -> Command {
    Command::Claim(Claim {
        call: call(n),
        request: Digest::of(b"POST /services/orders 100 diaries"),
        id: ClaimId::new(u128::from(n) << 64),
        owner: owner(n),
        at: UnixMillis::new(1_764_800_000_000 + n),
    })
}

/// Returns the command that records the outcome of call `n`.
pub(super) fn finish(n: u64) -> Command {
    let response = StoredResponse {
        status: 201,
        content_type: Some("application/json".into()),
        body: Some(vec![b'a'; RESPONSE_BYTES].into()),
    };
    Command::Finish(Finish {
        call: call(n),
        id: ClaimId::new(u128::from(n) << 64),
        owner: owner(n),
        outcome: Outcome::Answered(response),
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
