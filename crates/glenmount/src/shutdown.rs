//! The request to end the process.

use glenmount_core::controller::Event;
use std::future::pending;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

/// Tells the core of each request to end, until the core is gone. Where the platform has no signals
/// there are no requests.
///
/// A task of its own: in the event loop the signal would be looked for with every event.
pub async fn watch_for_termination(core: mpsc::Sender<Event>) {
    let mut requests = TerminationRequests::new();
    loop {
        requests.next().await;
        if core.send(Event::Shutdown).await.is_err() {
            return;
        }
    }
}

struct TerminationRequests(Option<Signal>);

impl TerminationRequests {
    fn new() -> TerminationRequests {
        let signal = signal(SignalKind::terminate());
        if let Err(error) = &signal {
            tracing::info!(%error, "signals are not heard: this process ends when it is killed");
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
