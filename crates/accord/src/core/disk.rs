//! The persistent state of a front: the image, and the writes that change it. The I/O layer applies each
//! batch atomically, and flushes it before any later output is carried out.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};

use super::history::{Entry, History, Voters};

impl omnipaxos::storage::Entry for Entry {
    // Danger: the crate (0.2.4) merges a snapshot of entries that a voter lacks into its own state as if the
    // voter had decided all of them, and so loses or duplicates entries. Found by the schedule search. So
    // there are no snapshots; a log stays short because its voters continue on a new one
    // ([`super::voter::MAX_LOG_ENTRIES`]).
    type Snapshot = NoSnapshot;
}

/// One change of the image.
#[derive(Clone, Debug)]
pub enum Write {
    /// The disk id, drawn at the first start on this disk, and the number of starts.
    Identity(u64, u64),
    /// Starts to vote, or continues with other voters.
    Voter(Box<VoterState>),
    /// Replaces the log from this index on, counted from the vote's base.
    Log(usize, Vec<Entry>),
    /// The promised ballot.
    Promise(Ballot),
    /// The ballot of the latest accepted entries.
    Accepted(Ballot),
    /// The number of decided entries.
    Decided(usize),
    /// The history of a front that does not vote, or the one that a vote starts from.
    History(Arc<History>),
}

impl Write {
    /// Whether the write has to be flushed before anything that follows from it is sent. State that was only
    /// received, and that this front acknowledged to nobody, can be received again.
    pub fn needs_flush(&self) -> bool {
        !matches!(self, Write::Decided(_) | Write::History(_))
    }
}

/// The persistent state of a voter.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VoterState {
    /// The voters it belongs to.
    pub voters: Voters,
    /// Its number among them.
    pub number: u64,
    /// Steps of the history before the first log entry.
    pub base: u64,
    /// See [`Write::Promise`].
    pub promise: Option<Ballot>,
    /// See [`Write::Accepted`].
    pub accepted: Option<Ballot>,
    /// See [`Write::Decided`].
    pub decided: usize,
    /// Log entries after the base.
    pub log: Vec<Entry>,
}

impl VoterState {
    /// The state of a new voter among the voters of this history. Its log is empty: the other voters send it
    /// what they decided before it joined.
    pub fn new(number: u64, history: &History) -> VoterState {
        VoterState {
            voters: history.voters.clone(),
            number,
            base: history.voters_at,
            promise: None,
            accepted: None,
            decided: 0,
            log: Vec::new(),
        }
    }
}

/// The contents of a front's disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Image {
    /// The disk id, and the number of starts.
    pub identity: Option<(u64, u64)>,
    /// The state of its voter.
    pub vote: Option<VoterState>,
    /// The history it followed.
    pub history: Option<Arc<History>>,
}

impl Image {
    /// Applies one write.
    pub fn apply(&mut self, write: &Write) {
        match (write, &mut self.vote) {
            (Write::Identity(disk, starts), _) => self.identity = Some((*disk, *starts)),
            (Write::History(history), _) => self.history = Some(Arc::clone(history)),
            (Write::Voter(vote), _) => self.vote = Some(vote.as_ref().clone()),
            (write, Some(vote)) => vote.apply(write),
            (_, None) => {}
        }
    }
}

impl VoterState {
    fn apply(&mut self, write: &Write) {
        match write {
            Write::Log(at, entries) => {
                self.log.truncate(*at);
                self.log.extend(entries.iter().cloned());
            }
            Write::Promise(ballot) => self.promise = Some(*ballot),
            Write::Accepted(ballot) => self.accepted = Some(*ballot),
            Write::Decided(decided) => self.decided = *decided,
            Write::Identity(..) | Write::Voter(_) | Write::History(_) => {}
        }
    }
}

/// Pending writes, in order, and the accepted ballot after them.
#[derive(Clone, Debug, Default)]
pub struct Journal(Arc<Mutex<(Vec<Write>, Option<Ballot>)>>);

impl Journal {
    fn hold(&self) -> MutexGuard<'_, (Vec<Write>, Option<Ballot>)> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a write.
    pub fn push(&self, write: Write) {
        let mut held = self.hold();
        match &write {
            Write::Accepted(ballot) => held.1 = Some(*ballot),
            Write::Voter(vote) => held.1 = vote.accepted,
            _ => {}
        }
        held.0.push(write);
    }

    /// Takes all pending writes.
    pub fn take(&self) -> Vec<Write> {
        std::mem::take(&mut self.hold().0)
    }

    /// The ballot in which the log was last synchronised with a leader's.
    pub fn round(&self) -> Option<Ballot> {
        self.hold().1
    }
}

/// The voter state in memory, as the consensus crate reads and writes it; every change also goes into the
/// journal.
#[derive(Debug)]
pub struct VoterStorage {
    vote: VoterState,
    journal: Journal,
}

impl VoterStorage {
    /// Starts with this state.
    pub fn new(vote: VoterState, journal: Journal) -> VoterStorage {
        journal.hold().1 = vote.accepted;
        VoterStorage { vote, journal }
    }

    fn write(&mut self, write: Write) {
        self.vote.apply(&write);
        self.journal.push(write);
    }

    fn end(&self) -> usize {
        self.vote.log.len()
    }
}

impl Storage<Entry> for VoterStorage {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(at) => self.set_decided_idx(at)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                StorageOp::SetCompactedIdx(at) => self.set_compacted_idx(at)?,
                StorageOp::Trim(at) => self.trim(at)?,
                StorageOp::SetStopsign(stop) => self.set_stopsign(stop)?,
                StorageOp::SetSnapshot(shot) => self.set_snapshot(shot)?,
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        if !entries.is_empty() {
            self.write(Write::Log(self.end(), entries));
        }
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        if from < self.end() || !entries.is_empty() {
            self.write(Write::Log(from, entries));
        }
        Ok(())
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        // Danger: a voter that has never promised anything writes the empty ballot at its start, and would
        // count as recovering at the next start.
        if self.vote.promise != Some(ballot) && ballot != Ballot::default() {
            self.write(Write::Promise(ballot));
        }
        Ok(())
    }

    fn set_decided_idx(&mut self, at: usize) -> StorageResult<()> {
        if self.vote.decided != at {
            self.write(Write::Decided(at));
        }
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.vote.decided)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        if self.vote.accepted != Some(ballot) {
            self.write(Write::Accepted(ballot));
        }
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.vote.accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        let part = self.vote.log.get(from..to);
        Ok(part.map(<[Entry]>::to_vec).unwrap_or_default())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.vote.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        self.get_entries(from, self.end())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.vote.promise)
    }

    fn set_stopsign(&mut self, stop: Option<StopSign>) -> StorageResult<()> {
        stop.map_or(Ok(()), |_| Err("voters change by an entry of the log".into()))
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Err("a log is not trimmed".into())
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Err("a log is not compacted".into())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Err("there are no snapshots".into())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
