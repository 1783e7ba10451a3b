//! Takes callers' requests in and sends the responses back.

pub mod body_memory;
pub mod deadline;
pub mod directory;
pub mod duration;
pub mod forward;
pub mod headers;
pub mod http_server;
pub mod job;
pub mod open_request;
pub mod prompt;
pub mod response;
pub mod retry_after;
pub mod shutdown;
pub mod stream_relay;
