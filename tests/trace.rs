//! The trace context: which headers are accepted, what is passed on, and what a span records.

use std::io;
use std::str::FromStr as _;
use std::sync;
use tarragondoor::log;
use tarragondoor::trace;

const GOOD: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

#[test]
fn traceparent_headers_are_accepted_or_rejected() {
    let rows = [
        (GOOD, true),
        ("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00", true),
        ("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-ff", true),
        ("cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-later", true),
        ("cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", true),
        ("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-later", false),
        ("ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", false),
        ("00-00000000000000000000000000000000-00f067aa0ba902b7-01", false),
        ("00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01", false),
        ("00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01", false),
        ("00-4bf92f3577b34da6a3ce929d0e0e473-00f067aa0ba902b7-011", false),
        ("00-+bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", false),
        ("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7", false),
        ("0-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-001", false),
        (" 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", false),
        ("", false),
    ];
    for (header, accepted) in rows {
        assert_eq!(trace::TraceContext::from_str(header).is_ok(), accepted, "{header:?}");
    }
}

#[test]
fn a_hop_is_a_child_of_its_sender_or_a_new_trace() {
    let sender = trace::TraceContext::from_str(GOOD).unwrap();
    let hop = trace::TraceContext::receive(Some(GOOD), 1, 2);
    assert_eq!(hop.trace_id, sender.trace_id);
    assert_eq!(hop.parent_id, Some(sender.span_id));
    assert_eq!(hop.to_string(), "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000002-01");
    for header in [None, Some("nonsense")] {
        let hop = trace::TraceContext::receive(header, 1, 0);
        assert_eq!(hop.to_string(), "00-00000000000000000000000000000001-0000000000000001-01");
        assert_eq!(hop.parent_id, None);
    }
}

fn check<A: quickcheck::Testable>(property: A) {
    let check = quickcheck::QuickCheck::new().tests(2_000);
    check.rng(quickcheck::Gen::from_size_and_seed(100, 1)).quickcheck(property);
}

#[test]
fn contexts_round_trip_through_the_header() {
    fn property(trace: u128, span: u64) -> bool {
        let context = trace::TraceContext::root(trace, span);
        trace::TraceContext::from_str(&context.to_string()) == Ok(context)
    }
    check(property as fn(u128, u64) -> bool);
}

#[test]
fn a_changed_header_is_rejected_or_passed_on_unchanged() {
    fn property(position: usize, changed: u8) -> bool {
        let mut header = GOOD.as_bytes().to_vec();
        let position = position % header.len();
        header[position] = changed % 128;
        let header = String::from_utf8(header).unwrap();
        match trace::TraceContext::from_str(&header) {
            Ok(context) => header[3..52] == context.to_string()[3..52],
            Err(_) => true,
        }
    }
    check(property as fn(usize, u8) -> bool);
}

/// A writer that collects the log.
#[derive(Clone, Default)]
struct Sink(sync::Arc<sync::Mutex<Vec<u8>>>);

impl io::Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_span_records_its_ids() {
    let sink = Sink::default();
    let writer = sink.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_env_filter(log::parse_filter("info").unwrap())
        .without_time()
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        let hop = trace::TraceContext::receive(Some(GOOD), 1, 2);
        trace::span(trace::Hop::Owner, &hop).in_scope(|| tracing::info!("first"));
        let root = trace::TraceContext::root(3, 4);
        trace::span(trace::Hop::Entry, &root).in_scope(|| tracing::info!("second"));
    });
    let text = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
    insta::assert_snapshot!(text);
}

#[test]
fn log_filters_are_parsed() {
    assert!(log::parse_filter("warn,tarragondoor=debug").is_ok());
    assert!(matches!(log::parse_filter("tarragondoor=loud"), Err(log::InitError::Filter(_))));
}
