//! `salttally rules`: queries the rule versions of a running front and proposes new ones.

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

/// Rule versions on which the fronts agree.
#[derive(Args)]
pub struct Rules {
    /// Settings of a running front, KDL: its address and keys
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    what: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Propose a version and wait until it is accepted or rejected
    Propose {
        /// Rules, KDL
        file: PathBuf,
        /// Version on which the proposal is based; it is rejected if this is no longer the latest
        #[arg(long, value_name = "N")]
        base: Option<u64>,
        /// Name of the proposer
        #[arg(long, default_value_t = current_user(), value_name = "NAME")]
        by: String,
        /// Only validate the rules and show the changes
        #[arg(long)]
        dry_run: bool,
    },
    /// Show the rules in effect at the front, or a version
    Show {
        /// Version number
        version: Option<u64>,
    },
    /// Show the state of the front: its lease, the voters and the leader
    Status,
    /// Show the retained versions with proposer and time
    History,
    /// Show the changes between two versions
    Diff {
        /// Earlier version
        from: u64,
        /// Later version
        to: u64,
    },
    /// Propose the rules of an earlier version again
    BackTo {
        /// Version number
        version: u64,
        /// Name of the proposer
        #[arg(long, default_value_t = current_user(), value_name = "NAME")]
        by: String,
    },
    /// Change the set of voters, by a request to the leader
    Voters {
        /// Names of 3, 5 or 7 fronts
        names: Vec<String>,
    },
    /// Validate the settings and show the bound on contradicting rules
    Check,
}

fn current_user() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".into())
}

type CommandResult = Result<ExitCode, Box<dyn Error>>;

impl Rules {
    /// Runs the command.
    pub fn run(&self) -> CommandResult {
        let Some(config) = &self.config else {
            return Err("--config FILE with the settings of a front is required".into());
        };
        let settings = settings(config)?;
        let version = |number: Option<u64>| -> Result<(u64, Content), Box<dyn Error>> {
            let reply: Value = serde_json::from_str(&ask(&settings, Question::Version(number))?)?;
            let text = reply["rules"].as_str().unwrap_or_default().to_owned();
            let rules = rules_kdl::read(&Document::parse("version", &text)?)?;
            Ok((reply["version"].as_u64().unwrap_or(0), rules))
        };
        match &self.what {
            Action::Propose { file, base, by, dry_run } => {
                let rules = rules_kdl::read(&Document::load(file)?)?;
                if *dry_run {
                    let history: Value = serde_json::from_str(&ask(&settings, Question::History)?)?;
                    let latest = history["latest"].as_u64().unwrap_or(0);
                    let (_, before) = version(Some(latest))?;
                    println!("{} is valid; changes against version {latest}:", file.display());
                    print_changes(&Content::contradictions(&before, &rules));
                    return Ok(ExitCode::SUCCESS);
                }
                propose(&settings, *base, by, rules)
            }
            Action::Show { version: number } => {
                let (number, rules) = version(*number)?;
                println!("// version {number}");
                print!("{}", rules_kdl::write(&rules));
                Ok(ExitCode::SUCCESS)
            }
            Action::Status => {
                println!("{}", ask(&settings, Question::Status)?);
                Ok(ExitCode::SUCCESS)
            }
            Action::History => {
                let history: Value = serde_json::from_str(&ask(&settings, Question::History)?)?;
                for version in history["versions"].as_array().into_iter().flatten() {
                    let lines = version["rules"].as_str().unwrap_or_default().lines().count();
                    println!(
                        "{:>6}  {}  {:<20}  {} rules{}",
                        version["version"],
                        format_time(version["at_us"].as_u64().unwrap_or(0)),
                        version["by"].as_str().unwrap_or_default(),
                        lines,
                        if version["begun"] == true { "" } else { "  not yet in effect" }
                    );
                }
                Ok(ExitCode::SUCCESS)
            }
            Action::Diff { from, to } => {
                let (_, before) = version(Some(*from))?;
                let (_, after) = version(Some(*to))?;
                print_changes(&Content::contradictions(&before, &after));
                Ok(ExitCode::SUCCESS)
            }
            Action::BackTo { version: number, by } => {
                let (_, rules) = version(Some(*number))?;
                propose(&settings, None, by, rules)
            }
            Action::Voters { names } => {
                let names = names.iter().map(|name| name.as_str().into()).collect();
                println!("{}", ask(&settings, Question::ChangeVoters(names))?);
                Ok(ExitCode::SUCCESS)
            }
            Action::Check => {
                let times = &settings.times;
                println!("{}: valid; voters {}", config.display(), settings.voters.join(" "));
                match times.max_contradiction() {
                    Some(bound) => println!(
                        "no two fronts act on contradicting rules for longer than T = {} ms\n  lease {} ms and {} ms \
                         without one, clocks off by {} ppm, {} ms from the last check to the last byte written",
                        bound.div_ceil(1000),
                        times.lease / 1000,
                        times.grace / 1000,
                        times.drift_ppm,
                        times.write_delay / 1000
                    ),
                    None => println!(
                        "fronts without a lease continue, so there is no bound; among fronts with a lease it is {} ms",
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
        format!(
            "{} has no `accord` block: the front uses the rules of its own settings file",
            config.display()
        )
        .into()
    })
}

fn propose(settings: &Settings, base: Option<u64>, by: &str, rules: Content) -> CommandResult {
    let answer = ask(settings, Question::Propose(base, by.to_owned(), Box::new(rules)))?;
    let reply: Value = serde_json::from_str(&answer)?;
    println!("accepted as version {}", reply["version"]);
    Ok(ExitCode::SUCCESS)
}

fn print_changes(changes: &[Contradiction]) {
    if changes.is_empty() {
        println!("  nothing changes");
    }
    for change in changes {
        let direction = match (change.tightened, change.loosened) {
            (true, false) => "tighter",
            (false, true) => "looser",
            _ => "other",
        };
        println!("  {direction:<8} {} {}", change.kind, change.name);
    }
}

/// Formats a Unix time, us, in UTC.
fn format_time(unix_us: u64) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_micros(unix_us)).to_string()
}
