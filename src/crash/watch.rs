//! Shares suspected requests with the other hosts through the platform's table.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread::{self, JoinHandle},
    time::Duration,
};

use smol_str::SmolStr;

use super::{
    record,
    trial::{self, Foreign, Reservation},
};
use crate::{
    clock,
    clock::Moment,
    crash::{Crash, Record, Suspects, Suspicion, row},
    event,
    event::Event,
    id,
    store::{CallError, Commit, Row, Table, Write},
};

/// Notes that are written in one transaction.
const BATCH: usize = 128;
/// Notes that may wait for the store; further ones stay on this host.
const MAX_PENDING: usize = 1_024;
/// Time that a target is left to another host's suspect before it is asked for again.
const FOREIGN_TRIAL: Duration = Duration::from_millis(200);
/// Time between two tries of writes while the store does not answer.
const WRITE_RETRY: Duration = Duration::from_secs(1);
/// Times that a transaction is tried again because rows changed.
const MAX_CONFLICTS: u32 = 4;

/// How suspected requests are shared.
#[derive(Debug, Clone)]
pub struct Config {
    /// Time after which a suspect without a new crash is forgotten.
    pub memory: Duration,
    /// Time between two readings of the other hosts' notes.
    pub refresh: Duration,
    /// Time that the host of a crashed request waits for its note to be written.
    pub write_time: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            memory: Duration::from_secs(600),
            refresh: Duration::from_secs(5),
            write_time: Duration::from_millis(300),
        }
    }
}

/// Suspected requests of all hosts, as this one knows them.
#[derive(Debug)]
pub struct Watch<T> {
    config: Config,
    table: T,
    shared: Arc<Shared>,
    worker: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<Shelf>,
    changed: Condvar,
}

/// What to do with the row of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Note {
    /// Add the crashes that are known here.
    Add,
    /// Delete the row if it holds nothing beyond this.
    Clear(Record),
}

#[derive(Debug)]
struct Shelf {
    suspects: Suspects,
    pending: BTreeMap<id::Fingerprint, Note>,
    /// Trials that have ended and whose targets are still reserved.
    ended: Vec<Reservation>,
    foreign: Foreign,
    /// Earliest time of the next transaction, after one that failed.
    write_at: Moment,
    scan_at: Moment,
    stopped: bool,
}

/// The sole right of a suspect to be tried on a target; ends when dropped.
#[derive(Debug)]
pub struct Trial {
    shared: Arc<Shared>,
    reservation: Reservation,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Reservation { target, fingerprint, .. } = &self.reservation;
        let mut shelf = self.shared.lock();
        shelf.suspects.end_trial(*fingerprint, target);
        if shelf.ended.len() < MAX_PENDING {
            shelf.ended.push(self.reservation.clone());
        }
        self.shared.changed.notify_all();
    }
}

impl<T: Table> Watch<T> {
    /// Starts reading and writing the shared notes.
    ///
    /// # Errors
    /// Fails when the system has no thread left.
    pub fn start(config: Config, table: T) -> std::io::Result<Watch<T>> {
        let shelf = Shelf {
            suspects: Suspects::new(config.memory),
            pending: BTreeMap::new(),
            ended: Vec::new(),
            foreign: Foreign::default(),
            write_at: Moment::ZERO,
            scan_at: Moment::ZERO,
            stopped: false,
        };
        let shared = Arc::new(Shared { state: Mutex::new(shelf), changed: Condvar::new() });
        let worker =
            Worker { shared: Arc::clone(&shared), table: table.clone(), config: config.clone() };
        let worker = thread::Builder::new().name("crashes".to_owned()).spawn(|| worker.run())?;
        Ok(Watch { config, table, shared, worker: Some(worker) })
    }

    /// Returns what is known of a request.
    pub fn check(&self, fingerprint: id::Fingerprint) -> Suspicion {
        self.shared.lock().suspects.check(fingerprint, clock::now())
    }

