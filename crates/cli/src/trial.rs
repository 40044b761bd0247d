//! `salttally trial`: runs a fault-injection trial and reports which properties held.

use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use salttally_judge::{accord, copies, members};
use salttally_members::core::Times;
use salttally_settings::Document;
use salttally_trial::describe::Trial as Description;
use salttally_trial::{
    consensus, fault_search, full_stack, membership, plan, processes, swim_baseline, timeline,
};
use serde_json::{json, Value};

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum ClockKind {
    /// Processes of salttallyd connected by a relay, in real time
    Processes,
    /// The same protocol cores on one event queue, in virtual time
    Virtual,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Core {
    /// The membership core of salttally
    Members,
    /// SWIM of another crate, with its default settings for a local network, for comparison
    Swim,
    /// The same, with the timing of salttally's membership
    SwimHasty,
}

/// Run a trial: a fleet of fronts under injected faults.
#[derive(Args)]
pub struct Trial {
    /// Trial description, KDL
    file: PathBuf,
    /// Real processes or virtual time
    #[arg(long, value_enum, default_value = "virtual")]
    clock: ClockKind,
    /// Membership implementation to run in virtual time
    #[arg(long, value_enum, default_value = "members")]
    core: Core,
    /// Number of fronts; overrides the description
    #[arg(long, value_name = "N")]
    fronts: Option<usize>,
    /// Loss on all links, as a share from 0 to 1; overrides the description
    #[arg(long, value_name = "SHARE")]
    loss: Option<f64>,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run, starting with the given one
    #[arg(long, default_value_t = 1, value_name = "N")]
    seeds: u64,
    /// Run random fault schedules for this time, and shrink the first one that breaks a property
    #[arg(long, value_name = "MINUTES")]
    hunt: Option<f64>,
    /// Place faults exhaustively, at every APART-th step: in a trial of replicated session records one crash and one pause at each protocol step, in a trial of rule versions one crash and one loss at each message that affects agreement
    #[arg(long, value_name = "APART")]
    placements: Option<u64>,
    /// Write all histories and the record of faults to this file, as JSON lines
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// Draw the views of all fronts over time to this file, as SVG
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// Print the verdict as JSON
    #[arg(long)]
    json: bool,
}

fn quantile(values: &[u64], share: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted.get(((sorted.len() as f64 * share).ceil() as usize).saturating_sub(1)).copied().unwrap_or(0)
}

/// Result of a judge, in a form common to all judges.
struct JudgeResult {
    broken: Vec<(&'static str, String)>,
    /// Descriptions of the properties, and how often each was checked.
    properties: Vec<(&'static str, u64)>,
    figures: Vec<(&'static str, Value)>,
}

fn quantiles(values: &[u64]) -> Value {
    json!({"count": values.len(), "p50_ms": quantile(values, 0.5) / 1000, "p99_ms": quantile(values, 0.99) / 1000,
        "most_ms": quantile(values, 1.0) / 1000})
}

impl JudgeResult {
    fn from_members(verdict: &members::Verdict) -> JudgeResult {
        let with_check_count =
            |description| (description, verdict.decided.get(description).copied().unwrap_or(0));
        JudgeResult {
            broken: verdict
                .broken
                .iter()
                .map(|(property, text)| (property.description(), text.clone()))
                .collect(),
            properties: members::Property::ALL
                .map(|property| with_check_count(property.description()))
                .to_vec(),
            figures: vec![
                ("crash", quantiles(&verdict.crash_to_each)),
                ("stopped_removed", json!(verdict.stopped_removed)),
                ("calm_to_equal_ms", json!(verdict.calm_to_equal / 1000)),
            ],
        }
    }

    fn from_replication(verdict: &copies::Verdict) -> JudgeResult {
        let with_check_count =
            |description| (description, verdict.decided.get(description).copied().unwrap_or(0));
        JudgeResult {
            broken: verdict
                .broken
                .iter()
                .map(|(property, text)| (property.description(), text.clone()))
                .collect(),
            properties: copies::Property::ALL
                .map(|property| with_check_count(property.description()))
                .to_vec(),
            figures: vec![
                ("found_again", quantiles(&verdict.found)),
                ("told_to_play_and_lives_taken_over", json!(verdict.counts)),
            ],
        }
    }

    fn from_consensus(verdict: &accord::Verdict) -> JudgeResult {
        let with_check_count =
            |description| (description, verdict.decided.get(description).copied().unwrap_or(0));
        JudgeResult {
            broken: verdict
                .broken
                .iter()
                .map(|(property, text)| (property.description(), text.clone()))
                .collect(),
            properties: accord::Property::ALL
                .map(|property| with_check_count(property.description()))
                .to_vec(),
            figures: vec![
                ("proposal_to_all", quantiles(&verdict.spread)),
                ("longest_contradiction_ms", json!(verdict.contradiction / 1000)),
                ("acts_by_lease_meet_none", json!(verdict.acts)),
            ],
        }
    }
}

impl Trial {
    /// Runs the trial.
    pub fn run(&self) -> Result<ExitCode, Box<dyn Error>> {
        let mut description = Description::read(&Document::load(&self.file)?)?;
        if let Some(fronts) = self.fronts {
            if fronts < description.fronts {
                return Err(
                    "fewer fronts than in the description, whose faults may name missing fronts".into()
                );
            }
            description.fronts = fronts;
        }
        description.link.loss = self.loss.unwrap_or(description.link.loss).clamp(0.0, 1.0);
        if let Some(minutes) = self.hunt {
            return Ok(self.search_faults(&description, minutes));
        }
        if let (Some(apart), Some(options)) = (self.placements, &description.replication) {
            let report = full_stack::placements(&description, options, self.seed, apart);
            let [schedules, takeovers] = report.schedules;
            println!(
                "{} replication steps; {schedules} schedules of one crash and one stop, {apart} steps apart; a takeover occurred in \
                 {takeovers}",
                report.steps
            );
            return Ok(match report.broken {
                None => {
                    println!("nothing broken");
                    ExitCode::SUCCESS
                }
                Some((placement, text)) => {
                    println!("{placement:?}: {text}");
                    if let Some(path) = &self.history {
                        let plan = plan::plan(&description, self.seed);
                        let lines =
                            full_stack::play_with_faults(&description, options, &plan, self.seed, placement)
                                .lines;
                        fs::write(path, lines.iter().map(|line| format!("{line}\n")).collect::<String>())?;
                    }
                    ExitCode::FAILURE
                }
            });
        }
        if let (Some(apart), Some(options)) = (self.placements, &description.consensus) {
            let report = consensus::placements(&description, options, self.seed, apart);
            println!(
                "{} messages affect agreement; {} schedules of one crash and one loss, {apart} messages apart; versions \
                 begun at the end, by schedules: {:?}",
                report.messages, report.schedules, report.begun
            );
            return Ok(match report.broken {
                None => {
                    println!("nothing broken");
                    ExitCode::SUCCESS
                }
                Some((placement, text)) => {
                    println!("{placement:?}: {text}");
                    ExitCode::FAILURE
                }
            });
        }
        let mut all_held = true;
        for seed in self.seed..self.seed + self.seeds {
            let started = Instant::now();
            let plan = plan::plan(&description, seed);
            let (lines, cost) = match self.clock {
                ClockKind::Virtual => {
                    let fronts = description.fronts;
                    let outcome = match (self.core, &description.replication, &description.consensus) {
                        (Core::Members, Some(options), _) => {
                            full_stack::play(&description, options, &plan, seed)
                        }
                        (Core::Members, None, Some(options)) => {
                            consensus::play(&description, options, &plan, seed)
                        }
                        (Core::Members, None, None) => {
                            membership::play(&description, &plan, seed, Times::default(), true)
                        }
                        (Core::Swim, ..) => swim_baseline::play(
                            &description,
                            &plan,
                            seed,
                            swim_baseline::default_config(fronts),
                        ),
                        (Core::SwimHasty, ..) => {
                            swim_baseline::play(&description, &plan, seed, swim_baseline::fast_config(fronts))
                        }
                    };
                    let span = outcome.span as f64 / 1e6;
                    let rate = outcome.bytes as f64 / span / description.fronts as f64;
                    let events = outcome.events as f64 / started.elapsed().as_secs_f64();
                    let cost = json!({"bytes_per_s_and_front": rate.round(), "events": outcome.events,
                        "events_per_s": events.round(), "longest_datagram": outcome.max_datagram_bytes, "seconds": span});
                    (outcome.lines, cost)
                }
                ClockKind::Processes => {
                    let daemon = std::env::current_exe()?.with_file_name("salttallyd");
                    let played = processes::play(&daemon, &description, &plan, seed, &mut |line| {
                        if !self.json {
                            eprintln!("{line}");
                        }
                    })?;
                    (played.lines, played.cost)
                }
            };
            if let Some(path) = &self.history {
                let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
                fs::write(path, text)?;
            }
            if let Some(path) = &self.svg {
                fs::write(path, timeline::svg(&lines))?;
            }
            let result = match (&description.replication, &description.consensus) {
                (Some(_), _) => JudgeResult::from_replication(&copies::judge(&lines)),
                (None, Some(_)) => JudgeResult::from_consensus(&accord::judge(&lines)),
                (None, None) => JudgeResult::from_members(&members::judge(&lines)),
            };
            all_held &= result.broken.is_empty();
            self.print_result(&description, seed, &result, &cost);
        }
        Ok(if all_held { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn print_result(&self, description: &Description, seed: u64, result: &JudgeResult, cost: &Value) {
        let broken_of = |description: &str| {
            result.broken.iter().filter(move |(property, _)| *property == description).collect::<Vec<_>>()
        };
        if self.json {
            let counts: Vec<usize> =
                result.properties.iter().map(|(description, _)| broken_of(description).len()).collect();
            let broken: Vec<Value> = result.broken.iter().take(20).map(|broken| json!(broken)).collect();
            let mut line = json!({"trial": description.name, "loss": description.link.loss,
                "fronts": description.fronts, "seed": seed, "broken": broken, "broken_by_property": counts,
                "cost": cost});
            for (key, value) in &result.figures {
                line[key] = value.clone();
            }
            println!("{line}");
            return;
        }
        println!("{} of {} fronts, seed {seed}", description.name, description.fronts);
        for (description, checks) in &result.properties {
            let broken = broken_of(description);
            let status =
                if broken.is_empty() { "held".to_owned() } else { format!("BROKEN {} times", broken.len()) };
            println!("  {description:<52} {status} ({checks} decided)");
            broken.iter().take(3).for_each(|(_, text)| println!("    {text}"));
        }
        result.figures.iter().for_each(|(key, value)| println!("  {key}: {value}"));
        println!("  {cost}");
    }

    fn search_faults(&self, base: &Description, minutes: f64) -> ExitCode {
        let until = Instant::now() + Duration::from_secs_f64(minutes.clamp(0.0, 1e6) * 60.0);
        let (mut seed, mut last_report) = (self.seed, Instant::now());
        while Instant::now() < until {
            let trial = fault_search::random_trial(base, seed);
            let broken = fault_search::play(&trial, seed);
            if let Some((property, text)) = broken.first() {
                println!("seed {seed}: {property}: {text}");
                let shrunk = fault_search::shrink(&trial, seed, property);
                println!("least: loss {}, {:#?}", shrunk.link.loss, shrunk.faults);
                if let Some(path) = &self.history {
                    let lines = fault_search::play_lines(&shrunk, seed);
                    let _ = fs::write(path, lines.iter().map(|line| format!("{line}\n")).collect::<String>());
                }
                return ExitCode::FAILURE;
            }
            if last_report.elapsed() > Duration::from_secs(5) {
                eprintln!("{} schedules, nothing broken", seed + 1 - self.seed);
                last_report = Instant::now();
            }
            seed += 1;
        }
        println!("{} schedules, nothing broken", seed - self.seed);
        ExitCode::SUCCESS
    }
}
