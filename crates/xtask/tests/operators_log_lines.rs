//! Checks that each log message in docs/operators.md exists in the sources, so that operators find it on that page.

use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../../../docs/operators.md");

fn collect_sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") && !path.ends_with("tests.rs") {
            found.push(path);
        }
    }
}

/// Returns the messages in the first column of the page's tables, without the fields.
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
fn log_messages_on_the_operators_page_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    collect_sources(&root.join("core/src"), &mut files);
    collect_sources(&root.join("glenmount/src"), &mut files);
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
