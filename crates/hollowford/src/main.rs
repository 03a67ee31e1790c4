//! hollowford: a cluster scheduler for client accounts that don't trust each other.

mod client;
mod command;
mod dev;
mod error;

use command::COMMANDS;
use error::CliError;
use pico_args::Arguments;
use std::process::ExitCode;

fn main() -> ExitCode {
    init_logging();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            if let Some(help) = e.help() {
                eprintln!("help: {help}");
            }
            ExitCode::from(e.exit_code())
        }
    }
}

/// Initializes logging: `node` logs to standard output, all other commands to standard error.
fn init_logging() {
    if std::env::args().nth(1).as_deref() == Some("node") {
        if let Err(e) = hollowford_node::logs::init() {
            eprintln!("logging can't be initialized: {e}");
        }
        return;
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .init();
}

fn run() -> Result<(), CliError> {
    let mut args = Arguments::from_env();
    let name = args.subcommand()?;
    let Some(command) = COMMANDS.iter().find(|c| Some(c.name) == name.as_deref()) else {
        return command::overview(name.as_deref());
    };
    if args.contains(["-h", "--help"]) {
        print!("{}", command.help());
        return Ok(());
    }
    (command.run)(args)
}
