//! One voter: the consensus crate with its log, and what a voter does besides. It grants leases, determines
//! when a version may begin, and replaces a voter whose disk is lost.
//!
//! Omni-Paxos (Ng, Haridi, Carbone, EuroSys 2023) elects a leader that is connected to a majority, and
//! replaces a leader that receives from all but reaches few. It requires links that keep order and report
//! losses. Ours keep order ([`Order`]) but do not report losses, so voters compare their [`VoterProgress`].

use std::collections::BTreeMap;

use omnipaxos::messages::sequence_paxos::{PaxosMessage, PaxosMsg};
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use serde::{Deserialize, Serialize};

use super::disk::{Journal, VoterState, VoterStorage};
use super::history::{Digest, Entry, History, Proposal, Seat, Voters};
use super::lease::{GrantedLeases, LeaseTimes};
use super::successors::SuccessionChange;
use super::{Micros, Name};

/// Length of a tick of the consensus crate, us.
pub const TICK: Micros = 50_000;
/// Ticks without an answer after which a voter counts as failed. Longer than a TCP retransmission: with a
/// shorter timeout the leader changed at each lost segment in trials with 20% loss.
const ELECTION_TIMEOUT_TICKS: u64 = 10;
/// Ticks after which a message without its answer is sent again.
const RESEND_TIMEOUT_TICKS: u64 = 10;
/// A voter that stays behind another voter's progress for this long has lost a message.
const LOST_MESSAGE_TIMEOUT: Micros = 600_000;
/// A voter that was silent for this long may have lost its disk.
const LOST_DISK_TIMEOUT: Micros = 1_000_000;
/// The voters continue on a new, empty log when theirs has this many entries.
pub const MAX_LOG_ENTRIES: usize = 256;

/// The progress that a voter reports to the others.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct VoterProgress {
    /// Epoch of the voters.
    pub epoch: u32,
    /// Entries accepted.
    pub accepted: u64,
    /// Entries known to be decided.
    pub decided: u64,
    /// No lease of this voter is held by a front with a version lower than this.
    pub clear: u64,
}

/// The history known to a front, sent with a request for a lease.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct KnownHistory {
    /// Epoch of the voters.
    pub epoch: u32,
    /// Steps of the history.
    pub position: u64,
    /// Digest of those steps.
    pub digest: Digest,
    /// Latest version.
    pub version: u64,
}

/// A running voter.
pub struct Voter {
    journal: Journal,
    paxos: OmniPaxos<Entry, VoterStorage>,
    voters: Voters,
    number: u64,
    base: u64,
    /// Log entries returned by [`Voter::decided`].
    taken: usize,
    /// The last returned entry was a change of voters.
    ended: bool,
    granting: GrantedLeases,
    /// Latest version in its own log.
    logged: u64,
    marks: BTreeMap<u64, VoterProgress>,
    /// When each other voter was last heard, and when this one started to listen.
    heard: BTreeMap<u64, Micros>,
    since: Option<Micros>,
    /// The progress at the time when this voter fell behind, and that time.
    behind: Option<(u64, Micros)>,
    next_tick: Micros,
    /// Disks that ask to replace the disk of the voter of the same name.
    asks: BTreeMap<Name, u64>,
}

impl std::fmt::Debug for Voter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Voter")
            .field("number", &self.number)
            .field("voters", &self.voters)
            .finish_non_exhaustive()
    }
}

impl Voter {
    /// Starts with this stored state; none if the voters are too few for consensus, or this front is not one
    /// of them.
    pub fn start(vote: VoterState, journal: Journal, granting: GrantedLeases) -> Option<Voter> {
        let (voters, number, base) = (vote.voters.clone(), vote.number, vote.base);
        let config = OmniPaxosConfig {
            cluster_config: ClusterConfig {
                configuration_id: voters.epoch,
                nodes: voters.seats.keys().copied().collect(),
                flexible_quorum: None,
            },
            server_config: ServerConfig {
                pid: number,
                election_tick_timeout: ELECTION_TIMEOUT_TICKS,
                resend_message_tick_timeout: RESEND_TIMEOUT_TICKS,
                ..ServerConfig::default()
            },
        };
        let paxos = config.build(VoterStorage::new(vote, journal.clone())).ok()?;
        Some(Voter {
            journal,
            paxos,
            voters,
            number,
            base,
            taken: 0,
            ended: false,
            granting,
            logged: 0,
            marks: BTreeMap::new(),
            heard: BTreeMap::new(),
            since: None,
            behind: None,
            next_tick: 0,
            asks: BTreeMap::new(),
        })
    }

    /// Its granted leases, for the next voter of this front.
    pub fn into_granting(self) -> GrantedLeases {
        self.granting
    }

    /// The voters that it belongs to.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// When [`Voter::tick`] has to be called again.
    pub fn next_due(&self) -> Micros {
        self.next_tick
    }

    /// Whether this voter is the leader.
    pub fn leads(&self) -> bool {
        self.paxos.get_current_leader() == Some((self.number, true))
    }

    /// Number of the leader, as far as known.
    pub fn leader(&self) -> Option<u64> {
        self.paxos.get_current_leader().map(|(number, _)| number)
    }

