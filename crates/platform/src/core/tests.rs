//! Dangers of the protocol, in virtual time: a front node with the real module, or with one that asks for anything.

use std::net::SocketAddr;

use salttally::controller::Controller;
use salttally::interface::*;
use salttally::platform_settings::PlatformSettings;

use super::*;
use crate::wire::frames::Payload;

const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;
const LISTED: u32 = 3;

/// Two classes: `clip` may be set up again, `paid` is set up once and never plays on the lowest rung.
fn facts() -> PlatformSettings {
    PlatformSettings::parse(
        r#"{"balancers": 1, "zone": 0, "localities": ["a"], "host_types": ["k"],
        "classes": [
          {"name": "clip", "aim_ms": 1500, "deadline_ms": 4000, "effect": "idempotent", "gain": 1},
          {"name": "paid", "aim_ms": 1000, "deadline_ms": 4000, "effect": "at_most_once", "gain": 3}],
        "domain": {"positions": 3, "racks": 0, "kb_per_weight": 10000, "links_kb": 30000, "kind_streams": [20],
          "rung_kb": [200, 400, 800], "worth_by_rung": [0.2, 0.6, 1], "lowest_rung": [0, 1], "top_by_class": [2, 2],
          "reports_every_ms": 3000, "seen_after_ms": 800, "change_costs_s": 0.5},
        "load_report": {"names": ["active", "x0"], "source": "answers"},
        "policy_limits": {"max_attempts": 3, "max_retry_after_ms": 1000, "retry_after": true, "probes": false,
          "connect_timeout_ms": 250, "conn_idle_ms": 15000, "max_streams": 4},
        "safety": {"answer_slack_ms": 40, "drain_grace_ms": 2000, "warm_up_ms": 1000, "cold_from": 0.5,
          "fall_multiple": 3, "fall_ms": 1500}}"#,
    )
    .unwrap()
}

fn address(id: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, id as u8 + 1], 3868))
}

fn line(id: u32) -> Listed {
    let entry = ServerEntry { server: ServerId(id), cell: id, units: 1.0, ..ServerEntry::default() };
    Listed { entry, address: address(id) }
}

/// A decider that does as it is told by the test.
#[derive(Default)]
struct Puppet(VecDeque<Action>, Vec<Event>);

impl Decider for Puppet {
    fn handle(&mut self, _: Micros, event: &Event, out: &mut Vec<Action>) {
        out.extend(self.0.drain(..));
        self.1.push(event.clone());
    }
}

struct Bench<D> {
    core: Core<D>,
    now: Micros,
    out: Vec<Command>,
}

impl Bench<Controller> {
    fn new() -> Self {
        Bench::with(Controller::new(facts().settings, 7))
    }
}

impl<D: Decider> Bench<D> {
    fn with(decider: D) -> Self {
        let core = Core::new(decider, facts(), 256, START);
        let mut bench = Bench { core, now: START, out: Vec::new() };
        let known = (0..LISTED).map(line).collect();
        bench.core.begin(START, known, 5, address(200), &mut bench.out);
        bench.told(1, 5, Payload::Nothing);
        bench.tell(NodeEvent::ClientConnected(ClientId(1)));
        bench
    }

    fn tell(&mut self, input: NodeEvent) -> Vec<Command> {
        self.core.handle(self.now, input, &mut self.out);
        // As the edge does it when nothing more lies in the sockets.
        self.core.decide(self.now, &mut self.out);
        let mut all = std::mem::take(&mut self.out);
        // A media server closes a connection that is ended here.
        let finished = |command: &Command| match command {
            Command::FinishServer(conn) => Some(*conn),
            _ => None,
        };
        for conn in all.iter().filter_map(finished).collect::<Vec<_>>() {
            all.extend(self.tell(NodeEvent::ServerClosed(conn)));
        }
        all
    }

