//! Tests the command-line client against servers with canned responses and faults.

mod cli_support;

use cli_support::{Reply, Request, run_client, serve, unused_address};
use std::fs;
use std::net;
use std::sync;
use tarragondoor::caller_api;
use tarragondoor::cli;

fn error(code: caller_api::ErrorCode) -> Reply {
    let message = format!("it is {code}").into();
    let reply = caller_api::ErrorReply { code, message };
    Reply::Json(code.http_status(), serde_json::to_string(&reply).unwrap())
}

fn addresses(instances: &[net::SocketAddr]) -> Reply {
    let mut list = Vec::new();
    for (index, address) in instances.iter().enumerate() {
        list.push(caller_api::Address {
            instance: format!("i{index}").parse().unwrap(),
            address: *address,
            region: "west".parse().unwrap(),
            failure_domain: "west-1".parse().unwrap(),
            boot: "7".parse().unwrap(),
        });
    }
    let reply =
        caller_api::AddressesReply { ttl_ms: 5_000, issued_s: 1_700_000_000, addresses: list };
    Reply::Json(200, serde_json::to_string(&reply).unwrap())
}

/// Starts a server that returns `instances` as the addresses to use.
fn address_server(instances: Vec<net::SocketAddr>) -> net::SocketAddr {
    serve(move |_| addresses(&instances))
}

fn run_answer(request: &Request, outcome: caller_api::Outcome) -> Reply {
    let call: caller_api::RunCall = serde_json::from_str(&request.body).unwrap();
    let result = (outcome == caller_api::Outcome::Ran).then(|| "packet 7 is yours".into());
    let cause = result.is_none().then_some(caller_api::ErrorCode::Overloaded);
    let answer = caller_api::RunAnswer { key: call.key, outcome, result, cause };
    Reply::Json(200, serde_json::to_string(&answer).unwrap())
}

const SEARCH_ANSWER: &str = r#"{"query_id":9,"snapshot":{"index_version":4,"map_version":2},
"coverage":{"shards_answered":1,"shards_total":2,"missing":[1]},
"hits":[{"document":"bean","score":0.5}],
"effort":{"calls_needed":2,"calls_sent":2,"hedges":0,"retries":0,"restarts":0}}"#;

const SEARCH: &[&str] =
    &["search", "--service", "beans", "--query", "runner", "--deadline-ms", "1500"];
const RUN: &[&str] = &[
    "run",
    "--service",
    "beans",
    "--operation",
    "claim",
    "--subject",
    "7",
    "--deadline-ms",
    "1500",
];

#[test]
fn command_lines_are_parsed_or_rejected() {
    let rows: &[&[&str]] = &[
        &[],
        &["nonsense"],
        &["check"],
        &["check", "a", "b"],
        &["status", "x"],
        &["status", "--rate", "1"],
        &["--rate", "1", "bench"],
        &["search", "--service", "beans"],
        &["search", "--service", "a", "--service", "b", "--query", "q"],
        &["search", "--service", "no spaces", "--query", "q"],
        &["run", "--service", "a", "--operation", "claim", "--subject", "7", "--key", "k"],
        &["confirm", "3-abc", "--wait-ms", "soon"],
        &["bench", "--service", "a", "--mix", "urgent=0"],
        &["bench", "--service", "a", "--flood", "urgent:5:8s:3s"],
        &["bench", "--service", "a", "--rate", "1e9"],
        &["--server", "localhost:1", "status"],
        &["--json", "--server", "127.0.0.1:1,127.0.0.1:2", "confirm", "3-abc"],
        &["-V"],
    ];
    let mut text = String::new();
    for row in rows {
        let mut global = cli::Global::default();
        let parsed = cli::parse(row.iter().map(Into::into), &mut global);
        match parsed {
            Ok(command) => text.push_str(&format!("{row:?}\n    {command:?} {global:?}\n")),
            Err(error) => text.push_str(&format!("{row:?}\n    {error}\n")),
        }
    }
    insta::assert_snapshot!(text);
}

