//! Rules in KDL, as operators write them: parser and formatter.

use std::fmt::Write as _;

use salttally_settings::{Document, Node, Read};

use crate::core::rules::{ClassTerms, Limit, Order, RefusedParty, Rules};

/// Parses a rules file.
///
/// # Errors
/// Invalid rules, with file, line and reason.
pub fn read(document: &Document) -> Read<Rules> {
    let root = document.root();
    let mut rules = Rules::default();
    let twice = |node: &Node<'_>, what: &str| node.error(format!("{what} stands twice"));
    for node in root.all("class") {
        let name: String = node.argument()?;
        let usual = ClassTerms::default();
        let terms = ClassTerms {
            open: node.or("open", usual.open)?,
            top_rung: node.or("top-rung", usual.top_rung)?,
            seats: node.or("seats", usual.seats)?,
            ends: node.or("ends", usual.ends)?,
        };
        if terms.ends && terms.open {
            return Err(node.error("sessions end only where the class is not open: `ends` wants open=#false"));
        }
        node.done()?;
        if rules.classes.insert(name.clone(), terms).is_some() {
            return Err(twice(&node, &format!("class `{name}`")));
        }
    }
    if let Some(node) = root.one("ladder")? {
        rules.ladder = Some(node.need("top-rung")?);
        node.done()?;
    }
    for node in root.all("limit") {
        let name: String = node.argument()?;
        let known = [Limit::SessionsPerFront, Limit::SessionsPerViewer];
        let Some(limit) = known.into_iter().find(|limit| limit.name() == name) else {
            let names = known.map(Limit::name).join(", ");
            return Err(node.error(format!("`{name}` is no limit; known: {names}")));
        };
        let most = node.need("most")?;
        node.done()?;
        if rules.limits.insert(limit, most).is_some() {
            return Err(twice(&node, &format!("limit `{name}`")));
        }
    }
    for node in root.all("title") {
        let name: String = node.need("name")?;
        let cells = node.arguments::<u32>()?.into_iter().collect();
        node.done()?;
        if rules.titles.insert(name.clone(), cells).is_some() {
            return Err(twice(&node, &format!("title `{name}`")));
        }
    }
    if let Some(node) = root.one("closed-cells")? {
        rules.closed = node.arguments::<u32>()?.into_iter().collect();
        node.done()?;
    }
    for node in root.all("refuse") {
        let who = match (node.maybe::<String>("firm")?, node.maybe::<String>("viewer")?) {
            (Some(firm), None) => RefusedParty::Tenant(firm),
            (None, Some(viewer)) => RefusedParty::Viewer(viewer),
            _ => return Err(node.error("`refuse` wants a firm or a viewer, as refuse firm=\"acme\"")),
        };
        node.done()?;
        if !rules.refused.insert(who.clone()) {
            return Err(twice(&node, &format!("{who}")));
        }
    }
    for node in root.all("box") {
        let name: String = node.need("name")?;
        let order = match node.argument::<String>()?.as_str() {
            "hold" => Order::Hold,
            "drain" => Order::Drain,
            other => return Err(node.error(format!("`{other}` is no order; known: hold, drain"))),
        };
        node.done()?;
        if rules.boxes.insert(name.clone(), order).is_some() {
            return Err(twice(&node, &format!("box `{name}`")));
        }
    }
    root.done()?;
    Ok(rules.normalized())
}

/// Formats rules as KDL, one line for each.
pub fn write(rules: &Rules) -> String {
    let mut text = String::new();
    let mut line = |line: String| {
        let _ = writeln!(text, "{line}");
    };
    let usual = ClassTerms::default();
    for (name, terms) in &rules.classes {
        let mut said = format!("class {name:?}");
        if terms.open != usual.open {
            said.push_str(" open=#false");
        }
        if terms.top_rung != usual.top_rung {
            let _ = write!(said, " top-rung={}", terms.top_rung);
        }
        if terms.seats != usual.seats {
            let _ = write!(said, " seats={}", terms.seats);
        }
        if terms.ends != usual.ends {
            said.push_str(" ends=#true");
        }
        line(said);
    }
    rules.ladder.iter().for_each(|top| line(format!("ladder top-rung={top}")));
    rules.limits.iter().for_each(|(limit, most)| line(format!("limit \"{limit}\" most={most}")));
    for (name, cells) in &rules.titles {
        let cells: String = cells.iter().map(|cell| format!(" {cell}")).collect();
        line(format!("title{cells} name={name:?}"));
    }
    if !rules.closed.is_empty() {
        let cells: String = rules.closed.iter().map(|cell| format!(" {cell}")).collect();
        line(format!("closed-cells{cells}"));
    }
    for who in &rules.refused {
        line(match who {
            RefusedParty::Tenant(name) => format!("refuse firm={name:?}"),
            RefusedParty::Viewer(name) => format!("refuse viewer={name:?}"),
        });
    }
    for (name, order) in &rules.boxes {
        let order = match order {
            Order::Hold => "hold",
            Order::Drain => "drain",
        };
        line(format!("box \"{order}\" name={name:?}"));
    }
    text
}
