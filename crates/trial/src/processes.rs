//! Runs a trial in real time: each front is a `salttallyd` process with its own loopback address and files, and the relay
//! connects them.
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

use crate::consensus::{header_line, random_rules, VIEWER_COUNT};
use crate::describe::{ConsensusOptions, Trial};
use crate::net::Net;
use crate::plan::{self, Action, Plan};
use crate::relay::Relay;
use crate::Micros;

/// Result of a trial.
pub struct ProcessTrial {
    /// Histories of the fronts and the record of actions.
    pub lines: Vec<Value>,
    /// Resource usage, as JSON.
    pub cost: Value,
}

/// The clock of a trial: microseconds since its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: u64,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64);
        Clock { started: Instant::now(), unix }
    }

    /// Returns the time since the start, us.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }
}

/// Processes of a trial and the folder for their files. Dropping the fleet kills the processes, by their ids, and deletes
/// the folder.
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

/// Port for other fronts, and port for players.
const PORTS: (u16, u16) = (7301, 7001);

/// Returns the loopback addresses of the fronts, in a block that depends on the id of this process.
fn addresses(fronts: usize) -> Vec<SocketAddrV4> {
    let block = 16 + (std::process::id() % 200) as u8;
    let at = |front: usize| Ipv4Addr::new(127, block, (front / 250) as u8, (front % 250) as u8 + 1);
    (0..fronts).map(|front| SocketAddrV4::new(at(front), PORTS.0)).collect()
}

impl Fleet<'_> {
    fn config_text(&self, front: usize) -> String {
        let (name, at) = (plan::front_name(front), self.addresses[front]);
        let seeds: Vec<String> = self
            .addresses
            .iter()
            .take(self.trial.seeds)
            .map(|seed| format!("{:?}", seed.to_string()))
            .collect();
        let history = self.history(front);
        let offset = self.clocks[front] as f64 / 1e6;
        // A fixed key that only trials use; not a secret.
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
            accord = self.accord_block(front),
            ip = at.ip(),
            players = PORTS.1,
            seeds = seeds.join(" "),
            observers = self.trial.observers,
            history = history.display().to_string(),
            relay = self.relay,
        )
    }

    /// Returns the `accord` block of the settings; empty unless the trial covers consensus.
    fn accord_block(&self, front: usize) -> String {
        let Some(consensus) = &self.trial.consensus else { return String::new() };
        let names: Vec<String> =
            (0..consensus.voters).map(|voter| format!("{:?}", plan::front_name(voter))).collect();
        let times = &consensus.lease_times;
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
            store = self.disk_dir(front).join("accord.redb").display().to_string(),
            lease = times.lease / 1000,
            alone = times.grace / 1000,
            renew = times.renew_interval / 1000,
            without = if times.refuse_without_lease { "refuse" } else { "go-on" },
            history = self.history(front).display().to_string(),
            relay = self.relay,
            acts = consensus.decision_interval / 1000,
            viewers = VIEWER_COUNT,
        )
    }

    fn history(&self, front: usize) -> PathBuf {
        self.folder.join(format!("{}.jsonl", plan::front_name(front)))
    }

    fn start(&mut self, front: usize) -> io::Result<bool> {
        if self.children[front].is_some() {
            return Ok(false);
        }
        let config_path = self.config_path(front);
        fs::create_dir_all(self.disk_dir(front))?;
        fs::write(&config_path, self.config_text(front))?;
        let log = fs::File::options().create(true).append(true).open(config_path.with_extension("log"))?;
        let child = Command::new(self.daemon)
            .arg("--config")
            .arg(&config_path)
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

    /// Deletes the disk of a front that is not running.
    fn delete_disk(&self, front: usize) -> bool {
        let _ = fs::remove_dir_all(self.disk_dir(front));
        true
    }

    fn config_path(&self, front: usize) -> PathBuf {
        self.folder.join(format!("{}.kdl", plan::front_name(front)))
    }

    fn disk_dir(&self, front: usize) -> PathBuf {
        self.folder.join(format!("{}.disk", plan::front_name(front)))
    }

    /// Returns the CPU time of all running processes, us.
    fn cpu_time_us(&self) -> u64 {
        let cpu_time = |child: &Child| {
            let stat = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
            let after = stat.rsplit(')').next().unwrap_or_default();
            after
                .split_whitespace()
                .skip(11)
                .take(2)
                .filter_map(|ticks| ticks.parse::<u64>().ok())
                .sum::<u64>()
        };
        self.children.iter().flatten().map(cpu_time).sum::<u64>() * 10_000
    }

    /// Finds a process that has exited by itself and describes it with the end of its log.
    fn find_exited(&mut self) -> Option<String> {
        for (front, place) in self.children.iter_mut().enumerate() {
            if let Some(Ok(Some(status))) = place.as_mut().map(Child::try_wait) {
                let log = self.folder.join(format!("{}.log", plan::front_name(front)));
                let text = fs::read_to_string(log).unwrap_or_default();
                let last: Vec<&str> = text.lines().rev().take(3).collect();
                return Some(format!("{} exited by itself ({status}): {last:?}", plan::front_name(front)));
            }
        }
        None
    }
}

