//! Validation rules for single settings.

use thiserror::Error;

/// Largest value of a setting in seconds: a day.
const MAX_SECONDS: f64 = 86_400.0;

/// The reason why settings are rejected. Operators see the text.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A setting is out of range. `field` is its path in the file.
    #[error("{field}: {rule}")]
    Field { field: String, rule: String },
    /// The platform's file is not TOML or lacks a setting. The text is a single line.
    #[error("{0}")]
    Toml(String),
    /// The operators' file is not XML or doesn't have the known form.
    #[error("operator settings: {0}")]
    Xml(#[from] quick_xml::DeError),
}

/// Rejects a setting unless it `is_valid`.
pub fn check(is_valid: bool, field: &str, rule: &str) -> Result<(), SettingsError> {
    if is_valid {
        return Ok(());
    }
    Err(SettingsError::Field {
        field: field.to_string(),
        rule: rule.to_string(),
    })
}

/// Converts a setting from seconds to milliseconds. Rejects values below `min_seconds` or above a day.
pub fn seconds_as_ms(field: &str, seconds: f64, min_seconds: f64) -> Result<u64, SettingsError> {
    check(
        (min_seconds..=MAX_SECONDS).contains(&seconds),
        field,
        &format!("must be between {min_seconds} and 86400 seconds, not {seconds}"),
    )?;
    Ok((seconds * 1000.0).round() as u64)
}

/// Returns a rate per second if it is in range.
pub fn check_rate(field: &str, per_s: f64) -> Result<f64, SettingsError> {
    check(
        (0.1..=1e6).contains(&per_s),
        field,
        &format!("must be between 0.1 and 1e6 a second, not {per_s}"),
    )?;
    Ok(per_s)
}
