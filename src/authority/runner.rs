//! The look that is taken at intervals, and what follows from it.

use std::sync::{Arc, Mutex, MutexGuard};

use smol_str::SmolStr;

use super::{
    Config, Fleet, Peers,
    lists::Lists,
    state::{Held, State},
    table,
};
use crate::{
    clock,
    clock::Moment,
    drain, event,
    event::Event,
    id,
    lease::{self, Owner},
    metric::Metrics,
    refresh::Snapshot,
    store::{Commit, Fault, Row, Table, Write},
    target::{Action, Role},
    timer::Timer,
};

/// Rounds of leases or orders in one look, so that a conflict or a next stage need not wait.
const ROUNDS: usize = 4;

/// This host does not hold the group's lease.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("this host does not hold the group; its holder is {}", holder.as_deref().unwrap_or("unknown"))]
pub struct NotHolder {
    /// Holder as last read.
    pub holder: Option<id::Host>,
}

/// Leases, orders and drains of one entry host; clones share them.
pub struct Authority<T, F, P> {
    pub(super) inner: Arc<Inner<T, F, P>>,
}

pub(super) struct Inner<T, F, P> {
    pub(super) owner: Owner,
    pub(super) config: Config,
    pub(super) table: T,
    pub(super) fleet: F,
    pub(super) peers: P,
    pub(super) metrics: Metrics,
    state: Mutex<State>,
    looking: Mutex<()>,
    publishing: Mutex<()>,
}

impl<T, F, P> Clone for Authority<T, F, P> {
    fn clone(&self) -> Authority<T, F, P> {
        Authority { inner: Arc::clone(&self.inner) }
    }
}

impl<T, F, P> std::fmt::Debug for Authority<T, F, P> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Authority").field("owner", &self.inner.owner).finish_non_exhaustive()
    }
}

impl<T: Table, F: Fleet, P: Peers> Authority<T, F, P> {
    /// Creates the runner of one run of a host.
    pub fn new(
        owner: Owner,
        config: Config,
        table: T,
        fleet: F,
        peers: P,
        metrics: Metrics,
    ) -> Authority<T, F, P> {
        let inner = Inner {
            owner,
            config,
            table,
            fleet,
            peers,
            metrics,
            state: Mutex::default(),
            looking: Mutex::default(),
            publishing: Mutex::default(),
        };
        Authority { inner: Arc::new(inner) }
    }

    /// Starts to look at what is due on the timer service.
    pub fn start(&self, timer: &Timer) {
        let it = self.clone();
        timer.every("authority", self.inner.config.tick, move |_| it.look());
    }

    /// Returns the rows that [`Authority::note_rows`] takes.
    pub fn rows(&self) -> Vec<SmolStr> {
        let state = self.state();
        state.groups.keys().flat_map(|it| [lease::row(it), crate::order::row(it)]).collect()
    }

    /// Notes rows that were read in one refresh; rows of other parts are passed over.
    pub fn note_rows(&self, snapshot: &Snapshot) {
        let received = clock::now();
        {
            let mut state = self.state();
            for row in &snapshot.rows {
                note_row(&mut state, row, received);
            }
            state.rows_read_at = Some(snapshot.sent);
        }
        self.publish_drains();
    }

    /// Asks for a change of a target's role.
    ///
    /// # Errors
    /// Fails when this host does not hold the group.
    pub fn request_role(
        &self,
        group: &str,
        target: &id::Target,
        role: Role,
    ) -> Result<(), NotHolder> {
        self.request(group, target, Action::Role(role))
    }

    /// Asks for any change of a target; it is ordered after a drain.
    ///
    /// # Errors
    /// Fails when this host does not hold the group.
    pub fn request(&self, group: &str, target: &id::Target, it: Action) -> Result<(), NotHolder> {
        self.with_tenure(group, |tenure| tenure.request(target, it))
    }

    /// Begins a drain that no order ends.
    ///
    /// # Errors
    /// Fails when this host does not hold the group.
    pub fn begin_drain(
        &self,
        group: &str,
        target: &id::Target,
        purpose: drain::Purpose,
    ) -> Result<(), NotHolder> {
        self.with_tenure(group, |tenure| tenure.begin_drain(target, purpose))
    }

    /// Ends a drain that no order ends.
    ///
    /// # Errors
    /// Fails when this host does not hold the group.
    pub fn end_drain(&self, group: &str, target: &id::Target) -> Result<(), NotHolder> {
        self.with_tenure(group, |tenure| tenure.end_drain(target))
    }

