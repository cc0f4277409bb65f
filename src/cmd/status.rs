//! `status`: lists the instances and the settings revision that each has in force.

use super::{Failover, Failure, Run};
use crate::cli;
use crate::operator_api;
use error_stack::Report;
use std::time;

impl Run for cli::Status {
    fn run(&self, global: &cli::Global) -> Result<cli::Exit, Report<Failure>> {
        super::require_servers(global)?;
        let (path, wait) = ("/v1/operator/status", time::Duration::ZERO);
        let reply = super::call_operator_api(
            global,
            path,
            None::<&()>,
            wait,
            Failover::IfMaySucceedElsewhere,
        )
        .map_err(|error| super::into_failure(error, "could not get the status"))?;
        super::print_value(global, &reply, format_text)?;
        Ok(cli::Exit::Done)
    }
}

fn format_text(reply: &operator_api::StatusReply) -> String {
    let mut text = format!("revision {}, as {} knows\n", reply.newest, reply.answered_by);
    text.push_str(&format!(
        "{:<20} {:<10} {:>8} {:<7} {:<22} {}/{}\n",
        "instance", "state", "revision", "", "address", "region", "failure domain"
    ));
    for instance in &reply.instances {
        let behind = if instance.behind { "behind" } else { "" };
        text.push_str(&format!(
            "{:<20} {:<10} {:>8} {behind:<7} {:<22} {}/{}\n",
            instance.instance.as_str(),
            instance.state,
            instance.revision.to_string(),
            instance.address.to_string(),
            instance.region,
            instance.failure_domain
        ));
    }
    text
}
