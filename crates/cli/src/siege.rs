//! `salttally siege`: attacks a front and measures the service to regular viewers meanwhile.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use salttally_standin::attack::{run_attack, AttackKind, AttackPlan, AttackReport};
use serde_json::json;

/// Arguments of `salttally siege`.
#[derive(Args)]
pub struct Siege {
    /// Kinds of attacks to run together: slow-handshake, half-message, idle, churn, calls, opens, closes, pings, deaf, vanish;
    /// if none is given, each kind by itself, after a run without attackers for comparison
    #[arg(value_name = "KIND", value_parser = parse_kind)]
    kinds: Vec<AttackKind>,
    /// Address of the front, on loopback
    #[arg(long, default_value = "127.0.0.1:7001", value_name = "ADDRESS")]
    against: SocketAddr,
    /// Number of attacking peers at a time
    #[arg(long, default_value_t = 1_000)]
    peers: usize,
    /// Number of source addresses of the peers, in 127.0.0.0/8
    #[arg(long, default_value_t = 1)]
    sources: u32,
    /// Duration of each attack, s
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Time by which the attack starts before the measured viewers, s
    #[arg(long, default_value_t = 2)]
    before: u64,
    /// Number of regular viewers at a time, each opening one session after another
    #[arg(long, default_value_t = 20)]
    viewers: usize,
    /// Number of viewers that watch one session from before the attack to its end
    #[arg(long, default_value_t = 20)]
    watchers: usize,
    /// Title of the sessions
    #[arg(long, default_value = "welcome")]
    title: String,
    /// Class of the sessions
    #[arg(long, default_value = "clip")]
    class: String,
    /// Seed of the random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Smallest share of regular viewers that must be served
    #[arg(long, default_value_t = 0.99, value_name = "PART")]
    least: f64,
    /// Print a line of JSON for each attack
    #[arg(long)]
    json: bool,
}

fn parse_kind(name: &str) -> Result<AttackKind, String> {
    let known = || AttackKind::ALL.map(AttackKind::name).join(", ");
    AttackKind::from_name(name).ok_or_else(|| format!("unknown attack kind `{name}`; known: {}", known()))
}

impl Siege {
    /// Runs the attacks and prints the result of each.
    pub fn run(self) -> Result<ExitCode, Box<dyn Error>> {
        let attacks: Vec<Vec<AttackKind>> = match self.kinds.is_empty() {
            true => AttackKind::ALL.into_iter().map(|kind| vec![kind]).collect(),
            false => vec![self.kinds.clone()],
        };
        if !self.json {
            println!(
                "{:16} {:>7} {:>7} {:>7} {:>9} {:>9} {:>12} {:>9}",
                "siege", "served", "of", "share", "p50 us", "p99 us", "unharmed", "cut off"
            );
        }
        let mut all_passed = true;
        for kinds in attacks {
            let report = run_attack(self.plan(kinds.clone()))?;
            all_passed &= report.served_share() >= self.least && report.unharmed == report.watchers;
            let name = kinds.iter().map(|kind| kind.name()).collect::<Vec<_>>().join("+");
            if self.json {
                println!("{}", json!({"siege": name, "peers": self.peers, "measure": report.to_json()}));
            } else {
                self.print_row(&name, &report);
            }
        }
        Ok(if all_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn print_row(&self, name: &str, report: &AttackReport) {
        let quantile = |part: f64| report.answer_us.value_at_quantile(part);
        println!(
            "{name:16} {:>7} {:>7} {:>6.1}% {:>9} {:>9} {:>12} {:>9}",
            report.served,
            report.requested,
            report.served_share() * 100.0,
            quantile(0.5),
            quantile(0.99),
            format!("{} of {}", report.unharmed, report.watchers),
            report.disconnects
        );
        for reason in &report.failures {
            println!("    not served: {reason}");
        }
    }

    fn plan(&self, kinds: Vec<AttackKind>) -> AttackPlan {
        AttackPlan {
            kinds,
            front: self.against,
            peers: self.peers,
            sources: self.sources,
            duration: Duration::from_secs(self.seconds),
            lead_time: Duration::from_secs(self.before),
            viewers: self.viewers,
            watchers: self.watchers,
            title: self.title.clone(),
            class: self.class.clone(),
            seed: self.seed,
        }
    }
}
