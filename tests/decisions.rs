//! Single decisions of the controller, through its public interface.

mod common;
use common::*;
use salttally::interface::*;

#[test]
fn move_probability_rises_linearly_from_min_th_and_is_one_from_max_th() {
    let controller = Harness::new(settings()).controller;
    let probability = |load| controller.move_probability(load);
    assert_eq!((probability(0.0), probability(0.79), probability(0.80)), (0.0, 0.0, 0.0));
    assert!((probability(0.90) - probability(0.999_999) / 2.0).abs() < 1e-4, "linear between the thresholds");
    assert!(probability(0.85) > 0.0 && probability(0.999) < 1.0);
    assert_eq!((probability(1.0), probability(3.0)), (1.0, 1.0));
}

#[test]
fn a_high_move_price_lowers_the_move_probability_below_max_th_only() {
    let expensive = Harness::new(Settings { move_price: 0.2, ..settings() }).controller;
    let cheap = Harness::new(Settings { move_price: 0.0, ..settings() }).controller;
    assert!(expensive.move_probability(0.9) < cheap.move_probability(0.9));
    assert_eq!(expensive.move_probability(1.0), 1.0);
}

#[test]
fn a_new_session_goes_to_the_least_loaded_holder() {
    let mut harness = Harness::new(settings());
    for (server, load) in [(0, 0.7), (1, 0.3), (2, 0.5)] {
        harness.add_playing(&format!("p{server}"), server, 0);
        harness.note(&format!("p{server}"), server, Note::Link(load));
    }
    assert_eq!(set_up_server(&harness.request(request("new", 0, 0, 3))), Some(1));
}

#[test]
fn above_max_th_a_session_moves_and_the_new_one_takes_its_place() {
    let mut harness = Harness::new(settings());
    harness.add_playing("old", 0, 0);
    harness.note("old", 0, Note::Link(1.05));
    let actions = harness.advance(SECOND).request(request("new", 0, 0, 1));
    assert!(has_move(&actions), "{actions:?}");
    assert_eq!(set_up_server(&actions), Some(0));
    // The moved viewer returns and is sent to the planned holder; no other session moves for it.
    harness.end("old", 0, 0, Outcome::Withdrawn, true);
    let mut back = request("back", 0, 0, 6);
    back.viewer = request("old", 0, 0, 6).viewer;
    back.moved = true;
    let actions = harness.advance(SECOND / 2).request(back);
    assert!(set_up_server(&actions).is_some_and(|server| server != 0) && !has_move(&actions), "{actions:?}");
}

#[test]
fn below_min_th_no_session_moves() {
    let mut harness = Harness::new(settings());
    harness.add_playing("old", 0, 0);
    harness.note("old", 0, Note::Link(0.5));
    assert!(!has_move(&harness.request(request("new", 0, 0, 1))));
}

#[test]
fn moves_are_spaced_per_server() {
    let mut harness = Harness::new(settings());
    for name in ["a", "b", "c"] {
        harness.add_playing(name, 0, 0);
    }
    harness.note("a", 0, Note::Link(1.05));
    assert!(has_move(&harness.advance(SECOND).request(request("n1", 0, 0, 1))));
    assert!(!has_move(&harness.advance(SECOND).request(request("n2", 0, 0, 1))));
}

#[test]
fn a_full_server_with_no_move_possible_refuses_at_once_with_a_hold_off() {
    let mut harness = Harness::new(settings());
    harness.request(request("first", 0, 0, 1));
    // Turned away, as the server's places are full although its link is not; there is no other holder.
    let actions = harness.end("first", 0, 0, Outcome::Full, false);
    assert!(actions.contains(&Action::Refuse(id("first"), SECOND)), "{actions:?}");
}

