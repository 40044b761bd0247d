//! The threads of connections and streams: they connect, write, read and tell; they decide nothing.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender};
use salttally::interface::ServerId;
use socket2::SockRef;

use super::core::Meter;
use super::{http, wire};
use crate::clock::Clock;
use crate::common::event_stream::follow;
use crate::common::messages::EngineMessage;
use crate::common::socket::Socket;
use crate::core::{BoxRequest, ConnId, DialError, ExchangeEnd, Input, StreamEvent, WriteAuthority};
use crate::settings::Settings;

/// Tells that a connection had no thread: nothing was sent, and the box is not to blame.
pub fn no_thread(engine: &Sender<EngineMessage>, id: ConnId) {
    let _ = engine.send(EngineMessage::Input(Input::Dialed(id, Err(DialError::TimedOut))));
}

/// Tells that a stream had no thread; the box is not to blame, so this is no refusal.
pub fn no_stream(engine: &Sender<EngineMessage>, server: ServerId, number: u64) {
    let news = StreamEvent::NoConnection(DialError::TimedOut);
    let _ = engine.send(EngineMessage::Input(Input::Stream(server, number, news)));
}

/// A connection that carries requests.
pub struct Exchanger {
    pub id: ConnId,
    pub server: ServerId,
    pub address: SocketAddr,
    pub settings: Arc<Settings>,
    pub engine: Sender<EngineMessage>,
    pub socket: Arc<Socket>,
}

impl Exchanger {
    /// Connects, then carries requests until it is hung up.
    pub fn run(self, requests: &Receiver<(BoxRequest, WriteAuthority)>) {
        let stream = self.socket.connect(self.address, &self.settings);
        let result = stream.as_ref().map(|_| ()).map_err(|error| *error);
        if self.engine.send(EngineMessage::Input(Input::Dialed(self.id, result))).is_err() {
            return;
        }
        let Ok(mut stream) = stream else { return };
        while let Ok((request, writ)) = requests.recv() {
            let end = self.exchange(&mut stream, &request, writ);
            tracing::trace!(server = self.server.0, conn = self.id.0, ?end, "exchange");
            if self.engine.send(EngineMessage::Input(Input::Exchanged(self.id, end))).is_err() {
                return;
            }
        }
    }

    fn exchange(&self, stream: &mut TcpStream, request: &BoxRequest, writ: WriteAuthority) -> ExchangeEnd {
        if !still_open(stream) {
            return ExchangeEnd::Stale;
        }
        let bytes = wire::request(request, writ.epoch, &self.settings);
        // Danger: the process was stopped since this was decided, and its lease has run out.
        if writ.valid_until.is_some_and(|until| salttally_accord::edge::now() >= until) {
            return ExchangeEnd::Unwritten;
        }
        // All of it or an incomplete request, which the box must not run (RFC 9112 section 8).
        if stream.write_all(&bytes).is_err() {
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
            match http::parse_response(&bytes) {
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
    pub engine: Sender<EngineMessage>,
    pub socket: Arc<Socket>,
    pub clock: Clock,
}

impl Listener {
    /// Connects and tells what comes until it ends.
    pub fn run(self) {
        let last = match self.socket.connect(self.address, &self.settings) {
            Err(error) => StreamEvent::NoConnection(error),
            Ok(mut stream) => {
                let mut meter = Meter::new(self.settings.edges.meter, self.clock.now());
                let mut over = None;
                let ended = follow(&mut stream, "/events", &self.settings, |event, begun| {
                    let all = match event {
                        None => vec![StreamEvent::Heartbeat],
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
                    (Some(why), _) => StreamEvent::CutOff(why.to_string()),
                    (None, reason) => {
                        if let Some(reason) = reason {
                            tracing::warn!(server = self.server.0, "event stream: {reason}");
                        }
                        StreamEvent::Broken
                    }
                }
            }
        };
        // Whoever is cut off must not be able to go on writing.
        self.socket.close();
        self.tell(last);
    }

    fn tell(&self, news: StreamEvent) {
        let _ = self.engine.send(EngineMessage::Input(Input::Stream(self.server, self.number, news)));
    }
}
