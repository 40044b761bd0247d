//! Keep-alive connections to boxes: which one carries a request, when to dial, what to keep, what to hang up.
//!
//! One request is out on a connection at a time (HTTP/1.1 without pipelining), so that closing the connection ends
//! the wait for that request alone. What a request's end proves is told here and nowhere else, see [`Proof`].

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use salttally::interface::{Micros, ServerId, SessionId};

use super::timers::{Deadline, Timers};
use super::{BoxRequest, ConnId, DialError, ExchangeEnd, Output};

/// A request and its place in the row of all requests.
#[derive(Clone, Debug, PartialEq)]
struct Job {
    serial: u64,
    request: BoxRequest,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    /// The connection is being made for this request; nothing, if that was withdrawn.
    Dialing(Option<Job>),
    /// A request is out.
    Busy(Job),
    /// Free, and kept until this time.
    Idle(Micros),
}

#[derive(Clone, Debug, PartialEq)]
struct Conn {
    server: ServerId,
    address: SocketAddr,
    state: State,
}

/// What is known of a request that was withdrawn before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Not a byte of it was written.
    Unsent,
    /// It was, or may have been, written.
    MayHaveRun,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// No connection: it never ran.
    NoConnection(DialError),
    /// It took longer than it may.
    TimedOut,
    /// The exchange ended so; never [`ExchangeEnd::Stale`].
    Exchange(ExchangeEnd),
}

/// The connections of a front.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    conns: BTreeMap<ConnId, Conn>,
    /// Requests that wait for a connection, each box in order.
    queues: BTreeMap<ServerId, VecDeque<(SocketAddr, Job)>>,
    last: u64,
    serial: u64,
}

impl Pool {
    /// Sends a request: on the connection to this address that was used last, else on a new one, else it waits
    /// until one of the box's connections is free. `until` is when its end is no longer waited for; a set-up has
    /// its own time-out and is withdrawn by that.
    pub fn send(
        &mut self,
        to: (ServerId, SocketAddr),
        request: BoxRequest,
        until: Option<Micros>,
        most: usize,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) {
        let (server, address) = to;
        self.serial += 1;
        let job = Job { serial: self.serial, request };
        if let Some(until) = until {
            timers.set(until, Deadline::RequestTimeout(job.serial));
        }
        // The one used last is the likeliest to stand, and those that are not needed grow old and are closed.
        let idle = |conn: &Conn| match conn.state {
            State::Idle(until) if (conn.server, conn.address) == to => Some(until),
            _ => None,
        };
        let free = self.conns.iter().filter_map(|(id, conn)| idle(conn).map(|until| (until, *id))).max();
        if let Some((until, id)) = free {
            timers.cancel(until, Deadline::IdleTimeout(id));
            out.push(Output::Exchange(id, job.request.clone()));
            self.conns.entry(id).and_modify(|conn| conn.state = State::Busy(job));
        } else if self.conns.values().filter(|conn| conn.server == server).count() < most {
            self.dial(server, address, job, out);
        } else {
            self.queues.entry(server).or_default().push_back((address, job));
        }
    }

