//! Settings of the daemon: INI text to checked values, one file a section.

mod callers;
mod decisions;
mod document;
mod fault;
mod field;
mod host;
mod peers;
mod platform;
mod service;
mod targets;
pub mod value;

use std::{collections::BTreeMap, fs, path::Path};

pub use self::{
    callers::Callers,
    decisions::{Decisions, Policy},
    document::Document,
    fault::{Fault, Flaw, Place, nearest},
    field::{Field, Key, Need, Section, Slot, keys, text, values},
    host::Host,
    peers::Peers,
    platform::Platform,
    service::Service,
    targets::Targets,
};
use crate::id;

/// The daemon's checked settings.
#[derive(Debug, Clone, Default)]
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
    /// Section `decisions`: how requests are admitted and routed.
    pub decisions: Decisions,
    /// Sections `service <name>`: which calls of a plain service are repeatable.
    pub services: BTreeMap<id::Service, Service>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns all faults, each with its place.
    pub fn read(path: &Path) -> Result<Settings, Vec<Fault>> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Settings::parse(&file, &text),
            Err(err) => Err(vec![Place::file(&file).fault(Flaw::Unreadable(err.to_string()))]),
        }
    }

    /// Checks the text of a settings file; `file` names it in the faults.
    ///
    /// # Errors
    /// Returns all faults, each with its place.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
        let mut document = Document::parse(file, text);
        refuse_unknown_sections(&mut document);
        let settings = Settings {
            host: document.section(Host::NAME),
            platform: document.section(Platform::NAME),
            peers: document.section(Peers::NAME),
            callers: document.section(Callers::NAME),
            targets: document.section(Targets::NAME),
            decisions: document.section(Decisions::NAME),
            services: services(&mut document),
        };
        document.finish(settings)
    }

    /// Returns every documented key, section by section.
    pub fn keys() -> Vec<Key> {
        [
            keys::<Host>(),
            keys::<Platform>(),
            keys::<Peers>(),
            keys::<Callers>(),
            keys::<Targets>(),
            keys::<Decisions>(),
            keys::<Service>(),
        ]
        .concat()
    }
}

const SECTIONS: [&str; 7] = [
    Host::NAME,
    Platform::NAME,
    Peers::NAME,
    Callers::NAME,
    Targets::NAME,
    Decisions::NAME,
    Service::NAME,
];

fn services(document: &mut Document) -> BTreeMap<id::Service, Service> {
    let mut services = BTreeMap::new();
    for section in document.sections() {
        if let Some(name) = document.named::<Service>(&section) {
            services.insert(name, document.section(&section));
        }
    }
    services
}

fn refuse_unknown_sections(document: &mut Document) {
    for section in document.sections() {
        let known = section != Service::NAME && SECTIONS.contains(&section.as_str());
        if !known && !section.starts_with("service ") {
            document.unknown_section(&section, SECTIONS);
        }
    }
}
