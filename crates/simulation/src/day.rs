//! Days of a site, described in TOML: what there is, what is asked, and what goes wrong when.

use glenmount_core::model::JobPriority;
use glenmount_core::safety_checks::Checks;
use glenmount_core::tuning::Tuning;
use serde::Deserialize;

/// A file of `experiment`: days, and variants that each of them is played with.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    #[serde(rename = "day")]
    pub days: Vec<Day>,
    /// None: as the service runs.
    #[serde(rename = "variant", default)]
    pub variants: Vec<Variant>,
}

/// What is left out or changed. Only the world has this.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    pub name: String,
    /// Checks that are left out, by their names.
    #[serde(default)]
    pub without: Vec<String>,
    /// Constants that are changed, by their names.
    #[serde(default)]
    pub tuning: Tuning,
    #[serde(default)]
    pub machines: Option<usize>,
    #[serde(default)]
    #[serde(rename = "nodes")]
    pub controllers: Option<usize>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    pub name: String,
    pub seconds: u64,
    /// Seconds before anything is counted.
    pub warm_s: u64,
    pub machines: usize,
    /// Machines that the cloud has beyond these.
    #[serde(default)]
    pub capacity: u32,
    #[serde(rename = "nodes")]
    pub controllers: usize,
    pub zones: Vec<String>,
    /// Zones that have controllers, in turn; all of them if not said.
    #[serde(default)]
    #[serde(rename = "nodes_in")]
    pub controllers_in: Vec<String>,
    pub limits: Limits,
    pub workers: Workers,
    #[serde(rename = "team")]
    pub teams: Vec<Team>,
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    #[serde(rename = "trouble", default)]
    pub troubles: Vec<Fault>,
}

/// What the outside services take.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    pub state_rps: f64,
    pub write_rps: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub value_kb: f64,
    #[serde(rename = "txn_ops")]
    pub max_transaction_changes: usize,
    /// Workers' connections that a controller holds at most.
    pub sockets: usize,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    pub name: String,
    /// Processors; 0 is none.
    pub cpus: f64,
    pub cpus_max: f64,
}

/// A class of jobs. Sizes and run times are spread like a logarithmic normal distribution.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub teams: Vec<String>,
    #[serde(default)]
    pub service: bool,
    /// `low`, `standard`, `high` or `critical`.
    #[serde(rename = "rank")]
    pub priority: String,
    pub tasks: f64,
    #[serde(default)]
    pub tasks_max: Option<u32>,
    pub run_s: f64,
    pub cpus: f64,
    /// Jobs a second, and at the start.
    pub rate: f64,
    #[serde(default)]
    pub initial: u32,
    /// Seconds within which its jobs should be done.
    #[serde(default)]
    pub within_s: Vec<f64>,
    /// Due so many times its run time and 10 s after its submission.
    #[serde(default)]
    pub deadline: Option<f64>,
    #[serde(default)]
    pub spot: bool,
    #[serde(default)]
    #[serde(rename = "scatter")]
    pub topology_spread: bool,
    #[serde(default)]
    pub images: Option<u32>,
    /// Share of its jobs that are cancelled half way.
    #[serde(default)]
    pub cancelled: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    pub at_s: f64,
    /// Again so many times, so often.
    #[serde(default)]
    pub times: u32,
    #[serde(default)]
    pub every_s: f64,
    #[serde(flatten)]
    pub what: FaultKind,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// The busiest controllers end, and are back after some time.
    End {
        count: usize,
        back_s: f64,
    },
    /// The busiest controller is asked to end.
    Leave {
        back_s: f64,
    },
    Freeze {
        count: usize,
        for_s: f64,
    },
    CutState {
        for_s: f64,
    },
    CutWorkers {
        for_s: f64,
    },
    CutPeers {
        for_s: f64,
    },
    StateOutage {
        for_s: f64,
    },
    ZoneCut {
        zone: String,
        for_s: f64,
    },
    MachinesDie {
        count: usize,
    },
    /// They lose the network.
    MachinesCut {
        count: usize,
        for_s: f64,
    },
    /// The busiest controller loses the state service and its peers, not its workers or users.
    CutAlone {
        for_s: f64,
    },
    /// The state service answers the busiest controller alone with 503.
    RefuseState {
        for_s: f64,
    },
    /// Answers and commands to these machines are lost; their reports arrive.
    Deaf {
        count: usize,
        for_s: f64,
    },
    /// That share of transactions gets no answer and is carried out seconds later.
    LateWrites {
        share: f64,
        for_s: f64,
    },
    /// Of that share of the reports a copy arrives again later.
    LateReports {
        share: f64,
        for_s: f64,
    },
    Burst {
        class: String,
        factor: f64,
        for_s: f64,
    },
}

