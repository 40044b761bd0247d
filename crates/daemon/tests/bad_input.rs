//! Peers that violate the protocols: each gets a clear error of its own, and no other peer is affected.

mod rig;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rig::{script, script_head, wait_until, OpenAnswer, Rig, Viewer};
use salttally_front::settings::Settings;
use salttally_front::{Front, SessionRequest};
use salttally_standin::attack::frame_of as frame;
use salttally_standin::players::{PlayerConnection, ReceiveError};
use serde_json::{json, Value};

const SECOND: Duration = Duration::from_secs(1);

/// Sends a text message and returns the answer.
fn answer_to(connection: &mut PlayerConnection, text: &str) -> Value {
    connection.send(text).expect("written");
    connection.next(Instant::now() + SECOND).expect("answered")
}

/// Waits for the connection to be closed and returns the reason.
fn read_close_reason(connection: &mut PlayerConnection) -> String {
    match connection.next(Instant::now() + SECOND * 2) {
        Err(ReceiveError::Closed(close_reason)) => close_reason,
        other => panic!("the connection stays open: {other:?}"),
    }
}

#[test]
fn each_invalid_message_gets_its_own_error_and_the_connection_stays_open() {
    let rig = Rig::start(script(&script_head(2, 5), ""));
    let mut playing = Viewer::connect(&rig, 0, "watching");
    let OpenAnswer::Plays(session) = playing.open("title-0", "clip", 2000) else {
        panic!("the session plays")
    };
    let mut connection = PlayerConnection::connect(rig.address(0), SECOND).expect("connects");
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
        let answer = answer_to(&mut connection, &text);
        assert_eq!(answer["error"]["code"], code, "{text}: {answer}");
        assert!(answer["error"]["message"].as_str().is_some_and(|m| m.contains(word)), "{text}: {answer}");
    }
    let batch = answer_to(
        &mut connection,
        r#"[1, {"jsonrpc": "2.0", "id": 6, "method": "session.status", "params": {"session": "x"}}]"#,
    );
    assert_eq!(batch.as_array().map(Vec::len), Some(2), "{batch}");
    // The other player is not affected.
    assert_eq!(rig.boxes_of(&session).len(), 1);
    playing.close();
    rig.shut_down_and_judge();
}

/// A frame without a mask, which clients may not send (RFC 6455 section 5.1).
fn unmasked(first: u8, payload: &[u8]) -> Vec<u8> {
    [&[first, payload.len() as u8], payload].concat()
}

