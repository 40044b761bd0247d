//! One voter: the consensus crate with its log, and what a voter does besides: it grants leases, tells when a version may
//! begin, and replaces a voter whose disk is lost.
//!
//! Omni-Paxos (Ng, Haridi, Carbone, EuroSys 2023) elects whoever is connected with a majority, so that a leader that hears
//! all and is heard by few is given up. It wants links that keep order and tell when they lose something; ours keep order
//! ([`Order`]) and don't tell, so voters compare their [`Marks`].

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

/// The consensus crate counts time in ticks of this length.
pub const TICK: Micros = 50_000;
/// Ticks after which a voter that did not answer counts as gone: longer than TCP takes to send a lost segment again, or
/// leaders change at each loss. Measured in trials with 20% loss.
const ELECTION_TIMEOUT_TICKS: u64 = 10;
/// Ticks after which a message that is owed an answer is sent again.
const RESEND_TIMEOUT_TICKS: u64 = 10;
/// Whoever is behind another voter's marks for so long has lost a message.
const LOST_MESSAGE_TIMEOUT: Micros = 600_000;
/// A voter that was not heard for so long may have lost its disk.
const LOST_DISK_TIMEOUT: Micros = 1_000_000;
/// The voters begin anew, with an empty log, when it has so many entries.
pub const MAX_LOG_ENTRIES: usize = 256;

/// What a voter tells the others each tick.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct VoterProgress {
    /// Of which voters.
    pub epoch: u32,
    /// Entries it has accepted.
    pub accepted: u64,
    /// Entries it knows to be decided.
    pub decided: u64,
    /// No front acts on less than this version by a lease of this voter.
    pub clear: u64,
}

/// What a front has, as it says when it asks for a lease.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct KnownHistory {
    /// Of which voters.
    pub epoch: u32,
    /// Steps of the history.
    pub position: u64,
    /// Digest of these.
    pub digest: Digest,
    /// Latest version.
    pub version: u64,
}

/// A voter at work.
pub struct Voter {
    journal: Journal,
    paxos: OmniPaxos<Entry, VoterStorage>,
    voters: Voters,
    number: u64,
    base: u64,
    /// Entries of this vote that were handed out.
    taken: usize,
    /// The last of them was other voters.
    ended: bool,
    granting: GrantedLeases,
    /// Latest version in its own log.
    logged: u64,
    marks: BTreeMap<u64, VoterProgress>,
    /// When each of the others was last heard, and when this one began to listen.
    heard: BTreeMap<u64, Micros>,
    since: Option<Micros>,
    /// How far it has come, and since when it has been behind others.
    behind: Option<(u64, Micros)>,
    next_tick: Micros,
    /// Disks that ask to vote in place of another of the same name.
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
    /// Goes on with this vote; nothing where the voters are too few to agree on anything, or this is none of them.
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

    /// What it has granted, for the vote that follows.
    pub fn into_granting(self) -> GrantedLeases {
        self.granting
    }

    /// Its voters.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// When it must be called again.
    pub fn next_due(&self) -> Micros {
        self.next_tick
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.paxos.get_current_leader() == Some((self.number, true))
    }

    /// Number of the leader, as far as it knows.
    pub fn leader(&self) -> Option<u64> {
        self.paxos.get_current_leader().map(|(number, _)| number)
    }

    /// A message of another voter.
    pub fn hear(&mut self, message: Message<Entry>) {
        if self.stale(&message) {
            return;
        }
        self.paxos.handle_incoming(message);
    }

    /// Whether this would take back what this voter has acknowledged. Danger: the crate (0.2.4) answers a promise that is
    /// sent again with one more synchronisation; the later of two finds the voter further on in the same ballot and, taken
    /// for new after one more prepare, cuts off entries that already count towards a majority. Found by the hunt. Within
    /// one ballot a log only grows.
    fn stale(&self, message: &Message<Entry>) -> bool {
        let Message::SequencePaxos(PaxosMessage { msg: PaxosMsg::AcceptSync(sync), .. }) = message else {
            return false;
        };
        let log = &sync.log_sync;
        let ends = log.sync_idx + log.suffix.len();
        let shorter = self.journal.round() == Some(sync.n) && ends < self.paxos.get_accepted_idx();
        shorter || log.sync_idx < self.paxos.get_decided_idx()
    }

    /// Marks of another voter.
    pub fn marks(&mut self, now: Micros, from: u64, marks: VoterProgress) {
        if !self.voters.seats.contains_key(&from) {
            return;
        }
        self.heard.insert(from, now);
        if marks.epoch == self.voters.epoch {
            self.marks.insert(from, marks);
        }
    }

    /// A proposal, of this front or another; agreed on sooner or later, if voters are left that can.
    pub fn propose(&mut self, proposal: Proposal) {
        if self.proposed().iter().any(|open| open.id == proposal.id) {
            return;
        }
        // Refused only while the voters change; whoever proposes tries again.
        let _ = self.paxos.append(Entry::Propose(proposal));
    }

