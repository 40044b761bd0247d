//! Choices by the indices of sessions, compared with the same choices by a walk over all sessions on random states.

use super::*;
use crate::platform_settings::PlatformSettings;

const SEEDS: u64 = 200;
const SERVERS: u32 = 6;
const EVENTS: usize = 400;

fn settings() -> Settings {
    let text = r#"{"balancers": 2, "zone": 0, "localities": ["a"], "host_types": ["k"],
        "classes": [{"name": "clip", "aim_ms": 1000, "deadline_ms": 4000, "effect": "idempotent", "gain": 1},
          {"name": "paid", "aim_ms": 1000, "deadline_ms": 4000, "effect": "at_most_once", "gain": 3}],
        "domain": {"positions": 6, "racks": 2, "kb_per_weight": 9000, "links_kb": 54000, "uplink_kb": 24000,
          "kind_streams": [20], "rung_kb": [200, 400, 800, 1600], "worth_by_rung": [0.2, 0.5, 0.8, 1],
          "lowest_rung": [0, 1], "top_by_class": [2, 3], "rate_factor": [1, 0.7], "seats": [0, 4],
          "reports_every_ms": 3000, "seen_after_ms": 800, "change_costs_s": 0.5},
        "load_report": {"names": ["active", "x0"], "source": "answers"},
        "policy_limits": {"max_attempts": 3, "max_retry_after_ms": 1000, "retry_after": true, "probes": true},
        "prices": {"moves": 0.05, "probe": 0.01},
        "safety": {"warm_up_ms": 1000, "cold_from": 0.5, "fall_multiple": 3, "fall_ms": 1500, "look_back_ms": 2000,
          "budget_free": 40, "resend_ratio": 0.5}}"#;
    PlatformSettings::parse(text).unwrap().settings
}

/// A controller after random events, and the generator that drew them.
fn random_state(seed: u64) -> (Controller, Pcg32) {
    let mut draws = Pcg32::seed_from_u64(seed);
    let mut controller = Controller::new(settings(), seed);
    let (mut now, mut out, mut number) = (100 * SECOND, Vec::new(), 0);
    let entry = |id| ServerEntry { server: ServerId(id), cell: id, units: 1.0, ..ServerEntry::default() };
    controller.handle(now, &Event::Servers(ListKind::Complete, (0..SERVERS).map(entry).collect()), &mut out);
    for _ in 0..EVENTS {
        let mut draw = |limit: u32| draws.next_u32() % limit;
        now += Micros::from(draw(200)) * 1_000;
        let known: Vec<SessionId> = controller.sessions.iter().map(|(id, _)| id.clone()).collect();
        let session = known.get(draw(known.len().max(1) as u32) as usize).cloned();
        let state = session.as_ref().and_then(|id| controller.sessions.get(id));
        let server = state.and_then(|session| session.server);
        let event = match (draw(10), session, server) {
            (0..=3, ..) | (_, None, _) => {
                number += 1;
                let request = random_request(number, &mut draw);
                match draw(3) {
                    0 => Event::Resumed(request, ServerId(draw(SERVERS))),
                    _ => Event::Request(request),
                }
            }
            (4..=5, Some(session), Some(server)) => Event::Started { session, server, took: 1_000 },
            (6..=7, Some(session), Some(server)) => {
                let note = Note::Link(f64::from(draw(160)) / 100.0);
                Event::Note { session, server, note }
            }
            (8, Some(session), Some(server)) => {
                let attempt = controller.sessions.get(&session).map_or(0, |session| session.attempts - 1);
                let outcome =
                    [Outcome::Ok, Outcome::Full, Outcome::Failed, Outcome::Broken][draw(4) as usize];
                Event::Ended { session, attempt, server, outcome, last: draw(2) == 0, report: vec![0.0, 0.5] }
            }
            (9, Some(session), _) => Event::ClientLeft(session),
            _ => Event::Wake(0),
        };
        controller.handle(now, &event, &mut out);
    }
    (controller, draws)
}

fn random_request(number: u64, draw: &mut impl FnMut(u32) -> u32) -> Request {
    Request {
        session: SessionId(format!("{:04}", number * 7_919 % 10_000).as_str().into()),
        class: draw(2) as usize,
        viewer: ViewerId(number),
        title: TitleId(u64::from(draw(4))),
        patience: 4 * SECOND,
        length_hint: Some(Micros::from(draw(60)) * SECOND),
        first_cell: draw(SERVERS),
        cell_count: 1 + draw(3),
        top_rung: draw(4) as usize,
        moved: false,
        returning: draw(2) == 0,
        earlier_attempts: 0,
    }
}

/// The session at these servers with the cheapest step down, by a walk over all sessions.
fn cheapest_by_walk(controller: &Controller, servers: &[ServerId]) -> Option<SessionId> {
    let here = controller.sessions.iter().filter(|(_, s)| s.server.is_some_and(|at| servers.contains(&at)));
    let costs = here.filter_map(|(id, s)| Some((controller.step_down_cost(s)?, id.clone())));
    costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
}

