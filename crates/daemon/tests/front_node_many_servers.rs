//! A fleet with more media servers than the process may hold connections.

mod node;

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use node::scripted::request_for_cell;
use node::{read_answer, wait_until, Node, SECOND};
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use salttally_platform::wire::{cause, kind, Message};
use salttally_standin::platform::{Platform, Viewer};
use serde_json::json;

const SERVERS: usize = 1_025;

fn resident_mb(node: &Node) -> usize {
    let status = fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches("kB").trim().parse::<usize>().unwrap() / 1_024
}

fn descriptors(node: &Node) -> usize {
    fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count()
}

// Guards against limiting connections to media servers to a third of the descriptors: the remaining servers were taken for
// dead without a connection attempt.
#[test]
fn each_of_a_thousand_servers_is_usable_with_few_descriptors_and_its_session_ends_are_forwarded() {
    let platform = Platform::start(SERVERS).unwrap();
    // Servers known from the configuration; sent as a whole list; all but one configured, and that one sent as a change.
    for (round, scenario) in ["known", "whole", "changes"].into_iter().enumerate() {
        let sockets = if round == 0 { 256 } else { 1_024 };
        let node = Node::start_with_config(&format!("size-{scenario}"), sockets, |listen| {
            let mut config = platform.config(listen, sockets);
            let update = &mut config["known"]["updates"][0]["endpoints"];
            match scenario {
                "whole" => config["known"] = json!({"index": 0, "updates": []}),
                "changes" => {
                    update["hosts"].as_array_mut().unwrap().pop();
                }
                _ => {}
            }
            config
        });
        let limit = Rlimit { current: Some(sockets as u64), maximum: Some(sockets as u64) };
        prlimit(Some(Pid::from_child(&node.child)), Resource::Nofile, limit).unwrap();
        node.wait_ready();
        if scenario == "changes" {
            platform.announce(SERVERS - 1, 0);
            thread::sleep(SECOND / 5);
        }
        let mut viewer = node.viewer();
        let first = 1 + 10_000 * round as u64;
        let mut peak = 0;
        for at in 0..SERVERS {
            let id = first + at as u64;
            viewer.send(&request_for_cell(id, "clip", at));
            let answer = read_answer(&mut viewer, id);
            assert_eq!(
                (answer.kind, platform.box_of_session(id)),
                (kind::ANSWER, Some(at)),
                "{scenario}, server {at}"
            );
            peak = peak.max(descriptors(&node));
        }
        assert!(peak < sockets, "{scenario}: {peak} of {sockets} descriptors");
        assert!(resident_mb(&node) < 56, "{scenario}: {} MB", resident_mb(&node));
        if round == 0 {
            assert_ends_are_forwarded(&platform, &mut viewer, first);
        }
        let ids = first..first + SERVERS as u64;
        ids.for_each(|id| platform.end_session(id, cause::NORMAL));
    }
}

/// Asserts that no playing session is reported lost while connections are opened and closed, and that session ends reach
/// their viewer.
fn assert_ends_are_forwarded(platform: &Platform, viewer: &mut Viewer, first: u64) {
    assert_eq!(viewer.next(5 * SECOND), None, "a session was reported as lost");
    let ended: Vec<u64> = (0..SERVERS as u64).step_by(100).map(|at| first + at).collect();
    let begun = Instant::now();
    ended.iter().for_each(|id| platform.end_session(*id, cause::NORMAL));
    let mut received: Vec<Message> = Vec::new();
    wait_until("all session ends reach the viewer", || {
        received.extend(viewer.next(SECOND / 10));
        received.len() >= ended.len()
    });
    assert!(begun.elapsed() < Duration::from_secs(8));
    assert!(received.iter().all(|m| m.kind == kind::RELEASE && ended.contains(&m.session)), "{received:?}");
}
