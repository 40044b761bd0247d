//! A trial as processes: each front a `salttallyd` of its own, on its own loopback address and in its own folder, with
//! the relay between them.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use rustix::process::{kill_process, Pid, Signal};
use salttally_accord::core::rules::Rules;
use salttally_accord::query::ask;
use salttally_accord::wire::Question;
use serde_json::{json, Value};

use crate::describe::{Trial, Versions};
use crate::net::Net;
use crate::plan::{self, Act, Plan};
use crate::relay::Relay;
use crate::versions::{drawn, opening, VIEWERS};
use crate::Micros;

/// What came out.
pub struct Played {
    /// Histories and truth.
    pub lines: Vec<Value>,
    /// What it cost.
    pub cost: Value,
}

/// The trial's clock: microseconds since its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: u64,
}

impl Clock {
    /// From now on.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64);
        Clock { started: Instant::now(), unix }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }
}

/// Processes of a trial and where they write. Dropped, they are ended, by their own ids.
struct Fleet<'a> {
    daemon: &'a Path,
    folder: PathBuf,
    relay: std::net::SocketAddr,
    trial: &'a Trial,
    clocks: Vec<i64>,
    addresses: Vec<SocketAddrV4>,
    children: Vec<Option<Child>>,
}

impl Drop for Fleet<'_> {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = (child.kill(), child.wait());
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Port for other fronts, and for players.
const PORTS: (u16, u16) = (7301, 7001);

/// Loopback addresses of a trial's fronts: a block by the process that plays it.
fn addresses(fronts: usize) -> Vec<SocketAddrV4> {
    let block = 16 + (std::process::id() % 200) as u8;
    let at = |front: usize| Ipv4Addr::new(127, block, (front / 250) as u8, (front % 250) as u8 + 1);
    (0..fronts).map(|front| SocketAddrV4::new(at(front), PORTS.0)).collect()
}

impl Fleet<'_> {
    fn settings(&self, front: usize) -> String {
        let (name, at) = (plan::name(front), self.addresses[front]);
        let seeds: Vec<String> = self
            .addresses
            .iter()
            .take(self.trial.seeds)
            .map(|seed| format!("{:?}", seed.to_string()))
            .collect();
        let history = self.history(front);
        let offset = self.clocks[front] as f64 / 1e6;
        // The key is a trial's, and worth nothing elsewhere.
        let key = "5a".repeat(32);
        format!(
            r#"front "{name}" {{ listen "{ip}:{players}"; }}
box-list "{ip}:9"
fleet cells=1 link-kb=10000 links-kb=10000 refuses-from=1.0
ladder {{ rung kb=200 worth=1.0; }}
class "clip" aim-ms=1000
title "welcome" first-cell=0 cells=1
rules {{ attempts 3; drain-grace-ms 1000; warm-up-ms 1000; cold-from 0.4; fall-multiple 2.0; fall-ms 1000; }}
members {{
    bind "{at}"
    seeds {seeds}
    key "{key}"
    observers {observers}
    history {history:?}
    trial relay="{relay}" clock-offset-s={offset:?}
}}
{accord}"#,
            accord = self.accord(front),
            ip = at.ip(),
            players = PORTS.1,
            seeds = seeds.join(" "),
            observers = self.trial.observers,
            history = history.display().to_string(),
            relay = self.relay,
        )
    }

    /// The block `accord`, where the trial has versions.
    fn accord(&self, front: usize) -> String {
        let Some(versions) = &self.trial.versions else { return String::new() };
        let names: Vec<String> =
            (0..versions.voters).map(|voter| format!("{:?}", plan::name(voter))).collect();
        let times = &versions.times;
        format!(
            r#"accord {{
    voters {voters}
    store {store:?}
    lease-ms {lease}
    alone-ms {alone}
    renew-ms {renew}
    without-lease "{without}"
    history {history:?}
    trial relay="{relay}" acts-ms={acts} viewers={viewers}
}}
"#,
            voters = names.join(" "),
            store = self.disk(front).join("accord.redb").display().to_string(),
            lease = times.lease / 1000,
            alone = times.grace / 1000,
            renew = times.renew_interval / 1000,
            without = if times.refuse_without_lease { "refuse" } else { "go-on" },
            history = self.history(front).display().to_string(),
            relay = self.relay,
            acts = versions.acts / 1000,
            viewers = VIEWERS,
        )
    }

    fn history(&self, front: usize) -> PathBuf {
        self.folder.join(format!("{}.jsonl", plan::name(front)))
    }

    fn start(&mut self, front: usize) -> io::Result<bool> {
        if self.children[front].is_some() {
            return Ok(false);
        }
        let config = self.config(front);
        fs::create_dir_all(self.disk(front))?;
        fs::write(&config, self.settings(front))?;
        let log = fs::File::options().create(true).append(true).open(config.with_extension("log"))?;
        let child = Command::new(self.daemon)
            .arg("--config")
            .arg(&config)
            .args(["--log-level", "salttally_members=info,salttally_accord=info,error"])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.children[front] = Some(child);
        Ok(true)
    }

    fn signal(&mut self, front: usize, signal: Signal) -> bool {
        let Some(child) = &mut self.children[front] else { return false };
        let _ = kill_process(Pid::from_child(child), signal);
        if signal == Signal::KILL {
            let _ = child.wait();
            self.children[front] = None;
        }
        true
    }

    /// The disk of a front that does not run is lost.
    fn lose(&self, front: usize) -> bool {
        let _ = fs::remove_dir_all(self.disk(front));
        true
    }

    fn config(&self, front: usize) -> PathBuf {
        self.folder.join(format!("{}.kdl", plan::name(front)))
    }

    fn disk(&self, front: usize) -> PathBuf {
        self.folder.join(format!("{}.disk", plan::name(front)))
    }

    /// Processor time of all that run, us.
    fn spent(&self) -> u64 {
        let of = |child: &Child| {
            let stat = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
            let after = stat.rsplit(')').next().unwrap_or_default();
            after
                .split_whitespace()
                .skip(11)
                .take(2)
                .filter_map(|ticks| ticks.parse::<u64>().ok())
                .sum::<u64>()
        };
        self.children.iter().flatten().map(of).sum::<u64>() * 10_000
    }

    /// Any that has ended by itself, with the end of its log.
    fn fallen(&mut self) -> Option<String> {
        for (front, place) in self.children.iter_mut().enumerate() {
            if let Some(Ok(Some(status))) = place.as_mut().map(Child::try_wait) {
                let log = self.folder.join(format!("{}.log", plan::name(front)));
                let text = fs::read_to_string(log).unwrap_or_default();
                let last: Vec<&str> = text.lines().rev().take(3).collect();
                return Some(format!("{} ended by itself ({status}): {last:?}", plan::name(front)));
            }
        }
        None
    }
}

