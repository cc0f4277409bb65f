//! `docs/EVENTS.md` and the code name the same events, with the same levels.

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

fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    for line in fs::read_to_string("docs/EVENTS.md").unwrap().lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let ["", number, name, level, meaning, what_to_do, ""] = cells[..] else { continue };
        let Ok(number) = number.parse() else { continue };
        assert!(!meaning.is_empty() && !what_to_do.is_empty(), "{number} says nothing");
        rows.push(Row { number, name: name.to_owned(), level: level.to_owned() });
    }
    rows
}

fn sources(directory: &path::Path, texts: &mut Vec<String>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, texts);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            texts.push(fs::read_to_string(path).unwrap());
        }
    }
}

/// The level and the variant of each `event!` in the sources.
fn logged() -> collections::BTreeSet<(String, String)> {
    let mut texts = Vec::new();
    sources(path::Path::new("src"), &mut texts);
    let mut logged = collections::BTreeSet::new();
    for text in texts {
        for part in text.split("event!(").skip(1) {
            let Some((level, rest)) = part.split_once(',') else { continue };
            let path = rest.split([',', ')']).next().unwrap().trim();
            if let Some(variant) =
                path.strip_prefix("events::").unwrap_or(path).strip_prefix("Event::")
            {
                logged.insert((level.trim().to_owned(), variant.to_owned()));
            }
        }
    }
    // The example in the macro's own comment.
    assert!(logged.len() > 1, "no event! was found");
    logged
}

#[test]
fn the_catalogue_has_each_event_once_in_order() {
    let catalogue: Vec<(u16, String)> =
        rows().into_iter().map(|row| (row.number, row.name)).collect();
    let mut code: Vec<(u16, String)> = Vec::new();
    for event in events::Event::iter() {
        code.push((event.number(), event.name().to_owned()));
    }
    code.sort();
    assert_eq!(catalogue, code);
}

#[test]
fn each_event_is_logged_at_its_level() {
    let logged = logged();
    let mut expected = collections::BTreeSet::new();
    for event in events::Event::iter() {
        let row = rows().into_iter().find(|row| row.number == event.number()).unwrap();
        expected.insert((row.level, format!("{event:?}")));
    }
    assert_eq!(logged, expected);
}
