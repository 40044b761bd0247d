//! Runs the consensus (accord) cores of a fleet in virtual time on one event queue, with disks that retain only flushed
//! writes and links that preserve order as TCP does.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally_accord::core::coordination::CoordinationState;
use salttally_accord::core::disk::{Image, Write};
use salttally_accord::core::rules::{RefusedParty, Rules};
use salttally_accord::core::{Accord, Envelope, FrontIdentity, Input, Name, Output};
use salttally_accord::history_log;
use serde_json::json;

use crate::clock_skew::ClockSkew;
use crate::describe::{ConsensusOptions, Trial};
use crate::membership::Outcome;
use crate::net::Net;
use crate::plan::{self, Action, Plan};
use crate::queue::Queue;
use crate::Micros;

/// Largest number of messages buffered for a paused process, as by its sockets.
const MAX_BUFFERED_MESSAGES: usize = 512;
/// Number of viewers to decide about; each proposal refuses some of them.
pub const VIEWER_COUNT: usize = 6;

/// Returns the name of a viewer.
pub fn viewer_name(number: usize) -> String {
    format!("v{number}")
}

/// Draws random rules.
pub fn random_rules(rng: &mut impl RngCore) -> Rules {
    let refused = (0..VIEWER_COUNT)
        .filter(|_| rng.next_u32().is_multiple_of(3))
        .map(|at| RefusedParty::Viewer(viewer_name(at)));
    Rules { refused: refused.collect(), ..Rules::default() }
}

enum Event {
    Action(Action),
    Tick(usize, u64),
    Arrive(usize, Box<Envelope>),
    Decide(usize),
    Propose,
}

/// The disk of an accord core: flushed writes survive a crash, unflushed ones are lost with the process.
#[derive(Clone, Default)]
pub(crate) struct Disk {
    /// Contents after a crash.
    pub flushed: Image,
    /// Writes that are not flushed.
    pub pending: Vec<Write>,
}

impl Disk {
    /// Writes, and flushes if any of the writes has to be durable.
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
    coordination: Option<CoordinationState>,
    start_count: u64,
    paused: bool,
    buffered: VecDeque<Box<Envelope>>,
    clock_skew: ClockSkew,
}

/// Placement of one crash and one message loss, each at a message that
/// [affects agreement](salttally_accord::core::Body::affects_agreement), counted from the start of the trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlacement {
    /// The sender of this message is killed after its write and before it sends; it restarts a second later.
    pub kill: Option<u64>,
    /// This message is lost.
    pub lose: Option<u64>,
}

/// Result of running a trial with all placements of one crash and one loss.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementReport {
    /// Number of messages that affect agreement in the trial without placed faults.
    pub messages: u64,
    /// Number of schedules run.
    pub schedules: u64,
    /// Number of schedules by the latest version in effect at the end.
    pub begun: BTreeMap<u64, u64>,
    /// The first schedule that broke a property, with a description.
    pub broken: Option<(FaultPlacement, String)>,
}

/// Runs a trial for each combination of one crash and one loss, placed at every `interval`-th message.
pub fn placements(trial: &Trial, consensus: &ConsensusOptions, seed: u64, interval: u64) -> PlacementReport {
    let plan = plan::plan(trial, seed);
    let outcome = play_with_faults(trial, consensus, &plan, seed, FaultPlacement::default());
    let mut report = PlacementReport { messages: outcome.steps, ..PlacementReport::default() };
    let at = |from: u64| (from..=outcome.steps).step_by(interval.max(1) as usize);
    for kill in at(1) {
        for lose in std::iter::once(0).chain(at(1)) {
            let placement = FaultPlacement { kill: Some(kill), lose: Some(lose) };
            let lines = play_with_faults(trial, consensus, &plan, seed, placement).lines;
            report.schedules += 1;
            let begun = lines.iter().filter_map(|line| line["begun"].as_u64()).max().unwrap_or(0);
            *report.begun.entry(begun).or_default() += 1;
            if let Some((property, text)) = salttally_judge::accord::judge(&lines).broken.into_iter().next() {
                report.broken = Some((placement, format!("{}: {text}", property.description())));
                return report;
            }
        }
    }
    report
}

