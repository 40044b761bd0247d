//! Decisions one by one, through the public interface.

mod common;
use common::*;
use salttally::interface::*;

#[test]
fn the_draw_rises_from_the_lower_threshold_and_is_certain_from_the_upper() {
    let controller = Bench::new(settings()).controller;
    let p = |load| controller.move_probability(load);
    assert_eq!((p(0.0), p(0.79), p(0.80)), (0.0, 0.0, 0.0));
    assert!((p(0.90) - p(0.999_999) / 2.0).abs() < 1e-4, "linear between the thresholds");
    assert!(p(0.85) > 0.0 && p(0.999) < 1.0);
    assert_eq!((p(1.0), p(3.0)), (1.0, 1.0));
}

#[test]
fn a_dear_move_is_drawn_less_often_but_stays_certain_above_the_upper_threshold() {
    let dear = Bench::new(Settings { move_price: 0.2, ..settings() }).controller;
    let cheap = Bench::new(Settings { move_price: 0.0, ..settings() }).controller;
    assert!(dear.move_probability(0.9) < cheap.move_probability(0.9));
    assert_eq!(dear.move_probability(1.0), 1.0);
}

#[test]
fn a_newcomer_goes_to_the_least_loaded_holder() {
    let mut bench = Bench::new(settings());
    for (server, load) in [(0, 0.7), (1, 0.3), (2, 0.5)] {
        bench.playing(&format!("p{server}"), server, 0);
        bench.note(&format!("p{server}"), server, Note::Link(load));
    }
    assert_eq!(sent(&bench.ask(request("new", 0, 0, 3))), Some(1));
}

#[test]
fn above_the_upper_threshold_a_session_moves_and_the_newcomer_follows() {
    let mut bench = Bench::new(settings());
    bench.playing("old", 0, 0);
    bench.note("old", 0, Note::Link(1.05));
    let actions = bench.after(SECOND).ask(request("new", 0, 0, 1));
    assert!(moved(&actions), "{actions:?}");
    assert_eq!(sent(&actions), Some(0));
    // The moved viewer comes back and goes to the planned holder; nobody else is moved for it.
    bench.end("old", 0, 0, Outcome::Withdrawn, true);
    let mut back = request("back", 0, 0, 6);
    back.viewer = request("old", 0, 0, 6).viewer;
    back.moved = true;
    let actions = bench.after(SECOND / 2).ask(back);
    assert!(sent(&actions).is_some_and(|server| server != 0) && !moved(&actions), "{actions:?}");
}

#[test]
fn below_the_lower_threshold_nobody_moves() {
    let mut bench = Bench::new(settings());
    bench.playing("old", 0, 0);
    bench.note("old", 0, Note::Link(0.5));
    assert!(!moved(&bench.ask(request("new", 0, 0, 1))));
}

#[test]
fn moves_are_spaced_per_server() {
    let mut bench = Bench::new(settings());
    for name in ["a", "b", "c"] {
        bench.playing(name, 0, 0);
    }
    bench.note("a", 0, Note::Link(1.05));
    assert!(moved(&bench.after(SECOND).ask(request("n1", 0, 0, 1))));
    assert!(!moved(&bench.after(SECOND).ask(request("n2", 0, 0, 1))));
}

#[test]
fn a_full_server_with_no_move_possible_refuses_at_once_with_a_hold_off() {
    let mut bench = Bench::new(settings());
    bench.ask(request("first", 0, 0, 1));
    // Turned away although its link is not full: its places are, and there is no other holder.
    let actions = bench.end("first", 0, 0, Outcome::Full, false);
    assert!(actions.contains(&Action::Refuse(id("first"), SECOND)), "{actions:?}");
}

#[test]
fn quick_failures_put_a_server_out_and_a_paid_session_is_not_sent_again() {
    let mut bench = Bench::new(settings());
    let first = sent(&bench.ask(request("paid", 1, 0, 3))).expect("sent");
    let actions = bench.end("paid", 0, first, Outcome::Failed, false);
    assert!(actions.contains(&Action::Fail(id("paid"))), "it may have run: {actions:?}");
    for n in 0..6 {
        assert_ne!(sent(&bench.ask(request(&format!("s{n}"), 0, 0, 3))), Some(first), "out for now");
    }
}

