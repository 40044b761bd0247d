//! What the controller remembers of servers, racks and sessions: plain records, no decisions.

use std::collections::VecDeque;

use crate::interface::*;

/// The latest value of a measurement, with the time at which it was taken.
pub type Measurement = Option<(f64, Micros)>;

/// Replaces a measurement, unless a later one is known already. Values that are not finite are ignored.
pub fn record_measurement(slot: &mut Measurement, value: f64, at: Micros) {
    if value.is_finite() && slot.is_none_or(|known| known.1 <= at) {
        *slot = Some((value.max(0.0), at));
    }
}

/// What the front knows of the server list's age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// No list is known.
    Unknown,
    /// The front took a copy at this time, after its start. Servers may have started since it was made: those of
    /// unknown age count as no older than this.
    Copied(Micros),
    /// The list has been heard.
    Current,
}

/// What is known of the latest start of a server's process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerStart {
    /// The start as the list states it; a later one means another process.
    pub stated: Option<Micros>,
    /// The same, but no later than when it was heard.
    pub listed: Option<Micros>,
    /// The latest start that this front has observed or has to suspect: it found the server down.
    pub observed: Option<Micros>,
}

impl ServerStart {
    /// The later one of the listed and the observed start.
    pub fn latest(&self) -> Option<Micros> {
        self.listed.max(self.observed)
    }
}

/// A listed server.
#[derive(Clone, Debug, Default)]
pub struct Server {
    pub entry: ServerEntry,
    /// Capacity of its link as configured, in kB/s.
    pub link_kb: f64,
    /// Demand on its link as a share of the link's capacity, as last reported.
    pub measured_load: Measurement,
    /// Changes of this front's own demand: time, kB/s, and number of streams.
    pub changes: VecDeque<(Micros, f64, i32)>,
    /// Share of the demand that was delivered, while that is too little.
    pub short_delivery: Measurement,
    /// Number of streams as last reported.
    pub measured_streams: Measurement,
    /// This front's sessions at the server, set-ups included, and their demand in kB/s.
    pub own_sessions: i32,
    pub own_kb: f64,
    /// When a session here was last stepped up; older measurements lead to no further step.
    pub stepped_up_at: Micros,
    /// When own sessions here were last stepped down; older measurements lead to no further step.
    pub stepped_down_at: Micros,
    /// When a session was last moved off the server.
    pub moved_at: Option<Micros>,
    /// Failures that no success has offset yet.
    pub failures: u32,
    /// Recent answers to set-ups: time, and whether the answer was an error.
    pub answers: VecDeque<(Micros, bool)>,
    /// The server counts as full until then, after it turned a set-up away.
    pub full_until: Micros,
    pub failed_at: Option<Micros>,
    /// End of the backoff after its latest failure.
    pub backoff_until: Micros,
    pub start: ServerStart,
    /// While it may be cold: this front's earliest unused slot for a set-up there.
    pub next_slot: Option<Micros>,
    /// While it may be cold: placements that its pace has kept away since the last set-up there.
    pub held_back: u32,
}

/// The uplink that the servers of a rack share.
#[derive(Clone, Debug, Default)]
pub struct Rack {
    /// Demand on the uplink as a share of its capacity, as last reported.
    pub measured_load: Measurement,
    /// Estimated capacity of the uplink, as a multiple of the configured mean.
    pub scale: f64,
    /// When the uplink last delivered less than the demand.
    pub short_at: Micros,
    /// When own sessions in the rack were last stepped down.
    pub stepped_down_at: Micros,
}

/// A session from its request to its end.
#[derive(Clone, Debug)]
pub struct Session {
    pub request: Request,
    pub class: Class,
    /// Highest rung that class, viewer and ladder allow.
    pub top_rung: usize,
    ladder: Vec<Rung>,
    pub requested_at: Micros,
    pub deadline: Micros,
    pub rung: usize,
    pub attempts: u32,
    /// The server of the attempt that is pending or playing.
    pub server: Option<ServerId>,
    pub playing_since: Option<Micros>,
    pub tried: Vec<ServerId>,
    /// Servers that answered a set-up of this session with an error, in order.
    pub error_servers: Vec<ServerId>,
    /// The server of the first attempt that may have run, and when it was sent.
    pub may_have_run: Option<(ServerId, Micros)>,
    pub sent_at: Micros,
    /// Servers at which an attempt was given up and is not known to be over.
    pub in_doubt: Vec<ServerId>,
    /// Until when a confirmation from those servers is awaited.
    pub in_doubt_until: Option<Micros>,
    pub answered: bool,
    /// The session is waiting to be placed until then.
    pub wait_until: Option<Micros>,
    /// Whether holders were probed for the session.
    pub probed: bool,
    /// Probed holders that have not answered yet.
    pub pending_probes: Vec<ServerId>,
    /// Whether the session is being moved off its server.
    pub moving: bool,
    pub rung_set_at: Micros,
}

impl Server {
    /// Change of this front's own demand here after a time, in kB/s.
    pub fn change_since(&self, at: Micros) -> f64 {
        self.changes.iter().filter(|change| change.0 > at).map(|change| change.1).sum()
    }
}

impl Session {
    /// A session that has just been requested.
    pub fn new(request: &Request, class: &Class, ladder: &[Rung], now: Micros) -> Self {
        Session {
            request: request.clone(),
            class: class.clone(),
            top_rung: request.top_rung.min(class.top).min(ladder.len().saturating_sub(1)),
            ladder: ladder.to_vec(),
            requested_at: now,
            deadline: now.saturating_add(request.patience),
            rung: class.floor,
            attempts: 0,
            server: None,
            playing_since: None,
            tried: Vec::new(),
            error_servers: Vec::new(),
            may_have_run: None,
            sent_at: now,
            in_doubt: Vec::new(),
            in_doubt_until: None,
            answered: false,
            wait_until: None,
            probed: false,
            pending_probes: Vec::new(),
            moving: false,
            rung_set_at: 0,
        }
    }

    /// A set-up is sent to a server.
    pub fn set_up_sent(&mut self, to: ServerId, rung: usize, now: Micros) {
        self.attempts += 1;
        (self.server, self.sent_at, self.rung, self.wait_until) = (Some(to), now, rung, None);
        self.tried.push(to);
    }

    /// The attempt at this server has ended.
    pub fn attempt_ended(&mut self, server: ServerId, outcome: Outcome) {
        self.server = None;
        if outcome == Outcome::Failed {
            self.error_servers.push(server);
        }
        if !outcome.never_ran() {
            self.may_have_run.get_or_insert((server, self.sent_at));
        }
    }

    /// An attempt that was given up at this server is known to be over.
    pub fn doubt_resolved(&mut self, server: ServerId) {
        if let Some(at) = self.in_doubt.iter().position(|other| *other == server) {
            self.in_doubt.remove(at);
        }
    }

    /// Number of attempts, those for an earlier copy of the request included.
    pub fn all_attempts(&self) -> u32 {
        self.request.earlier_attempts.saturating_add(self.attempts)
    }

    /// Rate of the session at a rung, in kB/s.
    pub fn rate(&self, rung: usize) -> f64 {
        self.ladder.get(rung).map_or(0.0, |step| step.kb * self.class.rate_factor)
    }

    /// Worth of one second of the session at a rung.
    pub fn worth(&self, rung: usize) -> f64 {
        self.ladder.get(rung).map_or(0.0, |step| step.worth * self.class.gain)
    }
}