#[test]
fn a_failed_server_is_backed_off_and_a_paid_session_is_not_repeated() {
    let mut harness = Harness::new(settings());
    let first = set_up_server(&harness.request(request("paid", 1, 0, 3))).expect("sent");
    let actions = harness.end("paid", 0, first, Outcome::Failed, false);
    assert!(actions.contains(&Action::Fail(id("paid"))), "it may have run: {actions:?}");
    for n in 0..6 {
        assert_ne!(
            set_up_server(&harness.request(request(&format!("s{n}"), 0, 0, 3))),
            Some(first),
            "in backoff"
        );
    }
}

#[test]
fn a_failed_server_is_tried_again_within_a_bounded_time() {
    let mut harness = Harness::new(settings());
    let first = set_up_server(&harness.request(request("s", 0, 0, 3))).expect("sent");
    harness.end("s", 0, first, Outcome::Failed, false);
    harness.advance(30 * SECOND);
    let used: Vec<_> =
        (0..12).filter_map(|n| set_up_server(&harness.request(request(&format!("t{n}"), 0, 0, 3)))).collect();
    assert!(used.contains(&first));
}

#[test]
fn when_all_holders_have_failed_they_are_still_used() {
    let mut harness = Harness::new(settings());
    for attempt in 0..3 {
        let name = format!("x{attempt}");
        let at = set_up_server(&harness.request(request(&name, 1, 0, 3))).expect("sent");
        harness.end(&name, 0, at, Outcome::Failed, false);
    }
    assert!(set_up_server(&harness.request(request("again", 0, 0, 3))).is_some());
}

#[test]
fn a_silent_attempt_leaves_time_for_another_within_the_aim() {
    let mut harness = Harness::new(settings());
    let actions = harness.request(request("s", 0, 0, 3));
    let Some(Action::SetUp(_, first, time_out)) = actions.last().cloned() else { panic!("{actions:?}") };
    assert!(time_out * 2 < SECOND);
    let actions = harness.advance(time_out).end("s", 0, first.0, Outcome::TimedOut, false);
    assert!(set_up_server(&actions).is_some_and(|second| second != first.0));
}

#[test]
fn an_overloaded_link_steps_rungs_down() {
    let mut harness = Harness::new(settings());
    harness.add_playing("a", 0, 3);
    let actions = harness.advance(4 * SECOND).note("a", 0, Note::Link(1.2));
    assert!(rung_of(&actions, "a").is_some_and(|rung| rung < 3), "{actions:?}");
}

#[test]
fn one_short_server_does_not_starve_its_rack() {
    // No further load reports arrive; server 0 delivers short, the others of its rack (2 and 4) in full.
    let mut harness = Harness::new(settings());
    harness.add_playing_each(&[0, 2, 4], 2, Note::Link(0.4));
    let mut actions = Vec::new();
    for _ in 0..6 {
        actions.extend(harness.advance(SECOND).note("p0", 0, Note::Delivered(0.8)));
    }
    assert!(rung_of(&actions, "p0").is_some(), "the short server is relieved");
    assert_eq!((rung_of(&actions, "p2"), rung_of(&actions, "p4")), (None, None));
}

#[test]
fn a_short_uplink_is_relieved_though_no_link_is_full() {
    let mut harness = Harness::new(settings());
    harness.add_playing_each(&[0, 2, 4], 2, Note::Link(0.7));
    let mut actions = Vec::new();
    for _ in 0..3 {
        harness.advance(SECOND);
        for server in [0, 2, 4] {
            actions.extend(harness.note(&format!("p{server}"), server, Note::Delivered(0.7)));
        }
    }
    assert!([0, 2, 4].iter().any(|server| rung_of(&actions, &format!("p{server}")).is_some()));
}

#[test]
fn a_short_server_with_all_rungs_down_moves_a_session() {
    let mut harness = Harness::new(settings());
    harness.add_playing("a", 0, 0);
    harness.add_playing("b", 0, 0);
    assert!(has_move(&harness.advance(4 * SECOND).note("a", 0, Note::Link(1.4))));
}