    /// Handles a consensus message of another voter.
    pub fn hear(&mut self, message: Message<Entry>) {
        if self.stale(&message) {
            return;
        }
        self.paxos.handle_incoming(message);
    }

    /// Whether the message would revoke entries that this voter has acknowledged. Danger: the crate (0.2.4)
    /// answers a repeated promise with another synchronisation. The later of the two finds the voter further
    /// on in the same ballot and, if it is taken for new after another prepare, truncates entries that
    /// already count towards a majority. Found by the schedule search. Within one ballot a log only grows.
    fn stale(&self, message: &Message<Entry>) -> bool {
        let Message::SequencePaxos(PaxosMessage { msg: PaxosMsg::AcceptSync(sync), .. }) = message else {
            return false;
        };
        let log = &sync.log_sync;
        let ends = log.sync_idx + log.suffix.len();
        let shorter = self.journal.round() == Some(sync.n) && ends < self.paxos.get_accepted_idx();
        shorter || log.sync_idx < self.paxos.get_decided_idx()
    }

    /// Records the progress of another voter.
    pub fn marks(&mut self, now: Micros, from: u64, marks: VoterProgress) {
        if !self.voters.seats.contains_key(&from) {
            return;
        }
        self.heard.insert(from, now);
        if marks.epoch == self.voters.epoch {
            self.marks.insert(from, marks);
        }
    }

    /// Appends a proposal, of this front or another; it is decided once a majority of voters can communicate.
    pub fn propose(&mut self, proposal: Proposal) {
        if self.proposed().iter().any(|open| open.id == proposal.id) {
            return;
        }
        // Refused only while the voters change; the proposer tries again.
        let _ = self.paxos.append(Entry::Propose(proposal));
    }

    /// Appends changes of successors, unless the same changes are already in the undecided log.
    pub fn succeed(&mut self, changes: Vec<SuccessionChange>) {
        let entry = Entry::ChangeSuccessors(changes);
        if !self.undecided().any(|open| open == entry) {
            let _ = self.paxos.append(entry);
        }
    }

    /// Appends a change of voters; returns whether it was accepted.
    pub fn change(&mut self, next: &Voters) -> bool {
        let changing = self.undecided().any(|entry| matches!(entry, Entry::Voters(_)));
        !changing && self.paxos.append(Entry::Voters(next.clone())).is_ok()
    }

    /// Records that a disk asks to vote under the name of one of the voters.
    pub fn replace(&mut self, seat: Seat) {
        let known = self.voters.seats.values().find(|old| old.name == seat.name);
        if known.is_some_and(|old| old.disk != seat.disk) {
            self.asks.insert(seat.name, seat.disk);
        }
    }

    /// Grants a lease to a front that has every step in this voter's log, decided or not; returns whether it
    /// did.
    pub fn grant(
        &mut self,
        now: Micros,
        to: &Name,
        has: &KnownHistory,
        history: &History,
        times: &LeaseTimes,
    ) -> bool {
        // Danger: if only decided steps were required, a lease could begin after a majority has accepted the
        // next version, and would continue while other fronts act on that version.
        let wanted = (self.base + self.paxos.get_accepted_idx() as u64).max(history.position);
        let granted = has.epoch == self.voters.epoch && has.position >= wanted;
        if granted {
            self.granting.grant(now, to, has.version, times);
        }
        granted
    }

    /// Fronts that hold a grant, with the version they have.
    pub fn holders(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.granting.holders()
    }

    /// Proposals in the log that are not known to be decided.
    pub fn proposed(&self) -> Vec<Proposal> {
        let proposal = |entry| match entry {
            Entry::Propose(proposal) => Some(proposal),
            _ => None,
        };
        self.undecided().filter_map(proposal).collect()
    }

    fn undecided(&self) -> impl Iterator<Item = Entry> {
        let open = self.paxos.read_entries(self.paxos.get_decided_idx()..).unwrap_or_default();
        let entry = |entry| match entry {
            LogEntry::Undecided(entry) => Some(entry),
            _ => None,
        };
        open.into_iter().filter_map(entry)
    }

    /// Handles elections, lost messages, and the duties of the leader.
    pub fn tick(&mut self, now: Micros, history: &History) {
        if now < self.next_tick {
            return;
        }
        self.since.get_or_insert(now);
        // Danger: a process that was suspended would process all missed ticks at once and count every other
        // voter as failed. So missed ticks are skipped.
        self.next_tick = now + TICK;
        self.paxos.tick();
        self.catch_up(now);
        if self.leads() {
            self.begin(now, history);
            self.replace_lost(now);
            if self.paxos.get_decided_idx() >= MAX_LOG_ENTRIES {
                let same: Vec<Seat> = self.voters.seats.values().cloned().collect();
                let next = self.voters.next(&same);
                self.change(&next);
            }
        }
    }

