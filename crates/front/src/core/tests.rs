//! Tests of the core in virtual time: boxes and clients take every possible action in random order, once with
//! a decider that requests random actions, once with the [`Controller`].

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use super::*;
use crate::settings::tests::settings;

mod agreed_rules;
mod limits;
mod takeover;

const CLIP: usize = 0;
const PAID: usize = 1;
const MS: Micros = 1_000;

fn address(id: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9000 + id as u16))
}

fn listed(id: u32, state: ServerState, started: Option<Micros>) -> ListEntry {
    let server = ServerId(id);
    ListEntry {
        entry: ServerEntry { server, cell: id, state, units: 1.0, started, ..Default::default() },
        address: address(id),
    }
}

fn open_request(viewer: u64, class: usize) -> OpenRequest {
    OpenRequest {
        viewer: ViewerId(viewer),
        tenant: None,
        title: TitleId(1),
        class,
        first_cell: 0,
        cell_count: 4,
        top_rung: 2,
        patience: 1_000 * MS,
        length_hint: None,
        returned: false,
        moved_from: None,
    }
}

/// A decider that requests random actions, from a seed.
struct RandomDecider {
    rng: Pcg32,
    known: Vec<SessionId>,
}

impl Decider for RandomDecider {
    fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        if let Event::Request(request) = event {
            self.known.push(request.session.clone());
        }
        for _ in 0..self.rng.next_u32() % 4 {
            let Some(last) = self.known.len().checked_sub(1) else { return };
            // Mostly recent sessions, sometimes ones that are long over or never existed.
            let at = last.saturating_sub((self.rng.next_u32() % 6) as usize);
            let id = match self.rng.next_u32() % 50 {
                0 => SessionId("f0-00000009-0000000001".into()),
                _ => self.known[at].clone(),
            };
            let draw = self.rng.next_u32();
            out.push(match draw % 16 {
                0..=7 => Action::SetUp(id, ServerId(draw / 16 % 6), u64::from(draw / 96 % 500) * MS),
                8 | 9 => Action::SetRung(id, (draw / 16 % 5) as usize),
                10 => Action::Move(id),
                11 => Action::Refuse(id, 1_000 * MS),
                12 => Action::Fail(id),
                13 => Action::Probe(ServerId(draw / 16 % 6)),
                14 => Action::WakeAt(u64::from(draw / 16 % 3), now + u64::from(draw / 48 % 300) * MS),
                _ => Action::FollowList,
            });
        }
    }
}

/// What crossed the sockets for one session.
#[derive(Default)]
struct SessionTrace {
    answers: usize,
    in_progress: BTreeSet<ConnId>,
    /// An attempt ended without proof that it was not executed.
    may_have_run: bool,
    class: usize,
}

/// Boxes, clients and the clock around a ledger, and checks of everything that crosses between them.
struct World<D> {
    ledger: Ledger<D>,
    rng: Pcg32,
    now: Micros,
    dials: Vec<ConnId>,
    exchanges: BTreeMap<ConnId, BoxRequest>,
    streams: BTreeMap<ServerId, u64>,
    /// Open requests by client and ticket, with their answers.
    opens: BTreeMap<(ClientId, Ticket), Option<Answer>>,
    departed: BTreeSet<ClientId>,
    playing: BTreeMap<SessionId, (ClientId, ServerId, u32)>,
    /// Sessions that the boxes hold, with their rungs.
    held: BTreeMap<(ServerId, SessionId, u32), usize>,
    traces: BTreeMap<SessionId, SessionTrace>,
    last_number: u64,
    finished: bool,
}

impl<D: Decider> World<D> {
    fn new(decider: D, seed: u64) -> World<D> {
        let settings = settings();
        let ledger = Ledger::new(decider, settings.decision, settings.limits, "f0", 1);
        let mut world = World {
            ledger,
            rng: Pcg32::seed_from_u64(seed),
            now: 1_000_000_000,
            dials: Vec::new(),
            exchanges: BTreeMap::new(),
            streams: BTreeMap::new(),
            opens: BTreeMap::new(),
            departed: BTreeSet::new(),
            playing: BTreeMap::new(),
            held: BTreeMap::new(),
            traces: BTreeMap::new(),
            last_number: 0,
            finished: false,
        };
        world.handle_input(Input::List(ListKind::Cached, Vec::new()));
        let entries = (0..4).map(|id| listed(id, ServerState::Ready, None)).collect();
        world.handle_input(Input::List(ListKind::Complete, entries));
        world
    }

    fn random_below(&mut self, bound: usize) -> usize {
        self.rng.next_u32() as usize % bound.max(1)
    }

    fn handle_input(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.ledger.handle(self.now, input, &mut out);
        for output in &out {
            self.execute_output(output);
        }
        out
    }

