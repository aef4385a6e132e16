//! Rules that single settings are checked by.

use thiserror::Error;

/// Seconds that a setting may be at most: a day.
const SECONDS_MOST: f64 = 86_400.0;

/// Why settings are refused. Operators see the text.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A setting that is out of range, by its path in the file.
    #[error("{field}: {rule}")]
    Field { field: String, rule: String },
    /// The platform's file is not TOML or lacks a setting; in one line.
    #[error("{0}")]
    Toml(String),
    /// The operators' file is not XML, or not of the known form.
    #[error("operator settings: {0}")]
    Xml(#[from] quick_xml::DeError),
}

/// Refuses a setting unless it `is_valid`.
pub fn check(is_valid: bool, field: &str, rule: &str) -> Result<(), SettingsError> {
    if is_valid {
        return Ok(());
    }
    Err(SettingsError::Field {
        field: field.to_string(),
        rule: rule.to_string(),
    })
}

/// Milliseconds of a setting in seconds, which must be at least so many.
pub fn seconds_as_ms(field: &str, seconds: f64, least: f64) -> Result<u64, SettingsError> {
    check(
        (least..=SECONDS_MOST).contains(&seconds),
        field,
        &format!("must be between {least} and 86400 seconds, not {seconds}"),
    )?;
    Ok((seconds * 1000.0).round() as u64)
}

/// A rate a second.
pub fn rate(field: &str, per_s: f64) -> Result<f64, SettingsError> {
    check(
        (0.1..=1e6).contains(&per_s),
        field,
        &format!("must be between 0.1 and 1e6 a second, not {per_s}"),
    )?;
    Ok(per_s)
}
