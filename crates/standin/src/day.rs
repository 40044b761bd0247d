//! Plays a day: boxes, list, players and faults around fronts that somebody else starts.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use salttally_judge::record::{EffectKind, Event};

use crate::boxes::Boxes;
use crate::deal::{self, Arrival};
use crate::fleet::{Build, Life};
use crate::list::{Line, List, State};
use crate::log::Log;
use crate::players::{watch, Stage};
use crate::script::{Kind, Script};
use crate::siege::{self, Besiegers};

/// Port of boxes, list and fronts; each has an address of its own.
const PORT: u16 = 7411;
/// A successor needs so long from the end of its predecessor to its start, us.
const BOOT: u64 = 300_000;

/// Whoever starts and kills fronts.
pub trait Fronts {
    /// Starts the front of this number with these settings.
    fn start(&mut self, number: usize, settings: &str) -> io::Result<()>;
    /// Kills it.
    fn kill(&mut self, number: usize);
}

/// A block of loopback addresses that no other day on this machine uses.
#[derive(Debug)]
pub struct Block {
    net: [u8; 2],
    _held: TcpListener,
}

impl Block {
    /// Takes a free block: 127.x.y.0 with its neighbours, held by its first address.
    pub fn take() -> io::Result<Block> {
        let start = std::process::id();
        for offset in 0..4000u32 {
            let number = start.wrapping_mul(7).wrapping_add(offset);
            // From 127.16 on, so that ordinary loopback services are not met; 16 neighbours a block.
            let net = [16 + (number % 200) as u8, ((number / 200 % 15) * 16) as u8];
            let first = SocketAddr::from(([127, net[0], net[1], 1], PORT));
            if let Ok(held) = TcpListener::bind(first) {
                return Ok(Block { net, _held: held });
            }
        }
        Err(io::Error::other("no free block of loopback addresses"))
    }

    /// Address of this number; 3,500 to a block.
    pub fn address(&self, number: u32) -> SocketAddr {
        let number = number + 10;
        let [a, b] = self.net;
        let ip = Ipv4Addr::new(127, a, b + (number / 240) as u8, (number % 240) as u8 + 2);
        SocketAddr::new(IpAddr::V4(ip), PORT)
    }
}

/// A day with its stand-ins running and its fronts not yet started.
pub struct Day {
    /// The script.
    pub script: Script,
    /// The record.
    pub log: Log,
    /// The boxes.
    pub boxes: Boxes,
    /// The list.
    pub list: List,
    builds: BTreeMap<u32, Build>,
    block: Arc<Block>,
    settings: Vec<String>,
    sieges: Mutex<BTreeMap<usize, Vec<Besiegers>>>,
}

/// How a day goes, for whoever shows it.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Time of the day, us.
    pub now: u64,
    /// Viewers that have come.
    pub come: usize,
    /// Of so many.
    pub of: usize,
    /// Players that are there.
    pub present: u64,
}

impl Day {
    /// Starts boxes and list. Where an address of its block is taken after all, by a process that has just ended and
    /// whose sockets have not, another block is tried.
    pub fn start(script: Script) -> io::Result<Day> {
        let mut held = Vec::new();
        loop {
            let block = Arc::new(Block::take()?);
            match Day::start_on(script.clone(), Arc::clone(&block)) {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && held.len() < 5 => held.push(block),
                done => return done,
            }
        }
    }

    fn start_on(script: Script, block: Arc<Block>) -> io::Result<Day> {
        let log = Log::default();
        log.write(Event::Terms(script.terms.clone()));
        let (builds, uplinks) = deal::fleet(&script);
        let zones = (0..script.fronts).map(|at| (front(at), at % script.zones)).collect();
        let boxes = Boxes::new(log.clone(), script.nature, uplinks.clone(), zones, script.notes, script.seed);
        let list = List::start(log.clone(), block.address(0), script.list_lag)?;
        for build in &builds {
            let address = block.address(100 + build.id);
            boxes.add(build.clone(), address, false)?;
            list.set(line(build, address, State::Ready, None));
        }
        boxes.run()?;
        let builds: BTreeMap<u32, Build> = builds.into_iter().map(|build| (build.id, build)).collect();
        let links: f64 = builds.values().map(|build| build.link_kb).sum();
        let uplink = uplinks.iter().sum::<f64>() / uplinks.len().max(1) as f64;
        let mut day =
            Day { script, log, boxes, list, builds, block, settings: Vec::new(), sieges: Mutex::default() };
        day.settings = (0..day.script.fronts).map(|at| day.front_settings(at, links, uplink)).collect();
        Ok(day)
    }

