//! Operators' requests in progress and the stage that each has reached.

use super::api;
use super::root;
use super::survey;
use crate::document;
use crate::operator_api;
use crate::plan;
use std::sync;

/// Delay before a failed call to the platform is repeated.
const RETRY_MS: u64 = 200;

/// An operator's request in progress.
#[derive(Debug)]
pub(super) struct Operation {
    pub(super) id: u64,
    /// 0 once the operation has its result.
    pub(super) deadline_ms: u64,
    /// The request id of the call to the platform that is in flight.
    pub(super) request: Option<u64>,
    pub(super) retry_at_ms: u64,
    pub(super) stage: Stage,
}

impl Operation {
    /// Delays the next call to the platform.
    pub(super) fn delay_retry(&mut self, now_ms: u64) {
        self.retry_at_ms = now_ms + RETRY_MS;
    }

    /// Whether the next call to the platform may be made.
    pub(super) fn may_call(&self, now_ms: u64) -> bool {
        self.request.is_none() && now_ms >= self.retry_at_ms
    }
}

/// Settings that an operator has declared.
#[derive(Clone, Debug)]
pub(super) struct Declaration {
    pub(super) document: sync::Arc<document::Document>,
    pub(super) warnings: Vec<operator_api::Finding>,
}

/// The stage of an operation.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// Reads the root to find the base of the plan.
    DeclareRoot(Declaration),
    /// Waits until the base is in force here.
    DeclareBase(Declaration, Option<api::Version>),
    /// Stores the document.
    DeclarePut(Declaration, operator_api::Plan),
    /// Reads the root to determine whether the plan is already committed.
    ConfirmRoot(plan::PlanId),
    /// Reads the plan's document. The number is the root's store revision, which the swap expects.
    ConfirmDocument(plan::PlanId, Option<root::Root>, u64),
    /// Swaps the root.
    ConfirmPut(plan::PlanId, root::Root, u64),
    /// Waits until the revision is in force everywhere.
    AwaitAcceptance(api::Version, survey::Survey),
}

impl Stage {
    /// The call to the platform that the stage needs; `None` if it needs none.
    pub(super) fn call(&self) -> Option<api::PlatformCall> {
        match self {
            Stage::DeclareRoot(_) | Stage::ConfirmRoot(_) => {
                Some(api::PlatformCall::Get(api::Key::Root))
            }
            Stage::DeclareBase(..) | Stage::AwaitAcceptance(..) => None,
            Stage::DeclarePut(declaration, _) => Some(api::PlatformCall::Put {
                key: api::Key::Document(declaration.document.hash()),
                expected: 0,
                value: declaration.document.to_value(),
            }),
            Stage::ConfirmDocument(plan, ..) => {
                Some(api::PlatformCall::Get(api::Key::Document(plan.document)))
            }
            Stage::ConfirmPut(_, root, expected) => Some(api::PlatformCall::Put {
                key: api::Key::Root,
                expected: *expected,
                value: root.to_value()?,
            }),
        }
    }
}
