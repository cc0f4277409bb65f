//! The rule by which a searcher is selected for a send.

/// The rule by which a searcher is selected for a send.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Routing {
    /// By the expected latency: the route's median, scaled by the recent slowness of the searcher.
    #[default]
    Latency,
    /// By the expected time of completion: the work of the request, the outstanding work of the searcher and the
    /// current speed of its machine.
    ExpectedWork,
}
