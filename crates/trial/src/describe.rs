//! Trial descriptions, parsed from KDL.

use std::collections::BTreeMap;

use salttally_accord::core::lease::LeaseTimes;
use salttally_settings::{Block, Document, Node, Read};

use crate::net::Quality;
use crate::Micros;

/// A trial: a fleet of fronts, the network between them and a schedule of faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// Name of the trial.
    pub name: String,
    /// Number of fronts.
    pub fronts: usize,
    /// Number of seed fronts: the first ones by number.
    pub seeds: usize,
    /// Number of observers of each front in membership.
    pub observers: usize,
    /// Duration of the period in which faults occur, us.
    pub duration: Micros,
    /// Duration of the fault-free period after the last fault, us.
    pub quiet_period: Micros,
    /// Time bounds to verify, us: until a crashed front is removed from every view, until all views are equal, and
    /// the longest pause of a process that must not lead to its removal.
    pub time_bounds: [Micros; 3],
    /// Default quality of links.
    pub link: Quality,
    /// Consensus on rule versions; `None` if the trial covers membership only.
    pub consensus: Option<ConsensusOptions>,
    /// Viewers, boxes and replicated session records; `None` if the trial covers only the layers below.
    pub replication: Option<ReplicationOptions>,
    /// Scheduled faults.
    pub faults: Vec<Fault>,
}

/// Viewers, boxes and replication settings of a trial of complete fronts.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationOptions {
    /// Number of voters: the first fronts by number.
    pub voters: usize,
    /// Number of viewers; each opens sessions one after the other.
    pub viewers: usize,
    /// Number of boxes.
    pub boxes: u32,
    /// Number of zones; fronts and boxes are assigned to them round robin.
    pub zones: u32,
    /// Shortest and longest time for which a session is watched, us.
    pub watch_range: (Micros, Micros),
    /// Number of replicas of a session record, and number of acknowledgements that make it durable.
    pub copies: (usize, usize),
    /// Longest time from the end of a session until its place at the box is free, us.
    pub release_bound: Micros,
}

/// Consensus settings of a trial.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsensusOptions {
    /// Number of voters: the first fronts by number.
    pub voters: usize,
    /// Mean interval between proposals, us; each is made at a randomly chosen front.
    pub proposal_interval: Micros,
    /// Interval at which each front takes a decision by the rules that it holds, us.
    pub decision_interval: Micros,
    /// Lease times.
    pub lease_times: LeaseTimes,
}

/// A scheduled fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start, us.
    pub from: Micros,
    /// End, us.
    pub to: Micros,
}

/// Kinds of faults. Fronts are given by number.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Processes are killed; if the flag is set, they are restarted at the end.
    Kill(Vec<usize>, bool),
    /// Processes are killed and their disks wiped; they are restarted at the end with empty disks.
    Lose(Vec<usize>),
    /// Processes are paused, and resumed at the end.
    Stop(Vec<usize>),
    /// Over the whole period, this many randomly chosen processes at a time are paused for this time, us.
    Stops(usize, Micros),
    /// Over the whole period, this many randomly chosen processes at a time are killed and restarted after this
    /// time, us.
    Crashes(usize, Micros),
    /// Processes are killed and restarted one after the other, at this interval, us.
    Rolling(Vec<usize>, Micros),
    /// Links from the first fronts to the second are cut; also in the other direction unless the flag (one-sided)
    /// is set.
    Cut(Vec<usize>, Vec<usize>, bool),
    /// Links from the first fronts to the second have this quality.
    Link(Vec<usize>, Vec<usize>, Quality),
    /// The clocks of these processes are offset, us.
    Clock(Vec<usize>, i64),
}

fn ms_to_us(value: f64) -> Micros {
    (value.clamp(0.0, 1e9) * 1000.0).round() as Micros
}

