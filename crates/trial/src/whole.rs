//! Whole fronts in virtual time: the module, the ledger, membership, accord and copies of each, as they are in service, on
//! one event queue with boxes, a list and viewers around them. Deterministic by seed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use salttally::controller::Controller;
use salttally::interface::{ListKind, ServerEntry, ServerId, ServerState, SessionId, ViewerId};
use salttally_accord::core as accord;
use salttally_accord::core::lease::LeaseTimes as Leases;
use salttally_copies::core as copies;
use salttally_copies::history_log;
use salttally_front::core::agreed_rules::{AgreedRules, SettingsNames};
use salttally_front::core::session_records::PeerFront;
use salttally_front::core::{
    Answer, BoxAnswer, BoxRequest, ClientId, ConnId, DialError, EndReason, ExchangeEnd, HeldSession, Input,
    Ledger, ListEntry, Notification, OpenRequest, Output, Reply, StreamEvent, Ticket,
};
use salttally_front::settings::Settings;
use salttally_members::core as members;
use salttally_members::core::view::Name;
use salttally_members::history;
use serde_json::json;

use crate::describe::{Promises, Trial};
use crate::net::Net;
use crate::plan::{self, Act, Plan};
use crate::queue::Queue;
use crate::skew::Skew;
use crate::versions::Disk;
use crate::virt::{address, front_at, Outcome};
use crate::Micros;

const MS: Micros = 1_000;
/// One way between a front and a box or a viewer.
const NEAR: Micros = 300;
/// A box sets a session up in this time.
const SET_UP: Micros = 5 * MS;
/// Pause between two signs of life on an event stream.
const BEAT: Micros = 400 * MS;
/// Messages that wait for a stopped process at most, of each kind; the rest is lost.
const BUFFER: usize = 2_048;
/// An attempt that was released before it came is barred so long.
const BARRED: Micros = 30_000 * MS;
/// A viewer waits so long for its answer, and looks so long for a session.
const PATIENCE: Micros = 2_000 * MS;
const LOOKS: Micros = 40_000 * MS;

/// What the fronts are told of the fleet.
const SETTINGS: &str = r#"
box-list "127.0.0.1:9"
fleet cells=1 link-kb=1000000 links-kb=6000000 refuses-from=1.0
ladder { rung kb=100 worth=0.2; rung kb=200 worth=0.5; rung kb=400 worth=1.0; }
class "clip" aim-ms=1000
class "paid" aim-ms=1000 effect="once" gain=2.0 floor=1
title "welcome" first-cell=0 cells=1
rules { attempts 3; drain-grace-ms 1000; warm-up-ms 1000; cold-from 0.4; fall-multiple 2.0; fall-ms 1000; }
limits { claim-within-ms 5000; silent-kept-ms 15000; }
"#;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Which {
    Members,
    Accord,
    Copies,
    Ledger,
}

/// What arrives at a process's sockets.
#[derive(Clone)]
enum In {
    Datagram(SocketAddr, Box<members::Envelope>),
    Accord(Box<accord::Envelope>),
    Passed(Name, Box<copies::Body>),
    Ledger(Box<Input>),
}

enum Event {
    Act(Act),
    Tick(usize, u64, Which),
    Comes(usize, u64, In),
    Asked {
        server: u32,
        front: usize,
        start: u64,
        conn: ConnId,
        request: Box<BoxRequest>,
        epoch: Option<u64>,
    },
    Begins {
        server: u32,
        key: (SessionId, u32),
        front: usize,
        start: u64,
        conn: ConnId,
    },
    Hung {
        server: u32,
        front: usize,
        start: u64,
        conn: Option<ConnId>,
    },
    Listens {
        server: u32,
        front: usize,
        start: u64,
        number: u64,
    },
    Beats {
        server: u32,
        front: usize,
        start: u64,
        number: u64,
    },
    Viewer(usize, u64, Step),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Opens,
    Waited,
    Leaves,
    Looks,
}

struct Alive {
    members: members::Members,
    accord: accord::Accord,
    copies: copies::Copies,
    ledger: Ledger<Controller>,
    due: [Micros; 4],
}

struct Node {
    alive: Option<Alive>,
    accord_disk: Disk,
    copies_disk: copies::Image,
    disk: u64,
    starts: u64,
    stopped: bool,
    waiting: VecDeque<In>,
    skew: Skew,
}

struct Plays {
    front: usize,
    rung: usize,
    opening: OpenRequest,
    begun: bool,
    by: (usize, u64, ConnId),
}

#[derive(Default)]
struct Server {
    plays: BTreeMap<(SessionId, u32), Plays>,
    lives: BTreeMap<String, u64>,
    barred: BTreeMap<(SessionId, u32), Micros>,
    streams: BTreeMap<(usize, u64), u64>,
}

#[derive(Clone, Debug, PartialEq)]
enum Stands {
    Idle,
    Asks,
    Watches(SessionId),
    Looks(SessionId, Micros),
}

struct Viewer {
    stands: Stands,
    /// Counts what it does, so that what was to follow on something else does not.
    turn: u64,
    ticket: u64,
    at: usize,
    client: ClientId,
    until: Micros,
    paid: bool,
    moved: Option<SessionId>,
    hint: Option<usize>,
    closing: bool,
}

/// One crash and one stop, each at a step of a promise: a message of copies that carries a change or its acknowledgement,
/// a request written for a session, or an answer that it plays, counted from the first of the trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Struck {
    /// Whoever is about to take this step is killed before it, with its disk or without, and starts again 3 s later.
    pub kill: Option<(u64, bool)>,
    /// As this step is taken this front is stopped, for so long, us.
    pub stop: Option<(u64, usize, Micros)>,
}

