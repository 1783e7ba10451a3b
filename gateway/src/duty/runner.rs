//! Keeps the lease of the duties: reads and writes its record, and tells the other hosts.

use std::{rc::Rc, time::Duration};

use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
    lease::{Attempt, Owner, Purpose, Record, wire},
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    cluster::messages::{self, Kind, Message},
    context::Context,
    duty::{
        self, Credential, MAX_CALL_TIME,
        lease::{Claim, Config, Lease, Role},
    },
    store::{Outcome, Store},
};

/// Key of the record.
const RECORD_KEY: &str = "lease";
/// Interval at which candidates and the holder check what is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The same for all other hosts.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed call to the store, before jitter.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Number of renewals after which the holder makes itself known to all hosts, beside the candidates.
const RENEWALS_PER_BROADCAST: u64 = 4;

/// The sender holds the duties, or has released them.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Announcement {
    era: id::Era,
    version: id::Version,
    epoch: id::Epoch,
    is_released: bool,
}

impl Message for Announcement {
    const KIND: Kind = 20;
}

impl From<Claim> for Announcement {
    fn from(claim: Claim) -> Announcement {
        let Claim { era, version, epoch, is_released } = claim;
        Announcement { era, version, epoch, is_released }
    }
}

impl From<Announcement> for Claim {
    fn from(announcement: Announcement) -> Claim {
        let Announcement { era, version, epoch, is_released } = announcement;
        Claim { era, version, epoch, is_released }
    }
}

/// Keeps the lease of the duties, forever; does nothing if the deployment has no duties.
pub async fn run<S: Store>(context: Rc<Context>, store: S) {
    let Some(settings) = &context.settings.duties else { return };
    let host = &context.settings.host;
    let owner = Owner { host: host.name.clone(), incarnation: host.incarnation };
    let lease = Lease::new(owner, Config::new(settings.turn_interval), clock::now());
    context.state_mut().duties.lease = Some(lease);
    context.handlers.register(handle_announcement);
    let mut runner = Runner { context: Rc::clone(&context), store, left_at: None, renewals: 0 };
    loop {
        let role = runner.role();
        runner.step(role).await;
        let is_held = context.state().duties.tenure(clock::now()).is_some();
        let time = if role == Role::Bystander && !is_held { IDLE_INTERVAL } else { CHECK_INTERVAL };
        tokio::select! {
            () = sleep(time) => {}
            () = context.shutdown_started.notified() => {}
        }
    }
}

fn handle_announcement(context: &Rc<Context>, sender: id::Host, announcement: Announcement) {
    let (mut state, now) = (context.state_mut(), clock::now());
    let holder = Credential { holder: sender, epoch: announcement.epoch };
    if let Some(lease) = &mut state.duties.lease {
        lease.observe_claim(announcement.into(), now);
    }
    state.duties.set_holder(holder);
    update_tenure(context, &mut state.duties, now);
}

/// Brings the state in line with the lease, and logs and counts a change.
fn update_tenure(context: &Context, duties: &mut duty::State, now: Moment) {
    let before = duties.tenure.take();
    let lease = duties.lease.as_ref().filter(|_| !duties.is_leaving);
    duties.tenure = lease.and_then(|it| it.tenure(now));
    let epoch = |it: &Option<duty::Tenure>| it.as_ref().map(|it| it.credential.epoch);
    let (before, after) = (epoch(&before), epoch(&duties.tenure));
    if let Some(tenure) = &duties.tenure {
        duties.set_holder(tenure.credential.clone());
    }
    let known = duties.holder.as_ref().map_or(0, |it| it.epoch);
    context.metrics.duty_epoch.set(i64::try_from(known).unwrap_or(i64::MAX));
    context.metrics.duty_held.set(i64::from(after.is_some()));
    match (before, after) {
        (_, Some(epoch)) if before != after => {
            tracing::info!(code = 8120, epoch, "this host holds the duties");
        }
        (Some(epoch), None) => {
            tracing::info!(code = 8121, epoch, "this host holds the duties no longer");
        }
        _ => {}
    }
}

struct Runner<S> {
    context: Rc<Context>,
    store: S,
    /// Time at which this host stopped calling because it shuts down.
    left_at: Option<Moment>,
    /// Renewals since this host acquired the lease.
    renewals: u64,
}

impl<S: Store> Runner<S> {
    fn role(&self) -> Role {
        if self.context.is_shutting_down() {
            return Role::Leaving;
        }
        let candidates = self.candidates();
        let rank = candidates.iter().position(|it| *it == self.context.settings.host.name);
        match rank.and_then(|it| u32::try_from(it).ok()) {
            Some(rank) => Role::Candidate { rank },
            None => Role::Bystander,
        }
    }

