//! Runs a stand-in (`standin platform`, `standin searchers`) or the demo of a complete deployment.

use error_stack::{Report, ResultExt as _};
use lexopt::ValueExt as _;
use standin::{demo, fleet, layout, platform};
use std::fs;
use std::net;
use std::path;
use tarragondoor::log;

const USAGE: &str = "\
usage: standin demo
       standin platform --listen ADDR [--faults JSON]
       standin searchers --fleet FILE [--platform ADDR]";

const LOG_FILTER: &str = "info,volo_http=warn,volo=warn";
const DEMO_LOG_FILTER: &str = "error";

#[derive(Debug, thiserror::Error)]
enum MainError {
    #[error("bad command line\n{USAGE}")]
    Usage,
    #[error("can't start the platform")]
    Platform,
    #[error("can't start the backend servers")]
    Searchers,
    #[error("the demo failed")]
    Demo,
}

#[derive(Default)]
struct Options {
    command: Option<String>,
    listen: Option<net::SocketAddr>,
    faults: platform::Faults,
    platform: Option<net::SocketAddr>,
    fleet: Option<path::PathBuf>,
}

#[tokio::main]
async fn main() -> Result<(), Report<MainError>> {
    let options = parse_options().change_context(MainError::Usage)?;
    let filter = match options.command.as_deref() {
        Some("demo") => DEMO_LOG_FILTER,
        _ => LOG_FILTER,
    };
    log::init(log::Format::Text, filter).change_context(MainError::Usage)?;
    match options.command.as_deref() {
        Some("platform") => run_platform(&options).await,
        Some("searchers") => run_searchers(&options).await,
        Some("demo") => demo::run().await.change_context(MainError::Demo),
        _ => Err(Report::new(MainError::Usage)),
    }
}

fn parse_options() -> Result<Options, lexopt::Error> {
    let mut options = Options::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("listen") => options.listen = Some(parser.value()?.parse()?),
            lexopt::Arg::Long("platform") => options.platform = Some(parser.value()?.parse()?),
            lexopt::Arg::Long("fleet") => options.fleet = Some(parser.value()?.into()),
            lexopt::Arg::Long("faults") => {
                options.faults = parser.value()?.parse_with(|text| serde_json::from_str(text))?;
            }
            lexopt::Arg::Value(value) if options.command.is_none() => {
                options.command = Some(value.string()?);
            }
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(options)
}

async fn run_platform(options: &Options) -> Result<(), Report<MainError>> {
    let Some(listen) = options.listen else { return Err(Report::new(MainError::Usage)) };
    let started = platform::Platform::start(listen, options.faults).await;
    let platform = started.change_context(MainError::Platform)?;
    println!("platform {}", platform.address());
    wait_for_signal().await;
    Ok(())
}

async fn run_searchers(options: &Options) -> Result<(), Report<MainError>> {
    let Some(file) = &options.fleet else { return Err(Report::new(MainError::Usage)) };
    let text = fs::read_to_string(file).change_context(MainError::Searchers)?;
    let config = layout::FleetConfig::parse(&text).change_context(MainError::Searchers)?;
    let started = fleet::start(&config, options.platform).await;
    let fleet = started.change_context(MainError::Searchers)?;
    for member in fleet.members() {
        println!("searcher {} {}", member.searcher.config().searcher, member.searcher.address());
    }
    println!("ready");
    wait_for_signal().await;
    Ok(())
}

async fn wait_for_signal() {
    let interrupt = tokio::signal::unix::SignalKind::interrupt();
    let terminate = tokio::signal::unix::SignalKind::terminate();
    let (Ok(mut interrupt), Ok(mut terminate)) =
        (tokio::signal::unix::signal(interrupt), tokio::signal::unix::signal(terminate))
    else {
        return;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}
