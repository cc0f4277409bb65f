//! Prints the cost of each role by the size of the deployment, as tables for docs/CAPACITY.md:
//! membership, the distribution of settings, the state kept of searchers, and the plan of a query.
//! Runs the state machines only, without sockets.

use standin::settings_change_cost;
use standin::settings_idle_cost;
use std::alloc;
use std::hint;
use std::net;
use std::sync::atomic;
use std::time;
use tarragondoor::choose;
use tarragondoor::frame;
use tarragondoor::holdings;
use tarragondoor::ids;
use tarragondoor::member::scaling;
use tarragondoor::peer_api;
use tarragondoor::peers;
use tarragondoor::platform_api;
use tarragondoor::policy;
use tarragondoor::rank;
use tarragondoor::routes;
use tarragondoor::snapshot;

const SEED: u64 = 1;
const INSTANCES: [usize; 5] = [50, 100, 200, 400, 870];
const CHANGE_INSTANCES: [usize; 4] = [50, 100, 200, 400];
const CHANGES: u32 = 4;
const IDLE_S: u64 = 600;
const SEARCHERS: [usize; 4] = [600, 1_200, 2_400, 4_800];
const SERVICE_SEARCHERS: usize = 71;
const FAN_OUT: [usize; 4] = [9, 18, 36, 71];
const REPLICAS: usize = 3;
const REPETITIONS: u32 = 200;
const SETTINGS: &str = include_str!("../../examples/seedling.jsonc");

/// An allocator that counts the bytes that are allocated at present.
struct CountingAllocator;

static ALLOCATED_BYTES: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

// SAFETY: all calls are passed unchanged to the system's allocator.
unsafe impl alloc::GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: alloc::Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { alloc::System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: alloc::Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { alloc::System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn allocated_bytes() -> usize {
    ALLOCATED_BYTES.load(atomic::Ordering::Relaxed)
}

fn name<T: std::str::FromStr<Err = ids::ParseIdError>>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(error) => panic!("{text}: {error}"),
    }
}

fn membership() {
    println!("\n### Membership, for each node\n");
    println!(
        "| members | load | CPU % of a core | messages/s | B/s | peak B in a second | memory B |"
    );
    println!("|---|---|---|---|---|---|---|");
    for row in scaling::run(&INSTANCES, SEED) {
        println!(
            "| {} | {} | {:.4} | {:.1} | {:.0} | {} | {} |",
            row.members,
            row.load,
            row.cpu_percent,
            row.sent_per_s,
            row.sent_bytes_per_s,
            row.sent_bytes_peak,
            row.memory_bytes
        );
    }
}

fn settings_distribution_cost() {
    println!("\n### Settings distribution\n");
    println!(
        "| instances | idle µs/s | one change: in force ms | accepted ms | datagrams | B | documents' B | platform calls |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let Ok((settings, _)) = tarragondoor::check::parse(SETTINGS) else {
        eprintln!("the example is not usable");
        return;
    };
    for instances in INSTANCES {
        let idle = settings_idle_cost::idle_cost(instances, IDLE_S);
        let idle = idle.map_or(f64::NAN, |idle| idle.busy_us);
        if !CHANGE_INSTANCES.contains(&instances) {
            println!("| {instances} | {idle:.1} | - | - | - | - | - | - |");
            continue;
        }
        let Some(cost) = settings_change_cost::change_cost(SEED, instances, CHANGES, &settings)
        else {
            eprintln!("{instances} instances: a change was not accepted in time");
            continue;
        };
        println!(
            "| {instances} | {idle:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |",
            cost.in_force_ms,
            cost.accepted_ms,
            cost.datagrams,
            cost.datagram_bytes,
            cost.fetch_bytes,
            cost.platform_calls
        );
    }
}

/// A directory of services with 71 searchers each, every shard on three of them, and the reports of
/// all searchers.
struct Fleet {
    directory: peers::Directory,
    reports: Vec<peer_api::SearcherReport>,
}

