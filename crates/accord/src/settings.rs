//! The block `accord { }` of a front's settings, validated before anything starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use salttally_members::settings::Settings as Members;
use salttally_members::wire::KeyRing;
use salttally_settings::{Block, Document, Node, Read};

use crate::core::lease::LeaseTimes;
use crate::core::{Micros, Name};

/// Accord settings of one front.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the front, from `members`.
    pub name: Name,
    /// TCP address to listen on, from `members`.
    pub bind: SocketAddr,
    /// Address at which other fronts reach it.
    pub advertise: SocketAddr,
    /// Key ring, from `members`.
    pub keys: KeyRing,
    /// Voters of the first start.
    pub voters: Vec<Name>,
    /// Path of the store.
    pub store: PathBuf,
    /// Lease times.
    pub times: LeaseTimes,
    /// Path of the history log.
    pub history: Option<PathBuf>,
    /// Settings for trials only.
    pub trial: Option<Trial>,
}

/// Settings for trials only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// A relay for all connections to other fronts.
    pub relay: Option<SocketAddr>,
    /// Interval, us, at which the process acts for one of this many viewers and logs it.
    pub acts: Option<(Micros, usize)>,
}

impl Settings {
    /// Reads the block of a file, if it has one.
    ///
    /// # Errors
    /// Invalid settings, with file, line and reason.
    pub fn load(path: &Path) -> Read<Option<Settings>> {
        let document = Document::load(path)?;
        let members = Members::read(&document)?;
        Settings::read(&document, members.as_ref())
    }

    /// Reads the block, if the document has one; it requires `members`.
    ///
    /// # Errors
    /// Invalid settings, with file, line and reason.
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
    let usual = LeaseTimes::default();
    let ms = |name: &str, usual: Micros| -> Read<Micros> {
        Ok(block.or(name, usual / 1000)?.saturating_mul(1000))
    };
    let refuse = match block.one("without-lease")? {
        None => usual.refuse_without_lease,
        Some(node) => match node.argument::<String>()?.as_str() {
            "refuse" => true,
            "go-on" => false,
            other => return Err(node.error(format!("`{other}` is unknown here; known: refuse, go-on"))),
        },
    };
    let times = LeaseTimes {
        lease: ms("lease-ms", usual.lease)?,
        grace: ms("alone-ms", usual.grace)?,
        renew_interval: ms("renew-ms", usual.renew_interval)?,
        drift_ppm: block.or("drift-ppm", usual.drift_ppm)?,
        refuse_without_lease: refuse,
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
    if times.renew_interval < 20_000 || times.renew_interval * 3 > times.lease {
        let reason =
            "`renew-ms` lies from 20 to a third of `lease-ms`: one lost question must not cost the lease";
        return Err(at("renew-ms")?.as_ref().unwrap_or(node).error(reason));
    }
    if times.grace > 3_600_000_000 {
        return Err(at("alone-ms")?.as_ref().unwrap_or(node).error("`alone-ms` lies from 0 to 3600000"));
    }
    if times.drift_ppm > 100_000 {
        return Err(at("drift-ppm")?.as_ref().unwrap_or(node).error("`drift-ppm` lies from 0 to 100000"));
    }
    Ok(())
}
