//! Event orderings that have broken fronts, each caused on real loopback sockets and judged by the recorded traffic.

mod rig;

use std::time::Duration;

use rig::{script, script_head, wait_until, OpenAnswer, Rig, Viewer};
use salttally_front::SessionRequest;
use salttally_judge::record::{Event, SetUpEnd};
use salttally_standin::list::ListState;
use serde_json::json;

const SECOND: Duration = Duration::from_secs(1);

/// How the set-ups of a session ended at the boxes.
fn set_up_ends(rig: &Rig, session: &str) -> Vec<SetUpEnd> {
    let end = |what: Event| match what {
        Event::SetUpEnded { session: of, end, .. } if of == session => Some(end),
        _ => None,
    };
    rig.day.log.lines().into_iter().filter_map(|line| end(line.what)).collect()
}

/// Waits until a box has read a set-up, kills the box, and returns its id.
fn kill_box_with_outstanding_set_up(rig: &Rig) -> u32 {
    let at = || {
        let fleet = rig.day.boxes.fleet();
        let begins =
            |state: &salttally_standin::fleet::BoxState| state.sessions.values().any(|play| !play.is_playing);
        fleet.boxes.iter().find(|(_, state)| begins(state)).map(|(id, _)| *id)
    };
    wait_until(SECOND * 2, || at().is_some(), || "no set-up is outstanding".into());
    let id = at().expect("a set-up is outstanding");
    rig.day.boxes.kill(id);
    id
}

#[test]
fn a_box_that_dies_after_the_request_was_written_fails_a_paid_session_and_not_a_clip() {
    let rig = Rig::start(script(&script_head(3, 250), ""));
    let mut clip = Viewer::connect(&rig, 0, "clip");
    let id = clip.send_open("title-0", "clip", 2000);
    kill_box_with_outstanding_set_up(&rig);
    let OpenAnswer::Plays(session) = clip.read_answer(id, SECOND * 3) else {
        panic!("a clip is set up elsewhere")
    };
    assert_eq!(set_up_ends(&rig, &session), [SetUpEnd::Reset, SetUpEnd::Began]);

    let mut paid = Viewer::connect(&rig, 0, "paid");
    let id = paid.send_open("title-0", "paid", 2000);
    kill_box_with_outstanding_set_up(&rig);
    let OpenAnswer::Failed(session, reason) = paid.read_answer(id, SECOND * 3) else {
        panic!("a set-up that may have run fails the session")
    };
    assert_eq!((set_up_ends(&rig, &session), reason.as_str()), (vec![SetUpEnd::Reset], "given-up"));
    rig.shut_down_and_judge();
}

#[test]
fn a_box_that_died_before_the_request_was_written_does_not_fail_a_paid_session() {
    let rig = Rig::start(script(&script_head(3, 5), ""));
    rig.day.boxes.kill(0);
    rig.day.boxes.kill(1);
    // The list does not report it yet: some set-ups go to dead boxes, are refused there and are retried elsewhere.
    for number in 0..6 {
        let mut paid = Viewer::connect(&rig, 0, &format!("paid-{number}"));
        assert!(paid.open("title-0", "paid", 2000).is_plays());
        paid.close();
    }
    rig.shut_down_and_judge();
}

#[test]
fn a_cancellation_that_races_with_the_answer_yields_one_answer_and_leaves_nothing_playing() {
    let rig = Rig::start(script(&script_head(3, 10), ""));
    let (mut too_late, mut cancelled) = (0, 0);
    for number in 0..40u64 {
        let mut viewer = Viewer::connect(&rig, 0, &format!("hasty-{number}"));
        let id = viewer.send_open("title-1", "clip", 2000);
        // Sweeps over the moment at which the set-up completes.
        std::thread::sleep(Duration::from_micros(9_000 + number * 100));
        let cancel = viewer.connection.call("session.cancel", &json!({"open": id})).expect("written");
        match viewer.read_answer(id, SECOND * 2) {
            OpenAnswer::Plays(_) => {
                too_late += 1;
                let answer =
                    viewer.connection.response(cancel, std::time::Instant::now() + SECOND, &mut Vec::new());
                assert_eq!(
                    answer.expect("answered")["error"]["code"],
                    -32003,
                    "no request was left to cancel"
                );
                viewer.close();
            }
            OpenAnswer::Failed(_, reason) => {
                cancelled += 1;
                assert_eq!(reason, "cancelled");
            }
            other => panic!("{other:?}"),
        }
        let more = viewer.connection.next(std::time::Instant::now() + Duration::from_millis(5));
        assert!(more.is_err() || more.is_ok_and(|m| m["id"] != id), "a second answer");
    }
    assert_eq!(too_late + cancelled, 40);
    rig.wait_for_held_sessions(0);
    rig.shut_down_and_judge();
}

