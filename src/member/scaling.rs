//! Measures what membership costs a node by cluster size: all state machines in one thread, without sockets.
//!
//! Each message is encoded, sealed, opened and decoded as on a real node. The CPU time includes the simulated
//! network queue between the nodes, but not the system calls for datagrams.

mod fleet;

use crate::member;
use std::fs;
use std::hint;
use strum::IntoEnumIterator as _;

/// The warm-up before the measurement, in virtual seconds.
const SETTLE_S: u64 = 60;
/// The duration of the measurement, in virtual seconds.
const MEASURE_S: u64 = 300;
/// The fraction of datagrams lost under [`Load::Loss`].
const LOSS: f64 = 0.02;
/// The length of the IPv4 and UDP headers of a datagram, in bytes.
pub const IP_UDP_BYTES: u64 = 28;

/// The conditions under which a fleet is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Load {
    /// No faults.
    Steady,
    /// Two percent of the datagrams are lost.
    Loss,
    /// 850 graceful restarts and 15 kills a day, regardless of the number of members.
    Churn,
}

/// The cost of membership for one node: an average over the fleet, except where noted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCost {
    /// The number of members.
    pub members: usize,
    /// The conditions of the measurement.
    pub load: Load,
    /// CPU time, in percent of one core.
    pub cpu_percent: f64,
    /// Messages sent per second. About as many are received.
    pub sent_per_s: f64,
    /// Bytes sent per second, including IP and UDP headers. About as many are received.
    pub sent_bytes_per_s: f64,
    /// The most that any node sent in one second, in bytes.
    pub sent_bytes_peak: u64,
    /// Memory of the first node's state machine, view and replay windows, in bytes.
    pub memory_bytes: usize,
    /// The live entries in the tables of all running nodes at the end, in percent of the expected number.
    pub agreement_percent: f64,
}

/// Measures fleets of the given sizes under each load.
pub fn run(sizes: &[usize], seed: u64) -> Vec<NodeCost> {
    let mut rows = Vec::new();
    for members in sizes {
        for load in Load::iter() {
            rows.push(measure(*members, load, seed));
        }
    }
    rows
}

fn measure(members: usize, load: Load, seed: u64) -> NodeCost {
    let mut fleet = fleet::Fleet::new(members, seed);
    fleet.run(SETTLE_S, Load::Steady);
    fleet.reset_counters();
    fleet.set_loss(if load == Load::Loss { LOSS } else { 0.0 });
    let start_ns = cpu_ns();
    fleet.run(MEASURE_S, load);
    let spent_ns = cpu_ns().saturating_sub(start_ns);
    let node_seconds = (members as u64 * MEASURE_S) as f64;
    let counters = hint::black_box(fleet.counters());
    NodeCost {
        members,
        load,
        cpu_percent: spent_ns as f64 / 1e9 / node_seconds * 100.0,
        sent_per_s: counters.sent as f64 / node_seconds,
        sent_bytes_per_s: counters.sent_bytes as f64 / node_seconds,
        sent_bytes_peak: counters.sent_bytes_peak,
        memory_bytes: fleet.memory_bytes(),
        agreement_percent: fleet.agreement_percent(),
    }
}

/// The CPU time of this thread, in nanoseconds; 0 if the system does not provide it.
fn cpu_ns() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split_whitespace().next().and_then(|field| field.parse().ok()).unwrap_or(0)
}

/// The memory of a view with `members` records, in bytes.
fn view_bytes(members: usize) -> usize {
    size_of::<member::View>() + members * size_of::<member::Record>()
}
