//! Runs the membership cores of a fleet in virtual time on one event queue; deterministic for a given seed.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally_members::core::view::Name;
use salttally_members::core::{Envelope, Input, LocalConfig, Members, Output, Times};
use salttally_members::history;
use salttally_members::wire::{self, KeyRing};
use serde_json::{json, Value};

use crate::clock_skew::ClockSkew;
use crate::describe::Trial;
use crate::net::Net;
use crate::plan::{self, Action, Plan};
use crate::queue::Queue;
use crate::Micros;

/// Largest number of datagrams buffered for a paused process; more are dropped, as by a full socket buffer.
const MAX_BUFFERED_DATAGRAMS: usize = 256;

/// Result of a trial in virtual time.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Histories of the fronts and the record of actions, in time order.
    pub lines: Vec<Value>,
    /// Number of events processed.
    pub events: u64,
    /// Number of datagrams or messages sent.
    pub datagrams: u64,
    /// Bytes of the datagrams, where they were encoded.
    pub bytes: u64,
    /// Number of steps at which [`consensus`](crate::consensus) or [`full_stack`](crate::full_stack) may place a fault.
    pub steps: u64,
    /// Size of the largest datagram, bytes.
    pub max_datagram_bytes: usize,
    /// Duration in virtual time, us.
    pub span: Micros,
}

enum Event {
    Action(Action),
    Tick(usize, u64),
    Arrive(usize, SocketAddr, Box<Envelope>),
}

struct Front {
    members: Option<Members>,
    start_count: u64,
    paused: bool,
    buffered: VecDeque<(SocketAddr, Box<Envelope>)>,
    clock_skew: ClockSkew,
}

struct World<'a> {
    trial: &'a Trial,
    times: Times,
    rng: Pcg32,
    net: Net,
    fronts: Vec<Front>,
    queue: Queue<Event>,
    now: Micros,
    /// Keys to encode datagrams with; `None` if sizes are not measured.
    key_ring: Option<KeyRing>,
    out: Outcome,
}

/// Returns the address of a front.
pub fn address(front: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 1, (front / 250) as u8, (front % 250) as u8 + 1), 7301))
}

/// Returns the number of the front at this address.
pub(crate) fn front_by_address(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = address else { return None };
    let octets = v4.ip().octets();
    (octets[1] == 1).then(|| usize::from(octets[2]) * 250 + usize::from(octets[3]) - 1)
}

/// Runs a trial by its plan. With `measure_bytes`, each datagram is encoded to determine its size.
pub fn play(trial: &Trial, plan: &Plan, seed: u64, times: Times, measure_bytes: bool) -> Outcome {
    let clocks = plan::clock_offsets(trial);
    let mut rng = Pcg32::seed_from_u64(seed);
    let fronts = (0..trial.fronts)
        .map(|front| Front {
            members: None,
            start_count: 0,
            paused: false,
            buffered: VecDeque::new(),
            clock_skew: ClockSkew::random(&mut rng, clocks[front]),
        })
        .collect();
    let mut world = World {
        trial,
        times,
        rng,
        net: Net::new(trial.link),
        fronts,
        queue: Queue::new(trial, plan, Event::Action),
        now: 0,
        key_ring: KeyRing::new(vec![[7; 32]]).filter(|_| measure_bytes),
        out: Outcome::default(),
    };
    world.out.lines.push(plan::header_line(trial));
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
            Event::Action(action) => self.apply_action(action),
            Event::Tick(front, start_count) => {
                if self.fronts[front].start_count == start_count && !self.fronts[front].paused {
                    self.deliver(front, Input::Tick, true);
                }
            }
            Event::Arrive(front, from, envelope) => {
                let node = &mut self.fronts[front];
                if node.members.is_none() {
                    return;
                }
                if node.paused {
                    if node.buffered.len() < MAX_BUFFERED_DATAGRAMS {
                        node.buffered.push_back((from, envelope));
                    }
                    return;
                }
                self.deliver(front, Input::Received(from, envelope), false);
            }
        }
    }

    fn apply_action(&mut self, action: Action) {
        let record = plan::record_action(self.now, &action, &mut self.net);
        match action {
            Action::Start(front) => {
                let node = &mut self.fronts[front];
                if node.members.is_some() {
                    return;
                }
                node.start_count += 1;
                node.buffered.clear();
                let boot = u64::from(self.rng.next_u32()) << 20 | node.start_count;
                let config = LocalConfig {
                    name: Name::from(plan::front_name(front)),
                    address: address(front),
                    zone: 0,
                    serves: None,
                    boot,
                    seeds: (0..self.trial.seeds).map(address).collect(),
                    observers: self.trial.observers,
                    times: self.times,
                };
                node.members = Some(Members::new(config, node.clock_skew.to_local(self.now)));
                self.out.lines.extend(record);
                self.out
                    .lines
                    .push(json!({"at": self.now, "front": plan::front_name(front), "starts": boot}));
                self.deliver(front, Input::Tick, true);
                return;
            }
            Action::Kill(front) | Action::KillAndWipe(front) => {
                let node = &mut self.fronts[front];
                if node.members.take().is_none() {
                    return;
                }
                node.start_count += 1;
                node.paused = false;
            }
            Action::Stop(front) => {
                if self.fronts[front].members.is_none() {
                    return;
                }
                self.fronts[front].paused = true;
            }
            Action::Resume(front) => {
                if !self.fronts[front].paused {
                    return;
                }
                self.fronts[front].paused = false;
                self.out.lines.extend(record);
                // Buffered datagrams are read first, as by a resumed process.
                while let Some((from, envelope)) = self.fronts[front].buffered.pop_front() {
                    self.deliver(front, Input::Received(from, envelope), false);
                }
                self.deliver(front, Input::Tick, true);
                return;
            }
            Action::Cut(..) | Action::Link(..) | Action::FaultsOver => {}
        }
        self.out.lines.extend(record);
    }

    fn deliver(&mut self, front: usize, input: Input, tick: bool) {
        let node = &mut self.fronts[front];
        let local = node.clock_skew.to_local(self.now);
        let Some(members) = &mut node.members else { return };
        let mut out = Vec::new();
        members.handle(local, input, &mut out);
        let due = members.next_due();
        if tick {
            let (start_count, at) = (node.start_count, node.clock_skew.to_global(due).max(self.now + 1));
            self.queue.push(at, Event::Tick(front, start_count));
        }
        for output in out {
            match output {
                Output::Send(to, envelope) => self.send(front, to, envelope),
                other => {
                    if let Some(line) = history::line(self.now, &plan::front_name(front), &other) {
                        self.out.lines.push(line);
                    }
                }
            }
        }
    }

    fn send(&mut self, front: usize, to: SocketAddr, envelope: Box<Envelope>) {
        self.out.datagrams += 1;
        if let Some(ring) = &self.key_ring {
            let size = wire::encode(&envelope, ring).map_or(usize::MAX, |bytes| bytes.len());
            self.out.max_datagram_bytes = self.out.max_datagram_bytes.max(size);
            self.out.bytes += size as u64;
        }
        let Some(other) = front_by_address(to).filter(|other| *other < self.trial.fronts) else { return };
        for delay in self.net.delivery_delays(self.now, front, other, &mut self.rng) {
            self.queue.push(self.now + delay, Event::Arrive(other, address(front), envelope.clone()));
        }
    }
}
