//! Rules that are agreed on, looked at where an act is about to be written.

use super::*;

impl<D: Decider> Ledger<D> {
    /// Whether a set-up or its answer may not be written now.
    pub(super) fn forbidden(&self, id: &SessionId, server: ServerId) -> Option<Forbidden> {
        let terms = self.terms.as_ref()?;
        let session = self.sessions.get(id).filter(|session| session.answer_pending())?;
        if !self.ours(id) {
            return Some(Forbidden::All(Refusal::Lease));
        }
        match terms.check_accepted(&session.open_request) {
            Err(why) => Some(Forbidden::All(why)),
            Ok(()) if terms.box_held(server) && session.pending_attempt().is_none() => Some(Forbidden::Box),
            Ok(()) => None,
        }
    }

    /// Takes set-ups back that are about to go out and may not. Danger: one that waited for its connection was decided
    /// under rules that have changed since; found by a test that draws what happens.
    pub(super) fn hold_back(&mut self, from: usize, out: &mut Vec<Output>) {
        let stopped = |ledger: &Self, output: &Output| match output {
            Output::Exchange(conn, BoxRequest::SetUp { session, open_request: opening, .. }) => {
                let allowed = ledger.terms.as_ref()?.check_accepted(opening).is_ok();
                (!allowed || !ledger.ours(session)).then_some(*conn)
            }
            Output::Exchange(
                conn,
                BoxRequest::SetRung { session, .. } | BoxRequest::Release { session, .. },
            ) => (!ledger.ours(session)).then_some(*conn),
            _ => None,
        };
        while let Some((at, conn)) =
            out.iter().enumerate().skip(from).find_map(|(at, output)| Some((at, stopped(self, output)?)))
        {
            out.remove(at);
            let (end, kept) = (ExchangeEnd::Unwritten, self.limits.idle_timeout);
            let ended = self.pool.exchanged(self.now, conn, end, kept, &mut self.timers, out);
            self.request_ended(ended, out);
            self.settle(out);
        }
    }

    /// When a viewer who is refused may come back: soon where the reason passes by itself.
    pub(super) fn come_back(&self, why: Refusal) -> Micros {
        let most = self.settings.max_hold_off;
        if why.passes() {
            most.min(COME_BACK)
        } else {
            most
        }
    }

    pub(super) fn stands(&mut self, stand: Stand, out: &mut Vec<Output>) {
        let Some(terms) = &mut self.terms else { return };
        if !terms.update(stand) {
            return;
        }
        let ends = |s: &Session| s.playing().is_some() && terms.ends_playing(s.open_request.class);
        let ended: Vec<SessionId> =
            self.sessions.iter().filter(|(_, s)| ends(s)).map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.ended_by_itself(&id, EndReason::Rules, Outcome::Withdrawn, out);
        }
        let again: Vec<ListEntry> = self.listed.values().cloned().collect();
        if !again.is_empty() {
            self.overruled(ListKind::Changes, again);
        }
    }

    /// Tells the module the list, as operators have overruled it.
    pub(super) fn overruled(&mut self, kind: ListKind, lines: Vec<ListEntry>) {
        if let Some(terms) = &self.terms {
            if matches!(kind, ListKind::Complete) {
                self.listed.clear();
            }
            for line in &lines {
                if line.entry.state == ServerState::Removed {
                    self.listed.remove(&line.entry.server);
                } else {
                    self.listed.insert(line.entry.server, line.clone());
                }
            }
            let overrule = |line: ListEntry| {
                let mut entry = line.entry;
                terms.apply_box_order(&mut entry);
                entry
            };
            let entries = lines.into_iter().map(overrule).collect();
            self.events.push_back(Event::Servers(kind, entries));
            return;
        }
        let entries = lines.into_iter().map(|line| line.entry).collect();
        self.events.push_back(Event::Servers(kind, entries));
    }
}
