//! Divides the machines and quotas of a site over other numbers of zones and teams.

use super::values::{list, nodes_of, number};
use super::SiteVariantError;
use toml::{Table, Value};

/// Largest limit of a team, in even shares of the sum of limits.
const MAX_LIMIT_SHARES: f64 = 4.0;
/// Smallest limit of a team, so that one task fits.
const MIN_LIMIT_CPUS: f64 = 200.0;

/// Changes the number of zones, with the file's zones first, and spreads the machines of each type evenly over them.
pub(super) fn spread_over_zones(site: &mut Table, count: usize) -> Result<(), SiteVariantError> {
    let zones = nodes_of(site)?.get("zones").and_then(Value::as_array);
    let zones = zones.ok_or(SiteVariantError::Missing("nodes.zones"))?;
    let mut zones: Vec<String> = zones
        .iter()
        .filter_map(|zone| zone.as_str().map(String::from))
        .take(count)
        .collect();
    for n in zones.len()..count {
        zones.push(format!("zone-{}", n + 1));
    }
    let names = zones.iter().cloned().map(Value::from).collect();
    nodes_of(site)?.insert("zones".into(), Value::Array(names));
    spread_entries(site, "capacity", &["type"], &["count", "spot"], &zones);
    spread_entries(site, "machines", &["type", "spot"], &["count"], &zones);
    Ok(())
}

/// Sums the entries that agree in the fields `same`, and writes one entry per zone with its part of the sums.
fn spread_entries(site: &mut Table, name: &str, same: &[&str], sums: &[&str], zones: &[String]) {
    let entries: Vec<Table> = list(site, name).map(|entry| entry.clone()).collect();
    let mut groups: Vec<Table> = Vec::new();
    for entry in entries {
        let is_same = |group: &&mut Table| {
            same.iter()
                .all(|field| group.get(*field) == entry.get(*field))
        };
        match groups.iter_mut().find(is_same) {
            Some(group) => {
                for field in sums {
                    let sum = number(group.get(*field)) + number(entry.get(*field));
                    group.insert(field.to_string(), Value::Integer(sum as i64));
                }
            }
            None => groups.push(entry),
        }
    }
    let mut spread = Vec::new();
    for group in groups {
        for (n, zone) in zones.iter().enumerate() {
            let mut entry = group.clone();
            entry.insert("zone".into(), zone.clone().into());
            for field in sums.iter().filter(|field| group.contains_key(**field)) {
                let sum = number(group.get(*field)) as i64;
                let (zones, n) = (zones.len() as i64, n as i64);
                let part = sum / zones + i64::from(n < sum % zones);
                entry.insert(field.to_string(), Value::Integer(part));
            }
            spread.push(Value::Table(entry));
        }
    }
    site.insert(name.into(), Value::Array(spread));
}

/// Replaces the teams by `count` teams that share the guaranteed processors evenly. Each team may submit each job.
pub(super) fn divide_teams(site: &mut Table, count: usize) {
    let sum = |site: &mut Table, field: &str| -> f64 {
        list(site, "teams")
            .map(|team| number(team.get(field)))
            .sum()
    };
    let (cpus, cpus_max) = (sum(site, "cpus"), sum(site, "cpus_max"));
    let share = |sum: f64| sum / count as f64;
    let teams = (0..count).map(|n| {
        let mut team = Table::new();
        team.insert("name".into(), format!("team-{n:04}").into());
        team.insert("weight".into(), 1.0.into());
        team.insert("cpus".into(), share(cpus).into());
        let limit = (share(cpus_max) * MAX_LIMIT_SHARES).max(MIN_LIMIT_CPUS);
        team.insert("cpus_max".into(), limit.into());
        Value::Table(team)
    });
    let teams = teams.collect();
    site.insert("teams".into(), Value::Array(teams));
    for job in list(site, "jobs") {
        job.remove("teams");
    }
}
