//! Follows all changes in the state store.

use crate::http_client::{Answer, AnswerLimits, HttpClient};
use crate::timings::RECORDS_READ;
use crate::wire::state_store as wire;
use glenmount_core::constants::WATCH_POLL_TIMEOUT_MS;
use glenmount_core::controller::Event;
use tokio::sync::mpsc;
use tokio::time::{sleep, Duration};

/// What an answer may take: the store holds it until there are changes, or for `WATCH_POLL_TIMEOUT_MS`.
const LIMITS: AnswerLimits = AnswerLimits {
    timeout: Duration::from_millis(WATCH_POLL_TIMEOUT_MS + 60_000),
    body_bytes: 8 << 20,
};
/// Pause between two tries to open the watch.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Requests to open the watch anew that may wait.
pub const RESTARTS: usize = 16;

/// Nobody is left who wants to know of changes.
struct Closed;

/// Tells the core of all changes. A revision sent to `restarts` opens the watch anew from there; the
/// first one opens it at all. Ends when nobody holds the other end of either channel.
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
    /// All changes up to this one have been told.
    revision: u64,
}

impl Watch {
    async fn await_restart(&mut self) -> Result<(), Closed> {
        self.revision = self.restarts.recv().await.ok_or(Closed)?;
        Ok(())
    }

    /// Waits for the next changes and tells them.
    async fn advance(&mut self) -> Result<(), Closed> {
        let path = wire::watch_path(self.revision);
        let answer = tokio::select! {
            answer = self.http.get(&path, LIMITS) => answer,
            restart = self.restarts.recv() => {
                self.revision = restart.ok_or(Closed)?;
                return Ok(());
            }
        };
        match answer {
            Some(Answer { status: 200, body }) => self.tell_changes(&body).await,
            // The store has forgotten the changes after this revision.
            Some(Answer { status: 410, .. }) => {
                let _ = self.core.send(Event::WatchGap).await;
                self.await_restart().await
            }
            _ => {
                sleep(RETRY_PAUSE).await;
                Ok(())
            }
        }
    }

    async fn tell_changes(&mut self, body: &[u8]) -> Result<(), Closed> {
        match RECORDS_READ.time(|| wire::read_changes(body)) {
            Ok((revision, changes)) => {
                self.revision = self.revision.max(revision);
                let event = Event::WatchUpdate { revision, changes };
                self.core.send(event).await.map_err(|_| Closed)
            }
            Err(error) => {
                tracing::error!(%error, "unreadable changes");
                sleep(RETRY_PAUSE).await;
                Ok(())
            }
        }
    }
}
