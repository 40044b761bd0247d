//! Races between two events, over real sockets and always in the order that does harm. Each test causes every event itself
//! and goes on only after it has observed the one before. docs/design/crossings.md lists all pairs.

mod node;

use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use node::scripted::{
    answer_set_up, read_until_silent, refusing_address, request_for_cell, start_session, wait_for_message,
    with_parameter, ScriptedServers,
};
use node::{request_session, wait_until, Node, CELLS, SECOND};
use rustix::process::Signal;
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::{Platform, Viewer};
use serde_json::json;

const MS: Duration = Duration::from_millis(1);

/// The result of a health test: 1 while the node accepts work, 0 once it shuts down.
fn health_test(viewer: &mut Viewer) -> Option<u8> {
    viewer.send(&Message::new(kind::TEST, 1).with(code::CAUSE, [0]));
    wait_for_message(viewer, kind::TEST_RESULT, 1).cause()
}

/// Sends SIGTERM and returns once the health test fails.
fn begin_shutdown(node: &Node) -> Instant {
    let mut viewer = node.viewer();
    assert_eq!(health_test(&mut viewer), Some(1));
    node.signal(Signal::TERM);
    wait_until("the health test fails", || health_test(&mut viewer) == Some(0));
    Instant::now()
}

/// The cause, if the message is a release.
fn release_cause(message: &Message) -> Option<u8> {
    message.cause().filter(|_| message.kind == kind::RELEASE)
}

// ---- Shutdown of the process ----

// Guards against an event loop that ends at the first tick after 0.8 s, without reading the connections that it accepted in
// that turn.
#[test]
fn requests_that_wait_in_sockets_and_in_the_listen_queue_at_the_end_are_answered() {
    let platform = Platform::start(CELLS).unwrap();
    let mut node = Node::start(&platform, "end-queue", 256);
    let mut open = node.viewer();
    assert_eq!(request_session(&mut open, 1, "clip").kind, kind::ANSWER);
    let shutdown_begun = begin_shutdown(&node);
    node.suspend();
    // One request behind more bytes than are read at once, and one on each of many connections not accepted yet.
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
    // Suspended until the period in which requests still arrive is over.
    thread::sleep((shutdown_begun + SECOND).saturating_duration_since(Instant::now()));
    node.signal(Signal::CONT);
    assert!(open.next(SECOND).is_some_and(|m| m.session == 2), "the request behind other messages");
    for (id, viewer) in (100..180).zip(&mut queued) {
        let first = viewer.next(SECOND);
        assert!(
            first
                .as_ref()
                .is_some_and(|m| m.session == id && [kind::ANSWER, kind::RELEASE].contains(&m.kind)),
            "{id}: {first:?}"
        );
    }
    assert!(node.wait_for_exit(3 * SECOND).is_some_and(|status| status.success()));
}

// Guards against a shutdown that drops releases together with the connections being dialled for them.
#[test]
fn shutdown_releases_sessions_at_boxes_without_an_open_connection() {
    let mut servers = ScriptedServers::new(1);
    let mut node = servers.start_node("end-release", |config| {
        // Idle connections are kept for a third of this, so none is open at the shutdown; probes start after 2 s of silence.
        config["settings"]["policy_limits"]["conn_idle_ms"] = json!(150);
    });
    let mut viewer = node.viewer();
    viewer.send(&request_for_cell(1, "paid", 0));
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 1);
    answer_set_up(&connection, 1);
    assert_eq!(viewer.next(SECOND).map(|m| m.kind), Some(kind::ANSWER));
    assert!(connection.closes(SECOND), "the idle connection is closed");
    begin_shutdown(&node);
    let mut connection = servers.accept(0);
    let first = connection.next(SECOND);
    assert!(first.as_ref().is_some_and(|m| m.session == 1 && release_cause(m).is_some()), "{first:?}");
    assert_eq!(viewer.next(SECOND).as_ref().and_then(release_cause), Some(cause::BROKEN));
    assert!(node.wait_for_exit(3 * SECOND).is_some_and(|status| status.success()));
}