#[test]
fn a_drain_during_a_set_up_lets_it_play_and_prevents_new_ones() {
    let rig = Rig::start(script(&script_head(2, 300), ""));
    let mut viewer = Viewer::connect(&rig, 0, "out");
    let id = viewer.send_open("title-0", "clip", 2000);
    std::thread::sleep(Duration::from_millis(100));
    let at = {
        let fleet = rig.day.boxes.fleet();
        fleet
            .boxes
            .iter()
            .find(|(_, state)| !state.sessions.is_empty())
            .map(|(id, _)| *id)
            .expect("a set-up is outstanding")
    };
    let entry = rig.day.list.entry(at).expect("listed");
    rig.day.list.set(salttally_standin::list::ListEntry { state: ListState::Draining, ..entry });
    assert!(viewer.read_answer(id, SECOND * 2).is_plays(), "the set-up was sent before the drain notice");
    std::thread::sleep(Duration::from_millis(300));
    for number in 0..4 {
        let mut next = Viewer::connect(&rig, 0, &format!("next-{number}"));
        let OpenAnswer::Plays(session) = next.open("title-0", "clip", 2000) else {
            panic!("the other box is free")
        };
        assert!(!rig.boxes_of(&session).contains(&at), "set up at a draining box");
        next.close();
    }
    viewer.close();
    rig.shut_down_and_judge();
}

#[test]
fn a_box_that_restarts_cold_between_two_attempts_is_not_overloaded() {
    let rig = Rig::start(script(&script_head(1, 120), ""));
    let mut viewer = Viewer::connect(&rig, 0, "again");
    let id = viewer.send_open("title-0", "clip", 2000);
    let at = kill_box_with_outstanding_set_up(&rig);
    let address = rig.day.list.entry(at).expect("listed").address;
    rig.day.boxes.restart(at, address).expect("the box restarts");
    let first = viewer.read_answer(id, SECOND * 3);
    assert!(matches!(first, OpenAnswer::Plays(_) | OpenAnswer::Refused(..)), "{first:?}");
    // A crowd of requests while the box is cold: the judge counts the set-ups that it receives.
    let mut viewers: Vec<_> = (0..25).map(|n| Viewer::connect(&rig, 0, &format!("crowd-{n}"))).collect();
    let ids: Vec<u64> = viewers.iter_mut().map(|viewer| viewer.send_open("title-0", "clip", 1500)).collect();
    for (viewer, id) in viewers.iter_mut().zip(ids) {
        assert_ne!(viewer.read_answer(id, SECOND * 3), OpenAnswer::Disconnected);
    }
    drop(viewers);
    rig.shut_down_and_judge();
}

#[test]
fn a_paid_set_up_whose_answer_is_lost_fails_at_its_deadline_and_ends_at_the_box() {
    // The set-up takes longer than the whole aim: its answer goes to a connection that is closed.
    let rig = Rig::start(script(&script_head(3, 5), ""));
    for id in 0..3 {
        rig.day.boxes.fleet().model.set_up_time = 1_200_000;
        let mut viewer = Viewer::connect(&rig, 0, &format!("lost-{id}"));
        let outcome = viewer.open("title-0", "paid", 1500);
        let OpenAnswer::Failed(session, _) = outcome else {
            panic!("a set-up that may have run fails the session: {outcome:?}")
        };
        wait_until(
            SECOND,
            || set_up_ends(&rig, &session).len() == 1,
            || "the box never saw the close".into(),
        );
        assert_eq!(set_up_ends(&rig, &session), [SetUpEnd::Closed]);
    }
    rig.wait_for_held_sessions(0);
    rig.shut_down_and_judge();
}

#[test]
fn a_box_that_goes_silent_ends_its_sessions_and_its_viewers_are_notified() {
    let rig = Rig::start(script(&script_head(2, 5), ""));
    let mut viewer = Viewer::connect(&rig, 0, "watching");
    let OpenAnswer::Plays(session) = viewer.open("title-0", "clip", 2000) else {
        panic!("the session plays")
    };
    let at = rig.boxes_of(&session)[0];
    rig.day.boxes.silence(at);
    let notification = viewer.wait_for_notification("session.ended", SECOND * 6);
    assert_eq!(notification["params"], json!({"session": session, "reason": "lost"}));
    rig.shut_down_and_judge();
}

