//! Releases that are resent to media servers until they are acknowledged.
//!
//! A message written on a connection that is reset may never be read: a lost release would leave the session
//! playing at its media server. The server answers a release. Until then the release is kept, and resent when its
//! connection is gone.
//!
//! A connection on which nothing passes any more cannot be told from one whose server has nothing to say. So a connection
//! that is silent behind a release is finished: a server that is alive closes it once it has read everything. If it does
//! not, the release is sent on another connection. A give-up is not: its server might read it before the set-up.

use super::listed_servers::ReplacedServer;
use super::*;

/// A release is resent for this long after the end of its session; later it is of no use.
const RELEASE_LIFETIME: Micros = END_NOTICE_LIMIT;
/// The pause before the first check whether the connection of a release is gone; later pauses double.
const FIRST_RELEASE_CHECK: Micros = 250_000;
/// The same pause for a media server that could not be reached.
const FIRST_UNREACHABLE_CHECK: Micros = 1_000_000;
/// Silence behind a release after which its connection is finished.
const FINISH_AFTER_SILENCE: Micros = 250_000;
/// Time within which a server that is alive closes a finished connection; doubles with each further one of a release.
const FIRST_CLOSE_TIMEOUT: Micros = 250_000;
/// Maximum number of doublings.
const MAX_DOUBLINGS: u32 = 5;
/// Maximum number of releases kept.
const MAX_KEPT_RELEASES: usize = 4_096;
/// Maximum number of these of sessions that only a client's word speaks for.
const MAX_UNPROVEN_RELEASES: usize = MAX_KEPT_RELEASES / 2;

/// A release or give-up that its media server has not acknowledged.
#[derive(Clone, Debug)]
struct UnacknowledgedRelease {
    /// It gives up an attempt, which ends with its connection unless it was answered before.
    is_give_up: bool,
    message: Message,
    /// Only a client's word speaks for its session.
    is_unproven: bool,
    conn: Option<ConnId>,
    /// Number of connections that were given up because their server did not close them.
    stalled: u32,
    /// When sending it was last tried.
    last_tried: Micros,
    kept_since: Micros,
    next_pause: Micros,
}

/// Numbers of releases that have not been acknowledged yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReleaseCounts {
    /// All of them.
    pub kept: usize,
    /// Those of sessions that only a client's word speaks for.
    pub unproven: usize,
    /// Those that wait for a connection.
    pub waiting: usize,
}

/// The releases that have not been acknowledged yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Releases {
    server_releases: BTreeMap<(u64, ServerId), UnacknowledgedRelease>,
    /// Number of these of sessions that only a client's word speaks for.
    unproven: usize,
}

impl Releases {
    /// The sessions whose releases have not been acknowledged, each with the server.
    pub fn unacknowledged(&self) -> impl Iterator<Item = (u64, ServerId)> + '_ {
        self.server_releases.keys().copied()
    }

    /// Whether a release is kept of a session that is known to have played.
    pub fn has_proven(&self) -> bool {
        self.server_releases.len() > self.unproven
    }

    /// Whether a release waits for a connection.
    pub fn is_any_waiting(&self) -> bool {
        self.server_releases.values().any(|release| release.conn.is_none())
    }

    /// Numbers of releases.
    pub fn counts(&self) -> ReleaseCounts {
        let waiting = self.server_releases.values().filter(|release| release.conn.is_none()).count();
        ReleaseCounts { kept: self.server_releases.len(), unproven: self.unproven, waiting }
    }

    fn insert(&mut self, key: (u64, ServerId), release: UnacknowledgedRelease) {
        self.remove(key);
        self.unproven += usize::from(release.is_unproven);
        self.server_releases.insert(key, release);
    }

    fn remove(&mut self, key: (u64, ServerId)) {
        if let Some(release) = self.server_releases.remove(&key) {
            self.unproven -= usize::from(release.is_unproven);
        }
    }

    fn retain(&mut self, keeps: impl Fn((u64, ServerId), &UnacknowledgedRelease) -> bool) {
        self.server_releases.retain(|key, release| keeps(*key, release));
        self.unproven = self.server_releases.values().filter(|release| release.is_unproven).count();
    }
}

