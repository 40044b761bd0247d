//! Mutation testing of guards: each mutation of a list is applied separately to a copy of the sources, the tests are run,
//! and the test that detected the mutation is printed, or that none did. A guard whose removal no test detects is untested,
//! however many tests there are.
#![warn(missing_docs)]

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use clap::Parser;
use salttally_settings::{Document, Node, Read};

/// Mutate guards and verify that a test fails.
///
/// Exit code: 0 if every mutation was caught, 1 if one was not, 2 if a list does not match the sources.
#[derive(Parser)]
#[command(name = "salttally-mutate", version)]
struct Arguments {
    /// Lists of mutations, as KDL
    #[arg(default_values = ["docs/measurements/mutations-doors.kdl", "docs/measurements/mutations-core.kdl"])]
    lists: Vec<PathBuf>,
    /// Only mutations whose name contains this text
    #[arg(long)]
    only: Option<String>,
    /// Folder for the source copy and its builds
    #[arg(long, default_value = "target/mutate", value_name = "FOLDER")]
    work: PathBuf,
    /// Only verify that each mutation matches the sources
    #[arg(long)]
    check: bool,
}

/// A mutation: a text replacement in a source file, and the tests that are to detect it.
struct Mutation {
    name: String,
    file: String,
    from: String,
    to: String,
    package: String,
    tests: Vec<String>,
}

fn read_mutation(node: &Node<'_>) -> Read<Mutation> {
    let block = node.children();
    let mutation = Mutation {
        name: node.argument()?,
        file: block.value("file")?,
        from: block.value("from")?,
        to: block.or("to", String::new())?,
        package: block.or("package", "salttally-front".to_owned())?,
        tests: match block.one("tests")? {
            Some(tests) => tests.arguments()?,
            None => vec!["--lib".to_owned()],
        },
    };
    block.done()?;
    node.done()?;
    Ok(mutation)
}

impl Mutation {
    /// Returns the source file with the mutation applied; the text to replace has to occur exactly once.
    fn mutated_source(&self, root: &Path) -> Result<String, String> {
        let text = fs::read_to_string(root.join(&self.file)).map_err(|e| format!("{}: {e}", self.file))?;
        match text.matches(&self.from).count() {
            1 => Ok(text.replacen(&self.from, &self.to, 1)),
            count => {
                Err(format!("`{}`: the text to replace occurs {count} times in {}", self.name, self.file))
            }
        }
    }
}

fn main() -> ExitCode {
    run(&Arguments::parse()).unwrap_or_else(|error| {
        eprintln!("salttally-mutate: {error}");
        ExitCode::from(2)
    })
}

fn run(arguments: &Arguments) -> Result<ExitCode, Box<dyn Error>> {
    let root = std::env::current_dir()?;
    let mut all = Vec::new();
    for list in &arguments.lists {
        let document = Document::load(list)?;
        let block = document.root();
        all.extend(block.all("mutation").iter().map(read_mutation).collect::<Read<Vec<_>>>()?);
        block.done()?;
    }
    all.retain(|mutation| arguments.only.as_ref().is_none_or(|pattern| mutation.name.contains(pattern)));
    for mutation in &all {
        mutation.mutated_source(&root)?;
    }
    if arguments.check {
        println!("{} mutations, all match the sources", all.len());
        return Ok(ExitCode::SUCCESS);
    }
    let copy = root.join(&arguments.work).join("sources");
    copy_sources(&root, &copy)?;
    println!("| mutation | caught by | moves of the trace |\n| --- | --- | --- |");
    let mut undetected = 0;
    for mutation in &all {
        let path = copy.join(&mutation.file);
        fs::write(&path, mutation.mutated_source(&root)?)?;
        let detection = run_tests(&copy, &root.join(&arguments.work).join("build"), mutation)?;
        fs::copy(root.join(&mutation.file), &path)?;
        undetected += usize::from(detection.is_none());
        let (test, moves) = detection.unwrap_or(("**nothing**".into(), String::new()));
        println!("| {} | {test} | {moves} |", mutation.name);
    }
    eprintln!("{} mutations, {undetected} not caught", all.len());
    Ok(if undetected == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs the tests of a mutation. Returns the first failed test and the number of moves of its trace, if it prints one;
/// `None` if no test failed.
fn run_tests(
    copy: &Path,
    build: &Path,
    mutation: &Mutation,
) -> Result<Option<(String, String)>, Box<dyn Error>> {
    // Cargo is called by name, not by the path of the one that built this program: a toolchain manager then selects the
    // compiler for packages that require a specific one.
    let mut command = Command::new("cargo");
    command.args(["test", "--offline", "--locked", "-p", &mutation.package]).args(&mutation.tests);
    let output =
        command.current_dir(copy).env("CARGO_TARGET_DIR", build).env("RUST_BACKTRACE", "0").output()?;
    if output.status.success() {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    let failed_test = text.lines().find_map(|line| line.strip_prefix("test ")?.strip_suffix(" ... FAILED"));
    let Some(failed_test) = failed_test else {
        // A guard enforced by the compiler needs no test, but then the mutation is useless.
        return Err(format!("`{}` does not build or its tests do not run:\n{text}", mutation.name).into());
    };
    let name = failed_test.rsplit("::").next().unwrap_or(failed_test);
    let moves =
        text.lines().find_map(|line| Some(line.strip_prefix("trace of ")?.split(' ').next()?.to_owned()));
    Ok(Some((format!("`{name}`"), moves.unwrap_or_default())))
}

/// Copies the files that a build needs, without build output.
fn copy_sources(root: &Path, copy: &Path) -> std::io::Result<()> {
    fs::create_dir_all(copy)?;
    for name in ["Cargo.toml", "Cargo.lock", "clippy.toml", "src", "tests", "crates", "docs", "deploy"] {
        copy_recursively(&root.join(name), &copy.join(name))?;
    }
    Ok(())
}

fn copy_recursively(from: &Path, to: &Path) -> std::io::Result<()> {
    if from.is_dir() {
        fs::create_dir_all(to)?;
        for entry in fs::read_dir(from)? {
            let entry = entry?;
            copy_recursively(&entry.path(), &to.join(entry.file_name()))?;
        }
        return Ok(());
    }
    // Unchanged files keep their modification time, so that they are not rebuilt.
    if fs::read(from).ok() != fs::read(to).ok() {
        fs::copy(from, to)?;
    }
    Ok(())
}
