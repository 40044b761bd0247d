//! Dangers of size: a front that knows few servers first-hand, and many fronts that hear the same.

mod common;
use common::*;
use salttally::controller::Controller;
use salttally::interface::*;

fn many(fronts: u32) -> Settings {
    Settings { fronts, links_kb: 24_000.0 * f64::from(fronts), racks: 0, ..settings() }
}

fn probing() -> Settings {
    Settings { probes: true, ..settings() }
}

#[test]
fn an_unknown_server_is_taken_for_usual_and_not_for_empty() {
    let mut bench = Bench::new(many(90));
    bench.playing_each(&[2, 3, 4, 5], 0, Note::Link(0.8));
    bench.playing_each(&[1], 0, Note::Link(0.4));
    assert_eq!(
        sent(&bench.ask(request("new", 0, 0, 2))),
        Some(1),
        "0 was not heard of, 1 is known to be free"
    );
}

#[test]
fn an_unknown_server_is_not_refused_though_the_fleet_is_full() {
    let mut bench = Bench::new(many(90));
    bench.playing_each(&[1, 2, 3, 4, 5], 0, Note::Link(1.3));
    assert_eq!(sent(&bench.ask(request("new", 0, 0, 1))), Some(0));
}

#[test]
fn fronts_that_know_nothing_do_not_choose_the_same_server() {
    let mut chosen = [0u32; 6];
    for seed in 0..60 {
        let mut bench = Bench::seeded(many(60), seed);
        let server = sent(&bench.ask(request("new", 0, 0, 6))).expect("sent");
        chosen[server as usize] += 1;
    }
    assert!(chosen.iter().all(|count| (2..=25).contains(count)), "{chosen:?}");
}

#[test]
fn fronts_that_hear_the_same_free_the_excess_together_and_no_more() {
    let (mut freed, asked) = (0.0, 60.0 * 800.0);
    for seed in 0..60 {
        let mut bench = Bench::seeded(many(60), seed);
        bench.playing("a", 0, 2);
        let actions = bench.after(4 * SECOND).note("a", 0, Note::Link(1.2));
        let rung = rung_of(&actions, "a").unwrap_or(2);
        freed += 800.0 - settings().ladder[rung].kb;
    }
    let excess = asked * (1.0 - 1.0 / 1.2);
    assert!(freed > 0.6 * excess && freed < 2.0 * excess, "{freed} of {excess}");
}

#[test]
fn a_dead_holder_is_found_by_a_probe_and_not_by_a_paid_session() {
    let mut bench = Bench::new(probing());
    let actions = bench.ask(request("paid", 1, 0, 2));
    assert_eq!((actions.contains(&Action::Probe(ServerId(0))), sent(&actions)), (true, None), "{actions:?}");
    let alive = Event::Probed { server: ServerId(1), outcome: Outcome::Ok, report: vec![0.5] };
    assert_eq!(sent(&bench.tell(alive)), None, "the other holder has not answered yet");
    let dead = Event::Probed { server: ServerId(0), outcome: Outcome::NoConnection, report: vec![] };
    assert_eq!(sent(&bench.tell(dead)), Some(1));
}

#[test]
fn a_session_does_not_wait_long_for_probes() {
    let mut bench = Bench::new(probing());
    bench.ask(request("s", 0, 0, 2));
    assert!(sent(&bench.after(SECOND / 8).tell(Event::Wake(1))).is_some());
}

#[test]
fn no_probe_is_sent_where_it_is_forbidden_dear_or_of_no_use() {
    let probes = |set: Settings, noted: bool| {
        let mut bench = Bench::new(set);
        if noted {
            bench.playing_each(&[0, 1], 0, Note::Link(0.5));
        }
        bench.ask(request("s", 0, 0, 2)).iter().any(|action| matches!(action, Action::Probe(_)))
    };
    assert!(probes(probing(), false));
    assert!(!probes(settings(), false), "forbidden");
    assert!(!probes(Settings { probe_price: 0.1, ..probing() }, false), "dear");
    assert!(!probes(probing(), true), "just heard of");
}