    /// Heirs are to change so, unless just that is under way.
    pub fn succeed(&mut self, changes: Vec<SuccessionChange>) {
        let entry = Entry::ChangeSuccessors(changes);
        if !self.undecided().any(|open| open == entry) {
            let _ = self.paxos.append(entry);
        }
    }

    /// Other voters are wanted.
    pub fn change(&mut self, next: &Voters) -> bool {
        let changing = self.undecided().any(|entry| matches!(entry, Entry::Voters(_)));
        !changing && self.paxos.append(Entry::Voters(next.clone())).is_ok()
    }

    /// A disk asks to vote under the name of one of the voters.
    pub fn replace(&mut self, seat: Seat) {
        let known = self.voters.seats.values().find(|old| old.name == seat.name);
        if known.is_some_and(|old| old.disk != seat.disk) {
            self.asks.insert(seat.name, seat.disk);
        }
    }

    /// Whether a front that has taken so many steps of the history may act on them. It gets nothing while this voter has
    /// any step more, agreed on or not.
    pub fn grant(
        &mut self,
        now: Micros,
        to: &Name,
        has: &KnownHistory,
        history: &History,
        times: &LeaseTimes,
    ) -> bool {
        // Danger: granted by what was decided alone, a lease begins after a majority has accepted the next version, and
        // lasts on while others act on that.
        let wanted = (self.base + self.paxos.get_accepted_idx() as u64).max(history.position);
        let granted = has.epoch == self.voters.epoch && has.position >= wanted;
        if granted {
            self.granting.grant(now, to, has.version, times);
        }
        granted
    }

    /// Fronts that hold a grant, and the version they have.
    pub fn holders(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.granting.holders()
    }

    /// Proposals in the log that are not decided yet, for all that is known here.
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

    /// Time has passed: elections, what was lost on the way, and what the leader has to begin.
    pub fn tick(&mut self, now: Micros, history: &History) {
        if now < self.next_tick {
            return;
        }
        self.since.get_or_insert(now);
        // Danger: a process that was stopped makes up for all ticks at once, and takes everybody for gone.
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

    /// A message was lost where another voter has more than this one for a while; the crate is told as it wants to be.
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
        // Danger: the word that all have accepted is lost on its way to the leader, which waits for it for ever.
        let stuck = self.marks.get(&leader).is_some_and(|marks| marks.decided < marks.accepted);
        if self.behind.is_none() && stuck {
            self.behind = Some((here, now));
        } else if stuck && self.behind.is_some_and(|(_, since)| since + LOST_MESSAGE_TIMEOUT <= now) {
            self.paxos.reconnected(leader);
            self.behind = Some((here, now));
        }
    }

    /// Begins what a majority is clear of: each lease needs one of these voters, and none of them gave one for less.
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

    /// Lets a voter's new disk vote in place of the lost one, under a number that nobody had. Danger: two processes run
    /// under one name, and each in turn takes the other's vote: a disk that still speaks is not lost.
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

    /// What this voter tells the others.
    pub fn own_marks(&mut self, now: Micros) -> VoterProgress {
        VoterProgress {
            epoch: self.voters.epoch,
            accepted: self.paxos.get_accepted_idx() as u64,
            decided: self.paxos.get_decided_idx() as u64,
            clear: self.granting.clear(now, self.logged),
        }
    }

    /// Messages to other voters.
    pub fn say(&mut self) -> Vec<(u64, Message<Entry>)> {
        let mut out = Vec::new();
        self.paxos.take_outgoing_messages(&mut out);
        out.into_iter().map(|message| (message.get_receiver(), message)).collect()
    }

    /// The steps that have been decided since, each with its place. What follows on a change of the voters is nobody's:
    /// whoever proposed it proposes it to the next ones.
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

    /// The history has taken all that this log has, and ends in this version. Danger: what is known from others and not
    /// in this log is forgotten with the process, and a voter that was clear of it would grant to fronts without it.
    pub fn logged(&mut self, history: &History) {
        if self.position() >= history.position {
            self.logged = history.latest;
        }
    }

    /// Place in the history that all it has handed out leads to.
    pub fn position(&self) -> u64 {
        self.base + self.taken as u64
    }
}

/// Messages of another front's starts, in order: what is older than what was heard is dropped. Danger: the consensus
/// crate, told an old synchronisation of the same ballot again, cuts off entries that it has acknowledged since.
#[derive(Clone, Debug, Default)]
pub struct Order {
    heard: BTreeMap<(Name, u64), (u64, u64)>,
}

impl Order {
    /// Whether this comes after all that was heard from this disk: in a later start, or later in the same.
    pub fn next(&mut self, name: &Name, disk: u64, start: u64, sequence: u64) -> bool {
        let last = self.heard.entry((Name::clone(name), disk)).or_default();
        let newer = (start, sequence) > *last;
        if newer {
            *last = (start, sequence);
        }
        newer
    }
}
