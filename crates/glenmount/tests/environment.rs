//! The environment variable that sets the log level, and what a value that is none leads to.

use std::process::Command;

#[test]
fn an_unknown_log_level_is_refused_by_the_variable_s_name() {
    let output = Command::new(env!("CARGO_BIN_EXE_glenmount"))
        .args(["--config", "missing.toml"])
        .env("LOG_LEVEL", "loud")
        .output()
        .expect("the program starts");
    let stderr = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    let expected = "LOG_LEVEL: must be error, info or debug, not \"loud\"";
    assert!(stderr.contains(expected), "{stderr}");
}
