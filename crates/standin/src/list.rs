//! The box list on a socket: server-sent events with a configurable lag.

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

/// State of a box in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// Accepts new sessions.
    Ready,
    /// Accepts no new sessions.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// Number of the box.
    pub id: u32,
    /// Listening address of the box.
    pub address: SocketAddr,
    /// Zone.
    pub zone: u32,
    /// Cell.
    pub cell: u32,
    /// State.
    pub state: ListState,
    /// Size of the box, in units of the usual link.
    pub size_units: f64,
    /// Time of the latest start, us since the day began; `None` if the box ran before the day.
    pub started: Option<u64>,
}

/// The list and its followers; clones share state.
#[derive(Clone, Debug)]
pub struct BoxList(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    log: Log,
    /// Unix time of the start of the day, ms.
    start_unix_ms: u64,
    changes: Mutex<Vec<(u64, ListEntry)>>,
    lag: AtomicU64,
    stopped: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    address: SocketAddr,
}

impl BoxList {
    /// Starts listening. Followers receive each change `lag` us after it was made.
    pub fn start(log: Log, address: SocketAddr, lag: u64) -> io::Result<BoxList> {
        let listener = TcpListener::bind(address)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let list = BoxList(Arc::new(Inner {
            start_unix_ms: (unix.as_millis() as u64).saturating_sub(log.now() / 1000),
            log,
            changes: Mutex::default(),
            lag: AtomicU64::new(lag),
            stopped: AtomicBool::new(false),
            connections: Mutex::default(),
            address: listener.local_addr()?,
        }));
        let serving = list.clone();
        thread::Builder::new().name("list".into()).stack_size(96 * 1024).spawn(move || {
            for stream in listener.incoming() {
                if serving.0.stopped.load(Ordering::Acquire) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(second_handle) = stream.try_clone() {
                    serving.0.connections.lock().unwrap_or_else(PoisonError::into_inner).push(second_handle);
                }
                let list = serving.clone();
                let serve = move || drop(list.serve_follower(stream));
                let _ = thread::Builder::new().name("list".into()).stack_size(96 * 1024).spawn(serve);
            }
        })?;
        Ok(list)
    }

    /// Listening address.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Adds or changes an entry.
    pub fn set(&self, entry: ListEntry) {
        let now = self.0.log.now();
        self.0.changes.lock().unwrap_or_else(PoisonError::into_inner).push((now, entry));
    }

    /// Latest entry of a box.
    pub fn entry(&self, id: u32) -> Option<ListEntry> {
        let changes = self.0.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.iter().rev().find(|(_, entry)| entry.id == id).map(|(_, entry)| entry.clone())
    }

    /// Sets the lag, us.
    pub fn set_lag(&self, lag: u64) {
        self.0.lag.store(lag, Ordering::Relaxed);
    }

    /// Closes all current connections of followers.
    pub fn drop_followers(&self) {
        for conn in self.0.connections.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
    }

    /// Stops the list.
    pub fn stop(&self) {
        self.0.stopped.store(true, Ordering::Release);
        self.drop_followers();
        let _ = TcpStream::connect_timeout(&self.0.address, Duration::from_millis(200));
    }

    fn serve_follower(&self, mut stream: TcpStream) -> io::Result<()> {
        let request = http::read(&mut stream, &mut Vec::new())?;
        let front = request.map(|request| request.front).unwrap_or_default();
        http::write(&mut stream, http::EVENT_STREAM_HEAD)?;
        let (mut sent, mut revision) = (0, 0u64);
        let mut last_written = 0;
        while !self.0.stopped.load(Ordering::Acquire) {
            let now = self.0.log.now();
            let lag = self.0.lag.load(Ordering::Relaxed);
            // Unix time that the content of the list refers to, ms.
            let as_of = self.0.start_unix_ms + now.saturating_sub(lag) / 1000;
            let due_changes: Vec<ListEntry> = {
                let changes = self.0.changes.lock().unwrap_or_else(PoisonError::into_inner);
                // Entries made in the first second of the day are sent without lag.
                let due = |at: u64| at + lag <= now || at < 1_000_000;
                let until = changes.iter().position(|(at, _)| !due(*at)).unwrap_or(changes.len());
                let due_changes = changes.get(sent..until).unwrap_or_default();
                let due_changes = due_changes.iter().map(|(_, entry)| entry.clone()).collect();
                sent = sent.max(until);
                due_changes
            };
            let is_first = last_written == 0;
            if is_first || !due_changes.is_empty() {
                let mut latest: BTreeMap<u32, ListEntry> = BTreeMap::new();
                for entry in due_changes {
                    latest.insert(entry.id, entry);
                }
                if is_first {
                    latest.retain(|_, entry| entry.state != ListState::Gone);
                }
                for entry in latest.values() {
                    let (front, server) = (front.clone(), entry.id);
                    self.0.log.write(match entry.state {
                        ListState::Ready => Event::ReadyTold { front, server },
                        ListState::Draining | ListState::Gone => Event::DrainTold { front, server },
                    });
                }
                let boxes: Vec<Value> = latest.values().map(|entry| self.entry_json(entry)).collect();
                let name = if is_first { "whole" } else { "changes" };
                revision += 1;
                let data = json!({"revision": revision, "as_of_ms": as_of, "boxes": boxes});
                http::write(&mut stream, http::server_sent_event(name, &data).as_bytes())?;
                last_written = now.max(1);
            } else if now > last_written + 200_000 {
                let data = json!({"revision": revision, "as_of_ms": as_of});
                http::write(&mut stream, http::server_sent_event("beat", &data).as_bytes())?;
                last_written = now;
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn entry_json(&self, entry: &ListEntry) -> Value {
        let state = match entry.state {
            ListState::Ready => "ready",
            ListState::Draining => "draining",
            ListState::Gone => "gone",
        };
        let mut value = json!({
            "box": entry.id, "address": entry.address.to_string(), "zone": entry.zone, "cell": entry.cell,
            "state": state, "units": entry.size_units
        });
        if let Some(started) = entry.started {
            value["started_ms"] = Value::from(self.0.start_unix_ms + started / 1000);
        }
        value
    }
}
