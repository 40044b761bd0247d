//! All decisions of salttally; the words used here (settings, events, actions) are in `src/interface.rs`.
//!
//! Read from the top: REM, then the guarded send and answer paths, the load account, the rungs, health,
//! the pace of cold servers, and last the events. A front's `Controller` knows only what its own events told it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::fleet::Fleet;
use crate::interface::*;
use crate::state::{hear, Heard, Rack, Server, Session};

const SECOND: Micros = 1_000_000; // us

// REM. Loads are shares of a link, an uplink or places; 1 is all of it.
const MIN_TH: f64 = 0.8; // Min.th: over the rungs' aim, so that moves answer a lasting crowd
const MAX_TH: f64 = 1.0; // Max.th: just past the point from which delivery falls short
const P_MAX: f64 = 0.8; // where a move is free; the told price of a move takes from it
const MOVE_SPACING: Micros = 5 * SECOND; // per server: the account must see the last move first
const SESSION_MOVE_SPACING: Micros = 30 * SECOND; // per session: a viewer is not passed around
const MOVE_WORTHY: f64 = 12.0; // s that a moved session must be expected to play yet
const SHED: f64 = 1.05; // load, and a move's price, from which a server with all rungs down sheds a session
const NEAR: f64 = 0.05; // loads this close are told apart by a draw: all fronts would choose the same
const AWAY: f64 = 2.5; // prices of crossing by which a holder elsewhere counts as fuller: a cut ends sessions

// Probes.
const PROBES: usize = 2; // before a set-up, at most
const PROBE_PRICE_MOST: f64 = 0.02; // part of a session's worth; a dearer probe is not sent
const PROBE_FROM: Micros = 2 * SECOND; // a younger figure needs no probe
const PROBE_WAIT: Micros = SECOND / 10; // a live server answers in a few ms

// Rungs.
const MARGIN: f64 = 0.06; // of a link or uplink left free by rungs where nearly all demand is of other fronts
const ROOM_PART: f64 = 0.45; // of the room for a newcomer above its lowest rung: others will come
const OVER: f64 = 0.06; // over what rungs are fitted to, playing sessions are stepped down
const LOW: f64 = 0.72; // load below which they may be stepped up; the gap is the hysteresis
const RAISE_TO: f64 = 0.93; // load up to which steps up may fill
const STEP_PAYS: f64 = 5.0; // times its price that a step up must earn
const DWELL: Micros = 15 * SECOND; // no step up so soon after another change: a swing costs at each turn
const LENGTH: f64 = 30.0; // s, expected length until sessions have been seen to end

// Load account.
const SHORT: f64 = 0.98; // delivered share under which a link or uplink is short
const NOTE_GAP: Micros = 3 * SECOND / 2; // notes of short delivery come once a second: an older one is over
const LONE_PART: f64 = 0.85; // of what is short: a link's fresh figure under it shows that its uplink is
const LEARN_FROM: f64 = 0.90; // load from which an uplink that delivers in full is taken to carry more
const LEARN: f64 = 0.01; // by so much of the told uplink per tick
const QUIET: Micros = 3 * SECOND; // in which nothing was short there
const SCALE_MIN: f64 = 0.4; // least that an uplink is taken to carry, in told means: racks differ by less
const SCALE_MAX: f64 = 1.5; // most, likewise
const OWN_PART: f64 = 0.7; // of what own sessions ask is there at least: true rates may be lower
const FIGURE_FADES: Micros = 30 * SECOND; // figures and own changes give way to the usual load: sessions go
const USUAL_PART: f64 = 0.05; // weight of each figure heard in the usual load
const USUAL_MOST: f64 = 0.95; // the usual load is never taken for full: what nobody asked has not refused
const REPORT_AGE: Micros = SECOND / 2; // of a report in an answer: refreshed now and then, and under way

// Health and attempts.
const OUT_FIRST: Micros = 2 * SECOND; // out after a failure; doubles with each further one
const OUT_LONGEST: Micros = 8 * SECOND; // a healed server is found again within this
const DOUBT: Micros = 15 * SECOND; // after a failure in which a server comes last
const KIN_DOWN: u32 = 3; // set-ups in a row that found a zone's servers down: all there are doubted
const FULL: Micros = SECOND; // a server that turned a set-up away is sent others last for this long
const ATTEMPT_PART: f64 = 0.45; // of the aim for an attempt while another could follow within it
const TICK: Micros = SECOND / 10; // regular look; a held session is answered this long before its end
const RESOLVE_WAIT: Micros = SECOND / 10; // a live server hears of a give-up, or closes, in a few ms
const ANSWERS_KEPT: Micros = 5 * SECOND; // over which errors are held against good answers
const ERRORS_BORNE: f64 = 0.2; // share of errors that is the requests' fault: sick servers err more
const NEVER: Micros = Micros::MAX; // a bar that does not pass

// Cold servers.
const COLD_PART: f64 = 0.4; // of the pace that makes one fall, for all fronts together
const AGAIN: usize = 5; // requests that a returning viewer stands for: it asks every 2 s until it plays
const TAKEN_KEPT: Micros = 10 * SECOND; // over which the own rate of requests is taken

/// The session controller of one front.
#[derive(Clone)]
pub struct Controller {
    set: Settings,
    rng: Pcg32,
    now: Micros,
    servers: Fleet,
    racks: Vec<Rack>,
    /// Mean of the figures heard lately of any link, and of any uplink: what is known of the others.
    usual: [Option<f64>; 2],
    /// Servers of a zone that were found down since one there last worked, and when.
    downs: BTreeMap<u32, (u32, Micros)>,
    sessions: BTreeMap<SessionId, Session>,
    /// Where moved viewers go when they come back, and who has been moved lately.
    plans: BTreeMap<ViewerId, (ServerId, Micros)>,
    lengths: Vec<f64>,
    /// Requests taken lately: when, and the cells that hold their titles, the first and how many.
    taken: VecDeque<(Micros, u32, u32)>,
    further: VecDeque<Micros>,
    /// True until the list is known to be fresh: servers of unknown age count as cold.
    unsure: bool,
    ticking: bool,
    /// Sessions stepped by the event in hand; each is told once, whatever the number of steps.
    stepped: BTreeSet<SessionId>,
}

