//! Tests that are known to fail for a real fault: a short list in the repository. They are run with all others
//! and printed with their results; any other failure, and any fault of the list itself, fails the check.

use crate::file_error::FileError;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::Path;
use std::process::Command;
use thiserror::Error;

/// Lines that the list may have: what fails is mended, not collected.
pub const MAX_LISTED: usize = 3;

/// Why the list is refused, or the tests fail in spite of it. Lines are counted from 1.
#[derive(Debug, Error)]
pub enum KnownRedError {
    /// The list can't be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The list is too long.
    #[error("line {line}: at most {MAX_LISTED} tests may be listed")]
    TooMany {
        /// The first line too many.
        line: usize,
    },
    /// A line without one of its fields.
    #[error("line {line}: {field} is missing")]
    MissingField {
        /// The line's number.
        line: usize,
        /// The field's name.
        field: &'static str,
    },
    /// A line whose test is not named in full.
    #[error("line {line}: test is not PACKAGE/TARGET/TEST")]
    TestName {
        /// The line's number.
        line: usize,
    },
    /// A test that an earlier line has.
    #[error("line {line}: {test} is listed twice")]
    Duplicate {
        /// The later line's number.
        line: usize,
        /// The test.
        test: Test,
    },
    /// A target crashed, or was not built.
    #[error("{0} ended without a result")]
    NoResult(String),
    /// A test failed that is not known to.
    #[error("{0} failed and is not listed")]
    NotListed(Test),
    /// A package was not built, as an example.
    #[error("cargo test failed, though no test did")]
    Unexplained,
    /// A listed test did not run.
    #[error("{0} is listed and does not exist")]
    NoSuchTest(Test),
    /// A command can't be run.
    #[error("{command}: {source}")]
    Command {
        /// The command line.
        command: String,
        /// Why.
        source: io::Error,
    },
    /// What `cargo metadata` printed can't be read.
    #[error(transparent)]
    Metadata(#[from] serde_json::Error),
}

/// A test by its package, its target (`lib`, or the file under `tests`) and its whole name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Test {
    /// The package's name.
    pub package: String,
    /// `lib`, `doc`, or the file's name without its ending.
    pub target: String,
    /// The test's name with its modules.
    pub name: String,
}

impl fmt::Display for Test {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}/{}", self.package, self.target, self.name)
    }
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownFailure {
    /// The test.
    pub test: Test,
    /// The fault that makes it fail.
    pub cause: String,
    /// Where that is tracked.
    pub issue: String,
}

/// Reads the list: one line each, `PACKAGE/TARGET/TEST, cause, issue`.
///
/// # Errors
///
/// Names the first line that is wrong.
pub fn parse_list(text: &str) -> Result<Vec<KnownFailure>, KnownRedError> {
    let mut listed: Vec<KnownFailure> = Vec::new();
    for (i, text) in text.lines().enumerate() {
        let line = i + 1;
        if line > MAX_LISTED {
            return Err(KnownRedError::TooMany { line });
        }
        let known = parse_line(line, text)?;
        if listed.iter().any(|earlier| earlier.test == known.test) {
            let test = known.test;
            return Err(KnownRedError::Duplicate { line, test });
        }
        listed.push(known);
    }
    Ok(listed)
}

fn parse_line(line: usize, text: &str) -> Result<KnownFailure, KnownRedError> {
    let (test, rest) = text.split_once(',').unwrap_or((text, ""));
    let (cause, issue) = rest.rsplit_once(',').unwrap_or((rest, ""));
    let fields = [("test", test), ("cause", cause), ("issue", issue)];
    if let Some((field, _)) = fields.iter().find(|(_, value)| value.trim().is_empty()) {
        return Err(KnownRedError::MissingField { line, field });
    }
    let parts: Vec<&str> = test.trim().split('/').collect();
    let [package, target, name] = parts[..] else {
        return Err(KnownRedError::TestName { line });
    };
    Ok(KnownFailure {
        test: Test {
            package: package.into(),
            target: target.into(),
            name: name.into(),
        },
        cause: cause.trim().into(),
        issue: issue.trim().into(),
    })
}

/// What `cargo test` of one package printed, target by target.
#[derive(Debug, Default, PartialEq)]
pub struct PackageRun {
    /// Whether each test passed.
    pub tests: BTreeMap<Test, bool>,
    /// Whether `cargo test` itself ended well.
    pub succeeded: bool,
    /// Targets that ended without saying how their tests went: they crashed, or were not built.
    pub broken: Vec<String>,
}

