//! Access to numbers, lists and tables of a site file.

use super::SiteVariantError;
use toml::{Table, Value};

/// Multiplies a number. Returns whether the value is a number.
pub(super) fn scale(value: &mut Value, factor: f64) -> bool {
    match value {
        Value::Integer(n) => *n = (*n as f64 * factor).round() as i64,
        Value::Float(x) => *x *= factor,
        _ => return false,
    }
    true
}

/// Returns a number, or 0 for any other value.
pub(super) fn number(value: Option<&Value>) -> f64 {
    match value {
        Some(Value::Integer(n)) => *n as f64,
        Some(Value::Float(x)) => *x,
        _ => 0.0,
    }
}

/// Returns the tables in a list, or none if there is no such list.
pub(super) fn list<'a>(site: &'a mut Table, name: &str) -> impl Iterator<Item = &'a mut Table> {
    let entries = site.get_mut(name).and_then(Value::as_array_mut);
    entries
        .into_iter()
        .flatten()
        .filter_map(Value::as_table_mut)
}

/// Returns the table of the controllers.
pub(super) fn nodes_of(site: &mut Table) -> Result<&mut Table, SiteVariantError> {
    let nodes = site.get_mut("nodes").and_then(Value::as_table_mut);
    nodes.ok_or(SiteVariantError::Missing("nodes"))
}