/// Reads the quality of a link from the properties of a node.
fn read_quality(node: &Node<'_>, default: Quality) -> Read<Quality> {
    let quality = Quality {
        loss: node.or("loss", default.loss)?,
        delay: node.maybe("delay-ms")?.map_or(default.delay, ms_to_us),
        jitter: node.maybe("jitter-ms")?.map_or(default.jitter, ms_to_us),
        duplicate: node.or("duplicate", default.duplicate)?,
        reorder: node.or("reorder", default.reorder)?,
        per_second: node.or("per-second", default.per_second)?,
    };
    for (name, share) in
        [("loss", quality.loss), ("duplicate", quality.duplicate), ("reorder", quality.reorder)]
    {
        if !(0.0..=1.0).contains(&share) {
            return Err(node.error(format!("`{name}` of {share} is no share: 0 to 1")));
        }
    }
    Ok(quality)
}

/// Named groups of fronts.
struct Groups {
    by_name: BTreeMap<String, Vec<usize>>,
    fronts: usize,
}

impl Groups {
    /// Resolves a group name, `all`, a front number or an inclusive range such as `3..5` to front numbers.
    fn resolve(&self, node: &Node<'_>, text: &str) -> Read<Vec<usize>> {
        if text == "all" {
            return Ok((0..self.fronts).collect());
        }
        if let Some(group) = self.by_name.get(text) {
            return Ok(group.clone());
        }
        let range = text.split_once("..").map(|(a, b)| (a.parse::<usize>(), b.parse::<usize>()));
        let fronts = match (range, text.parse::<usize>()) {
            (Some((Ok(first), Ok(last))), _) if first <= last => (first..=last).collect(),
            (None, Ok(one)) => vec![one],
            _ => {
                return Err(
                    node.error(format!("`{text}` is no group, no front number and no range such as 3..5"))
                )
            }
        };
        match fronts.iter().find(|front| **front >= self.fronts) {
            Some(front) => Err(node.error(format!("front {front} of {}", self.fronts))),
            None => Ok(fronts),
        }
    }

    fn require(&self, node: &Node<'_>, key: &str) -> Read<Vec<usize>> {
        self.resolve(node, &node.need::<String>(key)?)
    }
}

impl Trial {
    /// Parses a trial description.
    ///
    /// # Errors
    /// Invalid settings, with file, line and reason.
    pub fn read(document: &Document) -> Read<Trial> {
        let root = document.root();
        let node = root.need("trial")?;
        let block = node.children();
        let trial = read_trial(&node, &block)?;
        block.done()?;
        node.done()?;
        root.done()?;
        Ok(trial)
    }
}

fn read_trial(node: &Node<'_>, block: &Block<'_>) -> Read<Trial> {
    let fronts: usize = block.value("fronts")?;
    if !(1..=1_000).contains(&fronts) {
        return Err(block.need("fronts")?.error("`fronts` lies from 1 to 1000"));
    }
    let mut groups = Groups { by_name: BTreeMap::new(), fronts };
    for group in block.all("group") {
        let name: String = group.argument()?;
        let members = groups.require(&group, "fronts")?;
        group.done()?;
        groups.by_name.insert(name, members);
    }
    let link = match block.one("link")? {
        Some(node) => {
            let link = read_quality(&node, Quality::default())?;
            node.done()?;
            link
        }
        None => Quality::default(),
    };
    let time_bounds = match block.one("stated")? {
        Some(node) => {
            let time_bounds = [
                ms_to_us(node.or("removed-ms", 3_000.0)?),
                ms_to_us(node.or("equal-ms", 10_000.0)?),
                ms_to_us(node.or("stop-borne-ms", 600.0)?),
            ];
            node.done()?;
            time_bounds
        }
        None => [3_000_000, 10_000_000, 600_000],
    };
    let consensus = block.one("versions")?.map(|node| read_consensus(&node, fronts)).transpose()?;
    let replication = block.one("promises")?.map(|node| read_replication(&node, fronts)).transpose()?;
    let duration = ms_to_us(block.value("lasts-ms")?);
    let mut faults = Vec::new();
    for node in block.all("fault") {
        let fault = read_fault(&node, &groups, link, duration)?;
        node.done()?;
        if fault.from > fault.to || fault.to > duration {
            return Err(node.error("a fault ends after it begins, and not after `lasts-ms`"));
        }
        faults.push(fault);
    }
    Ok(Trial {
        name: node.argument()?,
        fronts,
        seeds: block.or("seeds", 3)?.clamp(1, fronts),
        observers: block.or("observers", 8)?,
        duration,
        quiet_period: ms_to_us(block.or("quiet-ms", 15_000.0)?),
        time_bounds,
        link,
        consensus,
        replication,
        faults,
    })
}

