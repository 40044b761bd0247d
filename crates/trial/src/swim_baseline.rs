//! Baseline for comparison with membership: SWIM with suspicion, by the crate `foca`, under the same plans and links. Not
//! part of the product.

use std::collections::{BTreeSet, VecDeque};
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{AccumulatingRuntime, Config, Foca, Identity, OwnedNotification, PostcardCodec, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng as _;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::describe::Trial;
use crate::membership::Outcome;
use crate::net::Net;
use crate::plan::{self, Action, Plan};
use crate::queue::Queue;
use crate::Micros;

/// Identity of a front; a later start of a front supersedes an earlier one.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
struct Id {
    front: u16,
    #[serde(rename = "start")]
    start_count: u32,
}

impl Identity for Id {
    type Addr = u16;

    fn renew(&self) -> Option<Self> {
        Some(Id { front: self.front, start_count: self.start_count + 1 })
    }

    fn addr(&self) -> u16 {
        self.front
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.start_count > adversary.start_count
    }
}

type Swim = Foca<Id, PostcardCodec, SmallRng, foca::NoCustomBroadcast>;

struct Front {
    swim: Option<Swim>,
    start_count: u32,
    paused: bool,
    buffered: VecDeque<Event>,
    members: BTreeSet<u16>,
    changes: u64,
}

enum Event {
    Action(Action),
    Timer(usize, u32, Timer<Id>),
    Arrive(usize, Vec<u8>),
    Announce(usize, u32),
}

struct World<'a> {
    trial: &'a Trial,
    config: Config,
    rng: Pcg32,
    net: Net,
    fronts: Vec<Front>,
    queue: Queue<Event>,
    now: Micros,
    out: Outcome,
}

/// Returns the crate's default settings for a local network.
pub fn default_config(fronts: usize) -> Config {
    let size = NonZeroU32::new(fronts as u32).unwrap_or(NonZeroU32::MIN);
    Config { max_packet_size: NonZeroUsize::new(1_200).unwrap_or(NonZeroUsize::MIN), ..Config::new_lan(size) }
}

/// Returns settings with the timing of membership: a ping every 400 ms, and down 1.2 s after the first suspicion.
pub fn fast_config(fronts: usize) -> Config {
    Config {
        probe_period: Duration::from_millis(400),
        probe_rtt: Duration::from_millis(160),
        suspect_to_down_after: Duration::from_millis(1_200),
        ..default_config(fronts)
    }
}

