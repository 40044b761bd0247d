//! The description of a trial, read from KDL.

use std::collections::BTreeMap;

use salttally_accord::core::lease::LeaseTimes;
use salttally_settings::{Block, Document, Node, Read};

use crate::net::Quality;
use crate::Micros;

/// A trial.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// Its name.
    pub name: String,
    /// Number of fronts.
    pub fronts: usize,
    /// The first so many are seeds.
    pub seeds: usize,
    /// Observers of each front.
    pub observers: usize,
    /// How long faults may last, us.
    pub lasts: Micros,
    /// How long it goes on after the last fault, us.
    pub quiet: Micros,
    /// Stated times: until a crash has left every view, until views are equal, stops that are borne; us.
    pub stated: [Micros; 3],
    /// What links are like when nothing else is said.
    pub link: Quality,
    /// Versions that the fronts are to agree on; nothing where only membership is tried.
    pub versions: Option<Versions>,
    /// Sessions whose promises are copied; nothing where only what is below them is tried.
    pub promises: Option<Promises>,
    /// Faults.
    pub faults: Vec<Fault>,
}

/// Viewers, boxes and copies of a trial of whole fronts.
#[derive(Clone, Debug, PartialEq)]
pub struct Promises {
    /// The first so many fronts vote.
    pub voters: usize,
    /// Viewers, each of whom watches again and again.
    pub viewers: usize,
    /// Boxes.
    pub boxes: u32,
    /// Zones, in which fronts and boxes stand by turns.
    pub zones: u32,
    /// A session is watched from so long to so long, us.
    pub watch: (Micros, Micros),
    /// Fronts that hold a copy, and how many make a promise count.
    pub copies: (usize, usize),
    /// A place at a box is free so long after its session's end at most, us.
    pub freed: Micros,
}

/// What is proposed in a trial, and by whom it is agreed on.
#[derive(Clone, Debug, PartialEq)]
pub struct Versions {
    /// The first so many fronts vote.
    pub voters: usize,
    /// A front drawn anew is given a proposal this often, us.
    pub every: Micros,
    /// Each front acts this often, us.
    pub acts: Micros,
    /// Times of the leases.
    pub times: LeaseTimes,
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What it is.
    pub kind: Kind,
    /// From when, us.
    pub from: Micros,
    /// Until when, us.
    pub to: Micros,
}

/// Kinds of faults.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Processes are killed, and started again at the end if there is one.
    Kill(Vec<usize>, bool),
    /// Processes are killed with their disks, and started again at the end with empty ones.
    Lose(Vec<usize>),
    /// Processes are stopped, and go on at the end.
    Stop(Vec<usize>),
    /// So many processes at a time, drawn anew, are stopped for this long, all through.
    Stops(usize, Micros),
    /// So many processes at a time, drawn anew, are killed and started again after this long, all through.
    Crashes(usize, Micros),
    /// Processes are killed and started again one after the other, this far apart.
    Rolling(Vec<usize>, Micros),
    /// Nothing goes from these to those, nor back unless it is one-sided.
    Cut(Vec<usize>, Vec<usize>, bool),
    /// What goes from these to those is like this.
    Link(Vec<usize>, Vec<usize>, Quality),
    /// The clocks of these processes are off by so many us.
    Clock(Vec<usize>, i64),
}

fn ms(value: f64) -> Micros {
    (value.clamp(0.0, 1e9) * 1000.0).round() as Micros
}

