//! Machines that hang and go on later.

use crate::network::command_unanswered;
use crate::{Action, Simulation};
use glenmount_core::controller::CommandOutcome;

/// Milliseconds after which a controller gives up on a command to a machine that is stalled.
const COMMAND_TIMEOUT_MS: u64 = 1_200;

impl Simulation {
    /// Lets a machine hang: it executes nothing, reports nothing, and resumes later. What comes to it
    /// meanwhile waits.
    pub fn stall(&mut self, machine: &str, ms: u64) {
        let until = self.now_ms + ms;
        if let Some(worker) = self.workers.get_mut(machine).filter(|worker| worker.alive) {
            worker.stalled_until_ms = worker.stalled_until_ms.max(until);
            self.schedule(ms, Action::ResumeWorker(machine.to_string()));
        }
    }

    /// Whether a machine is stalled.
    pub fn is_stalled(&self, machine: &str) -> bool {
        self.workers
            .get(machine)
            .is_some_and(|worker| worker.stalled_until_ms > 0)
    }

    /// What a machine that is stalled would do or get waits until it goes on.
    pub(crate) fn unless_stalled(&mut self, act: Action) -> Option<Action> {
        let name = match &act {
            Action::CheckLease(_) if self.stalled_leases_expire => return Some(act),
            Action::DeliverHeartbeatReply(reply) => &reply.heartbeat.worker,
            Action::TimeOutHeartbeat { worker, .. } | Action::CheckLease(worker) => worker,
            Action::ChangePhase(change) => &change.worker,
            Action::DeliverCommand(command) => &command.worker,
            _ => return Some(act),
        };
        if !self.is_stalled(name) {
            return Some(act);
        }
        let name = name.clone();
        let mut act = act;
        if let Action::DeliverCommand(command) = &mut act {
            if !std::mem::replace(&mut command.answer_expired, true) {
                let silent = command_unanswered(name.clone(), CommandOutcome::NoAnswer);
                self.deliver(COMMAND_TIMEOUT_MS, command.process, silent);
            }
        }
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.deferred.push(act);
        }
        None
    }

    /// Its lease may have ended meanwhile: then nothing that came is carried out.
    pub(crate) fn resume_worker(&mut self, name: &str) {
        let now = self.now_ms;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.stalled_until_ms == 0 || now < worker.stalled_until_ms {
            return;
        }
        worker.stalled_until_ms = 0;
        let mut hung = std::mem::take(&mut worker.deferred);
        // It gave up by its own clock what it waited for in vain.
        hung.sort_by_key(|act| match act {
            Action::CheckLease(_) => 0,
            Action::TimeOutHeartbeat { .. } => 1,
            _ => 2,
        });
        for (i, act) in hung.into_iter().enumerate() {
            self.schedule(i as u64 / 4, act);
        }
        self.schedule(1, Action::SendHeartbeat(name.to_string()));
    }
}
