//! The rules one by one. Each looks at the whole record by itself.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use crate::record::{AnswerKind, EffectKind, Event, Line, SetUpEnd, Terms};

/// The rules, in the order of the users' brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One answer for each accepted request, in time.
    OneAnswer,
    /// No paid set-up twice, and never two attempts out.
    OneEffect,
    /// Nothing new to a box past the grace after its drain was told.
    Drains,
    /// No cold box pushed over.
    Cold,
    /// Floors and seats.
    Terms,
    /// Further attempts within budget.
    Budget,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 6] =
        [Rule::OneAnswer, Rule::OneEffect, Rule::Drains, Rule::Cold, Rule::Terms, Rule::Budget];
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "1 one answer, in time",
            Rule::OneEffect => "2 no set-up twice, one attempt out",
            Rule::Drains => "3 drains kept",
            Rule::Cold => "4 no cold box pushed over",
            Rule::Terms => "5 terms kept",
            Rule::Budget => "6 attempts within budget",
        })
    }
}

/// A line by which a rule is broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Which rule.
    pub rule: Rule,
    /// When, us.
    pub at: u64,
    /// What happened, in a sentence.
    pub text: String,
}

/// What the judge says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// All findings, in the order of the rules and then of time.
    pub findings: Vec<Finding>,
    /// Calls that had to be answered.
    pub calls_due: usize,
    /// Answers: plays, refused, failed.
    pub answers: [usize; 3],
    /// Set-ups that reached boxes.
    pub attempts: usize,
    /// Calls that nobody had to answer: given up, or their front was down.
    pub excused: usize,
}

impl Verdict {
    /// Whether a rule was kept.
    pub fn kept(&self, rule: Rule) -> bool {
        !self.findings.iter().any(|finding| finding.rule == rule)
    }

    /// Whether all were.
    pub fn all_kept(&self) -> bool {
        self.findings.is_empty()
    }
}

/// Judges a record; its first line must be the terms.
pub fn judge(lines: &[Line]) -> Verdict {
    let Some(terms) = lines.iter().find_map(|line| match &line.what {
        Event::Terms(terms) => Some(terms),
        _ => None,
    }) else {
        let text = "the record has no terms: nothing can be judged".to_owned();
        let findings = Rule::ALL.map(|rule| Finding { rule, at: 0, text: text.clone() }).to_vec();
        return Verdict { findings, ..Verdict::default() };
    };
    let mut verdict = Verdict::default();
    one_answer(lines, terms, &mut verdict);
    one_effect(lines, terms, &mut verdict);
    drains(lines, terms, &mut verdict);
    cold(lines, terms, &mut verdict);
    keep_terms(lines, terms, &mut verdict);
    budget(lines, terms, &mut verdict);
    verdict
}

impl Verdict {
    fn broken(&mut self, rule: Rule, at: u64, text: String) {
        self.findings.push(Finding { rule, at, text });
    }
}

struct Call {
    at: u64,
    until: u64,
    front: String,
    answers: Vec<u64>,
    excused: bool,
}

fn one_answer(lines: &[Line], terms: &Terms, verdict: &mut Verdict) {
    let mut calls: BTreeMap<u64, Call> = BTreeMap::new();
    let last = lines.last().map_or(0, |line| line.at);
    let mut downs: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for Line { at, what } in lines {
        match what {
            Event::Opened { open, front, patience, .. } => {
                let until = at + patience + terms.answer_slack + terms.lateness;
                let call = Call { at: *at, until, front: front.clone(), answers: Vec::new(), excused: false };
                calls.insert(*open, call);
            }
            Event::Answered { open, answer, .. } => {
                verdict.answers[match answer {
                    AnswerKind::Plays => 0,
                    AnswerKind::Refused => 1,
                    AnswerKind::Failed => 2,
                }] += 1;
                match calls.get_mut(open) {
                    Some(call) => call.answers.push(*at),
                    None => verdict.broken(Rule::OneAnswer, *at, format!("an answer to no call ({open})")),
                }
            }
            // No answer is owed any more; one may have been under way.
            Event::GaveUp { open } => {
                if let Some(call) = calls.get_mut(open) {
                    call.excused |= call.answers.is_empty();
                }
            }
            Event::FrontDown { front } => downs.entry(front).or_default().push(*at),
            _ => {}
        }
    }
    for (open, call) in &calls {
        let down = downs.get(call.front.as_str());
        let died = down.is_some_and(|downs| downs.iter().any(|at| (call.at..=call.until).contains(at)));
        // A call written to a front that was just killed was never taken by a running front.
        let before = |at: &u64| *at <= call.at && call.at < at + terms.lateness;
        let dead = down.is_some_and(|downs| downs.iter().any(before));
        if call.excused || died || dead {
            verdict.excused += 1;
        } else {
            verdict.calls_due += 1;
        }
        if call.answers.len() > 1 {
            let text = format!("call {open} to {} was answered {} times", call.front, call.answers.len());
            verdict.broken(Rule::OneAnswer, call.answers[1], text);
        }
        let owed = !(call.excused || died || dead) && call.until <= last;
        match call.answers.first() {
            None if owed => {
                let text = format!("call {open} to {} was never answered", call.front);
                verdict.broken(Rule::OneAnswer, call.at, text);
            }
            Some(at) if *at > call.until && !call.excused => {
                let late = (at - call.until) / 1000;
                let text = format!("call {open} to {} was answered {late} ms too late", call.front);
                verdict.broken(Rule::OneAnswer, *at, text);
            }
            _ => {}
        }
    }
}

