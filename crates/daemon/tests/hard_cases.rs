//! The orderings that break a front, each caused on real loopback sockets and judged by what crossed them.

mod rig;

use std::time::Duration;

use rig::{head, script, wait, Heard, Rig, Viewer};
use salttally_front::SessionRequest;
use salttally_judge::record::{Event, SetUpEnd};
use salttally_standin::list::ListState;
use serde_json::json;

const SECOND: Duration = Duration::from_secs(1);

fn ends(rig: &Rig, session: &str) -> Vec<SetUpEnd> {
    let end = |what: Event| match what {
        Event::SetUpEnded { session: of, end, .. } if of == session => Some(end),
        _ => None,
    };
    rig.day.log.lines().into_iter().filter_map(|line| end(line.what)).collect()
}

/// Kills the box at which a set-up is out, once it has read it.
fn kill_mid_set_up(rig: &Rig) -> u32 {
    let at = || {
        let fleet = rig.day.boxes.fleet();
        let begins =
            |state: &salttally_standin::fleet::BoxState| state.sessions.values().any(|play| !play.is_playing);
        fleet.boxes.iter().find(|(_, state)| begins(state)).map(|(id, _)| *id)
    };
    wait(SECOND * 2, || at().is_some(), || "no set-up is out".into());
    let id = at().expect("a set-up is out");
    rig.day.boxes.kill(id);
    id
}

#[test]
fn a_box_that_dies_after_the_request_was_written_fails_a_paid_session_and_not_a_clip() {
    let rig = Rig::start(script(&head(3, 250), ""));
    let mut clip = Viewer::connect(&rig, 0, "clip");
    let id = clip.ask("title-0", "clip", 2000);
    kill_mid_set_up(&rig);
    let Heard::Plays(session) = clip.hear(id, SECOND * 3) else { panic!("a clip is set up elsewhere") };
    assert_eq!(ends(&rig, &session), [SetUpEnd::Reset, SetUpEnd::Began]);

    let mut paid = Viewer::connect(&rig, 0, "paid");
    let id = paid.ask("title-0", "paid", 2000);
    kill_mid_set_up(&rig);
    let Heard::Failed(session, reason) = paid.hear(id, SECOND * 3) else { panic!("it may have run") };
    assert_eq!((ends(&rig, &session), reason.as_str()), (vec![SetUpEnd::Reset], "given-up"));
    rig.end();
}

#[test]
fn a_box_that_is_dead_before_the_request_was_written_costs_a_paid_session_nothing() {
    let rig = Rig::start(script(&head(3, 5), ""));
    rig.day.boxes.kill(0);
    rig.day.boxes.kill(1);
    // The list does not know of it yet: some set-ups go to the dead, are refused there and go on.
    for number in 0..6 {
        let mut paid = Viewer::connect(&rig, 0, &format!("paid-{number}"));
        assert!(paid.open("title-0", "paid", 2000).is_plays());
        paid.close();
    }
    rig.end();
}

#[test]
fn a_viewer_that_gives_up_as_its_answer_is_sent_has_one_answer_and_leaves_nothing_playing() {
    let rig = Rig::start(script(&head(3, 10), ""));
    let (mut crossed, mut cancelled) = (0, 0);
    for number in 0..40u64 {
        let mut viewer = Viewer::connect(&rig, 0, &format!("hasty-{number}"));
        let id = viewer.ask("title-1", "clip", 2000);
        // Swept over the moment at which the set-up is done.
        std::thread::sleep(Duration::from_micros(9_000 + number * 100));
        let cancel = viewer.line.call("session.cancel", &json!({"open": id})).expect("written");
        match viewer.hear(id, SECOND * 2) {
            Heard::Plays(_) => {
                crossed += 1;
                let answer =
                    viewer.line.response(cancel, std::time::Instant::now() + SECOND, &mut Vec::new());
                assert_eq!(
                    answer.expect("answered")["error"]["code"],
                    -32003,
                    "there was nothing to give up"
                );
                viewer.close();
            }
            Heard::Failed(_, reason) => {
                cancelled += 1;
                assert_eq!(reason, "cancelled");
            }
            other => panic!("{other:?}"),
        }
        let more = viewer.line.next(std::time::Instant::now() + Duration::from_millis(5));
        assert!(more.is_err() || more.is_ok_and(|m| m["id"] != id), "a second answer");
    }
    assert_eq!(crossed + cancelled, 40);
    rig.wait_held(0);
    rig.end();
}

