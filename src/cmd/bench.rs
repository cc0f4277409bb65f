//! `bench`: puts load on services and measures it.

use super::{Failure, Run};
use crate::cli;
use crate::load::runner;
use error_stack::{Report, ResultExt as _};
use std::sync;

/// How many callers there are. Each keeps its own address answer, so that the searches enter at all
/// instances.
const CALLER_COUNT: usize = 64;

/// Threads of the load tool.
const WORKER_THREADS: usize = 2;

impl Run for cli::Bench {
    fn run(&self, global: &cli::Global) -> Result<cli::Exit, Report<Failure>> {
        let mut callers = Vec::with_capacity(CALLER_COUNT);
        for _ in 0..CALLER_COUNT {
            callers.push(sync::Arc::new(super::new_caller(global)?));
        }
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(WORKER_THREADS).enable_all().build();
        let runtime = runtime.change_context(Failure::Failed("could not start"))?;
        let report = runtime.block_on(async {
            // Without an instance there is nothing to measure.
            for caller in &callers {
                let addresses = caller.addresses().await;
                addresses.change_context(Failure::Failed("could not ask for the instances"))?;
            }
            let report = runner::run(&callers, &self.plan, print_progress).await;
            report.change_context(Failure::Failed("could not measure"))
        })?;
        super::print_value(global, &report, ToString::to_string)?;
        Ok(cli::Exit::Done)
    }
}

fn print_progress(progress: runner::Progress) {
    eprintln!(
        "{:>6.1} s  {} started, {} under way, {} overruns",
        progress.elapsed.as_secs_f64(),
        progress.started,
        progress.in_flight,
        progress.overruns
    );
}
