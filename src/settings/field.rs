//! Declarations of sections and their keys.

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use super::{Fault, FaultKind, Location, value};

/// A section of a settings file or list; `Default` provides the values of absent keys.
pub trait Section: Default + 'static {
    /// Name of the section; named sections have the heading `[NAME <name>]`.
    const NAME: &'static str;
    /// Keys of the section.
    const FIELDS: &'static [Field<Self>];

    /// Adds faults of values that parse but are not allowed, alone or in combination.
    fn check(&self, _location: &Location, _faults: &mut Vec<Fault>) {}
}

/// Declaration of a key in a section.
#[derive(Debug)]
pub struct Field<S> {
    /// Name of the key.
    pub key: &'static str,
    /// Whether the key may be absent.
    pub need: Need,
    /// Description of the value for the documentation.
    pub meaning: &'static str,
    /// Borrows the field of the section that stores the value.
    pub slot: fn(&mut S) -> Slot<'_>,
}

/// Whether a key may be absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// The key must be present.
    Required,
    /// An absent key takes the default value.
    Optional,
}

impl<S> Field<S> {
    /// Declares a key that must be present.
    pub const fn required(
        key: &'static str,
        meaning: &'static str,
        slot: fn(&mut S) -> Slot<'_>,
    ) -> Field<S> {
        Field { key, need: Need::Required, meaning, slot }
    }

    /// Declares a key that has a default value.
    pub const fn optional(
        key: &'static str,
        meaning: &'static str,
        slot: fn(&mut S) -> Slot<'_>,
    ) -> Field<S> {
        Field { key, need: Need::Optional, meaning, slot }
    }
}

