//! Chooses the targets on which requests run.

pub mod balancer;
pub mod dispatch;
pub mod dispatcher;
pub mod engine;
pub mod load;
pub mod prefix_cache;
pub mod reservation;
pub mod selection;
pub mod share;
pub(crate) mod shortlist;
pub mod slowness;
