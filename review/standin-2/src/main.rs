//! Plays a case of the review: `review-standin-2 CASE FOLDER`. Exits with 1 if the rule was broken, with 0 if it held, and
//! with 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod client;
mod crowd;
mod descriptors;
mod http;
mod instance;
mod last_tenant;
mod memory;
mod other_writer;
mod report;
mod searcher;
mod store;
mod tenant_name;

use std::env;
use std::path;
use std::process;
use std::thread;
use std::time;

/// A run that takes longer is given up.
const RUN_MAX: time::Duration = time::Duration::from_secs(115);

fn main() -> process::ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        return process::ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let (sender, receiver) = std::sync::mpsc::channel();
    // In a thread of its own, so that a run that hangs is given up; its process ends with it.
    thread::spawn(move || {
        let result = play(&case, path::Path::new(&folder), has_trouble);
        // The receiver is gone if the run took too long.
        let _ = sender.send(result);
    });
    match receiver.recv_timeout(RUN_MAX) {
        Ok(Ok(report::Verdict::Held)) => process::ExitCode::SUCCESS,
        Ok(Ok(report::Verdict::Broken)) => process::ExitCode::from(1),
        Ok(Err(error)) => {
            eprintln!("the case couldn't run: {error}");
            process::ExitCode::from(2)
        }
        Err(_) => {
            eprintln!("the case took too long");
            instance::kill_all();
            process::ExitCode::from(2)
        }
    }
}

fn play(
    case: &str,
    folder: &path::Path,
    has_trouble: bool,
) -> Result<report::Verdict, Box<dyn std::error::Error + Send + Sync>> {
    let report = report::Report::create(folder)?;
    report.line(format!("case {case}, {}", if has_trouble { "disrupted" } else { "TROUBLE=0" }));
    match case {
        "other-writer" => Ok(other_writer::play(&report, has_trouble)?),
        "descriptors" => Ok(descriptors::play(&report, has_trouble)?),
        "tenant-name" => Ok(tenant_name::play(&report, has_trouble)?),
        "last-tenant" => Ok(last_tenant::play(&report, has_trouble)?),
        "memory" => Ok(memory::play(&report, has_trouble)?),
        _ => Err(format!("no case is called {case}").into()),
    }
}