#[test]
fn help_and_usage() {
    insta::assert_snapshot!("help", run_client(&[], None, &["--help"]));
    insta::assert_snapshot!("usage", run_client(&[], None, &["status"]));
}

#[test]
fn check_prints_all_findings_with_their_position() {
    for example in ["examples/seedling.jsonc", "examples/dela-paz.jsonc"] {
        assert_eq!(run_client(&[], None, &["check", example]), "exit 0\n");
    }
    let file = std::env::temp_dir().join(format!("cli-check-{}.jsonc", std::process::id()));
    fs::write(&file, "{\n  // no ranks\n  \"ranks\": 3,\n  \"service\": []\n}\n").unwrap();
    let name = file.to_str().unwrap();
    let text = run_client(&[], None, &["check", name])
        + &run_client(&[], None, &["check", name, "--json"]);
    fs::remove_file(&file).unwrap();
    insta::assert_snapshot!(text.replace(name, "FILE"));
}

#[test]
fn declare_and_status_fail_over_to_a_server_that_answers() {
    let status = r#"{"answered_by":"i2","newest":3,"instances":[
        {"instance":"i1","boot":1,"region":"west","failure_domain":"west-1",
         "address":"10.0.0.1:80","state":"alive","revision":2,"behind":true},
        {"instance":"i2","boot":1,"region":"east","failure_domain":"east-1",
         "address":"10.0.0.2:80","state":"alive","revision":3,"behind":false}]}"#;
    let plan = r#"{"plan":"2-abc","base_revision":2,"changes":["+ service beans"],
        "results":["urgent: 2 of 5 slots"],
        "warnings":[{"severity":"warning","line":3,"column":9,"message":"no operations"}]}"#;
    let good = serve(move |request| {
        if !request.head.contains("authorization: bearer secret") {
            return error(caller_api::ErrorCode::Unauthorized);
        }
        let body = if request.path.ends_with("/plans") { plan } else { status };
        Reply::Json(200, body.to_owned())
    });
    let broken = serve(|_| Reply::Close);
    let servers = [unused_address(), broken, good];
    let file = "examples/seedling.jsonc";
    let mut text = run_client(&servers, Some("secret"), &["status"]);
    text.push_str(&run_client(&servers, Some("secret"), &["declare", file]));
    text.push_str(&run_client(&servers, Some("wrong"), &["declare", file]));
    text.push_str(&run_client(&servers, Some("wrong"), &["status", "--json"]));
    text.push_str(&run_client(&servers[..2], Some("secret"), &["status"]));
    text.push_str(&run_client(&servers[..2], Some("secret"), &["status", "--json"]));
    insta::assert_snapshot!(text);
}

#[test]
fn declare_prints_the_findings_of_the_server() {
    let findings =
        r#"{"findings":[{"severity":"error","line":1,"column":2,"message":"no ranks"}]}"#;
    let server = serve(move |_| Reply::Json(422, findings.to_owned()));
    let text = run_client(&[server], Some("secret"), &["declare", "examples/seedling.jsonc"]);
    insta::assert_snapshot!(text);
}

