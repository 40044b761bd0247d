//! The agreed rules, checked at the moment a request or an answer is about to be written.

use super::*;

impl<D: Decider> Ledger<D> {
    /// Why a set-up or its answer may not be written now; `None` if it may.
    pub(super) fn set_up_forbidden(&self, id: &SessionId, server: ServerId) -> Option<SetUpForbidden> {
        let rules = self.rules.as_ref()?;
        let session = self.sessions.get(id).filter(|session| session.answer_pending())?;
        if !self.may_act_for(id) {
            return Some(SetUpForbidden::Session(Refusal::Lease));
        }
        match rules.check_accepted(&session.open_request) {
            Err(refusal) => Some(SetUpForbidden::Session(refusal)),
            Ok(()) if rules.box_held(server) && session.pending_attempt().is_none() => {
                Some(SetUpForbidden::Box)
            }
            Ok(()) => None,
        }
    }

    /// Withdraws requests that are about to be written and are not allowed. Danger: a set-up that waited for
    /// its connection was decided under rules that have since changed.
    pub(super) fn withhold_forbidden(&mut self, from: usize, out: &mut Vec<Output>) {
        let forbidden_conn = |ledger: &Self, output: &Output| match output {
            Output::Exchange(conn, BoxRequest::SetUp { session, open_request, .. }) => {
                let allowed = ledger.rules.as_ref()?.check_accepted(open_request).is_ok();
                (!allowed || !ledger.may_act_for(session)).then_some(*conn)
            }
            Output::Exchange(
                conn,
                BoxRequest::SetRung { session, .. } | BoxRequest::Release { session, .. },
            ) => (!ledger.may_act_for(session)).then_some(*conn),
            _ => None,
        };
        while let Some((at, conn)) = out
            .iter()
            .enumerate()
            .skip(from)
            .find_map(|(at, output)| Some((at, forbidden_conn(self, output)?)))
        {
            out.remove(at);
            let (end, idle_timeout) = (ExchangeEnd::Unwritten, self.limits.idle_timeout);
            let ended = self.pool.exchanged(self.now, conn, end, idle_timeout, &mut self.timers, out);
            self.request_ended(ended, out);
            self.run_decider(out);
        }
    }

    /// Hold-off of a refusal: short where the reason is temporary.
    pub(super) fn hold_off_for(&self, refusal: Refusal) -> Micros {
        let max_hold_off = self.settings.max_hold_off;
        if refusal.is_transient() {
            max_hold_off.min(SHORT_HOLD_OFF_US)
        } else {
            max_hold_off
        }
    }

    /// Applies changed rules: ends playing sessions that they no longer permit, and passes on changed box
    /// orders.
    pub(super) fn update_rules(&mut self, state: CoordinationState, out: &mut Vec<Output>) {
        let Some(rules) = &mut self.rules else { return };
        if !rules.update(state) {
            return;
        }
        let ends = |s: &Session| s.playing().is_some() && rules.ends_playing(s.open_request.class);
        let ended: Vec<SessionId> =
            self.sessions.iter().filter(|(_, s)| ends(s)).map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.end_and_notify(&id, EndReason::Rules, Outcome::Withdrawn, out);
        }
        let entries: Vec<ListEntry> = self.box_list.values().cloned().collect();
        if !entries.is_empty() {
            self.send_box_list(ListKind::Changes, entries);
        }
    }

    /// Passes the box list to the decider, with operator orders applied.
    pub(super) fn send_box_list(&mut self, kind: ListKind, lines: Vec<ListEntry>) {
        if let Some(rules) = &self.rules {
            if matches!(kind, ListKind::Complete) {
                self.box_list.clear();
            }
            for line in &lines {
                if line.entry.state == ServerState::Removed {
                    self.box_list.remove(&line.entry.server);
                } else {
                    self.box_list.insert(line.entry.server, line.clone());
                }
            }
            let apply_orders = |line: ListEntry| {
                let mut entry = line.entry;
                rules.apply_box_order(&mut entry);
                entry
            };
            let entries = lines.into_iter().map(apply_orders).collect();
            self.events.push_back(Event::Servers(kind, entries));
            return;
        }
        let entries = lines.into_iter().map(|line| line.entry).collect();
        self.events.push_back(Event::Servers(kind, entries));
    }
}
