//! All decisions of salttally; the words used here (settings, events, actions) are in `src/interface.rs`.
//!
//! Read from the top: REM, then the guarded send and answer paths, the load account, the rungs, health,
//! the pace of cold servers, and last the events. A front's `Brain` knows only what its own events told it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::interface::*;
use crate::state::{hear, Heard, Rack, Server, Session};

/// One second.
const SECOND: Micros = 1_000_000;
/// REM's Min.th, share of the link: over the rungs' aim, so that moves stay the answer to a lasting crowd.
const MIN_TH: f64 = 0.8;
/// REM's Max.th, share of the link: just past the point from which delivery falls short.
const MAX_TH: f64 = 1.0;
/// REM's p_max where a move is free; the told price of a move takes from it.
const P_MAX: f64 = 0.8;
/// One move per server in this time: the load account must see the last one first.
const MOVE_SPACING: Micros = 5 * SECOND;
/// One move per session in this time; a viewer is not passed around.
const SESSION_MOVE_SPACING: Micros = 30 * SECOND;
/// A move pays only if the session is expected to play this long yet.
const MOVE_WORTHY: f64 = 12.0;
/// A plan for a moved viewer is kept this long: well over the gap of any move.
const PLAN_KEPT: Micros = 5 * SECOND;
/// From this share and a move's price on, a server with all its rungs down sheds a session: stalls cost more.
const SHED: f64 = 1.05;
/// Share of link or uplink that rungs are fitted to; the rest is for rates that vary by the second.
const AIM: f64 = 1.0;
/// Part of the room below `AIM` that a newcomer may take above its lowest rung: others will come.
const ROOM_PART: f64 = 0.45;
/// From this share on playing sessions are stepped down to `AIM`.
const HIGH: f64 = 1.06;
/// Below this share playing sessions may be stepped up; the gap to `AIM` is the hysteresis.
const LOW: f64 = 0.72;
/// Under this delivered share a link or uplink is short.
const SHORT: f64 = 0.98;
/// From this load on an uplink that delivers in full is taken to carry more than was thought.
const LEARN_FROM: f64 = 0.90;
/// How fast, as a share of the told uplink per tick.
const LEARN: f64 = 0.01;
/// An uplink must have delivered in full for so long.
const QUIET: Micros = 3 * SECOND;
/// Notes of short delivery come once a second: one older than this is over.
const NOTE_GAP: Micros = 3 * SECOND / 2;
/// A step up must earn this many times what the change costs.
const STEP_PAYS: f64 = 5.0;
/// No step up so soon after another change; a rung that swings costs at each turn.
const DWELL: Micros = 15 * SECOND;
/// Share up to which steps up may fill a link or uplink.
const RAISE_TO: f64 = 0.93;
/// Expected length of a session in seconds until sessions have been seen to end.
const LENGTH: f64 = 30.0;
/// An uplink is never taken to carry less or more than these multiples of the told mean.
const SCALE_MIN: f64 = 0.4;
const SCALE_MAX: f64 = 1.5;
/// Own changes are kept this long; a figure on a link is never older while sessions play there.
const CHANGES_KEPT: Micros = 30 * SECOND;
/// Load that a holder in another zone is taken to have more, over its price: a cut ends its sessions.
const AWAY: f64 = 2.5;
/// A link carries at least this part of what own sessions ask of it: true rates lie under the ladder's too.
const OWN_PART: f64 = 0.7;
/// A figure is believed for so many times the time between notes, and for this long at least.
const NOTES_KEPT: u64 = 3;
const FIGURE_KEPT: Micros = 6 * SECOND;
/// Age of a load report that comes with an answer: refreshed now and then, and under way.
const REPORT_AGE: Micros = SECOND / 2;
/// First time out for a server whose set-up failed; doubles with each further failure.
const OUT_FIRST: Micros = 2 * SECOND;
/// Longest time out: a server that has healed is found again within this.
const OUT_LONGEST: Micros = 8 * SECOND;
/// A server that turned a set-up away is sent others last for this long.
const FULL: Micros = SECOND;
/// Part of the pace that makes a cold server fall which all fronts together may use.
const COLD_PART: f64 = 0.5;
/// A server is doubted this long after its last failure.
const DOUBT: Micros = 15 * SECOND;
/// Part of the aim that an attempt gets while another could follow within the aim.
const ATTEMPT_PART: f64 = 0.45;
/// Regular look at waiting sessions and steps up; a held session is answered this long before its end.
const TICK: Micros = SECOND / 10;

