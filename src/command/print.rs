//! Output of commands: text with colour on a terminal, or JSON.

use std::{
    fmt::Display,
    io::{self, IsTerminal, Write},
};

use serde::Serialize;

use super::{Colour, Failure};
use crate::{configuration::Difference, operate::wire::Refusal};

const RED: &str = "\u{1b}[31m";
const GREEN: &str = "\u{1b}[32m";
const YELLOW: &str = "\u{1b}[33m";
const BOLD: &str = "\u{1b}[1m";
const RESET: &str = "\u{1b}[0m";

/// Prints answers to standard output and failures to standard error.
#[derive(Debug, Clone, Copy)]
pub struct Printer {
    json: bool,
    colour_out: bool,
    colour_err: bool,
}

impl Printer {
    /// Creates a printer.
    pub fn new(json: bool, colour: Colour) -> Printer {
        let on = |terminal| match colour {
            Colour::Auto => terminal,
            Colour::Always => true,
            Colour::Never => false,
        };
        Printer {
            json,
            colour_out: on(io::stdout().is_terminal()),
            colour_err: on(io::stderr().is_terminal()),
        }
    }

    /// Prints an answer as JSON, or as the text that `text` makes of it.
    ///
    /// # Errors
    /// Fails when standard output is closed.
    pub fn answer<A: Serialize>(
        &self,
        answer: &A,
        text: impl FnOnce(&A) -> String,
    ) -> Result<(), Failure> {
        let output = match self.json {
            true => serde_json::to_string_pretty(answer).map_err(io::Error::other)? + "\n",
            false => text(answer),
        };
        self.raw(output.as_bytes())
    }

    /// Prints bytes as they are.
    ///
    /// # Errors
    /// Fails when standard output is closed.
    pub fn raw(&self, bytes: &[u8]) -> Result<(), Failure> {
        let mut out = io::stdout().lock();
        out.write_all(bytes)?;
        out.flush()?;
        Ok(())
    }

    /// Prints progress to standard error.
    pub fn note(&self, text: impl Display) {
        let _ = writeln!(io::stderr(), "{}", paint(YELLOW, text, self.colour_err));
    }

    /// Prints a failure with its details.
    pub fn failure(&self, failure: &Failure) {
        let mut err = io::stderr().lock();
        match failure {
            Failure::Faults(faults) if self.json => {
                let _ = self.answer(faults, |_| String::new());
            }
            Failure::Conflict { difference, .. } if self.json => {
                let _ = self.answer(difference, |_| String::new());
            }
            Failure::Faults(faults) => {
                for it in faults {
                    let section = bracketed(&it.section);
                    let _ = writeln!(err, "{}:{section} {}: {}", it.file, it.key, it.reason);
                }
            }
            Failure::Conflict { difference, .. } => {
                let _ = write!(err, "{}", self.difference(difference));
            }
            _ => {}
        }
        if self.json {
            let message = failure.to_string();
            if let Ok(text) = serde_json::to_string(&Refusal { message }) {
                let _ = writeln!(err, "{text}");
            }
            return;
        }
        let _ = writeln!(err, "{} {failure}", paint(RED, "error:", self.colour_err));
    }

    /// Formats a difference, one change a line.
    pub fn difference(&self, difference: &Difference) -> String {
        let colour = |it: &crate::configuration::difference::Change| match (&it.before, &it.after) {
            (None, _) => GREEN,
            (_, None) => RED,
            _ => YELLOW,
        };
        let line = |it| format!("{}\n", paint(colour(it), it, self.colour_out));
        difference.changes.iter().map(line).collect()
    }

    /// Formats a table with aligned columns.
    pub fn table(&self, title: &str, heads: &[&str], rows: &[Vec<String>]) -> String {
        let width = |column: usize| {
            let cells = rows.iter().map(|it| it[column].chars().count());
            cells.chain([heads[column].len()]).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..heads.len()).map(width).collect();
        let line = |cells: Vec<&str>| {
            let cell = |(text, width): (&str, &usize)| format!("{text:width$}");
            let cells: Vec<String> = cells.into_iter().zip(&widths).map(cell).collect();
            format!("{}\n", cells.join("  ").trim_end())
        };
        let mut text = format!("{}\n", paint(BOLD, title, self.colour_out));
        text += &line(heads.to_vec());
        for row in rows {
            text += &line(row.iter().map(String::as_str).collect());
        }
        text
    }
}

fn bracketed(section: &str) -> String {
    if section.is_empty() { String::new() } else { format!(" [{section}]") }
}

fn paint(colour: &str, text: impl Display, on: bool) -> String {
    if on { format!("{colour}{text}{RESET}") } else { text.to_string() }
}
