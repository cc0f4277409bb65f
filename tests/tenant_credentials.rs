//! Tests of tenants' keys and priorities, without a network.

mod forward_support;

use compact_str::CompactString;
use forward_support::configuration;
use forward_support::declared_service;
use forward_support::route;
use quickcheck::Arbitrary as _;
use std::collections::HashMap;
use tarragondoor::discovery::builder;
use tarragondoor::discovery::config;
use tarragondoor::discovery::feed;
use tarragondoor::tenants::authentication;
use tarragondoor::tenants::authentication::Caller;
use tarragondoor::tenants::credentials;
use tarragondoor::tenants::metrics;
use tarragondoor::tenants::tenant;
use tarragondoor::tenants::usage;

fn tenant(name: &str, priority: u8, keys: &[&str]) -> tenant::Tenant {
    tenant::Tenant {
        name: name.into(),
        credentials: keys.iter().map(|key| tenant::Credential(CompactString::from(*key))).collect(),
        priority,
        quota: None,
        home_regions: Vec::new(),
    }
}

fn with_tenants(version: u64, tenants: Vec<tenant::Tenant>) -> config::Config {
    let exempt = config::Route { is_auth_exempt: true, ..route("open", "h", "/open/") };
    let routes = vec![route("closed", "h", "/"), exempt];
    let declared = tenant::Declared { tenants, ..Default::default() };
    let tenants = tenant::Tenants::Declared(declared);
    config::Config { tenants, ..configuration(version, routes) }
}

/// Guards against lookups that find another tenant's key, or none, among many.
#[test]
fn the_index_finds_what_a_map_finds_among_10_000_keys() {
    let mut tenants = Vec::new();
    let mut map = HashMap::new();
    for number in 0..2_500_usize {
        let keys: Vec<String> = (0..4).map(|key| format!("{:x}", number * 4 + key)).collect();
        let names: Vec<&str> = keys.iter().map(String::as_str).collect();
        tenants.push(tenant(&format!("t{number}"), 0, &names));
        map.extend(keys.into_iter().map(|key| (key.into_bytes(), number)));
    }
    let index = credentials::Index::new(&tenants);
    assert_eq!(credentials::Index::new(&[]).tenant(b"a"), None);
    assert_eq!(credentials::Index::default().tenant(b"a"), None);
    for (key, number) in &map {
        assert_eq!(index.tenant(key), Some(credentials::TenantIndex(*number)));
    }
    let mut source = quickcheck::Gen::new(16);
    for _ in 0..5_000 {
        let near = format!("{:x}", u32::arbitrary(&mut source) % 20_000).into_bytes();
        for key in [near, Vec::arbitrary(&mut source)] {
            let found = index.tenant(&key).map(|found| found.0);
            assert_eq!(found, map.get(&key).copied(), "{key:?}");
        }
    }
}

/// Guards against requests that run without exactly one known key.
#[test]
fn only_a_single_known_key_names_a_tenant() {
    let config = with_tenants(1, vec![tenant("a", 0, &["k1", "k2"]), tenant("b", 1, &["k3"])]);
    let index = credentials::Index::new(config.tenants.as_slice());
    let name = http::HeaderName::from_static("x-key");
    let caller = |route: usize, keys: &[&str]| {
        let mut headers = http::HeaderMap::new();
        for key in keys {
            headers.append(name.clone(), http::HeaderValue::from_str(key).unwrap());
        }
        let route = &config.routes[route];
        authentication::authenticate(&config, &index, route, &headers, &name)
    };
    assert_eq!(caller(0, &["k2"]), Caller::Tenant(&config.tenants.as_slice()[0]));
    assert_eq!(caller(0, &["k3"]).tenant_name(), Some("b"));
    for keys in [&[][..], &["k9"], &[""], &["k1", "k1"], &["k1,k1"], &[" k1"], &["K1"], &["k"]] {
        assert_eq!(caller(0, keys), Caller::Unknown, "{keys:?}");
    }
    assert_eq!(caller(1, &["k9"]), Caller::Exempt);
    let without = config::Config { tenants: tenant::Tenants::Open, ..config.clone() };
    let headers = http::HeaderMap::new();
    let caller =
        authentication::authenticate(&without, &index, &without.routes[0], &headers, &name);
    assert_eq!(caller, Caller::Open);
    let urgent = config::Route { priority: 7, ..route("late", "h", "/") };
    assert_eq!(caller.priority(&urgent), 7, "without tenants the route's priority is as before");
}

