//! Run files are read back as written, and damaged, truncated or other files are reported as errors. Exports and
//! replays of runs.

use bytes::Bytes;
use glenmountctl::export::{self, LogRuns};
use glenmountctl::replay::Replay;
use glenmountctl::run_file::{RunFileError, RunReader, RunWriter, GROUP_ROWS};
use glenmountctl::run_record::RunRecord;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn row(n: usize) -> RunRecord {
    RunRecord {
        start_ms: 1_700_000_000_000 + n as i64 * 137,
        run_time_s: 10.0 + (n % 7) as f64,
        team: "red".into(),
        class: format!("c{}", n % 3),
        image: "img".into(),
        job: format!("j-{}", n / 5),
        task: (n % 4 > 0).then_some(n as i32),
        owner_estimate_s: (n % 2) as f64 * 12.0,
        done: n % 9 > 0,
        runs: 1,
        machine: (n % 5 > 0).then(|| format!("n-{n}")),
    }
}

fn run_file(rows: &[RunRecord]) -> Bytes {
    let mut writer = RunWriter::new(Vec::new()).unwrap();
    rows.iter().for_each(|r| writer.push(r.clone()).unwrap());
    let (bytes, n) = writer.finish().unwrap();
    assert_eq!(n, rows.len() as u64);
    Bytes::from(bytes)
}

fn read(bytes: Bytes) -> Result<Vec<RunRecord>, RunFileError> {
    let mut reader = RunReader::new(bytes)?;
    let mut rows = Vec::new();
    while let Some(row) = reader.next_record()? {
        rows.push(row);
    }
    Ok(rows)
}

#[test]
fn rows_are_read_back_over_several_row_groups() {
    let rows: Vec<RunRecord> = (0..GROUP_ROWS * 2 + 17).map(row).collect();
    assert_eq!(read(run_file(&rows)).unwrap(), rows);
    assert_eq!(read(run_file(&[])).unwrap(), []);
}

#[test]
fn truncated_and_other_files_are_reported() {
    let rows: Vec<RunRecord> = (0..500).map(row).collect();
    let bytes = run_file(&rows);
    for cut in [0, 3, 11, 12, 100, bytes.len() / 2, bytes.len() - 1] {
        let error = read(bytes.slice(..cut)).unwrap_err().to_string();
        assert!(error.contains("Parquet"), "{cut}: {error}");
    }
    let error = read(Bytes::from_static(b"a text file that has no Parquet data"))
        .unwrap_err()
        .to_string();
    assert!(error.contains("not a Parquet file"), "{error}");
    // A Parquet file with another metadata key.
    let key = b"glenmount.runs";
    let at = bytes.windows(key.len()).position(|w| w == key).unwrap();
    let mut other = bytes.to_vec();
    other[at] = b'G';
    let error = read(Bytes::from(other)).unwrap_err().to_string();
    assert!(error.contains("something else"), "{error}");
}

#[test]
fn an_invalid_value_is_reported_with_row_and_field() {
    let mut rows: Vec<RunRecord> = (0..5).map(row).collect();
    rows[3].run_time_s = -1.0;
    let error = read(run_file(&rows)).unwrap_err().to_string();
    assert!(error.contains("row 4: secs"), "{error}");
}

