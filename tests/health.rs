//! What an owner makes of its searcher's word.

use tarragondoor::health;
use tarragondoor::peer_api::Health;
use tarragondoor::peers;
use tarragondoor::searcher_api;
use tarragondoor::searcher_api::SearcherState;

#[derive(Clone, Copy, Debug)]
enum Word {
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
        place: peers::Place {
            region: "r1".parse().unwrap(),
            failure_domain: "d1".parse().unwrap(),
        },
        leaving,
    }
}

fn after(words: &[Word], leaving: bool) -> Health {
    let mut watch = health::Watch::default();
    let mut now_ms = 1_000;
    for word in words {
        now_ms += 500;
        let status = match word {
            Word::Wait(ms) => {
                now_ms += ms;
                continue;
            }
            Word::Draining => {
                watch.said_draining(now_ms);
                continue;
            }
            Word::NoStatus => None,
            Word::Status(state) => Some(searcher_api::StatusReply {
                searcher: "s1".parse().unwrap(),
                service: "beans".parse().unwrap(),
                state: *state,
                holdings: Vec::new(),
                load: searcher_api::Load::default(),
            }),
        };
        watch.observe(now_ms, &listed(leaving), status, 0);
    }
    watch.health()
}

#[test]
fn words_and_what_is_made_of_them() {
    use SearcherState::{Draining, Ready, Starting};
    use Word::{NoStatus, Status, Wait};
    let hold = health::DRAINING_HOLD_MS;
    let table: &[(&str, &[Word], bool, Health)] = &[
        ("nothing yet", &[], false, Health::Starting),
        ("ready", &[Status(Ready)], false, Health::Ready),
        ("one probe lost", &[Status(Ready), NoStatus], false, Health::Ready),
        ("two probes lost", &[Status(Ready), NoStatus, NoStatus], false, Health::Unreachable),
        ("back", &[NoStatus, NoStatus, Status(Ready)], false, Health::Ready),
        ("listed as leaving", &[Status(Ready)], true, Health::Draining),
        ("status lags", &[Word::Draining, Status(Ready), Status(Ready)], false, Health::Draining),
        (
            "status misleads for long",
            &[Word::Draining, Wait(hold / 2), Status(Ready)],
            false,
            Health::Draining,
        ),
        (
            "status misleads beyond the hold",
            &[Word::Draining, Wait(hold), Status(Ready)],
            false,
            Health::Ready,
        ),
        (
            "drain called off",
            &[Word::Draining, Status(Ready), Status(Draining), Status(Ready)],
            false,
            Health::Ready,
        ),
        (
            "restarted, seen starting",
            &[Word::Draining, Status(Starting), Status(Ready)],
            false,
            Health::Ready,
        ),
        (
            "restarted, seen by a lost probe",
            &[Word::Draining, NoStatus, Status(Ready)],
            false,
            Health::Ready,
        ),
    ];
    for (case, words, leaving, expected) in table {
        assert_eq!(after(words, *leaving), *expected, "{case}");
    }
}

#[test]
fn a_report_is_made_when_something_changed_or_another_owner_was_newer() {
    let mut watch = health::Watch::default();
    let place = listed(false);
    let first = watch.observe(0, &place, None, 0).map(|report| report.observation);
    assert_eq!(first, Some(1), "the first observation is reported");
    assert_eq!(watch.observe(500, &place, None, 1).map(|r| r.health), Some(Health::Unreachable));
    assert_eq!(watch.observe(1_000, &place, None, 2), None, "nothing has changed");
    let newer = watch.observe(1_500, &place, None, 9).map(|report| report.observation);
    assert_eq!(newer, Some(10), "goes before the other owner's");
}