// Guards against a second SIGTERM that restarts the shutdown timer. Fails when `Input::End` is mutated to do so.
#[test]
fn repeated_sigterm_and_sighup_do_not_delay_the_shutdown() {
    let platform = Platform::start(CELLS).unwrap();
    let mut node = Node::start(&platform, "end-twice", 256);
    let shutdown_begun = begin_shutdown(&node);
    let mut viewer = node.viewer();
    assert_eq!(request_session(&mut viewer, 3, "paid").kind, kind::ANSWER, "still served");
    let mut other = node.viewer();
    while shutdown_begun.elapsed() < 700 * MS {
        node.signal(Signal::TERM);
        node.signal(Signal::HUP);
        assert_eq!(health_test(&mut other), Some(0));
    }
    assert_eq!(viewer.next(SECOND).as_ref().and_then(release_cause), Some(cause::BROKEN));
    assert!(
        shutdown_begun.elapsed() < 1_300 * MS,
        "0.8 s after the first SIGTERM: {:?}",
        shutdown_begun.elapsed()
    );
    assert!(node.wait_for_exit(2 * SECOND).is_some_and(|status| status.success()));
}

// ---- Clients that leave ----

// Guards against closing a half-closed connection without an answer: a viewer that shuts down only its write side still
// reads.
#[test]
fn a_half_closed_viewer_is_answered_at_once_and_its_set_up_is_released() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("half-closed", |_| {});
    let mut viewer = node.viewer();
    viewer.send(&request_for_cell(1, "paid", 0));
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 1);
    viewer.stream.shutdown(Shutdown::Write).unwrap();
    let since = Instant::now();
    assert!(viewer.next(SECOND).as_ref().and_then(release_cause).is_some(), "one answer");
    assert_eq!(viewer.next(SECOND), None, "then the connection is closed");
    wait_for_message(&mut connection, kind::RELEASE, 1);
    assert!(since.elapsed() < 300 * MS, "{:?}", since.elapsed());
}

// Guards against reading only 16 kB per turn: the dial was made and its result handled before the rest of the input, which
// held the cancellation, had been read.
#[test]
fn requests_of_clients_that_left_during_a_dial_are_not_sent_when_it_succeeds() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("leaves-dial", |_| {});
    let mut early_viewer = node.viewer();
    assert_eq!(health_test(&mut early_viewer), Some(1));
    // Request and departure are both in the sockets before the node reads either and dials.
    node.suspend();
    let send_request = |id: u64, more: &[u8]| {
        let viewer = node.viewer();
        let mut bytes = Vec::new();
        request_for_cell(id, "paid", 0).write(&mut bytes);
        bytes.extend(more);
        (&viewer.stream).write_all(&bytes).unwrap();
        viewer
    };
    let mut behind = Vec::new();
    (0..8_000).for_each(|id| Message::new(kind::PROGRESS, 1_000 + id).write(&mut behind));
    Message::release(5, cause::NORMAL).write(&mut behind);
    let mut give_up = Vec::new();
    Message::release(3, cause::NORMAL).write(&mut give_up);
    let (closes, half_closed) = (send_request(1, &[]), send_request(2, &[]));
    let (_gives_up, _buried) = (send_request(3, &give_up), send_request(5, &behind));
    drop(closes);
    half_closed.stream.shutdown(Shutdown::Write).unwrap();
    early_viewer.send(&request_for_cell(6, "paid", 0));
    node.signal(Signal::CONT);
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 6);
    answer_set_up(&connection, 6);
    assert_eq!(early_viewer.next(SECOND).map(|m| m.kind), Some(kind::ANSWER));
    let others = read_until_silent(&mut connection, SECOND / 2);
    assert!(others.iter().all(|m| m.kind != kind::SET_UP), "{others:?}");
}

/// An address as `/proc/net/tcp` writes it.
fn proc_net_address(at: SocketAddr) -> String {
    let IpAddr::V4(host) = at.ip() else { panic!("{at} is listed in another file") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(host.octets()), at.port())
}

