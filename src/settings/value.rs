//! Text forms of values with units.

use std::{fmt, time::Duration};

use smol_str::SmolStr;

use super::Flaw;

/// Most characters in a name.
const NAME_LENGTH: usize = 64;

const TIME_UNITS: [(&str, u128); 6] = [
    ("h", 3_600_000_000_000),
    ("min", 60_000_000_000),
    ("s", 1_000_000_000),
    ("ms", 1_000_000),
    ("us", 1_000),
    ("ns", 1),
];

const SIZE_UNITS: [(&str, u128); 4] =
    [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// Parses a positive time such as `570 ms`, `9 s` or `2 min`.
///
/// # Errors
/// Fails on another form, a missing unit, zero, or a time of more than a year.
pub fn time(text: &str) -> Result<Duration, Flaw> {
    const YEAR: Duration = Duration::from_secs(366 * 24 * 3_600);
    let flaw = || form(text, "a time with a unit, such as `570 ms`, `9 s` or `2 min`");
    let nanos = measure(text, &TIME_UNITS).ok_or_else(flaw)?;
    let time = u64::try_from(nanos).map(Duration::from_nanos).map_err(|_| flaw())?;
    if time.is_zero() || YEAR < time {
        return Err(flaw());
    }
    Ok(time)
}

/// Parses a positive number of bytes such as `512 KiB` or `4 MiB`.
///
/// # Errors
/// Fails on another form, a missing unit, or zero.
pub fn size(text: &str) -> Result<usize, Flaw> {
    let flaw = || form(text, "a size with a unit, such as `512 KiB` or `4 MiB`");
    let bytes = measure(text, &SIZE_UNITS).ok_or_else(flaw)?;
    usize::try_from(bytes).ok().filter(|it| 0 < *it).ok_or_else(flaw)
}

/// Parses a positive whole number.
///
/// # Errors
/// Fails on another form, zero, or a number that is too large.
pub fn count<T: TryFrom<u64>>(text: &str) -> Result<T, Flaw> {
    let flaw = || form(text, "a whole number above 0, such as `64`");
    let number: u64 = text.parse().map_err(|_| flaw())?;
    if number == 0 {
        return Err(flaw());
    }
    T::try_from(number).map_err(|_| flaw())
}

/// Parses a positive finite number.
///
/// # Errors
/// Fails on another form, and on zero, negative and infinite numbers.
pub fn number(text: &str) -> Result<f64, Flaw> {
    let flaw = || form(text, "a number above 0, such as `2.5`");
    text.parse().ok().filter(|it: &f64| it.is_finite() && 0.0 < *it).ok_or_else(flaw)
}

/// Parses a name: letters, digits, `-`, `_`, `.`, at most 64, the first one a letter or digit.
///
/// # Errors
/// Fails on another form.
pub fn name(text: &str) -> Result<SmolStr, Flaw> {
    let inner = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    let outer = text.starts_with(|it: char| it.is_ascii_alphanumeric());
    if !outer || !text.chars().all(inner) || NAME_LENGTH < text.len() {
        return Err(form(text, "a name of at most 64 letters, digits, `-`, `_` and `.`"));
    }
    Ok(SmolStr::new(text))
}

/// Parses names separated by commas.
///
/// # Errors
/// Fails when one of them is not a name.
pub fn names(text: &str) -> Result<Vec<SmolStr>, Flaw> {
    text.split(',').map(|it| name(it.trim())).collect()
}

/// Parses paths separated by commas, each of which starts with `/`.
///
/// # Errors
/// Fails when one of them does not, or contains white space.
pub fn paths(text: &str) -> Result<Vec<SmolStr>, Flaw> {
    let path = |it: &str| match it.starts_with('/') && !it.contains(char::is_whitespace) {
        true => Ok(SmolStr::new(it)),
        false => Err(form(it, "a path, such as `/orders`")),
    };
    text.split(',').map(|it| path(it.trim())).collect()
}

/// Parses the hash of a key, 64 hexadecimal digits.
///
/// # Errors
/// Fails on another form; the text is not repeated in the flaw, since it may be the key itself.
pub fn key_hash(text: &str) -> Result<SmolStr, Flaw> {
    const DIGITS: usize = 64;
    let hex = |it: char| it.is_ascii_digit() || matches!(it, 'a'..='f');
    if text.len() != DIGITS || !text.chars().all(hex) {
        return Err(form(
            "…",
            "the hash of a key, 64 digits `0-9a-f`, as `fuchsiaknot hash-key` prints it",
        ));
    }
    Ok(SmolStr::new(text))
}

/// Parses one or two hashes of keys, separated by a comma.
///
/// # Errors
/// Fails when there are more, or when one has another form.
pub fn key_hashes(text: &str) -> Result<Vec<SmolStr>, Flaw> {
    const MOST: usize = 2;
    let keys: Vec<SmolStr> =
        text.split(',').map(|it| key_hash(it.trim())).collect::<Result<_, _>>()?;
    if MOST < keys.len() {
        return Err(form("…", "one or two hashes of keys, separated by a comma"));
    }
    Ok(keys)
}

/// Returns a flaw of form.
pub fn form(found: &str, expected: &'static str) -> Flaw {
    Flaw::Form { found: found.into(), expected }
}

/// Formats a time in the largest unit that gives a whole number.
pub fn time_text(time: Duration) -> String {
    measure_text(time.as_nanos(), &TIME_UNITS)
}

/// Formats a size in the largest unit that gives a whole number.
pub fn size_text(bytes: usize) -> String {
    measure_text(bytes as u128, &SIZE_UNITS)
}

fn measure(text: &str, units: &[(&str, u128)]) -> Option<u128> {
    let end = text.find(|it: char| !it.is_ascii_digit())?;
    let (digits, unit) = text.split_at(end);
    let number: u64 = digits.parse().ok()?;
    let (_, factor) = units.iter().find(|(it, _)| *it == unit.trim_start())?;
    Some(u128::from(number) * factor)
}

fn measure_text(amount: u128, units: &[(&str, u128)]) -> String {
    let fits = |(_, factor): &&(&str, u128)| amount.is_multiple_of(*factor);
    match units.iter().find(fits) {
        Some((unit, factor)) => join(amount / factor, unit),
        None => join(amount, units[units.len() - 1].0),
    }
}

fn join(number: impl fmt::Display, unit: &str) -> String {
    format!("{number} {unit}")
}
