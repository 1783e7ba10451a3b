//! Reads the checkpoint when a host starts, and writes it while the host is the archivist.

use std::{cell::Cell, rc::Rc, time::Duration};

use fuchsiaknot_core::{
    clock::{self, Moment},
    id,
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    checkpoint::contents::{Contents, Summary},
    context::Context,
    store::{Error, Outcome, Store, sync::Backoff},
    targets::poison_reports,
};

/// Key of the record.
const RECORD_KEY: &str = "checkpoint";
/// Interval at which the archivist looks for changes. It bounds, with the time of a write, what is
/// unknown of the moment before all hosts are lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which a host that starts waits for the checkpoint before it serves requests, once
/// the store has answered another call: it may refuse this one alone.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which it looks whether the store has answered another call.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a host that has started reads the checkpoint once more, with a random share of it
/// added: the archivist may not have written yet what happened just before the first read.
const SECOND_READ_DELAY: Duration = Duration::from_secs(2);
/// Interval at which ages are written again while there are recognised requests.
const REFRESH_INTERVAL: Duration = Duration::from_secs(600);

/// Whether this host has read the checkpoint.
#[derive(Debug, Default)]
pub struct Checkpoint {
    is_read: Cell<bool>,
    read: Notify,
}

impl Checkpoint {
    fn set_read(&self) {
        self.is_read.set(true);
        self.read.notify_waiters();
    }
}

/// Waits until this host has read the checkpoint, or the store has answered other calls for some time
/// and not this one.
pub async fn wait_until_read(context: &Context) {
    let checkpoint = &context.checkpoint;
    let mut answered_since = None;
    while !checkpoint.is_read.get() {
        let now = clock::now();
        if context.state().targets_watch.is_known() {
            let since = *answered_since.get_or_insert(now);
            if since + READ_TIMEOUT <= now {
                tracing::warn!(
                    code = 8069,
                    "cannot read the checkpoint; serving without it until the store answers"
                );
                return;
            }
        }
        let _ = timeout(WAIT_INTERVAL, checkpoint.read.notified()).await;
    }
}

/// Reads the checkpoint, and keeps it up to date while this host is the archivist, forever.
pub async fn run<S: Store>(context: Rc<Context>, store: S) {
    let mut keeper = Keeper::new(context, store);
    while !keeper.read(Purpose::Start).await {}
    keeper.context.checkpoint.set_read();
    let delay = SECOND_READ_DELAY.mul_f64(1.0 + rand::random::<f64>());
    let mut second_read_at = Some(clock::now() + delay);
    loop {
        sleep(CHECK_INTERVAL).await;
        if second_read_at.is_some_and(|it| it <= clock::now()) && keeper.read(Purpose::Start).await
        {
            second_read_at = None;
        }
        keeper.update().await;
    }
}

/// Why the checkpoint is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// This host has started, and may know less than the checkpoint has.
    Start,
    /// This host writes the checkpoint, and must not lose what another one has written.
    Write,
}

/// Writes the checkpoint of one host.
#[derive(Debug)]
struct Keeper<S> {
    context: Rc<Context>,
    store: S,
    backoff: Backoff,
    /// Version of the record; 0 if there is none.
    version: id::Version,
    /// Whether `version` and `saved` are those of the record, as far as this host knows.
    is_current: bool,
    /// Era of the store in which the record was last read or written.
    era: id::Era,
    /// What the record names.
    saved: Summary,
    /// Time at which the record was last read or written.
    saved_at: Moment,
    /// Time of the store's clock, and of this host's at the same moment.
    store_clock: Option<(Duration, Moment)>,
}

impl<S: Store> Keeper<S> {
    fn new(context: Rc<Context>, store: S) -> Keeper<S> {
        Keeper {
            context,
            store,
            backoff: Backoff::new("checkpoint"),
            version: 0,
            is_current: false,
            era: 0,
            saved: Summary::default(),
            saved_at: clock::now(),
            store_clock: None,
        }
    }

