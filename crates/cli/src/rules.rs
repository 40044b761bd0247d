//! `salttally rules`: versions of rules, asked of a running front or proposed to it.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, UNIX_EPOCH};

use clap::{Args, Subcommand};
use salttally_accord::core::rules::{Contradiction, Rules as Content};
use salttally_accord::query::ask;
use salttally_accord::rules_kdl;
use salttally_accord::settings::Settings;
use salttally_accord::wire::Question;
use salttally_settings::Document;
use serde_json::Value;

/// Versions of rules that the fronts agree on.
#[derive(Args)]
pub struct Rules {
    /// Settings of a running front, as KDL: where it listens, and its keys
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Propose a version, and wait until it is agreed on or refused
    Propose {
        /// Rules, as KDL
        file: PathBuf,
        /// Made from this version; refused if it is no longer the latest
        #[arg(long, value_name = "N")]
        base: Option<u64>,
        /// Who proposes
        #[arg(long, default_value_t = whoever(), value_name = "NAME")]
        by: String,
        /// Check it, and tell what it would change; propose nothing
        #[arg(long)]
        dry_run: bool,
    },
    /// What the front acts on, or a version
    Show {
        /// Which one
        version: Option<u64>,
    },
    /// How the front stands: its lease, the voters, the leader
    Status,
    /// Versions that are kept, with who proposed them and when
    History,
    /// What the later of two versions changes
    Diff {
        /// The earlier one
        from: u64,
        /// The later one
        to: u64,
    },
    /// Propose what an earlier version said
    BackTo {
        /// Which one
        version: u64,
        /// Who proposes
        #[arg(long, default_value_t = whoever(), value_name = "NAME")]
        by: String,
    },
    /// Let these fronts vote: ask the leader
    Voters {
        /// Their names: 3, 5 or 7
        names: Vec<String>,
    },
    /// Check the settings, and tell the stated time
    Check,
}

fn whoever() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".into())
}

type Done = Result<ExitCode, Box<dyn Error>>;

impl Rules {
    /// Carries it out.
    pub fn run(&self) -> Done {
        let Some(config) = &self.config else {
            return Err("--config FILE is needed: settings of a front".into());
        };
        let settings = settings(config)?;
        let version = |number: Option<u64>| -> Result<(u64, Content), Box<dyn Error>> {
            let said: Value = serde_json::from_str(&ask(&settings, Question::Version(number))?)?;
            let text = said["rules"].as_str().unwrap_or_default().to_owned();
            let rules = rules_kdl::read(&Document::parse("version", &text)?)?;
            Ok((said["version"].as_u64().unwrap_or(0), rules))
        };
        match &self.what {
            What::Propose { file, base, by, dry_run } => {
                let rules = rules_kdl::read(&Document::load(file)?)?;
                if *dry_run {
                    let history: Value = serde_json::from_str(&ask(&settings, Question::History)?)?;
                    let latest = history["latest"].as_u64().unwrap_or(0);
                    let (_, before) = version(Some(latest))?;
                    println!("{} holds; beside version {latest}:", file.display());
                    tell(&Content::contradictions(&before, &rules));
                    return Ok(ExitCode::SUCCESS);
                }
                propose(&settings, *base, by, rules)
            }
            What::Show { version: number } => {
                let (number, rules) = version(*number)?;
                println!("// version {number}");
                print!("{}", rules_kdl::write(&rules));
                Ok(ExitCode::SUCCESS)
            }
            What::Status => {
                println!("{}", ask(&settings, Question::Status)?);
                Ok(ExitCode::SUCCESS)
            }
            What::History => {
                let history: Value = serde_json::from_str(&ask(&settings, Question::History)?)?;
                for version in history["versions"].as_array().into_iter().flatten() {
                    let lines = version["rules"].as_str().unwrap_or_default().lines().count();
                    println!(
                        "{:>6}  {}  {:<20}  {} rules{}",
                        version["version"],
                        at(version["at_us"].as_u64().unwrap_or(0)),
                        version["by"].as_str().unwrap_or_default(),
                        lines,
                        if version["begun"] == true { "" } else { "  waits to begin" }
                    );
                }
                Ok(ExitCode::SUCCESS)
            }
            What::Diff { from, to } => {
                let (_, before) = version(Some(*from))?;
                let (_, after) = version(Some(*to))?;
                tell(&Content::contradictions(&before, &after));
                Ok(ExitCode::SUCCESS)
            }
            What::BackTo { version: number, by } => {
                let (_, rules) = version(Some(*number))?;
                propose(&settings, None, by, rules)
            }
            What::Voters { names } => {
                let names = names.iter().map(|name| name.as_str().into()).collect();
                println!("{}", ask(&settings, Question::ChangeVoters(names))?);
                Ok(ExitCode::SUCCESS)
            }
            What::Check => {
                let times = &settings.times;
                println!("{}: holds; voters {}", config.display(), settings.voters.join(" "));
                match times.max_contradiction() {
                    Some(stated) => println!(
                        "no two fronts act on contradicting rules for longer than T = {} ms\n  lease {} ms and {} ms \
                         without one, clocks off by {} ppm, {} ms from the last look to the last byte",
                        stated.div_ceil(1000),
                        times.lease / 1000,
                        times.grace / 1000,
                        times.drift_ppm,
                        times.write_delay / 1000
                    ),
                    None => println!(
                        "fronts without a lease go on: no time is stated; among fronts with one it is {} ms",
                        times.lease / 1000
                    ),
                }
                Ok(ExitCode::SUCCESS)
            }
        }
    }
}

fn settings(config: &Path) -> Result<Settings, Box<dyn Error>> {
    Settings::load(config)?.ok_or_else(|| {
        format!("{} has no `accord`: that front acts on its own file", config.display()).into()
    })
}

fn propose(settings: &Settings, base: Option<u64>, by: &str, rules: Content) -> Done {
    let answer = ask(settings, Question::Propose(base, by.to_owned(), Box::new(rules)))?;
    let said: Value = serde_json::from_str(&answer)?;
    println!("agreed on as version {}", said["version"]);
    Ok(ExitCode::SUCCESS)
}

fn tell(found: &[Contradiction]) {
    if found.is_empty() {
        println!("  nothing changes");
    }
    for one in found {
        let how = match (one.tightened, one.loosened) {
            (true, false) => "tighter",
            (false, true) => "looser",
            _ => "other",
        };
        println!("  {how:<8} {} {}", one.kind, one.name);
    }
}

/// A moment of Unix time, us, in UTC.
fn at(unix: u64) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_micros(unix)).to_string()
}
