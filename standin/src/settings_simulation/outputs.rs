//! Carries out the outputs of the state machines.

use super::{DATAGRAM_OVERHEAD_BYTES, Event, FAILED_CALL_MS, OperatorAnswer, Simulation};
use rand::RngExt as _;
use tarragondoor::document;
use tarragondoor::ids;
use tarragondoor::operator_api;
use tarragondoor::settings_distribution::api;

impl Simulation {
    pub(super) fn handle_output(&mut self, node: usize, output: api::Output) {
        let boot = self.nodes[node].boot;
        if let Some(log) = &mut self.log {
            log.push(format!(
                "{:>6} ms {} {}",
                self.now_ms,
                self.nodes[node].name,
                describe_output(&output)
            ));
        }
        match output {
            api::Output::Send { to, message } => self.send_datagram(node, &to, message),
            api::Output::Fetch { request, to, call } => {
                let Some(to) = self.find(&to) else { return };
                self.traffic.fetches += 1;
                if !self.reachable(node, to) {
                    return;
                }
                let delay_ms = 2 * self.latency_ms(node, to);
                let to_boot = self.nodes[to].boot;
                let event = Event::FetchCall { from: node, request, call };
                self.schedule(delay_ms, to, to_boot, event);
            }
            api::Output::FetchReplied { request, reply } => {
                self.handle_fetch_reply(node, request, reply)
            }
            api::Output::Platform { request, call } => {
                self.traffic.platform_calls += 1;
                let delay_ms = self.rng.random_range(1..3) + self.faults.platform_slow_ms / 2;
                self.schedule(delay_ms, node, boot, Event::PlatformCall { request, call });
            }
            api::Output::Apply { revision, document } => {
                self.record_applied(node, revision, &document)
            }
            api::Output::Readiness { .. } => {}
            api::Output::Declared { operation_id, result } => {
                self.operator_answers.push((operation_id, OperatorAnswer::Declared(result)));
            }
            api::Output::Confirmed { operation_id, reply } => {
                self.record_confirmation(operation_id, reply)
            }
            api::Output::Contradiction { known, reported } => {
                self.violations.push(format!("conflicting documents: {known:?} and {reported:?}"));
            }
        }
    }

    pub(super) fn send_datagram(
        &mut self,
        node: usize,
        to: &ids::InstanceName,
        message: api::Message,
    ) {
        let bytes = postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len() as u64);
        self.traffic.datagrams += 1;
        self.traffic.datagram_bytes += bytes + DATAGRAM_OVERHEAD_BYTES;
        let Some(to) = self.find(to) else { return };
        let lost = self.rng.random_range(0..100) < self.faults.loss_percent;
        if lost || !self.reachable(node, to) {
            return;
        }
        let from = self.nodes[node].name.clone();
        let boot = self.nodes[node].boot;
        let input = api::Input::Datagram { from, boot, message };
        let delay_ms = self.latency_ms(node, to);
        let to_boot = self.nodes[to].boot;
        self.schedule(delay_ms, to, to_boot, Event::Input(input));
    }

    pub(super) fn handle_fetch_reply(&mut self, node: usize, id: u64, reply: api::FetchReply) {
        let Some(index) =
            self.open_fetches.iter().position(|fetch| (fetch.0, fetch.1) == (node, id))
        else {
            return;
        };
        let (_, _, to, request) = self.open_fetches.swap_remove(index);
        self.traffic.fetch_bytes += postcard::to_stdvec(&reply).map_or(0, |b| b.len() as u64);
        if !self.reachable(node, to) {
            return;
        }
        let input = api::Input::Fetched { request, reply: Some(reply) };
        let delay_ms = self.latency_ms(node, to);
        let boot = self.nodes[to].boot;
        self.schedule(delay_ms, to, boot, Event::Input(input));
    }

    pub(super) fn handle_platform_call(
        &mut self,
        node: usize,
        boot: ids::BootId,
        request: u64,
        call: &api::PlatformCall,
    ) {
        if self.faults.platform_down {
            let failed = api::Input::Platform { request, reply: api::PlatformReply::Failed };
            self.schedule(FAILED_CALL_MS, node, boot, Event::Input(failed));
            return;
        }
        if let Some(reply) = self.store.call(call, node, boot, request, self.now_ms) {
            self.send_platform_reply(node, boot, request, reply);
        }
        self.finish_watches();
    }

    pub(super) fn finish_watches(&mut self) {
        for (watch, reply) in self.store.take_finished_watches(self.now_ms) {
            self.send_platform_reply(watch.node, watch.boot, watch.request, reply);
        }
    }

    pub(super) fn send_platform_reply(
        &mut self,
        node: usize,
        boot: ids::BootId,
        request: u64,
        reply: api::PlatformReply,
    ) {
        let lost = self.faults.replies_lost || self.faults.platform_down;
        let (reply, extra_ms) = match lost {
            true => (api::PlatformReply::Failed, FAILED_CALL_MS),
            false => (reply, self.faults.platform_slow_ms / 2),
        };
        let delay_ms = self.rng.random_range(1..3) + extra_ms;
        self.schedule(delay_ms, node, boot, Event::Input(api::Input::Platform { request, reply }));
    }

    pub(super) fn record_applied(
        &mut self,
        node: usize,
        revision: ids::Revision,
        document: &document::Document,
    ) {
        let version = api::Version { revision, document: document.hash() };
        match self.applied_versions.binary_search_by_key(&revision, |applied| applied.revision) {
            Ok(index) if self.applied_versions[index] != version => {
                self.violations
                    .push(format!("conflicting documents in force as revision {revision}"));
            }
            Ok(_) => {}
            Err(index) => self.applied_versions.insert(index, version),
        }
        if revision <= self.nodes[node].applied {
            let name = &self.nodes[node].name;
            self.violations.push(format!(
                "{name} went from revision {} to {revision}",
                self.nodes[node].applied
            ));
        }
        self.nodes[node].applied = revision;
    }

    pub(super) fn record_confirmation(
        &mut self,
        operation_id: u64,
        reply: operator_api::ConfirmReply,
    ) {
        let plan =
            self.confirmations.iter().find(|(id, _)| *id == operation_id).map(|(_, plan)| *plan);
        let Some(plan) = plan else { return };
        if let operator_api::ConfirmReply::Accepted { revision } = reply {
            if !self.store.committed.iter().any(|committed| committed.plan == plan) {
                self.violations.push(format!("{plan} was accepted but not committed"));
            }
            self.accepted_revision = self.accepted_revision.max(revision);
            for node in 0..self.nodes.len() {
                self.check_revision(node);
            }
        }
        self.operator_answers.push((operation_id, OperatorAnswer::Confirmed(plan, reply)));
    }
}

