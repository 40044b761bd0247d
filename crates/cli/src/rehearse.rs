//! `salttally rehearse`: plays a day on loopback sockets and judges it.

use std::error::Error;
use std::fs;
use std::io::{BufReader, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use clap::Args;
use salttally_front::record;
use salttally_front::settings::Settings;
use salttally_judge::worth::{worth, Worth};
use salttally_judge::{judge, Rule, Verdict};
use salttally_settings::Document;
use salttally_standin::day::{Day, Progress};
use salttally_standin::log::Log;
use salttally_standin::script::Script;
use serde_json::json;

use crate::fronts::FrontFleet;
use crate::Against;

/// Built-in days: name and script.
const DAYS: [(&str, &str); 5] = [
    ("bad-day", include_str!("../days/bad-day.kdl")),
    ("deploy", include_str!("../days/deploy.kdl")),
    ("lost-building", include_str!("../days/lost-building.kdl")),
    ("cut-wing", include_str!("../days/cut-wing.kdl")),
    ("rationed", include_str!("../days/rationed.kdl")),
];

/// Arguments of `salttally rehearse`.
#[derive(Args)]
pub struct Rehearse {
    /// Name of a built-in day, or path of a KDL script; see docs/operate/rehearsal.md
    #[arg(default_value = DAYS[0].0)]
    day: String,
    /// List the built-in days and exit
    #[arg(long)]
    list: bool,
    /// Print the script of the day and exit; it can serve as a template
    #[arg(long)]
    print: bool,
    /// Seed; overrides the script
    #[arg(long)]
    seed: Option<u64>,
    /// Write the record of the traffic to this file, for `salttally judge`
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
    /// Keep the settings and decision records of the fronts in this folder
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// Run the fronts in this process, or as processes of salttallyd
    #[arg(long, value_enum, default_value = "library")]
    against: Against,
    /// Print the result as JSON
    #[arg(long)]
    json: bool,
}

impl Rehearse {
    /// Plays the day.
    pub fn run(self) -> Result<ExitCode, Box<dyn Error>> {
        if self.list {
            for (name, text) in DAYS {
                println!("{name:14} {}", leading_comment(text));
            }
            return Ok(ExitCode::SUCCESS);
        }
        let built_in = DAYS.iter().find(|(name, _)| *name == self.day);
        if self.print {
            match built_in {
                Some((_, text)) => print!("{text}"),
                None => print!("{}", fs::read_to_string(&self.day)?),
            }
            return Ok(ExitCode::SUCCESS);
        }
        let document = match built_in {
            Some((name, text)) => Document::parse(&format!("built-in day {name}"), text),
            None => Document::load(Path::new(&self.day)),
        };
        let script = document.and_then(|document| {
            let mut script = Script::read(&document)?;
            script.seed = self.seed.unwrap_or(script.seed);
            Ok(script)
        });
        let script = match script {
            Ok(script) => script,
            Err(error) => {
                eprintln!("{:?}", miette::Report::new(*error));
                return Ok(ExitCode::from(2));
            }
        };
        let show_progress = !self.json && std::io::stderr().is_terminal();
        let length_s = script.length / 1_000_000;
        let result = play(script, self.against, self.keep.as_deref(), |progress| {
            if show_progress {
                let (now, arrived, total, present) =
                    (progress.now / 1_000_000, progress.arrived, progress.total, progress.present);
                eprint!(
                    "\r{now:3} of {length_s} s, {arrived} of {total} viewers arrived, {present} present   "
                );
                let _ = std::io::stderr().flush();
            }
        });
        if show_progress {
            eprintln!();
        }
        let result = result.map_err(|error| error.to_string())?;
        if let Some(path) = &self.record {
            result.log.save(path)?;
        }
        if self.json {
            println!("{}", result.json());
        } else {
            result.print();
        }
        Ok(if result.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}

/// Plays a day and judges it. The settings and decision records of the fronts are kept in the folder `keep`, if given.
pub fn play(
    script: Script,
    against: Against,
    keep: Option<&Path>,
    on_progress: impl FnMut(Progress),
) -> Result<DayResult, Box<dyn Error + Send + Sync>> {
    let started = Instant::now();
    let day = Day::start(script)?;
    // The address of the list is unique to the day, and so is the folder named after it.
    let default_folder = || std::env::temp_dir().join(format!("salttally-{}", day.list.address().ip()));
    let folder = keep.map_or_else(default_folder, Path::to_owned);
    fs::create_dir_all(&folder)?;
    let mut fronts = FrontFleet::new(against, &folder);
    let result = day.play(&mut fronts, on_progress);
    fronts.shut_down();
    let lines = day.log.lines();
    day.stop();
    let (decision_steps, first_difference) = replay_decisions(&fronts);
    if keep.is_none() {
        fs::remove_dir_all(&folder)?;
    }
    result?;
    let (verdict, worth) = (judge(&lines), worth(&lines));
    let seconds = started.elapsed().as_secs_f64();
    Ok(DayResult {
        verdict,
        worth,
        log: day.log.clone(),
        lines: lines.len(),
        decision_steps,
        first_difference,
        seconds,
    })
}

/// Returns the leading comment of a script.
fn leading_comment(text: &str) -> String {
    let lines = text.lines().map_while(|line| line.strip_prefix("// "));
    lines.collect::<Vec<_>>().join(" ")
}

/// Replays the decision records of the fronts. Returns the number of steps and the first difference.
fn replay_decisions(fronts: &FrontFleet) -> (usize, Option<String>) {
    let (mut steps, mut first_difference) = (0, None);
    for (record, config) in &fronts.records {
        let settings = Settings::load(config).map_err(|error| error.to_string());
        let file = fs::File::open(record).map_err(|error| error.to_string());
        let replayed = settings.and_then(|settings| {
            record::replay(BufReader::new(file?), &settings.decision).map_err(|error| error.to_string())
        });
        match replayed {
            Ok(replayed) => steps += replayed,
            Err(error) => {
                let name = record.file_name().unwrap_or_default().to_string_lossy().into_owned();
                first_difference.get_or_insert(format!("{name}: {error}"));
            }
        }
    }
    (steps, first_difference)
}

/// Result of a day.
pub struct DayResult {
    /// Verdict of the judge.
    pub verdict: Verdict,
    /// Worth asked for and delivered.
    pub worth: Worth,
    log: Log,
    lines: usize,
    decision_steps: usize,
    /// The first recorded decision that the module does not reproduce.
    pub first_difference: Option<String>,
    seconds: f64,
}

impl DayResult {
    /// Returns whether all rules were kept and every decision was reproduced.
    pub fn is_ok(&self) -> bool {
        self.verdict.all_kept() && self.first_difference.is_none()
    }

    fn print(&self) {
        let [plays, refused, failed] = self.verdict.answers;
        println!("calls       {} due, {} excused", self.verdict.calls_due, self.verdict.excused);
        println!("answers     {plays} play, {refused} refused, {failed} failed");
        println!("attempts    {} reached boxes", self.verdict.attempts);
        println!(
            "worth       {:.3} ({:.0} delivered of {:.0} asked), {} of {} began in time",
            self.worth.ratio(),
            self.worth.delivered,
            self.worth.asked,
            self.worth.in_time,
            self.worth.began
        );
        match &self.first_difference {
            None => println!("decisions   {} steps, all reproduced by the module", self.decision_steps),
            Some(difference) => println!("decisions   DIFFER: {difference}"),
        }
        println!("record      {} lines, {:.1} s in total", self.lines, self.seconds);
        print_verdict(&self.verdict);
    }

    /// Returns the result as JSON.
    pub fn json(&self) -> serde_json::Value {
        let mut value = verdict_json(&self.verdict);
        value["worth"] = json!({
            "part": self.worth.ratio(), "delivered": self.worth.delivered, "asked": self.worth.asked,
            "began": self.worth.began, "in_time": self.worth.in_time
        });
        value["decisions"] = json!({"steps": self.decision_steps, "differs": self.first_difference});
        value["seconds"] = json!(self.seconds);
        value
    }
}

/// Largest number of findings printed for each rule; the others are only counted.
const MAX_FINDINGS_SHOWN: usize = 5;

/// Prints for each rule whether it was kept, or its findings.
pub fn print_verdict(verdict: &Verdict) {
    for rule in Rule::ALL {
        let broken: Vec<_> = verdict.findings.iter().filter(|finding| finding.rule == rule).collect();
        println!("{:36} {}", rule.to_string(), if broken.is_empty() { "kept" } else { "BROKEN" });
        for finding in broken.iter().take(MAX_FINDINGS_SHOWN) {
            println!("    at {:.3} s: {}", finding.at as f64 / 1e6, finding.text);
        }
        if broken.len() > MAX_FINDINGS_SHOWN {
            println!("    and {} more", broken.len() - MAX_FINDINGS_SHOWN);
        }
    }
}

/// Returns the verdict as JSON.
pub fn verdict_json(verdict: &Verdict) -> serde_json::Value {
    let rules = Rule::ALL.map(|rule| {
        let findings = verdict.findings.iter().filter(|finding| finding.rule == rule);
        let findings: Vec<_> = findings.map(|f| json!({"at_us": f.at, "text": f.text})).collect();
        json!({"rule": rule.to_string(), "kept": findings.is_empty(), "findings": findings})
    });
    let [plays, refused, failed] = verdict.answers;
    json!({
        "kept": verdict.all_kept(), "rules": rules, "owed": verdict.calls_due, "excused": verdict.excused,
        "answers": {"plays": plays, "refused": refused, "failed": failed}, "attempts": verdict.attempts
    })
}
