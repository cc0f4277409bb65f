//! The command line: commands, options, help and exit codes.

use crate::ids;
use crate::key;
use crate::load;
use crate::rank;
use compact_str::CompactString;
use lexopt::ValueExt as _;
use std::env;
use std::ffi;
use std::net;
use std::path;
use std::time;

/// The environment variable with the servers, separated by commas.
pub const SERVER_VARIABLE: &str = "TARRAGONDOOR_SERVER";

/// The environment variable with the operators' token.
pub const TOKEN_VARIABLE: &str = "TARRAGONDOOR_TOKEN";

/// The help text.
pub const HELP: &str = include_str!("cli/help.txt");

/// The exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// No server answered, a response was invalid, or a local error occurred.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings have errors.
    Findings = 3,
    /// Nothing was run or changed.
    Refused = 4,
    /// The result is pending or unknown.
    Unsettled = 5,
}

/// Options of all commands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Global {
    /// The instances to call, in this order.
    pub servers: Vec<net::SocketAddr>,
    /// Whether to print JSON.
    pub json: bool,
    /// The operators' token.
    pub token: Option<String>,
    /// The caller's region.
    pub region: Option<ids::RegionName>,
    /// The caller's failure domain.
    pub domain: Option<ids::DomainName>,
}

/// Arguments of `check`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Check {
    /// The settings file.
    pub file: path::PathBuf,
}

/// Arguments of `declare`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Declare {
    /// The settings file.
    pub file: path::PathBuf,
}

/// Arguments of `confirm`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirm {
    /// The plan's id.
    pub plan: CompactString,
    /// How long the server waits for the plan to be accepted, in milliseconds.
    pub wait_ms: u32,
}

/// Arguments of `explain`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explain {
    /// The request's id.
    pub id: CompactString,
    /// Log files of instances; if empty, the logs are read from standard input.
    pub files: Vec<path::PathBuf>,
}

/// `status`, which takes no arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status;

/// `instances`, which takes no arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instances;

/// Arguments of `search`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Search {
    /// The service.
    pub service: ids::ServiceName,
    /// What to search for.
    pub query: CompactString,
    /// The maximum number of hits.
    pub limit: u16,
    /// The urgency.
    pub rank: rank::Rank,
    /// The deadline of the request, in milliseconds.
    pub deadline_ms: u32,
}

/// Arguments of `run`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOnce {
    /// The service.
    pub service: ids::ServiceName,
    /// The operation.
    pub operation: ids::OperationName,
    /// What it is applied to.
    pub subject: CompactString,
    /// The key of an earlier run; `None` creates a new one.
    pub key: Option<key::Key>,
    /// The urgency.
    pub rank: rank::Rank,
    /// The deadline of the request, in milliseconds.
    pub deadline_ms: u32,
}

/// Arguments of `bench`.
#[derive(Clone, Debug, PartialEq)]
pub struct Bench {
    /// The load to generate.
    pub plan: load::Plan,
}

/// A command.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// `--help`.
    Help,
    /// `--version`.
    Version,
    /// `check`.
    Check(Check),
    /// `declare`.
    Declare(Declare),
    /// `confirm`.
    Confirm(Confirm),
    /// `explain`.
    Explain(Explain),
    /// `status`.
    Status(Status),
    /// `instances`.
    Instances(Instances),
    /// `search`.
    Search(Search),
    /// `run`.
    Run(RunOnce),
    /// `bench`.
    Bench(Box<Bench>),
}

/// The operands and option values seen so far; `None` where the default applies.
#[derive(Default)]
struct OptionValues {
    operand: Option<ffi::OsString>,
    files: Vec<path::PathBuf>,
    services: Vec<ids::ServiceName>,
    query: Option<CompactString>,
    operation: Option<ids::OperationName>,
    subject: Option<CompactString>,
    key: Option<key::Key>,
    rank: Option<rank::Rank>,
    limit: Option<u16>,
    deadline_ms: Option<u32>,
    wait_ms: Option<u32>,
    rate: Option<f64>,
    duration_s: Option<f64>,
    warm_up_s: Option<f64>,
    mix: Option<load::Mix>,
    flood: Option<load::Flood>,
    in_flight_max: Option<usize>,
    seed: Option<u64>,
}

