//! The daemon's settings: parsing and checking of the INI file, with one module per section.

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
    fault::{Fault, FaultKind, Location, nearest_name},
    field::{Field, Key, Need, Section, Slot, ini_text, keys, values},
    host::Host,
    peers::Peers,
    platform::Platform,
    service::Service,
    targets::Targets,
};
use crate::id;

/// Checked settings of the daemon.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Section `host`: identity, addresses and timing of this entry host.
    pub host: Host,
    /// Section `platform`: access to the platform's services.
    pub platform: Platform,
    /// Section `peers`: links to the other entry hosts.
    pub peers: Peers,
    /// Section `callers`: limits and timeouts of the callers' port.
    pub callers: Callers,
    /// Section `targets`: timeouts of the calls to targets.
    pub targets: Targets,
    /// Section `decisions`: the policy for admission, routing and role planning.
    pub decisions: Decisions,
    /// Sections `service <name>`: which calls of a plain service may be repeated.
    pub services: BTreeMap<id::Service, Service>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns all faults, each with its location.
    pub fn read(path: &Path) -> Result<Settings, Vec<Fault>> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Settings::parse(&file, &text),
            Err(err) => {
                Err(vec![Location::file(&file).fault(FaultKind::Unreadable(err.to_string()))])
            }
        }
    }

    /// Parses and checks the text of a settings file; `file` is its name in faults.
    ///
    /// # Errors
    /// Returns all faults, each with its location.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
        let mut document = Document::parse(file, text);
        reject_unknown_sections(&mut document);
        let settings = Settings {
            host: document.read_section(Host::NAME),
            platform: document.read_section(Platform::NAME),
            peers: document.read_section(Peers::NAME),
            callers: document.read_section(Callers::NAME),
            targets: document.read_section(Targets::NAME),
            decisions: document.read_section(Decisions::NAME),
            services: read_services(&mut document),
        };
        document.finish(settings)
    }

    /// Returns the documentation of all keys, section by section.
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

const SECTION_NAMES: [&str; 7] = [
    Host::NAME,
    Platform::NAME,
    Peers::NAME,
    Callers::NAME,
    Targets::NAME,
    Decisions::NAME,
    Service::NAME,
];

fn read_services(document: &mut Document) -> BTreeMap<id::Service, Service> {
    let mut services = BTreeMap::new();
    for section in document.section_names() {
        if let Some(name) = document.section_name::<Service>(&section) {
            services.insert(name, document.read_section(&section));
        }
    }
    services
}

fn reject_unknown_sections(document: &mut Document) {
    for section in document.section_names() {
        let known = section != Service::NAME && SECTION_NAMES.contains(&section.as_str());
        if !known && !section.starts_with("service ") {
            document.add_unknown_section(&section, SECTION_NAMES);
        }
    }
}
