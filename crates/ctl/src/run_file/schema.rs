//! The columns of a file of runs, and the mark that tells such a file from any other.

use crate::Failure;
use parquet::basic::{LogicalType, Repetition, TimeUnit, Type as Physical};
use parquet::schema::machine_types::{Type, TypePtr};
use std::sync::Arc;

/// The key and value in a file's metadata that say what it is.
pub(super) const KIND: (&str, &str) = ("glenmount.runs", "1");

/// Columns in order: name, physical type, whether each row has a value, what it holds.
pub const COLUMNS: [(&str, Physical, bool, &str); 11] = [
    (
        "start_ms",
        Physical::INT64,
        true,
        "when the run began, milliseconds since 1970, UTC",
    ),
    (
        "secs",
        Physical::DOUBLE,
        true,
        "run time in seconds, without the image's fetch",
    ),
    (
        "team",
        Physical::BYTE_ARRAY,
        true,
        "the team that owns the job",
    ),
    ("class", Physical::BYTE_ARRAY, true, "the job's class"),
    ("image", Physical::BYTE_ARRAY, true, "the job's image"),
    (
        "job",
        Physical::BYTE_ARRAY,
        true,
        "the job's id; # and a hash where the state service keeps no more",
    ),
    (
        "task",
        Physical::INT32,
        false,
        "the task's number; none where a row stands for several",
    ),
    (
        "expect_s",
        Physical::DOUBLE,
        true,
        "the owner's estimate in seconds; 0 for none",
    ),
    (
        "done",
        Physical::BOOLEAN,
        true,
        "whether it completed; if not, it takes at least secs",
    ),
    (
        "runs",
        Physical::INT32,
        true,
        "tasks that the row stands for",
    ),
    (
        "machine",
        Physical::BYTE_ARRAY,
        false,
        "the machine, where it is known",
    ),
];

pub(super) fn failed(what: &str) -> impl Fn(parquet::errors::ParquetError) -> Failure + '_ {
    move |e| format!("{what}: {e}")
}

pub(super) fn schema() -> Result<TypePtr, Failure> {
    let mut fields = Vec::new();
    for (name, physical, required, _) in COLUMNS {
        let logical = match physical {
            Physical::BYTE_ARRAY => Some(LogicalType::String),
            Physical::INT64 => Some(LogicalType::Timestamp {
                is_adjusted_to_u_t_c: true,
                unit: TimeUnit::MILLIS(Default::default()),
            }),
            _ => None,
        };
        let repetition = match required {
            true => Repetition::REQUIRED,
            false => Repetition::OPTIONAL,
        };
        let field = Type::primitive_type_builder(name, physical)
            .with_repetition(repetition)
            .with_logical_type(logical)
            .build()
            .map_err(failed("schema"))?;
        fields.push(Arc::new(field));
    }
    let schema = Type::group_type_builder("run").with_fields(fields).build();
    Ok(Arc::new(schema.map_err(failed("schema"))?))
}
