//! Case 8: a version of the configuration removes the last tenant, with its key.

use crate::client;
use crate::report;
use crate::report::Verdict;
use crate::tenant_name;
use std::io;
use std::thread;
use std::time;

const WITHDRAWN: &str = "k22xwithdrawn";
const NEVER_HELD: &str = "k22xneverheld";
const REQUESTS: usize = 20;

pub fn play(report: &report::Report, has_trouble: bool) -> io::Result<Verdict> {
    let held: &[(&str, &[&str])] = &[("kami770", &[WITHDRAWN])];
    let (store, record, instance) = tenant_name::start(held)?;
    report.line("the instance is ready");
    thread::sleep(time::Duration::from_millis(tenant_name::SHEET.stability_ms + 500));
    for key in [WITHDRAWN, NEVER_HELD] {
        let (served, unauthorized) = tenant_name::ask(instance.front, key, 5);
        report.say(format!("before: {key}: {served} served, {unauthorized} answered 401, of 5"));
    }
    // Without the disruption the tenant stays, without a key.
    let left: &[(&str, &[&str])] = if has_trouble { &[] } else { &[("kami770", &[])] };
    let version = tenant_name::config(12, left);
    store.put("op/config", &version);
    report.say(format!("version 12 acknowledged: {version}"));
    let apply_ms = tenant_name::SHEET.config_apply_ms;
    thread::sleep(time::Duration::from_millis(apply_ms + 1_000));
    let received_before = record.lock().unwrap().len();
    for key in [WITHDRAWN, NEVER_HELD] {
        let mut statuses = Vec::new();
        for _ in 0..REQUESTS {
            let id = client::next_id();
            let headers = [("X-Credential", key), ("X-Tenant-Id", "chosen-by-the-client")];
            let request = client::request("GET", "/goka902/2f", &id, 4_000, &headers, b"");
            let status = tenant_name::status(instance.front, &request);
            report.line(format!("{id} with {key}: status {status}"));
            statuses.push(status);
        }
        let served = statuses.iter().filter(|status| **status == 200).count();
        report.say(format!("later than configApplyMs: {key}: {served} served, of {REQUESTS}"));
    }
    let (mut ran, mut has_key, mut is_spoofed) = (0, 0, 0);
    for received in &record.lock().unwrap()[received_before..] {
        report.line(format!(
            "{} at {}: ran {}, X-Tenant-Id {:?}, X-Credential {:?}",
            received.id, received.searcher, received.has_run, received.tenant, received.key
        ));
        ran += usize::from(received.has_run);
        has_key += usize::from(!received.key.is_empty());
        is_spoofed += usize::from(received.tenant == "chosen-by-the-client");
    }
    report.say(format!(
        "searchers ran {ran} of these requests; {has_key} came with the key, {is_spoofed} with the client's own X-Tenant-Id"
    ));
    Ok(if ran > 0 { Verdict::Broken } else { Verdict::Held })
}
