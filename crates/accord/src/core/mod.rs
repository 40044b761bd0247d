//! The state machine by which fronts agree on rule versions, without I/O, clock or threads: it takes inputs
//! and returns writes, messages and notifications.
//!
//! [`Accord::handle`] takes the time (of a monotonic clock, local to this process) and one [`Input`];
//! [`Accord::next_due`] returns when it has to be called again. The contents of an [`Output::Write`] are on
//! disk, and flushed where needed, before any later output is carried out.
//!
//! - [`rules`]: the content of versions and how two versions relate. [`history`]: the agreed steps that
//!   created them.
//! - [`successors`]: which front takes over the sessions of a lost one.
//! - [`lease`]: how long a front may act on the history, and the bound on contradictions. [`coordination`]:
//!   what a front acts on.
//! - [`voter`]: consensus. [`disk`]: persistent state. [`mod@self`]: one front's part in all of these.

pub mod coordination;
pub mod disk;
pub mod history;
pub mod lease;
pub mod rules;
pub mod successors;
pub mod voter;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

use coordination::CoordinationState;
use disk::{Image, Journal, VoterState, Write};
use history::{Digest, Entry, History, Proposal, ProposalOutcome, RecentSteps, Seat, Voters};
use lease::{GrantedLeases, HeldLease, LeaseTimes};
use rules::Rules;
use successors::SuccessionChange;
use voter::{KnownHistory, Order, Voter, VoterProgress, TICK};

/// Time or duration, us.
pub type Micros = u64;
/// Name of a front.
pub type Name = Arc<str>;

/// How often a front that is not yet a voter looks for the other voters.
const VOTER_SEARCH_INTERVAL: Micros = 200_000;
/// How often a front with a lease asks another front for new history steps.
const HISTORY_POLL_INTERVAL: Micros = 2_000_000;
/// How often a front without a lease asks another front for new history steps.
const HISTORY_POLL_INTERVAL_WITHOUT_LEASE: Micros = 250_000;
/// An undecided proposal is sent again after this time.
const PROPOSAL_RESEND_INTERVAL: Micros = 400_000;
/// The operator is told that the outcome is unknown after this time.
const PROPOSAL_TIMEOUT: Micros = 10_000_000;
/// Largest proposal, in encoded bytes.
pub const MAX_PROPOSAL_BYTES: usize = 64 * 1024;

/// What identifies this front, and its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrontIdentity {
    /// Name of the front, the same at each start.
    pub name: Name,
    /// Random number drawn for this start; it becomes the disk id if the disk has none.
    pub new_disk_id: u64,
    /// Voters of the first start of the fleet; later ones are in the history.
    pub initial_voters: Vec<Name>,
    /// Lease times.
    pub times: LeaseTimes,
}

/// Contents of messages between fronts.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Body {
    /// Between the voters of this epoch: a message of the consensus crate.
    Consensus(u32, Box<Message<Entry>>),
    /// Between voters: the sender's progress.
    #[serde(rename = "Marks")]
    Progress(VoterProgress),
    /// Asks a front for its voters; the nonce is returned in the reply.
    Hello(u64),
    /// Reply to `Hello`: the nonce, and the voters that the front votes among or knows, if any.
    #[serde(rename = "Here")]
    HelloReply(u64, Option<Voters>),
    /// Asks a voter for a lease, with the history known to the sender; the nonce is returned in the grant.
    #[serde(rename = "Ask")]
    LeaseRequest(u64, KnownHistory),
    /// Grants the lease asked for with this nonce; from the voter of this number.
    #[serde(rename = "Grant")]
    LeaseGrant(u64, u64),
    /// Asks for the history after this position.
    #[serde(rename = "Follow")]
    HistoryRequest(KnownHistory),
    /// The history steps that follow this position and digest.
    Steps(u64, Digest, Vec<Entry>),
    /// The whole history, for a front that is too far behind for single steps.
    #[serde(rename = "Whole")]
    Snapshot(Box<History>),
    /// To a voter: a proposal to append.
    Propose(Proposal),
    /// To a voter: changes of successors to append.
    #[serde(rename = "Succeed")]
    ChangeSuccessors(Vec<SuccessionChange>),
    /// To a voter: the sender's disk asks to replace the lost disk of the voter of the same name.
    #[serde(rename = "Replace")]
    ReplaceDisk,
}

