//! The engine thread: passes messages from the other threads to the ledger, executes its outputs, and waits
//! for the next message or deadline. It never waits for a peer.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TryRecvError};
use salttally::controller::Controller;
use salttally::interface::Micros;
use salttally_copies::edge::Handle as Copies;
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

/// State of the engine.
pub struct Engine {
    /// Clock of the front.
    pub clock: Clock,
    /// Sessions and attempts.
    pub ledger: Ledger<Controller>,
    /// Connections to boxes and their event streams.
    pub boxes: BoxConnections,
    /// Follows the box list.
    pub box_list: ListFollower,
    /// Incoming messages.
    pub inbox: Receiver<EngineMessage>,
    /// Messages from players that have used up their share of this thread, processed when there is nothing
    /// else to do.
    pub deferred: DeferredQueue<ReceivedMessage>,
    /// Number of these messages, shared with the threads that add to them.
    pub deferred_count: Arc<AtomicUsize>,
    /// Processing cost of open requests beyond their calls.
    pub open_overhead: OpenOverhead,
    /// Admission of player connections.
    pub connections: Arc<Connections>,
    /// Clients by id.
    pub clients: BTreeMap<ClientId, ClientSink>,
    /// Output buffer; empty between inputs, kept to reuse its memory.
    pub outputs: Vec<Output>,
    /// Clients touched by the current input; likewise reused.
    pub touched_clients: BTreeSet<ClientId>,
    /// Replication of session records, if enabled.
    pub copies: Option<Copies>,
    /// Detects suspensions of this process.
    pub pauses: PauseDetector,
}

/// Maximum time between checks of the clock, us, which detect that the process was suspended.
const MAX_WAIT_US: Micros = 100_000;

impl Engine {
    /// Runs until the front ends.
    pub fn run(mut self) {
        let mut shutdown_replies: Vec<Sender<Counts>> = Vec::new();
        loop {
            // The ledger checks its deadlines with every input, so a flood of messages delays none of them.
            let finished = match self.next_message() {
                Err(RecvTimeoutError::Timeout) => self.apply_input(Input::Tick),
                Err(RecvTimeoutError::Disconnected) | Ok(EngineMessage::Kill) => return self.stop_now(),
                Ok(EngineMessage::ShutDown(done)) => {
                    shutdown_replies.push(done);
                    self.apply_input(Input::ShutDown)
                }
                Ok(EngineMessage::Status(reply)) => {
                    let _ = reply.send(self.status());
                    false
                }
                Ok(EngineMessage::Attach(client, sink)) => {
                    self.clients.insert(client, sink);
                    false
                }
                Ok(EngineMessage::DeferredCalls(received)) => {
                    self.deferred.push(received.client, received);
                    false
                }
                Ok(EngineMessage::Calls(received)) => {
                    let mut messages = self.take_deferred(received.client);
                    messages.push(received);
                    messages
                        .into_iter()
                        .fold(false, |finished, received| self.handle_call_message(received) | finished)
                }
                Ok(EngineMessage::Input(input)) => {
                    let departed = match &input {
                        Input::ClientClosed(client) | Input::ClientLost(client) => Some(*client),
                        _ => None,
                    };
                    let started = self.clock.instant_now();
                    let finished = self.apply_input(input);
                    self.open_overhead.record_cost(self.clock.nanos_since(started));
                    if let Some(client) = departed {
                        self.clients.remove(&client);
                        // Its deferred messages were not accepted yet and are dropped.
                        self.take_deferred(client);
                    }
                    finished
                }
            };
            if finished {
                for done in shutdown_replies {
                    let _ = done.send(self.ledger.counts());
                }
                return self.stop_now();
            }
        }
    }

    /// Receives the next message: regular messages first, deferred ones only if there are none. Returns at
    /// the next deadline at the latest.
    fn next_message(&mut self) -> Result<EngineMessage, RecvTimeoutError> {
        match self.inbox.try_recv() {
            Ok(message) => return Ok(message),
            Err(TryRecvError::Disconnected) => return Err(RecvTimeoutError::Disconnected),
            Err(TryRecvError::Empty) => {}
        }
        if let Some(received) = self.deferred.pop() {
            self.deferred_count.fetch_sub(1, Ordering::Relaxed);
            return Ok(EngineMessage::Calls(received));
        }
        let latest = self.clock.now() + MAX_WAIT_US;
        let deadline = self.ledger.next_deadline().map_or(latest, |deadline| deadline.min(latest));
        self.inbox.recv_deadline(self.clock.instant_at(deadline))
    }

    /// Removes the deferred messages of this player, which go ahead of its next one.
    fn take_deferred(&mut self, client: ClientId) -> Vec<ReceivedMessage> {
        let messages = self.deferred.take_client(client);
        self.deferred_count.fetch_sub(messages.len(), Ordering::Relaxed);
        messages
    }

    /// Handles a player message and charges its sender for the cost. Returns whether the front is done.
    fn handle_call_message(&mut self, received: ReceivedMessage) -> bool {
        let started = self.clock.instant_now();
        let (inputs, share) = match self.clients.get_mut(&received.client) {
            Some(ClientSink::Socket(socket)) => (socket.accept(received.message), Arc::clone(&socket.share)),
            _ => return false,
        };
        let opens =
            inputs.iter().filter(|input| matches!(input, Input::Open(..) | Input::Reopen(..))).count();
        let mut finished = false;
        for input in inputs {
            finished |= self.apply_input(input);
        }
        let nanos =
            self.clock.nanos_since(started).saturating_add(self.open_overhead.charge_opens(opens as u64));
        share.lock().unwrap_or_else(PoisonError::into_inner).settle(received.charge, nanos);
        finished
    }

