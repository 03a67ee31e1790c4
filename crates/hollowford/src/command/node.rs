//! `hollowford node`.

use super::definition::{Command, Example};
use crate::client::reject_unused_arguments;
use crate::error::CliError;
use hollowford_adapter::NodeSettings;
use hollowford_node::{DEFAULT_WORKERS_PER_PARTITION, NodeOptions};
use pico_args::Arguments;
use std::num::NonZeroUsize;

/// Definition of the `node` command.
pub const COMMAND: Command = Command {
    name: "node",
    signature: "[--config FILE] [--metrics PORT] [--workers-each N] [--check]",
    description: "Runs a process on the users' platform until SIGTERM.
Reads the settings file that the platform lays, whose path HOLLOWFORD_NODE_FILE holds, and
serves metrics on PORT of the process's address. A cell that first starts gets one partition
for N workers (default: 1,200). With --check it only reads and checks the file.",
    examples: &[Example {
        line: "hollowford node --check --config platform/examples/settings.toml",
        explanation: "checks a settings file of the platform",
    }],
    run,
};

fn run(mut args: Arguments) -> Result<(), CliError> {
    let file: Option<String> = args.opt_value_from_str("--config")?;
    let metrics: Option<u16> = args.opt_value_from_str("--metrics")?;
    let workers_each: Option<NonZeroUsize> = args.opt_value_from_str("--workers-each")?;
    let check = args.contains("--check");
    reject_unused_arguments(args)?;
    let settings = match &file {
        Some(file) => NodeSettings::from_file(file),
        None => NodeSettings::from_environment(),
    };
    let settings = settings.map_err(|e| CliError::Usage(e.to_string()))?;
    if check {
        println!("{} in {} is valid", settings.name, settings.zone);
        return Ok(());
    }
    super::serve::abort_on_panic();
    // On a share of a core, more threads would only cost memory and wake-ups.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::io("runtime"))?;
    let options = NodeOptions {
        metrics_port: metrics,
        workers_per_partition: workers_each.unwrap_or(DEFAULT_WORKERS_PER_PARTITION),
    };
    let run = hollowford_node::run(settings, options);
    runtime.block_on(run).map_err(|e| CliError::Run(e.to_string()))
}
