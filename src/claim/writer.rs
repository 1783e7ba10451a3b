//! Writes waiting operations to the table, as many as possible in one transaction.

use std::{
    collections::HashMap,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::Duration,
};

use smol_str::SmolStr;

use super::queue::{Operation, Queue, Settlement, Work};
use crate::{
    claim::{Found, Input, Ledger, Record, State},
    clock,
    clock::Moment,
    event,
    event::Event,
    id,
    store::{CallError, Commit, ObjectStore, Row, Table, Write},
};

/// Time to wait for further claims after a transaction that held several.
const WINDOW: Duration = Duration::from_millis(2);
/// Time that the end of a claim waits for a claim to share its transaction with.
const SETTLE_WINDOW: Duration = Duration::from_millis(5);
/// Time between two tries of settlements while the store does not answer.
const SETTLE_RETRY: Duration = Duration::from_millis(250);
/// Settlements that may wait for the store at once; further ones are dropped.
const SETTLEMENTS: usize = 8_192;

/// What the committer and its writer share.
#[derive(Debug, Default)]
pub(super) struct Shared {
    state: Mutex<Shelf>,
    changed: Condvar,
}

/// The part of the shared state that the lock guards.
#[derive(Debug, Default)]
pub(super) struct Shelf {
    /// Tokens of this run.
    pub(super) ledger: Ledger,
    /// Operations for the next transactions.
    queue: Queue,
    /// Settlements that failed and wait for their next try.
    deferred: Vec<Operation>,
    /// When the deferred settlements are queued again.
    retry_at: Moment,
    /// Operations that the writer is busy with.
    in_flight: usize,
    /// Whether the last transaction got no answer.
    pub(super) store_down: bool,
    stopped: bool,
    counts: Counts,
}

/// Work done so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Claims that were written.
    pub claims: u64,
    /// Ends of claims that were written.
    pub settlements: u64,
    /// Transactions sent to the table.
    pub transactions: u64,
    /// Reads sent to the table.
    pub reads: u64,
}

impl Shared {
    /// Locks the shared state.
    pub(super) fn lock(&self) -> MutexGuard<'_, Shelf> {
        self.state.lock().expect("claim lock poisoned")
    }

    /// Queues an operation for the next transaction.
    pub(super) fn submit(&self, operation: Operation) {
        self.lock().queue.push(operation);
        self.changed.notify_all();
    }

    /// Ends the writer once it has finished its transaction.
    pub(super) fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
    }

    /// Waits until nothing is left to write; returns false when the time is up before that.
    pub(super) fn flush(&self, time: Duration) -> bool {
        let shelf = self.lock();
        let (shelf, _) = self
            .changed
            .wait_timeout_while(shelf, time, |it| !it.is_idle())
            .expect("claim lock poisoned");
        shelf.is_idle()
    }

    /// Returns the work done so far.
    pub(super) fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Waits for operations; `None` when the writer must end.
    fn next(&self, window: Duration) -> Option<Vec<Operation>> {
        let mut shelf = self.wait_while(self.lock(), window, |it| !it.stopped);
        loop {
            shelf.requeue(clock::now());
            if !shelf.stopped && !shelf.queue.is_empty() {
                shelf = self
                    .wait_while(shelf, SETTLE_WINDOW, |it| !it.stopped && !it.queue.is_urgent());
            }
            if shelf.stopped {
                return None;
            }
            if !shelf.queue.is_empty() {
                let batch = shelf.queue.batch();
                shelf.in_flight = batch.len();
                return Some(batch);
            }
            shelf = self.await_work(shelf);
        }
    }

    /// Waits for at most `time`, while the condition holds.
    fn wait_while<'a>(
        &self,
        shelf: MutexGuard<'a, Shelf>,
        time: Duration,
        condition: impl FnMut(&mut Shelf) -> bool,
    ) -> MutexGuard<'a, Shelf> {
        self.changed.wait_timeout_while(shelf, time, condition).expect("claim lock poisoned").0
    }

    /// Waits for a change, or until deferred settlements are due.
    fn await_work<'a>(&'a self, shelf: MutexGuard<'a, Shelf>) -> MutexGuard<'a, Shelf> {
        if shelf.deferred.is_empty() {
            return self.changed.wait(shelf).expect("claim lock poisoned");
        }
        let due = shelf.retry_at.saturating_sub(clock::now());
        self.changed.wait_timeout(shelf, due).expect("claim lock poisoned").0
    }
}

