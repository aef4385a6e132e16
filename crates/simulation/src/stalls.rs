//! Stalled machines: a machine executes nothing for some time, and handles the deferred actions when it resumes.

use crate::network::command_unanswered;
use crate::{Action, Simulation};
use glenmount_core::controller::CommandOutcome;

/// Delay after which a command to a stalled machine times out at its controller.
const COMMAND_TIMEOUT_MS: u64 = 1_200;

impl Simulation {
    /// Stalls a machine: it executes nothing and sends no heartbeats, and its messages are deferred.
    pub fn stall(&mut self, machine: &str, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        if let Some(worker) = self.workers.get_mut(machine).filter(|worker| worker.alive) {
            worker.stalled_until_ms = worker.stalled_until_ms.max(until_ms);
            self.schedule(duration_ms, Action::ResumeWorker(machine.to_string()));
        }
    }

    /// Returns whether a machine is stalled.
    pub fn is_stalled(&self, machine: &str) -> bool {
        self.workers
            .get(machine)
            .is_some_and(|worker| worker.stalled_until_ms > 0)
    }

    /// Defers an action of a stalled machine, or for one, until the machine resumes. Returns any other action.
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
                let timeout = command_unanswered(name.clone(), CommandOutcome::NoAnswer);
                self.deliver(COMMAND_TIMEOUT_MS, command.process, timeout);
            }
        }
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.deferred.push(action);
        }
        None
    }

    /// Resumes a stalled machine and schedules its deferred actions. The lease check comes first: if the lease has
    /// expired meanwhile, the worker executes no deferred command.
    pub(crate) fn resume_worker(&mut self, name: &str) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.stalled_until_ms == 0 || now_ms < worker.stalled_until_ms {
            return;
        }
        worker.stalled_until_ms = 0;
        let mut deferred = std::mem::take(&mut worker.deferred);
        // The worker's clock ran on: its pending heartbeat has timed out before it reads any reply.
        deferred.sort_by_key(|action| match action {
            Action::CheckLease(_) => 0,
            Action::TimeOutHeartbeat { .. } => 1,
            _ => 2,
        });
        for (index, action) in deferred.into_iter().enumerate() {
            self.schedule(index as u64 / 4, action);
        }
        self.schedule(1, Action::SendHeartbeat(name.to_string()));
    }
}
