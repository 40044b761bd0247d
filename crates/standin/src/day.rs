//! Runs a day: boxes, list, players and faults around fronts that the caller starts.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use salttally_judge::record::{EffectKind, Event};

use crate::attack::{self, Attackers};
use crate::boxes::Boxes;
use crate::fleet::{BoxSpec, Liveness};
use crate::list::{BoxList, ListEntry, ListState};
use crate::log::Log;
use crate::players::{run_player, PlayerContext};
use crate::script::{FaultKind, Script};
use crate::workload::{self, Arrival};

/// Port of boxes, list and fronts; each has its own address.
const LISTEN_PORT: u16 = 7411;
/// Time from the end of a box process to the start of its successor, us.
const RESTART_DELAY_US: u64 = 300_000;

/// Starts and kills fronts.
pub trait FrontController {
    /// Starts the front with this number and these settings.
    fn start(&mut self, number: usize, settings: &str) -> io::Result<()>;
    /// Kills the front.
    fn kill(&mut self, number: usize);
}

/// A block of loopback addresses that no other day on this machine uses.
#[derive(Debug)]
pub struct AddressBlock {
    net: [u8; 2],
    _reservation: TcpListener,
}

impl AddressBlock {
    /// Reserves a free block: 127.x.y.0 and the networks after it. A listener on the first address marks it as taken.
    pub fn reserve() -> io::Result<AddressBlock> {
        let start = std::process::id();
        for offset in 0..4000u32 {
            let number = start.wrapping_mul(7).wrapping_add(offset);
            // Starts at 127.16 to avoid ordinary loopback services; a block spans 16 values of the third octet.
            let net = [16 + (number % 200) as u8, ((number / 200 % 15) * 16) as u8];
            let first = SocketAddr::from(([127, net[0], net[1], 1], LISTEN_PORT));
            if let Ok(reservation) = TcpListener::bind(first) {
                return Ok(AddressBlock { net, _reservation: reservation });
            }
        }
        Err(io::Error::other("no free block of loopback addresses"))
    }

    /// Address with this number; a block has about 3,500.
    pub fn address(&self, number: u32) -> SocketAddr {
        let number = number + 10;
        let [a, b] = self.net;
        let ip = Ipv4Addr::new(127, a, b + (number / 240) as u8, (number % 240) as u8 + 2);
        SocketAddr::new(IpAddr::V4(ip), LISTEN_PORT)
    }
}

/// A day whose simulated peers run and whose fronts are not started yet.
pub struct Day {
    /// The script.
    pub script: Script,
    /// The event log.
    pub log: Log,
    /// The boxes.
    pub boxes: Boxes,
    /// The box list.
    pub list: BoxList,
    specs: BTreeMap<u32, BoxSpec>,
    block: Arc<AddressBlock>,
    settings: Vec<String>,
    attacks: Mutex<BTreeMap<usize, Vec<Attackers>>>,
}

/// Progress of a day, for display.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Time of the day, us.
    pub now: u64,
    /// Viewers that have arrived.
    pub arrived: usize,
    /// Viewers in total.
    pub total: usize,
    /// Players that are active now.
    pub present: u64,
}

impl Day {
    /// Starts boxes and list. If an address of the block is still in use, for instance by sockets of a process that
    /// has just ended, another block is tried, up to five times.
    pub fn start(script: Script) -> io::Result<Day> {
        let mut tried_blocks = Vec::new();
        loop {
            let block = Arc::new(AddressBlock::reserve()?);
            match Day::start_on(script.clone(), Arc::clone(&block)) {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && tried_blocks.len() < 5 => {
                    tried_blocks.push(block)
                }
                done => return done,
            }
        }
    }