    /// Writes the checkpoint if this host is the archivist and knows something else.
    async fn update(&mut self) {
        let is_archivist = {
            let state = self.context.state();
            // In a new era, the store may have lost what was written.
            self.is_current &= state.store_era() == self.era;
            state.archivist().is_some_and(|it| it == self.context.settings.host.name)
        };
        if !is_archivist {
            self.is_current = false;
            return;
        }
        if !self.is_current && !self.read(Purpose::Write).await {
            return;
        }
        let now = clock::now();
        let contents = Contents::of(&self.context.state(), now);
        let is_refresh_due =
            !contents.requests.is_empty() && self.saved_at + REFRESH_INTERVAL <= now;
        if contents.summary() != self.saved || is_refresh_due {
            self.write(contents).await;
        }
    }

    /// Reads and applies the checkpoint; returns whether the store answered.
    async fn read(&mut self, purpose: Purpose) -> bool {
        let (era, started) = (self.context.state().store_era(), clock::now());
        let snapshot = match self.store.record(RECORD_KEY).await {
            Ok(snapshot) => snapshot,
            Err(err) => {
                self.backoff.record_failure(&err, &self.context).await;
                return false;
            }
        };
        self.backoff.record_success(&self.context);
        let now = clock::now();
        self.store_clock = snapshot.read_at.map(|it| (it, now));
        (self.version, self.era) = (snapshot.contents.version, snapshot.era.unwrap_or(era));
        (self.is_current, self.saved_at) = (true, now);
        let bytes = snapshot.contents.contents.unwrap_or_default();
        let contents = match Contents::try_from(bytes.as_slice()) {
            Ok(contents) => contents,
            Err(err) => {
                if !bytes.is_empty() {
                    tracing::warn!(code = 8070, %err, "ignoring the checkpoint; it is replaced when something is to be kept");
                }
                self.saved = Summary::default();
                return true;
            }
        };
        self.saved = contents.summary();
        let age = contents.age(snapshot.read_at);
        if purpose == Purpose::Start {
            tracing::info!(
                code = 8071,
                requests = contents.requests.len(),
                suspects = contents.suspects.len(),
                parts = contents.parts.len(),
                tombstones = contents.tombstones.len(),
                age_ms = age.as_millis() as u64,
                took_ms = now.saturating_sub(started).as_millis() as u64,
                "read the checkpoint"
            );
        }
        apply(&self.context, contents.aged(age), purpose);
        true
    }

    async fn write(&mut self, mut contents: Contents) {
        let now = clock::now();
        let store_time = self.store_clock.map(|(store, at)| store + now.saturating_sub(at));
        contents.saved_at_ms = store_time.map(|it| it.as_millis() as u64);
        let summary = contents.summary();
        let bytes = match Vec::try_from(contents) {
            Ok(bytes) => bytes,
            Err(err) => {
                tracing::error!(code = 8072, %err, "cannot encode the checkpoint");
                self.saved = summary;
                return;
            }
        };
        match self.store.write_record(RECORD_KEY, self.version, &bytes).await {
            Ok(snapshot) => {
                self.backoff.record_success(&self.context);
                match snapshot.contents {
                    Outcome::Committed(version) => {
                        (self.version, self.saved, self.saved_at) = (version, summary, now);
                        self.context.metrics.checkpoint_writes.inc();
                    }
                    // Another host wrote; what it knows is read first.
                    Outcome::Conflict(_) => self.is_current = false,
                }
            }
            Err(err) => {
                // The write may have taken effect.
                self.is_current &= matches!(err, Error::Refused(_));
                self.backoff.record_failure(&err, &self.context).await;
            }
        }
    }
}

/// Applies the contents of a checkpoint.
fn apply(context: &Context, contents: Contents, purpose: Purpose) {
    poison_reports::restore(context, &contents.requests, &contents.suspects, &contents.parts);
    // A host that has followed the list knows more than the checkpoint.
    if purpose == Purpose::Start {
        let events =
            context.state_mut().registry.restore_tombstones(&contents.tombstones, clock::now());
        context.record_target_events(events);
    }
}
