//! Detection of slow machines.

use glenmount_runtime_estimates::machine_speeds::MachineSpeeds;

#[test]
fn a_slow_machine_is_distinguished_from_work_that_takes_longer_on_all_machines() {
    let mut machines = MachineSpeeds::default();
    for i in 0..40 {
        assert!(machines.add_run(&format!("m{}", i % 10), 0.05));
    }
    for _ in 0..3 {
        machines.add_run("slow", 1.5);
    }
    assert!(!machines.add_run("slow", 1.5) && machines.is_slow("slow"));
    let mut doubled = MachineSpeeds::default();
    for i in 0..200 {
        doubled.add_run(&format!("m{}", i % 10), 0.7);
    }
    assert!((0..10).all(|i| !doubled.is_slow(&format!("m{i}"))));
}