/// Proposes as an operator does, to one front after the other, from a thread of its own: an answer may take long.
struct Proposer {
    over: Arc<AtomicBool>,
    thread: thread::JoinHandle<Vec<Value>>,
}

impl Proposer {
    fn start(fleet: &Fleet<'_>, plan: &Plan, of: Versions, seed: u64, clock: Clock) -> io::Result<Proposer> {
        let configs: Vec<PathBuf> = (0..fleet.trial.fronts).map(|front| fleet.config(front)).collect();
        // Proposals end where faults do, so that what comes of them is to be seen.
        let calm = plan.last().map_or(0, |(at, _)| *at);
        let over = Arc::new(AtomicBool::new(false));
        let ends = Arc::clone(&over);
        let work = move || {
            let (lines, mut rng) = (Arc::new(Mutex::new(Vec::new())), Pcg32::seed_from_u64(seed));
            let mut at = plan::SETTLED / 2;
            let mut asked = Vec::new();
            while at < calm && !ends.load(Ordering::Acquire) {
                thread::sleep(Duration::from_micros(at.saturating_sub(clock.now())));
                at += of.every / 2 + u64::from(rng.next_u32()) % of.every;
                let front = rng.next_u32() as usize % configs.len();
                let (config, rules, lines) = (configs[front].clone(), drawn(&mut rng), Arc::clone(&lines));
                asked.push(thread::spawn(move || propose(&config, front, rules, clock, &lines)));
            }
            for one in asked {
                let _ = one.join();
            }
            let lines = std::mem::take(&mut *lines.lock().unwrap_or_else(PoisonError::into_inner));
            lines
        };
        Ok(Proposer { over, thread: thread::Builder::new().name("proposer".into()).spawn(work)? })
    }

    fn end(self) -> Vec<Value> {
        self.over.store(true, Ordering::Release);
        self.thread.join().unwrap_or_default()
    }
}

