//! The rungs of sessions: of new ones by the free capacity, of playing ones as links are overloaded or free.

use super::*;

impl Controller {
    /// Expected remaining playing time of a session, in s.
    pub(super) fn expected_remaining_s(&self, session: &Session) -> f64 {
        let mean_s = self.mean_lengths.get(session.request.class).copied().unwrap_or(DEFAULT_LENGTH_S);
        let age_s = session.playing_since.map_or(0.0, |at| self.seconds_since(at));
        match session.request.length_hint {
            // Hints are rough: a session that has passed its hint is expected to play on for a while.
            Some(hint) => (hint as f64 / SECOND as f64 - age_s).max(0.15 * mean_s),
            None => mean_s,
        }
    }

    /// Load that rungs are fitted to: lower with more fronts, whose changes become known too late.
    pub(super) fn target_load(&self) -> f64 {
        1.0 - LOAD_MARGIN * (1.0 - 1.0 / f64::from(self.settings.fronts)).powi(3)
    }

    /// Demand that a server and its rack can take up to a load, in kB/s.
    pub(super) fn free_capacity(&self, id: ServerId, up_to: f64) -> f64 {
        let uplink =
            self.rack_of(id).map_or(f64::MAX, |r| (up_to - self.uplink_load(r)) * self.uplink_capacity(r));
        let link = self.servers.get(id).map_or(0.0, |s| (up_to - self.link_load(id)) * self.link_capacity(s));
        link.min(uplink)
    }

    /// Demand at a server that steps down could free, if all sessions there have rungs like this front's own.
    pub(super) fn freeable_demand(&self, id: ServerId, load: f64) -> f64 {
        let (demand, at_floors) = self.sessions.playing_kb(&self.settings);
        let (total, lowest) = (1.0 + demand, 1.0 + at_floors);
        self.servers.get(id).map_or(0.0, |s| (1.0 - lowest / total) * load * self.link_capacity(s))
    }

    /// Worth per kB that a step down of a playing session loses; `None` if it cannot step down.
    pub(super) fn step_down_cost(&self, session: &Session) -> Option<f64> {
        let s = session;
        if s.playing_since.is_none() || s.moving || s.rung <= s.class.floor {
            return None;
        }
        let freed_kb = s.rate(s.rung) - s.rate(s.rung - 1);
        // A change of rung has its price once for any number of steps.
        let price = if s.rung_set_at == self.now { 0.0 } else { s.class.gain * self.settings.change_cost_s };
        let lost = s.worth(s.rung) - s.worth(s.rung - 1) + price / self.expected_remaining_s(s).max(1.0);
        Some(lost / freed_kb.max(1.0))
    }

    /// The sessions at these servers that can step down, the one that loses the least worth per kB first.
    pub(super) fn steps_down(&self, servers: &[ServerId]) -> CheapestFirst {
        self.sessions.cheapest_first(servers, |session| self.step_down_cost(session))
    }

    /// Steps a session down and returns the demand that this frees, in kB/s; it may step down again later.
    pub(super) fn step_down(&mut self, id: SessionId, steps: &mut CheapestFirst) -> f64 {
        let lower_rung = self.sessions.get(&id).map_or(0, |s| s.rung.saturating_sub(1));
        let freed = self.set_rung(&id, lower_rung);
        if let Some(cost) = self.sessions.get(&id).and_then(|session| self.step_down_cost(session)) {
            steps.push(cost, id);
        }
        freed
    }

    /// The rung for a new session: as high as its share of the free capacity allows. If not even the lowest
    /// fits, own sessions are stepped down to make room.
    pub(super) fn choose_rung(&mut self, id: &SessionId, to: ServerId) -> usize {
        let Some(session) = self.sessions.get(id) else { return 0 };
        let free = self.free_capacity(to, self.target_load()) * NEWCOMER_SHARE;
        let floor = session.class.floor;
        let fits = |rung: &usize| session.rate(*rung) <= free;
        let rung = (floor + 1..=session.top_rung).take_while(fits).last().unwrap_or(floor);
        let mut excess = session.rate(rung) - self.free_capacity(to, self.target_load() + STEP_DOWN_EXCESS);
        if excess <= 0.0 {
            return rung;
        }
        let mut steps = self.steps_down(&[to]);
        while excess > 0.0 {
            let Some(lowered) = steps.pop() else { break };
            excess -= self.step_down(lowered, &mut steps);
        }
        rung
    }

