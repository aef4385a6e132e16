//! Tests that an invalid value of the environment variable for the log level is rejected.

use std::process::Command;

#[test]
fn unknown_log_level_is_rejected_with_the_name_of_the_variable() {
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
