//! The list of a front node whose coordinator is out of reach for a while, over real connections: how soon a server
//! that was announced as leaving meanwhile is sent nothing more.

mod node;

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use node::hand::{accept_within, behind_others, fillers, plays, refusing, request_at, wait_for, with, Hands};
use node::{Node, SECOND};
use rustix::process::{prlimit, Pid, Resource, Rlimit, Signal};
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::Viewer;
use serde_json::{json, Value};
use socket2::{Domain, SockRef, Socket, Type};

const MS: Duration = Duration::from_millis(1);
/// What the protocol adds to each limit of the settings.
const SLACK: Duration = Duration::from_millis(50);
/// Graces of deployments that lost requests to leaving servers, or would have.
const GRACES: [u64; 2] = [350, 500];

fn grace(ms: u64) -> impl FnOnce(&mut Value) {
    move |config| config["settings"]["safety"]["drain_grace_ms"] = json!(ms)
}

/// A media server that turns every set-up away as moot, so that its title is asked for again and again; when each came.
fn turns_away(hands: &Hands, at: usize) -> Arc<Mutex<Vec<Instant>>> {
    let came = Arc::new(Mutex::new(Vec::new()));
    let (listener, kept) = (hands.boxes[at].try_clone().unwrap(), Arc::clone(&came));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let came = Arc::clone(&kept);
            thread::spawn(move || {
                let mut line = Viewer::from_stream(stream);
                while let Some(message) = line.next(60 * SECOND) {
                    if message.kind == kind::SET_UP {
                        came.lock().unwrap().push(Instant::now());
                        line.send(&Message::release(message.session, cause::NOT_SENT));
                    }
                }
            });
        }
    });
    came
}

/// A client that asks for the title of the first cell every 5 ms, until this value goes.
struct Asks(Arc<AtomicBool>, Option<thread::JoinHandle<()>>);

impl Drop for Asks {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
        let asking = self.1.take().expect("asks until now").join();
        assert!(asking.is_ok() || thread::panicking());
    }
}

fn asks(node: &Node) -> Asks {
    let over = Arc::new(AtomicBool::new(false));
    let (flag, mut viewer) = (Arc::clone(&over), node.viewer());
    let asking = thread::spawn(move || {
        let mut id = 1_000;
        while !flag.load(Ordering::Relaxed) {
            id += 1;
            viewer.send(&request_at(id, "clip", 0));
            while viewer.next(5 * MS).is_some() {}
        }
    });
    Asks(over, Some(asking))
}

/// Asserts that the server was asked before it was announced as leaving, and nothing came to it later than it may then.
fn is_kept(came: &Mutex<Vec<Instant>>, announced: Instant, grace: u64, way: &str) {
    let allowed = Duration::from_millis(grace) + SLACK;
    let came = came.lock().unwrap();
    assert!(came.iter().any(|at| *at < announced), "{way}: nothing was asked for");
    let after = came.iter().filter_map(|at| at.checked_duration_since(announced));
    let late: Vec<Duration> = after.filter(|late| *late > allowed).collect();
    let (many, last) = (late.len(), late.last());
    assert!(late.is_empty(), "{way}: {many} set-ups, the last {last:?} after it, grace {grace} ms");
}

/// The first media server is announced as leaving on this connection, and set-ups may still come for longer than they may.
fn drains(hands: &mut Hands, list: TcpStream) {
    hands.take_list(list);
    hands.frame(2, &[(0, 1)]);
    thread::sleep(3 * SECOND / 2);
}

/// Takes the next call of the front node and reads the number of the last event from it.
fn hello(coordinator: &TcpListener) -> (TcpStream, u64) {
    let mut stream = accept_within(coordinator, 10 * SECOND);
    let mut bytes = [0; 8];
    stream.set_read_timeout(Some(5 * SECOND)).unwrap();
    stream.read_exact(&mut bytes).expect("the number of the last event");
    (stream, u64::from_be_bytes(bytes))
}

