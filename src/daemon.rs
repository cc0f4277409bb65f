//! The daemon's command line and its runtime.

use crate::config;
use crate::instance;
use crate::log;
use error_stack::ResultExt as _;
use std::ffi;
use std::path;

const HELP: &str = "\
Runs an instance of the query tier.

Usage: tarragondoord --config FILE

Options:
      --config FILE    The instance's own settings, JSON with comments
  -h, --help           Print help
  -V, --version        Print version

Environment:
  TARRAGONDOOR_KEY     The key that all instances share, 64 hexadecimal digits
  TARRAGONDOOR_TOKEN   The operators' token, at least 16 bytes
  RUST_LOG             What to log, such as `info` or `tarragondoor=debug`";

/// The log filter if `RUST_LOG` is not set.
const DEFAULT_LOG_FILTER: &str = "info,volo_http=warn,volo=warn";

/// Why the daemon ended.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The command line is invalid.
    #[error("invalid command line")]
    Usage,
    /// The settings or secrets can't be read or are invalid.
    #[error("can't load the settings")]
    Config,
    /// The instance could not run.
    #[error("can't run the instance")]
    Run,
}

enum Command {
    Run(path::PathBuf),
    Help,
    Version,
}

/// Runs the daemon with the given arguments, which do not include the program's name.
///
/// # Errors
///
/// When it could not run.
pub fn main(
    arguments: impl IntoIterator<Item = ffi::OsString>,
) -> Result<(), error_stack::Report<DaemonError>> {
    let config = match parse(arguments).change_context(DaemonError::Usage)? {
        Command::Help => {
            println!("{HELP}");
            return Ok(());
        }
        Command::Version => {
            println!("tarragondoord {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        Command::Run(config) => config,
    };
    let text = std::fs::read_to_string(&config)
        .change_context(DaemonError::Config)
        .attach_with(|| config.display().to_string())?;
    let config = config::parse(&text).change_context(DaemonError::Config)?;
    log::init(config.log, DEFAULT_LOG_FILTER).change_context(DaemonError::Config)?;
    let secrets =
        config::secrets(|name| std::env::var(name).ok()).change_context(DaemonError::Config)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(usize::from(config.worker_threads))
        .enable_all()
        .build()
        .change_context(DaemonError::Run)?;
    runtime.block_on(async {
        let mut instance =
            instance::start(config, secrets).await.change_context(DaemonError::Run)?;
        instance.serve().await.change_context(DaemonError::Run)
    })
}

fn parse(arguments: impl IntoIterator<Item = ffi::OsString>) -> Result<Command, lexopt::Error> {
    use lexopt::prelude::{Long, Short};
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut config = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("config") => config = Some(path::PathBuf::from(parser.value()?)),
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            other => return Err(other.unexpected()),
        }
    }
    match config {
        Some(config) => Ok(Command::Run(config)),
        None => Err(lexopt::Error::Custom("--config is missing".into())),
    }
}
