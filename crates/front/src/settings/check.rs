//! Settings that would break a rule, or leave it unkept unnoticed, are refused with the reason.

use salttally::interface::{Effect, Group};
use salttally_settings::{Block, Read};

use super::Settings;
use crate::core::process_limits::ProcessLimits;

/// Checks settings against the rules; the error stands at the node that is wrong.
pub(super) fn rules(root: &Block<'_>, settings: &Settings) -> Read<()> {
    let module = &settings.module;
    let ladder = root.need("ladder")?;
    if module.ladder.is_empty() || module.ladder.iter().any(|rung| rung.kb <= 0.0) {
        return Err(ladder.bad("the ladder needs rungs, each with a rate over 0"));
    }
    if module.ladder.windows(2).any(|pair| pair[0].kb >= pair[1].kb || pair[0].worth > pair[1].worth) {
        return Err(
            ladder.bad("rungs stand from the lowest rate to the highest, and no higher one is worth less")
        );
    }
    let nodes = root.all("class");
    if nodes.is_empty() {
        return Err(root.bad("at least one `class` is needed"));
    }
    for (class, node) in module.classes.iter().zip(&nodes) {
        let bad = |reason: &str| Err(node.bad(reason));
        if class.top >= module.ladder.len() {
            return bad("`top` is over the ladder's highest rung");
        }
        if class.floor > class.top {
            return bad("`floor` is over `top`: no rung keeps the terms (rule 5)");
        }
        if class.aim == 0 {
            return bad("`aim-ms` of 0 can never be met");
        }
        let aim_ms = class.aim / 1000;
        if aim_ms > settings.edges.patience_ms.1 {
            return bad("`aim-ms` is longer than any viewer may wait (`patience-most-ms`)");
        }
        if class.effect == Effect::Deduplicated && class.window == 0 {
            return bad("a deduplicated class needs `window-ms`: without it no attempt may follow (rule 2)");
        }
        if class.effect != Effect::Deduplicated && (class.window > 0 || class.group != Group::All) {
            return bad("`window-ms` and `group` belong to deduplicated classes");
        }
        if class.rate_factor <= 0.0 || class.gain < 0.0 {
            return bad("`rate-factor` must be over 0 and `gain` not under it");
        }
        if settings.edges.connect.as_micros() as u64 >= class.aim {
            return bad("a dial (`connect-ms`) may not take as long as the class's whole aim");
        }
    }
    let rules = root.need("rules")?;
    if module.max_attempts == 0 {
        return Err(rules.bad("`attempts` of 0 sets nothing up"));
    }
    if module.max_hold_off == 0 {
        return Err(rules.bad("`hold-off-ms` of 0 sends refused viewers straight back"));
    }
    if !(0.0..=1.0).contains(&module.cold_from) || module.cold_from == 0.0 {
        return Err(rules.bad("`cold-from` is a part of a warm box's pace, over 0 and 1 at most (rule 4)"));
    }
    if module.fall_multiple < 1.0 || module.fall_window == 0 {
        return Err(rules.bad(
            "`fall-multiple` under 1 or `fall-ms` of 0 would have boxes fall at their own pace (rule 4)",
        ));
    }
    if module.budget.is_some_and(|b| b.window == 0 || b.free < 0.0 || b.share < 0.0) {
        return Err(rules.bad("`budget` needs a window over 0, and neither part under 0 (rule 6)"));
    }
    if module.fronts == 0 {
        return Err(root.need("front")?.bad("`fronts` counts this one too: 1 at least"));
    }
    let fleet = root.need("fleet")?;
    if module.cells == 0 || module.link_kb_per_unit <= 0.0 || module.links_kb <= 0.0 {
        return Err(fleet.bad("`cells`, `link-kb` and `links-kb` must be over 0"));
    }
    if module.racks > 0 && module.uplink_kb <= 0.0 {
        return Err(fleet.bad("racks need `uplink-kb`"));
    }
    if !(0.0..=1.0).contains(&module.shared_adds) {
        return Err(fleet.bad("`shared-adds` is a part of a stream, from 0 to 1"));
    }
    if settings.titles.is_empty() {
        return Err(root.bad("at least one `title` is needed"));
    }
    limits(root, settings)
}

