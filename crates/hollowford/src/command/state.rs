//! `hollowford state`.

use super::definition::{Command, Example};
use crate::client::{Options, block_on, reject_unused_arguments};
use crate::error::CliError;
use hollowford_protocol::v1;
use pico_args::Arguments;

/// Definition of the `state` command.
pub const COMMAND: Command = Command {
    name: "state",
    signature: "[--part NAME] [--server IP:PORT] [--token TOKEN]",
    description: "Prints the state of one process as JSON, or one part of it.",
    examples: &[Example {
        line: "hollowford state --part owners",
        explanation: "shows the owner of each partition, as this process knows it",
    }],
    run,
};

fn run(mut args: Arguments) -> Result<(), CliError> {
    let options = Options::take(&mut args)?;
    let part: Option<String> = args.opt_value_from_str("--part")?;
    reject_unused_arguments(args)?;
    block_on(async {
        let target = options.connect().await?;
        let reply = target.operator().state(target.call(v1::StateRequest {})).await?;
        let text = reply.into_inner().json;
        let invalid_json = |e: serde_json::Error| CliError::Run(e.to_string());
        let mut value: serde_json::Value = serde_json::from_str(&text).map_err(invalid_json)?;
        if let Some(part) = part {
            let unknown_part = || CliError::Usage(format!("the state has no part {part:?}"));
            value = value.get(&part).cloned().ok_or_else(unknown_part)?;
        }
        println!("{}", serde_json::to_string_pretty(&value).map_err(invalid_json)?);
        Ok(())
    })
}
