//! Starts an instance with the command of the deploy file, and plays the platform's part towards it.

use crate::client;
use std::env;
use std::fs;
use std::io;
use std::net;
use std::os::unix::process::CommandExt as _;
use std::os::unix::process::ExitStatusExt as _;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

/// The `run` line of `deploy/system.toml`. The metrics port is on the instance's own loopback address.
const COMMAND: &str = "target/release/tarragondoor-platform --metrics-port 9464";
const METRICS_PORT: u16 = 9464;

/// The settings of a deployment that matter to its cases.
#[derive(Clone, Copy, Debug)]
pub struct Sheet {
    pub zones: &'static [(&'static str, &'static str)],
    pub memory_mb: u64,
    pub descriptors_max: u64,
    pub link_mbps: f64,
    pub cpu_share: f64,
    pub drain_ms: u64,
    pub config_apply_ms: u64,
    pub stability_ms: u64,
    pub retry_slack: u64,
}

/// All processes that were started, for ending them when a run is given up.
static CHILDREN: sync::Mutex<Vec<sync::Arc<sync::Mutex<process::Child>>>> =
    sync::Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    for child in CHILDREN.lock().unwrap().iter() {
        let mut child = child.lock().unwrap();
        // The process may have ended already.
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A running instance; killed on drop.
pub struct Instance {
    child: sync::Arc<sync::Mutex<process::Child>>,
    folder: path::PathBuf,
    pub front: net::SocketAddr,
    pub ready: net::SocketAddr,
    /// Set once the platform has killed the process for its memory: the bytes that it used.
    pub killed_at_bytes: sync::Arc<atomic::AtomicU64>,
    pub peak_bytes: sync::Arc<atomic::AtomicU64>,
}

impl Instance {
    /// Starts the only instance of a deployment and waits until it is ready.
    pub fn start(sheet: Sheet, store: net::SocketAddr, name: &str) -> io::Result<Self> {
        let folder = env::temp_dir().join(format!("review-2-{}-{name}", process::id()));
        fs::create_dir_all(&folder)?;
        let ports = free_ports()?;
        let [front, ready, ..] = ports;
        let settings = folder.join("settings.toml");
        fs::write(&settings, settings_text(sheet, name, ports, store))?;
        let mut instance = Self::spawn(sheet, folder, &settings, front, ready)?;
        instance.wait_until_ready(time::Duration::from_secs(10))?;
        Ok(instance)
    }

    fn spawn(
        sheet: Sheet,
        folder: path::PathBuf,
        settings: &path::Path,
        front: net::SocketAddr,
        ready: net::SocketAddr,
    ) -> io::Result<Self> {
        let child = start_process(sheet, &folder, settings)?;
        let instance = Self {
            child: sync::Arc::new(sync::Mutex::new(child)),
            folder,
            front,
            ready,
            killed_at_bytes: sync::Arc::default(),
            peak_bytes: sync::Arc::default(),
        };
        CHILDREN.lock().unwrap().push(instance.child.clone());
        instance.watch_memory(sheet.memory_mb << 20);
        Ok(instance)
    }

    /// Kills the process once it uses more than `limit_bytes`, as the platform does. Only what the process has allocated
    /// itself is counted, not the pages of its program file.
    fn watch_memory(&self, limit_bytes: u64) {
        let (child, killed, peak) =
            (self.child.clone(), self.killed_at_bytes.clone(), self.peak_bytes.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(time::Duration::from_millis(5));
                let mut child = child.lock().unwrap();
                let Some(used_bytes) = anonymous_bytes(child.id()) else {
                    continue;
                };
                peak.fetch_max(used_bytes, atomic::Ordering::Relaxed);
                if used_bytes <= limit_bytes {
                    continue;
                }
                if child.kill().is_ok() {
                    killed.store(used_bytes, atomic::Ordering::Relaxed);
                    return;
                }
            }
        });
    }

    /// Kills the process and starts it again with the same settings. Returns whether it became ready within `limit`.
    pub fn restart(&mut self, sheet: Sheet, limit: time::Duration) -> io::Result<bool> {
        {
            let mut child = self.child.lock().unwrap();
            child.kill()?;
            child.wait()?;
            *child = start_process(sheet, &self.folder, &self.folder.join("settings.toml"))?;
        }
        Ok(self.wait_until_ready(limit).is_ok())
    }

    fn wait_until_ready(&mut self, limit: time::Duration) -> io::Result<()> {
        let end = time::Instant::now() + limit;
        while time::Instant::now() < end {
            if self.is_ready(time::Duration::from_millis(500)) {
                return Ok(());
            }
            thread::sleep(time::Duration::from_millis(50));
        }
        Err(io::Error::other("the instance did not become ready"))
    }

    /// The platform's question on a new connection; `false` without a 200 in time.
    pub fn is_ready(&self, timeout: time::Duration) -> bool {
        let request = b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
        let Ok(mut connection) = client::Connection::open(self.ready, timeout) else {
            return false;
        };
        connection.send(request).is_ok()
            && connection.receive(timeout).is_some_and(|answer| answer.status() == 200)
    }

    /// How the process has ended; `None` while it runs.
    pub fn ended(&self) -> Option<String> {
        let status = self.child.lock().unwrap().try_wait().ok()??;
        Some(match status.signal() {
            Some(signal) => format!("signal {signal}"),
            None => status.to_string(),
        })
    }

    /// The number of descriptors that the process holds.
    pub fn descriptor_count(&self) -> usize {
        let id = self.child.lock().unwrap().id();
        fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        // The process may have ended already.
        let _ = child.kill();
        let _ = child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn start_process(
    sheet: Sheet,
    folder: &path::Path,
    settings: &path::Path,
) -> io::Result<process::Child> {
    let log = fs::File::options().create(true).append(true).open(folder.join("log"))?;
    let limit = sheet.descriptors_max;
    let mut command = process::Command::new("sh");
    command
        .args(["-c", &format!("ulimit -n {limit} && exec {COMMAND}")])
        .env("TARRAGONDOOR_NODE_FILE", settings)
        .stdin(process::Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log);
    // SAFETY: prctl(2) may be called between fork and exec.
    unsafe {
        command.pre_exec(|| {
            // The process must not outlive a run that is killed.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command.spawn()
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: std::ffi::c_ulong = 9;

unsafe extern "C" {
    fn prctl(option: i32, argument: std::ffi::c_ulong) -> i32;
}

/// The memory that a process has allocated; `None` if it has ended.
fn anonymous_bytes(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes << 10)
}

/// Free ports for front, ready, control and directory on a loopback address on which the metrics port is free too.
fn free_ports() -> io::Result<[net::SocketAddr; 4]> {
    let seed = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    for attempt in 0..50_u32 {
        let number = seed.subsec_nanos().wrapping_add(process::id()).wrapping_add(attempt * 7_919);
        let [_, b, c, d] = number.to_be_bytes();
        let ip = net::Ipv4Addr::new(127, b.clamp(1, 254), c.clamp(1, 254), d.clamp(2, 254));
        if net::TcpListener::bind((ip, METRICS_PORT)).is_err() {
            continue;
        }
        let mut listeners = Vec::new();
        for _ in 0..4 {
            listeners.push(net::TcpListener::bind((ip, 0))?);
        }
        let mut ports = [net::SocketAddr::from((ip, 0)); 4];
        for (port, listener) in ports.iter_mut().zip(&listeners) {
            *port = listener.local_addr()?;
        }
        return Ok(ports);
    }
    Err(io::Error::other("no loopback address with a free metrics port"))
}

fn settings_text(
    sheet: Sheet,
    name: &str,
    ports: [net::SocketAddr; 4],
    store: net::SocketAddr,
) -> String {
    let [front, ready, control, directory] = ports;
    let ip = front.ip();
    let (zone, region) = sheet.zones[0];
    let zones: Vec<String> =
        sheet.zones.iter().map(|(zone, region)| format!("{zone} = \"{region}\"")).collect();
    let Sheet {
        memory_mb,
        descriptors_max,
        link_mbps,
        cpu_share,
        drain_ms,
        config_apply_ms,
        stability_ms,
        retry_slack,
        ..
    } = sheet;
    format!(
        r#"nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPortRange = [7740,7755]
seedNodes = ["{control}"]
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
{zones}
[listenAddrs]
front = "{front}"
ready = "{ready}"
control = "{control}"
directory = "{directory}"
[limits]
cpuShare = {cpu_share}
cpuCores = 1
memoryMb = {memory_mb}
maxFds = {descriptors_max}
linkMbps = {link_mbps:?}
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = {stability_ms}
ackMs = 6000
catchUpS = 4
drainMs = {drain_ms}
graceS = 6
lossSlackMs = 200
configApplyMs = {config_apply_ms}
rollbackSlackMs = 250
outerMs = 15000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = {retry_slack}
recoveryS = 12
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#,
        zones = zones.join("\n"),
    )
}
