//! Leases of workers whose controller has lost the state service while it lists the records. It must not renew the
//! lease of a worker that may hold a task of a job whose cancellation it has not read.

use crate::listing_controller::{listed_job, ListedRecord, ListingController};
use glenmount_core::constants::CONFIRMED_CANCELLATION_TERM;
use glenmount_core::controller::{Event, PeerHeartbeat, RequestId, WorkerReply};
use glenmount_core::model::{TaskId, TaskPhase, TaskStatus, WorkerHeartbeat};
use glenmount_core::state::{CancellationConfirmationRecord, JobPhase, Key, Record};
use glenmount_simulation::{job, settings, START_TIME_MS};

/// Number of controllers.
const CONTROLLERS: usize = 3;
/// Interval between the heartbeats of a peer.
const PEER_HEARTBEAT_INTERVAL_MS: u64 = 200;
/// Time after which a controller replies to a heartbeat that it held back, with a margin.
const REPLY_MS: u64 = 4_000;

/// Returns the heartbeat of a worker in a zone that runs the task of `j-1`.
fn heartbeat(zone: &str, token: u64, sequence: u64) -> WorkerHeartbeat {
    let task = TaskId {
        job: "j-1".into(),
        index: 0,
    };
    WorkerHeartbeat {
        machine: format!("n-{zone}"),
        address: format!("{zone}:1"),
        type_name: "small".into(),
        zone: zone.into(),
        spot: false,
        incarnation: 1,
        sequence,
        token,
        notice_s: None,
        tasks: vec![TaskStatus {
            task,
            attempt: 3,
            phase: TaskPhase::Running,
        }],
    }
}

/// Returns `j-1` from before its cancellation.
fn open_job() -> ListedRecord {
    listed_job(job("j-1", 1), 3, JobPhase::Open)
}

/// Returns the marker from whose revision on cancellations are confirmed.
fn marker(mod_revision: u64) -> ListedRecord {
    let record = CancellationConfirmationRecord { version: 3 };
    let record = Record::CancellationConfirmation(record);
    (Key::CancellationConfirmation, mod_revision, record)
}

/// Starts a controller that has read one page and loses the state service before the next one.
fn listing_until(page: Vec<ListedRecord>) -> ListingController {
    let mut listing = ListingController::start(settings("node-0", CONTROLLERS));
    listing.deliver_page(20, page);
    listing
}

fn is_renewed(listing: &ListingController, request: RequestId) -> bool {
    match listing.worker_reply(request) {
        Some(WorkerReply::Commands { .. }) => true,
        Some(WorkerReply::Unavailable) => false,
        other => panic!("{other:?}"),
    }
}

/// Guards against `ran_cancelled`: a cancellation older than the marker was answered at its commit, and the page with the
/// job may be older than both.
#[test]
fn a_marker_on_an_unfinished_list_renews_no_lease() {
    let mut listing = listing_until(vec![open_job(), marker(15)]);
    let request = listing.send_heartbeat(heartbeat("east", 1, 1));
    listing.run(REPLY_MS);
    assert!(!is_renewed(&listing, request));
}

/// Guards against `ran_cancelled`: without a marker, a controller that has lost the state service renews leases for
/// a while, but stops the tasks of the jobs that it knows to be cancelled. One that has not read all of them can't.
#[test]
fn an_unfinished_list_without_a_marker_renews_no_lease() {
    let mut listing = listing_until(vec![open_job()]);
    let request = listing.send_heartbeat(heartbeat("east", 1, 1));
    listing.run(REPLY_MS);
    assert!(!is_renewed(&listing, request));
}

/// The token of a worker proves by itself that it holds no task of a cancellation that was answered at its commit: its
/// lease is renewed whatever has been read.
#[test]
fn a_high_token_renews_a_lease_during_a_list() {
    let mut listing = listing_until(vec![open_job()]);
    let request = listing.send_heartbeat(heartbeat("east", CONFIRMED_CANCELLATION_TERM, 1));
    listing.run(REPLY_MS);
    assert!(is_renewed(&listing, request));
}

/// Guards against keeping workers at the one controller that can't stop their cancelled tasks, having read no records:
/// its peers have, and the workers that reach them are sent there once.
#[test]
fn an_unfinished_list_sends_workers_to_peers_that_have_the_records() {
    let mut listing = listing_until(vec![open_job()]);
    let token = CONFIRMED_CANCELLATION_TERM;
    listing.send_heartbeat(heartbeat("west", token, 1));
    let request = listing.send_heartbeat(heartbeat("east", token, 1));
    for sequence in 0..REPLY_MS / PEER_HEARTBEAT_INTERVAL_MS {
        for peer in ["node-1", "node-2"] {
            listing.handle(Event::PeerHeartbeat(PeerHeartbeat {
                controller: peer.into(),
                sent_at: START_TIME_MS + sequence,
                workers_reachable: true,
                ..PeerHeartbeat::default()
            }));
        }
        listing.run(PEER_HEARTBEAT_INTERVAL_MS);
        // Workers of another zone still reach this controller, so it is not cut off with its zone.
        listing.send_heartbeat(heartbeat("west", token, 2 + sequence));
    }
    assert!(!is_renewed(&listing, request));
}
