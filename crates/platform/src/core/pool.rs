//! Connections to boxes. One carries many set-ups; what stands belongs to none. What the end of a connection proves
//! of the set-ups on it is told here and nowhere else.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use salttally::facts::Facts;
use salttally::interface::{Micros, ServerId};
use salttally_front::core::timers::Timers;

use super::{ConnId, Due, Output};
use crate::wire::{cause, kind, Message};

/// Of the box's own time, after which an idle connection is closed here: before the box does, so that no set-up is
/// written into one that it is closing.
const IDLE_PART: (Micros, Micros) = (1, 3);
/// Connections to one box at most.
const MOST_TO_A_BOX: usize = 6;
/// Messages that wait for one connection at most; set-ups are bounded by what it carries.
const MOST_WAITING: usize = 1_024;
/// A connection that takes nothing for this long is of no more use.
const STALLED: Micros = 2_000_000;

/// Whether a connection takes what is to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It is being made.
    Dialing,
    /// It does.
    Open,
    /// Its peer reads nothing: this session's message is cut in the middle, and since when it is so.
    Stalled(Option<u64>, Micros),
}

#[derive(Clone, Debug)]
struct Link {
    server: ServerId,
    address: SocketAddr,
    state: State,
    /// What no byte of which has been written, in order.
    waiting: VecDeque<Message>,
    /// Set-ups that are out on it.
    out: BTreeSet<u64>,
    heard: Micros,
    used: Micros,
    /// Something was awaited on it in vain: nothing new is put on it.
    doubted: bool,
}

impl Link {
    /// Whether this session's set-up waits, with not a byte written.
    fn waits(&self, session: u64) -> bool {
        self.waiting.iter().any(|message| message.kind == kind::SET_UP && message.session == session)
    }

    /// Sessions whose set-ups wait.
    fn unsent(&self) -> Vec<u64> {
        self.out.iter().copied().filter(|session| self.waits(*session)).collect()
    }
}

/// What ended with a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// Which one.
    pub link: ConnId,
    /// Set-ups that may have run.
    pub set_ups: Vec<u64>,
    /// Set-ups of which not a byte was written.
    pub unsent: Vec<u64>,
}

/// What is known of a set-up that was taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawn {
    /// Not a byte of it was written.
    Unsent,
    /// It was, or may have been; its give-up is on the way.
    MayHaveRun,
    /// It is cut in the middle, and half a message never runs: the connection must go for that.
    Cut,
}

/// What a connection is dialled for.
#[derive(Clone, Copy, Debug)]
enum For {
    SetUp,
    Word,
    HealthCheck,
}

/// All connections to boxes.
#[derive(Clone, Debug)]
pub struct Pool {
    links: BTreeMap<ConnId, Link>,
    last: u64,
    dials: [u64; 3],
    streams: usize,
    most: usize,
    connect_within: Micros,
    idle_kept: Micros,
}

