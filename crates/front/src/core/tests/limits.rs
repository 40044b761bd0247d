//! Tests of the ledger with clients and boxes that disappear, request too much or report too much.

use super::*;

fn limits() -> Limits {
    settings().limits
}

fn status(bench: &mut TestBench, client: u64, id: &SessionId, viewer: u64) -> bool {
    let asked = Input::Status(ClientId(client), Ticket(900 + client), id.clone(), Some(ViewerId(viewer)));
    let out = bench.world.handle_input(asked);
    matches!(out[..], [Output::Reply(_, _, Reply::Status { .. })])
}

/// Advances the time while box 0 sends heartbeats.
fn later(bench: &mut TestBench, by: Micros) -> Vec<Output> {
    let mut out = Vec::new();
    let until = bench.world.now + by;
    while bench.world.now < until {
        bench.world.now = until.min(bench.world.now + 500 * MS);
        if let Some(number) = bench.world.streams.get(&ServerId(0)).copied() {
            out.extend(bench.world.handle_input(Input::Stream(ServerId(0), number, StreamEvent::Heartbeat)));
        }
        out.extend(bench.world.handle_input(Input::Tick));
    }
    out
}

/// A session plays at box 0, whose stream is open.
fn plays() -> (TestBench, SessionId) {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    let number = bench.world.streams[&ServerId(0)];
    bench.world.handle_input(Input::Stream(ServerId(0), number, StreamEvent::Up(vec![])));
    (bench, id)
}

#[test]
fn session_of_a_lost_client_can_be_reclaimed_only_within_the_retention_time() {
    let (mut bench, id) = plays();
    bench.world.handle_input(Input::ClientLost(VIEWER));
    assert_eq!(bench.world.ledger.session_counts(), (1, 1), "it plays on for a while");
    assert!(!bench.world.ledger.has_sessions(VIEWER));
    later(&mut bench, limits().lost_client_retention - MS);
    assert!(!status(&mut bench, 5, &id, 8), "not for another viewer");
    assert!(status(&mut bench, 6, &id, 1), "found again");
    later(&mut bench, limits().lost_client_retention);
    assert_eq!(bench.world.ledger.session_counts(), (1, 1), "it is claimed: the old grace ends nothing");
    bench.world.handle_input(Input::ClientLost(ClientId(6)));
    later(&mut bench, limits().lost_client_retention - MS);
    assert_eq!(bench.world.ledger.session_counts().1, 1, "and a second loss has a grace of its own");
    later(&mut bench, MS);
    assert_eq!(bench.world.ledger.session_counts(), (0, 0));
    assert_eq!(bench.world.ledger.pending_releases(), 1, "its box is told");
    assert!(!status(&mut bench, 7, &id, 1), "a word that comes after the grace finds nothing");
}

#[test]
fn claim_at_the_end_of_the_retention_time_either_succeeds_or_fails_completely() {
    for claim_first in [true, false] {
        let (mut bench, id) = plays();
        bench.world.handle_input(Input::ClientLost(VIEWER));
        later(&mut bench, limits().lost_client_retention - MS);
        bench.world.now += MS;
        if !claim_first {
            bench.world.handle_input(Input::Tick);
        }
        let found = status(&mut bench, 6, &id, 1);
        assert_eq!(found, claim_first);
        assert_eq!(bench.world.ledger.session_counts().1, usize::from(found), "what was told is so");
    }
}

#[test]
fn open_request_of_a_lost_client_is_given_up() {
    let mut bench = TestBench::new();
    let (_, conn) = bench.set_up(PAID);
    bench.world.handle_input(Input::ClientLost(VIEWER));
    bench.world.end_exchange(conn, 8);
    assert_eq!(bench.answers(), []);
    bench.world.run_until_idle();
    assert_eq!(bench.world.ledger.session_counts(), (0, 0));
}

