//! Follows the watch on all records in the state store.

use crate::http_client::{HttpClient, HttpError, HttpResponse, ResponseLimits};
use crate::timings::RECORDS_READ;
use crate::wire::state_store as wire;
use glenmount_core::constants::WATCH_POLL_TIMEOUT_MS;
use glenmount_core::controller::Event;
use tokio::sync::mpsc;
use tokio::time::{sleep, Duration};

/// Limits of a response, which the store holds back until there are changes or for `WATCH_POLL_TIMEOUT_MS`.
const LIMITS: ResponseLimits = ResponseLimits {
    timeout: Duration::from_millis(WATCH_POLL_TIMEOUT_MS + 60_000),
    max_body_bytes: 8 << 20,
};
/// Pause before a failed request for changes is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Number of watch restarts that may wait.
pub const RESTART_QUEUE_CAPACITY: usize = 16;

/// The error of a watch whose core is gone.
struct Closed;

/// Sends all changes to the core. The first revision received from `restarts` opens the watch, each later one
/// reopens it after that revision. Returns when the other end of either channel is dropped.
pub async fn run(http: HttpClient, restarts: mpsc::Receiver<u64>, core: mpsc::Sender<Event>) {
    let mut watch = Watch {
        http,
        core,
        restarts,
        revision: 0,
    };
    if watch.await_restart().await.is_err() {
        return;
    }
    while watch.advance().await.is_ok() {}
}

struct Watch {
    http: HttpClient,
    core: mpsc::Sender<Event>,
    restarts: mpsc::Receiver<u64>,
    /// Revision up to which all changes have been sent to the core.
    revision: u64,
}

impl Watch {
    async fn await_restart(&mut self) -> Result<(), Closed> {
        self.revision = self.restarts.recv().await.ok_or(Closed)?;
        Ok(())
    }

    /// Waits for the next changes and sends them to the core.
    async fn advance(&mut self) -> Result<(), Closed> {
        let path = wire::watch_path(self.revision);
        let response = tokio::select! {
            response = self.http.get(&path, LIMITS) => response,
            restart = self.restarts.recv() => {
                self.revision = restart.ok_or(Closed)?;
                return Ok(());
            }
        };
        match response {
            Ok(HttpResponse { status: 200, body }) => self.send_changes(&body).await,
            // The store has compacted away changes after this revision.
            Ok(HttpResponse { status: 410, .. }) => self.report_gap().await,
            // The store would send the same changes again, and more. A list has pages of a bounded size.
            Err(HttpError::BodyTooLong) => {
                let (revision, max_bytes) = (self.revision, LIMITS.max_body_bytes);
                tracing::warn!(revision, max_bytes, "watch response too long, listing anew");
                self.report_gap().await
            }
            _ => {
                sleep(RETRY_PAUSE).await;
                Ok(())
            }
        }
    }

    /// Tells the core that changes are missing, and waits until it reopens the watch after a list.
    async fn report_gap(&mut self) -> Result<(), Closed> {
        let _ = self.core.send(Event::WatchGap).await;
        self.await_restart().await
    }

    async fn send_changes(&mut self, body: &[u8]) -> Result<(), Closed> {
        match RECORDS_READ.time(|| wire::read_changes(body)) {
            Ok((revision, changes)) => {
                self.revision = self.revision.max(revision);
                let event = Event::WatchUpdate { revision, changes };
                self.core.send(event).await.map_err(|_| Closed)
            }
            Err(error) => {
                tracing::error!(%error, "malformed watch response");
                sleep(RETRY_PAUSE).await;
                Ok(())
            }
        }
    }
}
