//! Reads the platform's store while it is this instance's turn.

use crate::clock;
use crate::discovery::registry;
use crate::discovery::store_client;
use crate::discovery::view;
use crate::event;
use crate::events::Event;
use crate::forward::metrics;
use crate::locks;
use std::net;
use std::sync;
use std::time;
use xxhash_rust::xxh3;

/// The share of the bound for configurations that a watch waits at the store: if its connection is silent, a
/// second one still has time.
const CONFIG_WAIT_SHARE: f64 = 0.4;
/// The share of the bound for searchers that drain between two reads of searchers. Each searcher writes about
/// once in a second, so a watch would return at once, for ever.
const SEARCHERS_PERIOD_SHARE: f64 = 0.3;
/// How long a watch of searchers waits at the store.
const SEARCHERS_WAIT: time::Duration = time::Duration::from_millis(500);
/// The first backoff after a failed call; it doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: time::Duration = time::Duration::from_millis(150);
/// The longest backoff after failed calls.
const BACKOFF_MAX: time::Duration = time::Duration::from_millis(800);
/// How much older than a reader's period a view grows before an instance that is no reader reads for itself.
const STALE_SLACK_US: u64 = 1_000_000;
/// How much older than a reader's period a view is that may have missed an outage of the store.
const OUTAGE_SLACK_US: u64 = 1_700_000;
/// The spread of that time over instances, so that they do not all read at once.
const STALE_JITTER_US: u64 = 600_000;
/// How long an instance of a system that starts as a whole waits for a source, unless it is a seed itself.
const START_SOURCE_WAIT_US: u64 = 1_200_000;
/// How long an instance that has been started again waits for a source: clients are waiting too.
const RESTART_SOURCE_WAIT_US: u64 = 250_000;
/// How long the store may fail before the instance leaves the reading to another one.
const UNFIT_AFTER_US: u64 = 900_000;
/// How long an instance that the store has failed is passed over as a reader.
const UNFIT_FOR_US: u64 = 6_000_000;
/// How often an instance looks whether it is its turn.
const ROLE_CHECK_PERIOD: time::Duration = time::Duration::from_millis(100);

/// How soon changes have to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// From a configuration's acknowledgement until it is in force.
    pub config_apply: time::Duration,
    /// From a searcher's report that it drains until it gets no new work.
    pub drain: time::Duration,
}

/// Reads the store whenever it is this instance's turn.
pub struct Reader<S> {
    view: sync::Arc<view::View>,
    store: S,
    metrics: sync::Arc<metrics::Metrics>,
    is_seed: bool,
    config_wait: time::Duration,
    searchers_period: time::Duration,
    started_us: u64,
    stale_after_us: u64,
    /// How long it waits for a source at the start.
    source_wait_us: u64,
    status: sync::Mutex<Status>,
    removal_hold: sync::Mutex<registry::RemovalHold>,
}

/// What is asked of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Call {
    Config,
    Searchers,
}

/// How many kinds of calls there are.
const CALL_COUNT: usize = <Call as strum::EnumCount>::COUNT;

/// How the store has answered.
#[derive(Clone, Copy, Debug, Default)]
struct Status {
    /// For each kind of call, since when it has failed: a watch that was waiting may still be answered
    /// when other calls fail already.
    failing_since_us: [Option<u64>; CALL_COUNT],
    unfit_until_us: u64,
}

impl<S: store_client::StoreClient> Reader<S> {
    /// A reader. Whether it is one of `seeds` decides how soon it reads at the start.
    pub fn new(
        view: sync::Arc<view::View>,
        store: S,
        seeds: &[net::SocketAddr],
        is_first_start: bool,
        bounds: Bounds,
        metrics: sync::Arc<metrics::Metrics>,
    ) -> Self {
        let me = view.with_members(|members| members.me().clone());
        let searchers_period = bounds.drain.mul_f64(SEARCHERS_PERIOD_SHARE);
        let period_us = searchers_period.as_micros() as u64;
        let jitter_us = xxh3::xxh3_64(me.name.as_str().as_bytes()) % STALE_JITTER_US;
        Self {
            is_seed: seeds.is_empty() || seeds.contains(&me.control),
            view,
            store,
            metrics,
            started_us: clock::now_us(),
            config_wait: bounds.config_apply.mul_f64(CONFIG_WAIT_SHARE),
            searchers_period,
            stale_after_us: period_us + STALE_SLACK_US + jitter_us,
            source_wait_us: jitter_us
                + if is_first_start { START_SOURCE_WAIT_US } else { RESTART_SOURCE_WAIT_US },
            status: sync::Mutex::default(),
            removal_hold: sync::Mutex::new(registry::RemovalHold::new(period_us + OUTAGE_SLACK_US)),
        }
    }

    /// Reads until the process ends.
    pub async fn run(self) {
        tokio::join!(self.follow_config(), self.follow_searchers(), self.publish_reachability());
    }

    /// Whether this instance should read now.
    fn should_read(&self) -> bool {
        let now_us = clock::now_us();
        let ages = self.view.ages();
        let age_us = ages.searchers_us.unwrap_or(u64::MAX).max(ages.config_us.unwrap_or(u64::MAX));
        if age_us == u64::MAX && (self.is_seed || now_us - self.started_us > self.source_wait_us) {
            return true;
        }
        if now_us - self.started_us < START_SOURCE_WAIT_US {
            return false;
        }
        if self.view.with_members(|members| members.is_reader()) {
            return true;
        }
        if age_us < self.stale_after_us {
            return false;
        }
        // In an outage of the store all views grow old; the readers go on trying, and each other instance
        // tries now and then, so that the calls do not grow with the instances.
        let (count, has_sources) = self.view.with_members(|members| {
            let live = members.live();
            (live.len() as u64, live.len() > 1)
        });
        if !has_sources {
            return true;
        }
        let slot_us = 500_000;
        let own_slot = xxh3::xxh3_64(self.own_name().as_bytes()) % count;
        (now_us / slot_us) % count == own_slot
    }

