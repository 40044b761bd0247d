//! One session from its request to its end. The stages hold just what can be known in them.

use std::net::SocketAddr;

use salttally::interface::{Class, Effect, Micros, Outcome, ServerId, Settings};

use super::{ClientId, Opening, Ticket};

/// An attempt to set a session up, or the one by which it plays.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The module's number of it, from 0.
    pub number: u32,
    /// The number that the box knows it by; another one than `number` only after a restart of the front.
    pub wire: u32,
    /// Where.
    pub server: ServerId,
    /// Where that box listened when it was sent.
    pub address: SocketAddr,
    /// When it was sent.
    pub sent: Micros,
    /// When it runs out of time.
    pub expires: Micros,
    /// The rung that the box was told.
    pub rung: usize,
}

/// Stage of a session.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// The answer is owed and no attempt is out.
    Held,
    /// The answer is owed and one attempt is out.
    Trying(Attempt),
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
    pub changing: Option<usize>,
    /// Changes of rung in a row that did not reach the box.
    pub missed: u32,
}

/// What stops a set-up that the decider asks for. The number is the attempt's, which is used up by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// There have been as many as there may be.
    TooMany,
    /// Another attempt is out, or no answer is owed, or the viewer has given up.
    NotHeld(u32),
    /// An earlier attempt may have run, and its class is set up once.
    MayHaveRun(u32),
    /// The rung is outside the terms of the class, or above what the viewer can use.
    Terms(u32),
}

/// A session in the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct Session {
    /// Whose it is; nobody's after a restart of the front, until it is claimed.
    pub client: Option<(ClientId, Ticket)>,
    /// Nobody's: it ends then unless its viewer claims it.
    pub claim_by: Option<Micros>,
    /// When its viewer last came back for it.
    pub claimed: Option<Micros>,
    /// What was asked for.
    pub opening: Opening,
    /// When it was accepted.
    pub taken: Micros,
    /// When the viewer gives up.
    pub deadline: Micros,
    /// Set-ups that the module has asked for, carried out or not.
    pub attempts: u32,
    /// The rung that the module wants.
    pub wanted: usize,
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
        opening: Opening,
        effect: Effect,
        floor: usize,
        now: Micros,
    ) -> Self {
        let deadline = now.saturating_add(opening.patience);
        Session {
            client,
            claim_by: None,
            claimed: None,
            opening,
            taken: now,
            deadline,
            attempts: 0,
            wanted: floor,
            may_have_run: false,
            effect,
            stage: Stage::Held,
        }
    }

    /// Takes the number of the next attempt, unless something stops it. The lock on single attempts, single effects
    /// and terms, for whatever carries the set-up.
    ///
    /// # Errors
    /// What stops it.
    pub fn next_attempt(&mut self, now: Micros, settings: &Settings) -> Result<u32, Stop> {
        let number = self.attempts;
        if number >= settings.max_attempts {
            return Err(Stop::TooMany);
        }
        self.attempts += 1;
        if self.stage != Stage::Held || now >= self.deadline {
            return Err(Stop::NotHeld(number));
        }
        if self.effect == Effect::Once && self.may_have_run {
            return Err(Stop::MayHaveRun(number));
        }
        if !self.in_terms(self.wanted, settings.classes.get(self.opening.class)) {
            return Err(Stop::Terms(number));
        }
        Ok(number)
    }

    /// Whether this rung is within the class's terms and what the viewer can use.
    pub fn in_terms(&self, rung: usize, class: Option<&Class>) -> bool {
        let top = self.opening.top_rung.min(class.map_or(usize::MAX, |class| class.top));
        (class.map_or(0, |class| class.floor)..=top).contains(&rung)
    }

    /// Whether a refusal would promise too much: it may have been set up, and its class is set up once.
    pub fn not_to_refuse(&self) -> bool {
        self.effect == Effect::Once && (self.may_have_run || self.out().is_some())
    }

    /// It plays by this attempt, made in an earlier life of the front.
    pub fn plays_already(&mut self, attempt: Attempt) {
        (self.attempts, self.may_have_run) = (1, true);
        self.stage = Stage::Playing(Playing { attempt, changing: None, missed: 0 });
    }

    /// When a ledger answers by itself, between the viewer's patience and the end of the slack.
    pub fn overdue_at(&self, slack: Micros) -> Micros {
        self.deadline + slack / 2
    }

    /// Whether the one answer is still owed.
    pub fn owed(&self) -> bool {
        matches!(self.stage, Stage::Held | Stage::Trying(_))
    }

    /// The attempt that is out, if one is.
    pub fn out(&self) -> Option<&Attempt> {
        match &self.stage {
            Stage::Trying(attempt) | Stage::Abandoned(attempt) => Some(attempt),
            Stage::Held | Stage::Playing(_) => None,
        }
    }

    /// The attempt that is out or plays.
    pub fn at(&self) -> Option<&Attempt> {
        match &self.stage {
            Stage::Playing(playing) => Some(&playing.attempt),
            _ => self.out(),
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
        let over = !matches!(self.stage, Stage::Trying(_));
        self.stage = Stage::Held;
        over
    }

    /// The answer has been given, or is no longer owed. Returns whether the session is over by that.
    pub fn settled(&mut self) -> bool {
        match std::mem::replace(&mut self.stage, Stage::Held) {
            Stage::Trying(attempt) | Stage::Abandoned(attempt) => {
                self.stage = Stage::Abandoned(attempt);
                false
            }
            Stage::Held | Stage::Playing(_) => true,
        }
    }
}
