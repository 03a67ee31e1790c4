//! The documented commands, run against a cell.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{Cell, OPERATOR, Options};
use hollowford_server::hash_token;
use serde_json::Value;
use std::process::Command;

struct Cli {
    server: String,
    token: String,
}

impl Cli {
    async fn run(&self, args: &[&str]) -> (i32, String, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hollowford"));
        command.args(args).args(["--server", &self.server, "--token", &self.token]);
        let out = tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap();
        let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
        (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
    }

    async fn run_ok(&self, args: &[&str]) -> String {
        let (code, out, err) = self.run(args).await;
        assert_eq!(code, 0, "{args:?}: {err}");
        out
    }
}

#[tokio::test]
async fn the_documented_commands_work() {
    let mut cell = Cell::start(Options { partitions: 1, ..Options::default() }).await;
    let server = cell.entries[0].addr("callers");
    let user = Cli { server: server.clone(), token: common::cell::token_of("university") };
    let operator = Cli { server, token: OPERATOR.to_owned() };

    let check = ["submit", "check-17", "--kind", "check", "--cpu-milli", "500", "--run-ms", "20"];
    let out = user.run_ok(&[&check[..], &["--wait", "--json"]].concat()).await;
    let view: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(view["answer"]["outcome"], "done");
    assert!(user.run_ok(&["status", "check-17", "--why"]).await.contains("done"));
    let plan = ["submit", "plan", "--kind", "batch", "--tasks", "50", "--run-ms", "60000"];
    user.run_ok(&[&plan[..], &["--cpu-milli", "4000", "--label", "season-2027"]].concat()).await;
    assert!(user.run_ok(&["status", "plan", "--why"]).await.contains("waits"));
    assert!(user.run_ok(&["list", "--limit", "20"]).await.contains("plan"));
    let out = user.run_ok(&["cancel", "--label", "season-2027"]).await;
    assert!(out.contains("1 requests cancelled"), "{out}");
    let (code, _, err) = user.run(&["status", "nothing"]).await;
    assert_eq!((code, err.contains("not_found")), (4, true), "{err}");

    assert!(operator.run_ok(&["config", "get", "university"]).await.contains("version 1"));
    let hash = hash_token("university-token");
    let set = ["config", "set", "university", "--expect", "1", "--author", "ayse"];
    let out =
        operator.run_ok(&[&set[..], &["--weight", "3", "--token-sha256", &hash]].concat()).await;
    assert!(out.contains("version 2 by ayse"), "{out}");
    let (code, _, err) =
        operator.run(&[&set[..], &["--weight", "4", "--token-sha256", &hash]].concat()).await;
    assert_eq!((code, err.contains("version 2, set by ayse")), (5, true), "{err}");
    assert!(operator.run_ok(&["config", "history", "--limit", "5"]).await.contains("ayse"));
    let owners: Value =
        serde_json::from_str(&operator.run_ok(&["state", "--part", "owners"]).await).unwrap();
    assert_eq!(owners.as_array().unwrap().len(), 1);
    assert!(operator.run_ok(&["drain"]).await.contains("stopping"));
    assert!(cell.entries[0].wait_exit_success().await);
}
