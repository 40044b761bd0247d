//! Runs complete fronts in virtual time: the production module, ledger, membership, consensus and replication cores of
//! each, on one event queue with simulated boxes, box list and viewers. Deterministic for a given seed.

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

use crate::clock_skew::ClockSkew;
use crate::consensus::Disk;
use crate::describe::{ReplicationOptions, Trial};
use crate::membership::{address, front_by_address, Outcome};
use crate::net::Net;
use crate::plan::{self, Action, Plan};
use crate::queue::Queue;
use crate::Micros;

const MS: Micros = 1_000;
/// One-way delay between a front and a box or viewer, us.
const ONE_WAY_DELAY: Micros = 300;
/// Time that a box needs for a set-up, us.
const SET_UP_TIME: Micros = 5 * MS;
/// Interval between heartbeats on an event stream, us.
const HEARTBEAT_INTERVAL: Micros = 400 * MS;
/// Largest number of messages buffered for a paused process; further datagrams are dropped.
const MAX_BUFFERED_MESSAGES: usize = 2_048;
/// Time for which a box rejects a released attempt, us, so that a late set-up does not start it.
const BAR_TIME: Micros = 30_000 * MS;
/// Time that a viewer waits for its answer, us.
const PATIENCE: Micros = 2_000 * MS;
/// Time for which a viewer searches for its session after losing its front, us.
const SEARCH_TIME: Micros = 40_000 * MS;

/// Settings of all fronts, without the `front` block.
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

/// Parts of a front that request ticks of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Component {
    Members,
    Accord,
    Copies,
    Ledger,
}

/// A message received by a front process.
#[derive(Clone)]
enum Incoming {
    Datagram(SocketAddr, Box<members::Envelope>),
    Accord(Box<accord::Envelope>),
    Replication(Name, Box<copies::Body>),
    Ledger(Box<Input>),
}

/// Events of the simulation. Messages and timers carry the start count of the front process that they belong to.
enum Event {
    Action(Action),
    Tick(usize, u64, Component),
    Deliver(usize, u64, Incoming),
    Request {
        server: u32,
        front: usize,
        start_count: u64,
        conn: ConnId,
        request: Box<BoxRequest>,
        epoch: Option<u64>,
    },
    SetUpDone {
        server: u32,
        key: (SessionId, u32),
        front: usize,
        start_count: u64,
        conn: ConnId,
    },
    ConnectionClosed {
        server: u32,
        front: usize,
        start_count: u64,
        conn: Option<ConnId>,
    },
    StreamOpened {
        server: u32,
        front: usize,
        start_count: u64,
        number: u64,
    },
    Heartbeat {
        server: u32,
        front: usize,
        start_count: u64,
        number: u64,
    },
    Viewer(usize, u64, ViewerStep),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ViewerStep {
    Open,
    AnswerTimeout,
    Close,
    Search,
}

/// The cores of a running front.
struct RunningFront {
    members: members::Members,
    accord: accord::Accord,
    copies: copies::Copies,
    ledger: Ledger<Controller>,
    /// Scheduled tick of each component, us.
    next_ticks: [Micros; 4],
}

/// A front node: its process, if running, and its disks.
struct Node {
    running: Option<RunningFront>,
    accord_disk: Disk,
    copies_disk: copies::Image,
    disk_id: u64,
    /// Incremented with each start and each kill, so that events of an earlier process are ignored.
    start_count: u64,
    paused: bool,
    buffered: VecDeque<Incoming>,
    clock_skew: ClockSkew,
}

/// A session at a box.
struct Playback {
    front: usize,
    rung: usize,
    open_request: OpenRequest,
    set_up_done: bool,
    requester: (usize, u64, ConnId),
}

/// A box.
#[derive(Default)]
struct MediaServer {
    playbacks: BTreeMap<(SessionId, u32), Playback>,
    /// Highest claimed epoch of each front incarnation.
    claimed_epochs: BTreeMap<String, u64>,
    /// Released attempts with the time until which they are rejected, us.
    barred_attempts: BTreeMap<(SessionId, u32), Micros>,
    streams: BTreeMap<(usize, u64), u64>,
}

#[derive(Clone, Debug, PartialEq)]
enum ViewerState {
    Idle,
    AwaitingAnswer,
    Watching(SessionId),
    /// Searches for its session since this time.
    Searching(SessionId, Micros),
}

struct Viewer {
    state: ViewerState,
    /// Incremented with each scheduled step; steps of an earlier generation are ignored.
    generation: u64,
    ticket: u64,
    connected_front: usize,
    client: ClientId,
    watch_until: Micros,
    paid: bool,
    moved_session: Option<SessionId>,
    front_hint: Option<usize>,
    closing: bool,
}

/// Placement of one crash and one pause, each at a step of the session record protocol: a replication message with a
/// change or a new acknowledgement, a box request for a session, or an answer that a session plays. Steps are counted from
/// the start of the trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlacement {
    /// The front that is about to take this step is killed before it and restarts 3 s later; the flag wipes its disk.
    pub kill: Option<(u64, bool)>,
    /// At this step, this front is paused for this time, us.
    pub stop: Option<(u64, usize, Micros)>,
}

/// Result of running a trial with all placements of one crash and one pause.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementReport {
    /// Number of steps in the trial without placed faults.
    pub steps: u64,
    /// Number of schedules run, and number of those with a takeover.
    pub schedules: [u64; 2],
    /// The first schedule that broke a property, with a description.
    pub broken: Option<(FaultPlacement, String)>,
}

