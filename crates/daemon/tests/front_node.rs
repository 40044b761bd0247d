//! A front node as a process, against a stand-in of the platform on loopback sockets.

mod node;

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::thread;
use std::time::Instant;

use node::{request_session, wait_until, Node, CELLS, SECOND};
use rustix::process::Signal;
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::{Platform, ScriptedReply, Viewer};

/// Set-ups that media servers have received for this session.
fn set_ups(platform: &Platform, id: u64) -> usize {
    platform.received().iter().filter(|c| c.message.kind == kind::SET_UP && c.message.session == id).count()
}

#[test]
fn sessions_play_and_end_from_either_side_and_leave_nothing_at_the_boxes() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "stand", 256);
    let mut viewer = node.viewer();
    for id in 1..=20 {
        let answer = request_session(&mut viewer, id, if id % 2 == 0 { "paid" } else { "clip" });
        let at = platform.box_of_session(id).unwrap();
        assert_eq!(
            (answer.kind, answer.text(code::DESCRIPTION)),
            (kind::ANSWER, Some(format!("box {at}").as_str()))
        );
    }
    platform.end_session(1, cause::NORMAL);
    assert_eq!(viewer.next(SECOND), Some(Message::release(1, cause::NORMAL)));
    // Broken connections to the boxes end no session, and the end of a session still reaches its viewer.
    (0..CELLS).for_each(|at| platform.break_connections(at));
    let mut other = node.viewer();
    other.send(&Message::release(2, cause::NORMAL));
    assert_eq!(other.next(SECOND), Some(Message::new(kind::RELEASE_ACK, 2)));
    wait_until("the session ends at its box", || platform.box_of_session(2).is_none());
    assert!((3..=20).all(|id| platform.box_of_session(id).is_some()));
    assert_eq!(viewer.next(SECOND / 4), None);
}

#[test]
fn malformed_answers_reach_no_viewer_and_paid_sessions_are_not_set_up_twice() {
    let mut three_gb = vec![0xff; 2_000];
    three_gb[2] = kind::ANSWER;
    let no_description = [0, 9, kind::ANSWER, 0, 0, 0, 0, 0, 0, 0, 0];
    let deeds = [
        ScriptedReply::Malformed(b"HTTP/1.1 200 OK\r\n\r\nnoise".to_vec()),
        ScriptedReply::Malformed(three_gb),
        ScriptedReply::Malformed(no_description.to_vec()),
        ScriptedReply::Malformed(vec![0x20]),
        ScriptedReply::Disconnects,
        ScriptedReply::Silent,
        ScriptedReply::Late(SECOND),
    ];
    for (id, deed) in (100..).zip(deeds) {
        // A new node for each case, so that no box is distrusted because of an earlier fault.
        let platform = Platform::start(CELLS).unwrap();
        let node = Node::start(&platform, &format!("spoilt-{id}"), 256);
        let mut viewer = node.viewer();
        platform.script_replies([deed.clone()]);
        let answer = request_session(&mut viewer, id, "paid");
        assert!(
            answer.kind == kind::RELEASE && ![34, 42, 102].contains(&answer.cause().unwrap()),
            "{deed:?}: {answer:?}"
        );
        assert_eq!(set_ups(&platform, id), 1, "{id}");
        platform.script_replies([deed.clone()]);
        let answer = request_session(&mut viewer, id + 100, "clip");
        assert_eq!((answer.kind, set_ups(&platform, id + 100)), (kind::ANSWER, 2), "{id}");
    }
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "copies", 256);
    let mut viewer = node.viewer();
    platform.script_replies([ScriptedReply::Duplicates, ScriptedReply::Releases(cause::FULL)]);
    assert_eq!(request_session(&mut viewer, 300, "paid").kind, kind::ANSWER);
    assert_eq!(
        request_session(&mut viewer, 301, "paid").kind,
        kind::ANSWER,
        "refused before it ran, so another box is tried"
    );
    assert_eq!(viewer.next(SECOND / 4), None, "no duplicate answer");
}

#[test]
fn peers_that_violate_the_protocol_are_refused_or_closed_and_others_are_answered() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "rude", 256);
    let idle: Vec<Viewer> = (0..300).map(|_| node.viewer()).collect();
    let mut viewer = node.viewer();
    assert_eq!(request_session(&mut viewer, 99, "clip").kind, kind::ANSWER);
    let assert_rejected = |bytes: &[u8]| {
        let mut peer = node.viewer();
        let _ = peer.stream.write_all(bytes);
        let begun = Instant::now();
        let rejected =
            peer.next(3 * SECOND).is_some_and(|m| m.kind != kind::ANSWER) || peer.closes(3 * SECOND);
        assert!(rejected && begun.elapsed() < 3 * SECOND, "{:?}", &bytes[..bytes.len().min(16)]);
    };
    assert_rejected(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_rejected(&[0xff; 64]);
    assert_rejected(&vec![0x7a; 4_000_000]);
    assert_rejected(&[0, 3, 1]);
    assert_rejected(&[0, 200, 1, 0, 0]);
    assert_rejected(&[0, 12, 1, 0, 0, 0, 0, 0, 0, 0, 1, 3, 0xff, 0xff]);
    for (code, value) in [
        (code::CLASS, "none"),
        (code::WAIT_MS, "1e9999"),
        (code::REQUEST_FIELDS, "home:-1"),
        (code::TITLE, ""),
    ] {
        let mut message = Viewer::request(7, "clip", CELLS);
        message.parameters.iter_mut().filter(|(c, _)| *c == code).for_each(|p| p.1 = value.into());
        let mut bytes = Vec::new();
        message.write(&mut bytes);
        assert_rejected(&bytes);
    }
    let mut busy_viewer = node.viewer();
    (1_000..1_400).for_each(|id| busy_viewer.send(&Message::release(id, cause::NORMAL)));
    assert!((0..400).all(|_| busy_viewer.next(SECOND).is_some_and(|m| m.kind == kind::RELEASE_ACK)));
    for id in 1..=30 {
        assert_eq!(request_session(&mut viewer, id, "clip").kind, kind::ANSWER);
    }
    let closed = idle.into_iter().filter_map(|mut peer| peer.closes(3 * SECOND).then_some(())).count();
    assert_eq!(closed, 300);
}