/// Runs a trial by its plan.
pub fn play(trial: &Trial, plan: &Plan, seed: u64, config: Config) -> Outcome {
    let front = || Front {
        swim: None,
        start_count: 0,
        paused: false,
        buffered: VecDeque::new(),
        members: BTreeSet::new(),
        changes: 0,
    };
    let mut world = World {
        trial,
        config,
        rng: Pcg32::seed_from_u64(seed),
        net: Net::new(trial.link),
        fronts: (0..trial.fronts).map(|_| front()).collect(),
        queue: Queue::new(trial, plan, Event::Action),
        now: 0,
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
        let (front, start_count) = match &event {
            Event::Action(action) => return self.apply_action(&action.clone()),
            Event::Timer(front, start_count, _) | Event::Announce(front, start_count) => {
                (*front, Some(*start_count))
            }
            Event::Arrive(front, _) => (*front, None),
        };
        let node = &mut self.fronts[front];
        if node.swim.is_none() || start_count.is_some_and(|start_count| start_count != node.start_count) {
            return;
        }
        if node.paused {
            // Timers that expire during a pause are handled on resume, as datagrams are.
            node.buffered.push_back(event);
            return;
        }
        self.deliver(front, event);
    }

    fn apply_action(&mut self, action: &Action) {
        let record = plan::record_action(self.now, action, &mut self.net);
        match action {
            Action::Start(front) if self.fronts[*front].swim.is_none() => {
                let rng = SmallRng::seed_from_u64(u64::from(self.rng.next_u32()));
                let node = &mut self.fronts[*front];
                node.start_count += 1;
                node.buffered.clear();
                node.members.clear();
                // The gap between starts leaves room for renewals of the identity.
                let id = Id { front: *front as u16, start_count: node.start_count * 10_000 };
                node.swim = Some(Foca::new(id, self.config.clone(), rng, PostcardCodec));
                let start_count = node.start_count;
                self.out.lines.extend(record);
                self.out
                    .lines
                    .push(json!({"at": self.now, "front": plan::front_name(*front), "starts": start_count}));
                self.out
                    .lines
                    .push(json!({"at": self.now, "front": plan::front_name(*front), "stands": "in"}));
                self.view(*front, None);
                return self.deliver(*front, Event::Announce(*front, start_count));
            }
            Action::Kill(front) if self.fronts[*front].swim.is_some() => {
                let node = &mut self.fronts[*front];
                (node.swim, node.paused) = (None, false);
            }
            Action::Stop(front) if self.fronts[*front].swim.is_some() => self.fronts[*front].paused = true,
            Action::Resume(front) if self.fronts[*front].paused => {
                self.fronts[*front].paused = false;
                self.out.lines.extend(record);
                while let Some(event) = self.fronts[*front].buffered.pop_front() {
                    self.event(event);
                }
                return;
            }
            Action::Cut(..) | Action::Link(..) | Action::FaultsOver => {}
            _ => return,
        }
        self.out.lines.extend(record);
    }

    fn deliver(&mut self, front: usize, event: Event) {
        let seeds = self.trial.seeds;
        let node = &mut self.fronts[front];
        let start_count = node.start_count;
        let Some(swim) = &mut node.swim else { return };
        let mut runtime = AccumulatingRuntime::new();
        let mut announce = false;
        match event {
            Event::Timer(_, _, timer) => drop(swim.handle_timer(timer, &mut runtime)),
            Event::Arrive(_, bytes) => drop(swim.handle_data(&bytes, &mut runtime)),
            Event::Announce(..) => {
                announce = swim.num_members() == 0;
                for seed in (0..seeds).filter(|seed| *seed != front && announce) {
                    drop(swim.announce(Id { front: seed as u16, start_count: 0 }, &mut runtime));
                }
            }
            Event::Action(_) => {}
        }
        if announce {
            self.queue.push(self.now + 200_000, Event::Announce(front, start_count));
        }
        while let Some((to, bytes)) = runtime.to_send() {
            self.out.datagrams += 1;
            self.out.bytes += bytes.len() as u64;
            self.out.max_datagram_bytes = self.out.max_datagram_bytes.max(bytes.len());
            let to = usize::from(to.front);
            for delay in self.net.delivery_delays(self.now, front, to, &mut self.rng) {
                self.queue.push(self.now + delay, Event::Arrive(to, bytes.to_vec()));
            }
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.queue.push(self.now + after.as_micros() as Micros, Event::Timer(front, start_count, timer));
        }
        while let Some(notification) = runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(id) if self.fronts[front].members.insert(id.front) => {
                    self.view(front, None);
                }
                OwnedNotification::MemberDown(id) if self.fronts[front].members.remove(&id.front) => {
                    self.view(front, Some(id.front));
                }
                _ => {}
            }
        }
    }

    fn view(&mut self, front: usize, removed: Option<u16>) {
        let node = &mut self.fronts[front];
        node.changes += 1;
        let mut members: Vec<String> =
            node.members.iter().map(|other| plan::front_name(usize::from(*other))).collect();
        members.push(plan::front_name(front));
        members.sort();
        let removed: Vec<_> = removed
            .map(|other| json!([plan::front_name(usize::from(other)), "unreached"]))
            .into_iter()
            .collect();
        let digest = members.join("-");
        self.out.lines.push(json!({"at": self.now, "front": plan::front_name(front), "view": node.changes,
            "digest": digest, "members": members, "gone": removed}));
    }
}
