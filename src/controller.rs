//! All decisions of salttally. The settings, events and actions used here are defined in `src/interface.rs`.
//!
//! From the top: random early migration (REM), guarded set-ups and answers, load measurement, rungs, health
//! and events; the pace of cold servers is in `src/controller/cold_servers.rs`. A front's `Controller` knows
//! only what its own events report.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::fleet::Fleet;
use crate::interface::*;
use crate::sessions::{CheapestFirst, Sessions};
use crate::state::{record_measurement, ListState, Measurement, Rack, Server, Session};

mod cold_servers;
mod rungs;

const SECOND: Micros = 1_000_000; // us

// REM. A load is the demand on a link, an uplink or the places of a server as a share of its capacity.
const MIN_TH: f64 = 0.8; // Min.th; above the load that rungs alone lead to: only lasting crowds cause moves
const MAX_TH: f64 = 1.0; // Max.th; just past the load at which delivery starts to fall short
const P_MAX: f64 = 0.8; // probability of a move at Max.th if moves cost nothing; the move price lowers it
const SERVER_MOVE_INTERVAL: Micros = 5 * SECOND; // per server: the load must reflect the previous move first
const VIEWER_MOVE_INTERVAL: Micros = 30 * SECOND; // per viewer: none is moved again and again
const MOVE_MIN_REMAINING_S: f64 = 12.0; // s; sessions expected to end sooner are not moved
const SHED_MIN_LOAD: f64 = 1.05; // plus the move price; a load above it with all rungs down moves a session
const LOAD_JITTER: f64 = 0.05; // random addition to a load, so that fronts do not all choose the same server
const CROSS_ZONE_FACTOR: f64 = 2.5; // cross prices added to other zones' loads: a partition ends sessions

// Probes.
const MAX_PROBES: usize = 2; // per set-up
const MAX_PROBE_PRICE: f64 = 0.02; // as a share of a session's worth; dearer probes are not sent
const PROBE_MIN_AGE: Micros = 2 * SECOND; // a server with a younger load measurement is not probed
const PROBE_TIMEOUT: Micros = SECOND / 10; // a live server answers in a few ms

// Rungs.
const LOAD_MARGIN: f64 = 0.06; // of a link or uplink, left free when nearly all demand is from other fronts
const NEWCOMER_SHARE: f64 = 0.45; // of the free capacity, for rungs above the lowest: more sessions will come
const STEP_DOWN_EXCESS: f64 = 0.06; // load above the target from which playing sessions are stepped down
const STEP_UP_MAX_LOAD: f64 = 0.72; // load up to which sessions are stepped up; the gap is hysteresis
const STEP_UP_TARGET: f64 = 0.93; // load up to which steps up may fill a server
const STEP_UP_MIN_RETURN: f64 = 5.0; // worth that a step up must earn, in multiples of its cost
const STEP_UP_DWELL: Micros = 15 * SECOND; // since the last change of rung: up and down again costs twice
const DEFAULT_LENGTH_S: f64 = 30.0; // s; expected session length until sessions have ended

// Load measurement.
const FULL_DELIVERY_SHARE: f64 = 0.98; // a link or uplink that delivers less of the demand is short
const SHORT_NOTE_TTL: Micros = 3 * SECOND / 2; // notes of it come once a second; older ones no longer count
const LONE_LINK_MAX_SHARE: f64 = 0.85; // of the overload; a lone link below it means that the uplink is short
const UPLINK_GROWTH_MIN_LOAD: f64 = 0.90; // an uplink that delivers in full above this load may carry more
const UPLINK_GROWTH_PER_TICK: f64 = 0.01; // growth of the estimated uplink capacity, of the configured mean
const UPLINK_GROWTH_QUIET: Micros = 3 * SECOND; // without short delivery before the estimate grows
const MIN_UPLINK_SCALE: f64 = 0.4; // bounds of the estimated uplink capacity, in configured means;
const MAX_UPLINK_SCALE: f64 = 1.5; // racks differ by less
const MIN_OWN_DEMAND_SHARE: f64 = 0.7; // of own demand counts at least in a load: true rates may be lower
const LOAD_FADE_TIME: Micros = 30 * SECOND; // a measurement gives way to the usual load: sessions end
const USUAL_LOAD_WEIGHT: f64 = 0.05; // weight of each new measurement in the usual load
const MAX_USUAL_LOAD: f64 = 0.95; // usual load alone never makes a server full: the server refused nothing
const REPORT_AGE: Micros = SECOND / 2; // of a load report in an answer: refresh interval and transit time

// Health and attempts.
const MIN_BACKOFF: Micros = 2 * SECOND; // after the first failure; doubles with each further one
const MAX_BACKOFF: Micros = 8 * SECOND; // a recovered server is used again within this time
const DISTRUST_TIME: Micros = 15 * SECOND; // after a failure, in which a server is ranked last
const ZONE_MAX_FAILURES: u32 = 3; // in a row that find servers down; the whole zone is then distrusted
const FULL_BACKOFF: Micros = SECOND; // a server that turned a set-up away counts as full for this long
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.45; // of the aim, so that another attempt fits within it
const TICK_INTERVAL: Micros = SECOND / 10; // a waiting session is answered this long before its deadline
const IN_DOUBT_WAIT: Micros = SECOND / 10; // a live server confirms a give-up, or closes, in a few ms
const ERROR_WINDOW: Micros = 5 * SECOND; // in which errors are compared with good answers
const MAX_REQUEST_ERROR_SHARE: f64 = 0.2; // share of errors blamed on requests; failing servers have more
const PERMANENT: Micros = Micros::MAX; // end of a block that does not expire

// Requests.
const REQUEST_RATE_WINDOW: Micros = 10 * SECOND; // over which the front's own request rate is measured