/// Bytes in flight to this address, in the kernel's send and receive queues.
fn bytes_in_kernel(node: &Node, to: SocketAddr) -> usize {
    let text = fs::read_to_string(format!("/proc/{}/net/tcp", node.child.id())).unwrap();
    let address = proc_net_address(to);
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

// Guards against a connection backlog that is written once the peer reads again, with requests of clients that have left.
#[test]
fn requests_of_clients_that_left_during_a_write_stall_are_not_sent_when_it_ends() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("takes-nothing", |config| {
        let settings = &mut config["settings"];
        settings["policy_limits"]["max_streams"] = json!(100_000);
        settings["domain"]["kind_streams"] = json!([100_000]);
        settings["domain"]["kb_per_weight"] = json!(1e12);
        settings["domain"]["links_kb"] = json!(1e12);
        (0..2).for_each(|at| settings["classes"][at]["aim_ms"] = json!(100_000));
    });
    let mut viewer = node.viewer();
    let send_large_request = |viewer: &Viewer, id: u64| {
        let mut message = request_for_cell(id, "paid", 0);
        for (code, value) in &mut message.parameters {
            match *code {
                code::WAIT_MS => *value = b"90000".to_vec(),
                code::DESCRIPTION => *value = vec![b'x'; 15_000],
                _ => {}
            }
        }
        viewer.send(&message);
    };
    send_large_request(&viewer, 1);
    let mut connection = servers.accept(0);
    let mut first = Vec::new();
    wait_for_message(&mut connection, kind::SET_UP, 1).write(&mut first);
    answer_set_up(&connection, 1);
    // One at a time, until the kernel's queues no longer take a whole request.
    (2..40).for_each(|id| send_large_request(&viewer, id));
    let last = (40..2_000u64).find(|id| {
        send_large_request(&viewer, *id);
        // Progress reports keep the server alive for the node, so that no probe opens another connection.
        connection.send(&Message::new(kind::PROGRESS, 1));
        // This test is answered after the request, which has then been handed to the kernel as far as it accepts it.
        assert_eq!(health_test(&mut viewer), Some(1));
        let all = first.len() * (*id as usize - 1);
        let all_in_kernel = |span: Duration| {
            let until = Instant::now() + span;
            while bytes_in_kernel(&node, servers.address(0)) < all && Instant::now() < until {
                thread::sleep(MS);
            }
            bytes_in_kernel(&node, servers.address(0)) >= all
        };
        // Bytes received but not yet acknowledged are counted in both queues; this lasts only briefly.
        !all_in_kernel(SECOND)
    });
    let last = last.expect("the kernel's queues are full at last");
    viewer.send(&Message::release(last, cause::NORMAL));
    wait_for_message(&mut viewer, kind::RELEASE_ACK, last);
    let received = read_until_silent(&mut connection, SECOND);
    let set_ups: Vec<u64> = received.iter().filter(|m| m.kind == kind::SET_UP).map(|m| m.session).collect();
    assert!(set_ups.len() > 10 && !set_ups.contains(&last), "{last}: {:?}", set_ups.last());
}

// Guards against closing an idle connection without reading what the media server wrote on it by then: the client kept
// a session that was over.
#[test]
fn a_session_end_sent_while_the_idle_connection_closes_reaches_the_client() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("idle-end", |config| {
        config["settings"]["policy_limits"]["conn_idle_ms"] = json!(3_000);
    });
    let mut viewer = node.viewer();
    let connection = start_session(&servers, &mut viewer);
    // The node closes it after a third of the media server's idle time.
    let mut byte = [0];
    connection.stream.set_read_timeout(Some(5 * SECOND)).unwrap();
    assert_eq!((&connection.stream).read(&mut byte).unwrap(), 0, "the node closes the connection");
    connection.send(&Message::release(1, cause::NORMAL));
    wait_for_message(&mut viewer, kind::RELEASE, 1);
}

// ---- Attempts ----

// Guards against `box_released` matching a refusal by box instead of by connection.
#[test]
fn a_late_refusal_of_the_first_attempt_does_not_send_a_third_while_the_second_is_out() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("late-refusal", |_| {});
    let mut viewer = node.viewer();
    viewer.send(&request_for_cell(1, "clip", 0));
    let mut first = servers.accept(0);
    wait_for_message(&mut first, kind::SET_UP, 1);
    // No answer arrives; the attempt times out, is released and is repeated.
    wait_for_message(&mut first, kind::RELEASE, 1);
    first.send(&Message::new(kind::RELEASE_ACK, 1));
    let mut second = servers.accept(0);
    wait_for_message(&mut second, kind::SET_UP, 1);
    first.send(&Message::release(1, cause::FULL));
    assert!(
        second.next(100 * MS).is_none_or(|message| message.kind == kind::RUNG),
        "the second attempt is not given up"
    );
    assert!(servers.pending_connections(0).is_empty(), "and no third attempt is dialled");
    answer_set_up(&second, 1);
    assert_eq!(viewer.next(SECOND).map(|m| m.kind), Some(kind::ANSWER));
    assert_eq!(read_until_silent(&mut second, SECOND / 5).iter().filter(|m| m.kind != kind::RUNG).count(), 0);
}

