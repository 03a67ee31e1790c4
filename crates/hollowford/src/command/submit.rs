//! `hollowford submit`.

use super::definition::{Command, Example};
use super::view;
use crate::client::{Options, block_on, reject_unused_arguments};
use crate::error::CliError;
use hollowford_protocol::v1;
use pico_args::Arguments;

/// Definition of the `submit` command.
pub const COMMAND: Command = Command {
    name: "submit",
    signature: "ID --kind check|gang|batch|service [--tasks N] [--cpu-milli N] [--memory-mib N]
       [--accelerators N] [--run-ms N] [--repeatable] [--urgent] [--label L]... [--payload TEXT]
       [--start-within-ms N] [--wait] [--server IP:PORT] [--token TOKEN] [--json]",
    description: "Submits a request, and with --wait waits for its answer.
Submitting the same body again under the same id returns the existing request.",
    examples: &[Example {
        line: "hollowford submit check-17 --kind check --cpu-milli 500 --run-ms 200 --wait",
        explanation: "runs a quick check and waits for its answer",
    }],
    run,
};

fn parse_kind(name: &str) -> Result<v1::Kind, CliError> {
    match name {
        "check" => Ok(v1::Kind::Check),
        "gang" => Ok(v1::Kind::Gang),
        "batch" => Ok(v1::Kind::Batch),
        "service" => Ok(v1::Kind::Service),
        _ => Err(CliError::Usage(format!("no kind {name:?}; check, gang, batch or service"))),
    }
}

fn take_spec(args: &mut Arguments) -> Result<v1::RequestSpec, CliError> {
    const DEFAULT_CPU_MILLI: u32 = 1_000;
    const DEFAULT_MEMORY_MIB: u32 = 512;
    let kind_name: String = args.value_from_str("--kind")?;
    let payload: Option<String> = args.opt_value_from_str("--payload")?;
    Ok(v1::RequestSpec {
        kind: parse_kind(&kind_name)?.into(),
        tasks: args.opt_value_from_str("--tasks")?.unwrap_or(1),
        per_task: Some(v1::Resources {
            cpu_milli: args.opt_value_from_str("--cpu-milli")?.unwrap_or(DEFAULT_CPU_MILLI),
            memory_mib: args.opt_value_from_str("--memory-mib")?.unwrap_or(DEFAULT_MEMORY_MIB),
            accelerators: args.opt_value_from_str("--accelerators")?.unwrap_or(0),
        }),
        run_time_ms: args.opt_value_from_str("--run-ms")?.unwrap_or(0),
        repeatable: args.contains("--repeatable"),
        urgent: args.contains("--urgent"),
        labels: args.values_from_str("--label")?,
        placement: None,
        payload: payload.unwrap_or_default().into_bytes(),
        start_within_ms: args.opt_value_from_str("--start-within-ms")?.unwrap_or(0),
    })
}

fn run(mut args: Arguments) -> Result<(), CliError> {
    let options = Options::take(&mut args)?;
    let spec = take_spec(&mut args)?;
    let wait = args.contains("--wait");
    let request_id: String = args.free_from_str()?;
    reject_unused_arguments(args)?;
    let req = v1::SubmitRequest { request_id: request_id.clone(), spec: Some(spec), wait };
    block_on(async {
        let target = options.connect().await?;
        let mut reply = target.scheduler().submit(target.call(req)).await?.into_inner();
        // A process that stops returns the current view, so ask again over a new connection.
        while wait && reply.answer.is_none() && !reply.is_service {
            let new_target = options.connect().await?;
            let get =
                v1::GetRequest { request_id: request_id.clone(), after_version: 0, r#final: true };
            reply = new_target.scheduler().get(new_target.call(get)).await?.into_inner();
        }
        view::print(&reply, options.json);
        Ok(())
    })
}
