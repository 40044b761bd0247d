//! Membership as state, with no I/O, clock or thread: told what comes, it answers with what is to be sent and what
//! is new.
//!
//! [`Members::handle`] takes the time (of a clock that only goes forward, of this process alone) and one [`Input`];
//! [`Members::next_due`] tells when it must be called again. Called much later than that, it knows that the process
//! was not running and how long ([`pauses`]).
//!
//! - [`mod@self`]: a front's own way in and out of the view, and what each message means.
//! - [`view`]: numbered views, facts that only grow.
//! - [`detector`]: whom this front reaches; [`observe`]: what all fronts reach, and who is to leave.
//! - [`gossip`]: what is passed on; [`replay`]: datagrams that come again; [`pauses`]: time not running.

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
use gossip::{Gossip, News, ROOM};
use observe::{Cut, Heard, Observations, Patience, Row};
use pauses::PauseDetector;
use replay::Replay;
use view::{Fact, Name, View, BUCKETS};

/// Microseconds.
pub type Micros = u64;

/// Times of the protocol, each a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// A front that answers is pinged this often by each of its observers.
    pub period: Micros,
    /// One that has not answered, this often.
    pub hurry: Micros,
    /// A front is accused by an observer after this long without an answer at least.
    pub bear: Micros,
    /// More than half of all accuse a front for so long before it is removed; where they are only just more than half,
    /// for fifteen times as long.
    pub confirm: Micros,
    /// What several are accused of is awaited for so long, so that one cause is one step.
    pub settle: Micros,
    /// Whoever looks because others accuse goes on looking so long.
    pub poll_kept: Micros,
    /// Rows not renewed for so long accuse nobody.
    pub row_life: Micros,
    /// A front that is a seed itself and hears of no other begins a view alone after this.
    pub alone: Micros,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            period: 400_000,
            hurry: 60_000,
            bear: 1_000_000,
            confirm: 100_000,
            settle: 400_000,
            poll_kept: 3_000_000,
            row_life: 1_600_000,
            alone: 1_500_000,
        }
    }
}

/// What a front is told of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalConfig {
    /// Its name, the same at each start.
    pub name: Name,
    /// Where other fronts reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u32,
    /// Where players reach it, if it takes any.
    pub serves: Option<SocketAddr>,
    /// Drawn anew at each start.
    pub boot: u64,
    /// Where others may be found at the start.
    pub seeds: Vec<SocketAddr>,
    /// Observers of each front.
    pub observers: usize,
    /// Times.
    pub times: Times,
}

/// The core looks around this often.
const TICK: Micros = 50_000;
/// Seeds are asked, and a sample is tried, this often while joining.
const JOIN_EVERY: Micros = 200_000;
/// Members of whom half must be reached before a front joins: whoever does not reach them would be removed. With itself
/// that is a majority, so that two of three come together again while the third is down.
const SAMPLE: usize = 8;
/// They must have answered within this.
const SAMPLE_FRESH: Micros = 1_500_000;
/// A sample that has not answered is drawn anew after this.
const SAMPLE_KEPT: Micros = 4_000_000;
/// Somebody who is not in the view is called this often, one at a time: the other part of a split, or a seed.
const CALL_EVERY: Micros = 1_000_000;
/// Views are compared this often at most.
const COMPARE_EVERY: Micros = 250_000;
/// A row that accuses is renewed this often, and one that accuses no more for a while after it did.
const RENEW: Micros = 500_000;
/// Facts sent in answer to one comparison go in so many messages at most; the next comparison brings the rest.
const MESSAGES: usize = 12;
/// Chance accusations by half of all members at once are borne this often (as a power of ten).
const CHANCE: f64 = -12.0;

/// What is said between fronts.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Body {
    /// Are you there? The number comes back.
    Ping(u64, News),
    /// Yes.
    Pong(u64, News),
    /// News alone.
    Gossip(News),
    /// Digests of a view's parts: tell me what differs.
    Compare([u32; BUCKETS]),
    /// What differs.
    Facts(Vec<Fact>),
    /// An operator asks how this front sees things; which page.
    Show(u32),
    /// A page of that, and how many there are.
    Shown(u32, u32, String),
}

/// A message between fronts, but for what authenticates it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Envelope {
    /// Who says it.
    pub name: Name,
    /// In which start.
    pub boot: u64,
    /// Count of datagrams of this start.
    pub sequence: u64,
    /// Number of its view.
    pub view: u64,
    /// Digest of its view.
    pub digest: u64,
    /// What it says.
    pub body: Body,
}

