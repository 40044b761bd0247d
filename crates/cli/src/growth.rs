//! `salttally explore --growth`: growth of the number of states with each bound, as a table and a chart.

use std::fmt::Write as _;
use std::time::Duration;

use salttally_explore::bounds::{Bounds, Layer};
use salttally_explore::search::{search, SearchResult};

/// The name of a bound, and its values with the bounds to search; the other bounds stay small.
type Series = (&'static str, Vec<(u32, Bounds)>);

fn series() -> Vec<Series> {
    let module = Bounds { max_faults: 1, depth: 60, ..Bounds::small(Layer::Module) };
    let any = Bounds { max_faults: 0, max_wrong_requests: 0, depth: 60, ..Bounds::small(Layer::Anything) };
    let bounds_for = |values: &[u32], bounds_of: &dyn Fn(u32) -> Bounds| {
        values.iter().map(|v| (*v, bounds_of(*v))).collect()
    };
    vec![
        ("faults, module", bounds_for(&[0, 1, 2], &|max_faults| Bounds { max_faults, ..module.clone() })),
        ("boxes, module", bounds_for(&[1, 2, 3, 4], &|boxes| Bounds { boxes, ..module.clone() })),
        ("fronts, module", bounds_for(&[1, 2, 3], &|fronts| Bounds { fronts, ..module.clone() })),
        (
            "sessions without faults, module",
            bounds_for(&[1, 2], &|sessions| Bounds { sessions, max_faults: 0, ..module.clone() }),
        ),
        ("faults, any decider", bounds_for(&[0, 1, 2], &|max_faults| Bounds { max_faults, ..any.clone() })),
        (
            "invalid requests, any decider",
            bounds_for(&[0, 1, 2], &|max_wrong_requests| Bounds { max_wrong_requests, ..any.clone() }),
        ),
    ]
}

/// Searches each series, with limits for each search. Returns the table as Markdown, the chart as SVG, and whether all
/// properties held.
pub fn measure_growth(threads: usize, max_states: usize, time_limit: Duration) -> (String, String, bool) {
    let mut table = String::from(
        "| bound | value | states | exhaustive | longest path | states per second | bytes per state |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut curves: Vec<(&str, Vec<(u32, SearchResult)>)> = Vec::new();
    let mut all_held = true;
    for (name, values) in series() {
        let mut points = Vec::new();
        for (value, bounds) in values {
            let result = search(&bounds, threads, max_states, time_limit);
            all_held &= result.traces.is_empty();
            let _ = writeln!(
                table,
                "| {name} | {value} | {} | {} | {} | {:.0} | {} |",
                result.states,
                if result.exhaustive { "yes" } else { "no" },
                result.longest,
                result.states as f64 / result.seconds.max(1e-9),
                result.bytes
            );
            points.push((value, result));
        }
        curves.push((name, points));
    }
    let chart = chart(&curves);
    (table, chart, all_held)
}

/// Draws the number of states over each bound on a logarithmic scale; a search that was stopped at a limit is a hollow
/// point.
fn chart(curves: &[(&str, Vec<(u32, SearchResult)>)]) -> String {
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
            <text x=\"60\" y=\"12\">distinct states</text>\n";
    for (at, (name, points)) in curves.iter().enumerate() {
        let colour = COLOURS[at % COLOURS.len()];
        let path: Vec<String> = points
            .iter()
            .map(|(value, result)| format!("{:.1},{:.1}", x(*value), y(result.states)))
            .collect();
        let _ = writeln!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>",
            path.join(" ")
        );
        for (value, result) in points {
            let fill = if result.exhaustive { colour } else { "white" };
            let _ = writeln!(
                svg,
                "<circle cx=\"{:.1}\" cy=\"{:.1}\" r=\"4\" fill=\"{fill}\" stroke=\"{colour}\"/>",
                x(*value),
                y(result.states)
            );
        }
        let _ = writeln!(svg, "<text x=\"540\" y=\"{}\" fill=\"{colour}\">{name}</text>", 40 + at * 22);
    }
    svg + "<text x=\"540\" y=\"190\">hollow: stopped at a limit</text>\n</svg>\n"
}