#[test]
fn a_drain_notice_while_a_set_up_is_out_lets_it_play_and_nothing_new_follows() {
    let rig = Rig::start(script(&head(2, 300), ""));
    let mut viewer = Viewer::connect(&rig, 0, "out");
    let id = viewer.ask("title-0", "clip", 2000);
    std::thread::sleep(Duration::from_millis(100));
    let at = {
        let fleet = rig.day.boxes.fleet();
        fleet
            .boxes
            .iter()
            .find(|(_, state)| !state.sessions.is_empty())
            .map(|(id, _)| *id)
            .expect("a set-up is out")
    };
    let line = rig.day.list.entry(at).expect("listed");
    rig.day.list.set(salttally_standin::list::ListEntry { state: ListState::Draining, ..line });
    assert!(viewer.hear(id, SECOND * 2).is_plays(), "it was sent before the notice");
    std::thread::sleep(Duration::from_millis(300));
    for number in 0..4 {
        let mut next = Viewer::connect(&rig, 0, &format!("next-{number}"));
        let Heard::Plays(session) = next.open("title-0", "clip", 2000) else {
            panic!("the other box is free")
        };
        assert!(!rig.boxes_of(&session).contains(&at), "sent to a box that drains");
        next.close();
    }
    viewer.close();
    rig.end();
}

#[test]
fn a_box_that_restarts_cold_between_two_attempts_is_not_pushed_over() {
    let rig = Rig::start(script(&head(1, 120), ""));
    let mut viewer = Viewer::connect(&rig, 0, "again");
    let id = viewer.ask("title-0", "clip", 2000);
    let at = kill_mid_set_up(&rig);
    let address = rig.day.list.entry(at).expect("listed").address;
    rig.day.boxes.restart(at, address).expect("it comes back");
    let first = viewer.hear(id, SECOND * 3);
    assert!(matches!(first, Heard::Plays(_) | Heard::Refused(..)), "{first:?}");
    // A crowd at its door while it is cold: the judge counts what it is sent.
    let mut viewers: Vec<_> = (0..25).map(|n| Viewer::connect(&rig, 0, &format!("crowd-{n}"))).collect();
    let ids: Vec<u64> = viewers.iter_mut().map(|viewer| viewer.ask("title-0", "clip", 1500)).collect();
    for (viewer, id) in viewers.iter_mut().zip(ids) {
        assert_ne!(viewer.hear(id, SECOND * 3), Heard::Cut);
    }
    drop(viewers);
    rig.end();
}

#[test]
fn a_paid_set_up_whose_answer_is_lost_fails_at_its_time_and_is_barred_at_the_box() {
    // The set-up takes longer than the whole aim: its answer comes to a connection that is closed.
    let rig = Rig::start(script(&head(3, 5), ""));
    for id in 0..3 {
        rig.day.boxes.fleet().model.set_up_time = 1_200_000;
        let mut viewer = Viewer::connect(&rig, 0, &format!("lost-{id}"));
        let heard = viewer.open("title-0", "paid", 1500);
        let Heard::Failed(session, _) = heard else { panic!("it may have run: {heard:?}") };
        wait(SECOND, || ends(&rig, &session).len() == 1, || "the box never saw the end".into());
        assert_eq!(ends(&rig, &session), [SetUpEnd::Closed]);
    }
    rig.wait_held(0);
    rig.end();
}

#[test]
fn a_box_that_goes_silent_ends_its_sessions_and_the_viewers_are_told() {
    let rig = Rig::start(script(&head(2, 5), ""));
    let mut viewer = Viewer::connect(&rig, 0, "watching");
    let Heard::Plays(session) = viewer.open("title-0", "clip", 2000) else { panic!("it plays") };
    let at = rig.boxes_of(&session)[0];
    rig.day.boxes.silence(at);
    let told = viewer.news("session.ended", SECOND * 6);
    assert_eq!(told["params"], json!({"session": session, "reason": "lost"}));
    rig.end();
}

