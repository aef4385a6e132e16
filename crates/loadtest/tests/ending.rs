//! A load test ends the controllers that it started, also when a signal interrupts it.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Writes a script that stands in for a controller and only records its process id.
fn idle_controller(folder: &Path) -> PathBuf {
    let script = folder.join("controller");
    let text = "#!/bin/sh\necho $$ > \"$2.pid\"\nexec sleep 120\n";
    std::fs::write(&script, text).unwrap();
    std::fs::set_permissions(&script, std::fs::Permissions::from_mode(0o755)).unwrap();
    script
}

fn start_load_test(folder: &Path) -> Child {
    let plan = Path::new(env!("CARGO_MANIFEST_DIR")).join("plans/small.toml");
    Command::new(env!("CARGO_BIN_EXE_glenmount-loadtest"))
        .arg("scale")
        .arg(plan)
        .args(["--quiet", "--binary"])
        .arg(idle_controller(folder))
        .arg("--folder")
        .arg(folder)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

fn controller_pids(folder: &Path) -> Vec<u32> {
    let files = std::fs::read_dir(folder).unwrap().flatten();
    let pids = files.filter(|file| {
        file.path()
            .extension()
            .is_some_and(|extension| extension == "pid")
    });
    pids.filter_map(|file| {
        std::fs::read_to_string(file.path())
            .ok()?
            .trim()
            .parse()
            .ok()
    })
    .collect()
}

fn wait_until(condition: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out: {condition}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn is_running(pid: u32) -> bool {
    let state = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    !state.is_empty() && !state.contains(") Z ")
}

#[test]
fn an_interrupted_run_kills_its_controllers() {
    for signal in [rustix::process::Signal::INT, rustix::process::Signal::TERM] {
        let name = format!("glenmount-ends-{}-{signal:?}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let mut load_test = start_load_test(&folder);
        wait_until("two controllers", || controller_pids(&folder).len() == 2);
        let pids = controller_pids(&folder);
        assert!(pids.iter().all(|pid| is_running(*pid)));
        let id = rustix::process::Pid::from_child(&load_test);
        rustix::process::kill_process(id, signal).unwrap();
        assert_eq!(load_test.wait().unwrap().code(), Some(1));
        wait_until("controllers ended", || {
            !pids.iter().any(|pid| is_running(*pid))
        });
        std::fs::remove_dir_all(&folder).unwrap();
    }
}

#[test]
fn an_invalid_plan_exits_with_2_and_one_line() {
    let plan = Path::new(env!("CARGO_MANIFEST_DIR")).join("plans/small.toml");
    let output = Command::new(env!("CARGO_BIN_EXE_glenmount-loadtest"))
        .arg("scale")
        .arg(plan)
        .args(["--set", "workers.count=0"])
        .output()
        .unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr.starts_with("workers.count: ") && stderr.lines().count() == 1,
        "{stderr}"
    );
}
