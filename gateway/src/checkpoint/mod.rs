//! What all hosts must know even after all of them are lost at once.
//!
//! Requests and prompt parts that crash targets, and runs of targets that have left, are known in the
//! memory of the hosts. One host, the archivist, keeps a copy of this in one record of the store while
//! there is anything to keep, and writes it again whenever it changes. A host reads the record when it
//! starts, before it accepts requests.

pub mod contents;
pub mod driver;
