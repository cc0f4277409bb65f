//! A complete deployment in one process: platform, backend servers, three instances, a caller and
//! an operator.

use crate::fleet;
use crate::layout;
use crate::platform;
use compact_str::{CompactString, format_compact};
use error_stack::{Report, ResultExt as _};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net;
use std::time;
use tarragondoor::caller_api;
use tarragondoor::client;
use tarragondoor::config;
use tarragondoor::instance;
use tarragondoor::key;
use tarragondoor::operator_api;
use tarragondoor::rank;
use tarragondoor::trace;

const FLEET: &str = include_str!("../../examples/fleet-seedling.jsonc");
const SETTINGS: &str = include_str!("../../examples/seedling.jsonc");
const TOKEN: &str = "a-token-for-the-demo";
const KEY: &str = "2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a2a";

/// The time limit of each step.
const STEP_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// The time between two tries of a step that is repeated until it succeeds.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(100);

/// The deadline of the caller's requests.
const DEADLINE_MS: u32 = 2_000;

/// Why the demo failed.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// This component could not be started.
    #[error("can't start {0}")]
    Start(&'static str),
    /// A step failed.
    #[error("{0}")]
    Step(CompactString),
}

/// The running deployment.
struct Deployment {
    _platform: platform::Platform,
    _fleet: fleet::Fleet,
    servers: tokio::task::JoinSet<()>,
    instances: Vec<net::SocketAddr>,
}

/// Runs the demo and prints what happens.
///
/// # Errors
///
/// When a component does not start or a step does not give the expected result.
pub async fn run() -> Result<(), Report<DemoError>> {
    println!("Starting the platform, 94 backend servers of 27 services, and three instances.");
    let mut deployment = start().await?;
    let [first, second, third] = deployment.instances.as_slice() else {
        return Err(Report::new(DemoError::Start("three instances")));
    };
    declare_and_confirm(*first, *second).await?;
    search_services(*third).await?;
    claim(*first).await?;
    deployment.servers.abort_all();
    println!("\nDone. docs/OPERATORS.md goes on from here.");
    Ok(())
}

async fn start() -> Result<Deployment, Report<DemoError>> {
    let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let platform = platform::Platform::start(any_port, platform::Faults::default())
        .await
        .change_context(DemoError::Start("the platform"))?;
    let layout = layout::FleetConfig::parse(FLEET)
        .change_context(DemoError::Start("the backend servers"))?;
    let fleet = fleet::start(&layout, Some(platform.address()))
        .await
        .change_context(DemoError::Start("the backend servers"))?;
    let mut servers = tokio::task::JoinSet::new();
    let mut instances = Vec::new();
    let mut seed = None;
    for (number, site) in layout.sites().iter().enumerate() {
        let text = serde_json::json!({
            "instance": format!("entry-{}", number + 1),
            "region": site.region,
            "failure_domain": site.failure_domain,
            "listen": any_port,
            "peer_listen": any_port,
            "platform": platform.address(),
            "seeds": seed.iter().collect::<Vec<_>>(),
        });
        let config =
            config::parse(&text.to_string()).change_context(DemoError::Start("an instance"))?;
        let secrets = config::secrets(secret).change_context(DemoError::Start("an instance"))?;
        let mut instance = instance::start(config, secrets)
            .await
            .change_context(DemoError::Start("an instance"))?;
        if seed.is_none() {
            seed = Some(serde_json::json!({
                "instance": "entry-1", "peer_address": instance.peer_address(),
            }));
        }
        println!(
            "  {} in {} answers callers at {}",
            instance.node().instance,
            site.failure_domain,
            instance.address()
        );
        instances.push(instance.address());
        servers.spawn(async move {
            if let Err(error) = instance.serve().await {
                eprintln!("an instance failed: {error:?}");
            }
        });
    }
    Ok(Deployment { _platform: platform, _fleet: fleet, servers, instances })
}

fn secret(name: &str) -> Option<String> {
    match name {
        config::KEY_VARIABLE => Some(KEY.to_owned()),
        config::TOKEN_VARIABLE => Some(TOKEN.to_owned()),
        _ => None,
    }
}

async fn declare_and_confirm(
    first: net::SocketAddr,
    second: net::SocketAddr,
) -> Result<(), Report<DemoError>> {
    println!("\nAn operator declares the settings in examples/seedling.jsonc.");
    let declaration = operator_api::DeclareCall { document: SETTINGS.to_owned() };
    let plan: operator_api::Plan =
        poll_until("a plan", async || post(first, "/v1/operator/plans", &declaration).await.ok())
            .await?;
    println!("  plan {}", plan.plan);
    println!(
        "  {} changes, {} warnings; nothing has changed yet",
        plan.changes.len(),
        plan.warnings.len()
    );
    let confirmation =
        operator_api::ConfirmCall { plan: plan.plan, wait_ms: STEP_TIMEOUT.as_millis() as u32 };
    println!("The operator confirms the plan, at another instance.");
    let reply: operator_api::ConfirmReply =
        post(second, "/v1/operator/confirm", &confirmation).await?;
    let operator_api::ConfirmReply::Accepted { revision } = reply else {
        return Err(failed(format_compact!("the plan was not accepted: {reply:?}")));
    };
    println!("  accepted: revision {revision} is in force on every instance");
    Ok(())
}

