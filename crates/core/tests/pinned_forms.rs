//! The stored forms of records, keys and transactions, byte for byte.
//!
//! What is on record was written by versions that are still in service or may be gone back to, so the
//! samples under `samples/` are never made anew: each is read, written again and compared with itself.

use glenmount_core::state::formats::{LATEST, OLDEST};
use glenmount_core::state::{CasTransaction, Key, Record};
use serde_json::Value;
use std::collections::{BTreeSet, HashSet};

const RECORDS: &str = include_str!("samples/records.tsv");
const SHORT_RECORDS: &str = include_str!("samples/records_without_optional_fields.tsv");
const REFUSED: &str = include_str!("samples/refused_records.tsv");
const TRANSACTIONS: &str = include_str!("samples/transactions.tsv");

/// The columns of a sample's lines.
fn lines<const N: usize>(sample: &'static str) -> impl Iterator<Item = [&'static str; N]> {
    sample.lines().map(|line| {
        let columns: Vec<&str> = line.split('\t').collect();
        columns
            .try_into()
            .unwrap_or_else(|_| panic!("not {N} columns: {line}"))
    })
}

fn key(path: &str) -> Key {
    Key::parse(path).unwrap_or_else(|| panic!("no key: {path}"))
}

/// A record read from its text, which must not differ from what is read from its value.
fn record(path: &str, text: &str) -> Record {
    let record = Record::parse(&key(path), text);
    let value = serde_json::from_str(text).expect("samples are JSON");
    assert_eq!(
        record,
        Record::from_value(&key(path), value),
        "{path} {text}"
    );
    record.unwrap_or_else(|| panic!("unreadable: {path} {text}"))
}

fn kind(path: &str) -> &str {
    let parts: Vec<&str> = path.split('/').collect();
    match parts.as_slice() {
        [_, "configuration", _, _] => "configuration page",
        parts => parts[1],
    }
}

#[test]
fn there_are_samples_of_every_kind_of_record_in_every_format() {
    let kinds = [
        "chunk",
        "configurable",
        "configuration",
        "configuration page",
        "fleet",
        "following",
        "format",
        "hire",
        "job",
        "machine",
        "place",
        "runs",
        "settled",
        "team",
        "term",
        "types",
    ];
    for format in OLDEST..=LATEST {
        let format = format.to_string();
        let of_format = lines(RECORDS).filter(|[f, ..]: &[&str; 3]| **f == *format);
        let sampled: BTreeSet<&str> = of_format.map(|[_, path, _]| kind(path)).collect();
        assert_eq!(sampled, kinds.into(), "format {format}");
    }
}

#[test]
fn paths_of_keys_are_read_and_written_the_same() {
    for [_, path, _] in lines(RECORDS) {
        assert_eq!(key(path).path(), path);
    }
}

#[test]
fn records_of_every_format_are_read_and_written_the_same() {
    for [format, path, text] in lines(RECORDS) {
        let format: u32 = format.parse().expect("a format's number");
        assert_eq!(record(path, text).value(format).to_string(), text, "{path}");
    }
}

#[test]
fn records_of_one_format_are_written_in_the_others_as_in_the_samples() {
    let sampled: HashSet<(String, &str, &str)> = lines(RECORDS)
        .map(|[format, path, text]| (format.to_string(), path, text))
        .collect();
    for [_, path, text] in lines(RECORDS) {
        let record = record(path, text);
        for format in OLDEST..=LATEST {
            let written = record.value(format).to_string();
            let is_sampled = sampled.contains(&(format.to_string(), path, written.as_str()));
            assert!(is_sampled, "format {format}: {path} {written}");
        }
    }
}

#[test]
fn records_without_optional_fields_are_read_as_if_those_had_their_defaults() {
    for [path, stored, written] in lines(SHORT_RECORDS) {
        let value = record(path, stored).value(LATEST);
        assert_eq!(value.to_string(), written, "{path} {stored}");
    }
}

#[test]
fn damaged_records_and_unknown_keys_are_refused() {
    for [path, text, refusal] in lines(REFUSED) {
        let found = match Key::parse(path) {
            None => "no such key",
            Some(key) => match Record::parse(&key, text) {
                None => "unreadable record",
                Some(_) => "read",
            },
        };
        assert_eq!(found, refusal, "{path} {text}");
    }
}

#[test]
fn records_that_are_cut_off_are_refused() {
    for [_, path, text] in lines(RECORDS) {
        for (end, _) in text.char_indices() {
            assert_eq!(Record::parse(&key(path), &text[..end]), None, "{path}");
        }
    }
}

/// A transaction that the text of one stands for.
fn transaction(format: u32, text: &str) -> CasTransaction {
    let body: Value = serde_json::from_str(text).expect("samples are JSON");
    let list = |field: &str| body[field].as_array().expect("a list").clone();
    let key_of = |value: &Value| key(value.as_str().expect("a path"));
    let conditions = list("if").into_iter().map(|condition| {
        let mod_revision = condition["stamp"].as_u64().expect("a revision");
        (key_of(&condition["k"]), mod_revision)
    });
    let changes = list("apply").into_iter().map(|change| {
        let Some(path) = change.get("put") else {
            return (key_of(&change["remove"]), None);
        };
        let path = path.as_str().expect("a path");
        (key(path), Some(record(path, &change["v"].to_string())))
    });
    CasTransaction {
        conditions: conditions.collect(),
        changes: changes.collect(),
        format,
    }
}

#[test]
fn transactions_are_written_as_the_state_service_takes_them() {
    for [format, text] in lines(TRANSACTIONS) {
        let format: u32 = format.parse().expect("a format's number");
        assert_eq!(transaction(format, text).request_body(), text);
    }
}
