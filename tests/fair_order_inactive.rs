//! Without tenants, waiting parts are handled as before fair queueing existed: the snapshot was recorded then.

mod forward_support;

use forward_support::Fixture;
use forward_support::NEAR;
use forward_support::START_US;
use forward_support::answer;
use forward_support::distance;
use forward_support::gather;
use forward_support::record;
use forward_support::searcher;
use forward_support::single;
use tarragondoor::forward::balancer;
use tarragondoor::forward::query;

const QUERY_COUNT: u64 = 60;
const ARRIVAL_PERIOD_US: u64 = 3_000;
const STEP_US: u64 = 500;
const END_US: u64 = START_US + 2_000_000;

/// A linear congruential generator, so that the sequence does not depend on the version of a library.
struct Sequence(u64);

impl Sequence {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

struct InFlight {
    query: usize,
    send: query::Send,
    ends_us: u64,
}

/// Runs more queries than the searchers have room for, and lists all decisions.
fn trace() -> String {
    let mut fixture = Fixture::new(&["a", "b"]);
    let mut records = Vec::new();
    // One searcher each: the balancer chooses among several at random.
    for (number, service) in ["a", "b"].into_iter().enumerate() {
        records.push(record(
            &format!("{service}-{number}"),
            searcher(service, NEAR, number as u16 + 1),
        ));
    }
    fixture.balancer.sync(0, &records, distance, |_| 10);
    let mut sequence = Sequence(7);
    let mut trace = String::new();
    let mut queries: Vec<(query::Query, bool)> = Vec::new();
    let mut in_flight: Vec<InFlight> = Vec::new();
    let mut now_us = START_US;
    while now_us < END_US {
        let mut planned = Vec::new();
        if queries.len() < QUERY_COUNT as usize
            && now_us >= START_US + queries.len() as u64 * ARRIVAL_PERIOD_US
        {
            let base = if sequence.below(3) == 0 { single(false) } else { gather(&["a", "b"], 2) };
            let spec =
                query::Spec { arrived_us: now_us, priority: sequence.below(3) as u8, ..base };
            let mut query = query::Query::new(spec);
            let sends = query.start(now_us, &mut fixture.context());
            planned.extend(sends.into_iter().map(|send| (queries.len(), send)));
            queries.push((query, false));
        }
        let ended: Vec<InFlight> =
            in_flight.extract_if(.., |entry| entry.ends_us <= now_us).collect();
        for InFlight { query: index, send, .. } in ended {
            let (outcome, report) = match sequence.below(10) {
                0 => (query::Outcome::NotRun, balancer::Report::Full),
                1 => (query::Outcome::Lost, balancer::Report::Failed),
                _ => (answer(200), balancer::Report::Answered { latency_us: 30_000 }),
            };
            let choice = &send.choice;
            let median_us = send.median_processing_us;
            fixture.balancer.finish_send(
                now_us,
                &choice.endpoint,
                &choice.send_id,
                median_us,
                report,
            );
            let query = &mut queries[index].0;
            let sends = query.record_end(now_us, &mut fixture.context(), send.number, outcome);
            planned.extend(sends.into_iter().map(|send| (index, send)));
        }
        for (index, (query, is_done)) in queries.iter_mut().enumerate() {
            if *is_done {
                continue;
            }
            if now_us.is_multiple_of(4_000) {
                let sends = query.tick(now_us, &mut fixture.context());
                planned.extend(sends.into_iter().map(|send| (index, send)));
            }
            let completion = match query.completion(now_us) {
                None => continue,
                Some(query::Completion::Gathered(_)) => "gathered",
                Some(query::Completion::Single(_)) => "single",
                Some(query::Completion::NotRun { .. }) => "not_run",
                Some(query::Completion::Failed) => "failed",
                Some(query::Completion::TimedOut) => "timed_out",
            };
            *is_done = true;
            let at_us = now_us - START_US;
            trace.push_str(&format!("{at_us} {index} {completion}\n"));
        }
        for (index, send) in planned {
            let record = &queries[index].0.sends()[send.number];
            let at_us = now_us - START_US;
            trace.push_str(&format!("{at_us} {index} part {} {}\n", record.part, record.reason));
            let ends_us = now_us + 20_000 + sequence.below(60_000);
            in_flight.push(InFlight { query: index, send, ends_us });
        }
        now_us += STEP_US;
    }
    trace
}

/// Guards against fair queueing that changes decisions of deployments without tenants.
#[test]
fn without_tenants_parts_wait_and_are_sent_as_before() {
    let trace = trace();
    assert!(trace.contains("not_run") && trace.contains("gathered") && trace.contains("failed"));
    insta::assert_snapshot!(trace);
}