#[test]
fn a_failed_server_is_tried_again_within_a_bounded_time() {
    let mut bench = Bench::new(settings());
    let first = sent(&bench.ask(request("s", 0, 0, 3))).expect("sent");
    bench.end("s", 0, first, Outcome::Failed, false);
    bench.after(30 * SECOND);
    let used: Vec<_> = (0..12).filter_map(|n| sent(&bench.ask(request(&format!("t{n}"), 0, 0, 3)))).collect();
    assert!(used.contains(&first));
}

#[test]
fn when_all_holders_look_bad_none_is_ejected() {
    let mut bench = Bench::new(settings());
    for attempt in 0..3 {
        let name = format!("x{attempt}");
        let at = sent(&bench.ask(request(&name, 1, 0, 3))).expect("sent");
        bench.end(&name, 0, at, Outcome::Failed, false);
    }
    assert!(sent(&bench.ask(request("again", 0, 0, 3))).is_some());
}

#[test]
fn a_silent_attempt_leaves_time_for_another_within_the_aim() {
    let mut bench = Bench::new(settings());
    let actions = bench.ask(request("s", 0, 0, 3));
    let Some(Action::SetUp(_, first, time_out)) = actions.last().cloned() else { panic!("{actions:?}") };
    assert!(time_out * 2 < SECOND);
    let actions = bench.after(time_out).end("s", 0, first.0, Outcome::TimedOut, false);
    assert!(sent(&actions).is_some_and(|second| second != first.0));
}

#[test]
fn short_delivery_steps_rungs_down() {
    let mut bench = Bench::new(settings());
    bench.playing("a", 0, 3);
    let actions = bench.after(4 * SECOND).note("a", 0, Note::Link(1.2));
    assert!(rung_of(&actions, "a").is_some_and(|rung| rung < 3), "{actions:?}");
}

#[test]
fn one_short_server_does_not_starve_its_rack() {
    // Reports stay out; server 0 delivers short, its rack mates 2 and 4 in full.
    let mut bench = Bench::new(settings());
    bench.playing_each(&[0, 2, 4], 2, Note::Link(0.4));
    let mut actions = Vec::new();
    for _ in 0..6 {
        actions.extend(bench.after(SECOND).note("p0", 0, Note::Delivered(0.8)));
    }
    assert!(rung_of(&actions, "p0").is_some(), "the short server is relieved");
    assert_eq!((rung_of(&actions, "p2"), rung_of(&actions, "p4")), (None, None));
}

#[test]
fn a_short_rack_is_relieved_though_no_link_is_full() {
    let mut bench = Bench::new(settings());
    bench.playing_each(&[0, 2, 4], 2, Note::Link(0.7));
    let mut actions = Vec::new();
    for _ in 0..3 {
        bench.after(SECOND);
        for server in [0, 2, 4] {
            actions.extend(bench.note(&format!("p{server}"), server, Note::Delivered(0.7)));
        }
    }
    assert!([0, 2, 4].iter().any(|server| rung_of(&actions, &format!("p{server}")).is_some()));
}

#[test]
fn a_short_server_with_its_ladder_used_up_sheds_a_session() {
    let mut bench = Bench::new(settings());
    bench.playing("a", 0, 0);
    bench.playing("b", 0, 0);
    assert!(moved(&bench.after(4 * SECOND).note("a", 0, Note::Link(1.4))));
}

#[test]
fn nothing_new_goes_to_a_server_told_as_draining_or_gone() {
    let mut bench = Bench::new(settings());
    let drain = ServerEntry { state: ServerState::Draining, ..line(0) };
    let gone = ServerEntry { state: ServerState::Removed, ..line(1) };
    bench.tell(Event::Servers(ListKind::Changes, vec![drain, gone]));
    for n in 0..3 {
        let name = format!("s{n}");
        assert_eq!(sent(&bench.ask(request(&name, 0, 0, 3))), Some(2));
        bench.begin(&name, 2);
    }
}

#[test]
fn a_cold_server_gets_no_more_than_this_fronts_share() {
    let mut bench = Bench::new(settings());
    let cold = ServerEntry { started: Some(START), ..line(0) };
    bench.tell(Event::Servers(ListKind::Changes, vec![cold]));
    let mut count = 0;
    for n in 0..110 {
        count += u32::from(sent(&bench.after(SECOND / 10).ask(request(&format!("s{n}"), 0, 0, 1))).is_some());
    }
    // 20 places over 12 s at a warmth of 0.4 and up to twice that pace, in 11 s, shared by two fronts.
    assert!(count >= 1 && f64::from(count) <= 20.0 / 12.0 * 0.4 * 2.0 * 11.0 / 2.0, "{count}");
}

