//! Memory for the bodies of requests and responses that are read whole.
//!
//! Each body may have a few bytes at any time. What is beyond that is shared by all bodies, so that
//! many large ones at once, or ones without end, don't take more memory than the host has.

use std::{cell::Cell, rc::Rc};

/// Bytes that each body may have at any time.
const FREE_BYTES: usize = 64 * 1024;
/// Bytes of all bodies together beyond those.
const SHARED_BYTES: usize = 32 * 1024 * 1024;
/// Largest body of a response.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Most chunks of a response; chunks of a few bytes each take more processor time than they are worth.
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

/// Memory that the bodies share.
#[derive(Debug, Default)]
pub struct Memory {
    /// Shared bytes in use.
    used: Rc<Cell<usize>>,
}

impl Memory {
    /// Returns the share of a new body.
    pub fn share(&self) -> Share {
        Share { used: Rc::clone(&self.used), bytes: 0, chunks: 0, shared: 0 }
    }
}

/// Memory of one body, given back on drop.
#[derive(Debug)]
pub struct Share {
    used: Rc<Cell<usize>>,
    bytes: usize,
    chunks: usize,
    /// Shared bytes in use by this body.
    shared: usize,
}

impl Share {
    /// Takes memory for another chunk of a response.
    ///
    /// # Errors
    /// Fails when the body, or all of them together, would become too large.
    pub fn take(&mut self, bytes: usize) -> Result<(), Exceeded> {
        self.chunks += 1;
        if MAX_BODY_BYTES < self.bytes + bytes {
            return Err(Exceeded::Body);
        }
        if MAX_CHUNKS < self.chunks {
            return Err(Exceeded::Chunks);
        }
        self.take_shared(bytes)
    }

    /// Takes memory for more bytes of a body whose own size is bounded elsewhere.
    ///
    /// # Errors
    /// Fails when all bodies together would become too large.
    pub fn take_shared(&mut self, bytes: usize) -> Result<(), Exceeded> {
        self.bytes += bytes;
        let shared = self.bytes.saturating_sub(FREE_BYTES);
        let used = self.used.get() - self.shared + shared;
        if SHARED_BYTES < used {
            return Err(Exceeded::Shared);
        }
        self.used.set(used);
        self.shared = shared;
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.shared);
    }
}