/// The session that is moved off a server and where to, by a walk over all sessions and holders.
fn move_by_walk(controller: &Controller, from: ServerId) -> Option<(SessionId, ServerId)> {
    let mut best: Option<(f64, SessionId, ServerId)> = None;
    for (id, session) in controller.sessions.iter() {
        let remaining_s = controller.expected_remaining_s(session);
        let remaining_kb = remaining_s * session.rate(session.rung);
        let recent = controller.planned_moves.get(&session.request.viewer);
        let has_moved = recent.is_some_and(|plan| plan.1 + VIEWER_MOVE_INTERVAL > controller.now);
        let is_movable = session.server == Some(from)
            && session.playing_since.is_some()
            && !(session.moving || has_moved)
            && remaining_s >= MOVE_MIN_REMAINING_S;
        if !is_movable || best.as_ref().is_some_and(|(most, ..)| remaining_kb <= *most) {
            continue;
        }
        if let Some(to) = controller.move_target(from, &session.request) {
            best = Some((remaining_kb, id.clone(), to));
        }
    }
    best.map(|(_, id, to)| (id, to))
}

// Guards against decisions that an index of sessions changes.
#[test]
fn choices_by_the_indices_equal_those_by_a_walk_over_all_sessions() {
    let (mut steps_compared, mut moves_compared) = (0, 0);
    for seed in 0..SEEDS {
        let (controller, mut draws) = random_state(seed);
        let all_servers: Vec<ServerId> = (0..SERVERS).map(ServerId).collect();
        for servers in all_servers.chunks(1).chain([all_servers.as_slice()]) {
            let mut controller = controller.clone();
            let mut steps = controller.steps_down(servers);
            loop {
                let expected = cheapest_by_walk(&controller, servers);
                let chosen = steps.pop();
                assert_eq!(chosen, expected, "seed {seed}, {servers:?}");
                let Some(id) = chosen else { break };
                controller.step_down(id, &mut steps);
                steps_compared += 1;
            }
        }
        for from in all_servers {
            let mut controller = controller.clone();
            controller.servers.modify(from, |server| server.moved_at = None);
            let expected = move_by_walk(&controller, from);
            let mut out = Vec::new();
            controller.move_one_session(from, &mut out);
            let chosen = out.first().map(|action| match action {
                Action::Move(id) => id.clone(),
                other => panic!("{other:?}"),
            });
            moves_compared += usize::from(chosen.is_some());
            assert_eq!(chosen, expected.as_ref().map(|(id, _)| id.clone()), "seed {seed}, {from:?}");
            let planned = chosen.and_then(|id| controller.sessions.get(&id)).map(|s| s.request.viewer);
            let planned = planned.and_then(|viewer| controller.planned_moves.get(&viewer)).map(|plan| plan.0);
            assert_eq!(planned, expected.map(|(_, to)| to));
        }
        assert_indices(&controller, &mut draws);
    }
    assert!(steps_compared > 1_000 && moves_compared > 20, "{steps_compared} steps, {moves_compared} moves");
}

/// Asserts that seats, open sessions, sessions at servers and the demand of playing ones are those of a walk.
fn assert_indices(controller: &Controller, draws: &mut Pcg32) {
    let sessions = &controller.sessions;
    for server in (0..SERVERS).map(ServerId) {
        let here = sessions.iter().filter(|(_, s)| s.server == Some(server)).map(|(id, _)| id);
        assert!(here.eq(sessions.at(server).map(|(id, _)| id)));
    }
    let open = sessions.iter().filter(|(_, s)| s.playing_since.is_none()).map(|(id, _)| id);
    assert!(open.eq(sessions.open().map(|(id, _)| id)));
    let (title, class) = (TitleId(u64::from(draws.next_u32() % 4)), draws.next_u32() as usize % 2);
    let seat = |s: &Session| s.server.is_some() && (s.request.title, s.request.class) == (title, class);
    assert_eq!(sessions.seats_taken(title, class), sessions.iter().filter(|(_, s)| seat(s)).count());
    let playing = sessions.iter().map(|(_, s)| s).filter(|s| s.playing_since.is_some());
    let walked = playing.fold((0.0, 0.0), |sum, s| (sum.0 + s.rate(s.rung), sum.1 + s.rate(s.class.floor)));
    let summed = sessions.playing_kb(&controller.settings);
    assert!((walked.0 - summed.0).abs() + (walked.1 - summed.1).abs() < 1e-6, "{walked:?}, {summed:?}");
}

// Guards against retries over the budget, which copies of refused requests would raise.
#[test]
fn a_copy_of_a_request_that_had_no_attempt_is_not_counted_again() {
    let (mut controller, mut out) = (Controller::new(settings(), 1), Vec::new());
    let mut request_at = |seconds: Micros, number: u64| {
        let request = random_request(number, &mut |_| 0);
        controller.handle(seconds * SECOND, &Event::Request(request), &mut out);
        assert!(matches!(out.last(), Some(Action::WakeAt(..) | Action::Refuse(..))), "no server is listed");
        controller.handle(seconds * SECOND, &Event::Wake(0), &mut out);
        controller.requests.len()
    };
    assert_eq!(request_at(100, 1), 1);
    assert_eq!(request_at(101, 1), 1, "its copy");
    assert_eq!(request_at(101, 2), 2);
    assert_eq!(request_at(115, 1), 1, "the window is over");
}
