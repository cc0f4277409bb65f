//! Runs an instance on a platform. An adapter translates the platform's store, settings and HTTP protocol.

use crate::build_info;
use crate::clock;
use crate::discovery::members;
use crate::discovery::pacer;
use crate::discovery::publisher;
use crate::discovery::reader;
use crate::discovery::store_client;
use crate::discovery::subscriber;
use crate::discovery::view;
use crate::event;
use crate::events::Event;
use crate::expected_work::routing;
use crate::forward::admission;
use crate::forward::admission::connections;
use crate::forward::admission::memory;
use crate::forward::budget;
use crate::forward::dialect;
use crate::forward::metrics;
use crate::forward::run;
use crate::forward::send_limit;
use crate::forward::server;
use crate::placement::cold;
use crate::tenants::enforcement;
use crate::tenants::quota;
use compact_str::CompactString;
use error_stack::ResultExt as _;
use std::net;
use std::process;
use std::sync;
use std::time;
use tokio::net::TcpListener;
use tokio::signal::unix;
use tokio::sync::watch;

/// The settings that an instance is started with.
pub struct Settings {
    /// What the program was built from.
    pub build: build_info::BuildInfo,
    /// How it describes itself to other instances.
    pub me: members::Member,
    /// The addresses that it listens on.
    pub listen: Listen,
    /// The control addresses of some instances to contact at the start; they may be out of date.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Pairs of a failure domain and its region.
    pub regions: Vec<(CompactString, CompactString)>,
    /// The time limits within which changes have to take effect.
    pub bounds: reader::Bounds,
    /// How often searchers renew their entries in the store; `None` if it is not known.
    pub renewal_period: Option<time::Duration>,
    /// The rate of the instance's link; `None` if it is not known.
    pub link: Option<pacer::ByteRate>,
    /// The memory and the descriptors that the process may use.
    pub machine: memory::Machine,
    /// The budget of hedges and retries.
    pub budget: budget::Rule,
    /// By how much the limits of cold searchers may be exceeded.
    pub cold: cold::Tolerance,
    /// The rule by which searchers are selected.
    pub routing: routing::Routing,
    /// The fleet-wide bound on the requests of tenants with quotas; `None` if quotas are not enforced.
    pub quota: Option<quota::Rule>,
    /// The time from the request to stop until the process is killed.
    pub grace: time::Duration,
}

/// The addresses that an instance listens on; `None` for what it does not serve.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listen {
    /// For client requests.
    pub front: Option<net::SocketAddr>,
    /// For readiness checks.
    pub ready: Option<net::SocketAddr>,
    /// For other instances.
    pub control: Option<net::SocketAddr>,
    /// For clients that request the addresses of instances.
    pub directory: Option<net::SocketAddr>,
    /// For metrics collectors.
    pub metrics: Option<net::SocketAddr>,
}

/// Why an instance could not run.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// Listening on this address failed.
    #[error("can't listen on {0}")]
    Listen(net::SocketAddr),
    /// The handler for SIGTERM can't be installed.
    #[error("can't install the handler for SIGTERM")]
    Signals,
}

