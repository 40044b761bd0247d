//! Translation between the simulator's line protocol and the controller's interface.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;

use salttally::interface::*;
use salttally::platform_settings::{duration_from_ms, moment_from_ms, PlatformSettings};
use thiserror::Error;

/// An error in the input, with its position.
#[derive(Debug, Error)]
#[error("line {line}, {field}: {what}")]
pub struct WireError {
    line: u64,
    field: String,
    what: String,
}

impl WireError {
    /// An error in a field of a line.
    pub fn new(line: u64, field: &str, what: &str) -> Self {
        WireError { line, field: field.to_owned(), what: what.to_owned() }
    }
}

/// A message of the protocol: its name and its fields.
pub struct Line<'a> {
    /// Name of the message.
    pub name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
    number: u64,
}

impl<'a> Line<'a> {
    /// Splits a line into its fields; a field of free text takes the rest of the line.
    pub fn parse(text: &'a str, number: u64) -> Result<Self, WireError> {
        let (name, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let key = rest.split_once('=').map_or(rest, |(key, _)| key);
            if matches!(key, "facts" | "reason_text") {
                fields.push((key, rest.get(key.len() + 1..).unwrap_or("")));
                break;
            }
            let (part, tail) = rest.split_once(' ').unwrap_or((rest, ""));
            let pair = part
                .split_once('=')
                .ok_or_else(|| WireError::new(number, part, "not of the form name=value"))?;
            fields.push(pair);
            rest = tail;
        }
        Ok(Line { name, fields, number })
    }

    /// An error in a field of this line.
    pub fn bad(&self, field: &str, what: &str) -> WireError {
        WireError::new(self.number, field, what)
    }

    fn find(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|(key, _)| *key == field).map(|(_, value)| *value)
    }

    /// The text of a required field.
    pub fn text(&self, field: &str) -> Result<&'a str, WireError> {
        self.find(field).ok_or_else(|| self.bad(field, &format!("missing in {}", self.name)))
    }

    /// A required number.
    pub fn number<T: FromStr>(&self, field: &str) -> Result<T, WireError> {
        self.text(field)?.parse().map_err(|_| self.bad(field, "not a number of the right kind"))
    }

    fn optional<T: FromStr>(&self, field: &str) -> Result<Option<T>, WireError> {
        self.find(field).map(|_| self.number(field)).transpose()
    }

    /// A required finite number.
    fn real(&self, field: &str) -> Result<f64, WireError> {
        let value: f64 = self.number(field)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.bad(field, "not a finite number"))
        }
    }

    /// A required duration, given in milliseconds.
    fn duration(&self, field: &str) -> Result<Micros, WireError> {
        self.real(field).map(duration_from_ms)
    }

    /// A required point in time, given in milliseconds.
    pub fn moment(&self, field: &str) -> Result<Micros, WireError> {
        self.real(field).map(moment_from_ms)
    }

    /// A required whole number that may be written with a fraction, as some are on the wire.
    fn whole_number(&self, field: &str) -> Result<u32, WireError> {
        self.real(field).map(|value| value.max(0.0) as u32)
    }

    fn flag(&self, field: &str) -> Result<bool, WireError> {
        match self.find(field) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(_) => Err(self.bad(field, "neither 1 nor 0")),
        }
    }

    fn session(&self) -> Result<SessionId, WireError> {
        self.text("corr").map(|id| SessionId(id.into()))
    }

    fn server(&self) -> Result<ServerId, WireError> {
        self.number("server").map(ServerId)
    }

    fn report(&self) -> Result<Vec<f64>, WireError> {
        let Some(values) = self.find("pressure") else {
            return Ok(Vec::new());
        };
        let parse = |value: &str| value.parse().map_err(|_| self.bad("pressure", "not a row of numbers"));
        values.split(',').filter(|value| !value.is_empty()).map(parse).collect()
    }

    fn outcome(&self) -> Result<Outcome, WireError> {
        Ok(match self.text("disposition")? {
            "Ok" => Outcome::Ok,
            "Failed" => Outcome::Failed,
            "QueueFull" => Outcome::Full,
            "TimedOut" => Outcome::TimedOut,
            "ConnectError" => Outcome::NoConnection,
            "ResetByPeer" => Outcome::Broken,
            "Canceled" => Outcome::Withdrawn,
            "Ignored" => Outcome::NotSent,
            _ => return Err(self.bad("disposition", "unknown outcome")),
        })
    }

    fn request(&self) -> Result<Request, WireError> {
        Ok(Request {
            session: self.session()?,
            class: self.number("class")?,
            viewer: ViewerId(self.number("path_key")?),
            title: TitleId(self.optional("programme")?.unwrap_or(0)),
            patience: self.duration("patience_left_ms")?,
            length_hint: self.find("cost_ms").map(|_| self.duration("cost_ms")).transpose()?,
            first_cell: self.whole_number("start_cell")?,
            cell_count: self.whole_number("spread")?,
            top_rung: self.whole_number("top_rung")? as usize,
            moved: self.flag("back_from_move")?,
            returning: self.flag("returned")?,
            earlier_attempts: 0,
        })
    }
}

