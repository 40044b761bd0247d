//! Front nodes that are started again: how soon they are ready, and that none is ready and serves nobody.

mod node;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use node::hand::refusing;
use node::{ask, Node, CELLS, SECOND};
use salttally_platform::wire::kind;
use salttally_standin::platform::{Platform, Viewer};
use serde_json::json;

/// Of which nine have to be ready within 10 s.
const NODES: usize = 10;

/// A coordinator that takes calls and says its first word after this long, or never.
fn says_after(span: Option<Duration>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                thread::sleep(span.unwrap_or(60 * SECOND));
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
fn restarted_nodes_are_ready_in_time_whatever_the_coordinator_does_and_serve() {
    let (_held, refuses) = refusing();
    let ways = [
        ("up", None),
        ("refuses", Some(refuses)),
        ("silent", Some(says_after(None))),
        ("slow", Some(says_after(Some(SECOND)))),
    ];
    for (way, coordinator) in ways {
        let platform = Platform::start(CELLS).unwrap();
        let started = Instant::now();
        let nodes: Vec<Node> = (0..NODES)
            .map(|at| {
                Node::start_by(&format!("again-{way}-{at}"), 256, |listen| {
                    let mut config = platform.config(listen, 256);
                    if let Some(at) = coordinator {
                        config["coordinator"] = json!(at.to_string());
                    }
                    config
                })
            })
            .collect();
        // Clients come at once, ready or not.
        let early: Vec<Viewer> = nodes.iter().filter_map(|n| Viewer::connect(n.listen).ok()).collect();
        early.iter().zip(1..).for_each(|(viewer, id)| viewer.send(&Viewer::request(id, "clip", CELLS)));
        let mut times: Vec<Duration> = thread::scope(|scope| {
            let waits: Vec<_> = nodes
                .iter()
                .map(|node| {
                    scope.spawn(move || {
                        node.wait_ready();
                        started.elapsed()
                    })
                })
                .collect();
            waits.into_iter().map(|wait| wait.join().unwrap()).collect()
        });
        times.sort();
        println!("{way}: ready p50 {:?}, p90 {:?}, worst {:?}", times[4], times[8], times[9]);
        assert!(times[8] < 6 * SECOND, "{way}: {times:?}");
        for (node, id) in nodes.iter().zip(1_000..) {
            let got = ask(&mut node.viewer(), id, "clip");
            assert_eq!(got.kind, kind::ANSWER, "{way}: ready, and serves nobody");
        }
    }
}
