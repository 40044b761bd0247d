//! A day as KDL: fleet, terms, load and faults. `docs/operate/rehearsal.md` describes every setting.

use std::collections::BTreeMap;

use salttally_judge::record::{BudgetTerms, ClassTerms, EffectKind, Terms};
use salttally_settings::{Block, Document, Node, Read};

use crate::attack;
use crate::boxes::NoteSettings;
use crate::fleet::BoxModel;

/// A day.
#[derive(Clone, Debug)]
pub struct Script {
    /// Seed of all random draws.
    pub seed: u64,
    /// Length of the day, us.
    pub length: u64,
    /// Number of viewers that arrive, not counting crowds.
    pub sessions: usize,
    /// Number of fronts.
    pub fronts: u32,
    /// Number of boxes at the start.
    pub boxes: u32,
    /// Number of zones; a box or front belongs to zone (number modulo zones).
    pub zones: u32,
    /// Number of racks; a box belongs to rack (cell modulo racks). 0 disables racks.
    pub racks: usize,
    /// Maximum number of sessions on a box.
    pub places: usize,
    /// Mean link capacity, kB/s, and the largest relative deviation from it.
    pub link: (f64, f64),
    /// Uplink of a rack relative to the sum of its links, and the largest relative deviation.
    pub uplink: (f64, f64),
    /// Lag of the list, us.
    pub list_lag: u64,
    /// Number of titles, number of cells that hold each, and Zipf exponent of their popularity.
    pub titles: (usize, u32, f64),
    /// Viewers by class.
    pub viewers: Vec<ViewerClass>,
    /// Behavior of viewers.
    pub viewer_behavior: ViewerBehavior,
    /// Properties that all boxes share.
    pub box_model: BoxModel,
    /// Notes of boxes about their links.
    pub notes: NoteSettings,
    /// Terms that the judge checks.
    pub terms: Terms,
    /// Settings of all fronts, as KDL.
    pub front_text: String,
    /// Faults.
    pub faults: Vec<Fault>,
}

/// Viewers of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewerClass {
    /// Class.
    pub class: String,
    /// Weight of this class among all viewers.
    pub share: f64,
    /// Mean session length, us.
    pub length: f64,
    /// Patience of the viewers, us.
    pub patience: u64,
    /// Highest rung they can use.
    pub top: usize,
}

/// Behavior of viewers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ViewerBehavior {
    /// Probability that a viewer comes back after a refusal or a broken session.
    pub returns: f64,
    /// Pause before it comes back, us.
    pub pause: u64,
    /// Probability that a viewer gives up before its patience is over.
    pub impatient: f64,
    /// Share of viewers that can use only the lower half of the ladder.
    pub limited: f64,
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The processes of a share of the boxes die and restart cold at the end of the fault.
    Crash(f64),
    /// A share of the boxes becomes unresponsive and restarts cold at the end of the fault.
    Vanish(f64),
    /// A share of the boxes drains for the notice time, us, then dies and restarts cold.
    Preempt(f64, u64),
    /// At a share of the boxes, this share of set-ups fails at once.
    Errors(f64, f64),
    /// The interval of load reports grows by this, us.
    ReportsLate(u64),
    /// Extra viewers, as a share of all viewers, request this many of the least popular titles.
    Crowd(f64, usize),
    /// A zone fails: its number, whether boxes become unresponsive instead of dying, whether its fronts fail too.
    ZoneLoss(u32, bool, bool),
    /// A zone is cut off from the others.
    ZoneCut(u32),
    /// A share of the boxes is replaced in batches, each a share of the fleet, with this time to drain, us.
    Deploy(f64, f64, u64),
    /// The lag of the list grows by this, us.
    ListStale(u64),
    /// Connections to the list are closed.
    ListDrop,
    /// This many fronts are killed and restarted at the end of the fault.
    FrontCrash(u32),
    /// At a share of the boxes, the link capacity is divided by this factor.
    Slow(f64, f64),
    /// At a share of the boxes, the divisor of the link capacity grows up to this factor.
    Degrading(f64, f64),
    /// This many attackers connect to each front, of up to three kinds at once.
    Attack(usize, [attack::AttackKind; 3]),
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Start, us since the day began.
    pub at: u64,
    /// Length, us.
    pub length: u64,
    /// Kind.
    pub kind: FaultKind,
}