/// What it remembers, without settings and draws: two that show the same decide the same on the same draws.
impl std::fmt::Debug for Controller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let load = (&self.servers, &self.racks, &self.usual, &self.downs, &self.lengths);
        write!(f, "{load:?} {:?} {:?}", self.sessions, (&self.plans, &self.taken, &self.further, self.unsure))
    }
}

impl Controller {
    /// A front that has just started.
    pub fn new(set: Settings, seed: u64) -> Self {
        let set = Settings { fronts: set.fronts.max(1), ..set };
        let rack = || Rack { scale: 1.0, ..Rack::default() };
        let racks = (0..set.racks.min(set.cells)).map(|_| rack()).collect();
        let lengths = vec![LENGTH; set.classes.len()];
        Controller {
            servers: Fleet::new(set.racks),
            set,
            rng: Pcg32::seed_from_u64(seed),
            now: 0,
            racks,
            usual: [None, None],
            downs: BTreeMap::new(),
            sessions: BTreeMap::new(),
            plans: BTreeMap::new(),
            lengths,
            taken: VecDeque::new(),
            further: VecDeque::new(),
            unsure: true,
            ticking: false,
            stepped: BTreeSet::new(),
        }
    }

    /// Begins the draws anew: a search through all orderings of events goes through the draws too.
    pub fn reseed(&mut self, seed: u64) {
        self.rng = Pcg32::seed_from_u64(seed);
    }

    /// What is believed of a server: its load, its tier of health (0 is trusted), own sessions there.
    pub fn server_estimate(&self, id: ServerId) -> Option<(f64, u32, i32)> {
        self.servers.get(id).map(|server| (self.load(id), self.tier(id), server.own))
    }

    // ---- REM: random early migration ----

    /// REM's probability of moving a session away, by the load of the chosen holder.
    pub fn move_probability(&self, load: f64) -> f64 {
        let p_max = P_MAX * (1.0 - 4.0 * self.set.move_price).clamp(0.1, 1.0);
        if load >= MAX_TH {
            return 1.0;
        }
        (p_max * (load - MIN_TH) / (MAX_TH - MIN_TH)).max(0.0)
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0
    }

    /// The ordinary path of a session: the least loaded holder, and REM's move when that one is loaded.
    fn place(&mut self, id: &SessionId, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get(id) else { return };
        let (viewer, floor) = (session.request.viewer, session.rate(session.class.floor));
        let back = session.request.moved && session.attempts == 0;
        let plan = self.plans.get(&viewer).filter(|_| back).map(|plan| plan.0);
        if let Some(server) = plan.filter(|to| self.barred(id, *to).is_none()) {
            return self.send(id, server, out);
        }
        let ranked = self.ranked(id);
        if self.look(id, &ranked, out) {
            return;
        }
        let Some(chosen) = ranked.first().copied() else { return self.no_holder(id, out) };
        let (load, draw) = (self.load(chosen), self.draw());
        if draw < self.move_probability(load) && !self.shift(chosen, out) && load >= 1.0 {
            // No move possible and full: refused, unless the rungs there can make the room.
            let room = self.room(chosen, 1.0) + self.can_free(chosen, load);
            if self.places(chosen) >= 1.0 || room < floor {
                return self.refuse(id, out);
            }
        }
        self.send(id, chosen, out);
    }

    /// Moves one own session off the server to the least loaded holder below Min.th, if there is one.
    fn shift(&mut self, from: ServerId, out: &mut Vec<Action>) -> bool {
        let Some(server) = self.servers.get(from) else { return false };
        if server.moved_at.is_some_and(|at| at + MOVE_SPACING > self.now) {
            return false;
        }
        let mut best: Option<(f64, SessionId, ServerId)> = None;
        for (id, session) in &self.sessions {
            let recent = |at: Micros| at + SESSION_MOVE_SPACING > self.now;
            let moved = self.plans.get(&session.request.viewer).is_some_and(|plan| recent(plan.1));
            if session.at != Some(from) || session.playing.is_none() || session.moving || moved {
                continue;
            }
            let left = self.left(session);
            // The most demand for the longest time, at one price for any session.
            let value = left * session.rate(session.rung);
            if left < MOVE_WORTHY || best.as_ref().is_some_and(|(most, _, _)| value <= *most) {
                continue;
            }
            let free = |to: &ServerId| {
                let warm = self.servers.get(*to).is_some_and(|s| self.cold(s).is_none());
                *to != from && warm && self.tier(*to) == 0 && self.load(*to) < MIN_TH
            };
            let holders = self.holders(&session.request).into_iter().filter(free);
            let least = holders.min_by(|a, b| self.load(*a).total_cmp(&self.load(*b)));
            if let Some(to) = least {
                best = Some((value, id.clone(), to));
            }
        }
        let Some((_, id, to)) = best else { return false };
        let Some(session) = self.sessions.get_mut(&id) else { return false };
        session.moving = true;
        self.plans.insert(session.request.viewer, (to, self.now));
        self.servers.modify(from, |server| server.moved_at = Some(self.now));
        out.push(Action::Move(id));
        true
    }

    /// Holders that may be sent this session now, the least loaded first; doubted ones come last.
    fn ranked(&mut self, id: &SessionId) -> Vec<ServerId> {
        let Some(session) = self.sessions.get(id) else { return Vec::new() };
        let (mut free, tried) = (self.holders(&session.request), session.tried.clone());
        free.retain(|server| self.barred(id, *server).is_none());
        let mut ranked = Vec::new();
        for to in free {
            let away = self.servers.get(to).is_some_and(|s| s.entry.zone != self.set.zone);
            let bias = if away { self.set.cross_price * AWAY } else { 0.0 };
            let load = self.load(to) + bias + self.draw() * NEAR;
            ranked.push((self.tier(to), tried.contains(&to), load, to));
        }
        ranked.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        ranked.into_iter().map(|(_, _, _, server)| server).collect()
    }

