//! The limits on attempts: those of each request, and the budget for retries of all requests to a front node.

use std::collections::BTreeSet;

use super::{Attempt, Evaluation, Request, Rule, LIMIT_SLACK};
use crate::record::{Micros, RetryBudget};

/// Retries that the judge allows beyond the budget: the first of them may have left the window on its way to its server.
const RETRIES_ON_THE_WAY: f64 = 1.0;

/// An attempt beyond the first of a request.
#[derive(Clone, Copy)]
struct Retry {
    /// It was not sent before this time.
    earliest: Micros,
    received: Micros,
}

impl Retry {
    /// Whether the server read the attempt as it came.
    fn is_observed(&self) -> bool {
        self.earliest == self.received
    }
}

impl Request {
    /// Whether the front node took the request between these times. It may have taken the first copy if it made an attempt
    /// before the latest one was sent.
    fn was_taken_in(&self, from: Micros, until: Micros) -> bool {
        let first_was_read = self.attempts.first().is_some_and(|attempt| attempt.received < self.sent);
        let in_window = |at: Micros| (from..=until).contains(&at);
        in_window(self.sent) || first_was_read && in_window(self.first_sent)
    }
}

impl Evaluation<'_> {
    pub(super) fn check_attempt_limits(&mut self) {
        self.check_attempts_of_requests();
        let Some(budget) = self.record.terms.budget else { return };
        let nodes: BTreeSet<usize> = self.requests.values().map(|request| request.node).collect();
        for node in nodes {
            if let Some((at, description)) = self.excess_retries(node, budget) {
                self.report(Rule::Budget, at, description);
            }
        }
    }

    fn check_attempts_of_requests(&mut self) {
        let mut found = Vec::new();
        for (id, request) in &self.requests {
            if request.attempts.len() > self.record.terms.max_attempts {
                let at = request.attempts.last().map_or(0, |attempt| attempt.received);
                found.push((at, format!("{} attempts for {id:016x}", request.attempts.len())));
            }
        }
        found.into_iter().for_each(|(at, description)| self.report(Rule::Budget, at, description));
    }

    /// The first violation of the budget by a front node.
    fn excess_retries(&self, node: usize, budget: RetryBudget) -> Option<(Micros, String)> {
        let of_node = || self.requests.values().filter(|request| request.node == node);
        let attempts = of_node().flat_map(|request| request.attempts.iter().skip(1));
        let retries: Vec<Retry> = attempts.map(|attempt| self.retry(attempt)).collect();
        retries.iter().filter(|retry| retry.is_observed()).find_map(|last| {
            let from = last.received.saturating_sub(budget.window);
            let taken = of_node().filter(|request| request.was_taken_in(from, last.received + LIMIT_SLACK));
            let allowed = budget.free + budget.share * taken.count() as f64 + RETRIES_ON_THE_WAY;
            let in_window = |retry: &&Retry| retry.earliest >= from && retry.received <= last.received;
            let count = retries.iter().filter(in_window).count();
            let description = format!("node {node}: {count} further attempts, {allowed:.1} allowed");
            (count as f64 > allowed).then_some((last.received, description))
        })
    }

    fn retry(&self, attempt: &Attempt) -> Retry {
        let received = attempt.received;
        Retry { earliest: self.unobserved_since(attempt, received).unwrap_or(received), received }
    }
}
