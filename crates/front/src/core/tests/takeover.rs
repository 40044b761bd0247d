//! Tests of session record replication and takeover.

use std::sync::Arc;

use salttally_accord::core::heirs::{Heir, Heirs};
use salttally_accord::core::stand::Stand;
use salttally_copies::core::{Bytes, Key, Life};

use super::*;
use crate::core::agreed_rules::{AgreedRules, SettingsNames};
use crate::core::session_records::{self, AttemptLocation, AwaitingRecord, SessionRecord};

const LEASE: Micros = 1_000_000 * MS;
const OWN: &str = "f0-00000001";
const OTHER: &str = "f1-00000007";

fn stand(until: Micros, heirs: Heirs) -> Input {
    let (agreed, meet) = (Arc::default(), Arc::default());
    let stand = Stand { begun: 9, latest: 9, until, alone: until, agreed, meet, heirs: Arc::new(heirs) };
    Input::Coordination(Box::new(stand))
}

fn heirs(life: &str, epoch: u64, by: &str, own: &str) -> Heirs {
    let heir = Heir { epoch, name: by.into(), life: own.into(), serves: None, version: 9, settled: false };
    Heirs { of: [(Life::from(life), heir)].into(), over: BTreeMap::new() }
}

impl TestBench {
    fn kept() -> TestBench {
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
        bench.world.handle_input(stand(LEASE, Heirs::default()));
        bench
    }

    /// Opens a session for which the decider asks for a set-up; returns its id and the outputs.
    fn asked(&mut self, class: usize) -> (SessionId, Vec<Output>) {
        let id = SessionId(format!("{OWN}-{:010}", 1).into());
        let rung = usize::from(class == PAID);
        *self.actions.borrow_mut() =
            vec![Action::SetRung(id.clone(), rung), Action::SetUp(id.clone(), ServerId(0), 300 * MS)];
        self.world.opens.insert((VIEWER, Ticket(1)), None);
        let out = self.world.handle_input(Input::Open(VIEWER, Ticket(1), opening(1, class)));
        (id, out)
    }

    fn dialed(&mut self) -> Vec<Output> {
        let dials = std::mem::take(&mut self.world.dials);
        dials.into_iter().flat_map(|conn| self.world.handle_input(Input::Dialed(conn, Ok(())))).collect()
    }

    fn counts(&mut self, id: &SessionId, kept: bool) -> Vec<Output> {
        self.world.handle_input(Input::RecordStored(session_records::session_key(id), kept))
    }

    fn released(&mut self, id: &SessionId) -> bool {
        self.dialed();
        let of =
            |request: &BoxRequest| matches!(request, BoxRequest::Release { session, .. } if session == id);
        self.world.exchanges.values().any(of)
    }
}

fn promises(out: &[Output]) -> Vec<(SessionRecord, bool)> {
    let one = |output: &Output| match output {
        Output::StoreRecord(_, bytes, waits) => Some((session_records::decode(bytes)?, *waits)),
        _ => None,
    };
    out.iter().filter_map(one).collect()
}

fn connection(bench: &TestBench) -> ConnId {
    *bench.world.exchanges.keys().next().expect("a set-up is out")
}

#[test]
fn paid_set_up_is_not_sent_before_its_record_is_replicated() {
    let mut bench = TestBench::kept();
    let (id, out) = bench.asked(PAID);
    assert!(matches!(promises(&out)[..], [(SessionRecord::SetUpIntended(..), true)]), "{out:?}");
    assert!(bench.world.dials.is_empty() && bench.world.exchanges.is_empty());
    bench.counts(&id, true);
    assert_eq!(bench.world.dials.len(), 1);
    // A clip may be set up more than once, so it does not wait.
    let mut bench = TestBench::kept();
    let (_, out) = bench.asked(CLIP);
    assert!(promises(&out).is_empty() && bench.world.dials.len() == 1);
}

