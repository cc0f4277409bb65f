//! Searchers that an instance has never used.

mod forward_support;

use forward_support::FAR;
use forward_support::NEAR;
use forward_support::SECOND_US;
use forward_support::distance;
use forward_support::record;
use forward_support::searcher;
use forward_support::service;
use tarragondoor::expected_work::routing::Routing;
use tarragondoor::forward::balancer;
use tarragondoor::placement::homes;

const MEDIAN_US: u64 = 30_000;
/// The near searchers answer faster than the route's median, so those in use seem cheaper than any other one.
const LATENCY_US: u64 = 15_000;
const REQUEST_PERIOD_US: u64 = 20_000;
/// The number of requests of each instance.
const REQUESTS: u64 = 1_500;

/// Lets the instances of a region send one request after the other. Returns the first sends to each searcher, by instance,
/// in order of time.
fn first_sends(routing: Routing, instance_count: u32) -> Vec<(u64, String)> {
    let places = [("a-0", NEAR), ("a-1", NEAR), ("a-2", NEAR), ("a-far", FAR)];
    let records: Vec<_> = (1..)
        .zip(places)
        .map(|(number, (id, domain))| record(id, searcher("a", domain, number)))
        .collect();
    let mut first_sends = Vec::new();
    for instance in 0..instance_count {
        let mut balancer = balancer::Balancer::default();
        balancer.set_routing(routing);
        balancer.set_seed(u64::from(instance));
        balancer.set_instance_counts(balancer::InstanceCounts {
            active: instance_count,
            active_in_region: instance_count,
            is_active: true,
        });
        balancer.sync(0, &records, distance, |_| 400);
        let profile = balancer::RequestProfile {
            median_processing_us: MEDIAN_US,
            priority: 0,
            cross_region_penalty_us: 0,
            homes: &homes::Homes::Any,
        };
        let mut used = Vec::new();
        for number in 1..=REQUESTS {
            let now_us = number * REQUEST_PERIOD_US;
            let candidate = balancer.find(now_us, &service("a"), &[], profile).unwrap();
            let choice = balancer.start_send(now_us, candidate);
            let id = choice.endpoint.id.to_string();
            if let Err(at) = used.binary_search(&id) {
                used.insert(at, id.clone());
                first_sends.push((now_us, id));
            }
            let report = balancer::Report::Answered { latency_us: LATENCY_US };
            let end_us = now_us + LATENCY_US;
            balancer.finish_send(end_us, &choice.endpoint, &choice.send_id, MEDIAN_US, report);
        }
    }
    first_sends.sort();
    first_sends
}

/// `times_us` is sorted.
fn most_in_a_second(times_us: &[u64]) -> usize {
    let mut most = 0;
    for (at, from_us) in times_us.iter().enumerate() {
        let end = times_us.partition_point(|time_us| *time_us < from_us + SECOND_US);
        most = most.max(end - at);
    }
    most
}

/// Guards against searchers that stay unused while others seem cheaper, and against many instances that all try a new
/// searcher at the same time.
#[test]
fn every_instance_tries_each_searcher_of_its_region_once() {
    let mut results = Vec::new();
    for routing in [Routing::Latency, Routing::ExpectedWork] {
        for instance_count in [1, 10, 100] {
            let first_sends = first_sends(routing, instance_count);
            let mut line = format!("{routing}, {instance_count} instances:");
            for id in ["a-0", "a-1", "a-2", "a-far"] {
                let times: Vec<u64> =
                    first_sends.iter().filter(|(_, to)| to == id).map(|(at, _)| *at).collect();
                let most = most_in_a_second(&times);
                line += &format!(" {id} {} (most in 1 s: {most})", times.len());
            }
            results.push(line);
        }
    }
    insta::assert_snapshot!(results.join("\n"));
}
