//! Execution of non-idempotent requests. The home of a request's key runs it at most once, guarded by
//! the [`ledger`]; every other instance forwards the request to the home.

use crate::caller_api;
use crate::entry;
use crate::holdings;
use crate::ids;
use crate::key;
use crate::ledger;
use crate::link;
use crate::locks;
use crate::peer_api;
use crate::peers;
use crate::rank;
use crate::trace;
use compact_str::CompactString;
use std::sync;
use std::time;
use tracing::Instrument as _;

/// Added to the caller's deadline when an instance waits for the answer of the home.
const FORWARD_SLACK: time::Duration = time::Duration::from_millis(250);

/// How long an attempt is awaited past its deadline, so that a late outcome is still recorded.
const LATE_OUTCOME_GRACE: time::Duration = time::Duration::from_secs(10);

/// A request in progress. `settled` turns true when it has ended.
struct Running {
    key: u128,
    settled: tokio::sync::watch::Receiver<bool>,
}

/// The non-idempotent requests whose home is this boot of this instance.
pub struct Home {
    ledger: sync::Mutex<ledger::Ledger>,
    running: sync::Mutex<Vec<Running>>,
}

/// The number of records in a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerSizes {
    /// Keys with a record.
    pub record_count: usize,
    /// Of these, requests that are neither settled nor lost.
    pub open_count: usize,
}

/// What to do to answer a call.
enum Action {
    Answer(ledger::RequestStatus),
    Wait(tokio::sync::watch::Receiver<bool>),
    Start(tokio::sync::watch::Sender<bool>, tokio::sync::watch::Receiver<bool>),
    Forward(ids::InstanceName, ids::BootId),
}

impl Home {
    /// Creates the state of a boot that has received no request.
    pub fn new(instance: ids::InstanceName, boot: ids::BootId) -> Self {
        Self {
            ledger: sync::Mutex::new(ledger::Ledger::new(instance, boot)),
            running: sync::Mutex::default(),
        }
    }

    fn ledger(&self) -> sync::MutexGuard<'_, ledger::Ledger> {
        locks::lock(&self.ledger)
    }

    fn running(&self) -> sync::MutexGuard<'_, Vec<Running>> {
        locks::lock(&self.running)
    }

    /// The sizes of the ledger.
    pub fn sizes(&self) -> LedgerSizes {
        let ledger = self.ledger();
        LedgerSizes { record_count: ledger.record_count(), open_count: ledger.open_count() }
    }

    /// The number of requests in progress.
    pub fn open_count(&self) -> usize {
        self.running().len()
    }

    /// Looks up or records the request, and returns how to answer it.
    fn begin(
        &self,
        key: &key::Key,
        request: ledger::Request,
    ) -> Result<Action, caller_api::ErrorReply> {
        let mut ledger = self.ledger();
        let action = match ledger.request(unix_ms(), key, request) {
            ledger::Decision::Answer(status) => Action::Answer(status),
            ledger::Decision::Forward { to, boot } => Action::Forward(to, boot),
            ledger::Decision::OtherBody => {
                let code = caller_api::ErrorCode::BadKey;
                return Err(entry::error_reply(code, "the key belongs to another request"));
            }
            ledger::Decision::Start => {
                let (sender, receiver) = tokio::sync::watch::channel(false);
                let settled = receiver.clone();
                self.running().push(Running { key: key.hash(), settled });
                Action::Start(sender, receiver)
            }
            ledger::Decision::Attach => {
                let running = self.running();
                match running.iter().find(|running| running.key == key.hash()) {
                    Some(running) => Action::Wait(running.settled.clone()),
                    None => Action::Answer(ledger.status(unix_ms(), key)),
                }
            }
        };
        Ok(action)
    }

    /// Rejects a key; see [`ledger::Ledger::reject`].
    fn reject(
        &self,
        key: &key::Key,
        rank: rank::Rank,
        cause: caller_api::ErrorCode,
    ) -> Option<ledger::RequestStatus> {
        self.ledger().reject(unix_ms(), key, rank, cause)
    }

    /// Removes the request from those in progress and wakes the calls that wait for its outcome.
    fn notify_settled(&self, key: &key::Key, sender: &tokio::sync::watch::Sender<bool>) {
        self.running().retain(|running| running.key != key.hash());
        sender.send_replace(true);
    }
}

impl entry::Node {
    /// Handles a non-idempotent request of a caller: runs it if this instance is its home, else
    /// forwards it to the home.
    ///
    /// # Errors
    ///
    /// When the key is malformed or was used for a different request. Nothing was run for this call.
    pub async fn run(
        self: &sync::Arc<Self>,
        call: caller_api::RunCall,
        traceparent: CompactString,
    ) -> Result<caller_api::RunAnswer, caller_api::ErrorReply> {
        let key = parse_key(&call)?;
        match self.begin_run(&key, &call)? {
            Action::Forward(home, boot) => {
                self.forward_to_home(&key, home, boot, call, traceparent).await
            }
            action => Ok(self.perform(&key, action, call, traceparent).await),
        }
    }