/// What a front hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A message, and whence.
    Received(SocketAddr, Box<Envelope>),
    /// Something may be due.
    Tick,
    /// The process ends in order.
    Leave,
}

/// Where a front stands towards the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// It looks for others, or was removed and comes back.
    Joining,
    /// It is a member.
    In,
    /// It has left.
    Left,
    /// Another process has its name.
    Displaced,
}

/// Why a member is no more in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Gone {
    /// More than half of all could not reach it, as this front counted.
    Unreached,
    /// Others said that it is out: it left, or was removed.
    Told,
}

/// A change of the view at this front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its number now.
    pub number: u64,
    /// Its digest now.
    pub digest: u64,
    /// Its members now.
    pub members: Vec<Name>,
    /// Who is new, also where a member has come back under its name.
    pub joined: Vec<Name>,
    /// Who has gone.
    pub gone: Vec<(Name, Gone)>,
}

/// What the edge is to do, and what is worth knowing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this.
    Send(SocketAddr, Box<Envelope>),
    /// The view has changed.
    View(Change),
    /// This front's own standing has changed.
    Stands(Stage),
    /// This front cannot reach another any more, or can again.
    Accuses(Name, bool),
    /// The process was not running for so long.
    Lost(Micros),
    /// Another process answers under this front's name, from there.
    NameInUse(SocketAddr),
}

/// What was heard and not used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Ignored {
    /// Sent again, or too old to tell.
    pub replayed: u64,
    /// Under this front's own name.
    pub own: u64,
}

/// Membership at one front.
#[derive(Clone, Debug)]
pub struct Members {
    own: LocalConfig,
    rng: Pcg32,
    now: Micros,
    view: View,
    stage: Stage,
    since: Micros,
    detector: Detector,
    observations: Observations,
    cut: Cut,
    gossip: Gossip,
    pauses: PauseDetector,
    replay: Replay,
    ignored: Ignored,
    sequence: u64,
    nonce: u64,
    row: Row,
    row_at: Micros,
    /// When the process last ran again after it had been stopped.
    woke: Option<Micros>,
    /// When this front last accused anybody.
    accused_at: Micros,
    next_tick: Micros,
    next_join: Micros,
    next_call: Micros,
    next_compare: Micros,
    next_seed: usize,
    sample: (Micros, Vec<Name>),
    told: BTreeMap<Name, u32>,
    told_digest: u64,
    removed: Vec<Name>,
    /// When another process of this front's name was last told.
    warned: Option<Micros>,
}

impl Members {
    /// A front that knows nobody yet.
    pub fn new(own: LocalConfig, now: Micros) -> Members {
        let rng = Pcg32::seed_from_u64(own.boot);
        Members {
            rng,
            now,
            view: View::default(),
            stage: Stage::Joining,
            since: now,
            detector: Detector::default(),
            observations: Observations::default(),
            cut: Cut::default(),
            gossip: Gossip::default(),
            pauses: PauseDetector::new(),
            replay: Replay::default(),
            ignored: Ignored::default(),
            sequence: 0,
            nonce: own.boot,
            row: Row { by: 0, version: 0, accused: Vec::new() },
            row_at: now,
            woke: None,
            accused_at: 0,
            next_tick: now,
            next_join: now,
            next_call: now + CALL_EVERY,
            next_compare: now,
            next_seed: 0,
            sample: (0, Vec::new()),
            told: BTreeMap::new(),
            told_digest: 0,
            removed: Vec::new(),
            warned: None,
            own,
        }
    }

    /// The view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Where this front stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Time that the process was not running, and how many times.
    pub fn lost(&self) -> (Micros, u64) {
        self.pauses.total()
    }

    /// What was heard and not used.
    pub fn ignored(&self) -> Ignored {
        Ignored { replayed: self.replay.stale, ..self.ignored }
    }

    /// When it must be called again.
    pub fn next_due(&self) -> Micros {
        self.next_tick
    }

