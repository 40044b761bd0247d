//! The membership protocol as a state machine without I/O, clock or thread: it takes inputs and returns the messages to
//! send and the events to report.
//!
//! [`Members::handle`] takes the time (of a monotonic clock of this process) and one [`Input`]; [`Members::next_due`]
//! tells when it must be called again. If the call comes much later than that, the process was not running in between
//! ([`pauses`]).
//!
//! - [`mod@self`]: how a front joins and leaves the view, and how it handles each message.
//! - [`view`]: numbered views, kept as a state-based CRDT.
//! - [`detector`]: which fronts this front reaches; [`observe`]: which fronts all others reach, and which to remove.
//! - [`gossip`]: dissemination; [`replay`]: replay protection; [`pauses`]: detection of pauses of this process.

pub mod detector;
pub mod gossip;
pub mod observe;
pub mod pauses;
pub mod replay;
pub mod view;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use detector::Detector;
use gossip::{Gossip, Updates, MAX_UPDATE_BYTES};
use observe::{CutDetector, CutTimes, Observations, Row, RowNovelty};
use pauses::PauseDetector;
use replay::Replay;
use view::{Fact, Name, View, BUCKETS};

/// A time or duration in microseconds.
pub type Micros = u64;

/// Timing of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Interval at which each observer pings a front that answers.
    pub ping_interval: Micros,
    /// Interval at which an observer pings a front that hasn't answered its last pings.
    pub unanswered_ping_interval: Micros,
    /// Minimum time without an answer before an observer accuses a front.
    pub min_silence: Micros,
    /// Time for which more than half of all members must accuse a front before it is removed; fifteen times as long
    /// while they are only just more than half.
    pub confirm_time: Micros,
    /// Maximum time that removals wait for other accused fronts, so that removals with one cause happen in one step.
    pub settle_time: Micros,
    /// How long a front that probes another because of others' accusations goes on probing it.
    pub poll_duration: Micros,
    /// Rows that aren't renewed for this long accuse nobody.
    pub row_lifetime: Micros,
    /// Time after which a front that is a seed itself and knows of no other member starts a view alone.
    pub bootstrap_delay: Micros,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            ping_interval: 400_000,
            unanswered_ping_interval: 60_000,
            min_silence: 1_000_000,
            confirm_time: 100_000,
            settle_time: 400_000,
            poll_duration: 3_000_000,
            row_lifetime: 1_600_000,
            bootstrap_delay: 1_500_000,
        }
    }
}

/// Configuration of the local front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalConfig {
    /// Name of the front, the same at each start.
    pub name: Name,
    /// Address at which other fronts reach it.
    pub address: SocketAddr,
    /// Zone of the front.
    pub zone: u32,
    /// Address at which players reach it, if it serves any.
    pub serves: Option<SocketAddr>,
    /// Identifies this start of the process; drawn anew at each start.
    pub boot: u64,
    /// Addresses of fronts to contact while joining.
    pub seeds: Vec<SocketAddr>,
    /// Number of observers of each front.
    pub observers: usize,
    /// Timing of the protocol.
    pub times: Times,
}

/// Interval between two runs of the periodic work.
const TICK_INTERVAL: Micros = 50_000;
/// Interval at which a joining front asks a seed for the view.
const JOIN_INTERVAL: Micros = 200_000;
/// Number of random members of which at least half must answer before a front joins, since a front that doesn't reach
/// them would be removed again. Together with the front itself that is a majority, so that two of three fronts can form
/// a view again while the third is down.
const SAMPLE_SIZE: usize = 8;
/// Maximum age of an answer of a sampled member.
const SAMPLE_ANSWER_MAX_AGE: Micros = 1_500_000;
/// Time after which a sample that hasn't answered is replaced.
const SAMPLE_LIFETIME: Micros = 4_000_000;
/// Interval at which a front that isn't in the view is contacted, one at a time: one from the other side of a network
/// split, or a seed. Reports of a name conflict are limited to the same rate.
const OUTSIDER_CONTACT_INTERVAL: Micros = 1_000_000;
/// Minimum interval between two comparisons of views.
const COMPARE_INTERVAL: Micros = 250_000;
/// Interval at which a row that accuses somebody is renewed, and for a while also one that no longer does.
const ROW_RENEWAL_INTERVAL: Micros = 500_000;
/// Maximum number of messages with facts in answer to one comparison; the next comparison brings the rest.
const MAX_FACTS_MESSAGES: usize = 12;
/// Accepted probability, as a power of ten, that a majority of all members accuses a front by chance at the same time.
const CHANCE_MAJORITY_LOG10: f64 = -12.0;

