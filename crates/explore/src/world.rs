//! The simulated world around the fronts: boxes, box list and viewers. Every event is a move chosen by the search. The
//! messages between fronts, boxes and viewers are checked against the properties.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use salttally::controller::Controller;
use salttally::interface::*;
use salttally_front::core::timers::Deadline;
use salttally_front::core::*;
use serde::{Deserialize, Serialize};

use crate::bounds::{Bounds, Fault, Layer};
use crate::canon::{canonicalize, EPOCH};

const MS: Micros = 1_000;
/// Patience of a viewer, us. The times of the explored world differ from each other wherever confusing two of them could
/// otherwise go unnoticed.
pub const PATIENCE: Micros = 1_000 * MS;
/// Aim of the classes, us: time within which a session should play.
pub const AIM: Micros = 400 * MS;
/// Time by which an answer may exceed the patience, us.
pub const ANSWER_SLACK: Micros = 40 * MS;
/// Warm-up time of a box, us.
pub const WARM_UP: Micros = 3_000 * MS;
/// Overload limit of a cold box: multiple of its pace, window in us, and pace at its start as a share of the warm one.
pub const OVERLOAD: (f64, Micros, f64) = (2.0, 500 * MS, 0.5);
/// Number of places of a box.
pub const PLACES: u32 = 6;
/// Largest number of attempts for a session.
pub const MAX_ATTEMPTS: u32 = 3;
/// Retry budget: window in us, free further attempts in it, and further attempts for each open request in it.
pub const RETRY_BUDGET: (Micros, f64, f64) = (2_000 * MS, 2.0, 0.5);
/// Class indices: a clip, and a paid class with a floor and seats.
const CLIP: usize = 0;
const PAID: usize = 1;
/// Tolerance for random excess: set-ups beyond the limit of a cold box's window.
const RANDOM_EXCESS: f64 = 2.0;
/// Seeds of the module's random draws. With one seed the first draw is low and the second high, and the reverse with the
/// other, so that both outcomes of a random choice and both orders of two boxes are explored.
pub const DRAW_SEEDS: [u64; 2] = [0, 23];

/// Marker in a front's queue of list lines for the complete list.
const FULL_LIST_MARKER: u32 = u32::MAX;

/// Properties to check; `docs/design/exploration.md` describes each of them.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Property {
    /// No open request is answered twice.
    OneAnswer,
    /// Every answer is given within patience plus slack.
    InTime,
    /// No session has two attempts in flight.
    OneAttempt,
    /// A paid session is set up again, or refused, only if no earlier set-up can have run.
    PaidOnce,
    /// No set-up is sent to a draining box after the drain grace.
    Drains,
    /// No cold box is overloaded.
    Cold,
    /// Rungs stay between floor and top, and the sessions of a class within its seats.
    Terms,
    /// Further attempts stay within the retry budget.
    Budget,
    /// At quiescence, every open request is answered and every session and connection is released.
    Quiet,
    /// The ledger never has to block an action of the module, and the module is never overdue.
    Lock,
}

impl Property {
    /// All properties.
    pub const ALL: [Property; 10] = [
        Property::OneAnswer,
        Property::InTime,
        Property::OneAttempt,
        Property::PaidOnce,
        Property::Drains,
        Property::Cold,
        Property::Terms,
        Property::Budget,
        Property::Quiet,
        Property::Lock,
    ];

    /// Returns the description of the property.
    pub fn description(self) -> &'static str {
        match self {
            Property::OneAnswer => "no call is answered twice",
            Property::InTime => "every answer comes within patience and slack",
            Property::OneAttempt => "no session has two attempts out",
            Property::PaidOnce => "no paid set-up again or refused unless proven never run",
            Property::Drains => "nothing new to a box after its grace",
            Property::Cold => "no cold box pushed over by all fronts together",
            Property::Terms => "floors and seats are kept",
            Property::Budget => "further attempts stay within budget",
            Property::Quiet => "in quiet every call is answered and everything released",
            Property::Lock => "the module never meets the ledger's lock",
        }
    }
}

/// Requests of a decider that may request anything.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum DeciderRequest {
    SetUp { server: u32 },
    Refuse,
    Fail,
    Move,
    Rung { rung: usize },
}

/// A move of the world. Connection and stream numbers are those of the front in the current state.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Move {
    /// A viewer opens a session at a front; `draw` selects the seed of the module.
    Open { viewer: u32, front: u32, draw: usize },
    /// A viewer gives up before it is answered.
    GiveUp { viewer: u32 },
    /// A viewer's connection closes.
    #[serde(rename = "gone")]
    Disconnect { viewer: u32 },
    /// A viewer's machine disappears without closing its connection.
    Vanish { viewer: u32 },
    /// A vanished viewer returns and asks for the session that it watched.
    #[serde(rename = "back")]
    Return { viewer: u32 },
    /// A viewer closes its session.
    Close { viewer: u32 },
    /// The decider makes a request for the viewer's latest session.
    Decide { viewer: u32, ask: DeciderRequest },
    /// A connection is established.
    #[serde(rename = "dial")]
    DialSucceeds { front: u32, conn: u64 },
    /// A connection attempt is refused by a dead box, or times out.
    #[serde(rename = "no_dial")]
    DialFails { front: u32, conn: u64, refused: bool },
    /// A box processes the request on a connection and sends this answer.
    #[serde(rename = "take")]
    AnswerRequest { front: u32, conn: u64, answer: RequestOutcome },
    /// The answer on a connection reaches the front; `draw` selects the seed of the module.
    #[serde(rename = "arrive")]
    DeliverAnswer { front: u32, conn: u64, draw: usize },
    /// A connection breaks, after or before the request was completely written.
    #[serde(rename = "break")]
    BreakConnection {
        front: u32,
        conn: u64,
        #[serde(rename = "whole")]
        written: bool,
    },
    /// A connection turns out to be closed before a byte was written.
    #[serde(rename = "stale")]
    FindStaleConnection { front: u32, conn: u64 },
    /// A request on a connection that the front has closed still reaches the box.
    #[serde(rename = "orphan")]
    DeliverOrphan {
        #[serde(rename = "place")]
        index: usize,
    },
    /// The event stream from a box is established.
    #[serde(rename = "up")]
    StreamUp { front: u32, server: u32 },
    /// The event stream from a box breaks, or cannot be established.
    #[serde(rename = "down")]
    StreamDown { front: u32, server: u32 },
    /// A box ends a session.
    #[serde(rename = "ended")]
    EndSession { server: u32, session: usize },
    /// A box dies.
    #[serde(rename = "die")]
    BoxDies { server: u32 },
    /// A dead box restarts cold.
    #[serde(rename = "start")]
    BoxStarts { server: u32 },
    /// The list marks a box as ready (0), draining (1) or removed (2); each front learns of it later.
    #[serde(rename = "list")]
    ChangeList { server: u32, state: u8 },
    /// A front receives its next list line.
    #[serde(rename = "hear")]
    ReceiveListLine { front: u32 },
    /// A front dies.
    FrontDies { front: u32 },
    /// A dead front restarts with its previous list.
    #[serde(rename = "front_born")]
    FrontRestarts { front: u32 },
    /// Time passes until something is due.
    Wait,
}

/// A box's answer to a request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Done.
    Yes,
    /// Full or draining.
    Full,
    /// An error.
    Error,
}

