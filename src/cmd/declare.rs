//! `declare`: shows what a settings file would change, without changing anything.

use super::{Failover, Failure, Run};
use crate::cli;
use crate::client;
use crate::operator_api;
use error_stack::{Report, ResultExt as _};
use std::fs;
use std::path;
use std::time;

impl Run for cli::Declare {
    fn run(&self, global: &cli::Global) -> Result<cli::Exit, Report<Failure>> {
        super::require_servers(global)?;
        let document = fs::read_to_string(&self.file);
        let document =
            document.change_context(Failure::Failed("could not read the settings file"))?;
        let call = operator_api::DeclareCall { document };
        let path = "/v1/operator/plans";
        let wait = time::Duration::ZERO;
        let reply = super::call_operator_api(
            global,
            path,
            Some(&call),
            wait,
            Failover::IfMaySucceedElsewhere,
        );
        match reply {
            Ok(plan) => {
                super::print_value(global, &plan, |plan| format_text(&self.file, plan))?;
                Ok(cli::Exit::Done)
            }
            Err(error) => match error.current_context() {
                client::CallError::Findings(findings) => {
                    super::print_findings(global, &self.file, findings)?;
                    Ok(cli::Exit::Findings)
                }
                _ => Err(super::into_failure(error, "could not declare the settings")),
            },
        }
    }
}

fn format_text(file: &path::Path, plan: &operator_api::Plan) -> String {
    let mut text = format!("plan {}\nmade from revision {}\n", plan.plan, plan.base_revision);
    for (title, lines) in [("changes", &plan.changes), ("results", &plan.results)] {
        if lines.is_empty() {
            text.push_str(&format!("no {title}\n"));
            continue;
        }
        text.push_str(&format!("{title}:\n"));
        for line in lines {
            text.push_str(&format!("  {line}\n"));
        }
    }
    text.push_str(&super::format_findings(file, &plan.warnings));
    text.push_str(&format!("nothing has changed; to go on: tarragondoor confirm {}\n", plan.plan));
    text
}
