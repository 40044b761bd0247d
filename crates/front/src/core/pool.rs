//! Keep-alive connections to boxes: which one carries a request, when to dial, what to keep and what to
//! close.
//!
//! Each connection carries one request at a time (HTTP/1.1 without pipelining), so closing it cancels that
//! request alone. What the end of a request proves is decided only here; see [`Delivery`].

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use salttally::interface::{Micros, ServerId, SessionId};

use super::timers::{Deadline, Timers};
use super::{BoxRequest, ConnId, DialError, ExchangeEnd, Output};

/// A request and its number, which is unique in the pool.
#[derive(Clone, Debug, PartialEq)]
struct Job {
    serial: u64,
    request: BoxRequest,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    /// The connection is being established for this request; `None` if the request was withdrawn.
    Dialing(Option<Job>),
    /// A request is in progress.
    Busy(Job),
    /// Idle, and kept until this time.
    Idle(Micros),
}

#[derive(Clone, Debug, PartialEq)]
struct Conn {
    server: ServerId,
    address: SocketAddr,
    state: State,
}

/// Whether a withdrawn request may have reached the box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// No byte of the request was written.
    Unsent,
    /// The request was, or may have been, written.
    MayHaveRun,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEnd {
    /// No connection: the request was not executed.
    NoConnection(DialError),
    /// The time limit was reached.
    TimedOut,
    /// The exchange ended with this result; never [`ExchangeEnd::Stale`].
    Exchange(ExchangeEnd),
}

/// The front's connections to boxes.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    conns: BTreeMap<ConnId, Conn>,
    /// Requests that wait for a connection, in order for each box.
    queues: BTreeMap<ServerId, VecDeque<(SocketAddr, Job)>>,
    last: u64,
    serial: u64,
}

impl Pool {
    /// Sends a request: on the most recently used idle connection to this address, else on a new one; if the
    /// box has `max_connections` already, the request waits until one is free. `until` is when the front
    /// stops waiting for the result; a set-up is withdrawn by its own timeout instead.
    pub fn send(
        &mut self,
        to: (ServerId, SocketAddr),
        request: BoxRequest,
        until: Option<Micros>,
        max_connections: usize,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) {
        let (server, address) = to;
        self.serial += 1;
        let job = Job { serial: self.serial, request };
        if let Some(until) = until {
            timers.set(until, Deadline::RequestTimeout(job.serial));
        }
        // The most recently used connection is the most likely to be still open; surplus connections stay
        // idle until they are closed.
        let idle = |conn: &Conn| match conn.state {
            State::Idle(until) if (conn.server, conn.address) == to => Some(until),
            _ => None,
        };
        let free = self.conns.iter().filter_map(|(id, conn)| idle(conn).map(|until| (until, *id))).max();
        if let Some((until, id)) = free {
            timers.cancel(until, Deadline::IdleTimeout(id));
            out.push(Output::Exchange(id, job.request.clone()));
            self.conns.entry(id).and_modify(|conn| conn.state = State::Busy(job));
        } else if self.conns.values().filter(|conn| conn.server == server).count() < max_connections {
            self.dial(server, address, job, out);
        } else {
            self.queues.entry(server).or_default().push_back((address, job));
        }
    }

    /// Handles the end of a dial. Returns the request that failed with it, if any.
    pub fn dialed(
        &mut self,
        now: Micros,
        id: ConnId,
        result: Result<(), DialError>,
        idle_timeout: Micros,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) -> Option<(ServerId, BoxRequest, RequestEnd)> {
        let conn = self.conns.get_mut(&id)?;
        let State::Dialing(job) = &mut conn.state else { return None };
        let (server, job) = (conn.server, job.take());
        match (result, job) {
            (Ok(()), Some(job)) => {
                out.push(Output::Exchange(id, job.request.clone()));
                conn.state = State::Busy(job);
                None
            }
            (Ok(()), None) => {
                self.reuse_or_keep(now, id, idle_timeout, timers, out);
                None
            }
            (Err(error), job) => {
                self.conns.remove(&id);
                self.dial_next(server, out);
                job.map(|job| (server, job.request, RequestEnd::NoConnection(error)))
            }
        }
    }

    /// Handles the end of an exchange. Returns the request and its end, unless it is sent again: if the
    /// connection was closed before a byte was written, nothing was sent, and the request goes out on a new
    /// connection.
    pub fn exchanged(
        &mut self,
        now: Micros,
        id: ConnId,
        end: ExchangeEnd,
        idle_timeout: Micros,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) -> Option<(ServerId, BoxRequest, RequestEnd)> {
        let conn = self.conns.get_mut(&id)?;
        let (server, address) = (conn.server, conn.address);
        let State::Busy(job) = std::mem::replace(&mut conn.state, State::Dialing(None)) else { return None };
        if let ExchangeEnd::Answered { keep_alive: true, .. }
        | ExchangeEnd::Claimed { keep_alive: true, .. } = end
        {
            self.reuse_or_keep(now, id, idle_timeout, timers, out);
            return Some((server, job.request, RequestEnd::Exchange(end)));
        }
        self.conns.remove(&id);
        out.push(Output::CloseConn(id));
        if end == ExchangeEnd::Stale {
            // The other idle connections are as old, and each would cost another round trip. Danger: if the
            // box closes a connection just as a set-up is written to it, the set-up counts as possibly
            // executed.
            self.close_idle(server, timers, out);
            self.dial(server, address, job, out);
            return None;
        }
        self.dial_next(server, out);
        Some((server, job.request, RequestEnd::Exchange(end)))
    }

