//! Two events that cross, in the bad order each time. Where a process test forces the same order over sockets, it is
//! named in docs/design/crossings.md.

use super::*;

fn drains(id: u32, state: ServerState) -> Payload {
    let mut line = line(id);
    line.entry.state = state;
    Payload::Changes(vec![line])
}

fn set_up_at(server: u32) -> Action {
    Action::SetUp(name(9), ServerId(server), 2 * SECOND)
}

/// A request whose set-up waits for the connection to this media server.
fn waiting(class: &str) -> (Bench<Puppet>, ConnId) {
    let mut bench = Bench::with(Puppet::default());
    bench.core.decider.0.push_back(set_up_at(0));
    let out = bench.ask(9, class);
    let conn = out.iter().find_map(|o| match o {
        Command::Connect(conn, _) => Some(*conn),
        _ => None,
    });
    (bench, conn.expect("dialled"))
}

/// The same with the set-up written.
fn written(class: &str) -> (Bench<Puppet>, ConnId) {
    let (mut bench, conn) = waiting(class);
    assert!(set_up(&bench.tell(NodeEvent::ConnectEnded(conn, Ok(())))).is_some());
    (bench, conn)
}

fn outcomes(bench: &Bench<Puppet>) -> Vec<Outcome> {
    let ended = |event: &Event| match event {
        Event::Ended { outcome, .. } => Some(*outcome),
        _ => None,
    };
    bench.core.decider.1.iter().filter_map(ended).collect()
}

fn no_set_up(out: &[Command]) -> bool {
    sent(out, kind::SET_UP).is_empty()
}

#[test]
fn whoever_leaves_while_a_dial_is_under_way_is_not_sent_on() {
    let gone = [
        NodeEvent::ClientClosed(ClientId(1)),
        NodeEvent::ClientHalfClosed(ClientId(1)),
        NodeEvent::ClientMessage(ClientId(1), Message::release(9, cause::NORMAL)),
        NodeEvent::ClientUnreadable(ClientId(1)),
    ];
    for leaves in gone {
        let (mut bench, conn) = waiting("paid");
        bench.tell(leaves.clone());
        assert!(no_set_up(&bench.tell(NodeEvent::ConnectEnded(conn, Ok(())))), "{leaves:?}");
        assert!(bench.core.pool.out().is_empty() && bench.core.sessions.is_empty());
    }
}

#[test]
fn whoever_leaves_while_a_connection_takes_nothing_is_not_sent_on() {
    let (mut bench, conn) = written("clip");
    bench.tell(NodeEvent::ServerMessage(conn, answer(9)));
    bench.core.decider.0.push_back(Action::SetUp(name(10), ServerId(0), 0));
    let out = bench.ask(10, "paid");
    let (on, message) = set_up(&out).map(|(on, message)| (on, message.clone())).unwrap();
    assert_eq!(on, conn, "on the one that stands");
    // The edge hands back what it could not write a byte of.
    bench.tell(NodeEvent::ServerBlocked(conn, None, vec![message]));
    bench.tell(NodeEvent::ClientMessage(ClientId(1), Message::release(10, cause::NORMAL)));
    assert_eq!(outcomes(&bench).last(), Some(&Outcome::NoConnection), "it never ran");
    let out = bench.tell(NodeEvent::ServerWritable(conn));
    assert!(no_set_up(&out), "{out:?}");
}

#[test]
fn a_set_up_and_its_give_up_that_both_wait_are_both_dropped() {
    let (mut bench, conn) = written("clip");
    bench.tell(NodeEvent::ServerMessage(conn, answer(9)));
    bench.core.decider.0.push_back(Action::SetUp(name(10), ServerId(0), 0));
    let mut out = bench.ask(10, "paid");
    out.extend(bench.tell(NodeEvent::ClientMessage(ClientId(1), Message::release(10, cause::NORMAL))));
    let both = out.iter().filter_map(|o| match o {
        Command::SendToServer(on, message) if *on == conn => Some(message.clone()),
        _ => None,
    });
    let both: Vec<Message> = both.collect();
    assert_eq!(both.len(), 2);
    bench.tell(NodeEvent::ServerBlocked(conn, None, both));
    assert_eq!(bench.tell(NodeEvent::ServerWritable(conn)), []);
}