fn fleet(searchers: usize) -> Fleet {
    let mut instances = Vec::new();
    let mut reports = Vec::new();
    for number in 0..searchers {
        let service: ids::ServiceName = name(&format!("s{:03}", number / SERVICE_SEARCHERS));
        let searcher: ids::SearcherName = name(&format!("{service}-{number:05}"));
        instances.push(platform_api::ListedInstance {
            workload: platform_api::Workload::Searcher {
                searcher: searcher.clone(),
                service: service.clone(),
                address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 1)),
            },
            region: name("r1"),
            failure_domain: name(&format!("d{}", number % 4)),
            state: platform_api::ListState::Live,
        });
        let first = number % SERVICE_SEARCHERS;
        let mut shards = Vec::new();
        for step in 0..REPLICAS {
            shards.push(ids::ShardId(((first + step * 24) % SERVICE_SEARCHERS) as u32));
        }
        shards.sort();
        let snapshot = snapshot::Snapshot {
            index_version: ids::IndexVersion(1),
            map_version: ids::MapVersion(1),
        };
        let shard_count = SERVICE_SEARCHERS as u32;
        reports.push(peer_api::SearcherReport {
            searcher,
            service,
            observation: 1,
            health: peer_api::Health::Ready,
            holdings: vec![snapshot::Holding { snapshot, shard_count, shards }],
        });
    }
    let list = platform_api::InstanceList { version: 1, instances };
    Fleet { directory: peers::Directory::new(&list), reports }
}

fn searcher_state() {
    println!("\n### What an entry knows of all searchers\n");
    println!("| searchers | memory B | B each | a report taken in, µs | a report on a link, B |");
    println!("|---|---|---|---|---|");
    let location = peers::Location { region: name("r1"), failure_domain: name("d1") };
    for searchers in SEARCHERS {
        let fleet = fleet(searchers);
        let before = allocated_bytes();
        let mut merged = holdings::Holdings::default();
        for report in &fleet.reports {
            merged.merge(report.clone());
        }
        let routes = routes::Routes::new(&fleet.directory, &merged, &location);
        let directory = fleet.directory.clone();
        let memory_bytes = allocated_bytes() - before;
        let Some(report) = fleet.reports.first() else { continue };
        let services = [report.service.clone()];
        let started = time::Instant::now();
        for round in 0..REPETITIONS {
            let mut next = merged.clone();
            let observation = u64::from(round) + 2;
            next.merge(peer_api::SearcherReport { observation, ..report.clone() });
            hint::black_box(routes.with_updated(&services, &directory, &next, &location));
        }
        let elapsed_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(REPETITIONS);
        let mut buffer = Vec::new();
        let frame = peer_api::Frame::Reports(vec![report.clone()]);
        let encoded = frame::Codec::new([0; 32], frame::Side::Dialer).encode(&frame, &mut buffer);
        assert!(encoded.is_ok(), "a report fits a frame");
        println!(
            "| {searchers} | {memory_bytes} | {} | {elapsed_us:.1} | {} |",
            memory_bytes / searchers,
            buffer.len()
        );
    }
}

fn query_plans() {
    println!("\n### The plan of a query, by how many searchers it goes to\n");
    println!("| searchers called | plan µs | request frame B | B for each call |");
    println!("|---|---|---|---|");
    for fan_out in FAN_OUT {
        let searchers = fan_out * REPLICAS;
        let mut holders = Vec::new();
        for shard in 0..fan_out {
            holders.push((0..REPLICAS).map(|step| (shard + step * fan_out) as u16).collect());
        }
        let layout = choose::Layout::new(searchers, holders);
        let distances = vec![choose::Distance::SameDomain; searchers];
        let mut chooser = choose::Chooser::new(policy::Policy::Full, distances, 1_000_000);
        let started = time::Instant::now();
        for round in 0..REPETITIONS {
            hint::black_box(chooser.choose(u64::from(round), &layout, u64::from(round)));
        }
        let elapsed_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(REPETITIONS);
        let request_bytes = request_bytes(fan_out);
        println!(
            "| {fan_out} | {elapsed_us:.1} | {request_bytes} | {:.0} |",
            request_bytes as f64 / fan_out as f64
        );
    }
}

fn request_bytes(calls: usize) -> usize {
    let mut list = Vec::new();
    for number in 0..calls {
        list.push(peer_api::ShardCall {
            attempt: ids::AttemptId(u64::MAX - number as u64),
            searcher: name(&format!("s001-{number:05}")),
            shards: vec![ids::ShardId(number as u32)],
        });
    }
    let search = peer_api::Search {
        query_id: ids::QueryId(u64::MAX),
        traceparent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".into(),
        service: name("s001"),
        snapshot: snapshot::Snapshot::default(),
        query: "late runner bean".into(),
        limit: 10,
        rank: rank::Rank::Urgent,
        timeout_ms: 300,
        weight: 1.0,
        calls: list,
    };
    let mut buffer = Vec::new();
    let frame = peer_api::Frame::Search(search);
    let encoded = frame::Codec::new([0; 32], frame::Side::Dialer).encode(&frame, &mut buffer);
    assert!(encoded.is_ok(), "a search fits a frame");
    buffer.len()
}

fn main() {
    membership();
    settings_distribution_cost();
    searcher_state();
    query_plans();
}
