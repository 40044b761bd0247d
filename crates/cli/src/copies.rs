//! `salttally copies`: shows where the session records of a running front are replicated, and compares the replicas.

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

/// Replicas of the session records of a front.
#[derive(Args)]
pub struct Copies {
    /// Settings of a running front, KDL: its address and keys
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    what: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Show the front's session records, their replicas at other fronts, and the replicas that it holds for others
    Show {
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Compare the replicas at other fronts with the records of this front
    ///
    /// Exit code: 0 if all replicas are equal, 1 if one is behind, differs, or does not answer.
    Verify,
}

fn query_front(settings: &Settings) -> Result<Value, Box<dyn Error>> {
    Ok(serde_json::from_str(&ask(settings, Question::Copies)?)?)
}

fn array<'a>(value: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    value[key].as_array().map(Vec::as_slice).unwrap_or_default().iter()
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

impl Copies {
    /// Queries the front and prints the result.
    pub fn run(&self) -> Result<ExitCode, Box<dyn Error>> {
        let config = self.config.as_ref().ok_or("`--config` names the settings of a running front")?;
        let document = Document::load(config)?;
        let members = Members::read(&document)?;
        let Some(settings) = Settings::read(&document, members.as_ref())? else {
            return Err(format!("{} has no `accord` block, and so no replicas", config.display()).into());
        };
        let front = query_front(&settings)?;
        match (&self.what, members) {
            (Action::Show { json: true }, _) => println!("{front}"),
            (Action::Show { json: false }, _) => print!("{}", table(&front)),
            (Action::Verify, Some(members)) => return verify(&front, &settings, &members),
            (Action::Verify, None) => return Err("the settings have no `members` block".into()),
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn table(front: &Value) -> String {
    let mut table = format!(
        "{} incarnation {}: {} records after {} changes, {} awaited; disk {}\n",
        text(&front["front"]),
        text(&front["life"]),
        front["promises"],
        front["changes"],
        front["waits"],
        if front["disk"] == true { "whole" } else { "FAILED: holds no replicas for others" },
    );
    for holder in array(front, "holders") {
        let filled = if holder["filled"] == true { "" } else { "  (being filled)" };
        table += &format!(
            "  replica at {:<16} has {:>8} changes{filled}\n",
            text(&holder["front"]),
            holder["has"]
        );
    }
    for incarnation in array(front, "taken_over") {
        let settled = if incarnation["settled"] == true { "settled" } else { "not settled yet" };
        table += &format!(
            "  has taken over {} at epoch {}, {settled}\n",
            text(&incarnation["life"]),
            incarnation["epoch"]
        );
    }
    for replica in array(front, "holds") {
        let status = if replica["whole"] == true { "" } else { "  (being filled)" };
        table += &format!(
            "  holds {:<24} of {:<12} {:>8} records after {} changes{status}\n",
            text(&replica["life"]),
            text(&replica["owner"]),
            replica["promises"],
            replica["has"]
        );
    }
    table
}

fn verify(front: &Value, settings: &Settings, members: &Members) -> Result<ExitCode, Box<dyn Error>> {
    let view = salttally_members::ask::ask(members)?;
    let mut all_equal = true;
    for holder in array(front, "holders") {
        let name = text(&holder["front"]);
        let address = view.members.iter().find(|member| member["name"] == name.as_str());
        let address = address.and_then(|member| member["address"].as_str()?.parse().ok());
        let holder_state = match address {
            Some(bind) => {
                query_front(&Settings { bind, ..settings.clone() }).map_err(|error| error.to_string())
            }
            None => Err("not in the view".to_owned()),
        };
        let comparison = match &holder_state {
            Err(error) => Err(error.clone()),
            Ok(holder_state) => {
                match array(holder_state, "holds").find(|replica| replica["life"] == front["life"]) {
                    None => Err("has no replica".to_owned()),
                    Some(replica) if replica["has"] != front["changes"] => {
                        Err(format!("has {} of {} changes", replica["has"], front["changes"]))
                    }
                    Some(replica) if replica["digest"] != front["digest"] => {
                        Err("has different records".to_owned())
                    }
                    Some(replica) => Ok(replica["promises"].clone()),
                }
            }
        };
        all_equal &= comparison.is_ok();
        match comparison {
            Ok(records) => println!("{name}: equal, {records} records"),
            Err(error) => println!("{name}: {error}"),
        }
    }
    Ok(if all_equal { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
