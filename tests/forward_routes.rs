//! Tests of the route lookup, the minimum of shards of a gather and configuration deltas.

mod forward_support;

use forward_support::configuration;
use forward_support::route;
use forward_support::service;
use std::sync;
use tarragondoor::discovery::config;
use tarragondoor::discovery::table;

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("root", "a.example", "/"),
        route("seeds", "a.example", "/seeds/"),
        route("beans", "a.example", "/seeds/beans/"),
        route("other", "b.example", "/only/"),
    ];
    let table = table::RouteTable::new(sync::Arc::new(configuration(1, routes)));
    let cases = [
        ("a.example", "/", Some("root")),
        ("a.example", "/x", Some("root")),
        ("a.example", "/seeds", Some("root")),
        ("a.example", "/seeds/", Some("seeds")),
        ("a.example", "/seeds/beansx/1", Some("seeds")),
        ("A.Example:8080", "/seeds/beans/1/2", Some("beans")),
        ("b.example", "/only/2f", Some("other")),
        ("b.example", "/", None),
        ("b.example", "", None),
        ("c.example", "/seeds/", None),
    ];
    for (host, path, expected) in cases {
        let found = table.find(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host} {path}");
    }
}

#[test]
fn the_minimum_of_shards_is_the_declared_ratio_rounded_up() {
    let cases = [(10, 0.89, 9), (10, 0.9, 9), (10, 0.75, 8), (36, 0.95, 35), (36, 0.85, 31)];
    for (shards, shard_ratio_min, expected) in cases {
        let shards = vec![service("a"); shards];
        let gather = config::Gather { shards, top_count: 5, shard_ratio_min };
        assert_eq!(gather.shards_min(), expected, "{shard_ratio_min}");
    }
    let zero_ratio =
        config::Gather { shards: vec![service("a")], top_count: 5, shard_ratio_min: 0.0 };
    assert_eq!(zero_ratio.shards_min(), 1, "an answer has at least one part");
}

#[test]
fn a_delta_turns_the_old_configuration_into_the_new_one() {
    let old = configuration(3, vec![route("a", "h", "/a/"), route("b", "h", "/b/")]);
    let mut new = configuration(9, vec![route("a", "h", "/a/"), route("c", "h", "/c/")]);
    new.routes[0].timeout_ms = 77;
    new.services.push(forward_support::declared_service("b", 7));
    let delta = config::ConfigDelta::between(&old, &new);
    assert_eq!(delta.routes.len(), 2, "the changed route and the new one");
    assert_eq!(delta.clone().apply(&old), Some(new.clone()));
    assert_eq!(delta.apply(&new), None, "the delta's base is another version");
}