#[test]
fn a_zone_that_is_cut_off_loses_what_plays_across_the_cut_and_nothing_plays_for_nobody() {
    let head = head(2, 5).replace("fronts 1", "fronts 2").replace("boxes 2", "boxes 2 zones=2");
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
    assert!(crossing.contains(&true), "with two holders some cross");
    rig.day.boxes.cut_zone(Some(0));
    for (viewer, crosses) in viewers.iter_mut().zip(&crossing) {
        if *crosses {
            assert_eq!(viewer.news("session.ended", SECOND * 6)["params"]["reason"], "lost");
        }
    }
    rig.day.boxes.cut_zone(None);
    // The boxes played on for the fronts that they could not reach; these find out and release it.
    rig.wait_held(crossing.iter().filter(|crosses| !**crosses).count());
    drop(viewers);
    rig.wait_held(0);
    rig.end();
}

#[test]
fn a_player_that_reads_nothing_is_cut_off_and_holds_nobody_up() {
    let rig = Rig::start(script(
        &head(2, 5),
        "backlog-bytes 65536; stalled-ms 500; calls-per-s 100000; calls-at-once 1000000",
    ));
    let mut deaf = Viewer::connect(&rig, 0, "deaf");
    deaf.line.stream().set_write_timeout(Some(Duration::from_millis(200))).expect("a socket");
    socket2::SockRef::from(&*deaf.line.stream()).set_recv_buffer_size(4096).expect("a socket");
    // Answers of some 150 bytes each, until the kernel's buffers and the outbox are full.
    let call = json!({"jsonrpc": "2.0", "id": 1, "method": "session.status", "params": {"session": "x".repeat(100)}});
    let mut cut = false;
    for _ in 0..100_000 {
        if deaf.line.send(&call.to_string()).is_err() {
            cut = true;
            break;
        }
    }
    wait(
        SECOND * 20,
        || cut || rig.front(0).status().clients == 0,
        || "the deaf player is still there".into(),
    );
    let mut other = Viewer::connect(&rig, 0, "other");
    assert!(other.open("title-0", "clip", 1000).is_plays());
    other.close();
    rig.end();
}

#[test]
fn a_front_that_is_killed_finds_its_sessions_again_for_their_viewers() {
    let mut rig = Rig::start(script(&head(3, 5), "claim-within-ms 1500"));
    let sessions: Vec<String> = {
        let mut viewers: Vec<_> = (0..6).map(|n| Viewer::connect(&rig, 0, &format!("v-{n}"))).collect();
        let open = |viewer: &mut Viewer<'_>| match viewer.open("title-0", "clip", 2000) {
            Heard::Plays(session) => session,
            other => panic!("{other:?}"),
        };
        let sessions = viewers.iter_mut().map(open).collect();
        // Their connections end with the front and not before.
        viewers.into_iter().for_each(std::mem::forget);
        sessions
    };
    rig.down(0);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(rig.held(), 6, "they play on at the boxes");
    rig.up(0);
    wait(SECOND * 3, || rig.front(0).status().counts.resumed == 6, || format!("{:?}", rig.front(0).status()));
    let mut thief = Viewer::connect(&rig, 0, "thief");
    let status = |viewer: &mut Viewer<'_>, session: &str, name: &str| {
        let params = json!({"session": session, "viewer": name});
        let id = viewer.line.call("session.status", &params).expect("written");
        viewer.line.response(id, std::time::Instant::now() + SECOND, &mut Vec::new()).expect("answered")
    };
    assert_eq!(status(&mut thief, &sessions[0], "thief")["error"]["code"], -32003);
    let mut owner = Viewer::connect(&rig, 0, "owner");
    assert_eq!(status(&mut owner, &sessions[0], "v-0")["result"]["state"], "playing");
    // Five are never claimed.
    rig.wait_held(1);
    owner.session = Some(sessions[0].clone());
    owner.close();
    rig.wait_held(0);
    rig.end();
}

#[test]
fn a_caller_that_drops_its_session_leaves_nothing_unanswered_and_nothing_playing() {
    let rig = Rig::start(script(&head(2, 60), ""));
    let asked = SessionRequest {
        viewer: "caller".into(),
        title: "title-0".into(),
        class: "clip".into(),
        top_rung: 2,
        patience_ms: 2000,
        ..SessionRequest::default()
    };
    let front = rig.front(0);
    drop(front.open(&asked).expect("accepted"));
    let played = front.open(&asked).expect("accepted");
    assert!(played.answer(SECOND * 2).is_some());
    drop(played);
    let out = front.open(&asked).expect("accepted");
    std::thread::sleep(Duration::from_millis(20));
    drop(out);
    wait(SECOND * 3, || front.status().sessions == 0, || format!("{:?}", front.status()));
    rig.wait_held(0);
    rig.end();
}