    /// Probes the least loaded holders before a set-up where nothing was heard of them lately and probes are
    /// cheap. Danger: each of many fronts knows few servers; a paid session is lost on a dead one. Harm: a
    /// crowd's probes cost more than they tell; returning viewers of a loaded fleet have none.
    fn look(&mut self, id: &SessionId, ranked: &[ServerId], out: &mut Vec<Action>) -> bool {
        let heard = |at: &ServerId| self.servers.get(*at).and_then(|s| s.asked).map_or(0, |asked| asked.1);
        let mut stale: Vec<ServerId> = ranked.iter().take(PROBES).copied().collect();
        stale.retain(|at| heard(at) + PROBE_FROM < self.now);
        let Some(session) = self.sessions.get_mut(id) else { return false };
        let loaded = self.usual[0].is_some_and(|usual| usual > MIN_TH) && session.request.returning;
        let cheap = self.set.probes && self.set.probe_price <= PROBE_PRICE_MOST && !loaded;
        if !cheap || session.looked || ranked.len() < 2 || stale.is_empty() {
            return false;
        }
        out.extend(stale.iter().map(|server| Action::Probe(*server)));
        out.push(Action::WakeAt(1, self.now + PROBE_WAIT));
        (session.looked, session.probed, session.wait_until) = (true, stale, Some(self.now + PROBE_WAIT));
        true
    }

    /// A probe was answered, or not: the last one lets the sessions go that wait for it.
    fn looked(&mut self, at: ServerId, outcome: Outcome, out: &mut Vec<Action>) {
        if matches!(outcome, Outcome::TimedOut | Outcome::NoConnection | Outcome::Broken) {
            self.failed(at, true);
        }
        for session in self.sessions.values_mut().filter(|s| s.probed.contains(&at)) {
            session.probed.retain(|server| *server != at);
            if session.probed.is_empty() {
                session.wait_until = session.wait_until.map(|_| self.now);
            }
        }
        self.serve_waiting(out);
    }

    /// Listed servers that hold the title.
    fn holders(&self, request: &Request) -> Vec<ServerId> {
        self.servers.holders(request, self.set.cells)
    }

    // ---- The one way to a server, and the one way to an answer ----