/// Content of a message between fronts.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Body {
    /// Probe; the pong returns its number.
    Ping(u64, Updates),
    /// Answer to a ping.
    Pong(u64, Updates),
    /// Updates without a ping or pong.
    Gossip(Updates),
    /// Digests of the sender's view, by bucket; requests the facts that differ.
    Compare([u32; BUCKETS]),
    /// Facts that differ between two views.
    Facts(Vec<Fact>),
    /// An operator's request for a page of this front's status.
    Show(u32),
    /// Answer to `Show`: page number, number of pages, and the page.
    Shown(u32, u32, String),
}

/// A message between fronts, without its authentication tag.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Envelope {
    /// Name of the sender.
    pub name: Name,
    /// Which start of the sender's process it is from.
    pub boot: u64,
    /// Sequence number of the datagram within this start.
    pub sequence: u64,
    /// Number of the sender's view.
    pub view: u64,
    /// Digest of the sender's view.
    pub digest: u64,
    /// Content.
    pub body: Body,
}

/// Input to the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A message was received, with the address of its sender.
    Received(SocketAddr, Box<Envelope>),
    /// Periodic work may be due.
    Tick,
    /// The process shuts down and leaves the view.
    Leave,
}

/// Relation of the local front to the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// It looks for others, or was removed and joins again.
    Joining,
    /// It is a member.
    In,
    /// It has left.
    Left,
    /// Another process has taken its name.
    Displaced,
}

/// Why a member was removed from the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RemovalReason {
    /// By this front's own count, more than half of all members could not reach it.
    Unreached,
    /// Other fronts reported that it left or was removed.
    Told,
}

/// A change of the view at this front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The new number of the view.
    pub number: u64,
    /// The new digest of the view.
    pub digest: u64,
    /// The new members of the view.
    pub members: Vec<Name>,
    /// Members that have joined, including those that have rejoined under the same name.
    pub joined: Vec<Name>,
    /// Members that were removed, with the reason.
    pub gone: Vec<(Name, RemovalReason)>,
}

/// Output of the state machine: a message to send, or an event to report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to an address.
    Send(SocketAddr, Box<Envelope>),
    /// The view has changed.
    View(Change),
    /// This front's stage has changed.
    StageChanged(Stage),
    /// This front can't reach another any more (true), or reaches it again (false).
    AccusationChanged(Name, bool),
    /// The process was not running for this long.
    Paused(Micros),
    /// Another process uses this front's name, at this address.
    NameInUse(SocketAddr),
}

/// Numbers of received messages that were ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Ignored {
    /// Replayed, or too old to tell.
    pub replayed: u64,
    /// Sent under this front's own name.
    pub own: u64,
}

/// The membership state machine of one front.
#[derive(Clone, Debug)]
pub struct Members {
    config: LocalConfig,
    rng: Pcg32,
    now: Micros,
    view: View,
    stage: Stage,
    stage_since: Micros,
    detector: Detector,
    observations: Observations,
    cut_detector: CutDetector,
    gossip: Gossip,
    pauses: PauseDetector,
    replay: Replay,
    ignored: Ignored,
    sequence: u64,
    nonce: u64,
    own_row: Row,
    own_row_at: Micros,
    /// When the process last resumed after a pause.
    resumed_at: Option<Micros>,
    /// When this front last accused another.
    last_accusation_at: Micros,
    next_tick: Micros,
    next_join: Micros,
    next_outsider_contact: Micros,
    next_compare: Micros,
    next_seed: usize,
    /// When the members to probe before joining were drawn, and their names.
    join_sample: (Micros, Vec<Name>),
    /// Names and counts of the members in the last reported view.
    reported_members: BTreeMap<Name, u32>,
    reported_digest: u64,
    /// Members removed by this front's own count since the last report.
    removed_here: Vec<Name>,
    /// When another process with this front's name was last reported.
    name_conflict_reported_at: Option<Micros>,
}

