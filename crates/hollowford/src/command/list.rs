//! `hollowford list`.

use super::definition::{Command, Example};
use super::view;
use crate::client::{Options, block_on, reject_unused_arguments};
use crate::error::CliError;
use hollowford_protocol::v1;
use pico_args::Arguments;

/// Definition of the `list` command.
pub const COMMAND: Command = Command {
    name: "list",
    signature: "[--after ID] [--limit N] [--server IP:PORT] [--token TOKEN] [--json]",
    description: "Lists the client account's requests by id, a page at a time.",
    examples: &[Example {
        line: "hollowford list --limit 20",
        explanation: "lists the first 20 requests",
    }],
    run,
};

fn run(mut args: Arguments) -> Result<(), CliError> {
    let options = Options::take(&mut args)?;
    let after: Option<String> = args.opt_value_from_str("--after")?;
    let limit: Option<u32> = args.opt_value_from_str("--limit")?;
    reject_unused_arguments(args)?;
    block_on(async {
        let target = options.connect().await?;
        let req =
            v1::ListRequest { after: after.unwrap_or_default(), limit: limit.unwrap_or_default() };
        let reply = target.scheduler().list(target.call(req)).await?.into_inner();
        for request in &reply.requests {
            view::print(request, options.json);
        }
        if !reply.next.is_empty() && !options.json {
            println!("more: hollowford list --after {}", reply.next);
        }
        Ok(())
    })
}
