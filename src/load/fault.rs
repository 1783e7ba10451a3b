//! Disturbances of a run.

use std::time::Duration;

use smol_str::SmolStr;

use crate::settings::{Fault, Field, Location, Section, Slot, value};

/// What a disturbance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An engine is announced to leave, and leaves.
    Withdraw,
    /// All engines of a data centre stop answering.
    Cut,
    /// The platform's table, object store and host list refuse every call.
    StoreDown,
    /// Entry hosts end one after another, without a word.
    KillHosts,
}

/// Names of the kinds, as scenarios have them.
const KINDS: [(&str, Kind); 4] = [
    ("withdraw", Kind::Withdraw),
    ("cut", Kind::Cut),
    ("store-down", Kind::StoreDown),
    ("kill-hosts", Kind::KillHosts),
];

/// Section `fault <name>`: a disturbance of the run.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// Beginning.
    pub at: Duration,
    /// Length.
    pub length: Duration,
    /// Time before the beginning at which it is announced.
    pub notice: Duration,
    /// Name of the kind.
    pub kind: SmolStr,
    /// Data centre, engine, or hosts by number; what is meant depends on the kind.
    pub on: SmolStr,
}

impl Default for Disturbance {
    fn default() -> Disturbance {
        Disturbance {
            at: Duration::from_secs(60),
            length: Duration::from_secs(20),
            notice: Duration::from_secs(20),
            kind: SmolStr::new_static("cut"),
            on: SmolStr::default(),
        }
    }
}

impl Disturbance {
    /// Returns the kind; a cut for an unknown name, which the check refuses.
    pub fn kind(&self) -> Kind {
        KINDS.iter().find(|it| it.0 == self.kind).map_or(Kind::Cut, |it| it.1)
    }
}

impl Section for Disturbance {
    const NAME: &'static str = "fault";
    const FIELDS: &'static [Field<Disturbance>] = &[
        Field::required("at", "Beginning.", |it| Slot::Time(&mut it.at)),
        Field::optional("length", "Length.", |it| Slot::Time(&mut it.length)),
        Field::optional("notice", "Time of the announcement before it.", |it| {
            Slot::Time(&mut it.notice)
        }),
        Field::required("kind", "withdraw, cut, store-down or kill-hosts.", |it| {
            Slot::Name(&mut it.kind)
        }),
        Field::optional("on", "Data centre, engine or number of hosts.", |it| {
            Slot::Name(&mut it.on)
        }),
    ];

    fn check(&self, location: &Location, faults: &mut Vec<Fault>) {
        if KINDS.iter().all(|it| it.0 != self.kind) {
            let expected = "`withdraw`, `cut`, `store-down` or `kill-hosts`";
            faults.push(location.key("kind").fault(value::invalid_form(&self.kind, expected)));
        }
    }
}
