//! Checks that the documents match the program.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use hollowford_core::{ErrorKind, Execution};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::Command;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_file(name: &str) -> String {
    std::fs::read_to_string(root().join(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Environment variable that makes the test write the table instead of comparing it.
const WRITE_VAR: &str = "HOLLOWFORD_WRITE_PAGES";

#[test]
fn the_errors_page_matches_the_code() {
    let mut table = String::from(
        "# Errors\n\nEvery refusal names one of these kinds, in the metadata `hollowford-kind`, \
         and where it helps\na time to come back, in `hollowford-retry-after-ms`. The table is \
         checked against the code\nby a test.\n\n\
         | kind | gRPC status | exit code | did the work run | come back after | what to do |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for kind in ErrorKind::ALL {
        let a = kind.info();
        let ran = match a.execution {
            Execution::NotRun => "no",
            Execution::Unknown => "ask by the request id",
        };
        let after = a.retry_after_ms.map_or("never".to_owned(), |ms| format!("{ms} ms"));
        let (name, grpc, exit, help) = (a.name, a.grpc, a.exit, a.help);
        writeln!(table, "| {name} | {grpc} | {exit} | {ran} | {after} | {help} |").unwrap();
    }
    if std::env::var(WRITE_VAR).is_ok() {
        std::fs::write(root().join("docs/ERRORS.md"), &table).unwrap();
    }
    assert_eq!(read_file("docs/ERRORS.md"), table, "set {WRITE_VAR}=1 to write it again");
}

#[test]
fn every_metric_is_on_the_operators_page() {
    let source = read_file("crates/hollowford-server/src/metrics.rs");
    let names = source.split('"').filter(|s| s.starts_with("hollowford_") && !s.contains(' '));
    let operating = read_file("docs/OPERATIONS.md");
    let missing: Vec<&str> = names.filter(|n| !operating.contains(&format!("`{n}`"))).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn every_metric_of_the_platform_process_is_on_the_operators_page() {
    let source = read_file("crates/hollowford-node/src/metrics.rs");
    let makers = ["counters(\"", "counter(\"", "gauges(\"", "gauge(\"", "seconds(\""];
    let name = |line: &str| {
        let rest = makers.iter().find_map(|m| line.split(m).nth(1))?;
        Some(rest.split('"').next()?.to_owned())
    };
    let names: Vec<String> = source.lines().filter_map(name).collect();
    assert!(names.len() >= 15, "{names:?}");
    let read_file = read_file("docs/OPERATIONS.md");
    let is_missing = |n: &&String| !read_file.contains(&format!("`hollowford_node_{n}`"));
    let missing: Vec<&String> = names.iter().filter(is_missing).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn every_setting_is_on_the_operators_page() {
    let operating = read_file("docs/OPERATIONS.md");
    for file in ["settings.rs", "policy.rs"] {
        let source = read_file(&format!("crates/hollowford-config/src/{file}"));
        let keys = source.split("KEYS: &[&str] = &[").nth(1).unwrap().split("];").next().unwrap();
        let keys = keys.split('"').skip(1).step_by(2);
        let missing: Vec<&str> = keys.filter(|k| !operating.contains(&format!("`{k}`"))).collect();
        assert!(missing.is_empty(), "{missing:?}");
    }
}

fn hollowford(args: &[&str]) -> (i32, String, String) {
    let program = env!("CARGO_BIN_EXE_hollowford");
    let out = Command::new(program).args(args).current_dir(root()).output().unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
}

const COMMANDS: [&str; 11] = [
    "serve", "node", "check", "dev", "submit", "status", "list", "cancel", "config", "drain",
    "state",
];

#[test]
fn every_command_has_help_with_an_example_that_names_it() {
    for command in COMMANDS {
        let (code, out, _) = hollowford(&[command, "--help"]);
        assert_eq!(code, 0);
        assert!(out.contains(&format!("\n  hollowford {command}")), "{out}");
    }
    let (code, out, _) = hollowford(&[]);
    assert_eq!(code, 0);
    assert!(COMMANDS.iter().all(|c| out.contains(c)));
}

#[test]
fn examples_that_need_no_server_do_what_they_say() {
    let (code, out, _) = hollowford(&["check", "examples/kivu-process.jsonc"]);
    assert_eq!((code, out.contains("ok")), (0, true), "{out}");
    for file in ["examples/kivu.jsonc", "examples/ortak-sahne.jsonc"] {
        let (code, out, err) = hollowford(&["dev", "--run", file]);
        assert_eq!(code, 0, "{out}\n{err}");
        assert!(out.contains("requests got theirs"), "{out}");
        assert!(out.contains("0 faults"), "{out}");
    }
}

#[test]
fn wrong_command_lines_get_helpful_errors() {
    let (code, _, err) = hollowford(&["sumbit"]);
    assert_eq!(code, 2);
    assert!(err.contains("did you mean \"submit\""), "{err}");
    let (code, _, err) = hollowford(&["status", "x", "--server", "127.0.0.1:1", "--token", "t"]);
    assert_eq!(code, 9, "{err}");
    let (code, _, err) = hollowford(&["check", "no-such-file"]);
    assert_eq!(code, 16, "{err}");
    let (code, _, err) =
        hollowford(&["list", "--bogus", "--server", "127.0.0.1:1", "--token", "t"]);
    assert_eq!(code, 2);
    assert!(err.contains("--bogus"), "{err}");
}
