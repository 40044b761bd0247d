//! Reads settings from KDL nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use salttally::interface::*;
use salttally::platform_settings::duration_from_ms;
use salttally_settings::{Block, Node, Read};

use super::{IoLimits, Settings, Title};
use crate::boxes::core::MeterLimits;
use crate::core::Limits;
use crate::session_api::core::admission::AdmissionLimits;
use crate::session_api::core::pace::Pace;
use crate::session_api::core::rate_limit::RateLimits;
use crate::session_api::core::watchdog::WatchdogLimits;

fn parse_address(node: &Node<'_>) -> Read<SocketAddr> {
    let text: String = node.argument()?;
    text.parse().map_err(|_| node.error(format!("`{text}` is no address and port, as 127.0.0.1:7001")))
}

pub(super) fn read_settings(root: &Block<'_>) -> Read<Settings> {
    let front = root.need("front")?;
    let name: String = front.argument()?;
    if name.is_empty() || !name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit()) {
        return Err(front.error("the name of a front consists of lowercase letters and digits"));
    }
    let seed = front.maybe("seed")?;
    front.done()?;
    let front_children = front.children();
    let listen = parse_address(&front_children.need("listen")?)?;
    let record = front_children.one("record")?.map(|node| node.argument::<String>()).transpose()?;
    let (zone, fronts) = (front_children.or("zone", 0)?, front_children.or("fronts", 1)?);
    front_children.done()?;

    let list_node = root.need("box-list")?;
    let box_list = parse_address(&list_node)?;
    let saved_list = list_node.maybe::<String>("remember")?;
    list_node.done()?;

    let ladder = read_ladder(&root.need("ladder")?.children())?;
    let (names, classes): (Vec<String>, Vec<Class>) = root
        .all("class")
        .iter()
        .map(|node| read_class(node, ladder.len()))
        .collect::<Read<Vec<_>>>()?
        .into_iter()
        .unzip();
    if let Some((index, duplicate)) =
        names.iter().enumerate().find(|(index, name)| names[..*index].contains(name))
    {
        return Err(root.all("class")[index].error(format!("class `{duplicate}` stands twice")));
    }
    let decision = read_decision_settings(root, zone, fronts, classes, ladder)?;
    let titles = read_titles(root, decision.cells)?;
    let (limits, io) = read_limits(root)?;
    // These blocks are read and checked by packages of their own.
    root.all("members");
    root.all("copies");
    let accord = !root.all("accord").is_empty();
    root.done()?;
    Ok(Settings {
        name,
        seed,
        listen,
        box_list,
        saved_list: saved_list.map(PathBuf::from),
        record: record.map(PathBuf::from),
        decision,
        classes: names,
        titles,
        limits,
        io,
        accord,
    })
}

fn read_ladder(block: &Block<'_>) -> Read<Vec<Rung>> {
    let rung = |node: &Node<'_>| -> Read<Rung> {
        let rung = Rung { kb: node.need("kb")?, worth: node.need("worth")? };
        node.done()?;
        Ok(rung)
    };
    let rungs = block.all("rung").iter().map(rung).collect::<Read<Vec<_>>>()?;
    block.done()?;
    Ok(rungs)
}

