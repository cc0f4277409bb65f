//! Tests the load generator: its schedule, its report, and that it is open-loop.

mod cli_support;

use cli_support::{Reply, serve};
use std::net;
use std::sync;
use std::thread;
use std::time;
use tarragondoor::caller_api;
use tarragondoor::client::caller;
use tarragondoor::load;
use tarragondoor::load::arrivals;
use tarragondoor::load::report;
use tarragondoor::load::runner;
use tarragondoor::load::tally;
use tarragondoor::rank;

fn plan(flood: Option<&str>) -> load::Plan {
    load::Plan {
        services: vec!["beans".parse().unwrap(), "buckets".parse().unwrap()],
        query: "q".into(),
        limit: 10,
        rate_per_s: 100.0,
        duration: time::Duration::from_secs(30),
        warm_up: time::Duration::from_secs(2),
        mix: "urgent=20,standard=50,background=30".parse().unwrap(),
        flood: flood.map(|flood| flood.parse().unwrap()),
        deadline_ms: 300,
        in_flight_max: 1_000,
        seed: 1,
    }
}

#[test]
fn arrivals_follow_the_plan_and_the_seed() {
    let plan = plan(Some("background:5:10s:10s"));
    let all: Vec<arrivals::Arrival> = arrivals::Arrivals::new(&plan).collect();
    assert_eq!(all, arrivals::Arrivals::new(&plan).collect::<Vec<_>>());
    let other = load::Plan { seed: 2, ..plan.clone() };
    assert_ne!(all, arrivals::Arrivals::new(&other).collect::<Vec<_>>());
    assert!(all.is_sorted_by(|a, b| a.at_s <= b.at_s));
    let mut text = String::new();
    for rank in rank::Rank::ALL {
        for (from_s, to_s) in [(0.0, 12.0), (12.0, 22.0), (22.0, 32.0)] {
            let mut per_service = [0; 2];
            for arrival in &all {
                if arrival.rank == rank && (from_s..to_s).contains(&arrival.at_s) {
                    per_service[arrival.service] += 1;
                }
            }
            let rate_per_s = f64::from(per_service.iter().sum::<u32>()) / (to_s - from_s);
            text.push_str(&format!(
                "{rank} {from_s}..{to_s} s: {rate_per_s:.1}/s {per_service:?}\n"
            ));
        }
    }
    insta::assert_snapshot!(text);
}

#[test]
fn plans_out_of_bounds_are_rejected() {
    let rows: &[(&str, load::Plan)] = &[
        ("no service", load::Plan { services: Vec::new(), ..plan(None) }),
        ("no rate", load::Plan { rate_per_s: f64::NAN, ..plan(None) }),
        ("no time", load::Plan { duration: time::Duration::ZERO, ..plan(None) }),
        ("too long", load::Plan { warm_up: time::Duration::MAX, ..plan(None) }),
        ("none under way", load::Plan { in_flight_max: 0, ..plan(None) }),
        ("too many", load::Plan { rate_per_s: 1e6, ..plan(None) }),
        ("flood at once", plan(Some("urgent:2:0s:1s"))),
        ("flood of nothing", plan(Some("urgent:2:1s:0s"))),
        ("flood past the end", plan(Some("urgent:2:1s:30s"))),
        ("flood too large", plan(Some("urgent:1e9:1s:1s"))),
    ];
    let mut text = String::new();
    for (name, plan) in rows {
        text.push_str(&format!("{name}: {}\n", plan.check().unwrap_err()));
    }
    for mix in ["urgent", "urgent=-1", "soon=1", "urgent=NaN", ""] {
        assert_eq!(mix.parse::<load::Mix>(), Err(load::PlanError::Mix), "{mix:?}");
    }
    for flood in ["urgent", "urgent:0.5:1:1", "urgent:2:-1:1", "soon:2:1:1", "urgent:2:1:1:1"] {
        assert_eq!(flood.parse::<load::Flood>(), Err(load::PlanError::Flood), "{flood:?}");
    }
    insta::assert_snapshot!(text);
}

fn answered(latency_ms: u64, shards_answered: u32) -> tally::Outcome {
    let coverage = caller_api::Coverage { shards_answered, shards_total: 4, missing: Vec::new() };
    let effort =
        caller_api::Effort { calls_needed: 4, calls_sent: 5, hedges: 1, retries: 0, restarts: 0 };
    tally::Outcome::Answered { latency_us: latency_ms * 1_000, coverage, effort }
}