fn ms_to_us(ms: f64) -> u64 {
    (ms.max(0.0) * 1000.0).round() as u64
}

fn seconds_to_us(s: f64) -> u64 {
    ms_to_us(s * 1000.0)
}

impl Script {
    /// Reads a script from a KDL document.
    pub fn read(document: &Document) -> Read<Script> {
        let root = document.root();
        let day = root.need("day")?;
        let length = seconds_to_us(day.need("seconds")?);
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
        let box_model = BoxModel {
            warm_up: ms_to_us(rules.value("warm-up-ms")?),
            cold_from: rules.value("cold-from")?,
            fall_multiple: rules.value("fall-multiple")?,
            fall_window: ms_to_us(rules.value("fall-ms")?),
            refuses_from: boxes.or("refuses-from", 0.0)?,
            report_every: ms_to_us(boxes.or("report-ms", 300.0)?),
            set_up_time: ms_to_us(boxes.or("set-up-ms", 10.0)?),
        };
        let count: u32 = boxes.argument()?;
        boxes.done()?;
        if fronts == 0 || count == 0 || zones == 0 || zones > fronts {
            return Err(
                boxes.error("fronts, boxes and zones must be at least 1, and every zone needs a front")
            );
        }
        let titles = root.need("titles")?;
        let title_settings = (titles.argument()?, titles.need("holders")?, titles.or("zipf", 0.8)?);
        titles.done()?;
        if title_settings.0 == 0 || title_settings.1 == 0 || title_settings.1 > count {
            return Err(titles.error(
                "needs at least one title, held by at least 1 cell and by at most as many as there are boxes",
            ));
        }
        let viewers = root.all("viewers").iter().map(viewers).collect::<Read<Vec<_>>>()?;
        if viewers.is_empty() {
            return Err(root.error("at least one `viewers` is needed"));
        }
        let viewer_behavior = viewer_behavior(&root)?;
        let leave_probability = root.one("habits")?.map_or(Ok(0.0), |node| node.or("leaves", 0.0))?;
        let notes = notes(&terms_block, leave_probability)?;
        let terms = terms(&terms_block, places as u32)?;
        for viewer_class in &viewers {
            if !terms.classes.contains_key(&viewer_class.class) {
                return Err(root.error(format!(
                    "viewers have class `{}`, which the terms do not define",
                    viewer_class.class
                )));
            }
        }
        let faults = root.all("fault").iter().map(fault).collect::<Read<Vec<_>>>()?;
        let list_lag = ms_to_us(root.or("list-lag-ms", 500.0)?);
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
            titles: title_settings,
            viewers,
            viewer_behavior,
            box_model,
            notes,
            terms,
            front_text: terms_block.text(),
            faults,
        })
    }
}

fn viewers(node: &Node<'_>) -> Read<ViewerClass> {
    let viewers = ViewerClass {
        class: node.argument()?,
        share: node.need("share")?,
        length: node.need::<f64>("length-s")? * 1e6,
        patience: ms_to_us(node.need("patience-ms")?),
        top: node.or("top", 99)?,
    };
    node.done()?;
    Ok(viewers)
}

fn viewer_behavior(root: &Block<'_>) -> Read<ViewerBehavior> {
    let Some(node) = root.one("habits")? else {
        return Ok(ViewerBehavior { returns: 0.9, pause: 600_000, impatient: 0.0, limited: 0.0 });
    };
    let viewer_behavior = ViewerBehavior {
        returns: node.or("returns", 0.9)?,
        pause: ms_to_us(node.or("after-ms", 600.0)?),
        impatient: node.or("hasty", 0.0)?,
        limited: node.or("limited", 0.0)?,
    };
    node.or("leaves", 0.0)?;
    node.done()?;
    Ok(viewer_behavior)
}