#[test]
fn half_a_set_up_is_never_made_whole_for_one_who_left_and_counts_as_never_run() {
    let (mut bench, conn) = written("paid");
    bench.tell(NodeEvent::ServerBlocked(conn, Some(9), Vec::new()));
    let out = bench.tell(NodeEvent::ClientHalfClosed(ClientId(1)));
    assert!(out.contains(&Command::CloseServer(conn)), "{out:?}");
    assert_eq!(outcomes(&bench), [Outcome::NoConnection]);
}

#[test]
fn what_no_byte_was_written_of_is_tried_again_and_nothing_else_of_a_stalled_connection() {
    let (mut bench, conn) = written("clip");
    bench.tell(NodeEvent::ServerMessage(conn, answer(9)));
    for id in [10, 11] {
        bench.core.decider.0.push_back(Action::SetUp(name(id), ServerId(0), 0));
        assert!(set_up(&bench.ask(id, "paid")).is_some_and(|(on, _)| on == conn));
    }
    bench.tell(NodeEvent::ServerBlocked(conn, None, vec![request(11, "paid", "")]));
    // Nothing new is put on it while it takes nothing.
    bench.core.decider.0.push_back(Action::SetUp(name(12), ServerId(0), 0));
    let out = bench.ask(12, "paid");
    assert!(no_set_up(&out) && out.iter().any(|o| matches!(o, Command::Connect(..))), "{out:?}");
    bench.core.decider.1.clear();
    let out = bench.after(5 * SECOND / 2);
    assert!(out.contains(&Command::CloseServer(conn)), "it is of no more use: {out:?}");
    let of = |id: u64| {
        let ended = |event: &Event| match event {
            Event::Ended { session, outcome, .. } if *session == name(id) => Some(*outcome),
            _ => None,
        };
        bench.core.decider.1.iter().find_map(ended)
    };
    assert_eq!((of(10), of(11)), (Some(Outcome::Broken), Some(Outcome::NoConnection)));
}

#[test]
fn one_who_writes_no_more_has_an_answer_before_the_connection_goes() {
    let (mut bench, conn) = written("paid");
    let out = bench.tell(NodeEvent::ClientHalfClosed(ClientId(1)));
    let answer = out
        .iter()
        .position(|o| matches!(o, Command::SendToClient(_, m) if m.kind == kind::RELEASE && m.session == 9));
    let close = out.iter().position(|o| *o == Command::CloseClient(ClientId(1)));
    assert!(answer.unwrap() < close.unwrap(), "{out:?}");
    assert_eq!(sent(&out, kind::RELEASE).first().map(|(on, _)| *on), Some(conn), "and it is taken back");
}

#[test]
fn a_late_refusal_of_an_attempt_before_ends_neither_the_next_one_nor_what_plays() {
    for plays in [false, true] {
        let mut bench = Bench::with(Puppet::default());
        let again = Action::SetUp(name(9), ServerId(0), SECOND / 2);
        bench.core.decider.0.push_back(again.clone());
        let out = bench.ask(9, "clip");
        let made = bench.made(&out);
        let (first, _) = set_up(&made).unwrap();
        bench.now += SECOND / 2;
        bench.tick_unclosed();
        bench.core.decider.0.push_back(again);
        let out = bench.tell(NodeEvent::ServerMessage(first, Message::new(kind::RELEASE_ACK, 9)));
        let made = bench.made(&out);
        let (second, _) = set_up(&made).unwrap();
        assert_ne!(first, second);
        if plays {
            bench.tell(NodeEvent::ServerMessage(second, answer(9)));
        }
        for cause in [cause::FULL, cause::ERROR, cause::ON_PURPOSE, cause::NORMAL] {
            let out = bench.tell(NodeEvent::ServerMessage(first, Message::release(9, cause)));
            assert_eq!(said(&out).count(), 0, "{plays} {cause}: {out:?}");
        }
        assert_eq!(bench.core.sessions[&9].session.playing().is_some(), plays);
        assert_eq!(bench.core.sessions[&9].session.at().unwrap().number, 1, "the second is out");
    }
}

