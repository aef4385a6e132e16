//! Controllers: they start, end, stand still, and their effects are carried out.

use crate::{no_answer, seen_by_old, sent_by_old, Act, Fate, World, WALL0};
use glenmount_core::constants::STATE_TIMEOUT_MS;
use glenmount_core::controller::{
    CloudResponse, CommandOutcome, Controller, Effect, Event, PeerHeartbeat, StateOperation,
    StateResponse, UserReply, WorkerReply,
};
use glenmount_core::model::WorkerCommand;
use rand::Rng;

pub struct ControllerSlot {
    pub controller: Option<Controller>,
    pub life: u32,
    /// From this life on it has the new version; before, one that knows only format 1.
    pub(crate) new_from: u32,
    pub cut_from_state: bool,
    /// The state service answers it alone with 503.
    pub refused: bool,
    pub cut_from_workers: bool,
    pub cut_from_peers: bool,
    /// What the controller sends does not get through, to workers and peers; what it gets does.
    pub mute: bool,
    pub(crate) watching: Option<u64>,
    /// Until when its watch tells nothing.
    pub(crate) watch_lags_until: u64,
    /// Until when it is paused, and what comes in meanwhile.
    pub(crate) frozen_until: u64,
    pub(crate) backlog: Vec<Event>,
    /// Commands and transactions that it has sent.
    pub sent: u32,
    /// Milliseconds after its end at which it is back, once it was asked to end.
    pub(crate) back_after: u64,
    /// When its process began, and from when on it was ready, accepted a job, and sent a start.
    pub began: u64,
    pub first_ready: Option<u64>,
    pub first_accepted: Option<u64>,
    pub first_start: Option<u64>,
}

pub(crate) fn slot_cut(slot: &ControllerSlot) -> bool {
    slot.cut_from_workers || slot.mute
}

impl World {
    /// Whether a controller has the old version in that life.
    pub(crate) fn is_old(&self, n: usize, life: u32) -> bool {
        life < self.controllers[n].new_from
    }

    /// Ends a controller, which comes back with the new version.
    pub fn upgrade(&mut self, n: usize, back_after: u64) {
        self.crash(n, back_after);
        self.controllers[n].new_from = self.controllers[n].life.min(self.controllers[n].new_from);
    }

    pub fn crash(&mut self, n: usize, back_after: u64) {
        let slot = &mut self.controllers[n];
        slot.controller = None;
        slot.life += 1;
        slot.watching = None;
        slot.frozen_until = 0;
        slot.backlog.clear();
        self.ended_at[n] = self.now;
        self.at(back_after, Act::Restart(n));
        // Its connections end with it.
        let cut = slot_cut(&self.controllers[n]);
        let waiting: Vec<_> = (self.workers.values())
            .filter(|w| w.controller == n && !w.cut && !cut && self.reaches(n, &w.name))
            .filter_map(|w| Some((w.name.clone(), w.in_flight?)))
            .collect();
        for (name, serial) in waiting {
            let delay = self.rng.gen_range(1..4);
            self.at(delay, Act::GaveUp(name, serial));
        }
        for m in (0..self.controllers.len()).filter(|m| *m != n) {
            if self.linked(n, m) {
                let life = self.controllers[m].life;
                let controller = self.settings.controllers[n].clone();
                let delay = self.rng.gen_range(1..4);
                self.at(
                    delay,
                    Act::Controller(m, life, Event::LinkEnded { controller }),
                );
            }
        }
    }

    /// Asks a controller to end in good order; it is back so long after it has.
    pub fn leave(&mut self, n: usize, back_after: u64) {
        self.controllers[n].back_after = back_after;
        let life = self.controllers[n].life;
        self.at(1, Act::Controller(n, life, Event::Shutdown));
    }

    /// Lets a heartbeat arrive at a controller, whoever made it.
    pub fn beat_to(&mut self, n: usize, heartbeat: PeerHeartbeat) {
        let life = self.controllers[n].life;
        self.at(1, Act::Controller(n, life, Event::PeerHeartbeat(heartbeat)));
    }

