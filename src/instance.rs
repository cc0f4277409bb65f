//! An instance put together: its duties, started and stopped.

use crate::attempts;
use crate::config;
use crate::entry;
use crate::events::Event;
use crate::gossip;
use crate::home;
use crate::http;
use crate::ids;
use crate::link;
use crate::member;
use crate::owner;
use crate::peer_api;
use crate::peers;
use crate::platform;
use crate::platform_api;
use crate::policy;
use crate::rank;
use crate::seal;
use crate::searcher;
use crate::serve;
use crate::settings;
use error_stack::ResultExt as _;
use std::net;
use std::sync;
use std::time;

/// How often the platform's list is read.
const LIST_PERIOD: time::Duration = time::Duration::from_millis(1_000);

/// How often ownership follows the views.
const FOLLOW_PERIOD: time::Duration = time::Duration::from_millis(100);

/// How long a call to the platform may take.
const PLATFORM_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// Why an instance could not run.
#[derive(Debug, thiserror::Error)]
#[error("can't run the instance")]
pub struct InstanceError;

/// Runs an instance until it is told to stop by a signal.
///
/// # Errors
///
/// When it can't listen.
pub async fn run(
    config: config::Config,
    secrets: config::Secrets,
    settings: settings::Settings,
) -> Result<(), error_stack::Report<InstanceError>> {
    let boot = ids::BootId(now_us());
    let listener = http::bind(config.listen).await.change_context(InstanceError)?;
    let peer_listener =
        tokio::net::TcpListener::bind(config.peer_listen).await.change_context(InstanceError)?;
    let attempts: sync::Arc<attempts::Attempts> = sync::Arc::default();
    let me = config.instance.clone();
    let links = link::Links::new(me.clone(), boot, &secrets.key, attempts.clone());
    let gossip = start_gossip(&config, boot, secrets.key)?;
    let node = sync::Arc::new(entry::Node {
        me: me.clone(),
        boot,
        place: config.place(),
        world: sync::Arc::default(),
        settings: arc_swap::ArcSwap::from_pointee(settings),
        holdings: arc_swap::ArcSwap::default(),
        attempts,
        gossip,
        links: sync::Arc::new(links),
        home: home::Home::new(me.clone(), boot),
        owner: sync::Arc::new(owner::Owner::new(me)),
        started: time::Instant::now(),
    });
    let serve = sync::Arc::new(serve::Server { node: node.clone() });
    tokio::spawn(node.links.clone().accept(peer_listener, serve.clone()));
    tokio::spawn(read_list(node.clone(), config.platform));
    tokio::spawn(follow(node.clone(), serve));
    tokio::spawn(probe(node.clone()));
    tokio::spawn(tick(node.clone()));
    let app = sync::Arc::new(http::App {
        node: node.clone(),
        token: secrets.token,
        address_ttl_ms: config.address_ttl_ms,
    });
    crate::event!(info, Event::InstanceStarted, instance = %node.me, boot = %node.boot);
    let incoming = volo::net::incoming::DefaultIncoming::from(listener);
    let server = volo_http::server::Server::new(http::router(app));
    server
        .run(incoming)
        .await
        .map_err(|error| error_stack::Report::new(InstanceError).attach(error.to_string()))?;
    crate::event!(info, Event::InstanceStopped, instance = %node.me);
    Ok(())
}

fn now_us() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}

async fn read_list(node: sync::Arc<entry::Node>, address: net::SocketAddr) {
    let platform = platform::Platform::new(address, PLATFORM_TIMEOUT);
    loop {
        match platform.instances().await {
            Ok(list) => {
                node.world.directory.store(sync::Arc::new(peers::Directory::new(&list)));
                if node.gossip.set_listed(listed_peers(&list)).is_err() {
                    tracing::debug!("membership is busy; it gets the next list");
                }
            }
            Err(error) => tracing::debug!(%error, "list not read"),
        }
        tokio::time::sleep(LIST_PERIOD).await;
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

fn start_gossip(
    config: &config::Config,
    boot: ids::BootId,
    key: seal::ClusterKey,
) -> Result<gossip::Handle, error_stack::Report<InstanceError>> {
    let socket = net::UdpSocket::bind(config.peer_listen).change_context(InstanceError)?;
    let me = member::Record {
        name: config.instance.clone(),
        boot,
        incarnation: ids::Incarnation(0),
        state: member::State::Alive,
        peer_address: config.peer_listen,
        caller_address: config.listen,
        region: config.region.clone(),
        failure_domain: config.failure_domain.clone(),
    };
    let gossip_config = gossip::Config {
        me,
        protocol: member::Config::default(),
        seeds: config.seeds.iter().map(|seed| seed.peer_address).collect(),
        rng_seed: rand::random(),
        nonce: rand::random(),
    };
    gossip::start(gossip_config, socket, key).change_context(InstanceError)
}

/// The members that may still serve, as the data path sees them.
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

async fn follow(node: sync::Arc<entry::Node>, serve: sync::Arc<serve::Server>) {
    loop {
        let peers = sync::Arc::new(peers_of(&node.gossip.view()));
        node.world.peers.store(peers.clone());
        let directory = node.world.directory.load_full();
        let settings = node.settings.load_full();
        node.owner.follow(&peers, &directory, |service| limits(&settings, service));
        node.links.follow(&peers, &serve);
        tokio::time::sleep(FOLLOW_PERIOD).await;
    }
}

fn limits(settings: &settings::Settings, service: &ids::ServiceName) -> Option<searcher::Limits> {
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
        policy: policy::Policy::Full,
    })
}

async fn tick(node: sync::Arc<entry::Node>) {
    loop {
        node.owner.tick();
        tokio::time::sleep(owner::TICK_PERIOD).await;
    }
}

async fn probe(node: sync::Arc<entry::Node>) {
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
