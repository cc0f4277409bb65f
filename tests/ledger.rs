//! Fault scenarios of the ledger. Each row is a sequence of steps for one key; the snapshot holds the
//! expected answer to every step that has one.

use compact_str::CompactString;
use std::str::FromStr as _;
use tarragondoor::caller_api;
use tarragondoor::ids;
use tarragondoor::key;
use tarragondoor::ledger;
use tarragondoor::ledger::{AttemptOutcome, Decision, Next, Permit, RequestStatus};
use tarragondoor::rank;

const START_MS: u64 = 1_700_000_000_000;
const DEADLINE_MS: u64 = 1_000;

#[derive(Clone, Copy)]
enum Step {
    Request,
    /// A request with the same key and another body.
    OtherBody,
    Reject,
    GiveUp,
    Send,
    Ran,
    Refused,
    Lost,
    /// Advances the time by this many milliseconds.
    After(u64),
    Status,
}

fn key_of(text: &str) -> key::Key {
    key::Key::from_str(text).unwrap()
}

fn request_of(body: u64) -> ledger::Request {
    let body = key::BodyHash(body);
    ledger::Request { body, rank: rank::Rank::Urgent, deadline_ms: START_MS + DEADLINE_MS }
}

fn show_status(status: &RequestStatus) -> String {
    match status {
        RequestStatus::Ran(result) => format!("ran {result}"),
        RequestStatus::NotRun(cause) => format!("not run: {cause}"),
        RequestStatus::Unknown(cause) => format!("unknown: {cause}"),
    }
}

fn show_next(next: &Next) -> String {
    match next {
        Next::TryAnother => "try another".to_owned(),
        Next::Settled(status) => show_status(status),
        Next::Ignored => "ignored".to_owned(),
    }
}

fn outcome_of(step: Step) -> Option<AttemptOutcome> {
    match step {
        Step::Ran => Some(AttemptOutcome::Ran(CompactString::from("ok"))),
        Step::Refused => Some(AttemptOutcome::Refused),
        Step::Lost => Some(AttemptOutcome::Lost),
        _ => None,
    }
}

/// Applies the steps to a new ledger and returns the answers.
fn run_steps(key: &key::Key, steps: &[Step]) -> Vec<String> {
    let home = ids::InstanceName::from_str("a").unwrap();
    let mut ledger = ledger::Ledger::new(home, ids::BootId(7));
    let mut now_ms = START_MS;
    let mut attempt = None;
    let mut observed = Vec::new();
    for step in steps {
        if let Some(outcome) = outcome_of(*step) {
            let next = ledger.attempt_ended(now_ms, key, attempt.unwrap(), outcome);
            observed.push(show_next(&next));
            continue;
        }
        observed.push(match step {
            Step::Request | Step::OtherBody => {
                let body = if matches!(step, Step::Request) { 1 } else { 2 };
                match ledger.request(now_ms, key, request_of(body)) {
                    Decision::Answer(status) => show_status(&status),
                    decision => format!("{decision:?}"),
                }
            }
            Step::Reject => {
                let cause = caller_api::ErrorCode::NotReady;
                let status = ledger.reject(now_ms, key, rank::Rank::Urgent, cause);
                status.as_ref().map_or("elsewhere".to_owned(), show_status)
            }
            Step::GiveUp => {
                show_status(&ledger.give_up(now_ms, key, caller_api::ErrorCode::NoSearcher))
            }
            Step::Send => match ledger.permit_send(now_ms, key) {
                Permit::Send(number) => {
                    attempt = Some(number);
                    "send".to_owned()
                }
                Permit::Denied(status) => format!("denied, {}", show_status(&status)),
            },
            Step::Status => show_status(&ledger.status(now_ms, key)),
            Step::After(delay_ms) => {
                now_ms += delay_ms;
                continue;
            }
            Step::Ran | Step::Refused | Step::Lost => continue,
        });
    }
    observed
}