fn propose(config: &Path, front: usize, rules: Rules, clock: Clock, lines: &Mutex<Vec<Value>>) {
    let settings = salttally_accord::settings::Settings::load(config).ok().flatten();
    let Some(settings) = settings else { return };
    let at = clock.now();
    let answer = ask(&settings, Question::Propose(None, "trial".into(), Box::new(rules)));
    let version = answer.ok().and_then(|json| serde_json::from_str::<Value>(&json).ok()?["version"].as_u64());
    let Some(version) = version else { return };
    let (ticket, name) = (at << 8 | front as u64 & 0xff, plan::name(front));
    let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
    lines.push(json!({"at": at, "truth": "proposed", "ticket": ticket}));
    lines.push(json!({"at": clock.now(), "front": name, "told": ticket, "what": format!("Became(Version({version}))")}));
}

/// Plays a trial by processes of this daemon; `tell` hears how it goes.
///
/// # Errors
/// A process that cannot be started, or that ends by itself.
pub fn play(
    daemon: &Path,
    trial: &Trial,
    plan: &Plan,
    seed: u64,
    tell: &mut dyn FnMut(&str),
) -> io::Result<Played> {
    let clock = Clock::start();
    let addresses = addresses(trial.fronts);
    let relay = Relay::start(Net::new(trial.link), &addresses, seed, clock)?;
    let folder = std::env::temp_dir().join(format!("salttally-trial-{}-{}", std::process::id(), clock.unix));
    fs::create_dir_all(&folder)?;
    let mut fleet = Fleet {
        daemon,
        folder,
        relay: relay.address,
        trial,
        clocks: plan::clocks(trial),
        addresses,
        children: (0..trial.fronts).map(|_| None).collect(),
    };
    let mut lines =
        vec![trial.versions.as_ref().map_or_else(|| plan::opening(trial), |of| opening(trial, of))];
    let mut told = 0;
    let proposer =
        trial.versions.clone().map(|of| Proposer::start(&fleet, plan, of, seed, clock)).transpose()?;
    let wait_until = |at: Micros,
                      fleet: &mut Fleet<'_>,
                      tell: &mut dyn FnMut(&str),
                      told: &mut Micros|
     -> io::Result<()> {
        while clock.now() < at {
            thread::sleep(Duration::from_micros((at - clock.now()).min(200_000)));
            if let Some(fallen) = fleet.fallen() {
                return Err(io::Error::other(fallen));
            }
            if clock.now() >= *told + 5_000_000 {
                *told = clock.now();
                let up = fleet.children.iter().flatten().count();
                tell(&format!("{:>4} s  {up} of {} processes", *told / 1_000_000, trial.fronts));
            }
        }
        Ok(())
    };
    for (at, act) in plan {
        wait_until(*at, &mut fleet, tell, &mut told)?;
        let done = match act {
            Act::Start(front) => fleet.start(*front)?,
            Act::Kill(front) => fleet.signal(*front, Signal::KILL),
            Act::Lose(front) => fleet.signal(*front, Signal::KILL) && fleet.lose(*front),
            Act::Stop(front) => fleet.signal(*front, Signal::STOP),
            Act::Run(front) => fleet.signal(*front, Signal::CONT),
            Act::Cut(..) | Act::Link(..) | Act::Calm => true,
        };
        let truth = plan::truth(clock.now(), act, &mut relay.net());
        lines.extend(truth.filter(|_| done));
    }
    let end = plan.last().map_or(0, |(at, _)| *at) + trial.quiet;
    wait_until(end, &mut fleet, tell, &mut told)?;
    let (span, spent) = (clock.now(), fleet.spent());
    lines.extend(proposer.map(Proposer::end).unwrap_or_default());
    for front in 0..trial.fronts {
        fleet.signal(front, Signal::KILL);
        let text = fs::read_to_string(fleet.history(front)).unwrap_or_default();
        for line in text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
            let mut line = line;
            let at = line["at"].as_u64().unwrap_or(0).saturating_sub(clock.unix);
            // What the kill itself left behind is not judged.
            if at <= span {
                line["at"] = json!(at);
                lines.push(line);
            }
        }
    }
    lines.push(json!({"at": span, "truth": "end"}));
    let (came, bytes) =
        (relay.passed.came.load(Ordering::Relaxed), relay.passed.bytes.load(Ordering::Relaxed));
    let per = span as f64 / 1e6 * trial.fronts as f64;
    let streamed = relay.passed.streamed.load(Ordering::Relaxed);
    let cost = json!({"streamed_per_s_and_front": (streamed as f64 / per).round(),
        "bytes_per_s_and_front": (bytes as f64 / per).round(), "datagrams": came,
        "processor_ms_per_s_and_front": (spent as f64 / 1e3 / per * 100.0).round() / 100.0,
        "seconds": span as f64 / 1e6});
    Ok(Played { lines, cost })
}
