//! Tests of a ledger with agreed rules: what is refused, and that permissions are checked at the moment of
//! writing.

use salttally_accord::core::coordination::CoordinationState;
use salttally_accord::core::rules::{ClassTerms, Order, RefusedParty, Rules};

use super::*;
use crate::core::agreed_rules::{AgreedRules, SettingsNames};

fn number(name: &str) -> ViewerId {
    ViewerId(name.parse().unwrap_or(u64::MAX))
}

fn agreed_rules() -> AgreedRules {
    let classes = vec!["clip".to_owned(), "paid".to_owned()];
    let titles = [(TitleId(1), "one".to_owned())].into();
    AgreedRules::new(SettingsNames { classes, titles, viewer: Some(number) })
}

fn coordination(rules: Rules, until: Micros, alone: Micros) -> Input {
    let rules = std::sync::Arc::new(rules.normalized());
    let (agreed, meet) = (std::sync::Arc::clone(&rules), rules);
    Input::Coordination(Box::new(CoordinationState {
        begun: 1,
        latest: 1,
        lease_until: until,
        grace_until: alone,
        agreed,
        meet,
        successors: std::sync::Arc::default(),
    }))
}

const LEASE: Micros = 1_000_000 * MS;

impl TestBench {
    fn with_rules(rules: Rules) -> TestBench {
        let mut bench = TestBench::new();
        bench.world = World { ledger: bench.world.ledger.with_rules(agreed_rules()), ..bench.world };
        bench.world.handle_input(coordination(rules, LEASE, LEASE));
        bench
    }

    fn open_session(&mut self, class: usize) -> Option<Answer> {
        self.world.open(VIEWER, class);
        self.world.opens.last_key_value().and_then(|(_, answer)| answer.clone())
    }
}

fn closed_class(class: &str, ends: bool) -> Rules {
    let terms = ClassTerms { open: false, ends, ..ClassTerms::default() };
    Rules { classes: [(class.to_owned(), terms)].into(), ..Rules::default() }
}

#[test]
fn front_without_agreed_rules_refuses_sessions() {
    let mut bench = TestBench::new();
    bench.world = World { ledger: bench.world.ledger.with_rules(agreed_rules()), ..bench.world };
    assert!(matches!(bench.open_session(CLIP), Some(Answer::Refused(_, after)) if after > 0));
}

#[test]
fn forbidden_viewers_tenants_classes_and_titles_are_refused_with_a_hold_off() {
    let refused = |who| Rules { refused: [who].into(), ..Rules::default() };
    let no_cells = Rules { titles: [("one".to_owned(), [].into())].into(), ..Rules::default() };
    for (rules, refused_expected) in [
        (Rules::default(), false),
        (refused(RefusedParty::Viewer("1".into())), true),
        (refused(RefusedParty::Viewer("2".into())), false),
        (closed_class("clip", false), true),
        (closed_class("paid", false), false),
        (no_cells, true),
        (Rules { closed: (0..4).collect(), ..Rules::default() }, true),
        (Rules { closed: (0..3).collect(), ..Rules::default() }, false),
    ] {
        let mut bench = TestBench::with_rules(rules.clone());
        let answer = bench.open_session(CLIP);
        assert_eq!(
            matches!(answer, Some(Answer::Refused(_, after)) if after > 0),
            refused_expected,
            "{rules:?}: {answer:?}"
        );
    }
    let mut bench = TestBench::with_rules(refused(RefusedParty::Tenant("7".into())));
    bench.world.opens.insert((VIEWER, Ticket(50)), None);
    let of_tenant = OpenRequest { tenant: Some(ViewerId(7)), ..open_request(1, CLIP) };
    bench.world.handle_input(Input::Open(VIEWER, Ticket(50), of_tenant));
    assert!(matches!(bench.answers()[..], [Answer::Refused(..)]));
}

#[test]
fn seats_count_current_sessions() {
    let terms = ClassTerms { seats: 1, ..ClassTerms::default() };
    let mut bench =
        TestBench::with_rules(Rules { classes: [("clip".to_owned(), terms)].into(), ..Rules::default() });
    bench.play();
    assert!(matches!(bench.open_session(CLIP), Some(Answer::Refused(..))));
    assert_eq!(bench.open_session(PAID), None, "another class has its own seats");
}

#[test]
fn request_is_restricted_to_the_top_rung_and_open_cells() {
    let rules = Rules { ladder: Some(1), closed: [1].into(), ..Rules::default() };
    let mut bench = TestBench::with_rules(rules);
    bench.world.open(VIEWER, CLIP);
    let events = bench.events.borrow();
    let Some(Event::Request(request)) = events.iter().rev().find(|event| matches!(event, Event::Request(_)))
    else {
        panic!("no request: {events:?}");
    };
    assert_eq!((request.top_rung, request.first_cell, request.cell_count), (1, 2, 2));
}

#[test]
fn set_up_decided_before_lease_expiry_is_not_sent_after_it() {
    let mut bench = TestBench::with_rules(Rules::default());
    let id = SessionId("f0-00000001-0000000001".into());
    bench.world.open(VIEWER, PAID);
    // The decider decides only now, after the process was suspended for longer than its lease.
    bench.world.ledger.set_lease_time(|| LEASE + 1);
    *bench.actions.borrow_mut() =
        vec![Action::SetRung(id.clone(), 1), Action::SetUp(id.clone(), ServerId(0), 300 * MS)];
    bench.world.now += 50 * MS;
    bench.world.handle_input(Input::List(ListKind::Changes, vec![listed(0, ServerState::Ready, None)]));
    assert!(bench.world.dials.is_empty() && bench.world.exchanges.is_empty());
    assert!(matches!(bench.answers()[..], [Answer::Refused(..)]), "{:?}", bench.answers());
    assert_eq!(bench.outcomes(), [Outcome::NotSent]);
}

