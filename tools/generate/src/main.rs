//! Generates the Rust code of the published schema. Run by `toolkit/generate`.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let proto = root.join("proto");
    let out = match std::env::args().nth(1) {
        Some(dir) => dir.into(),
        None => root.join("crates/hollowford-protocol/src/generated"),
    };
    let files = ["scheduler", "operator", "worker"].map(|n| format!("hollowford/v1/{n}.proto"));
    let set = protox::compile(files, [&proto])?;
    std::fs::create_dir_all(&out)?;
    tonic_prost_build::configure().out_dir(&out).compile_fds(set)?;
    Ok(())
}
