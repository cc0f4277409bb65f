//! What the other duties use of the settings' spread.

use crate::document;
use crate::ids;
use crate::operator_api;
use crate::plan;
use crate::settings_distribution::api;
use std::sync;
use tokio::sync::{mpsc, oneshot};

const COMMAND_QUEUE_CAPACITY: usize = 1_024;

/// What the other duties ask of this one.
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
    /// What the check warned of.
    pub warnings: Vec<operator_api::Finding>,
}

/// The duty is busy or gone; nothing was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the settings' duty does not answer")]
pub struct Unavailable;

/// What an instance has said to have in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedRevision {
    /// The instance.
    pub instance: ids::InstanceName,
    /// Its boot.
    pub boot: ids::BootId,
    /// The revision.
    pub revision: ids::Revision,
}

/// What this instance knows of the settings' spread.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The revision in force here.
    pub in_force: ids::Revision,
    /// The newest revision known to be committed.
    pub newest: ids::Revision,
    /// What the others have said, sorted by instance.
    pub reported: Vec<ReportedRevision>,
}

/// Hands work to the duty.
#[derive(Clone)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    status: sync::Arc<arc_swap::ArcSwap<Status>>,
}

/// The duty's end of the handle.
pub struct Inbox {
    pub(super) commands: mpsc::Receiver<Command>,
    pub(super) sender: mpsc::Sender<Command>,
    pub(super) status: sync::Arc<arc_swap::ArcSwap<Status>>,
}

/// A handle and the inbox that a duty is to be run with.
pub fn channel() -> (Handle, Inbox) {
    let (sender, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let status: sync::Arc<arc_swap::ArcSwap<Status>> = sync::Arc::default();
    let handle = Handle { commands: sender.clone(), status: status.clone() };
    (handle, Inbox { commands, sender, status })
}

impl Handle {
    /// What is known of the spread.
    pub fn status(&self) -> sync::Arc<Status> {
        self.status.load_full()
    }

    /// Hands in the instances on the platform's list.
    ///
    /// # Errors
    ///
    /// When the duty is busy; the next list will do.
    pub fn update_listed(&self, names: Vec<ids::InstanceName>) -> Result<(), Unavailable> {
        self.commands.try_send(Command::Listed(names)).map_err(|_| Unavailable)
    }

    /// Answers another instance that asks for a document.
    ///
    /// # Errors
    ///
    /// When the duty is gone.
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
    /// When the duty is gone, or there is no plan.
    pub async fn declare(
        &self,
        declaration: Declaration,
    ) -> Result<Result<operator_api::Plan, api::DeclareError>, Unavailable> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.commands.send(Command::Declare(declaration, sender)).await;
        sent.map_err(|_| Unavailable)?;
        receiver.await.map_err(|_| Unavailable)
    }

    /// Confirms a plan.
    ///
    /// # Errors
    ///
    /// When the duty is gone.
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
