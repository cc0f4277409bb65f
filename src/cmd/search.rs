//! `search`: sends one search and prints its hits and coverage.

use super::{Failure, Run};
use crate::caller_api;
use crate::cli;
use error_stack::Report;

impl Run for cli::Search {
    fn run(&self, global: &cli::Global) -> Result<cli::Exit, Report<Failure>> {
        let caller = super::new_caller(global)?;
        let call = caller_api::SearchCall {
            service: self.service.clone(),
            query: self.query.clone(),
            limit: self.limit,
            rank: self.rank,
            deadline_ms: self.deadline_ms,
        };
        let answer = super::new_runtime()?.block_on(caller.search(&call)).map_err(|error| {
            let failure = super::failure_for(&error, "the search was not answered");
            Report::new(error).change_context(failure)
        })?;
        super::print_value(global, &answer, format_text)?;
        Ok(cli::Exit::Done)
    }
}

fn format_text(answer: &caller_api::SearchAnswer) -> String {
    let mut text = String::new();
    for hit in &answer.hits {
        text.push_str(&format!("{:>8.4}  {}\n", hit.score, hit.document));
    }
    let coverage = &answer.coverage;
    let (answered, total) = (coverage.shards_answered, coverage.shards_total);
    text.push_str(&format!(
        "{} hits from {answered} of {total} shards, snapshot {}, query {}\n",
        answer.hits.len(),
        answer.snapshot,
        answer.query_id
    ));
    if answered < total {
        let missing: Vec<String> = coverage.missing.iter().map(ToString::to_string).collect();
        text.push_str(&format!("not whole: shards {} did not answer\n", missing.join(", ")));
    }
    text
}
