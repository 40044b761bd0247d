//! The front node as a process, against a stand-in of the platform on loopback sockets.

mod node;

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::thread;
use std::time::Instant;

use node::{ask, soon, Node, CELLS, SECOND};
use rustix::process::Signal;
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::{Platform, ScriptedReply, Viewer};

fn set_ups(platform: &Platform, id: u64) -> usize {
    platform.received().iter().filter(|c| c.message.kind == kind::SET_UP && c.message.session == id).count()
}

#[test]
fn sessions_stand_end_and_are_ended_with_nothing_left_at_the_boxes() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "stand", 256);
    let mut viewer = node.viewer();
    for id in 1..=20 {
        let got = ask(&mut viewer, id, if id % 2 == 0 { "paid" } else { "clip" });
        let at = platform.box_of_session(id).unwrap();
        assert_eq!(
            (got.kind, got.text(code::DESCRIPTION)),
            (kind::ANSWER, Some(format!("box {at}").as_str()))
        );
    }
    platform.end_session(1, cause::NORMAL);
    assert_eq!(viewer.next(SECOND), Some(Message::release(1, cause::NORMAL)));
    // A break of connections cuts nothing, and the end of a session finds its viewer all the same.
    (0..CELLS).for_each(|at| platform.break_connections(at));
    let mut other = node.viewer();
    other.send(&Message::release(2, cause::NORMAL));
    assert_eq!(other.next(SECOND), Some(Message::new(kind::RELEASE_ACK, 2)));
    soon("it ends at its box", || platform.box_of_session(2).is_none());
    assert!((3..=20).all(|id| platform.box_of_session(id).is_some()));
    assert_eq!(viewer.next(SECOND / 4), None);
}

#[test]
fn spoilt_answers_reach_no_viewer_and_what_is_paid_is_not_set_up_twice() {
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
        // Each with a module that has no reason to doubt a box.
        let platform = Platform::start(CELLS).unwrap();
        let node = Node::start(&platform, &format!("spoilt-{id}"), 256);
        let mut viewer = node.viewer();
        platform.script_replies([deed.clone()]);
        let got = ask(&mut viewer, id, "paid");
        assert!(
            got.kind == kind::RELEASE && ![34, 42, 102].contains(&got.cause().unwrap()),
            "{deed:?}: {got:?}"
        );
        assert_eq!(set_ups(&platform, id), 1, "{id}");
        platform.script_replies([deed.clone()]);
        let got = ask(&mut viewer, id + 100, "clip");
        assert_eq!((got.kind, set_ups(&platform, id + 100)), (kind::ANSWER, 2), "{id}");
    }
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "copies", 256);
    let mut viewer = node.viewer();
    platform.script_replies([ScriptedReply::Duplicates, ScriptedReply::Releases(cause::FULL)]);
    assert_eq!(ask(&mut viewer, 300, "paid").kind, kind::ANSWER);
    assert_eq!(ask(&mut viewer, 301, "paid").kind, kind::ANSWER, "turned away unseen, it goes elsewhere");
    assert_eq!(viewer.next(SECOND / 4), None, "no second copy");
}

#[test]
fn rude_peers_get_a_refusal_or_a_close_and_cost_nobody_else_an_answer() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "rude", 256);
    let silent: Vec<Viewer> = (0..300).map(|_| node.viewer()).collect();
    let mut viewer = node.viewer();
    assert_eq!(ask(&mut viewer, 99, "clip").kind, kind::ANSWER);
    let rude = |bytes: &[u8]| {
        let mut peer = node.viewer();
        let _ = peer.stream.write_all(bytes);
        let within = Instant::now();
        let owed = peer.next(3 * SECOND).is_some_and(|m| m.kind != kind::ANSWER) || peer.closes(3 * SECOND);
        assert!(owed && within.elapsed() < 3 * SECOND, "{:?}", &bytes[..bytes.len().min(16)]);
    };
    rude(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    rude(&[0xff; 64]);
    rude(&vec![0x7a; 4_000_000]);
    rude(&[0, 3, 1]);
    rude(&[0, 200, 1, 0, 0]);
    rude(&[0, 12, 1, 0, 0, 0, 0, 0, 0, 0, 1, 3, 0xff, 0xff]);
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
        rude(&bytes);
    }
    let mut many = node.viewer();
    (1_000..1_400).for_each(|id| many.send(&Message::release(id, cause::NORMAL)));
    assert!((0..400).all(|_| many.next(SECOND).is_some_and(|m| m.kind == kind::RELEASE_ACK)));
    for id in 1..=30 {
        assert_eq!(ask(&mut viewer, id, "clip").kind, kind::ANSWER);
    }
    let closed = silent.into_iter().filter_map(|mut peer| peer.closes(3 * SECOND).then_some(())).count();
    assert_eq!(closed, 300);
}

