//! The searchers that this instance owns: their slots, connections, health and holdings.

use crate::attempts;
use crate::connection;
use crate::ids;
use crate::link;
use crate::peer_api;
use crate::peers;
use crate::searcher_api;
use std::sync;
use std::time;

/// How often an owned searcher is asked for its status.
pub const PROBE_PERIOD: time::Duration = time::Duration::from_millis(500);

/// How long a status may take.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// After how many failed probes in a row a searcher counts as unreachable.
const PROBE_FAILURES_MAX: u32 = 2;

/// Where the outcome of a call goes.
#[derive(Clone)]
pub enum ReplyTo {
    /// To the peer at the other end of a link.
    Link(link::FrameSender),
    /// To this instance's own queries.
    Here(sync::Arc<attempts::Attempts>),
}

impl ReplyTo {
    /// Sends an outcome; drops it if nobody waits.
    pub fn send(&self, reply: peer_api::ShardReply) {
        match self {
            ReplyTo::Link(sender) => {
                if sender.try_send(peer_api::Frame::Shard(reply)).is_err() {
                    tracing::debug!("link gone or full; the entry will count the call as lost");
                }
            }
            ReplyTo::Here(attempts) => {
                attempts.resolve(reply);
            }
        }
    }
}

struct Running {
    attempt: ids::AttemptId,
    stop: tokio::sync::oneshot::Sender<()>,
}

#[derive(Clone, Debug)]
struct Observed {
    health: peer_api::Health,
    holdings: Vec<crate::snapshot::Holding>,
    failures: u32,
    reported: Option<peer_api::SearcherReport>,
}

/// One owned searcher.
struct Owned {
    listed: peers::ListedSearcher,
    connections: connection::Connections,
    slots: tokio::sync::Semaphore,
    running: sync::Mutex<Vec<Running>>,
    observed: sync::Mutex<Observed>,
}

/// The limits of one searcher.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests at a time.
    pub slots: u16,
    /// Connections at a time.
    pub connections: u16,
}

/// All searchers that this instance owns.
pub struct Owner {
    me: ids::InstanceName,
    owned: sync::RwLock<Vec<sync::Arc<Owned>>>,
}

impl Owner {
    /// Owns nothing yet.
    pub fn new(me: ids::InstanceName) -> Self {
        Self { me, owned: sync::RwLock::default() }
    }

    /// Takes over what this instance owns in these views and gives up the rest.
    pub fn follow(
        &self,
        peers: &peers::Peers,
        directory: &peers::Directory,
        limits: impl Fn(&ids::ServiceName) -> Option<Limits>,
    ) {
        let mut next = Vec::new();
        let known = read(&self.owned).clone();
        for listed in directory.all() {
            let owner = peers.owner(&listed.place, &listed.searcher);
            if owner.is_none_or(|owner| owner.instance != self.me) {
                continue;
            }
            let Some(limits) = limits(&listed.service) else {
                continue;
            };
            let same = find(&known, &listed.searcher)
                .filter(|owned| owned.listed.address == listed.address)
                .filter(|owned| owned.listed.leaving == listed.leaving);
            match same {
                Some(owned) => next.push(owned.clone()),
                None => next.push(sync::Arc::new(Owned::new(listed.clone(), limits))),
            }
        }
        *write(&self.owned) = next;
    }

    /// Makes the calls of a query; each outcome goes to `reply_to`.
    pub fn search(self: &sync::Arc<Self>, search: peer_api::Search, reply_to: &ReplyTo) {
        let deadline =
            tokio::time::Instant::now() + time::Duration::from_millis(search.timeout_ms.into());
        for call in &search.calls {
            let Some(owned) = self.find(&call.searcher) else {
                reply_to.send(attempts::failed_reply(
                    call.attempt,
                    call.searcher.clone(),
                    peer_api::Failure::NotOwner,
                ));
                continue;
            };
            let request = searcher_api::SearchRequest {
                attempt: call.attempt,
                service: search.service.clone(),
                snapshot: search.snapshot,
                shards: call.shards.clone(),
                query: search.query.clone(),
                limit: search.limit,
                rank: search.rank,
                timeout_ms: 0,
            };
            let traceparent = search.traceparent.clone();
            let reply_to = reply_to.clone();
            let (stop, stopped) = tokio::sync::oneshot::channel();
            lock(&owned.running).push(Running { attempt: call.attempt, stop });
            tokio::spawn(async move {
                let attempt = request.attempt;
                let outcome = tokio::select! {
                    outcome = owned.search(request, traceparent, deadline) => outcome,
                    _ = stopped => peer_api::ShardOutcome::Failed(peer_api::Failure::Cancelled),
                };
                lock(&owned.running).retain(|running| running.attempt != attempt);
                let searcher = owned.listed.searcher.clone();
                reply_to.send(peer_api::ShardReply { attempt, searcher, outcome, load: None });
            });
        }
    }

