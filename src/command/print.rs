//! Output of commands: coloured text or JSON.

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
    colour_stdout: bool,
    colour_stderr: bool,
}

impl Printer {
    /// Creates a printer; `json` prints answers and failures as JSON.
    pub fn new(json: bool, colour: Colour) -> Printer {
        let enabled = |is_terminal| match colour {
            Colour::Auto => is_terminal,
            Colour::Always => true,
            Colour::Never => false,
        };
        Printer {
            json,
            colour_stdout: enabled(io::stdout().is_terminal()),
            colour_stderr: enabled(io::stderr().is_terminal()),
        }
    }

    /// Prints an answer as JSON, or as the text that `text` returns for it.
    ///
    /// # Errors
    /// Fails when standard output is closed.
    pub fn print_answer<A: Serialize>(
        &self,
        answer: &A,
        text: impl FnOnce(&A) -> String,
    ) -> Result<(), Failure> {
        let output = match self.json {
            true => serde_json::to_string_pretty(answer).map_err(io::Error::other)? + "\n",
            false => text(answer),
        };
        self.print_bytes(output.as_bytes())
    }

    /// Prints bytes unchanged.
    ///
    /// # Errors
    /// Fails when standard output is closed.
    pub fn print_bytes(&self, bytes: &[u8]) -> Result<(), Failure> {
        let mut stdout = io::stdout().lock();
        stdout.write_all(bytes)?;
        stdout.flush()?;
        Ok(())
    }

    /// Prints a line about the command's progress to standard error.
    pub fn print_progress(&self, text: impl Display) {
        let _ = writeln!(io::stderr(), "{}", paint(YELLOW, text, self.colour_stderr));
    }

    /// Prints a failure with its details; as JSON, the details go to standard output.
    pub fn print_failure(&self, failure: &Failure) {
        let mut stderr = io::stderr().lock();
        match failure {
            Failure::Faults(faults) if self.json => {
                let _ = self.print_answer(faults, |_| String::new());
            }
            Failure::Conflict { difference, .. } if self.json => {
                let _ = self.print_answer(difference, |_| String::new());
            }
            Failure::Faults(faults) => {
                for it in faults {
                    let section = bracketed(&it.section);
                    let _ = writeln!(stderr, "{}:{section} {}: {}", it.file, it.key, it.reason);
                }
            }
            Failure::Conflict { difference, .. } => {
                let _ = write!(stderr, "{}", self.format_difference(difference));
            }
            _ => {}
        }
        if self.json {
            let message = failure.to_string();
            if let Ok(text) = serde_json::to_string(&Refusal { message }) {
                let _ = writeln!(stderr, "{text}");
            }
            return;
        }
        let _ = writeln!(stderr, "{} {failure}", paint(RED, "error:", self.colour_stderr));
    }

    /// Formats a difference, one change per line.
    pub fn format_difference(&self, difference: &Difference) -> String {
        let colour = |it: &crate::configuration::difference::Change| match (&it.before, &it.after) {
            (None, _) => GREEN,
            (_, None) => RED,
            _ => YELLOW,
        };
        let line = |it| format!("{}\n", paint(colour(it), it, self.colour_stdout));
        difference.changes.iter().map(line).collect()
    }

    /// Formats a table with aligned columns; each row has as many cells as there are headings.
    pub fn format_table(&self, title: &str, headings: &[&str], rows: &[Vec<String>]) -> String {
        let width = |column: usize| {
            let cells = rows.iter().map(|it| it[column].chars().count());
            cells.chain([headings[column].len()]).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..headings.len()).map(width).collect();
        let line = |cells: Vec<&str>| {
            let cell = |(text, width): (&str, &usize)| format!("{text:width$}");
            let cells: Vec<String> = cells.into_iter().zip(&widths).map(cell).collect();
            format!("{}\n", cells.join("  ").trim_end())
        };
        let mut text = format!("{}\n", paint(BOLD, title, self.colour_stdout));
        text += &line(headings.to_vec());
        for row in rows {
            text += &line(row.iter().map(String::as_str).collect());
        }
        text
    }
}

/// Formats the section of a fault; empty for a fault outside any one section.
fn bracketed(section: &str) -> String {
    if section.is_empty() { String::new() } else { format!(" [{section}]") }
}

fn paint(colour: &str, text: impl Display, enabled: bool) -> String {
    if enabled { format!("{colour}{text}{RESET}") } else { text.to_string() }
}