/// The session controller of one front.
#[derive(Clone)]
pub struct Controller {
    settings: Settings,
    rng: Pcg32,
    now: Micros,
    servers: Fleet,
    racks: Vec<Rack>,
    /// Racks whose uplinks may be estimated below the configured mean.
    scaled_down_racks: BTreeSet<usize>,
    /// Moving means of the loads reported of links and of uplinks; the estimate for servers without a report.
    usual_load: [Option<f64>; 2],
    /// By zone: failures that found a server down since one there last worked, and the time of the latest.
    zone_failures: BTreeMap<u32, (u32, Micros)>,
    sessions: Sessions,
    /// By viewer whose session was moved: the server for its next session, and the time of the move.
    planned_moves: BTreeMap<ViewerId, (ServerId, Micros)>,
    /// Mean session length of each class, in s.
    mean_lengths: Vec<f64>,
    /// Recent requests: time, and the cells that hold the title (the first one and their number).
    requests: VecDeque<(Micros, u32, u32)>,
    /// With a budget: the sessions of these, each with the time. A copy of a request is no further one.
    counted_requests: BTreeMap<SessionId, Micros>,
    /// Times of recent attempts beyond each session's first.
    retries: VecDeque<Micros>,
    list_state: ListState,
    tick_scheduled: bool,
    /// Sessions whose rung was changed by the current event; each is reported once, after all its steps.
    changed_rungs: BTreeSet<SessionId>,
}

/// Prints the state without the settings and the random generator: controllers with the same output decide
/// the same, given the same random numbers.
impl std::fmt::Debug for Controller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let load = (&self.servers, &self.racks, &self.usual_load, &self.zone_failures, &self.mean_lengths);
        write!(
            f,
            "{load:?} {:?} {:?}",
            self.sessions,
            (&self.planned_moves, &self.requests, &self.counted_requests, &self.retries, self.list_state)
        )
    }
}