// Caught pauses of up to 0.8 s between two calls: with a grace of 350 or 500 ms, requests went to servers that the
// coordinator had announced as leaving as soon as it was there again.
/// As many records as the page's largest fleet has.
const LARGEST_FLEET: usize = 3_200;

#[test]
fn a_long_list_that_comes_in_pieces_is_heard_however_slowly() {
    let mut hands = Hands::new(1);
    let node = hands.node("list-slow", |_| {});
    let mut list = hands.list();
    // The last record of a server counts: it leaves.
    let records: Vec<(usize, u8)> =
        (0..LARGEST_FLEET).map(|at| (0, u8::from(at + 1 == LARGEST_FLEET))).collect();
    let bytes = hands.record(2, 2, &records);
    for piece in bytes.chunks(bytes.len().div_ceil(20)) {
        list.write_all(piece).unwrap();
        thread::sleep(200 * MS);
    }
    let mut viewer = node.viewer();
    viewer.send(&request_at(1, "clip", 0));
    let answer = viewer.next(SECOND).expect("an answer");
    assert_eq!((answer.kind, answer.cause()), (kind::RELEASE, Some(cause::FULL)), "it was told to leave");
    let coordinator = hands.coordinator();
    coordinator.set_nonblocking(true).unwrap();
    assert!(coordinator.accept().is_err(), "and was not called anew");
}

#[test]
fn a_drain_announced_while_the_coordinator_breaks_off_each_call_is_kept() {
    for ms in GRACES {
        let mut hands = Hands::new(2);
        let node = hands.node(&format!("breaks-off-{ms}"), grace(ms));
        let came = turns_away(&hands, 0);
        let asking = asks(&node);
        let coordinator = hands.coordinator();
        hands.hang_up();
        // Down: each call is closed as it comes, for long enough that pauses have grown as long as they get.
        let until = Instant::now() + 4 * SECOND;
        while Instant::now() < until {
            drop(hello(&coordinator));
        }
        // The worst moment for the news is right after a call has been broken off.
        let announced = Instant::now();
        let (list, last) = hello(&coordinator);
        assert_eq!(last, 1);
        drains(&mut hands, list);
        drop(asking);
        is_kept(&came, announced, ms, "");
    }
}

// Caught calls that hung for up to 2.2 s, in which no other one began.
#[test]
fn a_drain_announced_while_calls_to_the_coordinator_hang_is_kept() {
    for ms in GRACES {
        let mut hands = Hands::new(2);
        // A listener whose queue is full: the kernel answers no call to it.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(1).unwrap();
        let deaf: TcpListener = socket.into();
        let at = deaf.local_addr().unwrap();
        let node = hands.node(&format!("hangs-{ms}"), grace(ms));
        let came = turns_away(&hands, 0);
        let asking = asks(&node);
        let fillers = fillers(at);
        hands.move_coordinator(&node, at);
        thread::sleep(4 * SECOND);
        // It can be reached again: whoever waited in its queue is taken out of it.
        drop(fillers);
        let announced = Instant::now();
        let list = loop {
            let mut stream = accept_within(&deaf, 10 * SECOND);
            stream.set_read_timeout(Some(SECOND)).unwrap();
            if stream.read_exact(&mut [0; 8]).is_ok() {
                break stream;
            }
        };
        drains(&mut hands, list);
        drop(asking);
        is_kept(&came, announced, ms, "");
    }
}

