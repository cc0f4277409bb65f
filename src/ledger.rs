//! At most once: what this boot of this instance knows of the keys that name it.
//!
//! A key names its home, one boot of one instance. Only the home runs the request, once, and its
//! memory is the record; there is no other. The ledger is a state machine: it is told the time and
//! what happened, and says what to do.
//!
//! - `NotRun` is said only with a record that forbids the run for good, or that of a key whose
//!   attempts were all refused. `Unknown` is said of everything else that has not run for sure.
//! - A record is dropped [`KEY_LIFETIME_MS`] after the key was first seen. The ledger keeps the
//!   newest time of issue among the dropped ones and never starts a key that is as old. So a
//!   forgotten key can't run again, whatever the clocks do, and the memory stays bounded, which
//!   a hash of each key for the whole boot would not be under a flood.
//! - When the memory is full, a key that can't be recorded is answered with `Unknown`: a `NotRun`
//!   that isn't remembered would allow a copy of the request that comes late to run.
//! - A caller that hangs up is no input: it cancels nothing.

mod store;
mod types;

pub use types::{AttemptNumber, AttemptOutcome, Decision, Next, Permit, Request, RequestStatus};

use crate::caller_api;
use crate::ids;
use crate::key;
use crate::rank;
use std::mem;

/// How long a key is remembered after it was first seen.
pub const KEY_LIFETIME_MS: u64 = 600_000;

/// How far ahead of this instance's clock a key's time of issue may be.
pub const ISSUED_AHEAD_MAX_S: u64 = 60;

/// The most records.
pub const RECORDS_MAX: usize = 262_144;

/// The most requests that are neither settled nor lost.
pub const OPEN_MAX: usize = 4_096;

/// The ledger of one boot of an instance.
#[derive(Debug)]
pub struct Ledger {
    home: ids::InstanceName,
    boot: ids::BootId,
    store: store::Store,
    records_max: usize,
    open_count: usize,
    evicted_issued_max_s: Option<u64>,
    now_ms: u64,
}

impl Ledger {
    /// An empty ledger for this boot of the instance `home`.
    pub fn new(home: ids::InstanceName, boot: ids::BootId) -> Self {
        Self::with_records_max(home, boot, RECORDS_MAX)
    }

    /// The same with room for `records_max` records.
    pub fn with_records_max(
        home: ids::InstanceName,
        boot: ids::BootId,
        records_max: usize,
    ) -> Self {
        let store = store::Store::new();
        Self {
            home,
            boot,
            store,
            records_max,
            open_count: 0,
            evicted_issued_max_s: None,
            now_ms: 0,
        }
    }

    /// How many records there are.
    pub fn record_count(&self) -> usize {
        self.store.len()
    }

    /// How many requests are neither settled nor lost.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Takes a request. `now_ms` counts from the Unix epoch; it should be that of the boot plus a
    /// monotonic clock, since a clock that was set ahead for a while makes every deadline past.
    pub fn request(&mut self, now_ms: u64, key: &key::Key, request: Request) -> Decision {
        self.advance(now_ms);
        if let Some(decision) = self.check_home(key) {
            return decision;
        }
        let hash = key.hash();
        if let Some(record) = self.store.get_mut(hash) {
            if record.body.is_some_and(|body| body != request.body) {
                return Decision::OtherBody;
            }
            return match &record.state {
                store::State::Waiting(_) | store::State::Sent(_) => Decision::Attach,
                state => Decision::Answer(status_of(state)),
            };
        }
        if let Some(status) = self.check_recordable(key, request.rank) {
            return Decision::Answer(status);
        }
        let refusal = if self.now_ms >= request.deadline_ms {
            Some(caller_api::ErrorCode::DeadlinePast)
        } else if self.open_count >= OPEN_MAX {
            Some(caller_api::ErrorCode::Overloaded)
        } else {
            None
        };
        let state = match refusal {
            Some(cause) => store::State::Settled(RequestStatus::NotRun(cause)),
            None => store::State::Waiting(0),
        };
        self.insert(key, Some(request.body), request.deadline_ms, state);
        match refusal {
            Some(cause) => Decision::Answer(RequestStatus::NotRun(cause)),
            None => Decision::Start,
        }
    }

    /// Forbids the run of a key that was never seen, for `cause`; of any other it says what is
    /// known. None if the key's home is another instance, which is to be asked instead.
    pub fn reject(
        &mut self,
        now_ms: u64,
        key: &key::Key,
        rank: rank::Rank,
        cause: caller_api::ErrorCode,
    ) -> Option<RequestStatus> {
        self.advance(now_ms);
        match self.check_home(key) {
            None => {}
            Some(Decision::Answer(status)) => return Some(status),
            Some(_) => return None,
        }
        if let Some(record) = self.store.get_mut(key.hash()) {
            return Some(status_of(&record.state));
        }
        if let Some(status) = self.check_recordable(key, rank) {
            return Some(status);
        }
        let status = RequestStatus::NotRun(cause);
        self.insert(key, None, self.now_ms, store::State::Settled(status.clone()));
        Some(status)
    }

    /// Gives up a request of which nothing can have run, for `cause`.
    pub fn give_up(
        &mut self,
        now_ms: u64,
        key: &key::Key,
        cause: caller_api::ErrorCode,
    ) -> RequestStatus {
        self.advance(now_ms);
        let Some(record) = self.store.get_mut(key.hash()) else { return unknown_key() };
        if let store::State::Waiting(_) = record.state {
            settle(record, &mut self.open_count, RequestStatus::NotRun(cause));
        }
        status_of(&record.state)
    }

