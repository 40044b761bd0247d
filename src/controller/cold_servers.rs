//! The pace of set-ups at servers that have just started.
//!
//! The settings state how many set-ups such a server bears in a window, from all fronts together. A front
//! knows only its own set-ups, so it keeps to its share of that number, whatever it believes about the
//! others. A share of one or more is spaced over the window: the sum cannot exceed what the server bears. Of
//! a smaller share a front gets slots, moments at a fixed interval from a random point after the start became
//! known here. A set-up needs a slot and uses it up; an unused one expires. A front has no slot at the
//! beginning and never more than one, so that all fronts together have about as many as the server bears,
//! however suddenly a crowd arrives and however little each front knows of it.

use super::{Controller, REQUEST_RATE_WINDOW};
use crate::interface::*;
use crate::state::{ListState, Server, Session};

/// New slots of all fronts in a window, as a share of the set-ups that a server bears in it.
const SLOT_SHARE: f64 = 0.45;
/// Unused slots of all fronts in quiet times, as a share of the same. In a crowd, slots expire after a
/// window.
const UNUSED_SLOT_SHARE: f64 = 0.7;
/// Slots beyond what a server bears, in standard deviations: the rule leaves room for chance, which weighs
/// most in small numbers.
const CHANCE_SHARE: f64 = 0.5;
/// Set-ups of all fronts in a window that are spaced, as a share of the same.
const SPACED_SHARE: f64 = 0.4;
/// The lowest share of its pace that a cold server is expected to take.
const MIN_COLD_FROM: f64 = 0.05;
/// Window for settings that state none.
const DEFAULT_FALL_WINDOW: Micros = super::SECOND;
/// The latest requests that show a crowd, if they arrive at this multiple of the usual rate.
const CROWD_REQUESTS: usize = 4;
const CROWD_FACTOR: f64 = 4.0;

/// The pace of one front at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    /// Set-ups with at least this time between two.
    Spaced(Micros),
    /// A slot in each interval, which expires after a lifetime of at most the interval.
    Slotted { interval: Micros, lifetime: Micros },
}

impl Pace {
    /// The pace of one of many fronts. A server bears `borne_cold` set-ups in a window right after its start,
    /// and `borne` at its present age.
    fn new(borne_cold: f64, borne: f64, fronts: f64, window: Micros, is_crowded: bool) -> Pace {
        let (spaced_share, window_us) = ((borne_cold / fronts).floor(), window as f64);
        if spaced_share >= 1.0 {
            let spacing = (window_us / spaced_share).max(window_us / (borne_cold * SPACED_SHARE));
            return Pace::Spaced((spacing as Micros).max(1));
        }
        let slot_share = SLOT_SHARE * (borne + CHANCE_SHARE * borne.sqrt()) / fronts;
        let interval = (window_us / slot_share) as Micros;
        let quiet_lifetime = (window_us * UNUSED_SLOT_SHARE / SLOT_SHARE) as Micros;
        let lifetime = if is_crowded { window.min(quiet_lifetime) } else { quiet_lifetime };
        Pace::Slotted { interval, lifetime: lifetime.min(interval) }
    }

    /// The first time from which a set-up is allowed, `draw` being a random number in 0..1.
    fn first_slot(self, now: Micros, draw: f64) -> Micros {
        match self {
            Pace::Spaced(_) => now,
            Pace::Slotted { interval, .. } => now + (interval as f64 * draw) as Micros,
        }
    }

    /// The earliest slot, from this one on, that has not expired.
    fn earliest(self, slot: Micros, now: Micros) -> Micros {
        match self {
            Pace::Slotted { interval, lifetime } if slot.saturating_add(lifetime) <= now => {
                slot + ((now - slot - lifetime) / interval + 1) * interval
            }
            Pace::Spaced(_) | Pace::Slotted { .. } => slot,
        }
    }

    /// The slot that follows a set-up at this time in this slot.
    fn next_slot(self, slot: Micros, now: Micros) -> Micros {
        match self {
            Pace::Spaced(spacing) => now + spacing,
            Pace::Slotted { interval, .. } => slot + interval,
        }
    }
}

impl Controller {
    /// When the warm-up of a server began, if the server may be cold.
    pub(super) fn warm_up_start(&self, server: &Server) -> Option<Micros> {
        let latest_unlisted = match self.list_state {
            ListState::Copied(at) => Some(at),
            ListState::Unknown | ListState::Current => None,
        };
        let listed = server.start.listed.or(latest_unlisted);
        server.start.observed.max(listed).filter(|at| at + self.settings.warm_up > self.now)
    }

    /// Gives this front its first slot at a server that may be cold, as it learns of that.
    pub(super) fn begin_pace(&mut self, id: ServerId) {
        if self.servers.get(id).is_none_or(|server| self.warm_up_start(server).is_none()) {
            return;
        }
        let draw = self.draw_uniform();
        let Some(server) = self.servers.get(id) else { return };
        let slot = self.pace_at(server, false).first_slot(self.now, draw);
        self.servers.modify(id, |server| server.next_slot = Some(slot));
    }