/// What placing one crash and one stop everywhere came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placed {
    /// Steps in the trial as it is.
    pub steps: u64,
    /// Schedules played, and those in which a life was taken over.
    pub schedules: [u64; 2],
    /// The first schedule that broke something, and what.
    pub broken: Option<(Struck, String)>,
}

/// Plays a trial once for each place of one crash, with the disk and without, and beside it for each place of one stop of
/// each front, `apart` steps apart.
pub fn placements(trial: &Trial, promises: &Promises, seed: u64, apart: u64) -> Placed {
    let plan = plan::plan(trial, seed);
    let steps = play_struck(trial, promises, &plan, seed, Struck::default()).carried;
    let mut placed = Placed { steps, ..Placed::default() };
    let at = || (1..=steps).step_by(apart.max(1) as usize);
    let stops = at().flat_map(|step| (0..trial.fronts).map(move |front| Some((step, front, 5_000 * MS))));
    let stops: Vec<Option<(u64, usize, Micros)>> = std::iter::once(None).chain(stops).collect();
    for kill in at().flat_map(|step| [Some((step, false)), Some((step, true))]) {
        for stop in &stops {
            let struck = Struck { kill, stop: *stop };
            let verdict =
                salttally_judge::copies::judge(&play_struck(trial, promises, &plan, seed, struck).lines);
            placed.schedules[0] += 1;
            placed.schedules[1] += u64::from(verdict.counts[1] > 0);
            if let Some((of, text)) = verdict.broken.into_iter().next() {
                placed.broken = Some((struck, format!("{}: {text}", of.description())));
                return placed;
            }
        }
    }
    placed
}

struct World<'a> {
    trial: &'a Trial,
    promises: &'a Promises,
    settings: Settings,
    rng: Pcg32,
    net: Net,
    nodes: Vec<Node>,
    names: BTreeMap<Name, usize>,
    servers: Vec<Server>,
    viewers: Vec<Viewer>,
    clients: BTreeMap<ClientId, usize>,
    queue: Queue<Event>,
    now: Micros,
    calm: Micros,
    struck: Struck,
    /// What fronts last acknowledged to each other.
    said: BTreeMap<(usize, usize, copies::Incarnation), u64>,
    out: Outcome,
}

/// Plays a trial that describes promises.
pub fn play(trial: &Trial, promises: &Promises, plan: &Plan, seed: u64) -> Outcome {
    play_struck(trial, promises, plan, seed, Struck::default())
}

/// The same with one crash and one stop at steps of promises.
pub fn play_struck(trial: &Trial, promises: &Promises, plan: &Plan, seed: u64, struck: Struck) -> Outcome {
    let mut rng = Pcg32::seed_from_u64(seed);
    let nodes: Vec<Node> = (0..trial.fronts)
        .map(|_| Node {
            alive: None,
            accord_disk: Disk::default(),
            copies_disk: copies::Image::default(),
            disk: 0,
            starts: 0,
            stopped: false,
            waiting: VecDeque::new(),
            skew: Skew::drawn(&mut rng, 0),
        })
        .collect();
    let queue = Queue::new(trial, plan, Event::Act);
    let calm = queue.end().saturating_sub(trial.quiet);
    let text = format!("front \"f0\" {{ listen \"127.0.0.1:7001\"; fronts {}; }}\n{SETTINGS}", trial.fronts);
    let settings = match Settings::parse("trial.kdl", &text) {
        Ok(settings) => settings,
        Err(error) => unreachable!("the trial's own settings hold: {error}"),
    };
    let viewer = |number: usize| Viewer {
        stands: Stands::Idle,
        turn: 0,
        ticket: 0,
        at: 0,
        client: ClientId(number as u64),
        until: 0,
        paid: !number.is_multiple_of(3),
        moved: None,
        hint: None,
        closing: false,
    };
    let mut world = World {
        trial,
        promises,
        settings,
        rng,
        net: Net::new(trial.link),
        nodes,
        names: (0..trial.fronts).map(|front| (Name::from(plan::name(front)), front)).collect(),
        servers: (0..promises.boxes).map(|_| Server::default()).collect(),
        viewers: (0..promises.viewers).map(viewer).collect(),
        clients: BTreeMap::new(),
        queue,
        now: 0,
        calm,
        struck,
        said: BTreeMap::new(),
        out: Outcome::default(),
    };
    let mut opening = plan::opening(trial);
    opening["freed_us"] = json!(promises.freed);
    world.out.lines.push(opening);
    for number in 0..promises.viewers {
        let at = plan::SETTLED - 1_000 * MS + u64::from(world.rng.next_u32()) % (2_000 * MS);
        world.queue.push(at, Event::Viewer(number, 0, Step::Opens));
    }
    while let Some((at, event)) = world.queue.pop() {
        world.now = at;
        world.out.events += 1;
        world.event(event);
    }
    world.end()
}

fn server_address(server: u32) -> SocketAddr {
    SocketAddr::from(([127, 2, (server / 250) as u8, (server % 250) as u8 + 1], 7411))
}

fn incarnation_of(session: &SessionId) -> &str {
    copies::incarnation_of(&session.0).unwrap_or("")
}

