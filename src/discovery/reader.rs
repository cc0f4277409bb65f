//! Reads the platform's store while this instance has the reader role or its view is stale.

use crate::clock;
use crate::discovery::builder;
use crate::discovery::publisher;
use crate::discovery::registry;
use crate::discovery::stand_in;
use crate::discovery::store_client;
use crate::discovery::view;
use crate::event;
use crate::events::Event;
use crate::forward::metrics;
use crate::locks;
use crate::placement::cold;
use std::net;
use std::sync;
use std::time;
use xxhash_rust::xxh3;

/// How many unusable parts of a configuration are named in the log.
const UNUSABLE_NAMED_MAX: usize = 10;
/// How long a watch of the configuration waits at the store, as a share of [`Bounds::config_apply`], or of
/// [`Bounds::evacuate`] if that is shorter: the same watch reports evacuated zones. A second
/// watch still fits into the bound if the first one's connection does not respond.
const CONFIG_WAIT_SHARE: f64 = 0.4;
/// The pause between two reads of the searchers, as a share of [`Bounds::drain`]. Each searcher renews
/// its entry about once a second, so watches without a pause would return immediately every time.
const SEARCHERS_PERIOD_SHARE: f64 = 0.3;
/// How long a watch of the searchers waits at the store.
const SEARCHERS_WAIT: time::Duration = time::Duration::from_millis(500);
/// The first backoff after a failed call; it doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: time::Duration = time::Duration::from_millis(150);
/// The longest backoff after failed calls.
const BACKOFF_MAX: time::Duration = time::Duration::from_millis(800);
/// How much older than the readers keep it a view becomes before other instances stand in for them.
const STAND_IN_SLACK: time::Duration = time::Duration::from_millis(150);
/// How much older than the read period a view becomes before any instance that is not a reader reads the store.
const STALE_SLACK_US: u64 = 1_000_000;
/// A view that is older than the read period by this much indicates an outage of the store.
const OUTAGE_SLACK_US: u64 = 1_700_000;
/// The range of the offset that each instance adds to the staleness limit and to the wait for a source, so
/// that instances do not all read at once. It is derived from the instance's name.
const STALE_JITTER_US: u64 = 600_000;
/// How long an instance waits for a source when the whole deployment starts, unless it is a seed itself. After any
/// start, an instance that already knows the configuration and the searchers does not read the store before this
/// time is over.
const START_SOURCE_WAIT_US: u64 = 1_200_000;
/// How long a restarted instance waits for a source; shorter because clients are already waiting.
const RESTART_SOURCE_WAIT_US: u64 = 250_000;
/// How long calls to the store may fail before the instance gives up the reader role.
const UNFIT_AFTER_US: u64 = 900_000;
/// How long an instance whose calls to the store failed ranks last as a reader.
const UNFIT_FOR_US: u64 = 6_000_000;
/// How often an instance checks whether it should read the store.
const ROLE_CHECK_PERIOD: time::Duration = time::Duration::from_millis(100);

/// The maximum times for changes to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// From a configuration's acknowledgement until it is in force.
    pub config_apply: time::Duration,
    /// From a searcher's report that it is draining until it receives no new requests.
    pub drain: time::Duration,
    /// From the request to evacuate a zone until its searchers receive no new requests; `None` if zones are not
    /// evacuated.
    pub evacuate: Option<time::Duration>,
}

impl Bounds {
    fn searchers_period(&self) -> time::Duration {
        self.drain.mul_f64(SEARCHERS_PERIOD_SHARE)
    }

    fn config_wait(&self) -> time::Duration {
        let bound =
            self.evacuate.map_or(self.config_apply, |evacuate| evacuate.min(self.config_apply));
        bound.mul_f64(CONFIG_WAIT_SHARE)
    }

    /// The age from which on a view is stale: readers that reach the store keep it younger.
    pub fn stale_after_us(&self) -> u64 {
        let read_period = self.config_wait().max(self.searchers_period() + SEARCHERS_WAIT);
        (read_period + publisher::HEARTBEAT_PERIOD + STAND_IN_SLACK).as_micros() as u64
    }
}

/// Reads the store while this instance is one of the readers or its view is stale.
pub struct Reader<S> {
    view: sync::Arc<view::View>,
    store: S,
    metrics: sync::Arc<metrics::Metrics>,
    is_seed: bool,
    config_wait: time::Duration,
    searchers_period: time::Duration,
    started_us: u64,
    turns_after_us: u64,
    /// How often searchers renew their entries; `None` if it is not known.
    renewal_period: Option<time::Duration>,
    /// How long to wait for a source at the start before reading the store.
    source_wait_us: u64,
    status: sync::Mutex<Status>,
    stand_in: sync::Mutex<stand_in::StandIn>,
    removal_hold: sync::Mutex<registry::RemovalHold>,
}

/// A kind of call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Call {
    Config,
    Searchers,
}

