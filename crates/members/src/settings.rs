//! The block `members { }` of a front's settings, checked before anything starts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use salttally_settings::{Block, Document, Node, Read};

use crate::core::view::MAX_NAME_BYTES;
use crate::core::{Micros, Times};
use crate::wire::KeyRing;

/// Shortest key, bytes.
const KEY: usize = 32;

/// Settings of membership at one front.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The front's name.
    pub name: Arc<str>,
    /// Where it listens, UDP.
    pub bind: SocketAddr,
    /// Where others reach it; where it listens, if nothing else is said.
    pub advertise: SocketAddr,
    /// Its zone, as `front` has it.
    pub zone: u32,
    /// Where players reach it, as `front` has it.
    pub serves: Option<SocketAddr>,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// Keys.
    pub keys: KeyRing,
    /// Observers of each front.
    pub observers: usize,
    /// Times.
    pub times: Times,
    /// Where the history goes.
    pub history: Option<PathBuf>,
    /// A relay by which all datagrams go: only trials give one.
    pub relay: Option<SocketAddr>,
    /// What this process's clock is off by, us: only trials give it.
    pub clock_offset: i64,
}

fn address(node: &Node<'_>, text: &str) -> Read<SocketAddr> {
    text.parse().map_err(|_| node.error(format!("`{text}` is no address and port, as 127.0.0.1:7301")))
}

fn key(node: &Node<'_>, text: &str) -> Read<[u8; KEY]> {
    let digit = |at: usize| text.get(at..at + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok());
    if text.len() < KEY * 2 {
        return Err(node.error(format!(
            "a key of {} bytes: {KEY} are needed, as {} hex digits",
            text.len() / 2,
            KEY * 2
        )));
    }
    let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(digit).collect();
    let key = bytes.and_then(|bytes| bytes.try_into().ok());
    key.ok_or_else(|| node.error(format!("a key is {} hex digits", KEY * 2)))
}

impl Settings {
    /// The block, if the document has one. The front's name stands in its `front`.
    ///
    /// # Errors
    /// What cannot hold, with file, line and reason.
    pub fn read(document: &Document) -> Read<Option<Settings>> {
        let root = document.root();
        let Some(node) = root.one("members")? else { return Ok(None) };
        let front = root.need("front")?;
        let name: String = front.argument()?;
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(front.error(format!("a member's name has 1 to {MAX_NAME_BYTES} bytes")));
        }
        let block = node.children();
        let about = front.children();
        let listen =
            about.one("listen")?.map(|node| address(&node, &node.argument::<String>()?)).transpose()?;
        let settings = Settings { zone: about.or("zone", 0)?, serves: listen, ..read(&name, &block)? };
        block.done()?;
        node.done()?;
        check(&node, &block, &settings)?;
        Ok(Some(settings))
    }
}

fn read(name: &str, block: &Block<'_>) -> Read<Settings> {
    let socket = |name: &str| -> Read<Option<SocketAddr>> {
        let Some(node) = block.one(name)? else { return Ok(None) };
        let text: String = node.argument()?;
        let at = address(&node, &text)?;
        node.done()?;
        Ok(Some(at))
    };
    let bind = socket("bind")?.ok_or_else(|| block.error("`bind` is missing"))?;
    let advertise = socket("advertise")?.unwrap_or(bind);
    let mut seeds = Vec::new();
    for node in block.all("seeds") {
        for text in node.arguments::<String>()? {
            let seed = address(&node, &text)?;
            if seeds.contains(&seed) {
                return Err(node.error(format!("seed {seed} stands twice")));
            }
            seeds.push(seed);
        }
        node.done()?;
    }
    let mut keys = Vec::new();
    for node in block.all("key") {
        keys.push(key(&node, &node.argument::<String>()?)?);
        node.done()?;
    }
    let keys = KeyRing::new(keys).ok_or_else(|| block.error("`key` is missing: at least one"))?;
    let usual = Times::default();
    let ms = |name: &str, usual: Micros| -> Read<Micros> {
        Ok(block.or(name, usual / 1000)?.saturating_mul(1000))
    };
    let times = Times {
        period: ms("period-ms", usual.period)?,
        hurry: ms("hurry-ms", usual.hurry)?,
        bear: ms("bear-ms", usual.bear)?,
        settle: ms("settle-ms", usual.settle)?,
        confirm: ms("confirm-ms", usual.confirm)?,
        alone: ms("alone-ms", usual.alone)?,
        ..usual
    };
    let trial = block.one("trial")?;
    let (mut relay, mut clock_offset) = (None, 0);
    if let Some(trial) = &trial {
        if let Some(text) = trial.maybe::<String>("relay")? {
            relay = Some(address(trial, &text)?);
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
        // Another front's port on this front's own address is another front's name for this one.
        let own = settings.seeds.iter().any(|seed| *seed != settings.advertise && *seed == settings.bind);
        if own {
            return Err(
                seeds.error("a seed is this front's own `bind`, which others know by another address")
            );
        }
    }
    if times.period < 10_000 || times.period > 60_000_000 {
        return Err(at("period-ms")?.as_ref().unwrap_or(node).error("`period-ms` lies from 10 to 60000"));
    }
    if times.hurry == 0 || times.hurry > times.period {
        return Err(at("hurry-ms")?.as_ref().unwrap_or(node).error("`hurry-ms` lies from 1 to `period-ms`"));
    }
    if times.bear < 2 * times.period {
        let reason = "`bear-ms` under twice `period-ms`: a front would be accused between two pings";
        return Err(at("bear-ms")?.as_ref().unwrap_or(node).error(reason));
    }
    if !(1..=64).contains(&settings.observers) {
        return Err(at("observers")?.as_ref().unwrap_or(node).error("`observers` lies from 1 to 64"));
    }
    Ok(())
}
