//! The commands `check` and `hash-key`.

use std::{io::Read, path::Path};

use serde::Serialize;

use super::{Failure, Printer};
use crate::{operate::wire::Fault, settings::Settings, utils};

/// Answer of `check`: the host that the settings are for.
#[derive(Debug, Serialize)]
struct SettingsSummary {
    host: smol_str::SmolStr,
    data_centre: smol_str::SmolStr,
}

/// Answer of `hash-key`.
#[derive(Debug, Serialize)]
struct KeyHash {
    hash: String,
}

pub(super) fn check_settings(file: &Path, printer: &Printer) -> Result<(), Failure> {
    let settings = Settings::read(file)
        .map_err(|faults| Failure::Faults(faults.iter().map(Fault::from).collect()))?;
    let summary =
        SettingsSummary { host: settings.host.name, data_centre: settings.host.data_centre };
    printer.print_answer(&summary, |it| {
        format!("{}: no faults; host {} in {}\n", file.display(), it.host, it.data_centre)
    })
}

pub(super) fn hash_key(printer: &Printer) -> Result<(), Failure> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key)?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(Failure::Usage(
            "the key is empty; pipe it in, for example with `printf %s KEY |`".into(),
        ));
    }
    printer.print_answer(&KeyHash { hash: utils::key_hash(key) }, |it| format!("{}\n", it.hash))
}