    /// Whether an attempt may be sent. To be asked just before its first byte leaves.
    pub fn permit_send(&mut self, now_ms: u64, key: &key::Key) -> Permit {
        self.advance(now_ms);
        let Some(record) = self.store.get_mut(key.hash()) else {
            return Permit::Denied(unknown_key());
        };
        let store::State::Waiting(attempts) = record.state else {
            return Permit::Denied(status_of(&record.state));
        };
        if self.now_ms >= record.deadline_ms {
            let status = RequestStatus::NotRun(caller_api::ErrorCode::DeadlinePast);
            settle(record, &mut self.open_count, status.clone());
            return Permit::Denied(status);
        }
        record.state = store::State::Sent(attempts);
        Permit::Send(AttemptNumber(attempts))
    }

    /// Takes the end of an attempt; a late one may still tell that a lost attempt ran.
    pub fn attempt_ended(
        &mut self,
        now_ms: u64,
        key: &key::Key,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
    ) -> Next {
        self.advance(now_ms);
        let Some(record) = self.store.get_mut(key.hash()) else { return Next::Ignored };
        match (&record.state, outcome) {
            (store::State::Sent(number), AttemptOutcome::Ran(result)) if *number == attempt.0 => {
                let status = RequestStatus::Ran(result);
                settle(record, &mut self.open_count, status.clone());
                Next::Settled(status)
            }
            (store::State::Lost(number), AttemptOutcome::Ran(result)) if *number == attempt.0 => {
                let status = RequestStatus::Ran(result);
                record.state = store::State::Settled(status.clone());
                Next::Settled(status)
            }
            (store::State::Sent(number), AttemptOutcome::Lost) if *number == attempt.0 => {
                record.state = store::State::Lost(attempt.0);
                self.open_count -= 1;
                Next::Settled(status_of(&record.state))
            }
            (store::State::Sent(number), AttemptOutcome::Refused) if *number == attempt.0 => {
                if self.now_ms < record.deadline_ms {
                    record.state = store::State::Waiting(attempt.0 + 1);
                    return Next::TryAnother;
                }
                let status = RequestStatus::NotRun(caller_api::ErrorCode::DeadlinePast);
                settle(record, &mut self.open_count, status.clone());
                Next::Settled(status)
            }
            _ => Next::Ignored,
        }
    }

    /// What is known of a key now; for one that is being run, `Unknown`.
    pub fn status(&mut self, now_ms: u64, key: &key::Key) -> RequestStatus {
        self.advance(now_ms);
        match self.store.get_mut(key.hash()) {
            Some(record) => status_of(&record.state),
            None => unknown_key(),
        }
    }

    /// Moves the time on, never back, and drops what is too old.
    fn advance(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        let Some(until_ms) = self.now_ms.checked_sub(KEY_LIFETIME_MS) else { return };
        while let Some(record) = self.store.pop_oldest(until_ms) {
            if let store::State::Waiting(_) | store::State::Sent(_) = record.state {
                self.open_count -= 1;
            }
            self.evicted_issued_max_s = self.evicted_issued_max_s.max(Some(record.issued_s));
        }
    }

    /// What to do with a key that this boot may not run; none for its own keys.
    fn check_home(&self, key: &key::Key) -> Option<Decision> {
        if *key.home() != self.home {
            return Some(Decision::Forward { to: key.home().clone(), boot: key.boot() });
        }
        if key.boot() != self.boot {
            let cause = caller_api::ErrorCode::HomeUnreachable;
            return Some(Decision::Answer(RequestStatus::Unknown(cause)));
        }
        None
    }

    /// The answer for a key that has no record and may not get one.
    fn check_recordable(&self, key: &key::Key, rank: rank::Rank) -> Option<RequestStatus> {
        let issued_max_s = self.now_ms / 1_000 + ISSUED_AHEAD_MAX_S;
        if Some(key.issued_s()) <= self.evicted_issued_max_s || key.issued_s() > issued_max_s {
            return Some(unknown_key());
        }
        if self.store.len() >= record_limit(self.records_max, rank) {
            return Some(RequestStatus::Unknown(caller_api::ErrorCode::Overloaded));
        }
        None
    }

    fn insert(
        &mut self,
        key: &key::Key,
        body: Option<key::BodyHash>,
        deadline_ms: u64,
        state: store::State,
    ) {
        if let store::State::Waiting(_) = state {
            self.open_count += 1;
        }
        let (hash, issued_s) = (key.hash(), key.issued_s());
        let record = store::Record { hash, issued_s, body, deadline_ms, state };
        self.store.insert(self.now_ms, record);
    }
}

/// How many records there may be for one more of `rank`: a flood leaves room for more urgent work.
fn record_limit(records_max: usize, rank: rank::Rank) -> usize {
    match rank {
        rank::Rank::Urgent => records_max,
        rank::Rank::Standard => records_max / 4 * 3,
        rank::Rank::Background => records_max / 2,
    }
}

fn settle(record: &mut store::Record, open_count: &mut usize, status: RequestStatus) {
    let before = mem::replace(&mut record.state, store::State::Settled(status));
    if let store::State::Waiting(_) | store::State::Sent(_) = before {
        *open_count -= 1;
    }
}

fn status_of(state: &store::State) -> RequestStatus {
    match state {
        store::State::Waiting(_) | store::State::Sent(_) => {
            RequestStatus::Unknown(caller_api::ErrorCode::DeadlinePast)
        }
        store::State::Lost(_) => RequestStatus::Unknown(caller_api::ErrorCode::NoSearcher),
        store::State::Settled(status) => status.clone(),
    }
}

/// Of a key without a record nothing is known any more.
fn unknown_key() -> RequestStatus {
    RequestStatus::Unknown(caller_api::ErrorCode::BadKey)
}
