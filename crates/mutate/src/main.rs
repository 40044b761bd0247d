//! Breaks guards on purpose: each mutation of a list is made alone in a copy of the sources, the tests are run, and
//! what is printed tells which test caught it, or that none did. A guard whose removal no test notices is not
//! guarded, however many tests there are.
#![warn(missing_docs)]

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use clap::Parser;
use salttally_settings::{Document, Node, Read};

/// Break guards on purpose and see that a test falls.
///
/// Exit 0 if every mutation was caught, 1 if one was not, 2 if the list does not fit the sources.
#[derive(Parser)]
#[command(name = "salttally-mutate", version)]
struct Arguments {
    /// Lists of mutations, as KDL
    #[arg(default_values = ["docs/measurements/mutations-doors.kdl", "docs/measurements/mutations-core.kdl"])]
    lists: Vec<PathBuf>,
    /// Only mutations whose name holds this
    #[arg(long)]
    only: Option<String>,
    /// Where the copies and their builds go
    #[arg(long, default_value = "target/mutate", value_name = "FOLDER")]
    work: PathBuf,
    /// Only look whether each mutation still fits the sources
    #[arg(long)]
    check: bool,
}

struct Mutation {
    name: String,
    file: String,
    from: String,
    to: String,
    package: String,
    tests: Vec<String>,
}

fn mutation(node: &Node<'_>) -> Read<Mutation> {
    let inner = node.children();
    let mutation = Mutation {
        name: node.argument()?,
        file: inner.value("file")?,
        from: inner.value("from")?,
        to: inner.or("to", String::new())?,
        package: inner.or("package", "salttally-front".to_owned())?,
        tests: match inner.one("tests")? {
            Some(tests) => tests.arguments()?,
            None => vec!["--lib".to_owned()],
        },
    };
    inner.done()?;
    node.done()?;
    Ok(mutation)
}

impl Mutation {
    /// The file with the guard broken; the place must be there once.
    fn made(&self, root: &Path) -> Result<String, String> {
        let text = fs::read_to_string(root.join(&self.file)).map_err(|e| format!("{}: {e}", self.file))?;
        match text.matches(&self.from).count() {
            1 => Ok(text.replacen(&self.from, &self.to, 1)),
            count => Err(format!("`{}`: its place stands {count} times in {}", self.name, self.file)),
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
        all.extend(block.all("mutation").iter().map(mutation).collect::<Read<Vec<_>>>()?);
        block.done()?;
    }
    all.retain(|mutation| arguments.only.as_ref().is_none_or(|part| mutation.name.contains(part)));
    for mutation in &all {
        mutation.made(&root)?;
    }
    if arguments.check {
        println!("{} mutations, each fits the sources", all.len());
        return Ok(ExitCode::SUCCESS);
    }
    let copy = root.join(&arguments.work).join("sources");
    copy_sources(&root, &copy)?;
    println!("| what was broken | caught by | moves of the trace |\n| --- | --- | --- |");
    let mut missed = 0;
    for mutation in &all {
        let path = copy.join(&mutation.file);
        fs::write(&path, mutation.made(&root)?)?;
        let caught = test(&copy, &root.join(&arguments.work).join("build"), mutation)?;
        fs::copy(root.join(&mutation.file), &path)?;
        missed += usize::from(caught.is_none());
        let (by, moves) = caught.unwrap_or(("**nothing**".into(), String::new()));
        println!("| {} | {by} | {moves} |", mutation.name);
    }
    eprintln!("{} mutations, {missed} not caught", all.len());
    Ok(if missed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// The test that fell first, and how long its trace is where it tells one.
fn test(copy: &Path, build: &Path, of: &Mutation) -> Result<Option<(String, String)>, Box<dyn Error>> {
    // By its name, not by the path of the one that built this: a toolchain manager answers to the name, and settles which
    // compiler is meant for packages that ask for one of their own.
    let mut command = Command::new("cargo");
    command.args(["test", "--offline", "--locked", "-p", &of.package]).args(&of.tests);
    let ran = command.current_dir(copy).env("CARGO_TARGET_DIR", build).env("RUST_BACKTRACE", "0").output()?;
    if ran.status.success() {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&ran.stdout) + String::from_utf8_lossy(&ran.stderr);
    let fell = text.lines().find_map(|line| line.strip_prefix("test ")?.strip_suffix(" ... FAILED"));
    let Some(fell) = fell else {
        // A guard that the compiler keeps is the best guarded, but then the mutation shows nothing.
        return Err(format!("`{}` does not build or its tests do not run:\n{text}", of.name).into());
    };
    let name = fell.rsplit("::").next().unwrap_or(fell);
    let moves =
        text.lines().find_map(|line| Some(line.strip_prefix("trace of ")?.split(' ').next()?.to_owned()));
    Ok(Some((format!("`{name}`"), moves.unwrap_or_default())))
}

/// Copies what a build needs, and nothing that it makes.
fn copy_sources(root: &Path, copy: &Path) -> std::io::Result<()> {
    fs::create_dir_all(copy)?;
    for name in ["Cargo.toml", "Cargo.lock", "clippy.toml", "src", "tests", "crates", "docs", "deploy"] {
        copy_all(&root.join(name), &copy.join(name))?;
    }
    Ok(())
}

fn copy_all(from: &Path, to: &Path) -> std::io::Result<()> {
    if from.is_dir() {
        fs::create_dir_all(to)?;
        for entry in fs::read_dir(from)? {
            let entry = entry?;
            copy_all(&entry.path(), &to.join(entry.file_name()))?;
        }
        return Ok(());
    }
    // What has not changed keeps its time, so that it is not built anew.
    if fs::read(from).ok() != fs::read(to).ok() {
        fs::copy(from, to)?;
    }
    Ok(())
}