#[test]
fn the_list_is_followed_through_breaks_and_to_a_new_address() {
    let mut platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "list", 256);
    let mut viewer = node.viewer();
    platform.cut_next_event(30);
    platform.announce(0, 2);
    soon("asked again with the last number", || platform.requested_numbers() == [1, 1]);
    platform.add_coordinator().unwrap();
    platform.close_first_coordinator();
    // Half a file changes nothing, and ends nothing.
    fs::write(&node.config, "{\"name\": \"n1\", ").unwrap();
    node.signal(Signal::HUP);
    thread::sleep(SECOND / 10);
    fs::write(&node.config, platform.config(node.listen, 256).to_string()).unwrap();
    node.signal(Signal::HUP);
    soon("the new one is asked", || !platform.requested_numbers().is_empty());
    platform.announce(1, 1);
    thread::sleep(SECOND / 10);
    for id in 1..=20 {
        assert_eq!(ask(&mut viewer, id, "clip").kind, kind::ANSWER);
        assert_eq!(platform.box_of_session(id), Some(2), "one has gone, one drains");
    }
}

#[test]
fn an_end_in_order_answers_what_comes_and_a_kill_is_taken_over_from_viewers() {
    let platform = Platform::start(CELLS).unwrap();
    let mut node = Node::start(&platform, "end", 256);
    let mut viewer = node.viewer();
    assert_eq!(ask(&mut viewer, 1, "paid").kind, kind::ANSWER);
    let at = platform.box_of_session(1).unwrap();
    node.restart(&platform);
    let mut viewer = node.viewer();
    let mut handed = Viewer::request(1, "paid", CELLS);
    let figures = format!("home:0;copies:{CELLS};top:1;viewer:{:016x};at:s-{:08x}", 1, at + 1);
    handed
        .parameters
        .iter_mut()
        .filter(|(c, _)| *c == code::REQUEST_FIELDS)
        .for_each(|p| p.1 = figures.clone().into());
    viewer.send(&handed);
    viewer.send(&handed);
    assert_eq!(viewer.next(SECOND / 4), None, "it wants no answer");
    assert_eq!(set_ups(&platform, 1), 1, "and is not set up again");

    node.signal(Signal::TERM);
    thread::sleep(SECOND / 5);
    platform.script_replies([ScriptedReply::Late(SECOND / 2)]);
    let mut late = node.viewer();
    assert_eq!(ask(&mut late, 2, "clip").kind, kind::ANSWER);
    assert!(node.ends(3 * SECOND).is_some_and(|status| status.success()));
    assert_eq!(viewer.next(SECOND), Some(Message::release(1, cause::BROKEN)), "told at once that it is over");
}

#[test]
fn bad_configurations_are_told_in_one_line_with_file_and_field() {
    let platform = Platform::start(CELLS).unwrap();
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let good = platform.config(taken.local_addr().unwrap(), 256);
    let path = std::env::temp_dir().join(format!("salttally-bad-{}.json", std::process::id()));
    let tell = |text: Option<String>| {
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
    let with = |field: &str, value: serde_json::Value| {
        let mut config = good.clone();
        config[field] = value;
        Some(config.to_string())
    };
    assert!(tell(None).contains("cannot be read"));
    assert!(tell(Some("{".into())).contains("line 1"));
    assert!(tell(Some("{}".into())).contains("name"));
    assert!(tell(with("listen", "here".into())).contains("listen"));
    assert!(tell(with("coordinator", 7.into())).contains("string"));
    assert!(tell(with("settings", serde_json::json!({}))).contains("settings"));
    assert!(tell(Some(good.to_string())).contains("listen"), "the address is taken");
    let _ = fs::remove_file(&path);
    let without =
        Command::new(env!("CARGO_BIN_EXE_salttallyd")).arg("--platform").env_remove("GW_CONFIG").output();
    let without = without.unwrap();
    assert!(
        String::from_utf8_lossy(&without.stderr).contains("GW_CONFIG") && without.status.code() == Some(2)
    );
}
