//! The project's binaries as child processes.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::mpsc::{Receiver, channel},
    thread,
};

use rustix::process::{Pid, Signal, kill_process};

use super::{HANG_GUARD, wait_for};

/// Line with which a stand-in tells its address.
pub(crate) const STANDIN_ADDRESS: &str = "listening on";
/// Line with which a daemon tells the callers' address.
pub(crate) const CALLERS_ADDRESS: &str = "callers";

/// A child process, killed when it is dropped.
pub(crate) struct Process {
    child: Child,
    lines: Receiver<String>,
    seen: Vec<String>,
    settings: Option<PathBuf>,
}

impl Process {
    /// Starts a stand-in with the arguments of `fuchsiaknot-standin`.
    pub(crate) fn standin(args: &[&str]) -> Process {
        Process::spawn(Command::new(env!("CARGO_BIN_EXE_fuchsiaknot-standin")).args(args))
    }

    /// Starts a daemon with a settings file that holds this text.
    pub(crate) fn daemon(settings: &str) -> Process {
        let name = format!("{}-{:016x}.ini", std::process::id(), rand::random::<u64>());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&path, settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_fuchsiaknotd"));
        let mut process = Process::spawn(command.arg("--settings").arg(&path));
        process.settings = Some(path);
        process
    }

    fn spawn(command: &mut Command) -> Process {
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn().unwrap();
        let stdout = BufReader::new(child.stdout.take().unwrap());
        let (sender, lines) = channel();
        thread::spawn(move || {
            for line in stdout.lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        Process { child, lines, seen: Vec::new(), settings: None }
    }

    /// Waits for the line `<prefix> <address>` on standard output.
    pub(crate) fn address(&mut self, prefix: &str) -> SocketAddr {
        loop {
            let found =
                self.seen.iter().find_map(|it| it.strip_prefix(prefix)?.trim().parse().ok());
            if let Some(it) = found {
                return it;
            }
            let line = self.lines.recv_timeout(HANG_GUARD);
            self.seen.push(line.unwrap_or_else(|_| panic!("no address: {:?}", self.seen)));
        }
    }

    /// Returns the process's identifier.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Pauses the process.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a paused process go on.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to end.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Returns whether the process still runs.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for the process to end and returns its exit code, if it was not a signal that ended
    /// it.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        wait_for("the process has ended", || self.child.try_wait().unwrap()).code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(it) = &self.settings {
            let _ = fs::remove_file(it);
        }
    }
}
