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

#[test]
fn explore() {
    for policy in [Policy::Plain, Policy::Full] {
        let calm = Setup::new(policy).phase(6.0, [0.1, 0.2, 0.2]);
        let run = driver::run(calm.clone());
        show(&format!("{policy} calm"), &run, SECOND_US, 6 * SECOND_US);
        let mut slow = calm.clone();
        slow.slow = vec![(3, 20.0, 0), (27, 20.0, 0), (49, 20.0, 0)];
        let run = driver::run(slow.clone());
        show(&format!("{policy} slow"), &run, SECOND_US, 6 * SECOND_US);
        let flood = Setup::new(policy).phase(2.0, [0.1, 0.3, 0.2]).phase(4.0, [0.1, 0.3, 5.0]);
        let run = driver::run(flood);
        show(&format!("{policy} bg flood, first 0.5 s"), &run, 2 * SECOND_US, 5 * SECOND_US / 2);
        show(&format!("{policy} bg flood"), &run, 5 * SECOND_US / 2, 6 * SECOND_US);
        let flood = Setup::new(policy).phase(2.0, [0.1, 0.3, 0.3]).phase(4.0, [3.0, 0.3, 0.3]);
        let run = driver::run(flood);
        show(
            &format!("{policy} urgent flood, first 0.5 s"),
            &run,
            2 * SECOND_US,
            5 * SECOND_US / 2,
        );
        show(&format!("{policy} urgent flood"), &run, 5 * SECOND_US / 2, 6 * SECOND_US);
        let over = Setup::new(policy).phase(6.0, [0.5, 1.0, 1.5]);
        let run = driver::run(over);
        show(&format!("{policy} 3x"), &run, SECOND_US, 6 * SECOND_US);
        let mut lost = calm.clone();
        lost.silent = Some((5, 2 * SECOND_US));
        let run = driver::run(lost);
        show(&format!("{policy} silent, first s"), &run, 2 * SECOND_US, 3 * SECOND_US);
        show(&format!("{policy} silent, later"), &run, 3 * SECOND_US, 6 * SECOND_US);
    }
}