    /// Gives up calls.
    pub fn cancel(&self, attempts: &[ids::AttemptId]) {
        for owned in read(&self.owned).iter() {
            let mut running = lock(&owned.running);
            let mut index = 0;
            while let Some(entry) = running.get(index) {
                if !attempts.contains(&entry.attempt) {
                    index += 1;
                    continue;
                }
                let entry = running.swap_remove(index);
                if entry.stop.send(()).is_err() {
                    tracing::trace!("call ended before it was cancelled");
                }
            }
        }
    }

    /// Has a searcher run a non-idempotent request, at most once.
    pub async fn run(&self, run: peer_api::OwnerRun) -> peer_api::RunOutcome {
        let Some(owned) = self.find(&run.searcher) else {
            return peer_api::RunOutcome::Failed(peer_api::Failure::NotOwner);
        };
        owned.run(run).await
    }

    /// Asks each owned searcher for its status. Returns the reports that have changed.
    pub async fn probe(
        &self,
        known: impl Fn(&ids::SearcherName) -> u64,
    ) -> Vec<peer_api::SearcherReport> {
        let owned = read(&self.owned).clone();
        let mut probes = tokio::task::JoinSet::new();
        for searcher in owned {
            let known = known(&searcher.listed.searcher);
            probes.spawn(async move {
                let status = searcher.status().await;
                searcher.observe(status, known)
            });
        }
        let mut changed = Vec::new();
        while let Some(probed) = probes.join_next().await {
            let Ok(Some(report)) = probed else {
                continue;
            };
            changed.push(report);
        }
        changed
    }

    /// The last report on each owned searcher.
    pub fn reports(&self) -> Vec<peer_api::SearcherReport> {
        let mut reports = Vec::new();
        for owned in read(&self.owned).iter() {
            reports.extend(lock(&owned.observed).reported.clone());
        }
        reports
    }

    fn find(&self, searcher: &ids::SearcherName) -> Option<sync::Arc<Owned>> {
        find(&read(&self.owned), searcher).cloned()
    }
}

impl Owned {
    fn new(listed: peers::ListedSearcher, limits: Limits) -> Self {
        Self {
            connections: connection::Connections::new(
                listed.address,
                usize::from(limits.connections),
            ),
            listed,
            slots: tokio::sync::Semaphore::new(usize::from(limits.slots)),
            running: sync::Mutex::default(),
            observed: sync::Mutex::new(Observed {
                health: peer_api::Health::Starting,
                holdings: Vec::new(),
                failures: 0,
                reported: None,
            }),
        }
    }

    async fn search(
        &self,
        mut request: searcher_api::SearchRequest,
        traceparent: compact_str::CompactString,
        deadline: tokio::time::Instant,
    ) -> peer_api::ShardOutcome {
        let failed = peer_api::ShardOutcome::Failed;
        let Ok(Ok(_slot)) = tokio::time::timeout_at(deadline, self.slots.acquire()).await else {
            return failed(peer_api::Failure::DeadlinePast);
        };
        let left = deadline.saturating_duration_since(tokio::time::Instant::now());
        request.timeout_ms = left.as_millis() as u32;
        let answer = match self.call("/search", &request, traceparent, left).await {
            Ok(answer) => answer,
            Err(failure) => return failed(failure),
        };
        let Ok(reply) = serde_json::from_slice::<searcher_api::SearchReply>(&answer.body) else {
            return failed(peer_api::Failure::Lost);
        };
        if reply.attempt != request.attempt {
            return failed(peer_api::Failure::Lost);
        }
        if reply.draining {
            self.note_draining();
        }
        peer_api::ShardOutcome::Answered { snapshot: reply.snapshot, shards: reply.shards }
    }