    /// Until when this session must not be sent to this server. All rules on sending stand here.
    fn barred(&self, id: &SessionId, to: ServerId) -> Option<Micros> {
        let (Some(session), Some(server)) = (self.sessions.get(id), self.servers.get(to)) else {
            return Some(NEVER);
        };
        let (class, top) = (&session.class, session.top);
        let over = session.answered || session.at.is_some() || self.now >= session.deadline;
        let held = session.request.held_in(server.entry.cell, self.set.cells);
        let fit = held && top >= class.floor && server.entry.state == ServerState::Ready;
        if over || !fit || session.attempts >= self.set.max_attempts {
            return Some(NEVER);
        }
        if let Some((ran, sent)) = session.ran {
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
                _ => return Some(NEVER),
            }
        }
        if session.in_doubt.contains(&to) {
            return Some(session.resolved_by.filter(|at| *at > self.now).unwrap_or(NEVER));
        }
        if class.seats > 0 {
            let title = (session.request.title, session.request.class);
            let same = |s: &&Session| s.at.is_some() && (s.request.title, s.request.class) == title;
            if self.sessions.values().filter(same).count() >= class.seats {
                return Some(NEVER);
            }
        }
        if let (Some(budget), true) = (self.set.budget, session.attempts > 0) {
            let taken = self.taken.iter().filter(|(at, ..)| at + budget.window > self.now).count();
            let further = self.further.iter().filter(|at| **at + budget.window >= self.now).count();
            if (further + 1) as f64 > budget.free + budget.share * taken as f64 {
                return Some(NEVER);
            }
        }
        self.pace(session, to)
    }

    /// Sends the session, if no rule bars it.
    fn send(&mut self, id: &SessionId, to: ServerId, out: &mut Vec<Action>) {
        if self.barred(id, to).is_some() {
            return self.no_holder(id, out);
        }
        let rung = self.fit(id, to);
        let kb = self.sessions.get(id).map_or(0.0, |s| s.rate(rung));
        let now = self.now;
        let Some(session) = self.sessions.get_mut(id) else { return };
        let class = &session.class;
        let to_aim = (session.taken + class.aim).saturating_sub(now);
        let whole = session.deadline.saturating_sub(now);
        // A time-out of a safe attempt leaves time for another within the aim; one that cannot be sent again
        // ends with the aim, since a later start earns nothing and a later failure is priced.
        let time_out = match class.effect {
            Effect::Once => to_aim,
            _ if session.attempts + 1 >= self.set.max_attempts => to_aim,
            _ => ((class.aim as f64 * ATTEMPT_PART) as Micros).min(to_aim),
        };
        let time_out = if time_out < class.aim / 5 { class.aim } else { time_out }.min(whole);
        if session.attempts > 0 {
            self.further.push_back(now);
        }
        session.attempts += 1;
        (session.at, session.sent, session.rung, session.wait_until) = (Some(to), now, rung, None);
        session.tried.push(to);
        self.servers.modify(to, |server| server.cold_sent = Some(now));
        self.add(to, kb, 1);
        out.push(Action::SetRung(id.clone(), rung));
        out.push(Action::SetUp(id.clone(), to, time_out));
    }

    /// No holder may be sent the session now: it waits for its turn at a cold one in its aim, or is refused.
    fn no_holder(&mut self, id: &SessionId, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get(id) else { return };
        let aim = session.class.aim;
        let waits = (session.taken + aim / 2).max(session.resolved_by.map_or(0, |at| at + 1));
        let last = waits.min(session.deadline.saturating_sub(TICK));
        let worth_waiting = |at: &ServerId| self.tier(*at) < 2 || session.in_doubt.contains(at);
        let holders = self.holders(&session.request).into_iter().filter(worth_waiting);
        let turns = holders.filter_map(|server| self.barred(id, server)).filter(|at| *at < last);
        let Some(turn) = turns.min() else { return self.refuse(id, out) };
        self.sessions.entry(id.clone()).and_modify(|session| session.wait_until = Some(turn));
        out.push(Action::WakeAt(1, turn));
    }

    /// The final answer: a refusal with a hold-off, or a failure where a set-up may have run that must not be
    /// offered again.
    fn refuse(&mut self, id: &SessionId, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        if session.answered || session.playing.is_some() {
            return;
        }
        let may_have_run = session.ran.is_some() || session.at.is_some();
        let harmless = match session.class.effect {
            Effect::Safe => true,
            Effect::Deduplicated => session.class.group == Group::All,
            Effect::Once => false,
        };
        session.answered = true;
        let refused = Action::Refuse(id.clone(), self.set.max_hold_off);
        out.push(if harmless || !may_have_run { refused } else { Action::Fail(id.clone()) });
        if session.at.is_none() {
            self.sessions.remove(id);
        }
    }

    // ---- Load account ----

    /// Load of a server as REM sees it: of its link or of its rack's uplink, whichever is fuller.
    fn load(&self, id: ServerId) -> f64 {
        self.link_load(id).max(self.rack_of(id).map_or(0.0, |rack| self.rack_load(rack))).max(self.places(id))
    }

    /// Share of its places that a server has in use: full if it said so just now, else as reported with own
    /// changes since, else by own sessions.
    fn places(&self, id: ServerId) -> f64 {
        let Some(server) = self.servers.get(id) else { return 0.0 };
        let Some(places) = self.set.kind_streams.get(server.entry.kind as usize) else { return 0.0 };
        if server.full_until > self.now {
            return 1.0;
        }
        let since = |at| server.changes.iter().filter(move |c| c.0 > at).map(|c| f64::from(c.2)).sum::<f64>();
        let used = server.streams.map_or(0.0, |(used, at)| used + since(at));
        used.max(f64::from(server.own)) / f64::from((*places).max(1))
    }

    /// Share of the told link that is asked: the latest figure and own changes since, giving way with age to
    /// what the others usually ask of a link and own sessions.
    fn link_load(&self, id: ServerId) -> f64 {
        self.servers.get(id).map_or(0.0, |server| self.link_load_of(server))
    }

    fn link_load_of(&self, server: &Server) -> f64 {
        let link = self.link(server);
        let (own, weight) = (server.own_kb / link, self.weight(server.asked));
        let known = server.asked.map_or(0.0, |(asked, at)| asked + server.since(at) / link);
        weight * known.max(own * OWN_PART) + (1.0 - weight) * (self.others(server) + own)
    }

    /// How far a figure still counts. Danger: the last word on what was lost keeps its successors empty.
    fn weight(&self, heard: Heard) -> f64 {
        heard.map_or(0.0, |(_, at)| {
            (1.0 - self.seconds_since(at) * SECOND as f64 / FIGURE_FADES as f64).max(0.0)
        })
    }

    fn seconds_since(&self, at: Micros) -> f64 {
        self.now.saturating_sub(at) as f64 / SECOND as f64
    }

    /// What others are taken to ask of a link: their part of the usual load, from nothing on a new process.
    /// Danger: an unknown server taken for empty draws all newcomers; taken for full, it stays empty.
    fn others(&self, server: &Server) -> f64 {
        let own = self.servers.own_kb();
        let usual =
            self.usual[0].unwrap_or_else(|| own * f64::from(self.set.fronts) / self.set.links_kb.max(1.0));
        let since = server.cold_since.max(server.entry.started);
        let filled = since.map_or(1.0, |at| (self.seconds_since(at) / LENGTH).min(1.0));
        usual.min(USUAL_MOST) * filled * (1.0 - 1.0 / f64::from(self.set.fronts))
    }

    fn link(&self, server: &Server) -> f64 {
        let cold = self.cold(server).is_some();
        server.link_kb * if cold { self.set.cold_from.clamp(0.1, 1.0) } else { 1.0 }
    }

    fn rack_of(&self, id: ServerId) -> Option<usize> {
        self.servers.get(id).map(|s| s.entry.rack(self.set.racks))?
    }

    fn uplink(&self, rack: usize) -> f64 {
        self.racks.get(rack).map_or(1.0, |r| (self.set.uplink_kb * r.scale).max(1.0))
    }

    /// Share of the rack's uplink that is asked: measured where it is told, else summed over its links.
    fn rack_load(&self, rack: usize) -> f64 {
        let Some(state) = self.racks.get(rack).filter(|_| self.set.uplink_kb > 0.0) else { return 0.0 };
        let (uplink, weight) = (self.uplink(rack), self.weight(state.asked));
        let since = |at| self.servers.in_rack(rack).map(|(_, s)| s.since(at)).sum::<f64>();
        let known = state.asked.map_or(0.0, |(asked, at)| asked + since(at) / uplink);
        let links =
            || self.servers.in_rack(rack).map(|(_, s)| self.link_load_of(s) * self.link(s)).sum::<f64>();
        match self.usual[1] {
            _ if weight == 1.0 => known,
            Some(usual) => weight * known + (1.0 - weight) * usual.min(USUAL_MOST),
            None if self.servers.in_rack(rack).all(|(_, s)| s.own == 0) => (links() / uplink).min(USUAL_MOST),
            None => links() / uplink,
        }
    }

    /// Books a change of own demand at a server.
    fn add(&mut self, id: ServerId, kb: f64, streams: i32) {
        let now = self.now;
        let Some(server) = self.servers.add_own(now, id, kb, streams) else { return };
        while server.changes.front().is_some_and(|c| c.0 + FIGURE_FADES < now) {
            server.changes.pop_front();
        }
    }

    /// Takes in a figure on a link, or on the uplink there, as it was at a moment.
    fn hear_asked(&mut self, id: ServerId, uplink: bool, asked: f64, at: Micros) {
        let rack = self.rack_of(id).and_then(|rack| self.racks.get_mut(rack)).filter(|_| uplink);
        let link = self.servers.get_mut(id).filter(|_| !uplink).map(|server| &mut server.asked);
        let Some(slot) = link.or(rack.map(|rack| &mut rack.asked)).filter(|_| asked.is_finite()) else {
            return;
        };
        hear(slot, asked, at);
        let usual = self.usual[usize::from(uplink)].get_or_insert(asked);
        *usual += USUAL_PART * (asked.clamp(0.0, 2.0) - *usual);
    }

    /// Takes in a load report that came with an answer.
    fn hear_report(&mut self, id: ServerId, report: &[f64]) {
        let at = self.now.saturating_sub(REPORT_AGE);
        for (field, value) in self.set.reports.clone().into_iter().zip(report.iter().copied()) {
            match field {
                ReportField::LinkCapped | ReportField::Link => self.hear_asked(id, false, value, at),
                ReportField::Uplink => self.hear_asked(id, true, value, at),
                ReportField::Streams => {
                    self.servers.modify(id, |server| hear(&mut server.streams, value, at));
                }
                ReportField::Other => {}
            }
        }
    }

    /// Short delivery: a rack's uplink is short for all its servers at once, a link alone. A lone server
    /// that stays short is over, whatever its reports say: they may be late, frozen or wrong.
    /// Danger: one slow link taken for a full rack starves the rack; the other way round costs one server.
    fn hear_delivered(&mut self, id: ServerId, share: f64) {
        let (at, now) = (self.now.saturating_sub(self.set.note_age), self.now);
        let Some(server) = self.servers.get_mut(id) else { return };
        let again = server.short.is_some_and(|(_, last)| last + NOTE_GAP > now && last < now);
        server.short = (0.01..SHORT).contains(&share).then_some((share, now));
        if server.short.is_none() {
            return;
        }
        let over = 1.0 / share;
        let Some(rack) = self.rack_of(id) else {
            return self.hear_asked(id, false, over.max(self.link_load(id)), at);
        };
        let short = |s: &Server| s.short.is_some_and(|(_, last)| last + NOTE_GAP > now);
        let short = self.servers.in_rack(rack).filter(|(_, s)| short(s)).count();
        let using = self.servers.in_rack(rack).filter(|(_, s)| s.own_kb > 0.0).count();
        // The only server with own sessions in its rack is told from its rack by its own link's figure.
        let fresh = |heard: &(f64, Micros)| heard.1 + self.set.note_interval > at;
        let fresh = self.servers.get(id).is_some_and(|s| s.asked.as_ref().is_some_and(fresh));
        let lone = using == 1 && fresh && self.link_load(id) < LONE_PART * over;
        if short * 2 > using && (short > 1 || lone) {
            let since: f64 = self.servers.in_rack(rack).map(|(_, s)| s.since(at)).sum();
            let load = self.rack_load(rack) - since / self.uplink(rack);
            let Some(state) = self.racks.get_mut(rack).filter(|state| at > state.relieved) else { return };
            if state.asked.is_some() {
                return self.hear_asked(id, true, over, at);
            }
            state.scale = (state.scale * load / over).clamp(SCALE_MIN, SCALE_MAX);
            state.short_at = at;
        } else if self.link_load(id) < over
            && self.rack_load(rack) < self.aim() + OVER
            && (again || self.link_load(id) > 0.9)
        {
            self.hear_asked(id, false, over, at);
        }
    }

    // ---- Rungs ----

    /// Seconds that the session is expected to play yet.
    fn left(&self, session: &Session) -> f64 {
        let mean = self.lengths.get(session.request.class).copied().unwrap_or(LENGTH);
        let age = session.playing.map_or(0.0, |at| self.seconds_since(at));
        match session.request.length_hint {
            // A hint is rough: a session past it plays on for a while.
            Some(length) => (length as f64 / SECOND as f64 - age).max(0.15 * mean),
            None => mean,
        }
    }

    /// Load that rungs are fitted to. What other fronts do is not known in time, so it falls with their part.
    fn aim(&self) -> f64 {
        1.0 - MARGIN * (1.0 - 1.0 / f64::from(self.set.fronts)).powi(3)
    }

    /// kB a second that server and rack can take below a share.
    fn room(&self, id: ServerId, aim: f64) -> f64 {
        let rack = self.rack_of(id).map_or(f64::MAX, |rack| (aim - self.rack_load(rack)) * self.uplink(rack));
        let link = self.servers.get(id).map_or(0.0, |s| (aim - self.link_load(id)) * self.link(s));
        link.min(rack)
    }

    /// Demand at a server that steps down could free: the part of all that is asked there as of own sessions.
    fn can_free(&self, at: ServerId, load: f64) -> f64 {
        let own = self.sessions.values().filter(|s| s.playing.is_some());
        let (all, least) =
            own.fold((1.0, 1.0), |sum, s| (sum.0 + s.rate(s.rung), sum.1 + s.rate(s.class.floor)));
        self.servers.get(at).map_or(0.0, |s| (1.0 - least / all) * load * self.link(s))
    }

    /// The own playing session whose step down loses the least worth for each kB.
    fn cheapest(&self, within: impl Fn(&Session) -> bool) -> Option<SessionId> {
        let able = |s: &Session| s.playing.is_some() && !s.moving && s.rung > s.class.floor;
        let loss = |s: &Session| {
            let kb = s.rate(s.rung) - s.rate(s.rung - 1);
            // The change is paid once for any number of steps.
            let change = if s.changed == self.now { 0.0 } else { s.class.gain * self.set.change_cost_s };
            (s.worth(s.rung) - s.worth(s.rung - 1) + change / self.left(s).max(1.0)) / kb.max(1.0)
        };
        let steps = self.sessions.iter().filter(|(_, s)| able(s) && within(s));
        steps.min_by(|a, b| loss(a.1).total_cmp(&loss(b.1))).map(|(id, _)| id.clone())
    }

    /// The rung for a newcomer: as high as its part of the room allows; where there is not even room for the
    /// lowest, own sessions make it.
    fn fit(&mut self, id: &SessionId, to: ServerId) -> usize {
        let Some(session) = self.sessions.get(id) else { return 0 };
        let room = self.room(to, self.aim()) * ROOM_PART;
        let floor = session.class.floor;
        let fits = |rung: &usize| session.rate(*rung) <= room;
        let rung = (floor + 1..=session.top).take_while(fits).last().unwrap_or(floor);
        let mut over = session.rate(rung) - self.room(to, self.aim() + OVER);
        while over > 0.0 {
            let Some(other) = self.cheapest(|s| s.at == Some(to)) else { break };
            let lower = self.sessions.get(&other).map_or(0, |s| s.rung.saturating_sub(1));
            over -= self.step(&other, lower);
        }
        rung
    }

    /// Sets another rung for a playing session; the demand that this frees.
    fn step(&mut self, id: &SessionId, to: usize) -> f64 {
        let Some(session) = self.sessions.get_mut(id) else { return 0.0 };
        let freed = session.rate(session.rung) - session.rate(to);
        (session.rung, session.changed) = (to, self.now);
        if let Some(at) = session.at {
            self.add(at, -freed, 0);
        }
        self.stepped.insert(id.clone());
        freed
    }

    /// Lowers own demand where a link or uplink is too full, once for each figure heard.
    fn relieve(&mut self, at: ServerId, out: &mut Vec<Action>) {
        let load = self.link_load(at);
        let Some(server) = self.servers.get(at) else { return };
        if load > self.aim() + OVER && server.asked.is_some_and(|asked| asked.1 > server.relieved) {
            self.correct(load, &[at], out);
            self.servers.modify(at, |server| server.relieved = self.now);
        }
        let Some(rack) = self.rack_of(at) else { return };
        let (load, summed) = (self.rack_load(rack), self.set.note_interval + self.set.note_age);
        let Some(state) = self.racks.get(rack) else { return };
        let heard = state.asked.map_or(state.short_at.max(self.now.saturating_sub(summed)), |asked| asked.1);
        if load > self.aim() + OVER && heard > state.relieved {
            let inside: Vec<ServerId> = self.servers.in_rack(rack).map(|(id, _)| id).collect();
            self.correct(load, &inside, out);
            self.racks[rack].relieved = self.now;
        }
    }

    /// Takes own sessions' part of the excess off these servers. All fronts hear of it at the same time: each
    /// takes its part only, and the last step is drawn for, so that they free the excess together.
    fn correct(&mut self, load: f64, within: &[ServerId], out: &mut Vec<Action>) {
        let own: f64 = within.iter().filter_map(|at| self.servers.get(*at)).map(|s| s.own_kb).sum();
        let mut need = own * (1.0 - self.aim() / load);
        while need > 0.0 {
            let Some(id) = self.cheapest(|s| s.at.is_some_and(|at| within.contains(&at))) else { break };
            let Some(session) = self.sessions.get(&id) else { break };
            let lower = session.rung.saturating_sub(1);
            if need < (session.rate(session.rung) - session.rate(lower)) * self.draw() {
                return;
            }
            need -= self.step(&id, lower);
        }
        // Exception to REM: the ladder is used up and the link still short, so a session moves as above
        // Max.th, though no newcomer has come. Danger: a crowd on few holders starves them all.
        if need > 0.0 && load >= SHED + self.set.move_price {
            for at in within {
                self.shift(*at, out);
            }
        }
    }

    /// Steps own sessions up where there is lasting room and the time left pays for the change.
    fn raise(&mut self) {
        let mine = self.servers.in_use().map(|(id, _)| id);
        for at in mine.collect::<Vec<_>>() {
            let Some(server) = self.servers.get(at) else { continue };
            let heard = server.asked.filter(|asked| asked.1 > server.stepped_up);
            let Some((asked, _)) = heard.filter(|_| self.load(at) <= LOW) else { continue };
            // All fronts with sessions here hear the same: each takes its part of what is asked.
            let part = (server.own_kb / (asked * self.link(server)).max(1.0)).min(1.0);
            let room = self.room(at, RAISE_TO);
            let step = |(id, s): (&SessionId, &Session)| {
                let kb = |rung| s.rate(rung) - s.rate(s.rung);
                let fits = |rung: &usize| kb(*rung) <= room;
                let to = (s.rung + 1..=s.top).take_while(fits).last()?;
                let more = s.worth(to) - s.worth(s.rung);
                let pays = more * self.left(s) > STEP_PAYS * self.set.change_cost_s * s.class.gain;
                let able = s.playing.is_some() && !s.moving && s.changed + DWELL < self.now;
                (able && pays).then(|| (id.clone(), to, kb(to), more / kb(to).max(1.0)))
            };
            let here = self.sessions.iter().filter(|(_, s)| s.at == Some(at));
            let best = here.filter_map(step).max_by(|a, b| a.3.total_cmp(&b.3));
            let Some((id, to, kb, _)) = best else { continue };
            let draw = self.draw();
            self.servers.modify(at, |server| server.stepped_up = self.now);
            if room * part > kb * draw {
                self.step(&id, to);
            }
        }
    }

    // ---- Health ----

    /// 0: trusted; 1: has failed not long ago; 2: out for now.
    fn tier(&self, id: ServerId) -> u32 {
        let Some(server) = self.servers.get(id) else { return 2 };
        if server.out_until > self.now {
            return 2;
        }
        let failed = server.failures > 0 && server.failed_at.is_some_and(|at| at + DOUBT > self.now);
        let kin = |(many, at): &(u32, Micros)| *many >= KIN_DOWN && at + OUT_LONGEST > self.now;
        u32::from(failed || self.downs.get(&server.entry.zone).is_some_and(kin))
    }

    /// One record of trouble from all that ends badly: errors, silence, broken connections.
    fn failed(&mut self, id: ServerId, down: bool) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(id) else { return };
        (server.failures, server.failed_at) = ((server.failures + 1).min(8), Some(now));
        let time = (OUT_FIRST << (server.failures - 1).min(4)).min(OUT_LONGEST);
        server.out_until = server.out_until.max(now + time);
        if down {
            let kin = self.downs.entry(server.entry.zone).or_default();
            *kin = (kin.0 + 1, now);
            // It may be back at any time, and cold: what the list says of its age is void.
            server.cold_since = Some(now);
        }
    }

    /// A request with errors at two servers is at fault: the first is taken back, the next uncounted. Nor is
    /// an error among many good answers. Danger: a client's useless requests empty all holders of a title.
    fn erred(&mut self, at: &[ServerId]) {
        match at {
            [first, second] if first != second => {
                let Some(server) = self.servers.get_mut(*first) else { return };
                (server.failures, server.out_until) = (server.failures.saturating_sub(1), 0);
            }
            [.., last] if at.iter().all(|other| other == last) => {
                self.answered(*last, true);
                let answers = self.servers.get(*last).map(|server| &server.answers).into_iter().flatten();
                let (all, errors) =
                    answers.fold((0.0, 0.0), |sum, answer| (sum.0 + 1.0, sum.1 + f64::from(answer.1)));
                if errors > all * ERRORS_BORNE {
                    self.failed(*last, false);
                }
            }
            _ => {}
        }
    }

    fn answered(&mut self, id: ServerId, error: bool) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(id) else { return };
        server.answers.push_back((now, error));
        server.answers.retain(|answer| answer.0 + ANSWERS_KEPT > now);
    }

    fn worked(&mut self, id: ServerId) {
        self.answered(id, false);
        let Some(server) = self.servers.get_mut(id) else { return };
        (server.failures, server.out_until) = (server.failures.saturating_sub(1), 0);
        self.downs.remove(&server.entry.zone);
    }

    /// A session tells of its server: the process has run since that session began, whatever was feared.
    /// Danger: one broken connection empties a server and takes it for cold, while all else there plays on.
    fn lives(&mut self, id: ServerId, since: Micros) {
        let told = self.now.saturating_sub(self.set.note_age);
        let Some(server) = self.servers.get_mut(id) else { return };
        let Some(down) = server.cold_since.filter(|at| since < *at && *at < told) else { return };
        server.cold_since = Some(since);
        if server.failed_at == Some(down) {
            (server.failures, server.out_until) = (0, 0);
            self.downs.remove(&server.entry.zone);
        }
    }

    /// When the warm-up of a server began, if it may be cold.
    fn cold(&self, server: &Server) -> Option<Micros> {
        let told = server.entry.started.or(self.unsure.then_some(self.now));
        server.cold_since.max(told).filter(|at| at + self.set.warm_up > self.now)
    }

    /// Until when a server that may be cold bars a session. Each front keeps to the pace, and in a window to
    /// its part of what makes the server fall. Where that is less than one, it lets a drawn part of its
    /// sessions in: its share of the pace over what it would send, so that all together stay under a fall.
    /// Danger: a returning wave pushes it over; it raises the own rate, so lowers the part. Harm: idle room.
    fn pace(&self, session: &Session, id: ServerId) -> Option<Micros> {
        let server = self.servers.get(id)?;
        self.cold(server)?;
        let streams = self.set.kind_streams.get(server.entry.kind as usize).copied().unwrap_or(1).max(1);
        let multiple = (self.set.fall_multiple * COLD_PART).max(COLD_PART);
        let pace = f64::from(streams) * self.set.cold_from.max(0.05) * multiple;
        let length = ((self.set.warm_up as f64 / pace) as Micros).max(1);
        let (window, fronts) = (self.set.fall_window, f64::from(self.set.fronts));
        let part = (window as f64 / length as f64 / COLD_PART / fronts).floor();
        let spacing = length.max((window as f64 / part.max(1.0)) as Micros);
        let turn = server.cold_sent.map(|at| at + spacing).filter(|next| *next > self.now);
        if turn.is_some() || part >= 1.0 {
            return turn;
        }
        // What this front would send there: all that it was lately asked for and the server holds, since the
        // least loaded draws them all. A returning viewer shows that others ask for it in vain. A crowd shows
        // in the other requests of a window first; a front that has just started has no long run.
        let asked = |span: Micros| {
            let here = |first, many| is_held_in(first, many, server.entry.cell, self.set.cells);
            let lately =
                self.taken.iter().filter(|(at, first, many)| at + span > self.now && here(*first, *many));
            lately.count() as f64
        };
        let again = (usize::from(session.request.returning) * AGAIN) as f64;
        let since = self.taken.front().map_or(0, |(at, ..)| self.now - at);
        let sends = (asked(TAKEN_KEPT) + again) / since.min(TAKEN_KEPT).max(window).max(1) as f64;
        let sends = sends.max((asked(window) - 1.0) / window.max(1) as f64);
        let share = 1.0 / (length as f64 * fronts);
        (session.luck * sends > share).then_some(NEVER)
    }

    // ---- Events ----

    /// Takes in one event; what is to be done is added to `out`.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Servers(kind, entries) => self.list(*kind, entries, out),
            Event::Request(request) => match self.set.classes.get(request.class) {
                None => out.push(Action::Refuse(request.session.clone(), self.set.max_hold_off)),
                Some(class) => {
                    self.taken.push_back((self.now, request.first_cell, request.cell_count));
                    let mut session = Session::new(request, class, &self.set.ladder, self.now);
                    session.luck = self.draw();
                    self.sessions.insert(request.session.clone(), session);
                    self.place(&request.session, out);
                }
            },
            Event::Resumed(request, server) => {
                let Some(class) = self.set.classes.get(request.class) else { return };
                let mut session = Session::new(request, class, &self.set.ladder, self.now);
                (session.at, session.attempts, session.playing) = (Some(*server), 1, Some(self.now));
                let kb = session.rate(session.rung);
                self.sessions.insert(request.session.clone(), session);
                self.add(*server, kb, 1);
                self.unsure = false;
            }
            Event::Started { session, server, .. } => {
                self.worked(*server);
                self.sessions.entry(session.clone()).and_modify(|s| s.playing = Some(self.now));
            }
            Event::Ended { session, attempt, server, outcome, last, report } => {
                self.hear_report(*server, report);
                self.ended(session, *attempt, *outcome, *last, out);
                self.relieve(*server, out);
            }
            Event::InDoubt { session, server } => {
                let by = self.now + RESOLVE_WAIT;
                self.sessions.entry(session.clone()).and_modify(|session| {
                    session.in_doubt.push(*server);
                    session.resolved_by = Some(by);
                });
            }
            Event::Resolved { session, server } => self.resolved(session, *server, out),
            Event::ClientLeft(id) => {
                // An attempt that is out still holds its seat until it ends.
                self.sessions.retain(|other, s| other != id || s.at.is_some());
                self.sessions.entry(id.clone()).and_modify(|s| s.answered = true);
            }
            Event::Note { session, server, note } => {
                let since =
                    self.sessions.get(session).and_then(|s| s.playing.filter(|_| s.at == Some(*server)));
                if let Some(since) = since {
                    self.lives(*server, since);
                }
                let fresh = since == Some(self.now);
                let at = if fresh { self.now } else { self.now.saturating_sub(self.set.note_age) };
                match note {
                    Note::Delivered(share) => self.hear_delivered(*server, *share),
                    Note::Rung(rung) => {
                        let Some(known) = self.sessions.get(session) else { return };
                        let more = known.rate(*rung) - known.rate(known.rung);
                        self.sessions.entry(session.clone()).and_modify(|s| s.rung = *rung);
                        self.add(*server, more, 0);
                    }
                    Note::Link(asked) => self.hear_asked(*server, false, *asked, at),
                    Note::Uplink(asked) => self.hear_asked(*server, true, *asked, at),
                }
                self.relieve(*server, out);
            }
            Event::Probed { server, report, outcome } => {
                self.hear_report(*server, report);
                self.looked(*server, *outcome, out);
            }
            Event::Wake(tag) => self.tick(*tag, out),
            Event::Peer(_) => {}
        }
        for id in std::mem::take(&mut self.stepped) {
            if let Some(session) = self.sessions.get(&id) {
                out.push(Action::SetRung(id, session.rung));
            }
        }
        if !self.ticking {
            self.ticking = true;
            out.push(Action::WakeAt(0, self.now + TICK));
        }
    }

    fn ended(&mut self, id: &SessionId, attempt: u32, outcome: Outcome, last: bool, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let (Some(at), true) = (session.at, attempt + 1 == session.attempts) else { return };
        let (playing, answered) = (session.playing, session.answered);
        session.at = None;
        if outcome == Outcome::Failed {
            session.erred.push(at);
        }
        let erred = session.erred.clone();
        if !outcome.never_ran() {
            session.ran = Some((at, session.sent));
        }
        let (class, kb) = (session.request.class, session.rate(session.rung));
        self.add(at, -kb, -1);
        let draining = self.servers.get(at).is_some_and(|s| s.entry.state != ServerState::Ready);
        match outcome {
            Outcome::Ok => {
                let length = playing.map(|at| self.seconds_since(at));
                if let (Some(length), Some(mean)) = (length, self.lengths.get_mut(class)) {
                    *mean += 0.05 * (length - *mean);
                }
            }
            Outcome::Failed => self.erred(&erred),
            Outcome::Full if draining => self.failed(at, false),
            Outcome::Full => {
                self.servers.modify(at, |server| server.full_until = self.now + FULL);
            }
            Outcome::TimedOut | Outcome::NoConnection | Outcome::Broken if !draining => self.failed(at, true),
            _ => {}
        }
        if playing.is_some() || last || answered {
            self.sessions.remove(id);
        } else {
            self.place(id, out);
        }
    }

    /// An attempt that was given up is over at its server, which may be sent the session again.
    fn resolved(&mut self, id: &SessionId, server: ServerId, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        if let Some(at) = session.in_doubt.iter().position(|other| *other == server) {
            session.in_doubt.remove(at);
        }
        let waits = session.wait_until.is_some() && session.probed.is_empty();
        if waits && session.at.is_none() && !session.answered {
            self.place(id, out);
        }
    }

    fn list(&mut self, kind: ListKind, entries: &[ServerEntry], out: &mut Vec<Action>) {
        if kind == ListKind::FetchFailed {
            out.push(Action::WakeAt(2, self.now + SECOND / 2));
            return;
        }
        self.unsure &= kind == ListKind::Cached;
        if kind == ListKind::Cached && self.set.list_on_demand {
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
            let server = self.servers.list(entry);
            server.link_kb = (entry.units * self.set.link_kb_per_unit).max(1.0);
            server.entry.started = entry.started.map(|at| at.min(self.now));
        }
    }

    /// No short delivery for a while: an uplink carries what it is asked, and perhaps more.
    fn learn_uplinks(&mut self) {
        let learns = |rack: &Rack| rack.short_at + QUIET < self.now && rack.scale < SCALE_MAX;
        let mut full: BTreeSet<usize> =
            self.servers.in_use().filter_map(|(_, server)| server.entry.rack(self.set.racks)).collect();
        full.retain(|at| self.racks.get(*at).is_some_and(learns) && self.rack_load(*at) > LEARN_FROM);
        for (at, rack) in self.racks.iter_mut().enumerate() {
            let full = full.contains(&at);
            if rack.short_at + QUIET < self.now && (full || rack.scale < 1.0) {
                rack.scale = (rack.scale + if full { LEARN } else { LEARN / 5.0 }).min(SCALE_MAX);
            }
        }
    }

    fn serve_waiting(&mut self, out: &mut Vec<Action>) {
        let due = |s: &Session| s.wait_until.is_some_and(|at| at <= self.now);
        let due = self.sessions.iter().filter(|(_, s)| due(s)).map(|(id, _)| id.clone());
        for id in due.collect::<Vec<_>>() {
            self.place(&id, out);
        }
    }

    fn tick(&mut self, tag: u64, out: &mut Vec<Action>) {
        if tag == 2 {
            out.push(Action::FollowList);
            return;
        }
        self.serve_waiting(out);
        if tag == 0 {
            self.ticking = false;
            self.raise();
            self.learn_uplinks();
            let now = self.now;
            self.plans.retain(|_, plan| plan.1 + SESSION_MOVE_SPACING > now);
            let window = self.set.budget.map_or(0, |budget| budget.window).max(TAKEN_KEPT);
            self.taken.retain(|(at, ..)| at + window >= now);
            self.further.retain(|at| at + window >= now);
        }
    }
}