    /// Tells the admission control whether a client has sessions, if that has changed.
    fn update_admission(&mut self, client: ClientId) {
        let Some(ClientSink::Socket(socket)) = self.clients.get_mut(&client) else { return };
        let has_sessions = self.ledger.has_sessions(client);
        if std::mem::replace(&mut socket.has_sessions, has_sessions) != has_sessions {
            if has_sessions {
                socket.calls.allow_new_sessions();
            }
            self.connections.set_in_use(client, has_sessions);
        }
    }

    /// Passes one input to the ledger and executes the outputs. Returns whether the front is done.
    fn apply_input(&mut self, input: Input) -> bool {
        let mut outputs = std::mem::take(&mut self.outputs);
        let mut touched_clients = std::mem::take(&mut self.touched_clients);
        if let Input::Open(client, ..) | Input::Reopen(client, ..) = &input {
            touched_clients.insert(*client);
        }
        self.ledger.set_lease_time(salttally_accord::edge::now);
        // Danger: if the process were suspended between reading the clock for the pause detection and reading
        // it for the input, it would not notice, and would take its own suspension for silence of the boxes:
        // all their sessions would be lost. So both use the same reading.
        let now = self.clock.now();
        if let Some(suspended) = self.pauses.check(now) {
            tracing::warn!(ms = suspended / 1000, "this process was not running");
            self.ledger.handle(now, Input::ProcessResumed, &mut outputs);
        }
        self.pauses.expect_call_at(now + MAX_WAIT_US);
        self.ledger.handle(now, input, &mut outputs);
        let mut finished = false;
        for output in outputs.drain(..) {
            if let Output::Answer(client, ..) | Output::Reply(client, ..) | Output::Notify(client, ..) =
                &output
            {
                touched_clients.insert(*client);
            }
            match &output {
                Output::Answer(client, ticket, answer) => self.answer(*client, *ticket, answer),
                Output::Reply(client, ticket, reply) => self.reply(*client, *ticket, reply),
                Output::Notify(client, notification) => self.notify(*client, notification),
                Output::Dial(conn, server, address) => self.boxes.dial(*conn, *server, *address),
                Output::Exchange(conn, request) => {
                    let authority = self.ledger.write_authority(request);
                    self.boxes.send(*conn, request, authority);
                }
                Output::CloseConn(conn) => self.boxes.hang_up(*conn),
                Output::OpenStream(server, number, address) => {
                    self.boxes.open_event_stream(*server, *number, *address)
                }
                Output::CloseStream(_, number) => self.boxes.close_event_stream(*number),
                Output::FollowList => self.box_list.follow(),
                Output::StoreRecord(key, body, awaited) => {
                    if let Some(copies) = &self.copies {
                        copies.put_record(Arc::clone(key), body.clone(), *awaited);
                    }
                }
                Output::DeleteRecord(key) => {
                    if let Some(copies) = &self.copies {
                        copies.delete_record(Arc::clone(key));
                    }
                }
                Output::OrphanFound(incarnation) => {
                    if let Some(copies) = &self.copies {
                        copies.orphan_found(Arc::clone(incarnation));
                    }
                }
                Output::IncarnationChanged(incarnation) => {
                    if let Some(copies) = &self.copies {
                        copies.incarnation_changed(Arc::clone(incarnation));
                    }
                }
                Output::Log(Level::Debug, text) => tracing::debug!("{text}"),
                Output::Log(Level::Info, text) => tracing::info!("{text}"),
                Output::Log(Level::Warn, text) => tracing::warn!("{text}"),
                Output::Finished => finished = true,
            }
        }
        while let Some(client) = touched_clients.pop_first() {
            self.update_admission(client);
        }
        (self.outputs, self.touched_clients) = (outputs, touched_clients);
        finished
    }

    fn answer(&mut self, client: ClientId, ticket: Ticket, answer: &Answer) {
        match self.clients.get_mut(&client) {
            Some(ClientSink::Socket(socket)) => socket.answer(ticket, |id| rpc::open_response(id, answer)),
            Some(ClientSink::Caller(sender)) => {
                let _ = sender.send(CallerMessage::Answer(answer.clone()));
            }
            None => {}
        }
    }

    fn reply(&mut self, client: ClientId, ticket: Ticket, reply: &Reply) {
        match self.clients.get_mut(&client) {
            Some(ClientSink::Socket(socket)) => socket.answer(ticket, |id| rpc::call_response(id, reply)),
            Some(ClientSink::Caller(sender)) => {
                let _ = sender.send(CallerMessage::Reply(reply.clone()));
            }
            None => {}
        }
    }

    fn notify(&mut self, client: ClientId, notification: &Notification) {
        match self.clients.get_mut(&client) {
            Some(ClientSink::Socket(socket)) => socket.write(&rpc::notification(notification)),
            Some(ClientSink::Caller(sender)) => {
                let _ = sender.send(CallerMessage::Notification(notification.clone()));
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
            admission: self.connections.counts(),
        }
    }

    /// Closes every socket without notifying anybody.
    fn stop_now(mut self) {
        self.boxes.close_all();
        self.box_list.close();
        for sink in std::mem::take(&mut self.clients).into_values() {
            if let ClientSink::Socket(socket) = sink {
                socket.outbox.close();
            }
        }
    }
}
