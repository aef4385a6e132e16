//! Sites of other sizes than the users' files have: machines, jobs and teams' processors times a factor,
//! other numbers of zones, teams and controllers, longer jobs; all limits as they are. Written outside the
//! repository, since they are the users'.

use std::path::{Path, PathBuf};
use toml::{Table, Value};

/// Factors that make sense: a tenth to ten times.
const FACTORS: std::ops::RangeInclusive<f64> = 0.1..=10.0;
/// How many times its even share a team may use at most, when there are more teams than in the file.
const LIMIT_SHARES: f64 = 4.0;
/// Processors that a team may use at the least, so that one task fits.
const LEAST_LIMIT: f64 = 200.0;

/// What is multiplied: lists of the site file, and fields of their entries.
const FIELDS: [(&str, &[&str]); 5] = [
    ("capacity", &["count", "spot"]),
    ("machines", &["count"]),
    ("teams", &["cpus", "cpus_max", "gpus", "gpus_max"]),
    ("jobs", &["initial"]),
    ("arrivals", &["rate"]),
];

/// What a variant of a site is to be.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Sizes {
    /// Times as many machines, jobs and teams' processors
    #[arg(long, default_value_t = 1.5)]
    pub factor: f64,
    /// Seconds after which a process that ended is back, instead of the file's
    #[arg(long)]
    pub back_s: Option<f64>,
    /// So many zones, over which machines are spread evenly
    #[arg(long)]
    pub zones: Option<usize>,
    /// So many teams, which share the processors of the file's
    #[arg(long)]
    pub teams: Option<usize>,
    /// So many controllers
    #[arg(long)]
    pub nodes: Option<i64>,
    /// Times as many tasks in each array
    #[arg(long)]
    pub tasks: Option<f64>,
    /// Times as long run times of arrays
    #[arg(long)]
    pub run: Option<f64>,
}

impl Sizes {
    /// Half as many again of everything, or another factor.
    pub fn times(factor: f64, back_s: Option<f64>) -> Sizes {
        Sizes {
            factor,
            back_s,
            zones: None,
            teams: None,
            nodes: None,
            tasks: None,
            run: None,
        }
    }

    fn check(&self) -> Result<(), String> {
        let factors = [
            ("--factor", Some(self.factor)),
            ("--tasks", self.tasks),
            ("--run", self.run),
        ];
        for (name, factor) in factors {
            let factor = factor.unwrap_or(1.0);
            if !FACTORS.contains(&factor) {
                return Err(format!("{name}: {factor} is not from 0.1 to 10"));
            }
        }
        let counts = [
            ("--zones", self.zones, 64),
            ("--teams", self.teams, 2_000),
            ("--nodes", self.nodes.map(|n| n.max(0) as usize), 64),
        ];
        for (name, count, most) in counts {
            let count = count.unwrap_or(1);
            if !(1..=most).contains(&count) {
                return Err(format!("{name}: {count} is not from 1 to {most}"));
            }
        }
        if !(0.0..=600.0).contains(&self.back_s.unwrap_or(0.0)) {
            let back_s = self.back_s.unwrap_or(0.0);
            return Err(format!("--back-s: {back_s} is not from 0 to 600"));
        }
        Ok(())
    }

    /// What the variant's name ends with.
    fn suffix(&self) -> String {
        let part = |name: &str, value: Option<String>| {
            value.map_or(String::new(), |value| format!("-{name}{value}"))
        };
        let text = |value: Option<f64>| value.map(|value| value.to_string());
        let count = |value: Option<usize>| value.map(|value| value.to_string());
        format!("-x{}", self.factor)
            + &part("back", text(self.back_s))
            + &part("zones", count(self.zones))
            + &part("teams", count(self.teams))
            + &part("nodes", self.nodes.map(|nodes| nodes.to_string()))
            + &part("tasks", text(self.tasks))
            + &part("run", text(self.run))
    }
}

fn times(value: &mut Value, factor: f64) -> bool {
    match value {
        Value::Integer(n) => *n = (*n as f64 * factor).round() as i64,
        Value::Float(x) => *x *= factor,
        _ => return false,
    }
    true
}

fn number(value: Option<&Value>) -> f64 {
    match value {
        Some(Value::Integer(n)) => *n as f64,
        Some(Value::Float(x)) => *x,
        _ => 0.0,
    }
}

fn list<'a>(site: &'a mut Table, name: &str) -> impl Iterator<Item = &'a mut Table> {
    let entries = site.get_mut(name).and_then(Value::as_array_mut);
    entries
        .into_iter()
        .flatten()
        .filter_map(Value::as_table_mut)
}

fn nodes_of(site: &mut Table) -> Result<&mut Table, String> {
    let nodes = site.get_mut("nodes").and_then(Value::as_table_mut);
    nodes.ok_or_else(|| "nodes: missing".to_string())
}

