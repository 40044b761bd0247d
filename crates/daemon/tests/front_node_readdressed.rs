//! A new media server at the address of one that has died, over real sockets.

mod node;

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use node::scripted::{
    answer_set_up, read_until_silent, request_for_cell, start_with_session, wait_for_message, ScriptedServers,
};
use node::SECOND;
use salttally_platform::wire::{kind, Message};
use salttally_standin::platform::Viewer;
use socket2::SockRef;

/// Time limit for telling the end of a session whose server has died, with the tolerance of each limit.
const END_NOTICE_LIMIT: Duration = Duration::from_millis(8_050);

/// The process of the first server dies, and another one listens at its address at once.
fn replace_process(servers: &mut ScriptedServers, connection: Viewer) {
    let address = servers.address(0);
    SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO)).unwrap();
    drop(connection);
    // The address is never free, as for a process that starts at once.
    servers.listeners[0] = servers.listeners[0].try_clone().unwrap();
    assert_eq!(servers.address(0), address);
}

// Guards against ends that are told only when the list names the new process.
#[test]
fn an_end_with_a_process_that_was_replaced_is_told_in_its_time_limit_though_the_list_is_late() {
    let (mut servers, node, mut viewer, connection) = start_with_session("readdressed-end", 2);
    replace_process(&mut servers, connection);
    let died_at = Instant::now();
    let new_process = servers.listeners[0].try_clone().unwrap();
    thread::spawn(move || serve_unknown(new_process));
    while died_at.elapsed() < END_NOTICE_LIMIT {
        match viewer.next(SECOND / 10) {
            Some(message) if (message.kind, message.session) == (kind::RELEASE, 1) => return drop(node),
            _ => {}
        }
    }
    panic!("not told in {END_NOTICE_LIMIT:?}");
}

/// A process that knows no session: acknowledges releases, and sends nothing else.
fn serve_unknown(listener: TcpListener) {
    for stream in listener.incoming().map_while(Result::ok) {
        thread::spawn(move || {
            let mut connection = Viewer::from_stream(stream);
            while !connection.is_closed() {
                if let Some(message) = connection.next(SECOND).filter(|message| message.kind == kind::RELEASE)
                {
                    connection.send(&Message::new(kind::RELEASE_ACK, message.session));
                }
            }
        });
    }
}

// Guards against the loss of sessions that play on, because their only connection was reset.
#[test]
fn sessions_play_on_after_a_reset_of_the_only_connection_if_their_server_reports_them() {
    let (servers, node, mut viewer, connection) = start_with_session("readdressed-alive", 2);
    SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO)).unwrap();
    drop(connection);
    let mut next = servers.accept(0);
    let reset_at = Instant::now();
    while reset_at.elapsed() < 4 * SECOND {
        assert_eq!(viewer.next(SECOND / 10), None);
    }
    next.send(&Message::new(kind::NOTE, 1).with(24, "port").with(39, "0.5"));
    while reset_at.elapsed() < END_NOTICE_LIMIT {
        assert_eq!(viewer.next(SECOND / 10), None, "the session plays");
        if next.closes(Duration::from_millis(1)) {
            next = servers.accept(0);
        }
    }
    drop(node);
}

// Guards against sessions that go on at the new process for nobody.
#[test]
fn what_was_set_up_at_a_new_process_under_the_old_id_is_released_there() {
    let (mut servers, node, mut viewer, connection) = start_with_session("readdressed-set-up", 2);
    replace_process(&mut servers, connection);
    let mut process = servers.accept(0);
    viewer.send(&request_for_cell(2, "clip", 0));
    viewer.send(&request_for_cell(3, "paid", 0));
    wait_for_message(&mut process, kind::SET_UP, 2);
    answer_set_up(&process, 2);
    wait_for_message(&mut viewer, kind::ANSWER, 2);
    // The list names the process: session 2 plays there, and the attempt of session 3 is still open.
    servers.send_replacement(0, 9);
    wait_for_message(&mut viewer, kind::RELEASE, 2);
    wait_for_message(&mut viewer, kind::RELEASE, 3);
    let mut released = BTreeSet::new();
    let deadline = Instant::now() + 2 * SECOND;
    while released.len() < 2 && Instant::now() < deadline {
        for mut connection in servers.pending_connections(0) {
            let messages = read_until_silent(&mut connection, SECOND / 2);
            released.extend(messages.iter().filter(|m| m.kind == kind::RELEASE).map(|m| m.session));
        }
    }
    assert_eq!(released, BTreeSet::from([2, 3]));
    drop(node);
}
