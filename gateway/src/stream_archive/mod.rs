//! Records in the store of where streams began, for when all hosts that know it are lost.
//!
//! While a service has had targets of several software versions lately, each host reports the streams
//! that it begins to one host, the archivist, which writes them to the store in batches. A host
//! whose peers do not know a stream reads the records. Without several versions nothing is
//! reported, written or read.

pub mod batch;
pub mod driver;
pub mod index;
pub mod row;

use fuchsiaknot_core::id;
use serde::{Deserialize, Serialize};

use crate::cluster::stream_origin::Origin;

/// Hash of a stream's identifier, the same in all builds.
pub type Digest = u64;

/// Returns the hash by which the records name a stream.
pub fn digest(stream: &id::Stream) -> Digest {
    let hash = blake3::hash(stream.as_bytes());
    let bytes = hash.as_bytes().first_chunk();
    bytes.map_or(0, |it| Digest::from_be_bytes(*it))
}

/// Streams with the same origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Where the streams began.
    pub origin: Origin,
    /// The streams.
    pub streams: Vec<Digest>,
}
