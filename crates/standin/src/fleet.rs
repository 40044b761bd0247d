//! What boxes hold and deliver, with no socket: links, uplinks that racks share, places, cold starts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde_json::{json, Value};

/// How long a box remembers that an attempt was released before it came, us.
const BARRED: u64 = 30_000_000;
/// Set-ups beyond the sum that a cold box bears in a window.
const SLACK: f64 = 2.0;

/// A box as it is built; all the rest is state.
#[derive(Clone, Debug, PartialEq)]
pub struct Build {
    /// Its number.
    pub id: u32,
    /// Zone.
    pub zone: u32,
    /// Cell.
    pub cell: u32,
    /// Rack.
    pub rack: usize,
    /// Link, kB a second.
    pub link_kb: f64,
    /// Streams at most.
    pub places: usize,
}

/// What cold boxes bear, and when a box turns set-ups away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Nature {
    /// Time to warm up, us.
    pub warm_up: u64,
    /// Part of its pace at the start.
    pub cold_from: f64,
    /// Multiple of the pace at which it falls.
    pub fall_multiple: f64,
    /// Window of that, us.
    pub fall_window: u64,
    /// Share of the link from which set-ups are turned away; 0 is never.
    pub refuses_from: f64,
    /// A load report is made anew this often, us.
    pub report_every: u64,
    /// Time of a set-up on a warm box, us.
    pub set_up: u64,
}

/// Whether a box's process runs and answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It does.
    Up,
    /// It runs but neither answers nor resets.
    Silent,
    /// It is gone; connections are refused.
    Dead,
}

/// A session at a box.
#[derive(Clone, Debug, PartialEq)]
pub struct Play {
    /// By which front.
    pub front: String,
    /// Rung in force.
    pub rung: usize,
    /// Its rate, kB a second.
    pub rate_kb: f64,
    /// What the front gave it to keep.
    pub context: Value,
    /// Whether it plays, or is being set up.
    pub begun: bool,
}

/// One box.
#[derive(Clone, Debug)]
pub struct BoxState {
    /// As built.
    pub build: Build,
    /// Whether it runs.
    pub life: Life,
    /// Takes no new sessions.
    pub draining: bool,
    /// When its process started cold.
    pub cold_since: Option<u64>,
    /// Share of set-ups that fail at once.
    pub errors: f64,
    /// Its link gives so many times less.
    pub slower: f64,
    /// Sessions by id and attempt.
    pub plays: BTreeMap<(String, u32), Play>,
    barred: BTreeMap<(String, u32), u64>,
    /// Lives of fronts that others go on with, and by which epoch.
    lives: BTreeMap<String, u64>,
    recent: VecDeque<u64>,
    report: (u64, [f64; 3]),
    told_share: f64,
}

/// What a box says to a set-up.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// It plays after so many us.
    Sets(u64),
    /// Full.
    Full,
    /// Draining.
    Draining,
    /// An error.
    Fails,
    /// This attempt was released before it came.
    Barred,
    /// The box has just been pushed over.
    Fell,
}

/// All boxes and racks.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// By number.
    pub boxes: BTreeMap<u32, BoxState>,
    /// Uplink of each rack, kB a second.
    pub uplinks: Vec<f64>,
    /// What all boxes have in common.
    pub nature: Nature,
}

impl BoxState {
    /// A box; `cold_since` is when its process started, if that is not long ago.
    pub fn new(build: Build, cold_since: Option<u64>) -> BoxState {
        BoxState {
            build,
            life: Life::Up,
            draining: false,
            cold_since,
            errors: 0.0,
            slower: 1.0,
            plays: BTreeMap::new(),
            barred: BTreeMap::new(),
            lives: BTreeMap::new(),
            recent: VecDeque::new(),
            report: (0, [0.0; 3]),
            told_share: 1.0,
        }
    }

    /// What its sessions ask, kB a second.
    pub fn asked(&self) -> f64 {
        self.plays.values().map(|play| play.rate_kb).sum()
    }
}

