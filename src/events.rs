//! The numbered log events. `docs/EVENTS.md` documents them; a test checks that both list the same events.

/// A numbered log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Event {
    /// The instance started.
    InstanceStarted = 100,
    /// The instance began to stop.
    InstanceStopping = 101,
    /// The instance stopped.
    InstanceStopped = 102,
    /// The gossip thread started.
    GossipStarted = 200,
    /// A member was added or its state changed.
    MemberChanged = 201,
    /// A member was removed from the member list.
    MemberForgotten = 202,
    /// A newer process uses this instance's name.
    InstanceSuperseded = 203,
    /// The process did not run for a while.
    ProcessPaused = 204,
    /// A datagram was dropped.
    DatagramDropped = 205,
    /// The gossip thread stopped.
    GossipStopped = 206,
    /// The instance may serve: it has the newest settings.
    Ready = 300,
    /// The instance must not serve: it may have missed a change of the settings.
    NotReady = 301,
    /// Settings took effect.
    SettingsInForce = 302,
    /// A revision was reported with a different document than the known one.
    SettingsContradiction = 303,
    /// A call to the platform failed.
    PlatformFailed = 304,
    /// The task that distributes the settings could not start.
    SpreadStopped = 305,
    /// The settings file was reloaded.
    SettingsReloaded = 306,
    /// The settings file can't be read or is not valid.
    SettingsUnusable = 307,
    /// A configuration took effect.
    ConfigInForce = 400,
    /// A searcher was added, changed its state or was removed.
    SearcherChanged = 401,
    /// The platform's store does not answer.
    StoreLost = 402,
    /// The platform's store answers again.
    StoreRegained = 403,
    /// A connection to a source (an instance that may read the store) was opened.
    SourceConnected = 404,
    /// A connection to a source was lost.
    SourceLost = 405,
    /// Another instance subscribed to this instance's updates.
    SubscriberJoined = 406,
    /// The connection of a subscribed instance was lost.
    SubscriberLost = 407,
    /// The instances that clients are sent to changed.
    ActiveChanged = 408,
    /// The instance reads the store in place of the readers, whose state became old.
    StandIn = 409,
    /// The store was restored from an older copy, and some of its entries are older than what is known.
    StoreRestored = 410,
    /// Parts of a configuration that came into force can't be used.
    PartsUnusable = 411,
    /// A configuration in the store can't be read at all.
    ConfigUnreadable = 412,
    /// A configuration that needs no keys replaced one that needs them.
    KeysNoLongerRequired = 413,
    /// A connection from an instance was closed because its frames can't be read.
    SubscriberRejected = 414,
    /// A connection could not be accepted.
    AcceptFailed = 500,
    /// A request was answered completely and in time.
    RequestServed = 501,
    /// A request was refused, failed, was answered late or without some of its parts.
    RequestTroubled = 502,
    /// No route matches a request.
    NoRoute = 503,
    /// A send to a searcher failed or was rejected.
    SendFailed = 504,
    /// A searcher said in an answer that it is about to stop.
    SearcherLeaving = 505,
    /// A searcher began or ceased to name a limit of requests per second.
    SearcherLimit = 506,
    /// A request was refused because the instance stops before it would be answered.
    RefusedByShutdown = 507,
    /// A request has no key that a tenant holds.
    UnknownKey = 508,
    /// A request belongs to a part of the configuration that can't be used.
    UnusablePart = 509,
    /// A request was over its tenant's quota.
    OverQuota = 520,
    /// The instance decides on quotas without levels from a hub.
    QuotaLevelsLost = 521,
    /// A hub tells the levels again.
    QuotaLevelsRegained = 522,
    /// The number of instances whose reports of usage are missing changed.
    QuotaInstancesLost = 523,
    /// The zones whose searchers get no requests changed.
    EvacuationChanged = 530,
    /// A searcher of a service that limits cold searchers became cold, or ceased to be.
    SearcherCold = 531,
    /// The body of a client's request was not read.
    BodyRefused = 550,
    /// A connection of a client was closed at the limit.
    ConnectionLimit = 551,
    /// A client's request was refused because its sends have no room.
    SendRefused = 552,
    /// Waiting requests are put in fair order from now on, or no longer.
    FairOrderChanged = 560,
    /// All searchers of a service were full; what this instance sends to them is limited for a while.
    ServiceFull = 561,
}

impl Event {
    /// The event's number.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// The event's name.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// Logs an [`Event`] at the given level with fields: `event!(info, Event::InstanceStarted, instance = %name)`.
#[macro_export]
macro_rules! event {
    ($level:ident, $event:expr $(, $($field:tt)+)?) => {
        tracing::$level!(event = $event.number(), name = $event.name() $(, $($field)+)?)
    };
}
