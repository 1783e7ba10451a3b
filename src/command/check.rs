//! The commands `check` and `hash-key`.

use std::{io::Read, path::Path};

use serde::Serialize;

use super::{Failure, Printer};
use crate::{operate::wire::Fault, settings::Settings, utils};

/// Answer of `check`.
#[derive(Debug, Serialize)]
struct Checked {
    host: smol_str::SmolStr,
    data_centre: smol_str::SmolStr,
}

/// Answer of `hash-key`.
#[derive(Debug, Serialize)]
struct Hashed {
    hash: String,
}

pub(super) fn settings(file: &Path, printer: &Printer) -> Result<(), Failure> {
    let settings = Settings::read(file)
        .map_err(|faults| Failure::Faults(faults.iter().map(Fault::from).collect()))?;
    let checked = Checked { host: settings.host.name, data_centre: settings.host.data_centre };
    printer.answer(&checked, |it| {
        format!("{}: no faults; host {} in {}\n", file.display(), it.host, it.data_centre)
    })
}

pub(super) fn hash_key(printer: &Printer) -> Result<(), Failure> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key)?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(Failure::Usage("the key is empty; pipe it in, as in `printf %s KEY |`".into()));
    }
    printer.answer(&Hashed { hash: utils::key_hash(key) }, |it| format!("{}\n", it.hash))
}
