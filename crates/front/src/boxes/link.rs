//! The threads of connections and streams: they connect, write, read and tell; they decide nothing.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use crossbeam_channel::{Receiver, Sender};
use salttally::interface::ServerId;
use socket2::SockRef;

use super::core::Meter;
use super::events::Decoder;
use super::{http, wire};
use crate::clock::Clock;
use crate::core::{BoxRequest, ConnId, DialError, ExchangeEnd, Input, StreamNews};
use crate::engine::Msg;
use crate::settings::Settings;

/// Stack of these threads; their buffers are on the heap.
const STACK: usize = 96 * 1024;

/// A socket that another thread may close, also before it stands.
#[derive(Debug, Default)]
pub struct Socket(Mutex<State>);

#[derive(Debug, Default)]
enum State {
    #[default]
    Making,
    Open(TcpStream),
    Closed,
}

impl Socket {
    /// Closes it; whoever reads from it wakes.
    pub fn close(&self) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let State::Open(stream) = std::mem::replace(&mut *state, State::Closed) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Connects, unless it has been closed meanwhile.
    pub(crate) fn connect(&self, address: SocketAddr, settings: &Settings) -> Result<TcpStream, DialError> {
        let stream = TcpStream::connect_timeout(&address, settings.edges.connect)
            .map_err(|error| dial_error(&error))?;
        let _ = stream.set_nodelay(true);
        let other = stream.try_clone().map_err(|error| dial_error(&error))?;
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match *state {
            State::Making => *state = State::Open(other),
            _ => return Err(DialError::Refused),
        }
        Ok(stream)
    }
}

/// What a dial that failed says. Danger: the front's own lack of files or ports, taken for a refusal, would prove a
/// box's process dead, and all its sessions would be given up.
fn dial_error(error: &io::Error) -> DialError {
    let ours = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EAGAIN, libc::EADDRNOTAVAIL];
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => DialError::TimedOut,
        _ if error.raw_os_error().is_some_and(|code| ours.contains(&code)) => DialError::TimedOut,
        _ => DialError::Refused,
    }
}

/// Starts a thread; `instead` is done where there is none to be had.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static, instead: impl FnOnce()) {
    if thread::Builder::new().name(name.into()).stack_size(STACK).spawn(run).is_err() {
        tracing::warn!(name, "no thread to be had");
        instead();
    }
}

/// Tells that a connection had no thread: nothing was sent, and the box is not to blame.
pub fn no_thread(engine: &Sender<Msg>, id: ConnId) {
    let _ = engine.send(Msg::Core(Input::Dialed(id, Err(DialError::TimedOut))));
}

/// Tells that a stream had no thread; the box is not to blame, so this is no refusal.
pub fn no_stream(engine: &Sender<Msg>, server: ServerId, number: u64) {
    let news = StreamNews::NoConnection(DialError::TimedOut);
    let _ = engine.send(Msg::Core(Input::Stream(server, number, news)));
}

/// A connection that carries requests.
pub struct Exchanger {
    pub id: ConnId,
    pub server: ServerId,
    pub address: SocketAddr,
    pub settings: Arc<Settings>,
    pub engine: Sender<Msg>,
    pub socket: Arc<Socket>,
}

impl Exchanger {
    /// Connects, then carries requests until it is hung up.
    pub fn run(self, requests: &Receiver<BoxRequest>) {
        let stream = self.socket.connect(self.address, &self.settings);
        let result = stream.as_ref().map(|_| ()).map_err(|error| *error);
        if self.engine.send(Msg::Core(Input::Dialed(self.id, result))).is_err() {
            return;
        }
        let Ok(mut stream) = stream else { return };
        while let Ok(request) = requests.recv() {
            let end = self.exchange(&mut stream, &request);
            tracing::trace!(server = self.server.0, conn = self.id.0, ?end, "exchange");
            if self.engine.send(Msg::Core(Input::Exchanged(self.id, end))).is_err() {
                return;
            }
        }
    }