    fn start_on(script: Script, block: Arc<AddressBlock>) -> io::Result<Day> {
        let log = Log::default();
        log.write(Event::Terms(script.terms.clone()));
        let (specs, uplinks) = workload::fleet(&script);
        let zones = (0..script.fronts).map(|number| (front_name(number), number % script.zones)).collect();
        let boxes =
            Boxes::new(log.clone(), script.box_model, uplinks.clone(), zones, script.notes, script.seed);
        let list = BoxList::start(log.clone(), block.address(0), script.list_lag)?;
        for spec in &specs {
            let address = block.address(100 + spec.id);
            boxes.add(spec.clone(), address, false)?;
            list.set(list_entry(spec, address, ListState::Ready, None));
        }
        boxes.start_link_monitor()?;
        let specs: BTreeMap<u32, BoxSpec> = specs.into_iter().map(|spec| (spec.id, spec)).collect();
        let links: f64 = specs.values().map(|spec| spec.link_kb).sum();
        let uplink = uplinks.iter().sum::<f64>() / uplinks.len().max(1) as f64;
        let mut day =
            Day { script, log, boxes, list, specs, block, settings: Vec::new(), attacks: Mutex::default() };
        day.settings =
            (0..day.script.fronts).map(|number| day.front_settings(number, links, uplink)).collect();
        Ok(day)
    }

    /// Settings of a front, as KDL.
    pub fn settings(&self, number: usize) -> &str {
        self.settings.get(number).map_or("", String::as_str)
    }

    /// Listening address of a front.
    pub fn front_address(&self, number: u32) -> SocketAddr {
        self.block.address(1 + number)
    }

    fn front_settings(&self, number: u32, links: f64, uplink: f64) -> String {
        let script = &self.script;
        let (zone, seed) = (number % script.zones, script.seed * 100 + u64::from(number));
        let mut text = format!(
            "front \"{}\" seed={seed} {{\n    listen \"{}\"\n    zone {zone}\n    fronts {}\n}}\n",
            front_name(number),
            self.front_address(number),
            script.fronts
        );
        text += &format!("box-list \"{}\"\n", self.list.address());
        let racks = if script.racks == 0 {
            String::new()
        } else {
            format!(" racks={} uplink-kb={uplink:.0}", script.racks)
        };
        text += &format!(
            "fleet cells={}{racks} link-kb={:.0} links-kb={links:.0} refuses-from={:?} {{\n    kind-streams {}\n    \
             reports \"streams\" \"link\"{}\n}}\n",
            script.boxes,
            script.link.0,
            script.box_model.refuses_from,
            script.places,
            if script.racks == 0 { "" } else { " \"uplink\"" },
        );
        for title in 0..script.titles.0 {
            // Titles of neighbouring popularity are placed on distant cells.
            let first = title as u32 * 7 % script.boxes;
            text += &format!(
                "title \"{}\" first-cell={first} cells={}\n",
                workload::title(title),
                script.titles.1
            );
        }
        text + &script.front_text
    }