/// Makes proposals as an operator does, at random fronts, in a thread of its own because an answer may take long.
struct Proposer {
    stopping: Arc<AtomicBool>,
    thread: thread::JoinHandle<Vec<Value>>,
}

impl Proposer {
    fn start(
        fleet: &Fleet<'_>,
        plan: &Plan,
        options: ConsensusOptions,
        seed: u64,
        clock: Clock,
    ) -> io::Result<Proposer> {
        let configs: Vec<PathBuf> = (0..fleet.trial.fronts).map(|front| fleet.config_path(front)).collect();
        // Proposals end with the last fault, so that their outcome can be observed.
        let faults_end = plan.last().map_or(0, |(at, _)| *at);
        let stopping = Arc::new(AtomicBool::new(false));
        let thread_stopping = Arc::clone(&stopping);
        let run = move || {
            let (lines, mut rng) = (Arc::new(Mutex::new(Vec::new())), Pcg32::seed_from_u64(seed));
            let mut at = plan::FORMATION_TIME / 2;
            let mut proposals = Vec::new();
            while at < faults_end && !thread_stopping.load(Ordering::Acquire) {
                thread::sleep(Duration::from_micros(at.saturating_sub(clock.now())));
                at += options.proposal_interval / 2 + u64::from(rng.next_u32()) % options.proposal_interval;
                let front = rng.next_u32() as usize % configs.len();
                let (config_path, rules, lines) =
                    (configs[front].clone(), random_rules(&mut rng), Arc::clone(&lines));
                proposals.push(thread::spawn(move || propose(&config_path, front, rules, clock, &lines)));
            }
            for proposal in proposals {
                let _ = proposal.join();
            }
            let lines = std::mem::take(&mut *lines.lock().unwrap_or_else(PoisonError::into_inner));
            lines
        };
        Ok(Proposer { stopping, thread: thread::Builder::new().name("proposer".into()).spawn(run)? })
    }

    fn end(self) -> Vec<Value> {
        self.stopping.store(true, Ordering::Release);
        self.thread.join().unwrap_or_default()
    }
}

fn propose(config_path: &Path, front: usize, rules: Rules, clock: Clock, lines: &Mutex<Vec<Value>>) {
    let settings = salttally_accord::settings::Settings::load(config_path).ok().flatten();
    let Some(settings) = settings else { return };
    let at = clock.now();
    let answer = ask(&settings, Question::Propose(None, "trial".into(), Box::new(rules)));
    let version = answer.ok().and_then(|json| serde_json::from_str::<Value>(&json).ok()?["version"].as_u64());
    let Some(version) = version else { return };
    let (ticket, name) = (at << 8 | front as u64 & 0xff, plan::front_name(front));
    let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
    lines.push(json!({"at": at, "truth": "proposed", "ticket": ticket}));
    lines.push(json!({"at": clock.now(), "front": name, "told": ticket, "what": format!("Became(Version({version}))")}));
}

