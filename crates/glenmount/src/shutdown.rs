//! Passes the platform's termination signal to the core.

use glenmount_core::controller::Event;
use std::future::pending;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

/// Sends the core an `Event::Shutdown` for each SIGTERM until the core is gone. Sends nothing when the
/// signal handler can't be installed.
///
/// Runs as a task of its own: the event loop would poll the signal with every event.
pub async fn watch_for_termination(core: mpsc::Sender<Event>) {
    let mut requests = TerminationRequests::new();
    loop {
        requests.next().await;
        if core.send(Event::Shutdown).await.is_err() {
            return;
        }
    }
}

/// The stream of SIGTERM signals, absent when the handler can't be installed.
struct TerminationRequests(Option<Signal>);

impl TerminationRequests {
    fn new() -> TerminationRequests {
        let signal = signal(SignalKind::terminate());
        if let Err(error) = &signal {
            tracing::info!(%error, "SIGTERM handler not installed: no graceful shutdown");
        }
        TerminationRequests(signal.ok())
    }

    async fn next(&mut self) {
        match &mut self.0 {
            Some(signal) => {
                signal.recv().await;
            }
            None => pending().await,
        }
    }
}
