//! The formats of the distribution of settings towards the platform and between instances, and how it
//! handles contradictory, wrong and arbitrary input.

use tarragondoor::document;
use tarragondoor::ids;
use tarragondoor::plan;
use tarragondoor::settings_distribution;
use tarragondoor::settings_distribution::api;
use tarragondoor::settings_distribution::root;

fn hash(byte: u8) -> document::DocumentHash {
    document::DocumentHash::from_bytes([byte; 32])
}

fn name(text: &str) -> ids::InstanceName {
    text.parse().expect("a valid name")
}

fn version(revision: u64) -> api::Version {
    api::Version { revision: ids::Revision(revision), document: hash(revision as u8) }
}

fn machine(seed: u64) -> settings_distribution::Distributor {
    let config = settings_distribution::Config {
        instance: name("i0"),
        region: "r0".parse().expect("a valid name"),
        others_min: 0,
        rng_seed: seed,
    };
    settings_distribution::Distributor::new(0, config)
}

#[test]
fn root_matches_the_snapshot() {
    let plan = plan::PlanId { base: ids::Revision(6), document: hash(7) };
    let committed = root::Committed { plan, revision: ids::Revision(7) };
    let root = root::Root {
        revision: ids::Revision(7),
        document: hash(7),
        plan,
        history: vec![committed],
    };
    let text = serde_json::to_string_pretty(&root).expect("a root can be serialized");
    let read: root::Root = serde_json::from_str(&text).expect("a serialized root can be parsed");
    assert_eq!(read, root);
    insta::assert_snapshot!(text);
}

#[test]
fn messages_match_the_snapshot() {
    let starters = vec![api::Starter { instance: name("i3"), boot: ids::BootId(5) }];
    let messages = [
        api::Message::Push { version: version(7) },
        api::Message::Query { nonce: 9, version: None, standing: api::Standing::Starting },
        api::Message::Reply {
            nonce: 9,
            version: Some(version(7)),
            standing: api::Standing::Fresh,
            starters,
            more_starters: false,
        },
    ];
    let mut lines = Vec::new();
    for message in messages {
        let bytes = postcard::to_stdvec(&message).expect("a message can be encoded");
        assert_eq!(postcard::from_bytes::<api::Message>(&bytes), Ok(message.clone()));
        let hex: Vec<String> = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        lines.push(format!("{message:?}\n{}", hex.join("")));
    }
    insta::assert_snapshot!(lines.join("\n\n"));
}

#[test]
fn replies_fit_into_a_datagram() {
    let mut machine = machine(1);
    let mut largest = 0;
    for index in 0..200_u64 {
        let from = name(&format!("{:a<60}{index:04}", ""));
        let message =
            api::Message::Query { nonce: 1, version: None, standing: api::Standing::Starting };
        let input = api::Input::Datagram { from, boot: ids::BootId(index), message };
        for output in machine.step(10, input) {
            let api::Output::Send { message, .. } = output else { continue };
            let bytes = postcard::to_stdvec(&message).expect("a message can be encoded").len();
            largest = largest.max(bytes);
            if let api::Message::Reply { starters, more_starters, .. } = message {
                assert_eq!(more_starters, (starters.len() as u64) <= index, "{index}");
            }
        }
    }
    assert!(largest > 500, "{largest} bytes");
    assert!(largest <= tarragondoor::member::message::DIRECT_MAX_BYTES, "{largest} bytes");
}

#[test]
fn contradictions_are_reported_and_ignored() {
    let mut machine = machine(1);
    let status =
        |version| api::Input::SettingsStatus { from: name("i1"), boot: ids::BootId(1), version };
    machine.step(10, status(Some(version(7))));
    let other = api::Version { revision: ids::Revision(7), document: hash(8) };
    let outputs = machine.step(20, status(Some(other)));
    assert!(outputs.contains(&api::Output::Contradiction { known: version(7), reported: other }));
    assert_eq!(machine.newest(), ids::Revision(7));
}

#[test]
fn a_document_of_another_hash_is_not_applied() {
    let mut machine = machine(1);
    let from = name("i1");
    let status =
        api::Input::SettingsStatus { from, boot: ids::BootId(1), version: Some(version(7)) };
    let outputs = machine.step(10, status);
    let fetch = outputs.iter().find_map(|output| match output {
        api::Output::Fetch { request, .. } => Some(*request),
        _ => None,
    });
    let request = fetch.expect("the document is requested");
    let document =
        document::Document::new(Default::default()).expect("the document is within the size limit");
    let whole = api::FetchReply::Whole(document.bytes().to_vec());
    let outputs = machine.step(20, api::Input::Fetched { request, reply: Some(whole) });
    assert!(!outputs.iter().any(|output| matches!(output, api::Output::Apply { .. })));
    assert_eq!(machine.revision(), ids::Revision(0));
}

#[test]
fn arbitrary_bytes_put_nothing_in_force() {
    fn property(datagrams: Vec<Vec<u8>>, values: Vec<String>, steps_ms: Vec<u16>) -> bool {
        let mut machine = machine(3);
        let mut now_ms = 0;
        let boot = ids::BootId(1);
        for bytes in &datagrams {
            if let Ok(message) = postcard::from_bytes::<api::Message>(bytes) {
                machine.step(now_ms, api::Input::Datagram { from: name("i1"), boot, message });
            }
            if let Ok(reply) = postcard::from_bytes::<api::FetchReply>(bytes) {
                machine.step(now_ms, api::Input::Fetched { request: 1, reply: Some(reply) });
            }
        }
        for (request, value) in values.into_iter().enumerate() {
            let reply = api::PlatformReply::Found { value, store_revision: 1 };
            machine.step(now_ms, api::Input::Platform { request: request as u64, reply });
        }
        for step_ms in steps_ms {
            now_ms += u64::from(step_ms);
            machine.step(now_ms, api::Input::Tick);
        }
        machine.version().is_none()
    }
    quickcheck::quickcheck(property as fn(Vec<Vec<u8>>, Vec<String>, Vec<u16>) -> bool);
}
