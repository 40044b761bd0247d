//! The front's own thread: it feeds the ledger with what the other threads hear, carries out what the ledger
//! says, and waits until the next of either. It never waits for a peer.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TryRecvError};
use salttally::controller::Controller;
use salttally::interface::Micros;
use salttally_copies::edge::Teller as Copies;
use salttally_members::core::pauses::PauseDetector;

use crate::box_list::ListFollower;
use crate::boxes::BoxConnections;
use crate::clock::Clock;
use crate::common::messages::{CallerMessage, ClientSink, EngineMessage, FrontStatus, ReceivedMessage};
use crate::core::{Answer, ClientId, Counts, Input, Ledger, Level, Notification, Output, Reply, Ticket};
use crate::session_api::connections::Connections;
use crate::session_api::core::deferred::DeferredQueue;
use crate::session_api::core::thread_share::OpenOverhead;
use crate::session_api::rpc;

/// The engine's state.
pub struct Engine {
    /// The time.
    pub clock: Clock,
    /// Sessions and attempts.
    pub ledger: Ledger<Controller>,
    /// Connections to boxes and their event streams.
    pub boxes: BoxConnections,
    /// Follows the box list.
    pub list: ListFollower,
    /// What is told.
    pub inbox: Receiver<EngineMessage>,
    /// Calls over their sender's share: heard when there is nothing else.
    pub over: DeferredQueue<ReceivedMessage>,
    /// How many these are, for those who would add to them.
    pub waiting: Arc<AtomicUsize>,
    /// What opens cost beside their calls.
    pub aftermath: OpenOverhead,
    /// Who is let in.
    pub entrance: Arc<Connections>,
    /// Clients by number.
    pub clients: BTreeMap<ClientId, ClientSink>,
    /// Empty between two inputs; kept for its room.
    pub out: Vec<Output>,
    /// Likewise: clients of which something was heard or said.
    pub touched: BTreeSet<ClientId>,
    /// Where copies of promises are kept, if they are.
    pub copies: Option<Copies>,
    /// Time during which this process was not running.
    pub pauses: PauseDetector,
}

/// The front's thread looks around this often at least, so that it knows when it was not running.
const LOOK_AROUND: Micros = 100_000;