// Caught the crowd that was accepted in one turn: with the descriptors gone, neither list nor media server was called.
#[test]
fn idle_clients_in_any_number_leave_the_list_its_descriptors_while_the_coordinator_is_down() {
    const SOCKETS: u64 = 128;
    let mut hands = Hands::new(2);
    let node = hands.node_within("idle-crowd", SOCKETS as usize, grace(350));
    let limit = Rlimit { current: Some(SOCKETS), maximum: Some(SOCKETS) };
    prlimit(Some(Pid::from_child(&node.child)), Resource::Nofile, limit).unwrap();
    let coordinator = hands.coordinator();
    hands.hang_up();
    let (over, listen) = (Arc::new(AtomicBool::new(false)), node.listen);
    let crowds: Vec<_> = (0..3)
        .map(|_| {
            let over = Arc::clone(&over);
            thread::spawn(move || {
                let mut idle = std::collections::VecDeque::new();
                while !over.load(Ordering::Relaxed) {
                    idle.extend((0..100).filter_map(|_| TcpStream::connect(listen).ok()));
                    while idle.len() > 400 {
                        idle.pop_front();
                    }
                    thread::sleep(10 * MS);
                }
            })
        })
        .collect();
    let held = || fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count() as u64;
    let (until, mut most, mut longest, mut since) =
        (Instant::now() + 4 * SECOND, 0, Duration::ZERO, Instant::now());
    while Instant::now() < until {
        drop(hello(&coordinator));
        (longest, since, most) = (longest.max(since.elapsed()), Instant::now(), most.max(held()));
    }
    over.store(true, Ordering::Relaxed);
    crowds.into_iter().for_each(|crowd| crowd.join().unwrap());
    assert!(most > SOCKETS / 2, "{most} descriptors are no crowd");
    assert!(most < SOCKETS, "{most} descriptors: none is left");
    assert!(longest < 350 * MS, "{longest:?} between two calls");
    // One that comes now is served.
    hands.take_list(hello(&coordinator).0);
    hands.frame(0, &[]);
    let came = turns_away(&hands, 0);
    let mut viewer = node.viewer();
    viewer.send(&with(request_at(7, "clip", 0), code::WAIT_MS, "1000"));
    assert!(viewer.next(2 * SECOND).is_some());
    assert!(!came.lock().unwrap().is_empty());
}

#[test]
fn a_crowd_that_comes_at_once_takes_no_more_than_its_part_of_the_descriptors() {
    const SOCKETS: usize = 128;
    let mut hands = Hands::new(1);
    let node = hands.node_within("crowd-at-once", SOCKETS, grace(350));
    let of_process = format!("/proc/{}/fd", node.child.id());
    let before = fs::read_dir(&of_process).unwrap().count();
    let over = Arc::new(AtomicBool::new(false));
    let sampling = {
        let (over, path) = (Arc::clone(&over), of_process.clone());
        thread::spawn(move || {
            let mut most = 0;
            while !over.load(Ordering::Relaxed) {
                most = most.max(fs::read_dir(&path).unwrap().count());
            }
            most
        })
    };
    for _ in 0..10 {
        node.stop();
        let crowd: Vec<TcpStream> = (0..200).filter_map(|_| TcpStream::connect(node.listen).ok()).collect();
        node.signal(Signal::CONT);
        thread::sleep(100 * MS);
        drop(crowd);
    }
    over.store(true, Ordering::Relaxed);
    let most = sampling.join().unwrap() - before;
    // Half for clients, a twelfth for those that are closed and wait for their peers.
    assert!((SOCKETS / 4..=SOCKETS / 2 + SOCKETS / 12).contains(&most), "{most} of {SOCKETS}");
}

#[test]
fn a_configuration_that_is_still_being_written_at_sighup_is_used_once_it_is_whole() {
    let mut hands = Hands::new(1);
    let node = hands.node("half-written", |_| {});
    let (new, at) = refusing();
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
    let mut last = [0; 8];
    list.read_exact(&mut last).unwrap();
    assert_eq!(u64::from_be_bytes(last), 1, "the numbers carry on");
}

