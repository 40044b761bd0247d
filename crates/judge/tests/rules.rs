//! Each rule on hand-made records: pairs of a record that keeps the rule and a similar one that breaks it.

use salttally_judge::record::*;
use salttally_judge::worth::worth;
use salttally_judge::{judge, Rule};

const MS: u64 = 1_000;

fn terms() -> Terms {
    let class = |effect, floor, seats| ClassTerms { effect, floor, top: 2, seats, aim: 500 * MS, gain: 2.0 };
    Terms {
        classes: [
            ("clip".to_owned(), class(EffectKind::Safe, 0, 0)),
            ("paid".to_owned(), class(EffectKind::Once, 1, 0)),
            ("seated".to_owned(), class(EffectKind::Safe, 0, 1)),
        ]
        .into(),
        rungs: vec![0.2, 0.5, 1.0],
        stall_cost: 5.0,
        answer_slack: 40 * MS,
        drain_grace: 250 * MS,
        warm_up: 2_000 * MS,
        cold_from: 0.5,
        fall_multiple: 2.0,
        fall_window: 1_000 * MS,
        places: 4,
        attempts: 3,
        budget: Some(BudgetTerms { window: 1_000 * MS, free: 1.0, share: 0.5 }),
        lateness: 10 * MS,
    }
}

/// A record of events with times in milliseconds.
fn record(lines: &[(u64, Event)]) -> Vec<Line> {
    let mut all = vec![Line { at: 0, what: Event::Terms(terms()) }];
    all.extend(lines.iter().map(|(at, what)| Line { at: at * MS, what: what.clone() }));
    // A late last line, so that all required answers are overdue by the end.
    all.push(Line { at: 100_000 * MS, what: Event::FrontUp { front: "f9".into() } });
    all
}

fn opened(open: u64) -> Event {
    let text = |text: &str| text.to_owned();
    Event::Opened {
        open,
        front: text("f1"),
        viewer: format!("v{open}"),
        title: text("t"),
        class: text("clip"),
        patience: 1_000 * MS,
        length: 10_000 * MS,
        returned: false,
    }
}

fn answered(open: u64, answer: AnswerKind, session: &str) -> Event {
    Event::Answered { open, answer, session: session.into() }
}

fn set_up_read(server: u32, session: &str, attempt: u32, class: &str, rung: usize) -> Event {
    let (front, title) = ("f1".to_owned(), "t".to_owned());
    Event::SetUpRead { server, front, session: session.into(), attempt, class: class.into(), title, rung }
}

fn set_up_ended(server: u32, session: &str, attempt: u32, end: SetUpEnd) -> Event {
    Event::SetUpEnded { server, session: session.into(), attempt, end }
}

#[track_caller]
fn assert_kept(rule: Rule, lines: &[(u64, Event)]) {
    let verdict = judge(&record(lines));
    assert!(verdict.kept(rule), "{:#?}", verdict.findings);
}

#[track_caller]
fn assert_broken(rule: Rule, word: &str, lines: &[(u64, Event)]) {
    let verdict = judge(&record(lines));
    let found = verdict.findings.iter().any(|finding| finding.rule == rule && finding.text.contains(word));
    assert!(found, "no `{word}` in {:#?}", verdict.findings);
}

#[test]
fn one_answer_in_time() {
    use AnswerKind::*;
    let rule = Rule::OneAnswer;
    assert_kept(rule, &[(1, opened(1)), (1_040, answered(1, Failed, "s"))]);
    assert_broken(rule, "never answered", &[(1, opened(1))]);
    assert_broken(rule, "too late", &[(1, opened(1)), (1_060, answered(1, Failed, "s"))]);
    assert_broken(
        rule,
        "2 times",
        &[(1, opened(1)), (2, answered(1, Plays, "s")), (3, answered(1, Failed, "s"))],
    );
    assert_broken(rule, "no call", &[(2, answered(1, Plays, "s"))]);
    let down = Event::FrontDown { front: "f1".into() };
    assert_kept(rule, &[(1, opened(1)), (500, down.clone())]);
    assert_broken(rule, "never answered", &[(1, opened(1)), (1_500, down)]);
    assert_kept(rule, &[(1, opened(1)), (5, Event::GaveUp { open: 1 })]);
    let given_up = [(1, opened(1)), (5, Event::GaveUp { open: 1 }), (6, answered(1, Plays, "s"))];
    assert_kept(rule, &given_up);
    let twice = [given_up.as_slice(), &[(7, answered(1, Failed, "s"))]].concat();
    assert_broken(rule, "2 times", &twice);
    assert_broken(rule, "never answered", &[(1, opened(1)), (5, Event::Cut { open: 1 })]);
}

