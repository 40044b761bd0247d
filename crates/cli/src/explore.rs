//! `salttally explore`: state exploration of all orderings of sessions, attempts and connections in a small world.

use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Args, ValueEnum};
use salttally_explore::bounds::{Bounds, Fault, Layer};
use salttally_explore::search::{search, SearchResult, Trace, TRACE_VERSION};
use salttally_explore::walk::{replay, walk_for};
use salttally_explore::world::Property;
use serde_json::json;

use crate::growth::measure_growth;

/// Decider of the fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum DeciderChoice {
    /// A decider that may request any action at any time
    Anything,
    /// The decision module
    Module,
    /// Both, one after the other
    Both,
}

/// Arguments of `salttally explore`.
#[derive(Args)]
pub struct Explore {
    /// Number of fronts
    #[arg(long, default_value_t = 1)]
    fronts: u32,
    /// Number of boxes
    #[arg(long, default_value_t = 2)]
    boxes: u32,
    /// Number of viewers, each with one session
    #[arg(long, default_value_t = 1)]
    sessions: u32,
    /// Number of these sessions that are of the paid class
    #[arg(long, default_value_t = 1)]
    paid: u32,
    /// Kinds of faults, separated by commas; `all`, or `none`
    #[arg(long, default_value = "all")]
    faults: String,
    /// Largest number of faults on one path
    #[arg(long, default_value_t = 1)]
    troubles: u32,
    /// Largest number of invalid requests on one path, of the decider that may request anything
    #[arg(long, default_value_t = 1)]
    wrong: u32,
    /// Drain grace, ms: no set-up is sent to a box later than this after the front learned of the drain
    #[arg(long, default_value_t = 250)]
    grace_ms: u64,
    /// Largest number of moves on one path
    #[arg(long, default_value_t = 60)]
    depth: usize,
    /// Decider of the fronts
    #[arg(long, value_enum, default_value = "both")]
    decider: DeciderChoice,
    /// Largest number of distinct states; a state takes some kB of memory
    #[arg(long, default_value_t = 1_000_000)]
    most: usize,
    /// Time limit, s
    #[arg(long, default_value_t = 120)]
    within: u64,
    /// Number of threads
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Take random paths for this time, s, instead of searching; for worlds that are too large for a search
    #[arg(long, value_name = "SECONDS")]
    walk: Option<f64>,
    /// Seed of the random paths
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the first trace found to this file
    #[arg(long, value_name = "FILE")]
    save: Option<PathBuf>,
    /// Replay the moves of a trace and report the property that they break
    #[arg(long, value_name = "FILE")]
    replay: Option<PathBuf>,
    /// Search a series of bounds, print the growth of the number of states as a table, and draw it to this file
    #[arg(long, value_name = "SVG")]
    growth: Option<PathBuf>,
    /// Print the result as JSON
    #[arg(long)]
    json: bool,
}

