//! From KDL nodes to settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use salttally::interface::*;
use salttally_settings::{Block, Node, Read};

use super::{Edges, Settings, Title};
use crate::boxes::core::MeterLimits;
use crate::core::Limits;
use crate::session_api::core::door::DoorLimits;
use crate::session_api::core::gate::GateLimits;
use crate::session_api::core::steps::Pace;
use crate::session_api::core::watch::WatchLimits;

fn micros(ms: f64) -> Micros {
    (ms.clamp(0.0, 1e12) * 1000.0).round() as Micros
}

fn address(node: &Node<'_>) -> Read<SocketAddr> {
    let text: String = node.argument()?;
    text.parse().map_err(|_| node.bad(format!("`{text}` is no address and port, as 127.0.0.1:7001")))
}

pub(super) fn settings(root: &Block<'_>) -> Read<Settings> {
    let front = root.need("front")?;
    let name: String = front.argument()?;
    if name.is_empty() || !name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit()) {
        return Err(front.bad("the name of a front is of small letters and digits"));
    }
    let seed = front.maybe("seed")?;
    front.done()?;
    let inner = front.children();
    let listen = address(&inner.need("listen")?)?;
    let record = inner.one("record")?.map(|node| node.argument::<String>()).transpose()?;
    let (zone, fronts) = (inner.or("zone", 0)?, inner.or("fronts", 1)?);
    inner.done()?;

    let list = root.need("box-list")?;
    let box_list = address(&list)?;
    let remember = list.maybe::<String>("remember")?;
    list.done()?;

    let ladder = ladder(&root.need("ladder")?.children())?;
    let (names, classes): (Vec<String>, Vec<Class>) = root
        .all("class")
        .iter()
        .map(|node| class(node, ladder.len()))
        .collect::<Read<Vec<_>>>()?
        .into_iter()
        .unzip();
    if let Some(twice) = names.iter().enumerate().find(|(at, name)| names[..*at].contains(name)) {
        return Err(root.all("class")[twice.0].bad(format!("class `{}` stands twice", twice.1)));
    }
    let module = module(root, zone, fronts, classes, ladder)?;
    let titles = titles(root, module.cells)?;
    let (limits, edges) = limits(root)?;
    // Who else is there is read and checked by a package of its own.
    root.all("members");
    root.all("copies");
    let accord = !root.all("accord").is_empty();
    root.done()?;
    Ok(Settings {
        name,
        seed,
        listen,
        box_list,
        remember: remember.map(PathBuf::from),
        record: record.map(PathBuf::from),
        module,
        classes: names,
        titles,
        limits,
        edges,
        accord,
    })
}

fn ladder(block: &Block<'_>) -> Read<Vec<Rung>> {
    let rung = |node: &Node<'_>| -> Read<Rung> {
        let rung = Rung { kb: node.need("kb")?, worth: node.need("worth")? };
        node.done()?;
        Ok(rung)
    };
    let rungs = block.all("rung").iter().map(rung).collect::<Read<Vec<_>>>()?;
    block.done()?;
    Ok(rungs)
}

fn class(node: &Node<'_>, rungs: usize) -> Read<(String, Class)> {
    let effect = match node.or("effect", "safe".to_owned())?.as_str() {
        "safe" => Effect::Safe,
        "deduplicated" => Effect::Deduplicated,
        "once" => Effect::Once,
        other => return Err(node.bad(format!("effect `{other}` is none of safe, deduplicated, once"))),
    };
    let group = match node.or("group", "all".to_owned())?.as_str() {
        "all" => Group::All,
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        other => return Err(node.bad(format!("group `{other}` is none of all, zone, cell"))),
    };
    let class = Class {
        aim: micros(node.need("aim-ms")?),
        effect,
        group,
        window: micros(node.or("window-ms", 0.0)?),
        gain: node.or("gain", 1.0)?,
        floor: node.or("floor", 0)?,
        top: node.or("top", rungs.saturating_sub(1))?,
        rate_factor: node.or("rate-factor", 1.0)?,
        seats: node.or("seats", 0)?,
        live: node.or("live", false)?,
    };
    let name = node.argument()?;
    node.done()?;
    Ok((name, class))
}