#[test]
fn confirm_prints_the_outcome_and_sets_the_exit_code() {
    let rows = [
        r#"{"state":"accepted","revision":3}"#,
        r#"{"state":"pending","revision":3,"waiting_for":["i1","i4"]}"#,
        r#"{"state":"conflict","in_force":4}"#,
        r#"{"state":"unsettled"}"#,
        r#"{"state":"unknown_plan"}"#,
        r#"{"state":"perhaps"}"#,
    ];
    let mut text = String::new();
    for row in rows {
        let server = serve(move |_| Reply::Json(200, row.to_owned()));
        text.push_str(&run_client(
            &[unused_address(), server],
            Some("secret"),
            &["confirm", "2-abc"],
        ));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn confirm_calls_no_other_server_after_a_lost_reply() {
    let call_count = sync::Arc::new(sync::atomic::AtomicU32::new(0));
    let count = sync::Arc::clone(&call_count);
    let second = serve(move |_| {
        count.fetch_add(1, sync::atomic::Ordering::SeqCst);
        Reply::Json(200, r#"{"state":"conflict","in_force":4}"#.to_owned())
    });
    let text =
        run_client(&[serve(|_| Reply::Close), second], Some("secret"), &["confirm", "2-abc"]);
    assert!(text.starts_with("exit 5\n"), "{text}");
    assert_eq!(call_count.load(sync::atomic::Ordering::SeqCst), 0);
}

#[test]
fn search_fails_over_when_another_instance_may_answer() {
    let good = serve(|_| Reply::Json(200, SEARCH_ANSWER.to_owned()));
    let not_ready = serve(|_| error(caller_api::ErrorCode::NotReady));
    let overloaded = serve(|_| error(caller_api::ErrorCode::Overloaded));
    let silent = serve(|_| Reply::Silent);
    let mut text = String::new();
    for (name, instances) in [
        ("unreachable, not ready, good", vec![unused_address(), not_ready, good]),
        ("overloaded, good", vec![overloaded, good]),
        ("silent", vec![silent]),
        ("none", vec![]),
    ] {
        text.push_str(&format!("{name}\n"));
        let mut servers = vec![address_server(instances.clone())];
        servers.extend(instances);
        text.push_str(&run_client(&servers, None, SEARCH));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn run_retries_with_the_same_key_when_the_outcome_is_unknown() {
    use caller_api::Outcome;
    let keys = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let instance = |reply: fn(&Request) -> Reply| {
        let keys = sync::Arc::clone(&keys);
        serve(move |request| {
            let call: caller_api::RunCall = serde_json::from_str(&request.body).unwrap();
            keys.lock().unwrap().push(call.key);
            reply(request)
        })
    };
    let good = instance(|request| run_answer(request, Outcome::Ran));
    let not_run = instance(|request| run_answer(request, Outcome::NotRun));
    let unknown = instance(|request| run_answer(request, Outcome::Unknown));
    let refuses = instance(|_| error(caller_api::ErrorCode::UnknownService));
    let stopping = instance(|_| error(caller_api::ErrorCode::Stopping));
    let drops_reply = instance(|_| Reply::Close);
    let silent = instance(|_| Reply::Silent);
    let mut text = String::new();
    for (name, instances) in [
        ("good", vec![good]),
        ("unreachable, good", vec![unused_address(), good]),
        ("stopping, good", vec![stopping, good]),
        ("not run", vec![not_run, good]),
        ("refused", vec![refuses, good]),
        ("reply lost, good", vec![drops_reply, good]),
        ("silent, good", vec![silent, good]),
        ("reply lost, refused", vec![drops_reply, refuses]),
        ("unknown", vec![unknown]),
        ("nobody", vec![unused_address()]),
    ] {
        keys.lock().unwrap().clear();
        let mut servers = vec![address_server(instances.clone())];
        servers.extend(instances);
        let output = run_client(&servers, None, RUN);
        let mut keys = keys.lock().unwrap().clone();
        let attempts = keys.len();
        keys.sort();
        keys.dedup();
        let mut lines: Vec<&str> = output.lines().collect();
        lines.retain(|line| !line.starts_with("key i0:7:1700000000-"));
        let output = lines.join("\n    ");
        text.push_str(&format!(
            "{name}: asked {attempts} times with {} keys\n    {output}\n",
            keys.len()
        ));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn run_sends_the_given_key() {
    const KEY: &str = "i0:7:1700000000-abcdef";
    let good = serve(|request| {
        let call: caller_api::RunCall = serde_json::from_str(&request.body).unwrap();
        assert_eq!(call.key, KEY);
        run_answer(request, caller_api::Outcome::Ran)
    });
    let args: Vec<&str> = RUN.iter().copied().chain(["--key", KEY, "--json"]).collect();
    insta::assert_snapshot!(run_client(&[address_server(vec![good])], None, &args));
}
