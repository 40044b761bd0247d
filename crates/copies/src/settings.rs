//! The block `copies { }` of a front's settings, validated before anything starts.

use std::path::PathBuf;

use salttally_accord::settings::Settings as Accord;
use salttally_members::settings::Settings as Members;
use salttally_settings::{Block, Document, Node, Read};

use crate::core::{Micros, Name, TooFewPolicy};

/// Copies settings of one front.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the front.
    pub name: Name,
    /// Its zone.
    pub zone: u32,
    /// Address at which clients reach it.
    pub client_address: Option<std::net::SocketAddr>,
    /// Number of other fronts that hold a copy.
    pub copies: usize,
    /// Number of copies required before a record counts as stored.
    pub enough: usize,
    /// What happens when there are fewer fronts.
    pub too_few: TooFewPolicy,
    /// A record that is not stored within this time is given up, us.
    pub within: Micros,
    /// Most records of other fronts that it holds.
    pub most: usize,
    /// Path of the store.
    pub store: PathBuf,
    /// Each batch is flushed before it is acknowledged.
    pub flush: bool,
    /// Path of the history log.
    pub history: Option<PathBuf>,
}

impl Settings {
    /// Reads the block, if the document has one; it requires `members` and `accord`.
    ///
    /// # Errors
    /// Invalid settings, with file, line and reason.
    pub fn read(
        document: &Document,
        members: Option<&Members>,
        accord: Option<&Accord>,
    ) -> Read<Option<Settings>> {
        let root = document.root();
        let Some(node) = root.one("copies")? else { return Ok(None) };
        let (Some(members), Some(_)) = (members, accord) else {
            return Err(
                node.error("`copies` wants `members` and `accord`: an heir is agreed on by the voters")
            );
        };
        let block = node.children();
        let settings = read(&block, members)?;
        block.done()?;
        node.done()?;
        check(&node, &block, &settings)?;
        Ok(Some(settings))
    }
}

fn read(block: &Block<'_>, members: &Members) -> Read<Settings> {
    let too_few = match block.one("too-few")? {
        None => TooFewPolicy::GoOn,
        Some(node) => match node.argument::<String>()?.as_str() {
            "go-on" => TooFewPolicy::GoOn,
            "refuse" => TooFewPolicy::Refuse,
            other => return Err(node.error(format!("`{other}` is unknown here; known: go-on, refuse"))),
        },
    };
    let flush = match block.one("flush")? {
        None => true,
        Some(node) => match node.argument::<String>()?.as_str() {
            "each" => true,
            "never" => false,
            other => return Err(node.error(format!("`{other}` is unknown here; known: each, never"))),
        },
    };
    Ok(Settings {
        name: Name::clone(&members.name),
        zone: members.zone,
        client_address: members.serves,
        copies: block.or("copies", 2)?,
        enough: block.or("enough", 1)?,
        too_few,
        within: block.or("within-ms", 400u64)?.saturating_mul(1000),
        most: block.or("most", 200_000)?,
        store: PathBuf::from(block.value::<String>("store")?),
        flush,
        history: block.one("history")?.map(|node| node.argument::<String>()).transpose()?.map(PathBuf::from),
    })
}

fn check(node: &Node<'_>, block: &Block<'_>, settings: &Settings) -> Read<()> {
    let at = |name: &str| block.one(name);
    if settings.copies > 8 {
        return Err(at("copies")?.as_ref().unwrap_or(node).error("`copies` lies from 0 to 8"));
    }
    if settings.enough > settings.copies {
        let reason = "`enough` is more than `copies`: no promise would ever count";
        return Err(at("enough")?.as_ref().unwrap_or(node).error(reason));
    }
    if settings.within < 20_000 || settings.within > 60_000_000 {
        return Err(at("within-ms")?.as_ref().unwrap_or(node).error("`within-ms` lies from 20 to 60000"));
    }
    if settings.most == 0 {
        return Err(at("most")?.as_ref().unwrap_or(node).error("`most` is at least 1"));
    }
    Ok(())
}
