//! Front node processes: configuration, signals, limits and exits.

use std::fs::{self, File};
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use serde_json::{json, Value};

use crate::record::{Effect, Event, Micros};
use crate::rig::{Action, Rig};
use crate::trial::Program;
use crate::wire::ListState;

const MS: Micros = 1_000;
/// Clients still open connections for this long after SIGTERM.
const SHUTDOWN_CONNECT_TIME: Micros = 300 * MS;
/// The kill follows SIGTERM after the longest deadline, of which at most 3 s count, plus this delay.
pub(crate) const KILL_DELAY: Micros = 700 * MS;
pub(crate) const MAX_KILL_DEADLINE: Micros = 3_000 * MS;
/// SIGHUP and SIGTERM are sent no earlier than this: the platform sends neither in the first second.
const FIRST_SIGNAL_DELAY: Micros = 1_100 * MS;
/// Shortly after the fork, a process still holds descriptors of this one, so it is not sampled yet.
const FIRST_SAMPLE_DELAY: Micros = 200 * MS;
const SAMPLE_INTERVAL: Micros = 100 * MS;
/// Shortest run time within a period of a process that gets a share of a core.
const MIN_THROTTLE_RUN: Micros = 2_500;
const MIN_THROTTLE_PERIOD: Micros = 10 * MS;
const ORPHAN_CHECK_DELAY: Micros = 1_000 * MS;
const READY_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    /// When the shutdown was requested.
    ShuttingDown(Micros),
    Down,
}

/// A front node.
pub(crate) struct Node {
    program: Program,
    index: usize,
    child: Option<Child>,
    /// Number of starts.
    pub process: u32,
    phase: Phase,
    suspended_until: Micros,
    /// Time that it was suspended since the shutdown was requested.
    suspended_for: Micros,
    started: Micros,
    is_ready: bool,
    config: PathBuf,
    log: PathBuf,
}

impl Node {
    pub fn new(program: &Program, index: usize) -> Node {
        let (config, log) = (PathBuf::new(), PathBuf::new());
        let (program, phase) = (program.clone(), Phase::Down);
        Node {
            program,
            index,
            child: None,
            process: 0,
            phase,
            suspended_until: 0,
            suspended_for: 0,
            started: 0,
            is_ready: false,
            config,
            log,
        }
    }

    /// Records a test result. Returns whether it is the first that this process has passed.
    pub fn record_test(&mut self, passed: bool) -> bool {
        let is_first = passed && !self.is_ready;
        self.is_ready |= passed;
        is_first
    }

    /// Whether clients open new connections to it.
    pub fn accepts_connections(&self, now: Micros) -> bool {
        match self.phase {
            Phase::Running => true,
            Phase::ShuttingDown(since) => now < since + SHUTDOWN_CONNECT_TIME,
            Phase::Down => false,
        }
    }

    /// Whether it has run since this time, without being told to shut down.
    pub fn has_run_since(&self, at: Micros) -> bool {
        self.phase == Phase::Running && self.started <= at && self.suspended_until <= at
    }

    /// Whether it was told to shut down and has not ended.
    pub fn is_shutting_down(&self) -> bool {
        matches!(self.phase, Phase::ShuttingDown(_))
    }

    /// Whether the platform may signal it.
    pub fn may_be_signalled(&self, now: Micros) -> bool {
        self.phase == Phase::Running && self.is_ready && now >= self.started + FIRST_SIGNAL_DELAY
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }
}