impl<D: Decider> Core<D> {
    /// Releases a session at its media server.
    pub(super) fn release_at_server(&mut self, id: u64, cause: u8, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get(&id) else { return };
        let Some(at) = entry.session.current_attempt() else { return };
        let (server, on) = (at.server, entry.conn);
        // The session is gone with its media server, and another server may listen at the address.
        let Some(address) = self.servers.address(server) else { return };
        self.send_release(id, (server, address), on, cause, out);
    }

    /// Releases a session at a server that may hold it without a connection of its set-up: one whose attempt was
    /// answered as its connection closed, or one that was set up under the id of another server.
    pub(super) fn release_at(&mut self, id: u64, server: ServerId, cause: u8, out: &mut Vec<Command>) {
        if let Some(address) = self.servers.address(server) {
            self.send_release(id, (server, address), None, cause, out);
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
        self.keep_release(to.0, message, conn, FIRST_RELEASE_CHECK, out);
    }

    /// Keeps a give-up that was sent on this connection. If it is lost with the connection, and the answer to the
    /// attempt with it, the session plays for no client.
    pub(super) fn keep_give_up(&mut self, id: u64, server: ServerId, conn: ConnId, out: &mut Vec<Command>) {
        let message = Message::release(id, cause::NORMAL);
        self.keep_release(server, message, Some(conn), FIRST_RELEASE_CHECK, out);
        let kept = self.releases.server_releases.entry((id, server));
        kept.and_modify(|release| release.is_give_up = true);
    }

    /// Keeps a release until its media server acknowledges it; the first check follows after this pause.
    fn keep_release(
        &mut self,
        server: ServerId,
        message: Message,
        conn: Option<ConnId>,
        pause: Micros,
        out: &mut Vec<Command>,
    ) {
        if self.releases.server_releases.len() >= MAX_KEPT_RELEASES {
            return self.log_forgotten_release(message.session, server, "too many are kept", out);
        }
        let key = (message.session, server);
        let is_unproven = self.hand_overs.is_unproven(key.0);
        if is_unproven && self.releases.unproven >= MAX_UNPROVEN_RELEASES {
            return self.count_sent_once(out);
        }
        let release = UnacknowledgedRelease {
            is_give_up: false,
            message,
            is_unproven,
            conn,
            stalled: 0,
            last_tried: self.now,
            kept_since: self.now,
            next_pause: 2 * pause,
        };
        self.releases.insert(key, release);
        self.timers.set(self.now + pause, Timer::ReleaseCheck(key.0, key.1));
    }

    /// Whether any release has not been acknowledged or read.
    pub(super) fn has_releases(&self) -> bool {
        !self.releases.server_releases.is_empty()
    }

    /// Resends the releases that were lost with their connections or found no room, as far as there is room now: those of
    /// sessions that are known to play first, the longest waiting of them first. A release sent within the last `pause` is
    /// left alone.
    pub(super) fn send_lost_releases(&mut self, pause: Micros, out: &mut Vec<Command>) {
        let waits = |release: &UnacknowledgedRelease| {
            release.conn.is_none() || release.last_tried + pause <= self.now
        };
        let waiting = self.releases.server_releases.iter().filter(|(_, release)| waits(release));
        let with_order = |(key, release): (&(u64, ServerId), &UnacknowledgedRelease)| {
            (release.is_unproven, release.last_tried, *key)
        };
        let mut waiting: Vec<_> = waiting.map(with_order).collect();
        waiting.sort_unstable();
        waiting.into_iter().for_each(|(_, _, key)| self.resend_if_lost(key, out));
    }

    /// Keeps a release for each session at a media server that cannot be reached: the clients are told that
    /// the sessions are over, and the sessions may still play when the server can be reached again.
    pub(super) fn release_when_reachable(&mut self, server: ServerId, out: &mut Vec<Command>) {
        let playing = self.sessions.at(server).filter(|(_, entry)| entry.plays_at(server));
        let ids: Vec<u64> = playing.map(|(id, _)| id).collect();
        for id in self.proven_first(ids) {
            let message = Message::release(id, cause::BROKEN);
            self.keep_release(server, message, None, FIRST_UNREACHABLE_CHECK, out);
        }
    }

    /// A connection to a media server is established, or may be dialled: resends the releases that were lost with other
    /// connections.
    pub(super) fn resend_releases_to(&mut self, server: ServerId, out: &mut Vec<Command>) {
        let to_server = self.releases.server_releases.keys().filter(|(_, to)| *to == server);
        for key in to_server.copied().collect::<Vec<_>>() {
            self.resend_if_lost(key, out);
        }
    }

    /// A connection to a media server was reset or given up: resends the releases and give-ups on it.
    pub(super) fn resend_releases_of(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        let releases = self.releases.server_releases.iter();
        let lost = releases.filter(|(_, release)| release.conn == Some(conn)).map(|(key, _)| *key);
        for key in lost.collect::<Vec<_>>() {
            self.resend_if_lost(key, out);
        }
    }

    /// An attempt that was given up has been answered: its session stands, and does not end with the connection. Returns
    /// whether its release is kept.
    pub(super) fn give_up_answered(&mut self, id: u64, server: ServerId) -> bool {
        let release = self.releases.server_releases.get_mut(&(id, server));
        release.map(|release| release.is_give_up = false).is_some()
    }

    /// A media server has closed this connection in order: the attempts on it have ended, but for those that were
    /// answered before.
    pub(super) fn give_ups_settled(&mut self, conn: ConnId) {
        self.releases.retain(|_, release| !(release.is_give_up && release.conn == Some(conn)));
    }

    /// A media server knows that this session is over.
    pub(super) fn release_acknowledged(&mut self, id: u64, server: ServerId) {
        self.releases.remove((id, server));
    }

    /// A media server has read everything written on this connection, and closed it.
    pub(super) fn releases_read(&mut self, conn: ConnId) {
        self.releases.retain(|_, release| release.conn != Some(conn));
    }

    /// Other servers have the addresses of these: what was released under the old ids may run at the successors.
    pub(super) fn move_releases(&mut self, replaced: &[ReplacedServer], out: &mut Vec<Command>) {
        for server in replaced {
            let releases = self.releases.server_releases.iter();
            let of_server = releases.filter(|((_, at), _)| *at == server.id);
            let Some(address) = self.servers.address(server.successor) else { continue };
            let due = of_server.filter(|((id, _), release)| !self.is_set_up_again(*id, address, release));
            let sessions: Vec<u64> = due.map(|((id, _), _)| *id).collect();
            for id in sessions {
                self.release_at(id, server.successor, cause::BROKEN, out);
            }
        }
    }

    /// Drops the releases for media servers whose processes are gone, and with them the sessions.
    pub(super) fn drop_releases(&mut self, is_gone: impl Fn(ServerId) -> bool) {
        self.releases.retain(|(_, server), _| !is_gone(server));
    }

    /// Resends a release if it was lost with its connection, and schedules the next check.
    pub(super) fn check_release(&mut self, key: (u64, ServerId), out: &mut Vec<Command>) {
        let Some(release) = self.releases.server_releases.get_mut(&key) else { return };
        if self.now >= release.kept_since + RELEASE_LIFETIME || !self.servers.contains(key.1) {
            self.releases.remove(key);
            return self.log_forgotten_release(key.0, key.1, "not acknowledged in time", out);
        }
        self.timers.set(self.now + release.next_pause, Timer::ReleaseCheck(key.0, key.1));
        release.next_pause *= 2;
        self.finish_if_silent(key, out);
        self.resend_if_lost(key, out);
    }

    /// Finishes the connection of a release if nothing has come on it since.
    fn finish_if_silent(&mut self, key: (u64, ServerId), out: &mut Vec<Command>) {
        let Some(release) = self.releases.server_releases.get(&key) else { return };
        let Some(conn) = release.conn.filter(|_| self.ends_session(key, release)) else { return };
        if !self.pool.is_silent_since(self.now, conn, release.last_tried, FINISH_AFTER_SILENCE) {
            return;
        }
        self.pool.finish_if_idle(self.now, conn, out);
        if self.health.holds_sessions(key.1) && !self.pool.is_up(key.1) {
            // The ends of its other sessions need a connection.
            self.check_health(key.1, true, out);
        }
    }

    /// Whether this is the release of a session that is over here, and no give-up of an attempt.
    fn ends_session(&self, key: (u64, ServerId), release: &UnacknowledgedRelease) -> bool {
        !release.is_give_up && !self.sessions.contains_key(&key.0)
    }

    /// Whether the server of a release does not close the connection on which it was sent.
    fn is_stalled(&self, key: (u64, ServerId), release: &UnacknowledgedRelease) -> bool {
        let timeout = FIRST_CLOSE_TIMEOUT << release.stalled.min(MAX_DOUBLINGS);
        let is_stalled = |conn| self.pool.is_finish_stalled(self.now, conn, timeout);
        self.ends_session(key, release) && release.conn.is_some_and(is_stalled)
    }

    fn log_forgotten_release(&self, id: u64, server: ServerId, why: &str, out: &mut Vec<Command>) {
        let text = format!("session {id:016x}: its release at s-{:08x} is given up: {why}", server.0);
        out.push(Command::Log(Level::Info, text));
    }

    /// Whether a release may be sent now: on an open connection, or on a new one unless the server has just ended one.
    /// During the shutdown of a process that holds more servers than
    /// connections, each release would otherwise displace the connection of the one before it, which has not
    /// been read yet.
    fn may_send_release(&self, to: (ServerId, SocketAddr)) -> bool {
        let has_connection = self.pool.has_connection_to(to);
        let may_dial = self.dial_backoff.allows(self.now, to.0);
        has_connection || may_dial && (self.releasing_until.is_none() || self.pool.has_room())
    }

    /// Whether a session was set up at this address since its release: sent again, that would end it.
    fn is_set_up_again(&self, id: u64, address: SocketAddr, release: &UnacknowledgedRelease) -> bool {
        let attempt = self.sessions.get(&id).and_then(|entry| entry.session.current_attempt());
        attempt.is_some_and(|attempt| attempt.address == address && attempt.sent_at >= release.kept_since)
    }

    /// Resends a release whose connection is gone, or is not closed by its server.
    fn resend_if_lost(&mut self, key: (u64, ServerId), out: &mut Vec<Command>) {
        let Some(release) = self.releases.server_releases.get(&key) else { return };
        let Some(address) = self.servers.address(key.1) else { return };
        if self.is_set_up_again(key.0, address, release) {
            return self.releases.remove(key);
        }
        let to = (key.1, address);
        let is_stalled = self.is_stalled(key, release);
        let is_on_its_way = !is_stalled && release.conn.is_some_and(|conn| self.pool.exists(conn));
        if is_on_its_way || !self.may_send_release(to) {
            return;
        }
        let message = release.message.clone();
        self.counts.releases_again += 1;
        let conn = self.pool.send(self.now, to, None, message, &mut self.timers, out);
        let release = self.releases.server_releases.entry(key);
        release.and_modify(|release| {
            (release.last_tried, release.conn) = (self.now, conn);
            release.stalled += u32::from(is_stalled);
        });
    }
}
