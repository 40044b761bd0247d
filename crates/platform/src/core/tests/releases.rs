//! Ends whose connections are reset before anybody reads them.

use super::*;

/// A session that its client has ended, and the connection on which its media server was told so.
fn released() -> (Bench<Controller>, ConnId) {
    let mut bench = Bench::new();
    let (conn, _) = bench.playing(1, "clip");
    let out = bench.tell(NodeEvent::ClientMessage(ClientId(1), Message::release(1, cause::NORMAL)));
    assert_eq!(sent(&out, kind::RELEASE).len(), 1);
    (bench, conn)
}

/// Releases that are sent within this time over connections that are made as they are dialled.
fn releases_within(bench: &mut Bench<Controller>, span: Micros) -> usize {
    let (until, mut count) = (bench.now + span, 0);
    while bench.now < until {
        let out = bench.after(SECOND / 20);
        count += sent(&out, kind::RELEASE).len();
        let made = bench.made(&out);
        count += sent(&made, kind::RELEASE).len();
    }
    count
}

#[test]
fn a_release_that_was_reset_with_its_connection_is_sent_once_more() {
    let (mut bench, conn) = released();
    bench.tell(NodeEvent::ServerClosed(conn));
    assert_eq!(releases_within(&mut bench, SECOND), 1);
}

#[test]
fn a_release_that_was_answered_or_read_to_its_end_is_not_sent_again() {
    let (mut bench, conn) = released();
    bench.tell(NodeEvent::ServerMessage(conn, Message::release(1, cause::ON_PURPOSE)));
    bench.tell(NodeEvent::ServerClosed(conn));
    assert_eq!(releases_within(&mut bench, SECOND), 0, "answered");
    let (mut bench, _) = released();
    // The idle connection is ended here, and its server closes it when it has read all.
    assert_eq!(releases_within(&mut bench, 12 * SECOND), 0, "read");
}

#[test]
fn an_end_that_no_client_has_heard_on_a_connection_that_is_gone_is_told_on_the_next() {
    for hears in [false, true] {
        let mut bench = Bench::new();
        let (conn, _) = bench.playing(1, "clip");
        let end = Message::release(1, cause::NORMAL);
        let out = bench.tell(NodeEvent::ServerMessage(conn, end.clone()));
        assert_eq!(said(&out).collect::<Vec<_>>(), [&end]);
        if hears {
            bench.tell(NodeEvent::ClientMessage(ClientId(1), Message::new(kind::RELEASE_ACK, 1)));
        }
        bench.tell(NodeEvent::ClientClosed(ClientId(1)));
        bench.tell(NodeEvent::ClientConnected(ClientId(2)));
        let test = Message::new(kind::TEST, 0).with(code::CAUSE, [0]);
        let out = bench.tell(NodeEvent::ClientMessage(ClientId(2), test));
        assert_eq!(said(&out).any(|message| *message == end), !hears);
    }
}

#[test]
fn what_stands_at_a_machine_that_comes_back_is_released_though_its_clients_were_told_that_it_is_over() {
    let mut bench = Bench::new();
    bench.playing(1, "clip");
    // Silent, and no dial comes up: its client is told within the 8 s of the page.
    let mut told = false;
    while !told {
        told = said(&bench.after(SECOND / 20)).any(|message| message.kind == kind::RELEASE);
        assert!(bench.now < START + 8 * SECOND);
    }
    assert_eq!(releases_within(&mut bench, 2 * SECOND), 1, "the next dial comes up");
}

#[test]
fn an_end_that_no_client_hears_is_told_no_longer_than_it_is_of_use_however_often_connections_go() {
    let mut bench = Bench::new();
    let (conn, _) = bench.playing(1, "clip");
    let end = Message::release(1, cause::NORMAL);
    bench.tell(NodeEvent::ServerMessage(conn, end.clone()));
    let over = bench.now;
    for client in 1..20 {
        bench.after(SECOND);
        bench.tell(NodeEvent::ClientClosed(ClientId(client)));
        bench.tell(NodeEvent::ClientConnected(ClientId(client + 1)));
        let test = Message::new(kind::TEST, 0).with(code::CAUSE, [0]);
        let out = bench.tell(NodeEvent::ClientMessage(ClientId(client + 1), test));
        let is_told = said(&out).any(|message| *message == end);
        assert_eq!(is_told, bench.now < over + 8 * SECOND, "{} s on", client);
    }
}