// Guards against handling `Closed` before the bytes that were read. Fails when that order is reversed.
#[test]
fn an_answer_in_the_same_read_as_the_close_is_passed_on() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("answer-close", |_| {});
    let mut viewer = node.viewer();
    viewer.send(&request_for_cell(1, "paid", 0));
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 1);
    node.suspend();
    answer_set_up(&connection, 1);
    drop(connection);
    node.signal(Signal::CONT);
    assert_eq!(viewer.next(SECOND).map(|m| m.kind), Some(kind::ANSWER));
}

// Guards against passing on an answer although the session's end was read right behind it: the viewer would start a session
// that no longer exists.
#[test]
fn an_answer_read_together_with_the_sessions_end_is_reported_as_a_failure() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("answer-end", |_| {});
    let mut viewer = node.viewer();
    viewer.send(&request_for_cell(1, "paid", 0));
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 1);
    let mut bytes = Vec::new();
    Message::new(kind::ANSWER, 1).with(code::DESCRIPTION, "by hand").write(&mut bytes);
    Message::release(1, cause::ON_PURPOSE).write(&mut bytes);
    (&connection.stream).write_all(&bytes).unwrap();
    assert_eq!(viewer.next(SECOND).as_ref().and_then(release_cause), Some(cause::BROKEN));
    assert_eq!(read_until_silent(&mut viewer, SECOND / 5), [], "one answer");
}

// ---- Session ends without a connected viewer ----

// Guards against `say` dropping messages for which no connection is open.
#[test]
fn a_session_end_that_arrives_without_a_connected_viewer_is_sent_to_the_next_one() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("untold", |_| {});
    let mut viewer = node.viewer();
    viewer.send(&request_for_cell(1, "clip", 0));
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 1);
    answer_set_up(&connection, 1);
    assert_eq!(viewer.next(SECOND).map(|m| m.kind), Some(kind::ANSWER));
    viewer.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(viewer.next(SECOND), None, "the front node has closed the connection");
    connection.send(&Message::release(1, cause::NORMAL));
    wait_for_message(&mut connection, kind::RELEASE_ACK, 1);
    let mut next = node.viewer();
    next.send(&Message::new(kind::TEST, 9).with(code::CAUSE, [0]));
    // The end waits until the client can no longer send its request once more, and is told within the limit of 1 s.
    let told_by = Instant::now() + SECOND;
    assert_eq!(wait_for_message(&mut next, kind::RELEASE, 1), Message::release(1, cause::NORMAL));
    assert!(Instant::now() < told_by, "told within 1 s");
    assert_eq!(read_until_silent(&mut next, SECOND / 5), [], "once");
}

// Guards against `box_released` forgetting the ends of sessions that it does not know yet.
#[test]
fn a_session_end_that_arrives_before_the_hand_over_is_sent_after_it() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("early-end", |_| {});
    let viewer = node.viewer();
    viewer.send(&request_for_cell(1, "clip", 0));
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 1);
    connection.send(&Message::release(77, cause::NORMAL));
    wait_for_message(&mut connection, kind::RELEASE_ACK, 77);
    let figures = "home:0;copies:1;top:1;viewer:000000000000004d;at:s-00000001";
    let hand_over = with_parameter(request_for_cell(77, "clip", 0), code::REQUEST_FIELDS, figures);
    let mut other = node.viewer();
    other.send(&hand_over);
    assert_eq!(other.next(SECOND), Some(Message::release(77, cause::NORMAL)));
}

// ---- The list ----

// Guards against `list` leaving set-ups that wait for a connection to a box that drains.
#[test]
fn a_drain_announced_during_a_dial_moves_the_request_away_at_once() {
    let mut servers = ScriptedServers::new(2);
    let node = servers.start_node("late-drain", |config| {
        config["settings"]["policy_limits"]["connect_timeout_ms"] = json!(10_000);
        (0..2).for_each(|at| config["settings"]["classes"][at]["aim_ms"] = json!(20_000));
    });
    let fillers = servers.fill_accept_queue(0);
    let mut viewer = node.viewer();
    let message = request_for_cell(1, "paid", 0);
    let message = with_parameter(message, code::WAIT_MS, "9000");
    viewer.send(&message);
    assert_eq!(health_test(&mut node.viewer()), Some(1));
    servers.send_list_frame(2, &[(0, 1)]);
    let answer = viewer.next(SECOND).expect("answered at once: no other server holds the title");
    assert_eq!(release_cause(&answer), Some(cause::FULL), "the set-up never ran");
    drop(fillers);
    drop(node);
}

