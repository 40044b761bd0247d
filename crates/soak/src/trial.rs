//! One trial, from its seed to the violations.

use std::fs;
use std::io;
use std::path::PathBuf;

use crate::judge::{judge, Violation};
use crate::plan::{Overrides, Plan};
use crate::record::{Answer, Event, Micros, Record};
use crate::rig::Rig;

/// Result of a trial.
#[derive(Debug)]
pub struct Outcome {
    /// The plan.
    pub plan: Plan,
    /// The recorded events.
    pub record: Record,
    /// The violations.
    pub violations: Vec<Violation>,
    /// Largest delay of the test rig.
    pub rig_late: Micros,
    /// Log files of the processes; they are removed if there is no violation.
    pub logs: Vec<PathBuf>,
}

/// How to start front nodes.
#[derive(Clone, Debug)]
pub struct Program {
    /// The executable, started with `--platform`.
    pub path: PathBuf,
    /// Log level.
    pub log_level: String,
}

/// Number of requests and their answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests that were sent completely.
    pub asked: usize,
    /// Requests that were served.
    pub served: usize,
    /// Requests that were refused.
    pub refused: usize,
    /// Requests that failed.
    pub failed: usize,
    /// Attempts that reached servers.
    pub attempts: usize,
}

/// If the test rig was later than this, limits of 50 ms cannot be judged and the trial is void.
const MAX_RIG_LATE: Micros = 100_000;

/// Number of address ranges that are tried.
const ADDRESS_RANGES: usize = 20;

/// Verdict on a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No rule was violated.
    Passed,
    /// A rule was violated.
    Failed,
    /// The test rig was too late for a verdict.
    Void,
}

impl Outcome {
    /// The verdict.
    pub fn verdict(&self) -> Verdict {
        match (self.rig_late > MAX_RIG_LATE, self.violations.is_empty()) {
            (true, _) => Verdict::Void,
            (false, true) => Verdict::Passed,
            (false, false) => Verdict::Failed,
        }
    }

    /// Counts the requests and their answers.
    pub fn counts(&self) -> RequestCounts {
        let mut counts = RequestCounts::default();
        for (_, event) in &self.record.events {
            match event {
                Event::RequestSent { .. } => counts.asked += 1,
                Event::Answered { answer: Answer::Served(_), .. } => counts.served += 1,
                Event::Answered { answer: Answer::Refused, .. } => counts.refused += 1,
                Event::Answered { answer: Answer::Failed, .. } => counts.failed += 1,
                Event::SetUpReceived { .. } => counts.attempts += 1,
                _ => {}
            }
        }
        counts
    }
}

/// Starts the peers and processes of a plan. Another process may hold addresses of the range; there are others.
fn start_rig(plan: &Plan, program: &Program) -> io::Result<Rig> {
    for _ in 1..ADDRESS_RANGES {
        match Rig::new(plan.clone(), program) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            started => return started,
        }
    }
    Rig::new(plan.clone(), program)
}

/// Runs the trial of a seed with front nodes of this program.
///
/// # Errors
/// Sockets cannot be opened, or the program cannot be started.
pub fn play(seed: u64, overrides: Overrides, program: &Program) -> io::Result<Outcome> {
    let plan = match overrides.is_fleet {
        true => Plan::fleet_from_seed(seed, overrides),
        false => Plan::from_seed(seed, overrides),
    };
    let rig = start_rig(&plan, program)?;
    let logs = rig.logs();
    let record = rig.play();
    let violations = judge(&record);
    let late = |(_, event): &(Micros, Event)| match event {
        Event::RigLate { delay } => Some(*delay),
        _ => None,
    };
    let rig_late = record.events.iter().filter_map(late).max().unwrap_or(0);
    if violations.is_empty() {
        logs.iter().for_each(|log| drop(fs::remove_file(log)));
    }
    Ok(Outcome { plan, record, violations, rig_late, logs })
}
