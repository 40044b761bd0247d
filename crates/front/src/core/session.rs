//! One session, from its request to its end. Each stage holds exactly the data that exists in it.

use std::net::SocketAddr;

use salttally::interface::{Class, Effect, Micros, Outcome, ServerId, Settings};

use super::{ClientId, OpenRequest, Ticket};

/// An attempt to set up a session; also the attempt by which a session plays.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Attempt number at the decider, from 0.
    pub number: u32,
    /// Attempt number at the box. Differs from `number` only after a restart of the front or a takeover.
    pub wire_number: u32,
    /// The box.
    pub server: ServerId,
    /// The box's address when the attempt was sent.
    pub address: SocketAddr,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// When the attempt times out.
    pub expires_at: Micros,
    /// The rung requested from the box.
    pub rung: usize,
}

/// Stage of a session.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// The answer is pending and no attempt is in progress.
    Waiting,
    /// The answer is pending and one attempt is in progress.
    Attempting(Attempt),
    /// The answer has been given or is no longer needed, and an attempt is still in progress.
    Abandoned(Attempt),
    /// The session plays.
    Playing(Playing),
}

/// State of a playing session.
#[derive(Clone, Debug, PartialEq)]
pub struct Playing {
    /// The attempt that set the session up; its rung is the current one.
    pub attempt: Attempt,
    /// The rung of a change in progress at the box.
    pub pending_rung: Option<usize>,
    /// Number of consecutive rung changes that failed.
    pub failed_rung_changes: u32,
}

/// Why a set-up that the decider asks for is not allowed. The number is that of the attempt, which is used
/// up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetUpDenied {
    /// The maximum number of attempts has been reached.
    TooManyAttempts,
    /// Another attempt is in progress, no answer is pending, or the viewer has given up.
    NotWaiting(u32),
    /// An earlier attempt may have been executed, and the class allows only one set-up.
    MayHaveRun(u32),
    /// The rung is outside the class's range, or above what the viewer can use.
    RungNotAllowed(u32),
}

/// A session in the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct Session {
    /// The client and its open call. `None` for a resumed session until its viewer claims it.
    pub client: Option<(ClientId, Ticket)>,
    /// When an unclaimed session ends.
    pub claim_by: Option<Micros>,
    /// When the viewer last reclaimed the session.
    pub claimed_at: Option<Micros>,
    /// The open request.
    pub open_request: OpenRequest,
    /// When the request was accepted.
    pub accepted_at: Micros,
    /// When the viewer gives up.
    pub deadline: Micros,
    /// Number of set-ups that the decider has asked for, whether sent or not.
    pub attempts: u32,
    /// The rung that the decider wants.
    pub target_rung: usize,
    /// Whether an attempt may have been executed.
    pub may_have_run: bool,
    /// How often a set-up of this class may take effect.
    pub effect: Effect,
    /// Current stage.
    pub stage: Stage,
}

impl Session {
    /// Creates a session whose answer is pending.
    pub fn new(
        client: Option<(ClientId, Ticket)>,
        open_request: OpenRequest,
        effect: Effect,
        floor: usize,
        now: Micros,
    ) -> Self {
        let deadline = now.saturating_add(open_request.patience);
        Session {
            client,
            claim_by: None,
            claimed_at: None,
            open_request,
            accepted_at: now,
            deadline,
            attempts: 0,
            target_rung: floor,
            may_have_run: false,
            effect,
            stage: Stage::Waiting,
        }
    }

    /// Allocates the number of the next attempt. Independently of the decider, checks that only one attempt
    /// is in progress, that a set-up that must happen once is not repeated, and that the rung is allowed. For
    /// any transport of the set-up.
    ///
    /// # Errors
    /// Why the attempt is not allowed.
    pub fn next_attempt(&mut self, now: Micros, settings: &Settings) -> Result<u32, SetUpDenied> {
        let number = self.attempts;
        if number >= settings.max_attempts {
            return Err(SetUpDenied::TooManyAttempts);
        }
        self.attempts += 1;
        if self.stage != Stage::Waiting || now >= self.deadline {
            return Err(SetUpDenied::NotWaiting(number));
        }
        if self.effect == Effect::Once && self.may_have_run {
            return Err(SetUpDenied::MayHaveRun(number));
        }
        if !self.allows_rung(self.target_rung, settings.classes.get(self.open_request.class)) {
            return Err(SetUpDenied::RungNotAllowed(number));
        }
        Ok(number)
    }

    /// Whether this rung is within the class's range and the viewer can use it.
    pub fn allows_rung(&self, rung: usize, class: Option<&Class>) -> bool {
        let top = self.open_request.top_rung.min(class.map_or(usize::MAX, |class| class.top));
        (class.map_or(0, |class| class.floor)..=top).contains(&rung)
    }

    /// Whether the session must not be refused: a refusal asserts that nothing took effect, but a set-up may
    /// have been executed and its class allows only one.
    pub fn must_not_refuse(&self) -> bool {
        self.effect == Effect::Once && (self.may_have_run || self.pending_attempt().is_some())
    }

    /// Marks the session as playing by this attempt, which was made before a restart or by another front.
    pub fn resume_playing(&mut self, attempt: Attempt) {
        (self.attempts, self.may_have_run) = (1, true);
        self.stage = Stage::Playing(Playing { attempt, pending_rung: None, failed_rung_changes: 0 });
    }

    /// When the ledger answers on its own if nothing was decided: halfway into the slack after the deadline.
    pub fn overdue_at(&self, slack: Micros) -> Micros {
        self.deadline + slack / 2
    }

    /// Whether the answer is still pending.
    pub fn answer_pending(&self) -> bool {
        matches!(self.stage, Stage::Waiting | Stage::Attempting(_))
    }

    /// The attempt in progress, if any.
    pub fn pending_attempt(&self) -> Option<&Attempt> {
        match &self.stage {
            Stage::Attempting(attempt) | Stage::Abandoned(attempt) => Some(attempt),
            Stage::Waiting | Stage::Playing(_) => None,
        }
    }

    /// The attempt in progress or playing, if any.
    pub fn current_attempt(&self) -> Option<&Attempt> {
        match &self.stage {
            Stage::Playing(playing) => Some(&playing.attempt),
            _ => self.pending_attempt(),
        }
    }

    /// State of the playing session, if it plays.
    pub fn playing(&self) -> Option<&Playing> {
        match &self.stage {
            Stage::Playing(playing) => Some(playing),
            _ => None,
        }
    }

    /// Ends the attempt in progress. The session waits again, or is over if its answer is not pending.
    /// Returns whether it is over.
    pub fn attempt_ended(&mut self, outcome: Outcome) -> bool {
        self.may_have_run |= !outcome.never_ran();
        let over = !matches!(self.stage, Stage::Attempting(_));
        self.stage = Stage::Waiting;
        over
    }

    /// Records that the answer has been given or is no longer needed. Returns whether the session is thereby
    /// over.
    pub fn settle_answer(&mut self) -> bool {
        match std::mem::replace(&mut self.stage, Stage::Waiting) {
            Stage::Attempting(attempt) | Stage::Abandoned(attempt) => {
                self.stage = Stage::Abandoned(attempt);
                false
            }
            Stage::Waiting | Stage::Playing(_) => true,
        }
    }
}
