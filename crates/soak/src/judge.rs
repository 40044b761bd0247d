//! Checks the rules against the recorded events. Shares no code with the front node.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::cold_servers;
use crate::record::{Answer, AttemptEnd, Effect, Event, Micros, Record};

mod attempt_limits;

/// Tolerance that the protocol adds to each time limit.
const LIMIT_SLACK: Micros = 50_000;
/// A missing final answer counts as lost this long after the end of the patience.
const ANSWER_SLACK: Micros = 500_000;
/// Time within which a resumed process has read what is in its socket buffers.
const RESUME_TIME: Micros = 250_000;
/// A set-up that begins later than this after the end of its request counts as sent after the end.
const FORWARDING_SLACK: Micros = 300_000;
/// A request sent at most this long before its connection was closed may be sent again.
const CLOSE_RACE: Micros = 50_000;
/// Time limit for the notice that a session has ended to reach its client, if the front node was notified of the end
/// and the client's connection is open.
const END_NOTICE_LIMIT: Micros = 1_000_000;
/// Time limit for that notice if the front node was not notified, the connection is closed, or the session was handed
/// over after its end or less than `HAND_OVER_DELAY` before.
const DELAYED_END_NOTICE_LIMIT: Micros = 8_000_000;
/// An exit this long before the kill, or later, is forced by it.
const LAST_EXIT_MARGIN: Micros = 300_000;
/// What happens less than this before an exit may not have been read.
const LATEST_END_BEFORE_EXIT: Micros = 50_000;
/// The longest time of a shutdown.
const MAX_TIME_TO_EXIT: Micros = 4_000_000;
/// Connections without a set-up that a front node makes within a second to a server that resets each one, at most: what is
/// sent again waits for 75 ms at least, and health is checked every 150 ms.
const MAX_DIALS_PER_SECOND: usize = 40;
const SECOND: Micros = 1_000_000;
/// What a server reads at once is recorded within this time.
const READ_TIME: Micros = 1_000;
/// A handed-over session counts as known to the front node this long after the hand-over.
const HAND_OVER_DELAY: Micros = 200_000;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one final answer in time; nothing is sent after its end; no session is orphaned.
    Lost,
    /// No two concurrent attempts; no second effect and no refusal of a request that may have run.
    Duplicate,
    /// No new session at a server that was announced as leaving, after a grace period.
    Drain,
    /// No overload of a cold server.
    Cold,
    /// Rungs within the range of the class.
    Terms,
    /// Attempts within the limit and the budget.
    Budget,
    /// A process ends only when requested.
    Crash,
    /// Descriptors and memory within the limits.
    Limits,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Time of the violation.
    pub at: Micros,
    /// What was observed.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.rule, self.at as f64 / 1e6, self.description)
    }
}

#[derive(Default)]
struct Request {
    /// When its first copy was sent.
    first_sent: Micros,
    /// When its latest copy was sent.
    sent: Micros,
    node: usize,
    conn: u64,
    class: usize,
    patience: Micros,
    gave_up: Option<Micros>,
    answers: Vec<(Micros, Answer)>,
    /// It crossed the end of its connection, and its process accepted no other.
    is_not_sent_again: bool,
    released: Option<Micros>,
    /// When its server forgot the end of its session, which it could not tell.
    end_forgotten: Option<Micros>,
    /// Time of the latest hand-over of its session.
    handed_over: Option<Micros>,
    attempts: Vec<Attempt>,
}

impl Request {
    /// Whether its client was served by an attempt that arrived after this time: what ended by then was another one.
    fn was_served_by_attempt_after(&self, at: Micros) -> bool {
        let Some((_, Answer::Served(description))) = self.answers.first() else { return false };
        let made = |attempt: &Attempt| match &attempt.end {
            Some((_, AttemptEnd::SetUp(made))) => made == description,
            _ => false,
        };
        self.attempts.iter().any(|attempt| made(attempt) && attempt.received > at)
    }
}

