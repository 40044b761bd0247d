//! Doors that hold, on real loopback sockets: slow, silent and vanished players, a full house, no files left.

mod rig;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rig::{head, script, wait, Rig, Viewer};
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use salttally_standin::attack::frame;
use salttally_standin::players::{PlayerConnection, ReceiveError};
use serde_json::{json, Value};

const SECOND: Duration = Duration::from_secs(1);

/// A player that does nothing by itself: it answers no ping.
struct Dumb(TcpStream);

impl Dumb {
    fn connect(address: SocketAddr) -> Option<Dumb> {
        let mut stream = TcpStream::connect(address).ok()?;
        let ask = format!(
            "GET / HTTP/1.1\r\nHost: {address}\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
             Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\
             Sec-WebSocket-Protocol: session.v1.salttally\r\n\r\n"
        );
        stream.write_all(ask.as_bytes()).ok()?;
        stream.set_read_timeout(Some(SECOND * 3)).ok()?;
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        head.starts_with(b"HTTP/1.1 101").then_some(Dumb(stream))
    }

    fn send(&mut self, call: &Value) {
        self.0.write_all(&frame(&call.to_string())).expect("written");
    }

    /// All that comes until the connection ends, as text; pings and closes among it.
    fn rest(&mut self) -> String {
        let mut bytes = Vec::new();
        let _ = self.0.read_to_end(&mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    }

    fn until(&mut self, word: &str) -> String {
        let mut text = String::new();
        let mut part = [0; 1024];
        while !text.contains(word) {
            let count = self.0.read(&mut part).expect("something comes");
            assert!(count > 0, "ended before `{word}`: {text}");
            text += &String::from_utf8_lossy(&part[..count]);
        }
        text
    }
}

fn open(viewer: &str, class: &str) -> Value {
    json!({"jsonrpc": "2.0", "id": 1, "method": "session.open", "params": {
        "viewer": viewer, "title": "title-0", "class": class, "top_rung": 1, "patience_ms": 2000}})
}

fn session_in(text: &str) -> String {
    let at = text.find("\"session\":\"").expect("a session") + 11;
    text[at..].split('"').next().expect("its name").to_owned()
}

#[test]
fn a_player_that_vanished_is_missed_and_its_session_found_again_or_released() {
    let limits = "ping-every-ms 200; pong-within-ms 100; pings-missed 2; silent-kept-ms 700";
    let rig = Rig::start(script(&head(2, 5), limits));
    let mut stays = Viewer::connect(&rig, 0, "stays");
    assert!(stays.open("title-0", "clip", 2000).is_plays());
    let mut vanished = Dumb::connect(rig.address(0)).expect("let in");
    // From its last word: the pause until a ping, two pings unanswered.
    let begun = Instant::now();
    vanished.send(&open("vanished", "paid"));
    let session = session_in(&vanished.until("rate_kb"));
    // Whoever reads answers its pings, and is left alone.
    let reads = |stays: &mut Viewer| {
        let quiet = stays.line.next(Instant::now() + Duration::from_millis(10));
        assert!(matches!(quiet, Err(ReceiveError::TimedOut)), "{quiet:?}");
    };
    let cut = std::thread::spawn(move || vanished.rest());
    while !cut.is_finished() {
        reads(&mut stays);
    }
    let last = cut.join().expect("its last words");
    assert!(last.contains("pings were not answered"), "{last}");
    let missed = begun.elapsed();
    assert!((Duration::from_millis(200)..SECOND).contains(&missed), "{missed:?}");
    assert_eq!(rig.boxes_of(&session).len(), 1, "it plays on for a while");
    let mut back = PlayerConnection::connect(rig.address(0), SECOND).expect("connects");
    let status = json!({"session": session, "viewer": "vanished"});
    let id = back.call("session.status", &status).expect("written");
    let found = back.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
    assert_eq!(found["result"]["state"], "playing", "{found}");
    // It vanishes again, and comes back too late.
    std::mem::forget(back.stream().try_clone().expect("kept open, and read by nobody"));
    let released = Instant::now();
    while !rig.boxes_of(&session).is_empty() {
        assert!(released.elapsed() < SECOND * 4, "its place is kept");
        reads(&mut stays);
    }
    println!("a vanished viewer's session is released {:?} after its last word", released.elapsed());
    let mut late = PlayerConnection::connect(rig.address(0), SECOND).expect("connects");
    let id = late.call("session.status", &status).expect("written");
    let gone = late.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
    assert_eq!(gone["error"]["code"], -32003, "{gone}");
    reads(&mut stays);
    stays.close();
    rig.end();
}

#[test]
fn pings_in_the_instant_of_an_answer_harm_neither() {
    let rig = Rig::start(script(
        &head(3, 2),
        "ping-every-ms 5; pong-within-ms 2000; calls-per-s 20000; calls-per-s-all 20000; calls-at-once 20000",
    ));
    let mut viewer = Viewer::connect(&rig, 0, "pinged");
    for _ in 0..60 {
        // Each answer is one whole message, though a ping is due all the time.
        let heard = viewer.open("title-0", "clip", 2000);
        assert!(heard.is_plays(), "{heard:?}");
        viewer.close();
    }
    rig.end();
}

#[test]
fn a_drip_and_a_begun_message_are_cut_off_while_others_are_served() {
    let limits = "handshakes 3; handshake-ms 900; message-ms 600; slow-grace-ms 300; least-bytes-per-s 200";
    let rig = Rig::start(script(&head(2, 5), limits));
    let mut drips: Vec<TcpStream> =
        (0..8).map(|_| TcpStream::connect(rig.address(0)).expect("connects")).collect();
    let mut half = Dumb::connect(rig.address(0)).expect("a full door makes room");
    half.0.write_all(&frame(&" ".repeat(4096))[..11]).expect("written");
    let begun = Instant::now();
    for round in 0..6 {
        for drip in &mut drips {
            // Cut off, the write fails sooner or later.
            let _ = drip.write_all(b"G");
        }
        let mut viewer = Viewer::connect(&rig, 0, &format!("proper-{round}"));
        assert!(viewer.open("title-0", "clip", 2000).is_plays());
        viewer.close();
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(half.rest().contains("a message was begun and not ended"));
    assert!(begun.elapsed() < SECOND * 2);
    for mut drip in drips {
        let _ = drip.set_read_timeout(Some(SECOND * 2));
        assert!(matches!(drip.read(&mut [0; 64]), Ok(0) | Err(_)), "nothing is said to a drip");
    }
    let door = rig.front(0).status().admission;
    assert!(door.dropped.values().sum::<u64>() >= 5, "{door:?}");
    rig.end();
}

#[test]
fn a_full_house_turns_nobody_out_and_keeps_places_for_those_that_come_back() {
    let limits = "players 4; reserve 1; return-within-ms 400; claim-within-ms 3000";
    let mut rig = Rig::start(script(&head(3, 5), limits));
    let name = |n: usize| format!("viewer-{n}");
    let holds = |rig: &Rig, n: usize| {
        let mut line = PlayerConnection::connect(rig.address(0), SECOND).expect("let in");
        let mut call = open(&name(n), "clip");
        call["params"]["patience_ms"] = json!(2000);
        let id = line.call("session.open", &call["params"]).expect("written");
        let answer = line.response(id, Instant::now() + SECOND * 3, &mut Vec::new()).expect("answered");
        (line, session_in(&answer.to_string()))
    };
    let house: Vec<(PlayerConnection, String)> = (0..3).map(|n| holds(&rig, n)).collect();
    // The reserve lets nobody open anything new, says so, and sends away whoever returns to nothing.
    let mut newcomer = PlayerConnection::connect(rig.address(0), SECOND).expect("the reserve");
    let id = newcomer.call("session.open", &open("new", "clip")["params"]).expect("written");
    let told = newcomer.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
    assert_eq!(
        (&told["error"]["code"], &told["error"]["data"]["hold_off_ms"]),
        (&json!(-32006), &json!(300))
    );
    let Err(ReceiveError::Closed(why)) = newcomer.next(Instant::now() + SECOND * 2) else {
        panic!("it stays")
    };
    assert!(why.contains("1013") || why.contains("again"), "{why}");
    assert_eq!(rig.front(0).status().playing, 3);
    // Born again, the front is stormed by newcomers and finds places for its viewers all the same.
    rig.down(0);
    rig.day.log.write(salttally_judge::record::Event::FrontUp { front: "f0".into() });
    let settings = rig.day.settings(0).to_owned();
    salttally_standin::day::FrontController::start(&mut rig.fronts, 0, &settings).expect("starts");
    wait(SECOND * 3, || rig.front(0).status().playing == 3, || "the sessions are not found".into());
    let _storm: Vec<Option<Dumb>> = (0..12).map(|_| Dumb::connect(rig.address(0))).collect();
    for (at, (_, session)) in house.iter().enumerate() {
        let mut line = PlayerConnection::connect(rig.address(0), SECOND).expect("let in");
        let params = json!({"session": session, "viewer": name(at)});
        let id = line.call("session.status", &params).expect("written");
        let found = line.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
        assert_eq!(found["result"]["state"], "playing", "{found}");
        let id = line.call("session.close", &json!({"session": session})).expect("written");
        line.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("closed");
    }
    rig.wait_held(0);
    rig.day.stop();
}

/// A daemon whose files run out, with a box and a list beside it.
struct Daemon(Child, SocketAddr);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn without_files_the_front_goes_on_and_keeps_what_plays() {
    let rig = Rig::start(script(&head(2, 5), "calls-per-s 5000; calls-at-once 5000"));
    let dir = std::env::temp_dir().join(format!("salttally-doors-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join("front.kdl");
    let settings = rig.day.settings(0).replace("front \"f0\"", "front \"f9\"");
    let listen = rig.day.front_address(9).to_string();
    let settings = settings.replace(&rig.day.front_address(0).to_string(), &listen);
    std::fs::write(&path, settings).expect("written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_salttallyd"))
        .arg("--config")
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("a line");
    let mut log = child.stderr.take().expect("piped");
    let address: SocketAddr =
        line.trim().strip_prefix("listening ").expect("its address").parse().expect("one");
    let daemon = Daemon(child, address);
    // Its files are limited once it runs: what it has stays open.
    let plays = |name: &str| -> Option<(PlayerConnection, String)> {
        let mut line = PlayerConnection::connect(daemon.1, SECOND).ok()?;
        let id = line.call("session.open", &open(name, "clip")["params"]).ok()?;
        let answer = line.response(id, Instant::now() + SECOND * 3, &mut Vec::new()).ok()?;
        let session = answer["result"]["session"].as_str()?.to_owned();
        Some((line, session))
    };
    let mut first = None;
    wait(
        SECOND * 5,
        || {
            first = first.take().or_else(|| plays("first"));
            first.is_some()
        },
        || "nothing plays".into(),
    );
    let pid = Pid::from_child(&daemon.0);
    let files = Rlimit { current: Some(40), maximum: Some(40) };
    prlimit(Some(pid), Resource::Nofile, files).expect("limited");
    let crowd: Vec<Option<TcpStream>> =
        (0..80).map(|_| TcpStream::connect_timeout(&daemon.1, Duration::from_millis(200)).ok()).collect();
    std::thread::sleep(Duration::from_millis(700));
    // What plays plays on, and can be closed.
    let (mut line, session) = first.expect("it plays");
    assert_eq!(rig.boxes_of(&session).len(), 1);
    drop(crowd);
    wait(SECOND * 5, || plays("after").is_some(), || "nobody is let in after the crowd".into());
    let id = line.call("session.close", &json!({"session": session})).expect("written");
    let closed = line.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
    assert_eq!(closed["result"]["state"], "closed");
    drop(daemon);
    let mut text = String::new();
    log.read_to_string(&mut text).expect("its log");
    let told = text.matches("players cannot be taken").count();
    assert!((1..=3).contains(&told), "told once in a while: {text}");
    std::fs::remove_dir_all(&dir).expect("removed");
}
