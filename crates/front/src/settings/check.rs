//! Checks settings: those that would break a rule, or silently fail to keep it, are refused with the reason.

use salttally::interface::{Effect, Group};
use salttally_settings::{Block, Read};

use super::Settings;
use crate::core::process_limits::ProcessLimits;

/// Checks settings against the rules; an error names the node that is wrong.
pub(super) fn check_rules(root: &Block<'_>, settings: &Settings) -> Read<()> {
    let decision = &settings.decision;
    let ladder = root.need("ladder")?;
    if decision.ladder.is_empty() || decision.ladder.iter().any(|rung| rung.kb <= 0.0) {
        return Err(ladder.error("the ladder needs at least one rung, and each rung a rate over 0"));
    }
    if decision.ladder.windows(2).any(|pair| pair[0].kb >= pair[1].kb || pair[0].worth > pair[1].worth) {
        return Err(ladder.error(
            "rungs must be ordered from the lowest rate to the highest, and worth must not decrease",
        ));
    }
    let nodes = root.all("class");
    if nodes.is_empty() {
        return Err(root.error("at least one `class` is needed"));
    }
    for (class, node) in decision.classes.iter().zip(&nodes) {
        let bad = |reason: &str| Err(node.error(reason));
        if class.top >= decision.ladder.len() {
            return bad("`top` is above the ladder's highest rung");
        }
        if class.floor > class.top {
            return bad("`floor` is above `top`: no rung keeps the terms (rule 5)");
        }
        if class.aim == 0 {
            return bad("`aim-ms` of 0 can never be met");
        }
        let aim_ms = class.aim / 1000;
        if aim_ms > settings.io.patience_ms.1 {
            return bad("`aim-ms` is longer than any viewer may wait (`patience-most-ms`)");
        }
        if class.effect == Effect::Deduplicated && class.window == 0 {
            return bad(
                "a deduplicated class needs `window-ms`: without it no further attempt is allowed (rule 2)",
            );
        }
        if class.effect != Effect::Deduplicated && (class.window > 0 || class.group != Group::All) {
            return bad("`window-ms` and `group` apply only to deduplicated classes");
        }
        if class.rate_factor <= 0.0 || class.gain < 0.0 {
            return bad("`rate-factor` must be over 0 and `gain` not negative");
        }
        if settings.io.connect_timeout.as_micros() as u64 >= class.aim {
            return bad("`connect-ms` must be shorter than the class's whole aim");
        }
    }
    let rules = root.need("rules")?;
    if decision.max_attempts == 0 {
        return Err(rules.error("`attempts` of 0 sets nothing up"));
    }
    if decision.max_hold_off == 0 {
        return Err(rules.error("`hold-off-ms` of 0 sends refused viewers straight back"));
    }
    if !(0.0..=1.0).contains(&decision.cold_from) || decision.cold_from == 0.0 {
        return Err(rules.error("`cold-from` is a share of a warm box's pace, over 0 and at most 1 (rule 4)"));
    }
    if decision.fall_multiple < 1.0 || decision.fall_window == 0 {
        return Err(rules.error(
            "`fall-multiple` under 1 or `fall-ms` of 0 would treat a box at normal pace as fallen (rule 4)",
        ));
    }
    if decision.budget.is_some_and(|b| b.window == 0 || b.free < 0.0 || b.share < 0.0) {
        return Err(rules.error("`budget` needs a window over 0, and neither part may be negative (rule 6)"));
    }
    if decision.fronts == 0 {
        return Err(root.need("front")?.error("`fronts` includes this front: at least 1"));
    }
    let fleet = root.need("fleet")?;
    if decision.cells == 0 || decision.link_kb_per_unit <= 0.0 || decision.links_kb <= 0.0 {
        return Err(fleet.error("`cells`, `link-kb` and `links-kb` must be over 0"));
    }
    if decision.racks > 0 && decision.uplink_kb <= 0.0 {
        return Err(fleet.error("racks need `uplink-kb`"));
    }
    if !(0.0..=1.0).contains(&decision.shared_adds) {
        return Err(fleet.error("`shared-adds` is a share of a stream, from 0 to 1"));
    }
    if settings.titles.is_empty() {
        return Err(root.error("at least one `title` is needed"));
    }
    check_limits(root, settings)
}