/// The site with everything that grows grown; says which field is not a number.
pub fn larger(site: &Table, sizes: &Sizes) -> Result<Table, String> {
    sizes.check()?;
    let mut site = site.clone();
    let name = site.get("name").and_then(Value::as_str);
    let name = name.ok_or("name: missing")?.to_string();
    site.insert("name".into(), format!("{name}{}", sizes.suffix()).into());
    if let Some(seconds) = sizes.back_s {
        nodes_of(&mut site)?.insert("restart_delay_s".into(), seconds.into());
    }
    if let Some(count) = sizes.nodes {
        nodes_of(&mut site)?.insert("count".into(), count.into());
    }
    multiply(&mut site, sizes.factor)?;
    if let Some(factor) = sizes.tasks {
        lengthen(&mut site, "tasks", factor)?;
    }
    if let Some(factor) = sizes.run {
        lengthen(&mut site, "run_s", factor)?;
    }
    if let Some(zones) = sizes.zones {
        spread(&mut site, zones)?;
    }
    if let Some(teams) = sizes.teams {
        divide_teams(&mut site, teams);
    }
    Ok(site)
}

fn multiply(site: &mut Table, factor: f64) -> Result<(), String> {
    for (name, fields) in FIELDS {
        // Arrivals stand with each class of jobs.
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
                if value.is_some_and(|value| !times(value, factor)) {
                    return Err(format!("{name}.{field}: not a number"));
                }
            }
        }
    }
    Ok(())
}

/// Sizes of arrays times a factor: medians, quantiles and bounds of a distribution.
fn lengthen(site: &mut Table, field: &str, factor: f64) -> Result<(), String> {
    for job in list(site, "jobs") {
        let is_array = job.get("kind").and_then(Value::as_str) == Some("array");
        let distribution = job.get_mut(field).and_then(Value::as_table_mut);
        let Some(distribution) = distribution.filter(|_| is_array) else {
            continue;
        };
        for (part, value) in distribution {
            if !times(value, factor) {
                return Err(format!("jobs.{field}.{part}: not a number"));
            }
        }
    }
    Ok(())
}

/// As many zones, the file's own first, with the machines of each type spread evenly over them.
fn spread(site: &mut Table, count: usize) -> Result<(), String> {
    let zones = nodes_of(site)?.get("zones").and_then(Value::as_array);
    let zones = zones.ok_or("nodes.zones: missing")?;
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

/// Adds up entries that agree in `same`, and writes one for each zone with its part of the sums.
fn spread_entries(site: &mut Table, name: &str, same: &[&str], sums: &[&str], zones: &[String]) {
    let entries: Vec<Table> = list(site, name).map(|entry| entry.clone()).collect();
    let mut groups: Vec<Table> = Vec::new();
    for entry in entries {
        let like = |group: &&mut Table| {
            same.iter()
                .all(|field| group.get(*field) == entry.get(*field))
        };
        match groups.iter_mut().find(like) {
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

/// As many teams, which share what the file's are guaranteed; any team may submit any job.
fn divide_teams(site: &mut Table, count: usize) {
    let sum = |site: &mut Table, field: &str| -> f64 {
        list(site, "teams")
            .map(|team| number(team.get(field)))
            .sum()
    };
    let (cpus, cpus_max) = (sum(site, "cpus"), sum(site, "cpus_max"));
    let share = |whole: f64| whole / count as f64;
    let teams = (0..count).map(|n| {
        let mut team = Table::new();
        team.insert("name".into(), format!("team-{n:04}").into());
        team.insert("weight".into(), 1.0.into());
        team.insert("cpus".into(), share(cpus).into());
        let most = (share(cpus_max) * LIMIT_SHARES).max(LEAST_LIMIT);
        team.insert("cpus_max".into(), most.into());
        Value::Table(team)
    });
    let teams = teams.collect();
    site.insert("teams".into(), Value::Array(teams));
    for job in list(site, "jobs") {
        job.remove("teams");
    }
}

/// Writes the variant and the page of messages that it names into a folder.
pub fn write(path: &Path, sizes: &Sizes, out: &Path) -> Result<PathBuf, String> {
    let at = |p: &Path, e: &dyn std::fmt::Display| format!("{}: {e}", p.display());
    let text = std::fs::read_to_string(path).map_err(|e| at(path, &e))?;
    let site: Table = text.parse().map_err(|e| at(path, &e))?;
    let larger = larger(&site, sizes).map_err(|e| at(path, &e))?;
    std::fs::create_dir_all(out).map_err(|e| at(out, &e))?;
    if let Some(wire) = site.get("wire").and_then(Value::as_str) {
        let (from, to) = (path.with_file_name(wire), out.join(wire));
        let bytes = std::fs::read(&from).map_err(|e| at(&from, &e))?;
        std::fs::write(&to, bytes).map_err(|e| at(&to, &e))?;
    }
    let name = larger.get("name").and_then(Value::as_str).unwrap_or("site");
    let to = out.join(format!("{name}.toml"));
    let text = toml::to_string(&larger).map_err(|e| e.to_string())?;
    std::fs::write(&to, text).map_err(|e| at(&to, &e))?;
    Ok(to)
}
