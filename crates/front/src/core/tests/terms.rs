//! A ledger under rules that are agreed on: what is refused, and that authority is looked at where an act is written.

use salttally_accord::core::rules::{Order, Rules, Terms as ClassTerms, Who};
use salttally_accord::core::stand::Stand;

use super::*;
use crate::core::agreed_rules::{AgreedRules, SettingsNames};

fn number(name: &str) -> ViewerId {
    ViewerId(name.parse().unwrap_or(u64::MAX))
}

fn under() -> AgreedRules {
    let classes = vec!["clip".to_owned(), "paid".to_owned()];
    let titles = [(TitleId(1), "one".to_owned())].into();
    AgreedRules::new(SettingsNames { classes, titles, viewer: Some(number) })
}

fn stand(rules: Rules, until: Micros, alone: Micros) -> Input {
    let rules = std::sync::Arc::new(rules.normal());
    let (agreed, meet) = (std::sync::Arc::clone(&rules), rules);
    Input::Coordination(Box::new(Stand {
        begun: 1,
        latest: 1,
        until,
        alone,
        agreed,
        meet,
        heirs: std::sync::Arc::default(),
    }))
}

const LEASE: Micros = 1_000_000 * MS;

impl Stage {
    fn under(rules: Rules) -> Stage {
        let mut stage = Stage::new();
        stage.world = World { ledger: stage.world.ledger.with_rules(under()), ..stage.world };
        stage.world.give(stand(rules, LEASE, LEASE));
        stage
    }

    fn opened(&mut self, class: usize) -> Option<Answer> {
        self.world.open(VIEWER, class);
        self.world.opens.last_key_value().and_then(|(_, answer)| answer.clone())
    }
}

fn closed(class: &str, ends: bool) -> Rules {
    let terms = ClassTerms { open: false, ends, ..ClassTerms::default() };
    Rules { classes: [(class.to_owned(), terms)].into(), ..Rules::default() }
}

#[test]
fn a_front_that_was_told_nothing_yet_takes_no_session() {
    let mut stage = Stage::new();
    stage.world = World { ledger: stage.world.ledger.with_rules(under()), ..stage.world };
    assert!(matches!(stage.opened(CLIP), Some(Answer::Refused(_, after)) if after > 0));
}

#[test]
fn refused_viewers_firms_classes_and_titles_are_refused_with_a_time_to_come_back() {
    let refused = |who| Rules { refused: [who].into(), ..Rules::default() };
    let nowhere = Rules { titles: [("one".to_owned(), [].into())].into(), ..Rules::default() };
    for (rules, is) in [
        (Rules::default(), false),
        (refused(Who::Viewer("1".into())), true),
        (refused(Who::Viewer("2".into())), false),
        (closed("clip", false), true),
        (closed("paid", false), false),
        (nowhere, true),
        (Rules { closed: (0..4).collect(), ..Rules::default() }, true),
        (Rules { closed: (0..3).collect(), ..Rules::default() }, false),
    ] {
        let mut stage = Stage::under(rules.clone());
        let answer = stage.opened(CLIP);
        assert_eq!(
            matches!(answer, Some(Answer::Refused(_, after)) if after > 0),
            is,
            "{rules:?}: {answer:?}"
        );
    }
    let mut stage = Stage::under(refused(Who::Firm("7".into())));
    stage.world.opens.insert((VIEWER, Ticket(50)), None);
    let of_firm = OpenRequest { tenant: Some(ViewerId(7)), ..opening(1, CLIP) };
    stage.world.give(Input::Open(VIEWER, Ticket(50), of_firm));
    assert!(matches!(stage.answers()[..], [Answer::Refused(..)]));
}

#[test]
fn seats_and_limits_count_what_is_held() {
    let terms = ClassTerms { seats: 1, ..ClassTerms::default() };
    let mut stage = Stage::under(Rules { classes: [("clip".to_owned(), terms)].into(), ..Rules::default() });
    stage.play();
    assert!(matches!(stage.opened(CLIP), Some(Answer::Refused(..))));
    assert_eq!(stage.opened(PAID), None, "another class has its own seats");
}

#[test]
fn a_rung_over_the_rules_is_not_asked_for_and_closed_cells_are_left_out() {
    let rules = Rules { ladder: Some(1), closed: [1].into(), ..Rules::default() };
    let mut stage = Stage::under(rules);
    stage.world.open(VIEWER, CLIP);
    let told = stage.told.borrow();
    let Some(Event::Request(request)) = told.iter().rev().find(|event| matches!(event, Event::Request(_)))
    else {
        panic!("no request: {told:?}");
    };
    assert_eq!((request.top_rung, request.first_cell, request.cell_count), (1, 2, 2));
}

#[test]
fn a_set_up_decided_under_a_lease_that_ran_out_is_not_written() {
    let mut stage = Stage::under(Rules::default());
    let id = SessionId("f0-00000001-0000000001".into());
    stage.world.open(VIEWER, PAID);
    // The module decides only now; meanwhile the process was stopped for longer than its lease.
    stage.world.ledger.set_lease_time(|| LEASE + 1);
    *stage.todo.borrow_mut() =
        vec![Action::SetRung(id.clone(), 1), Action::SetUp(id.clone(), ServerId(0), 300 * MS)];
    stage.world.now += 50 * MS;
    stage.world.give(Input::List(ListKind::Changes, vec![listed(0, ServerState::Ready, None)]));
    assert!(stage.world.dials.is_empty() && stage.world.exchanges.is_empty());
    assert!(matches!(stage.answers()[..], [Answer::Refused(..)]), "{:?}", stage.answers());
    assert_eq!(stage.outcomes(), [Outcome::NotSent]);
}

