//! A ledger whose promises are copied: what waits until it counts, and going on with what another front promised.

use std::sync::Arc;

use salttally_accord::core::heirs::{Heir, Heirs};
use salttally_accord::core::stand::Stand;
use salttally_copies::core::{Bytes, Key, Life};

use super::*;
use crate::core::agreed_rules::{AgreedRules, SettingsNames};
use crate::core::session_records::{self, Place, Promise, Waits};

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

impl Stage {
    fn kept() -> Stage {
        let mut stage = Stage::new();
        let names = SettingsNames {
            classes: vec!["clip".to_owned(), "paid".to_owned()],
            titles: [(TitleId(1), "one".to_owned())].into(),
            viewer: None,
        };
        stage.world = World {
            ledger: stage.world.ledger.with_rules(AgreedRules::new(names)).with_replication(),
            ..stage.world
        };
        stage.world.give(stand(LEASE, Heirs::default()));
        stage
    }

    /// Has a set-up asked for; returns what was said and whether it is on a connection.
    fn asked(&mut self, class: usize) -> (SessionId, Vec<Output>) {
        let id = SessionId(format!("{OWN}-{:010}", 1).into());
        let rung = usize::from(class == PAID);
        *self.todo.borrow_mut() =
            vec![Action::SetRung(id.clone(), rung), Action::SetUp(id.clone(), ServerId(0), 300 * MS)];
        self.world.opens.insert((VIEWER, Ticket(1)), None);
        let out = self.world.give(Input::Open(VIEWER, Ticket(1), opening(1, class)));
        (id, out)
    }

    fn dialed(&mut self) -> Vec<Output> {
        let dials = std::mem::take(&mut self.world.dials);
        dials.into_iter().flat_map(|conn| self.world.give(Input::Dialed(conn, Ok(())))).collect()
    }

    fn counts(&mut self, id: &SessionId, kept: bool) -> Vec<Output> {
        self.world.give(Input::RecordStored(session_records::key(id), kept))
    }

    fn released(&mut self, id: &SessionId) -> bool {
        self.dialed();
        let of =
            |request: &BoxRequest| matches!(request, BoxRequest::Release { session, .. } if session == id);
        self.world.exchanges.values().any(of)
    }
}

fn promises(out: &[Output]) -> Vec<(Promise, bool)> {
    let one = |output: &Output| match output {
        Output::StoreRecord(_, bytes, waits) => Some((session_records::decode(bytes)?, *waits)),
        _ => None,
    };
    out.iter().filter_map(one).collect()
}

fn connection(stage: &Stage) -> ConnId {
    *stage.world.exchanges.keys().next().expect("a set-up is out")
}

#[test]
fn not_a_byte_of_a_paid_set_up_leaves_before_enough_copies_know_of_it() {
    let mut stage = Stage::kept();
    let (id, out) = stage.asked(PAID);
    assert!(matches!(promises(&out)[..], [(Promise::Intends(..), true)]), "{out:?}");
    assert!(stage.world.dials.is_empty() && stage.world.exchanges.is_empty());
    stage.counts(&id, true);
    assert_eq!(stage.world.dials.len(), 1);
    // A clip may be set up again by anybody: it does not wait.
    let mut stage = Stage::kept();
    let (_, out) = stage.asked(CLIP);
    assert!(promises(&out).is_empty() && stage.world.dials.len() == 1);
}

#[test]
fn nobody_is_told_that_it_plays_before_enough_copies_know_it() {
    for (kept, ended) in [(true, false), (false, false), (true, true)] {
        let mut stage = Stage::kept();
        let (id, _) = stage.asked(CLIP);
        stage.dialed();
        let conn = connection(&stage);
        let request = stage.world.exchanges.remove(&conn);
        assert!(request.is_some());
        stage.world.seen.get_mut(&id).unwrap().out.clear();
        let done =
            ExchangeEnd::Answered { answer: BoxAnswer::Done, report: vec![1.0, 0.1], keep_alive: true };
        let out = stage.world.give(Input::Exchanged(conn, done));
        assert!(matches!(promises(&out)[..], [(Promise::Plays(..), true)]), "{out:?}");
        assert!(stage.answers().is_empty());
        if ended {
            let number = stage.world.streams[&ServerId(0)];
            stage.world.give(Input::Stream(ServerId(0), number, StreamEvent::Ended(id.clone(), 0)));
        }
        stage.counts(&id, kept);
        match (kept, ended) {
            (true, false) => assert!(matches!(stage.answers()[..], [Answer::Plays { .. }])),
            (_, _) => {
                assert_eq!(stage.answers(), [Answer::Failed(id.clone(), FailReason::GivenUp)]);
                assert_eq!(stage.released(&id), !ended, "what plays for nobody is released");
            }
        }
    }
}