#[derive(Clone)]
struct Attempt {
    server: u32,
    received: Micros,
    end: Option<(Micros, AttemptEnd)>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        !matches!(self.end, Some((_, AttemptEnd::NeverRan)))
    }

    fn ended_at(&self) -> Micros {
        self.end.as_ref().map_or(Micros::MAX, |(at, _)| *at)
    }

    /// Whether its server read it together with the end of its connection: it was sent, and given up, earlier.
    fn was_read_with_its_end(&self) -> bool {
        let read_until = self.received + READ_TIME;
        self.end.as_ref().is_some_and(|(at, end)| *end == AttemptEnd::GivenUp && *at <= read_until)
    }
}

struct Evaluation<'a> {
    record: &'a Record,
    requests: BTreeMap<u64, Request>,
    /// Connections that their front nodes closed, with the time.
    closed_by_node: BTreeMap<u64, Micros>,
    /// Connections that their clients closed.
    closed_by_client: BTreeSet<u64>,
    /// For each connection of a client, the front node and the time of its first request.
    first_requests: BTreeMap<u64, (usize, Micros)>,
    /// Times of the requested shutdowns of each front node; `kills` and `exits` are by front node as well.
    shutdowns: BTreeMap<usize, Vec<Micros>>,
    kills: BTreeMap<usize, Vec<Micros>>,
    exits: BTreeMap<usize, Vec<Micros>>,
    /// Start and end of each suspension of a process.
    suspensions: BTreeMap<usize, Vec<(Micros, Micros)>>,
    /// Start and end of each period in which a server did not read.
    unresponsive: BTreeMap<u32, Vec<(Micros, Micros)>>,
    violations: Vec<Violation>,
}

/// All violations, in the order of the rules.
pub fn judge(record: &Record) -> Vec<Violation> {
    let mut evaluation = Evaluation {
        record,
        requests: BTreeMap::new(),
        closed_by_node: BTreeMap::new(),
        closed_by_client: BTreeSet::new(),
        first_requests: BTreeMap::new(),
        shutdowns: BTreeMap::new(),
        kills: BTreeMap::new(),
        exits: BTreeMap::new(),
        suspensions: BTreeMap::new(),
        unresponsive: BTreeMap::new(),
        violations: Vec::new(),
    };
    evaluation.index_events();
    evaluation.check_answers();
    evaluation.check_unreadable();
    evaluation.check_late_forwarding();
    evaluation.check_end_notices();
    evaluation.check_concurrent_attempts();
    evaluation.check_repeated_effects();
    evaluation.check_drains();
    evaluation.check_cold_servers();
    evaluation.check_rungs();
    evaluation.check_attempt_limits();
    evaluation.check_processes();
    evaluation.check_dials();
    evaluation.violations
}

