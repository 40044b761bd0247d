//! Timeline of a trial as SVG, with a row for each front. The band shows the actual state (green up, grey down, blue
//! paused); the line in it shows the share of running fronts whose view contains the front. A takeover is drawn as a line
//! from the previous owner to the successor, with the number of sessions.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde_json::Value;

/// Dimensions in SVG units.
const WIDTH: f64 = 1000.0;
const LEFT: f64 = 60.0;
const ROW: f64 = 18.0;
/// Number of time steps drawn.
const STEPS: usize = 500;

/// Draws the history lines of a trial.
pub fn svg(lines: &[Value]) -> String {
    let end = lines.iter().filter_map(|line| line["at"].as_u64()).max().unwrap_or(1).max(1);
    let fronts: Vec<String> = lines
        .iter()
        .find_map(|line| line["fronts"].as_array())
        .map(|all| all.iter().filter_map(|name| name.as_str().map(str::to_owned)).collect())
        .unwrap_or_default();
    let mut sorted: Vec<&Value> = lines.iter().collect();
    sorted.sort_by_key(|line| line["at"].as_u64().unwrap_or(0));
    let row_of_front: BTreeMap<&str, usize> =
        fronts.iter().enumerate().map(|(at, name)| (name.as_str(), at)).collect();
    let count = fronts.len();
    let mut state = vec![0u8; count];
    let mut views = vec![vec![false; count]; count];
    let (mut calm, mut next) = (None, 0);
    let x = |step: usize| LEFT + WIDTH * step as f64 / STEPS as f64;
    let mut bands: Vec<Vec<u8>> = vec![Vec::with_capacity(STEPS); count];
    let mut shares: Vec<Vec<f64>> = vec![Vec::with_capacity(STEPS); count];
    for step in 0..STEPS {
        let until = end * (step as u64 + 1) / STEPS as u64;
        while let Some(line) = sorted.get(next).filter(|line| line["at"].as_u64().unwrap_or(0) <= until) {
            next += 1;
            if line["truth"] == "calm" {
                calm = Some(step);
            }
            let Some(front) = line["front"].as_str().and_then(|name| row_of_front.get(name)).copied() else {
                continue;
            };
            match line["truth"].as_str() {
                Some("up" | "running") => state[front] = 1,
                Some("down") => {
                    state[front] = 0;
                    views[front].fill(false);
                }
                Some("stopped") => state[front] = 2,
                _ => {}
            }
            if let Some(members) = line["members"].as_array() {
                views[front].fill(false);
                for other in members.iter().filter_map(|name| row_of_front.get(name.as_str()?)) {
                    views[front][*other] = true;
                }
            }
        }
        let running: Vec<usize> = (0..count).filter(|front| state[*front] == 1).collect();
        for front in 0..count {
            let believers = running.iter().filter(|other| views[**other][front]).count();
            bands[front].push(state[front]);
            shares[front].push(believers as f64 / running.len().max(1) as f64);
        }
    }
    let height = ROW * count as f64 + 40.0;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {} {height}\" font-family=\"sans-serif\" \
         font-size=\"10\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
        WIDTH + LEFT + 20.0
    );
    for (front, name) in fronts.iter().enumerate() {
        let top = 10.0 + ROW * front as f64;
        let _ = writeln!(svg, "<text x=\"5\" y=\"{}\">{name}</text>", top + 12.0);
        let mut from = 0;
        for step in 1..=STEPS {
            if step == STEPS || bands[front][step] != bands[front][from] {
                let colour = ["#cccccc", "#c9e7c9", "#b9cdf2"][usize::from(bands[front][from])];
                let _ = writeln!(
                    svg,
                    "<rect x=\"{:.1}\" y=\"{top}\" width=\"{:.1}\" height=\"{}\" fill=\"{colour}\"/>",
                    x(from),
                    x(step) - x(from),
                    ROW - 3.0
                );
                from = step;
            }
        }
        let points: String = shares[front]
            .iter()
            .enumerate()
            .map(|(step, share)| format!("{:.1},{:.1} ", x(step), top + (ROW - 3.0) * (1.0 - share)))
            .collect();
        let _ = writeln!(svg, "<polyline points=\"{points}\" fill=\"none\" stroke=\"#a02020\"/>");
    }
    let x_at = |at: u64| LEFT + WIDTH * at as f64 / end as f64;
    let middle = |front: usize| 10.0 + ROW * front as f64 + (ROW - 3.0) / 2.0;
    let mut takeovers: BTreeMap<(u64, usize), usize> = BTreeMap::new();
    for line in &sorted {
        let (Some(incarnation), Some(successor)) = (line["adopts"].as_str(), line["front"].as_str()) else {
            continue;
        };
        let owner = incarnation.split('-').next().unwrap_or(incarnation);
        let (Some(from), Some(to)) = (row_of_front.get(owner).copied(), row_of_front.get(successor).copied())
        else {
            continue;
        };
        let at = line["at"].as_u64().unwrap_or(0);
        *takeovers.entry((at, to)).or_default() += line["sessions"].as_array().map_or(0, Vec::len);
        let x = x_at(at);
        let _ = writeln!(
            svg,
            "<line x1=\"{x:.1}\" x2=\"{x:.1}\" y1=\"{:.1}\" y2=\"{:.1}\" stroke=\"#1a1a8c\" stroke-width=\"1.5\"/>",
            middle(from),
            middle(to)
        );
    }
    for ((at, to), sessions) in takeovers {
        let (x, y) = (x_at(at), middle(to));
        let _ = writeln!(
            svg,
            "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"3\" fill=\"#1a1a8c\"/>\n\
             <text x=\"{:.1}\" y=\"{:.1}\" fill=\"#1a1a8c\">{sessions}</text>",
            x + 5.0,
            y + 4.0
        );
    }
    if let Some(step) = calm {
        let at = x(step);
        let _ = writeln!(
            svg,
            "<line x1=\"{at}\" x2=\"{at}\" y1=\"5\" y2=\"{}\" stroke=\"black\" stroke-dasharray=\"3\"/>",
            height - 25.0
        );
    }
    for part in 0..=10 {
        let _ = writeln!(
            svg,
            "<text x=\"{:.0}\" y=\"{}\" text-anchor=\"middle\">{:.1} s</text>",
            LEFT + WIDTH * f64::from(part) / 10.0,
            height - 8.0,
            end as f64 / 1e6 * f64::from(part) / 10.0
        );
    }
    svg.push_str("</svg>\n");
    svg
}