    /// Records an operator's word that the sender of a target's pending order can send it no more;
    /// returns whether there was a pending order. Any host may do so.
    ///
    /// # Errors
    /// Fails when the table refuses or does not answer; repeating is harmless.
    pub fn release(&self, group: &str, target: &str) -> Result<bool, Fault> {
        let key = crate::order::row(group);
        for _ in 0..ROUNDS {
            let rows = self.inner.table.read(std::slice::from_ref(&key))?;
            let Some(row) = rows.first() else { return Ok(false) };
            let Some(mut group) = table::group(row) else { return Ok(false) };
            if !group.release(target) {
                return Ok(false);
            }
            group.revision += 1;
            group.token = rand::random();
            let value = Some(crate::order::wire::Group::from(&group).text());
            let write = Write { key: key.clone(), expected: row.version, value };
            if let Commit::Done(_) = self.inner.table.commit(&[write])? {
                event!(Event::TargetReleased, "an operator released the target {target}");
                return Ok(true);
            }
        }
        Err(Fault::Refused("the group's row kept changing".to_owned()))
    }

    /// Gives all leases back from the next look on, and takes none.
    pub fn leave(&self) {
        self.state().leaving = true;
    }

    /// Returns whether this host holds no lease and sends no order.
    pub fn has_left(&self) -> bool {
        let now = clock::now();
        let state = self.state();
        state.sends.is_empty() && state.groups.values().all(|it| it.lease.epoch(now).is_none())
    }

    /// Looks once at what is due; concurrent calls take turns.
    pub fn look(&self) {
        let _turn = self.inner.looking.lock().expect("look lock poisoned");
        let lists = Lists::new(&self.inner.fleet.listing());
        self.track_groups(&lists);
        if self.is_read_due() {
            self.read_rows();
        }
        for _ in 0..ROUNDS {
            if !self.advance_leases(&lists) {
                break;
            }
        }
        self.note_tenures();
        self.advance_orders(&lists);
        self.ask_reports(&lists);
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().expect("authority lock poisoned")
    }

    pub(super) fn owner(&self) -> &Owner {
        &self.inner.owner
    }

    pub(super) fn fleet(&self) -> &F {
        &self.inner.fleet
    }

    /// Tells the fleet which targets get no new work.
    pub(super) fn publish_drains(&self) {
        let _turn = self.inner.publishing.lock().expect("publish lock poisoned");
        self.inner.fleet.set_drained(&self.drained_targets());
    }

    fn with_tenure(
        &self,
        group: &str,
        ask: impl FnOnce(&mut crate::order::Machine),
    ) -> Result<(), NotHolder> {
        let now = clock::now();
        let mut state = self.state();
        let Some(held) = state.groups.get_mut(group) else {
            return Err(NotHolder { holder: None });
        };
        let owner = held.lease.record().and_then(|it| it.owner.as_ref());
        let holder = owner.map(|it| it.host.clone());
        let epoch = held.lease.epoch(now);
        let tenure = epoch.and_then(|it| held.tenure_of(it)).ok_or(NotHolder { holder })?;
        ask(tenure);
        Ok(())
    }

    fn track_groups(&self, lists: &Lists) {
        let now = clock::now();
        let mut state = self.state();
        for group in lists.groups.keys() {
            state.groups.entry(group.clone()).or_insert_with(|| {
                let config = self.inner.config.lease.clone();
                Held::new(lease::Machine::new(self.inner.owner.clone(), config))
            });
        }
        let listed = |group: &id::Group| lists.groups.contains_key(group);
        state.groups.retain(|group, it| listed(group) || it.lease.epoch(now).is_some());
    }

    fn is_read_due(&self) -> bool {
        let mut state = self.state();
        let read_now = std::mem::take(&mut state.read_now);
        let due =
            state.rows_read_at.is_none_or(|it| it + self.inner.config.read_every <= clock::now());
        let unsettled = state.groups.values().any(|it| it.lease.open().is_some());
        read_now || due || unsettled
    }

    fn read_rows(&self) {
        let keys = self.rows();
        if keys.is_empty() {
            return;
        }
        let sent = clock::now();
        match self.inner.table.read(&keys) {
            Ok(rows) => self.note_rows(&Snapshot { sent, rows }),
            Err(fault) => log::debug!("the rows of the groups cannot be read: {fault}"),
        }
    }
}

/// Notes a row of a lease or of a group.
pub(super) fn note_row(state: &mut State, row: &Row, received: Moment) {
    if let Some(group) = row.key.strip_prefix(lease::ROW_PREFIX) {
        let (Some(held), Some(record)) = (state.groups.get_mut(group), table::record(row)) else {
            return;
        };
        held.lease.observe(row.version, record, received);
    } else if let Some(group) = row.key.strip_prefix(crate::order::ROW_PREFIX) {
        let (Some(held), Some(contents)) = (state.groups.get_mut(group), table::group(row)) else {
            return;
        };
        if let Some(tenure) = &mut held.tenure {
            tenure.observe(row.version, contents.clone(), received);
        }
        if held.row.as_ref().is_none_or(|it| it.revision <= contents.revision) {
            held.row = Some(contents);
        }
    }
}
