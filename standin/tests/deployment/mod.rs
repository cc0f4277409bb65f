//! A deployment of real processes: stand-ins for the platform and the backend servers, and the instances
//! and the command-line client as shipped.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod fixture;

use serde_json::Value;
use std::io;
use std::io::BufRead as _;
use std::net;
use std::path;
use std::process;
use std::sync::mpsc;
use std::thread;
use std::time;

/// The timeout of each wait. No test result depends on how much of it is used.
pub const WAIT_MAX: time::Duration = time::Duration::from_secs(60);

/// The time between two checks of a condition.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(50);

/// The memory of the instances' machines.
pub const MEMORY_MB: u64 = 64;

/// The token that operators authenticate with.
pub const TOKEN: &str = "a-token-for-tests";

/// The cluster key, in hexadecimal.
const KEY: &str = "0707070707070707070707070707070707070707070707070707070707070707";

/// The regions and failure domains that instances are assigned to in turn, as in the tests' fleet file.
const LOCATIONS: [(&str, &str); 3] =
    [("north", "north-1"), ("coast", "coast-1"), ("valley", "valley-1")];

/// A child process that is killed on drop, with the lines of one of its output streams.
pub struct Process {
    child: process::Child,
    lines: mpsc::Receiver<String>,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored: the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn start(mut command: process::Command, from_stderr: bool) -> Self {
        command.stdin(process::Stdio::null());
        let (stdout, stderr) = match from_stderr {
            true => (process::Stdio::null(), process::Stdio::piped()),
            false => (process::Stdio::piped(), process::Stdio::null()),
        };
        let mut child = command.stdout(stdout).stderr(stderr).spawn().expect("the program starts");
        let stream: Box<dyn io::Read + Send> = match from_stderr {
            true => Box::new(child.stderr.take().expect("the stream is piped")),
            false => Box::new(child.stdout.take().expect("the stream is piped")),
        };
        let (sender, lines) = mpsc::channel();
        thread::spawn(move || {
            for line in io::BufReader::new(stream).lines() {
                let Ok(line) = line else { break };
                if sender.send(line).is_err() {
                    break;
                }
            }
        });
        Self { child, lines }
    }

    /// Waits for the next line that `parse_line` accepts, and returns the result.
    pub fn wait_line<T>(&self, mut parse_line: impl FnMut(&str) -> Option<T>) -> T {
        let deadline = time::Instant::now() + WAIT_MAX;
        loop {
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            let line = self
                .lines
                .recv_timeout(remaining)
                .expect("the process prints the expected line in time");
            if let Some(parsed) = parse_line(&line) {
                return parsed;
            }
        }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: libc::c_int) {
        // SAFETY: the child has not been waited for, so its id still belongs to it.
        let sent = unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
        assert_eq!(sent, 0, "signal {signal} could not be sent");
    }

    /// Waits until the process exits and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        let deadline = time::Instant::now() + WAIT_MAX;
        while time::Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                return status.success();
            }
            thread::sleep(POLL_PERIOD);
        }
        panic!("the process has not exited within {WAIT_MAX:?}");
    }
}

/// The path of the program `name`, next to the stand-in's binary; builds the program if it does not exist.
fn program_path(name: &str) -> path::PathBuf {
    let standin = path::Path::new(env!("CARGO_BIN_EXE_standin"));
    let program_path = standin.with_file_name(name);
    if !program_path.exists() {
        let built = process::Command::new(env!("CARGO"))
            .args(["build", "--package", "tarragondoor", "--bins"])
            .status()
            .expect("cargo runs");
        assert!(built.success(), "the programs failed to build");
    }
    program_path
}

/// Starts the platform as a process.
pub fn start_platform() -> (Process, net::SocketAddr) {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_standin"));
    command.args(["platform", "--listen", "127.0.0.1:0"]);
    let platform = Process::start(command, false);
    let address =
        platform.wait_line(|line| line.strip_prefix("platform ").and_then(|a| a.parse().ok()));
    (platform, address)
}

/// Starts the backend servers of a fleet file in one process and waits until they are ready.
pub fn start_searchers(fleet: &path::Path, platform: net::SocketAddr) -> Process {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_standin"));
    command.arg("searchers").arg("--fleet").arg(fleet).args(["--platform", &platform.to_string()]);
    let searchers = Process::start(command, false);
    searchers.wait_line(|line| (line == "ready").then_some(()));
    searchers
}

/// An instance that runs as a process.
pub struct Instance {
    /// The instance's name.
    pub name: String,
    /// The process; its lines are those of standard error.
    pub process: Process,
    /// The address for callers.
    pub address: net::SocketAddr,
    /// The address for other instances.
    pub peer_address: net::SocketAddr,
    /// The boot id.
    pub boot: u64,
    /// The region.
    pub region: &'static str,
    /// The failure domain.
    pub failure_domain: &'static str,
}