#[test]
fn session_started_after_lease_expiry_is_released() {
    for class in [CLIP, PAID] {
        let mut bench = TestBench::with_rules(Rules::default());
        let (id, conn) = bench.set_up(class);
        bench.world.ledger.set_lease_time(|| LEASE + 1);
        bench.world.end_exchange(conn, 8);
        let answers = bench.answers();
        match class {
            CLIP => assert!(matches!(answers[..], [Answer::Refused(..)]), "{answers:?}"),
            _ => assert_eq!(answers, [Answer::Failed(id.clone(), FailReason::GivenUp)], "it was executed"),
        }
        let releases =
            |request: &BoxRequest| matches!(request, BoxRequest::Release { session, .. } if *session == id);
        assert!(bench.world.exchanges.values().any(releases), "{:?}", bench.world.exchanges);
        assert_eq!(bench.outcomes(), [Outcome::Withdrawn]);
    }
}

#[test]
fn playing_sessions_outlive_the_lease_and_end_only_by_class_rules() {
    let mut bench = TestBench::with_rules(Rules::default());
    let (id, _) = bench.play();
    bench.world.ledger.set_lease_time(|| LEASE + 1);
    bench.world.handle_input(Input::Tick);
    bench.world.handle_input(coordination(closed_class("clip", false), 2 * LEASE, 2 * LEASE));
    assert!(bench.world.ledger.contains(&id));
    let out = bench.world.handle_input(coordination(closed_class("clip", true), 2 * LEASE, 2 * LEASE));
    assert!(
        out.contains(&Output::Notify(VIEWER, Notification::Ended(id.clone(), EndReason::Rules))),
        "{out:?}"
    );
    assert!(!bench.world.ledger.contains(&id));
}

#[test]
fn box_orders_hold_and_drain_are_applied() {
    let order = |order| Rules { boxes: [("0".to_owned(), order)].into(), ..Rules::default() };
    let mut bench = TestBench::with_rules(order(Order::Hold));
    let id = SessionId("f0-00000001-0000000001".into());
    *bench.actions.borrow_mut() = vec![Action::SetUp(id, ServerId(0), 300 * MS)];
    bench.world.open(VIEWER, CLIP);
    assert!(bench.world.dials.is_empty() && bench.world.exchanges.is_empty());
    assert_eq!((bench.outcomes(), bench.answers()), (vec![Outcome::Full], vec![]), "another box may take it");

    let states = |bench: &TestBench| {
        let events = bench.events.borrow();
        let last = events.iter().rev().find_map(|event| match event {
            Event::Servers(_, entries) => Some(entries.iter().map(|entry| entry.state).collect::<Vec<_>>()),
            _ => None,
        });
        last.unwrap_or_default()
    };
    let mut bench = TestBench::with_rules(Rules::default());
    bench.world.handle_input(Input::List(ListKind::Changes, vec![listed(0, ServerState::Ready, None)]));
    assert_eq!(states(&bench), [ServerState::Ready]);
    bench.world.handle_input(coordination(order(Order::Drain), LEASE, LEASE));
    assert_eq!(states(&bench), [ServerState::Draining]);
    bench.world.handle_input(coordination(Rules::default(), LEASE, LEASE));
    assert_eq!(states(&bench), [ServerState::Ready], "the order is revoked");
}

proptest! {
    /// For random actions, changing rules and expiring leases: no set-up or answer goes out that the rules of
    /// that moment forbid.
    #[test]
    fn nothing_is_sent_that_the_current_rules_forbid(seed in any::<u64>()) {
        let decider = RandomDecider { rng: Pcg32::seed_from_u64(seed), known: Vec::new() };
        let mut world = World::new(decider, seed);
        world = World { ledger: world.ledger.with_rules(agreed_rules()), ..world };
        let (mut open, mut until) = ([false; 2], 0);
        for _ in 0..300 {
            if world.random_below(10) == 0 {
                let rules = match world.random_below(3) {
                    0 => Rules::default(),
                    1 => closed_class("clip", world.random_below(2) == 0),
                    _ => closed_class("paid", false),
                };
                open = ["clip", "paid"].map(|class| rules.terms(class).open);
                until = world.now + world.random_below(2_000) as u64 * MS;
                world.handle_input(coordination(rules, until, until));
            }
            let now = world.now;
            world.ledger.set_lease_time(|| now);
            let (answered, out): (Vec<_>, Vec<_>) = (
                world.playing.keys().cloned().collect(),
                world.exchanges.keys().copied().collect(),
            );
            world.random_step();
            // The lease clock does not advance within the step.
            let allowed = |class: usize| open[class] && now < until;
            for (id, _) in world.playing.iter().filter(|(id, _)| !answered.contains(id)) {
                prop_assert!(allowed(world.traces[id].class), "{id:?} plays although the rules forbid it");
            }
            for (conn, request) in world.exchanges.iter().filter(|(conn, _)| !out.contains(conn)) {
                if let BoxRequest::SetUp { open_request, .. } = request {
                    prop_assert!(allowed(open_request.class), "{conn:?}: {request:?}");
                }
            }
        }
    }
}