// A new configuration and a drain, in each order: told by the old coordinator before the change, by both, by the new one.
#[test]
fn a_drain_told_before_during_or_after_a_new_configuration_is_kept() {
    const MS_GRACE: u64 = 350;
    for way in ["old, unread", "new at once", "new that comes up late", "new, and old once more"] {
        let mut hands = Hands::new(2);
        let node = hands.node(&format!("reload-drain-{}", way.len()), grace(MS_GRACE));
        let came = turns_away(&hands, 0);
        let asking = asks(&node);
        thread::sleep(200 * MS);
        let (new, at) = refusing();
        if way != "new that comes up late" {
            new.listen(16).unwrap();
        }
        let new: TcpListener = new.into();
        let announced = match way {
            "old, unread" => {
                // Both wait for a process that looks at neither until it goes on.
                node.stop();
                hands.frame(2, &[(0, 1)]);
                hands.move_coordinator(&node, at);
                thread::sleep(100 * MS);
                let announced = Instant::now();
                node.signal(Signal::CONT);
                let (list, last) = hello(&new);
                hands.take_list(list);
                if last == 1 {
                    hands.tell_again(&[(0, 1)]);
                }
                announced
            }
            "new at once" => {
                hands.move_coordinator(&node, at);
                let (list, last) = hello(&new);
                assert_eq!(last, 1, "the numbers carry on");
                hands.take_list(list);
                hands.frame(2, &[(0, 1)]);
                Instant::now()
            }
            "new that comes up late" => {
                hands.move_coordinator(&node, at);
                thread::sleep(2 * SECOND);
                SockRef::from(&new).listen(16).unwrap();
                let announced = Instant::now();
                let (list, last) = hello(&new);
                assert_eq!(last, 1);
                hands.take_list(list);
                hands.frame(2, &[(0, 1)]);
                announced
            }
            _ => {
                let old = hands.list();
                hands.move_coordinator(&node, at);
                let (list, _) = hello(&new);
                hands.take_list(list);
                hands.frame(2, &[(0, 1)]);
                // The old one says nothing that counts any more, least of all that the server is ready again.
                let _ = (&old).write_all(&hands.record(3, 2, &[(0, 0)]));
                Instant::now()
            }
        };
        thread::sleep(SECOND);
        drop(asking);
        is_kept(&came, announced, MS_GRACE, way);
    }
}

/// A drain lies unread behind 26 kB of frames, and a request beside it, while the node is stopped: at rest, or in the middle
/// of its work.
fn drain_behind_much_else(name: &str, stopped_within: bool) {
    let mut hands = Hands::new(2);
    let node = hands.node_within(name, 512, grace(350));
    let mut viewer = node.viewer();
    // A connection to the server is open, so that a set-up waits for no dial.
    viewer.send(&request_at(1, "clip", 0));
    let mut line = hands.accept(0);
    wait_for(&mut line, kind::SET_UP, 1);
    plays(&line, 1);
    assert_eq!(viewer.next(SECOND).map(|answer| answer.kind), Some(kind::ANSWER));
    node.stop();
    let floods: Vec<Viewer> = (0..30 * usize::from(stopped_within)).map(|_| node.viewer()).collect();
    if stopped_within {
        floods.iter().zip(2_000..).for_each(|(flood, id)| behind_others(flood, id));
        node.signal(Signal::CONT);
        thread::sleep(5 * MS);
        node.stop();
    }
    let nothing = hands.record(1, 0, &[]);
    hands.list().write_all(&nothing.repeat(2_000)).unwrap();
    hands.frame(2, &[(0, 1)]);
    viewer.send(&request_at(2, "clip", 0));
    thread::sleep(SECOND);
    node.signal(Signal::CONT);
    let until = Instant::now() + SECOND;
    while let Some(message) = line.next(until.saturating_duration_since(Instant::now())) {
        assert_ne!(
            (message.kind, message.session),
            (kind::SET_UP, 2),
            "1 s after it was announced as leaving"
        );
    }
    viewer.send(&with(request_at(3, "clip", 1), code::WAIT_MS, "1000"));
    let mut other = hands.accept(1);
    wait_for(&mut other, kind::SET_UP, 3);
}

// Caught a look at the list that ended after 16 kB: a request that lay beside it was sent on to a server whose drain was
// still unread.
#[test]
fn a_drain_that_lies_unread_behind_much_else_is_heard_before_a_request_is_sent_on() {
    drain_behind_much_else("drain-behind", false);
}

// Caught the time for reading, which was over when the process went on: of the list 16 kB had been read.
#[test]
fn a_drain_is_heard_before_a_request_though_the_process_was_stopped_in_the_middle_of_its_work() {
    drain_behind_much_else("drain-within", true);
}
