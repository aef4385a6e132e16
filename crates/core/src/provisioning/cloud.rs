//! Dealings with the cloud: its types and lists, rentals and deletions under way.

use crate::constants::*;
use crate::controller::*;
use crate::model::*;
use crate::state::formats;
use crate::state::*;
use std::collections::BTreeSet;

impl Node {
    pub(crate) fn cloud_answer(&mut self, token: Token, answer: CloudAnswer) {
        let Some((purpose, _)) = self.pending.remove(&token) else {
            return;
        };
        match (purpose, answer) {
            (Purpose::Types, answer) => {
                self.types_busy = false;
                if let CloudAnswer::Types(types) = answer {
                    self.types_at = Some(self.now);
                    self.use_types(&types);
                    self.keep_types(types);
                }
            }
            (Purpose::Hosts, answer) => {
                self.list_busy = false;
                if let CloudAnswer::Hosts { hosts, more } = answer {
                    let last = hosts.last().map(|h| h.name.clone());
                    self.listed(hosts);
                    if more {
                        self.list_busy = true;
                        self.cloud(CloudOp::List { after: last }, Purpose::Hosts);
                    }
                }
            }
            (Purpose::Hire(n), answer) => {
                self.hire_tried.insert(n, self.now);
                self.hires_asked.remove(&n);
                match answer {
                    CloudAnswer::Hired(hosts) => self.hired(n, hosts),
                    CloudAnswer::NoCapacity => self.hired(n, Vec::new()),
                    _ => {}
                }
            }
            (Purpose::Delete(machines), answer) => {
                self.delete_busy = false;
                if answer == CloudAnswer::Deleted {
                    for id in machines {
                        tracing::info!(machine = id, "deleted");
                        self.deleted.insert(id);
                    }
                }
            }
            _ => {}
        }
    }

    pub(crate) fn use_types(&mut self, types: &[MachineType]) {
        let named = |t: &MachineType| (t.name.clone(), t.clone());
        self.types = types.iter().map(named).collect();
        let room = |t: &MachineType| (t.name.clone(), t.cache_gb);
        self.cache.cache_gb = types.iter().map(room).collect();
        self.lookup_wanted = true;
    }

    /// Records the types for nodes that start while the cloud is down. Prices that move are
    /// no reason to.
    fn keep_types(&mut self, types: Vec<MachineType>) {
        let unpriced = |types: &[MachineType]| {
            let mut types = types.to_vec();
            for t in &mut types {
                (t.price, t.spot_price) = (0.0, 0.0);
            }
            types.sort_by(|a, b| a.name.cmp(&b.name));
            types
        };
        let known = self.cache.types().map(|r| unpriced(&r.types));
        if !self.state_ok() || known.is_some_and(|known| known == unpriced(&types)) {
            return;
        }
        let record = Record::Types(TypesRecord { types });
        if formats::stored_bytes(&record, formats::LATEST) as u64 > self.settings.value_bytes {
            return; // more types than a value holds: each node reads them from the cloud
        }
        let mut draft = TransactionBuilder::new(&self.cache);
        draft.put(Key::Types, record);
        let txn = draft.finish();
        self.commit(txn, Purpose::Types, Priority::Housekeeping);
    }

    pub(crate) fn send_hire(&mut self, n: u64) {
        let Some(h) = self.cache.hire(&n).cloned() else {
            return;
        };
        self.hire_tried.insert(n, self.now);
        self.hires_asked.insert(n);
        self.cloud(
            CloudOp::Hire {
                name: format!("g-{n}"),
                type_name: h.type_name,
                zone: h.zone,
                spot: h.spot,
                count: h.count,
            },
            Purpose::Hire(n),
        );
    }

    /// Records what a rental brought; an empty or partial answer bars the offer for a while.
    fn hired(&mut self, n: u64, hosts: Vec<String>) {
        let Some(hire) = self.cache.hire(&n).filter(|h| h.hosts.is_none()).cloned() else {
            return;
        };
        tracing::info!(
            type_name = hire.type_name,
            zone = hire.zone,
            spot = hire.spot,
            wanted = hire.count,
            got = hosts.len(),
            "rented"
        );
        let wall = self.wall;
        let mut draft = TransactionBuilder::new(&self.cache);
        if (hosts.len() as u32) < hire.count {
            let mut fleet = draft.fleet();
            fleet.refused.retain(|_, until| *until > wall);
            fleet.refused.insert(hire.offer(), wall + REFUSED_MS);
            // A hint: what there is no room for is asked once more than needed.
            let most = self.settings.value_bytes as usize;
            while formats::stored_bytes(&Record::Fleet(fleet.clone()), formats::LATEST) > most
                && fleet.refused.pop_first().is_some()
            {}
            draft.put(Key::Fleet, Record::Fleet(fleet));
        }
        if hosts.is_empty() {
            draft.remove(Key::Hire(n));
        } else {
            let mut hire = HireRecord {
                hosts: Some(hosts),
                ..hire
            };
            // Machines whose names find no room are taken up when they report or are listed.
            let most = self.settings.value_bytes as usize;
            while formats::stored_bytes(&Record::Hire(hire.clone()), formats::LATEST) > most
                && hire.hosts.as_mut().and_then(Vec::pop).is_some()
            {}
            draft.put(Key::Hire(n), Record::Hire(hire));
        }
        let txn = draft.finish();
        self.commit(txn, Purpose::HireDone(n), Priority::Claim);
    }