impl Shelf {
    /// Notes whether the store answered and logs a change.
    fn note(&mut self, fault: Option<&CallError>) {
        let was_down = std::mem::replace(&mut self.store_down, fault.is_some());
        match fault {
            Some(fault) if !was_down => {
                event!(Event::TableDown, "claims cannot be written; check the platform: {fault}");
            }
            None if was_down => event!(Event::TableUp, "claims are written again"),
            _ => {}
        }
    }

    fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.deferred.is_empty() && self.in_flight == 0
    }

    /// Queues the deferred settlements again once they are due.
    fn requeue(&mut self, now: Moment) {
        if now < self.retry_at {
            return;
        }
        for operation in std::mem::take(&mut self.deferred) {
            self.queue.push(operation);
        }
    }

    fn defer(&mut self, row: SmolStr, settlement: Settlement) {
        let token = settlement.record.token;
        if self.deferred.is_empty() {
            self.retry_at = clock::now() + SETTLE_RETRY;
        }
        if self.deferred.len() < SETTLEMENTS {
            self.deferred.push(Operation { row, work: Work::Settle(settlement) });
        } else {
            self.ledger.lose(token);
        }
    }
}

/// The writer's thread: takes operations and performs them until it is stopped.
pub(super) struct Writer<T, O> {
    /// State shared with the committer.
    pub(super) shared: Arc<Shared>,
    /// The platform's table.
    pub(super) table: T,
    /// The platform's object store.
    pub(super) objects: O,
}

impl<T: Table, O: ObjectStore> Writer<T, O> {
    /// Runs until [`Shared::stop`].
    pub(super) fn run(self) {
        let mut window = Duration::ZERO;
        while let Some(batch) = self.shared.next(window) {
            let claims = batch.iter().filter(|it| it.is_urgent()).count();
            window = if 1 < claims { WINDOW } else { Duration::ZERO };
            self.perform(batch);
            let mut shelf = self.shared.lock();
            shelf.in_flight = 0;
            drop(shelf);
            self.shared.changed.notify_all();
        }
    }

