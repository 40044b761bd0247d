//! Admission control on real loopback sockets: slow, silent and vanished players, all seats taken, no descriptors left.

mod rig;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rig::{script, script_head, wait_until, Rig, Viewer};
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use salttally_standin::attack::frame;
use salttally_standin::players::{PlayerConnection, ReceiveError};
use serde_json::{json, Value};

const SECOND: Duration = Duration::from_secs(1);

/// A WebSocket client that sends nothing on its own, not even pongs.
struct RawClient(TcpStream);

impl RawClient {
    fn connect(address: SocketAddr) -> Option<RawClient> {
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
        head.starts_with(b"HTTP/1.1 101").then_some(RawClient(stream))
    }

    fn send(&mut self, call: &Value) {
        self.0.write_all(&frame(&call.to_string())).expect("written");
    }

    /// Reads until the connection ends; the text includes pings and close frames.
    fn read_text_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        let _ = self.0.read_to_end(&mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Reads until this word has arrived.
    fn read_until(&mut self, word: &str) -> String {
        let mut text = String::new();
        let mut part = [0; 1024];
        while !text.contains(word) {
            let count = self.0.read(&mut part).expect("more input arrives");
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

fn session_id_in(text: &str) -> String {
    let at = text.find("\"session\":\"").expect("a session") + 11;
    text[at..].split('"').next().expect("its name").to_owned()
}

#[test]
fn a_vanished_player_is_detected_and_its_session_can_be_reclaimed_or_is_released() {
    let limits = "ping-every-ms 200; pong-within-ms 100; pings-missed 2; silent-kept-ms 700";
    let rig = Rig::start(script(&script_head(2, 5), limits));
    let mut reading_viewer = Viewer::connect(&rig, 0, "stays");
    assert!(reading_viewer.open("title-0", "clip", 2000).is_plays());
    let mut vanished = RawClient::connect(rig.address(0)).expect("admitted");
    // Measured from its last message: the interval until a ping, and two unanswered pings.
    let begun = Instant::now();
    vanished.send(&open("vanished", "paid"));
    let session = session_id_in(&vanished.read_until("rate_kb"));
    // A client that reads also answers pings, and stays connected.
    let assert_connected_and_idle = |reading_viewer: &mut Viewer| {
        let quiet = reading_viewer.connection.next(Instant::now() + Duration::from_millis(10));
        assert!(matches!(quiet, Err(ReceiveError::TimedOut)), "{quiet:?}");
    };
    let reader = std::thread::spawn(move || vanished.read_text_to_end());
    while !reader.is_finished() {
        assert_connected_and_idle(&mut reading_viewer);
    }
    let last_bytes = reader.join().expect("the reader ends");
    assert!(last_bytes.contains("pings were not answered"), "{last_bytes}");
    let detected_after = begun.elapsed();
    assert!((Duration::from_millis(200)..SECOND).contains(&detected_after), "{detected_after:?}");
    assert_eq!(rig.boxes_of(&session).len(), 1, "the session plays on for a while");
    let mut returning = PlayerConnection::connect(rig.address(0), SECOND).expect("connects");
    let status = json!({"session": session, "viewer": "vanished"});
    let id = returning.call("session.status", &status).expect("written");
    let found = returning.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
    assert_eq!(found["result"]["state"], "playing", "{found}");
    // The player vanishes again, and returns too late.
    std::mem::forget(returning.stream().try_clone().expect("kept open without reading"));
    let released = Instant::now();
    while !rig.boxes_of(&session).is_empty() {
        assert!(released.elapsed() < SECOND * 4, "the session is never released");
        assert_connected_and_idle(&mut reading_viewer);
    }
    println!("the session of a vanished viewer is released {:?} after its last message", released.elapsed());
    let mut late = PlayerConnection::connect(rig.address(0), SECOND).expect("connects");
    let id = late.call("session.status", &status).expect("written");
    let expired = late.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
    assert_eq!(expired["error"]["code"], -32003, "{expired}");
    assert_connected_and_idle(&mut reading_viewer);
    reading_viewer.close();
    rig.shut_down_and_judge();
}

#[test]
fn pings_sent_together_with_answers_corrupt_neither() {
    let rig = Rig::start(script(
        &script_head(3, 2),
        "ping-every-ms 5; pong-within-ms 2000; calls-per-s 20000; calls-per-s-all 20000; calls-at-once 20000",
    ));
    let mut viewer = Viewer::connect(&rig, 0, "pinged");
    for _ in 0..60 {
        // Each answer is one whole message although pings are sent all the time.
        let outcome = viewer.open("title-0", "clip", 2000);
        assert!(outcome.is_plays(), "{outcome:?}");
        viewer.close();
    }
    rig.shut_down_and_judge();
}

#[test]
fn slow_handshakes_and_unfinished_messages_are_closed_while_others_are_served() {
    let limits = "handshakes 3; handshake-ms 900; message-ms 600; slow-grace-ms 300; least-bytes-per-s 200";
    let rig = Rig::start(script(&script_head(2, 5), limits));
    let mut slow_clients: Vec<TcpStream> =
        (0..8).map(|_| TcpStream::connect(rig.address(0)).expect("connects")).collect();
    let mut half_message =
        RawClient::connect(rig.address(0)).expect("a slow handshake is dropped to admit this client");
    half_message.0.write_all(&frame(&" ".repeat(4096))[..11]).expect("written");
    let begun = Instant::now();
    for round in 0..6 {
        for slow_client in &mut slow_clients {
            // After the front has closed the connection, the write fails sooner or later.
            let _ = slow_client.write_all(b"G");
        }
        let mut viewer = Viewer::connect(&rig, 0, &format!("proper-{round}"));
        assert!(viewer.open("title-0", "clip", 2000).is_plays());
        viewer.close();
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(half_message.read_text_to_end().contains("a message was begun and not ended"));
    assert!(begun.elapsed() < SECOND * 2);
    for mut slow_client in slow_clients {
        let _ = slow_client.set_read_timeout(Some(SECOND * 2));
        assert!(matches!(slow_client.read(&mut [0; 64]), Ok(0) | Err(_)), "a slow handshake gets no reply");
    }
    let admission_counts = rig.front(0).status().admission;
    assert!(admission_counts.dropped.values().sum::<u64>() >= 5, "{admission_counts:?}");
    rig.shut_down_and_judge();
}

#[test]
fn with_all_seats_taken_no_player_is_evicted_and_returning_players_get_in() {
    let limits = "players 4; reserve 1; return-within-ms 400; claim-within-ms 3000";
    let mut rig = Rig::start(script(&script_head(3, 5), limits));
    let name = |n: usize| format!("viewer-{n}");
    let open_for = |rig: &Rig, n: usize| {
        let mut connection = PlayerConnection::connect(rig.address(0), SECOND).expect("admitted");
        let mut call = open(&name(n), "clip");
        call["params"]["patience_ms"] = json!(2000);
        let id = connection.call("session.open", &call["params"]).expect("written");
        let answer = connection.response(id, Instant::now() + SECOND * 3, &mut Vec::new()).expect("answered");
        (connection, session_id_in(&answer.to_string()))
    };
    let seated: Vec<(PlayerConnection, String)> = (0..3).map(|n| open_for(&rig, n)).collect();
    // A client in the reserve can open no new session and is told so; without a session to return to it is disconnected.
    let mut newcomer = PlayerConnection::connect(rig.address(0), SECOND).expect("the reserve admits it");
    let id = newcomer.call("session.open", &open("new", "clip")["params"]).expect("written");
    let answer = newcomer.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
    assert_eq!(
        (&answer["error"]["code"], &answer["error"]["data"]["hold_off_ms"]),
        (&json!(-32006), &json!(300))
    );
    let Err(ReceiveError::Closed(close_reason)) = newcomer.next(Instant::now() + SECOND * 2) else {
        panic!("the client stays connected")
    };
    assert!(close_reason.contains("1013") || close_reason.contains("again"), "{close_reason}");
    assert_eq!(rig.front(0).status().playing, 3);
    // The restarted front gets many new connections at once, and still has seats for its own viewers.
    rig.kill_front(0);
    rig.day.log.write(salttally_judge::record::Event::FrontUp { front: "f0".into() });
    let settings = rig.day.settings(0).to_owned();
    salttally_standin::day::FrontController::start(&mut rig.fronts, 0, &settings).expect("starts");
    wait_until(SECOND * 3, || rig.front(0).status().playing == 3, || "the sessions are not resumed".into());
    let _newcomers: Vec<Option<RawClient>> = (0..12).map(|_| RawClient::connect(rig.address(0))).collect();
    for (at, (_, session)) in seated.iter().enumerate() {
        let mut connection = PlayerConnection::connect(rig.address(0), SECOND).expect("admitted");
        let params = json!({"session": session, "viewer": name(at)});
        let id = connection.call("session.status", &params).expect("written");
        let found = connection.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
        assert_eq!(found["result"]["state"], "playing", "{found}");
        let id = connection.call("session.close", &json!({"session": session})).expect("written");
        connection.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("closed");
    }
    rig.wait_for_held_sessions(0);
    rig.day.stop();
}

/// A daemon process, and its address.
struct DaemonProcess(Child, SocketAddr);

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn a_front_without_free_descriptors_keeps_its_sessions() {
    let rig = Rig::start(script(&script_head(2, 5), "calls-per-s 5000; calls-at-once 5000"));
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
    let daemon = DaemonProcess(child, address);
    // The limit is set while the daemon runs: descriptors that it already has stay open.
    let try_open = |name: &str| -> Option<(PlayerConnection, String)> {
        let mut connection = PlayerConnection::connect(daemon.1, SECOND).ok()?;
        let id = connection.call("session.open", &open(name, "clip")["params"]).ok()?;
        let answer = connection.response(id, Instant::now() + SECOND * 3, &mut Vec::new()).ok()?;
        let session = answer["result"]["session"].as_str()?.to_owned();
        Some((connection, session))
    };
    let mut first = None;
    wait_until(
        SECOND * 5,
        || {
            first = first.take().or_else(|| try_open("first"));
            first.is_some()
        },
        || "no session plays".into(),
    );
    let pid = Pid::from_child(&daemon.0);
    let files = Rlimit { current: Some(40), maximum: Some(40) };
    prlimit(Some(pid), Resource::Nofile, files).expect("limited");
    let crowd: Vec<Option<TcpStream>> =
        (0..80).map(|_| TcpStream::connect_timeout(&daemon.1, Duration::from_millis(200)).ok()).collect();
    std::thread::sleep(Duration::from_millis(700));
    // The session plays on and can be closed.
    let (mut connection, session) = first.expect("the first session plays");
    assert_eq!(rig.boxes_of(&session).len(), 1);
    drop(crowd);
    wait_until(
        SECOND * 5,
        || try_open("after").is_some(),
        || "no client is admitted after the crowd has left".into(),
    );
    let id = connection.call("session.close", &json!({"session": session})).expect("written");
    let closed = connection.response(id, Instant::now() + SECOND, &mut Vec::new()).expect("answered");
    assert_eq!(closed["result"]["state"], "closed");
    drop(daemon);
    let mut text = String::new();
    log.read_to_string(&mut text).expect("the log is read");
    let warnings = text.matches("players cannot be taken").count();
    assert!((1..=3).contains(&warnings), "the warning is rate-limited: {text}");
    std::fs::remove_dir_all(&dir).expect("removed");
}
