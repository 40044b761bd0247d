//! Tests of session record replication and takeover.

use std::sync::Arc;

use salttally_accord::core::coordination::CoordinationState;
use salttally_accord::core::successors::{Successor, Successors};
use salttally_copies::core::{Incarnation, RecordBody, RecordKey};

use super::*;
use crate::core::agreed_rules::{AgreedRules, SettingsNames};
use crate::core::session_records::{self, AttemptLocation, AwaitingRecord, SessionRecord};

const LEASE: Micros = 1_000_000 * MS;
const OWN_INCARNATION: &str = "f0-00000001";
const OTHER_INCARNATION: &str = "f1-00000007";

fn coordination(until: Micros, heirs: Successors) -> Input {
    let (agreed, meet) = (Arc::default(), Arc::default());
    let state = CoordinationState {
        begun: 9,
        latest: 9,
        lease_until: until,
        grace_until: until,
        agreed,
        meet,
        successors: Arc::new(heirs),
    };
    Input::Coordination(Box::new(state))
}

fn successors(incarnation: &str, epoch: u64, by: &str, own: &str) -> Successors {
    let heir = Successor {
        epoch,
        name: by.into(),
        incarnation: own.into(),
        client_address: None,
        version: 9,
        settled: false,
    };
    Successors { by_incarnation: [(Incarnation::from(incarnation), heir)].into(), ended: BTreeMap::new() }
}

impl TestBench {
    fn with_replication() -> TestBench {
        let mut bench = TestBench::new();
        let names = SettingsNames {
            classes: vec!["clip".to_owned(), "paid".to_owned()],
            titles: [(TitleId(1), "one".to_owned())].into(),
            viewer: None,
        };
        bench.world = World {
            ledger: bench.world.ledger.with_rules(AgreedRules::new(names)).with_replication(),
            ..bench.world
        };
        bench.world.handle_input(coordination(LEASE, Successors::default()));
        bench
    }

    /// Opens a session for which the decider asks for a set-up; returns its id and the outputs.
    fn open_with_set_up(&mut self, class: usize) -> (SessionId, Vec<Output>) {
        let id = SessionId(format!("{OWN_INCARNATION}-{:010}", 1).into());
        let rung = usize::from(class == PAID);
        *self.actions.borrow_mut() =
            vec![Action::SetRung(id.clone(), rung), Action::SetUp(id.clone(), ServerId(0), 300 * MS)];
        self.world.opens.insert((VIEWER, Ticket(1)), None);
        let out = self.world.handle_input(Input::Open(VIEWER, Ticket(1), open_request(1, class)));
        (id, out)
    }

    fn complete_dials(&mut self) -> Vec<Output> {
        let dials = std::mem::take(&mut self.world.dials);
        dials.into_iter().flat_map(|conn| self.world.handle_input(Input::Dialed(conn, Ok(())))).collect()
    }

    fn report_replication(&mut self, id: &SessionId, stored: bool) -> Vec<Output> {
        self.world.handle_input(Input::RecordStored(session_records::session_key(id), stored))
    }

    fn is_released(&mut self, id: &SessionId) -> bool {
        self.complete_dials();
        let is_release =
            |request: &BoxRequest| matches!(request, BoxRequest::Release { session, .. } if session == id);
        self.world.exchanges.values().any(is_release)
    }
}

fn stored_records(out: &[Output]) -> Vec<(SessionRecord, bool)> {
    let decode_record = |output: &Output| match output {
        Output::StoreRecord(_, bytes, awaited) => Some((session_records::decode(bytes)?, *awaited)),
        _ => None,
    };
    out.iter().filter_map(decode_record).collect()
}

fn connection(bench: &TestBench) -> ConnId {
    *bench.world.exchanges.keys().next().expect("a set-up is in progress")
}