/// Guards against a route of an urgent tenant that comes after one of a less urgent tenant.
#[test]
fn the_priority_of_tenants_goes_before_that_of_routes() {
    let mut order = Vec::new();
    for tenant_priority in [0, 1, 2, 84] {
        for route_priority in 0..3 {
            order.push(tenant::request_priority(tenant_priority, route_priority));
        }
    }
    assert!(order.is_sorted_by(|a, b| a < b), "{order:?}");
    assert_eq!(tenant::request_priority(0, 9), 2);
    assert_eq!(tenant::request_priority(255, 2), 255);
}

/// Guards against instances that keep a withdrawn key because they got the change and not the configuration.
#[test]
fn a_delta_adds_moves_and_withdraws_keys() {
    let old = with_tenants(
        1,
        vec![tenant("a", 0, &["k1", "k2"]), tenant("b", 1, &["k3"]), tenant("c", 0, &["k4"])],
    );
    let new = with_tenants(2, vec![tenant("a", 0, &["k1"]), tenant("b", 1, &["k2", "k3"])]);
    for (from, to) in [(&old, &new), (&new, &old)] {
        let delta = config::ConfigDelta::between(from, to);
        assert_eq!(delta.apply(from).as_ref(), Some(to));
    }
}

/// Guards against instances that learn of a version by its changes, and take an empty list of tenants for none.
#[test]
fn deltas_and_frames_tell_an_empty_list_of_tenants_from_none() {
    let open = with_tenants(1, Vec::new());
    let open = config::Config { tenants: tenant::Tenants::Open, ..open };
    let empty = with_tenants(2, Vec::new());
    let declared = with_tenants(3, vec![tenant("a", 0, &["k1"])]);
    for from in [&open, &empty, &declared] {
        for to in [&open, &empty, &declared] {
            let delta = feed::Update::ConfigDelta(config::ConfigDelta::between(from, to).into());
            let bytes = delta.encode().unwrap();
            let received: feed::Update = postcard::from_bytes(&bytes).unwrap();
            let feed::Update::ConfigDelta(delta) = received.decompress().unwrap() else {
                panic!("{delta:?}");
            };
            assert_eq!(delta.apply(from).as_ref(), Some(to));
        }
    }
}