    /// Changes the rung of a playing session and returns the demand that this frees, in kB/s.
    pub(super) fn set_rung(&mut self, id: &SessionId, to: usize) -> f64 {
        let now = self.now;
        let changed = self.sessions.modify(id, |session| {
            let freed = session.rate(session.rung) - session.rate(to);
            (session.rung, session.rung_set_at) = (to, now);
            (freed, session.server)
        });
        let Some((freed, server)) = changed else { return 0.0 };
        if let Some(at) = server {
            self.add_demand(at, -freed, 0);
        }
        self.changed_rungs.insert(id.clone());
        freed
    }

    /// Lowers own demand on an overloaded link or uplink, once per measurement.
    pub(super) fn relieve_overload(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let load = self.link_load(id);
        let Some(server) = self.servers.get(id) else { return };
        if load > self.target_load() + STEP_DOWN_EXCESS
            && server.measured_load.is_some_and(|measured| measured.1 > server.stepped_down_at)
        {
            self.reduce_own_demand(load, &[id], out);
            self.servers.modify(id, |server| server.stepped_down_at = self.now);
        }
        let Some(rack) = self.rack_of(id) else { return };
        let (load, note_lag) = (self.uplink_load(rack), self.settings.note_interval + self.settings.note_age);
        let Some(state) = self.racks.get(rack) else { return };
        let measured_at = state
            .measured_load
            .map_or(state.short_at.max(self.now.saturating_sub(note_lag)), |measured| measured.1);
        if load > self.target_load() + STEP_DOWN_EXCESS && measured_at > state.stepped_down_at {
            let servers: Vec<ServerId> = self.servers.in_rack(rack).map(|(id, _)| id).collect();
            self.reduce_own_demand(load, &servers, out);
            self.racks[rack].stepped_down_at = self.now;
        }
    }

    /// Frees own sessions' share of the excess on these servers. All fronts learn of it at the same time:
    /// each frees only its share, with a random draw on the last step, so that together they free the excess.
    fn reduce_own_demand(&mut self, load: f64, ids: &[ServerId], out: &mut Vec<Action>) {
        let own: f64 = ids.iter().filter_map(|at| self.servers.get(*at)).map(|s| s.own_kb).sum();
        let mut excess = own * (1.0 - self.target_load() / load);
        let mut steps = self.steps_down(ids);
        while excess > 0.0 {
            let Some(id) = steps.pop() else { break };
            let Some(session) = self.sessions.get(&id) else { break };
            let lower_rung = session.rung.saturating_sub(1);
            if excess < (session.rate(session.rung) - session.rate(lower_rung)) * self.draw_uniform() {
                return;
            }
            excess -= self.step_down(id, &mut steps);
        }
        // Exception to REM: with all rungs down and the link still short, a session moves as above Max.th,
        // although no new one has arrived. Danger: a crowd on few holders starves them all.
        if excess > 0.0 && load >= SHED_MIN_LOAD + self.settings.move_price {
            for at in ids {
                self.move_one_session(*at, out);
            }
        }
    }

    /// Steps own sessions up where capacity stays free and the remaining time pays for the change.
    pub(super) fn step_rungs_up(&mut self) {
        let fresh_load = |server: &Server| server.measured_load.filter(|load| load.1 > server.stepped_up_at);
        let measured = self.servers.in_use().filter_map(|(id, server)| Some((id, fresh_load(server)?.0)));
        for (at, load) in measured.collect::<Vec<_>>() {
            let Some(server) = self.servers.get(at).filter(|_| self.server_load(at) <= STEP_UP_MAX_LOAD)
            else {
                continue;
            };
            // All fronts with sessions here get the same measurement: each uses its share of the demand.
            let own_share = (server.own_kb / (load * self.link_capacity(server)).max(1.0)).min(1.0);
            let free = self.free_capacity(at, STEP_UP_TARGET);
            let step = |(id, s): (&SessionId, &Session)| {
                let added_kb = |rung| s.rate(rung) - s.rate(s.rung);
                let fits = |rung: &usize| added_kb(*rung) <= free;
                let to = (s.rung + 1..=s.top_rung).take_while(fits).last()?;
                let added_worth = s.worth(to) - s.worth(s.rung);
                let pays = added_worth * self.expected_remaining_s(s)
                    > STEP_UP_MIN_RETURN * self.settings.change_cost_s * s.class.gain;
                let able = s.playing_since.is_some() && !s.moving && s.rung_set_at + STEP_UP_DWELL < self.now;
                (able && pays).then(|| (id.clone(), to, added_kb(to), added_worth / added_kb(to).max(1.0)))
            };
            let best = self.sessions.at(at).filter_map(step).max_by(|a, b| a.3.total_cmp(&b.3));
            let Some((id, to, added_kb, _)) = best else { continue };
            let draw = self.draw_uniform();
            self.servers.modify(at, |server| server.stepped_up_at = self.now);
            if free * own_share > added_kb * draw {
                self.set_rung(&id, to);
            }
        }
    }
}
