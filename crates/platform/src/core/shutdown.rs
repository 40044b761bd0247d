//! The end of the process in order, between SIGTERM and the kill.
//!
//! Requests are served as before while they still come by the protocol, and refused at once after that, since clients may
//! go on using open connections until the kill. When nothing is owed, or the kill is near, all that stands is released.

use super::*;

/// Requests go on coming for so long after the word to end; later ones are refused at once.
const REQUESTS_STILL_COME: Micros = 800_000;
/// The kill comes no sooner than so long after the longest deadline of the settings,
const KILL_AFTER_DEADLINE: Micros = 700_000;
/// which counts as this where it is longer.
const LONGEST_DEADLINE_COUNTED: Micros = 3_000_000;
/// What is owed is answered so long before the kill.
const ANSWERED_BEFORE_KILL: Micros = 300_000;
/// Releases that were lost with their connections are sent again so often, until the kill is near.
const RELEASE_RETRY: Micros = 100_000;
/// What is left before the kill for what was written last to reach its readers.
const FLUSH_BEFORE_KILL: Micros = 150_000;

impl<D: Decider> Core<D> {
    /// The word to end; a second one changes nothing.
    pub(super) fn begin_shutdown(&mut self, out: &mut Vec<Command>) {
        if self.shutdown_since.is_some() {
            return;
        }
        self.shutdown_since = Some(self.now);
        self.timers.set(self.now + REQUESTS_STILL_COME, Timer::Shutdown);
        self.timers.set(self.answered_by(self.now), Timer::Shutdown);
        let text = format!(
            "shutdown: {} sessions held, answered within {} ms, kill not before {} ms",
            self.sessions.len(),
            (self.answered_by(self.now) - self.now) / 1000,
            (self.earliest_kill(self.now) - self.now) / 1000
        );
        out.push(Command::Log(Level::Info, text));
    }

    /// Whether a request that comes now is refused since the process ends: it has to have its answer before the kill.
    pub(super) fn refuses_requests(&self) -> bool {
        let Some(since) = self.shutdown_since else { return false };
        self.releasing_until.is_some()
            || self.now >= since + REQUESTS_STILL_COME
            || self.now >= self.answered_by(since)
    }

    /// The process ends when no more requests come and none is owed its answer: all that stands is released, and when
    /// that has gone out it has ended. Looked at by ticks alone, when the sockets have been read. Danger: ended sooner,
    /// a request that waits in a socket is lost, or a session plays on for nobody; later, the kill finds it.
    pub(super) fn check_shutdown(&mut self, now: Micros, out: &mut Vec<Command>) {
        let Some(since) = self.shutdown_since.filter(|_| !self.finished) else { return };
        let owed = self.sessions.values().any(|entry| entry.session.answer_pending());
        let quiet = now >= since + REQUESTS_STILL_COME && !owed;
        if self.releasing_until.is_none() && (quiet || now >= self.answered_by(since)) {
            self.begin_releasing(since, out);
        }
        let Some(by) = self.releasing_until else { return };
        for id in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.end_for_shutdown(id, out);
        }
        self.deliver_events(out);
        self.send_lost_releases(RELEASE_RETRY, out);
        // A media server closes a connection that is ended here when it has read all that was written on it.
        self.pool.finish_idle(out);
        if !(self.pool.has_unsent() || self.has_releases()) || now >= by {
            self.finished = true;
            out.push(Command::Exit);
        } else {
            self.timers.set(now + RELEASE_RETRY, Timer::Shutdown);
        }
    }

    fn begin_releasing(&mut self, since: Micros, out: &mut Vec<Command>) {
        let by = self.earliest_kill(since) - FLUSH_BEFORE_KILL;
        self.releasing_until = Some(by);
        self.timers.set(by, Timer::Shutdown);
        let owed = self.sessions.values().filter(|entry| entry.session.answer_pending()).count();
        let text =
            format!("shutdown: {owed} requests failed, {} sessions released", self.sessions.len() - owed);
        out.push(Command::Log(Level::Info, text));
        out.push(Command::StopListening);
    }

    /// The latest time at which what is owed is answered, in a process that was told to end then.
    fn answered_by(&self, since: Micros) -> Micros {
        self.earliest_kill(since) - ANSWERED_BEFORE_KILL
    }

    /// The kill comes no sooner than this. Settings that name no deadline leave it open; the longest one counts then.
    fn earliest_kill(&self, since: Micros) -> Micros {
        let longest = Some(self.facts.longest_patience).filter(|longest| *longest > 0);
        since + longest.unwrap_or(Micros::MAX).min(LONGEST_DEADLINE_COUNTED) + KILL_AFTER_DEADLINE
    }
}
