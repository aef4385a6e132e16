//! Slow machines are told from slow work.

use glenmount_runtime_estimates::machines::Machines;

#[test]
fn a_slow_machine_is_told_from_work_that_takes_longer_everywhere() {
    let mut machines = Machines::default();
    for i in 0..40 {
        assert!(machines.ran(&format!("m{}", i % 10), 0.05));
    }
    for _ in 0..3 {
        machines.ran("sick", 1.5);
    }
    assert!(!machines.ran("sick", 1.5) && machines.slow("sick"));
    let mut doubled = Machines::default();
    for i in 0..200 {
        doubled.ran(&format!("m{}", i % 10), 0.7);
    }
    assert!((0..10).all(|i| !doubled.slow(&format!("m{i}"))));
}