impl Fleet {
    /// Part of its pace that a box has by now.
    fn warmth(&self, state: &BoxState, now: u64) -> f64 {
        let Some(since) = state.cold_since else { return 1.0 };
        let warmed = now.saturating_sub(since) as f64 / self.nature.warm_up.max(1) as f64;
        (self.nature.cold_from + (1.0 - self.nature.cold_from) * warmed).min(1.0)
    }

    fn link(&self, state: &BoxState, now: u64) -> f64 {
        (state.build.link_kb * self.warmth(state, now) / state.slower).max(1.0)
    }

    /// What is asked of a rack's uplink over what it carries.
    fn uplink(&self, rack: usize, now: u64) -> f64 {
        let there = self.boxes.values().filter(|state| state.build.rack == rack && state.life != Life::Dead);
        let asked: f64 = there.map(|state| state.asked().min(self.link(state, now))).sum();
        asked / self.uplinks.get(rack).copied().unwrap_or(f64::MAX).max(1.0)
    }

    /// Share of their rates that the sessions at a box get.
    pub fn share(&self, id: u32, now: u64) -> f64 {
        let Some(state) = self.boxes.get(&id) else { return 0.0 };
        let link = (self.link(state, now) / state.asked().max(1.0)).min(1.0);
        link / self.uplink(state.build.rack, now).max(1.0)
    }

    /// Boxes whose share has changed enough since it was last told, with the new one.
    pub fn changed_shares(&mut self, now: u64) -> Vec<(u32, f64)> {
        let shares: Vec<(u32, f64)> = self.boxes.keys().map(|id| (*id, self.share(*id, now))).collect();
        let mut changed = Vec::new();
        for (id, share) in shares {
            if let Some(state) = self.boxes.get_mut(&id) {
                if (state.told_share - share).abs() > 0.005 {
                    state.told_share = share;
                    changed.push((id, share));
                }
            }
        }
        changed
    }

    /// What is asked of a box's link over what it gives, and the same of its rack's uplink.
    pub fn fullness(&self, id: u32, now: u64) -> (f64, f64) {
        let Some(state) = self.boxes.get(&id) else { return (0.0, 0.0) };
        (state.asked() / self.link(state, now), self.uplink(state.build.rack, now))
    }

    /// The load report of a box; it is made anew now and then, `late` us before it is given.
    pub fn load(&mut self, id: u32, now: u64, late: u64) -> Value {
        let every = self.nature.report_every + late;
        let (link, uplink) = self.fullness(id, now);
        let Some(state) = self.boxes.get_mut(&id) else { return Value::Null };
        if state.report.0 == 0 || state.report.0 + every <= now {
            state.report = (now.max(1), [state.plays.len() as f64, link, uplink]);
        }
        let [streams, link, uplink] = state.report.1;
        json!({"streams": streams, "link": link, "uplink": uplink})
    }

    /// A set-up has come. `luck` is a draw from 0 to 1 for fast errors.
    pub fn set_up(&mut self, id: u32, key: &(String, u32), play: Play, now: u64, luck: f64) -> Taken {
        let nature = self.nature;
        let (asked, _) = self.fullness(id, now);
        let warmth = self.boxes.get(&id).map_or(1.0, |state| self.warmth(state, now));
        let Some(state) = self.boxes.get_mut(&id) else { return Taken::Fails };
        state.barred.retain(|_, until| *until > now);
        if state.barred.contains_key(key) {
            return Taken::Barred;
        }
        if state.draining {
            return Taken::Draining;
        }
        if state.cold_since.is_some_and(|since| since + nature.warm_up > now) {
            state.recent.push_back(now);
            state.recent.retain(|at| at + nature.fall_window > now);
            let pace = state.build.places as f64 / nature.warm_up.max(1) as f64 * warmth;
            let most = nature.fall_multiple * pace * nature.fall_window as f64 + SLACK;
            if state.recent.len() as f64 > most {
                return Taken::Fell;
            }
        }
        if luck < state.errors {
            return Taken::Fails;
        }
        let full = nature.refuses_from > 0.0 && asked >= nature.refuses_from;
        if full || state.plays.len() >= state.build.places {
            return Taken::Full;
        }
        state.plays.insert(key.clone(), play);
        Taken::Sets((nature.set_up as f64 / warmth) as u64)
    }