#[test]
fn a_front_born_with_an_old_list_treats_servers_of_unknown_age_as_cold() {
    let mut controller = salttally::controller::Controller::new(settings(), 1);
    let mut out = Vec::new();
    controller.handle(START, &Event::Servers(ListKind::Cached, vec![line(0)]), &mut out);
    out.clear();
    for n in 0..20 {
        controller.handle(START + n, &Event::Request(request(&format!("s{n}"), 0, 0, 1)), &mut out);
    }
    assert!(out.iter().filter(|action| matches!(action, Action::SetUp(..))).count() <= 1);
}

#[test]
fn odd_events_are_taken_quietly() {
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
        let mut bench = Bench::new(settings);
        bench.end("nobody", 3, 9, Outcome::Broken, true);
        bench.note("nobody", 9, Note::Delivered(0.0));
        bench.note("nobody", 9, Note::Link(f64::NAN));
        bench.tell(Event::ClientLeft(id("nobody")));
        bench.tell(Event::Wake(99));
        bench.tell(Event::Servers(ListKind::Changes, vec![line(0), line(0), line(77)]));
        bench.tell(Event::Servers(ListKind::FetchFailed, vec![]));
        bench.ask(request("a", 0, 5, 9));
        assert!(refused(&bench.ask(request("b", 42, 0, 3))), "an unknown class is refused");
        bench.tell(Event::Servers(ListKind::Complete, vec![]));
        assert!(refused(&bench.ask(request("c", 0, 0, 3))), "no server, no session");
    }
}

#[test]
fn a_rack_with_no_room_left_refuses_rather_than_stalls_all() {
    // The only holder has room on its link, but its rack's uplink is full at the lowest rungs.
    let mut bench = Bench::new(settings());
    bench.playing_each(&[0, 2, 4], 0, Note::Uplink(1.3));
    bench.playing_each(&[1, 3, 5], 0, Note::Uplink(1.3));
    assert!(refused(&bench.after(SECOND).ask(request("new", 0, 0, 1))));
}

#[test]
fn a_figure_from_before_a_loss_does_not_keep_a_server_empty() {
    let mut bench = Bench::new(settings());
    bench.playing("a", 1, 0);
    bench.note("a", 1, Note::Uplink(1.6));
    assert!(refused(&bench.ask(request("full", 0, 1, 1))), "its uplink is full");
    bench.end("a", 0, 1, Outcome::Ok, true);
    assert_eq!(sent(&bench.after(60 * SECOND).ask(request("new", 0, 1, 1))), Some(1));
}

#[test]
fn with_no_move_possible_a_newcomer_is_sent_below_capacity() {
    let mut bench = Bench::new(settings());
    bench.playing("old", 0, 0);
    bench.note("old", 0, Note::Link(0.99));
    for server in 1..6 {
        bench.playing(&format!("p{server}"), server, 0);
        bench.note(&format!("p{server}"), server, Note::Link(0.95));
    }
    for n in 0..5 {
        let actions = bench.after(SECOND / 10).ask(request(&format!("n{n}"), 0, 0, 1));
        assert!(!moved(&actions), "no holder lies below the lower threshold: {actions:?}");
        if n == 0 {
            assert_eq!(sent(&actions), Some(0));
        }
    }
}

#[test]
fn a_viewer_moved_lately_is_not_moved_again() {
    let mut bench = Bench::new(settings());
    bench.playing("old", 0, 0);
    bench.note("old", 0, Note::Link(1.05));
    assert!(moved(&bench.after(SECOND).ask(request("n1", 0, 0, 1))));
    bench.end("old", 0, 0, Outcome::Withdrawn, true);
    let mut back = request("back", 0, 0, 6);
    (back.viewer, back.moved) = (request("old", 0, 0, 6).viewer, true);
    let server = sent(&bench.after(SECOND / 2).ask(back)).expect("sent to the planned holder");
    bench.begin("back", server);
    bench.note("back", server, Note::Link(1.05));
    assert!(!moved(&bench.after(6 * SECOND).ask(request("n2", 0, server, 1))));
}

