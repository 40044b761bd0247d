//! State and capacity of boxes, without sockets: links, uplinks shared by racks, session limits, cold starts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde_json::{json, Value};

/// How long a box remembers the release of an attempt that has not arrived yet, us.
const RELEASE_MEMORY_US: u64 = 30_000_000;
/// Set-ups that a cold box accepts in a window beyond the computed limit.
const COLD_SET_UP_SLACK: f64 = 2.0;

/// Fixed properties of a box.
#[derive(Clone, Debug, PartialEq)]
pub struct BoxSpec {
    /// Number of the box.
    pub id: u32,
    /// Zone.
    pub zone: u32,
    /// Cell.
    pub cell: u32,
    /// Rack.
    pub rack: usize,
    /// Capacity of the link, kB/s.
    pub link_kb: f64,
    /// Maximum number of sessions.
    pub places: usize,
}

/// Properties that all boxes share: warm-up, overload, refusals and reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoxModel {
    /// Duration of the warm-up, us.
    pub warm_up: u64,
    /// Share of the full pace at the start of the warm-up.
    pub cold_from: f64,
    /// Multiple of the pace at which a cold box fails.
    pub fall_multiple: f64,
    /// Window in which set-ups at a cold box are counted, us.
    pub fall_window: u64,
    /// Link utilization from which set-ups are refused; 0 disables this.
    pub refuses_from: f64,
    /// Interval at which the load report is refreshed, us.
    pub report_every: u64,
    /// Duration of a set-up on a warm box, us.
    pub set_up_time: u64,
}

/// State of a box process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Runs and answers.
    Up,
    /// Runs, but neither answers nor resets connections.
    Silent,
    /// Ended; connections are refused.
    Dead,
}

/// A session at a box.
#[derive(Clone, Debug, PartialEq)]
pub struct BoxSession {
    /// Front that holds it.
    pub front: String,
    /// Current rung.
    pub rung: usize,
    /// Its rate, kB/s.
    pub rate_kb: f64,
    /// Opaque data that the front stored with the session.
    pub context: Value,
    /// Whether it plays; false during the set-up.
    pub is_playing: bool,
}

/// State of one box.
#[derive(Clone, Debug)]
pub struct BoxState {
    /// Fixed properties.
    pub spec: BoxSpec,
    /// State of its process.
    pub liveness: Liveness,
    /// Whether it accepts no new sessions.
    pub draining: bool,
    /// When its process started cold.
    pub cold_since: Option<u64>,
    /// Share of set-ups that fail at once.
    pub error_share: f64,
    /// Factor by which its link capacity is divided.
    pub slowdown: f64,
    /// Sessions by id and attempt.
    pub sessions: BTreeMap<(String, u32), BoxSession>,
    released: BTreeMap<(String, u32), u64>,
    /// Latest epoch that claimed each front incarnation.
    claims: BTreeMap<String, u64>,
    recent_set_ups: VecDeque<u64>,
    cached_report: (u64, [f64; 3]),
    reported_share: f64,
}

/// Decision of a box on a set-up.
#[derive(Clone, Debug, PartialEq)]
pub enum SetUpOutcome {
    /// Accepted; it plays after this time, us.
    Accepted(u64),
    /// Refused: full.
    Full,
    /// Refused: draining.
    Draining,
    /// Failed with an error.
    Failed,
    /// The attempt was released before it arrived.
    AlreadyReleased,
    /// The set-up overloaded the cold box, which fails.
    Overloaded,
}

/// All boxes and racks.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Boxes by number.
    pub boxes: BTreeMap<u32, BoxState>,
    /// Uplink capacity of each rack, kB/s.
    pub uplinks: Vec<f64>,
    /// Properties that all boxes share.
    pub model: BoxModel,
}

impl BoxState {
    /// A box; `cold_since` is the start of its process if it is still cold.
    pub fn new(spec: BoxSpec, cold_since: Option<u64>) -> BoxState {
        BoxState {
            spec,
            liveness: Liveness::Up,
            draining: false,
            cold_since,
            error_share: 0.0,
            slowdown: 1.0,
            sessions: BTreeMap::new(),
            released: BTreeMap::new(),
            claims: BTreeMap::new(),
            recent_set_ups: VecDeque::new(),
            cached_report: (0, [0.0; 3]),
            reported_share: 1.0,
        }
    }

    /// Sum of the rates of its sessions, kB/s.
    pub fn demand_kb(&self) -> f64 {
        self.sessions.values().map(|box_session| box_session.rate_kb).sum()
    }
}

impl Fleet {
    /// Share of its full pace that a box has reached.
    fn warm_fraction(&self, state: &BoxState, now: u64) -> f64 {
        let Some(since) = state.cold_since else { return 1.0 };
        let warmed = now.saturating_sub(since) as f64 / self.model.warm_up.max(1) as f64;
        (self.model.cold_from + (1.0 - self.model.cold_from) * warmed).min(1.0)
    }