// Guards against `ready` waiting for the coordinator forever.
#[test]
fn a_start_while_the_coordinator_is_down_or_silent_is_ready_within_ten_seconds() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_held, refuses) = refusing_address();
    for (at, coordinator) in [silent.local_addr().unwrap(), refuses].into_iter().enumerate() {
        let platform = Platform::start(CELLS).unwrap();
        let node = Node::start_with_config(&format!("no-list-{at}"), 256, |listen| {
            let mut config = platform.config(listen, 256);
            config["coordinator"] = json!(coordinator.to_string());
            config
        });
        // Panics if the node is not ready in time.
        node.wait_ready();
        assert_eq!(request_session(&mut node.viewer(), 1, "paid").kind, kind::ANSWER);
    }
}

// ---- Slow peers and exhausted descriptors ----

fn descriptors(node: &Node) -> usize {
    fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count()
}

/// Whether the front node holds a connection to this address.
fn has_connection_to(node: &Node, peer: SocketAddr) -> bool {
    let text = fs::read_to_string(format!("/proc/{}/net/tcp", node.child.id())).unwrap();
    let address = proc_net_address(peer);
    // A connection that the process has closed, and the kernel still flushes, has inode 0.
    let held = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields[2] == address && fields[9] != "0"
    };
    text.lines().skip(1).any(held)
}

// Guards against a closing connection that waits for its peer forever.
#[test]
fn a_closed_connection_is_dropped_soon_although_its_peer_reads_nothing() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "reads-nothing", 256);
    let silent_reader = node.viewer();
    let at = silent_reader.stream.local_addr().unwrap();
    let (mut tests, mut answer) = (Vec::new(), Vec::new());
    Message::new(kind::TEST_RESULT, 0).with(code::CAUSE, [1]).write(&mut answer);
    (0..1_000).for_each(|id| Message::new(kind::TEST, id).with(code::CAUSE, [0]).write(&mut tests));
    // Until the kernel's queues are full and some answers wait in the front node.
    let full = (1..1_000).any(|round| {
        (&silent_reader.stream).write_all(&tests).unwrap();
        let until = Instant::now() + SECOND;
        let all = round * 1_000 * answer.len();
        while bytes_in_kernel(&node, at) < all && Instant::now() < until {
            thread::sleep(MS);
        }
        bytes_in_kernel(&node, at) < all
    });
    assert!(full && has_connection_to(&node, at));
    (&silent_reader.stream).write_all(&[0xff; 16]).unwrap();
    wait_until("the connection is closed although its peer reads nothing", || !has_connection_to(&node, at));
}

// Guards against sleeping after each failed accept, which delayed all other connections.
#[test]
fn a_connected_viewer_is_served_while_no_descriptor_is_left_for_new_ones() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start_with_config("no-room", 1_024, |listen| platform.config(listen, 1_024));
    node.wait_ready();
    let mut served_viewer = node.viewer();
    assert_eq!(request_session(&mut served_viewer, 1, "clip").kind, kind::ANSWER);
    // A process limit lower than the configured one.
    let limit = rustix::process::Rlimit { current: Some(40), maximum: Some(40) };
    let pid = rustix::process::Pid::from_child(&node.child);
    rustix::process::prlimit(Some(pid), rustix::process::Resource::Nofile, limit).unwrap();
    let crowd: Vec<Viewer> = (0..200).map(|_| node.viewer()).collect();
    wait_until("the descriptors are used up", || descriptors(&node) >= 40);
    let mut slowest = Duration::ZERO;
    for id in 2..=100 {
        let since = Instant::now();
        assert_eq!(request_session(&mut served_viewer, id, "clip").kind, kind::ANSWER);
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
    // New viewers are accepted again when descriptors are free.
    let mut next = node.viewer();
    assert_eq!(request_session(&mut next, 200, "clip").kind, kind::ANSWER);
}