#[test]
fn a_zone_whose_servers_are_found_down_in_a_row_is_doubted() {
    let mut bench = Bench::new(Settings { fronts: 90, max_attempts: 9, ..settings() });
    let far = |id| ServerEntry { zone: 1, ..line(id) };
    bench.tell(Event::Servers(ListKind::Changes, vec![far(0), far(1), far(2), far(3)]));
    let mut actions = bench.ask(request("s", 0, 0, 3));
    for attempt in 0..3 {
        let at = sent(&actions).expect("another holder");
        actions = bench.end("s", attempt, at, Outcome::NoConnection, false);
    }
    // Server 3 was never tried and 4 is fuller, but 3 stands where all others were down.
    bench.playing_each(&[4], 0, Note::Link(0.7));
    assert_eq!(sent(&bench.ask(request("t", 0, 3, 2))), Some(4));
}

#[test]
fn a_server_that_grows_slower_is_left_before_it_dies() {
    let mut bench = Bench::new(many(90));
    bench.playing("old", 0, 2);
    bench.playing_each(&[1, 2], 0, Note::Link(0.5));
    let mut actions = Vec::new();
    for load in [0.6, 1.1, 1.8, 3.0, 5.0] {
        actions.extend(bench.after(3 * SECOND).note("old", 0, Note::Link(load)));
    }
    assert_eq!(rung_of(&actions, "old"), Some(0));
    assert!(moved(&actions), "the ladder is used up: {actions:?}");
    assert_ne!(sent(&bench.ask(request("new", 0, 0, 2))), Some(0));
}

#[test]
fn a_wave_of_drains_and_cold_successors_leaves_every_session_answered_at_once() {
    let mut bench = Bench::new(many(90));
    let drain = |id| ServerEntry { state: ServerState::Draining, ..line(id) };
    let fresh = |id: u32| ServerEntry { server: ServerId(id + 10), started: Some(START), ..line(id) };
    bench.tell(Event::Servers(ListKind::Changes, (0..5).map(drain).chain((0..5).map(fresh)).collect()));
    for n in 0..40 {
        let actions = bench.after(SECOND / 5).ask(request(&format!("s{n}"), 0, 0, 6));
        let server = sent(&actions);
        assert!(server.is_none_or(|server| server == 5 || server >= 10), "{actions:?}");
        assert!(server.is_some() || refused(&actions), "{actions:?}");
    }
}

#[test]
fn an_uplink_is_told_from_the_only_own_link_behind_it() {
    // The link's own figure is low and fresh, delivery is short: the rack's uplink it must be.
    let mut bench = Bench::new(Settings { fronts: 90, uplink_kb: 6000.0, ..settings() });
    bench.playing("a", 0, 2);
    bench.note("a", 0, Note::Link(0.4));
    let mut steps = 0;
    for _ in 0..3 {
        steps += usize::from(rung_of(&bench.after(SECOND).note("a", 0, Note::Delivered(0.6)), "a").is_some());
    }
    assert!(steps > 0, "own part of a short uplink is taken off");
    bench.playing("b", 1, 0);
    bench.note("b", 1, Note::Link(0.2));
    assert_eq!(sent(&bench.ask(request("new", 0, 1, 2))), Some(1), "2 is fuller behind the short uplink");
}

#[test]
fn words_of_other_fronts_change_nothing() {
    let answer = |noise: bool| {
        let mut bench = Bench::new(many(90));
        for byte in (0..200u8).filter(|_| noise) {
            assert!(bench
                .tell(Event::Peer(vec![byte; byte as usize]))
                .iter()
                .all(|a| matches!(a, Action::WakeAt(..))));
        }
        bench
            .ask(request("s", 0, 0, 3))
            .into_iter()
            .filter(|a| matches!(a, Action::SetUp(..)))
            .collect::<Vec<_>>()
    };
    assert_eq!(answer(true), answer(false));
}

#[test]
fn a_fleet_ten_times_the_size_is_handled() {
    let (links_kb, uplink_kb) = (3200.0 * 4000.0, 40_000.0);
    let set = Settings { fronts: 2800, cells: 3200, racks: 320, links_kb, uplink_kb, ..settings() };
    let mut bench = Bench { controller: Controller::new(set, 1), now: START };
    let entry = |id: u32| ServerEntry { cell: id, ..line(id) };
    bench.tell(Event::Servers(ListKind::Complete, (0..3200).map(entry).collect()));
    for n in 0..50 {
        assert!(sent(&bench.after(SECOND).ask(request(&format!("s{n}"), 0, n * 60, 3))).is_some());
    }
}
