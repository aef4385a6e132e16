//! Overrides of single plan fields, as given by `--set`.

use super::PlanError;
use toml::{Table, Value};

/// Applies an override such as `workers.count=4000` or `jobs.0.rate=3.5` to the table of a plan.
pub fn apply_override(table: &mut Table, text: &str) -> Result<(), PlanError> {
    let (path, value) = text
        .split_once('=')
        .ok_or_else(|| PlanError::new(text, "not of the form field=value"))?;
    let value = parse_value(path, value)?;
    let field = find_field(table, path).ok_or_else(|| PlanError::new(path, "no such field"))?;
    // An integer is valid for a field of type float.
    *field = match (&*field, value) {
        (Value::Float(_), Value::Integer(number)) => Value::Float(number as f64),
        (_, value) => value,
    };
    Ok(())
}

fn parse_value(path: &str, text: &str) -> Result<Value, PlanError> {
    let parsed: Table = format!("value = {text}")
        .parse()
        .map_err(|_| PlanError::new(path, format!("{text} is no value")))?;
    let value = parsed.get("value").cloned();
    value.ok_or_else(|| PlanError::new(path, "no such field"))
}

/// Returns the field at a path of names and indices.
fn find_field<'a>(table: &'a mut Table, path: &str) -> Option<&'a mut Value> {
    let mut names = path.split('.');
    let mut field = table.get_mut(names.next()?)?;
    for name in names {
        field = match field {
            Value::Table(inner) => inner.get_mut(name)?,
            Value::Array(list) => list.get_mut(name.parse::<usize>().ok()?)?,
            _ => return None,
        };
    }
    Some(field)
}
