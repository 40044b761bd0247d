//! All decisions of salttally. The settings, events and actions used here are defined in `src/interface.rs`.
//!
//! From the top: random early migration (REM), the guarded paths for set-ups and final answers, load
//! measurement, rungs, health, the pace of cold servers, and the handling of events.
//! The `Controller` of a front knows only what the events of that front have told it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::fleet::Fleet;
use crate::interface::*;
use crate::state::{record_measurement, Measurement, Rack, Server, Session};

const SECOND: Micros = 1_000_000; // us

// REM. A load is the demand on a link, an uplink or the places of a server as a share of its capacity.
const MIN_TH: f64 = 0.8; // Min.th; above the usual load under rung control, so that moves answer lasting crowds
const MAX_TH: f64 = 1.0; // Max.th; just past the load at which delivery starts to fall short
const P_MAX: f64 = 0.8; // probability of a move at Max.th if moves cost nothing; the move price lowers it
const SERVER_MOVE_INTERVAL: Micros = 5 * SECOND; // per server: the load must show the last move first
const VIEWER_MOVE_INTERVAL: Micros = 30 * SECOND; // per viewer: none is passed from server to server
const MOVE_MIN_REMAINING_S: f64 = 12.0; // s; sessions expected to end sooner are not moved
const SHED_MIN_LOAD: f64 = 1.05; // load, plus the move price, at which a server with all rungs down moves a session
const LOAD_JITTER: f64 = 0.05; // random addition to a load, so that fronts do not all choose the same server
const CROSS_ZONE_FACTOR: f64 = 2.5; // in cross prices, load added to a holder in another zone: a cut ends sessions

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
const STEP_UP_DWELL: Micros = 15 * SECOND; // after another change of rung, as each swing costs twice
const DEFAULT_LENGTH_S: f64 = 30.0; // s; expected session length until sessions have ended

// Load measurement.
const FULL_DELIVERY_SHARE: f64 = 0.98; // a link or uplink that delivers less of the demand is short
const SHORT_DELIVERY_TTL: Micros = 3 * SECOND / 2; // notes of short delivery repeat once a second
const LONE_LINK_MAX_SHARE: f64 = 0.85; // of the overload; a link measured below it shows that its uplink is short
const UPLINK_GROWTH_MIN_LOAD: f64 = 0.90; // an uplink that delivers in full above this load may carry more
const UPLINK_GROWTH_PER_TICK: f64 = 0.01; // growth of the estimated uplink capacity, of the configured mean
const UPLINK_GROWTH_QUIET: Micros = 3 * SECOND; // without short delivery before the estimate grows
const MIN_UPLINK_SCALE: f64 = 0.4; // bounds of the estimated uplink capacity, in configured means;
const MAX_UPLINK_SCALE: f64 = 1.5; // racks differ by less
const MIN_OWN_DEMAND_SHARE: f64 = 0.7; // of own demand is taken to be present: true rates may be lower
const LOAD_FADE_TIME: Micros = 30 * SECOND; // a measurement gives way to the usual load: sessions end
const USUAL_LOAD_WEIGHT: f64 = 0.05; // weight of each new measurement in the usual load
const MAX_USUAL_LOAD: f64 = 0.95; // the usual load alone never makes a server full: it has refused nothing
const REPORT_AGE: Micros = SECOND / 2; // of a load report in an answer: refresh interval and transit time

// Health and attempts.
const MIN_BACKOFF: Micros = 2 * SECOND; // after the first failure; doubles with each further one
const MAX_BACKOFF: Micros = 8 * SECOND; // a recovered server is used again within this time
const DISTRUST_TIME: Micros = 15 * SECOND; // after a failure, in which a server is ranked last
const ZONE_DISTRUST_FAILURES: u32 = 3; // in a row, that find a zone's servers down: all there are distrusted
const FULL_BACKOFF: Micros = SECOND; // a server that turned a set-up away counts as full for this long
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.45; // of the aim, so that another attempt fits within it
const TICK_INTERVAL: Micros = SECOND / 10; // a waiting session is answered this long before its deadline
const IN_DOUBT_WAIT: Micros = SECOND / 10; // a live server confirms a give-up, or closes, in a few ms
const ERROR_WINDOW: Micros = 5 * SECOND; // in which errors are compared with good answers
const MAX_REQUEST_ERROR_SHARE: f64 = 0.2; // share of errors blamed on requests; failing servers have more
const PERMANENT: Micros = Micros::MAX; // end of a block that does not expire

// Cold servers.
const COLD_PACE_SHARE: f64 = 0.4; // of the pace at which a cold server falls over, for all fronts together
const REQUESTS_PER_RETURNING_VIEWER: usize = 5; // a returning viewer asks every 2 s until it plays
const REQUEST_RATE_WINDOW: Micros = 10 * SECOND; // over which the front's own request rate is measured

/// The session controller of one front.
#[derive(Clone)]
pub struct Controller {
    settings: Settings,
    rng: Pcg32,
    now: Micros,
    servers: Fleet,
    racks: Vec<Rack>,
    /// Moving means of the loads reported of links and of uplinks; the estimate for servers without a report.
    usual_load: [Option<f64>; 2],
    /// By zone, the servers found down since one there last worked, and the time of the latest.
    zone_failures: BTreeMap<u32, (u32, Micros)>,
    sessions: BTreeMap<SessionId, Session>,
    /// By moved viewer, the server to use when it comes back, and the time of the move.
    planned_moves: BTreeMap<ViewerId, (ServerId, Micros)>,
    /// Mean session length of each class, in s.
    mean_lengths: Vec<f64>,
    /// Recent requests: time, and the cells that hold the title (the first one and their number).
    recent_requests: VecDeque<(Micros, u32, u32)>,
    /// Times of recent attempts beyond each session's first.
    recent_retries: VecDeque<Micros>,
    /// True until the list is known to be fresh: until then servers of unknown age count as cold.
    list_may_be_stale: bool,
    tick_scheduled: bool,
    /// Sessions whose rung was changed by the current event; each is reported once, after all its steps.
    changed_rungs: BTreeSet<SessionId>,
}

/// Shows the state without settings and random generator: controllers that show the same decide the same, given
/// the same random numbers.
impl std::fmt::Debug for Controller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let load = (&self.servers, &self.racks, &self.usual_load, &self.zone_failures, &self.mean_lengths);
        write!(
            f,
            "{load:?} {:?} {:?}",
            self.sessions,
            (&self.planned_moves, &self.recent_requests, &self.recent_retries, self.list_may_be_stale)
        )
    }
}

