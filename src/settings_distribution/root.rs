//! The root: the single value in the platform's store that names the revision in force.

use super::api;
use crate::document;
use crate::ids;
use crate::plan;
use serde::{Deserialize, Serialize};

/// How many of the latest commits the root lists.
pub const HISTORY_MAX: usize = 64;

/// A committed plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The plan.
    pub plan: plan::PlanId,
    /// The revision that it created.
    pub revision: ids::Revision,
}

/// The root, stored by the platform as JSON. It changes only by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// The revision in force.
    pub revision: ids::Revision,
    /// Its document.
    pub document: document::DocumentHash,
    /// The plan that created it.
    pub plan: plan::PlanId,
    /// The latest commits, the newest last.
    pub history: Vec<Committed>,
}

/// Status of a plan according to the root.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlanStatus {
    /// It was committed.
    Committed(api::Version),
    /// It can be committed.
    Committable,
    /// Another plan was committed on the same base; this one never will be.
    Conflict,
    /// It is older than the history; whether it was committed is unknown.
    TooOld,
    /// Its base revision does not exist.
    UnknownBase,
}

impl Root {
    /// The revision with its document.
    pub fn version(&self) -> api::Version {
        api::Version { revision: self.revision, document: self.document }
    }

    /// The root after `plan` is committed on top of `before`.
    pub(super) fn after(before: Option<&Root>, plan: plan::PlanId) -> Root {
        let mut history = before.map(|root| root.history.clone()).unwrap_or_default();
        let revision = plan.revision();
        history.push(Committed { plan, revision });
        let surplus = history.len().saturating_sub(HISTORY_MAX);
        history.drain(..surplus);
        Root { revision, document: plan.document, plan, history }
    }

    pub(super) fn parse(value: &str) -> Option<Root> {
        serde_json::from_str(value).ok()
    }

    pub(super) fn to_value(&self) -> Option<String> {
        serde_json::to_string(self).ok()
    }
}

/// Determines the status of `plan` from `root`; `None` is a store without a root.
pub(super) fn plan_status(root: Option<&Root>, plan: plan::PlanId) -> PlanStatus {
    let in_force = root.map_or(ids::Revision(0), |root| root.revision);
    if plan.base == in_force {
        return PlanStatus::Committable;
    }
    let Some(root) = root else { return PlanStatus::UnknownBase };
    if plan.base > in_force {
        return PlanStatus::UnknownBase;
    }
    for committed in &root.history {
        if committed.revision != plan.revision() {
            continue;
        }
        if committed.plan != plan {
            return PlanStatus::Conflict;
        }
        let version =
            api::Version { revision: committed.revision, document: committed.plan.document };
        return PlanStatus::Committed(version);
    }
    PlanStatus::TooOld
}
