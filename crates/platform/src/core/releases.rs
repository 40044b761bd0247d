//! Ends that are told until their readers have shown that they know them.
//!
//! What was written on a connection that is reset may never be read: a release of what stood would leave it standing at
//! its media server, or its client waiting by what is over. A media server answers a release, a client says that it has
//! heard one. Until then the release is kept, and told again when its connection is gone.

use super::*;

/// What is over is told to its readers within this time, or no more.
const RELEASE_KEPT: Micros = 8_000_000;
/// Whether the connection of a release is gone is looked at first after this; the pauses double.
const FIRST_CHECK: Micros = 250_000;
/// The same for a media server that could not be reached.
const UNREACHABLE_CHECK: Micros = 1_000_000;
/// Releases that are kept at most.
const MAX_KEPT: usize = 4_096;

/// A release that a media server has not answered.
#[derive(Clone, Debug)]
struct Unanswered {
    server: ServerId,
    message: Message,
    conn: Option<ConnId>,
    /// When it was last tried.
    tried: Micros,
    until: Micros,
    next_pause: Micros,
}

/// Releases that nobody has answered yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Releases {
    by_session: BTreeMap<u64, Unanswered>,
    /// Ends told to clients that have not heard them, and until when they are of use.
    unheard: BTreeMap<ClientId, BTreeMap<u64, (Micros, Message)>>,
}

impl<D: Decider> Core<D> {
    /// Ends a session at its media server.
    pub(super) fn release_at_server(&mut self, id: u64, cause: u8, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get(&id) else { return };
        let Some(at) = entry.session.current_attempt() else { return };
        let (server, on) = (at.server, entry.conn);
        // A media server that has gone took it along, and another one may listen at its address.
        let Some(address) = self.servers.get(&server).copied() else { return };
        self.send_release(id, (server, address), on, cause, out);
    }

    /// An attempt whose connection was closed here may have been answered by then, and stand for nobody.
    pub(super) fn release_abandoned(&mut self, id: u64, server: ServerId, out: &mut Vec<Command>) {
        if let Some(address) = self.servers.get(&server).copied() {
            self.send_release(id, (server, address), None, cause::NORMAL, out);
        }
    }

    fn send_release(
        &mut self,
        id: u64,
        to: (ServerId, SocketAddr),
        on: Option<ConnId>,
        cause: u8,
        out: &mut Vec<Command>,
    ) {
        let message = Message::release(id, cause);
        let conn = match self.may_send_release(to) {
            true => self.pool.send(self.now, to, on, message.clone(), &mut self.timers, out),
            false => None,
        };
        self.keep_release(to.0, message, conn, FIRST_CHECK);
    }

    /// Keeps a release until its media server has answered it; looked at first after this pause.
    fn keep_release(&mut self, server: ServerId, message: Message, conn: Option<ConnId>, pause: Micros) {
        if self.releases.by_session.len() >= MAX_KEPT {
            return;
        }
        let (id, tried, until) = (message.session, self.now, self.now + RELEASE_KEPT);
        let release = Unanswered { server, message, conn, tried, until, next_pause: 2 * pause };
        self.releases.by_session.insert(id, release);
        self.timers.set(self.now + pause, Timer::ReleaseCheck(id));
    }

    /// Whether some release is not known to have been read.
    pub(super) fn has_releases(&self) -> bool {
        !self.releases.by_session.is_empty()
    }

    /// Sends the releases again that were lost with their connections or found no room, those first that wait the longest,
    /// as far as there is room now. One that was tried within this pause has its time yet.
    pub(super) fn send_lost_releases(&mut self, pause: Micros, out: &mut Vec<Command>) {
        let waits = |release: &Unanswered| release.conn.is_none() || release.tried + pause <= self.now;
        let waiting = self.releases.by_session.iter().filter(|(_, release)| waits(release));
        let mut waiting: Vec<_> = waiting.map(|(id, release)| (release.tried, *id)).collect();
        waiting.sort_unstable();
        waiting.into_iter().for_each(|(_, id)| self.send_if_lost(id, out));
    }

    /// Sessions at a media server that cannot be reached are over for their clients, and may stand there when it can be
    /// reached again: they are released then.
    pub(super) fn release_when_reachable(&mut self, server: ServerId) {
        let stands = |entry: &Entry| entry.session.playing().is_some_and(|p| p.attempt.server == server);
        let ids: Vec<u64> = self.sessions.iter().filter(|(_, e)| stands(e)).map(|(id, _)| *id).collect();
        for id in ids {
            self.keep_release(server, Message::release(id, cause::BROKEN), None, UNREACHABLE_CHECK);
        }
    }

