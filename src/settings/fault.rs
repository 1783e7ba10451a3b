//! Faults in settings files and lists, each with its location.

use std::fmt;

use smol_str::SmolStr;

/// A fault in a settings file or list.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{location}: {kind}")]
pub struct Fault {
    /// Where the fault is.
    pub location: Location,
    /// What is wrong at the location.
    pub kind: FaultKind,
}

/// File, section and key of a fault; section and key are empty when the fault isn't in a single
/// one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// Name of the file or list.
    pub file: SmolStr,
    /// Name of the section, without brackets.
    pub section: SmolStr,
    /// Name of the key.
    pub key: SmolStr,
}

impl Location {
    /// Returns the location of a whole file.
    pub fn file(file: &str) -> Location {
        Location { file: file.into(), section: SmolStr::default(), key: SmolStr::default() }
    }

    /// Returns the location of a section in the same file.
    pub fn section(&self, section: &str) -> Location {
        Location { section: section.into(), key: SmolStr::default(), ..self.clone() }
    }

    /// Returns the location of a key in the same section.
    pub fn key(&self, key: &str) -> Location {
        Location { key: key.into(), ..self.clone() }
    }

    /// Creates a fault at this location.
    pub fn fault(self, kind: FaultKind) -> Fault {
        Fault { location: self, kind }
    }
}

impl fmt::Display for Location {
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

/// What is wrong at a location.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FaultKind {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// The text is not valid INI.
    #[error("line {line}: {message}; write `[section]` and `key = value`, one a line")]
    Syntax {
        /// Line number, counted from 1.
        line: usize,
        /// Message of the INI parser.
        message: String,
    },
    /// A line is neither a section, a comment nor a key with a value.
    #[error("line {line} is neither `[section]`, `# comment` nor `key = value`")]
    IncompleteLine {
        /// Line number, counted from 1.
        line: usize,
    },
    /// The section is unknown.
    #[error("unknown section{}", suggestion(.nearest))]
    UnknownSection {
        /// Most similar known name, if any is similar enough.
        nearest: Option<SmolStr>,
    },
    /// The key is unknown.
    #[error("unknown key{}", suggestion(.nearest))]
    UnknownKey {
        /// Most similar known name, if any is similar enough.
        nearest: Option<SmolStr>,
    },
    /// The section or key occurs more than once.
    #[error("given more than once")]
    Repeated,
    /// A required value is absent.
    #[error("missing; it has no default")]
    Missing,
    /// The value is empty.
    #[error("empty; delete the line to use the default")]
    Empty,
    /// The value does not have the expected form.
    #[error("`{found}` is not {expected}")]
    InvalidForm {
        /// Text of the value; `…` for secrets and key hashes.
        found: SmolStr,
        /// Description of the expected form.
        expected: &'static str,
    },
    /// The time must be longer than that of the given key.
    #[error("must be longer than {0}")]
    NotLongerThan(&'static str),
    /// The value must be unique, but is also used in the given section.
    #[error("the same value stands in [{0}]")]
    Duplicate(SmolStr),
    /// A client account has a plan without limits.
    #[error("the plan `{plan}` has no limits{}", suggestion(.nearest))]
    UnknownPlan {
        /// Name of the plan.
        plan: SmolStr,
        /// Most similar known name, if any is similar enough.
        nearest: Option<SmolStr>,
    },
}

fn suggestion(nearest: &Option<SmolStr>) -> String {
    match nearest {
        Some(it) => format!("; did you mean `{it}`?"),
        None => String::new(),
    }
}

/// Returns the known name that is most similar to `name`, if any is similar enough.
pub fn nearest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<SmolStr> {
    const MIN_SIMILARITY: f64 = 0.6;
    known
        .into_iter()
        .map(|it| (strsim::jaro_winkler(name, it), it))
        .filter(|(similarity, _)| MIN_SIMILARITY <= *similarity)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, it)| SmolStr::new(it))
}