    fn candidates(&self) -> Vec<id::Host> {
        let state = self.context.state();
        state.membership.duty_candidates(state.is_store_unreachable())
    }

    /// Applies an operation to the lease, and brings the state in line with it.
    fn with_lease<T>(&self, operation: impl FnOnce(&mut Lease, Moment) -> T) -> Option<T> {
        let (mut state, now) = (self.context.state_mut(), clock::now());
        let result = operation(state.duties.lease.as_mut()?, now);
        update_tenure(&self.context, &mut state.duties, now);
        Some(result)
    }

    /// Makes the call to the store that is due, if any.
    async fn step(&mut self, role: Role) {
        let era = self.context.state().store_era().max(self.store.newest_era());
        self.with_lease(|lease, _| lease.observe_era(era));
        if role == Role::Leaving {
            let stopped = *self.left_at.get_or_insert_with(clock::now);
            self.context.state_mut().duties.is_leaving = true;
            self.with_lease(|_, _| ());
            // The calls that are under way end first.
            sleep((stopped + MAX_CALL_TIME).saturating_sub(clock::now())).await;
        }
        let token = rand::random();
        let attempt = self.with_lease(|lease, now| lease.next_write(role, now, token)).flatten();
        match attempt {
            Some(attempt) => self.write(&attempt).await,
            None => {
                let needs_read = self.with_lease(|lease, now| lease.needs_read(role, now));
                if needs_read == Some(true) {
                    self.read().await;
                }
            }
        }
    }

    async fn read(&mut self) {
        match self.store.record(RECORD_KEY).await {
            Ok(answer) => self.observe(answer.era, answer.contents),
            Err(err) => self.record_failure(&err).await,
        }
    }

    async fn write(&mut self, attempt: &Attempt) {
        let contents = wire::Record::from(&attempt.record).text();
        let result =
            self.store.write_record(RECORD_KEY, attempt.expected, contents.as_bytes()).await;
        match result {
            Ok(answer) => match answer.contents {
                Outcome::Committed(version) => {
                    self.with_lease(|lease, now| {
                        let era = answer.era.unwrap_or(lease.era());
                        lease.committed(attempt, era, version, now);
                    });
                    self.announce(attempt, version);
                }
                Outcome::Conflict(record) => self.observe(answer.era, record),
            },
            Err(err) => {
                if matches!(err, crate::store::Error::Refused(_)) {
                    self.with_lease(|lease, _| lease.refused(attempt));
                }
                self.record_failure(&err).await;
            }
        }
    }

    fn observe(&mut self, era: Option<id::Era>, stored: crate::store::Record) {
        let record = stored.contents.as_deref().and_then(decode);
        self.with_lease(|lease, now| {
            let era = era.unwrap_or(lease.era());
            lease.observe(era, stored.version, record.clone(), now);
        });
        if let Some(Record { owner: Some(owner), epoch, .. }) = record {
            self.context.state_mut().duties.set_holder(Credential { holder: owner.host, epoch });
        }
    }

    /// Tells other hosts of a write: the candidates, and all hosts of some.
    fn announce(&mut self, attempt: &Attempt, version: id::Version) {
        let is_released = attempt.purpose == Purpose::Release;
        let claim = self.with_lease(|lease, now| match is_released {
            true => {
                let (era, epoch) = (lease.era(), attempt.record.epoch);
                Some(Claim { era, version, epoch, is_released })
            }
            false => lease.claim(now),
        });
        let Some(announcement) = claim.flatten().map(Announcement::from) else { return };
        self.renewals = if attempt.purpose == Purpose::Renew { self.renewals + 1 } else { 0 };
        if self.renewals.is_multiple_of(RENEWALS_PER_BROADCAST) {
            return messages::send_to_all(&self.context, &announcement);
        }
        for host in self.candidates() {
            messages::send(&self.context, &host, &announcement);
        }
    }

    async fn record_failure(&self, err: &crate::store::Error) {
        tracing::debug!(%err, "a call for the record of the duties failed");
        sleep(RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

/// Decodes the record; `None` if its contents are unknown here.
fn decode(contents: &[u8]) -> Option<Record> {
    let text = String::from_utf8_lossy(contents);
    match wire::Record::parse(&text).and_then(Record::try_from) {
        Ok(record) => Some(record),
        Err(err) => {
            tracing::warn!(code = 8123, %err, "cannot decode the record of the duties; waiting for the end of a lease before replacing it");
            None
        }
    }
}