/// Starts the instance `entry-{number}`, counted from 1, and waits until it listens. Instances are assigned
/// to the [`LOCATIONS`] in turn.
pub fn start_instance(
    number: usize,
    platform: net::SocketAddr,
    seeds: &[&Instance],
    address_ttl_ms: u32,
) -> Instance {
    let name = format!("entry-{number}");
    let (region, domain) = LOCATIONS[(number - 1) % LOCATIONS.len()];
    let mut seed_list = Vec::new();
    for seed in seeds {
        seed_list.push(serde_json::json!({
            "instance": seed.name, "peer_address": seed.peer_address,
        }));
    }
    let config = serde_json::json!({
        "instance": name, "region": region, "failure_domain": domain,
        "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0", "platform": platform,
        "seeds": seed_list, "address_ttl_ms": address_ttl_ms, "log": "json", "memory_mb": MEMORY_MB,
    });
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
        "{name}-{}-{}.jsonc",
        process::id(),
        platform.port()
    ));
    std::fs::write(&file, config.to_string()).expect("the settings are written");
    let mut command = process::Command::new(program_path("tarragondoord"));
    command.arg("--config").arg(&file);
    command.env("TARRAGONDOOR_KEY", KEY).env("TARRAGONDOOR_TOKEN", TOKEN).env("RUST_LOG", "info");
    let process = Process::start(command, true);
    // The event with number 100 is `InstanceStarted`.
    let started = process.wait_line(|line| {
        let event: Value = serde_json::from_str(line).ok()?;
        (event.get("event")?.as_u64()? == 100).then_some(event)
    });
    let text = |name: &str| started[name].as_str().expect("the field is a string").to_owned();
    Instance {
        address: text("address").parse().expect("the address is valid"),
        peer_address: text("peer_address").parse().expect("the address is valid"),
        boot: text("boot").parse().expect("the boot id is a number"),
        region,
        failure_domain: domain,
        name,
        process,
    }
}

/// An HTTP response.
#[derive(Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The body; null if it is not JSON.
    pub body: Value,
}

/// Sends a request to an instance: a POST if there is a body, else a GET. `None` if it fails or gets no
/// response within 30 seconds.
pub async fn call(address: net::SocketAddr, path: &str, body: Option<&Value>) -> Option<Answer> {
    call_with_timeout(address, path, body, time::Duration::from_secs(30)).await
}

/// Like [`call`], with another timeout.
pub async fn call_with_timeout(
    address: net::SocketAddr,
    path: &str,
    body: Option<&Value>,
    timeout: time::Duration,
) -> Option<Answer> {
    let connections = tarragondoor::connection::Connections::new(address, 1);
    let call = match body {
        None => tarragondoor::connection::Call::get(path),
        Some(body) => tarragondoor::connection::Call::json(http::Method::POST, path, body).ok()?,
    };
    let answer = connections.send(call, timeout).await.ok()?;
    let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    Some(Answer { status: answer.status.as_u16(), body })
}

/// Polls until `poll` returns a value; panics after [`WAIT_MAX`].
pub async fn wait_for<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = time::Instant::now() + WAIT_MAX;
    while time::Instant::now() < deadline {
        if let Some(found) = poll().await {
            return found;
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    panic!("timed out: {what}");
}

/// The body of a search for `query`.
pub fn search_request(service: &str, query: &str) -> Value {
    serde_json::json!({
        "service": service, "query": query, "limit": 5, "rank": "urgent", "deadline_ms": 5_000,
    })
}

/// Waits until an instance answers a search of the service from all shards.
pub async fn wait_complete_answer(address: net::SocketAddr, service: &str) {
    wait_for("a search with no missing shards", async || {
        let answer = call(address, "/v1/search", Some(&search_request(service, "warm up"))).await?;
        let missing = answer.body.pointer("/coverage/missing")?.as_array()?.len();
        (answer.status == 200 && missing == 0).then_some(())
    })
    .await;
}

/// Waits until an instance offers callers the addresses of `count` instances.
pub async fn wait_members(address: net::SocketAddr, count: usize) {
    wait_for("the addresses of all instances", async || {
        let answer = call(address, "/v1/addresses", None).await?;
        let seen = answer.body.get("addresses")?.as_array()?.len();
        (seen == count).then_some(())
    })
    .await;
}

/// The output of the command-line client.
pub struct Output {
    /// The exit code.
    pub code: i32,
    /// Standard output followed by standard error.
    pub text: String,
}

/// Runs the command-line client until it exits.
pub fn run_client(server: net::SocketAddr, arguments: &[&str]) -> Output {
    let output = process::Command::new(program_path("tarragondoor"))
        .args(arguments)
        .env("TARRAGONDOOR_SERVER", server.to_string())
        .env("TARRAGONDOOR_TOKEN", TOKEN)
        .output()
        .expect("the client runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Output { code: output.status.code().unwrap_or(-1), text }
}

/// Declares the settings in a file and confirms the plan; returns when they are in force on every instance.
pub fn declare_and_confirm(server: net::SocketAddr, file: &str) {
    let deadline = time::Instant::now() + WAIT_MAX;
    loop {
        let declared = run_client(server, &["--json", "declare", file]);
        let plan: Value = serde_json::from_str(&declared.text).unwrap_or(Value::Null);
        if let Some(plan) = plan.get("plan").and_then(Value::as_str) {
            let confirmed = run_client(server, &["confirm", plan, "--wait-ms", "30000"]);
            assert_eq!(confirmed.code, 0, "{}", confirmed.text);
            return;
        }
        assert!(time::Instant::now() < deadline, "{}", declared.text);
        thread::sleep(POLL_PERIOD);
    }
}
