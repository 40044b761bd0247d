//! Peers that vanish, ask for too much or tell too much, as the ledger meets them.

use super::*;

fn limits() -> Limits {
    settings().limits
}

fn status(stage: &mut Stage, client: u64, id: &SessionId, viewer: u64) -> bool {
    let asked = Input::Status(ClientId(client), Ticket(900 + client), id.clone(), Some(ViewerId(viewer)));
    let out = stage.world.give(asked);
    matches!(out[..], [Output::Reply(_, _, Reply::Status { .. })])
}

/// Time passes, in which box 0 shows that it lives.
fn later(stage: &mut Stage, by: Micros) -> Vec<Output> {
    let mut out = Vec::new();
    let until = stage.world.now + by;
    while stage.world.now < until {
        stage.world.now = until.min(stage.world.now + 500 * MS);
        if let Some(number) = stage.world.streams.get(&ServerId(0)).copied() {
            out.extend(stage.world.give(Input::Stream(ServerId(0), number, StreamEvent::Heartbeat)));
        }
        out.extend(stage.world.give(Input::Tick));
    }
    out
}

/// A session plays at box 0, whose stream stands.
fn plays() -> (Stage, SessionId) {
    let mut stage = Stage::new();
    let (id, _) = stage.play();
    let number = stage.world.streams[&ServerId(0)];
    stage.world.give(Input::Stream(ServerId(0), number, StreamEvent::Up(vec![])));
    (stage, id)
}

#[test]
fn a_viewer_that_vanished_must_not_keep_its_place_and_one_that_is_back_in_time_finds_its_session() {
    let (mut stage, id) = plays();
    stage.world.give(Input::ClientLost(VIEWER));
    assert_eq!(stage.world.ledger.session_counts(), (1, 1), "it plays on for a while");
    assert!(!stage.world.ledger.has_sessions(VIEWER));
    later(&mut stage, limits().lost_client_retention - MS);
    assert!(!status(&mut stage, 5, &id, 8), "not for another viewer");
    assert!(status(&mut stage, 6, &id, 1), "found again");
    later(&mut stage, limits().lost_client_retention);
    assert_eq!(stage.world.ledger.session_counts(), (1, 1), "it is claimed: the old grace ends nothing");
    stage.world.give(Input::ClientLost(ClientId(6)));
    later(&mut stage, limits().lost_client_retention - MS);
    assert_eq!(stage.world.ledger.session_counts().1, 1, "and a second loss has a grace of its own");
    later(&mut stage, MS);
    assert_eq!(stage.world.ledger.session_counts(), (0, 0));
    assert_eq!(stage.world.ledger.pending_releases(), 1, "its box is told");
    assert!(!status(&mut stage, 7, &id, 1), "a word that comes after the grace finds nothing");
}

#[test]
fn a_claim_and_the_end_of_the_grace_in_one_instant_are_one_or_the_other() {
    for claim_first in [true, false] {
        let (mut stage, id) = plays();
        stage.world.give(Input::ClientLost(VIEWER));
        later(&mut stage, limits().lost_client_retention - MS);
        stage.world.now += MS;
        if !claim_first {
            stage.world.give(Input::Tick);
        }
        let found = status(&mut stage, 6, &id, 1);
        assert_eq!(found, claim_first);
        assert_eq!(stage.world.ledger.session_counts().1, usize::from(found), "what was told is so");
    }
}

#[test]
fn an_open_whose_viewer_vanished_is_given_up_and_leaves_nothing() {
    let mut stage = Stage::new();
    let (_, conn) = stage.set_up(PAID);
    stage.world.give(Input::ClientLost(VIEWER));
    stage.world.end_exchange(conn, 8);
    assert_eq!(stage.answers(), []);
    stage.world.quiet();
    assert_eq!(stage.world.ledger.session_counts(), (0, 0));
}

#[test]
fn one_connection_and_one_viewer_have_so_many_sessions_and_no_more() {
    let mut limits = limits();
    (limits.sessions_per_connection, limits.sessions_per_viewer) = (3, 2);
    let puppet = Puppet::default();
    let mut ledger = Ledger::new(puppet, settings().decision, limits, "f0", 1);
    let mut tickets = 0;
    let mut open = |ledger: &mut Ledger<Puppet>, client: u64, viewer: u64| {
        tickets += 1;
        let mut out = Vec::new();
        let opening = opening(viewer, CLIP);
        ledger.handle(1_000_000, Input::Open(ClientId(client), Ticket(tickets), opening), &mut out);
        let over = out.iter().find_map(|output| match output {
            Output::Reply(_, _, Reply::TooManySessions(_, by)) => Some(*by),
            _ => None,
        });
        over.map_or(Ok(tickets), Err)
    };
    assert!(open(&mut ledger, 1, 7).is_ok() && open(&mut ledger, 1, 7).is_ok());
    assert_eq!(open(&mut ledger, 2, 7), Err(LimitScope::Viewer), "on another connection too");
    let third = open(&mut ledger, 1, 8).expect("as many as it may");
    assert_eq!(open(&mut ledger, 1, 9), Err(LimitScope::Connection));
    assert_eq!(ledger.counts().accepted, 3, "what is told so was never accepted");
    let mut out = Vec::new();
    ledger.handle(1_000_000, Input::Cancel(ClientId(1), Ticket(99), Ticket(third)), &mut out);
    assert!(open(&mut ledger, 1, 9).is_ok(), "a place is free again");
}