    /// Executes an output as the sockets would, and checks it.
    fn execute_output(&mut self, output: &Output) {
        match output {
            Output::Answer(client, ticket, answer) => {
                let slot = self.opens.get_mut(&(*client, *ticket)).expect("an answer to an existing call");
                assert!(slot.is_none(), "a second answer: {answer:?} after {slot:?}");
                *slot = Some(answer.clone());
                let (Answer::Plays { session, .. }
                | Answer::Refused(session, _)
                | Answer::Failed(session, _)) = answer;
                let trace = self.traces.entry(session.clone()).or_default();
                trace.answers += 1;
                if matches!(answer, Answer::Refused(..)) {
                    let may_run = trace.may_have_run || !trace.in_progress.is_empty();
                    assert!(
                        trace.class != PAID || !may_run,
                        "a paid session was refused although a set-up may have been executed"
                    );
                }
                if let Answer::Plays { session, server, .. } = answer {
                    self.playing.insert(session.clone(), (*client, *server, 0));
                }
            }
            Output::Dial(conn, ..) => self.dials.push(*conn),
            Output::Exchange(conn, request) => {
                if let BoxRequest::SetUp { session, open_request, rung, .. } = request {
                    let trace = self.traces.entry(session.clone()).or_default();
                    trace.class = open_request.class;
                    assert!(trace.in_progress.is_empty(), "two concurrent attempts for {session:?}");
                    assert!(
                        trace.class != PAID || !trace.may_have_run,
                        "a paid set-up was repeated although one may have been executed"
                    );
                    assert!(trace.class != PAID || *rung >= 1, "rung below the floor");
                    trace.in_progress.insert(*conn);
                }
                assert!(
                    self.exchanges.insert(*conn, request.clone()).is_none(),
                    "two requests on one connection"
                );
            }
            Output::CloseConn(conn) => {
                self.dials.retain(|dial| dial != conn);
                if let Some(BoxRequest::SetUp { session, .. }) = self.exchanges.remove(conn) {
                    let trace = self.traces.entry(session).or_default();
                    // Cancelled by the front: the request may have been executed.
                    trace.may_have_run |= trace.in_progress.remove(conn);
                }
            }
            Output::OpenStream(server, number, _) => {
                self.streams.insert(*server, *number);
            }
            Output::CloseStream(server, number) => {
                if self.streams.get(server) == Some(number) {
                    self.streams.remove(server);
                }
            }
            Output::Notify(_, Notification::Move(session) | Notification::Ended(session, _)) => {
                self.playing.remove(session);
            }
            Output::Finished => self.finished = true,
            Output::Reply(..) | Output::Notify(..) | Output::FollowList | Output::Log(..) => {}
            Output::StoreRecord(..)
            | Output::DeleteRecord(_)
            | Output::IncarnationChanged(_)
            | Output::OrphanFound(_) => {}
        }
    }

    fn open(&mut self, client: ClientId, class: usize) {
        self.last_number += 1;
        let ticket = Ticket(self.last_number);
        self.opens.insert((client, ticket), None);
        let viewer = self.last_number;
        self.handle_input(Input::Open(client, ticket, open_request(viewer, class)));
    }

    /// Takes one random action.
    fn random_step(&mut self) {
        match self.random_below(14) {
            0 | 1 => {
                let client = ClientId(self.random_below(3) as u64 + 1);
                if !self.departed.contains(&client) {
                    let class = self.random_below(2);
                    self.open(client, class);
                }
            }
            2 => {
                let open: Vec<_> =
                    self.opens.iter().filter(|(_, answer)| answer.is_none()).map(|(call, _)| *call).collect();
                if let Some((client, ticket)) = open.get(self.random_below(open.len())).copied() {
                    self.last_number += 1;
                    self.handle_input(Input::Cancel(client, Ticket(self.last_number), ticket));
                }
            }
            3 => {
                let all: Vec<_> =
                    self.playing.iter().map(|(id, (client, ..))| (id.clone(), *client)).collect();
                if let Some((session, client)) = all.get(self.random_below(all.len())).cloned() {
                    self.last_number += 1;
                    self.playing.remove(&session);
                    self.handle_input(Input::Close(client, Ticket(self.last_number), session));
                }
            }
            4 if self.random_below(12) == 0 => {
                let client = ClientId(self.random_below(3) as u64 + 1);
                self.departed.insert(client);
                self.playing.retain(|_, (of, ..)| *of != client);
                let lost = self.random_below(2) == 0;
                self.handle_input(if lost { Input::ClientLost(client) } else { Input::ClientClosed(client) });
            }
            5 => {
                let id = self.random_below(4) as u32;
                let started = (self.random_below(3) == 0).then_some(self.now);
                let state =
                    [ServerState::Ready, ServerState::Draining, ServerState::Removed][self.random_below(3)];
                let kind = [ListKind::Changes, ListKind::Changes, ListKind::Complete, ListKind::FetchFailed]
                    [self.random_below(4)];
                let lines = match kind {
                    ListKind::FetchFailed => Vec::new(),
                    _ => vec![listed(id, state, started)],
                };
                self.handle_input(Input::List(kind, lines));
            }
            6 => self.random_stream_event(),
            7 => {
                self.now += self.random_below(120) as u64 * MS;
                self.handle_input(Input::Tick);
            }
            _ => self.end_random_exchange(),
        }
    }

