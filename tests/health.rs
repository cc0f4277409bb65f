//! How an owner tracks the health of its searcher from status probes and replies.

use tarragondoor::health;
use tarragondoor::peer_api::Health;
use tarragondoor::peers;
use tarragondoor::searcher_api;
use tarragondoor::searcher_api::SearcherState;

#[derive(Clone, Copy, Debug)]
enum Input {
    Status(SearcherState),
    NoStatus,
    Draining,
    Wait(u64),
}

fn listed(leaving: bool) -> peers::ListedSearcher {
    peers::ListedSearcher {
        searcher: "s1".parse().unwrap(),
        service: "beans".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        location: peers::Location {
            region: "r1".parse().unwrap(),
            failure_domain: "d1".parse().unwrap(),
        },
        leaving,
    }
}

fn health_after(inputs: &[Input], leaving: bool) -> Health {
    let mut tracker = health::Tracker::default();
    let mut now_ms = 1_000;
    for input in inputs {
        now_ms += 500;
        let status = match input {
            Input::Wait(ms) => {
                now_ms += ms;
                continue;
            }
            Input::Draining => {
                tracker.record_draining(now_ms);
                continue;
            }
            Input::NoStatus => None,
            Input::Status(state) => Some(searcher_api::StatusReply {
                searcher: "s1".parse().unwrap(),
                service: "beans".parse().unwrap(),
                state: *state,
                holdings: Vec::new(),
                load: searcher_api::Load::default(),
            }),
        };
        tracker.observe(now_ms, &listed(leaving), status, 0);
    }
    tracker.health()
}

#[test]
fn health_follows_status_probes_and_replies() {
    use Input::{NoStatus, Status, Wait};
    use SearcherState::{Draining, Ready, Starting};
    let hold = health::DRAINING_HOLD_MS;
    let table: &[(&str, &[Input], bool, Health)] = &[
        ("no input", &[], false, Health::Starting),
        ("ready", &[Status(Ready)], false, Health::Ready),
        ("one failed probe", &[Status(Ready), NoStatus], false, Health::Ready),
        ("two failed probes", &[Status(Ready), NoStatus, NoStatus], false, Health::Unreachable),
        ("reachable again", &[NoStatus, NoStatus, Status(Ready)], false, Health::Ready),
        ("listed as leaving", &[Status(Ready)], true, Health::Draining),
        ("status lags", &[Input::Draining, Status(Ready), Status(Ready)], false, Health::Draining),
        (
            "status ready within the hold",
            &[Input::Draining, Wait(hold / 2), Status(Ready)],
            false,
            Health::Draining,
        ),
        (
            "status ready after the hold",
            &[Input::Draining, Wait(hold), Status(Ready)],
            false,
            Health::Ready,
        ),
        (
            "drain cancelled",
            &[Input::Draining, Status(Ready), Status(Draining), Status(Ready)],
            false,
            Health::Ready,
        ),
        (
            "restarted, status says starting",
            &[Input::Draining, Status(Starting), Status(Ready)],
            false,
            Health::Ready,
        ),
        (
            "restarted, one failed probe",
            &[Input::Draining, NoStatus, Status(Ready)],
            false,
            Health::Ready,
        ),
    ];
    for (case, inputs, leaving, expected) in table {
        assert_eq!(health_after(inputs, *leaving), *expected, "{case}");
    }
}

#[test]
fn a_report_is_made_when_something_changed_or_another_owner_was_newer() {
    let mut tracker = health::Tracker::default();
    let searcher = listed(false);
    let first = tracker.observe(0, &searcher, None, 0).map(|report| report.observation);
    assert_eq!(first, Some(1), "the first observation is reported");
    assert_eq!(
        tracker.observe(500, &searcher, None, 1).map(|r| r.health),
        Some(Health::Unreachable)
    );
    assert_eq!(tracker.observe(1_000, &searcher, None, 2), None, "nothing has changed");
    let newer = tracker.observe(1_500, &searcher, None, 9).map(|report| report.observation);
    assert_eq!(newer, Some(10), "takes precedence over the other owner's");
}