impl Members {
    /// Creates the state of a front that knows no other yet.
    pub fn new(config: LocalConfig, now: Micros) -> Members {
        let rng = Pcg32::seed_from_u64(config.boot);
        Members {
            rng,
            now,
            view: View::default(),
            stage: Stage::Joining,
            stage_since: now,
            detector: Detector::default(),
            observations: Observations::default(),
            cut_detector: CutDetector::default(),
            gossip: Gossip::default(),
            pauses: PauseDetector::new(),
            replay: Replay::default(),
            ignored: Ignored::default(),
            sequence: 0,
            nonce: config.boot,
            own_row: Row { by: 0, version: 0, accused: Vec::new() },
            own_row_at: now,
            resumed_at: None,
            last_accusation_at: 0,
            next_tick: now,
            next_join: now,
            next_outsider_contact: now + OUTSIDER_CONTACT_INTERVAL,
            next_compare: now,
            next_seed: 0,
            join_sample: (0, Vec::new()),
            reported_members: BTreeMap::new(),
            reported_digest: 0,
            removed_here: Vec::new(),
            name_conflict_reported_at: None,
            config,
        }
    }

    /// The current view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The stage of this front.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Total time that the process was not running, and the number of pauses.
    pub fn paused(&self) -> (Micros, u64) {
        self.pauses.total()
    }

    /// Numbers of received messages that were ignored.
    pub fn ignored(&self) -> Ignored {
        Ignored { replayed: self.replay.stale, ..self.ignored }
    }

    /// When [`Members::handle`] must be called again.
    pub fn next_due(&self) -> Micros {
        self.next_tick
    }

