//! Concurrency limit of each target, found from its response times.

/// Limits of the targets, as this host knows them.
#[derive(Debug, Default)]
pub struct Tracker {}
