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

/// Rehearse, judge and look into session fronts.
#[derive(Parser)]
#[command(name = "salttally", version)]
struct Arguments {
    /// What is logged on standard error: error, warn, info, debug, trace, or filters
    #[arg(long, global = true, default_value = "error", value_name = "LEVEL")]
    log_level: String,
    /// Form of the log
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

/// What fronts a rehearsal plays against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Against {
    /// Fronts in this process.
    Library,
    /// Processes of salttallyd.
    Daemon,
}

#[derive(Subcommand)]
enum Command {
    /// Play a bad day on loopback sockets and judge it by what crossed them
    ///
    /// Boxes, box list and players are stand-ins of this program, the fronts are real. Prints the worth delivered
    /// over the worth asked for and the verdict on the six rules. Exit 0 only if all six were kept, 1 if not, 2 if
    /// the day could not be played.
    Rehearse(rehearse::Rehearse),
    /// Play every two kinds of trouble at once, in many short days, and judge each
    ///
    /// Prints a line for each pair. Exit 0 only if all rules were kept on all days.
    Pairs(pairs::Pairs),
    /// Search every ordering of sessions, attempts and connections in a small world
    ///
    /// Explored are the real ledger of each front and the real module, or a decider that asks for anything; all that
    /// boxes, list, viewers and time may do is a move of the search. Exit 0 if every property held, 1 with a shortest
    /// path to one that did not.
    Explore(explore::Explore),
    /// Lay siege to a front and measure what proper viewers get meanwhile
    ///
    /// Slow, silent, vanished and greedy peers come by the thousand to a front on this machine, while others open
    /// sessions and watch. Exit 0 if as many were served as `--least` asks for and no session was harmed, 1 if not.
    Siege(siege::Siege),
    /// Show how a running front sees the others: its view, who cannot reach whom, time it was not running
    ///
    /// Exit 0 if the front answered, 2 if not.
    Members(members::Members),
    Rules(rules::Rules),
    Copies(copies::Copies),
    /// Play a trial: a fleet of fronts under faults between them
    ///
    /// As processes of salttallyd on this machine, or as the same cores in virtual time. Exit 0 if every property
    /// held, 1 if one was broken, 2 if the trial could not be played.
    Trial(trial::Trial),
    /// Judge a record that a rehearsal wrote
    ///
    /// Prints each rule, kept or the lines that break it. Exit 0 only if all six were kept.
    Judge {
        /// Record of crossings, JSON lines
        record: PathBuf,
        /// Print the verdict as JSON
        #[arg(long)]
        json: bool,
    },
    /// Decide a front's record of decisions again and compare
    ///
    /// Exit 0 if the module decides every step as recorded, 1 at the first that differs.
    Replay {
        /// Record of decisions, JSON lines
        record: PathBuf,
        /// Settings of the front that wrote it
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Check the settings of a front
    Check {
        /// Settings, as KDL
        config: PathBuf,
    },
    /// Run one kind of stand-in by hand, until interrupted
    #[command(subcommand)]
    Standin(tools::Standin),
    /// Open one session at a front, watch it, close it
    ///
    /// Exit 0 if it played, 3 if it was refused, 4 if it failed.
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
    let done = match arguments.command {
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
    done.unwrap_or_else(|error| {
        eprintln!("salttally: {error}");
        ExitCode::from(2)
    })
}
