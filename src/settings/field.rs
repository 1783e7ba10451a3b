//! Tables of the keys in a section.

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use super::{Fault, Flaw, Place, value};

/// A section of a settings file or list; `Default` gives the values of absent keys.
pub trait Section: Default + 'static {
    /// Name of the section.
    const NAME: &'static str;
    /// Its keys.
    const FIELDS: &'static [Field<Self>];

    /// Reports values that are possible alone but not together.
    fn check(&self, _place: &Place, _faults: &mut Vec<Fault>) {}
}

/// A key of a section.
#[derive(Debug)]
pub struct Field<S> {
    /// Name of the key.
    pub key: &'static str,
    /// Whether the key may be absent.
    pub need: Need,
    /// What the value means.
    pub meaning: &'static str,
    /// Where the value is kept.
    pub slot: fn(&mut S) -> Slot<'_>,
}

/// Whether a key may be absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// An absent key is a fault.
    Required,
    /// An absent key has the default value.
    Optional,
}

impl<S> Field<S> {
    /// Describes a key that must be given.
    pub const fn required(
        key: &'static str,
        meaning: &'static str,
        slot: fn(&mut S) -> Slot<'_>,
    ) -> Field<S> {
        Field { key, need: Need::Required, meaning, slot }
    }

    /// Describes a key that has a default.
    pub const fn optional(
        key: &'static str,
        meaning: &'static str,
        slot: fn(&mut S) -> Slot<'_>,
    ) -> Field<S> {
        Field { key, need: Need::Optional, meaning, slot }
    }
}

/// A place for a checked value; the variant gives its form and unit.
#[derive(Debug)]
pub enum Slot<'a> {
    /// A positive time.
    Time(&'a mut Duration),
    /// A positive number of bytes.
    Size(&'a mut usize),
    /// A positive whole number.
    Count(&'a mut usize),
    /// A positive whole number of 32 bits.
    Count32(&'a mut u32),
    /// A whole number of either sign.
    Signed(&'a mut i32),
    /// A positive number.
    Number(&'a mut f64),
    /// A name.
    Name(&'a mut SmolStr),
    /// Names separated by commas; none by default.
    Names(&'a mut Vec<SmolStr>),
    /// Paths separated by commas; none by default.
    Paths(&'a mut Vec<SmolStr>),
    /// An IP address with a port.
    Address(&'a mut SocketAddr),
    /// An IP address with a port, or none.
    OptionalAddress(&'a mut Option<SocketAddr>),
    /// One or two hashes of keys, separated by a comma.
    KeyHashes(&'a mut Vec<SmolStr>),
    /// The hash of a key, or none.
    OptionalKeyHash(&'a mut Option<String>),
    /// A text that is never shown.
    Secret(&'a mut String),
}

impl Slot<'_> {
    /// Parses the text and keeps the value.
    ///
    /// # Errors
    /// Fails when the text has another form; the value is then unchanged.
    pub fn set(self, text: &str) -> Result<(), Flaw> {
        match self {
            Slot::Time(it) => *it = value::time(text)?,
            Slot::Size(it) => *it = value::size(text)?,
            Slot::Count(it) => *it = value::count(text)?,
            Slot::Count32(it) => *it = value::count(text)?,
            Slot::Signed(it) => *it = signed(text)?,
            Slot::Number(it) => *it = value::number(text)?,
            Slot::Name(it) => *it = value::name(text)?,
            Slot::Names(it) => *it = value::names(text)?,
            Slot::Paths(it) => *it = value::paths(text)?,
            Slot::Address(it) => *it = address(text)?,
            Slot::OptionalAddress(it) => *it = Some(address(text)?),
            Slot::KeyHashes(it) => *it = value::key_hashes(text)?,
            Slot::OptionalKeyHash(it) => *it = Some(value::key_hash(text)?.into()),
            Slot::Secret(it) => *it = secret(text)?,
        }
        Ok(())
    }

    /// Returns the value as text that [`Slot::set`] reads back, or `None` when there is none.
    pub fn text(self) -> Option<String> {
        match self {
            Slot::Time(it) => Some(value::time_text(*it)),
            Slot::Size(it) => Some(value::size_text(*it)),
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

    /// Returns the unit or form of the value, as the documentation names it.
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

fn signed(text: &str) -> Result<i32, Flaw> {
    text.parse().map_err(|_| value::form(text, "a whole number, such as `-1` or `10`"))
}

fn address(text: &str) -> Result<SocketAddr, Flaw> {
    let expected = "an IP address with a port, such as `10.0.0.7:8080`";
    text.parse().map_err(|_| value::form(text, expected))
}

fn secret(text: &str) -> Result<String, Flaw> {
    const LEAST_LENGTH: usize = 16;
    if text.len() < LEAST_LENGTH {
        return Err(value::form("…", "a secret of at least 16 characters"));
    }
    Ok(text.to_owned())
}

/// A documented key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// Name of the section.
    pub section: &'static str,
    /// Name of the key.
    pub name: &'static str,
    /// Unit or form of the value.
    pub unit: &'static str,
    /// Value of an absent key as text; `None` when there is none.
    pub default: Option<String>,
    /// Whether the key may be absent.
    pub need: Need,
    /// What the value means.
    pub meaning: &'static str,
}

/// Returns the documented keys of a section.
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

/// Returns the values of a section that are present, by key.
pub fn values<S: Section + Clone>(section: &S) -> Vec<(&'static str, String)> {
    let mut section = section.clone();
    let value = |it: &Field<S>| Some((it.key, (it.slot)(&mut section).text()?));
    S::FIELDS.iter().filter_map(value).collect()
}

/// Returns the INI text of a section under the given name.
pub fn text<S: Section + Clone>(name: &str, section: &S) -> String {
    let line = |(key, value)| format!("{key} = {value}\n");
    let lines: String = values(section).into_iter().map(line).collect();
    format!("[{name}]\n{lines}")
}