#[test]
fn an_answer_whose_lease_ran_out_on_the_way_is_not_given_and_its_session_is_released() {
    for class in [CLIP, PAID] {
        let mut stage = Stage::under(Rules::default());
        let (id, conn) = stage.set_up(class);
        stage.world.ledger.set_lease_time(|| LEASE + 1);
        stage.world.end_exchange(conn, 8);
        let answers = stage.answers();
        match class {
            CLIP => assert!(matches!(answers[..], [Answer::Refused(..)]), "{answers:?}"),
            _ => assert_eq!(answers, [Answer::Failed(id.clone(), FailReason::GivenUp)], "it ran"),
        }
        let releases =
            |request: &BoxRequest| matches!(request, BoxRequest::Release { session, .. } if *session == id);
        assert!(stage.world.exchanges.values().any(releases), "{:?}", stage.world.exchanges);
        assert_eq!(stage.outcomes(), [Outcome::Withdrawn]);
    }
}

#[test]
fn what_plays_plays_on_under_a_lost_lease_and_ends_only_as_its_class_says() {
    let mut stage = Stage::under(Rules::default());
    let (id, _) = stage.play();
    stage.world.ledger.set_lease_time(|| LEASE + 1);
    stage.world.give(Input::Tick);
    stage.world.give(stand(closed("clip", false), 2 * LEASE, 2 * LEASE));
    assert!(stage.world.ledger.contains(&id));
    let out = stage.world.give(stand(closed("clip", true), 2 * LEASE, 2 * LEASE));
    assert!(
        out.contains(&Output::Notify(VIEWER, Notification::Ended(id.clone(), EndReason::Rules))),
        "{out:?}"
    );
    assert!(!stage.world.ledger.contains(&id));
}

#[test]
fn a_box_that_is_held_gets_nothing_new_and_one_that_drains_is_told_of_as_draining() {
    let order = |order| Rules { boxes: [("0".to_owned(), order)].into(), ..Rules::default() };
    let mut stage = Stage::under(order(Order::Hold));
    let id = SessionId("f0-00000001-0000000001".into());
    *stage.todo.borrow_mut() = vec![Action::SetUp(id, ServerId(0), 300 * MS)];
    stage.world.open(VIEWER, CLIP);
    assert!(stage.world.dials.is_empty() && stage.world.exchanges.is_empty());
    assert_eq!((stage.outcomes(), stage.answers()), (vec![Outcome::Full], vec![]), "another box may take it");

    let states = |stage: &Stage| {
        let told = stage.told.borrow();
        let last = told.iter().rev().find_map(|event| match event {
            Event::Servers(_, entries) => Some(entries.iter().map(|entry| entry.state).collect::<Vec<_>>()),
            _ => None,
        });
        last.unwrap_or_default()
    };
    let mut stage = Stage::under(Rules::default());
    stage.world.give(Input::List(ListKind::Changes, vec![listed(0, ServerState::Ready, None)]));
    assert_eq!(states(&stage), [ServerState::Ready]);
    stage.world.give(stand(order(Order::Drain), LEASE, LEASE));
    assert_eq!(states(&stage), [ServerState::Draining]);
    stage.world.give(stand(Rules::default(), LEASE, LEASE));
    assert_eq!(states(&stage), [ServerState::Ready], "an order that is taken back");
}

proptest! {
    /// Whatever comes in any order, with rules that change and leases that run out: the guards hold, and no set-up or
    /// answer goes out that the rules of that moment refuse.
    #[test]
    fn no_act_is_written_that_the_rules_of_the_moment_refuse(seed in any::<u64>()) {
        let chaos = Chaos { rng: Pcg32::seed_from_u64(seed), known: Vec::new() };
        let mut world = World::new(chaos, seed);
        world = World { ledger: world.ledger.with_rules(under()), ..world };
        let (mut open, mut until) = ([false; 2], 0);
        for _ in 0..300 {
            if world.below(10) == 0 {
                let rules = match world.below(3) {
                    0 => Rules::default(),
                    1 => closed("clip", world.below(2) == 0),
                    _ => closed("paid", false),
                };
                open = ["clip", "paid"].map(|class| rules.terms(class).open);
                until = world.now + world.below(2_000) as u64 * MS;
                world.give(stand(rules, until, until));
            }
            let now = world.now;
            world.ledger.set_lease_time(|| now);
            let (answered, out): (Vec<_>, Vec<_>) = (
                world.playing.keys().cloned().collect(),
                world.exchanges.keys().copied().collect(),
            );
            world.step();
            // The clock of leases stands still within the step.
            let may = |class: usize| open[class] && now < until;
            for (id, _) in world.playing.iter().filter(|(id, _)| !answered.contains(id)) {
                prop_assert!(may(world.seen[id].class), "{id:?} plays against the rules");
            }
            for (conn, request) in world.exchanges.iter().filter(|(conn, _)| !out.contains(conn)) {
                if let BoxRequest::SetUp { open_request: opening, .. } = request {
                    prop_assert!(may(opening.class), "{conn:?}: {request:?}");
                }
            }
        }
    }
}