impl Pool {
    /// None yet. To them may go what the viewers' connections, open and closed, leave of the process's files.
    pub fn new(facts: &Facts, sockets: usize) -> Pool {
        Pool {
            links: BTreeMap::new(),
            last: 0,
            dials: [0; 3],
            streams: facts.streams,
            most: (sockets * 5 / 12).max(1),
            connect_within: facts.connect_within,
            idle_kept: (facts.idle_closed * IDLE_PART.0 / IDLE_PART.1).max(1),
        }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Connections dialled since the start: for set-ups, for anything else that is told, for looks.
    pub fn dials(&self) -> [u64; 3] {
        self.dials
    }

    /// Whose connection this is.
    pub fn server(&self, link: ConnId) -> Option<ServerId> {
        self.links.get(&link).map(|one| one.server)
    }

    /// The connections of a box.
    pub fn of(&self, server: ServerId) -> Vec<ConnId> {
        self.links.iter().filter(|(_, one)| one.server == server).map(|(id, _)| *id).collect()
    }

    /// Whether a connection of the box stands and is not doubted.
    pub fn is_up(&self, server: ServerId) -> bool {
        self.links.values().any(|one| one.server == server && one.state == State::Open && !one.doubted)
    }

    /// Whether this connection is being made.
    pub fn dialing(&self, link: ConnId) -> bool {
        self.links.get(&link).is_some_and(|one| one.state == State::Dialing)
    }

    /// Whether this connection is there, made or being made.
    pub fn exists(&self, link: ConnId) -> bool {
        self.links.contains_key(&link)
    }

    /// Whether something waits for a connection to be made, or to take it.
    pub fn waits(&self) -> bool {
        self.links.values().any(|one| !one.waiting.is_empty())
    }

    /// Nothing new is put on this connection.
    pub fn doubt(&mut self, link: ConnId) {
        self.links.entry(link).and_modify(|one| one.doubted = true);
    }

    /// The connection to put something on, of those with fewer set-ups out than this: one that stands before one that
    /// is being made, the one used last; never one that takes nothing.
    fn best(&self, to: (ServerId, SocketAddr), streams: usize, avoid: &[ConnId]) -> Option<ConnId> {
        let takes = |one: &Link| !one.doubted && !matches!(one.state, State::Stalled(..));
        let fits = |one: &Link| (one.server, one.address) == to && takes(one) && one.out.len() < streams;
        let known = self.links.iter().filter(|(id, one)| fits(one) && !avoid.contains(id));
        known.max_by_key(|(_, one)| (one.state == State::Open, one.used)).map(|(id, _)| *id)
    }

    fn dial(
        &mut self,
        now: Micros,
        to: (ServerId, SocketAddr),
        why: For,
        timers: &mut Timers<Due>,
        out: &mut Vec<Output>,
    ) -> Option<ConnId> {
        let of_box = self.links.values().filter(|one| one.server == to.0).count();
        if of_box >= MOST_TO_A_BOX || (self.links.len() >= self.most && !self.make_room(out)) {
            return None;
        }
        self.last += 1;
        self.dials[why as usize] += 1;
        let id = ConnId(self.last);
        let (server, address) = to;
        let (state, waiting, open) = (State::Dialing, VecDeque::new(), BTreeSet::new());
        let link = Link { server, address, state, waiting, out: open, heard: now, used: now, doubted: false };
        self.links.insert(id, link);
        timers.set(now + self.connect_within, Due::Dial(id));
        out.push(Output::Dial(id, address));
        Some(id)
    }

    /// Closes the connection that has carried nothing for the longest, of those that nothing waits for and is out on;
    /// tells whether there was one. Danger: with more boxes than connections, those that were never called would be
    /// taken for dead.
    fn make_room(&mut self, out: &mut Vec<Output>) -> bool {
        let free = |one: &Link| one.state == State::Open && one.out.is_empty() && one.waiting.is_empty();
        let idle = self.links.iter().filter(|(_, one)| free(one));
        let Some(id) = idle.min_by_key(|(_, one)| one.used.max(one.heard)).map(|(id, _)| *id) else {
            return false;
        };
        self.links.remove(&id);
        out.push(Output::Disconnect(id));
        true
    }

    fn put(&mut self, now: Micros, id: ConnId, message: Message, out: &mut Vec<Output>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.used = now;
        if link.state == State::Open {
            out.push(Output::Send(id, message));
        } else if link.waiting.len() < MOST_WAITING || message.kind == kind::SET_UP {
            link.waiting.push_back(message);
        }
    }

    /// Sends a set-up; tells on which connection, or nothing where there is no room for one. Not on those to avoid:
    /// a late word on an attempt before would be taken for one on this.
    pub fn set_up(
        &mut self,
        now: Micros,
        to: (ServerId, SocketAddr),
        message: Message,
        avoid: &[ConnId],
        timers: &mut Timers<Due>,
        out: &mut Vec<Output>,
    ) -> Option<ConnId> {
        let id =
            self.best(to, self.streams, avoid).or_else(|| self.dial(now, to, For::SetUp, timers, out))?;
        let session = message.session;
        self.put(now, id, message, out);
        self.links.entry(id).and_modify(|link| {
            link.out.insert(session);
        });
        Some(id)
    }

    /// Sends something else: on this connection, else on any other of the box, else on a new one.
    pub fn tell(
        &mut self,
        now: Micros,
        to: (ServerId, SocketAddr),
        on: Option<ConnId>,
        message: Message,
        timers: &mut Timers<Due>,
        out: &mut Vec<Output>,
    ) -> Option<ConnId> {
        let fits = |id: &ConnId| {
            let usable = |one: &Link| !one.doubted && !matches!(one.state, State::Stalled(..));
            self.links.get(id).is_some_and(|one| (one.server, one.address) == to && usable(one))
        };
        let on = on.filter(fits).or_else(|| self.best(to, usize::MAX, &[]));
        let id = on.or_else(|| self.dial(now, to, For::Word, timers, out))?;
        self.put(now, id, message, out);
        Some(id)
    }

    /// Makes a new connection to see whether the box is there, unless one is being made. Returns whether one is.
    pub fn check(
        &mut self,
        now: Micros,
        to: (ServerId, SocketAddr),
        timers: &mut Timers<Due>,
        out: &mut Vec<Output>,
    ) -> bool {
        let dialing = self.links.values().any(|one| one.server == to.0 && one.state == State::Dialing);
        dialing || self.dial(now, to, For::HealthCheck, timers, out).is_some()
    }

    /// A connection is made: what waited is written.
    pub fn made(&mut self, now: Micros, id: ConnId, timers: &mut Timers<Due>, out: &mut Vec<Output>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        (link.heard, link.used) = (now, now);
        self.takes_again(id, out);
        timers.set(now + self.idle_kept, Due::Idle(id));
    }

    /// The connection takes nothing now: of the message that `cut` names a part was written, of these not a byte.
    /// Danger: kept where they cannot be taken back, they would go out long after whoever asked has left.
    pub fn stalled(
        &mut self,
        now: Micros,
        id: ConnId,
        cut: Option<u64>,
        unsent: Vec<Message>,
        timers: &mut Timers<Due>,
    ) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.state = State::Stalled(cut, now);
        // A set-up that was taken back meanwhile goes nowhere, nor does its give-up.
        let set_up = |message: &&Message| message.kind == kind::SET_UP;
        let over = |message: &Message| !link.out.contains(&message.session);
        let sessions = unsent.iter().filter(set_up).filter(|m| over(m)).map(|m| m.session);
        let taken_back: BTreeSet<u64> = sessions.collect();
        let kept = unsent.into_iter().filter(|message| !taken_back.contains(&message.session));
        kept.rev().for_each(|message| link.waiting.push_front(message));
        timers.set(now + STALLED, Due::Stalled(id));
    }