    /// Handles a non-idempotent request that another instance has forwarded. It is not forwarded
    /// again: if this instance is not the home, the outcome is unknown.
    ///
    /// # Errors
    ///
    /// As [`entry::Node::run`].
    pub async fn run_as_home(
        self: &sync::Arc<Self>,
        call: caller_api::RunCall,
        traceparent: CompactString,
    ) -> Result<caller_api::RunAnswer, caller_api::ErrorReply> {
        let key = parse_key(&call)?;
        match self.begin_run(&key, &call)? {
            Action::Forward(..) => Ok(home_unreachable(&key)),
            action => Ok(self.perform(&key, action, call, traceparent).await),
        }
    }

    /// Records the request with its deadline, or rejects its key if the settings forbid the request.
    /// A key that has a record keeps its outcome, since the settings may have changed in between.
    fn begin_run(
        &self,
        key: &key::Key,
        call: &caller_api::RunCall,
    ) -> Result<Action, caller_api::ErrorReply> {
        if let Some(cause) = self.rejection_cause(call)
            && let Some(status) = self.home.reject(key, call.rank, cause)
        {
            return Ok(Action::Answer(status));
        }
        let request = ledger::Request {
            body: key::BodyHash::of(call),
            rank: call.rank,
            deadline_ms: unix_ms() + u64::from(call.deadline_ms.min(entry::DEADLINE_MAX_MS)),
        };
        self.home.begin(key, request)
    }

    /// Why the settings in force forbid a request, or `None` if they allow it.
    fn rejection_cause(&self, call: &caller_api::RunCall) -> Option<caller_api::ErrorCode> {
        let settings = self.settings.load();
        let Some(policy) = settings.service(&call.service) else {
            return Some(caller_api::ErrorCode::UnknownService);
        };
        if policy.operations.binary_search(&call.operation).is_err() {
            return Some(caller_api::ErrorCode::UnknownOperation);
        }
        None
    }

    /// Carries out `action` and waits for the outcome until the deadline of the call.
    async fn perform(
        self: &sync::Arc<Self>,
        key: &key::Key,
        action: Action,
        call: caller_api::RunCall,
        traceparent: CompactString,
    ) -> caller_api::RunAnswer {
        let deadline_ms = call.deadline_ms;
        let mut receiver = match action {
            Action::Answer(status) => return status.answer(key),
            Action::Forward(..) => return home_unreachable(key),
            Action::Wait(receiver) => receiver,
            Action::Start(sender, receiver) => {
                // A separate task, because a caller that disconnects must not cancel the request.
                let node = self.clone();
                let key = key.clone();
                let context = trace::child_of(&traceparent);
                let span = trace::span(trace::Hop::Home, &context);
                let traceparent = context.to_string().into();
                let execution = async move {
                    node.try_searchers(&key, &call, &traceparent).await;
                    node.home.notify_settled(&key, &sender);
                };
                tokio::spawn(execution.instrument(span));
                receiver
            }
        };
        let timeout = time::Duration::from_millis(deadline_ms.into());
        let settled = tokio::time::timeout(timeout, receiver.wait_for(|settled| *settled)).await;
        if settled.is_err() {
            tracing::debug!(%key, "deadline of the call expired before the outcome was known");
        }
        self.home.ledger().status(unix_ms(), key).answer(key)
    }

    /// Sends the request to one searcher after another until one has run it or may have run it.
    async fn try_searchers(
        &self,
        key: &key::Key,
        call: &caller_api::RunCall,
        traceparent: &CompactString,
    ) {
        let started = tokio::time::Instant::now();
        let deadline = started + time::Duration::from_millis(call.deadline_ms.into());
        let mut cause = caller_api::ErrorCode::NoSearcher;
        for searcher in self.run_candidates(call) {
            let attempt = match self.home.ledger().permit_send(unix_ms(), key) {
                ledger::Permit::Send(attempt) => attempt,
                ledger::Permit::Denied(_) => return,
            };
            let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
            let run = peer_api::OwnerRun {
                attempt: ids::AttemptId(rand::random()),
                searcher,
                traceparent: traceparent.clone(),
                service: call.service.clone(),
                operation: call.operation.clone(),
                subject: call.subject.clone(),
                rank: call.rank,
                timeout_ms: remaining.as_millis() as u32,
                expires_unix_ms: unix_ms() + remaining.as_millis() as u64,
            };
            let outcome = self.run_at_owner(run, remaining + LATE_OUTCOME_GRACE).await;
            if let peer_api::RunOutcome::Failed(peer_api::Failure::Overloaded) = outcome {
                cause = caller_api::ErrorCode::Overloaded;
            }
            let next =
                self.home.ledger().attempt_ended(unix_ms(), key, attempt, attempt_outcome(outcome));
            match next {
                ledger::Next::TryAnother => continue,
                ledger::Next::Settled(_) | ledger::Next::Ignored => return,
            }
        }
        self.home.ledger().give_up(unix_ms(), key, cause);
    }