impl Controller {
    /// The controller of a front that has just started.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = Settings { fronts: settings.fronts.max(1), ..settings };
        let rack = || Rack { uplink_scale: 1.0, ..Rack::default() };
        let racks = (0..settings.racks.min(settings.cells)).map(|_| rack()).collect();
        let mean_lengths = vec![DEFAULT_LENGTH_S; settings.classes.len()];
        Controller {
            servers: Fleet::new(settings.racks),
            settings,
            rng: Pcg32::seed_from_u64(seed),
            now: 0,
            racks,
            usual_load: [None, None],
            zone_failures: BTreeMap::new(),
            sessions: BTreeMap::new(),
            planned_moves: BTreeMap::new(),
            mean_lengths,
            recent_requests: VecDeque::new(),
            recent_retries: VecDeque::new(),
            list_may_be_stale: true,
            tick_scheduled: false,
            changed_rungs: BTreeSet::new(),
        }
    }

    /// Begins the draws anew: a search through all orderings of events goes through the draws too.
    pub fn reseed(&mut self, seed: u64) {
        self.rng = Pcg32::seed_from_u64(seed);
    }

    /// What is believed of a server: its load, its tier of health (0 is trusted), own sessions there.
    pub fn server_estimate(&self, id: ServerId) -> Option<(f64, u32, i32)> {
        self.servers.get(id).map(|server| (self.server_load(id), self.health_tier(id), server.own_sessions))
    }

    // ---- REM: random early migration ----

    /// REM's probability of moving a session away, by the load of the chosen holder.
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

    /// The ordinary path of a session: the least loaded holder, and REM's move when that one is loaded.
    fn place_session(&mut self, id: &SessionId, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get(id) else { return };
        let (viewer, floor) = (session.request.viewer, session.rate(session.class.floor));
        let back = session.request.moved && session.attempts == 0;
        let plan = self.planned_moves.get(&viewer).filter(|_| back).map(|plan| plan.0);
        if let Some(server) = plan.filter(|to| self.blocked_until(id, *to).is_none()) {
            return self.send_set_up(id, server, out);
        }
        let ranked = self.ranked_holders(id);
        if self.probe_holders(id, &ranked, out) {
            return;
        }
        let Some(chosen) = ranked.first().copied() else { return self.wait_or_refuse(id, out) };
        let (load, draw) = (self.server_load(chosen), self.draw_uniform());
        if draw < self.move_probability(load) && !self.move_one_session(chosen, out) && load >= 1.0 {
            // No move possible and full: refused, unless the rungs there can make the room.
            let room = self.free_capacity(chosen, 1.0) + self.freeable_demand(chosen, load);
            if self.stream_load(chosen) >= 1.0 || room < floor {
                return self.refuse(id, out);
            }
        }
        self.send_set_up(id, chosen, out);
    }

    /// Moves one own session off the server to the least loaded holder below Min.th, if there is one.
    fn move_one_session(&mut self, from: ServerId, out: &mut Vec<Action>) -> bool {
        let Some(server) = self.servers.get(from) else { return false };
        if server.moved_at.is_some_and(|at| at + SERVER_MOVE_INTERVAL > self.now) {
            return false;
        }
        let mut best: Option<(f64, SessionId, ServerId)> = None;
        for (id, session) in &self.sessions {
            let recent = |at: Micros| at + VIEWER_MOVE_INTERVAL > self.now;
            let moved = self.planned_moves.get(&session.request.viewer).is_some_and(|plan| recent(plan.1));
            if session.server != Some(from) || session.playing_since.is_none() || session.moving || moved {
                continue;
            }
            let left = self.expected_remaining_s(session);
            // The most demand for the longest time, at one price for any session.
            let value = left * session.rate(session.rung);
            if left < MOVE_MIN_REMAINING_S || best.as_ref().is_some_and(|(most, _, _)| value <= *most) {
                continue;
            }
            let free = |to: &ServerId| {
                let warm = self.servers.get(*to).is_some_and(|s| self.warm_up_start(s).is_none());
                *to != from && warm && self.health_tier(*to) == 0 && self.server_load(*to) < MIN_TH
            };
            let holders = self.holders(&session.request).into_iter().filter(free);
            let least = holders.min_by(|a, b| self.server_load(*a).total_cmp(&self.server_load(*b)));
            if let Some(to) = least {
                best = Some((value, id.clone(), to));
            }
        }
        let Some((_, id, to)) = best else { return false };
        let Some(session) = self.sessions.get_mut(&id) else { return false };
        session.moving = true;
        self.planned_moves.insert(session.request.viewer, (to, self.now));
        self.servers.modify(from, |server| server.moved_at = Some(self.now));
        out.push(Action::Move(id));
        true
    }

    /// Holders that may be sent this session now, the least loaded first; doubted ones come last.
    fn ranked_holders(&mut self, id: &SessionId) -> Vec<ServerId> {
        let Some(session) = self.sessions.get(id) else { return Vec::new() };
        let (mut free, tried) = (self.holders(&session.request), session.tried.clone());
        free.retain(|server| self.blocked_until(id, *server).is_none());
        let mut ranked = Vec::new();
        for to in free {
            let away = self.servers.get(to).is_some_and(|s| s.entry.zone != self.settings.zone);
            let bias = if away { self.settings.cross_price * CROSS_ZONE_FACTOR } else { 0.0 };
            let load = self.server_load(to) + bias + self.draw_uniform() * LOAD_JITTER;
            ranked.push((self.health_tier(to), tried.contains(&to), load, to));
        }
        ranked.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        ranked.into_iter().map(|(_, _, _, server)| server).collect()
    }

    /// Probes the least loaded holders before a set-up where nothing was heard of them lately and probes are
    /// cheap. Danger: each of many fronts knows few servers; a paid session is lost on a dead one. Harm: a
    /// crowd's probes cost more than they tell; returning viewers of a loaded fleet have none.
    fn probe_holders(&mut self, id: &SessionId, ranked: &[ServerId], out: &mut Vec<Action>) -> bool {
        let heard = |at: &ServerId| {
            self.servers.get(*at).and_then(|s| s.reported_link_load).map_or(0, |asked| asked.1)
        };
        let mut stale: Vec<ServerId> = ranked.iter().take(MAX_PROBES).copied().collect();
        stale.retain(|at| heard(at) + PROBE_MIN_AGE < self.now);
        let Some(session) = self.sessions.get_mut(id) else { return false };
        let loaded = self.usual_load[0].is_some_and(|usual| usual > MIN_TH) && session.request.returning;
        let cheap = self.settings.probes && self.settings.probe_price <= MAX_PROBE_PRICE && !loaded;
        if !cheap || session.probes_sent || ranked.len() < 2 || stale.is_empty() {
            return false;
        }
        out.extend(stale.iter().map(|server| Action::Probe(*server)));
        out.push(Action::WakeAt(1, self.now + PROBE_TIMEOUT));
        (session.probes_sent, session.pending_probes, session.wait_until) =
            (true, stale, Some(self.now + PROBE_TIMEOUT));
        true
    }

    /// A probe was answered, or not: the last one lets the sessions go that wait for it.
    fn probe_ended(&mut self, at: ServerId, outcome: Outcome, out: &mut Vec<Action>) {
        if matches!(outcome, Outcome::TimedOut | Outcome::NoConnection | Outcome::Broken) {
            self.record_failure(at, true);
        }
        for session in self.sessions.values_mut().filter(|s| s.pending_probes.contains(&at)) {
            session.pending_probes.retain(|server| *server != at);
            if session.pending_probes.is_empty() {
                session.wait_until = session.wait_until.map(|_| self.now);
            }
        }
        self.place_waiting(out);
    }

    /// Listed servers that hold the title.
    fn holders(&self, request: &Request) -> Vec<ServerId> {
        self.servers.holders(request, self.settings.cells)
    }

    // ---- The one way to a server, and the one way to an answer ----

    /// Until when this session must not be sent to this server. All rules on sending stand here.
    fn blocked_until(&self, id: &SessionId, to: ServerId) -> Option<Micros> {
        let (Some(session), Some(server)) = (self.sessions.get(id), self.servers.get(to)) else {
            return Some(PERMANENT);
        };
        let (class, top) = (&session.class, session.top_rung);
        let over = session.answered || session.server.is_some() || self.now >= session.deadline;
        let held = session.request.held_in(server.entry.cell, self.settings.cells);
        let fit = held && top >= class.floor && server.entry.state == ServerState::Ready;
        if over || !fit || session.attempts >= self.settings.max_attempts {
            return Some(PERMANENT);
        }
        if let Some((ran, sent)) = session.may_have_run {
            let same = |get: fn(&ServerEntry) -> u32| {
                self.servers.get(ran).is_some_and(|s| get(&s.entry) == get(&server.entry))
            };
            let known = match class.group {
                Group::All => true,
                Group::Zone => same(|entry| entry.zone),
                Group::Cell => same(|entry| entry.cell),
            };
            match class.effect {
                Effect::Safe => {}
                Effect::Deduplicated if known && self.now < sent + class.window => {}
                _ => return Some(PERMANENT),
            }
        }
        if session.in_doubt.contains(&to) {
            return Some(session.in_doubt_until.filter(|at| *at > self.now).unwrap_or(PERMANENT));
        }
        if class.seats > 0 {
            let title = (session.request.title, session.request.class);
            let same = |s: &&Session| s.server.is_some() && (s.request.title, s.request.class) == title;
            if self.sessions.values().filter(same).count() >= class.seats {
                return Some(PERMANENT);
            }
        }
        if let (Some(budget), true) = (self.settings.budget, session.attempts > 0) {
            let taken = self.recent_requests.iter().filter(|(at, ..)| at + budget.window > self.now).count();
            let further = self.recent_retries.iter().filter(|at| **at + budget.window >= self.now).count();
            if (further + 1) as f64 > budget.free + budget.share * taken as f64 {
                return Some(PERMANENT);
            }
        }
        self.cold_pace_block(session, to)
    }

    /// Sends the session, if no rule bars it.
    fn send_set_up(&mut self, id: &SessionId, to: ServerId, out: &mut Vec<Action>) {
        if self.blocked_until(id, to).is_some() {
            return self.wait_or_refuse(id, out);
        }
        let rung = self.choose_rung(id, to);
        let kb = self.sessions.get(id).map_or(0.0, |s| s.rate(rung));
        let now = self.now;
        let Some(session) = self.sessions.get_mut(id) else { return };
        let class = &session.class;
        let to_aim = (session.requested_at + class.aim).saturating_sub(now);
        let whole = session.deadline.saturating_sub(now);
        // A time-out of a safe attempt leaves time for another within the aim; one that cannot be sent again
        // ends with the aim, since a later start earns nothing and a later failure is priced.
        let time_out = match class.effect {
            Effect::Once => to_aim,
            _ if session.attempts + 1 >= self.settings.max_attempts => to_aim,
            _ => ((class.aim as f64 * ATTEMPT_TIMEOUT_SHARE) as Micros).min(to_aim),
        };
        let time_out = if time_out < class.aim / 5 { class.aim } else { time_out }.min(whole);
        if session.attempts > 0 {
            self.recent_retries.push_back(now);
        }
        session.attempts += 1;
        (session.server, session.sent_at, session.rung, session.wait_until) = (Some(to), now, rung, None);
        session.tried.push(to);
        self.servers.modify(to, |server| server.last_set_up_at = Some(now));
        self.add_demand(to, kb, 1);
        out.push(Action::SetRung(id.clone(), rung));
        out.push(Action::SetUp(id.clone(), to, time_out));
    }

    /// No holder may be sent the session now: it waits for its turn at a cold one in its aim, or is refused.
    fn wait_or_refuse(&mut self, id: &SessionId, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get(id) else { return };
        let aim = session.class.aim;
        let waits = (session.requested_at + aim / 2).max(session.in_doubt_until.map_or(0, |at| at + 1));
        let last = waits.min(session.deadline.saturating_sub(TICK_INTERVAL));
        let worth_waiting = |at: &ServerId| self.health_tier(*at) < 2 || session.in_doubt.contains(at);
        let holders = self.holders(&session.request).into_iter().filter(worth_waiting);
        let turns = holders.filter_map(|server| self.blocked_until(id, server)).filter(|at| *at < last);
        let Some(turn) = turns.min() else { return self.refuse(id, out) };
        self.sessions.entry(id.clone()).and_modify(|session| session.wait_until = Some(turn));
        out.push(Action::WakeAt(1, turn));
    }

    /// The final answer: a refusal with a hold-off, or a failure where a set-up may have run that must not be
    /// offered again.
    fn refuse(&mut self, id: &SessionId, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        if session.answered || session.playing_since.is_some() {
            return;
        }
        let may_have_run = session.may_have_run.is_some() || session.server.is_some();
        let harmless = match session.class.effect {
            Effect::Safe => true,
            Effect::Deduplicated => session.class.group == Group::All,
            Effect::Once => false,
        };
        session.answered = true;
        let refused = Action::Refuse(id.clone(), self.settings.max_hold_off);
        out.push(if harmless || !may_have_run { refused } else { Action::Fail(id.clone()) });
        if session.server.is_none() {
            self.sessions.remove(id);
        }
    }

    // ---- Load account ----

    /// Load of a server as REM sees it: of its link or of its rack's uplink, whichever is fuller.
    fn server_load(&self, id: ServerId) -> f64 {
        self.link_load(id)
            .max(self.rack_of(id).map_or(0.0, |rack| self.uplink_load(rack)))
            .max(self.stream_load(id))
    }

    /// Share of its places that a server has in use: full if it said so just now, else as reported with own
    /// changes since, else by own sessions.
    fn stream_load(&self, id: ServerId) -> f64 {
        let Some(server) = self.servers.get(id) else { return 0.0 };
        let Some(places) = self.settings.kind_streams.get(server.entry.kind as usize) else { return 0.0 };
        if server.full_until > self.now {
            return 1.0;
        }
        let since =
            |at| server.demand_changes.iter().filter(move |c| c.0 > at).map(|c| f64::from(c.2)).sum::<f64>();
        let used = server.reported_streams.map_or(0.0, |(used, at)| used + since(at));
        used.max(f64::from(server.own_sessions)) / f64::from((*places).max(1))
    }

    /// Share of the told link that is asked: the latest figure and own changes since, giving way with age to
    /// what the others usually ask of a link and own sessions.
    fn link_load(&self, id: ServerId) -> f64 {
        self.servers.get(id).map_or(0.0, |server| self.link_load_of(server))
    }

    fn link_load_of(&self, server: &Server) -> f64 {
        let link = self.link_capacity(server);
        let (own, weight) = (server.own_demand_kb / link, self.measurement_weight(server.reported_link_load));
        let known = server
            .reported_link_load
            .map_or(0.0, |(asked, at)| asked + server.demand_change_since(at) / link);
        weight * known.max(own * MIN_OWN_DEMAND_SHARE)
            + (1.0 - weight) * (self.others_link_load(server) + own)
    }

    /// How far a figure still counts. Danger: the last word on what was lost keeps its successors empty.
    fn measurement_weight(&self, heard: Measurement) -> f64 {
        heard.map_or(0.0, |(_, at)| {
            (1.0 - self.seconds_since(at) * SECOND as f64 / LOAD_FADE_TIME as f64).max(0.0)
        })
    }

    fn seconds_since(&self, at: Micros) -> f64 {
        self.now.saturating_sub(at) as f64 / SECOND as f64
    }

    /// What others are taken to ask of a link: their part of the usual load, from nothing on a new process.
    /// Danger: an unknown server taken for empty draws all newcomers; taken for full, it stays empty.
    fn others_link_load(&self, server: &Server) -> f64 {
        let own = self.servers.own_demand_kb();
        let usual = self.usual_load[0]
            .unwrap_or_else(|| own * f64::from(self.settings.fronts) / self.settings.links_kb.max(1.0));
        let since = server.cold_since.max(server.entry.started);
        let filled = since.map_or(1.0, |at| (self.seconds_since(at) / DEFAULT_LENGTH_S).min(1.0));
        usual.min(MAX_USUAL_LOAD) * filled * (1.0 - 1.0 / f64::from(self.settings.fronts))
    }

    fn link_capacity(&self, server: &Server) -> f64 {
        let cold = self.warm_up_start(server).is_some();
        server.link_kb * if cold { self.settings.cold_from.clamp(0.1, 1.0) } else { 1.0 }
    }

    fn rack_of(&self, id: ServerId) -> Option<usize> {
        self.servers.get(id).map(|s| s.entry.rack(self.settings.racks))?
    }

    fn uplink_capacity(&self, rack: usize) -> f64 {
        self.racks.get(rack).map_or(1.0, |r| (self.settings.uplink_kb * r.uplink_scale).max(1.0))
    }

    /// Share of the rack's uplink that is asked: measured where it is told, else summed over its links.
    fn uplink_load(&self, rack: usize) -> f64 {
        let Some(state) = self.racks.get(rack).filter(|_| self.settings.uplink_kb > 0.0) else { return 0.0 };
        let (uplink, weight) =
            (self.uplink_capacity(rack), self.measurement_weight(state.reported_uplink_load));
        let since = |at| self.servers.in_rack(rack).map(|(_, s)| s.demand_change_since(at)).sum::<f64>();
        let known = state.reported_uplink_load.map_or(0.0, |(asked, at)| asked + since(at) / uplink);
        let links = || {
            self.servers.in_rack(rack).map(|(_, s)| self.link_load_of(s) * self.link_capacity(s)).sum::<f64>()
        };
        match self.usual_load[1] {
            _ if weight == 1.0 => known,
            Some(usual) => weight * known + (1.0 - weight) * usual.min(MAX_USUAL_LOAD),
            None if self.servers.in_rack(rack).all(|(_, s)| s.own_sessions == 0) => {
                (links() / uplink).min(MAX_USUAL_LOAD)
            }
            None => links() / uplink,
        }
    }

    /// Books a change of own demand at a server.
    fn add_demand(&mut self, id: ServerId, kb: f64, streams: i32) {
        let now = self.now;
        let Some(server) = self.servers.add_own_demand(now, id, kb, streams) else { return };
        while server.demand_changes.front().is_some_and(|c| c.0 + LOAD_FADE_TIME < now) {
            server.demand_changes.pop_front();
        }
    }

    /// Takes in a figure on a link, or on the uplink there, as it was at a moment.
    fn record_load(&mut self, id: ServerId, uplink: bool, asked: f64, at: Micros) {
        let rack = self.rack_of(id).and_then(|rack| self.racks.get_mut(rack)).filter(|_| uplink);
        let link = self.servers.get_mut(id).filter(|_| !uplink).map(|server| &mut server.reported_link_load);
        let Some(slot) =
            link.or(rack.map(|rack| &mut rack.reported_uplink_load)).filter(|_| asked.is_finite())
        else {
            return;
        };
        record_measurement(slot, asked, at);
        let usual = self.usual_load[usize::from(uplink)].get_or_insert(asked);
        *usual += USUAL_LOAD_WEIGHT * (asked.clamp(0.0, 2.0) - *usual);
    }

    /// Takes in a load report that came with an answer.
    fn record_report(&mut self, id: ServerId, report: &[f64]) {
        let at = self.now.saturating_sub(REPORT_AGE);
        for (field, value) in self.settings.reports.clone().into_iter().zip(report.iter().copied()) {
            match field {
                ReportField::LinkCapped | ReportField::Link => self.record_load(id, false, value, at),
                ReportField::Uplink => self.record_load(id, true, value, at),
                ReportField::Streams => {
                    self.servers
                        .modify(id, |server| record_measurement(&mut server.reported_streams, value, at));
                }
                ReportField::Other => {}
            }
        }
    }

    /// Short delivery: a rack's uplink is short for all its servers at once, a link alone. A lone server
    /// that stays short is over, whatever its reports say: they may be late, frozen or wrong.
    /// Danger: one slow link taken for a full rack starves the rack; the other way round costs one server.
    fn record_delivered(&mut self, id: ServerId, share: f64) {
        let (at, now) = (self.now.saturating_sub(self.settings.note_age), self.now);
        let Some(server) = self.servers.get_mut(id) else { return };
        let again =
            server.short_delivery.is_some_and(|(_, last)| last + SHORT_DELIVERY_TTL > now && last < now);
        server.short_delivery = (0.01..FULL_DELIVERY_SHARE).contains(&share).then_some((share, now));
        if server.short_delivery.is_none() {
            return;
        }
        let over = 1.0 / share;
        let Some(rack) = self.rack_of(id) else {
            return self.record_load(id, false, over.max(self.link_load(id)), at);
        };
        let short = |s: &Server| s.short_delivery.is_some_and(|(_, last)| last + SHORT_DELIVERY_TTL > now);
        let short = self.servers.in_rack(rack).filter(|(_, s)| short(s)).count();
        let using = self.servers.in_rack(rack).filter(|(_, s)| s.own_demand_kb > 0.0).count();
        // The only server with own sessions in its rack is told from its rack by its own link's figure.
        let fresh = |heard: &(f64, Micros)| heard.1 + self.settings.note_interval > at;
        let fresh = self.servers.get(id).is_some_and(|s| s.reported_link_load.as_ref().is_some_and(fresh));
        let lone = using == 1 && fresh && self.link_load(id) < LONE_LINK_MAX_SHARE * over;
        if short * 2 > using && (short > 1 || lone) {
            let since: f64 = self.servers.in_rack(rack).map(|(_, s)| s.demand_change_since(at)).sum();
            let load = self.uplink_load(rack) - since / self.uplink_capacity(rack);
            let Some(state) = self.racks.get_mut(rack).filter(|state| at > state.stepped_down_at) else {
                return;
            };
            if state.reported_uplink_load.is_some() {
                return self.record_load(id, true, over, at);
            }
            state.uplink_scale = (state.uplink_scale * load / over).clamp(MIN_UPLINK_SCALE, MAX_UPLINK_SCALE);
            state.short_at = at;
        } else if self.link_load(id) < over
            && self.uplink_load(rack) < self.target_load() + STEP_DOWN_EXCESS
            && (again || self.link_load(id) > 0.9)
        {
            self.record_load(id, false, over, at);
        }
    }

    // ---- Rungs ----

    /// Seconds that the session is expected to play yet.
    fn expected_remaining_s(&self, session: &Session) -> f64 {
        let mean = self.mean_lengths.get(session.request.class).copied().unwrap_or(DEFAULT_LENGTH_S);
        let age = session.playing_since.map_or(0.0, |at| self.seconds_since(at));
        match session.request.length_hint {
            // A hint is rough: a session past it plays on for a while.
            Some(length) => (length as f64 / SECOND as f64 - age).max(0.15 * mean),
            None => mean,
        }
    }

    /// Load that rungs are fitted to. What other fronts do is not known in time, so it falls with their part.
    fn target_load(&self) -> f64 {
        1.0 - LOAD_MARGIN * (1.0 - 1.0 / f64::from(self.settings.fronts)).powi(3)
    }

    /// kB a second that server and rack can take below a share.
    fn free_capacity(&self, id: ServerId, aim: f64) -> f64 {
        let rack = self
            .rack_of(id)
            .map_or(f64::MAX, |rack| (aim - self.uplink_load(rack)) * self.uplink_capacity(rack));
        let link = self.servers.get(id).map_or(0.0, |s| (aim - self.link_load(id)) * self.link_capacity(s));
        link.min(rack)
    }

    /// Demand at a server that steps down could free: the part of all that is asked there as of own sessions.
    fn freeable_demand(&self, at: ServerId, load: f64) -> f64 {
        let own = self.sessions.values().filter(|s| s.playing_since.is_some());
        let (all, least) =
            own.fold((1.0, 1.0), |sum, s| (sum.0 + s.rate(s.rung), sum.1 + s.rate(s.class.floor)));
        self.servers.get(at).map_or(0.0, |s| (1.0 - least / all) * load * self.link_capacity(s))
    }

    /// The own playing session whose step down loses the least worth for each kB.
    fn cheapest_step_down(&self, within: impl Fn(&Session) -> bool) -> Option<SessionId> {
        let able = |s: &Session| s.playing_since.is_some() && !s.moving && s.rung > s.class.floor;
        let loss = |s: &Session| {
            let kb = s.rate(s.rung) - s.rate(s.rung - 1);
            // The change is paid once for any number of steps.
            let change =
                if s.rung_changed_at == self.now { 0.0 } else { s.class.gain * self.settings.change_cost_s };
            (s.worth(s.rung) - s.worth(s.rung - 1) + change / self.expected_remaining_s(s).max(1.0))
                / kb.max(1.0)
        };
        let steps = self.sessions.iter().filter(|(_, s)| able(s) && within(s));
        steps.min_by(|a, b| loss(a.1).total_cmp(&loss(b.1))).map(|(id, _)| id.clone())
    }

    /// The rung for a newcomer: as high as its part of the room allows; where there is not even room for the
    /// lowest, own sessions make it.
    fn choose_rung(&mut self, id: &SessionId, to: ServerId) -> usize {
        let Some(session) = self.sessions.get(id) else { return 0 };
        let room = self.free_capacity(to, self.target_load()) * NEWCOMER_SHARE;
        let floor = session.class.floor;
        let fits = |rung: &usize| session.rate(*rung) <= room;
        let rung = (floor + 1..=session.top_rung).take_while(fits).last().unwrap_or(floor);
        let mut over = session.rate(rung) - self.free_capacity(to, self.target_load() + STEP_DOWN_EXCESS);
        while over > 0.0 {
            let Some(other) = self.cheapest_step_down(|s| s.server == Some(to)) else { break };
            let lower = self.sessions.get(&other).map_or(0, |s| s.rung.saturating_sub(1));
            over -= self.set_rung(&other, lower);
        }
        rung
    }

    /// Sets another rung for a playing session; the demand that this frees.
    fn set_rung(&mut self, id: &SessionId, to: usize) -> f64 {
        let Some(session) = self.sessions.get_mut(id) else { return 0.0 };
        let freed = session.rate(session.rung) - session.rate(to);
        (session.rung, session.rung_changed_at) = (to, self.now);
        if let Some(at) = session.server {
            self.add_demand(at, -freed, 0);
        }
        self.changed_rungs.insert(id.clone());
        freed
    }

    /// Lowers own demand where a link or uplink is too full, once for each figure heard.
    fn relieve_overload(&mut self, at: ServerId, out: &mut Vec<Action>) {
        let load = self.link_load(at);
        let Some(server) = self.servers.get(at) else { return };
        if load > self.target_load() + STEP_DOWN_EXCESS
            && server.reported_link_load.is_some_and(|asked| asked.1 > server.stepped_down_at)
        {
            self.reduce_own_demand(load, &[at], out);
            self.servers.modify(at, |server| server.stepped_down_at = self.now);
        }
        let Some(rack) = self.rack_of(at) else { return };
        let (load, summed) = (self.uplink_load(rack), self.settings.note_interval + self.settings.note_age);
        let Some(state) = self.racks.get(rack) else { return };
        let heard = state
            .reported_uplink_load
            .map_or(state.short_at.max(self.now.saturating_sub(summed)), |asked| asked.1);
        if load > self.target_load() + STEP_DOWN_EXCESS && heard > state.stepped_down_at {
            let inside: Vec<ServerId> = self.servers.in_rack(rack).map(|(id, _)| id).collect();
            self.reduce_own_demand(load, &inside, out);
            self.racks[rack].stepped_down_at = self.now;
        }
    }

    /// Takes own sessions' part of the excess off these servers. All fronts hear of it at the same time: each
    /// takes its part only, and the last step is drawn for, so that they free the excess together.
    fn reduce_own_demand(&mut self, load: f64, within: &[ServerId], out: &mut Vec<Action>) {
        let own: f64 = within.iter().filter_map(|at| self.servers.get(*at)).map(|s| s.own_demand_kb).sum();
        let mut need = own * (1.0 - self.target_load() / load);
        while need > 0.0 {
            let Some(id) = self.cheapest_step_down(|s| s.server.is_some_and(|at| within.contains(&at)))
            else {
                break;
            };
            let Some(session) = self.sessions.get(&id) else { break };
            let lower = session.rung.saturating_sub(1);
            if need < (session.rate(session.rung) - session.rate(lower)) * self.draw_uniform() {
                return;
            }
            need -= self.set_rung(&id, lower);
        }
        // Exception to REM: the ladder is used up and the link still short, so a session moves as above
        // Max.th, though no newcomer has come. Danger: a crowd on few holders starves them all.
        if need > 0.0 && load >= SHED_MIN_LOAD + self.settings.move_price {
            for at in within {
                self.move_one_session(*at, out);
            }
        }
    }

    /// Steps own sessions up where there is lasting room and the time left pays for the change.
    fn step_rungs_up(&mut self) {
        let mine = self.servers.in_use().map(|(id, _)| id);
        for at in mine.collect::<Vec<_>>() {
            let Some(server) = self.servers.get(at) else { continue };
            let heard = server.reported_link_load.filter(|asked| asked.1 > server.stepped_up_at);
            let Some((asked, _)) = heard.filter(|_| self.server_load(at) <= STEP_UP_MAX_LOAD) else {
                continue;
            };
            // All fronts with sessions here hear the same: each takes its part of what is asked.
            let part = (server.own_demand_kb / (asked * self.link_capacity(server)).max(1.0)).min(1.0);
            let room = self.free_capacity(at, STEP_UP_TARGET);
            let step = |(id, s): (&SessionId, &Session)| {
                let kb = |rung| s.rate(rung) - s.rate(s.rung);
                let fits = |rung: &usize| kb(*rung) <= room;
                let to = (s.rung + 1..=s.top_rung).take_while(fits).last()?;
                let more = s.worth(to) - s.worth(s.rung);
                let pays = more * self.expected_remaining_s(s)
                    > STEP_UP_MIN_RETURN * self.settings.change_cost_s * s.class.gain;
                let able =
                    s.playing_since.is_some() && !s.moving && s.rung_changed_at + STEP_UP_DWELL < self.now;
                (able && pays).then(|| (id.clone(), to, kb(to), more / kb(to).max(1.0)))
            };
            let here = self.sessions.iter().filter(|(_, s)| s.server == Some(at));
            let best = here.filter_map(step).max_by(|a, b| a.3.total_cmp(&b.3));
            let Some((id, to, kb, _)) = best else { continue };
            let draw = self.draw_uniform();
            self.servers.modify(at, |server| server.stepped_up_at = self.now);
            if room * part > kb * draw {
                self.set_rung(&id, to);
            }
        }
    }

    // ---- Health ----

    /// 0: trusted; 1: has failed not long ago; 2: out for now.
    fn health_tier(&self, id: ServerId) -> u32 {
        let Some(server) = self.servers.get(id) else { return 2 };
        if server.backoff_until > self.now {
            return 2;
        }
        let failed = server.failures > 0 && server.failed_at.is_some_and(|at| at + DISTRUST_TIME > self.now);
        let kin = |(many, at): &(u32, Micros)| *many >= ZONE_DISTRUST_FAILURES && at + MAX_BACKOFF > self.now;
        u32::from(failed || self.zone_failures.get(&server.entry.zone).is_some_and(kin))
    }

    /// One record of trouble from all that ends badly: errors, silence, broken connections.
    fn record_failure(&mut self, id: ServerId, down: bool) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(id) else { return };
        (server.failures, server.failed_at) = ((server.failures + 1).min(8), Some(now));
        let time = (MIN_BACKOFF << (server.failures - 1).min(4)).min(MAX_BACKOFF);
        server.backoff_until = server.backoff_until.max(now + time);
        if down {
            let kin = self.zone_failures.entry(server.entry.zone).or_default();
            *kin = (kin.0 + 1, now);
            // It may be back at any time, and cold: what the list says of its age is void.
            server.cold_since = Some(now);
        }
    }

    /// A request with errors at two servers is at fault: the first is taken back, the next uncounted. Nor is
    /// an error among many good answers. Danger: a client's useless requests empty all holders of a title.
    fn record_errors(&mut self, at: &[ServerId]) {
        match at {
            [first, second] if first != second => {
                let Some(server) = self.servers.get_mut(*first) else { return };
                (server.failures, server.backoff_until) = (server.failures.saturating_sub(1), 0);
            }
            [.., last] if at.iter().all(|other| other == last) => {
                self.record_answer(*last, true);
                let answers = self.servers.get(*last).map(|server| &server.answers).into_iter().flatten();
                let (all, errors) =
                    answers.fold((0.0, 0.0), |sum, answer| (sum.0 + 1.0, sum.1 + f64::from(answer.1)));
                if errors > all * MAX_REQUEST_ERROR_SHARE {
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

    fn record_success(&mut self, id: ServerId) {
        self.record_answer(id, false);
        let Some(server) = self.servers.get_mut(id) else { return };
        (server.failures, server.backoff_until) = (server.failures.saturating_sub(1), 0);
        self.zone_failures.remove(&server.entry.zone);
    }

    /// A session tells of its server: the process has run since that session began, whatever was feared.
    /// Danger: one broken connection empties a server and takes it for cold, while all else there plays on.
    fn record_sign_of_life(&mut self, id: ServerId, since: Micros) {
        let told = self.now.saturating_sub(self.settings.note_age);
        let Some(server) = self.servers.get_mut(id) else { return };
        let Some(down) = server.cold_since.filter(|at| since < *at && *at < told) else { return };
        server.cold_since = Some(since);
        if server.failed_at == Some(down) {
            (server.failures, server.backoff_until) = (0, 0);
            self.zone_failures.remove(&server.entry.zone);
        }
    }

    /// When the warm-up of a server began, if it may be cold.
    fn warm_up_start(&self, server: &Server) -> Option<Micros> {
        let told = server.entry.started.or(self.list_may_be_stale.then_some(self.now));
        server.cold_since.max(told).filter(|at| at + self.settings.warm_up > self.now)
    }

    /// Until when a server that may be cold bars a session. Each front keeps to the pace, and in a window to
    /// its part of what makes the server fall. Where that is less than one, it lets a drawn part of its
    /// sessions in: its share of the pace over what it would send, so that all together stay under a fall.
    /// Danger: a returning wave pushes it over; it raises the own rate, so lowers the part. Harm: idle room.
    fn cold_pace_block(&self, session: &Session, id: ServerId) -> Option<Micros> {
        let server = self.servers.get(id)?;
        self.warm_up_start(server)?;
        let streams = self.settings.kind_streams.get(server.entry.kind as usize).copied().unwrap_or(1).max(1);
        let multiple = (self.settings.fall_multiple * COLD_PACE_SHARE).max(COLD_PACE_SHARE);
        let pace = f64::from(streams) * self.settings.cold_from.max(0.05) * multiple;
        let length = ((self.settings.warm_up as f64 / pace) as Micros).max(1);
        let (window, fronts) = (self.settings.fall_window, f64::from(self.settings.fronts));
        let part = (window as f64 / length as f64 / COLD_PACE_SHARE / fronts).floor();
        let spacing = length.max((window as f64 / part.max(1.0)) as Micros);
        let turn = server.last_set_up_at.map(|at| at + spacing).filter(|next| *next > self.now);
        if turn.is_some() || part >= 1.0 {
            return turn;
        }
        // What this front would send there: all that it was lately asked for and the server holds, since the
        // least loaded draws them all. A returning viewer shows that others ask for it in vain. A crowd shows
        // in the other requests of a window first; a front that has just started has no long run.
        let asked = |span: Micros| {
            let here = |first, many| is_held_in(first, many, server.entry.cell, self.settings.cells);
            let lately = self
                .recent_requests
                .iter()
                .filter(|(at, first, many)| at + span > self.now && here(*first, *many));
            lately.count() as f64
        };
        let again = (usize::from(session.request.returning) * REQUESTS_PER_RETURNING_VIEWER) as f64;
        let since = self.recent_requests.front().map_or(0, |(at, ..)| self.now - at);
        let sends =
            (asked(REQUEST_RATE_WINDOW) + again) / since.min(REQUEST_RATE_WINDOW).max(window).max(1) as f64;
        let sends = sends.max((asked(window) - 1.0) / window.max(1) as f64);
        let share = 1.0 / (length as f64 * fronts);
        (session.cold_draw * sends > share).then_some(PERMANENT)
    }

    // ---- Events ----

    /// Takes in one event; what is to be done is added to `out`.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Servers(kind, entries) => self.update_list(*kind, entries, out),
            Event::Request(request) => match self.settings.classes.get(request.class) {
                None => out.push(Action::Refuse(request.session.clone(), self.settings.max_hold_off)),
                Some(class) => {
                    self.recent_requests.push_back((self.now, request.first_cell, request.cell_count));
                    let mut session = Session::new(request, class, &self.settings.ladder, self.now);
                    session.cold_draw = self.draw_uniform();
                    self.sessions.insert(request.session.clone(), session);
                    self.place_session(&request.session, out);
                }
            },
            Event::Resumed(request, server) => {
                let Some(class) = self.settings.classes.get(request.class) else { return };
                let mut session = Session::new(request, class, &self.settings.ladder, self.now);
                (session.server, session.attempts, session.playing_since) =
                    (Some(*server), 1, Some(self.now));
                let kb = session.rate(session.rung);
                self.sessions.insert(request.session.clone(), session);
                self.add_demand(*server, kb, 1);
                self.list_may_be_stale = false;
            }
            Event::Started { session, server, .. } => {
                self.record_success(*server);
                self.sessions.entry(session.clone()).and_modify(|s| s.playing_since = Some(self.now));
            }
            Event::Ended { session, attempt, server, outcome, last, report } => {
                self.record_report(*server, report);
                self.attempt_ended(session, *attempt, *outcome, *last, out);
                self.relieve_overload(*server, out);
            }
            Event::InDoubt { session, server } => {
                let by = self.now + IN_DOUBT_WAIT;
                self.sessions.entry(session.clone()).and_modify(|session| {
                    session.in_doubt.push(*server);
                    session.in_doubt_until = Some(by);
                });
            }
            Event::Resolved { session, server } => self.doubt_resolved(session, *server, out),
            Event::ClientLeft(id) => {
                // An attempt that is out still holds its seat until it ends.
                self.sessions.retain(|other, s| other != id || s.server.is_some());
                self.sessions.entry(id.clone()).and_modify(|s| s.answered = true);
            }
            Event::Note { session, server, note } => {
                let since = self
                    .sessions
                    .get(session)
                    .and_then(|s| s.playing_since.filter(|_| s.server == Some(*server)));
                if let Some(since) = since {
                    self.record_sign_of_life(*server, since);
                }
                let fresh = since == Some(self.now);
                let at = if fresh { self.now } else { self.now.saturating_sub(self.settings.note_age) };
                match note {
                    Note::Delivered(share) => self.record_delivered(*server, *share),
                    Note::Rung(rung) => {
                        let Some(known) = self.sessions.get(session) else { return };
                        let more = known.rate(*rung) - known.rate(known.rung);
                        self.sessions.entry(session.clone()).and_modify(|s| s.rung = *rung);
                        self.add_demand(*server, more, 0);
                    }
                    Note::Link(asked) => self.record_load(*server, false, *asked, at),
                    Note::Uplink(asked) => self.record_load(*server, true, *asked, at),
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

    fn attempt_ended(
        &mut self,
        id: &SessionId,
        attempt: u32,
        outcome: Outcome,
        last: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let (Some(at), true) = (session.server, attempt + 1 == session.attempts) else { return };
        let (playing, answered) = (session.playing_since, session.answered);
        session.server = None;
        if outcome == Outcome::Failed {
            session.error_servers.push(at);
        }
        let erred = session.error_servers.clone();
        if !outcome.never_ran() {
            session.may_have_run = Some((at, session.sent_at));
        }
        let (class, kb) = (session.request.class, session.rate(session.rung));
        self.add_demand(at, -kb, -1);
        let draining = self.servers.get(at).is_some_and(|s| s.entry.state != ServerState::Ready);
        match outcome {
            Outcome::Ok => {
                let length = playing.map(|at| self.seconds_since(at));
                if let (Some(length), Some(mean)) = (length, self.mean_lengths.get_mut(class)) {
                    *mean += 0.05 * (length - *mean);
                }
            }
            Outcome::Failed => self.record_errors(&erred),
            Outcome::Full if draining => self.record_failure(at, false),
            Outcome::Full => {
                self.servers.modify(at, |server| server.full_until = self.now + FULL_BACKOFF);
            }
            Outcome::TimedOut | Outcome::NoConnection | Outcome::Broken if !draining => {
                self.record_failure(at, true)
            }
            _ => {}
        }
        if playing.is_some() || last || answered {
            self.sessions.remove(id);
        } else {
            self.place_session(id, out);
        }
    }

    /// An attempt that was given up is over at its server, which may be sent the session again.
    fn doubt_resolved(&mut self, id: &SessionId, server: ServerId, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        if let Some(at) = session.in_doubt.iter().position(|other| *other == server) {
            session.in_doubt.remove(at);
        }
        let waits = session.wait_until.is_some() && session.pending_probes.is_empty();
        if waits && session.server.is_none() && !session.answered {
            self.place_session(id, out);
        }
    }

    fn update_list(&mut self, kind: ListKind, entries: &[ServerEntry], out: &mut Vec<Action>) {
        if kind == ListKind::FetchFailed {
            out.push(Action::WakeAt(2, self.now + SECOND / 2));
            return;
        }
        self.list_may_be_stale &= kind == ListKind::Cached;
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
            let server = self.servers.upsert(entry);
            server.link_kb = (entry.units * self.settings.link_kb_per_unit).max(1.0);
            server.entry.started = entry.started.map(|at| at.min(self.now));
        }
    }

    /// No short delivery for a while: an uplink carries what it is asked, and perhaps more.
    fn learn_uplinks(&mut self) {
        let learns = |rack: &Rack| {
            rack.short_at + UPLINK_GROWTH_QUIET < self.now && rack.uplink_scale < MAX_UPLINK_SCALE
        };
        let mut full: BTreeSet<usize> =
            self.servers.in_use().filter_map(|(_, server)| server.entry.rack(self.settings.racks)).collect();
        full.retain(|at| {
            self.racks.get(*at).is_some_and(learns) && self.uplink_load(*at) > UPLINK_GROWTH_MIN_LOAD
        });
        for (at, rack) in self.racks.iter_mut().enumerate() {
            let full = full.contains(&at);
            if rack.short_at + UPLINK_GROWTH_QUIET < self.now && (full || rack.uplink_scale < 1.0) {
                rack.uplink_scale = (rack.uplink_scale
                    + if full { UPLINK_GROWTH_PER_TICK } else { UPLINK_GROWTH_PER_TICK / 5.0 })
                .min(MAX_UPLINK_SCALE);
            }
        }
    }

    fn place_waiting(&mut self, out: &mut Vec<Action>) {
        let due = |s: &Session| s.wait_until.is_some_and(|at| at <= self.now);
        let due = self.sessions.iter().filter(|(_, s)| due(s)).map(|(id, _)| id.clone());
        for id in due.collect::<Vec<_>>() {
            self.place_session(&id, out);
        }
    }

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
            let window = self.settings.budget.map_or(0, |budget| budget.window).max(REQUEST_RATE_WINDOW);
            self.recent_requests.retain(|(at, ..)| at + window >= now);
            self.recent_retries.retain(|at| at + window >= now);
        }
    }
}
