//! Parsed INI text that collects the faults found while its sections are read.

use ini::{Ini, ParseOption, Properties};

use smol_str::SmolStr;

use super::{Fault, FaultKind, Field, Location, Need, Section, fault, value};

/// Parsed INI text and the faults found in it so far.
#[derive(Debug)]
pub struct Document {
    location: Location,
    ini: Ini,
    faults: Vec<Fault>,
}

impl Document {
    /// Parses INI text; text with a syntax error is treated as empty and gives one fault.
    pub fn parse(file: &str, text: &str) -> Document {
        let options =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let location = Location::file(file);
        let mut faults = Vec::new();
        let text = drop_incomplete_lines(&location, text, &mut faults);
        let ini = Ini::load_from_str_opt(&text, options).unwrap_or_else(|err| {
            let kind = FaultKind::Syntax { line: err.line, message: err.msg.into_owned() };
            faults.push(location.clone().fault(kind));
            Ini::new()
        });
        let mut document = Document { location, ini, faults };
        document.reject_keys_outside_sections();
        document
    }

    /// Returns the location of the whole document.
    pub fn location(&self) -> &Location {
        &self.location
    }

    /// Adds a fault to those found so far.
    pub fn add_fault(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Returns the names of all sections in the order of the text, with duplicates.
    pub fn section_names(&self) -> Vec<String> {
        self.ini.sections().flatten().map(str::to_owned).collect()
    }

    /// Returns the name from a section heading `<S::NAME> <name>`, or `None` for other sections.
    ///
    /// An invalid name adds a fault and returns `None`.
    pub fn section_name<S: Section>(&mut self, section: &str) -> Option<SmolStr> {
        let name = section.strip_prefix(S::NAME)?.strip_prefix(' ')?;
        match value::parse_name(name.trim()) {
            Ok(name) => Some(name),
            Err(kind) => {
                let location = self.location.section(section);
                self.add_fault(location.fault(kind));
                None
            }
        }
    }

    /// Adds a fault for an unknown section, with the nearest of the `known` names as a suggestion.
    pub fn add_unknown_section<const N: usize>(&mut self, section: &str, known: [&'static str; N]) {
        let nearest = fault::nearest_name(section, known);
        let location = self.location.section(section);
        self.add_fault(location.fault(FaultKind::UnknownSection { nearest }));
    }

    /// Reads a section and adds its faults.
    ///
    /// An absent section has the default values and a fault for every required key.
    pub fn read_section<S: Section>(&mut self, name: &str) -> S {
        let location = self.location.section(name);
        let found: Vec<Properties> = self.ini.section_all(Some(name)).cloned().collect();
        if 1 < found.len() {
            self.add_fault(location.clone().fault(FaultKind::Repeated));
        }
        let properties = found.into_iter().next().unwrap_or_default();
        self.reject_unknown_keys(&location, &properties, S::FIELDS);
        let mut section = S::default();
        for field in S::FIELDS {
            self.read_field(&location, &properties, field, &mut section);
        }
        section.check(&location, &mut self.faults);
        section
    }

    /// Returns `value` if no fault was found.
    ///
    /// # Errors
    /// Returns all faults, sorted by location and without duplicates.
    pub fn finish<T>(mut self, value: T) -> Result<T, Vec<Fault>> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort_by(|a, b| a.location.cmp(&b.location));
        self.faults.dedup();
        Err(self.faults)
    }

    fn read_field<S>(
        &mut self,
        location: &Location,
        properties: &Properties,
        field: &Field<S>,
        section: &mut S,
    ) {
        let location = location.key(field.key);
        let mut values = properties.get_all(field.key);
        let Some(text) = values.next() else {
            if field.need == Need::Required {
                self.add_fault(location.fault(FaultKind::Missing));
            }
            return;
        };
        if values.next().is_some() {
            self.add_fault(location.clone().fault(FaultKind::Repeated));
        }
        if text.trim().is_empty() {
            self.add_fault(location.fault(FaultKind::Empty));
            return;
        }
        if let Err(kind) = (field.slot)(section).set(text.trim()) {
            self.add_fault(location.fault(kind));
        }
    }

    fn reject_unknown_keys<S>(
        &mut self,
        location: &Location,
        properties: &Properties,
        fields: &[Field<S>],
    ) {
        for (key, _) in properties.iter() {
            if fields.iter().any(|it| it.key == key) {
                continue;
            }
            let nearest = fault::nearest_name(key, fields.iter().map(|it| it.key));
            self.add_fault(location.key(key).fault(FaultKind::UnknownKey { nearest }));
        }
    }

    fn reject_keys_outside_sections(&mut self) {
        let keys: Vec<String> =
            self.ini.general_section().iter().map(|(key, _)| key.to_owned()).collect();
        for key in keys {
            let nearest = None;
            let location = self.location.key(key.trim());
            self.add_fault(location.fault(FaultKind::UnknownKey { nearest }));
        }
    }
}

/// Replaces each line that is neither a section, a comment nor a key with a value by an empty one,
/// and adds a fault for it.
///
/// The INI parser would read such a line and the following ones as a single key.
fn drop_incomplete_lines(location: &Location, text: &str, faults: &mut Vec<Fault>) -> String {
    let mut kept = String::with_capacity(text.len());
    for (index, line) in text.lines().enumerate() {
        match Line::classify(line.trim()) {
            Line::Complete => kept.push_str(line.trim()),
            Line::Incomplete => {
                faults.push(location.clone().fault(FaultKind::IncompleteLine { line: index + 1 }));
            }
        }
        kept.push('\n');
    }
    kept
}

enum Line {
    Complete,
    Incomplete,
}

impl Line {
    fn classify(line: &str) -> Line {
        let is_comment = line.is_empty() || line.starts_with(['#', ';']);
        let is_section = line.starts_with('[') && line.ends_with(']');
        let is_assignment = !line.starts_with(['[', '=', ':']) && line.contains('=');
        match (is_comment || is_section || is_assignment) && !line.ends_with('\\') {
            true => Line::Complete,
            false => Line::Incomplete,
        }
    }
}