/// Violations of RFC 6455, by section, with the close code that reports them (section 7.4.1).
#[test]
fn invalid_frames_close_only_their_own_connection_with_the_matching_code() {
    let rig = Rig::start(script(&script_head(2, 5), ""));
    let mut playing = Viewer::connect(&rig, 0, "watching");
    assert!(playing.open("title-0", "clip", 2000).is_plays());
    let close = |code: u16| frame(0x88, &code.to_be_bytes());
    let in_two_parts = |first: &[u8], second: &[u8]| [frame(0x01, first), frame(0x80, second)].concat();
    let long_head = [&[0x81, 0x80 | 127][..], &u64::MAX.to_be_bytes(), &[0; 4]].concat();
    let cases: Vec<(&str, Vec<u8>, &str)> = vec![
        ("5.1 an unmasked message", unmasked(0x81, b"{}"), "1002"),
        ("5.1 an unmasked ping", unmasked(0x89, b""), "1002"),
        ("5.2 a reserved bit, the first", frame(0xc1, b"x"), "1002"),
        ("5.2 a reserved bit, the second", frame(0xa1, b"x"), "1002"),
        ("5.2 a reserved bit, the third", frame(0x91, b"x"), "1002"),
        ("5.2 all reserved bits on a control frame", frame(0xf9, b""), "1002"),
        ("5.2 a reserved opcode for data", frame(0x83, b"x"), "1002"),
        ("5.2 the last reserved opcode for data", frame(0x87, b"x"), "1002"),
        ("5.2 a reserved opcode for control", frame(0x8b, b""), "1002"),
        ("5.2 the last reserved opcode for control", frame(0x8f, b""), "1002"),
        ("5.2 a length over 63 bits", long_head, "100"),
        ("5.4 a continuation of nothing", frame(0x80, b"x"), "1002"),
        ("5.4 a begun message and another", [frame(0x01, b"{"), frame(0x81, b"}")].concat(), "1002"),
        ("5.5 a ping of 126 bytes", frame(0x89, &[0; 126]), "1002"),
        ("5.5 a pong of 126 bytes", frame(0x8a, &[0; 126]), "1002"),
        ("5.5 a close of 126 bytes", frame(0x88, &[0x03, 0xe8].repeat(63)), "1002"),
        ("5.5 a ping in two parts", [frame(0x09, b"a"), frame(0x80, b"b")].concat(), "1002"),
        ("5.5.1 a close of one byte", frame(0x88, &[3]), "1002"),
        ("7.4.1 a close with code 1004, reserved", close(1004), "1002"),
        ("7.4.1 a close with code 1005, never sent", close(1005), "1002"),
        ("7.4.1 a close with code 1006, never sent", close(1006), "1002"),
        ("7.4.2 a close with code 999", close(999), "1002"),
        ("7.4.2 a close with code 1016, undefined", close(1016), "1002"),
        ("7.4.2 a close with code 2999, undefined", close(2999), "1002"),
        ("8.1 text that is not UTF-8", frame(0x81, &[0xff, 0xfe]), "1007"),
        ("8.1 an overlong character", frame(0x81, &[0xc0, 0xaf]), "1007"),
        ("8.1 half of a surrogate pair", frame(0x81, &[0xed, 0xa0, 0x80]), "1007"),
        ("8.1 over U+10FFFF", frame(0x81, &[0xf4, 0x90, 0x80, 0x80]), "1007"),
        ("8.1 cut in the middle of a character", frame(0x81, &[b'"', 0xe2, 0x82]), "1007"),
        ("8.1 a second part that breaks a character", in_two_parts(&[0xe2, 0x82], b"x"), "1007"),
        ("8.1 a reason that is not UTF-8", frame(0x88, &[0x03, 0xe8, 0xff]), "1007"),
        ("7.4.1 a message too big", frame(0x81, &[b' '; 20_000]), "1009"),
        ("7.4.1 parts that are too big together", in_two_parts(&[b' '; 10_000], &[b' '; 10_000]), "1009"),
        ("7.4.1 a binary message", frame(0x82, b"binary"), "1003"),
    ];
    for (case, bytes, code) in &cases {
        let mut connection = PlayerConnection::connect(rig.address(0), SECOND).expect("connects");
        connection.stream().write_all(bytes).expect("written");
        let close_reason = read_close_reason(&mut connection);
        assert!(close_reason.contains(code), "{case}: {close_reason}");
    }
    // What the RFC allows is accepted: fragments, a ping between them, a character split over two, an unsolicited pong.
    let mut connection = PlayerConnection::connect(rig.address(0), SECOND).expect("connects");
    let call = r#"{"jsonrpc":"2.0","id":"\u20ac €","method":"session.status","params":{"session":"x"}}"#;
    let at = call.find('€').expect("there") + 1;
    let parts = [
        frame(0x8a, b"unasked"),
        frame(0x01, &call.as_bytes()[..at]),
        frame(0x89, b"ping"),
        frame(0x00, b""),
        frame(0x80, &call.as_bytes()[at..]),
    ];
    connection.stream().write_all(&parts.concat()).expect("written");
    let answer = connection.next(Instant::now() + SECOND).expect("answered");
    assert_eq!((&answer["id"], &answer["error"]["code"]), (&json!("€ €"), &json!(-32003)));
    for code in [1000, 1001, 3000, 4999] {
        let mut connection = PlayerConnection::connect(rig.address(0), SECOND).expect("connects");
        connection.stream().write_all(&close(code)).expect("written");
        let close_reason = read_close_reason(&mut connection);
        assert!(close_reason.contains(&code.to_string()), "a valid close code is echoed: {close_reason}");
    }
    println!("{} violations of RFC 6455, each with its close code", cases.len());
    playing.close();
    rig.shut_down_and_judge();
}

