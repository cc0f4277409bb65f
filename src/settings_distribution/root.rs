//! The root: the one value in the platform that says which revision is in force.

use super::api;
use crate::document;
use crate::ids;
use crate::plan;
use serde::{Deserialize, Serialize};

/// How many commits the root remembers.
pub const HISTORY_MAX: usize = 64;

/// A plan that was committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The plan.
    pub plan: plan::PlanId,
    /// The revision that it became.
    pub revision: ids::Revision,
}

/// The root, as the platform holds it in JSON. It changes only by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// The revision in force.
    pub revision: ids::Revision,
    /// Its document.
    pub document: document::DocumentHash,
    /// The plan that it came from.
    pub plan: plan::PlanId,
    /// The last commits, the newest last.
    pub history: Vec<Committed>,
}

/// What a root says of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlanStatus {
    /// It was committed.
    Committed(api::Version),
    /// It can be committed.
    Committable,
    /// It was not and never will be committed.
    Conflict,
    /// It is older than the history, and may have been committed.
    TooOld,
    /// It was made from a revision that does not exist.
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

/// What `root` says of `plan`.
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
