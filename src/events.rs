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
