//! `hollowford-soak`: runs the soak test for some seeds and prints the violated guarantees.

use hollowford_soak::cell::Size;
use hollowford_soak::{Options, Report, run_seed};
use pico_args::Arguments;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "hollowford-soak [--program FILE] [--seed N] [--seeds COUNT] [--seconds S]
    [--nodes N] [--workers N] [--workers-each N] [--callers N] [--keep FOLDER]
    [--cut-offs]
Runs COUNT seeds starting at N (default: a random one), each with S seconds of failures.
With --cut-offs, workers are cut off from newer owners while processes are paused.";

fn main() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e}\n{HELP}");
            ExitCode::from(2)
        }
    }
}

fn run(mut args: Arguments) -> Result<bool, Box<dyn std::error::Error>> {
    let program = args.opt_value_from_str("--program")?;
    let first = args.opt_value_from_str("--seed")?.unwrap_or_else(|| fastrand::u64(..1 << 40));
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(1);
    let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(12);
    let size = Size {
        nodes: args.opt_value_from_str("--nodes")?.unwrap_or(4),
        workers: args.opt_value_from_str("--workers")?.unwrap_or(8),
        workers_per_partition: args.opt_value_from_str("--workers-each")?.unwrap_or(4),
    };
    let options = Options {
        program: program.unwrap_or_else(|| PathBuf::from("target/release/hollowford")),
        size,
        callers: args.opt_value_from_str("--callers")?.unwrap_or(12),
        duration_ms: seconds * 1_000,
        cut_offs: args.contains("--cut-offs"),
        keep_dir: args.opt_value_from_str("--keep")?,
    };
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments: {rest:?}").into());
    }
    let runtime = tokio::runtime::Runtime::new()?;
    let mut clean = true;
    for seed in first..first + seeds {
        let report = runtime.block_on(run_seed(seed, &options))?;
        print_report(&report);
        clean &= report.violations.is_empty();
    }
    Ok(clean)
}

fn print_report(r: &Report) {
    println!(
        "seed {}: {} actions, {} jobs, {} taken, {} starts, {} wrong",
        r.seed,
        r.actions,
        r.jobs,
        r.accepted,
        r.starts,
        r.violations.len()
    );
    r.violations.iter().for_each(|w| println!("  {w}"));
}
