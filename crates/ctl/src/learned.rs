//! What the state service holds of run times.

use crate::run::Row;
use crate::Failure;
use glenmount_core::records::{Key, Record, RunsRecord};
use glenmount_runtimes::history::History;
use glenmount_runtimes::mixture::Mixture;
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::time::Duration;

/// Records per page; the state service holds a page under 512 KiB.
const PAGE: usize = 200;
/// Bytes of a page at most.
const PAGE_BYTES: u64 = 4 << 20;
/// Records read at most: many times what nodes keep.
const MOST_RECORDS: usize = 100_000;
/// Time for a page.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Tries of a page that the service refuses, and the pause between them.
const TRIES: u32 = 5;
const PAUSE: Duration = Duration::from_millis(400);

#[derive(Deserialize)]
struct Page {
    items: Vec<Item>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize)]
struct Item {
    k: String,
    v: serde_json::Value,
}

/// One page from an address like `10.2.0.1:2379`.
fn page(address: &str, since: Option<&str>) -> Result<Page, Failure> {
    let since = since.map_or(String::new(), |s| format!("&since={s}"));
    let url = format!("http://{address}/keys?under=g/runs/{since}&most={PAGE}");
    let mut last = String::new();
    for n in 0..TRIES {
        if n > 0 {
            std::thread::sleep(PAUSE);
        }
        match ureq::get(&url).timeout(TIMEOUT).call() {
            Ok(answer) => {
                let mut text = String::new();
                let body = answer
                    .into_reader()
                    .take(PAGE_BYTES)
                    .read_to_string(&mut text);
                body.map_err(|e| format!("{address}: the answer broke off: {e}"))?;
                return serde_json::from_str(&text)
                    .map_err(|e| format!("{address}: not the state service's answer: {e}"));
            }
            Err(ureq::Error::Status(status @ (429 | 503), _)) => {
                last = format!("{address}: answers {status}; try again later");
            }
            Err(ureq::Error::Status(status, _)) => {
                return Err(format!(
                    "{address}: answers {status}: is it the state service?"
                ));
            }
            Err(e) => last = format!("{address}: not reached: {e}"),
        }
    }
    Err(last)
}

/// All records, and how many were damaged.
pub fn read(address: &str) -> Result<(Vec<(RunsRecord, History)>, usize), Failure> {
    let (mut found, mut damaged, mut since) = (Vec::new(), 0, None);
    loop {
        let page = page(address, since.as_deref())?;
        let last = page.items.last().map(|i| i.k.clone());
        for item in page.items {
            let record = Key::parse(&item.k).and_then(|key| Record::read(&key, item.v));
            let history = |r: &RunsRecord| History::unpack(&r.packed);
            match record {
                Some(Record::Runs(r)) => match history(&r) {
                    Some(h) => found.push((r, h)),
                    None => damaged += 1,
                },
                _ => damaged += 1,
            }
        }
        if !page.more || last.is_none() || found.len() >= MOST_RECORDS {
            return Ok((found, damaged));
        }
        since = last;
    }
}

/// What is learned of a class, for a job whose owner says what owners said on the whole.
#[derive(Debug, Serialize)]
pub struct Shown {
    pub team: String,
    pub class: String,
    /// Runs counted in all, and jobs remembered of them.
    pub runs: u64,
    pub jobs: usize,
    /// Seconds: 90 in 100 runs should lie between low and high.
    pub low_s: f64,
    pub median_s: f64,
    pub high_s: f64,
    /// Mean logarithm by which run times exceed the owner's estimates, of the latest six jobs.
    pub owner_bias: Option<f64>,
    /// Milliseconds since 1970 of the latest change.
    pub at: u64,
}

pub fn shown(record: &RunsRecord, history: &History) -> Shown {
    let prior = Mixture::new(Vec::new());
    let (jobs, within) = history.mixture(None, 0, &prior);
    let e = jobs.wider(within).estimate();
    let latest: Vec<f64> = history.excess().rev().take(6).collect();
    let bias = latest.iter().sum::<f64>() / latest.len().max(1) as f64;
    Shown {
        team: record.team.clone(),
        class: record.class.clone(),
        runs: history.runs,
        jobs: history.jobs().len(),
        low_s: e.low_s,
        median_s: e.median_s,
        high_s: e.high_s,
        owner_bias: (!latest.is_empty()).then_some(bias),
        at: record.at,
    }
}

/// The jobs that a record remembers, as rows: of their starts only the order is known.
pub fn rows(record: &RunsRecord, history: &History) -> Vec<Row> {
    let count = history.jobs().len() as i64;
    let jobs = history.jobs().iter().enumerate();
    jobs.map(|(i, j)| Row {
        start_ms: (record.at as i64).saturating_sub(count - i as i64).max(0),
        secs: j.mean.exp(),
        team: record.team.clone(),
        class: record.class.clone(),
        image: format!("#{:04x}", j.image),
        job: format!("#{:08x}", j.tag),
        task: None,
        expect_s: j.expect.map_or(0.0, f64::exp),
        done: j.runs > 0,
        runs: i32::from(j.runs.max(1)),
        machine: None,
    })
    .collect()
}
