//! salttally: the operators' command line.

mod copies;
mod explore;
mod fronts;
mod growth;
mod members;
mod pairs;
mod rehearse;
mod rules;
mod siege;
mod tools;
mod trial;

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use tracing_subscriber::EnvFilter;

/// Rehearse, judge and inspect session fronts.
#[derive(Parser)]
#[command(name = "salttally", version)]
struct Arguments {
    /// Log level on standard error: error, warn, info, debug, trace, or a filter
    #[arg(long, global = true, default_value = "error", value_name = "LEVEL")]
    log_level: String,
    /// Log format
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: LogForm,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

/// How a rehearsal runs its fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Against {
    /// In this process.
    Library,
    /// As processes of salttallyd.
    Daemon,
}

#[derive(Subcommand)]
enum Command {
    /// Play a day with faults on loopback sockets and judge the recorded traffic
    ///
    /// Boxes, box list and players are simulated by this program; the fronts are real. Prints the ratio of the worth
    /// delivered to the worth asked for, and the verdict on the six rules. Exit code: 0 if all six were kept, 1 if not,
    /// 2 if the day could not be played.
    Rehearse(rehearse::Rehearse),
    /// Play each pair of fault kinds together, each in a short day, and judge it
    ///
    /// Prints a line for each pair. Exit code: 0 if all rules were kept on all days.
    Pairs(pairs::Pairs),
    /// Explore all orderings of sessions, attempts and connections in a small world
    ///
    /// The explored code is the production ledger of each front, with the production module or a decider that may
    /// request anything. Every event of boxes, list, viewers and time is a move of the search. Exit code: 0 if every
    /// property held, 1 if not, with a shortest path to the violation.
    Explore(explore::Explore),
    /// Attack a front and measure the service to regular viewers meanwhile
    ///
    /// Thousands of slow, silent, vanishing and greedy peers connect to a front on this machine while regular viewers
    /// open and watch sessions. Exit code: 0 if at least the share `--least` was served and no session was harmed, 1 if
    /// not.
    Siege(siege::Siege),
    /// Show the membership view of a running front: members, reachability, and time during which it was not running
    ///
    /// Exit code: 0 if the front answered, 2 if not.
    Members(members::Members),
    Rules(rules::Rules),
    Copies(copies::Copies),
    /// Run a trial: a fleet of fronts under injected faults
    ///
    /// Runs as processes of salttallyd on this machine, or as the same cores in virtual time. Exit code: 0 if every
    /// property held, 1 if one was broken, 2 if the trial could not be run.
    Trial(trial::Trial),
    /// Judge the record of a rehearsal
    ///
    /// Prints for each rule whether it was kept, or the violations. Exit code: 0 if all six were kept.
    Judge {
        /// Record of the traffic, JSON lines
        record: PathBuf,
        /// Print the verdict as JSON
        #[arg(long)]
        json: bool,
    },
    /// Replay a front's decision record and compare the decisions
    ///
    /// Exit code: 0 if the module decides every step as recorded, 1 at the first difference.
    Replay {
        /// Decision record, JSON lines
        record: PathBuf,
        /// Settings of the front that wrote the record, KDL
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Validate the settings of a front
    Check {
        /// Settings, KDL
        config: PathBuf,
    },
    /// Run one kind of stand-in until interrupted
    #[command(subcommand)]
    Standin(tools::Standin),
    /// Open a session at a front, watch it and close it
    ///
    /// Exit code: 0 if the session played, 3 if it was refused, 4 if it failed.
    Open(tools::Open),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let filter = EnvFilter::new(&arguments.log_level);
    let colours = std::io::stderr().is_terminal();
    let log =
        tracing_subscriber::fmt().with_env_filter(filter).with_ansi(colours).with_writer(std::io::stderr);
    match arguments.log {
        LogForm::Text => log.init(),
        LogForm::Json => log.json().init(),
    }
    let result = match arguments.command {
        Command::Rehearse(rehearse) => rehearse.run(),
        Command::Pairs(pairs) => pairs.run(),
        Command::Explore(explore) => explore.run(),
        Command::Siege(siege) => siege.run(),
        Command::Judge { record, json } => tools::judge(&record, json),
        Command::Replay { record, config } => tools::replay(&record, &config),
        Command::Check { config } => tools::check(&config),
        Command::Standin(standin) => standin.run(),
        Command::Open(open) => open.run(),
        Command::Members(members) => members.run(),
        Command::Rules(rules) => rules.run(),
        Command::Copies(copies) => copies.run(),
        Command::Trial(trial) => trial.run(),
    };
    result.unwrap_or_else(|error| {
        eprintln!("salttally: {error}");
        ExitCode::from(2)
    })
}
