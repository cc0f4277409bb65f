//! Checks a settings document: JSON with comments, with all findings collected and reported together.

mod findings;
mod reader;
mod rules;

use crate::operator_api;
use crate::settings;
use jsonc_parser::common;

/// The maximum size of a settings document, in bytes of text.
pub const DOCUMENT_MAX_BYTES: usize = 1 << 20;

const OPTIONS: jsonc_parser::ParseOptions = jsonc_parser::ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses and checks `text`. Returns the sorted settings with the warnings or, if the document can't be
/// used, all findings. Warnings and findings are in document order.
pub fn parse(
    text: &str,
) -> Result<(settings::Settings, Vec<operator_api::Finding>), Vec<operator_api::Finding>> {
    let mut findings = findings::Findings::default();
    let parsed = read(text, &mut findings);
    let usable = !findings.has_errors();
    let list = findings.resolve(text);
    match parsed {
        Some(settings) if usable => Ok((settings, list)),
        _ => Err(list),
    }
}

fn read(text: &str, findings: &mut findings::Findings) -> Option<settings::Settings> {
    if text.len() > DOCUMENT_MAX_BYTES {
        findings.error(START, format!("the document has more than {DOCUMENT_MAX_BYTES} bytes"));
        return None;
    }
    let collect = jsonc_parser::CollectOptions::default();
    let root = match jsonc_parser::parse_to_ast(text, &collect, &OPTIONS) {
        Ok(result) => result.value,
        Err(error) => {
            findings.error(error.range(), format!("syntax error: {}", error.kind()));
            return None;
        }
    };
    let Some(root) = root else {
        findings.error(START, "the document is empty");
        return None;
    };
    reader::settings(&root, findings)
}

const START: common::Range = common::Range { start: 0, end: 0 };