#[test]
fn the_end_of_a_session_on_a_connection_of_an_attempt_before_is_heard_once_its_own_is_ended_here() {
    let mut bench = Bench::with(Puppet::default());
    let attempt = |bench: &mut Bench<Puppet>, id: u64, input: NodeEvent| {
        bench.core.decider.0.push_back(Action::SetUp(name(id), ServerId(0), SECOND / 2));
        let out = bench.tell(input);
        let mut all = out.clone();
        all.extend(bench.made(&out));
        set_up(&all).map(|(conn, _)| conn).expect("sent")
    };
    let first = attempt(&mut bench, 9, NodeEvent::ClientMessage(ClientId(1), request(9, "clip", "")));
    let turned_away = NodeEvent::ServerMessage(first, Message::release(9, cause::NOT_SENT));
    let second = attempt(&mut bench, 9, turned_away);
    assert_ne!(first, second);
    bench.tell(NodeEvent::ServerMessage(second, answer(9)));
    // A request times out on the connection of the session, which is ended for that and not closed yet.
    bench.now += 1;
    bench.tell(NodeEvent::ServerMessage(second, Message::new(kind::PROGRESS, 9)));
    let other = attempt(&mut bench, 10, NodeEvent::ClientMessage(ClientId(1), request(10, "clip", "")));
    assert_eq!(other, second);
    bench.now += SECOND / 2;
    let out = bench.tick_unclosed();
    assert!(out.contains(&Command::FinishServer(second)), "{out:?}");
    let out = bench.tell(NodeEvent::ServerMessage(first, Message::release(9, cause::NORMAL)));
    assert!(said(&out).any(|message| message.session == 9), "{out:?}");
}

#[test]
fn a_server_gets_no_second_attempt_until_it_has_shown_that_the_first_is_over() {
    let shown = [
        (Some(Message::new(kind::RELEASE_ACK, 9)), None, true),
        (Some(Message::release(9, cause::FULL)), None, true),
        (None, Some(NodeEvent::ServerClosed as fn(ConnId) -> NodeEvent), true),
        (None, Some(NodeEvent::ServerLost as fn(ConnId) -> NodeEvent), false),
        (Some(answer(9)), None, false),
        (Some(Message::new(kind::RELEASE_ACK, 8)), None, false),
    ];
    for (says, ends, is_over) in shown {
        let mut bench = Bench::with(Puppet::default());
        bench.core.decider.0.push_back(set_up_at(0));
        let out = bench.ask(9, "clip");
        let made = bench.made(&out);
        let (first, _) = set_up(&made).unwrap();
        bench.now += 2 * SECOND;
        bench.tick_unclosed();
        match (says, ends) {
            (Some(message), _) => drop(bench.tell(NodeEvent::ServerMessage(first, message))),
            (_, Some(ends)) => drop(bench.tell(ends(first))),
            _ => {}
        }
        bench.core.decider.0.push_back(set_up_at(0));
        // Any event at all.
        bench.tell(NodeEvent::ClientMessage(ClientId(1), request(10, "clip", "")));
        let is_out = bench.core.sessions[&9].session.out().is_some();
        assert_eq!(is_out, is_over, "{:?}", bench.core.decider.1);
    }
}

#[test]
fn an_attempt_goes_on_no_connection_of_any_attempt_before() {
    let mut bench = Bench::with(Puppet::default());
    let mut used = Vec::new();
    for server in [0, 1, 0] {
        bench.core.decider.0.push_back(set_up_at(server));
        let out = match used.last() {
            None => bench.ask(9, "clip"),
            Some(conn) => bench.tell(NodeEvent::ServerMessage(*conn, Message::release(9, cause::FULL))),
        };
        let made = bench.made(&out);
        let (conn, _) = set_up(&made).or(set_up(&out)).expect("set up");
        assert!(!used.contains(&conn), "a second copy of the refusal would end it");
        used.push(conn);
    }
}

#[test]
fn an_end_that_no_connection_is_there_for_is_told_on_the_next_one() {
    let mut bench = Bench::new();
    let (conn, _) = bench.playing(1, "clip");
    bench.tell(NodeEvent::ClientClosed(ClientId(1)));
    let released = Message::release(1, cause::NORMAL);
    assert_eq!(said(&bench.tell(NodeEvent::ServerMessage(conn, released.clone()))).count(), 0);
    bench.after(SECOND);
    bench.tell(NodeEvent::ClientConnected(ClientId(2)));
    let test = Message::new(kind::TEST, 0).with(code::CAUSE, [0]);
    let out = bench.tell(NodeEvent::ClientMessage(ClientId(2), test.clone()));
    assert_eq!(said(&out).next(), Some(&released));
    let out = bench.tell(NodeEvent::ClientMessage(ClientId(2), test));
    assert!(said(&out).all(|m| m.kind != kind::RELEASE), "once");
}