impl Explore {
    /// Runs the exploration.
    pub fn run(self) -> Result<ExitCode, Box<dyn Error>> {
        if let Some(path) = &self.growth {
            let (table, chart, all_held) =
                measure_growth(self.threads, self.most, Duration::from_secs(self.within));
            print!("{table}");
            fs::write(path, chart)?;
            return Ok(if all_held { ExitCode::SUCCESS } else { ExitCode::FAILURE });
        }
        if let Some(path) = &self.replay {
            return replay_trace(path);
        }
        let layers = match self.decider {
            DeciderChoice::Anything => vec![Layer::Anything],
            DeciderChoice::Module => vec![Layer::Module],
            DeciderChoice::Both => vec![Layer::Anything, Layer::Module],
        };
        let mut all_held = true;
        for layer in layers {
            let bounds = self.bounds(layer)?;
            bounds.check()?;
            all_held &= match self.walk {
                Some(seconds) => self.run_walk(&bounds, seconds)?,
                None => self.run_search(&bounds)?,
            };
        }
        Ok(if all_held { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn bounds(&self, layer: Layer) -> Result<Bounds, String> {
        let faults = match self.faults.as_str() {
            "all" => Fault::ALL.iter().map(|(_, fault)| *fault).collect(),
            "none" => Vec::new(),
            names => names
                .split(',')
                .map(|name| {
                    let known = Fault::ALL.iter().find(|(of, _)| *of == name.trim());
                    let all = || Fault::ALL.map(|(name, _)| name).join(", ");
                    known
                        .map(|(_, fault)| *fault)
                        .ok_or_else(|| format!("no fault kind `{name}`; known: {}", all()))
                })
                .collect::<Result<Vec<_>, _>>()?,
        };
        let paid = self.paid.min(self.sessions);
        let (fronts, boxes, sessions) = (self.fronts, self.boxes, self.sessions);
        let (depth, grace_ms) = (self.depth, self.grace_ms);
        Ok(Bounds {
            fronts,
            boxes,
            sessions,
            paid,
            faults,
            max_faults: self.troubles,
            depth,
            layer,
            max_wrong_requests: self.wrong,
            grace_ms,
        })
    }

    fn run_search(&self, bounds: &Bounds) -> Result<bool, Box<dyn Error>> {
        let estimate = bounds.estimate();
        if !self.json {
            println!("{bounds}: about {estimate:.0} states expected");
            if estimate > self.most as f64 * 5.0 {
                println!("this is far more than --most {}: the search will not be exhaustive", self.most);
            }
        }
        let result = search(bounds, self.threads, self.most, Duration::from_secs(self.within));
        self.save_trace(result.traces.first())?;
        if self.json {
            println!("{}", serde_json::to_string(&result)?);
        } else {
            print_result(&result);
        }
        Ok(result.traces.is_empty())
    }

    fn run_walk(&self, bounds: &Bounds, seconds: f64) -> Result<bool, Box<dyn Error>> {
        let result = walk_for(bounds, self.seed, seconds);
        self.save_trace(result.trace.as_ref())?;
        if self.json {
            let value = json!({"bounds": bounds, "paths": result.paths, "moves": result.moves, "trace": result.trace});
            println!("{value}");
        } else {
            println!("{bounds}: {} random paths with {} moves in total", result.paths, result.moves);
            match &result.trace {
                None => println!("every property held on these paths"),
                Some(trace) => print_trace(trace),
            }
        }
        Ok(result.trace.is_none())
    }

    fn save_trace(&self, trace: Option<&Trace>) -> Result<(), Box<dyn Error>> {
        if let (Some(path), Some(trace)) = (&self.save, trace) {
            fs::write(path, serde_json::to_string_pretty(trace)?)?;
        }
        Ok(())
    }
}

fn print_result(result: &SearchResult) {
    println!(
        "{} states, {} moves, longest path {}, {:.1} s, {:.0} states per second, {} bytes per state",
        result.states,
        result.transitions,
        result.longest,
        result.seconds,
        result.states as f64 / result.seconds.max(1e-9),
        result.bytes
    );
    for property in Property::ALL {
        let broken = result.traces.iter().find(|trace| trace.property == property);
        println!("    {:62} {}", property.description(), if broken.is_none() { "held" } else { "BROKEN" });
    }
    match (result.traces.is_empty(), result.exhaustive) {
        (true, true) => println!("every state within these bounds was visited"),
        (true, false) => {
            println!("stopped at a limit: the properties hold in the visited states, the others are unknown")
        }
        (false, _) => result.traces.iter().for_each(print_trace),
    }
}

fn print_trace(trace: &Trace) {
    println!("{}: {}", trace.property.description(), trace.text);
    for (index, next_move) in trace.moves.iter().enumerate() {
        println!("    {:3} {next_move}", index + 1);
    }
}

fn replay_trace(path: &PathBuf) -> Result<ExitCode, Box<dyn Error>> {
    let value: serde_json::Value = serde_json::from_str(&fs::read_to_string(path)?)?;
    if value["version"] != TRACE_VERSION {
        let text = format!(
            "{}: trace version {}, this program reads {TRACE_VERSION}",
            path.display(),
            value["version"]
        );
        return Err(text.into());
    }
    let trace: Trace = serde_json::from_value(value)?;
    let (applied, broken) = replay(&Arc::new(trace.bounds.clone()), &trace.moves);
    println!("{} of {} moves were possible", applied.len(), trace.moves.len());
    match broken {
        Some((property, text)) => {
            println!("{}: {text}", property.description());
            Ok(ExitCode::FAILURE)
        }
        None => {
            println!("every property held");
            Ok(ExitCode::SUCCESS)
        }
    }
}
