//! The guarantees of the settings' distribution under faults, with many simulated instances and no sockets.

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use standin::settings_simulation::{Faults, OperatorAnswer, Simulation};
use std::fmt::Write as _;
use tarragondoor::check;
use tarragondoor::document;
use tarragondoor::ids;
use tarragondoor::operator_api::ConfirmReply;
use tarragondoor::plan;
use tarragondoor::settings;

const SEEDLING: &str = include_str!("../../examples/seedling.jsonc");

/// A document whose content is determined by `number`, so that different numbers give different documents.
fn numbered_document(number: u64) -> document::Document {
    let (settings, _) = check::parse(SEEDLING).expect("the example is usable");
    let mut settings: settings::Settings = settings;
    settings.ranks[2].target_ms = 2_000 + number as u32;
    document::Document::new(settings).expect("the document is within the size limit")
}

/// Starts seven instances in three regions and checks that all of them serve.
fn start_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, 7, 3);
    simulation.run_for(6_000);
    for node in 0..simulation.len() {
        assert!(simulation.serves(node), "seed {seed}: i{node} does not serve");
    }
    simulation
}

/// Declares a document at an instance and returns the plan; panics if the declaration fails.
fn declare(simulation: &mut Simulation, node: usize, operation_id: u64) -> plan::PlanId {
    simulation.declare(node, operation_id, numbered_document(operation_id));
    let until_ms = simulation.now_ms() + 6_000;
    simulation.run_until(until_ms, |simulation| simulation.answer(operation_id).is_some());
    match simulation.answer(operation_id) {
        Some(OperatorAnswer::Declared(Ok(plan))) => plan.plan.parse().expect("a plan's id"),
        other => panic!("declaration {operation_id}: {other:?}"),
    }
}

/// Confirms a plan at an instance and returns the reply as JSON.
fn confirm(
    simulation: &mut Simulation,
    node: usize,
    operation_id: u64,
    plan: plan::PlanId,
    wait_ms: u64,
) -> String {
    simulation.confirm(node, operation_id, plan, wait_ms);
    let until_ms = simulation.now_ms() + wait_ms + 1_000;
    simulation.run_until(until_ms, |simulation| simulation.answer(operation_id).is_some());
    match simulation.answer(operation_id) {
        Some(OperatorAnswer::Confirmed(_, reply)) => serde_json::to_string(reply).expect("JSON"),
        other => format!("{other:?}"),
    }
}

/// Declares and confirms a document at an instance; returns the reply as JSON.
fn declare_and_confirm(simulation: &mut Simulation, node: usize, operation_id: u64) -> String {
    let plan = declare(simulation, node, operation_id);
    confirm(simulation, node, operation_id + 1, plan, 8_000)
}

/// The revision in force on each instance, and which instances do not serve.
fn format_revisions(simulation: &Simulation) -> String {
    let mut text = String::new();
    for node in 0..simulation.len() {
        let mark = if simulation.serves(node) { "" } else { " not serving" };
        let _ = write!(text, "[i{node} {}{mark}] ", simulation.revision(node));
    }
    text.trim_end().to_string()
}

