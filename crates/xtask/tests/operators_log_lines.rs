//! docs/operators.md names log lines: each must exist in the sources, so that what the pager shows is found there.

use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../../../docs/operators.md");

fn sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") && !path.ends_with("tests.rs") {
            found.push(path);
        }
    }
}

/// The messages of the lines that the page's tables name in their first column: what stands before the first field.
fn messages() -> Vec<String> {
    let rows = PAGE.lines().filter(|line| line.starts_with("| `"));
    let spans = rows.filter_map(|row| row.strip_prefix("| `")?.split('`').next());
    let message = |span: &str| {
        let words = span
            .split(' ')
            .take_while(|word| !word.contains('=') && *word != "...");
        words.collect::<Vec<_>>().join(" ")
    };
    spans.map(message).collect()
}

#[test]
fn log_lines_that_operators_are_told_of_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    sources(&root.join("core/src"), &mut files);
    sources(&root.join("glenmount/src"), &mut files);
    let texts: Vec<String> = files
        .iter()
        .map(|file| std::fs::read_to_string(file).expect("a source"))
        .collect();
    let messages = messages();
    assert!(messages.len() > 30, "{} lines named", messages.len());
    for message in messages {
        let literal = format!("\"{message}\"");
        let exists = texts.iter().any(|text| text.contains(&literal));
        assert!(exists, "no log line {literal}");
    }
}