    /// Settings of a front, as KDL.
    pub fn settings(&self, number: usize) -> &str {
        self.settings.get(number).map_or("", String::as_str)
    }

    /// Where a front listens.
    pub fn front_address(&self, number: u32) -> SocketAddr {
        self.block.address(1 + number)
    }

    fn front_settings(&self, at: u32, links: f64, uplink: f64) -> String {
        let script = &self.script;
        let (zone, seed) = (at % script.zones, script.seed * 100 + u64::from(at));
        let mut text = format!(
            "front \"{}\" seed={seed} {{\n    listen \"{}\"\n    zone {zone}\n    fronts {}\n}}\n",
            front(at),
            self.front_address(at),
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
            script.nature.refuses_from,
            script.places,
            if script.racks == 0 { "" } else { " \"uplink\"" },
        );
        for title in 0..script.titles.0 {
            // Spread over the cells so that neighbours in rank are not neighbours in place.
            let first = title as u32 * 7 % script.boxes;
            text +=
                &format!("title \"{}\" first-cell={first} cells={}\n", deal::title(title), script.titles.1);
        }
        text + &script.front_text
    }

    /// Plays the day. Fronts are started here, killed and started again by faults, and left to be ended by the
    /// caller.
    pub fn play(&self, fronts: &mut dyn Fronts, mut shown: impl FnMut(Progress)) -> io::Result<()> {
        let script = &self.script;
        for at in 0..script.fronts {
            self.log.write(Event::FrontUp { front: front(at) });
            fronts.start(at as usize, self.settings(at as usize))?;
        }
        // The day's own clock begins when the fronts stand.
        let start = self.log.now() + 500_000;
        let addresses = (0..script.fronts).map(|at| (front(at), at % script.zones, self.front_address(at)));
        let paid = script.terms.classes.iter().filter(|(_, class)| class.effect == EffectKind::Once);
        let stage = Stage {
            log: self.log.clone(),
            fronts: Arc::new(addresses.collect()),
            zones: script.zones,
            habits: script.habits,
            opens: Arc::new(AtomicU64::new(1)),
            slack: script.terms.answer_slack,
            paid: Arc::new(paid.map(|(name, _)| name.clone()).collect()),
            end: start + script.length,
            present: Arc::new(AtomicU64::new(0)),
        };
        let arrivals = deal::arrivals(script);
        let mut steps = self.steps();
        let (mut come, mut told) = (0, 0);
        loop {
            let now = self.log.now().saturating_sub(start);
            while let Some(arrival) = arrivals.get(come).filter(|arrival| arrival.at <= now) {
                come += 1;
                spawn(&stage, arrival.clone());
            }
            while steps.last().is_some_and(|step| step.at <= now) {
                let Some(step) = steps.pop() else { break };
                self.step(step, &mut steps, fronts)?;
            }
            if now >= told {
                told = now + 1_000_000;
                let present = stage.present.load(Ordering::Relaxed);
                shown(Progress { now, come, of: arrivals.len(), present });
            }
            if now >= script.length + 1_500_000 && stage.present.load(Ordering::Relaxed) == 0 {
                return Ok(());
            }
            if now >= script.length + 20_000_000 {
                return Err(io::Error::other("players are still there long after the end of the day"));
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    // ---- Faults ----

    /// All steps of all faults, the last first.
    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (number, fault) in self.script.faults.iter().enumerate() {
            steps.push(Step { at: fault.at, number, act: Act::Begin });
            steps.push(Step { at: fault.at + fault.length, number, act: Act::End });
        }
        sort(&mut steps);
        steps
    }

    fn alive(&self) -> Vec<u32> {
        let fleet = self.boxes.fleet();
        let up = fleet.boxes.iter().filter(|(_, state)| state.life == Life::Up && !state.draining);
        up.map(|(id, _)| *id).collect()
    }

    fn in_zone(&self, zone: u32) -> Vec<u32> {
        let fleet = self.boxes.fleet();
        let there =
            fleet.boxes.iter().filter(|(_, state)| state.build.zone == zone && state.life == Life::Up);
        there.map(|(id, _)| *id).collect()
    }

    fn step(&self, step: Step, steps: &mut Vec<Step>, fronts: &mut dyn Fronts) -> io::Result<()> {
        let fault = self.script.faults[step.number];
        let begins = matches!(step.act, Act::Begin);
        match step.act {
            Act::Begin | Act::End => {}
            Act::Restart(ids) => {
                for id in ids {
                    self.restart(id)?;
                }
                return Ok(());
            }
            Act::Drain(ids) => return self.drain(&ids),
            Act::Replace(ids, new) => {
                for (old, new) in ids.into_iter().zip(new) {
                    self.replace(old, new)?;
                }
                return Ok(());
            }
            Act::Leave(ids) => {
                for id in ids {
                    self.boxes.kill(id);
                    self.listed(id, State::Gone);
                }
                return Ok(());
            }
            Act::Slower(id, times) => {
                if let Some(state) = self.boxes.fleet().boxes.get_mut(&id) {
                    state.slower = times;
                }
                return Ok(());
            }
        }
        let mut then = |at: u64, act: Act| {
            steps.push(Step { at, number: step.number, act });
            sort(steps);
        };
        let struck = |part: f64| deal::struck(&self.script, step.number, part, &self.alive());
        let end = fault.at + fault.length;
        match fault.kind {
            Kind::Crash(part) if begins => {
                let ids = struck(part);
                ids.iter().for_each(|id| self.boxes.kill(*id));
                then(end, Act::Restart(ids));
            }
            Kind::Vanish(part) if begins => {
                let ids = struck(part);
                ids.iter().for_each(|id| self.boxes.silence(*id));
                then(end, Act::Restart(ids));
            }
            Kind::Preempt(part, notice) if begins => {
                let ids = struck(part);
                self.drain(&ids)?;
                then(fault.at + notice, Act::Leave(ids.clone()));
                then(end.max(fault.at + notice + BOOT), Act::Restart(ids));
            }
            Kind::Errors(part, share) if begins => {
                let ids = struck(part);
                let mut fleet = self.boxes.fleet();
                ids.iter().for_each(|id| {
                    fleet.boxes.entry(*id).and_modify(|state| state.errors = share);
                });
            }
            Kind::Errors(..) => {
                self.boxes.fleet().boxes.values_mut().for_each(|state| state.errors = 0.0);
            }
            Kind::ReportsLate(by) => self.boxes.report_late(if begins { by } else { 0 }),
            Kind::ZoneLoss(zone, silent, with_fronts) if begins => {
                let ids = self.in_zone(zone);
                for id in &ids {
                    if silent {
                        self.boxes.silence(*id);
                    } else {
                        self.boxes.kill(*id);
                    }
                }
                then(end, Act::Restart(ids));
                if with_fronts {
                    self.fronts_down(fronts, |at| at % self.script.zones == zone);
                }
            }
            Kind::ZoneLoss(zone, _, true) => {
                return self.fronts_up(fronts, |at| at % self.script.zones == zone);
            }
            Kind::ZoneCut(zone) => self.boxes.cut(begins.then_some(zone)),
            Kind::Deploy(part, batch, drain) if begins => {
                let ids = struck(part);
                let size = ((f64::from(self.script.boxes) * batch).round() as usize).max(1);
                let batches: Vec<Vec<u32>> = ids.chunks(size).map(<[u32]>::to_vec).collect();
                let pause = fault.length.saturating_sub(drain + BOOT) / (batches.len().max(2) as u64 - 1);
                let mut next = 10_000 * (step.number as u32 + 1);
                for (place, ids) in batches.into_iter().enumerate() {
                    let at = fault.at + pause * place as u64;
                    let new = (next..).take(ids.len()).collect();
                    next += ids.len() as u32;
                    then(at, Act::Drain(ids.clone()));
                    then(at + drain, Act::Leave(ids.clone()));
                    then(at + drain + BOOT, Act::Replace(ids, new));
                }
            }
            Kind::ListStale(by) => self.list.lag(self.script.list_lag + if begins { by } else { 0 }),
            Kind::ListDrop if begins => self.list.drop_followers(),
            Kind::FrontCrash(count) if begins => self.fronts_down(fronts, |at| at < count),
            Kind::FrontCrash(count) => return self.fronts_up(fronts, |at| at < count),
            Kind::Slow(part, times) if begins => {
                let ids = struck(part);
                let mut fleet = self.boxes.fleet();
                ids.iter().for_each(|id| {
                    fleet.boxes.entry(*id).and_modify(|state| state.slower = times);
                });
            }
            Kind::Ageing(part, times) if begins => {
                for id in struck(part) {
                    for part in 1..=10u64 {
                        let slower = 1.0 + (times - 1.0) * part as f64 / 10.0;
                        then(fault.at + fault.length * part / 11, Act::Slower(id, slower));
                    }
                }
            }
            Kind::Siege(peers, kinds) if begins => self.besiege(step.number, peers, kinds, end - fault.at),
            Kind::Siege(..) => self.call_off(step.number),
            Kind::Slow(..) | Kind::Ageing(..) => {
                self.boxes.fleet().boxes.values_mut().for_each(|state| state.slower = 1.0);
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
            self.listed(*id, State::Draining);
        }
        Ok(())
    }

    fn listed(&self, id: u32, state: State) {
        if let Some(old) = self.list.line(id) {
            self.list.set(Line { state, ..old });
        }
    }

    fn restart(&self, id: u32) -> io::Result<()> {
        let address = self.list.line(id).map_or_else(|| self.block.address(100 + id), |line| line.address);
        self.boxes.restart(id, address)?;
        let (started, old) = (Some(self.log.now()), self.list.line(id));
        if let Some(old) = old {
            self.list.set(Line { started, state: State::Ready, ..old });
        }
        Ok(())
    }

    fn replace(&self, old: u32, new: u32) -> io::Result<()> {
        let Some(build) = self.builds.get(&old).cloned().or_else(|| self.build_of(old)) else {
            return Ok(());
        };
        let build = Build { id: new, ..build };
        let address = self.block.address(600 + (new / 10_000 - 1) * 300 + new % 10_000);
        let started = Some(self.log.now());
        self.boxes.add(build.clone(), address, true)?;
        self.list.set(line(&build, address, State::Ready, started));
        Ok(())
    }

    fn build_of(&self, id: u32) -> Option<Build> {
        self.boxes.fleet().boxes.get(&id).map(|state| state.build.clone())
    }

    fn besiege(&self, number: usize, peers: usize, kinds: [siege::Kind; 3], length: u64) {
        let script = &self.script;
        let plan = |at: u32| siege::Plan {
            kinds: kinds.to_vec(),
            front: self.front_address(at),
            peers,
            sources: 1,
            length: Duration::from_micros(length),
            before: Duration::ZERO,
            viewers: 0,
            watchers: 0,
            title: deal::title(0),
            class: script.viewers.first().map_or(String::new(), |viewers| viewers.class.clone()),
            seed: script.seed,
        };
        let besiegers = (0..script.fronts).map(|at| Besiegers::begin(&plan(at))).collect();
        self.sieges.lock().unwrap_or_else(PoisonError::into_inner).insert(number, besiegers);
    }

    fn call_off(&self, number: usize) {
        let besiegers = self.sieges.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
        let ended = besiegers.unwrap_or_default().into_iter().map(Besiegers::end);
        let (stood, cut) = ended.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        tracing::info!(stood, cut, "a siege is called off");
    }

    fn fronts_down(&self, fronts: &mut dyn Fronts, of: impl Fn(u32) -> bool) {
        for at in (0..self.script.fronts).filter(|at| of(*at)) {
            self.log.write(Event::FrontDown { front: front(at) });
            fronts.kill(at as usize);
        }
    }

    fn fronts_up(&self, fronts: &mut dyn Fronts, of: impl Fn(u32) -> bool) -> io::Result<()> {
        for at in (0..self.script.fronts).filter(|at| of(*at)) {
            self.log.write(Event::FrontUp { front: front(at) });
            fronts.start(at as usize, self.settings(at as usize))?;
        }
        Ok(())
    }

    /// Ends boxes and list.
    pub fn stop(&self) {
        self.boxes.stop();
        self.list.stop();
    }
}

struct Step {
    at: u64,
    number: usize,
    act: Act,
}

enum Act {
    Begin,
    End,
    Restart(Vec<u32>),
    Drain(Vec<u32>),
    Leave(Vec<u32>),
    Replace(Vec<u32>, Vec<u32>),
    Slower(u32, f64),
}

/// The earliest last; steps of one time keep their order.
fn sort(steps: &mut [Step]) {
    steps.sort_by_key(|step| std::cmp::Reverse(step.at));
}

/// Name of a front.
pub fn front(at: u32) -> String {
    format!("f{at}")
}

/// The list knows a box's size only roughly: it tells the usual one.
fn line(build: &Build, address: SocketAddr, state: State, started: Option<u64>) -> Line {
    Line { id: build.id, address, zone: build.zone, cell: build.cell, state, units: 1.0, started }
}

fn spawn(stage: &Stage, arrival: Arrival) {
    let stage = stage.clone();
    let run = move || watch(&stage, &arrival);
    // A player without a thread does not come: then the record has no call of it either.
    let _ = thread::Builder::new().name("player".into()).stack_size(128 * 1024).spawn(run);
}
