//! Updates of the server list: what they end, withdraw and release, and in which order the decider hears of it.

use super::listed_servers::{ListChange, ReplacedServer};
use super::*;

/// Maximum number of started or replaced media servers that a log line names.
const MAX_LOGGED_STARTS: usize = 8;

impl<D: Decider> Core<D> {
    /// Applies an update of the list. A request, or a refusal that leads to a further attempt, may be read
    /// before a drain that was announced long before, when the process resumes after a stop or the list is
    /// long. The decider therefore gets the list before either.
    pub(super) fn apply_list_update(
        &mut self,
        kind: ListKind,
        records: Vec<ListEntry>,
        out: &mut Vec<Command>,
    ) {
        let change = self.servers.apply(kind, records);
        out.push(Command::Log(Level::Info, self.list_log_line(kind, &change)));
        let (immediate, deferred): (Vec<_>, Vec<_>) =
            self.events.drain(..).partition(|event| !may_start_attempt(event));
        self.events = std::mem::take(&mut self.list_events);
        self.events.extend(immediate);
        for server in &change.removed {
            self.remember_sessions_at(server, out);
            self.dial_backoff.remove(server.id);
            self.stop_expecting_note(server.id);
        }
        self.end_sessions_lost_by(kind, &change, out);
        self.move_releases(&change.replaced, out);
        let mut gone: BTreeSet<ServerId> = change.removed.iter().map(|server| server.id).collect();
        self.drop_releases(|at| gone.contains(&at));
        let draining = change.records.iter().filter(|record| record.entry.state == ServerState::Draining);
        let draining: BTreeSet<ServerId> = draining.map(|record| record.entry.server).collect();
        self.events.push_back(Event::Servers(kind, self.entries_for_decider(&change)));
        self.list_events = std::mem::replace(&mut self.events, deferred.into());
        for server in &change.readdressed {
            // What is known of the old address says nothing of the new one.
            self.dial_backoff.remove(*server);
            self.health.address_changed(*server);
        }
        // Set-ups withdrawn from a media server now must not be sent there again.
        gone.extend(change.readdressed);
        self.drop_connections(&gone, out);
        self.release_at_successors(out);
        for id in self.pool.unsent_set_ups_to(&draining) {
            self.withdraw_attempt(id, false, out);
            self.attempt_ended(id, Outcome::NotSent, Vec::new());
        }
    }

    /// Ends the sessions of servers that are gone, and those of the previous processes of restarted servers.
    fn end_sessions_lost_by(&mut self, kind: ListKind, change: &ListChange, out: &mut Vec<Command>) {
        let removed: BTreeSet<ServerId> = change.removed.iter().map(|server| server.id).collect();
        let records = change.records.iter().filter(|_| kind != ListKind::Cached);
        let starts = records.filter_map(|record| Some((record.entry.server, record.entry.started?)));
        let starts: BTreeMap<ServerId, Micros> = starts.collect();
        for server in self.sessions.servers().collect::<Vec<_>>() {
            let (is_gone, started) = (removed.contains(&server), starts.get(&server).copied());
            let is_lost =
                |entry: &SessionEntry| is_gone || started.is_some_and(|start| entry.playing_since < start);
            self.end_lost_sessions(server, is_lost, out);
        }
    }

    /// The list as the decider gets it. A successor whose start is not stated may have started just now.
    fn entries_for_decider(&self, change: &ListChange) -> Vec<ServerEntry> {
        let unstated: BTreeSet<ServerId> = change.started_unstated.iter().copied().collect();
        let entries = change.records.iter().map(|record| {
            let started = Some(self.now).filter(|_| unstated.contains(&record.entry.server));
            ServerEntry { started: record.entry.started.or(started), ..record.entry.clone() }
        });
        entries.collect()
    }

    /// The log line for an update of the list: what it says of how many servers, and which it says have started.
    fn list_log_line(&self, kind: ListKind, change: &ListChange) -> String {
        let records = &change.records;
        let count = |state| records.iter().filter(|record| record.entry.state == state).count();
        let started = records.iter().filter_map(|record| Some((record.entry.server, record.entry.started?)));
        let is_recent = |(_, at): &(ServerId, Micros)| {
            at.saturating_add(self.platform_settings.settings.warm_up) > self.now
        };
        let recent = started.filter(is_recent).take(MAX_LOGGED_STARTS);
        let starts = recent.map(|(server, at)| {
            format!(" s-{:08x} started {} ms ago", server.0, self.now.saturating_sub(at) / 1_000)
        });
        format!(
            "list: {kind:?} after event {}: {} ready, {} draining, {} gone;{}{}",
            self.list_watch.last_heard().0,
            count(ServerState::Ready),
            count(ServerState::Draining),
            count(ServerState::Removed),
            starts.collect::<Vec<_>>().join(","),
            replaced_text(&change.replaced)
        )
    }
}

/// Names the servers of an update whose addresses others have.
fn replaced_text(replaced: &[ReplacedServer]) -> String {
    let text = |server: &ReplacedServer| {
        format!(" s-{:08x} has the address of s-{:08x};", server.successor.0, server.id.0)
    };
    replaced.iter().take(MAX_LOGGED_STARTS).map(text).collect()
}

/// Whether the decider may start an attempt in response to this event. Events of one session keep their
/// order: whatever follows one of these is about the next attempt.
fn may_start_attempt(event: &Event) -> bool {
    let ends_session =
        |event: &Event| matches!(event, Event::Ended { last: true, .. } | Event::ClientLeft(_));
    let is_about_playing_session =
        |event: &Event| matches!(event, Event::Resumed(..) | Event::Started { .. } | Event::Note { .. });
    !ends_session(event) && !is_about_playing_session(event)
}
