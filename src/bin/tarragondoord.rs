//! The daemon, which runs an instance of the query tier.

use std::process;

fn main() -> process::ExitCode {
    match tarragondoor::daemon::main(std::env::args_os().skip(1)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tarragondoord: {error:?}");
            process::ExitCode::FAILURE
        }
    }
}
