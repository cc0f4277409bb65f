//! Instances as the deploy file starts them, and the configuration and entries that they read.

use crate::base;
use std::fs;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Asks the kernel to send a signal when the parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

/// A zone of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Zone {
    /// Its name.
    pub name: &'static str,
    region: &'static str,
}

/// The zones of the deployment.
pub const ZONES: [Zone; 3] = [
    Zone { name: "north-uk-a", region: "north-uk" },
    Zone { name: "west-eu-b", region: "west-eu" },
    Zone { name: "nordic-c", region: "nordic" },
];

/// An instance in a process of its own; killed when dropped.
pub struct Instance {
    child: Child,
    /// Where clients connect.
    pub front: u16,
    ready: u16,
}

impl Instance {
    /// Starts an instance in a zone. `control` is its own control port, `seeds` those of all instances.
    pub fn start(
        folder: &Path,
        number: usize,
        zone: Zone,
        control: u16,
        seeds: &[u16],
        store: u16,
    ) -> Self {
        let [front, ready, directory, metrics] = base::free_ports();
        let Zone { name: zone, region } = zone;
        let seeds: Vec<String> =
            seeds.iter().take(3).map(|port| format!("\"127.0.0.1:{port}\"")).collect();
        let settings = format!(
            r#"nodeName = "front-{zone}-{number}"
role = "entry"
machineClass = "front"
serves = ["front","control","directory"]
ip = "127.0.0.1"
zone = "{zone}"
region = "{region}"
seedNodes = [{seeds}]
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
north-uk-a = "north-uk"
west-eu-b = "west-eu"
nordic-c = "nordic"
[listenAddrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 5000
ackMs = 6000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
outerMs = 15000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 52
recoveryS = 12
ttl_max_s = 5
[platform]
address = "127.0.0.1:{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#,
            seeds = seeds.join(",")
        );
        let file = folder.join(format!("settings-{number}.toml"));
        fs::write(&file, settings).unwrap();
        let log = fs::File::create(folder.join(format!("instance-{number}.log"))).unwrap();
        let mut command = Command::new("target/release/tarragondoor-platform");
        command
            .args(["--metrics-port", &metrics.to_string()])
            .env_clear()
            .env("TARRAGONDOOR_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit());
        // SAFETY: prctl is async-signal-safe and changes the child only, which ends with this process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|error| {
            crate::cannot_run(&format!("can't start the instance: {error}"))
        });
        Self { child, front, ready }
    }

    /// Waits until the instance is ready.
    pub fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.is_ready() {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        crate::cannot_run("an instance did not become ready within 20 s");
    }

    fn is_ready(&self) -> bool {
        let Ok(mut connection) = base::Connection::open(self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let asked = connection.send("GET", "/-/readiness", "ready", 1_000, b"");
        asked.and_then(|()| connection.receive()).is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A folder for settings and logs, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates a folder in the folder for temporary files.
    pub fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("tarragondoor-review-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// The limits of a configuration, as in the site file.
pub const LIMITS: &str = r#"{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}"#;

/// A service of a configuration.
pub fn service(name: &str, connections_max: u32) -> String {
    format!(
        r#"{{"name":"{name}","healthPath":"/health","maxConnections":{connections_max},"protocol":"h1","tls":false}}"#
    )
}

/// A configuration.
pub fn configuration(version: u64, routes: &[String], services: &[String]) -> Vec<u8> {
    let routes = routes.join(",");
    let services = services.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{LIMITS}}}"#
    )
    .into_bytes()
}