struct World<'a> {
    trial: &'a Trial,
    consensus: &'a ConsensusOptions,
    rng: Pcg32,
    net: Net,
    fronts: Vec<Front>,
    names: BTreeMap<Name, usize>,
    queue: Queue<Event>,
    now: Micros,
    placement: FaultPlacement,
    /// End of the last fault, us.
    faults_end: Micros,
    out: Outcome,
}

/// Runs a trial with consensus settings.
pub fn play(trial: &Trial, consensus: &ConsensusOptions, plan: &Plan, seed: u64) -> Outcome {
    play_with_faults(trial, consensus, plan, seed, FaultPlacement::default())
}

fn play_with_faults(
    trial: &Trial,
    consensus: &ConsensusOptions,
    plan: &Plan,
    seed: u64,
    placement: FaultPlacement,
) -> Outcome {
    let mut rng = Pcg32::seed_from_u64(seed);
    let fronts = (0..trial.fronts).map(|_| Front {
        accord: None,
        disk: Disk::default(),
        coordination: None,
        start_count: 0,
        paused: false,
        buffered: VecDeque::new(),
        clock_skew: ClockSkew::random(&mut rng, 0),
    });
    let fronts: Vec<Front> = fronts.collect();
    let mut queue = Queue::new(trial, plan, Event::Action);
    for front in 0..trial.fronts {
        queue.push(u64::from(rng.next_u32()) % consensus.decision_interval, Event::Decide(front));
    }
    // Proposals end with the last fault, so that their outcome can be observed.
    let faults_end = queue.end().saturating_sub(trial.quiet_period);
    let mut at = plan::FORMATION_TIME / 2;
    while at < faults_end {
        queue.push(at, Event::Propose);
        at +=
            consensus.proposal_interval / 2 + u64::from(rng.next_u32()) % consensus.proposal_interval.max(1);
    }
    let names = (0..trial.fronts).map(|front| (Name::from(plan::front_name(front)), front)).collect();
    let mut world = World {
        trial,
        consensus,
        rng,
        net: Net::new(trial.link),
        fronts,
        names,
        queue,
        now: 0,
        placement,
        faults_end,
        out: Outcome::default(),
    };
    world.out.lines.push(header_line(trial, consensus));
    while let Some((at, event)) = world.queue.pop() {
        world.now = at;
        world.out.events += 1;
        world.event(event);
    }
    world.out.span = world.queue.end();
    world.out.lines.push(json!({"at": world.out.span, "truth": "end"}));
    world.out
}

/// Returns the first line of the history, with the time bounds of consensus.
pub fn header_line(trial: &Trial, consensus: &ConsensusOptions) -> serde_json::Value {
    let mut header = plan::header_line(trial);
    header["stated_us"] = json!(consensus.lease_times.max_contradiction());
    header["voters"] = json!(consensus.voters);
    header
}