/// The number of call kinds.
const CALL_COUNT: usize = <Call as strum::EnumCount>::COUNT;

/// Which calls to the store fail, and whether this instance is unfit as a reader because of that.
#[derive(Clone, Copy, Debug, Default)]
struct Status {
    /// For each kind of call, since when it has failed; `None` while it is answered. The kinds are separate
    /// because a pending watch may still be answered when other calls already fail.
    failing_since_us: [Option<u64>; CALL_COUNT],
    unfit_until_us: u64,
}

impl<S: store_client::StoreClient> Reader<S> {
    /// Creates a reader. At the start, an instance that is one of `seeds` (or has none) reads the store at
    /// once; others first wait for a source, longer if `is_first_start`: the whole deployment is starting.
    pub fn new(
        view: sync::Arc<view::View>,
        store: S,
        seeds: &[net::SocketAddr],
        is_first_start: bool,
        bounds: Bounds,
        renewal_period: Option<time::Duration>,
        metrics: sync::Arc<metrics::Metrics>,
    ) -> Self {
        let me = view.with_members(|members| members.me().clone());
        let searchers_period = bounds.searchers_period();
        let period_us = searchers_period.as_micros() as u64;
        let jitter_us = xxh3::xxh3_64(me.name.as_str().as_bytes()) % STALE_JITTER_US;
        Self {
            is_seed: seeds.is_empty() || seeds.contains(&me.control),
            view,
            store,
            metrics,
            started_us: clock::now_us(),
            config_wait: bounds.config_wait(),
            searchers_period,
            renewal_period,
            turns_after_us: period_us + STALE_SLACK_US + jitter_us,
            source_wait_us: jitter_us
                + if is_first_start { START_SOURCE_WAIT_US } else { RESTART_SOURCE_WAIT_US },
            status: sync::Mutex::default(),
            stand_in: sync::Mutex::new(stand_in::StandIn::new(bounds.stale_after_us())),
            removal_hold: sync::Mutex::new(registry::RemovalHold::new(period_us + OUTAGE_SLACK_US)),
        }
    }

    /// Reads until the process ends.
    pub async fn run(self) {
        tokio::join!(self.track_config(), self.track_searchers(), self.publish_reachability());
    }

