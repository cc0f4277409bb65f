//! The API for operators: HTTP/1.1 with JSON bodies and `authorization: Bearer TOKEN`.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/operator/plans` | [`DeclareCall`] | 200 [`Plan`], 422 [`FindingsReply`] |
//! | `POST /v1/operator/confirm` | [`ConfirmCall`] | 200 [`ConfirmReply`] |
//! | `GET /v1/operator/status` | none | 200 [`StatusReply`] |
//!
//! Errors are [`crate::caller_api::ErrorReply`].

use crate::ids;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net;

/// Declares settings; the answer is a plan. The settings in force do not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclareCall {
    /// The settings document, as written: JSON with comments.
    pub document: String,
}

/// The severity of a finding.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Severity {
    /// The document can't be used.
    Error,
    /// The document can be used, but the operator should review it.
    Warning,
}

/// An error or a warning about a settings document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The severity.
    pub severity: Severity,
    /// The line, counted from 1.
    pub line: u32,
    /// The column in characters, counted from 1.
    pub column: u32,
    /// The description.
    pub message: CompactString,
}

/// All findings of a document that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingsReply {
    /// The findings, in the order of the document.
    pub findings: Vec<Finding>,
}

/// A plan: what a confirmation would change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The plan's id: `<base revision>-<content hash>`. Any instance can confirm it.
    pub plan: CompactString,
    /// The revision that the plan was made from.
    pub base_revision: ids::Revision,
    /// What changes, one line each, in the order of the document.
    pub changes: Vec<CompactString>,
    /// The limits and shares that result, one line each.
    pub results: Vec<CompactString>,
    /// The warnings about the declared document.
    pub warnings: Vec<Finding>,
}

/// Confirms a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmCall {
    /// The plan's id.
    pub plan: CompactString,
    /// How long to wait until the plan is accepted.
    pub wait_ms: u32,
}

/// The state of a confirmed plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ConfirmReply {
    /// The plan is in force on every instance, permanently.
    Accepted {
        /// The revision.
        revision: ids::Revision,
    },
    /// Committed, but not known to be in force everywhere. Confirm the same plan again.
    Pending {
        /// The revision.
        revision: ids::Revision,
        /// The instances that the acceptance waits for, sorted.
        waiting_for: Vec<ids::InstanceName>,
    },
    /// Nothing changed: the settings in force are no longer those that the plan was made from.
    Conflict {
        /// The revision in force.
        in_force: ids::Revision,
    },
    /// The platform did not answer; the plan may have been committed. Confirm the same plan
    /// again.
    Unsettled,
    /// Nothing changed: the plan is not known.
    UnknownPlan,
}

/// One instance, as the answering instance knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: ids::InstanceName,
    /// Its boot.
    pub boot: ids::BootId,
    /// Its region.
    pub region: ids::RegionName,
    /// Its failure domain.
    pub failure_domain: ids::DomainName,
    /// Its address for callers.
    pub address: net::SocketAddr,
    /// The member's state, such as `alive`.
    pub state: CompactString,
    /// The revision that it last reported as in force.
    pub revision: ids::Revision,
    /// Whether this revision is older than the newest one known.
    pub behind: bool,
}

/// All instances and the newest revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The instance that answers.
    pub answered_by: ids::InstanceName,
    /// The newest revision that it knows to be committed.
    pub newest: ids::Revision,
    /// The instances, sorted by name.
    pub instances: Vec<InstanceStatus>,
}
