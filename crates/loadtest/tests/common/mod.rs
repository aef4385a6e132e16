//! Default submission that several tests modify.

use glenmount_loadtest::plan::{JobPriority, JobShape};
use glenmount_loadtest::protocol::jobs::Submission;

pub fn submission(id: &str, tasks: u32, vcpus: f64) -> Submission {
    Submission {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        shape: JobShape::Array,
        priority: JobPriority::Standard,
        task_count: tasks,
        vcpus,
        accelerators: 0.0,
        ram_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        zone_affinity: false,
        topology_spread: false,
        spot: false,
        expected_run_s: 1.0,
        checkpoint_interval_s: 0.0,
        checkpoint_write_s: 0.0,
        deadline_s: None,
    }
}