fn describe_output(output: &api::Output) -> String {
    match output {
        api::Output::Send { to, message } => format!("-> {to}: {}", describe_message(message)),
        api::Output::Fetch { to, call, .. } => {
            format!("-> {to}: fetch, with base: {}", call.base.is_some())
        }
        api::Output::FetchReplied { reply, .. } => match reply {
            api::FetchReply::Delta(delta) => {
                format!("fetch reply: delta with {} changed or added services", delta.changed.len())
            }
            api::FetchReply::Whole(_) => "fetch reply: whole document".to_string(),
            api::FetchReply::Missing => "fetch reply: document missing".to_string(),
        },
        api::Output::Platform { call, .. } => format!("-> platform: {}", describe_call(call)),
        api::Output::Apply { revision, .. } => format!("apply revision {revision}"),
        api::Output::Readiness { ready } => format!("ready: {ready}"),
        api::Output::Declared { result, .. } => match result {
            Ok(plan) => {
                format!(
                    "plan with base revision {}: {}",
                    plan.base_revision,
                    plan.changes.join("; ")
                )
            }
            Err(error) => format!("declare failed: {error}"),
        },
        api::Output::Confirmed { reply, .. } => format!("confirm reply: {reply:?}"),
        api::Output::Contradiction { known, reported } => {
            format!("conflicting documents: known {known:?}, reported {reported:?}")
        }
    }
}

fn describe_message(message: &api::Message) -> String {
    // 0 if no version is in force at the sender.
    let revision = |version: &Option<api::Version>| {
        version.map_or(ids::Revision(0), |version| version.revision)
    };
    match message {
        api::Message::Push { version } => format!("push: revision {}", version.revision),
        api::Message::Query { version, standing, .. } => {
            format!("query: revision {}, standing {standing}", revision(version))
        }
        api::Message::Reply { version, standing, starters, .. } => {
            let starters: Vec<&str> = starters.iter().map(|s| s.instance.as_str()).collect();
            format!(
                "reply: revision {}, standing {standing}, queried while not ready: {}",
                revision(version),
                starters.join(" ")
            )
        }
    }
}

fn describe_call(call: &api::PlatformCall) -> String {
    let name = |key: &api::Key| match key {
        api::Key::Root => "root",
        api::Key::Document(_) => "document",
    };
    match call {
        api::PlatformCall::Get(key) => format!("get {}", name(key)),
        api::PlatformCall::Put { key, expected, .. } => {
            format!("put {}, expected store revision {expected}", name(key))
        }
        api::PlatformCall::Watch { after, .. } => {
            format!("watch root after store revision {after}")
        }
    }
}