    /// Whether this instance should read the store now.
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
        let read_age_us = self.view.read_age_us().unwrap_or(u64::MAX);
        let stand_in = *locks::lock(&self.stand_in);
        // All members have to be ranked, which is much work at hundreds of instances.
        let rank = || self.view.with_members(|members| members.stand_in_rank());
        if stand_in.should_read(now_us, rank, read_age_us) {
            return true;
        }
        if age_us < self.turns_after_us {
            return false;
        }
        // All views become stale during a store outage. Readers keep retrying, and the other instances take
        // turns in time slots, so that the number of calls does not grow with the number of instances.
        let (count, has_others) = self.view.with_members(|members| {
            let live = members.live();
            (live.len() as u64, live.len() > 1)
        });
        if !has_others {
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

    /// Offers a configuration, and logs which parts of it can't be used: how many, and the first ones.
    fn offer_config(&self, built: builder::Built, age_us: u64) {
        let (version, count) = (built.config.version, built.config.unusable_count);
        if !self.view.offer_config(built.config, view::Origin::Store, age_us)
            || built.unusable.is_empty()
        {
            return;
        }
        let named = built.unusable.iter().take(UNUSABLE_NAMED_MAX);
        let parts: Vec<String> = named.map(ToString::to_string).collect();
        event!(warn, Event::PartsUnusable, version = version.0, count, parts = parts.join("; "));
    }

    async fn track_config(&self) {
        let mut after: Option<registry::StoreRevision> = None;
        let mut backoff = BACKOFF_MIN;
        // Whether the newest configuration in the store can't be read, so that the one in force is not the newest.
        let mut is_unreadable = false;
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
                    let read_age_us = self.view.read_age_us();
                    self.record_answer(Call::Config);
                    let age_us = clock::now_us() - started_us;
                    let is_first = after.is_none();
                    after = Some(read.as_of);
                    self.view.offer_evacuations(read.as_of, &read.evacuations);
                    is_unreadable = match read.config {
                        Some(_) => read.is_newest_unreadable,
                        None => is_unreadable || read.is_newest_unreadable,
                    };
                    if let Some(built) = read.config {
                        self.offer_config(built, age_us);
                    }
                    // A watch that returns without a change confirms the state at its end.
                    let verified_age_us = if is_first { age_us } else { 0 };
                    match is_unreadable {
                        true => self.view.mark_config_unreadable(verified_age_us),
                        false => self.view.mark_config_verified(verified_age_us),
                    }
                    self.stand_in_after_answer(read_age_us);
                }
                Err(store_client::StoreError::HistoryLost) if after.is_some() => after = None,
                Err(error) => {
                    self.record_failure(&error, Call::Config);
                    backoff = self.back_off(backoff).await;
                    // What is new since then grows until the answer can't be read in time; the newest state does not.
                    after = None;
                }
            }
        }
    }

    async fn track_searchers(&self) {
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
                Ok(mut read) => {
                    backoff = BACKOFF_MIN;
                    let table = self.view.table();
                    cold::strip(table.as_ref().map(|table| &*table.config), &mut read.changes);
                    let view_age_us = self.view.ages().searchers_us;
                    let read_age_us = self.view.read_age_us();
                    let failing_us = self.record_answer(Call::Searchers);
                    after = Some(read.as_of);
                    let now_us = clock::now_us();
                    let may_have_lapsed = self.may_have_lapsed(&read);
                    let changes = {
                        let is_restored = self.view.with_registry(|registry| {
                            read.changes.iter().any(|change| registry.is_removal_by_restore(change))
                        });
                        let mut hold = locks::lock(&self.removal_hold);
                        if is_restored {
                            hold.record_restore(now_us, read.as_of.era);
                        }
                        if may_have_lapsed {
                            hold.record_answer(now_us, view_age_us, failing_us);
                        }
                        hold.filter(now_us, read.changes)
                    };
                    self.view.apply_searchers(changes, now_us - started_us);
                    self.view.set_searchers_as_of(read.as_of, 0);
                    self.view.mark_searchers_verified(now_us - started_us);
                    self.stand_in_after_answer(read_age_us);
                    tokio::time::sleep(self.searchers_period).await;
                }
                Err(store_client::StoreError::HistoryLost) if after.is_some() => after = None,
                Err(error) => {
                    self.record_failure(&error, Call::Searchers);
                    backoff = self.back_off(backoff).await;
                    after = None;
                }
            }
        }
    }

    /// Reads all searchers and adds a removal for each known searcher that is missing.
    async fn read_all(&self) -> Result<store_client::SearchersRead, store_client::StoreError> {
        let mut read = self.store.read_searchers().await?;
        read.changes.sort_by(|a, b| a.id.cmp(&b.id));
        let before = read.changes.len();
        let removals = self.view.with_registry(|registry| {
            let removals = registry.removals_missing_in(&read.changes, read.as_of);
            read.changes.retain(|change| !registry.is_superseded(change));
            removals
        });
        let superseded_count = before - read.changes.len();
        if superseded_count > 0 {
            event!(info, Event::StoreRestored, era = read.as_of.era.0, ignored = superseded_count);
        }
        read.changes.extend(removals);
        Ok(read)
    }

    /// Whether removals in `read` may be those of live searchers whose entries lapsed in an outage.
    fn may_have_lapsed(&self, read: &store_client::SearchersRead) -> bool {
        let (Some(period), Some((as_of, elapsed_us))) =
            (self.renewal_period, self.view.searchers_as_of())
        else {
            return true;
        };
        if read.as_of.era != as_of.era {
            return true;
        }
        let removals = read.changes.iter().filter(|change| change.searcher.is_none());
        let progress = registry::StoreProgress {
            elapsed_us,
            revision_count: read.as_of.number.saturating_sub(as_of.number),
            removal_count: removals.count(),
            searcher_count: self.view.with_registry(|registry| registry.live_count()),
            renewal_period_us: period.as_micros() as u64,
        };
        let rules_out = progress.rules_out_lapses();
        tracing::debug!(?progress, rules_out, "the store's progress since the last read");
        !rules_out
    }

    /// Stands in for the readers if what they knew was stale before the answer, as of this age.
    fn stand_in_after_answer(&self, read_age_us: Option<u64>) {
        let Some(read_age_us) = read_age_us else {
            return;
        };
        if self.view.with_members(|members| members.is_reader()) {
            return;
        }
        if locks::lock(&self.stand_in).record_answer(clock::now_us(), read_age_us) {
            event!(info, Event::StandIn, age_ms = read_age_us / 1_000);
            self.publish_store_access();
        }
    }

    /// Waits after a failed call. Returns the next backoff.
    async fn back_off(&self, backoff: time::Duration) -> time::Duration {
        let jitter = rand::random_range(0.7..1.3);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        (backoff * 2).min(BACKOFF_MAX)
    }

    /// Records an answer. Returns for how long calls of this kind had failed before, in microseconds.
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
        locks::lock(&self.stand_in).record_failure(now_us);
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

    /// Keeps what the other instances know of this one's access to the store up to date.
    async fn publish_reachability(&self) {
        loop {
            tokio::time::sleep(ROLE_CHECK_PERIOD * 2).await;
            self.publish_store_access();
        }
    }

    fn publish_store_access(&self) {
        let now_us = clock::now_us();
        let reaches_store = now_us >= locks::lock(&self.status).unfit_until_us;
        let stands_in = locks::lock(&self.stand_in).is_active(now_us);
        self.view.change_members(|members| members.set_my_store_access(reaches_store, stands_in));
    }
}