    /// The controller is paused, its clocks running on; what comes in waits for it.
    pub fn freeze(&mut self, n: usize, ms: u64) {
        let slot = &mut self.controllers[n];
        slot.frozen_until = slot.frozen_until.max(self.now + ms);
        let life = slot.life;
        self.at(ms, Act::Thaw(n, life));
    }

    pub fn frozen(&self, n: usize) -> bool {
        self.now < self.controllers[n].frozen_until
    }

    /// Where a controller stands: in the zones in turn, unless said otherwise.
    pub fn zone_of_controller(&self, n: usize) -> String {
        let zones = match self.controllers_in.is_empty() {
            true => &self.settings.zones,
            false => &self.controllers_in,
        };
        zones[n % zones.len()].clone()
    }

    pub(crate) fn controller(&mut self, n: usize, event: Event) {
        let (now, wall) = (self.now, WALL0 + self.now + self.clock_ahead[n]);
        if self.frozen(n) {
            self.controllers[n].backlog.push(event);
            return;
        }
        let slot = &mut self.controllers[n];
        let (life, old) = (slot.life, slot.life < slot.new_from);
        let Some(controller) = slot.controller.as_mut() else {
            return;
        };
        let event = match old {
            true => seen_by_old(event),
            false => event,
        };
        let heartbeat = matches!(event, Event::PeerHeartbeat(_));
        let begun = std::time::Instant::now();
        let effects = controller.handle(now, wall, event);
        let took = begun.elapsed();
        self.spent += took;
        if heartbeat {
            self.heartbeats += 1;
            self.spent_on_beats += took;
        }
        self.events += 1;
        if slot.first_ready.is_none() && controller.ready() {
            slot.first_ready = Some(now);
        }
        if let Some(digest) = &mut self.digest {
            let ready = controller.ready();
            for effect in &effects {
                digest.add(n, now, effect, ready);
            }
        }
        for effect in effects {
            match effect {
                Effect::User { request, reply } => {
                    if matches!(reply, UserReply::Accepted { .. }) {
                        self.controllers[n].first_accepted.get_or_insert(now);
                    }
                    self.user_told(request, reply);
                }
                Effect::Worker { request, reply } => {
                    let key = (n, life, request);
                    if let Some((w, incarnation, serial)) = self.checkins.remove(&key) {
                        let lost = self.mishaps.reply_lost;
                        let slot = &self.controllers[n];
                        let deaf = self.workers.get(&w).is_some_and(|w| w.deaf);
                        let cut =
                            slot.cut_from_workers || slot.mute || deaf || !self.reaches(n, &w);
                        if cut || self.chance(lost) {
                            if matches!(&reply, WorkerReply::Commands { commands, .. }
                                if commands.iter().any(|o| matches!(o, WorkerCommand::Start { .. })))
                            {
                                self.lost_starts += 1;
                            }
                            continue;
                        }
                        let delay = self.rng.gen_range(1..6) + self.link_ms();
                        self.at(delay, Act::Reply(w, incarnation, serial, reply));
                    }
                }
                Effect::State { token, op, .. } => {
                    let Some(op) = (if old { sent_by_old(op) } else { Some(op) }) else {
                        let answer = StateResponse::Unavailable;
                        self.at(5, Act::Controller(n, life, Event::State { token, answer }));
                        continue;
                    };
                    if self.controllers[n].refused {
                        let answer = StateResponse::Unavailable;
                        self.at(5, Act::Controller(n, life, Event::State { token, answer }));
                        continue;
                    }
                    self.controllers[n].sent +=
                        u32::from(matches!(op, StateOperation::Transaction(_)));
                    let transaction = matches!(op, StateOperation::Transaction(_));
                    if self.controllers[n].cut_from_state || self.inside(n) {
                        if self.inside(n) && transaction {
                            let late = Act::State(n, life, token, op, Fate::Late(0));
                            self.held_back.push(late);
                        }
                        if transaction {
                            let event = Event::StateTimeout { token };
                            self.at(STATE_TIMEOUT_MS, Act::Controller(n, life, event));
                        }
                        let event = Event::State {
                            token,
                            answer: StateResponse::NoAnswer,
                        };
                        self.at(1_200, Act::Controller(n, life, event));
                        continue;
                    }
                    let mut fate = Fate::Normal;
                    if transaction {
                        let (lost, late) = (self.mishaps.txn_answer_lost, self.mishaps.txn_late);
                        if self.chance(lost) {
                            fate = Fate::AnswerLost;
                        } else if self.chance(late) {
                            fate = Fate::Late(self.rng.gen_range(1_300..20_000));
                        }
                    }
                    self.state_request(n, life, token, op, fate);
                }
                Effect::Cloud { token, op } => {
                    let lost = self.mishaps.cloud_lost;
                    let lost = self.chance(lost);
                    if self.inside(n) {
                        let answer = CloudResponse::Failed;
                        self.at(
                            1_500,
                            Act::Controller(n, life, Event::Cloud { token, answer }),
                        );
                        continue;
                    }
                    let delay = self.rng.gen_range(30..200);
                    self.at(delay, Act::Cloud(n, life, token, op, lost));
                }
                Effect::Watch { since } => {
                    self.controllers[n].watching = Some(since);
                    self.at(3, Act::Watch(n, life));
                }
                Effect::Command {
                    machine,
                    incarnation,
                    token,
                    commands,
                    ..
                } => {
                    let (lost, late) = (self.mishaps.command_lost, self.mishaps.command_late);
                    let slot = &mut self.controllers[n];
                    slot.sent += u32::from(!commands.is_empty());
                    if commands
                        .iter()
                        .any(|o| matches!(o, WorkerCommand::Start { .. }))
                    {
                        slot.first_start.get_or_insert(now);
                    }
                    if !self.reaches(n, &machine) {
                        let act = Act::Command(
                            n,
                            life,
                            machine.clone(),
                            incarnation,
                            token,
                            commands,
                            true,
                        );
                        self.held_back.push(act);
                        let event = no_answer(machine, CommandOutcome::NoAnswer);
                        self.at(1_200, Act::Controller(n, life, event));
                        continue;
                    }
                    let slot = &self.controllers[n];
                    let deaf = self.workers.get(&machine).is_some_and(|w| w.deaf);
                    if slot.cut_from_workers || slot.mute || deaf || self.chance(lost) {
                        let event = no_answer(machine, CommandOutcome::NoAnswer);
                        self.at(2_000, Act::Controller(n, life, event));
                        continue;
                    }
                    let is_late = self.chance(late);
                    let delay = match is_late {
                        true => self.rng.gen_range(2_000..60_000),
                        false => self.rng.gen_range(1..5) + self.link_ms(),
                    };
                    if is_late {
                        let event = no_answer(machine.clone(), CommandOutcome::NoAnswer);
                        self.at(2_000, Act::Controller(n, life, event));
                    }
                    let act = Act::Command(n, life, machine, incarnation, token, commands, is_late);
                    self.at(delay, act);
                }
                Effect::Exit => {
                    let back_after = self.controllers[n].back_after;
                    self.at(2, Act::End(n, life, back_after));
                }
                Effect::PeerHeartbeat(heartbeat) => {
                    self.beat_bytes = heartbeat.heard.iter().map(|h| h.0.len() + 12).sum();
                    for m in 0..self.controllers.len() {
                        if self.linked(n, m) {
                            let life = self.controllers[m].life;
                            self.at(
                                3,
                                Act::Controller(m, life, Event::PeerHeartbeat(heartbeat.clone())),
                            );
                        }
                    }
                }
            }
        }
    }
}
