//! Client of media boxes: HTTP/1.1 over keep-alive connections, and one event stream for each box. Described
//! in `docs/box-api.md`.
//!
//! [`core`] limits what one box may cost; [`http`] and [`events`] parse bytes without I/O; [`wire`] encodes
//! and parses bodies. Each connection and each stream has a thread of its own that carries out what the
//! engine orders and reports the result.

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

/// Connections and event streams to boxes.
pub struct BoxConnections {
    settings: Arc<Settings>,
    engine: Sender<EngineMessage>,
    connections: BTreeMap<ConnId, Connection>,
    streams: BTreeMap<u64, Arc<Socket>>,
    clock: Clock,
}

struct Connection {
    socket: Arc<Socket>,
    requests: Sender<(BoxRequest, WriteAuthority)>,
}

impl BoxConnections {
    /// No connections.
    pub fn new(settings: Arc<Settings>, engine: Sender<EngineMessage>, clock: Clock) -> BoxConnections {
        BoxConnections { settings, engine, connections: BTreeMap::new(), streams: BTreeMap::new(), clock }
    }

    /// Whether one more thread is allowed.
    fn has_capacity(&self) -> bool {
        self.connections.len() + self.streams.len() < self.settings.io.max_box_connections
    }

    /// Starts to connect.
    pub fn dial(&mut self, id: ConnId, server: ServerId, address: SocketAddr) {
        if !self.has_capacity() {
            return link::report_dial_without_thread(&self.engine, id);
        }
        let (requests, inbox) = crossbeam_channel::unbounded();
        let socket = Arc::new(Socket::default());
        let connection = link::RequestConnection {
            id,
            server,
            address,
            settings: Arc::clone(&self.settings),
            engine: self.engine.clone(),
            socket: Arc::clone(&socket),
        };
        self.connections.insert(id, Connection { socket, requests });
        spawn("box", move || connection.run(&inbox), {
            let engine = self.engine.clone();
            move || link::report_dial_without_thread(&engine, id)
        });
    }

    /// Sends a request on an open connection, with the lease and epoch that it is sent under.
    pub fn send(&mut self, id: ConnId, request: &BoxRequest, authority: WriteAuthority) {
        if let Some(connection) = self.connections.get(&id) {
            // If the thread has ended, it has reported that.
            let _ = connection.requests.send((request.clone(), authority));
        }
    }

    /// Closes a connection.
    pub fn hang_up(&mut self, id: ConnId) {
        if let Some(connection) = self.connections.remove(&id) {
            connection.socket.close();
        }
    }

    /// Opens an event stream.
    pub fn open_event_stream(&mut self, server: ServerId, number: u64, address: SocketAddr) {
        if !self.has_capacity() {
            return link::report_stream_without_thread(&self.engine, server, number);
        }
        let socket = Arc::new(Socket::default());
        let stream = link::EventStream {
            server,
            number,
            address,
            settings: Arc::clone(&self.settings),
            engine: self.engine.clone(),
            socket: Arc::clone(&socket),
            clock: self.clock,
        };
        self.streams.insert(number, socket);
        spawn("events", move || stream.run(), {
            let engine = self.engine.clone();
            move || link::report_stream_without_thread(&engine, server, number)
        });
    }

    /// Closes an event stream.
    pub fn close_event_stream(&mut self, number: u64) {
        if let Some(socket) = self.streams.remove(&number) {
            socket.close();
        }
    }

    /// Closes all connections and event streams.
    pub fn close_all(&mut self) {
        for connection in std::mem::take(&mut self.connections).into_values() {
            connection.socket.close();
        }
        for socket in std::mem::take(&mut self.streams).into_values() {
            socket.close();
        }
    }
}
