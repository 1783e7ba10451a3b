//! Suspects shared with the other hosts through the platform's table.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread::{self, JoinHandle},
    time::Duration,
};

use smol_str::SmolStr;

use super::{
    record,
    trial::{self, RemoteReservations, Reservation},
};
use crate::{
    clock,
    clock::Moment,
    crash::{Crash, Record, Status, Suspects, row_key},
    event,
    event::Event,
    id,
    store::{CallError, Commit, Row, Table, Write},
};

/// Maximum number of row updates in one transaction.
const MAX_BATCH: usize = 128;
/// Maximum number of row updates, and of ended trials, that wait to be written. Further updates
/// stay on this host, and the reservations of further trials stay until they count as abandoned.
const MAX_PENDING: usize = 1_024;
/// Delay before a target that another host has reserved is tried again.
const RESERVED_BACKOFF: Duration = Duration::from_millis(200);
/// Delay before writes are retried after the table failed.
const WRITE_BACKOFF: Duration = Duration::from_secs(1);
/// Attempts at a transaction whose rows other hosts keep changing.
const MAX_ATTEMPTS: u32 = 4;

/// Retention and timing of shared suspects.
#[derive(Debug, Clone)]
pub struct Config {
    /// Time after its last new crash at which a suspect expires.
    pub retention: Duration,
    /// Time between two scans of the rows that other hosts write.
    pub scan_every: Duration,
    /// Longest time that a host waits for the row of a crash to be written.
    pub write_timeout: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            retention: Duration::from_secs(600),
            scan_every: Duration::from_secs(5),
            write_timeout: Duration::from_millis(300),
        }
    }
}

/// Suspects of all hosts, as far as this host knows them; a thread reads and writes the table.
#[derive(Debug)]
pub struct Registry<T> {
    config: Config,
    table: T,
    shared: Arc<Shared>,
    worker: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A pending change to the row of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Update {
    /// Add the crashes that this host knows of.
    Add,
    /// Delete the row if its record equals this one.
    Clear(Record),
}

#[derive(Debug)]
struct State {
    suspects: Suspects,
    pending: BTreeMap<id::Fingerprint, Update>,
    /// Reservations of ended trials whose rows are still to be deleted.
    unreleased: Vec<Reservation>,
    remote_reservations: RemoteReservations,
    /// Earliest time of the next write, which is set back by [`WRITE_BACKOFF`] after a failure.
    next_write: Moment,
    next_scan: Moment,
    stopped: bool,
}

/// Exclusive trial of a suspect on a target; dropping it releases the target.
#[derive(Debug)]
pub struct Trial {
    shared: Arc<Shared>,
    reservation: Reservation,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Reservation { target, fingerprint, .. } = &self.reservation;
        let mut state = self.shared.lock();
        state.suspects.end_trial(*fingerprint, target);
        if state.unreleased.len() < MAX_PENDING {
            state.unreleased.push(self.reservation.clone());
        }
        self.shared.changed.notify_all();
    }
}

