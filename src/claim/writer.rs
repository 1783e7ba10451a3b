//! Background thread that sends pending operations to the table, several in one transaction.

use std::{
    collections::HashMap,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::Duration,
};

use smol_str::SmolStr;

use super::queue::{Kind, Operation, Queue, Settlement};
use crate::{
    claim::{Input, Record, Registry, RowContents, State},
    clock,
    clock::Moment,
    event,
    event::Event,
    id,
    store::{CallError, Commit, ObjectStore, Row, Table, Write},
};

/// Time to wait for further operations after a batch with more than one claim or read.
const BATCH_WINDOW: Duration = Duration::from_millis(2);
/// Time that a settlement waits for a claim or read to share its batch with.
const SETTLEMENT_WINDOW: Duration = Duration::from_millis(5);
/// Delay before settlements that failed are retried.
const SETTLEMENT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Largest number of failed settlements that wait for a retry; further ones are dropped.
const MAX_DEFERRED_SETTLEMENTS: usize = 8_192;

/// State shared by the committer, its grants and its writer, with the lock and its condition
/// variable.
#[derive(Debug, Default)]
pub(super) struct Shared {
    state: Mutex<SharedState>,
    changed: Condvar,
}

/// The data behind the lock of [`Shared`].
#[derive(Debug, Default)]
pub(super) struct SharedState {
    /// Claim tokens of this host process.
    pub(super) registry: Registry,
    /// Operations for the next transactions.
    queue: Queue,
    /// Settlements that failed and wait for a retry.
    deferred: Vec<Operation>,
    /// When the deferred settlements are queued again.
    retry_at: Moment,
    /// Number of operations that the writer is executing.
    in_flight: usize,
    /// Whether the last transaction failed.
    pub(super) store_down: bool,
    stopped: bool,
    counts: Counts,
}

/// Numbers of table operations since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Claims that were written.
    pub claims: u64,
    /// Settlements that were written.
    pub settlements: u64,
    /// Transactions sent to the table.
    pub transactions: u64,
    /// Reads sent to the table.
    pub reads: u64,
}

impl Shared {
    /// Locks the shared state.
    pub(super) fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.state.lock().expect("claim lock poisoned")
    }

    /// Queues an operation for the next transaction.
    pub(super) fn submit(&self, operation: Operation) {
        self.lock().queue.push(operation);
        self.changed.notify_all();
    }

    /// Stops the writer after its current batch.
    pub(super) fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
    }

    /// Waits until no operation is pending; returns false if the timeout expires first.
    pub(super) fn flush(&self, timeout: Duration) -> bool {
        let state = self.lock();
        let (state, _) = self
            .changed
            .wait_timeout_while(state, timeout, |it| !it.is_idle())
            .expect("claim lock poisoned");
        state.is_idle()
    }

    /// Returns the numbers of table operations since the start.
    pub(super) fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Waits up to `window` for operations to collect, then returns the next batch, or `None` once
    /// the writer must stop.
    fn next_batch(&self, window: Duration) -> Option<Vec<Operation>> {
        let mut state = self.wait_while(self.lock(), window, |it| !it.stopped);
        loop {
            state.requeue_due(clock::now());
            if !state.stopped && !state.queue.is_empty() {
                state = self.wait_while(state, SETTLEMENT_WINDOW, |it| {
                    !it.stopped && !it.queue.has_waiter()
                });
            }
            if state.stopped {
                return None;
            }
            if !state.queue.is_empty() {
                let batch = state.queue.take_batch();
                state.in_flight = batch.len();
                return Some(batch);
            }
            state = self.wait_for_work(state);
        }
    }

    /// Waits while the condition holds, for at most `timeout`.
    fn wait_while<'a>(
        &self,
        state: MutexGuard<'a, SharedState>,
        timeout: Duration,
        condition: impl FnMut(&mut SharedState) -> bool,
    ) -> MutexGuard<'a, SharedState> {
        self.changed.wait_timeout_while(state, timeout, condition).expect("claim lock poisoned").0
    }

    /// Waits for a change of the state, or until deferred settlements are due.
    fn wait_for_work<'a>(
        &'a self,
        state: MutexGuard<'a, SharedState>,
    ) -> MutexGuard<'a, SharedState> {
        if state.deferred.is_empty() {
            return self.changed.wait(state).expect("claim lock poisoned");
        }
        let due = state.retry_at.saturating_sub(clock::now());
        self.changed.wait_timeout(state, due).expect("claim lock poisoned").0
    }
}

