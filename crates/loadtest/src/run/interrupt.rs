//! Early termination of a run: signals and panics.

use crate::processes::controllers::Controllers;
use rustix::process::{kill_process, Pid, Signal};
use std::panic;
use std::sync::Arc;
use tokio::signal::ctrl_c;
use tokio::signal::unix::{signal, SignalKind};

/// Waits for SIGINT or SIGTERM.
pub async fn interrupted() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            tokio::select! {
                _ = ctrl_c() => {}
                _ = terminate.recv() => {}
            }
        }
        Err(_) => {
            let _ = ctrl_c().await;
        }
    }
}

/// Installs a panic hook that kills the controllers: a panic aborts the process, and nothing else would then
/// end them.
pub fn kill_on_panic(controllers: &Arc<Controllers>) {
    let previous_hook = panic::take_hook();
    let controllers = Arc::downgrade(controllers);
    panic::set_hook(Box::new(move |info| {
        if let Some(controllers) = controllers.upgrade() {
            for process_id in controllers.process_ids().into_iter().flatten() {
                kill(process_id);
            }
        }
        previous_hook(info);
    }));
}

fn kill(process_id: u32) {
    let pid = i32::try_from(process_id).ok().and_then(Pid::from_raw);
    if let Some(pid) = pid {
        // Killing fails only for a process that has already exited.
        let _ = kill_process(pid, Signal::KILL);
    }
}
