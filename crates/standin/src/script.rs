//! A day as KDL: fleet, terms, load and faults. `docs/operate/rehearsal.md` tells every setting.

use std::collections::BTreeMap;

use salttally_judge::record::{BudgetTerms, ClassTerms, EffectKind, Terms};
use salttally_settings::{Block, Document, Node, Read};

use crate::boxes::Notes;
use crate::fleet::Nature;
use crate::siege;

/// A day.
#[derive(Clone, Debug)]
pub struct Script {
    /// Seed of all draws.
    pub seed: u64,
    /// Length of the day, us.
    pub length: u64,
    /// Viewers that come in it.
    pub sessions: usize,
    /// Number of fronts.
    pub fronts: u32,
    /// Boxes at the start.
    pub boxes: u32,
    /// Zones; box and front number modulo this.
    pub zones: u32,
    /// Racks; cell modulo this.
    pub racks: usize,
    /// Places of a box.
    pub places: usize,
    /// Mean link, kB a second, and how far links differ from it, as a part.
    pub link: (f64, f64),
    /// Uplink of a rack over the sum of its links, and how far racks differ.
    pub uplink: (f64, f64),
    /// Lag of the list, us.
    pub list_lag: u64,
    /// Titles, cells that hold each, and exponent of their popularity.
    pub titles: (usize, u32, f64),
    /// Viewers by class.
    pub viewers: Vec<Viewers>,
    /// What viewers do.
    pub habits: Habits,
    /// What boxes have in common.
    pub nature: Nature,
    /// What boxes tell of their links.
    pub notes: Notes,
    /// The rules.
    pub terms: Terms,
    /// Settings that every front has, as KDL.
    pub front_text: String,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

/// Viewers of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct Viewers {
    /// Class.
    pub class: String,
    /// Part of all viewers.
    pub share: f64,
    /// Mean length of a session, us.
    pub length: f64,
    /// Time before they give up, us.
    pub patience: u64,
    /// Highest rung they can use.
    pub top: usize,
}

/// What viewers do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Habits {
    /// Chance that one comes again after a refusal or a break.
    pub returns: f64,
    /// So long after it, us.
    pub after: u64,
    /// Chance that one gives up before its patience is over.
    pub hasty: f64,
    /// Part of viewers that can use only the lower half of the ladder.
    pub limited: f64,
}

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Processes of a part of the boxes die and come back cold at the end.
    Crash(f64),
    /// A part of the boxes goes silent and comes back cold.
    Vanish(f64),
    /// A part of the boxes is given notice, us, dies after it and comes back cold.
    Preempt(f64, u64),
    /// At a part of the boxes this share of set-ups fails at once.
    Errors(f64, f64),
    /// Load reports are made this much less often, us.
    ReportsLate(u64),
    /// A crowd of so many more viewers, as a part of all, comes for so many titles.
    Crowd(f64, usize),
    /// A zone is lost; silently or not, with its fronts or not.
    ZoneLoss(u32, bool, bool),
    /// A zone is cut off from the others.
    ZoneCut(u32),
    /// A part of the boxes is replaced in batches, a part of the fleet each, with this time to drain, us.
    Deploy(f64, f64, u64),
    /// The list lags this much further behind, us.
    ListStale(u64),
    /// Connections to the list break.
    ListDrop,
    /// So many fronts are killed and come back at the end.
    FrontCrash(u32),
    /// At a part of the boxes the link gives so many times less.
    Slow(f64, f64),
    /// At a part of the boxes the link gives less and less, up to so many times.
    Ageing(f64, f64),
    /// So many besiegers come to each front, of up to three kinds at once.
    Siege(usize, [siege::Kind; 3]),
}

/// A trouble and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Beginning, us of the day.
    pub at: u64,
    /// Length, us.
    pub length: u64,
    /// What.
    pub kind: Kind,
}

fn micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0).round() as u64
}

fn seconds(s: f64) -> u64 {
    micros(s * 1000.0)
}