    /// Requests a resynchronisation when the leader's progress has been ahead of this voter's for too long,
    /// which means that a message was lost.
    fn catch_up(&mut self, now: Micros) {
        let Some(leader) = self.leader().filter(|leader| *leader != self.number) else {
            self.behind = None;
            return;
        };
        let here = self.paxos.get_accepted_idx() as u64 + self.paxos.get_decided_idx() as u64;
        let there = self.marks.get(&leader).map_or(0, |marks| marks.accepted + marks.decided);
        match self.behind {
            _ if here >= there => self.behind = None,
            Some((so_far, since)) if so_far == here => {
                if since + LOST_MESSAGE_TIMEOUT <= now {
                    self.paxos.reconnected(leader);
                    self.behind = Some((here, now));
                }
            }
            _ => self.behind = Some((here, now)),
        }
        // Danger: if the message that all have accepted is lost on its way to the leader, the leader waits
        // for it without limit.
        let stuck = self.marks.get(&leader).is_some_and(|marks| marks.decided < marks.accepted);
        if self.behind.is_none() && stuck {
            self.behind = Some((here, now));
        } else if stuck && self.behind.is_some_and(|(_, since)| since + LOST_MESSAGE_TIMEOUT <= now) {
            self.paxos.reconnected(leader);
            self.behind = Some((here, now));
        }
    }

    /// Begins the latest version for which a majority of voters has no lease with a lower version: each lease
    /// needs one of these voters, and none of them has granted one for less.
    fn begin(&mut self, now: Micros, history: &History) {
        let own = self.granting.clear(now, self.logged);
        let others =
            self.marks.iter().filter(|(number, _)| **number != self.number).map(|(_, marks)| marks.clear);
        let mut all: Vec<u64> = others.chain([own]).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let clear = all.get(self.voters.majority() - 1).copied().unwrap_or(0);
        let under_way = self.paxos.get_accepted_idx() > self.paxos.get_decided_idx();
        if clear > history.begun && !under_way {
            let _ = self.paxos.append(Entry::Begin(clear.min(history.latest)));
        }
    }

    /// Lets a voter's new disk vote in place of the lost one, under an unused number. Danger: two processes
    /// under one name would take the vote from each other in turn; a disk that was heard recently is not
    /// lost.
    fn replace_lost(&mut self, now: Micros) {
        let Some((name, disk)) = self.asks.pop_first() else { return };
        let number = self.voters.number(&name);
        let heard = number.and_then(|number| self.heard.get(&number).copied()).or(self.since);
        if heard.is_none_or(|heard| heard + LOST_DISK_TIMEOUT > now) {
            return;
        }
        let seat =
            |old: &Seat| if old.name == name { Seat { name: Name::clone(&name), disk } } else { old.clone() };
        let wanted: Vec<Seat> = self.voters.seats.values().map(seat).collect();
        let next = self.voters.next(&wanted);
        self.change(&next);
    }

    /// The progress that this voter reports.
    pub fn own_marks(&mut self, now: Micros) -> VoterProgress {
        VoterProgress {
            epoch: self.voters.epoch,
            accepted: self.paxos.get_accepted_idx() as u64,
            decided: self.paxos.get_decided_idx() as u64,
            clear: self.granting.clear(now, self.logged),
        }
    }

    /// Takes the messages to other voters.
    pub fn say(&mut self) -> Vec<(u64, Message<Entry>)> {
        let mut out = Vec::new();
        self.paxos.take_outgoing_messages(&mut out);
        out.into_iter().map(|message| (message.get_receiver(), message)).collect()
    }

    /// Returns the newly decided steps, each with its position. Entries after a change of voters are void:
    /// their proposers send them to the next voters.
    pub fn decided(&mut self) -> Vec<(u64, Entry)> {
        if self.ended {
            return Vec::new();
        }
        let mut out = Vec::new();
        for entry in self.paxos.read_decided_suffix(self.taken).unwrap_or_default() {
            let LogEntry::Decided(entry) = entry else { break };
            let last = matches!(entry, Entry::Voters(_));
            out.push((self.position(), entry));
            self.taken += 1;
            if last {
                self.ended = true;
                break;
            }
        }
        out
    }

    /// Records the latest version in the log, if the history has no step beyond the log. Danger: steps
    /// received from others and not in this log are lost with the process; a voter that counted them would
    /// then grant leases to fronts without them.
    pub fn logged(&mut self, history: &History) {
        if self.position() >= history.position {
            self.logged = history.latest;
        }
    }

    /// Position in the history after all returned entries.
    pub fn position(&self) -> u64 {
        self.base + self.taken as u64
    }
}

/// Keeps messages in order: a message older than the last one received is dropped. Danger: the consensus
/// crate, given an old synchronisation of the same ballot again, truncates entries that it has acknowledged
/// since.
#[derive(Clone, Debug, Default)]
pub struct Order {
    heard: BTreeMap<(Name, u64), (u64, u64)>,
}

impl Order {
    /// Whether the message is newer than all received from this disk: from a later start, or later in the
    /// same start.
    pub fn next(&mut self, name: &Name, disk: u64, start: u64, sequence: u64) -> bool {
        let last = self.heard.entry((Name::clone(name), disk)).or_default();
        let newer = (start, sequence) > *last;
        if newer {
            *last = (start, sequence);
        }
        newer
    }
}
