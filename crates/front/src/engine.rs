//! The front's own thread: it feeds the ledger with what the other threads hear, carries out what the ledger
//! says, and waits until the next of either. It never waits for a peer.

use std::collections::BTreeMap;
use std::sync::Arc;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use salttally::brain::Brain;
use serde_json::Value;

use crate::box_list::Follower;
use crate::boxes::Boxes;
use crate::clock::Clock;
use crate::core::{Answer, ClientId, Counts, Input, Ledger, Level, News, Output, Reply, Ticket};
use crate::session_api::outbox::Outbox;
use crate::session_api::rpc::{self, Call, Message, Method};
use crate::session_api::server::text_frame;

/// What the engine is told.
pub enum Msg {
    /// A client begins.
    Attach(ClientId, Port),
    /// A message of a player.
    Calls(ClientId, Message),
    /// Anything else for the ledger.
    Core(Input),
    /// How the front stands.
    Look(Sender<Look>),
    /// End in order; told when all is done.
    ShutDown(Sender<Counts>),
    /// End at once, as a process that is killed.
    Die,
}

/// How a front stands.
#[derive(Clone, Copy, Debug, Default)]
pub struct Look {
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
}

/// The way to a client.
pub enum Port {
    /// A player's connection.
    Socket(Box<Socket>),
    /// A caller of the library.
    Caller(Sender<ToCaller>),
}

/// What a caller of the library is told.
#[derive(Clone, Debug, PartialEq)]
pub enum ToCaller {
    /// The one answer.
    Answer(Answer),
    /// News.
    News(News),
    /// The answer to another call.
    Reply(Reply),
}

/// A player's connection and the calls on it that wait for an answer.
pub struct Socket {
    outbox: Arc<Outbox>,
    calls: BTreeMap<Ticket, Waiting>,
    batches: BTreeMap<u64, Batch>,
    last: u64,
}

struct Waiting {
    /// None for a notification: it is never answered.
    id: Option<Value>,
    open: bool,
    batch: Option<u64>,
}

struct Batch {
    missing: usize,
    responses: Vec<Value>,
}

impl Port {
    /// The port of a player's connection.
    pub fn socket(outbox: Arc<Outbox>) -> Port {
        Port::Socket(Box::new(Socket { outbox, calls: BTreeMap::new(), batches: BTreeMap::new(), last: 0 }))
    }
}

impl Socket {
    fn write(&self, value: &Value) {
        self.outbox.send(&text_frame(value.to_string()));
    }

    /// A response: by itself, or with the others of its batch when the last is there.
    fn respond(&mut self, response: Value, batch: Option<u64>) {
        match batch {
            None => self.write(&response),
            Some(number) => {
                if let Some(batch) = self.batches.get_mut(&number) {
                    batch.responses.push(response);
                }
                self.part_done(number);
            }
        }
    }

    fn part_done(&mut self, number: u64) {
        let Some(batch) = self.batches.get_mut(&number) else { return };
        batch.missing = batch.missing.saturating_sub(1);
        if batch.missing == 0 {
            let all = self.batches.remove(&number).map_or(Vec::new(), |batch| batch.responses);
            // A batch of notifications alone is answered by nothing at all.
            if !all.is_empty() {
                self.write(&Value::Array(all));
            }
        }
    }

    fn answered(&mut self, ticket: Ticket, write: impl FnOnce(&Value) -> Value) {
        let Some(waiting) = self.calls.remove(&ticket) else { return };
        match waiting.id {
            Some(id) => {
                let response = write(&id);
                self.respond(response, waiting.batch);
            }
            None => waiting.batch.into_iter().for_each(|number| self.part_done(number)),
        }
    }

    /// Takes a message apart into the ledger's inputs; what is wrong is answered here.
    fn take(&mut self, client: ClientId, message: Message) -> Vec<Input> {
        let mut inputs = Vec::new();
        match message {
            Message::Unreadable(error) => self.write(&rpc::error(&Value::Null, &error)),
            Message::One(call) => inputs.extend(self.call(client, call, None)),
            Message::Batch(calls) => {
                self.last += 1;
                let number = self.last;
                self.batches.insert(number, Batch { missing: calls.len(), responses: Vec::new() });
                for call in calls {
                    inputs.extend(self.call(client, call, Some(number)));
                }
            }
        }
        inputs
    }

    fn call(&mut self, client: ClientId, call: Call, batch: Option<u64>) -> Option<Input> {
        let method = match (call.method, &call.id) {
            (Ok(method), _) => method,
            (Err(error), Some(id)) => {
                self.respond(rpc::error(id, &error), batch);
                return None;
            }
            (Err(_), None) => {
                batch.into_iter().for_each(|number| self.part_done(number));
                return None;
            }
        };
        let open = matches!(method, Method::Open(_));
        if open && call.id.as_ref().is_none_or(Value::is_null) {
            // Its one answer could not be given: it is not accepted.
            let text = "session.open needs an id: it has an answer";
            let error = rpc::RpcError { code: rpc::INVALID_REQUEST, message: text.into() };
            self.respond(rpc::error(&Value::Null, &error), batch);
            return None;
        }
        if open && self.calls.values().any(|waiting| waiting.open && waiting.id == call.id) {
            let text = "an open call with this id is not answered yet";
            let error = rpc::RpcError { code: rpc::INVALID_REQUEST, message: text.into() };
            self.respond(rpc::error(&call.id.unwrap_or(Value::Null), &error), batch);
            return None;
        }
        let named = match &method {
            Method::Cancel(id) => {
                let id = Some(id.clone());
                self.calls.iter().find(|(_, waiting)| waiting.open && waiting.id == id).map(|(t, _)| *t)
            }
            _ => None,
        };
        self.last += 1;
        let ticket = Ticket(self.last);
        self.calls.insert(ticket, Waiting { id: call.id, open, batch });
        Some(match method {
            Method::Open(opening) => Input::Open(client, ticket, opening),
            // No ticket is 0: an id that names no open call finds none.
            Method::Cancel(_) => Input::Cancel(client, ticket, named.unwrap_or(Ticket(0))),
            Method::Close(session) => Input::Close(client, ticket, session),
            Method::Status(session, viewer) => Input::Status(client, ticket, session, viewer),
        })
    }
}