impl Controller {
    /// The controller of a front that has just started.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = Settings { fronts: settings.fronts.max(1), ..settings };
        let rack = || Rack { scale: 1.0, ..Rack::default() };
        let racks = (0..settings.racks.min(settings.cells)).map(|_| rack()).collect();
        let mean_lengths = vec![DEFAULT_LENGTH_S; settings.classes.len()];
        Controller {
            servers: Fleet::new(settings.racks),
            settings,
            rng: Pcg32::seed_from_u64(seed),
            now: 0,
            racks,
            scaled_down_racks: BTreeSet::new(),
            usual_load: [None, None],
            zone_failures: BTreeMap::new(),
            sessions: Sessions::default(),
            planned_moves: BTreeMap::new(),
            mean_lengths,
            requests: VecDeque::new(),
            counted_requests: BTreeMap::new(),
            retries: VecDeque::new(),
            list_state: ListState::Unknown,
            tick_scheduled: false,
            changed_rungs: BTreeSet::new(),
        }
    }

    /// Restarts the random generator, for a search over all orders of events and all random numbers.
    pub fn reseed(&mut self, seed: u64) {
        self.rng = Pcg32::seed_from_u64(seed);
    }

    /// The estimate for a server: its load, its health tier (0 is trusted), and own sessions there.
    pub fn server_estimate(&self, id: ServerId) -> Option<(f64, u32, i32)> {
        self.servers.get(id).map(|server| (self.server_load(id), self.health_tier(id), server.own_sessions))
    }

    // ---- REM: random early migration ----

    /// REM's probability of moving a session off the chosen holder, by the holder's load.
    pub fn move_probability(&self, load: f64) -> f64 {
        let p_max = P_MAX * (1.0 - 4.0 * self.settings.move_price).clamp(0.1, 1.0);
        if load >= MAX_TH {
            return 1.0;
        }
        (p_max * (load - MIN_TH) / (MAX_TH - MIN_TH)).max(0.0)
    }

    fn draw_uniform(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0
    }

    /// Sends a session to the least loaded holder; if that is loaded, REM may move another session off it.
    fn place_session(&mut self, id: &SessionId, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get(id) else { return };
        let (viewer, floor_rate) = (session.request.viewer, session.rate(session.class.floor));
        let after_move = session.request.moved && session.attempts == 0;
        let planned = self.planned_moves.get(&viewer).filter(|_| after_move).map(|planned| planned.0);
        if let Some(server) = planned.filter(|to| self.blocked_until(id, *to).is_none()) {
            return self.send_set_up(id, server, out);
        }
        let ranked = self.ranked_holders(id, out);
        if self.probe_holders(id, &ranked, out) {
            return;
        }
        let Some(chosen) = ranked.first().copied() else { return self.wait_or_refuse(id, out) };
        let (load, draw) = (self.server_load(chosen), self.draw_uniform());
        if draw < self.move_probability(load) && !self.move_one_session(chosen, out) && load >= 1.0 {
            // Full, and no session could be moved: refused, unless lower rungs there would make room.
            let free = self.free_capacity(chosen, 1.0) + self.freeable_demand(chosen, load);
            if self.stream_load(chosen) >= 1.0 || free < floor_rate {
                return self.refuse(id, out);
            }
        }
        self.send_set_up(id, chosen, out);
    }

    /// Moves one own session off a server to the least loaded holder below Min.th; false if none can move.
    fn move_one_session(&mut self, from: ServerId, out: &mut Vec<Action>) -> bool {
        let Some(server) = self.servers.get(from) else { return false };
        if server.moved_at.is_some_and(|at| at + SERVER_MOVE_INTERVAL > self.now) {
            return false;
        }
        let mut best: Option<(f64, SessionId, ServerId)> = None;
        let mut targets: BTreeMap<(u32, u32), Option<ServerId>> = BTreeMap::new();
        for (id, session) in self.sessions.at(from) {
            let is_recent = |at: Micros| at + VIEWER_MOVE_INTERVAL > self.now;
            let moved = self.planned_moves.get(&session.request.viewer).is_some_and(|plan| is_recent(plan.1));
            if session.playing_since.is_none() || session.moving || moved {
                continue;
            }
            let remaining_s = self.expected_remaining_s(session);
            // Each move has the same price, so the session with the most remaining demand is moved.
            let remaining_kb = remaining_s * session.rate(session.rung);
            if remaining_s < MOVE_MIN_REMAINING_S
                || best.as_ref().is_some_and(|(most, _, _)| remaining_kb <= *most)
            {
                continue;
            }
            let cells = (session.request.first_cell, session.request.cell_count);
            let target = targets.entry(cells).or_insert_with(|| self.move_target(from, &session.request));
            if let Some(to) = *target {
                best = Some((remaining_kb, id.clone(), to));
            }
        }
        let Some((_, id, to)) = best else { return false };
        let Some(viewer) = self.sessions.modify(&id, |session| {
            session.moving = true;
            session.request.viewer
        }) else {
            return false;
        };
        self.planned_moves.insert(viewer, (to, self.now));
        self.servers.modify(from, |server| server.moved_at = Some(self.now));
        out.push(Action::Move(id));
        true
    }

    /// The least loaded holder below Min.th to which a session may be moved.
    fn move_target(&self, from: ServerId, request: &Request) -> Option<ServerId> {
        let is_suitable = |to: &ServerId| {
            let is_warm = self.servers.get(*to).is_some_and(|s| self.warm_up_start(s).is_none());
            *to != from && is_warm && self.health_tier(*to) == 0 && self.server_load(*to) < MIN_TH
        };
        let holders = self.holders(request).into_iter().filter(is_suitable);
        holders.min_by(|a, b| self.server_load(*a).total_cmp(&self.server_load(*b)))
    }

    /// Holders that may be sent the session now, the least loaded first; distrusted ones come last.
    fn ranked_holders(&mut self, id: &SessionId, out: &mut Vec<Action>) -> Vec<ServerId> {
        let Some(session) = self.sessions.get(id) else { return Vec::new() };
        let (holders, tried) = (self.holders(&session.request), session.tried.clone());
        let is_blocked = |server: &ServerId| self.blocked_until(id, *server).is_some();
        let (blocked, holders): (Vec<_>, Vec<_>) = holders.into_iter().partition(is_blocked);
        self.record_held_back(id, &blocked, out);
        let mut ranked = Vec::new();
        for to in holders {
            let in_other_zone = self.servers.get(to).is_some_and(|s| s.entry.zone != self.settings.zone);
            let penalty = if in_other_zone { self.settings.cross_price * CROSS_ZONE_FACTOR } else { 0.0 };
            let load = self.server_load(to) + penalty + self.draw_uniform() * LOAD_JITTER;
            ranked.push((self.health_tier(to), tried.contains(&to), load, to));
        }
        ranked.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        ranked.into_iter().map(|(_, _, _, server)| server).collect()
    }

    /// Before a set-up, probes the least loaded holders without a recent measurement, if probes are cheap.
    /// True if the session has to wait for the answers. Danger: each of many fronts knows few servers, and a
    /// paid session is lost on a dead one. In a loaded fleet, returning viewers cause no probes: those of a
    /// crowd would cost more than they are worth.
    fn probe_holders(&mut self, id: &SessionId, ranked: &[ServerId], out: &mut Vec<Action>) -> bool {
        let measured_at =
            |at: &ServerId| self.servers.get(*at).and_then(|s| s.measured_load).map_or(0, |m| m.1);
        let mut stale: Vec<ServerId> = ranked.iter().take(MAX_PROBES).copied().collect();
        stale.retain(|at| measured_at(at) + PROBE_MIN_AGE < self.now);
        let Some(session) = self.sessions.get(id) else { return false };
        let crowded = self.usual_load[0].is_some_and(|usual| usual > MIN_TH) && session.request.returning;
        let allowed = self.settings.probes && self.settings.probe_price <= MAX_PROBE_PRICE && !crowded;
        if !allowed || session.probed || ranked.len() < 2 || stale.is_empty() {
            return false;
        }
        out.extend(stale.iter().map(|server| Action::Probe(*server)));
        out.push(Action::WakeAt(1, self.now + PROBE_TIMEOUT));
        let wait_until = Some(self.now + PROBE_TIMEOUT);
        self.sessions.modify(id, |session| {
            (session.probed, session.pending_probes, session.wait_until) = (true, stale, wait_until);
        });
        true
    }

    /// Handles the end of a probe: sessions that wait for no other probe are placed.
    fn probe_ended(&mut self, id: ServerId, outcome: Outcome, out: &mut Vec<Action>) {
        if matches!(outcome, Outcome::TimedOut | Outcome::NoConnection | Outcome::Broken) {
            self.record_failure(id, true);
        }
        self.sessions.end_probes(id, self.now);
        self.place_waiting(out);
    }

    /// Listed servers that hold the requested title.
    fn holders(&self, request: &Request) -> Vec<ServerId> {
        self.servers.holders(request, self.settings.cells)
    }

    // ---- Guarded paths: every set-up and every final answer passes here ----

    /// Until when the session must not be sent to the server, by all rules on set-ups; `None` if it may be.
    fn blocked_until(&self, id: &SessionId, to: ServerId) -> Option<Micros> {
        let (Some(session), Some(server)) = (self.sessions.get(id), self.servers.get(to)) else {
            return Some(PERMANENT);
        };
        let (class, top) = (&session.class, session.top_rung);
        let is_over = session.answered || session.server.is_some() || self.now >= session.deadline;
        let is_holder = session.request.held_in(server.entry.cell, self.settings.cells);
        let is_suitable = is_holder && top >= class.floor && server.entry.state == ServerState::Ready;
        if is_over || !is_suitable || session.all_attempts() >= self.settings.max_attempts {
            return Some(PERMANENT);
        }
        if let Some((earlier, sent_at)) = session.may_have_run {
            let same = |get: fn(&ServerEntry) -> u32| {
                self.servers.get(earlier).is_some_and(|s| get(&s.entry) == get(&server.entry))
            };
            let recognised = match class.group {
                Group::All => true,
                Group::Zone => same(|entry| entry.zone),
                Group::Cell => same(|entry| entry.cell),
            };
            match class.effect {
                Effect::Safe => {}
                Effect::Deduplicated if recognised && self.now < sent_at + class.window => {}
                _ => return Some(PERMANENT),
            }
        }
        if session.in_doubt.contains(&to) {
            return Some(session.in_doubt_until.filter(|at| *at > self.now).unwrap_or(PERMANENT));
        }
        if class.seats > 0 {
            let taken = self.sessions.seats_taken(session.request.title, session.request.class);
            if taken >= class.seats {
                return Some(PERMANENT);
            }
        }
        if let (Some(budget), true) = (self.settings.budget, session.all_attempts() > 0) {
            // Both are in the order of time.
            let old_requests = self.requests.partition_point(|(at, ..)| at + budget.window <= self.now);
            let requests = self.requests.len() - old_requests;
            let old_retries = self.retries.partition_point(|at| at + budget.window < self.now);
            let retries = self.retries.len() - old_retries;
            if (retries + 1) as f64 > budget.free + budget.share * requests as f64 {
                return Some(PERMANENT);
            }
        }
        self.cold_pace_block(session, to)
    }

    /// Sends a set-up of the session, unless a rule blocks it.
    fn send_set_up(&mut self, id: &SessionId, to: ServerId, out: &mut Vec<Action>) {
        if self.blocked_until(id, to).is_some() {
            return self.wait_or_refuse(id, out);
        }
        let rung = self.choose_rung(id, to);
        let rate = self.sessions.get(id).map_or(0.0, |s| s.rate(rung));
        let now = self.now;
        let Some(session) = self.sessions.get(id) else { return };
        let class = &session.class;
        let until_aim = (session.requested_at + class.aim).saturating_sub(now);
        let until_deadline = session.deadline.saturating_sub(now);
        // The time-out leaves time for another attempt within the aim. One that no other may follow ends with
        // the aim, as a later start earns nothing and a later failure costs. Below a fifth, it is the aim.
        let time_out = match class.effect {
            Effect::Once => until_aim,
            _ if session.all_attempts() + 1 >= self.settings.max_attempts => until_aim,
            _ => ((class.aim as f64 * ATTEMPT_TIMEOUT_SHARE) as Micros).min(until_aim),
        };
        let time_out = if time_out < class.aim / 5 { class.aim } else { time_out }.min(until_deadline);
        if session.all_attempts() > 0 {
            self.retries.push_back(now);
        }
        self.sessions.modify(id, |session| session.set_up_sent(to, rung, now));
        self.use_slot(id, to, out);
        self.add_demand(to, rate, 1);
        out.push(Action::SetRung(id.clone(), rung));
        out.push(Action::SetUp(id.clone(), to, time_out));
    }

    /// Lets a session wait until it may go to a holder, for half its aim or its doubt; else refuses it.
    fn wait_or_refuse(&mut self, id: &SessionId, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get(id) else { return };
        let aim = session.class.aim;
        let wait_limit = (session.requested_at + aim / 2).max(session.in_doubt_until.map_or(0, |at| at + 1));
        let latest = wait_limit.min(session.deadline.saturating_sub(TICK_INTERVAL));
        let is_worth_waiting = |at: &ServerId| self.health_tier(*at) < 2 || session.in_doubt.contains(at);
        let holders = self.holders(&session.request).into_iter().filter(is_worth_waiting);
        let times = holders.filter_map(|server| self.blocked_until(id, server)).filter(|at| *at < latest);
        let Some(earliest) = times.min() else { return self.refuse(id, out) };
        self.sessions.modify(id, |session| session.wait_until = Some(earliest));
        out.push(Action::WakeAt(1, earliest));
    }

    /// Gives the final answer: a refusal with a hold-off, or a failure if an attempt may have run that must
    /// not be repeated.
    fn refuse(&mut self, id: &SessionId, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get(id) else { return };
        if session.answered || session.playing_since.is_some() {
            return;
        }
        let may_have_run = session.may_have_run.is_some() || session.server.is_some();
        let is_repeatable = match session.class.effect {
            Effect::Safe => true,
            Effect::Deduplicated => session.class.group == Group::All,
            Effect::Once => false,
        };
        let refusal = Action::Refuse(id.clone(), self.settings.max_hold_off);
        out.push(if is_repeatable || !may_have_run { refusal } else { Action::Fail(id.clone()) });
        if session.server.is_none() {
            self.sessions.remove(id);
        } else {
            self.sessions.modify(id, |session| session.answered = true);
        }
    }

    // ---- Load measurement ----

    /// Load of a server for REM: the highest of the loads of its link, its rack's uplink and its places.
    fn server_load(&self, id: ServerId) -> f64 {
        self.link_load(id)
            .max(self.rack_of(id).map_or(0.0, |rack| self.uplink_load(rack)))
            .max(self.stream_load(id))
    }

    /// Share of its places that a server has in use: all if it has just turned a set-up away, else the last
    /// report with own changes since, and at least the own sessions.
    fn stream_load(&self, id: ServerId) -> f64 {
        let Some(server) = self.servers.get(id) else { return 0.0 };
        let Some(places) = self.settings.kind_streams.get(server.entry.kind as usize) else { return 0.0 };
        if server.full_until > self.now {
            return 1.0;
        }
        let since = |at| server.changes.iter().filter(move |c| c.0 > at).map(|c| f64::from(c.2)).sum::<f64>();
        let used = server.measured_streams.map_or(0.0, |(used, at)| used + since(at));
        used.max(f64::from(server.own_sessions)) / f64::from((*places).max(1))
    }

    /// Demand on a server's link as a share of its capacity: the latest measurement with own changes since;
    /// as it ages, it gives way to the usual demand of other fronts plus own demand.
    fn link_load(&self, id: ServerId) -> f64 {
        self.servers.get(id).map_or(0.0, |server| self.link_load_of(server))
    }

    fn link_load_of(&self, server: &Server) -> f64 {
        let capacity = self.link_capacity(server);
        let (own_load, weight) = (server.own_kb / capacity, self.measurement_weight(server.measured_load));
        let known = server.measured_load.map_or(0.0, |(load, at)| load + server.change_since(at) / capacity);
        weight * known.max(own_load * MIN_OWN_DEMAND_SHARE)
            + (1.0 - weight) * (self.others_link_load(server) + own_load)
    }

    /// Weight of a measurement; falls with age, or the last one before a loss keeps the replacement empty.
    fn measurement_weight(&self, measurement: Measurement) -> f64 {
        measurement.map_or(0.0, |(_, at)| {
            (1.0 - self.seconds_since(at) * SECOND as f64 / LOAD_FADE_TIME as f64).max(0.0)
        })
    }

    fn seconds_since(&self, at: Micros) -> f64 {
        self.now.saturating_sub(at) as f64 / SECOND as f64
    }

    /// Estimated load of a link by other fronts: their share of the usual load, growing from 0 after a start.
    /// Danger: an unknown server taken for empty attracts all newcomers; taken for full, it stays empty.
    fn others_link_load(&self, server: &Server) -> f64 {
        let own = self.servers.own_kb();
        let usual = self.usual_load[0]
            .unwrap_or_else(|| own * f64::from(self.settings.fronts) / self.settings.links_kb.max(1.0));
        let started = server.start.latest();
        let fill = started.map_or(1.0, |at| (self.seconds_since(at) / DEFAULT_LENGTH_S).min(1.0));
        usual.min(MAX_USUAL_LOAD) * fill * (1.0 - 1.0 / f64::from(self.settings.fronts))
    }

    /// Capacity of a server's link, in kB/s.
    fn link_capacity(&self, server: &Server) -> f64 {
        let is_cold = self.warm_up_start(server).is_some();
        server.link_kb * if is_cold { self.settings.cold_from.clamp(0.1, 1.0) } else { 1.0 }
    }

    fn rack_of(&self, id: ServerId) -> Option<usize> {
        self.servers.get(id).map(|s| s.entry.rack(self.settings.racks))?
    }

    /// Estimated capacity of a rack's uplink, in kB/s.
    fn uplink_capacity(&self, rack: usize) -> f64 {
        self.racks.get(rack).map_or(1.0, |r| (self.settings.uplink_kb * r.scale).max(1.0))
    }

    /// Demand on a rack's uplink as a share of its capacity: measured if known, else summed over its links.
    fn uplink_load(&self, rack: usize) -> f64 {
        let Some(state) = self.racks.get(rack).filter(|_| self.settings.uplink_kb > 0.0) else { return 0.0 };
        let (capacity, weight) = (self.uplink_capacity(rack), self.measurement_weight(state.measured_load));
        let changes_since = |at| self.servers.in_rack(rack).map(|(_, s)| s.change_since(at)).sum::<f64>();
        let known = state.measured_load.map_or(0.0, |(load, at)| load + changes_since(at) / capacity);
        let links_demand = || {
            self.servers.in_rack(rack).map(|(_, s)| self.link_load_of(s) * self.link_capacity(s)).sum::<f64>()
        };
        match self.usual_load[1] {
            _ if weight == 1.0 => known,
            Some(usual) => weight * known + (1.0 - weight) * usual.min(MAX_USUAL_LOAD),
            None if self.servers.in_rack(rack).all(|(_, s)| s.own_sessions == 0) => {
                (links_demand() / capacity).min(MAX_USUAL_LOAD)
            }
            None => links_demand() / capacity,
        }
    }

    /// Adds a change of own demand at a server, in kB/s and streams.
    fn add_demand(&mut self, id: ServerId, kb: f64, streams: i32) {
        let now = self.now;
        let Some(server) = self.servers.add_own_demand(now, id, kb, streams) else { return };
        while server.changes.front().is_some_and(|c| c.0 + LOAD_FADE_TIME < now) {
            server.changes.pop_front();
        }
    }

    /// Records the load of a server's link, or of its rack's uplink, measured at a time.
    fn record_load(&mut self, id: ServerId, uplink: bool, load: f64, at: Micros) {
        let rack = self.rack_of(id).and_then(|rack| self.racks.get_mut(rack)).filter(|_| uplink);
        let link = self.servers.get_mut(id).filter(|_| !uplink).map(|server| &mut server.measured_load);
        let Some(slot) = link.or(rack.map(|r| &mut r.measured_load)).filter(|_| load.is_finite()) else {
            return;
        };
        record_measurement(slot, load, at);
        let usual = self.usual_load[usize::from(uplink)].get_or_insert(load);
        *usual += USUAL_LOAD_WEIGHT * (load.clamp(0.0, 2.0) - *usual);
    }

    /// Records the load report of an answer.
    fn record_report(&mut self, id: ServerId, report: &[f64]) {
        let at = self.now.saturating_sub(REPORT_AGE);
        for (field, value) in self.settings.reports.clone().into_iter().zip(report.iter().copied()) {
            match field {
                ReportField::LinkCapped | ReportField::Link => self.record_load(id, false, value, at),
                ReportField::Uplink => self.record_load(id, true, value, at),
                ReportField::Streams => {
                    self.servers.modify(id, |s| record_measurement(&mut s.measured_streams, value, at));
                }
                ReportField::Other => {}
            }
        }
    }

    /// Records the share of demand that a server delivered. A full uplink makes all servers of its rack
    /// short, a full link only its own server. A single server that stays short is overloaded, whatever its
    /// reports say: they may be late, frozen or wrong. Danger: one slow link taken for a full uplink starves
    /// the rack; the opposite error costs one server.
    fn record_delivered(&mut self, id: ServerId, share: f64) {
        let (at, now) = (self.now.saturating_sub(self.settings.note_age), self.now);
        let Some(server) = self.servers.get_mut(id) else { return };
        let repeats =
            server.short_delivery.is_some_and(|(_, last)| last + SHORT_NOTE_TTL > now && last < now);
        server.short_delivery = (0.01..FULL_DELIVERY_SHARE).contains(&share).then_some((share, now));
        if server.short_delivery.is_none() {
            return;
        }
        let overload = 1.0 / share;
        let Some(rack) = self.rack_of(id) else {
            return self.record_load(id, false, overload.max(self.link_load(id)), at);
        };
        let short = |s: &Server| s.short_delivery.is_some_and(|(_, last)| last + SHORT_NOTE_TTL > now);
        let short = self.servers.in_rack(rack).filter(|(_, s)| short(s)).count();
        let in_use = self.servers.in_rack(rack).filter(|(_, s)| s.own_kb > 0.0).count();
        // If no other server of the rack has own sessions, the link's load shows if link or uplink is short.
        let fresh = |measured: &(f64, Micros)| measured.1 + self.settings.note_interval > at;
        let fresh = self.servers.get(id).is_some_and(|s| s.measured_load.as_ref().is_some_and(fresh));
        let uplink_is_short = in_use == 1 && fresh && self.link_load(id) < LONE_LINK_MAX_SHARE * overload;
        if short * 2 > in_use && (short > 1 || uplink_is_short) {
            let change: f64 = self.servers.in_rack(rack).map(|(_, s)| s.change_since(at)).sum();
            let load = self.uplink_load(rack) - change / self.uplink_capacity(rack);
            let Some(state) = self.racks.get_mut(rack).filter(|r| at > r.stepped_down_at) else { return };
            if state.measured_load.is_some() {
                return self.record_load(id, true, overload, at);
            }
            state.scale = (state.scale * load / overload).clamp(MIN_UPLINK_SCALE, MAX_UPLINK_SCALE);
            state.short_at = at;
            self.scaled_down_racks.insert(rack);
        } else if self.link_load(id) < overload
            && self.uplink_load(rack) < self.target_load() + STEP_DOWN_EXCESS
            && (repeats || self.link_load(id) > 0.9)
        {
            self.record_load(id, false, overload, at);
        }
    }

    // ---- Health ----

    /// 0: trusted; 1: distrusted after a recent failure there or in its zone; 2: in backoff.
    fn health_tier(&self, id: ServerId) -> u32 {
        let Some(server) = self.servers.get(id) else { return 2 };
        if server.backoff_until > self.now {
            return 2;
        }
        let failed = server.failures > 0 && server.failed_at.is_some_and(|at| at + DISTRUST_TIME > self.now);
        let down = |(count, at): &(u32, Micros)| *count >= ZONE_MAX_FAILURES && at + MAX_BACKOFF > self.now;
        u32::from(failed || self.zone_failures.get(&server.entry.zone).is_some_and(down))
    }

    /// Records a failure of any kind: an error, silence or a broken connection; `down` for the last two.
    fn record_failure(&mut self, id: ServerId, down: bool) {
        let now = self.now;
        let was_warm = self.servers.get(id).is_some_and(|server| self.warm_up_start(server).is_none());
        let Some(server) = self.servers.get_mut(id) else { return };
        (server.failures, server.failed_at) = ((server.failures + 1).min(8), Some(now));
        let backoff = (MIN_BACKOFF << (server.failures - 1).min(4)).min(MAX_BACKOFF);
        server.backoff_until = server.backoff_until.max(now + backoff);
        if down {
            let zone = self.zone_failures.entry(server.entry.zone).or_default();
            *zone = (zone.0 + 1, now);
            // It may restart at any time and then be cold, whatever start time is listed.
            server.start.observed = Some(now);
            if was_warm {
                self.begin_pace(id);
            }
        }
    }

    /// Records errors of one request at these servers, in order. If two servers fail it, the request is at
    /// fault: the first failure is undone and the next not counted; nor is an error among many good answers.
    /// Danger: one client's invalid requests would put all holders of a title out of use.
    fn record_errors(&mut self, servers: &[ServerId]) {
        match servers {
            [first, second] if first != second => {
                let Some(server) = self.servers.get_mut(*first) else { return };
                (server.failures, server.backoff_until) = (server.failures.saturating_sub(1), 0);
            }
            [.., last] if servers.iter().all(|other| other == last) => {
                self.record_answer(*last, true);
                let answers = self.servers.get(*last).map(|server| &server.answers).into_iter().flatten();
                let (total, errors) =
                    answers.fold((0.0, 0.0), |sum, answer| (sum.0 + 1.0, sum.1 + f64::from(answer.1)));
                if errors > total * MAX_REQUEST_ERROR_SHARE {
                    self.record_failure(*last, false);
                }
            }
            _ => {}
        }
    }

    fn record_answer(&mut self, id: ServerId, error: bool) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(id) else { return };
        server.answers.push_back((now, error));
        server.answers.retain(|answer| answer.0 + ERROR_WINDOW > now);
    }

    /// Records a set-up that led to a playing session.
    fn record_success(&mut self, id: ServerId) {
        self.record_answer(id, false);
        let Some(server) = self.servers.get_mut(id) else { return };
        (server.failures, server.backoff_until) = (server.failures.saturating_sub(1), 0);
        self.zone_failures.remove(&server.entry.zone);
    }

    /// Records a note on a session that plays since `since`: its server has run since, even if found down.
    /// Danger: otherwise one broken connection empties a server and marks it cold, though its sessions play.
    fn record_sign_of_life(&mut self, id: ServerId, since: Micros) {
        let noted_at = self.now.saturating_sub(self.settings.note_age);
        let Some(server) = self.servers.get_mut(id) else { return };
        let Some(down_at) = server.start.observed.filter(|at| since < *at && *at < noted_at) else { return };
        server.start.observed = Some(since);
        if server.failed_at == Some(down_at) {
            (server.failures, server.backoff_until) = (0, 0);
            self.zone_failures.remove(&server.entry.zone);
        }
    }

    // ---- Events ----

    /// Handles one event and adds the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Servers(kind, entries) => self.update_list(*kind, entries, out),
            Event::Request(request) => match self.settings.classes.get(request.class) {
                None => out.push(Action::Refuse(request.session.clone(), self.settings.max_hold_off)),
                Some(class) => {
                    let session = Session::new(request, class, &self.settings.ladder, self.now);
                    self.count_request(request);
                    self.sessions.insert(request.session.clone(), session);
                    self.place_session(&request.session, out);
                }
            },
            Event::Resumed(request, server) => {
                let Some(class) = self.settings.classes.get(request.class) else { return };
                let mut session = Session::new(request, class, &self.settings.ladder, self.now);
                (session.server, session.attempts, session.playing_since) =
                    (Some(*server), 1, Some(self.now));
                let rate = session.rate(session.rung);
                self.sessions.insert(request.session.clone(), session);
                self.add_demand(*server, rate, 1);
                if self.list_state == ListState::Copied(self.now) {
                    // Both are of one moment: the front has not been away in between. A session
                    // that is handed over later proves nothing about servers that have started meanwhile.
                    self.list_state = ListState::Current;
                }
            }
            Event::Started { session, server, .. } => {
                self.record_success(*server);
                let now = self.now;
                self.sessions.modify(session, |s| s.playing_since = Some(now));
            }
            Event::Ended { session, attempt, server, outcome, last, report } => {
                self.record_report(*server, report);
                self.finish(session, *attempt, *outcome, *last, out);
                self.relieve_overload(*server, out);
            }
            Event::InDoubt { session, server } => {
                let until = self.now + IN_DOUBT_WAIT;
                self.sessions.modify(session, |session| {
                    session.in_doubt.push(*server);
                    session.in_doubt_until = Some(until);
                });
            }
            Event::Resolved { session, server } => self.doubt_resolved(session, *server, out),
            Event::ClientLeft(id) => {
                // A pending attempt keeps its seat until it ends.
                match self.sessions.get(id).is_some_and(|s| s.server.is_some()) {
                    true => drop(self.sessions.modify(id, |s| s.answered = true)),
                    false => self.sessions.remove(id),
                }
            }
            Event::Note { session, server, note } => {
                let since = self
                    .sessions
                    .get(session)
                    .and_then(|s| s.playing_since.filter(|_| s.server == Some(*server)));
                if let Some(since) = since {
                    self.record_sign_of_life(*server, since);
                }
                let is_new = since == Some(self.now);
                let at = if is_new { self.now } else { self.now.saturating_sub(self.settings.note_age) };
                match note {
                    Note::Delivered(share) => self.record_delivered(*server, *share),
                    Note::Rung(rung) => {
                        let Some(playing) = self.sessions.get(session) else { return };
                        let added_kb = playing.rate(*rung) - playing.rate(playing.rung);
                        self.sessions.modify(session, |s| s.rung = *rung);
                        self.add_demand(*server, added_kb, 0);
                    }
                    Note::Link(load) => self.record_load(*server, false, *load, at),
                    Note::Uplink(load) => self.record_load(*server, true, *load, at),
                }
                self.relieve_overload(*server, out);
            }
            Event::Probed { server, report, outcome } => {
                self.record_report(*server, report);
                self.probe_ended(*server, *outcome, out);
            }
            Event::Wake(tag) => self.wake(*tag, out),
            Event::Peer(_) => {}
        }
        for id in std::mem::take(&mut self.changed_rungs) {
            if let Some(session) = self.sessions.get(&id) {
                out.push(Action::SetRung(id, session.rung));
            }
        }
        if !self.tick_scheduled {
            self.tick_scheduled = true;
            out.push(Action::WakeAt(0, self.now + TICK_INTERVAL));
        }
    }

    /// How long requests and retries are remembered.
    fn request_window(&self) -> Micros {
        self.settings.budget.map_or(0, |budget| budget.window).max(REQUEST_RATE_WINDOW)
    }

    /// Counts a request for the rate of requests and for the budget, unless it is a copy of one that was.
    fn count_request(&mut self, request: &Request) {
        let counted_at = self.counted_requests.get(&request.session);
        let was_counted = counted_at.is_some_and(|at| *at + self.request_window() >= self.now);
        if was_counted || request.earlier_attempts > 0 {
            return;
        }
        if self.settings.budget.is_some() {
            self.counted_requests.insert(request.session.clone(), self.now);
        }
        self.requests.push_back((self.now, request.first_cell, request.cell_count));
    }

    /// Handles the end of a session's latest attempt; the session may get another one.
    fn finish(&mut self, id: &SessionId, attempt: u32, outcome: Outcome, last: bool, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get(id) else { return };
        let (Some(server), true) = (session.server, attempt + 1 == session.attempts) else { return };
        self.sessions.modify(id, |session| session.attempt_ended(server, outcome));
        let Some(session) = self.sessions.get(id) else { return };
        let (playing_since, answered) = (session.playing_since, session.answered);
        let error_servers = session.error_servers.clone();
        let (class, rate) = (session.request.class, session.rate(session.rung));
        self.add_demand(server, -rate, -1);
        let draining = self.servers.get(server).is_some_and(|s| s.entry.state != ServerState::Ready);
        match outcome {
            Outcome::Ok => {
                let length_s = playing_since.map(|since| self.seconds_since(since));
                if let (Some(length_s), Some(mean_s)) = (length_s, self.mean_lengths.get_mut(class)) {
                    *mean_s += 0.05 * (length_s - *mean_s);
                }
            }
            Outcome::Failed => self.record_errors(&error_servers),
            Outcome::Full if draining => self.record_failure(server, false),
            Outcome::Full => {
                self.servers.modify(server, |server| server.full_until = self.now + FULL_BACKOFF);
            }
            Outcome::TimedOut | Outcome::NoConnection | Outcome::Broken if !draining => {
                self.record_failure(server, true)
            }
            _ => {}
        }
        if playing_since.is_some() || last || answered {
            self.sessions.remove(id);
        } else {
            self.place_session(id, out);
        }
    }

    /// An attempt that was given up has ended at its server, which may be sent the session again.
    fn doubt_resolved(&mut self, id: &SessionId, server: ServerId, out: &mut Vec<Action>) {
        self.sessions.modify(id, |session| session.doubt_resolved(server));
        let Some(session) = self.sessions.get(id) else { return };
        let waits = session.wait_until.is_some() && session.pending_probes.is_empty();
        if waits && session.server.is_none() && !session.answered {
            self.place_session(id, out);
        }
    }

    /// Applies a server list or changes of it.
    fn update_list(&mut self, kind: ListKind, entries: &[ServerEntry], out: &mut Vec<Action>) {
        if kind == ListKind::FetchFailed {
            out.push(Action::WakeAt(2, self.now + SECOND / 2));
            return;
        }
        self.list_state = match (kind, self.list_state) {
            (ListKind::Cached, ListState::Unknown) => ListState::Copied(self.now),
            (ListKind::Cached, known) => known,
            _ => ListState::Current,
        };
        if kind == ListKind::Cached && self.settings.list_on_demand {
            out.push(Action::FollowList);
        }
        if kind != ListKind::Changes {
            let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
            self.servers.retain(&listed);
        }
        for entry in entries {
            if entry.state == ServerState::Removed {
                self.servers.remove(entry.server);
                continue;
            }
            let server = self.servers.upsert(self.now, entry);
            server.link_kb = (entry.units * self.settings.link_kb_per_unit).max(1.0);
            if server.next_slot.is_none() {
                self.begin_pace(entry.server);
            }
        }
    }

    /// An uplink without short delivery for a while carries its demand, and perhaps more: its estimate grows.
    fn learn_uplinks(&mut self) {
        let may_grow = |at: &usize| {
            let rack = self.racks.get(*at);
            rack.is_some_and(|r| r.short_at + UPLINK_GROWTH_QUIET < self.now && r.scale < MAX_UPLINK_SCALE)
        };
        let is_loaded = |at: &usize| self.uplink_load(*at) > UPLINK_GROWTH_MIN_LOAD;
        let loaded: Vec<usize> = self.servers.racks_in_use().filter(may_grow).filter(is_loaded).collect();
        self.scaled_down_racks.retain(|at| self.racks.get(*at).is_some_and(|rack| rack.scale < 1.0));
        let unloaded = self.scaled_down_racks.iter().copied().filter(|at| !loaded.contains(at));
        for at in unloaded.collect::<Vec<_>>() {
            self.grow_uplink(at, UPLINK_GROWTH_PER_TICK / 5.0);
        }
        for at in loaded {
            self.grow_uplink(at, UPLINK_GROWTH_PER_TICK);
        }
    }

    /// Raises the estimated capacity of a rack's uplink, unless it was short a moment ago.
    fn grow_uplink(&mut self, rack: usize, growth: f64) {
        let now = self.now;
        if let Some(rack) = self.racks.get_mut(rack).filter(|rack| rack.short_at + UPLINK_GROWTH_QUIET < now)
        {
            rack.scale = (rack.scale + growth).min(MAX_UPLINK_SCALE);
        }
    }

    fn place_waiting(&mut self, out: &mut Vec<Action>) {
        let due = |s: &Session| s.wait_until.is_some_and(|at| at <= self.now);
        let due = self.sessions.open().filter(|(_, s)| due(s)).map(|(id, _)| id.clone());
        for id in due.collect::<Vec<_>>() {
            self.place_session(&id, out);
        }
    }

    /// Handles a wake-up by its tag: 0 for a tick, 1 for waiting sessions, 2 for the list.
    fn wake(&mut self, tag: u64, out: &mut Vec<Action>) {
        if tag == 2 {
            out.push(Action::FollowList);
            return;
        }
        self.place_waiting(out);
        if tag == 0 {
            self.tick_scheduled = false;
            self.step_rungs_up();
            self.learn_uplinks();
            let now = self.now;
            self.planned_moves.retain(|_, plan| plan.1 + VIEWER_MOVE_INTERVAL > now);
            self.servers.forget_starts_until(now.saturating_sub(self.settings.warm_up));
            let window = self.request_window();
            self.requests.retain(|(at, ..)| at + window >= now);
            self.counted_requests.retain(|_, at| *at + window >= now);
            self.retries.retain(|at| at + window >= now);
        }
    }
}

#[cfg(test)]
mod tests;