    fn exchange(&self, stream: &mut TcpStream, request: &BoxRequest) -> ExchangeEnd {
        if !still_open(stream) {
            return ExchangeEnd::Stale;
        }
        // All of it or an incomplete request, which the box must not run (RFC 9112 section 8).
        if stream.write_all(&wire::request(request, &self.settings)).is_err() {
            return ExchangeEnd::Unwritten;
        }
        let mut bytes = Vec::new();
        let mut part = [0; 2048];
        loop {
            match stream.read(&mut part) {
                Ok(0) => return ExchangeEnd::Broken,
                Ok(count) => bytes.extend_from_slice(&part[..count]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return ExchangeEnd::Broken,
            }
            match http::response(&bytes) {
                Ok(None) => {}
                Ok(Some(response)) => return wire::answer(request, &response, &self.settings),
                Err(error) => return ExchangeEnd::Malformed(error.to_string()),
            }
        }
    }
}

/// Whether a connection that carried nothing for a while still stands: closed, or with bytes that nobody asked
/// for, it must not be written to. Danger: a box that has just restarted resets what is written, and a set-up
/// that never ran counts as one that may have.
fn still_open(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::<u8>::uninit()];
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    match SockRef::from(stream).recv_with_flags(&mut byte, flags) {
        Ok(_) => false,
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}

/// An event stream.
pub struct Listener {
    pub server: ServerId,
    pub number: u64,
    pub address: SocketAddr,
    pub settings: Arc<Settings>,
    pub engine: Sender<Msg>,
    pub socket: Arc<Socket>,
    pub clock: Clock,
}

impl Listener {
    /// Connects and tells what comes until it ends.
    pub fn run(self) {
        let last = match self.socket.connect(self.address, &self.settings) {
            Err(error) => StreamNews::NoConnection(error),
            Ok(mut stream) => {
                let mut meter = Meter::new(self.settings.edges.meter, self.clock.now());
                let mut over = None;
                let ended = follow(&mut stream, "/events", &self.settings, |event, begun| {
                    let all = match event {
                        None => vec![StreamNews::Beat],
                        Some(event) => wire::news(event, &self.settings)?,
                    };
                    let now = self.clock.now();
                    if let Err(why) = meter.take(now, &all).and_then(|()| meter.unended(now, begun)) {
                        over = Some(why);
                        return Err(why.to_string());
                    }
                    all.into_iter().for_each(|news| self.tell(news));
                    Ok(())
                });
                match (over, ended) {
                    // The ledger tells that once, however often it happens.
                    (Some(why), _) => StreamNews::CutOff(why.to_string()),
                    (None, reason) => {
                        if let Some(reason) = reason {
                            tracing::warn!(server = self.server.0, "event stream: {reason}");
                        }
                        StreamNews::Broken
                    }
                }
            }
        };
        // Whoever is cut off must not be able to go on writing.
        self.socket.close();
        self.tell(last);
    }

    fn tell(&self, news: StreamNews) {
        let _ = self.engine.send(Msg::Core(Input::Stream(self.server, self.number, news)));
    }
}

/// Reads an event stream until it ends; `None` is handed on for a sign of life without an event, and with each
/// whether an event is begun and not ended. Returns the reason where the peer is to blame.
pub fn follow(
    stream: &mut TcpStream,
    path: &str,
    settings: &Settings,
    mut told: impl FnMut(Option<&super::events::Event>, bool) -> Result<(), String>,
) -> Option<String> {
    if stream.write_all(&wire::follow(path, settings)).is_err() {
        return None;
    }
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    let mut decoder: Option<Decoder> = None;
    loop {
        match stream.read(&mut part) {
            Ok(0) => return None,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => return None,
        }
        if decoder.is_none() {
            match http::head(&bytes) {
                Ok(None) => continue,
                Err(error) => return Some(error.to_string()),
                Ok(Some(head)) if head.status != 200 || head.kind.as_deref() != Some("text/event-stream") => {
                    return Some(format!("{path} answered {} and no event stream", head.status));
                }
                Ok(Some(head)) => {
                    bytes.drain(..head.size);
                    decoder = Some(Decoder::default());
                }
            }
        }
        let Some(decoder) = &mut decoder else { continue };
        let events = match decoder.push(&bytes) {
            Ok(events) => events,
            Err(error) => return Some(error.to_string()),
        };
        bytes.clear();
        let done = match events.is_empty() {
            true => told(None, decoder.begun()),
            false => events.iter().try_for_each(|event| told(Some(event), decoder.begun())),
        };
        if let Err(reason) = done {
            return Some(reason);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_fronts_own_lack_of_files_must_not_prove_a_box_dead() {
        let error = |code: i32| dial_error(&io::Error::from_raw_os_error(code));
        assert_eq!(error(libc::EMFILE), DialError::TimedOut);
        assert_eq!(error(libc::EADDRNOTAVAIL), DialError::TimedOut);
        assert_eq!(error(libc::ECONNREFUSED), DialError::Refused);
    }
}
