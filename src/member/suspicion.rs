//! Merging of received records, suspicions, and refutations.

use crate::ids;
use crate::member;
use crate::member::{machine, message, table};

/// How long a member must have been suspect here before an Unreachable record from another member is accepted.
const SUSPICION_AGE_MIN_MS: u64 = 2_000;
/// How many unverified claims are checked in each gossip period.
const VERIFICATIONS_PER_PERIOD: usize = 4;
/// The time between two pings that tell a suspect of the suspicion, so that it can refute it.
const SUSPECT_PING_PERIOD_MS: u64 = 250;
/// How much longer a suspicion lasts with ten times as many members, as a fraction of the configured duration.
const SUSPICION_GROWTH: f64 = 0.5;

impl machine::Membership {
    /// Merges a record that `from` sent. `spread` queues a change for gossip.
    pub(super) fn merge_record(
        &mut self,
        now_ms: u64,
        record: member::Record,
        from: &ids::InstanceName,
        spread: bool,
    ) {
        if record.name == self.own_record.name {
            self.merge_own_record(now_ms, record);
            return;
        }
        if *from == record.name && record.state.is_probed() {
            self.table.remove_tombstone(from);
        }
        let Some(entry) = self.table.find(&record.name) else {
            if !self.table.rejects(&record) {
                self.accept(now_ms, record, spread);
            }
            return;
        };
        if record <= entry.record {
            return;
        }
        if needs_verification(entry, &record, now_ms) {
            self.add_unverified(record);
            return;
        }
        self.accept(now_ms, record, spread);
    }

    fn accept(&mut self, now_ms: u64, record: member::Record, spread: bool) {
        let suspected = record.state == member::State::Suspect;
        let name = record.name.clone();
        if spread {
            self.updates.push(&name);
        } else {
            self.sync_soon(now_ms);
        }
        self.apply(now_ms, record);
        if suspected {
            self.start_suspicion(now_ms, &name, None);
        }
    }

    fn merge_own_record(&mut self, now_ms: u64, record: member::Record) {
        if record.boot > self.own_record.boot {
            if !self.superseded {
                self.emit(machine::Event::Superseded(record.boot));
            }
            self.superseded = true;
            return;
        }
        if record.boot < self.own_record.boot {
            self.updates.push(&self.own_record.name);
            return;
        }
        if record <= self.own_record {
            return;
        }
        self.own_record.incarnation = record.incarnation;
        if record.state == member::State::Suspect {
            self.health.degrade();
        }
        self.announce_self(now_ms, self.own_record.state);
    }

    fn add_unverified(&mut self, record: member::Record) {
        match self.unverified.binary_search_by(|claim| claim.name.cmp(&record.name)) {
            Ok(index) => {
                let claim = self.unverified[index].clone();
                self.unverified[index] = claim.merge(record);
            }
            Err(index) => self.unverified.insert(index, record),
        }
    }

    /// Suspects the members of some unverified claims and pings them, so that they can refute the claim.
    pub(super) fn verify_claims(&mut self, now_ms: u64) {
        let count = self.unverified.len().min(VERIFICATIONS_PER_PERIOD);
        let unverified: Vec<member::Record> = self.unverified.drain(..count).collect();
        for claim in unverified {
            let Some(entry) = self.table.find(&claim.name) else {
                continue;
            };
            if claim <= entry.record || !entry.record.state.is_probed() {
                continue;
            }
            self.verify_claim(now_ms, claim);
        }
    }

    fn verify_claim(&mut self, now_ms: u64, claim: member::Record) {
        let name = claim.name.clone();
        let mut suspect = claim.clone();
        suspect.state = member::State::Suspect;
        if self.find(&name).is_some_and(|record| suspect > *record) {
            self.apply(now_ms, suspect);
        }
        self.start_suspicion(now_ms, &name, Some(now_ms + SUSPECT_PING_PERIOD_MS));
        self.ping(claim);
    }

    /// Pings a member with the record that it may have to refute.
    pub(super) fn ping(&mut self, record: member::Record) {
        let sequence = self.next_sequence();
        let target = record.name.clone();
        let kind = message::Kind::Ping { sequence, target };
        self.send_with(record.peer_address, kind, vec![record]);
    }

    /// Starts the suspicion of a member that did not answer.
    pub(super) fn suspect(&mut self, now_ms: u64, name: &ids::InstanceName) {
        let Some(entry) = self.table.find(name) else {
            return;
        };
        if entry.record.state == member::State::Alive {
            let mut record = entry.record.clone();
            record.state = member::State::Suspect;
            self.publish(now_ms, record);
        }
        self.start_suspicion(now_ms, name, Some(now_ms));
    }

    fn start_suspicion(&mut self, now_ms: u64, name: &ids::InstanceName, ping_ms: Option<u64>) {
        let duration_ms = self.suspicion_ms();
        let Some(entry) = self.table.find_mut(name) else {
            return;
        };
        if entry.suspicion.is_none() && entry.record.state.is_probed() {
            let end_ms = now_ms + duration_ms;
            let suspicion = table::Suspicion { start_ms: now_ms, end_ms, ping_ms };
            entry.suspicion = Some(suspicion);
            self.suspicion_due_ms = self.suspicion_due_ms.min(suspicion.due_ms());
        }
    }

    fn suspicion_ms(&self) -> u64 {
        let decades = (self.table.live_count().max(1) as f64).log10().max(1.0);
        let scale = 1.0 + SUSPICION_GROWTH * (decades - 1.0);
        let base_ms = (self.config.suspicion_ms as f64 * scale) as u64;
        base_ms * self.health.multiplier()
    }

    pub(super) fn tick_suspicions(&mut self, now_ms: u64) {
        if now_ms < self.suspicion_due_ms {
            return;
        }
        self.suspicion_due_ms = u64::MAX;
        let (mut expired, mut to_ping) = (Vec::new(), Vec::new());
        for entry in self.table.entries_mut() {
            let Some(suspicion) = &mut entry.suspicion else {
                continue;
            };
            if suspicion.end_ms <= now_ms {
                expired.push(entry.record.clone());
                continue;
            }
            if suspicion.ping_ms.is_some_and(|ping_ms| ping_ms <= now_ms) {
                suspicion.ping_ms = Some(now_ms + SUSPECT_PING_PERIOD_MS);
                to_ping.push(entry.record.clone());
            }
            self.suspicion_due_ms = self.suspicion_due_ms.min(suspicion.due_ms());
        }
        for record in to_ping {
            self.ping(record);
        }
        for mut record in expired {
            record.state = member::State::Unreachable;
            self.publish(now_ms, record);
        }
    }
}

/// Whether a record that declares a member Unreachable has to be verified first. Its origin may have been on the other
/// side of a network partition while this instance still reached the member.
fn needs_verification(entry: &table::Entry, record: &member::Record, now_ms: u64) -> bool {
    if record.state != member::State::Unreachable || record.boot != entry.record.boot {
        return false;
    }
    if !entry.record.state.is_probed() {
        return false;
    }
    match entry.suspicion {
        Some(suspicion) => now_ms < suspicion.start_ms + SUSPICION_AGE_MIN_MS,
        None => true,
    }
}