/// Runs a trial with processes of this daemon; `progress` receives progress lines.
///
/// # Errors
/// A process cannot be started, or exits by itself.
pub fn play(
    daemon: &Path,
    trial: &Trial,
    plan: &Plan,
    seed: u64,
    progress: &mut dyn FnMut(&str),
) -> io::Result<ProcessTrial> {
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
        clocks: plan::clock_offsets(trial),
        addresses,
        children: (0..trial.fronts).map(|_| None).collect(),
    };
    let mut lines = vec![trial
        .consensus
        .as_ref()
        .map_or_else(|| plan::header_line(trial), |options| header_line(trial, options))];
    let mut last_report = 0;
    let proposer = trial
        .consensus
        .clone()
        .map(|options| Proposer::start(&fleet, plan, options, seed, clock))
        .transpose()?;
    let wait_until = |at: Micros,
                      fleet: &mut Fleet<'_>,
                      progress: &mut dyn FnMut(&str),
                      last_report: &mut Micros|
     -> io::Result<()> {
        while clock.now() < at {
            thread::sleep(Duration::from_micros((at - clock.now()).min(200_000)));
            if let Some(error) = fleet.find_exited() {
                return Err(io::Error::other(error));
            }
            if clock.now() >= *last_report + 5_000_000 {
                *last_report = clock.now();
                let up = fleet.children.iter().flatten().count();
                progress(&format!("{:>4} s  {up} of {} processes", *last_report / 1_000_000, trial.fronts));
            }
        }
        Ok(())
    };
    for (at, action) in plan {
        wait_until(*at, &mut fleet, progress, &mut last_report)?;
        let applied = match action {
            Action::Start(front) => fleet.start(*front)?,
            Action::Kill(front) => fleet.signal(*front, Signal::KILL),
            Action::KillAndWipe(front) => fleet.signal(*front, Signal::KILL) && fleet.delete_disk(*front),
            Action::Stop(front) => fleet.signal(*front, Signal::STOP),
            Action::Resume(front) => fleet.signal(*front, Signal::CONT),
            Action::Cut(..) | Action::Link(..) | Action::FaultsOver => true,
        };
        let truth = plan::record_action(clock.now(), action, &mut relay.net());
        lines.extend(truth.filter(|_| applied));
    }
    let end = plan.last().map_or(0, |(at, _)| *at) + trial.quiet_period;
    wait_until(end, &mut fleet, progress, &mut last_report)?;
    let (span, cpu_time_us) = (clock.now(), fleet.cpu_time_us());
    lines.extend(proposer.map(Proposer::end).unwrap_or_default());
    for front in 0..trial.fronts {
        fleet.signal(front, Signal::KILL);
        let text = fs::read_to_string(fleet.history(front)).unwrap_or_default();
        for line in text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
            let mut line = line;
            let at = line["at"].as_u64().unwrap_or(0).saturating_sub(clock.unix);
            // Lines written after the end of the trial, while processes are killed, are not judged.
            if at <= span {
                line["at"] = json!(at);
                lines.push(line);
            }
        }
    }
    lines.push(json!({"at": span, "truth": "end"}));
    let (datagrams, bytes) = (
        relay.traffic.datagrams_in.load(Ordering::Relaxed),
        relay.traffic.datagram_bytes.load(Ordering::Relaxed),
    );
    let front_seconds = span as f64 / 1e6 * trial.fronts as f64;
    let streamed = relay.traffic.stream_bytes.load(Ordering::Relaxed);
    let cost = json!({"streamed_per_s_and_front": (streamed as f64 / front_seconds).round(),
        "bytes_per_s_and_front": (bytes as f64 / front_seconds).round(), "datagrams": datagrams,
        "processor_ms_per_s_and_front": (cpu_time_us as f64 / 1e3 / front_seconds * 100.0).round() / 100.0,
        "seconds": span as f64 / 1e6});
    Ok(ProcessTrial { lines, cost })
}
