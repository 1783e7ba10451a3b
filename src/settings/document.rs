//! INI text with the faults found in it so far.

use ini::{Ini, ParseOption, Properties};

use smol_str::SmolStr;

use super::{Fault, Field, Flaw, Need, Place, Section, fault, value};

/// INI text that is being checked.
#[derive(Debug)]
pub struct Document {
    place: Place,
    ini: Ini,
    faults: Vec<Fault>,
}

impl Document {
    /// Parses INI text; a text that is not INI counts as empty, with one fault.
    pub fn parse(file: &str, text: &str) -> Document {
        let option =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let place = Place::file(file);
        let mut faults = Vec::new();
        let text = keep_complete_lines(&place, text, &mut faults);
        let ini = Ini::load_from_str_opt(&text, option).unwrap_or_else(|err| {
            let flaw = Flaw::Syntax { line: err.line, message: err.msg.into_owned() };
            faults.push(place.clone().fault(flaw));
            Ini::new()
        });
        let mut document = Document { place, ini, faults };
        document.refuse_keys_outside_sections();
        document
    }

    /// Returns the place of the whole document.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Adds a fault.
    pub fn fault(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Returns the names of all sections in their order, a repeated one each time.
    pub fn sections(&self) -> Vec<String> {
        self.ini.sections().flatten().map(str::to_owned).collect()
    }

    /// Returns the checked name in a section `<S::NAME> <name>`, or `None` for other sections.
    ///
    /// A name of the wrong form is a fault and gives `None`.
    pub fn named<S: Section>(&mut self, section: &str) -> Option<SmolStr> {
        let name = section.strip_prefix(S::NAME)?.strip_prefix(' ')?;
        match value::name(name.trim()) {
            Ok(name) => Some(name),
            Err(flaw) => {
                let place = self.place.section(section);
                self.fault(place.fault(flaw));
                None
            }
        }
    }

    /// Adds the fault of an unknown section.
    pub fn unknown_section<const N: usize>(&mut self, section: &str, known: [&'static str; N]) {
        let nearest = fault::nearest(section, known);
        let place = self.place.section(section);
        self.fault(place.fault(Flaw::UnknownSection { nearest }));
    }

    /// Reads a section; an absent one has its defaults, and faults for the required keys.
    pub fn section<S: Section>(&mut self, name: &str) -> S {
        let place = self.place.section(name);
        let found: Vec<Properties> = self.ini.section_all(Some(name)).cloned().collect();
        if 1 < found.len() {
            self.fault(place.clone().fault(Flaw::Repeated));
        }
        let properties = found.into_iter().next().unwrap_or_default();
        self.refuse_unknown_keys(&place, &properties, S::FIELDS);
        let mut section = S::default();
        for field in S::FIELDS {
            self.read_field(&place, &properties, field, &mut section);
        }
        section.check(&place, &mut self.faults);
        section
    }

    /// Returns the value if no fault was found.
    ///
    /// # Errors
    /// Returns all faults, in the order of their places.
    pub fn finish<T>(mut self, value: T) -> Result<T, Vec<Fault>> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort_by(|a, b| a.place.cmp(&b.place));
        self.faults.dedup();
        Err(self.faults)
    }

    fn read_field<S>(
        &mut self,
        place: &Place,
        properties: &Properties,
        field: &Field<S>,
        section: &mut S,
    ) {
        let place = place.key(field.key);
        let mut values = properties.get_all(field.key);
        let Some(text) = values.next() else {
            if field.need == Need::Required {
                self.fault(place.fault(Flaw::Missing));
            }
            return;
        };
        if values.next().is_some() {
            self.fault(place.clone().fault(Flaw::Repeated));
        }
        if text.trim().is_empty() {
            self.fault(place.fault(Flaw::Empty));
            return;
        }
        if let Err(flaw) = (field.slot)(section).set(text.trim()) {
            self.fault(place.fault(flaw));
        }
    }

    fn refuse_unknown_keys<S>(
        &mut self,
        place: &Place,
        properties: &Properties,
        fields: &[Field<S>],
    ) {
        for (key, _) in properties.iter() {
            if fields.iter().any(|it| it.key == key) {
                continue;
            }
            let nearest = fault::nearest(key, fields.iter().map(|it| it.key));
            self.fault(place.key(key).fault(Flaw::UnknownKey { nearest }));
        }
    }

    fn refuse_keys_outside_sections(&mut self) {
        let keys: Vec<String> =
            self.ini.general_section().iter().map(|(key, _)| key.to_owned()).collect();
        for key in keys {
            let nearest = None;
            let place = self.place.key(key.trim());
            self.fault(place.fault(Flaw::UnknownKey { nearest }));
        }
    }
}

/// Drops lines that are neither a section, a comment nor a key with a value, each with a fault.
///
/// The parser would take such a line and the next ones for one long key.
fn keep_complete_lines(place: &Place, text: &str, faults: &mut Vec<Fault>) -> String {
    let mut kept = String::with_capacity(text.len());
    for (index, line) in text.lines().enumerate() {
        match Line::of(line.trim()) {
            Line::Complete => kept.push_str(line.trim()),
            Line::Incomplete => {
                faults.push(place.clone().fault(Flaw::NoValue { line: index + 1 }));
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
    fn of(line: &str) -> Line {
        let comment = line.is_empty() || line.starts_with(['#', ';']);
        let section = line.starts_with('[') && line.ends_with(']');
        let value = !line.starts_with(['[', '=', ':']) && line.contains('=');
        match (comment || section || value) && !line.ends_with('\\') {
            true => Line::Complete,
            false => Line::Incomplete,
        }
    }
}
