//! Program for the stand-ins (`platform`, `workers`) and the benchmark (`bench`). A stand-in prints its
//! addresses as one line of JSON and runs until it is killed.

use hollowford_standin::control::{self, ControlledWorkers};
use hollowford_standin::record::Recorder;
use hollowford_standin::register::{Group, start_group};
use hollowford_standin::{StandinError, bench, platform};
use pico_args::Arguments;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

const USAGE: &str = "usage: hollowford-standin platform
       hollowford-standin bench --callers IP:PORT,... --platform IP:PORT --token TOKEN
         [--pids ID,...] [--rates 500,1000] [--seconds 5] [--out DIR]
       hollowford-standin workers --platform IP:PORT [--prefix w] [--count 1] [--zones 1]
         [--per-rack 6] [--cpu-milli 16000] [--memory-mib 65536] [--accelerators 0]
         [--bad 0] [--record FILE]";

fn main() -> ExitCode {
    env_logger::init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}\n{USAGE}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), StandinError> {
    let mut args = Arguments::from_env();
    let rt = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    match args.subcommand()?.as_deref() {
        Some("platform") => rt.block_on(run_platform()),
        Some("bench") => rt.block_on(run_bench(args)),
        Some("workers") => rt.block_on(run_workers(args)),
        _ => Err(StandinError::Usage),
    }
}

async fn run_platform() -> Result<(), StandinError> {
    let addr = platform::start("127.0.0.1:0").await?;
    println!("{}", serde_json::json!({ "platform": addr }));
    std::future::pending().await
}

async fn run_bench(mut args: Arguments) -> Result<(), StandinError> {
    const RATES: &str = "200,500,1000,2000,4000";
    const SECONDS: u64 = 5;
    let list = |text: String| text.split(',').map(str::to_owned).collect::<Vec<_>>();
    let rates: Option<String> = args.opt_value_from_str("--rates")?;
    let pids: Option<String> = args.opt_value_from_str("--pids")?;
    let out: Option<PathBuf> = args.opt_value_from_str("--out")?;
    let options = bench::Options {
        callers: list(args.value_from_str("--callers")?),
        platform: args.value_from_str("--platform")?,
        token: args.value_from_str("--token")?,
        pids: pids.map(list).unwrap_or_default(),
        rates: list(rates.unwrap_or_else(|| RATES.to_owned()))
            .iter()
            .filter_map(|r| r.parse().ok())
            .collect(),
        seconds: args.opt_value_from_str("--seconds")?.unwrap_or(SECONDS),
    };
    bench::run(&options, out.as_deref()).await
}

async fn run_workers(mut args: Arguments) -> Result<(), StandinError> {
    let platform: String = args.value_from_str("--platform")?;
    let record: Option<PathBuf> = args.opt_value_from_str("--record")?;
    let group = Group {
        prefix: args.opt_value_from_str("--prefix")?.unwrap_or_else(|| "w".to_owned()),
        count: args.opt_value_from_str("--count")?.unwrap_or(1),
        zones: args.opt_value_from_str("--zones")?.unwrap_or(1),
        per_rack: args.opt_value_from_str("--per-rack")?.unwrap_or(6),
        cpu_milli: args.opt_value_from_str("--cpu-milli")?.unwrap_or(16_000),
        memory_mib: args.opt_value_from_str("--memory-mib")?.unwrap_or(65_536),
        accelerators: args.opt_value_from_str("--accelerators")?.unwrap_or(0),
        failing_count: args.opt_value_from_str("--bad")?.unwrap_or(0),
    };
    let recorder = Arc::new(Recorder::new(record.as_deref())?);
    let workers = start_group(&group, &platform, &recorder).await?;
    let workers = workers.into_iter().map(|w| (w.id().to_owned(), w)).collect();
    let control = control::start(ControlledWorkers { workers, recorder }).await?;
    println!("{}", serde_json::json!({ "control": control }));
    std::future::pending().await
}