#[test]
fn no_new_session_goes_to_a_draining_or_removed_server() {
    let mut harness = Harness::new(settings());
    let draining = ServerEntry { state: ServerState::Draining, ..entry(0) };
    let removed = ServerEntry { state: ServerState::Removed, ..entry(1) };
    harness.send(Event::Servers(ListKind::Changes, vec![draining, removed]));
    for n in 0..3 {
        let name = format!("s{n}");
        assert_eq!(set_up_server(&harness.request(request(&name, 0, 0, 3))), Some(2));
        harness.start(&name, 2);
    }
}

#[test]
fn a_cold_server_gets_no_more_than_this_fronts_share() {
    let mut harness = Harness::new(settings());
    let cold = ServerEntry { started: Some(START), ..entry(0) };
    harness.send(Event::Servers(ListKind::Changes, vec![cold]));
    let mut count = 0;
    for n in 0..110 {
        count += u32::from(
            set_up_server(&harness.advance(SECOND / 10).request(request(&format!("s{n}"), 0, 0, 1)))
                .is_some(),
        );
    }
    // 20 places in 12 s, a cold share of 0.4 and up to twice that pace, over 11 s, shared by two fronts.
    assert!(count >= 1 && f64::from(count) <= 20.0 / 12.0 * 0.4 * 2.0 * 11.0 / 2.0, "{count}");
}

#[test]
fn a_front_started_with_a_cached_list_treats_servers_of_unknown_age_as_cold() {
    let mut controller = salttally::controller::Controller::new(settings(), 1);
    let mut out = Vec::new();
    controller.handle(START, &Event::Servers(ListKind::Cached, vec![entry(0)]), &mut out);
    out.clear();
    for n in 0..20 {
        controller.handle(START + n, &Event::Request(request(&format!("s{n}"), 0, 0, 1)), &mut out);
    }
    assert!(out.iter().filter(|action| matches!(action, Action::SetUp(..))).count() <= 1);
}

#[test]
fn unexpected_events_are_handled_without_a_panic() {
    let bare = Settings {
        racks: 0,
        cells: 0,
        ladder: vec![],
        kind_streams: vec![],
        reports: vec![],
        note_interval: 0,
        warm_up: 0,
        fall_multiple: 0.0,
        link_kb_per_unit: 0.0,
        fronts: 0,
        ..settings()
    };
    for settings in [settings(), bare] {
        let mut harness = Harness::new(settings);
        harness.end("nobody", 3, 9, Outcome::Broken, true);
        harness.note("nobody", 9, Note::Delivered(0.0));
        harness.note("nobody", 9, Note::Link(f64::NAN));
        harness.send(Event::ClientLeft(id("nobody")));
        harness.send(Event::Wake(99));
        harness.send(Event::Servers(ListKind::Changes, vec![entry(0), entry(0), entry(77)]));
        harness.send(Event::Servers(ListKind::FetchFailed, vec![]));
        harness.request(request("a", 0, 5, 9));
        assert!(has_refusal(&harness.request(request("b", 42, 0, 3))), "an unknown class is refused");
        harness.send(Event::Servers(ListKind::Complete, vec![]));
        assert!(has_refusal(&harness.request(request("c", 0, 0, 3))), "no server, no session");
    }
}

#[test]
fn a_full_rack_refuses_a_session_rather_than_stall_all() {
    // The only holder has free capacity on its link, but the uplink of its rack is full at the lowest rungs.
    let mut harness = Harness::new(settings());
    harness.add_playing_each(&[0, 2, 4], 0, Note::Uplink(1.3));
    harness.add_playing_each(&[1, 3, 5], 0, Note::Uplink(1.3));
    assert!(has_refusal(&harness.advance(SECOND).request(request("new", 0, 0, 1))));
}

#[test]
fn an_old_measurement_does_not_keep_a_server_empty() {
    let mut harness = Harness::new(settings());
    harness.add_playing("a", 1, 0);
    harness.note("a", 1, Note::Uplink(1.6));
    assert!(has_refusal(&harness.request(request("full", 0, 1, 1))), "its uplink is full");
    harness.end("a", 0, 1, Outcome::Ok, true);
    assert_eq!(set_up_server(&harness.advance(60 * SECOND).request(request("new", 0, 1, 1))), Some(1));
}

