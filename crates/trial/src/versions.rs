//! A trial of versions in virtual time: the cores of accord themselves on one event queue, with disks that keep what was
//! flushed, and links that keep order as TCP does.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally_accord::core::coordination::CoordinationState;
use salttally_accord::core::disk::{Image, Write};
use salttally_accord::core::rules::{RefusedParty, Rules};
use salttally_accord::core::{Accord, Envelope, FrontIdentity, Input, Name, Output};
use salttally_accord::history_log;
use serde_json::json;

use crate::describe::{Trial, Versions};
use crate::net::Net;
use crate::plan::{self, Act, Plan};
use crate::queue::Queue;
use crate::skew::Skew;
use crate::virt::Outcome;
use crate::Micros;

/// Messages that wait for a stopped process at most: what its sockets hold.
const BUFFER: usize = 512;
/// Viewers who ask, some of whom each proposal refuses.
pub const VIEWERS: usize = 6;

/// Name of a viewer.
pub fn viewer(number: usize) -> String {
    format!("v{number}")
}

/// Rules drawn anew.
pub fn drawn(rng: &mut impl RngCore) -> Rules {
    let refused =
        (0..VIEWERS).filter(|_| rng.next_u32().is_multiple_of(3)).map(|at| RefusedParty::Viewer(viewer(at)));
    Rules { refused: refused.collect(), ..Rules::default() }
}

enum Event {
    Act(Act),
    Tick(usize, u64),
    Arrive(usize, Box<Envelope>),
    Asks(usize),
    Propose,
}

/// A disk of accord: what is flushed stays, what is only written may be lost with the process.
#[derive(Clone, Default)]
pub(crate) struct Disk {
    /// What is there after a crash.
    pub flushed: Image,
    /// What is only written.
    pub pending: Vec<Write>,
}

impl Disk {
    /// Writes, and flushes if anything of it promises.
    pub fn write(&mut self, writes: Vec<Write>) {
        let flush = writes.iter().any(Write::needs_flush);
        self.pending.extend(writes);
        if flush {
            self.pending.drain(..).for_each(|write| self.flushed.apply(&write));
        }
    }
}

struct Front {
    accord: Option<Accord>,
    disk: Disk,
    stand: Option<CoordinationState>,
    starts: u64,
    stopped: bool,
    waiting: VecDeque<Box<Envelope>>,
    skew: Skew,
}

/// One crash and one loss, each at a message that [carries](salttally_accord::core::Body::affects_agreement) something, counted
/// from the first of the trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Struck {
    /// Whoever is to send this one is killed after it has written, and before it sends; it starts again a second later.
    pub kill: Option<u64>,
    /// This one is lost.
    pub lose: Option<u64>,
}

/// What placing one crash and one loss everywhere came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placed {
    /// Messages that carry something in the trial as it is.
    pub messages: u64,
    /// Schedules played.
    pub schedules: u64,
    /// Versions that had begun at the end, by how many schedules.
    pub begun: BTreeMap<u64, u64>,
    /// The first schedule that broke something, and what.
    pub broken: Option<(Struck, String)>,
}

/// Plays a trial once for each place of one crash, and for each place of one loss beside it, `apart` messages apart.
pub fn placements(trial: &Trial, versions: &Versions, seed: u64, apart: u64) -> Placed {
    let plan = plan::plan(trial, seed);
    let outcome = play_struck(trial, versions, &plan, seed, Struck::default());
    let mut placed = Placed { messages: outcome.carried, ..Placed::default() };
    let at = |from: u64| (from..=outcome.carried).step_by(apart.max(1) as usize);
    for kill in at(1) {
        for lose in std::iter::once(0).chain(at(1)) {
            let struck = Struck { kill: Some(kill), lose: Some(lose) };
            let lines = play_struck(trial, versions, &plan, seed, struck).lines;
            placed.schedules += 1;
            let begun = lines.iter().filter_map(|line| line["begun"].as_u64()).max().unwrap_or(0);
            *placed.begun.entry(begun).or_default() += 1;
            if let Some((of, text)) = salttally_judge::accord::judge(&lines).broken.into_iter().next() {
                placed.broken = Some((struck, format!("{}: {text}", of.description())));
                return placed;
            }
        }
    }
    placed
}

