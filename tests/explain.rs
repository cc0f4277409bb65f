//! The lines of docs/OPERATIONS.md are what the program writes, and `explain` says what the page says.

use std::fs;
use tarragondoor::explain;

/// The log lines of the page: those in its code blocks that are JSON.
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

/// The commands of the page, as the ids that they ask for.
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
fn the_operators_page_shows_what_explain_says() {
    let page = fs::read_to_string("docs/OPERATIONS.md").unwrap();
    let logs = lines(&page);
    let ids = ids(&page);
    assert!(ids.len() >= 3, "three kinds of failed requests");
    for id in ids {
        let explanation = explain::explain(&id, &logs).expect("a line of the page");
        for line in explanation.lines().skip(1) {
            assert!(page.contains(line.trim()), "{id}: the page lacks {line:?}");
        }
    }
}

#[test]
fn text_before_a_line_and_other_lines_are_passed_over() {
    let logs = "  3.1 front-1 {\"request\":\"r1\",\"name\":\"request_served\",\"latency_ms\":12.4}\n\
                not json {\n{\"request\":\"r2\"}\n";
    let explanation = explain::explain("r1", logs).unwrap();
    assert!(explanation.ends_with("  Served whole and in time, 12 ms.\n"), "{explanation}");
    assert_eq!(explain::explain("r3", logs), None);
}
