//! Changes to the text of a list that keep its comments and order.

/// A change to one section of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Edit {
    /// Sets a key, adding it and its section when they are absent.
    Set {
        /// Name of the key.
        key: String,
        /// New value.
        value: String,
    },
    /// Deletes a key.
    Delete {
        /// Name of the key.
        key: String,
    },
    /// Deletes the whole section.
    DeleteSection,
}

/// Returns the text with one section changed.
pub fn edit(text: &str, section: &str, edit: &Edit) -> String {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let body = find(&lines, section);
    match (edit, body) {
        (Edit::Set { key, value }, Some(body)) => set(&mut lines, body, key, value),
        (Edit::Set { key, value }, None) => {
            if !lines.is_empty() {
                lines.push(String::new());
            }
            lines.push(format!("[{section}]"));
            lines.push(format!("{key} = {value}"));
        }
        (Edit::Delete { key }, Some(body)) => {
            let at = body.into_iter().find(|it| is_key(&lines[*it], key));
            at.map(|it| lines.remove(it));
        }
        (Edit::DeleteSection, Some(body)) => {
            lines.drain(body.start - 1..body.end);
        }
        (Edit::Delete { .. } | Edit::DeleteSection, None) => {}
    }
    lines.into_iter().map(|it| it + "\n").collect()
}

/// Returns the lines of a section after its head.
fn find(lines: &[String], section: &str) -> Option<std::ops::Range<usize>> {
    let is_head = |it: &String| {
        let inner = it.trim().strip_prefix('[').and_then(|it| it.strip_suffix(']'));
        inner.is_some_and(|it| it.trim() == section)
    };
    let start = lines.iter().position(is_head)? + 1;
    let length = lines[start..].iter().position(|it| it.trim().starts_with('['));
    Some(start..length.map_or(lines.len(), |it| start + it))
}

fn set(lines: &mut Vec<String>, body: std::ops::Range<usize>, key: &str, value: &str) {
    let line = format!("{key} = {value}");
    match body.clone().find(|it| is_key(&lines[*it], key)) {
        Some(at) => lines[at] = line,
        None => {
            let last = body.clone().rev().find(|it| !lines[*it].trim().is_empty());
            lines.insert(last.map_or(body.start, |it| it + 1), line);
        }
    }
}

fn is_key(line: &str, key: &str) -> bool {
    line.split_once('=').is_some_and(|(it, _)| it.trim() == key)
}