    /// Handles one input and appends the resulting outputs to `out`, in order.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if let Some(pause) = self.pauses.check(self.now) {
            self.detector.reset_after_pause(self.now);
            self.observations.reset_after_pause();
            self.cut_detector.reset_after_pause();
            self.resumed_at = Some(self.now);
            out.push(Output::Paused(pause));
        }
        match input {
            Input::Received(from, envelope) => self.receive(from, *envelope, out),
            Input::Tick => {}
            Input::Leave => self.leave(out),
        }
        if self.now >= self.next_tick {
            match self.stage {
                Stage::Left | Stage::Displaced => self.next_tick = self.now + OUTSIDER_CONTACT_INTERVAL,
                Stage::Joining | Stage::In => self.tick(out),
            }
        }
        self.pauses.expect_call_at(self.next_tick);
        self.report_view_change(out);
    }

    // ---- Received messages ----

    fn receive(&mut self, from: SocketAddr, envelope: Envelope, out: &mut Vec<Output>) {
        let Envelope { name, boot, sequence, digest, body, .. } = envelope;
        if name == self.config.name && boot != self.config.boot {
            if self.name_conflict_reported_at.is_none_or(|at| at + OUTSIDER_CONTACT_INTERVAL <= self.now)
                && from != self.config.address
            {
                self.name_conflict_reported_at = Some(self.now);
                out.push(Output::NameInUse(from));
            }
            self.ignored.own += 1;
        }
        if (&name, boot) == (&self.config.name, self.config.boot)
            || !self.replay.accept(&name, boot, sequence)
        {
            return;
        }
        match body {
            Body::Ping(nonce, updates) => {
                self.merge_updates(&updates);
                if matches!(self.stage, Stage::Joining | Stage::In) {
                    let updates = self.take_updates();
                    self.send(from, Body::Pong(nonce, updates), out);
                }
            }
            Body::Pong(nonce, updates) => {
                // Danger: if a whole fleet restarts within the time of one join, each front knows only the previous
                // starts of the others, and none would count as reached. A joining front accepts the pong of any start.
                let any_start = self.stage == Stage::Joining;
                self.detector.receive_pong(self.now, &name, boot, nonce, any_start);
                self.merge_updates(&updates);
            }
            Body::Gossip(updates) => self.merge_updates(&updates),
            Body::Compare(theirs) => self.send_differing_facts(from, &theirs, out),
            Body::Facts(facts) => facts.iter().for_each(|fact| self.merge_fact(fact)),
            Body::Show(page) => {
                let pages = self.status_pages();
                let text = pages.get(page as usize).cloned().unwrap_or_default();
                self.send(from, Body::Shown(page, pages.len() as u32, text), out);
                return;
            }
            Body::Shown(..) => return,
        }
        if digest != self.view.digest() && self.now >= self.next_compare && digest != 0 {
            self.next_compare = self.now + COMPARE_INTERVAL;
            self.send(from, Body::Compare(self.view.buckets()), out);
        }
        self.check_own_entry(out);
    }

    fn merge_updates(&mut self, updates: &Updates) {
        updates.facts.iter().for_each(|fact| self.merge_fact(fact));
        for row in updates.each_row() {
            // Danger: rows of a removed incarnation, dropped here and received again from another front, would count as
            // new for ever and fill every message.
            if row.by == self.own_row.by || !self.view.has_short_id(row.by) {
                continue;
            }
            match self.observations.store(self.now, &row) {
                RowNovelty::Known => {}
                novelty => self.gossip.queue_row(row.by, self.view.len(), novelty == RowNovelty::Renewed),
            }
        }
    }

    fn merge_fact(&mut self, fact: &Fact) {
        if self.view.merge(fact) {
            self.gossip.queue_fact(&fact.name, self.view.len());
        }
    }

    fn send_differing_facts(&mut self, to: SocketAddr, theirs: &[u32; BUCKETS], out: &mut Vec<Output>) {
        let (mut facts, mut bytes_left, mut sent) = (Vec::new(), MAX_UPDATE_BYTES, 0);
        for fact in self.view.differing(theirs) {
            if gossip::max_encoded_size(&fact) > bytes_left {
                self.send(to, Body::Facts(std::mem::take(&mut facts)), out);
                (bytes_left, sent) = (MAX_UPDATE_BYTES, sent + 1);
                if sent == MAX_FACTS_MESSAGES {
                    return;
                }
            }
            bytes_left -= gossip::max_encoded_size(&fact);
            facts.push(fact);
        }
        if !facts.is_empty() {
            self.send(to, Body::Facts(facts), out);
        }
    }

    /// Adapts the stage to this front's own entry in the view. Danger: a front that was removed while it was stopped
    /// would continue as a member; here it learns of the removal with the first message, and joins as a new incarnation.
    fn check_own_entry(&mut self, out: &mut Vec<Output>) {
        if self.stage != Stage::In {
            return;
        }
        let own = self.view.get(&self.config.name);
        match own {
            Some(fact) if fact.is_member() && fact.boot == self.config.boot => {}
            Some(fact) if fact.is_member() && fact.address != self.config.address => {
                self.set_stage(Stage::Displaced, out);
            }
            _ => self.set_stage(Stage::Joining, out),
        }
    }

    // ---- Periodic work ----

    fn tick(&mut self, out: &mut Vec<Output>) {
        self.next_tick = self.now + TICK_INTERVAL;
        if self.stage == Stage::Joining {
            self.try_join(out);
        }
        self.probe(out);
        self.publish_own_row(out);
        self.remove_unreachable(out);
        if self.now >= self.next_outsider_contact {
            self.next_outsider_contact = self.now + OUTSIDER_CONTACT_INTERVAL;
            self.contact_outsider(out);
        }
        if self.gossip.take_standalone_round() {
            for _ in 0..2 {
                let Some(to) = self.random_member() else { break };
                let updates = self.take_updates();
                self.send(to, Body::Gossip(updates), out);
            }
        }
        self.observations.expire(self.now, self.config.times.row_lifetime, &self.view);
        self.check_own_entry(out);
    }

    fn accusation_counts(&self) -> BTreeMap<u32, usize> {
        if self.observations.has_no_accusations() {
            BTreeMap::new()
        } else {
            self.observations.accusation_counts(&self.view)
        }
    }

    fn probe(&mut self, out: &mut Vec<Output>) {
        let counts = self.accusation_counts();
        let (low, high) = observe::thresholds(self.view.len());
        let (own, times) = (Name::clone(&self.config.name), self.config.times);
        let is_member = self.stage == Stage::In;
        let names: Vec<Name> = match is_member {
            true => self.detector.observed_fronts(&own, &self.view, self.config.observers).to_vec(),
            false => self.join_sample.1.clone(),
        };
        let wanted: Vec<&Fact> = names.iter().filter_map(|name| self.view.get(name)).collect();
        let accused = |fact: &&Fact| counts.get(&fact.short_id()).is_some_and(|count| *count >= low);
        let polled: Vec<&Fact> = if is_member && !counts.is_empty() {
            self.view.members().filter(|fact| fact.name != own).filter(accused).collect()
        } else {
            Vec::new()
        };
        let majority_accuses = |fact: &Fact| counts.get(&fact.short_id()).is_some_and(|count| *count >= high);
        self.detector.set_targets(self.now, &wanted, &polled, majority_accuses, &times);
        let chance = 10f64.powf(CHANCE_MAJORITY_LOG10 / high as f64).clamp(1e-6, 1e-2);
        let nonce = &mut self.nonce;
        let pings = self.detector.due_pings(self.now, &times, chance, || {
            *nonce = nonce.wrapping_add(1);
            *nonce
        });
        for (to, nonce) in pings {
            let updates = self.take_updates();
            self.send(to, Body::Ping(nonce, updates), out);
        }
    }

    /// Publishes this front's own row if it has changed or must be renewed.
    fn publish_own_row(&mut self, out: &mut Vec<Output>) {
        let Some(fact) = self.view.get(&self.config.name).filter(|_| self.stage == Stage::In) else { return };
        let by = fact.short_id();
        let members: BTreeMap<u32, &Name> =
            self.view.members().map(|fact| (fact.short_id(), &fact.name)).collect();
        let mut accused: Vec<u32> =
            self.detector.failing().filter(|id| *id != by && members.contains_key(id)).collect();
        accused.sort_unstable();
        accused.truncate(observe::MAX_ACCUSED_PER_ROW);
        if accused != self.own_row.accused || !accused.is_empty() {
            self.last_accusation_at = self.now;
        }
        // Danger: if the row that withdraws an accusation is lost on the way to a front, that front counts the accusation
        // until the old row expires. So it is sent again until then.
        let recently_accusing = self.last_accusation_at > 0
            && self.last_accusation_at + 2 * self.config.times.row_lifetime > self.now;
        let renew = recently_accusing && self.own_row_at + ROW_RENEWAL_INTERVAL <= self.now;
        if accused == self.own_row.accused && !renew && by == self.own_row.by {
            return;
        }
        let members: BTreeMap<u32, &Name> =
            self.view.members().map(|fact| (fact.short_id(), &fact.name)).collect();
        let report_changed = |from: &[u32], to: &[u32], is_accused: bool, out: &mut Vec<Output>| {
            for name in from.iter().filter(|id| !to.contains(id)).filter_map(|id| members.get(id)) {
                out.push(Output::AccusationChanged(Name::clone(name), is_accused));
            }
        };
        report_changed(&accused, &self.own_row.accused, true, out);
        report_changed(&self.own_row.accused, &accused, false, out);
        self.own_row = Row { by, version: self.own_row.version + 1, accused };
        self.own_row_at = self.now;
        let novelty = self.observations.store(self.now, &self.own_row);
        if recently_accusing {
            self.gossip.queue_row(by, self.view.len(), novelty == RowNovelty::Renewed);
        }
    }

    fn remove_unreachable(&mut self, out: &mut Vec<Output>) {
        // Danger: a process that resumes after a pause reads accusations that are as old as the pause, and would take them
        // for new. It removes nobody until they would have been renewed or have expired.
        let just_resumed = self
            .resumed_at
            .is_some_and(|at| at + self.config.times.row_lifetime + OUTSIDER_CONTACT_INTERVAL / 2 > self.now);
        if self.stage != Stage::In || just_resumed {
            return;
        }
        let counts = self.accusation_counts();
        let times = CutTimes {
            confirm_time: self.config.times.confirm_time,
            settle_time: self.config.times.settle_time,
        };
        let unreachable = self.cut_detector.decide(self.now, &counts, self.view.len(), times);
        let gone: Vec<Fact> = self
            .view
            .members()
            .filter(|fact| unreachable.contains(&fact.short_id()) && fact.name != self.config.name)
            .map(|fact| Fact { count: fact.count + 1, ..fact.clone() })
            .collect();
        for fact in gone {
            self.removed_here.push(Name::clone(&fact.name));
            self.merge_fact(&fact);
        }
        self.report_view_change(out);
    }

    // ---- Joining and leaving ----

    fn try_join(&mut self, out: &mut Vec<Output>) {
        let others: Vec<Name> = self
            .view
            .members()
            .filter(|fact| fact.name != self.config.name && fact.address != self.config.address)
            .map(|fact| Name::clone(&fact.name))
            .collect();
        if self.now >= self.next_join {
            self.next_join = self.now + JOIN_INTERVAL;
            let seeds: Vec<SocketAddr> =
                self.config.seeds.iter().copied().filter(|seed| *seed != self.config.address).collect();
            if !seeds.is_empty() {
                let to = seeds[self.next_seed % seeds.len()];
                self.next_seed += 1;
                self.send(to, Body::Compare(self.view.buckets()), out);
            }
        }
        if others.is_empty() {
            // Danger: if many fronts start at once, each would create a view of its own; only a seed may create one.
            let may_bootstrap =
                self.config.seeds.is_empty() || self.config.seeds.contains(&self.config.address);
            if may_bootstrap && self.stage_since + self.config.times.bootstrap_delay <= self.now {
                self.enter_view(out);
            }
            return;
        }
        // Danger: a front that receives from all but reaches none would join, be removed and join again without end. So
        // it joins only when members that it pings have answered.
        let expired = self.join_sample.0 + SAMPLE_LIFETIME <= self.now || self.join_sample.1.is_empty();
        if expired || self.join_sample.1.iter().any(|name| !others.contains(name)) {
            let mut pool = others;
            let mut sample = Vec::new();
            while sample.len() < SAMPLE_SIZE && !pool.is_empty() {
                sample.push(pool.swap_remove(self.rng.next_u32() as usize % pool.len()));
            }
            self.join_sample = (self.now, sample);
        }
        let has_answered = |name: &&Name| self.detector.answers(self.now, name, SAMPLE_ANSWER_MAX_AGE);
        let answered = self.join_sample.1.iter().filter(has_answered).count();
        if answered > 0 && answered * 2 >= self.join_sample.1.len() {
            self.enter_view(out);
        }
    }

    /// Enters the view with the next odd count.
    fn enter_view(&mut self, out: &mut Vec<Output>) {
        let known = self.view.get(&self.config.name);
        let count = match known {
            None => 1,
            Some(fact) if !fact.is_member() => fact.count + 1,
            // The view already lists this start of the process.
            Some(fact) if fact.boot == self.config.boot => fact.count,
            // The previous process no longer uses this address, or this one could not have bound it.
            Some(fact) if fact.address == self.config.address => fact.count + 2,
            // As far as is known, another front with this name is running at another address: it must leave first.
            Some(fact) => {
                if self.name_conflict_reported_at.is_none_or(|at| at + OUTSIDER_CONTACT_INTERVAL <= self.now)
                {
                    self.name_conflict_reported_at = Some(self.now);
                    out.push(Output::NameInUse(fact.address));
                }
                return;
            }
        };
        let name = Name::clone(&self.config.name);
        let LocalConfig { address, zone, serves, boot, .. } = self.config;
        let fact = Fact { name, address, zone, serves, boot, count };
        self.merge_fact(&fact);
        self.join_sample.1.clear();
        // Accusations from before joining are outdated: without the reset, the first row would publish them.
        self.detector.reset_after_pause(self.now);
        self.set_stage(Stage::In, out);
    }

    fn leave(&mut self, out: &mut Vec<Output>) {
        if self.stage == Stage::In {
            if let Some(own) = self.view.get(&self.config.name).cloned() {
                self.merge_fact(&Fact { count: own.count + 1, ..own.clone() });
                let fact = Fact { count: own.count + 1, ..own };
                for _ in 0..SAMPLE_SIZE {
                    let Some(to) = self.random_member() else { break };
                    self.send(to, Body::Facts(vec![fact.clone()]), out);
                }
            }
        }
        self.set_stage(Stage::Left, out);
    }

    fn set_stage(&mut self, stage: Stage, out: &mut Vec<Output>) {
        if self.stage != stage {
            (self.stage, self.stage_since) = (stage, self.now);
            self.own_row.accused.clear();
            out.push(Output::StageChanged(stage));
        }
    }

    /// Sends the digests of the view to a front that isn't in it.
    fn contact_outsider(&mut self, out: &mut Vec<Output>) {
        let listed = |address: &SocketAddr| self.view.members().any(|fact| fact.address == *address);
        let mut pool: Vec<SocketAddr> = self.view.former_members().map(|fact| fact.address).collect();
        pool.extend(&self.config.seeds);
        pool.retain(|address| *address != self.config.address && !listed(address));
        if !pool.is_empty() {
            let to = pool[self.rng.next_u32() as usize % pool.len()];
            self.send(to, Body::Compare(self.view.buckets()), out);
        }
    }

    // ---- Messages and reports ----

    fn random_member(&mut self) -> Option<SocketAddr> {
        // Danger: a front that leaves isn't in its own view any more; subtracting it would leave one member out.
        let listed = self.view.get(&self.config.name).is_some_and(Fact::is_member);
        let others = self.view.len() - usize::from(listed);
        if others == 0 {
            return None;
        }
        let index = self.rng.next_u32() as usize % others;
        let name = &self.config.name;
        self.view.members().filter(|fact| fact.name != *name).nth(index).map(|fact| fact.address)
    }

    fn take_updates(&mut self) -> Updates {
        self.gossip.take_updates(&self.view, &self.observations)
    }

    fn send(&mut self, to: SocketAddr, body: Body, out: &mut Vec<Output>) {
        self.sequence += 1;
        let envelope = Envelope {
            name: Name::clone(&self.config.name),
            boot: self.config.boot,
            sequence: self.sequence,
            view: self.view.number(),
            digest: self.view.digest(),
            body,
        };
        out.push(Output::Send(to, Box::new(envelope)));
    }

    /// Reports a change of the view, at most once per input.
    fn report_view_change(&mut self, out: &mut Vec<Output>) {
        if self.reported_digest == self.view.digest() {
            return;
        }
        let members_now: BTreeMap<Name, u32> =
            self.view.members().map(|fact| (Name::clone(&fact.name), fact.count)).collect();
        let joined =
            members_now.iter().filter(|(name, count)| self.reported_members.get(*name) != Some(count));
        let joined = joined.map(|(name, _)| Name::clone(name)).collect();
        let gone = self
            .reported_members
            .iter()
            .filter(|(name, count)| members_now.get(*name).is_none_or(|current| current > count));
        let reason = |name: &Name| {
            if self.removed_here.contains(name) {
                RemovalReason::Unreached
            } else {
                RemovalReason::Told
            }
        };
        let gone = gone.map(|(name, _)| (Name::clone(name), reason(name))).collect();
        let (number, digest) = (self.view.number(), self.view.digest());
        let members = members_now.keys().cloned().collect();
        out.push(Output::View(Change { number, digest, members, joined, gone }));
        (self.reported_members, self.reported_digest) = (members_now, digest);
        self.removed_here.clear();
    }

    /// This front's status, as pages of JSON lines.
    fn status_pages(&self) -> Vec<String> {
        let (paused, pause_count) = self.pauses.total();
        let (low, high) = observe::thresholds(self.view.len());
        let head = serde_json::json!({"front": &*self.config.name, "stage": self.stage, "number": self.view.number(),
            "digest": format!("{:016x}", self.view.digest()), "members": self.view.len(), "low": low, "high": high,
            "loss": (self.detector.loss() * 1000.0).round() / 1000.0, "lost_ms": paused / 1000, "pauses": pause_count,
            "ignored": self.ignored()});
        let mut pages = vec![format!("{head}\n")];
        let names: BTreeMap<u32, &Name> =
            self.view.members().map(|fact| (fact.short_id(), &fact.name)).collect();
        for fact in self.view.members() {
            let link = self.detector.link(&fact.name);
            let accusers: Vec<&str> = self
                .observations
                .accusers(fact.short_id())
                .filter_map(|by| names.get(&by).map(|name| &***name))
                .take(12)
                .collect();
            let line = serde_json::json!({"name": &*fact.name, "address": fact.address, "count": fact.count,
                "round_trip_us": link.map(|link| link.round_trip),
                "silent_ms": link.map(|link| self.now.saturating_sub(link.last_heard) / 1000),
                "failing": link.map(|link| link.failing), "accused_by": accusers});
            let line = format!("{line}\n");
            match pages.last_mut() {
                Some(page) if page.len() + line.len() <= MAX_UPDATE_BYTES => page.push_str(&line),
                _ => pages.push(line),
            }
        }
        pages
    }
}

#[cfg(test)]
mod tests;
