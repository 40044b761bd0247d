//! Tests of the ledger with clients and boxes that disappear, request too much or report too much.

use super::*;

fn limits() -> Limits {
    settings().limits
}

fn is_reclaimed(bench: &mut TestBench, client: u64, id: &SessionId, viewer: u64) -> bool {
    let request = Input::Status(ClientId(client), Ticket(900 + client), id.clone(), Some(ViewerId(viewer)));
    let out = bench.world.handle_input(request);
    matches!(out[..], [Output::Reply(_, _, Reply::Status { .. })])
}

/// Advances the time while box 0 sends heartbeats.
fn advance(bench: &mut TestBench, duration: Micros) -> Vec<Output> {
    let mut out = Vec::new();
    let until = bench.world.now + duration;
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
fn playing_session() -> (TestBench, SessionId) {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    let number = bench.world.streams[&ServerId(0)];
    bench.world.handle_input(Input::Stream(ServerId(0), number, StreamEvent::Up(vec![])));
    (bench, id)
}

#[test]
fn session_of_a_lost_client_can_be_reclaimed_only_within_the_retention_time() {
    let (mut bench, id) = playing_session();
    bench.world.handle_input(Input::ClientLost(VIEWER));
    assert_eq!(bench.world.ledger.session_counts(), (1, 1), "it plays on for the retention time");
    assert!(!bench.world.ledger.has_sessions(VIEWER));
    advance(&mut bench, limits().lost_client_retention - MS);
    assert!(!is_reclaimed(&mut bench, 5, &id, 8), "not for another viewer");
    assert!(is_reclaimed(&mut bench, 6, &id, 1), "reclaimed by its viewer");
    advance(&mut bench, limits().lost_client_retention);
    assert_eq!(
        bench.world.ledger.session_counts(),
        (1, 1),
        "reclaimed: the first retention time no longer applies"
    );
    bench.world.handle_input(Input::ClientLost(ClientId(6)));
    advance(&mut bench, limits().lost_client_retention - MS);
    assert_eq!(bench.world.ledger.session_counts().1, 1, "a second loss starts a new retention time");
    advance(&mut bench, MS);
    assert_eq!(bench.world.ledger.session_counts(), (0, 0));
    assert_eq!(bench.world.ledger.pending_releases(), 1, "the box is told to release it");
    assert!(!is_reclaimed(&mut bench, 7, &id, 1), "too late to reclaim it");
}

#[test]
fn claim_at_the_end_of_the_retention_time_either_succeeds_or_fails_completely() {
    for claim_first in [true, false] {
        let (mut bench, id) = playing_session();
        bench.world.handle_input(Input::ClientLost(VIEWER));
        advance(&mut bench, limits().lost_client_retention - MS);
        bench.world.now += MS;
        if !claim_first {
            bench.world.handle_input(Input::Tick);
        }
        let found = is_reclaimed(&mut bench, 6, &id, 1);
        assert_eq!(found, claim_first);
        assert_eq!(
            bench.world.ledger.session_counts().1,
            usize::from(found),
            "the session exists only if it was reclaimed"
        );
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
        let open_request = open_request(viewer, CLIP);
        ledger.handle(1_000_000, Input::Open(ClientId(client), Ticket(tickets), open_request), &mut out);
        let exceeded = out.iter().find_map(|output| match output {
            Output::Reply(_, _, Reply::TooManySessions(_, scope)) => Some(*scope),
            _ => None,
        });
        exceeded.map_or(Ok(tickets), Err)
    };
    assert!(open(&mut ledger, 1, 7).is_ok() && open(&mut ledger, 1, 7).is_ok());
    assert_eq!(open(&mut ledger, 2, 7), Err(LimitScope::Viewer), "on another connection too");
    let third = open(&mut ledger, 1, 8).expect("within the limit");
    assert_eq!(open(&mut ledger, 1, 9), Err(LimitScope::Connection));
    assert_eq!(ledger.counts().accepted, 3, "rejected requests are not accepted");
    let mut out = Vec::new();
    ledger.handle(1_000_000, Input::Cancel(ClientId(1), Ticket(99), Ticket(third)), &mut out);
    assert!(open(&mut ledger, 1, 9).is_ok(), "below the limit again");
}

#[test]
fn reserved_places_are_only_for_moved_sessions() {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    bench.actions.borrow_mut().push(Action::Move(id.clone()));
    bench.world.handle_input(Input::List(ListKind::Changes, vec![listed(3, ServerState::Removed, None)]));
    let reopen = |viewer: u64, from: Option<SessionId>| {
        let open_request = OpenRequest { moved_from: from, ..open_request(viewer, CLIP) };
        Input::Reopen(ClientId(4), Ticket(50), open_request)
    };
    bench.world.opens.insert((ClientId(4), Ticket(50)), None);
    for wrong in [reopen(1, None), reopen(2, Some(id.clone())), reopen(1, Some(SessionId("f0-x".into())))] {
        let out = bench.world.handle_input(wrong);
        assert!(matches!(out[..], [Output::Reply(_, _, Reply::ReturnsOnly(after))] if after > 0), "{out:?}");
    }
    assert_eq!(bench.world.ledger.counts().accepted, 1);
    bench.world.handle_input(reopen(1, Some(id)));
    assert_eq!(bench.world.ledger.counts().accepted, 2);
    assert!(bench.world.ledger.has_sessions(ClientId(4)));
}

#[test]
fn stream_that_never_reports_sessions_times_out() {
    let mut bench = TestBench::new();
    let (id, _) = bench.play();
    let until = bench.world.now + limits().silence_timeout + limits().lost_timeout + 5_000 * MS;
    let mut outputs = Vec::new();
    while bench.world.now < until {
        // The box sends heartbeats and nothing else.
        outputs.extend(advance(&mut bench, 50 * MS));
    }
    assert!(
        outputs.contains(&Output::Notify(VIEWER, Notification::Ended(id, EndReason::Lost))),
        "{outputs:?}"
    );
}

#[test]
fn unknown_sessions_are_released_a_few_at_a_time() {
    let mut bench = TestBench::new();
    let number = bench.world.streams[&ServerId(0)];
    let name = |n: usize| SessionId(format!("f0-00000001-9{n:09}").into());
    let held = |n: usize| HeldSession { session: name(n), attempt: 0, rung: 0, open_request: None };
    let event = StreamEvent::Up((0..5_000).map(held).collect());
    let out = bench.world.handle_input(Input::Stream(ServerId(0), number, event.clone()));
    assert!(out.len() <= 64 && bench.world.ledger.pending_releases() == 32, "{} outputs", out.len());
    // Reported again, they are not released twice.
    bench.world.handle_input(Input::Stream(ServerId(0), number, event));
    let (mut released, mut max_concurrent) = (BTreeSet::new(), 0);
    for _ in 0..2_000 {
        for conn in std::mem::take(&mut bench.world.dials) {
            bench.world.handle_input(Input::Dialed(conn, Ok(())));
        }
        max_concurrent = max_concurrent.max(bench.world.exchanges.len());
        for (conn, request) in bench.world.exchanges.clone() {
            if let BoxRequest::Release { session, .. } = &request {
                assert!(released.insert(session.clone()), "{session:?} twice");
            }
            bench.world.end_exchange(conn, 8);
        }
    }
    assert_eq!((released.len(), max_concurrent, bench.world.ledger.pending_releases()), (5_000, 32, 0));
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
        assert!(!out.iter().any(|o| matches!(o, Output::OpenStream(..))), "not reopened at once");
        let out = advance(&mut bench, 2_000 * MS);
        assert!(
            out.iter().any(|o| matches!(o, Output::OpenStream(ServerId(0), ..))),
            "reopened after the pause: {out:?}"
        );
    }
    assert_eq!((warned, bench.world.ledger.session_counts().1), (1, 1));
    assert_eq!(bench.world.ledger.counts().faults, 3);
}
