//! Client of media boxes: HTTP/1.1 with keep-alive connections, and one event stream for each box. Described in
//! `docs/box-api.md`.
//!
//! [`core`] decides what one box may cost; [`http`] and [`events`] read bytes and know no socket; [`wire`] is what the bodies say. Each connection and
//! each stream has a thread of its own that does what the ledger says and tells what came of it.

pub mod core;
mod link;
pub mod wire;

pub use crate::common::{events, http};

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam_channel::Sender;
use salttally::interface::ServerId;

use crate::clock::Clock;
use crate::common::messages::EngineMessage;
use crate::common::socket::{spawn, Socket};
use crate::core::{BoxRequest, ConnId, WriteAuthority};
use crate::settings::Settings;

/// Connections and streams to boxes.
pub struct Boxes {
    settings: Arc<Settings>,
    engine: Sender<EngineMessage>,
    conns: BTreeMap<ConnId, Conn>,
    streams: BTreeMap<u64, Arc<Socket>>,
    clock: Clock,
}

struct Conn {
    socket: Arc<Socket>,
    requests: Sender<(BoxRequest, WriteAuthority)>,
}

impl Boxes {
    /// No connection yet.
    pub fn new(settings: Arc<Settings>, engine: Sender<EngineMessage>, clock: Clock) -> Boxes {
        Boxes { settings, engine, conns: BTreeMap::new(), streams: BTreeMap::new(), clock }
    }

    /// Whether there is room for one more thread.
    fn has_room(&self) -> bool {
        self.conns.len() + self.streams.len() < self.settings.edges.to_boxes
    }

    /// Begins to connect.
    pub fn dial(&mut self, id: ConnId, server: ServerId, address: SocketAddr) {
        if !self.has_room() {
            return link::no_thread(&self.engine, id);
        }
        let (requests, inbox) = crossbeam_channel::unbounded();
        let socket = Arc::new(Socket::default());
        let conn = link::Exchanger {
            id,
            server,
            address,
            settings: Arc::clone(&self.settings),
            engine: self.engine.clone(),
            socket: Arc::clone(&socket),
        };
        self.conns.insert(id, Conn { socket, requests });
        spawn("box", move || conn.run(&inbox), {
            let engine = self.engine.clone();
            move || link::no_thread(&engine, id)
        });
    }

    /// Sends a request on a connection that stands, by this right.
    pub fn exchange(&mut self, id: ConnId, request: &BoxRequest, writ: WriteAuthority) {
        if let Some(conn) = self.conns.get(&id) {
            // A thread that has ended has told so.
            let _ = conn.requests.send((request.clone(), writ));
        }
    }

    /// Closes a connection.
    pub fn hang(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.remove(&id) {
            conn.socket.close();
        }
    }

    /// Opens an event stream.
    pub fn listen(&mut self, server: ServerId, number: u64, address: SocketAddr) {
        if !self.has_room() {
            return link::no_stream(&self.engine, server, number);
        }
        let socket = Arc::new(Socket::default());
        let listener = link::Listener {
            server,
            number,
            address,
            settings: Arc::clone(&self.settings),
            engine: self.engine.clone(),
            socket: Arc::clone(&socket),
            clock: self.clock,
        };
        self.streams.insert(number, socket);
        spawn("events", move || listener.run(), {
            let engine = self.engine.clone();
            move || link::no_stream(&engine, server, number)
        });
    }

    /// Closes an event stream.
    pub fn stop_listening(&mut self, number: u64) {
        if let Some(socket) = self.streams.remove(&number) {
            socket.close();
        }
    }

    /// Closes everything.
    pub fn die(&mut self) {
        for conn in std::mem::take(&mut self.conns).into_values() {
            conn.socket.close();
        }
        for socket in std::mem::take(&mut self.streams).into_values() {
            socket.close();
        }
    }
}
