//! Each property of membership is broken by a history that violates it, and by no other.

use salttally_judge::members::{judge, Property};
use serde_json::{json, Value};

/// Judges a trial of three fronts that have each other in their views, followed by the lines of `more`; returns the
/// properties broken.
fn violations(more: Vec<Value>) -> Vec<Property> {
    let mut lines = vec![
        json!({"at": 0, "truth": "trial", "removed_us": 3_000_000, "equal_us": 5_000_000, "borne_us": 600_000}),
    ];
    for front in ["a", "b", "c"] {
        lines.push(json!({"at": 1, "truth": "up", "front": front}));
        lines.push(json!({"at": 1, "front": front, "starts": 7}));
        lines.push(view(1_000, front, 3, &["a", "b", "c"], &[]));
    }
    lines.extend(more);
    lines.push(json!({"at": 20_000_000, "truth": "end"}));
    let mut broken: Vec<Property> = judge(&lines).broken.into_iter().map(|(property, _)| property).collect();
    broken.dedup();
    broken
}

fn view(at: u64, front: &str, number: u64, members: &[&str], gone: &[&str]) -> Value {
    let gone: Vec<Value> = gone.iter().map(|name| json!([name, "unreached"])).collect();
    json!({"at": at, "front": front, "view": number, "digest": members.join("-"), "members": members, "gone": gone})
}

fn truth(at: u64, truth: &str, front: &str) -> Value {
    json!({"at": at, "truth": truth, "front": front})
}

const SECOND: u64 = 1_000_000;

#[test]
fn a_correct_history_breaks_no_property() {
    let calm = json!({"at": 8 * SECOND, "truth": "calm"});
    assert_eq!(violations(vec![calm.clone()]), []);
    let mut all = vec![truth(5 * SECOND, "down", "c"), calm];
    for front in ["a", "b"] {
        all.push(view(7 * SECOND, front, 4, &["a", "b"], if front == "a" { &["c"] } else { &[] }));
    }
    assert_eq!(violations(all), []);
}

#[test]
fn removal_of_a_front_that_a_majority_reaches_is_a_violation() {
    let removed = view(7 * SECOND, "a", 4, &["a", "b"], &["c"]);
    assert_eq!(violations(vec![removed.clone()]), [Property::NoneReachedIsRemoved]);
    // A front may be removed if it was stopped for longer than tolerated, or is reached by nobody but itself.
    let stopped = vec![truth(6 * SECOND, "stopped", "c"), truth(8 * SECOND, "running", "c"), removed.clone()];
    assert_eq!(violations(stopped), []);
    let short =
        vec![truth(6 * SECOND, "stopped", "c"), truth(6 * SECOND + 500_000, "running", "c"), removed.clone()];
    assert_eq!(violations(short), [Property::NoneReachedIsRemoved]);
    let cut =
        |from: &str, to: &str| json!({"at": 5 * SECOND, "truth": "cut", "from": from, "to": to, "on": true});
    assert_eq!(
        violations(vec![cut("c", "a"), removed.clone()]),
        [Property::NoneReachedIsRemoved],
        "one link is no majority"
    );
    assert_eq!(violations(vec![cut("c", "a"), cut("b", "c"), removed]), []);
}

#[test]
fn a_crashed_front_that_stays_in_a_view_is_a_violation() {
    let down = truth(5 * SECOND, "down", "c");
    let left = |at| view(at, "a", 4, &["a", "b"], &[]);
    assert_eq!(violations(vec![down.clone(), left(7 * SECOND)]), [Property::CrashesLeaveViews], "b keeps it");
    let late = vec![down.clone(), left(7 * SECOND), view(9 * SECOND, "b", 4, &["a", "b"], &[])];
    assert_eq!(violations(late), [Property::CrashesLeaveViews]);
    let back = vec![down, truth(6 * SECOND, "up", "c")];
    assert_eq!(violations(back), [], "it is back before that");
}

#[test]
fn views_that_stay_unequal_or_keep_changing_are_a_violation() {
    let calm = json!({"at": 8 * SECOND, "truth": "calm"});
    let lacks = vec![view(7 * SECOND, "a", 4, &["a", "b"], &[]), calm.clone()];
    assert_eq!(violations(lacks), [Property::ViewsBecomeEqual]);
    let late = vec![
        calm,
        view(14 * SECOND, "a", 4, &["a", "b"], &[]),
        view(15 * SECOND, "a", 5, &["a", "b", "c"], &[]),
    ];
    assert_eq!(violations(late), [Property::ViewsBecomeEqual]);
}

#[test]
fn a_decreasing_view_number_and_a_duplicate_name_are_violations() {
    assert_eq!(violations(vec![view(7 * SECOND, "a", 2, &["a", "b"], &[])]), [Property::ViewsGrow]);
    let restarted = vec![
        truth(5 * SECOND, "down", "a"),
        truth(6 * SECOND, "up", "a"),
        json!({"at": 6 * SECOND, "front": "a", "starts": 8}),
        view(7 * SECOND, "a", 2, &["a", "b", "c"], &[]),
    ];
    assert_eq!(violations(restarted), [], "a restarted front doesn't know its previous view");
    assert_eq!(
        violations(vec![view(7 * SECOND, "a", 5, &["a", "a", "b", "c"], &[])]),
        [Property::NamesAreOnce]
    );
    let mut other = view(7 * SECOND, "a", 5, &["a", "b"], &[]);
    other["digest"] = json!("a-b-c");
    assert_eq!(violations(vec![other]), [Property::NamesAreOnce], "one digest, two views");
}