/// Runs a trial for each combination of one crash, with and without loss of the disk, and one pause of each front or
/// none, placed at every `interval`-th step.
pub fn placements(
    trial: &Trial,
    replication: &ReplicationOptions,
    seed: u64,
    interval: u64,
) -> PlacementReport {
    let plan = plan::plan(trial, seed);
    let steps = play_with_faults(trial, replication, &plan, seed, FaultPlacement::default()).steps;
    let mut report = PlacementReport { steps, ..PlacementReport::default() };
    let at = || (1..=steps).step_by(interval.max(1) as usize);
    let stops = at().flat_map(|step| (0..trial.fronts).map(move |front| Some((step, front, 5_000 * MS))));
    let stops: Vec<Option<(u64, usize, Micros)>> = std::iter::once(None).chain(stops).collect();
    for kill in at().flat_map(|step| [Some((step, false)), Some((step, true))]) {
        for stop in &stops {
            let placement = FaultPlacement { kill, stop: *stop };
            let verdict = salttally_judge::copies::judge(
                &play_with_faults(trial, replication, &plan, seed, placement).lines,
            );
            report.schedules[0] += 1;
            report.schedules[1] += u64::from(verdict.counts[1] > 0);
            if let Some((property, text)) = verdict.broken.into_iter().next() {
                report.broken = Some((placement, format!("{}: {text}", property.description())));
                return report;
            }
        }
    }
    report
}

struct World<'a> {
    trial: &'a Trial,
    replication: &'a ReplicationOptions,
    settings: Settings,
    rng: Pcg32,
    net: Net,
    nodes: Vec<Node>,
    names: BTreeMap<Name, usize>,
    servers: Vec<MediaServer>,
    viewers: Vec<Viewer>,
    clients: BTreeMap<ClientId, usize>,
    queue: Queue<Event>,
    now: Micros,
    faults_end: Micros,
    placement: FaultPlacement,
    /// Last acknowledgement from one front to another for each incarnation.
    last_acks: BTreeMap<(usize, usize, copies::Incarnation), u64>,
    out: Outcome,
}

/// Runs a trial with replication settings.
pub fn play(trial: &Trial, replication: &ReplicationOptions, plan: &Plan, seed: u64) -> Outcome {
    play_with_faults(trial, replication, plan, seed, FaultPlacement::default())
}

