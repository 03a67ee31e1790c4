//! `hollowford cancel`.

use super::definition::{Command, Example};
use super::view;
use crate::client::{Options, block_on, reject_unused_arguments};
use crate::error::CliError;
use hollowford_protocol::v1;
use pico_args::Arguments;

/// Definition of the `cancel` command.
pub const COMMAND: Command = Command {
    name: "cancel",
    signature: "ID | --label LABEL [--server IP:PORT] [--token TOKEN] [--json]",
    description: "Cancels one request, or every request with a label.",
    examples: &[
        Example { line: "hollowford cancel check-17", explanation: "cancels the request" },
        Example {
            line: "hollowford cancel --label season-2027",
            explanation: "cancels all requests with this label",
        },
    ],
    run,
};

fn run(mut args: Arguments) -> Result<(), CliError> {
    let options = Options::take(&mut args)?;
    let label: Option<String> = args.opt_value_from_str("--label")?;
    let id: Option<String> = args.opt_free_from_str()?;
    reject_unused_arguments(args)?;
    block_on(async {
        let target = options.connect().await?;
        let mut scheduler = target.scheduler();
        match (id, label) {
            (Some(request_id), None) => {
                let req = v1::CancelRequest { request_id };
                let reply = scheduler.cancel(target.call(req)).await?.into_inner();
                view::print(&reply, options.json);
            }
            (None, Some(label)) => {
                let req = v1::CancelByLabelRequest { label };
                let reply = scheduler.cancel_by_label(target.call(req)).await?.into_inner();
                let n = reply.cancelled;
                match options.json {
                    true => println!("{}", serde_json::json!({ "cancelled": n })),
                    false => println!("{n} requests cancelled"),
                }
            }
            _ => return Err(CliError::Usage("give an id, or --label LABEL".to_owned())),
        }
        Ok(())
    })
}