#[test]
fn answers_in_fault_scenarios_match_the_snapshot() {
    use Step::*;
    const KEY: &str = "a:7:1700000000-abcdef";
    const LIFETIME_MS: u64 = ledger::KEY_LIFETIME_MS;
    let rows: &[(&str, &str, &[Step])] = &[
        ("runs, reply lost, then repeated", KEY, &[Request, Send, Ran, Request]),
        ("repeated while it runs", KEY, &[Request, Request, Send, Request, Ran, Request]),
        ("same key, other body", KEY, &[Request, OtherBody, Send, Ran, OtherBody]),
        ("refused, then another searcher runs it", KEY, &[Request, Send, Refused, Send, Ran]),
        ("refused at the deadline", KEY, &[Request, Send, After(DEADLINE_MS), Refused, Send]),
        ("all searchers refused", KEY, &[Request, Send, Refused, GiveUp, Send, Request]),
        ("attempt lost", KEY, &[Request, Send, Lost, Send, Request, GiveUp]),
        ("attempt lost, then a late answer", KEY, &[Request, Send, Lost, Request, Ran, Request]),
        ("attempt lost, then a late refusal", KEY, &[Request, Send, Lost, Refused, Request]),
        ("process paused before the send", KEY, &[Request, After(DEADLINE_MS), Send, Request]),
        (
            "process paused past the key's lifetime",
            KEY,
            &[Request, After(LIFETIME_MS), Send, Request],
        ),
        (
            "process paused while an attempt is in flight",
            KEY,
            &[Request, Send, After(DEADLINE_MS), Status, Request, Ran],
        ),
        ("second send while an attempt is in flight", KEY, &[Request, Send, Send, Ran, Send]),
        (
            "refused twice, lost at the third",
            KEY,
            &[Request, Send, Refused, Send, Refused, Send, Lost, Send],
        ),
        ("duplicate reply", KEY, &[Request, Send, Ran, Ran]),
        ("answer of a refused attempt", KEY, &[Request, Send, Refused, Ran, Refused]),
        ("rejected, then the first request arrives late", KEY, &[Reject, Request, Send, Reject]),
        ("rejected while it runs", KEY, &[Request, Send, Reject, Ran, Reject]),
        ("deadline passed on arrival", KEY, &[After(DEADLINE_MS), Request, Send]),
        (
            "record dropped, then repeated",
            KEY,
            &[Request, Send, Ran, After(LIFETIME_MS), Request, Reject, Send],
        ),
        ("home restarted: key of an older boot", "a:6:1700000000-abcdef", &[Request, Reject, Send]),
        ("key of a future boot", "a:8:1700000000-abcdef", &[Request, Reject, Send]),
        ("another instance's key", "b:7:1700000000-abcdef", &[Request, Reject, Send]),
        ("issued in the far future", "a:7:1700000061-abcdef", &[Request, Reject, Send]),
    ];
    let mut text = String::new();
    for (name, key, steps) in rows {
        let observed = run_steps(&key_of(key), steps);
        text.push_str(&format!("{name}\n    {}\n", observed.join("\n    ")));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn a_full_ledger_refuses_background_work_first_and_runs_nothing_unrecorded() {
    let home = ids::InstanceName::from_str("a").unwrap();
    let mut ledger = ledger::Ledger::with_records_max(home, ids::BootId(7), 8);
    let mut observed = Vec::new();
    for rank in [rank::Rank::Background, rank::Rank::Standard, rank::Rank::Urgent] {
        let mut started = 0;
        for number in 0..8 {
            let key = key_of(&format!("a:7:1700000000-{rank}-{number}"));
            let decision =
                ledger.request(START_MS, &key, ledger::Request { rank, ..request_of(1) });
            if decision == Decision::Start {
                started += 1;
                continue;
            }
            let full = RequestStatus::Unknown(caller_api::ErrorCode::Overloaded);
            assert_eq!(decision, Decision::Answer(full));
            assert!(matches!(ledger.permit_send(START_MS, &key), Permit::Denied(_)));
        }
        observed.push((rank, started));
    }
    assert_eq!(
        observed,
        [(rank::Rank::Background, 4), (rank::Rank::Standard, 2), (rank::Rank::Urgent, 2)]
    );
    assert_eq!(ledger.record_count(), 8);
}

#[test]
fn keys_have_one_spelling() {
    let mut text = String::new();
    for key in [
        "a:7:1700000000-abcde",
        "a:7:1700000000-abcd",
        "a:07:1700000000-abcde",
        "a:+7:1700000000-abcde",
        "a:7:01700000000-abcde",
        "a:7:abcdefghijklmnop",
        "a:7:1700000000-abc.e",
        "a:7",
        "a:7:1700000000-abcde:",
        ":7:1700000000-abcde",
    ] {
        match key::Key::from_str(key) {
            Ok(parsed) => {
                assert_eq!(parsed.to_string(), key);
                text.push_str(&format!("{key}: {} {}\n", parsed.home(), parsed.issued_s()));
            }
            Err(error) => text.push_str(&format!("{key}: {error}\n")),
        }
    }
    insta::assert_snapshot!(text);
}

#[test]
fn a_new_key_round_trips_through_text() {
    let home = ids::InstanceName::from_str("a").unwrap();
    let key = key::Key::new(home, ids::BootId(7), 1_700_000_000, 9);
    assert_eq!(key_of(&key.to_string()), key);
}
