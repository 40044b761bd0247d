//! The limits that the module keeps so that it can be read; the users have set them at 1,000 lines of 110.

#[test]
fn the_module_stays_readable() {
    let text = include_str!("../src/controller.rs");
    assert!(text.lines().filter(|line| !line.trim().is_empty()).count() <= 1_000);
    assert!(text.lines().all(|line| line.chars().count() <= 110));
    assert!(text.lines().take(3).any(|line| line.contains("src/interface.rs")));
}