/// Reads what a package's tests printed, standard output and errors in order.
pub fn parse_output(package: &str, output: &str, succeeded: bool) -> PackageRun {
    let mut ran = PackageRun {
        succeeded,
        ..PackageRun::default()
    };
    let mut open: Option<String> = None;
    for line in output.lines() {
        if let Some(target) = target_of(line) {
            ran.broken.extend(open.replace(target));
        } else if line.starts_with("test result: ") {
            open = None;
        } else if let (Some(target), Some((name, passed))) = (&open, result_of(line)) {
            let test = Test {
                package: package.into(),
                target: target.clone(),
                name: name.into(),
            };
            ran.tests.insert(test, passed);
        }
    }
    ran.broken.extend(open);
    ran
}

fn target_of(line: &str) -> Option<String> {
    let line = line.trim_start();
    if line.starts_with("Doc-tests ") {
        return Some("doc".into());
    }
    let file = line.strip_prefix("Running ")?;
    let file = file.strip_prefix("unittests ").unwrap_or(file);
    let file = Path::new(file.split(" (").next()?);
    let stem = file.file_stem()?.to_str()?;
    Some(stem.to_string())
}

fn result_of(line: &str) -> Option<(&str, bool)> {
    let (name, result) = line.strip_prefix("test ")?.rsplit_once(" ... ")?;
    let name = name.strip_suffix(" - should panic").unwrap_or(name);
    match result.split(',').next()? {
        "ok" => Some((name, true)),
        "FAILED" => Some((name, false)),
        _ => None,
    }
}

/// Whether all is well but the tests that are listed: the lines to be printed.
///
/// # Errors
///
/// The first thing that is wrong.
pub fn judge(listed: &[KnownFailure], runs: &[PackageRun]) -> Result<Vec<String>, KnownRedError> {
    let is_listed = |test: &Test| listed.iter().any(|known| known.test == *test);
    let tests = || runs.iter().flat_map(|run| &run.tests);
    if let Some(target) = runs.iter().flat_map(|run| &run.broken).next() {
        return Err(KnownRedError::NoResult(target.clone()));
    }
    if let Some((test, _)) = tests().find(|(test, passed)| !**passed && !is_listed(test)) {
        return Err(KnownRedError::NotListed(test.clone()));
    }
    let unexplained = |run: &PackageRun| !run.succeeded && run.tests.values().all(|passed| *passed);
    if runs.iter().any(unexplained) {
        return Err(KnownRedError::Unexplained);
    }
    let line = |known: &KnownFailure| {
        let Some((test, passed)) = tests().find(|(test, _)| **test == known.test) else {
            return Err(KnownRedError::NoSuchTest(known.test.clone()));
        };
        let result = if *passed { "passed" } else { "failed" };
        let (cause, issue) = (&known.cause, &known.issue);
        Ok(format!("known red: {test}: {result}; {cause}; {issue}"))
    };
    listed.iter().map(line).collect()
}

/// Packages of the workspace.
fn packages() -> Result<Vec<String>, KnownRedError> {
    let mut cargo = Command::new("cargo");
    cargo.args(["metadata", "--no-deps", "--locked", "--format-version", "1"]);
    let out = cargo.output().map_err(command_error("cargo metadata"))?;
    let metadata: Value = serde_json::from_slice(&out.stdout)?;
    let packages = metadata["packages"].as_array().into_iter().flatten();
    let names = packages.filter_map(|package| package["name"].as_str());
    Ok(names.map(str::to_string).collect())
}

fn command_error(command: &str) -> impl Fn(io::Error) -> KnownRedError + '_ {
    |source| KnownRedError::Command {
        command: command.to_string(),
        source,
    }
}

/// Runs all tests; those that are listed are printed, all others must pass.
///
/// # Errors
///
/// The first thing that is wrong, of the list or of the tests.
pub fn check(list: &Path) -> Result<Vec<String>, KnownRedError> {
    let text = std::fs::read_to_string(list).map_err(FileError::at(list))?;
    let listed = parse_list(&text)?;
    let mut runs = Vec::new();
    for package in packages()? {
        // In one stream, so that each target's results follow its name.
        let command = format!("cargo test --locked --no-fail-fast -p {package} 2>&1");
        let out = Command::new("sh").args(["-c", &command]).output();
        let out = out.map_err(command_error(&command))?;
        let output = String::from_utf8_lossy(&out.stdout);
        print!("{output}");
        runs.push(parse_output(&package, &output, out.status.success()));
    }
    judge(&listed, &runs)
}