impl Evaluation<'_> {
    fn report(&mut self, rule: Rule, at: Micros, description: String) {
        self.violations.push(Violation { rule, at, description });
    }

    fn index_events(&mut self) {
        let mut attempt_of: BTreeMap<u64, (u64, usize)> = BTreeMap::new();
        for (at, event) in &self.record.events {
            match event {
                Event::RequestSent { id, node, conn, class, patience } => {
                    self.first_requests.entry(*conn).or_insert((*node, *at));
                    let request = self.requests.entry(*id).or_default();
                    (request.first_sent, request.sent) = (*at, *at);
                    (request.node, request.conn) = (*node, *conn);
                    (request.class, request.patience) = (*class, *patience);
                }
                Event::GaveUp { id } => {
                    self.requests.entry(*id).or_default().gave_up.get_or_insert(*at);
                }
                Event::Answered { id, answer } => {
                    self.requests.entry(*id).or_default().answers.push((*at, answer.clone()));
                }
                Event::HandedOver { id, conn } => {
                    let request = self.requests.entry(*id).or_default();
                    (request.handed_over, request.conn) = (Some(*at), *conn);
                }
                Event::RequestResent { id, conn } => {
                    let request = self.requests.entry(*id).or_default();
                    match conn {
                        Some(conn) => (request.sent, request.conn) = (*at, *conn),
                        None => request.is_not_sent_again = true,
                    }
                }
                Event::Released { id } | Event::EndedByClient { id } => {
                    self.requests.entry(*id).or_default().released.get_or_insert(*at);
                }
                Event::EndForgotten { id } => {
                    self.requests.entry(*id).or_default().end_forgotten = Some(*at);
                }
                Event::SetUpReceived { attempt, id, server, .. } => {
                    let attempts = &mut self.requests.entry(*id).or_default().attempts;
                    attempt_of.insert(*attempt, (*id, attempts.len()));
                    attempts.push(Attempt { server: *server, received: *at, end: None });
                }
                Event::AttemptEnded { attempt, end } => {
                    let Some((id, index)) = attempt_of.get(attempt) else { continue };
                    let request = self.requests.entry(*id).or_default();
                    request.attempts[*index].end.get_or_insert((*at, end.clone()));
                }
                Event::ClosedByNode { conn } => {
                    self.closed_by_node.entry(*conn).or_insert(*at);
                }
                Event::ClosedByClient { conn } => {
                    self.closed_by_client.insert(*conn);
                }
                Event::ShutdownRequested { node } => self.shutdowns.entry(*node).or_default().push(*at),
                Event::Killed { node } => self.kills.entry(*node).or_default().push(*at),
                Event::Exited { node, .. } => self.exits.entry(*node).or_default().push(*at),
                Event::ProcessSuspended { node, until } => {
                    self.suspensions.entry(*node).or_default().push((*at, *until));
                }
                Event::ServerUnresponsive { server, until } => {
                    self.unresponsive.entry(*server).or_default().push((*at, *until))
                }
                _ => {}
            }
        }
    }

    /// Deadline of the answer to a request. A process that is suspended at the deadline answers after it resumes.
    fn answer_deadline(&self, request: &Request) -> Micros {
        let deadline = request.sent + request.patience + ANSWER_SLACK + LIMIT_SLACK;
        let deadline = self.after_suspension(request.node, deadline);
        // A request that arrives during a suspension is read after it, and its patience is counted from there: the
        // time that it waited in the socket buffer is unknown.
        let suspended = self.suspensions.get(&request.node).into_iter().flatten();
        let resumed = suspended.filter(|(from, until)| (*from..=*until).contains(&request.sent));
        resumed
            .map(|(_, until)| until + request.patience + LIMIT_SLACK)
            .max()
            .map_or(deadline, |after_resuming| after_resuming.max(deadline))
    }

    /// Extends a deadline that falls into a suspension to the time after the process has resumed.
    fn after_suspension(&self, node: usize, deadline: Micros) -> Micros {
        let suspended = self.suspensions.get(&node).into_iter().flatten();
        let overlapping =
            suspended.filter(|(from, until)| *from <= deadline && deadline <= until + RESUME_TIME);
        overlapping.map(|(_, until)| until + RESUME_TIME).max().unwrap_or(deadline)
    }

    /// Time at which a fault, not a planned shutdown, killed the process that received the request.
    fn killed_by_fault(&self, request: &Request) -> Option<Micros> {
        let killed = *self.kills.get(&request.node)?.iter().find(|at| **at >= request.sent)?;
        let shutdowns = self.shutdowns.get(&request.node).into_iter().flatten();
        let of_this_process = |shutdown: &&Micros| {
            **shutdown <= killed && !self.has_ended_between(request.node, **shutdown, killed)
        };
        shutdowns.into_iter().all(|shutdown| !of_this_process(&shutdown)).then_some(killed)
    }

    /// Whether a process of this front node exited or was killed between these times.
    fn has_ended_between(&self, node: usize, from: Micros, before: Micros) -> bool {
        let kills = self.kills.get(&node).into_iter().flatten();
        let exits = self.exits.get(&node).into_iter().flatten();
        kills.chain(exits).any(|end| (from..before).contains(end))
    }

    fn check_answers(&mut self) {
        let mut found = Vec::new();
        for (id, request) in self.requests.iter().filter(|(_, request)| request.patience > 0) {
            let deadline = self.answer_deadline(request);
            match request.answers.as_slice() {
                [] => found.extend(self.missing_answer(*id, request, deadline)),
                [(at, answer)] => {
                    if *at > deadline {
                        found.push((
                            *at,
                            format!(
                                "{id:016x} was answered {} ms after its deadline",
                                (at - deadline) / 1000
                            ),
                        ));
                    }
                    if let Answer::Served(description) = answer {
                        let was_made = request.attempts.iter().any(|attempt| {
                            matches!(&attempt.end, Some((_, AttemptEnd::SetUp(made))) if made == description)
                        });
                        if !was_made {
                            found.push((
                                *at,
                                format!("{id:016x} was served with a description that no server made for it"),
                            ));
                        }
                    }
                }
                [_, (at, second), ..] => {
                    found.push((*at, format!("{id:016x} got a second answer: {second:?}")))
                }
            }
        }
        found.into_iter().for_each(|(at, description)| self.report(Rule::Lost, at, description));
    }

    fn missing_answer(&self, id: u64, request: &Request, deadline: Micros) -> Option<(Micros, String)> {
        let due_until = request.gave_up.unwrap_or(Micros::MAX);
        let closed = self.closed_by_node.get(&request.conn).copied();
        let sent_as_it_closed = closed.is_some_and(|closed| request.sent + CLOSE_RACE >= closed);
        if request.is_not_sent_again && sent_as_it_closed {
            let exit = self.early_exit(request.node, request.sent);
            return exit
                .map(|exit| (exit, format!("{id:016x} crossed the exit of its front node and was refused")));
        }
        if let Some(killed) = self.killed_by_fault(request) {
            return (deadline < killed.min(due_until))
                .then(|| (deadline, format!("{id:016x} was not answered")));
        }
        if let Some(closed) = closed.filter(|closed| *closed < due_until) {
            let elapsed_ms = (closed - request.sent.min(closed)) / 1000;
            return Some((
                closed,
                format!("{id:016x} was not answered: its connection ended {elapsed_ms} ms after the request"),
            ));
        }
        (due_until > deadline && self.record.ended_at > deadline)
            .then(|| (deadline, format!("{id:016x} was not answered")))
    }

    fn check_unreadable(&mut self) {
        for (at, event) in &self.record.events {
            if let Event::Unreadable { conn } = event {
                let description = format!("client connection {conn} received bytes that cannot be decoded");
                self.violations.push(Violation { rule: Rule::Lost, at: *at, description });
            }
        }
    }

    fn check_late_forwarding(&mut self) {
        for (at, event) in &self.record.events {
            let Event::SetUpBegan { id, server, .. } = event else { continue };
            let Some(request) = self.requests.get(id) else {
                let description = format!("{id:016x} reached s-{server:08x}, but no client sent it");
                self.violations.push(Violation { rule: Rule::Lost, at: *at, description });
                continue;
            };
            let answered = request.answers.first().map(|(at, _)| *at);
            let ended = request.gave_up.into_iter().chain(answered).min().unwrap_or(Micros::MAX);
            if *at > ended.saturating_add(FORWARDING_SLACK) {
                let late_ms = (at - ended) / 1000;
                let description = format!("{id:016x} was sent to s-{server:08x} {late_ms} ms after its end");
                self.violations.push(Violation { rule: Rule::Lost, at: *at, description });
            }
        }
    }

    fn check_end_notices(&mut self) {
        let mut found = Vec::new();
        for (at, event) in &self.record.events {
            match event {
                Event::SessionStands { id } => found.push((
                    *at,
                    format!("{id:016x} stands for nobody: its client was told long ago that it is over"),
                )),
                Event::SessionOrphaned { id } => found
                    .push((*at, format!("{id:016x} still played 1 s after its front node had shut down"))),
                Event::SessionEnded { id, notified } => {
                    found.extend(self.late_end_notice(*id, *at, *notified));
                    if *notified {
                        found.extend(self.untold_at_exit(*id, *at));
                    }
                }
                Event::SessionReleased { id } => {
                    let exited = |request: &Request| {
                        let exits = self.exits.get(&request.node).into_iter().flatten();
                        exits.into_iter().any(|exit| *exit > *at && *exit < at + DELAYED_END_NOTICE_LIMIT)
                    };
                    // A process that shuts down cannot notify a client that has no connection.
                    match self.requests.get(id).is_some_and(exited) {
                        true => found.extend(self.untold_at_exit(*id, *at)),
                        false => found.extend(self.late_end_notice(*id, *at, true)),
                    }
                }
                _ => {}
            }
        }
        found.into_iter().for_each(|(at, description)| self.report(Rule::Lost, at, description));
    }

    /// The violation, if the client of a session that ended at this time was not notified in time; `notified` tells
    /// whether the front node knew of the end.
    fn late_end_notice(&self, id: u64, at: Micros, notified: bool) -> Option<(Micros, String)> {
        let request = self.requests.get(&id)?;
        let is_open = !self.closed_by_node.contains_key(&request.conn)
            && !self.closed_by_client.contains(&request.conn);
        let limit = if notified && is_open { END_NOTICE_LIMIT } else { DELAYED_END_NOTICE_LIMIT };
        let handed_over = request.handed_over.map(|at| at + HAND_OVER_DELAY);
        let (from, limit) = match handed_over.filter(|handed_over| *handed_over > at) {
            Some(handed_over) => (handed_over, DELAYED_END_NOTICE_LIMIT),
            None => (at, limit),
        };
        let deadline = self.after_suspension(request.node, from + limit + LIMIT_SLACK);
        let was_served = matches!(request.answers.first(), Some((_, Answer::Served(_))));
        let shutdowns = self.shutdowns.get(&request.node).into_iter().flatten();
        let exits = self.exits.get(&request.node).into_iter().flatten();
        let kills = self.kills.get(&request.node).into_iter().flatten();
        // What is owed at an exit is judged apart.
        let process_ended = shutdowns.chain(kills).chain(exits);
        let held_since = request.handed_over.unwrap_or(request.sent);
        let same_process = !process_ended.into_iter().any(|end| *end > held_since && *end < deadline);
        let late = request.released.unwrap_or(Micros::MAX) > deadline;
        let is_of_earlier_attempt = request.was_served_by_attempt_after(at);
        let can_know = request.end_forgotten.is_none_or(|at| at > deadline);
        let is_owed = was_served && same_process && can_know && !is_of_earlier_attempt;
        let is_lost = is_owed && late && self.record.ended_at > deadline;
        let description =
            format!("the client of {id:016x} got no notice of its end (front node notified: {notified})");
        is_lost.then_some((deadline, description))
    }

    /// The exit of the process that a front node had at this time, if it was requested, and not shortly before the kill.
    fn early_exit(&self, node: usize, after: Micros) -> Option<Micros> {
        let exit = self.exits.get(&node)?.iter().copied().find(|exit| *exit >= after)?;
        if self.has_ended_between(node, after, exit) {
            return None;
        }
        let shutdown = self.shutdowns.get(&node)?.iter().copied().rfind(|shutdown| *shutdown <= exit)?;
        let is_early = exit < shutdown + self.record.terms.kill_after.saturating_sub(LAST_EXIT_MARGIN);
        (is_early && after + LATEST_END_BEFORE_EXIT < exit && after + MAX_TIME_TO_EXIT > exit).then_some(exit)
    }

    /// The violation, if a session that ended at this time, shortly before its front node exited in order, was not told
    /// to its client, although a connection was open on which its client could have been told.
    fn untold_at_exit(&self, id: u64, at: Micros) -> Option<(Micros, String)> {
        let request = self.requests.get(&id)?;
        let held_since = request.handed_over.map_or(request.sent, |at| at + HAND_OVER_DELAY);
        let exit = self.early_exit(request.node, at)?;
        let was_open = |(conn, (node, first)): (&u64, &(usize, Micros))| {
            let is_closed = self.closed_by_client.contains(conn)
                || self.closed_by_node.get(conn).is_some_and(|closed| *closed < at);
            *node == request.node && *first < at && !is_closed && self.closed_by_node.contains_key(conn)
        };
        // A front node closes none to which a session belongs while there are others, such as half messages.
        let was_closed_early = self.closed_by_node.get(&request.conn).is_some_and(|closed| *closed < at)
            && !self.closed_by_client.contains(&request.conn);
        let could_be_told = was_closed_early || self.first_requests.iter().any(was_open);
        let was_served = matches!(request.answers.first(), Some((_, Answer::Served(_))));
        let is_untold = request.released.is_none_or(|released| released > exit + LIMIT_SLACK);
        let is_lost = was_served && is_untold && could_be_told && held_since < at;
        is_lost.then(|| (exit, format!("the client of {id:016x} got no notice of its end before the exit")))
    }

    /// Since when the server of an attempt did not read at this time, if it did not: arrival or end of the attempt were not
    /// observed.
    fn unobserved_since(&self, attempt: &Attempt, at: Micros) -> Option<Micros> {
        let spans = self.unresponsive.get(&attempt.server).into_iter().flatten();
        let around = spans.filter(|(from, until)| *from <= at && at <= *until + LIMIT_SLACK);
        around.map(|(from, _)| *from).min()
    }

    fn is_unobserved(&self, attempt: &Attempt, at: Micros) -> bool {
        self.unobserved_since(attempt, at).is_some()
    }

    fn check_dials(&mut self) {
        let mut resets: BTreeMap<(u32, usize), Vec<Micros>> = BTreeMap::new();
        for (at, event) in &self.record.events {
            if let Event::ConnectionReset { server, node } = event {
                resets.entry((*server, *node)).or_default().push(*at);
            }
        }
        for ((server, node), times) in resets {
            let is_loop = |window: &&[Micros]| window[MAX_DIALS_PER_SECOND] < window[0] + SECOND;
            let Some(window) = times.windows(MAX_DIALS_PER_SECOND + 1).find(is_loop) else { continue };
            let description =
                format!("front node {node} dialled s-{server:08x} in a loop, which resets each connection");
            self.report(Rule::Limits, window[0], description);
        }
    }

    fn check_concurrent_attempts(&mut self) {
        let mut found = Vec::new();
        for (id, request) in &self.requests {
            for (index, second) in request.attempts.iter().enumerate() {
                for first in &request.attempts[..index] {
                    let slack = if first.server == second.server { 0 } else { LIMIT_SLACK };
                    let is_elsewhere = first.server != second.server;
                    // An attempt that was not read yet has arrived earlier than observed.
                    let unobserved = self.is_unobserved(first, second.received)
                        || self.is_unobserved(second, second.received);
                    if is_elsewhere && (unobserved || second.was_read_with_its_end()) {
                        continue;
                    }
                    if first.ended_at() > second.received.saturating_add(slack) {
                        let description = format!(
                            "{id:016x} reached s-{:08x} while an attempt at s-{:08x} was open since {:.3} s",
                            second.server,
                            first.server,
                            first.received as f64 / 1e6
                        );
                        found.push((second.received, description));
                    }
                }
            }
        }
        found.into_iter().for_each(|(at, description)| self.report(Rule::Duplicate, at, description));
    }

    fn check_repeated_effects(&mut self) {
        let mut found = Vec::new();
        for (id, request) in &self.requests {
            if self.record.terms.classes.get(request.class).is_none_or(|class| class.effect == Effect::Safe) {
                continue;
            }
            let possible_run_before = |before: Micros| {
                request
                    .attempts
                    .iter()
                    .find(move |attempt| attempt.received < before && attempt.may_have_run())
            };
            for attempt in
                request.attempts.iter().filter(|attempt| possible_run_before(attempt.received).is_some())
            {
                found.push((attempt.received, format!("{id:016x} was sent again although it may have run")));
            }
            if let Some((at, Answer::Refused)) = request.answers.first() {
                if possible_run_before(*at).is_some() {
                    found.push((*at, format!("{id:016x} was refused although it may have run")));
                }
            }
        }
        found.into_iter().for_each(|(at, description)| self.report(Rule::Duplicate, at, description));
    }

    fn check_drains(&mut self) {
        let mut leaving_since: BTreeMap<(u32, usize), Micros> = BTreeMap::new();
        let grace = self.record.terms.drain_grace + LIMIT_SLACK;
        let mut ordered: Vec<&(Micros, Event)> = self.record.events.iter().collect();
        ordered.sort_by_key(|(at, _)| *at);
        for (at, event) in ordered {
            match event {
                Event::AnnouncedLeaving { server, node } => {
                    leaving_since.entry((*server, *node)).or_insert(*at);
                }
                Event::AnnouncedReady { server, node } => {
                    leaving_since.remove(&(*server, *node));
                }
                Event::SetUpBegan { id, server, node } => {
                    let Some(announced) =
                        leaving_since.get(&(*server, *node)).filter(|announced| *at > **announced + grace)
                    else {
                        continue;
                    };
                    let late_ms = (at - announced) / 1000;
                    let description = format!(
                        "{id:016x} was sent to s-{server:08x} {late_ms} ms after it was announced as leaving"
                    );
                    self.violations.push(Violation { rule: Rule::Drain, at: *at, description });
                }
                _ => {}
            }
        }
    }

    fn check_cold_servers(&mut self) {
        for fall in cold_servers::falls(self.record) {
            self.report(Rule::Cold, fall.at, fall.to_string());
        }
    }

    fn check_rungs(&mut self) {
        for (at, event) in &self.record.events {
            let Event::SetUpReceived { id, rung, .. } = event else { continue };
            let class =
                self.requests.get(id).and_then(|request| self.record.terms.classes.get(request.class));
            if class.is_some_and(|class| !(class.floor..=class.top).contains(rung)) {
                let description = format!("{id:016x} was set up on rung {rung}");
                self.violations.push(Violation { rule: Rule::Terms, at: *at, description });
            }
        }
    }

    fn check_processes(&mut self) {
        let mut limits = BTreeSet::new();
        for (at, event) in &self.record.events {
            match event {
                Event::Exited { node, code } => {
                    let was_requested =
                        self.shutdowns.get(node).into_iter().flatten().any(|requested| requested <= at);
                    if *code != Some(0) || !was_requested {
                        let description =
                            format!("node {node} exited with {code:?}, shutdown requested: {was_requested}");
                        self.violations.push(Violation { rule: Rule::Crash, at: *at, description });
                    }
                }
                Event::ResourceSample { node, sockets, memory_mb } => {
                    let terms = &self.record.terms;
                    if (*sockets > terms.sockets || *memory_mb > terms.memory_mb) && limits.insert(*node) {
                        let description =
                            format!("node {node} holds {sockets} descriptors and {memory_mb} MB");
                        self.violations.push(Violation { rule: Rule::Limits, at: *at, description });
                    }
                }
                _ => {}
            }
        }
    }
}