#[test]
fn an_end_told_before_the_session_is_handed_over_ends_it_then() {
    for (cause, told) in
        [(cause::NORMAL, Some(cause::NORMAL)), (99, Some(cause::BROKEN)), (cause::ON_PURPOSE, None)]
    {
        let mut bench = Bench::new();
        let (conn, at) = bench.playing(1, "clip");
        let server = (0..LISTED).find(|id| address(*id) == at).unwrap();
        bench.tell(NodeEvent::ServerMessage(conn, Message::release(77, cause)));
        let out = bench
            .tell(NodeEvent::ClientMessage(ClientId(1), request(77, "clip", &format!(";at:s-{server:08x}"))));
        let released: Vec<Option<u8>> = said(&out).map(Message::cause).collect();
        assert_eq!(released, told.into_iter().map(Some).collect::<Vec<_>>(), "{cause}");
        assert!(!bench.core.sessions.contains_key(&77));
    }
}

#[test]
fn a_drain_told_while_a_set_up_waits_for_its_connection_sends_it_elsewhere() {
    let (mut bench, conn) = waiting("paid");
    bench.told(1, 6, drains(0, ServerState::Draining));
    assert_eq!(outcomes(&bench), [Outcome::NotSent]);
    let listed = bench
        .core
        .decider
        .1
        .iter()
        .position(|e| matches!(e, Event::Servers(ListKind::Changes, l) if !l.is_empty()));
    let ended = bench.core.decider.1.iter().position(|e| matches!(e, Event::Ended { .. }));
    assert!(listed.unwrap() < ended.unwrap(), "or it would be sent there again");
    assert!(no_set_up(&bench.tell(NodeEvent::ConnectEnded(conn, Ok(())))));
}

#[test]
fn a_server_that_goes_and_returns_at_its_address_gets_nothing_that_waited_for_the_one_before() {
    let (mut bench, conn) = waiting("paid");
    let out = bench.told(1, 6, drains(0, ServerState::Removed));
    assert!(out.contains(&Command::CloseServer(conn)));
    let ended = bench.core.decider.1.iter().position(|e| matches!(e, Event::Ended { .. }));
    let listed = bench.core.decider.1.iter().rposition(|e| matches!(e, Event::Servers(..)));
    assert!(listed.unwrap() < ended.unwrap(), "an attempt would be wasted on what is gone");
    let mut back = line(7);
    back.address = address(0);
    bench.told(1, 7, Payload::Changes(vec![back]));
    assert!(no_set_up(&bench.tell(NodeEvent::ConnectEnded(conn, Ok(())))));
}

#[test]
fn the_end_waits_for_connections_that_what_stands_is_released_on() {
    let mut bench = Bench::new();
    let (conn, _) = bench.playing(1, "clip");
    bench.tell(NodeEvent::ServerClosed(conn));
    let look = bench.core.pool.connections_to(bench.core.sessions[&1].session.at().unwrap().server);
    look.into_iter()
        .for_each(|conn| drop(bench.tell(NodeEvent::ConnectEnded(conn, Err(DialError::TimedOut)))));
    bench.tell(NodeEvent::Shutdown);
    let mut out = bench.after(9 * SECOND / 10);
    assert!(said(&out).any(|m| m.kind == kind::RELEASE && m.session == 1));
    assert!(!out.contains(&Command::Exit), "nothing has told its box: {out:?}");
    let dials: Vec<Command> = out.iter().filter(|o| matches!(o, Command::Connect(..))).cloned().collect();
    out = bench.made(&dials);
    assert!(sent(&out, kind::RELEASE).iter().any(|(_, m)| m.session == 1), "{out:?}");
    assert!(!bench.tell(NodeEvent::Tick).contains(&Command::Exit), "it has not read it yet");
    assert!(bench.tell(NodeEvent::Tick).contains(&Command::Exit), "it has closed its connection");
}

#[test]
fn a_server_that_cannot_be_reached_holds_no_end_up_past_the_kill() {
    let mut bench = Bench::new();
    let (conn, _) = bench.playing(1, "clip");
    bench.tell(NodeEvent::ServerClosed(conn));
    bench.tell(NodeEvent::Shutdown);
    // 3 s are counted of the longest deadline, and the kill comes 0.7 s later.
    let out = bench.after(3_700_000);
    assert!(out.contains(&Command::Exit), "{out:?}");
    let dials = out.iter().filter(|command| matches!(command, Command::Connect(..))).count();
    assert!(dials >= 4, "it may come back: {dials} dials");
}

