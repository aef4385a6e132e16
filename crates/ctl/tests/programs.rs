//! Checks the output and the exit statuses of `glenmountctl` byte for byte.
//!
//! Operators' scripts read them, so the samples under `samples/` are never regenerated. Each line of
//! `command_lines.tsv` holds a command line, its exit status, standard output and standard error. The command lines run
//! in turn against one state store in memory, which initially holds `records.tsv`.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;

const COMMAND_LINES: &str = include_str!("samples/command_lines.tsv");
const RECORDS: &str = include_str!("samples/records.tsv");
/// Files in the folder where the command lines run.
const FILES: [(&str, &str); 4] = [
    ("first.toml", include_str!("samples/first.toml")),
    ("lower.toml", include_str!("samples/lower.toml")),
    ("faulty.toml", "[settings]\nteams = [{ cpus = 1.0 }]\n"),
    ("runs.log", include_str!("samples/runs.log")),
];

/// A state store in memory.
struct FakeStateStore {
    revision: u64,
    items: BTreeMap<String, (Value, u64)>,
}

impl FakeStateStore {
    fn new(records: &str) -> FakeStateStore {
        let mut store = FakeStateStore {
            revision: 0,
            items: BTreeMap::new(),
        };
        for line in records.lines() {
            let (key, value) = line.split_once('\t').expect("a key and a value");
            store.put(key, serde_json::from_str(value).expect("JSON"));
        }
        store
    }

    fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.items.insert(key.into(), (value, self.revision));
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let revision = |key: &Value| {
            let item = self.items.get(key.as_str().expect("a key"));
            item.map_or(0, |(_, revision)| *revision)
        };
        let mut conditions = body["if"].as_array().expect("conditions").iter();
        if !conditions.all(|c| c["stamp"] == revision(&c["k"])) {
            return (409, json!({"failed": [], "epoch": self.revision}));
        }
        for change in body["apply"].as_array().expect("changes") {
            match change["put"].as_str() {
                Some(key) => self.put(key, change["v"].clone()),
                None => {
                    self.items.remove(change["remove"].as_str().expect("a key"));
                }
            }
        }
        (200, json!({"epoch": self.revision}))
    }

    fn get(&self, path: &str) -> (u16, Value) {
        let item = |(key, (value, revision)): (&String, &(Value, u64))| json!({"k": key, "v": value, "stamp": revision});
        if let Some(query) = path.strip_prefix("/keys?under=") {
            let prefix = query.split('&').next().expect("a prefix");
            let under = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
            let items: Vec<Value> = under.map(item).collect();
            let list = json!({"items": items, "more": false, "epoch": self.revision});
            return (200, list);
        }
        match self.items.get_key_value(path.trim_start_matches("/keys/")) {
            Some(found) => (200, item(found)),
            None => (404, json!({"epoch": self.revision})),
        }
    }

    fn answer(&mut self, mut stream: TcpStream) {
        let mut lines = BufReader::new(&mut stream);
        let mut request_line = String::new();
        lines.read_line(&mut request_line).expect("a request");
        let mut length = 0;
        loop {
            let mut line = String::new();
            lines.read_line(&mut line).expect("a header");
            if let Some(bytes) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = bytes.trim().parse().expect("a length");
            }
            if line.trim().is_empty() {
                break;
            }
        }
        let mut body = vec![0; length];
        lines.read_exact(&mut body).expect("a body");
        let (status, body) = match request_line.split(' ').nth(1).expect("a path") {
            "/txn" => self.transact(&serde_json::from_slice(&body).expect("JSON")),
            path => self.get(path),
        };
        let body = body.to_string();
        let head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\n");
        let _ = write!(stream, "{head}content-length: {}\r\n\r\n{body}", body.len());
    }
}

/// Returns an address at which no server listens.
fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").to_string()
}

/// Returns the output on one line, with placeholders for addresses and times, which differ from run to run. Numbers of
/// 13 digits are times in milliseconds.
fn normalized(output: &[u8], addresses: &[(&str, &str)]) -> String {
    let mut text = String::from_utf8(output.to_vec()).expect("text");
    for (name, address) in addresses {
        text = text.replace(address, name);
    }
    let mut out = String::new();
    let mut digits = String::new();
    for c in text.chars().chain(['\0']) {
        if c.is_ascii_digit() {
            digits.push(c);
            continue;
        }
        let is_fraction = out.ends_with('.');
        out += match digits.len() {
            13 if !is_fraction => "TIME",
            _ => &digits,
        };
        digits.clear();
        out.push(c);
    }
    out.trim_end_matches('\0').replace('\n', "\\n")
}

/// Runs a command line and returns its exit status and outputs, separated by tabs.
fn run(line: &str, folder: &Path, addresses: &[(&str, &str)]) -> String {
    let words = line.split(' ').map(|word| {
        let address = addresses.iter().find(|(name, _)| *name == word);
        address.map_or(word, |(_, address)| address)
    });
    let output = Command::new(env!("CARGO_BIN_EXE_glenmountctl"))
        .args(words.filter(|word| !word.is_empty()))
        .current_dir(folder)
        .output()
        .expect("it runs");
    let status = output.status.code().expect("a status");
    let (out, err) = (
        normalized(&output.stdout, addresses),
        normalized(&output.stderr, addresses),
    );
    format!("{status}\t{out}\t{err}")
}

#[test]
fn outputs_and_exit_statuses_match_the_samples() {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, text) in FILES {
        std::fs::write(folder.path().join(name), text).expect("written");
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let state = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        let mut store = FakeStateStore::new(RECORDS);
        for stream in listener.incoming().flatten() {
            store.answer(stream);
        }
    });
    let unreachable = closed_address();
    let addresses = [("STATE", state.as_str()), ("NOBODY", unreachable.as_str())];
    let mut differences = Vec::new();
    for line in COMMAND_LINES.lines() {
        let (command, expected) = line.split_once('\t').expect("columns");
        let found = run(command, folder.path(), &addresses);
        if found != expected {
            differences.push(format!("{line}\nbecame\n{command}\t{found}\n"));
        }
    }
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}
