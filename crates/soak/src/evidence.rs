//! What was observed of the requests that a violation names: where only the output of a failed run is left, nothing else
//! tells its cause.

use std::fs;

use crate::trial::Outcome;

/// Violations of which the evidence is printed.
const MAX_VIOLATIONS: usize = 2;
/// Events and lines of logs of each, and the length of each line.
const MAX_LINES: usize = 16;
const MAX_LINE_LENGTH: usize = 200;
/// Digits of a request's id.
const ID_DIGITS: usize = 16;

/// The events and the lines of the front nodes' logs that name the requests of the first violations.
pub fn of_violations(outcome: &Outcome) -> Vec<String> {
    let descriptions = outcome.violations.iter().map(|violation| violation.description.as_str());
    let mut ids: Vec<&str> = descriptions.filter_map(request_id).collect();
    ids.dedup();
    ids.into_iter().take(MAX_VIOLATIONS).flat_map(|id| of_request(outcome, id)).collect()
}

fn request_id(description: &str) -> Option<&str> {
    let is_id = |word: &&str| word.len() == ID_DIGITS && word.chars().all(|digit| digit.is_ascii_hexdigit());
    description.split_whitespace().find(is_id)
}

fn of_request(outcome: &Outcome, id: &str) -> Vec<String> {
    // Events print ids without leading zeros.
    let printed = id.trim_start_matches('0');
    let events = outcome.record.events.iter();
    let events = events.map(|(at, event)| format!("{:.4} {event:x?}", *at as f64 / 1e6));
    let events = events.filter(|line| line.contains(printed)).take(MAX_LINES);
    let logs = outcome.logs.iter().filter_map(|log| fs::read_to_string(log).ok());
    let logs: Vec<String> = logs.flat_map(|log| lines_of(&log, id)).collect();
    events.chain(logs).map(|line| line.chars().take(MAX_LINE_LENGTH).collect()).collect()
}

fn lines_of(log: &str, id: &str) -> Vec<String> {
    log.lines().filter(|line| line.contains(id)).take(MAX_LINES).map(String::from).collect()
}
