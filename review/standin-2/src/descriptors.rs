//! Case 7: after a short burst of searches the instance accepts no new connection for many seconds.

use crate::client;
use crate::crowd;
use crate::report;
use crate::searcher;
use std::io;
use std::net;
use std::sync::mpsc;
use std::thread;
use std::time;

/// The usual number of clients that ask at the same moment.
const USUAL: usize = 56;
/// The same in a `burst` of `x = 1.7`.
const BURST: usize = 95;
const CALM_S: usize = 8;
/// How long the burst lasts.
const BURST_S: usize = 3;
const AFTER_S: usize = 20;
/// How many requests on new connections are sent, one each half second, from the end of the burst on.
const NEW_CLIENTS: usize = 20;
/// The timeout of their route, and half a second.
const JUDGED_AFTER: time::Duration = time::Duration::from_millis(2_000);
const SLACK: time::Duration = time::Duration::from_millis(500);
/// The time that the clients themselves wait.
const DEADLINE_MS: u64 = 5_000;

struct Outcome {
    id: String,
    status: u16,
    waited: time::Duration,
}

pub fn play(report: &report::Report, has_trouble: bool) -> io::Result<report::Verdict> {
    let deployment = crowd::start(report)?;
    let instance = &deployment.instance;
    let mut connections = crowd::connect(instance.front, USUAL)?;
    let (sender, outcomes) = mpsc::channel();
    let started = time::Instant::now();
    let mut unready_seconds = 0;
    for second in 0..CALM_S + AFTER_S {
        let at = started + time::Duration::from_secs(second as u64);
        if second + 1 == CALM_S && has_trouble {
            let more = crowd::connect(instance.front, BURST - USUAL)?;
            connections.extend(more);
        }
        thread::sleep(at.saturating_duration_since(time::Instant::now()));
        let is_burst = (CALM_S..CALM_S + BURST_S).contains(&second) && has_trouble;
        let asking = if is_burst { connections.len() } else { USUAL };
        let searched = crowd::search_at_once(&mut connections[..asking], &[]);
        let is_ready = instance.is_ready(time::Duration::from_millis(400));
        unready_seconds += usize::from(!is_ready);
        report.say(format!(
            "second {second}: {asking} searches at once, answers by status: {}; descriptors in use {}; ready {is_ready}",
            crowd::statuses(&searched),
            instance.descriptor_count()
        ));
        if second + 1 == CALM_S + BURST_S {
            let (front, sender) = (instance.front, sender.clone());
            thread::spawn(move || send_new(front, &sender));
        }
    }
    drop(sender);
    if let Some(end) = instance.ended() {
        report.say(format!("the process ended: {end}"));
    }
    report.say(format!("readiness checks without a 200: {unready_seconds}"));
    let (verdict, unanswered) = judge(report, &outcomes);
    report_runs(report, &deployment.record, &unanswered);
    Ok(verdict)
}

/// Sends requests that may run once at most, each on a new connection.
fn send_new(front: net::SocketAddr, sender: &mpsc::Sender<Outcome>) {
    for _ in 0..NEW_CLIENTS {
        thread::sleep(time::Duration::from_millis(500));
        let sender = sender.clone();
        thread::spawn(move || {
            let id = client::next_id();
            let request =
                client::request("POST", "/tida117/batch", &id, DEADLINE_MS, &[], b"batch 7");
            let Ok(mut connection) = client::Connection::open(front, time::Duration::from_secs(1))
            else {
                return;
            };
            if connection.send(&request).is_err() {
                return;
            }
            let sent = time::Instant::now();
            let answer = connection.receive(time::Duration::from_millis(DEADLINE_MS));
            let status = answer.map_or(0, |answer| answer.status());
            // The receiver lives until all requests have ended.
            let _ = sender.send(Outcome { id, status, waited: sent.elapsed() });
        });
    }
}

/// Records what ran. Tells how many of the requests whose clients left without an answer have run nevertheless.
fn report_runs(report: &report::Report, record: &searcher::Record, unanswered: &[String]) {
    let mut late_runs = 0;
    let mut search_count = 0;
    for received in record.lock().unwrap().iter() {
        if received.first_line.starts_with("GET") {
            search_count += 1;
            continue;
        }
        late_runs += usize::from(received.has_run && unanswered.contains(&received.id));
        report.line(format!("{} at {}: ran {}", received.id, received.searcher, received.has_run));
    }
    report.line(format!("parts of searches that reached searchers: {search_count}"));
    report.say(format!(
        "of {} requests that may run once at most and whose clients left without an answer, {late_runs} have run",
        unanswered.len()
    ));
}

/// Returns the verdict and the ids of the requests without an answer.
fn judge(
    report: &report::Report,
    outcomes: &mpsc::Receiver<Outcome>,
) -> (report::Verdict, Vec<String>) {
    let mut without_answer = Vec::new();
    let (mut count, mut long, mut unanswered) = (0, 0, 0);
    for outcome in outcomes {
        let Outcome { id, status, waited } = outcome;
        report.line(format!("{id}: status {status} after {:.3} s", waited.as_secs_f64()));
        if status == 0 {
            without_answer.push(id);
        }
        count += 1;
        long += usize::from(waited >= JUDGED_AFTER);
        unanswered += usize::from(waited >= JUDGED_AFTER + SLACK);
    }
    report.say(format!(
        "{count} requests on new connections: {long} without an answer at their route's timeoutMs, {unanswered} of them half a \
         second later"
    ));
    let is_broken = unanswered >= 8 && 2 * unanswered > long;
    let verdict = if is_broken { report::Verdict::Broken } else { report::Verdict::Held };
    (verdict, without_answer)
}