    /// A dial ended. Returns the request that ended with it, if it failed.
    pub fn dialed(
        &mut self,
        now: Micros,
        id: ConnId,
        result: Result<(), DialError>,
        idle_kept: Micros,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) -> Option<(ServerId, BoxRequest, End)> {
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
                self.free(now, id, idle_kept, timers, out);
                None
            }
            (Err(error), job) => {
                self.conns.remove(&id);
                self.next(server, out);
                job.map(|job| (server, job.request, End::NoConnection(error)))
            }
        }
    }

    /// An exchange ended. Returns the request and its end, unless it goes out again: a connection found closed
    /// before a byte was written has sent nothing, so the same request goes on a new one.
    pub fn exchanged(
        &mut self,
        now: Micros,
        id: ConnId,
        end: ExchangeEnd,
        idle_kept: Micros,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) -> Option<(ServerId, BoxRequest, End)> {
        let conn = self.conns.get_mut(&id)?;
        let (server, address) = (conn.server, conn.address);
        let State::Busy(job) = std::mem::replace(&mut conn.state, State::Dialing(None)) else { return None };
        if let ExchangeEnd::Answered { keep_alive: true, .. }
        | ExchangeEnd::Claimed { keep_alive: true, .. } = end
        {
            self.free(now, id, idle_kept, timers, out);
            return Some((server, job.request, End::Exchange(end)));
        }
        self.conns.remove(&id);
        out.push(Output::CloseConn(id));
        if end == ExchangeEnd::Stale {
            // The others are as old: each would cost a further round. Danger: a set-up written into one of them
            // just as the box closes it counts as one that may have run.
            self.forget(server, timers, out);
            self.dial(server, address, job, out);
            return None;
        }
        self.next(server, out);
        Some((server, job.request, End::Exchange(end)))
    }

    /// Withdraws the set-up of this attempt: nothing of it is awaited any more.
    pub fn withdraw(&mut self, session: &SessionId, attempt: u32, out: &mut Vec<Output>) -> Proof {
        let same = |job: &Job| match &job.request {
            BoxRequest::SetUp { session: s, attempt: a, .. } => s == session && *a == attempt,
            _ => false,
        };
        self.take_back(same, out).map_or(Proof::MayHaveRun, |(proof, ..)| proof)
    }

    /// A request's time is over. Returns it, if it is still under way.
    pub fn slow(&mut self, serial: u64, out: &mut Vec<Output>) -> Option<(ServerId, BoxRequest, End)> {
        let (_, server, job) = self.take_back(|job| job.serial == serial, out)?;
        Some((server, job.request, End::TimedOut))
    }

    fn take_back(
        &mut self,
        same: impl Fn(&Job) -> bool,
        out: &mut Vec<Output>,
    ) -> Option<(Proof, ServerId, Job)> {
        for (server, queue) in &mut self.queues {
            if let Some(at) = queue.iter().position(|(_, job)| same(job)) {
                return queue.remove(at).map(|(_, job)| (Proof::Unsent, *server, job));
            }
        }
        let holds = |conn: &Conn| match &conn.state {
            State::Dialing(job) => job.as_ref().is_some_and(&same),
            State::Busy(job) => same(job),
            State::Idle(_) => false,
        };
        let id = self.conns.iter().find(|(_, conn)| holds(conn)).map(|(id, _)| *id)?;
        let conn = self.conns.get_mut(&id)?;
        let server = conn.server;
        if let State::Dialing(job) = &mut conn.state {
            // The connection is made all the same and serves the next request.
            return job.take().map(|job| (Proof::Unsent, server, job));
        }
        let State::Busy(job) = self.conns.remove(&id)?.state else { return None };
        out.push(Output::CloseConn(id));
        self.next(server, out);
        Some((Proof::MayHaveRun, server, job))
    }

    /// Hangs up all idle connections to a box: its process may be gone.
    pub fn forget(&mut self, server: ServerId, timers: &mut Timers, out: &mut Vec<Output>) {
        self.conns.retain(|id, conn| match conn.state {
            State::Idle(until) if conn.server == server => {
                timers.cancel(until, Deadline::IdleTimeout(*id));
                out.push(Output::CloseConn(*id));
                false
            }
            _ => true,
        });
    }

    /// An idle connection has been kept long enough.
    pub fn too_old(&mut self, id: ConnId, out: &mut Vec<Output>) {
        if self.conns.get(&id).is_some_and(|conn| matches!(conn.state, State::Idle(_))) {
            self.conns.remove(&id);
            out.push(Output::CloseConn(id));
        }
    }

    /// The box that a connection goes to.
    pub fn box_of(&self, id: ConnId) -> Option<ServerId> {
        self.conns.get(&id).map(|conn| conn.server)
    }

    /// Number of connections: being made, busy, idle; and requests that wait for one.
    pub fn count(&self) -> [usize; 4] {
        let mut count = [0; 4];
        for conn in self.conns.values() {
            let place = match conn.state {
                State::Dialing(_) => 0,
                State::Busy(_) => 1,
                State::Idle(_) => 2,
            };
            count[place] += 1;
        }
        count[3] = self.queues.values().map(VecDeque::len).sum();
        count
    }

    /// Hangs up everything.
    pub fn stop(&mut self, out: &mut Vec<Output>) {
        out.extend(std::mem::take(&mut self.conns).into_keys().map(Output::CloseConn));
        self.queues.clear();
    }

    fn dial(&mut self, server: ServerId, address: SocketAddr, job: Job, out: &mut Vec<Output>) {
        self.last += 1;
        let id = ConnId(self.last);
        self.conns.insert(id, Conn { server, address, state: State::Dialing(Some(job)) });
        out.push(Output::Dial(id, server, address));
    }

    /// A connection is free: it takes the next request of its box, or is kept for a while.
    fn free(
        &mut self,
        now: Micros,
        id: ConnId,
        idle_kept: Micros,
        timers: &mut Timers,
        out: &mut Vec<Output>,
    ) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let queue = self.queues.entry(conn.server).or_default();
        let fitting = queue.iter().position(|(address, _)| *address == conn.address);
        if let Some((_, job)) = fitting.and_then(|at| queue.remove(at)) {
            out.push(Output::Exchange(id, job.request.clone()));
            conn.state = State::Busy(job);
        } else {
            // The moment stands in the entry and in the timer, so that a used connection's timer can be found.
            let until = now + idle_kept;
            conn.state = State::Idle(until);
            timers.set(until, Deadline::IdleTimeout(id));
        }
    }

    /// A connection of this box is gone: the next request that waits has one made for it.
    fn next(&mut self, server: ServerId, out: &mut Vec<Output>) {
        if let Some((address, job)) = self.queues.get_mut(&server).and_then(VecDeque::pop_front) {
            self.dial(server, address, job, out);
        }
    }
}
