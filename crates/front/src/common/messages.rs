//! Messages to the engine thread, and the connections to clients.

use std::sync::{Arc, Mutex};

use crossbeam_channel::Sender;
use serde_json::Value;

use crate::core::{Answer, ClientId, Counts, Input, Notification, Reply, Ticket};
use crate::session_api::core::admission::AdmissionCounts;
use crate::session_api::core::calls::PendingCalls;
use crate::session_api::core::thread_share::{Charge, ThreadShare};
use crate::session_api::outbox::{text_frame, Outbox};
use crate::session_api::rpc::Message;

/// A message to the engine thread.
pub enum EngineMessage {
    /// A new client.
    Attach(ClientId, ClientSink),
    /// A message from a player within its share of the engine thread.
    Calls(ReceivedMessage),
    /// A message from a player that has used up its share of the engine thread; it is processed when nothing
    /// else waits.
    DeferredCalls(ReceivedMessage),
    /// Any other input for the ledger.
    Input(Input),
    /// Request for the status of the front.
    Status(Sender<FrontStatus>),
    /// Shut down in order; the counters are sent when done.
    ShutDown(Sender<Counts>),
    /// End at once without notifying anybody, as if the process were killed.
    Kill,
}

/// A received player message, queued for the engine thread.
pub struct ReceivedMessage {
    /// The sender.
    pub client: ClientId,
    /// The message.
    pub message: Message,
    /// What the sender was charged for it.
    pub charge: Charge,
}

/// Status of a front.
#[derive(Clone, Debug, Default)]
pub struct FrontStatus {
    /// Counters since the start.
    pub counts: Counts,
    /// Sessions in the ledger.
    pub sessions: usize,
    /// Playing sessions.
    pub playing: usize,
    /// Connections to boxes: being established, busy and idle; and requests that wait for one.
    pub connections: [usize; 4],
    /// Connected players and callers of the library.
    pub clients: usize,
    /// Admission counters of player connections.
    pub admission: AdmissionCounts,
}

/// Where messages to a client go.
pub enum ClientSink {
    /// A player connection.
    Socket(Box<PlayerSocket>),
    /// A caller of the library.
    Caller(Sender<CallerMessage>),
}

/// A message to a caller of the library.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerMessage {
    /// The answer to the open request.
    Answer(Answer),
    /// A notification.
    Notification(Notification),
    /// The response to any other call.
    Reply(Reply),
}

/// A player connection and its unanswered calls.
pub struct PlayerSocket {
    /// Outgoing messages.
    pub outbox: Arc<Outbox>,
    /// Unanswered calls.
    pub calls: PendingCalls,
    /// The player's share of the engine thread.
    pub share: Arc<Mutex<ThreadShare>>,
    /// Whether the player has sessions or unanswered open requests.
    pub has_sessions: bool,
}

impl ClientSink {
    /// The sink of a player connection.
    pub fn socket(outbox: Arc<Outbox>, calls: PendingCalls, share: Arc<Mutex<ThreadShare>>) -> ClientSink {
        ClientSink::Socket(Box::new(PlayerSocket { outbox, calls, share, has_sessions: false }))
    }
}

impl PlayerSocket {
    /// Queues a message for the player.
    pub fn write(&self, value: &Value) {
        self.outbox.send(&text_frame(value.to_string()));
    }

    /// Handles a received message: answers errors, and returns the inputs for the ledger.
    pub fn accept(&mut self, message: Message) -> Vec<Input> {
        let accepted = self.calls.accept(message);
        accepted.responses.iter().for_each(|value| self.write(value));
        accepted.inputs
    }

    /// Sends the response to a call, if it is still unanswered.
    pub fn answer(&mut self, ticket: Ticket, write: impl FnOnce(&Value) -> Value) {
        if let Some(value) = self.calls.answer(ticket, write) {
            self.write(&value);
        }
    }
}