impl SharedState {
    /// Records whether the last transaction failed, and logs when that changes.
    fn record_store_health(&mut self, err: Option<&CallError>) {
        let was_down = std::mem::replace(&mut self.store_down, err.is_some());
        match err {
            Some(err) if !was_down => {
                event!(Event::TableDown, "claims cannot be written; check the platform: {err}");
            }
            None if was_down => event!(Event::TableUp, "claims are written again"),
            _ => {}
        }
    }

    fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.deferred.is_empty() && self.in_flight == 0
    }

    /// Queues the deferred settlements again once they are due.
    fn requeue_due(&mut self, now: Moment) {
        if now < self.retry_at {
            return;
        }
        for operation in std::mem::take(&mut self.deferred) {
            self.queue.push(operation);
        }
    }

    /// Keeps a failed settlement for a retry. If too many are waiting, drops it and marks the
    /// request's outcome as unknown.
    fn defer(&mut self, row: SmolStr, settlement: Settlement) {
        let token = settlement.record.token;
        if self.deferred.is_empty() {
            self.retry_at = clock::now() + SETTLEMENT_RETRY_DELAY;
        }
        if self.deferred.len() < MAX_DEFERRED_SETTLEMENTS {
            self.deferred.push(Operation { row, kind: Kind::Settle(settlement) });
        } else {
            self.registry.mark_unknown(token);
        }
    }
}

