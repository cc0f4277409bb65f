//! How long updates take from a hub to all instances of its region at hundreds of instances, over real connections.

mod forward_support;

use forward_support::configuration;
use forward_support::member;
use forward_support::record;
use forward_support::route;
use forward_support::searcher;
use forward_support::subscriber::subscribe;
use std::net;
use std::sync;
use std::time;
use tarragondoor::discovery::config;
use tarragondoor::discovery::feed;
use tarragondoor::discovery::members;
use tarragondoor::discovery::pacer;
use tarragondoor::discovery::publisher;
use tarragondoor::discovery::registry;
use tarragondoor::discovery::view;
use tarragondoor::forward::metrics;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task;

/// The slowest links of a deployment of 295 instances in three regions.
const LINK_MBPS: f64 = 20.0;
/// The instances of the hub's region besides itself.
const SUBSCRIBER_COUNT: u16 = 98;
/// The instances of the other regions.
const OTHER_COUNT: u16 = 196;
/// Routes that a configuration adds.
const ROUTE_COUNT: u64 = 1_400;
/// Searchers that register during a repartition.
const SEARCHER_COUNT: u16 = 405;
/// `configApplyMs` and `drainMs` of that deployment.
const BOUND: time::Duration = time::Duration::from_secs(6);

/// What a subscriber received, and when.
#[derive(Debug)]
enum Received {
    Config(config::ConfigVersion),
    Gone(String),
}

/// Connects as `member`, and reports configurations and searchers that are gone.
async fn follow(
    source: net::SocketAddr,
    member: members::Member,
    received: mpsc::UnboundedSender<(Received, time::Instant)>,
) {
    let mut updates = subscribe(source, member).await;
    while let Some(update) = updates.recv().await {
        let now = time::Instant::now();
        let report = |event| received.send((event, now)).is_ok();
        match update {
            feed::Update::ConfigDelta(delta) => _ = report(Received::Config(delta.version)),
            feed::Update::Config(config) => _ = report(Received::Config(config.version)),
            feed::Update::Searchers(changes)
            | feed::Update::AllSearchers { searchers: changes, .. } => {
                for change in changes.iter().filter(|change| change.searcher.is_none()) {
                    report(Received::Gone(change.id.to_string()));
                }
            }
            _ => {}
        }
    }
}

/// Guards against configurations and removals of searchers that come after their bounds at hundreds of instances: they
/// waited behind lists of all members, sent whole on each change, and behind searchers that had registered.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn updates_reach_a_large_region_in_time_over_a_slow_link_while_instances_come_and_go() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let view = sync::Arc::new(view::View::new(member("hub", "north", 1)));
    view.offer_config(configuration(1, Vec::new()), view::Origin::Store, 0);
    view.mark_config_verified(0);
    view.apply_searchers(vec![record("i-leaving", searcher("s", "north-a", 1))], 0);
    view.mark_searchers_verified(0);
    for number in 0..OTHER_COUNT {
        let other = member(&format!("front-south-a-{number}"), "south", 1_000 + number);
        view.change_members(|members| members.upsert_subscriber(other));
    }
    let link = Some(pacer::ByteRate::from_mbps(LINK_MBPS));
    let metrics = sync::Arc::new(metrics::Metrics::new());
    tokio::spawn(publisher::run(listener, view.clone(), metrics, link));
    let (sender, mut received) = mpsc::unbounded_channel();
    let mut followers = task::JoinSet::new();
    for number in 0..SUBSCRIBER_COUNT {
        let follower = member(&format!("front-north-a-{number}"), "north", 2_000 + number);
        followers.spawn(follow(address, follower, sender.clone()));
    }
    // Until all have the complete state.
    tokio::time::sleep(BOUND).await;

    // Another instance stops or starts each half a second.
    let churning = view.clone();
    let churn = tokio::spawn(async move {
        for number in 0.. {
            let mut other = member(&format!("front-south-a-{number}"), "south", 1_000 + number);
            other.state = members::MemberState::Draining;
            churning.change_members(|members| members.upsert_subscriber(other));
            tokio::time::sleep(time::Duration::from_millis(500)).await;
        }
    });
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let registered = (0..SEARCHER_COUNT).map(|number| {
        record(&format!("i-{:08x}", number * 157), searcher("new", "north-a", 3_000 + number))
    });
    view.apply_searchers(registered.collect(), 0);
    let routes = (0..ROUTE_COUNT).map(|number| {
        // A multiplicative hash, so that names have little in common, as those of operators.
        let name = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let prefix = format!("/{:x}/", name & 0xffff_ffff);
        route(&format!("r-{:x}", name >> 32), "h.example", &prefix)
    });
    let start = time::Instant::now();
    view.offer_config(configuration(2, routes.collect()), view::Origin::Store, 0);
    let leaving = registry::SearcherChange {
        id: "i-leaving".into(),
        revision: registry::StoreRevision::new(registry::StoreEra(0), 2),
        searcher: None,
    };
    view.apply_searchers(vec![leaving], 0);

    let is_gone = |event: &Received| matches!(event, Received::Gone(id) if id == "i-leaving");
    let is_config = |event: &Received| matches!(event, Received::Config(version) if *version == config::ConfigVersion(2));
    let mut counts = (0, 0);
    let mut lasts = (time::Duration::ZERO, time::Duration::ZERO);
    while counts != (SUBSCRIBER_COUNT, SUBSCRIBER_COUNT) {
        let next = tokio::time::timeout(3 * BOUND, received.recv()).await;
        let (event, at) = next.expect("some subscribers are not told").unwrap();
        if is_config(&event) {
            counts.0 += 1;
            lasts.0 = at - start;
        } else if is_gone(&event) {
            counts.1 += 1;
            lasts.1 = at - start;
        }
    }
    churn.abort();
    println!("last configuration after {:?}, last removal after {:?}", lasts.0, lasts.1);
    assert!(lasts.0 < BOUND && lasts.1 < BOUND, "{lasts:?}, at most {BOUND:?}");
}

