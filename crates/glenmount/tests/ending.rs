//! Tests that the process shuts down gracefully and promptly on SIGTERM.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

/// Returns settings of a controller that reaches no other service, so that nothing delays its shutdown.
fn settings() -> String {
    let (client, cluster, unused) = (free_port(), free_port(), free_port());
    format!(
        r#"
        member = "a-0"
        location = "z1"
        client_listen = "127.0.0.1:{client}"
        cluster_listen = "127.0.0.1:{cluster}"
        [outside]
        cloud = "127.0.0.1:{unused}"
        state = "127.0.0.1:{unused}"
        [settings]
        count = 1
        zones = ["z1"]
        clock_off_ms = 5.0
        [[settings.teams]]
        name = "t"
        cpus = 2.0
        cpus_max = 4.0
        gpus = 0.0
        gpus_max = 0.0
        [settings.workers]
        report_s = 0.5
        lease_s = 5.0
        gang_wait_s = 50.0
        gang_peer_s = 6.0
        cancel_s = 20.0
        [settings.state]
        rps = 100.0
        write_rps = 50.0
        value_kb = 8.0
        txn_ops = 16
        [settings.cloud]
        rps = 4.0
        list_lag_s = 4.0
        [settings.quota]
        cpu_share = 0.16
        ram_mb = 56.0
        sockets = 400
        "#
    )
}

#[test]
fn process_shuts_down_on_sigterm() {
    let folder = std::env::temp_dir().join(format!("glenmount-ending-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("settings.toml");
    std::fs::write(&file, settings()).unwrap();
    let mut controller = Command::new(env!("CARGO_BIN_EXE_glenmount"))
        .arg("--config")
        .arg(&file)
        .env("LOG_LEVEL", "info")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let log = BufReader::new(controller.stderr.take().unwrap());
    let mut lines = log.lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("started")), "it starts");
    let signal = Command::new("kill")
        .args(["-TERM", &controller.id().to_string()])
        .status();
    assert!(signal.unwrap().success());
    let signaled_at = Instant::now();
    assert!(lines.any(|line| line.contains("shutdown requested")));
    assert!(lines.any(|line| line.contains("exiting ")));
    let status = loop {
        if let Some(status) = controller.try_wait().unwrap() {
            break status;
        }
        if signaled_at.elapsed() > Duration::from_secs(20) {
            controller.kill().unwrap();
            panic!("the process does not end");
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    assert!(status.success(), "{status}");
    std::fs::remove_dir_all(&folder).unwrap();
}