#[test]
fn the_reserve_takes_only_viewers_that_come_back_for_what_was_moved() {
    let mut stage = Stage::new();
    let (id, _) = stage.play();
    stage.todo.borrow_mut().push(Action::Move(id.clone()));
    stage.world.give(Input::List(ListKind::Changes, vec![listed(3, ServerState::Removed, None)]));
    let back = |viewer: u64, from: Option<SessionId>| {
        let opening = OpenRequest { moved_from: from, ..opening(viewer, CLIP) };
        Input::Reopen(ClientId(4), Ticket(50), opening)
    };
    stage.world.opens.insert((ClientId(4), Ticket(50)), None);
    for wrong in [back(1, None), back(2, Some(id.clone())), back(1, Some(SessionId("f0-x".into())))] {
        let out = stage.world.give(wrong);
        assert!(matches!(out[..], [Output::Reply(_, _, Reply::ReturnsOnly(after))] if after > 0), "{out:?}");
    }
    assert_eq!(stage.world.ledger.counts().accepted, 1);
    stage.world.give(back(1, Some(id)));
    assert_eq!(stage.world.ledger.counts().accepted, 2);
    assert!(stage.world.ledger.has_sessions(ClientId(4)));
}

#[test]
fn a_box_that_takes_the_stream_and_never_says_what_it_holds_is_not_waited_for_without_end() {
    let mut stage = Stage::new();
    let (id, _) = stage.play();
    let until = stage.world.now + limits().silence_timeout + limits().lost_timeout + 5_000 * MS;
    let mut told = Vec::new();
    while stage.world.now < until {
        // It sends signs of life, and nothing else.
        told.extend(later(&mut stage, 50 * MS));
    }
    assert!(told.contains(&Output::Notify(VIEWER, Notification::Ended(id, EndReason::Lost))), "{told:?}");
}

#[test]
fn thousands_of_sessions_that_never_were_are_released_a_few_at_a_time() {
    let mut stage = Stage::new();
    let number = stage.world.streams[&ServerId(0)];
    let name = |n: usize| SessionId(format!("f0-00000001-9{n:09}").into());
    let held = |n: usize| HeldSession { session: name(n), attempt: 0, rung: 0, open_request: None };
    let news = StreamEvent::Up((0..5_000).map(held).collect());
    let out = stage.world.give(Input::Stream(ServerId(0), number, news.clone()));
    assert!(out.len() <= 64 && stage.world.ledger.pending_releases() == 32, "{} outputs", out.len());
    // Named again, they are not released twice.
    stage.world.give(Input::Stream(ServerId(0), number, news));
    let (mut seen, mut most) = (BTreeSet::new(), 0);
    for _ in 0..2_000 {
        for conn in std::mem::take(&mut stage.world.dials) {
            stage.world.give(Input::Dialed(conn, Ok(())));
        }
        most = most.max(stage.world.exchanges.len());
        for (conn, request) in stage.world.exchanges.clone() {
            if let BoxRequest::Release { session, .. } = &request {
                assert!(seen.insert(session.clone()), "{session:?} twice");
            }
            stage.world.end_exchange(conn, 8);
        }
    }
    assert_eq!((seen.len(), most, stage.world.ledger.pending_releases()), (5_000, 32, 0));
}

#[test]
fn a_box_that_tells_too_much_is_cut_off_told_once_and_keeps_its_sessions() {
    let mut stage = Stage::new();
    let (id, _) = stage.play();
    let mut warned = 0;
    for _ in 0..3 {
        let number = stage.world.streams[&ServerId(0)];
        let up = vec![HeldSession { session: id.clone(), attempt: 0, rung: 1, open_request: None }];
        stage.world.give(Input::Stream(ServerId(0), number, StreamEvent::Up(up)));
        let out = stage.world.give(Input::Stream(ServerId(0), number, StreamEvent::CutOff("greedy".into())));
        warned += out.iter().filter(|o| matches!(o, Output::Log(Level::Warn, _))).count();
        assert!(!out.iter().any(|o| matches!(o, Output::OpenStream(..))), "not listened to at once");
        let out = later(&mut stage, 2_000 * MS);
        assert!(out.iter().any(|o| matches!(o, Output::OpenStream(ServerId(0), ..))), "but again: {out:?}");
    }
    assert_eq!((warned, stage.world.ledger.session_counts().1), (1, 1));
    assert_eq!(stage.world.ledger.counts().faults, 3);
}