struct World<'a> {
    trial: &'a Trial,
    versions: &'a Versions,
    rng: Pcg32,
    net: Net,
    fronts: Vec<Front>,
    names: BTreeMap<Name, usize>,
    queue: Queue<Event>,
    now: Micros,
    struck: Struck,
    /// When the last fault ends.
    calm: Micros,
    out: Outcome,
}

/// Plays a trial that describes versions.
pub fn play(trial: &Trial, versions: &Versions, plan: &Plan, seed: u64) -> Outcome {
    play_struck(trial, versions, plan, seed, Struck::default())
}

fn play_struck(trial: &Trial, versions: &Versions, plan: &Plan, seed: u64, struck: Struck) -> Outcome {
    let mut rng = Pcg32::seed_from_u64(seed);
    let fronts = (0..trial.fronts).map(|_| Front {
        accord: None,
        disk: Disk::default(),
        stand: None,
        starts: 0,
        stopped: false,
        waiting: VecDeque::new(),
        skew: Skew::drawn(&mut rng, 0),
    });
    let fronts: Vec<Front> = fronts.collect();
    let mut queue = Queue::new(trial, plan, Event::Act);
    for front in 0..trial.fronts {
        queue.push(u64::from(rng.next_u32()) % versions.acts, Event::Asks(front));
    }
    // Proposals end where faults do, so that what comes of them is to be seen.
    let calm = queue.end().saturating_sub(trial.quiet);
    let mut at = plan::SETTLED / 2;
    while at < calm {
        queue.push(at, Event::Propose);
        at += versions.every / 2 + u64::from(rng.next_u32()) % versions.every.max(1);
    }
    let names = (0..trial.fronts).map(|front| (Name::from(plan::name(front)), front)).collect();
    let mut world = World {
        trial,
        versions,
        rng,
        net: Net::new(trial.link),
        fronts,
        names,
        queue,
        now: 0,
        struck,
        calm,
        out: Outcome::default(),
    };
    world.out.lines.push(opening(trial, versions));
    while let Some((at, event)) = world.queue.pop() {
        world.now = at;
        world.out.events += 1;
        world.event(event);
    }
    world.out.span = world.queue.end();
    world.out.lines.push(json!({"at": world.out.span, "truth": "end"}));
    world.out
}

/// The first line of the truth, with what is stated of versions.
pub fn opening(trial: &Trial, versions: &Versions) -> serde_json::Value {
    let mut opening = plan::opening(trial);
    opening["stated_us"] = json!(versions.times.max_contradiction());
    opening["voters"] = json!(versions.voters);
    opening
}

