//! Case 10: a short burst of searches whose heads are almost as long as the limits allow takes more memory than the machine has.

use crate::crowd;
use crate::report;
use std::collections::HashSet;
use std::io;
use std::sync::atomic;
use std::thread;
use std::time;

/// The usual number of clients that ask at the same moment.
const USUAL: usize = 45;
/// The same in a `burst` of `x = 1.7`.
const BURST: usize = 76;
/// Nobody asks at first, until the machine counts as undisturbed.
const QUIET_S: usize = 7;
const CALM_S: usize = 9;
/// How long the burst lasts.
const BURST_S: usize = 3;
const AFTER_S: usize = 5;
/// Headers besides those of every request: about 13 KB of the 16 KB of `maxHeaderBytes`.
const EXTRA_HEADERS: usize = 80;
const EXTRA_VALUE_BYTES: usize = 150;

pub fn play(report: &report::Report, has_trouble: bool) -> io::Result<report::Verdict> {
    let deployment = crowd::start(report)?;
    let instance = &deployment.instance;
    let value = "y".repeat(EXTRA_VALUE_BYTES);
    let names: Vec<String> =
        (0..EXTRA_HEADERS).map(|number| format!("X-Shop-{number:02}")).collect();
    let headers: Vec<(&str, &str)> =
        names.iter().map(|name| (name.as_str(), value.as_str())).collect();
    let mut connections = crowd::connect(instance.front, USUAL)?;
    let started = time::Instant::now();
    let mut lost = 0;
    for second in QUIET_S..CALM_S + AFTER_S {
        if second + 1 == CALM_S && has_trouble {
            connections.extend(crowd::connect(instance.front, BURST - USUAL)?);
        }
        let at = started + time::Duration::from_secs(second as u64);
        thread::sleep(at.saturating_duration_since(time::Instant::now()));
        let is_burst = (CALM_S..CALM_S + BURST_S).contains(&second) && has_trouble;
        let asking = if is_burst { connections.len() } else { USUAL };
        let searched = crowd::search_at_once(&mut connections[..asking], &headers);
        let peak_mb = instance.peak_bytes.load(atomic::Ordering::Relaxed) as f64 / 1_048_576.0;
        report.say(format!(
            "second {second}: {asking} searches at once, answers by status: {}; peak memory {peak_mb:.1} MB",
            crowd::statuses(&searched)
        ));
        let record = deployment.record.lock().unwrap();
        let passed_on: HashSet<&str> =
            record.iter().filter(|one| one.has_run).map(|one| one.id.as_str()).collect();
        for one in &searched {
            if one.answer.is_none() && one.is_closed && passed_on.contains(one.id.as_str()) {
                report
                    .line(format!("{}: passed on to searchers, closed without an answer", one.id));
                lost += 1;
            }
        }
        drop(record);
        if instance.ended().is_some() {
            break;
        }
    }
    let killed_at = instance.killed_at_bytes.load(atomic::Ordering::Relaxed);
    if killed_at > 0 {
        report.say(format!(
            "killed by the platform with {:.1} MB of {} MB in use; ended: {}",
            killed_at as f64 / 1_048_576.0,
            crowd::SHEET.memory_mb,
            instance.ended().unwrap_or_default()
        ));
    }
    report.say(format!("{lost} requests were passed on and closed without an answer (allowed: 3)"));
    let is_broken = killed_at > 0 && lost > 3;
    Ok(if is_broken { report::Verdict::Broken } else { report::Verdict::Held })
}
