//! Checks each rule by a pass of its own over the whole record.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use crate::record::{AnswerKind, EffectKind, Event, Line, SetUpEnd, Terms};

/// The rules, in the order of the users' specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each accepted request gets exactly one answer, in time.
    OneAnswer,
    /// No paid set-up is sent twice, and a session never has two attempts in flight.
    OneEffect,
    /// No new set-up goes to a box after the grace period that follows the notice of its drain.
    Drains,
    /// No cold box is overloaded.
    Cold,
    /// Floors and seats of the classes are kept.
    Terms,
    /// Further attempts, all but the first of each session, stay within the budget.
    Budget,
}

impl Rule {
    /// All rules.
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

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The rule.
    pub rule: Rule,
    /// Time of the line that breaks it, in microseconds.
    pub at: u64,
    /// Description, a sentence.
    pub text: String,
}

/// Result of judging a record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// All findings, ordered by rule and then by time.
    pub findings: Vec<Finding>,
    /// Number of calls that had to be answered.
    pub calls_due: usize,
    /// Numbers of answers: plays, refused, failed.
    pub answers: [usize; 3],
    /// Number of set-ups that reached boxes.
    pub attempts: usize,
    /// Number of calls that didn't have to be answered: given up, or their front was down.
    pub excused: usize,
}

impl Verdict {
    /// Whether a rule was kept throughout the record.
    pub fn kept(&self, rule: Rule) -> bool {
        !self.findings.iter().any(|finding| finding.rule == rule)
    }

    /// Whether all rules were kept.
    pub fn all_kept(&self) -> bool {
        self.findings.is_empty()
    }
}

/// Judges a record, whose first line must be the terms.
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
    check_one_answer(lines, terms, &mut verdict);
    check_one_effect(lines, terms, &mut verdict);
    check_drains(lines, terms, &mut verdict);
    check_cold_boxes(lines, terms, &mut verdict);
    check_terms(lines, terms, &mut verdict);
    check_budget(lines, terms, &mut verdict);
    verdict
}

impl Verdict {
    fn add_finding(&mut self, rule: Rule, at: u64, text: String) {
        self.findings.push(Finding { rule, at, text });
    }
}

struct Call {
    at: u64,
    deadline: u64,
    front: String,
    answers: Vec<u64>,
    excused: bool,
}

fn check_one_answer(lines: &[Line], terms: &Terms, verdict: &mut Verdict) {
    let mut calls: BTreeMap<u64, Call> = BTreeMap::new();
    let last = lines.last().map_or(0, |line| line.at);
    let mut downs: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for Line { at, what } in lines {
        match what {
            Event::Opened { open, front, patience, .. } => {
                let deadline = at + patience + terms.answer_slack + terms.lateness;
                let call =
                    Call { at: *at, deadline, front: front.clone(), answers: Vec::new(), excused: false };
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
                    None => {
                        verdict.add_finding(Rule::OneAnswer, *at, format!("an answer to no call ({open})"))
                    }
                }
            }
            // After giving up no answer is required, but one may already have been on its way.
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
        let front_downs = downs.get(call.front.as_str());
        let front_died =
            front_downs.is_some_and(|downs| downs.iter().any(|at| (call.at..=call.deadline).contains(at)));
        // A call sent to a front that had just been killed was never accepted.
        let just_killed = |at: &u64| *at <= call.at && call.at < at + terms.lateness;
        let front_was_down = front_downs.is_some_and(|downs| downs.iter().any(just_killed));
        if call.excused || front_died || front_was_down {
            verdict.excused += 1;
        } else {
            verdict.calls_due += 1;
        }
        if call.answers.len() > 1 {
            let text = format!("call {open} to {} was answered {} times", call.front, call.answers.len());
            verdict.add_finding(Rule::OneAnswer, call.answers[1], text);
        }
        let answer_due = !(call.excused || front_died || front_was_down) && call.deadline <= last;
        match call.answers.first() {
            None if answer_due => {
                let text = format!("call {open} to {} was never answered", call.front);
                verdict.add_finding(Rule::OneAnswer, call.at, text);
            }
            Some(at) if *at > call.deadline && !call.excused => {
                let late = (at - call.deadline) / 1000;
                let text = format!("call {open} to {} was answered {late} ms too late", call.front);
                verdict.add_finding(Rule::OneAnswer, *at, text);
            }
            _ => {}
        }
    }
}

