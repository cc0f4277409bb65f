//! The duty of the settings' spread: runs [`spread::Spread`] and does what it says.

mod calls;
mod handle;

pub use handle::{Busy, Declaration, Handle, Inbox, Known, Said, channel};

use crate::document;
use crate::entry;
use crate::events::Event;
use crate::ids;
use crate::member;
use crate::member::machine;
use crate::operator_api;
use crate::peer_api;
use crate::platform;
use crate::spread;
use crate::spread::api;
use handle::Command;
use std::net;
use std::sync;
use std::time;
use tokio::sync::{mpsc, oneshot};

/// How often the state machine is told the time.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(100);

/// How often all members are gone through, in case an event was dropped.
const RESYNC_PERIOD: time::Duration = time::Duration::from_millis(1_000);

/// How long a call to the platform may take.
const PLATFORM_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// How long another instance may take to answer with a document.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

const EVENTS_QUEUE: usize = 4_096;

struct Waiting<T> {
    id: u64,
    sender: oneshot::Sender<T>,
}

struct Duty {
    node: sync::Arc<entry::Node>,
    platform: sync::Arc<platform::Platform>,
    spread: spread::Spread,
    known: sync::Arc<arc_swap::ArcSwap<Known>>,
    sender: mpsc::Sender<Command>,
    said: Vec<Said>,
    next_id: u64,
    fetches: Vec<Waiting<api::FetchReply>>,
    declarations: Vec<Waiting<Result<operator_api::Plan, api::DeclareError>>>,
    confirmations: Vec<Waiting<operator_api::ConfirmReply>>,
}

/// Runs the duty for ever.
pub async fn run(
    node: sync::Arc<entry::Node>,
    address: net::SocketAddr,
    others_min: usize,
    inbox: Inbox,
) {
    let config = spread::Config {
        instance: node.me.clone(),
        region: node.place.region.clone(),
        others_min,
        rng_seed: rand::random(),
    };
    let spread = spread::Spread::new(node.now_ms(), config);
    let Inbox { mut commands, sender, known } = inbox;
    let mut events = match node.gossip.subscribe(EVENTS_QUEUE) {
        Ok(events) => events,
        Err(error) => {
            crate::event!(error, Event::SpreadStopped, %error);
            return;
        }
    };
    let mut duty = Duty {
        platform: sync::Arc::new(platform::Platform::new(address, PLATFORM_TIMEOUT)),
        node,
        spread,
        known,
        sender,
        said: Vec::new(),
        next_id: 1,
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
            _ = ticks.tick() => duty.tick(),
            _ = resyncs.tick() => duty.resync(),
            event = events.recv() => match event {
                Some(event) => duty.heard(event),
                None => return,
            },
            command = commands.recv() => match command {
                Some(command) => duty.told(command),
                None => return,
            },
        }
    }
}

impl Duty {
    fn step(&mut self, input: api::Input) {
        let now_ms = self.node.now_ms();
        for output in self.spread.step(now_ms, input) {
            self.act(output);
        }
        self.node.lifecycle.set_ready(now_ms, self.spread.may_serve(now_ms));
    }

    fn tick(&mut self) {
        self.step(api::Input::Tick);
        self.publish();
    }

    fn publish(&self) {
        let known = Known {
            in_force: self.spread.revision(),
            newest: self.spread.newest(),
            said: self.said.clone(),
        };
        if **self.known.load() != known {
            self.known.store(sync::Arc::new(known));
        }
    }

    fn resync(&mut self) {
        for record in &self.node.gossip.view().members {
            self.step(api::Input::Member(member_of(record)));
        }
    }

    fn heard(&mut self, event: machine::Event) {
        match event {
            machine::Event::Changed(record) => {
                self.step(api::Input::Member(member_of(&record)));
            }
            machine::Event::Forgotten(instance) => {
                self.said.retain(|said| said.instance != instance);
                self.step(api::Input::Forgotten(instance));
            }
            machine::Event::SettingsStatus { from, boot, status } => {
                let version = version_of(&status);
                self.note_said(&from, boot, version);
                self.step(api::Input::Note { from, boot, version });
            }
            machine::Event::Direct { from, boot, bytes } => {
                let Ok(message) = postcard::from_bytes::<api::Message>(&bytes) else {
                    tracing::debug!(%from, "datagram malformed");
                    return;
                };
                if let api::Message::Said { version, .. } = &message {
                    self.note_said(&from, boot, *version);
                }
                self.step(api::Input::Datagram { from, boot, message });
            }
            machine::Event::Superseded(_) => self.node.lifecycle.set_superseded(),
            machine::Event::Paused { .. } => {}
        }
    }

