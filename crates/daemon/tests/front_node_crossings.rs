//! Two events that cross, over real sockets and in the bad order each time: nothing happens here but what the test
//! does, and it goes on when it has seen what it waits for. docs/design/crossings.md has the whole table.

mod node;

use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use node::hand::{plays, refusing, request_at, rest, wait_for, with, Hands};
use node::{ask, soon, Node, CELLS, SECOND};
use rustix::process::Signal;
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::{Platform, Viewer};
use serde_json::json;

const MS: Duration = Duration::from_millis(1);

fn test(viewer: &mut Viewer) -> Option<u8> {
    viewer.send(&Message::new(kind::TEST, 1).with(code::CAUSE, [0]));
    wait_for(viewer, kind::TEST_RESULT, 1).cause()
}

/// Told to end, and has heard it.
fn told_to_end(node: &Node) -> Instant {
    let mut viewer = node.viewer();
    assert_eq!(test(&mut viewer), Some(1));
    node.signal(Signal::TERM);
    soon("it fails its test", || test(&mut viewer) == Some(0));
    Instant::now()
}

fn released(message: &Message) -> Option<u8> {
    message.cause().filter(|_| message.kind == kind::RELEASE)
}

// ---- The end of the process ----

// Caught the loop that ended at the first tick after 0.8 s, with connections accepted in that turn unread.
#[test]
fn requests_that_wait_in_sockets_and_in_the_listen_queue_at_the_end_are_answered() {
    let platform = Platform::start(CELLS).unwrap();
    let mut node = Node::start(&platform, "end-queue", 256);
    let mut open = node.viewer();
    assert_eq!(ask(&mut open, 1, "clip").kind, kind::ANSWER);
    let ending = told_to_end(&node);
    node.signal(Signal::STOP);
    // A whole request behind what is read at once, and one on each of many connections nobody has accepted.
    let mut bytes = Vec::new();
    (0..2_000).for_each(|id| Message::new(kind::PROGRESS, id).write(&mut bytes));
    Viewer::request(2, "clip", CELLS).write(&mut bytes);
    open.stream.write_all(&bytes).unwrap();
    let mut queued: Vec<Viewer> = (100..180)
        .map(|id| {
            let viewer = node.viewer();
            viewer.send(&Viewer::request(id, if id % 2 == 0 { "clip" } else { "paid" }, CELLS));
            viewer
        })
        .collect();
    // Stopped until the time in which requests still come is over.
    thread::sleep((ending + SECOND).saturating_duration_since(Instant::now()));
    node.signal(Signal::CONT);
    assert!(open.next(SECOND).is_some_and(|m| m.session == 2), "the one that lay behind others");
    for (id, viewer) in (100..180).zip(&mut queued) {
        let first = viewer.next(SECOND);
        assert!(
            first
                .as_ref()
                .is_some_and(|m| m.session == id && [kind::ANSWER, kind::RELEASE].contains(&m.kind)),
            "{id}: {first:?}"
        );
    }
    assert!(node.ends(3 * SECOND).is_some_and(|status| status.success()));
}

// Caught the end that dropped releases with the connections that were being made for them.
#[test]
fn what_stands_at_a_box_without_a_connection_is_released_there_too() {
    let mut hands = Hands::new(1);
    let mut node = hands.node("end-release", |config| {
        // Kept for a third of this, so that none is open when the end comes; looks are made after 2 s of silence.
        config["settings"]["policy_limits"]["conn_idle_ms"] = json!(150);
    });
    let mut viewer = node.viewer();
    viewer.send(&request_at(1, "paid", 0));
    let mut line = hands.accept(0);
    wait_for(&mut line, kind::SET_UP, 1);
    plays(&line, 1);
    assert_eq!(viewer.next(SECOND).map(|m| m.kind), Some(kind::ANSWER));
    assert!(line.closes(SECOND), "idle");
    told_to_end(&node);
    let mut line = hands.accept(0);
    let first = line.next(SECOND);
    assert!(first.as_ref().is_some_and(|m| m.session == 1 && released(m).is_some()), "{first:?}");
    assert_eq!(viewer.next(SECOND).as_ref().and_then(released), Some(cause::BROKEN));
    assert!(node.ends(3 * SECOND).is_some_and(|status| status.success()));
}

