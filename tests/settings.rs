//! Tests the check of settings documents with the shipped examples, a table of invalid documents, and
//! arbitrary and corrupted text.

use tarragondoor::check;
use tarragondoor::operator_api;
use tarragondoor::rank;

const SEEDLING: &str = include_str!("../examples/seedling.jsonc");
const DELA_PAZ: &str = include_str!("../examples/dela-paz.jsonc");

fn render(text: &str) -> String {
    let (verdict, findings) = match check::parse(text) {
        Ok((_, warnings)) => ("usable", warnings),
        Err(findings) => ("not usable", findings),
    };
    let mut lines = vec![verdict.to_string()];
    for operator_api::Finding { severity, line, column, message } in findings {
        lines.push(format!("{line}:{column} {severity}: {message}"));
    }
    lines.join("\n")
}

#[test]
fn examples_declare_the_expected_services_and_searchers() {
    for (text, searchers) in [(SEEDLING, 75 + 13 + 6), (DELA_PAZ, 75 + 20 + 10)] {
        let (settings, warnings) = check::parse(text).expect("a shipped example is usable");
        assert_eq!(warnings, []);
        assert_eq!(settings.services.len(), 27);
        let sum: u32 = settings.services.iter().map(|policy| u32::from(policy.searchers)).sum();
        assert_eq!(sum, searchers);
        assert!(settings.services.is_sorted_by(|a, b| a.service < b.service));
        let ranks: Vec<rank::Rank> = settings.ranks.iter().map(|policy| policy.rank).collect();
        assert_eq!(ranks, rank::Rank::ALL);
    }
}

const RANKS: &str = r#""ranks": [
  { "rank": "background", "target_ms": 900, "floor_percent": 10 },
  { "rank": "urgent", "target_ms": 100, "floor_percent": 40 },
  { "rank": "standard", "target_ms": 300, "floor_percent": 30 }
]"#;

fn service(name: &str, rest: &str) -> String {
    format!(r#"{{ "service": "{name}", "searchers": 3, {rest} "limit_max": 50 }}"#)
}

const VALID_FIELDS: &str = r#""slots_per_searcher": 5, "connections_per_searcher": 40, "hedge_percent": 5, "operations": [],"#;

fn with_services(services: &[String]) -> String {
    format!("{{ {RANKS},\n\"services\": [\n{}\n] }}", services.join(",\n"))
}

fn with_ranks(ranks: &str) -> String {
    format!("{{ \"services\": [{}],\n\"ranks\": {ranks} }}", service("peas", VALID_FIELDS))
}

#[test]
fn findings_are_reported_with_line_and_column() {
    let valid = service("peas", VALID_FIELDS);
    let cases = [
        ("empty", String::new()),
        ("not an object", "[]".to_string()),
        ("syntax error", "{ \"ranks\": [\n  { \"rank\" \"urgent\" } ] }".to_string()),
        ("missing fields", "{}".to_string()),
        (
            "wrong types",
            "{ \"ranks\": 7,\n \"services\": [ 1, null, { \"service\": 3 } ] }".to_string(),
        ),
        (
            "unknown fields",
            format!("{{ {RANKS}, \"servces\": [],\n\"services\": [{valid}], \"colour\": 1 }}"),
        ),
        ("field twice", format!("{{ {RANKS},\n\"services\": [{valid}],\n\"services\": [] }}")),
        (
            "out of range",
            with_services(&[service(
                "peas",
                r#""slots_per_searcher": 0, "connections_per_searcher": 70000, "hedge_percent": 51, "operations": [],"#,
            )]),
        ),
        (
            "odd numbers",
            with_services(&[service(
                "peas",
                r#""slots_per_searcher": 1.5, "connections_per_searcher": -1, "hedge_percent": 1e1, "operations": [],"#,
            )]),
        ),
        (
            "bad names",
            with_services(&[service(
                "green peas",
                r#""slots_per_searcher": 5, "connections_per_searcher": 40, "hedge_percent": 5, "operations": ["", "cl/aim", 5],"#,
            )]),
        ),
        (
            "declared twice",
            with_services(&[
                valid.clone(),
                service(
                    "beans",
                    r#""slots_per_searcher": 5, "connections_per_searcher": 40, "hedge_percent": 5, "operations": ["claim", "claim"],"#,
                ),
                valid.clone(),
            ]),
        ),
        (
            "connections",
            with_services(&[
                service(
                    "peas",
                    r#""slots_per_searcher": 5, "connections_per_searcher": 4, "hedge_percent": 5, "operations": [],"#,
                ),
                service(
                    "beans",
                    r#""slots_per_searcher": 5, "connections_per_searcher": 13, "hedge_percent": 5, "operations": [],"#,
                ),
            ]),
        ),
        ("no services", with_services(&[])),
        ("no ranks", with_ranks("[]")),
        (
            "floors above 100",
            with_ranks(
                r#"[
  { "rank": "urgent", "target_ms": 100, "floor_percent": 50 },
  { "rank": "standard", "target_ms": 300, "floor_percent": 41 },
  { "rank": "background", "target_ms": 900, "floor_percent": 10 } ]"#,
            ),
        ),
        (
            "targets out of order, no floor",
            with_ranks(
                r#"[
  { "rank": "urgent", "target_ms": 100, "floor_percent": 50 },
  { "rank": "standard", "target_ms": 99, "floor_percent": 0 },
  { "rank": "background", "target_ms": 900, "floor_percent": 10 } ]"#,
            ),
        ),
        (
            "rank twice, rank unknown",
            with_ranks(
                r#"[
  { "rank": "urgent", "target_ms": 100, "floor_percent": 50 },
  { "rank": "urgent", "target_ms": 100, "floor_percent": 10 },
  { "rank": "lazy", "target_ms": 900, "floor_percent": 10 } ]"#,
            ),
        ),
        ("wide characters before the place", "{ /* größer 🌱 */ \"rank\": 1 }".to_string()),
        ("deep nesting", "[".repeat(100_000)),
        ("too large", " ".repeat(check::DOCUMENT_MAX_BYTES + 1)),
    ];
    let mut lines = Vec::new();
    for (name, text) in cases {
        lines.push(format!("## {name}\n{}\n", render(&text)));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn arbitrary_text_never_panics() {
    fn property(text: String) -> bool {
        let _ = check::parse(&text);
        true
    }
    quickcheck::quickcheck(property as fn(String) -> bool);
}

#[test]
fn corrupted_examples_are_usable_or_have_findings_with_lines() {
    fn property(at: usize, byte: u8) -> bool {
        let mut bytes = SEEDLING.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        let Ok(text) = String::from_utf8(bytes) else { return true };
        match check::parse(&text) {
            Ok(_) => true,
            Err(findings) => {
                let lines = text.lines().count() as u32 + 1;
                !findings.is_empty()
                    && findings.iter().all(|found| (1..=lines).contains(&found.line))
            }
        }
    }
    quickcheck::quickcheck(property as fn(usize, u8) -> bool);
}
