//! The policy on the owner: slots, floors, refusals and shares.

use quickcheck::quickcheck;
use std::{collections, time};
use tarragondoor::{admit, choose, ids, policy, rank, slots};

const SERVICE_US: u64 = 10_000;
const OUTCOMES: [slots::Outcome; 4] = [
    slots::Outcome::Answered,
    slots::Outcome::Contended,
    slots::Outcome::Refused,
    slots::Outcome::Failed,
];

fn limits(floors_percent: [u8; 3]) -> slots::Limits {
    slots::Limits { slots: 3, queue_max: 8, floors_percent, service_us: SERVICE_US }
}

fn request(call: u64, rank: rank::Rank, deadline_us: u64) -> slots::CallRequest {
    slots::CallRequest { call: ids::AttemptId(call), rank, deadline_us }
}

/// A reference model of the state of each call.
#[derive(Default)]
struct Model {
    waiting: collections::BTreeMap<u64, u64>,
    running: collections::BTreeSet<u64>,
    ended: usize,
}

impl Model {
    fn apply(&mut self, now_us: u64, actions: slots::Actions) -> bool {
        for call in actions.start {
            let Some(deadline_us) = self.waiting.remove(&call.0) else {
                return false;
            };
            if deadline_us <= now_us || !self.running.insert(call.0) {
                return false;
            }
        }
        for refused in actions.refuse {
            if self.waiting.remove(&refused.call.0).is_none() {
                return false;
            }
            self.ended += 1;
        }
        true
    }
}

/// Applies a sequence of inputs to slots. Returns whether the number of used slots, the results and
/// the deadlines match the model at each step.
fn run_inputs(policy: policy::Policy, inputs: Vec<(u8, u8)>) -> bool {
    let mut tested = slots::Slots::new(policy, limits([20, 20, 10]));
    let mut model = Model::default();
    let mut now_us = 0;
    let mut offered = 0;
    for (kind, detail) in inputs {
        now_us += u64::from(detail) * 100;
        let selected = u64::from(detail) % (offered as u64 + 1);
        match kind % 6 {
            0..=2 => {
                let deadline_us = now_us + u64::from(kind) * 500;
                let rank = rank::Rank::ALL[usize::from(detail) % 3];
                let call = offered as u64;
                offered += 1;
                match tested.offer(now_us, request(call, rank, deadline_us)) {
                    slots::OfferResult::Start if deadline_us > now_us => {
                        model.running.insert(call);
                    }
                    slots::OfferResult::Queued => {
                        model.waiting.insert(call, deadline_us);
                    }
                    slots::OfferResult::Refused(_) => model.ended += 1,
                    _ => return false,
                }
            }
            3 => {
                let Some(call) = model.running.pop_first() else {
                    continue;
                };
                model.ended += 1;
                let outcome = OUTCOMES[usize::from(detail) % 4];
                let actions = tested.finish(now_us, ids::AttemptId(call), SERVICE_US, outcome);
                if !model.apply(now_us, actions) {
                    return false;
                }
            }
            4 => {
                let expected = if model.waiting.remove(&selected).is_some() {
                    model.ended += 1;
                    slots::Cancelled::Dropped
                } else if model.running.contains(&selected) {
                    slots::Cancelled::Running
                } else {
                    slots::Cancelled::Unknown
                };
                if tested.cancel(now_us, ids::AttemptId(selected)) != expected {
                    return false;
                }
            }
            _ => {
                let actions = tested.tick(now_us);
                if !model.apply(now_us, actions) {
                    return false;
                }
            }
        }
        let counts = (tested.in_use(), tested.queued());
        if counts != (model.running.len(), model.waiting.len()) || counts.0 > 3 {
            return false;
        }
        if model.ended + counts.0 + counts.1 != offered {
            return false;
        }
    }
    while let Some(call) = model.running.pop_first() {
        model.ended += 1;
        let outcome = slots::Outcome::Answered;
        let actions = tested.finish(now_us, ids::AttemptId(call), SERVICE_US, outcome);
        if !model.apply(now_us, actions) {
            return false;
        }
    }
    model.ended == offered
}

