//! Measures a front's answer time against bare WebSocket and HTTP round trips, all in one run on one loopback.
//!
//! `cargo bench -p salttally-daemon --bench front` prints the tables of docs/measurements/front.md. The daemon runs as a
//! separate process, so that its memory and threads can be measured; boxes and players are in this process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use salttally_settings::Document;
use salttally_standin::day::Day;
use salttally_standin::http;
use salttally_standin::players::PlayerConnection;
use salttally_standin::script::Script;
use serde_json::{json, Value};

const SCRIPT: &str = r#"
day seconds=60 sessions=1
fronts 1
boxes 8 places=6000 link-kb=1000000000 set-up-ms=0 report-ms=100
titles 8 holders=8
viewers "clip" share=1 length-s=1 patience-ms=2000
terms {
    ladder { rung kb=100 worth=0.2; rung kb=200 worth=0.5; rung kb=400 worth=1.0; }
    class "clip" aim-ms=1000
    rules { drain-grace-ms 250; warm-up-ms 2000; cold-from 0.4; fall-multiple 2.0; fall-ms 500; }
    limits { calls-per-s 10000000; calls-at-once 10000000; opens-per-player 100000; }
}
"#;

fn main() {
    // `cargo test` runs benchmarks with this flag, in which case nothing is measured.
    if std::env::args().any(|argument| argument == "--test") {
        return;
    }
    let rounds = 20_000;
    println!("## Answer time, us ({rounds} rounds one after another, 8 boxes, set-up of 0 ms)\n");
    println!("| what | p50 | p99 | p99.9 |\n| --- | --- | --- | --- |");
    let socket = print_row("bare WebSocket round trip, 180 bytes", &measure_bare_websocket(rounds));
    let request = print_row("bare HTTP/1.1 round trip, 180 bytes, kept alive", &measure_bare_http(rounds));
    let front = FrontProcess::start();
    let opened = print_row("session.open until its answer", &measure_opens(&front, rounds));
    println!(
        "\nAnswer over the two bare round trips together: {:.2} at p50, {:.2} at p99.\n",
        opened.0 as f64 / (socket.0 + request.0) as f64,
        opened.1 as f64 / (socket.1 + request.1) as f64
    );
    println!("## Sessions opened and closed a second\n\n| players at once | sessions a second | p50 us | p99 us |\n| --- | --- | --- | --- |");
    for players in [1, 8, 32] {
        measure_rate(&front, players, Duration::from_secs(3));
    }
    println!();
    measure_memory(&front);
}

/// Prints a table row, and returns the 50th and the 99th percentile in ns.
fn print_row(name: &str, times: &Histogram<u64>) -> (u64, u64) {
    let value_at = |share: f64| times.value_at_quantile(share);
    let us = |share: f64| value_at(share) as f64 / 1000.0;
    println!("| {name} | {:.1} | {:.1} | {:.1} |", us(0.5), us(0.99), us(0.999));
    (value_at(0.5), value_at(0.99))
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits")
}

fn record_elapsed(times: &mut Histogram<u64>, begun: Instant) {
    let _ = times.record(begun.elapsed().as_nanos() as u64);
}

fn measure_bare_websocket(rounds: usize) -> Histogram<u64> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a peer");
        stream.set_nodelay(true).expect("a socket");
        #[allow(clippy::result_large_err)]
        let select_protocol =
            |request: &tungstenite::handshake::server::Request,
             mut response: tungstenite::handshake::server::Response| {
                let offered = request.headers()["Sec-WebSocket-Protocol"].clone();
                response.headers_mut().insert("Sec-WebSocket-Protocol", offered);
                Ok(response)
            };
        let mut socket = tungstenite::accept_hdr(stream, select_protocol).expect("a handshake");
        while let Ok(message) = socket.read() {
            if message.is_text() && socket.send(message).is_err() {
                return;
            }
        }
    });
    let mut connection = PlayerConnection::connect(address, Duration::from_secs(2)).expect("connects");
    let text = json!({"id": 1, "pad": "x".repeat(160)}).to_string();
    let mut times = histogram();
    for round in 0..rounds + 500 {
        let begun = Instant::now();
        connection.send(&text).expect("sent");
        connection.next(begun + Duration::from_secs(2)).expect("echoed");
        if round >= 500 {
            record_elapsed(&mut times, begun);
        }
    }
    times
}

fn measure_bare_http(rounds: usize) -> Histogram<u64> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a peer");
        stream.set_nodelay(true).expect("a socket");
        let mut buffer = Vec::new();
        let answer = http::response(200, &json!({"pad": "x".repeat(60)}));
        while let Ok(Some(_)) = http::read(&mut stream, &mut buffer) {
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    });
    let mut stream = TcpStream::connect(address).expect("connects");
    stream.set_nodelay(true).expect("a socket");
    let body = "x".repeat(90);
    let request =
        format!("POST /sessions HTTP/1.1\r\nHost: box\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let mut buffer = [0; 2048];
    let mut times = histogram();
    for round in 0..rounds + 500 {
        let begun = Instant::now();
        stream.write_all(request.as_bytes()).expect("sent");
        assert!(stream.read(&mut buffer).expect("answered") > 0);
        if round >= 500 {
            record_elapsed(&mut times, begun);
        }
    }
    times
}

/// A daemon process with its boxes.
struct FrontProcess {
    day: Day,
    child: Child,
    address: SocketAddr,
}