impl Body {
    /// Whether consensus or a lease depends on this message; messages that are repeated regularly do not
    /// count.
    pub fn affects_agreement(&self) -> bool {
        match self {
            Body::Consensus(_, message) => matches!(message.as_ref(), Message::SequencePaxos(_)),
            Body::LeaseGrant(..)
            | Body::Steps(..)
            | Body::Snapshot(_)
            | Body::Propose(_)
            | Body::ChangeSuccessors(_) => true,
            Body::Progress(_)
            | Body::Hello(_)
            | Body::HelloReply(..)
            | Body::LeaseRequest(..)
            | Body::HistoryRequest(_)
            | Body::ReplaceDisk => false,
        }
    }
}

/// A message without its authentication tag.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Envelope {
    /// Sender.
    pub name: Name,
    /// Recipient.
    pub to: Name,
    /// Id of the sender's disk.
    pub disk: u64,
    /// Number of the sender's start on that disk.
    pub start: u64,
    /// Number of the message within that start.
    pub sequence: u64,
    /// Content.
    pub body: Body,
}

/// Inputs of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message arrived.
    Received(Box<Envelope>),
    /// Time has passed.
    Tick,
    /// The fronts in the membership view, without this one.
    View(BTreeSet<Name>),
    /// An operator proposes rules: ticket, base version (the latest if none), author, time (us since 1970),
    /// rules.
    Propose(u64, Option<u64>, String, u64, Rules),
    /// Changes of successors to be agreed on; the caller repeats the request until the history contains them.
    ChangeSuccessors(Vec<SuccessionChange>),
    /// An operator requests these voters; with the ticket.
    ChangeVoters(u64, Vec<Name>),
    /// The store can no longer be written.
    DiskFailed,
}

/// Reply to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The outcome of the proposal. The name is part of the history log.
    Became(ProposalOutcome),
    /// The outcome is not known yet: the proposal may still become a version.
    Unknown,
    /// The request was not proposed, with the reason.
    Refused(String),
    /// The change of voters was proposed.
    Asked,
}

/// Effects to be carried out, and notifications.
#[derive(Clone, Debug)]
pub enum Output {
    /// Write these atomically; flush if any of them [needs it](Write::needs_flush).
    Write(Vec<Write>),
    /// Send this message.
    Send(Box<Envelope>),
    /// The state that this front acts on from now on.
    Coordination(CoordinationState),
    /// The history has advanced: steps, digest, latest version.
    HistoryAdvanced(u64, Digest, u64),
    /// A version became known: its number and rules.
    Version(u64, Arc<Rules>),
    /// Reply to the operator with this ticket.
    Reply(u64, OperatorReply),
    /// This front votes from now on, with this number and among the voters of this epoch; or it stopped
    /// voting.
    Voting(Option<(u64, u32)>),
    /// That front has a history that contradicts this one: one of the two disks was copied or altered.
    HistoryDiverged(Name),
}

/// A proposal whose outcome is not known yet.
#[derive(Clone, Debug)]
struct Open {
    ticket: u64,
    proposal: Proposal,
    since: Micros,
    next: Micros,
}

/// Search for the other voters at the first start of the fleet.
#[derive(Clone, Debug, Default)]
struct Seeking {
    nonce: u64,
    /// Disk ids of the fronts that do not vote yet either.
    empty: BTreeMap<Name, u64>,
    next: Micros,
}

/// One front's part in the agreement.
#[derive(Debug)]
pub struct Accord {
    own: FrontIdentity,
    disk: u64,
    start: u64,
    now: Micros,
    history: History,
    steps: RecentSteps,
    held: HeldLease,
    coordination: CoordinationState,
    journal: Journal,
    voter: Option<Voter>,
    seeking: Seeking,
    sick: bool,
    order: Order,
    sequence: u64,
    nonce: u64,
    peers: BTreeSet<Name>,
    /// Disk ids of the fronts that have asked for a lease since this front started.
    disks: BTreeMap<Name, u64>,
    open: Vec<Open>,
    told: u64,
    wrote: u64,
    next_ask: Micros,
    next_follow: Micros,
    next_replace: Micros,
    next_marks: Micros,
    turn: usize,
}

