//! Parses lines of controllers' logs: runs, invalid runs, and other lines.

use glenmountctl::run_record::parse_log_line;

#[test]
fn a_run_is_parsed_after_any_prefix() {
    let json = r#"{"at":10000,"class":"a b","done":true,"expect_s":3.0,"image":"i","job":"j-1","machine":"n","secs":2.5,"task":7,"team":"t"}"#;
    let record = parse_log_line(&format!("12:00 node INFO ran run={json}"))
        .unwrap()
        .unwrap();
    assert_eq!(
        (record.start_ms, record.run_time_s, record.task),
        (7_500, 2.5, Some(7))
    );
    assert!(parse_log_line("INFO claimed task=j-1/0").is_none());
    let invalid = json.replace("2.5", "-2.5");
    let error = parse_log_line(&format!("ran run={invalid}"))
        .unwrap()
        .unwrap_err()
        .to_string();
    assert!(error.contains("secs"), "{error}");
    assert!(parse_log_line(&format!("ran run={}", &json[..40]))
        .unwrap()
        .is_err());
}
