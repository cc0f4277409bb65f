//! The command-line client.

use std::env;
use std::process;
use tarragondoor::cli;
use tarragondoor::cmd;
use tarragondoor::cmd::Run as _;

fn main() -> process::ExitCode {
    let exit = run();
    process::ExitCode::from(exit as u8)
}

fn run() -> cli::Exit {
    let mut global = match cli::global_from_environment() {
        Ok(global) => global,
        Err(error) => return usage(&error),
    };
    let command = match cli::parse(env::args_os().skip(1), &mut global) {
        Ok(command) => command,
        Err(error) => return usage(&error),
    };
    match command.run(&global) {
        Ok(exit) => exit,
        Err(report) => {
            cmd::print_failure(&global, &report);
            report.current_context().exit()
        }
    }
}

fn usage(error: &lexopt::Error) -> cli::Exit {
    eprintln!("tarragondoor: {error}\ntry 'tarragondoor --help'");
    cli::Exit::Usage
}
