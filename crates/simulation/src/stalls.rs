//! Stalled machines: they do nothing for some time and resume later, with what reached them meanwhile.

use crate::network::command_unanswered;
use crate::{Action, Simulation};
use glenmount_core::controller::CommandOutcome;

/// Milliseconds after which a controller gives up on a command to a machine that is stalled.
const COMMAND_TIMEOUT_MS: u64 = 1_200;

impl Simulation {
    /// Stalls a machine for so many milliseconds: it executes nothing and sends no heartbeats. What reaches it
    /// meanwhile is deferred.
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

    /// Defers an action of or for a stalled machine until it resumes; returns any other.
    pub(crate) fn unless_stalled(&mut self, action: Action) -> Option<Action> {
        let name = match &action {
            Action::CheckLease(_) if self.stalled_leases_expire => return Some(action),
            Action::DeliverHeartbeatReply(reply) => &reply.heartbeat.worker,
            Action::TimeOutHeartbeat { worker, .. } | Action::CheckLease(worker) => worker,
            Action::ChangePhase(change) => &change.worker,
            Action::DeliverCommand(command) => &command.worker,
            _ => return Some(action),
        };
        if !self.is_stalled(name) {
            return Some(action);
        }
        let name = name.clone();
        let mut action = action;
        if let Action::DeliverCommand(command) = &mut action {
            if !std::mem::replace(&mut command.answer_expired, true) {
                let silent = command_unanswered(name.clone(), CommandOutcome::NoAnswer);
                self.deliver(COMMAND_TIMEOUT_MS, command.process, silent);
            }
        }
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.deferred.push(action);
        }
        None
    }

    /// A stalled machine resumes. Its lease may have expired meanwhile: then no deferred order is executed.
    pub(crate) fn resume_worker(&mut self, name: &str) {
        let now = self.now_ms;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.stalled_until_ms == 0 || now < worker.stalled_until_ms {
            return;
        }
        worker.stalled_until_ms = 0;
        let mut deferred = std::mem::take(&mut worker.deferred);
        // By its own clock it has timed out what it waited for.
        deferred.sort_by_key(|action| match action {
            Action::CheckLease(_) => 0,
            Action::TimeOutHeartbeat { .. } => 1,
            _ => 2,
        });
        for (i, action) in deferred.into_iter().enumerate() {
            self.schedule(i as u64 / 4, action);
        }
        self.schedule(1, Action::SendHeartbeat(name.to_string()));
    }
}
