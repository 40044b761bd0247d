//! The calls of one player that wait for an answer.
//!
//! JSON-RPC lets a client choose its ids, leave them out, and put calls into batches that are answered whole. Here
//! each call becomes a ticket; the ledger answers tickets, and what is written follows from that: one response for
//! each call with an id, none for a notification, one array for a batch when its last part is there.

use std::collections::BTreeMap;

use serde_json::Value;

use super::super::rpc::{self, Call, Message, Method, RpcError};
use crate::core::{ClientId, Input, Ticket};

/// The calls of one player.
#[derive(Clone, Debug)]
pub struct Calls {
    client: ClientId,
    waiting: BTreeMap<Ticket, Waiting>,
    batches: BTreeMap<u64, Batch>,
    last: u64,
    /// Opens that may wait for their answers at once.
    opens_most: usize,
    /// Let into the reserve: it may only return to a session.
    only_back: bool,
}

#[derive(Clone, Debug)]
struct Waiting {
    /// None for a notification: it is never answered.
    id: Option<Value>,
    open: bool,
    batch: Option<u64>,
}

#[derive(Clone, Debug)]
struct Batch {
    missing: usize,
    responses: Vec<Value>,
}

/// What follows from a message of the player.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Taken {
    /// For the ledger, in order.
    pub inputs: Vec<Input>,
    /// To be written to the player now.
    pub say: Vec<Value>,
}

impl Calls {
    /// A player that has called for nothing yet.
    pub fn new(client: ClientId, opens_most: usize, only_back: bool) -> Calls {
        let (waiting, batches) = (BTreeMap::new(), BTreeMap::new());
        Calls { client, waiting, batches, last: 0, opens_most, only_back }
    }

    /// It has returned to a session of its own, and may do what anybody may.
    pub fn returned(&mut self) {
        self.only_back = false;
    }

    /// Number of calls that wait for an answer.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a message apart; what is wrong with it is answered at once.
    pub fn take(&mut self, message: Message) -> Taken {
        let mut taken = Taken::default();
        match message {
            Message::Unreadable(error) => taken.say.push(rpc::error(&Value::Null, &error)),
            Message::One(call) => self.call(call, None, &mut taken),
            Message::Batch(calls) => {
                self.last += 1;
                let number = self.last;
                self.batches.insert(number, Batch { missing: calls.len(), responses: Vec::new() });
                for call in calls {
                    self.call(call, Some(number), &mut taken);
                }
            }
        }
        taken
    }

    /// A ticket is answered: what is to be written now, if anything. An answer to a ticket that does not wait is
    /// none: each call is answered once.
    pub fn answered(&mut self, ticket: Ticket, write: impl FnOnce(&Value) -> Value) -> Option<Value> {
        let waiting = self.waiting.remove(&ticket)?;
        let response = waiting.id.as_ref().map(write);
        self.done(response, waiting.batch)
    }

    /// A part is done, with its response if it has one.
    fn done(&mut self, response: Option<Value>, batch: Option<u64>) -> Option<Value> {
        let Some(number) = batch else { return response };
        let batch = self.batches.get_mut(&number)?;
        batch.responses.extend(response);
        batch.missing = batch.missing.saturating_sub(1);
        if batch.missing > 0 {
            return None;
        }
        let all = self.batches.remove(&number)?.responses;
        // A batch of notifications alone is answered by nothing at all (JSON-RPC 2.0 section 6).
        (!all.is_empty()).then_some(Value::Array(all))
    }

    fn call(&mut self, call: Call, batch: Option<u64>, taken: &mut Taken) {
        let method = match call.method {
            Ok(method) => method,
            Err(error) => {
                let response = call.id.as_ref().map(|id| rpc::error(id, &error));
                taken.say.extend(self.done(response, batch));
                return;
            }
        };
        let open = matches!(method, Method::Open(_));
        if let Some(error) = self.wrong_open(open, call.id.as_ref()) {
            let id = call.id.unwrap_or(Value::Null);
            let response = Some(rpc::error(&id, &error));
            taken.say.extend(self.done(response, batch));
            return;
        }
        // The ticket of an open call that is cancelled is looked for before the cancellation has one itself.
        let named = match &method {
            Method::Cancel(id) => self.open_of(Some(id)),
            _ => None,
        };
        self.last += 1;
        let ticket = Ticket(self.last);
        self.waiting.insert(ticket, Waiting { id: call.id, open, batch });
        let client = self.client;
        taken.inputs.push(match method {
            Method::Open(opening) if self.only_back => Input::Reopen(client, ticket, opening),
            Method::Open(opening) => Input::Open(client, ticket, opening),
            // No ticket is 0: an id that names no open call finds none.
            Method::Cancel(_) => Input::Cancel(client, ticket, named.unwrap_or(Ticket(0))),
            Method::Close(session) => Input::Close(client, ticket, session),
            Method::Status(session, viewer) => Input::Status(client, ticket, session, viewer),
        });
    }

    fn open_of(&self, id: Option<&Value>) -> Option<Ticket> {
        let same = |waiting: &Waiting| waiting.open && waiting.id.as_ref() == id;
        self.waiting.iter().find(|(_, waiting)| same(waiting)).map(|(ticket, _)| *ticket)
    }

    /// Why an open call is not accepted, whose one answer could not be told from another or not be given at all.
    fn wrong_open(&self, open: bool, id: Option<&Value>) -> Option<RpcError> {
        let error = |message: String| Some(RpcError::new(rpc::INVALID_REQUEST, message));
        if !open {
            return None;
        }
        if id.is_none_or(Value::is_null) {
            return error("session.open needs an id: it has an answer".into());
        }
        if self.open_of(id).is_some() {
            return error("an open call with this id is not answered yet".into());
        }
        let opens = self.waiting.values().filter(|waiting| waiting.open).count();
        if opens >= self.opens_most {
            return error(format!("{opens} open calls wait already: wait for an answer"));
        }
        None
    }
}