impl Rig {
    pub(crate) fn start_node(&mut self, node: usize) -> io::Result<()> {
        let (seed, process) = (self.plan.seed, self.nodes[node].process + 1);
        let stem = format!("salttally-soak-{}-{seed}-n{node}", std::process::id());
        let dir = std::env::temp_dir();
        self.nodes[node].config = dir.join(format!("{stem}.json"));
        self.nodes[node].log = dir.join(format!("{stem}.log"));
        self.write_config(node);
        let log = File::options().append(true).create(true).open(&self.nodes[node].log)?;
        let node_state = &self.nodes[node];
        let child = Command::new(&node_state.program.path)
            .args(["--platform", "--log-level", &node_state.program.log_level])
            .env("GW_CONFIG", &node_state.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let sockets = Some(self.plan.terms.sockets as u64);
        let limit = Rlimit { current: sockets, maximum: sockets };
        prlimit(Some(Pid::from_child(&child)), Resource::Nofile, limit)?;
        let now = self.now();
        let node_state = &mut self.nodes[node];
        (node_state.child, node_state.process) = (Some(child), process);
        (node_state.phase, node_state.started, node_state.is_ready) = (Phase::Running, now, false);
        node_state.suspended_until = 0;
        // The list in its configuration announces the state of each server.
        for server in &self.servers {
            if let Some(started) = server.listed_start {
                self.events.push((now, Event::StartAnnounced { server: server.id, node, started }));
            }
            if server.state != ListState::Ready {
                self.events.push((now, Event::AnnouncedLeaving { server: server.id, node }));
            }
        }
        if self.plan.cpu_percent < 100 {
            self.schedule_in(MIN_THROTTLE_PERIOD, Action::Throttle { node, process, running: true });
        }
        Ok(())
    }

    pub(crate) fn restart_node(&mut self, node: usize) {
        if self.nodes[node].phase == Phase::Down {
            let _ = self.start_node(node);
        }
    }

    pub(crate) fn write_config(&self, node: usize) {
        let _ = fs::write(&self.nodes[node].config, self.config(node).to_string());
    }

    fn config(&self, node: usize) -> Value {
        let listed = self.listed();
        let records = self.list_records(&listed, node).into_iter();
        let hosts = records.filter(|record| record.state != ListState::Gone).map(|record| {
            let health = if record.state == ListState::Ready { "active" } else { "leaving" };
            json!({"host": format!("s-{:08x}", record.id), "dial": record.address.to_string(), "site": "a",
                "class": "k", "block": record.cell, "health": health, "share": 1, "born_ms": record.started_ms})
        });
        let hosts: Vec<Value> = hosts.collect();
        // Each start of a front node has another seed.
        let process = self.nodes[node].process;
        let index = self.discovery.last_event();
        let discovery = self.addresses.discovery(self.discovery.address_index(node), node);
        json!({"name": format!("n{}", self.nodes[node].index), "listen": self.addresses.node(node).to_string(),
            "seed": format!("{:016x}", self.plan.seed << 24 | u64::from(process) << 12 | node as u64),
            "limits": {"cores": self.plan.cpu_percent as f64 / 100.0, "memory_mb": self.plan.terms.memory_mb,
                "sockets": self.plan.terms.sockets},
            "coordinator": discovery.to_string(),
            "known": {"index": index,
                "updates": [{"index": index, "endpoints": {"seq": 1, "whole": true, "hosts": hosts}}]},
            "settings": self.settings()})
    }

    fn settings(&self) -> Value {
        let (plan, terms) = (&self.plan, &self.plan.terms);
        let classes = plan.classes.iter().map(|class| {
            let effect = if class.terms.effect == Effect::Safe { "idempotent" } else { "at_most_once" };
            json!({"name": class.name, "aim_ms": class.aim_ms, "deadline_ms": class.deadline_ms,
                "effect": effect, "gain": 1})
        });
        let mut safety = json!({"answer_slack_ms": 40, "drain_grace_ms": terms.drain_grace / MS,
            "warm_up_ms": terms.cold.warm_up / MS, "cold_from": terms.cold.cold_from,
            "fall_multiple": terms.cold.fall_multiple, "fall_ms": terms.cold.window / MS});
        if let Some(budget) = terms.budget {
            safety["look_back_ms"] = json!(budget.window / MS);
            safety["budget_free"] = json!(budget.free);
            safety["resend_ratio"] = json!(budget.share);
        }
        let floors: Vec<u64> = plan.classes.iter().map(|class| class.terms.floor).collect();
        let tops: Vec<u64> = plan.classes.iter().map(|class| class.terms.top).collect();
        json!({"balancers": plan.nodes, "zone": 0, "localities": ["a"], "host_types": ["k"],
            "classes": classes.collect::<Vec<_>>(),
            "domain": {"positions": plan.servers, "racks": plan.racks, "kb_per_weight": 100_000,
                "links_kb": 100_000 * u64::from(plan.servers), "uplink_kb": 600_000, "kind_streams": [terms.cold.places],
                "rung_kb": [200, 400, 800], "worth_by_rung": [0.3, 0.6, 1], "lowest_rung": floors,
                "top_by_class": tops, "reports_every_ms": 3000, "seen_after_ms": 500, "change_costs_s": 0.5},
            "load_report": {"names": ["active", "x0"], "source": "answers"},
            "policy_limits": {"max_attempts": terms.max_attempts, "max_retry_after_ms": 1000,
                "retry_after": true, "probes": false, "connect_timeout_ms": plan.connect_ms,
                "conn_idle_ms": plan.idle_ms, "max_streams": plan.crossings.max_streams},
            "safety": safety})
    }

    /// Runs the peers until every front node has passed a test.
    pub(crate) fn wait_until_ready(&mut self) {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until && self.nodes.iter().any(|node| !node.is_ready) {
            self.poll_once();
            if self.nodes.iter().any(|node| !node.is_ready) && self.draws.chance(20) {
                self.send_client_tests();
            }
        }
        self.nodes.iter_mut().for_each(|node| node.started = 0);
    }

    // ---- Signals ----

    pub(crate) fn request_reload(&self, node: usize) {
        self.nodes[node].signal(Signal::HUP);
    }

    pub(crate) fn begin_planned_restart(&mut self, node: usize) {
        let now = self.now();
        if !self.nodes[node].may_be_signalled(now) {
            return;
        }
        self.nodes[node].phase = Phase::ShuttingDown(now);
        self.nodes[node].suspended_for = self.nodes[node].suspended_until.saturating_sub(now);
        self.nodes[node].signal(Signal::TERM);
        self.record(Event::ShutdownRequested { node });
        let kill = self.plan.terms.kill_after;
        let process = self.nodes[node].process;
        self.schedule_in(kill, Action::PlannedKill { node, process });
        self.plan_shutdown_traffic(node, kill);
    }

    /// Sends the signals of a planned restart once more.
    pub(crate) fn repeat_signals(&self, node: usize, process: u32) {
        if self.nodes[node].process == process && self.nodes[node].is_shutting_down() {
            self.nodes[node].signal(Signal::TERM);
            self.nodes[node].signal(Signal::HUP);
        }
    }

    /// A process that was suspended during the shutdown has lost that time, so the kill is delayed by as much.
    pub(crate) fn planned_kill(&mut self, node: usize, process: u32) {
        if self.nodes[node].process != process || self.nodes[node].phase == Phase::Down {
            return;
        }
        match std::mem::take(&mut self.nodes[node].suspended_for) {
            0 => self.kill_now(node),
            delay => self.schedule_in(delay, Action::PlannedKill { node, process }),
        }
    }

    pub(crate) fn kill_node(&mut self, node: usize) {
        if self.nodes[node].phase == Phase::Running {
            self.kill_now(node);
        }
    }

    fn kill_now(&mut self, node: usize) {
        self.record(Event::Killed { node });
        let is_planned = self.nodes[node].phase != Phase::Running;
        if let Some(mut child) = self.nodes[node].child.take() {
            let _ = (child.kill(), child.wait());
        }
        self.nodes[node].phase = Phase::Down;
        let process = self.nodes[node].process;
        self.drop_process_sessions(node, process, is_planned);
        self.schedule_in(self.plan.restart_delay, Action::StartNode { node });
    }

    pub(crate) fn suspend_node(&mut self, node: usize, duration: Micros) {
        if self.nodes[node].phase == Phase::Down {
            return;
        }
        self.nodes[node].signal(Signal::STOP);
        if matches!(self.nodes[node].phase, Phase::ShuttingDown(_)) {
            self.nodes[node].suspended_for += duration;
        }
        let until = self.now() + duration;
        self.nodes[node].suspended_until = until;
        self.record(Event::ProcessSuspended { node, until });
        self.schedule_in(duration, Action::ResumeNode { node });
    }

    pub(crate) fn resume_node(&mut self, node: usize) {
        self.nodes[node].signal(Signal::CONT);
    }

    pub(crate) fn throttle(&mut self, node: usize, process: u32, running: bool) {
        if self.nodes[node].process != process || self.nodes[node].phase == Phase::Down {
            return;
        }
        self.nodes[node].signal(if running { Signal::CONT } else { Signal::STOP });
        let period = (MIN_THROTTLE_RUN * 100 / self.plan.cpu_percent).max(MIN_THROTTLE_PERIOD);
        let run_time = period * self.plan.cpu_percent / 100;
        let duration = if running { run_time } else { period - run_time };
        self.schedule_in(duration, Action::Throttle { node, process, running: !running });
    }

    /// Detects exits and samples the resources of each process.
    pub(crate) fn sample_processes(&mut self) {
        for node in 0..self.nodes.len() {
            let is_starting = self.now() < self.nodes[node].started + FIRST_SAMPLE_DELAY;
            let Some(child) = &mut self.nodes[node].child else { continue };
            if let Ok(Some(status)) = child.try_wait() {
                self.node_exited(node, status.code());
                continue;
            }
            if is_starting {
                continue;
            }
            let pid = child.id();
            let sockets = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
            let memory_mb = resident_mb(pid);
            self.record(Event::ResourceSample { node, sockets, memory_mb });
        }
        self.schedule_in(SAMPLE_INTERVAL, Action::SampleProcesses);
    }

    fn node_exited(&mut self, node: usize, code: Option<i32>) {
        self.record(Event::Exited { node, code });
        self.nodes[node].child = None;
        self.nodes[node].phase = Phase::Down;
        let (process, ended) = (self.nodes[node].process, self.now());
        self.schedule_in(ORPHAN_CHECK_DELAY, Action::CheckOrphans { node, process, ended });
        self.schedule_in(self.plan.restart_delay, Action::StartNode { node });
    }

    pub(crate) fn end_processes(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = (child.kill(), child.wait());
            }
            let _ = fs::remove_file(&node.config);
        }
    }

    /// Log files, one for each front node.
    pub(crate) fn logs(&self) -> Vec<PathBuf> {
        self.nodes.iter().map(|node| node.log.clone()).collect()
    }
}

fn resident_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap_or(0) / 1_024
}