/// Checks what the process may have against what the front would take of it.
pub(super) fn room(root: &Block<'_>, settings: &mut Settings, room: &ProcessLimits) -> Read<()> {
    let node = match root.one("limits")? {
        Some(node) => node,
        None => root.need("front")?,
    };
    let edges = &mut settings.edges;
    let door = &mut edges.door;
    if !edges.players_stated {
        // Kept apart, in the proportion of the defaults: those inside, those that shake hands, and the reserve.
        let room = usize::try_from(room.max_players(edges.to_boxes)).unwrap_or(usize::MAX);
        door.shaking = door.shaking.min(room / 8);
        door.players = door.players.min(room - door.shaking);
        door.reserve = door.reserve.min(door.players / 8);
        if door.shaking == 0 || door.players == 0 {
            return Err(node.bad(format!(
                "this process has no room for players beside {} connections to boxes; lower \
                 `connections-to-boxes` or let it open more files",
                edges.to_boxes
            )));
        }
    }
    room.check(door.players + door.shaking, edges.to_boxes).map_err(|error| {
        node.bad(format!(
            "`players` {}, `handshakes` {} and `connections-to-boxes` {}: {error}",
            door.players, door.shaking, edges.to_boxes
        ))
    })
}

fn limits(root: &Block<'_>, settings: &Settings) -> Read<()> {
    let node = match root.one("limits")? {
        Some(node) => node,
        None => root.need("rules")?,
    };
    let (limits, edges) = (&settings.limits, &settings.edges);
    let bad = |reason: &str| Err(node.bad(reason));
    if edges.patience_ms.0 == 0 || edges.patience_ms.0 > edges.patience_ms.1 {
        return bad("`patience-least-ms` must be over 0 and not over `patience-most-ms`");
    }
    if limits.silence_timeout == 0 || limits.lost_timeout == 0 || limits.request_timeout == 0 {
        return bad("`silent-after-ms`, `lost-after-ms` and `ask-within-ms` must be over 0");
    }
    let (gate, door, watch) = (&edges.gate, &edges.door, &edges.watch);
    if limits.connections_per_box == 0 || door.players == 0 || door.shaking == 0 || edges.opens == 0 {
        return bad("`connections-per-box`, `players`, `handshakes` and `opens-per-player` must be over 0");
    }
    if edges.to_boxes < 8 {
        return bad("`connections-to-boxes` must be 8 at least");
    }
    if limits.sessions_per_connection == 0 || limits.sessions_per_viewer == 0 || edges.calls_over == 0 {
        return bad("`sessions-per-connection`, `sessions-per-viewer` and `calls-over` must be over 0");
    }
    if door.reserve >= door.players {
        return bad("`reserve` is a part of `players`: there would be no place for newcomers");
    }
    if door.prefix.0 > 32 || door.prefix.1 > 128 {
        return bad("`prefix-v4` is 32 bits at most and `prefix-v6` 128");
    }
    if watch.handshake.within == 0 || watch.message.within == 0 || watch.message.least == 0 {
        return bad("`handshake-ms`, `message-ms` and `least-bytes-per-s` must be over 0");
    }
    if watch.message.grace == 0 {
        return bad("`slow-grace-ms` of 0 cuts off every player whose message comes in two parts");
    }
    if watch.ping_every < 4 || watch.pong_within == 0 || watch.pings == 0 {
        return bad("`ping-every-ms`, `pong-within-ms` and `pings-missed` must be over 0");
    }
    if watch.controls_per_s == 0 || watch.controls_at_once < 4 {
        return bad("`controls-per-s` must be over 0 and `controls-at-once` 4 at least");
    }
    if watch.return_within == 0 || edges.keep_alive.as_secs() < 1 {
        return bad("`return-within-ms` must be over 0 and `keep-alive-ms` 1000 at least");
    }
    if gate.calls_per_s == 0 || gate.calls_at_once == 0 || gate.all_per_s == 0 {
        return bad("`calls-per-s`, `calls-at-once` and `calls-per-s-all` must be over 0");
    }
    let meter = &edges.meter;
    if meter.per_s == 0 || meter.at_once < 1_000 || meter.event_within == 0 {
        return bad(
            "`box-events-per-s` and `box-event-ms` must be over 0, `box-events-at-once` 1000 at least",
        );
    }
    if edges.message < 256 || edges.backlog < edges.message {
        return bad("`message-bytes` must be 256 at least and `backlog-bytes` not under it");
    }
    if edges.connect.is_zero() || edges.stalled.is_zero() {
        return bad("`connect-ms` and `stalled-ms` must be over 0");
    }
    Ok(())
}
