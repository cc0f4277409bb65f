//! A caller as [`caller_api`] requires: it caches the address reply for its time to live, fails over
//! to another instance when that is safe, and retries with the same idempotency key.

use crate::caller_api;
use crate::client;
use crate::ids;
use crate::key;
use crate::rank;
use crate::trace;
use compact_str::CompactString;
use std::net;
use std::sync;
use std::time;

/// The maximum number of attempts for one request.
const ATTEMPTS_MAX: usize = 3;

/// How long one instance may take to return the addresses.
const ADDRESSES_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// No attempt is started with less time than this until the deadline.
const ATTEMPT_TIME_MIN: time::Duration = time::Duration::from_millis(5);

/// How long past the deadline a search answer may arrive. The instance enforces the deadline, and
/// its answer takes some time to arrive.
const ANSWER_GRACE: time::Duration = time::Duration::from_millis(250);

/// The delay before a request whose outcome is unknown is sent again.
const UNKNOWN_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Parameters of a non-idempotent request.
#[derive(Clone, Debug)]
pub struct RunParams {
    /// The service.
    pub service: ids::ServiceName,
    /// The operation.
    pub operation: ids::OperationName,
    /// What it is applied to.
    pub subject: CompactString,
    /// The key of an earlier call, which may have run; `None` if there was no earlier call.
    pub key: Option<key::Key>,
    /// The urgency.
    pub rank: rank::Rank,
    /// How long the caller waits.
    pub deadline: time::Duration,
}

struct CachedAddresses {
    reply: sync::Arc<caller_api::AddressesReply>,
    expires_at: time::Instant,
}

/// A caller with its connections and its cached address reply.
pub struct Caller {
    http: client::Client,
    servers: Vec<net::SocketAddr>,
    addresses_path: String,
    cached: sync::Mutex<Option<CachedAddresses>>,
}

impl Caller {
    /// Creates a caller that fetches addresses from `servers`. The region and failure domain, if
    /// given, are sent with that request so that the nearest instances are listed first.
    pub fn new(
        servers: Vec<net::SocketAddr>,
        region: Option<&ids::RegionName>,
        failure_domain: Option<&ids::DomainName>,
    ) -> Result<Self, client::CallError> {
        let mut addresses_path = "/v1/addresses".to_owned();
        let mut separator = '?';
        if let Some(region) = region {
            addresses_path.push_str(&format!("{separator}region={region}"));
            separator = '&';
        }
        if let Some(failure_domain) = failure_domain {
            addresses_path.push_str(&format!("{separator}failure_domain={failure_domain}"));
        }
        let http = client::Client::new()?;
        Ok(Self { http, servers, addresses_path, cached: sync::Mutex::new(None) })
    }

    /// Returns the cached address reply, fetched again once its time to live is over. If the fetch
    /// fails, returns the expired reply, or the error if there is none.
    pub async fn addresses(
        &self,
    ) -> Result<sync::Arc<caller_api::AddressesReply>, client::CallError> {
        let expired = {
            let cached = self.lock();
            match &*cached {
                Some(cached) if time::Instant::now() < cached.expires_at => {
                    return Ok(sync::Arc::clone(&cached.reply));
                }
                Some(cached) => Some(sync::Arc::clone(&cached.reply)),
                None => None,
            }
        };
        match self.fetch_addresses(expired.as_deref()).await {
            Ok(reply) => {
                let expires_at =
                    time::Instant::now() + time::Duration::from_millis(reply.ttl_ms.into());
                let reply = sync::Arc::new(reply);
                *self.lock() =
                    Some(CachedAddresses { reply: sync::Arc::clone(&reply), expires_at });
                Ok(reply)
            }
            Err(error) => expired.ok_or(error),
        }
    }

    /// Sends a search, and fails over to the next instance if it may succeed there.
    pub async fn search(
        &self,
        call: &caller_api::SearchCall,
    ) -> Result<caller_api::SearchAnswer, client::CallError> {
        let deadline = time::Instant::now() + time::Duration::from_millis(call.deadline_ms.into());
        let addresses = self.addresses().await?;
        let mut last_error = client::CallError::NoInstance;
        for address in addresses.addresses.iter().take(ATTEMPTS_MAX) {
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            if remaining < ATTEMPT_TIME_MIN {
                break;
            }
            let call = caller_api::SearchCall { deadline_ms: millis(remaining), ..call.clone() };
            let timeout = remaining + ANSWER_GRACE;
            match self.post(address.address, "/v1/search", &call, timeout).await {
                Ok(answer) => return Ok(answer),
                Err(error) if error.may_succeed_elsewhere() => {
                    self.move_to_end(address.address);
                    last_error = error;
                }
                Err(error) => return Err(error),
            }
        }
        Err(last_error)
    }

