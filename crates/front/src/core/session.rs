//! One session from its request to its end. The stages hold just what can be known in them.

use std::net::SocketAddr;

use salttally::interface::{Class, Effect, Micros, Outcome, ServerId, Settings};

use super::{ClientId, OpenRequest, Ticket};

/// An attempt to set a session up, or the one by which it plays.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The module's number of it, from 0.
    pub number: u32,
    /// The number that the box knows it by; another one than `number` only after a restart of the front.
    pub wire_number: u32,
    /// Where.
    pub server: ServerId,
    /// Where that box listened when it was sent.
    pub address: SocketAddr,
    /// When it was sent.
    pub sent_at: Micros,
    /// When it runs out of time.
    pub expires_at: Micros,
    /// The rung that the box was told.
    pub rung: usize,
}

/// Stage of a session.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// The answer is owed and no attempt is out.
    Waiting,
    /// The answer is owed and one attempt is out.
    Attempting(Attempt),
    /// The answer has been given or is no longer owed, and an attempt is still out.
    Abandoned(Attempt),
    /// It plays.
    Playing(Playing),
}

/// A session that plays.
#[derive(Clone, Debug, PartialEq)]
pub struct Playing {
    /// The attempt by which it plays; its rung is the one in force.
    pub attempt: Attempt,
    /// A change of rung is under way at the box.
    pub pending_rung: Option<usize>,
    /// Changes of rung in a row that did not reach the box.
    pub failed_rung_changes: u32,
}

/// What stops a set-up that the decider asks for. The number is the attempt's, which is used up by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetUpDenied {
    /// There have been as many as there may be.
    TooManyAttempts,
    /// Another attempt is out, or no answer is owed, or the viewer has given up.
    NotWaiting(u32),
    /// An earlier attempt may have run, and its class is set up once.
    MayHaveRun(u32),
    /// The rung is outside the terms of the class, or above what the viewer can use.
    RungNotAllowed(u32),
}

/// A session in the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct Session {
    /// Whose it is; nobody's after a restart of the front, until it is claimed.
    pub client: Option<(ClientId, Ticket)>,
    /// Nobody's: it ends then unless its viewer claims it.
    pub claim_by: Option<Micros>,
    /// When its viewer last came back for it.
    pub claimed_at: Option<Micros>,
    /// What was asked for.
    pub open_request: OpenRequest,
    /// When it was accepted.
    pub accepted_at: Micros,
    /// When the viewer gives up.
    pub deadline: Micros,
    /// Set-ups that the module has asked for, carried out or not.
    pub attempts: u32,
    /// The rung that the module wants.
    pub target_rung: usize,
    /// An attempt may have run.
    pub may_have_run: bool,
    /// How often a set-up of its class may take effect.
    pub effect: Effect,
    /// Where it stands.
    pub stage: Stage,
}

impl Session {
    /// A session whose answer is owed from now on.
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

    /// Takes the number of the next attempt, unless something stops it. The lock on single attempts, single effects
    /// and terms, for whatever carries the set-up.
    ///
    /// # Errors
    /// What stops it.
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

    /// Whether this rung is within the class's terms and what the viewer can use.
    pub fn allows_rung(&self, rung: usize, class: Option<&Class>) -> bool {
        let top = self.open_request.top_rung.min(class.map_or(usize::MAX, |class| class.top));
        (class.map_or(0, |class| class.floor)..=top).contains(&rung)
    }

    /// Whether a refusal would promise too much: it may have been set up, and its class is set up once.
    pub fn must_not_refuse(&self) -> bool {
        self.effect == Effect::Once && (self.may_have_run || self.pending_attempt().is_some())
    }

    /// It plays by this attempt, made in an earlier life of the front.
    pub fn resume_playing(&mut self, attempt: Attempt) {
        (self.attempts, self.may_have_run) = (1, true);
        self.stage = Stage::Playing(Playing { attempt, pending_rung: None, failed_rung_changes: 0 });
    }

    /// When a ledger answers by itself, between the viewer's patience and the end of the slack.
    pub fn overdue_at(&self, slack: Micros) -> Micros {
        self.deadline + slack / 2
    }

    /// Whether the one answer is still owed.
    pub fn answer_pending(&self) -> bool {
        matches!(self.stage, Stage::Waiting | Stage::Attempting(_))
    }

    /// The attempt that is out, if one is.
    pub fn pending_attempt(&self) -> Option<&Attempt> {
        match &self.stage {
            Stage::Attempting(attempt) | Stage::Abandoned(attempt) => Some(attempt),
            Stage::Waiting | Stage::Playing(_) => None,
        }
    }

    /// The attempt that is out or plays.
    pub fn current_attempt(&self) -> Option<&Attempt> {
        match &self.stage {
            Stage::Playing(playing) => Some(&playing.attempt),
            _ => self.pending_attempt(),
        }
    }

    /// Where and how it plays, if it does.
    pub fn playing(&self) -> Option<&Playing> {
        match &self.stage {
            Stage::Playing(playing) => Some(playing),
            _ => None,
        }
    }

    /// The attempt that is out has ended so; the session is held again, or over if its answer is not owed.
    /// Returns whether it is over.
    pub fn attempt_ended(&mut self, outcome: Outcome) -> bool {
        self.may_have_run |= !outcome.never_ran();
        let over = !matches!(self.stage, Stage::Attempting(_));
        self.stage = Stage::Waiting;
        over
    }

    /// The answer has been given, or is no longer owed. Returns whether the session is over by that.
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