#[test]
fn an_ordered_end_answers_what_is_owed_and_releases_what_plays() {
    let mut rig = Rig::start(script(&head(2, 400), ""));
    let played = {
        rig.day.boxes.fleet().model.set_up_time = 5_000;
        let mut plays = Viewer::connect(&rig, 0, "plays");
        assert!(plays.open("title-0", "clip", 2000).is_plays());
        rig.day.boxes.fleet().model.set_up_time = 400_000;
        let mut owed = Viewer::connect(&rig, 0, "owed");
        let id = owed.ask("title-0", "clip", 2000);
        std::thread::sleep(Duration::from_millis(100));
        let front = &rig.fronts.0[0];
        assert!(front.is_some());
        // The front is ended while both connections stand.
        let (line, session) = (plays.line, plays.session.take());
        let owed_line = owed.line;
        (line, session, owed_line, id)
    };
    let (mut plays, session, mut owed, id) = played;
    let front = rig.fronts.0[0].take().expect("runs");
    let counts = front.shut_down(SECOND * 5).expect("in time");
    assert_eq!(counts.stopped(), 0);
    let answer = owed.response(id, std::time::Instant::now() + SECOND, &mut Vec::new()).expect("answered");
    assert_eq!(answer["error"]["data"]["reason"], "shutting-down");
    let told = plays.next(std::time::Instant::now() + SECOND).expect("told");
    assert_eq!(told["params"], json!({"session": session, "reason": "shutting-down"}));
    rig.wait_held(0);
    rig.day.stop();
}

#[test]
fn a_moved_session_plays_on_at_the_other_holder_for_the_same_viewer() {
    let head = head(2, 5).replace("link-kb=20000", "link-kb=2400");
    // One title lies on the first box alone, the others on both.
    let rig = Rig::edited(script(&head, ""), |settings| {
        settings.replace("title \"title-0\" first-cell=0 cells=2", "title \"title-0\" first-cell=0 cells=1")
    });
    let mut movable: Vec<_> = (0..6).map(|n| Viewer::connect(&rig, 0, &format!("both-{n}"))).collect();
    for viewer in &mut movable {
        assert!(viewer.open("title-1", "clip", 2000).is_plays());
    }
    // A crowd for the one title fills its box, until one of the others makes way.
    let mut crowd = Vec::new();
    while rig.front(0).status().counts.moved == 0 {
        assert!(crowd.len() < 80, "nobody ever moves");
        let mut viewer = Viewer::connect(&rig, 0, &format!("crowd-{}", crowd.len()));
        viewer.open("title-0", "clip", 1000);
        crowd.push(viewer);
    }
    let soon = Duration::from_millis(300);
    let heard = movable.iter_mut().find_map(|viewer| {
        let until = std::time::Instant::now() + soon;
        let news =
            std::iter::from_fn(|| viewer.line.next(until).ok()).find(|m| m["method"] == "session.move")?;
        Some((viewer, news["params"]["session"].as_str().expect("named").to_owned()))
    });
    let (viewer, old) = heard.expect("its viewer is told");
    assert_eq!(viewer.session.as_deref(), Some(old.as_str()));
    assert!(rig.boxes_of(&old).is_empty(), "it was taken off its box");
    let id = viewer.ask_moved("title-1", "clip", 2000, Some(&old));
    let Heard::Plays(new) = viewer.hear(id, SECOND * 3) else { panic!("it goes where there is room") };
    assert_eq!(rig.boxes_of(&new), [1]);
    drop((movable, crowd));
    rig.wait_held(0);
    rig.end();
}

#[test]
fn holders_that_were_not_heard_of_are_probed_where_that_is_allowed() {
    let rig = Rig::edited(script(&head(3, 5), ""), |settings| format!("{settings}\nprices probe=0.001\n"));
    // The fleet has been quiet for a while.
    std::thread::sleep(Duration::from_millis(2_200));
    let before = rig.front(0).status().counts.probes;
    let mut viewer = Viewer::connect(&rig, 0, "probed");
    assert!(viewer.open("title-0", "clip", 2000).is_plays());
    assert!(rig.front(0).status().counts.probes > before, "{:?}", rig.front(0).status());
    viewer.close();
    rig.end();
}
