//! Cancels target streams whose caller has gone or whose deadline has passed.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use slab::Slab;

use crate::{
    clock::Moment,
    link::{http_client::Canceller, http_server::CallerPresence},
};

/// Time between two checks of all streams.
pub const STREAM_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Monitor of the target streams in progress on this host.
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
    /// Monitors a stream until the returned guard is dropped.
    ///
    /// Without `presence`, the stream continues after its caller has gone.
    pub fn watch(
        &self,
        presence: Option<CallerPresence>,
        deadline: Moment,
        canceller: Canceller,
    ) -> StreamGuard {
        let stream = Stream { presence, deadline, canceller };
        let key = self.streams.lock().expect("stream monitor lock poisoned").insert(stream);
        StreamGuard { monitor: self.clone(), key }
    }

    /// Cancels the streams whose caller has gone or whose deadline has passed by `now`.
    pub fn cancel_unneeded(&self, now: Moment) {
        let cancellers: Vec<Canceller> = {
            let streams = self.streams.lock().expect("stream monitor lock poisoned");
            let unneeded = streams.iter().filter(|(_, it)| it.is_unneeded(now));
            unneeded.map(|(_, it)| it.canceller.clone()).collect()
        };
        for canceller in cancellers {
            canceller.cancel();
        }
    }

    /// Returns the number of streams in progress.
    pub fn len(&self) -> usize {
        self.streams.lock().expect("stream monitor lock poisoned").len()
    }

    /// Returns whether no stream is in progress.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Stream {
    fn is_unneeded(&self, now: Moment) -> bool {
        self.deadline <= now || self.presence.as_ref().is_some_and(CallerPresence::is_disconnected)
    }
}

/// Keeps a stream monitored until dropped.
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