/// The engine's state.
pub struct Engine {
    /// The time.
    pub clock: Clock,
    /// Sessions and attempts.
    pub ledger: Ledger<Brain>,
    /// Connections to boxes and their event streams.
    pub boxes: Boxes,
    /// Follows the box list.
    pub list: Follower,
    /// What is told.
    pub inbox: Receiver<Msg>,
    /// Clients by number.
    pub clients: BTreeMap<ClientId, Port>,
    /// Empty between two inputs; kept for its room.
    pub out: Vec<Output>,
}

impl Engine {
    /// Runs until the front ends.
    pub fn run(mut self) {
        let mut waits: Vec<Sender<Counts>> = Vec::new();
        loop {
            // The ledger looks at its timers with every input, so a flood of messages holds none of them up.
            let next = self.ledger.next_due().map(|at| self.clock.moment(at));
            let heard = match next {
                Some(next) => self.inbox.recv_deadline(next),
                None => self.inbox.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            let finished = match heard {
                Err(RecvTimeoutError::Timeout) => self.input(Input::Tick),
                Err(RecvTimeoutError::Disconnected) | Ok(Msg::Die) => return self.die(),
                Ok(Msg::ShutDown(done)) => {
                    waits.push(done);
                    self.input(Input::ShutDown)
                }
                Ok(Msg::Look(to)) => {
                    let _ = to.send(self.look());
                    false
                }
                Ok(Msg::Attach(client, port)) => {
                    self.clients.insert(client, port);
                    false
                }
                Ok(Msg::Calls(client, calls)) => {
                    let inputs = match self.clients.get_mut(&client) {
                        Some(Port::Socket(socket)) => socket.take(client, calls),
                        _ => Vec::new(),
                    };
                    let mut finished = false;
                    for input in inputs {
                        finished |= self.input(input);
                    }
                    finished
                }
                Ok(Msg::Core(input)) => {
                    let gone = match &input {
                        Input::ClientGone(client) => Some(*client),
                        _ => None,
                    };
                    let finished = self.input(input);
                    gone.and_then(|client| self.clients.remove(&client));
                    finished
                }
            };
            if finished {
                for done in waits {
                    let _ = done.send(self.ledger.counts());
                }
                return self.die();
            }
        }
    }

    /// Hands one input to the ledger and carries out what it says; returns whether the front is done.
    fn input(&mut self, input: Input) -> bool {
        let mut out = std::mem::take(&mut self.out);
        self.ledger.handle(self.clock.now(), input, &mut out);
        let mut finished = false;
        for output in out.drain(..) {
            match &output {
                Output::Answer(client, ticket, answer) => self.answer(*client, *ticket, answer),
                Output::Reply(client, ticket, reply) => self.reply(*client, *ticket, reply),
                Output::Tell(client, news) => self.tell(*client, news),
                Output::Dial(conn, server, address) => self.boxes.dial(*conn, *server, *address),
                Output::Exchange(conn, request) => self.boxes.exchange(*conn, request),
                Output::Hang(conn) => self.boxes.hang(*conn),
                Output::Listen(server, number, address) => self.boxes.listen(*server, *number, *address),
                Output::StopListening(server, number) => self.boxes.stop_listening(*server, *number),
                Output::FollowList => self.list.follow(),
                Output::Log(Level::Debug, text) => tracing::debug!("{text}"),
                Output::Log(Level::Info, text) => tracing::info!("{text}"),
                Output::Log(Level::Warn, text) => tracing::warn!("{text}"),
                Output::Finished => finished = true,
            }
        }
        self.out = out;
        finished
    }

    fn answer(&mut self, client: ClientId, ticket: Ticket, answer: &Answer) {
        match self.clients.get_mut(&client) {
            Some(Port::Socket(socket)) => socket.answered(ticket, |id| rpc::answer(id, answer)),
            Some(Port::Caller(to)) => {
                let _ = to.send(ToCaller::Answer(answer.clone()));
            }
            None => {}
        }
    }

    fn reply(&mut self, client: ClientId, ticket: Ticket, reply: &Reply) {
        match self.clients.get_mut(&client) {
            Some(Port::Socket(socket)) => socket.answered(ticket, |id| rpc::reply(id, reply)),
            Some(Port::Caller(to)) => {
                let _ = to.send(ToCaller::Reply(reply.clone()));
            }
            None => {}
        }
    }

    fn tell(&mut self, client: ClientId, news: &News) {
        match self.clients.get_mut(&client) {
            Some(Port::Socket(socket)) => socket.write(&rpc::news(news)),
            Some(Port::Caller(to)) => {
                let _ = to.send(ToCaller::News(news.clone()));
            }
            None => {}
        }
    }

    fn look(&self) -> Look {
        let (sessions, playing) = self.ledger.held();
        Look {
            counts: self.ledger.counts(),
            sessions,
            playing,
            connections: self.ledger.connections(),
            clients: self.clients.len(),
        }
    }

    /// Closes every socket, with no word to anybody.
    fn die(mut self) {
        self.boxes.die();
        self.list.die();
        for port in std::mem::take(&mut self.clients).into_values() {
            if let Port::Socket(socket) = port {
                socket.outbox.close();
            }
        }
    }
}