    /// Notes that a target died while it ran a request, and returns what is known now.
    ///
    /// Waits a short time until the note is written, so that another host that gets the same request
    /// can know of it.
    pub fn crashed(&self, fingerprint: id::Fingerprint, crash: Crash) -> Suspicion {
        let target = crash.target.clone();
        let mut shelf = self.shared.lock();
        if shelf.suspects.crashed(fingerprint, crash, clock::now()) {
            event!(Event::TargetCrashed, "{target} died while it ran request {fingerprint:016x}");
        }
        shelf.note(fingerprint, Note::Add);
        self.shared.changed.notify_all();
        let (shelf, _) = self
            .shared
            .changed
            .wait_timeout_while(shelf, self.config.write_time, |it| {
                it.pending.contains_key(&fingerprint)
            })
            .expect("crash lock poisoned");
        shelf.suspects.check(fingerprint, clock::now())
    }

    /// Notes that a request ran to its end; a suspect is cleared.
    pub fn completed(&self, fingerprint: id::Fingerprint) {
        let mut shelf = self.shared.lock();
        if let Some(record) = shelf.suspects.completed(fingerprint, clock::now()) {
            shelf.note(fingerprint, Note::Clear(record));
            self.shared.changed.notify_all();
        }
    }

    /// Takes over what a peer tells of a request.
    pub fn learn(&self, fingerprint: id::Fingerprint, record: &Record) {
        self.shared.lock().suspects.learn(fingerprint, record, clock::now());
    }

    /// Returns the crashes of a request that are known here, to be told to peers.
    pub fn record(&self, fingerprint: id::Fingerprint) -> Record {
        self.shared.lock().suspects.record(fingerprint, clock::now())
    }

    /// Returns the targets on which other suspects are known to be tried now.
    pub fn taken(&self, fingerprint: id::Fingerprint) -> HashSet<id::Target> {
        self.shared.lock().suspects.taken(fingerprint, clock::now())
    }

    /// Reserves a target for a suspect; `None` while any host tries another suspect there.
    pub fn trial(&self, fingerprint: id::Fingerprint, target: &id::Target) -> Option<Trial> {
        if !self.shared.lock().suspects.begin_trial(fingerprint, target) {
            return None;
        }
        let token = rand::random();
        let reservation = Reservation { target: target.clone(), fingerprint, token };
        if self.reserve(&reservation) {
            return Some(Trial { shared: Arc::clone(&self.shared), reservation });
        }
        let mut shelf = self.shared.lock();
        shelf.suspects.end_trial(fingerprint, target);
        shelf.suspects.avoid(target, clock::now() + FOREIGN_TRIAL);
        None
    }

    fn reserve(&self, reservation: &Reservation) -> bool {
        let Ok(row) = trial::read(&self.table, &reservation.target) else { return true };
        if self.shared.lock().foreign.blocks(&row, clock::now()) {
            return false;
        }
        trial::reserve(&self.table, reservation, &row)
    }
}

impl<T> Drop for Watch<T> {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        self.shared.changed.notify_all();
        if let Some(worker) = self.worker.take() {
            let _ = worker.join();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Shelf> {
        self.state.lock().expect("crash lock poisoned")
    }
}

impl Shelf {
    fn note(&mut self, fingerprint: id::Fingerprint, note: Note) {
        if self.pending.len() < MAX_PENDING || self.pending.contains_key(&fingerprint) {
            self.pending.insert(fingerprint, note);
        }
    }

    /// Returns when the worker has something to do next.
    fn due(&self) -> Moment {
        let is_idle = self.pending.is_empty() && self.ended.is_empty();
        if is_idle { self.scan_at } else { self.scan_at.min(self.write_at) }
    }
}

/// The thread that reads and writes the shared notes.
struct Worker<T> {
    shared: Arc<Shared>,
    table: T,
    config: Config,
}

impl<T: Table> Worker<T> {
    fn run(self) {
        while self.wait() {
            self.release();
            self.write();
            self.scan();
        }
    }

    /// Waits until something is due; returns false when the watch has ended.
    fn wait(&self) -> bool {
        let mut shelf = self.shared.lock();
        loop {
            let now = clock::now();
            if shelf.stopped {
                return false;
            }
            if shelf.due() <= now {
                return true;
            }
            let time = shelf.due() - now;
            shelf = self.shared.changed.wait_timeout(shelf, time).expect("crash lock poisoned").0;
        }
    }