    async fn run(&self, run: peer_api::OwnerRun) -> peer_api::RunOutcome {
        let failed = peer_api::RunOutcome::Failed;
        let timeout = time::Duration::from_millis(run.timeout_ms.into());
        let deadline = tokio::time::Instant::now() + timeout;
        let Ok(Ok(_slot)) = tokio::time::timeout_at(deadline, self.slots.acquire()).await else {
            return failed(peer_api::Failure::DeadlinePast);
        };
        let left = deadline.saturating_duration_since(tokio::time::Instant::now());
        if left.is_zero() {
            return failed(peer_api::Failure::DeadlinePast);
        }
        let request = searcher_api::RunRequest {
            attempt: run.attempt,
            service: run.service,
            operation: run.operation,
            subject: run.subject,
            rank: run.rank,
            timeout_ms: left.as_millis() as u32,
        };
        let answer = match self.call("/run", &request, run.traceparent, left).await {
            Ok(answer) => answer,
            Err(failure) => return failed(failure),
        };
        match serde_json::from_slice::<searcher_api::RunReply>(&answer.body) {
            Ok(reply) if reply.attempt == request.attempt => {
                peer_api::RunOutcome::Ran(reply.result)
            }
            _ => failed(peer_api::Failure::Lost),
        }
    }

    /// Sends a request; an answer other than 200 is a failure.
    async fn call(
        &self,
        path: &str,
        request: &impl serde::Serialize,
        traceparent: compact_str::CompactString,
        timeout: time::Duration,
    ) -> Result<connection::Answer, peer_api::Failure> {
        let mut call =
            connection::Call::json(http::Method::POST, path, request).map_err(failure)?;
        call.traceparent = traceparent;
        let answer = self.connections.send(call, timeout).await.map_err(failure)?;
        match answer.status {
            http::StatusCode::OK => Ok(answer),
            http::StatusCode::SERVICE_UNAVAILABLE => {
                match serde_json::from_slice::<searcher_api::RefusedReply>(&answer.body) {
                    Ok(refused) => {
                        if refused.refusal == searcher_api::Refusal::Draining {
                            self.note_draining();
                        }
                        Err(peer_api::Failure::Refused(refused.refusal))
                    }
                    Err(_) => Err(peer_api::Failure::Lost),
                }
            }
            _ => Err(peer_api::Failure::Lost),
        }
    }

    async fn status(&self) -> Option<searcher_api::StatusReply> {
        let call = connection::Call::get("/status");
        let answer = self.connections.send(call, PROBE_TIMEOUT).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    fn note_draining(&self) {
        lock(&self.observed).health = peer_api::Health::Draining;
    }

    /// Takes in a status, or that there was none. Returns the new report if something has changed.
    fn observe(
        &self,
        status: Option<searcher_api::StatusReply>,
        known_observation: u64,
    ) -> Option<peer_api::SearcherReport> {
        let mut observed = lock(&self.observed);
        match status {
            None => {
                observed.failures += 1;
                if observed.failures >= PROBE_FAILURES_MAX {
                    observed.health = peer_api::Health::Unreachable;
                }
            }
            Some(status) => {
                observed.failures = 0;
                observed.holdings = status.holdings;
                observed.health = match status.state {
                    _ if self.listed.leaving => peer_api::Health::Draining,
                    searcher_api::SearcherState::Draining => peer_api::Health::Draining,
                    searcher_api::SearcherState::Starting => peer_api::Health::Starting,
                    searcher_api::SearcherState::Ready
                        if observed.health == peer_api::Health::Draining =>
                    {
                        peer_api::Health::Draining
                    }
                    searcher_api::SearcherState::Ready => peer_api::Health::Ready,
                };
            }
        }
        let unchanged = observed.reported.as_ref().is_some_and(|reported| {
            reported.observation >= known_observation
                && reported.health == observed.health
                && reported.holdings == observed.holdings
        });
        if unchanged {
            return None;
        }
        let report = peer_api::SearcherReport {
            searcher: self.listed.searcher.clone(),
            service: self.listed.service.clone(),
            observation: known_observation + 1,
            health: observed.health,
            holdings: observed.holdings.clone(),
        };
        observed.reported = Some(report.clone());
        Some(report)
    }
}

fn failure(error: connection::CallError) -> peer_api::Failure {
    match error {
        connection::CallError::NotSent(_) => peer_api::Failure::NotSent,
        connection::CallError::Lost(_) => peer_api::Failure::Lost,
    }
}

fn find<'a>(
    owned: &'a [sync::Arc<Owned>],
    searcher: &ids::SearcherName,
) -> Option<&'a sync::Arc<Owned>> {
    let index = owned.binary_search_by(|o| o.listed.searcher.cmp(searcher)).ok()?;
    owned.get(index)
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn read<T>(lock: &sync::RwLock<T>) -> sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(sync::PoisonError::into_inner)
}

fn write<T>(lock: &sync::RwLock<T>) -> sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(sync::PoisonError::into_inner)
}