    fn link_capacity_kb(&self, state: &BoxState, now: u64) -> f64 {
        (state.spec.link_kb * self.warm_fraction(state, now) / state.slowdown).max(1.0)
    }

    /// Demand on the uplink of a rack divided by its capacity.
    fn uplink_utilization(&self, rack: usize, now: u64) -> f64 {
        let in_rack =
            self.boxes.values().filter(|state| state.spec.rack == rack && state.liveness != Liveness::Dead);
        let demand: f64 = in_rack.map(|state| state.demand_kb().min(self.link_capacity_kb(state, now))).sum();
        demand / self.uplinks.get(rack).copied().unwrap_or(f64::MAX).max(1.0)
    }

    /// Share of their rates that the sessions at a box receive.
    pub fn share(&self, id: u32, now: u64) -> f64 {
        let Some(state) = self.boxes.get(&id) else { return 0.0 };
        let link = (self.link_capacity_kb(state, now) / state.demand_kb().max(1.0)).min(1.0);
        link / self.uplink_utilization(state.spec.rack, now).max(1.0)
    }

    /// Boxes whose share changed by more than 0.005 since it was last reported, with the new share.
    pub fn changed_shares(&mut self, now: u64) -> Vec<(u32, f64)> {
        let shares: Vec<(u32, f64)> = self.boxes.keys().map(|id| (*id, self.share(*id, now))).collect();
        let mut changed = Vec::new();
        for (id, share) in shares {
            if let Some(state) = self.boxes.get_mut(&id) {
                if (state.reported_share - share).abs() > 0.005 {
                    state.reported_share = share;
                    changed.push((id, share));
                }
            }
        }
        changed
    }

    /// Utilization of the link of a box and of the uplink of its rack.
    pub fn utilization(&self, id: u32, now: u64) -> (f64, f64) {
        let Some(state) = self.boxes.get(&id) else { return (0.0, 0.0) };
        (state.demand_kb() / self.link_capacity_kb(state, now), self.uplink_utilization(state.spec.rack, now))
    }

    /// Load report of a box. It is refreshed at the configured interval plus `extra_delay` us.
    pub fn load_report(&mut self, id: u32, now: u64, extra_delay: u64) -> Value {
        let every = self.model.report_every + extra_delay;
        let (link, uplink) = self.utilization(id, now);
        let Some(state) = self.boxes.get_mut(&id) else { return Value::Null };
        if state.cached_report.0 == 0 || state.cached_report.0 + every <= now {
            state.cached_report = (now.max(1), [state.sessions.len() as f64, link, uplink]);
        }
        let [streams, link, uplink] = state.cached_report.1;
        json!({"streams": streams, "link": link, "uplink": uplink})
    }

    /// Decides on a set-up. `failure_draw` is a draw from 0 to 1 that decides about immediate errors.
    pub fn set_up(
        &mut self,
        id: u32,
        key: &(String, u32),
        box_session: BoxSession,
        now: u64,
        failure_draw: f64,
    ) -> SetUpOutcome {
        let model = self.model;
        let (demand, _) = self.utilization(id, now);
        let warm_fraction = self.boxes.get(&id).map_or(1.0, |state| self.warm_fraction(state, now));
        let Some(state) = self.boxes.get_mut(&id) else { return SetUpOutcome::Failed };
        state.released.retain(|_, until| *until > now);
        if state.released.contains_key(key) {
            return SetUpOutcome::AlreadyReleased;
        }
        if state.draining {
            return SetUpOutcome::Draining;
        }
        if state.cold_since.is_some_and(|since| since + model.warm_up > now) {
            state.recent_set_ups.push_back(now);
            state.recent_set_ups.retain(|at| at + model.fall_window > now);
            let pace = state.spec.places as f64 / model.warm_up.max(1) as f64 * warm_fraction;
            let allowed = model.fall_multiple * pace * model.fall_window as f64 + COLD_SET_UP_SLACK;
            if state.recent_set_ups.len() as f64 > allowed {
                return SetUpOutcome::Overloaded;
            }
        }
        if failure_draw < state.error_share {
            return SetUpOutcome::Failed;
        }
        let full = model.refuses_from > 0.0 && demand >= model.refuses_from;
        if full || state.sessions.len() >= state.spec.places {
            return SetUpOutcome::Full;
        }
        state.sessions.insert(key.clone(), box_session);
        SetUpOutcome::Accepted((model.set_up_time as f64 / warm_fraction) as u64)
    }