#[test]
fn a_request_that_is_read_when_all_is_released_is_turned_away_and_not_sent_on() {
    let mut bench = Bench::new();
    let (conn, _) = bench.playing(1, "clip");
    bench.tell(NodeEvent::ServerClosed(conn));
    bench.tell(NodeEvent::Shutdown);
    while bench.core.releasing_until.is_none() {
        bench.after(SECOND / 100);
    }
    let out = bench.ask(2, "paid");
    assert_eq!(said(&out).map(Message::cause).collect::<Vec<_>>(), [Some(cause::NOT_SENT)]);
    assert!(no_set_up(&out) && !out.iter().any(|o| matches!(o, Command::Connect(..))));
}

#[test]
fn a_second_word_to_end_and_a_new_coordinator_meanwhile_change_nothing_of_the_end() {
    let mut bench = Bench::new();
    bench.playing(1, "clip");
    bench.tell(NodeEvent::Shutdown);
    bench.after(SECOND / 2);
    bench.tell(NodeEvent::CoordinatorMoved(address(201)));
    bench.tell(NodeEvent::Shutdown);
    let out = bench.after(SECOND / 2);
    assert!(out.contains(&Command::Exit), "0.8 s after the first");
}

#[test]
fn a_call_that_does_not_come_up_is_made_again_in_time_for_what_would_have_been_told() {
    let mut bench = Bench::new();
    // The call stands and falls silent; no further one comes up. What would have been told counts 4 s later.
    bench.tell(NodeEvent::ListConnected(1));
    let out = bench.after(4 * SECOND);
    let calls = out.iter().filter(|o| matches!(o, Command::ConnectList(..))).count();
    assert!(calls >= 3, "{calls}");
}

#[test]
fn a_start_without_a_coordinator_serves_by_the_list_it_was_given() {
    let core = Core::new(Controller::new(facts().settings, 7), facts(), 256, START);
    let mut bench = Bench { core, now: START, out: Vec::new() };
    bench.core.begin(START, (0..LISTED).map(line).collect(), 5, address(200), &mut bench.out);
    bench.tell(NodeEvent::ClientConnected(ClientId(1)));
    bench.after(2 * SECOND);
    assert!(!bench.core.ready());
    bench.after(2 * SECOND);
    assert!(bench.core.ready(), "well within the 10 s of a restart");
    bench.playing(1, "paid");
    // One that was started with no list has nothing to serve by.
    let core = Core::new(Controller::new(facts().settings, 7), facts(), 256, START);
    let mut bench = Bench { core, now: START, out: Vec::new() };
    bench.core.begin(START, Vec::new(), 0, address(200), &mut bench.out);
    bench.after(20 * SECOND);
    assert!(!bench.core.ready());
}

// Caught a node that passed its tests with a list of nobody: it was given clients and served none of them.
#[test]
fn a_node_that_knows_no_server_is_not_ready_until_one_is_announced() {
    let core = Core::new(Controller::new(facts().settings, 7), facts(), 256, START);
    let mut bench = Bench { core, now: START, out: Vec::new() };
    bench.core.begin(START, Vec::new(), 5, address(200), &mut bench.out);
    bench.told(1, 5, Payload::Nothing);
    bench.after(SECOND);
    assert!(!bench.core.ready(), "heard, and nobody is listed");
    bench.told(1, 6, Payload::Whole(Vec::new()));
    assert!(!bench.core.ready(), "a whole list of nobody");
    bench.told(1, 7, Payload::Changes(vec![line(0)]));
    assert!(bench.core.ready());
}

#[test]
fn lack_of_descriptors_here_ends_nothing_that_plays_there() {
    let mut bench = Bench::new();
    let (conn, at) = bench.playing(1, "clip");
    let mut out = bench.tell(NodeEvent::ServerClosed(conn));
    for _ in 0..100 {
        let dials: Vec<ConnId> = out
            .iter()
            .filter_map(|o| match o {
                Command::Connect(conn, to) if *to == at => Some(*conn),
                _ => None,
            })
            .collect();
        dials
            .into_iter()
            .for_each(|conn| drop(bench.tell(NodeEvent::ConnectEnded(conn, Err(DialError::NotTried)))));
        out = bench.after(SECOND / 10);
    }
    assert_eq!(bench.core.counts().lost, 0);
    assert!(bench.core.sessions[&1].session.playing().is_some());
}

