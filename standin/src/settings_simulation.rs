//! Simulates the distribution of settings: many state machines driven by one seeded event queue,
//! without sockets or a real clock.
//!
//! Membership is simulated too: every instance learns of another's state after a delay. The
//! guarantees are checked at every step, and [`Simulation::violations`] lists each breach.

mod membership;
mod outputs;
mod report;
mod store;

pub use report::{Faults, OperatorAnswer, Traffic};

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use std::collections;
use std::sync;
use tarragondoor::document;
use tarragondoor::ids;
use tarragondoor::operator_api;
use tarragondoor::plan;
use tarragondoor::settings_distribution;
use tarragondoor::settings_distribution::api;

/// The time between two ticks of a state machine.
const TICK_MS: u64 = 100;

/// The time between two rounds of the simulated membership, and the limit of the random delay with
/// which an instance learns of a change.
const MEMBERSHIP_PERIOD_MS: u64 = 500;

/// How long an instance is out of contact before the others regard it as unreachable.
const UNREACHABLE_TIMEOUT_MS: u64 = 3_000;

/// The lag of the platform's list of instances.
const LIST_LAG_MS: u64 = 2_000;

/// How long a call to the platform takes to fail.
const FAILED_CALL_MS: u64 = 300;

/// The size of a datagram besides its message: sender, boot, seal.
const DATAGRAM_OVERHEAD_BYTES: u64 = 60;

#[derive(Debug)]
struct Node {
    name: ids::InstanceName,
    region: usize,
    boot: ids::BootId,
    distributor: Option<settings_distribution::Distributor>,
    has_left: bool,
    paused_until_ms: u64,
    unlisted_until_ms: u64,
    applied: ids::Revision,
    member_views: Vec<MemberView>,
}

#[derive(Clone, Copy, Debug, Default)]
struct MemberView {
    /// When the member was last in contact.
    contact_ms: u64,
    /// The boot and state last reported to the instance; `None` before the first contact.
    reported: Option<(ids::BootId, api::MemberState)>,
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Input(api::Input),
    PlatformCall { request: u64, call: api::PlatformCall },
    FetchCall { from: usize, request: u64, call: api::FetchCall },
    Membership,
    InstanceList(Vec<ids::InstanceName>),
}

#[derive(Clone, Debug)]
struct Scheduled {
    node: usize,
    boot: ids::BootId,
    event: Event,
}

/// A simulated deployment.
#[derive(Debug)]
pub struct Simulation {
    /// The faults in force.
    pub faults: Faults,
    /// The answers to operators in their order, each with its operation id.
    pub operator_answers: Vec<(u64, OperatorAnswer)>,
    /// Descriptions of the breaches of the guarantees so far.
    pub violations: Vec<String>,
    /// The traffic counters.
    pub traffic: Traffic,
    /// One line for each output of each state machine; nothing is recorded while it is `None`.
    pub log: Option<Vec<String>>,
    rng: rngs::StdRng,
    now_ms: u64,
    sequence: u64,
    /// The pending events by their time, those of the same time in the order of scheduling.
    queue: collections::BTreeMap<(u64, u64), Scheduled>,
    nodes: Vec<Node>,
    store: store::Store,
    /// The versions that took effect anywhere, sorted by revision.
    applied_versions: Vec<api::Version>,
    /// The newest revision that was reported to an operator as accepted.
    accepted_revision: ids::Revision,
    /// The unanswered fetches: the requested instance, the id of the request there, the requesting
    /// instance, and its own id of the request.
    open_fetches: Vec<(usize, u64, usize, u64)>,
    confirmations: Vec<(u64, plan::PlanId)>,
}

impl Simulation {
    /// Starts `nodes` instances, distributed evenly over `regions` regions.
    pub fn new(seed: u64, nodes: usize, regions: usize) -> Self {
        let mut simulation = Self {
            faults: Faults::default(),
            operator_answers: Vec::new(),
            violations: Vec::new(),
            traffic: Traffic::default(),
            log: None,
            rng: rngs::StdRng::seed_from_u64(seed),
            now_ms: 1_000,
            sequence: 0,
            queue: collections::BTreeMap::new(),
            nodes: Vec::new(),
            store: store::Store::default(),
            applied_versions: Vec::new(),
            accepted_revision: ids::Revision(0),
            open_fetches: Vec::new(),
            confirmations: Vec::new(),
        };
        for index in 0..nodes {
            let name = format!("i{index}").parse().expect("a valid name");
            simulation.nodes.push(Node {
                name,
                region: index % regions,
                boot: ids::BootId(0),
                distributor: None,
                has_left: false,
                paused_until_ms: 0,
                unlisted_until_ms: 0,
                applied: ids::Revision(0),
                member_views: vec![MemberView::default(); nodes],
            });
        }
        for index in 0..nodes {
            simulation.start(index);
        }
        simulation.schedule(0, 0, ids::BootId(0), Event::Membership);
        simulation
    }

