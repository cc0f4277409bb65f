//! Reads settings from the syntax tree field by field, and continues after an error to collect all
//! findings.

use super::findings;
use super::rules;
use crate::ids;
use crate::rank;
use crate::settings;
use jsonc_parser::ast;
use jsonc_parser::common;
use jsonc_parser::common::Ranged;
use std::ops;
use std::str::FromStr;

/// A value and its position in the document.
#[derive(Debug)]
pub(super) struct Spanned<T> {
    /// Its byte range in the document.
    pub(super) range: common::Range,
    /// The value.
    pub(super) value: T,
}

/// The maximum edit distance at which a known field is suggested for an unknown one.
const SUGGESTION_DISTANCE_MAX: usize = 3;

const NAME_FORMAT: &str = "a name of 1 to 64 letters, digits, '-', '_' and '.'";

const ROOT_FIELDS: &[&str] = &["ranks", "services"];
const RANK_FIELDS: &[&str] = &["rank", "target_ms", "floor_percent"];
const SERVICE_FIELDS: &[&str] = &[
    "service",
    "searchers",
    "slots_per_searcher",
    "connections_per_searcher",
    "hedge_percent",
    "limit_max",
    "operations",
];

/// Reads the whole document. Returns `None` if it is not an object or lacks the array of ranks or of
/// services.
pub(super) fn settings(
    root: &ast::Value<'_>,
    findings: &mut findings::Findings,
) -> Option<settings::Settings> {
    let mut fields = Fields::new(root, ROOT_FIELDS, findings)?;
    let ranks = fields.array("ranks");
    let services = fields.array("services");
    let ranks = ranks.map(|array| {
        let list = read_elements(array, findings, rank_policy);
        let complete = list.len() == array.elements.len();
        rules::ranks(array.range, &list, complete, findings);
        list
    });
    let services = services.map(|array| {
        let list = read_elements(array, findings, service_policy);
        if array.elements.is_empty() {
            findings.warning(array.range, "no service is declared, nothing will be served");
        }
        rules::services(array.range, &list, findings);
        list
    });
    let mut ranks = values(ranks?);
    let mut services = values(services?);
    ranks.sort_by_key(|policy| policy.rank);
    services.sort_by(|a, b| a.service.cmp(&b.service));
    Some(settings::Settings { ranks, services })
}

fn values<T>(list: Vec<Spanned<T>>) -> Vec<T> {
    list.into_iter().map(|spanned| spanned.value).collect()
}

