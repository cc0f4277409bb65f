//! Collects findings with byte offsets, which are converted to lines and columns at the end.

use crate::operator_api;
use compact_str::CompactString;
use jsonc_parser::common;

/// The findings collected so far.
#[derive(Debug, Default)]
pub(super) struct Findings {
    list: Vec<UnresolvedFinding>,
}

#[derive(Debug)]
struct UnresolvedFinding {
    offset: usize,
    severity: operator_api::Severity,
    message: CompactString,
}

impl Findings {
    /// Adds an error at the start of `range`.
    pub(super) fn error(&mut self, range: common::Range, message: impl Into<CompactString>) {
        self.add(range, operator_api::Severity::Error, message.into());
    }

    /// Adds a warning at the start of `range`.
    pub(super) fn warning(&mut self, range: common::Range, message: impl Into<CompactString>) {
        self.add(range, operator_api::Severity::Warning, message.into());
    }

    /// Whether any finding is an error; the document can't be used then.
    pub(super) fn has_errors(&self) -> bool {
        self.list.iter().any(|found| found.severity == operator_api::Severity::Error)
    }

    /// Sorts the findings by offset and converts the offsets to lines and columns, in one pass over
    /// `text`.
    pub(super) fn resolve(mut self, text: &str) -> Vec<operator_api::Finding> {
        self.list.sort_by_key(|found| found.offset);
        let mut cursor = Cursor { line: 1, column: 1 };
        let mut chars = text.char_indices().peekable();
        let mut resolved = Vec::with_capacity(self.list.len());
        for found in self.list {
            while let Some((_, c)) = chars.next_if(|&(offset, _)| offset < found.offset) {
                cursor.advance(c);
            }
            resolved.push(operator_api::Finding {
                severity: found.severity,
                line: cursor.line,
                column: cursor.column,
                message: found.message,
            });
        }
        resolved
    }

    fn add(
        &mut self,
        range: common::Range,
        severity: operator_api::Severity,
        message: CompactString,
    ) {
        self.list.push(UnresolvedFinding { offset: range.start, severity, message });
    }
}

struct Cursor {
    line: u32,
    column: u32,
}

impl Cursor {
    fn advance(&mut self, c: char) {
        if c == '\n' {
            self.line += 1;
            self.column = 1;
            return;
        }
        self.column += 1;
    }
}
