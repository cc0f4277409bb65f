//! What a check finds.

use compact_str::CompactString;
use std::fmt;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Severity {
    /// The configuration can't do what it says.
    Error,
    /// A part of the configuration has no effect, or probably not the intended one.
    Warning,
}

/// One finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// Where it is, such as `tenant t1: burst`.
    pub place: CompactString,
    /// What is wrong.
    pub message: CompactString,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.severity, self.place, self.message)
    }
}

/// The findings so far.
#[derive(Clone, Debug, Default)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Adds an error.
    pub fn error(&mut self, place: impl Into<CompactString>, message: impl Into<CompactString>) {
        self.add(Severity::Error, place.into(), message.into());
    }

    /// Adds a warning.
    pub fn warning(&mut self, place: impl Into<CompactString>, message: impl Into<CompactString>) {
        self.add(Severity::Warning, place.into(), message.into());
    }

    /// Returns all findings, errors first.
    pub fn into_sorted(mut self) -> Vec<Finding> {
        self.0.sort_by_key(|finding| finding.severity);
        self.0
    }

    fn add(&mut self, severity: Severity, place: CompactString, message: CompactString) {
        self.0.push(Finding { severity, place, message });
    }
}
