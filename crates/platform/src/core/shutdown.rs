//! The orderly end of the process, between SIGTERM and the kill.
//!
//! 1. The protocol lets clients send requests for some time after SIGTERM: these are served as before. Later ones are
//!    refused at once, since clients may go on using open connections until the kill.
//! 2. When every request has been answered, or the kill is near, all sessions are released, those that are known to play
//!    first. What is owed outlives the wish to exit: the process goes on until media servers and clients have acknowledged
//!    the releases, and moves are over.
//! 3. Then the connections of the clients are closed, while the process still listens, until no second copy of a request
//!    can arrive. A request that crosses the close is sent once more on a new connection, and is refused there.
//!
//! Steps 2 and 3 end shortly before the kill, whatever is still owed then.

use super::client_closes::CloseReason;
use super::releases::ReleaseCounts;
use super::*;

/// Requests are served for this long after SIGTERM; later ones are refused at once.
const REQUEST_GRACE: Micros = 800_000;
/// The kill comes no sooner than this after the longest deadline of the settings.
const KILL_AFTER_DEADLINE: Micros = 700_000;
/// A longest deadline above this value counts as this value.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// Open requests are answered this long before the kill.
const ANSWER_MARGIN: Micros = 300_000;
/// Interval at which releases lost with their connections are resent, until the kill is near.
const RELEASE_RETRY_INTERVAL: Micros = 100_000;
/// Maximum number of sessions that are ended at once, and the pause before the next ones: clients are heard in between.
const MAX_ENDS_PER_TURN: usize = 512;
const RELEASE_INTERVAL: Micros = 1_000;
/// Interval at which releases that wait for a connection are tried.
const WAITING_RELEASE_INTERVAL: Micros = 10_000;
/// Time before the kill for the last messages to reach their readers.
const FLUSH_MARGIN: Micros = 150_000;
/// A busy process, or one with little processor time, needs this many turns of its event loop for the exit.
const TURNS_TO_EXIT: Micros = 2;
/// Maximum time for these turns. An exit sooner would refuse requests that cross it long before the kill.
const MAX_TURNS_MARGIN: Micros = 100_000;

impl<D: Decider> Core<D> {
    /// Begins the shutdown; a second call changes nothing.
    pub(super) fn begin_shutdown(&mut self, out: &mut Vec<Command>) {
        if self.shutdown_since.is_some() {
            return;
        }
        self.shutdown_since = Some(self.now);
        self.timers.set(self.now + REQUEST_GRACE, Timer::Shutdown);
        self.timers.set(self.answer_deadline(self.now), Timer::Shutdown);
        let text = format!(
            "shutdown: {} sessions held, answered within {} ms, kill not before {} ms",
            self.sessions.len(),
            (self.answer_deadline(self.now) - self.now) / 1000,
            (self.earliest_kill(self.now) - self.now) / 1000
        );
        out.push(Command::Log(Level::Info, text));
    }

    /// Whether a new request is refused because of the shutdown: it has to be answered before the kill.
    pub(super) fn refuses_requests(&self) -> bool {
        let Some(since) = self.shutdown_since else { return false };
        self.releasing_until.is_some()
            || self.now >= since + REQUEST_GRACE
            || self.now >= self.answer_deadline(since)
    }

    /// Advances the shutdown. Called only by ticks, after the sockets have been read. If the process exited sooner, a
    /// request waiting in a socket would be lost, or a session would play on for no client; if later, the kill would
    /// interrupt it.
    pub(super) fn check_shutdown(&mut self, now: Micros, out: &mut Vec<Command>) {
        let Some(since) = self.shutdown_since.filter(|_| !self.finished) else { return };
        let has_open_requests = self.sessions.values().any(|entry| entry.session.answer_pending());
        let is_done = now >= since + REQUEST_GRACE && !has_open_requests;
        if self.releasing_until.is_none() && (is_done || now >= self.answer_deadline(since)) {
            self.begin_releasing(since, out);
        }
        let Some(deadline) = self.releasing_until else { return };
        let lateness = self.next_shutdown_check.map_or(0, |due| now.saturating_sub(due));
        self.longest_turn = self.longest_turn.max(lateness);
        let is_due = now + (TURNS_TO_EXIT * self.longest_turn).min(MAX_TURNS_MARGIN) >= deadline;
        let sessions = self.sessions_to_end(is_due);
        let has_more = sessions.len() > MAX_ENDS_PER_TURN;
        for id in sessions.into_iter().take(MAX_ENDS_PER_TURN) {
            self.end_for_shutdown(id, out);
        }
        self.deliver_events(out);
        self.send_lost_releases(RELEASE_RETRY_INTERVAL, out);
        // A media server closes a connection that is finished here when it has read everything written on it.
        self.pool.finish_idle(now, out);
        if self.closing_clients.is_none() && (is_due || !self.is_anything_owed()) {
            self.close_clients(out);
        }
        let is_closed = self.closing_clients.as_ref().is_some_and(BTreeSet::is_empty);
        let is_copy_expected = now < self.copies_expected_until;
        if is_due || is_closed && !self.is_anything_owed() && !is_copy_expected {
            self.log_owed(out);
            self.finished = true;
            out.push(Command::Exit);
        } else {
            let copies_until = Some(self.copies_expected_until).filter(|until| *until > now);
            let interval = if has_more {
                RELEASE_INTERVAL
            } else if self.releases.is_any_waiting() {
                WAITING_RELEASE_INTERVAL
            } else {
                RELEASE_RETRY_INTERVAL
            };
            let next_check = copies_until.unwrap_or(Micros::MAX).min(now + interval);
            self.next_shutdown_check = Some(next_check);
            self.timers.set(next_check, Timer::Shutdown);
        }
    }