/// Leaves a check out, by its name.
pub fn leave_out(checks: &mut Checks, name: &str) -> Result<(), String> {
    let check = match name {
        "proof" => &mut checks.proof,
        "gap" => &mut checks.gap,
        "caught_up" => &mut checks.caught_up,
        "types" => &mut checks.machine_types,
        "format" => &mut checks.format,
        "view" => &mut checks.view,
        "fate" => &mut checks.fate,
        "heard" => &mut checks.heard,
        "round" => &mut checks.round,
        "hires" => &mut checks.instance_requests,
        "zones" => &mut checks.zones,
        "workers" => &mut checks.workers,
        "copies" => &mut checks.copies,
        "hears" => &mut checks.heard_peers,
        "alone" => &mut checks.alone,
        "bounded" => &mut checks.bounded,
        "unanswered" => &mut checks.unanswered,
        "doubt" => &mut checks.doubt,
        "session" => &mut checks.incarnation,
        "mute" => &mut checks.mute,
        "strangers" => &mut checks.strangers,
        "begins" => &mut checks.begins,
        "configuration" => &mut checks.configuration,
        "configured" => &mut checks.configured,
        "eviction" => &mut checks.eviction,
        other => return Err(format!("without: there is no check {other:?}")),
    };
    *check = false;
    Ok(())
}

impl Experiment {
    pub fn read(text: &str) -> Result<Experiment, String> {
        let mut read: Experiment = toml::from_str(text).map_err(|e| e.to_string())?;
        if read.variants.is_empty() {
            read.variants.push(Variant {
                name: "as it is".into(),
                ..Variant::default()
            });
        }
        for variant in &read.variants {
            let mut checks = Checks::default();
            for name in &variant.without {
                leave_out(&mut checks, name)?;
            }
        }
        for day in &read.days {
            day.check()
                .map_err(|e| format!("day {:?}: {e}", day.name))?;
        }
        Ok(read)
    }
}

/// Refuses a number that is not between two bounds.
fn within(field: &str, n: usize, least: usize, most: usize) -> Result<(), String> {
    match (least..=most).contains(&n) {
        true => Ok(()),
        false => Err(format!("{field}: must be between {least} and {most}")),
    }
}

impl Day {
    fn check(&self) -> Result<(), String> {
        within("machines", self.machines, 1, 10_000)?;
        within("nodes", self.controllers, 1, 7)?;
        within("zones", self.zones.len(), 1, 4)?;
        within("seconds", self.seconds as usize, 1, 7_200)?;
        self.classes.iter().try_for_each(|c| self.check_class(c))?;
        self.troubles.iter().try_for_each(|t| self.check_trouble(t))
    }

    fn check_class(&self, class: &Class) -> Result<(), String> {
        let refuse = |why: String| Err(format!("class {:?}: {why}", class.name));
        let known = |team: &String| self.teams.iter().any(|t| t.name == *team);
        if let Some(team) = class.teams.iter().find(|team| !known(team)) {
            return refuse(format!("unknown team {team:?}"));
        }
        if priority(&class.priority).is_none() {
            return refuse("rank: unknown".into());
        }
        let fits = class.cpus > 0.0 && class.cpus <= 8.0 && class.tasks >= 1.0;
        if !fits || class.teams.is_empty() {
            return refuse("cpus, tasks or teams".into());
        }
        Ok(())
    }

    fn check_trouble(&self, trouble: &Fault) -> Result<(), String> {
        match &trouble.what {
            FaultKind::ZoneCut { zone, .. } if !self.zones.contains(zone) => {
                Err("trouble: unknown zone".into())
            }
            FaultKind::LateWrites { share, .. } | FaultKind::LateReports { share, .. }
                if !(0.0..=1.0).contains(share) =>
            {
                Err("trouble: share: must be between 0 and 1".into())
            }
            _ => Ok(()),
        }
    }
}

pub fn priority(name: &str) -> Option<JobPriority> {
    Some(match name {
        "low" => JobPriority::Low,
        "standard" => JobPriority::Normal,
        "high" => JobPriority::High,
        "critical" => JobPriority::Production,
        _ => return None,
    })
}
