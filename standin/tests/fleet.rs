//! The corpus, the layout of a fleet, and the stand-ins run as processes.

mod support;

use standin::{client, corpus, fleet, layout, platform};
use std::fs;
use std::io::{self, BufRead as _};
use std::path;
use std::process;
use tarragondoor::{ids, platform_api, settings, snapshot};

fn example_path(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name)
}

fn read_fleet(name: &str) -> layout::FleetConfig {
    layout::FleetConfig::parse(&fs::read_to_string(example_path(name)).unwrap()).unwrap()
}

fn spec(searchers: u16, replicas: u16) -> layout::ServiceSpec {
    let mut spec = read_fleet("fleet-seedling.jsonc").services[0].clone();
    spec.searchers = searchers;
    spec.replicas = replicas;
    spec
}

quickcheck::quickcheck! {
    fn hits_do_not_depend_on_the_number_of_shards(version: u64, shard_count: u8, query: String) -> bool {
        let service: ids::ServiceName = "beans".parse().unwrap();
        let version = ids::IndexVersion(version);
        let shard_count = u32::from(shard_count) + 1;
        let mut merged = Vec::new();
        for shard in 0..shard_count {
            let shard = ids::ShardId(shard);
            merged.extend(corpus::hits(&service, version, shard, shard_count, &query, 10));
        }
        corpus::sort(&mut merged);
        merged.truncate(10);
        let next = ids::IndexVersion(version.0.wrapping_add(1));
        merged == corpus::all_hits(&service, version, &query, 10)
            && merged.len() == 10
            && merged != corpus::all_hits(&service, next, &query, 10)
    }

    fn each_shard_has_its_replicas_in_different_domains(
        searchers: u8, replicas: u8, domains: u8, map: u8, shards: u8
    ) -> bool {
        let searchers = u16::from(searchers % 24) + 1;
        let replicas = u16::from(replicas) % searchers + 1;
        let domains = usize::from(domains % 4) + 1;
        let map_version = ids::MapVersion(u64::from(map));
        let snapshot = snapshot::Snapshot { index_version: ids::IndexVersion(1), map_version };
        let held = spec(searchers, replicas).holdings(domains, snapshot, u32::from(shards));
        for shard in 0..u32::from(shards) {
            let holds = |holding: &snapshot::Holding| holding.shards.binary_search(&ids::ShardId(shard)).is_ok();
            let holders: Vec<usize> = (0..held.len()).filter(|i| holds(&held[*i])).collect();
            let mut used_domains: Vec<usize> =
                holders.iter().map(|holder| holder % domains).collect();
            used_domains.sort();
            used_domains.dedup();
            let expected_domains = domains.min(usize::from(replicas)).min(usize::from(searchers));
            if holders.len() != usize::from(replicas) || used_domains.len() != expected_domains {
                return false;
            }
        }
        held.len() == usize::from(searchers)
    }
}

#[test]
fn invalid_fleet_files_are_rejected() {
    let text = fs::read_to_string(example_path("fleet-seedling.jsonc")).unwrap();
    let cases = [
        ("\"searchers\": 13", "\"searchers\": 2"),
        ("\"shards\": 52", "\"shards\": 0"),
        ("\"slots\": 6,", "\"slots\": 6, \"lots\": 6,"),
        ("\"service\": \"packets\"", "\"service\": \"a packet\""),
    ];
    for (from, to) in cases {
        assert!(text.contains(from), "{from}");
        assert!(layout::FleetConfig::parse(&text.replace(from, to)).is_err(), "{to}");
    }
    let without_regions =
        layout::FleetConfig { regions: Vec::new(), ..read_fleet("fleet-seedling.jsonc") };
    let parsed = layout::FleetConfig::parse(&serde_json::to_string(&without_regions).unwrap());
    assert_eq!(parsed, Err(layout::FleetConfigError::NoDomain));
}

