//! The difference between two documents.

use super::{Document, DocumentError, DocumentHash};
use crate::ids;
use crate::settings;
use serde::{Deserialize, Serialize};

/// The changes from one document to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The hash of the document that the changes apply to.
    pub base: DocumentHash,
    /// The hash of the resulting document.
    pub result: DocumentHash,
    /// All ranks, if any of them changed.
    pub ranks: Option<Vec<settings::RankPolicy>>,
    /// Services that were changed or added, sorted by name.
    pub changed: Vec<settings::ServicePolicy>,
    /// Services that were removed, sorted.
    pub removed: Vec<ids::ServiceName>,
}

impl Delta {
    pub(super) fn between(base: &Document, new: &Document) -> Self {
        let (old, target) = (base.settings(), new.settings());
        let ranks = (old.ranks != target.ranks).then(|| target.ranks.clone());
        let mut changed = Vec::new();
        for policy in &target.services {
            if old.service(&policy.service) != Some(policy) {
                changed.push(policy.clone());
            }
        }
        let mut removed = Vec::new();
        for policy in &old.services {
            if target.service(&policy.service).is_none() {
                removed.push(policy.service.clone());
            }
        }
        Self { base: base.hash(), result: new.hash(), ranks, changed, removed }
    }

    pub(super) fn apply(&self, base: &Document) -> Result<Document, DocumentError> {
        if base.hash() != self.base {
            return Err(DocumentError::WrongBase { expected: self.base, found: base.hash() });
        }
        let old = base.settings();
        let ranks = self.ranks.as_ref().unwrap_or(&old.ranks).clone();
        let mut services = self.changed.clone();
        for policy in &old.services {
            let replaced = services[..self.changed.len()]
                .binary_search_by(|changed| changed.service.cmp(&policy.service))
                .is_ok();
            if replaced || self.removed.binary_search(&policy.service).is_ok() {
                continue;
            }
            services.push(policy.clone());
        }
        Document::new(settings::Settings { ranks, services })?.verify_hash(self.result)
    }
}
