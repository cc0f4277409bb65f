//! An instance on a platform whose store, settings and wire names an adapter translates.

use crate::clock;
use crate::discovery::members;
use crate::discovery::publisher;
use crate::discovery::reader;
use crate::discovery::store_client;
use crate::discovery::subscriber;
use crate::discovery::view;
use crate::event;
use crate::events::Event;
use crate::forward::budget;
use crate::forward::dialect;
use crate::forward::metrics;
use crate::forward::run;
use crate::forward::server;
use compact_str::CompactString;
use error_stack::ResultExt as _;
use std::net;
use std::sync;
use std::time;
use tokio::net::TcpListener;
use tokio::signal::unix;
use tokio::sync::watch;

/// What an instance is told at its start.
pub struct Settings {
    /// What it says of itself to the others.
    pub me: members::Member,
    /// Where it listens.
    pub listen: Listen,
    /// Control addresses of some instances at the start, which may be out of date.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Failure domains and their regions.
    pub regions: Vec<(CompactString, CompactString)>,
    /// How soon changes have to take effect.
    pub bounds: reader::Bounds,
    /// The budget of second sends.
    pub budget: budget::Rule,
    /// The time from a request to stop to the process being killed.
    pub grace: time::Duration,
}

/// Where an instance listens; `None` for what it does not serve.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listen {
    /// For clients' requests.
    pub front: Option<net::SocketAddr>,
    /// For the readiness check.
    pub ready: Option<net::SocketAddr>,
    /// For other instances.
    pub control: Option<net::SocketAddr>,
    /// For clients that ask where to connect.
    pub directory: Option<net::SocketAddr>,
    /// For those that collect metrics.
    pub metrics: Option<net::SocketAddr>,
}

/// Why an instance could not run.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// An address can't be listened on.
    #[error("can't listen on {0}")]
    Listen(net::SocketAddr),
    /// Signals can't be waited for.
    #[error("can't wait for signals")]
    Signals,
}

/// How long an instance that stops serves on before it closes idle connections: clients may use an address
/// answer for three times its time to live.
const DRAIN_TIME: time::Duration = time::Duration::from_millis(3_200);
/// How much sooner than it would be killed an instance ends by itself.
const GRACE_MARGIN: time::Duration = time::Duration::from_millis(400);
/// How often an instance that stops looks whether it is idle.
const IDLE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// How often an instance looks whether it is ready.
const READY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Runs an instance until it is told to stop. `seeds` follows the control addresses of the settings.
///
/// # Errors
///
/// When it can't listen or wait for signals.
pub async fn run(
    settings: Settings,
    seeds: watch::Receiver<Vec<net::SocketAddr>>,
    dialect: dialect::Dialect,
    store: impl store_client::StoreClient,
) -> Result<(), error_stack::Report<NodeError>> {
    let mut terminate =
        unix::signal(unix::SignalKind::terminate()).change_context(NodeError::Signals)?;
    let name = settings.me.name.clone();
    event!(
        info,
        Event::InstanceStarted,
        instance = %name,
        boot = settings.me.boot_ms,
        region = %settings.me.region,
        domain = %settings.me.domain,
        seeds = settings.seeds.len()
    );
    let view = sync::Arc::new(view::View::new(settings.me));
    let metrics = sync::Arc::new(metrics::Metrics::new());
    let forwarder = run::Forwarder::new(
        view.clone(),
        dialect,
        settings.regions,
        settings.budget,
        metrics.clone(),
    );
    let forwarder = sync::Arc::new(forwarder);
    let server = sync::Arc::new(server::Server::new(view.clone(), forwarder.clone()));

    let listen = settings.listen;
    if let Some(address) = listen.control {
        tokio::spawn(publisher::run(bind(address).await?, view.clone()));
    }
    if let Some(address) = listen.directory {
        tokio::spawn(server.clone().serve_directory(bind(address).await?));
    }
    if let Some(address) = listen.ready {
        tokio::spawn(server.clone().serve_readiness(bind(address).await?));
    }
    if let Some(address) = listen.metrics {
        tokio::spawn(server.clone().serve_metrics(bind(address).await?));
    }
    if let Some(address) = listen.front {
        tokio::spawn(server.clone().serve_clients(bind(address).await?));
    }
    let reader = reader::Reader::new(
        view.clone(),
        store,
        &settings.seeds,
        settings.is_first_start,
        settings.bounds,
        metrics,
    );
    tokio::spawn(reader.run());
    tokio::spawn(subscriber::run(view.clone(), seeds));
    tokio::spawn(async move { forwarder.follow_view().await });
    let readiness = tokio::spawn(watch_readiness(view.clone()));

    terminate.recv().await;
    readiness.abort();
    stop(&view, &server, settings.grace).await;
    event!(info, Event::InstanceStopped, instance = %name, open_connections = server.connection_count());
    Ok(())
}

async fn bind(address: net::SocketAddr) -> Result<TcpListener, error_stack::Report<NodeError>> {
    TcpListener::bind(address).await.change_context(NodeError::Listen(address))
}

/// Declares the instance ready as soon as it knows enough to serve.
async fn watch_readiness(view: sync::Arc<view::View>) {
    while !view.is_complete() {
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    let ages = view.ages();
    event!(
        info,
        Event::Ready,
        config = view.config_version().0,
        config_age_ms = ages.config_us.map(|us| us / 1_000),
        searchers_age_ms = ages.searchers_us.map(|us| us / 1_000)
    );
    view.change_members(|members| {
        let reaches_store = members.me().reaches_store;
        members.set_me(members::MemberState::Ready, reaches_store)
    });
}

/// Stops without cutting a request: first out of the addresses that clients are told, then the idle
/// connections closed, then gone when the last request is answered.
async fn stop(view: &view::View, server: &server::Server, grace: time::Duration) {
    event!(info, Event::InstanceStopping, open_connections = server.connection_count());
    let started_us = clock::now_us();
    let elapsed = || time::Duration::from_micros(clock::now_us() - started_us);
    view.change_members(|members| {
        let reaches_store = members.me().reaches_store;
        members.set_me(members::MemberState::Draining, reaches_store)
    });
    server.set_phase(server::ShutdownPhase::Draining);
    let time_limit = grace.saturating_sub(GRACE_MARGIN);
    tokio::time::sleep(DRAIN_TIME.min(time_limit / 2)).await;
    server.set_phase(server::ShutdownPhase::Closing);
    while server.connection_count() > 0 && elapsed() < time_limit {
        tokio::time::sleep(IDLE_POLL_INTERVAL).await;
    }
}
