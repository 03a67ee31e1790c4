//! `hollowford dev`.

use super::definition::{Command, Example};
use crate::client::{block_on, reject_unused_arguments};
use crate::dev::cell::{Cell, OPERATOR_TOKEN};
use crate::dev::work::{self, WorkFile};
use crate::dev::{report::Report, run};
use crate::error::CliError;
use hollowford_standin::record_check::check_record;
use pico_args::Arguments;

/// Definition of the `dev` command.
pub const COMMAND: Command = Command {
    name: "dev",
    signature: "[--run FILE [--json] | --cell FILE]",
    description:
        "Runs a complete cell in one process, with a stand-in platform and stand-in workers.
With --run it submits the file's work, prints every answer and the measurements, and exits;
otherwise it prints the addresses and tokens, and runs until it is interrupted.",
    examples: &[
        Example {
            line: "hollowford dev --run examples/kivu.jsonc",
            explanation: "runs Kivu's mixed work and shows the results",
        },
        Example {
            line: "hollowford dev --run examples/ortak-sahne.jsonc",
            explanation: "runs Ortak Sahne's rebuild wave and confirmations",
        },
    ],
    run: run_command,
};

/// The cell to start when no file is given.
const DEFAULT_CELL: &str = r#"{
    "workers": { "count": 6 },
    "accounts": [{ "name": "try", "token": "try-token" }]
}"#;

fn read(file: Option<&str>) -> Result<WorkFile, CliError> {
    let (name, text) = match file {
        Some(file) => (file, std::fs::read_to_string(file).map_err(CliError::io(file))?),
        None => ("dev", DEFAULT_CELL.to_owned()),
    };
    work::read(&text).map_err(|error| CliError::Settings { file: name.to_owned(), error })
}

fn run_command(mut args: Arguments) -> Result<(), CliError> {
    let run_file: Option<String> = args.opt_value_from_str("--run")?;
    let json = args.contains("--json");
    let cell_file: Option<String> = args.opt_value_from_str("--cell")?;
    reject_unused_arguments(args)?;
    let file = read(run_file.as_deref().or(cell_file.as_deref()))?;
    let cell = Cell::start(&file)?;
    if run_file.is_none() {
        return serve_until_interrupt(&file, &cell);
    }
    let mut report = None;
    block_on(async {
        report = Some(run::run(&file, &cell).await?);
        Ok(())
    })?;
    let lines = cell.recorder.lines();
    cell.stop();
    let summary = check_record(lines);
    let Some(report) = report else {
        return Err(CliError::Run("the run returned no report".to_owned()));
    };
    if json {
        println!("{}", report.to_json(&summary));
        return exit_result(&report, summary.violations.len());
    }
    report.print();
    println!("workers' record   {} starts, {} faults", summary.starts, summary.violations.len());
    for violation in summary.violations.iter().take(10) {
        println!("  {violation}");
    }
    exit_result(&report, summary.violations.len())
}

fn exit_result(report: &Report, violations: usize) -> Result<(), CliError> {
    match report.missing {
        0 if violations == 0 => Ok(()),
        0 => Err(CliError::Run(format!("the workers' record shows {violations} faults"))),
        n => Err(CliError::Run(format!("{n} requests got no answer"))),
    }
}

/// Prints the addresses and tokens of the cell, and waits for SIGINT.
fn serve_until_interrupt(file: &WorkFile, cell: &Cell) -> Result<(), CliError> {
    for process in &cell.processes {
        let a = process.addresses();
        println!("process: callers {}, admin http://{}/state", a.callers, a.admin);
    }
    for account in &file.accounts {
        println!("client account {}: token {}", account.name, account.token);
    }
    println!("operators: token {OPERATOR_TOKEN}");
    if let (Some(addr), Some(account)) = (cell.callers().first(), file.accounts.first()) {
        let token = &account.token;
        println!(
            "try: hollowford submit a --kind check --run-ms 100 --wait --server {addr} --token {token}"
        );
    }
    block_on(async { tokio::signal::ctrl_c().await.map_err(CliError::io("waiting for signals")) })
}