impl<T: Table> Registry<T> {
    /// Starts the thread that reads and writes the table.
    ///
    /// # Errors
    /// Fails when the thread cannot be started.
    pub fn start(config: Config, table: T) -> std::io::Result<Registry<T>> {
        let state = State {
            suspects: Suspects::new(config.retention),
            pending: BTreeMap::new(),
            unreleased: Vec::new(),
            remote_reservations: RemoteReservations::default(),
            next_write: Moment::ZERO,
            next_scan: Moment::ZERO,
            stopped: false,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let worker =
            Worker { shared: Arc::clone(&shared), table: table.clone(), config: config.clone() };
        let worker = thread::Builder::new().name("crashes".to_owned()).spawn(|| worker.run())?;
        Ok(Registry { config, table, shared, worker: Some(worker) })
    }

    /// Returns whether a request may be sent.
    pub fn status(&self, fingerprint: id::Fingerprint) -> Status {
        self.shared.lock().suspects.status(fingerprint, clock::now())
    }

    /// Records that a target died while running a request, and returns the request's new status.
    ///
    /// Waits up to `Config::write_timeout` for the row to be written, so that another host that
    /// receives the same request can learn of the crash.
    pub fn record_crash(&self, fingerprint: id::Fingerprint, crash: Crash) -> Status {
        let target = crash.target.clone();
        let mut state = self.shared.lock();
        if state.suspects.record_crash(fingerprint, crash, clock::now()) {
            event!(Event::TargetCrashed, "{target} died while it ran request {fingerprint:016x}");
        }
        state.enqueue(fingerprint, Update::Add);
        self.shared.changed.notify_all();
        let (state, _) = self
            .shared
            .changed
            .wait_timeout_while(state, self.config.write_timeout, |it| {
                it.pending.contains_key(&fingerprint)
            })
            .expect("crash lock poisoned");
        state.suspects.status(fingerprint, clock::now())
    }

    /// Records that a request ran to completion, which clears a suspect.
    pub fn record_completion(&self, fingerprint: id::Fingerprint) {
        let mut state = self.shared.lock();
        if let Some(record) = state.suspects.record_completion(fingerprint, clock::now()) {
            state.enqueue(fingerprint, Update::Clear(record));
            self.shared.changed.notify_all();
        }
    }

    /// Adds the crashes that a peer reports of a request.
    pub fn merge(&self, fingerprint: id::Fingerprint, record: &Record) {
        self.shared.lock().suspects.merge(fingerprint, record, clock::now());
    }

    /// Returns the crashes of a request that this host knows of, to be sent to peers.
    pub fn record(&self, fingerprint: id::Fingerprint) -> Record {
        self.shared.lock().suspects.record(fingerprint, clock::now())
    }

    /// Returns the targets on which other suspects are known to be on trial.
    pub fn targets_on_trial(&self, fingerprint: id::Fingerprint) -> HashSet<id::Target> {
        self.shared.lock().suspects.targets_on_trial(fingerprint, clock::now())
    }

    /// Reserves a target for a suspect; `None` while any host is trying a suspect there.
    pub fn begin_trial(&self, fingerprint: id::Fingerprint, target: &id::Target) -> Option<Trial> {
        if !self.shared.lock().suspects.begin_trial(fingerprint, target) {
            return None;
        }
        let token = rand::random();
        let reservation = Reservation { target: target.clone(), fingerprint, token };
        if self.reserve(&reservation) {
            return Some(Trial { shared: Arc::clone(&self.shared), reservation });
        }
        let mut state = self.shared.lock();
        state.suspects.end_trial(fingerprint, target);
        state.suspects.record_remote_trial(target, clock::now() + RESERVED_BACKOFF);
        None
    }

    fn reserve(&self, reservation: &Reservation) -> bool {
        let Ok(row) = trial::read(&self.table, &reservation.target) else { return true };
        if self.shared.lock().remote_reservations.blocks(&row, clock::now()) {
            return false;
        }
        trial::reserve(&self.table, reservation, &row)
    }
}

impl<T> Drop for Registry<T> {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        self.shared.changed.notify_all();
        if let Some(worker) = self.worker.take() {
            let _ = worker.join();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("crash lock poisoned")
    }
}

impl State {
    fn enqueue(&mut self, fingerprint: id::Fingerprint, update: Update) {
        if self.pending.len() < MAX_PENDING || self.pending.contains_key(&fingerprint) {
            self.pending.insert(fingerprint, update);
        }
    }

    /// Returns the time of the worker's next read or write.
    fn next_due(&self) -> Moment {
        let is_idle = self.pending.is_empty() && self.unreleased.is_empty();
        if is_idle { self.next_scan } else { self.next_scan.min(self.next_write) }
    }
}

/// The thread that reads and writes the table.
struct Worker<T> {
    shared: Arc<Shared>,
    table: T,
    config: Config,
}

impl<T: Table> Worker<T> {
    fn run(self) {
        while self.wait() {
            self.release_ended();
            self.write_pending();
            self.scan();
        }
    }

    /// Waits until a read or write is due; returns false once the registry is dropped.
    fn wait(&self) -> bool {
        let mut state = self.shared.lock();
        loop {
            let now = clock::now();
            if state.stopped {
                return false;
            }
            if state.next_due() <= now {
                return true;
            }
            let timeout = state.next_due() - now;
            state =
                self.shared.changed.wait_timeout(state, timeout).expect("crash lock poisoned").0;
        }
    }

