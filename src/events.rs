//! The catalogue of numbered log events. `docs/EVENTS.md` lists them; a test keeps both alike.

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
    /// A member is new or its state changed.
    MemberChanged = 201,
    /// A member is no longer known.
    MemberForgotten = 202,
    /// A newer process has this instance's name.
    InstanceSuperseded = 203,
    /// The process was paused.
    ProcessPaused = 204,
    /// A datagram was dropped.
    DatagramDropped = 205,
    /// The gossip thread stopped.
    GossipStopped = 206,
    /// The instance may serve: it knows the newest settings.
    Ready = 300,
    /// The instance may not serve: it may have missed a change of the settings.
    NotReady = 301,
    /// Settings came into force.
    SettingsInForce = 302,
    /// Another document was named for a known revision.
    SettingsContradiction = 303,
    /// A call to the platform failed.
    PlatformFailed = 304,
    /// The duty of the settings' spread could not start.
    SpreadStopped = 305,
    /// The settings file was read again.
    SettingsReloaded = 306,
    /// The settings file was read again and can't be used.
    SettingsUnusable = 307,
    /// A configuration came into force.
    ConfigInForce = 400,
    /// A searcher is new, changed its state or is gone.
    SearcherChanged = 401,
    /// The platform's store does not answer.
    StoreLost = 402,
    /// The platform's store answers again.
    StoreRegained = 403,
    /// A connection to an instance that reads the store is open.
    SourceConnected = 404,
    /// A connection to an instance that reads the store is lost.
    SourceLost = 405,
    /// Another instance follows what this one learns.
    SubscriberJoined = 406,
    /// An instance that followed this one is gone.
    SubscriberLost = 407,
    /// A connection could not be accepted.
    AcceptFailed = 500,
    /// A request was served whole and in time.
    RequestServed = 501,
    /// A request was refused, failed, late, or answered without some of its parts.
    RequestTroubled = 502,
    /// No route fits a request.
    NoRoute = 503,
    /// A send to a searcher brought no answer.
    SendFailed = 504,
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
