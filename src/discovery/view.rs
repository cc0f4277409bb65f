//! The state shared by an instance's tasks: configuration, searchers and members, and how old each is.

use crate::clock;
use crate::discovery::client_wait;
use crate::discovery::config;
use crate::discovery::feed;
use crate::discovery::members;
use crate::discovery::registry;
use crate::discovery::table;
use crate::event;
use crate::events::Event;
use crate::locks;
use crate::placement::evacuation;
use crate::tenants::enforcement;
use std::fmt;
use std::net;
use std::sync;
use std::time;
use tokio::sync::broadcast;
use tokio::sync::watch;

/// How many updates a slow subscriber may lag behind before it is sent the complete searchers and members.
const BACKLOG_MAX: usize = 256;

/// The configuration, searchers and members known to an instance.
pub struct View {
    table: arc_swap::ArcSwapOption<table::RouteTable>,
    inner: sync::Mutex<Inner>,
    client_wait: sync::Mutex<client_wait::Estimator>,
    /// Set once at the start if quotas are enforced.
    quotas: sync::OnceLock<sync::Arc<enforcement::Enforcement>>,
    updates: broadcast::Sender<sync::Arc<feed::Update>>,
    searchers_epoch: watch::Sender<u64>,
    members_epoch: watch::Sender<u64>,
}

struct Inner {
    registry: registry::Registry,
    digest: registry::Digest,
    members: members::Members,
    /// The member list last published to subscribers.
    published_members: sync::Arc<[members::Member]>,
    previous_config: Option<sync::Arc<config::Config>>,
    searchers_verified_us: Option<u64>,
    /// The store revision up to which all searchers are known.
    searchers_as_of: registry::StoreRevision,
    /// When that was the store's revision; `None` if that is not known.
    searchers_as_of_us: Option<u64>,
    config_verified_us: Option<u64>,
    /// When the store last said which configuration it has, also if it can't be read.
    config_asked_us: Option<u64>,
    /// When a source last knew both the configuration and the searchers, whether or not it has sent them yet.
    read_by_source_us: Option<u64>,
    /// The newest version that another instance has, as far as it is known.
    newest_config: config::ConfigVersion,
    /// Whether zones can be evacuated.
    uses_evacuations: bool,
    /// The evacuated zones; `None` if they are not known.
    evacuations: Option<evacuation::Zones>,
}

impl Inner {
    /// When both the searchers and the configuration were last known from the store.
    fn own_read_us(&self) -> Option<u64> {
        self.searchers_verified_us.min(self.config_asked_us)
    }
}

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The platform's store.
    Store,
    /// The instance with this control address.
    Instance(net::SocketAddr),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Instance(address) => address.fmt(f),
        }
    }
}

/// The time since each part of the state was last known to be current, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ages {
    /// The age of the searchers; `None` if they were never known completely.
    pub searchers_us: Option<u64>,
    /// The age of the configuration; `None` if it was never known to be the newest.
    pub config_us: Option<u64>,
}

impl View {
    /// Creates a view that contains only this instance.
    pub fn new(me: members::Member) -> Self {
        let members = members::Members::new(me);
        let published_members = members.connected_members().into();
        Self {
            table: arc_swap::ArcSwapOption::empty(),
            inner: sync::Mutex::new(Inner {
                registry: registry::Registry::default(),
                digest: registry::Registry::default().digest(),
                members,
                published_members,
                previous_config: None,
                searchers_verified_us: None,
                searchers_as_of: registry::StoreRevision::default(),
                searchers_as_of_us: None,
                config_verified_us: None,
                config_asked_us: None,
                read_by_source_us: None,
                newest_config: config::ConfigVersion::default(),
                uses_evacuations: false,
                evacuations: None,
            }),
            client_wait: sync::Mutex::default(),
            quotas: sync::OnceLock::new(),
            updates: broadcast::Sender::new(BACKLOG_MAX),
            searchers_epoch: watch::Sender::new(0),
            members_epoch: watch::Sender::new(0),
        }
    }