fn read_elements<T>(
    array: &ast::Array<'_>,
    findings: &mut findings::Findings,
    read: impl Fn(&ast::Value<'_>, &mut findings::Findings) -> Option<T>,
) -> Vec<Spanned<T>> {
    let mut list = Vec::with_capacity(array.elements.len());
    for element in &array.elements {
        let Some(value) = read(element, findings) else { continue };
        list.push(Spanned { range: element.range(), value });
    }
    list
}

fn rank_policy(
    element: &ast::Value<'_>,
    findings: &mut findings::Findings,
) -> Option<settings::RankPolicy> {
    let mut fields = Fields::new(element, RANK_FIELDS, findings)?;
    let rank = fields.name::<rank::Rank>("rank", "'urgent', 'standard' or 'background'");
    let target_ms = fields.number("target_ms", 1..=settings::TARGET_MAX_MS);
    let floor_percent = fields.number("floor_percent", 0..=100);
    Some(settings::RankPolicy { rank: rank?, target_ms: target_ms?, floor_percent: floor_percent? })
}

fn service_policy(
    element: &ast::Value<'_>,
    findings: &mut findings::Findings,
) -> Option<settings::ServicePolicy> {
    let mut fields = Fields::new(element, SERVICE_FIELDS, findings)?;
    let service = fields.name::<ids::ServiceName>("service", NAME_FORMAT);
    let searchers = fields.number("searchers", 1..=settings::SEARCHERS_MAX);
    let slots_per_searcher = fields.number("slots_per_searcher", 1..=settings::SLOTS_MAX);
    let connections_per_searcher =
        fields.number("connections_per_searcher", 1..=settings::CONNECTIONS_MAX);
    let hedge_percent = fields.number("hedge_percent", 0..=settings::HEDGE_PERCENT_MAX);
    let limit_max = fields.number("limit_max", 1..=settings::LIMIT_MAX);
    let operations = fields.array("operations");
    let operations = operations.map(|array| read_operations(array, findings));
    Some(settings::ServicePolicy {
        service: service?,
        searchers: searchers?,
        slots_per_searcher: slots_per_searcher?,
        connections_per_searcher: connections_per_searcher?,
        hedge_percent: hedge_percent?,
        limit_max: limit_max?,
        operations: operations?,
    })
}

fn read_operations(
    array: &ast::Array<'_>,
    findings: &mut findings::Findings,
) -> Vec<ids::OperationName> {
    let list = read_elements(array, findings, |element, findings| {
        parse_name::<ids::OperationName>(element, "an operation", NAME_FORMAT, findings)
    });
    rules::operations(array.range, &list, findings);
    let mut list = values(list);
    list.sort();
    list
}

fn parse_name<T: FromStr>(
    value: &ast::Value<'_>,
    what: &str,
    expected: &str,
    findings: &mut findings::Findings,
) -> Option<T> {
    let Some(text) = value.as_string_lit() else {
        let found = type_name(value);
        findings.error(value.range(), format!("{what} must be {expected}, not {found}"));
        return None;
    };
    match text.value.parse() {
        Ok(name) => Some(name),
        Err(_) => {
            let found = text.value.escape_debug();
            findings.error(value.range(), format!("{what} must be {expected}, not \"{found}\""));
            None
        }
    }
}

fn type_name(value: &ast::Value<'_>) -> &'static str {
    match value {
        ast::Value::StringLit(_) => "a string",
        ast::Value::NumberLit(_) => "a number",
        ast::Value::BooleanLit(_) => "a boolean",
        ast::Value::Object(_) => "an object",
        ast::Value::Array(_) => "an array",
        ast::Value::NullKeyword(_) => "null",
    }
}

/// The fields of one object.
struct Fields<'a, 'f> {
    object: &'a ast::Object<'a>,
    findings: &'f mut findings::Findings,
}

impl<'a, 'f> Fields<'a, 'f> {
    fn new(
        value: &'a ast::Value<'a>,
        known: &[&str],
        findings: &'f mut findings::Findings,
    ) -> Option<Self> {
        let Some(object) = value.as_object() else {
            findings.error(value.range(), format!("expected an object, not {}", type_name(value)));
            return None;
        };
        check_field_names(object, known, findings);
        Some(Self { object, findings })
    }

    fn required(&mut self, field: &str) -> Option<&'a ast::Value<'a>> {
        let Some(property) = self.object.get(field) else {
            self.findings.error(self.object.range, format!("missing field '{field}'"));
            return None;
        };
        Some(&property.value)
    }

    fn array(&mut self, field: &str) -> Option<&'a ast::Array<'a>> {
        let value = self.required(field)?;
        let Some(array) = value.as_array() else {
            let found = type_name(value);
            self.findings.error(value.range(), format!("'{field}' must be an array, not {found}"));
            return None;
        };
        Some(array)
    }

    fn name<T: FromStr>(&mut self, field: &str, expected: &str) -> Option<T> {
        let value = self.required(field)?;
        parse_name(value, &format!("'{field}'"), expected, self.findings)
    }

    fn number<T: FromStr + PartialOrd + std::fmt::Display>(
        &mut self,
        field: &str,
        accepted: ops::RangeInclusive<T>,
    ) -> Option<T> {
        let value = self.required(field)?;
        let (start, end) = (accepted.start(), accepted.end());
        let expected = format!("'{field}' must be a whole number from {start} to {end}");
        let Some(number) = value.as_number_lit() else {
            self.findings.error(value.range(), format!("{expected}, not {}", type_name(value)));
            return None;
        };
        match number.value.parse() {
            Ok(parsed) if accepted.contains(&parsed) => Some(parsed),
            _ => {
                self.findings.error(value.range(), format!("{expected}, not {}", number.value));
                None
            }
        }
    }
}

fn check_field_names(object: &ast::Object<'_>, known: &[&str], findings: &mut findings::Findings) {
    for (index, property) in object.properties.iter().enumerate() {
        let name = property.name.as_str();
        if !known.contains(&name) {
            findings.error(property.range, unknown_field(name, known));
            continue;
        }
        if object.properties[..index].iter().any(|earlier| earlier.name.as_str() == name) {
            findings.error(property.range, format!("field '{name}' is given twice"));
        }
    }
}

fn unknown_field(name: &str, known: &[&str]) -> String {
    let nearest = known
        .iter()
        .map(|candidate| (edit_distance(name, candidate), candidate))
        .min_by_key(|(distance, _)| *distance);
    match nearest {
        Some((distance, candidate)) if distance <= SUGGESTION_DISTANCE_MAX => {
            format!("unknown field '{name}', did you mean '{candidate}'?")
        }
        _ => format!("unknown field '{name}', expected one of {}", known.join(", ")),
    }
}

fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