    /// A connection to a media server is made: what was lost with others goes out on it.
    pub(super) fn server_reached(&mut self, server: ServerId, out: &mut Vec<Command>) {
        let its = self.releases.by_session.iter().filter(|(_, release)| release.server == server);
        for id in its.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.send_if_lost(id, out);
        }
    }

    /// A media server knows that this session is over.
    pub(super) fn release_answered(&mut self, id: u64, server: ServerId) {
        if self.releases.by_session.get(&id).is_some_and(|release| release.server == server) {
            self.releases.by_session.remove(&id);
        }
    }

    /// A media server has read all that was written on this connection, and closed it.
    pub(super) fn releases_read(&mut self, conn: ConnId) {
        self.releases.by_session.retain(|_, release| release.conn != Some(conn));
    }

    /// The process that held the sessions of a media server is gone.
    pub(super) fn releases_moot(&mut self, is_gone: impl Fn(ServerId) -> bool) {
        self.releases.by_session.retain(|_, release| !is_gone(release.server));
    }

    /// A release may have been lost with its connection: it is sent once more then.
    pub(super) fn check_release(&mut self, id: u64, out: &mut Vec<Command>) {
        let Some(release) = self.releases.by_session.get_mut(&id) else { return };
        if self.now >= release.until || !self.servers.contains_key(&release.server) {
            self.releases.by_session.remove(&id);
            return;
        }
        self.timers.set(self.now + release.next_pause, Timer::ReleaseCheck(id));
        release.next_pause *= 2;
        self.send_if_lost(id, out);
    }

    /// Danger: at the end of a process that holds more servers than connections, each release would take the place of the
    /// one before it, which was not read yet.
    fn may_send_release(&self, to: (ServerId, SocketAddr)) -> bool {
        self.releasing_until.is_none() || self.pool.has_room_to(to)
    }

    fn send_if_lost(&mut self, id: u64, out: &mut Vec<Command>) {
        let Some(release) = self.releases.by_session.get(&id) else { return };
        let Some(address) = self.servers.get(&release.server).copied() else { return };
        let (conn, server) = (release.conn, release.server);
        if conn.is_none_or(|conn| !self.pool.exists(conn)) && self.may_send_release((server, address)) {
            let Some(release) = self.releases.by_session.get_mut(&id) else { return };
            self.counts.releases_again += 1;
            let (to, message) = ((release.server, address), release.message.clone());
            release.tried = self.now;
            release.conn = self.pool.send(self.now, to, None, message, &mut self.timers, out);
        }
    }

    /// Says to a client that something which stood is over: on its connection, else on whichever is open.
    pub(super) fn tell_client(&mut self, client: Option<ClientId>, message: Message, out: &mut Vec<Command>) {
        self.tell_client_until(self.now + RELEASE_KEPT, client, message, out);
    }

    /// The same for what is of use until then alone.
    pub(super) fn tell_client_until(
        &mut self,
        until: Micros,
        client: Option<ClientId>,
        message: Message,
        out: &mut Vec<Command>,
    ) {
        match client.or_else(|| self.admission.any()) {
            Some(client) => {
                self.keep_unheard(client, until, &message);
                out.push(Command::SendToClient(client, message));
            }
            // Danger: told nobody, its client would wait by a session that is over.
            None => {
                self.undelivered.retain(|(until, _)| *until > self.now);
                self.undelivered.push_back((until, message));
            }
        }
    }

    /// A move is not kept: it wants no answer, and its client may have come again by it.
    fn keep_unheard(&mut self, client: ClientId, until: Micros, message: &Message) {
        if message.kind != kind::RELEASE {
            return;
        }
        let unheard = self.releases.unheard.entry(client).or_default();
        unheard.retain(|_, (until, _)| *until > self.now);
        if unheard.len() < MAX_KEPT {
            unheard.insert(message.session, (until, message.clone()));
        }
    }

    /// A client has heard that a session is over.
    pub(super) fn end_heard(&mut self, client: ClientId, id: u64) {
        if let Some(unheard) = self.releases.unheard.get_mut(&client) {
            unheard.remove(&id);
        }
    }

    /// A client's connection is gone: the ends that nobody has heard on it are told on another one.
    pub(super) fn tell_unheard(&mut self, client: ClientId, out: &mut Vec<Command>) {
        let unheard = self.releases.unheard.remove(&client).unwrap_or_default();
        let now = self.now;
        for (until, message) in unheard.into_values().filter(|(until, _)| *until > now) {
            self.counts.ends_again += 1;
            self.tell_client_until(until, None, message, out);
        }
    }
}
