//! Tests that are known to fail for a real fault: a short list in the repository. They are run with all others
//! and printed with their results; any other failure, and any fault of the list itself, fails the check.

use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;

/// Lines that the list may have: what fails is mended, not collected.
pub const MAX_LISTED: usize = 3;

/// A test by its package, its target (`lib`, or the file under `tests`) and its whole name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Test {
    pub package: String,
    pub target: String,
    pub name: String,
}

impl std::fmt::Display for Test {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.package, self.target, self.name)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct KnownFailure {
    pub test: Test,
    pub cause: String,
    pub issue: String,
}

/// Reads the list: one line each, `PACKAGE/TARGET/TEST, cause, issue`.
pub fn parse_list(text: &str) -> Result<Vec<KnownFailure>, String> {
    let mut listed: Vec<KnownFailure> = Vec::new();
    for (i, line) in text.lines().enumerate() {
        let at = i + 1;
        if i >= MAX_LISTED {
            return Err(format!(
                "line {at}: at most {MAX_LISTED} tests may be listed"
            ));
        }
        let (test, rest) = line.split_once(',').unwrap_or((line, ""));
        let (cause, issue) = rest.rsplit_once(',').unwrap_or((rest, ""));
        let fields = [("test", test), ("cause", cause), ("issue", issue)];
        if let Some((field, _)) = fields.iter().find(|(_, value)| value.trim().is_empty()) {
            return Err(format!("line {at}: {field} is missing"));
        }
        let parts: Vec<&str> = test.trim().split('/').collect();
        let [package, target, name] = parts[..] else {
            return Err(format!("line {at}: test is not PACKAGE/TARGET/TEST"));
        };
        let test = Test {
            package: package.into(),
            target: target.into(),
            name: name.into(),
        };
        if listed.iter().any(|r| r.test == test) {
            return Err(format!("line {at}: {test} is listed twice"));
        }
        listed.push(KnownFailure {
            test,
            cause: cause.trim().into(),
            issue: issue.trim().into(),
        });
    }
    Ok(listed)
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

/// Whether all is well but the tests that are listed: lines to be printed, or what is wrong.
pub fn judge(listed: &[KnownFailure], ran: &[PackageRun]) -> Result<Vec<String>, String> {
    let is_listed = |test: &Test| listed.iter().any(|r| r.test == *test);
    let tests = || ran.iter().flat_map(|r| &r.tests);
    if let Some(target) = ran.iter().flat_map(|r| &r.broken).next() {
        return Err(format!("{target} ended without a result"));
    }
    if let Some((test, _)) = tests().find(|(test, passed)| !**passed && !is_listed(test)) {
        return Err(format!("{test} failed and is not listed"));
    }
    let unsaid = |r: &PackageRun| !r.succeeded && r.tests.values().all(|passed| *passed);
    if ran.iter().any(unsaid) {
        return Err("cargo test failed, though no test did".into());
    }
    let mut lines = Vec::new();
    for known in listed {
        let found = tests().find(|(test, _)| **test == known.test);
        let Some((test, passed)) = found else {
            return Err(format!("{} is listed and does not exist", known.test));
        };
        let result = if *passed { "passed" } else { "failed" };
        lines.push(format!(
            "known red: {test}: {result}; {}; {}",
            known.cause, known.issue
        ));
    }
    Ok(lines)
}

/// Packages of the workspace.
fn packages() -> Result<Vec<String>, String> {
    let out = Command::new("cargo")
        .args(["metadata", "--no-deps", "--locked", "--format-version", "1"])
        .output()
        .map_err(|e| format!("cargo metadata: {e}"))?;
    let read: Value = serde_json::from_slice(&out.stdout).map_err(|e| e.to_string())?;
    let packages = read["packages"].as_array().into_iter().flatten();
    let names = packages.filter_map(|p| p["name"].as_str());
    Ok(names.map(str::to_string).collect())
}

/// Runs all tests; those that are listed are printed, all others must pass.
pub fn check(list: &Path) -> Result<Vec<String>, String> {
    let text = std::fs::read_to_string(list).map_err(|e| format!("{}: {e}", list.display()))?;
    let listed = parse_list(&text)?;
    let mut all = Vec::new();
    for package in packages()? {
        // In one stream, so that each target's results follow its name.
        let command = format!("cargo test --locked --no-fail-fast -p {package} 2>&1");
        let out = Command::new("sh")
            .args(["-c", &command])
            .output()
            .map_err(|e| format!("{command}: {e}"))?;
        let output = String::from_utf8_lossy(&out.stdout);
        print!("{output}");
        all.push(parse_output(&package, &output, out.status.success()));
    }
    judge(&listed, &all)
}
