//! The task that runs [`settings_distribution::Distributor`] and performs its outputs.

mod calls;
mod handle;

pub use handle::{Declaration, Handle, Inbox, ReportedRevision, Status, Unavailable, channel};

use crate::document;
use crate::entry;
use crate::events::Event;
use crate::ids;
use crate::member;
use crate::member::machine;
use crate::operator_api;
use crate::peer_api;
use crate::platform;
use crate::settings_distribution;
use crate::settings_distribution::api;
use handle::Command;
use std::net;
use std::sync;
use std::time;
use tokio::sync::{mpsc, oneshot};

/// Interval of the state machine's ticks.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(100);

/// How often all members are passed to the state machine, in case a membership event was dropped.
const RESYNC_PERIOD: time::Duration = time::Duration::from_millis(1_000);

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// Timeout of a request for a document to another instance.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

const EVENT_QUEUE_CAPACITY: usize = 4_096;

struct PendingReply<T> {
    id: u64,
    sender: oneshot::Sender<T>,
}

struct Worker {
    node: sync::Arc<entry::Node>,
    platform: sync::Arc<platform::Client>,
    distributor: settings_distribution::Distributor,
    status: sync::Arc<arc_swap::ArcSwap<Status>>,
    sender: mpsc::Sender<Command>,
    reported: Vec<ReportedRevision>,
    last_id: u64,
    fetches: Vec<PendingReply<api::FetchReply>>,
    declarations: Vec<PendingReply<Result<operator_api::Plan, api::DeclareError>>>,
    confirmations: Vec<PendingReply<operator_api::ConfirmReply>>,
}

/// Runs the worker with the platform at `address`. Returns only if membership can't be subscribed to or a
/// channel is closed.
pub async fn run(
    node: sync::Arc<entry::Node>,
    address: net::SocketAddr,
    others_min: usize,
    inbox: Inbox,
) {
    let config = settings_distribution::Config {
        instance: node.instance.clone(),
        region: node.location.region.clone(),
        others_min,
        rng_seed: rand::random(),
    };
    let distributor = settings_distribution::Distributor::new(node.now_ms(), config);
    let Inbox { mut commands, sender, status } = inbox;
    let mut events = match node.gossip.subscribe(EVENT_QUEUE_CAPACITY) {
        Ok(events) => events,
        Err(error) => {
            crate::event!(error, Event::SpreadStopped, %error);
            return;
        }
    };
    let mut worker = Worker {
        platform: sync::Arc::new(platform::Client::new(address, PLATFORM_TIMEOUT)),
        node,
        distributor,
        status,
        sender,
        reported: Vec::new(),
        last_id: 1,
        fetches: Vec::new(),
        declarations: Vec::new(),
        confirmations: Vec::new(),
    };
    let mut ticks = tokio::time::interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut resyncs = tokio::time::interval(RESYNC_PERIOD);
    resyncs.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => worker.tick(),
            _ = resyncs.tick() => worker.resync(),
            event = events.recv() => match event {
                Some(event) => worker.handle_membership_event(event),
                None => return,
            },
            command = commands.recv() => match command {
                Some(command) => worker.handle_command(command),
                None => return,
            },
        }
    }
}

impl Worker {
    fn step(&mut self, input: api::Input) {
        let now_ms = self.node.now_ms();
        for output in self.distributor.step(now_ms, input) {
            self.execute(output);
        }
        self.node.lifecycle.set_ready(now_ms, self.distributor.may_serve(now_ms));
    }

    fn tick(&mut self) {
        self.step(api::Input::Tick);
        self.publish();
    }

    fn publish(&self) {
        let status = Status {
            in_force: self.distributor.revision(),
            newest: self.distributor.newest(),
            reported: self.reported.clone(),
        };
        if **self.status.load() != status {
            self.status.store(sync::Arc::new(status));
        }
    }

    fn resync(&mut self) {
        for record in &self.node.gossip.view().members {
            self.step(api::Input::Member(member_of(record)));
        }
    }

    fn handle_membership_event(&mut self, event: machine::Event) {
        match event {
            machine::Event::Changed(record) => {
                self.step(api::Input::Member(member_of(&record)));
            }
            machine::Event::Forgotten(instance) => {
                self.reported.retain(|entry| entry.instance != instance);
                self.step(api::Input::Forgotten(instance));
            }
            machine::Event::SettingsStatus { from, boot, status } => {
                let version = version_of(&status);
                self.record_reported(&from, boot, version);
                self.step(api::Input::SettingsStatus { from, boot, version });
            }
            machine::Event::Direct { from, boot, bytes } => {
                let Ok(message) = postcard::from_bytes::<api::Message>(&bytes) else {
                    tracing::debug!(%from, "malformed settings datagram dropped");
                    return;
                };
                if let api::Message::Reply { version, .. } = &message {
                    self.record_reported(&from, boot, *version);
                }
                self.step(api::Input::Datagram { from, boot, message });
            }
            machine::Event::Superseded(_) => self.node.lifecycle.set_superseded(),
            machine::Event::Paused { .. } => {}
        }
    }

