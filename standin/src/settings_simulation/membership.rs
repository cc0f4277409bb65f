//! The simulated membership: when instances learn of each other's state and settings.

use super::{Event, LIST_LAG_MS, MEMBERSHIP_PERIOD_MS, Simulation, UNREACHABLE_TIMEOUT_MS, region};
use rand::RngExt as _;
use tarragondoor::ids;
use tarragondoor::settings_distribution::api;

impl Simulation {
    pub(super) fn run_membership_round(&mut self) {
        self.schedule(MEMBERSHIP_PERIOD_MS, 0, ids::BootId(0), Event::Membership);
        self.finish_watches();
        for node in 0..self.nodes.len() {
            if !self.is_up(node) {
                continue;
            }
            for other in 0..self.nodes.len() {
                if other != node {
                    self.observe(node, other);
                }
            }
            self.send_settings_status(node);
        }
        if self.faults.platform_down {
            return;
        }
        let mut names = Vec::new();
        for node in &self.nodes {
            if node.distributor.is_some() && node.unlisted_until_ms <= self.now_ms {
                names.push(node.name.clone());
            }
        }
        self.schedule(LIST_LAG_MS, 0, ids::BootId(0), Event::InstanceList(names));
    }

    /// Reports a change of the state of `other` to `node`, after a random delay.
    pub(super) fn observe(&mut self, node: usize, other: usize) {
        let now_ms = self.now_ms;
        let (region, boot, name) = {
            let other = &self.nodes[other];
            (region(other.region), other.boot, other.name.clone())
        };
        let reachable = self.is_up(other) && self.reachable(node, other);
        let has_left = self.nodes[other].has_left;
        let view = &mut self.nodes[node].member_views[other];
        if reachable {
            view.contact_ms = now_ms;
        }
        let state = match view.reported {
            _ if reachable => api::MemberState::Alive,
            None => return,
            Some(_) if has_left => api::MemberState::Left,
            Some(_) if now_ms - view.contact_ms > UNREACHABLE_TIMEOUT_MS => {
                api::MemberState::Unreachable
            }
            Some(_) => return,
        };
        let boot = if reachable { boot } else { view.reported.map_or(boot, |(boot, _)| boot) };
        if view.reported == Some((boot, state)) {
            return;
        }
        view.reported = Some((boot, state));
        let delay_ms = self.rng.random_range(0..MEMBERSHIP_PERIOD_MS);
        let member = api::Member { instance: name, boot, region, state };
        let node_boot = self.nodes[node].boot;
        self.schedule(delay_ms, node, node_boot, Event::Input(api::Input::Member(member)));
    }

    /// Sends the settings version of `node` to a random member.
    pub(super) fn send_settings_status(&mut self, node: usize) {
        let to = self.rng.random_range(0..self.nodes.len());
        let lost = self.rng.random_range(0..100) < self.faults.loss_percent;
        if to == node || lost || !self.reachable(node, to) {
            return;
        }
        let Some(distributor) = &self.nodes[node].distributor else { return };
        let version = distributor.version();
        let from = self.nodes[node].name.clone();
        let input = api::Input::SettingsStatus { from, boot: self.nodes[node].boot, version };
        let delay_ms = self.latency_ms(node, to);
        let boot = self.nodes[to].boot;
        self.schedule(delay_ms, to, boot, Event::Input(input));
    }
}
