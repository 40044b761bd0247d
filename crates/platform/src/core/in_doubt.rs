//! Attempts that were given up and are not known to be over at their servers.
//!
//! A give-up and the next set-up of the same session would travel on two connections, which have no common
//! order: the server may read the set-up first, run two attempts at once, and end the wrong one by the
//! give-up, which names only the session. So the same server gets no further attempt until it has shown that
//! the earlier one is over: by acknowledging the give-up, by a release, or by closing the connection in order.
//! A close by this node or a reset proves nothing: the attempt may have been answered before, and the session
//! plays until it is released on another connection.

use super::*;

impl<D: Decider> Core<D> {
    /// Marks an attempt that was given up on this connection, or whose connection was closed here, and that
    /// may still run at the server.
    pub(super) fn mark_in_doubt(&mut self, id: u64, server: ServerId, conn: ConnId, out: &mut Vec<Command>) {
        let Some(entry) = self.sessions.get_mut(&id).filter(|entry| entry.session.answer_pending()) else {
            return;
        };
        entry.in_doubt.push((server, conn));
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
        let is_over =
            |(at, on): &(ServerId, ConnId)| *on == conn || Some(*at) == server && !self.pool.exists(*on);
        let Some(at) = entry.in_doubt.iter().position(is_over) else { return };
        let (server, _) = entry.in_doubt.remove(at);
        self.resolve(id, server, "heard", out);
    }

    /// The server has closed this connection: every attempt given up on it is over.
    pub(super) fn closed_by_server(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        self.past_requests.closed_by_server(conn);
        // The next attempt may go to the same server: a give-up that is sent again would end it.
        self.give_ups_settled(conn);
        let server_in_doubt = |entry: &SessionEntry| {
            entry.in_doubt.iter().find(|(_, on)| *on == conn).map(|(server, _)| *server)
        };
        let resolved: Vec<_> =
            self.sessions.iter().filter_map(|(id, e)| Some((*id, server_in_doubt(e)?))).collect();
        for (id, server) in resolved {
            self.sessions.entry(id).and_modify(|entry| entry.in_doubt.retain(|(_, on)| *on != conn));
            self.resolve(id, server, "closed", out);
        }
    }

    fn resolve(&mut self, id: u64, server: ServerId, how: &str, out: &mut Vec<Command>) {
        self.counts.resolved += 1;
        let text = format!("request {id:016x}: attempt at s-{:08x} is over, {how}", server.0);
        out.push(Command::Log(Level::Info, text));
        self.events.push_back(Event::Resolved { session: session_id(id), server });
    }
}
