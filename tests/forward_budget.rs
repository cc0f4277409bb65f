//! Tests of the budget of extra sends (retries and hedges) that all instances share.

mod forward_support;

use forward_support::SECOND_US;
use forward_support::rule;
use forward_support::service;
use quickcheck::quickcheck;
use tarragondoor::forward::budget;

fn active_budgets(active_count: u32) -> budget::Budgets {
    let mut budgets = budget::Budgets::new(rule());
    budgets.set_active_instances(0, active_count, true);
    budgets
}

/// Uses up the budget. Returns the number of extra sends that were allowed.
fn spend_all(budgets: &mut budget::Budgets, now_us: u64, priority: u8) -> u32 {
    let mut count = 0;
    while budgets.spend(now_us, &service("a"), priority) {
        count += 1;
    }
    count
}

#[test]
fn the_budget_is_a_ratio_of_own_requests_plus_a_part_of_the_slack() {
    let mut budgets = active_budgets(6);
    let mut extra_sends = Vec::new();
    for step in 0..400 {
        let now_us = 20 * SECOND_US + step * 100_000;
        budgets.record_request(now_us, &service("a"), 0);
        if budgets.spend(now_us, &service("a"), 0) {
            extra_sends.push(now_us);
        }
    }
    // The ratio applies to the 100 requests of a window: (0.2 x 100 + 60 / 6) x 0.85.
    for start_us in [30, 35, 40, 45, 50].map(|second| second * SECOND_US) {
        let in_window = start_us..start_us + 10 * SECOND_US;
        let count = extra_sends.iter().filter(|at| in_window.contains(at)).count();
        assert!((23..=25).contains(&count), "{count} from {start_us}");
    }
}

/// A burst counts a third in each of the three windows of the rule, so its extra sends become available over time.
#[test]
fn requests_that_arrive_at_once_count_a_third() {
    let mut budgets = active_budgets(6);
    let now_us = 20 * SECOND_US;
    for _ in 0..100 {
        budgets.record_request(now_us, &service("a"), 0);
    }
    // (0.2 x 100 / 3 + 60 / 6) x 0.85.
    assert_eq!(spend_all(&mut budgets, now_us, 0), 14);
    assert_eq!(spend_all(&mut budgets, now_us + 9 * SECOND_US, 0), 0, "the window is not over");
    assert_eq!(
        spend_all(&mut budgets, now_us + 11 * SECOND_US, 0),
        8,
        "the part of the slack is available again"
    );
}

#[test]
fn part_of_the_budget_is_reserved_for_more_urgent_requests() {
    let now_us = 20 * SECOND_US;
    let mut budgets = active_budgets(1);
    for priority in [0, 1, 9] {
        budgets.record_request(now_us, &service("a"), priority);
    }
    let least = spend_all(&mut budgets, now_us, 9);
    let middle = least + spend_all(&mut budgets, now_us, 1);
    let most = middle + spend_all(&mut budgets, now_us, 0);
    assert!(least < middle && middle < most, "{least} {middle} {most}");
}

/// Priorities that a service gets no requests of, or only a few to test a route, reserve nothing. A deployment without
/// requests of priority 0 used to have a fifth of its budget left while its requests failed for want of retries.
#[test]
fn nothing_is_reserved_for_priorities_that_are_not_in_use() {
    let now_us = 20 * SECOND_US;
    let spent = |counts: &[(u8, usize)], priority| {
        let mut budgets = active_budgets(1);
        for (requests_priority, count) in counts {
            for _ in 0..*count {
                budgets.record_request(now_us, &service("a"), *requests_priority);
            }
        }
        spend_all(&mut budgets, now_us, priority)
    };
    let all = spent(&[(0, 300)], 0);
    assert_eq!(spent(&[(1, 300)], 1), all, "the most urgent in use has the whole budget");
    assert_eq!(spent(&[(0, 5), (1, 295)], 1), all, "a few tests reserve nothing");
    assert_eq!(spent(&[(1, 200), (2, 100)], 2), spent(&[(0, 200), (1, 100)], 1));
    assert!(spent(&[(1, 200), (2, 100)], 2) < all);
}

#[test]
fn each_service_has_its_own_budget() {
    let mut budgets = active_budgets(1);
    spend_all(&mut budgets, 20 * SECOND_US, 0);
    assert!(budgets.spend(20 * SECOND_US, &service("b"), 0));
}

