//! `confirm`: puts a declared plan into effect.

use super::{Failover, Failure, Run};
use crate::cli;
use crate::client;
use crate::operator_api;
use error_stack::Report;
use std::time;

impl Run for cli::Confirm {
    fn run(&self, global: &cli::Global) -> Result<cli::Exit, Report<Failure>> {
        super::require_servers(global)?;
        let call = operator_api::ConfirmCall { plan: self.plan.clone(), wait_ms: self.wait_ms };
        let path = "/v1/operator/confirm";
        let wait = time::Duration::from_millis(self.wait_ms.into());
        // A server that received the plan may have committed it; confirming it at another server
        // could then report a conflict with that very commit.
        let failover = Failover::IfNeverReceived;
        match super::call_operator_api(global, path, Some(&call), wait, failover) {
            Ok(reply) => {
                super::print_value(global, &reply, format_text)?;
                Ok(exit_of(&reply))
            }
            Err(error) => Err(confirm_failure(error)),
        }
    }
}

fn confirm_failure(error: Report<client::CallError>) -> Report<Failure> {
    let failure = match error.current_context() {
        client::CallError::Refused(..) => Failure::Refused("nothing has changed"),
        error if error.never_received() => Failure::Failed("nothing has changed"),
        _ => Failure::Unsettled("the plan may have been committed; confirm it again to know"),
    };
    error.change_context(failure)
}

fn exit_of(reply: &operator_api::ConfirmReply) -> cli::Exit {
    match reply {
        operator_api::ConfirmReply::Accepted { .. } => cli::Exit::Done,
        operator_api::ConfirmReply::Pending { .. } | operator_api::ConfirmReply::Unsettled => {
            cli::Exit::Unsettled
        }
        operator_api::ConfirmReply::Conflict { .. } | operator_api::ConfirmReply::UnknownPlan => {
            cli::Exit::Refused
        }
    }
}

fn format_text(reply: &operator_api::ConfirmReply) -> String {
    match reply {
        operator_api::ConfirmReply::Accepted { revision } => {
            format!("accepted: revision {revision} is in force on every instance\n")
        }
        operator_api::ConfirmReply::Pending { revision, waiting_for } => {
            let names: Vec<&str> = waiting_for.iter().map(|name| name.as_str()).collect();
            let names = names.join(", ");
            format!(
                "pending: revision {revision} is committed, and waits for {names}; \
                 confirm it again to see whether it is accepted\n"
            )
        }
        operator_api::ConfirmReply::Conflict { in_force } => format!(
            "conflict: nothing has changed; revision {in_force} is in force now, declare again\n"
        ),
        operator_api::ConfirmReply::Unsettled => {
            "unsettled: the plan may have been committed; confirm it again to know\n".to_owned()
        }
        operator_api::ConfirmReply::UnknownPlan => {
            "unknown plan: nothing has changed; declare again\n".to_owned()
        }
    }
}
