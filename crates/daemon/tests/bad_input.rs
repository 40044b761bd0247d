//! Peers that do not keep to the protocols: a clear error to each alone, and nothing lost for others.

mod rig;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rig::{head, script, wait, Heard, Rig, Viewer};
use salttally_front::settings::Settings;
use salttally_front::{Asked, Front};
use salttally_standin::players::{Line, Silence};
use serde_json::{json, Value};

const SECOND: Duration = Duration::from_secs(1);

fn said(line: &mut Line, text: &str) -> Value {
    line.send(text).expect("written");
    line.next(Instant::now() + SECOND).expect("answered")
}

/// A frame by hand, masked with zeros.
fn frame(first: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![first];
    match payload.len() {
        short @ 0..=125 => bytes.push(0x80 | short as u8),
        long => {
            bytes.push(0x80 | 126);
            bytes.extend((long as u16).to_be_bytes());
        }
    }
    bytes.extend([0; 4]);
    bytes.extend(payload);
    bytes
}

fn cut(line: &mut Line) -> String {
    match line.next(Instant::now() + SECOND * 2) {
        Err(Silence::Cut(why)) => why,
        other => panic!("the connection goes on: {other:?}"),
    }
}

#[test]
fn each_wrong_message_has_an_error_of_its_own_and_the_connection_goes_on() {
    let rig = Rig::start(script(&head(2, 5), ""));
    let mut watching = Viewer::connect(&rig, 0, "watching");
    let Heard::Plays(session) = watching.open("title-0", "clip", 2000) else { panic!("it plays") };
    let mut line = Line::connect(rig.address(0), SECOND).expect("connects");
    let call = |method: &str, params: Value| {
        json!({"jsonrpc": "2.0", "id": 5, "method": method, "params": params}).to_string()
    };
    let open = |key: &str, value: Value| {
        let mut params =
            json!({"viewer": "v", "title": "title-0", "class": "clip", "top_rung": 1, "patience_ms": 900});
        params[key] = value;
        call("session.open", params)
    };
    for (text, code, word) in [
        ("{".to_owned(), -32700, "not JSON"),
        ("[]".to_owned(), -32600, "empty batch"),
        ("17".to_owned(), -32600, "an object"),
        (r#"{"id": 5, "method": "session.status"}"#.to_owned(), -32600, "jsonrpc"),
        (call("session.play", json!({})), -32601, "session.play"),
        (open("title", json!("nothing")), -32602, "no title `nothing`"),
        (open("class", json!("vip")), -32602, "no class `vip`"),
        (open("patience_ms", json!(-1)), -32602, "patience_ms"),
        (open("patience_ms", json!(1)), -32602, "from 100 to"),
        (open("top_rung", json!("high")), -32602, "top_rung"),
        (open("viewer", json!("")), -32602, "viewer"),
        (open("colour", json!(1)), -32602, "no parameter `colour`"),
        (call("session.close", json!({"session": session})), -32003, "no such session"),
        (call("session.status", json!({"session": session, "viewer": "thief"})), -32003, "no such session"),
        (call("session.cancel", json!({"open": 77})), -32003, "no such session or open call"),
    ] {
        let answer = said(&mut line, &text);
        assert_eq!(answer["error"]["code"], code, "{text}: {answer}");
        assert!(answer["error"]["message"].as_str().is_some_and(|m| m.contains(word)), "{text}: {answer}");
    }
    let batch = said(
        &mut line,
        r#"[1, {"jsonrpc": "2.0", "id": 6, "method": "session.status", "params": {"session": "x"}}]"#,
    );
    assert_eq!(batch.as_array().map(Vec::len), Some(2), "{batch}");
    // None of it touched the other player.
    assert_eq!(rig.boxes_of(&session).len(), 1);
    watching.close();
    rig.end();
}

#[test]
fn broken_frames_end_their_own_connection_with_the_code_that_says_why() {
    let rig = Rig::start(script(&head(2, 5), ""));
    let mut watching = Viewer::connect(&rig, 0, "watching");
    assert!(watching.open("title-0", "clip", 2000).is_plays());
    let unmasked = [0x81, 0x02, b'{', b'}'];
    for (bytes, word) in [
        (frame(0x81, &[0xff, 0xfe]), "1007"),
        (frame(0x81, &[b' '; 20_000]), "1009"),
        (frame(0x82, b"binary"), "1003"),
        (frame(0xf1, b"reserved bits"), "1002"),
        (frame(0x83, b"no such opcode"), "1002"),
        (unmasked.to_vec(), "1002"),
    ] {
        let mut line = Line::connect(rig.address(0), SECOND).expect("connects");
        line.stream().write_all(&bytes).expect("written");
        let why = cut(&mut line);
        assert!(why.contains(word), "{bytes:?}: {why}");
    }
    watching.close();
    rig.end();
}

#[test]
fn a_handshake_that_is_none_is_refused_with_a_reason_and_a_slow_one_ends() {
    let rig = Rig::start(script(&head(1, 5), "handshake-ms 300"));
    let ask = |text: &str| {
        let mut stream = TcpStream::connect(rig.address(0)).expect("connects");
        stream.write_all(text.as_bytes()).expect("written");
        let mut heard = String::new();
        let _ = stream.set_read_timeout(Some(SECOND * 2));
        let _ = stream.read_to_string(&mut heard);
        heard
    };
    let upgrade = "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    let heard = ask(upgrade);
    assert!(heard.starts_with("HTTP/1.1 400") && heard.contains("offer the sub-protocol"), "{heard}");
    ask("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ask("\x16\x03\x01");
    let begun = Instant::now();
    assert_eq!(ask("GET / HTTP/1.1\r\n"), "", "it never ends its head");
    assert!(begun.elapsed() < SECOND, "and is not waited for");
    wait(SECOND, || rig.front(0).look().clients == 0, || "somebody is left".into());
    rig.end();
}

#[test]
fn a_flood_of_calls_is_told_to_wait_and_does_not_hold_others_up() {
    let rig = Rig::start(script(&head(2, 5), "calls-per-s 50; calls-at-once 20; calls-surplus 100"));
    let mut flood = Line::connect(rig.address(0), SECOND).expect("connects");
    for _ in 0..60 {
        flood.call("session.status", &json!({"session": "x"})).expect("written");
    }
    let mut later = 0;
    for _ in 0..60 {
        let answer = flood.next(Instant::now() + SECOND).expect("each is answered");
        later += usize::from(answer["error"]["code"] == -32004);
    }
    assert!((30..=40).contains(&later), "{later} of 60 are told to wait");
    let mut other = Viewer::connect(&rig, 0, "other");
    assert!(other.open("title-0", "clip", 1000).is_plays());
    other.close();
    for _ in 0..200 {
        if flood.call("session.status", &json!({"session": "x"})).is_err() {
            break;
        }
    }
    wait(
        SECOND * 2,
        || matches!(flood.next(Instant::now() + SECOND), Err(Silence::Cut(_))),
        || "goes on".into(),
    );
    rig.end();
}

/// A box and a list in one that answers set-ups as it is told to, and everything else not at all.
struct Crooked {
    address: SocketAddr,
}

/// A list that names the box, or another one as well at its address, or the box twice.
fn list(address: SocketAddr, also: Option<u32>) -> Vec<u8> {
    let now = std::time::UNIX_EPOCH.elapsed().expect("a clock").as_millis() as u64;
    let line = |id: u32| json!({"box": id, "address": address.to_string(), "cell": 0, "state": "ready"});
    let lines: Vec<Value> = std::iter::once(0).chain(also).map(line).collect();
    let boxes = json!({"revision": 1, "as_of_ms": now + 100, "boxes": lines});
    let event = salttally_standin::http::event("whole", &boxes);
    [salttally_standin::http::EVENTS, event.as_bytes()].concat()
}

impl Crooked {
    fn start(answer: impl Fn(&str) -> Option<Vec<u8>> + Send + Sync + 'static) -> Crooked {
        Crooked::at(move |_, request| answer(request))
    }

    fn at(answer: impl Fn(SocketAddr, &str) -> Option<Vec<u8>> + Send + Sync + 'static) -> Crooked {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let answer = move |request: &str| answer(address, request);
        let answer = std::sync::Arc::new(answer);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { return };
                let answer = std::sync::Arc::clone(&answer);
                std::thread::spawn(move || {
                    let mut buffer = Vec::new();
                    while let Ok(Some(request)) = salttally_standin::http::read(&mut stream, &mut buffer) {
                        let text = format!(
                            "{} {} {}",
                            request.method,
                            request.path,
                            String::from_utf8_lossy(&request.body)
                        );
                        let bytes = match request.path.as_str() {
                            "/boxes" => Some(answer(&text).unwrap_or_else(|| list(address, None))),
                            _ => answer(&text),
                        };
                        let Some(bytes) = bytes else { return };
                        if stream.write_all(&bytes).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Crooked { address }
    }

    /// A front that knows nothing but this box, and what a paid session is answered.
    fn paid(&self) -> (Front, String) {
        let text = format!(
            r#"
            front "f0" seed=1 {{ listen "127.0.0.1:0"; }}
            box-list "{}"
            fleet cells=1 link-kb=5000 links-kb=5000 {{ kind-streams 20; reports "link"; }}
            ladder {{ rung kb=200 worth=0.2; rung kb=500 worth=0.6; }}
            class "paid" aim-ms=500 effect="once"
            title "a" first-cell=0 cells=1
            rules {{ drain-grace-ms 250; warm-up-ms 100; cold-from 0.4; fall-multiple 2.0; fall-ms 1000; }}
            "#,
            self.address
        );
        let front = Front::start(Settings::parse("crooked.kdl", &text).expect("holds")).expect("starts");
        std::thread::sleep(Duration::from_millis(200));
        let asked = Asked {
            viewer: "v".into(),
            title: "a".into(),
            class: "paid".into(),
            top_rung: 1,
            patience_ms: 1000,
            ..Asked::default()
        };
        let session = front.open(&asked).expect("accepted");
        let answer = format!("{:?}", session.answer(SECOND * 2).expect("answered"));
        (front, answer)
    }
}

const HELD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: held\ndata: {\"sessions\":[]}\n\n";

#[test]
fn a_box_that_answers_nonsense_may_have_run_a_paid_set_up() {
    for answer in [
        &b"HTTP/1.1 201 Created\r\nContent-Length: 500\r\n\r\n{\"half\""[..],
        b"HTTP/1.1 201 Created\r\nContent-Length: 50\r\n\r\n{\"session\":\"other\",\"attempt\":0,\"load\":{\"link\":0.1}}",
        b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n{}",
        b"SSH-2.0-OpenSSH\r\n",
        b"HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"",
    ] {
        let crooked = Crooked::start(move |request| match request {
            _ if request.starts_with("GET /boxes") => None,
            _ if request.starts_with("GET /events") => Some(HELD.to_vec()),
            _ if request.starts_with("POST") && answer.is_empty() => None,
            _ => Some(answer.to_vec()),
        });
        let (front, answer) = crooked.paid();
        assert!(answer.starts_with("Failed"), "{answer}");
        let counts = front.look().counts;
        assert_eq!((counts.attempts, counts.failed), (1, 1), "{counts:?}");
        front.shut_down(SECOND);
    }
}

#[test]
fn an_event_stream_of_nonsense_ends_and_the_front_goes_on() {
    for stream in [
        &b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"[..],
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: held\ndata: {\"sessions\": 7}\n\n",
        b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n\r\n<html>",
        b"\x00\xff\x00\xff\r\n\r\n",
    ] {
        let crooked = Crooked::start(move |request| {
            if request.starts_with("GET /events") {
                return Some(stream.to_vec());
            }
            good(request)
        });
        let (front, answer) = crooked.paid();
        assert!(answer.starts_with("Plays"), "{answer}");
        front.shut_down(SECOND * 5);
    }
}

/// What a good box answers.
fn good(request: &str) -> Option<Vec<u8>> {
    if request.starts_with("GET /events") {
        return Some(HELD.to_vec());
    }
    let body: Value = serde_json::from_str(request.splitn(3, ' ').nth(2)?).ok()?;
    let answer = json!({"session": body["session"], "attempt": body["attempt"], "load": {"link": 0.1}});
    Some(salttally_standin::http::response(201, &answer))
}

#[test]
fn a_list_that_contradicts_itself_is_not_taken_and_asked_for_again() {
    for also in [0, 1] {
        let asked = std::sync::atomic::AtomicUsize::new(0);
        let crooked = Crooked::at(move |address, request| match request {
            // Wrong once, then right: the module asks again half a second after the loss.
            _ if request.starts_with("GET /boxes") => {
                let first = asked.fetch_add(1, std::sync::atomic::Ordering::Relaxed) == 0;
                first.then(|| list(address, Some(also)))
            }
            _ => good(request),
        });
        let (front, answer) = crooked.paid();
        assert!(answer.starts_with("Refused"), "no box is known from such a list: {answer}");
        std::thread::sleep(Duration::from_millis(600));
        let asked = Asked {
            viewer: "w".into(),
            title: "a".into(),
            class: "paid".into(),
            top_rung: 1,
            patience_ms: 1000,
            ..Asked::default()
        };
        let session = front.open(&asked).expect("accepted");
        let answer = format!("{:?}", session.answer(SECOND * 2));
        assert!(answer.starts_with("Some(Plays"), "{answer}");
        drop(session);
        front.shut_down(SECOND * 5);
    }
}
