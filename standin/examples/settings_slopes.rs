//! Prints the cost of an idle second and of one change of the settings, by the number of instances,
//! as JSON lines.

use standin::settings_change_cost;
use standin::settings_idle_cost;

const SEEDLING: &str = include_str!("../../examples/seedling.jsonc");
const CHANGE_INSTANCES: [usize; 4] = [50, 100, 200, 400];
const CHANGES: u32 = 4;
const SEED: u64 = 1;

/// The length of the idle period measured, in simulated seconds.
const IDLE_S: u64 = 600;

/// The numbers of instances for which an idle second is measured; 870 is the target size.
const IDLE_INSTANCES: [usize; 5] = [50, 100, 200, 400, 870];

fn print(cost: &impl serde::Serialize) {
    match serde_json::to_string(cost) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("{error}"),
    }
}

fn main() -> std::process::ExitCode {
    let Ok((settings, _)) = tarragondoor::check::parse(SEEDLING) else {
        eprintln!("the example is not usable");
        return std::process::ExitCode::FAILURE;
    };
    for instances in IDLE_INSTANCES {
        let Some(cost) = settings_idle_cost::idle_cost(instances, IDLE_S) else {
            eprintln!("{instances} instances: the machine did not become ready");
            return std::process::ExitCode::FAILURE;
        };
        print(&cost);
    }
    for instances in CHANGE_INSTANCES {
        let Some(cost) = settings_change_cost::change_cost(SEED, instances, CHANGES, &settings)
        else {
            eprintln!("{instances} instances: a change was not accepted in time");
            return std::process::ExitCode::FAILURE;
        };
        print(&cost);
    }
    std::process::ExitCode::SUCCESS
}
