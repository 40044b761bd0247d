//! From the description to acts in time, with all draws made: what is played, in either clock.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{json, Value};

use crate::describe::{Fault, Kind, Trial};
use crate::net::{Net, Quality};
use crate::Micros;

/// One act.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// A process begins.
    Start(usize),
    /// It is killed.
    Kill(usize),
    /// It is killed, and its disk is lost.
    Lose(usize),
    /// It is stopped.
    Stop(usize),
    /// It goes on.
    Run(usize),
    /// Nothing goes from one to the other any more, or does again.
    Cut(usize, usize, bool),
    /// A link is like this by a fault, or no more.
    Link(usize, usize, usize, Option<Quality>),
    /// No fault from here on.
    Calm,
}

/// Acts in the order of time; equal times in this order.
pub type Plan = Vec<(Micros, Act)>;

/// Fronts start this far apart.
const STARTS: Micros = 20_000;
/// The fleet has come together before the first fault may fall: times of faults count from here.
pub const SETTLED: Micros = 6_000_000;

/// Name of a front.
pub fn name(front: usize) -> String {
    format!("f{front}")
}

/// The acts of a trial, by a seed.
pub fn plan(trial: &Trial, seed: u64) -> Plan {
    let mut rng = Pcg32::seed_from_u64(seed ^ 0x0074_7269_616c);
    let mut acts: Plan =
        (0..trial.fronts).map(|front| (front as Micros * STARTS, Act::Start(front))).collect();
    let mut calm = SETTLED;
    for (number, fault) in trial.faults.iter().enumerate() {
        let mut fall =
            Fall { acts: &mut acts, calm: &mut calm, from: fault.from + SETTLED, to: fault.to + SETTLED };
        fall.fault(trial, number, fault, &mut rng);
    }
    acts.push((calm, Act::Calm));
    acts.sort_by_key(|(at, _)| *at);
    acts
}

struct Fall<'a> {
    acts: &'a mut Plan,
    calm: &'a mut Micros,
    from: Micros,
    to: Micros,
}

impl Fall<'_> {
    fn act(&mut self, at: Micros, act: Act) {
        *self.calm = (*self.calm).max(at);
        self.acts.push((at, act));
    }

    fn fault(&mut self, trial: &Trial, number: usize, fault: &Fault, rng: &mut Pcg32) {
        let (from, to) = (self.from, self.to);
        match &fault.kind {
            Kind::Kill(fronts, back) => {
                for front in fronts {
                    self.act(from, Act::Kill(*front));
                    if *back {
                        self.act(to, Act::Start(*front));
                    }
                }
            }
            Kind::Lose(fronts) => {
                for front in fronts {
                    self.act(from, Act::Lose(*front));
                    self.act(to, Act::Start(*front));
                }
            }
            Kind::Stop(fronts) => {
                for front in fronts {
                    self.act(from, Act::Stop(*front));
                    self.act(to, Act::Run(*front));
                }
            }
            Kind::Stops(at_once, span) => {
                self.drawn(trial.fronts, *at_once, *span, rng, Act::Stop, Act::Run);
            }
            Kind::Crashes(at_once, span) => {
                self.drawn(trial.fronts, *at_once, *span, rng, Act::Kill, Act::Start);
            }
            Kind::Rolling(fronts, apart) => {
                for (place, front) in fronts.iter().enumerate() {
                    let at = from + place as Micros * apart;
                    self.act(at, Act::Kill(*front));
                    self.act(at + apart, Act::Start(*front));
                }
            }
            Kind::Cut(these, those, one_sided) => {
                for (a, b) in pairs(these, those) {
                    self.act(from, Act::Cut(a, b, true));
                    self.act(to, Act::Cut(a, b, false));
                    if !one_sided {
                        self.act(from, Act::Cut(b, a, true));
                        self.act(to, Act::Cut(b, a, false));
                    }
                }
            }
            Kind::Link(these, those, quality) => {
                for (a, b) in pairs(these, those) {
                    self.act(from, Act::Link(a, b, number, Some(*quality)));
                    self.act(to, Act::Link(a, b, number, None));
                }
            }
            Kind::Clock(..) => {}
        }
    }

    /// All through, so many at a time are struck and let go again, drawn anew.
    fn drawn(
        &mut self,
        fronts: usize,
        at_once: usize,
        span: Micros,
        rng: &mut Pcg32,
        strike: fn(usize) -> Act,
        let_go: fn(usize) -> Act,
    ) {
        let (mut at, mut last) = (self.from, Vec::new());
        while at + span <= self.to {
            let mut struck = Vec::new();
            while struck.len() < at_once.min(fronts / 2) {
                let front = rng.next_u32() as usize % fronts;
                // Nobody twice in a row: each is back for a while before it is struck again.
                if !struck.contains(&front) && !last.contains(&front) {
                    struck.push(front);
                }
            }
            for front in &struck {
                self.act(at, strike(*front));
                self.act(at + span, let_go(*front));
            }
            last = struck;
            at += span + 500_000 + u64::from(rng.next_u32()) % 500_000;
        }
    }
}

fn pairs(these: &[usize], those: &[usize]) -> Vec<(usize, usize)> {
    let all = these.iter().flat_map(|a| those.iter().map(move |b| (*a, *b)));
    all.filter(|(a, b)| a != b).collect()
}

/// The first line of the truth.
pub fn opening(trial: &Trial) -> Value {
    let fronts: Vec<String> = (0..trial.fronts).map(name).collect();
    let [removed, equal, borne] = trial.stated;
    json!({"at": 0, "truth": "trial", "name": trial.name, "fronts": fronts, "removed_us": removed,
        "equal_us": equal, "borne_us": borne})
}

/// Whether an act changes anything: nobody starts twice, and only what runs is struck. `state` tells of a front whether it
/// is up, and stopped.
pub fn takes_place(act: &Act, state: impl Fn(usize) -> (bool, bool)) -> bool {
    match act {
        Act::Start(front) => !state(*front).0,
        Act::Kill(front) | Act::Lose(front) | Act::Stop(front) => state(*front).0,
        Act::Run(front) => state(*front) == (true, true),
        Act::Cut(..) | Act::Link(..) | Act::Calm => true,
    }
}

/// Carries the part of an act out that concerns links, and tells it for the judge.
pub fn truth(at: Micros, act: &Act, net: &mut Net) -> Option<Value> {
    let of = |truth: &str, front: &usize| Some(json!({"at": at, "truth": truth, "front": name(*front)}));
    match act {
        Act::Start(front) => of("up", front),
        Act::Kill(front) | Act::Lose(front) => of("down", front),
        Act::Stop(front) => of("stopped", front),
        Act::Run(front) => of("running", front),
        Act::Cut(a, b, on) => {
            let changed = net.cut(*a, *b, *on);
            changed.then(|| json!({"at": at, "truth": "cut", "from": name(*a), "to": name(*b), "on": on}))
        }
        Act::Link(a, b, fault, quality) => {
            net.like(*a, *b, *fault, *quality);
            None
        }
        Act::Calm => Some(json!({"at": at, "truth": "calm"})),
    }
}

/// Offsets of the processes' clocks.
pub fn clocks(trial: &Trial) -> Vec<i64> {
    let mut clocks = vec![0; trial.fronts];
    for fault in &trial.faults {
        if let Kind::Clock(fronts, offset) = &fault.kind {
            fronts.iter().for_each(|front| clocks[*front] = *offset);
        }
    }
    clocks
}