    /// Ends a set-up. Returns whether the session plays; it may have been released meanwhile.
    pub fn finish_set_up(&mut self, id: u32, key: &(String, u32)) -> bool {
        let box_session = self.boxes.get_mut(&id).and_then(|state| state.sessions.get_mut(key));
        box_session.map(|box_session| box_session.is_playing = true).is_some()
    }

    /// Releases a session, or remembers the release of an attempt that has not arrived. Returns the session, if any.
    pub fn release(&mut self, id: u32, key: &(String, u32), now: u64) -> Option<BoxSession> {
        let state = self.boxes.get_mut(&id)?;
        state.released.insert(key.clone(), now + RELEASE_MEMORY_US);
        state.sessions.remove(key)
    }

    /// Changes the rung. Returns whether the session exists.
    pub fn set_rung(&mut self, id: u32, key: &(String, u32), rung: usize, rate_kb: f64) -> bool {
        let box_session = self.boxes.get_mut(&id).and_then(|state| state.sessions.get_mut(key));
        box_session.map(|box_session| (box_session.rung, box_session.rate_kb) = (rung, rate_kb)).is_some()
    }

    /// Ends the process of a box and returns the lost sessions.
    pub fn crash(&mut self, id: u32) -> Vec<((String, u32), BoxSession)> {
        let Some(state) = self.boxes.get_mut(&id) else { return Vec::new() };
        state.liveness = Liveness::Dead;
        state.released.clear();
        state.recent_set_ups.clear();
        std::mem::take(&mut state.sessions).into_iter().collect()
    }

    /// Starts the process again, cold.
    pub fn restart(&mut self, id: u32, now: u64) {
        if let Some(state) = self.boxes.get_mut(&id) {
            let spec = state.spec.clone();
            let (slowdown, reported_share) = (state.slowdown, state.reported_share);
            *state = BoxState { slowdown, reported_share, ..BoxState::new(spec, Some(now)) };
        }
    }

    /// Claims an incarnation of a front for the front of this epoch: its playing sessions now belong to that front
    /// and are returned. Returns nothing if a later epoch has claimed it.
    pub fn claim_incarnation(
        &mut self,
        id: u32,
        incarnation: &str,
        epoch: u64,
        front: &str,
    ) -> Option<Value> {
        let state = self.boxes.get_mut(&id)?;
        let latest_epoch = state.claims.entry(incarnation.to_owned()).or_insert(0);
        if *latest_epoch > epoch {
            return None;
        }
        let is_newer = *latest_epoch < epoch;
        *latest_epoch = epoch;
        let belongs =
            |session: &str| session.rsplit_once('-').is_some_and(|(prefix, _)| prefix == incarnation);
        if is_newer {
            // Set-ups in progress for an earlier epoch are dropped.
            state.sessions.retain(|(session, _), box_session| box_session.is_playing || !belongs(session));
        }
        let mut sessions = Vec::new();
        for ((session, attempt), box_session) in &mut state.sessions {
            if belongs(session) && box_session.is_playing {
                box_session.front = front.to_owned();
                sessions.push(json!({"session": session, "attempt": attempt, "rung": box_session.rung, "context": box_session.context}));
            }
        }
        Some(json!({"sessions": sessions}))
    }

    /// Whether an epoch later than this one has claimed the session.
    pub fn is_superseded(&self, id: u32, session: &str, epoch: Option<u64>) -> bool {
        let incarnation = session.rsplit_once('-').map_or(session, |(incarnation, _)| incarnation);
        let latest_epoch = self.boxes.get(&id).and_then(|state| state.claims.get(incarnation)).copied();
        latest_epoch.is_some_and(|latest_epoch| epoch.unwrap_or(0) < latest_epoch)
    }

    /// Playing sessions that a box holds for a front.
    pub fn playing_sessions(&self, id: u32, front: &str) -> Value {
        let Some(state) = self.boxes.get(&id) else { return json!({"sessions": []}) };
        let playing = state
            .sessions
            .iter()
            .filter(|(_, box_session)| box_session.front == front && box_session.is_playing);
        let session = |((session, attempt), box_session): (&(String, u32), &BoxSession)| json!({"session": session, "attempt": attempt, "rung": box_session.rung, "context": box_session.context});
        json!({"sessions": playing.map(session).collect::<Vec<_>>()})
    }

    /// Fronts that have playing sessions at a box, with one session of each.
    pub fn playing_fronts(&self, id: u32) -> Vec<(String, String)> {
        let mut seen = BTreeSet::new();
        let sessions = self.boxes.get(&id).into_iter().flat_map(|state| &state.sessions);
        let is_playing = sessions.filter(|(_, box_session)| box_session.is_playing);
        let first = is_playing.filter(|(_, box_session)| seen.insert(box_session.front.clone()));
        first.map(|((session, _), box_session)| (box_session.front.clone(), session.clone())).collect()
    }
}
