//! The list of a front node whose coordinator is unreachable for a while, over real connections. Checks how soon set-ups
//! stop going to a server that is announced as leaving.

mod node;

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use node::scripted::{
    accept_within, answer_set_up, fill_listen_queue, refusing_address, request_for_cell,
    send_request_behind_tests, serve_set_ups, wait_for_message, with_parameter, ScriptedServers,
};
use node::{Node, SECOND};
use rustix::process::{prlimit, Pid, Resource, Rlimit, Signal};
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::Viewer;
use serde_json::{json, Value};
use socket2::{Domain, SockRef, Socket, Type};

const MS: Duration = Duration::from_millis(1);
/// Tolerance that the protocol adds to each limit of the settings.
const PROTOCOL_SLACK: Duration = Duration::from_millis(50);
/// Drain graces with which deployments lost requests to leaving servers, or would have lost them, in ms.
const GRACES_MS: [u64; 2] = [350, 500];

fn with_grace(ms: u64) -> impl FnOnce(&mut Value) {
    move |config| config["settings"]["safety"]["drain_grace_ms"] = json!(ms)
}

/// Runs a media server that refuses every set-up as not sent, so that requests for its title are repeated. Returns the arrival
/// times of the set-ups.
fn refuse_all_set_ups(servers: &ScriptedServers, at: usize) -> Arc<Mutex<Vec<Instant>>> {
    let set_up_times = Arc::new(Mutex::new(Vec::new()));
    let (listener, shared_times) = (servers.listeners[at].try_clone().unwrap(), Arc::clone(&set_up_times));
    serve_set_ups(listener, move |connection, id| {
        shared_times.lock().unwrap().push(Instant::now());
        connection.send(&Message::release(id, cause::NOT_SENT));
    });
    set_up_times
}

/// A client that requests the title of the first cell every 5 ms until this value is dropped.
struct RequestLoop(Arc<AtomicBool>, Option<thread::JoinHandle<()>>);

impl Drop for RequestLoop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
        let request_loop = self.1.take().expect("the loop runs until the drop").join();
        assert!(request_loop.is_ok() || thread::panicking());
    }
}

fn start_request_loop(node: &Node) -> RequestLoop {
    let stop_flag = Arc::new(AtomicBool::new(false));
    let (thread_stop_flag, mut viewer) = (Arc::clone(&stop_flag), node.viewer());
    let request_loop = thread::spawn(move || {
        let mut id = 1_000;
        while !thread_stop_flag.load(Ordering::Relaxed) {
            id += 1;
            viewer.send(&request_for_cell(id, "clip", 0));
            while viewer.next(5 * MS).is_some() {}
        }
    });
    RequestLoop(stop_flag, Some(request_loop))
}

/// Asserts that set-ups arrived before the server was announced as leaving, and none later than its grace allows.
fn assert_drain_respected(
    set_up_times: &Mutex<Vec<Instant>>,
    announced: Instant,
    grace: u64,
    scenario: &str,
) {
    let allowed = Duration::from_millis(grace) + PROTOCOL_SLACK;
    let set_up_times = set_up_times.lock().unwrap();
    assert!(set_up_times.iter().any(|at| *at < announced), "{scenario}: no set-up arrived before the drain");
    let after = set_up_times.iter().filter_map(|at| at.checked_duration_since(announced));
    let late: Vec<Duration> = after.filter(|late| *late > allowed).collect();
    let (count, latest) = (late.len(), late.last());
    assert!(
        late.is_empty(),
        "{scenario}: {count} late set-ups, the last {latest:?} after the announcement, grace {grace} ms"
    );
}

/// Announces the first media server as leaving on this connection, and waits for longer than set-ups are allowed to arrive.
fn announce_drain(servers: &mut ScriptedServers, list: TcpStream) {
    servers.use_list_connection(list);
    servers.send_list_frame(2, &[(0, 1)]);
    thread::sleep(3 * SECOND / 2);
}

/// Accepts the front node's next connection to the coordinator and reads the number of its last event.
fn accept_list_request(coordinator: &TcpListener) -> (TcpStream, u64) {
    let mut stream = accept_within(coordinator, 10 * SECOND);
    let mut bytes = [0; 8];
    stream.set_read_timeout(Some(5 * SECOND)).unwrap();
    stream.read_exact(&mut bytes).expect("the number of the last event");
    (stream, u64::from_be_bytes(bytes))
}

/// Number of records in a list of the largest fleet that the platform's page names.
const LARGEST_FLEET: usize = 3_200;