#[test]
fn a_delta_of_members_gives_the_new_list_whatever_has_changed() {
    fn holds(old: Vec<(u8, bool)>, new: Vec<(u8, bool)>) -> bool {
        let list = |entries: &[(u8, bool)]| {
            let mut members: Vec<members::Member> = Vec::new();
            for (number, is_draining) in entries {
                let mut entry = member(&format!("i-{number}"), "north", 1);
                if *is_draining {
                    entry.state = members::MemberState::Draining;
                }
                members.push(entry);
            }
            members.sort_by(|a, b| a.name.cmp(&b.name));
            members.dedup_by(|a, b| a.name == b.name);
            members
        };
        let (old, new) = (list(&old), list(&new));
        let source = net::SocketAddr::from(([10, 9, 9, 9], 9));
        let me = member("me", "north", 2);
        let mut known = members::Members::new(me.clone());
        known.set_source_members(source, old.clone());
        known.apply_source_delta(source, members::MembersDelta::between(&old, &new));
        let mut expected = members::Members::new(me);
        expected.set_source_members(source, new);
        known.live() == expected.live()
    }
    quickcheck::quickcheck(holds as fn(Vec<(u8, bool)>, Vec<(u8, bool)>) -> bool);
}

/// A compressed update must not become larger than a frame may be.
#[test]
fn large_updates_are_compressed_and_restored() {
    let routes = (0..ROUTE_COUNT).map(|number| route(&format!("r-{number}"), "h", "/x/"));
    let update = feed::Update::Config(Box::new(configuration(2, routes.collect())));
    let body = update.encode().unwrap();
    let plain = postcard::to_stdvec(&update).unwrap();
    assert!(body.len() < plain.len() / 2, "{} of {} bytes", body.len(), plain.len());
    let received: feed::Update = postcard::from_bytes(&body).unwrap();
    assert_eq!(received.decompress().unwrap(), update);
    let bomb = vec![0; 2 * feed::FRAME_MAX_BYTES];
    let inner = postcard::to_stdvec(&feed::Update::Compressed(bomb)).unwrap();
    let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
    std::io::Write::write_all(&mut encoder, &inner).unwrap();
    let bomb = feed::Update::Compressed(encoder.finish().unwrap());
    assert!(bomb.decompress().is_err());
    assert!(feed::Update::Compressed(b"no deflate".to_vec()).decompress().is_err());
}
