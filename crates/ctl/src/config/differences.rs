//! What differs between two configurations.

use glenmount_core::configuration::{PolicySettings, TeamSettings};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// One difference between two configurations.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// By its name in the settings file.
    pub field: String,
    /// Its value, if there was one.
    pub before: Option<String>,
    /// Its value to be, if there is one.
    pub after: Option<String>,
}

/// What differs between the configuration on record and another.
pub fn differences(before: &PolicySettings, after: &PolicySettings) -> Vec<Difference> {
    let mut found = Vec::new();
    let teams = |settings: &PolicySettings| -> BTreeMap<String, String> {
        let teams = settings.teams.iter();
        teams
            .map(|team| (team.name.clone(), team_text(team)))
            .collect()
    };
    compare(&mut found, "settings.teams.", teams(before), teams(after));
    let objectives = |settings: &PolicySettings| -> BTreeMap<String, String> {
        let each = settings.objectives.iter().enumerate();
        each.map(|(n, o)| (n.to_string(), format!("{o:?}")))
            .collect()
    };
    let (old, new) = (objectives(before), objectives(after));
    compare(&mut found, "settings.objectives.", old, new);
    let idle = |settings: &PolicySettings| settings.idle_return_s.map(|s| s.to_string());
    if idle(before) != idle(after) {
        found.push(Difference {
            field: "settings.idle_return_s".into(),
            before: idle(before),
            after: idle(after),
        });
    }
    found
}

fn team_text(team: &TeamSettings) -> String {
    format!(
        "cpus {} of {}, gpus {} of {}",
        team.cpus, team.cpus_max, team.gpus, team.gpus_max
    )
}

fn compare(
    found: &mut Vec<Difference>,
    prefix: &str,
    before: BTreeMap<String, String>,
    after: BTreeMap<String, String>,
) {
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for name in names {
        let (old, new) = (before.get(name), after.get(name));
        if old != new {
            found.push(Difference {
                field: format!("{prefix}{name}"),
                before: old.cloned(),
                after: new.cloned(),
            });
        }
    }
}