// Holds on the code before: seen failing with the second word starting the count anew (mutation of `Input::End`).
#[test]
fn a_second_word_and_a_new_configuration_meanwhile_do_not_put_the_end_off() {
    let platform = Platform::start(CELLS).unwrap();
    let mut node = Node::start(&platform, "end-twice", 256);
    let ending = told_to_end(&node);
    let mut viewer = node.viewer();
    assert_eq!(ask(&mut viewer, 3, "paid").kind, kind::ANSWER, "still served");
    let mut other = node.viewer();
    while ending.elapsed() < 700 * MS {
        node.signal(Signal::TERM);
        node.signal(Signal::HUP);
        assert_eq!(test(&mut other), Some(0));
    }
    assert_eq!(viewer.next(SECOND).as_ref().and_then(released), Some(cause::BROKEN));
    assert!(ending.elapsed() < 1_300 * MS, "0.8 s after the first word: {:?}", ending.elapsed());
    assert!(node.ends(2 * SECOND).is_some_and(|status| status.success()));
}

// ---- Clients that leave ----

// Caught the connection closed without a word: a viewer that only shuts its own side down reads on.
#[test]
fn a_viewer_that_writes_no_more_gets_its_answer_at_once_and_is_taken_back_at_the_box() {
    let mut hands = Hands::new(1);
    let node = hands.node("half-closed", |_| {});
    let mut viewer = node.viewer();
    viewer.send(&request_at(1, "paid", 0));
    let mut line = hands.accept(0);
    wait_for(&mut line, kind::SET_UP, 1);
    viewer.stream.shutdown(Shutdown::Write).unwrap();
    let since = Instant::now();
    assert!(viewer.next(SECOND).as_ref().and_then(released).is_some(), "one answer");
    assert_eq!(viewer.next(SECOND), None, "and the end of the connection");
    wait_for(&mut line, kind::RELEASE, 1);
    assert!(since.elapsed() < 300 * MS, "{:?}", since.elapsed());
}

// Caught one read of 16 kB a turn: the dial was made, and looked at, ahead of what lay behind them.
#[test]
fn who_leaves_while_a_dial_is_under_way_is_not_sent_on_when_it_comes_up() {
    let mut hands = Hands::new(1);
    let node = hands.node("leaves-dial", |_| {});
    let mut early = node.viewer();
    assert_eq!(test(&mut early), Some(1));
    // Request and leaving both lie in the sockets before the node reads either, and dials.
    node.signal(Signal::STOP);
    let ask = |id: u64, more: &[u8]| {
        let viewer = node.viewer();
        let mut bytes = Vec::new();
        request_at(id, "paid", 0).write(&mut bytes);
        bytes.extend(more);
        (&viewer.stream).write_all(&bytes).unwrap();
        viewer
    };
    let mut behind = Vec::new();
    (0..8_000).for_each(|id| Message::new(kind::PROGRESS, 1_000 + id).write(&mut behind));
    Message::release(5, cause::NORMAL).write(&mut behind);
    let mut give_up = Vec::new();
    Message::release(3, cause::NORMAL).write(&mut give_up);
    let (closes, half) = (ask(1, &[]), ask(2, &[]));
    let (_gives_up, _buried) = (ask(3, &give_up), ask(5, &behind));
    drop(closes);
    half.stream.shutdown(Shutdown::Write).unwrap();
    early.send(&request_at(6, "paid", 0));
    node.signal(Signal::CONT);
    let mut line = hands.accept(0);
    wait_for(&mut line, kind::SET_UP, 6);
    plays(&line, 6);
    assert_eq!(early.next(SECOND).map(|m| m.kind), Some(kind::ANSWER));
    let others = rest(&mut line, SECOND / 2);
    assert!(others.iter().all(|m| m.kind != kind::SET_UP), "{others:?}");
}

/// An address as `/proc/net/tcp` writes it.
fn in_proc(at: SocketAddr) -> String {
    let IpAddr::V4(host) = at.ip() else { panic!("{at} stands in another file") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(host.octets()), at.port())
}

/// Bytes on their way to whoever listens at this address, in the kernel's queues of either side.
fn kernel_holds(node: &Node, to: SocketAddr) -> usize {
    let text = fs::read_to_string(format!("/proc/{}/net/tcp", node.child.id())).unwrap();
    let address = in_proc(to);
    let queued = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (written, unread) = fields[4].split_once(':').unwrap();
        let [written, unread] = [written, unread].map(|queue| usize::from_str_radix(queue, 16).unwrap());
        match (fields[1] == address, fields[2] == address, fields[3]) {
            (true, _, "01") => unread,
            (_, true, _) => written,
            _ => 0,
        }
    };
    text.lines().skip(1).map(queued).sum()
}