#[test]
fn a_long_list_that_arrives_in_slow_pieces_is_applied() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("list-slow", |_| {});
    let mut list = servers.list_connection();
    // The last record for a server counts, and says that it leaves.
    let records: Vec<(usize, u8)> =
        (0..LARGEST_FLEET).map(|at| (0, u8::from(at + 1 == LARGEST_FLEET))).collect();
    let bytes = servers.list_frame(2, 2, &records);
    for piece in bytes.chunks(bytes.len().div_ceil(20)) {
        list.write_all(piece).unwrap();
        thread::sleep(200 * MS);
    }
    let mut viewer = node.viewer();
    viewer.send(&request_for_cell(1, "clip", 0));
    let answer = viewer.next(SECOND).expect("an answer");
    assert_eq!(
        (answer.kind, answer.cause()),
        (kind::RELEASE, Some(cause::FULL)),
        "the server was announced as leaving"
    );
    let coordinator = servers.coordinator();
    coordinator.set_nonblocking(true).unwrap();
    assert!(coordinator.accept().is_err(), "and the node did not reconnect");
}

// Guards against pauses of up to 0.8 s between two connections to the coordinator: with a grace of 350 or 500 ms, requests
// went to servers that the coordinator had announced as leaving as soon as it was back.
#[test]
fn a_drain_announced_while_the_coordinator_closes_each_connection_is_respected() {
    for ms in GRACES_MS {
        let mut servers = ScriptedServers::new(2);
        let node = servers.start_node(&format!("breaks-off-{ms}"), with_grace(ms));
        let set_up_times = refuse_all_set_ups(&servers, 0);
        let request_loop = start_request_loop(&node);
        let coordinator = servers.coordinator();
        servers.drop_list_connection();
        // Down: each connection is closed at once, for long enough that the pauses between them reach their maximum.
        let until = Instant::now() + 4 * SECOND;
        while Instant::now() < until {
            drop(accept_list_request(&coordinator));
        }
        // The worst moment for the announcement is right after a connection was closed.
        let announced = Instant::now();
        let (list, last_number) = accept_list_request(&coordinator);
        assert_eq!(last_number, 1);
        announce_drain(&mut servers, list);
        drop(request_loop);
        assert_drain_respected(&set_up_times, announced, ms, "");
    }
}

// Guards against a list that is never heard because each call is given up before its first frame arrives.
#[test]
fn a_drain_told_by_a_coordinator_that_answers_calls_late_is_respected() {
    for ms in GRACES_MS {
        let mut servers = ScriptedServers::new(2);
        let node = servers.start_node(&format!("answers-late-{ms}"), with_grace(ms));
        let set_up_times = refuse_all_set_ups(&servers, 0);
        let request_loop = start_request_loop(&node);
        let coordinator = servers.coordinator();
        servers.drop_list_connection();
        let (list, last_number) = accept_list_request(&coordinator);
        assert_eq!(last_number, 1);
        // Later calls wait in the queue of the coordinator.
        thread::sleep(5 * SECOND / 2);
        let announced = Instant::now();
        announce_drain(&mut servers, list);
        drop(request_loop);
        assert_drain_respected(&set_up_times, announced, ms, "");
    }
}

// Guards against connection attempts that hang for up to 2.2 s while no other one is started.
#[test]
fn a_drain_announced_while_connections_to_the_coordinator_hang_is_respected() {
    for ms in GRACES_MS {
        let mut servers = ScriptedServers::new(2);
        // A listener whose queue is full: the kernel answers no connection request.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(1).unwrap();
        let full_listener: TcpListener = socket.into();
        let at = full_listener.local_addr().unwrap();
        let node = servers.start_node(&format!("hangs-{ms}"), with_grace(ms));
        let set_up_times = refuse_all_set_ups(&servers, 0);
        let request_loop = start_request_loop(&node);
        let fillers = fill_listen_queue(at);
        servers.change_coordinator(&node, at);
        thread::sleep(4 * SECOND);
        // Makes the coordinator reachable again by closing the sockets that fill its queue.
        drop(fillers);
        let announced = Instant::now();
        let list = loop {
            let mut stream = accept_within(&full_listener, 10 * SECOND);
            stream.set_read_timeout(Some(SECOND)).unwrap();
            if stream.read_exact(&mut [0; 8]).is_ok() {
                break stream;
            }
        };
        announce_drain(&mut servers, list);
        drop(request_loop);
        assert_drain_respected(&set_up_times, announced, ms, "");
    }
}

