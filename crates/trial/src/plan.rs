//! Expands a trial description into timed actions. All random draws are made here, so that real and virtual time execute
//! the same plan.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{json, Value};

use crate::describe::{Fault, FaultKind, Trial};
use crate::net::{Net, Quality};
use crate::Micros;

/// One action of a plan. Fronts are given by number.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts a process.
    Start(usize),
    /// Kills a process.
    Kill(usize),
    /// Kills a process and wipes its disk.
    KillAndWipe(usize),
    /// Pauses a process.
    Stop(usize),
    /// Resumes a paused process.
    Resume(usize),
    /// Adds (`true`) or removes (`false`) a cut of the link from the first front to the second.
    Cut(usize, usize, bool),
    /// Sets the quality of the link from the first front to the second for a fault (third value); `None` ends it.
    Link(usize, usize, usize, Option<Quality>),
    /// No fault occurs from here on.
    FaultsOver,
}

/// Actions with their times, us, in order of execution.
pub type Plan = Vec<(Micros, Action)>;

/// Interval between the starts of the fronts, us.
const START_INTERVAL: Micros = 20_000;
/// Time for the fleet to form before the first fault, us. Fault times in the description count from here.
pub const FORMATION_TIME: Micros = 6_000_000;

/// Returns the name of a front.
pub fn front_name(front: usize) -> String {
    format!("f{front}")
}

/// Expands a trial into a plan; the seed determines all random draws.
pub fn plan(trial: &Trial, seed: u64) -> Plan {
    let mut rng = Pcg32::seed_from_u64(seed ^ 0x0074_7269_616c);
    let mut actions: Plan =
        (0..trial.fronts).map(|front| (front as Micros * START_INTERVAL, Action::Start(front))).collect();
    let mut faults_over = FORMATION_TIME;
    for (number, fault) in trial.faults.iter().enumerate() {
        let mut scheduler = FaultScheduler {
            actions: &mut actions,
            faults_over: &mut faults_over,
            from: fault.from + FORMATION_TIME,
            to: fault.to + FORMATION_TIME,
        };
        scheduler.fault(trial, number, fault, &mut rng);
    }
    actions.push((faults_over, Action::FaultsOver));
    actions.sort_by_key(|(at, _)| *at);
    actions
}

/// Appends the actions of one fault to a plan.
struct FaultScheduler<'a> {
    actions: &'a mut Plan,
    faults_over: &'a mut Micros,
    from: Micros,
    to: Micros,
}

impl FaultScheduler<'_> {
    fn push(&mut self, at: Micros, action: Action) {
        *self.faults_over = (*self.faults_over).max(at);
        self.actions.push((at, action));
    }

    fn fault(&mut self, trial: &Trial, number: usize, fault: &Fault, rng: &mut Pcg32) {
        let (from, to) = (self.from, self.to);
        match &fault.kind {
            FaultKind::Kill(fronts, restart) => {
                for front in fronts {
                    self.push(from, Action::Kill(*front));
                    if *restart {
                        self.push(to, Action::Start(*front));
                    }
                }
            }
            FaultKind::Lose(fronts) => {
                for front in fronts {
                    self.push(from, Action::KillAndWipe(*front));
                    self.push(to, Action::Start(*front));
                }
            }
            FaultKind::Stop(fronts) => {
                for front in fronts {
                    self.push(from, Action::Stop(*front));
                    self.push(to, Action::Resume(*front));
                }
            }
            FaultKind::Stops(at_once, span) => {
                self.schedule_random(trial.fronts, *at_once, *span, rng, Action::Stop, Action::Resume);
            }
            FaultKind::Crashes(at_once, span) => {
                self.schedule_random(trial.fronts, *at_once, *span, rng, Action::Kill, Action::Start);
            }
            FaultKind::Rolling(fronts, interval) => {
                for (place, front) in fronts.iter().enumerate() {
                    let at = from + place as Micros * interval;
                    self.push(at, Action::Kill(*front));
                    self.push(at + interval, Action::Start(*front));
                }
            }
            FaultKind::Cut(sources, targets, one_sided) => {
                for (a, b) in pairs(sources, targets) {
                    self.push(from, Action::Cut(a, b, true));
                    self.push(to, Action::Cut(a, b, false));
                    if !one_sided {
                        self.push(from, Action::Cut(b, a, true));
                        self.push(to, Action::Cut(b, a, false));
                    }
                }
            }
            FaultKind::Link(sources, targets, quality) => {
                for (a, b) in pairs(sources, targets) {
                    self.push(from, Action::Link(a, b, number, Some(*quality)));
                    self.push(to, Action::Link(a, b, number, None));
                }
            }
            FaultKind::Clock(..) => {}
        }
    }

    /// Repeatedly applies a fault to a number of randomly chosen fronts at a time, over the whole period.
    fn schedule_random(
        &mut self,
        fronts: usize,
        at_once: usize,
        span: Micros,
        rng: &mut Pcg32,
        begin: fn(usize) -> Action,
        end: fn(usize) -> Action,
    ) {
        let (mut at, mut last) = (self.from, Vec::new());
        while at + span <= self.to {
            let mut chosen = Vec::new();
            while chosen.len() < at_once.min(fronts / 2) {
                let front = rng.next_u32() as usize % fronts;
                // No front is chosen twice in a row, so that each runs for a while in between.
                if !chosen.contains(&front) && !last.contains(&front) {
                    chosen.push(front);
                }
            }
            for front in &chosen {
                self.push(at, begin(*front));
                self.push(at + span, end(*front));
            }
            last = chosen;
            at += span + 500_000 + u64::from(rng.next_u32()) % 500_000;
        }
    }
}

