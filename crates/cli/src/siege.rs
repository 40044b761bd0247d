//! `salttally siege`: attacks on a front, measured by what proper viewers get meanwhile.

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
    /// Kinds to lay at once: slow-handshake, half-message, idle, churn, calls, opens, closes, pings, deaf, vanish;
    /// without any, each by itself, after a run with nobody for comparison
    #[arg(value_name = "KIND", value_parser = kind)]
    kinds: Vec<AttackKind>,
    /// Front, on loopback
    #[arg(long, default_value = "127.0.0.1:7001", value_name = "ADDRESS")]
    against: SocketAddr,
    /// Besiegers at once
    #[arg(long, default_value_t = 1_000)]
    peers: usize,
    /// Addresses of 127.0.0.0/8 that they come from
    #[arg(long, default_value_t = 1)]
    sources: u32,
    /// Length of each siege, s
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Besiegers come this long before the viewers that are measured, s
    #[arg(long, default_value_t = 2)]
    before: u64,
    /// Proper viewers at once, who open one session after another
    #[arg(long, default_value_t = 20)]
    viewers: usize,
    /// Viewers who watch one session from before the siege to its end
    #[arg(long, default_value_t = 20)]
    watchers: usize,
    /// Title that is watched
    #[arg(long, default_value = "welcome")]
    title: String,
    /// Class of the sessions
    #[arg(long, default_value = "clip")]
    class: String,
    /// Seed of the draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Least share of proper viewers that must be served
    #[arg(long, default_value_t = 0.99, value_name = "PART")]
    least: f64,
    /// Print a line of JSON for each siege
    #[arg(long)]
    json: bool,
}

fn kind(name: &str) -> Result<AttackKind, String> {
    let known = || AttackKind::ALL.map(AttackKind::name).join(", ");
    AttackKind::from_name(name).ok_or_else(|| format!("no siege `{name}`; there are {}", known()))
}

impl Siege {
    /// Lays the sieges and prints what came of each.
    pub fn run(self) -> Result<ExitCode, Box<dyn Error>> {
        let sieges: Vec<Vec<AttackKind>> = match self.kinds.is_empty() {
            true => AttackKind::ALL.into_iter().map(|kind| vec![kind]).collect(),
            false => vec![self.kinds.clone()],
        };
        if !self.json {
            println!(
                "{:16} {:>7} {:>7} {:>7} {:>9} {:>9} {:>12} {:>9}",
                "siege", "served", "of", "share", "p50 us", "p99 us", "unharmed", "cut off"
            );
        }
        let mut held = true;
        for kinds in sieges {
            let measure = run_attack(self.plan(kinds.clone()))?;
            held &= measure.served_share() >= self.least && measure.unharmed == measure.watchers;
            let name = kinds.iter().map(|kind| kind.name()).collect::<Vec<_>>().join("+");
            if self.json {
                println!("{}", json!({"siege": name, "peers": self.peers, "measure": measure.to_json()}));
            } else {
                self.row(&name, &measure);
            }
        }
        Ok(if held { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn row(&self, name: &str, measure: &AttackReport) {
        let at = |part: f64| measure.answer_us.value_at_quantile(part);
        println!(
            "{name:16} {:>7} {:>7} {:>6.1}% {:>9} {:>9} {:>12} {:>9}",
            measure.served,
            measure.requested,
            measure.served_share() * 100.0,
            at(0.5),
            at(0.99),
            format!("{} of {}", measure.unharmed, measure.watchers),
            measure.disconnects
        );
        for why in &measure.failures {
            println!("    not served: {why}");
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