#[test]
fn paid_set_up_is_not_sent_before_its_record_is_replicated() {
    let mut bench = TestBench::with_replication();
    let (id, out) = bench.open_with_set_up(PAID);
    assert!(matches!(stored_records(&out)[..], [(SessionRecord::SetUpIntended(..), true)]), "{out:?}");
    assert!(bench.world.dials.is_empty() && bench.world.exchanges.is_empty());
    bench.report_replication(&id, true);
    assert_eq!(bench.world.dials.len(), 1);
    // A clip may be set up more than once, so it does not wait.
    let mut bench = TestBench::with_replication();
    let (_, out) = bench.open_with_set_up(CLIP);
    assert!(stored_records(&out).is_empty() && bench.world.dials.len() == 1);
}

#[test]
fn answer_is_not_sent_before_its_record_is_replicated() {
    for (stored, ended) in [(true, false), (false, false), (true, true)] {
        let mut bench = TestBench::with_replication();
        let (id, _) = bench.open_with_set_up(CLIP);
        bench.complete_dials();
        let conn = connection(&bench);
        let request = bench.world.exchanges.remove(&conn);
        assert!(request.is_some());
        bench.world.traces.get_mut(&id).unwrap().out.clear();
        let done =
            ExchangeEnd::Answered { answer: BoxAnswer::Done, report: vec![1.0, 0.1], keep_alive: true };
        let out = bench.world.handle_input(Input::Exchanged(conn, done));
        assert!(matches!(stored_records(&out)[..], [(SessionRecord::Plays(..), true)]), "{out:?}");
        assert!(bench.answers().is_empty());
        if ended {
            let number = bench.world.streams[&ServerId(0)];
            bench.world.handle_input(Input::Stream(ServerId(0), number, StreamEvent::Ended(id.clone(), 0)));
        }
        bench.report_replication(&id, stored);
        match (stored, ended) {
            (true, false) => assert!(matches!(bench.answers()[..], [Answer::Plays { .. }])),
            (_, _) => {
                assert_eq!(bench.answers(), [Answer::Failed(id.clone(), FailReason::GivenUp)]);
                assert_eq!(bench.is_released(&id), !ended, "a session without a viewer is released");
            }
        }
    }
}

#[test]
fn set_up_without_enough_replicas_is_refused_and_never_sent() {
    let mut bench = TestBench::with_replication();
    let (id, _) = bench.open_with_set_up(PAID);
    bench.report_replication(&id, false);
    assert!(matches!(bench.answers()[..], [Answer::Refused(_, after)] if after > 0));
    assert!(bench.world.dials.is_empty() && bench.world.exchanges.is_empty());
    assert_eq!((bench.outcomes(), bench.world.ledger.session_counts()), (vec![Outcome::NotSent], (0, 0)));
    // A late confirmation has no effect.
    bench.report_replication(&id, true);
    assert!(bench.world.dials.is_empty());
}

#[test]
fn session_waiting_for_replication_is_answered_before_its_deadline() {
    for class in [CLIP, PAID] {
        let mut bench = TestBench::with_replication();
        let (id, _) = bench.open_with_set_up(class);
        if class == CLIP {
            bench.complete_dials();
            let conn = connection(&bench);
            bench.world.traces.get_mut(&id).unwrap().out.clear();
            bench.world.exchanges.remove(&conn);
            let done =
                ExchangeEnd::Answered { answer: BoxAnswer::Done, report: vec![1.0, 0.1], keep_alive: true };
            bench.world.handle_input(Input::Exchanged(conn, done));
        }
        let limits = settings().limits;
        for _ in 0..60 {
            bench.world.now += 20 * MS;
            bench.world.handle_input(Input::Tick);
        }
        assert!(bench.world.now < 1_000_000_000 + 1_000 * MS + limits.answer_slack + 300 * MS);
        assert_eq!(bench.answers().len(), 1);
        assert!(matches!(bench.answers()[..], [Answer::Failed(..)]), "{:?}", bench.answers());
        assert_eq!(bench.world.ledger.session_counts(), (0, 0));
        assert_eq!(bench.is_released(&id), class == CLIP);
    }
}

