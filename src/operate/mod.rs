//! HTTP interface for operators: configuration, fleet, requests and counters.

mod access;
mod client;
mod editor;
pub mod in_force;
mod page;
mod server;
pub mod wire;

use smol_str::SmolStr;

pub use self::{
    access::{Access, Denied},
    client::{Client, Error},
    editor::Editor,
    server::{ListenError, Port, Service, serve},
};

/// Parts of the host that the operators' interface shows and controls.
pub trait Control: Send + Sync + 'static {
    /// Returns the groups with their lease holders, pending orders and drains.
    fn groups(&self) -> Vec<wire::Group>;

    /// Returns the targets as this host sees them.
    fn targets(&self) -> Vec<wire::Target>;

    /// Returns the open requests of this host.
    fn requests(&self) -> Vec<wire::Request>;

    /// Releases a target: records the operator's statement that no order from an earlier lease
    /// holder can reach it any more.
    fn release(&self, target: &str, author: &SmolStr) -> wire::ReleaseOutcome;
}
