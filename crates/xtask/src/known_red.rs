//! Checks the tests against a short list of known failures in the repository. All tests run; the listed ones are
//! printed with their results. Any other failure, or an invalid list, fails the check.

use crate::file_error::FileError;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::Path;
use std::process::Command;
use thiserror::Error;

/// Largest number of lines of the list, so that failures are fixed and not collected.
pub const MAX_LISTED: usize = 3;
/// The fields of a line in the long form, each with its position.
const LONG_FIELDS: [(usize, &str); 6] = [
    (0, "test"),
    (1, "command"),
    (2, "seed"),
    (3, "seen"),
    (4, "cause"),
    (5, "issue"),
];

/// The reason why the list is rejected or the check fails. Lines are counted from 1.
#[derive(Debug, Error)]
pub enum KnownRedError {
    /// The list cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The list is too long.
    #[error("line {line}: at most {MAX_LISTED} tests may be listed")]
    TooMany {
        /// The first line above the limit.
        line: usize,
    },
    /// A line lacks a field.
    #[error("line {line}: {field} is missing")]
    MissingField {
        /// The line's number.
        line: usize,
        /// The field's name.
        field: &'static str,
    },
    /// A line does not name its test in full.
    #[error("line {line}: test is not PACKAGE/TARGET/TEST")]
    TestName {
        /// The line's number.
        line: usize,
    },
    /// A line in the long form has further fields.
    #[error("line {line}: more than the six fields test; command; seed; seen; cause; issue")]
    TooManyFields {
        /// The line's number.
        line: usize,
    },
    /// The command of a line does not run its test.
    #[error("line {line}: the command does not name {test}")]
    CommandOfOtherTest {
        /// The line's number.
        line: usize,
        /// The test.
        test: Test,
    },
    /// A test is on an earlier line, too.
    #[error("line {line}: {test} is listed twice")]
    Duplicate {
        /// The later line's number.
        line: usize,
        /// The test.
        test: Test,
    },
    /// A target crashed or was not built.
    #[error("{0} ended without a result")]
    NoResult(String),
    /// A test failed that is not listed.
    #[error("{0} failed and is not listed")]
    NotListed(Test),
    /// `cargo test` failed for another reason, for example because a package was not built.
    #[error("cargo test failed, though no test did")]
    Unexplained,
    /// A listed test did not run.
    #[error("{0} is listed and does not exist")]
    NoSuchTest(Test),
    /// A command cannot be run.
    #[error("{command}: {source}")]
    Command {
        /// The command line.
        command: String,
        /// The cause.
        source: io::Error,
    },
    /// The output of `cargo metadata` cannot be parsed.
    #[error(transparent)]
    Metadata(#[from] serde_json::Error),
}

/// The full name of a test.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Test {
    /// The package's name.
    pub package: String,
    /// The target: `lib`, `doc`, or the file's name without its extension.
    pub target: String,
    /// The test's name, with its modules.
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
    /// The command that shows the failure, if the line has the long form.
    pub command: Option<String>,
    /// The seed with which the command shows it, or `none`.
    pub seed: Option<String>,
    /// What was seen.
    pub seen: Option<String>,
    /// The cause of the failure.
    pub cause: String,
    /// The issue that tracks it.
    pub issue: String,
}

/// Parses the list, whose lines have the form `PACKAGE/TARGET/TEST, cause, issue`, or
/// `PACKAGE/TARGET/TEST; command; seed; seen; cause; issue`.
///
/// # Errors
///
/// Names the first invalid line.
pub fn parse_list(text: &str) -> Result<Vec<KnownFailure>, KnownRedError> {
    let mut listed: Vec<KnownFailure> = Vec::new();
    for (i, text) in text.lines().enumerate() {
        let line = i + 1;
        if line > MAX_LISTED {
            return Err(KnownRedError::TooMany { line });
        }
        let failure = parse_line(line, text)?;
        if listed.iter().any(|earlier| earlier.test == failure.test) {
            let test = failure.test;
            return Err(KnownRedError::Duplicate { line, test });
        }
        listed.push(failure);
    }
    Ok(listed)
}

fn parse_line(line: usize, text: &str) -> Result<KnownFailure, KnownRedError> {
    match text.contains(';') {
        true => parse_long_line(line, text),
        false => parse_short_line(line, text),
    }
}

fn parse_short_line(line: usize, text: &str) -> Result<KnownFailure, KnownRedError> {
    let (test, rest) = text.split_once(',').unwrap_or((text, ""));
    let (cause, issue) = rest.rsplit_once(',').unwrap_or((rest, ""));
    require_fields(line, &[("test", test), ("cause", cause), ("issue", issue)])?;
    Ok(KnownFailure {
        test: parse_test(line, test)?,
        command: None,
        seed: None,
        seen: None,
        cause: cause.trim().into(),
        issue: issue.trim().into(),
    })
}

