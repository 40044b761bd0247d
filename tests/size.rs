//! Failures of large fleets: a front has measurements of few servers only, and many fronts get the same ones.

mod common;
use common::*;
use salttally::controller::Controller;
use salttally::interface::*;

fn large_fleet(fronts: u32) -> Settings {
    Settings { fronts, links_kb: 24_000.0 * f64::from(fronts), racks: 0, ..settings() }
}

fn probing() -> Settings {
    Settings { probes: true, ..settings() }
}

#[test]
fn an_unmeasured_server_is_assumed_to_have_the_usual_load() {
    let mut harness = Harness::new(large_fleet(90));
    harness.add_playing_each(&[2, 3, 4, 5], 0, Note::Link(0.8));
    harness.add_playing_each(&[1], 0, Note::Link(0.4));
    assert_eq!(
        set_up_server(&harness.request(request("new", 0, 0, 2))),
        Some(1),
        "0 has no measurement, 1 is known to have free capacity"
    );
}

#[test]
fn an_unmeasured_server_is_used_though_the_fleet_is_full() {
    let mut harness = Harness::new(large_fleet(90));
    harness.add_playing_each(&[1, 2, 3, 4, 5], 0, Note::Link(1.3));
    assert_eq!(set_up_server(&harness.request(request("new", 0, 0, 1))), Some(0));
}

#[test]
fn fronts_without_measurements_do_not_choose_the_same_server() {
    let mut chosen = [0u32; 6];
    for seed in 0..60 {
        let mut harness = Harness::seeded(large_fleet(60), seed);
        let server = set_up_server(&harness.request(request("new", 0, 0, 6))).expect("sent");
        chosen[server as usize] += 1;
    }
    assert!(chosen.iter().all(|count| (2..=25).contains(count)), "{chosen:?}");
}

#[test]
fn fronts_with_the_same_measurement_together_free_the_excess_and_no_more() {
    let (mut freed, demand) = (0.0, 60.0 * 800.0);
    for seed in 0..60 {
        let mut harness = Harness::seeded(large_fleet(60), seed);
        harness.add_playing("a", 0, 2);
        let actions = harness.advance(4 * SECOND).note("a", 0, Note::Link(1.2));
        let rung = rung_of(&actions, "a").unwrap_or(2);
        freed += 800.0 - settings().ladder[rung].kb;
    }
    let excess = demand * (1.0 - 1.0 / 1.2);
    assert!(freed > 0.6 * excess && freed < 2.0 * excess, "{freed} of {excess}");
}

#[test]
fn a_dead_holder_is_found_by_a_probe_and_not_by_a_paid_session() {
    let mut harness = Harness::new(probing());
    let actions = harness.request(request("paid", 1, 0, 2));
    assert_eq!(
        (actions.contains(&Action::Probe(ServerId(0))), set_up_server(&actions)),
        (true, None),
        "{actions:?}"
    );
    let alive = Event::Probed { server: ServerId(1), outcome: Outcome::Ok, report: vec![0.5] };
    assert_eq!(set_up_server(&harness.send(alive)), None, "the other holder has not answered yet");
    let dead = Event::Probed { server: ServerId(0), outcome: Outcome::NoConnection, report: vec![] };
    assert_eq!(set_up_server(&harness.send(dead)), Some(1));
}

#[test]
fn a_session_does_not_wait_long_for_probes() {
    let mut harness = Harness::new(probing());
    harness.request(request("s", 0, 0, 2));
    assert!(set_up_server(&harness.advance(SECOND / 8).send(Event::Wake(1))).is_some());
}

#[test]
fn no_probe_is_sent_where_it_is_forbidden_expensive_or_useless() {
    let probes = |set: Settings, noted: bool| {
        let mut harness = Harness::new(set);
        if noted {
            harness.add_playing_each(&[0, 1], 0, Note::Link(0.5));
        }
        harness.request(request("s", 0, 0, 2)).iter().any(|action| matches!(action, Action::Probe(_)))
    };
    assert!(probes(probing(), false));
    assert!(!probes(settings(), false), "forbidden");
    assert!(!probes(Settings { probe_price: 0.1, ..probing() }, false), "expensive");
    assert!(!probes(probing(), true), "measured recently");
}

