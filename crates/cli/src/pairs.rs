//! `salttally pairs`: every two kinds of trouble at once.

use std::error::Error;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use clap::Args;
use salttally_judge::Rule;
use salttally_settings::Document;
use salttally_standin::script::Script;
use serde_json::json;

use crate::rehearse::{play, Played};
use crate::Against;

/// The day that all pairs share; its faults are put in.
const DAY: &str = include_str!("../days/pair.kdl");

/// The kinds, each as it is played for two seconds from the first on. The second of a pair begins a moment after
/// the first, in the middle of what that causes.
const KINDS: [(&str, &str); 14] = [
    ("crash", "part=0.25"),
    ("vanish", "part=0.2"),
    ("preempt", "part=0.25 notice-ms=300"),
    ("errors", "part=0.3 share=0.7"),
    ("reports-late", "by-ms=1500"),
    ("crowd", "share=0.4 titles=1"),
    ("zone-loss", "zone=1 fronts=#true"),
    ("zone-cut", "zone=0"),
    ("deploy", "part=0.9 batch=0.25 drain-ms=400"),
    ("list-stale", "by-ms=1500"),
    ("list-drop", ""),
    ("front-crash", "fronts=1"),
    ("slow", "part=1.0 times=1.8"),
    ("siege", "peers=60 first=\"slow-handshake\" second=\"calls\" third=\"idle\""),
];

/// Arguments of `salttally pairs`.
#[derive(Args)]
pub struct Pairs {
    /// Seed of the first day; each further day has the next
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Days that are played at once
    #[arg(long, default_value_t = 3)]
    at_once: usize,
    /// Only pairs with this kind of trouble
    #[arg(long)]
    with: Option<String>,
    /// Fronts in this process, or processes of salttallyd
    #[arg(long, value_enum, default_value = "library")]
    against: Against,
    /// Print a line of JSON for each pair
    #[arg(long)]
    json: bool,
}

impl Pairs {
    /// Plays all pairs.
    pub fn run(self) -> Result<ExitCode, Box<dyn Error>> {
        let mut pairs = Vec::new();
        for (at, first) in KINDS.iter().enumerate() {
            for second in &KINDS[at..] {
                let with = self.with.as_deref();
                if with.is_none_or(|kind| first.0 == kind || second.0 == kind) {
                    pairs.push((*first, *second));
                }
            }
        }
        if pairs.is_empty() {
            let known: Vec<&str> = KINDS.iter().map(|(kind, _)| *kind).collect();
            return Err(format!("no such trouble; known: {}", known.join(", ")).into());
        }
        let next = AtomicUsize::new(0);
        let broken = Mutex::new((0, [0usize; 3], 0));
        thread::scope(|scope| {
            for _ in 0..self.at_once.max(1) {
                scope.spawn(|| loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some((first, second)) = pairs.get(at) else { return };
                    let day = self.one(at as u64, first, second);
                    let mut sum = broken.lock().unwrap_or_else(PoisonError::into_inner);
                    self.show(first.0, second.0, &day);
                    match day {
                        Ok(day) => {
                            sum.0 += usize::from(!day.kept());
                            sum.1.iter_mut().zip(day.verdict.answers).for_each(|(sum, more)| *sum += more);
                            sum.2 += day.verdict.calls_due;
                        }
                        Err(_) => sum.0 += 1,
                    }
                });
            }
        });
        let (broken, [plays, refused, failed], owed) =
            broken.into_inner().unwrap_or_else(PoisonError::into_inner);
        if !self.json {
            println!(
                "{} days, {broken} broken; {owed} calls owed an answer: {plays} play, {refused} refused, {failed} failed",
                pairs.len()
            );
        }
        Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn one(
        &self,
        at: u64,
        first: &(&str, &str),
        second: &(&str, &str),
    ) -> Result<Played, Box<dyn Error + Send + Sync>> {
        let fault =
            |at: f64, (kind, more): &(&str, &str)| format!("fault \"{kind}\" at-s={at} for-s=2 {more}\n");
        let text = format!("{DAY}{}{}", fault(1.0, first), fault(1.3, second));
        let document = Document::parse("pair", &text).map_err(|error| error.to_string())?;
        let mut script = Script::read(&document).map_err(|error| error.to_string())?;
        script.seed = self.seed + at;
        // Several days on one machine: threads are late more often.
        script.terms.lateness *= 2;
        play(script, self.against, None, |_| {})
    }

    fn show(&self, first: &str, second: &str, day: &Result<Played, Box<dyn Error + Send + Sync>>) {
        match day {
            Ok(day) if self.json => {
                let value = json!({"first": first, "second": second, "day": day.json()});
                println!("{value}");
            }
            Ok(day) => {
                let [plays, refused, failed] = day.verdict.answers;
                let kept = if day.kept() { "kept" } else { "BROKEN" };
                println!(
                    "{first:12} {second:12} {kept:6} worth {:.3}, {plays} play, {refused} refused, {failed} failed",
                    day.worth.ratio()
                );
                for rule in Rule::ALL {
                    let broken = day.verdict.findings.iter().filter(|finding| finding.rule == rule);
                    broken
                        .take(2)
                        .for_each(|found| println!("    {rule}: at {} ms: {}", found.at / 1000, found.text));
                }
                if let Some(differs) = &day.differs {
                    println!("    a decision differs: {differs}");
                }
            }
            Err(error) if self.json => {
                println!("{}", json!({"first": first, "second": second, "error": error.to_string()}))
            }
            Err(error) => println!("{first:12} {second:12} NOT PLAYED {error}"),
        }
    }
}
