//! The columns of run files, and the metadata that identifies a run file.

use super::RunFileError;
use parquet::basic::{LogicalType, Repetition, TimeUnit, Type as Physical};
use parquet::schema::types::{Type, TypePtr};
use std::sync::Arc;

/// The metadata key that identifies a run file.
pub(super) const FORMAT_KEY: &str = "glenmount.runs";
/// The value of that key: the version of the columns.
pub(super) const FORMAT_VERSION: &str = "1";

/// A column of a run file.
#[derive(Clone, Copy, Debug)]
pub struct Column {
    /// The name, equal to the serialised name of a field of [`RunRecord`](crate::run_record::RunRecord).
    pub name: &'static str,
    /// The physical type of the values.
    pub physical_type: Physical,
    /// Whether every row has a value.
    pub is_required: bool,
    /// A description for readers.
    pub description: &'static str,
}

/// The columns, in the order of the file.
pub const COLUMNS: [Column; 11] = [
    Column {
        name: "start_ms",
        physical_type: Physical::INT64,
        is_required: true,
        description: "when the run began, milliseconds since 1970, UTC",
    },
    Column {
        name: "secs",
        physical_type: Physical::DOUBLE,
        is_required: true,
        description: "run time in seconds, without the image's fetch",
    },
    Column {
        name: "team",
        physical_type: Physical::BYTE_ARRAY,
        is_required: true,
        description: "the team that owns the job",
    },
    Column {
        name: "class",
        physical_type: Physical::BYTE_ARRAY,
        is_required: true,
        description: "the job's class",
    },
    Column {
        name: "image",
        physical_type: Physical::BYTE_ARRAY,
        is_required: true,
        description: "the job's image",
    },
    Column {
        name: "job",
        physical_type: Physical::BYTE_ARRAY,
        is_required: true,
        description: "the job's id; # and a hash where the state service keeps no more",
    },
    Column {
        name: "task",
        physical_type: Physical::INT32,
        is_required: false,
        description: "the task's number; none where a row stands for several",
    },
    Column {
        name: "expect_s",
        physical_type: Physical::DOUBLE,
        is_required: true,
        description: "the owner's estimate in seconds; 0 for none",
    },
    Column {
        name: "done",
        physical_type: Physical::BOOLEAN,
        is_required: true,
        description: "whether it completed; if not, it takes at least secs",
    },
    Column {
        name: "runs",
        physical_type: Physical::INT32,
        is_required: true,
        description: "tasks that the row stands for",
    },
    Column {
        name: "machine",
        physical_type: Physical::BYTE_ARRAY,
        is_required: false,
        description: "the machine, where it is known",
    },
];

pub(super) fn schema() -> Result<TypePtr, RunFileError> {
    let failed = RunFileError::parquet("schema");
    let mut fields = Vec::new();
    for column in COLUMNS {
        let logical = match column.physical_type {
            Physical::BYTE_ARRAY => Some(LogicalType::String),
            Physical::INT64 => Some(LogicalType::Timestamp {
                is_adjusted_to_u_t_c: true,
                unit: TimeUnit::MILLIS(Default::default()),
            }),
            _ => None,
        };
        let repetition = match column.is_required {
            true => Repetition::REQUIRED,
            false => Repetition::OPTIONAL,
        };
        let field = Type::primitive_type_builder(column.name, column.physical_type)
            .with_repetition(repetition)
            .with_logical_type(logical)
            .build()
            .map_err(&failed)?;
        fields.push(Arc::new(field));
    }
    let schema = Type::group_type_builder("run").with_fields(fields).build();
    Ok(Arc::new(schema.map_err(&failed)?))
}
