//! Starts an instance with its listeners and tasks, and stops it gracefully.

use crate::attempts;
use crate::background_tasks;
use crate::clock;
use crate::config;
use crate::dispatch;
use crate::entry;
use crate::events::Event;
use crate::forward::admission::memory;
use crate::gossip;
use crate::home;
use crate::http;
use crate::ids;
use crate::lifecycle;
use crate::link;
use crate::member;
use crate::metrics;
use crate::owner;
use crate::peer_server;
use crate::seal;
use crate::settings_worker;
use crate::trace;
use error_stack::ResultExt as _;
use std::net;
use std::sync;
use std::time;

/// How long other instances may still give callers the address of this one after it has announced
/// its leave.
const LEAVE_PROPAGATION: time::Duration = time::Duration::from_millis(1_500);

/// The maximum wait for open requests to end, which exceeds the longest deadline of a request.
const REQUEST_DRAIN_MAX: time::Duration =
    time::Duration::from_millis(entry::DEADLINE_MAX_MS as u64 + 2_000);

/// How often a stopping instance checks whether requests are open.
const IDLE_CHECK_PERIOD: time::Duration = time::Duration::from_millis(50);

/// How many more ports are tried if a free TCP port is in use for UDP.
const PORT_RETRIES_MAX: u32 = 16;

/// Why an instance could not run.
#[derive(Debug, thiserror::Error)]
pub enum InstanceError {
    /// An address can't be bound.
    #[error("can't listen on {0}")]
    Listen(net::SocketAddr),
    /// The membership protocol could not be started.
    #[error("can't start the membership protocol")]
    Membership,
    /// The HTTP server failed.
    #[error("the HTTP server failed")]
    Server,
}

/// A running instance. Dropping it stops it without draining.
pub struct Instance {
    node: sync::Arc<entry::Node>,
    app: sync::Arc<http::App>,
    address: net::SocketAddr,
    peer_address: net::SocketAddr,
    listener: Option<tokio::net::TcpListener>,
    _tasks: tokio::task::JoinSet<()>,
}

/// Starts an instance; it serves callers once [`Instance::serve`] runs.
///
/// # Errors
///
/// When an address can't be bound or the membership protocol can't be started.
pub async fn start(
    config: config::Config,
    secrets: config::Secrets,
) -> Result<Instance, error_stack::Report<InstanceError>> {
    let boot = ids::BootId(unix_us());
    let listen_error = || InstanceError::Listen(config.listen);
    let listener = http::bind(config.listen).await.change_context_lazy(listen_error)?;
    let address = listener.local_addr().change_context_lazy(listen_error)?;
    let (peer_listener, peer_socket) = bind_peer(config.peer_listen).await?;
    let peer_address = peer_listener
        .local_addr()
        .change_context_lazy(|| InstanceError::Listen(config.peer_listen))?;
    let own_record = member::Record {
        name: config.instance.clone(),
        boot,
        incarnation: ids::Incarnation(0),
        state: member::State::Alive,
        peer_address,
        caller_address: address,
        region: config.region.clone(),
        failure_domain: config.failure_domain.clone(),
    };
    let gossip = start_gossip(&config, own_record, peer_socket, secrets.key.clone())?;
    let attempts: sync::Arc<attempts::Attempts> = sync::Arc::default();
    let instance = config.instance.clone();
    let links = link::Links::new(instance.clone(), boot, &secrets.key, attempts.clone());
    let (settings_worker, inbox) = settings_worker::channel();
    let node = sync::Arc::new(entry::Node {
        instance: instance.clone(),
        boot,
        location: config.location(),
        cluster: sync::Arc::default(),
        settings: arc_swap::ArcSwap::default(),
        routes: arc_swap::ArcSwap::default(),
        holdings: arc_swap::ArcSwap::default(),
        attempts,
        gossip,
        links: sync::Arc::new(links),
        home: home::Home::new(instance.clone(), boot),
        owner: sync::Arc::new(owner::Owner::new(instance)),
        settings_worker,
        dispatchers: dispatch::Dispatchers::default(),
        policy: config.policy,
        metrics: metrics::Metrics::new(),
        lifecycle: lifecycle::Lifecycle::default(),
        started_us: clock::now_us(),
    });
    let peer_server = sync::Arc::new(peer_server::PeerServer { node: node.clone() });
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(node.links.clone().accept(peer_listener, peer_server.clone()));
    tasks.spawn(background_tasks::poll_list(node.clone(), config.platform));
    tasks.spawn(background_tasks::track_ownership(node.clone(), peer_server));
    tasks.spawn(background_tasks::probe_searchers(node.clone()));
    tasks.spawn(background_tasks::tick_owner(node.clone()));
    tasks.spawn(settings_worker::run(node.clone(), config.platform, config.seeds.len(), inbox));
    let budget = memory::Budget::new(config.memory_mb.map(|memory_mb| memory_mb << 20));
    let app = sync::Arc::new(http::App {
        node: node.clone(),
        token: secrets.token,
        address_ttl_ms: config.address_ttl_ms,
        bodies: sync::Arc::new(memory::Pool::new(budget.bodies_bytes)),
        sample_limiter: trace::SampleLimiter::default(),
    });
    crate::event!(
        info,
        Event::InstanceStarted,
        instance = %node.instance,
        boot = %node.boot,
        address = %address,
        peer_address = %peer_address
    );
    Ok(Instance { node, app, address, peer_address, listener: Some(listener), _tasks: tasks })
}