#[test]
fn the_report_matches_its_snapshots() {
    let plan = plan(Some("background:5:10s:10s"));
    let mut tallies = tally::Tallies::new(plan.deadline_ms).unwrap();
    let mut add = |at_s: f64, rank, count, outcome: tally::Outcome| {
        for _ in 0..count {
            let sample = tally::Sample {
                phase: tally::Phase::of(&plan, at_s),
                rank,
                outcome: outcome.clone(),
            };
            tallies.add(&sample);
        }
    };
    use rank::Rank::{Background, Standard, Urgent};
    add(1.0, Urgent, 50, answered(900, 4));
    add(3.0, Urgent, 100, answered(10, 4));
    add(13.0, Urgent, 99, answered(20, 4));
    add(13.0, Urgent, 1, answered(301, 3));
    add(23.0, Urgent, 100, answered(10, 4));
    add(3.0, Standard, 100, answered(30, 4));
    add(13.0, Standard, 75, answered(40, 4));
    add(13.0, Standard, 20, tally::Outcome::Refused(caller_api::ErrorCode::Overloaded));
    add(13.0, Standard, 5, tally::Outcome::Refused(caller_api::ErrorCode::DeadlinePast));
    add(13.0, Background, 40, tally::Outcome::Overrun);
    add(13.0, Background, 10, tally::Outcome::Failed);
    let report = report::Report::new(&plan, &tallies, 1.25);
    insta::assert_snapshot!("report_table", report);
    insta::assert_snapshot!("report_json", serde_json::to_string_pretty(&report.rows[1]).unwrap());
}

const ANSWER: &str = r#"{"query_id":9,"snapshot":{"index_version":4,"map_version":2},
"coverage":{"shards_answered":2,"shards_total":2,"missing":[]},"hits":[],
"effort":{"calls_needed":2,"calls_sent":2,"hedges":0,"retries":0,"restarts":0}}"#;

/// Runs a plan against a server that answers each search with `search`.
fn run(
    plan: &load::Plan,
    on_progress: impl FnMut(runner::Progress),
    search: impl Fn() -> Reply + Send + Sync + 'static,
) -> report::Report {
    let server_address = sync::Arc::new(sync::OnceLock::<net::SocketAddr>::new());
    let handler_address = sync::Arc::clone(&server_address);
    let server = serve(move |request| {
        if request.path == "/v1/search" {
            return search();
        }
        let address = handler_address.wait();
        let json = format!(
            r#"{{"ttl_ms":60000,"issued_s":1,"addresses":[{{"instance":"i","address":"{address}",
            "region":"r","failure_domain":"d","boot":1}}]}}"#
        );
        Reply::Json(200, json)
    });
    server_address.set(server).unwrap();
    let caller = sync::Arc::new(caller::Caller::new(vec![server], None, None).unwrap());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(runner::run(&[caller], plan, on_progress)).unwrap()
}

fn short_plan(rate_per_s: f64) -> load::Plan {
    let (duration, warm_up) = (time::Duration::from_millis(1_500), time::Duration::ZERO);
    load::Plan { rate_per_s, duration, warm_up, deadline_ms: 30_000, ..plan(None) }
}

fn sum_rows(report: &report::Report, field: impl Fn(&report::Row) -> u64) -> u64 {
    report.rows.iter().map(field).sum()
}

#[test]
fn arrivals_do_not_wait_for_answers() {
    let plan = short_plan(40.0);
    let expected = arrivals::Arrivals::new(&plan).count() as u64;
    let report = run(
        &plan,
        |_| {},
        || {
            thread::sleep(time::Duration::from_millis(500));
            Reply::Json(200, ANSWER.to_owned())
        },
    );
    assert_eq!(sum_rows(&report, |row| row.offered), expected);
    assert_eq!(sum_rows(&report, |row| row.served), expected);
    assert!(report.rows.iter().all(|row| row.p50_ms >= Some(500.0)), "{report}");
}

#[test]
fn latency_counts_from_the_intended_start() {
    let stall = time::Duration::from_millis(400);
    let report =
        run(&short_plan(100.0), |_| thread::sleep(stall), || Reply::Json(200, ANSWER.to_owned()));
    assert!(report.lag_max_ms >= 350.0, "{report}");
    assert!(report.rows.iter().any(|row| row.p99_9_ms >= Some(300.0)), "{report}");
}

#[test]
fn searches_above_the_in_flight_limit_are_overruns_and_missing_answers_are_failures() {
    let plan = load::Plan { in_flight_max: 3, deadline_ms: 10_000, ..short_plan(40.0) };
    let expected = arrivals::Arrivals::new(&plan).count() as u64;
    let report = run(&plan, |_| {}, || Reply::Silent);
    assert_eq!(sum_rows(&report, |row| row.overruns), expected - 3);
    assert_eq!(sum_rows(&report, |row| row.failed), 3);
    assert_eq!(sum_rows(&report, |row| row.offered), expected);
}

#[test]
fn refusals_are_counted_by_cause() {
    let refusal = r#"{"code":"overloaded","message":"too much"}"#;
    let report = run(&short_plan(40.0), |_| {}, move || Reply::Json(429, refusal.to_owned()));
    for row in &report.rows {
        assert_eq!(row.refused.len(), 1);
        assert_eq!(row.refused[0].cause, caller_api::ErrorCode::Overloaded);
        assert_eq!(row.refused[0].count, row.offered);
        assert_eq!(row.p50_ms, None);
    }
}
