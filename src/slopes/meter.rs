//! Processor time, memory and bytes from the process's own counters.

use std::{fs, io, time::Duration};

use rustix::{
    param::page_size,
    time::{ClockId, clock_gettime},
};

use crate::link::http_client;

/// Whose processor time is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    /// The calling thread's.
    Thread,
    /// The whole process's.
    Process,
}

/// What something has cost.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Cost {
    /// Processor time, in microseconds.
    pub(super) cpu_us: f64,
    /// Growth of the resident memory, in bytes.
    pub(super) memory: f64,
    /// Resident memory of the process afterwards, in bytes.
    pub(super) resident: f64,
    /// Bytes sent and received over outgoing HTTP connections.
    pub(super) traffic: f64,
}

/// Runs `work` and returns its result, which is still held when memory is read, with its cost.
pub(super) fn measure<T>(
    scope: Scope,
    work: impl FnOnce() -> io::Result<T>,
) -> io::Result<(T, Cost)> {
    let (memory, traffic, cpu) = (self::resident()?, bytes(), cpu(scope));
    let result = work()?;
    let resident = self::resident()?;
    let cost = Cost {
        cpu_us: (self::cpu(scope).saturating_sub(cpu)).as_secs_f64() * 1e6,
        traffic: bytes() - traffic,
        memory: resident - memory,
        resident,
    };
    Ok((result, cost))
}

fn cpu(scope: Scope) -> Duration {
    let clock = match scope {
        Scope::Thread => ClockId::ThreadCPUTime,
        Scope::Process => ClockId::ProcessCPUTime,
    };
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

fn bytes() -> f64 {
    let traffic = http_client::traffic();
    (traffic.sent + traffic.received) as f64
}

/// Returns the resident memory of the process, in bytes.
pub(super) fn resident() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<f64>().ok());
    let pages = pages.ok_or(io::ErrorKind::InvalidData)?;
    Ok(pages * page_size() as f64)
}