impl Instance {
    /// The shared state.
    pub fn node(&self) -> &sync::Arc<entry::Node> {
        &self.node
    }

    /// The address on which it listens for callers and operators.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// The address on which it listens for other instances.
    pub fn peer_address(&self) -> net::SocketAddr {
        self.peer_address
    }

    /// Serves callers until the process gets a signal to stop, then stops gracefully: it announces its
    /// leave, serves for as long as callers may have its address cached, and waits for open requests.
    ///
    /// # Errors
    ///
    /// When the HTTP server fails.
    pub async fn serve(&mut self) -> Result<(), error_stack::Report<InstanceError>> {
        let Some(listener) = self.listener.take() else {
            return Ok(());
        };
        let incoming = volo::net::incoming::DefaultIncoming::from(listener);
        let app = self.app.clone();
        let server = volo_http::server::Server::new(http::router(self.app.clone()))
            .register_shutdown_hook(move || Box::pin(async move { drain(&app).await }));
        server.run(incoming).await.map_err(|error| {
            error_stack::Report::new(InstanceError::Server).attach(error.to_string())
        })?;
        crate::event!(info, Event::InstanceStopped, instance = %self.node.instance);
        Ok(())
    }
}

/// Announces the leave, then waits for as long as callers may have this instance's address cached,
/// and until it is idle or [`REQUEST_DRAIN_MAX`] has passed.
async fn drain(app: &http::App) {
    let node = &app.node;
    crate::event!(info, Event::InstanceStopping, instance = %node.instance);
    node.lifecycle.set_stopping();
    if node.gossip.leave().is_err() {
        tracing::warn!("gossip command queue is full; the leave is announced when gossip stops");
    }
    let address_ttl = time::Duration::from_millis(app.address_ttl_ms.into());
    tokio::time::sleep(address_ttl + LEAVE_PROPAGATION).await;
    let deadline = tokio::time::Instant::now() + REQUEST_DRAIN_MAX;
    while !node.is_idle() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(IDLE_CHECK_PERIOD).await;
    }
}

/// Binds TCP and UDP to the same port. Port 0 selects a port that is free for both.
async fn bind_peer(
    address: net::SocketAddr,
) -> Result<(tokio::net::TcpListener, net::UdpSocket), error_stack::Report<InstanceError>> {
    let error = || InstanceError::Listen(address);
    let mut retries = 0;
    loop {
        let listener = tokio::net::TcpListener::bind(address).await.change_context_lazy(error)?;
        let bound = listener.local_addr().change_context_lazy(error)?;
        match net::UdpSocket::bind(bound) {
            Ok(socket) => return Ok((listener, socket)),
            Err(_) if address.port() == 0 && retries < PORT_RETRIES_MAX => retries += 1,
            Err(cause) => return Err(cause).change_context_lazy(error),
        }
    }
}

/// Microseconds since the Unix epoch by the wall clock.
fn unix_us() -> u64 {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros() as u64
}

fn start_gossip(
    config: &config::Config,
    own_record: member::Record,
    socket: net::UdpSocket,
    key: seal::ClusterKey,
) -> Result<gossip::Handle, error_stack::Report<InstanceError>> {
    let gossip_config = gossip::Config {
        own_record,
        protocol: member::Config::default(),
        seeds: config.seeds.iter().map(|seed| seed.peer_address).collect(),
        rng_seed: rand::random(),
        nonce: rand::random(),
    };
    gossip::start(gossip_config, socket, key).change_context(InstanceError::Membership)
}
