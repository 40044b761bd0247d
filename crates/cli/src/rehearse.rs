//! `salttally rehearse`: a day on loopback sockets, judged.

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

use crate::fronts::Company;
use crate::Against;

/// Built-in days: name, script.
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
    /// Name of a built-in day, or a script as KDL; see docs/operate/rehearsal.md
    #[arg(default_value = DAYS[0].0)]
    day: String,
    /// List the built-in days and end
    #[arg(long)]
    list: bool,
    /// Print the script of the day and end: a script of your own may begin with it
    #[arg(long)]
    print: bool,
    /// Seed in place of the script's
    #[arg(long)]
    seed: Option<u64>,
    /// Write what crossed the sockets to this file, for `salttally judge`
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
    /// Keep settings and decisions of the fronts in this folder
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// Fronts in this process, or processes of salttallyd
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
                println!("{name:14} {}", about(text));
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
        let show = !self.json && std::io::stderr().is_terminal();
        let length = script.length / 1_000_000;
        let played = play(script, self.against, self.keep.as_deref(), |progress| {
            if show {
                let (now, come, of, here) =
                    (progress.now / 1_000_000, progress.arrived, progress.total, progress.present);
                eprint!("\r{now:3} of {length} s, {come} of {of} viewers have come, {here} are there   ");
                let _ = std::io::stderr().flush();
            }
        });
        if show {
            eprintln!();
        }
        let played = played.map_err(|error| error.to_string())?;
        if let Some(path) = &self.record {
            played.log.save(path)?;
        }
        if self.json {
            println!("{}", played.json());
        } else {
            played.print();
        }
        Ok(if played.kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}

/// Plays a day and judges it. Settings and decisions of the fronts stay in `keep`, if that is given.
pub fn play(
    script: Script,
    against: Against,
    keep: Option<&Path>,
    shown: impl FnMut(Progress),
) -> Result<Played, Box<dyn Error + Send + Sync>> {
    let begun = Instant::now();
    let day = Day::start(script)?;
    // The day's first address is its own, so its folder is too.
    let own = || std::env::temp_dir().join(format!("salttally-{}", day.list.address().ip()));
    let folder = keep.map_or_else(own, Path::to_owned);
    fs::create_dir_all(&folder)?;
    let mut fronts = Company::new(against, &folder);
    let played = day.play(&mut fronts, shown);
    fronts.end();
    let lines = day.log.lines();
    day.stop();
    let (decided, differs) = decided(&fronts);
    if keep.is_none() {
        fs::remove_dir_all(&folder)?;
    }
    played?;
    let (verdict, worth) = (judge(&lines), worth(&lines));
    let seconds = begun.elapsed().as_secs_f64();
    Ok(Played { verdict, worth, log: day.log.clone(), lines: lines.len(), decided, differs, seconds })
}

/// The comment that a script begins with.
fn about(text: &str) -> String {
    let lines = text.lines().map_while(|line| line.strip_prefix("// "));
    lines.collect::<Vec<_>>().join(" ")
}

/// Decides all that the fronts recorded again: the number of steps, and the first that differs.
fn decided(fronts: &Company) -> (usize, Option<String>) {
    let (mut steps, mut differs) = (0, None);
    for (record, config) in &fronts.records {
        let settings = Settings::load(config).map_err(|error| error.to_string());
        let file = fs::File::open(record).map_err(|error| error.to_string());
        let done = settings.and_then(|settings| {
            record::replay(BufReader::new(file?), &settings.decision).map_err(|error| error.to_string())
        });
        match done {
            Ok(done) => steps += done,
            Err(error) => {
                let name = record.file_name().unwrap_or_default().to_string_lossy().into_owned();
                differs.get_or_insert(format!("{name}: {error}"));
            }
        }
    }
    (steps, differs)
}

/// A day that was played.
pub struct Played {
    /// What the judge says.
    pub verdict: Verdict,
    /// What it was worth.
    pub worth: Worth,
    log: Log,
    lines: usize,
    decided: usize,
    /// The first decision that the module would not take.
    pub differs: Option<String>,
    seconds: f64,
}

impl Played {
    /// Whether all rules were kept, and every decision was the module's.
    pub fn kept(&self) -> bool {
        self.verdict.all_kept() && self.differs.is_none()
    }

    fn print(&self) {
        let [plays, refused, failed] = self.verdict.answers;
        println!("calls       {} owed, {} excused", self.verdict.calls_due, self.verdict.excused);
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
        match &self.differs {
            None => println!("decisions   {} steps, each as the module alone decides it", self.decided),
            Some(differs) => println!("decisions   DIFFER: {differs}"),
        }
        println!("record      {} lines, {:.1} s in all", self.lines, self.seconds);
        print_verdict(&self.verdict);
    }

    /// All of it as JSON.
    pub fn json(&self) -> serde_json::Value {
        let mut value = verdict_json(&self.verdict);
        value["worth"] = json!({
            "part": self.worth.ratio(), "delivered": self.worth.delivered, "asked": self.worth.asked,
            "began": self.worth.began, "in_time": self.worth.in_time
        });
        value["decisions"] = json!({"steps": self.decided, "differs": self.differs});
        value["seconds"] = json!(self.seconds);
        value
    }
}

/// Findings of a rule that are printed; the rest is counted.
const SHOWN: usize = 5;

/// Prints each rule, kept or the lines that break it.
pub fn print_verdict(verdict: &Verdict) {
    for rule in Rule::ALL {
        let broken: Vec<_> = verdict.findings.iter().filter(|finding| finding.rule == rule).collect();
        println!("{:36} {}", rule.to_string(), if broken.is_empty() { "kept" } else { "BROKEN" });
        for finding in broken.iter().take(SHOWN) {
            println!("    at {:.3} s: {}", finding.at as f64 / 1e6, finding.text);
        }
        if broken.len() > SHOWN {
            println!("    and {} more", broken.len() - SHOWN);
        }
    }
}

/// The verdict as JSON.
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