    fn random_stream_event(&mut self) {
        let all: Vec<_> = self.streams.iter().map(|(server, number)| (*server, *number)).collect();
        let Some((server, number)) = all.get(self.random_below(all.len())).copied() else { return };
        let held = self.held.iter().filter(|((at, ..), _)| *at == server);
        let held: Vec<HeldSession> = held
            .map(|((_, session, attempt), rung)| HeldSession {
                session: session.clone(),
                attempt: *attempt,
                rung: *rung,
                open_request: Some(open_request(1, CLIP)),
            })
            .collect();
        let event = match self.random_below(9) {
            8 => StreamEvent::CutOff("greedy".into()),
            0 => StreamEvent::NoConnection(DialError::Refused),
            1 => StreamEvent::NoConnection(DialError::TimedOut),
            2 => StreamEvent::Broken,
            3 => match held.first() {
                Some(held) => StreamEvent::Ended(held.session.clone(), held.attempt),
                None => StreamEvent::Heartbeat,
            },
            4 => match held.first() {
                Some(held) => StreamEvent::Note(held.session.clone(), Note::Link(0.5)),
                None => StreamEvent::Heartbeat,
            },
            _ => StreamEvent::Up(held),
        };
        if let StreamEvent::Ended(session, attempt) = &event {
            self.held.remove(&(server, session.clone(), *attempt));
        }
        self.handle_input(Input::Stream(server, number, event));
    }

    /// Ends a dial or an exchange with a random result.
    fn end_random_exchange(&mut self) {
        if !self.dials.is_empty() && self.random_below(2) == 0 {
            let at = self.random_below(self.dials.len());
            let conn = self.dials.remove(at);
            let result = [Ok(()), Ok(()), Ok(()), Err(DialError::Refused), Err(DialError::TimedOut)]
                [self.random_below(5)];
            self.handle_input(Input::Dialed(conn, result));
            return;
        }
        let all: Vec<ConnId> = self.exchanges.keys().copied().collect();
        let Some(conn) = all.get(self.random_below(all.len())).copied() else { return };
        let draw = self.random_below(12);
        self.end_exchange(conn, draw);
    }

    fn end_exchange(&mut self, conn: ConnId, draw: usize) {
        let Some(request) = self.exchanges.remove(&conn) else { return };
        let answered = |answer| ExchangeEnd::Answered {
            answer,
            report: vec![3.0, 0.4],
            keep_alive: draw.is_multiple_of(2),
        };
        let end = match draw {
            0 => ExchangeEnd::Stale,
            1 => ExchangeEnd::Unwritten,
            2 => ExchangeEnd::Broken,
            3 => ExchangeEnd::Malformed("no HTTP".into()),
            4 => answered(BoxAnswer::Full),
            5 => answered(BoxAnswer::Error),
            6 => answered(BoxAnswer::Unknown),
            _ => answered(BoxAnswer::Done),
        };
        match &request {
            BoxRequest::SetUp { session, attempt, rung, .. } => {
                let trace = self.traces.entry(session.clone()).or_default();
                trace.in_progress.remove(&conn);
                trace.may_have_run |= !matches!(draw, 0 | 1 | 4);
                // A session that begins plays at its box, whatever happens to the response.
                if matches!(draw, 2 | 3) || draw >= 7 {
                    for server in 0..4 {
                        if draw >= 7 && self.playing.get(session).is_none_or(|(_, at, _)| at.0 == server) {
                            self.held.insert((ServerId(server), session.clone(), *attempt), *rung);
                            break;
                        }
                    }
                }
            }
            BoxRequest::Release { session, attempt } => {
                if draw >= 7 {
                    self.held.retain(|(_, of, number), _| of != session || number != attempt);
                }
            }
            BoxRequest::SetRung { .. } | BoxRequest::Claim { .. } | BoxRequest::Probe => {}
        }
        self.handle_input(Input::Exchanged(conn, end));
    }

    /// Ends the random actions: everything in progress succeeds, and time passes.
    fn run_until_idle(&mut self) {
        for _ in 0..400 {
            for conn in std::mem::take(&mut self.dials) {
                self.handle_input(Input::Dialed(conn, Ok(())));
            }
            let all: Vec<ConnId> = self.exchanges.keys().copied().collect();
            for conn in all {
                self.end_exchange(conn, 8);
            }
            self.now += 50 * MS;
            self.handle_input(Input::Tick);
        }
    }

