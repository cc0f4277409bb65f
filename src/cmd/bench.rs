//! `bench`: generates load on services and measures how they respond.

use super::{Failure, Run};
use crate::cli;
use crate::load::runner;
use error_stack::{Report, ResultExt as _};
use std::sync;

/// The number of callers. Each caches its own address reply, so that searches are spread over all
/// instances.
const CALLER_COUNT: usize = 64;

/// Worker threads of the load tool's runtime.
const WORKER_THREADS: usize = 2;

impl Run for cli::Bench {
    fn run(&self, global: &cli::Global) -> Result<cli::Exit, Report<Failure>> {
        let mut callers = Vec::with_capacity(CALLER_COUNT);
        for _ in 0..CALLER_COUNT {
            callers.push(sync::Arc::new(super::new_caller(global)?));
        }
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(WORKER_THREADS).enable_all().build();
        let runtime =
            runtime.change_context(Failure::Failed("could not start the async runtime"))?;
        let report = runtime.block_on(async {
            // Fails before the run if no instance answers: there would be nothing to measure.
            for caller in &callers {
                let addresses = caller.addresses().await;
                addresses.change_context(Failure::Failed("could not get the list of instances"))?;
            }
            let report = runner::run(&callers, &self.plan, print_progress).await;
            report.change_context(Failure::Failed("the load run failed"))
        })?;
        super::print_value(global, &report, ToString::to_string)?;
        Ok(cli::Exit::Done)
    }
}

fn print_progress(progress: runner::Progress) {
    eprintln!(
        "{:>6.1} s  {} started, {} in flight, {} overruns",
        progress.elapsed.as_secs_f64(),
        progress.started,
        progress.in_flight,
        progress.overruns
    );
}
