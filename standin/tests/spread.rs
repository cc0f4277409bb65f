//! The promise of the settings' spread under failure, on many machines without sockets.

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

/// A document that differs from all others by its number.
fn numbered(number: u64) -> document::Document {
    let (settings, _) = check::parse(SEEDLING).expect("the example is usable");
    let mut settings: settings::Settings = settings;
    settings.ranks[2].target_ms = 2_000 + number as u32;
    document::Document::new(settings).expect("small")
}

fn started(seed: u64) -> Simulation {
    let mut world = Simulation::new(seed, 7, 3);
    world.run_for(6_000);
    for node in 0..world.len() {
        assert!(world.serves(node), "seed {seed}: i{node} does not serve");
    }
    world
}

fn declared(world: &mut Simulation, node: usize, ticket: u64) -> plan::PlanId {
    world.declare(node, ticket, numbered(ticket));
    let until_ms = world.now_ms() + 6_000;
    world.run_until(until_ms, |world| world.answer(ticket).is_some());
    match world.answer(ticket) {
        Some(OperatorAnswer::Declared(Ok(plan))) => plan.plan.parse().expect("a plan's id"),
        other => panic!("declaration {ticket}: {other:?}"),
    }
}

fn confirmed(
    world: &mut Simulation,
    node: usize,
    ticket: u64,
    plan: plan::PlanId,
    wait_ms: u64,
) -> String {
    world.confirm(node, ticket, plan, wait_ms);
    let until_ms = world.now_ms() + wait_ms + 1_000;
    world.run_until(until_ms, |world| world.answer(ticket).is_some());
    match world.answer(ticket) {
        Some(OperatorAnswer::Confirmed(_, reply)) => serde_json::to_string(reply).expect("JSON"),
        other => format!("{other:?}"),
    }
}

fn changed(world: &mut Simulation, node: usize, ticket: u64) -> String {
    let plan = declared(world, node, ticket);
    confirmed(world, node, ticket + 1, plan, 8_000)
}

fn state(world: &Simulation) -> String {
    let mut text = String::new();
    for node in 0..world.len() {
        let mark = if world.serves(node) { "" } else { " not serving" };
        let _ = write!(text, "[i{node} {}{mark}] ", world.revision(node));
    }
    text.trim_end().to_string()
}

