//! The cost of one change of the settings, by the number of instances.

use crate::settings_simulation::{OperatorAnswer, Simulation, Traffic};
use serde::Serialize;
use tarragondoor::document;
use tarragondoor::operator_api::ConfirmReply;
use tarragondoor::plan;
use tarragondoor::settings;

/// The simulated time in which the instances start.
const START_MS: u64 = 20_000;

/// The time limit of a declaration, and of the confirmation that follows it.
const CHANGE_TIMEOUT_MS: u64 = 30_000;

/// The mean cost of a change.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ChangeCost {
    /// The number of instances.
    pub instances: usize,
    /// The time from the confirmation until the last instance has the change in force.
    pub in_force_ms: f64,
    /// The time from the confirmation to the answer "accepted".
    pub accepted_ms: f64,
    /// Datagrams sent by all instances.
    pub datagrams: f64,
    /// Their bytes.
    pub datagram_bytes: f64,
    /// Documents that instances requested from each other.
    pub fetches: f64,
    /// Bytes of the answers to these requests.
    pub fetch_bytes: f64,
    /// Calls to the platform, less those of an idle period of the same length.
    pub platform_calls: f64,
    /// The fewest datagrams that the confirming instance sends: one query to each other instance.
    pub collector_queries: usize,
}

/// Measures `changes` changes in a simulation of `instances` in 2 regions. Each changes one service
/// of `base`. `None` if a change is invalid or not accepted in time.
pub fn change_cost(
    seed: u64,
    instances: usize,
    changes: u32,
    base: &settings::Settings,
) -> Option<ChangeCost> {
    let mut simulation = Simulation::new(seed, instances, 2);
    simulation.run_for(START_MS);
    let mut current = base.clone();
    let mut sum = [0_u64; 7];
    for change in 0..u64::from(changes) + 1 {
        let index = change as usize % current.services.len();
        current.services[index].limit_max = 10 + change as u16;
        let document = document::Document::new(current.clone()).ok()?;
        let measured = measure_change(&mut simulation, change * 2, document)?;
        // The first change is left out: it transfers the whole document, later ones only a delta.
        if change == 0 {
            continue;
        }
        for (sum, value) in sum.iter_mut().zip(measured) {
            *sum += value;
        }
    }
    let mean = sum.map(|sum| sum as f64 / f64::from(changes));
    Some(ChangeCost {
        instances,
        in_force_ms: mean[0],
        accepted_ms: mean[1],
        datagrams: mean[2],
        datagram_bytes: mean[3],
        fetches: mean[4],
        fetch_bytes: mean[5],
        platform_calls: mean[6],
        collector_queries: instances - 1,
    })
}

/// Declares and confirms one change. Returns the values of [`ChangeCost`] from `in_force_ms` to
/// `platform_calls`, in the order of the fields; `None` if it is not accepted in time.
fn measure_change(
    simulation: &mut Simulation,
    operation_id: u64,
    document: document::Document,
) -> Option<[u64; 7]> {
    simulation.declare(0, operation_id, document);
    let until_ms = simulation.now_ms() + CHANGE_TIMEOUT_MS;
    simulation.run_until(until_ms, |simulation| simulation.answer(operation_id).is_some());
    let Some(OperatorAnswer::Declared(Ok(plan))) = simulation.answer(operation_id) else {
        return None;
    };
    let plan: plan::PlanId = plan.plan.parse().ok()?;
    let start_ms = simulation.now_ms();
    let before = simulation.traffic;
    simulation.confirm(0, operation_id + 1, plan, CHANGE_TIMEOUT_MS);
    let in_force_everywhere =
        |simulation: &Simulation| simulation.all_have_revision(plan.revision());
    if !simulation.run_until(start_ms + CHANGE_TIMEOUT_MS, in_force_everywhere) {
        return None;
    }
    let in_force_ms = simulation.now_ms() - start_ms;
    simulation.run_until(start_ms + CHANGE_TIMEOUT_MS, |simulation| {
        simulation.answer(operation_id + 1).is_some()
    });
    let accepted_ms = simulation.now_ms() - start_ms;
    let Some(OperatorAnswer::Confirmed(_, ConfirmReply::Accepted { .. })) =
        simulation.answer(operation_id + 1)
    else {
        return None;
    };
    let after = simulation.traffic;
    let idle = idle_calls(simulation, accepted_ms);
    Some(difference(in_force_ms, accepted_ms, before, after, idle))
}

/// Lets the simulation settle for [`CHANGE_TIMEOUT_MS`], then counts the calls to the platform in
/// `duration_ms`.
fn idle_calls(simulation: &mut Simulation, duration_ms: u64) -> u64 {
    simulation.run_for(CHANGE_TIMEOUT_MS);
    let before = simulation.traffic.platform_calls;
    simulation.run_for(duration_ms);
    simulation.traffic.platform_calls - before
}

fn difference(
    in_force_ms: u64,
    accepted_ms: u64,
    before: Traffic,
    after: Traffic,
    idle_calls: u64,
) -> [u64; 7] {
    let platform_calls = after.platform_calls - before.platform_calls;
    [
        in_force_ms,
        accepted_ms,
        after.datagrams - before.datagrams,
        after.datagram_bytes - before.datagram_bytes,
        after.fetches - before.fetches,
        after.fetch_bytes - before.fetch_bytes,
        platform_calls.saturating_sub(idle_calls),
    ]
}