    /// Until when the pace of a server that may be cold blocks a session.
    pub(super) fn cold_pace_block(&self, session: &Session, id: ServerId) -> Option<Micros> {
        let server = self.servers.get(id)?;
        self.warm_up_start(server)?;
        let (_, slot) = self.slot_for(session, server);
        (slot > self.now).then_some(slot)
    }

    /// Uses up the slot of a session that is set up at a server that may be cold, and logs why it was
    /// admitted.
    pub(super) fn use_slot(&mut self, id: &SessionId, to: ServerId, out: &mut Vec<Action>) {
        let (Some(session), Some(server)) = (self.sessions.get(id), self.servers.get(to)) else { return };
        if self.warm_up_start(server).is_none() {
            return;
        }
        let (pace, slot) = self.slot_for(session, server);
        let (next, held_back) = (pace.next_slot(slot, self.now), server.held_back);
        out.push(Action::Log(format!(
            "session {}: admitted to cold server s-{:08x}: {}, {held_back} held back since the last one",
            id.0,
            to.0,
            self.describe_pace(server, pace)
        )));
        self.servers.modify(to, |server| (server.next_slot, server.held_back) = (Some(next), 0));
    }

    /// Counts a session that the pace keeps from these holders, and logs why for the first one since an
    /// admission.
    pub(super) fn record_held_back(&mut self, id: &SessionId, holders: &[ServerId], out: &mut Vec<Action>) {
        for to in holders {
            let Some((session, server)) = self.sessions.get(id).zip(self.servers.get(*to)) else { return };
            let Some(until) = self.cold_pace_block(session, *to) else { continue };
            if server.held_back == 0 {
                let (pace, _) = self.slot_for(session, server);
                let wait_ms = (until - self.now) / 1_000;
                out.push(Action::Log(format!(
                    "session {}: held back from cold server s-{:08x} for {wait_ms} ms: {}",
                    id.0,
                    to.0,
                    self.describe_pace(server, pace)
                )));
            }
            self.servers.modify(*to, |server| server.held_back += 1);
        }
    }

    /// Age of a cold server, how it is known, and this front's pace there, for the log.
    fn describe_pace(&self, server: &Server, pace: Pace) -> String {
        let start = self.warm_up_start(server);
        let age_ms = start.map_or(0, |at| self.now.saturating_sub(at)) / 1_000;
        let source = match start {
            at if at == server.start.listed => "by the list",
            at if at == server.start.observed => "since it was found down",
            _ => "since the list was copied",
        };
        let (fronts, requests) = (self.settings.fronts, self.requests.len());
        match pace {
            Pace::Spaced(spacing) => {
                format!("age {age_ms} ms {source}, spacing {} ms, {fronts} fronts", spacing / 1_000)
            }
            Pace::Slotted { interval, lifetime } => format!(
                "age {age_ms} ms {source}, slots each {} ms for {} ms, {fronts} fronts, {requests} requests",
                interval / 1_000,
                lifetime / 1_000
            ),
        }
    }

    /// The pace at a server, and the earliest slot that a session can use.
    fn slot_for(&self, session: &Session, server: &Server) -> (Pace, Micros) {
        let pace = self.pace_at(server, session.request.returning || self.is_crowded());
        (pace, pace.earliest(server.next_slot.unwrap_or(Micros::MAX), self.now))
    }

    /// The pace of this front at a server of this age; it rises with the age, if that is known.
    fn pace_at(&self, server: &Server, is_crowded: bool) -> Pace {
        let settings = &self.settings;
        let window = if settings.fall_window > 0 { settings.fall_window } else { DEFAULT_FALL_WINDOW };
        let places = settings.kind_streams.get(server.entry.kind as usize).copied().unwrap_or(1).max(1);
        let cold_from = settings.cold_from.clamp(MIN_COLD_FROM, 1.0);
        let warm_up = settings.warm_up.max(1) as f64;
        let listed = server.start.listed.filter(|at| server.start.latest() == Some(*at));
        let age = listed.map_or(0, |at| self.now.saturating_sub(at));
        let warmth = cold_from + (1.0 - cold_from) * (age as f64 / warm_up).min(1.0);
        let borne_warm = f64::from(places) / warm_up * settings.fall_multiple.max(1.0) * window as f64;
        let (borne_cold, borne) = (borne_warm * cold_from, borne_warm * warmth);
        Pace::new(borne_cold, borne, f64::from(settings.fronts), window, is_crowded)
    }

    /// Whether the latest requests arrived far faster than those before them.
    fn is_crowded(&self) -> bool {
        let latest = self.requests.iter().rev().nth(CROWD_REQUESTS - 1);
        let (Some((latest, ..)), Some((first, ..))) = (latest, self.requests.front()) else { return false };
        let history = (self.now - first).clamp(1, REQUEST_RATE_WINDOW) as f64;
        let usual_rate = self.requests.len() as f64 / history;
        (self.now - latest) as f64 * usual_rate * CROWD_FACTOR < CROWD_REQUESTS as f64
    }
}
