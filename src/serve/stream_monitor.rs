//! Cancels the streams whose caller has gone or whose deadline has passed.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use slab::Slab;

use crate::{
    clock::Moment,
    link::{http_client::Canceller, http_server::CallerPresence},
};

/// Time between two looks at all streams.
pub const STREAM_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Streams that are under way on this host.
#[derive(Debug, Clone, Default)]
pub struct StreamMonitor {
    streams: Arc<Mutex<Slab<Stream>>>,
}

#[derive(Debug)]
struct Stream {
    presence: Option<CallerPresence>,
    deadline: Moment,
    canceller: Canceller,
}

impl StreamMonitor {
    /// Watches a stream until the returned guard is dropped.
    ///
    /// Without `presence` the stream goes on when its caller has gone.
    pub fn watch(
        &self,
        presence: Option<CallerPresence>,
        deadline: Moment,
        canceller: Canceller,
    ) -> StreamGuard {
        let entry = Stream { presence, deadline, canceller };
        let key = self.streams.lock().expect("stream monitor lock poisoned").insert(entry);
        StreamGuard { monitor: self.clone(), key }
    }

    /// Cancels what nobody waits for any more.
    pub fn cancel_ended(&self, now: Moment) {
        let cancellers: Vec<Canceller> = {
            let streams = self.streams.lock().expect("stream monitor lock poisoned");
            let ended = streams.iter().filter(|(_, it)| it.has_ended(now));
            ended.map(|(_, it)| it.canceller.clone()).collect()
        };
        for canceller in cancellers {
            canceller.cancel();
        }
    }

    /// Returns the number of streams under way.
    pub fn len(&self) -> usize {
        self.streams.lock().expect("stream monitor lock poisoned").len()
    }

    /// Returns whether no stream is under way.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Stream {
    fn has_ended(&self, now: Moment) -> bool {
        self.deadline <= now || self.presence.as_ref().is_some_and(CallerPresence::is_disconnected)
    }
}

/// Keeps a stream watched.
#[derive(Debug)]
pub struct StreamGuard {
    monitor: StreamMonitor,
    key: usize,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.monitor.streams.lock().expect("stream monitor lock poisoned").try_remove(self.key);
    }
}