fn read_class(node: &Node<'_>, rungs: usize) -> Read<(String, Class)> {
    let effect = match node.or("effect", "safe".to_owned())?.as_str() {
        "safe" => Effect::Safe,
        "deduplicated" => Effect::Deduplicated,
        "once" => Effect::Once,
        other => return Err(node.error(format!("effect `{other}` is none of safe, deduplicated, once"))),
    };
    let group = match node.or("group", "all".to_owned())?.as_str() {
        "all" => Group::All,
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        other => return Err(node.error(format!("group `{other}` is none of all, zone, cell"))),
    };
    let class = Class {
        aim: duration_from_ms(node.need("aim-ms")?),
        effect,
        group,
        window: duration_from_ms(node.or("window-ms", 0.0)?),
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

fn read_decision_settings(
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
    let fleet_children = fleet.children();
    let kind_streams = match fleet_children.one("kind-streams")? {
        None => Vec::new(),
        Some(node) => node.arguments()?,
    };
    let reports = match fleet_children.one("reports")? {
        None => Vec::new(),
        Some(node) => {
            let field = |name: String| match name.as_str() {
                "streams" => Ok(ReportField::Streams),
                "link-capped" => Ok(ReportField::LinkCapped),
                "link" => Ok(ReportField::Link),
                "uplink" => Ok(ReportField::Uplink),
                other => Err(node.error(format!("`{other}` is none of streams, link, link-capped, uplink"))),
            };
            node.arguments::<String>()?.into_iter().map(field).collect::<Read<Vec<_>>>()?
        }
    };
    fleet_children.done()?;

    let rules = root.need("rules")?.children();
    if let Some(copies) = rules.one("second-copies")? {
        return Err(copies.error("second copies would be two attempts out at once (rule 2)"));
    }
    let budget = rules.one("budget")?;
    let budget = budget.map(|node| -> Read<Budget> {
        let window = duration_from_ms(node.need("window-ms")?);
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
        max_hold_off: duration_from_ms(rules.or("hold-off-ms", 1000.0)?),
        drain_grace: duration_from_ms(rules.value("drain-grace-ms")?),
        warm_up: duration_from_ms(rules.value("warm-up-ms")?),
        cold_from: rules.value("cold-from")?,
        fall_multiple: rules.value("fall-multiple")?,
        fall_window: duration_from_ms(rules.value("fall-ms")?),
        // The front requests the list when the decision module asks for it: at the start, and after a loss.
        list_on_demand: true,
        ask_within: 0,
        budget: budget.transpose()?,
        move_price: 0.0,
        cross_price: 0.0,
    };
    rules.or("answer-slack-ms", 0.0)?;
    rules.done()?;
    read_prices_and_notes(root, settings)
}

fn read_prices_and_notes(
    root: &Block<'_>,
    mut settings: salttally::interface::Settings,
) -> Read<salttally::interface::Settings> {
    if let Some(notes) = root.one("notes")? {
        settings.note_interval = duration_from_ms(notes.need("every-ms")?);
        settings.note_age = duration_from_ms(notes.or("age-ms", 0.0)?);
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

fn read_titles(root: &Block<'_>, cells: u32) -> Read<BTreeMap<String, Title>> {
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
                node.error(format!("title `{name}` lies outside the fleet's {cells} cells, or on none"))
            );
        }
        if titles.insert(name.clone(), title).is_some() {
            return Err(node.error(format!("title `{name}` stands twice")));
        }
    }
    Ok(titles)
}

fn read_limits(root: &Block<'_>) -> Read<(Limits, IoLimits)> {
    let rules = root.need("rules")?.children();
    let answer_slack = duration_from_ms(rules.or("answer-slack-ms", 40.0)?);
    let node = root.one("limits")?;
    let empty = salttally_settings::Document::parse("defaults", "")?;
    let block = node.as_ref().map_or_else(|| empty.root(), Node::children);
    let ms = |name: &str, default: f64| -> Read<Micros> { Ok(duration_from_ms(block.or(name, default)?)) };
    let time =
        |name: &str, default: u64| -> Read<Duration> { Ok(Duration::from_millis(block.or(name, default)?)) };
    let limits = Limits {
        answer_slack,
        silence_timeout: ms("silent-after-ms", 2_000.0)?,
        lost_timeout: ms("lost-after-ms", 3_000.0)?,
        claim_timeout: ms("claim-within-ms", 5_000.0)?,
        lost_client_retention: ms("silent-kept-ms", 15_000.0)?,
        takeover_retention: ms("adopted-kept-ms", 30_000.0)?,
        sessions_per_connection: block.or("sessions-per-connection", 20_000)?,
        sessions_per_viewer: block.or("sessions-per-viewer", 64)?,
        moved_retention: ms("moved-kept-ms", 30_000.0)?,
        request_timeout: ms("ask-within-ms", 1_000.0)?,
        idle_timeout: ms("idle-kept-ms", 10_000.0)?,
        clock_skew: ms("clock-skew-ms", 20.0)?,
        connections_per_box: block.or("connections-per-box", 256)?,
    };
    let pace = |name: &str, within: f64| -> Read<Pace> {
        Ok(Pace {
            timeout: ms(name, within)?,
            grace: ms("slow-grace-ms", 3_000.0)?,
            min_bytes_per_s: block.or("least-bytes-per-s", 512)?,
        })
    };
    let handshake = pace("handshake-ms", 5_000.0)?;
    let configured_players = block.one("players")?.map(|node| node.argument()).transpose()?;
    let io = IoLimits {
        connect_timeout: time("connect-ms", 250)?,
        admission: AdmissionLimits {
            players: configured_players.unwrap_or(12_000),
            reserve: block.or("reserve", 500)?,
            handshakes: block.or("handshakes", 1_000)?,
            per_address: block.or("per-address", 0)?,
            prefix_bits: (block.or("prefix-v4", 32)?, block.or("prefix-v6", 64)?),
            pace: handshake,
        },
        watchdog: WatchdogLimits {
            handshake,
            message: pace("message-ms", 10_000.0)?,
            ping_interval: ms("ping-every-ms", 20_000.0)?,
            pong_timeout: ms("pong-within-ms", 5_000.0)?,
            max_missed_pings: block.or("pings-missed", 3)?,
            control_frames_per_s: block.or("controls-per-s", 2)?,
            control_frame_burst: block.or("controls-at-once", 16)?,
            return_timeout: ms("return-within-ms", 3_000.0)?,
        },
        tcp_keep_alive: time("keep-alive-ms", 30_000)?,
        players_configured: configured_players.is_some(),
        max_box_connections: block.or("connections-to-boxes", 2_048)?,
        event_meter: MeterLimits {
            weight_per_s: block.or("box-events-per-s", 4_000)?,
            burst: block.or("box-events-at-once", 40_000)?,
            event_timeout: ms("box-event-ms", 10_000.0)?,
        },
        max_message_bytes: block.or("message-bytes", 16_384)?,
        max_backlog_bytes: block.or("backlog-bytes", 262_144)?,
        stall_timeout: time("stalled-ms", 10_000)?,
        patience_ms: (block.or("patience-least-ms", 100)?, block.or("patience-most-ms", 60_000)?),
        call_rate: RateLimits {
            calls_per_s: block.or("calls-per-s", 1_000)?,
            burst: block.or("calls-at-once", 2_000)?,
            max_excess: block.or("calls-surplus", 1_000)?,
            total_calls_per_s: block.or("calls-per-s-all", 5_000)?,
        },
        max_deferred_calls: block.or("calls-over", 512)?,
        max_pending_opens: block.or("opens-per-player", 64)?,
    };
    block.done()?;
    Ok((limits, io))
}
