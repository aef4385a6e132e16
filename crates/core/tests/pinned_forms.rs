//! The stored forms of records, keys and transactions, byte for byte.
//!
//! Versions that are still in service, or to which operators may roll back, wrote these records. The samples under
//! `samples/` are therefore never regenerated: each test reads a sample, writes it again and compares the two.

use glenmount_core::state::formats::{LATEST, OLDEST};
use glenmount_core::state::{CasTransaction, Key, Record};
use serde_json::Value;
use std::collections::{BTreeSet, HashSet};

const RECORDS: &str = include_str!("samples/records.tsv");
const RECORDS_WITHOUT_OPTIONAL_FIELDS: &str =
    include_str!("samples/records_without_optional_fields.tsv");
const REFUSED_RECORDS: &str = include_str!("samples/refused_records.tsv");
const TRANSACTIONS: &str = include_str!("samples/transactions.tsv");

/// Returns the columns of each line of a sample.
fn lines<const N: usize>(sample: &'static str) -> impl Iterator<Item = [&'static str; N]> {
    sample.lines().map(|line| {
        let columns: Vec<&str> = line.split('\t').collect();
        columns
            .try_into()
            .unwrap_or_else(|_| panic!("the line does not have {N} columns: {line}"))
    })
}

fn key(path: &str) -> Key {
    Key::parse(path).unwrap_or_else(|| panic!("not a key: {path}"))
}

/// Reads a record from its text and asserts that reading it from its JSON value gives the same.
fn record(path: &str, text: &str) -> Record {
    let record = Record::parse(&key(path), text);
    let value = serde_json::from_str(text).expect("samples are JSON");
    assert_eq!(
        record,
        Record::from_value(&key(path), value),
        "{path} {text}"
    );
    record.unwrap_or_else(|| panic!("unreadable record: {path} {text}"))
}

/// Returns the name of the record's kind, from its key.
fn kind(path: &str) -> &str {
    let parts: Vec<&str> = path.split('/').collect();
    match parts.as_slice() {
        [_, "configuration", _, _] => "configuration page",
        parts => parts[1],
    }
}

#[test]
fn every_kind_of_record_has_a_sample_in_every_format() {
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
        let records = lines(RECORDS).filter(|[f, ..]: &[&str; 3]| **f == *format);
        let sampled: BTreeSet<&str> = records.map(|[_, path, _]| kind(path)).collect();
        assert_eq!(sampled, kinds.into(), "format {format}");
    }
}

#[test]
fn paths_of_keys_round_trip() {
    for [_, path, _] in lines(RECORDS) {
        assert_eq!(key(path).path(), path);
    }
}

#[test]
fn records_of_every_format_round_trip() {
    for [format, path, text] in lines(RECORDS) {
        let format: u32 = format.parse().expect("a format number");
        assert_eq!(record(path, text).value(format).to_string(), text, "{path}");
    }
}

#[test]
fn records_are_converted_between_formats_as_in_the_samples() {
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
fn records_without_optional_fields_are_read_with_their_defaults() {
    for [path, stored, written] in lines(RECORDS_WITHOUT_OPTIONAL_FIELDS) {
        let value = record(path, stored).value(LATEST);
        assert_eq!(value.to_string(), written, "{path} {stored}");
    }
}

#[test]
fn damaged_records_and_unknown_keys_are_refused() {
    for [path, text, refusal] in lines(REFUSED_RECORDS) {
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
fn truncated_records_are_refused() {
    for [_, path, text] in lines(RECORDS) {
        for (end, _) in text.char_indices() {
            assert_eq!(Record::parse(&key(path), &text[..end]), None, "{path}");
        }
    }
}

/// Builds a transaction from the text of a request body.
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
fn transactions_are_written_in_the_form_of_the_state_service() {
    for [format, text] in lines(TRANSACTIONS) {
        let format: u32 = format.parse().expect("a format number");
        assert_eq!(transaction(format, text).request_body(), text);
    }
}