    /// Withdraws the set-up of this attempt: its result is no longer awaited.
    pub fn withdraw_set_up(&mut self, session: &SessionId, attempt: u32, out: &mut Vec<Output>) -> Delivery {
        let matches = |job: &Job| match &job.request {
            BoxRequest::SetUp { session: s, attempt: a, .. } => s == session && *a == attempt,
            _ => false,
        };
        self.withdraw_matching(matches, out).map_or(Delivery::MayHaveRun, |(delivery, ..)| delivery)
    }

    /// Handles the time limit of a request. Returns the request if it was still in progress.
    pub fn request_timed_out(
        &mut self,
        serial: u64,
        out: &mut Vec<Output>,
    ) -> Option<(ServerId, BoxRequest, RequestEnd)> {
        let (_, server, job) = self.withdraw_matching(|job| job.serial == serial, out)?;
        Some((server, job.request, RequestEnd::TimedOut))
    }

    fn withdraw_matching(
        &mut self,
        matches: impl Fn(&Job) -> bool,
        out: &mut Vec<Output>,
    ) -> Option<(Delivery, ServerId, Job)> {
        for (server, queue) in &mut self.queues {
            if let Some(at) = queue.iter().position(|(_, job)| matches(job)) {
                return queue.remove(at).map(|(_, job)| (Delivery::Unsent, *server, job));
            }
        }
        let carries = |conn: &Conn| match &conn.state {
            State::Dialing(job) => job.as_ref().is_some_and(&matches),
            State::Busy(job) => matches(job),
            State::Idle(_) => false,
        };
        let id = self.conns.iter().find(|(_, conn)| carries(conn)).map(|(id, _)| *id)?;
        let conn = self.conns.get_mut(&id)?;
        let server = conn.server;
        if let State::Dialing(job) = &mut conn.state {
            // The connection is still established, for the next request.
            return job.take().map(|job| (Delivery::Unsent, server, job));
        }
        let State::Busy(job) = self.conns.remove(&id)?.state else { return None };
        out.push(Output::CloseConn(id));
        self.dial_next(server, out);
        Some((Delivery::MayHaveRun, server, job))
    }

    /// Closes all idle connections to a box, whose process may be gone.
    pub fn close_idle(&mut self, server: ServerId, timers: &mut Timers, out: &mut Vec<Output>) {
        self.conns.retain(|id, conn| match conn.state {
            State::Idle(until) if conn.server == server => {
                timers.cancel(until, Deadline::IdleTimeout(*id));
                out.push(Output::CloseConn(*id));
                false
            }
            _ => true,
        });
    }

    /// Closes a connection that has been idle long enough.
    pub fn idle_timed_out(&mut self, id: ConnId, out: &mut Vec<Output>) {
        if self.conns.get(&id).is_some_and(|conn| matches!(conn.state, State::Idle(_))) {
            self.conns.remove(&id);
            out.push(Output::CloseConn(id));
        }
    }

    /// The box that a connection goes to.
    pub fn box_of(&self, id: ConnId) -> Option<ServerId> {
        self.conns.get(&id).map(|conn| conn.server)
    }

    /// Number of connections being established, busy and idle, and of requests waiting for one.
    pub fn count(&self) -> [usize; 4] {
        let mut count = [0; 4];
        for conn in self.conns.values() {
            let index = match conn.state {
                State::Dialing(_) => 0,
                State::Busy(_) => 1,
                State::Idle(_) => 2,
            };
            count[index] += 1;
        }
        count[3] = self.queues.values().map(VecDeque::len).sum();
        count
    }

    /// Closes all connections and drops the waiting requests.
    pub fn close_all(&mut self, out: &mut Vec<Output>) {
        out.extend(std::mem::take(&mut self.conns).into_keys().map(Output::CloseConn));
        self.queues.clear();
    }

    fn dial(&mut self, server: ServerId, address: SocketAddr, job: Job, out: &mut Vec<Output>) {
        self.last += 1;
        let id = ConnId(self.last);
        self.conns.insert(id, Conn { server, address, state: State::Dialing(Some(job)) });
        out.push(Output::Dial(id, server, address));
    }

    /// Gives a free connection the next request for its box, or keeps it idle.
    fn reuse_or_keep(
        &mut self,
        now: Micros,
        id: ConnId,
        idle_timeout: Micros,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let queue = self.queues.entry(conn.server).or_default();
        let position = queue.iter().position(|(address, _)| *address == conn.address);
        if let Some((_, job)) = position.and_then(|at| queue.remove(at)) {
            out.push(Output::Exchange(id, job.request.clone()));
            conn.state = State::Busy(job);
        } else {
            // The time is kept here too, to find the timer when the connection is used again.
            let until = now + idle_timeout;
            conn.state = State::Idle(until);
            timers.set(until, Deadline::IdleTimeout(id));
        }
    }

    /// After a connection to this box is gone, dials for the next waiting request.
    fn dial_next(&mut self, server: ServerId, out: &mut Vec<Output>) {
        if let Some((address, job)) = self.queues.get_mut(&server).and_then(VecDeque::pop_front) {
            self.dial(server, address, job, out);
        }
    }
}