    /// Deletes the reservations of trials that have ended.
    fn release_ended(&self) {
        let ended = std::mem::take(&mut self.shared.lock().unreleased);
        if ended.is_empty() || trial::release(&self.table, &ended) {
            return;
        }
        let mut state = self.shared.lock();
        state.unreleased.extend(ended);
        state.next_write = clock::now() + WRITE_BACKOFF;
    }

    fn write_pending(&self) {
        let now = clock::now();
        let batch: Vec<_> = {
            let state = self.shared.lock();
            if now < state.next_write {
                return;
            }
            state
                .pending
                .iter()
                .take(MAX_BATCH)
                .map(|(key, update)| (*key, update.clone()))
                .collect()
        };
        if batch.is_empty() {
            return;
        }
        let result = self.commit_batch(&batch);
        let mut state = self.shared.lock();
        match result {
            Ok(()) => {
                for (fingerprint, update) in &batch {
                    if state.pending.get(fingerprint) == Some(update) {
                        state.pending.remove(fingerprint);
                    }
                }
            }
            Err(err) => {
                state.next_write = now + WRITE_BACKOFF;
                log::debug!("cannot write the shared crash records, will retry: {err}");
            }
        }
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Applies updates to their rows and merges the crashes that other hosts wrote there.
    fn commit_batch(&self, batch: &[(id::Fingerprint, Update)]) -> Result<(), CallError> {
        let keys: Vec<SmolStr> = batch.iter().map(|(key, _)| row_key(*key)).collect();
        for _ in 0..MAX_ATTEMPTS {
            let rows = self.table.read(&keys)?;
            let rows: HashMap<_, _> = rows.iter().map(|it| (it.key.clone(), it)).collect();
            let writes: Vec<Write> = batch
                .iter()
                .filter_map(|(key, update)| self.row_write(*key, update, &rows))
                .collect();
            if writes.is_empty() {
                return Ok(());
            }
            if let Commit::Done(_) = self.table.commit(&writes)? {
                return Ok(());
            }
        }
        Err(CallError::Refused("the rows changed during every attempt".to_owned()))
    }

    /// Returns the write that applies an update; `None` when the row needs no change.
    fn row_write(
        &self,
        fingerprint: id::Fingerprint,
        update: &Update,
        rows: &HashMap<SmolStr, &Row>,
    ) -> Option<Write> {
        let key = row_key(fingerprint);
        let row = rows.get(&key)?;
        let stored = Record::try_from(row.value.as_str()).unwrap_or_default();
        let value = match update {
            Update::Clear(cleared) if *cleared == stored && row.version != 0 => None,
            Update::Clear(_) => return None,
            Update::Add => {
                let merged = self.merge_record(fingerprint, &stored);
                if merged == stored {
                    return None;
                }
                Some(String::from(&merged))
            }
        };
        Some(Write { key, expected: row.version, value })
    }

    /// Adds the crashes of a row to those known here and returns all of them.
    fn merge_record(&self, fingerprint: id::Fingerprint, stored: &Record) -> Record {
        let now = clock::now();
        let mut state = self.shared.lock();
        state.suspects.merge(fingerprint, stored, now);
        state.suspects.record(fingerprint, now)
    }

    fn scan(&self) {
        let now = clock::now();
        {
            let mut state = self.shared.lock();
            if now < state.next_scan {
                return;
            }
            state.next_scan = now + self.config.scan_every;
            for (fingerprint, record) in state.suspects.remove_expired(now) {
                state.enqueue(fingerprint, Update::Clear(record));
            }
        }
        if let Ok(rows) = self.table.scan(record::ROW_PREFIX) {
            self.merge_rows(&rows, now);
        }
    }

    fn merge_rows(&self, rows: &[Row], scanned: Moment) {
        let now = clock::now();
        let mut state = self.shared.lock();
        let mut shared = HashSet::new();
        for row in rows {
            let Some(fingerprint) = record::parse_row_key(&row.key) else {
                continue;
            };
            let is_cleared = matches!(state.pending.get(&fingerprint), Some(Update::Clear(_)));
            if let (false, Ok(record)) = (is_cleared, Record::try_from(row.value.as_str())) {
                shared.insert(fingerprint);
                state.suspects.merge(fingerprint, &record, now);
            }
        }
        shared.extend(state.pending.iter().filter(|it| *it.1 == Update::Add).map(|it| *it.0));
        state.suspects.retain_shared(&shared, scanned);
    }
}