#[test]
fn a_set_up_that_too_few_would_know_of_is_refused_at_once_and_never_sent() {
    let mut stage = Stage::kept();
    let (id, _) = stage.asked(PAID);
    stage.counts(&id, false);
    assert!(matches!(stage.answers()[..], [Answer::Refused(_, after)] if after > 0));
    assert!(stage.world.dials.is_empty() && stage.world.exchanges.is_empty());
    assert_eq!((stage.outcomes(), stage.world.ledger.session_counts()), (vec![Outcome::NotSent], (0, 0)));
    // A word that comes too late changes nothing.
    stage.counts(&id, true);
    assert!(stage.world.dials.is_empty());
}

#[test]
fn what_waits_for_copies_past_its_viewers_time_is_answered_in_time_and_leaves_nothing_behind() {
    for class in [CLIP, PAID] {
        let mut stage = Stage::kept();
        let (id, _) = stage.asked(class);
        if class == CLIP {
            stage.dialed();
            let conn = connection(&stage);
            stage.world.seen.get_mut(&id).unwrap().out.clear();
            stage.world.exchanges.remove(&conn);
            let done =
                ExchangeEnd::Answered { answer: BoxAnswer::Done, report: vec![1.0, 0.1], keep_alive: true };
            stage.world.give(Input::Exchanged(conn, done));
        }
        let limits = settings().limits;
        for _ in 0..60 {
            stage.world.now += 20 * MS;
            stage.world.give(Input::Tick);
        }
        assert!(stage.world.now < 1_000_000_000 + 1_000 * MS + limits.answer_slack + 300 * MS);
        assert_eq!(stage.answers().len(), 1);
        assert!(matches!(stage.answers()[..], [Answer::Failed(..)]), "{:?}", stage.answers());
        assert_eq!(stage.world.ledger.session_counts(), (0, 0));
        assert_eq!(stage.released(&id), class == CLIP);
    }
}

#[test]
fn a_front_that_was_replaced_says_nothing_to_boxes_of_what_is_anothers_and_lives_anew() {
    let mut stage = Stage::kept();
    let (id, _) = stage.asked(CLIP);
    stage.dialed();
    let conn = connection(&stage);
    stage.world.end_exchange(conn, 8);
    stage.counts(&id, true);
    assert_eq!(stage.world.ledger.session_counts(), (1, 1));
    stage.world.give(stand(LEASE, heirs(OWN, 1, "f1", "f1-00000002")));
    // Known to be another's: its viewer's close is not carried out here.
    let close = stage.world.give(Input::Close(VIEWER, Ticket(9), id.clone()));
    assert!(matches!(close[..], [Output::Reply(_, _, Reply::RetryAfter(_))]), "{close:?}");
    let out = stage.world.give(Input::TakenOver(Life::from(OWN)));
    assert!(
        out.contains(&Output::Notify(VIEWER, Notification::Ended(id.clone(), EndReason::TakenOver))),
        "{out:?}"
    );
    assert!(out.contains(&Output::IncarnationChanged(Life::from("f0-00000002"))), "{out:?}");
    assert!(!out.iter().any(|o| matches!(o, Output::DeleteRecord(_))), "to end it here would end it there");
    assert!(!stage.released(&id) && stage.world.ledger.session_counts() == (0, 0));
    // A viewer who asks is told who has it; new sessions are of the new life.
    let out = stage.world.give(Input::Status(VIEWER, Ticket(8), id, Some(ViewerId(1))));
    assert!(
        matches!(&out[..], [Output::Reply(_, _, Reply::AtOtherFront(name, _))] if &**name == "f1"),
        "{out:?}"
    );
    stage.world.open(VIEWER, CLIP);
    assert!(stage.world.ledger.contains(&SessionId("f0-00000002-0000000002".into())));
}

