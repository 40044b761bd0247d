//! `salttally trial`: plays a trial and tells what held.

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
use salttally_trial::{hunt, picture, plain, plan, processes, versions, virt, whole};
use serde_json::{json, Value};

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum ClockKind {
    /// Processes of salttallyd, with a relay between them, in real time
    Processes,
    /// The same cores on one event queue
    Virtual,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Core {
    /// The product's
    Members,
    /// Plain SWIM by another crate, with its own settings for a local network: to compare
    Swim,
    /// The same, as hasty as the product's
    SwimHasty,
}

/// Play a trial: a fleet of fronts under faults between them.
#[derive(Args)]
pub struct Trial {
    /// Description, as KDL
    file: PathBuf,
    /// In which clock
    #[arg(long, value_enum, default_value = "virtual")]
    clock: ClockKind,
    /// Whose membership is played in virtual time
    #[arg(long, value_enum, default_value = "members")]
    core: Core,
    /// So many fronts, in place of the description's
    #[arg(long, value_name = "N")]
    fronts: Option<usize>,
    /// So much loss on all links, in place of the description's
    #[arg(long, value_name = "SHARE")]
    loss: Option<f64>,
    /// Seed of all draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many seeds, one after the other, from this one on
    #[arg(long, default_value_t = 1, value_name = "N")]
    seeds: u64,
    /// Draw schedules of faults anew for so long, and shorten the first that breaks a property
    #[arg(long, value_name = "MINUTES")]
    hunt: Option<f64>,
    /// Of a trial of promises: place one crash and one stop at every step of a promise, so many apart. Of versions: place one crash and one loss at every message that carries something, so many apart
    #[arg(long, value_name = "APART")]
    placements: Option<u64>,
    /// Write all histories and the truth here, as JSON lines
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// Draw who believed whom alive here, as SVG
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

/// What a judge found, whichever it was.
struct Found {
    broken: Vec<(&'static str, String)>,
    /// Properties, and how often each had something to decide.
    properties: Vec<(&'static str, u64)>,
    figures: Vec<(&'static str, Value)>,
}

fn quantiles(values: &[u64]) -> Value {
    json!({"count": values.len(), "p50_ms": quantile(values, 0.5) / 1000, "p99_ms": quantile(values, 0.99) / 1000,
        "most_ms": quantile(values, 1.0) / 1000})
}

impl Found {
    fn members(verdict: &members::Verdict) -> Found {
        let decided = |words| (words, verdict.decided.get(words).copied().unwrap_or(0));
        Found {
            broken: verdict.broken.iter().map(|(of, text)| (of.description(), text.clone())).collect(),
            properties: members::Property::ALL.map(|property| decided(property.description())).to_vec(),
            figures: vec![
                ("crash", quantiles(&verdict.crash_to_each)),
                ("stopped_removed", json!(verdict.stopped_removed)),
                ("calm_to_equal_ms", json!(verdict.calm_to_equal / 1000)),
            ],
        }
    }

    fn promises(verdict: &copies::Verdict) -> Found {
        let decided = |words| (words, verdict.decided.get(words).copied().unwrap_or(0));
        Found {
            broken: verdict.broken.iter().map(|(of, text)| (of.description(), text.clone())).collect(),
            properties: copies::Property::ALL.map(|property| decided(property.description())).to_vec(),
            figures: vec![
                ("found_again", quantiles(&verdict.found)),
                ("told_to_play_and_lives_taken_over", json!(verdict.counts)),
            ],
        }
    }

    fn versions(verdict: &accord::Verdict) -> Found {
        let decided = |words| (words, verdict.decided.get(words).copied().unwrap_or(0));
        Found {
            broken: verdict.broken.iter().map(|(of, text)| (of.description(), text.clone())).collect(),
            properties: accord::Property::ALL.map(|property| decided(property.description())).to_vec(),
            figures: vec![
                ("proposal_to_all", quantiles(&verdict.spread)),
                ("longest_contradiction_ms", json!(verdict.contradiction / 1000)),
                ("acts_by_lease_meet_none", json!(verdict.acts)),
            ],
        }
    }
}

impl Trial {
    /// Plays it.
    pub fn run(&self) -> Result<ExitCode, Box<dyn Error>> {
        let mut description = Description::read(&Document::load(&self.file)?)?;
        if let Some(fronts) = self.fronts {
            if fronts < description.fronts {
                return Err(
                    "fewer fronts than the description's: its faults may name those that are not".into()
                );
            }
            description.fronts = fronts;
        }
        description.link.loss = self.loss.unwrap_or(description.link.loss).clamp(0.0, 1.0);
        if let Some(minutes) = self.hunt {
            return Ok(self.hunted(&description, minutes));
        }
        if let (Some(apart), Some(described)) = (self.placements, &description.promises) {
            let placed = whole::placements(&description, described, self.seed, apart);
            let [all, taken] = placed.schedules;
            println!(
                "{} steps of promises; {all} schedules of one crash and one stop, {apart} steps apart; a life was taken over in \
                 {taken}",
                placed.steps
            );
            return Ok(match placed.broken {
                None => {
                    println!("nothing broken");
                    ExitCode::SUCCESS
                }
                Some((struck, text)) => {
                    println!("{struck:?}: {text}");
                    if let Some(path) = &self.history {
                        let plan = plan::plan(&description, self.seed);
                        let lines =
                            whole::play_struck(&description, described, &plan, self.seed, struck).lines;
                        fs::write(path, lines.iter().map(|line| format!("{line}\n")).collect::<String>())?;
                    }
                    ExitCode::FAILURE
                }
            });
        }
        if let (Some(apart), Some(described)) = (self.placements, &description.versions) {
            let placed = versions::placements(&description, described, self.seed, apart);
            println!(
                "{} messages carry something; {} schedules of one crash and one loss, {apart} messages apart; versions \
                 begun at the end, by schedules: {:?}",
                placed.messages, placed.schedules, placed.begun
            );
            return Ok(match placed.broken {
                None => {
                    println!("nothing broken");
                    ExitCode::SUCCESS
                }
                Some((struck, text)) => {
                    println!("{struck:?}: {text}");
                    ExitCode::FAILURE
                }
            });
        }
        let mut all = true;
        for seed in self.seed..self.seed + self.seeds {
            let begun = Instant::now();
            let plan = plan::plan(&description, seed);
            let (lines, cost) = match self.clock {
                ClockKind::Virtual => {
                    let fronts = description.fronts;
                    let out = match (self.core, &description.promises, &description.versions) {
                        (Core::Members, Some(described), _) => {
                            whole::play(&description, described, &plan, seed)
                        }
                        (Core::Members, None, Some(described)) => {
                            versions::play(&description, described, &plan, seed)
                        }
                        (Core::Members, None, None) => {
                            virt::play(&description, &plan, seed, Times::default(), true)
                        }
                        (Core::Swim, ..) => plain::play(&description, &plan, seed, plain::usual(fronts)),
                        (Core::SwimHasty, ..) => plain::play(&description, &plan, seed, plain::hasty(fronts)),
                    };
                    let span = out.span as f64 / 1e6;
                    let rate = out.bytes as f64 / span / description.fronts as f64;
                    let events = out.events as f64 / begun.elapsed().as_secs_f64();
                    let cost = json!({"bytes_per_s_and_front": rate.round(), "events": out.events,
                        "events_per_s": events.round(), "longest_datagram": out.longest, "seconds": span});
                    (out.lines, cost)
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
                fs::write(path, picture::svg(&lines))?;
            }
            let found = match (&description.promises, &description.versions) {
                (Some(_), _) => Found::promises(&copies::judge(&lines)),
                (None, Some(_)) => Found::versions(&accord::judge(&lines)),
                (None, None) => Found::members(&members::judge(&lines)),
            };
            all &= found.broken.is_empty();
            self.tell(&description, seed, &found, &cost);
        }
        Ok(if all { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn tell(&self, description: &Description, seed: u64, found: &Found, cost: &Value) {
        let of = |words: &str| found.broken.iter().filter(move |(of, _)| *of == words).collect::<Vec<_>>();
        if self.json {
            let counts: Vec<usize> = found.properties.iter().map(|(words, _)| of(words).len()).collect();
            let broken: Vec<Value> = found.broken.iter().take(20).map(|broken| json!(broken)).collect();
            let mut line = json!({"trial": description.name, "loss": description.link.loss,
                "fronts": description.fronts, "seed": seed, "broken": broken, "broken_by_property": counts,
                "cost": cost});
            for (key, value) in &found.figures {
                line[key] = value.clone();
            }
            println!("{line}");
            return;
        }
        println!("{} of {} fronts, seed {seed}", description.name, description.fronts);
        for (words, decided) in &found.properties {
            let broken = of(words);
            let said =
                if broken.is_empty() { "held".to_owned() } else { format!("BROKEN {} times", broken.len()) };
            println!("  {words:<52} {said} ({decided} decided)");
            broken.iter().take(3).for_each(|(_, text)| println!("    {text}"));
        }
        found.figures.iter().for_each(|(key, value)| println!("  {key}: {value}"));
        println!("  {cost}");
    }

    fn hunted(&self, base: &Description, minutes: f64) -> ExitCode {
        let until = Instant::now() + Duration::from_secs_f64(minutes.clamp(0.0, 1e6) * 60.0);
        let (mut seed, mut told) = (self.seed, Instant::now());
        while Instant::now() < until {
            let trial = hunt::drawn(base, seed);
            let broken = hunt::play(&trial, seed);
            if let Some((property, text)) = broken.first() {
                println!("seed {seed}: {property}: {text}");
                let least = hunt::shrink(&trial, seed, property);
                println!("least: loss {}, {:#?}", least.link.loss, least.faults);
                if let Some(path) = &self.history {
                    let lines = hunt::lines(&least, seed);
                    let _ = fs::write(path, lines.iter().map(|line| format!("{line}\n")).collect::<String>());
                }
                return ExitCode::FAILURE;
            }
            if told.elapsed() > Duration::from_secs(5) {
                eprintln!("{} schedules, nothing broken", seed + 1 - self.seed);
                told = Instant::now();
            }
            seed += 1;
        }
        println!("{} schedules, nothing broken", seed - self.seed);
        ExitCode::SUCCESS
    }
}