fn module(
    root: &Block<'_>,
    zone: u32,
    fronts: u32,
    classes: Vec<Class>,
    ladder: Vec<Rung>,
) -> Read<salttally::interface::Settings> {
    let fleet = root.need("fleet")?;
    let cells = fleet.need("cells")?;
    let racks = fleet.or("racks", 0)?;
    let link_kb_per_unit = fleet.need("link-kb")?;
    let links_kb = fleet.need("links-kb")?;
    let uplink_kb = fleet.or("uplink-kb", 0.0)?;
    let refuses_from = fleet.or("refuses-from", 0.0)?;
    let shared_adds = fleet.or("shared-adds", 1.0)?;
    fleet.done()?;
    let inside = fleet.children();
    let kind_streams = match inside.one("kind-streams")? {
        None => Vec::new(),
        Some(node) => node.arguments()?,
    };
    let reports = match inside.one("reports")? {
        None => Vec::new(),
        Some(node) => {
            let field = |name: String| match name.as_str() {
                "streams" => Ok(ReportField::Streams),
                "link-capped" => Ok(ReportField::LinkCapped),
                "link" => Ok(ReportField::Link),
                "uplink" => Ok(ReportField::Uplink),
                other => Err(node.bad(format!("`{other}` is none of streams, link, link-capped, uplink"))),
            };
            node.arguments::<String>()?.into_iter().map(field).collect::<Read<Vec<_>>>()?
        }
    };
    inside.done()?;

    let rules = root.need("rules")?.children();
    if let Some(copies) = rules.one("second-copies")? {
        return Err(copies.bad("second copies would be two attempts out at once (rule 2)"));
    }
    let budget = rules.one("budget")?;
    let budget = budget.map(|node| -> Read<Budget> {
        let window = micros(node.need("window-ms")?);
        let budget = Budget { window, free: node.or("free", 0.0)?, share: node.or("share", 0.0)? };
        node.done()?;
        Ok(budget)
    });
    let settings = salttally::interface::Settings {
        fronts,
        zone,
        classes,
        ladder,
        cells,
        racks,
        link_kb_per_unit,
        links_kb,
        uplink_kb,
        kind_streams,
        refuses_from,
        note_interval: 0,
        note_age: 0,
        shared_adds,
        change_cost_s: 0.0,
        reports,
        max_attempts: rules.or("attempts", 3)?,
        probes: false,
        probe_price: 0.0,
        max_hold_off: micros(rules.or("hold-off-ms", 1000.0)?),
        drain_grace: micros(rules.value("drain-grace-ms")?),
        warm_up: micros(rules.value("warm-up-ms")?),
        cold_from: rules.value("cold-from")?,
        fall_multiple: rules.value("fall-multiple")?,
        fall_window: micros(rules.value("fall-ms")?),
        // The front asks for the list at the module's word: at its start, and again when it was lost.
        list_on_demand: true,
        ask_within: 0,
        budget: budget.transpose()?,
        move_price: 0.0,
        cross_price: 0.0,
    };
    rules.or("answer-slack-ms", 0.0)?;
    rules.done()?;
    prices_and_notes(root, settings)
}

fn prices_and_notes(
    root: &Block<'_>,
    mut settings: salttally::interface::Settings,
) -> Read<salttally::interface::Settings> {
    if let Some(notes) = root.one("notes")? {
        settings.note_interval = micros(notes.need("every-ms")?);
        settings.note_age = micros(notes.or("age-ms", 0.0)?);
        notes.done()?;
    }
    if let Some(prices) = root.one("prices")? {
        settings.move_price = prices.or("move", 0.0)?;
        settings.cross_price = prices.or("cross", 0.0)?;
        settings.change_cost_s = prices.or("rung-change-s", 0.0)?;
        if let Some(price) = prices.maybe("probe")? {
            (settings.probes, settings.probe_price) = (true, price);
        }
        prices.done()?;
    }
    Ok(settings)
}

fn titles(root: &Block<'_>, cells: u32) -> Read<BTreeMap<String, Title>> {
    let mut titles = BTreeMap::new();
    for (at, node) in root.all("title").iter().enumerate() {
        let name: String = node.argument()?;
        let title = Title {
            id: TitleId(at as u64 + 1),
            first_cell: node.need("first-cell")?,
            cells: node.need("cells")?,
        };
        node.done()?;
        if title.first_cell >= cells || title.cells == 0 || title.cells > cells {
            return Err(
                node.bad(format!("title `{name}` lies outside the fleet's {cells} cells, or on none"))
            );
        }
        if titles.insert(name.clone(), title).is_some() {
            return Err(node.bad(format!("title `{name}` stands twice")));
        }
    }
    Ok(titles)
}

