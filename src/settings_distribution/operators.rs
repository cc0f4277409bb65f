//! Runs the operators' declarations and confirmations.

use super::api;
use super::operation::{Declaration, Operation, Stage};
use super::root;
use super::survey;
use super::{Distributor, Purpose};
use crate::document;
use crate::ids;
use crate::operator_api::ConfirmReply;
use crate::plan;
use std::mem;
use std::sync;

/// Timeout of a declaration.
const DECLARE_WAIT_MS: u64 = 5_000;

/// The longest wait of a confirmation.
const CONFIRM_WAIT_MAX_MS: u64 = 30_000;

/// Above this many other instances the queries are delayed, so that gossip distributes the revision first.
const QUERY_DELAY_ABOVE_PEERS: usize = 32;

/// The delay of the queries.
const QUERY_DELAY_MS: u64 = 400;

/// Whether queries to other instances may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Queries {
    /// They may be sent.
    Allowed,
    /// They are left to the next tick.
    Suppressed,
}

impl Distributor {
    pub(super) fn declare(&mut self, operation_id: u64, declaration: Declaration) {
        self.cache(declaration.document.clone());
        self.start_operation(operation_id, DECLARE_WAIT_MS, Stage::DeclareRoot(declaration));
    }

    pub(super) fn confirm(&mut self, operation_id: u64, plan: plan::PlanId, wait_ms: u64) {
        self.start_operation(
            operation_id,
            wait_ms.min(CONFIRM_WAIT_MAX_MS),
            Stage::ConfirmRoot(plan),
        );
    }

    fn start_operation(&mut self, operation_id: u64, wait_ms: u64, stage: Stage) {
        self.operations.push(Operation {
            id: operation_id,
            deadline_ms: self.now_ms + wait_ms,
            request: None,
            retry_at_ms: 0,
            stage,
        });
        self.advance_operations(Queries::Allowed);
    }

    /// Passes the platform's reply to the operation that made the call.
    pub(super) fn handle_operation_reply(&mut self, request: u64, reply: &api::PlatformReply) {
        let mut operations = mem::take(&mut self.operations);
        for operation in &mut operations {
            if operation.request != Some(request) {
                continue;
            }
            operation.request = None;
            self.apply_reply(operation, reply);
        }
        operations.append(&mut self.operations);
        self.operations = operations;
        self.advance_operations(Queries::Allowed);
    }

    /// Advances every operation as far as possible and removes those that are finished or timed out.
    pub(super) fn advance_operations(&mut self, queries: Queries) {
        let mut unfinished = Vec::new();
        for mut operation in mem::take(&mut self.operations) {
            if !self.advance_operation(&mut operation, queries) {
                unfinished.push(operation);
            }
        }
        self.operations = unfinished;
    }

    /// Adds an instance's reply to its survey. Between ticks the operations are advanced only once there
    /// are as many replies as other instances.
    pub(super) fn record_survey_reply(&mut self, nonce: u64, record: impl Fn(&mut survey::Survey)) {
        let mut complete = false;
        for operation in &mut self.operations {
            let Stage::AwaitAcceptance(_, survey) = &mut operation.stage else { continue };
            if survey.nonce != nonce {
                continue;
            }
            record(survey);
            complete = survey.reply_count() >= self.peers.all().len();
        }
        if complete {
            self.advance_operations(Queries::Suppressed);
        }
    }

    fn apply_reply(&mut self, operation: &mut Operation, reply: &api::PlatformReply) {
        let next = match &operation.stage {
            Stage::DeclareRoot(declaration) => match self.handle_root_reply(reply) {
                Some((root, _)) => {
                    let base = root.map(|root| root.version());
                    Some(Stage::DeclareBase(declaration.clone(), base))
                }
                None => None,
            },
            Stage::DeclarePut(_, plan) => match reply {
                api::PlatformReply::Written { .. } | api::PlatformReply::Mismatch => {
                    let result = Ok(plan.clone());
                    self.outputs.push(api::Output::Declared { operation_id: operation.id, result });
                    operation.deadline_ms = 0;
                    None
                }
                _ => None,
            },
            Stage::ConfirmRoot(plan) => {
                let plan = *plan;
                match self.handle_root_reply(reply) {
                    Some((root, store_revision)) => {
                        self.check_plan(operation, plan, root, store_revision)
                    }
                    None => None,
                }
            }
            Stage::ConfirmDocument(plan, root, store_revision) => match reply {
                api::PlatformReply::Found { value, .. } => {
                    self.document_found(*plan, root.as_ref(), *store_revision, value)
                }
                api::PlatformReply::Absent => {
                    self.finish_confirm(operation, ConfirmReply::UnknownPlan);
                    None
                }
                _ => None,
            },
            Stage::ConfirmPut(plan, root, _) => match reply {
                api::PlatformReply::Written { store_revision } => {
                    self.store_revision = self.store_revision.max(*store_revision);
                    Some(self.begin_acceptance(root.version()))
                }
                // The write may have taken effect without a reply, or another commit came first; the root
                // shows what was committed.
                _ => Some(Stage::ConfirmRoot(*plan)),
            },
            Stage::DeclareBase(..) | Stage::AwaitAcceptance(..) => None,
        };
        match next {
            Some(next) => operation.stage = next,
            None => operation.delay_retry(self.now_ms),
        }
    }

