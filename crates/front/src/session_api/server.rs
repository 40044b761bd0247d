//! Accepts players. Each connection has one thread that reads; answers are written by the front's own thread.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use crossbeam_channel::Sender;
use tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tungstenite::http::{HeaderValue, StatusCode};
use tungstenite::protocol::frame::coding::{CloseCode, Data, OpCode};
use tungstenite::protocol::frame::{CloseFrame, Frame};
use tungstenite::protocol::WebSocketConfig;
use tungstenite::{Error, Message, WebSocket};

use super::core::backlog::Backlog;
use super::core::calls::Calls;
use super::core::gate::{Allowance, Allowed, Door};
use super::outbox::Outbox;
use super::rpc;
use crate::clock::Clock;
use crate::core::{ClientId, Input};
use crate::engine::{Msg, Port};
use crate::settings::{Settings, SUB_PROTOCOL};

/// Stack of a thread that reads one player: a message, its JSON and the WebSocket's buffers, which are on the heap.
const STACK: usize = 128 * 1024;

/// What accepts players, and how it is stopped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Binds and begins to accept.
    pub fn start(
        settings: Arc<Settings>,
        clock: Clock,
        clients: Arc<AtomicU64>,
        engine: Sender<Msg>,
        flusher: Sender<Arc<Outbox>>,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(settings.listen)?;
        let address = listener.local_addr()?;
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        let door = Arc::new(Mutex::new(Door::new(settings.edges.gate)));
        let accept = move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::Acquire) {
                    return;
                }
                // Out of files, say: those that are open go on, and this one is tried again by its player.
                let Ok(stream) = stream else {
                    thread::sleep(std::time::Duration::from_millis(10));
                    continue;
                };
                if let Err(turned) = hold(&door).knock() {
                    tracing::debug!(?turned, "a player is turned away");
                    let _ =
                        (&stream).write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                let player = Player {
                    id: ClientId(clients.fetch_add(1, Ordering::Relaxed)),
                    settings: Arc::clone(&settings),
                    clock,
                    engine: engine.clone(),
                    flusher: flusher.clone(),
                    door: Arc::clone(&door),
                };
                let run = move || {
                    let entered = player.serve(stream);
                    hold(&player.door).left(entered);
                };
                if thread::Builder::new().name("player".into()).stack_size(STACK).spawn(run).is_err() {
                    tracing::warn!("no thread for a player: it is turned away");
                    hold(&door).left(false);
                }
            }
        };
        let thread = thread::Builder::new().name("players".into()).stack_size(STACK).spawn(accept)?;
        Ok(Server { address, stopping, thread: Some(thread) })
    }

    /// Where players connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts nobody any more.
    pub fn stop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        // A connection of our own wakes the thread that accepts.
        let _ = TcpStream::connect_timeout(&self.address, std::time::Duration::from_secs(1));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Player {
    id: ClientId,
    settings: Arc<Settings>,
    clock: Clock,
    engine: Sender<Msg>,
    flusher: Sender<Arc<Outbox>>,
    door: Arc<Mutex<Door>>,
}

fn hold(door: &Mutex<Door>) -> MutexGuard<'_, Door> {
    door.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The two ways of a player's socket: reads wait, writes go through the outbox and never do.
struct Duplex {
    read: TcpStream,
    write: Arc<Outbox>,
}

impl Read for Duplex {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.read.read(buffer)
    }
}