    /// What is due is done, and media servers close no connection that is ended here.
    fn tick_unclosed(&mut self) -> Vec<Command> {
        self.core.handle(self.now, NodeEvent::Tick, &mut self.out);
        self.core.decide(self.now, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn told(&mut self, call: u64, number: u64, payload: Payload) -> Vec<Command> {
        self.tell(NodeEvent::ListFrame(call, Frame { number, payload }))
    }

    /// Time goes on, stopping at all that is due.
    fn after(&mut self, span: Micros) -> Vec<Command> {
        let (until, mut all) = (self.now + span, Vec::new());
        while let Some(due) = self.core.next_due().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            all.extend(self.tell(NodeEvent::Tick));
        }
        self.now = until;
        all
    }

    fn ask(&mut self, id: u64, class: &str) -> Vec<Command> {
        self.tell(NodeEvent::ClientMessage(ClientId(1), request(id, class, "")))
    }

    /// The dials among these, made; and what is sent by that.
    fn made(&mut self, out: &[Command]) -> Vec<Command> {
        let dials: Vec<ConnId> = out
            .iter()
            .filter_map(|o| match o {
                Command::Connect(conn, _) => Some(*conn),
                _ => None,
            })
            .collect();
        dials.into_iter().flat_map(|conn| self.tell(NodeEvent::ConnectEnded(conn, Ok(())))).collect()
    }

    /// A session that is asked for and stands; where its set-up went.
    fn playing(&mut self, id: u64, class: &str) -> (ConnId, SocketAddr) {
        let out = self.ask(id, class);
        let mut all = out.clone();
        all.extend(self.made(&out));
        let (conn, _) = set_up(&all).expect("set up");
        let at = self.core.sessions[&id].session.at().unwrap().address;
        let answered = self.tell(NodeEvent::ServerMessage(conn, answer(id)));
        assert!(said(&answered).any(|message| message.kind == kind::ANSWER));
        (conn, at)
    }
}

fn request(id: u64, class: &str, more: &str) -> Message {
    Message::new(kind::SET_UP, id)
        .with(code::CLASS, class)
        .with(code::WAIT_MS, "4000")
        .with(code::TITLE, "7f3a9c21e0b4d655")
        .with(code::REQUEST_FIELDS, format!("home:0;copies:3;top:2;viewer:{id:016x}{more}"))
        .with(code::DESCRIPTION, "offer")
}

fn answer(id: u64) -> Message {
    Message::new(kind::ANSWER, id).with(code::DESCRIPTION, "made by a box")
}

fn said(out: &[Command]) -> impl Iterator<Item = &Message> {
    out.iter().filter_map(|o| match o {
        Command::SendToClient(_, message) => Some(message),
        _ => None,
    })
}

fn sent(out: &[Command], kind: u8) -> Vec<(ConnId, &Message)> {
    let all = out.iter().filter_map(|o| match o {
        Command::SendToServer(conn, message) => Some((*conn, message)),
        _ => None,
    });
    all.filter(|(_, message)| message.kind == kind).collect()
}

fn set_up(out: &[Command]) -> Option<(ConnId, &Message)> {
    sent(out, kind::SET_UP).pop()
}

mod crossings;
mod gone;
mod list;
mod releases;
mod room;
mod shutdown;

#[test]
fn a_description_passes_unchanged_and_a_copy_of_the_answer_is_not_passed_again() {
    let mut bench = Bench::new();
    let out = bench.ask(9, "clip");
    let out = bench.made(&out);
    let (conn, message) = set_up(&out).unwrap();
    assert_eq!(message.text(code::DESCRIPTION), Some("offer"));
    assert_eq!(message.text(code::TITLE), Some("7f3a9c21e0b4d655"));
    assert_eq!(
        said(&bench.tell(NodeEvent::ServerMessage(conn, answer(77)))).count(),
        0,
        "under an unknown id"
    );
    let out = bench.tell(NodeEvent::ServerMessage(conn, answer(9)));
    assert_eq!(said(&out).next(), Some(&answer(9)));
    assert_eq!(said(&bench.tell(NodeEvent::ServerMessage(conn, answer(9)))).count(), 0);
    assert_eq!(bench.core.counts().played, 1);
}

#[test]
fn a_time_out_sends_the_give_up_ahead_of_the_next_attempt_on_a_new_connection() {
    let mut bench = Bench::new();
    let out = bench.ask(9, "clip");
    let out = bench.made(&out);
    let (first, _) = set_up(&out).unwrap();
    let out = bench.after(SECOND);
    let gave_up = out.iter().position(
        |o| matches!(o, Command::SendToServer(on, m) if *on == first && m.kind == kind::RELEASE && m.cause() == Some(16)),
    );
    let again = out.iter().position(|o| matches!(o, Command::Connect(..)));
    assert!(gave_up.unwrap() < again.unwrap(), "{out:?}");
    let second = bench.made(&out);
    let (second, _) = set_up(&second).unwrap();
    assert_ne!(first, second);
    // The answer to the first comes after its time: it is nobody's.
    assert_eq!(said(&bench.tell(NodeEvent::ServerMessage(first, answer(9)))).count(), 0);
    assert_eq!(said(&bench.tell(NodeEvent::ServerMessage(second, answer(9)))).count(), 1);
}

#[test]
fn a_connection_on_which_an_answer_never_came_gets_nothing_new_though_notes_come_on_it() {
    let mut bench = Bench::with(Puppet::default());
    let asks = |bench: &mut Bench<Puppet>, id: u64| {
        bench.core.decider.0.push_back(Action::SetUp(name(id), ServerId(0), SECOND / 2));
        let out = bench.ask(id, "clip");
        let mut all = out.clone();
        all.extend(bench.made(&out));
        set_up(&all).map(|(conn, _)| conn).expect("sent")
    };
    let first = asks(&mut bench, 1);
    bench.tell(NodeEvent::ServerMessage(first, answer(1)));
    assert_eq!(asks(&mut bench, 2), first, "one that works is kept");
    bench.after(SECOND / 4);
    bench.tell(NodeEvent::ServerMessage(first, Message::new(kind::NOTE, 1).with(24, "port").with(39, "0.5")));
    bench.after(SECOND / 2);
    assert_ne!(asks(&mut bench, 3), first);
}

#[test]
fn a_connection_that_cannot_be_read_is_hung_up_counted_and_its_set_up_has_failed() {
    let mut bench = Bench::new();
    let out = bench.ask(9, "paid");
    let out = bench.made(&out);
    let (conn, _) = set_up(&out).unwrap();
    let out = bench.tell(NodeEvent::ServerUnreadable(conn));
    assert!(out.contains(&Command::CloseServer(conn)) && said(&out).any(|m| m.cause() == Some(FAILED)));
    assert_eq!(bench.core.counts().unreadable, 1);
}

#[test]
fn a_late_answer_of_the_same_server_is_not_taken_for_the_answer_to_the_next_attempt() {
    let mut bench = Bench::with(Puppet::default());
    let asks = |bench: &mut Bench<Puppet>, input: NodeEvent| {
        let out = bench.tell(input);
        let mut all = out.clone();
        all.extend(bench.made(&out));
        set_up(&all).map(|(conn, _)| conn).expect("sent")
    };
    let again = Action::SetUp(name(9), ServerId(0), SECOND / 2);
    bench.core.decider.0.push_back(again.clone());
    let first = asks(&mut bench, NodeEvent::ClientMessage(ClientId(1), request(9, "clip", "")));
    // The time-out, and another attempt at the same media server, which has heard of the give-up.
    bench.now += SECOND / 2;
    bench.tick_unclosed();
    bench.core.decider.0.push_back(again);
    let second = asks(&mut bench, NodeEvent::ServerMessage(first, Message::new(kind::RELEASE_ACK, 9)));
    assert_ne!(first, second);
    assert_eq!(said(&bench.tell(NodeEvent::ServerMessage(first, answer(9)))).count(), 0);
    assert_eq!(said(&bench.tell(NodeEvent::ServerMessage(second, answer(9)))).count(), 1);
}

#[test]
fn what_is_paid_is_set_up_again_only_if_it_never_ran() {
    // Refused, and not made in time: not a byte was written.
    for error in [DialError::Refused, DialError::TimedOut] {
        let mut bench = Bench::new();
        let out = bench.ask(9, "paid");
        let Some(Command::Connect(conn, _)) = out.iter().find(|o| matches!(o, Command::Connect(..))) else {
            panic!()
        };
        let out = bench.tell(NodeEvent::ConnectEnded(*conn, Err(error)));
        assert!(out.iter().any(|o| matches!(o, Command::Connect(..))), "{out:?}");
    }
    // Turned away unseen, and moot.
    for (cause, again) in [(cause::FULL, true), (cause::NOT_SENT, true), (cause::ERROR, false), (99, false)] {
        let mut bench = Bench::new();
        let out = bench.ask(9, "paid");
        let out = bench.made(&out);
        let (conn, _) = set_up(&out).unwrap();
        let out = bench.tell(NodeEvent::ServerMessage(conn, Message::release(9, cause)));
        assert_eq!(out.iter().any(|o| matches!(o, Command::Connect(..))), again, "{cause}: {out:?}");
        let failed = said(&out).any(|m| m.kind == kind::RELEASE && m.cause() == Some(FAILED));
        assert_eq!(failed, !again, "{cause}");
    }
    // The connection ends with it written.
    let mut bench = Bench::new();
    let out = bench.ask(9, "paid");
    let out = bench.made(&out);
    let (conn, _) = set_up(&out).unwrap();
    let out = bench.tell(NodeEvent::ServerClosed(conn));
    assert!(said(&out).any(|m| m.cause() == Some(FAILED)) && set_up(&out).is_none());
}

#[test]
fn a_connection_that_ends_takes_the_open_set_ups_and_leaves_what_stands() {
    let mut bench = Bench::new();
    let (conn, at) = bench.playing(1, "clip");
    let mut open = None;
    for id in 2..40 {
        let out = bench.ask(id, "clip");
        if set_up(&out).is_some_and(|(on, _)| on == conn) {
            open = Some(id);
            break;
        }
        bench.made(&out);
    }
    let open = open.expect("a second one on the same connection");
    let out = bench.tell(NodeEvent::ServerClosed(conn));
    assert!(bench.core.sessions[&1].session.playing().is_some());
    assert!(!bench.core.pool.out().contains(&open) || bench.core.sessions[&open].session.attempts > 1);
    assert!(
        out.iter().any(|o| matches!(o, Command::Connect(_, to) if *to == at)),
        "it is looked at: {out:?}"
    );
}

#[test]
fn a_connection_carries_no_more_set_ups_than_the_settings_allow() {
    let mut bench = Bench::with(Puppet::default());
    for id in 1..=30 {
        bench.core.decider.0.push_back(Action::SetUp(name(id), ServerId(0), 0));
        let out = bench.ask(id, "clip");
        bench.made(&out);
    }
    let mut on = BTreeMap::new();
    for entry in bench.core.sessions.values() {
        *on.entry(entry.conn).or_insert(0) += 1;
    }
    assert_eq!(on.remove(&None), Some(6), "six connections to a box, four set-ups on each");
    assert_eq!(on.into_values().collect::<Vec<_>>(), [4; 6]);
}

#[test]
fn a_probe_on_a_new_connection_is_not_failed_by_the_connection_being_made() {
    let probed = |event: &Event| match event {
        Event::Probed { outcome, report, .. } => Some((*outcome, report.clone())),
        _ => None,
    };
    let asked = || {
        let mut bench = Bench::with(Puppet::default());
        bench.core.decider.0.push_back(Action::Probe(ServerId(1)));
        let out = bench.ask(1, "clip");
        (bench, out)
    };
    let (mut bench, out) = asked();
    let out = bench.made(&out);
    let (conn, message) = sent(&out, kind::TEST)[0];
    let passed = Message::new(kind::TEST_RESULT, message.session).with(code::CAUSE, [1]);
    bench.tell(NodeEvent::ServerMessage(conn, passed.with(code::REPORT, "active:3;x0:0.5")));
    bench.after(SECOND);
    let heard: Vec<_> = bench.core.decider.1.iter().filter_map(probed).collect();
    assert_eq!(heard, [(Outcome::Ok, vec![3.0, 0.5])]);
    // Not made, it is failed at once; not answered, in time.
    let (mut bench, out) = asked();
    let Some(Command::Connect(conn, _)) = out.last() else { panic!("{out:?}") };
    bench.tell(NodeEvent::ConnectEnded(*conn, Err(DialError::Refused)));
    assert_eq!(bench.core.decider.1.iter().find_map(probed), Some((Outcome::NoConnection, vec![])));
    let (mut bench, out) = asked();
    bench.made(&out);
    bench.after(SECOND);
    assert_eq!(bench.core.decider.1.iter().find_map(probed), Some((Outcome::TimedOut, vec![])));
}

#[test]
fn a_dead_process_is_told_from_a_broken_connection_and_its_clients_come_again_at_once() {
    let mut bench = Bench::new();
    let (conn, at) = bench.playing(1, "clip");
    let out = bench.tell(NodeEvent::ServerClosed(conn));
    assert_eq!(said(&out).count(), 0, "a reset cuts nothing that stands");
    let dial = |out: &[Command]| {
        out.iter().find_map(|o| match o {
            Command::Connect(conn, to) if *to == at => Some(*conn),
            _ => None,
        })
    };
    let look = dial(&out).expect("a look");
    let mut out = bench.tell(NodeEvent::ConnectEnded(look, Err(DialError::Refused)));
    assert_eq!(said(&out).count(), 0);
    out.extend(bench.after(SECOND / 5));
    let look = dial(&out).expect("a second look");
    let out = bench.tell(NodeEvent::ConnectEnded(look, Err(DialError::Refused)));
    let released: Vec<_> = said(&out).map(|m| (m.kind, m.session, m.cause())).collect();
    assert_eq!(released, [(kind::RELEASE, 1, Some(cause::BROKEN))]);
    assert!(bench.core.sessions.is_empty() && bench.core.health.states().next().is_none());
}

#[test]
fn a_machine_that_vanished_is_missed_within_eight_seconds_though_its_connection_stands() {
    let mut bench = Bench::new();
    bench.playing(1, "clip");
    let (mut released, until) = (None, bench.now + 8 * SECOND);
    while released.is_none() && bench.now < until {
        // Nothing is heard, and no new connection is made: the dials time out by themselves.
        let out = bench.after(SECOND / 20);
        released = said(&out).find(|m| m.kind == kind::RELEASE).map(|_| bench.now);
    }
    assert!(released.is_some());
    assert_eq!(bench.core.held()[..2], [0, 0]);
}

#[test]
fn a_server_that_lives_and_says_nothing_keeps_its_sessions() {
    let mut bench = Bench::new();
    bench.playing(1, "clip");
    for _ in 0..600 {
        let out = bench.after(SECOND / 20);
        assert_eq!(said(&out).count(), 0);
        bench.made(&out);
    }
    assert_eq!(bench.core.held()[1], 1);
    assert!(bench.core.pool.connections_to(ServerId(0)).len() <= 4, "looks do not pile up");
}

// Danger: closed at once, an idle connection takes along what its media server says on it in that instant.
#[test]
fn what_a_server_says_as_its_idle_connection_is_ended_is_heard_and_the_end_proves_nothing() {
    let mut bench = Bench::new();
    let (conn, _) = bench.playing(1, "clip");
    bench.playing(2, "clip");
    let mut out = Vec::new();
    while !out.contains(&Command::FinishServer(conn)) {
        bench.now = bench.core.next_due().expect("it ends").max(bench.now);
        out.clear();
        bench.core.handle(bench.now, NodeEvent::Tick, &mut out);
        let dials: Vec<Command> = out.iter().filter(|o| matches!(o, Command::Connect(..))).cloned().collect();
        bench.made(&dials);
    }
    // Nothing new is put on it, and what comes on it counts.
    let out = bench.ask(3, "clip");
    assert!(!out.iter().any(|o| matches!(o, Command::SendToServer(on, _) if *on == conn)), "{out:?}");
    let out = bench.tell(NodeEvent::ServerMessage(conn, Message::release(1, cause::NORMAL)));
    assert!(said(&out).any(|m| m.kind == kind::RELEASE && m.session == 1), "{out:?}");
    let out = bench.tell(NodeEvent::ServerClosed(conn));
    assert_eq!(out, [], "no look at a media server for a connection that was ended here");
    assert!(!bench.core.pool.exists(conn));
}

#[test]
fn a_new_server_at_an_old_address_is_another_and_sessions_of_the_old_one_are_over() {
    let mut bench = Bench::new();
    let (conn, at) = bench.playing(1, "clip");
    let old = bench.core.sessions[&1].session.at().unwrap().server;
    let gone = ServerEntry { server: old, state: ServerState::Removed, ..ServerEntry::default() };
    let new = ServerEntry { server: ServerId(90), cell: old.0, units: 1.0, ..ServerEntry::default() };
    let lines = vec![Listed { entry: gone, address: at }, Listed { entry: new, address: at }];
    let out = bench.told(1, 6, Payload::Changes(lines));
    assert!(out.contains(&Command::CloseServer(conn)), "the old one's connection is never the new one's");
    assert!(said(&out).any(|m| m.kind == kind::RELEASE && m.session == 1));
    assert!(bench.core.pool.connections_to(ServerId(90)).is_empty());
}

#[test]
fn a_restarted_server_has_cut_what_was_set_up_before_and_nothing_since() {
    let mut bench = Bench::new();
    bench.playing(1, "clip");
    let server = bench.core.sessions[&1].session.at().unwrap().server;
    bench.after(SECOND);
    let mut again = line(server.0);
    again.entry.started = Some(bench.now - SECOND / 2);
    let out = bench.told(1, 6, Payload::Changes(vec![again.clone()]));
    assert!(said(&out).any(|m| m.kind == kind::RELEASE && m.session == 1));
    bench.playing(2, "clip");
    let server = bench.core.sessions[&2].session.at().unwrap().server;
    let mut told = line(server.0);
    told.entry.started = Some(bench.now - SECOND);
    let out = bench.told(1, 7, Payload::Changes(vec![told]));
    assert_eq!(said(&out).count(), 0);
}

#[test]
fn clients_end_sessions_on_any_connection_and_are_owed_no_release() {
    let mut bench = Bench::new();
    let (conn, _) = bench.playing(1, "clip");
    bench.tell(NodeEvent::ClientClosed(ClientId(1)));
    assert_eq!(bench.core.held()[1], 1, "what stands belongs to no connection");
    bench.tell(NodeEvent::ClientConnected(ClientId(2)));
    let out = bench.tell(NodeEvent::ClientMessage(ClientId(2), Message::release(1, 16)));
    let kinds: Vec<u8> = said(&out).map(|m| m.kind).collect();
    assert_eq!(kinds, [kind::RELEASE_ACK]);
    assert_eq!(sent(&out, kind::RELEASE).len(), 1);
    assert_eq!(said(&bench.tell(NodeEvent::ServerMessage(conn, Message::release(1, 31)))).count(), 0);
    assert!(bench.core.sessions.is_empty());
}

#[test]
fn a_client_that_gives_up_is_answered_no_more_and_its_set_up_is_taken_back() {
    let mut bench = Bench::new();
    let out = bench.ask(9, "paid");
    let out = bench.made(&out);
    let (conn, _) = set_up(&out).unwrap();
    let out = bench.tell(NodeEvent::ClientMessage(ClientId(1), Message::release(9, 16)));
    assert_eq!(sent(&out, kind::RELEASE), [(conn, &Message::release(9, 16))]);
    assert_eq!(
        said(&bench.tell(NodeEvent::ServerMessage(conn, answer(9)))).count(),
        0,
        "the answer crossed it"
    );
    assert!(bench.core.sessions.is_empty());
    // The same by a connection that goes.
    let out = bench.ask(10, "paid");
    bench.made(&out);
    let out = bench.tell(NodeEvent::ClientClosed(ClientId(1)));
    assert_eq!(sent(&out, kind::RELEASE).len(), 1);
    assert!(bench.core.sessions.is_empty());
}

#[test]
fn a_request_taken_back_leaves_nothing_on_its_connection_which_is_closed_in_time() {
    let mut bench = Bench::new();
    let out = bench.ask(9, "clip");
    bench.made(&out);
    bench.tell(NodeEvent::ClientMessage(ClientId(1), Message::release(9, 16)));
    let out = bench.after(9 * SECOND);
    assert!(out.contains(&Command::CloseClient(ClientId(1))), "nobody is served on it");
}

#[test]
fn nothing_decided_in_time_is_failed_in_time_and_once() {
    let mut bench = Bench::with(Puppet::default());
    bench.ask(9, "clip");
    let out = bench.after(4 * SECOND + 45_000);
    let answers: Vec<_> = said(&out).map(|m| (m.kind, m.session)).collect();
    assert_eq!(answers, [(kind::RELEASE, 9)]);
    assert_eq!(bench.core.counts().overdue, 1);
    assert!(bench.core.sessions.is_empty());
}

#[test]
fn whatever_a_module_asks_for_there_is_one_answer_and_one_attempt() {
    let mut bench = Bench::with(Puppet::default());
    let id = name(9);
    let actions = [
        Action::SetUp(id.clone(), ServerId(0), 0),
        Action::SetUp(id.clone(), ServerId(1), 0),
        Action::Refuse(id.clone(), 0),
        Action::Fail(id.clone()),
        Action::Move(id.clone()),
        Action::SetRung(id, 9),
    ];
    bench.core.decider.0.extend(actions);
    let out = bench.ask(9, "paid");
    assert_eq!(out.iter().filter(|o| matches!(o, Command::Connect(..))).count(), 1);
    let answers: Vec<_> = said(&out).map(|m| m.cause()).collect();
    assert_eq!(answers, [Some(FAILED)], "one answer, and no refusal while it may run");
    assert!(bench.core.counts().stopped >= 4);
}

#[test]
fn requests_that_cannot_be_used_are_answered_and_cost_the_module_nothing() {
    let mut bench = Bench::new();
    let bad = |id: u64, code: u8, value: &str| {
        let mut message = request(id, "clip", "");
        message.parameters.retain(|(other, _)| *other != code);
        message.with(code, value)
    };
    for (n, message) in [
        bad(11, code::CLASS, "gold"),
        bad(12, code::WAIT_MS, "-4"),
        bad(13, code::WAIT_MS, "nan"),
        bad(14, code::TITLE, "seven"),
        bad(15, code::LENGTH_HINT_MS, "1e300"),
        bad(16, code::REQUEST_FIELDS, "home:9;copies:3;top:2;viewer:0000000000000010"),
        bad(17, code::REQUEST_FIELDS, "home:0;copies:4;top:2;viewer:0000000000000010"),
        bad(18, code::REQUEST_FIELDS, "home:0;copies:3;top:3;viewer:0000000000000010"),
        bad(19, code::DESCRIPTION, ""),
        request(0, "clip", ""),
        Message::new(kind::SET_UP, 21),
    ]
    .into_iter()
    .enumerate()
    {
        let out = bench.tell(NodeEvent::ClientMessage(ClientId(1), message));
        let answers: Vec<_> = said(&out).map(|m| (m.kind, m.cause())).collect();
        assert_eq!(answers, [(kind::RELEASE, Some(cause::INVALID))], "{n}");
    }
    assert_eq!((bench.core.counts().taken, bench.core.counts().unusable), (0, 11));
}

#[test]
fn a_second_request_under_an_open_id_closes_its_own_connection_and_no_other() {
    let mut bench = Bench::new();
    let out = bench.ask(9, "clip");
    let out = bench.made(&out);
    let (conn, _) = set_up(&out).unwrap();
    bench.tell(NodeEvent::ClientConnected(ClientId(2)));
    let out = bench.tell(NodeEvent::ClientMessage(ClientId(2), request(9, "paid", "")));
    assert_eq!(out, [Command::CloseClient(ClientId(2))]);
    let out = bench.tell(NodeEvent::ServerMessage(conn, answer(9)));
    assert!(matches!(out[0], Command::SendToClient(ClientId(1), _)));
    // On the same connection, the first is answered before it closes.
    bench.ask(10, "clip");
    let out = bench.ask(10, "clip");
    assert!(said(&out).any(|m| m.session == 10) && out.contains(&Command::CloseClient(ClientId(1))));
}

#[test]
fn silent_connections_go_first_when_there_is_no_room_and_after_a_while_anyway() {
    let mut bench = Bench::new();
    bench.playing(1, "clip");
    let mut closed = Vec::new();
    for id in 2..400 {
        closed.extend(bench.tell(NodeEvent::ClientConnected(ClientId(id))));
    }
    assert!(bench.core.held()[2] <= 128);
    assert!(!closed.contains(&Command::CloseClient(ClientId(1))), "a viewer keeps its connection");
    bench.after(3 * SECOND);
    assert_eq!(bench.core.held()[2], 1);
}

#[test]
fn sessions_handed_over_twice_are_taken_in_once_and_looked_for_at_their_server() {
    let mut bench = Bench::new();
    let handed = request(5, "paid", ";at:s-00000001");
    let out = bench.tell(NodeEvent::ClientMessage(ClientId(1), handed.clone()));
    assert_eq!(said(&out).count(), 0, "it wants no answer");
    assert!(out.iter().any(|o| matches!(o, Command::Connect(_, to) if *to == address(1))));
    assert_eq!(bench.tell(NodeEvent::ClientMessage(ClientId(1), handed)), []);
    assert_eq!((bench.core.counts().resumed, bench.core.held()[1]), (1, 1));
}

#[test]
fn a_session_handed_over_at_a_high_rung_is_stepped_down_to_the_lowest_at_its_server() {
    let steps = |told: Option<usize>, to: usize| {
        let mut bench = Bench::with(Puppet::default());
        let out = bench.tell(NodeEvent::ClientMessage(ClientId(1), request(5, "clip", ";at:s-00000001")));
        bench.made(&out);
        let conn = bench.core.pool.connections_to(ServerId(1))[0];
        if let Some(rung) = told {
            let note = Message::new(kind::NOTE, 5).with(24, "level").with(39, rung.to_string());
            bench.tell(NodeEvent::ServerMessage(conn, note));
        }
        bench.core.decider.0.push_back(Action::SetRung(name(5), to));
        let out = bench.tell(NodeEvent::ServerMessage(
            conn,
            Message::new(kind::NOTE, 5).with(24, "port").with(39, "1.5"),
        ));
        sent(&out, kind::RUNG).into_iter().filter_map(|(_, m)| m.text(code::RUNG)?.parse().ok()).next()
    };
    assert_eq!(steps(Some(2), 0), Some(0), "the front believed it there already");
    assert_eq!(steps(None, 0), Some(0));
    assert_eq!(steps(Some(1), 1), None, "a change that is none is not paid for");
}

#[test]
fn a_moved_session_ends_at_its_server_and_its_client_is_known_when_it_comes_back() {
    let mut bench = Bench::with(Puppet::default());
    bench.core.decider.0.push_back(Action::SetUp(name(1), ServerId(0), 0));
    let (conn, _) = bench.playing(1, "clip");
    bench.core.decider.0.push_back(Action::Move(name(1)));
    let out = bench
        .tell(NodeEvent::ServerMessage(conn, Message::new(kind::NOTE, 1).with(24, "port").with(39, "0.5")));
    assert_eq!(said(&out).map(|m| m.kind).collect::<Vec<_>>(), [kind::MOVE]);
    let out = bench.after(SECOND);
    assert_eq!(sent(&out, kind::RELEASE).len(), 1, "the box did not end it by itself");
    assert!(bench.core.sessions.is_empty() && bench.core.moved.len() == 1);
    bench.tell(NodeEvent::ClientMessage(ClientId(1), request(2, "clip", "").with(33, "5")));
    assert_eq!(bench.core.moved.len(), 1, "another viewer");
    let mut back = request(3, "clip", "");
    back.parameters.retain(|(code, _)| *code != code::REQUEST_FIELDS);
    let figures = format!("home:0;copies:3;top:2;viewer:{:016x};again:1", 1);
    bench.tell(NodeEvent::ClientMessage(ClientId(1), back.with(code::REQUEST_FIELDS, figures)));
    assert!(bench.core.moved.is_empty());
}

#[test]
fn the_list_is_asked_again_after_a_gap_a_break_or_silence_and_doubles_change_nothing() {
    let mut bench = Bench::new();
    let gone = |id: u32| {
        let mut line = line(id);
        line.entry.state = ServerState::Removed;
        Payload::Changes(vec![line])
    };
    bench.told(1, 6, gone(0));
    assert_eq!(bench.core.servers.len(), 2);
    bench.told(1, 6, gone(1));
    assert_eq!(bench.core.servers.len(), 2, "the same number again");
    let out = bench.told(1, 8, gone(1));
    assert!(out.contains(&Command::ConnectList(2, address(200), 6)), "{out:?}");
    assert!(bench.told(1, 7, gone(1)).is_empty(), "the earlier call is over");
    bench.told(2, 7, gone(1));
    assert_eq!(bench.core.servers.len(), 1);
    bench.tell(NodeEvent::ListClosed(2));
    let out = bench.after(SECOND / 5);
    assert!(out.contains(&Command::ConnectList(3, address(200), 7)), "{out:?}");
    bench.tell(NodeEvent::ListConnected(3));
    let out = bench.after(5 * SECOND / 2);
    assert!(out.contains(&Command::ConnectList(4, address(200), 7)), "silent: {out:?}");
    let out = bench.tell(NodeEvent::CoordinatorMoved(address(201)));
    assert!(out.contains(&Command::ConnectList(5, address(201), 7)), "{out:?}");
}

#[test]
fn a_test_is_passed_only_once_the_list_was_heard_and_not_while_it_ends() {
    let passes = |bench: &mut Bench<Controller>| {
        let out = bench
            .tell(NodeEvent::ClientMessage(ClientId(1), Message::new(kind::TEST, 0).with(code::CAUSE, [0])));
        let cause = said(&out).next().and_then(Message::cause);
        cause == Some(1)
    };
    let core = Core::new(Controller::new(facts().settings, 7), facts(), 256, START);
    let mut bench = Bench { core, now: START, out: Vec::new() };
    bench.core.begin(START, (0..LISTED).map(line).collect(), 5, address(200), &mut bench.out);
    bench.tell(NodeEvent::ClientConnected(ClientId(1)));
    assert!(!passes(&mut bench));
    bench.told(1, 5, Payload::Nothing);
    assert!(passes(&mut bench));
    bench.tell(NodeEvent::Shutdown);
    assert!(!passes(&mut bench));
}

#[test]
fn an_ending_process_serves_what_still_comes_and_leaves_nothing_unanswered() {
    let mut bench = Bench::new();
    bench.playing(1, "clip");
    bench.tell(NodeEvent::Shutdown);
    bench.after(SECOND / 2);
    let out = bench.ask(2, "clip");
    let mut all = out.clone();
    all.extend(bench.made(&out));
    let (conn, _) = set_up(&all).expect("still served");
    let out = bench.after(SECOND / 2);
    assert!(!out.contains(&Command::Exit), "an answer is owed");
    let mut out = bench.tell(NodeEvent::ServerMessage(conn, answer(2)));
    assert!(said(&out).any(|m| m.kind == kind::ANSWER && m.session == 2));
    assert!(!out.contains(&Command::Exit), "not before the sockets were read");
    out.extend(bench.tell(NodeEvent::Tick));
    assert!(!out.contains(&Command::Exit), "not before its server has read that they are released");
    out.extend(bench.tell(NodeEvent::Tick));
    assert!(out.contains(&Command::Exit));
    let released = said(&out).filter(|m| m.kind == kind::RELEASE).map(|m| m.session);
    assert_eq!(released.collect::<Vec<_>>(), [1, 2], "their viewers go elsewhere at once");
}

#[test]
fn a_day_of_sessions_leaves_nothing_behind() {
    let mut bench = Bench::new();
    for id in 1..=2_000u64 {
        let out = bench.ask(id, if id % 3 == 0 { "paid" } else { "clip" });
        let mut all = out.clone();
        all.extend(bench.made(&out));
        if let Some((conn, _)) = set_up(&all) {
            match id % 5 {
                0 => drop(bench.tell(NodeEvent::ServerMessage(conn, Message::release(id, cause::FULL)))),
                1 => drop(bench.tell(NodeEvent::ClientMessage(ClientId(1), Message::release(id, 16)))),
                2 => drop(bench.tell(NodeEvent::ServerClosed(conn))),
                _ => {
                    bench.tell(NodeEvent::ServerMessage(conn, answer(id)));
                    bench.tell(NodeEvent::ServerMessage(conn, Message::release(id, cause::NORMAL)));
                }
            }
        }
        let out = bench.after(SECOND / 50);
        bench.made(&out);
    }
    for _ in 0..400 {
        let out = bench.after(SECOND / 10);
        bench.made(&out);
    }
    let [sessions, playing, doors, connections, timers] = bench.core.held();
    assert_eq!((sessions, playing, connections), (0, 0, 0));
    assert!(doors <= 1 && timers < 12, "{doors} {timers}");
    assert!(bench.core.probes.is_empty() && bench.core.pool.out().is_empty());
}

#[test]
fn what_is_given_up_on_is_answered_at_once_with_a_time_to_come_back() {
    let mut bench = Bench::new();
    let lines = (0..LISTED).map(|id| {
        let mut line = line(id);
        line.entry.state = ServerState::Draining;
        line
    });
    bench.told(1, 6, Payload::Changes(lines.collect()));
    let out = bench.ask(9, "paid");
    let answer = said(&out).next().expect("at once");
    assert_eq!((answer.cause(), answer.text(code::HOLD_OFF_MS)), (Some(cause::FULL), Some("1000")));
    assert!(bench.core.sessions.is_empty());
}

#[test]
fn a_drain_told_during_a_set_up_lets_it_stand_and_sends_nothing_more_there() {
    let mut bench = Bench::new();
    let out = bench.ask(1, "clip");
    let out = bench.made(&out);
    let (conn, _) = set_up(&out).unwrap();
    let drains = bench.core.sessions[&1].session.at().unwrap().server;
    let mut told = line(drains.0);
    told.entry.state = ServerState::Draining;
    bench.told(1, 6, Payload::Changes(vec![told]));
    let out = bench.tell(NodeEvent::ServerMessage(conn, answer(1)));
    assert!(said(&out).any(|m| m.kind == kind::ANSWER));
    for id in 2..12 {
        let (_, at) = bench.playing(id, "clip");
        assert_ne!(at, address(drains.0));
    }
}

#[test]
fn a_release_that_comes_twice_and_on_another_connection_is_told_the_client_once() {
    let mut bench = Bench::new();
    let (conn, at) = bench.playing(1, "clip");
    let out = bench.tell(NodeEvent::ServerClosed(conn));
    let look = out.iter().find_map(|o| match o {
        Command::Connect(conn, to) if *to == at => Some(*conn),
        _ => None,
    });
    let other = look.expect("a new connection");
    bench.tell(NodeEvent::ConnectEnded(other, Ok(())));
    let released = Message::release(1, cause::NORMAL);
    let out = bench.tell(NodeEvent::ServerMessage(other, released.clone()));
    assert_eq!(said(&out).collect::<Vec<_>>(), [&released]);
    let out = bench.tell(NodeEvent::ServerMessage(other, released));
    assert_eq!(said(&out).count(), 0);
    assert_eq!(sent(&out, kind::RELEASE_ACK).len(), 1);
}

#[test]
fn a_request_that_crossed_a_close_is_taken_on_a_new_connection() {
    let mut bench = Bench::new();
    bench.tell(NodeEvent::ClientConnected(ClientId(2)));
    bench.tell(NodeEvent::ClientMessage(ClientId(2), request(9, "paid", "")));
    bench.tell(NodeEvent::ClientClosed(ClientId(2)));
    assert!(bench.core.sessions.is_empty(), "whoever asked is gone");
    let out = bench.ask(9, "paid");
    let mut all = out.clone();
    all.extend(bench.made(&out));
    let (conn, _) = set_up(&all).expect("asked again");
    let out = bench.tell(NodeEvent::ServerMessage(conn, answer(9)));
    assert_eq!(out[0], Command::SendToClient(ClientId(1), answer(9)));
}

#[test]
fn an_answer_that_lay_unread_is_heard_before_its_time_out_and_never_plays_after_its_time() {
    for (stopped, plays) in [(3 * SECOND, true), (5 * SECOND, false)] {
        let mut bench = Bench::with(Puppet::default());
        bench.core.decider.0.push_back(Action::SetUp(name(1), ServerId(0), SECOND));
        let out = bench.ask(1, "paid");
        let made = bench.made(&out);
        let (conn, _) = set_up(&made).expect("set up");
        // The process stands still, past the set-up's time-out of a second; both answers wait in its sockets.
        bench.now += stopped;
        bench.tell(NodeEvent::ListFrame(1, Frame { number: 5, payload: Payload::Nothing }));
        let out = bench.tell(NodeEvent::ServerMessage(conn, answer(1)));
        let kinds: Vec<u8> = said(&out).map(|message| message.kind).collect();
        assert_eq!(kinds, [if plays { kind::ANSWER } else { kind::RELEASE }], "{stopped}");
        let ended = sent(&out, kind::RELEASE).len();
        assert_eq!(ended, usize::from(!plays), "what nobody may be told is ended at its box");
        assert_eq!(said(&bench.tell(NodeEvent::Tick)).count(), 0, "one answer");
    }
}
