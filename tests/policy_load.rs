//! The policy under load and faults, beside the plain policy in the same setup.

mod driver;

use driver::{SECOND_US, Setup};
use tarragondoor::policy::Policy;
use tarragondoor::rank::Rank;

fn show(name: &str, run: &driver::Run, from_us: u64, to_us: u64) {
    println!("{name}: extra {:.2} %, most in use {}", run.extra_percent(), run.most_in_use);
    for rank in Rank::ALL {
        let tally = run.tally(rank, from_us, to_us);
        println!(
            "  {rank}: arrived {} served {:.4} early {} later {} late {} p50 {:.1} p99 {:.1} p99.9 {:.1} ms",
            tally.arrived,
            tally.served_share(),
            tally.refused_early,
            tally.refused_later,
            tally.late,
            tally.quantile_ms(0.5),
            tally.quantile_ms(0.99),
            tally.quantile_ms(0.999)
        );
    }
}

/// The queries served in the span, as a share of the capacity, by rank.
fn goodput(run: &driver::Run, capacity: f64, from_us: u64, to_us: u64) -> [f64; 3] {
    let seconds = (to_us - from_us) as f64 / SECOND_US as f64;
    Rank::ALL
        .map(|rank| run.tally(rank, from_us, to_us).latencies_us.len() as f64 / seconds / capacity)
}

#[test]
fn explore() {
    for seed in 1..=3 {
        for load in [[3.0, 0.3, 0.3], [0.5, 1.0, 1.5], [0.1, 0.3, 5.0], [0.2, 0.5, 0.5]] {
            let mut setup = Setup::new(Policy::Full).phase(2.0, [0.1, 0.3, 0.2]).phase(5.0, load);
            setup.seed = seed;
            let capacity = setup.capacity();
            let run = driver::run(setup);
            let got = goodput(&run, capacity, 3 * SECOND_US, 7 * SECOND_US);
            let sum: f64 = got.iter().sum();
            let mut waste = 0;
            let mut steady = 0;
            let mut p99 = [0.0; 3];
            for rank in Rank::ALL {
                let tally = run.tally(rank, 2 * SECOND_US, 7 * SECOND_US);
                waste += tally.late + tally.refused_later;
                let later = run.tally(rank, 3 * SECOND_US, 7 * SECOND_US);
                steady += later.late + later.refused_later;
                p99[rank.index()] = tally.quantile_ms(0.99);
            }
            println!(
                "seed {seed} load {load:?}: goodput {got:.3?} sum {sum:.3} waste {waste} steady {steady} p99 {p99:.0?}"
            );
        }
    }
}