// Guards against accepting a whole crowd in one turn: with all descriptors used up, neither the coordinator nor the media
// servers could be dialled.
#[test]
fn idle_clients_leave_descriptors_for_the_list_while_the_coordinator_is_down() {
    const SOCKETS: u64 = 128;
    let mut servers = ScriptedServers::new(2);
    let node = servers.start_node_with_sockets("idle-crowd", SOCKETS as usize, with_grace(350));
    let limit = Rlimit { current: Some(SOCKETS), maximum: Some(SOCKETS) };
    prlimit(Some(Pid::from_child(&node.child)), Resource::Nofile, limit).unwrap();
    let coordinator = servers.coordinator();
    servers.drop_list_connection();
    let (stop_flag, listen) = (Arc::new(AtomicBool::new(false)), node.listen);
    let crowds: Vec<_> = (0..3)
        .map(|_| {
            let stop_flag = Arc::clone(&stop_flag);
            thread::spawn(move || {
                let mut idle_clients = std::collections::VecDeque::new();
                while !stop_flag.load(Ordering::Relaxed) {
                    idle_clients.extend((0..100).filter_map(|_| TcpStream::connect(listen).ok()));
                    while idle_clients.len() > 400 {
                        idle_clients.pop_front();
                    }
                    thread::sleep(10 * MS);
                }
            })
        })
        .collect();
    let descriptors = || fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count() as u64;
    let (until, mut peak, mut longest, mut since) =
        (Instant::now() + 4 * SECOND, 0, Duration::ZERO, Instant::now());
    while Instant::now() < until {
        drop(accept_list_request(&coordinator));
        (longest, since, peak) = (longest.max(since.elapsed()), Instant::now(), peak.max(descriptors()));
    }
    stop_flag.store(true, Ordering::Relaxed);
    crowds.into_iter().for_each(|crowd| crowd.join().unwrap());
    assert!(peak > SOCKETS / 2, "{peak} descriptors: the crowd is too small");
    assert!(peak < SOCKETS, "{peak} descriptors: none is left");
    assert!(longest < 350 * MS, "{longest:?} between two connections");
    // A client that arrives now is served.
    servers.use_list_connection(accept_list_request(&coordinator).0);
    servers.send_list_frame(0, &[]);
    let set_up_times = refuse_all_set_ups(&servers, 0);
    let mut viewer = node.viewer();
    viewer.send(&with_parameter(request_for_cell(7, "clip", 0), code::WAIT_MS, "1000"));
    assert!(viewer.next(2 * SECOND).is_some());
    assert!(!set_up_times.lock().unwrap().is_empty());
}

#[test]
fn a_crowd_that_arrives_at_once_takes_no_more_than_its_share_of_the_descriptors() {
    const SOCKETS: usize = 128;
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node_with_sockets("crowd-at-once", SOCKETS, with_grace(350));
    let fd_path = format!("/proc/{}/fd", node.child.id());
    let before = fs::read_dir(&fd_path).unwrap().count();
    let stop_flag = Arc::new(AtomicBool::new(false));
    let sampling = {
        let (stop_flag, path) = (Arc::clone(&stop_flag), fd_path.clone());
        thread::spawn(move || {
            let mut peak = 0;
            while !stop_flag.load(Ordering::Relaxed) {
                peak = peak.max(fs::read_dir(&path).unwrap().count());
            }
            peak
        })
    };
    for _ in 0..10 {
        node.suspend();
        let crowd: Vec<TcpStream> = (0..200).filter_map(|_| TcpStream::connect(node.listen).ok()).collect();
        node.signal(Signal::CONT);
        thread::sleep(100 * MS);
        drop(crowd);
    }
    stop_flag.store(true, Ordering::Relaxed);
    let peak = sampling.join().unwrap() - before;
    // Half are for clients, and a twelfth for closed connections that wait for their peers.
    assert!((SOCKETS / 4..=SOCKETS / 2 + SOCKETS / 12).contains(&peak), "{peak} of {SOCKETS}");
}

#[test]
fn a_configuration_still_being_written_at_sighup_is_used_once_it_is_complete() {
    let mut servers = ScriptedServers::new(1);
    let node = servers.start_node("half-written", |_| {});
    let (new, at) = refusing_address();
    new.listen(16).unwrap();
    let old = fs::read_to_string(&node.config).unwrap();
    for half in ["", &old[..old.len() / 2]] {
        fs::write(&node.config, half).unwrap();
        node.signal(Signal::HUP);
        thread::sleep(200 * MS);
    }
    let mut config: Value = serde_json::from_str(&old).unwrap();
    config["coordinator"] = json!(at.to_string());
    fs::write(&node.config, config.to_string()).unwrap();
    let mut list = accept_within(&new.into(), SECOND);
    let mut last_number = [0; 8];
    list.read_exact(&mut last_number).unwrap();
    assert_eq!(u64::from_be_bytes(last_number), 1, "the numbers continue");
}

