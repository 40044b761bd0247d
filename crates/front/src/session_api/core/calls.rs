//! The pending calls of one player.
//!
//! A JSON-RPC client chooses its ids, may leave them out, and may send calls in batches that are answered as
//! a whole. Here each call gets a ticket, and the engine answers tickets. The player gets one response per
//! call with an id, none for a notification, and one array per batch once its last call is answered.

use std::collections::BTreeMap;

use serde_json::Value;

use super::super::rpc::{self, Call, Message, Method, RpcError};
use crate::core::{ClientId, Input, Ticket};

/// The pending calls of one player.
#[derive(Clone, Debug)]
pub struct PendingCalls {
    client: ClientId,
    pending: BTreeMap<Ticket, PendingCall>,
    batches: BTreeMap<u64, Batch>,
    /// Number of the last ticket or batch; both are numbered from one sequence.
    last_number: u64,
    /// Maximum number of unanswered opens.
    max_pending_opens: usize,
    /// The connection is in the reserve: it may only return to an existing session.
    reserve_only: bool,
}

#[derive(Clone, Debug)]
struct PendingCall {
    /// `None` for a notification, which gets no response.
    id: Option<Value>,
    is_open: bool,
    batch: Option<u64>,
}

#[derive(Clone, Debug)]
struct Batch {
    remaining: usize,
    responses: Vec<Value>,
}

/// The result of accepting a message of the player.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptedMessage {
    /// Inputs for the engine, in order.
    pub inputs: Vec<Input>,
    /// Responses to write to the player now.
    pub responses: Vec<Value>,
}

impl PendingCalls {
    /// No pending calls.
    pub fn new(client: ClientId, max_pending_opens: usize, reserve_only: bool) -> PendingCalls {
        let (pending, batches) = (BTreeMap::new(), BTreeMap::new());
        PendingCalls { client, pending, batches, last_number: 0, max_pending_opens, reserve_only }
    }

    /// Lifts the restriction of the reserve: the player has returned to a session of its own.
    pub fn allow_new_sessions(&mut self) {
        self.reserve_only = false;
    }

    /// Number of calls without an answer.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Assigns tickets to the calls of a message. Invalid calls get an error response at once.
    pub fn accept(&mut self, message: Message) -> AcceptedMessage {
        let mut accepted = AcceptedMessage::default();
        match message {
            Message::Malformed(error) => accepted.responses.push(rpc::error_response(&Value::Null, &error)),
            Message::Single(call) => self.accept_call(call, None, &mut accepted),
            Message::Batch(calls) => {
                self.last_number += 1;
                let number = self.last_number;
                self.batches.insert(number, Batch { remaining: calls.len(), responses: Vec::new() });
                for call in calls {
                    self.accept_call(call, Some(number), &mut accepted);
                }
            }
        }
        accepted
    }

    /// Answers a ticket. Returns what to write now, if anything. A ticket that is not pending gives nothing,
    /// so that each call is answered once.
    pub fn answer(&mut self, ticket: Ticket, write: impl FnOnce(&Value) -> Value) -> Option<Value> {
        let pending = self.pending.remove(&ticket)?;
        let response = pending.id.as_ref().map(write);
        self.complete(response, pending.batch)
    }

    /// Completes one call, with its response if it has one. Returns what to write now.
    fn complete(&mut self, response: Option<Value>, batch: Option<u64>) -> Option<Value> {
        let Some(number) = batch else { return response };
        let batch = self.batches.get_mut(&number)?;
        batch.responses.extend(response);
        batch.remaining = batch.remaining.saturating_sub(1);
        if batch.remaining > 0 {
            return None;
        }
        let responses = self.batches.remove(&number)?.responses;
        // A batch that holds only notifications gets no response (JSON-RPC 2.0 section 6).
        (!responses.is_empty()).then_some(Value::Array(responses))
    }

    fn accept_call(&mut self, call: Call, batch: Option<u64>, accepted: &mut AcceptedMessage) {
        let method = match call.method {
            Ok(method) => method,
            Err(error) => {
                let response = call.id.as_ref().map(|id| rpc::error_response(id, &error));
                accepted.responses.extend(self.complete(response, batch));
                return;
            }
        };
        let is_open = matches!(method, Method::Open(_));
        if let Some(error) = self.check_open(is_open, call.id.as_ref()) {
            let id = call.id.unwrap_or(Value::Null);
            let response = Some(rpc::error_response(&id, &error));
            accepted.responses.extend(self.complete(response, batch));
            return;
        }
        // The cancelled open is looked up before the cancellation itself becomes a pending call.
        let cancelled = match &method {
            Method::Cancel(id) => self.find_open(Some(id)),
            _ => None,
        };
        self.last_number += 1;
        let ticket = Ticket(self.last_number);
        self.pending.insert(ticket, PendingCall { id: call.id, is_open, batch });
        let client = self.client;
        accepted.inputs.push(match method {
            Method::Open(open_request) if self.reserve_only => Input::Reopen(client, ticket, open_request),
            Method::Open(open_request) => Input::Open(client, ticket, open_request),
            // No call has ticket 0, so an id that matches no pending open cancels nothing.
            Method::Cancel(_) => Input::Cancel(client, ticket, cancelled.unwrap_or(Ticket(0))),
            Method::Close(session) => Input::Close(client, ticket, session),
            Method::Status(session, viewer) => Input::Status(client, ticket, session, viewer),
        });
    }

    fn find_open(&self, id: Option<&Value>) -> Option<Ticket> {
        let matches = |pending: &PendingCall| pending.is_open && pending.id.as_ref() == id;
        self.pending.iter().find(|(_, pending)| matches(pending)).map(|(ticket, _)| *ticket)
    }

    /// Why an open call is rejected: it could not be answered, its answer could not be told from another, or
    /// too many opens are pending.
    fn check_open(&self, is_open: bool, id: Option<&Value>) -> Option<RpcError> {
        let reject = |message: String| Some(RpcError::new(rpc::INVALID_REQUEST, message));
        if !is_open {
            return None;
        }
        if id.is_none_or(Value::is_null) {
            return reject("session.open needs an id: it has an answer".into());
        }
        if self.find_open(id).is_some() {
            return reject("an open call with this id is not answered yet".into());
        }
        let opens = self.pending.values().filter(|pending| pending.is_open).count();
        if opens >= self.max_pending_opens {
            return reject(format!("{opens} open calls wait already: wait for an answer"));
        }
        None
    }
}