#[test]
fn one_attempt_in_flight_and_no_paid_set_up_twice() {
    use SetUpEnd::*;
    let rule = Rule::OneEffect;
    let second_attempt = |how| {
        vec![
            (1, set_up_read(1, "s", 0, "clip", 0)),
            (5, set_up_ended(1, "s", 0, how)),
            (6, set_up_read(2, "s", 1, "clip", 0)),
        ]
    };
    assert_kept(rule, &second_attempt(Error));
    assert_broken(
        rule,
        "is out at box 1",
        &[(1, set_up_read(1, "s", 0, "clip", 0)), (6, set_up_read(2, "s", 1, "clip", 0))],
    );
    // The front continues as soon as it closes the connection; the box notices that a little later, within the lateness.
    let closed = |seen| {
        vec![
            (1, set_up_read(1, "s", 0, "clip", 0)),
            (6, set_up_read(2, "s", 1, "clip", 0)),
            (seen, set_up_ended(1, "s", 0, Closed)),
        ]
    };
    assert_kept(rule, &closed(16));
    assert_broken(rule, "is out at box 1", &closed(17));
    let late_answer = [
        (1, set_up_read(1, "s", 0, "clip", 0)),
        (6, set_up_read(2, "s", 1, "clip", 0)),
        (7, set_up_ended(1, "s", 0, Error)),
    ];
    assert_broken(rule, "is out at box 1", &late_answer);
    let paid = |how| {
        vec![
            (1, set_up_read(1, "s", 0, "paid", 1)),
            (5, set_up_ended(1, "s", 0, how)),
            (6, set_up_read(2, "s", 1, "paid", 1)),
        ]
    };
    assert_kept(rule, &paid(Full));
    for how in [Began, Error, Closed, Reset] {
        assert_broken(rule, "set up again", &paid(how));
    }
    let refused = |how| {
        vec![
            (1, set_up_read(1, "s", 0, "paid", 1)),
            (5, set_up_ended(1, "s", 0, how)),
            (6, answered(1, AnswerKind::Refused, "s")),
        ]
    };
    assert_kept(rule, &refused(Full));
    assert_broken(rule, "was refused", &refused(Reset));
    assert_broken(rule, "3 at most", &[(1, set_up_read(1, "s", 3, "clip", 0))]);
}

#[test]
fn no_set_up_after_the_grace_of_a_drain() {
    let told = || Event::DrainTold { front: "f1".into(), server: 1 };
    let rule = Rule::Drains;
    assert_kept(rule, &[(100, told()), (360, set_up_read(1, "s", 0, "clip", 0))]);
    assert_broken(rule, "draining box 1", &[(100, told()), (361, set_up_read(1, "s", 0, "clip", 0))]);
    assert_broken(
        rule,
        "draining box 1",
        &[(100, told()), (300, told()), (400, set_up_read(1, "s", 0, "clip", 0))],
    );
    let ready = Event::ReadyTold { front: "f1".into(), server: 1 };
    assert_kept(rule, &[(100, told()), (300, ready), (400, set_up_read(1, "s", 0, "clip", 0))]);
    assert_kept(
        rule,
        &[
            (100, told()),
            (300, Event::FrontUp { front: "f1".into() }),
            (400, set_up_read(1, "s", 0, "clip", 0)),
        ],
    );
    assert_kept(rule, &[(100, told()), (400, set_up_read(2, "s", 0, "clip", 0))]);
}

#[test]
fn no_cold_box_is_overloaded() {
    // A warm box has a pace of 4 places per warm-up of 2 s, so 2 set-ups per second, and one that has just started has
    // half of that. The fall multiple of 2 thus allows 2 set-ups in a window of 1 s, and 2 more are allowed for chance.
    let sent = |cold, count: u64| {
        let mut lines = vec![(10, Event::BoxStarted { server: 1, cold })];
        lines.extend((0..count).map(|n| (11 + n, set_up_read(1, &format!("s{n}"), 0, "clip", 0))));
        lines
    };
    assert_kept(Rule::Cold, &sent(true, 4));
    assert_broken(Rule::Cold, "sent 5 set-ups", &sent(true, 5));
    assert_kept(Rule::Cold, &sent(false, 50));
    let after_warm_up: Vec<_> =
        sent(true, 50).into_iter().map(|(at, what)| (if at > 10 { at + 2_000 } else { at }, what)).collect();
    assert_kept(Rule::Cold, &after_warm_up);
    assert_broken(Rule::Cold, "pushed over", &[(1, Event::BoxFell { server: 1 })]);
}