impl fmt::Display for Move {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Move::Open { viewer, front, draw } => {
                let draws = if *draw == 0 { "" } else { " (other draws)" };
                write!(f, "viewer {viewer} opens at front {front}{draws}")
            }
            Move::GiveUp { viewer } => write!(f, "viewer {viewer} gives up"),
            Move::Disconnect { viewer } => write!(f, "the connection of viewer {viewer} ends"),
            Move::Vanish { viewer } => write!(f, "viewer {viewer} vanishes without closing its connection"),
            Move::Return { viewer } => write!(f, "viewer {viewer} returns for its session"),
            Move::Close { viewer } => write!(f, "viewer {viewer} closes its session"),
            Move::Decide { viewer, ask } => {
                write!(f, "the decider requests {ask:?} for the session of viewer {viewer}")
            }
            Move::DialSucceeds { front, conn } => {
                write!(f, "front {front}: connection {conn} is established")
            }
            Move::DialFails { front, conn, refused: true } => {
                write!(f, "front {front}: dial {conn} is refused")
            }
            Move::DialFails { front, conn, refused: false } => {
                write!(f, "front {front}: dial {conn} is not answered")
            }
            Move::AnswerRequest { front, conn, answer } => {
                write!(f, "the box answers the request on connection {conn} of front {front}: {answer:?}")
            }
            Move::DeliverAnswer { front, conn, .. } => {
                write!(f, "the answer on connection {conn} reaches front {front}")
            }
            Move::BreakConnection { front, conn, written: true } => {
                write!(f, "connection {conn} of front {front} breaks after the request was written")
            }
            Move::BreakConnection { front, conn, written: false } => {
                write!(
                    f,
                    "connection {conn} of front {front} breaks before the request was completely written"
                )
            }
            Move::FindStaleConnection { front, conn } => {
                write!(f, "connection {conn} of front {front} turns out to be closed")
            }
            Move::DeliverOrphan { index } => {
                write!(f, "request {index} of a closed connection reaches its box")
            }
            Move::StreamUp { front, server } => {
                write!(f, "the stream of box {server} to front {front} is established")
            }
            Move::StreamDown { front, server } => {
                write!(f, "the stream of box {server} to front {front} breaks")
            }
            Move::EndSession { server, session } => write!(f, "box {server} ends its session {session}"),
            Move::BoxDies { server } => write!(f, "box {server} dies"),
            Move::BoxStarts { server } => write!(f, "box {server} restarts cold"),
            Move::ChangeList { server, state: 0 } => write!(f, "the list marks box {server} as ready"),
            Move::ChangeList { server, state: 1 } => write!(f, "the list marks box {server} as draining"),
            Move::ChangeList { server, .. } => write!(f, "the list marks box {server} as removed"),
            Move::ReceiveListLine { front } => write!(f, "front {front} receives the next list line"),
            Move::FrontDies { front } => write!(f, "front {front} dies"),
            Move::FrontRestarts { front } => write!(f, "front {front} restarts"),
            Move::Wait => f.write_str("time passes until something is due"),
        }
    }
}

/// The decider of a front.
#[derive(Clone)]
pub enum TestDecider {
    /// A scripted decider, whose requests are moves of the world.
    Scripted(Vec<Action>),
    /// The module.
    Module(Box<Controller>),
}

impl fmt::Debug for TestDecider {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TestDecider::Scripted(pending_actions) => write!(f, "{pending_actions:?}"),
            TestDecider::Module(controller) => controller.fmt(f),
        }
    }
}

impl Decider for TestDecider {
    fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        match self {
            TestDecider::Scripted(pending_actions) => out.append(pending_actions),
            TestDecider::Module(controller) => controller.handle(now, event, out),
        }
    }
}

/// Stage of a request in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ExchangeStage {
    /// The request is on its way to the box.
    Sent,
    /// The box has answered.
    Answered(RequestOutcome),
}

/// A front and its connections and messages in flight.
#[derive(Clone, Debug)]
struct Front {
    up: bool,
    ledger: Ledger<TestDecider>,
    dials: BTreeMap<ConnId, ServerId>,
    exchanges: BTreeMap<ConnId, (ServerId, BoxRequest, ExchangeStage)>,
    /// Box of each established connection.
    connections: BTreeMap<ConnId, ServerId>,
    streams: BTreeMap<ServerId, (u64, bool)>,
    /// List lines that the front has not yet received.
    pending_list_lines: VecDeque<(u32, u8, Option<Micros>)>,
    /// Time at which the front learned that a box is draining or removed, us.
    drain_known_since: BTreeMap<u32, Micros>,
    /// Times of open requests and further attempts within the budget window, us.
    open_times: Vec<Micros>,
    retry_times: Vec<Micros>,
}

/// A box.
#[derive(Clone, Debug, Default)]
struct BoxState {
    dead: bool,
    draining: bool,
    list_state: u8,
    started: Option<Micros>,
    /// Front and rung of each session and attempt.
    sessions: BTreeMap<(SessionId, u32), (u32, usize)>,
    released_attempts: BTreeSet<(SessionId, u32)>,
    /// Times of recent set-ups since the cold start, us.
    recent_set_ups: Vec<Micros>,
}

/// A viewer.
#[derive(Clone, Debug, PartialEq)]
enum Viewer {
    /// Has not arrived yet.
    NotArrived,
    /// Waits for an answer.
    AwaitingAnswer { front: u32, ticket: u64, until: Micros },
    /// Watches a session.
    Watching { front: u32, session: SessionId },
    /// Has vanished without closing its connection, and may return for its session.
    Silent { front: u32, session: SessionId },
    /// Was refused, moved, or lost its session; may open again.
    Displaced { moved: Option<(u32, SessionId)> },
    /// Takes no further part.
    Done,
}

/// Attempts of a session, as observed in the messages.
#[derive(Clone, Debug, Default)]
struct SessionAttempts {
    viewer: u32,
    in_flight: BTreeSet<(u32, ConnId)>,
    /// An earlier attempt may have run.
    may_have_run: bool,
    set_ups_sent: u32,
}

/// A state of the world.
#[derive(Clone, Debug)]
pub struct World {
    bounds: Arc<Bounds>,
    now: Micros,
    fronts: Vec<Front>,
    boxes: Vec<BoxState>,
    viewers: Vec<Viewer>,
    attempts_by_session: BTreeMap<SessionId, SessionAttempts>,
    /// Set-ups in flight whose connection the front has closed.
    orphaned_set_ups: Vec<(u32, u32, SessionId, u32, usize)>,
    tickets: u64,
    fault_count: u32,
    wrong_requests: u32,
    /// The first broken property, with a description.
    pub broken: Option<(Property, String)>,
}

fn address(server: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9000 + server as u16))
}

fn settings(bounds: &Bounds) -> Settings {
    let class = |effect, floor, seats| Class {
        aim: AIM,
        effect,
        group: Group::All,
        window: 0,
        gain: 1.0,
        floor,
        top: 2,
        rate_factor: 1.0,
        seats,
        live: false,
    };
    let rung = |kb, worth| Rung { kb, worth };
    Settings {
        fronts: bounds.fronts,
        zone: 0,
        classes: vec![class(Effect::Safe, 0, 0), class(Effect::Once, 1, 1)],
        ladder: vec![rung(100.0, 0.2), rung(200.0, 0.6), rung(400.0, 1.0)],
        cells: bounds.boxes,
        racks: 0,
        link_kb_per_unit: 1_000.0,
        links_kb: 1_000.0 * f64::from(bounds.boxes),
        uplink_kb: 0.0,
        kind_streams: vec![PLACES],
        refuses_from: 0.0,
        note_interval: 0,
        note_age: 0,
        shared_adds: 1.0,
        change_cost_s: 0.5,
        reports: Vec::new(),
        max_attempts: MAX_ATTEMPTS,
        probes: false,
        probe_price: 0.0,
        max_hold_off: 200 * MS,
        drain_grace: bounds.grace_ms * MS,
        warm_up: WARM_UP,
        cold_from: OVERLOAD.2,
        fall_multiple: OVERLOAD.0,
        fall_window: OVERLOAD.1,
        list_on_demand: true,
        ask_within: 0,
        budget: Some(Budget { window: RETRY_BUDGET.0, free: RETRY_BUDGET.1, share: RETRY_BUDGET.2 }),
        move_price: 0.0,
        cross_price: 0.0,
    }
}

/// Limits of the fronts. The timeouts for silence and idle connections are longer than any explored path, since they would
/// only add waiting.
const LIMITS: Limits = Limits {
    answer_slack: ANSWER_SLACK,
    silence_timeout: 600_000 * MS,
    lost_timeout: 700 * MS,
    claim_timeout: 1_500 * MS,
    lost_client_retention: 1_500 * MS,
    takeover_retention: 1_500 * MS,
    sessions_per_connection: 64,
    sessions_per_viewer: 64,
    moved_retention: 5_000 * MS,
    request_timeout: 600 * MS,
    idle_timeout: 500_000 * MS,
    clock_skew: 0,
    connections_per_box: 8,
};

