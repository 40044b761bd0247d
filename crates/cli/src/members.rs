//! `salttally members`: shows the membership view of a running front.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use salttally_members::ask::{ask, Shown};
use salttally_members::settings::Settings;
use salttally_settings::Document;
use serde_json::{json, Value};

/// Show the membership view of a running front.
#[derive(Args)]
pub struct Members {
    /// Settings of the front, KDL: its address and keys
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Repeat every second until interrupted
    #[arg(long)]
    watch: bool,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

impl Members {
    /// Queries the front and prints its view.
    pub fn run(&self) -> Result<ExitCode, Box<dyn Error>> {
        let Some(settings) = Settings::read(&Document::load(&self.config)?)? else {
            return Err(format!(
                "{} has no `members` block: the front has no membership",
                self.config.display()
            )
            .into());
        };
        loop {
            let shown = ask(&settings)?;
            if self.json {
                println!("{}", json!({"front": shown.head, "members": shown.members}));
            } else {
                print!("{}", table(&shown));
            }
            if !self.watch {
                return Ok(ExitCode::SUCCESS);
            }
            std::thread::sleep(Duration::from_secs(1));
        }
    }
}

fn table(shown: &Shown) -> String {
    let head = &shown.head;
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let mut table = format!(
        "{}: {}, view {} ({}), {} members, {} accusers remove one; {:.1}% of round trips lost; not running {} ms in {} pauses\n",
        text(&head["front"]),
        text(&head["stage"]),
        head["number"],
        text(&head["digest"]),
        head["members"],
        head["high"],
        head["loss"].as_f64().unwrap_or(0.0) * 100.0,
        head["lost_ms"],
        head["pauses"],
    );
    table.push_str(&format!(
        "{:<16} {:<22} {:>5} {:>10} {:>10}  accused by\n",
        "member", "address", "count", "trip us", "silent ms"
    ));
    for member in &shown.members {
        let figure = |key: &str| if member[key].is_null() { "-".to_owned() } else { member[key].to_string() };
        let accusers: Vec<&str> = member["accused_by"]
            .as_array()
            .map_or(Vec::new(), |all| all.iter().filter_map(Value::as_str).collect());
        let failing = if member["failing"] == true { " (not reached from here)" } else { "" };
        table.push_str(&format!(
            "{:<16} {:<22} {:>5} {:>10} {:>10}  {}{failing}\n",
            text(&member["name"]),
            text(&member["address"]),
            figure("count"),
            figure("round_trip_us"),
            figure("silent_ms"),
            accusers.join(" ")
        ));
    }
    table
}
