//! What others say of members: merging, suspicions and refutations.

use crate::ids;
use crate::member;
use crate::member::{machine, message, table};

/// How long a member must have been suspect here before another's verdict on it is taken over.
const VERDICT_AGE_MS: u64 = 2_000;
/// How many rumors are checked in each gossip period.
const RUMOR_CHECKS: usize = 4;
/// Between two reminders of a suspicion to the suspect, in milliseconds.
const REMIND_MS: u64 = 250;
/// How much longer a suspicion lasts among ten times as many members, as a share of its base.
const SUSPICION_GROWTH: f64 = 0.5;

impl machine::Membership {
    /// Takes in a record that `from` sent.
    pub(super) fn hear(
        &mut self,
        now_ms: u64,
        record: member::Record,
        from: &ids::InstanceName,
        spread: bool,
    ) {
        if record.name == self.me.name {
            self.hear_of_self(now_ms, record);
            return;
        }
        if *from == record.name && record.state.is_probed() {
            self.table.recall(from);
        }
        let Some(entry) = self.table.find(&record.name) else {
            if !self.table.refuses(&record) {
                self.accept(now_ms, record, spread);
            }
            return;
        };
        if record <= entry.record {
            return;
        }
        if needs_check(entry, &record, now_ms) {
            self.note_rumor(record);
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
        self.adopt(now_ms, record);
        if suspected {
            self.start_suspicion(now_ms, &name, None);
        }
    }

    fn hear_of_self(&mut self, now_ms: u64, record: member::Record) {
        if record.boot > self.me.boot {
            if !self.superseded {
                self.emit(machine::Event::Superseded(record.boot));
            }
            self.superseded = true;
            return;
        }
        if record.boot < self.me.boot {
            self.updates.push(&self.me.name);
            return;
        }
        if record <= self.me {
            return;
        }
        self.me.incarnation = record.incarnation;
        if record.state == member::State::Suspect {
            self.health.worse();
        }
        self.assert_self(now_ms, self.me.state);
    }

    fn note_rumor(&mut self, record: member::Record) {
        match self.rumors.binary_search_by(|rumor| rumor.name.cmp(&record.name)) {
            Ok(index) => {
                let rumor = self.rumors[index].clone();
                self.rumors[index] = rumor.merge(record);
            }
            Err(index) => self.rumors.insert(index, record),
        }
    }

    /// Suspects the members of some rumors and lets them answer for themselves.
    pub(super) fn check_rumors(&mut self, now_ms: u64) {
        let count = self.rumors.len().min(RUMOR_CHECKS);
        let rumors: Vec<member::Record> = self.rumors.drain(..count).collect();
        for rumor in rumors {
            let Some(entry) = self.table.find(&rumor.name) else {
                continue;
            };
            if rumor <= entry.record || !entry.record.state.is_probed() {
                continue;
            }
            self.check_rumor(now_ms, rumor);
        }
    }

    fn check_rumor(&mut self, now_ms: u64, rumor: member::Record) {
        let name = rumor.name.clone();
        let mut suspect = rumor.clone();
        suspect.state = member::State::Suspect;
        if self.find(&name).is_some_and(|record| suspect > *record) {
            self.adopt(now_ms, suspect);
        }
        self.start_suspicion(now_ms, &name, Some(now_ms + REMIND_MS));
        self.ping(rumor);
    }

    /// Pings a member and tells it what is said of it.
    pub(super) fn ping(&mut self, record: member::Record) {
        let sequence = self.next_sequence();
        let target = record.name.clone();
        let kind = message::Kind::Ping { sequence, target };
        self.send_with(record.peer_address, kind, vec![record]);
    }

    /// Blames a member that did not answer.
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

    fn start_suspicion(&mut self, now_ms: u64, name: &ids::InstanceName, remind_ms: Option<u64>) {
        let duration_ms = self.suspicion_ms();
        let Some(entry) = self.table.find_mut(name) else {
            return;
        };
        if entry.suspicion.is_none() && entry.record.state.is_probed() {
            let end_ms = now_ms + duration_ms;
            let suspicion = table::Suspicion { start_ms: now_ms, end_ms, remind_ms };
            entry.suspicion = Some(suspicion);
            self.suspicion_due_ms = self.suspicion_due_ms.min(suspicion.due_ms());
        }
    }

    fn suspicion_ms(&self) -> u64 {
        let decades = (self.table.live_count().max(1) as f64).log10().max(1.0);
        let scale = 1.0 + SUSPICION_GROWTH * (decades - 1.0);
        let base_ms = (self.config.suspicion_ms as f64 * scale) as u64;
        base_ms * self.health.factor()
    }

    pub(super) fn tick_suspicions(&mut self, now_ms: u64) {
        if now_ms < self.suspicion_due_ms {
            return;
        }
        self.suspicion_due_ms = u64::MAX;
        let (mut over, mut reminded) = (Vec::new(), Vec::new());
        for entry in self.table.entries_mut() {
            let Some(suspicion) = &mut entry.suspicion else {
                continue;
            };
            if suspicion.end_ms <= now_ms {
                over.push(entry.record.clone());
                continue;
            }
            if suspicion.remind_ms.is_some_and(|remind_ms| remind_ms <= now_ms) {
                suspicion.remind_ms = Some(now_ms + REMIND_MS);
                reminded.push(entry.record.clone());
            }
            self.suspicion_due_ms = self.suspicion_due_ms.min(suspicion.due_ms());
        }
        for record in reminded {
            self.ping(record);
        }
        for mut record in over {
            record.state = member::State::Unreachable;
            self.publish(now_ms, record);
        }
    }
}

/// Whether a verdict on a member that is live here has to be checked first: whoever was parted from it may hold it.
fn needs_check(entry: &table::Entry, record: &member::Record, now_ms: u64) -> bool {
    if record.state != member::State::Unreachable || record.boot != entry.record.boot {
        return false;
    }
    if !entry.record.state.is_probed() {
        return false;
    }
    match entry.suspicion {
        Some(suspicion) => now_ms < suspicion.start_ms + VERDICT_AGE_MS,
        None => true,
    }
}