impl World {
    /// Creates the initial state: every front knows every box, and no viewer has arrived.
    pub fn new(bounds: Arc<Bounds>) -> World {
        let mut world = World {
            now: EPOCH + 100_000 * MS,
            fronts: Vec::new(),
            boxes: (0..bounds.boxes).map(|_| BoxState::default()).collect(),
            viewers: (0..bounds.sessions).map(|_| Viewer::NotArrived).collect(),
            attempts_by_session: BTreeMap::new(),
            orphaned_set_ups: Vec::new(),
            tickets: 0,
            fault_count: 0,
            wrong_requests: 0,
            broken: None,
            bounds,
        };
        for front_id in 0..world.bounds.fronts {
            let front = world.new_front(front_id, 1);
            world.fronts.push(front);
            world.deliver(front_id, Input::List(ListKind::Cached, Vec::new()));
            let full_list = world.full_list();
            world.deliver(front_id, Input::List(ListKind::Complete, full_list));
            for server in 0..world.bounds.boxes {
                world.apply(&Move::StreamUp { front: front_id, server });
            }
        }
        world
    }

    fn new_front(&self, front_id: u32, boot: u32) -> Front {
        let settings = settings(&self.bounds);
        let decider = match self.bounds.layer {
            Layer::Anything => TestDecider::Scripted(Vec::new()),
            Layer::Module => TestDecider::Module(Box::new(Controller::new(settings.clone(), DRAW_SEEDS[0]))),
        };
        Front {
            up: true,
            ledger: Ledger::new(decider, settings, LIMITS.clone(), &format!("f{front_id}"), boot),
            dials: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            connections: BTreeMap::new(),
            streams: BTreeMap::new(),
            pending_list_lines: VecDeque::new(),
            drain_known_since: BTreeMap::new(),
            open_times: Vec::new(),
            retry_times: Vec::new(),
        }
    }

    fn list_entry(&self, server: u32, state: u8, started: Option<Micros>) -> ListEntry {
        let state =
            [ServerState::Ready, ServerState::Draining, ServerState::Removed][usize::from(state.min(2))];
        let server_id = ServerId(server);
        let entry =
            ServerEntry { server: server_id, cell: server, state, units: 1.0, started, ..Default::default() };
        ListEntry { entry, address: address(server) }
    }

    fn full_list(&self) -> Vec<ListEntry> {
        let box_states =
            (0..self.bounds.boxes).zip(&self.boxes).filter(|(_, box_state)| box_state.list_state < 2);
        box_states
            .map(|(id, box_state)| self.list_entry(id, box_state.list_state, box_state.started))
            .collect()
    }

    /// Returns the canonical text of everything that influences future behaviour; see [`crate::canon`].
    pub fn canonical_text(&self) -> String {
        let text = format!(
            "{:?} {:?} {:?} {:?} {:?} {} {}",
            self.fronts,
            self.boxes,
            self.viewers,
            self.attempts_by_session,
            self.orphaned_set_ups,
            self.fault_count,
            self.wrong_requests
        );
        canonicalize(&text, self.now)
    }

    fn break_property(&mut self, property: Property, text: String) {
        self.broken.get_or_insert((property, text));
    }

    // ---- Outputs of the fronts ----

    fn deliver(&mut self, front_id: u32, input: Input) {
        self.deliver_with_draw(front_id, input, 0);
    }

    fn deliver_with_draw(&mut self, front_id: u32, input: Input, draw: usize) {
        let front = &mut self.fronts[front_id as usize];
        if let TestDecider::Module(controller) = front.ledger.decider() {
            controller.reseed(DRAW_SEEDS[draw % DRAW_SEEDS.len()]);
        }
        let mut out = Vec::new();
        front.ledger.handle(self.now, input, &mut out);
        for output in out {
            self.apply_output(front_id, output);
        }
        if self.bounds.layer == Layer::Module {
            let counts = self.fronts[front_id as usize].ledger.counts();
            if counts.stopped() > 0 || counts.overdue > 0 {
                self.break_property(Property::Lock, format!("front {front_id}: {counts:?}"));
            }
        }
    }

    fn apply_output(&mut self, front_id: u32, output: Output) {
        match output {
            Output::Answer(client, ticket, answer) => self.on_answer(front_id, client, ticket, answer),
            Output::Dial(conn, server, _) => {
                self.fronts[front_id as usize].dials.insert(conn, server);
            }
            Output::Exchange(conn, request) => {
                if let BoxRequest::SetUp { session, attempt, rung, open_request, .. } = &request {
                    self.set_up_written(
                        front_id,
                        conn,
                        session,
                        (open_request.viewer.0 as u32, *attempt, *rung),
                    );
                }
                let front = &mut self.fronts[front_id as usize];
                let server = front.connections.get(&conn).copied().unwrap_or_default();
                front.exchanges.insert(conn, (server, request, ExchangeStage::Sent));
            }
            Output::CloseConn(conn) => self.on_connection_closed(front_id, conn),
            Output::OpenStream(server, number, _) => {
                self.fronts[front_id as usize].streams.insert(server, (number, false));
            }
            Output::CloseStream(server, number) => {
                let streams = &mut self.fronts[front_id as usize].streams;
                if streams.get(&server).is_some_and(|(attempt, _)| *attempt == number) {
                    streams.remove(&server);
                }
            }
            Output::Notify(client, notification) => {
                let Some(viewer) = self.viewers.get_mut(client.0 as usize) else { return };
                match notification {
                    Notification::Move(session) => {
                        *viewer = Viewer::Displaced { moved: Some((front_id, session)) }
                    }
                    Notification::Ended(..) => *viewer = Viewer::Displaced { moved: None },
                    Notification::RungChanged(..) => {}
                }
            }
            // A returned viewer has its session again, or learns that it is over.
            Output::Reply(client, _, reply) => {
                let Some(viewer) = self.viewers.get_mut(client.0 as usize) else { return };
                if let Viewer::Silent { front, session } = viewer.clone() {
                    *viewer = match reply {
                        Reply::Status { .. } => Viewer::Watching { front, session },
                        _ => Viewer::Done,
                    };
                }
            }
            Output::FollowList | Output::Log(..) | Output::Finished => {}
            // Replication is not explored.
            Output::StoreRecord(..)
            | Output::DeleteRecord(_)
            | Output::IncarnationChanged(_)
            | Output::OrphanFound(_) => {}
        }
    }

    fn on_answer(&mut self, front_id: u32, client: ClientId, ticket: Ticket, answer: Answer) {
        let (Answer::Plays { session, .. } | Answer::Refused(session, _) | Answer::Failed(session, _)) =
            &answer;
        let session = session.clone();
        let place = client.0 as usize;
        let pending_until = match self.viewers.get(place) {
            Some(Viewer::AwaitingAnswer { front, ticket: pending_ticket, until })
                if (*front, *pending_ticket) == (front_id, ticket.0) =>
            {
                Some(*until)
            }
            _ => None,
        };
        let Some(until) = pending_until else {
            let text = format!(
                "viewer {place} is answered {answer:?} for session {} without a pending request",
                session.0
            );
            return self.break_property(Property::OneAnswer, text);
        };
        if self.now > until + ANSWER_SLACK {
            let text =
                format!("viewer {place} is answered {} ms late", (self.now - until - ANSWER_SLACK) / MS);
            self.break_property(Property::InTime, text);
        }
        let paid = self.class_of(place as u32) == PAID;
        self.viewers[place] = match answer {
            Answer::Plays { .. } => Viewer::Watching { front: front_id, session },
            Answer::Refused(..) => {
                let session_attempts = self.attempts_by_session.get(&session);
                if paid
                    && session_attempts.is_some_and(|session_attempts| {
                        session_attempts.may_have_run || !session_attempts.in_flight.is_empty()
                    })
                {
                    let text = format!("paid session {} is refused although it may have run", session.0);
                    self.break_property(Property::PaidOnce, text);
                }
                Viewer::Displaced { moved: None }
            }
            Answer::Failed(..) if paid => Viewer::Done,
            Answer::Failed(..) => Viewer::Displaced { moved: None },
        };
    }

