//! Scripted media servers and a scripted coordinator. They accept, read and write only where a test tells them to, which
//! forces the order of concurrent events.

use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use salttally_platform::wire::{cause, code, kind, Message};
use salttally_standin::platform::{unique_loopback_host, Platform, Viewer};
use serde_json::{json, Value};
use socket2::{Domain, SockRef, Socket, Type};

use super::{Node, SECOND};

/// What the list says of a media server.
#[derive(Clone, Debug)]
pub struct ListRecord {
    pub id: u32,
    /// The address, as the number of a listener.
    pub at: usize,
    pub state: u8,
    pub cell: usize,
    /// In Unix ms; 0 if the list states none.
    pub started_ms: u64,
}

/// Scripted media servers with one cell each, and their coordinator.
pub struct ScriptedServers {
    pub listeners: Vec<TcpListener>,
    coordinator: TcpListener,
    /// The connection on which the list is sent.
    list_connection: Option<TcpStream>,
    /// Number of the last list update.
    list_number: u64,
}

impl ScriptedServers {
    /// Listeners of this many media servers and of the coordinator.
    pub fn new(servers: usize) -> ScriptedServers {
        let host = unique_loopback_host();
        let listener = |_| TcpListener::bind((host, 0)).unwrap();
        let coordinator = listener(0);
        ScriptedServers {
            listeners: (0..servers).map(listener).collect(),
            coordinator,
            list_connection: None,
            list_number: 1,
        }
    }

    /// Address of a media server.
    pub fn address(&self, at: usize) -> SocketAddr {
        self.listeners[at].local_addr().unwrap()
    }

    /// The configuration of the platform's stand-in, with the addresses of the scripted servers.
    pub fn config(&self, listen: SocketAddr, sockets: usize) -> Value {
        let mut config = Platform::start(self.listeners.len()).unwrap().config(listen, sockets);
        for at in 0..self.listeners.len() {
            let host = &mut config["known"]["updates"][0]["endpoints"]["hosts"][at];
            host["dial"] = json!(self.address(at).to_string());
        }
        config["coordinator"] = json!(self.coordinator.local_addr().unwrap().to_string());
        config
    }

    /// Starts a node against these servers, with the configuration edited last by `edit_config`. Returns once the node is
    /// ready and has received the list.
    pub fn start_node(&mut self, name: &str, edit_config: impl FnOnce(&mut Value)) -> Node {
        self.start_node_with_sockets(name, 256, edit_config)
    }

    /// Like `start_node`, with this limit of descriptors.
    pub fn start_node_with_sockets(
        &mut self,
        name: &str,
        sockets: usize,
        edit_config: impl FnOnce(&mut Value),
    ) -> Node {
        let node = Node::start_with_config(name, sockets, |listen| {
            let mut config = self.config(listen, sockets);
            edit_config(&mut config);
            config
        });
        let mut list_connection = accept_within(&self.coordinator, 10 * SECOND);
        list_connection.read_exact(&mut [0; 8]).unwrap();
        self.list_connection = Some(list_connection);
        self.send_list_frame(0, &[]);
        node.wait_ready();
        node
    }

    /// The listener to which the front node connects for the list.
    pub fn coordinator(&self) -> TcpListener {
        self.coordinator.try_clone().unwrap()
    }

    /// Sends the list on this connection from now on.
    pub fn use_list_connection(&mut self, list_connection: TcpStream) {
        self.list_connection = Some(list_connection);
    }

    /// Closes the connection on which the list is sent.
    pub fn drop_list_connection(&mut self) {
        self.list_connection = None;
    }

    /// Writes a configuration with another coordinator and sends SIGHUP.
    pub fn change_coordinator(&mut self, node: &Node, to: SocketAddr) {
        let mut config: Value = serde_json::from_str(&fs::read_to_string(&node.config).unwrap()).unwrap();
        config["coordinator"] = json!(to.to_string());
        fs::write(&node.config, config.to_string()).unwrap();
        node.signal(Signal::HUP);
    }

    /// The connection on which the list is sent.
    pub fn list_connection(&self) -> TcpStream {
        self.list_connection.as_ref().unwrap().try_clone().unwrap()
    }

    /// Sends a frame of the list. Kind 0 carries no news; the records name media servers and their states.
    pub fn send_list_frame(&mut self, kind: u8, records: &[(usize, u8)]) {
        self.list_number += u64::from(kind > 0);
        let bytes = self.list_frame(self.list_number, kind, records);
        self.list_connection().write_all(&bytes).unwrap();
    }

