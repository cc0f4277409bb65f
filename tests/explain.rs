//! Checks that the examples in docs/OPERATIONS.md show what `explain` prints for the page's log lines.

use std::fs;
use tarragondoor::explain;

/// The log lines on the page: all lines that start as JSON log lines do.
fn lines(page: &str) -> String {
    let mut lines = String::new();
    for line in page.lines() {
        if line.trim_start().starts_with("{\"timestamp\"") {
            lines += line.trim_start();
            lines.push('\n');
        }
    }
    lines
}

/// The request ids in the `explain` commands on the page.
fn ids(page: &str) -> Vec<String> {
    let mut ids = Vec::new();
    for line in page.lines() {
        let Some(rest) = line.trim().strip_prefix("$ tarragondoor explain ") else {
            continue;
        };
        ids.push(rest.split(' ').next().unwrap().to_owned());
    }
    ids
}

#[test]
fn the_operations_page_shows_the_output_of_explain() {
    let page = fs::read_to_string("docs/OPERATIONS.md").unwrap();
    let logs = lines(&page);
    let ids = ids(&page);
    assert!(ids.len() >= 3, "the page explains at least three requests");
    for id in ids {
        let explanation =
            explain::explain(&id, &logs).expect("the page has a log line with this id");
        for line in explanation.lines().skip(1) {
            assert!(page.contains(line.trim()), "{id}: the page lacks {line:?}");
        }
    }
}

#[test]
fn prefixes_and_unrelated_lines_are_ignored() {
    let logs = "  3.1 front-1 {\"request\":\"r1\",\"name\":\"request_served\",\"latency_ms\":12.4}\n\
                not json {\n{\"request\":\"r2\"}\n";
    let explanation = explain::explain("r1", logs).unwrap();
    assert!(explanation.ends_with("  Served whole and in time, 12 ms.\n"), "{explanation}");
    assert_eq!(explain::explain("r3", logs), None);
}
