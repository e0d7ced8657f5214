//! A quorum whose voters run in one process, each with a log on disk.

use std::{
    collections::VecDeque,
    fs,
    time::{Duration, Instant},
};

use base::{HostId, MonotonicTime};
use fleet::{Command, Fleet, Reply};
use quorum::{Action, Config, FolderId, Input, Message, Node, Payload, ProposalId, Role, Write};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use store::{Log, RealDisk};
use tempfile::TempDir;
use wire::peer::{quorum_from_bytes, quorum_to_bytes};

/// Virtual time between two ticks, as in the daemon.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Virtual time within which a leader must be elected.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// A quorum whose messages are delivered at once and in order.
pub(super) struct Voters {
    /// Bytes of messages sent by all voters so far.
    pub sent_bytes: u64,
    /// Processing time of the leader so far, without its syncs.
    pub leader_busy: Duration,
    voters: Vec<Voter>,
    packets: VecDeque<Packet>,
    now: MonotonicTime,
    replies: usize,
    next_proposal: u64,
    data: TempDir,
}

struct Voter {
    host: HostId,
    node: Node<Pcg64Mcg>,
    log: Log<RealDisk>,
    fleet: Fleet,
}

struct Packet {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl Voters {
    /// Starts voters and waits until they have a leader.
    pub(super) fn with_leader(count: usize) -> eyre::Result<Self> {
        let data = tempfile::tempdir()?;
        let founders: Vec<HostId> = (0..count).map(host).collect();
        let voters =
            (0..count).map(|i| Voter::open(&data, i, &founders)).collect::<Result<_, _>>()?;
        let mut quorum = Self {
            sent_bytes: 0,
            leader_busy: Duration::ZERO,
            voters,
            packets: VecDeque::new(),
            now: MonotonicTime::ZERO,
            replies: 0,
            next_proposal: 0,
            data,
        };
        quorum.advance(ELECTION_TIMEOUT)?;
        eyre::ensure!(quorum.leader().is_some(), "no leader within {ELECTION_TIMEOUT:?}");
        Ok(quorum)
    }

    /// Advances the virtual time by `span`.
    pub(super) fn advance(&mut self, span: Duration) -> eyre::Result<()> {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK_INTERVAL;
            for i in 0..self.voters.len() {
                self.step(i, vec![Input::Tick])?;
            }
            self.deliver()?;
        }
        Ok(())
    }

    /// Commits commands in one batch and applies them at the leader.
    pub(super) fn commit(&mut self, commands: Vec<Command>) -> eyre::Result<()> {
        let Some(leader) = self.leader() else { eyre::bail!("no leader") };
        let expected = self.replies + commands.len();
        let inputs = commands.into_iter().map(|command| {
            self.next_proposal += 1;
            let id = ProposalId(self.next_proposal);
            Input::Propose { id, command: command.to_bytes().into() }
        });
        let inputs = inputs.collect();
        self.step(leader, inputs)?;
        self.deliver()?;
        eyre::ensure!(
            self.replies == expected,
            "expected {expected} replies, got {}",
            self.replies
        );
        Ok(())
    }

    /// Returns the size of the leader's data folder, in bytes.
    pub(super) fn leader_disk_bytes(&self) -> eyre::Result<u64> {
        let leader = self.leader().unwrap_or_default();
        let mut bytes = 0;
        for file in fs::read_dir(self.data.path().join(host(leader).as_str()))? {
            bytes += file?.metadata()?.len();
        }
        Ok(bytes)
    }

    fn leader(&self) -> Option<usize> {
        self.voters.iter().position(|voter| voter.node.role() == Role::Leader)
    }

    fn deliver(&mut self) -> eyre::Result<()> {
        while let Some(Packet { from, to, bytes }) = self.packets.pop_front() {
            let message = quorum_from_bytes(&bytes)?;
            self.step(to, vec![Input::Message { from: host(from), message }])?;
        }
        Ok(())
    }

    fn step(&mut self, i: usize, inputs: Vec<Input>) -> eyre::Result<()> {
        let is_leader = self.voters[i].node.role() == Role::Leader;
        let begun = Instant::now();
        let voter = &mut self.voters[i];
        let mut actions = Vec::new();
        for input in inputs {
            voter.node.step(self.now, input, &mut actions);
        }
        let sync_time = voter.persist(&actions)?;
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(i, &to, &message),
                Action::Apply(entries) => {
                    let replies = self.voters[i].apply(&entries);
                    self.replies += if is_leader { replies } else { 0 };
                }
                _ => {}
            }
        }
        if is_leader {
            self.leader_busy += begun.elapsed() - sync_time;
        }
        Ok(())
    }

    fn send(&mut self, from: usize, to: &HostId, message: &Message) {
        let bytes = quorum_to_bytes(message);
        self.sent_bytes += bytes.len() as u64;
        let Some(to) = self.voters.iter().position(|voter| voter.host == *to) else { return };
        self.packets.push_back(Packet { from, to, bytes });
    }
}

impl Voter {
    fn open(data: &TempDir, i: usize, founders: &[HostId]) -> eyre::Result<Self> {
        let host = host(i);
        let folder = FolderId::new(i as u64 + 1);
        let (log, restored) = Log::open(&data.path().join(host.as_str()), RealDisk, folder)?;
        let cfg = Config { founders: founders.to_vec(), ..Config::new(host.clone()) };
        let rng = Pcg64Mcg::seed_from_u64(i as u64);
        let node = Node::new(cfg, restored, MonotonicTime::ZERO, rng);
        Ok(Self { host, node, log, fleet: Fleet::default() })
    }

    /// Writes and syncs the log entries and hard state in `actions`; returns the sync time.
    fn persist(&mut self, actions: &[Action]) -> eyre::Result<Duration> {
        let mut staged = false;
        for action in actions {
            if let Action::Write(Write::Log { hard_state, entries }) = action {
                self.log.stage(hard_state.as_ref(), entries);
                staged = true;
            }
        }
        if !staged {
            return Ok(Duration::ZERO);
        }
        let begun = Instant::now();
        self.log.sync()?;
        Ok(begun.elapsed())
    }

    /// Applies entries and returns how many of their commands were applied for the first time.
    fn apply(&mut self, entries: &[quorum::Entry]) -> usize {
        let mut replies = 0;
        for entry in entries {
            let Payload::Command(command) = &entry.payload else {
                self.fleet.skip(entry.index);
                continue;
            };
            let command = Command::from_bytes(command).expect("decodes what was encoded");
            let reply = self.fleet.apply(entry.index, &command);
            replies += usize::from(reply != Reply::AlreadyApplied);
        }
        replies
    }
}

fn host(i: usize) -> HostId {
    format!("voter-host-{i}").parse().expect("a valid id")
}
