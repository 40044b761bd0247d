//! The block `copies { }` of a front's settings, checked before anything starts.

use std::path::PathBuf;

use salttally_accord::settings::Settings as Accord;
use salttally_members::settings::Settings as Members;
use salttally_settings::{Block, Document, Node, Read};

use crate::core::{Micros, Name, TooFew};

/// Settings of copies at one front.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The front's name.
    pub name: Name,
    /// Its zone.
    pub zone: u32,
    /// Where players reach it.
    pub serves: Option<std::net::SocketAddr>,
    /// Fronts that hold a copy.
    pub copies: usize,
    /// So many of them must have a promise before it counts.
    pub enough: usize,
    /// What happens where there are fewer.
    pub too_few: TooFew,
    /// A promise that does not count after this long is given up, us.
    pub within: Micros,
    /// Promises of others held at most.
    pub most: usize,
    /// File of the store.
    pub store: PathBuf,
    /// Each batch is flushed before it is told.
    pub flush: bool,
    /// Where the history of what happened goes.
    pub history: Option<PathBuf>,
}

impl Settings {
    /// The block, if the document has one; membership and accord must be on.
    ///
    /// # Errors
    /// What cannot hold, with file, line and reason.
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
        None => TooFew::GoOn,
        Some(node) => match node.argument::<String>()?.as_str() {
            "go-on" => TooFew::GoOn,
            "refuse" => TooFew::Refuse,
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
        serves: members.serves,
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