/// Mutable reference to the field that stores a value; the variant determines the value's text
/// form.
#[derive(Debug)]
pub enum Slot<'a> {
    /// A positive time with a unit.
    Time(&'a mut Duration),
    /// A positive size with a unit, stored in bytes.
    Size(&'a mut usize),
    /// A positive whole number.
    Count(&'a mut usize),
    /// A positive whole number that fits into 32 bits.
    Count32(&'a mut u32),
    /// A whole number, positive, zero or negative.
    Signed(&'a mut i32),
    /// A positive finite number.
    Number(&'a mut f64),
    /// A name.
    Name(&'a mut SmolStr),
    /// Names separated by commas.
    Names(&'a mut Vec<SmolStr>),
    /// Paths separated by commas.
    Paths(&'a mut Vec<SmolStr>),
    /// An IP address with a port.
    Address(&'a mut SocketAddr),
    /// An optional IP address with a port.
    OptionalAddress(&'a mut Option<SocketAddr>),
    /// One or two hashes of keys, separated by a comma.
    KeyHashes(&'a mut Vec<SmolStr>),
    /// An optional hash of a key.
    OptionalKeyHash(&'a mut Option<String>),
    /// A secret, which faults don't show.
    Secret(&'a mut String),
}

impl Slot<'_> {
    /// Parses the text and stores the value.
    ///
    /// # Errors
    /// Fails when the text does not have the expected form; the stored value is then unchanged.
    pub fn set(self, text: &str) -> Result<(), FaultKind> {
        match self {
            Slot::Time(it) => *it = value::parse_time(text)?,
            Slot::Size(it) => *it = value::parse_size(text)?,
            Slot::Count(it) => *it = value::parse_count(text)?,
            Slot::Count32(it) => *it = value::parse_count(text)?,
            Slot::Signed(it) => *it = parse_signed(text)?,
            Slot::Number(it) => *it = value::parse_number(text)?,
            Slot::Name(it) => *it = value::parse_name(text)?,
            Slot::Names(it) => *it = value::parse_names(text)?,
            Slot::Paths(it) => *it = value::parse_paths(text)?,
            Slot::Address(it) => *it = parse_address(text)?,
            Slot::OptionalAddress(it) => *it = Some(parse_address(text)?),
            Slot::KeyHashes(it) => *it = value::parse_key_hashes(text)?,
            Slot::OptionalKeyHash(it) => *it = Some(value::parse_key_hash(text)?.into()),
            Slot::Secret(it) => *it = parse_secret(text)?,
        }
        Ok(())
    }

    /// Formats the value as text that [`Slot::set`] can parse; `None` if the value is absent or
    /// empty.
    pub fn text(self) -> Option<String> {
        match self {
            Slot::Time(it) => Some(value::format_time(*it)),
            Slot::Size(it) => Some(value::format_size(*it)),
            Slot::Count(it) => Some(it.to_string()),
            Slot::Count32(it) => Some(it.to_string()),
            Slot::Signed(it) => Some(it.to_string()),
            Slot::Number(it) => Some(it.to_string()),
            Slot::Name(it) => Some(it.to_string()),
            Slot::Names(it) | Slot::Paths(it) | Slot::KeyHashes(it) if it.is_empty() => None,
            Slot::Names(it) | Slot::Paths(it) | Slot::KeyHashes(it) => Some(it.join(", ")),
            Slot::Address(it) => Some(it.to_string()),
            Slot::OptionalAddress(it) => it.map(|it| it.to_string()),
            Slot::OptionalKeyHash(it) => it.clone(),
            Slot::Secret(it) if it.is_empty() => None,
            Slot::Secret(it) => Some(it.clone()),
        }
    }

    /// Returns the name of the value's form in the documentation.
    pub fn unit(&self) -> &'static str {
        match self {
            Slot::Time(_) => "time",
            Slot::Size(_) => "size",
            Slot::Count(_) | Slot::Count32(_) => "count",
            Slot::Signed(_) => "whole number",
            Slot::Number(_) => "number",
            Slot::Name(_) => "name",
            Slot::Names(_) => "names",
            Slot::Paths(_) => "paths",
            Slot::Address(_) | Slot::OptionalAddress(_) => "address",
            Slot::KeyHashes(_) => "key hashes",
            Slot::OptionalKeyHash(_) => "key hash",
            Slot::Secret(_) => "text",
        }
    }
}

fn parse_signed(text: &str) -> Result<i32, FaultKind> {
    text.parse().map_err(|_| value::invalid_form(text, "a whole number, such as `-1` or `10`"))
}

fn parse_address(text: &str) -> Result<SocketAddr, FaultKind> {
    let expected = "an IP address with a port, such as `10.0.0.7:8080`";
    text.parse().map_err(|_| value::invalid_form(text, expected))
}

fn parse_secret(text: &str) -> Result<String, FaultKind> {
    const MIN_SECRET_BYTES: usize = 16;
    if text.len() < MIN_SECRET_BYTES {
        return Err(value::invalid_form("…", "a secret of at least 16 characters"));
    }
    Ok(text.to_owned())
}

/// Documentation of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// Name of the section.
    pub section: &'static str,
    /// Name of the key.
    pub name: &'static str,
    /// Name of the value's form.
    pub unit: &'static str,
    /// Default value as text, if any.
    pub default: Option<String>,
    /// Whether the key may be absent.
    pub need: Need,
    /// Description of the value.
    pub meaning: &'static str,
}

/// Returns the documentation of all keys in a section.
pub fn keys<S: Section>() -> Vec<Key> {
    let mut section = S::default();
    let key = |it: &Field<S>| Key {
        section: S::NAME,
        name: it.key,
        unit: (it.slot)(&mut section).unit(),
        default: match it.need {
            Need::Required => None,
            Need::Optional => (it.slot)(&mut section).text(),
        },
        need: it.need,
        meaning: it.meaning,
    };
    S::FIELDS.iter().map(key).collect()
}

/// Returns the keys of a section that have a value, with their values as text.
pub fn values<S: Section + Clone>(section: &S) -> Vec<(&'static str, String)> {
    let mut section = section.clone();
    let value = |it: &Field<S>| Some((it.key, (it.slot)(&mut section).text()?));
    S::FIELDS.iter().filter_map(value).collect()
}

/// Formats a section as INI text with `name` as its heading.
pub fn ini_text<S: Section + Clone>(name: &str, section: &S) -> String {
    let line = |(key, value)| format!("{key} = {value}\n");
    let lines: String = values(section).into_iter().map(line).collect();
    format!("[{name}]\n{lines}")
}
