//! Rules that single fields are checked by.

pub(super) fn check(ok: bool, field: &str, rule: &str) -> Result<(), String> {
    if ok {
        Ok(())
    } else {
        Err(format!("{field}: {rule}"))
    }
}

pub(super) fn seconds(field: &str, value: f64, least: f64) -> Result<u64, String> {
    check(
        value.is_finite() && value >= least && value <= 86_400.0,
        field,
        &format!("must be between {least} and 86400 seconds, not {value}"),
    )?;
    Ok((value * 1000.0).round() as u64)
}

pub(super) fn rate(field: &str, value: f64) -> Result<f64, String> {
    check(
        value.is_finite() && (0.1..=1e6).contains(&value),
        field,
        &format!("must be between 0.1 and 1e6 a second, not {value}"),
    )?;
    Ok(value)
}
