//! Multiplies fields of a site by a factor.

use super::values::{list, scale};
use super::SiteVariantError;
use toml::{Table, Value};

/// The fields that grow with a site, by the list of the site file whose entries have them.
const SCALED_FIELDS: [(&str, &[&str]); 5] = [
    ("capacity", &["count", "spot"]),
    ("machines", &["count"]),
    ("teams", &["cpus", "cpus_max", "gpus", "gpus_max"]),
    ("jobs", &["initial"]),
    ("arrivals", &["rate"]),
];

/// Multiplies the fields that grow with a site.
pub(super) fn scale_site(site: &mut Table, factor: f64) -> Result<(), SiteVariantError> {
    for (name, fields) in SCALED_FIELDS {
        // The arrivals are in the entries of the job classes.
        let entries = match name {
            "arrivals" => list(site, "jobs"),
            _ => list(site, name),
        };
        for entry in entries {
            let entry = match name {
                "arrivals" => entry.get_mut("arrivals").and_then(Value::as_table_mut),
                _ => Some(entry),
            };
            let Some(entry) = entry else {
                continue;
            };
            for field in fields {
                let value = entry.get_mut(*field);
                if value.is_some_and(|value| !scale(value, factor)) {
                    return Err(SiteVariantError::NotANumber(format!("{name}.{field}")));
                }
            }
        }
    }
    Ok(())
}

/// Multiplies the medians, quantiles and bounds of a distribution of array jobs by a factor.
pub(super) fn scale_arrays(
    site: &mut Table,
    field: &str,
    factor: f64,
) -> Result<(), SiteVariantError> {
    for job in list(site, "jobs") {
        let is_array = job.get("kind").and_then(Value::as_str) == Some("array");
        let distribution = job.get_mut(field).and_then(Value::as_table_mut);
        let Some(distribution) = distribution.filter(|_| is_array) else {
            continue;
        };
        for (part, value) in distribution {
            if !scale(value, factor) {
                let field = format!("jobs.{field}.{part}");
                return Err(SiteVariantError::NotANumber(field));
            }
        }
    }
    Ok(())
}
