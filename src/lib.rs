//! Serving system for a fixed fleet under a shifting prompt-to-output mix.
//!
//! The modules that make decisions (`lease`, `order`, `drain`, `claim`, `crash`, `admit`, `cost`,
//! `route`, `role`, `retry`, `configuration`) are state machines without I/O: each takes an input
//! and the current time and returns typed actions. `authority`, `refresh`, `host`, `serve` and
//! `daemon` run them. `standin`, `demo`, `load`, `overhead` and `slopes` are for demonstrations,
//! tests and measurements.

pub use fuchsiaknot_core::{clock, id, lease, verdict};
pub use fuchsiaknot_gateway as gateway;

pub mod admit;
pub mod authority;
pub mod claim;
pub mod command;
pub mod configuration;
pub mod cost;
pub mod crash;
pub mod daemon;
pub mod demo;
pub mod drain;
pub mod event;
pub mod host;
pub mod link;
pub mod load;
pub mod metric;
pub mod operate;
pub mod order;
pub mod overhead;
pub mod refresh;
pub mod retry;
pub mod role;
pub mod route;
pub mod serve;
pub mod settings;
pub mod slopes;
pub mod standin;
pub mod store;
pub mod target;
pub mod timer;
pub mod utils;
