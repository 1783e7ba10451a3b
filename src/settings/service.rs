//! Sections `service <name>`: which calls of a plain service may be repeated.

use smol_str::SmolStr;

use super::{Field, Section, Slot};

/// Rules that decide which calls of a plain service may be repeated when the caller does not
/// specify it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Methods whose calls may be repeated.
    pub repeatable_methods: Vec<SmolStr>,
    /// Path prefixes of calls that must not be repeated, whatever the method.
    pub unrepeatable_paths: Vec<SmolStr>,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            repeatable_methods: ["GET", "HEAD", "OPTIONS"].map(SmolStr::new_static).to_vec(),
            unrepeatable_paths: Vec::new(),
        }
    }
}

impl Service {
    /// Returns whether a call may be repeated by these rules.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let listed = self.repeatable_methods.iter().any(|it| it.eq_ignore_ascii_case(method));
        listed && !self.unrepeatable_paths.iter().any(|it| path.starts_with(it.as_str()))
    }
}

impl Section for Service {
    const NAME: &'static str = "service";
    const FIELDS: &'static [Field<Service>] = &[
        Field::optional("repeatable_methods", "Methods whose calls may be repeated.", |it| {
            Slot::Names(&mut it.repeatable_methods)
        }),
        Field::optional(
            "unrepeatable_paths",
            "Path prefixes of calls that must not be repeated, whatever the method.",
            |it| Slot::Paths(&mut it.unrepeatable_paths),
        ),
    ];
}
