//! Background tasks that keep an instance's view of the cluster up to date, one loop each.

use crate::entry;
use crate::ids;
use crate::member;
use crate::owner;
use crate::peer_api;
use crate::peer_server;
use crate::peers;
use crate::platform;
use crate::platform_api;
use crate::policy;
use crate::rank;
use crate::searcher;
use crate::settings;
use std::net;
use std::sync;
use std::time;

/// The pause between two reads of the platform's list of instances.
const LIST_PERIOD: time::Duration = time::Duration::from_millis(1_000);

/// Timeout of a request for another instance's list.
const LIST_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// How often the inputs of ownership are checked for changes.
const OWNERSHIP_PERIOD: time::Duration = time::Duration::from_millis(100);

/// Timeout of a call to the platform.
pub const PLATFORM_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// Reads the platform's list periodically and updates the searchers, the membership protocol and the
/// settings worker from it.
pub async fn poll_list(node: sync::Arc<entry::Node>, address: net::SocketAddr) {
    let platform = platform::Client::new(address, PLATFORM_TIMEOUT);
    loop {
        match platform.instances().await {
            Ok(list) => {
                node.update_directory(peers::Directory::new(&list));
                node.cluster.list.store(Some(sync::Arc::new(list.clone())));
                let listed = listed_peers(&list);
                let names = listed.iter().map(|(name, _)| name.clone()).collect();
                if node.gossip.set_listed(listed).is_err()
                    || node.settings_worker.update_listed(names).is_err()
                {
                    tracing::debug!(
                        "instance list not passed to gossip or the settings worker: command queue full"
                    );
                }
            }
            Err(error) => {
                tracing::debug!(%error, "could not read the platform's instance list");
                if node.cluster.list.load().is_none() {
                    fetch_list_from_peer(&node).await;
                }
            }
        }
        tokio::time::sleep(LIST_PERIOD).await;
    }
}

/// Fetches the list from another instance, because an instance that starts during a platform outage
/// has none. Only the searchers are updated from it: membership uses only lists from the platform
/// itself.
async fn fetch_list_from_peer(node: &entry::Node) {
    for peer in node.cluster.peers.load().all() {
        if peer.instance == node.instance {
            continue;
        }
        let result =
            node.links.request(&peer.instance, peer_api::Request::List, LIST_TIMEOUT).await;
        let Ok(peer_api::Reply::List(text)) = result else {
            continue;
        };
        let Ok(list) = serde_json::from_str::<platform_api::InstanceList>(&text) else {
            continue;
        };
        node.update_directory(peers::Directory::new(&list));
        node.cluster.list.store(Some(sync::Arc::new(list)));
        return;
    }
}

/// The last known platform list as JSON; empty if there is none.
pub fn list_json(node: &entry::Node) -> String {
    match node.cluster.list.load().as_deref() {
        Some(list) => serde_json::to_string(list).unwrap_or_default(),
        None => String::new(),
    }
}

fn listed_peers(list: &platform_api::InstanceList) -> Vec<(ids::InstanceName, net::SocketAddr)> {
    let mut listed_peers = Vec::new();
    for listed in &list.instances {
        let platform_api::Workload::Entry { instance, peer_address } = &listed.workload else {
            continue;
        };
        listed_peers.push((instance.clone(), *peer_address));
    }
    listed_peers
}

/// The members that may still serve, as the query path uses them; leaving members are not eligible.
fn peers_of(view: &member::View) -> peers::Peers {
    let mut peers = Vec::new();
    for record in &view.members {
        let eligible = match record.state {
            member::State::Alive | member::State::Suspect => true,
            member::State::Leaving => false,
            member::State::Unreachable | member::State::Left => continue,
        };
        peers.push(peers::Peer {
            instance: record.name.clone(),
            boot: record.boot,
            address: record.caller_address,
            peer_address: record.peer_address,
            region: record.region.clone(),
            failure_domain: record.failure_domain.clone(),
            eligible,
        });
    }
    peers::Peers::new(peers)
}

/// Updates ownership and links when the members, the list or the settings change; does nothing
/// otherwise.
pub async fn track_ownership(
    node: sync::Arc<entry::Node>,
    peer_server: sync::Arc<peer_server::PeerServer>,
) {
    let mut applied: Option<OwnershipInputs> = None;
    loop {
        let current = OwnershipInputs {
            peers: sync::Arc::new(peers_of(&node.gossip.view())),
            directory: node.cluster.directory.load_full(),
            settings: node.settings.load_full(),
        };
        if !applied.as_ref().is_some_and(|applied| applied.is_same(&current)) {
            update_ownership(&node, &peer_server, &current);
            applied = Some(current);
        }
        tokio::time::sleep(OWNERSHIP_PERIOD).await;
    }
}

/// The inputs from which ownership is computed.
struct OwnershipInputs {
    peers: sync::Arc<peers::Peers>,
    directory: sync::Arc<peers::Directory>,
    settings: sync::Arc<settings::Settings>,
}

impl OwnershipInputs {
    fn is_same(&self, other: &OwnershipInputs) -> bool {
        sync::Arc::ptr_eq(&self.directory, &other.directory)
            && sync::Arc::ptr_eq(&self.settings, &other.settings)
            && self.peers == other.peers
    }
}

fn update_ownership(
    node: &entry::Node,
    peer_server: &sync::Arc<peer_server::PeerServer>,
    current: &OwnershipInputs,
) {
    let owners = peers::Owners::new(&current.peers, &current.directory);
    node.owner.update(&owners, &current.directory, |service| {
        limits(&current.settings, service, node.policy)
    });
    node.cluster.peers.store(current.peers.clone());
    node.cluster.owners.store(sync::Arc::new(owners));
    node.links.update(&current.peers, peer_server);
}

fn limits(
    settings: &settings::Settings,
    service: &ids::ServiceName,
    policy_kind: policy::Policy,
) -> Option<searcher::Limits> {
    let policy = settings.service(service)?;
    let mut floors_percent = [0; rank::RANK_COUNT];
    for rank in rank::Rank::ALL {
        let floor = settings.rank(rank).map_or(0, |policy| policy.floor_percent);
        floors_percent[rank.index()] = floor;
    }
    Some(searcher::Limits {
        slots: policy.slots_per_searcher,
        connections: policy.connections_per_searcher,
        floors_percent,
        policy: policy_kind,
    })
}

/// Periodically starts waiting calls to the owned searchers if slots have become usable again, and
/// refuses those calls that can no longer meet their deadline.
pub async fn tick_owner(node: sync::Arc<entry::Node>) {
    loop {
        node.owner.tick();
        tokio::time::sleep(owner::TICK_PERIOD).await;
    }
}

/// Probes the owned searchers for their status periodically, and broadcasts changes to the other
/// instances.
pub async fn probe_searchers(node: sync::Arc<entry::Node>) {
    loop {
        let holdings = node.holdings.load_full();
        let changed = node
            .owner
            .probe(|searcher| holdings.find(searcher).map_or(0, |report| report.observation))
            .await;
        if !changed.is_empty() {
            node.links.broadcast(&peer_api::Frame::Reports(changed.clone()));
            node.merge_reports(changed);
        }
        tokio::time::sleep(owner::PROBE_PERIOD).await;
    }
}