    /// A set-up is done; whether the session plays now, or was released meanwhile.
    pub fn begin(&mut self, id: u32, key: &(String, u32)) -> bool {
        let play = self.boxes.get_mut(&id).and_then(|state| state.plays.get_mut(key));
        play.map(|play| play.begun = true).is_some()
    }

    /// A session is released, or an attempt barred that has not come. Returns whether it played.
    pub fn release(&mut self, id: u32, key: &(String, u32), now: u64) -> Option<Play> {
        let state = self.boxes.get_mut(&id)?;
        state.barred.insert(key.clone(), now + BARRED);
        state.plays.remove(key)
    }

    /// A change of rung; whether there is such a session.
    pub fn set_rung(&mut self, id: u32, key: &(String, u32), rung: usize, rate_kb: f64) -> bool {
        let play = self.boxes.get_mut(&id).and_then(|state| state.plays.get_mut(key));
        play.map(|play| (play.rung, play.rate_kb) = (rung, rate_kb)).is_some()
    }

    /// The process ends: its sessions are lost, and returned.
    pub fn die(&mut self, id: u32) -> Vec<((String, u32), Play)> {
        let Some(state) = self.boxes.get_mut(&id) else { return Vec::new() };
        state.life = Life::Dead;
        state.barred.clear();
        state.recent.clear();
        std::mem::take(&mut state.plays).into_iter().collect()
    }

    /// The process starts again, cold.
    pub fn start(&mut self, id: u32, now: u64) {
        if let Some(state) = self.boxes.get_mut(&id) {
            let build = state.build.clone();
            let (slower, told_share) = (state.slower, state.told_share);
            *state = BoxState { slower, told_share, ..BoxState::new(build, Some(now)) };
        }
    }

    /// A front goes on with a life by this epoch: what is held of it is that front's now, and told; nothing where a later
    /// epoch was here.
    pub fn claim(&mut self, id: u32, life: &str, epoch: u64, front: &str) -> Option<Value> {
        let state = self.boxes.get_mut(&id)?;
        let there = state.lives.entry(life.to_owned()).or_insert(0);
        if *there > epoch {
            return None;
        }
        let later = *there < epoch;
        *there = epoch;
        let of = |session: &str| session.rsplit_once('-').is_some_and(|(of, _)| of == life);
        if later {
            // What is being set up for an earlier epoch does not begin any more.
            state.plays.retain(|(session, _), play| play.begun || !of(session));
        }
        let mut sessions = Vec::new();
        for ((session, attempt), play) in &mut state.plays {
            if of(session) && play.begun {
                play.front = front.to_owned();
                sessions.push(json!({"session": session, "attempt": attempt, "rung": play.rung, "context": play.context}));
            }
        }
        Some(json!({"sessions": sessions}))
    }

    /// Whether a later epoch has this session than whoever asks.
    pub fn replaced(&self, id: u32, session: &str, epoch: Option<u64>) -> bool {
        let life = session.rsplit_once('-').map_or(session, |(life, _)| life);
        let there = self.boxes.get(&id).and_then(|state| state.lives.get(life)).copied();
        there.is_some_and(|there| epoch.unwrap_or(0) < there)
    }

    /// What a box holds for a front.
    pub fn held(&self, id: u32, front: &str) -> Value {
        let Some(state) = self.boxes.get(&id) else { return json!({"sessions": []}) };
        let own = state.plays.iter().filter(|(_, play)| play.front == front && play.begun);
        let session = |((session, attempt), play): (&(String, u32), &Play)| json!({"session": session, "attempt": attempt, "rung": play.rung, "context": play.context});
        json!({"sessions": own.map(session).collect::<Vec<_>>()})
    }

    /// Fronts with sessions that play at a box, with one session of each.
    pub fn fronts(&self, id: u32) -> Vec<(String, String)> {
        let mut seen = BTreeSet::new();
        let plays = self.boxes.get(&id).into_iter().flat_map(|state| &state.plays);
        let begun = plays.filter(|(_, play)| play.begun);
        let first = begun.filter(|(_, play)| seen.insert(play.front.clone()));
        first.map(|((session, _), play)| (play.front.clone(), session.clone())).collect()
    }
}
