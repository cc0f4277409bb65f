//! Accepted settings stay in force: while the platform is down, when the platform's reply is lost, and on an
//! instance that was paused during a change.

mod deployment;

use deployment::fixture;
use serde_json::Value;
use standin::platform;
use std::net;
use tarragondoor::connection;

const SETTINGS: &str = "tests/data/settings.jsonc";
const CHANGED: &str = "tests/data/settings-changed.jsonc";
const WITHOUT_BEANS: &str = "tests/data/settings-without-beans.jsonc";

fn parse_json(output: &deployment::Output) -> Value {
    serde_json::from_str(&output.text).unwrap_or_else(|_| panic!("not JSON: {}", output.text))
}

fn declare(server: net::SocketAddr, file: &str) -> String {
    let plan = parse_json(&deployment::run_client(server, &["--json", "declare", file]));
    plan["plan"].as_str().unwrap_or_else(|| panic!("no plan: {plan}")).to_owned()
}

fn confirm(server: net::SocketAddr, plan: &str, wait_ms: u32) -> Value {
    let wait_ms = wait_ms.to_string();
    parse_json(&deployment::run_client(server, &["--json", "confirm", plan, "--wait-ms", &wait_ms]))
}

/// The revisions in force on all instances that `server` regards as alive.
fn revisions(server: net::SocketAddr) -> Vec<u64> {
    let status = parse_json(&deployment::run_client(server, &["--json", "status"]));
    let mut revisions = Vec::new();
    for instance in status["instances"].as_array().expect("the status lists the instances") {
        if instance["state"] == "alive" {
            revisions.push(instance["revision"].as_u64().expect("the revision is a number"));
        }
    }
    revisions
}

/// The revision in force; panics unless it is the same on all instances.
fn common_revision(fixture: &fixture::Fixture) -> u64 {
    let revisions = revisions(fixture.instances[0].address);
    assert_eq!(
        revisions,
        vec![revisions[0]; fixture.instances.len()],
        "instances have different revisions in force"
    );
    revisions[0]
}

/// Repeats the confirmation until the plan is accepted. Returns the revision.
async fn confirm_until_accepted(server: net::SocketAddr, plan: &str) -> u64 {
    deployment::wait_for("the acceptance of the plan", async || {
        let reply = confirm(server, plan, 10_000);
        assert!(
            ["accepted", "pending", "unsettled"].contains(&reply["state"].as_str()?),
            "the plan was lost: {reply}"
        );
        (reply["state"] == "accepted")
            .then(|| reply["revision"].as_u64().expect("the revision is a number"))
    })
    .await
}