    fn perform(&self, batch: Vec<Operation>) {
        let (writes, reads): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|it| it.write().is_some());
        if !reads.is_empty() {
            self.read(reads);
        }
        let mut writes = self.upload(writes);
        while !writes.is_empty() {
            writes = self.commit(writes);
        }
    }

    /// Stores the bodies that the writes refer to; a write whose body cannot be stored is deferred.
    fn upload(&self, writes: Vec<Operation>) -> Vec<Operation> {
        writes.into_iter().filter_map(|it| self.upload_body(it)).collect()
    }

    fn upload_body(&self, operation: Operation) -> Option<Operation> {
        let Operation { row, work: Work::Settle(mut settlement) } = operation else {
            return Some(operation);
        };
        if let (Some(name), Some(body)) = (settlement.record.object(), &settlement.upload) {
            if self.objects.put(name, body).is_err() {
                self.shared.lock().defer(row, settlement);
                return None;
            }
            settlement.upload = None;
        }
        Some(Operation { row, work: Work::Settle(settlement) })
    }

    /// Writes a transaction and returns the operations that must be tried again at once.
    fn commit(&self, operations: Vec<Operation>) -> Vec<Operation> {
        let writes: Vec<Write> = operations.iter().filter_map(Operation::write).collect();
        self.shared.lock().counts.transactions += 1;
        let outcome = self.table.commit(&writes);
        self.shared.lock().note(outcome.as_ref().err());
        match outcome {
            Ok(Commit::Done(versions)) if versions.len() == operations.len() => {
                self.committed(operations, &versions);
                Vec::new()
            }
            Ok(Commit::Conflict(rows)) if rows.iter().any(|it| has_row(&operations, &it.key)) => {
                self.conflicting(operations, &rows)
            }
            Ok(_) => self.failed(operations, &CallError::Lost("unusable answer".to_owned())),
            Err(fault) => self.failed(operations, &fault),
        }
    }

    fn committed(&self, operations: Vec<Operation>, versions: &[id::Version]) {
        let mut shelf = self.shared.lock();
        for (operation, version) in operations.into_iter().zip(versions) {
            match operation.work {
                Work::Claim { reply, .. } => {
                    shelf.counts.claims += 1;
                    let _ = reply.try_send(Input::Committed(*version));
                }
                Work::Settle(settlement) => {
                    shelf.counts.settlements += 1;
                    settled(&mut shelf.ledger, &settlement.record);
                }
                Work::Read { .. } => {}
            }
        }
    }

    /// Tells the operations whose rows differ and returns the others.
    fn conflicting(&self, operations: Vec<Operation>, rows: &[Row]) -> Vec<Operation> {
        let rows: HashMap<_, _> = rows.iter().map(|it| (it.key.clone(), it)).collect();
        let mut again = Vec::new();
        for operation in operations {
            let Some(row) = rows.get(&operation.row) else {
                again.push(operation);
                continue;
            };
            match operation.work {
                Work::Claim { reply, .. } => {
                    let _ = reply.try_send(Input::Conflict(Found::from(*row)));
                }
                Work::Settle(settlement) => self.reconsider(settlement, row),
                Work::Read { .. } => {}
            }
        }
        again
    }

    fn failed(&self, operations: Vec<Operation>, fault: &CallError) -> Vec<Operation> {
        for operation in operations {
            match operation.work {
                Work::Claim { reply, .. } => {
                    let _ = reply.try_send(match fault {
                        CallError::Refused(_) => Input::Refused,
                        CallError::Lost(_) => Input::Lost,
                    });
                }
                Work::Settle(settlement) => self.shared.lock().defer(operation.row, settlement),
                Work::Read { .. } => {}
            }
        }
        Vec::new()
    }

    fn read(&self, operations: Vec<Operation>) {
        let keys: Vec<SmolStr> = operations.iter().map(|it| it.row.clone()).collect();
        self.shared.lock().counts.reads += 1;
        let rows = self.table.read(&keys).unwrap_or_default();
        let rows: HashMap<_, _> = rows.iter().map(|it| (it.key.clone(), it)).collect();
        for operation in operations {
            let row = rows.get(&operation.row);
            match (operation.work, row) {
                (Work::Read { reply }, Some(row)) => {
                    let _ = reply.try_send(Input::Read(Found::from(*row)));
                }
                (Work::Read { reply }, None) => {
                    let _ = reply.try_send(Input::Unreadable);
                }
                (Work::Settle(settlement), Some(row)) => self.reconsider(settlement, row),
                (Work::Settle(settlement), None) => {
                    self.shared.lock().defer(operation.row, settlement);
                }
                (Work::Claim { .. }, _) => {}
            }
        }
    }

    /// Compares a settlement with its row as it stands, and writes it if the row is still its own.
    fn reconsider(&self, mut settlement: Settlement, row: &Row) {
        let own = match Found::from(row) {
            Found::Claim { version, record } if record.token == settlement.record.token => {
                settlement.version = Some(version);
                record.state == State::Claimed
            }
            _ => false,
        };
        if own {
            self.shared.submit(Operation { row: row.key.clone(), work: Work::Settle(settlement) });
        } else {
            settled(&mut self.shared.lock().ledger, &settlement.record);
        }
    }
}

/// Notes that the row of a settled claim needs nothing more.
fn settled(ledger: &mut Ledger, record: &Record) {
    if let State::Done(_) = record.state {
        ledger.stored(record.token);
    }
}

fn has_row(operations: &[Operation], key: &SmolStr) -> bool {
    operations.iter().any(|it| it.row == *key)
}
