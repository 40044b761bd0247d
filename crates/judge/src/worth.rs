//! Measures the worth of a day: the worth delivered as a share of the worth requested.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{AnswerKind, Event, Line, Terms};

/// Share of the rate from which on no worth is lost.
const FULL_DELIVERY_SHARE: f64 = 0.98;

/// Worth of a day, in seconds at full quality times the gain of the class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Worth {
    /// Worth requested: the wanted lengths of all viewers, at the best rung.
    pub asked: f64,
    /// Worth delivered: the time played, weighted by rung and by the share of the rate that was delivered.
    pub delivered: f64,
    /// Sessions that began within their aim.
    pub in_time: usize,
    /// Sessions that began.
    pub began: usize,
}

impl Worth {
    /// Worth delivered divided by worth requested; 0 if nothing was requested.
    pub fn ratio(&self) -> f64 {
        if self.asked > 0.0 {
            self.delivered / self.asked
        } else {
            0.0
        }
    }
}

struct Play<'a> {
    class: &'a str,
    rung: usize,
    since: u64,
}

/// Computes the worth of a record.
pub fn worth(lines: &[Line]) -> Worth {
    let mut worth = Worth::default();
    let Some(terms) = lines.iter().find_map(|line| match &line.what {
        Event::Terms(terms) => Some(terms),
        _ => None,
    }) else {
        return worth;
    };
    let mut viewers: BTreeSet<&str> = BTreeSet::new();
    let mut opens: BTreeMap<u64, (u64, &str)> = BTreeMap::new();
    let mut set_ups: BTreeMap<(&str, u32), (&str, usize)> = BTreeMap::new();
    let mut playing: BTreeMap<u32, BTreeMap<(&str, u32), Play<'_>>> = BTreeMap::new();
    let mut shares: BTreeMap<u32, f64> = BTreeMap::new();
    let end = lines.last().map_or(0, |line| line.at);
    for Line { at, what } in lines {
        match what {
            Event::Opened { open, viewer, class, length, .. } => {
                opens.insert(*open, (*at, class));
                if viewers.insert(viewer) {
                    let gain = terms.classes.get(class).map_or(0.0, |class| class.gain);
                    worth.asked += *length as f64 / 1e6 * gain;
                }
            }
            Event::Answered { open, answer: AnswerKind::Plays, .. } => {
                worth.began += 1;
                let aim = |class: &str| terms.classes.get(class).map_or(0, |class| class.aim);
                let in_time = opens.get(open).is_some_and(|(opened_at, class)| *at <= opened_at + aim(class));
                worth.in_time += usize::from(in_time);
            }
            Event::SetUpRead { session, attempt, class, rung, .. } => {
                set_ups.insert((session, *attempt), (class, *rung));
            }
            Event::SetUpEnded { server, session, attempt, end: crate::record::SetUpEnd::Began } => {
                let Some((class, rung)) = set_ups.get(&(session.as_str(), *attempt)) else { continue };
                let play = Play { class, rung: *rung, since: *at };
                playing.entry(*server).or_default().insert((session, *attempt), play);
            }
            Event::RungSet { server, session, rung } => {
                let share = shares.get(server).copied().unwrap_or(1.0);
                let sessions = playing.entry(*server).or_default();
                for (_, play) in sessions.iter_mut().filter(|((of, _), _)| of == session) {
                    worth.delivered += delivered_worth(terms, play, *at, share);
                    (play.rung, play.since) = (*rung, *at);
                }
            }
            Event::Share { server, share } => {
                let before = shares.insert(*server, *share).unwrap_or(1.0);
                for play in playing.entry(*server).or_default().values_mut() {
                    worth.delivered += delivered_worth(terms, play, *at, before);
                    play.since = *at;
                }
            }
            Event::Ended { server, session, attempt } => {
                let share = shares.get(server).copied().unwrap_or(1.0);
                if let Some(play) = playing.entry(*server).or_default().remove(&(session.as_str(), *attempt))
                {
                    worth.delivered += delivered_worth(terms, &play, *at, share);
                }
            }
            _ => {}
        }
    }
    for (server, sessions) in &playing {
        let share = shares.get(server).copied().unwrap_or(1.0);
        worth.delivered +=
            sessions.values().map(|play| delivered_worth(terms, play, end, share)).sum::<f64>();
    }
    worth
}

fn delivered_worth(terms: &Terms, play: &Play<'_>, until: u64, share: f64) -> f64 {
    let seconds = until.saturating_sub(play.since) as f64 / 1e6;
    let gain = terms.classes.get(play.class).map_or(0.0, |class| class.gain);
    let rung = terms.rungs.get(play.rung).copied().unwrap_or(0.0);
    let quality = (1.0 - terms.stall_cost * (FULL_DELIVERY_SHARE - share).max(0.0)).max(0.0);
    seconds * gain * rung * quality
}
