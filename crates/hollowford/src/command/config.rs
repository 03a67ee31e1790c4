//! `hollowford config`.

use super::definition::{Command, Example};
use crate::client::{Options, block_on, reject_unused_arguments};
use crate::error::CliError;
use hollowford_protocol::v1;
use pico_args::Arguments;
use serde_json::json;

/// Definition of the `config` command.
pub const COMMAND: Command = Command {
    name: "config",
    signature: "get ACCOUNT | history [--limit N] | set ACCOUNT --expect VERSION --author NAME
       --token-sha256 HEX [--weight N] [--quota-cpu-milli N] [--quota-memory-mib N]
       [--quota-accelerators N] [--max-queued N] [--server IP:PORT] [--token TOKEN] [--json]",
    description: "Reads or changes the configuration of client accounts, as an operator.
A change names the version that it replaces, and is refused if that is not the current one.",
    examples: &[
        Example { line: "hollowford config get university", explanation: "shows the account" },
        Example {
            line: "hollowford config history --limit 5",
            explanation: "shows the last changes",
        },
    ],
    run,
};

fn run(mut args: Arguments) -> Result<(), CliError> {
    let options = Options::take(&mut args)?;
    match args.subcommand()?.as_deref() {
        Some("get") => get(&options, args),
        Some("set") => set(&options, args),
        Some("history") => history(&options, args),
        _ => Err(CliError::Usage("use config get, config set or config history".to_owned())),
    }
}

fn print(options: &Options, v: &v1::ConfigView) {
    let c = v.config.clone().unwrap_or_default();
    let value = json!({
        "account": v.account, "version": v.version, "author": v.author, "weight": c.weight,
        "quota_cpu_milli": c.quota_cpu_milli, "quota_memory_mib": c.quota_memory_mib,
        "quota_accelerators": c.quota_accelerators, "max_queued": c.max_queued,
    });
    if options.json {
        println!("{value}");
        return;
    }
    println!("{} version {} by {}", v.account, v.version, v.author);
    println!(
        "  weight {}, quota {} mcpu {} MiB {} accelerators, max_queued {} (0: no limit or default)",
        c.weight, c.quota_cpu_milli, c.quota_memory_mib, c.quota_accelerators, c.max_queued
    );
}

fn get(options: &Options, mut args: Arguments) -> Result<(), CliError> {
    let account: String = args.free_from_str()?;
    reject_unused_arguments(args)?;
    block_on(async {
        let target = options.connect().await?;
        let req = v1::GetConfigRequest { account };
        let reply = target.operator().get_config(target.call(req)).await?;
        print(options, &reply.into_inner());
        Ok(())
    })
}

fn set(options: &Options, mut args: Arguments) -> Result<(), CliError> {
    let config = v1::AccountConfig {
        token_sha256: args.value_from_str("--token-sha256")?,
        weight: args.opt_value_from_str("--weight")?.unwrap_or(1),
        quota_cpu_milli: args.opt_value_from_str("--quota-cpu-milli")?.unwrap_or(0),
        quota_memory_mib: args.opt_value_from_str("--quota-memory-mib")?.unwrap_or(0),
        quota_accelerators: args.opt_value_from_str("--quota-accelerators")?.unwrap_or(0),
        max_queued: args.opt_value_from_str("--max-queued")?.unwrap_or(0),
    };
    let expected_version = args.value_from_str("--expect")?;
    let author: String = args.value_from_str("--author")?;
    let account: String = args.free_from_str()?;
    reject_unused_arguments(args)?;
    block_on(async {
        let target = options.connect().await?;
        let req = v1::SetConfigRequest { account, config: Some(config), expected_version, author };
        let reply = target.operator().set_config(target.call(req)).await?;
        print(options, &reply.into_inner());
        Ok(())
    })
}

fn history(options: &Options, mut args: Arguments) -> Result<(), CliError> {
    let limit: Option<u32> = args.opt_value_from_str("--limit")?;
    reject_unused_arguments(args)?;
    block_on(async {
        let target = options.connect().await?;
        let req = v1::ConfigHistoryRequest { limit: limit.unwrap_or(0) };
        let reply = target.operator().config_history(target.call(req)).await?.into_inner();
        for c in reply.changes {
            match options.json {
                true => println!(
                    "{}",
                    json!({"head": c.head, "account": c.account, "version": c.version,
                        "author": c.author, "at_unix_ms": c.at_unix_ms})
                ),
                false => println!(
                    "{} {} version {} by {} at {}",
                    c.head, c.account, c.version, c.author, c.at_unix_ms
                ),
            }
        }
        Ok(())
    })
}