#[test]
fn runs_of_logs_are_sorted_by_start_and_invalid_lines_reported() {
    let line = |at: i64, secs: f64| {
        format!(
            "INFO ran run={{\"at\":{at},\"class\":\"c\",\"done\":true,\"expect_s\":3.0,\
             \"image\":\"i\",\"job\":\"j-1\",\"machine\":\"n\",\"secs\":{secs},\"task\":7,\"team\":\"t\"}}\n"
        )
    };
    let mut log = String::new();
    log += &line(100_000, 1.0);
    log += "INFO claimed task=j-1/0\n";
    log += &line(100_500, 60.0);
    log += &line(100_600, 2e9);
    log += "INFO ran run={\"at\":3";
    let mut runs = LogRuns::new("a.log", log.as_bytes(), Box::new(|_| ()));
    let mut rows = Vec::new();
    while let Some(row) = runs.next_record().unwrap() {
        rows.push(row);
    }
    assert_eq!(runs.invalid_lines.count, 2);
    assert!(
        runs.invalid_lines.messages[0].contains("a.log: line 4: secs"),
        "{:?}",
        runs.invalid_lines
    );
    let folder = tempfile::tempdir().unwrap();
    let (bytes, n) = export::write(rows.into_iter(), folder.path(), Vec::new()).unwrap();
    let starts: Vec<i64> = (read(Bytes::from(bytes)).unwrap().iter())
        .map(|r| r.start_ms)
        .collect();
    assert_eq!((n, starts), (2, vec![40_500, 99_000]));
}

#[test]
fn a_replay_estimates_from_ended_runs_only() {
    // Each job takes ten times as long as the previous one. Later runs would change the estimates.
    let mut replay = Replay::new(0);
    for n in 0..6u32 {
        let run_time_s = 10f64.powi(n as i32);
        let start_ms = 1_000_000 + i64::from(n) * 10;
        let row = RunRecord {
            run_time_s,
            start_ms,
            owner_estimate_s: 1.0,
            done: true,
            job: format!("j-{n}"),
            ..row(1)
        };
        replay.add_record(row).unwrap();
    }
    let report = replay.report();
    // All runs started before the first one ended, so each estimate is the owner's estimate of one second.
    let owner = report.total.owner.unwrap();
    assert!((report.total.learned.unwrap().p90 - owner.p90).abs() < 0.02 * owner.p90);
    assert!(report.total.plain_mean.is_none());
    assert_eq!((report.rows, report.total.runs), (6, 6));
}

#[test]
fn estimates_of_repeated_work_have_half_the_error_of_the_owners() {
    let mut replay = Replay::new(5);
    for n in 0..40 {
        let run_time_s = 60.0 + f64::from(n % 5);
        let start_ms = 1_000_000 + i64::from(n) * 100_000;
        let (owner_estimate_s, job) = ([20.0, 200.0][n as usize % 2], format!("j-{n}"));
        let row = RunRecord {
            run_time_s,
            start_ms,
            owner_estimate_s,
            done: true,
            job,
            class: "c".into(),
            ..row(1)
        };
        replay.add_record(row).unwrap();
    }
    let out_of_order = RunRecord {
        start_ms: 5,
        ..row(1)
    };
    let error = replay.add_record(out_of_order).unwrap_err().to_string();
    assert!(error.contains("row 41: start_ms"), "{error}");
    let report = replay.report();
    let (own, owner) = (report.total.learned.unwrap(), report.total.owner.unwrap());
    assert!(own.median < owner.median / 2.0, "{own:?} {owner:?}");
    assert!(report.table().contains("red/c"));
}

proptest! {
    // A fixed seed draws the same cases in each run.
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A file with changed bytes or truncated gives an error or valid rows, and no panic.
    #[test]
    fn damaged_files_give_an_error_or_valid_rows(
        at in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in prop::option::of(any::<prop::sample::Index>()),
    ) {
        let rows: Vec<RunRecord> = (0..60).map(row).collect();
        let mut bytes = run_file(&rows).to_vec();
        for (at, byte) in at {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        if let Some(cut) = cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        if let Ok(rows) = read(Bytes::from(bytes)) {
            prop_assert!(rows.iter().all(|r| r.check().is_ok()));
        }
    }

    #[test]
    fn any_log_line_gives_an_error_or_valid_runs(line in "\\PC{0,80}(ran run=\\{)?\\PC{0,120}") {
        let mut log = LogRuns::new("l", line.as_bytes(), Box::new(|_| ()));
        while let Ok(Some(row)) = log.next_record() {
            prop_assert!(row.check().is_ok());
        }
    }
}
