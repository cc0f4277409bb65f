//! Instances that run as processes, with the platform and the backend servers inside the test process, so
//! that the test can inject faults into these and read their counters.

use super::{Instance, declare_and_confirm, start_instance, wait_complete_answer, wait_members};
use standin::platform::{self, list};
use standin::{fleet, layout, searcher};
use std::net;
use tarragondoor::platform_api;

/// A deployment with the settings of the tests in force.
pub struct Fixture {
    /// The platform.
    pub platform: platform::Platform,
    /// The backend servers.
    pub fleet: fleet::Fleet,
    /// The instances.
    pub instances: Vec<Instance>,
}

impl Fixture {
    /// Starts three instances and waits until all of them answer searches from all shards.
    pub async fn start(address_ttl_ms: u32) -> Self {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let platform = platform::Platform::start(any_port, platform::Faults::default())
            .await
            .expect("the platform starts");
        let layout = layout::FleetConfig::parse(include_str!("../data/fleet.jsonc"))
            .expect("the fleet file is well formed");
        let fleet = fleet::start(&layout, Some(platform.address()))
            .await
            .expect("the backend servers start");
        let address = platform.address();
        let first = start_instance(1, address, &[], address_ttl_ms);
        let second = start_instance(2, address, &[&first], address_ttl_ms);
        let third = start_instance(3, address, &[&first], address_ttl_ms);
        let instances = vec![first, second, third];
        for instance in &instances {
            list_live(&platform, instance);
        }
        for instance in &instances {
            wait_members(instance.address, instances.len()).await;
        }
        declare_and_confirm(instances[0].address, "tests/data/settings.jsonc");
        for instance in &instances {
            wait_complete_answer(instance.address, "packets").await;
            wait_complete_answer(instance.address, "beans").await;
        }
        Self { platform, fleet, instances }
    }

    /// Sets the faults of all backend servers.
    pub fn set_faults(&self, faults: searcher::Faults) {
        for member in self.fleet.members() {
            member.searcher.set_faults(faults.clone());
        }
    }
}

/// Adds an instance to the platform's list, as the real platform does for every workload.
fn list_live(platform: &platform::Platform, instance: &Instance) {
    let listed = platform_api::ListedInstance {
        workload: platform_api::Workload::Entry {
            instance: instance.name.parse().expect("the name is valid"),
            peer_address: instance.peer_address,
        },
        region: instance.region.parse().expect("the name is valid"),
        failure_domain: instance.failure_domain.parse().expect("the name is valid"),
        state: platform_api::ListState::Live,
    };
    platform.change_list(list::ListChange { upsert: vec![listed], remove: Vec::new() });
}