    /// Checks the end: every call was answered once, except those of departed clients, and nothing is left
    /// over.
    fn check_end(&mut self) {
        self.run_until_idle();
        for ((client, ticket), answer) in &self.opens {
            assert!(
                answer.is_some() || self.departed.contains(client),
                "{client:?} {ticket:?} was never answered"
            );
        }
        self.handle_input(Input::ShutDown);
        self.run_until_idle();
        assert!(
            self.finished,
            "the shutdown does not finish: {:?} {:?}",
            self.ledger.session_counts(),
            self.ledger.connections()
        );
        assert_eq!(self.ledger.session_counts(), (0, 0));
        assert_eq!(self.ledger.connections(), [0; 4]);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn any_decider_gets_one_answer_per_call_and_one_attempt_at_a_time(seed: u64) {
        let decider = RandomDecider { rng: Pcg32::seed_from_u64(seed ^ 1), known: Vec::new() };
        let mut world = World::new(decider, seed);
        for _ in 0..400 {
            world.random_step();
        }
        world.check_end();
    }

    #[test]
    fn decision_module_never_requests_a_blocked_action(seed: u64) {
        let controller = Controller::new(settings().decision, seed);
        let mut world = World::new(controller, seed);
        for _ in 0..400 {
            world.random_step();
        }
        world.check_end();
        let counts = world.ledger.counts();
        prop_assert_eq!(counts.stopped(), 0, "{:?}", counts);
        prop_assert_eq!(counts.overdue, 0);
    }
}

/// A decider that returns the actions that a test queues, and records the events it receives.
#[derive(Default)]
struct ScriptedDecider {
    actions: std::rc::Rc<std::cell::RefCell<Vec<Action>>>,
    events: std::rc::Rc<std::cell::RefCell<Vec<Event>>>,
}

impl Decider for ScriptedDecider {
    fn handle(&mut self, _: Micros, event: &Event, out: &mut Vec<Action>) {
        self.events.borrow_mut().push(event.clone());
        out.append(&mut self.actions.borrow_mut());
    }
}

/// A world whose decider the test controls.
struct TestBench {
    world: World<ScriptedDecider>,
    actions: std::rc::Rc<std::cell::RefCell<Vec<Action>>>,
    events: std::rc::Rc<std::cell::RefCell<Vec<Event>>>,
}

const VIEWER: ClientId = ClientId(1);

impl TestBench {
    fn new() -> TestBench {
        let decider = ScriptedDecider::default();
        let (actions, events) = (decider.actions.clone(), decider.events.clone());
        TestBench { world: World::new(decider, 1), actions, events }
    }

    fn id(&self) -> SessionId {
        SessionId(format!("f0-00000001-{:010}", self.world.opens.len()).into())
    }

    /// Opens a session that is set up at box 0 at once. Returns the connection that carries the set-up, after
    /// a successful dial.
    fn set_up(&mut self, class: usize) -> (SessionId, ConnId) {
        let id = SessionId(format!("f0-00000001-{:010}", self.world.opens.len() + 1).into());
        *self.actions.borrow_mut() =
            vec![Action::SetRung(id.clone(), 1), Action::SetUp(id.clone(), ServerId(0), 300 * MS)];
        self.world.open(VIEWER, class);
        for conn in std::mem::take(&mut self.world.dials) {
            self.world.handle_input(Input::Dialed(conn, Ok(())));
        }
        let conn = self
            .world
            .exchanges
            .iter()
            .find(|(_, r)| matches!(r, BoxRequest::SetUp { session, .. } if *session == id));
        (id, *conn.expect("the set-up is in progress").0)
    }

    fn play(&mut self) -> (SessionId, ConnId) {
        let (id, conn) = self.set_up(CLIP);
        self.world.end_exchange(conn, 8);
        (id, conn)
    }

    fn outcomes(&self) -> Vec<Outcome> {
        let ended = |event: &Event| match event {
            Event::Ended { outcome, .. } => Some(*outcome),
            _ => None,
        };
        self.events.borrow().iter().filter_map(ended).collect()
    }