#[tokio::test]
async fn example_fleets_are_listed_and_match_the_settings() {
    let mut seen = String::new();
    for name in ["seedling.jsonc", "dela-paz.jsonc"] {
        let platform =
            platform::Platform::start(support::LOOPBACK, Default::default()).await.unwrap();
        let config = read_fleet(&format!("fleet-{name}"));
        let fleet = fleet::start(&config, Some(platform.address())).await.unwrap();
        let reply = client::Client::default().get(platform.address(), "/v1/instances").await;
        let listed = reply.unwrap().json::<platform_api::InstanceList>().unwrap().instances;
        seen += &format!("{name}: {} services, {} listed\n", fleet.services.len(), listed.len());
        let text = fs::read_to_string(example_path(name)).unwrap();
        let settings =
            jsonc_parser::parse_to_serde_value::<settings::Settings>(&text, &Default::default())
                .unwrap();
        assert_eq!(settings.services.len(), fleet.services.len());
        for policy in &settings.services {
            let service = &policy.service;
            let spec = &fleet.service(service).unwrap().spec;
            assert_eq!(policy.searchers, spec.searchers, "{service}");
            assert_eq!(policy.slots_per_searcher, spec.slots, "{service}");
            assert_eq!(policy.connections_per_searcher, spec.connections, "{service}");
            seen += &format!(
                "  {service}: {} searchers, {} slots, {} connections, {} ms to open\n",
                spec.searchers, spec.slots, spec.connections, spec.open_ms
            );
        }
    }
    insta::assert_snapshot!(seen);
}

#[tokio::test]
async fn a_new_snapshot_reaches_each_backend_server() {
    let mut config = read_fleet("fleet-dela-paz.jsonc");
    config.services.retain(|spec| spec.service.as_str() == "routes");
    let fleet = fleet::start(&config, None).await.unwrap();
    let routes = &config.services[0].service;
    let (index_version, map_version) = (ids::IndexVersion(2), ids::MapVersion(2));
    let next = snapshot::Snapshot { index_version, map_version };
    assert!(fleet.publish(routes, next, 7));
    assert!(fleet.retire(routes, fleet::FIRST_SNAPSHOT));
    assert!(!fleet.publish(&"ledgers".parse().unwrap(), next, 7));
    let mut replicas = 0;
    for member in fleet.members() {
        let holdings = member.searcher.holdings();
        assert_eq!(holdings.len(), 1);
        assert_eq!((holdings[0].snapshot, holdings[0].shard_count), (next, 7));
        replicas += holdings[0].shards.len();
    }
    assert_eq!(replicas, 7 * usize::from(config.services[0].replicas));
}

/// A child process that is killed on drop.
struct RunningProcess(process::Child);

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the stand-in's binary and reads its output up to the first line that starts with `last`.
fn start_standin(arguments: &[&str], last: &str) -> (RunningProcess, Vec<String>) {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_standin"));
    let command = command.args(arguments).stdout(process::Stdio::piped());
    let mut running = RunningProcess(command.stderr(process::Stdio::null()).spawn().unwrap());
    let mut lines = Vec::new();
    for line in io::BufReader::new(running.0.stdout.take().unwrap()).lines() {
        lines.push(line.unwrap());
        if lines.last().unwrap().starts_with(last) {
            return (running, lines);
        }
    }
    panic!("{arguments:?}: the process exited after printing {lines:?}");
}

#[tokio::test]
async fn both_stand_ins_run_as_processes() {
    let faults = r#"{"lose_replies":1}"#;
    let arguments = ["platform", "--listen", "127.0.0.1:0", "--faults", faults];
    let (_platform, lines) = start_standin(&arguments, "platform ");
    let platform = lines[0].strip_prefix("platform ").unwrap();
    let fleet = example_path("fleet-seedling.jsonc");
    let arguments = ["searchers", "--platform", platform, "--fleet", fleet.to_str().unwrap()];
    let (_searchers, lines) = start_standin(&arguments, "ready");
    let client = client::Client::default();
    let address = platform.parse().unwrap();
    let reply = client.get(address, "/v1/instances").await.unwrap();
    let listed = reply.json::<platform_api::InstanceList>().unwrap().instances;
    assert_eq!(listed.len(), lines.len() - 1);
    let faults = client.get(address, "/standin/faults").await.unwrap();
    assert_eq!(faults.json::<platform::Faults>().unwrap().lose_replies, 1);
    let searcher = lines[0].rsplit(' ').next().unwrap().parse().unwrap();
    assert_eq!(client.get(searcher, "/status").await.unwrap().status, 200);
}

#[test]
fn invalid_command_lines_are_rejected() {
    let platform = ["platform", "--listen", "127.0.0.1:0", "--faults", r#"{"outages":1}"#];
    let cases: [&[&str]; 5] =
        [&[], &["platform"], &["searchers"], &["balancer", "--listen", "127.0.0.1:0"], &platform];
    for arguments in cases {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_standin"));
        let output = command.args(arguments).output().unwrap();
        assert!(!output.status.success(), "{arguments:?}");
        assert!(String::from_utf8_lossy(&output.stderr).contains("usage: "), "{arguments:?}");
    }
}