impl Script {
    /// Reads a script.
    pub fn read(document: &Document) -> Read<Script> {
        let root = document.root();
        let day = root.need("day")?;
        let length = seconds(day.need("seconds")?);
        let (seed, sessions) = (day.or("seed", 1)?, day.need("sessions")?);
        day.done()?;
        let fronts: u32 = root.or("fronts", 1)?;
        let boxes = root.need("boxes")?;
        let terms_node = root.need("terms")?;
        let terms_block = terms_node.children();
        let zones = boxes.or("zones", 1)?;
        let racks: usize = boxes.or("racks", 0)?;
        let link = (boxes.need("link-kb")?, boxes.or("link-spread", 0.0)?);
        let uplink = (boxes.or("uplink-part", 1.0)?, boxes.or("uplink-spread", 0.0)?);
        let places = boxes.need("places")?;
        let rules = terms_block.need("rules")?.children();
        let nature = Nature {
            warm_up: micros(rules.value("warm-up-ms")?),
            cold_from: rules.value("cold-from")?,
            fall_multiple: rules.value("fall-multiple")?,
            fall_window: micros(rules.value("fall-ms")?),
            refuses_from: boxes.or("refuses-from", 0.0)?,
            report_every: micros(boxes.or("report-ms", 300.0)?),
            set_up: micros(boxes.or("set-up-ms", 10.0)?),
        };
        let count: u32 = boxes.argument()?;
        boxes.done()?;
        if fronts == 0 || count == 0 || zones == 0 || zones > fronts {
            return Err(boxes.error("fronts, boxes and zones are 1 at least, and no zone is without a front"));
        }
        let titles = root.need("titles")?;
        let titles_of = (titles.argument()?, titles.need("holders")?, titles.or("zipf", 0.8)?);
        titles.done()?;
        if titles_of.0 == 0 || titles_of.1 == 0 || titles_of.1 > count {
            return Err(
                titles.error("at least one title, on at least one cell and no more than there are boxes")
            );
        }
        let viewers = root.all("viewers").iter().map(viewers).collect::<Read<Vec<_>>>()?;
        if viewers.is_empty() {
            return Err(root.error("at least one `viewers` is needed"));
        }
        let habits = habits(&root)?;
        let leaves = root.one("habits")?.map_or(Ok(0.0), |node| node.or("leaves", 0.0))?;
        let notes = notes(&terms_block, leaves)?;
        let terms = terms(&terms_block, places as u32)?;
        for of in &viewers {
            if !terms.classes.contains_key(&of.class) {
                return Err(
                    root.error(format!("viewers of class `{}`, which the terms do not have", of.class))
                );
            }
        }
        let faults = root.all("fault").iter().map(fault).collect::<Read<Vec<_>>>()?;
        let list_lag = micros(root.or("list-lag-ms", 500.0)?);
        root.done()?;
        Ok(Script {
            seed,
            length,
            sessions,
            fronts,
            boxes: count,
            zones,
            racks,
            places,
            link,
            uplink,
            list_lag,
            titles: titles_of,
            viewers,
            habits,
            nature,
            notes,
            terms,
            front_text: terms_block.text(),
            faults,
        })
    }
}

fn viewers(node: &Node<'_>) -> Read<Viewers> {
    let viewers = Viewers {
        class: node.argument()?,
        share: node.need("share")?,
        length: node.need::<f64>("length-s")? * 1e6,
        patience: micros(node.need("patience-ms")?),
        top: node.or("top", 99)?,
    };
    node.done()?;
    Ok(viewers)
}

fn habits(root: &Block<'_>) -> Read<Habits> {
    let Some(node) = root.one("habits")? else {
        return Ok(Habits { returns: 0.9, after: 600_000, hasty: 0.0, limited: 0.0 });
    };
    let habits = Habits {
        returns: node.or("returns", 0.9)?,
        after: micros(node.or("after-ms", 600.0)?),
        hasty: node.or("hasty", 0.0)?,
        limited: node.or("limited", 0.0)?,
    };
    node.or("leaves", 0.0)?;
    node.done()?;
    Ok(habits)
}

fn notes(terms: &Block<'_>, leaves: f64) -> Read<Notes> {
    let Some(node) = terms.one("notes")? else { return Ok(Notes { every: 0, age: 0, leaves }) };
    Ok(Notes { every: micros(node.need("every-ms")?), age: micros(node.or("age-ms", 0.0)?), leaves })
}