/// Guards against names that reach searchers as another name, or not at all.
#[test]
fn a_header_carries_a_name_unchanged_or_there_is_none() {
    let mut lines = Vec::new();
    for name in
        ["t", "a b", "\u{e9}\t\u{1f3b5}", "", " a", "a ", "\ta", "a\nb", "a\u{7f}", "\u{a0}a"]
    {
        let value = tenant::header_value(name);
        assert!(value.as_ref().is_none_or(|value| value.as_bytes() == name.as_bytes()));
        lines.push(format!("{name:?}: {}", if value.is_some() { "sent" } else { "not sent" }));
    }
    insta::assert_snapshot!(lines.join("\n"), @r#"
    "t": sent
    "a b": sent
    "é\t🎵": sent
    "": not sent
    " a": not sent
    "a ": not sent
    "\ta": not sent
    "a\nb": not sent
    "a\u{7f}": not sent
    "\u{a0}a": sent
    "#);
}

/// Guards against keys in logs: anything may be printed with its `Debug` output.
#[test]
fn debug_output_contains_no_key() {
    let config = with_tenants(1, vec![tenant("a", 0, &["sesame"])]);
    let delta = config::ConfigDelta::between(&with_tenants(0, Vec::new()), &config);
    let index = credentials::Index::new(config.tenants.as_slice());
    let updates = (feed::Update::ConfigDelta(delta.into()), feed::Update::Config(config.into()));
    let text = format!("{updates:?} {index:?}");
    assert!(text.contains("\"a\"") && !text.contains("sesame"), "{text}");
}

/// Guards against labels as long as a tenant's name, and against one label for several names that begin alike.
#[test]
fn labels_of_long_names_are_short_and_differ() {
    let metrics = metrics::Metrics::default();
    let mut registry = prometheus_client::registry::Registry::default();
    metrics.register(&mut registry);
    let (long, cut_inside) = ("n".repeat(300), "\u{1f3b5}".repeat(75));
    for name in [&long, &format!("{long}2"), &cut_inside, "a \"b\"\n"] {
        metrics.record(name, "in_time");
    }
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry).unwrap();
    let mut lines: Vec<&str> = text.lines().filter(|line| line.contains("in_time")).collect();
    lines.sort_unstable();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    tenant_requests_total{tenant="a \"b\"\n",outcome="in_time"} 1
    tenant_requests_total{tenant="nnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnn~9fe5220c292ac895",outcome="in_time"} 1
    tenant_requests_total{tenant="nnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnn~ac29f0d2c091e395",outcome="in_time"} 1
    tenant_requests_total{tenant="🎵🎵🎵🎵🎵🎵🎵🎵🎵🎵🎵~0731270d5bc046f1",outcome="in_time"} 1
    "#);
}

/// Guards against a subscriber that is cut off again and again because its report does not fit into a frame.
#[test]
fn a_report_on_all_tenants_of_a_large_configuration_fits_into_a_frame() {
    let mut counts = Vec::new();
    for number in 0..3_300 {
        let tenant = CompactString::from(format!("{number:0300}"));
        counts.push(usage::TenantCount { tenant, admitted: u64::MAX, offered: u64::MAX });
    }
    let report = usage::Report { age_us: 1, is_serving: true, wants_levels: None, counts };
    let bytes = postcard::to_stdvec(&feed::Request::Usage(report)).unwrap();
    assert!((1_000_000..feed::REQUEST_MAX_BYTES).contains(&bytes.len()), "{}", bytes.len());
}

/// Guards against metrics that grow with the number of tenants.
#[test]
fn only_the_tenants_with_the_most_requests_have_series_of_their_own() {
    let metrics = metrics::Metrics::default();
    let mut registry = prometheus_client::registry::Registry::default();
    metrics.register(&mut registry);
    for round in 0..30 {
        for number in 0..500 {
            metrics.record(&format!("small-{number}"), "in_time");
            if number % 10 == 0 {
                metrics.record("large", if round == 0 { "late" } else { "in_time" });
            }
        }
    }
    metrics.record("", metrics::UNAUTHORIZED);
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry).unwrap();
    let series: Vec<&str> = text.lines().filter(|line| !line.starts_with('#')).collect();
    assert!(series.len() <= 20 * 2 + 3, "{text}");
    assert!(text.contains("tenant=\"large\",outcome=\"in_time\""), "{text}");
    assert!(text.contains("tenant=\"(others)\",outcome=\"unauthorized\"} 1"), "{text}");
}

/// Prints how long a lookup takes: `cargo test --release --test tenant_credentials -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn lookup_time() {
    for count in [75_usize, 10_000] {
        let keys: Vec<String> =
            (0..count).map(|number| format!("k22x{:032x}", number * 7_919)).collect();
        let tenants: Vec<tenant::Tenant> =
            keys.iter().map(|key| tenant(&format!("t{key}"), 0, &[key])).collect();
        let index = credentials::Index::new(&tenants);
        let start = std::time::Instant::now();
        let mut found = 0;
        for number in 0..2_000_000_usize {
            found += usize::from(index.tenant(keys[number * 31 % count].as_bytes()).is_some());
        }
        println!("{count} tenants: {:?} per lookup", start.elapsed() / found as u32);
    }
}