fn limits(root: &Block<'_>) -> Read<(Limits, Edges)> {
    let rules = root.need("rules")?.children();
    let answer_slack = micros(rules.or("answer-slack-ms", 40.0)?);
    let node = root.one("limits")?;
    let empty = salttally_settings::Document::parse("defaults", "")?;
    let block = node.as_ref().map_or_else(|| empty.root(), Node::children);
    let ms = |name: &str, default: f64| -> Read<Micros> { Ok(micros(block.or(name, default)?)) };
    let time =
        |name: &str, default: u64| -> Read<Duration> { Ok(Duration::from_millis(block.or(name, default)?)) };
    let limits = Limits {
        answer_slack,
        silent_after: ms("silent-after-ms", 2_000.0)?,
        lost_after: ms("lost-after-ms", 3_000.0)?,
        claim_within: ms("claim-within-ms", 5_000.0)?,
        silent_kept: ms("silent-kept-ms", 15_000.0)?,
        adopted_kept: ms("adopted-kept-ms", 30_000.0)?,
        per_connection: block.or("sessions-per-connection", 20_000)?,
        per_viewer: block.or("sessions-per-viewer", 64)?,
        moved_kept: ms("moved-kept-ms", 30_000.0)?,
        ask_within: ms("ask-within-ms", 1_000.0)?,
        idle_kept: ms("idle-kept-ms", 10_000.0)?,
        clock_skew: ms("clock-skew-ms", 20.0)?,
        connections: block.or("connections-per-box", 256)?,
    };
    let pace = |name: &str, within: f64| -> Read<Pace> {
        Ok(Pace {
            within: ms(name, within)?,
            grace: ms("slow-grace-ms", 3_000.0)?,
            least: block.or("least-bytes-per-s", 512)?,
        })
    };
    let handshake = pace("handshake-ms", 5_000.0)?;
    let stated = block.one("players")?.map(|node| node.argument()).transpose()?;
    let edges = Edges {
        connect: time("connect-ms", 250)?,
        door: DoorLimits {
            players: stated.unwrap_or(12_000),
            reserve: block.or("reserve", 500)?,
            shaking: block.or("handshakes", 1_000)?,
            per_address: block.or("per-address", 0)?,
            prefix: (block.or("prefix-v4", 32)?, block.or("prefix-v6", 64)?),
            pace: handshake,
        },
        watch: WatchLimits {
            handshake,
            message: pace("message-ms", 10_000.0)?,
            ping_every: ms("ping-every-ms", 20_000.0)?,
            pong_within: ms("pong-within-ms", 5_000.0)?,
            pings: block.or("pings-missed", 3)?,
            controls_per_s: block.or("controls-per-s", 2)?,
            controls_at_once: block.or("controls-at-once", 16)?,
            return_within: ms("return-within-ms", 3_000.0)?,
        },
        keep_alive: time("keep-alive-ms", 30_000)?,
        players_stated: stated.is_some(),
        to_boxes: block.or("connections-to-boxes", 2_048)?,
        meter: MeterLimits {
            per_s: block.or("box-events-per-s", 4_000)?,
            at_once: block.or("box-events-at-once", 40_000)?,
            event_within: ms("box-event-ms", 10_000.0)?,
        },
        message: block.or("message-bytes", 16_384)?,
        backlog: block.or("backlog-bytes", 262_144)?,
        stalled: time("stalled-ms", 10_000)?,
        patience_ms: (block.or("patience-least-ms", 100)?, block.or("patience-most-ms", 60_000)?),
        gate: GateLimits {
            calls_per_s: block.or("calls-per-s", 1_000)?,
            calls_at_once: block.or("calls-at-once", 2_000)?,
            surplus: block.or("calls-surplus", 1_000)?,
            all_per_s: block.or("calls-per-s-all", 5_000)?,
        },
        calls_over: block.or("calls-over", 512)?,
        opens: block.or("opens-per-player", 64)?,
    };
    block.done()?;
    Ok((limits, edges))
}