/// A third of the machines are partitioned from the others, and each instance sees only itself. Each of them
/// used to take the whole slack, as first seen in the scenario sprout-search-grown scale-2.
#[test]
fn a_partitioned_instance_keeps_its_part_of_the_slack() {
    let mut budgets = active_budgets(15);
    let now_us = 20 * SECOND_US;
    budgets.set_active_instances(now_us, 1, true);
    assert_eq!(spend_all(&mut budgets, now_us, 0), 3, "60 / 15 x 0.85");
    budgets.set_active_instances(now_us + 61 * SECOND_US, 1, true);
    assert!(
        spend_all(&mut budgets, now_us + 100 * SECOND_US, 0) > 40,
        "the others have been gone for longer than the retention time"
    );
}

#[test]
fn a_newly_active_instance_has_no_slack_for_one_window() {
    let mut budgets = budget::Budgets::new(rule());
    budgets.set_active_instances(0, 1, true);
    assert_eq!(spend_all(&mut budgets, 9 * SECOND_US, 0), 0);
    assert!(spend_all(&mut budgets, 10 * SECOND_US, 0) > 0);
    budgets.set_active_instances(30 * SECOND_US, 1, false);
    assert_eq!(spend_all(&mut budgets, 60 * SECOND_US, 0), 0, "the instance is on standby");
}

/// Guards against more extra sends than the rule allows when instances receive their requests at different times:
/// each of them used to apply the ratio to its own busiest window, and these windows differed.
#[test]
fn instances_with_different_busiest_windows_stay_within_the_rule_together() {
    let mut first = active_budgets(2);
    let mut second = active_budgets(2);
    for _ in 0..100 {
        first.record_request(20 * SECOND_US, &service("a"), 0);
    }
    let mut extra_sends = spend_all(&mut first, 29_500_000, 0);
    for _ in 0..100 {
        second.record_request(35 * SECOND_US, &service("a"), 0);
    }
    extra_sends += spend_all(&mut second, 35 * SECOND_US, 0);
    extra_sends += spend_all(&mut first, 35 * SECOND_US, 0);
    let allowed = rule().ratio * 100.0 + rule().slack;
    assert!(f64::from(extra_sends) <= allowed, "{extra_sends} extra sends, {allowed} allowed");
}

/// For any sequence of requests: in any window, all instances together make no more extra sends than the rule
/// allows for the largest number of requests in the window itself, the one half a window earlier and the one
/// before it.
#[test]
fn the_extra_sends_of_all_instances_together_stay_within_the_rule() {
    fn holds(steps: Vec<(u8, u8, bool)>, active_count: u8) -> bool {
        let active_count = u32::from(active_count % 8) + 1;
        let mut instances: Vec<budget::Budgets> =
            (0..active_count).map(|_| active_budgets(active_count)).collect();
        let mut now_us = 20 * SECOND_US;
        let mut requests = Vec::new();
        let mut extra_sends = Vec::new();
        for (instance, pause, is_request) in steps {
            now_us += u64::from(pause) * 4_000;
            let budgets = &mut instances[usize::from(instance) % active_count as usize];
            for _ in 0..20 {
                if is_request {
                    budgets.record_request(now_us, &service("a"), 0);
                    requests.push(now_us);
                } else if budgets.spend(now_us, &service("a"), 0) {
                    extra_sends.push(now_us);
                }
            }
        }
        keeps_rule(&requests, &extra_sends)
    }

    fn keeps_rule(requests: &[u64], extra_sends: &[u64]) -> bool {
        let window_us = rule().window_us;
        for start_us in extra_sends {
            let count = within(extra_sends, *start_us, window_us);
            let shifts = [0, window_us / 2, window_us];
            let most =
                shifts.map(|shift| within(requests, start_us.saturating_sub(shift), window_us));
            let requests = most.into_iter().max().unwrap();
            if count as f64 > rule().ratio * requests as f64 + rule().slack {
                return false;
            }
        }
        true
    }

    fn within(times: &[u64], start_us: u64, window_us: u64) -> usize {
        times.iter().filter(|at| (start_us..start_us + window_us).contains(at)).count()
    }

    quickcheck(holds as fn(Vec<(u8, u8, bool)>, u8) -> bool);
}