    fn record_reported(
        &mut self,
        from: &ids::InstanceName,
        boot: ids::BootId,
        version: Option<api::Version>,
    ) {
        let revision = version.map_or(ids::Revision(0), |version| version.revision);
        let reported = ReportedRevision { instance: from.clone(), boot, revision };
        match self.reported.binary_search_by(|entry| entry.instance.cmp(from)) {
            Err(index) => self.reported.insert(index, reported),
            Ok(index) => {
                let Some(previous) = self.reported.get_mut(index) else {
                    return;
                };
                if (previous.boot, previous.revision) >= (boot, revision) {
                    return;
                }
                *previous = reported;
            }
        }
        self.publish();
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Listed(names) => self.step(api::Input::Listed(names)),
            Command::Input(input) => self.step(input),
            Command::Fetch(call, sender) => {
                let request = self.next_id();
                self.fetches.push(PendingReply { id: request, sender });
                self.step(api::Input::FetchRequested { request, call });
            }
            Command::Declare(declaration, sender) => {
                let operation_id = self.next_id();
                self.declarations.push(PendingReply { id: operation_id, sender });
                let Declaration { document, warnings } = declaration;
                self.step(api::Input::Declare { operation_id, document, warnings });
            }
            Command::Confirm(plan, wait_ms, sender) => {
                let operation_id = self.next_id();
                self.confirmations.push(PendingReply { id: operation_id, sender });
                let wait_ms = u64::from(wait_ms);
                self.step(api::Input::Confirm { operation_id, plan, wait_ms });
            }
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn execute(&mut self, output: api::Output) {
        match output {
            api::Output::Send { to, message } => self.send(to, &message),
            api::Output::Fetch { request, to, call } => self.fetch(request, to, call),
            api::Output::FetchReplied { request, reply } => {
                send_reply(&mut self.fetches, request, reply);
            }
            api::Output::Platform { request, call } => self.call_platform(request, call),
            api::Output::Apply { revision, document } => self.apply(revision, &document),
            api::Output::Readiness { ready } => {
                self.publish_settings_status();
                let event = if ready { Event::Ready } else { Event::NotReady };
                crate::event!(info, event, instance = %self.node.instance);
            }
            api::Output::Declared { operation_id, result } => {
                send_reply(&mut self.declarations, operation_id, result);
            }
            api::Output::Confirmed { operation_id, reply } => {
                send_reply(&mut self.confirmations, operation_id, reply);
            }
            api::Output::Contradiction { known, reported } => {
                crate::event!(error, Event::SettingsContradiction, ?known, said = ?reported);
            }
        }
    }

    fn send(&self, to: ids::InstanceName, message: &api::Message) {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            return;
        };
        if self.node.gossip.send_direct(to, bytes).is_err() {
            tracing::debug!("datagram dropped: the membership command queue is full");
        }
    }

    fn fetch(&self, request: u64, to: ids::InstanceName, call: api::FetchCall) {
        let links = self.node.links.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let result = links.request(&to, peer_api::Request::Fetch(call), FETCH_TIMEOUT).await;
            let reply = match result {
                Ok(peer_api::Reply::Fetch(reply)) => Some(reply),
                _ => None,
            };
            let input = Command::Input(api::Input::Fetched { request, reply });
            if sender.send(input).await.is_err() {
                tracing::debug!("document reply dropped: the settings worker has stopped");
            }
        });
    }

    fn call_platform(&self, request: u64, call: api::PlatformCall) {
        let platform = self.platform.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let reply = calls::execute(&platform, call).await;
            let input = Command::Input(api::Input::Platform { request, reply });
            if sender.send(input).await.is_err() {
                tracing::debug!("platform reply dropped: the settings worker has stopped");
            }
        });
    }

    fn apply(&mut self, revision: ids::Revision, document: &document::Document) {
        self.node.settings.store(document.settings().clone());
        self.publish_settings_status();
        self.publish();
        crate::event!(info, Event::SettingsInForce, %revision, document = %document.hash());
    }

    fn publish_settings_status(&self) {
        let Some(version) = self.distributor.version() else {
            return;
        };
        let status = member::SettingsStatus {
            revision: version.revision,
            hash: *version.document.as_bytes(),
            fresh: self.distributor.standing() == api::Standing::Fresh,
        };
        if self.node.gossip.set_settings_status(status).is_err() {
            tracing::debug!(
                "settings status not updated until the next change: the membership command queue is full"
            );
        }
    }
}

fn send_reply<T>(waiting: &mut Vec<PendingReply<T>>, id: u64, reply: T) {
    let Some(index) = waiting.iter().position(|waiting| waiting.id == id) else {
        return;
    };
    if waiting.swap_remove(index).sender.send(reply).is_err() {
        tracing::debug!("reply dropped: the requester no longer waits");
    }
}

fn member_of(record: &member::Record) -> api::Member {
    let state = match record.state {
        member::State::Alive => api::MemberState::Alive,
        member::State::Suspect => api::MemberState::Suspect,
        member::State::Leaving => api::MemberState::Leaving,
        member::State::Unreachable => api::MemberState::Unreachable,
        member::State::Left => api::MemberState::Left,
    };
    api::Member {
        instance: record.name.clone(),
        boot: record.boot,
        region: record.region.clone(),
        state,
    }
}

fn version_of(status: &member::SettingsStatus) -> Option<api::Version> {
    if status.revision == ids::Revision(0) {
        return None;
    }
    let document = document::DocumentHash::from_bytes(status.hash);
    Some(api::Version { revision: status.revision, document })
}
