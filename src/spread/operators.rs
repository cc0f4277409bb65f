//! Declarations and confirmations.

use super::api;
use super::operation::{Declaration, Operation, Stage};
use super::root;
use super::survey;
use super::{Purpose, Spread};
use crate::document;
use crate::ids;
use crate::operator_api::ConfirmReply;
use crate::plan;
use std::mem;
use std::sync;

/// How long a declaration may take.
const DECLARE_WAIT_MS: u64 = 5_000;

/// The longest that a confirmation waits.
const CONFIRM_WAIT_MAX_MS: u64 = 30_000;

/// Above this many instances the gossip gets a head start on the queries.
const HEAD_START_PEERS: usize = 32;

/// The head start.
const HEAD_START_MS: u64 = 400;

/// Whether queries may go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Asking {
    /// They may.
    Yes,
    /// They may not.
    No,
}

impl Spread {
    pub(super) fn declare(&mut self, ticket: u64, declaration: Declaration) {
        self.cache(declaration.document.clone());
        self.operate(ticket, DECLARE_WAIT_MS, Stage::DeclareRoot(declaration));
    }

    pub(super) fn confirm(&mut self, ticket: u64, plan: plan::PlanId, wait_ms: u64) {
        self.operate(ticket, wait_ms.min(CONFIRM_WAIT_MAX_MS), Stage::ConfirmRoot(plan));
    }

    fn operate(&mut self, ticket: u64, wait_ms: u64, stage: Stage) {
        self.operations.push(Operation {
            ticket,
            deadline_ms: self.now_ms + wait_ms,
            request: None,
            retry_at_ms: 0,
            stage,
        });
        self.drive_operations(Asking::Yes);
    }

    /// Hands the platform's answer to the operation that asked for it.
    pub(super) fn operation_answered(&mut self, request: u64, reply: &api::PlatformReply) {
        let mut operations = mem::take(&mut self.operations);
        for operation in &mut operations {
            if operation.request != Some(request) {
                continue;
            }
            operation.request = None;
            self.answered(operation, reply);
        }
        operations.append(&mut self.operations);
        self.operations = operations;
        self.drive_operations(Asking::Yes);
    }

    /// Moves every operation on as far as it goes, and ends those that are done or late.
    pub(super) fn drive_operations(&mut self, asking: Asking) {
        let mut kept = Vec::new();
        for mut operation in mem::take(&mut self.operations) {
            if !self.drive(&mut operation, asking) {
                kept.push(operation);
            }
        }
        self.operations = kept;
    }

    /// Hands an instance's answer to its survey. Between ticks the outcome is looked at only once all
    /// may have answered.
    pub(super) fn survey_answered(&mut self, nonce: u64, answer: impl Fn(&mut survey::Survey)) {
        let mut complete = false;
        for operation in &mut self.operations {
            let Stage::Collect(_, survey) = &mut operation.stage else { continue };
            if survey.nonce != nonce {
                continue;
            }
            answer(survey);
            complete = survey.answers() >= self.peers.all().len();
        }
        if complete {
            self.drive_operations(Asking::No);
        }
    }

    fn answered(&mut self, operation: &mut Operation, reply: &api::PlatformReply) {
        let next = match &operation.stage {
            Stage::DeclareRoot(declaration) => match self.read_root(reply) {
                Some((root, _)) => {
                    let base = root.map(|root| root.version());
                    Some(Stage::DeclareBase(declaration.clone(), base))
                }
                None => None,
            },
            Stage::DeclarePut(_, plan) => match reply {
                api::PlatformReply::Written { .. } | api::PlatformReply::Mismatch => {
                    let result = Ok(plan.clone());
                    self.out.push(api::Output::Declared { ticket: operation.ticket, result });
                    operation.deadline_ms = 0;
                    None
                }
                _ => None,
            },
            Stage::ConfirmRoot(plan) => {
                let plan = *plan;
                match self.read_root(reply) {
                    Some((root, store_revision)) => {
                        self.judge(operation, plan, root, store_revision)
                    }
                    None => None,
                }
            }
            Stage::ConfirmDocument(plan, root, store_revision) => match reply {
                api::PlatformReply::Found { value, .. } => {
                    self.document_found(*plan, root.as_ref(), *store_revision, value)
                }
                api::PlatformReply::Absent => {
                    self.confirmed(operation, ConfirmReply::UnknownPlan);
                    None
                }
                _ => None,
            },
            Stage::ConfirmPut(plan, root, _) => match reply {
                api::PlatformReply::Written { store_revision } => {
                    self.store_revision = self.store_revision.max(*store_revision);
                    Some(self.collect(root.version()))
                }
                // A lost answer and a lost race are settled alike: by reading the root.
                _ => Some(Stage::ConfirmRoot(*plan)),
            },
            Stage::DeclareBase(..) | Stage::Collect(..) => None,
        };
        match next {
            Some(next) => operation.stage = next,
            None => operation.pause(self.now_ms),
        }
    }