/// The writer thread, which executes queued operations until it is stopped.
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
        while let Some(batch) = self.shared.next_batch(window) {
            let waiters = batch.iter().filter(|it| it.has_waiter()).count();
            window = if 1 < waiters { BATCH_WINDOW } else { Duration::ZERO };
            self.execute(batch);
            let mut state = self.shared.lock();
            state.in_flight = 0;
            drop(state);
            self.shared.changed.notify_all();
        }
    }

    fn execute(&self, batch: Vec<Operation>) {
        let (writes, reads): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|it| it.to_write().is_some());
        if !reads.is_empty() {
            self.read(reads);
        }
        let mut writes = self.upload(writes);
        while !writes.is_empty() {
            writes = self.commit(writes);
        }
    }

    /// Uploads the bodies that the writes refer to. A settlement whose upload fails is deferred and
    /// left out of the result.
    fn upload(&self, writes: Vec<Operation>) -> Vec<Operation> {
        writes.into_iter().filter_map(|it| self.upload_body(it)).collect()
    }

    fn upload_body(&self, operation: Operation) -> Option<Operation> {
        let Operation { row, kind: Kind::Settle(mut settlement) } = operation else {
            return Some(operation);
        };
        if let (Some(name), Some(body)) = (settlement.record.body_object(), &settlement.upload) {
            if self.objects.put(name, body).is_err() {
                self.shared.lock().defer(row, settlement);
                return None;
            }
            settlement.upload = None;
        }
        Some(Operation { row, kind: Kind::Settle(settlement) })
    }

    /// Commits the operations in one transaction and returns those that must be retried
    /// immediately.
    fn commit(&self, operations: Vec<Operation>) -> Vec<Operation> {
        let writes: Vec<Write> = operations.iter().filter_map(Operation::to_write).collect();
        self.shared.lock().counts.transactions += 1;
        let outcome = self.table.commit(&writes);
        self.shared.lock().record_store_health(outcome.as_ref().err());
        match outcome {
            Ok(Commit::Done(versions)) if versions.len() == operations.len() => {
                self.handle_committed(operations, &versions);
                Vec::new()
            }
            Ok(Commit::Conflict(rows)) if rows.iter().any(|it| has_row(&operations, &it.key)) => {
                self.handle_conflict(operations, &rows)
            }
            Ok(_) => self.handle_failure(
                operations,
                &CallError::Lost("the response does not match the transaction".to_owned()),
            ),
            Err(err) => self.handle_failure(operations, &err),
        }
    }

    fn handle_committed(&self, operations: Vec<Operation>, versions: &[id::Version]) {
        let mut state = self.shared.lock();
        for (operation, version) in operations.into_iter().zip(versions) {
            match operation.kind {
                Kind::Claim { reply, .. } => {
                    state.counts.claims += 1;
                    let _ = reply.try_send(Input::Committed(*version));
                }
                Kind::Settle(settlement) => {
                    state.counts.settlements += 1;
                    mark_settled(&mut state.registry, &settlement.record);
                }
                Kind::Read { .. } => {}
            }
        }
    }

    /// Handles the operations whose rows conflicted and returns the others for another transaction.
    fn handle_conflict(&self, operations: Vec<Operation>, rows: &[Row]) -> Vec<Operation> {
        let rows: HashMap<_, _> = rows.iter().map(|it| (it.key.clone(), it)).collect();
        let mut remaining = Vec::new();
        for operation in operations {
            let Some(row) = rows.get(&operation.row) else {
                remaining.push(operation);
                continue;
            };
            match operation.kind {
                Kind::Claim { reply, .. } => {
                    let _ = reply.try_send(Input::Conflict(RowContents::from(*row)));
                }
                Kind::Settle(settlement) => self.resubmit_if_owned(settlement, row),
                Kind::Read { .. } => {}
            }
        }
        remaining
    }

    fn handle_failure(&self, operations: Vec<Operation>, err: &CallError) -> Vec<Operation> {
        for operation in operations {
            match operation.kind {
                Kind::Claim { reply, .. } => {
                    let _ = reply.try_send(match err {
                        CallError::Refused(_) => Input::Refused,
                        CallError::Lost(_) => Input::ResponseLost,
                    });
                }
                Kind::Settle(settlement) => self.shared.lock().defer(operation.row, settlement),
                Kind::Read { .. } => {}
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
            match (operation.kind, row) {
                (Kind::Read { reply }, Some(row)) => {
                    let _ = reply.try_send(Input::Read(RowContents::from(*row)));
                }
                (Kind::Read { reply }, None) => {
                    let _ = reply.try_send(Input::ReadFailed);
                }
                (Kind::Settle(settlement), Some(row)) => self.resubmit_if_owned(settlement, row),
                (Kind::Settle(settlement), None) => {
                    self.shared.lock().defer(operation.row, settlement);
                }
                (Kind::Claim { .. }, _) => {}
            }
        }
    }

    /// Queues a settlement again if its row still holds the same claim without a final state;
    /// otherwise there is nothing left to write.
    fn resubmit_if_owned(&self, mut settlement: Settlement, row: &Row) {
        let is_owned = match RowContents::from(row) {
            RowContents::Claim { version, record } if record.token == settlement.record.token => {
                settlement.version = Some(version);
                record.state == State::Claimed
            }
            _ => false,
        };
        if is_owned {
            self.shared.submit(Operation { row: row.key.clone(), kind: Kind::Settle(settlement) });
        } else {
            mark_settled(&mut self.shared.lock().registry, &settlement.record);
        }
    }
}

/// Removes the token of a claim that is done from the registry, after its row was written or taken
/// over.
fn mark_settled(registry: &mut Registry, record: &Record) {
    if let State::Done(_) = record.state {
        registry.mark_stored(record.token);
    }
}

fn has_row(operations: &[Operation], key: &SmolStr) -> bool {
    operations.iter().any(|it| it.row == *key)
}
