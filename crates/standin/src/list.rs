//! The box list on a socket: server-sent events, with a lag.

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use salttally_judge::record::Event;
use serde_json::{json, Value};

use crate::http;
use crate::log::Log;

/// State of a box as the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes sessions.
    Ready,
    /// Takes no new ones.
    Draining,
    /// Removed.
    Gone,
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Which box.
    pub id: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone.
    pub zone: u32,
    /// Cell.
    pub cell: u32,
    /// State.
    pub state: State,
    /// Its size, in units of the usual link.
    pub units: f64,
    /// Time of its latest start, us of the day; none if it ran before that.
    pub started: Option<u64>,
}

/// The list and its followers; cheap to clone.
#[derive(Clone, Debug)]
pub struct List(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    log: Log,
    /// Unix time of the start of the day, ms.
    epoch_ms: u64,
    changes: Mutex<Vec<(u64, Line)>>,
    lag: AtomicU64,
    over: AtomicBool,
    conns: Mutex<Vec<TcpStream>>,
    address: SocketAddr,
}

impl List {
    /// Opens the list's door; every follower hears of a change `lag` us after it.
    pub fn start(log: Log, address: SocketAddr, lag: u64) -> io::Result<List> {
        let listener = TcpListener::bind(address)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let list = List(Arc::new(Inner {
            epoch_ms: (unix.as_millis() as u64).saturating_sub(log.now() / 1000),
            log,
            changes: Mutex::default(),
            lag: AtomicU64::new(lag),
            over: AtomicBool::new(false),
            conns: Mutex::default(),
            address: listener.local_addr()?,
        }));
        let serving = list.clone();
        thread::Builder::new().name("list".into()).stack_size(96 * 1024).spawn(move || {
            for stream in listener.incoming() {
                if serving.0.over.load(Ordering::Acquire) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(other) = stream.try_clone() {
                    serving.0.conns.lock().unwrap_or_else(PoisonError::into_inner).push(other);
                }
                let list = serving.clone();
                let follow = move || drop(list.follow(stream));
                let _ = thread::Builder::new().name("list".into()).stack_size(96 * 1024).spawn(follow);
            }
        })?;
        Ok(list)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Changes a line.
    pub fn set(&self, line: Line) {
        let now = self.0.log.now();
        self.0.changes.lock().unwrap_or_else(PoisonError::into_inner).push((now, line));
    }

    /// The latest line of a box.
    pub fn line(&self, id: u32) -> Option<Line> {
        let changes = self.0.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.iter().rev().find(|(_, line)| line.id == id).map(|(_, line)| line.clone())
    }

    /// Sets the lag, us.
    pub fn lag(&self, lag: u64) {
        self.0.lag.store(lag, Ordering::Relaxed);
    }

    /// Closes all connections of followers, once.
    pub fn drop_followers(&self) {
        for conn in self.0.conns.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
    }

    /// Ends it.
    pub fn stop(&self) {
        self.0.over.store(true, Ordering::Release);
        self.drop_followers();
        let _ = TcpStream::connect_timeout(&self.0.address, Duration::from_millis(200));
    }

    fn follow(&self, mut stream: TcpStream) -> io::Result<()> {
        let request = http::read(&mut stream, &mut Vec::new())?;
        let front = request.map(|request| request.front).unwrap_or_default();
        http::write(&mut stream, http::EVENTS)?;
        let (mut sent, mut revision) = (0, 0u64);
        let mut beat = 0;
        while !self.0.over.load(Ordering::Acquire) {
            let now = self.0.log.now();
            let lag = self.0.lag.load(Ordering::Relaxed);
            // What the list says, it says of that time.
            let as_of = self.0.epoch_ms + now.saturating_sub(lag) / 1000;
            let news: Vec<Line> = {
                let changes = self.0.changes.lock().unwrap_or_else(PoisonError::into_inner);
                // What was so at the start of the day is known at once.
                let due = |at: u64| at + lag <= now || at < 1_000_000;
                let until = changes.iter().position(|(at, _)| !due(*at)).unwrap_or(changes.len());
                let news = changes.get(sent..until).unwrap_or_default();
                let news = news.iter().map(|(_, line)| line.clone()).collect();
                sent = sent.max(until);
                news
            };
            let first = beat == 0;
            if first || !news.is_empty() {
                let mut latest: BTreeMap<u32, Line> = BTreeMap::new();
                for line in news {
                    latest.insert(line.id, line);
                }
                if first {
                    latest.retain(|_, line| line.state != State::Gone);
                }
                for line in latest.values() {
                    let (front, server) = (front.clone(), line.id);
                    self.0.log.write(match line.state {
                        State::Ready => Event::ReadyTold { front, server },
                        State::Draining | State::Gone => Event::DrainTold { front, server },
                    });
                }
                let boxes: Vec<Value> = latest.values().map(|line| self.json(line)).collect();
                let name = if first { "whole" } else { "changes" };
                revision += 1;
                let data = json!({"revision": revision, "as_of_ms": as_of, "boxes": boxes});
                http::write(&mut stream, http::event(name, &data).as_bytes())?;
                beat = now.max(1);
            } else if now > beat + 200_000 {
                let data = json!({"revision": revision, "as_of_ms": as_of});
                http::write(&mut stream, http::event("beat", &data).as_bytes())?;
                beat = now;
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn json(&self, line: &Line) -> Value {
        let state = match line.state {
            State::Ready => "ready",
            State::Draining => "draining",
            State::Gone => "gone",
        };
        let mut value = json!({
            "box": line.id, "address": line.address.to_string(), "zone": line.zone, "cell": line.cell,
            "state": state, "units": line.units
        });
        if let Some(started) = line.started {
            value["started_ms"] = Value::from(self.0.epoch_ms + started / 1000);
        }
        value
    }
}
