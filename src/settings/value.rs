//! Parsing and formatting of the values in settings files and lists.

use std::{fmt, time::Duration};

use smol_str::SmolStr;

use super::FaultKind;

/// Maximum length of a name; names are ASCII.
const MAX_NAME_BYTES: usize = 64;

/// Units of time in nanoseconds, from the largest to the smallest.
const TIME_UNITS: [(&str, u128); 6] = [
    ("h", 3_600_000_000_000),
    ("min", 60_000_000_000),
    ("s", 1_000_000_000),
    ("ms", 1_000_000),
    ("us", 1_000),
    ("ns", 1),
];

/// Units of size in bytes, from the largest to the smallest.
const SIZE_UNITS: [(&str, u128); 4] =
    [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// Parses a positive time such as `570 ms`, `9 s` or `2 min`.
///
/// # Errors
/// Fails on any other form, a missing unit, zero, or a time of more than 366 days.
pub fn parse_time(text: &str) -> Result<Duration, FaultKind> {
    const MAX_TIME: Duration = Duration::from_secs(366 * 24 * 3_600);
    let invalid = || invalid_form(text, "a time with a unit, such as `570 ms`, `9 s` or `2 min`");
    let nanos = parse_quantity(text, &TIME_UNITS).ok_or_else(invalid)?;
    let time = u64::try_from(nanos).map(Duration::from_nanos).map_err(|_| invalid())?;
    if time.is_zero() || MAX_TIME < time {
        return Err(invalid());
    }
    Ok(time)
}

/// Parses a positive number of bytes such as `512 KiB` or `4 MiB`.
///
/// # Errors
/// Fails on any other form, a missing unit, or zero.
pub fn parse_size(text: &str) -> Result<usize, FaultKind> {
    let invalid = || invalid_form(text, "a size with a unit, such as `512 KiB` or `4 MiB`");
    let bytes = parse_quantity(text, &SIZE_UNITS).ok_or_else(invalid)?;
    usize::try_from(bytes).ok().filter(|it| 0 < *it).ok_or_else(invalid)
}

/// Parses a positive whole number.
///
/// # Errors
/// Fails on any other form, zero, or a number that does not fit into `T`.
pub fn parse_count<T: TryFrom<u64>>(text: &str) -> Result<T, FaultKind> {
    let invalid = || invalid_form(text, "a whole number above 0, such as `64`");
    let number: u64 = text.parse().map_err(|_| invalid())?;
    if number == 0 {
        return Err(invalid());
    }
    T::try_from(number).map_err(|_| invalid())
}

/// Parses a positive finite number.
///
/// # Errors
/// Fails on any other form, and on zero, negative and infinite numbers.
pub fn parse_number(text: &str) -> Result<f64, FaultKind> {
    let invalid = || invalid_form(text, "a number above 0, such as `2.5`");
    text.parse().ok().filter(|it: &f64| it.is_finite() && 0.0 < *it).ok_or_else(invalid)
}

/// Parses a name: at most 64 ASCII letters, digits, `-`, `_` and `.`, starting with a letter or
/// digit.
///
/// # Errors
/// Fails on any other form.
pub fn parse_name(text: &str) -> Result<SmolStr, FaultKind> {
    let is_name_char = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    let valid_start = text.starts_with(|it: char| it.is_ascii_alphanumeric());
    if !valid_start || !text.chars().all(is_name_char) || MAX_NAME_BYTES < text.len() {
        return Err(invalid_form(text, "a name of at most 64 letters, digits, `-`, `_` and `.`"));
    }
    Ok(SmolStr::new(text))
}

/// Parses names separated by commas.
///
/// # Errors
/// Fails when any of them is not a valid name.
pub fn parse_names(text: &str) -> Result<Vec<SmolStr>, FaultKind> {
    text.split(',').map(|it| parse_name(it.trim())).collect()
}

/// Parses paths separated by commas, each of which starts with `/`.
///
/// # Errors
/// Fails when a path does not start with `/` or contains white space.
pub fn parse_paths(text: &str) -> Result<Vec<SmolStr>, FaultKind> {
    let parse_path = |it: &str| match it.starts_with('/') && !it.contains(char::is_whitespace) {
        true => Ok(SmolStr::new(it)),
        false => Err(invalid_form(it, "a path, such as `/orders`")),
    };
    text.split(',').map(|it| parse_path(it.trim())).collect()
}

/// Parses the hash of a key, 64 lowercase hexadecimal digits.
///
/// # Errors
/// Fails on any other form; the fault does not quote the text, since it may be the key itself.
pub fn parse_key_hash(text: &str) -> Result<SmolStr, FaultKind> {
    const HASH_DIGITS: usize = 64;
    let is_hex_digit = |it: char| it.is_ascii_digit() || matches!(it, 'a'..='f');
    if text.len() != HASH_DIGITS || !text.chars().all(is_hex_digit) {
        return Err(invalid_form(
            "…",
            "the hash of a key, 64 digits `0-9a-f`, as `fuchsiaknot hash-key` prints it",
        ));
    }
    Ok(SmolStr::new(text))
}

/// Parses one or two hashes of keys, separated by a comma.
///
/// # Errors
/// Fails when there are more than two, or when any of them is not a valid hash.
pub fn parse_key_hashes(text: &str) -> Result<Vec<SmolStr>, FaultKind> {
    const MAX_HASHES: usize = 2;
    let keys: Vec<SmolStr> =
        text.split(',').map(|it| parse_key_hash(it.trim())).collect::<Result<_, _>>()?;
    if MAX_HASHES < keys.len() {
        return Err(invalid_form("…", "one or two hashes of keys, separated by a comma"));
    }
    Ok(keys)
}

/// Returns the fault kind of a value without the expected form.
pub fn invalid_form(found: &str, expected: &'static str) -> FaultKind {
    FaultKind::InvalidForm { found: found.into(), expected }
}

/// Formats a time in the largest unit in which it is a whole number.
pub fn format_time(time: Duration) -> String {
    format_quantity(time.as_nanos(), &TIME_UNITS)
}

/// Formats a size in the largest unit in which it is a whole number.
pub fn format_size(bytes: usize) -> String {
    format_quantity(bytes as u128, &SIZE_UNITS)
}

fn parse_quantity(text: &str, units: &[(&str, u128)]) -> Option<u128> {
    let end = text.find(|it: char| !it.is_ascii_digit())?;
    let (digits, unit) = text.split_at(end);
    let number: u64 = digits.parse().ok()?;
    let (_, factor) = units.iter().find(|(it, _)| *it == unit.trim_start())?;
    Some(u128::from(number) * factor)
}

fn format_quantity(amount: u128, units: &[(&str, u128)]) -> String {
    let is_whole = |(_, factor): &&(&str, u128)| amount.is_multiple_of(*factor);
    match units.iter().find(is_whole) {
        Some((unit, factor)) => with_unit(amount / factor, unit),
        None => with_unit(amount, units[units.len() - 1].0),
    }
}

fn with_unit(number: impl fmt::Display, unit: &str) -> String {
    format!("{number} {unit}")
}
