//! Sends requests to targets and reads their responses.

pub mod attempt;
pub mod calls;
pub mod connection;
pub mod event_stream;
pub mod prefill;
pub(crate) mod probe;
pub mod retry_budget;
pub mod tapped_stream;
pub mod target_response;