/// Fits the number of players to the process limits if it is not configured, and checks that the limits
/// suffice.
pub(super) fn fit_to_process(root: &Block<'_>, settings: &mut Settings, process: &ProcessLimits) -> Read<()> {
    let node = match root.one("limits")? {
        Some(node) => node,
        None => root.need("front")?,
    };
    let io = &mut settings.io;
    let admission = &mut io.admission;
    if !io.players_configured {
        // Established connections, handshakes and the reserve, in the proportion of the defaults.
        let max_players = usize::try_from(process.max_players(io.max_box_connections)).unwrap_or(usize::MAX);
        admission.handshakes = admission.handshakes.min(max_players / 8);
        admission.players = admission.players.min(max_players - admission.handshakes);
        admission.reserve = admission.reserve.min(admission.players / 8);
        if admission.handshakes == 0 || admission.players == 0 {
            return Err(node.error(format!(
                "this process has no room for players beside {} connections to boxes; lower \
                 `connections-to-boxes` or let it open more files",
                io.max_box_connections
            )));
        }
    }
    process.check(admission.players + admission.handshakes, io.max_box_connections).map_err(|error| {
        node.error(format!(
            "`players` {}, `handshakes` {} and `connections-to-boxes` {}: {error}",
            admission.players, admission.handshakes, io.max_box_connections
        ))
    })
}

fn check_limits(root: &Block<'_>, settings: &Settings) -> Read<()> {
    let node = match root.one("limits")? {
        Some(node) => node,
        None => root.need("rules")?,
    };
    let (limits, io) = (&settings.limits, &settings.io);
    let bad = |reason: &str| Err(node.error(reason));
    if io.patience_ms.0 == 0 || io.patience_ms.0 > io.patience_ms.1 {
        return bad("`patience-least-ms` must be over 0 and not over `patience-most-ms`");
    }
    if limits.silence_timeout == 0 || limits.lost_timeout == 0 || limits.request_timeout == 0 {
        return bad("`silent-after-ms`, `lost-after-ms` and `ask-within-ms` must be over 0");
    }
    let (call_rate, admission, watchdog) = (&io.call_rate, &io.admission, &io.watchdog);
    if limits.connections_per_box == 0
        || admission.players == 0
        || admission.handshakes == 0
        || io.max_pending_opens == 0
    {
        return bad("`connections-per-box`, `players`, `handshakes` and `opens-per-player` must be over 0");
    }
    if io.max_box_connections < 8 {
        return bad("`connections-to-boxes` must be at least 8");
    }
    if limits.sessions_per_connection == 0 || limits.sessions_per_viewer == 0 || io.max_deferred_calls == 0 {
        return bad("`sessions-per-connection`, `sessions-per-viewer` and `calls-over` must be over 0");
    }
    if admission.reserve >= admission.players {
        return bad(
            "`reserve` is part of `players` and must be smaller: there would be no place for new viewers",
        );
    }
    if admission.prefix_bits.0 > 32 || admission.prefix_bits.1 > 128 {
        return bad("`prefix-v4` is at most 32 bits and `prefix-v6` at most 128");
    }
    if watchdog.handshake.timeout == 0
        || watchdog.message.timeout == 0
        || watchdog.message.min_bytes_per_s == 0
    {
        return bad("`handshake-ms`, `message-ms` and `least-bytes-per-s` must be over 0");
    }
    if watchdog.message.grace == 0 {
        return bad("`slow-grace-ms` of 0 disconnects every player whose message arrives in two parts");
    }
    if watchdog.ping_interval < 4 || watchdog.pong_timeout == 0 || watchdog.max_missed_pings == 0 {
        return bad("`ping-every-ms`, `pong-within-ms` and `pings-missed` must be over 0");
    }
    if watchdog.control_frames_per_s == 0 || watchdog.control_frame_burst < 4 {
        return bad("`controls-per-s` must be over 0 and `controls-at-once` at least 4");
    }
    if watchdog.return_timeout == 0 || io.tcp_keep_alive.as_secs() < 1 {
        return bad("`return-within-ms` must be over 0 and `keep-alive-ms` at least 1000");
    }
    if call_rate.calls_per_s == 0 || call_rate.burst == 0 || call_rate.total_calls_per_s == 0 {
        return bad("`calls-per-s`, `calls-at-once` and `calls-per-s-all` must be over 0");
    }
    let meter = &io.event_meter;
    if meter.weight_per_s == 0 || meter.burst < 1_000 || meter.event_timeout == 0 {
        return bad(
            "`box-events-per-s` and `box-event-ms` must be over 0, `box-events-at-once` at least 1000",
        );
    }
    if io.max_message_bytes < 256 || io.max_backlog_bytes < io.max_message_bytes {
        return bad(
            "`message-bytes` must be at least 256, and `backlog-bytes` not less than `message-bytes`",
        );
    }
    if io.connect_timeout.is_zero() || io.stall_timeout.is_zero() {
        return bad("`connect-ms` and `stalled-ms` must be over 0");
    }
    Ok(())
}
