//! Media servers and a coordinator led by hand: nothing is accepted, read or written but where the test says so, which
//! forces the order of what crosses.

use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use salttally_platform::wire::{code, kind, Message};
use salttally_standin::platform::{unique_loopback_host, Platform, Viewer};
use serde_json::{json, Value};
use socket2::{Domain, SockRef, Socket, Type};

use super::{Node, SECOND};

/// One cell for each media server.
pub struct Hands {
    pub boxes: Vec<TcpListener>,
    coordinator: TcpListener,
    list: Option<TcpStream>,
    told: u64,
}

impl Hands {
    pub fn new(boxes: usize) -> Hands {
        let host = unique_loopback_host();
        let listener = |_| TcpListener::bind((host, 0)).unwrap();
        let coordinator = listener(0);
        Hands { boxes: (0..boxes).map(listener).collect(), coordinator, list: None, told: 1 }
    }

    pub fn address(&self, at: usize) -> SocketAddr {
        self.boxes[at].local_addr().unwrap()
    }

    /// The configuration that the platform's stand-in gives, with these addresses.
    pub fn config(&self, listen: SocketAddr, sockets: usize) -> Value {
        let mut config = Platform::start(self.boxes.len()).unwrap().config(listen, sockets);
        for at in 0..self.boxes.len() {
            let host = &mut config["known"]["updates"][0]["endpoints"]["hosts"][at];
            host["dial"] = json!(self.address(at).to_string());
        }
        config["coordinator"] = json!(self.coordinator.local_addr().unwrap().to_string());
        config
    }

    /// A node by these hands; `change` has the last word on its configuration. It has heard the list.
    pub fn node(&mut self, name: &str, change: impl FnOnce(&mut Value)) -> Node {
        self.node_within(name, 256, change)
    }

    /// The same, with so many descriptors in its limits.
    pub fn node_within(&mut self, name: &str, sockets: usize, change: impl FnOnce(&mut Value)) -> Node {
        let node = Node::start_by(name, sockets, |listen| {
            let mut config = self.config(listen, sockets);
            change(&mut config);
            config
        });
        let mut list = accept_within(&self.coordinator, 10 * SECOND);
        list.read_exact(&mut [0; 8]).unwrap();
        self.list = Some(list);
        self.frame(0, &[]);
        node.wait_ready();
        node
    }

    /// Where the front node calls for the list.
    pub fn coordinator(&self) -> TcpListener {
        self.coordinator.try_clone().unwrap()
    }

    /// The list is told on this connection from now on.
    pub fn take_list(&mut self, list: TcpStream) {
        self.list = Some(list);
    }

    /// The connection on which the list is told breaks.
    pub fn hang_up(&mut self) {
        self.list = None;
    }

    /// A new configuration names another coordinator.
    pub fn move_coordinator(&mut self, node: &Node, to: SocketAddr) {
        let mut config: Value = serde_json::from_str(&fs::read_to_string(&node.config).unwrap()).unwrap();
        config["coordinator"] = json!(to.to_string());
        fs::write(&node.config, config.to_string()).unwrap();
        node.signal(Signal::HUP);
    }

    /// The connection on which the list is told.
    pub fn list(&self) -> TcpStream {
        self.list.as_ref().unwrap().try_clone().unwrap()
    }

    /// One frame: kind 0 says nothing new; records are of a media server and its state.
    pub fn frame(&mut self, kind: u8, records: &[(usize, u8)]) {
        self.told += u64::from(kind > 0);
        let bytes = self.record(self.told, kind, records);
        self.list().write_all(&bytes).unwrap();
    }

    /// The last changes once more, under their number.
    pub fn tell_again(&mut self, records: &[(usize, u8)]) {
        let bytes = self.record(self.told, 2, records);
        self.list().write_all(&bytes).unwrap();
    }