#[test]
fn answer_is_not_sent_before_its_record_is_replicated() {
    for (kept, ended) in [(true, false), (false, false), (true, true)] {
        let mut bench = TestBench::kept();
        let (id, _) = bench.asked(CLIP);
        bench.dialed();
        let conn = connection(&bench);
        let request = bench.world.exchanges.remove(&conn);
        assert!(request.is_some());
        bench.world.traces.get_mut(&id).unwrap().out.clear();
        let done =
            ExchangeEnd::Answered { answer: BoxAnswer::Done, report: vec![1.0, 0.1], keep_alive: true };
        let out = bench.world.handle_input(Input::Exchanged(conn, done));
        assert!(matches!(promises(&out)[..], [(SessionRecord::Plays(..), true)]), "{out:?}");
        assert!(bench.answers().is_empty());
        if ended {
            let number = bench.world.streams[&ServerId(0)];
            bench.world.handle_input(Input::Stream(ServerId(0), number, StreamEvent::Ended(id.clone(), 0)));
        }
        bench.counts(&id, kept);
        match (kept, ended) {
            (true, false) => assert!(matches!(bench.answers()[..], [Answer::Plays { .. }])),
            (_, _) => {
                assert_eq!(bench.answers(), [Answer::Failed(id.clone(), FailReason::GivenUp)]);
                assert_eq!(bench.released(&id), !ended, "what plays for nobody is released");
            }
        }
    }
}

#[test]
fn set_up_without_enough_replicas_is_refused_and_never_sent() {
    let mut bench = TestBench::kept();
    let (id, _) = bench.asked(PAID);
    bench.counts(&id, false);
    assert!(matches!(bench.answers()[..], [Answer::Refused(_, after)] if after > 0));
    assert!(bench.world.dials.is_empty() && bench.world.exchanges.is_empty());
    assert_eq!((bench.outcomes(), bench.world.ledger.session_counts()), (vec![Outcome::NotSent], (0, 0)));
    // A late confirmation has no effect.
    bench.counts(&id, true);
    assert!(bench.world.dials.is_empty());
}