#[test]
fn a_zone_partition_ends_only_sessions_across_it_and_leaves_no_orphans() {
    let head = script_head(2, 5).replace("fronts 1", "fronts 2").replace("boxes 2", "boxes 2 zones=2");
    let rig = Rig::start(script(&head, ""));
    let mut viewers: Vec<_> = (0..12).map(|n| Viewer::connect(&rig, n % 2, &format!("v-{n}"))).collect();
    for viewer in &mut viewers {
        assert!(viewer.open("title-0", "clip", 2000).is_plays());
    }
    let crossing: Vec<bool> = viewers
        .iter()
        .enumerate()
        .map(|(n, viewer)| rig.boxes_of(viewer.session.as_deref().expect("plays")) != [n as u32 % 2])
        .collect();
    assert!(crossing.contains(&true), "with two holders some sessions cross zones");
    rig.day.boxes.cut_zone(Some(0));
    for (viewer, crosses) in viewers.iter_mut().zip(&crossing) {
        if *crosses {
            assert_eq!(viewer.wait_for_notification("session.ended", SECOND * 6)["params"]["reason"], "lost");
        }
    }
    rig.day.boxes.cut_zone(None);
    // During the partition the boxes played on; the fronts find these sessions and release them.
    rig.wait_for_held_sessions(crossing.iter().filter(|crosses| !**crosses).count());
    drop(viewers);
    rig.wait_for_held_sessions(0);
    rig.shut_down_and_judge();
}

#[test]
fn a_player_that_reads_nothing_is_disconnected_and_delays_no_others() {
    let rig = Rig::start(script(
        &script_head(2, 5),
        "backlog-bytes 65536; stalled-ms 500; calls-per-s 100000; calls-at-once 1000000",
    ));
    let mut silent_reader = Viewer::connect(&rig, 0, "deaf");
    silent_reader.connection.stream().set_write_timeout(Some(Duration::from_millis(200))).expect("a socket");
    socket2::SockRef::from(&*silent_reader.connection.stream()).set_recv_buffer_size(4096).expect("a socket");
    // Answers of some 150 bytes each, until the kernel's buffers and the outbox are full.
    let call = json!({"jsonrpc": "2.0", "id": 1, "method": "session.status", "params": {"session": "x".repeat(100)}});
    let mut disconnected = false;
    for _ in 0..100_000 {
        if silent_reader.connection.send(&call.to_string()).is_err() {
            disconnected = true;
            break;
        }
    }
    wait_until(
        SECOND * 20,
        || disconnected || rig.front(0).status().clients == 0,
        || "the player that reads nothing is still connected".into(),
    );
    let mut other = Viewer::connect(&rig, 0, "other");
    assert!(other.open("title-0", "clip", 1000).is_plays());
    other.close();
    rig.shut_down_and_judge();
}

#[test]
fn a_front_restarted_after_a_kill_resumes_its_sessions_for_their_viewers() {
    let mut rig = Rig::start(script(&script_head(3, 5), "claim-within-ms 1500"));
    let sessions: Vec<String> = {
        let mut viewers: Vec<_> = (0..6).map(|n| Viewer::connect(&rig, 0, &format!("v-{n}"))).collect();
        let open = |viewer: &mut Viewer<'_>| match viewer.open("title-0", "clip", 2000) {
            OpenAnswer::Plays(session) => session,
            other => panic!("{other:?}"),
        };
        let sessions = viewers.iter_mut().map(open).collect();
        // Keeps their connections open until the front is killed.
        viewers.into_iter().for_each(std::mem::forget);
        sessions
    };
    rig.kill_front(0);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(rig.held_sessions(), 6, "the sessions play on at the boxes");
    rig.start_front(0);
    wait_until(
        SECOND * 3,
        || rig.front(0).status().counts.resumed == 6,
        || format!("{:?}", rig.front(0).status()),
    );
    let mut thief = Viewer::connect(&rig, 0, "thief");
    let status = |viewer: &mut Viewer<'_>, session: &str, name: &str| {
        let params = json!({"session": session, "viewer": name});
        let id = viewer.connection.call("session.status", &params).expect("written");
        viewer.connection.response(id, std::time::Instant::now() + SECOND, &mut Vec::new()).expect("answered")
    };
    assert_eq!(status(&mut thief, &sessions[0], "thief")["error"]["code"], -32003);
    let mut owner = Viewer::connect(&rig, 0, "owner");
    assert_eq!(status(&mut owner, &sessions[0], "v-0")["result"]["state"], "playing");
    // The other five are never claimed and are released.
    rig.wait_for_held_sessions(1);
    owner.session = Some(sessions[0].clone());
    owner.close();
    rig.wait_for_held_sessions(0);
    rig.shut_down_and_judge();
}

#[test]
fn a_caller_that_drops_its_session_leaves_nothing_unanswered_and_nothing_playing() {
    let rig = Rig::start(script(&script_head(2, 60), ""));
    let request = SessionRequest {
        viewer: "caller".into(),
        title: "title-0".into(),
        class: "clip".into(),
        top_rung: 2,
        patience_ms: 2000,
        ..SessionRequest::default()
    };
    let front = rig.front(0);
    drop(front.open(&request).expect("accepted"));
    let played = front.open(&request).expect("accepted");
    assert!(played.answer(SECOND * 2).is_some());
    drop(played);
    let out = front.open(&request).expect("accepted");
    std::thread::sleep(Duration::from_millis(20));
    drop(out);
    wait_until(SECOND * 3, || front.status().sessions == 0, || format!("{:?}", front.status()));
    rig.wait_for_held_sessions(0);
    rig.shut_down_and_judge();
}