impl Engine {
    /// Runs until the front ends.
    pub fn run(mut self) {
        let mut waits: Vec<Sender<Counts>> = Vec::new();
        loop {
            // The ledger looks at its timers with every input, so a flood of messages holds none of them up.
            let finished = match self.hear() {
                Err(RecvTimeoutError::Timeout) => self.input(Input::Tick),
                Err(RecvTimeoutError::Disconnected) | Ok(EngineMessage::Kill) => return self.die(),
                Ok(EngineMessage::ShutDown(done)) => {
                    waits.push(done);
                    self.input(Input::ShutDown)
                }
                Ok(EngineMessage::Status(to)) => {
                    let _ = to.send(self.status());
                    false
                }
                Ok(EngineMessage::Attach(client, port)) => {
                    self.clients.insert(client, port);
                    false
                }
                Ok(EngineMessage::DeferredCalls(taken)) => {
                    self.over.push(taken.client, taken);
                    false
                }
                Ok(EngineMessage::Calls(taken)) => {
                    let mut all = self.earlier(taken.client);
                    all.push(taken);
                    all.into_iter().fold(false, |finished, taken| self.calls(taken) | finished)
                }
                Ok(EngineMessage::Input(input)) => {
                    let gone = match &input {
                        Input::ClientClosed(client) | Input::ClientLost(client) => Some(*client),
                        _ => None,
                    };
                    let begun = self.clock.instant_now();
                    let finished = self.input(input);
                    self.aftermath.record_cost(self.clock.nanos_since(begun));
                    if let Some(client) = gone {
                        self.clients.remove(&client);
                        // What it asked for and nobody has seen yet was never accepted.
                        self.earlier(client);
                    }
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

    /// The next message: those that have their turn first, and none later than what is due.
    fn hear(&mut self) -> Result<EngineMessage, RecvTimeoutError> {
        match self.inbox.try_recv() {
            Ok(msg) => return Ok(msg),
            Err(TryRecvError::Disconnected) => return Err(RecvTimeoutError::Disconnected),
            Err(TryRecvError::Empty) => {}
        }
        if let Some(taken) = self.over.pop() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return Ok(EngineMessage::Calls(taken));
        }
        let around = self.clock.now() + LOOK_AROUND;
        let due = self.ledger.next_deadline().map_or(around, |due| due.min(around));
        self.inbox.recv_deadline(self.clock.instant_at(due))
    }

    /// What of this player waits for time: it goes ahead of what the player says now.
    fn earlier(&mut self, client: ClientId) -> Vec<ReceivedMessage> {
        let earlier = self.over.take_client(client);
        self.waiting.fetch_sub(earlier.len(), Ordering::Relaxed);
        earlier
    }

    /// Takes in a player's message and charges what it cost. Returns whether the front is done.
    fn calls(&mut self, taken: ReceivedMessage) -> bool {
        let begun = self.clock.instant_now();
        let (inputs, share) = match self.clients.get_mut(&taken.client) {
            Some(ClientSink::Socket(socket)) => (socket.take(taken.message), Arc::clone(&socket.share)),
            _ => return false,
        };
        let opens =
            inputs.iter().filter(|input| matches!(input, Input::Open(..) | Input::Reopen(..))).count();
        let mut finished = false;
        for input in inputs {
            finished |= self.input(input);
        }
        let nanos = self.clock.nanos_since(begun).saturating_add(self.aftermath.charge_opens(opens as u64));
        share.lock().unwrap_or_else(PoisonError::into_inner).settle(taken.charge, nanos);
        finished
    }

    /// Tells the door whether a player holds something, where that has changed.
    fn note_holds(&mut self, client: ClientId) {
        let Some(ClientSink::Socket(socket)) = self.clients.get_mut(&client) else { return };
        let holds = self.ledger.has_sessions(client);
        if std::mem::replace(&mut socket.holds, holds) != holds {
            if holds {
                socket.calls.allow_new_sessions();
            }
            self.entrance.set_in_use(client, holds);
        }
    }

    /// Hands one input to the ledger and carries out what it says; returns whether the front is done.
    fn input(&mut self, input: Input) -> bool {
        let mut out = std::mem::take(&mut self.out);
        let mut touched = std::mem::take(&mut self.touched);
        if let Input::Open(client, ..) | Input::Reopen(client, ..) = &input {
            touched.insert(*client);
        }
        self.ledger.set_lease_time(salttally_accord::edge::now);
        // Danger: stopped between a look at the clock for pauses and another one for this input, the process would not know
        // that it was, and take its own sleep for silence of the boxes: all that they play would be lost. So both go by one.
        let now = self.clock.now();
        if let Some(lost) = self.pauses.check(now) {
            tracing::warn!(ms = lost / 1000, "this process was not running");
            self.ledger.handle(now, Input::ProcessResumed, &mut out);
        }
        self.pauses.expect_call_at(now + LOOK_AROUND);
        self.ledger.handle(now, input, &mut out);
        let mut finished = false;
        for output in out.drain(..) {
            if let Output::Answer(client, ..) | Output::Reply(client, ..) | Output::Notify(client, ..) =
                &output
            {
                touched.insert(*client);
            }
            match &output {
                Output::Answer(client, ticket, answer) => self.answer(*client, *ticket, answer),
                Output::Reply(client, ticket, reply) => self.reply(*client, *ticket, reply),
                Output::Notify(client, news) => self.tell(*client, news),
                Output::Dial(conn, server, address) => self.boxes.dial(*conn, *server, *address),
                Output::Exchange(conn, request) => {
                    let writ = self.ledger.write_authority(request);
                    self.boxes.send(*conn, request, writ);
                }
                Output::CloseConn(conn) => self.boxes.hang_up(*conn),
                Output::OpenStream(server, number, address) => {
                    self.boxes.open_event_stream(*server, *number, *address)
                }
                Output::CloseStream(_, number) => self.boxes.close_event_stream(*number),
                Output::FollowList => self.list.follow(),
                Output::StoreRecord(key, body, waits) => {
                    if let Some(copies) = &self.copies {
                        copies.keep(Arc::clone(key), body.clone(), *waits);
                    }
                }
                Output::DeleteRecord(key) => {
                    if let Some(copies) = &self.copies {
                        copies.end(Arc::clone(key));
                    }
                }
                Output::OrphanFound(life) => {
                    if let Some(copies) = &self.copies {
                        copies.found(Arc::clone(life));
                    }
                }
                Output::IncarnationChanged(life) => {
                    if let Some(copies) = &self.copies {
                        copies.lives(Arc::clone(life));
                    }
                }
                Output::Log(Level::Debug, text) => tracing::debug!("{text}"),
                Output::Log(Level::Info, text) => tracing::info!("{text}"),
                Output::Log(Level::Warn, text) => tracing::warn!("{text}"),
                Output::Finished => finished = true,
            }
        }
        while let Some(client) = touched.pop_first() {
            self.note_holds(client);
        }
        (self.out, self.touched) = (out, touched);
        finished
    }

    fn answer(&mut self, client: ClientId, ticket: Ticket, answer: &Answer) {
        match self.clients.get_mut(&client) {
            Some(ClientSink::Socket(socket)) => socket.answered(ticket, |id| rpc::open_response(id, answer)),
            Some(ClientSink::Caller(to)) => {
                let _ = to.send(CallerMessage::Answer(answer.clone()));
            }
            None => {}
        }
    }

    fn reply(&mut self, client: ClientId, ticket: Ticket, reply: &Reply) {
        match self.clients.get_mut(&client) {
            Some(ClientSink::Socket(socket)) => socket.answered(ticket, |id| rpc::call_response(id, reply)),
            Some(ClientSink::Caller(to)) => {
                let _ = to.send(CallerMessage::Reply(reply.clone()));
            }
            None => {}
        }
    }

    fn tell(&mut self, client: ClientId, news: &Notification) {
        match self.clients.get_mut(&client) {
            Some(ClientSink::Socket(socket)) => socket.write(&rpc::notification(news)),
            Some(ClientSink::Caller(to)) => {
                let _ = to.send(CallerMessage::Notification(news.clone()));
            }
            None => {}
        }
    }

    fn status(&self) -> FrontStatus {
        let (sessions, playing) = self.ledger.session_counts();
        FrontStatus {
            counts: self.ledger.counts(),
            sessions,
            playing,
            connections: self.ledger.connections(),
            clients: self.clients.len(),
            door: self.entrance.counts(),
        }
    }

    /// Closes every socket, with no word to anybody.
    fn die(mut self) {
        self.boxes.close_all();
        self.list.close();
        for port in std::mem::take(&mut self.clients).into_values() {
            if let ClientSink::Socket(socket) = port {
                socket.outbox.close();
            }
        }
    }
}