    /// It takes something again, or for the first time: what waits goes out.
    pub fn takes_again(&mut self, id: ConnId, out: &mut Vec<Output>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.state = State::Open;
        out.extend(link.waiting.drain(..).map(|message| Output::Send(id, message)));
    }

    /// Whether it has taken nothing for too long.
    pub fn is_stalled(&self, now: Micros, id: ConnId) -> bool {
        let state = self.links.get(&id).map(|link| link.state);
        matches!(state, Some(State::Stalled(_, since)) if since + STALLED <= now)
    }

    /// Set-ups to a box of which not a byte was written.
    pub fn unsent(&self, server: ServerId) -> Vec<u64> {
        self.links.values().filter(|one| one.server == server).flat_map(Link::unsent).collect()
    }

    /// A connection has closed, or could not be made.
    pub fn closed(&mut self, id: ConnId) -> Ended {
        let mut ended = Ended { link: id, set_ups: Vec::new(), unsent: Vec::new() };
        if let Some(mut link) = self.links.remove(&id) {
            ended.unsent = link.unsent();
            if let State::Stalled(Some(cut), _) = link.state {
                // Half a message never runs.
                ended.unsent.extend(Some(cut).filter(|session| link.out.contains(session)));
            }
            ended.unsent.iter().for_each(|session| {
                link.out.remove(session);
            });
            ended.set_ups = link.out.into_iter().collect();
        }
        ended
    }

    /// Something was heard on it: whose it is.
    pub fn heard(&mut self, now: Micros, id: ConnId) -> Option<ServerId> {
        let link = self.links.get_mut(&id)?;
        (link.heard, link.used) = (now, now);
        Some(link.server)
    }

    /// A set-up has its answer: it has ended, or stands and belongs to no connection from here on.
    pub fn ended(&mut self, id: ConnId, session: u64) {
        self.links.entry(id).and_modify(|link| {
            link.out.remove(&session);
        });
    }

    /// Takes a set-up back. Where it was written, its give-up follows. Danger: a connection that stays open and is of
    /// no more use, though notes may still come on it; after a time-out nothing new is put on it.
    pub fn withdraw(
        &mut self,
        id: ConnId,
        session: u64,
        timed_out: bool,
        out: &mut Vec<Output>,
    ) -> Withdrawn {
        let Some(link) = self.links.get_mut(&id) else { return Withdrawn::MayHaveRun };
        link.out.remove(&session);
        if link.waits(session) {
            link.waiting.retain(|message| message.session != session);
            return Withdrawn::Unsent;
        }
        if matches!(link.state, State::Stalled(Some(cut), _) if cut == session) {
            return Withdrawn::Cut;
        }
        link.doubted |= timed_out;
        let used = link.used;
        self.put(used, id, Message::release(session, cause::NORMAL), out);
        Withdrawn::MayHaveRun
    }

    /// A connection may have been idle long enough, or be of no more use.
    pub fn idle(&mut self, now: Micros, id: ConnId, timers: &mut Timers<Due>, out: &mut Vec<Output>) {
        let Some(link) = self.links.get(&id) else { return };
        let last = link.used.max(link.heard);
        if link.out.is_empty() && (link.doubted || last + self.idle_kept <= now) {
            self.links.remove(&id);
            out.push(Output::Disconnect(id));
        } else {
            let again = if link.doubted { now + self.connect_within } else { last + self.idle_kept };
            timers.set(again.max(now + self.connect_within), Due::Idle(id));
        }
    }

    /// Set-ups that are out on any connection.
    pub fn out(&self) -> BTreeSet<u64> {
        self.links.values().flat_map(|link| link.out.iter().copied()).collect()
    }
}
