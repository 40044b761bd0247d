//! `salttally explore --growth`: how states grow with each bound, as a table and a chart.

use std::fmt::Write as _;
use std::time::Duration;

use salttally_explore::bounds::{Bounds, Layer};
use salttally_explore::search::{search, Found};

/// One bound, and the values that it takes while the others stay small.
type Row = (&'static str, Vec<(u32, Bounds)>);

fn rows() -> Vec<Row> {
    let module = Bounds { troubles: 1, depth: 60, ..Bounds::small(Layer::Module) };
    let any = Bounds { troubles: 0, wrong: 0, depth: 60, ..Bounds::small(Layer::Anything) };
    let with = |values: &[u32], of: &dyn Fn(u32) -> Bounds| values.iter().map(|v| (*v, of(*v))).collect();
    vec![
        ("troubles, module", with(&[0, 1, 2], &|troubles| Bounds { troubles, ..module.clone() })),
        ("boxes, module", with(&[1, 2, 3, 4], &|boxes| Bounds { boxes, ..module.clone() })),
        ("fronts, module", with(&[1, 2, 3], &|fronts| Bounds { fronts, ..module.clone() })),
        (
            "sessions without trouble, module",
            with(&[1, 2], &|sessions| Bounds { sessions, troubles: 0, ..module.clone() }),
        ),
        ("troubles, any decider", with(&[0, 1, 2], &|troubles| Bounds { troubles, ..any.clone() })),
        ("wrong requests, any decider", with(&[0, 1, 2], &|wrong| Bounds { wrong, ..any.clone() })),
    ]
}

/// Searches them all, each for so long at most; the table as Markdown, the chart as SVG, and whether all held.
pub fn grow(threads: usize, most: usize, within: Duration) -> (String, String, bool) {
    let mut table = String::from(
        "| bound | value | states | seen whole | longest path | states a second | bytes a state |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut lines: Vec<(&str, Vec<(u32, Found)>)> = Vec::new();
    let mut held = true;
    for (name, values) in rows() {
        let mut line = Vec::new();
        for (value, bounds) in values {
            let found = search(&bounds, threads, most, within);
            held &= found.traces.is_empty();
            let _ = writeln!(
                table,
                "| {name} | {value} | {} | {} | {} | {:.0} | {} |",
                found.states,
                if found.whole { "yes" } else { "no" },
                found.longest,
                found.states as f64 / found.seconds.max(1e-9),
                found.bytes
            );
            line.push((value, found));
        }
        lines.push((name, line));
    }
    let chart = chart(&lines);
    (table, chart, held)
}

/// States over each bound, on a scale of powers of ten; a search that did not end is a hollow point.
fn chart(lines: &[(&str, Vec<(u32, Found)>)]) -> String {
    const COLOURS: [&str; 6] = ["#1b6ca8", "#c8553d", "#588157", "#8d5a97", "#b08900", "#555555"];
    let x = |value: u32| 70.0 + 110.0 * f64::from(value);
    let y = |states: usize| 330.0 - 45.0 * (states.max(1) as f64).log10();
    let mut svg = String::from(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"800\" height=\"380\" font-family=\"sans-serif\" \
         font-size=\"12\">\n<rect width=\"800\" height=\"380\" fill=\"white\"/>\n",
    );
    for power in 0..=7u32 {
        let at = y(10usize.pow(power));
        let _ = writeln!(
            svg,
            "<path d=\"M60 {at:.1}H520\" stroke=\"#ddd\"/><text x=\"52\" y=\"{:.1}\" text-anchor=\"end\">1e{power}</text>",
            at + 4.0
        );
    }
    for value in 0..=4u32 {
        let _ = writeln!(svg, "<text x=\"{:.1}\" y=\"350\" text-anchor=\"middle\">{value}</text>", x(value));
    }
    svg += "<text x=\"290\" y=\"370\" text-anchor=\"middle\">value of the bound</text>\n\
            <text x=\"60\" y=\"12\">different states</text>\n";
    for (at, (name, points)) in lines.iter().enumerate() {
        let colour = COLOURS[at % COLOURS.len()];
        let path: Vec<String> =
            points.iter().map(|(value, found)| format!("{:.1},{:.1}", x(*value), y(found.states))).collect();
        let _ = writeln!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>",
            path.join(" ")
        );
        for (value, found) in points {
            let fill = if found.whole { colour } else { "white" };
            let _ = writeln!(
                svg,
                "<circle cx=\"{:.1}\" cy=\"{:.1}\" r=\"4\" fill=\"{fill}\" stroke=\"{colour}\"/>",
                x(*value),
                y(found.states)
            );
        }
        let _ = writeln!(svg, "<text x=\"540\" y=\"{}\" fill=\"{colour}\">{name}</text>", 40 + at * 22);
    }
    svg + "<text x=\"540\" y=\"190\">hollow: stopped by its limits</text>\n</svg>\n"
}
