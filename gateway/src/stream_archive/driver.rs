//! Reports streams to the archivist, writes and reads their records.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use fuchsiaknot_core::{clock, id};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    cluster::{
        messages::{self, Kind, Message},
        stream_origin::Origin,
    },
    context::Context,
    store::{Announcement, Store, sync::Backoff},
    stream_archive::{
        Digest, Group,
        batch::{self, Queue},
        digest,
        index::{Index, Presence, Step},
        row::Row,
    },
};

/// Time for which streams are collected before they are written. It bounds, with the time of a
/// write, what is unknown of the moment before all hosts are lost.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Longest time for which a resumption waits for the records to be read.
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Age of the streams that are reported again to a new archivist: the former one may not have
/// written them.
const REPEAT_AGE: Duration = Duration::from_secs(5);
/// Most streams in one datagram.
const MAX_REPORTED: usize = 1000;

/// Streams that began at the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Begun(Vec<Group>);

impl Message for Begun {
    const KIND: Kind = 40;
}

/// Records of one host: those that it writes as the archivist, and those that it has read.
#[derive(Debug, Default)]
pub struct Archive {
    queue: RefCell<Queue>,
    index: RefCell<Index>,
    /// Host to which streams were last reported.
    archivist: RefCell<Option<id::Host>>,
    /// Era of the store in which streams were last reported.
    era: Cell<id::Era>,
    /// Notified when records wait to be written.
    queued: Notify,
    /// Notified when the records have to be read.
    read_wanted: Notify,
    /// Notified when the records were read, or cannot be, or are known to be absent.
    read_ended: Notify,
}

impl Archive {
    /// Returns whether this host announces that there are records.
    pub fn is_present(&self) -> bool {
        self.index.borrow().presence() == Presence::Present
    }

    /// Records whether the announcements of the hosts say that there are records. If there are,
    /// this host reads them, since their versions tell what its peers may have begun.
    pub fn record_announcements(&self, is_present: bool) {
        self.index.borrow_mut().record_presence(is_present);
        if self.is_present() && !self.index.borrow().is_read() {
            self.read_wanted.notify_one();
        }
        self.read_ended.notify_waiters();
    }

    fn push(&self, groups: Vec<Group>) {
        let dropped = self.queue.borrow_mut().push(groups);
        if 0 < dropped {
            tracing::warn!(
                code = 8066,
                dropped,
                "cannot keep up with writing the origins of streams"
            );
        }
        self.queued.notify_one();
    }
}

/// Registers the handlers of the other hosts' reports and queries.
pub fn register(context: &Context) {
    context.handlers.register(|context, _, Begun(groups)| context.stream_archive.push(groups));
}

/// Reports the streams that began at this host to the archivist, if their service has had several
/// software versions lately.
pub fn report_streams(context: &Context) {
    let archive = &context.stream_archive;
    let Some(archivist) = context.state().archivist() else { return };
    let groups = {
        let (mut state, now) = (context.state_mut(), clock::now());
        let era = state.store_era();
        // In a new era, the store may have lost all that was written.
        if archive.era.replace(era) < era {
            state.stream_origins.archive_again(Duration::MAX, now);
        } else if archive
            .archivist
            .replace(Some(archivist.clone()))
            .is_none_or(|it| it != archivist)
        {
            state.stream_origins.archive_again(REPEAT_AGE, now);
        }
        group(state.stream_origins.take_unarchived(now))
    };
    if groups.is_empty() {
        return;
    }
    archive.index.borrow_mut().record_presence(true);
    if archivist == context.settings.host.name {
        archive.push(groups);
        return;
    }
    for Group { origin, streams } in groups {
        for part in streams.chunks(MAX_REPORTED) {
            let group = Group { origin: origin.clone(), streams: part.to_vec() };
            messages::send(context, &archivist, &Begun(vec![group]));
        }
    }
}

fn group(streams: Vec<(id::Stream, Origin)>) -> Vec<Group> {
    let mut groups: BTreeMap<Origin, Vec<Digest>> = BTreeMap::new();
    for (stream, origin) in streams {
        groups.entry(origin).or_default().push(digest(&stream));
    }
    groups.into_iter().map(|(origin, streams)| Group { origin, streams }).collect()
}