impl World<'_> {
    fn end(mut self) -> Outcome {
        let span = self.queue.end();
        for (number, server) in self.servers.iter().enumerate() {
            let held: Vec<&str> = server.plays.keys().map(|(session, _)| &*session.0).collect();
            self.out.lines.push(json!({"at": span, "box": number, "holds": held}));
        }
        self.out.span = span;
        self.out.lines.push(json!({"at": span, "truth": "end"}));
        self.out
    }

    fn line(&mut self, line: serde_json::Value) {
        self.out.lines.push(line);
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Act(act) => self.act(act),
            Event::Tick(front, start, which) => {
                let node = &mut self.nodes[front];
                if node.starts != start || node.stopped {
                    return;
                }
                // Only the latest that it asked for counts, or each would ask for one more.
                match &mut node.alive {
                    Some(alive) if alive.due[which as usize] == self.now => {
                        alive.due[which as usize] = Micros::MAX
                    }
                    _ => return,
                }
                self.tick(front, which);
            }
            Event::Comes(front, start, what) => {
                let node = &mut self.nodes[front];
                if node.starts != start || node.alive.is_none() {
                    return;
                }
                if node.stopped {
                    if node.waiting.len() < BUFFER || !matches!(what, In::Datagram(..)) {
                        node.waiting.push_back(what);
                    }
                    return;
                }
                self.comes(front, what);
            }
            Event::Asked { server, front, start, conn, request, epoch } => {
                self.asked(server, (front, start, conn), *request, epoch);
            }
            Event::Begins { server, key, front, start, conn } => {
                self.begins(server, &key, (front, start, conn))
            }
            Event::Hung { server, front, start, conn } => {
                // A set-up whose connection is closed before its answer does not begin.
                let of = |by: &(usize, u64, ConnId)| {
                    (by.0, by.1) == (front, start) && conn.is_none_or(|conn| conn == by.2)
                };
                let there = &mut self.servers[server as usize];
                there.plays.retain(|_, plays| plays.begun || !of(&plays.by));
                if conn.is_none() {
                    there.streams.remove(&(front, start));
                }
            }
            Event::Listens { server, front, start, number } => {
                self.servers[server as usize].streams.insert((front, start), number);
                let held = self.servers[server as usize].held(|plays, _| plays.front == front);
                self.hears(front, start, Input::Stream(ServerId(server), number, StreamEvent::Up(held)));
                self.queue.push(self.now + BEAT, Event::Beats { server, front, start, number });
            }
            Event::Beats { server, front, start, number } => {
                let stands = self.servers[server as usize].streams.get(&(front, start)) == Some(&number);
                if stands && self.nodes[front].starts == start {
                    self.hears(front, start, Input::Stream(ServerId(server), number, StreamEvent::Heartbeat));
                    self.queue.push(self.now + BEAT, Event::Beats { server, front, start, number });
                }
            }
            Event::Viewer(number, turn, step) => {
                if self.viewers[number].turn == turn {
                    self.viewer(number, step);
                }
            }
        }
    }

    // ---- Processes ----

    fn act(&mut self, act: Act) {
        let told = plan::truth(self.now, &act, &mut self.net);
        let state = |front: usize| (self.nodes[front].alive.is_some(), self.nodes[front].stopped);
        if !plan::takes_place(&act, state) {
            return;
        }
        self.out.lines.extend(told);
        match act {
            Act::Start(front) => self.start(front),
            Act::Kill(front) | Act::Lose(front) => {
                if matches!(act, Act::Lose(_)) {
                    self.line(json!({"at": self.now, "truth": "disk_lost", "front": plan::name(front)}));
                }
                let node = &mut self.nodes[front];
                let start = node.starts;
                (node.alive, node.stopped) = (None, false);
                node.starts += 1;
                node.waiting.clear();
                node.accord_disk.pending.clear();
                if matches!(act, Act::Lose(_)) {
                    (node.accord_disk, node.copies_disk, node.disk) =
                        (Disk::default(), copies::Image::default(), 0);
                }
                for server in 0..self.promises.boxes {
                    self.queue.push(self.now + NEAR, Event::Hung { server, front, start, conn: None });
                }
                self.left_by(front);
            }
            Act::Stop(front) => {
                self.nodes[front].stopped = true;
            }
            Act::Run(front) => {
                self.nodes[front].stopped = false;
                // The front's thread knows by its clock that it did not run, before it reads what waits.
                self.ledger(front, Input::ProcessResumed);
                let start = self.nodes[front].starts;
                while let Some(what) = self.nodes[front].waiting.pop_front() {
                    if self.nodes[front].starts == start {
                        self.comes(front, what);
                    }
                }
                for which in [Which::Members, Which::Accord, Which::Copies, Which::Ledger] {
                    self.tick(front, which);
                }
            }
            Act::Cut(..) | Act::Link(..) | Act::Calm => {}
        }
    }

    fn start(&mut self, front: usize) {
        let drawn = u64::from(self.rng.next_u32()) << 32 | u64::from(self.rng.next_u32());
        let seed = u64::from(self.rng.next_u32());
        let node = &mut self.nodes[front];
        node.starts += 1;
        node.waiting.clear();
        let local = node.skew.local(self.now);
        let name = Name::from(plan::name(front));
        let boot = drawn >> 20 << 8 | node.starts & 0xff;
        let (zone, serves) = (front as u32 % self.promises.zones, Some(address(front)));
        let members = members::Members::new(
            members::LocalConfig {
                name: Name::clone(&name),
                address: address(front),
                zone,
                serves,
                boot,
                seeds: (0..self.trial.seeds).map(address).collect(),
                observers: self.trial.observers,
                times: members::Times::default(),
            },
            local,
        );
        if node.disk == 0 {
            node.disk = drawn | 1;
        }
        let mut out = Vec::new();
        let own = accord::FrontIdentity {
            name: Name::clone(&name),
            new_disk_id: drawn,
            initial_voters: (0..self.promises.voters).map(|front| Name::from(plan::name(front))).collect(),
            times: Leases::default(),
        };
        let accord = accord::Accord::new(own, node.accord_disk.flushed.clone(), local, &mut out);
        let settings = &self.settings;
        let titles = settings.titles.iter().map(|(name, title)| (title.id, name.clone())).collect();
        let names = SettingsNames { classes: settings.classes.clone(), titles, viewer: None };
        let controller = Controller::new(settings.decision.clone(), seed);
        // The time of the start, in milliseconds, as in service.
        let started = (self.now / MS) as u32;
        let ledger =
            Ledger::new(controller, settings.decision.clone(), settings.limits.clone(), &name, started);
        let ledger = ledger.with_rules(AgreedRules::new(names)).with_replication();
        let own = copies::FrontIdentity {
            name: Name::clone(&name),
            incarnation: ledger.incarnation(),
            zone,
            client_address: serves,
            disk_id: node.disk,
            copies: self.promises.copies.0,
            required_copies: self.promises.copies.1,
            too_few: copies::TooFewPolicy::GoOn,
            store_timeout: 400 * MS,
            max_records: 200_000,
        };
        let copies = copies::Copies::new(own, node.copies_disk.clone(), local);
        node.alive = Some(Alive { members, accord, copies, ledger, due: [Micros::MAX; 4] });
        self.line(json!({"at": self.now, "front": plan::name(front), "starts": boot}));
        let stand = self.nodes[front].alive.as_ref().map(|alive| alive.accord.coordination().clone());
        self.stands(front, stand);
        self.accord_out(front, out);
        self.ledger(front, Input::List(ListKind::Cached, Vec::new()));
        for which in [Which::Members, Which::Accord, Which::Copies, Which::Ledger] {
            self.tick(front, which);
        }
    }

    fn comes(&mut self, front: usize, what: In) {
        match what {
            In::Datagram(from, envelope) => self.members(front, members::Input::Received(from, envelope)),
            In::Accord(envelope) => self.accord(front, accord::Input::Received(envelope)),
            In::Passed(from, body) => {
                self.copies(front, copies::Input::Received(from, body));
                self.copies(front, copies::Input::Tick);
            }
            In::Ledger(input) => self.ledger(front, *input),
        }
    }

    fn tick(&mut self, front: usize, which: Which) {
        match which {
            Which::Members => self.members(front, members::Input::Tick),
            Which::Accord => self.accord(front, accord::Input::Tick),
            Which::Copies => self.copies(front, copies::Input::Tick),
            Which::Ledger => self.ledger(front, Input::Tick),
        }
    }

    /// Has a core called again when it wants to be.
    fn again(&mut self, front: usize, which: Which, local: Option<Micros>) {
        let node = &mut self.nodes[front];
        let (Some(alive), Some(local)) = (&mut node.alive, local) else { return };
        let at = node.skew.global(local).max(self.now + 1);
        if at < alive.due[which as usize] {
            alive.due[which as usize] = at;
            self.queue.push(at, Event::Tick(front, node.starts, which));
        }
    }

    fn members(&mut self, front: usize, input: members::Input) {
        let node = &mut self.nodes[front];
        let local = node.skew.local(self.now);
        let Some(alive) = &mut node.alive else { return };
        let mut out = Vec::new();
        alive.members.handle(local, input, &mut out);
        let due = alive.members.next_due();
        self.again(front, Which::Members, Some(due));
        for output in out {
            self.out.lines.extend(history::line(self.now, &plan::name(front), &output));
            match output {
                members::Output::Send(to, envelope) => {
                    self.out.datagrams += 1;
                    let Some(other) = front_at(to).filter(|other| *other < self.trial.fronts) else {
                        continue;
                    };
                    let start = self.nodes[other].starts;
                    for delay in self.net.fate(self.now, front, other, &mut self.rng) {
                        let what = In::Datagram(address(front), envelope.clone());
                        self.queue.push(self.now + delay, Event::Comes(other, start, what));
                    }
                }
                members::Output::View(_) => self.view(front),
                _ => {}
            }
        }
    }

    fn view(&mut self, front: usize) {
        let Some(alive) = &self.nodes[front].alive else { return };
        let view = alive.members.view();
        let name = plan::name(front);
        let own = view.get(&name).filter(|fact| fact.is_member()).map(|fact| fact.boot);
        let here: Vec<copies::Peer> = view
            .members()
            .filter(|fact| *fact.name != *name)
            .map(|fact| copies::Peer { name: Name::clone(&fact.name), zone: fact.zone, boot: fact.boot })
            .collect();
        let others =
            view.members().map(|fact| (fact, true)).chain(view.former_members().map(|fact| (fact, false)));
        let others = others.map(|(fact, here)| {
            (Name::clone(&fact.name), PeerFront { in_view: here, client_address: fact.serves })
        });
        let others: BTreeMap<Name, PeerFront> = others.collect();
        let peers: BTreeSet<Name> = here.iter().map(|peer| Name::clone(&peer.name)).collect();
        self.copies(front, copies::Input::View(here, own));
        self.ledger(front, Input::Peers(others));
        self.accord(front, accord::Input::View(peers));
    }

    fn accord(&mut self, front: usize, input: accord::Input) {
        let node = &mut self.nodes[front];
        let local = node.skew.local(self.now);
        let Some(alive) = &mut node.alive else { return };
        let mut out = Vec::new();
        alive.accord.handle(local, input, &mut out);
        let due = alive.accord.next_due();
        self.again(front, Which::Accord, Some(due));
        self.accord_out(front, out);
    }

    fn accord_out(&mut self, front: usize, out: Vec<accord::Output>) {
        for output in out {
            match output {
                accord::Output::Write(writes) => self.nodes[front].accord_disk.write(writes),
                accord::Output::Send(envelope) => {
                    if let Some(other) = self.names.get(&envelope.to).copied() {
                        self.streamed(front, other, In::Accord(envelope));
                    }
                }
                accord::Output::Coordination(stand) => self.stands(front, Some(stand)),
                _ => {}
            }
        }
    }

    fn stands(&mut self, front: usize, stand: Option<accord::coordination::CoordinationState>) {
        let Some(stand) = stand else { return };
        self.copies(front, copies::Input::Successors(Arc::clone(&stand.successors), stand.begun));
        self.ledger(front, Input::Coordination(Box::new(stand)));
    }

    /// Bytes between two fronts, in order; a lost segment comes again, what a cut swallows is gone with the connection.
    fn streamed(&mut self, front: usize, other: usize, what: In) {
        let at = self.net.streamed(self.now, front, other, &mut self.rng);
        let Some(at) = at else { return };
        let start = self.nodes[other].starts;
        self.queue.push(at, Event::Comes(other, start, what));
    }

    fn copies(&mut self, front: usize, input: copies::Input) {
        let node = &mut self.nodes[front];
        let local = node.skew.local(self.now);
        let Some(alive) = &mut node.alive else { return };
        let mut out = Vec::new();
        alive.copies.handle(local, input, &mut out);
        let due = alive.copies.next_due();
        self.again(front, Which::Copies, Some(due));
        for output in out {
            self.out.lines.extend(history_log::line(self.now, &plan::name(front), &output));
            match output {
                copies::Output::Write(writes) => {
                    writes.iter().for_each(|write| self.nodes[front].copies_disk.apply(write));
                }
                copies::Output::Send(to, body) => {
                    let Some(other) = self.names.get(&to).copied() else { continue };
                    let carries = match &body {
                        copies::Body::Put { changes, .. } => !changes.is_empty(),
                        // What is said again does not count.
                        copies::Body::Ack(life, have, ..) => {
                            let said = self.said.entry((front, other, Arc::clone(life))).or_default();
                            std::mem::replace(said, *have) != *have
                        }
                        copies::Body::Gather(..) | copies::Body::Gathered(..) => true,
                        _ => false,
                    };
                    if carries && self.step(front) {
                        return;
                    }
                    self.streamed(front, other, In::Passed(Name::from(plan::name(front)), Box::new(body)));
                }
                copies::Output::RecordStored(key, kept) => self.ledger(front, Input::RecordStored(key, kept)),
                copies::Output::ChangeSuccessors(changes) => {
                    self.accord(front, accord::Input::ChangeSuccessors(changes))
                }
                copies::Output::TakeOver(life, epoch, promises) => {
                    self.ledger(front, Input::TakeOver(life, epoch, promises));
                }
                copies::Output::TakenOver(life, _) => self.ledger(front, Input::TakenOver(life)),
                copies::Output::TakeoverSuperseded(life) => {
                    self.ledger(front, Input::TakeoverSuperseded(life))
                }
                copies::Output::HoldersChanged(_) | copies::Output::IncarnationEnded(_) => {}
            }
        }
    }

    fn ledger(&mut self, front: usize, input: Input) {
        let node = &mut self.nodes[front];
        let local = node.skew.local(self.now);
        let start = node.starts;
        let Some(alive) = &mut node.alive else { return };
        let mut out = Vec::new();
        alive.ledger.set_lease_time(|| local);
        alive.ledger.handle(local, input, &mut out);
        let due = alive.ledger.next_deadline();
        self.again(front, Which::Ledger, due);
        let near = self.now + NEAR;
        let mut notes = Vec::new();
        for output in out {
            match output {
                Output::Answer(client, ticket, answer) => {
                    if matches!(answer, Answer::Plays { .. }) && self.step(front) {
                        return;
                    }
                    self.answered(front, client, ticket, &answer);
                }
                Output::Reply(client, ticket, reply) => self.replied(client, ticket, &reply),
                Output::Notify(client, news) => self.told(client, &news),
                Output::Dial(conn, server, _) => {
                    let result =
                        if server.0 < self.promises.boxes { Ok(()) } else { Err(DialError::Refused) };
                    self.hears(front, start, Input::Dialed(conn, result));
                }
                Output::Exchange(conn, request) => {
                    let Some(alive) = &self.nodes[front].alive else { return };
                    let writ = alive.ledger.write_authority(&request);
                    let server = alive.ledger.box_of(conn).map_or(0, |server| server.0);
                    let session = match &request {
                        BoxRequest::SetUp { session, .. } => Some(("set-up", session)),
                        BoxRequest::SetRung { session, .. } => Some(("rung", session)),
                        BoxRequest::Release { session, .. } => Some(("release", session)),
                        BoxRequest::Claim { .. } | BoxRequest::Probe => None,
                    };
                    if session.is_some() && self.step(front) {
                        return;
                    }
                    if let Some((what, session)) = session {
                        let line = json!({"at": self.now, "front": plan::name(front), "acts": &*session.0,
                            "epoch": writ.epoch, "what": what});
                        self.line(line);
                    }
                    let (request, epoch) = (Box::new(request), writ.epoch);
                    self.queue.push(near, Event::Asked { server, front, start, conn, request, epoch });
                }
                Output::CloseConn(conn) => {
                    for server in 0..self.promises.boxes {
                        self.queue.push(near, Event::Hung { server, front, start, conn: Some(conn) });
                    }
                }
                Output::OpenStream(server, number, _) => {
                    let server = server.0;
                    if server < self.promises.boxes {
                        self.queue.push(near, Event::Listens { server, front, start, number });
                    } else {
                        let news = StreamEvent::NoConnection(DialError::Refused);
                        self.hears(front, start, Input::Stream(ServerId(server), number, news));
                    }
                }
                Output::CloseStream(server, number) => {
                    if let Some(there) = self.servers.get_mut(server.0 as usize) {
                        if there.streams.get(&(front, start)) == Some(&number) {
                            there.streams.remove(&(front, start));
                        }
                    }
                }
                Output::FollowList => {
                    let lines = (0..self.promises.boxes).map(|server| ListEntry {
                        entry: ServerEntry {
                            server: ServerId(server),
                            zone: server % self.promises.zones,
                            state: ServerState::Ready,
                            units: 1.0,
                            ..Default::default()
                        },
                        address: server_address(server),
                    });
                    let lines = lines.collect();
                    self.hears(front, start, Input::List(ListKind::Complete, lines));
                }
                Output::StoreRecord(key, body, waits) => {
                    notes.push(copies::Input::PutRecord(key, copies::RecordBody::from(body), waits));
                }
                Output::DeleteRecord(key) => notes.push(copies::Input::DeleteRecord(key)),
                Output::OrphanFound(life) => notes.push(copies::Input::OrphanFound(life)),
                Output::IncarnationChanged(life) => notes.push(copies::Input::IncarnationChanged(life)),
                Output::Log(..) | Output::Finished => {}
            }
        }
        if !notes.is_empty() {
            notes.into_iter().for_each(|note| self.copies(front, note));
            self.copies(front, copies::Input::Tick);
        }
    }

    /// A step of a promise is about to be taken; returns whether whoever takes it is killed before it.
    fn step(&mut self, front: usize) -> bool {
        if self.now < plan::SETTLED - 1_500 * MS {
            return false;
        }
        self.out.carried += 1;
        let here = self.out.carried;
        if let Some((_, front, span)) = self.struck.stop.filter(|(at, ..)| *at == here) {
            self.queue.push(self.now, Event::Act(Act::Stop(front)));
            self.queue.push(self.now + span, Event::Act(Act::Run(front)));
        }
        let Some((_, disk)) = self.struck.kill.filter(|(at, _)| *at == here) else { return false };
        self.act(if disk { Act::Lose(front) } else { Act::Kill(front) });
        self.queue.push(self.now + 3_000 * MS, Event::Act(Act::Start(front)));
        true
    }

    fn hears(&mut self, front: usize, start: u64, input: Input) {
        self.queue.push(self.now + NEAR, Event::Comes(front, start, In::Ledger(Box::new(input))));
    }

    // ---- Boxes ----

    fn asked(&mut self, server: u32, by: (usize, u64, ConnId), request: BoxRequest, epoch: Option<u64>) {
        let (front, start, conn) = by;
        let now = self.now;
        let there = &mut self.servers[server as usize];
        let replaced = |session: &SessionId, lives: &BTreeMap<String, u64>| {
            lives.get(incarnation_of(session)).is_some_and(|there| epoch.unwrap_or(0) < *there)
        };
        let answer = match request {
            BoxRequest::SetUp { session, attempt, rung, open_request: opening, .. } => {
                let key = (session.clone(), attempt);
                there.barred.retain(|_, until| *until > now);
                let refused = replaced(&session, &there.lives);
                let barred = there.barred.contains_key(&key);
                let line = json!({"at": now, "box": server, "set_up": &*session.0, "attempt": attempt,
                    "paid": opening.class == 1, "front": plan::name(front), "epoch": epoch,
                    "took": !refused && !barred});
                let answer = match (refused, barred) {
                    (true, _) => Some(BoxAnswer::Error),
                    (_, true) => Some(BoxAnswer::Full),
                    _ => {
                        let plays = Plays { front, rung, opening, begun: false, by };
                        there.plays.insert(key.clone(), plays);
                        self.queue.push(now + SET_UP, Event::Begins { server, key, front, start, conn });
                        None
                    }
                };
                self.line(line);
                answer
            }
            BoxRequest::SetRung { session, attempt, rung, .. } => {
                Some(match replaced(&session, &there.lives) {
                    true => BoxAnswer::Superseded,
                    false => match there.plays.get_mut(&(session, attempt)) {
                        Some(plays) => {
                            plays.rung = rung;
                            BoxAnswer::Done
                        }
                        None => BoxAnswer::Unknown,
                    },
                })
            }
            BoxRequest::Release { session, attempt } => {
                Some(match replaced(&session, &there.lives) {
                    true => BoxAnswer::Superseded,
                    false => {
                        there.barred.insert((session.clone(), attempt), now + BARRED);
                        let played = there.plays.remove(&(session.clone(), attempt));
                        if played.as_ref().is_some_and(|plays| plays.begun) {
                            self.line(json!({"at": now, "box": server, "ends": &*session.0, "by": plan::name(front)}));
                        }
                        if played.is_some() {
                            BoxAnswer::Done
                        } else {
                            BoxAnswer::Unknown
                        }
                    }
                })
            }
            BoxRequest::Claim { incarnation: life, epoch } => {
                let known = there.lives.entry(life.to_string()).or_insert(0);
                if *known > epoch {
                    Some(BoxAnswer::Superseded)
                } else {
                    let later = *known < epoch;
                    *known = epoch;
                    if later {
                        there
                            .plays
                            .retain(|(session, _), plays| plays.begun || incarnation_of(session) != &*life);
                    }
                    for ((session, _), plays) in &mut there.plays {
                        if incarnation_of(session) == &*life {
                            plays.front = front;
                        }
                    }
                    let held = there.held(|_, session| incarnation_of(session) == &*life);
                    let end = ExchangeEnd::Claimed { held, keep_alive: true };
                    return self.hears(front, start, Input::Exchanged(conn, end));
                }
            }
            BoxRequest::Probe => Some(BoxAnswer::Done),
        };
        if let Some(answer) = answer {
            let end = ExchangeEnd::Answered { answer, report: Vec::new(), keep_alive: true };
            self.hears(front, start, Input::Exchanged(conn, end));
        }
    }

    fn begins(&mut self, server: u32, key: &(SessionId, u32), by: (usize, u64, ConnId)) {
        let (front, start, conn) = by;
        let there = &mut self.servers[server as usize];
        let begun = match there.plays.get_mut(key) {
            Some(plays) if plays.by == by => {
                plays.begun = true;
                true
            }
            _ => false,
        };
        if begun {
            let line = json!({"at": self.now, "box": server, "begins": &*key.0 .0, "attempt": key.1});
            self.line(line);
        }
        let answer = if begun { BoxAnswer::Done } else { BoxAnswer::Error };
        let end = ExchangeEnd::Answered { answer, report: Vec::new(), keep_alive: true };
        self.hears(front, start, Input::Exchanged(conn, end));
    }

    // ---- Viewers ----

    fn then(&mut self, number: usize, after: Micros, step: Step) {
        let viewer = &mut self.viewers[number];
        viewer.turn += 1;
        self.queue.push(self.now + after, Event::Viewer(number, viewer.turn, step));
    }

    /// A front that takes connections, as far as can be seen from outside; a stopped one does.
    fn any(&mut self) -> Option<usize> {
        let up: Vec<usize> =
            (0..self.trial.fronts).filter(|front| self.nodes[*front].alive.is_some()).collect();
        (!up.is_empty()).then(|| up[self.rng.next_u32() as usize % up.len()])
    }

    fn connect(&mut self, number: usize, front: usize) -> ClientId {
        let viewer = &mut self.viewers[number];
        let old = viewer.client;
        // Each connection has a number of its own.
        viewer.client = ClientId(old.0 + 1_000_000);
        viewer.at = front;
        self.clients.remove(&old);
        self.clients.insert(self.viewers[number].client, number);
        self.viewers[number].client
    }

    fn say(&mut self, number: usize, input: impl FnOnce(ClientId, Ticket) -> Input) {
        let viewer = &mut self.viewers[number];
        viewer.ticket += 1;
        let (front, input) = (viewer.at, input(viewer.client, Ticket(viewer.ticket)));
        self.hears(front, self.nodes[front].starts, input);
    }

    fn viewer(&mut self, number: usize, step: Step) {
        let id = ViewerId(number as u64 + 1);
        match (step, self.viewers[number].stands.clone()) {
            (Step::Opens, Stands::Idle) => {
                // Nobody comes any more once faults have ended: places must become free.
                if self.now > self.calm {
                    return;
                }
                let moved = self.viewers[number].moved.take();
                let front = match &moved {
                    Some(_) => Some(self.viewers[number].at),
                    None => self.any(),
                };
                let Some(front) = front else { return self.then(number, 500 * MS, Step::Opens) };
                self.connect(number, front);
                let class = usize::from(self.viewers[number].paid);
                let Some(title) = self.settings.titles.values().next().copied() else { return };
                let opening = OpenRequest {
                    viewer: id,
                    tenant: None,
                    title: title.id,
                    class,
                    first_cell: title.first_cell,
                    cell_count: title.cells,
                    top_rung: 2,
                    patience: PATIENCE,
                    length_hint: None,
                    returned: false,
                    moved_from: moved,
                };
                self.viewers[number].stands = Stands::Asks;
                self.say(number, |client, ticket| Input::Open(client, ticket, opening));
                self.then(number, PATIENCE + 500 * MS, Step::Waited);
            }
            (Step::Waited, Stands::Asks) => {
                self.leave(number);
                self.viewers[number].stands = Stands::Idle;
                self.then(number, 1_000 * MS, Step::Opens);
            }
            (Step::Leaves, Stands::Watches(session)) => {
                let at = self.viewers[number].at;
                if self.nodes[at].alive.is_none() {
                    return self.looks_for(number, session, true);
                }
                self.viewers[number].closing = true;
                let of = session.clone();
                self.say(number, |client, ticket| Input::Close(client, ticket, of));
                self.then(number, 8_000 * MS, Step::Looks);
            }
            (Step::Looks, Stands::Watches(session)) => {
                // Its front does not answer.
                self.leave(number);
                self.looks_for(number, session, true);
            }
            (Step::Looks, Stands::Looks(session, since)) => {
                if since + LOOKS <= self.now {
                    self.line(
                        json!({"at": self.now, "viewer": number, "lost": &*session.0, "why": "not found"}),
                    );
                    self.viewers[number].stands = Stands::Idle;
                    return self.then(number, 1_000 * MS, Step::Opens);
                }
                let hint = self.viewers[number].hint.take();
                let front = hint.filter(|front| self.nodes[*front].alive.is_some());
                let Some(front) = front.or_else(|| self.any()) else {
                    return self.then(number, 200 * MS, Step::Looks);
                };
                self.leave(number);
                self.connect(number, front);
                self.say(number, |client, ticket| Input::Status(client, ticket, session, Some(id)));
                self.then(number, 1_000 * MS, Step::Looks);
            }
            _ => {}
        }
    }

    /// The viewer's connection ends.
    fn leave(&mut self, number: usize) {
        let (front, client) = (self.viewers[number].at, self.viewers[number].client);
        self.hears(front, self.nodes[front].starts, Input::ClientClosed(client));
    }

    fn looks_for(&mut self, number: usize, session: SessionId, closing: bool) {
        let viewer = &mut self.viewers[number];
        viewer.closing = closing;
        // What it asked before is answered to nobody.
        viewer.ticket += 1;
        viewer.stands = Stands::Looks(session, self.now);
        self.then(number, 200 * MS, Step::Looks);
    }

    /// A front has died: its players notice.
    fn left_by(&mut self, front: usize) {
        let there: Vec<usize> =
            (0..self.viewers.len()).filter(|number| self.viewers[*number].at == front).collect();
        for number in there {
            match self.viewers[number].stands.clone() {
                Stands::Asks => {
                    self.viewers[number].stands = Stands::Idle;
                    self.then(number, 500 * MS, Step::Opens);
                }
                Stands::Watches(session) => {
                    let closing = self.viewers[number].closing;
                    self.looks_for(number, session, closing);
                }
                Stands::Idle | Stands::Looks(..) => {}
            }
        }
    }

    fn of_client(&self, client: ClientId) -> Option<usize> {
        self.clients.get(&client).copied()
    }

    fn answered(&mut self, front: usize, client: ClientId, ticket: Ticket, answer: &Answer) {
        // What is told counts when it is written; a viewer that has gone does not hear it.
        if let Answer::Plays { session, .. } = answer {
            let line = json!({"at": self.now, "front": plan::name(front), "answers": &*session.0,
                "heard": self.of_client(client).is_some()});
            self.line(line);
        }
        let Some(number) = self.of_client(client) else { return };
        let viewer = &mut self.viewers[number];
        if viewer.ticket != ticket.0 || viewer.stands != Stands::Asks {
            return;
        }
        match answer {
            Answer::Plays { session, .. } => {
                viewer.stands = Stands::Watches(session.clone());
                viewer.closing = false;
                let (from, to) = self.promises.watch;
                let watch = from + u64::from(self.rng.next_u32()) % (to - from).max(1);
                self.viewers[number].until = self.now + watch;
                self.line(json!({"at": self.now, "viewer": number, "plays": &*session.0, "front": plan::name(front)}));
                self.then(number, watch, Step::Leaves);
            }
            Answer::Refused(..) | Answer::Failed(..) => {
                viewer.stands = Stands::Idle;
                self.line(json!({"at": self.now, "viewer": number, "not": true}));
                self.then(number, 1_000 * MS, Step::Opens);
            }
        }
    }

    fn replied(&mut self, client: ClientId, ticket: Ticket, reply: &Reply) {
        let Some(number) = self.of_client(client) else { return };
        if self.viewers[number].ticket != ticket.0 {
            return;
        }
        match (self.viewers[number].stands.clone(), reply) {
            (Stands::Watches(session), Reply::Closed(of)) if session == *of => {
                self.line(json!({"at": self.now, "viewer": number, "closed": &*session.0}));
                self.viewers[number].stands = Stands::Idle;
                self.then(number, 1_000 * MS, Step::Opens);
            }
            (Stands::Watches(session), Reply::Unknown) => self.looks_for(number, session, true),
            (Stands::Watches(_), Reply::RetryAfter(after)) => self.then(number, *after, Step::Leaves),
            (Stands::Looks(_, since), Reply::Status { session, playing: Some(_) }) => {
                let at = plan::name(self.viewers[number].at);
                let line = json!({"at": self.now, "viewer": number, "found": &*session.0, "front": at,
                    "took": self.now - since});
                self.line(line);
                self.viewers[number].stands = Stands::Watches(session.clone());
                let left = self.viewers[number].until.saturating_sub(self.now);
                let left = if self.viewers[number].closing { 0 } else { left };
                self.then(number, left.max(1), Step::Leaves);
            }
            (Stands::Looks(session, _), Reply::Unknown) if self.viewers[number].closing => {
                // It had asked for the end, and left: that is an end as well.
                self.line(json!({"at": self.now, "viewer": number, "closed": &*session.0}));
                self.viewers[number].stands = Stands::Idle;
                self.then(number, 1_000 * MS, Step::Opens);
            }
            (Stands::Looks(session, _), Reply::Unknown) => {
                self.line(json!({"at": self.now, "viewer": number, "lost": &*session.0, "why": "unknown",
                    "front": plan::name(self.viewers[number].at)}));
                self.viewers[number].stands = Stands::Idle;
                self.then(number, 1_000 * MS, Step::Opens);
            }
            (Stands::Looks(..), Reply::AtOtherFront(name, _)) => {
                self.viewers[number].hint = self.names.get(name).copied();
                self.then(number, 50 * MS, Step::Looks);
            }
            (Stands::Looks(..), Reply::RetryAfter(after)) => {
                let (at, after) = (self.viewers[number].at, *after);
                // It may ask there again, or anywhere: a front that is cut off has nothing else to say.
                self.viewers[number].hint = self.rng.next_u32().is_multiple_of(2).then_some(at);
                self.then(number, after, Step::Looks);
            }
            _ => {}
        }
    }

    fn told(&mut self, client: ClientId, news: &Notification) {
        let Some(number) = self.of_client(client) else { return };
        let Stands::Watches(session) = self.viewers[number].stands.clone() else { return };
        match news {
            Notification::Move(of) if session == *of => {
                self.line(json!({"at": self.now, "viewer": number, "moved": &*session.0}));
                self.viewers[number].stands = Stands::Idle;
                self.viewers[number].moved = Some(session);
                self.then(number, 50 * MS, Step::Opens);
            }
            Notification::Ended(of, EndReason::TakenOver) if session == *of => {
                let closing = self.viewers[number].closing;
                self.looks_for(number, session, closing);
            }
            Notification::Ended(of, why) if session == *of => {
                let why = format!("{why:?}");
                self.line(json!({"at": self.now, "viewer": number, "lost": &*session.0, "why": why,
                    "front": plan::name(self.viewers[number].at)}));
                self.viewers[number].stands = Stands::Idle;
                self.then(number, 1_000 * MS, Step::Opens);
            }
            _ => {}
        }
    }
}

impl Server {
    fn held(&self, of: impl Fn(&Plays, &SessionId) -> bool) -> Vec<HeldSession> {
        let there = self.plays.iter().filter(|((session, _), plays)| plays.begun && of(plays, session));
        there
            .map(|((session, attempt), plays)| HeldSession {
                session: session.clone(),
                attempt: *attempt,
                rung: plays.rung,
                open_request: Some(plays.opening.clone()),
            })
            .collect()
    }
}
