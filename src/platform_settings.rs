//! Parser of the platform's settings object into the controller's [`Settings`], used by front nodes and by the
//! simulator's adapter, which get the same object.

use serde::Deserialize;
use thiserror::Error;

use crate::interface::*;

/// The reason why a settings object cannot be used.
#[derive(Debug, Error)]
pub enum PlatformSettingsError {
    /// It is not JSON, or a field has the wrong type; the text names the position.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A class has an unknown `effect`.
    #[error("unknown effect {0}")]
    Effect(String),
}

/// Longer durations mean no limit; the sum of a few durations of this length still fits into [`Micros`].
const LONGEST_DURATION_MS: f64 = 1e12;
/// Later moments, in Unix time, cannot be given to the microsecond in a floating-point number.
const LATEST_MOMENT_MS: f64 = 9e12;

/// Converts a duration from milliseconds to whole microseconds; negative values and NaN become 0.
pub fn duration_from_ms(ms: f64) -> Micros {
    (ms.clamp(0.0, LONGEST_DURATION_MS) * 1000.0).round() as Micros
}

/// Converts a point in time, such as Unix time, from milliseconds to whole microseconds; negative values and NaN
/// become 0.
pub fn moment_from_ms(ms: f64) -> Micros {
    (ms.clamp(0.0, LATEST_MOMENT_MS) * 1000.0).round() as Micros
}

/// The settings of a front node: those of the controller, and names and limits that no decision uses.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The controller's settings.
    pub settings: Settings,
    /// Names of the classes, by index.
    pub class_names: Vec<String>,
    /// Names of the zones, by index.
    pub zone_names: Vec<String>,
    /// Names of the kinds of server, by index.
    pub kind_names: Vec<String>,
    /// Names of the fields of a load report, in order.
    pub report_field_names: Vec<String>,
    /// Time-out for making a connection.
    pub connect_timeout: Micros,
    /// A server closes a connection that was idle for this long.
    pub idle_timeout: Micros,
    /// Maximum number of concurrent set-ups on one connection.
    pub streams_per_connection: usize,
    /// Time after the viewer's patience in which an answer still counts.
    pub answer_slack: Micros,
    /// Longest patience of any class.
    pub longest_patience: Micros,
}

impl PlatformSettings {
    /// Parses the object from its JSON text.
    ///
    /// # Errors
    /// The text is not JSON, or a field is invalid.
    pub fn parse(text: &str) -> Result<PlatformSettings, PlatformSettingsError> {
        convert(serde_json::from_str(text)?)
    }

