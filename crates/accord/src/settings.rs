//! The block `accord { }` of a front's settings, checked before anything starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use salttally_members::settings::Settings as Members;
use salttally_members::wire::KeyRing;
use salttally_settings::{Block, Document, Node, Read};

use crate::core::lease::Times;
use crate::core::{Micros, Name};

/// Settings of accord at one front.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The front's name, as membership has it.
    pub name: Name,
    /// Where it listens, TCP: the address of membership.
    pub bind: SocketAddr,
    /// Where others reach it.
    pub advertise: SocketAddr,
    /// Keys, those of membership.
    pub keys: KeyRing,
    /// Voters of the first start.
    pub voters: Vec<Name>,
    /// File of the store.
    pub store: PathBuf,
    /// Times of leases.
    pub times: Times,
    /// Where the history of what happened goes.
    pub history: Option<PathBuf>,
    /// What only trials give.
    pub trial: Option<Trial>,
}

/// What only trials give.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// A relay by which all connections to other fronts go.
    pub relay: Option<SocketAddr>,
    /// The process acts this often for a viewer drawn from so many, and writes it to its history.
    pub acts: Option<(Micros, usize)>,
}

impl Settings {
    /// The block of a file, if it has one.
    ///
    /// # Errors
    /// What cannot hold, with file, line and reason.
    pub fn load(path: &Path) -> Read<Option<Settings>> {
        let document = Document::load(path)?;
        let members = Members::read(&document)?;
        Settings::read(&document, members.as_ref())
    }

    /// The block, if the document has one; membership must be on.
    ///
    /// # Errors
    /// What cannot hold, with file, line and reason.
    pub fn read(document: &Document, members: Option<&Members>) -> Read<Option<Settings>> {
        let root = document.root();
        let Some(node) = root.one("accord")? else { return Ok(None) };
        let Some(members) = members else {
            return Err(
                node.error("`accord` wants `members`: fronts that do not know each other agree on nothing")
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
    let usual = Times::default();
    let ms = |name: &str, usual: Micros| -> Read<Micros> {
        Ok(block.or(name, usual / 1000)?.saturating_mul(1000))
    };
    let refuse = match block.one("without-lease")? {
        None => usual.refuse,
        Some(node) => match node.argument::<String>()?.as_str() {
            "refuse" => true,
            "go-on" => false,
            other => return Err(node.error(format!("`{other}` is unknown here; known: refuse, go-on"))),
        },
    };
    let times = Times {
        lease: ms("lease-ms", usual.lease)?,
        alone: ms("alone-ms", usual.alone)?,
        renew: ms("renew-ms", usual.renew)?,
        drift_ppm: block.or("drift-ppm", usual.drift_ppm)?,
        refuse,
        ..usual
    };
    let trial = match block.one("trial")? {
        None => None,
        Some(node) => {
            let relay = node.maybe::<String>("relay")?;
            let relay =
                relay.map(|text| text.parse().map_err(|_| node.error("`relay` is an address and port")));
            let acts = node.maybe::<u64>("acts-ms")?.map(|every| every.max(1) * 1000);
            let viewers = node.or("viewers", 1)?;
            node.done()?;
            Some(Trial { relay: relay.transpose()?, acts: acts.map(|every| (every, viewers)) })
        }
    };
    let voters = block.need("voters")?.arguments::<String>()?;
    Ok(Settings {
        name: Name::clone(&members.name),
        bind: members.bind,
        advertise: members.advertise,
        keys: members.keys.clone(),
        voters: voters.iter().map(|name| Name::from(name.as_str())).collect(),
        store: PathBuf::from(block.value::<String>("store")?),
        times,
        history: block.one("history")?.map(|node| node.argument::<String>()).transpose()?.map(PathBuf::from),
        trial,
    })
}

fn check(node: &Node<'_>, block: &Block<'_>, settings: &Settings) -> Read<()> {
    let voters = block.need("voters")?;
    if ![3, 5, 7].contains(&settings.voters.len()) {
        return Err(voters.error(format!("{} voters: there are 3, 5 or 7", settings.voters.len())));
    }
    let mut names = settings.voters.clone();
    names.sort();
    if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(voters.error(format!("voter `{}` stands twice", pair[0])));
    }
    let at = |name: &str| block.one(name);
    let times = &settings.times;
    if times.lease < 500_000 || times.lease > 3_600_000_000 {
        return Err(at("lease-ms")?.as_ref().unwrap_or(node).error("`lease-ms` lies from 500 to 3600000"));
    }
    if times.renew < 20_000 || times.renew * 3 > times.lease {
        let reason =
            "`renew-ms` lies from 20 to a third of `lease-ms`: one lost question must not cost the lease";
        return Err(at("renew-ms")?.as_ref().unwrap_or(node).error(reason));
    }
    if times.alone > 3_600_000_000 {
        return Err(at("alone-ms")?.as_ref().unwrap_or(node).error("`alone-ms` lies from 0 to 3600000"));
    }
    if times.drift_ppm > 100_000 {
        return Err(at("drift-ppm")?.as_ref().unwrap_or(node).error("`drift-ppm` lies from 0 to 100000"));
    }
    Ok(())
}