#[derive(Default)]
struct SessionAttempts {
    /// Attempts in flight: number and box, with the time of the set-up.
    outstanding: BTreeMap<(u32, u32), u64>,
    /// Attempts that may have been executed: number and box.
    possibly_executed: BTreeSet<(u32, u32)>,
    class: String,
}

fn check_one_effect(lines: &[Line], terms: &Terms, verdict: &mut Verdict) {
    let mut sessions: BTreeMap<&str, SessionAttempts> = BTreeMap::new();
    // When a front closes a connection, the box notices it a little later than the front continues.
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
                let attempts = sessions.entry(session).or_default();
                attempts.class.clone_from(class);
                for (number, other) in attempts.outstanding.keys() {
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
                if paid && !attempts.possibly_executed.is_empty() {
                    let text =
                        format!("session {session} of paid class {class} was set up again at box {server}");
                    verdict.findings.push(Finding { rule: Rule::OneEffect, at: *at, text });
                }
                if *attempt >= terms.attempts {
                    let text = format!("session {session}: attempt {attempt} of {} at most", terms.attempts);
                    verdict.findings.push(Finding { rule: Rule::OneEffect, at: *at, text });
                }
                attempts.outstanding.insert((*attempt, *server), *at);
                // It may have been executed until the box says otherwise.
                attempts.possibly_executed.insert((*attempt, *server));
            }
            Event::SetUpEnded { server, session, attempt, end } => {
                let Some(attempts) = sessions.get_mut(session.as_str()) else { continue };
                attempts.outstanding.remove(&(*attempt, *server));
                if *end == SetUpEnd::Full {
                    attempts.possibly_executed.remove(&(*attempt, *server));
                }
            }
            Event::Answered { session, answer: AnswerKind::Refused, .. } => {
                let Some(attempts) = sessions.get(session.as_str()) else { continue };
                let paid = terms.classes.get(&attempts.class).is_some_and(|c| c.effect == EffectKind::Once);
                if paid && !attempts.possibly_executed.is_empty() {
                    let text =
                        format!("session {session} of a paid class was refused though it may have run");
                    verdict.findings.push(Finding { rule: Rule::OneEffect, at: *at, text });
                }
            }
            _ => {}
        }
    }
}

fn check_drains(lines: &[Line], terms: &Terms, verdict: &mut Verdict) {
    let mut draining: BTreeMap<(&str, u32), u64> = BTreeMap::new();
    for Line { at, what } in lines {
        match what {
            Event::DrainTold { front, server } => {
                draining.entry((front, *server)).or_insert(*at);
            }
            Event::ReadyTold { front, server } => {
                draining.remove(&(front.as_str(), *server));
            }
            Event::FrontUp { front } => draining.retain(|(of, _), _| of != front),
            Event::SetUpRead { server, front, session, .. } => {
                let Some(since) = draining.get(&(front.as_str(), *server)) else { continue };
                let until = since + terms.drain_grace + terms.lateness;
                if *at > until {
                    let late = (at - until) / 1000;
                    let text =
                        format!("{front} sent session {session} to draining box {server}, {late} ms late");
                    verdict.add_finding(Rule::Drains, *at, text);
                }
            }
            _ => {}
        }
    }
}

/// Set-ups above the limit of a window that don't count as a violation: the users' rule allows for chance.
const COLD_SLACK_SET_UPS: f64 = 2.0;