#[test]
fn without_a_lease_nothing_is_released_given_away_or_said_to_be_unknown() {
    let mut stage = Stage::kept();
    let (id, _) = stage.asked(CLIP);
    stage.dialed();
    let conn = connection(&stage);
    stage.world.end_exchange(conn, 8);
    stage.counts(&id, true);
    stage.world.ledger.set_lease_time(|| LEASE + 1);
    stage.world.give(Input::ClientClosed(VIEWER));
    assert!(stage.world.ledger.contains(&id) && !stage.released(&id), "whose it is, it cannot know");
    let out = stage.world.give(Input::Status(ClientId(7), Ticket(1), id.clone(), Some(ViewerId(1))));
    assert!(matches!(out[..], [Output::Reply(_, _, Reply::RetryAfter(_))]), "{out:?}");
    let gone = SessionId(format!("{OTHER}-0000000009").into());
    let out = stage.world.give(Input::Status(ClientId(7), Ticket(2), gone, Some(ViewerId(1))));
    assert!(matches!(out[..], [Output::Reply(_, _, Reply::RetryAfter(_))]), "{out:?}");
    // With one again, its viewer has it back.
    stage.world.give(stand(2 * LEASE, Heirs::default()));
    let out = stage.world.give(Input::Status(ClientId(7), Ticket(3), id, Some(ViewerId(1))));
    assert!(matches!(out[..], [Output::Reply(_, _, Reply::Status { playing: Some(_), .. })]), "{out:?}");
}

/// A ledger that goes on with `promises` of another front, and the connection on which box 0 is asked for that life.
fn goes_on(promises: &[(u32, Promise)]) -> (Stage, ConnId) {
    let mut stage = Stage::kept();
    stage.world.give(stand(LEASE, heirs(OTHER, 3, "f0", OWN)));
    let all: Vec<(Key, Bytes)> = promises
        .iter()
        .map(|(n, promise)| (session_records::key(&other(*n)), Bytes::from(session_records::encode(promise))))
        .collect();
    stage.world.give(Input::TakeOver(Life::from(OTHER), 3, all));
    stage.dialed();
    let asks = |request: &BoxRequest| matches!(request, BoxRequest::Claim { incarnation: life, epoch: 3 } if &**life == OTHER);
    let asked: Vec<ConnId> =
        stage.world.exchanges.iter().filter(|(_, request)| asks(request)).map(|(conn, _)| *conn).collect();
    assert_eq!(asked.len(), 4, "every box is asked");
    let first = stage
        .world
        .exchanges
        .keys()
        .copied()
        .find(|conn| asked.contains(conn) && stage.world.ledger.box_of(*conn) == Some(ServerId(0)));
    (stage, first.expect("box 0 is asked"))
}

fn other(n: u32) -> SessionId {
    SessionId(format!("{OTHER}-{n:010}").into())
}

fn place(attempt: u32) -> Place {
    Place { server: 0, address: address(0), attempt }
}

fn wish(stage: &Stage) -> session_records::Wish {
    let keeping = stage.world.ledger.keeping_for_tests();
    keeping.wish(&opening(7, CLIP)).expect("the settings have it")
}