fn pairs(sources: &[usize], targets: &[usize]) -> Vec<(usize, usize)> {
    let all = sources.iter().flat_map(|a| targets.iter().map(move |b| (*a, *b)));
    all.filter(|(a, b)| a != b).collect()
}

/// Returns the first line of the history, which states the fronts and the time bounds.
pub fn header_line(trial: &Trial) -> Value {
    let fronts: Vec<String> = (0..trial.fronts).map(front_name).collect();
    let [removed, equal, tolerated_pause] = trial.time_bounds;
    json!({"at": 0, "truth": "trial", "name": trial.name, "fronts": fronts, "removed_us": removed,
        "equal_us": equal, "borne_us": tolerated_pause})
}

/// Returns whether an action has an effect: a running front is not started, and only a running one is killed or paused.
/// `state` returns whether a front is up and whether it is paused.
pub fn is_applicable(action: &Action, state: impl Fn(usize) -> (bool, bool)) -> bool {
    match action {
        Action::Start(front) => !state(*front).0,
        Action::Kill(front) | Action::KillAndWipe(front) | Action::Stop(front) => state(*front).0,
        Action::Resume(front) => state(*front) == (true, true),
        Action::Cut(..) | Action::Link(..) | Action::FaultsOver => true,
    }
}

/// Applies the network part of an action and returns the history line that records the action for the judge.
pub fn record_action(at: Micros, action: &Action, net: &mut Net) -> Option<Value> {
    let front_event =
        |truth: &str, front: &usize| Some(json!({"at": at, "truth": truth, "front": front_name(*front)}));
    match action {
        Action::Start(front) => front_event("up", front),
        Action::Kill(front) | Action::KillAndWipe(front) => front_event("down", front),
        Action::Stop(front) => front_event("stopped", front),
        Action::Resume(front) => front_event("running", front),
        Action::Cut(a, b, on) => {
            let changed = net.cut(*a, *b, *on);
            changed.then(
                || json!({"at": at, "truth": "cut", "from": front_name(*a), "to": front_name(*b), "on": on}),
            )
        }
        Action::Link(a, b, fault, quality) => {
            net.set_quality(*a, *b, *fault, *quality);
            None
        }
        Action::FaultsOver => Some(json!({"at": at, "truth": "calm"})),
    }
}

/// Returns the clock offset of each front, us.
pub fn clock_offsets(trial: &Trial) -> Vec<i64> {
    let mut clock_offsets = vec![0; trial.fronts];
    for fault in &trial.faults {
        if let FaultKind::Clock(fronts, offset) = &fault.kind {
            fronts.iter().for_each(|front| clock_offsets[*front] = *offset);
        }
    }
    clock_offsets
}