#[test]
fn a_broken_connection_does_not_empty_a_server_whose_sessions_play_on() {
    // All but 0 are busy; an attempt at 0 breaks while an older session plays there.
    let broken = |told: bool, old: bool| {
        let mut bench = Bench::new(Settings { racks: 0, ..settings() });
        if old {
            bench.playing("old", 0, 0);
            bench.note("old", 0, Note::Link(0.1));
        }
        bench.playing_each(&[1, 2, 3, 4, 5], 0, Note::Link(0.7));
        bench.after(20 * SECOND);
        assert_eq!(sent(&bench.ask(request("new", 1, 0, 1))), Some(0));
        bench.end("new", 0, 0, Outcome::Broken, true);
        if !old {
            bench.playing("young", 0, 0);
        }
        bench.after(3 * SECOND);
        if told {
            bench.note(if old { "old" } else { "young" }, 0, Note::Link(0.1));
        }
        bench.playing_each(&[1, 2, 3, 4, 5], 0, Note::Link(0.7));
        sent(&bench.ask(request("next", 0, 0, 6)))
    };
    assert_eq!(broken(true, true), Some(0));
    assert_ne!(broken(false, true), Some(0), "nothing was heard since");
    assert_ne!(broken(true, false), Some(0), "what began since does not tell of the process before");
}

#[test]
fn requests_that_every_server_errs_on_do_not_empty_the_servers() {
    let mut bench = Bench::new(Settings { racks: 0, ..settings() });
    bench.playing_each(&[0, 1, 2, 3, 4, 5], 0, Note::Link(0.5));
    // A useless request is tried at three servers; no good one avoids them after it.
    let mut at = sent(&bench.ask(request("bad", 0, 0, 3))).expect("sent");
    let mut tried = vec![at];
    for attempt in 0..2 {
        let actions = bench.end("bad", attempt, at, Outcome::Failed, false);
        at = sent(&actions).expect("tried elsewhere");
        tried.push(at);
    }
    bench.end("bad", 2, at, Outcome::Failed, false);
    tried.sort_unstable();
    assert_eq!(tried, [0, 1, 2]);
    let mut used = std::collections::BTreeSet::new();
    for n in 0..40 {
        bench.after(SECOND / 100);
        let name = format!("good{n}");
        let at = sent(&bench.ask(request(&name, 0, 0, 3))).expect("sent");
        bench.begin(&name, at);
        bench.end(&name, 0, at, Outcome::Ok, true);
        used.insert(at);
    }
    assert_eq!(used.len(), 3);
}

#[test]
fn an_error_among_many_good_answers_is_the_requests_fault_and_many_errors_are_the_servers() {
    let after = |good: usize, errors: usize| {
        let mut bench = Bench::new(Settings { racks: 0, ..settings() });
        bench.playing_each(&[0], 0, Note::Link(0.1));
        bench.playing_each(&[1, 2, 3, 4, 5], 0, Note::Link(0.6));
        for n in 0..good + errors {
            let name = format!("paid{n}");
            let Some(0) = sent(&bench.after(SECOND / 10).ask(request(&name, 1, 0, 3))) else { break };
            if n < good {
                bench.begin(&name, 0);
                bench.end(&name, 0, 0, Outcome::Ok, true);
            } else {
                bench.end(&name, 0, 0, Outcome::Failed, false);
            }
        }
        sent(&bench.ask(request("next", 0, 0, 3)))
    };
    assert_eq!(after(8, 1), Some(0));
    assert_ne!(after(0, 1), Some(0), "nothing speaks for it");
    assert_ne!(after(8, 4), Some(0));
}

#[test]
fn a_server_at_which_an_attempt_is_in_doubt_is_sent_nothing_until_that_is_resolved() {
    let in_doubt = |bench: &mut Bench, copies: u32| {
        let server = sent(&bench.ask(request("s", 0, 0, copies))).expect("sent");
        bench.after(SECOND / 2);
        bench.tell(Event::InDoubt { session: id("s"), server: ServerId(server) });
        (server, bench.end("s", 0, server, Outcome::TimedOut, false))
    };
    let mut bench = Bench::new(Settings { warm_up: 0, ..settings() });
    let (first, actions) = in_doubt(&mut bench, 2);
    assert!(sent(&actions).is_some_and(|other| other != first), "another holder at once: {actions:?}");
    let mut bench = Bench::new(Settings { warm_up: 0, ..settings() });
    let (only, actions) = in_doubt(&mut bench, 1);
    assert_eq!((sent(&actions), refused(&actions)), (None, false), "it waits: {actions:?}");
    let resolved = Event::Resolved { session: id("s"), server: ServerId(only) };
    assert_eq!(sent(&bench.after(SECOND / 100).tell(resolved)), Some(only));
    let mut bench = Bench::new(Settings { warm_up: 0, ..settings() });
    in_doubt(&mut bench, 1);
    assert!(refused(&bench.after(SECOND / 5).tell(Event::Wake(1))), "not for long");
}