/// The rules, as the judge needs them, from the settings that every front has.
fn terms(block: &Block<'_>, places: u32) -> Read<Terms> {
    let rungs: Vec<f64> = block
        .need("ladder")?
        .children()
        .all("rung")
        .iter()
        .map(|node| node.need("worth"))
        .collect::<Read<_>>()?;
    let class = |node: &Node<'_>| -> Read<(String, ClassTerms)> {
        let effect = match node.or("effect", "safe".to_owned())?.as_str() {
            "once" => EffectKind::Once,
            _ => EffectKind::Safe,
        };
        let class = ClassTerms {
            effect,
            floor: node.or("floor", 0)?,
            top: node.or("top", rungs.len().saturating_sub(1))?,
            seats: node.or("seats", 0)?,
            aim: micros(node.need("aim-ms")?),
            gain: node.or("gain", 1.0)?,
        };
        Ok((node.argument()?, class))
    };
    let classes = block.all("class").iter().map(class).collect::<Read<BTreeMap<_, _>>>()?;
    let rules = block.need("rules")?.children();
    let budget = rules.one("budget")?.map(|node| -> Read<BudgetTerms> {
        let window = micros(node.need("window-ms")?);
        Ok(BudgetTerms { window, free: node.or("free", 0.0)?, share: node.or("share", 0.0)? })
    });
    Ok(Terms {
        classes,
        rungs,
        stall_cost: 7.0,
        answer_slack: micros(rules.or("answer-slack-ms", 40.0)?),
        drain_grace: micros(rules.value("drain-grace-ms")?),
        warm_up: micros(rules.value("warm-up-ms")?),
        cold_from: rules.value("cold-from")?,
        fall_multiple: rules.value("fall-multiple")?,
        fall_window: micros(rules.value("fall-ms")?),
        places,
        attempts: rules.or("attempts", 3)?,
        budget: budget.transpose()?,
        lateness: 50_000,
    })
}

fn fault(node: &Node<'_>) -> Read<Fault> {
    let kind: String = node.argument()?;
    let part = || node.or("part", 0.15);
    let ms = |key: &str, default: f64| -> Read<u64> { Ok(micros(node.or(key, default)?)) };
    let kind = match kind.as_str() {
        "crash" => Kind::Crash(part()?),
        "vanish" => Kind::Vanish(part()?),
        "preempt" => Kind::Preempt(part()?, ms("notice-ms", 1000.0)?),
        "errors" => Kind::Errors(part()?, node.or("share", 0.6)?),
        "reports-late" => Kind::ReportsLate(ms("by-ms", 2000.0)?),
        "crowd" => Kind::Crowd(node.or("share", 0.1)?, node.or("titles", 2)?),
        "zone-loss" => {
            Kind::ZoneLoss(node.or("zone", 0)?, node.or("silent", false)?, node.or("fronts", false)?)
        }
        "zone-cut" => Kind::ZoneCut(node.or("zone", 0)?),
        "deploy" => Kind::Deploy(part()?, node.or("batch", 0.15)?, ms("drain-ms", 2000.0)?),
        "list-stale" => Kind::ListStale(ms("by-ms", 4000.0)?),
        "list-drop" => Kind::ListDrop,
        "front-crash" => Kind::FrontCrash(node.or("fronts", 1)?),
        "slow" => Kind::Slow(part()?, node.or("times", 2.0)?),
        "ageing" => Kind::Ageing(part()?, node.or("times", 2.0)?),
        "siege" => {
            let one = |key: &str, default: &str| {
                let name: String = node.or(key, default.to_owned())?;
                siege::Kind::named(&name).ok_or_else(|| node.error(format!("no siege `{name}`")))
            };
            let first = one("first", "slow-handshake")?;
            let second = one("second", first.name())?;
            Kind::Siege(node.or("peers", 300)?, [first, second, one("third", second.name())?])
        }
        other => {
            let known = "crash, vanish, preempt, errors, reports-late, crowd, zone-loss, zone-cut, deploy, \
                         list-stale, list-drop, front-crash, slow, ageing, siege";
            return Err(node.error(format!("`{other}` is no fault; known: {known}")));
        }
    };
    let fault = Fault { at: seconds(node.need("at-s")?), length: seconds(node.or("for-s", 5.0)?), kind };
    node.done()?;
    Ok(fault)
}