#[test]
fn an_answer_goes_out_before_the_decider_hears_of_it_and_loses_it_nothing() {
    let (mut bench, conn) = written("clip");
    let started =
        |bench: &Bench<Puppet>| bench.core.decider.1.iter().any(|e| matches!(e, Event::Started { .. }));
    let mut out = Vec::new();
    bench.core.handle(bench.now, NodeEvent::ServerMessage(conn, answer(9)), &mut out);
    assert!(said(&out).any(|m| m.kind == kind::ANSWER) && !started(&bench));
    // Whatever comes next, it hears of the answer first.
    bench.core.handle(
        bench.now,
        NodeEvent::ServerMessage(conn, Message::release(9, cause::NORMAL)),
        &mut out,
    );
    assert!(!started(&bench), "nor while more is read");
    bench.core.decide(bench.now, &mut out);
    let at = |what: fn(&Event) -> bool| bench.core.decider.1.iter().position(what);
    let (began, ended) =
        (at(|e| matches!(e, Event::Started { .. })), at(|e| matches!(e, Event::Ended { .. })));
    assert!(began.unwrap() < ended.unwrap());
}

#[test]
fn a_tick_does_what_was_due_when_the_sockets_were_looked_at_and_no_more() {
    let (mut bench, conn) = written("paid");
    let looked = bench.now;
    // Stopped between the look and the tick: the answer has come meanwhile, and so has the time-out.
    bench.now += 5 * SECOND / 2;
    bench.tell(NodeEvent::ListConnected(99));
    let mut out = Vec::new();
    bench.core.handle(looked, NodeEvent::Tick, &mut out);
    assert_eq!(said(&out).count(), 0, "{out:?}");
    assert_eq!(said(&bench.tell(NodeEvent::ServerMessage(conn, answer(9)))).next(), Some(&answer(9)));
}

#[test]
fn the_end_is_not_looked_at_by_a_later_time_than_the_sockets() {
    let mut bench = Bench::new();
    bench.tell(NodeEvent::Shutdown);
    let looked = bench.now;
    bench.now += 2 * SECOND;
    bench.tell(NodeEvent::ListConnected(99));
    let mut out = Vec::new();
    bench.core.handle(looked, NodeEvent::Tick, &mut out);
    assert!(!out.contains(&Command::Exit) && bench.core.releasing_until.is_none());
}

#[test]
fn a_session_that_is_over_before_its_answer_has_left_is_not_told_to_play() {
    let (mut bench, conn) = written("paid");
    let note = Message::new(kind::NOTE, 9).with(code::NOTE_KIND, "port").with(code::NOTE_VALUE, "0.5");
    let end = |cause| Message::release(9, cause);
    let out = bench.tell(NodeEvent::ServerMessages(conn, vec![answer(9), note, end(cause::ON_PURPOSE)]));
    let told: Vec<Option<u8>> = said(&out).map(Message::cause).collect();
    assert_eq!(told, [Some(FAILED)], "one answer, and a true one");
    assert_eq!(outcomes(&bench), [Outcome::Withdrawn], "its box is not blamed");
    assert!(bench.core.sessions.is_empty() && bench.core.pool.out().is_empty());
    // Of any other end its client is told as always.
    let (mut bench, conn) = written("paid");
    let out = bench.tell(NodeEvent::ServerMessages(conn, vec![answer(9), end(cause::NORMAL)]));
    assert_eq!(said(&out).map(|m| m.kind).collect::<Vec<_>>(), [kind::ANSWER, kind::RELEASE]);
}

#[test]
fn a_word_on_a_connection_that_was_never_the_attempts_ends_it_not() {
    let (mut bench, conn) = written("clip");
    let out = bench.tell(NodeEvent::ServerClosed(ConnId(77)));
    assert_eq!(out, []);
    // Another connection to the same media server, made for another session.
    bench.core.pool.mark_suspect(conn);
    bench.core.decider.0.push_back(Action::SetUp(name(10), ServerId(0), 0));
    let out = bench.ask(10, "clip");
    let made = bench.made(&out);
    let (other, _) = set_up(&made).unwrap();
    assert_ne!(other, conn);
    assert_eq!(
        said(&bench.tell(NodeEvent::ServerMessage(other, Message::release(9, cause::FULL)))).count(),
        0
    );
    assert!(bench.core.sessions[&9].session.out().is_some(), "it is out");
    assert!(outcomes(&bench).is_empty());
}