/// What a link is like, from the properties of a node.
fn quality(node: &Node<'_>, usual: Quality) -> Read<Quality> {
    let quality = Quality {
        loss: node.or("loss", usual.loss)?,
        delay: node.maybe("delay-ms")?.map_or(usual.delay, ms),
        jitter: node.maybe("jitter-ms")?.map_or(usual.jitter, ms),
        duplicate: node.or("duplicate", usual.duplicate)?,
        reorder: node.or("reorder", usual.reorder)?,
        per_second: node.or("per-second", usual.per_second)?,
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

struct Groups {
    named: BTreeMap<String, Vec<usize>>,
    fronts: usize,
}

impl Groups {
    /// Fronts by a group's name, `all`, one number or a range as `3..5`.
    fn of(&self, node: &Node<'_>, text: &str) -> Read<Vec<usize>> {
        if text == "all" {
            return Ok((0..self.fronts).collect());
        }
        if let Some(group) = self.named.get(text) {
            return Ok(group.clone());
        }
        let range = text.split_once("..").map(|(a, b)| (a.parse::<usize>(), b.parse::<usize>()));
        let fronts = match (range, text.parse::<usize>()) {
            (Some((Ok(first), Ok(last))), _) if first <= last => (first..=last).collect(),
            (None, Ok(one)) => vec![one],
            _ => return Err(node.error(format!("`{text}` is no group, no front and no range as 3..5"))),
        };
        match fronts.iter().find(|front| **front >= self.fronts) {
            Some(front) => Err(node.error(format!("front {front} of {}", self.fronts))),
            None => Ok(fronts),
        }
    }

    fn need(&self, node: &Node<'_>, key: &str) -> Read<Vec<usize>> {
        self.of(node, &node.need::<String>(key)?)
    }
}

impl Trial {
    /// Reads a description.
    ///
    /// # Errors
    /// What cannot hold, with file, line and reason.
    pub fn read(document: &Document) -> Read<Trial> {
        let root = document.root();
        let node = root.need("trial")?;
        let block = node.children();
        let trial = read(&node, &block)?;
        block.done()?;
        node.done()?;
        root.done()?;
        Ok(trial)
    }
}

fn read(node: &Node<'_>, block: &Block<'_>) -> Read<Trial> {
    let fronts: usize = block.value("fronts")?;
    if !(1..=1_000).contains(&fronts) {
        return Err(block.need("fronts")?.error("`fronts` lies from 1 to 1000"));
    }
    let mut groups = Groups { named: BTreeMap::new(), fronts };
    for group in block.all("group") {
        let name: String = group.argument()?;
        let members = groups.need(&group, "fronts")?;
        group.done()?;
        groups.named.insert(name, members);
    }
    let link = match block.one("link")? {
        Some(node) => {
            let link = quality(&node, Quality::default())?;
            node.done()?;
            link
        }
        None => Quality::default(),
    };
    let stated = match block.one("stated")? {
        Some(node) => {
            let stated = [
                ms(node.or("removed-ms", 3_000.0)?),
                ms(node.or("equal-ms", 10_000.0)?),
                ms(node.or("stop-borne-ms", 600.0)?),
            ];
            node.done()?;
            stated
        }
        None => [3_000_000, 10_000_000, 600_000],
    };
    let versions = block.one("versions")?.map(|node| versions(&node, fronts)).transpose()?;
    let promises = block.one("promises")?.map(|node| promises(&node, fronts)).transpose()?;
    let lasts = ms(block.value("lasts-ms")?);
    let mut faults = Vec::new();
    for node in block.all("fault") {
        let fault = fault(&node, &groups, link, lasts)?;
        node.done()?;
        if fault.from > fault.to || fault.to > lasts {
            return Err(node.error("a fault ends after it begins, and not after `lasts-ms`"));
        }
        faults.push(fault);
    }
    Ok(Trial {
        name: node.argument()?,
        fronts,
        seeds: block.or("seeds", 3)?.clamp(1, fronts),
        observers: block.or("observers", 8)?,
        lasts,
        quiet: ms(block.or("quiet-ms", 15_000.0)?),
        stated,
        link,
        versions,
        promises,
        faults,
    })
}

fn promises(node: &Node<'_>, fronts: usize) -> Read<Promises> {
    let promises = Promises {
        voters: node.or("voters", 3)?,
        viewers: node.or("viewers", 30)?,
        boxes: node.or("boxes", 6)?,
        zones: node.or("zones", 3u32)?.max(1),
        watch: (ms(node.or("watch-from-ms", 5_000.0)?), ms(node.or("watch-to-ms", 40_000.0)?)),
        copies: (node.or("copies", 2)?, node.or("enough", 1)?),
        freed: ms(node.or("freed-ms", 45_000.0)?),
    };
    node.done()?;
    if ![3, 5, 7].contains(&promises.voters) || promises.voters > fronts {
        return Err(node.error("`voters` is 3, 5 or 7, and not more than there are fronts"));
    }
    if promises.boxes == 0 || promises.watch.0 == 0 || promises.watch.1 < promises.watch.0 {
        return Err(node.error("there is a box at least, and `watch-to-ms` is not under `watch-from-ms`"));
    }
    if promises.copies.1 > promises.copies.0 {
        return Err(node.error("`enough` is more than `copies`"));
    }
    Ok(promises)
}

fn versions(node: &Node<'_>, fronts: usize) -> Read<Versions> {
    let usual = LeaseTimes::default();
    let span = |name: &str, usual: Micros| -> Read<Micros> { Ok(node.maybe(name)?.map_or(usual, ms)) };
    let versions = Versions {
        voters: node.or("voters", 3)?,
        every: span("every-ms", 1_000_000)?,
        acts: span("acts-ms", 100_000)?,
        times: LeaseTimes {
            lease: span("lease-ms", usual.lease)?,
            grace: span("alone-ms", usual.grace)?,
            renew_interval: span("renew-ms", usual.renew_interval)?,
            refuse_without_lease: node.or("refuse", true)?,
            ..usual
        },
    };
    node.done()?;
    if ![3, 5, 7].contains(&versions.voters) || versions.voters > fronts {
        return Err(node.error("`voters` is 3, 5 or 7, and not more than there are fronts"));
    }
    if versions.every == 0 || versions.acts == 0 {
        return Err(node.error("`every-ms` and `acts-ms` are at least 1"));
    }
    Ok(versions)
}

fn fault(node: &Node<'_>, groups: &Groups, link: Quality, lasts: Micros) -> Read<Fault> {
    let what: String = node.argument()?;
    let from = ms(node.or("from-ms", 0.0)?);
    let until = node.maybe::<f64>("to-ms")?.map(ms);
    let span = || -> Read<Micros> { Ok(ms(node.need("span-ms")?)) };
    let kind = match what.as_str() {
        "kill" => Kind::Kill(groups.need(node, "fronts")?, until.is_some()),
        "lose" => Kind::Lose(groups.need(node, "fronts")?),
        "stop" => Kind::Stop(groups.need(node, "fronts")?),
        "stops" => Kind::Stops(node.need("at-once")?, span()?),
        "crashes" => Kind::Crashes(node.need("at-once")?, span()?),
        "rolling" => Kind::Rolling(groups.need(node, "fronts")?, span()?),
        "cut" => {
            Kind::Cut(groups.need(node, "from")?, groups.need(node, "to")?, node.or("one-sided", false)?)
        }
        "link" => Kind::Link(groups.need(node, "from")?, groups.need(node, "to")?, quality(node, link)?),
        "clock" => Kind::Clock(groups.need(node, "fronts")?, (node.need::<f64>("offset-s")? * 1e6) as i64),
        other => {
            let known = "kill, lose, stop, stops, crashes, rolling, cut, link, clock";
            return Err(node.error(format!("`{other}` is no fault; known: {known}")));
        }
    };
    Ok(Fault { kind, from, to: until.unwrap_or(lasts) })
}