    /// The ready searchers of the service, ordered by rendezvous weight so that the same subject
    /// prefers the same searcher.
    fn run_candidates(&self, call: &caller_api::RunCall) -> Vec<ids::SearcherName> {
        let holdings: sync::Arc<holdings::Holdings> = self.holdings.load_full();
        let mut candidates = Vec::new();
        for report in holdings.all() {
            if report.service != call.service || report.health != peer_api::Health::Ready {
                continue;
            }
            let weight = peers::rendezvous_weight(report.searcher.as_str(), &call.subject);
            candidates.push((std::cmp::Reverse(weight), report.searcher.clone()));
        }
        candidates.sort();
        candidates.into_iter().map(|(_, searcher)| searcher).collect()
    }

    /// Has the owner of the searcher run the request; waits for `timeout` at most.
    async fn run_at_owner(
        &self,
        run: peer_api::OwnerRun,
        timeout: time::Duration,
    ) -> peer_api::RunOutcome {
        let failed = peer_api::RunOutcome::Failed;
        let Some(owner) = self.owner_of(&run.searcher) else {
            return failed(peer_api::Failure::NotOwner);
        };
        if owner == self.instance {
            return self.owner.run(run).await;
        }
        let request = peer_api::Request::OwnerRun(run);
        match self.links.request(&owner, request, timeout).await {
            Ok(peer_api::Reply::OwnerRun(outcome)) => outcome,
            Err(link::RequestError::NotSent(_)) => failed(peer_api::Failure::NotSent),
            Ok(_) | Err(link::RequestError::Lost) => failed(peer_api::Failure::Lost),
        }
    }

    /// Forwards the call to the home of its key. Without an answer the outcome is unknown, since the
    /// home may have run the request.
    async fn forward_to_home(
        &self,
        key: &key::Key,
        home: ids::InstanceName,
        boot: ids::BootId,
        call: caller_api::RunCall,
        traceparent: CompactString,
    ) -> Result<caller_api::RunAnswer, caller_api::ErrorReply> {
        if self.links.peer_boot(&home).is_some_and(|current| current != boot) {
            return Ok(home_unreachable(key));
        }
        let timeout = time::Duration::from_millis(call.deadline_ms.into()) + FORWARD_SLACK;
        let request = peer_api::Request::HomeRun { traceparent, call };
        match self.links.request(&home, request, timeout).await {
            Ok(peer_api::Reply::HomeRun(answer)) => answer,
            _ => Ok(home_unreachable(key)),
        }
    }
}

/// The answer when the home can't be reached. The outcome is unknown because the caller may have
/// sent the request to the home before.
fn home_unreachable(key: &key::Key) -> caller_api::RunAnswer {
    ledger::RequestStatus::Unknown(caller_api::ErrorCode::HomeUnreachable).answer(key)
}

fn parse_key(call: &caller_api::RunCall) -> Result<key::Key, caller_api::ErrorReply> {
    call.key.parse().map_err(|error: key::ParseKeyError| {
        entry::error_reply(caller_api::ErrorCode::BadKey, error.to_string())
    })
}

fn attempt_outcome(outcome: peer_api::RunOutcome) -> ledger::AttemptOutcome {
    match outcome {
        peer_api::RunOutcome::Ran(result) => ledger::AttemptOutcome::Ran(result),
        peer_api::RunOutcome::Failed(failure) if failure.did_not_run() => {
            ledger::AttemptOutcome::Refused
        }
        peer_api::RunOutcome::Failed(_) => ledger::AttemptOutcome::Lost,
    }
}

/// The time of the first call to [`unix_ms`], by the wall clock and by the monotonic clock.
struct ClockOrigin {
    unix: time::Duration,
    monotonic: time::Instant,
}

static CLOCK_ORIGIN: sync::LazyLock<ClockOrigin> = sync::LazyLock::new(|| ClockOrigin {
    unix: time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default(),
    monotonic: time::Instant::now(),
});

/// Milliseconds since the Unix epoch. Never decreases: the wall clock is read once and advanced by
/// the monotonic clock. If the wall clock were read each time, setting it ahead and back again would
/// make deadlines look expired.
pub fn unix_ms() -> u64 {
    let origin = &*CLOCK_ORIGIN;
    (origin.unix + origin.monotonic.elapsed()).as_millis() as u64
}