#[test]
fn each_disagreement_between_a_copy_and_its_box_ends_by_its_rule() {
    let wish = wish(&Stage::kept());
    let plays = |attempt| Promise::Plays(place(attempt), 1, wish.clone());
    let intends = |attempt| Promise::Intends(place(attempt), wish.clone());
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
        (8, Promise::Owes(place(2))),
    ];
    let (mut stage, conn) = goes_on(&all);
    stage.world.exchanges.remove(&conn);
    let there = vec![held(1, 0, 1), held(3, 0, 1), held(4, 0, 2), held(6, 0, 2), held(7, 0, 0)];
    stage.world.give(Input::Exchanged(conn, ExchangeEnd::Claimed { held: there, keep_alive: true }));
    let knows = |stage: &Stage, n| stage.world.ledger.contains(&other(n));
    assert!(knows(&stage, 1), "as promised");
    assert!(!knows(&stage, 2), "known and not held: it is over");
    assert!(!knows(&stage, 3) && stage.released(&other(3)), "another attempt plays: released");
    assert!(knows(&stage, 4), "it may have run, and did: it waits for its viewer");
    assert!(!knows(&stage, 5), "it did not, and can't any more");
    assert!(knows(&stage, 7), "held and promised to nobody: it waits for its viewer");
    assert!(stage.released(&other(8)), "a release that was owed");
    for (n, rung) in [(6, 2), (4, 2), (1, 1)] {
        let out = stage.world.give(Input::Status(ClientId(n.into()), Ticket(1), other(n), Some(ViewerId(7))));
        let at = |r: &Output| matches!(r, Output::Reply(_, _, Reply::Status { playing: Some((_, at, _)), .. }) if *at == rung);
        assert!(out.iter().any(at), "the box's rung is the one in force: {out:?}");
    }
    // Two fronts never have the same one: a later heir takes it away, without a word to the box.
    stage.world.give(stand(LEASE, heirs(OTHER, 4, "f2", "f2-00000003")));
    stage.world.exchanges.clear();
    stage.world.dials.clear();
    stage.world.give(Input::TakeoverSuperseded(Life::from(OTHER)));
    assert!(!knows(&stage, 1) && !stage.released(&other(1)));
}

#[test]
fn a_box_that_cannot_be_asked_is_asked_again_and_one_that_is_gone_has_taken_its_sessions_along() {
    let wish = wish(&Stage::kept());
    let (mut stage, conn) = goes_on(&[(1, Promise::Plays(place(0), 1, wish))]);
    stage.world.exchanges.remove(&conn);
    stage.world.give(Input::Exchanged(conn, ExchangeEnd::Broken));
    assert!(stage.world.ledger.contains(&other(1)));
    stage.world.exchanges.clear();
    stage.world.now += 300 * MS;
    stage.world.give(Input::Tick);
    stage.dialed();
    let claims = |request: &BoxRequest| matches!(request, BoxRequest::Claim { .. });
    assert!(stage.world.exchanges.values().any(claims), "asked again");
    // A stream that stands before the box has been asked does not tell of it: that is no loss.
    let number = stage.world.streams[&ServerId(0)];
    stage.world.give(Input::Stream(ServerId(0), number, StreamEvent::Up(vec![])));
    assert!(stage.world.ledger.contains(&other(1)));
    let limits = settings().limits;
    stage.world.now += limits.takeover_retention;
    stage.world.give(Input::Tick);
    assert!(!stage.world.ledger.contains(&other(1)), "nobody came for it");
}

#[test]
fn a_promise_that_names_what_these_settings_lack_is_released_and_one_that_cannot_be_read_harms_no_other() {
    let (stage, _) = goes_on(&[]);
    let mut strange = wish(&stage);
    strange.class = "gone".into();
    let wish = wish(&stage);
    let (mut stage, _) =
        goes_on(&[(1, Promise::Plays(place(0), 1, strange)), (2, Promise::Plays(place(0), 1, wish))]);
    assert!(!stage.world.ledger.contains(&other(1)) && stage.released(&other(1)));
    assert!(stage.world.ledger.contains(&other(2)));
    let faults = stage.world.ledger.counts().faults;
    let bad: Vec<(Key, Bytes)> = vec![(session_records::key(&other(3)), Bytes::from(vec![0xff; 9]))];
    stage.world.give(Input::TakeOver(Life::from(OTHER), 3, bad));
    assert_eq!(stage.world.ledger.counts().faults, faults + 1);
}

#[test]
fn a_cancelled_set_up_that_waits_for_copies_is_never_sent() {
    let mut stage = Stage::kept();
    let (id, _) = stage.asked(PAID);
    stage.world.give(Input::Cancel(VIEWER, Ticket(2), Ticket(1)));
    assert_eq!(stage.answers(), [Answer::Failed(id.clone(), FailReason::Cancelled)]);
    stage.counts(&id, true);
    assert!(stage.world.dials.is_empty() && stage.world.exchanges.is_empty());
    let keeping = stage.world.ledger.keeping_for_tests();
    assert!(!keeping.waits.values().any(|waits| matches!(waits, Waits::SetUp(..))));
}