/// Runs a trial with replication settings, with one placed crash and one placed pause.
pub fn play_with_faults(
    trial: &Trial,
    replication: &ReplicationOptions,
    plan: &Plan,
    seed: u64,
    placement: FaultPlacement,
) -> Outcome {
    let mut rng = Pcg32::seed_from_u64(seed);
    let nodes: Vec<Node> = (0..trial.fronts)
        .map(|_| Node {
            running: None,
            accord_disk: Disk::default(),
            copies_disk: copies::Image::default(),
            disk_id: 0,
            start_count: 0,
            paused: false,
            buffered: VecDeque::new(),
            clock_skew: ClockSkew::random(&mut rng, 0),
        })
        .collect();
    let queue = Queue::new(trial, plan, Event::Action);
    let faults_end = queue.end().saturating_sub(trial.quiet_period);
    let text = format!("front \"f0\" {{ listen \"127.0.0.1:7001\"; fronts {}; }}\n{SETTINGS}", trial.fronts);
    let settings = match Settings::parse("trial.kdl", &text) {
        Ok(settings) => settings,
        Err(error) => unreachable!("the built-in settings of trials are invalid: {error}"),
    };
    let viewer = |number: usize| Viewer {
        state: ViewerState::Idle,
        generation: 0,
        ticket: 0,
        connected_front: 0,
        client: ClientId(number as u64),
        watch_until: 0,
        paid: !number.is_multiple_of(3),
        moved_session: None,
        front_hint: None,
        closing: false,
    };
    let mut world = World {
        trial,
        replication,
        settings,
        rng,
        net: Net::new(trial.link),
        nodes,
        names: (0..trial.fronts).map(|front| (Name::from(plan::front_name(front)), front)).collect(),
        servers: (0..replication.boxes).map(|_| MediaServer::default()).collect(),
        viewers: (0..replication.viewers).map(viewer).collect(),
        clients: BTreeMap::new(),
        queue,
        now: 0,
        faults_end,
        placement,
        last_acks: BTreeMap::new(),
        out: Outcome::default(),
    };
    let mut header = plan::header_line(trial);
    header["freed_us"] = json!(replication.release_bound);
    world.out.lines.push(header);
    for number in 0..replication.viewers {
        let at = plan::FORMATION_TIME - 1_000 * MS + u64::from(world.rng.next_u32()) % (2_000 * MS);
        world.queue.push(at, Event::Viewer(number, 0, ViewerStep::Open));
    }
    while let Some((at, event)) = world.queue.pop() {
        world.now = at;
        world.out.events += 1;
        world.handle_event(event);
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
            let held: Vec<&str> = server.playbacks.keys().map(|(session, _)| &*session.0).collect();
            self.out.lines.push(json!({"at": span, "box": number, "holds": held}));
        }
        self.out.span = span;
        self.out.lines.push(json!({"at": span, "truth": "end"}));
        self.out
    }

    fn record(&mut self, line: serde_json::Value) {
        self.out.lines.push(line);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Action(action) => self.apply_action(action),
            Event::Tick(front, start_count, component) => {
                let node = &mut self.nodes[front];
                if node.start_count != start_count || node.paused {
                    return;
                }
                // Only the latest requested tick is valid; otherwise each stale tick would request a further one.
                match &mut node.running {
                    Some(running) if running.next_ticks[component as usize] == self.now => {
                        running.next_ticks[component as usize] = Micros::MAX
                    }
                    _ => return,
                }
                self.tick(front, component);
            }
            Event::Deliver(front, start_count, message) => {
                let node = &mut self.nodes[front];
                if node.start_count != start_count || node.running.is_none() {
                    return;
                }
                if node.paused {
                    if node.buffered.len() < MAX_BUFFERED_MESSAGES
                        || !matches!(message, Incoming::Datagram(..))
                    {
                        node.buffered.push_back(message);
                    }
                    return;
                }
                self.receive(front, message);
            }
            Event::Request { server, front, start_count, conn, request, epoch } => {
                self.handle_box_request(server, (front, start_count, conn), *request, epoch);
            }
            Event::SetUpDone { server, key, front, start_count, conn } => {
                self.complete_set_up(server, &key, (front, start_count, conn))
            }
            Event::ConnectionClosed { server, front, start_count, conn } => {
                // A set-up whose connection is closed before its answer is not started.
                let is_affected = |requester: &(usize, u64, ConnId)| {
                    (requester.0, requester.1) == (front, start_count)
                        && conn.is_none_or(|conn| conn == requester.2)
                };
                let media_server = &mut self.servers[server as usize];
                media_server
                    .playbacks
                    .retain(|_, playback| playback.set_up_done || !is_affected(&playback.requester));
                if conn.is_none() {
                    media_server.streams.remove(&(front, start_count));
                }
            }
            Event::StreamOpened { server, front, start_count, number } => {
                self.servers[server as usize].streams.insert((front, start_count), number);
                let held = self.servers[server as usize].held_sessions(|playback, _| playback.front == front);
                self.send_to_front(
                    front,
                    start_count,
                    Input::Stream(ServerId(server), number, StreamEvent::Up(held)),
                );
                self.queue.push(
                    self.now + HEARTBEAT_INTERVAL,
                    Event::Heartbeat { server, front, start_count, number },
                );
            }
            Event::Heartbeat { server, front, start_count, number } => {
                let current =
                    self.servers[server as usize].streams.get(&(front, start_count)) == Some(&number);
                if current && self.nodes[front].start_count == start_count {
                    self.send_to_front(
                        front,
                        start_count,
                        Input::Stream(ServerId(server), number, StreamEvent::Heartbeat),
                    );
                    self.queue.push(
                        self.now + HEARTBEAT_INTERVAL,
                        Event::Heartbeat { server, front, start_count, number },
                    );
                }
            }
            Event::Viewer(number, generation, step) => {
                if self.viewers[number].generation == generation {
                    self.take_viewer_step(number, step);
                }
            }
        }
    }

    // ---- Processes ----

    fn apply_action(&mut self, action: Action) {
        let record = plan::record_action(self.now, &action, &mut self.net);
        let state = |front: usize| (self.nodes[front].running.is_some(), self.nodes[front].paused);
        if !plan::is_applicable(&action, state) {
            return;
        }
        self.out.lines.extend(record);
        match action {
            Action::Start(front) => self.start(front),
            Action::Kill(front) | Action::KillAndWipe(front) => {
                if matches!(action, Action::KillAndWipe(_)) {
                    self.record(
                        json!({"at": self.now, "truth": "disk_lost", "front": plan::front_name(front)}),
                    );
                }
                let node = &mut self.nodes[front];
                let start_count = node.start_count;
                (node.running, node.paused) = (None, false);
                node.start_count += 1;
                node.buffered.clear();
                node.accord_disk.pending.clear();
                if matches!(action, Action::KillAndWipe(_)) {
                    (node.accord_disk, node.copies_disk, node.disk_id) =
                        (Disk::default(), copies::Image::default(), 0);
                }
                for server in 0..self.replication.boxes {
                    self.queue.push(
                        self.now + ONE_WAY_DELAY,
                        Event::ConnectionClosed { server, front, start_count, conn: None },
                    );
                }
                self.on_front_down(front);
            }
            Action::Stop(front) => {
                self.nodes[front].paused = true;
            }
            Action::Resume(front) => {
                self.nodes[front].paused = false;
                // The front's thread detects the pause by its clock before it reads buffered messages.
                self.drive_ledger(front, Input::ProcessResumed);
                let start_count = self.nodes[front].start_count;
                while let Some(message) = self.nodes[front].buffered.pop_front() {
                    if self.nodes[front].start_count == start_count {
                        self.receive(front, message);
                    }
                }
                for component in [Component::Members, Component::Accord, Component::Copies, Component::Ledger]
                {
                    self.tick(front, component);
                }
            }
            Action::Cut(..) | Action::Link(..) | Action::FaultsOver => {}
        }
    }

    fn start(&mut self, front: usize) {
        let drawn = u64::from(self.rng.next_u32()) << 32 | u64::from(self.rng.next_u32());
        let seed = u64::from(self.rng.next_u32());
        let node = &mut self.nodes[front];
        node.start_count += 1;
        node.buffered.clear();
        let local = node.clock_skew.to_local(self.now);
        let name = Name::from(plan::front_name(front));
        let boot = drawn >> 20 << 8 | node.start_count & 0xff;
        let (zone, serves) = (front as u32 % self.replication.zones, Some(address(front)));
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
        if node.disk_id == 0 {
            node.disk_id = drawn | 1;
        }
        let mut out = Vec::new();
        let config = accord::FrontIdentity {
            name: Name::clone(&name),
            new_disk_id: drawn,
            initial_voters: (0..self.replication.voters)
                .map(|front| Name::from(plan::front_name(front)))
                .collect(),
            times: Leases::default(),
        };
        let accord = accord::Accord::new(config, node.accord_disk.flushed.clone(), local, &mut out);
        let settings = &self.settings;
        let titles = settings.titles.iter().map(|(name, title)| (title.id, name.clone())).collect();
        let names = SettingsNames { classes: settings.classes.clone(), titles, viewer: None };
        let controller = Controller::new(settings.decision.clone(), seed);
        // Start time in milliseconds, as in production.
        let started = (self.now / MS) as u32;
        let ledger =
            Ledger::new(controller, settings.decision.clone(), settings.limits.clone(), &name, started);
        let ledger = ledger.with_rules(AgreedRules::new(names)).with_replication();
        let config = copies::FrontIdentity {
            name: Name::clone(&name),
            incarnation: ledger.incarnation(),
            zone,
            client_address: serves,
            disk_id: node.disk_id,
            copies: self.replication.copies.0,
            required_copies: self.replication.copies.1,
            too_few: copies::TooFewPolicy::GoOn,
            store_timeout: 400 * MS,
            max_records: 200_000,
        };
        let copies = copies::Copies::new(config, node.copies_disk.clone(), local);
        node.running = Some(RunningFront { members, accord, copies, ledger, next_ticks: [Micros::MAX; 4] });
        self.record(json!({"at": self.now, "front": plan::front_name(front), "starts": boot}));
        let coordination =
            self.nodes[front].running.as_ref().map(|running| running.accord.coordination().clone());
        self.apply_coordination(front, coordination);
        self.apply_accord_outputs(front, out);
        self.drive_ledger(front, Input::List(ListKind::Cached, Vec::new()));
        for component in [Component::Members, Component::Accord, Component::Copies, Component::Ledger] {
            self.tick(front, component);
        }
    }

    fn receive(&mut self, front: usize, message: Incoming) {
        match message {
            Incoming::Datagram(from, envelope) => {
                self.drive_members(front, members::Input::Received(from, envelope))
            }
            Incoming::Accord(envelope) => self.drive_accord(front, accord::Input::Received(envelope)),
            Incoming::Replication(from, body) => {
                self.drive_copies(front, copies::Input::Received(from, body));
                self.drive_copies(front, copies::Input::Tick);
            }
            Incoming::Ledger(input) => self.drive_ledger(front, *input),
        }
    }

    fn tick(&mut self, front: usize, component: Component) {
        match component {
            Component::Members => self.drive_members(front, members::Input::Tick),
            Component::Accord => self.drive_accord(front, accord::Input::Tick),
            Component::Copies => self.drive_copies(front, copies::Input::Tick),
            Component::Ledger => self.drive_ledger(front, Input::Tick),
        }
    }

    /// Schedules the next tick that a component requested.
    fn schedule_tick(&mut self, front: usize, component: Component, local: Option<Micros>) {
        let node = &mut self.nodes[front];
        let (Some(running), Some(local)) = (&mut node.running, local) else { return };
        let at = node.clock_skew.to_global(local).max(self.now + 1);
        if at < running.next_ticks[component as usize] {
            running.next_ticks[component as usize] = at;
            self.queue.push(at, Event::Tick(front, node.start_count, component));
        }
    }

    fn drive_members(&mut self, front: usize, input: members::Input) {
        let node = &mut self.nodes[front];
        let local = node.clock_skew.to_local(self.now);
        let Some(running) = &mut node.running else { return };
        let mut out = Vec::new();
        running.members.handle(local, input, &mut out);
        let due = running.members.next_due();
        self.schedule_tick(front, Component::Members, Some(due));
        for output in out {
            self.out.lines.extend(history::line(self.now, &plan::front_name(front), &output));
            match output {
                members::Output::Send(to, envelope) => {
                    self.out.datagrams += 1;
                    let Some(other) = front_by_address(to).filter(|other| *other < self.trial.fronts) else {
                        continue;
                    };
                    let start_count = self.nodes[other].start_count;
                    for delay in self.net.delivery_delays(self.now, front, other, &mut self.rng) {
                        let message = Incoming::Datagram(address(front), envelope.clone());
                        self.queue.push(self.now + delay, Event::Deliver(other, start_count, message));
                    }
                }
                members::Output::View(_) => self.on_view(front),
                _ => {}
            }
        }
    }

    fn on_view(&mut self, front: usize) {
        let Some(running) = &self.nodes[front].running else { return };
        let view = running.members.view();
        let name = plan::front_name(front);
        let boot = view.get(&name).filter(|fact| fact.is_member()).map(|fact| fact.boot);
        let present: Vec<copies::Peer> = view
            .members()
            .filter(|fact| *fact.name != *name)
            .map(|fact| copies::Peer { name: Name::clone(&fact.name), zone: fact.zone, boot: fact.boot })
            .collect();
        let others =
            view.members().map(|fact| (fact, true)).chain(view.former_members().map(|fact| (fact, false)));
        let others = others.map(|(fact, present)| {
            (Name::clone(&fact.name), PeerFront { in_view: present, client_address: fact.serves })
        });
        let others: BTreeMap<Name, PeerFront> = others.collect();
        let peers: BTreeSet<Name> = present.iter().map(|peer| Name::clone(&peer.name)).collect();
        self.drive_copies(front, copies::Input::View(present, boot));
        self.drive_ledger(front, Input::Peers(others));
        self.drive_accord(front, accord::Input::View(peers));
    }

    fn drive_accord(&mut self, front: usize, input: accord::Input) {
        let node = &mut self.nodes[front];
        let local = node.clock_skew.to_local(self.now);
        let Some(running) = &mut node.running else { return };
        let mut out = Vec::new();
        running.accord.handle(local, input, &mut out);
        let due = running.accord.next_due();
        self.schedule_tick(front, Component::Accord, Some(due));
        self.apply_accord_outputs(front, out);
    }

    fn apply_accord_outputs(&mut self, front: usize, out: Vec<accord::Output>) {
        for output in out {
            match output {
                accord::Output::Write(writes) => self.nodes[front].accord_disk.write(writes),
                accord::Output::Send(envelope) => {
                    if let Some(other) = self.names.get(&envelope.to).copied() {
                        self.send_on_stream(front, other, Incoming::Accord(envelope));
                    }
                }
                accord::Output::Coordination(coordination) => {
                    self.apply_coordination(front, Some(coordination))
                }
                _ => {}
            }
        }
    }

    fn apply_coordination(
        &mut self,
        front: usize,
        coordination: Option<accord::coordination::CoordinationState>,
    ) {
        let Some(coordination) = coordination else { return };
        self.drive_copies(
            front,
            copies::Input::Successors(Arc::clone(&coordination.successors), coordination.begun),
        );
        self.drive_ledger(front, Input::Coordination(Box::new(coordination)));
    }

    /// Sends a message to another front over TCP: in order, lost segments are retransmitted. A cut drops the message with
    /// the connection.
    fn send_on_stream(&mut self, front: usize, other: usize, message: Incoming) {
        let at = self.net.stream_arrival(self.now, front, other, &mut self.rng);
        let Some(at) = at else { return };
        let start_count = self.nodes[other].start_count;
        self.queue.push(at, Event::Deliver(other, start_count, message));
    }

    fn drive_copies(&mut self, front: usize, input: copies::Input) {
        let node = &mut self.nodes[front];
        let local = node.clock_skew.to_local(self.now);
        let Some(running) = &mut node.running else { return };
        let mut out = Vec::new();
        running.copies.handle(local, input, &mut out);
        let due = running.copies.next_due();
        self.schedule_tick(front, Component::Copies, Some(due));
        for output in out {
            self.out.lines.extend(history_log::line(self.now, &plan::front_name(front), &output));
            match output {
                copies::Output::Write(writes) => {
                    writes.iter().for_each(|write| self.nodes[front].copies_disk.apply(write));
                }
                copies::Output::Send(to, body) => {
                    let Some(other) = self.names.get(&to).copied() else { continue };
                    let is_step = match &body {
                        copies::Body::Put { changes, .. } => !changes.is_empty(),
                        // A repeated acknowledgement is no step.
                        copies::Body::Ack(incarnation, have, ..) => {
                            let last_ack =
                                self.last_acks.entry((front, other, Arc::clone(incarnation))).or_default();
                            std::mem::replace(last_ack, *have) != *have
                        }
                        copies::Body::Gather(..) | copies::Body::Gathered(..) => true,
                        _ => false,
                    };
                    if is_step && self.reach_step(front) {
                        return;
                    }
                    self.send_on_stream(
                        front,
                        other,
                        Incoming::Replication(Name::from(plan::front_name(front)), Box::new(body)),
                    );
                }
                copies::Output::RecordStored(key, stored) => {
                    self.drive_ledger(front, Input::RecordStored(key, stored))
                }
                copies::Output::ChangeSuccessors(changes) => {
                    self.drive_accord(front, accord::Input::ChangeSuccessors(changes))
                }
                copies::Output::TakeOver(incarnation, epoch, records) => {
                    self.drive_ledger(front, Input::TakeOver(incarnation, epoch, records));
                }
                copies::Output::TakenOver(incarnation, _) => {
                    self.drive_ledger(front, Input::TakenOver(incarnation))
                }
                copies::Output::TakeoverSuperseded(incarnation) => {
                    self.drive_ledger(front, Input::TakeoverSuperseded(incarnation))
                }
                copies::Output::HoldersChanged(_) | copies::Output::IncarnationEnded(_) => {}
            }
        }
    }

    fn drive_ledger(&mut self, front: usize, input: Input) {
        let node = &mut self.nodes[front];
        let local = node.clock_skew.to_local(self.now);
        let start_count = node.start_count;
        let Some(running) = &mut node.running else { return };
        let mut out = Vec::new();
        running.ledger.set_lease_time(|| local);
        running.ledger.handle(local, input, &mut out);
        let due = running.ledger.next_deadline();
        self.schedule_tick(front, Component::Ledger, due);
        let arrival = self.now + ONE_WAY_DELAY;
        let mut replication_inputs = Vec::new();
        for output in out {
            match output {
                Output::Answer(client, ticket, answer) => {
                    if matches!(answer, Answer::Plays { .. }) && self.reach_step(front) {
                        return;
                    }
                    self.on_answer(front, client, ticket, &answer);
                }
                Output::Reply(client, ticket, reply) => self.on_reply(client, ticket, &reply),
                Output::Notify(client, notification) => self.on_notification(client, &notification),
                Output::Dial(conn, server, _) => {
                    let result =
                        if server.0 < self.replication.boxes { Ok(()) } else { Err(DialError::Refused) };
                    self.send_to_front(front, start_count, Input::Dialed(conn, result));
                }
                Output::Exchange(conn, request) => {
                    let Some(running) = &self.nodes[front].running else { return };
                    let authority = running.ledger.write_authority(&request);
                    let server = running.ledger.box_of(conn).map_or(0, |server| server.0);
                    let session = match &request {
                        BoxRequest::SetUp { session, .. } => Some(("set-up", session)),
                        BoxRequest::SetRung { session, .. } => Some(("rung", session)),
                        BoxRequest::Release { session, .. } => Some(("release", session)),
                        BoxRequest::Claim { .. } | BoxRequest::Probe => None,
                    };
                    if session.is_some() && self.reach_step(front) {
                        return;
                    }
                    if let Some((operation, session)) = session {
                        let line = json!({"at": self.now, "front": plan::front_name(front), "acts": &*session.0,
                            "epoch": authority.epoch, "what": operation});
                        self.record(line);
                    }
                    let (request, epoch) = (Box::new(request), authority.epoch);
                    self.queue
                        .push(arrival, Event::Request { server, front, start_count, conn, request, epoch });
                }
                Output::CloseConn(conn) => {
                    for server in 0..self.replication.boxes {
                        self.queue.push(
                            arrival,
                            Event::ConnectionClosed { server, front, start_count, conn: Some(conn) },
                        );
                    }
                }
                Output::OpenStream(server, number, _) => {
                    let server = server.0;
                    if server < self.replication.boxes {
                        self.queue.push(arrival, Event::StreamOpened { server, front, start_count, number });
                    } else {
                        let stream_event = StreamEvent::NoConnection(DialError::Refused);
                        self.send_to_front(
                            front,
                            start_count,
                            Input::Stream(ServerId(server), number, stream_event),
                        );
                    }
                }
                Output::CloseStream(server, number) => {
                    if let Some(media_server) = self.servers.get_mut(server.0 as usize) {
                        if media_server.streams.get(&(front, start_count)) == Some(&number) {
                            media_server.streams.remove(&(front, start_count));
                        }
                    }
                }
                Output::FollowList => {
                    let lines = (0..self.replication.boxes).map(|server| ListEntry {
                        entry: ServerEntry {
                            server: ServerId(server),
                            zone: server % self.replication.zones,
                            state: ServerState::Ready,
                            units: 1.0,
                            ..Default::default()
                        },
                        address: server_address(server),
                    });
                    let lines = lines.collect();
                    self.send_to_front(front, start_count, Input::List(ListKind::Complete, lines));
                }
                Output::StoreRecord(key, body, waits) => {
                    replication_inputs.push(copies::Input::PutRecord(
                        key,
                        copies::RecordBody::from(body),
                        waits,
                    ));
                }
                Output::DeleteRecord(key) => replication_inputs.push(copies::Input::DeleteRecord(key)),
                Output::OrphanFound(incarnation) => {
                    replication_inputs.push(copies::Input::OrphanFound(incarnation))
                }
                Output::IncarnationChanged(incarnation) => {
                    replication_inputs.push(copies::Input::IncarnationChanged(incarnation))
                }
                Output::Log(..) | Output::Finished => {}
            }
        }
        if !replication_inputs.is_empty() {
            replication_inputs.into_iter().for_each(|input| self.drive_copies(front, input));
            self.drive_copies(front, copies::Input::Tick);
        }
    }

    /// Counts a step that a front is about to take and applies the faults placed at it. Returns whether the front is
    /// killed before the step.
    fn reach_step(&mut self, front: usize) -> bool {
        if self.now < plan::FORMATION_TIME - 1_500 * MS {
            return false;
        }
        self.out.steps += 1;
        let step = self.out.steps;
        if let Some((_, front, span)) = self.placement.stop.filter(|(at, ..)| *at == step) {
            self.queue.push(self.now, Event::Action(Action::Stop(front)));
            self.queue.push(self.now + span, Event::Action(Action::Resume(front)));
        }
        let Some((_, disk)) = self.placement.kill.filter(|(at, _)| *at == step) else { return false };
        self.apply_action(if disk { Action::KillAndWipe(front) } else { Action::Kill(front) });
        self.queue.push(self.now + 3_000 * MS, Event::Action(Action::Start(front)));
        true
    }

    fn send_to_front(&mut self, front: usize, start_count: u64, input: Input) {
        self.queue.push(
            self.now + ONE_WAY_DELAY,
            Event::Deliver(front, start_count, Incoming::Ledger(Box::new(input))),
        );
    }

    // ---- Boxes ----

    fn handle_box_request(
        &mut self,
        server: u32,
        requester: (usize, u64, ConnId),
        request: BoxRequest,
        epoch: Option<u64>,
    ) {
        let (front, start_count, conn) = requester;
        let now = self.now;
        let media_server = &mut self.servers[server as usize];
        let replaced = |session: &SessionId, claimed_epochs: &BTreeMap<String, u64>| {
            claimed_epochs.get(incarnation_of(session)).is_some_and(|claimed| epoch.unwrap_or(0) < *claimed)
        };
        let answer = match request {
            BoxRequest::SetUp { session, attempt, rung, open_request, .. } => {
                let key = (session.clone(), attempt);
                media_server.barred_attempts.retain(|_, until| *until > now);
                let refused = replaced(&session, &media_server.claimed_epochs);
                let barred = media_server.barred_attempts.contains_key(&key);
                let line = json!({"at": now, "box": server, "set_up": &*session.0, "attempt": attempt,
                    "paid": open_request.class == 1, "front": plan::front_name(front), "epoch": epoch,
                    "took": !refused && !barred});
                let answer = match (refused, barred) {
                    (true, _) => Some(BoxAnswer::Error),
                    (_, true) => Some(BoxAnswer::Full),
                    _ => {
                        let playback = Playback { front, rung, open_request, set_up_done: false, requester };
                        media_server.playbacks.insert(key.clone(), playback);
                        self.queue.push(
                            now + SET_UP_TIME,
                            Event::SetUpDone { server, key, front, start_count, conn },
                        );
                        None
                    }
                };
                self.record(line);
                answer
            }
            BoxRequest::SetRung { session, attempt, rung, .. } => {
                Some(match replaced(&session, &media_server.claimed_epochs) {
                    true => BoxAnswer::Superseded,
                    false => match media_server.playbacks.get_mut(&(session, attempt)) {
                        Some(playback) => {
                            playback.rung = rung;
                            BoxAnswer::Done
                        }
                        None => BoxAnswer::Unknown,
                    },
                })
            }
            BoxRequest::Release { session, attempt } => {
                Some(match replaced(&session, &media_server.claimed_epochs) {
                    true => BoxAnswer::Superseded,
                    false => {
                        media_server.barred_attempts.insert((session.clone(), attempt), now + BAR_TIME);
                        let played = media_server.playbacks.remove(&(session.clone(), attempt));
                        if played.as_ref().is_some_and(|playback| playback.set_up_done) {
                            self.record(json!({"at": now, "box": server, "ends": &*session.0, "by": plan::front_name(front)}));
                        }
                        if played.is_some() {
                            BoxAnswer::Done
                        } else {
                            BoxAnswer::Unknown
                        }
                    }
                })
            }
            BoxRequest::Claim { incarnation, epoch } => {
                let known = media_server.claimed_epochs.entry(incarnation.to_string()).or_insert(0);
                if *known > epoch {
                    Some(BoxAnswer::Superseded)
                } else {
                    let later = *known < epoch;
                    *known = epoch;
                    if later {
                        media_server.playbacks.retain(|(session, _), playback| {
                            playback.set_up_done || incarnation_of(session) != &*incarnation
                        });
                    }
                    for ((session, _), playback) in &mut media_server.playbacks {
                        if incarnation_of(session) == &*incarnation {
                            playback.front = front;
                        }
                    }
                    let held =
                        media_server.held_sessions(|_, session| incarnation_of(session) == &*incarnation);
                    let end = ExchangeEnd::Claimed { held, keep_alive: true };
                    return self.send_to_front(front, start_count, Input::Exchanged(conn, end));
                }
            }
            BoxRequest::Probe => Some(BoxAnswer::Done),
        };
        if let Some(answer) = answer {
            let end = ExchangeEnd::Answered { answer, report: Vec::new(), keep_alive: true };
            self.send_to_front(front, start_count, Input::Exchanged(conn, end));
        }
    }

    fn complete_set_up(&mut self, server: u32, key: &(SessionId, u32), requester: (usize, u64, ConnId)) {
        let (front, start_count, conn) = requester;
        let media_server = &mut self.servers[server as usize];
        let begun = match media_server.playbacks.get_mut(key) {
            Some(playback) if playback.requester == requester => {
                playback.set_up_done = true;
                true
            }
            _ => false,
        };
        if begun {
            let line = json!({"at": self.now, "box": server, "begins": &*key.0 .0, "attempt": key.1});
            self.record(line);
        }
        let answer = if begun { BoxAnswer::Done } else { BoxAnswer::Error };
        let end = ExchangeEnd::Answered { answer, report: Vec::new(), keep_alive: true };
        self.send_to_front(front, start_count, Input::Exchanged(conn, end));
    }

    // ---- Viewers ----

    fn schedule_step(&mut self, number: usize, after: Micros, step: ViewerStep) {
        let viewer = &mut self.viewers[number];
        viewer.generation += 1;
        self.queue.push(self.now + after, Event::Viewer(number, viewer.generation, step));
    }

    /// Picks a random front that accepts connections. A paused one does, since its process still exists.
    fn random_running_front(&mut self) -> Option<usize> {
        let up: Vec<usize> =
            (0..self.trial.fronts).filter(|front| self.nodes[*front].running.is_some()).collect();
        (!up.is_empty()).then(|| up[self.rng.next_u32() as usize % up.len()])
    }

    fn connect(&mut self, number: usize, front: usize) -> ClientId {
        let viewer = &mut self.viewers[number];
        let old = viewer.client;
        // Each connection gets a client id of its own.
        viewer.client = ClientId(old.0 + 1_000_000);
        viewer.connected_front = front;
        self.clients.remove(&old);
        self.clients.insert(self.viewers[number].client, number);
        self.viewers[number].client
    }

    fn send_request(&mut self, number: usize, input: impl FnOnce(ClientId, Ticket) -> Input) {
        let viewer = &mut self.viewers[number];
        viewer.ticket += 1;
        let (front, input) = (viewer.connected_front, input(viewer.client, Ticket(viewer.ticket)));
        self.send_to_front(front, self.nodes[front].start_count, input);
    }

    fn take_viewer_step(&mut self, number: usize, step: ViewerStep) {
        let id = ViewerId(number as u64 + 1);
        match (step, self.viewers[number].state.clone()) {
            (ViewerStep::Open, ViewerState::Idle) => {
                // No session is opened after the end of the faults, so that all places have to become free.
                if self.now > self.faults_end {
                    return;
                }
                let moved = self.viewers[number].moved_session.take();
                let front = match &moved {
                    Some(_) => Some(self.viewers[number].connected_front),
                    None => self.random_running_front(),
                };
                let Some(front) = front else {
                    return self.schedule_step(number, 500 * MS, ViewerStep::Open);
                };
                self.connect(number, front);
                let class = usize::from(self.viewers[number].paid);
                let Some(title) = self.settings.titles.values().next().copied() else { return };
                let open_request = OpenRequest {
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
                self.viewers[number].state = ViewerState::AwaitingAnswer;
                self.send_request(number, |client, ticket| Input::Open(client, ticket, open_request));
                self.schedule_step(number, PATIENCE + 500 * MS, ViewerStep::AnswerTimeout);
            }
            (ViewerStep::AnswerTimeout, ViewerState::AwaitingAnswer) => {
                self.disconnect(number);
                self.viewers[number].state = ViewerState::Idle;
                self.schedule_step(number, 1_000 * MS, ViewerStep::Open);
            }
            (ViewerStep::Close, ViewerState::Watching(session)) => {
                let at = self.viewers[number].connected_front;
                if self.nodes[at].running.is_none() {
                    return self.start_search(number, session, true);
                }
                self.viewers[number].closing = true;
                let closing = session.clone();
                self.send_request(number, |client, ticket| Input::Close(client, ticket, closing));
                self.schedule_step(number, 8_000 * MS, ViewerStep::Search);
            }
            (ViewerStep::Search, ViewerState::Watching(session)) => {
                // The front did not answer the close request.
                self.disconnect(number);
                self.start_search(number, session, true);
            }
            (ViewerStep::Search, ViewerState::Searching(session, since)) => {
                if since + SEARCH_TIME <= self.now {
                    self.record(
                        json!({"at": self.now, "viewer": number, "lost": &*session.0, "why": "not found"}),
                    );
                    self.viewers[number].state = ViewerState::Idle;
                    return self.schedule_step(number, 1_000 * MS, ViewerStep::Open);
                }
                let hint = self.viewers[number].front_hint.take();
                let front = hint.filter(|front| self.nodes[*front].running.is_some());
                let Some(front) = front.or_else(|| self.random_running_front()) else {
                    return self.schedule_step(number, 200 * MS, ViewerStep::Search);
                };
                self.disconnect(number);
                self.connect(number, front);
                self.send_request(number, |client, ticket| Input::Status(client, ticket, session, Some(id)));
                self.schedule_step(number, 1_000 * MS, ViewerStep::Search);
            }
            _ => {}
        }
    }

    /// Closes the viewer's connection.
    fn disconnect(&mut self, number: usize) {
        let (front, client) = (self.viewers[number].connected_front, self.viewers[number].client);
        self.send_to_front(front, self.nodes[front].start_count, Input::ClientClosed(client));
    }

    fn start_search(&mut self, number: usize, session: SessionId, closing: bool) {
        let viewer = &mut self.viewers[number];
        viewer.closing = closing;
        // Answers to earlier requests are ignored.
        viewer.ticket += 1;
        viewer.state = ViewerState::Searching(session, self.now);
        self.schedule_step(number, 200 * MS, ViewerStep::Search);
    }

    /// Informs the viewers of a front that it is down.
    fn on_front_down(&mut self, front: usize) {
        let affected: Vec<usize> =
            (0..self.viewers.len()).filter(|number| self.viewers[*number].connected_front == front).collect();
        for number in affected {
            match self.viewers[number].state.clone() {
                ViewerState::AwaitingAnswer => {
                    self.viewers[number].state = ViewerState::Idle;
                    self.schedule_step(number, 500 * MS, ViewerStep::Open);
                }
                ViewerState::Watching(session) => {
                    let closing = self.viewers[number].closing;
                    self.start_search(number, session, closing);
                }
                ViewerState::Idle | ViewerState::Searching(..) => {}
            }
        }
    }

    fn viewer_of_client(&self, client: ClientId) -> Option<usize> {
        self.clients.get(&client).copied()
    }

    fn on_answer(&mut self, front: usize, client: ClientId, ticket: Ticket, answer: &Answer) {
        // An answer is recorded when it is written, also if its viewer has already left.
        if let Answer::Plays { session, .. } = answer {
            let line = json!({"at": self.now, "front": plan::front_name(front), "answers": &*session.0,
                "heard": self.viewer_of_client(client).is_some()});
            self.record(line);
        }
        let Some(number) = self.viewer_of_client(client) else { return };
        let viewer = &mut self.viewers[number];
        if viewer.ticket != ticket.0 || viewer.state != ViewerState::AwaitingAnswer {
            return;
        }
        match answer {
            Answer::Plays { session, .. } => {
                viewer.state = ViewerState::Watching(session.clone());
                viewer.closing = false;
                let (from, to) = self.replication.watch_range;
                let watch = from + u64::from(self.rng.next_u32()) % (to - from).max(1);
                self.viewers[number].watch_until = self.now + watch;
                self.record(json!({"at": self.now, "viewer": number, "plays": &*session.0, "front": plan::front_name(front)}));
                self.schedule_step(number, watch, ViewerStep::Close);
            }
            Answer::Refused(..) | Answer::Failed(..) => {
                viewer.state = ViewerState::Idle;
                self.record(json!({"at": self.now, "viewer": number, "not": true}));
                self.schedule_step(number, 1_000 * MS, ViewerStep::Open);
            }
        }
    }

    fn on_reply(&mut self, client: ClientId, ticket: Ticket, reply: &Reply) {
        let Some(number) = self.viewer_of_client(client) else { return };
        if self.viewers[number].ticket != ticket.0 {
            return;
        }
        match (self.viewers[number].state.clone(), reply) {
            (ViewerState::Watching(session), Reply::Closed(closed)) if session == *closed => {
                self.record(json!({"at": self.now, "viewer": number, "closed": &*session.0}));
                self.viewers[number].state = ViewerState::Idle;
                self.schedule_step(number, 1_000 * MS, ViewerStep::Open);
            }
            (ViewerState::Watching(session), Reply::Unknown) => self.start_search(number, session, true),
            (ViewerState::Watching(_), Reply::RetryAfter(after)) => {
                self.schedule_step(number, *after, ViewerStep::Close)
            }
            (ViewerState::Searching(_, since), Reply::Status { session, playing: Some(_) }) => {
                let at = plan::front_name(self.viewers[number].connected_front);
                let line = json!({"at": self.now, "viewer": number, "found": &*session.0, "front": at,
                    "took": self.now - since});
                self.record(line);
                self.viewers[number].state = ViewerState::Watching(session.clone());
                let left = self.viewers[number].watch_until.saturating_sub(self.now);
                let left = if self.viewers[number].closing { 0 } else { left };
                self.schedule_step(number, left.max(1), ViewerStep::Close);
            }
            (ViewerState::Searching(session, _), Reply::Unknown) if self.viewers[number].closing => {
                // The viewer had already requested the close, so an unknown session is a completed close.
                self.record(json!({"at": self.now, "viewer": number, "closed": &*session.0}));
                self.viewers[number].state = ViewerState::Idle;
                self.schedule_step(number, 1_000 * MS, ViewerStep::Open);
            }
            (ViewerState::Searching(session, _), Reply::Unknown) => {
                self.record(json!({"at": self.now, "viewer": number, "lost": &*session.0, "why": "unknown",
                    "front": plan::front_name(self.viewers[number].connected_front)}));
                self.viewers[number].state = ViewerState::Idle;
                self.schedule_step(number, 1_000 * MS, ViewerStep::Open);
            }
            (ViewerState::Searching(..), Reply::AtOtherFront(name, _)) => {
                self.viewers[number].front_hint = self.names.get(name).copied();
                self.schedule_step(number, 50 * MS, ViewerStep::Search);
            }
            (ViewerState::Searching(..), Reply::RetryAfter(after)) => {
                let (at, after) = (self.viewers[number].connected_front, *after);
                // Retry at the same front or at any, at random: a front that is cut off can only answer with a retry.
                self.viewers[number].front_hint = self.rng.next_u32().is_multiple_of(2).then_some(at);
                self.schedule_step(number, after, ViewerStep::Search);
            }
            _ => {}
        }
    }

    fn on_notification(&mut self, client: ClientId, notification: &Notification) {
        let Some(number) = self.viewer_of_client(client) else { return };
        let ViewerState::Watching(session) = self.viewers[number].state.clone() else { return };
        match notification {
            Notification::Move(notified) if session == *notified => {
                self.record(json!({"at": self.now, "viewer": number, "moved": &*session.0}));
                self.viewers[number].state = ViewerState::Idle;
                self.viewers[number].moved_session = Some(session);
                self.schedule_step(number, 50 * MS, ViewerStep::Open);
            }
            Notification::Ended(notified, EndReason::TakenOver) if session == *notified => {
                let closing = self.viewers[number].closing;
                self.start_search(number, session, closing);
            }
            Notification::Ended(notified, why) if session == *notified => {
                let why = format!("{why:?}");
                self.record(json!({"at": self.now, "viewer": number, "lost": &*session.0, "why": why,
                    "front": plan::front_name(self.viewers[number].connected_front)}));
                self.viewers[number].state = ViewerState::Idle;
                self.schedule_step(number, 1_000 * MS, ViewerStep::Open);
            }
            _ => {}
        }
    }
}

impl MediaServer {
    fn held_sessions(&self, filter: impl Fn(&Playback, &SessionId) -> bool) -> Vec<HeldSession> {
        let matching = self
            .playbacks
            .iter()
            .filter(|((session, _), playback)| playback.set_up_done && filter(playback, session));
        matching
            .map(|((session, attempt), playback)| HeldSession {
                session: session.clone(),
                attempt: *attempt,
                rung: playback.rung,
                open_request: Some(playback.open_request.clone()),
            })
            .collect()
    }
}
