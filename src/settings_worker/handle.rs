//! The other tasks' interface to the settings worker.

use crate::document;
use crate::ids;
use crate::operator_api;
use crate::plan;
use crate::settings_distribution::api;
use std::sync;
use tokio::sync::{mpsc, oneshot};

const COMMAND_QUEUE_CAPACITY: usize = 1_024;

/// Commands to the worker.
pub(super) enum Command {
    Listed(Vec<ids::InstanceName>),
    Fetch(api::FetchCall, oneshot::Sender<api::FetchReply>),
    Declare(Declaration, oneshot::Sender<Result<operator_api::Plan, api::DeclareError>>),
    Confirm(plan::PlanId, u32, oneshot::Sender<operator_api::ConfirmReply>),
    Input(api::Input),
}

/// Settings that an operator declares.
pub struct Declaration {
    /// The settings.
    pub document: sync::Arc<document::Document>,
    /// Warnings of the settings check.
    pub warnings: Vec<operator_api::Finding>,
}

/// The worker's queue is full or the worker has stopped. A command that was already queued may have taken
/// effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the settings' duty does not answer")]
pub struct Unavailable;

/// The revision that an instance has reported to have in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedRevision {
    /// The instance.
    pub instance: ids::InstanceName,
    /// Its boot.
    pub boot: ids::BootId,
    /// The revision.
    pub revision: ids::Revision,
}

/// What this instance knows of the revisions in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The revision in force here.
    pub in_force: ids::Revision,
    /// The newest revision known to be committed.
    pub newest: ids::Revision,
    /// The revisions that other instances have reported, sorted by instance.
    pub reported: Vec<ReportedRevision>,
}

/// Sends commands to the worker and reads its status.
#[derive(Clone)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    status: sync::Arc<arc_swap::ArcSwap<Status>>,
}

/// The worker's end of the channel.
pub struct Inbox {
    pub(super) commands: mpsc::Receiver<Command>,
    pub(super) sender: mpsc::Sender<Command>,
    pub(super) status: sync::Arc<arc_swap::ArcSwap<Status>>,
}

/// Creates a handle and the inbox to run the worker with.
pub fn channel() -> (Handle, Inbox) {
    let (sender, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let status: sync::Arc<arc_swap::ArcSwap<Status>> = sync::Arc::default();
    let handle = Handle { commands: sender.clone(), status: status.clone() };
    (handle, Inbox { commands, sender, status })
}

impl Handle {
    /// The status last published by the worker.
    pub fn status(&self) -> sync::Arc<Status> {
        self.status.load_full()
    }

    /// Passes on the instances on the platform's list.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full or the worker has stopped; the list is dropped, the next one replaces it.
    pub fn update_listed(&self, names: Vec<ids::InstanceName>) -> Result<(), Unavailable> {
        self.commands.try_send(Command::Listed(names)).map_err(|_| Unavailable)
    }

    /// Returns the reply to another instance's request for a document.
    ///
    /// # Errors
    ///
    /// Fails if the worker has stopped.
    pub async fn fetch_document(
        &self,
        call: api::FetchCall,
    ) -> Result<api::FetchReply, Unavailable> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.commands.send(Command::Fetch(call, sender)).await;
        sent.map_err(|_| Unavailable)?;
        receiver.await.map_err(|_| Unavailable)
    }

    /// Makes a plan of declared settings.
    ///
    /// # Errors
    ///
    /// The outer result fails if the worker has stopped, the inner one if no plan could be made.
    pub async fn declare(
        &self,
        declaration: Declaration,
    ) -> Result<Result<operator_api::Plan, api::DeclareError>, Unavailable> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.commands.send(Command::Declare(declaration, sender)).await;
        sent.map_err(|_| Unavailable)?;
        receiver.await.map_err(|_| Unavailable)
    }

    /// Confirms a plan and waits at most `wait_ms` for it to be in force everywhere.
    ///
    /// # Errors
    ///
    /// Fails if the worker has stopped.
    pub async fn confirm(
        &self,
        plan: plan::PlanId,
        wait_ms: u32,
    ) -> Result<operator_api::ConfirmReply, Unavailable> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.commands.send(Command::Confirm(plan, wait_ms, sender)).await;
        sent.map_err(|_| Unavailable)?;
        receiver.await.map_err(|_| Unavailable)
    }
}