    /// Enforces quotas from now on; ignored if they are enforced already.
    pub fn set_quotas(&self, quotas: sync::Arc<enforcement::Enforcement>) {
        self.quotas.get_or_init(|| quotas);
    }

    /// The tenants' quotas; `None` if they are not enforced.
    pub fn quotas(&self) -> Option<&sync::Arc<enforcement::Enforcement>> {
        self.quotas.get()
    }

    /// The configuration in force with its route index; `None` before the first configuration.
    pub fn table(&self) -> Option<sync::Arc<table::RouteTable>> {
        self.table.load_full()
    }

    /// The version of the configuration in force, 0 if there is none.
    pub fn config_version(&self) -> config::ConfigVersion {
        self.table.load().as_ref().map_or_else(Default::default, |table| table.config.version)
    }

    /// The configuration that preceded the one in force; most subscribers hold it.
    pub fn previous_config(&self) -> Option<sync::Arc<config::Config>> {
        locks::lock(&self.inner).previous_config.clone()
    }

    /// Returns a receiver of the updates published from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<sync::Arc<feed::Update>> {
        self.updates.subscribe()
    }

    /// A counter that increases whenever the searchers change.
    pub fn searchers_epoch(&self) -> watch::Receiver<u64> {
        self.searchers_epoch.subscribe()
    }

    /// A counter that increases whenever the members change.
    pub fn members_epoch(&self) -> watch::Receiver<u64> {
        self.members_epoch.subscribe()
    }

    /// Puts `config` in force if its version is newer than the current one. `age_us` is how long ago it was
    /// known to be the newest. Returns whether it was put in force.
    pub fn offer_config(&self, config: config::Config, origin: Origin, age_us: u64) -> bool {
        let version = config.version;
        if version <= self.config_version() {
            return false;
        }
        let keys_required = config.tenants.require_keys();
        let table = sync::Arc::new(table::RouteTable::new(sync::Arc::new(config)));
        let previous = self.table.swap(Some(table.clone()));
        event!(
            info,
            Event::ConfigInForce,
            version = version.0,
            previous = previous.as_ref().map_or(0, |table| table.config.version.0),
            routes = table.config.routes.len(),
            unusable_parts = table.config.unusable_count,
            keys_required,
            tenants = table.config.tenants.as_slice().len(),
            keys = table.config.tenants.key_count(),
            origin = %origin,
            age_ms = age_us / 1_000
        );
        if !keys_required
            && previous.as_ref().is_some_and(|table| table.config.tenants.require_keys())
        {
            event!(warn, Event::KeysNoLongerRequired, version = version.0, origin = %origin);
        }
        let previous = previous.map(|table| table.config.clone());
        let update = match &previous {
            Some(old) => feed::Update::ConfigDelta(Box::new(config::ConfigDelta::between(
                old,
                &table.config,
            ))),
            None => feed::Update::Config(Box::new(config::Config::clone(&table.config))),
        };
        locks::lock(&self.inner).previous_config = previous;
        self.publish(update);
        true
    }

    /// Records that the configuration in force was the newest one `age_us` ago.
    pub fn mark_config_verified(&self, age_us: u64) {
        let at_us = clock::now_us().saturating_sub(age_us);
        let mut inner = locks::lock(&self.inner);
        inner.config_verified_us = inner.config_verified_us.max(Some(at_us));
        inner.config_asked_us = inner.config_asked_us.max(Some(at_us));
    }

    /// Records that the newest configuration could not be read `age_us` ago: the store can be reached, but the one in force
    /// is not known to be the newest.
    pub fn mark_config_unreadable(&self, age_us: u64) {
        let at_us = clock::now_us().saturating_sub(age_us);
        let mut inner = locks::lock(&self.inner);
        inner.config_asked_us = inner.config_asked_us.max(Some(at_us));
    }

    /// Records that another instance has this version of the configuration.
    pub fn mark_config_exists(&self, version: config::ConfigVersion) {
        let mut inner = locks::lock(&self.inner);
        inner.newest_config = inner.newest_config.max(version);
    }

    /// Whether a newer configuration than the one in force may have been due for `bound`: another instance has it, or
    /// the one in force was not known to be the newest for so long.
    pub fn is_config_overdue(&self, bound: time::Duration) -> bool {
        let version = self.config_version();
        let age_us = self.ages().config_us;
        let is_old = age_us.is_none_or(|age_us| age_us > bound.as_micros() as u64);
        is_old || locks::lock(&self.inner).newest_config > version
    }

    /// Records that all searchers are known up to this store revision, which was the store's `age_us` ago.
    pub fn set_searchers_as_of(&self, as_of: registry::StoreRevision, age_us: u64) {
        let at_us = clock::now_us().saturating_sub(age_us);
        let mut inner = locks::lock(&self.inner);
        if as_of < inner.searchers_as_of {
            return;
        }
        inner.searchers_as_of = as_of;
        inner.searchers_as_of_us = inner.searchers_as_of_us.max(Some(at_us));
    }

    /// The store revision up to which all searchers are known, and how long ago it was the store's; `None` if that is
    /// not known.
    pub fn searchers_as_of(&self) -> Option<(registry::StoreRevision, u64)> {
        let inner = locks::lock(&self.inner);
        let at_us = inner.searchers_as_of_us?;
        Some((inner.searchers_as_of, clock::now_us().saturating_sub(at_us)))
    }

    /// The store revision up to which all searchers are known, their digest, and all records of them.
    pub fn all_searchers(
        &self,
    ) -> (registry::StoreRevision, registry::Digest, Vec<registry::SearcherChange>) {
        let inner = locks::lock(&self.inner);
        (inner.searchers_as_of, inner.digest, inner.registry.records().to_vec())
    }

    /// Applies all records of another instance, sorted by id, which are complete as of a store revision: searchers that
    /// it does not know have been removed, even if no record of the removal is left.
    pub fn apply_all_searchers(
        &self,
        as_of: registry::StoreRevision,
        mut all: Vec<registry::SearcherChange>,
    ) {
        let removals = self.with_registry(|registry| registry.removals_missing_in(&all, as_of));
        all.extend(removals);
        self.apply_searchers(all, 0);
        let mut inner = locks::lock(&self.inner);
        inner.searchers_as_of = inner.searchers_as_of.max(as_of);
    }

    /// Applies reports on searchers and publishes those that changed the registry. `age_us` is logged only.
    pub fn apply_searchers(&self, changes: Vec<registry::SearcherChange>, age_us: u64) {
        let mut applied = Vec::new();
        {
            let mut inner = locks::lock(&self.inner);
            for change in changes {
                if inner.registry.apply(&change) {
                    applied.push(change);
                }
            }
            if !applied.is_empty() {
                inner.digest = inner.registry.digest();
            }
        }
        if applied.is_empty() {
            return;
        }
        for change in &applied {
            let state = change.searcher.as_ref().map(|searcher| searcher.state);
            event!(
                info,
                Event::SearcherChanged,
                searcher = %change.id,
                state = state.map_or_else(|| "gone".to_owned(), |state| state.to_string()),
                era = change.revision.era.0,
                revision = change.revision.number,
                age_ms = age_us / 1_000
            );
        }
        self.publish(feed::Update::Searchers(applied));
        self.searchers_epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Records that all searchers were known `age_us` ago.
    pub fn mark_searchers_verified(&self, age_us: u64) {
        let at_us = clock::now_us().saturating_sub(age_us);
        let mut inner = locks::lock(&self.inner);
        inner.searchers_verified_us = inner.searchers_verified_us.max(Some(at_us));
    }

    /// Records that a source knew the configuration and the searchers as of `age_us` ago.
    pub fn mark_read_by_source(&self, age_us: u64) {
        let at_us = clock::now_us().saturating_sub(age_us);
        let mut inner = locks::lock(&self.inner);
        inner.read_by_source_us = inner.read_by_source_us.max(Some(at_us));
    }

    /// How long ago this instance or one of its sources last knew the configuration and the searchers from the store; `None`
    /// if none ever did. An old age means that the readers can't reach the store, not that updates are slow.
    pub fn read_age_us(&self) -> Option<u64> {
        let inner = locks::lock(&self.inner);
        let at_us = inner.own_read_us().max(inner.read_by_source_us)?;
        Some(clock::now_us().saturating_sub(at_us))
    }

    /// How long ago this instance last knew both, from the store or its sources; `None` if it never did.
    pub fn own_read_age_us(&self) -> Option<u64> {
        let at_us = locks::lock(&self.inner).own_read_us()?;
        Some(clock::now_us().saturating_sub(at_us))
    }

    /// The ages of the searchers and of the configuration.
    pub fn ages(&self) -> Ages {
        let now_us = clock::now_us();
        let inner = locks::lock(&self.inner);
        let age = |at_us: Option<u64>| at_us.map(|at_us| now_us.saturating_sub(at_us));
        Ages {
            searchers_us: age(inner.searchers_verified_us),
            config_us: age(inner.config_verified_us),
        }
    }

    /// The digest of the searchers.
    pub fn digest(&self) -> registry::Digest {
        locks::lock(&self.inner).digest
    }

    /// Calls `read` on the searchers while holding the lock.
    pub fn with_registry<T>(&self, read: impl FnOnce(&registry::Registry) -> T) -> T {
        read(&locks::lock(&self.inner).registry)
    }

    /// Calls `use_it` on the estimator of clients' waiting times while holding the lock.
    pub fn with_client_wait<T>(&self, use_it: impl FnOnce(&mut client_wait::Estimator) -> T) -> T {
        use_it(&mut locks::lock(&self.client_wait))
    }

    /// Records what another instance tells of clients' timeouts.
    pub fn tell_client_timeouts(&self, timeouts: &[client_wait::LongestTimeout]) {
        let now_us = clock::now_us();
        self.with_client_wait(|client_wait| {
            for told in timeouts {
                client_wait.tell(now_us, told);
            }
        });
    }

    /// Returns the clients' timeouts to tell another instance, selected by `select`, if any have changed or were told
    /// long ago. `told` is what this returned besides them the last time: the number of changes and the time.
    pub fn client_timeouts_due(
        &self,
        told: Option<(u64, u64)>,
        select: impl FnOnce(&client_wait::Estimator, u64) -> Vec<client_wait::LongestTimeout>,
    ) -> Option<(Vec<client_wait::LongestTimeout>, (u64, u64))> {
        let now_us = clock::now_us();
        self.with_client_wait(|client_wait| {
            let raised_count = client_wait.raised_count();
            let is_due = told.is_none_or(|(told_count, told_us)| {
                told_count != raised_count || now_us - told_us >= client_wait::TELL_PERIOD_US
            });
            let timeouts = if is_due { select(client_wait, now_us) } else { Vec::new() };
            (!timeouts.is_empty()).then_some((timeouts, (raised_count, now_us)))
        })
    }

    /// Calls `read` on the members while holding the lock.
    pub fn with_members<T>(&self, read: impl FnOnce(&members::Members) -> T) -> T {
        read(&locks::lock(&self.inner).members)
    }

    /// This instance and those connected to it, sorted by name.
    pub fn published_members(&self) -> sync::Arc<[members::Member]> {
        locks::lock(&self.inner).published_members.clone()
    }

    /// Changes the members. If `change` returns true, [`View::members_epoch`] increases.
    pub fn change_members(&self, change: impl FnOnce(&mut members::Members) -> bool) {
        {
            let mut inner = locks::lock(&self.inner);
            if !change(&mut inner.members) {
                return;
            }
            // Member lists received from sources are not published: each instance connects to the hubs itself.
            let connected = inner.members.connected_members();
            if *connected != *inner.published_members {
                inner.published_members = connected.into();
            }
        }
        self.members_epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Makes evacuated zones a part of the state; without this they are ignored.
    pub fn use_evacuations(&self) {
        locks::lock(&self.inner).uses_evacuations = true;
    }

    /// Applies what the store returned about the evacuated zones as of a revision.
    pub fn offer_evacuations(&self, as_of: registry::StoreRevision, read: &evacuation::Read) {
        if *read == evacuation::Read::Unwatched {
            return;
        }
        self.change_evacuations(as_of, |zones, now_us, is_restored| {
            zones.apply(now_us, as_of, read, is_restored)
        });
    }

    /// Applies the evacuated zones of another instance.
    pub fn receive_evacuations(&self, snapshot: &evacuation::Snapshot) {
        self.change_evacuations(snapshot.as_of, |zones, now_us, is_restored| {
            zones.receive(now_us, snapshot, is_restored)
        });
    }

    fn change_evacuations(
        &self,
        as_of: registry::StoreRevision,
        change: impl FnOnce(&evacuation::Zones, u64, bool) -> evacuation::Zones,
    ) {
        let now_us = clock::now_us();
        let snapshot = {
            let mut inner = locks::lock(&self.inner);
            if !inner.uses_evacuations {
                return;
            }
            let is_first = inner.evacuations.is_none();
            let old = inner.evacuations.take().unwrap_or_default();
            let is_restored = !is_first && as_of.era > old.as_of().era;
            let new = change(&old, now_us, is_restored);
            let is_same = new.effective(now_us) == old.effective(now_us)
                && new.summary().1 == old.summary().1;
            let snapshot = new.snapshot(now_us);
            inner.evacuations = Some(new);
            if is_same {
                return;
            }
            snapshot
        };
        event!(
            info,
            Event::EvacuationChanged,
            zones = snapshot.zones.join(" "),
            held = snapshot.held.len(),
            revision = %snapshot.as_of
        );
        self.publish(feed::Update::Evacuations(snapshot));
        self.searchers_epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Whether another instance has newer evacuated zones that differ from the known ones.
    pub fn lacks_evacuations(&self, theirs: evacuation::Summary) -> bool {
        let mut inner = locks::lock(&self.inner);
        let uses = inner.uses_evacuations;
        uses && inner.evacuations.as_mut().is_none_or(|zones| zones.compare(theirs))
    }

    /// The evacuated zones, for other instances; `None` if they are not known.
    pub fn evacuations(&self) -> Option<evacuation::Snapshot> {
        let now_us = clock::now_us();
        locks::lock(&self.inner).evacuations.as_ref().map(|zones| zones.snapshot(now_us))
    }

    /// What heartbeats state about the evacuated zones; `None` if they are not known.
    pub fn evacuations_summary(&self) -> Option<evacuation::Summary> {
        locks::lock(&self.inner).evacuations.as_ref().map(evacuation::Zones::summary)
    }

    /// The failure domains whose searchers get no requests, sorted.
    pub fn evacuated_zones(&self) -> Vec<compact_str::CompactString> {
        let now_us = clock::now_us();
        let inner = locks::lock(&self.inner);
        inner.evacuations.as_ref().map_or_else(Vec::new, |zones| zones.effective(now_us))
    }

    /// Whether the searchers, a configuration and, where they are used, the evacuated zones are known, so that the
    /// instance can serve.
    pub fn is_complete(&self) -> bool {
        let ages = self.ages();
        let inner = locks::lock(&self.inner);
        let lacks_evacuations = inner.uses_evacuations && inner.evacuations.is_none();
        ages.searchers_us.is_some() && self.table.load().is_some() && !lacks_evacuations
    }

    fn publish(&self, update: feed::Update) {
        // Sending fails only when there is no subscriber; a new one is sent the complete state.
        let _ = self.updates.send(sync::Arc::new(update));
    }
}
