//! `hollowford check`.

use super::definition::{Command, Example};
use super::serve::read_settings;
use crate::client::reject_unused_arguments;
use crate::error::CliError;
use pico_args::Arguments;

/// Definition of the `check` command.
pub const COMMAND: Command = Command {
    name: "check",
    signature: "FILE [--json]",
    description: "Checks a settings file, and shows the first error, its position and what is expected.",
    examples: &[Example {
        line: "hollowford check examples/kivu-process.jsonc",
        explanation: "checks the settings of one of Kivu's processes",
    }],
    run,
};

fn run(mut args: Arguments) -> Result<(), CliError> {
    let json = args.contains("--json");
    let file: String = args.free_from_str()?;
    reject_unused_arguments(args)?;
    let s = read_settings(&file)?;
    if json {
        let v = serde_json::json!({"ok": true, "process": s.process, "partitions": s.partitions});
        println!("{v}");
    } else {
        println!("{file}: ok (process {}, {} partitions)", s.process, s.partitions);
    }
    Ok(())
}
