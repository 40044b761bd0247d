//! Sessions that clients have handed over, and that their media servers may not hold: nothing reports their ends.
//!
//! The protocol has no question to a server about a session but its release. A server regularly sends notes on the
//! sessions that it holds, on one session of each front node at a time. If none comes for so long, on a connection that
//! was open all the while, the server holds none of them. A note on any session proves nothing about the others, and they
//! are held on.

use std::collections::BTreeSet;

use salttally::interface::{Micros, ServerId};

use super::{cause, Command, Core, Decider, Level, SessionEntry, Timer, END_NOTICE_LIMIT};

/// Pause before the next check while no connection has been open for long enough.
const CHECK_INTERVAL: Micros = 250_000;

/// Time within which a server that holds sessions has sent a note on one of them, at most: the client can still be told in
/// the protocol's limit.
const MAX_NOTE_TIMEOUT: Micros = END_NOTICE_LIMIT - 1_000_000;

/// The servers that have sent no note since a session was handed over.
#[derive(Clone, Debug, Default)]
pub(super) struct HandOvers {
    without_note: BTreeSet<ServerId>,
}

impl<D: Decider> Core<D> {
    /// Time within which a server that holds sessions has sent a note on one of them: two intervals, as far as the limit
    /// for telling an end allows. `None` if the settings promise no note in that limit.
    pub(super) fn note_timeout(&self) -> Option<Micros> {
        let settings = &self.platform_settings.settings;
        let (interval, age) = (settings.note_interval, settings.note_age);
        let is_noted = interval > 0 && interval.saturating_add(age) <= MAX_NOTE_TIMEOUT;
        is_noted.then(|| (2 * interval + age).min(MAX_NOTE_TIMEOUT))
    }

    /// A session was handed over that is to play at this server.
    pub(super) fn expect_note(&mut self, server: ServerId) {
        let Some(timeout) = self.note_timeout() else { return };
        self.hand_overs.without_note.insert(server);
        self.pool.set_awaits_note(server, true);
        self.timers.set(self.now + timeout, Timer::HandOverCheck(server));
    }

    /// A server has sent a note on a session that it holds, or nothing that was handed over is left there.
    pub(super) fn stop_expecting_note(&mut self, server: ServerId) {
        if self.hand_overs.without_note.remove(&server) {
            self.pool.set_awaits_note(server, false);
        }
    }

    /// Ends the sessions that were handed over long enough ago, if their server holds none.
    pub(super) fn check_hand_overs(&mut self, server: ServerId, out: &mut Vec<Command>) {
        let Some(timeout) = self.note_timeout() else { return };
        if !self.hand_overs.without_note.contains(&server) {
            return;
        }
        let settings = &self.platform_settings.settings;
        let listening_since = self.now.saturating_sub(settings.note_interval + settings.note_age);
        if self.health.holds_sessions(server) && !self.pool.is_up_since(server, listening_since) {
            return self.timers.set(self.now + CHECK_INTERVAL, Timer::HandOverCheck(server));
        }
        let due_since = self.now.saturating_sub(timeout);
        let is_due = |entry: &SessionEntry| entry.plays_at(server) && entry.playing_since <= due_since;
        let due = || self.sessions.iter().filter(|(_, entry)| is_due(entry));
        // A server that sends no notes on a session which it holds proves nothing by its silence.
        if due().all(|(_, entry)| entry.was_handed_over) {
            let not_held: Vec<u64> = due().map(|(id, _)| *id).collect();
            for id in not_held {
                let text = format!(
                    "session {id:016x}: not held by its server s-{:08x}, which sends no note",
                    server.0
                );
                out.push(Command::Log(Level::Info, text));
                self.release_at_server(id, cause::BROKEN, out);
            }
            self.end_lost_sessions(|_, entry| is_due(entry), out);
        }
        let is_left =
            |entry: &SessionEntry| entry.plays_at(server) && entry.was_handed_over && !is_due(entry);
        if !self.sessions.values().any(is_left) {
            self.stop_expecting_note(server);
        }
    }
}