/// The options that a command accepts besides the global ones; `None` for an unknown command.
fn allowed_options(command: &str) -> Option<&'static [&'static str]> {
    const SEARCH: &[&str] =
        &["region", "domain", "service", "query", "limit", "rank", "deadline-ms"];
    const RUN: &[&str] =
        &["region", "domain", "service", "operation", "subject", "key", "rank", "deadline-ms"];
    const BENCH: &[&str] = &[
        "region",
        "domain",
        "service",
        "query",
        "limit",
        "deadline-ms",
        "rate",
        "duration",
        "warm-up",
        "mix",
        "flood",
        "in-flight-max",
        "seed",
    ];
    match command {
        "check" | "declare" | "explain" | "status" => Some(&[]),
        "confirm" => Some(&["wait-ms"]),
        "instances" => Some(&["region", "domain"]),
        "search" => Some(SEARCH),
        "run" => Some(RUN),
        "bench" => Some(BENCH),
        _ => None,
    }
}

/// Parses the arguments that follow the program's name. Fields of `global` that no argument sets
/// keep their values.
pub fn parse(
    args: impl IntoIterator<Item = ffi::OsString>,
    global: &mut Global,
) -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut values = OptionValues::default();
    let mut command: Option<String> = None;
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => return Ok(Command::Help),
            lexopt::Arg::Short('V') | lexopt::Arg::Long("version") => return Ok(Command::Version),
            lexopt::Arg::Long("json") => global.json = true,
            lexopt::Arg::Long("server") => {
                global.servers = parser.value()?.parse_with(parse_servers)?;
            }
            lexopt::Arg::Long(name) => {
                let name = name.to_owned();
                let allowed = command.as_deref().and_then(allowed_options).unwrap_or_default();
                if !allowed.contains(&name.as_str()) {
                    return Err(lexopt::Error::UnexpectedOption(format!("--{name}")));
                }
                parse_option(&name, parser.value()?, &mut values, global)?;
            }
            lexopt::Arg::Value(value) if command.is_none() => {
                let name = value.string()?;
                allowed_options(&name).ok_or_else(|| format!("no such command: {name:?}"))?;
                command = Some(name);
            }
            lexopt::Arg::Value(value) if values.operand.is_none() => values.operand = Some(value),
            lexopt::Arg::Value(value) if command.as_deref() == Some("explain") => {
                values.files.push(value.into());
            }
            argument => return Err(argument.unexpected()),
        }
    }
    build_command(command.as_deref().ok_or("a command is missing")?, values)
}

fn parse_option(
    name: &str,
    value: ffi::OsString,
    values: &mut OptionValues,
    global: &mut Global,
) -> Result<(), lexopt::Error> {
    match name {
        "region" => global.region = Some(value.parse()?),
        "domain" => global.domain = Some(value.parse()?),
        "service" => values.services.push(value.parse()?),
        "query" => values.query = Some(CompactString::from(value.string()?)),
        "operation" => values.operation = Some(value.parse()?),
        "subject" => values.subject = Some(CompactString::from(value.string()?)),
        "key" => values.key = Some(value.parse()?),
        "rank" => values.rank = Some(value.parse()?),
        "limit" => values.limit = Some(value.parse()?),
        "deadline-ms" => values.deadline_ms = Some(value.parse()?),
        "wait-ms" => values.wait_ms = Some(value.parse()?),
        "rate" => values.rate = Some(value.parse()?),
        "duration" => values.duration_s = Some(value.parse()?),
        "warm-up" => values.warm_up_s = Some(value.parse()?),
        "mix" => values.mix = Some(value.parse()?),
        "flood" => values.flood = Some(value.parse()?),
        "in-flight-max" => values.in_flight_max = Some(value.parse()?),
        "seed" => values.seed = Some(value.parse()?),
        _ => return Err(lexopt::Error::UnexpectedOption(format!("--{name}"))),
    }
    Ok(())
}