    /// Runs the day. Starts the fronts, kills and restarts them as faults demand, and leaves it to the caller to end
    /// them.
    pub fn play(
        &self,
        fronts: &mut dyn FrontController,
        mut on_progress: impl FnMut(Progress),
    ) -> io::Result<()> {
        let script = &self.script;
        for number in 0..script.fronts {
            self.log.write(Event::FrontUp { front: front_name(number) });
            fronts.start(number as usize, self.settings(number as usize))?;
        }
        // The clock of the day starts 0.5 s after the fronts have started.
        let start = self.log.now() + 500_000;
        let addresses = (0..script.fronts)
            .map(|number| (front_name(number), number % script.zones, self.front_address(number)));
        let paid = script.terms.classes.iter().filter(|(_, class)| class.effect == EffectKind::Once);
        let context = PlayerContext {
            log: self.log.clone(),
            fronts: Arc::new(addresses.collect()),
            zones: script.zones,
            viewer_behavior: script.viewer_behavior,
            next_open: Arc::new(AtomicU64::new(1)),
            answer_slack: script.terms.answer_slack,
            paid_classes: Arc::new(paid.map(|(name, _)| name.clone()).collect()),
            end: start + script.length,
            active: Arc::new(AtomicU64::new(0)),
        };
        let arrivals = workload::arrivals(script);
        let mut steps = self.fault_steps();
        let (mut arrived, mut next_report) = (0, 0);
        loop {
            let now = self.log.now().saturating_sub(start);
            while let Some(arrival) = arrivals.get(arrived).filter(|arrival| arrival.at <= now) {
                arrived += 1;
                spawn_player(&context, arrival.clone());
            }
            while steps.last().is_some_and(|step| step.at <= now) {
                let Some(step) = steps.pop() else { break };
                self.run_step(step, &mut steps, fronts)?;
            }
            if now >= next_report {
                next_report = now + 1_000_000;
                let present = context.active.load(Ordering::Relaxed);
                on_progress(Progress { now, arrived, total: arrivals.len(), present });
            }
            if now >= script.length + 1_500_000 && context.active.load(Ordering::Relaxed) == 0 {
                return Ok(());
            }
            if now >= script.length + 20_000_000 {
                return Err(io::Error::other("players are still active 20 s after the end of the day"));
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    // ---- Faults ----

    /// Steps of all faults, the latest first.
    fn fault_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (number, fault) in self.script.faults.iter().enumerate() {
            steps.push(Step { at: fault.at, fault: number, action: Action::BeginFault });
            steps.push(Step { at: fault.at + fault.length, fault: number, action: Action::EndFault });
        }
        sort_latest_first(&mut steps);
        steps
    }

    fn available_boxes(&self) -> Vec<u32> {
        let fleet = self.boxes.fleet();
        let up = fleet.boxes.iter().filter(|(_, state)| state.liveness == Liveness::Up && !state.draining);
        up.map(|(id, _)| *id).collect()
    }

    fn boxes_in_zone(&self, zone: u32) -> Vec<u32> {
        let fleet = self.boxes.fleet();
        let running =
            fleet.boxes.iter().filter(|(_, state)| state.spec.zone == zone && state.liveness == Liveness::Up);
        running.map(|(id, _)| *id).collect()
    }

    fn run_step(
        &self,
        step: Step,
        steps: &mut Vec<Step>,
        fronts: &mut dyn FrontController,
    ) -> io::Result<()> {
        let fault = self.script.faults[step.fault];
        let is_begin = matches!(step.action, Action::BeginFault);
        match step.action {
            Action::BeginFault | Action::EndFault => {}
            Action::Restart(ids) => {
                for id in ids {
                    self.restart(id)?;
                }
                return Ok(());
            }
            Action::Drain(ids) => return self.drain(&ids),
            Action::Replace(ids, new) => {
                for (old, new) in ids.into_iter().zip(new) {
                    self.replace(old, new)?;
                }
                return Ok(());
            }
            Action::Remove(ids) => {
                for id in ids {
                    self.boxes.kill(id);
                    self.set_list_state(id, ListState::Gone);
                }
                return Ok(());
            }
            Action::SlowDown(id, factor) => {
                if let Some(state) = self.boxes.fleet().boxes.get_mut(&id) {
                    state.slowdown = factor;
                }
                return Ok(());
            }
        }
        let mut schedule = |at: u64, action: Action| {
            steps.push(Step { at, fault: step.fault, action });
            sort_latest_first(steps);
        };
        let affected =
            |part: f64| workload::affected_boxes(&self.script, step.fault, part, &self.available_boxes());
        let end = fault.at + fault.length;
        match fault.kind {
            FaultKind::Crash(part) if is_begin => {
                let ids = affected(part);
                ids.iter().for_each(|id| self.boxes.kill(*id));
                schedule(end, Action::Restart(ids));
            }
            FaultKind::Vanish(part) if is_begin => {
                let ids = affected(part);
                ids.iter().for_each(|id| self.boxes.silence(*id));
                schedule(end, Action::Restart(ids));
            }
            FaultKind::Preempt(part, notice) if is_begin => {
                let ids = affected(part);
                self.drain(&ids)?;
                schedule(fault.at + notice, Action::Remove(ids.clone()));
                schedule(end.max(fault.at + notice + RESTART_DELAY_US), Action::Restart(ids));
            }
            FaultKind::Errors(part, share) if is_begin => {
                let ids = affected(part);
                let mut fleet = self.boxes.fleet();
                ids.iter().for_each(|id| {
                    fleet.boxes.entry(*id).and_modify(|state| state.error_share = share);
                });
            }
            FaultKind::Errors(..) => {
                self.boxes.fleet().boxes.values_mut().for_each(|state| state.error_share = 0.0);
            }
            FaultKind::ReportsLate(delay) => self.boxes.delay_reports(if is_begin { delay } else { 0 }),
            FaultKind::ZoneLoss(zone, silent, with_fronts) if is_begin => {
                let ids = self.boxes_in_zone(zone);
                for id in &ids {
                    if silent {
                        self.boxes.silence(*id);
                    } else {
                        self.boxes.kill(*id);
                    }
                }
                schedule(end, Action::Restart(ids));
                if with_fronts {
                    self.kill_fronts(fronts, |number| number % self.script.zones == zone);
                }
            }
            FaultKind::ZoneLoss(zone, _, true) => {
                return self.start_fronts(fronts, |number| number % self.script.zones == zone);
            }
            FaultKind::ZoneCut(zone) => self.boxes.cut_zone(is_begin.then_some(zone)),
            FaultKind::Deploy(part, batch, drain) if is_begin => {
                let ids = affected(part);
                let size = ((f64::from(self.script.boxes) * batch).round() as usize).max(1);
                let batches: Vec<Vec<u32>> = ids.chunks(size).map(<[u32]>::to_vec).collect();
                let pause =
                    fault.length.saturating_sub(drain + RESTART_DELAY_US) / (batches.len().max(2) as u64 - 1);
                let mut next = 10_000 * (step.fault as u32 + 1);
                for (index, ids) in batches.into_iter().enumerate() {
                    let at = fault.at + pause * index as u64;
                    let new = (next..).take(ids.len()).collect();
                    next += ids.len() as u32;
                    schedule(at, Action::Drain(ids.clone()));
                    schedule(at + drain, Action::Remove(ids.clone()));
                    schedule(at + drain + RESTART_DELAY_US, Action::Replace(ids, new));
                }
            }
            FaultKind::ListStale(delay) => {
                self.list.set_lag(self.script.list_lag + if is_begin { delay } else { 0 })
            }
            FaultKind::ListDrop if is_begin => self.list.drop_followers(),
            FaultKind::FrontCrash(count) if is_begin => self.kill_fronts(fronts, |number| number < count),
            FaultKind::FrontCrash(count) => return self.start_fronts(fronts, |number| number < count),
            FaultKind::Slow(part, factor) if is_begin => {
                let ids = affected(part);
                let mut fleet = self.boxes.fleet();
                ids.iter().for_each(|id| {
                    fleet.boxes.entry(*id).and_modify(|state| state.slowdown = factor);
                });
            }
            FaultKind::Degrading(part, factor) if is_begin => {
                for id in affected(part) {
                    for part in 1..=10u64 {
                        let slower = 1.0 + (factor - 1.0) * part as f64 / 10.0;
                        schedule(fault.at + fault.length * part / 11, Action::SlowDown(id, slower));
                    }
                }
            }
            FaultKind::Attack(peers, kinds) if is_begin => {
                self.start_attack(step.fault, peers, kinds, end - fault.at)
            }
            FaultKind::Attack(..) => self.stop_attack(step.fault),
            FaultKind::Slow(..) | FaultKind::Degrading(..) => {
                self.boxes.fleet().boxes.values_mut().for_each(|state| state.slowdown = 1.0);
            }
            _ => {}
        }
        Ok(())
    }

    fn drain(&self, ids: &[u32]) -> io::Result<()> {
        for id in ids {
            if let Some(state) = self.boxes.fleet().boxes.get_mut(id) {
                state.draining = true;
            }
            self.set_list_state(*id, ListState::Draining);
        }
        Ok(())
    }

    fn set_list_state(&self, id: u32, state: ListState) {
        if let Some(old) = self.list.entry(id) {
            self.list.set(ListEntry { state, ..old });
        }
    }

    fn restart(&self, id: u32) -> io::Result<()> {
        let address = self.list.entry(id).map_or_else(|| self.block.address(100 + id), |entry| entry.address);
        self.boxes.restart(id, address)?;
        let (started, old) = (Some(self.log.now()), self.list.entry(id));
        if let Some(old) = old {
            self.list.set(ListEntry { started, state: ListState::Ready, ..old });
        }
        Ok(())
    }

    fn replace(&self, old: u32, new: u32) -> io::Result<()> {
        let Some(spec) = self.specs.get(&old).cloned().or_else(|| self.spec_of(old)) else {
            return Ok(());
        };
        let spec = BoxSpec { id: new, ..spec };
        let address = self.block.address(600 + (new / 10_000 - 1) * 300 + new % 10_000);
        let started = Some(self.log.now());
        self.boxes.add(spec.clone(), address, true)?;
        self.list.set(list_entry(&spec, address, ListState::Ready, started));
        Ok(())
    }

    fn spec_of(&self, id: u32) -> Option<BoxSpec> {
        self.boxes.fleet().boxes.get(&id).map(|state| state.spec.clone())
    }

    fn start_attack(&self, fault: usize, peers: usize, kinds: [attack::AttackKind; 3], length: u64) {
        let script = &self.script;
        let plan = |number: u32| attack::AttackPlan {
            kinds: kinds.to_vec(),
            front: self.front_address(number),
            peers,
            sources: 1,
            duration: Duration::from_micros(length),
            lead_time: Duration::ZERO,
            viewers: 0,
            watchers: 0,
            title: workload::title(0),
            class: script.viewers.first().map_or(String::new(), |viewers| viewers.class.clone()),
            seed: script.seed,
        };
        let attackers = (0..script.fronts).map(|number| Attackers::start(&plan(number))).collect();
        self.attacks.lock().unwrap_or_else(PoisonError::into_inner).insert(fault, attackers);
    }

    fn stop_attack(&self, fault: usize) {
        let attackers = self.attacks.lock().unwrap_or_else(PoisonError::into_inner).remove(&fault);
        let ended = attackers.unwrap_or_default().into_iter().map(Attackers::stop);
        let (stood, cut) = ended.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        tracing::info!(stood, cut, "attack stopped");
    }

    fn kill_fronts(&self, fronts: &mut dyn FrontController, selected: impl Fn(u32) -> bool) {
        for number in (0..self.script.fronts).filter(|number| selected(*number)) {
            self.log.write(Event::FrontDown { front: front_name(number) });
            fronts.kill(number as usize);
        }
    }

    fn start_fronts(
        &self,
        fronts: &mut dyn FrontController,
        selected: impl Fn(u32) -> bool,
    ) -> io::Result<()> {
        for number in (0..self.script.fronts).filter(|number| selected(*number)) {
            self.log.write(Event::FrontUp { front: front_name(number) });
            fronts.start(number as usize, self.settings(number as usize))?;
        }
        Ok(())
    }

    /// Stops boxes and list.
    pub fn stop(&self) {
        self.boxes.stop();
        self.list.stop();
    }
}

struct Step {
    at: u64,
    fault: usize,
    action: Action,
}

enum Action {
    BeginFault,
    EndFault,
    Restart(Vec<u32>),
    Drain(Vec<u32>),
    Remove(Vec<u32>),
    Replace(Vec<u32>, Vec<u32>),
    SlowDown(u32, f64),
}

/// Sorts by descending time; steps with the same time keep their order.
fn sort_latest_first(steps: &mut [Step]) {
    steps.sort_by_key(|step| std::cmp::Reverse(step.at));
}

/// Name of a front.
pub fn front_name(number: u32) -> String {
    format!("f{number}")
}

/// The list states the usual size of a box (1.0), not its actual one.
fn list_entry(spec: &BoxSpec, address: SocketAddr, state: ListState, started: Option<u64>) -> ListEntry {
    ListEntry { id: spec.id, address, zone: spec.zone, cell: spec.cell, state, size_units: 1.0, started }
}

fn spawn_player(context: &PlayerContext, arrival: Arrival) {
    let context = context.clone();
    let run = move || run_player(&context, &arrival);
    // If the thread cannot be started, the player does not arrive, and the log has no call of it either.
    let _ = thread::Builder::new().name("player".into()).stack_size(128 * 1024).spawn(run);
}
