//! The scale run ends what it started, however it ends.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

/// A stand-in of a controller that only notes its process id.
fn idle_controller(folder: &Path) -> PathBuf {
    let script = folder.join("controller");
    let text = "#!/bin/sh\necho $$ > \"$2.pid\"\nexec sleep 120\n";
    std::fs::write(&script, text).unwrap();
    std::fs::set_permissions(&script, std::fs::Permissions::from_mode(0o755)).unwrap();
    script
}

fn start(folder: &Path) -> Child {
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

fn controllers(folder: &Path) -> Vec<u32> {
    let files = std::fs::read_dir(folder).unwrap().flatten();
    let pids = files.filter(|file| file.path().extension().is_some_and(|e| e == "pid"));
    pids.filter_map(|file| {
        std::fs::read_to_string(file.path())
            .ok()?
            .trim()
            .parse()
            .ok()
    })
    .collect()
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "in vain: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn runs(pid: u32) -> bool {
    let state = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    !state.is_empty() && !state.contains(") Z ")
}

#[test]
fn an_interrupt_ends_the_controllers_as_well() {
    for signal in [rustix::process::Signal::INT, rustix::process::Signal::TERM] {
        let name = format!("glenmount-ends-{}-{signal:?}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let mut run = start(&folder);
        until("two controllers", || controllers(&folder).len() == 2);
        let pids = controllers(&folder);
        assert!(pids.iter().all(|pid| runs(*pid)));
        let id = rustix::process::Pid::from_child(&run);
        rustix::process::kill_process(id, signal).unwrap();
        assert_eq!(run.wait().unwrap().code(), Some(1));
        until("controllers ended", || !pids.iter().any(|pid| runs(*pid)));
        std::fs::remove_dir_all(&folder).unwrap();
    }
}

#[test]
fn an_invalid_plan_exits_with_2_and_one_line() {
    let plan = Path::new(env!("CARGO_MANIFEST_DIR")).join("plans/small.toml");
    let out = Command::new(env!("CARGO_BIN_EXE_glenmount-loadtest"))
        .arg("scale")
        .arg(plan)
        .args(["--set", "workers.count=0"])
        .output()
        .unwrap();
    let said = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(
        said.starts_with("workers.count: ") && said.lines().count() == 1,
        "{said}"
    );
}
