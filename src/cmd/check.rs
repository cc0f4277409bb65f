//! `check`: lists all findings in a settings file, without a server.

use super::{Failure, Run};
use crate::check;
use crate::cli;
use error_stack::{Report, ResultExt as _};
use std::fs;

impl Run for cli::Check {
    fn run(&self, global: &cli::Global) -> Result<cli::Exit, Report<Failure>> {
        let text = fs::read_to_string(&self.file);
        let text = text.change_context(Failure::Failed("could not read the settings file"))?;
        let (findings, exit) = match check::parse(&text) {
            Ok((_, warnings)) => (warnings, cli::Exit::Done),
            Err(findings) => (findings, cli::Exit::Findings),
        };
        super::print_findings(global, &self.file, &findings)?;
        Ok(exit)
    }
}