    /// Frees the targets of trials that have ended.
    fn release(&self) {
        let ended = std::mem::take(&mut self.shared.lock().ended);
        if ended.is_empty() || trial::release(&self.table, &ended) {
            return;
        }
        let mut shelf = self.shared.lock();
        shelf.ended.extend(ended);
        shelf.write_at = clock::now() + WRITE_RETRY;
    }

    fn write(&self) {
        let now = clock::now();
        let batch: Vec<_> = {
            let shelf = self.shared.lock();
            if now < shelf.write_at {
                return;
            }
            shelf.pending.iter().take(BATCH).map(|(key, note)| (*key, note.clone())).collect()
        };
        if batch.is_empty() {
            return;
        }
        let written = self.merge(&batch);
        let mut shelf = self.shared.lock();
        match written {
            Ok(()) => {
                for (fingerprint, note) in &batch {
                    if shelf.pending.get(fingerprint) == Some(note) {
                        shelf.pending.remove(fingerprint);
                    }
                }
            }
            Err(fault) => {
                shelf.write_at = now + WRITE_RETRY;
                log::debug!("cannot share suspected requests, trying again: {fault}");
            }
        }
        drop(shelf);
        self.shared.changed.notify_all();
    }

    /// Adds notes to their rows and takes over what other hosts wrote there.
    fn merge(&self, batch: &[(id::Fingerprint, Note)]) -> Result<(), CallError> {
        let keys: Vec<SmolStr> = batch.iter().map(|(key, _)| row(*key)).collect();
        for _ in 0..MAX_CONFLICTS {
            let rows = self.table.read(&keys)?;
            let rows: HashMap<_, _> = rows.iter().map(|it| (it.key.clone(), it)).collect();
            let writes: Vec<Write> =
                batch.iter().filter_map(|(key, note)| self.write_of(*key, note, &rows)).collect();
            if writes.is_empty() {
                return Ok(());
            }
            if let Commit::Done(_) = self.table.commit(&writes)? {
                return Ok(());
            }
        }
        Err(CallError::Refused("the rows keep changing".to_owned()))
    }

    /// Returns the write that brings a row up to date, if it is not so already.
    fn write_of(
        &self,
        fingerprint: id::Fingerprint,
        note: &Note,
        rows: &HashMap<SmolStr, &Row>,
    ) -> Option<Write> {
        let key = row(fingerprint);
        let row = rows.get(&key)?;
        let stored = Record::try_from(row.value.as_str()).unwrap_or_default();
        let value = match note {
            Note::Clear(known) if *known == stored && row.version != 0 => None,
            Note::Clear(_) => return None,
            Note::Add => {
                let merged = self.learn(fingerprint, &stored);
                if merged == stored {
                    return None;
                }
                Some(String::from(&merged))
            }
        };
        Some(Write { key, expected: row.version, value })
    }

    /// Takes over the crashes of a row and returns all that are known.
    fn learn(&self, fingerprint: id::Fingerprint, stored: &Record) -> Record {
        let now = clock::now();
        let mut shelf = self.shared.lock();
        shelf.suspects.learn(fingerprint, stored, now);
        shelf.suspects.record(fingerprint, now)
    }

    fn scan(&self) {
        let now = clock::now();
        {
            let mut shelf = self.shared.lock();
            if now < shelf.scan_at {
                return;
            }
            shelf.scan_at = now + self.config.refresh;
            for (fingerprint, record) in shelf.suspects.expire(now) {
                shelf.note(fingerprint, Note::Clear(record));
            }
        }
        if let Ok(rows) = self.table.scan(record::PREFIX) {
            self.take_over(&rows, now);
        }
    }

    fn take_over(&self, rows: &[Row], scanned: Moment) {
        let now = clock::now();
        let mut shelf = self.shared.lock();
        let mut shared = HashSet::new();
        for row in rows {
            let Some(fingerprint) = record::fingerprint(&row.key) else {
                continue;
            };
            let is_cleared = matches!(shelf.pending.get(&fingerprint), Some(Note::Clear(_)));
            if let (false, Ok(record)) = (is_cleared, Record::try_from(row.value.as_str())) {
                shared.insert(fingerprint);
                shelf.suspects.learn(fingerprint, &record, now);
            }
        }
        shared.extend(shelf.pending.iter().filter(|it| *it.1 == Note::Add).map(|it| *it.0));
        shelf.suspects.retain(&shared, scanned);
    }
}