    /// The bytes of a frame under this number.
    pub fn record(&self, number: u64, kind: u8, records: &[(usize, u8)]) -> Vec<u8> {
        let mut bytes = (9 + 27 * records.len() as u32).to_be_bytes().to_vec();
        bytes.extend(number.to_be_bytes());
        bytes.push(kind);
        for (at, state) in records {
            bytes.extend((*at as u32 + 1).to_be_bytes());
            match self.address(*at).ip() {
                IpAddr::V4(host) => bytes.extend(host.octets()),
                IpAddr::V6(host) => panic!("{host} fits no record"),
            }
            bytes.extend(self.address(*at).port().to_be_bytes());
            bytes.extend([*state, 0, 0]);
            bytes.extend((*at as u16).to_be_bytes());
            bytes.extend(1000u32.to_be_bytes());
            bytes.extend(0u64.to_be_bytes());
        }
        bytes
    }

    /// The next connection that is made to a media server, which has to come within 10 s.
    pub fn accept(&self, at: usize) -> Viewer {
        let stream = accept_within(&self.boxes[at], 10 * SECOND);
        stream.set_nodelay(true).unwrap();
        Viewer::from_stream(stream)
    }

    /// The connections that were made to a media server by now and that nobody has accepted.
    pub fn accepted(&self, at: usize) -> Vec<Viewer> {
        self.boxes[at].set_nonblocking(true).unwrap();
        let streams = std::iter::from_fn(|| self.boxes[at].accept().ok()).map(|(stream, _)| stream);
        streams
            .map(|stream| {
                stream.set_nonblocking(false).unwrap();
                Viewer::from_stream(stream)
            })
            .collect()
    }

    /// A media server whose machine takes no connection while it holds these: dials to it come up late or never.
    pub fn deafen(&self, at: usize) -> Vec<Socket> {
        let address = self.address(at);
        SockRef::from(&self.boxes[at]).listen(1).unwrap();
        fillers(address)
    }
}

/// Connections that fill the queue of a listener which holds one: the kernel answers no call to it while they are there.
pub fn fillers(address: SocketAddr) -> Vec<Socket> {
    let fill = |_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_nonblocking(true).unwrap();
        let _ = socket.connect(&address.into());
        socket
    };
    (0..6).map(fill).collect()
}

/// The next connection, which has to come within this time. Danger: a test that waits for one that never comes, since
/// the process has ended, hangs for ever and says nothing.
pub fn accept_within(listener: &TcpListener, within: Duration) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let until = Instant::now() + within;
    let stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(error) => assert!(Instant::now() < until, "nobody connects: {error}"),
        }
        thread::sleep(Duration::from_millis(1));
    };
    stream.set_nonblocking(false).unwrap();
    stream
}

/// An address at which calls are refused until this socket listens, and which nobody else can take meanwhile.
pub fn refusing() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from((unique_loopback_host(), 0)).into()).unwrap();
    let at = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, at)
}

/// As many bytes of tests as one look at a socket does not read, then a request.
pub fn behind_others(viewer: &Viewer, id: u64) {
    let mut bytes = Vec::new();
    (0..10_000).for_each(|test| Message::new(kind::TEST, test).with(code::CAUSE, [0]).write(&mut bytes));
    Viewer::request(id, "clip", 1).write(&mut bytes);
    (&viewer.stream).write_all(&bytes).unwrap();
}

/// Reads until a message of this kind; what else comes meanwhile is dropped.
pub fn wait_for(line: &mut Viewer, kind: u8, id: u64) -> Message {
    let until = Instant::now() + 5 * SECOND;
    while Instant::now() < until {
        match line.next(SECOND) {
            Some(message) if message.kind == kind && message.session == id => return message,
            _ => {}
        }
    }
    panic!("no message of kind {kind} for {id:x}");
}

/// All that comes until nothing does for so long.
pub fn rest(line: &mut Viewer, within: Duration) -> Vec<Message> {
    std::iter::from_fn(|| line.next(within)).collect()
}

pub fn plays(line: &Viewer, id: u64) {
    line.send(&Message::new(kind::ANSWER, id).with(code::DESCRIPTION, "made by hand"));
}

/// With another value of a parameter.
pub fn with(mut message: Message, code: u8, value: impl Into<Vec<u8>>) -> Message {
    message.parameters.retain(|(other, _)| *other != code);
    message.with(code, value)
}

/// A request for a title that one cell holds.
pub fn request_at(id: u64, class: &str, cell: usize) -> Message {
    let figures = format!("home:{cell};copies:1;top:1;viewer:{id:016x}");
    with(Viewer::request(id, class, 1), code::REQUEST_FIELDS, figures)
}
