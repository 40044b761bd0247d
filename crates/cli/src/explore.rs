//! `salttally explore`: every ordering of sessions, attempts and connections in a small world.

use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Args, ValueEnum};
use salttally_explore::bounds::{Bounds, Fault, Layer};
use salttally_explore::search::{search, Found, Trace, TRACE};
use salttally_explore::walk::{replay, walk_for};
use salttally_explore::world::Property;
use serde_json::json;

use crate::growth::grow;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Who {
    /// Anything that the interface has, at any moment.
    Anything,
    /// The module.
    Module,
    /// Both, one after the other.
    Both,
}

/// Arguments of `salttally explore`.
#[derive(Args)]
pub struct Explore {
    /// Fronts
    #[arg(long, default_value_t = 1)]
    fronts: u32,
    /// Boxes
    #[arg(long, default_value_t = 2)]
    boxes: u32,
    /// Viewers, each with one session
    #[arg(long, default_value_t = 1)]
    sessions: u32,
    /// Of those, so many of the paid class
    #[arg(long, default_value_t = 1)]
    paid: u32,
    /// Kinds of trouble, with commas; `all`, or `none`
    #[arg(long, default_value = "all")]
    faults: String,
    /// Troubles on one path at most
    #[arg(long, default_value_t = 1)]
    troubles: u32,
    /// Wrong requests on one path of a decider that asks for anything
    #[arg(long, default_value_t = 1)]
    wrong: u32,
    /// Nothing new to a box so long after the word of its drain, ms
    #[arg(long, default_value_t = 250)]
    grace_ms: u64,
    /// Moves on one path at most
    #[arg(long, default_value_t = 60)]
    depth: usize,
    /// Who decides in the fronts
    #[arg(long, value_enum, default_value = "both")]
    decider: Who,
    /// Different states at most; a state takes some kB of memory
    #[arg(long, default_value_t = 1_000_000)]
    most: usize,
    /// Time at most, s
    #[arg(long, default_value_t = 120)]
    within: u64,
    /// Threads
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Go random paths for so long, s, in place of the search: for worlds that are too large for that
    #[arg(long, value_name = "SECONDS")]
    walk: Option<f64>,
    /// Seed of the random paths
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the first trace that is found to this file
    #[arg(long, value_name = "FILE")]
    save: Option<PathBuf>,
    /// Make the moves of a trace again and say what they break
    #[arg(long, value_name = "FILE")]
    replay: Option<PathBuf>,
    /// Search a row of bounds in place of one, print how states grow with each as a table, and draw it to this file
    #[arg(long, value_name = "SVG")]
    growth: Option<PathBuf>,
    /// Print the result as JSON
    #[arg(long)]
    json: bool,
}

impl Explore {
    /// Searches.
    pub fn run(self) -> Result<ExitCode, Box<dyn Error>> {
        if let Some(path) = &self.growth {
            let (table, chart, held) = grow(self.threads, self.most, Duration::from_secs(self.within));
            print!("{table}");
            fs::write(path, chart)?;
            return Ok(if held { ExitCode::SUCCESS } else { ExitCode::FAILURE });
        }
        if let Some(path) = &self.replay {
            return again(path);
        }
        let layers = match self.decider {
            Who::Anything => vec![Layer::Anything],
            Who::Module => vec![Layer::Module],
            Who::Both => vec![Layer::Anything, Layer::Module],
        };
        let mut held = true;
        for layer in layers {
            let bounds = self.bounds(layer)?;
            bounds.check()?;
            held &= match self.walk {
                Some(seconds) => self.walked(&bounds, seconds)?,
                None => self.searched(&bounds)?,
            };
        }
        Ok(if held { ExitCode::SUCCESS } else { ExitCode::FAILURE })
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
                        .ok_or_else(|| format!("no trouble `{name}`; known: {}", all()))
                })
                .collect::<Result<Vec<_>, _>>()?,
        };
        let paid = self.paid.min(self.sessions);
        let (fronts, boxes, sessions) = (self.fronts, self.boxes, self.sessions);
        let (troubles, depth, wrong) = (self.troubles, self.depth, self.wrong);
        let grace_ms = self.grace_ms;
        Ok(Bounds { fronts, boxes, sessions, paid, faults, troubles, depth, layer, wrong, grace_ms })
    }

    fn searched(&self, bounds: &Bounds) -> Result<bool, Box<dyn Error>> {
        let estimate = bounds.estimate();
        if !self.json {
            println!("{bounds}: some {estimate:.0} states to expect");
            if estimate > self.most as f64 * 5.0 {
                println!("that is far over --most {}: the search will stop before its end", self.most);
            }
        }
        let found = search(bounds, self.threads, self.most, Duration::from_secs(self.within));
        self.keep(found.traces.first())?;
        if self.json {
            println!("{}", serde_json::to_string(&found)?);
        } else {
            show(&found);
        }
        Ok(found.traces.is_empty())
    }

    fn walked(&self, bounds: &Bounds, seconds: f64) -> Result<bool, Box<dyn Error>> {
        let walked = walk_for(bounds, self.seed, seconds);
        self.keep(walked.trace.as_ref())?;
        if self.json {
            let value = json!({"bounds": bounds, "paths": walked.paths, "moves": walked.moves, "trace": walked.trace});
            println!("{value}");
        } else {
            println!("{bounds}: {} random paths of {} moves in all", walked.paths, walked.moves);
            match &walked.trace {
                None => println!("every property held on them"),
                Some(trace) => tell(trace),
            }
        }
        Ok(walked.trace.is_none())
    }

    fn keep(&self, trace: Option<&Trace>) -> Result<(), Box<dyn Error>> {
        if let (Some(path), Some(trace)) = (&self.save, trace) {
            fs::write(path, serde_json::to_string_pretty(trace)?)?;
        }
        Ok(())
    }
}

fn show(found: &Found) {
    println!(
        "{} states, {} moves, longest path {}, {:.1} s, {:.0} states a second, {} bytes a state",
        found.states,
        found.transitions,
        found.longest,
        found.seconds,
        found.states as f64 / found.seconds.max(1e-9),
        found.bytes
    );
    for property in Property::ALL {
        let broken = found.traces.iter().find(|trace| trace.property == property);
        println!("    {:62} {}", property.sentence(), if broken.is_none() { "held" } else { "BROKEN" });
    }
    match (found.traces.is_empty(), found.whole) {
        (true, true) => println!("every state within these bounds was seen"),
        (true, false) => println!("stopped by its limits: what was seen holds, the rest is not known"),
        (false, _) => found.traces.iter().for_each(tell),
    }
}

fn tell(trace: &Trace) {
    println!("{}: {}", trace.property.sentence(), trace.text);
    for (at, chosen) in trace.moves.iter().enumerate() {
        println!("    {:3} {chosen}", at + 1);
    }
}

fn again(path: &PathBuf) -> Result<ExitCode, Box<dyn Error>> {
    let value: serde_json::Value = serde_json::from_str(&fs::read_to_string(path)?)?;
    if value["version"] != TRACE {
        let text =
            format!("{}: a trace of version {}, this program has {TRACE}", path.display(), value["version"]);
        return Err(text.into());
    }
    let trace: Trace = serde_json::from_value(value)?;
    let (made, broken) = replay(&Arc::new(trace.bounds.clone()), &trace.moves);
    println!("{} of {} moves could be made", made.len(), trace.moves.len());
    match broken {
        Some((property, text)) => {
            println!("{}: {text}", property.sentence());
            Ok(ExitCode::FAILURE)
        }
        None => {
            println!("every property held");
            Ok(ExitCode::SUCCESS)
        }
    }
}