#[test]
fn without_a_possible_move_a_new_session_is_sent_below_capacity() {
    let mut harness = Harness::new(settings());
    harness.add_playing("old", 0, 0);
    harness.note("old", 0, Note::Link(0.99));
    for server in 1..6 {
        harness.add_playing(&format!("p{server}"), server, 0);
        harness.note(&format!("p{server}"), server, Note::Link(0.95));
    }
    for n in 0..5 {
        let actions = harness.advance(SECOND / 10).request(request(&format!("n{n}"), 0, 0, 1));
        assert!(!has_move(&actions), "no holder is below Min.th: {actions:?}");
        if n == 0 {
            assert_eq!(set_up_server(&actions), Some(0));
        }
    }
}

#[test]
fn a_recently_moved_viewer_is_not_moved_again() {
    let mut harness = Harness::new(settings());
    harness.add_playing("old", 0, 0);
    harness.note("old", 0, Note::Link(1.05));
    assert!(has_move(&harness.advance(SECOND).request(request("n1", 0, 0, 1))));
    harness.end("old", 0, 0, Outcome::Withdrawn, true);
    let mut back = request("back", 0, 0, 6);
    (back.viewer, back.moved) = (request("old", 0, 0, 6).viewer, true);
    let server =
        set_up_server(&harness.advance(SECOND / 2).request(back)).expect("sent to the planned holder");
    harness.start("back", server);
    harness.note("back", server, Note::Link(1.05));
    assert!(!has_move(&harness.advance(6 * SECOND).request(request("n2", 0, server, 1))));
}

#[test]
fn a_broken_connection_does_not_empty_a_server_whose_sessions_play_on() {
    // All servers but 0 are loaded; an attempt at 0 breaks while an older session plays there.
    let next_server = |noted: bool, old: bool| {
        let mut harness = Harness::new(Settings { racks: 0, ..settings() });
        if old {
            harness.add_playing("old", 0, 0);
            harness.note("old", 0, Note::Link(0.1));
        }
        harness.add_playing_each(&[1, 2, 3, 4, 5], 0, Note::Link(0.7));
        harness.advance(20 * SECOND);
        assert_eq!(set_up_server(&harness.request(request("new", 1, 0, 1))), Some(0));
        harness.end("new", 0, 0, Outcome::Broken, true);
        if !old {
            harness.add_playing("young", 0, 0);
        }
        harness.advance(3 * SECOND);
        if noted {
            harness.note(if old { "old" } else { "young" }, 0, Note::Link(0.1));
        }
        harness.add_playing_each(&[1, 2, 3, 4, 5], 0, Note::Link(0.7));
        set_up_server(&harness.request(request("next", 0, 0, 6)))
    };
    assert_eq!(next_server(true, true), Some(0));
    assert_ne!(next_server(false, true), Some(0), "no note since");
    assert_ne!(
        next_server(true, false),
        Some(0),
        "a newer session does not prove that the process kept running"
    );
}

#[test]
fn requests_that_fail_at_every_server_do_not_put_the_servers_out_of_use() {
    let mut harness = Harness::new(Settings { racks: 0, ..settings() });
    harness.add_playing_each(&[0, 1, 2, 3, 4, 5], 0, Note::Link(0.5));
    // An invalid request fails at three servers; valid requests must still use all three.
    let mut at = set_up_server(&harness.request(request("bad", 0, 0, 3))).expect("sent");
    let mut tried = vec![at];
    for attempt in 0..2 {
        let actions = harness.end("bad", attempt, at, Outcome::Failed, false);
        at = set_up_server(&actions).expect("tried elsewhere");
        tried.push(at);
    }
    harness.end("bad", 2, at, Outcome::Failed, false);
    tried.sort_unstable();
    assert_eq!(tried, [0, 1, 2]);
    let mut used = std::collections::BTreeSet::new();
    for n in 0..40 {
        harness.advance(SECOND / 100);
        let name = format!("good{n}");
        let at = set_up_server(&harness.request(request(&name, 0, 0, 3))).expect("sent");
        harness.start(&name, at);
        harness.end(&name, 0, at, Outcome::Ok, true);
        used.insert(at);
    }
    assert_eq!(used.len(), 3);
}