fn ms_from_micros(time: Micros) -> f64 {
    time as f64 / 1000.0
}

/// Reads an entry of a server list.
pub fn entry(line: &Line<'_>) -> Result<ServerEntry, WireError> {
    if line.name != "server" {
        return Err(line.bad(line.name, "a server line was due"));
    }
    Ok(ServerEntry {
        server: line.server()?,
        zone: line.optional("region_part")?.unwrap_or(0),
        kind: line.optional("sku")?.unwrap_or(0),
        cell: line.optional("position")?.unwrap_or(0),
        state: match line.text("state")? {
            "in_service" => ServerState::Ready,
            "terminating" => ServerState::Draining,
            "terminated" => ServerState::Removed,
            _ => return Err(line.bad("state", "unknown state")),
        },
        units: line.find("units").map(|_| line.real("units")).transpose()?.unwrap_or(1.0),
        started: match line.find("started_at_ms") {
            None => None,
            Some(_) => Some(line.moment("started_at_ms")?).filter(|at| *at > 0),
        },
    })
}

/// Reads an event of a running instance.
pub fn event(line: &Line<'_>, lists: &BTreeMap<u64, Vec<ServerEntry>>) -> Result<Event, WireError> {
    Ok(match line.name {
        "targets" => {
            let kind = match line.text("kind")? {
                "incr" => ListKind::Changes,
                "total" => ListKind::Complete,
                "warm_copy" => ListKind::Cached,
                "lost" => return Ok(Event::Servers(ListKind::FetchFailed, Vec::new())),
                _ => return Err(line.bad("kind", "unknown kind of list")),
            };
            let list = lists.get(&line.number("sheet")?).ok_or_else(|| line.bad("sheet", "unknown list"))?;
            Event::Servers(kind, list.clone())
        }
        "order" => Event::Request(line.request()?),
        "taken_over" => Event::Resumed(line.request()?, line.server()?),
        "begun" => Event::Started {
            session: line.session()?,
            server: line.server()?,
            took: line.duration("cost_time_ms")?,
        },
        "attempt_end" => Event::Ended {
            session: line.session()?,
            attempt: line.number("attempt")?,
            server: line.server()?,
            outcome: line.outcome()?,
            last: line.flag("last")?,
            report: line.report()?,
        },
        "timed_out_client" => Event::ClientLeft(line.session()?),
        "signal" => {
            let amount = line.real("amount")?;
            let note = match line.number::<u32>("topic")? {
                1 => Note::Delivered(amount),
                2 => Note::Rung(amount.max(0.0) as usize),
                3 => Note::Link(amount),
                4 => Note::Uplink(amount),
                _ => return Err(line.bad("topic", "unknown type of note")),
            };
            Event::Note { session: line.session()?, server: line.server()?, note }
        }
        "pong" => Event::Probed { server: line.server()?, outcome: line.outcome()?, report: line.report()? },
        "from_peer" => {
            let text = line.text("msg")?;
            let digits = if text == "-" { "" } else { text };
            let byte = |at: usize| digits.get(at..at + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok());
            let bytes: Option<Vec<u8>> = (0..digits.len()).step_by(2).map(byte).collect();
            Event::Peer(bytes.ok_or_else(|| line.bad("msg", "not hex digits"))?)
        }
        "elapsed" => Event::Wake(line.number("tag")?),
        _ => return Err(line.bad(line.name, "unknown message")),
    })
}

/// Writes an action of an instance.
pub fn write_action(out: &mut String, instance: &str, action: &Action) {
    let written = match action {
        Action::SetUp(session, server, time_out) => {
            writeln!(
                out,
                "pass_on i={instance} corr={} server={} patience_ms={}",
                session.0,
                server.0,
                ms_from_micros(*time_out)
            )
        }
        Action::SetRung(session, rung) => {
            writeln!(out, "step_to i={instance} corr={} level={rung}", session.0)
        }
        Action::Move(session) => writeln!(out, "go_away i={instance} corr={}", session.0),
        Action::Refuse(session, wait) => {
            writeln!(out, "bounce i={instance} corr={} hold_off_ms={}", session.0, ms_from_micros(*wait))
        }
        Action::Fail(session) => writeln!(out, "abort i={instance} corr={}", session.0),
        Action::Probe(server) => writeln!(out, "poll i={instance} server={}", server.0),
        Action::FollowList => writeln!(out, "track i={instance} on=1"),
        Action::WakeAt(tag, at) => {
            writeln!(out, "wake_at i={instance} tag={tag} time_ms={}", ms_from_micros(*at))
        }
        Action::Log(text) => writeln!(out, "record i={instance} reason_text={}", text.replace('\n', " ")),
    };
    debug_assert!(written.is_ok(), "writing to a string does not fail");
}

/// Reads the settings from the message that starts an instance.
pub fn settings(line: &Line<'_>) -> Result<Settings, WireError> {
    let settings =
        PlatformSettings::parse(line.text("facts")?).map_err(|e| line.bad("facts", &e.to_string()))?;
    Ok(settings.settings)
}
