//! Ends of sessions that nothing proves to be known to their clients yet, over real sockets.

mod node;

use std::time::{Duration, Instant};

use node::scripted::{answer_set_up, request_for_cell, wait_for_message, ScriptedServers};
use node::{Node, SECOND};
use salttally_platform::wire::{cause, kind, Message};
use salttally_standin::platform::Viewer;

fn assert_told(viewer: &mut Viewer, id: u64, within: Duration) {
    let since = Instant::now();
    wait_for_message(viewer, kind::RELEASE, id);
    assert!(since.elapsed() < within, "{:?}", since.elapsed());
}

/// Session 1 after its first attempt was refused on the first connection: its second set-up has come on the second one.
fn retried_set_up(name: &str, cause: u8) -> (ScriptedServers, Node, Viewer, Viewer, Viewer) {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node(name, |_| {});
    let viewer = node.viewer();
    viewer.send(&request_for_cell(1, "clip", 0));
    let mut first = servers.accept(0);
    wait_for_message(&mut first, kind::SET_UP, 1);
    first.send(&Message::release(1, cause));
    let mut second = servers.accept(0);
    wait_for_message(&mut second, kind::SET_UP, 1);
    (servers, node, viewer, first, second)
}

// Guards against an end that is taken for a late word on an attempt that is known to be over.
#[test]
fn an_end_on_the_connection_of_a_refused_attempt_is_told_within_a_second() {
    for refusal in [cause::BROKEN, cause::ERROR, cause::NOT_SENT] {
        let (_servers, _node, mut viewer, first, second) = retried_set_up("refused-then-ended", refusal);
        answer_set_up(&second, 1);
        wait_for_message(&mut viewer, kind::ANSWER, 1);
        // The second connection is silent, and the server has lost it.
        first.send(&Message::release(1, cause::NORMAL));
        assert_told(&mut viewer, 1, SECOND);
    }
}
