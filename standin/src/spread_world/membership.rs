//! Played membership: who learns of whom, and when.

use super::{Event, LIST_LAG_MS, MEMBERSHIP_MS, UNREACHABLE_MS, World, region};
use rand::RngExt as _;
use tarragondoor::ids;
use tarragondoor::settings_distribution::api;

impl World {
    pub(super) fn membership(&mut self) {
        self.schedule(MEMBERSHIP_MS, 0, ids::BootId(0), Event::Membership);
        self.end_watches();
        for node in 0..self.nodes.len() {
            if !self.is_up(node) {
                continue;
            }
            for other in 0..self.nodes.len() {
                if other != node {
                    self.see(node, other);
                }
            }
            self.gossip(node);
        }
        if self.faults.platform_down {
            return;
        }
        let mut names = Vec::new();
        for node in &self.nodes {
            if node.spread.is_some() && node.unlisted_until_ms <= self.now_ms {
                names.push(node.name.clone());
            }
        }
        self.schedule(LIST_LAG_MS, 0, ids::BootId(0), Event::List(names));
    }

    /// Has `node` learn of a change of `other`.
    pub(super) fn see(&mut self, node: usize, other: usize) {
        let now_ms = self.now_ms;
        let (region, boot, name) = {
            let other = &self.nodes[other];
            (region(other.region), other.boot, other.name.clone())
        };
        let reachable = self.is_up(other) && self.reachable(node, other);
        let left = self.nodes[other].left;
        let seen = &mut self.nodes[node].seen[other];
        if reachable {
            seen.contact_ms = now_ms;
        }
        let state = match seen.told {
            _ if reachable => api::MemberState::Alive,
            None => return,
            Some(_) if left => api::MemberState::Left,
            Some(_) if now_ms - seen.contact_ms > UNREACHABLE_MS => api::MemberState::Unreachable,
            Some(_) => return,
        };
        let boot = if reachable { boot } else { seen.told.map_or(boot, |(boot, _)| boot) };
        if seen.told == Some((boot, state)) {
            return;
        }
        seen.told = Some((boot, state));
        let delay_ms = self.rng.random_range(0..MEMBERSHIP_MS);
        let member = api::Member { instance: name, boot, region, state };
        let own_boot = self.nodes[node].boot;
        self.schedule(delay_ms, node, own_boot, Event::Input(api::Input::Member(member)));
    }

    /// Sends the note of `node` to another member.
    pub(super) fn gossip(&mut self, node: usize) {
        let to = self.rng.random_range(0..self.nodes.len());
        let lost = self.rng.random_range(0..100) < self.faults.loss_percent;
        if to == node || lost || !self.reachable(node, to) {
            return;
        }
        let Some(spread) = &self.nodes[node].spread else { return };
        let version = spread.version();
        let from = self.nodes[node].name.clone();
        let input = api::Input::SettingsStatus { from, boot: self.nodes[node].boot, version };
        let delay_ms = self.latency_ms(node, to);
        let boot = self.nodes[to].boot;
        self.schedule(delay_ms, to, boot, Event::Input(input));
    }
}
