//! A trial in virtual time: the cores of membership themselves on one event queue, deterministic by seed.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally_members::core::view::Name;
use salttally_members::core::{Envelope, Input, LocalConfig, Members, Output, Times};
use salttally_members::history;
use salttally_members::wire::{self, KeyRing};
use serde_json::{json, Value};

use crate::describe::Trial;
use crate::net::Net;
use crate::plan::{self, Act, Plan};
use crate::queue::Queue;
use crate::skew::Skew;
use crate::Micros;

/// Datagrams that wait for a stopped process at most; the rest is lost, as in a socket's buffer.
const BUFFER: usize = 256;

/// What came out.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Histories and truth, in the order of time.
    pub lines: Vec<Value>,
    /// Events played.
    pub events: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Their bytes, as far as they were encoded.
    pub bytes: u64,
    /// Messages that carried something, in a trial of versions.
    pub carried: u64,
    /// Longest datagram, bytes.
    pub longest: usize,
    /// Virtual time, us.
    pub span: Micros,
}

enum Event {
    Act(Act),
    Tick(usize, u64),
    Arrive(usize, SocketAddr, Box<Envelope>),
}

struct Front {
    members: Option<Members>,
    starts: u64,
    stopped: bool,
    waiting: VecDeque<(SocketAddr, Box<Envelope>)>,
    skew: Skew,
}

struct World<'a> {
    trial: &'a Trial,
    times: Times,
    rng: Pcg32,
    net: Net,
    fronts: Vec<Front>,
    queue: Queue<Event>,
    now: Micros,
    /// Keys under which datagrams are encoded, where their size is of interest.
    weigh: Option<KeyRing>,
    out: Outcome,
}

/// Where a front listens.
pub fn address(front: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 1, (front / 250) as u8, (front % 250) as u8 + 1), 7301))
}

pub(crate) fn front_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = address else { return None };
    let octets = v4.ip().octets();
    (octets[1] == 1).then(|| usize::from(octets[2]) * 250 + usize::from(octets[3]) - 1)
}

/// Plays a trial by its plan. `weigh` encodes each datagram, to know its size.
pub fn play(trial: &Trial, plan: &Plan, seed: u64, times: Times, weigh: bool) -> Outcome {
    let clocks = plan::clocks(trial);
    let mut rng = Pcg32::seed_from_u64(seed);
    let fronts = (0..trial.fronts)
        .map(|front| Front {
            members: None,
            starts: 0,
            stopped: false,
            waiting: VecDeque::new(),
            skew: Skew::drawn(&mut rng, clocks[front]),
        })
        .collect();
    let mut world = World {
        trial,
        times,
        rng,
        net: Net::new(trial.link),
        fronts,
        queue: Queue::new(trial, plan, Event::Act),
        now: 0,
        weigh: KeyRing::new(vec![[7; 32]]).filter(|_| weigh),
        out: Outcome::default(),
    };
    world.out.lines.push(plan::opening(trial));
    while let Some((at, event)) = world.queue.pop() {
        world.now = at;
        world.out.events += 1;
        world.event(event);
    }
    let end = world.queue.end();
    world.out.span = end;
    world.out.lines.push(json!({"at": end, "truth": "end"}));
    world.out
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
            Event::Arrive(front, from, envelope) => {
                let there = &mut self.fronts[front];
                if there.members.is_none() {
                    return;
                }
                if there.stopped {
                    if there.waiting.len() < BUFFER {
                        there.waiting.push_back((from, envelope));
                    }
                    return;
                }
                self.hand(front, Input::Received(from, envelope), false);
            }
        }
    }

    fn act(&mut self, act: Act) {
        let told = plan::truth(self.now, &act, &mut self.net);
        match act {
            Act::Start(front) => {
                let there = &mut self.fronts[front];
                if there.members.is_some() {
                    return;
                }
                there.starts += 1;
                there.waiting.clear();
                let boot = u64::from(self.rng.next_u32()) << 20 | there.starts;
                let own = LocalConfig {
                    name: Name::from(plan::name(front)),
                    address: address(front),
                    zone: 0,
                    serves: None,
                    boot,
                    seeds: (0..self.trial.seeds).map(address).collect(),
                    observers: self.trial.observers,
                    times: self.times,
                };
                there.members = Some(Members::new(own, there.skew.local(self.now)));
                self.out.lines.extend(told);
                self.out.lines.push(json!({"at": self.now, "front": plan::name(front), "starts": boot}));
                self.hand(front, Input::Tick, true);
                return;
            }
            Act::Kill(front) | Act::Lose(front) => {
                let there = &mut self.fronts[front];
                if there.members.take().is_none() {
                    return;
                }
                there.starts += 1;
                there.stopped = false;
            }
            Act::Stop(front) => {
                if self.fronts[front].members.is_none() {
                    return;
                }
                self.fronts[front].stopped = true;
            }
            Act::Run(front) => {
                if !self.fronts[front].stopped {
                    return;
                }
                self.fronts[front].stopped = false;
                self.out.lines.extend(told);
                // What waited in its socket comes first, as it does to a process that wakes.
                while let Some((from, envelope)) = self.fronts[front].waiting.pop_front() {
                    self.hand(front, Input::Received(from, envelope), false);
                }
                self.hand(front, Input::Tick, true);
                return;
            }
            Act::Cut(..) | Act::Link(..) | Act::Calm => {}
        }
        self.out.lines.extend(told);
    }

    fn hand(&mut self, front: usize, input: Input, tick: bool) {
        let there = &mut self.fronts[front];
        let local = there.skew.local(self.now);
        let Some(members) = &mut there.members else { return };
        let mut out = Vec::new();
        members.handle(local, input, &mut out);
        let due = members.next_due();
        if tick {
            let (start, at) = (there.starts, there.skew.global(due).max(self.now + 1));
            self.queue.push(at, Event::Tick(front, start));
        }
        for output in out {
            match output {
                Output::Send(to, envelope) => self.send(front, to, envelope),
                other => {
                    if let Some(line) = history::line(self.now, &plan::name(front), &other) {
                        self.out.lines.push(line);
                    }
                }
            }
        }
    }

    fn send(&mut self, front: usize, to: SocketAddr, envelope: Box<Envelope>) {
        self.out.datagrams += 1;
        if let Some(ring) = &self.weigh {
            let size = wire::encode(&envelope, ring).map_or(usize::MAX, |bytes| bytes.len());
            self.out.longest = self.out.longest.max(size);
            self.out.bytes += size as u64;
        }
        let Some(other) = front_at(to).filter(|other| *other < self.trial.fronts) else { return };
        for delay in self.net.fate(self.now, front, other, &mut self.rng) {
            self.queue.push(self.now + delay, Event::Arrive(other, address(front), envelope.clone()));
        }
    }
}
