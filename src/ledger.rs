//! The ledger of non-idempotent requests: it ensures that each of them runs at most once.
//!
//! An idempotency key names its home, one boot of one instance. Only the home runs the request, and
//! the home keeps the only record of it, in memory. The ledger is a state machine without I/O: it is
//! given the time and the events, and returns what to do.
//!
//! - `NotRun` is answered only from a record that forbids the run permanently, or from the record of
//!   a key whose attempts were all refused. Any other request that is not known to have run is
//!   answered with `Unknown`.
//! - A record is dropped [`KEY_LIFETIME_MS`] after the key was first seen. The ledger keeps the
//!   newest issue time of the dropped keys and never starts a key that was issued at or before it.
//!   So a dropped key can't run again, whatever the clocks do, and memory stays bounded. Keeping a
//!   hash of each key for the whole boot would not be bounded under a flood of requests.
//! - When the ledger is full, a key that can't be recorded is answered with `Unknown`: after a
//!   `NotRun` without a record, a delayed copy of the request could still run.
//! - A caller that disconnects cancels nothing, so the ledger has no such input.

mod store;
mod types;

pub use types::{AttemptNumber, AttemptOutcome, Decision, Next, Permit, Request, RequestStatus};

use crate::caller_api;
use crate::ids;
use crate::key;
use crate::rank;
use std::mem;

/// How long the record of a key is kept after the key was first seen.
pub const KEY_LIFETIME_MS: u64 = 600_000;

/// How far ahead of this instance's clock the issue time of a key may be.
pub const ISSUED_AHEAD_MAX_S: u64 = 60;

/// The maximum number of records.
pub const RECORDS_MAX: usize = 262_144;

/// The maximum number of requests that are neither settled nor lost.
pub const OPEN_MAX: usize = 4_096;

/// The ledger of one boot of an instance.
#[derive(Debug)]
pub struct Ledger {
    home: ids::InstanceName,
    boot: ids::BootId,
    store: store::Store,
    records_max: usize,
    open_count: usize,
    /// The newest issue time of the dropped keys; `None` before the first one is dropped.
    evicted_issued_max_s: Option<u64>,
    /// The latest time that was passed in.
    now_ms: u64,
}

impl Ledger {
    /// Creates an empty ledger for this boot of the instance `home`.
    pub fn new(home: ids::InstanceName, boot: ids::BootId) -> Self {
        Self::with_records_max(home, boot, RECORDS_MAX)
    }

    /// Like [`Ledger::new`], with room for `records_max` records.
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

    /// The number of records.
    pub fn record_count(&self) -> usize {
        self.store.len()
    }

    /// The number of requests that are neither settled nor lost.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Records a request if its key is new, and returns what to do with it.
    ///
    /// `now_ms` counts from the Unix epoch. It should be the wall clock time at boot, advanced by a
    /// monotonic clock: a wall clock that is set ahead for a while makes every deadline expire.
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

    /// Records that a key without a record must never run, for `cause`. Returns the status of the
    /// key, or `None` if its home is another instance, which has to be asked instead.
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

    /// Settles a request as not run, for `cause`, unless an attempt may have run it. Returns its
    /// status.
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

    /// Grants or denies the next attempt of a request. Must be called right before the first byte of
    /// the attempt is sent.
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

    /// Records how an attempt ended. A late outcome may still settle a lost attempt as run.
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

    /// The current status of a key; `Unknown` while the request is in progress.
    pub fn status(&mut self, now_ms: u64, key: &key::Key) -> RequestStatus {
        self.advance(now_ms);
        match self.store.get_mut(key.hash()) {
            Some(record) => status_of(&record.state),
            None => unknown_key(),
        }
    }

    /// Advances the time, which never goes back, and drops expired records.
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

    /// What to do with a key whose home is not this boot; `None` if it is.
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

    /// The status to answer for a key without a record if it can't be recorded, else `None`.
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

/// Once the ledger has this many records, it records no further requests of `rank`, so that a flood of
/// less urgent requests leaves room for more urgent ones.
fn record_limit(records_max: usize, rank: rank::Rank) -> usize {
    match rank {
        rank::Rank::Urgent => records_max,
        rank::Rank::Standard => records_max / 4 * 3,
        rank::Rank::Background => records_max / 2,
    }
}

/// Settles a record and counts it as no longer open.
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

/// The status of a key without a record.
fn unknown_key() -> RequestStatus {
    RequestStatus::Unknown(caller_api::ErrorCode::BadKey)
}
