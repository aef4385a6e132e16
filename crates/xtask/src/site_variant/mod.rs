//! Creates variants of the users' site files with other sizes: machines, jobs and quotas times a factor, other numbers
//! of zones, teams and controllers, longer jobs. Rate limits stay unchanged. Variants are written outside the repository,
//! since the site files belong to the users.

mod division;
mod error;
mod scaling;
mod sizes;
mod values;

pub use error::SiteVariantError;
pub use sizes::Sizes;

use crate::file_error::FileError;
use division::{divide_teams, spread_over_zones};
use scaling::{scale_arrays, scale_site};
use std::path::{Path, PathBuf};
use toml::{Table, Value};
use values::nodes_of;

/// Returns the variant of a site.
///
/// # Errors
///
/// If the sizes are out of range, or a field of the site is missing or not a number.
pub fn vary(site: &Table, sizes: &Sizes) -> Result<Table, SiteVariantError> {
    sizes.check()?;
    let mut site = site.clone();
    let name = site.get("name").and_then(Value::as_str);
    let name = name.ok_or(SiteVariantError::Missing("name"))?.to_string();
    site.insert("name".into(), format!("{name}{}", sizes.suffix()).into());
    if let Some(seconds) = sizes.restart_delay_s {
        nodes_of(&mut site)?.insert("restart_delay_s".into(), seconds.into());
    }
    if let Some(count) = sizes.controllers {
        nodes_of(&mut site)?.insert("count".into(), count.into());
    }
    scale_site(&mut site, sizes.factor)?;
    if let Some(factor) = sizes.tasks_factor {
        scale_arrays(&mut site, "tasks", factor)?;
    }
    if let Some(factor) = sizes.run_time_factor {
        scale_arrays(&mut site, "run_s", factor)?;
    }
    if let Some(zones) = sizes.zones {
        spread_over_zones(&mut site, zones)?;
    }
    if let Some(teams) = sizes.teams {
        divide_teams(&mut site, teams);
    }
    Ok(site)
}

/// Writes the variant and the file of messages that it names to a folder. Returns the variant's path.
///
/// # Errors
///
/// Names the file that cannot be read or written, or of which no variant can be created.
pub fn write(path: &Path, sizes: &Sizes, out: &Path) -> Result<PathBuf, SiteVariantError> {
    let text = std::fs::read_to_string(path).map_err(FileError::at(path))?;
    let site: Table = text.parse().map_err(|source| SiteVariantError::Toml {
        path: path.to_path_buf(),
        source,
    })?;
    let variant = vary(&site, sizes).map_err(|source| SiteVariantError::Site {
        path: path.to_path_buf(),
        source: Box::new(source),
    })?;
    std::fs::create_dir_all(out).map_err(FileError::at(out))?;
    if let Some(wire) = site.get("wire").and_then(Value::as_str) {
        let (from, to) = (path.with_file_name(wire), out.join(wire));
        let bytes = std::fs::read(&from).map_err(FileError::at(&from))?;
        std::fs::write(&to, bytes).map_err(FileError::at(&to))?;
    }
    let name = variant.get("name").and_then(Value::as_str);
    let to = out.join(format!("{}.toml", name.unwrap_or("site")));
    let text = toml::to_string(&variant)?;
    std::fs::write(&to, text).map_err(FileError::at(&to))?;
    Ok(to)
}
