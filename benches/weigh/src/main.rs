//! Compares two consensus crates under asymmetric and partial network cuts: five voters, a tick of 50 ms, elections after
//! ten ticks, ordered links with a delay of 1 ms. Every 50 ms each voter that is a leader proposes an entry. Prints the
//! longest time without a decision after the cut, and whether entries are decided at the end. `docs/design/accord.md`
//! describes the consequences.

use std::collections::{BTreeMap, VecDeque};

use omnipaxos::messages::Message as PaxosMessage;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use omnipaxos::{ballot_leader_election::Ballot, ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use raft::prelude::Message as RaftMessage;
use raft::storage::MemStorage;
use raft::{Config, RawNode, StateRole};
use serde::{Deserialize, Serialize};

const VOTERS: u64 = 5;
const TICK_MS: u64 = 50;
const ELECTION_TICKS: usize = 10;

/// The interface of a voter to the harness.
trait Voter {
    type Message;
    fn tick(&mut self);
    fn step(&mut self, message: Self::Message);
    fn propose(&mut self);
    fn is_leader(&self) -> bool;
    fn decided(&self) -> u64;
    /// Outgoing messages, with their receivers.
    fn take_messages(&mut self) -> Vec<(u64, Self::Message)>;
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Entry;

impl omnipaxos::storage::Entry for Entry {
    type Snapshot = NoSnapshot;
}

#[derive(Default)]
struct Memory {
    log: Vec<Entry>,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
}

impl Storage<Entry> for Memory {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(at) => self.set_decided_idx(at)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                _ => {}
            }
        }
        Ok(())
    }
    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.log.push(entry);
        Ok(())
    }
    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        self.log.extend(entries);
        Ok(())
    }
    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.log.truncate(from);
        self.log.extend(entries);
        Ok(())
    }
    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.promise = Some(ballot);
        Ok(())
    }
    fn set_decided_idx(&mut self, at: usize) -> StorageResult<()> {
        self.decided = at;
        Ok(())
    }
    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.decided)
    }
    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.accepted = Some(ballot);
        Ok(())
    }
    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.accepted)
    }
    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.log.get(from..to).map(<[Entry]>::to_vec).unwrap_or_default())
    }
    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.log.len())
    }
    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        self.get_entries(from, self.log.len())
    }
    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.promise)
    }
    fn set_stopsign(&mut self, _: Option<StopSign>) -> StorageResult<()> {
        Ok(())
    }
    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }
    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }
    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }
    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }
    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }
    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}

struct Paxos {
    paxos: OmniPaxos<Entry, Memory>,
    number: u64,
}

impl Voter for Paxos {
    type Message = PaxosMessage<Entry>;

    fn tick(&mut self) {
        self.paxos.tick();
    }
    fn step(&mut self, message: Self::Message) {
        self.paxos.handle_incoming(message);
    }
    fn propose(&mut self) {
        let _ = self.paxos.append(Entry);
    }
    fn is_leader(&self) -> bool {
        self.paxos.get_current_leader() == Some((self.number, true))
    }
    fn decided(&self) -> u64 {
        self.paxos.get_decided_idx() as u64
    }
    fn take_messages(&mut self) -> Vec<(u64, Self::Message)> {
        let mut out = Vec::new();
        self.paxos.take_outgoing_messages(&mut out);
        out.into_iter().map(|message| (message.get_receiver(), message)).collect()
    }
}

fn paxos(number: u64) -> Paxos {
    let config = OmniPaxosConfig {
        cluster_config: ClusterConfig { configuration_id: 1, nodes: (1..=VOTERS).collect(), flexible_quorum: None },
        server_config: ServerConfig {
            pid: number,
            election_tick_timeout: ELECTION_TICKS as u64,
            resend_message_tick_timeout: ELECTION_TICKS as u64,
            ..ServerConfig::default()
        },
    };
    Paxos { paxos: config.build(Memory::default()).expect("a sound configuration"), number }
}

struct Raft {
    node: RawNode<MemStorage>,
    store: MemStorage,
    out: Vec<RaftMessage>,
    decided: u64,
}

impl Raft {
    fn ready(&mut self) {
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            self.out.extend(ready.take_messages());
            if let Some(hard) = ready.hs() {
                self.store.wl().set_hardstate(hard.clone());
            }
            self.store.wl().append(ready.entries()).expect("memory holds");
            self.out.extend(ready.take_persisted_messages());
            self.decided += ready.take_committed_entries().iter().filter(|entry| !entry.data.is_empty()).count() as u64;
            let mut light = self.node.advance(ready);
            self.out.extend(light.take_messages());
            self.decided += light.take_committed_entries().iter().filter(|entry| !entry.data.is_empty()).count() as u64;
            self.node.advance_apply();
        }
    }
}

