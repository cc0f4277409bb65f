//! The other instances and which of them may be serving.

use super::api;
use crate::ids;

/// How long a contact counts as evidence that an instance may serve, and how long an instance that is not
/// ready is listed in replies. Longer than gossip takes to reach all members.
const CONTACT_TTL_MS: u64 = 20_000;

/// The most bytes of a reply that the list of starters may take.
const STARTERS_MAX_BYTES: usize = 700;

/// The maximum size of an encoded starter without the text of its name: the name's length and the boot.
const STARTER_OVERHEAD_BYTES: usize = 12;

/// One other instance.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) instance: ids::InstanceName,
    /// Its newest known boot.
    pub(super) boot: Option<ids::BootId>,
    pub(super) region: Option<ids::RegionName>,
    pub(super) state: Option<api::MemberState>,
    pub(super) listed: bool,
    contact_expires_ms: u64,
    starting_expires_ms: u64,
}

impl Peer {
    fn new(instance: ids::InstanceName) -> Self {
        Self {
            instance,
            boot: None,
            region: None,
            state: None,
            listed: false,
            contact_expires_ms: 0,
            starting_expires_ms: 0,
        }
    }

    pub(super) fn is_live(&self) -> bool {
        matches!(self.state, Some(api::MemberState::Alive | api::MemberState::Suspect))
    }
}

/// All other instances, sorted by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    peers: Vec<Peer>,
    list_known: bool,
}

impl Peers {
    pub(super) fn all(&self) -> &[Peer] {
        &self.peers
    }

    pub(super) fn list_known(&self) -> bool {
        self.list_known
    }

    pub(super) fn update_member(&mut self, member: api::Member) {
        let peer = self.get_or_insert(&member.instance);
        if peer.boot.is_some_and(|boot| boot > member.boot) {
            return;
        }
        let unreachable = Some(api::MemberState::Unreachable);
        if Some(member.state) == unreachable && peer.state != unreachable {
            peer.contact_expires_ms = 0;
        }
        peer.boot = Some(member.boot);
        peer.region = Some(member.region);
        peer.state = Some(member.state);
    }

    pub(super) fn update_listed(
        &mut self,
        mut names: Vec<ids::InstanceName>,
        own_name: &ids::InstanceName,
        now_ms: u64,
    ) {
        names.sort();
        self.list_known = true;
        for peer in &mut self.peers {
            peer.listed = false;
        }
        for name in names {
            if name != *own_name {
                self.get_or_insert(&name).listed = true;
            }
        }
        self.peers
            .retain(|peer| peer.listed || peer.state.is_some() || peer.contact_expires_ms > now_ms);
    }

    /// Clears the boot and state of a member that the membership protocol has forgotten, and removes the member
    /// unless it is on the platform's list.
    pub(super) fn remove_member(&mut self, instance: &ids::InstanceName) {
        let peer = self.get_or_insert(instance);
        peer.state = None;
        peer.boot = None;
        self.peers.retain(|peer| peer.listed || peer.instance != *instance);
    }

    /// Records direct or reported contact with this boot of an instance. Ignores an older boot.
    pub(super) fn record_contact(
        &mut self,
        instance: &ids::InstanceName,
        boot: ids::BootId,
        now_ms: u64,
    ) {
        let peer = self.get_or_insert(instance);
        if peer.boot > Some(boot) {
            return;
        }
        if peer.boot < Some(boot) {
            peer.boot = Some(boot);
            peer.state = None;
        }
        peer.contact_expires_ms = now_ms + CONTACT_TTL_MS;
    }

    /// Records a query from an instance that is not ready. Ignores an older boot.
    pub(super) fn record_starting(
        &mut self,
        instance: &ids::InstanceName,
        boot: ids::BootId,
        now_ms: u64,
    ) {
        self.record_contact(instance, boot, now_ms);
        let peer = self.get_or_insert(instance);
        if peer.boot == Some(boot) {
            peer.starting_expires_ms = now_ms + CONTACT_TTL_MS;
        }
    }

    /// The instances that recently queried while not ready, and whether there are more than fit into a reply.
    pub(super) fn starters(&self, now_ms: u64) -> (Vec<api::Starter>, bool) {
        let mut starters = Vec::new();
        let mut bytes = 0;
        for peer in &self.peers {
            let Some(boot) = peer.boot else { continue };
            if peer.starting_expires_ms <= now_ms {
                continue;
            }
            bytes += peer.instance.as_str().len() + STARTER_OVERHEAD_BYTES;
            if bytes > STARTERS_MAX_BYTES {
                return (starters, true);
            }
            starters.push(api::Starter { instance: peer.instance.clone(), boot });
        }
        (starters, false)
    }

    /// The instances that may be serving. An unreachable one counts while the platform's list names it or
    /// is unknown, or a contact is recent; one of unknown state while the list names it or a contact is
    /// recent.
    pub(super) fn may_serve(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(move |peer| match peer.state {
            Some(api::MemberState::Alive | api::MemberState::Suspect) => true,
            Some(api::MemberState::Leaving) => true,
            Some(api::MemberState::Unreachable) => {
                peer.listed || !self.list_known || peer.contact_expires_ms > now_ms
            }
            Some(api::MemberState::Left) => false,
            None => peer.listed || peer.contact_expires_ms > now_ms,
        })
    }

    fn get_or_insert(&mut self, instance: &ids::InstanceName) -> &mut Peer {
        let index = match self.peers.binary_search_by(|peer| peer.instance.cmp(instance)) {
            Ok(index) => index,
            Err(index) => {
                self.peers.insert(index, Peer::new(instance.clone()));
                index
            }
        };
        &mut self.peers[index]
    }
}