fn parse_long_line(line: usize, text: &str) -> Result<KnownFailure, KnownRedError> {
    let parts: Vec<&str> = text.split(';').collect();
    if parts.len() > LONG_FIELDS.len() {
        return Err(KnownRedError::TooManyFields { line });
    }
    let fields = LONG_FIELDS.map(|(index, name)| (name, parts.get(index).copied().unwrap_or("")));
    require_fields(line, &fields)?;
    let [test, command, seed, seen, cause, issue] = fields.map(|(_, value)| value.trim());
    let test = parse_test(line, test)?;
    if !command.split_whitespace().any(|word| word == test.name) {
        return Err(KnownRedError::CommandOfOtherTest { line, test });
    }
    Ok(KnownFailure {
        test,
        command: Some(command.into()),
        seed: Some(seed.into()),
        seen: Some(seen.into()),
        cause: cause.into(),
        issue: issue.into(),
    })
}

/// Fails with the first field that is empty.
fn require_fields(line: usize, fields: &[(&'static str, &str)]) -> Result<(), KnownRedError> {
    let missing = fields.iter().find(|(_, value)| value.trim().is_empty());
    match missing {
        Some((field, _)) => Err(KnownRedError::MissingField { line, field }),
        None => Ok(()),
    }
}

fn parse_test(line: usize, text: &str) -> Result<Test, KnownRedError> {
    let parts: Vec<&str> = text.trim().split('/').collect();
    let [package, target, name] = parts[..] else {
        return Err(KnownRedError::TestName { line });
    };
    Ok(Test {
        package: package.into(),
        target: target.into(),
        name: name.into(),
    })
}

impl KnownFailure {
    /// Returns all fields but the test, as they are printed.
    fn details(&self) -> String {
        let optional = [&self.command, &self.seed, &self.seen];
        let fields = optional.into_iter().flatten();
        let fields: Vec<&str> = (fields.chain([&self.cause, &self.issue]))
            .map(String::as_str)
            .collect();
        fields.join("; ")
    }
}

/// The results of `cargo test` for one package.
#[derive(Debug, Default, PartialEq)]
pub struct PackageRun {
    /// Whether each test passed.
    pub tests: BTreeMap<Test, bool>,
    /// Whether `cargo test` succeeded.
    pub succeeded: bool,
    /// Targets without a test result, because they crashed or were not built.
    pub targets_without_result: Vec<String>,
}

/// Parses the output of a package's tests, with standard output and standard error in order.
pub fn parse_output(package: &str, output: &str, succeeded: bool) -> PackageRun {
    let mut run = PackageRun {
        succeeded,
        ..PackageRun::default()
    };
    let mut current_target: Option<String> = None;
    for line in output.lines() {
        if let Some(target) = target_of(line) {
            run.targets_without_result
                .extend(current_target.replace(target));
        } else if line.starts_with("test result: ") {
            current_target = None;
        } else if let (Some(target), Some((name, passed))) = (&current_target, result_of(line)) {
            let test = Test {
                package: package.into(),
                target: target.clone(),
                name: name.into(),
            };
            run.tests.insert(test, passed);
        }
    }
    run.targets_without_result.extend(current_target);
    run
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

/// Checks that no test failed but the listed ones. Returns one line per listed test, to be printed.
///
/// # Errors
///
/// The first error found.
pub fn evaluate(
    listed: &[KnownFailure],
    runs: &[PackageRun],
) -> Result<Vec<String>, KnownRedError> {
    let is_listed = |test: &Test| listed.iter().any(|known| known.test == *test);
    let tests = || runs.iter().flat_map(|run| &run.tests);
    if let Some(target) = runs
        .iter()
        .flat_map(|run| &run.targets_without_result)
        .next()
    {
        return Err(KnownRedError::NoResult(target.clone()));
    }
    if let Some((test, _)) = tests().find(|(test, passed)| !**passed && !is_listed(test)) {
        return Err(KnownRedError::NotListed(test.clone()));
    }
    let is_unexplained =
        |run: &PackageRun| !run.succeeded && run.tests.values().all(|passed| *passed);
    if runs.iter().any(is_unexplained) {
        return Err(KnownRedError::Unexplained);
    }
    let line = |known: &KnownFailure| {
        let Some((test, passed)) = tests().find(|(test, _)| **test == known.test) else {
            return Err(KnownRedError::NoSuchTest(known.test.clone()));
        };
        let result = if *passed { "passed" } else { "failed" };
        Ok(format!("known red: {test}: {result}; {}", known.details()))
    };
    listed.iter().map(line).collect()
}

/// Returns the names of the workspace's packages.
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

/// Runs all tests. Listed ones may fail and are printed; all others must pass.
///
/// # Errors
///
/// The first error in the list or the tests.
pub fn check(list: &Path) -> Result<Vec<String>, KnownRedError> {
    let text = std::fs::read_to_string(list).map_err(FileError::at(list))?;
    let listed = parse_list(&text)?;
    let mut runs = Vec::new();
    for package in packages()? {
        // One stream for both outputs keeps each target's results after its name.
        let command = format!("cargo test --locked --no-fail-fast -p {package} 2>&1");
        let out = Command::new("sh").args(["-c", &command]).output();
        let out = out.map_err(command_error(&command))?;
        let output = String::from_utf8_lossy(&out.stdout);
        print!("{output}");
        runs.push(parse_output(&package, &output, out.status.success()));
    }
    evaluate(&listed, &runs)
}
