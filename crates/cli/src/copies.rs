//! `salttally copies`: where a running front's promises are copied, and whether the copies are the same.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Subcommand};
use salttally_accord::query::ask;
use salttally_accord::settings::Settings;
use salttally_accord::wire::Question;
use salttally_members::settings::Settings as Members;
use salttally_settings::Document;
use serde_json::Value;

/// Copies of what a front has promised.
#[derive(Args)]
pub struct Copies {
    /// Settings of a running front, as KDL: where it listens, and its keys
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// What the front has promised, who holds copies of that, and what it holds of others
    Show {
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Ask the holders of its copies what they have, and compare
    ///
    /// Exit 0 if all of them have the same, 1 if one is behind, has something else, or does not answer.
    Verify,
}

fn shown(settings: &Settings) -> Result<Value, Box<dyn Error>> {
    Ok(serde_json::from_str(&ask(settings, Question::Copies)?)?)
}

fn all<'a>(of: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    of[key].as_array().map(Vec::as_slice).unwrap_or_default().iter()
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

impl Copies {
    /// Asks and prints.
    pub fn run(&self) -> Result<ExitCode, Box<dyn Error>> {
        let config = self.config.as_ref().ok_or("`--config` names the settings of a running front")?;
        let document = Document::load(config)?;
        let members = Members::read(&document)?;
        let Some(settings) = Settings::read(&document, members.as_ref())? else {
            return Err(format!("{} has no `accord`, and so no copies", config.display()).into());
        };
        let front = shown(&settings)?;
        match (&self.what, members) {
            (What::Show { json: true }, _) => println!("{front}"),
            (What::Show { json: false }, _) => print!("{}", table(&front)),
            (What::Verify, Some(members)) => return verify(&front, &settings, &members),
            (What::Verify, None) => return Err("the settings have no `members`".into()),
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn table(front: &Value) -> String {
    let mut table = format!(
        "{} lives {}: {} promises after {} changes, {} waited for; disk {}\n",
        text(&front["front"]),
        text(&front["life"]),
        front["promises"],
        front["changes"],
        front["waits"],
        if front["disk"] == true { "whole" } else { "FAILED: it holds nothing for others" },
    );
    for holder in all(front, "holders") {
        let filled = if holder["filled"] == true { "" } else { "  (being filled)" };
        table +=
            &format!("  copy at {:<16} has {:>8} changes{filled}\n", text(&holder["front"]), holder["has"]);
    }
    for life in all(front, "taken_over") {
        let settled = if life["settled"] == true { "settled" } else { "not settled yet" };
        table += &format!("  goes on with {} by epoch {}, {settled}\n", text(&life["life"]), life["epoch"]);
    }
    for shelf in all(front, "holds") {
        let whole = if shelf["whole"] == true { "" } else { "  (being filled)" };
        table += &format!(
            "  holds {:<24} of {:<12} {:>8} promises after {} changes{whole}\n",
            text(&shelf["life"]),
            text(&shelf["owner"]),
            shelf["promises"],
            shelf["has"]
        );
    }
    table
}

fn verify(front: &Value, settings: &Settings, members: &Members) -> Result<ExitCode, Box<dyn Error>> {
    let known = salttally_members::ask::ask(members)?;
    let mut same = true;
    for holder in all(front, "holders") {
        let name = text(&holder["front"]);
        let address = known.members.iter().find(|member| member["name"] == name.as_str());
        let address = address.and_then(|member| member["address"].as_str()?.parse().ok());
        let there = match address {
            Some(bind) => shown(&Settings { bind, ..settings.clone() }).map_err(|error| error.to_string()),
            None => Err("not in the view".to_owned()),
        };
        let said = match &there {
            Err(error) => Err(error.clone()),
            Ok(there) => match all(there, "holds").find(|shelf| shelf["life"] == front["life"]) {
                None => Err("has no copy".to_owned()),
                Some(shelf) if shelf["has"] != front["changes"] => {
                    Err(format!("has {} of {} changes", shelf["has"], front["changes"]))
                }
                Some(shelf) if shelf["digest"] != front["digest"] => Err("has something else".to_owned()),
                Some(shelf) => Ok(shelf["promises"].clone()),
            },
        };
        same &= said.is_ok();
        match said {
            Ok(promises) => println!("{name}: the same, {promises} promises"),
            Err(why) => println!("{name}: {why}"),
        }
    }
    Ok(if same { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
