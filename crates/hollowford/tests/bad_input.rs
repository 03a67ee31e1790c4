//! Invalid input gets its error kind, causes no panic, and does not affect other calls.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{Cell, Options, error_kind, final_answer, spec};
use hollowford_config::Settings;
use hollowford_core::Spec;
use hollowford_protocol::v1::{self, Kind, Outcome};
use hollowford_protocol::{decode, ledger, peer};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use yare::parameterized;

/// Returns a runner with the same cases in every run.
fn runner() -> TestRunner {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn frames_of_random_bytes_never_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..300);
    runner()
        .run(&bytes, |b| {
            let _ = decode::<peer::Frame>(&b);
            let _ = decode::<ledger::Batch>(&b);
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_truncated_frame_never_decodes_to_the_original() {
    let call = peer::Call {
        partition: 3,
        account: "university".into(),
        op: Some(peer::Op::Cancel(v1::CancelRequest { request_id: "r".into() })),
    };
    let frame = peer::Frame { id: 9, body: Some(peer::Body::Call(call)) };
    let bytes = prost::Message::encode_to_vec(&frame);
    for n in 0..bytes.len() {
        if let Ok(read) = decode::<peer::Frame>(&bytes[..n]) {
            assert_ne!(read, frame, "{n} of {} bytes", bytes.len());
        }
    }
}

#[test]
fn random_specifications_never_panic() {
    let any_spec = (
        any::<i32>(),
        any::<u32>(),
        any::<(u32, u32, u32)>(),
        any::<(u64, u64)>(),
        any::<(bool, bool, bool)>(),
        prop::collection::vec(".{0,80}", 0..12),
    );
    runner()
        .run(&any_spec, |(kind, tasks, (c, m, a), (run, within), (r, u, rack), labels)| {
            let raw = v1::RequestSpec {
                kind,
                tasks,
                per_task: Some(v1::Resources { cpu_milli: c, memory_mib: m, accelerators: a }),
                run_time_ms: run,
                repeatable: r,
                urgent: u,
                labels,
                placement: Some(v1::Placement { same_rack: rack, ..Default::default() }),
                payload: Vec::new(),
                start_within_ms: within,
            };
            if let Ok(checked) = Spec::try_from(&raw) {
                let wire = hollowford_protocol::spec_to_wire(&checked);
                prop_assert_eq!(Spec::try_from(&wire).unwrap(), checked);
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn settings_of_random_text_never_panic() {
    runner()
        .run(&".{0,200}", |text| {
            let _ = Settings::try_from(text.as_str());
            Ok(())
        })
        .unwrap();
}

const VALID_SETTINGS: &str = include_str!("../../../examples/kivu-process.jsonc");

#[test]
fn the_example_settings_are_valid() {
    Settings::try_from(VALID_SETTINGS).unwrap();
    let other = include_str!("../../../examples/ortak-sahne-process.jsonc");
    Settings::try_from(other).unwrap();
}

#[parameterized(
    unknown_key = { "\"zone\": ", "\"zoen\": ", "\"zoen\" is not known", "did you mean \"zone\"" },
    no_number = { "\"partitions\": 1", "\"partitions\": \"one\"", "out of bounds", "from 1 to" },
    too_large = { "\"partitions\": 1", "\"partitions\": 99999", "out of bounds", "to 4096" },
    no_address = { "127.0.0.1:7001", "localhost", "is no address", "an IP number and a port" },
    short_key = { "replace-this-key-before-use", "short", "too short", "16 characters" },
    no_preset = { "\"preset\": \"kivu\"", "\"preset\": \"kiwu\"", "no preset", "\"kivu\"" },
    renewal = { "\"renew_ms\": 400", "\"renew_ms\": 1400", "too long", "half of ownership_ms" },
    syntax = { "\"partitions\": 1,", "\"partitions\": 1", "line 12, column 18: Expected comma", "" },
)]
fn errors_in_settings_show_what_is_expected(valid: &str, invalid: &str, message: &str, help: &str) {
    assert!(VALID_SETTINGS.contains(valid));
    let text = VALID_SETTINGS.replacen(valid, invalid, 1);
    let e = Settings::try_from(text.as_str()).unwrap_err().to_string();
    assert!(e.contains("line ") && e.contains("column "), "{e}");
    assert!(e.contains(message), "{e}");
    assert!(e.contains(help), "{e}");
}

#[test]
fn secrets_are_not_printed() {
    let settings = Settings::try_from(VALID_SETTINGS).unwrap();
    assert!(!format!("{settings:?}").contains("replace-this-key"));
}

#[tokio::test]
async fn invalid_calls_get_their_error_kind_and_valid_ones_work() {
    let cell = Cell::start(Options::default()).await;
    let caller = cell.caller(0, "university").await;
    let valid = spec(Kind::Batch, 1, 500, 10);
    let with = |change: &dyn Fn(&mut v1::RequestSpec)| {
        let mut s = valid.clone();
        change(&mut s);
        s
    };
    let long = "x".repeat(65);
    let cases: Vec<(&str, v1::RequestSpec, &str)> = vec![
        ("none", with(&|s| s.tasks = 0), "invalid"),
        ("many", with(&|s| s.tasks = 10_001), "too_large"),
        ("kind", with(&|s| s.kind = 77), "invalid"),
        ("cpu", with(&|s| s.per_task = Some(v1::Resources::default())), "invalid"),
        ("res", with(&|s| s.per_task = None), "invalid"),
        ("payload", with(&|s| s.payload = vec![0; 4_097]), "too_large"),
        ("labels", with(&|s| s.labels = vec!["l".into(); 9]), "too_large"),
        ("label", with(&|s| s.labels = vec!["l".repeat(65)]), "too_large"),
        (
            "rack",
            with(&|s| s.placement = Some(v1::Placement { same_rack: true, ..Default::default() })),
            "invalid",
        ),
        ("huge", with(&|s| s.per_task.as_mut().unwrap().cpu_milli = 1_000_000), "impossible"),
        ("", valid.clone(), "invalid"),
        ("a\nb", valid.clone(), "invalid"),
        (&long, valid.clone(), "too_large"),
    ];
    for (id, body, kind) in &cases {
        let status = caller.submit(id, body, false).await.unwrap_err();
        assert_eq!(error_kind(&status), *kind, "{id:?}: {status:?}");
    }
    let status = caller.get("never-submitted").await.unwrap_err();
    assert_eq!(error_kind(&status), "not_found");
    let status = caller.list("", 501).await.unwrap_err();
    assert_eq!(error_kind(&status), "too_large");
    let wrong = common::Caller::connect(&cell.entries[0].addr("callers"), "no-such-token").await;
    let status = wrong.submit("a", &valid, false).await.unwrap_err();
    assert_eq!(error_kind(&status), "unauthenticated");
    let status = caller.set_config("university", 5, 1, "me").await.unwrap_err();
    assert_eq!(error_kind(&status), "unauthenticated");
    caller.submit("good", &valid, false).await.unwrap();
    let view = final_answer(&[caller], "good").await;
    assert_eq!(view.answer.unwrap().outcome(), Outcome::Done);
    assert_eq!(cell.assert_no_violations().starts, 1);
}

#[tokio::test]
async fn garbage_on_a_peer_connection_ends_only_that_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let cell = Cell::start(Options::default()).await;
    for garbage in [&b"\xff\xff\xff\xff"[..], b"\0\0\0\x02hi", b"GET / HTTP/1.1\r\n\r\n"] {
        let addr = cell.entries[0].addr("peers");
        let mut connection = tokio::net::TcpStream::connect(addr).await.unwrap();
        connection.write_all(garbage).await.unwrap();
        connection.shutdown().await.unwrap();
        let mut rest = Vec::new();
        // The process closes the connection, with or without an error.
        let _ = connection.read_to_end(&mut rest).await;
    }
    let caller = cell.caller(0, "university").await;
    caller.submit("good", &spec(Kind::Batch, 1, 500, 10), false).await.unwrap();
    let view = final_answer(&[caller], "good").await;
    assert_eq!(view.answer.unwrap().outcome(), Outcome::Done);
}
