//! Compares two configurations.

use glenmount_core::configuration::{PolicySettings, TeamSettings};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// One difference between two configurations.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// The field's name in the settings file.
    pub field: String,
    /// The previous value, if there is one.
    pub before: Option<String>,
    /// The new value, if there is one.
    pub after: Option<String>,
}

/// Returns the differences between the stored configuration and another.
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
        let objectives = settings.objectives.iter().enumerate();
        objectives
            .map(|(n, objective)| (n.to_string(), format!("{objective:?}")))
            .collect()
    };
    let (old, new) = (objectives(before), objectives(after));
    compare(&mut found, "settings.objectives.", old, new);
    let idle_return = |settings: &PolicySettings| settings.idle_return_s.map(|s| s.to_string());
    if idle_return(before) != idle_return(after) {
        found.push(Difference {
            field: "settings.idle_return_s".into(),
            before: idle_return(before),
            after: idle_return(after),
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
