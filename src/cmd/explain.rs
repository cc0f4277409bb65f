//! `explain`: reconstructs how a request was handled from instances' logs.

use super::{Failure, Run};
use crate::cli;
use crate::explain;
use error_stack::{Report, ResultExt as _};
use std::fs;
use std::io;
use std::io::Read as _;

impl Run for cli::Explain {
    fn run(&self, _: &cli::Global) -> Result<cli::Exit, Report<Failure>> {
        let mut logs = String::new();
        for file in &self.files {
            let text = fs::read_to_string(file);
            logs += &text.change_context(Failure::Failed("could not read a log file"))?;
            logs.push('\n');
        }
        if self.files.is_empty() {
            let read = io::stdin().read_to_string(&mut logs);
            read.change_context(Failure::Failed("could not read the logs from standard input"))?;
        }
        match explain::explain(&self.id, &logs) {
            Some(explanation) => super::print(&explanation),
            None => Err(Report::new(Failure::Failed("the logs have no line about this request"))),
        }
    }
}