fn check_cold_boxes(lines: &[Line], terms: &Terms, verdict: &mut Verdict) {
    let mut starts: BTreeMap<u32, u64> = BTreeMap::new();
    let mut sent: BTreeMap<u32, VecDeque<u64>> = BTreeMap::new();
    for Line { at, what } in lines {
        match what {
            Event::BoxStarted { server, cold: true } => {
                starts.insert(*server, *at);
                sent.remove(server);
            }
            Event::BoxFell { server } => {
                verdict.add_finding(Rule::Cold, *at, format!("box {server} was pushed over"));
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
                let warmed_part = age as f64 / terms.warm_up.max(1) as f64;
                let pace_factor = terms.cold_from + (1.0 - terms.cold_from) * warmed_part;
                let pace = f64::from(terms.places) / terms.warm_up.max(1) as f64 * pace_factor;
                let limit = terms.fall_multiple * pace * terms.fall_window as f64 + COLD_SLACK_SET_UPS;
                if window.len() as f64 > limit {
                    let text = format!(
                        "box {server}, {} ms after its start, was sent {} set-ups in a window that holds {limit:.1} \
                         (the last was session {session})",
                        age / 1000,
                        window.len()
                    );
                    verdict.add_finding(Rule::Cold, *at, text);
                }
            }
            _ => {}
        }
    }
}

fn check_terms(lines: &[Line], terms: &Terms, verdict: &mut Verdict) {
    let mut classes: BTreeMap<&str, &str> = BTreeMap::new();
    // Sessions held, with their attempts, by front, class and title.
    let mut seats: BTreeMap<[&str; 3], BTreeSet<(&str, u32)>> = BTreeMap::new();
    for Line { at, what } in lines {
        match what {
            Event::SetUpRead { server, front, session, attempt, class, title, rung } => {
                classes.insert(session, class);
                let Some(class_terms) = terms.classes.get(class) else { continue };
                if !(class_terms.floor..=class_terms.top).contains(rung) {
                    let text =
                        format!("session {session} of {class} was set up at rung {rung} at box {server}");
                    verdict.add_finding(Rule::Terms, *at, text);
                }
                let held = seats.entry([front, class, title]).or_default();
                held.insert((session, *attempt));
                if class_terms.seats > 0 && held.len() > class_terms.seats {
                    let text = format!(
                        "{front} holds {} sessions of {title} in {class}, {} seats",
                        held.len(),
                        class_terms.seats
                    );
                    verdict.add_finding(Rule::Terms, *at, text);
                }
            }
            Event::RungSet { session, rung, .. } => {
                let class = classes.get(session.as_str()).copied().unwrap_or("");
                let Some(class_terms) = terms.classes.get(class) else { continue };
                if !(class_terms.floor..=class_terms.top).contains(rung) {
                    let text = format!("session {session} of {class} was put on rung {rung}");
                    verdict.add_finding(Rule::Terms, *at, text);
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

fn check_budget(lines: &[Line], terms: &Terms, verdict: &mut Verdict) {
    let Some(budget) = terms.budget else { return };
    let mut accepted: BTreeMap<&str, VecDeque<u64>> = BTreeMap::new();
    let mut further_attempts: BTreeMap<&str, VecDeque<u64>> = BTreeMap::new();
    for Line { at, what } in lines {
        match what {
            Event::Opened { front, .. } => accepted.entry(front).or_default().push_back(*at),
            Event::FrontUp { front } => {
                accepted.remove(front.as_str());
                further_attempts.remove(front.as_str());
            }
            Event::SetUpRead { front, session, attempt, .. } if *attempt > 0 => {
                let attempts = further_attempts.entry(front).or_default();
                attempts.push_back(*at);
                attempts.retain(|before| before + budget.window >= *at);
                let calls = accepted.entry(front).or_default();
                // Calls are recorded just before they are accepted, and the edge of the window may lie between the two.
                calls.retain(|before| before + budget.window + terms.lateness >= *at);
                let limit = budget.free + budget.share * calls.len() as f64;
                if attempts.len() as f64 > limit {
                    let text = format!(
                        "{front}: {} further attempts in a window that holds {limit:.1} (the last for {session})",
                        attempts.len()
                    );
                    verdict.add_finding(Rule::Budget, *at, text);
                }
            }
            _ => {}
        }
    }
}
