//! Parsing and validation of described days.

use super::{disable_check, parse_priority, Class, Day, Experiment, Fault, FaultKind, Variant};
use glenmount_core::safety_checks::Checks;
use thiserror::Error;

/// Name of the variant that is run when a file has none.
const DEFAULT_VARIANT: &str = "as it is";
/// Maximum number of processors of a task: as many as the largest machine type has.
const MAX_TASK_CPUS: f64 = 8.0;

/// Errors in an experiment file.
#[derive(Debug, Error)]
pub enum DayError {
    /// The file is not valid TOML, or a field is unknown, missing or of another type.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// A variant disables an unknown check.
    #[error("without: there is no check {0:?}")]
    UnknownCheck(String),
    /// A day has an invalid description.
    #[error("day {day:?}: {reason}")]
    Invalid {
        /// Name of the day.
        day: String,
        /// Reason why it is invalid.
        reason: InvalidDay,
    },
}

/// Reasons why a day is invalid. Messages name a field by its key in the file.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum InvalidDay {
    /// A number is out of range.
    #[error("{field}: must be between {min} and {max}")]
    OutOfRange {
        /// Key of the field.
        field: &'static str,
        /// Smallest valid value.
        min: usize,
        /// Largest valid value.
        max: usize,
    },
    /// A class names an unknown team.
    #[error("class {class:?}: unknown team {team:?}")]
    UnknownTeam {
        /// Name of the class.
        class: String,
        /// Name of the team.
        team: String,
    },
    /// A class names an unknown job priority.
    #[error("class {0:?}: rank: unknown")]
    UnknownPriority(String),
    /// The tasks of a class fit on no machine, or the class has no tasks or no team.
    #[error("class {0:?}: cpus, tasks or teams")]
    InvalidClass(String),
    /// A fault names an unknown zone.
    #[error("trouble: unknown zone")]
    UnknownZone,
    /// The share of a fault is not between 0 and 1.
    #[error("trouble: share: must be between 0 and 1")]
    InvalidShare,
}

impl Experiment {
    /// Parses and validates an experiment file.
    ///
    /// # Errors
    /// Returns a [`DayError`] that names the day, the class and the invalid field.
    pub fn read(text: &str) -> Result<Experiment, DayError> {
        let mut experiment: Experiment = toml::from_str(text)?;
        if experiment.variants.is_empty() {
            experiment.variants.push(Variant {
                name: DEFAULT_VARIANT.into(),
                ..Variant::default()
            });
        }
        for variant in &experiment.variants {
            let mut checks = Checks::default();
            for name in &variant.disabled_checks {
                disable_check(&mut checks, name)?;
            }
        }
        for day in &experiment.days {
            day.validate().map_err(|reason| DayError::Invalid {
                day: day.name.clone(),
                reason,
            })?;
        }
        Ok(experiment)
    }
}

/// Returns an error if a number is out of range.
fn check_range(
    field: &'static str,
    value: usize,
    min: usize,
    max: usize,
) -> Result<(), InvalidDay> {
    match (min..=max).contains(&value) {
        true => Ok(()),
        false => Err(InvalidDay::OutOfRange { field, min, max }),
    }
}

impl Day {
    fn validate(&self) -> Result<(), InvalidDay> {
        check_range("machines", self.machines, 1, 10_000)?;
        check_range("nodes", self.controllers, 1, 7)?;
        check_range("zones", self.zones.len(), 1, 4)?;
        check_range("seconds", self.seconds as usize, 1, 7_200)?;
        for class in &self.classes {
            self.validate_class(class)?;
        }
        for fault in &self.faults {
            self.validate_fault(fault)?;
        }
        Ok(())
    }

    fn validate_class(&self, class: &Class) -> Result<(), InvalidDay> {
        let is_known = |team: &String| self.teams.iter().any(|t| t.name == *team);
        if let Some(team) = class.teams.iter().find(|team| !is_known(team)) {
            return Err(InvalidDay::UnknownTeam {
                class: class.name.clone(),
                team: team.clone(),
            });
        }
        if parse_priority(&class.priority).is_none() {
            return Err(InvalidDay::UnknownPriority(class.name.clone()));
        }
        let fits = class.cpus > 0.0 && class.cpus <= MAX_TASK_CPUS && class.tasks >= 1.0;
        if !fits || class.teams.is_empty() {
            return Err(InvalidDay::InvalidClass(class.name.clone()));
        }
        Ok(())
    }

    fn validate_fault(&self, fault: &Fault) -> Result<(), InvalidDay> {
        match &fault.kind {
            FaultKind::ZoneCut { zone, .. } if !self.zones.contains(zone) => {
                Err(InvalidDay::UnknownZone)
            }
            FaultKind::LateWrites { share, .. } | FaultKind::LateReports { share, .. }
                if !(0.0..=1.0).contains(share) =>
            {
                Err(InvalidDay::InvalidShare)
            }
            _ => Ok(()),
        }
    }
}