    fn judge(
        &mut self,
        operation: &mut Operation,
        plan: plan::PlanId,
        root: Option<root::Root>,
        store_revision: u64,
    ) -> Option<Stage> {
        let in_force = root.as_ref().map_or(ids::Revision(0), |root| root.revision);
        match root::judge(root.as_ref(), plan) {
            root::Verdict::Committed(version) => Some(self.collect(version)),
            // The answer is late, or the root went back: a revision must not be used twice.
            root::Verdict::Possible if in_force < self.revision() => None,
            root::Verdict::Possible => Some(Stage::ConfirmDocument(plan, root, store_revision)),
            root::Verdict::Conflict => {
                self.confirmed(operation, ConfirmReply::Conflict { in_force });
                None
            }
            root::Verdict::Unknown => {
                self.confirmed(operation, ConfirmReply::UnknownPlan);
                None
            }
            root::Verdict::Forgotten => {
                self.confirmed(operation, ConfirmReply::Unsettled);
                None
            }
        }
    }

    fn document_found(
        &mut self,
        plan: plan::PlanId,
        root: Option<&root::Root>,
        store_revision: u64,
        value: &str,
    ) -> Option<Stage> {
        let document = document::Document::from_value(value, plan.document).ok()?;
        self.cache(sync::Arc::new(document));
        Some(Stage::ConfirmPut(plan, root::Root::after(root, plan), store_revision))
    }

    fn collect(&mut self, version: api::Version) -> Stage {
        self.learn(version, None);
        let mut survey = survey::Survey::new(self.draw());
        if self.peers.all().len() > HEAD_START_PEERS {
            survey.delay_until(self.now_ms + HEAD_START_MS);
        }
        Stage::Collect(version, survey)
    }

    fn confirmed(&mut self, operation: &mut Operation, reply: ConfirmReply) {
        operation.deadline_ms = 0;
        self.out.push(api::Output::Confirmed { ticket: operation.ticket, reply });
    }

    /// Moves one operation on; true once it has been answered.
    fn drive(&mut self, operation: &mut Operation, asking: Asking) -> bool {
        if operation.deadline_ms == 0 {
            return true;
        }
        if let Stage::DeclareBase(declaration, base) = &operation.stage
            && base.is_none_or(|base| base.revision <= self.revision())
        {
            let plan = self.plan(declaration);
            operation.stage = Stage::DeclarePut(declaration.clone(), plan);
        }
        if let Stage::Collect(version, survey) = &mut operation.stage {
            let version = *version;
            if asking == Asking::Yes {
                self.ask(version, survey);
            }
            if self.waiting_for(version, survey).is_empty() {
                let revision = version.revision;
                self.confirmed(operation, ConfirmReply::Accepted { revision });
                return true;
            }
        }
        if self.now_ms >= operation.deadline_ms {
            self.late(operation);
            return true;
        }
        if operation.may_call(self.now_ms)
            && let Some(call) = operation.stage.call()
        {
            operation.request = Some(self.call(call, Purpose::Operation));
        }
        false
    }

    fn plan(&self, declaration: &Declaration) -> crate::operator_api::Plan {
        let base = self
            .in_force
            .as_ref()
            .map(|(revision, document)| (*revision, document.settings().as_ref()));
        plan::make(base, &declaration.document, declaration.warnings.clone())
    }

    fn ask(&mut self, version: api::Version, survey: &mut survey::Survey) {
        let due = survey
            .due(self.now_ms, &self.peers, |survey, peer| survey.confirms(peer, version.revision));
        self.query(survey.nonce, due);
    }

    /// The instances that may serve and have not said that the revision is in force.
    fn waiting_for(
        &self,
        version: api::Version,
        survey: &survey::Survey,
    ) -> Vec<ids::InstanceName> {
        let mut names = Vec::new();
        for peer in self.peers.may_serve(self.now_ms) {
            if !survey.confirms(peer, version.revision) {
                names.push(peer.instance.clone());
            }
        }
        if self.revision() < version.revision || !self.peers.list_known() {
            names.push(self.config.instance.clone());
        }
        names.sort();
        names
    }

    fn late(&mut self, operation: &mut Operation) {
        let ticket = operation.ticket;
        let reply = match &operation.stage {
            Stage::DeclareRoot(_) | Stage::DeclareBase(..) | Stage::DeclarePut(..) => {
                let result = Err(api::DeclareError::PlatformUnreachable);
                self.out.push(api::Output::Declared { ticket, result });
                return;
            }
            Stage::ConfirmRoot(_) | Stage::ConfirmDocument(..) | Stage::ConfirmPut(..) => {
                ConfirmReply::Unsettled
            }
            Stage::Collect(version, survey) => ConfirmReply::Pending {
                revision: version.revision,
                waiting_for: self.waiting_for(*version, survey),
            },
        };
        self.out.push(api::Output::Confirmed { ticket, reply });
    }
}
