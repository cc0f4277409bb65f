//! Initializes logging, either as text or as one JSON object per line.

use std::env;
use std::io;
use std::io::IsTerminal as _;
use tracing_appender::non_blocking;
use tracing_subscriber::filter;
use tracing_subscriber::fmt;
use tracing_subscriber::fmt::format;

/// The environment variable with the filter; it takes precedence over the one that is passed in.
pub const FILTER_VARIABLE: &str = "RUST_LOG";

/// The format of a log line.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// Text.
    #[default]
    Text,
    /// A JSON object with the event's fields at the top level, and the enclosing spans.
    Json,
}

/// Why logging could not be initialized.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InitError {
    /// The filter is malformed.
    #[error("the log filter is malformed: {0}")]
    Filter(String),
    /// Logging was initialized before.
    #[error("logging is already initialized")]
    AlreadyInitialized,
}

/// Starts logging to standard error. `filter` is like `info` or `warn,tarragondoor=debug`.
///
/// # Errors
///
/// When the filter is malformed, or logging is already initialized.
pub fn init(format: Format, filter: &str) -> Result<(), InitError> {
    let filter = env::var(FILTER_VARIABLE).unwrap_or_else(|_| filter.to_owned());
    let filter = parse_filter(&filter)?;
    let builder = fmt::Subscriber::builder()
        .with_env_filter(filter)
        .with_writer(io::stderr)
        .with_ansi(io::stderr().is_terminal())
        .with_span_events(format::FmtSpan::CLOSE);
    let result = match format {
        Format::Text => builder.try_init(),
        Format::Json => builder.json().flatten_event(true).try_init(),
    };
    result.map_err(|_| InitError::AlreadyInitialized)
}

/// The maximum number of lines that wait to be written; further ones are dropped.
const STDOUT_LINES_MAX: usize = 4_096;

/// Starts logging to standard output, one JSON object per line. A separate thread writes the lines, so that a
/// reader that stops reading blocks nothing else; lines that don't fit into the buffer are dropped. Dropping
/// the guard flushes the lines that are still buffered.
///
/// # Errors
///
/// When the filter is malformed, or logging is already initialized.
pub fn init_json_stdout(filter: &str) -> Result<non_blocking::WorkerGuard, InitError> {
    let filter = env::var(FILTER_VARIABLE).unwrap_or_else(|_| filter.to_owned());
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(STDOUT_LINES_MAX)
        .finish(io::stdout());
    let builder = fmt::Subscriber::builder()
        .with_env_filter(parse_filter(&filter)?)
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false);
    builder.try_init().map_err(|_| InitError::AlreadyInitialized)?;
    Ok(guard)
}

/// Parses a filter.
///
/// # Errors
///
/// When it is malformed.
pub fn parse_filter(filter: &str) -> Result<filter::EnvFilter, InitError> {
    filter::EnvFilter::builder().parse(filter).map_err(|error| InitError::Filter(error.to_string()))
}
