//! Edits to the text of a list that preserve its comments and order.

/// An edit to one section of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SectionEdit {
    /// Sets a key; adds the key and its section if they are absent.
    Set {
        /// Name of the key.
        key: String,
        /// New value.
        value: String,
    },
    /// Deletes a key if it is present.
    Delete {
        /// Name of the key.
        key: String,
    },
    /// Deletes the section with all its keys if it is present.
    DeleteSection,
}

/// Returns `text` with the edit applied to the section.
pub fn edit_section(text: &str, section: &str, edit: &SectionEdit) -> String {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let body = section_body(&lines, section);
    match (edit, body) {
        (SectionEdit::Set { key, value }, Some(body)) => set_key(&mut lines, body, key, value),
        (SectionEdit::Set { key, value }, None) => {
            if !lines.is_empty() {
                lines.push(String::new());
            }
            lines.push(format!("[{section}]"));
            lines.push(format!("{key} = {value}"));
        }
        (SectionEdit::Delete { key }, Some(body)) => {
            let at = body.into_iter().find(|it| is_key(&lines[*it], key));
            at.map(|it| lines.remove(it));
        }
        (SectionEdit::DeleteSection, Some(body)) => {
            lines.drain(body.start - 1..body.end);
        }
        (SectionEdit::Delete { .. } | SectionEdit::DeleteSection, None) => {}
    }
    lines.into_iter().map(|it| it + "\n").collect()
}

/// Returns the indices of the lines of a section, without its `[section]` header.
fn section_body(lines: &[String], section: &str) -> Option<std::ops::Range<usize>> {
    let is_header = |it: &String| {
        let inner = it.trim().strip_prefix('[').and_then(|it| it.strip_suffix(']'));
        inner.is_some_and(|it| it.trim() == section)
    };
    let start = lines.iter().position(is_header)? + 1;
    let length = lines[start..].iter().position(|it| it.trim().starts_with('['));
    Some(start..length.map_or(lines.len(), |it| start + it))
}

fn set_key(lines: &mut Vec<String>, body: std::ops::Range<usize>, key: &str, value: &str) {
    let line = format!("{key} = {value}");
    match body.clone().find(|it| is_key(&lines[*it], key)) {
        Some(at) => lines[at] = line,
        None => {
            let last = body.clone().rev().find(|it| !lines[*it].trim().is_empty());
            lines.insert(last.map_or(body.start, |it| it + 1), line);
        }
    }
}

/// Returns whether a line assigns a value to the key.
fn is_key(line: &str, key: &str) -> bool {
    line.split_once('=').is_some_and(|(it, _)| it.trim() == key)
}
