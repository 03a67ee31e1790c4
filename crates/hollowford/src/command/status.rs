//! `hollowford status`.

use super::definition::{Command, Example};
use super::view;
use crate::client::{Options, block_on, reject_unused_arguments};
use crate::error::CliError;
use hollowford_protocol::v1;
use pico_args::Arguments;

/// Definition of the `status` command.
pub const COMMAND: Command = Command {
    name: "status",
    signature: "ID [--why] [--wait] [--server IP:PORT] [--token TOKEN] [--json]",
    description: "Shows one request of the client account.
With --why it shows why the request waits, or why it was placed where it is.",
    examples: &[Example {
        line: "hollowford status check-17 --why",
        explanation: "shows the request and the reason for its state",
    }],
    run,
};

fn run(mut args: Arguments) -> Result<(), CliError> {
    let options = Options::take(&mut args)?;
    let why = args.contains("--why");
    let r#final = args.contains("--wait");
    let request_id: String = args.free_from_str()?;
    reject_unused_arguments(args)?;
    block_on(async {
        let target = options.connect().await?;
        let req = v1::GetRequest { request_id, after_version: 0, r#final };
        let reply = target.scheduler().get(target.call(req)).await?.into_inner();
        view::print(&reply, options.json);
        if why && !options.json && !reply.why.is_empty() {
            println!("  {}", reply.why);
        }
        Ok(())
    })
}