#[derive(Default)]
struct Tries {
    /// The attempt that is out: its number and box.
    out: BTreeMap<(u32, u32), u64>,
    /// Attempts that may have run, and the latest of them by number.
    ran: BTreeSet<(u32, u32)>,
    class: String,
}

fn one_effect(lines: &[Line], terms: &Terms, verdict: &mut Verdict) {
    let mut sessions: BTreeMap<&str, Tries> = BTreeMap::new();
    // Ends that a front made by closing are seen by the box a little later than the front went on.
    let closed: BTreeMap<(&str, u32, u32), u64> = lines
        .iter()
        .filter_map(|line| match &line.what {
            Event::SetUpEnded { server, session, attempt, end: SetUpEnd::Closed } => {
                Some(((session.as_str(), *attempt, *server), line.at))
            }
            _ => None,
        })
        .collect();
    for Line { at, what } in lines {
        match what {
            Event::SetUpRead { server, session, attempt, class, .. } => {
                verdict.attempts += 1;
                let tries = sessions.entry(session).or_default();
                tries.class.clone_from(class);
                for (number, other) in tries.out.keys() {
                    let ended = closed.get(&(session.as_str(), *number, *other));
                    if ended.is_none_or(|ended| *ended > at + terms.lateness) {
                        let text = format!(
                            "session {session}: attempt {attempt} at box {server} while attempt {number} \
                             is out at box {other}"
                        );
                        verdict.findings.push(Finding { rule: Rule::OneEffect, at: *at, text });
                    }
                }
                let paid = terms.classes.get(class).is_some_and(|c| c.effect == EffectKind::Once);
                if paid && !tries.ran.is_empty() {
                    let text =
                        format!("session {session} of paid class {class} was set up again at box {server}");
                    verdict.findings.push(Finding { rule: Rule::OneEffect, at: *at, text });
                }
                if *attempt >= terms.attempts {
                    let text = format!("session {session}: attempt {attempt} of {} at most", terms.attempts);
                    verdict.findings.push(Finding { rule: Rule::OneEffect, at: *at, text });
                }
                tries.out.insert((*attempt, *server), *at);
                // Until it is told otherwise it may have run.
                tries.ran.insert((*attempt, *server));
            }
            Event::SetUpEnded { server, session, attempt, end } => {
                let Some(tries) = sessions.get_mut(session.as_str()) else { continue };
                tries.out.remove(&(*attempt, *server));
                if *end == SetUpEnd::Full {
                    tries.ran.remove(&(*attempt, *server));
                }
            }
            Event::Answered { session, answer: AnswerKind::Refused, .. } => {
                let Some(tries) = sessions.get(session.as_str()) else { continue };
                let paid = terms.classes.get(&tries.class).is_some_and(|c| c.effect == EffectKind::Once);
                if paid && !tries.ran.is_empty() {
                    let text =
                        format!("session {session} of a paid class was refused though it may have run");
                    verdict.findings.push(Finding { rule: Rule::OneEffect, at: *at, text });
                }
            }
            _ => {}
        }
    }
}

fn drains(lines: &[Line], terms: &Terms, verdict: &mut Verdict) {
    let mut told: BTreeMap<(&str, u32), u64> = BTreeMap::new();
    for Line { at, what } in lines {
        match what {
            Event::DrainTold { front, server } => {
                told.entry((front, *server)).or_insert(*at);
            }
            Event::ReadyTold { front, server } => {
                told.remove(&(front.as_str(), *server));
            }
            Event::FrontUp { front } => told.retain(|(of, _), _| of != front),
            Event::SetUpRead { server, front, session, .. } => {
                let Some(since) = told.get(&(front.as_str(), *server)) else { continue };
                let until = since + terms.drain_grace + terms.lateness;
                if *at > until {
                    let late = (at - until) / 1000;
                    let text =
                        format!("{front} sent session {session} to draining box {server}, {late} ms late");
                    verdict.broken(Rule::Drains, *at, text);
                }
            }
            _ => {}
        }
    }
}

/// Set-ups beyond the sum that a window may hold before it counts: chance, as the users' rule allows.
const COLD_SLACK: f64 = 2.0;

