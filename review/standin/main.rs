//! Runs the review's scripted cases: starts instances as separate processes between stand-ins of the store, of
//! searchers and of clients, and checks one rule. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case
//! could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod base;
mod instance;
mod late_rejections;
mod refusals;
mod searcher;
mod store;
mod storm;

use std::path::PathBuf;
use std::process;

/// How a case ended.
pub struct Verdict {
    /// What broke the rule.
    pub violations: Vec<String>,
}

/// Ends the process: the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case can't run: {reason}");
    process::exit(2);
}

fn main() {
    base::seed_random(base::time_seed());
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        cannot_run("usage: standin CASE FOLDER");
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = std::sync::Arc::new(base::Record::new());
    let verdict = match case.as_str() {
        "late-rejections" => late_rejections::run(&record, has_trouble),
        "refusals" => refusals::run(&record, has_trouble),
        "storm" => storm::run(&record, has_trouble),
        _ => cannot_run("unknown case"),
    };
    for violation in &verdict.violations {
        record.add(format!("BROKEN  {violation}"));
        println!("{violation}");
    }
    let verdict_text =
        if verdict.violations.is_empty() { "the rule held" } else { "the rule was broken" };
    record.add(verdict_text);
    println!("{verdict_text}");
    if let Err(error) = record.write(&PathBuf::from(folder).join("record.txt")) {
        cannot_run(&format!("can't write the record: {error}"));
    }
    process::exit(i32::from(!verdict.violations.is_empty()));
}
