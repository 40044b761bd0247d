//! More media servers than a process may hold connections, on settings that nobody here has seen.

mod node;

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use node::hand::request_at;
use node::{answer, soon, Node, SECOND};
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

// Caught the third of the descriptors that was all there was for connections to servers: whichever were left over were
// taken for dead without a call.
#[test]
fn each_of_a_thousand_servers_is_usable_within_few_descriptors_and_what_plays_there_is_heard_of() {
    let platform = Platform::start(SERVERS).unwrap();
    // Known from the start; told as a whole list; all but one known, and that one told as a change.
    for (round, way) in ["known", "whole", "changes"].into_iter().enumerate() {
        let sockets = if round == 0 { 256 } else { 1_024 };
        let node = Node::start_by(&format!("size-{way}"), sockets, |listen| {
            let mut config = platform.config(listen, sockets);
            let update = &mut config["known"]["updates"][0]["endpoints"];
            match way {
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
        if way == "changes" {
            platform.announce(SERVERS - 1, 0);
            thread::sleep(SECOND / 5);
        }
        let mut viewer = node.viewer();
        let first = 1 + 10_000 * round as u64;
        let mut most = 0;
        for at in 0..SERVERS {
            let id = first + at as u64;
            viewer.send(&request_at(id, "clip", at));
            let got = answer(&mut viewer, id);
            assert_eq!(
                (got.kind, platform.box_of_session(id)),
                (kind::ANSWER, Some(at)),
                "{way}, server {at}"
            );
            most = most.max(descriptors(&node));
        }
        assert!(most < sockets, "{way}: {most} of {sockets} descriptors");
        assert!(resident_mb(&node) < 56, "{way}: {} MB", resident_mb(&node));
        if round == 0 {
            ends_are_heard(&platform, &mut viewer, first);
        }
        let ids = first..first + SERVERS as u64;
        ids.for_each(|id| platform.end_session(id, cause::NORMAL));
    }
}

/// Nothing that plays is taken for lost while connections come and go, and an end reaches its viewer.
fn ends_are_heard(platform: &Platform, viewer: &mut Viewer, first: u64) {
    assert_eq!(viewer.next(5 * SECOND), None, "a session was taken for lost");
    let ended: Vec<u64> = (0..SERVERS as u64).step_by(100).map(|at| first + at).collect();
    let since = Instant::now();
    ended.iter().for_each(|id| platform.end_session(*id, cause::NORMAL));
    let mut heard: Vec<Message> = Vec::new();
    soon("all ends are told", || {
        heard.extend(viewer.next(SECOND / 10));
        heard.len() >= ended.len()
    });
    assert!(since.elapsed() < Duration::from_secs(8));
    assert!(heard.iter().all(|m| m.kind == kind::RELEASE && ended.contains(&m.session)), "{heard:?}");
}
