//! What the front's own thread is told, and the ways to clients.

use std::sync::{Arc, Mutex};

use crossbeam_channel::Sender;
use serde_json::Value;

use crate::core::{Answer, ClientId, Counts, Input, Notification, Reply, Ticket};
use crate::session_api::core::admission::AdmissionCounts;
use crate::session_api::core::calls::PendingCalls;
use crate::session_api::core::thread_share::{Charge, ThreadShare};
use crate::session_api::outbox::{text_frame, Outbox};
use crate::session_api::rpc::Message;

/// What the engine is told.
pub enum EngineMessage {
    /// A client begins.
    Attach(ClientId, ClientSink),
    /// A message of a player that has its turn.
    Calls(ReceivedMessage),
    /// A message of a player over its share of the front's thread.
    DeferredCalls(ReceivedMessage),
    /// Anything else for the ledger.
    Input(Input),
    /// How the front stands.
    Status(Sender<FrontStatus>),
    /// End in order; told when all is done.
    ShutDown(Sender<Counts>),
    /// End at once, as a process that is killed.
    Kill,
}

/// A message of a player on its way to the front's thread.
pub struct ReceivedMessage {
    /// Whose.
    pub client: ClientId,
    /// What it says.
    pub message: Message,
    /// What its sender was charged for it.
    pub charge: Charge,
}

/// How a front stands.
#[derive(Clone, Debug, Default)]
pub struct FrontStatus {
    /// What it has done.
    pub counts: Counts,
    /// Sessions in the ledger.
    pub sessions: usize,
    /// Those of them that play.
    pub playing: usize,
    /// Connections to boxes: being made, busy, idle; and requests that wait for one.
    pub connections: [usize; 4],
    /// Players connected, and callers of the library.
    pub clients: usize,
    /// Connections of players, and who was turned away.
    pub door: AdmissionCounts,
}

/// The way to a client.
pub enum ClientSink {
    /// A player's connection.
    Socket(Box<Socket>),
    /// A caller of the library.
    Caller(Sender<CallerMessage>),
}

/// What a caller of the library is told.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerMessage {
    /// The one answer.
    Answer(Answer),
    /// News.
    Notification(Notification),
    /// The answer to another call.
    Reply(Reply),
}

/// A player's connection and the calls on it that wait for an answer.
pub struct Socket {
    /// Where it is written to.
    pub outbox: Arc<Outbox>,
    /// The calls.
    pub calls: PendingCalls,
    /// What it may take of the front's thread.
    pub share: Arc<Mutex<ThreadShare>>,
    /// It has sessions, or opens that wait.
    pub holds: bool,
}

impl ClientSink {
    /// The port of a player's connection.
    pub fn socket(outbox: Arc<Outbox>, calls: PendingCalls, share: Arc<Mutex<ThreadShare>>) -> ClientSink {
        ClientSink::Socket(Box::new(Socket { outbox, calls, share, holds: false }))
    }
}

impl Socket {
    /// Writes a message.
    pub fn write(&self, value: &Value) {
        self.outbox.send(&text_frame(value.to_string()));
    }

    /// Takes in a message: errors are answered, the rest is for the ledger.
    pub fn take(&mut self, message: Message) -> Vec<Input> {
        let taken = self.calls.accept(message);
        taken.responses.iter().for_each(|value| self.write(value));
        taken.inputs
    }

    /// Answers a call, if it still waits.
    pub fn answered(&mut self, ticket: Ticket, write: impl FnOnce(&Value) -> Value) {
        if let Some(value) = self.calls.answer(ticket, write) {
            self.write(&value);
        }
    }
}
