//! Memory for the bodies of requests and responses.
//!
//! Each body may have a few bytes at any time. What is beyond that is shared by all bodies, as each
//! needs it, so that many large ones at once, or ones without end, don't take more memory than the
//! host has. Answers the load of many callers that read slowly while targets send fast:
//!
//! 1. While more than half of the shared bytes are in use, a stream takes none; its target waits.
//! 2. When all are in use, the caller that has read nothing for the longest time, and at least
//!    [`MIN_STALL`], is cut. What it held is free at once.
//! 3. Without such a caller, a response of known length, or one that names its request, goes on as a
//!    stream, and any other body that needs more is refused; others keep what they have.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};
use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

use crate::watchdog::Watchdog;

/// Time without progress after which a caller may be cut for the memory that it holds; a caller that
/// reads makes some within it, and a body that waits for the memory can wait for longer.
const MIN_STALL: Duration = Duration::from_secs(1);
/// Interval at which is checked whether a caller has stalled while bodies wait for memory.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Most bytes of a response that are held.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Most chunks of a response that are held; chunks of a few bytes each take more processor time than they are worth.
const MAX_CHUNKS: usize = 32 * 1024;

/// Why a body is not read any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Exceeded {
    /// The body is too large.
    #[error("the response is too large")]
    Body,
    /// The body has too many chunks.
    #[error("the response has too many chunks")]
    Chunks,
    /// All bodies together are too large.
    #[error("the bodies in memory are too large")]
    Shared,
}

/// Sizes of the memory for bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Bytes that each body may have at any time.
    pub free_bytes: usize,
    /// Bytes of all bodies together beyond those.
    pub shared_bytes: usize,
}

impl Default for Config {
    /// Returns the sizes for a host whose memory is not stated.
    fn default() -> Config {
        Config { free_bytes: 64 * 1024, shared_bytes: 32 * 1024 * 1024 }
    }
}

impl Config {
    /// Returns the sizes for the bodies of one direction on a host with this many bytes of memory.
    ///
    /// Both directions together leave the larger half for everything else.
    pub fn for_host(memory_bytes: usize) -> Config {
        let default = Config::default();
        Config {
            free_bytes: (memory_bytes / 8192).min(default.free_bytes),
            shared_bytes: (memory_bytes / 5).min(default.shared_bytes),
        }
    }
}

new_key_type! {
    /// Key of a body that holds shared memory.
    struct Key;
}

/// Shared memory of one body.
#[derive(Debug, Default)]
struct Holder {
    /// Shared bytes in use by the body.
    shared: usize,
    /// Connection of the caller to which the body is written.
    connection: Option<Arc<Watchdog>>,
    /// Whether its caller is being cut; its bytes are no longer counted.
    is_evicted: bool,
}

/// State that a memory and its shares have in common.
#[derive(Debug)]
struct Pool {
    config: Config,
    /// Shared bytes in use.
    used: Cell<usize>,
    holders: RefCell<SlotMap<Key, Holder>>,
    /// Notified when shared bytes are given back.
    freed: Notify,
    /// Time at which no caller was found that may be cut.
    searched_at: Cell<Option<Instant>>,
    evicted: Cell<u64>,
}

impl Pool {
    /// Sets the shared bytes of a body.
    ///
    /// # Errors
    /// Fails when all bodies together would become too large.
    fn resize(&self, key: Key, shared: usize) -> Result<(), Exceeded> {
        let before = self.holders.borrow()[key].shared;
        if before < shared {
            while self.config.shared_bytes < self.used.get() - before + shared {
                if !self.evict(key) {
                    return Err(Exceeded::Shared);
                }
            }
        }
        let mut holders = self.holders.borrow_mut();
        let holder = &mut holders[key];
        holder.shared = shared;
        if !holder.is_evicted {
            self.used.set(self.used.get() - before + shared);
        }
        drop(holders);
        if shared < before {
            self.freed.notify_one();
        }
        Ok(())
    }

    /// Cuts the caller that has stalled for longest; returns whether there is one.
    fn evict(&self, except: Key) -> bool {
        let now = Instant::now();
        if self.searched_at.get().is_some_and(|it| now < it + RECHECK_INTERVAL) {
            return false;
        }
        let mut holders = self.holders.borrow_mut();
        let stalls = holders.iter().filter(|(key, it)| *key != except && !it.is_evicted);
        let stalls = stalls.filter(|(_, it)| 0 < it.shared).filter_map(|(key, it)| {
            let stalled_for = it.connection.as_ref()?.stalled_for(now);
            Some((key, stalled_for))
        });
        let Some(key) = choose_stalled(stalls) else {
            self.searched_at.set(Some(now));
            return false;
        };
        let holder = &mut holders[key];
        holder.is_evicted = true;
        self.used.set(self.used.get() - holder.shared);
        self.evicted.set(self.evicted.get() + 1);
        if let Some(connection) = &holder.connection {
            connection.evict();
        }
        true
    }
}

