//! The block `members { }` of a front's settings, validated before anything starts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use salttally_settings::{Block, Document, Node, Read};

use crate::core::view::MAX_NAME_BYTES;
use crate::core::{Micros, Times};
use crate::wire::KeyRing;

/// Length of a key, in bytes.
const KEY_BYTES: usize = 32;

/// Settings of membership at one front.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the front.
    pub name: Arc<str>,
    /// UDP address at which the front listens.
    pub bind: SocketAddr,
    /// Address at which other fronts reach it; `bind` by default.
    pub advertise: SocketAddr,
    /// Zone of the front, from the block `front`.
    pub zone: u32,
    /// Address at which players reach it, from the block `front`.
    pub serves: Option<SocketAddr>,
    /// Addresses of fronts to contact while joining.
    pub seeds: Vec<SocketAddr>,
    /// Authentication keys.
    pub keys: KeyRing,
    /// Number of observers of each front.
    pub observers: usize,
    /// Timing of the protocol.
    pub times: Times,
    /// File to which the history is written.
    pub history: Option<PathBuf>,
    /// A relay through which all datagrams pass; set only in trials.
    pub relay: Option<SocketAddr>,
    /// Offset of this process's wall clock, in microseconds; set only in trials.
    pub clock_offset: i64,
}

fn parse_address(node: &Node<'_>, text: &str) -> Read<SocketAddr> {
    text.parse().map_err(|_| node.error(format!("`{text}` is no address and port, as 127.0.0.1:7301")))
}

fn parse_key(node: &Node<'_>, text: &str) -> Read<[u8; KEY_BYTES]> {
    let digit = |at: usize| text.get(at..at + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok());
    if text.len() < KEY_BYTES * 2 {
        return Err(node.error(format!(
            "a key of {} bytes: {KEY_BYTES} are needed, as {} hex digits",
            text.len() / 2,
            KEY_BYTES * 2
        )));
    }
    let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(digit).collect();
    let key = bytes.and_then(|bytes| bytes.try_into().ok());
    key.ok_or_else(|| node.error(format!("a key is {} hex digits", KEY_BYTES * 2)))
}

impl Settings {
    /// Reads the block `members`, if the document has one. The front's name is read from the block `front`.
    ///
    /// # Errors
    /// A setting is missing or invalid; the error names file, line and reason.
    pub fn read(document: &Document) -> Read<Option<Settings>> {
        let root = document.root();
        let Some(node) = root.one("members")? else { return Ok(None) };
        let front = root.need("front")?;
        let name: String = front.argument()?;
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(front.error(format!("a member's name has 1 to {MAX_NAME_BYTES} bytes")));
        }
        let block = node.children();
        let front_block = front.children();
        let listen = front_block
            .one("listen")?
            .map(|node| parse_address(&node, &node.argument::<String>()?))
            .transpose()?;
        let settings =
            Settings { zone: front_block.or("zone", 0)?, serves: listen, ..read_block(&name, &block)? };
        block.done()?;
        node.done()?;
        check(&node, &block, &settings)?;
        Ok(Some(settings))
    }
}

fn read_block(name: &str, block: &Block<'_>) -> Read<Settings> {
    let socket = |name: &str| -> Read<Option<SocketAddr>> {
        let Some(node) = block.one(name)? else { return Ok(None) };
        let text: String = node.argument()?;
        let at = parse_address(&node, &text)?;
        node.done()?;
        Ok(Some(at))
    };
    let bind = socket("bind")?.ok_or_else(|| block.error("`bind` is missing"))?;
    let advertise = socket("advertise")?.unwrap_or(bind);
    let mut seeds = Vec::new();
    for node in block.all("seeds") {
        for text in node.arguments::<String>()? {
            let seed = parse_address(&node, &text)?;
            if seeds.contains(&seed) {
                return Err(node.error(format!("seed {seed} stands twice")));
            }
            seeds.push(seed);
        }
        node.done()?;
    }
    let mut keys = Vec::new();
    for node in block.all("key") {
        keys.push(parse_key(&node, &node.argument::<String>()?)?);
        node.done()?;
    }
    let keys = KeyRing::new(keys).ok_or_else(|| block.error("`key` is missing: at least one"))?;
    let defaults = Times::default();
    let ms = |name: &str, default: Micros| -> Read<Micros> {
        Ok(block.or(name, default / 1000)?.saturating_mul(1000))
    };
    let times = Times {
        ping_interval: ms("period-ms", defaults.ping_interval)?,
        unanswered_ping_interval: ms("hurry-ms", defaults.unanswered_ping_interval)?,
        min_silence: ms("bear-ms", defaults.min_silence)?,
        settle_time: ms("settle-ms", defaults.settle_time)?,
        confirm_time: ms("confirm-ms", defaults.confirm_time)?,
        bootstrap_delay: ms("alone-ms", defaults.bootstrap_delay)?,
        ..defaults
    };
    let trial = block.one("trial")?;
    let (mut relay, mut clock_offset) = (None, 0);
    if let Some(trial) = &trial {
        if let Some(text) = trial.maybe::<String>("relay")? {
            relay = Some(parse_address(trial, &text)?);
        }
        clock_offset = (trial.or("clock-offset-s", 0.0)? * 1e6) as i64;
        trial.done()?;
    }
    Ok(Settings {
        name: Arc::from(name),
        bind,
        advertise,
        zone: 0,
        serves: None,
        seeds,
        keys,
        observers: block.or("observers", 8)?,
        times,
        history: block.one("history")?.map(|node| node.argument::<String>()).transpose()?.map(PathBuf::from),
        relay,
        clock_offset,
    })
}

fn check(node: &Node<'_>, block: &Block<'_>, settings: &Settings) -> Read<()> {
    let at = |name: &str| block.one(name);
    let times = &settings.times;
    if let Some(wrong) = at("advertise")?.filter(|_| settings.advertise.ip().is_unspecified()) {
        return Err(wrong.error("others cannot reach an address of all zeros"));
    }
    if settings.advertise.ip().is_unspecified() {
        return Err(
            node.error("`bind` is an address of all zeros: `advertise` must tell others where to come")
        );
    }
    if let Some(seeds) = block.all("seeds").first() {
        // If `bind` differs from `advertise`, a seed equal to `bind` would be this front under another address.
        let own = settings.seeds.iter().any(|seed| *seed != settings.advertise && *seed == settings.bind);
        if own {
            return Err(
                seeds.error("a seed is this front's own `bind`, which others know by another address")
            );
        }
    }
    if times.ping_interval < 10_000 || times.ping_interval > 60_000_000 {
        return Err(at("period-ms")?.as_ref().unwrap_or(node).error("`period-ms` lies from 10 to 60000"));
    }
    if times.unanswered_ping_interval == 0 || times.unanswered_ping_interval > times.ping_interval {
        return Err(at("hurry-ms")?.as_ref().unwrap_or(node).error("`hurry-ms` lies from 1 to `period-ms`"));
    }
    if times.min_silence < 2 * times.ping_interval {
        let reason = "`bear-ms` under twice `period-ms`: a front would be accused between two pings";
        return Err(at("bear-ms")?.as_ref().unwrap_or(node).error(reason));
    }
    if !(1..=64).contains(&settings.observers) {
        return Err(at("observers")?.as_ref().unwrap_or(node).error("`observers` lies from 1 to 64"));
    }
    Ok(())
}