fn build_command(command: &str, mut values: OptionValues) -> Result<Command, lexopt::Error> {
    let operand = values.operand.take();
    let takes_operand = matches!(command, "check" | "declare" | "confirm" | "explain");
    if let Some(operand) = &operand
        && !takes_operand
    {
        return Err(lexopt::Error::UnexpectedArgument(operand.clone()));
    }
    match command {
        "check" => Ok(Command::Check(Check { file: operand.ok_or("FILE is missing")?.into() })),
        "declare" => {
            Ok(Command::Declare(Declare { file: operand.ok_or("FILE is missing")?.into() }))
        }
        "confirm" => {
            let plan = CompactString::from(operand.ok_or("PLAN is missing")?.string()?);
            Ok(Command::Confirm(Confirm { plan, wait_ms: values.wait_ms.unwrap_or(10_000) }))
        }
        "explain" => {
            let id = CompactString::from(operand.ok_or("ID is missing")?.string()?);
            Ok(Command::Explain(Explain { id, files: values.files }))
        }
        "status" => Ok(Command::Status(Status)),
        "instances" => Ok(Command::Instances(Instances)),
        "search" => Ok(Command::Search(Search {
            service: single_service(&mut values)?,
            query: values.query.ok_or("--query is missing")?,
            limit: values.limit.unwrap_or(10),
            rank: values.rank.unwrap_or(rank::Rank::Standard),
            deadline_ms: values.deadline_ms.unwrap_or(2_000),
        })),
        "run" => Ok(Command::Run(RunOnce {
            service: single_service(&mut values)?,
            operation: values.operation.ok_or("--operation is missing")?,
            subject: values.subject.ok_or("--subject is missing")?,
            key: values.key,
            rank: values.rank.unwrap_or(rank::Rank::Standard),
            deadline_ms: values.deadline_ms.unwrap_or(2_000),
        })),
        _ => Ok(Command::Bench(Box::new(Bench { plan: load_plan(values)? }))),
    }
}

fn single_service(values: &mut OptionValues) -> Result<ids::ServiceName, lexopt::Error> {
    let service = values.services.pop().ok_or("--service is missing")?;
    if !values.services.is_empty() {
        return Err("--service is given more than once".into());
    }
    Ok(service)
}

fn load_plan(values: OptionValues) -> Result<load::Plan, lexopt::Error> {
    let plan = load::Plan {
        services: values.services,
        query: values.query.unwrap_or_else(|| CompactString::from("bench")),
        limit: values.limit.unwrap_or(10),
        rate_per_s: values.rate.unwrap_or(100.0),
        duration: to_duration(values.duration_s.unwrap_or(10.0))?,
        warm_up: to_duration(values.warm_up_s.unwrap_or(2.0))?,
        mix: values.mix.unwrap_or_default(),
        flood: values.flood,
        deadline_ms: values.deadline_ms.unwrap_or(300),
        in_flight_max: values.in_flight_max.unwrap_or(10_000),
        seed: values.seed.unwrap_or(1),
    };
    plan.check().map_err(|error| lexopt::Error::Custom(error.into()))?;
    Ok(plan)
}

fn to_duration(number: f64) -> Result<time::Duration, lexopt::Error> {
    time::Duration::try_from_secs_f64(number).map_err(|error| lexopt::Error::Custom(error.into()))
}

/// Parses a comma-separated list of addresses.
pub fn parse_servers(text: &str) -> Result<Vec<net::SocketAddr>, net::AddrParseError> {
    let mut servers = Vec::new();
    for server in text.split(',') {
        servers.push(server.trim().parse()?);
    }
    Ok(servers)
}

/// Reads the global options that are set by environment variables.
pub fn global_from_environment() -> Result<Global, lexopt::Error> {
    let mut global = Global::default();
    if let Ok(servers) = env::var(SERVER_VARIABLE) {
        global.servers =
            parse_servers(&servers).map_err(|error| format!("{SERVER_VARIABLE}: {error}"))?;
    }
    global.token = env::var(TOKEN_VARIABLE).ok();
    Ok(global)
}
