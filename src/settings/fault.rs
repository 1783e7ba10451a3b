//! Faults of settings files and lists, each with its place.

use std::fmt;

use smol_str::SmolStr;

/// A fault and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {flaw}")]
pub struct Fault {
    /// Where it stands.
    pub place: Place,
    /// What is wrong there.
    pub flaw: Flaw,
}

/// File, section and key of a fault; section and key are empty when it concerns more than one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Name of the file or list.
    pub file: SmolStr,
    /// Name of the section, without brackets.
    pub section: SmolStr,
    /// Name of the key.
    pub key: SmolStr,
}

impl Place {
    /// Returns the place of a whole file.
    pub fn file(file: &str) -> Place {
        Place { file: file.into(), section: SmolStr::default(), key: SmolStr::default() }
    }

    /// Returns the place of a section of the same file.
    pub fn section(&self, section: &str) -> Place {
        Place { section: section.into(), key: SmolStr::default(), ..self.clone() }
    }

    /// Returns the place of a key of the same section.
    pub fn key(&self, key: &str) -> Place {
        Place { key: key.into(), ..self.clone() }
    }

    /// Returns the fault of this place.
    pub fn fault(self, flaw: Flaw) -> Fault {
        Fault { place: self, flaw }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if !self.section.is_empty() {
            write!(f, ": [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        Ok(())
    }
}

/// What is wrong at a place.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Flaw {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// The text is not INI.
    #[error("line {line}: {message}; write `[section]` and `key = value`, one a line")]
    Syntax {
        /// Line, from 1.
        line: usize,
        /// What the parser found.
        message: String,
    },
    /// A line is neither a section, a comment nor a key with a value.
    #[error("line {line} is neither `[section]`, `# comment` nor `key = value`")]
    NoValue {
        /// Line, from 1.
        line: usize,
    },
    /// The section is not known.
    #[error("unknown section{}", hint(.nearest))]
    UnknownSection {
        /// Nearest known name, if one is near.
        nearest: Option<SmolStr>,
    },
    /// The key is not known.
    #[error("unknown key{}", hint(.nearest))]
    UnknownKey {
        /// Nearest known name, if one is near.
        nearest: Option<SmolStr>,
    },
    /// The section or key stands twice.
    #[error("given more than once")]
    Repeated,
    /// A required value is absent.
    #[error("missing; it has no default")]
    Missing,
    /// The value is empty.
    #[error("empty; delete the line to use the default")]
    Empty,
    /// The value is not of the expected form.
    #[error("`{found}` is not {expected}")]
    Form {
        /// The text that was found.
        found: SmolStr,
        /// The form that was expected, with an example.
        expected: &'static str,
    },
    /// The value is lower than another one allows.
    #[error("must be longer than {0}")]
    NotLongerThan(&'static str),
    /// The same value was given elsewhere, where it must be unique.
    #[error("the same value stands in [{0}]")]
    Duplicate(SmolStr),
    /// A customer is on a plan without limits.
    #[error("the plan `{plan}` has no limits{}", hint(.nearest))]
    UnknownPlan {
        /// The plan that was named.
        plan: SmolStr,
        /// Nearest known name, if one is near.
        nearest: Option<SmolStr>,
    },
}

fn hint(nearest: &Option<SmolStr>) -> String {
    match nearest {
        Some(it) => format!("; did you mean `{it}`?"),
        None => String::new(),
    }
}

/// Returns the known name that is nearest to `name`, if one is similar.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<SmolStr> {
    const LEAST_SIMILARITY: f64 = 0.6;
    known
        .into_iter()
        .map(|it| (strsim::jaro_winkler(name, it), it))
        .filter(|(similarity, _)| LEAST_SIMILARITY <= *similarity)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, it)| SmolStr::new(it))
}
