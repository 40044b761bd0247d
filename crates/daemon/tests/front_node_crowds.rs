//! Crowds of clients that hold connections without a use for them, over real sockets.

mod node;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use node::scripted::{request_for_cell, serve_sessions, wait_for_message, ScriptedServers};
use node::{Node, SECOND};
use rustix::process::Signal;
use salttally_platform::wire::{code, kind, Message};
use salttally_standin::platform::Viewer;

const MS: Duration = Duration::from_millis(1);
const CROWD: usize = 400;
const CROWD_THREADS: usize = 8;

fn start_node(name: &str) -> (ScriptedServers, Node) {
    let mut servers = ScriptedServers::new(1);
    serve_sessions(servers.listeners[0].try_clone().unwrap());
    let node = servers.start_node(name, |_| {});
    (servers, node)
}

/// A connection on which a whole message was sent, and half of a large one.
fn half_request(listen: SocketAddr) -> Option<Viewer> {
    let mut stream = TcpStream::connect_timeout(&listen, SECOND).ok()?;
    let mut bytes = Vec::new();
    Message::new(kind::TEST, 1).with(code::CAUSE, [0]).write(&mut bytes);
    let mut large = Vec::new();
    Viewer::request(2, "clip", 1).with(code::REPORT, vec![b'x'; 12_000]).write(&mut large);
    bytes.extend(&large[..large.len() / 2]);
    stream.write_all(&bytes).ok()?;
    Some(Viewer::from_stream(stream))
}

/// Sends a request on a new connection; returns whether it is answered in its time.
fn is_served(node: &Node, id: u64) -> bool {
    let Ok(mut viewer) = Viewer::connect(node.listen) else { return false };
    viewer.send(&request_for_cell(id, "clip", 0));
    let deadline = Instant::now() + 1_500 * MS;
    while Instant::now() < deadline && !viewer.is_closed() {
        if viewer.next(50 * MS).is_some_and(|message| message.session == id) {
            return true;
        }
    }
    false
}

/// Clients with half requests, which come again as soon as they are closed, until this value is dropped.
struct Crowd {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    fn start(node: &Node) -> Crowd {
        let is_over = Arc::new(AtomicBool::new(false));
        let thread = |_| {
            let (is_over, listen) = (is_over.clone(), node.listen);
            thread::spawn(move || {
                let mut clients: Vec<Option<Viewer>> = (0..CROWD / CROWD_THREADS).map(|_| None).collect();
                while !is_over.load(Ordering::Relaxed) {
                    for client in &mut clients {
                        if client.as_mut().is_none_or(|client| client.closes(MS / 10)) {
                            *client = half_request(listen);
                        }
                    }
                }
            })
        };
        let threads = (0..CROWD_THREADS).map(thread).collect();
        Crowd { is_over, threads }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| thread.join().unwrap());
    }
}

// Guards against requests that are closed unread while half requests of others take all places.
#[test]
fn requests_are_answered_beside_a_crowd_with_half_requests() {
    let (_servers, node) = start_node("crowd-half");
    let _crowd = Crowd::start(&node);
    thread::sleep(500 * MS);
    let unanswered: Vec<u64> = (100..140)
        .filter(|id| {
            thread::sleep(50 * MS);
            !is_served(&node, *id)
        })
        .collect();
    assert_eq!(unanswered, [0; 0]);
}

// Guards against a request in the queue of the listener that is reset at the exit because there is no room for it.
#[test]
fn a_request_behind_a_crowd_is_answered_though_the_process_shuts_down() {
    let (_servers, node) = start_node("crowd-exit");
    let _crowd = Crowd::start(&node);
    thread::sleep(500 * MS);
    node.signal(Signal::TERM);
    thread::sleep(300 * MS);
    assert!(is_served(&node, 100));
}

// Guards against clients that cannot be told the ends of their sessions because their connections give way to half requests.
#[test]
fn clients_of_playing_sessions_keep_their_connections_beside_a_crowd_and_are_told_the_ends() {
    let (_servers, node) = start_node("crowd-playing");
    let mut viewers: Vec<(u64, Viewer)> = (1..5).map(|id| (id, node.viewer())).collect();
    for (id, viewer) in &mut viewers {
        viewer.send(&request_for_cell(*id, "clip", 0));
        wait_for_message(viewer, kind::ANSWER, *id);
    }
    let _crowd = Crowd::start(&node);
    thread::sleep(SECOND);
    node.signal(Signal::TERM);
    for (id, viewer) in &mut viewers {
        wait_for_message(viewer, kind::RELEASE, *id);
    }
}
