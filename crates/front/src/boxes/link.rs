//! The threads of connections and event streams. They connect, write, read and report results; they make no
//! decisions.

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

/// Reports that a connection was not made because no thread was free. Nothing was sent, and the failure tells
/// nothing about the box.
pub fn report_dial_without_thread(engine: &Sender<EngineMessage>, id: ConnId) {
    let _ = engine.send(EngineMessage::Input(Input::Dialed(id, Err(DialError::TimedOut))));
}

/// Reports that there was no thread for an event stream. That tells nothing about the box, so this is no
/// refusal.
pub fn report_stream_without_thread(engine: &Sender<EngineMessage>, server: ServerId, number: u64) {
    let event = StreamEvent::NoConnection(DialError::TimedOut);
    let _ = engine.send(EngineMessage::Input(Input::Stream(server, number, event)));
}

/// A connection that carries requests.
pub struct RequestConnection {
    pub id: ConnId,
    pub server: ServerId,
    pub address: SocketAddr,
    pub settings: Arc<Settings>,
    pub engine: Sender<EngineMessage>,
    pub socket: Arc<Socket>,
}

impl RequestConnection {
    /// Connects, then carries requests until the connection is closed.
    pub fn run(self, requests: &Receiver<(BoxRequest, WriteAuthority)>) {
        let stream = self.socket.connect(self.address, &self.settings);
        let result = stream.as_ref().map(|_| ()).map_err(|error| *error);
        if self.engine.send(EngineMessage::Input(Input::Dialed(self.id, result))).is_err() {
            return;
        }
        let Ok(mut stream) = stream else { return };
        while let Ok((request, authority)) = requests.recv() {
            let end = self.exchange(&mut stream, &request, authority);
            tracing::trace!(server = self.server.0, conn = self.id.0, ?end, "exchange");
            if self.engine.send(EngineMessage::Input(Input::Exchanged(self.id, end))).is_err() {
                return;
            }
        }
    }

    fn exchange(
        &self,
        stream: &mut TcpStream,
        request: &BoxRequest,
        authority: WriteAuthority,
    ) -> ExchangeEnd {
        if !is_idle_and_open(stream) {
            return ExchangeEnd::Stale;
        }
        let bytes = wire::encode_request(request, authority.epoch, &self.settings);
        // Danger: the process may have been stopped since the decision, and its lease may have expired.
        if authority.valid_until.is_some_and(|until| salttally_accord::edge::now() >= until) {
            return ExchangeEnd::Unwritten;
        }
        // Either the whole request is written, or an incomplete one, which the box must not run (RFC 9112
        // section 8).
        if stream.write_all(&bytes).is_err() {
            return ExchangeEnd::Unwritten;
        }
        let mut bytes = Vec::new();
        let mut buffer = [0; 2048];
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => return ExchangeEnd::Broken,
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return ExchangeEnd::Broken,
            }
            match http::parse_response(&bytes) {
                Ok(None) => {}
                Ok(Some(response)) => return wire::parse_response(request, &response, &self.settings),
                Err(error) => return ExchangeEnd::Malformed(error.to_string()),
            }
        }
    }
}

/// Whether a connection that was idle is still usable: one that is closed, or has unrequested bytes, must not
/// be written to. Danger: a box that has just restarted resets such a connection, and a set-up written to it
/// counts as one that may have run although it never did.
fn is_idle_and_open(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::<u8>::uninit()];
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    match SockRef::from(stream).recv_with_flags(&mut byte, flags) {
        Ok(_) => false,
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}

/// The event stream of a box.
pub struct EventStream {
    pub server: ServerId,
    pub number: u64,
    pub address: SocketAddr,
    pub settings: Arc<Settings>,
    pub engine: Sender<EngineMessage>,
    pub socket: Arc<Socket>,
    pub clock: Clock,
}

impl EventStream {
    /// Connects and reports events until the stream ends.
    pub fn run(self) {
        let last = match self.socket.connect(self.address, &self.settings) {
            Err(error) => StreamEvent::NoConnection(error),
            Ok(mut stream) => {
                let mut meter = Meter::new(self.settings.io.event_meter, self.clock.now());
                let mut exceeded = None;
                let ended = follow(&mut stream, "/events", &self.settings, |event, unfinished| {
                    let events = match event {
                        None => vec![StreamEvent::Heartbeat],
                        Some(event) => wire::parse_event(event, &self.settings)?,
                    };
                    let now = self.clock.now();
                    if let Err(reason) = meter
                        .charge(now, &events)
                        .and_then(|()| meter.check_unfinished_event(now, unfinished))
                    {
                        exceeded = Some(reason);
                        return Err(reason.to_string());
                    }
                    events.into_iter().for_each(|event| self.report(event));
                    Ok(())
                });
                match (exceeded, ended) {
                    // The engine logs this, and only once, however often it happens.
                    (Some(reason), _) => StreamEvent::CutOff(reason.to_string()),
                    (None, reason) => {
                        if let Some(reason) = reason {
                            tracing::warn!(server = self.server.0, "event stream: {reason}");
                        }
                        StreamEvent::Broken
                    }
                }
            }
        };
        // A box that was disconnected must not be able to go on writing.
        self.socket.close();
        self.report(last);
    }

    fn report(&self, event: StreamEvent) {
        let _ = self.engine.send(EngineMessage::Input(Input::Stream(self.server, self.number, event)));
    }
}