// A new configuration and a drain in each order: the drain is announced by the old coordinator before the change, by the
// new one after it, or by both.
#[test]
fn a_drain_announced_before_during_or_after_a_new_configuration_is_respected() {
    const GRACE_MS: u64 = 350;
    for scenario in ["old, unread", "new at once", "new that comes up late", "new, and old once more"] {
        let mut servers = ScriptedServers::new(2);
        let node = servers.start_node(&format!("reload-drain-{}", scenario.len()), with_grace(GRACE_MS));
        let set_up_times = refuse_all_set_ups(&servers, 0);
        let request_loop = start_request_loop(&node);
        thread::sleep(200 * MS);
        let (new, at) = refusing_address();
        if scenario != "new that comes up late" {
            new.listen(16).unwrap();
        }
        let new: TcpListener = new.into();
        let announced = match scenario {
            "old, unread" => {
                // Both are unread while the process is suspended.
                node.suspend();
                servers.send_list_frame(2, &[(0, 1)]);
                servers.change_coordinator(&node, at);
                thread::sleep(100 * MS);
                let announced = Instant::now();
                node.signal(Signal::CONT);
                let (list, last_number) = accept_list_request(&new);
                servers.use_list_connection(list);
                if last_number == 1 {
                    servers.resend_changes(&[(0, 1)]);
                }
                announced
            }
            "new at once" => {
                servers.change_coordinator(&node, at);
                let (list, last_number) = accept_list_request(&new);
                assert_eq!(last_number, 1, "the numbers continue");
                servers.use_list_connection(list);
                servers.send_list_frame(2, &[(0, 1)]);
                Instant::now()
            }
            "new that comes up late" => {
                servers.change_coordinator(&node, at);
                thread::sleep(2 * SECOND);
                SockRef::from(&new).listen(16).unwrap();
                let announced = Instant::now();
                let (list, last_number) = accept_list_request(&new);
                assert_eq!(last_number, 1);
                servers.use_list_connection(list);
                servers.send_list_frame(2, &[(0, 1)]);
                announced
            }
            _ => {
                let old = servers.list_connection();
                servers.change_coordinator(&node, at);
                let (list, _) = accept_list_request(&new);
                servers.use_list_connection(list);
                servers.send_list_frame(2, &[(0, 1)]);
                // Updates of the old coordinator are ignored, in particular that the server is ready again.
                let _ = (&old).write_all(&servers.list_frame(3, 2, &[(0, 0)]));
                Instant::now()
            }
        };
        thread::sleep(SECOND);
        drop(request_loop);
        assert_drain_respected(&set_up_times, announced, GRACE_MS, scenario);
    }
}

/// Asserts that a request is not sent to a server whose drain is unread behind 26 kB of frames when the node resumes. The
/// node is suspended while idle or in the middle of a turn.
fn assert_drain_read_before_request(name: &str, suspend_mid_turn: bool) {
    let mut servers = ScriptedServers::new(2);
    let node = servers.start_node_with_sockets(name, 512, with_grace(350));
    let mut viewer = node.viewer();
    // An open connection to the server, so that a set-up does not wait for a dial.
    viewer.send(&request_for_cell(1, "clip", 0));
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 1);
    answer_set_up(&connection, 1);
    assert_eq!(viewer.next(SECOND).map(|answer| answer.kind), Some(kind::ANSWER));
    node.suspend();
    let flood_viewers: Vec<Viewer> = (0..30 * usize::from(suspend_mid_turn)).map(|_| node.viewer()).collect();
    if suspend_mid_turn {
        flood_viewers
            .iter()
            .zip(2_000..)
            .for_each(|(flood_viewer, id)| send_request_behind_tests(flood_viewer, id));
        node.signal(Signal::CONT);
        thread::sleep(5 * MS);
        node.suspend();
    }
    let nothing = servers.list_frame(1, 0, &[]);
    servers.list_connection().write_all(&nothing.repeat(2_000)).unwrap();
    servers.send_list_frame(2, &[(0, 1)]);
    viewer.send(&request_for_cell(2, "clip", 0));
    thread::sleep(SECOND);
    node.signal(Signal::CONT);
    let until = Instant::now() + SECOND;
    while let Some(message) = connection.next(until.saturating_duration_since(Instant::now())) {
        assert_ne!(
            (message.kind, message.session),
            (kind::SET_UP, 2),
            "set up at a server 1 s after it was announced as leaving"
        );
    }
    viewer.send(&with_parameter(request_for_cell(3, "clip", 1), code::WAIT_MS, "1000"));
    let mut other = servers.accept(1);
    wait_for_message(&mut other, kind::SET_UP, 3);
}

// Guards against reading only 16 kB of the list per turn: a request that arrived meanwhile was sent to a server whose drain
// was still unread.
#[test]
fn an_unread_drain_behind_other_frames_is_applied_before_a_request_is_sent() {
    assert_drain_read_before_request("drain-behind", false);
}

// Guards against a read budget that expires during the suspension: only 16 kB of the list were read afterwards.
#[test]
fn a_drain_is_applied_before_a_request_after_a_suspension_in_the_middle_of_a_turn() {
    assert_drain_read_before_request("drain-within", true);
}
