//! Machines that hang and go on later.

use crate::network::no_answer;
use crate::{Act, World};
use glenmount_core::controller::CommandOutcome;

/// Milliseconds after which a controller gives up on a command to a machine that hangs.
const COMMAND_TIMEOUT_MS: u64 = 1_200;

impl World {
    /// Lets a machine hang: it executes nothing, reports nothing, and goes on later. What comes to it
    /// meanwhile waits.
    pub fn hang(&mut self, machine: &str, ms: u64) {
        let until = self.now + ms;
        if let Some(w) = self.workers.get_mut(machine).filter(|w| w.alive) {
            w.hangs_until = w.hangs_until.max(until);
            self.at(ms, Act::GoesOn(machine.to_string()));
        }
    }

    pub fn hangs(&self, machine: &str) -> bool {
        self.workers.get(machine).is_some_and(|w| w.hangs_until > 0)
    }

    /// What a machine that hangs would do or get waits until it goes on.
    pub(crate) fn unless_hung(&mut self, act: Act) -> Option<Act> {
        let name = match &act {
            Act::Lease(_) if self.hung_leases_end => return Some(act),
            Act::Reply(reply) => &reply.checkin.worker,
            Act::GaveUp { worker, .. } | Act::Lease(worker) => worker,
            Act::Phase(change) => &change.worker,
            Act::Command(command) => &command.machine,
            _ => return Some(act),
        };
        if !self.hangs(name) {
            return Some(act);
        }
        let name = name.clone();
        let mut act = act;
        if let Act::Command(command) = &mut act {
            if !std::mem::replace(&mut command.late, true) {
                let silent = no_answer(name.clone(), CommandOutcome::NoAnswer);
                self.deliver(COMMAND_TIMEOUT_MS, command.process, silent);
            }
        }
        if let Some(w) = self.workers.get_mut(&name) {
            w.hung.push(act);
        }
        None
    }

    /// Its lease may have ended meanwhile: then nothing that came is carried out.
    pub(crate) fn goes_on_after_hang(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.hangs_until == 0 || now < w.hangs_until {
            return;
        }
        w.hangs_until = 0;
        let mut hung = std::mem::take(&mut w.hung);
        // It gave up by its own clock what it waited for in vain.
        hung.sort_by_key(|act| match act {
            Act::Lease(_) => 0,
            Act::GaveUp { .. } => 1,
            _ => 2,
        });
        for (i, act) in hung.into_iter().enumerate() {
            self.at(i as u64 / 4, act);
        }
        self.at(1, Act::Report(name.to_string()));
    }
}