    /// Sends the last changes again, under the same number.
    pub fn resend_changes(&mut self, records: &[(usize, u8)]) {
        let bytes = self.list_frame(self.list_number, 2, records);
        self.list_connection().write_all(&bytes).unwrap();
    }

    /// The bytes of a list frame with this number.
    pub fn list_frame(&self, number: u64, kind: u8, records: &[(usize, u8)]) -> Vec<u8> {
        let record = |(at, state): &(usize, u8)| ListRecord {
            id: *at as u32 + 1,
            at: *at,
            state: *state,
            cell: *at,
            started_ms: 0,
        };
        self.frame_of(number, kind, &records.iter().map(record).collect::<Vec<_>>())
    }

    /// Sends the next list event, with any records.
    pub fn send_records(&mut self, kind: u8, records: &[ListRecord]) {
        self.list_number += 1;
        let bytes = self.frame_of(self.list_number, kind, records);
        self.list_connection().write_all(&bytes).unwrap();
    }

    /// Tells in one event that a media server is gone, and that another one with this id has its address and its cell.
    pub fn send_replacement(&mut self, at: usize, id: u32) {
        const READY: u8 = 0;
        const GONE: u8 = 2;
        let old = ListRecord { id: at as u32 + 1, at, state: GONE, cell: at, started_ms: 0 };
        let new = ListRecord { id, state: READY, ..old.clone() };
        self.send_records(2, &[old, new]);
    }

    fn frame_of(&self, number: u64, kind: u8, records: &[ListRecord]) -> Vec<u8> {
        let mut bytes = (9 + 27 * records.len() as u32).to_be_bytes().to_vec();
        bytes.extend(number.to_be_bytes());
        bytes.push(kind);
        for record in records {
            bytes.extend(self.record_bytes(record));
        }
        bytes
    }

    fn record_bytes(&self, record: &ListRecord) -> Vec<u8> {
        let address = self.address(record.at);
        let mut bytes = record.id.to_be_bytes().to_vec();
        match address.ip() {
            IpAddr::V4(host) => bytes.extend(host.octets()),
            IpAddr::V6(host) => panic!("{host} does not fit into a record"),
        }
        bytes.extend(address.port().to_be_bytes());
        bytes.extend([record.state, 0, 0]);
        bytes.extend((record.cell as u16).to_be_bytes());
        bytes.extend(1000u32.to_be_bytes());
        bytes.extend(record.started_ms.to_be_bytes());
        bytes
    }

    /// Accepts the next connection to a media server, which has to arrive within 10 s.
    pub fn accept(&self, at: usize) -> Viewer {
        let stream = accept_within(&self.listeners[at], 10 * SECOND);
        stream.set_nodelay(true).unwrap();
        Viewer::from_stream(stream)
    }

    /// Accepts all connections to a media server that wait in its queue now.
    pub fn pending_connections(&self, at: usize) -> Vec<Viewer> {
        self.listeners[at].set_nonblocking(true).unwrap();
        let streams = std::iter::from_fn(|| self.listeners[at].accept().ok()).map(|(stream, _)| stream);
        streams
            .map(|stream| {
                stream.set_nonblocking(false).unwrap();
                Viewer::from_stream(stream)
            })
            .collect()
    }

    /// Fills the accept queue of a media server: while these sockets are held, dials to it succeed late or never.
    pub fn fill_accept_queue(&self, at: usize) -> Vec<Socket> {
        let address = self.address(at);
        SockRef::from(&self.listeners[at]).listen(1).unwrap();
        fill_listen_queue(address)
    }
}

/// Opens connections that fill the queue of a listener with a backlog of one: while they are held, the kernel answers no
/// further connection request.
pub fn fill_listen_queue(address: SocketAddr) -> Vec<Socket> {
    let fill = |_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_nonblocking(true).unwrap();
        let _ = socket.connect(&address.into());
        socket
    };
    (0..6).map(fill).collect()
}

/// Accepts the next connection, with a timeout: without one, a test whose process has exited would wait for a connection
/// forever and report nothing.
pub fn accept_within(listener: &TcpListener, timeout: Duration) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let deadline = Instant::now() + timeout;
    let stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(error) => assert!(Instant::now() < deadline, "no connection arrived: {error}"),
        }
        thread::sleep(Duration::from_millis(1));
    };
    stream.set_nonblocking(false).unwrap();
    stream
}

/// Reserves an address at which connections are refused until the returned socket listens.
pub fn refusing_address() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from((unique_loopback_host(), 0)).into()).unwrap();
    let at = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, at)
}

