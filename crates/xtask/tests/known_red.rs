//! Checks of the list of known failures and of test results against it.

use xtask::known_red::{evaluate, parse_list, parse_output, KnownFailure, KnownRedError};

const ONE: &str = "glenmount-core/meetings/late, answers overlap, issue 37";

fn one_listed() -> Vec<KnownFailure> {
    parse_list(ONE).unwrap()
}

/// Returns the output of cargo for a package with two targets.
fn output(late: &str, early: &str) -> String {
    format!(
        "   Compiling x\n     Running unittests src/lib.rs (target/debug/deps/x-1)\n\ntest a::b ... ok\n\
         test result: ok. 1 passed; 0 failed\n     Running tests/meetings.rs (target/debug/deps/meetings-2)\n\
         test late ... {late}\ntest late_too ... {early}\ntest result: FAILED. 1 passed; 1 failed\n"
    )
}

fn evaluate_output(
    listed: &[KnownFailure],
    output: &str,
    succeeded: bool,
) -> Result<Vec<String>, KnownRedError> {
    evaluate(listed, &[parse_output("glenmount-core", output, succeeded)])
}

#[test]
fn a_line_names_a_test_a_cause_and_an_issue() {
    let listed = parse_list("p/t/a::b, first, and more, issue 3").unwrap();
    assert_eq!(listed[0].test.to_string(), "p/t/a::b");
    assert_eq!(
        (listed[0].cause.as_str(), listed[0].issue.as_str()),
        ("first, and more", "issue 3")
    );
    for (text, error) in [
        ("p/t/a", "line 1: cause is missing"),
        ("p/t/a, cause", "line 1: issue is missing"),
        ("p/t/a, cause, ", "line 1: issue is missing"),
        (", cause, issue", "line 1: test is missing"),
        ("a, cause, issue", "line 1: test is not PACKAGE/TARGET/TEST"),
        ("p/t/a, c, i\np/t/a, c, i", "line 2: p/t/a is listed twice"),
        ("p/t/a, c, i\n\np/t/b, c, i", "line 2: test is missing"),
        (
            "p/t/a, c, i\np/t/b, c, i\np/t/c, c, i\np/t/d, c, i",
            "line 4: at most 3 tests may be listed",
        ),
    ] {
        assert_eq!(parse_list(text).unwrap_err().to_string(), error, "{text}");
    }
}

#[test]
fn a_line_in_the_long_form_also_has_command_seed_and_what_was_seen() {
    let line =
        "p/t/a::b; FROM=7 cargo test -p p --test t a::b; 7; ran twice, once; late copy; issue 3";
    let listed = parse_list(line).unwrap();
    assert_eq!(listed[0].test.to_string(), "p/t/a::b");
    assert_eq!(listed[0].seed.as_deref(), Some("7"));
    assert_eq!(listed[0].seen.as_deref(), Some("ran twice, once"));
    for (text, error) in [
        ("p/t/a;", "line 1: command is missing"),
        ("p/t/a; cargo test a; ; s; c; i", "line 1: seed is missing"),
        ("p/t/a; cargo test a; 1; ; c; i", "line 1: seen is missing"),
        ("p/t/a; cargo test a; 1; s; c", "line 1: issue is missing"),
        (
            "p/t/a; cargo test b; 1; s; c; i",
            "line 1: the command does not name p/t/a",
        ),
        (
            "p/t/a; cargo test a; 1; s; c; i; more",
            "line 1: more than the six fields test; command; seed; seen; cause; issue",
        ),
        (
            "t/a; cargo test a; 1; s; c; i",
            "line 1: test is not PACKAGE/TARGET/TEST",
        ),
    ] {
        assert_eq!(parse_list(text).unwrap_err().to_string(), error, "{text}");
    }
    let long = "glenmount-core/meetings/late; cargo test late; 7; overlap; late copy; issue 3";
    let lines = evaluate_output(&parse_list(long).unwrap(), &output("FAILED", "ok"), false);
    assert_eq!(
        lines.unwrap(),
        ["known red: glenmount-core/meetings/late: failed; cargo test late; 7; overlap; late copy; issue 3"]
    );
}

#[test]
fn a_listed_test_that_fails_is_printed_and_all_others_must_pass() {
    let lines = evaluate_output(&one_listed(), &output("FAILED", "ok"), false).unwrap();
    assert_eq!(
        lines,
        ["known red: glenmount-core/meetings/late: failed; answers overlap; issue 37"]
    );
    let lines = evaluate_output(&one_listed(), &output("ok", "ok"), true).unwrap();
    assert!(lines[0].contains(": passed;"), "{lines:?}");
    let error = evaluate_output(&one_listed(), &output("FAILED", "FAILED"), false)
        .unwrap_err()
        .to_string();
    assert_eq!(
        error,
        "glenmount-core/meetings/late_too failed and is not listed"
    );
    let error = evaluate_output(&[], &output("FAILED", "ok"), false)
        .unwrap_err()
        .to_string();
    assert_eq!(
        error,
        "glenmount-core/meetings/late failed and is not listed"
    );
}

/// Names are matched whole, with their package and target.
#[test]
fn a_listed_test_must_exist() {
    for listed in [
        "glenmount-core/meetings/lat",
        "glenmount-core/lib/late",
        "glenmount/meetings/late",
    ] {
        let failures = parse_list(&format!("{listed}, cause, issue")).unwrap();
        let error = evaluate_output(&failures, &output("ok", "ok"), true)
            .unwrap_err()
            .to_string();
        assert_eq!(error, format!("{listed} is listed and does not exist"));
    }
}

#[test]
fn targets_and_packages_without_results_fail() {
    let crashed = output("FAILED", "ok").replace("test result: FAILED. 1 passed; 1 failed\n", "");
    let error = evaluate_output(&one_listed(), &crashed, false)
        .unwrap_err()
        .to_string();
    assert_eq!(error, "meetings ended without a result");
    let error = evaluate_output(&one_listed(), &output("ok", "ok"), false)
        .unwrap_err()
        .to_string();
    assert_eq!(error, "cargo test failed, though no test did");
    // A listed failure does not hide another package that was not built.
    let known = parse_output("glenmount-core", &output("FAILED", "ok"), false);
    let unbuilt = parse_output("p", "error: could not compile", false);
    assert!(unbuilt.tests.is_empty());
    let error = evaluate(&one_listed(), &[known, unbuilt])
        .unwrap_err()
        .to_string();
    assert_eq!(error, "cargo test failed, though no test did");
}