    /// Whether a machine that a rental brought is still to come.
    pub(crate) fn on_its_way(&self, id: &str) -> bool {
        self.cache.machine(id).is_none() && !self.gone.contains(id)
    }

    /// Removes records of rentals all of whose machines have come, or gone again.
    pub(crate) fn tidy_hires(&mut self) {
        let due: Vec<u64> = self
            .cache
            .hires()
            .filter(|(n, h, _)| {
                h.hosts
                    .as_ref()
                    .is_some_and(|hosts| !hosts.iter().any(|id| self.on_its_way(id)))
                    && !self.tidying.contains(n)
                    && (h.node == self.settings.node || self.on_duty())
            })
            .map(|(n, _, _)| *n)
            .collect();
        for n in due {
            let mut draft = TransactionBuilder::new(&self.cache);
            draft.remove(Key::Hire(n));
            let txn = draft.finish();
            self.tidying.insert(n);
            self.commit(txn, Purpose::Tidy(n), Priority::Housekeeping);
        }
    }

    /// Deletes machines whose deletion is committed, as long as their records stand.
    pub(crate) fn send_delete(&mut self) {
        // One request at a time, for all that are due: the cloud takes few, and what waits in
        // line for them must not hold up rentals.
        if self.delete_busy {
            return;
        }
        let now = self.now;
        let due: Vec<String> = self
            .cache
            .machines()
            .filter(|(id, m, _)| {
                m.phase == MachinePhase::Returning
                    && !self.deleted.contains(*id)
                    && self
                        .delete_tried
                        .get(*id)
                        .is_none_or(|at| now >= at + DELETE_RETRY_MS)
            })
            .map(|(id, _, _)| id.to_string())
            .take(DELETE_MAX)
            .collect();
        if due.is_empty() {
            return;
        }
        for id in &due {
            self.delete_tried.insert(id.clone(), now);
        }
        self.delete_busy = true;
        let purpose = Purpose::Delete(due.clone());
        self.cloud(CloudOp::Delete { machines: due }, purpose);
    }

    fn listed(&mut self, hosts: Vec<Host>) {
        // A list shows machines that are gone for up to twice its lag, and a node that has
        // just started does not know that they are.
        let lag = self.settings.list_lag_ms * 2 + LIST_MS;
        let now = self.now;
        self.strange.retain(|_, at| now < *at + 4 * lag);
        for host in hosts {
            match self.cache.machine(&host.name) {
                None => {
                    // Rented by a request that nobody remembers. A machine that is up
                    // reports by itself; one that never comes up is found here.
                    let rented = self.cache.hires().any(|(_, h, _)| match &h.hosts {
                        Some(hosts) => hosts.contains(&host.name),
                        None => true,
                    });
                    if rented || self.gone.contains(&host.name) {
                        self.strange.remove(&host.name);
                        continue;
                    }
                    let since = *self.strange.entry(host.name.clone()).or_insert(now);
                    if now >= since + lag {
                        self.strange.remove(&host.name);
                        let mut draft = TransactionBuilder::new(&self.cache);
                        draft.put(
                            Key::Machine(host.name.clone()),
                            Record::Machine(MachineRecord::new(
                                &host.type_name,
                                &host.zone,
                                host.spot,
                                MachinePhase::Booting,
                                self.wall,
                            )),
                        );
                        tracing::info!(machine = host.name, "listed machine taken up");
                        let txn = draft.finish();
                        self.commit(txn, Purpose::Sweep, Priority::Housekeeping);
                    }
                }
                Some(m)
                    if host.state == HostState::Failed && m.phase != MachinePhase::Returning =>
                {
                    self.condemn(&host.name, "the cloud lists it as failed");
                }
                _ => {}
            }
        }
    }

    pub(crate) fn retry_hires(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let live: BTreeSet<u64> = self.cache.hires().map(|(n, _, _)| *n).collect();
        self.hire_tried.retain(|n, _| live.contains(n));
        self.hire_since.retain(|n, _| live.contains(n));
        for (n, h, _) in self.cache.hires() {
            let patience = if self.standby.is_away(&h.node) {
                // By the same name, so it does no harm should it only be silent.
                HIRE_AGAIN_MS + self.settings.node_index() * NODE_STAGGER_MS
            } else if h.node == self.settings.node {
                // Never asked: the transaction that recorded it got no answer.
                let tried = self.hire_tried.contains_key(n) || !self.settings.checks.doubt;
                if tried {
                    HIRE_RETRY_MS
                } else {
                    HIRE_AGAIN_MS
                }
            } else {
                HIRE_RETRY_MS * 2 + self.settings.node_index() * NODE_STAGGER_MS
            };
            let since = *self.hire_since.entry(*n).or_insert(now);
            let last = self.hire_tried.get(n).copied().unwrap_or(since);
            let asked = self.hires_asked.contains(n);
            if h.hosts.is_none() && !asked && now >= last + patience {
                due.push(*n);
            }
        }
        for n in due {
            self.send_hire(n);
        }
    }
}