quickcheck! {
    fn no_call_is_lost_and_slots_are_never_exceeded(inputs: Vec<(u8, u8)>) -> bool {
        run_inputs(policy::Policy::Full, inputs)
    }

    fn the_plain_policy_loses_no_call_either(inputs: Vec<(u8, u8)>) -> bool {
        run_inputs(policy::Policy::Plain, inputs)
    }

    fn a_query_is_admitted_if_its_hash_is_below_all_shares(query: u64, shares: Vec<u16>) -> bool {
        let query = ids::QueryId(query);
        let searchers = 0..shares.len() as u16;
        let holders = searchers.clone().map(|searcher| vec![searcher]).collect();
        let layout = choose::Layout::new(shares.len(), holders);
        let call = |searcher| choose::Call { searcher, shards: vec![u32::from(searcher)] };
        let plan = choose::Plan { calls: searchers.map(call).collect(), missing: Vec::new() };
        let mut gate = admit::Gate::new(shares.len());
        let mut all = true;
        for (searcher, share) in shares.iter().enumerate() {
            let fractions = admit::Fractions([*share; 3]);
            gate.update(0, searcher as u16, fractions);
            all &= admit::admission_hash(query) < fractions.share(rank::Rank::Standard);
        }
        let admission = gate.decide(0, query, rank::Rank::Standard, &layout, &plan);
        all == matches!(admission, admit::Admission::Admit { .. })
    }
}

/// The share of the slots' time that each rank received while the ranks in `busy` kept their
/// queues full.
fn shares(floors_percent: [u8; 3], busy: [bool; 3]) -> [f64; 3] {
    let mut tested = slots::Slots::new(policy::Policy::Full, limits(floors_percent));
    let mut running: Vec<u64> = Vec::new();
    let mut served = [0_u32; 3];
    let mut call = 0;
    for round in 0..3000_u64 {
        let now_us = round * SERVICE_US / 3;
        if running.len() == 3 {
            let done = ids::AttemptId(running.remove(0));
            let actions = tested.finish(now_us, done, SERVICE_US, slots::Outcome::Answered);
            running.extend(actions.start.iter().map(|call| call.0));
        }
        for rank in rank::Rank::ALL {
            for _ in 0..if busy[rank.index()] { 2 } else { 0 } {
                call += 3;
                let call = call + rank.index() as u64;
                let offered = request(call, rank, now_us + 1_000_000_000);
                if tested.offer(now_us, offered) == slots::OfferResult::Start {
                    running.push(call);
                }
            }
        }
        if let Some(started) = running.last() {
            served[(started % 3) as usize] += 1;
        }
    }
    served.map(|count| f64::from(count) / 3000.0)
}

#[test]
fn every_rank_gets_its_floor_under_overload() {
    let all = [true; 3];
    let table = [
        ([20, 30, 10], all, [0.58, 0.29, 0.09]),
        ([0, 0, 0], all, [0.98, 0.0, 0.0]),
        ([50, 50, 0], all, [0.48, 0.48, 0.0]),
        ([10, 40, 40], all, [0.18, 0.38, 0.38]),
        ([20, 30, 10], [false, true, true], [0.0, 0.88, 0.09]),
        ([20, 30, 10], [true, false, true], [0.88, 0.0, 0.09]),
        ([20, 30, 10], [false, false, true], [0.0, 0.0, 0.98]),
    ];
    for (floors_percent, busy, expected_min) in table {
        let shares = shares(floors_percent, busy);
        for index in 0..3 {
            let enough = shares[index] >= expected_min[index];
            assert!(enough, "floors {floors_percent:?}, busy {busy:?}: got {shares:?}");
        }
    }
}

/// Prints the time per call; the time is not checked.
#[test]
fn an_owner_handles_a_call() {
    let mut tested = slots::Slots::new(policy::Policy::Full, limits([20, 20, 10]));
    let mut controller = admit::Controller::new(0, [20, 20, 10], SERVICE_US);
    let start = time::Instant::now();
    let rounds = 100_000_u64;
    let mut started = 0;
    for call in 0..rounds {
        let now_us = call * SERVICE_US;
        let rank = rank::Rank::ALL[(call % 3) as usize];
        controller.record_offered(now_us, rank, 1.0);
        let result = tested.offer(now_us, request(call, rank, now_us + 10 * SERVICE_US));
        started += usize::from(result == slots::OfferResult::Start);
        tested.finish(now_us + 1, ids::AttemptId(call), SERVICE_US, slots::Outcome::Answered);
        controller.record_answer(now_us + 1, rank, SERVICE_US);
        controller.fractions(now_us + 1, tested.usable_slots(), tested.queued_by_rank());
    }
    println!("{:.2} us for each call", start.elapsed().as_secs_f64() * 1e6 / rounds as f64);
    assert_eq!(started as u64, rounds);
}