fn read_replication(node: &Node<'_>, fronts: usize) -> Read<ReplicationOptions> {
    let replication = ReplicationOptions {
        voters: node.or("voters", 3)?,
        viewers: node.or("viewers", 30)?,
        boxes: node.or("boxes", 6)?,
        zones: node.or("zones", 3u32)?.max(1),
        watch_range: (
            ms_to_us(node.or("watch-from-ms", 5_000.0)?),
            ms_to_us(node.or("watch-to-ms", 40_000.0)?),
        ),
        copies: (node.or("copies", 2)?, node.or("enough", 1)?),
        release_bound: ms_to_us(node.or("freed-ms", 45_000.0)?),
    };
    node.done()?;
    if ![3, 5, 7].contains(&replication.voters) || replication.voters > fronts {
        return Err(node.error("`voters` is 3, 5 or 7, and not more than there are fronts"));
    }
    if replication.boxes == 0
        || replication.watch_range.0 == 0
        || replication.watch_range.1 < replication.watch_range.0
    {
        return Err(node.error("there is a box at least, and `watch-to-ms` is not under `watch-from-ms`"));
    }
    if replication.copies.1 > replication.copies.0 {
        return Err(node.error("`enough` is more than `copies`"));
    }
    Ok(replication)
}

fn read_consensus(node: &Node<'_>, fronts: usize) -> Read<ConsensusOptions> {
    let default = LeaseTimes::default();
    let span =
        |name: &str, default: Micros| -> Read<Micros> { Ok(node.maybe(name)?.map_or(default, ms_to_us)) };
    let consensus = ConsensusOptions {
        voters: node.or("voters", 3)?,
        proposal_interval: span("every-ms", 1_000_000)?,
        decision_interval: span("acts-ms", 100_000)?,
        lease_times: LeaseTimes {
            lease: span("lease-ms", default.lease)?,
            grace: span("alone-ms", default.grace)?,
            renew_interval: span("renew-ms", default.renew_interval)?,
            refuse_without_lease: node.or("refuse", true)?,
            ..default
        },
    };
    node.done()?;
    if ![3, 5, 7].contains(&consensus.voters) || consensus.voters > fronts {
        return Err(node.error("`voters` is 3, 5 or 7, and not more than there are fronts"));
    }
    if consensus.proposal_interval == 0 || consensus.decision_interval == 0 {
        return Err(node.error("`every-ms` and `acts-ms` are at least 1"));
    }
    Ok(consensus)
}

fn read_fault(node: &Node<'_>, groups: &Groups, link: Quality, duration: Micros) -> Read<Fault> {
    let name: String = node.argument()?;
    let from = ms_to_us(node.or("from-ms", 0.0)?);
    let until = node.maybe::<f64>("to-ms")?.map(ms_to_us);
    let span = || -> Read<Micros> { Ok(ms_to_us(node.need("span-ms")?)) };
    let kind = match name.as_str() {
        "kill" => FaultKind::Kill(groups.require(node, "fronts")?, until.is_some()),
        "lose" => FaultKind::Lose(groups.require(node, "fronts")?),
        "stop" => FaultKind::Stop(groups.require(node, "fronts")?),
        "stops" => FaultKind::Stops(node.need("at-once")?, span()?),
        "crashes" => FaultKind::Crashes(node.need("at-once")?, span()?),
        "rolling" => FaultKind::Rolling(groups.require(node, "fronts")?, span()?),
        "cut" => FaultKind::Cut(
            groups.require(node, "from")?,
            groups.require(node, "to")?,
            node.or("one-sided", false)?,
        ),
        "link" => FaultKind::Link(
            groups.require(node, "from")?,
            groups.require(node, "to")?,
            read_quality(node, link)?,
        ),
        "clock" => {
            FaultKind::Clock(groups.require(node, "fronts")?, (node.need::<f64>("offset-s")? * 1e6) as i64)
        }
        unknown => {
            let known = "kill, lose, stop, stops, crashes, rolling, cut, link, clock";
            return Err(node.error(format!("`{unknown}` is no fault; known: {known}")));
        }
    };
    Ok(Fault { kind, from, to: until.unwrap_or(duration) })
}
