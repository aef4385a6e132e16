//! A submission that several tests change a little.

use glenmount_loadtest::plan::{Rank, Shape};
use glenmount_loadtest::protocol::Submission;

pub fn submission(id: &str, tasks: u32, vcpus: f64) -> Submission {
    Submission {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        shape: Shape::Array,
        rank: Rank::Standard,
        tasks,
        vcpus,
        accelerators: 0.0,
        ram_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        together: false,
        scatter: false,
        spot: false,
        expect_s: 1.0,
        snapshot_s: 0.0,
        flush_s: 0.0,
        due_s: None,
    }
}