#[test]
fn floors_and_seats() {
    let rule = Rule::Terms;
    assert_kept(rule, &[(1, set_up_read(1, "s", 0, "paid", 1))]);
    assert_broken(rule, "rung 0", &[(1, set_up_read(1, "s", 0, "paid", 0))]);
    let set = |rung| Event::RungSet { server: 1, session: "s".into(), rung };
    assert_kept(rule, &[(1, set_up_read(1, "s", 0, "paid", 1)), (2, set(2))]);
    assert_broken(rule, "put on rung 0", &[(1, set_up_read(1, "s", 0, "paid", 1)), (2, set(0))]);
    let two = |ended: Event| {
        vec![(1, set_up_read(1, "a", 0, "seated", 0)), (2, ended), (3, set_up_read(1, "b", 0, "seated", 0))]
    };
    assert_kept(rule, &two(Event::Ended { server: 1, session: "a".into(), attempt: 0 }));
    assert_kept(rule, &two(set_up_ended(1, "a", 0, SetUpEnd::Full)));
    assert_broken(rule, "1 seats", &two(set_up_ended(1, "a", 0, SetUpEnd::Began)));
}

#[test]
fn further_attempts_within_budget() {
    let second_attempt = |at, n: u32| (at, set_up_read(1, &format!("s{n}"), 1, "clip", 0));
    let rule = Rule::Budget;
    assert_kept(rule, &[second_attempt(1, 1)]);
    assert_broken(rule, "2 further attempts", &[second_attempt(1, 1), second_attempt(2, 2)]);
    assert_kept(rule, &[(1, opened(1)), (1, opened(2)), second_attempt(2, 1), second_attempt(3, 2)]);
    assert_broken(
        rule,
        "3 further attempts",
        &[(1, opened(1)), (1, opened(2)), second_attempt(2, 1), second_attempt(3, 2), second_attempt(900, 3)],
    );
    assert_kept(rule, &[second_attempt(1, 1), second_attempt(1_002, 2)]);
}

#[test]
fn a_record_without_terms_breaks_all_rules() {
    assert_eq!(judge(&[]).findings.len(), 6);
    assert!(matches!(salttally_judge::record::read("".as_bytes()), Err(RecordError::NoTerms)));
    assert!(matches!(salttally_judge::record::read("{".as_bytes()), Err(RecordError::Line(1, _))));
}

#[test]
fn a_written_record_is_read_back_sorted_by_time() {
    let lines =
        record(&[(7, opened(1)), (3, Event::Cut { open: 1 }), (9, set_up_ended(1, "s", 2, SetUpEnd::Reset))]);
    let text: String = lines.iter().map(|line| write(line) + "\n").collect();
    let mut sorted = lines;
    sorted.sort_by_key(|line| line.at);
    assert_eq!(salttally_judge::record::read(text.as_bytes()).unwrap(), sorted);
}

#[test]
fn worth_is_time_weighted_by_rung_and_class_minus_stalls() {
    let ended = || Event::Ended { server: 1, session: "s".into(), attempt: 0 };
    let play = vec![
        (0, opened(1)),
        (1, set_up_read(1, "s", 0, "clip", 1)),
        (1_000, set_up_ended(1, "s", 0, SetUpEnd::Began)),
        (1_000, answered(1, AnswerKind::Plays, "s")),
    ];
    let of = |more: &[(u64, Event)]| worth(&record(&[play.clone(), more.to_vec()].concat()));
    // 4 s at rung 1 (0.5) with a gain of 2, of 10 s asked at rung 2.
    let plain = of(&[(5_000, ended())]);
    assert!((plain.delivered - 4.0).abs() < 1e-9 && (plain.asked - 20.0).abs() < 1e-9, "{plain:?}");
    assert_eq!((plain.began, plain.in_time), (1, 0), "it began after its aim");
    let raised = of(&[(3_000, Event::RungSet { server: 1, session: "s".into(), rung: 2 }), (5_000, ended())]);
    assert!((raised.delivered - 6.0).abs() < 1e-9, "{raised:?}");
    // A share of the rate 10 points below 98 % costs 50 %.
    let stalled = of(&[(3_000, Event::Share { server: 1, share: 0.88 }), (5_000, ended())]);
    assert!((stalled.delivered - 3.0).abs() < 1e-9, "{stalled:?}");
}