    /// Parses the object as part of a larger JSON document.
    ///
    /// # Errors
    /// A field is invalid.
    pub fn from_value(value: serde_json::Value) -> Result<PlatformSettings, PlatformSettingsError> {
        convert(serde_json::from_value(value)?)
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct RawSettings {
    balancers: u32,
    zone: u32,
    classes: Vec<RawClass>,
    domain: Domain,
    discovery: String,
    localities: Vec<String>,
    host_types: Vec<String>,
    load_report: LoadReport,
    policy_limits: PolicyLimits,
    prices: Prices,
    safety: Safety,
}

#[derive(Deserialize)]
struct RawClass {
    #[serde(default)]
    name: String,
    #[serde(default)]
    deadline_ms: f64,
    aim_ms: f64,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window_ms: f64,
    gain: f64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Domain {
    change_costs_s: f64,
    is_live: Vec<bool>,
    kb_per_weight: f64,
    kind_streams: Vec<f64>,
    links_kb: f64,
    lowest_rung: Vec<usize>,
    positions: u32,
    racks: u32,
    rate_factor: Vec<f64>,
    refuses_from: f64,
    reports_every_ms: f64,
    rung_kb: Vec<f64>,
    seats: Vec<f64>,
    seen_after_ms: f64,
    shared_adds: Option<f64>,
    top_by_class: Vec<usize>,
    uplink_kb: f64,
    worth_by_rung: Vec<f64>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct LoadReport {
    names: Vec<String>,
    source: String,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct PolicyLimits {
    conn_idle_ms: Option<f64>,
    connect_timeout_ms: Option<f64>,
    max_streams: Option<f64>,
    max_attempts: Option<u32>,
    max_retry_after_ms: f64,
    probes: bool,
    retry_after: bool,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Prices {
    cross_zone: f64,
    moves: f64,
    probe: f64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Safety {
    answer_slack_ms: f64,
    ask_within_ms: f64,
    budget_free: f64,
    cold_from: Option<f64>,
    drain_grace_ms: f64,
    fall_ms: f64,
    fall_multiple: f64,
    look_back_ms: Option<f64>,
    resend_ratio: f64,
    warm_up_ms: f64,
}

impl Default for RawSettings {
    fn default() -> Self {
        RawSettings {
            balancers: 1,
            zone: 0,
            classes: Vec::new(),
            domain: Domain::default(),
            discovery: String::new(),
            localities: Vec::new(),
            host_types: Vec::new(),
            load_report: LoadReport::default(),
            policy_limits: PolicyLimits::default(),
            prices: Prices::default(),
            safety: Safety::default(),
        }
    }
}

/// Defaults of times that the object may leave out.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 15_000.0;

fn convert(raw: RawSettings) -> Result<PlatformSettings, PlatformSettingsError> {
    let domain = raw.domain;
    let top_of_ladder = domain.rung_kb.len().saturating_sub(1);
    let classes = raw.classes.iter().enumerate().map(|(index, class)| {
        Ok(Class {
            aim: duration_from_ms(class.aim_ms),
            effect: match class.effect.as_str() {
                "idempotent" => Effect::Safe,
                "deduplicated" => Effect::Deduplicated,
                "at_most_once" => Effect::Once,
                _ => return Err(PlatformSettingsError::Effect(class.effect.clone())),
            },
            group: match class.group.as_str() {
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                _ => Group::All,
            },
            window: duration_from_ms(class.window_ms),
            gain: class.gain,
            floor: domain.lowest_rung.get(index).copied().unwrap_or(0),
            top: domain.top_by_class.get(index).copied().unwrap_or(top_of_ladder),
            rate_factor: domain.rate_factor.get(index).copied().unwrap_or(1.0),
            seats: domain.seats.get(index).map_or(0, |seats| *seats as usize),
            live: domain.is_live.get(index).copied().unwrap_or(false),
        })
    });
    let rung = |(index, kb): (usize, &f64)| Rung {
        kb: *kb,
        worth: domain.worth_by_rung.get(index).copied().unwrap_or(1.0),
    };
    let safety = raw.safety;
    let report_field = |name: &String| match name.as_str() {
        "active" => ReportField::Streams,
        "cpu" => ReportField::LinkCapped,
        "x0" => ReportField::Link,
        "x1" => ReportField::Uplink,
        _ => ReportField::Other,
    };
    let has_reports = raw.load_report.source != "none";
    let limits = raw.policy_limits;
    let longest_patience =
        raw.classes.iter().map(|class| duration_from_ms(class.deadline_ms)).max().unwrap_or(0);
    let settings = Settings {
        fronts: raw.balancers,
        zone: raw.zone,
        classes: classes.collect::<Result<_, _>>()?,
        ladder: domain.rung_kb.iter().enumerate().map(rung).collect(),
        cells: domain.positions,
        racks: domain.racks,
        link_kb_per_unit: domain.kb_per_weight,
        links_kb: domain.links_kb,
        uplink_kb: domain.uplink_kb,
        kind_streams: domain.kind_streams.iter().map(|streams| *streams as u32).collect(),
        refuses_from: domain.refuses_from,
        note_interval: duration_from_ms(domain.reports_every_ms),
        note_age: duration_from_ms(domain.seen_after_ms),
        shared_adds: domain.shared_adds.unwrap_or(1.0),
        change_cost_s: domain.change_costs_s,
        reports: if has_reports {
            raw.load_report.names.iter().map(report_field).collect()
        } else {
            Vec::new()
        },
        max_attempts: limits.max_attempts.unwrap_or(u32::MAX),
        probes: limits.probes,
        max_hold_off: if limits.retry_after { duration_from_ms(limits.max_retry_after_ms) } else { 0 },
        drain_grace: duration_from_ms(safety.drain_grace_ms),
        warm_up: duration_from_ms(safety.warm_up_ms),
        cold_from: safety.cold_from.unwrap_or(1.0),
        fall_multiple: safety.fall_multiple,
        fall_window: duration_from_ms(safety.fall_ms),
        list_on_demand: raw.discovery == "ask",
        ask_within: duration_from_ms(safety.ask_within_ms),
        budget: safety.look_back_ms.map(|window| Budget {
            window: duration_from_ms(window),
            free: safety.budget_free,
            share: safety.resend_ratio,
        }),
        probe_price: raw.prices.probe,
        move_price: raw.prices.moves,
        cross_price: raw.prices.cross_zone,
    };
    Ok(PlatformSettings {
        settings,
        class_names: raw.classes.into_iter().map(|class| class.name).collect(),
        zone_names: raw.localities,
        kind_names: raw.host_types,
        report_field_names: raw.load_report.names,
        connect_timeout: duration_from_ms(limits.connect_timeout_ms.unwrap_or(DEFAULT_CONNECT_TIMEOUT_MS)),
        idle_timeout: duration_from_ms(limits.conn_idle_ms.unwrap_or(DEFAULT_IDLE_TIMEOUT_MS)),
        streams_per_connection: limits.max_streams.map_or(usize::MAX, |streams| streams.max(1.0) as usize),
        answer_slack: duration_from_ms(safety.answer_slack_ms),
        longest_patience,
    })
}