    fn note_said(
        &mut self,
        from: &ids::InstanceName,
        boot: ids::BootId,
        version: Option<api::Version>,
    ) {
        let revision = version.map_or(ids::Revision(0), |version| version.revision);
        let said = Said { instance: from.clone(), boot, revision };
        match self.said.binary_search_by(|known| known.instance.cmp(from)) {
            Err(index) => self.said.insert(index, said),
            Ok(index) => {
                let Some(known) = self.said.get_mut(index) else {
                    return;
                };
                if (known.boot, known.revision) >= (boot, revision) {
                    return;
                }
                *known = said;
            }
        }
        self.publish();
    }

    fn told(&mut self, command: Command) {
        match command {
            Command::Listed(names) => self.step(api::Input::Listed(names)),
            Command::Answered(input) => self.step(input),
            Command::FetchAsked(call, sender) => {
                let request = self.draw_id();
                self.fetches.push(Waiting { id: request, sender });
                self.step(api::Input::FetchAsked { request, call });
            }
            Command::Declare(declaration, sender) => {
                let ticket = self.draw_id();
                self.declarations.push(Waiting { id: ticket, sender });
                let Declaration { document, warnings } = declaration;
                self.step(api::Input::Declare { ticket, document, warnings });
            }
            Command::Confirm(plan, wait_ms, sender) => {
                let ticket = self.draw_id();
                self.confirmations.push(Waiting { id: ticket, sender });
                let wait_ms = u64::from(wait_ms);
                self.step(api::Input::Confirm { ticket, plan, wait_ms });
            }
        }
    }

    fn draw_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn act(&mut self, output: api::Output) {
        match output {
            api::Output::Send { to, message } => self.send(to, &message),
            api::Output::Fetch { request, to, call } => self.fetch(request, to, call),
            api::Output::FetchAnswer { request, reply } => {
                answer(&mut self.fetches, request, reply);
            }
            api::Output::Platform { request, call } => self.call_platform(request, call),
            api::Output::Apply { revision, document } => self.apply(revision, &document),
            api::Output::Readiness { ready } => {
                self.set_note();
                let event = if ready { Event::Ready } else { Event::NotReady };
                crate::event!(info, event, instance = %self.node.me);
            }
            api::Output::Declared { ticket, result } => {
                answer(&mut self.declarations, ticket, result);
            }
            api::Output::Confirmed { ticket, reply } => {
                answer(&mut self.confirmations, ticket, reply);
            }
            api::Output::Contradiction { known, said } => {
                crate::event!(error, Event::SettingsContradiction, ?known, ?said);
            }
        }
    }

    fn send(&self, to: ids::InstanceName, message: &api::Message) {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            return;
        };
        if self.node.gossip.send_direct(to, bytes).is_err() {
            tracing::debug!("membership is busy; the datagram is lost");
        }
    }

    fn fetch(&self, request: u64, to: ids::InstanceName, call: api::FetchCall) {
        let links = self.node.links.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let asked = links.request(&to, peer_api::Request::Fetch(call), FETCH_TIMEOUT).await;
            let reply = match asked {
                Ok(peer_api::Reply::Fetch(reply)) => Some(reply),
                _ => None,
            };
            let answered = Command::Answered(api::Input::Fetched { request, reply });
            if sender.send(answered).await.is_err() {
                tracing::debug!("the duty is gone");
            }
        });
    }

    fn call_platform(&self, request: u64, call: api::PlatformCall) {
        let platform = self.platform.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let reply = calls::ask(&platform, call).await;
            let answered = Command::Answered(api::Input::Platform { request, reply });
            if sender.send(answered).await.is_err() {
                tracing::debug!("the duty is gone");
            }
        });
    }

    fn apply(&mut self, revision: ids::Revision, document: &document::Document) {
        self.node.settings.store(document.settings().clone());
        self.set_note();
        self.publish();
        crate::event!(info, Event::SettingsInForce, %revision, document = %document.hash());
    }

    fn set_note(&self) {
        let Some(version) = self.spread.version() else {
            return;
        };
        let status = member::SettingsStatus {
            revision: version.revision,
            hash: *version.document.as_bytes(),
            fresh: self.spread.standing() == api::Standing::Fresh,
        };
        if self.node.gossip.set_settings_status(status).is_err() {
            tracing::debug!("membership is busy; the note follows with the next change");
        }
    }
}

fn answer<T>(waiting: &mut Vec<Waiting<T>>, id: u64, reply: T) {
    let Some(index) = waiting.iter().position(|waiting| waiting.id == id) else {
        return;
    };
    if waiting.swap_remove(index).sender.send(reply).is_err() {
        tracing::debug!("nobody waits for the answer any more");
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