#[test]
fn a_zone_whose_servers_are_found_down_in_a_row_is_distrusted() {
    let mut harness = Harness::new(Settings { fronts: 90, max_attempts: 9, ..settings() });
    let far = |id| ServerEntry { zone: 1, ..entry(id) };
    harness.send(Event::Servers(ListKind::Changes, vec![far(0), far(1), far(2), far(3)]));
    let mut actions = harness.request(request("s", 0, 0, 3));
    for attempt in 0..3 {
        let server = set_up_server(&actions).expect("another holder");
        actions = harness.end("s", attempt, server, Outcome::NoConnection, false);
    }
    // Server 3 was never tried and 4 is fuller, but 3 is in the zone where all others were down.
    harness.add_playing_each(&[4], 0, Note::Link(0.7));
    assert_eq!(set_up_server(&harness.request(request("t", 0, 3, 2))), Some(4));
}

#[test]
fn a_server_that_grows_slower_is_left_before_it_dies() {
    let mut harness = Harness::new(large_fleet(90));
    harness.add_playing("old", 0, 2);
    harness.add_playing_each(&[1, 2], 0, Note::Link(0.5));
    let mut actions = Vec::new();
    for load in [0.6, 1.1, 1.8, 3.0, 5.0] {
        actions.extend(harness.advance(3 * SECOND).note("old", 0, Note::Link(load)));
    }
    assert_eq!(rung_of(&actions, "old"), Some(0));
    assert!(has_move(&actions), "all rungs are down: {actions:?}");
    assert_ne!(set_up_server(&harness.request(request("new", 0, 0, 2))), Some(0));
}

#[test]
fn during_a_rolling_replacement_every_session_is_answered_at_once() {
    let mut harness = Harness::new(large_fleet(90));
    let draining = |id| ServerEntry { state: ServerState::Draining, ..entry(id) };
    let replacement = |id: u32| ServerEntry { server: ServerId(id + 10), started: Some(START), ..entry(id) };
    harness.send(Event::Servers(
        ListKind::Changes,
        (0..5).map(draining).chain((0..5).map(replacement)).collect(),
    ));
    for n in 0..40 {
        let actions = harness.advance(SECOND / 5).request(request(&format!("s{n}"), 0, 0, 6));
        let server = set_up_server(&actions);
        assert!(server.is_none_or(|server| server == 5 || server >= 10), "{actions:?}");
        assert!(server.is_some() || has_refusal(&actions), "{actions:?}");
    }
}

#[test]
fn a_short_uplink_is_recognised_by_the_only_link_in_use_behind_it() {
    // The link has a low, recent load and delivery is short: so the uplink of the rack must be short.
    let mut harness = Harness::new(Settings { fronts: 90, uplink_kb: 6000.0, ..settings() });
    harness.add_playing("a", 0, 2);
    harness.note("a", 0, Note::Link(0.4));
    let mut steps = 0;
    for _ in 0..3 {
        steps +=
            usize::from(rung_of(&harness.advance(SECOND).note("a", 0, Note::Delivered(0.6)), "a").is_some());
    }
    assert!(steps > 0, "own share of the excess on the uplink is freed");
    harness.add_playing("b", 1, 0);
    harness.note("b", 1, Note::Link(0.2));
    assert_eq!(
        set_up_server(&harness.request(request("new", 0, 1, 2))),
        Some(1),
        "2 is fuller behind the short uplink"
    );
}

#[test]
fn messages_of_other_fronts_change_nothing() {
    let answer = |noise: bool| {
        let mut harness = Harness::new(large_fleet(90));
        for byte in (0..200u8).filter(|_| noise) {
            assert!(harness
                .send(Event::Peer(vec![byte; byte as usize]))
                .iter()
                .all(|a| matches!(a, Action::WakeAt(..))));
        }
        harness
            .request(request("s", 0, 0, 3))
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
    let mut harness = Harness { controller: Controller::new(set, 1), now: START };
    let ring_entry = |id: u32| ServerEntry { cell: id, ..entry(id) };
    harness.send(Event::Servers(ListKind::Complete, (0..3200).map(ring_entry).collect()));
    for n in 0..50 {
        assert!(set_up_server(&harness.advance(SECOND).request(request(&format!("s{n}"), 0, n * 60, 3)))
            .is_some());
    }
}