// Caught the backlog of the connection, which was written when its peer read again, whoever had left by then.
#[test]
fn who_leaves_while_a_connection_takes_nothing_is_not_sent_on_when_it_does() {
    let mut hands = Hands::new(1);
    let node = hands.node("takes-nothing", |config| {
        let settings = &mut config["settings"];
        settings["policy_limits"]["max_streams"] = json!(100_000);
        settings["domain"]["kind_streams"] = json!([100_000]);
        settings["domain"]["kb_per_weight"] = json!(1e12);
        settings["domain"]["links_kb"] = json!(1e12);
        (0..2).for_each(|at| settings["classes"][at]["aim_ms"] = json!(100_000));
    });
    let mut viewer = node.viewer();
    let fill = |viewer: &Viewer, id: u64| {
        let mut message = request_at(id, "paid", 0);
        for (code, value) in &mut message.parameters {
            match *code {
                code::WAIT_MS => *value = b"90000".to_vec(),
                code::DESCRIPTION => *value = vec![b'x'; 15_000],
                _ => {}
            }
        }
        viewer.send(&message);
    };
    fill(&viewer, 1);
    let mut line = hands.accept(0);
    let mut first = Vec::new();
    wait_for(&mut line, kind::SET_UP, 1).write(&mut first);
    plays(&line, 1);
    // One at a time, until one is not taken whole: it is in the kernel's queues in part or not at all.
    (2..40).for_each(|id| fill(&viewer, id));
    let last = (40..2_000u64).find(|id| {
        fill(&viewer, *id);
        // It is heard of all the time, and no look at it opens another connection.
        line.send(&Message::new(kind::PROGRESS, 1));
        // Answered behind it, so that it has been handed to the kernel as far as that takes it.
        assert_eq!(test(&mut viewer), Some(1));
        let all = first.len() * (*id as usize - 1);
        let grown = |span: Duration| {
            let until = Instant::now() + span;
            while kernel_holds(&node, hands.address(0)) < all && Instant::now() < until {
                thread::sleep(MS);
            }
            kernel_holds(&node, hands.address(0)) >= all
        };
        // What was received and not acknowledged yet stands in both queues; that is over soon.
        !grown(SECOND)
    });
    let last = last.expect("the kernel takes no more at last");
    viewer.send(&Message::release(last, cause::NORMAL));
    wait_for(&mut viewer, kind::RELEASE_ACK, last);
    let came = rest(&mut line, SECOND);
    let set_ups: Vec<u64> = came.iter().filter(|m| m.kind == kind::SET_UP).map(|m| m.session).collect();
    assert!(set_ups.len() > 10 && !set_ups.contains(&last), "{last}: {:?}", set_ups.last());
}

// Caught the close of an idle connection: what the media server had written on it by then was never read, and the client
// waited by a session that was over.
#[test]
fn an_end_that_crosses_the_close_of_an_idle_connection_is_told() {
    let mut hands = Hands::new(1);
    let node = hands.node("idle-end", |config| {
        config["settings"]["policy_limits"]["conn_idle_ms"] = json!(3_000);
    });
    let mut viewer = node.viewer();
    viewer.send(&request_at(1, "clip", 0));
    let mut line = hands.accept(0);
    wait_for(&mut line, kind::SET_UP, 1);
    plays(&line, 1);
    wait_for(&mut viewer, kind::ANSWER, 1);
    // Closed after a third of the time in which the media server would.
    let mut byte = [0];
    line.stream.set_read_timeout(Some(5 * SECOND)).unwrap();
    assert_eq!((&line.stream).read(&mut byte).unwrap(), 0, "the node closes it");
    line.send(&Message::release(1, cause::NORMAL));
    wait_for(&mut viewer, kind::RELEASE, 1);
}

// ---- Attempts ----

// Caught `box_released`, which looked at the box and not at the connection.
#[test]
fn a_late_refusal_of_the_first_attempt_does_not_send_a_third_while_the_second_is_out() {
    let mut hands = Hands::new(1);
    let node = hands.node("late-refusal", |_| {});
    let mut viewer = node.viewer();
    viewer.send(&request_at(1, "clip", 0));
    let mut first = hands.accept(0);
    wait_for(&mut first, kind::SET_UP, 1);
    // Nothing comes; the time-out takes it back and tries again.
    wait_for(&mut first, kind::RELEASE, 1);
    first.send(&Message::new(kind::RELEASE_ACK, 1));
    let mut second = hands.accept(0);
    wait_for(&mut second, kind::SET_UP, 1);
    first.send(&Message::release(1, cause::FULL));
    assert!(second.next(100 * MS).is_none_or(|message| message.kind == kind::RUNG), "it is not given up");
    assert!(hands.accepted(0).is_empty(), "and no third one is dialled");
    plays(&second, 1);
    assert_eq!(viewer.next(SECOND).map(|m| m.kind), Some(kind::ANSWER));
    assert_eq!(rest(&mut second, SECOND / 5).iter().filter(|m| m.kind != kind::RUNG).count(), 0);
}