    fn class_of(&self, viewer: u32) -> usize {
        if viewer < self.bounds.paid {
            PAID
        } else {
            CLIP
        }
    }

    fn set_up_written(
        &mut self,
        front_id: u32,
        conn: ConnId,
        session: &SessionId,
        details: (u32, u32, usize),
    ) {
        let (viewer, attempt, rung) = details;
        let front = &self.fronts[front_id as usize];
        let server = front.connections.get(&conn).copied().unwrap_or_default();
        let drain_known_since = front.drain_known_since.get(&server.0).copied();
        let class = self.class_of(viewer);
        let now = self.now;
        let session_attempts = self.attempts_by_session.entry(session.clone()).or_default();
        session_attempts.viewer = viewer;
        let mut broken = Vec::new();
        if !session_attempts.in_flight.is_empty() {
            broken.push((
                Property::OneAttempt,
                format!("session {}: attempt {attempt} while another is in flight", session.0),
            ));
        }
        if class == PAID && session_attempts.may_have_run {
            broken.push((
                Property::PaidOnce,
                format!("paid session {} is set up again although it may have run", session.0),
            ));
        }
        // An attempt may be sent again on a new connection if nothing of it had been written before.
        let first = session_attempts.set_ups_sent == 0;
        session_attempts.set_ups_sent += 1;
        session_attempts.in_flight.insert((front_id, conn));
        let grace = self.bounds.grace_ms * MS;
        if let Some(drain_known_since) =
            drain_known_since.filter(|drain_known_since| now > drain_known_since + grace)
        {
            let late = (now - drain_known_since - grace) / MS;
            broken.push((
                Property::Drains,
                format!(
                    "box {} is draining; a set-up is sent to it {late} ms after the drain grace",
                    server.0
                ),
            ));
        }
        let floor = usize::from(class == PAID);
        if !(floor..=2).contains(&rung) {
            broken.push((Property::Terms, format!("session {} is set up at rung {rung}", session.0)));
        }
        if class == PAID {
            let sessions = self
                .attempts_by_session
                .values()
                .filter(|s| s.viewer != viewer && self.class_of(s.viewer) == PAID);
            let mut others =
                sessions.filter(|s| s.in_flight.iter().any(|(owner, _)| *owner == front_id)).count();
            let held = self.boxes.iter().flat_map(|b| &b.sessions);
            others += held
                .filter(|((id, _), (owner, _))| {
                    *owner == front_id && id != session && self.is_paid(id) && self.known_to(front_id, id)
                })
                .count();
            if others >= 1 {
                broken.push((
                    Property::Terms,
                    format!("front {front_id} holds {} paid sessions, 1 seat", others + 1),
                ));
            }
        }
        if attempt > 0 && !first {
            let front = &mut self.fronts[front_id as usize];
            front.retry_times.retain(|time| time + RETRY_BUDGET.0 >= now);
            front.retry_times.push(now);
            let open_times = front.open_times.iter().filter(|time| **time + RETRY_BUDGET.0 >= now).count();
            if front.retry_times.len() as f64 > RETRY_BUDGET.1 + RETRY_BUDGET.2 * open_times as f64 {
                let text = format!(
                    "front {front_id}: {} further attempts for {open_times} open requests",
                    front.retry_times.len()
                );
                broken.push((Property::Budget, text));
            }
        }
        let box_state = &mut self.boxes[server.0 as usize];
        if let Some(started) = box_state.started.filter(|started| started + WARM_UP > now && !box_state.dead)
        {
            box_state.recent_set_ups.retain(|time| time + OVERLOAD.1 > now);
            box_state.recent_set_ups.push(now);
            let pace_share = OVERLOAD.2 + (1.0 - OVERLOAD.2) * (now - started) as f64 / WARM_UP as f64;
            let limit = OVERLOAD.0 * f64::from(PLACES) / WARM_UP as f64 * pace_share * OVERLOAD.1 as f64
                + RANDOM_EXCESS;
            if box_state.recent_set_ups.len() as f64 > limit {
                let text = format!(
                    "cold box {} is sent {} set-ups, {limit:.1} at most",
                    server.0,
                    box_state.recent_set_ups.len()
                );
                broken.push((Property::Cold, text));
            }
        }
        // The ledger ensures the properties of answers, attempts and paid set-ups; the others are required of the module
        // only.
        let of_module = |property: Property| {
            matches!(property, Property::Drains | Property::Cold | Property::Budget | Property::Terms)
        };
        let applies = |property: Property| self.bounds.layer == Layer::Module || !of_module(property);
        if let Some((property, text)) = broken.into_iter().find(|(property, _)| applies(*property)) {
            self.break_property(property, text);
        }
    }

    fn is_paid(&self, session: &SessionId) -> bool {
        self.attempts_by_session
            .get(session)
            .is_some_and(|session_attempts| self.class_of(session_attempts.viewer) == PAID)
    }

    /// Returns whether a front still counts a session as its own because its viewer watches it there.
    fn known_to(&self, front_id: u32, session: &SessionId) -> bool {
        let watches = |viewer: &Viewer| match viewer {
            Viewer::Watching { front, session: watched } => *front == front_id && watched == session,
            // The seat is reserved as long as the viewer may return.
            Viewer::Silent { front, session: watched } => {
                *front == front_id
                    && watched == session
                    && self.fronts[front_id as usize].ledger.contains(session)
            }
            _ => false,
        };
        self.viewers.iter().any(watches)
    }

    /// Handles a connection closed by the front; a set-up in flight on it may still reach its box.
    fn on_connection_closed(&mut self, front_id: u32, conn: ConnId) {
        let front = &mut self.fronts[front_id as usize];
        front.dials.remove(&conn);
        front.connections.remove(&conn);
        let Some((server, request, stage)) = front.exchanges.remove(&conn) else { return };
        if let BoxRequest::SetUp { session, attempt, rung, .. } = request {
            let session_attempts = self.attempts_by_session.entry(session.clone()).or_default();
            session_attempts.in_flight.remove(&(front_id, conn));
            session_attempts.may_have_run |= stage != ExchangeStage::Answered(RequestOutcome::Full);
            // A dead process has reset its connections, so nothing of them reaches its successor.
            if stage == ExchangeStage::Sent && !self.boxes[server.0 as usize].dead {
                self.orphaned_set_ups.push((front_id, server.0, session, attempt, rung));
            }
        }
    }

    // ---- Moves ----

