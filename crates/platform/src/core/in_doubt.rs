//! Attempts that were given up and are not known to be over at their servers.
//!
//! A give-up and the next set-up of the same session would travel on two connections, which have no common
//! order: the server may read the set-up first, run two attempts at once, and end the wrong one by the
//! give-up, which names only the session. So the same server gets no further attempt until it has shown that
//! the earlier one is over: by acknowledging the give-up, by a release, or by closing the connection in order.
//! A close by this node or a reset proves nothing: the attempt may have been answered before, and the session
//! plays until it is released on another connection.

use super::*;

/// An attempt that was given up and may still run at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DoubtfulAttempt {
    /// The server.
    pub server: ServerId,
    /// The connection of the attempt.
    pub conn: ConnId,
    /// Its answer has come too late: its session stands, and belongs to no connection.
    was_answered: bool,
}

impl DoubtfulAttempt {
    pub fn new(server: ServerId, conn: ConnId) -> DoubtfulAttempt {
        DoubtfulAttempt { server, conn, was_answered: false }
    }

    /// Whether it is over once its server has closed this connection, after reading the give-up or not.
    pub fn ends_with(&self, conn: ConnId, has_read_all: bool) -> bool {
        self.conn == conn && (has_read_all || !self.was_answered)
    }
}

impl<D: Decider> Core<D> {
    /// Marks an attempt that was given up on this connection, or whose connection was closed here, and that
    /// may still run at the server.
    pub(super) fn mark_in_doubt(&mut self, id: u64, server: ServerId, conn: ConnId, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get_mut(&id).filter(|entry| entry.session.answer_pending()) else {
            return;
        };
        entry.in_doubt.push(DoubtfulAttempt::new(server, conn));
        self.sessions.mark_doubtful(id);
        self.counts.in_doubt += 1;
        let text =
            format!("request {id:016x}: given up at s-{:08x} on connection {}, in doubt", server.0, conn.0);
        out.push(Command::Log(Level::Info, text));
        self.events.push_back(Event::InDoubt { session: session_id(id), server });
    }

    /// The server has acknowledged the give-up of this session on this connection.
    pub(super) fn give_up_acknowledged(&mut self, id: u64, conn: ConnId, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get_mut(&id) else {
            let Some(server) = self.pool.server(conn) else { return };
            return self.past_requests.give_up_acknowledged(id, server);
        };
        let server = self.pool.server(conn);
        let is_over = |attempt: &DoubtfulAttempt| {
            attempt.conn == conn || Some(attempt.server) == server && !self.pool.exists(attempt.conn)
        };
        let Some(at) = entry.in_doubt.iter().position(is_over) else { return };
        let attempt = entry.in_doubt.remove(at);
        self.resolve(id, attempt.server, "heard", out);
    }

    /// The server has closed this connection: the attempts given up on it are over, unless the server has answered them
    /// and may not have read the give-ups.
    pub(super) fn closed_by_server(&mut self, conn: ConnId, has_read_all: bool, out: &mut Vec<Command>) {
        self.past_requests.closed_by_server(conn, has_read_all);
        // The next attempt may go to the same server: a give-up that is sent again would end it.
        self.give_ups_settled(conn);
        let ends = |attempt: &&DoubtfulAttempt| attempt.ends_with(conn, has_read_all);
        let server_in_doubt =
            |entry: &SessionEntry| entry.in_doubt.iter().find(ends).map(|attempt| attempt.server);
        let resolved: Vec<_> =
            self.sessions.doubtful().filter_map(|(id, e)| Some((id, server_in_doubt(e)?))).collect();
        for (id, server) in resolved {
            if let Some(entry) = self.sessions.get_mut(&id) {
                entry.in_doubt.retain(|attempt| !ends(&attempt));
            }
            self.resolve(id, server, "closed", out);
        }
    }

    /// An answer has come for an attempt that is not current: its session stands, for no client. If the attempt was given
    /// up, only the release ends the session; if nothing was sent for it, it is released now.
    pub(super) fn answered_too_late(
        &mut self,
        id: u64,
        server: ServerId,
        conn: ConnId,
        out: &mut Vec<Command>,
    ) {
        let entry = self.sessions.get_mut(&id);
        let current = entry.as_ref().and_then(|entry| Some(entry.session.current_attempt()?.server));
        let in_doubt = match entry {
            Some(entry) => Some(&mut entry.in_doubt),
            None => self.past_requests.in_doubt(id),
        };
        let is_known = in_doubt.is_some();
        for attempt in in_doubt.into_iter().flatten().filter(|attempt| attempt.conn == conn) {
            attempt.was_answered = true;
        }
        let is_kept = self.give_up_answered(id, server);
        if is_known && !is_kept && current != Some(server) {
            self.release_at(id, server, cause::NORMAL, out);
        }
    }

    fn resolve(&mut self, id: u64, server: ServerId, how: &str, out: &mut Vec<Command>) {
        self.counts.resolved += 1;
        let text = format!("request {id:016x}: attempt at s-{:08x} is over, {how}", server.0);
        out.push(Command::Log(Level::Info, text));
        self.events.push_back(Event::Resolved { session: session_id(id), server });
    }
}