    fn own_name(&self) -> compact_str::CompactString {
        self.view.with_members(|members| members.me().name.as_str().into())
    }

    async fn wait_until_should_read(&self) {
        while !self.should_read() {
            tokio::time::sleep(ROLE_CHECK_PERIOD).await;
        }
    }

    async fn follow_config(&self) {
        let mut after: Option<registry::StoreRevision> = None;
        let mut backoff = BACKOFF_MIN;
        loop {
            if !self.should_read() {
                after = None;
                self.wait_until_should_read().await;
            }
            let started_us = clock::now_us();
            let result = match after {
                Some(after) => self.store.watch_config(after, self.config_wait).await,
                None => self.store.read_config().await,
            };
            match result {
                Ok(read) => {
                    backoff = BACKOFF_MIN;
                    self.record_answer(Call::Config);
                    let age_us = clock::now_us() - started_us;
                    let is_first = after.is_none();
                    after = Some(read.as_of);
                    if let Some(config) = read.config {
                        self.view.offer_config(config, age_us);
                    }
                    // A watch that returns without news proves the state at its end.
                    self.view.mark_config_verified(if is_first { age_us } else { 0 });
                }
                Err(store_client::StoreError::HistoryLost) => after = None,
                Err(error) => {
                    self.record_failure(&error, Call::Config);
                    backoff = self.back_off(backoff).await;
                }
            }
        }
    }

    async fn follow_searchers(&self) {
        let mut after: Option<registry::StoreRevision> = None;
        let mut backoff = BACKOFF_MIN;
        loop {
            if !self.should_read() {
                after = None;
                self.wait_until_should_read().await;
            }
            let started_us = clock::now_us();
            let result = match after {
                Some(after) => self.store.watch_searchers(after, SEARCHERS_WAIT).await,
                None => self.read_all().await,
            };
            match result {
                Ok(read) => {
                    backoff = BACKOFF_MIN;
                    let view_age_us = self.view.ages().searchers_us;
                    let failing_us = self.record_answer(Call::Searchers);
                    after = Some(read.as_of);
                    let now_us = clock::now_us();
                    let changes = {
                        let mut hold = locks::lock(&self.removal_hold);
                        hold.record_answer(now_us, view_age_us, failing_us);
                        hold.filter(now_us, read.changes)
                    };
                    self.view.apply_searchers(changes, now_us - started_us);
                    self.view.mark_searchers_verified(now_us - started_us);
                    tokio::time::sleep(self.searchers_period).await;
                }
                Err(store_client::StoreError::HistoryLost) => after = None,
                Err(error) => {
                    self.record_failure(&error, Call::Searchers);
                    backoff = self.back_off(backoff).await;
                }
            }
        }
    }

    /// Reads all searchers; those known that are missing are reported as gone.
    async fn read_all(&self) -> Result<store_client::SearchersRead, store_client::StoreError> {
        let mut read = self.store.read_searchers().await?;
        read.changes.sort_by(|a, b| a.id.cmp(&b.id));
        let known = self.view.with_registry(|registry| registry.records().to_vec());
        for record in known {
            let is_present =
                read.changes.binary_search_by(|change| change.id.cmp(&record.id)).is_ok();
            if is_present || record.searcher.is_none() || record.revision >= read.as_of {
                continue;
            }
            read.changes.push(registry::SearcherChange {
                id: record.id,
                revision: read.as_of,
                searcher: None,
            });
        }
        Ok(read)
    }

    /// Waits after a failed call. Returns the next backoff.
    async fn back_off(&self, backoff: time::Duration) -> time::Duration {
        let jitter = rand::random_range(0.7..1.3);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        (backoff * 2).min(BACKOFF_MAX)
    }

    /// Notes that the store has answered. Returns for how long it had failed.
    fn record_answer(&self, call: Call) -> u64 {
        self.metrics.record_store_call(call.into(), "answered");
        let since_us = locks::lock(&self.status).failing_since_us[call as usize].take();
        let Some(since_us) = since_us else {
            return 0;
        };
        let now_us = clock::now_us();
        let name: &str = call.into();
        let failing_us = now_us - since_us;
        event!(info, Event::StoreRegained, call = name, outage_ms = failing_us / 1_000);
        failing_us
    }

    fn record_failure(&self, error: &store_client::StoreError, call: Call) {
        let name: &str = call.into();
        self.metrics.record_store_call(name, "failed");
        let now_us = clock::now_us();
        let mut status = locks::lock(&self.status);
        let since_us = match status.failing_since_us[call as usize] {
            Some(since_us) => since_us,
            None => {
                event!(warn, Event::StoreLost, call = name, %error);
                now_us
            }
        };
        status.failing_since_us[call as usize] = Some(since_us);
        if now_us - since_us > UNFIT_AFTER_US {
            status.unfit_until_us = now_us + UNFIT_FOR_US;
        }
    }

    /// Tells the other instances whether this one reaches the store.
    async fn publish_reachability(&self) {
        loop {
            tokio::time::sleep(ROLE_CHECK_PERIOD * 2).await;
            let status = *locks::lock(&self.status);
            let reaches_store = clock::now_us() >= status.unfit_until_us;
            self.view.change_members(|members| {
                let state = members.me().state;
                members.set_me(state, reaches_store)
            });
        }
    }
}
