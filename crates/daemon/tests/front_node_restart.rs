//! Restarted front nodes: how soon they are ready, and that a node that is ready also serves sessions.

mod node;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use node::scripted::refusing_address;
use node::{request_session, Node, CELLS, SECOND};
use salttally_platform::wire::kind;
use salttally_standin::platform::{Platform, Viewer};
use serde_json::json;

/// The platform requires nine of them to be ready within 10 s.
const NODES: usize = 10;

/// Starts a coordinator that accepts connections and sends its first frame after this delay, or never.
fn start_coordinator_with_delay(delay: Option<Duration>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                thread::sleep(delay.unwrap_or(60 * SECOND));
                let mut frame = 9u32.to_be_bytes().to_vec();
                frame.extend(1u64.to_be_bytes());
                frame.push(0);
                while stream.write_all(&frame).is_ok() {
                    thread::sleep(SECOND);
                }
            });
        }
    });
    at
}

#[test]
fn restarted_nodes_are_ready_in_time_and_serve_whatever_the_coordinator_does() {
    let (_held, refusing) = refusing_address();
    let scenarios = [
        ("up", None),
        ("refuses", Some(refusing)),
        ("silent", Some(start_coordinator_with_delay(None))),
        ("slow", Some(start_coordinator_with_delay(Some(SECOND)))),
    ];
    for (scenario, coordinator) in scenarios {
        let platform = Platform::start(CELLS).unwrap();
        let started = Instant::now();
        let nodes: Vec<Node> = (0..NODES)
            .map(|at| {
                Node::start_with_config(&format!("again-{scenario}-{at}"), 256, |listen| {
                    let mut config = platform.config(listen, 256);
                    if let Some(at) = coordinator {
                        config["coordinator"] = json!(at.to_string());
                    }
                    config
                })
            })
            .collect();
        // Clients connect at once, whether the node is ready or not.
        let early_viewers: Vec<Viewer> =
            nodes.iter().filter_map(|n| Viewer::connect(n.listen).ok()).collect();
        early_viewers
            .iter()
            .zip(1..)
            .for_each(|(viewer, id)| viewer.send(&Viewer::request(id, "clip", CELLS)));
        let mut ready_times: Vec<Duration> = thread::scope(|scope| {
            let waiters: Vec<_> = nodes
                .iter()
                .map(|node| {
                    scope.spawn(move || {
                        node.wait_ready();
                        started.elapsed()
                    })
                })
                .collect();
            waiters.into_iter().map(|waiter| waiter.join().unwrap()).collect()
        });
        ready_times.sort();
        println!(
            "{scenario}: ready p50 {:?}, p90 {:?}, worst {:?}",
            ready_times[4], ready_times[8], ready_times[9]
        );
        assert!(ready_times[8] < 6 * SECOND, "{scenario}: {ready_times:?}");
        for (node, id) in nodes.iter().zip(1_000..) {
            let answer = request_session(&mut node.viewer(), id, "clip");
            assert_eq!(answer.kind, kind::ANSWER, "{scenario}: the node is ready but serves no session");
        }
    }
}
