//! Measures what membership costs a node by cluster size.

use tarragondoor::member::scaling;

fn print(row: &scaling::NodeCost) {
    println!(
        "{:>4} members, {:<6}: {:.3} % core, {:.1} messages/s, {:.0} B/s (peak {}), {} B memory ({} B/member), agreement {:.2} %",
        row.members,
        row.load.to_string(),
        row.cpu_percent,
        row.sent_per_s,
        row.sent_bytes_per_s,
        row.sent_bytes_peak,
        row.memory_bytes,
        row.memory_bytes / row.members,
        row.agreement_percent,
    );
}

#[test]
fn costs_are_complete_and_deterministic_except_cpu_time() {
    let rows = scaling::run(&[5, 10], 1);
    let again = scaling::run(&[5, 10], 1);
    assert_eq!(rows.len(), 6);
    for (row, other) in rows.iter().zip(&again) {
        assert_eq!(row.sent_bytes_per_s, other.sent_bytes_per_s);
        assert!(row.sent_per_s > 0.0 && row.memory_bytes > 0);
        assert_eq!(row.agreement_percent, 100.0, "{row:?}");
    }
    for load in 1..3 {
        assert!(rows[load].sent_bytes_per_s > rows[0].sent_bytes_per_s, "{:?}", rows[load]);
    }
}

#[test]
#[ignore = "a measurement of minutes; run with --release --ignored --nocapture"]
fn all_sizes() {
    for members in [50, 100, 200, 400, 870] {
        for row in scaling::run(&[members], 1) {
            print(&row);
        }
    }
}