#[test]
fn front_that_was_taken_over_drops_its_sessions_silently_and_starts_a_new_incarnation() {
    let mut bench = TestBench::with_replication();
    let (id, _) = bench.open_with_set_up(CLIP);
    bench.complete_dials();
    let conn = connection(&bench);
    bench.world.end_exchange(conn, 8);
    bench.report_replication(&id, true);
    assert_eq!(bench.world.ledger.session_counts(), (1, 1));
    bench.world.handle_input(coordination(LEASE, successors(OWN_INCARNATION, 1, "f1", "f1-00000002")));
    // The incarnation is known to be taken over: the close is not executed here.
    let close = bench.world.handle_input(Input::Close(VIEWER, Ticket(9), id.clone()));
    assert!(matches!(close[..], [Output::Reply(_, _, Reply::RetryAfter(_))]), "{close:?}");
    let out = bench.world.handle_input(Input::TakenOver(Incarnation::from(OWN_INCARNATION)));
    assert!(
        out.contains(&Output::Notify(VIEWER, Notification::Ended(id.clone(), EndReason::TakenOver))),
        "{out:?}"
    );
    assert!(out.contains(&Output::IncarnationChanged(Incarnation::from("f0-00000002"))), "{out:?}");
    assert!(
        !out.iter().any(|o| matches!(o, Output::DeleteRecord(_))),
        "deleting a record here would delete it at the successor"
    );
    assert!(!bench.is_released(&id) && bench.world.ledger.session_counts() == (0, 0));
    // The viewer is directed to the successor; new sessions belong to the new incarnation.
    let out = bench.world.handle_input(Input::Status(VIEWER, Ticket(8), id, Some(ViewerId(1))));
    assert!(
        matches!(&out[..], [Output::Reply(_, _, Reply::AtOtherFront(name, _))] if &**name == "f1"),
        "{out:?}"
    );
    bench.world.open(VIEWER, CLIP);
    assert!(bench.world.ledger.contains(&SessionId("f0-00000002-0000000002".into())));
}

#[test]
fn without_a_lease_sessions_are_neither_released_nor_reclaimed_nor_reported_unknown() {
    let mut bench = TestBench::with_replication();
    let (id, _) = bench.open_with_set_up(CLIP);
    bench.complete_dials();
    let conn = connection(&bench);
    bench.world.end_exchange(conn, 8);
    bench.report_replication(&id, true);
    bench.world.ledger.set_lease_time(|| LEASE + 1);
    bench.world.handle_input(Input::ClientClosed(VIEWER));
    assert!(
        bench.world.ledger.contains(&id) && !bench.is_released(&id),
        "the front cannot know who has the session"
    );
    let out = bench.world.handle_input(Input::Status(ClientId(7), Ticket(1), id.clone(), Some(ViewerId(1))));
    assert!(matches!(out[..], [Output::Reply(_, _, Reply::RetryAfter(_))]), "{out:?}");
    let unknown = SessionId(format!("{OTHER_INCARNATION}-0000000009").into());
    let out = bench.world.handle_input(Input::Status(ClientId(7), Ticket(2), unknown, Some(ViewerId(1))));
    assert!(matches!(out[..], [Output::Reply(_, _, Reply::RetryAfter(_))]), "{out:?}");
    // With a lease again, the viewer can reclaim it.
    bench.world.handle_input(coordination(2 * LEASE, Successors::default()));
    let out = bench.world.handle_input(Input::Status(ClientId(7), Ticket(3), id, Some(ViewerId(1))));
    assert!(matches!(out[..], [Output::Reply(_, _, Reply::Status { playing: Some(_), .. })]), "{out:?}");
}

