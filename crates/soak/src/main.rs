//! `salttally-soak`: runs seeded trials, several at a time, and prints one line for each.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;

use clap::Parser;
use salttally_soak::evidence;
use salttally_soak::plan::Overrides;
use salttally_soak::trial::{play, Outcome, Program, Verdict};

/// Short, dense trials of front node processes under seeded faults.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// First seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Number of concurrent trials
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// Front node executable, started with `--platform`
    #[arg(long, default_value = "target/release/salttallyd")]
    program: PathBuf,
    /// Log level of the front nodes
    #[arg(long, default_value = "info")]
    log_level: String,
    /// Number of listed servers, overriding the value drawn from the seed
    #[arg(long)]
    servers: Option<u32>,
    /// Share of a core in percent, overriding the value drawn from the seed
    #[arg(long)]
    cpu_percent: Option<u64>,
    /// Many front nodes, series of signals, servers that start together, and crowds
    #[arg(long)]
    fleet: bool,
    /// Write all observed events to this folder, one file for each seed
    #[arg(long)]
    record: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let (next, failed, void) = (AtomicU64::new(arguments.seed), AtomicUsize::new(0), AtomicUsize::new(0));
    let until = arguments.seed + arguments.count;
    let overrides = Overrides {
        servers: arguments.servers,
        cpu_percent: arguments.cpu_percent,
        is_fleet: arguments.fleet,
    };
    let program = Program { path: arguments.program.clone(), log_level: arguments.log_level.clone() };
    thread::scope(|scope| {
        for _ in 0..arguments.jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= until {
                    return;
                }
                match play(seed, overrides, &program) {
                    Ok(outcome) => {
                        let verdict = outcome.verdict();
                        failed.fetch_add(usize::from(verdict == Verdict::Failed), Ordering::Relaxed);
                        void.fetch_add(usize::from(verdict == Verdict::Void), Ordering::Relaxed);
                        print(&outcome, arguments.record.as_deref());
                    }
                    Err(error) => {
                        failed.fetch_add(1, Ordering::Relaxed);
                        println!("seed {seed}: not played: {error}");
                    }
                }
            });
        }
    });
    let (failed, void) = (failed.into_inner(), void.into_inner());
    println!("{} trials, {failed} failed, {void} void since the rig was late", arguments.count);
    // Void trials prove nothing: too many of them are a failure.
    ExitCode::from(u8::from(failed > 0 || 2 * void as u64 > arguments.count))
}

fn print(outcome: &Outcome, record: Option<&Path>) {
    let plan = &outcome.plan;
    let mut text = format!(
        "seed {}: {} nodes, {} servers, {} racks, {}% of a core, {} faults, crowd {}, {} floods, {} replaced: {:?}, rig late {} ms: {:?}\n",
        plan.seed,
        plan.nodes,
        plan.servers,
        plan.racks,
        plan.cpu_percent,
        plan.faults.len(),
        plan.crowd,
        plan.hand_over_floods.connections,
        plan.replacements.servers,
        outcome.counts(),
        outcome.rig_late / 1_000,
        outcome.verdict(),
    );
    outcome.violations.iter().take(8).for_each(|violation| text += &format!("    {violation}\n"));
    if outcome.violations.len() > 8 {
        text += &format!("    and {} more\n", outcome.violations.len() - 8);
    }
    evidence::of_violations(outcome).iter().for_each(|line| text += &format!("        {line}\n"));
    for log in outcome.logs.iter().filter(|_| !outcome.violations.is_empty()) {
        text += &format!("    log {}\n", log.display());
    }
    print!("{text}");
    if let Some(folder) = record {
        let faults = plan.faults.iter().map(|(at, fault)| (at, format!("{fault:?}")));
        let events = outcome.record.events.iter().map(|(at, event)| (at, format!("{event:x?}")));
        let mut lines: Vec<_> = faults.chain(events).collect();
        lines.sort_by_key(|(at, _)| **at);
        let lines = lines.iter().map(|(at, line)| format!("{:.4} {line}\n", **at as f64 / 1e6));
        if let Err(error) = fs::write(folder.join(format!("{}.txt", plan.seed)), lines.collect::<String>()) {
            eprintln!("{}: {error}", folder.display());
        }
    }
}
