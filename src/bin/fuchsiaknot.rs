//! The command line for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    fuchsiaknot::command::run(std::env::args_os())
}