/// Why a server may not be sent a session now.
enum Bar {
    Never,
    Until(Micros),
}

/// The session controller of one front.
pub struct Brain {
    set: Settings,
    rng: Pcg32,
    now: Micros,
    servers: BTreeMap<ServerId, Server>,
    racks: Vec<Rack>,
    sessions: BTreeMap<SessionId, Session>,
    /// Where moved viewers go when they come back, and who has been moved lately.
    plans: BTreeMap<ViewerId, (ServerId, Micros)>,
    lengths: Vec<f64>,
    taken: VecDeque<Micros>,
    further: VecDeque<Micros>,
    /// True until the list is known to be fresh: servers of unknown age count as cold.
    unsure: bool,
    ticking: bool,
    /// Sessions stepped by the event in hand; each is told once, whatever the number of steps.
    stepped: BTreeSet<SessionId>,
}

impl Brain {
    /// A front that has just started and knows nothing but its settings.
    pub fn new(set: Settings, seed: u64) -> Self {
        let rack = || Rack { scale: 1.0, ..Rack::default() };
        let racks = (0..set.racks.min(set.cells)).map(|_| rack()).collect();
        let lengths = vec![LENGTH; set.classes.len()];
        Brain {
            set,
            rng: Pcg32::seed_from_u64(seed),
            now: 0,
            servers: BTreeMap::new(),
            racks,
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

    // ---- REM: random early migration ----

    /// REM's probability of moving a session away, by the load of the chosen holder.
    pub fn move_probability(&self, load: f64) -> f64 {
        let p_max = P_MAX * (1.0 - 4.0 * self.set.move_price).clamp(0.1, 1.0);
        if load < MIN_TH {
            0.0
        } else if load < MAX_TH {
            p_max * (load - MIN_TH) / (MAX_TH - MIN_TH)
        } else {
            1.0
        }
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0
    }

    /// The ordinary path of a session: the least loaded holder, and REM's move when that one is loaded.
    fn place(&mut self, id: &SessionId, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get(id) else { return };
        let (viewer, floor) = (session.request.viewer, session.rate(session.class.floor));
        let planned =
            self.plans.get(&viewer).filter(|plan| session.request.moved && plan.1 + PLAN_KEPT > self.now);
        if let Some((server, _)) = planned.copied() {
            if session.attempts == 0 && self.barred(id, server).is_none() {
                return self.send(id, server, out);
            }
        }
        let Some(chosen) = self.least_loaded(id) else { return self.no_holder(id, out) };
        let load = self.load(chosen);
        let draw = self.draw();
        if draw < self.move_probability(load) && !self.shift(chosen, out) && load >= 1.0 {
            // No move possible and full: refused, unless the rungs there can make the room.
            let room = self.room(chosen, 1.0) + self.can_free(chosen);
            if self.places(chosen) >= 1.0 || room < floor {
                return self.refuse(id, out);
            }
        }
        self.send(id, chosen, out);
    }

    /// Moves one own session off the server to the least loaded holder below Min.th, if there is one.
    fn shift(&mut self, from: ServerId, out: &mut Vec<Action>) -> bool {
        let Some(server) = self.servers.get(&from) else { return false };
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
            let holder = self.holders(&session.request).into_iter().filter(|to| {
                *to != from && self.tier(*to) == 0 && self.load(*to) < MIN_TH && self.pace(*to).is_none()
            });
            let least = holder.min_by(|a, b| self.load(*a).total_cmp(&self.load(*b)));
            if let Some(to) = least {
                best = Some((value, id.clone(), to));
            }
        }
        let Some((_, id, to)) = best else { return false };
        let Some(session) = self.sessions.get_mut(&id) else { return false };
        session.moving = true;
        self.plans.insert(session.request.viewer, (to, self.now));
        if let Some(server) = self.servers.get_mut(&from) {
            server.moved_at = Some(self.now);
        }
        out.push(Action::Move(id));
        true
    }

    /// The least loaded holder that may be sent this session; doubted ones only when there is no other.
    fn least_loaded(&self, id: &SessionId) -> Option<ServerId> {
        let session = self.sessions.get(id)?;
        let free =
            self.holders(&session.request).into_iter().filter(|server| self.barred(id, *server).is_none());
        let rank = |server: &ServerId| {
            let again = u32::from(session.tried.contains(server));
            let away = self.servers.get(server).is_some_and(|s| s.entry.zone != self.set.zone);
            let bias = if away { self.set.cross_price * AWAY } else { 0.0 };
            (self.tier(*server), again, self.load(*server) + bias)
        };
        let ranked = free.map(|server| (rank(&server), server));
        let least = ranked.min_by(|(a, _), (b, _)| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        least.map(|(_, server)| server)
    }

    /// Listed servers that hold the title.
    fn holders(&self, request: &Request) -> Vec<ServerId> {
        let held = self.servers.iter().filter(|(_, s)| request.held_in(s.entry.cell, self.set.cells));
        held.map(|(id, _)| *id).collect()
    }

    // ---- The one way to a server, and the one way to an answer ----

    /// Why this session must not be sent to this server now. All rules on sending stand here.
    fn barred(&self, id: &SessionId, to: ServerId) -> Option<Bar> {
        let (Some(session), Some(server)) = (self.sessions.get(id), self.servers.get(&to)) else {
            return Some(Bar::Never);
        };
        let (class, top) = (&session.class, session.top);
        let over = session.answered || session.at.is_some() || self.now >= session.deadline;
        if over || top < class.floor || server.entry.state != ServerState::Ready {
            return Some(Bar::Never);
        }
        if !self.holders(&session.request).contains(&to) || session.attempts >= self.set.max_attempts {
            return Some(Bar::Never);
        }
        if let Some((ran, sent)) = session.ran {
            let same = |get: fn(&ServerEntry) -> u32| {
                self.servers.get(&ran).is_some_and(|s| get(&s.entry) == get(&server.entry))
            };
            let known = match class.group {
                Group::All => true,
                Group::Zone => same(|entry| entry.zone),
                Group::Cell => same(|entry| entry.cell),
            };
            match class.effect {
                Effect::Safe => {}
                Effect::Deduplicated if known && self.now < sent + class.window => {}
                _ => return Some(Bar::Never),
            }
        }
        if class.seats > 0 {
            let title = (session.request.title, session.request.class);
            let same = |s: &&Session| s.at.is_some() && (s.request.title, s.request.class) == title;
            if self.sessions.values().filter(same).count() >= class.seats {
                return Some(Bar::Never);
            }
        }
        if let (Some(budget), true) = (self.set.budget, session.attempts > 0) {
            let taken = self.taken.iter().filter(|at| **at + budget.window > self.now).count();
            let further = self.further.iter().filter(|at| **at + budget.window >= self.now).count();
            if (further + 1) as f64 > budget.free + budget.share * taken as f64 {
                return Some(Bar::Never);
            }
        }
        self.pace(to).map(Bar::Until)
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
        session.at = Some(to);
        session.sent = now;
        session.rung = rung;
        session.wait_until = None;
        session.tried.push(to);
        if let Some(server) = self.servers.get_mut(&to) {
            server.cold_sent = Some(now);
        }
        self.add(to, kb, 1);
        out.push(Action::SetRung(id.clone(), rung));
        out.push(Action::SetUp(id.clone(), to, time_out));
    }

    /// No holder may be sent the session now: it waits for its turn at a cold one in its aim, or is refused.
    fn no_holder(&mut self, id: &SessionId, out: &mut Vec<Action>) {
        let Some(session) = self.sessions.get(id) else { return };
        let aim = session.class.aim;
        let last = (session.taken + aim / 2).min(session.deadline.saturating_sub(TICK));
        let turns =
            self.holders(&session.request).into_iter().filter_map(|server| match self.barred(id, server) {
                Some(Bar::Until(at)) if at < last && self.tier(server) < 2 => Some(at),
                _ => None,
            });
        let Some(turn) = turns.min() else { return self.refuse(id, out) };
        if let Some(session) = self.sessions.get_mut(id) {
            session.wait_until = Some(turn);
        }
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
        out.push(if harmless || !may_have_run {
            Action::Refuse(id.clone(), self.set.max_hold_off)
        } else {
            Action::Fail(id.clone())
        });
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
        let Some(server) = self.servers.get(&id) else { return 0.0 };
        let Some(places) = self.set.kind_streams.get(server.entry.kind as usize) else { return 0.0 };
        let own = self.sessions.values().filter(|s| s.at == Some(id)).count() as f64;
        let used = match server.streams {
            _ if server.full_until > self.now => return 1.0,
            Some((used, at)) => {
                let since = server.changes.iter().filter(|c| c.0 > at);
                used + since.map(|c| f64::from(c.2)).sum::<f64>()
            }
            None => own,
        };
        used.max(own) / f64::from((*places).max(1))
    }

    /// Share of the told link that is asked: the latest report, and own changes since.
    fn link_load(&self, id: ServerId) -> f64 {
        let Some(server) = self.servers.get(&id) else { return 0.0 };
        let link = self.link(server);
        match self.fresh(server.asked) {
            Some((asked, at)) => (asked + server.since(at) / link).max(server.own_kb / link * OWN_PART),
            None => server.own_kb * f64::from(self.set.fronts.max(1)) / link,
        }
    }

    /// A figure that is not too old. Danger: the last word on what was lost keeps its successors empty.
    fn fresh(&self, heard: Heard) -> Heard {
        let kept = (self.set.note_every * NOTES_KEPT).max(FIGURE_KEPT) + self.set.note_age;
        heard.filter(|(_, at)| at + kept > self.now)
    }

    fn link(&self, server: &Server) -> f64 {
        let cold = self.cold(server).is_some();
        server.link_kb.max(1.0) * if cold { self.set.cold_from.clamp(0.1, 1.0) } else { 1.0 }
    }

    fn rack_of(&self, id: ServerId) -> Option<usize> {
        self.servers.get(&id).map(|s| s.entry.rack(self.set.racks))?
    }

    fn uplink(&self, rack: usize) -> f64 {
        self.racks.get(rack).map_or(1.0, |r| (self.set.uplink_kb * r.scale).max(1.0))
    }

    fn members(&self, rack: usize) -> impl Iterator<Item = (&ServerId, &Server)> {
        self.servers.iter().filter(move |(_, s)| s.entry.rack(self.set.racks) == Some(rack))
    }

    /// Share of the rack's uplink that is asked: measured where it is told, else summed over its links.
    fn rack_load(&self, rack: usize) -> f64 {
        let Some(state) = self.racks.get(rack) else { return 0.0 };
        if self.set.uplink_kb <= 0.0 {
            return 0.0;
        }
        let (members, uplink) = (self.members(rack), self.uplink(rack));
        match self.fresh(state.asked) {
            Some((asked, at)) => asked + members.map(|(_, s)| s.since(at)).sum::<f64>() / uplink,
            None => members.map(|(id, s)| self.link_load(*id) * self.link(s)).sum::<f64>() / uplink,
        }
    }

    /// Books a change of own demand at a server.
    fn add(&mut self, id: ServerId, kb: f64, streams: i32) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(&id) {
            server.own_kb = (server.own_kb + kb).max(0.0);
            server.changes.push_back((now, kb, streams));
            while server.changes.front().is_some_and(|c| c.0 + CHANGES_KEPT < now) {
                server.changes.pop_front();
            }
        }
    }

    /// Takes in a figure on a link as it was at a moment.
    fn hear_link(&mut self, id: ServerId, asked: f64, at: Micros) {
        if let Some(server) = self.servers.get_mut(&id) {
            hear(&mut server.asked, asked, at);
        }
    }

    fn hear_uplink(&mut self, id: ServerId, asked: f64, at: Micros) {
        if let Some(rack) = self.rack_of(id).and_then(|rack| self.racks.get_mut(rack)) {
            hear(&mut rack.asked, asked, at);
        }
    }

    /// Takes in a load report that came with an answer.
    fn hear_report(&mut self, id: ServerId, report: &[f64]) {
        let at = self.now.saturating_sub(REPORT_AGE);
        for (field, value) in self.set.reports.clone().into_iter().zip(report.iter().copied()) {
            match field {
                // A capped figure at its cap hides by how much the link is over.
                ReportField::LinkCapped if value >= SHORT => {
                    let known = self.link_load(id);
                    self.hear_link(id, known.max(1.0), at);
                }
                ReportField::LinkCapped | ReportField::Link => self.hear_link(id, value, at),
                ReportField::Uplink => self.hear_uplink(id, value, at),
                ReportField::Streams => {
                    if let Some(server) = self.servers.get_mut(&id) {
                        hear(&mut server.streams, value, at);
                    }
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
        let Some(server) = self.servers.get_mut(&id) else { return };
        let again = server.short.is_some_and(|(_, last)| last + NOTE_GAP > now && last < now);
        server.short = (0.01..SHORT).contains(&share).then_some((share, now));
        if server.short.is_none() {
            return;
        }
        let over = 1.0 / share;
        let Some(rack) = self.rack_of(id) else {
            return self.hear_link(id, over.max(self.link_load(id)), at);
        };
        let using = self.members(rack).filter(|(_, s)| s.own_kb > 0.0).count();
        let short = |s: &Server| s.short.is_some_and(|(_, last)| last + NOTE_GAP > now);
        let short = self.members(rack).filter(|(_, s)| short(s)).count();
        if short > 1 && short * 2 > using {
            let since: f64 = self.members(rack).map(|(_, s)| s.since(at)).sum();
            let load = self.rack_load(rack) - since / self.uplink(rack);
            if let Some(state) = self.racks.get_mut(rack) {
                if state.asked.is_none() && at > state.relieved {
                    state.scale = (state.scale * load / over).clamp(SCALE_MIN, SCALE_MAX);
                    state.short_at = at;
                }
            }
        } else if self.link_load(id) < over
            && self.rack_load(rack) < HIGH
            && (again || self.link_load(id) > 0.9)
        {
            self.hear_link(id, over, at);
        }
    }

    // ---- Rungs ----

    /// Seconds that the session is expected to play yet.
    fn left(&self, session: &Session) -> f64 {
        let mean = self.lengths.get(session.request.class).copied().unwrap_or(LENGTH);
        let age = (self.now - session.playing.unwrap_or(self.now)) as f64 / SECOND as f64;
        match session.request.length {
            // A hint is rough: a session past it plays on for a while.
            Some(length) => (length as f64 / SECOND as f64 - age).max(0.15 * mean),
            None => mean,
        }
    }

    /// kB a second that server and rack can take below a share.
    fn room(&self, id: ServerId, aim: f64) -> f64 {
        let rack = self.rack_of(id).map_or(f64::MAX, |rack| (aim - self.rack_load(rack)) * self.uplink(rack));
        let link = self.servers.get(&id).map_or(0.0, |s| (aim - self.link_load(id)) * self.link(s));
        link.min(rack)
    }

    fn can_free(&self, at: ServerId) -> f64 {
        let there = self.sessions.values().filter(|s| s.at == Some(at) && s.playing.is_some());
        there.map(|s| s.rate(s.rung) - s.rate(s.class.floor)).sum()
    }

    /// The own playing session whose step down loses the least worth for each kB, and that loss.
    fn cheapest(&self, within: impl Fn(&Session) -> bool) -> Option<(SessionId, f64)> {
        let steps = self
            .sessions
            .iter()
            .filter(|(_, s)| s.playing.is_some() && !s.moving && s.rung > s.class.floor && within(s));
        let loss = |s: &Session| {
            let kb = s.rate(s.rung) - s.rate(s.rung - 1);
            // The change is paid once for any number of steps.
            let change = if s.changed == self.now { 0.0 } else { s.class.gain * self.set.change_cost_s };
            (s.worth(s.rung) - s.worth(s.rung - 1) + change / self.left(s).max(1.0)) / kb.max(1.0)
        };
        let losses = steps.map(|(id, s)| (id, loss(s)));
        losses.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(id, loss)| (id.clone(), loss))
    }

    /// The rung for a newcomer: as high as the room allows, with room made by sessions that earn less for it.
    fn fit(&mut self, id: &SessionId, to: ServerId) -> usize {
        let Some(session) = self.sessions.get(id) else { return 0 };
        let (top, mut rung) = (session.top, session.class.floor);
        let rates: Vec<f64> = (0..=top).map(|rung| session.rate(rung)).collect();
        let rate = |rung: usize| rates.get(rung).copied().unwrap_or(f64::MAX);
        let room = self.room(to, AIM) * ROOM_PART;
        while rate(rung + 1) <= room {
            rung += 1;
        }
        let mut over = rate(rung) - self.room(to, HIGH);
        while over > 0.0 {
            let Some((other, _)) = self.cheapest(|s| s.at == Some(to)) else { break };
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

    /// Steps own sessions down where a link or uplink is too full. All fronts hear of it at the same time, so
    /// each takes only its own sessions' share of the excess.
    fn relieve(&mut self, at: ServerId, out: &mut Vec<Action>) {
        let load = self.link_load(at);
        let Some(server) = self.servers.get(&at) else { return };
        if load > HIGH && server.asked.is_some_and(|asked| asked.1 > server.relieved) {
            let left = self.step_down(server.own_kb * (1.0 - AIM / load), load > 1.0, |_, s| s == at);
            // Exception to REM: the ladder is used up and the link still short, so a session moves as above
            // Max.th, though no newcomer has come. Danger: a crowd on few holders starves them all.
            if left > 0.0 && load >= SHED + self.set.move_price {
                self.shift(at, out);
            }
            if let Some(server) = self.servers.get_mut(&at) {
                server.relieved = self.now;
            }
        }
        let Some(rack) = self.rack_of(at) else { return };
        let (load, summed) = (self.rack_load(rack), self.set.note_every + self.set.note_age);
        let Some(state) = self.racks.get(rack) else { return };
        let heard = state.asked.map_or(state.short_at.max(self.now.saturating_sub(summed)), |asked| asked.1);
        if load > HIGH && heard > state.relieved {
            let own: f64 = self.members(rack).map(|(_, s)| s.own_kb).sum();
            let inside = |brain: &Brain, s: ServerId| brain.rack_of(s) == Some(rack);
            let left = self.step_down(own * (1.0 - AIM / load), load > 1.0, inside);
            if left > 0.0 && load >= SHED + self.set.move_price {
                for server in self.members(rack).map(|(id, _)| *id).collect::<Vec<_>>() {
                    self.shift(server, out);
                }
            }
            if let Some(state) = self.racks.get_mut(rack) {
                state.relieved = self.now;
            }
        }
    }

    fn step_down(&mut self, mut need: f64, short: bool, inside: impl Fn(&Brain, ServerId) -> bool) -> f64 {
        while need > 0.0 {
            let Some((id, _)) = self.cheapest(|s| s.at.is_some_and(|at| inside(self, at))) else { break };
            let Some(session) = self.sessions.get(&id) else { break };
            let lower = session.rung.saturating_sub(1);
            let frees = session.rate(session.rung) - session.rate(lower);
            // A part of a step is drawn for, so that the fronts together free what is needed.
            if !short && need < frees * self.draw() {
                return 0.0;
            }
            need -= self.step(&id, lower);
        }
        need
    }

    /// Steps own sessions up where there is lasting room and the time left pays for the change.
    fn raise(&mut self) {
        let fronts = f64::from(self.set.fronts.max(1));
        for at in self.servers.keys().copied().collect::<Vec<_>>() {
            let Some(server) = self.servers.get(&at) else { continue };
            let heard = server.asked.is_some_and(|asked| asked.1 > server.stepped_up);
            if !heard || server.entry.state != ServerState::Ready || self.load(at) > LOW {
                continue;
            }
            let room = self.room(at, RAISE_TO);
            let step = |(id, s): (&SessionId, &Session)| {
                let kb = |rung| s.rate(rung) - s.rate(s.rung);
                let fits = |rung: &usize| kb(*rung) <= room;
                let to = (s.rung + 1..=s.top).take_while(fits).last()?;
                let more = s.worth(to) - s.worth(s.rung);
                let pays = more * self.left(s) > STEP_PAYS * self.set.change_cost_s * s.class.gain;
                let able =
                    s.playing.is_some() && !s.moving && s.at == Some(at) && s.changed + DWELL < self.now;
                (able && pays).then(|| (id.clone(), to, kb(to), more / kb(to).max(1.0)))
            };
            let best = self.sessions.iter().filter_map(step).max_by(|a, b| a.3.total_cmp(&b.3));
            let Some((id, to, kb, _)) = best else { continue };
            let draw = self.draw();
            if let Some(server) = self.servers.get_mut(&at) {
                server.stepped_up = self.now;
            }
            if room / fronts > kb * draw {
                self.step(&id, to);
            }
        }
    }

    // ---- Health ----

    /// 0: trusted; 1: has failed not long ago; 2: out for now.
    fn tier(&self, id: ServerId) -> u32 {
        let Some(server) = self.servers.get(&id) else { return 2 };
        if server.out_until > self.now {
            2
        } else {
            u32::from(server.failures > 0 && server.failed_at.is_some_and(|at| at + DOUBT > self.now))
        }
    }

    /// One record of trouble from all that ends badly: errors, silence, broken connections.
    fn failed(&mut self, id: ServerId, down: bool) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.failures = (server.failures + 1).min(8);
        server.failed_at = Some(now);
        let time = (OUT_FIRST << (server.failures - 1).min(4)).min(OUT_LONGEST);
        server.out_until = server.out_until.max(now + time);
        if down {
            // It may be back at any time, and cold: what the list says of its age is void.
            server.cold_since = Some(now);
        }
    }

    fn worked(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.failures = server.failures.saturating_sub(1);
            server.out_until = 0;
        }
    }

    // ---- Pace of cold servers ----

    /// When the warm-up of a server began, if it may be cold.
    fn cold(&self, server: &Server) -> Option<Micros> {
        let told = server.entry.started.or(if self.unsure { Some(self.now) } else { None });
        let since = server.cold_since.max(told);
        since.filter(|at| at + self.set.warm_up > self.now)
    }

    /// When this front may next send to a server that may be cold, if not now. The fronts take slots in
    /// turn by their place, so that together they use a part of the pace that makes it fall, without a word
    /// between them. Danger: viewers that come back in a wave push over what has just started.
    fn pace(&self, id: ServerId) -> Option<Micros> {
        let server = self.servers.get(&id)?;
        self.cold(server)?;
        let streams = self.set.kind_streams.get(server.entry.kind as usize).copied().unwrap_or(1).max(1);
        let multiple = (self.set.fall_multiple * COLD_PART).max(COLD_PART);
        let pace = f64::from(streams) * self.set.cold_from.max(0.05) * multiple;
        let length = ((self.set.warm_up as f64 / pace) as Micros).max(1);
        let (slot, fronts) = (self.now / length, u64::from(self.set.fronts.max(1)));
        let ahead = (u64::from(self.set.place) % fronts + fronts - slot % fronts) % fronts;
        let soon = server.cold_sent.is_some_and(|at| at + length > self.now);
        let wait = if ahead == 0 && soon { fronts } else { ahead };
        (wait > 0).then_some((slot + wait) * length)
    }

    // ---- Events ----

    /// Takes in one event; what is to be done is added to `out`.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        if self.now == 0 {
            self.racks.iter_mut().for_each(|rack| rack.short_at = now);
        }
        self.now = self.now.max(now);
        match event {
            Event::Servers(kind, entries) => self.list(*kind, entries, out),
            Event::Request(request) => match self.set.classes.get(request.class) {
                None => out.push(Action::Refuse(request.session.clone(), self.set.max_hold_off)),
                Some(class) => {
                    self.taken.push_back(self.now);
                    self.sessions.insert(
                        request.session.clone(),
                        Session::new(request, class, &self.set.ladder, self.now),
                    );
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
            Event::Left(id) => {
                // An attempt that is out still holds its seat until it ends.
                self.sessions.retain(|other, s| other != id || s.at.is_some());
                self.sessions.entry(id.clone()).and_modify(|s| s.answered = true);
            }
            Event::Note { session, server, note } => {
                let fresh = self.sessions.get(session).is_some_and(|s| s.playing == Some(self.now));
                let at = if fresh { self.now } else { self.now.saturating_sub(self.set.note_age) };
                match note {
                    Note::Delivered(share) => self.hear_delivered(*server, *share),
                    Note::Rung(rung) => {
                        let Some(known) = self.sessions.get(session) else { return };
                        let more = known.rate(*rung) - known.rate(known.rung);
                        self.sessions.entry(session.clone()).and_modify(|s| s.rung = *rung);
                        self.add(*server, more, 0);
                    }
                    Note::Link(asked) => self.hear_link(*server, *asked, at),
                    Note::Uplink(asked) => self.hear_uplink(*server, *asked, at),
                }
                self.relieve(*server, out);
            }
            Event::Probed { server, report, .. } => self.hear_report(*server, report),
            Event::Peer(_) => {}
            Event::Wake(tag) => self.tick(*tag, out),
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
        if !outcome.never_ran() {
            session.ran = Some((at, session.sent));
        }
        let (class, kb) = (session.request.class, session.rate(session.rung));
        self.add(at, -kb, -1);
        let draining = self.servers.get(&at).is_some_and(|s| s.entry.state != ServerState::Ready);
        match outcome {
            Outcome::Ok => {
                if let (Some(since), Some(mean)) = (playing, self.lengths.get_mut(class)) {
                    *mean += 0.05 * ((self.now - since) as f64 / SECOND as f64 - *mean);
                }
            }
            Outcome::Full if draining => self.failed(at, false),
            Outcome::Full => {
                // Its link is full, or if that is known not to be so, its places are.
                let known = self.link_load(at);
                if self.set.refuses_from > 0.0 && known > HIGH * self.set.refuses_from {
                    self.hear_link(at, known.max(self.set.refuses_from), self.now);
                }
                if let Some(server) = self.servers.get_mut(&at) {
                    server.full_until = self.now + FULL;
                }
            }
            Outcome::Failed => self.failed(at, false),
            Outcome::TimedOut | Outcome::NoConnection | Outcome::Broken if !draining => self.failed(at, true),
            _ => {}
        }
        if playing.is_some() || last || answered {
            self.sessions.remove(id);
        } else {
            self.place(id, out);
        }
    }

    fn list(&mut self, kind: ListKind, entries: &[ServerEntry], out: &mut Vec<Action>) {
        if kind == ListKind::Lost {
            out.push(Action::WakeAt(2, self.now + SECOND / 2));
            return;
        }
        self.unsure &= kind == ListKind::Remembered;
        if kind == ListKind::Remembered && self.set.list_on_demand {
            out.push(Action::FollowList);
        }
        if kind != ListKind::Changes {
            let listed = |id: &ServerId| entries.iter().any(|entry| entry.server == *id);
            self.servers.retain(|id, _| listed(id));
        }
        for entry in entries {
            if entry.state == ServerState::Gone {
                self.servers.remove(&entry.server);
                continue;
            }
            let server = self.servers.entry(entry.server).or_default();
            if entry.started > server.entry.started {
                // A new process: what was known of the old one does not count.
                *server = Server::default();
            }
            server.link_kb = (entry.units * self.set.link_kb_per_unit).max(1.0);
            server.entry = entry.clone();
            server.entry.started = entry.started.map(|at| at.min(self.now));
        }
    }

    fn tick(&mut self, tag: u64, out: &mut Vec<Action>) {
        if tag == 2 {
            out.push(Action::FollowList);
            return;
        }
        let due = |s: &Session| s.wait_until.is_some_and(|at| at <= self.now);
        let waiting: Vec<SessionId> =
            self.sessions.iter().filter(|(_, s)| due(s)).map(|(id, _)| id.clone()).collect();
        for id in waiting {
            self.place(&id, out);
        }
        if tag == 0 {
            self.ticking = false;
            self.raise();
            let now = self.now;
            for at in 0..self.racks.len() {
                // No short delivery for a while: the uplink carries what it is asked, and perhaps more.
                let full = self.rack_load(at) > LEARN_FROM && self.members(at).any(|(_, s)| s.own_kb > 0.0);
                let Some(rack) = self.racks.get_mut(at) else { continue };
                if rack.short_at + QUIET < now && (full || rack.scale < 1.0) {
                    rack.scale = (rack.scale + if full { LEARN } else { LEARN / 5.0 }).min(SCALE_MAX);
                }
            }
            self.plans.retain(|_, plan| plan.1 + SESSION_MOVE_SPACING > now);
            let window = self.set.budget.map_or(0, |budget| budget.window);
            for row in [&mut self.taken, &mut self.further] {
                while row.front().is_some_and(|at| at + window < now) {
                    row.pop_front();
                }
            }
        }
    }
}