/// The title of a case, and the steps that give the lines of its result.
type FaultCase = (&'static str, fn(&mut Simulation) -> Vec<String>);

const FAULT_CASES: &[FaultCase] = &[
    ("no fault", |simulation| {
        vec![declare_and_confirm(simulation, 0, 10), declare_and_confirm(simulation, 5, 20)]
    }),
    ("platform down before the declaration", |simulation| {
        simulation.faults.platform_down = true;
        simulation.declare(0, 10, numbered_document(10));
        simulation.run_for(6_000);
        vec![format!("{:?}", simulation.answer(10))]
    }),
    ("platform down before the confirmation, then back", |simulation| {
        let plan = declare(simulation, 0, 10);
        simulation.faults.platform_down = true;
        let first = confirm(simulation, 1, 11, plan, 3_000);
        let serving = format_revisions(simulation);
        simulation.faults = Faults::default();
        vec![first, serving, confirm(simulation, 2, 12, plan, 8_000)]
    }),
    ("reply lost after the swap took effect, confirmed again elsewhere", |simulation| {
        let plan = declare(simulation, 0, 10);
        simulation.faults.replies_lost = true;
        let first = confirm(simulation, 1, 11, plan, 3_000);
        simulation.faults = Faults::default();
        vec![
            first,
            confirm(simulation, 2, 12, plan, 8_000),
            format!("{} commits", simulation.committed().len()),
        ]
    }),
    ("platform down right after the commit", |simulation| {
        let plan = declare(simulation, 0, 10);
        simulation.confirm(1, 11, plan, 8_000);
        let until_ms = simulation.now_ms() + 1_000;
        simulation.run_until(until_ms, |simulation| !simulation.committed().is_empty());
        simulation.run_for(10);
        simulation.faults.platform_down = true;
        simulation.run_for(9_000);
        vec![format!("{:?}", simulation.answer(11)), format_revisions(simulation)]
    }),
    ("platform slow", |simulation| {
        simulation.faults.platform_slow_ms = 1_500;
        vec![declare_and_confirm(simulation, 0, 10)]
    }),
    ("two plans with the same base are confirmed concurrently", |simulation| {
        let (one, two) = (declare(simulation, 0, 10), declare(simulation, 1, 20));
        simulation.confirm(2, 11, one, 8_000);
        simulation.confirm(3, 21, two, 8_000);
        simulation.run_for(9_000);
        let is_accepted = |reply: &Option<&OperatorAnswer>| {
            matches!(reply, Some(OperatorAnswer::Confirmed(_, ConfirmReply::Accepted { .. })))
        };
        let is_conflict = |reply: &Option<&OperatorAnswer>| {
            matches!(reply, Some(OperatorAnswer::Confirmed(_, ConfirmReply::Conflict { .. })))
        };
        let replies = [simulation.answer(11), simulation.answer(21)];
        vec![
            format!("{} accepted", replies.iter().filter(|reply| is_accepted(reply)).count()),
            format!("{} conflict", replies.iter().filter(|reply| is_conflict(reply)).count()),
            format!("{} commits", simulation.committed().len()),
        ]
    }),
    ("one plan confirmed at every instance", |simulation| {
        let plan = declare(simulation, 0, 10);
        for node in 0..simulation.len() {
            simulation.confirm(node, 100 + node as u64, plan, 8_000);
        }
        simulation.run_for(9_000);
        let mut lines = vec![format!("{} commits", simulation.committed().len())];
        for node in 0..simulation.len() {
            lines.push(format!("{:?}", simulation.answer(100 + node as u64).map(format_answer)));
        }
        lines
    }),
    ("a region is partitioned, then reconnected", |simulation| {
        simulation.faults.partitioned_region = Some(1);
        simulation.run_for(4_000);
        let plan = declare(simulation, 0, 10);
        let first = confirm(simulation, 0, 11, plan, 6_000);
        let during = format_revisions(simulation);
        simulation.faults = Faults::default();
        simulation.run_for(2_000);
        vec![first, during, confirm(simulation, 2, 12, plan, 8_000), format_revisions(simulation)]
    }),
    ("a region is partitioned and the platform is down", |simulation| {
        let plan = declare(simulation, 0, 10);
        simulation.faults.partitioned_region = Some(1);
        simulation.faults.platform_down = true;
        let first = confirm(simulation, 0, 11, plan, 8_000);
        vec![first, format_revisions(simulation)]
    }),
    ("an instance is paused during a change and resumes", |simulation| {
        let plan = declare(simulation, 0, 10);
        simulation.pause(3, 12_000);
        let first = confirm(simulation, 0, 11, plan, 6_000);
        simulation.run_for(8_000);
        vec![first, confirm(simulation, 0, 12, plan, 8_000), format_revisions(simulation)]
    }),
    ("an instance is paused and unlisted during a change, and resumes", |simulation| {
        let plan = declare(simulation, 0, 10);
        simulation.pause_unlisted(3, 12_000);
        let first = confirm(simulation, 0, 11, plan, 10_000);
        let resumes_at_ms = simulation.now_ms() + 12_000;
        simulation.run_until(resumes_at_ms, |simulation| simulation.is_up(3));
        let resumed = format!("awake {}, serving {}", simulation.is_up(3), simulation.serves(3));
        simulation.run_for(2_000);
        vec![first, resumed, format_revisions(simulation)]
    }),
    ("an instance starts that the confirming one can't reach", |simulation| {
        simulation.kill(3);
        let before = declare_and_confirm(simulation, 0, 10);
        let plan = declare(simulation, 0, 20);
        simulation.faults.partitioned_pair = Some((0, 3));
        simulation.start(3);
        let until_ms = simulation.now_ms() + 1_900;
        let serves = simulation.run_until(until_ms, |simulation| simulation.serves(3));
        let first = confirm(simulation, 0, 21, plan, 1_000);
        simulation.faults = Faults::default();
        vec![before, format!("serves {serves}"), first, confirm(simulation, 0, 22, plan, 8_000)]
    }),
    ("an instance is killed, the list drops it later", |simulation| {
        let plan = declare(simulation, 0, 10);
        simulation.kill(3);
        let first = confirm(simulation, 0, 11, plan, 1_500);
        vec![first, confirm(simulation, 0, 12, plan, 8_000)]
    }),
    ("an instance has left", |simulation| {
        simulation.leave(3);
        simulation.run_for(1_500);
        vec![declare_and_confirm(simulation, 0, 10)]
    }),
    ("an instance starts during an outage", |simulation| {
        let before = declare_and_confirm(simulation, 0, 10);
        simulation.faults.platform_down = true;
        simulation.kill(4);
        simulation.run_for(1_000);
        simulation.start(4);
        simulation.run_for(6_000);
        vec![before, format_revisions(simulation)]
    }),
    ("all instances start during an outage", |simulation| {
        let before = declare_and_confirm(simulation, 0, 10);
        simulation.faults.platform_down = true;
        for node in 0..simulation.len() {
            simulation.kill(node);
            simulation.start(node);
        }
        simulation.run_for(15_000);
        let during = format_revisions(simulation);
        simulation.faults = Faults::default();
        simulation.run_for(10_000);
        vec![before, during, format_revisions(simulation)]
    }),
    ("all instances are paused during an outage", |simulation| {
        let before = declare_and_confirm(simulation, 0, 10);
        simulation.faults.platform_down = true;
        for node in 0..simulation.len() {
            simulation.pause(node, 5_000);
        }
        simulation.run_for(15_000);
        vec![before, format_revisions(simulation)]
    }),
    ("a third of the datagrams are lost", |simulation| {
        simulation.faults.loss_percent = 33;
        vec![declare_and_confirm(simulation, 0, 10), declare_and_confirm(simulation, 4, 20)]
    }),
    ("unknown plans", |simulation| {
        let plan = declare(simulation, 0, 10);
        let undeclared = plan::PlanId { base: plan.base, document: numbered_document(99).hash() };
        let ahead = plan::PlanId { base: ids::Revision(7), document: plan.document };
        vec![
            confirm(simulation, 1, 11, undeclared, 3_000),
            confirm(simulation, 1, 12, ahead, 3_000),
        ]
    }),
    ("a plan from an old base", |simulation| {
        let (one, two) = (declare(simulation, 0, 10), declare(simulation, 1, 20));
        let first = confirm(simulation, 2, 11, one, 8_000);
        vec![first, confirm(simulation, 3, 21, two, 8_000), confirm(simulation, 4, 12, one, 8_000)]
    }),
    ("the confirming instance is killed after the commit", |simulation| {
        let plan = declare(simulation, 0, 10);
        simulation.confirm(1, 11, plan, 8_000);
        let until_ms = simulation.now_ms() + 1_000;
        simulation.run_until(until_ms, |simulation| !simulation.committed().is_empty());
        simulation.kill(1);
        simulation.run_for(3_000);
        vec![format_revisions(simulation), confirm(simulation, 2, 12, plan, 8_000)]
    }),
];

fn format_answer(answer: &OperatorAnswer) -> String {
    match answer {
        OperatorAnswer::Declared(result) => format!("declared {}", result.is_ok()),
        OperatorAnswer::Confirmed(_, reply) => serde_json::to_string(reply).expect("JSON"),
    }
}

#[test]
fn operator_answers_and_revisions_under_faults_match_the_snapshot() {
    let mut text = String::new();
    for (name, script) in FAULT_CASES {
        let mut simulation = start_simulation(1);
        let lines = script(&mut simulation);
        assert_eq!(simulation.violations, [""; 0], "{name}");
        assert_eq!(simulation.refused_but_committed(), [""; 0], "{name}");
        let _ = write!(text, "## {name}\n{}\n\n", lines.join("\n"));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn session_log_matches_the_snapshot() {
    let mut simulation = Simulation::new(7, 4, 2);
    simulation.log = Some(Vec::new());
    simulation.run_for(4_000);
    let first = declare_and_confirm(&mut simulation, 0, 10);
    let second = declare_and_confirm(&mut simulation, 1, 20);
    simulation.kill(2);
    simulation.start(2);
    simulation.run_for(3_000);
    let log = simulation.log.take().unwrap_or_default();
    let mut text = String::new();
    for line in log.iter().filter(|line| !line.contains("watch root")) {
        let _ = writeln!(text, "{line}");
    }
    insta::assert_snapshot!(format!("{first}\n{second}\n{text}"));
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    PlatformDown,
    RepliesLost,
    PlatformSlow,
    RegionPartitioned,
    DatagramLoss,
    Restart,
    Leave,
    Pause,
    ShortPause,
    PauseUnlisted,
    PairPartitioned,
}

const FAULTS: [Fault; 11] = [
    Fault::PlatformDown,
    Fault::RepliesLost,
    Fault::PlatformSlow,
    Fault::RegionPartitioned,
    Fault::DatagramLoss,
    Fault::Restart,
    Fault::Leave,
    Fault::Pause,
    Fault::ShortPause,
    Fault::PauseUnlisted,
    Fault::PairPartitioned,
];

/// Injects a fault with random parameters.
fn inject(simulation: &mut Simulation, rng: &mut rngs::StdRng, fault: Fault) {
    let node = rng.random_range(0..simulation.len());
    match fault {
        Fault::PlatformDown => simulation.faults.platform_down = true,
        Fault::RepliesLost => simulation.faults.replies_lost = true,
        Fault::PlatformSlow => simulation.faults.platform_slow_ms = rng.random_range(100..4_000),
        Fault::RegionPartitioned => {
            simulation.faults.partitioned_region = Some(rng.random_range(0..3))
        }
        Fault::DatagramLoss => simulation.faults.loss_percent = rng.random_range(10..80),
        Fault::PairPartitioned => {
            simulation.faults.partitioned_pair =
                Some((node, rng.random_range(node..simulation.len())))
        }
        Fault::Restart => {
            simulation.kill(node);
            simulation.start(node);
        }
        Fault::Leave => simulation.leave(node),
        Fault::Pause => simulation.pause(node, rng.random_range(3_500..12_000)),
        Fault::ShortPause => simulation.pause(node, rng.random_range(500..3_500)),
        Fault::PauseUnlisted => simulation.pause_unlisted(node, rng.random_range(3_500..12_000)),
    }
}

/// An operator who keeps declaring and confirming, each time at a random instance.
struct Operator {
    operation_id: u64,
    plan: Option<plan::PlanId>,
    accepted: u32,
}

impl Operator {
    fn act(&mut self, simulation: &mut Simulation, rng: &mut rngs::StdRng) {
        let node = rng.random_range(0..simulation.len());
        match simulation.answer(self.operation_id).cloned() {
            Some(OperatorAnswer::Declared(Ok(plan))) => {
                self.plan = Some(plan.plan.parse().expect("a plan's id"));
            }
            Some(OperatorAnswer::Confirmed(
                _,
                ConfirmReply::Pending { .. } | ConfirmReply::Unsettled,
            )) => {}
            Some(OperatorAnswer::Confirmed(_, ConfirmReply::Accepted { .. })) => {
                self.accepted += 1;
                self.plan = None;
            }
            Some(OperatorAnswer::Declared(Err(_)) | OperatorAnswer::Confirmed(..)) => {
                self.plan = None
            }
            // No answer yet. The instance may have stopped, so one time in ten the operator stops waiting.
            None if rng.random_range(0..10) > 0 => return,
            None => {}
        }
        self.operation_id += 2;
        match self.plan {
            Some(plan) => simulation.confirm(node, self.operation_id, plan, 2_000),
            None => {
                simulation.declare(node, self.operation_id, numbered_document(self.operation_id))
            }
        }
    }
}

/// Runs two operators while two faults are injected and repaired repeatedly. Returns the number of accepted
/// plans, or describes the first violation. In the end all instances must serve the same revision.
fn run_double_fault(seed: u64, faults: [Fault; 2]) -> Result<u32, String> {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::new(seed, 7, 3);
    let mut operators = [
        Operator { operation_id: 0, plan: None, accepted: 0 },
        Operator { operation_id: 1, plan: None, accepted: 0 },
    ];
    simulation.run_for(6_000);
    for round in 0..160 {
        if round % 40 == 10 {
            inject(&mut simulation, &mut rng, faults[0]);
        }
        if round % 40 == 10 + rng.random_range(0..8) {
            inject(&mut simulation, &mut rng, faults[1]);
        }
        if round % 40 == 30 {
            recover(&mut simulation);
        }
        for operator in &mut operators {
            operator.act(&mut simulation, &mut rng);
        }
        simulation.run_for(250);
    }
    recover(&mut simulation);
    simulation.run_for(30_000);
    let mut failures = simulation.violations.clone();
    failures.extend(simulation.refused_but_committed());
    if failures.is_empty() {
        let last = declare_and_confirm(&mut simulation, 2, 1_000_000);
        if !last.contains("accepted") {
            failures.push(format!(
                "after the end of all faults: {last} {}",
                format_revisions(&simulation)
            ));
        }
        for node in 0..simulation.len() {
            if !simulation.serves(node) || simulation.revision(node) != simulation.revision(0) {
                failures.push(format!(
                    "after the end of all faults: {}",
                    format_revisions(&simulation)
                ));
            }
        }
    }
    match failures.first() {
        None => Ok(operators[0].accepted + operators[1].accepted),
        Some(first) => Err(format!("{} violations, first: {first}", failures.len())),
    }
}

/// Ends all faults and starts the instances that don't run.
fn recover(simulation: &mut Simulation) {
    simulation.faults = Faults::default();
    for node in 0..simulation.len() {
        if !simulation.is_running(node) {
            simulation.start(node);
        }
    }
}

/// Seeds and faults that violated a guarantee in the past.
const REGRESSIONS: &[(u64, [Fault; 2])] = &[
    (9, [Fault::PlatformDown, Fault::PlatformDown]),
    (317, [Fault::PlatformDown, Fault::RegionPartitioned]),
    (610, [Fault::PlatformDown, Fault::Leave]),
    (1317, [Fault::RepliesLost, Fault::RegionPartitioned]),
    (1715, [Fault::RepliesLost, Fault::Pause]),
    (6119, [Fault::Leave, Fault::RepliesLost]),
    (2001, [Fault::PlatformSlow, Fault::PlatformDown]),
    (2200, [Fault::PlatformSlow, Fault::PlatformSlow]),
    (2801, [Fault::PlatformSlow, Fault::ShortPause]),
];

#[test]
fn double_faults() {
    let mut failures = Vec::new();
    let mut accepted = 0;
    let mut check = |seed, faults| match run_double_fault(seed, faults) {
        Ok(count) => accepted += count,
        Err(error) => failures.push(format!("seed {seed} {faults:?}: {error}")),
    };
    for (seed, faults) in REGRESSIONS {
        check(*seed, *faults);
    }
    for (first_index, first) in FAULTS.into_iter().enumerate() {
        for (second_index, second) in FAULTS.into_iter().enumerate() {
            for round in 0..SEEDS_PER_FAULT_PAIR {
                check((first_index * 1_000 + second_index * 100) as u64 + round, [first, second]);
            }
        }
    }
    assert!(failures.is_empty(), "{} failed runs\n{}", failures.len(), failures.join("\n"));
    assert!(accepted > 0, "no plan was accepted, so the runs checked nothing");
}

const SEEDS_PER_FAULT_PAIR: u64 = 4;

#[test]
fn random_schedules() {
    fn property(seed: u64, one: usize, two: usize) -> bool {
        let faults = [FAULTS[one % FAULTS.len()], FAULTS[two % FAULTS.len()]];
        match run_double_fault(seed, faults) {
            Ok(_) => true,
            Err(error) => {
                eprintln!("seed {seed} {faults:?}: {error}");
                false
            }
        }
    }
    quickcheck::QuickCheck::new().tests(30).quickcheck(property as fn(u64, usize, usize) -> bool);
}
