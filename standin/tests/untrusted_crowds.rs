//! Crowds of untrusted clients at the port for callers: the process lives, its memory and descriptors stay under a bound,
//! and an ordinary request is answered while the crowd is connected. No times and no shares are checked.

mod deployment;

use deployment::fixture;
use std::fs;
use std::time;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync;
use tokio::task;

/// The descriptors of the process.
const MAX_FDS: u64 = 600;
const ADDRESS_TTL_MS: u32 = 2_000;
const CROWD: usize = 400;
/// More than the descriptors.
const IDLE_CROWD: usize = 700;
/// The length of a head, far longer than any that is used.
const HEAD_BYTES: usize = 400 << 10;
/// The size of bodies in chunks of one byte.
const TINY_CHUNKS_BYTES: usize = 16 << 10;
/// What the crowd sends is read in this time, or the crowd is taken as it is.
const CROWD_TIME: time::Duration = time::Duration::from_secs(5);
/// One try of an ordinary request. An instance that accepts no connections never answers.
const TRY_TIME: time::Duration = time::Duration::from_secs(5);

/// Only one of the crowds is there at a time.
static ONE_AT_A_TIME: sync::Mutex<()> = sync::Mutex::const_new(());

fn peak_kb(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn limit_descriptors(pid: u32) {
    let limit = libc::rlimit { rlim_cur: MAX_FDS, rlim_max: MAX_FDS };
    // SAFETY: both pointers are valid or null, and the process is a child that was not waited for.
    let set = unsafe {
        libc::prlimit(pid as libc::pid_t, libc::RLIMIT_NOFILE, &limit, std::ptr::null_mut())
    };
    assert_eq!(set, 0, "the limit of descriptors could not be set");
}

/// Lets `count` clients in that send `bytes` and keep their connections open, and then an ordinary request.
async fn play(name: &str, count: usize, bytes: Vec<u8>) {
    let _one = ONE_AT_A_TIME.lock().await;
    let fixture = fixture::Fixture::start(ADDRESS_TTL_MS).await;
    let instance = &fixture.instances[0];
    let pid = instance.process.id();
    limit_descriptors(pid);
    let mut clients = task::JoinSet::new();
    for _ in 0..count {
        let (address, bytes) = (instance.address, bytes.clone());
        clients.spawn(async move {
            let mut stream = TcpStream::connect(address).await.ok()?;
            // The instance may close the connection at any time.
            stream.write_all(&bytes).await.ok()?;
            Some(stream)
        });
    }
    let mut connected = Vec::new();
    let end = tokio::time::Instant::now() + CROWD_TIME;
    while let Ok(Some(stream)) = tokio::time::timeout_at(end, clients.join_next()).await {
        connected.push(stream);
    }
    tokio::time::sleep_until(end).await;
    let mut faults = Vec::new();
    let search = deployment::search_request("packets", "heirloom");
    let answer =
        deployment::call_with_timeout(instance.address, "/v1/search", Some(&search), TRY_TIME)
            .await;
    match answer {
        Some(deployment::Answer { status: 200, .. }) => {}
        other => faults.push(format!("an ordinary request: {other:?}")),
    }
    let peak_kb = peak_kb(pid);
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count() as u64;
    println!("{name}: {peak_kb} kB, {descriptors} descriptors, {faults:?}");
    if peak_kb >= deployment::MEMORY_MB << 10 {
        faults.push(format!("{peak_kb} kB of memory"));
    }
    if descriptors >= MAX_FDS {
        faults.push(format!("{descriptors} descriptors"));
    }
    drop(connected);
    assert!(faults.is_empty(), "{name}: {faults:?}");
}

fn head(framing: &str) -> String {
    format!(
        "POST /v1/search HTTP/1.1\r\nhost: test\r\ncontent-type: application/json\r\n{framing}\r\n"
    )
}

/// Guards against heads without end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_at_the_port_for_callers_do_not_fill_the_memory() {
    let filler = format!("x-filler: {}\r\n", "f".repeat(8 << 10));
    let text = head(&filler.repeat(HEAD_BYTES / filler.len()));
    play("heads", CROWD, text.into_bytes()).await;
}

/// Guards against chunks that cost many times their bytes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tiny_chunks_at_the_port_for_callers_do_not_fill_the_memory() {
    let text = head("transfer-encoding: chunked\r\n") + &"1\r\nx\r\n".repeat(TINY_CHUNKS_BYTES);
    play("tiny chunks", CROWD, text.into_bytes()).await;
}

/// Guards against idle connections that use up the descriptors, so that nobody else can connect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_at_the_port_for_callers_do_not_use_up_the_descriptors() {
    play("idle connections", IDLE_CROWD, Vec::new()).await;
}