/// A ledger that has taken over these records of another front, and the connection on which box 0 is asked
/// for the incarnation.
fn taken_over_ledger(stored_records: &[(u32, SessionRecord)]) -> (TestBench, ConnId) {
    let mut bench = TestBench::with_replication();
    bench.world.handle_input(coordination(LEASE, successors(OTHER_INCARNATION, 3, "f0", OWN_INCARNATION)));
    let all: Vec<(RecordKey, RecordBody)> = stored_records
        .iter()
        .map(|(n, record)| {
            (
                session_records::session_key(&other_session(*n)),
                RecordBody::from(session_records::encode(record)),
            )
        })
        .collect();
    bench.world.handle_input(Input::TakeOver(Incarnation::from(OTHER_INCARNATION), 3, all));
    bench.complete_dials();
    let asks = |request: &BoxRequest| matches!(request, BoxRequest::Claim { incarnation, epoch: 3 } if &**incarnation == OTHER_INCARNATION);
    let asked: Vec<ConnId> =
        bench.world.exchanges.iter().filter(|(_, request)| asks(request)).map(|(conn, _)| *conn).collect();
    assert_eq!(asked.len(), 4, "every box is asked");
    let first = bench
        .world
        .exchanges
        .keys()
        .copied()
        .find(|conn| asked.contains(conn) && bench.world.ledger.box_of(*conn) == Some(ServerId(0)));
    (bench, first.expect("box 0 is asked"))
}

fn other_session(n: u32) -> SessionId {
    SessionId(format!("{OTHER_INCARNATION}-{n:010}").into())
}

fn location(attempt: u32) -> AttemptLocation {
    AttemptLocation { server: 0, address: address(0), attempt }
}

fn recorded_request(bench: &TestBench) -> session_records::RecordedRequest {
    let replication = bench.world.ledger.replication_state();
    replication.to_record(&open_request(7, CLIP)).expect("the settings have its class and title")
}

#[test]
fn differences_between_records_and_box_are_reconciled() {
    let recorded_request = recorded_request(&TestBench::with_replication());
    let plays = |attempt| SessionRecord::Plays(location(attempt), 1, recorded_request.clone());
    let set_up_intended = |attempt| SessionRecord::SetUpIntended(location(attempt), recorded_request.clone());
    let held = |n, attempt, rung| HeldSession {
        session: other_session(n),
        attempt,
        rung,
        open_request: Some(open_request(7, CLIP)),
    };
    let all = [
        (1, plays(0)),
        (2, plays(0)),
        (3, plays(1)),
        (4, set_up_intended(0)),
        (5, set_up_intended(0)),
        (6, plays(0)),
        (8, SessionRecord::ReleasePending(location(2))),
    ];
    let (mut bench, conn) = taken_over_ledger(&all);
    bench.world.exchanges.remove(&conn);
    let held_there = vec![held(1, 0, 1), held(3, 0, 1), held(4, 0, 2), held(6, 0, 2), held(7, 0, 0)];
    bench
        .world
        .handle_input(Input::Exchanged(conn, ExchangeEnd::Claimed { held: held_there, keep_alive: true }));
    let contains = |bench: &TestBench, n| bench.world.ledger.contains(&other_session(n));
    assert!(contains(&bench, 1), "as recorded");
    assert!(!contains(&bench, 2), "recorded but not held: the session is over");
    assert!(
        !contains(&bench, 3) && bench.is_released(&other_session(3)),
        "another attempt plays: it is released"
    );
    assert!(contains(&bench, 4), "the possible set-up was executed: the session waits for its viewer");
    assert!(!contains(&bench, 5), "the possible set-up was not executed, and cannot be any more");
    assert!(contains(&bench, 7), "held without a record: the session waits for its viewer");
    assert!(bench.is_released(&other_session(8)), "the pending release is sent");
    for (n, rung) in [(6, 2), (4, 2), (1, 1)] {
        let out = bench.world.handle_input(Input::Status(
            ClientId(n.into()),
            Ticket(1),
            other_session(n),
            Some(ViewerId(7)),
        ));
        let at = |r: &Output| matches!(r, Output::Reply(_, _, Reply::Status { playing: Some((_, at, _)), .. }) if *at == rung);
        assert!(out.iter().any(at), "the rung that the box reports is in force: {out:?}");
    }
    // Two fronts never have the same session: a later successor takes it away, and nothing is sent to the
    // box.
    bench.world.handle_input(coordination(LEASE, successors(OTHER_INCARNATION, 4, "f2", "f2-00000003")));
    bench.world.exchanges.clear();
    bench.world.dials.clear();
    bench.world.handle_input(Input::TakeoverSuperseded(Incarnation::from(OTHER_INCARNATION)));
    assert!(!contains(&bench, 1) && !bench.is_released(&other_session(1)));
}