#[test]
fn a_graceful_shutdown_answers_open_requests_and_releases_sessions() {
    let mut rig = Rig::start(script(&script_head(2, 400), ""));
    let played = {
        rig.day.boxes.fleet().model.set_up_time = 5_000;
        let mut plays = Viewer::connect(&rig, 0, "plays");
        assert!(plays.open("title-0", "clip", 2000).is_plays());
        rig.day.boxes.fleet().model.set_up_time = 400_000;
        let mut waiting = Viewer::connect(&rig, 0, "owed");
        let id = waiting.send_open("title-0", "clip", 2000);
        std::thread::sleep(Duration::from_millis(100));
        let front = &rig.fronts.0[0];
        assert!(front.is_some());
        // The front shuts down while both connections are open.
        let (connection, session) = (plays.connection, plays.session.take());
        let waiting_connection = waiting.connection;
        (connection, session, waiting_connection, id)
    };
    let (mut plays, session, mut waiting, id) = played;
    let front = rig.fronts.0[0].take().expect("runs");
    let counts = front.shut_down(SECOND * 5).expect("in time");
    assert_eq!(counts.stopped(), 0);
    let answer = waiting.response(id, std::time::Instant::now() + SECOND, &mut Vec::new()).expect("answered");
    assert_eq!(answer["error"]["data"]["reason"], "shutting-down");
    let notification = plays.next(std::time::Instant::now() + SECOND).expect("told");
    assert_eq!(notification["params"], json!({"session": session, "reason": "shutting-down"}));
    rig.wait_for_held_sessions(0);
    rig.day.stop();
}

#[test]
fn a_moved_session_plays_on_at_the_other_holder_for_the_same_viewer() {
    let head = script_head(2, 5).replace("link-kb=20000", "link-kb=2400");
    // One title is held by the first box only, the others by both.
    let rig = Rig::start_with_settings(script(&head, ""), |settings| {
        settings.replace("title \"title-0\" first-cell=0 cells=2", "title \"title-0\" first-cell=0 cells=1")
    });
    let mut movable: Vec<_> = (0..6).map(|n| Viewer::connect(&rig, 0, &format!("both-{n}"))).collect();
    for viewer in &mut movable {
        assert!(viewer.open("title-1", "clip", 2000).is_plays());
    }
    // Requests for that title fill its box, until a session of another title is moved away.
    let mut crowd = Vec::new();
    while rig.front(0).status().counts.moved == 0 {
        assert!(crowd.len() < 80, "no session is ever moved");
        let mut viewer = Viewer::connect(&rig, 0, &format!("crowd-{}", crowd.len()));
        viewer.open("title-0", "clip", 1000);
        crowd.push(viewer);
    }
    let soon = Duration::from_millis(300);
    let moved = movable.iter_mut().find_map(|viewer| {
        let until = std::time::Instant::now() + soon;
        let news = std::iter::from_fn(|| viewer.connection.next(until).ok())
            .find(|m| m["method"] == "session.move")?;
        Some((viewer, news["params"]["session"].as_str().expect("named").to_owned()))
    });
    let (viewer, old) = moved.expect("its viewer is notified");
    assert_eq!(viewer.session.as_deref(), Some(old.as_str()));
    assert!(rig.boxes_of(&old).is_empty(), "the old session was released at its box");
    let id = viewer.send_open_moved("title-1", "clip", 2000, Some(&old));
    let OpenAnswer::Plays(new) = viewer.read_answer(id, SECOND * 3) else {
        panic!("the other holder has room")
    };
    assert_eq!(rig.boxes_of(&new), [1]);
    drop((movable, crowd));
    rig.wait_for_held_sessions(0);
    rig.shut_down_and_judge();
}

#[test]
fn holders_without_recent_reports_are_probed_where_probes_are_allowed() {
    let rig = Rig::start_with_settings(script(&script_head(3, 5), ""), |settings| {
        format!("{settings}\nprices probe=0.001\n")
    });
    // Long enough for the last reports to become stale.
    std::thread::sleep(Duration::from_millis(2_200));
    let before = rig.front(0).status().counts.probes;
    let mut viewer = Viewer::connect(&rig, 0, "probed");
    assert!(viewer.open("title-0", "clip", 2000).is_plays());
    assert!(rig.front(0).status().counts.probes > before, "{:?}", rig.front(0).status());
    viewer.close();
    rig.shut_down_and_judge();
}
