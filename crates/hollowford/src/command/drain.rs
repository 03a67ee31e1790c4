//! `hollowford drain`.

use super::definition::{Command, Example};
use crate::client::{Options, block_on, reject_unused_arguments};
use crate::error::CliError;
use hollowford_protocol::v1;
use pico_args::Arguments;

/// Definition of the `drain` command.
pub const COMMAND: Command = Command {
    name: "drain",
    signature: "[--server IP:PORT] [--token TOKEN] [--json]",
    description: "Asks one process to hand over its partitions and to stop.",
    examples: &[Example {
        line: "hollowford drain --server 127.0.0.1:7001",
        explanation: "stops the process at this address",
    }],
    run,
};

fn run(mut args: Arguments) -> Result<(), CliError> {
    let options = Options::take(&mut args)?;
    reject_unused_arguments(args)?;
    block_on(async {
        let target = options.connect().await?;
        let reply = target.operator().drain(target.call(v1::DrainRequest {})).await?;
        let n = reply.into_inner().partitions;
        match options.json {
            true => println!("{}", serde_json::json!({ "partitions": n })),
            false => println!("stopping; {n} partitions are handed over"),
        }
        Ok(())
    })
}