/// How long an instance that stops keeps serving before it closes idle connections. Clients may use a
/// directory answer for three times its time to live.
const DRAIN_TIME: time::Duration = time::Duration::from_millis(3_200);
/// How long before it would be killed an instance exits by itself.
const GRACE_MARGIN: time::Duration = time::Duration::from_millis(400);
/// How long before it exits an instance gives the last answers: the time to write them over slow links.
const LAST_ANSWER_MARGIN: time::Duration = time::Duration::from_millis(300);
/// How often an instance that stops checks whether all connections are closed.
const IDLE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// How often an instance that starts checks whether it is ready.
const READY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Runs an instance until it receives SIGTERM. `seeds` holds the current control addresses from the
/// settings.
///
/// # Errors
///
/// When it can't listen on an address or install the signal handler.
pub async fn run(
    settings: Settings,
    seeds: watch::Receiver<Vec<net::SocketAddr>>,
    dialect: dialect::Dialect,
    store: impl store_client::StoreClient,
) -> Result<(), error_stack::Report<NodeError>> {
    // Counts from the start of the process.
    clock::uptime_us();
    let mut terminate =
        unix::signal(unix::SignalKind::terminate()).change_context(NodeError::Signals)?;
    let name = settings.me.name.clone();
    event!(
        info,
        Event::InstanceStarted,
        instance = %name,
        boot = settings.me.boot_ms,
        pid = process::id(),
        version = %settings.build.version,
        commit = %settings.build.commit,
        source_state = %settings.build.source_state,
        sources = %settings.build.sources,
        target_triple = %settings.build.target_triple,
        region = %settings.me.region,
        domain = %settings.me.domain,
        seeds = settings.seeds.len()
    );
    let view = sync::Arc::new(view::View::new(settings.me));
    if settings.bounds.evacuate.is_some() {
        view.use_evacuations();
    }
    let metrics = sync::Arc::new(metrics::Metrics::of_build(&settings.build));
    let forwarder = run::Forwarder::new(
        view.clone(),
        dialect,
        settings.regions,
        settings.budget,
        metrics.clone(),
    );
    forwarder.set_cold_tolerance(settings.cold);
    let budget = memory::Budget::new(settings.machine.memory_bytes);
    let account = sync::Arc::new(memory::Account::new(memory::Usage {
        bytes: budget.account_bytes,
        connections: connections::all_max(settings.machine.descriptors_max),
    }));
    let connections_max = connections::searchers_max(settings.machine.descriptors_max);
    let admission = admission::Admission::new(settings.machine, &account, metrics.clone());
    let forwarder = forwarder
        .with_answers_max(budget.answers_bytes, admission.clients.clone())
        .with_send_limit(send_limit::SendLimit::within(
            account.clone(),
            connections_max,
            budget.sends_bytes,
        ))
        .with_routing(settings.routing);
    let forwarder = sync::Arc::new(forwarder);
    let server = sync::Arc::new(server::Server::new(
        view.clone(),
        forwarder.clone(),
        settings.bounds.config_apply,
        admission,
    ));

    if let Some(rule) = settings.quota {
        let me = view.with_members(|members| members.me().control);
        let has_others = settings.seeds.iter().any(|seed| *seed != me);
        let quotas = sync::Arc::new(enforcement::Enforcement::new(rule, has_others));
        view.set_quotas(quotas.clone());
        let (view, forwarder) = (view.clone(), forwarder.clone());
        tokio::spawn(async move { quotas.run(view, forwarder).await });
    }

    let listen = settings.listen;
    if let Some(address) = listen.control {
        tokio::spawn(publisher::run(
            bind(address).await?,
            view.clone(),
            metrics.clone(),
            settings.link,
        ));
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
        settings.renewal_period,
        metrics,
    );
    tokio::spawn(reader.run());
    tokio::spawn(subscriber::run(view.clone(), seeds, settings.bounds));
    tokio::spawn(async move { forwarder.apply_view_changes().await });
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

/// Declares the instance ready as soon as it knows the configuration and the searchers.
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
    view.change_members(|members| members.set_my_state(members::MemberState::Ready));
}

/// Shuts down gracefully: first the instance is removed from the directory, then idle connections are
/// closed, and it waits for the requests in progress, for as long as `grace` allows. Those that have no answer shortly
/// before it exits are answered as timed out.
async fn stop(view: &view::View, server: &server::Server, grace: time::Duration) {
    event!(info, Event::InstanceStopping, open_connections = server.connection_count());
    let started_us = clock::now_us();
    let elapsed = || time::Duration::from_micros(clock::now_us() - started_us);
    view.change_members(|members| members.set_my_state(members::MemberState::Draining));
    let time_limit = grace.saturating_sub(GRACE_MARGIN);
    let answer_time = time_limit.saturating_sub(LAST_ANSWER_MARGIN);
    server.start_draining(started_us + answer_time.as_micros() as u64);
    tokio::time::sleep(DRAIN_TIME.min(time_limit / 2)).await;
    server.start_closing();
    while server.connection_count() > 0 && elapsed() < time_limit {
        tokio::time::sleep(IDLE_POLL_INTERVAL).await;
    }
}