fn notes(terms: &Block<'_>, leave_probability: f64) -> Read<NoteSettings> {
    let Some(node) = terms.one("notes")? else {
        return Ok(NoteSettings { interval: 0, age: 0, leave_probability });
    };
    Ok(NoteSettings {
        interval: ms_to_us(node.need("every-ms")?),
        age: ms_to_us(node.or("age-ms", 0.0)?),
        leave_probability,
    })
}

/// Terms that the judge checks, from the settings of all fronts.
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
            aim: ms_to_us(node.need("aim-ms")?),
            gain: node.or("gain", 1.0)?,
        };
        Ok((node.argument()?, class))
    };
    let classes = block.all("class").iter().map(class).collect::<Read<BTreeMap<_, _>>>()?;
    let rules = block.need("rules")?.children();
    let budget = rules.one("budget")?.map(|node| -> Read<BudgetTerms> {
        let window = ms_to_us(node.need("window-ms")?);
        Ok(BudgetTerms { window, free: node.or("free", 0.0)?, share: node.or("share", 0.0)? })
    });
    Ok(Terms {
        classes,
        rungs,
        stall_cost: 7.0,
        answer_slack: ms_to_us(rules.or("answer-slack-ms", 40.0)?),
        drain_grace: ms_to_us(rules.value("drain-grace-ms")?),
        warm_up: ms_to_us(rules.value("warm-up-ms")?),
        cold_from: rules.value("cold-from")?,
        fall_multiple: rules.value("fall-multiple")?,
        fall_window: ms_to_us(rules.value("fall-ms")?),
        places,
        attempts: rules.or("attempts", 3)?,
        budget: budget.transpose()?,
        lateness: 50_000,
    })
}

fn fault(node: &Node<'_>) -> Read<Fault> {
    let kind: String = node.argument()?;
    let part = || node.or("part", 0.15);
    let ms = |key: &str, default: f64| -> Read<u64> { Ok(ms_to_us(node.or(key, default)?)) };
    let kind = match kind.as_str() {
        "crash" => FaultKind::Crash(part()?),
        "vanish" => FaultKind::Vanish(part()?),
        "preempt" => FaultKind::Preempt(part()?, ms("notice-ms", 1000.0)?),
        "errors" => FaultKind::Errors(part()?, node.or("share", 0.6)?),
        "reports-late" => FaultKind::ReportsLate(ms("by-ms", 2000.0)?),
        "crowd" => FaultKind::Crowd(node.or("share", 0.1)?, node.or("titles", 2)?),
        "zone-loss" => {
            FaultKind::ZoneLoss(node.or("zone", 0)?, node.or("silent", false)?, node.or("fronts", false)?)
        }
        "zone-cut" => FaultKind::ZoneCut(node.or("zone", 0)?),
        "deploy" => FaultKind::Deploy(part()?, node.or("batch", 0.15)?, ms("drain-ms", 2000.0)?),
        "list-stale" => FaultKind::ListStale(ms("by-ms", 4000.0)?),
        "list-drop" => FaultKind::ListDrop,
        "front-crash" => FaultKind::FrontCrash(node.or("fronts", 1)?),
        "slow" => FaultKind::Slow(part()?, node.or("times", 2.0)?),
        "ageing" => FaultKind::Degrading(part()?, node.or("times", 2.0)?),
        "siege" => {
            let attack_kind = |key: &str, default: &str| {
                let name: String = node.or(key, default.to_owned())?;
                attack::AttackKind::from_name(&name)
                    .ok_or_else(|| node.error(format!("unknown siege `{name}`")))
            };
            let first = attack_kind("first", "slow-handshake")?;
            let second = attack_kind("second", first.name())?;
            FaultKind::Attack(node.or("peers", 300)?, [first, second, attack_kind("third", second.name())?])
        }
        other => {
            let known = "crash, vanish, preempt, errors, reports-late, crowd, zone-loss, zone-cut, deploy, \
                         list-stale, list-drop, front-crash, slow, ageing, siege";
            return Err(node.error(format!("`{other}` is not a fault; known: {known}")));
        }
    };
    let fault =
        Fault { at: seconds_to_us(node.need("at-s")?), length: seconds_to_us(node.or("for-s", 5.0)?), kind };
    node.done()?;
    Ok(fault)
}
