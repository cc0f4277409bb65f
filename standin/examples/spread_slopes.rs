//! Prints what one change of the settings costs, by the number of instances, as JSON lines.

use standin::spread_slopes;

const SEEDLING: &str = include_str!("../../examples/seedling.jsonc");
const SIZES: [usize; 4] = [50, 100, 200, 400];
const CHANGES: u32 = 4;
const SEED: u64 = 1;

fn main() -> std::process::ExitCode {
    let Ok((settings, _)) = tarragondoor::check::parse(SEEDLING) else {
        eprintln!("the example is not usable");
        return std::process::ExitCode::FAILURE;
    };
    for instances in SIZES {
        let Some(cost) = spread_slopes::change_cost(SEED, instances, CHANGES, &settings) else {
            eprintln!("{instances} instances: a change was not accepted in time");
            return std::process::ExitCode::FAILURE;
        };
        match serde_json::to_string(&cost) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("{error}"),
        }
    }
    std::process::ExitCode::SUCCESS
}