type Row = (&'static str, fn(&mut Simulation) -> Vec<String>);

const ROWS: &[Row] = &[
    ("no fault", |world| vec![changed(world, 0, 10), changed(world, 5, 20)]),
    ("platform down before the declaration", |world| {
        world.faults.platform_down = true;
        world.declare(0, 10, numbered(10));
        world.run_for(6_000);
        vec![format!("{:?}", world.answer(10))]
    }),
    ("platform down before the confirmation, then back", |world| {
        let plan = declared(world, 0, 10);
        world.faults.platform_down = true;
        let first = confirmed(world, 1, 11, plan, 3_000);
        let serving = state(world);
        world.faults = Faults::default();
        vec![first, serving, confirmed(world, 2, 12, plan, 8_000)]
    }),
    ("answer lost after the swap took effect, asked again elsewhere", |world| {
        let plan = declared(world, 0, 10);
        world.faults.replies_lost = true;
        let first = confirmed(world, 1, 11, plan, 3_000);
        world.faults = Faults::default();
        vec![
            first,
            confirmed(world, 2, 12, plan, 8_000),
            format!("{} commits", world.committed().len()),
        ]
    }),
    ("platform down right after the commit", |world| {
        let plan = declared(world, 0, 10);
        world.confirm(1, 11, plan, 8_000);
        let until_ms = world.now_ms() + 1_000;
        world.run_until(until_ms, |world| !world.committed().is_empty());
        world.run_for(10);
        world.faults.platform_down = true;
        world.run_for(9_000);
        vec![format!("{:?}", world.answer(11)), state(world)]
    }),
    ("platform slow", |world| {
        world.faults.platform_slow_ms = 1_500;
        vec![changed(world, 0, 10)]
    }),
    ("two operators race from one base", |world| {
        let (one, two) = (declared(world, 0, 10), declared(world, 1, 20));
        world.confirm(2, 11, one, 8_000);
        world.confirm(3, 21, two, 8_000);
        world.run_for(9_000);
        let accepted = |reply: &Option<&OperatorAnswer>| {
            matches!(reply, Some(OperatorAnswer::Confirmed(_, ConfirmReply::Accepted { .. })))
        };
        let conflict = |reply: &Option<&OperatorAnswer>| {
            matches!(reply, Some(OperatorAnswer::Confirmed(_, ConfirmReply::Conflict { .. })))
        };
        let replies = [world.answer(11), world.answer(21)];
        vec![
            format!("{} accepted", replies.iter().filter(|reply| accepted(reply)).count()),
            format!("{} conflict", replies.iter().filter(|reply| conflict(reply)).count()),
            format!("{} commits", world.committed().len()),
        ]
    }),
    ("one plan confirmed at every instance", |world| {
        let plan = declared(world, 0, 10);
        for node in 0..world.len() {
            world.confirm(node, 100 + node as u64, plan, 8_000);
        }
        world.run_for(9_000);
        let mut lines = vec![format!("{} commits", world.committed().len())];
        for node in 0..world.len() {
            lines.push(format!("{:?}", world.answer(100 + node as u64).map(short)));
        }
        lines
    }),
    ("a region is parted, then healed", |world| {
        world.faults.partitioned_region = Some(1);
        world.run_for(4_000);
        let plan = declared(world, 0, 10);
        let first = confirmed(world, 0, 11, plan, 6_000);
        let during = state(world);
        world.faults = Faults::default();
        world.run_for(2_000);
        vec![first, during, confirmed(world, 2, 12, plan, 8_000), state(world)]
    }),
    ("a region is parted from the others and the platform is down", |world| {
        let plan = declared(world, 0, 10);
        world.faults.partitioned_region = Some(1);
        world.faults.platform_down = true;
        let first = confirmed(world, 0, 11, plan, 8_000);
        vec![first, state(world)]
    }),
    ("an instance is paused through a change and wakes", |world| {
        let plan = declared(world, 0, 10);
        world.pause(3, 12_000);
        let first = confirmed(world, 0, 11, plan, 6_000);
        world.run_for(8_000);
        vec![first, confirmed(world, 0, 12, plan, 8_000), state(world)]
    }),
    ("an instance is paused and dropped from the list through a change, and wakes", |world| {
        let plan = declared(world, 0, 10);
        world.pause_unlisted(3, 12_000);
        let first = confirmed(world, 0, 11, plan, 10_000);
        let wakes_at_ms = world.now_ms() + 12_000;
        world.run_until(wakes_at_ms, |world| world.is_up(3));
        let waking = format!("awake {}, serving {}", world.is_up(3), world.serves(3));
        world.run_for(2_000);
        vec![first, waking, state(world)]
    }),
    ("an instance starts that the confirming one can't reach", |world| {
        world.kill(3);
        let before = changed(world, 0, 10);
        let plan = declared(world, 0, 20);
        world.faults.partitioned_pair = Some((0, 3));
        world.start(3);
        let until_ms = world.now_ms() + 1_900;
        let serves = world.run_until(until_ms, |world| world.serves(3));
        let first = confirmed(world, 0, 21, plan, 1_000);
        world.faults = Faults::default();
        vec![before, format!("serves {serves}"), first, confirmed(world, 0, 22, plan, 8_000)]
    }),
    ("an instance is killed, the list drops it later", |world| {
        let plan = declared(world, 0, 10);
        world.kill(3);
        let first = confirmed(world, 0, 11, plan, 1_500);
        vec![first, confirmed(world, 0, 12, plan, 8_000)]
    }),
    ("an instance has left", |world| {
        world.leave(3);
        world.run_for(1_500);
        vec![changed(world, 0, 10)]
    }),
    ("an instance starts during an outage", |world| {
        let before = changed(world, 0, 10);
        world.faults.platform_down = true;
        world.kill(4);
        world.run_for(1_000);
        world.start(4);
        world.run_for(6_000);
        vec![before, state(world)]
    }),
    ("all instances start during an outage", |world| {
        let before = changed(world, 0, 10);
        world.faults.platform_down = true;
        for node in 0..world.len() {
            world.kill(node);
            world.start(node);
        }
        world.run_for(15_000);
        let during = state(world);
        world.faults = Faults::default();
        world.run_for(10_000);
        vec![before, during, state(world)]
    }),
    ("all instances are paused during an outage", |world| {
        let before = changed(world, 0, 10);
        world.faults.platform_down = true;
        for node in 0..world.len() {
            world.pause(node, 5_000);
        }
        world.run_for(15_000);
        vec![before, state(world)]
    }),
    ("a third of the datagrams are lost", |world| {
        world.faults.loss_percent = 33;
        vec![changed(world, 0, 10), changed(world, 4, 20)]
    }),
    ("unknown plans", |world| {
        let plan = declared(world, 0, 10);
        let never = plan::PlanId { base: plan.base, document: numbered(99).hash() };
        let ahead = plan::PlanId { base: ids::Revision(7), document: plan.document };
        vec![confirmed(world, 1, 11, never, 3_000), confirmed(world, 1, 12, ahead, 3_000)]
    }),
    ("a plan from an old base", |world| {
        let (one, two) = (declared(world, 0, 10), declared(world, 1, 20));
        let first = confirmed(world, 2, 11, one, 8_000);
        vec![first, confirmed(world, 3, 21, two, 8_000), confirmed(world, 4, 12, one, 8_000)]
    }),
    ("the confirming instance dies after the commit", |world| {
        let plan = declared(world, 0, 10);
        world.confirm(1, 11, plan, 8_000);
        let until_ms = world.now_ms() + 1_000;
        world.run_until(until_ms, |world| !world.committed().is_empty());
        world.kill(1);
        world.run_for(3_000);
        vec![state(world), confirmed(world, 2, 12, plan, 8_000)]
    }),
];

fn short(told: &OperatorAnswer) -> String {
    match told {
        OperatorAnswer::Declared(result) => format!("declared {}", result.is_ok()),
        OperatorAnswer::Confirmed(_, reply) => serde_json::to_string(reply).expect("JSON"),
    }
}

#[test]
fn fault_table() {
    let mut text = String::new();
    for (name, script) in ROWS {
        let mut world = started(1);
        let lines = script(&mut world);
        assert_eq!(world.violations, [""; 0], "{name}");
        assert_eq!(world.refused_but_committed(), [""; 0], "{name}");
        let _ = write!(text, "## {name}\n{}\n\n", lines.join("\n"));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn golden_session() {
    let mut world = Simulation::new(7, 4, 2);
    world.log = Some(Vec::new());
    world.run_for(4_000);
    let first = changed(&mut world, 0, 10);
    let second = changed(&mut world, 1, 20);
    world.kill(2);
    world.start(2);
    world.run_for(3_000);
    let log = world.log.take().unwrap_or_default();
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
    Parted,
    Loss,
    Restart,
    Replace,
    Pause,
    ShortPause,
    PauseUnlisted,
    Cut,
}

const FAULTS: [Fault; 11] = [
    Fault::PlatformDown,
    Fault::RepliesLost,
    Fault::PlatformSlow,
    Fault::Parted,
    Fault::Loss,
    Fault::Restart,
    Fault::Replace,
    Fault::Pause,
    Fault::ShortPause,
    Fault::PauseUnlisted,
    Fault::Cut,
];

fn strike(world: &mut Simulation, rng: &mut rngs::StdRng, fault: Fault) {
    let node = rng.random_range(0..world.len());
    match fault {
        Fault::PlatformDown => world.faults.platform_down = true,
        Fault::RepliesLost => world.faults.replies_lost = true,
        Fault::PlatformSlow => world.faults.platform_slow_ms = rng.random_range(100..4_000),
        Fault::Parted => world.faults.partitioned_region = Some(rng.random_range(0..3)),
        Fault::Loss => world.faults.loss_percent = rng.random_range(10..80),
        Fault::Cut => {
            world.faults.partitioned_pair = Some((node, rng.random_range(node..world.len())))
        }
        Fault::Restart => {
            world.kill(node);
            world.start(node);
        }
        Fault::Replace => world.leave(node),
        Fault::Pause => world.pause(node, rng.random_range(3_500..12_000)),
        Fault::ShortPause => world.pause(node, rng.random_range(500..3_500)),
        Fault::PauseUnlisted => world.pause_unlisted(node, rng.random_range(3_500..12_000)),
    }
}

/// An operator who declares and confirms all the time, at any instance.
struct Operator {
    ticket: u64,
    plan: Option<plan::PlanId>,
    accepted: u32,
}

impl Operator {
    fn act(&mut self, world: &mut Simulation, rng: &mut rngs::StdRng) {
        let node = rng.random_range(0..world.len());
        match world.answer(self.ticket).cloned() {
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
            // No answer yet; the instance may be gone.
            None if rng.random_range(0..10) > 0 => return,
            None => {}
        }
        self.ticket += 2;
        match self.plan {
            Some(plan) => world.confirm(node, self.ticket, plan, 2_000),
            None => world.declare(node, self.ticket, numbered(self.ticket)),
        }
    }
}

/// Runs two operators under two faults at once; what was broken comes back.
fn double_fault(seed: u64, faults: [Fault; 2]) -> Result<u32, String> {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mut world = Simulation::new(seed, 7, 3);
    let mut operators = [
        Operator { ticket: 0, plan: None, accepted: 0 },
        Operator { ticket: 1, plan: None, accepted: 0 },
    ];
    world.run_for(6_000);
    for round in 0..160 {
        if round % 40 == 10 {
            strike(&mut world, &mut rng, faults[0]);
        }
        if round % 40 == 10 + rng.random_range(0..8) {
            strike(&mut world, &mut rng, faults[1]);
        }
        if round % 40 == 30 {
            heal(&mut world);
        }
        for operator in &mut operators {
            operator.act(&mut world, &mut rng);
        }
        world.run_for(250);
    }
    heal(&mut world);
    world.run_for(30_000);
    let mut wrong = world.violations.clone();
    wrong.extend(world.refused_but_committed());
    if wrong.is_empty() {
        let last = changed(&mut world, 2, 1_000_000);
        if !last.contains("accepted") {
            wrong.push(format!("after all faults were over: {last} {}", state(&world)));
        }
        for node in 0..world.len() {
            if !world.serves(node) || world.revision(node) != world.revision(0) {
                wrong.push(format!("after all faults were over: {}", state(&world)));
            }
        }
    }
    match wrong.first() {
        None => Ok(operators[0].accepted + operators[1].accepted),
        Some(first) => Err(format!("{} broken, first: {first}", wrong.len())),
    }
}

fn heal(world: &mut Simulation) {
    world.faults = Faults::default();
    for node in 0..world.len() {
        if !world.is_running(node) {
            world.start(node);
        }
    }
}

/// Seeds that once broke something are kept here, with their faults.
const KEPT: &[(u64, [Fault; 2])] = &[
    (9, [Fault::PlatformDown, Fault::PlatformDown]),
    (317, [Fault::PlatformDown, Fault::Parted]),
    (610, [Fault::PlatformDown, Fault::Replace]),
    (1317, [Fault::RepliesLost, Fault::Parted]),
    (1715, [Fault::RepliesLost, Fault::Pause]),
    (6119, [Fault::Replace, Fault::RepliesLost]),
    (2001, [Fault::PlatformSlow, Fault::PlatformDown]),
    (2200, [Fault::PlatformSlow, Fault::PlatformSlow]),
    (2801, [Fault::PlatformSlow, Fault::ShortPause]),
];

#[test]
fn double_faults() {
    let mut broken = Vec::new();
    let mut accepted = 0;
    let mut check = |seed, faults| match double_fault(seed, faults) {
        Ok(count) => accepted += count,
        Err(error) => broken.push(format!("seed {seed} {faults:?}: {error}")),
    };
    for (seed, faults) in KEPT {
        check(*seed, *faults);
    }
    for (first, one) in FAULTS.into_iter().enumerate() {
        for (second, two) in FAULTS.into_iter().enumerate() {
            for round in 0..SEEDS_FOR_EACH_PAIR {
                check((first * 1_000 + second * 100) as u64 + round, [one, two]);
            }
        }
    }
    assert!(broken.is_empty(), "{} broken\n{}", broken.len(), broken.join("\n"));
    assert!(accepted > 0, "nothing was accepted, so nothing was proved");
}

const SEEDS_FOR_EACH_PAIR: u64 = 4;

#[test]
fn random_schedules() {
    fn property(seed: u64, one: usize, two: usize) -> bool {
        let faults = [FAULTS[one % FAULTS.len()], FAULTS[two % FAULTS.len()]];
        match double_fault(seed, faults) {
            Ok(_) => true,
            Err(error) => {
                eprintln!("seed {seed} {faults:?}: {error}");
                false
            }
        }
    }
    quickcheck::QuickCheck::new().tests(30).quickcheck(property as fn(u64, usize, usize) -> bool);
}
