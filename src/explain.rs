//! Finds the log lines of one request and explains how it ended.

use serde::Deserialize;
use std::fmt::Write as _;

/// The fields of a log line that the explanation is made from.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Line {
    timestamp: String,
    name: String,
    request: String,
    route: String,
    /// Empty if the request belongs to none.
    tenant: String,
    /// Whether a newer configuration may have been due.
    is_overdue: bool,
    outcome: String,
    status: u16,
    latency_ms: f64,
    /// How long the client had waited before the request arrived; logs of older versions lack this field.
    waited_ms: f64,
    target_ms: u64,
    parts: usize,
    parts_wanted: usize,
    extra_sends: usize,
    config: u64,
    config_age_ms: Option<u64>,
    searchers_age_ms: Option<u64>,
    troubles: String,
    host: String,
    path: String,
}

/// Explains how a request ended, from the text of logs; `None` if no line is about it. Text before the first
/// brace of a line is ignored: log collectors put names and times there.
pub fn explain(id: &str, logs: &str) -> Option<String> {
    let mut matches: Vec<(Line, &str)> = Vec::new();
    for text in logs.lines() {
        let Some(start) = text.find('{') else {
            continue;
        };
        let Ok(line) = serde_json::from_str::<Line>(&text[start..]) else {
            continue;
        };
        if line.request == id {
            matches.push((line, text));
        }
    }
    if matches.is_empty() {
        return None;
    }
    matches.sort_by(|(a, _), (b, _)| a.timestamp.cmp(&b.timestamp));
    let mut explanation = String::new();
    for (line, text) in &matches {
        // Writing to a `String` can't fail.
        let _ = writeln!(explanation, "{text}");
        let _ = writeln!(explanation, "  {}", describe_line(line));
        for trouble in describe_troubles(&line.troubles) {
            let _ = writeln!(explanation, "  - {trouble}");
        }
    }
    Some(explanation)
}

fn describe_line(line: &Line) -> String {
    let age = |age_ms: Option<u64>| age_ms.map_or("unknown".to_owned(), |ms| format!("{ms} ms"));
    let basis = format!(
        "Decided on configuration {} (confirmed {} before) and searchers (complete {} before).",
        line.config,
        age(line.config_age_ms),
        age(line.searchers_age_ms)
    );
    let summary = match (line.name.as_str(), line.outcome.as_str()) {
        ("request_served", _) => {
            let latency_ms = line.latency_ms;
            return format!("Served whole and in time, {latency_ms:.0} ms{}.", of_tenant(line));
        }
        ("no_route", _) => {
            return format!(
                "No route of configuration {} fits {}{}.",
                line.config, line.host, line.path
            );
        }
        ("unknown_key", _) => {
            let status = if line.is_overdue { 503 } else { 401 };
            return format!(
                "Refused with status {status}: no tenant of configuration {} has its key.",
                line.config
            );
        }
        ("send_failed", _) => return "A send to a searcher failed or was rejected.".to_owned(),
        (_, "refused") => "Refused with status 503 before any searcher ran it.".to_owned(),
        (_, "failed") => format!(
            "Failed with status {} after {:.0} ms with {} of {} parts; the minimum could no longer be reached.",
            line.status, line.latency_ms, line.parts, line.parts_wanted
        ),
        (_, "timed_out") => format!(
            "Given up after {:.0} ms, its deadline or the route's timeout, with {} of {} parts.",
            line.latency_ms, line.parts, line.parts_wanted
        ),
        (_, "late") => format!(
            "Answered after {:.0} ms, {:.0} ms after its client started waiting, later than the target of {} ms, with {} of {} parts.",
            line.latency_ms,
            line.latency_ms + line.waited_ms,
            line.target_ms,
            line.parts,
            line.parts_wanted
        ),
        (_, "in_time") => format!(
            "Answered in time, without {} of {} parts.",
            line.parts_wanted.saturating_sub(line.parts),
            line.parts_wanted
        ),
        (_, "searcher_error") => {
            format!("A searcher answered with an error; the client got status {}.", line.status)
        }
        (name, outcome) => format!("{name} {outcome}"),
    };
    let tenant = of_tenant(line);
    format!("{summary} {} second sends on route {}{tenant}. {basis}", line.extra_sends, line.route)
}

/// Names the tenant of a request, if it belongs to one.
fn of_tenant(line: &Line) -> String {
    match line.tenant.as_str() {
        "" => String::new(),
        tenant => format!(" of tenant {tenant}"),
    }
}

/// Explains the items of the field `troubles`: `service:searcher:reason:outcome:time` for a send without a
/// successful answer, `service:cause` for a part that was given up.
fn describe_troubles(text: &str) -> Vec<String> {
    let mut troubles = Vec::new();
    for item in text.split(' ') {
        let fields: Vec<&str> = item.split(':').collect();
        match fields[..] {
            [service, searcher, reason, outcome, elapsed] => {
                let outcome = match outcome {
                    "open" => "had not answered",
                    "lost" => "broke off without a whole answer",
                    "rejected" => "did not run it",
                    "not_sent" => "could not be connected to",
                    other => other,
                };
                troubles.push(format!(
                    "{service}: {reason} send, {searcher} {outcome} after {elapsed}"
                ));
            }
            [service, cause] => {
                let cause = match cause {
                    "no_searcher" => "no searcher is left that was not tried",
                    "busy" => "all untried searchers are at this instance's limit of sends",
                    "no_budget" => "the budget of second sends is used up",
                    "attempts_used" => "attempts or time are used up, or it must not run twice",
                    "final_answer" => "a searcher answered with a client error",
                    other => other,
                };
                troubles.push(format!("{service}: given up, {cause}"));
            }
            _ => continue,
        }
    }
    troubles
}