impl Write for Duplex {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.write.send(buffer);
        Ok(buffer.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Player {
    /// Serves one connection to its end; returns whether it shook hands.
    fn serve(&self, stream: TcpStream) -> bool {
        let _ = stream.set_nodelay(true);
        let Ok(read) = stream.try_clone() else { return false };
        let edges = &self.settings.edges;
        let backlog = Backlog::new(edges.backlog, edges.stalled.as_micros() as u64);
        let outbox = Outbox::new(stream, self.clock, backlog, self.flusher.clone());
        let _ = read.set_read_timeout(Some(self.settings.edges.handshake));
        let duplex = Duplex { read, write: Arc::clone(&outbox) };
        let socket = match tungstenite::accept_hdr_with_config(duplex, negotiate, Some(self.config())) {
            Ok(socket) => socket,
            Err(error) => {
                tracing::debug!(client = self.id.0, %error, "no handshake");
                outbox.close();
                return false;
            }
        };
        hold(&self.door).entered();
        let calls = Calls::new(self.id, edges.opens);
        let _ = socket.get_ref().read.set_read_timeout(None);
        if self.engine.send(Msg::Attach(self.id, Port::socket(Arc::clone(&outbox), calls))).is_ok() {
            let mut duplex = self.read(socket, &outbox);
            let _ = self.engine.send(Msg::Core(Input::ClientGone(self.id)));
            // Bytes left unread would have the close answered by a reset, and the reason for it lost.
            outbox.end();
            let _ = duplex.read.set_read_timeout(Some(std::time::Duration::from_millis(100)));
            let _ = io::copy(&mut (&mut duplex.read).take(1 << 20), &mut io::sink());
        }
        outbox.close();
        true
    }

    fn config(&self) -> WebSocketConfig {
        // The library's buffers of 128 kB a connection would be most of its memory.
        WebSocketConfig::default()
            .read_buffer_size(4 * 1024)
            .write_buffer_size(0)
            .max_message_size(Some(self.settings.edges.message))
            .max_frame_size(Some(self.settings.edges.message))
    }

    fn read(&self, mut socket: WebSocket<Duplex>, outbox: &Arc<Outbox>) -> Duplex {
        let mut allowance = Allowance::new(self.settings.edges.gate, self.clock.now());
        loop {
            let message = match socket.read() {
                Ok(Message::Text(text)) => rpc::read(text.as_str(), &self.settings),
                Ok(Message::Binary(_)) => {
                    farewell(outbox, CloseCode::Unsupported, "calls are text messages");
                    break;
                }
                // Pings are answered by the library as it reads on.
                Ok(_) => continue,
                Err(error) => {
                    self.failed(outbox, &error);
                    break;
                }
            };
            match allowance.take(message.calls(), self.clock.now()) {
                Allowed::Yes => {
                    if self.engine.send(Msg::Calls(self.id, message)).is_err() {
                        break;
                    }
                }
                Allowed::Later(after) => {
                    let errors = rpc::too_many(&message, after);
                    outbox.send(&text_frame(errors.to_string()));
                }
                Allowed::Cut => {
                    farewell(outbox, CloseCode::Policy, "far too many calls");
                    break;
                }
            }
        }
        socket.into_inner()
    }

    /// Tells the player why its connection ends, as RFC 6455 section 7.4.1 has the codes.
    fn failed(&self, outbox: &Arc<Outbox>, error: &Error) {
        tracing::debug!(client = self.id.0, %error, "connection ends");
        let code = match error {
            Error::Utf8(_) => CloseCode::Invalid,
            Error::Capacity(_) => CloseCode::Size,
            Error::Protocol(_) => CloseCode::Protocol,
            _ => return,
        };
        farewell(outbox, code, &error.to_string());
    }
}

fn farewell(outbox: &Arc<Outbox>, code: CloseCode, reason: &str) {
    let reason: String = reason.chars().take(100).collect();
    let frame = Frame::close(Some(CloseFrame { code, reason: reason.into() }));
    let mut bytes = Vec::new();
    if frame.format(&mut bytes).is_ok() {
        outbox.send(&bytes);
    }
}

/// One text message as a frame of its own.
pub fn text_frame(text: String) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(text.len() + 10);
    let frame = Frame::message(text.into_bytes(), OpCode::Data(Data::Text), true);
    // Writing to memory does not fail.
    let _ = frame.format(&mut bytes);
    bytes
}

/// The player must offer the sub-protocol: what it speaks otherwise is not known.
// The library gives the size of the error.
#[allow(clippy::result_large_err)]
fn negotiate(request: &Request, mut response: Response) -> Result<Response, ErrorResponse> {
    let offered = request.headers().get_all("Sec-WebSocket-Protocol");
    let names = offered.iter().filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
    if names.map(str::trim).any(|name| name == SUB_PROTOCOL) {
        response.headers_mut().insert("Sec-WebSocket-Protocol", HeaderValue::from_static(SUB_PROTOCOL));
        return Ok(response);
    }
    let text = format!("offer the sub-protocol {SUB_PROTOCOL} in Sec-WebSocket-Protocol\n");
    let mut refusal = ErrorResponse::new(Some(text));
    *refusal.status_mut() = StatusCode::BAD_REQUEST;
    Err(refusal)
}
