//! Checks that `docs/EVENTS.md` and the code list the same events with the same levels.

use std::collections;
use std::fs;
use std::path;
use strum::IntoEnumIterator as _;
use tarragondoor::events;

struct Row {
    number: u16,
    name: String,
    level: String,
}

fn documented_rows() -> Vec<Row> {
    let mut rows = Vec::new();
    for line in fs::read_to_string("docs/EVENTS.md").unwrap().lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let ["", number, name, level, meaning, what_to_do, ""] = cells[..] else { continue };
        let Ok(number) = number.parse() else { continue };
        assert!(
            !meaning.is_empty() && !what_to_do.is_empty(),
            "event {number} lacks its meaning or what to do"
        );
        rows.push(Row { number, name: name.to_owned(), level: level.to_owned() });
    }
    rows
}

fn collect_sources(directory: &path::Path, texts: &mut Vec<String>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, texts);
        } else if path.ends_with("src/events.rs") {
            // The doc comment of the macro contains an example call.
            continue;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            texts.push(fs::read_to_string(path).unwrap());
        }
    }
}

/// The variants named in `text`, each as `Event::Variant`.
fn variants(text: &str) -> Vec<String> {
    let names = text.split("Event::").skip(1);
    let end = |c: char| !c.is_ascii_alphanumeric();
    names.map(|name| name.split(end).next().unwrap().to_owned()).collect()
}

/// The level and the variant of each `event!` call in the sources. If the event is a variable, these are all
/// variants named in the `let` statement of the variable.
fn logged_events() -> collections::BTreeSet<(String, String)> {
    let mut texts = Vec::new();
    collect_sources(path::Path::new("src"), &mut texts);
    collect_sources(path::Path::new("platform/src"), &mut texts);
    let mut logged = collections::BTreeSet::new();
    for text in texts {
        for (position, start) in text.match_indices("event!(") {
            let (level, rest) = text[position + start.len()..].split_once(',').unwrap();
            let event = rest.split([',', ')']).next().unwrap().trim();
            let mut found = variants(event);
            if found.is_empty() && event.chars().all(|c| c.is_ascii_lowercase()) {
                let before = text[..position].rsplit(&format!("let {event} =")).next().unwrap();
                found = variants(before.split(';').next().unwrap());
                assert!(!found.is_empty(), "no variants found in the `let` of `{event}`");
            }
            for variant in found {
                logged.insert((level.trim().to_owned(), variant));
            }
        }
    }
    logged
}

#[test]
fn the_page_lists_each_event_once_in_order() {
    let documented: Vec<(u16, String)> =
        documented_rows().into_iter().map(|row| (row.number, row.name)).collect();
    let mut code: Vec<(u16, String)> = Vec::new();
    for event in events::Event::iter() {
        code.push((event.number(), event.name().to_owned()));
    }
    code.sort();
    assert_eq!(documented, code);
}

#[test]
fn each_event_is_logged_at_its_documented_level() {
    let logged = logged_events();
    let mut expected = collections::BTreeSet::new();
    for event in events::Event::iter() {
        let row = documented_rows().into_iter().find(|row| row.number == event.number()).unwrap();
        expected.insert((row.level, format!("{event:?}")));
    }
    assert_eq!(logged, expected);
}