#[test]
fn session_limits_per_connection_and_viewer_are_enforced() {
    let mut limits = limits();
    (limits.sessions_per_connection, limits.sessions_per_viewer) = (3, 2);
    let decider = ScriptedDecider::default();
    let mut ledger = Ledger::new(decider, settings().decision, limits, "f0", 1);
    let mut tickets = 0;
    let mut open = |ledger: &mut Ledger<ScriptedDecider>, client: u64, viewer: u64| {
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
fn reserved_places_are_only_for_moved_sessions() {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    bench.actions.borrow_mut().push(Action::Move(id.clone()));
    bench.world.handle_input(Input::List(ListKind::Changes, vec![listed(3, ServerState::Removed, None)]));
    let back = |viewer: u64, from: Option<SessionId>| {
        let opening = OpenRequest { moved_from: from, ..opening(viewer, CLIP) };
        Input::Reopen(ClientId(4), Ticket(50), opening)
    };
    bench.world.opens.insert((ClientId(4), Ticket(50)), None);
    for wrong in [back(1, None), back(2, Some(id.clone())), back(1, Some(SessionId("f0-x".into())))] {
        let out = bench.world.handle_input(wrong);
        assert!(matches!(out[..], [Output::Reply(_, _, Reply::ReturnsOnly(after))] if after > 0), "{out:?}");
    }
    assert_eq!(bench.world.ledger.counts().accepted, 1);
    bench.world.handle_input(back(1, Some(id)));
    assert_eq!(bench.world.ledger.counts().accepted, 2);
    assert!(bench.world.ledger.has_sessions(ClientId(4)));
}

#[test]
fn stream_that_never_reports_sessions_times_out() {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    let until = bench.world.now + limits().silence_timeout + limits().lost_timeout + 5_000 * MS;
    let mut told = Vec::new();
    while bench.world.now < until {
        // The box sends heartbeats and nothing else.
        told.extend(later(&mut bench, 50 * MS));
    }
    assert!(told.contains(&Output::Notify(VIEWER, Notification::Ended(id, EndReason::Lost))), "{told:?}");
}

#[test]
fn unknown_sessions_are_released_a_few_at_a_time() {
    let mut bench = TestBench::new();
    let number = bench.world.streams[&ServerId(0)];
    let name = |n: usize| SessionId(format!("f0-00000001-9{n:09}").into());
    let held = |n: usize| HeldSession { session: name(n), attempt: 0, rung: 0, open_request: None };
    let news = StreamEvent::Up((0..5_000).map(held).collect());
    let out = bench.world.handle_input(Input::Stream(ServerId(0), number, news.clone()));
    assert!(out.len() <= 64 && bench.world.ledger.pending_releases() == 32, "{} outputs", out.len());
    // Reported again, they are not released twice.
    bench.world.handle_input(Input::Stream(ServerId(0), number, news));
    let (mut seen, mut most) = (BTreeSet::new(), 0);
    for _ in 0..2_000 {
        for conn in std::mem::take(&mut bench.world.dials) {
            bench.world.handle_input(Input::Dialed(conn, Ok(())));
        }
        most = most.max(bench.world.exchanges.len());
        for (conn, request) in bench.world.exchanges.clone() {
            if let BoxRequest::Release { session, .. } = &request {
                assert!(seen.insert(session.clone()), "{session:?} twice");
            }
            bench.world.end_exchange(conn, 8);
        }
    }
    assert_eq!((seen.len(), most, bench.world.ledger.pending_releases()), (5_000, 32, 0));
}

#[test]
fn box_over_its_event_limit_is_cut_off_and_keeps_its_sessions() {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    let mut warned = 0;
    for _ in 0..3 {
        let number = bench.world.streams[&ServerId(0)];
        let up = vec![HeldSession { session: id.clone(), attempt: 0, rung: 1, open_request: None }];
        bench.world.handle_input(Input::Stream(ServerId(0), number, StreamEvent::Up(up)));
        let out = bench.world.handle_input(Input::Stream(
            ServerId(0),
            number,
            StreamEvent::CutOff("greedy".into()),
        ));
        warned += out.iter().filter(|o| matches!(o, Output::Log(Level::Warn, _))).count();
        assert!(!out.iter().any(|o| matches!(o, Output::OpenStream(..))), "not listened to at once");
        let out = later(&mut bench, 2_000 * MS);
        assert!(out.iter().any(|o| matches!(o, Output::OpenStream(ServerId(0), ..))), "but again: {out:?}");
    }
    assert_eq!((warned, bench.world.ledger.session_counts().1), (1, 1));
    assert_eq!(bench.world.ledger.counts().faults, 3);
}