    fn check_plan(
        &mut self,
        operation: &mut Operation,
        plan: plan::PlanId,
        root: Option<root::Root>,
        store_revision: u64,
    ) -> Option<Stage> {
        let in_force = root.as_ref().map_or(ids::Revision(0), |root| root.revision);
        match root::plan_status(root.as_ref(), plan) {
            root::PlanStatus::Committed(version) => Some(self.begin_acceptance(version)),
            // The reply is stale or the root was reset: a revision number must not be used twice.
            root::PlanStatus::Committable if in_force < self.revision() => None,
            root::PlanStatus::Committable => {
                Some(Stage::ConfirmDocument(plan, root, store_revision))
            }
            root::PlanStatus::Conflict => {
                self.finish_confirm(operation, ConfirmReply::Conflict { in_force });
                None
            }
            root::PlanStatus::UnknownBase => {
                self.finish_confirm(operation, ConfirmReply::UnknownPlan);
                None
            }
            root::PlanStatus::TooOld => {
                self.finish_confirm(operation, ConfirmReply::Unsettled);
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

    fn begin_acceptance(&mut self, version: api::Version) -> Stage {
        self.learn(version, None);
        let mut survey = survey::Survey::new(self.random_nonce());
        if self.peers.all().len() > QUERY_DELAY_ABOVE_PEERS {
            survey.delay_until(self.now_ms + QUERY_DELAY_MS);
        }
        Stage::AwaitAcceptance(version, survey)
    }

    fn finish_confirm(&mut self, operation: &mut Operation, reply: ConfirmReply) {
        operation.deadline_ms = 0;
        self.outputs.push(api::Output::Confirmed { operation_id: operation.id, reply });
    }

    /// Advances one operation; true once it has its result.
    fn advance_operation(&mut self, operation: &mut Operation, queries: Queries) -> bool {
        if operation.deadline_ms == 0 {
            return true;
        }
        if let Stage::DeclareBase(declaration, base) = &operation.stage
            && base.is_none_or(|base| base.revision <= self.revision())
        {
            let plan = self.make_plan(declaration);
            operation.stage = Stage::DeclarePut(declaration.clone(), plan);
        }
        if let Stage::AwaitAcceptance(version, survey) = &mut operation.stage {
            let version = *version;
            if queries == Queries::Allowed {
                self.query_unconfirmed(version, survey);
            }
            if self.waiting_for(version, survey).is_empty() {
                let revision = version.revision;
                self.finish_confirm(operation, ConfirmReply::Accepted { revision });
                return true;
            }
        }
        if self.now_ms >= operation.deadline_ms {
            self.time_out(operation);
            return true;
        }
        if operation.may_call(self.now_ms)
            && let Some(call) = operation.stage.call()
        {
            operation.request = Some(self.call_platform(call, Purpose::Operation));
        }
        false
    }

    fn make_plan(&self, declaration: &Declaration) -> crate::operator_api::Plan {
        let base = self
            .in_force
            .as_ref()
            .map(|(revision, document)| (*revision, document.settings().as_ref()));
        plan::make(base, &declaration.document, declaration.warnings.clone())
    }

    fn query_unconfirmed(&mut self, version: api::Version, survey: &mut survey::Survey) {
        let due = survey.next_queries(self.now_ms, &self.peers, |survey, peer| {
            survey.confirms(peer, version.revision)
        });
        self.send_queries(survey.nonce, due);
    }

    /// The instances that may serve and have not confirmed that the revision is in force. Includes this
    /// instance while its own revision is older or the platform's list is unknown.
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

    fn time_out(&mut self, operation: &mut Operation) {
        let operation_id = operation.id;
        let reply = match &operation.stage {
            Stage::DeclareRoot(_) | Stage::DeclareBase(..) | Stage::DeclarePut(..) => {
                let result = Err(api::DeclareError::PlatformUnreachable);
                self.outputs.push(api::Output::Declared { operation_id, result });
                return;
            }
            Stage::ConfirmRoot(_) | Stage::ConfirmDocument(..) | Stage::ConfirmPut(..) => {
                ConfirmReply::Unsettled
            }
            Stage::AwaitAcceptance(version, survey) => ConfirmReply::Pending {
                revision: version.revision,
                waiting_for: self.waiting_for(*version, survey),
            },
        };
        self.outputs.push(api::Output::Confirmed { operation_id, reply });
    }
}