/// Returns where a stream began according to the records in the store.
pub async fn find(context: &Context, stream: &id::Stream) -> Option<Origin> {
    let archive = &context.stream_archive;
    let (stream, asked_at) = (digest(stream), clock::now());
    if context.state().stream_origins.has_mixed_service(asked_at) {
        archive.index.borrow_mut().record_presence(true);
    }
    let end = Instant::now() + READ_TIMEOUT;
    loop {
        let host_count = context.state().membership.live_count();
        let step = archive.index.borrow().next_step(stream, host_count, asked_at, clock::now());
        let read_ended = archive.read_ended.notified();
        match step {
            Step::Found(origin) => return Some(origin),
            Step::GiveUp => return None,
            Step::Read => archive.read_wanted.notify_one(),
            Step::Wait => {}
        }
        timeout_at(end, read_ended).await.ok()?;
    }
}

/// Reads the records whenever they are wanted, forever.
pub async fn read<S: Store>(context: Rc<Context>, store: S) {
    let archive = &context.stream_archive;
    let mut backoff = Backoff::new("streams");
    loop {
        archive.read_wanted.notified().await;
        let started = clock::now();
        let host_count = context.state().membership.live_count();
        if !archive.index.borrow().is_read_due(host_count, started) {
            archive.read_ended.notify_waiters();
            continue;
        }
        match store.archived_streams().await {
            Ok(rows) => {
                backoff.record_success(&context);
                let is_first = !archive.index.borrow().is_read();
                let mut index = archive.index.borrow_mut();
                let unreadable = index.replace(&context.settings.host.name, &rows, started);
                if is_first {
                    if let Some(slot) = index.newest_own_slot() {
                        archive.queue.borrow_mut().continue_after(slot);
                    }
                    let mut state = context.state_mut();
                    index
                        .origins()
                        .into_iter()
                        .for_each(|it| state.stream_origins.record_version(it, started));
                }
                let took = clock::now().saturating_sub(started);
                tracing::info!(
                    code = 8067,
                    rows = rows.len(),
                    streams = index.len(),
                    unreadable,
                    took_ms = took.as_millis() as u64,
                    "read the origins of streams"
                );
                archive.queued.notify_one();
            }
            Err(err) => {
                backoff.record_failure(&err, &context).await;
                archive.read_wanted.notify_one();
            }
        }
        archive.read_ended.notify_waiters();
    }
}

/// Writes the records that are reported to this host, forever.
pub async fn write<S: Store>(context: Rc<Context>, store: S) {
    let archive = &context.stream_archive;
    let host = &context.settings.host;
    let mut backoff = Backoff::new("streams");
    loop {
        archive.queued.notified().await;
        sleep(BATCH_DELAY).await;
        // Until an earlier run's rows are read, their order is unknown and a write could replace the
        // newest.
        if context.is_shutting_down() || (archive.is_present() && !archive.index.borrow().is_read())
        {
            archive.read_wanted.notify_one();
            continue;
        }
        // One row each time: streams that are reported during the write wait for the next.
        let Some((slot, groups)) = archive.queue.borrow_mut().take() else { continue };
        let streams: usize = groups.iter().map(|it| it.streams.len()).sum();
        let contents = match Vec::try_from(&Row(groups)) {
            Ok(contents) => contents,
            Err(err) => {
                tracing::error!(code = 8068, %err, "cannot encode the origins of streams");
                continue;
            }
        };
        let announcement = Announcement { host: host.clone(), archives_streams: true };
        let key = batch::key(&host.name, slot);
        while let Err(err) = store.archive_streams(&announcement, &key, &contents).await {
            backoff.record_failure(&err, &context).await;
        }
        backoff.record_success(&context);
        context.metrics.archived_streams.inc_by(streams as u64);
        archive.index.borrow_mut().record_presence(true);
        if !archive.queue.borrow().is_empty() {
            archive.queued.notify_one();
        }
    }
}