#[test]
fn an_invalid_handshake_is_refused_with_a_reason_and_a_slow_one_is_closed() {
    let rig = Rig::start(script(&script_head(1, 5), "handshake-ms 300"));
    let send_raw = |text: &str| {
        let mut stream = TcpStream::connect(rig.address(0)).expect("connects");
        stream.write_all(text.as_bytes()).expect("written");
        let mut reply = String::new();
        let _ = stream.set_read_timeout(Some(SECOND * 2));
        let _ = stream.read_to_string(&mut reply);
        reply
    };
    let upgrade = "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    let reply = send_raw(upgrade);
    assert!(reply.starts_with("HTTP/1.1 400") && reply.contains("offer the sub-protocol"), "{reply}");
    send_raw("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    send_raw("\x16\x03\x01");
    let begun = Instant::now();
    assert_eq!(send_raw("GET / HTTP/1.1\r\n"), "", "the request head is never completed");
    assert!(begun.elapsed() < SECOND, "and the front does not wait for it");
    wait_until(SECOND, || rig.front(0).status().clients == 0, || "a client is left".into());
    rig.shut_down_and_judge();
}

#[test]
fn a_flood_of_calls_is_rate_limited_and_does_not_delay_others() {
    let rig = Rig::start(script(&script_head(2, 5), "calls-per-s 50; calls-at-once 20; calls-surplus 60"));
    let mut flooding = PlayerConnection::connect(rig.address(0), SECOND).expect("connects");
    for _ in 0..60 {
        flooding.call("session.status", &json!({"session": "x"})).expect("written");
    }
    let mut rate_limited = 0;
    let begun = Instant::now();
    for _ in 0..60 {
        let answer = flooding.next(Instant::now() + SECOND).expect("each is answered");
        rate_limited += usize::from(answer["error"]["code"] == -32004);
    }
    // 20 at once and 50 a second: each call above the limit is refused at once, and the next one is read when the rate
    // allows it.
    assert!((15..=40).contains(&rate_limited), "{rate_limited} of 60 are rate-limited");
    assert!(begun.elapsed() > Duration::from_millis(300), "and calls are read at the allowed rate");
    let mut other = Viewer::connect(&rig, 0, "other");
    assert!(other.open("title-0", "clip", 1000).is_plays());
    other.close();
    for _ in 0..200 {
        if flooding.call("session.status", &json!({"session": "x"})).is_err() {
            break;
        }
    }
    // Calls that release resources are accepted meanwhile: the answer is not -32004.
    let id = flooding.call("session.close", &json!({"session": "x"})).expect("written");
    let closed = flooding.response(id, Instant::now() + SECOND * 10, &mut Vec::new()).expect("answered");
    assert_eq!(closed["error"]["code"], -32003, "{closed}");
    let batch = json!({"jsonrpc": "2.0", "id": 1, "method": "session.status", "params": {"session": "x"}});
    flooding.send(&Value::from(vec![batch; 64]).to_string()).expect("written");
    wait_until(
        SECOND * 2,
        || matches!(flooding.next(Instant::now() + SECOND), Err(ReceiveError::Closed(_))),
        || "the connection stays open".into(),
    );
    rig.shut_down_and_judge();
}

/// Prefix of answers that are sent one byte at a time; not sent itself.
const SLOW_PREFIX: &[u8] = b"DRIP ";

/// A box and a list in one, which answer each request as the test says.
struct ScriptedBox {
    address: SocketAddr,
}

/// A list with box 0 at this address, and with a second entry for the same address if `also` is given.
fn box_list(address: SocketAddr, also: Option<u32>) -> Vec<u8> {
    let now = std::time::UNIX_EPOCH.elapsed().expect("a clock").as_millis() as u64;
    let entry = |id: u32| json!({"box": id, "address": address.to_string(), "cell": 0, "state": "ready"});
    let lines: Vec<Value> = std::iter::once(0).chain(also).map(entry).collect();
    let boxes = json!({"revision": 1, "as_of_ms": now + 100, "boxes": lines});
    let event = salttally_standin::http::server_sent_event("whole", &boxes);
    [salttally_standin::http::EVENT_STREAM_HEAD, event.as_bytes()].concat()
}

impl ScriptedBox {
    fn start(answer: impl Fn(&str) -> Option<Vec<u8>> + Send + Sync + 'static) -> ScriptedBox {
        ScriptedBox::start_with_address(move |_, request| answer(request))
    }

    fn start_with_address(
        answer: impl Fn(SocketAddr, &str) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) -> ScriptedBox {
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
                            "/boxes" => Some(answer(&text).unwrap_or_else(|| box_list(address, None))),
                            _ => answer(&text),
                        };
                        let Some(bytes) = bytes else { return };
                        let written = match bytes.strip_prefix(SLOW_PREFIX) {
                            None => stream.write_all(&bytes),
                            Some(slow) => slow.iter().try_for_each(|byte| {
                                std::thread::sleep(Duration::from_millis(20));
                                stream.write_all(&[*byte])
                            }),
                        };
                        if written.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        ScriptedBox { address }
    }

    /// Starts a front that knows only this box, and returns it with the answer to a paid session.
    fn open_paid(&self) -> (Front, String) {
        self.open_paid_with_limits("")
    }

    /// Like `open_paid`, with these limits.
    fn open_paid_with_limits(&self, limits: &str) -> (Front, String) {
        let text = format!(
            r#"
            front "f0" seed=1 {{ listen "127.0.0.1:0"; }}
            box-list "{}"
            fleet cells=1 link-kb=5000 links-kb=5000 {{ kind-streams 20; reports "link"; }}
            ladder {{ rung kb=200 worth=0.2; rung kb=500 worth=0.6; }}
            class "paid" aim-ms=500 effect="once"
            title "a" first-cell=0 cells=1
            rules {{ drain-grace-ms 250; warm-up-ms 100; cold-from 0.4; fall-multiple 2.0; fall-ms 1000; }}
            limits {{ {limits} }}
            "#,
            self.address
        );
        let front = Front::start(Settings::parse("crooked.kdl", &text).expect("holds")).expect("starts");
        std::thread::sleep(Duration::from_millis(200));
        let request = SessionRequest {
            viewer: "v".into(),
            title: "a".into(),
            class: "paid".into(),
            top_rung: 1,
            patience_ms: 1000,
            ..SessionRequest::default()
        };
        let session = front.open(&request).expect("accepted");
        let answer = format!("{:?}", session.answer(SECOND * 2).expect("answered"));
        (front, answer)
    }
}