/// Returns the one that has stalled for longest, of those that may be cut.
pub fn choose_stalled<K>(stalls: impl IntoIterator<Item = (K, Duration)>) -> Option<K> {
    let stalls = stalls.into_iter().filter(|(_, stalled_for)| MIN_STALL <= *stalled_for);
    stalls.max_by_key(|(_, stalled_for)| *stalled_for).map(|(key, _)| key)
}

/// Memory that the bodies share.
#[derive(Debug, Default)]
pub struct Memory {
    pool: Rc<Pool>,
}

impl Default for Pool {
    fn default() -> Pool {
        Pool::new(Config::default())
    }
}

impl Pool {
    fn new(config: Config) -> Pool {
        Pool {
            config,
            used: Cell::new(0),
            holders: RefCell::default(),
            freed: Notify::new(),
            searched_at: Cell::new(None),
            evicted: Cell::new(0),
        }
    }
}

impl Memory {
    /// Creates memory of these sizes.
    pub fn new(config: Config) -> Memory {
        Memory { pool: Rc::new(Pool::new(config)) }
    }

    /// Returns the share of a new body.
    pub fn share(&self) -> Share {
        Share {
            pool: Rc::clone(&self.pool),
            key: self.pool.holders.borrow_mut().insert(Holder::default()),
            bytes: 0,
            chunks: 0,
        }
    }

    /// Returns the shared bytes in use.
    pub fn used(&self) -> usize {
        self.pool.used.get()
    }

    /// Returns how many callers were cut for the memory that they held.
    pub fn evicted(&self) -> u64 {
        self.pool.evicted.get()
    }
}

/// Memory of one body, given back on drop.
#[derive(Debug)]
pub struct Share {
    pool: Rc<Pool>,
    key: Key,
    bytes: usize,
    chunks: usize,
}

impl Share {
    /// Takes memory for another chunk of a response.
    ///
    /// # Errors
    /// Fails when the body, or all of them together, would become too large.
    pub fn take(&mut self, bytes: usize) -> Result<(), Exceeded> {
        if MAX_BODY_BYTES < self.bytes + bytes {
            return Err(Exceeded::Body);
        }
        if MAX_CHUNKS <= self.chunks {
            return Err(Exceeded::Chunks);
        }
        self.take_shared(bytes)?;
        self.chunks += 1;
        Ok(())
    }

    /// Takes memory for more bytes of a body whose own size is bounded elsewhere.
    ///
    /// # Errors
    /// Fails when all bodies together would become too large.
    pub fn take_shared(&mut self, bytes: usize) -> Result<(), Exceeded> {
        self.resize(self.bytes + bytes)
    }

    /// Takes memory for a part of a stream, unless its target can wait while the memory is scarce.
    ///
    /// # Errors
    /// Fails when the stream has to wait.
    pub fn take_for_stream(&mut self, bytes: usize) -> Result<(), Exceeded> {
        let Config { free_bytes, shared_bytes } = self.pool.config;
        let is_first = self.bytes == 0;
        let is_free = self.bytes + bytes <= free_bytes;
        let is_scarce = shared_bytes / 2 < self.pool.used.get() + bytes;
        if is_scarce && !is_first && !is_free {
            return Err(Exceeded::Shared);
        }
        if MAX_BODY_BYTES < self.bytes + bytes {
            return Err(Exceeded::Body);
        }
        self.resize(self.bytes + bytes)
    }

    /// Gives back memory of a part that the caller has taken.
    pub fn give_back(&mut self, bytes: usize) {
        // Fewer bytes always fit.
        let _ = self.resize(self.bytes.saturating_sub(bytes));
    }

    /// Returns the bytes that the body takes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Completes when another body has given memory back, or a caller may have stalled for long
    /// enough.
    pub fn freed(&self) -> impl Future<Output = ()> + 'static {
        let pool = Rc::clone(&self.pool);
        async move {
            // Both call for the same: another try.
            let _ = timeout(RECHECK_INTERVAL, pool.freed.notified()).await;
        }
    }

    /// Names the connection to whose caller the body is written.
    pub fn attach(&self, connection: &Arc<Watchdog>) {
        self.pool.holders.borrow_mut()[self.key].connection = Some(Arc::clone(connection));
    }

    fn resize(&mut self, bytes: usize) -> Result<(), Exceeded> {
        self.pool.resize(self.key, bytes.saturating_sub(self.pool.config.free_bytes))?;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let holder = self.pool.holders.borrow_mut().remove(self.key);
        if let Some(holder) = holder.filter(|it| !it.is_evicted) {
            self.pool.used.set(self.pool.used.get() - holder.shared);
        }
        self.pool.freed.notify_one();
    }
}
