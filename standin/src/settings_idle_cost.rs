//! The cost of the distribution of settings for one instance while nothing changes, by the number
//! of instances.

use serde::Serialize;
use std::time;
use tarragondoor::ids;
use tarragondoor::settings_distribution;
use tarragondoor::settings_distribution::api;

/// Ticks of the state machine per second.
const TICKS_PER_S: u64 = 10;

/// Membership datagrams received per second, each with a settings status.
const STATUSES_PER_S: u64 = 4;

/// The time between two updates from the platform's list of instances.
const LIST_PERIOD_S: u64 = 1;

/// The cost of an idle second.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct IdleCost {
    /// The number of instances.
    pub instances: usize,
    /// Time spent in the state machine, on the machine that runs the measurement.
    pub busy_us: f64,
    /// Datagrams sent.
    pub datagrams: f64,
    /// Calls to the platform.
    pub platform_calls: f64,
}

/// Runs the state machine of one of `instances` for `seconds` of simulated time, once it is ready;
/// `None` if it does not become ready in 20 s. Panics if `instances` is less than 2.
pub fn idle_cost(instances: usize, seconds: u64) -> Option<IdleCost> {
    let config = settings_distribution::Config {
        instance: name(0),
        region: region(0),
        others_min: 0,
        rng_seed: 1,
    };
    let mut driver = Driver {
        machine: settings_distribution::Distributor::new(0, config),
        names: (0..instances).map(name).collect(),
        now_ms: 0,
        datagrams: 0,
        platform_calls: 0,
    };
    for index in 1..instances {
        driver.step(api::Input::Member(api::Member {
            instance: name(index),
            boot: ids::BootId(1),
            region: region(index % 2),
            state: api::MemberState::Alive,
        }));
    }
    for second in 0..20 {
        driver.run_second(second);
    }
    if driver.machine.standing() != api::Standing::Fresh {
        return None;
    }
    (driver.datagrams, driver.platform_calls) = (0, 0);
    let started = time::Instant::now();
    for second in 0..seconds {
        driver.run_second(second);
    }
    let busy_us = started.elapsed().as_secs_f64() * 1e6;
    let per_second = |sum: f64| sum / seconds as f64;
    Some(IdleCost {
        instances,
        busy_us: per_second(busy_us),
        datagrams: per_second(driver.datagrams as f64),
        platform_calls: per_second(driver.platform_calls as f64),
    })
}

struct Driver {
    machine: settings_distribution::Distributor,
    names: Vec<ids::InstanceName>,
    now_ms: u64,
    datagrams: u64,
    platform_calls: u64,
}

impl Driver {
    fn run_second(&mut self, second: u64) {
        if second.is_multiple_of(LIST_PERIOD_S) {
            self.step(api::Input::Listed(self.names.clone()));
        }
        for status in 0..STATUSES_PER_S {
            let index = 1 + (second * STATUSES_PER_S + status) as usize % (self.names.len() - 1);
            let from = self.names[index].clone();
            self.step(api::Input::SettingsStatus { from, boot: ids::BootId(1), version: None });
        }
        for _ in 0..TICKS_PER_S {
            self.now_ms += 1_000 / TICKS_PER_S;
            self.step(api::Input::Tick);
        }
    }

    fn step(&mut self, input: api::Input) {
        for output in self.machine.step(self.now_ms, input) {
            match output {
                api::Output::Send { to, message } => self.handle_send(to, &message),
                api::Output::Platform { request, call } => {
                    self.handle_platform_call(request, &call)
                }
                _ => {}
            }
        }
    }

    fn handle_send(&mut self, to: ids::InstanceName, message: &api::Message) {
        self.datagrams += 1;
        let api::Message::Query { nonce, .. } = message else { return };
        let message = api::Message::Reply {
            nonce: *nonce,
            version: None,
            standing: api::Standing::Fresh,
            starters: Vec::new(),
            more_starters: false,
        };
        self.step(api::Input::Datagram { from: to, boot: ids::BootId(1), message });
    }

    fn handle_platform_call(&mut self, request: u64, call: &api::PlatformCall) {
        self.platform_calls += 1;
        if let api::PlatformCall::Get(_) = call {
            let reply = api::PlatformReply::Absent;
            self.step(api::Input::Platform { request, reply });
        }
    }
}

fn name(index: usize) -> ids::InstanceName {
    format!("i{index}").parse().expect("a valid name")
}

fn region(index: usize) -> ids::RegionName {
    format!("r{index}").parse().expect("a valid name")
}