#[test]
fn session_waiting_for_replication_is_answered_before_its_deadline() {
    for class in [CLIP, PAID] {
        let mut bench = TestBench::kept();
        let (id, _) = bench.asked(class);
        if class == CLIP {
            bench.dialed();
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
        assert_eq!(bench.released(&id), class == CLIP);
    }
}

#[test]
fn front_that_was_taken_over_drops_its_sessions_silently_and_starts_a_new_incarnation() {
    let mut bench = TestBench::kept();
    let (id, _) = bench.asked(CLIP);
    bench.dialed();
    let conn = connection(&bench);
    bench.world.end_exchange(conn, 8);
    bench.counts(&id, true);
    assert_eq!(bench.world.ledger.session_counts(), (1, 1));
    bench.world.handle_input(stand(LEASE, heirs(OWN, 1, "f1", "f1-00000002")));
    // The incarnation is known to be taken over: the close is not executed here.
    let close = bench.world.handle_input(Input::Close(VIEWER, Ticket(9), id.clone()));
    assert!(matches!(close[..], [Output::Reply(_, _, Reply::RetryAfter(_))]), "{close:?}");
    let out = bench.world.handle_input(Input::TakenOver(Life::from(OWN)));
    assert!(
        out.contains(&Output::Notify(VIEWER, Notification::Ended(id.clone(), EndReason::TakenOver))),
        "{out:?}"
    );
    assert!(out.contains(&Output::IncarnationChanged(Life::from("f0-00000002"))), "{out:?}");
    assert!(!out.iter().any(|o| matches!(o, Output::DeleteRecord(_))), "to end it here would end it there");
    assert!(!bench.released(&id) && bench.world.ledger.session_counts() == (0, 0));
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
    let mut bench = TestBench::kept();
    let (id, _) = bench.asked(CLIP);
    bench.dialed();
    let conn = connection(&bench);
    bench.world.end_exchange(conn, 8);
    bench.counts(&id, true);
    bench.world.ledger.set_lease_time(|| LEASE + 1);
    bench.world.handle_input(Input::ClientClosed(VIEWER));
    assert!(bench.world.ledger.contains(&id) && !bench.released(&id), "whose it is, it cannot know");
    let out = bench.world.handle_input(Input::Status(ClientId(7), Ticket(1), id.clone(), Some(ViewerId(1))));
    assert!(matches!(out[..], [Output::Reply(_, _, Reply::RetryAfter(_))]), "{out:?}");
    let gone = SessionId(format!("{OTHER}-0000000009").into());
    let out = bench.world.handle_input(Input::Status(ClientId(7), Ticket(2), gone, Some(ViewerId(1))));
    assert!(matches!(out[..], [Output::Reply(_, _, Reply::RetryAfter(_))]), "{out:?}");
    // With a lease again, the viewer can reclaim it.
    bench.world.handle_input(stand(2 * LEASE, Heirs::default()));
    let out = bench.world.handle_input(Input::Status(ClientId(7), Ticket(3), id, Some(ViewerId(1))));
    assert!(matches!(out[..], [Output::Reply(_, _, Reply::Status { playing: Some(_), .. })]), "{out:?}");
}

/// A ledger that has taken over these records of another front, and the connection on which box 0 is asked
/// for the incarnation.
fn goes_on(promises: &[(u32, SessionRecord)]) -> (TestBench, ConnId) {
    let mut bench = TestBench::kept();
    bench.world.handle_input(stand(LEASE, heirs(OTHER, 3, "f0", OWN)));
    let all: Vec<(Key, Bytes)> = promises
        .iter()
        .map(|(n, promise)| {
            (session_records::session_key(&other(*n)), Bytes::from(session_records::encode(promise)))
        })
        .collect();
    bench.world.handle_input(Input::TakeOver(Life::from(OTHER), 3, all));
    bench.dialed();
    let asks = |request: &BoxRequest| matches!(request, BoxRequest::Claim { incarnation: life, epoch: 3 } if &**life == OTHER);
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

fn other(n: u32) -> SessionId {
    SessionId(format!("{OTHER}-{n:010}").into())
}

fn place(attempt: u32) -> AttemptLocation {
    AttemptLocation { server: 0, address: address(0), attempt }
}

fn wish(bench: &TestBench) -> session_records::RecordedRequest {
    let replication = bench.world.ledger.replication_state();
    replication.to_record(&opening(7, CLIP)).expect("the settings have it")
}

#[test]
fn differences_between_records_and_box_are_reconciled() {
    let wish = wish(&TestBench::kept());
    let plays = |attempt| SessionRecord::Plays(place(attempt), 1, wish.clone());
    let intends = |attempt| SessionRecord::SetUpIntended(place(attempt), wish.clone());
    let held = |n, attempt, rung| HeldSession {
        session: other(n),
        attempt,
        rung,
        open_request: Some(opening(7, CLIP)),
    };
    let all = [
        (1, plays(0)),
        (2, plays(0)),
        (3, plays(1)),
        (4, intends(0)),
        (5, intends(0)),
        (6, plays(0)),
        (8, SessionRecord::ReleasePending(place(2))),
    ];
    let (mut bench, conn) = goes_on(&all);
    bench.world.exchanges.remove(&conn);
    let there = vec![held(1, 0, 1), held(3, 0, 1), held(4, 0, 2), held(6, 0, 2), held(7, 0, 0)];
    bench.world.handle_input(Input::Exchanged(conn, ExchangeEnd::Claimed { held: there, keep_alive: true }));
    let knows = |bench: &TestBench, n| bench.world.ledger.contains(&other(n));
    assert!(knows(&bench, 1), "as promised");
    assert!(!knows(&bench, 2), "known and not held: it is over");
    assert!(!knows(&bench, 3) && bench.released(&other(3)), "another attempt plays: released");
    assert!(knows(&bench, 4), "it may have run, and did: it waits for its viewer");
    assert!(!knows(&bench, 5), "it did not, and can't any more");
    assert!(knows(&bench, 7), "held and promised to nobody: it waits for its viewer");
    assert!(bench.released(&other(8)), "a release that was owed");
    for (n, rung) in [(6, 2), (4, 2), (1, 1)] {
        let out = bench.world.handle_input(Input::Status(
            ClientId(n.into()),
            Ticket(1),
            other(n),
            Some(ViewerId(7)),
        ));
        let at = |r: &Output| matches!(r, Output::Reply(_, _, Reply::Status { playing: Some((_, at, _)), .. }) if *at == rung);
        assert!(out.iter().any(at), "the box's rung is the one in force: {out:?}");
    }
    // Two fronts never have the same session: a later successor takes it away, and nothing is sent to the
    // box.
    bench.world.handle_input(stand(LEASE, heirs(OTHER, 4, "f2", "f2-00000003")));
    bench.world.exchanges.clear();
    bench.world.dials.clear();
    bench.world.handle_input(Input::TakeoverSuperseded(Life::from(OTHER)));
    assert!(!knows(&bench, 1) && !bench.released(&other(1)));
}

#[test]
fn failed_claim_is_retried_and_unclaimed_sessions_end() {
    let wish = wish(&TestBench::kept());
    let (mut bench, conn) = goes_on(&[(1, SessionRecord::Plays(place(0), 1, wish))]);
    bench.world.exchanges.remove(&conn);
    bench.world.handle_input(Input::Exchanged(conn, ExchangeEnd::Broken));
    assert!(bench.world.ledger.contains(&other(1)));
    bench.world.exchanges.clear();
    bench.world.now += 300 * MS;
    bench.world.handle_input(Input::Tick);
    bench.dialed();
    let claims = |request: &BoxRequest| matches!(request, BoxRequest::Claim { .. });
    assert!(bench.world.exchanges.values().any(claims), "asked again");
    // A stream that opens before the box has been asked does not list the session: that is not a loss.
    let number = bench.world.streams[&ServerId(0)];
    bench.world.handle_input(Input::Stream(ServerId(0), number, StreamEvent::Up(vec![])));
    assert!(bench.world.ledger.contains(&other(1)));
    let limits = settings().limits;
    bench.world.now += limits.takeover_retention;
    bench.world.handle_input(Input::Tick);
    assert!(!bench.world.ledger.contains(&other(1)), "nobody came for it");
}

#[test]
fn record_with_unknown_class_is_released_and_undecodable_record_is_skipped() {
    let (bench, _) = goes_on(&[]);
    let mut strange = wish(&bench);
    strange.class = "gone".into();
    let wish = wish(&bench);
    let (mut bench, _) = goes_on(&[
        (1, SessionRecord::Plays(place(0), 1, strange)),
        (2, SessionRecord::Plays(place(0), 1, wish)),
    ]);
    assert!(!bench.world.ledger.contains(&other(1)) && bench.released(&other(1)));
    assert!(bench.world.ledger.contains(&other(2)));
    let faults = bench.world.ledger.counts().faults;
    let bad: Vec<(Key, Bytes)> = vec![(session_records::session_key(&other(3)), Bytes::from(vec![0xff; 9]))];
    bench.world.handle_input(Input::TakeOver(Life::from(OTHER), 3, bad));
    assert_eq!(bench.world.ledger.counts().faults, faults + 1);
}

#[test]
fn cancelled_set_up_waiting_for_replication_is_never_sent() {
    let mut bench = TestBench::kept();
    let (id, _) = bench.asked(PAID);
    bench.world.handle_input(Input::Cancel(VIEWER, Ticket(2), Ticket(1)));
    assert_eq!(bench.answers(), [Answer::Failed(id.clone(), FailReason::Cancelled)]);
    bench.counts(&id, true);
    assert!(bench.world.dials.is_empty() && bench.world.exchanges.is_empty());
    let replication = bench.world.ledger.replication_state();
    assert!(!replication.awaiting_record.values().any(|waits| matches!(waits, AwaitingRecord::SetUp(..))));
}