#[test]
fn the_list_is_followed_across_broken_connections_and_to_a_new_coordinator() {
    let mut platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "list", 256);
    let mut viewer = node.viewer();
    platform.cut_next_event(30);
    platform.announce(0, 2);
    wait_until("the list is requested again from the last number", || platform.requested_numbers() == [1, 1]);
    platform.add_coordinator().unwrap();
    platform.close_first_coordinator();
    // A truncated configuration file changes nothing, and the process goes on.
    fs::write(&node.config, "{\"name\": \"n1\", ").unwrap();
    node.signal(Signal::HUP);
    thread::sleep(SECOND / 10);
    fs::write(&node.config, platform.config(node.listen, 256).to_string()).unwrap();
    node.signal(Signal::HUP);
    wait_until("the new coordinator is asked", || !platform.requested_numbers().is_empty());
    platform.announce(1, 1);
    thread::sleep(SECOND / 10);
    for id in 1..=20 {
        assert_eq!(request_session(&mut viewer, id, "clip").kind, kind::ANSWER);
        assert_eq!(platform.box_of_session(id), Some(2), "the other two have left or drain");
    }
}

#[test]
fn sessions_are_handed_over_after_a_kill_and_a_graceful_shutdown_answers_new_requests() {
    let platform = Platform::start(CELLS).unwrap();
    let mut node = Node::start(&platform, "end", 256);
    let mut viewer = node.viewer();
    assert_eq!(request_session(&mut viewer, 1, "paid").kind, kind::ANSWER);
    let at = platform.box_of_session(1).unwrap();
    node.restart(&platform);
    let mut viewer = node.viewer();
    let mut hand_over = Viewer::request(1, "paid", CELLS);
    let figures = format!("home:0;copies:{CELLS};top:1;viewer:{:016x};at:s-{:08x}", 1, at + 1);
    hand_over
        .parameters
        .iter_mut()
        .filter(|(c, _)| *c == code::REQUEST_FIELDS)
        .for_each(|p| p.1 = figures.clone().into());
    viewer.send(&hand_over);
    viewer.send(&hand_over);
    assert_eq!(viewer.next(SECOND / 4), None, "a hand-over is not answered");
    assert_eq!(set_ups(&platform, 1), 1, "and the session is not set up again");

    node.signal(Signal::TERM);
    thread::sleep(SECOND / 5);
    platform.script_replies([ScriptedReply::Late(SECOND / 2)]);
    let mut late = node.viewer();
    assert_eq!(request_session(&mut late, 2, "clip").kind, kind::ANSWER);
    assert!(node.wait_for_exit(3 * SECOND).is_some_and(|status| status.success()));
    assert_eq!(
        viewer.next(SECOND),
        Some(Message::release(1, cause::BROKEN)),
        "the viewer is told at once that its session is over"
    );
}

#[test]
fn invalid_configurations_are_reported_in_one_line_with_file_and_field() {
    let platform = Platform::start(CELLS).unwrap();
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let good = platform.config(taken.local_addr().unwrap(), 256);
    let path = std::env::temp_dir().join(format!("salttally-bad-{}.json", std::process::id()));
    let refusal = |text: Option<String>| {
        let _ = fs::remove_file(&path);
        if let Some(text) = text {
            fs::write(&path, text).unwrap();
        }
        let mut command = Command::new(env!("CARGO_BIN_EXE_salttallyd"));
        command.args(["--platform", "--log-level", "error"]).env("GW_CONFIG", &path).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let lines: Vec<String> =
            BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok).collect();
        assert_eq!(child.wait().unwrap().code(), Some(2), "{lines:?}");
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert!(lines[0].contains(path.to_str().unwrap()), "{lines:?}");
        lines[0].clone()
    };
    let config_with = |field: &str, value: serde_json::Value| {
        let mut config = good.clone();
        config[field] = value;
        Some(config.to_string())
    };
    assert!(refusal(None).contains("cannot be read"));
    assert!(refusal(Some("{".into())).contains("line 1"));
    assert!(refusal(Some("{}".into())).contains("name"));
    assert!(refusal(config_with("listen", "here".into())).contains("listen"));
    assert!(refusal(config_with("coordinator", 7.into())).contains("string"));
    assert!(refusal(config_with("settings", serde_json::json!({}))).contains("settings"));
    assert!(refusal(Some(good.to_string())).contains("listen"), "the address is in use");
    let _ = fs::remove_file(&path);
    let output =
        Command::new(env!("CARGO_BIN_EXE_salttallyd")).arg("--platform").env_remove("GW_CONFIG").output();
    let output = output.unwrap();
    assert!(String::from_utf8_lossy(&output.stderr).contains("GW_CONFIG") && output.status.code() == Some(2));
}