impl Accord {
    /// Starts a front on this image. Outputs are added to `out`.
    pub fn new(own: FrontIdentity, image: Image, now: Micros, out: &mut Vec<Output>) -> Accord {
        let (disk, start) = image.identity.map_or((own.new_disk_id, 1), |(disk, starts)| (disk, starts + 1));
        let journal = Journal::default();
        // Danger: a front that announces its disk id only after it has voted appears as a different disk to
        // those that asked before. The id is therefore written first.
        journal.push(Write::Identity(disk, start));
        let history = image.history.map(|history| history.as_ref().clone()).unwrap_or_default();
        let coordination = CoordinationState {
            begun: 0,
            latest: 0,
            lease_until: 0,
            grace_until: if own.times.refuse_without_lease { 0 } else { Micros::MAX },
            agreed: Arc::default(),
            meet: Arc::default(),
            successors: Arc::default(),
        };
        let vote = image.vote.filter(|vote| vote.voters.epoch >= history.voters.epoch);
        let voter =
            vote.and_then(|vote| Voter::start(vote, journal.clone(), GrantedLeases::new(now, &own.times)));
        let mut accord = Accord {
            steps: RecentSteps::new(&history),
            history,
            own,
            disk,
            start,
            now,
            held: HeldLease::default(),
            coordination,
            journal,
            voter,
            seeking: Seeking::default(),
            sick: false,
            order: Order::default(),
            sequence: 0,
            nonce: start << 40,
            peers: BTreeSet::new(),
            disks: BTreeMap::new(),
            open: Vec::new(),
            told: 0,
            wrote: 0,
            next_ask: now,
            next_follow: now,
            next_replace: now,
            next_marks: now,
            turn: 0,
        };
        let position = accord.history.position;
        accord.held.follow(&accord.history.voters);
        accord.tell_versions(0, out);
        if position > 0 {
            out.push(Output::HistoryAdvanced(position, accord.history.digest, accord.history.latest));
        }
        if let Some(voter) = &accord.voter {
            let epoch = voter.voters().epoch;
            out.extend(
                voter.voters().number(&accord.own.name).map(|number| Output::Voting(Some((number, epoch)))),
            );
        }
        accord.handle(now, Input::Tick, out);
        accord
    }

    /// The history known to this front.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The state that this front acts on.
    pub fn coordination(&self) -> &CoordinationState {
        &self.coordination
    }

    /// The voter of this front, if it votes.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// When [`Accord::handle`] has to be called again.
    pub fn next_due(&self) -> Micros {
        let voter = self.voter.as_ref().map_or(Micros::MAX, Voter::next_due);
        voter.min(self.next_ask).min(self.next_follow).max(self.now + 1).min(self.now + TICK * 4)
    }