    /// The sessions that may be ended now, in order. There may be so many for which only a client's word speaks that they
    /// use up the connections and the processor time: they wait until the servers of the others know, or half of the time
    /// is over. A move takes its course, unless the end of the shutdown is due.
    fn sessions_to_end(&self, is_due: bool) -> Vec<u64> {
        let may_end = |entry: &SessionEntry| is_due || !entry.moving;
        let ids = self.sessions.iter().filter(|(_, entry)| may_end(entry)).map(|(id, _)| *id);
        let (unproven, proven): (Vec<u64>, Vec<u64>) = ids.partition(|id| self.hand_overs.is_unproven(*id));
        let is_server_owed = !proven.is_empty() || self.releases.has_proven();
        if is_server_owed && self.now < self.unproven_ends_from {
            return proven;
        }
        proven.into_iter().chain(self.proven_first(unproven)).collect()
    }

    /// Whether media servers or clients are still to be told of something.
    fn is_anything_owed(&self) -> bool {
        let owed_to_servers = self.pool.has_unsent() || self.has_releases();
        !self.sessions.is_empty() || owed_to_servers || !self.client_notices.is_empty()
    }

    /// Logs what is still owed as the process exits: a line for each, of which only so many are written, and a sum.
    fn log_owed(&self, out: &mut Vec<Command>) {
        let notices = self.client_notices.sessions();
        let notices =
            notices.map(|id| format!("shutdown: session {id:016x}: its client has not acknowledged"));
        let releases = self.releases.unacknowledged();
        let releases = releases.map(|(id, server)| {
            format!("shutdown: session {id:016x}: its release at s-{:08x} is not acknowledged", server.0)
        });
        out.extend(notices.chain(releases).map(|text| Command::Log(Level::Info, text)));
        if !self.is_anything_owed() {
            return;
        }
        let [notices, _] = self.client_notices.counts();
        let ReleaseCounts { kept, unproven, waiting } = self.releases.counts();
        let sessions = self.sessions.len();
        let text = format!(
            "shutdown: not acknowledged: {kept} releases ({unproven} of sessions that only a client's word speaks for, \
             {waiting} without a connection), {notices} notices; {sessions} sessions not released"
        );
        out.push(Command::Log(Level::Warn, text));
    }

    fn begin_releasing(&mut self, since: Micros, out: &mut Vec<Command>) {
        let deadline = self.earliest_kill(since) - FLUSH_MARGIN;
        self.releasing_until = Some(deadline);
        self.unproven_ends_from = self.now + deadline.saturating_sub(self.now) / 2;
        // What is owed has to be sent before the kill.
        self.dial_backoff.clear();
        self.timers.set(deadline, Timer::Shutdown);
        let unanswered = self.sessions.values().filter(|entry| entry.session.answer_pending()).count();
        let text = format!(
            "shutdown: {unanswered} requests failed, {} sessions released",
            self.sessions.len() - unanswered
        );
        out.push(Command::Log(Level::Info, text));
    }

    /// Closes the connections of all clients.
    fn close_clients(&mut self, out: &mut Vec<Command>) {
        let [owed_notices, _] = self.client_notices.counts();
        let clients: Vec<ClientId> = self.admission.clients().collect();
        let text =
            format!("shutdown: closes {} clients, {owed_notices} notices not acknowledged", clients.len());
        out.push(Command::Log(Level::Info, text));
        self.closing_clients = Some(BTreeSet::new());
        for client in clients {
            self.close_client(client, CloseReason::Shutdown, out);
        }
    }

    /// A client was answered that has connected after the others were closed: its connection is closed too.
    pub(super) fn close_client_of_shutdown(&mut self, client: ClientId, out: &mut Vec<Command>) {
        if self.closing_clients.is_some() {
            self.close_client(client, CloseReason::Shutdown, out);
        }
    }

    /// A connection that was closed here is gone.
    pub(super) fn closed_client_gone(&mut self, client: ClientId) {
        if let Some(closing_clients) = &mut self.closing_clients {
            closing_clients.remove(&client);
        }
    }

    /// The latest time at which open requests are answered, for a shutdown that began at `since`.
    fn answer_deadline(&self, since: Micros) -> Micros {
        self.earliest_kill(since) - ANSWER_MARGIN
    }

    /// The earliest time of the kill. Settings without a deadline leave it open; the maximum counts then.
    fn earliest_kill(&self, since: Micros) -> Micros {
        let longest = Some(self.platform_settings.longest_patience).filter(|longest| *longest > 0);
        since + longest.unwrap_or(Micros::MAX).min(MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE
    }
}
