//! Stand-ins for the platform, engines and plain services, for tests and demonstrations.

use std::process;

use clap::Parser;
use fuchsiaknot::standin::cli;

fn main() {
    env_logger::init();
    match cli::run(cli::Command::parse()) {
        Ok(code) => process::exit(code),
        Err(err) => {
            eprintln!("fuchsiaknot-standin: {err}; try another --address");
            process::exit(1);
        }
    }
}
