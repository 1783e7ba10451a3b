//! Settings of the daemon: INI text to checked values, one file a section.

mod callers;
mod host;
mod peers;
mod platform;
mod targets;

pub use self::{callers::Callers, host::Host, peers::Peers, platform::Platform, targets::Targets};

/// The daemon's checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Section `host`: this entry host.
    pub host: Host,
    /// Section `platform`: the platform's services.
    pub platform: Platform,
    /// Section `peers`: links to the other entry hosts.
    pub peers: Peers,
    /// Section `callers`: bounds of the callers' port.
    pub callers: Callers,
    /// Section `targets`: bounds of the calls to targets.
    pub targets: Targets,
}