/// Sends more health tests than the node reads from a socket at once, and a request behind them.
pub fn send_request_behind_tests(viewer: &Viewer, id: u64) {
    let mut bytes = Vec::new();
    (0..10_000).for_each(|test| Message::new(kind::TEST, test).with(code::CAUSE, [0]).write(&mut bytes));
    Viewer::request(id, "clip", 1).write(&mut bytes);
    (&viewer.stream).write_all(&bytes).unwrap();
}

/// Reads until a message of this kind arrives for this session, and discards all others.
pub fn wait_for_message(connection: &mut Viewer, kind: u8, id: u64) -> Message {
    let deadline = Instant::now() + 5 * SECOND;
    while Instant::now() < deadline {
        match connection.next(SECOND) {
            Some(message) if message.kind == kind && message.session == id => return message,
            _ => {}
        }
    }
    panic!("no message of kind {kind} for {id:x}");
}

/// Reads until nothing arrives for this long.
pub fn read_until_silent(connection: &mut Viewer, timeout: Duration) -> Vec<Message> {
    std::iter::from_fn(|| connection.next(timeout)).collect()
}

/// Answers a set-up: the session plays.
pub fn answer_set_up(connection: &Viewer, id: u64) {
    connection.send(&Message::new(kind::ANSWER, id).with(code::DESCRIPTION, "made by hand"));
}

/// Serves the connections to a media server as they come, until the test ends: passes each set-up to `on_set_up`, closes what
/// the front node finishes, and is silent otherwise.
pub fn serve_set_ups(listener: TcpListener, on_set_up: impl Fn(&Viewer, u64) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let on_set_up = on_set_up.clone();
            thread::spawn(move || {
                let mut connection = Viewer::from_stream(stream);
                while let Some(message) = connection.next(60 * SECOND) {
                    if message.kind == kind::SET_UP {
                        on_set_up(&connection, message.session);
                    }
                }
            });
        }
    });
}

/// Serves the connections to all media servers as they come: each set-up is refused 30 ms after it has come. Returns their
/// number so far.
pub fn refuse_set_ups(servers: &ScriptedServers) -> Arc<AtomicUsize> {
    let set_ups = Arc::new(AtomicUsize::new(0));
    for listener in &servers.listeners {
        let set_ups = set_ups.clone();
        serve_set_ups(listener.try_clone().unwrap(), move |connection, id| {
            set_ups.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(30));
            connection.send(&Message::release(id, cause::FULL));
        });
    }
    set_ups
}

/// Requests session 1, which then plays at the first server; returns the server's connection.
pub fn start_session(servers: &ScriptedServers, viewer: &mut Viewer) -> Viewer {
    viewer.send(&request_for_cell(1, "clip", 0));
    let mut connection = servers.accept(0);
    wait_for_message(&mut connection, kind::SET_UP, 1);
    answer_set_up(&connection, 1);
    assert_eq!(viewer.next(SECOND).map(|message| message.kind), Some(kind::ANSWER));
    connection
}

/// A front node with this many listed servers and session 1 at the first of them: also the connections of its client and of its
/// server.
pub fn start_with_session(name: &str, servers: usize) -> (ScriptedServers, Node, Viewer, Viewer) {
    let mut servers = ScriptedServers::new(servers);
    let node = servers.start_node(name, |_| {});
    let mut viewer = node.viewer();
    let connection = start_session(&servers, &mut viewer);
    (servers, node, viewer, connection)
}

/// Serves the connections to a media server as they come: answers each set-up at once and acknowledges each release.
pub fn serve_sessions(listener: TcpListener) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let mut connection = Viewer::from_stream(stream);
                while !connection.is_closed() {
                    match connection.next(SECOND) {
                        Some(message) if message.kind == kind::SET_UP => {
                            answer_set_up(&connection, message.session);
                        }
                        Some(message) if message.kind == kind::RELEASE => {
                            connection.send(&Message::release(message.session, cause::ON_PURPOSE));
                        }
                        _ => {}
                    }
                }
            });
        }
    });
}

/// Replaces the value of a parameter.
pub fn with_parameter(mut message: Message, code: u8, value: impl Into<Vec<u8>>) -> Message {
    message.parameters.retain(|(other, _)| *other != code);
    message.with(code, value)
}

/// A request for a title that only this cell holds.
pub fn request_for_cell(id: u64, class: &str, cell: usize) -> Message {
    let figures = format!("home:{cell};copies:1;top:1;viewer:{id:016x}");
    with_parameter(Viewer::request(id, class, 1), code::REQUEST_FIELDS, figures)
}