fn cold(lines: &[Line], terms: &Terms, verdict: &mut Verdict) {
    let mut starts: BTreeMap<u32, u64> = BTreeMap::new();
    let mut sent: BTreeMap<u32, VecDeque<u64>> = BTreeMap::new();
    for Line { at, what } in lines {
        match what {
            Event::BoxStarted { server, cold: true } => {
                starts.insert(*server, *at);
                sent.remove(server);
            }
            Event::BoxFell { server } => {
                verdict.broken(Rule::Cold, *at, format!("box {server} was pushed over"));
            }
            Event::SetUpRead { server, session, .. } => {
                let Some(start) = starts.get(server) else { continue };
                let age = at.saturating_sub(*start);
                if age >= terms.warm_up {
                    continue;
                }
                let window = sent.entry(*server).or_default();
                window.push_back(*at);
                window.retain(|before| before + terms.fall_window > *at);
                let warmed = age as f64 / terms.warm_up.max(1) as f64;
                let warmth = terms.cold_from + (1.0 - terms.cold_from) * warmed;
                let pace = f64::from(terms.places) / terms.warm_up.max(1) as f64 * warmth;
                let most = terms.fall_multiple * pace * terms.fall_window as f64 + COLD_SLACK;
                if window.len() as f64 > most {
                    let text = format!(
                        "box {server}, {} ms after its start, was sent {} set-ups in a window that holds {most:.1} \
                         (the last was session {session})",
                        age / 1000,
                        window.len()
                    );
                    verdict.broken(Rule::Cold, *at, text);
                }
            }
            _ => {}
        }
    }
}

fn keep_terms(lines: &[Line], terms: &Terms, verdict: &mut Verdict) {
    let mut classes: BTreeMap<&str, &str> = BTreeMap::new();
    // By front, class and title: the sessions held, with their attempts.
    let mut seats: BTreeMap<[&str; 3], BTreeSet<(&str, u32)>> = BTreeMap::new();
    for Line { at, what } in lines {
        match what {
            Event::SetUpRead { server, front, session, attempt, class, title, rung } => {
                classes.insert(session, class);
                let Some(class_terms) = terms.classes.get(class) else { continue };
                if !(class_terms.floor..=class_terms.top).contains(rung) {
                    let text =
                        format!("session {session} of {class} was set up at rung {rung} at box {server}");
                    verdict.broken(Rule::Terms, *at, text);
                }
                let held = seats.entry([front, class, title]).or_default();
                held.insert((session, *attempt));
                if class_terms.seats > 0 && held.len() > class_terms.seats {
                    let text = format!(
                        "{front} holds {} sessions of {title} in {class}, {} seats",
                        held.len(),
                        class_terms.seats
                    );
                    verdict.broken(Rule::Terms, *at, text);
                }
            }
            Event::RungSet { session, rung, .. } => {
                let class = classes.get(session.as_str()).copied().unwrap_or("");
                let Some(class_terms) = terms.classes.get(class) else { continue };
                if !(class_terms.floor..=class_terms.top).contains(rung) {
                    let text = format!("session {session} of {class} was put on rung {rung}");
                    verdict.broken(Rule::Terms, *at, text);
                }
            }
            Event::SetUpEnded { session, attempt, end, .. } if *end != SetUpEnd::Began => {
                seats.values_mut().for_each(|held| {
                    held.remove(&(session.as_str(), *attempt));
                });
            }
            Event::Ended { session, attempt, .. } => {
                seats.values_mut().for_each(|held| {
                    held.remove(&(session.as_str(), *attempt));
                });
            }
            _ => {}
        }
    }
}

fn budget(lines: &[Line], terms: &Terms, verdict: &mut Verdict) {
    let Some(budget) = terms.budget else { return };
    let mut taken: BTreeMap<&str, VecDeque<u64>> = BTreeMap::new();
    let mut further: BTreeMap<&str, VecDeque<u64>> = BTreeMap::new();
    for Line { at, what } in lines {
        match what {
            Event::Opened { front, .. } => taken.entry(front).or_default().push_back(*at),
            Event::FrontUp { front } => {
                taken.remove(front.as_str());
                further.remove(front.as_str());
            }
            Event::SetUpRead { front, session, attempt, .. } if *attempt > 0 => {
                let tries = further.entry(front).or_default();
                tries.push_back(*at);
                tries.retain(|before| before + budget.window >= *at);
                let calls = taken.entry(front).or_default();
                // Calls are written a moment before they are taken, and the window's edge lies between.
                calls.retain(|before| before + budget.window + terms.lateness >= *at);
                let most = budget.free + budget.share * calls.len() as f64;
                if tries.len() as f64 > most {
                    let text = format!(
                        "{front}: {} further attempts in a window that holds {most:.1} (the last for {session})",
                        tries.len()
                    );
                    verdict.broken(Rule::Budget, *at, text);
                }
            }
            _ => {}
        }
    }
}