    /// Returns all moves that are possible in this state.
    pub fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        if self.broken.is_some() {
            return moves;
        }
        let allowed =
            |fault: Fault| self.fault_count < self.bounds.max_faults && self.bounds.faults.contains(&fault);
        self.viewer_moves(&allowed, &mut moves);
        for (front_id, front) in self.fronts.iter().enumerate() {
            let front_id = front_id as u32;
            if !front.up {
                moves.push(Move::FrontRestarts { front: front_id });
                continue;
            }
            self.front_moves(front_id, front, &allowed, &mut moves);
        }
        for index in 0..self.orphaned_set_ups.len() {
            moves.push(Move::DeliverOrphan { index });
        }
        for (server, box_state) in self.boxes.iter().enumerate() {
            let id = server as u32;
            if box_state.dead {
                moves.push(Move::BoxStarts { server: id });
                continue;
            }
            if allowed(Fault::Death) && self.is_distinguishable(id) {
                moves.push(Move::BoxDies { server: id });
            }
            if allowed(Fault::Drain) && box_state.list_state == 0 && self.is_distinguishable(id) {
                moves.push(Move::ChangeList { server: id, state: 1 });
                moves.push(Move::ChangeList { server: id, state: 2 });
            }
            if allowed(Fault::Ended) {
                for session in 0..box_state.sessions.len() {
                    moves.push(Move::EndSession { server: id, session });
                }
            }
        }
        if self.next_due().is_some() && self.time_may_pass() {
            moves.push(Move::Wait);
        }
        moves
    }

    /// Returns whether moves of a box have to be explored. Of all boxes without any state of their own, only the first is
    /// explored, since the others behave the same except for their ids.
    fn is_distinguishable(&self, server: u32) -> bool {
        let is_unused = |id: u32| {
            let box_state = &self.boxes[id as usize];
            let used = |front: &Front| {
                front.dials.values().chain(front.connections.values()).any(|server| server.0 == id)
                    || front.drain_known_since.contains_key(&id)
                    || front.pending_list_lines.iter().any(|line| line.0 == id)
            };
            box_state.sessions.is_empty()
                && box_state.released_attempts.is_empty()
                && box_state.started.is_none()
                && !box_state.dead
                && box_state.list_state == 0
                && !self.fronts.iter().any(used)
                && !self.orphaned_set_ups.iter().any(|orphan| orphan.1 == id)
        };
        !is_unused(server) || !(0..server).any(is_unused)
    }

    fn viewer_moves(&self, allowed: &dyn Fn(Fault) -> bool, moves: &mut Vec<Move>) {
        let draws = if self.bounds.layer == Layer::Module { DRAW_SEEDS.len() } else { 1 };
        for (viewer, state) in self.viewers.iter().enumerate() {
            let id = viewer as u32;
            match state {
                Viewer::NotArrived => {
                    // Viewers of a class are interchangeable until they arrive, so they arrive in the order of their numbers.
                    let class = self.class_of(id);
                    let earlier = (0..id).any(|other| {
                        self.class_of(other) == class && self.viewers[other as usize] == Viewer::NotArrived
                    });
                    if !earlier {
                        for front in
                            (0..self.bounds.fronts).filter(|front_id| self.fronts[*front_id as usize].up)
                        {
                            moves.extend((0..draws).map(|draw| Move::Open { viewer: id, front, draw }));
                        }
                    }
                }
                Viewer::AwaitingAnswer { .. } => {
                    if allowed(Fault::GiveUp) {
                        moves.push(Move::GiveUp { viewer: id });
                    }
                    if allowed(Fault::Gone) {
                        moves.push(Move::Disconnect { viewer: id });
                    }
                    if allowed(Fault::Silent) {
                        moves.push(Move::Vanish { viewer: id });
                    }
                    self.decider_moves(id, moves);
                }
                Viewer::Watching { .. } => {
                    moves.push(Move::Close { viewer: id });
                    if allowed(Fault::Gone) {
                        moves.push(Move::Disconnect { viewer: id });
                    }
                    if allowed(Fault::Silent) {
                        moves.push(Move::Vanish { viewer: id });
                    }
                    self.decider_moves(id, moves);
                }
                Viewer::Displaced { moved: Some((front, _)) } if self.fronts[*front as usize].up => {
                    moves.push(Move::Open { viewer: id, front: *front, draw: 0 });
                }
                Viewer::Displaced { moved: None } if allowed(Fault::Again) => {
                    for front in (0..self.bounds.fronts).filter(|front_id| self.fronts[*front_id as usize].up)
                    {
                        moves.push(Move::Open { viewer: id, front, draw: 0 });
                    }
                }
                Viewer::Silent { front, .. } if self.fronts[*front as usize].up => {
                    moves.push(Move::Return { viewer: id });
                }
                Viewer::Silent { .. } | Viewer::Displaced { .. } | Viewer::Done => {}
            }
        }
    }

    /// Adds the possible requests of the decider for a viewer's session. Invalid requests are limited in number.
    fn decider_moves(&self, viewer: u32, moves: &mut Vec<Move>) {
        if self.bounds.layer != Layer::Anything {
            return;
        }
        let Some((_, session)) = self.session_of(viewer) else { return };
        let in_flight = self
            .attempts_by_session
            .get(&session)
            .is_some_and(|session_attempts| !session_attempts.in_flight.is_empty());
        let awaiting_answer = matches!(self.viewers[viewer as usize], Viewer::AwaitingAnswer { .. });
        let wrong = self.wrong_requests < self.bounds.max_wrong_requests;
        let valid = awaiting_answer && !in_flight;
        let mut ask = |ask: DeciderRequest| moves.push(Move::Decide { viewer, ask });
        if valid || wrong {
            let ids = (0..self.bounds.boxes).filter(|id| self.is_distinguishable(*id));
            ids.for_each(|server| ask(DeciderRequest::SetUp { server }));
            ask(DeciderRequest::Refuse);
            ask(DeciderRequest::Fail);
        }
        if !awaiting_answer && (self.fault_count < self.bounds.max_faults) || awaiting_answer && wrong {
            // After a move the viewer opens again, which could repeat forever; it therefore counts as a fault.
            ask(DeciderRequest::Move);
        }
        if !awaiting_answer || wrong {
            ask(DeciderRequest::Rung { rung: 2 });
        }
        if wrong {
            ask(DeciderRequest::Rung { rung: 0 });
        }
    }

    /// Returns the front and the id of a viewer's session.
    fn session_of(&self, viewer: u32) -> Option<(u32, SessionId)> {
        match &self.viewers[viewer as usize] {
            Viewer::Watching { front, session } => Some((*front, session.clone())),
            Viewer::AwaitingAnswer { front, ticket, .. } => {
                let ledger = &self.fronts[*front as usize].ledger;
                ledger.session_of_call(ClientId(u64::from(viewer)), Ticket(*ticket)).map(|id| (*front, id))
            }
            _ => None,
        }
    }

    fn front_moves(
        &self,
        front_id: u32,
        front: &Front,
        allowed: &dyn Fn(Fault) -> bool,
        moves: &mut Vec<Move>,
    ) {
        let dead = |server: ServerId| self.boxes[server.0 as usize].dead;
        for (conn, server) in &front.dials {
            let conn = conn.0;
            if dead(*server) {
                moves.push(Move::DialFails { front: front_id, conn, refused: true });
            } else {
                moves.push(Move::DialSucceeds { front: front_id, conn });
                if allowed(Fault::NoDial) {
                    moves.push(Move::DialFails { front: front_id, conn, refused: false });
                }
            }
        }
        let draws = if self.bounds.layer == Layer::Module { DRAW_SEEDS.len() } else { 1 };
        for (conn, (server, request, stage)) in &front.exchanges {
            let conn = conn.0;
            match stage {
                _ if dead(*server) => {
                    moves.push(Move::BreakConnection { front: front_id, conn, written: true })
                }
                ExchangeStage::Answered(outcome) => {
                    // Random draws only matter if the module has to place the session again.
                    let draws = if *outcome == RequestOutcome::Yes { 1 } else { draws };
                    moves.extend((0..draws).map(|draw| Move::DeliverAnswer { front: front_id, conn, draw }));
                    if allowed(Fault::LostAnswer) {
                        moves.push(Move::BreakConnection { front: front_id, conn, written: true });
                    }
                }
                ExchangeStage::Sent => {
                    let set_up = matches!(request, BoxRequest::SetUp { .. });
                    let draining = self.boxes[server.0 as usize].draining && set_up;
                    if !draining {
                        moves.push(Move::AnswerRequest {
                            front: front_id,
                            conn,
                            answer: RequestOutcome::Yes,
                        });
                    }
                    if draining || set_up && allowed(Fault::Full) {
                        moves.push(Move::AnswerRequest {
                            front: front_id,
                            conn,
                            answer: RequestOutcome::Full,
                        });
                    }
                    if allowed(Fault::Error) {
                        moves.push(Move::AnswerRequest {
                            front: front_id,
                            conn,
                            answer: RequestOutcome::Error,
                        });
                    }
                    if allowed(Fault::Unwritten) {
                        moves.push(Move::BreakConnection { front: front_id, conn, written: false });
                    }
                    if allowed(Fault::Stale) {
                        moves.push(Move::FindStaleConnection { front: front_id, conn });
                    }
                }
            }
        }
        for (server, (_, up)) in &front.streams {
            match up {
                false if dead(*server) => moves.push(Move::StreamDown { front: front_id, server: server.0 }),
                false => moves.push(Move::StreamUp { front: front_id, server: server.0 }),
                true if dead(*server) => moves.push(Move::StreamDown { front: front_id, server: server.0 }),
                true if allowed(Fault::Stream) && self.is_distinguishable(server.0) => {
                    moves.push(Move::StreamDown { front: front_id, server: server.0 });
                }
                true => {}
            }
        }
        if !front.pending_list_lines.is_empty() {
            moves.push(Move::ReceiveListLine { front: front_id });
        }
        if allowed(Fault::Front) {
            moves.push(Move::FrontDies { front: front_id });
        }
    }

    /// Returns whether time may pass: whether something other than an idle timer is waiting.
    fn time_may_pass(&self) -> bool {
        let in_flight = self.fronts.iter().any(|f| f.up && (!f.dials.is_empty() || !f.exchanges.is_empty()));
        let awaiting_answer =
            self.viewers.iter().any(|viewer| matches!(viewer, Viewer::AwaitingAnswer { .. }));
        let late = self.fault_count < self.bounds.max_faults && self.bounds.faults.contains(&Fault::Late);
        if in_flight {
            // Passing time while a message is in flight makes it late, which counts as a fault.
            return late;
        }
        awaiting_answer
            || self.fronts.iter().any(|f| f.up && f.ledger.session_counts().0 > f.ledger.session_counts().1)
    }

    /// Returns the next relevant deadline, us. Periodic wake-ups of the module, which are handled on the way, and expiry of
    /// idle entries are ignored.
    fn next_due(&self) -> Option<Micros> {
        let due = |front: &Front| {
            let mut entries = front.ledger.deadlines();
            entries
                .find(|(_, due)| {
                    !matches!(due, Deadline::Wake(0) | Deadline::MovedExpiry(_) | Deadline::IdleTimeout(_))
                })
                .map(|(time, _)| *time)
        };
        self.fronts.iter().filter(|front| front.up).filter_map(due).min()
    }

    fn wait_until(&mut self, until: Micros) {
        loop {
            let next_tick = |front: &Front| front.ledger.next_deadline().filter(|time| *time <= until);
            let next = self.fronts.iter().enumerate().filter(|(_, front)| front.up);
            let next =
                next.filter_map(|(front_id, front)| next_tick(front).map(|due| (due, front_id as u32))).min();
            let Some((due, front_id)) = next else { break };
            self.now = self.now.max(due);
            self.deliver(front_id, Input::Tick);
        }
        self.now = self.now.max(until);
    }

    /// Applies a move.
    pub fn apply(&mut self, next_move: &Move) {
        match next_move.clone() {
            Move::Open { viewer, front, draw } => self.open(viewer, front, draw),
            Move::GiveUp { viewer } => {
                self.fault_count += 1;
                if let Viewer::AwaitingAnswer { front, ticket, .. } = self.viewers[viewer as usize] {
                    self.tickets += 1;
                    let (client, own) = (ClientId(u64::from(viewer)), Ticket(self.tickets));
                    self.deliver(front, Input::Cancel(client, own, Ticket(ticket)));
                    self.on_gave_up(viewer);
                }
            }
            Move::Disconnect { viewer } => {
                self.fault_count += 1;
                let state = std::mem::replace(&mut self.viewers[viewer as usize], Viewer::Done);
                if let Viewer::AwaitingAnswer { front, .. } | Viewer::Watching { front, .. } = state {
                    self.deliver(front, Input::ClientClosed(ClientId(u64::from(viewer))));
                }
            }
            Move::Vanish { viewer } => {
                self.fault_count += 1;
                let state = std::mem::replace(&mut self.viewers[viewer as usize], Viewer::Done);
                if let Viewer::Watching { front, session } = &state {
                    let (front, session) = (*front, session.clone());
                    self.viewers[viewer as usize] = Viewer::Silent { front, session };
                }
                if let Viewer::AwaitingAnswer { front, .. } | Viewer::Watching { front, .. } = state {
                    self.deliver(front, Input::ClientLost(ClientId(u64::from(viewer))));
                }
            }
            Move::Return { viewer } => {
                if let Viewer::Silent { front, session } = self.viewers[viewer as usize].clone() {
                    self.tickets += 1;
                    let (client, ticket) = (ClientId(u64::from(viewer)), Ticket(self.tickets));
                    let id = self.open_request(viewer).viewer;
                    self.deliver(front, Input::Status(client, ticket, session, Some(id)));
                }
            }
            Move::Close { viewer } => {
                let state = std::mem::replace(&mut self.viewers[viewer as usize], Viewer::Done);
                if let Viewer::Watching { front, session } = state {
                    self.tickets += 1;
                    let (client, ticket) = (ClientId(u64::from(viewer)), Ticket(self.tickets));
                    self.deliver(front, Input::Close(client, ticket, session));
                }
            }
            Move::Decide { viewer, ask } => self.decide(viewer, ask),
            Move::DialSucceeds { front, conn } => {
                let front_state = &mut self.fronts[front as usize];
                if let Some(server) = front_state.dials.remove(&ConnId(conn)) {
                    front_state.connections.insert(ConnId(conn), server);
                    self.deliver(front, Input::Dialed(ConnId(conn), Ok(())));
                }
            }
            Move::DialFails { front, conn, refused } => {
                self.fault_count += u32::from(!refused);
                self.fronts[front as usize].dials.remove(&ConnId(conn));
                let error = if refused { DialError::Refused } else { DialError::TimedOut };
                self.deliver(front, Input::Dialed(ConnId(conn), Err(error)));
            }
            Move::AnswerRequest { front, conn, answer } => self.answer_request(front, ConnId(conn), answer),
            Move::DeliverAnswer { front, conn, draw } => self.arrive(front, ConnId(conn), draw),
            Move::BreakConnection { front, conn, written } => {
                self.break_connection(front, ConnId(conn), written)
            }
            Move::FindStaleConnection { front, conn } => {
                self.fault_count += 1;
                self.end_exchange(front, ConnId(conn), ExchangeEnd::Stale, false, 0);
            }
            Move::DeliverOrphan { index } => {
                let (front, server, session, attempt, rung) = self.orphaned_set_ups.remove(index);
                if self.begin_session(front, server, session.clone(), attempt, rung) {
                    // The answer cannot be written; the box reports the start on the event stream, if it is established.
                    let id = ServerId(server);
                    let held = self.held_session(session, attempt, rung);
                    let stream = self.fronts[front as usize].streams.get(&id).copied();
                    if let Some((number, true)) = stream.filter(|_| self.fronts[front as usize].up) {
                        self.deliver(front, Input::Stream(id, number, StreamEvent::Began(held)));
                    }
                }
            }
            Move::StreamUp { front, server } => self.stream_up(front, server),
            Move::StreamDown { front, server } => {
                let id = ServerId(server);
                let Some((number, up)) = self.fronts[front as usize].streams.get(&id).copied() else {
                    return;
                };
                let dead = self.boxes[server as usize].dead;
                self.fault_count += u32::from(!dead);
                // The stream attempt is over; the front starts another one.
                self.fronts[front as usize].streams.remove(&id);
                let notification = if up || !dead {
                    StreamEvent::Broken
                } else {
                    StreamEvent::NoConnection(DialError::Refused)
                };
                self.deliver(front, Input::Stream(id, number, notification));
            }
            Move::EndSession { server, session } => {
                self.fault_count += 1;
                let held = &mut self.boxes[server as usize].sessions;
                let Some(key) = held.keys().nth(session).cloned() else { return };
                let Some((front, _)) = held.remove(&key) else { return };
                let id = ServerId(server);
                let stream = self.fronts[front as usize].streams.get(&id).copied();
                if let Some((number, true)) = stream.filter(|_| self.fronts[front as usize].up) {
                    self.deliver(front, Input::Stream(id, number, StreamEvent::Ended(key.0, key.1)));
                }
            }
            Move::BoxDies { server } => {
                self.fault_count += 1;
                let box_state = &mut self.boxes[server as usize];
                (box_state.dead, box_state.started) = (true, None);
                box_state.sessions.clear();
                box_state.released_attempts.clear();
                box_state.recent_set_ups.clear();
                // Requests in flight to a dead box never arrive.
                self.orphaned_set_ups.retain(|orphan| orphan.1 != server);
            }
            Move::BoxStarts { server } => {
                let started = Some(self.now);
                let box_state = &mut self.boxes[server as usize];
                (box_state.dead, box_state.draining, box_state.started, box_state.list_state) =
                    (false, false, started, 0);
                for front in &mut self.fronts {
                    front.pending_list_lines.push_back((server, 0, started));
                }
            }
            Move::ChangeList { server, state } => {
                self.fault_count += 1;
                let box_state = &mut self.boxes[server as usize];
                (box_state.draining, box_state.list_state) = (true, state);
                for front in &mut self.fronts {
                    front.pending_list_lines.push_back((server, state, None));
                }
            }
            Move::ReceiveListLine { front } => {
                let Some((server, state, started)) =
                    self.fronts[front as usize].pending_list_lines.pop_front()
                else {
                    return;
                };
                if server == FULL_LIST_MARKER {
                    return self.receive_full_list(front);
                }
                let front_state = &mut self.fronts[front as usize];
                if state == 0 {
                    front_state.drain_known_since.remove(&server);
                } else {
                    front_state.drain_known_since.entry(server).or_insert(self.now);
                }
                let line = self.list_entry(server, state, started);
                self.deliver(front, Input::List(ListKind::Changes, vec![line]));
            }
            Move::FrontDies { front } => self.kill_front(front),
            Move::FrontRestarts { front } => self.restart_front(front),
            Move::Wait => {
                if self.fronts.iter().any(|f| f.up && (!f.dials.is_empty() || !f.exchanges.is_empty())) {
                    self.fault_count += 1;
                }
                if let Some(until) = self.next_due() {
                    self.wait_until(until);
                }
            }
        }
        self.drop_expired();
    }

    /// Delivers the complete current list; it already includes the changes queued before it.
    fn receive_full_list(&mut self, front: u32) {
        let now = self.now;
        let listed: Vec<u8> = self.boxes.iter().map(|box_state| box_state.list_state).collect();
        let drain_known_since = &mut self.fronts[front as usize].drain_known_since;
        for (server, state) in (0..).zip(listed) {
            if state == 0 {
                drain_known_since.remove(&server);
            } else {
                drain_known_since.entry(server).or_insert(now);
            }
        }
        let full_list = self.full_list();
        self.deliver(front, Input::List(ListKind::Complete, full_list));
    }

    /// Removes expired entries, so that they do not distinguish states.
    fn drop_expired(&mut self) {
        let now = self.now;
        for front in &mut self.fronts {
            front.open_times.retain(|time| time + RETRY_BUDGET.0 >= now);
            front.retry_times.retain(|time| time + RETRY_BUDGET.0 >= now);
        }
        for box_state in &mut self.boxes {
            box_state.recent_set_ups.retain(|time| time + OVERLOAD.1 > now);
            if box_state.started.is_some_and(|started| started + WARM_UP <= now) {
                box_state.started = None;
            }
        }
    }

    fn open(&mut self, viewer: u32, front: u32, draw: usize) {
        let state = &self.viewers[viewer as usize];
        let moved_from = match state {
            Viewer::Displaced { moved: Some((_, session)) } => Some(session.clone()),
            _ => None,
        };
        let returned = !matches!(state, Viewer::NotArrived);
        self.fault_count += u32::from(returned && moved_from.is_none());
        self.tickets += 1;
        let ticket = self.tickets;
        let open_request = OpenRequest { returned, moved_from, ..self.open_request(viewer) };
        let until = self.now + PATIENCE;
        self.viewers[viewer as usize] = Viewer::AwaitingAnswer { front, ticket, until };
        let now = self.now;
        self.fronts[front as usize].open_times.push(now);
        self.deliver_with_draw(
            front,
            Input::Open(ClientId(u64::from(viewer)), Ticket(ticket), open_request),
            draw,
        );
    }

    fn on_gave_up(&mut self, viewer: u32) {
        if let Viewer::AwaitingAnswer { .. } = self.viewers[viewer as usize] {
            let text = format!("viewer {viewer} gave up and is not answered");
            self.break_property(Property::OneAnswer, text);
        }
        if !matches!(self.viewers[viewer as usize], Viewer::Watching { .. }) {
            self.viewers[viewer as usize] = Viewer::Done;
        }
    }

    fn decide(&mut self, viewer: u32, ask: DeciderRequest) {
        let Some((front, id)) = self.session_of(viewer) else { return };
        let in_flight = self
            .attempts_by_session
            .get(&id)
            .is_some_and(|session_attempts| !session_attempts.in_flight.is_empty());
        let awaiting_answer = matches!(self.viewers[viewer as usize], Viewer::AwaitingAnswer { .. });
        let wrong = match ask {
            DeciderRequest::SetUp { .. } | DeciderRequest::Refuse | DeciderRequest::Fail => {
                !awaiting_answer || in_flight
            }
            DeciderRequest::Move => awaiting_answer,
            DeciderRequest::Rung { rung } => awaiting_answer || rung == 0,
        };
        self.wrong_requests += u32::from(wrong);
        self.fault_count += u32::from(ask == DeciderRequest::Move && !awaiting_answer);
        let actions = match ask {
            DeciderRequest::SetUp { server } => {
                vec![Action::SetRung(id.clone(), 1), Action::SetUp(id, ServerId(server), 300 * MS)]
            }
            DeciderRequest::Refuse => vec![Action::Refuse(id, 200 * MS)],
            DeciderRequest::Fail => vec![Action::Fail(id)],
            DeciderRequest::Move => vec![Action::Move(id)],
            DeciderRequest::Rung { rung } => vec![Action::SetRung(id, rung)],
        };
        if let TestDecider::Scripted(pending_actions) = self.fronts[front as usize].ledger.decider() {
            pending_actions.extend(actions);
        }
        // An event without effect, which makes the ledger call the decider.
        self.deliver(front, Input::List(ListKind::FetchFailed, Vec::new()));
    }

    fn answer_request(&mut self, front: u32, conn: ConnId, answer: RequestOutcome) {
        let Some((server, request, _)) = self.fronts[front as usize].exchanges.get(&conn).cloned() else {
            return;
        };
        let draining = self.boxes[server.0 as usize].draining;
        self.fault_count +=
            u32::from(answer == RequestOutcome::Error || answer == RequestOutcome::Full && !draining);
        let mut outcome = answer;
        match request {
            BoxRequest::SetUp { session, attempt, rung, .. } if answer == RequestOutcome::Yes => {
                if self.boxes[server.0 as usize].released_attempts.contains(&(session.clone(), attempt)) {
                    outcome = RequestOutcome::Full;
                } else {
                    self.begin_session(front, server.0, session, attempt, rung);
                }
            }
            BoxRequest::SetUp { .. } => {}
            BoxRequest::Release { session, attempt } if answer == RequestOutcome::Yes => {
                let box_state = &mut self.boxes[server.0 as usize];
                box_state.sessions.remove(&(session.clone(), attempt));
                box_state.released_attempts.insert((session, attempt));
            }
            BoxRequest::SetRung { session, attempt, rung, .. } if answer == RequestOutcome::Yes => {
                let paid = self.is_paid(&session);
                if paid && rung == 0 {
                    self.break_property(Property::Terms, format!("session {} is moved to rung 0", session.0));
                }
                if let Some(held) = self.boxes[server.0 as usize].sessions.get_mut(&(session, attempt)) {
                    held.1 = rung;
                }
            }
            BoxRequest::Release { .. }
            | BoxRequest::SetRung { .. }
            | BoxRequest::Claim { .. }
            | BoxRequest::Probe => {}
        }
        if let Some(exchange) = self.fronts[front as usize].exchanges.get_mut(&conn) {
            exchange.2 = ExchangeStage::Answered(outcome);
        }
    }

    /// Starts a session at a box if the box accepts it; returns whether it did.
    fn begin_session(
        &mut self,
        front: u32,
        server: u32,
        session: SessionId,
        attempt: u32,
        rung: usize,
    ) -> bool {
        let box_state = &mut self.boxes[server as usize];
        let key = (session, attempt);
        let allowed = !box_state.dead && !box_state.draining && !box_state.released_attempts.contains(&key);
        if allowed {
            box_state.sessions.insert(key, (front, rung));
        }
        allowed
    }

    /// Returns a viewer's first open request.
    fn open_request(&self, viewer: u32) -> OpenRequest {
        OpenRequest {
            viewer: ViewerId(u64::from(viewer)),
            tenant: None,
            title: TitleId(1),
            class: self.class_of(viewer),
            first_cell: 0,
            cell_count: self.bounds.boxes,
            top_rung: 2,
            patience: PATIENCE,
            length_hint: None,
            returned: false,
            moved_from: None,
        }
    }

    /// Returns a session as reported by its box.
    fn held_session(&self, session: SessionId, attempt: u32, rung: usize) -> HeldSession {
        let viewer =
            self.attempts_by_session.get(&session).map_or(0, |session_attempts| session_attempts.viewer);
        let open_request = self.open_request(viewer);
        HeldSession { session, attempt, rung, open_request: Some(open_request) }
    }

    fn arrive(&mut self, front: u32, conn: ConnId, draw: usize) {
        let Some((_, _, stage)) = self.fronts[front as usize].exchanges.get(&conn).cloned() else {
            return;
        };
        let ExchangeStage::Answered(outcome) = stage else { return };
        let answer = match outcome {
            RequestOutcome::Yes => BoxAnswer::Done,
            RequestOutcome::Full => BoxAnswer::Full,
            RequestOutcome::Error => BoxAnswer::Error,
        };
        let end = ExchangeEnd::Answered { answer, report: Vec::new(), keep_alive: true };
        self.end_exchange(front, conn, end, outcome != RequestOutcome::Full, draw);
    }

    fn break_connection(&mut self, front: u32, conn: ConnId, written: bool) {
        let Some((server, request, stage)) = self.fronts[front as usize].exchanges.get(&conn).cloned() else {
            return;
        };
        self.fault_count += u32::from(!self.boxes[server.0 as usize].dead);
        if let (BoxRequest::SetUp { session, attempt, rung, .. }, ExchangeStage::Sent, true) =
            (request, stage, written)
        {
            // A completely written request may still be processed.
            if !self.boxes[server.0 as usize].dead {
                self.orphaned_set_ups.push((front, server.0, session, attempt, rung));
            }
        }
        let end = if written { ExchangeEnd::Broken } else { ExchangeEnd::Unwritten };
        self.end_exchange(front, conn, end, written, 0);
    }

    /// Ends an exchange at the front; `ran` states whether a set-up may have run.
    fn end_exchange(&mut self, front: u32, conn: ConnId, end: ExchangeEnd, ran: bool, draw: usize) {
        let front_state = &mut self.fronts[front as usize];
        let Some((_, request, _)) = front_state.exchanges.remove(&conn) else { return };
        if let BoxRequest::SetUp { session, .. } = request {
            let session_attempts = self.attempts_by_session.entry(session).or_default();
            session_attempts.in_flight.remove(&(front, conn));
            session_attempts.may_have_run |= ran;
        }
        self.deliver_with_draw(front, Input::Exchanged(conn, end), draw);
    }

    fn stream_up(&mut self, front: u32, server: u32) {
        let id = ServerId(server);
        let Some((number, _)) = self.fronts[front as usize].streams.get(&id).copied() else { return };
        self.fronts[front as usize].streams.insert(id, (number, true));
        let held = self.boxes[server as usize].sessions.iter().filter(|(_, (owner, _))| *owner == front);
        let held =
            held.map(|((session, attempt), (_, rung))| self.held_session(session.clone(), *attempt, *rung));
        let notification = StreamEvent::Up(held.collect());
        self.deliver(front, Input::Stream(id, number, notification));
    }

    fn kill_front(&mut self, front_id: u32) {
        self.fault_count += 1;
        let front = &mut self.fronts[front_id as usize];
        front.up = false;
        let conns: Vec<ConnId> = front.exchanges.keys().copied().collect();
        for conn in conns {
            self.on_connection_closed(front_id, conn);
        }
        for viewer in &mut self.viewers {
            // Pending requests stay unanswered; viewers that watched may return.
            if let Viewer::AwaitingAnswer { front, .. } | Viewer::Watching { front, .. } = viewer {
                if *front == front_id {
                    *viewer = Viewer::Displaced { moved: None };
                }
            }
        }
    }

    fn restart_front(&mut self, front_id: u32) {
        let old = &self.fronts[front_id as usize];
        let boot = old.ledger.boot() + 1;
        // The list as this front knew it; pending list lines are still delivered.
        let drain_known_since = old.drain_known_since.clone();
        let pending = old.pending_list_lines.clone();
        let lines: Vec<ListEntry> = (0..self.bounds.boxes)
            .filter(|id| !drain_known_since.contains_key(id))
            .map(|id| self.list_entry(id, 0, None))
            .collect();
        let mut front = self.new_front(front_id, boot);
        front.pending_list_lines = pending;
        // After the restart, the front follows the list again and receives it completely.
        front.pending_list_lines.push_back((FULL_LIST_MARKER, 0, None));
        self.fronts[front_id as usize] = front;
        self.deliver(front_id, Input::List(ListKind::Cached, lines));
    }

    // ---- Quiet ----

    /// Checks quiescence from this state: without further faults, messages in flight arrive, watching viewers close, and
    /// time passes. Every open request must then be answered and everything released.
    ///
    /// # Errors
    /// A description of the violation.
    pub fn check_quiescence(&self) -> Result<(), String> {
        let mut world = self.clone();
        let bounds = Bounds { max_faults: 0, max_wrong_requests: 0, ..(*world.bounds).clone() };
        world.bounds = Arc::new(bounds);
        for _ in 0..400 {
            if let Some((property, text)) = &world.broken {
                return Err(format!("before quiescence: {}: {text}", property.description()));
            }
            let is_fault_free = |next_move: &Move| match next_move {
                Move::Open { .. } | Move::Decide { .. } | Move::Wait => false,
                Move::AnswerRequest { answer, .. } => {
                    *answer == RequestOutcome::Yes || world.boxes.iter().any(|box_state| box_state.draining)
                }
                _ => true,
            };
            if let Some(next_move) = world.moves().into_iter().find(is_fault_free) {
                world.apply(&next_move);
                continue;
            }
            let unanswered =
                world.viewers.iter().any(|viewer| matches!(viewer, Viewer::AwaitingAnswer { .. }));
            let left = |front: &Front| {
                let busy = front.ledger.connections();
                front.up
                    && (front.ledger.session_counts().0 > 0
                        || front.ledger.pending_releases() > 0
                        || busy[0] + busy[1] + busy[3] > 0)
            };
            if !unanswered && !world.fronts.iter().any(left) {
                break;
            }
            let Some(until) = world.next_due() else { break };
            world.wait_until(until);
        }
        for (number, viewer) in world.viewers.iter().enumerate() {
            if let Viewer::AwaitingAnswer { .. } = viewer {
                return Err(format!("viewer {number} is never answered"));
            }
        }
        for (front_id, front) in world.fronts.iter().enumerate() {
            let [dialing, busy, _, waiting] = front.ledger.connections();
            let left =
                (front.ledger.session_counts(), front.ledger.pending_releases(), dialing + busy + waiting);
            if front.up && left != ((0, 0), 0, 0) {
                return Err(format!("front {front_id} retains sessions, releases and connections {left:?}"));
            }
        }
        // A box must not keep a session for a running front without a viewer. Excluded are boxes removed from the list,
        // which end by themselves and are unknown to a restarted front.
        for (server, box_state) in
            world.boxes.iter().enumerate().filter(|(_, box_state)| box_state.list_state < 2)
        {
            if let Some(((session, _), (front, _))) = box_state.sessions.first_key_value() {
                if world.fronts[*front as usize].up {
                    return Err(format!("session {} plays at box {server} without a viewer", session.0));
                }
            }
        }
        Ok(())
    }
}