/// A configuration with any routes, services and tenants of few names, so that names are repeated.
fn arbitrary_built(source: &mut quickcheck::Gen, version: u64) -> builder::Built {
    let mut builder = builder::Builder::new(config::ConfigVersion(version));
    let names = ["a", "b c", "", " d", "\u{e9}"];
    let mut name = || *source.choose(&names).unwrap();
    let shape: Vec<[&str; 4]> = (0..6).map(|_| [name(), name(), name(), name()]).collect();
    let count = |source: &mut quickcheck::Gen| usize::arbitrary(source) % 5;
    for [name, host, prefix, service] in &shape[..count(source)] {
        let target = match u8::arbitrary(source) % 3 {
            0 => config::Target::Service(service.parse().unwrap()),
            1 => config::Target::Split(Vec::new()),
            _ => config::Target::Unusable,
        };
        builder.route(config::Route { target, ..route(name, host, prefix) });
    }
    for [name, ..] in &shape[..count(source)] {
        builder.service(declared_service(name, u32::arbitrary(source)));
    }
    match u8::arbitrary(source) % 4 {
        0 => {}
        1 => builder.unusable_tenants("expected a list"),
        _ => {
            builder.declare_tenants();
            for [name, keys @ ..] in &shape[..count(source)] {
                builder.tenant(tenant(name, u8::arbitrary(source) % 2, &keys[..2]));
            }
            if bool::arbitrary(source) {
                builder.unreadable_keys();
            }
        }
    }
    builder.build()
}

fn in_order(mut config: config::Config) -> config::Config {
    config.routes.sort_by(|a, b| a.key().cmp(&b.key()));
    config
}

/// Guards against instances that have another configuration than the store, because they got it from an instance.
#[test]
fn changes_and_frames_give_the_configuration_that_was_built() {
    let mut source = quickcheck::Gen::new(8);
    for round in 0..3_000 {
        let old = arbitrary_built(&mut source, 1).config;
        let new = arbitrary_built(&mut source, 2).config;
        let delta = config::ConfigDelta::between(&old, &new);
        let sent = [
            feed::Update::Config(Box::new(new.clone())),
            feed::Update::ConfigDelta(Box::new(delta)),
        ];
        for update in sent {
            let bytes = update.encode().unwrap();
            let received: feed::Update = postcard::from_bytes(&bytes).unwrap();
            let received = match received.decompress().unwrap() {
                feed::Update::Config(config) => *config,
                feed::Update::ConfigDelta(delta) => delta.apply(&old).unwrap(),
                other => panic!("{other:?}"),
            };
            assert_eq!(in_order(received), in_order(new.clone()), "round {round}: {old:?}");
        }
    }
}

/// Guards against a key with which requests of one tenant run as those of another.
#[test]
fn no_key_of_any_configuration_has_two_holders() {
    let mut source = quickcheck::Gen::new(8);
    for _ in 0..3_000 {
        let built = arbitrary_built(&mut source, 1);
        assert_eq!(built.config.unusable_count as usize, built.unusable.len());
        let tenant::Tenants::Declared(declared) = &built.config.tenants else {
            continue;
        };
        let mut keys = declared.unusable_keys.keys.clone();
        for tenant in &declared.tenants {
            let mut own = tenant.credentials.clone();
            own.sort();
            own.dedup();
            keys.extend(own);
            assert!(tenant::header_value(&tenant.name).is_some());
        }
        let count = keys.len();
        keys.sort();
        keys.dedup();
        assert_eq!(keys.len(), count, "{built:?}");
        assert!(keys.iter().all(|key| !key.0.is_empty()));
        assert!(declared.tenants.is_sorted_by(|a, b| a.name < b.name));
    }
}
