//! The entry host as a child process, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use crate::{client, loopback_address, wait_until};

/// Path of the program in the repository, as in deploy/system.toml.
const PROGRAM: &str = "target/release/fuchsiaknot-entry";
const PORTS: [u16; 5] = [8149, 8141, 8143, 7380, 9464];

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Signals that a case sends.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    Hup = 1,
    Kill = 9,
    Term = 15,
    Cont = 18,
    Stop = 19,
}

/// A running entry host; dropping it kills the process.
pub struct Entry {
    pub name: String,
    pub ip: Ipv4Addr,
    zone: String,
    store: SocketAddr,
    settings: String,
    folder: PathBuf,
    child: Option<Child>,
    runs: u32,
}

/// Returns the settings that all small deployments share, as DEPLOY.md shows them.
pub fn settings() -> String {
    "Role=entry\nMachineClass=front\nServes=front,directory\nRegion=hu-central\n\
     Zones.bud-a=hu-central\nZones.bud-b=hu-central\nZones.bud-c=hu-central\nBootstrap=true\n\
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
     Bounds.RequireFencing=true\nBounds.LeaseMs=3000\nBounds.ThawMs=300\nBounds.ttl_max_s=5\n\
     Platform.form=table\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\nPlatform.TxMs=8.0\n\
     Platform.PartitionWritesS=150\nPlatform.RowBytes=65536\nPlatform.Across=false\n\
     Platform.HistoryS=20\nPlatform.BlobBytes=8388608\nPlatform.BlobMs=25.0\nPlatform.BlobMbS=80.0\n"
        .to_owned()
}

impl Entry {
    /// Starts a host; its settings file and its log go into `folder`.
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
        settings: &str,
    ) -> Entry {
        let mut entry = Entry {
            name: name.to_owned(),
            ip: loopback_address(&PORTS),
            zone: zone.to_owned(),
            store,
            settings: settings.to_owned(),
            folder: folder.to_owned(),
            child: None,
            runs: 0,
        };
        entry.spawn();
        entry
    }

    /// Starts the process, again after it has ended.
    pub fn spawn(&mut self) {
        self.runs += 1;
        let Entry { name, ip, zone, store, settings, .. } = &*self;
        let text = format!(
            "NodeName={name}\nIp={ip}\nZone={zone}\nListen.Front={ip}:8149\nListen.Ready={ip}:8141\n\
             Listen.Directory={ip}:8143\nInternalPorts=7380,7395\nPlatform.Address={store}\n{settings}"
        );
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, text).expect("a settings file");
        let log =
            File::create(self.folder.join(format!("{name}-{}.log", self.runs))).expect("a log");
        let child = Command::new(PROGRAM)
            .args(["--metrics-port", "9464"])
            .env_clear()
            .envs(
                std::env::vars().filter(|(it, _)| ["PATH", "HOME", "LANG"].contains(&it.as_str())),
            )
            .env("FUCHSIAKNOT_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        self.child = child.ok();
    }

    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8149))
    }

    /// Returns whether the process was started.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ready = SocketAddr::from((self.ip, 8141));
        client::get(ready, "/-/ready").is_ok_and(|it| it.status() == 200)
    }

    /// Waits until the host is ready; returns whether it is.
    pub fn wait_until_ready(&self) -> bool {
        wait_until(Duration::from_secs(15), || self.is_ready())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // SAFETY: a call without memory.
            unsafe {
                kill(child.id() as i32, signal as i32);
            }
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|it| it.try_wait().is_ok_and(|it| it.is_some()))
    }

    /// Returns the log lines of the current run that have a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let path = self.folder.join(format!("{}-{}.log", self.name, self.runs));
        let log = fs::read_to_string(path).unwrap_or_default();
        log.lines().filter(|it| it.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