    /// Processes one input; outputs are added to `out`, in order.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let mut then = Vec::new();
        match input {
            Input::Received(envelope) => self.heard(*envelope, &mut then),
            Input::Tick => {}
            Input::View(peers) => self.peers = peers,
            Input::Propose(ticket, base, by, at, rules) => {
                self.propose(ticket, base, by, at, rules, &mut then)
            }
            Input::ChangeSuccessors(changes) => self.succeed(changes, &mut then),
            Input::ChangeVoters(ticket, names) => self.change_voters(ticket, &names, &mut then),
            Input::DiskFailed => {
                self.sick = true;
                self.stop_voting(&mut then);
                self.journal.take();
            }
        }
        self.tick(&mut then);
        self.take_decided(&mut then);
        self.say(&mut then);
        self.settle(&mut then);
        if !self.sick {
            let writes = self.journal.take();
            if !writes.is_empty() {
                out.push(Output::Write(writes));
            }
        }
        out.append(&mut then);
    }

    // ---- Messages ----

    fn heard(&mut self, envelope: Envelope, out: &mut Vec<Output>) {
        let Envelope { name, to, disk, start, sequence, body } = envelope;
        if to != self.own.name || name == self.own.name || !self.order.next(&name, disk, start, sequence) {
            return;
        }
        match body {
            Body::Consensus(epoch, message) => {
                let Some(voter) = self.voter.as_mut().filter(|voter| voter.voters().epoch == epoch) else {
                    return;
                };
                // Danger: a disk that took over another's name would speak for votes that it never cast.
                let seat = Seat { name, disk };
                let sender = match message.as_ref() {
                    Message::SequencePaxos(paxos) => paxos.from,
                    Message::BLE(ballots) => ballots.from,
                };
                if voter.voters().seats.get(&sender) == Some(&seat) {
                    voter.hear(*message);
                }
            }
            Body::Progress(marks) => {
                let Some(voter) = &mut self.voter else { return };
                if let Some(number) = voter.voters().number_of(&Seat { name, disk }) {
                    voter.marks(self.now, number, marks);
                }
            }
            Body::Hello(nonce) => {
                let votes = self.voter.as_ref().map(|voter| voter.voters().clone());
                let known = (self.history.voters.epoch > 0).then(|| self.history.voters.clone());
                self.send(&name, Body::HelloReply(nonce, votes.or(known)), out);
            }
            Body::HelloReply(nonce, voters) => self.found(name, disk, nonce, voters, out),
            Body::LeaseRequest(nonce, has) => {
                self.disks.insert(Name::clone(&name), disk);
                self.asked(&name, nonce, &has, out);
            }
            Body::LeaseGrant(nonce, number) => self.held.granted(number, nonce, &self.own.times),
            Body::HistoryRequest(has) => self.catch_up(&name, &has, out),
            Body::Steps(position, digest, steps) => {
                if position == self.history.position && digest == self.history.digest {
                    steps.into_iter().for_each(|step| self.take(step, out));
                    // A lease is refused to a front that lacks steps, so it asks again as soon as it has
                    // them.
                    self.next_ask = self.next_ask.min(self.now);
                }
            }
            Body::Snapshot(history) => self.whole(&name, *history, out),
            Body::Propose(proposal) => {
                let known = self.history.outcome(proposal.id).is_some();
                if let Some(voter) = self.voter.as_mut().filter(|_| !known) {
                    voter.propose(proposal);
                }
            }
            Body::ChangeSuccessors(changes) => self.succeed_here(changes),
            Body::ReplaceDisk => {
                if let Some(voter) = &mut self.voter {
                    voter.replace(Seat { name, disk });
                }
            }
        }
    }

    /// Answers a request for a lease.
    fn asked(&mut self, name: &Name, nonce: u64, has: &KnownHistory, out: &mut Vec<Output>) {
        self.catch_up(name, has, out);
        let Some(voter) = &mut self.voter else { return };
        if voter.grant(self.now, name, has, &self.history, &self.own.times) {
            if let Some(number) = voter.voters().number(&self.own.name) {
                self.send(name, Body::LeaseGrant(nonce, number), out);
            }
        }
    }

    /// Sends a front the part of the history that it lacks.
    fn catch_up(&mut self, name: &Name, has: &KnownHistory, out: &mut Vec<Output>) {
        if has.position >= self.history.position {
            return;
        }
        let body = match self.steps.after(has.position, &has.digest) {
            Some(steps) => Body::Steps(has.position, has.digest, steps),
            None => Body::Snapshot(Box::new(self.history.clone())),
        };
        self.send(name, body, out);
    }

    fn whole(&mut self, from: &Name, history: History, out: &mut Vec<Output>) {
        if self.history.diverged_from(&history) {
            out.push(Output::HistoryDiverged(Name::clone(from)));
            return;
        }
        // Danger: an older history would revoke a refusal that other fronts already apply.
        if history.position > self.history.position {
            self.replace_history(history, out);
            self.next_ask = self.next_ask.min(self.now);
        }
    }

    fn replace_history(&mut self, history: History, out: &mut Vec<Output>) {
        let before = self.history.latest;
        self.history = history;
        self.steps = RecentSteps::new(&self.history);
        self.tell_versions(before, out);
        out.push(Output::HistoryAdvanced(self.history.position, self.history.digest, self.history.latest));
        self.revote(out);
    }

    fn take(&mut self, step: Entry, out: &mut Vec<Output>) {
        let before = self.history.latest;
        self.pass_on(&step, out);
        self.history.apply(&step);
        let voters = matches!(step, Entry::Voters(_));
        self.steps.push(step, &self.history);
        self.tell_versions(before, out);
        out.push(Output::HistoryAdvanced(self.history.position, self.history.digest, self.history.latest));
        if voters {
            self.revote(out);
        }
    }

    /// The leader sends a new step to the holders of leases at once, before they ask.
    fn pass_on(&mut self, step: &Entry, out: &mut Vec<Output>) {
        let Some(voter) = self.voter.as_ref().filter(|voter| voter.leads()) else { return };
        let others = voter.holders().map(|(name, _)| name).filter(|name| **name != self.own.name);
        let holders: Vec<Name> = others.cloned().collect();
        for name in holders {
            let body = Body::Steps(self.history.position, self.history.digest, vec![step.clone()]);
            self.send(&name, body, out);
        }
    }

    fn tell_versions(&self, before: u64, out: &mut Vec<Output>) {
        for (number, version) in self.history.versions.range(before + 1..) {
            out.push(Output::Version(*number, Arc::clone(&version.rules)));
        }
    }

    // ---- Voting ----

    fn stop_voting(&mut self, out: &mut Vec<Output>) {
        if self.voter.take().is_some() {
            out.push(Output::Voting(None));
        }
    }

    /// Starts or stops voting after the history has changed the voters.
    fn revote(&mut self, out: &mut Vec<Output>) {
        let voters = &self.history.voters;
        self.held.follow(voters);
        if self.voter.as_ref().is_some_and(|voter| voter.voters().epoch >= voters.epoch) {
            return;
        }
        let own = Seat { name: Name::clone(&self.own.name), disk: self.disk };
        let number = voters.number_of(&own);
        // If the voters stay the same, their granted leases are kept; with other voters, this voter may be
        // the only one that knows of them.
        let same = |voter: &Voter| voter.voters().seats == self.history.voters.seats;
        let kept = self.voter.take_if(|voter| same(voter)).map(Voter::into_granting);
        self.stop_voting(out);
        let Some(number) = number.filter(|_| !self.sick) else { return };
        let vote = VoterState::new(number, &self.history);
        let told = (vote.number, vote.voters.epoch);
        // The log that starts here continues this history.
        self.journal.push(Write::History(Arc::new(self.history.clone())));
        self.journal.push(Write::Voter(Box::new(vote.clone())));
        let granting = kept.unwrap_or_else(|| GrantedLeases::new(self.now, &self.own.times));
        self.voter = Voter::start(vote, self.journal.clone(), granting);
        out.push(Output::Voting(self.voter.as_ref().map(|_| told)));
    }

    /// Handles the reply of a front to `Hello`.
    fn found(&mut self, name: Name, disk: u64, nonce: u64, voters: Option<Voters>, out: &mut Vec<Output>) {
        if nonce != self.seeking.nonce || self.voter.is_some() || self.history.voters.epoch > 0 {
            return;
        }
        match voters {
            // The front sends its history on request; the history tells whether this disk votes.
            Some(_) => {
                self.seeking.empty.clear();
                self.next_follow = self.now;
                let has = self.has();
                self.send(&name, Body::HistoryRequest(has), out);
            }
            None => {
                self.seeking.empty.insert(name, disk);
                self.begin_first(out);
            }
        }
    }

    /// Starts the first vote once all voters of the settings have answered and none of them has voted before.
    /// Danger: if one is missing, it may hold a history that the others would start a second time.
    fn begin_first(&mut self, out: &mut Vec<Output>) {
        let own = (&self.own.name, &self.disk);
        let all: BTreeMap<&Name, &u64> = self.seeking.empty.iter().chain([own]).collect();
        if !self.own.initial_voters.contains(&self.own.name)
            || !self.own.initial_voters.iter().all(|name| all.contains_key(name))
        {
            return;
        }
        let seat = |name: &Name| Seat { name: Name::clone(name), disk: *all[name] };
        let mut seats: Vec<Seat> = self.own.initial_voters.iter().map(seat).collect();
        seats.sort();
        let first = Voters::default().next(&seats);
        self.take(Entry::Voters(first), out);
    }

    fn change_voters(&mut self, ticket: u64, names: &[Name], out: &mut Vec<Output>) {
        let told = |why: &str| OperatorReply::Refused(why.to_owned());
        let answer = match &mut self.voter {
            Some(voter) if voter.leads() => {
                let current = voter.voters();
                let kept = |name: &Name| current.seats.values().find(|seat| seat.name == *name).cloned();
                let own = Seat { name: Name::clone(&self.own.name), disk: self.disk };
                let fresh = |name: &Name| {
                    self.disks.get(name).map(|disk| Seat { name: Name::clone(name), disk: *disk })
                };
                let seat = |name: &Name| {
                    kept(name).or_else(|| fresh(name)).or((own.name == *name).then(|| own.clone()))
                };
                let seats: Option<Vec<Seat>> = names.iter().map(seat).collect();
                match seats {
                    None => told("not all of these fronts have asked for a lease lately"),
                    Some(seats) if ![3, 5, 7].contains(&seats.len()) => told("there are 3, 5 or 7 voters"),
                    Some(seats) => {
                        let next = current.next(&seats);
                        if voter.change(&next) {
                            OperatorReply::Asked
                        } else {
                            told("the voters are changing already")
                        }
                    }
                }
            }
            Some(voter) => {
                let leader = voter.leader().and_then(|number| voter.voters().seats.get(&number));
                told(&leader.map_or("no voter leads at present".to_owned(), |seat| {
                    format!("ask {}, which leads", seat.name)
                }))
            }
            None => told("this front is no voter: ask one"),
        };
        out.push(Output::Reply(ticket, answer));
    }

    fn take_decided(&mut self, out: &mut Vec<Output>) {
        let Some(voter) = &mut self.voter else { return };
        for (at, step) in voter.decided() {
            // Steps already received from other fronts are skipped.
            if at == self.history.position {
                self.take(step, out);
            }
        }
        if let Some(voter) = &mut self.voter {
            voter.logged(&self.history);
        }
    }

    // ---- Timers ----

    fn has(&self) -> KnownHistory {
        let History { position, digest, latest, voters, .. } = &self.history;
        KnownHistory { epoch: voters.epoch, position: *position, digest: *digest, version: *latest }
    }

    fn tick(&mut self, out: &mut Vec<Output>) {
        self.seek(out);
        if let Some(voter) = &mut self.voter {
            voter.tick(self.now, &self.history);
        }
        if self.now >= self.next_ask {
            self.next_ask = self.now + self.own.times.renew_interval;
            self.ask(out);
        }
        if self.now >= self.next_follow {
            let leased = self.now < self.coordination.lease_until;
            self.next_follow =
                self.now + if leased { HISTORY_POLL_INTERVAL } else { HISTORY_POLL_INTERVAL_WITHOUT_LEASE };
            self.turn += 1;
            let peer = self.peers.iter().nth(self.turn % self.peers.len().max(1)).cloned();
            if let Some(peer) = peer {
                let has = self.has();
                self.send(&peer, Body::HistoryRequest(has), out);
            }
        }
        self.propose_again(out);
    }

    /// Looks for the other voters, or asks to vote in place of a lost disk.
    fn seek(&mut self, out: &mut Vec<Output>) {
        if self.voter.is_some() || self.sick {
            return;
        }
        let voters = &self.history.voters;
        if voters.epoch > 0 {
            let lost = voters.number(&self.own.name).is_some();
            if lost && self.now >= self.next_replace {
                self.next_replace = self.now + 2 * VOTER_SEARCH_INTERVAL;
                for name in self.voters() {
                    self.send(&name, Body::ReplaceDisk, out);
                }
            }
            return;
        }
        if self.own.initial_voters.contains(&self.own.name) && self.now >= self.seeking.next {
            self.nonce += 1;
            self.seeking =
                Seeking { nonce: self.nonce, empty: BTreeMap::new(), next: self.now + VOTER_SEARCH_INTERVAL };
            for name in self.voters() {
                self.send(&name, Body::Hello(self.nonce), out);
            }
        }
    }

    /// The known voters, without this front.
    fn voters(&self) -> Vec<Name> {
        let known: Vec<Name> = match self.history.voters.epoch {
            0 => self.own.initial_voters.clone(),
            _ => self.history.voters.seats.values().map(|seat| Name::clone(&seat.name)).collect(),
        };
        known.into_iter().filter(|name| *name != self.own.name).collect()
    }

    /// Asks every voter for a lease, including this front's own.
    fn ask(&mut self, out: &mut Vec<Output>) {
        let has = self.has();
        let seats: Vec<(u64, Name)> = self
            .history
            .voters
            .seats
            .iter()
            .map(|(number, seat)| (*number, Name::clone(&seat.name)))
            .collect();
        for (number, name) in seats {
            self.nonce += 1;
            self.held.asks(self.now, number, self.nonce, &self.own.times);
            if name != self.own.name {
                self.send(&name, Body::LeaseRequest(self.nonce, has), out);
                continue;
            }
            let Some(voter) = &mut self.voter else { continue };
            if voter.grant(self.now, &name, &has, &self.history, &self.own.times) {
                self.held.granted(number, self.nonce, &self.own.times);
            }
        }
        if has.epoch == 0 {
            for name in self.voters() {
                self.send(&name, Body::HistoryRequest(has), out);
            }
        }
    }

    // ---- Proposals ----

    fn propose(
        &mut self,
        ticket: u64,
        base: Option<u64>,
        by: String,
        at: u64,
        rules: Rules,
        out: &mut Vec<Output>,
    ) {
        self.nonce += 1;
        // Unique across fronts, because it contains the disk id.
        let id = self.disk.rotate_left(17) ^ self.nonce.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let rules = Arc::new(rules.normalized());
        let proposal = Proposal { id, base: base.unwrap_or(self.history.latest), by, at, rules };
        let size = postcard::to_allocvec(&proposal).map_or(usize::MAX, |bytes| bytes.len());
        if size > MAX_PROPOSAL_BYTES {
            let why = format!("{size} bytes; a proposal has at most {MAX_PROPOSAL_BYTES}");
            out.push(Output::Reply(ticket, OperatorReply::Refused(why)));
            return;
        }
        self.open.push(Open { ticket, proposal, since: self.now, next: self.now });
        self.propose_again(out);
    }

    fn propose_again(&mut self, out: &mut Vec<Output>) {
        let (now, mut due) = (self.now, Vec::new());
        for open in &mut self.open {
            if open.next <= now {
                open.next = now + PROPOSAL_RESEND_INTERVAL;
                due.push(open.proposal.clone());
            }
        }
        for proposal in due {
            let voters = self.voters();
            match &mut self.voter {
                Some(voter) => voter.propose(proposal),
                None if voters.is_empty() => {}
                None => {
                    self.turn += 1;
                    let to = Name::clone(&voters[self.turn % voters.len()]);
                    self.send(&to, Body::Propose(proposal), out);
                }
            }
        }
        let (history, mut told) = (&self.history, Vec::new());
        self.open.retain(|open| {
            let answer = match history.outcome(open.proposal.id) {
                Some(became) => OperatorReply::Became(became),
                None if open.since + PROPOSAL_TIMEOUT <= now => OperatorReply::Unknown,
                None => return true,
            };
            told.push(Output::Reply(open.ticket, answer));
            false
        });
        out.append(&mut told);
    }

    // ---- Successors ----

    fn succeed(&mut self, mut changes: Vec<SuccessionChange>, out: &mut Vec<Output>) {
        changes.retain(|change| self.history.successors.would_change(change));
        let voters = self.voters();
        if changes.is_empty() || self.voter.is_none() && voters.is_empty() {
            return;
        }
        if self.voter.is_some() {
            return self.succeed_here(changes);
        }
        self.turn += 1;
        let to = Name::clone(&voters[self.turn % voters.len()]);
        self.send(&to, Body::ChangeSuccessors(changes), out);
    }

    fn succeed_here(&mut self, mut changes: Vec<SuccessionChange>) {
        changes.retain(|change| self.history.successors.would_change(change));
        if let Some(voter) = self.voter.as_mut().filter(|_| !changes.is_empty()) {
            voter.succeed(changes);
        }
    }

    // ---- Outputs ----

    fn send(&mut self, to: &Name, body: Body, out: &mut Vec<Output>) {
        self.sequence += 1;
        let (name, to) = (Name::clone(&self.own.name), Name::clone(to));
        let (disk, start, sequence) = (self.disk, self.start, self.sequence);
        out.push(Output::Send(Box::new(Envelope { name, to, disk, start, sequence, body })));
    }

    /// Sends the messages of the voter, and its progress.
    fn say(&mut self, out: &mut Vec<Output>) {
        let Some(voter) = &mut self.voter else { return };
        let epoch = voter.voters().epoch;
        let name =
            |voter: &Voter, number| voter.voters().seats.get(&number).map(|seat| Name::clone(&seat.name));
        let said = voter.say();
        let said: Vec<(Option<Name>, Message<Entry>)> =
            said.into_iter().map(|(number, message)| (name(voter, number), message)).collect();
        let marks = (self.now >= self.next_marks).then(|| voter.own_marks(self.now));
        for (to, message) in said {
            if let Some(to) = to {
                self.send(&to, Body::Consensus(epoch, Box::new(message)), out);
            }
        }
        if let Some(marks) = marks {
            self.next_marks = self.now + 2 * TICK;
            for name in self.voters() {
                self.send(&name, Body::Progress(marks), out);
            }
        }
    }

    /// Updates the coordination state, and reports it if it has changed.
    fn settle(&mut self, out: &mut Vec<Output>) {
        // A voter's history is in its log.
        if self.voter.is_none() && self.history.position > self.wrote {
            self.wrote = self.history.position;
            self.journal.push(Write::History(Arc::new(self.history.clone())));
        }
        let until = match self.history.voters.epoch {
            0 => 0,
            _ => self.held.until(self.history.voters.majority()),
        };
        let times = &self.own.times;
        // A change of voters clears the lease; the grace period counts from the end of that lease.
        let ends = if until > 0 { until + times.grace } else { 0 };
        let alone =
            if times.refuse_without_lease { self.coordination.grace_until.max(ends) } else { Micros::MAX };
        let proposed = self.voter.as_ref().map(Voter::proposed).unwrap_or_default();
        let proposed = proposed.iter().chain(self.open.iter().map(|open| &open.proposal));
        let heard: Vec<Arc<Rules>> = proposed.map(|proposal| Arc::clone(&proposal.rules)).collect();
        let changed = (self.history.position, heard.len() as u64);
        let mut coordination =
            CoordinationState { lease_until: until, grace_until: alone, ..self.coordination.clone() };
        if changed.0 + (changed.1 << 48) != self.told || self.coordination.latest != self.history.latest {
            self.told = changed.0 + (changed.1 << 48);
            (coordination.begun, coordination.latest) = (self.history.begun, self.history.latest);
            let agreed = self.history.meet();
            coordination.meet = Arc::new(heard.iter().fold(agreed.clone(), |meet, rules| meet.meet(rules)));
            coordination.agreed = Arc::new(agreed);
            coordination.successors = Arc::clone(&self.history.successors);
        }
        if coordination != self.coordination {
            self.coordination = coordination.clone();
            out.push(Output::Coordination(coordination));
        }
    }
}

#[cfg(test)]
mod tests;