// Holds on the code before: seen failing with `Closed` looked at ahead of what was read.
#[test]
fn an_answer_in_the_same_read_as_the_close_is_passed_on() {
    let mut hands = Hands::new(1);
    let node = hands.node("answer-close", |_| {});
    let mut viewer = node.viewer();
    viewer.send(&request_at(1, "paid", 0));
    let mut line = hands.accept(0);
    wait_for(&mut line, kind::SET_UP, 1);
    node.signal(Signal::STOP);
    plays(&line, 1);
    drop(line);
    node.signal(Signal::CONT);
    assert_eq!(viewer.next(SECOND).map(|m| m.kind), Some(kind::ANSWER));
}

// Caught the answer that was passed on although its end lay behind it: the viewer was told nothing that was true.
#[test]
fn a_session_that_its_box_ended_in_the_same_read_as_its_answer_is_told_to_have_failed() {
    let mut hands = Hands::new(1);
    let node = hands.node("answer-end", |_| {});
    let mut viewer = node.viewer();
    viewer.send(&request_at(1, "paid", 0));
    let mut line = hands.accept(0);
    wait_for(&mut line, kind::SET_UP, 1);
    let mut bytes = Vec::new();
    Message::new(kind::ANSWER, 1).with(code::DESCRIPTION, "by hand").write(&mut bytes);
    Message::release(1, cause::ON_PURPOSE).write(&mut bytes);
    (&line.stream).write_all(&bytes).unwrap();
    assert_eq!(viewer.next(SECOND).as_ref().and_then(released), Some(cause::BROKEN));
    assert_eq!(rest(&mut viewer, SECOND / 5), [], "one answer");
}

// ---- Ends that find nobody ----

// Caught `say`, which dropped what no connection was open for.
#[test]
fn an_end_that_comes_while_no_viewer_is_connected_is_told_the_next_one() {
    let mut hands = Hands::new(1);
    let node = hands.node("untold", |_| {});
    let mut viewer = node.viewer();
    viewer.send(&request_at(1, "clip", 0));
    let mut line = hands.accept(0);
    wait_for(&mut line, kind::SET_UP, 1);
    plays(&line, 1);
    assert_eq!(viewer.next(SECOND).map(|m| m.kind), Some(kind::ANSWER));
    viewer.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(viewer.next(SECOND), None, "the front node has seen it go");
    line.send(&Message::release(1, cause::NORMAL));
    wait_for(&mut line, kind::RELEASE_ACK, 1);
    let mut next = node.viewer();
    next.send(&Message::new(kind::TEST, 9).with(code::CAUSE, [0]));
    assert_eq!(next.next(SECOND), Some(Message::release(1, cause::NORMAL)));
}

// Caught `box_released`, which forgot ends of sessions that it did not know yet.
#[test]
fn an_end_that_comes_before_its_session_is_handed_over_is_told_then() {
    let mut hands = Hands::new(1);
    let node = hands.node("early-end", |_| {});
    let viewer = node.viewer();
    viewer.send(&request_at(1, "clip", 0));
    let mut line = hands.accept(0);
    wait_for(&mut line, kind::SET_UP, 1);
    line.send(&Message::release(77, cause::NORMAL));
    wait_for(&mut line, kind::RELEASE_ACK, 77);
    let figures = "home:0;copies:1;top:1;viewer:000000000000004d;at:s-00000001";
    let handed = with(request_at(77, "clip", 0), code::REQUEST_FIELDS, figures);
    let mut other = node.viewer();
    other.send(&handed);
    assert_eq!(other.next(SECOND), Some(Message::release(77, cause::NORMAL)));
}

// ---- The list ----

// Caught `list`, which left set-ups waiting for connections to a box that drains.
#[test]
fn a_drain_told_while_a_dial_is_under_way_sends_nothing_there_when_it_comes_up() {
    let mut hands = Hands::new(2);
    let node = hands.node("late-drain", |config| {
        config["settings"]["policy_limits"]["connect_timeout_ms"] = json!(10_000);
        (0..2).for_each(|at| config["settings"]["classes"][at]["aim_ms"] = json!(20_000));
    });
    let fillers = hands.deafen(0);
    let mut viewer = node.viewer();
    let message = request_at(1, "paid", 0);
    let message = with(message, code::WAIT_MS, "9000");
    viewer.send(&message);
    assert_eq!(test(&mut node.viewer()), Some(1));
    hands.frame(2, &[(0, 1)]);
    let answer = viewer.next(SECOND).expect("answered at once: no other holds it");
    assert_eq!(released(&answer), Some(cause::FULL), "it never ran");
    drop(fillers);
    drop(node);
}

