//! The operators' interface: configuration, fleet, requests and counters over HTTP.

mod client;
mod editor;
pub mod in_force;
mod key;
mod page;
mod server;
pub mod wire;

use smol_str::SmolStr;

pub use self::{
    client::{Client, Error},
    editor::Editor,
    key::{Access, Denied},
    server::{Port, Service, Unavailable, serve},
};

/// What the operators' interface needs from the other parts of the host.
pub trait Control: Send + Sync + 'static {
    /// Returns the groups with their holders, orders and drains.
    fn groups(&self) -> Vec<wire::Group>;

    /// Returns the targets as this host sees them.
    fn targets(&self) -> Vec<wire::Target>;

    /// Returns the open requests of this host.
    fn requests(&self) -> Vec<wire::Request>;

    /// Declares that no earlier holder's order to a target is under way any more.
    fn release(&self, target: &str, author: &SmolStr) -> wire::Released;
}