impl World<'_> {
    fn event(&mut self, event: Event) {
        match event {
            Event::Act(act) => self.act(act),
            Event::Tick(front, start) => {
                if self.fronts[front].starts == start && !self.fronts[front].stopped {
                    self.hand(front, Input::Tick, true);
                }
            }
            Event::Arrive(front, envelope) => {
                let there = &mut self.fronts[front];
                match (&there.accord, there.stopped) {
                    (None, _) => {}
                    (Some(_), true) if there.waiting.len() < BUFFER => there.waiting.push_back(envelope),
                    (Some(_), true) => {}
                    (Some(_), false) => self.hand(front, Input::Received(envelope), false),
                }
            }
            Event::Asks(front) => {
                self.queue.push(self.now + self.versions.acts, Event::Asks(front));
                let viewer = viewer(self.rng.next_u32() as usize % VIEWERS);
                let there = &self.fronts[front];
                if let Some(stand) = there.stand.as_ref().filter(|_| !there.stopped) {
                    let line = history_log::act(
                        self.now,
                        &plan::name(front),
                        stand,
                        there.skew.local(self.now),
                        &viewer,
                    );
                    self.out.lines.push(line);
                }
            }
            Event::Propose => {
                let front = self.rng.next_u32() as usize % self.trial.fronts;
                let rules = drawn(&mut self.rng);
                if self.fronts[front].accord.is_some() && !self.fronts[front].stopped {
                    let ticket = self.now;
                    self.out.lines.push(json!({"at": self.now, "truth": "proposed", "ticket": ticket}));
                    self.hand(front, Input::Propose(ticket, None, "trial".into(), self.now, rules), false);
                }
            }
        }
    }

    fn act(&mut self, act: Act) {
        let told = plan::truth(self.now, &act, &mut self.net);
        let state = |front: usize| (self.fronts[front].accord.is_some(), self.fronts[front].stopped);
        if !plan::takes_place(&act, state) {
            return;
        }
        self.out.lines.extend(told);
        match act {
            Act::Start(front) => self.start(front),
            Act::Kill(front) | Act::Lose(front) => {
                let there = &mut self.fronts[front];
                (there.accord, there.stand, there.stopped) = (None, None, false);
                there.starts += 1;
                there.disk.pending.clear();
                if matches!(act, Act::Lose(_)) {
                    there.disk = Disk::default();
                }
            }
            Act::Stop(front) => self.fronts[front].stopped = true,
            Act::Run(front) => {
                self.fronts[front].stopped = false;
                while let Some(envelope) = self.fronts[front].waiting.pop_front() {
                    self.hand(front, Input::Received(envelope), false);
                }
                self.hand(front, Input::Tick, true);
            }
            Act::Cut(..) | Act::Link(..) | Act::Calm => {}
        }
    }

    fn start(&mut self, front: usize) {
        let drawn = u64::from(self.rng.next_u32()) << 32 | u64::from(self.rng.next_u32());
        let there = &mut self.fronts[front];
        there.starts += 1;
        there.waiting.clear();
        let own = FrontIdentity {
            name: Name::from(plan::name(front)),
            new_disk_id: drawn,
            initial_voters: (0..self.versions.voters).map(|front| Name::from(plan::name(front))).collect(),
            times: self.versions.times,
        };
        let mut out = Vec::new();
        let local = there.skew.local(self.now);
        let mut accord = Accord::new(own, there.disk.flushed.clone(), local, &mut out);
        there.stand = Some(accord.coordination().clone());
        let others = (0..self.trial.fronts).filter(|other| *other != front);
        let peers: BTreeSet<Name> = others.map(|other| Name::from(plan::name(other))).collect();
        accord.handle(local, Input::View(peers), &mut out);
        there.accord = Some(accord);
        self.carry_out(front, out);
        self.hand(front, Input::Tick, true);
    }

    fn hand(&mut self, front: usize, input: Input, tick: bool) {
        let there = &mut self.fronts[front];
        let local = there.skew.local(self.now);
        let Some(accord) = &mut there.accord else { return };
        let mut out = Vec::new();
        accord.handle(local, input, &mut out);
        if tick {
            let due = accord.next_due();
            let (start, at) = (there.starts, there.skew.global(due).max(self.now + 1));
            self.queue.push(at, Event::Tick(front, start));
        }
        self.carry_out(front, out);
    }

    fn carry_out(&mut self, front: usize, out: Vec<Output>) {
        for output in out {
            self.out.lines.extend(history_log::line(self.now, &plan::name(front), &output));
            match output {
                Output::Write(writes) => self.fronts[front].disk.write(writes),
                Output::Send(envelope) => {
                    // What comes after all faults is no place for one.
                    let carries = envelope.body.affects_agreement() && self.now < self.calm;
                    self.out.carried += u64::from(carries);
                    let here = carries.then_some(self.out.carried);
                    if here.is_some() && here == self.struck.kill {
                        // What it has written is on its disk; what it was about to say is said by nobody.
                        self.act(Act::Kill(front));
                        self.queue.push(self.now + 1_000_000, Event::Act(Act::Start(front)));
                        return;
                    }
                    if here.is_none() || here != self.struck.lose {
                        self.send(front, envelope);
                    }
                }
                Output::Coordination(stand) => self.fronts[front].stand = Some(stand),
                _ => {}
            }
        }
    }

    fn send(&mut self, front: usize, envelope: Box<Envelope>) {
        self.out.datagrams += 1;
        let Some(other) = self.names.get(&envelope.to).copied() else { return };
        let at = self.net.streamed(self.now, front, other, &mut self.rng);
        let Some(at) = at else { return };
        self.queue.push(at, Event::Arrive(other, envelope));
    }
}