const EMPTY_EVENT_STREAM: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: held\ndata: {\"sessions\":[]}\n\n";

#[test]
fn a_paid_set_up_with_an_invalid_answer_fails_and_is_not_repeated() {
    for answer in [
        &b"HTTP/1.1 201 Created\r\nContent-Length: 500\r\n\r\n{\"half\""[..],
        b"HTTP/1.1 201 Created\r\nContent-Length: 50\r\n\r\n{\"session\":\"other\",\"attempt\":0,\"load\":{\"link\":0.1}}",
        b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n{}",
        b"SSH-2.0-OpenSSH\r\n",
        // A redirect is not followed: its target has received no set-up.
        b"HTTP/1.1 307 Temporary Redirect\r\nLocation: http://127.0.0.1:1/sessions\r\nContent-Length: 2\r\n\r\n{}",
        // One byte at a time: the deadline holds for the whole exchange and not for each read.
        b"DRIP HTTP/1.1 201 Created\r\nContent-Length: 60\r\nX: a long line that is not whole before the aim is over\r\n",
        b"HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"",
    ] {
        let scripted_box = ScriptedBox::start(move |request| match request {
            _ if request.starts_with("GET /boxes") => None,
            _ if request.starts_with("GET /events") => Some(EMPTY_EVENT_STREAM.to_vec()),
            _ if request.starts_with("POST") && answer.is_empty() => None,
            _ => Some(answer.to_vec()),
        });
        let (front, answer) = scripted_box.open_paid();
        assert!(answer.starts_with("Failed"), "{answer}");
        let counts = front.status().counts;
        assert_eq!((counts.attempts, counts.failed), (1, 1), "{counts:?}");
        front.shut_down(SECOND);
    }
}

#[test]
fn an_invalid_event_stream_is_closed_and_the_front_keeps_serving() {
    for stream in [
        &b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"[..],
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: held\ndata: {\"sessions\": 7}\n\n",
        b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n\r\n<html>",
        b"\x00\xff\x00\xff\r\n\r\n",
    ] {
        let scripted_box = ScriptedBox::start(move |request| {
            if request.starts_with("GET /events") {
                return Some(stream.to_vec());
            }
            valid_answer(request)
        });
        let (front, answer) = scripted_box.open_paid();
        assert!(answer.starts_with("Plays"), "{answer}");
        front.shut_down(SECOND * 5);
    }
}

#[test]
fn an_endless_event_stream_is_closed_and_its_session_plays_on() {
    let link_event = b"event: link\ndata: {\"session\":\"f0-0\",\"link\":0.5}\n\n".repeat(20_000);
    let stream_requests = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let streams = std::sync::Arc::clone(&stream_requests);
    let scripted_box = ScriptedBox::start(move |request| {
        if request.starts_with("GET /events") {
            streams.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            return Some([EMPTY_EVENT_STREAM, &link_event].concat());
        }
        valid_answer(request)
    });
    let (front, answer) = scripted_box.open_paid_with_limits("box-events-at-once 1000; box-events-per-s 100");
    assert!(answer.starts_with("Plays"), "{answer}");
    wait_until(SECOND, || front.status().counts.faults >= 1, || "the event stream is not closed".into());
    std::thread::sleep(Duration::from_millis(500));
    let tries = stream_requests.load(std::sync::atomic::Ordering::Relaxed);
    assert!(tries <= 2, "the event stream was opened {tries} times in half a second");
    assert_eq!(front.status().counts.lost, 0);
    front.shut_down(SECOND * 5);
}

#[test]
fn a_list_with_endless_state_changes_of_one_box_does_not_affect_others() {
    // Box 1 appears and disappears 20,000 times, as fast as the list can write. Built beforehand because it takes a while.
    let now = std::time::UNIX_EPOCH.elapsed().expect("a clock").as_millis() as u64 + 10_000;
    let change = |flip: u64| {
        let state = if flip.is_multiple_of(2) { "ready" } else { "gone" };
        let entry = json!({"box": 1, "address": "127.0.0.1:1", "cell": 0, "state": state});
        let change = json!({"revision": 2 + flip, "as_of_ms": now, "boxes": [entry]});
        salttally_standin::http::server_sent_event("changes", &change).into_bytes()
    };
    let flips: Vec<u8> = (0..20_000).flat_map(change).collect();
    let scripted_box =
        ScriptedBox::start_with_address(move |address, request| match request.starts_with("GET /boxes") {
            true => Some([box_list(address, None), flips.clone()].concat()),
            false => valid_answer(request),
        });
    let begun = Instant::now();
    let (front, answer) = scripted_box.open_paid();
    assert!(answer.starts_with("Plays"), "{answer}");
    assert!(begun.elapsed() < SECOND * 2, "{:?}", begun.elapsed());
    // An event stream may be opened each time the box becomes ready; only few are.
    let faults = front.status();
    assert!(faults.connections.iter().sum::<usize>() < 20, "{faults:?}");
    front.shut_down(SECOND * 5);
}

/// The answer of a correct box.
fn valid_answer(request: &str) -> Option<Vec<u8>> {
    if request.starts_with("GET /events") {
        return Some(EMPTY_EVENT_STREAM.to_vec());
    }
    let body: Value = serde_json::from_str(request.splitn(3, ' ').nth(2)?).ok()?;
    let answer = json!({"session": body["session"], "attempt": body["attempt"], "load": {"link": 0.1}});
    Some(salttally_standin::http::response(201, &answer))
}

#[test]
fn a_contradictory_list_is_rejected_and_requested_again() {
    for also in [0, 1] {
        let list_requests = std::sync::atomic::AtomicUsize::new(0);
        let scripted_box = ScriptedBox::start_with_address(move |address, request| match request {
            // Invalid once, then valid: the module requests the list again half a second after the loss.
            _ if request.starts_with("GET /boxes") => {
                let first = list_requests.fetch_add(1, std::sync::atomic::Ordering::Relaxed) == 0;
                first.then(|| box_list(address, Some(also)))
            }
            _ => valid_answer(request),
        });
        let (front, answer) = scripted_box.open_paid();
        assert!(answer.starts_with("Refused"), "no box is taken from such a list: {answer}");
        std::thread::sleep(Duration::from_millis(600));
        let request = SessionRequest {
            viewer: "w".into(),
            title: "a".into(),
            class: "paid".into(),
            top_rung: 1,
            patience_ms: 1000,
            ..SessionRequest::default()
        };
        let session = front.open(&request).expect("accepted");
        let answer = format!("{:?}", session.answer(SECOND * 2));
        assert!(answer.starts_with("Some(Plays"), "{answer}");
        drop(session);
        front.shut_down(SECOND * 5);
    }
}
