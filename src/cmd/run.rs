//! `run`: runs one non-idempotent operation.

use super::{Failure, Run};
use crate::caller_api;
use crate::cli;
use crate::client::caller;
use error_stack::Report;
use std::time;

impl Run for cli::RunOnce {
    fn run(&self, global: &cli::Global) -> Result<cli::Exit, Report<Failure>> {
        let caller = super::new_caller(global)?;
        let run = caller::RunParams {
            service: self.service.clone(),
            operation: self.operation.clone(),
            subject: self.subject.clone(),
            key: self.key.clone(),
            rank: self.rank,
            deadline: time::Duration::from_millis(self.deadline_ms.into()),
        };
        let answer = super::new_runtime()?.block_on(caller.run(&run, rand::random));
        let answer = answer.map_err(|error| {
            let failure = super::failure_for(&error, "the operation did not run");
            Report::new(error).change_context(failure)
        })?;
        super::print_value(global, &answer, format_text)?;
        Ok(exit_of(answer.outcome))
    }
}

fn exit_of(outcome: caller_api::Outcome) -> cli::Exit {
    match outcome {
        caller_api::Outcome::Ran => cli::Exit::Done,
        caller_api::Outcome::NotRun => cli::Exit::Refused,
        caller_api::Outcome::Unknown => cli::Exit::Unsettled,
    }
}

fn format_text(answer: &caller_api::RunAnswer) -> String {
    let cause = answer.cause.map_or(String::new(), |cause| format!(": {cause}"));
    match answer.outcome {
        caller_api::Outcome::Ran => match &answer.result {
            Some(result) => format!("ran: {result}\n"),
            None => "ran\n".to_owned(),
        },
        caller_api::Outcome::NotRun => format!("not run{cause}\n"),
        caller_api::Outcome::Unknown => {
            format!("not known whether it ran{cause}\nkey {}\n", answer.key)
        }
    }
}