    /// The simulated time.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// The number of instances, running or not.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there are no instances.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Whether an instance runs and is not paused.
    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].distributor.is_some() && self.nodes[node].paused_until_ms <= self.now_ms
    }

    /// Whether an instance runs, paused or not.
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].distributor.is_some()
    }

    /// Whether an instance is up and may serve requests now.
    pub fn serves(&self, node: usize) -> bool {
        let up = self.is_up(node);
        up && self.nodes[node]
            .distributor
            .as_ref()
            .is_some_and(|distributor| distributor.may_serve(self.now_ms))
    }

    /// The revision in force at an instance; 0 if it does not run.
    pub fn revision(&self, node: usize) -> ids::Revision {
        self.nodes[node]
            .distributor
            .as_ref()
            .map_or(ids::Revision(0), settings_distribution::Distributor::revision)
    }

    /// Whether all running instances have this or a later revision in force.
    pub fn all_have_revision(&self, revision: ids::Revision) -> bool {
        let mut distributors = self.nodes.iter().filter_map(|node| node.distributor.as_ref());
        distributors.all(|distributor| distributor.revision() >= revision)
    }

    /// The committed plans, in the order of their commits.
    pub fn committed(&self) -> &[settings_distribution::root::Committed] {
        &self.store.committed
    }

    /// Starts or restarts an instance with a new boot.
    pub fn start(&mut self, node: usize) {
        let boot = ids::BootId(self.now_ms * 1_000 + node as u64);
        let config = settings_distribution::Config {
            instance: self.nodes[node].name.clone(),
            region: region(self.nodes[node].region),
            others_min: 0,
            rng_seed: self.rng.random(),
        };
        let count = self.nodes.len();
        let instance = &mut self.nodes[node];
        instance.boot = boot;
        instance.has_left = false;
        instance.paused_until_ms = 0;
        instance.applied = ids::Revision(0);
        instance.member_views = vec![MemberView::default(); count];
        instance.distributor = Some(settings_distribution::Distributor::new(self.now_ms, config));
        let offset = self.rng.random_range(0..TICK_MS);
        self.schedule(offset, node, boot, Event::Tick);
    }

    /// Stops an instance immediately, without a graceful shutdown.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].distributor = None;
    }

    /// Stops an instance at the end of a graceful shutdown: the others learn that it has left.
    pub fn leave(&mut self, node: usize) {
        self.nodes[node].distributor = None;
        self.nodes[node].has_left = true;
    }

    /// Pauses an instance's process for a time.
    pub fn pause(&mut self, node: usize, pause_ms: u64) {
        self.nodes[node].paused_until_ms = self.now_ms + pause_ms;
    }

    /// Pauses an instance's process for a time, during which the platform's list omits it.
    pub fn pause_unlisted(&mut self, node: usize, pause_ms: u64) {
        self.pause(node, pause_ms);
        self.nodes[node].unlisted_until_ms = self.now_ms + pause_ms;
    }

    /// Declares settings at an instance, as an operator does.
    pub fn declare(&mut self, node: usize, operation_id: u64, document: document::Document) {
        let document = sync::Arc::new(document);
        self.deliver(node, api::Input::Declare { operation_id, document, warnings: Vec::new() });
    }

    /// Confirms a plan at an instance, as an operator does.
    pub fn confirm(&mut self, node: usize, operation_id: u64, plan: plan::PlanId, wait_ms: u64) {
        self.confirmations.push((operation_id, plan));
        self.deliver(node, api::Input::Confirm { operation_id, plan, wait_ms });
    }

    /// The last answer to an operation; `None` if there is none yet.
    pub fn answer(&self, operation_id: u64) -> Option<&OperatorAnswer> {
        self.operator_answers
            .iter()
            .rev()
            .find(|(id, _)| *id == operation_id)
            .map(|(_, answer)| answer)
    }

    /// Advances the simulation by a duration.
    pub fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        self.run_until(until_ms, |_| false);
    }

    /// Advances the simulation until a condition holds; false if it does not hold by `until_ms`.
    pub fn run_until(&mut self, until_ms: u64, done: impl Fn(&Simulation) -> bool) -> bool {
        while !done(self) {
            let Some(entry) = self.queue.first_entry() else { break };
            let (at_ms, _) = *entry.key();
            if at_ms > until_ms {
                break;
            }
            let scheduled = entry.remove();
            self.now_ms = at_ms;
            self.dispatch(scheduled);
        }
        if done(self) {
            return true;
        }
        self.now_ms = until_ms;
        false
    }

    fn dispatch(&mut self, scheduled: Scheduled) {
        let Scheduled { node, boot, event } = scheduled;
        match &event {
            Event::Membership => return self.run_membership_round(),
            Event::InstanceList(names) => {
                let names = names.clone();
                for node in 0..self.nodes.len() {
                    self.deliver(node, api::Input::Listed(names.clone()));
                }
                return;
            }
            Event::PlatformCall { request, call } => {
                return self.handle_platform_call(node, boot, *request, call);
            }
            Event::Tick | Event::Input(_) | Event::FetchCall { .. } => {}
        }
        if self.nodes[node].distributor.is_none() || self.nodes[node].boot != boot {
            return;
        }
        let paused_until_ms = self.nodes[node].paused_until_ms;
        if paused_until_ms > self.now_ms {
            // Events for a paused process wait until it resumes.
            self.schedule(paused_until_ms - self.now_ms, node, boot, event);
            return;
        }
        match event {
            Event::Tick => {
                self.schedule(TICK_MS, node, boot, Event::Tick);
                self.deliver(node, api::Input::Tick);
            }
            Event::Input(input) => self.deliver(node, input),
            Event::FetchCall { from, request, call } => {
                let id = self.sequence;
                self.sequence += 1;
                self.open_fetches.push((node, id, from, request));
                self.deliver(node, api::Input::FetchRequested { request: id, call });
            }
            Event::Membership | Event::InstanceList(_) | Event::PlatformCall { .. } => {}
        }
    }

    fn deliver(&mut self, node: usize, input: api::Input) {
        self.check_revision(node);
        if !self.is_up(node) {
            return;
        }
        let now_ms = self.now_ms;
        let Some(distributor) = &mut self.nodes[node].distributor else { return };
        let outputs = distributor.step(now_ms, input);
        for output in outputs {
            self.handle_output(node, output);
        }
        self.check_revision(node);
    }

    fn check_revision(&mut self, node: usize) {
        if self.serves(node) && self.revision(node) < self.accepted_revision {
            let (revision, accepted) = (self.revision(node), self.accepted_revision);
            let name = &self.nodes[node].name;
            let now_ms = self.now_ms;
            self.violations.push(format!(
                "{now_ms} ms: {name} serves with revision {revision} after {accepted} was accepted"
            ));
        }
    }

    /// Describes each plan that was refused although it was committed. To be called at the end: the
    /// commit may follow the refusal.
    pub fn refused_but_committed(&self) -> Vec<String> {
        let mut descriptions = Vec::new();
        for (_, answer) in &self.operator_answers {
            let OperatorAnswer::Confirmed(plan, reply) = answer else { continue };
            let refused = matches!(
                reply,
                operator_api::ConfirmReply::Conflict { .. }
                    | operator_api::ConfirmReply::UnknownPlan
            );
            if refused && self.store.committed.iter().any(|committed| committed.plan == *plan) {
                descriptions.push(format!("{plan} was refused and is committed"));
            }
        }
        descriptions
    }

    fn reachable(&self, from: usize, to: usize) -> bool {
        if self.faults.partitioned_pair == Some((from.min(to), from.max(to))) {
            return false;
        }
        let Some(partitioned) = self.faults.partitioned_region else { return true };
        (self.nodes[from].region == partitioned) == (self.nodes[to].region == partitioned)
    }

    fn latency_ms(&mut self, from: usize, to: usize) -> u64 {
        let jitter_ms = self.rng.random_range(0..2);
        if self.nodes[from].region == self.nodes[to].region {
            return 1 + jitter_ms;
        }
        20 + jitter_ms
    }

    fn find(&self, name: &ids::InstanceName) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == *name)
    }

    fn schedule(&mut self, delay_ms: u64, node: usize, boot: ids::BootId, event: Event) {
        self.sequence += 1;
        let key = (self.now_ms + delay_ms, self.sequence);
        self.queue.insert(key, Scheduled { node, boot, event });
    }
}

fn region(index: usize) -> ids::RegionName {
    format!("r{index}").parse().expect("a valid name")
}