    /// Runs a non-idempotent request; `random` supplies the random part of a new key. An error
    /// means that the request did not run. If that is not known, the answer's outcome is `Unknown`.
    pub async fn run(
        &self,
        run: &RunParams,
        random: impl Fn() -> u64,
    ) -> Result<caller_api::RunAnswer, client::CallError> {
        let deadline = time::Instant::now() + run.deadline;
        let addresses = self.addresses().await?;
        let mut unknown = run.key.clone().map(|key| unknown_answer(key.into()));
        let mut last_error = client::CallError::NoInstance;
        for address in addresses.addresses.iter().cycle().take(ATTEMPTS_MAX) {
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            if remaining < ATTEMPT_TIME_MIN {
                break;
            }
            let key = match &unknown {
                Some(answer) => answer.key.clone(),
                None => new_key(address, addresses.issued_s, random()),
            };
            let call = run_call(run, key.clone(), remaining);
            // Leaves a third of the time for another instance if this one does not answer.
            let timeout = remaining.mul_f64(2.0 / 3.0).max(ATTEMPT_TIME_MIN);
            match self.post(address.address, "/v1/run", &call, timeout).await {
                Ok(answer) => {
                    let answer: caller_api::RunAnswer = answer;
                    if answer.outcome != caller_api::Outcome::Unknown {
                        return Ok(answer);
                    }
                    unknown = Some(answer);
                    tokio::time::sleep(UNKNOWN_RETRY_DELAY).await;
                }
                Err(error) if error.never_received() => last_error = error,
                Err(client::CallError::Refused(at, reply)) => {
                    let error = client::CallError::Refused(at, reply.clone());
                    // A refusal says nothing about an earlier attempt whose outcome is unknown.
                    match &mut unknown {
                        Some(answer) => answer.cause = Some(reply.code),
                        None if !error.may_succeed_elsewhere() => return Err(error),
                        None => last_error = error,
                    }
                }
                Err(_) => unknown = Some(unknown.unwrap_or_else(|| unknown_answer(key))),
            }
        }
        match unknown {
            Some(answer) => Ok(answer),
            None => Err(last_error),
        }
    }

    async fn post<B, T>(
        &self,
        address: net::SocketAddr,
        path: &str,
        body: &B,
        timeout: time::Duration,
    ) -> Result<T, client::CallError>
    where
        B: serde::Serialize,
        T: for<'de> serde::Deserialize<'de>,
    {
        let trace = trace::request_context(None);
        let call = client::Call { path, body: Some(body), token: None, trace, timeout };
        self.http.call(address, call).await
    }

    /// Fetches the addresses from the first of these that answers: the configured servers, then the
    /// instances in the `previous` reply.
    async fn fetch_addresses(
        &self,
        previous: Option<&caller_api::AddressesReply>,
    ) -> Result<caller_api::AddressesReply, client::CallError> {
        let mut servers = self.servers.clone();
        if let Some(previous) = previous {
            servers.extend(previous.addresses.iter().map(|address| address.address));
        }
        let mut last_error = client::CallError::NoInstance;
        for server in servers {
            let trace = trace::request_context(None);
            let path = &self.addresses_path;
            let timeout = ADDRESSES_TIMEOUT;
            let call = client::Call::<()> { path, body: None, token: None, trace, timeout };
            match self.http.call(server, call).await {
                Ok(reply) => return Ok(reply),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Moves a failed instance to the end of the cached list, until the list is fetched again.
    fn move_to_end(&self, address: net::SocketAddr) {
        let mut cached = self.lock();
        let Some(cached) = &mut *cached else { return };
        let reply = sync::Arc::make_mut(&mut cached.reply);
        let has_address = |candidate: &caller_api::Address| candidate.address == address;
        if let Some(index) = reply.addresses.iter().position(has_address) {
            reply.addresses[index..].rotate_left(1);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<CachedAddresses>> {
        self.cached.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn new_key(address: &caller_api::Address, issued_s: u64, random: u64) -> CompactString {
    key::Key::new(address.instance.clone(), address.boot, issued_s, random).into()
}

fn run_call(run: &RunParams, key: CompactString, remaining: time::Duration) -> caller_api::RunCall {
    caller_api::RunCall {
        key,
        service: run.service.clone(),
        operation: run.operation.clone(),
        subject: run.subject.clone(),
        rank: run.rank,
        deadline_ms: millis(remaining),
    }
}

/// The answer for a request that may have run but was not answered.
fn unknown_answer(key: CompactString) -> caller_api::RunAnswer {
    let cause = Some(caller_api::ErrorCode::HomeUnreachable);
    caller_api::RunAnswer { key, outcome: caller_api::Outcome::Unknown, result: None, cause }
}

fn millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
