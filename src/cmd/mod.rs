//! The commands, one module each.

mod bench;
mod check;
mod confirm;
mod declare;
mod explain;
mod instances;
mod run;
mod search;
mod status;

use crate::caller_api;
use crate::cli;
use crate::client;
use crate::client::caller;
use crate::operator_api;
use crate::trace;
use error_stack::{Report, ResultExt as _};
use serde::{Deserialize, Serialize};
use std::io;
use std::io::Write as _;
use std::path;
use std::time;

/// Timeout of an operator API call, in addition to the wait that the call requests.
const OPERATOR_TIMEOUT: time::Duration = time::Duration::from_millis(5_000);

/// Why a command failed. Each variant has its own exit code.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// No server answered, a response was invalid, or a local error occurred.
    #[error("{0}")]
    Failed(&'static str),
    /// The command line is wrong.
    #[error("{0}")]
    Usage(&'static str),
    /// Nothing was run or changed.
    #[error("{0}")]
    Refused(&'static str),
    /// The command may or may not have taken effect.
    #[error("{0}")]
    Unsettled(&'static str),
}

impl Failure {
    /// The exit code.
    pub fn exit(&self) -> cli::Exit {
        match self {
            Failure::Failed(_) => cli::Exit::Failed,
            Failure::Usage(_) => cli::Exit::Usage,
            Failure::Refused(_) => cli::Exit::Refused,
            Failure::Unsettled(_) => cli::Exit::Unsettled,
        }
    }
}

/// A command that can be run.
pub trait Run {
    /// Runs the command with the global options.
    fn run(&self, global: &cli::Global) -> Result<cli::Exit, Report<Failure>>;
}

impl Run for cli::Command {
    fn run(&self, global: &cli::Global) -> Result<cli::Exit, Report<Failure>> {
        match self {
            cli::Command::Help => print(cli::HELP),
            cli::Command::Version => {
                print(concat!("tarragondoor ", env!("CARGO_PKG_VERSION"), "\n"))
            }
            cli::Command::Check(command) => command.run(global),
            cli::Command::Declare(command) => command.run(global),
            cli::Command::Confirm(command) => command.run(global),
            cli::Command::Explain(command) => command.run(global),
            cli::Command::Status(command) => command.run(global),
            cli::Command::Instances(command) => command.run(global),
            cli::Command::Search(command) => command.run(global),
            cli::Command::Run(command) => command.run(global),
            cli::Command::Bench(command) => command.run(global),
        }
    }
}

/// A failure as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct FailureReply {
    /// What failed, and why.
    error: String,
    /// The error code of the instance's reply, if an instance refused the request.
    code: Option<caller_api::ErrorCode>,
}

/// Prints a failure to standard error as one line of text, or of JSON with `--json`.
pub fn print_failure(global: &cli::Global, report: &Report<Failure>) {
    let error = format!("{report:#}");
    if !global.json {
        eprintln!("tarragondoor: {error}");
        return;
    }
    let code = match report.downcast_ref::<client::CallError>() {
        Some(client::CallError::Refused(_, reply)) => Some(reply.code),
        _ => None,
    };
    match serde_json::to_string(&FailureReply { error, code }) {
        Ok(json) => eprintln!("{json}"),
        Err(_) => eprintln!("{report:#}"),
    }
}

fn print(text: &str) -> Result<cli::Exit, Report<Failure>> {
    match io::stdout().write_all(text.as_bytes()) {
        Ok(()) => Ok(cli::Exit::Done),
        // The reader closed the pipe, as `head` does.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(cli::Exit::Done),
        Err(error) => Err(error).change_context(Failure::Failed("could not write to stdout")),
    }
}

/// Prints `value` as JSON with `--json`, otherwise as the text that `format_text` returns.
fn print_value<T: Serialize>(
    global: &cli::Global,
    value: &T,
    format_text: impl FnOnce(&T) -> String,
) -> Result<(), Report<Failure>> {
    let text = if global.json {
        let json = serde_json::to_string_pretty(value);
        json.change_context(Failure::Failed("could not serialize the output as JSON"))? + "\n"
    } else {
        format_text(value)
    };
    print(&text).map(|_| ())
}

/// Prints the findings as `FILE:LINE:COLUMN: severity: message`, or as JSON with `--json`.
fn print_findings(
    global: &cli::Global,
    file: &path::Path,
    findings: &[operator_api::Finding],
) -> Result<(), Report<Failure>> {
    let reply = operator_api::FindingsReply { findings: findings.to_vec() };
    print_value(global, &reply, |reply| format_findings(file, &reply.findings))
}

fn format_findings(file: &path::Path, findings: &[operator_api::Finding]) -> String {
    let mut text = String::new();
    for finding in findings {
        let operator_api::Finding { severity, line, column, message } = finding;
        text.push_str(&format!("{}:{line}:{column}: {severity}: {message}\n", file.display()));
    }
    text
}

fn new_runtime() -> Result<tokio::runtime::Runtime, Report<Failure>> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder
        .enable_all()
        .build()
        .change_context(Failure::Failed("could not start the async runtime"))
}

fn require_servers(global: &cli::Global) -> Result<(), Report<Failure>> {
    if global.servers.is_empty() {
        let usage = "no server is given: use --server or TARRAGONDOOR_SERVER";
        return Err(Report::new(Failure::Usage(usage)));
    }
    Ok(())
}

fn new_caller(global: &cli::Global) -> Result<caller::Caller, Report<Failure>> {
    require_servers(global)?;
    caller::Caller::new(global.servers.clone(), global.region.as_ref(), global.domain.as_ref())
        .change_context(Failure::Failed("could not set up the caller"))
}

/// After which errors an operator API call fails over to the next server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failover {
    /// After an error, if the call may succeed at another server.
    IfMaySucceedElsewhere,
    /// Only if no server can have received the request.
    IfNeverReceived,
}

/// Calls the servers in order, until one answers or `failover` rules out the next one.
fn call_operator_api<B, T>(
    global: &cli::Global,
    path: &str,
    body: Option<&B>,
    wait: time::Duration,
    failover: Failover,
) -> Result<T, Report<client::CallError>>
where
    B: Serialize,
    T: for<'de> Deserialize<'de>,
{
    let runtime = new_runtime().change_context(client::CallError::NoInstance)?;
    let http = client::Client::new()?;
    let mut last_error = client::CallError::NoInstance;
    for server in &global.servers {
        let trace = trace::TraceContext::root(rand::random(), rand::random());
        let (token, timeout) = (global.token.as_deref(), OPERATOR_TIMEOUT + wait);
        let call = client::Call { path, body, token, trace, timeout };
        let error = match runtime.block_on(http.call(*server, call)) {
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        let fails_over = match failover {
            Failover::IfMaySucceedElsewhere => error.may_succeed_elsewhere(),
            Failover::IfNeverReceived => error.never_received(),
        };
        if !fails_over {
            return Err(Report::new(error));
        }
        last_error = error;
    }
    Err(Report::new(last_error))
}

/// The failure to report for an error of a call that changed nothing.
fn failure_for(error: &client::CallError, context: &'static str) -> Failure {
    match error {
        client::CallError::Refused(..) => Failure::Refused(context),
        _ => Failure::Failed(context),
    }
}

fn into_failure(error: Report<client::CallError>, context: &'static str) -> Report<Failure> {
    let failure = failure_for(error.current_context(), context);
    error.change_context(failure)
}