async fn search_services(instance: net::SocketAddr) -> Result<(), Report<DemoError>> {
    println!("\nA caller searches.");
    for (service, query) in
        [("varieties", "late runner bean"), ("packets", "tomato"), ("beans-bush", "dwarf")]
    {
        let call = caller_api::SearchCall {
            service: service.parse().change_context(DemoError::Start("a search"))?,
            query: query.into(),
            limit: 3,
            rank: rank::Rank::Urgent,
            deadline_ms: DEADLINE_MS,
        };
        let answer = poll_until("a whole answer", async || {
            let answer: caller_api::SearchAnswer =
                post(instance, "/v1/search", &call).await.ok()?;
            answer.coverage.missing.is_empty().then_some(answer)
        })
        .await?;
        println!(
            "  {service} {query:?}: {} of {} shards, snapshot {}, {} calls",
            answer.coverage.shards_answered,
            answer.coverage.shards_total,
            answer.snapshot,
            answer.effort.calls_sent
        );
        for hit in &answer.hits {
            println!("    {:.4}  {}", hit.score, hit.document);
        }
    }
    Ok(())
}

async fn claim(instance: net::SocketAddr) -> Result<(), Report<DemoError>> {
    println!("\nA caller claims a packet, and asks again with the same key at each instance.");
    let addresses: caller_api::AddressesReply = get(instance, "/v1/addresses").await?;
    let Some(home) = addresses.addresses.first() else {
        return Err(failed("the instance returned no addresses".into()));
    };
    let key = key::Key::new(home.instance.clone(), home.boot, addresses.issued_s, rand::random());
    let call = caller_api::RunCall {
        key: key.to_string().into(),
        service: "packets".parse().change_context(DemoError::Start("a claim"))?,
        operation: "claim".parse().change_context(DemoError::Start("a claim"))?,
        subject: "packet-17".into(),
        rank: rank::Rank::Urgent,
        deadline_ms: DEADLINE_MS,
    };
    println!("  key {key}");
    let mut targets = vec![home];
    targets.extend(addresses.addresses.iter().skip(1));
    for address in targets {
        let answer: caller_api::RunAnswer = post(address.address, "/v1/run", &call).await?;
        let result = answer.result.unwrap_or_default();
        println!("  {} says: {} ({result})", address.instance, answer.outcome);
        if answer.outcome != caller_api::Outcome::Ran {
            return Err(failed(format_compact!("the claim did not run: {:?}", answer.cause)));
        }
    }
    println!("  it ran once: its home remembers the key");
    Ok(())
}

async fn post<T: DeserializeOwned + Send + 'static>(
    address: net::SocketAddr,
    path: &str,
    body: &(impl Serialize + Sync),
) -> Result<T, Report<DemoError>> {
    call(address, path, Some(body)).await
}

async fn get<T: DeserializeOwned + Send + 'static>(
    address: net::SocketAddr,
    path: &str,
) -> Result<T, Report<DemoError>> {
    call(address, path, None::<&()>).await
}

async fn call<T: DeserializeOwned>(
    address: net::SocketAddr,
    path: &str,
    body: Option<&(impl Serialize + Sync)>,
) -> Result<T, Report<DemoError>> {
    let call_error = || DemoError::Step(format_compact!("the call to {address}{path} failed"));
    let client = client::Client::new().change_context_lazy(call_error)?;
    let call = client::Call {
        path,
        body,
        token: Some(TOKEN),
        trace: trace::TraceContext::root(rand::random(), rand::random()),
        timeout: STEP_TIMEOUT,
    };
    client.call(address, call).await.change_context_lazy(call_error)
}

fn failed(text: CompactString) -> Report<DemoError> {
    Report::new(DemoError::Step(text))
}

/// Repeats `step` until it returns a value; fails after [`STEP_TIMEOUT`].
async fn poll_until<T>(
    what: &'static str,
    mut step: impl AsyncFnMut() -> Option<T>,
) -> Result<T, Report<DemoError>> {
    let deadline = time::Instant::now() + STEP_TIMEOUT;
    while time::Instant::now() < deadline {
        if let Some(value) = step().await {
            return Ok(value);
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    Err(failed(format_compact!("timed out waiting for {what}")))
}