    fn answers(&self) -> Vec<Answer> {
        self.world.opens.values().flatten().cloned().collect()
    }
}

#[test]
fn session_started_after_cancellation_is_released() {
    let mut bench = TestBench::new();
    let (id, conn) = bench.set_up(CLIP);
    let (call, _) = bench.world.opens.first_key_value().map(|(call, a)| (*call, a.clone())).unwrap();
    bench.world.handle_input(Input::Cancel(call.0, Ticket(99), call.1));
    assert_eq!(bench.answers(), [Answer::Failed(id.clone(), FailReason::Cancelled)]);
    let ended = ExchangeEnd::Answered { answer: BoxAnswer::Done, report: vec![], keep_alive: true };
    bench.world.exchanges.remove(&conn);
    let out = bench.world.handle_input(Input::Exchanged(conn, ended));
    let release = BoxRequest::Release { session: id, attempt: 0 };
    assert!(out.contains(&Output::Exchange(conn, release)), "{out:?}");
    assert_eq!(bench.outcomes(), [Outcome::Withdrawn]);
    assert_eq!(bench.world.ledger.session_counts(), (0, 0));
}

#[test]
fn cancellation_after_the_answer_has_no_effect() {
    let mut bench = TestBench::new();
    bench.play();
    let call = *bench.world.opens.first_key_value().unwrap().0;
    let out = bench.world.handle_input(Input::Cancel(call.0, Ticket(99), call.1));
    assert_eq!(out, [Output::Reply(VIEWER, Ticket(99), Reply::Unknown)]);
    assert_eq!(bench.world.ledger.session_counts(), (1, 1));
}

#[test]
fn timed_out_set_up_is_released_before_the_next_attempt() {
    let mut bench = TestBench::new();
    let (id, conn) = bench.set_up(CLIP);
    *bench.actions.borrow_mut() = vec![];
    bench.world.now += 300 * MS;
    let events = bench.events.clone();
    events.borrow_mut().clear();
    let out = bench.world.handle_input(Input::Tick);
    assert_eq!(out[0], Output::CloseConn(conn), "its connection is closed first: {out:?}");
    assert!(matches!(out[1], Output::Dial(..)), "the release goes on a new one: {out:?}");
    assert_eq!(bench.outcomes(), [Outcome::TimedOut]);
    assert!(
        bench.world.ledger.session_counts().0 == 1,
        "{id:?} is still in the ledger: its answer is pending"
    );
}

#[test]
fn attempt_without_connection_was_never_executed() {
    let mut bench = TestBench::new();
    let id = SessionId("f0-00000001-0000000001".into());
    *bench.actions.borrow_mut() =
        vec![Action::SetRung(id.clone(), 1), Action::SetUp(id, ServerId(0), 300 * MS)];
    bench.world.open(VIEWER, PAID);
    bench.world.now += 300 * MS;
    bench.world.handle_input(Input::Tick);
    assert_eq!(bench.outcomes(), [Outcome::NoConnection], "no byte was written");
}

#[test]
fn attempt_continues_after_a_stale_connection() {
    let mut bench = TestBench::new();
    let (first, conn) = bench.play();
    let (second, reused_conn) = bench.set_up(PAID);
    assert_eq!(conn, reused_conn, "the idle connection is used again");
    bench.world.exchanges.remove(&conn);
    bench.world.traces.get_mut(&second).unwrap().in_progress.clear();
    let out = bench.world.handle_input(Input::Exchanged(conn, ExchangeEnd::Stale));
    assert!(matches!(out[..], [Output::CloseConn(_), Output::Dial(..)]), "{out:?}");
    assert!(bench.outcomes().is_empty(), "no attempt has ended: {first:?} plays, {second:?} is in progress");
}

#[test]
fn reset_after_a_written_request_does_not_prove_that_it_was_not_executed() {
    for (end, outcome) in [
        (ExchangeEnd::Unwritten, Outcome::NoConnection),
        (ExchangeEnd::Broken, Outcome::Broken),
        (ExchangeEnd::Malformed("half a response".into()), Outcome::Broken),
    ] {
        let mut bench = TestBench::new();
        let (_, conn) = bench.set_up(PAID);
        bench.world.exchanges.remove(&conn);
        bench.world.handle_input(Input::Exchanged(conn, end));
        assert_eq!(bench.outcomes(), [outcome]);
    }
}

#[test]
fn set_up_with_lost_response_is_released() {
    let mut bench = TestBench::new();
    let (id, conn) = bench.set_up(CLIP);
    bench.world.exchanges.remove(&conn);
    bench.world.traces.get_mut(&id).unwrap().in_progress.clear();
    *bench.actions.borrow_mut() = vec![Action::Fail(id.clone())];
    bench.world.handle_input(Input::Exchanged(conn, ExchangeEnd::Broken));
    for conn in std::mem::take(&mut bench.world.dials) {
        bench.world.handle_input(Input::Dialed(conn, Ok(())));
    }
    let released = BoxRequest::Release { session: id, attempt: 0 };
    assert!(bench.world.exchanges.values().any(|request| *request == released));
}

#[test]
fn paid_set_up_that_may_have_been_executed_is_neither_repeated_nor_refused() {
    let mut bench = TestBench::new();
    let (id, conn) = bench.set_up(PAID);
    bench.world.exchanges.remove(&conn);
    bench.world.traces.get_mut(&id).unwrap().in_progress.clear();
    *bench.actions.borrow_mut() =
        vec![Action::SetUp(id.clone(), ServerId(1), 0), Action::Refuse(id.clone(), 1)];
    bench.world.handle_input(Input::Exchanged(conn, ExchangeEnd::Broken));
    assert_eq!(bench.answers(), [Answer::Failed(id, FailReason::GivenUp)]);
    assert_eq!(bench.world.ledger.counts().stopped_effects, 2);
}

#[test]
fn sessions_end_when_the_box_process_died_but_not_when_its_stream_broke() {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    let server = ServerId(0);
    let number = bench.world.streams[&server];
    bench.world.now += MS;
    bench.world.handle_input(Input::Stream(server, number, StreamEvent::Up(vec![])));
    assert_eq!(
        bench.world.ledger.session_counts().1,
        1,
        "set up after the stream was requested: its list may be older"
    );
    let out = bench.world.handle_input(Input::Stream(server, number, StreamEvent::Broken));
    assert!(
        matches!(out[..], [Output::OpenStream(..)]),
        "one immediate reconnect tells which it is: {out:?}"
    );
    let number = bench.world.streams[&server];
    let out = bench.world.handle_input(Input::Stream(
        server,
        number,
        StreamEvent::NoConnection(DialError::Refused),
    ));
    assert!(out.contains(&Output::Notify(VIEWER, Notification::Ended(id, EndReason::Lost))), "{out:?}");
    assert_eq!(bench.outcomes(), [Outcome::Broken]);
}

#[test]
fn restarted_box_with_the_same_id_has_lost_its_sessions() {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    let server = ServerId(0);
    bench.world.now += MS;
    let number = bench.world.streams[&server];
    bench.world.handle_input(Input::Stream(server, number, StreamEvent::Up(vec![])));
    bench.world.handle_input(Input::Stream(server, number, StreamEvent::Broken));
    let number = bench.world.streams[&server];
    let out = bench.world.handle_input(Input::Stream(server, number, StreamEvent::Up(vec![])));
    assert!(out.contains(&Output::Notify(VIEWER, Notification::Ended(id, EndReason::Lost))), "{out:?}");
}

#[test]
fn silent_box_is_lost() {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    let number = bench.world.streams[&ServerId(0)];
    bench.world.handle_input(Input::Stream(ServerId(0), number, StreamEvent::Up(vec![])));
    let limits = settings().limits;
    let mut notifications = Vec::new();
    let until = bench.world.now + limits.silence_timeout + limits.lost_timeout + 3_000 * MS;
    while bench.world.now < until && notifications.is_empty() {
        bench.world.now += 20 * MS;
        for output in bench.world.handle_input(Input::Tick) {
            if let Output::OpenStream(server, number, _) = output {
                // Nobody answers: the connection is neither refused nor established.
                let event = StreamEvent::NoConnection(DialError::TimedOut);
                let out = bench.world.handle_input(Input::Stream(server, number, event));
                notifications.extend(
                    out.into_iter().filter(|o| matches!(o, Output::Notify(_, Notification::Ended(..)))),
                );
            } else if matches!(output, Output::Notify(_, Notification::Ended(..))) {
                notifications.push(output);
            }
        }
    }
    assert_eq!(notifications, [Output::Notify(VIEWER, Notification::Ended(id, EndReason::Lost))]);
}

#[test]
fn restarted_front_resumes_its_sessions_only_for_their_viewers() {
    let mut bench = TestBench::new();
    let old_id = |n: u32| SessionId(format!("f0-00000000-{n:010}").into());
    let held = |session: SessionId| HeldSession {
        session,
        attempt: 2,
        rung: 1,
        open_request: Some(open_request(7, CLIP)),
    };
    let foreign = HeldSession { session: SessionId("f9-00000000-0000000001".into()), ..held(old_id(1)) };
    let number = bench.world.streams[&ServerId(0)];
    bench.events.borrow_mut().clear();
    bench.world.handle_input(Input::Stream(
        ServerId(0),
        number,
        StreamEvent::Up(vec![held(old_id(1)), held(old_id(2)), foreign]),
    ));
    assert_eq!(bench.world.ledger.session_counts(), (2, 2), "another front's session is left alone");
    let resumed = bench.events.borrow().iter().filter(|e| matches!(e, Event::Resumed(..))).count();
    assert_eq!(resumed, 2);
    let other_viewer =
        bench.world.handle_input(Input::Status(ClientId(5), Ticket(1), old_id(1), Some(ViewerId(8))));
    assert_eq!(other_viewer, [Output::Reply(ClientId(5), Ticket(1), Reply::Unknown)]);
    let owner = bench.world.handle_input(Input::Status(ClientId(6), Ticket(1), old_id(1), Some(ViewerId(7))));
    assert!(matches!(owner[..], [Output::Reply(_, _, Reply::Status { playing: Some(_), .. })]), "{owner:?}");
    // Nobody claims the other session.
    bench.world.now += settings().limits.claim_timeout;
    bench.world.handle_input(Input::Stream(ServerId(0), number, StreamEvent::Heartbeat));
    assert_eq!(bench.world.ledger.session_counts(), (1, 1));
    let is_release =
        |r: &BoxRequest| matches!(r, BoxRequest::Release { session, attempt: 2 } if *session == old_id(2));
    for conn in std::mem::take(&mut bench.world.dials) {
        bench.world.handle_input(Input::Dialed(conn, Ok(())));
    }
    assert!(bench.world.exchanges.values().any(is_release), "released under the number that the box knows");
}

#[test]
fn sessions_found_before_a_current_list_wait_for_it() {
    let decider = ScriptedDecider::default();
    let events = decider.events.clone();
    let settings = settings();
    let mut ledger = Ledger::new(decider, settings.decision, settings.limits, "f0", 1);
    let mut out = Vec::new();
    let list = vec![listed(0, ServerState::Ready, None)];
    ledger.handle(1, Input::List(ListKind::Cached, list.clone()), &mut out);
    let Some(Output::OpenStream(server, number, _)) = out.first().cloned() else { panic!("{out:?}") };
    let session = SessionId("f0-00000000-0000000001".into());
    let held = HeldSession { session, attempt: 0, rung: 1, open_request: Some(open_request(7, CLIP)) };
    ledger.handle(2, Input::Stream(server, number, StreamEvent::Up(vec![held])), &mut out);
    // The decider takes a resumed session as a sign that its list is current; one found under an old
    // list must not count as that.
    assert!(!events.borrow().iter().any(|event| matches!(event, Event::Resumed(..))));
    ledger.handle(3, Input::List(ListKind::Complete, list), &mut out);
    assert!(matches!(events.borrow()[..], [.., Event::Resumed(..), Event::Note { .. }]));
}

#[test]
fn moved_session_can_be_reopened_once_by_its_viewer() {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    *bench.actions.borrow_mut() = vec![Action::Move(id.clone())];
    bench.world.handle_input(Input::List(ListKind::FetchFailed, vec![]));
    assert_eq!(bench.outcomes(), [Outcome::Withdrawn]);
    for (viewer, marked) in [(9, false), (1, true), (1, false)] {
        bench.events.borrow_mut().clear();
        bench.world.opens.insert((VIEWER, Ticket(50)), None);
        let open_request = OpenRequest { moved_from: Some(id.clone()), ..open_request(viewer, CLIP) };
        bench.world.handle_input(Input::Open(VIEWER, Ticket(50), open_request));
        let events = bench.events.borrow();
        let Event::Request(request) = &events[0] else { panic!("{events:?}") };
        assert_eq!(request.moved, marked, "viewer {viewer}");
    }
}

#[test]
fn failed_rung_change_is_reported_to_the_decision_module() {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    bench.events.borrow_mut().clear();
    *bench.actions.borrow_mut() = vec![Action::SetRung(id.clone(), 2)];
    bench.world.handle_input(Input::List(ListKind::FetchFailed, vec![]));
    for _ in 0..3 {
        for conn in std::mem::take(&mut bench.world.dials) {
            bench.world.handle_input(Input::Dialed(conn, Ok(())));
        }
        let conn = *bench.world.exchanges.first_key_value().expect("the change is in progress").0;
        bench.world.end_exchange(conn, 5);
    }
    let note = Event::Note { session: id, server: ServerId(0), note: Note::Rung(1) };
    assert_eq!(bench.events.borrow().last(), Some(&note));
}

#[test]
fn lost_release_is_retried() {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    bench.world.handle_input(Input::Close(VIEWER, Ticket(70), id.clone()));
    let conn = *bench.world.exchanges.first_key_value().unwrap().0;
    bench.world.end_exchange(conn, 2);
    assert!(bench.world.exchanges.is_empty());
    bench.world.now += 100 * MS;
    bench.world.handle_input(Input::Tick);
    for conn in std::mem::take(&mut bench.world.dials) {
        bench.world.handle_input(Input::Dialed(conn, Ok(())));
    }
    let (_, request) = bench.world.exchanges.first_key_value().expect("it is sent again");
    assert_eq!(*request, BoxRequest::Release { session: id, attempt: 0 });
}

#[test]
fn unanswered_release_times_out() {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    bench.world.handle_input(Input::Close(VIEWER, Ticket(70), id));
    bench.world.now += settings().limits.request_timeout;
    let out = bench.world.handle_input(Input::Tick);
    assert!(matches!(out[..], [Output::CloseConn(_)]), "{out:?}");
}

#[test]
fn undecided_session_is_answered_before_its_deadline() {
    let mut bench = TestBench::new();
    bench.world.open(VIEWER, CLIP);
    let id = bench.id();
    bench.world.now += 1_000 * MS + settings().limits.answer_slack / 2;
    bench.world.handle_input(Input::Tick);
    assert_eq!(bench.answers(), [Answer::Failed(id, FailReason::Overdue)]);
    assert_eq!(bench.world.ledger.counts().overdue, 1);
}

#[test]
fn requests_beyond_the_connection_limit_wait() {
    let mut bench = TestBench::new();
    let max_connections = settings().limits.connections_per_box;
    for _ in 0..max_connections + 5 {
        bench.set_up_without_dial();
    }
    let [dialing, _, _, waiting] = bench.world.ledger.connections();
    assert_eq!((dialing, waiting), (max_connections, 5));
    let conn = bench.world.dials.remove(0);
    bench.world.handle_input(Input::Dialed(conn, Ok(())));
    bench.world.end_exchange(conn, 8);
    assert!(bench.world.exchanges.contains_key(&conn), "the freed connection takes the next");
}

impl TestBench {
    fn set_up_without_dial(&mut self) {
        let id = SessionId(format!("f0-00000001-{:010}", self.world.opens.len() + 1).into());
        *self.actions.borrow_mut() = vec![Action::SetUp(id, ServerId(0), 900 * MS)];
        self.world.open(VIEWER, CLIP);
    }
}

#[test]
fn stale_connection_closes_the_other_idle_ones_to_the_box() {
    let mut bench = TestBench::new();
    let (_, first) = bench.set_up(CLIP);
    let (_, second) = bench.set_up(CLIP);
    bench.world.end_exchange(first, 8);
    bench.world.end_exchange(second, 8);
    let (_, conn) = bench.set_up(CLIP);
    bench.world.exchanges.remove(&conn);
    bench.world.traces.values_mut().for_each(|trace| trace.in_progress.clear());
    let out = bench.world.handle_input(Input::Exchanged(conn, ExchangeEnd::Stale));
    let other = if conn == first { second } else { first };
    assert!(out.contains(&Output::CloseConn(other)), "as old as the closed one: {out:?}");
}

#[test]
fn box_removed_before_its_stream_opened_still_reports_its_sessions() {
    let mut bench = TestBench::new();
    let number = bench.world.streams[&ServerId(0)];
    let out =
        bench.world.handle_input(Input::List(ListKind::Changes, vec![listed(0, ServerState::Removed, None)]));
    assert!(!out.contains(&Output::CloseStream(ServerId(0), number)), "{out:?}");
    let session = SessionId("f0-00000000-0000000001".into());
    let held = HeldSession {
        session: session.clone(),
        attempt: 0,
        rung: 1,
        open_request: Some(open_request(7, CLIP)),
    };
    bench.world.handle_input(Input::Stream(ServerId(0), number, StreamEvent::Up(vec![held])));
    bench.world.now += settings().limits.claim_timeout;
    bench.world.handle_input(Input::Stream(ServerId(0), number, StreamEvent::Heartbeat));
    for conn in std::mem::take(&mut bench.world.dials) {
        bench.world.handle_input(Input::Dialed(conn, Ok(())));
    }
    let released = BoxRequest::Release { session, attempt: 0 };
    assert!(bench.world.exchanges.values().any(|request| *request == released));
}

#[test]
fn sessions_of_a_box_missing_from_the_first_current_list_are_released() {
    let settings = settings();
    let (claim_timeout, limits) = (settings.limits.claim_timeout, settings.limits);
    let mut ledger = Ledger::new(ScriptedDecider::default(), settings.decision, limits, "f0", 1);
    let mut out = Vec::new();
    ledger.handle(1, Input::List(ListKind::Cached, vec![listed(0, ServerState::Ready, None)]), &mut out);
    let Some(Output::OpenStream(server, number, _)) = out.first().cloned() else { panic!("{out:?}") };
    let session = SessionId("f0-00000000-0000000001".into());
    let held = HeldSession {
        session: session.clone(),
        attempt: 0,
        rung: 1,
        open_request: Some(open_request(7, CLIP)),
    };
    ledger.handle(2, Input::Stream(server, number, StreamEvent::Up(vec![held])), &mut out);
    ledger.handle(3, Input::List(ListKind::Complete, Vec::new()), &mut out);
    assert_eq!(ledger.session_counts(), (1, 1));
    out.clear();
    ledger.handle(3 + claim_timeout, Input::Stream(server, number, StreamEvent::Heartbeat), &mut out);
    let Some(Output::Dial(conn, ..)) = out.first().cloned() else { panic!("{out:?}") };
    ledger.handle(4 + claim_timeout, Input::Dialed(conn, Ok(())), &mut out);
    assert!(out.contains(&Output::Exchange(conn, BoxRequest::Release { session, attempt: 0 })), "{out:?}");
}