impl World<'_> {
    fn event(&mut self, event: Event) {
        match event {
            Event::Action(action) => self.apply_action(action),
            Event::Tick(front, start_count) => {
                if self.fronts[front].start_count == start_count && !self.fronts[front].paused {
                    self.deliver(front, Input::Tick, true);
                }
            }
            Event::Arrive(front, envelope) => {
                let node = &mut self.fronts[front];
                match (&node.accord, node.paused) {
                    (None, _) => {}
                    (Some(_), true) if node.buffered.len() < MAX_BUFFERED_MESSAGES => {
                        node.buffered.push_back(envelope)
                    }
                    (Some(_), true) => {}
                    (Some(_), false) => self.deliver(front, Input::Received(envelope), false),
                }
            }
            Event::Decide(front) => {
                self.queue.push(self.now + self.consensus.decision_interval, Event::Decide(front));
                let viewer = viewer_name(self.rng.next_u32() as usize % VIEWER_COUNT);
                let node = &self.fronts[front];
                if let Some(coordination) = node.coordination.as_ref().filter(|_| !node.paused) {
                    let line = history_log::act(
                        self.now,
                        &plan::front_name(front),
                        coordination,
                        node.clock_skew.to_local(self.now),
                        &viewer,
                    );
                    self.out.lines.push(line);
                }
            }
            Event::Propose => {
                let front = self.rng.next_u32() as usize % self.trial.fronts;
                let rules = random_rules(&mut self.rng);
                if self.fronts[front].accord.is_some() && !self.fronts[front].paused {
                    let ticket = self.now;
                    self.out.lines.push(json!({"at": self.now, "truth": "proposed", "ticket": ticket}));
                    self.deliver(front, Input::Propose(ticket, None, "trial".into(), self.now, rules), false);
                }
            }
        }
    }

    fn apply_action(&mut self, action: Action) {
        let record = plan::record_action(self.now, &action, &mut self.net);
        let state = |front: usize| (self.fronts[front].accord.is_some(), self.fronts[front].paused);
        if !plan::is_applicable(&action, state) {
            return;
        }
        self.out.lines.extend(record);
        match action {
            Action::Start(front) => self.start(front),
            Action::Kill(front) | Action::KillAndWipe(front) => {
                let node = &mut self.fronts[front];
                (node.accord, node.coordination, node.paused) = (None, None, false);
                node.start_count += 1;
                node.disk.pending.clear();
                if matches!(action, Action::KillAndWipe(_)) {
                    node.disk = Disk::default();
                }
            }
            Action::Stop(front) => self.fronts[front].paused = true,
            Action::Resume(front) => {
                self.fronts[front].paused = false;
                while let Some(envelope) = self.fronts[front].buffered.pop_front() {
                    self.deliver(front, Input::Received(envelope), false);
                }
                self.deliver(front, Input::Tick, true);
            }
            Action::Cut(..) | Action::Link(..) | Action::FaultsOver => {}
        }
    }

    fn start(&mut self, front: usize) {
        let new_disk_id = u64::from(self.rng.next_u32()) << 32 | u64::from(self.rng.next_u32());
        let node = &mut self.fronts[front];
        node.start_count += 1;
        node.buffered.clear();
        let config = FrontIdentity {
            name: Name::from(plan::front_name(front)),
            new_disk_id,
            initial_voters: (0..self.consensus.voters)
                .map(|front| Name::from(plan::front_name(front)))
                .collect(),
            times: self.consensus.lease_times,
        };
        let mut out = Vec::new();
        let local = node.clock_skew.to_local(self.now);
        let mut accord = Accord::new(config, node.disk.flushed.clone(), local, &mut out);
        node.coordination = Some(accord.coordination().clone());
        let others = (0..self.trial.fronts).filter(|other| *other != front);
        let peers: BTreeSet<Name> = others.map(|other| Name::from(plan::front_name(other))).collect();
        accord.handle(local, Input::View(peers), &mut out);
        node.accord = Some(accord);
        self.apply_outputs(front, out);
        self.deliver(front, Input::Tick, true);
    }

    fn deliver(&mut self, front: usize, input: Input, tick: bool) {
        let node = &mut self.fronts[front];
        let local = node.clock_skew.to_local(self.now);
        let Some(accord) = &mut node.accord else { return };
        let mut out = Vec::new();
        accord.handle(local, input, &mut out);
        if tick {
            let due = accord.next_due();
            let (start_count, at) = (node.start_count, node.clock_skew.to_global(due).max(self.now + 1));
            self.queue.push(at, Event::Tick(front, start_count));
        }
        self.apply_outputs(front, out);
    }

    fn apply_outputs(&mut self, front: usize, out: Vec<Output>) {
        for output in out {
            self.out.lines.extend(history_log::line(self.now, &plan::front_name(front), &output));
            match output {
                Output::Write(writes) => self.fronts[front].disk.write(writes),
                Output::Send(envelope) => {
                    // No fault is placed after the end of the scheduled faults.
                    let is_step = envelope.body.affects_agreement() && self.now < self.faults_end;
                    self.out.steps += u64::from(is_step);
                    let step = is_step.then_some(self.out.steps);
                    if step.is_some() && step == self.placement.kill {
                        // The write is on disk, but the message is never sent.
                        self.apply_action(Action::Kill(front));
                        self.queue.push(self.now + 1_000_000, Event::Action(Action::Start(front)));
                        return;
                    }
                    if step.is_none() || step != self.placement.lose {
                        self.send(front, envelope);
                    }
                }
                Output::Coordination(coordination) => self.fronts[front].coordination = Some(coordination),
                _ => {}
            }
        }
    }

    fn send(&mut self, front: usize, envelope: Box<Envelope>) {
        self.out.datagrams += 1;
        let Some(other) = self.names.get(&envelope.to).copied() else { return };
        let at = self.net.stream_arrival(self.now, front, other, &mut self.rng);
        let Some(at) = at else { return };
        self.queue.push(at, Event::Arrive(other, envelope));
    }
}