impl Voter for Raft {
    type Message = RaftMessage;

    fn tick(&mut self) {
        self.node.tick();
        self.ready();
    }
    fn step(&mut self, message: Self::Message) {
        let _ = self.node.step(message);
        self.ready();
    }
    fn propose(&mut self) {
        let _ = self.node.propose(Vec::new(), vec![1]);
        self.ready();
    }
    fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }
    fn decided(&self) -> u64 {
        self.decided
    }
    fn take_messages(&mut self) -> Vec<(u64, Self::Message)> {
        std::mem::take(&mut self.out).into_iter().map(|message| (message.to, message)).collect()
    }
}

fn raft(number: u64) -> Raft {
    let store = MemStorage::new_with_conf_state(((1..=VOTERS).collect::<Vec<_>>(), vec![]));
    let config = Config {
        id: number,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: 2,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let node = RawNode::new(&config, store.clone(), &logger).expect("a sound configuration");
    Raft { node, store, out: Vec::new(), decided: 0 }
}

/// Whether the link is cut; arguments: leader, sender, receiver.
type Cut = fn(u64, u64, u64) -> bool;

/// Position of a voter in the ring, counted from the leader.
fn ring_position(leader: u64, voter: u64) -> u64 {
    (voter + VOTERS - leader) % VOTERS
}

const CUTS: [(&str, Cut); 6] = [
    ("the leader hears all and is heard by none", |leader, from, _| from == leader),
    ("the leader hears all and is heard by one", |leader, from, to| from == leader && ring_position(leader, to) != 1),
    ("the leader is heard by all and hears none", |leader, _, to| to == leader),
    ("all reach one voter alone, which is not the leader", |leader, from, to| {
        ring_position(leader, from) != 1 && ring_position(leader, to) != 1
    }),
    ("a chain, the leader at its end", |leader, from, to| {
        ring_position(leader, from).abs_diff(ring_position(leader, to)) != 1
    }),
    ("the leader reaches two others, which reach all", |leader, from, to| {
        let far = |voter| [3, 4].contains(&ring_position(leader, voter));
        (from == leader && far(to)) || (to == leader && far(from))
    }),
];

/// The longest time without a decision after the cut, in ms, and whether anything was decided in the last five seconds.
fn run_cut<V: Voter>(make: fn(u64) -> V, cut: Cut) -> (u64, bool) {
    let mut voters: BTreeMap<u64, V> = (1..=VOTERS).map(|number| (number, make(number))).collect();
    let mut in_flight: VecDeque<(u64, u64, u64, V::Message)> = VecDeque::new();
    let (mut leader, mut last, mut longest, mut most) = (0, 0, 0, 0);
    const CUT_AT_MS: u64 = 10_000;
    const END_MS: u64 = 70_000;
    for now in 0..END_MS {
        if now == CUT_AT_MS {
            leader = voters.iter().find(|(_, voter)| voter.is_leader()).map_or(0, |(number, _)| *number);
            assert!(leader != 0, "no leader after ten seconds");
            last = now;
        }
        if now % TICK_MS == 0 {
            for voter in voters.values_mut() {
                voter.tick();
                if voter.is_leader() {
                    voter.propose();
                }
            }
        }
        while in_flight.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, _, to, message)) = in_flight.pop_front() else { break };
            if let Some(voter) = voters.get_mut(&to) {
                voter.step(message);
            }
        }
        for (number, voter) in &mut voters {
            for (to, message) in voter.take_messages() {
                if now < CUT_AT_MS || !cut(leader, *number, to) {
                    in_flight.push_back((now + 1, *number, to, message));
                }
            }
        }
        let decided = voters.values().map(Voter::decided).max().unwrap_or(0);
        if decided > most {
            most = decided;
            if now > CUT_AT_MS {
                longest = longest.max(now - last);
            }
            last = now;
        }
    }
    (longest.max(END_MS - last), END_MS - last < 5_000)
}

fn main() {
    println!("{:<52} {:>24} {:>24}", "no decision for, ms (median, maximum of 9)", "omnipaxos", "raft");
    for (name, cut) in CUTS {
        let summary = |all: Vec<(u64, bool)>| {
            let mut spans: Vec<u64> = all.iter().map(|(span, _)| *span).collect();
            spans.sort_unstable();
            let live = all.iter().filter(|(_, live)| *live).count();
            format!("{} {} ({live}/9)", spans[4], spans[8])
        };
        let one = summary((0..9).map(|_| run_cut(paxos, cut)).collect());
        let two = summary((0..9).map(|_| run_cut(raft, cut)).collect());
        println!("{name:<52} {one:>24} {two:>24}");
    }
}