impl FrontProcess {
    fn start() -> FrontProcess {
        let document = Document::parse("bench.kdl", SCRIPT).expect("KDL");
        let day = Day::start(Script::read(&document).expect("a script")).expect("stand-ins start");
        let config = std::env::temp_dir().join(format!("salttally-bench-{}.kdl", std::process::id()));
        std::fs::write(&config, day.settings(0)).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_salttallyd"))
            .arg("--config")
            .arg(&config)
            .args(["--log-level", "error"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("it listens");
        thread::sleep(Duration::from_millis(500));
        let address = day.front_address(0);
        FrontProcess { day, child, address }
    }

    /// A number of `/proc/PID/status`; 0 if it cannot be read.
    fn status(&self, key: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(key)).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

impl Drop for FrontProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.day.stop();
    }
}

fn open_params(viewer: usize) -> Value {
    json!({
        "viewer": format!("v-{viewer}"), "title": format!("title-{}", viewer % 8), "class": "clip",
        "top_rung": 2, "patience_ms": 2000
    })
}

fn open_session(connection: &mut PlayerConnection, viewer: usize) -> Option<String> {
    let id = connection.call("session.open", &open_params(viewer)).ok()?;
    let answer = connection.response(id, Instant::now() + Duration::from_secs(3), &mut Vec::new()).ok()?;
    answer["result"]["session"].as_str().map(str::to_owned)
}

fn close_session(connection: &mut PlayerConnection, session: &str) {
    if let Ok(id) = connection.call("session.close", &json!({"session": session})) {
        let _ = connection.response(id, Instant::now() + Duration::from_secs(3), &mut Vec::new());
    }
}

fn measure_opens(front: &FrontProcess, rounds: usize) -> Histogram<u64> {
    let mut connection = PlayerConnection::connect(front.address, Duration::from_secs(2)).expect("connects");
    let mut times = histogram();
    for round in 0..rounds + 500 {
        let begun = Instant::now();
        let session = open_session(&mut connection, round).expect("plays");
        if round >= 500 {
            record_elapsed(&mut times, begun);
        }
        close_session(&mut connection, &session);
    }
    times
}

fn measure_rate(front: &FrontProcess, players: usize, time: Duration) {
    let ready = Arc::new(Barrier::new(players));
    let address = front.address;
    let threads: Vec<_> = (0..players)
        .map(|player| {
            let ready = Arc::clone(&ready);
            thread::spawn(move || {
                let mut connection =
                    PlayerConnection::connect(address, Duration::from_secs(2)).expect("connects");
                ready.wait();
                let (begun, mut times) = (Instant::now(), histogram());
                let mut number = player * 1_000_000;
                while begun.elapsed() < time {
                    let requested = Instant::now();
                    let Some(session) = open_session(&mut connection, number) else { continue };
                    record_elapsed(&mut times, requested);
                    close_session(&mut connection, &session);
                    number += 1;
                }
                times
            })
        })
        .collect();
    let mut all = histogram();
    for thread in threads {
        all.add(thread.join().expect("a player")).expect("same digits");
    }
    let us = |share: f64| all.value_at_quantile(share) as f64 / 1000.0;
    let rate = all.len() as f64 / time.as_secs_f64();
    println!("| {players} | {rate:.0} | {:.0} | {:.0} |", us(0.5), us(0.99));
}

fn measure_memory(front: &FrontProcess) {
    println!("## Memory and threads of the daemon\n\n| what | resident kB each | threads each |\n| --- | --- | --- |");
    let usage = || (front.status("VmRSS:"), front.status("Threads:"));
    let print = |name: &str, before: (u64, u64), after: (u64, u64), count: usize| {
        let each = |before: u64, after: u64| (after as f64 - before as f64) / count as f64;
        println!("| {name} | {:.2} | {:.2} |", each(before.0, after.0), each(before.1, after.1));
    };
    let start = usage();
    let idle = 4_000;
    let connections: Vec<PlayerConnection> = (0..idle)
        .map_while(|_| PlayerConnection::connect(front.address, Duration::from_secs(2)).ok())
        .collect();
    thread::sleep(Duration::from_millis(300));
    print(
        &format!("idle connection ({} of {idle} held)", connections.len()),
        start,
        usage(),
        connections.len(),
    );
    drop(connections);
    thread::sleep(Duration::from_secs(1));
    let before = usage();
    let held = 10_000;
    let mut connection = PlayerConnection::connect(front.address, Duration::from_secs(2)).expect("connects");
    let begun = Instant::now();
    let plays = (0..held).filter(|viewer| open_session(&mut connection, *viewer).is_some()).count();
    let elapsed = begun.elapsed();
    print(&format!("session that plays ({plays} of {held} held, one connection)"), before, usage(), plays);
    println!(
        "\nThe {plays} sessions were opened one after another in {:.1} s; start: {} kB, {} threads.",
        elapsed.as_secs_f64(),
        start.0,
        start.1
    );
    let begun = Instant::now();
    let mut times = histogram();
    for viewer in 0..500 {
        let requested = Instant::now();
        if let Some(session) = open_session(&mut connection, held + viewer) {
            record_elapsed(&mut times, requested);
            close_session(&mut connection, &session);
        }
    }
    println!(
        "With {plays} sessions held, an answer takes p50 {:.0} us, p99 {:.0} us ({:.1} s for 500 opens and closes).",
        times.value_at_quantile(0.5) as f64 / 1000.0,
        times.value_at_quantile(0.99) as f64 / 1000.0,
        begun.elapsed().as_secs_f64()
    );
}