// Caught `ready`, which waited for the coordinator for ever.
#[test]
fn a_start_while_the_coordinator_is_down_or_silent_is_ready_within_ten_seconds() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_held, refuses) = refusing();
    for (at, coordinator) in [silent.local_addr().unwrap(), refuses].into_iter().enumerate() {
        let platform = Platform::start(CELLS).unwrap();
        let node = Node::start_by(&format!("no-list-{at}"), 256, |listen| {
            let mut config = platform.config(listen, 256);
            config["coordinator"] = json!(coordinator.to_string());
            config
        });
        // Panics if it is not ready by then.
        node.wait_ready();
        assert_eq!(ask(&mut node.viewer(), 1, "paid").kind, kind::ANSWER);
    }
}

// ---- Slow peers, and no room ----

fn descriptors(node: &Node) -> usize {
    fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count()
}

/// Whether the front node holds a connection to whoever has this address.
fn is_held(node: &Node, peer: SocketAddr) -> bool {
    let text = fs::read_to_string(format!("/proc/{}/net/tcp", node.child.id())).unwrap();
    let address = in_proc(peer);
    // What the kernel still sends for somebody who has closed belongs to no inode.
    let held = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields[2] == address && fields[9] != "0"
    };
    text.lines().skip(1).any(held)
}

// Caught the closing connection that waited for its peer without end.
#[test]
fn a_connection_whose_peer_reads_nothing_is_gone_soon_after_it_is_closed() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "reads-nothing", 256);
    let rude = node.viewer();
    let at = rude.stream.local_addr().unwrap();
    let (mut tests, mut answer) = (Vec::new(), Vec::new());
    Message::new(kind::TEST_RESULT, 0).with(code::CAUSE, [1]).write(&mut answer);
    (0..1_000).for_each(|id| Message::new(kind::TEST, id).with(code::CAUSE, [0]).write(&mut tests));
    // Until the kernel takes no more of what is said to it, and some of that waits in the front node.
    let full = (1..1_000).any(|round| {
        (&rude.stream).write_all(&tests).unwrap();
        let until = Instant::now() + SECOND;
        let all = round * 1_000 * answer.len();
        while kernel_holds(&node, at) < all && Instant::now() < until {
            thread::sleep(MS);
        }
        kernel_holds(&node, at) < all
    });
    assert!(full && is_held(&node, at));
    (&rude.stream).write_all(&[0xff; 16]).unwrap();
    soon("it is closed though nobody reads", || !is_held(&node, at));
}

// Caught the sleep at each accept that failed, which all others waited for.
#[test]
fn a_proper_viewer_is_served_while_no_descriptor_is_to_be_had_for_newcomers() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start_by("no-room", 1_024, |listen| platform.config(listen, 1_024));
    node.wait_ready();
    let mut proper = node.viewer();
    assert_eq!(ask(&mut proper, 1, "clip").kind, kind::ANSWER);
    // As a limit of the machine, lower than what the configuration says.
    let limit = rustix::process::Rlimit { current: Some(40), maximum: Some(40) };
    let pid = rustix::process::Pid::from_child(&node.child);
    rustix::process::prlimit(Some(pid), rustix::process::Resource::Nofile, limit).unwrap();
    let crowd: Vec<Viewer> = (0..200).map(|_| node.viewer()).collect();
    soon("it is full", || descriptors(&node) >= 40);
    let mut slowest = Duration::ZERO;
    for id in 2..=100 {
        let since = Instant::now();
        assert_eq!(ask(&mut proper, id, "clip").kind, kind::ANSWER);
        slowest = slowest.max(since.elapsed());
    }
    assert!(slowest < SECOND / 4, "{slowest:?}");
    let waits = || -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:")).unwrap();
        line.trim().parse().unwrap()
    };
    let since = waits();
    thread::sleep(SECOND / 2);
    assert!(waits() - since < 150, "{} waits in half a second", waits() - since);
    drop(crowd);
    // Newcomers are taken again when there is room.
    let mut next = node.viewer();
    assert_eq!(ask(&mut next, 200, "clip").kind, kind::ANSWER);
}
