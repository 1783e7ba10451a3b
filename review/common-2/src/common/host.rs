//! Entry hosts as child processes, started with the command of the deploy file.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

use super::{WAIT_TIMEOUT, caller::Caller};

/// Command of `deploy/system.toml`.
const COMMAND: [&str; 3] = ["target/release/fuchsiaknot-entry", "--metrics-port", "9464"];
const FRONT_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const DIRECTORY_PORT: u16 = 8143;

/// An entry host; dropping it kills the process.
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) front: SocketAddr,
    pub(crate) ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns a loopback network of which no ports are in use.
pub(crate) fn free_network() -> [u8; 3] {
    for _ in 0..1000 {
        let network = [127, 1 + rand::random::<u8>() % 250, 1 + rand::random::<u8>() % 250];
        let [a, b, c] = network;
        let is_free = (1..=9).all(|last| {
            [FRONT_PORT, READY_PORT, DIRECTORY_PORT, 9464, 7380]
                .iter()
                .all(|port| TcpListener::bind((Ipv4Addr::new(a, b, c, last), *port)).is_ok())
        });
        if is_free {
            return network;
        }
    }
    panic!("no free loopback addresses");
}

impl Host {
    /// Prepares a host of a small deployment.
    pub(crate) fn new(folder: &Path, network: [u8; 3], number: u8, store: SocketAddr) -> Host {
        let [a, b, c] = network;
        let ip = Ipv4Addr::new(a, b, c, number);
        let name = format!("front-bud-a-{number}");
        let text = format!(
            "NodeName={name}\nRole=entry\nMachineClass=front\nServes=front,directory\nIp={ip}\n\
             Zone=bud-a\nRegion=hu-central\nZones.bud-a=hu-central\n\
             Listen.Front={ip}:{FRONT_PORT}\nListen.Ready={ip}:{READY_PORT}\n\
             Listen.Directory={ip}:{DIRECTORY_PORT}\nInternalPorts=7380,7395\nBootstrap=true\n\
             InFaultBudget=false\nLimits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=260\n\
             Limits.MaxFds=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0\nDiscovery=platform\n\
             Entry=directory\nHeartbeatMs=1200\n\
             Contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform\n\
             FaultTolerance.Machines=1\nFaultTolerance.Zones=0\nFaultTolerance.Regions=0\n\
             Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.ContactMs=3000\nBounds.AckMs=4000\n\
             Bounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n\
             Bounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\nBounds.MaxSkewMs=5000\n\
             Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.BudgetSlack=58\n\
             Bounds.RecoveryS=12\nBounds.TransitMs=120\nBounds.ReuseWindowS=5.3\n\
             Bounds.RequireFencing=true\nBounds.LeaseMs=3000\nBounds.ThawMs=300\n\
             Bounds.ttl_max_s=5\nPlatform.Address={store}\nPlatform.form=table\n\
             Platform.WritesPerS=400\nPlatform.ReadsPerS=2000\nPlatform.TxMs=8.0\n\
             Platform.PartitionWritesS=150\nPlatform.RowBytes=65536\nPlatform.Across=false\n\
             Platform.HistoryS=20\nPlatform.BlobBytes=8388608\nPlatform.BlobMs=25.0\n\
             Platform.BlobMbS=80.0\n"
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings can be written");
        Host {
            front: SocketAddr::from((ip, FRONT_PORT)),
            ready: SocketAddr::from((ip, READY_PORT)),
            log: folder.join(format!("{name}.log")),
            name,
            settings,
            child: None,
        }
    }

    /// Starts the process.
    pub(crate) fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new(COMMAND[0])
            .args(&COMMAND[1..])
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("FUCHSIAKNOT_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the entry host can be started");
        self.child = Some(child);
    }

    pub(crate) fn is_ready(&self) -> bool {
        let Ok(mut caller) = Caller::try_connect(self.ready) else { return false };
        caller.try_send("GET", "/-/ready", "", "").is_ok()
            && caller.read_response().is_some_and(|it| it.status() == 200)
    }

    /// Waits until the host says that it is ready; returns whether it does.
    pub(crate) fn wait_until_ready(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        let _ = kill_process(Pid::from_child(child), signal);
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the log lines that contain a text.
    pub(crate) fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|it| it.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