#[test]
fn one_error_among_good_answers_blames_the_request_and_many_errors_the_server() {
    let next_server = |good: usize, errors: usize| {
        let mut harness = Harness::new(Settings { racks: 0, ..settings() });
        harness.add_playing_each(&[0], 0, Note::Link(0.1));
        harness.add_playing_each(&[1, 2, 3, 4, 5], 0, Note::Link(0.6));
        for n in 0..good + errors {
            let name = format!("paid{n}");
            let Some(0) = set_up_server(&harness.advance(SECOND / 10).request(request(&name, 1, 0, 3)))
            else {
                break;
            };
            if n < good {
                harness.start(&name, 0);
                harness.end(&name, 0, 0, Outcome::Ok, true);
            } else {
                harness.end(&name, 0, 0, Outcome::Failed, false);
            }
        }
        set_up_server(&harness.request(request("next", 0, 0, 3)))
    };
    assert_eq!(next_server(8, 1), Some(0));
    assert_ne!(next_server(0, 1), Some(0), "no good answers");
    assert_ne!(next_server(8, 4), Some(0));
}

#[test]
fn a_server_at_which_an_attempt_is_in_doubt_is_sent_nothing_until_that_is_resolved() {
    let in_doubt = |harness: &mut Harness, copies: u32| {
        let server = set_up_server(&harness.request(request("s", 0, 0, copies))).expect("sent");
        harness.advance(SECOND / 2);
        harness.send(Event::InDoubt { session: id("s"), server: ServerId(server) });
        (server, harness.end("s", 0, server, Outcome::TimedOut, false))
    };
    let mut harness = Harness::new(Settings { warm_up: 0, ..settings() });
    let (first, actions) = in_doubt(&mut harness, 2);
    assert!(
        set_up_server(&actions).is_some_and(|other| other != first),
        "another holder at once: {actions:?}"
    );
    let mut harness = Harness::new(Settings { warm_up: 0, ..settings() });
    let (only, actions) = in_doubt(&mut harness, 1);
    assert_eq!((set_up_server(&actions), has_refusal(&actions)), (None, false), "it waits: {actions:?}");
    let resolved = Event::Resolved { session: id("s"), server: ServerId(only) };
    assert_eq!(set_up_server(&harness.advance(SECOND / 100).send(resolved)), Some(only));
    let mut harness = Harness::new(Settings { warm_up: 0, ..settings() });
    in_doubt(&mut harness, 1);
    assert!(has_refusal(&harness.advance(SECOND / 5).send(Event::Wake(1))), "not for long");
}

// Guards against a third set-up outside of the time in which servers recognise a repetition of the first.
#[test]
fn deduplicated_class_is_sent_again_only_within_the_window_of_its_first_attempt() {
    let mut deduplicated = class(Effect::Deduplicated);
    deduplicated.window = SECOND;
    let mut harness = Harness::new(Settings { classes: vec![deduplicated], ..settings() });
    let mut actions = harness.request(request("a", 0, 0, 6));
    let mut sent = Vec::new();
    for attempt in 0..3 {
        let Some(server) = set_up_server(&actions) else { break };
        sent.push(harness.now);
        harness.advance(3 * SECOND / 5);
        actions = harness.end("a", attempt, server, Outcome::TimedOut, false);
    }
    assert_eq!(sent, [START, START + 3 * SECOND / 5], "the third would be sent 1.2 s after the first");
}