/// Checks that each instance answers a search of each service completely, without retries.
async fn assert_serving(fixture: &fixture::Fixture, case: &str) {
    for instance in &fixture.instances {
        for service in ["beans", "packets"] {
            let body = deployment::search_request(service, "late runner");
            let answer = deployment::call(instance.address, "/v1/search", Some(&body)).await;
            let answer = answer.unwrap_or_else(|| panic!("{case}: no answer"));
            assert_eq!(answer.status, 200, "{case}: {answer:?}");
            let missing = answer.body.pointer("/coverage/missing").and_then(Value::as_array);
            assert!(missing.is_some_and(Vec::is_empty), "{case}: {answer:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_plan_is_confirmed_after_a_platform_outage() {
    let fixture = fixture::Fixture::start(500).await;
    let server = fixture.instances[0].address;
    let cases = [(platform::Outage::Refusing, CHANGED), (platform::Outage::Mute, SETTINGS)];
    for (outage, file) in cases {
        let before = common_revision(&fixture);
        let plan = declare(server, file);
        let down = platform::Faults { outage: Some(outage), ..platform::Faults::default() };
        fixture.platform.set_faults(down);
        for instance in &fixture.instances {
            let reply = confirm(instance.address, &plan, 3_000);
            assert_eq!(reply["state"], "unsettled", "{outage}: {reply}");
            assert_serving(&fixture, &format!("{outage}")).await;
        }
        assert_eq!(common_revision(&fixture), before, "{outage}: the revision changed");
        fixture.platform.set_faults(platform::Faults::default());
        assert_eq!(confirm_until_accepted(server, &plan).await, before + 1, "{outage}");
        assert_eq!(common_revision(&fixture), before + 1, "{outage}");
        assert_serving(&fixture, &format!("after {outage}")).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_commit_whose_reply_was_lost_is_accepted_once() {
    let fixture = fixture::Fixture::start(500).await;
    let server = fixture.instances[0].address;
    let before = common_revision(&fixture);
    let plan = declare(server, CHANGED);
    fixture.platform.set_faults(platform::Faults { lose_replies: 1, ..Default::default() });
    assert_eq!(confirm_until_accepted(server, &plan).await, before + 1);
    assert_eq!(fixture.platform.faults().lose_replies, 0, "the platform lost no reply");
    assert_eq!(common_revision(&fixture), before + 1);
    let again = confirm(fixture.instances[1].address, &plan, 10_000);
    assert_eq!(again["state"], "accepted", "{again}");
    assert_eq!(
        common_revision(&fixture),
        before + 1,
        "the repeated confirmation made another revision"
    );
}

/// Starts a fourth instance while the platform is down and waits until the newest revision is in force on it.
async fn start_fourth(fixture: &fixture::Fixture) -> deployment::Instance {
    let server = fixture.instances[0].address;
    let newest = confirm_until_accepted(server, &declare(server, CHANGED)).await;
    let outage = Some(platform::Outage::Refusing);
    fixture.platform.set_faults(platform::Faults { outage, ..Default::default() });
    let platform = fixture.platform.address();
    let fourth = deployment::start_instance(4, platform, &[&fixture.instances[0]], 500);
    deployment::wait_members(fourth.address, 4).await;
    deployment::wait_for("the newest revision on the new instance", async || {
        let status = parse_json(&deployment::run_client(fourth.address, &["--json", "status"]));
        let instances = status["instances"].as_array()?;
        let entry = instances.iter().find(|instance| instance["instance"] == "entry-4")?;
        (entry["revision"] == newest).then_some(())
    })
    .await;
    fourth
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn instance_started_during_an_outage_becomes_ready() {
    let fixture = fixture::Fixture::start(500).await;
    let fourth = start_fourth(&fixture).await;
    deployment::wait_for("the readiness of the new instance", async || {
        let health = deployment::call(fourth.address, "/v1/health", None).await?;
        (health.status == 200).then_some(())
    })
    .await;
    assert_serving(&fixture, "a fourth instance has joined").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn instance_started_during_an_outage_serves() {
    let fixture = fixture::Fixture::start(500).await;
    let fourth = start_fourth(&fixture).await;
    let deadline = std::time::Instant::now() + deployment::WAIT_MAX;
    loop {
        let body = deployment::search_request("packets", "late runner");
        let answer = deployment::call(fourth.address, "/v1/search", Some(&body)).await;
        let missing = answer.as_ref().and_then(|answer| answer.body.pointer("/coverage/missing"));
        if missing == Some(&serde_json::json!([])) {
            return;
        }
        assert!(
            std::time::Instant::now() < deadline,
            "no complete answer in time; the last: {answer:?}"
        );
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn instance_paused_during_a_change_never_serves_the_removed_service() {
    let fixture = fixture::Fixture::start(500).await;
    let server = fixture.instances[0].address;
    let paused = &fixture.instances[2];
    let before = common_revision(&fixture);
    paused.process.signal(libc::SIGSTOP);
    let plan = declare(server, WITHOUT_BEANS);
    let reply = confirm(server, &plan, 8_000);
    assert_eq!(reply["state"], "pending", "{reply}");
    assert_eq!(reply["waiting_for"], serde_json::json!(["entry-3"]), "{reply}");

    // Searches that are pending when the instance resumes.
    let address = paused.address;
    let mut pending = Vec::new();
    for _ in 0..8 {
        pending.push(tokio::spawn(search_beans(address)));
    }
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    assert!(pending.iter().all(|search| !search.is_finished()), "the paused instance answered");
    paused.process.signal(libc::SIGCONT);
    for search in pending {
        assert_service_removed(&search.await.expect("the task of the search ends"));
    }
    deployment::wait_for("the new settings on the resumed instance", async || {
        let answer = search_beans(address).await;
        assert_service_removed(&answer);
        (answer.status == 404).then_some(())
    })
    .await;
    assert_eq!(confirm_until_accepted(server, &plan).await, before + 1);
    assert_service_removed(&search_beans(address).await);
    deployment::wait_complete_answer(address, "packets").await;
    assert_eq!(common_revision(&fixture), before + 1);
}

async fn search_beans(address: net::SocketAddr) -> deployment::Answer {
    let connections = connection::Connections::new(address, 1);
    let body = deployment::search_request("beans", "late runner");
    let call = connection::Call::json(http::Method::POST, "/v1/search", &body)
        .expect("the body is serializable");
    let answer = connections.send(call, deployment::WAIT_MAX).await.expect("the instance answers");
    let body = serde_json::from_slice(&answer.body).unwrap_or_default();
    deployment::Answer { status: answer.status.as_u16(), body }
}

/// Checks that the answering instance has the new settings in force, or refuses because its settings are not
/// verified yet.
fn assert_service_removed(answer: &deployment::Answer) {
    let code = answer.body["code"].as_str().unwrap_or_default();
    assert!(["unknown_service", "not_ready"].contains(&code), "{answer:?}");
}
