//! The front's own thread: it feeds the ledger with what the other threads hear, carries out what the ledger
//! says, and waits until the next of either. It never waits for a peer.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TryRecvError};
use salttally::controller::Controller;
use salttally::interface::Micros;
use salttally_copies::edge::Teller as Copies;
use salttally_members::core::pauses::Pauses;

use crate::box_list::Follower;
use crate::boxes::Boxes;
use crate::clock::Clock;
use crate::core::{Answer, ClientId, Counts, Input, Ledger, Level, News, Output, Reply, Ticket};
use crate::inside::messages::{Look, Msg, Port, Taken, ToCaller};
use crate::session_api::core::overflow::Overflow;
use crate::session_api::core::share::Aftermath;
use crate::session_api::entrance::Entrance;
use crate::session_api::rpc;

/// The engine's state.
pub struct Engine {
    /// The time.
    pub clock: Clock,
    /// Sessions and attempts.
    pub ledger: Ledger<Controller>,
    /// Connections to boxes and their event streams.
    pub boxes: Boxes,
    /// Follows the box list.
    pub list: Follower,
    /// What is told.
    pub inbox: Receiver<Msg>,
    /// Calls over their sender's share: heard when there is nothing else.
    pub over: Overflow<Taken>,
    /// How many these are, for those who would add to them.
    pub waiting: Arc<AtomicUsize>,
    /// What opens cost beside their calls.
    pub aftermath: Aftermath,
    /// Who is let in.
    pub entrance: Arc<Entrance>,
    /// Clients by number.
    pub clients: BTreeMap<ClientId, Port>,
    /// Empty between two inputs; kept for its room.
    pub out: Vec<Output>,
    /// Likewise: clients of which something was heard or said.
    pub touched: BTreeSet<ClientId>,
    /// Where copies of promises are kept, if they are.
    pub copies: Option<Copies>,
    /// Time during which this process was not running.
    pub pauses: Pauses,
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
                Ok(Msg::Over(taken)) => {
                    self.over.push(taken.client, taken);
                    false
                }
                Ok(Msg::Calls(taken)) => {
                    let mut all = self.earlier(taken.client);
                    all.push(taken);
                    all.into_iter().fold(false, |finished, taken| self.calls(taken) | finished)
                }
                Ok(Msg::Core(input)) => {
                    let gone = match &input {
                        Input::ClientGone(client) | Input::ClientLost(client) => Some(*client),
                        _ => None,
                    };
                    let begun = self.clock.moment_now();
                    let finished = self.input(input);
                    self.aftermath.spent(self.clock.nanos_since(begun));
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
    fn hear(&mut self) -> Result<Msg, RecvTimeoutError> {
        match self.inbox.try_recv() {
            Ok(msg) => return Ok(msg),
            Err(TryRecvError::Disconnected) => return Err(RecvTimeoutError::Disconnected),
            Err(TryRecvError::Empty) => {}
        }
        if let Some(taken) = self.over.pop() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return Ok(Msg::Calls(taken));
        }
        let around = self.clock.now() + LOOK_AROUND;
        let due = self.ledger.next_due().map_or(around, |due| due.min(around));
        self.inbox.recv_deadline(self.clock.moment(due))
    }

    /// What of this player waits for time: it goes ahead of what the player says now.
    fn earlier(&mut self, client: ClientId) -> Vec<Taken> {
        let earlier = self.over.all_of(client);
        self.waiting.fetch_sub(earlier.len(), Ordering::Relaxed);
        earlier
    }

    /// Takes in a player's message and charges what it cost. Returns whether the front is done.
    fn calls(&mut self, taken: Taken) -> bool {
        let begun = self.clock.moment_now();
        let (inputs, share) = match self.clients.get_mut(&taken.client) {
            Some(Port::Socket(socket)) => (socket.take(taken.message), Arc::clone(&socket.share)),
            _ => return false,
        };
        let opens =
            inputs.iter().filter(|input| matches!(input, Input::Open(..) | Input::Return(..))).count();
        let mut finished = false;
        for input in inputs {
            finished |= self.input(input);
        }
        let nanos = self.clock.nanos_since(begun).saturating_add(self.aftermath.opened(opens as u64));
        share.lock().unwrap_or_else(PoisonError::into_inner).cost(taken.charge, nanos);
        finished
    }

    /// Tells the door whether a player holds something, where that has changed.
    fn note_holds(&mut self, client: ClientId) {
        let Some(Port::Socket(socket)) = self.clients.get_mut(&client) else { return };
        let holds = self.ledger.holds(client);
        if std::mem::replace(&mut socket.holds, holds) != holds {
            if holds {
                socket.calls.returned();
            }
            self.entrance.holds(client, holds);
        }
    }

    /// Hands one input to the ledger and carries out what it says; returns whether the front is done.
    fn input(&mut self, input: Input) -> bool {
        let mut out = std::mem::take(&mut self.out);
        let mut touched = std::mem::take(&mut self.touched);
        if let Input::Open(client, ..) | Input::Return(client, ..) = &input {
            touched.insert(*client);
        }
        self.ledger.lease_clock(salttally_accord::edge::now);
        // Danger: stopped between a look at the clock for pauses and another one for this input, the process would not know
        // that it was, and take its own sleep for silence of the boxes: all that they play would be lost. So both go by one.
        let now = self.clock.now();
        if let Some(lost) = self.pauses.called(now) {
            tracing::warn!(ms = lost / 1000, "this process was not running");
            self.ledger.handle(now, Input::Woke, &mut out);
        }
        self.pauses.ask(now + LOOK_AROUND);
        self.ledger.handle(now, input, &mut out);
        let mut finished = false;
        for output in out.drain(..) {
            if let Output::Answer(client, ..) | Output::Reply(client, ..) | Output::Tell(client, ..) = &output
            {
                touched.insert(*client);
            }
            match &output {
                Output::Answer(client, ticket, answer) => self.answer(*client, *ticket, answer),
                Output::Reply(client, ticket, reply) => self.reply(*client, *ticket, reply),
                Output::Tell(client, news) => self.tell(*client, news),
                Output::Dial(conn, server, address) => self.boxes.dial(*conn, *server, *address),
                Output::Exchange(conn, request) => {
                    let writ = self.ledger.writ(request);
                    self.boxes.exchange(*conn, request, writ);
                }
                Output::Hang(conn) => self.boxes.hang(*conn),
                Output::Listen(server, number, address) => self.boxes.listen(*server, *number, *address),
                Output::StopListening(_, number) => self.boxes.stop_listening(*number),
                Output::FollowList => self.list.follow(),
                Output::Keep(key, body, waits) => {
                    if let Some(copies) = &self.copies {
                        copies.keep(Arc::clone(key), body.clone(), *waits);
                    }
                }
                Output::Forget(key) => {
                    if let Some(copies) = &self.copies {
                        copies.end(Arc::clone(key));
                    }
                }
                Output::Found(life) => {
                    if let Some(copies) = &self.copies {
                        copies.found(Arc::clone(life));
                    }
                }
                Output::Lives(life) => {
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
            door: self.entrance.counts(),
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
