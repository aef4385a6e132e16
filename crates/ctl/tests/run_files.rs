//! Files of runs: read back as written, and whatever is broken, cut off or of something else gets
//! a sentence.

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
        secs: 10.0 + (n % 7) as f64,
        team: "red".into(),
        class: format!("c{}", n % 3),
        image: "img".into(),
        job: format!("j-{}", n / 5),
        task: (n % 4 > 0).then_some(n as i32),
        expect_s: (n % 2) as f64 * 12.0,
        done: n % 9 > 0,
        runs: 1,
        machine: (n % 5 > 0).then(|| format!("n-{n}")),
    }
}

fn written(rows: &[RunRecord]) -> Bytes {
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
fn rows_come_back_as_written_over_several_row_groups() {
    let rows: Vec<RunRecord> = (0..GROUP_ROWS * 2 + 17).map(row).collect();
    assert_eq!(read(written(&rows)).unwrap(), rows);
    assert_eq!(read(written(&[])).unwrap(), []);
}

#[test]
fn files_that_are_broken_cut_off_or_foreign_are_named_as_such() {
    let rows: Vec<RunRecord> = (0..500).map(row).collect();
    let bytes = written(&rows);
    for cut in [0, 3, 11, 12, 100, bytes.len() / 2, bytes.len() - 1] {
        let error = read(bytes.slice(..cut)).unwrap_err().to_string();
        assert!(error.contains("Parquet"), "{cut}: {error}");
    }
    let error = read(Bytes::from_static(b"once upon a time there was no file"))
        .unwrap_err()
        .to_string();
    assert!(error.contains("not a Parquet file"), "{error}");
    // Another kind of Parquet file: the mark in its metadata is another one.
    let kind = b"glenmount.runs";
    let at = bytes.windows(kind.len()).position(|w| w == kind).unwrap();
    let mut other = bytes.to_vec();
    other[at] = b'G';
    let error = read(Bytes::from(other)).unwrap_err().to_string();
    assert!(error.contains("something else"), "{error}");
}

#[test]
fn a_value_that_can_not_be_names_its_row_and_field() {
    let mut rows: Vec<RunRecord> = (0..5).map(row).collect();
    rows[3].secs = -1.0;
    let error = read(written(&rows)).unwrap_err().to_string();
    assert!(error.contains("row 4: secs"), "{error}");
}

#[test]
fn logs_are_sorted_by_start_and_faulty_lines_passed_over_and_named() {
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
    assert_eq!(runs.faults.count, 2);
    assert!(
        runs.faults.named[0].contains("a.log: line 4: secs"),
        "{:?}",
        runs.faults
    );
    let folder = tempfile::tempdir().unwrap();
    let (bytes, n) = export::write(rows.into_iter(), folder.path(), Vec::new()).unwrap();
    let starts: Vec<i64> = (read(Bytes::from(bytes)).unwrap().iter())
        .map(|r| r.start_ms)
        .collect();
    assert_eq!((n, starts), (2, vec![40_500, 99_000]));
}

#[test]
fn a_replay_knows_only_the_past() {
    // Every job takes ten times what the one before did: who knew the future would be right.
    let mut replay = Replay::new(0);
    for n in 0..6u32 {
        let secs = 10f64.powi(n as i32);
        let start_ms = 1_000_000 + i64::from(n) * 10;
        let row = RunRecord {
            secs,
            start_ms,
            expect_s: 1.0,
            done: true,
            job: format!("j-{n}"),
            ..row(1)
        };
        replay.play(row).unwrap();
    }
    let report = replay.report();
    // All began before the first had ended: each was believed to take the owner's second.
    let owner = report.all.owner.unwrap();
    assert!((report.all.learned.unwrap().p90 - owner.p90).abs() < 0.02 * owner.p90);
    assert!(report.all.plain_mean.is_none());
    assert_eq!((report.rows, report.all.runs), (6, 6));
}

#[test]
fn a_replay_of_the_same_work_again_and_again_beats_the_owners_word() {
    let mut replay = Replay::new(5);
    for n in 0..40 {
        let secs = 60.0 + f64::from(n % 5);
        let start_ms = 1_000_000 + i64::from(n) * 100_000;
        let (expect_s, job) = ([20.0, 200.0][n as usize % 2], format!("j-{n}"));
        let row = RunRecord {
            secs,
            start_ms,
            expect_s,
            done: true,
            job,
            class: "c".into(),
            ..row(1)
        };
        replay.play(row).unwrap();
    }
    let before = RunRecord {
        start_ms: 5,
        ..row(1)
    };
    let error = replay.play(before).unwrap_err().to_string();
    assert!(error.contains("row 41: start_ms"), "{error}");
    let report = replay.report();
    let (own, owner) = (report.all.learned.unwrap(), report.all.owner.unwrap());
    assert!(own.median < owner.median / 2.0, "{own:?} {owner:?}");
    assert!(report.table().contains("red/c"));
}

proptest! {
    // The same cases every time.
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Bytes changed anywhere: an error, or rows that pass the checks; never a panic.
    #[test]
    fn damaged_files_do_no_harm(
        at in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in prop::option::of(any::<prop::sample::Index>()),
    ) {
        let rows: Vec<RunRecord> = (0..60).map(row).collect();
        let mut bytes = written(&rows).to_vec();
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
    fn any_line_of_a_log_is_read_or_refused(line in "\\PC{0,80}(ran run=\\{)?\\PC{0,120}") {
        let mut log = LogRuns::new("l", line.as_bytes(), Box::new(|_| ()));
        while let Ok(Some(row)) = log.next_record() {
            prop_assert!(row.check().is_ok());
        }
    }
}
