//! The core in virtual time: a world of boxes and clients that does everything it can in any order, once with a
//! decider that asks for anything at any moment, once with the module.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use super::*;
use crate::settings::tests::settings;

mod doors;
mod kept;
mod terms;

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

fn opening(viewer: u64, class: usize) -> OpenRequest {
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

/// A decider that asks for anything at any moment, from a seed.
struct Chaos {
    rng: Pcg32,
    known: Vec<SessionId>,
}

impl Decider for Chaos {
    fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        if let Event::Request(request) = event {
            self.known.push(request.session.clone());
        }
        for _ in 0..self.rng.next_u32() % 4 {
            let Some(last) = self.known.len().checked_sub(1) else { return };
            // Mostly of late sessions, sometimes of ones that are long over, or that never were.
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
struct Seen {
    answers: usize,
    out: BTreeSet<ConnId>,
    /// An attempt whose end does not prove that it never ran.
    ran: bool,
    class: usize,
}

/// Boxes, clients and the clock around a ledger, and the checks of what crosses between them.
struct World<D> {
    ledger: Ledger<D>,
    rng: Pcg32,
    now: Micros,
    dials: Vec<ConnId>,
    exchanges: BTreeMap<ConnId, BoxRequest>,
    streams: BTreeMap<ServerId, u64>,
    /// Opens by client, and whether their one answer has come.
    opens: BTreeMap<(ClientId, Ticket), Option<Answer>>,
    gone: BTreeSet<ClientId>,
    playing: BTreeMap<SessionId, (ClientId, ServerId, u32)>,
    /// What boxes hold, as they see it.
    held: BTreeMap<(ServerId, SessionId, u32), usize>,
    seen: BTreeMap<SessionId, Seen>,
    next: u64,
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
            gone: BTreeSet::new(),
            playing: BTreeMap::new(),
            held: BTreeMap::new(),
            seen: BTreeMap::new(),
            next: 0,
            finished: false,
        };
        world.give(Input::List(ListKind::Cached, Vec::new()));
        let whole = (0..4).map(|id| listed(id, ServerState::Ready, None)).collect();
        world.give(Input::List(ListKind::Complete, whole));
        world
    }

    fn below(&mut self, most: usize) -> usize {
        self.rng.next_u32() as usize % most.max(1)
    }

    fn give(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.ledger.handle(self.now, input, &mut out);
        for output in &out {
            self.take(output);
        }
        out
    }

    /// Takes an output as the sockets would, and checks it.
    fn take(&mut self, output: &Output) {
        match output {
            Output::Answer(client, ticket, answer) => {
                let slot =
                    self.opens.get_mut(&(*client, *ticket)).expect("an answer to a call that was made");
                assert!(slot.is_none(), "a second answer: {answer:?} after {slot:?}");
                *slot = Some(answer.clone());
                let (Answer::Plays { session, .. }
                | Answer::Refused(session, _)
                | Answer::Failed(session, _)) = answer;
                let seen = self.seen.entry(session.clone()).or_default();
                seen.answers += 1;
                if matches!(answer, Answer::Refused(..)) {
                    let may = seen.ran || !seen.out.is_empty();
                    assert!(seen.class != PAID || !may, "a paid session refused though it may have run");
                }
                if let Answer::Plays { session, server, .. } = answer {
                    self.playing.insert(session.clone(), (*client, *server, 0));
                }
            }
            Output::Dial(conn, ..) => self.dials.push(*conn),
            Output::Exchange(conn, request) => {
                if let BoxRequest::SetUp { session, open_request: opening, rung, .. } = request {
                    let seen = self.seen.entry(session.clone()).or_default();
                    seen.class = opening.class;
                    assert!(seen.out.is_empty(), "two attempts out for {session:?}");
                    assert!(seen.class != PAID || !seen.ran, "a paid set-up again though one may have run");
                    assert!(seen.class != PAID || *rung >= 1, "under the floor");
                    seen.out.insert(*conn);
                }
                assert!(
                    self.exchanges.insert(*conn, request.clone()).is_none(),
                    "two requests on one connection"
                );
            }
            Output::CloseConn(conn) => {
                self.dials.retain(|dial| dial != conn);
                if let Some(BoxRequest::SetUp { session, .. }) = self.exchanges.remove(conn) {
                    let seen = self.seen.entry(session).or_default();
                    // Ended by the front: it may have run.
                    seen.ran |= seen.out.remove(conn);
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
        self.next += 1;
        let ticket = Ticket(self.next);
        self.opens.insert((client, ticket), None);
        let viewer = self.next;
        self.give(Input::Open(client, ticket, opening(viewer, class)));
    }

    /// One thing that may happen, drawn.
    fn step(&mut self) {
        match self.below(14) {
            0 | 1 => {
                let client = ClientId(self.below(3) as u64 + 1);
                if !self.gone.contains(&client) {
                    let class = self.below(2);
                    self.open(client, class);
                }
            }
            2 => {
                let open: Vec<_> =
                    self.opens.iter().filter(|(_, answer)| answer.is_none()).map(|(by, _)| *by).collect();
                if let Some((client, ticket)) = open.get(self.below(open.len())).copied() {
                    self.next += 1;
                    self.give(Input::Cancel(client, Ticket(self.next), ticket));
                }
            }
            3 => {
                let all: Vec<_> =
                    self.playing.iter().map(|(id, (client, ..))| (id.clone(), *client)).collect();
                if let Some((session, client)) = all.get(self.below(all.len())).cloned() {
                    self.next += 1;
                    self.playing.remove(&session);
                    self.give(Input::Close(client, Ticket(self.next), session));
                }
            }
            4 if self.below(12) == 0 => {
                let client = ClientId(self.below(3) as u64 + 1);
                self.gone.insert(client);
                self.playing.retain(|_, (of, ..)| *of != client);
                let lost = self.below(2) == 0;
                self.give(if lost { Input::ClientLost(client) } else { Input::ClientClosed(client) });
            }
            5 => {
                let id = self.below(4) as u32;
                let started = (self.below(3) == 0).then_some(self.now);
                let state = [ServerState::Ready, ServerState::Draining, ServerState::Removed][self.below(3)];
                let kind = [ListKind::Changes, ListKind::Changes, ListKind::Complete, ListKind::FetchFailed]
                    [self.below(4)];
                let lines = match kind {
                    ListKind::FetchFailed => Vec::new(),
                    _ => vec![listed(id, state, started)],
                };
                self.give(Input::List(kind, lines));
            }
            6 => self.stream(),
            7 => {
                self.now += self.below(120) as u64 * MS;
                self.give(Input::Tick);
            }
            _ => self.answer(),
        }
    }

    fn stream(&mut self) {
        let all: Vec<_> = self.streams.iter().map(|(server, number)| (*server, *number)).collect();
        let Some((server, number)) = all.get(self.below(all.len())).copied() else { return };
        let held = self.held.iter().filter(|((at, ..), _)| *at == server);
        let held: Vec<HeldSession> = held
            .map(|((_, session, attempt), rung)| HeldSession {
                session: session.clone(),
                attempt: *attempt,
                rung: *rung,
                open_request: Some(opening(1, CLIP)),
            })
            .collect();
        let news = match self.below(9) {
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
        if let StreamEvent::Ended(session, attempt) = &news {
            self.held.remove(&(server, session.clone(), *attempt));
        }
        self.give(Input::Stream(server, number, news));
    }

    /// A dial or an exchange ends, in a way that is drawn.
    fn answer(&mut self) {
        if !self.dials.is_empty() && self.below(2) == 0 {
            let at = self.below(self.dials.len());
            let conn = self.dials.remove(at);
            let result =
                [Ok(()), Ok(()), Ok(()), Err(DialError::Refused), Err(DialError::TimedOut)][self.below(5)];
            self.give(Input::Dialed(conn, result));
            return;
        }
        let all: Vec<ConnId> = self.exchanges.keys().copied().collect();
        let Some(conn) = all.get(self.below(all.len())).copied() else { return };
        let draw = self.below(12);
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
                let seen = self.seen.entry(session.clone()).or_default();
                seen.out.remove(&conn);
                seen.ran |= !matches!(draw, 0 | 1 | 4);
                // A session that begins plays at its box, whatever becomes of the answer.
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
        self.give(Input::Exchanged(conn, end));
    }

    /// The world goes quiet: all that is under way ends well, and time passes.
    fn quiet(&mut self) {
        for _ in 0..400 {
            for conn in std::mem::take(&mut self.dials) {
                self.give(Input::Dialed(conn, Ok(())));
            }
            let all: Vec<ConnId> = self.exchanges.keys().copied().collect();
            for conn in all {
                self.end_exchange(conn, 8);
            }
            self.now += 50 * MS;
            self.give(Input::Tick);
        }
    }

    /// At the end: every call was answered once, but for those whose client is gone; nothing is left over.
    fn check_end(&mut self) {
        self.quiet();
        for ((client, ticket), answer) in &self.opens {
            assert!(
                answer.is_some() || self.gone.contains(client),
                "{client:?} {ticket:?} was never answered"
            );
        }
        self.give(Input::ShutDown);
        self.quiet();
        assert!(
            self.finished,
            "the shut-down never ends: {:?} {:?}",
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
    fn whatever_a_decider_asks_for_each_call_has_one_answer_and_one_attempt_out(seed: u64) {
        let chaos = Chaos { rng: Pcg32::seed_from_u64(seed ^ 1), known: Vec::new() };
        let mut world = World::new(chaos, seed);
        for _ in 0..400 {
            world.step();
        }
        world.check_end();
    }

    #[test]
    fn the_module_never_meets_the_lock(seed: u64) {
        let controller = Controller::new(settings().decision, seed);
        let mut world = World::new(controller, seed);
        for _ in 0..400 {
            world.step();
        }
        world.check_end();
        let counts = world.ledger.counts();
        prop_assert_eq!(counts.stopped(), 0, "{:?}", counts);
        prop_assert_eq!(counts.overdue, 0);
    }
}

/// A decider that does what a test puts down for it, and remembers what it was told.
#[derive(Default)]
struct Puppet {
    todo: std::rc::Rc<std::cell::RefCell<Vec<Action>>>,
    told: std::rc::Rc<std::cell::RefCell<Vec<Event>>>,
}

impl Decider for Puppet {
    fn handle(&mut self, _: Micros, event: &Event, out: &mut Vec<Action>) {
        self.told.borrow_mut().push(event.clone());
        out.append(&mut self.todo.borrow_mut());
    }
}

/// A world with strings to its decider.
struct Stage {
    world: World<Puppet>,
    todo: std::rc::Rc<std::cell::RefCell<Vec<Action>>>,
    told: std::rc::Rc<std::cell::RefCell<Vec<Event>>>,
}

const VIEWER: ClientId = ClientId(1);

impl Stage {
    fn new() -> Stage {
        let puppet = Puppet::default();
        let (todo, told) = (puppet.todo.clone(), puppet.told.clone());
        Stage { world: World::new(puppet, 1), todo, told }
    }

    fn id(&self) -> SessionId {
        SessionId(format!("f0-00000001-{:010}", self.world.opens.len()).into())
    }

    /// An open call that is set up at box 0 at once; the connection that carries it, after a good dial.
    fn set_up(&mut self, class: usize) -> (SessionId, ConnId) {
        let id = SessionId(format!("f0-00000001-{:010}", self.world.opens.len() + 1).into());
        *self.todo.borrow_mut() =
            vec![Action::SetRung(id.clone(), 1), Action::SetUp(id.clone(), ServerId(0), 300 * MS)];
        self.world.open(VIEWER, class);
        for conn in std::mem::take(&mut self.world.dials) {
            self.world.give(Input::Dialed(conn, Ok(())));
        }
        let conn = self
            .world
            .exchanges
            .iter()
            .find(|(_, r)| matches!(r, BoxRequest::SetUp { session, .. } if *session == id));
        (id, *conn.expect("the set-up is out").0)
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
        self.told.borrow().iter().filter_map(ended).collect()
    }

    fn answers(&self) -> Vec<Answer> {
        self.world.opens.values().flatten().cloned().collect()
    }
}

#[test]
fn a_viewer_that_gives_up_as_its_set_up_begins_leaves_nothing_playing() {
    let mut stage = Stage::new();
    let (id, conn) = stage.set_up(CLIP);
    let (by, _) = stage.world.opens.first_key_value().map(|(by, a)| (*by, a.clone())).unwrap();
    stage.world.give(Input::Cancel(by.0, Ticket(99), by.1));
    assert_eq!(stage.answers(), [Answer::Failed(id.clone(), FailReason::Cancelled)]);
    let ended = ExchangeEnd::Answered { answer: BoxAnswer::Done, report: vec![], keep_alive: true };
    stage.world.exchanges.remove(&conn);
    let out = stage.world.give(Input::Exchanged(conn, ended));
    let release = BoxRequest::Release { session: id, attempt: 0 };
    assert!(out.contains(&Output::Exchange(conn, release)), "{out:?}");
    assert_eq!(stage.outcomes(), [Outcome::Withdrawn]);
    assert_eq!(stage.world.ledger.session_counts(), (0, 0));
}

#[test]
fn a_cancellation_that_crosses_the_answer_changes_nothing() {
    let mut stage = Stage::new();
    stage.play();
    let by = *stage.world.opens.first_key_value().unwrap().0;
    let out = stage.world.give(Input::Cancel(by.0, Ticket(99), by.1));
    assert_eq!(out, [Output::Reply(VIEWER, Ticket(99), Reply::Unknown)]);
    assert_eq!(stage.world.ledger.session_counts(), (1, 1));
}

#[test]
fn a_set_up_that_ran_out_of_time_is_barred_at_its_box_before_another_goes_out() {
    let mut stage = Stage::new();
    let (id, conn) = stage.set_up(CLIP);
    *stage.todo.borrow_mut() = vec![];
    stage.world.now += 300 * MS;
    let told = stage.told.clone();
    told.borrow_mut().clear();
    let out = stage.world.give(Input::Tick);
    assert_eq!(out[0], Output::CloseConn(conn), "its connection is closed first: {out:?}");
    assert!(matches!(out[1], Output::Dial(..)), "the release goes on a new one: {out:?}");
    assert_eq!(stage.outcomes(), [Outcome::TimedOut]);
    assert!(stage.world.ledger.session_counts().0 == 1, "{id:?} is held: its answer is still owed");
}

#[test]
fn an_attempt_that_waits_for_its_connection_never_ran() {
    let mut stage = Stage::new();
    let id = SessionId("f0-00000001-0000000001".into());
    *stage.todo.borrow_mut() = vec![Action::SetRung(id.clone(), 1), Action::SetUp(id, ServerId(0), 300 * MS)];
    stage.world.open(VIEWER, PAID);
    stage.world.now += 300 * MS;
    stage.world.give(Input::Tick);
    assert_eq!(stage.outcomes(), [Outcome::NoConnection], "not a byte was written");
}

#[test]
fn a_connection_found_closed_has_sent_nothing_and_the_attempt_goes_on() {
    let mut stage = Stage::new();
    let (first, conn) = stage.play();
    let (second, same) = stage.set_up(PAID);
    assert_eq!(conn, same, "the idle connection is used again");
    stage.world.exchanges.remove(&conn);
    stage.world.seen.get_mut(&second).unwrap().out.clear();
    let out = stage.world.give(Input::Exchanged(conn, ExchangeEnd::Stale));
    assert!(matches!(out[..], [Output::CloseConn(_), Output::Dial(..)]), "{out:?}");
    assert!(stage.outcomes().is_empty(), "no attempt has ended: {first:?} plays, {second:?} is tried");
}

#[test]
fn a_reset_after_the_request_was_written_does_not_prove_that_it_never_ran() {
    for (end, outcome) in [
        (ExchangeEnd::Unwritten, Outcome::NoConnection),
        (ExchangeEnd::Broken, Outcome::Broken),
        (ExchangeEnd::Malformed("half a response".into()), Outcome::Broken),
    ] {
        let mut stage = Stage::new();
        let (_, conn) = stage.set_up(PAID);
        stage.world.exchanges.remove(&conn);
        stage.world.give(Input::Exchanged(conn, end));
        assert_eq!(stage.outcomes(), [outcome]);
    }
}

#[test]
fn a_set_up_whose_answer_is_lost_does_not_play_on_for_nobody() {
    let mut stage = Stage::new();
    let (id, conn) = stage.set_up(CLIP);
    stage.world.exchanges.remove(&conn);
    stage.world.seen.get_mut(&id).unwrap().out.clear();
    *stage.todo.borrow_mut() = vec![Action::Fail(id.clone())];
    stage.world.give(Input::Exchanged(conn, ExchangeEnd::Broken));
    for conn in std::mem::take(&mut stage.world.dials) {
        stage.world.give(Input::Dialed(conn, Ok(())));
    }
    let released = BoxRequest::Release { session: id, attempt: 0 };
    assert!(stage.world.exchanges.values().any(|request| *request == released));
}

#[test]
fn a_paid_set_up_that_may_have_run_is_neither_sent_again_nor_refused() {
    let mut stage = Stage::new();
    let (id, conn) = stage.set_up(PAID);
    stage.world.exchanges.remove(&conn);
    stage.world.seen.get_mut(&id).unwrap().out.clear();
    *stage.todo.borrow_mut() = vec![Action::SetUp(id.clone(), ServerId(1), 0), Action::Refuse(id.clone(), 1)];
    stage.world.give(Input::Exchanged(conn, ExchangeEnd::Broken));
    assert_eq!(stage.answers(), [Answer::Failed(id, FailReason::GivenUp)]);
    assert_eq!(stage.world.ledger.counts().stopped_effects, 2);
}

#[test]
fn sessions_of_a_box_whose_process_died_end_at_once_and_those_of_a_broken_stream_do_not() {
    let mut stage = Stage::new();
    let (id, _) = stage.play();
    let server = ServerId(0);
    let number = stage.world.streams[&server];
    stage.world.now += MS;
    stage.world.give(Input::Stream(server, number, StreamEvent::Up(vec![])));
    assert_eq!(
        stage.world.ledger.session_counts().1,
        1,
        "set up after the stream was asked for: its list may be older"
    );
    let out = stage.world.give(Input::Stream(server, number, StreamEvent::Broken));
    assert!(matches!(out[..], [Output::OpenStream(..)]), "one try at once tells which it is: {out:?}");
    let number = stage.world.streams[&server];
    let out = stage.world.give(Input::Stream(server, number, StreamEvent::NoConnection(DialError::Refused)));
    assert!(out.contains(&Output::Notify(VIEWER, Notification::Ended(id, EndReason::Lost))), "{out:?}");
    assert_eq!(stage.outcomes(), [Outcome::Broken]);
}

#[test]
fn a_box_that_restarted_under_its_old_id_holds_none_of_the_old_sessions() {
    let mut stage = Stage::new();
    let (id, _) = stage.play();
    let server = ServerId(0);
    stage.world.now += MS;
    let number = stage.world.streams[&server];
    stage.world.give(Input::Stream(server, number, StreamEvent::Up(vec![])));
    stage.world.give(Input::Stream(server, number, StreamEvent::Broken));
    let number = stage.world.streams[&server];
    let out = stage.world.give(Input::Stream(server, number, StreamEvent::Up(vec![])));
    assert!(out.contains(&Output::Notify(VIEWER, Notification::Ended(id, EndReason::Lost))), "{out:?}");
}

#[test]
fn a_box_that_falls_silent_is_found_lost_without_a_word() {
    let mut stage = Stage::new();
    let (id, _) = stage.play();
    let number = stage.world.streams[&ServerId(0)];
    stage.world.give(Input::Stream(ServerId(0), number, StreamEvent::Up(vec![])));
    let limits = settings().limits;
    let mut told = Vec::new();
    let until = stage.world.now + limits.silence_timeout + limits.lost_timeout + 3_000 * MS;
    while stage.world.now < until && told.is_empty() {
        stage.world.now += 20 * MS;
        for output in stage.world.give(Input::Tick) {
            if let Output::OpenStream(server, number, _) = output {
                // Nobody answers: neither refused nor made.
                let news = StreamEvent::NoConnection(DialError::TimedOut);
                let out = stage.world.give(Input::Stream(server, number, news));
                told.extend(
                    out.into_iter().filter(|o| matches!(o, Output::Notify(_, Notification::Ended(..)))),
                );
            } else if matches!(output, Output::Notify(_, Notification::Ended(..))) {
                told.push(output);
            }
        }
    }
    assert_eq!(told, [Output::Notify(VIEWER, Notification::Ended(id, EndReason::Lost))]);
}

#[test]
fn a_front_born_again_finds_its_sessions_and_hands_them_to_their_viewers_alone() {
    let mut stage = Stage::new();
    let old = |n: u32| SessionId(format!("f0-00000000-{n:010}").into());
    let held = |session: SessionId| HeldSession {
        session,
        attempt: 2,
        rung: 1,
        open_request: Some(opening(7, CLIP)),
    };
    let strange = HeldSession { session: SessionId("f9-00000000-0000000001".into()), ..held(old(1)) };
    let number = stage.world.streams[&ServerId(0)];
    stage.told.borrow_mut().clear();
    stage.world.give(Input::Stream(
        ServerId(0),
        number,
        StreamEvent::Up(vec![held(old(1)), held(old(2)), strange]),
    ));
    assert_eq!(stage.world.ledger.session_counts(), (2, 2), "another front's session is left alone");
    let resumed = stage.told.borrow().iter().filter(|e| matches!(e, Event::Resumed(..))).count();
    assert_eq!(resumed, 2);
    let thief = stage.world.give(Input::Status(ClientId(5), Ticket(1), old(1), Some(ViewerId(8))));
    assert_eq!(thief, [Output::Reply(ClientId(5), Ticket(1), Reply::Unknown)]);
    let owner = stage.world.give(Input::Status(ClientId(6), Ticket(1), old(1), Some(ViewerId(7))));
    assert!(matches!(owner[..], [Output::Reply(_, _, Reply::Status { playing: Some(_), .. })]), "{owner:?}");
    // Nobody comes for the other one.
    stage.world.now += settings().limits.claim_timeout;
    stage.world.give(Input::Stream(ServerId(0), number, StreamEvent::Heartbeat));
    assert_eq!(stage.world.ledger.session_counts(), (1, 1));
    let asked =
        |r: &BoxRequest| matches!(r, BoxRequest::Release { session, attempt: 2 } if *session == old(2));
    for conn in std::mem::take(&mut stage.world.dials) {
        stage.world.give(Input::Dialed(conn, Ok(())));
    }
    assert!(stage.world.exchanges.values().any(asked), "released under the number that the box knows");
}

#[test]
fn sessions_found_before_the_list_is_fresh_wait_for_it() {
    let puppet = Puppet::default();
    let told = puppet.told.clone();
    let settings = settings();
    let mut ledger = Ledger::new(puppet, settings.decision, settings.limits, "f0", 1);
    let mut out = Vec::new();
    let list = vec![listed(0, ServerState::Ready, None)];
    ledger.handle(1, Input::List(ListKind::Cached, list.clone()), &mut out);
    let Some(Output::OpenStream(server, number, _)) = out.first().cloned() else { panic!("{out:?}") };
    let session = SessionId("f0-00000000-0000000001".into());
    let held = HeldSession { session, attempt: 0, rung: 1, open_request: Some(opening(7, CLIP)) };
    ledger.handle(2, Input::Stream(server, number, StreamEvent::Up(vec![held])), &mut out);
    // The module takes a resumed session for a sign that its list is fresh; an old one must not pass for that.
    assert!(!told.borrow().iter().any(|event| matches!(event, Event::Resumed(..))));
    ledger.handle(3, Input::List(ListKind::Complete, list), &mut out);
    assert!(matches!(told.borrow()[..], [.., Event::Resumed(..), Event::Note { .. }]));
}

#[test]
fn a_moved_session_comes_back_marked_once_and_for_its_own_viewer() {
    let mut stage = Stage::new();
    let (id, _) = stage.play();
    *stage.todo.borrow_mut() = vec![Action::Move(id.clone())];
    stage.world.give(Input::List(ListKind::FetchFailed, vec![]));
    assert_eq!(stage.outcomes(), [Outcome::Withdrawn]);
    for (viewer, marked) in [(9, false), (1, true), (1, false)] {
        stage.told.borrow_mut().clear();
        stage.world.opens.insert((VIEWER, Ticket(50)), None);
        let opening = OpenRequest { moved_from: Some(id.clone()), ..opening(viewer, CLIP) };
        stage.world.give(Input::Open(VIEWER, Ticket(50), opening));
        let told = stage.told.borrow();
        let Event::Request(request) = &told[0] else { panic!("{told:?}") };
        assert_eq!(request.moved, marked, "viewer {viewer}");
    }
}

#[test]
fn a_rung_that_never_reaches_its_box_is_taken_back_from_the_modules_account() {
    let mut stage = Stage::new();
    let (id, _) = stage.play();
    stage.told.borrow_mut().clear();
    *stage.todo.borrow_mut() = vec![Action::SetRung(id.clone(), 2)];
    stage.world.give(Input::List(ListKind::FetchFailed, vec![]));
    for _ in 0..3 {
        for conn in std::mem::take(&mut stage.world.dials) {
            stage.world.give(Input::Dialed(conn, Ok(())));
        }
        let conn = *stage.world.exchanges.first_key_value().expect("the change is under way").0;
        stage.world.end_exchange(conn, 5);
    }
    let note = Event::Note { session: id, server: ServerId(0), note: Note::Rung(1) };
    assert_eq!(stage.told.borrow().last(), Some(&note));
}

#[test]
fn a_release_that_is_lost_is_sent_again() {
    let mut stage = Stage::new();
    let (id, _) = stage.play();
    stage.world.give(Input::Close(VIEWER, Ticket(70), id.clone()));
    let conn = *stage.world.exchanges.first_key_value().unwrap().0;
    stage.world.end_exchange(conn, 2);
    assert!(stage.world.exchanges.is_empty());
    stage.world.now += 100 * MS;
    stage.world.give(Input::Tick);
    for conn in std::mem::take(&mut stage.world.dials) {
        stage.world.give(Input::Dialed(conn, Ok(())));
    }
    let (_, request) = stage.world.exchanges.first_key_value().expect("it goes out again");
    assert_eq!(*request, BoxRequest::Release { session: id, attempt: 0 });
}

#[test]
fn a_box_that_never_answers_a_release_holds_no_connection_for_ever() {
    let mut stage = Stage::new();
    let (id, _) = stage.play();
    stage.world.give(Input::Close(VIEWER, Ticket(70), id));
    stage.world.now += settings().limits.request_timeout;
    let out = stage.world.give(Input::Tick);
    assert!(matches!(out[..], [Output::CloseConn(_)]), "{out:?}");
}

#[test]
fn a_session_that_nobody_decides_on_is_answered_before_its_time_is_up() {
    let mut stage = Stage::new();
    stage.world.open(VIEWER, CLIP);
    let id = stage.id();
    stage.world.now += 1_000 * MS + settings().limits.answer_slack / 2;
    stage.world.give(Input::Tick);
    assert_eq!(stage.answers(), [Answer::Failed(id, FailReason::Overdue)]);
    assert_eq!(stage.world.ledger.counts().overdue, 1);
}

#[test]
fn requests_beyond_a_boxs_connections_wait_for_one() {
    let mut stage = Stage::new();
    let most = settings().limits.connections_per_box;
    for _ in 0..most + 5 {
        stage.set_up_without_dial();
    }
    let [dialing, _, _, waiting] = stage.world.ledger.connections();
    assert_eq!((dialing, waiting), (most, 5));
    let conn = stage.world.dials.remove(0);
    stage.world.give(Input::Dialed(conn, Ok(())));
    stage.world.end_exchange(conn, 8);
    assert!(stage.world.exchanges.contains_key(&conn), "the freed connection takes the next");
}

impl Stage {
    fn set_up_without_dial(&mut self) {
        let id = SessionId(format!("f0-00000001-{:010}", self.world.opens.len() + 1).into());
        *self.todo.borrow_mut() = vec![Action::SetUp(id, ServerId(0), 900 * MS)];
        self.world.open(VIEWER, CLIP);
    }
}

#[test]
fn one_connection_found_closed_gives_away_the_others_to_that_box() {
    let mut stage = Stage::new();
    let (_, first) = stage.set_up(CLIP);
    let (_, second) = stage.set_up(CLIP);
    stage.world.end_exchange(first, 8);
    stage.world.end_exchange(second, 8);
    let (_, conn) = stage.set_up(CLIP);
    stage.world.exchanges.remove(&conn);
    stage.world.seen.values_mut().for_each(|seen| seen.out.clear());
    let out = stage.world.give(Input::Exchanged(conn, ExchangeEnd::Stale));
    let other = if conn == first { second } else { first };
    assert!(out.contains(&Output::CloseConn(other)), "as old as the closed one: {out:?}");
}

#[test]
fn a_box_gone_from_the_list_before_its_stream_stood_still_tells_what_it_holds() {
    let mut stage = Stage::new();
    let number = stage.world.streams[&ServerId(0)];
    let out = stage.world.give(Input::List(ListKind::Changes, vec![listed(0, ServerState::Removed, None)]));
    assert!(!out.contains(&Output::CloseStream(ServerId(0), number)), "{out:?}");
    let session = SessionId("f0-00000000-0000000001".into());
    let held =
        HeldSession { session: session.clone(), attempt: 0, rung: 1, open_request: Some(opening(7, CLIP)) };
    stage.world.give(Input::Stream(ServerId(0), number, StreamEvent::Up(vec![held])));
    stage.world.now += settings().limits.claim_timeout;
    stage.world.give(Input::Stream(ServerId(0), number, StreamEvent::Heartbeat));
    for conn in std::mem::take(&mut stage.world.dials) {
        stage.world.give(Input::Dialed(conn, Ok(())));
    }
    let released = BoxRequest::Release { session, attempt: 0 };
    assert!(stage.world.exchanges.values().any(|request| *request == released));
}

#[test]
fn sessions_found_at_a_box_that_the_first_fresh_list_no_longer_names_are_not_forgotten() {
    let settings = settings();
    let (claim_within, limits) = (settings.limits.claim_timeout, settings.limits);
    let mut ledger = Ledger::new(Puppet::default(), settings.decision, limits, "f0", 1);
    let mut out = Vec::new();
    ledger.handle(1, Input::List(ListKind::Cached, vec![listed(0, ServerState::Ready, None)]), &mut out);
    let Some(Output::OpenStream(server, number, _)) = out.first().cloned() else { panic!("{out:?}") };
    let session = SessionId("f0-00000000-0000000001".into());
    let held =
        HeldSession { session: session.clone(), attempt: 0, rung: 1, open_request: Some(opening(7, CLIP)) };
    ledger.handle(2, Input::Stream(server, number, StreamEvent::Up(vec![held])), &mut out);
    ledger.handle(3, Input::List(ListKind::Complete, Vec::new()), &mut out);
    assert_eq!(ledger.session_counts(), (1, 1));
    out.clear();
    ledger.handle(3 + claim_within, Input::Stream(server, number, StreamEvent::Heartbeat), &mut out);
    let Some(Output::Dial(conn, ..)) = out.first().cloned() else { panic!("{out:?}") };
    ledger.handle(4 + claim_within, Input::Dialed(conn, Ok(())), &mut out);
    assert!(out.contains(&Output::Exchange(conn, BoxRequest::Release { session, attempt: 0 })), "{out:?}");
}