    /// Takes in one input; what follows is added to `out`, in order.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if let Some(lost) = self.pauses.check(self.now) {
            self.detector.woke(self.now);
            self.observations.woke();
            self.cut.woke();
            self.woke = Some(self.now);
            out.push(Output::Lost(lost));
        }
        match input {
            Input::Received(from, envelope) => self.heard(from, *envelope, out),
            Input::Tick => {}
            Input::Leave => self.leave(out),
        }
        if self.now >= self.next_tick {
            match self.stage {
                Stage::Left | Stage::Displaced => self.next_tick = self.now + CALL_EVERY,
                Stage::Joining | Stage::In => self.tick(out),
            }
        }
        self.pauses.expect_call_at(self.next_tick);
        self.tell(out);
    }

    // ---- What comes ----

    fn heard(&mut self, from: SocketAddr, envelope: Envelope, out: &mut Vec<Output>) {
        let Envelope { name, boot, sequence, digest, body, .. } = envelope;
        if name == self.own.name && boot != self.own.boot {
            if self.warned.is_none_or(|at| at + CALL_EVERY <= self.now) && from != self.own.address {
                self.warned = Some(self.now);
                out.push(Output::NameInUse(from));
            }
            self.ignored.own += 1;
        }
        if (&name, boot) == (&self.own.name, self.own.boot) || !self.replay.fresh(&name, boot, sequence) {
            return;
        }
        match body {
            Body::Ping(nonce, news) => {
                self.learn(&news);
                if matches!(self.stage, Stage::Joining | Stage::In) {
                    let news = self.news();
                    self.send(from, Body::Pong(nonce, news), out);
                }
            }
            Body::Pong(nonce, news) => {
                // Danger: a whole fleet starts anew within the time of one join, each knows the others' starts before,
                // and nobody counts as reached. For a front that joins, whoever answers there does.
                let any_start = self.stage == Stage::Joining;
                self.detector.pong(self.now, &name, boot, nonce, any_start);
                self.learn(&news);
            }
            Body::Gossip(news) => self.learn(&news),
            Body::Compare(theirs) => self.answer_compare(from, &theirs, out),
            Body::Facts(facts) => facts.iter().for_each(|fact| self.learn_fact(fact)),
            Body::Show(page) => {
                let pages = self.show();
                let text = pages.get(page as usize).cloned().unwrap_or_default();
                self.send(from, Body::Shown(page, pages.len() as u32, text), out);
                return;
            }
            Body::Shown(..) => return,
        }
        if digest != self.view.digest() && self.now >= self.next_compare && digest != 0 {
            self.next_compare = self.now + COMPARE_EVERY;
            self.send(from, Body::Compare(self.view.buckets()), out);
        }
        self.own_fact(out);
    }

    fn learn(&mut self, news: &News) {
        news.facts.iter().for_each(|fact| self.learn_fact(fact));
        for row in news.each_row() {
            // Danger: the rows of an incarnation that has gone, forgotten here and heard again from another, would be
            // news for ever and fill every message; found by the bytes of a long trial.
            if row.by == self.row.by || !self.view.has_mark(row.by) {
                continue;
            }
            match self.observations.hear(self.now, &row) {
                Heard::Known => {}
                heard => self.gossip.row(row.by, self.view.len(), heard == Heard::Renewed),
            }
        }
    }

    fn learn_fact(&mut self, fact: &Fact) {
        if self.view.merge(fact) {
            self.gossip.fact(&fact.name, self.view.len());
        }
    }

    fn answer_compare(&mut self, to: SocketAddr, theirs: &[u32; BUCKETS], out: &mut Vec<Output>) {
        let (mut part, mut room, mut sent) = (Vec::new(), ROOM, 0);
        for fact in self.view.differing(theirs) {
            if gossip::size(&fact) > room {
                self.send(to, Body::Facts(std::mem::take(&mut part)), out);
                (room, sent) = (ROOM, sent + 1);
                if sent == MESSAGES {
                    return;
                }
            }
            room -= gossip::size(&fact);
            part.push(fact);
        }
        if !part.is_empty() {
            self.send(to, Body::Facts(part), out);
        }
    }

    /// What the view says of this front itself. Danger: a front that was removed while it was stopped goes on as if
    /// nothing had been; it learns of it here, by whatever it hears first, and comes back as a new incarnation.
    fn own_fact(&mut self, out: &mut Vec<Output>) {
        if self.stage != Stage::In {
            return;
        }
        let own = self.view.get(&self.own.name);
        match own {
            Some(fact) if fact.is_in() && fact.boot == self.own.boot => {}
            Some(fact) if fact.is_in() && fact.address != self.own.address => {
                self.stand(Stage::Displaced, out);
            }
            _ => self.stand(Stage::Joining, out),
        }
    }

    // ---- What is due ----

    fn tick(&mut self, out: &mut Vec<Output>) {
        self.next_tick = self.now + TICK;
        if self.stage == Stage::Joining {
            self.join(out);
        }
        self.probe(out);
        self.publish(out);
        self.remove(out);
        if self.now >= self.next_call {
            self.next_call = self.now + CALL_EVERY;
            self.call(out);
        }
        if self.gossip.hot() {
            for _ in 0..2 {
                let Some(to) = self.any_member() else { break };
                let news = self.news();
                self.send(to, Body::Gossip(news), out);
            }
        }
        self.observations.age(self.now, self.own.times.row_life, &self.view);
        self.own_fact(out);
    }

    fn tally(&self) -> BTreeMap<u32, usize> {
        if self.observations.quiet() {
            BTreeMap::new()
        } else {
            self.observations.tally(&self.view)
        }
    }

    fn probe(&mut self, out: &mut Vec<Output>) {
        let tally = self.tally();
        let (low, high) = observe::marks(self.view.len());
        let (own, times) = (Name::clone(&self.own.name), self.own.times);
        let member = self.stage == Stage::In;
        let names: Vec<Name> = match member {
            true => self.detector.observe(&own, &self.view, self.own.observers).to_vec(),
            false => self.sample.1.clone(),
        };
        let wanted: Vec<&Fact> = names.iter().filter_map(|name| self.view.get(name)).collect();
        let accused = |fact: &&Fact| tally.get(&fact.mark()).is_some_and(|count| *count >= low);
        let polled: Vec<&Fact> = if member && !tally.is_empty() {
            self.view.members().filter(|fact| fact.name != own).filter(accused).collect()
        } else {
            Vec::new()
        };
        let nearly_out = |fact: &Fact| tally.get(&fact.mark()).is_some_and(|count| *count >= high);
        self.detector.keep(self.now, &wanted, &polled, nearly_out, &times);
        let chance = 10f64.powf(CHANCE / high as f64).clamp(1e-6, 1e-2);
        let nonce = &mut self.nonce;
        let pings = self.detector.due(self.now, &times, chance, || {
            *nonce = nonce.wrapping_add(1);
            *nonce
        });
        for (to, nonce) in pings {
            let news = self.news();
            self.send(to, Body::Ping(nonce, news), out);
        }
    }

    /// This front's own row, when it has changed or is to be renewed.
    fn publish(&mut self, out: &mut Vec<Output>) {
        let Some(fact) = self.view.get(&self.own.name).filter(|_| self.stage == Stage::In) else { return };
        let by = fact.mark();
        let members: BTreeMap<u32, &Name> =
            self.view.members().map(|fact| (fact.mark(), &fact.name)).collect();
        let mut accused: Vec<u32> =
            self.detector.failing().filter(|mark| *mark != by && members.contains_key(mark)).collect();
        accused.sort_unstable();
        accused.truncate(observe::MOST_ACCUSED);
        if accused != self.row.accused || !accused.is_empty() {
            self.accused_at = self.now;
        }
        // Danger: the word that an accusation is taken back is lost on the way to somebody, who counts it for as long
        // as rows live; found by the hunt. It is said again until that time is over.
        let lately = self.accused_at > 0 && self.accused_at + 2 * self.own.times.row_life > self.now;
        let renew = lately && self.row_at + RENEW <= self.now;
        if accused == self.row.accused && !renew && by == self.row.by {
            return;
        }
        let members: BTreeMap<u32, &Name> =
            self.view.members().map(|fact| (fact.mark(), &fact.name)).collect();
        let changed = |from: &[u32], to: &[u32], on: bool, out: &mut Vec<Output>| {
            for name in from.iter().filter(|mark| !to.contains(mark)).filter_map(|mark| members.get(mark)) {
                out.push(Output::Accuses(Name::clone(name), on));
            }
        };
        changed(&accused, &self.row.accused, true, out);
        changed(&self.row.accused, &accused, false, out);
        self.row = Row { by, version: self.row.version + 1, accused };
        self.row_at = self.now;
        let heard = self.observations.hear(self.now, &self.row);
        if lately {
            self.gossip.row(by, self.view.len(), heard == Heard::Renewed);
        }
    }

    fn remove(&mut self, out: &mut Vec<Output>) {
        // Danger: a process that wakes reads accusations that are as old as its sleep, and takes them for new; found by
        // the hunt. It removes nobody until they would have been renewed or forgotten.
        let stale = self.woke.is_some_and(|at| at + self.own.times.row_life + CALL_EVERY / 2 > self.now);
        if self.stage != Stage::In || stale {
            return;
        }
        let tally = self.tally();
        let patience = Patience { confirm: self.own.times.confirm, settle: self.own.times.settle };
        let go = self.cut.decide(self.now, &tally, self.view.len(), patience);
        let gone: Vec<Fact> = self
            .view
            .members()
            .filter(|fact| go.contains(&fact.mark()) && fact.name != self.own.name)
            .map(|fact| Fact { count: fact.count + 1, ..fact.clone() })
            .collect();
        for fact in gone {
            self.removed.push(Name::clone(&fact.name));
            self.learn_fact(&fact);
        }
        self.tell(out);
    }

    // ---- In and out ----

    fn join(&mut self, out: &mut Vec<Output>) {
        let others: Vec<Name> = self
            .view
            .members()
            .filter(|fact| fact.name != self.own.name && fact.address != self.own.address)
            .map(|fact| Name::clone(&fact.name))
            .collect();
        if self.now >= self.next_join {
            self.next_join = self.now + JOIN_EVERY;
            let seeds: Vec<SocketAddr> =
                self.own.seeds.iter().copied().filter(|seed| *seed != self.own.address).collect();
            if !seeds.is_empty() {
                let to = seeds[self.next_seed % seeds.len()];
                self.next_seed += 1;
                self.send(to, Body::Compare(self.view.buckets()), out);
            }
        }
        if others.is_empty() {
            // Danger: each of many that start at once makes a view of its own; only a seed may begin one.
            let may = self.own.seeds.is_empty() || self.own.seeds.contains(&self.own.address);
            if may && self.since + self.own.times.alone <= self.now {
                self.assert(out);
            }
            return;
        }
        // Danger: a front that hears all and is heard by none joins, is removed, and joins again without end. It is
        // let in by nobody but itself, when those whom it pings answer.
        let stale = self.sample.0 + SAMPLE_KEPT <= self.now || self.sample.1.is_empty();
        if stale || self.sample.1.iter().any(|name| !others.contains(name)) {
            let mut pool = others;
            let mut sample = Vec::new();
            while sample.len() < SAMPLE && !pool.is_empty() {
                sample.push(pool.swap_remove(self.rng.next_u32() as usize % pool.len()));
            }
            self.sample = (self.now, sample);
        }
        let fresh = |name: &&Name| self.detector.answers(self.now, name, SAMPLE_FRESH);
        let answer = self.sample.1.iter().filter(fresh).count();
        if answer > 0 && answer * 2 >= self.sample.1.len() {
            self.assert(out);
        }
    }

    /// Enters the view under the next odd count.
    fn assert(&mut self, out: &mut Vec<Output>) {
        let known = self.view.get(&self.own.name);
        let count = match known {
            None => 1,
            Some(fact) if !fact.is_in() => fact.count + 1,
            // This very start, told of by others already.
            Some(fact) if fact.boot == self.own.boot => fact.count,
            // The process before has this address no more, or this one could not listen there.
            Some(fact) if fact.address == self.own.address => fact.count + 2,
            // A front of this name lives elsewhere, for all that is known: it has to go first.
            Some(fact) => {
                if self.warned.is_none_or(|at| at + CALL_EVERY <= self.now) {
                    self.warned = Some(self.now);
                    out.push(Output::NameInUse(fact.address));
                }
                return;
            }
        };
        let name = Name::clone(&self.own.name);
        let LocalConfig { address, zone, serves, boot, .. } = self.own;
        let fact = Fact { name, address, zone, serves, boot, count };
        self.learn_fact(&fact);
        self.sample.1.clear();
        // What it could not reach while it was out is looked at anew: its first word must be no old accusation.
        self.detector.woke(self.now);
        self.stand(Stage::In, out);
    }

    fn leave(&mut self, out: &mut Vec<Output>) {
        if self.stage == Stage::In {
            if let Some(own) = self.view.get(&self.own.name).cloned() {
                self.learn_fact(&Fact { count: own.count + 1, ..own.clone() });
                let fact = Fact { count: own.count + 1, ..own };
                for _ in 0..SAMPLE {
                    let Some(to) = self.any_member() else { break };
                    self.send(to, Body::Facts(vec![fact.clone()]), out);
                }
            }
        }
        self.stand(Stage::Left, out);
    }

    fn stand(&mut self, stage: Stage, out: &mut Vec<Output>) {
        if self.stage != stage {
            (self.stage, self.since) = (stage, self.now);
            self.row.accused.clear();
            out.push(Output::Stands(stage));
        }
    }

    /// Calls one who is not in the view.
    fn call(&mut self, out: &mut Vec<Output>) {
        let listed = |address: &SocketAddr| self.view.members().any(|fact| fact.address == *address);
        let mut pool: Vec<SocketAddr> = self.view.out().map(|fact| fact.address).collect();
        pool.extend(&self.own.seeds);
        pool.retain(|address| *address != self.own.address && !listed(address));
        if !pool.is_empty() {
            let to = pool[self.rng.next_u32() as usize % pool.len()];
            self.send(to, Body::Compare(self.view.buckets()), out);
        }
    }

    // ---- What is said and told ----

    fn any_member(&mut self) -> Option<SocketAddr> {
        // Danger: one that leaves is out of its own view already, and would count one other too few.
        let listed = self.view.get(&self.own.name).is_some_and(Fact::is_in);
        let others = self.view.len() - usize::from(listed);
        if others == 0 {
            return None;
        }
        let at = self.rng.next_u32() as usize % others;
        let name = &self.own.name;
        self.view.members().filter(|fact| fact.name != *name).nth(at).map(|fact| fact.address)
    }

    fn news(&mut self) -> News {
        self.gossip.take(&self.view, &self.observations)
    }

    fn send(&mut self, to: SocketAddr, body: Body, out: &mut Vec<Output>) {
        self.sequence += 1;
        let envelope = Envelope {
            name: Name::clone(&self.own.name),
            boot: self.own.boot,
            sequence: self.sequence,
            view: self.view.number(),
            digest: self.view.digest(),
            body,
        };
        out.push(Output::Send(to, Box::new(envelope)));
    }

    /// Tells of a change of the view, once for each input.
    fn tell(&mut self, out: &mut Vec<Output>) {
        if self.told_digest == self.view.digest() {
            return;
        }
        let now: BTreeMap<Name, u32> =
            self.view.members().map(|fact| (Name::clone(&fact.name), fact.count)).collect();
        let joined = now.iter().filter(|(name, count)| self.told.get(*name) != Some(count));
        let joined = joined.map(|(name, _)| Name::clone(name)).collect();
        let gone = self.told.iter().filter(|(name, count)| now.get(*name).is_none_or(|is| is > count));
        let why = |name: &Name| if self.removed.contains(name) { Gone::Unreached } else { Gone::Told };
        let gone = gone.map(|(name, _)| (Name::clone(name), why(name))).collect();
        let (number, digest) = (self.view.number(), self.view.digest());
        let members = now.keys().cloned().collect();
        out.push(Output::View(Change { number, digest, members, joined, gone }));
        (self.told, self.told_digest) = (now, digest);
        self.removed.clear();
    }

    /// How this front sees things, as pages of JSON lines.
    fn show(&self) -> Vec<String> {
        let (lost, times) = self.pauses.total();
        let (low, high) = observe::marks(self.view.len());
        let head = serde_json::json!({"front": &*self.own.name, "stage": self.stage, "number": self.view.number(),
            "digest": format!("{:016x}", self.view.digest()), "members": self.view.len(), "low": low, "high": high,
            "loss": (self.detector.loss() * 1000.0).round() / 1000.0, "lost_ms": lost / 1000, "pauses": times,
            "ignored": self.ignored()});
        let mut pages = vec![format!("{head}\n")];
        let names: BTreeMap<u32, &Name> = self.view.members().map(|fact| (fact.mark(), &fact.name)).collect();
        for fact in self.view.members() {
            let link = self.detector.link(&fact.name);
            let accusers: Vec<&str> = self
                .observations
                .accusers(fact.mark())
                .filter_map(|by| names.get(&by).map(|name| &***name))
                .take(12)
                .collect();
            let line = serde_json::json!({"name": &*fact.name, "address": fact.address, "count": fact.count,
                "round_trip_us": link.map(|link| link.round_trip),
                "silent_ms": link.map(|link| self.now.saturating_sub(link.heard) / 1000),
                "failing": link.map(|link| link.failing), "accused_by": accusers});
            let line = format!("{line}\n");
            match pages.last_mut() {
                Some(page) if page.len() + line.len() <= ROOM => page.push_str(&line),
                _ => pages.push(line),
            }
        }
        pages
    }
}

#[cfg(test)]
mod tests;
