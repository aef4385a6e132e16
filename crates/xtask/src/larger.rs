//! Sites with more machines than the users' files have: machines, jobs and teams' processors times a
//! factor, the controllers' and the state service's limits as they are. Written outside the
//! repository, since they are the users'.

use std::path::{Path, PathBuf};
use toml::{Table, Value};

/// Factors that make sense: a tenth to ten times.
const FACTORS: std::ops::RangeInclusive<f64> = 0.1..=10.0;

/// What is multiplied: lists of the site file, and fields of their entries.
const FIELDS: [(&str, &[&str]); 5] = [
    ("capacity", &["count", "spot"]),
    ("machines", &["count"]),
    ("teams", &["cpus", "cpus_max", "gpus", "gpus_max"]),
    ("jobs", &["initial"]),
    ("arrivals", &["rate"]),
];

fn times(value: &mut Value, factor: f64) -> bool {
    match value {
        Value::Integer(n) => *n = (*n as f64 * factor).round() as i64,
        Value::Float(x) => *x *= factor,
        _ => return false,
    }
    true
}

/// The site with everything that grows multiplied, and processes back after so many seconds, if
/// given; says which field is not a number.
pub fn larger(site: &Table, factor: f64, back_s: Option<f64>) -> Result<Table, String> {
    if !FACTORS.contains(&factor) {
        return Err(format!("--factor: {factor} is not from 0.1 to 10"));
    }
    let mut site = site.clone();
    let name = site.get("name").and_then(Value::as_str);
    let name = name.ok_or("name: missing")?.to_string();
    let back = back_s.map_or(String::new(), |s| format!("-back{s}"));
    site.insert("name".into(), format!("{name}-x{factor}{back}").into());
    if let Some(s) = back_s {
        if !(0.0..=600.0).contains(&s) {
            return Err(format!("--back-s: {s} is not from 0 to 600"));
        }
        let nodes = site.get_mut("nodes").and_then(Value::as_table_mut);
        let nodes = nodes.ok_or("nodes: missing")?;
        nodes.insert("restart_delay_s".into(), s.into());
    }
    for (list, fields) in FIELDS {
        let entries = match list {
            // They stand with each class of jobs.
            "arrivals" => site.get_mut("jobs"),
            _ => site.get_mut(list),
        };
        let entries = entries.and_then(Value::as_array_mut);
        for entry in entries.into_iter().flatten() {
            let entry = match list {
                "arrivals" => entry.get_mut("arrivals"),
                _ => Some(entry),
            };
            let Some(entry) = entry.and_then(Value::as_table_mut) else {
                continue;
            };
            for field in fields {
                if let Some(value) = entry.get_mut(*field) {
                    if !times(value, factor) {
                        return Err(format!("{list}.{field}: not a number"));
                    }
                }
            }
        }
    }
    Ok(site)
}

/// Writes the larger site and the page of messages that it names into a folder.
pub fn write(path: &Path, factor: f64, back_s: Option<f64>, out: &Path) -> Result<PathBuf, String> {
    let at = |p: &Path, e: &dyn std::fmt::Display| format!("{}: {e}", p.display());
    let text = std::fs::read_to_string(path).map_err(|e| at(path, &e))?;
    let site: Table = text.parse().map_err(|e| at(path, &e))?;
    let larger = larger(&site, factor, back_s).map_err(|e| at(path, &e))?;
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

#[cfg(test)]
mod tests {
    use super::*;

    const SITE: &str = r#"
        name = "a"
        wire = "wire.json"
        [nodes]
        count = 3
        [state]
        write_rps = 50.0
        [[machines]]
        type = "g8"
        count = 51
        [[capacity]]
        count = 10
        spot = 3
        [[teams]]
        name = "t"
        cpus = 100.0
        cpus_max = 200.0
        [[jobs]]
        name = "c"
        initial = 8
        arrivals = { rate = 0.5 }
    "#;

    #[test]
    fn all_that_grows_does_and_the_limits_stay() {
        let site: Table = SITE.parse().unwrap();
        let to = larger(&site, 1.5, None).unwrap();
        let number = |path: [&str; 2]| to[path[0]][0][path[1]].clone();
        assert_eq!(number(["machines", "count"]), Value::Integer(77));
        assert_eq!(number(["capacity", "spot"]), Value::Integer(5));
        assert_eq!(number(["teams", "cpus_max"]), Value::Float(300.0));
        assert_eq!(number(["jobs", "initial"]), Value::Integer(12));
        assert_eq!(to["jobs"][0]["arrivals"]["rate"], Value::Float(0.75));
        assert_eq!(to["name"].as_str(), Some("a-x1.5"));
        assert_eq!(
            (&to["nodes"], &to["state"]),
            (&site["nodes"], &site["state"])
        );
    }

    #[test]
    fn what_makes_no_sense_is_named() {
        let site: Table = SITE.parse().unwrap();
        assert!(larger(&site, 0.0, None).unwrap_err().contains("--factor"));
        let odd: Table = SITE
            .replace("count = 51", "count = \"many\"")
            .parse()
            .unwrap();
        assert_eq!(
            larger(&odd, 1.5, None).unwrap_err(),
            "machines.count: not a number"
        );
        assert!(larger(&Table::new(), 1.5, None)
            .unwrap_err()
            .contains("name"));
    }
}
