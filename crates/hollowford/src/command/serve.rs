//! `hollowford serve`.

use super::definition::{Command, Example};
use crate::client::reject_unused_arguments;
use crate::error::CliError;
use hollowford_config::Settings;
use hollowford_server::Process;
use pico_args::Arguments;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Time between two checks whether an operator asked the process to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Definition of the `serve` command.
pub const COMMAND: Command = Command {
    name: "serve",
    signature: "--config FILE",
    description: "Runs a process of the system until SIGTERM, SIGINT or `drain`.
Prints its addresses as one line of JSON. When it stops, it hands over its partitions and
answers all open calls.",
    examples: &[Example {
        line: "hollowford serve --config examples/kivu-process.jsonc",
        explanation: "runs a process with the settings of the file",
    }],
    run,
};

/// Reads and checks a settings file.
pub fn read_settings(file: &str) -> Result<Settings, CliError> {
    let text = std::fs::read_to_string(file).map_err(CliError::io(file))?;
    Settings::try_from(text.as_str())
        .map_err(|error| CliError::Settings { file: file.to_owned(), error })
}

fn run(mut args: Arguments) -> Result<(), CliError> {
    let file: String = args.value_from_str("--config")?;
    reject_unused_arguments(args)?;
    let settings = read_settings(&file)?;
    abort_on_panic();
    let process = Process::start(settings).map_err(|e| CliError::Run(e.to_string()))?;
    let a = process.addresses();
    let addresses = serde_json::json!({
        "callers": a.callers, "peers": a.peers, "admin": a.admin,
    });
    println!("{addresses}");
    crate::client::block_on(wait_for_stop(&process))?;
    process.stop();
    process.wait_stopped();
    Ok(())
}

/// Makes a panic in any thread abort the process. Without one of its threads the process would
/// keep its partitions without serving them; after an abort, others take them over.
pub fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        std::process::abort();
    }));
}

async fn wait_for_stop(process: &Process) -> Result<(), CliError> {
    let failed = || CliError::io("waiting for signals");
    let mut term = signal(SignalKind::terminate()).map_err(failed())?;
    let mut int = signal(SignalKind::interrupt()).map_err(failed())?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = int.recv() => return Ok(()),
            () = tokio::time::sleep(STOP_CHECK_INTERVAL) => {
                if process.is_stopping() {
                    return Ok(());
                }
            }
        }
    }
}