#[test]
fn failed_claim_is_retried_and_unclaimed_sessions_end() {
    let recorded_request = recorded_request(&TestBench::with_replication());
    let (mut bench, conn) = taken_over_ledger(&[(1, SessionRecord::Plays(location(0), 1, recorded_request))]);
    bench.world.exchanges.remove(&conn);
    bench.world.handle_input(Input::Exchanged(conn, ExchangeEnd::Broken));
    assert!(bench.world.ledger.contains(&other_session(1)));
    bench.world.exchanges.clear();
    bench.world.now += 300 * MS;
    bench.world.handle_input(Input::Tick);
    bench.complete_dials();
    let claims = |request: &BoxRequest| matches!(request, BoxRequest::Claim { .. });
    assert!(bench.world.exchanges.values().any(claims), "asked again");
    // A stream that opens before the box has been asked does not list the session: that is not a loss.
    let number = bench.world.streams[&ServerId(0)];
    bench.world.handle_input(Input::Stream(ServerId(0), number, StreamEvent::Up(vec![])));
    assert!(bench.world.ledger.contains(&other_session(1)));
    let limits = settings().limits;
    bench.world.now += limits.takeover_retention;
    bench.world.handle_input(Input::Tick);
    assert!(!bench.world.ledger.contains(&other_session(1)), "no viewer reclaimed it");
}

#[test]
fn record_with_unknown_class_is_released_and_undecodable_record_is_skipped() {
    let (bench, _) = taken_over_ledger(&[]);
    let mut unknown_class = recorded_request(&bench);
    unknown_class.class = "gone".into();
    let recorded_request = recorded_request(&bench);
    let (mut bench, _) = taken_over_ledger(&[
        (1, SessionRecord::Plays(location(0), 1, unknown_class)),
        (2, SessionRecord::Plays(location(0), 1, recorded_request)),
    ]);
    assert!(!bench.world.ledger.contains(&other_session(1)) && bench.is_released(&other_session(1)));
    assert!(bench.world.ledger.contains(&other_session(2)));
    let faults = bench.world.ledger.counts().faults;
    let bad: Vec<(RecordKey, RecordBody)> =
        vec![(session_records::session_key(&other_session(3)), RecordBody::from(vec![0xff; 9]))];
    bench.world.handle_input(Input::TakeOver(Incarnation::from(OTHER_INCARNATION), 3, bad));
    assert_eq!(bench.world.ledger.counts().faults, faults + 1);
}

#[test]
fn cancelled_set_up_waiting_for_replication_is_never_sent() {
    let mut bench = TestBench::with_replication();
    let (id, _) = bench.open_with_set_up(PAID);
    bench.world.handle_input(Input::Cancel(VIEWER, Ticket(2), Ticket(1)));
    assert_eq!(bench.answers(), [Answer::Failed(id.clone(), FailReason::Cancelled)]);
    bench.report_replication(&id, true);
    assert!(bench.world.dials.is_empty() && bench.world.exchanges.is_empty());
    let replication = bench.world.ledger.replication_state();
    assert!(!replication.awaiting_record.values().any(|work| matches!(work, AwaitingRecord::SetUp(..))));
}
